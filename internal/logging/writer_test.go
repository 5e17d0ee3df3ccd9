package logging

import (
	"strings"
	"testing"
	"time"
)

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	got     strings.Builder
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.got.Write(p)
}

// Guards against a log that blocks the program when its reader stops reading. Lines beyond the
// bound must be dropped, and reported once the writer accepts lines again.
func TestWriterNeverBlocks(t *testing.T) {
	to := &blockedWriter{release: make(chan struct{})}
	w := NewWriter(to)
	const lines = 3 * maxPendingLines
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
	close(to.release)
	for got, end := 0, time.Now().Add(10*time.Second); got < maxPendingLines; got = strings.Count(to.got.String(), "line\n") {
		w.Flush(10 * time.Second)
		if time.Now().After(end) {
			t.Fatalf("%d lines", got)
		}
	}
	if !strings.Contains(to.got.String(), "log lines dropped") {
		t.Error("dropped lines are not reported")
	}
}
