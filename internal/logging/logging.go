// Package logging provides the program's log: log/slog's text format, with a limit on how
// often one message is written, since peers can provoke messages at will.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	maxLines = 50          // of one message per window
	window   = time.Second // after which a message may be written again
)

// New returns a logger that writes lines at a level and above.
func New(w io.Writer, level slog.Level) *slog.Logger {
	text := slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(&limiter{Handler: text, counts: &messageCounts{byMessage: map[string]*count{}}})
}

// limiter drops lines in excess of maxLines per message and window. Errors are never
// dropped. The first line after a window reports how many were dropped in it.
type limiter struct {
	slog.Handler
	counts *messageCounts
}

// messageCounts is shared by all loggers derived from one. Messages are constants of the
// program, so the map does not grow without bound.
type messageCounts struct {
	mu        sync.Mutex
	byMessage map[string]*count
}

type count struct {
	windowStart    time.Time
	lines, omitted int
}

// Handle writes a line, or counts it as omitted.
func (l *limiter) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelError {
		omitted, pass := l.counts.add(r.Message, r.Time)
		if !pass {
			return nil
		}
		if omitted > 0 {
			r.AddAttrs(slog.Int("left_out", omitted))
		}
	}
	return l.Handler.Handle(ctx, r)
}

func (c *messageCounts) add(message string, now time.Time) (omitted int, pass bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.byMessage[message]
	if entry == nil {
		entry = &count{windowStart: now}
		c.byMessage[message] = entry
	}
	if now.Sub(entry.windowStart) >= window {
		omitted = entry.omitted
		*entry = count{windowStart: now}
	}
	if entry.lines >= maxLines {
		entry.omitted++
		return 0, false
	}
	entry.lines++
	return omitted, true
}

// WithAttrs implements slog.Handler.
func (l *limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limiter{Handler: l.Handler.WithAttrs(attrs), counts: l.counts}
}

// WithGroup implements slog.Handler.
func (l *limiter) WithGroup(name string) slog.Handler {
	return &limiter{Handler: l.Handler.WithGroup(name), counts: l.counts}
}
