// Package history records the events of the processes of a fleet, and checks the recorded
// history afterwards. The checker knows only the guarantees: it imports none of the code
// that it checks, and works on any folder that a run left.
//
// A history is a folder of files in JSON lines. Timestamps are nanoseconds of the machine's
// monotonic clock, so that events of different processes can be compared.
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

// Now returns the time of the machine's monotonic clock in nanoseconds, or 0 if it can't be read.
func Now() int64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) != nil {
		return 0
	}
	return t.Nano()
}

// Event is one recorded event. The fields that are set depend on Kind.
type Event struct {
	At   int64  `json:"t"`
	By   string `json:"by"`
	Kind string `json:"e"`

	// Rate limits.
	Limit   string  `json:"limit,omitempty"`
	Subject string  `json:"who,omitempty"`
	OK      bool    `json:"ok,omitempty"`
	Lease   uint64  `json:"part,omitempty"`
	Amount  float64 `json:"amount,omitempty"`
	Site    string  `json:"site,omitempty"`
	Owner   uint64  `json:"keeper,omitempty"`

	// Purges.
	Purge      string `json:"purge,omitempty"` // number assigned to the purge
	RequestKey string `json:"asked,omitempty"`
	Scope      string `json:"scope,omitempty"`

	// Requests.
	ID     uint64 `json:"id,omitempty"`
	Front  string `json:"front,omitempty"`
	Object string `json:"object,omitempty"`
	Class  string `json:"class,omitempty"`
	End    int64  `json:"end,omitempty"`    // when the answer was complete
	Status int    `json:"status,omitempty"` // 0: no answer
	Filled int64  `json:"filled,omitempty"` // when the copy in the answer was filled
	Excuse string `json:"excuse,omitempty"` // why a missing answer is no violation
	Tenant string `json:"tenant,omitempty"`

	// Verdicts and paths.
	Box       string   `json:"box,omitempty"`
	State     string   `json:"state,omitempty"`
	Witnesses []string `json:"witnesses,omitempty"`
	Sites     int      `json:"sites,omitempty"` // number of sites that the witnesses belong to
	Possible  int      `json:"possible,omitempty"`
	AgeMS     float64  `json:"age_ms,omitempty"`
	BoundMS   float64  `json:"bound_ms,omitempty"`
	Region    string   `json:"region,omitempty"`
	Edge      string   `json:"edge,omitempty"`
	Hub       string   `json:"hub,omitempty"`
	Boxes     int      `json:"boxes,omitempty"`
	Ready     int      `json:"ready,omitempty"`

	Dropped int64  `json:"missing,omitempty"` // events that the process could not write
	Detail  string `json:"told,omitempty"`    // description of an event of kind world
}

// LimitSpec is a rate limit as configured for the run.
type LimitSpec struct {
	Limit           string  `json:"limit"`
	Kind            string  `json:"kind"`
	Amount          float64 `json:"amount"`
	Burst           float64 `json:"burst"`
	Hard            bool    `json:"hard"`
	MaxExcess       float64 `json:"over"` // soft limits: allowed excess over Amount, as printed
	RecoverySeconds float64 `json:"back_s"`
}

// RunInfo describes the run that a history was recorded in.
type RunInfo struct {
	Fronts    []string          `json:"fronts"`
	Sites     map[string]string `json:"sites"` // by front
	Limits    []LimitSpec       `json:"limits"`
	SettledAt int64             `json:"settle"` // time from which all processes are connected and have converged; 0: never
	EndedAt   int64             `json:"ended"`
	Seed      uint64            `json:"seed"`
}

const runInfoFile = "world.json"

// WriteRunInfo writes the description of a run into its history folder.
func WriteRunInfo(folder string, w RunInfo) error {
	b, err := json.MarshalIndent(w, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, runInfoFile), b, 0o600)
}

// Writer writes the history of one process. It is safe for concurrent use.
type Writer struct {
	mu      sync.Mutex
	file    *os.File
	buffer  *bufio.Writer
	process string
}

// Open opens the history file of a process in folder for appending, and creates it if needed.
func Open(folder, process string) (*Writer, error) {
	f, err := os.OpenFile(Path(folder, process), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &Writer{file: f, buffer: bufio.NewWriter(f), process: process}, nil
}

// Path returns the path of a process's history file.
func Path(folder, process string) string { return filepath.Join(folder, process+".jsonl") }

// Write appends an event. An At of 0 is replaced with the current time.
func (w *Writer) Write(e Event) {
	if e.At == 0 {
		e.At = Now()
	}
	e.By = w.process
	b, err := json.Marshal(e)
	if err != nil {
		panic(err) // values of these types always encode
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.buffer.Write(append(b, '\n'))
}

// Close flushes the buffered events and closes the file.
func (w *Writer) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return errors.Join(w.buffer.Flush(), w.file.Close())
}

// History is the content of a history folder, with the events in order of time.
type History struct {
	Run       RunInfo
	Events    []Event
	Truncated []string // lines that can't be parsed, as file and line; they are left out
	Dropped   int64    // events that were not written
}

// Read reads all history files of a folder.
func Read(folder string) (*History, error) {
	h := &History{}
	data, err := os.ReadFile(filepath.Join(folder, runInfoFile))
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	if err := json.Unmarshal(data, &h.Run); err != nil {
		return nil, fmt.Errorf("history: %s: %w", runInfoFile, err)
	}
	paths, err := filepath.Glob(filepath.Join(folder, "*.jsonl"))
	if err != nil {
		return nil, err
	}
	slices.Sort(paths)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("history: %w", err)
		}
		dropped := int64(0)
		for n, line := range strings.SplitAfter(string(text), "\n") {
			if line == "" {
				continue
			}
			var e Event
			err := json.Unmarshal([]byte(line), &e)
			if err != nil || !strings.HasSuffix(line, "\n") {
				if strings.HasSuffix(line, "\n") && !strings.Contains(line, "}{") && n+1 < strings.Count(string(text), "\n") {
					// A process was killed while it wrote a line, and its successor appended to that line.
					if i := strings.LastIndex(line, `{"`); i > 0 && json.Unmarshal([]byte(line[i:]), &e) == nil {
						h.Events = append(h.Events, e)
						continue
					}
				}
				h.Truncated = append(h.Truncated, fmt.Sprintf("%s, line %d", filepath.Base(path), n+1))
				continue
			}
			if dropped = max(dropped, e.Dropped); e.Kind == "began" {
				h.Dropped += dropped
				dropped = 0
			}
			h.Events = append(h.Events, e)
		}
		h.Dropped += dropped
	}
	slices.SortStableFunc(h.Events, func(a, data Event) int {
		switch {
		case a.At < data.At:
			return -1
		case a.At > data.At:
			return 1
		}
		return 0
	})
	return h, nil
}
