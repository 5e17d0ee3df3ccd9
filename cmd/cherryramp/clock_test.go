package main_test

import (
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"cherryramp/lab/syscallfault"
)

// Tests of a started front whose wall clock steps, by an operator's mistake or a time server's
// correction. Durations and deadlines must hold all the same.

var clockSteps = []time.Duration{-time.Hour, -3 * time.Second, 3 * time.Second, time.Hour}

// newSiteWithClock starts a front whose wall clock can be stepped.
func newSiteWithClock(t *testing.T, env ...string) *site {
	t.Helper()
	return newFaultySite(t, 1, faultOptions{controlClock: true,
		decide: func(syscallfault.Call) syscall.Errno { return 0 }}, env...)
}

func forEachClockStep(t *testing.T, test func(t *testing.T, step time.Duration)) {
	for _, step := range clockSteps {
		t.Run(step.String(), func(t *testing.T) { test(t, step) })
	}
}

// Guards against deadlines that depend on the wall clock: an open request neither fails early nor
// stays open past its deadline, and the ttl passed on to a node is the client's remaining time.
func TestDeadlinesUnderClockSteps(t *testing.T) {
	const wait, slack = 800, 150
	forEachClockStep(t, func(t *testing.T, step time.Duration) {
		s := newSiteWithClock(t)
		served, pending := dial(t, s.addr), dial(t, s.addr)
		served.send(getRequest("guide-video", "9f3a", 4000))
		cmd := s.boxes[0].nextCommand(t)
		began := time.Now()
		pending.send(getRequest("guide-video", "9f3b", wait))
		s.boxes[0].nextCommand(t) // which does not answer
		s.injector.StepClock(step)
		late := dial(t, s.addr)
		late.send(getRequest("guide-video", "9f3c", wait))
		y := s.boxes[0].nextCommand(t)
		for y.fields["name"] != "9f3c" {
			y = s.boxes[0].nextCommand(t)
		}
		if ttl, err := strconv.Atoi(y.fields["ttl"]); err != nil || ttl > wait+slack || ttl <= 0 {
			t.Errorf("passed on: ttl %q of %d ms", y.fields["ttl"], wait)
		}
		y.reply("ok", "sum=t1,t0=1,why=warm", objectBody(y))
		if r, _ := late.readResponse("GET"); r.StatusCode != http.StatusOK {
			t.Errorf("a request after the step got %d", r.StatusCode)
		}
		if r, _ := pending.readResponse("GET"); r.StatusCode == http.StatusOK {
			t.Errorf("no node answered, and the client got %d", r.StatusCode)
		}
		if spent := time.Since(began); spent > (wait+500)*time.Millisecond {
			t.Errorf("the final response came after %v", spent)
		}
		cmd.reply("ok", "sum=t1,t0=1,why=warm", objectBody(cmd))
		if r, _ := served.readResponse("GET"); r.StatusCode != http.StatusOK {
			t.Errorf("a request from before the step got %d", r.StatusCode)
		}
	})
}

// Guards against a shutdown or drain that hangs, or finishes at once, when the clock steps: SIGKILL
// comes 3.7 s after SIGTERM.
func TestShutdownUnderClockSteps(t *testing.T) {
	forEachClockStep(t, func(t *testing.T, step time.Duration) {
		adminAddr := freeAddress(t)
		s := newSiteWithClock(t, "ROUTER_OPS="+adminAddr)
		c := dial(t, s.addr)
		c.send(getRequest("guide-video", "9f3a", 5000))
		cmd := s.boxes[0].nextCommand(t)
		adminCall(t, adminAddr, "LAMEDUCK")
		s.injector.StepClock(step)
		if !eventually(drainTimeout, func() bool { return !accepts(s.addr) }) {
			t.Error("after LAMEDUCK it still accepts new clients")
		}
		if adminCall(t, adminAddr, "REJOIN")[0] != "ok rejoined" || !reportsReady(s.addr) {
			t.Error("after REJOIN it does not take requests")
		}
		s.signal(syscall.SIGTERM)
		began := time.Now()
		s.log.await(t, "told to end")
		s.injector.StepClock(-2 * step)
		late := dial(t, s.addr) // within the time in which clients still connect
		late.send(getRequest("guide-video", "9f3b", 2000))
		y := s.boxes[0].nextCommand(t)
		y.reply("ok", "sum=t1,t0=1,why=warm", objectBody(y))
		if r, _ := late.readResponse("GET"); r.StatusCode != http.StatusOK {
			t.Errorf("a request after SIGTERM got %d", r.StatusCode)
		}
		time.Sleep(time.Second)
		cmd.reply("ok", "sum=t1,t0=1,why=warm", objectBody(cmd))
		if r, _ := c.readResponse("GET"); r.StatusCode != http.StatusOK {
			t.Errorf("the open request got %d", r.StatusCode)
		}
		_, _ = c.conn.Close(), late.conn.Close()
		s.awaitCleanExit()
		if spent := time.Since(began); spent > killDelay {
			t.Errorf("it exited %v after SIGTERM", spent)
		}
	})
}
