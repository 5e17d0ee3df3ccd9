// Package load is an open-loop load generator: requests are sent on a schedule that
// does not wait for answers. The latency of a request counts from its scheduled time,
// so that a stalled server is charged for all requests scheduled during the stall
// ("coordinated omission", Tene, 2013).
//
// It uses the project's event loop and connections, with one loop per thread and no
// goroutine per request.
package load

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cherryramp/internal/httpwire"
	"cherryramp/internal/loop"
	"cherryramp/internal/transport"
	"cherryramp/lab/world"
)

// Micros is a point in time or a duration in microseconds.
type Micros = int64

const second Micros = 1_000_000

// Generator generates requests. Each thread has its own.
type Generator interface {
	// Pick returns the index in Options.Kinds of the next request.
	Pick() int
	// Append appends the bytes of a request of a kind, sent at now by a client that
	// waits for the answer until the given time.
	Append(b []byte, kind int, now, until Micros) []byte
}

// Options configure a run.
type Options struct {
	Address      string
	Curve        []world.RatePoint // requests per second over the time of the run
	EvenlySpaced bool              // constant intervals; otherwise a Poisson process
	Duration     time.Duration
	Timeout      time.Duration // of a request, from its scheduled time
	IdleTimeout  time.Duration // after which an unused connection is closed
	Connections  int           // maximum over all threads
	Threads      int
	Precise      bool // send times are accurate to some ten microseconds, at the cost of a core per thread
	Seed         uint64
	Kinds        []string
	NewGenerator func(thread int, r *rand.Rand) Generator
}

// Check returns an error if the options can't be run.
func (o *Options) Check() error {
	switch {
	case len(o.Curve) == 0 || o.Curve[0].At != 0:
		return errors.New("load: the rate curve does not begin at 0")
	case o.Duration <= 0 || o.Timeout <= 0 || o.IdleTimeout <= 0:
		return errors.New("load: duration, timeout and idle timeout must be above 0")
	case o.Threads < 1 || o.Connections < o.Threads:
		return fmt.Errorf("load: %d connections for %d threads", o.Connections, o.Threads)
	case len(o.Kinds) == 0:
		return errors.New("load: no kinds of requests")
	}
	return nil
}

// Outcomes of requests without an HTTP status.
const (
	TimedOut       = "late"    // no complete answer within the timeout
	ConnectFailed  = "connect" // no connection could be opened
	ConnectionLost = "broken"  // the connection ended before the answer was complete
	Malformed      = "garbled" // the answer can't be parsed
)

// KindResult is the result of one kind of requests.
type KindResult struct {
	Name     string
	Outcomes map[string]int // by status or one of the outcomes above
	Latency  *hdrhistogram.Histogram
}

// SecondResult is the result of the requests scheduled in one second of the run.
type SecondResult struct {
	Due      int
	Outcomes map[string]int `json:"Ends"`
	P50, P99 Micros         // latency of answered requests
	latency  *hdrhistogram.Histogram
}

// Result is the result of a run.
type Result struct {
	Kinds       []KindResult
	Seconds     []SecondResult
	Due         int
	Lag         *hdrhistogram.Histogram // delay between scheduled time and handling by the generator
	Queued      *hdrhistogram.Histogram // delay from scheduled time to sending
	Connections int                     // opened in total
	Bytes       int64                   // of answer bodies
	Elapsed     time.Duration
}

// maxLatency is the largest recorded latency; histograms hold microseconds.
const maxLatency = 60 * second

func newHistogram(digits int) *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, digits) }

// Progress counts requests during a run. It may be read concurrently.
type Progress struct{ Due, Answered, Failed atomic.Int64 }

// Run sends the load and returns its result.
func Run(o Options, p *Progress) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	threads := make([]*thread, o.Threads)
	start := time.Now().UnixMicro() + 10_000
	var wg sync.WaitGroup
	for i := range threads {
		threads[i] = newThread(&o, i, start, p)
		wg.Add(1)
		go func() {
			defer wg.Done()
			threads[i].run()
		}()
	}
	wg.Wait()
	return merge(threads, start), nil
}

