package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// linesMost is how many lines may wait for whoever takes the log; more are dropped.
const linesMost = 1024

// Writer passes lines on to another writer without ever waiting for it. It is bounded: where
// the other takes nothing, lines are dropped and counted, and the count is written once it does.
type Writer struct {
	to      io.Writer
	entries chan entry
	dropped atomic.Int64
}

// entry is a line, or the request to tell that all before it have been passed on.
type entry struct {
	line    []byte
	flushed chan<- struct{}
}

// NewWriter starts to pass lines on, for as long as the process lives.
func NewWriter(to io.Writer) *Writer {
	w := &Writer{to: to, entries: make(chan entry, linesMost)}
	go w.run()
	return w
}

// Write takes one line. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.entries <- entry{line: bytes.Clone(line)}:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *Writer) run() {
	for e := range w.entries {
		if e.flushed != nil {
			close(e.flushed)
			continue
		}
		_, _ = w.to.Write(e.line) // there is nobody to tell of an error
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.to, "level=WARN msg=\"log lines dropped: nobody took them\" lines=%d\n", n)
		}
	}
}

// Flush waits until all lines so far are passed on, or for a span.
func (w *Writer) Flush(within time.Duration) {
	end := time.NewTimer(within)
	defer end.Stop()
	flushed := make(chan struct{})
	select {
	case w.entries <- entry{flushed: flushed}:
	case <-end.C:
		return
	}
	select {
	case <-flushed:
	case <-end.C:
	}
}
