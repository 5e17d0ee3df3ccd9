package upstream

import (
	"cherryramp/internal/gateway"
	"cherryramp/internal/loop"
	"cherryramp/internal/transport"
)

// Conn is a connection to a cache node. It must be used on the loop only.
type Conn interface {
	// Send writes p and buffers what a full socket does not take. It reports whether
	// the socket took all; otherwise Drained follows.
	Send(p []byte) (whole bool, err error)
	// Consume calls parse with all buffered input and removes the bytes it reports as used.
	Consume(parse func(b []byte) (used int))
	Overflowed() bool     // reports whether input exceeded the limit and was dropped
	Blocked() bool        // reports whether output waits for a full socket
	CloseIfBlocked() bool // if so, closes the connection, so that the output is never sent
	Close()               // closes the connection; Closed follows
}

// Handler receives the events of a connection, always on the loop.
type Handler interface {
	Readable() // data has arrived
	Drained()  // all buffered output has been written to the socket
	Closed()   // the connection has ended; the last event, sent once
}

// Network opens connections: TCP, or in the laboratory a network with simulated
// delays and failures.
type Network interface {
	// Dial connects until a deadline and then calls ready with the connection or the
	// error. limit bounds the buffered input, in bytes.
	Dial(address string, limit int, h Handler, by gateway.Micros, ready func(Conn, error))
}

// TCP is the Network of real sockets.
type TCP struct {
	loop  *loop.Loop
	gauge *transport.Gauge
}

// NewTCP returns a network whose connections are served on a loop. The budget is of the memory for
// answers that have arrived and are not handled yet; nil: no bound.
func NewTCP(l *loop.Loop, budget *transport.Budget) *TCP {
	return &TCP{loop: l, gauge: transport.NewGauge(budget)}
}

// BufferedBytes returns the bytes that its connections buffer.
func (t *TCP) BufferedBytes() int64 { return t.gauge.In.Load() + t.gauge.Out.Load() }

// Dial is part of Network.
func (t *TCP) Dial(address string, limit int, h Handler, deadline gateway.Micros, ready func(Conn, error)) {
	transport.Dial(t.loop, address, limit, t.gauge, handlerAdapter{h}, deadline, func(c *transport.Conn, err error) {
		if err != nil {
			ready(nil, err)
			return
		}
		ready(c, nil)
	})
}

// handlerAdapter passes events of a transport.Conn on to a Handler.
type handlerAdapter struct{ h Handler }

// Readable is part of transport.Handler.
func (w handlerAdapter) Readable(*transport.Conn) { w.h.Readable() }

// Drained is part of transport.Handler.
func (w handlerAdapter) Drained(*transport.Conn) { w.h.Drained() }

// Closed is part of transport.Handler.
func (w handlerAdapter) Closed(*transport.Conn) { w.h.Closed() }