func merge(threads []*thread, start Micros) *Result {
	first := threads[0]
	total := &first.result
	for _, t := range threads[1:] {
		other := &t.result
		for i := range other.Kinds {
			total.Kinds[i].Latency.Merge(other.Kinds[i].Latency)
			addCounts(total.Kinds[i].Outcomes, other.Kinds[i].Outcomes)
		}
		for i := range other.Seconds {
			second := total.second(i)
			second.Due += other.Seconds[i].Due
			addCounts(second.Outcomes, other.Seconds[i].Outcomes)
			second.latency.Merge(other.Seconds[i].latency)
		}
		total.Lag.Merge(other.Lag)
		total.Queued.Merge(other.Queued)
		total.Due, total.Connections, total.Bytes = total.Due+other.Due, total.Connections+other.Connections, total.Bytes+other.Bytes
	}
	for i := range total.Seconds {
		total.Seconds[i].P50, total.Seconds[i].P99 = total.Seconds[i].latency.ValueAtQuantile(50), total.Seconds[i].latency.ValueAtQuantile(99)
	}
	total.Elapsed = time.Duration(time.Now().UnixMicro()-start) * time.Microsecond
	return total
}

func addCounts(to, from map[string]int) {
	for k, n := range from {
		to[k] += n
	}
}

func (r *Result) second(i int) *SecondResult {
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, SecondResult{Outcomes: map[string]int{}, latency: newHistogram(2)})
	}
	return &r.Seconds[i]
}

// request is a scheduled or sent request.
type request struct {
	due  Micros
	kind int
}

// thread is an event loop with its share of the load and of the connections.
type thread struct {
	options        *Options
	loop           *loop.Loop
	rng            *rand.Rand
	generator      Generator
	start          Micros
	end            Micros // of the schedule
	nextDue        Micros
	timer          loop.Deadline
	maxConnections int
	connections    int           // open or being opened
	idle           []*connection // most recently used last
	queued         queue
	pending        int // requests sent or queued
	memory         transport.Gauge
	buf            []byte
	result         Result
	progress       *Progress
}

func newThread(o *Options, i int, start Micros, p *Progress) *thread {
	t := &thread{options: o, rng: rand.New(rand.NewPCG(o.Seed, uint64(i))), start: start, end: start + o.Duration.Microseconds(), nextDue: start, progress: p}
	if t.loop = loop.New(func() {}); o.Precise {
		t.loop = loop.NewOn(&spinningClock{}, func() {})
	}
	t.generator = o.NewGenerator(i, t.rng)
	t.maxConnections = o.Connections / o.Threads
	t.result = Result{Lag: newHistogram(3), Queued: newHistogram(3)}
	for _, name := range o.Kinds {
		t.result.Kinds = append(t.result.Kinds, KindResult{name, map[string]int{}, newHistogram(3)})
	}
	t.timer.Init(t.issueDue)
	return t
}

func (t *thread) run() {
	t.advance()
	t.loop.Post(func() { t.loop.Set(&t.timer, t.nextDue) })
	t.loop.Run()
}

// issueDue issues all requests that are due and sets the timer for the next one.
func (t *thread) issueDue() {
	now := t.loop.Now()
	for t.nextDue <= now && t.nextDue < t.end {
		t.issue(now)
		t.advance()
	}
	if t.nextDue < t.end {
		t.loop.Set(&t.timer, t.nextDue)
		return
	}
	t.stopWhenDone()
}

// maxStep is the longest step of the schedule where the rate is 0 or arrivals are random;
// the rate is evaluated again after each step.
const maxStep = second / 10

