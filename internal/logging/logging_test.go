package logging

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Guards against a log that peers can fill. A message must be written a bounded number of
// times per window, without affecting other messages and errors, and the number of omitted
// lines must be reported.
func TestMessageRateIsBounded(t *testing.T) {
	var out strings.Builder
	log := New(&out, slog.LevelInfo)
	at := time.Now()
	write := func(level slog.Level, text string) {
		_ = log.With("front", "x").Handler().Handle(context.Background(), slog.NewRecord(at, level, text, 0))
	}
	for range 3 * maxLines {
		write(slog.LevelWarn, "provoked")
		write(slog.LevelError, "grave")
	}
	write(slog.LevelInfo, "other")
	at = at.Add(window)
	write(slog.LevelWarn, "provoked")
	for text, want := range map[string]int{"msg=provoked": maxLines + 1, "msg=grave": 3 * maxLines, "msg=other": 1,
		"left_out=100": 1} {
		if got := strings.Count(out.String(), text); got != want {
			t.Errorf("%s was written %d times, want %d", text, got, want)
		}
	}
}
