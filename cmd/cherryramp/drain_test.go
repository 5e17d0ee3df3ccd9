package main_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cherryramp/lab/syscallfault"
)

// Tests of draining and shutting down a started front whose system calls fail.

// drainTimeout is when a front must have stopped accepting after LAMEDUCK: 4 s, less the 2 s for
// which requests may be open.
const drainTimeout = 2 * time.Second

// listenerShutdown selects shutdown(2) for reading, which is only used on listeners.
var listenerShutdown = syscallfault.Match{Number: unix.SYS_SHUTDOWN, Arg: 1, Value: unix.SHUT_RD}

// newFaultySite is newSiteWithEnv with faults in the front's system calls.
func newFaultySite(t *testing.T, boxes int, f faultOptions, env ...string) *site {
	t.Helper()
	return newSiteWithFaults(t, boxes, "", func(config string) string { return config }, &f, env...)
}

// reportsReady reports whether a front accepts a new connection at the clients' address and
// answers the health check on it with 200.
func reportsReady(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(c, "GET /ping HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return false
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	return err == nil && r.StatusCode == http.StatusOK
}

// accepts reports whether a new connection is accepted at an address.
func accepts(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// eventually polls a condition until it holds, and reports whether it did within a duration.
func eventually(within time.Duration, condition func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// Guards against a front that keeps accepting new clients after LAMEDUCK because the kernel
// refuses to shut down a listening socket (ENOTCONN, which the man page and POSIX allow).
func TestDrainWhenListenerShutdownFails(t *testing.T) {
	adminAddr := freeAddress(t)
	s := newFaultySite(t, 1, faultOptions{
		matches: []syscallfault.Match{listenerShutdown},
		decide:  func(syscallfault.Call) syscall.Errno { return unix.ENOTCONN },
	}, "ROUTER_OPS="+adminAddr)
	if !eventually(waitTimeout, func() bool { return adminCall(t, adminAddr, "PING")[0] == "ok ready" }) || !reportsReady(s.addr) {
		t.Fatal("it did not become ready")
	}
	if got := adminCall(t, adminAddr, "LAMEDUCK")[0]; got != "ok lame duck" {
		t.Fatalf("LAMEDUCK: %q", got)
	}
	if !eventually(drainTimeout, func() bool { return !reportsReady(s.addr) }) {
		t.Error("after LAMEDUCK it still reports ready")
	}
	if !eventually(drainTimeout, func() bool { return !accepts(s.addr) }) {
		t.Error("after LAMEDUCK it still accepts new clients")
	}
	if got := adminCall(t, adminAddr, "REJOIN")[0]; got != "ok rejoined" || !eventually(waitTimeout, func() bool { return reportsReady(s.addr) }) {
		t.Errorf("REJOIN: %q, or it does not report ready", got)
	}
}

// Guards against a request that is lost because its client does not learn that the connection is
// closed: if shutdown(2) for writing fails, the front closes the connection as soon as everything
// has been read.
func TestDrainClosesIdleClientsWhenWriteShutdownFails(t *testing.T) {
	const maxDelay = 40 * time.Millisecond // of the 50 ms in which a request may cross the close of its connection
	adminAddr := freeAddress(t)
	s := newFaultySite(t, 1, faultOptions{
		matches: []syscallfault.Match{{Number: unix.SYS_SHUTDOWN, Arg: 1, Value: unix.SHUT_WR}},
		decide:  func(syscallfault.Call) syscall.Errno { return unix.ENOTCONN },
	}, "ROUTER_OPS="+adminAddr)
	c := s.fetchFromBox(t, "9f3a")
	adminCall(t, adminAddr, "LAMEDUCK")
	began := time.Now()
	if !c.waitClosed() || time.Since(began) > maxDelay {
		t.Errorf("the connection closed after %v", time.Since(began))
	}
}

// Guards against a front that drains, or has got SIGTERM, and still reports ready to health checks
// on kept connections; it must report not ready there as well, not only at the admin endpoint.
func TestHealthCheckOnAKeptConnectionFollowsTheDrain(t *testing.T) {
	for _, end := range []string{"LAMEDUCK", "SIGTERM"} {
		t.Run(end, func(t *testing.T) {
			adminAddr := freeAddress(t)
			s := newSiteWithEnv(t, 1, "", "ROUTER_OPS="+adminAddr)
			c := dial(t, s.addr)
			c.send(getRequest("guide-video", "9f3a", 4000)) // keeps the connection in use while the drain starts
			cmd := s.boxes[0].nextCommand(t)
			c.send("GET /ping HTTP/1.1\r\nHost: x\r\n\r\n")
			other := dial(t, s.addr)
			other.send("GET /ping HTTP/1.1\r\n")
			if end == "SIGTERM" {
				s.signal(syscall.SIGTERM)
				s.log.await(t, "told to end")
			} else {
				adminCall(t, adminAddr, "LAMEDUCK")
			}
			other.send("Host: x\r\n\r\n")
			if r, _ := other.readResponse("GET"); r.StatusCode == http.StatusOK {
				t.Errorf("a half-read health check is answered with %d", r.StatusCode)
			}
			cmd.reply("ok", "sum=t1,t0=1,why=warm", objectBody(cmd))
			if r, _ := c.readResponse("GET"); r.StatusCode != http.StatusOK {
				t.Errorf("the open request got %d", r.StatusCode)
			}
			if adminCall(t, adminAddr, "PING")[0] == "ok ready" {
				t.Error("the admin endpoint reports ready")
			}
		})
	}
}
