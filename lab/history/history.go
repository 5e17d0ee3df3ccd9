// Package history is what the processes of a fleet did, written by each as it happened,
// and a judge that reads it afterwards. The judge knows only the promises: it imports
// nothing of what decides or carries anything, and works on any folder that a run left.
//
// A history is a folder of files in JSON lines. Moments are nanoseconds of the machine's
// one monotonic clock, so that what different processes wrote can be compared.
package history

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"golang.org/x/sys/unix"
)

// Now is the machine's monotonic clock, in nanoseconds.
func Now() int64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) != nil {
		return 0
	}
	return t.Nano()
}

// Event is one thing that happened.
type Event struct {
	At   int64  `json:"t"`
	By   string `json:"by"`
	Kind string `json:"e"`

	// Of limits.
	Limit   string  `json:"limit,omitempty"`
	Subject string  `json:"who,omitempty"`
	OK      bool    `json:"ok,omitempty"`
	Lease   uint64  `json:"part,omitempty"`
	Amount  float64 `json:"amount,omitempty"`
	Site    string  `json:"site,omitempty"`
	Owner   uint64  `json:"keeper,omitempty"`

	// Of purges.
	Purge      string `json:"purge,omitempty"` // its number
	RequestKey string `json:"asked,omitempty"`
	Scope      string `json:"scope,omitempty"`

	// Of requests.
	ID     uint64 `json:"id,omitempty"`
	Front  string `json:"front,omitempty"`
	Object string `json:"object,omitempty"`
	Class  string `json:"class,omitempty"`
	End    int64  `json:"end,omitempty"`    // when its answer was whole
	Status int    `json:"status,omitempty"` // 0: none came
	Filled int64  `json:"filled,omitempty"` // when the copy that it was answered with was filled
	Excuse string `json:"excuse,omitempty"` // why no answer need have come
	Tenant string `json:"tenant,omitempty"`

	// Of verdicts and paths.
	Box       string   `json:"box,omitempty"`
	State     string   `json:"state,omitempty"`
	Witnesses []string `json:"witnesses,omitempty"`
	Sites     int      `json:"sites,omitempty"` // of witnesses
	Possible  int      `json:"possible,omitempty"`
	AgeMS     float64  `json:"age_ms,omitempty"`
	BoundMS   float64  `json:"bound_ms,omitempty"`
	Region    string   `json:"region,omitempty"`
	Edge      string   `json:"edge,omitempty"`
	Hub       string   `json:"hub,omitempty"`
	Boxes     int      `json:"boxes,omitempty"`
	Ready     int      `json:"ready,omitempty"`

	Dropped int64  `json:"missing,omitempty"` // events that could not be written
	Detail  string `json:"told,omitempty"`    // of the world: what happened to whom
}

// Promise is a limit as the world sets it.
type LimitSpec struct {
	Limit           string  `json:"limit"`
	Kind            string  `json:"kind"`
	Amount          float64 `json:"amount"`
	Burst           float64 `json:"burst"`
	Hard            bool    `json:"hard"`
	MaxExcess       float64 `json:"over"` // of a soft one: the most above it, as printed
	RecoverySeconds float64 `json:"back_s"`
}

// World is what a run was.
type RunInfo struct {
	Fronts    []string          `json:"fronts"`
	Sites     map[string]string `json:"sites"` // of fronts
	Limits    []LimitSpec       `json:"limits"`
	SettledAt int64             `json:"settle"` // from when on all is in contact and has had time; 0: never
	EndedAt   int64             `json:"ended"`
	Seed      uint64            `json:"seed"`
}

const worldFile = "world.json"

// WriteWorld writes what a run was, beside its histories.
func WriteRunInfo(folder string, w RunInfo) error {
	b, err := json.MarshalIndent(w, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, worldFile), b, 0o600)
}

// Writer writes one process's history. It may be used from anywhere.
type Writer struct {
	mu   sync.Mutex
	file *os.File
	w    *bufio.Writer
	by   string
}

// Open begins a history in a folder, or goes on with it.
func Open(folder, by string) (*Writer, error) {
	f, err := os.OpenFile(Path(folder, by), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &Writer{file: f, w: bufio.NewWriter(f), by: by}, nil
}

// Path is where a process writes its history.
func Path(folder, by string) string { return filepath.Join(folder, by+".jsonl") }

// Write writes an event; a moment of 0 is now.
func (w *Writer) Write(e Event) {
	if e.At == 0 {
		e.At = Now()
	}
	e.By = w.by
	b, err := json.Marshal(e)
	if err != nil {
		panic(err) // plain values always encode
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.w.Write(append(b, '\n'))
}

// Close writes all and ends.
func (w *Writer) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return errors.Join(w.w.Flush(), w.file.Close())
}

// History is all that a folder holds, in order.
type History struct {
	Run       RunInfo
	Events    []Event
	Truncated []string // files whose last line is not whole: judged up to there
	Dropped   int64    // events that were not written
}

// Read reads a folder.
func Read(folder string) (*History, error) {
	h := &History{}
	b, err := os.ReadFile(filepath.Join(folder, worldFile))
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	if err := json.Unmarshal(b, &h.Run); err != nil {
		return nil, fmt.Errorf("history: %s: %w", worldFile, err)
	}
	paths, err := filepath.Glob(filepath.Join(folder, "*.jsonl"))
	if err != nil {
		return nil, err
	}
	slices.Sort(paths)
	for _, p := range paths {
		text, err := os.ReadFile(p)
		if err != nil {
			return nil, fmt.Errorf("history: %w", err)
		}
		missed := int64(0)
		for n, line := range strings.SplitAfter(string(text), "\n") {
			if line == "" {
				continue
			}
			var e Event
			err := json.Unmarshal([]byte(line), &e)
			if err != nil || !strings.HasSuffix(line, "\n") {
				if strings.HasSuffix(line, "\n") && !strings.Contains(line, "}{") && n+1 < strings.Count(string(text), "\n") {
					// A process that was killed in the middle of a line, and one that went on after it.
					if i := strings.LastIndex(line, `{"`); i > 0 && json.Unmarshal([]byte(line[i:]), &e) == nil {
						h.Events = append(h.Events, e)
						continue
					}
				}
				h.Truncated = append(h.Truncated, fmt.Sprintf("%s, line %d", filepath.Base(p), n+1))
				continue
			}
			if missed = max(missed, e.Dropped); e.Kind == "began" {
				h.Dropped += missed
				missed = 0
			}
			h.Events = append(h.Events, e)
		}
		h.Dropped += missed
	}
	slices.SortStableFunc(h.Events, func(a, b Event) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		}
		return 0
	})
	return h, nil
}
