package transport

import (
	"log/slog"
	"net"
	"os"
	"testing"
	"time"
)

func countDescriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

// Guards against resetting clients that wait to be accepted when the listener stops: the kernel
// has established their connections, and they may have sent requests.
func TestStopAcceptsQueuedClients(t *testing.T) {
	const waiting = 40
	server := newTestServer(t)
	recorders, hold := make(chan *recorder, waiting+1), make(chan struct{})
	server.listener.Stop()
	waitFor(t, "the first listener closes", server.listener.Closed)
	x, err := Listen(server.loop, server.addr, 1<<20, &server.gauge, slog.New(slog.DiscardHandler), func(c *Conn) Handler {
		<-hold // blocks the poller
		return newRecorder(c, recorders)
	})
	if err != nil {
		t.Fatal(err)
	}
	for range waiting {
		c, err := net.Dial("tcp", server.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	x.Stop()
	close(hold)
	for i := range waiting {
		select {
		case <-recorders:
		case <-time.After(testTimeout):
			t.Fatalf("%d of %d were accepted", i, waiting)
		}
	}
	waitFor(t, "the listener closes", x.Closed)
	if c, err := net.Dial("tcp", server.addr); err == nil {
		c.Close()
		t.Error("a stopped listener accepted a client")
	}
}

// Guards against descriptors that a stopped listener leaks.
func TestStopReleasesDescriptors(t *testing.T) {
	server := newTestServer(t)
	server.listener.Stop()
	waitFor(t, "the listener closes", server.listener.Closed)
	before := -1
	for range 20 {
		x, err := Listen(server.loop, server.addr, 1<<20, &server.gauge, slog.New(slog.DiscardHandler), func(*Conn) Handler { return nil })
		if err != nil {
			t.Fatal(err)
		}
		x.Stop()
		waitFor(t, "the listener closes", x.Closed)
		if now := countDescriptors(t); before < 0 {
			before = now
		} else if now > before {
			t.Fatalf("%d descriptors, %d before", now, before)
		}
	}
}
