package ephemeral

import (
	"encoding/binary"
	"net"
	"slices"
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

// watchedConn is a connection on which every read of a node's data or children sets a
// watch at the server. The client library knows of no watches: it would set those it knows
// again at each connection, with a last change number (zxid) that it reads while its
// receiver writes it, which is a data race. Events of watches that it does not know go to
// its event callback, which is all that is needed.
type watchedConn struct {
	net.Conn
	started bool // the connect request, which has no operation, was written
}

// dialWatched is the client library's dialer.
func dialWatched(network, address string, timeout time.Duration) (net.Conn, error) {
	c, err := net.DialTimeout(network, address, timeout)
	if err != nil {
		return nil, err // the library logs it with the address
	}
	return &watchedConn{Conn: c}, nil
}

// Write sends a packet; the library writes each whole.
func (c *watchedConn) Write(packet []byte) (int, error) {
	if !c.started {
		c.started = true
		return c.Conn.Write(packet)
	}
	return c.Conn.Write(withWatch(packet))
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
