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

// Drains and ends of a started front whose system calls fail, or whose clock steps.

// drainedBy is when a front that was told to drain must take nothing any more: 4 s after it
// was told, less the 2 s for which requests may be open.
const drainedBy = 2 * time.Second

// listenerShutdown picks out shutdown(2) for reading, which nothing but a listener needs.
var listenerShutdown = syscallfault.Match{Number: unix.SYS_SHUTDOWN, Arg: 1, Value: unix.SHUT_RD}

// newSiteUnderFaults is newSiteEnv with the front under an injector.
func newSiteUnderFaults(t *testing.T, boxes int, f faults, more ...string) *site {
	t.Helper()
	return newSiteUnder(t, boxes, "", func(config string) string { return config }, &f, more...)
}

// takesWork tells whether a front says at the clients' address that it takes work: a new
// connection is accepted, and the health check on it is answered with 200.
func takesWork(addr string) bool {
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

// accepts tells whether a new client is accepted at an address.
func accepts(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// eventually waits for a condition within a span.
func eventually(within time.Duration, condition func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// The incident: the kernel refuses to shut a listening socket down (ENOTCONN, as its page
// and POSIX allow), and a front that was told to drain goes on taking new clients.
func TestDrainWhereAListenerCannotBeShutDown(t *testing.T) {
	door := freeAddress(t)
	s := newSiteUnderFaults(t, 1, faults{
		matches: []syscallfault.Match{listenerShutdown},
		decide:  func(syscallfault.Call) syscall.Errno { return unix.ENOTCONN },
	}, "ROUTER_OPS="+door)
	if !eventually(patience, func() bool { return call(t, door, "PING")[0] == "ok ready" }) || !takesWork(s.addr) {
		t.Fatal("it was never ready")
	}
	if got := call(t, door, "LAMEDUCK")[0]; got != "ok lame duck" {
		t.Fatalf("LAMEDUCK: %q", got)
	}
	if !eventually(drainedBy, func() bool { return !takesWork(s.addr) }) {
		t.Error("told to drain, it still says that it takes work")
	}
	if !eventually(drainedBy, func() bool { return !accepts(s.addr) }) {
		t.Error("told to drain, it still accepts new clients")
	}
	if got := call(t, door, "REJOIN")[0]; got != "ok rejoined" || !eventually(patience, func() bool { return takesWork(s.addr) }) {
		t.Errorf("REJOIN: %q, and it does not take work", got)
	}
}

// Guards against a request that is lost because its client could not know of the connection's
// end: where our side can't be shut for writing, the client hears of it as soon as all is taken.
func TestDrainTellsIdleClientsWhereTheirSideCannotBeShut(t *testing.T) {
	const told = 40 * time.Millisecond // of the 50 in which a request may cross its connection's end
	door := freeAddress(t)
	s := newSiteUnderFaults(t, 1, faults{
		matches: []syscallfault.Match{{Number: unix.SYS_SHUTDOWN, Arg: 1, Value: unix.SHUT_WR}},
		decide:  func(syscallfault.Call) syscall.Errno { return unix.ENOTCONN },
	}, "ROUTER_OPS="+door)
	c := s.served(t, "9f3a")
	call(t, door, "LAMEDUCK")
	began := time.Now()
	if !c.closed() || time.Since(began) > told {
		t.Errorf("it is told of the end after %v", time.Since(began))
	}
}

// A client whose connection is kept asks on it whether the front takes work: a front that
// drains, or is told to end, says no there as well, not at the operators' door alone.
func TestHealthCheckOnAKeptConnectionFollowsTheDrain(t *testing.T) {
	for _, end := range []string{"LAMEDUCK", "SIGTERM"} {
		t.Run(end, func(t *testing.T) {
			door := freeAddress(t)
			s := newSiteEnv(t, 1, "", "ROUTER_OPS="+door)
			c := dial(t, s.addr)
			c.send(get("guide-video", "9f3a", 4000)) // keeps the connection in use through the drain's begin
			x := s.boxes[0].next(t)
			c.send("GET /ping HTTP/1.1\r\nHost: x\r\n\r\n")
			other := dial(t, s.addr)
			other.send("GET /ping HTTP/1.1\r\n")
			if end == "SIGTERM" {
				s.signal(syscall.SIGTERM)
				s.log.await(t, "told to end")
			} else {
				call(t, door, "LAMEDUCK")
			}
			other.send("Host: x\r\n\r\n")
			if r, _ := other.answer("GET"); r.StatusCode == http.StatusOK {
				t.Errorf("a half-read health check is answered with %d", r.StatusCode)
			}
			x.reply("ok", "sum=t1,t0=1,why=warm", object(x))
			if r, _ := c.answer("GET"); r.StatusCode != http.StatusOK {
				t.Errorf("the open request got %d", r.StatusCode)
			}
			if call(t, door, "PING")[0] == "ok ready" {
				t.Error("the door says ready")
			}
		})
	}
}
