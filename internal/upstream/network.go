package upstream

import (
	"cherryramp/internal/gateway"
	"cherryramp/internal/loop"
	"cherryramp/internal/transport"
)

// Conn is a connection to a cache node. It is used on the loop only.
type Conn interface {
	// Send writes bytes, keeping those that a full socket does not take. It tells
	// whether all are out; if not, Drained follows.
	Send(p []byte) (whole bool, err error)
	// Consume shows parse all that has come and drops what it says it has used.
	Consume(parse func(b []byte) (used int))
	Overflowed() bool     // more came than may wait, and the rest was dropped
	Blocked() bool        // bytes wait for a full socket
	CloseIfBlocked() bool // if they do, ends the connection, so that they never leave
	Close()               // Closed follows
}

// Handler is told what happens on a connection, always on the loop.
type Handler interface {
	Readable() // bytes have come
	Drained()  // a full socket has taken all that waited
	Closed()   // it has ended; told once, and nothing follows
}

// Network makes connections: TCP's, or in the laboratory one whose delays and
// failures are made up.
type Network interface {
	// Dial connects until a moment and then tells ready. At most limit bytes may
	// wait to be consumed.
	Dial(address string, limit int, h Handler, by gateway.Micros, ready func(Conn, error))
}

// TCP is the network as it is.
type TCP struct {
	loop  *loop.Loop
	gauge transport.Gauge
}

// NewTCP makes connections that are served on a loop.
func NewTCP(l *loop.Loop) *TCP { return &TCP{loop: l} }

// Held is the bytes that its connections hold.
func (t *TCP) BufferedBytes() int64 { return t.gauge.In.Load() + t.gauge.Out.Load() }

// Dial is part of Network.
func (t *TCP) Dial(address string, limit int, h Handler, by gateway.Micros, ready func(Conn, error)) {
	transport.Dial(t.loop, address, limit, &t.gauge, wired{h}, by, func(c *transport.Conn, err error) {
		if err != nil {
			ready(nil, err)
			return
		}
		ready(c, nil)
	})
}

// wired has a handler told what the transport tells.
type wired struct{ h Handler }

// Readable is part of transport.Handler.
func (w wired) Readable(*transport.Conn) { w.h.Readable() }

// Drained is part of transport.Handler.
func (w wired) Drained(*transport.Conn) { w.h.Drained() }

// Closed is part of transport.Handler.
func (w wired) Closed(*transport.Conn) { w.h.Closed() }
