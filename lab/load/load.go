// Package load sends requests to a server by a plan that does not wait for answers
// (open loop), as clients in the world do: each has the moment at which it is due,
// and its time counts from then, so that a server which stalls is charged for all
// who would have come meanwhile ("coordinated omission", Tene, 2013).
//
// It runs on the project's own loop and connections, a loop a thread; nothing is
// started for a request.
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

// Micros is a moment or a span in microseconds.
type Micros = int64

const second Micros = 1_000_000

// Maker makes requests. Each thread has one of its own.
type Generator interface {
	// Pick says which of Kinds the next request is that comes due.
	Pick() int
	// Append appends the bytes of a request of a kind, sent now by a client that
	// waits until a moment.
	Append(b []byte, kind int, now, until Micros) []byte
}

// Options say what is sent.
type Options struct {
	Address      string
	Curve        []world.RatePoint // requests a second by the moment of the run
	EvenlySpaced bool              // evenly spaced; else as a Poisson process
	Duration     time.Duration
	Timeout      time.Duration // that a client has, from when its request is due
	IdleTimeout  time.Duration // after which a connection that is not used is closed
	Connections  int           // at most, in all
	Threads      int
	Precise      bool // requests leave to some ten microseconds, for a core a thread
	Seed         uint64
	Kinds        []string
	NewGenerator func(thread int, r *rand.Rand) Generator
}

// Check names what can't be run.
func (o *Options) Check() error {
	switch {
	case len(o.Curve) == 0 || o.Curve[0].At != 0:
		return errors.New("load: no rate from the first moment on")
	case o.Duration <= 0 || o.Timeout <= 0 || o.IdleTimeout <= 0:
		return errors.New("load: the run, the clients' patience and the connections' idle time must be above 0")
	case o.Threads < 1 || o.Connections < o.Threads:
		return fmt.Errorf("load: %d connections for %d threads", o.Connections, o.Threads)
	case len(o.Kinds) == 0:
		return errors.New("load: no kinds of requests")
	}
	return nil
}

// Ends of requests, beside statuses.
const (
	TimedOut       = "late"    // no whole answer while its client waited
	ConnectFailed  = "connect" // no connection came up
	ConnectionLost = "broken"  // the connection ended with no whole answer
	Malformed      = "garbled" // an answer that can't be read
)

// Kind is what became of one kind of requests.
type KindResult struct {
	Name     string
	Outcomes map[string]int // by status, or one of the ends above
	Latency  *hdrhistogram.Histogram
}

// Tick is one second of the run, by when requests were due.
type SecondResult struct {
	Due      int
	Outcomes map[string]int `json:"Ends"`
	P50, P99 Micros         // of those that were answered
	times    *hdrhistogram.Histogram
}

// Result is what came of a run.
type Result struct {
	Kinds       []KindResult
	Seconds     []SecondResult
	Due         int
	Lag         *hdrhistogram.Histogram // from when a request was due to when this tool came to it
	Queued      *hdrhistogram.Histogram // from then to when a connection was free for it
	Connections int                     // opened, in all
	Bytes       int64                   // of answers
	Elapsed     time.Duration
}

// Times are in microseconds, up to a minute.
const longest = 60 * second

func newTimes(digits int) *hdrhistogram.Histogram { return hdrhistogram.New(1, longest, digits) }

// Progress counts what has been done so far; it may be read at any time.
type Progress struct{ Due, Answered, Failed atomic.Int64 }

// Run sends a load and gives what came of it.
func Run(o Options, p *Progress) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	threads := make([]*thread, o.Threads)
	begin := time.Now().UnixMicro() + 10_000
	var wg sync.WaitGroup
	for i := range threads {
		threads[i] = newThread(&o, i, begin, p)
		wg.Add(1)
		go func() {
			defer wg.Done()
			threads[i].run()
		}()
	}
	wg.Wait()
	return merge(threads, begin), nil
}

func merge(threads []*thread, begin Micros) *Result {
	first := threads[0]
	r := &first.result
	for _, t := range threads[1:] {
		x := &t.result
		for i := range x.Kinds {
			r.Kinds[i].Latency.Merge(x.Kinds[i].Latency)
			add(r.Kinds[i].Outcomes, x.Kinds[i].Outcomes)
		}
		for i := range x.Seconds {
			y := r.tick(i)
			y.Due += x.Seconds[i].Due
			add(y.Outcomes, x.Seconds[i].Outcomes)
			y.times.Merge(x.Seconds[i].times)
		}
		r.Lag.Merge(x.Lag)
		r.Queued.Merge(x.Queued)
		r.Due, r.Connections, r.Bytes = r.Due+x.Due, r.Connections+x.Connections, r.Bytes+x.Bytes
	}
	for i := range r.Seconds {
		r.Seconds[i].P50, r.Seconds[i].P99 = r.Seconds[i].times.ValueAtQuantile(50), r.Seconds[i].times.ValueAtQuantile(99)
	}
	r.Elapsed = time.Duration(time.Now().UnixMicro()-begin) * time.Microsecond
	return r
}

