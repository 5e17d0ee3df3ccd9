package discovery

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"

	"cherryramp/internal/gateway"
	"cherryramp/internal/httpwire"
	"cherryramp/internal/loop"
	"cherryramp/internal/transport"
)

const (
	connectTime = 400_000   // us for a connection to come up
	answerMost  = 2_000_000 // us from a poll for the whole of an answer that is coming
	pauseFirst  = 10_000    // us before the next connection after a failed one; doubles
	warnEvery   = 1_000_000 // us between log lines about trouble
	maxAnswer   = 4 << 20
	lingerMost  = 150_000 // us that the board may hold a poll at most
	graceLeast  = 100_000 // us: a shorter grace leaves no time for a poll and its answer
)

// Times are how long a client waits for what. All follow from the grace that the
// settings give for what the board tells: an event counts as told once the board holds it,
// whether a watch on it still speaks or not. So a silent watch has to be noticed, and the
// board asked on another connection, within the grace; and after an outage the board has to be
// found within it too, whether connects are refused or hang.
type Timeouts struct {
	linger gateway.Micros // that the board may hold a poll
	silent gateway.Micros // after a poll, from which a connection is taken for dead
	stall  gateway.Micros // between two parts of an answer, likewise
	redial gateway.Micros // from which a connect that hangs gets another beside it
	pause  gateway.Micros // between two connects at most
}

// Within gives the times for a grace; 0 stands for the least that a site has been
// seen with.
func TimeoutsFor(grace gateway.Micros) Timeouts {
	g := max(graceLeast, cmp.Or(max(0, grace), 300_000))
	linger := min(lingerMost, g/2)
	return Timeouts{linger: linger, silent: linger + g/3, stall: g / 3, redial: g / 3, pause: g / 4}
}

var limits = httpwire.Limits{Head: 16 << 10, Body: maxAnswer}

// Sink is told what the board holds.
type Sink interface {
	Members(full bool, list []gateway.Member)
	Purge(p gateway.Purge)
	BoardAnswered()
}

// Board is a client of the notice board.
type Client struct {
	loop     *loop.Loop
	log      *slog.Logger
	address  string
	sink     Sink
	times    Timeouts
	last     int64
	link     *link   // the one that counts; nil while none is up
	search   *search // for one
	pause    loop.Micros
	warned   loop.Micros
	held     transport.Gauge
	answered bool // a whole answer has come once
}

// Answered tells whether the board has given a whole answer since the start.
func (b *Client) Answered() bool { return b.answered }

// search is one search for a connection to an address; dials of it run beside each
// other, and the first to come up ends it.
type search struct {
	dials int
	over  bool
	next  *loop.Deadline // when one more begins, if none has come up
}

// link is one connection to the board. What an older one still brings is passed
// over: its events come again under their numbers.
type link struct {
	board *Client
	conn  *transport.Conn // nil where another came up first
	good  bool            // it has brought an answer
	asked loop.Micros     // when the last poll went out
	dead  *loop.Deadline
}

// New makes a client that starts from what is known.
func New(l *loop.Loop, log *slog.Logger, address string, times Timeouts, known *Update, sink Sink) *Client {
	b := &Client{loop: l, log: log, address: address, times: times, sink: sink, pause: pauseFirst}
	if known != nil {
		b.take(known)
	}
	return b
}

// Start begins to follow the board.
func (b *Client) Start() { b.seek() }

// Renew takes other times over, for what begins from now on.
func (b *Client) SetTimeouts(t Timeouts) { b.times = t }

// Move follows the board at another address, at once and from the last event known.
func (b *Client) SetAddress(address string) {
	if address == b.address {
		return
	}
	b.log.Info("notice board has moved", "from", b.address, "to", address, "last", b.last)
	b.address, b.pause = address, pauseFirst
	if old := b.link; old != nil {
		b.link = nil
		old.end()
	}
	b.seek()
}

// take passes on the events that are new.
func (b *Client) take(n *Update) {
	for _, e := range n.Events {
		if e.Number <= b.last {
			continue
		}
		b.last = e.Number
		if e.List != nil {
			b.sink.Members(e.List.Full, e.List.Members)
		}
		if e.Purge != nil {
			b.sink.Purge(*e.Purge)
		}
	}
	b.last = max(b.last, n.Last)
}

