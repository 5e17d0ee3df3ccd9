// Package flowcontrol multiplexes the streams of a connection: which stream sends
// next, how many bytes each may send, and when the peer may send more.
//
// Flow control is credit-based per stream and per connection, so that a slow reader
// blocks its own stream and no other. Classes are scheduled by their weights (deficit
// round robin, Shreedhar and Varghese, 1996), the streams of a class round robin.
// What a peer may claim and send is bounded; a violation is reported as an error, on
// which the caller closes the connection.
package flowcontrol

import (
	"container/list"
	"errors"
	"fmt"
)

// Protocol violations of a peer.
var (
	ErrCreditExceeded = errors.New("flowcontrol: credit not positive or beyond the maximum window")
	ErrNoCredit       = errors.New("flowcontrol: bytes received without credit")
	ErrStreamExists   = errors.New("flowcontrol: stream is already open")
	ErrTooManyStreams = errors.New("flowcontrol: too many open streams")
)

// Config holds the parameters of a connection, the same at both ends.
type Config struct {
	Weights      []int // by class; a class with twice the weight sends twice the bytes
	StreamWindow int   // bytes that a stream may send before they are consumed
	ConnWindow   int   // the same for all streams together
	MaxStreams   int   // open streams
	Quantum      int   // bytes per turn and unit of weight, the most that Next returns for a weight of 1
}

// Check returns an error for an invalid setting.
func (c Config) Check() error {
	if len(c.Weights) == 0 || c.StreamWindow < 1 || c.ConnWindow < c.StreamWindow || c.MaxStreams < 1 || c.Quantum < 1 {
		return fmt.Errorf("flowcontrol: invalid configuration %+v", c)
	}
	for i, w := range c.Weights {
		if w < 1 {
			return fmt.Errorf("flowcontrol: class %d has a weight of %d, less than 1", i, w)
		}
	}
	return nil
}

// stream is the state of one stream in both directions.
type stream struct {
	id         uint32
	class      int
	queued     int           // bytes to be sent
	credit     int           // bytes that may be sent
	element    *list.Element // in its class's ring, while it can send
	peerCredit int           // bytes that the peer may send
	consumed   int           // bytes consumed since credit was last granted to the peer
}

// class holds the streams of a class that can send.
type class struct {
	ring    *list.List
	deficit int
}

// Mux is one end of a connection. Both ends start with a full window for the
// connection and for each stream. It is not safe for concurrent use.
type Mux struct {
	cfg         Config
	streams     map[uint32]*stream
	classes     []class
	current     int  // class whose turn it is
	turnStarted bool // the turn's quantum has been added
	credit      int  // of the connection, as in stream
	peerCredit  int
	consumed    int
}

// New returns one end of a connection without streams.
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

// Len returns the number of open streams.
func (m *Mux) Len() int { return len(m.streams) }

// Open opens a stream on behalf of either end. It returns ErrStreamExists,
// ErrTooManyStreams, or an error for a class out of range.
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

// Close ends a stream. Bytes that it has received and not consumed count as consumed
// for the connection; grant is the connection credit to grant to the peer, if any.
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

// Queue adds n bytes to those that a stream has to send.
func (m *Mux) Queue(id uint32, n int) {
	if s := m.streams[id]; s != nil && n > 0 {
		s.queued += n
		m.activate(s)
	}
}

// Credit adds credit that the peer has granted to a stream, or to the connection if
// id is 0. Credit for unknown streams is ignored. It returns ErrCreditExceeded for
// credit below 1 or beyond the window.
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
		return nil // the stream has just been closed
	}
	if n > m.cfg.StreamWindow-s.credit {
		return ErrCreditExceeded
	}
	s.credit += n
	m.activate(s)
	return nil
}

// activate adds a stream that can send to the ring of its class.
func (m *Mux) activate(s *stream) {
	if s.element == nil && s.queued > 0 && s.credit > 0 {
		s.element = m.classes[s.class].ring.PushBack(s)
	}
}

// deactivate removes a stream from the ring of its class.
func (m *Mux) deactivate(s *stream) {
	if s.element != nil {
		m.classes[s.class].ring.Remove(s.element)
		s.element = nil
	}
}

// Next returns the stream that sends next and the number of its bytes, up to
// maxBytes, and counts them as sent. ok is false if nothing can be sent.
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

// nextClass ends the turn of the current class.
func (m *Mux) nextClass() { m.current, m.turnStarted = (m.current+1)%len(m.classes), false }

// Received counts bytes received on a stream. It returns ErrNoCredit if the peer had
// no credit for them.
func (m *Mux) Received(id uint32, n int) error {
	if n < 0 || n > m.peerCredit {
		return ErrNoCredit
	}
	s := m.streams[id]
	if s == nil { // just closed at this end: only the connection's credit counts
		m.peerCredit -= n
		return nil
	}
	if n > s.peerCredit {
		return ErrNoCredit
	}
	m.peerCredit, s.peerCredit = m.peerCredit-n, s.peerCredit-n
	return nil
}

// Consumed counts bytes of a stream that are no longer held here. It returns the
// credit to grant to the peer for the stream and for the connection, at least half a
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

// consume counts bytes consumed for the connection and returns the credit to grant.
func (m *Mux) consume(n int) (grant int) {
	if m.consumed += n; 2*m.consumed >= m.cfg.ConnWindow {
		grant, m.consumed = m.consumed, 0
		m.peerCredit += grant
	}
	return grant
}
