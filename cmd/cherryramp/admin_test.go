package main_test

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// answered gives all that a caller at the operators' door is answered, having made its call
// as it likes.
func answered(t *testing.T, door string, make func(c *net.TCPConn)) string {
	t.Helper()
	c, err := net.Dial("tcp", door)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(patience))
	make(c.(*net.TCPConn))
	all, _ := io.ReadAll(c)
	return string(all)
}

// Guards against orders that are carried out, or not, without their caller being told: it has
// shut its sending side, sends slowly, or leaves the line end away.
func TestEveryCallerIsTold(t *testing.T) {
	door := freeAddress(t)
	s := newSiteEnv(t, 1, "", "ROUTER_OPS="+door)
	s.log.await(t, "ops="+door)
	for name, x := range map[string]struct {
		make func(c *net.TCPConn)
		want string
	}{
		"half-closed behind the call": {func(c *net.TCPConn) { _, _ = io.WriteString(c, "REJOIN\n"); _ = c.CloseWrite() }, "ok rejoined\n"},
		"no line end": {func(c *net.TCPConn) { _, _ = io.WriteString(c, "LAMEDUCK"); _ = c.CloseWrite() },
			"fail the call is cut short: its line end is missing\n"},
		"in pieces": {func(c *net.TCPConn) {
			for _, b := range []byte("REJOIN\n") {
				_, _ = c.Write([]byte{b})
				time.Sleep(350 * time.Millisecond)
			}
		}, "ok rejoined\n"},
		"too long":             {func(c *net.TCPConn) { _, _ = io.WriteString(c, strings.Repeat("x", 10_000)) }, "fail call too long\n"},
		"more behind the call": {func(c *net.TCPConn) { _, _ = io.WriteString(c, "REJOIN\nPING\n") }, "ok rejoined\n"},
		"an empty line":        {func(c *net.TCPConn) { _, _ = io.WriteString(c, "\n") }, "fail no call\n"},
		"nothing":              {func(c *net.TCPConn) { _ = c.CloseWrite() }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			if got := answered(t, door, x.make); got != x.want {
				t.Errorf("%q, want %q", got, x.want)
			}
		})
	}
	for range 300 { // callers who say nothing
		if silent, err := net.Dial("tcp", door); err == nil {
			defer silent.Close()
		}
	}
	if got := call(t, door, "PING")[0]; got != "ok ready" {
		t.Errorf("PING: %q", got)
	}
}

// Guards against two processes at one door, of which each call reaches either: a process whose
// door is another's yet opens it once that has ended.
func TestADoorBelongsToOneProcess(t *testing.T) {
	door := freeAddress(t)
	first := newSiteEnv(t, 1, "", "ROUTER_OPS="+door)
	second := newSiteEnv(t, 1, "", "ROUTER_OPS="+door)
	if got := call(t, door, "LAMEDUCK")[0]; got != "ok lame duck" {
		t.Fatalf("LAMEDUCK: %q", got)
	}
	for range 40 {
		if got := call(t, door, "PING")[0]; got != "fail lame duck" {
			t.Fatalf("PING: %q of another process", got)
		}
	}
	first.signal(syscall.SIGTERM)
	first.ends()
	if !eventually(patience, func() bool {
		c, err := net.Dial("tcp", door)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}) {
		t.Fatal("nobody opens the door")
	}
	if got := call(t, door, "PING")[0]; got != "ok ready" && got != "fail starting" {
		t.Errorf("PING of the second: %q", got)
	}
	second.log.await(t, "the operators' address is open")
}
