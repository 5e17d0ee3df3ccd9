package idle

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Command is a command to a worker, sent as a line of JSON.
type Command struct {
	Action   string `json:"Do"` // open, wake, drip, close
	Address  string
	Class    string
	Object   string
	First    int // number of the first connection, which determines its source address
	Count    int
	Stride   int // drip: difference between the numbers of two connections; 256 gives each its own /24
	Patience time.Duration
	Within   time.Duration // wake
	Start    time.Time     // wake
	Pace     int           // drip: bytes per second that a slow reader reads or a slow sender sends
	Read     bool          // drip: readers instead of senders
	For      time.Duration // drip
}

// Reply is a worker's reply to a command.
type Reply struct {
	Error string
	Woken *Stats
	Slow  *SlowStats
}

// Stats holds the results of requests. Stats of several workers can be added.
type Stats struct {
	Count      map[int]int // by the status of the last answer
	Requests   int         `json:"Asked"` // including retries
	Lost       int
	LossReason string                 `json:"Why"` // error of one lost request
	InTime     int                    // served within the patience, counted from the first try
	LastAnswer time.Time              `json:"Calm"` // time of the last answer
	Times      *hdrhistogram.Snapshot // us, of complete answers, from their scheduled time
}

// Add adds other to stats.
func (stats *Stats) Add(other *Stats) {
	if stats.Count == nil {
		stats.Count = map[int]int{}
	}
	for status, n := range other.Count {
		stats.Count[status] += n
	}
	if other.LossReason != "" {
		stats.LossReason = other.LossReason
	}
	stats.Requests, stats.Lost, stats.InTime = stats.Requests+other.Requests, stats.Lost+other.Lost, stats.InTime+other.InTime
	if other.LastAnswer.After(stats.LastAnswer) {
		stats.LastAnswer = other.LastAnswer
	}
	if stats.Times == nil {
		stats.Times = other.Times
		return
	}
	h := hdrhistogram.Import(stats.Times)
	h.Merge(hdrhistogram.Import(other.Times))
	stats.Times = h.Export()
}

// SlowStats holds the results of slow clients.
type SlowStats struct {
	Ended      int           // closed by the front
	Completed  int           `json:"Whole"` // answered completely
	Unfinished int           `json:"Left"`  // still open when the time was up
	Fastest    time.Duration // until the first was closed
	Slowest    time.Duration // until the last was closed
}

// Serve is the main loop of a worker process: it executes commands from r until its end
// and writes the replies to w.
func Serve(r io.Reader, w io.Writer) error {
	decoder, encoder := json.NewDecoder(r), json.NewEncoder(w)
	var pool *Pool
	for {
		var command Command
		if err := decoder.Decode(&command); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("idle: command: %w", err)
		}
		reply, err := command.execute(&pool)
		if err != nil {
			reply.Error = err.Error()
		}
		if err := encoder.Encode(reply); err != nil {
			return err
		}
	}
}

func (command *Command) execute(pool **Pool) (reply Reply, err error) {
	switch command.Action {
	case "open":
		*pool, err = Open(command.Address, command.First, command.Count, command.Patience, command.text(0))
	case "wake":
		reply.Woken = (*pool).Wake(command.Start, command.Within, command.Patience, command.text(1))
	case "drip":
		reply.Slow, err = command.runSlowClients()
	case "close":
		(*pool).Close()
	default:
		err = fmt.Errorf("idle: unknown command %q", command.Action)
	}
	return reply, err
}

// text returns a function that makes the bytes of requests, with IDs that differ by
// connection and run.
func (command *Command) text(run int) func(i int) string {
	return func(i int) string {
		return RequestText(command.Class, command.Object, run, command.First+i, command.Patience)
	}
}

// RequestText returns a request of the platform's protocol with an ID made of run and i.
func RequestText(class, object string, run, i int, patience time.Duration) string {
	return fmt.Sprintf("GET /call/%s/%s?seg=%d HTTP/1.1\r\nHost: lab\r\nReq-Id: %04x%012x\r\nReq-Wait-Ms: %d\r\nX-Bucket: 17\r\n\r\n",
		class, object, i%8, run, i, patience.Milliseconds())
}

// Worker is a process that holds connections, since the number of descriptors per process
// is limited.
type Worker struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *json.Decoder
}

// NewWorker starts this program as a worker process, with the given argument.
func NewWorker(argument string) (*Worker, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	w := &Worker{cmd: exec.Command(executable, argument)}
	w.cmd.Stderr = os.Stderr
	if w.in, err = w.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := w.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	w.out = json.NewDecoder(bufio.NewReader(out))
	return w, w.cmd.Start()
}

// Do executes a command in the worker and returns its reply.
func (w *Worker) Do(command Command) (reply Reply, err error) {
	if err = json.NewEncoder(w.in).Encode(command); err == nil {
		err = w.out.Decode(&reply)
	}
	if err == nil && reply.Error != "" {
		err = errors.New(reply.Error)
	}
	return reply, err
}

// Stop stops the worker and waits for its process.
func (w *Worker) Stop() error {
	return errors.Join(w.in.Close(), w.cmd.Wait())
}
