package logging

import (
	"strings"
	"testing"
	"time"
)

// stuck is a writer that takes nothing until it is let go.
type stuck struct {
	letGo chan struct{}
	got   strings.Builder
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.letGo
	return s.got.Write(p)
}

// Lines beyond the bound are dropped, nobody waits, and the count is told once there is somebody
// to tell.
func TestWriterNeverWaits(t *testing.T) {
	to := &stuck{letGo: make(chan struct{})}
	w := NewWriter(to)
	const lines = 3 * linesMost
	for range lines {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	began := time.Now()
	w.Flush(10 * time.Millisecond)
	if spent := time.Since(began); spent > time.Second {
		t.Errorf("a flush took %v", spent)
	}
	close(to.letGo)
	for got, end := 0, time.Now().Add(10*time.Second); got < linesMost; got = strings.Count(to.got.String(), "line\n") {
		w.Flush(10 * time.Second)
		if time.Now().After(end) {
			t.Fatalf("%d lines", got)
		}
	}
	if !strings.Contains(to.got.String(), "log lines dropped") {
		t.Error("nothing is said of those that were dropped")
	}
}