func add(to, from map[string]int) {
	for k, n := range from {
		to[k] += n
	}
}

func (r *Result) tick(i int) *SecondResult {
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, SecondResult{Outcomes: map[string]int{}, times: newTimes(2)})
	}
	return &r.Seconds[i]
}

// request is one that is due or out.
type request struct {
	due  Micros
	kind int
}

// thread is a loop with its part of the load and of the connections.
type thread struct {
	o        *Options
	l        *loop.Loop
	r        *rand.Rand
	maker    Generator
	begin    Micros
	end      Micros // of what is due
	next     Micros
	timer    loop.Deadline
	most     int // connections
	count    int
	idle     []*client // the last used last
	waiting  queue
	open     int // requests out or waiting
	held     transport.Gauge
	buf      []byte
	result   Result
	progress *Progress
}

func newThread(o *Options, i int, begin Micros, p *Progress) *thread {
	t := &thread{o: o, r: rand.New(rand.NewPCG(o.Seed, uint64(i))), begin: begin, end: begin + o.Duration.Microseconds(), next: begin, progress: p}
	if t.l = loop.New(func() {}); o.Precise {
		t.l = loop.NewOn(&precise{}, func() {})
	}
	t.maker = o.NewGenerator(i, t.r)
	t.most = o.Connections / o.Threads
	t.result = Result{Lag: newTimes(3), Queued: newTimes(3)}
	for _, name := range o.Kinds {
		t.result.Kinds = append(t.result.Kinds, KindResult{name, map[string]int{}, newTimes(3)})
	}
	t.timer.Init(t.arrive)
	return t
}

func (t *thread) run() {
	t.step()
	t.l.Post(func() { t.l.Set(&t.timer, t.next) })
	t.l.Run()
}

// arrive comes to all requests that are due, and sets the moment of the next.
func (t *thread) arrive() {
	now := t.l.Now()
	for t.next <= now && t.next < t.end {
		t.issue(now)
		t.step()
	}
	if t.next < t.end {
		t.l.Set(&t.timer, t.next)
		return
	}
	t.finish()
}

// pauseless is how long the next moment is looked for at most where the rate is
// next to nothing; then the rate is looked at again.
const pauseless = second / 10

// step moves to the next moment at which a request is due, if there is one. Long
// gaps are drawn in pieces, each at the rate of its beginning, as a Poisson process
// has no memory.
func (t *thread) step() bool {
	for t.next < t.end {
		rate := world.RateAt(t.o.Curve, t.next-t.begin) / float64(t.o.Threads)
		gap := float64(pauseless) * 2
		if rate > 0 {
			gap = 1e6 / rate
			if !t.o.EvenlySpaced {
				gap *= t.r.ExpFloat64()
			}
		}
		if gap <= float64(pauseless) {
			t.next += max(1, Micros(gap))
			return t.next < t.end
		}
		if rate <= 0 || !t.o.EvenlySpaced {
			t.next += pauseless
			continue
		}
		t.next += Micros(gap)
		return t.next < t.end
	}
	return false
}

// finish ends the run once nothing is open.
func (t *thread) finish() {
	if t.open > 0 || t.next < t.end {
		return
	}
	for _, c := range t.idle {
		t.l.Stop(&c.deadline)
		c.over = true
		c.conn.Close()
	}
	t.l.Quit()
}

// issue sends a request that is due, or has it wait for a connection.
func (t *thread) issue(now Micros) {
	x := request{due: t.next, kind: t.maker.Pick()}
	t.open++
	t.result.Due++
	t.progress.Due.Add(1)
	t.result.tick(int((x.due-t.begin)/second)).Due++
	_ = t.result.Lag.RecordValue(min(now-x.due, longest))
	switch n := len(t.idle); {
	case n > 0:
		c := t.idle[n-1]
		t.idle = t.idle[:n-1]
		c.send(x, now)
	case t.count < t.most:
		t.dial(x)
	default:
		t.waiting.push(x)
	}
}

// ended counts a request's end.
func (t *thread) ended(x request, how string, status bool) {
	t.open--
	took := min(max(1, t.l.Now()-x.due), longest)
	k, tick := &t.result.Kinds[x.kind], t.result.tick(int((x.due-t.begin)/second))
	k.Outcomes[how]++
	tick.Outcomes[how]++
	if status {
		_ = k.Latency.RecordValue(took)
		_ = tick.times.RecordValue(took)
		t.progress.Answered.Add(1)
	} else {
		t.progress.Failed.Add(1)
	}
	t.finish()
}

