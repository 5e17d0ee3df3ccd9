package exchange

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// history writes events to a file, for the lab's checkers to read later. Without a path
// nothing is written. Times are of the machine's monotonic clock, in nanoseconds.
type history struct {
	events  chan []byte
	file    *os.File
	closed  chan error
	dropped atomic.Int64
	front   string
}

const maxEvents = 1 << 16

func openHistory(ctx context.Context, path, front string) (*history, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	h := &history{events: make(chan []byte, maxEvents), file: f, closed: make(chan error, 1), front: front}
	go h.run(ctx)
	h.write("began", nil)
	return h, nil
}

// run writes events. It flushes whenever none is waiting, so that little is lost if the
// process dies.
func (h *history) run(ctx context.Context) {
	w := bufio.NewWriter(h.file)
	for {
		select {
		case b := <-h.events:
			_, _ = w.Write(b)
			if len(h.events) == 0 {
				_ = w.Flush()
			}
		case <-ctx.Done():
			h.closed <- w.Flush()
			return
		}
	}
}

// Mono returns the machine's monotonic clock in nanoseconds, which all processes share; 0
// if it can't be read.
func Mono() int64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) != nil {
		return 0
	}
	return t.Nano()
}

// enabled reports whether events are written.
func (h *history) enabled() bool { return h != nil }

// write writes an event that happens now. If too many are waiting, the event is dropped
// and counted as missing in the next one.
func (h *history) write(event string, facts map[string]any) {
	if h != nil {
		h.writeAt(Mono(), event, facts)
	}
}

func (h *history) writeAt(at int64, event string, facts map[string]any) {
	line := map[string]any{"t": at, "by": h.front, "e": event}
	for k, v := range facts {
		line[k] = v
	}
	if n := h.dropped.Load(); n > 0 {
		line["missing"] = n
	}
	b, err := json.Marshal(line)
	if err != nil {
		return
	}
	select {
	case h.events <- append(b, '\n'):
	default:
		h.dropped.Add(1)
	}
}

func (h *history) close() error {
	if h == nil {
		return nil
	}
	err := <-h.closed
	if e := h.file.Close(); err == nil {
		err = e
	}
	return err
}
