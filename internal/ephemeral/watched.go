package ephemeral

import (
	"encoding/binary"
	"errors"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"
)

// Requests of ZooKeeper's published protocol. A packet is its length, the request's number
// and the operation (4 bytes each), and the operation's fields.
const (
	operationOffset = 8
	fieldsOffset    = 12
	opGetData       = 4  // fields: a path, and whether to set a watch
	opGetChildren   = 12 // the same
)

// maxPatience bounds by how much a dialer extends the time for the first answer.
const maxPatience = 8

// dialer dials the client library's connections. The library ends one on which nothing has
// arrived for two thirds of the session. The first answers of a server that is later than
// that would never arrive, so each time one is missing the next connection waits twice as
// long for it, until one arrives within the library's time again. Once answers have begun,
// the pings keep them coming, however late they are.
type dialer struct {
	patience atomic.Int64 // multiple of the library's time that a connection waits for its first answer
}

func newDialer() *dialer {
	d := &dialer{}
	d.patience.Store(1)
	return d
}

// watchedConn is a connection on which every read of a node's data or children sets a
// watch at the server. The client library knows of no watches: it would set those it knows
// again at each connection, with a last change number (zxid) that it reads while its
// receiver writes it, which is a data race. Events of watches that it does not know go to
// its event callback, which is all that is needed.
type watchedConn struct {
	net.Conn
	dialer    *dialer
	started   bool      // the connect request, which has no operation, was written
	connected bool      // an answer to it was received; used by the reader only, like the following
	inSession bool      // the library reads what follows that answer
	answered  bool      // some of that was received
	deadline  time.Time // the library's for the first answer
}

// dial is the client library's dialer.
func (d *dialer) dial(network, address string, timeout time.Duration) (net.Conn, error) {
	c, err := net.DialTimeout(network, address, timeout)
	if err != nil {
		return nil, err // the library logs it with the address
	}
	return &watchedConn{Conn: c, dialer: d}, nil
}

// Write sends a packet; the library writes each whole.
func (c *watchedConn) Write(packet []byte) (int, error) {
	if !c.started {
		c.started = true
		return c.Conn.Write(packet)
	}
	return c.Conn.Write(withWatch(packet))
}

// SetReadDeadline sets the deadline of reads, a later one for the first answer in a session.
func (c *watchedConn) SetReadDeadline(deadline time.Time) error {
	if deadline.IsZero() { // the library received what it waited for
		c.connected = true
		return c.Conn.SetReadDeadline(deadline)
	}
	c.inSession = c.connected
	if c.inSession && !c.answered {
		c.deadline = deadline
		extra := time.Until(deadline) * time.Duration(c.dialer.patience.Load()-1)
		deadline = deadline.Add(extra)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Read reads from the connection, and has the next one wait longer if the first answer is
// missing.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	switch {
	case !c.inSession || c.answered:
	case n > 0:
		c.answered = true
		if time.Now().Before(c.deadline) {
			c.dialer.patience.Store(1)
		}
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.dialer.patience.Store(min(maxPatience, 2*c.dialer.patience.Load()))
	}
	return n, err
}

// withWatch sets the watch flag of a read; it returns other packets unchanged.
func withWatch(packet []byte) []byte {
	if len(packet) <= fieldsOffset {
		return packet
	}
	switch binary.BigEndian.Uint32(packet[operationOffset:]) {
	case opGetData, opGetChildren:
		packet = slices.Clone(packet) // the caller's must not change
		packet[len(packet)-1] = 1
	}
	return packet
}