// advance moves nextDue to the next scheduled request and reports whether there is one.
// Long gaps are drawn in steps, each at the rate of its beginning, which is valid
// because a Poisson process is memoryless.
func (t *thread) advance() bool {
	for t.nextDue < t.end {
		rate := world.RateAt(t.options.Curve, t.nextDue-t.start) / float64(t.options.Threads)
		gap := float64(maxStep) * 2
		if rate > 0 {
			gap = 1e6 / rate
			if !t.options.EvenlySpaced {
				gap *= t.rng.ExpFloat64()
			}
		}
		if gap <= float64(maxStep) {
			t.nextDue += max(1, Micros(gap))
			return t.nextDue < t.end
		}
		if rate <= 0 || !t.options.EvenlySpaced {
			t.nextDue += maxStep
			continue
		}
		t.nextDue += Micros(gap)
		return t.nextDue < t.end
	}
	return false
}

// stopWhenDone stops the loop once the schedule is over and no request is pending.
func (t *thread) stopWhenDone() {
	if t.pending > 0 || t.nextDue < t.end {
		return
	}
	for _, c := range t.idle {
		t.loop.Stop(&c.deadline)
		c.closed = true
		c.conn.Close()
	}
	t.loop.Quit()
}

// issue sends the request that is due, or queues it until a connection is free.
func (t *thread) issue(now Micros) {
	req := request{due: t.nextDue, kind: t.generator.Pick()}
	t.pending++
	t.result.Due++
	t.progress.Due.Add(1)
	t.result.second(int((req.due-t.start)/second)).Due++
	_ = t.result.Lag.RecordValue(min(now-req.due, maxLatency))
	switch n := len(t.idle); {
	case n > 0:
		c := t.idle[n-1]
		t.idle = t.idle[:n-1]
		c.send(req, now)
	case t.connections < t.maxConnections:
		t.dial(req)
	default:
		t.queued.push(req)
	}
}

// complete records the outcome of a request. Latency is recorded for answered requests only.
func (t *thread) complete(req request, outcome string, answered bool) {
	t.pending--
	took := min(max(1, t.loop.Now()-req.due), maxLatency)
	kind, second := &t.result.Kinds[req.kind], t.result.second(int((req.due-t.start)/second))
	kind.Outcomes[outcome]++
	second.Outcomes[outcome]++
	if answered {
		_ = kind.Latency.RecordValue(took)
		_ = second.latency.RecordValue(took)
		t.progress.Answered.Add(1)
	} else {
		t.progress.Failed.Add(1)
	}
	t.stopWhenDone()
}

// dial opens a connection for a request.
func (t *thread) dial(req request) {
	c := &connection{thread: t, request: req, busy: true}
	c.deadline.Init(c.onDeadline)
	t.connections++
	t.result.Connections++
	t.loop.Set(&c.deadline, req.due+t.options.Timeout.Microseconds())
	transport.Dial(t.loop, t.options.Address, maxAnswer, &t.memory, c, req.due+t.options.Timeout.Microseconds(), func(conn *transport.Conn, err error) {
		switch {
		case c.closed && err == nil: // the request has timed out
			conn.Close()
		case c.closed:
		case err != nil:
			c.closed = true
			t.loop.Stop(&c.deadline)
			t.releaseConnection()
			outcome := ConnectFailed
			if t.loop.Now() >= req.due+t.options.Timeout.Microseconds() {
				outcome = TimedOut
			}
			t.complete(req, outcome, false)
		default:
			c.conn = conn
			c.send(c.request, t.loop.Now())
		}
	})
}

// releaseConnection gives up a connection and opens a new one for the next queued request.
func (t *thread) releaseConnection() {
	t.connections--
	if req, ok := t.nextQueued(); ok {
		t.dial(req)
	}
}

// nextQueued removes and returns the next queued request that has not timed out.
func (t *thread) nextQueued() (request, bool) {
	for {
		req, ok := t.queued.pop()
		if !ok {
			return req, false
		}
		if req.due+t.options.Timeout.Microseconds() > t.loop.Now() {
			return req, true
		}
		t.complete(req, TimedOut, false)
	}
}

