// Package logging makes the program's log: log/slog's text form, with a bound on
// how often one message stands in it, since peers can provoke lines at will.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	mostLines = 50          // of one message in a span
	span      = time.Second // after which it may stand there again
)

// New makes a log of lines at a level and above.
func New(w io.Writer, level slog.Level) *slog.Logger {
	text := slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(&limiter{Handler: text, counts: &counts{byText: map[string]*count{}}})
}

// limiter passes on what is not too much. Errors always pass. A line that is
// passed on again tells how many were left out before it.
type limiter struct {
	slog.Handler
	counts *counts
}

// counts is shared by all loggers made from one. Messages are constants of the
// program, so it does not grow.
type counts struct {
	mu     sync.Mutex
	byText map[string]*count
}

type count struct {
	since       time.Time
	lines, left int
}

// Handle writes a line, or counts it as left out.
func (l *limiter) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelError {
		left, pass := l.counts.take(r.Message, r.Time)
		if !pass {
			return nil
		}
		if left > 0 {
			r.AddAttrs(slog.Int("left_out", left))
		}
	}
	return l.Handler.Handle(ctx, r)
}

func (c *counts) take(text string, now time.Time) (left int, pass bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.byText[text]
	if x == nil {
		x = &count{since: now}
		c.byText[text] = x
	}
	if now.Sub(x.since) >= span {
		left = x.left
		*x = count{since: now}
	}
	if x.lines >= mostLines {
		x.left++
		return 0, false
	}
	x.lines++
	return left, true
}

// WithAttrs is part of slog.Handler.
func (l *limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limiter{Handler: l.Handler.WithAttrs(attrs), counts: l.counts}
}

// WithGroup is part of slog.Handler.
func (l *limiter) WithGroup(name string) slog.Handler {
	return &limiter{Handler: l.Handler.WithGroup(name), counts: l.counts}
}
