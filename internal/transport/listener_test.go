package transport

import (
	"log/slog"
	"net"
	"os"
	"testing"
	"time"
)

func descriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

// Guards against clients that are reset because they waited to be accepted when the listener
// stopped: the kernel had taken their connections, and they may have sent requests.
func TestStopAcceptsWhoWaits(t *testing.T) {
	const waiting = 40
	w := newWorld(t)
	ends, hold := make(chan *end, waiting+1), make(chan struct{})
	w.listener.Stop()
	until(t, "the first listener closes", w.listener.Closed)
	x, err := Listen(w.loop, w.addr, 1<<20, &w.gauge, slog.New(slog.DiscardHandler), func(c *Conn) Handler {
		<-hold // the poller is held up
		return newEnd(c, ends)
	})
	if err != nil {
		t.Fatal(err)
	}
	for range waiting {
		c, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	x.Stop()
	close(hold)
	for i := range waiting {
		select {
		case <-ends:
		case <-time.After(patience):
			t.Fatalf("%d of %d were accepted", i, waiting)
		}
	}
	until(t, "the listener closes", x.Closed)
	if c, err := net.Dial("tcp", w.addr); err == nil {
		c.Close()
		t.Error("a stopped listener took a client")
	}
}

// Guards against descriptors that a stopped listener keeps.
func TestStopLetsGoOfDescriptors(t *testing.T) {
	w := newWorld(t)
	w.listener.Stop()
	until(t, "the listener closes", w.listener.Closed)
	before := -1
	for range 20 {
		x, err := Listen(w.loop, w.addr, 1<<20, &w.gauge, slog.New(slog.DiscardHandler), func(*Conn) Handler { return nil })
		if err != nil {
			t.Fatal(err)
		}
		x.Stop()
		until(t, "it closes", x.Closed)
		if now := descriptors(t); before < 0 {
			before = now
		} else if now > before {
			t.Fatalf("%d descriptors, %d before", now, before)
		}
	}
}
