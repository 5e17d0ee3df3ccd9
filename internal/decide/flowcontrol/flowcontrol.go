// Package flowcontrol shares a connection among its streams: whose bytes go next, how
// many each may send, and when the other side may send more.
//
// A stream sends what it has credit for, so that a reader that is slow stops its own
// stream and no other. Classes take turns by their weights (deficit round robin,
// Shreedhar and Varghese, 1996), streams of a class one after another. What a peer
// may claim and send is bounded; one that does otherwise is told apart by an error,
// on which its connection ends.
package flowcontrol

import (
	"container/list"
	"errors"
	"fmt"
)

// Errors of a peer that does not keep to what was agreed.
var (
	ErrCreditExceeded = errors.New("streams: credit beyond the greatest window")
	ErrNoCredit       = errors.New("streams: bytes without credit")
	ErrStreamExists   = errors.New("streams: a stream is opened twice")
	ErrTooManyStreams = errors.New("streams: too many are open")
)

// Config bounds a connection.
type Config struct {
	Weights      []int // by class; a class that has twice the weight sends twice the bytes
	StreamWindow int   // bytes that a stream may send ahead
	ConnWindow   int   // that all may
	MaxStreams   int   // streams
	Quantum      int   // bytes of a weight's turn, and so the most that Next gives for a weight of 1
}

// Check names what can't be.
func (c Config) Check() error {
	if len(c.Weights) == 0 || c.StreamWindow < 1 || c.ConnWindow < c.StreamWindow || c.MaxStreams < 1 || c.Quantum < 1 {
		return fmt.Errorf("streams: %+v can't be", c)
	}
	for i, w := range c.Weights {
		if w < 1 {
			return fmt.Errorf("streams: class %d has a weight of %d", i, w)
		}
	}
	return nil
}

// stream is one, with both directions.
type stream struct {
	id      uint32
	class   int
	waiting int           // bytes to be sent
	credit  int           // that may be
	turn    *list.Element // in its class's ring, while it could send
	owed    int           // credit that the peer has of us
	taken   int           // bytes consumed since it was last told of credit
}

// class is the streams of one that could send.
type class struct {
	ring    *list.List
	deficit int
}

// Mux is one end of a connection. Both ends begin with a window a stream.
type Mux struct {
	cfg     Config
	by      map[uint32]*stream
	classes []class
	at      int  // the class whose turn it is
	fresh   bool // its turn has begun
	credit  int  // of the connection
	owed    int
	taken   int
}

// New makes an end.
func New(cfg Config) (*Mux, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	m := &Mux{cfg: cfg, by: map[uint32]*stream{}, credit: cfg.ConnWindow, owed: cfg.ConnWindow}
	for range cfg.Weights {
		m.classes = append(m.classes, class{ring: list.New()})
	}
	return m, nil
}

// Len counts the open streams.
func (m *Mux) Len() int { return len(m.by) }

// Open opens a stream, of ours or of the peer.
func (m *Mux) Open(id uint32, class int) error {
	switch {
	case m.by[id] != nil:
		return ErrStreamExists
	case len(m.by) >= m.cfg.MaxStreams:
		return ErrTooManyStreams
	case class < 0 || class >= len(m.classes):
		return fmt.Errorf("streams: class %d of %d", class, len(m.classes))
	}
	m.by[id] = &stream{id: id, class: class, credit: m.cfg.StreamWindow, owed: m.cfg.StreamWindow}
	return nil
}

// Close ends a stream. What it has received and not consumed counts as consumed for
// the connection; give is the connection's credit to tell the peer of, if any.
func (m *Mux) Close(id uint32) (give int) {
	s := m.by[id]
	if s == nil {
		return 0
	}
	m.rest(s)
	delete(m.by, id)
	held := m.cfg.StreamWindow - s.owed - s.taken
	return m.consume(held)
}

// Queue adds bytes that a stream has to send.
func (m *Mux) Queue(id uint32, n int) {
	if s := m.by[id]; s != nil && n > 0 {
		s.waiting += n
		m.rise(s)
	}
}

// Credit takes in what the peer lets a stream send, or with 0 the connection.
func (m *Mux) Credit(id uint32, n int) error {
	if n < 1 {
		return ErrCreditExceeded
	}
	if id == 0 {
		if n > m.cfg.ConnWindow-m.credit {
			return ErrCreditExceeded
		}
		m.credit += n
		return nil
	}
	s := m.by[id]
	if s == nil {
		return nil // it has just ended
	}
	if n > m.cfg.StreamWindow-s.credit {
		return ErrCreditExceeded
	}
	s.credit += n
	m.rise(s)
	return nil
}

// rise lets a stream take turns, rest takes it out.
func (m *Mux) rise(s *stream) {
	if s.turn == nil && s.waiting > 0 && s.credit > 0 {
		s.turn = m.classes[s.class].ring.PushBack(s)
	}
}

func (m *Mux) rest(s *stream) {
	if s.turn != nil {
		m.classes[s.class].ring.Remove(s.turn)
		s.turn = nil
	}
}

// Next gives the stream whose bytes go next, and how many, up to most. It counts
// them as sent.
func (m *Mux) Next(most int) (id uint32, n int, ok bool) {
	if m.credit == 0 || most < 1 {
		return 0, 0, false
	}
	for range 2*len(m.classes) + 1 {
		c := &m.classes[m.at]
		first := c.ring.Front()
		if first == nil {
			c.deficit = 0
			m.turn()
			continue
		}
		if !m.fresh {
			c.deficit += m.cfg.Quantum * m.cfg.Weights[m.at]
			m.fresh = true
		}
		s := first.Value.(*stream)
		n = min(most, s.waiting, s.credit, m.credit, c.deficit)
		s.waiting, s.credit, m.credit = s.waiting-n, s.credit-n, m.credit-n
		c.deficit -= n
		m.rest(s)
		m.rise(s) // behind the others of its class
		if c.deficit <= 0 {
			m.turn()
		}
		return s.id, n, true
	}
	return 0, 0, false
}

func (m *Mux) turn() { m.at, m.fresh = (m.at+1)%len(m.classes), false }

// Received takes in bytes of a stream, which the peer must have had credit for.
func (m *Mux) Received(id uint32, n int) error {
	if n < 0 || n > m.owed {
		return ErrNoCredit
	}
	s := m.by[id]
	if s == nil { // of one that we have just ended: only the connection counts
		m.owed -= n
		return nil
	}
	if n > s.owed {
		return ErrNoCredit
	}
	m.owed, s.owed = m.owed-n, s.owed-n
	return nil
}

// Consumed tells that bytes of a stream are no longer held here. It gives the credit
// that the peer is to be told of, for the stream and for the connection: half a
// window at a time, so that few frames are spent on it.
func (m *Mux) Consumed(id uint32, n int) (stream, all int) {
	if s := m.by[id]; s != nil {
		n = min(n, m.cfg.StreamWindow-s.owed-s.taken)
		if s.taken += n; 2*s.taken >= m.cfg.StreamWindow {
			stream, s.taken = s.taken, 0
			s.owed += stream
		}
	} else {
		n = min(n, m.cfg.ConnWindow-m.owed-m.taken)
	}
	return stream, m.consume(n)
}

func (m *Mux) consume(n int) (give int) {
	if m.taken += n; 2*m.taken >= m.cfg.ConnWindow {
		give, m.taken = m.taken, 0
		m.owed += give
	}
	return give
}
