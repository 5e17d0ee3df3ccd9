package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxPendingLines bounds the lines that wait to be written. Beyond that they are dropped.
const maxPendingLines = 1024

// Writer passes lines to another writer without blocking the caller. While that writer
// blocks, up to maxPendingLines lines are buffered. Further ones are dropped, and their number
// is written as soon as the writer accepts lines again.
type Writer struct {
	to      io.Writer
	entries chan entry
	dropped atomic.Int64
}

// entry is a line, or a request to be notified once all lines before it are written.
type entry struct {
	line    []byte
	flushed chan<- struct{}
}

// NewWriter returns a Writer whose goroutine runs for the lifetime of the process.
func NewWriter(to io.Writer) *Writer {
	w := &Writer{to: to, entries: make(chan entry, maxPendingLines)}
	go w.run()
	return w
}

// Write queues one line, or drops it. It never blocks or fails.
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
		_, _ = w.to.Write(e.line) // there is nowhere to report an error
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.to, "level=WARN msg=\"log lines dropped: nobody took them\" lines=%d\n", n)
		}
	}
}

// Flush waits until all lines so far are written, or until a timeout.
func (w *Writer) Flush(timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	flushed := make(chan struct{})
	select {
	case w.entries <- entry{flushed: flushed}:
	case <-timer.C:
		return
	}
	select {
	case <-flushed:
	case <-timer.C:
	}
}
