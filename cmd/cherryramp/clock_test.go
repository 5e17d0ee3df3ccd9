package main_test

import (
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"cherryramp/lab/syscallfault"
)

// A started front whose wall clock steps, by what an operator's mistake or a time server's
// correction make of it. What was promised by span holds all the same.

var clockSteps = []time.Duration{-time.Hour, -3 * time.Second, 3 * time.Second, time.Hour}

// newSiteWithClock starts a front whose wall clock can be stepped.
func newSiteWithClock(t *testing.T, more ...string) *site {
	t.Helper()
	return newSiteUnderFaults(t, 1, faults{clock: true,
		decide: func(syscallfault.Call) syscall.Errno { return 0 }}, more...)
}

func overClockSteps(t *testing.T, test func(t *testing.T, step time.Duration)) {
	for _, step := range clockSteps {
		t.Run(step.String(), func(t *testing.T) { test(t, step) })
	}
}

// Guards against deadlines on the wall clock: an open request is neither failed early nor kept
// past its time, and what is passed on to a node is what its client has left.
func TestDeadlinesWhereTheClockSteps(t *testing.T) {
	const wait, slack = 800, 150
	overClockSteps(t, func(t *testing.T, step time.Duration) {
		s := newSiteWithClock(t)
		served, kept := dial(t, s.addr), dial(t, s.addr)
		served.send(get("guide-video", "9f3a", 4000))
		x := s.boxes[0].next(t)
		began := time.Now()
		kept.send(get("guide-video", "9f3b", wait))
		s.boxes[0].next(t) // and says nothing
		s.faults.StepClock(step)
		late := dial(t, s.addr)
		late.send(get("guide-video", "9f3c", wait))
		y := s.boxes[0].next(t)
		for y.fields["name"] != "9f3c" {
			y = s.boxes[0].next(t)
		}
		if ttl, err := strconv.Atoi(y.fields["ttl"]); err != nil || ttl > wait+slack || ttl <= 0 {
			t.Errorf("passed on: ttl %q of %d ms", y.fields["ttl"], wait)
		}
		y.reply("ok", "sum=t1,t0=1,why=warm", object(y))
		if r, _ := late.answer("GET"); r.StatusCode != http.StatusOK {
			t.Errorf("a request after the step got %d", r.StatusCode)
		}
		if r, _ := kept.answer("GET"); r.StatusCode == http.StatusOK {
			t.Errorf("nobody answered, and the client got %d", r.StatusCode)
		}
		if spent := time.Since(began); spent > (wait+500)*time.Millisecond {
			t.Errorf("the final answer came after %v", spent)
		}
		x.reply("ok", "sum=t1,t0=1,why=warm", object(x))
		if r, _ := served.answer("GET"); r.StatusCode != http.StatusOK {
			t.Errorf("a request from before the step got %d", r.StatusCode)
		}
	})
}

// Guards against an end or a drain that hangs, or that comes at once, as the clock steps:
// SIGKILL comes 3.7 s after SIGTERM.
func TestEndWhereTheClockSteps(t *testing.T) {
	overClockSteps(t, func(t *testing.T, step time.Duration) {
		door := freeAddress(t)
		s := newSiteWithClock(t, "ROUTER_OPS="+door)
		c := dial(t, s.addr)
		c.send(get("guide-video", "9f3a", 5000))
		x := s.boxes[0].next(t)
		call(t, door, "LAMEDUCK")
		s.faults.StepClock(step)
		if !eventually(drainedBy, func() bool { return !accepts(s.addr) }) {
			t.Error("told to drain, it still accepts new clients")
		}
		if call(t, door, "REJOIN")[0] != "ok rejoined" || !takesWork(s.addr) {
			t.Error("it does not come back")
		}
		s.signal(syscall.SIGTERM)
		began := time.Now()
		s.log.await(t, "told to end")
		s.faults.StepClock(-2 * step)
		late := dial(t, s.addr) // within the time in which clients still come
		late.send(get("guide-video", "9f3b", 2000))
		y := s.boxes[0].next(t)
		y.reply("ok", "sum=t1,t0=1,why=warm", object(y))
		if r, _ := late.answer("GET"); r.StatusCode != http.StatusOK {
			t.Errorf("a request after SIGTERM got %d", r.StatusCode)
		}
		time.Sleep(time.Second)
		x.reply("ok", "sum=t1,t0=1,why=warm", object(x))
		if r, _ := c.answer("GET"); r.StatusCode != http.StatusOK {
			t.Errorf("the open request got %d", r.StatusCode)
		}
		_, _ = c.c.Close(), late.c.Close()
		s.ends()
		if spent := time.Since(began); spent > killedAfter {
			t.Errorf("it ended %v after SIGTERM", spent)
		}
	})
}