// seek begins to look for a connection, in place of any search under way.
func (b *Client) seek() {
	if b.search != nil {
		b.search.over = true
	}
	b.search = &search{}
	b.dial(b.search)
}

func (b *Client) dial(s *search) {
	s.dials++
	k := &link{board: b}
	transport.Dial(b.loop, b.address, maxAnswer+limits.Head, &b.held, k, b.loop.Now()+connectTime,
		func(c *transport.Conn, err error) {
			s.dials--
			switch {
			case s.over: // another came up first, or the board has moved
				if err == nil {
					c.Close()
				}
			case err != nil:
				b.warn("notice board can't be reached", "error", err)
				if s.dials == 0 {
					b.again(s)
				}
			default:
				s.over = true
				b.link, k.conn = k, c
				k.poll()
			}
		})
	b.loop.Stop(s.next)
	s.next = b.loop.At(b.loop.Now()+b.times.redial, func() {
		if !s.over && s.dials > 0 { // it hangs: the board may be back by now
			b.dial(s)
		}
	})
}

// again connects anew after a pause, unless the search is over by then.
func (b *Client) again(s *search) {
	b.loop.At(b.loop.Now()+b.pause, func() {
		if !s.over && s.dials == 0 {
			b.dial(s)
		}
	})
	b.pause = min(2*b.pause, b.times.pause)
}

// warn logs trouble, but not each time where it repeats.
func (b *Client) warn(text string, args ...any) {
	if now := b.loop.Now(); now-b.warned > warnEvery {
		b.warned = now
		b.log.Warn(text, append(args, "last", b.last)...)
	}
}

// end leaves a connection.
func (k *link) end() {
	k.board.loop.Stop(k.dead)
	if k.conn != nil {
		k.conn.Close()
	}
}

// fail leaves a connection that is of no more use and connects anew: at once if
// it has been good.
func (k *link) fail() {
	b := k.board
	k.end()
	if b.link != k {
		return
	}
	b.link = nil
	if k.good {
		b.pause = pauseFirst
		b.seek()
		return
	}
	b.search = &search{}
	b.again(b.search)
}

func (k *link) poll() {
	b := k.board
	b.loop.Stop(k.dead)
	k.asked = b.loop.Now()
	k.dead = b.loop.At(k.asked+b.times.silent, func() {
		b.warn("notice board is silent")
		k.fail()
	})
	request := fmt.Appendf(nil, "GET /board/poll?watch=%d&linger=%d HTTP/1.1\r\nHost: %s\r\n\r\n", b.last,
		b.times.linger/1000, b.address)
	if _, err := k.conn.Send(request); err != nil {
		k.fail()
	}
}

// Readable takes an answer and asks for the next.
func (k *link) Readable(c *transport.Conn) {
	b := k.board
	if b.link != k {
		return
	}
	var r *httpwire.Response
	var err error
	c.Consume(func(p []byte) (used int) {
		r, used, err = httpwire.ParseResponse(p, limits)
		return used
	})
	if err == nil && r == nil {
		if !c.Overflowed() { // it is coming: long ones take their time
			b.loop.Set(k.dead, min(k.asked+answerMost, max(k.asked+b.times.silent, b.loop.Now()+b.times.stall)))
			return
		}
		err = errors.New("board: answer is too long")
	}
	var news *Update
	if err == nil && r.Status != 200 {
		err = fmt.Errorf("board: status %d", r.Status)
	}
	if err == nil {
		news, err = ParseUpdate(r.Body)
	}
	if err != nil {
		b.warn("notice board's answer can't be used", "error", err)
		k.good = false
		k.fail()
		return
	}
	k.good = true
	b.answered = true
	b.take(news)
	b.sink.BoardAnswered()
	if r.Close {
		k.fail()
		return
	}
	k.poll()
}

// Drained has nothing to do: one request is out at a time.
func (k *link) Drained(*transport.Conn) {}

// Closed connects anew.
func (k *link) Closed(*transport.Conn) { k.fail() }
