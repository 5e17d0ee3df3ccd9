package board

import (
	"errors"
	"fmt"
	"log/slog"

	"cherryramp/internal/gateway"
	"cherryramp/internal/httpwire"
	"cherryramp/internal/loop"
	"cherryramp/internal/transport"
)

const (
	linger      = 150     // ms that the board may hold a poll
	answerSlack = 350_000 // us past it after which a connection is taken for dead
	connectTime = 400_000 // us for a connection to come up
	pauseFirst  = 10_000  // us before the next connection after a failed one; doubles
	pauseMost   = 160_000
	warnEvery   = 1_000_000 // us between log lines about trouble
	maxAnswer   = 4 << 20
)

var limits = httpwire.Limits{Head: 16 << 10, Body: maxAnswer}

// Sink is told what the board holds.
type Sink interface {
	Members(full bool, list []gateway.Member)
	Purge(p gateway.Purge)
	Heard()
}

// Board is a client of the notice board.
type Board struct {
	loop     *loop.Loop
	log      *slog.Logger
	address  string
	sink     Sink
	last     int64
	link     *link // the one that counts
	pause    loop.Micros
	warned   loop.Micros
	held     transport.Gauge
	answered bool // a whole answer has come once
}

// Answered tells whether the board has given a whole answer since the start.
func (b *Board) Answered() bool { return b.answered }

// link is one connection to the board. What an older one still brings is passed
// over: its events come again under their numbers.
type link struct {
	board *Board
	conn  *transport.Conn // nil until it is up
	good  bool            // it has brought an answer
	dead  *loop.Deadline
}

// New makes a client that starts from what is known.
func New(l *loop.Loop, log *slog.Logger, address string, known *News, sink Sink) *Board {
	b := &Board{loop: l, log: log, address: address, sink: sink, pause: pauseFirst}
	if known != nil {
		b.take(known)
	}
	return b
}

// Start begins to follow the board.
func (b *Board) Start() { b.connect() }

// Move follows the board at another address, at once and from the last event known.
func (b *Board) Move(address string) {
	if address == b.address {
		return
	}
	b.log.Info("notice board has moved", "from", b.address, "to", address, "last", b.last)
	b.address, b.pause = address, pauseFirst
	if old := b.link; old != nil {
		b.link = nil
		old.end()
	}
	b.connect()
}

// take passes on the events that are new.
func (b *Board) take(n *News) {
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

func (b *Board) connect() {
	k := &link{board: b}
	b.link = k
	transport.Dial(b.loop, b.address, maxAnswer+limits.Head, &b.held, k, b.loop.Now()+connectTime,
		func(c *transport.Conn, err error) {
			switch {
			case b.link != k: // the board has moved meanwhile
				if err == nil {
					c.Close()
				}
			case err != nil:
				b.warn("notice board can't be reached", "error", err)
				b.link = nil
				b.again()
			default:
				k.conn = c
				k.poll()
			}
		})
}

// again connects anew after a pause, unless the board has moved by then.
func (b *Board) again() {
	b.loop.At(b.loop.Now()+b.pause, func() {
		if b.link == nil {
			b.connect()
		}
	})
	b.pause = min(2*b.pause, pauseMost)
}

// warn logs trouble, but not each time where it repeats.
func (b *Board) warn(text string, args ...any) {
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
		b.connect()
		return
	}
	b.again()
}

func (k *link) poll() {
	b := k.board
	b.loop.Stop(k.dead)
	k.dead = b.loop.At(b.loop.Now()+linger*1000+answerSlack, func() {
		b.warn("notice board is silent")
		k.fail()
	})
	request := fmt.Appendf(nil, "GET /board/poll?watch=%d&linger=%d HTTP/1.1\r\nHost: %s\r\n\r\n", b.last,
		linger, b.address)
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
		if !c.Flooded() {
			return
		}
		err = errors.New("board: answer is too long")
	}
	var news *News
	if err == nil && r.Status != 200 {
		err = fmt.Errorf("board: status %d", r.Status)
	}
	if err == nil {
		news, err = ParseNews(r.Body)
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
	b.sink.Heard()
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
