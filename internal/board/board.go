package board

import (
	"fmt"
	"log/slog"

	"cherryramp/internal/gateway"
	"cherryramp/internal/httpwire"
	"cherryramp/internal/loop"
	"cherryramp/internal/transport"
)

const (
	linger      = 150       // ms that the board may hold a poll
	answerSlack = 1_000_000 // us past it after which a connection is taken for dead
	connectTime = 400_000   // us for a connection to come up
	pauseFirst  = 20_000    // us before the next connection after a failed one; doubles
	pauseMost   = 640_000
	maxAnswer   = 8 << 20
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
	loop    *loop.Loop
	log     *slog.Logger
	address string
	sink    Sink
	last    int64
	conn    *transport.Conn
	pause   loop.Micros
	dead    *loop.Deadline
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
	transport.Dial(b.loop, b.address, maxAnswer+limits.Head, b, loop.Now()+connectTime,
		func(c *transport.Conn, err error) {
			if err != nil {
				b.log.Warn("notice board can't be reached", "error", err, "last", b.last)
				b.again()
				return
			}
			b.conn = c
			b.poll()
		})
}

// again connects anew after a pause.
func (b *Board) again() {
	b.loop.At(loop.Now()+b.pause, b.connect)
	b.pause = min(2*b.pause, pauseMost)
}

func (b *Board) poll() {
	b.loop.Stop(b.dead)
	conn := b.conn
	b.dead = b.loop.At(loop.Now()+linger*1000+answerSlack, func() {
		b.log.Warn("notice board is silent", "last", b.last)
		conn.Close()
	})
	request := fmt.Appendf(nil, "GET /board/poll?watch=%d&linger=%d HTTP/1.1\r\nHost: %s\r\n\r\n", b.last,
		linger, b.address)
	if _, err := conn.Send(request); err != nil {
		conn.Close()
	}
}

// Readable takes an answer and asks for the next.
func (b *Board) Readable(c *transport.Conn) {
	var r *httpwire.Response
	var err error
	c.Consume(func(p []byte) (used int) {
		r, used, err = httpwire.ParseResponse(p, limits)
		return used
	})
	if err == nil && r == nil {
		return
	}
	var news *News
	if err == nil && r.Status != 200 {
		err = fmt.Errorf("board: status %d", r.Status)
	}
	if err == nil {
		news, err = ParseNews(r.Body)
	}
	if err != nil {
		b.log.Warn("notice board's answer can't be used", "error", err, "last", b.last)
		c.Close()
		return
	}
	b.pause = pauseFirst
	b.take(news)
	b.sink.Heard()
	if r.Close {
		c.Close()
		return
	}
	b.poll()
}

// Drained has nothing to do: one request is out at a time.
func (b *Board) Drained(*transport.Conn) {}

// Closed connects anew.
func (b *Board) Closed(*transport.Conn) {
	b.loop.Stop(b.dead)
	b.conn = nil
	b.again()
}
