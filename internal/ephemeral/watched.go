package ephemeral

import (
	"encoding/binary"
	"net"
	"slices"
	"time"
)

// Requests of ZooKeeper's published protocol, as a packet has them: its length and the request's
// number (4 bytes each), the operation (4 bytes), and its fields.
const (
	operationOffset = 8
	fieldsOffset    = 12
	opGetData       = 4  // a path, and whether to set a watch
	opGetChildren   = 12 // the same
)

// watchedConn is a connection on which every read of a node's data or children sets a watch at the
// service. The client library is told of no watch: it would set those that it knows again at each connection,
// with a number of the last change that it reads while its receiver writes it. Events of
// watches that it does not know it hands to its event callback, which is all that is needed.
type watchedConn struct {
	net.Conn
	started bool // the packet that begins the session, which holds no operation, was written
}

// dialWatched is the library's dialer.
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

// withWatch sets the watch of a read; other packets are as they were.
func withWatch(packet []byte) []byte {
	if len(packet) <= fieldsOffset {
		return packet
	}
	switch binary.BigEndian.Uint32(packet[operationOffset:]) {
	case opGetData, opGetChildren:
		packet = slices.Clone(packet) // it is the caller's
		packet[len(packet)-1] = 1
	}
	return packet
}
