package exchange

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// history writes what happened to a file, as it happened, for a judge to read later. It
// is the laboratory's; without a path nothing is written. Moments are of the machine's
// monotonic clock, in nanoseconds.
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

// run writes; what is waiting is written at once, so that little is lost with a process.
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

// Mono is the machine's monotonic clock, in nanoseconds: the same for all processes.
func Mono() int64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) != nil {
		return 0
	}
	return t.Nano()
}

// on tells whether anything is written.
func (h *history) enabled() bool { return h != nil }

// write writes an event that happens now. Where too many wait it is counted as missing.
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
