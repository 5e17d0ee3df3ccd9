// Package zookeepertest is for tests and the laboratory: a stand-in for a ZooKeeper server
// that speaks the part of its published protocol that reading children and data
// with watches takes.
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

// Keeper is a stand-in that speaks the part of ZooKeeper's published protocol
// that reading children and data with watches takes.
type Server struct {
	ln      net.Listener
	mu      sync.Mutex
	nodes   map[string]node // by child
	zxid    int64
	session int64
	conns   map[net.Conn]bool
	watches map[net.Conn]map[string]bool // "list" or a child
	frozen  bool
	thawed  sync.Cond

	setAgain int // calls that set watches of an older connection again
}

// node is what the keeper holds under a name.
type node struct {
	data    string
	changed int64 // number of the change that made it so
}

// Root is the path whose children are the nodes.
const Root = "/padma/boxes"

// New starts a keeper without nodes, which ends with the test.
func New(t testing.TB) *Server {
	t.Helper()
	k, err := Open("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	return k
}

// Open starts a keeper without nodes at an address, or at one of this process's own if it
// is empty. It must be closed.
func Open(address string) (*Server, error) {
	ln, err := loopbacktest.ListenAt(address)
	if err != nil {
		return nil, fmt.Errorf("keeper: %w", err)
	}
	k := &Server{ln: ln, nodes: map[string]node{}, session: 100, conns: map[net.Conn]bool{},
		watches: map[net.Conn]map[string]bool{}}
	k.thawed.L = &k.mu
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k, nil
}

// Close ends a keeper and its connections.
func (k *Server) Close() {
	_ = k.ln.Close()
	k.Disconnect(false)
	k.Freeze(false)
}

// Freeze has the keeper say nothing until it is thawed: connections come up and
// stay, and what is asked meanwhile is answered then.
func (k *Server) Freeze(frozen bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.frozen = frozen
	k.thawed.Broadcast()
}

// packet reads or writes fields in ZooKeeper's encoding.
type packet struct{ b []byte }

func (p *packet) i32(v int32)   { p.b = binary.BigEndian.AppendUint32(p.b, uint32(v)) }
func (p *packet) i64(v int64)   { p.b = binary.BigEndian.AppendUint64(p.b, uint64(v)) }
func (p *packet) text(s string) { p.i32(int32(len(s))); p.b = append(p.b, s...) }
func (p *packet) stat()         { p.b = append(p.b, make([]byte, 68)...) }

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

func (k *Server) serve(c net.Conn) {
	p, err := receive(c)
	if err != nil {
		return
	}
	p.take32() // protocol version
	p.take64() // last zxid
	timeout, session := p.take32(), p.take64()
	k.mu.Lock()
	for k.frozen {
		k.thawed.Wait()
	}
	if session != 0 && session != k.session {
		session = 0 // expired
	} else {
		session = k.session
	}
	k.conns[c], k.watches[c] = true, map[string]bool{}
	k.mu.Unlock()
	var r packet
	r.i32(0)
	r.i32(timeout)
	r.i64(session)
	r.text(strings.Repeat("p", 16))
	send(c, &r)
	if session == 0 {
		_ = c.Close()
		return
	}
	for {
		if p, err = receive(c); err != nil {
			return
		}
		k.answer(c, p)
	}
}

func (k *Server) answer(c net.Conn, p *packet) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.frozen {
		k.thawed.Wait()
	}
	if k.watches[c] == nil { // it was cut
		return
	}
	xid, op := p.take32(), p.take32()
	var body packet
	code := int32(0)
	switch op {
	case 12: // the children of a node
		if p.takeText() != Root {
			code = -101
			break
		}
		k.watches[c]["list"] = p.b[0] == 1
		body.i32(int32(len(k.nodes)))
		for child := range k.nodes {
			body.text(child)
		}
		body.stat()
	case 4: // the data of a node
		child := strings.TrimPrefix(p.takeText(), Root+"/")
		n, known := k.nodes[child]
		if !known {
			code = -101
			break
		}
		k.watches[c][child] = p.b[0] == 1
		body.text(n.data)
		body.stat()
	case 101: // watches of an older connection, set again; what changed since fires at once
		k.setAgain++
		seen := p.take64()
		for _, list := range []bool{false, false, true} {
			for range p.take32() {
				path := p.takeText()
				child := strings.TrimPrefix(path, Root+"/")
				switch n, known := k.nodes[child]; {
				case list && k.zxid > seen:
					notify(c, 4, Root)
				case list:
					k.watches[c]["list"] = true
				case !known:
					notify(c, 2, path)
				case n.changed > seen:
					notify(c, 3, path)
				default:
					k.watches[c][child] = true
				}
			}
		}
	}
	var r packet
	r.i32(xid)
	r.i64(k.zxid)
	r.i32(code)
	if code == 0 {
		r.b = append(r.b, body.b...)
	}
	send(c, &r)
}

// notify sends a watch's event: 2 deleted, 3 data changed, 4 children changed.
func notify(c net.Conn, kind int32, path string) {
	var r packet
	r.i32(-1)
	r.i64(-1)
	r.i32(0)
	r.i32(kind)
	r.i32(3)
	r.text(path)
	send(c, &r)
}

// Set makes, changes or, with empty data, removes a node.
func (k *Server) Set(child, data string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, known := k.nodes[child]
	k.zxid++
	kind := int32(3)
	if data == "" {
		delete(k.nodes, child)
		kind = 2
	} else {
		k.nodes[child] = node{data: data, changed: k.zxid}
	}
	for c, w := range k.watches {
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

// Cut ends all connections, and the session too where it is to expire.
func (k *Server) Disconnect(expire bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if expire {
		k.session++
	}
	for c := range k.conns {
		_ = c.Close()
	}
	k.conns, k.watches = map[net.Conn]bool{}, map[net.Conn]map[string]bool{}
}

// WatchesSetAgain counts the calls in which clients set watches of an older connection again.
func (k *Server) SetWatchesCalls() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.setAgain
}

// Addr is where the keeper listens.
func (k *Server) Addr() string { return k.ln.Addr().String() }
