// Package zookeepertest provides a fake ZooKeeper server for tests and the lab. It speaks
// the part of the published protocol that reads children and data with watches.
package zookeepertest

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"cherryramp/internal/loopbacktest"
)

// Server is a fake ZooKeeper server with the children of one node, Root.
type Server struct {
	ln       net.Listener
	mu       sync.Mutex
	nodes    map[string]node // by child
	zxid     int64
	session  int64
	conns    map[net.Conn]bool
	watches  map[net.Conn]map[string]bool // "list" or a child
	frozen   bool
	unfrozen sync.Cond

	setWatches int // requests that set watches of an earlier connection again
}

// node is a child of Root.
type node struct {
	data      string
	changedAt int64 // zxid of its last change
}

// Root is the path of the nodes' parent.
const Root = "/padma/boxes"

// New starts a server without nodes, which is closed at the end of the test.
func New(t testing.TB) *Server {
	t.Helper()
	server, err := Open("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

// Open starts a server without nodes at an address or, if that is empty, at one of this
// process's own. The caller must close it.
func Open(address string) (*Server, error) {
	ln, err := loopbacktest.ListenAt(address)
	if err != nil {
		return nil, fmt.Errorf("zookeepertest: %w", err)
	}
	server := &Server{ln: ln, nodes: map[string]node{}, session: 100, conns: map[net.Conn]bool{},
		watches: map[net.Conn]map[string]bool{}}
	server.unfrozen.L = &server.mu
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go server.serve(c)
		}
	}()
	return server, nil
}

// Close closes the server and its connections.
func (s *Server) Close() {
	_ = s.ln.Close()
	s.Disconnect(false)
	s.Freeze(false)
}

// Freeze stops the server from replying until it is called with false: connections are
// accepted and stay open, and pending requests are answered afterwards.
func (s *Server) Freeze(frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = frozen
	s.unfrozen.Broadcast()
}

// packet reads or writes fields in ZooKeeper's encoding.
type packet struct{ b []byte }

func (p *packet) putInt32(v int32) { p.b = binary.BigEndian.AppendUint32(p.b, uint32(v)) }
func (p *packet) putInt64(v int64) { p.b = binary.BigEndian.AppendUint64(p.b, uint64(v)) }
func (p *packet) putText(s string) { p.putInt32(int32(len(s))); p.b = append(p.b, s...) }
func (p *packet) putStat()         { p.b = append(p.b, make([]byte, 68)...) }

func (p *packet) take32() int32 {
	v := int32(binary.BigEndian.Uint32(p.b))
	p.b = p.b[4:]
	return v
}

func (p *packet) take64() int64 {
	v := int64(binary.BigEndian.Uint64(p.b))
	p.b = p.b[8:]
	return v
}

func (p *packet) takeText() string {
	n := max(0, p.take32())
	s := string(p.b[:n])
	p.b = p.b[n:]
	return s
}

func receive(c net.Conn) (*packet, error) {
	var size [4]byte
	if _, err := io.ReadFull(c, size[:]); err != nil {
		return nil, err
	}
	b := make([]byte, binary.BigEndian.Uint32(size[:]))
	_, err := io.ReadFull(c, b)
	return &packet{b}, err
}

func send(c net.Conn, p *packet) {
	_, _ = c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(p.b))), p.b...))
}

func (s *Server) serve(c net.Conn) {
	request, err := receive(c)
	if err != nil {
		return
	}
	request.take32() // protocol version
	request.take64() // last zxid
	timeout, session := request.take32(), request.take64()
	s.mu.Lock()
	for s.frozen {
		s.unfrozen.Wait()
	}
	if session != 0 && session != s.session {
		session = 0 // expired
	} else {
		session = s.session
	}
	s.conns[c], s.watches[c] = true, map[string]bool{}
	s.mu.Unlock()
	var reply packet
	reply.putInt32(0)
	reply.putInt32(timeout)
	reply.putInt64(session)
	reply.putText(strings.Repeat("p", 16))
	send(c, &reply)
	if session == 0 {
		_ = c.Close()
		return
	}
	for {
		if request, err = receive(c); err != nil {
			return
		}
		s.answer(c, request)
	}
}

func (s *Server) answer(c net.Conn, request *packet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.frozen {
		s.unfrozen.Wait()
	}
	if s.watches[c] == nil { // disconnected
		return
	}
	xid, op := request.take32(), request.take32()
	var body packet
	code := int32(0)
	switch op {
	case 12: // get the children of a node
		if request.takeText() != Root {
			code = -101
			break
		}
		s.watches[c]["list"] = request.b[0] == 1
		body.putInt32(int32(len(s.nodes)))
		for child := range s.nodes {
			body.putText(child)
		}
		body.putStat()
	case 4: // get the data of a node
		child := strings.TrimPrefix(request.takeText(), Root+"/")
		found, known := s.nodes[child]
		if !known {
			code = -101
			break
		}
		s.watches[c][child] = request.b[0] == 1
		body.putText(found.data)
		body.putStat()
	case 101: // set watches of an earlier connection again; those with a change since fire at once
		s.setWatches++
		seen := request.take64()
		for _, list := range []bool{false, false, true} {
			for range request.take32() {
				path := request.takeText()
				child := strings.TrimPrefix(path, Root+"/")
				switch found, known := s.nodes[child]; {
				case list && s.zxid > seen:
					notify(c, 4, Root)
				case list:
					s.watches[c]["list"] = true
				case !known:
					notify(c, 2, path)
				case found.changedAt > seen:
					notify(c, 3, path)
				default:
					s.watches[c][child] = true
				}
			}
		}
	}
	var reply packet
	reply.putInt32(xid)
	reply.putInt64(s.zxid)
	reply.putInt32(code)
	if code == 0 {
		reply.b = append(reply.b, body.b...)
	}
	send(c, &reply)
}

// notify sends a watch event: 2 deleted, 3 data changed, 4 children changed.
func notify(c net.Conn, kind int32, path string) {
	var event packet
	event.putInt32(-1)
	event.putInt64(-1)
	event.putInt32(0)
	event.putInt32(kind)
	event.putInt32(3)
	event.putText(path)
	send(c, &event)
}

// Set creates or changes a node or, with empty data, deletes it.
func (s *Server) Set(child, data string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.nodes[child]
	s.zxid++
	kind := int32(3)
	if data == "" {
		delete(s.nodes, child)
		kind = 2
	} else {
		s.nodes[child] = node{data: data, changedAt: s.zxid}
	}
	for c, w := range s.watches {
		if w[child] {
			w[child] = false
			notify(c, kind, Root+"/"+child)
		}
		if w["list"] && (!known || data == "") {
			w["list"] = false
			notify(c, 4, Root)
		}
	}
}

// Disconnect closes all connections and, with expire, expires the session.
func (s *Server) Disconnect(expire bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if expire {
		s.session++
	}
	for c := range s.conns {
		_ = c.Close()
	}
	s.conns, s.watches = map[net.Conn]bool{}, map[net.Conn]map[string]bool{}
}

// SetWatchesCalls returns the number of requests by which clients set watches of an
// earlier connection again.
func (s *Server) SetWatchesCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.setWatches
}

// Addr returns the server's address.
func (s *Server) Addr() string { return s.ln.Addr().String() }
