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

// Order is what a worker is told to do, as a line of JSON.
type Command struct {
	Action   string `json:"Do"` // open, wake, drip, close
	Address  string
	Class    string
	Object   string
	First    int // number of the first connection, which gives its source address
	Count    int
	Stride   int // drip: between the numbers of two connections; 256 gives each a /24 of its own
	Patience time.Duration
	Within   time.Duration // wake
	Start    time.Time     // wake
	Pace     int           // drip: bytes a second; slow readers read so many, slow senders send them
	Read     bool          // drip: readers, not senders
	For      time.Duration // drip
}

// Outcome is what a worker answers.
type Reply struct {
	Error string
	Woken *Stats
	Slow  *SlowStats
}

// Tally is what became of requests, in a form that can be added up.
type Stats struct {
	Count      map[int]int // by the last answer's status
	Requests   int         `json:"Asked"` // requests, with those that came back as told
	Lost       int
	LossReason string                 `json:"Why"` // of one that was lost
	InTime     int                    // served within the patience of the first try
	LastAnswer time.Time              `json:"Calm"` // of the last answer
	Times      *hdrhistogram.Snapshot // us, of the whole answers from when they were due
}

// Add takes over another tally.
func (t *Stats) Add(o *Stats) {
	if t.Count == nil {
		t.Count = map[int]int{}
	}
	for status, n := range o.Count {
		t.Count[status] += n
	}
	if o.LossReason != "" {
		t.LossReason = o.LossReason
	}
	t.Requests, t.Lost, t.InTime = t.Requests+o.Requests, t.Lost+o.Lost, t.InTime+o.InTime
	if o.LastAnswer.After(t.LastAnswer) {
		t.LastAnswer = o.LastAnswer
	}
	if t.Times == nil {
		t.Times = o.Times
		return
	}
	h := hdrhistogram.Import(t.Times)
	h.Merge(hdrhistogram.Import(o.Times))
	t.Times = h.Export()
}

// Slow is what became of slow clients.
type SlowStats struct {
	Ended      int           // by the front
	Completed  int           `json:"Whole"` // answered whole
	Unfinished int           `json:"Left"`  // still open when time ran out
	Fastest    time.Duration // to the first that was ended
	Slowest    time.Duration // to the last
}

// Serve carries out orders from a reader until it ends; it is a worker's process.
func Serve(r io.Reader, w io.Writer) error {
	d, e := json.NewDecoder(r), json.NewEncoder(w)
	var h *Pool
	for {
		var o Command
		if err := d.Decode(&o); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("idle: order: %w", err)
		}
		out, err := o.carryOut(&h)
		if err != nil {
			out.Error = err.Error()
		}
		if err := e.Encode(out); err != nil {
			return err
		}
	}
}

func (o *Command) carryOut(h **Pool) (out Reply, err error) {
	switch o.Action {
	case "open":
		*h, err = Open(o.Address, o.First, o.Count, o.Patience, o.text(0))
	case "wake":
		out.Woken = (*h).Wake(o.Start, o.Within, o.Patience, o.text(1))
	case "drip":
		out.Slow, err = o.drip()
	case "close":
		(*h).Close()
	default:
		err = fmt.Errorf("idle: %q is no order", o.Action)
	}
	return out, err
}

// text makes the bytes of requests; their ids differ by connection and run.
func (o *Command) text(run int) func(i int) string {
	return func(i int) string { return RequestText(o.Class, o.Object, run, o.First+i, o.Patience) }
}

// Text is a request of the platform's protocol, with an id of its own.
func RequestText(class, object string, run, i int, patience time.Duration) string {
	return fmt.Sprintf("GET /call/%s/%s?seg=%d HTTP/1.1\r\nHost: lab\r\nReq-Id: %04x%012x\r\nReq-Wait-Ms: %d\r\nX-Bucket: 17\r\n\r\n",
		class, object, i%8, run, i, patience.Milliseconds())
}

// Worker is a process with connections of its own, since one may hold only so many.
type Worker struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *json.Decoder
}

// NewWorker starts this program again, as a worker.
func NewWorker(word string) (*Worker, error) {
	own, err := os.Executable()
	if err != nil {
		return nil, err
	}
	w := &Worker{cmd: exec.Command(own, word)}
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

// Do has an order carried out.
func (w *Worker) Do(o Command) (out Reply, err error) {
	if err = json.NewEncoder(w.in).Encode(o); err == nil {
		err = w.out.Decode(&out)
	}
	if err == nil && out.Error != "" {
		err = errors.New(out.Error)
	}
	return out, err
}

// Stop ends a worker.
func (w *Worker) Stop() error {
	return errors.Join(w.in.Close(), w.cmd.Wait())
}
