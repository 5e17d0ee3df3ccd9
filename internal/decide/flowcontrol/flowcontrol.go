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
	id         uint32
	class      int
	queued     int           // bytes to be sent
	credit     int           // that may be
	element    *list.Element // in its class's ring, while it could send
	peerCredit int           // credit that the peer has of us
	consumed   int           // bytes consumed since it was last told of credit
}

// class is the streams of one that could send.
type class struct {
	ring    *list.List
	deficit int
}

// Mux is one end of a connection. Both ends begin with a window a stream.
type Mux struct {
	cfg         Config
	streams     map[uint32]*stream
	classes     []class
	current     int  // the class whose turn it is
	turnStarted bool // its turn has begun
	credit      int  // of the connection
	peerCredit  int
	consumed    int
}

// New makes an end.
func New(cfg Config) (*Mux, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	m := &Mux{cfg: cfg, streams: map[uint32]*stream{}, credit: cfg.ConnWindow, peerCredit: cfg.ConnWindow}
	for range cfg.Weights {
		m.classes = append(m.classes, class{ring: list.New()})
	}
	return m, nil
}

// Len counts the open streams.
func (m *Mux) Len() int { return len(m.streams) }

// Open opens a stream, of ours or of the peer.
func (m *Mux) Open(id uint32, class int) error {
	switch {
	case m.streams[id] != nil:
		return ErrStreamExists
	case len(m.streams) >= m.cfg.MaxStreams:
		return ErrTooManyStreams
	case class < 0 || class >= len(m.classes):
		return fmt.Errorf("streams: class %d of %d", class, len(m.classes))
	}
	m.streams[id] = &stream{id: id, class: class, credit: m.cfg.StreamWindow, peerCredit: m.cfg.StreamWindow}
	return nil
}

// Close ends a stream. What it has received and not consumed counts as consumed for
// the connection; give is the connection's credit to tell the peer of, if any.
func (m *Mux) Close(id uint32) (grant int) {
	s := m.streams[id]
	if s == nil {
		return 0
	}
	m.deactivate(s)
	delete(m.streams, id)
	held := m.cfg.StreamWindow - s.peerCredit - s.consumed
	return m.consume(held)
}

// Queue adds bytes that a stream has to send.
func (m *Mux) Queue(id uint32, n int) {
	if s := m.streams[id]; s != nil && n > 0 {
		s.queued += n
		m.activate(s)
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
	s := m.streams[id]
	if s == nil {
		return nil // it has just ended
	}
	if n > m.cfg.StreamWindow-s.credit {
		return ErrCreditExceeded
	}
	s.credit += n
	m.activate(s)
	return nil
}

// rise lets a stream take turns, rest takes it out.
func (m *Mux) activate(s *stream) {
	if s.element == nil && s.queued > 0 && s.credit > 0 {
		s.element = m.classes[s.class].ring.PushBack(s)
	}
}

func (m *Mux) deactivate(s *stream) {
	if s.element != nil {
		m.classes[s.class].ring.Remove(s.element)
		s.element = nil
	}
}

// Next gives the stream whose bytes go next, and how many, up to most. It counts
// them as sent.
func (m *Mux) Next(maxBytes int) (id uint32, n int, ok bool) {
	if m.credit == 0 || maxBytes < 1 {
		return 0, 0, false
	}
	for range 2*len(m.classes) + 1 {
		c := &m.classes[m.current]
		first := c.ring.Front()
		if first == nil {
			c.deficit = 0
			m.nextClass()
			continue
		}
		if !m.turnStarted {
			c.deficit += m.cfg.Quantum * m.cfg.Weights[m.current]
			m.turnStarted = true
		}
		s := first.Value.(*stream)
		n = min(maxBytes, s.queued, s.credit, m.credit, c.deficit)
		s.queued, s.credit, m.credit = s.queued-n, s.credit-n, m.credit-n
		c.deficit -= n
		m.deactivate(s)
		m.activate(s) // behind the others of its class
		if c.deficit <= 0 {
			m.nextClass()
		}
		return s.id, n, true
	}
	return 0, 0, false
}

func (m *Mux) nextClass() { m.current, m.turnStarted = (m.current+1)%len(m.classes), false }

// Received takes in bytes of a stream, which the peer must have had credit for.
func (m *Mux) Received(id uint32, n int) error {
	if n < 0 || n > m.peerCredit {
		return ErrNoCredit
	}
	s := m.streams[id]
	if s == nil { // of one that we have just ended: only the connection counts
		m.peerCredit -= n
		return nil
	}
	if n > s.peerCredit {
		return ErrNoCredit
	}
	m.peerCredit, s.peerCredit = m.peerCredit-n, s.peerCredit-n
	return nil
}

// Consumed tells that bytes of a stream are no longer held here. It gives the credit
// that the peer is to be told of, for the stream and for the connection: half a
// window at a time, so that few frames are spent on it.
func (m *Mux) Consumed(id uint32, n int) (streamGrant, connGrant int) {
	if s := m.streams[id]; s != nil {
		n = min(n, m.cfg.StreamWindow-s.peerCredit-s.consumed)
		if s.consumed += n; 2*s.consumed >= m.cfg.StreamWindow {
			streamGrant, s.consumed = s.consumed, 0
			s.peerCredit += streamGrant
		}
	} else {
		n = min(n, m.cfg.ConnWindow-m.peerCredit-m.consumed)
	}
	return streamGrant, m.consume(n)
}

func (m *Mux) consume(n int) (grant int) {
	if m.consumed += n; 2*m.consumed >= m.cfg.ConnWindow {
		grant, m.consumed = m.consumed, 0
		m.peerCredit += grant
	}
	return grant
}