// maxAnswer bounds the size of an answer: the platform's objects have at most 240,000 bytes.
const maxAnswer = 1 << 20

var responseLimits = httpwire.Limits{Head: 16 << 10, Body: maxAnswer - 16<<10}

// connection is one connection to the server.
type connection struct {
	thread   *thread
	conn     *transport.Conn
	request  request
	busy     bool
	closed   bool
	deadline loop.Deadline // of the request or of the idle time
}

// send sends a request on this idle connection.
func (c *connection) send(req request, now Micros) {
	t := c.thread
	until := req.due + t.options.Timeout.Microseconds()
	t.buf = t.generator.Append(t.buf[:0], req.kind, now, until)
	_ = t.result.Queued.RecordValue(min(max(0, now-req.due), maxLatency))
	c.request, c.busy = req, true
	t.loop.Set(&c.deadline, until)
	if _, err := c.conn.Send(t.buf); err != nil {
		c.abandon(ConnectionLost)
	}
}

// onDeadline handles a request's timeout or the end of the connection's idle time.
func (c *connection) onDeadline() {
	if !c.busy {
		c.thread.idle = slices.DeleteFunc(c.thread.idle, func(other *connection) bool { return other == c })
		c.closed = true
		c.conn.Close()
		c.thread.releaseConnection()
		return
	}
	c.abandon(TimedOut)
}

// abandon aborts the connection and completes its request with an outcome.
func (c *connection) abandon(outcome string) {
	if c.closed {
		return
	}
	c.closed = true
	c.thread.loop.Stop(&c.deadline)
	if c.conn != nil {
		c.conn.Abort()
	}
	req, busy := c.request, c.busy
	c.thread.releaseConnection()
	if busy {
		c.thread.complete(req, outcome, false)
	}
}

// Readable implements transport.Handler.
func (c *connection) Readable(conn *transport.Conn) {
	if c.closed {
		return
	}
	var response *httpwire.Response
	var err error
	conn.Consume(func(b []byte) (used int) {
		response, used, err = httpwire.ParseResponse(b, responseLimits)
		return used
	})
	switch {
	case err != nil || response != nil && !c.busy || response == nil && conn.Overflowed():
		c.abandon(Malformed)
		return
	case response == nil:
		return
	}
	t, req := c.thread, c.request
	t.result.Bytes += int64(len(response.Body))
	c.busy = false
	t.loop.Stop(&c.deadline)
	if response.Close {
		c.closed = true
		conn.Close()
		t.releaseConnection()
	} else if next, ok := t.nextQueued(); ok {
		c.send(next, t.loop.Now())
	} else {
		t.idle = append(t.idle, c)
		t.loop.SetCoarse(&c.deadline, t.loop.Now()+t.options.IdleTimeout.Microseconds())
	}
	t.complete(req, strconv.Itoa(response.Status), true)
}

// Drained implements transport.Handler.
func (c *connection) Drained(*transport.Conn) {}

// Closed implements transport.Handler.
func (c *connection) Closed(*transport.Conn) {
	if !c.closed && !c.busy {
		c.thread.idle = slices.DeleteFunc(c.thread.idle, func(other *connection) bool { return other == c })
	}
	c.abandon(ConnectionLost)
}

// queue is a FIFO of requests that wait for a connection.
type queue struct {
	requests []request
	head     int
}

func (q *queue) push(req request) { q.requests = append(q.requests, req) }

func (q *queue) pop() (req request, ok bool) {
	if q.head == len(q.requests) {
		q.requests, q.head = q.requests[:0], 0
		return req, false
	}
	req = q.requests[q.head]
	if q.head++; q.head > 1024 && 2*q.head > len(q.requests) {
		q.requests, q.head = q.requests[:copy(q.requests, q.requests[q.head:])], 0
	}
	return req, true
}
