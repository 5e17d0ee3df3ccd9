package logging

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Guards against a log that peers fill: a message stands there a bounded number
// of times in a span, others and errors beside it, and what was left out is told.
func TestLinesOfOneMessageAreBounded(t *testing.T) {
	var out strings.Builder
	log := New(&out, slog.LevelInfo)
	at := time.Now()
	write := func(level slog.Level, text string) {
		_ = log.With("front", "x").Handler().Handle(context.Background(), slog.NewRecord(at, level, text, 0))
	}
	for range 3 * mostLines {
		write(slog.LevelWarn, "provoked")
		write(slog.LevelError, "grave")
	}
	write(slog.LevelInfo, "other")
	at = at.Add(span)
	write(slog.LevelWarn, "provoked")
	for text, want := range map[string]int{"msg=provoked": mostLines + 1, "msg=grave": 3 * mostLines, "msg=other": 1,
		"left_out=100": 1} {
		if got := strings.Count(out.String(), text); got != want {
			t.Errorf("%s stands there %d times, want %d", text, got, want)
		}
	}
}