// dial opens a connection for a request.
func (t *thread) dial(x request) {
	c := &client{t: t, request: x, busy: true}
	c.deadline.Init(c.due)
	t.count++
	t.result.Connections++
	t.l.Set(&c.deadline, x.due+t.o.Timeout.Microseconds())
	transport.Dial(t.l, t.o.Address, mostAnswer, &t.held, c, x.due+t.o.Timeout.Microseconds(), func(conn *transport.Conn, err error) {
		switch {
		case c.over && err == nil: // its client has gone
			conn.Close()
		case c.over:
		case err != nil:
			c.over = true
			t.l.Stop(&c.deadline)
			t.gone()
			how := ConnectFailed
			if t.l.Now() >= x.due+t.o.Timeout.Microseconds() {
				how = TimedOut
			}
			t.ended(x, how, false)
		default:
			c.conn = conn
			c.send(c.request, t.l.Now())
		}
	})
}

// gone gives a connection's place to the next who waits.
func (t *thread) gone() {
	t.count--
	if x, ok := t.nextWaiting(); ok {
		t.dial(x)
	}
}

// nextWaiting gives the next who waits and has not lost patience.
func (t *thread) nextWaiting() (request, bool) {
	for {
		x, ok := t.waiting.pop()
		if !ok {
			return x, false
		}
		if x.due+t.o.Timeout.Microseconds() > t.l.Now() {
			return x, true
		}
		t.ended(x, TimedOut, false)
	}
}

// mostAnswer bounds an answer: the platform's objects hold 240,000 bytes at most.
const mostAnswer = 1 << 20

var limits = httpwire.Limits{Head: 16 << 10, Body: mostAnswer - 16<<10}

// client is one connection.
type client struct {
	t        *thread
	conn     *transport.Conn
	request  request
	busy     bool
	over     bool
	deadline loop.Deadline // of the request, or of being idle
}

// send sends a request that this connection is free for.
func (c *client) send(x request, now Micros) {
	t := c.t
	until := x.due + t.o.Timeout.Microseconds()
	t.buf = t.maker.Append(t.buf[:0], x.kind, now, until)
	_ = t.result.Queued.RecordValue(min(max(0, now-x.due), longest))
	c.request, c.busy = x, true
	t.l.Set(&c.deadline, until)
	if _, err := c.conn.Send(t.buf); err != nil {
		c.lose(ConnectionLost)
	}
}

// due is the end of a client's patience, or of a connection's idle time.
func (c *client) due() {
	if !c.busy {
		c.t.idle = slices.DeleteFunc(c.t.idle, func(o *client) bool { return o == c })
		c.over = true
		c.conn.Close()
		c.t.gone()
		return
	}
	c.lose(TimedOut)
}

// lose gives up a connection and what is out on it.
func (c *client) lose(how string) {
	if c.over {
		return
	}
	c.over = true
	c.t.l.Stop(&c.deadline)
	if c.conn != nil {
		c.conn.Abort()
	}
	x, busy := c.request, c.busy
	c.t.gone()
	if busy {
		c.t.ended(x, how, false)
	}
}

// Readable is part of transport.Handler.
func (c *client) Readable(conn *transport.Conn) {
	if c.over {
		return
	}
	var r *httpwire.Response
	var err error
	conn.Consume(func(b []byte) (used int) {
		r, used, err = httpwire.ParseResponse(b, limits)
		return used
	})
	switch {
	case err != nil || r != nil && !c.busy || r == nil && conn.Overflowed():
		c.lose(Malformed)
		return
	case r == nil:
		return
	}
	t, x := c.t, c.request
	t.result.Bytes += int64(len(r.Body))
	c.busy = false
	t.l.Stop(&c.deadline)
	if r.Close {
		c.over = true
		conn.Close()
		t.gone()
	} else if next, ok := t.nextWaiting(); ok {
		c.send(next, t.l.Now())
	} else {
		t.idle = append(t.idle, c)
		t.l.SetCoarse(&c.deadline, t.l.Now()+t.o.IdleTimeout.Microseconds())
	}
	t.ended(x, strconv.Itoa(r.Status), true)
}

// Drained is part of transport.Handler.
func (c *client) Drained(*transport.Conn) {}

// Closed is part of transport.Handler.
func (c *client) Closed(*transport.Conn) {
	if !c.over && !c.busy {
		c.t.idle = slices.DeleteFunc(c.t.idle, func(o *client) bool { return o == c })
	}
	c.lose(ConnectionLost)
}

// queue is requests that wait for a connection, in order.
type queue struct {
	list []request
	head int
}

func (q *queue) push(x request) { q.list = append(q.list, x) }

func (q *queue) pop() (x request, ok bool) {
	if q.head == len(q.list) {
		q.list, q.head = q.list[:0], 0
		return x, false
	}
	x = q.list[q.head]
	if q.head++; q.head > 1024 && 2*q.head > len(q.list) {
		q.list, q.head = q.list[:copy(q.list, q.list[q.head:])], 0
	}
	return x, true
}
