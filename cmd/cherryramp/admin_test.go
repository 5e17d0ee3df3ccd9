package main_test

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// adminExchange connects to the admin endpoint, has send write the call, and returns all that
// is answered.
func adminExchange(t *testing.T, adminAddr string, send func(c *net.TCPConn)) string {
	t.Helper()
	c, err := net.Dial("tcp", adminAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	send(c.(*net.TCPConn))
	all, _ := io.ReadAll(c)
	return string(all)
}

// Guards against admin calls whose caller gets no reply, whether they are executed or not: the
// caller has shut down its sending side, sends slowly, or omits the line end.
func TestEveryAdminCallIsAnswered(t *testing.T) {
	adminAddr := freeAddress(t)
	s := newSiteWithEnv(t, 1, "", "ROUTER_OPS="+adminAddr)
	s.log.await(t, "ops="+adminAddr)
	for name, x := range map[string]struct {
		make func(c *net.TCPConn)
		want string
	}{
		"half-closed after the call": {func(c *net.TCPConn) { _, _ = io.WriteString(c, "REJOIN\n"); _ = c.CloseWrite() }, "ok rejoined\n"},
		"no line end": {func(c *net.TCPConn) { _, _ = io.WriteString(c, "LAMEDUCK"); _ = c.CloseWrite() },
			"fail the call is cut short: its line end is missing\n"},
		"in pieces": {func(c *net.TCPConn) {
			for _, b := range []byte("REJOIN\n") {
				_, _ = c.Write([]byte{b})
				time.Sleep(350 * time.Millisecond)
			}
		}, "ok rejoined\n"},
		"too long":            {func(c *net.TCPConn) { _, _ = io.WriteString(c, strings.Repeat("x", 10_000)) }, "fail call too long\n"},
		"more after the call": {func(c *net.TCPConn) { _, _ = io.WriteString(c, "REJOIN\nPING\n") }, "ok rejoined\n"},
		"an empty line":       {func(c *net.TCPConn) { _, _ = io.WriteString(c, "\n") }, "fail no call\n"},
		"nothing":             {func(c *net.TCPConn) { _ = c.CloseWrite() }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			if got := adminExchange(t, adminAddr, x.make); got != x.want {
				t.Errorf("%q, want %q", got, x.want)
			}
		})
	}
	for range 300 { // callers that send nothing
		if silent, err := net.Dial("tcp", adminAddr); err == nil {
			defer silent.Close()
		}
	}
	if got := adminCall(t, adminAddr, "PING")[0]; got != "ok ready" {
		t.Errorf("PING: %q", got)
	}
}

// Guards against two processes listening at one admin address, where a call reaches either of
// them: a process whose address is in use opens it once the other process has ended.
func TestAdminAddressBelongsToOneProcess(t *testing.T) {
	adminAddr := freeAddress(t)
	first := newSiteWithEnv(t, 1, "", "ROUTER_OPS="+adminAddr)
	second := newSiteWithEnv(t, 1, "", "ROUTER_OPS="+adminAddr)
	if got := adminCall(t, adminAddr, "LAMEDUCK")[0]; got != "ok lame duck" {
		t.Fatalf("LAMEDUCK: %q", got)
	}
	for range 40 {
		if got := adminCall(t, adminAddr, "PING")[0]; got != "fail lame duck" {
			t.Fatalf("PING: %q, from the second process", got)
		}
	}
	first.signal(syscall.SIGTERM)
	first.awaitCleanExit()
	if !eventually(waitTimeout, func() bool {
		c, err := net.Dial("tcp", adminAddr)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}) {
		t.Fatal("the second process does not open the admin address")
	}
	if got := adminCall(t, adminAddr, "PING")[0]; got != "ok ready" && got != "fail starting" {
		t.Errorf("PING of the second: %q", got)
	}
	second.log.await(t, "the operators' address is open")
}
