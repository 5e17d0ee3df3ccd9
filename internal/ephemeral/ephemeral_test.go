package ephemeral

import (
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cherryramp/internal/gateway"
	"cherryramp/internal/loop"
	"cherryramp/rules"
)

const patience = 10 * time.Second

// keeper is a stand-in that speaks the part of ZooKeeper's published protocol
// that reading children and data with watches takes.
type keeper struct {
	ln      net.Listener
	mu      sync.Mutex
	nodes   map[string]string // child: data
	zxid    int64
	session int64
	conns   map[net.Conn]bool
	watches map[net.Conn]map[string]bool // "list" or a child
	reads   int
}

const root = "/padma/boxes"

func newKeeper(t *testing.T) *keeper {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := &keeper{ln: ln, nodes: map[string]string{}, session: 100, conns: map[net.Conn]bool{},
		watches: map[net.Conn]map[string]bool{}}
	t.Cleanup(func() { _ = ln.Close(); k.cut(false) })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k
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

func (k *keeper) serve(c net.Conn) {
	p, err := receive(c)
	if err != nil {
		return
	}
	p.take32() // protocol version
	p.take64() // last zxid
	timeout, session := p.take32(), p.take64()
	k.mu.Lock()
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

func (k *keeper) answer(c net.Conn, p *packet) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.watches[c] == nil { // it was cut
		return
	}
	xid, op := p.take32(), p.take32()
	var body packet
	code := int32(0)
	switch op {
	case 12: // the children of a node
		k.reads++
		if p.takeText() != root {
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
		child := strings.TrimPrefix(p.takeText(), root+"/")
		data, known := k.nodes[child]
		if !known {
			code = -101
			break
		}
		k.watches[c][child] = p.b[0] == 1
		body.text(data)
		body.stat()
	case 101: // watches of an older connection, set again; what changed since fires at once
		seen := p.take64()
		for _, list := range []bool{false, false, true} {
			for range p.take32() {
				path := p.takeText()
				child := strings.TrimPrefix(path, root+"/")
				switch _, known := k.nodes[child]; {
				case list && k.zxid > seen:
					notify(c, 4, root)
				case list:
					k.watches[c]["list"] = true
				case !known:
					notify(c, 2, path)
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

// set makes, changes or, with empty data, removes a node.
func (k *keeper) set(child, data string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, known := k.nodes[child]
	k.zxid++
	kind := int32(3)
	if data == "" {
		delete(k.nodes, child)
		kind = 2
	} else {
		k.nodes[child] = data
	}
	for c, w := range k.watches {
		if w[child] {
			w[child] = false
			notify(c, kind, root+"/"+child)
		}
		if w["list"] && (!known || data == "") {
			w["list"] = false
			notify(c, 4, root)
		}
	}
}

// cut ends all connections, and the session too where it is to expire.
func (k *keeper) cut(expire bool) {
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

func box(phase string) string {
	return fmt.Sprintf(`{"host_port":"127.0.0.1:9","locality":"edge-1","flavor":"box","phase":"%s","size":4}`, phase)
}

// sink hands lists over as words.
type sink struct{ lists chan string }

func (s *sink) Members(full bool, list []gateway.Member) {
	words := []string{fmt.Sprint(full)}
	for _, m := range list {
		words = append(words, m.Name+map[rules.MemberState]string{rules.Ready: "+", rules.Draining: "-"}[m.State])
	}
	s.lists <- strings.Join(words, " ")
}

func (s *sink) await(t *testing.T, want string) {
	t.Helper()
	var seen []string
	end := time.After(patience)
	for !slices.Contains(seen, want) {
		select {
		case got := <-s.lists:
			seen = append(seen, got)
		case <-end:
			t.Fatalf("got %q, want %q", seen, want)
		}
	}
}

func start(t *testing.T, k *keeper) *sink {
	t.Helper()
	l := loop.New(func() {})
	done := make(chan struct{})
	go func() { l.Run(); close(done) }()
	t.Cleanup(func() { l.Post(l.Quit); <-done })
	s := &sink{lists: make(chan string, 100)}
	err := Start(Config{Servers: []string{k.ln.Addr().String()}, Path: root, Session: 2 * time.Second}, l, s,
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestFollowsNodes(t *testing.T) {
	k := newKeeper(t)
	k.set("s-1", box("SERVING"))
	s := start(t, k)
	s.await(t, "true s-1+")
	k.set("s-2", box("SERVING"))
	s.await(t, "true s-1+ s-2+")
	k.set("s-1", box("DRAINING"))
	s.await(t, "true s-1- s-2+")
	k.set("s-1", "")
	s.await(t, "true s-2+")
	// Data that can't be used keeps what was known of the node.
	k.set("s-2", "garbage")
	k.set("s-3", box("SERVING"))
	s.await(t, "true s-2+ s-3+")
}

// Guards against a lost connection emptying the list, and against changes made
// meanwhile that are never heard of.
func TestLostConnectionKeepsTheList(t *testing.T) {
	k := newKeeper(t)
	k.set("s-1", box("SERVING"))
	s := start(t, k)
	s.await(t, "true s-1+")
	k.cut(false)
	k.set("s-2", box("SERVING"))
	s.await(t, "true s-1+ s-2+")
	select {
	case got := <-s.lists:
		t.Errorf("told %q after that", got)
	default:
	}
}

// Guards against watches that die with their session: the new one must read
// all again and hear of what comes later.
func TestNewSessionReadsAllAgain(t *testing.T) {
	k := newKeeper(t)
	k.set("s-1", box("SERVING"))
	k.set("s-2", box("SERVING"))
	s := start(t, k)
	s.await(t, "true s-1+ s-2+")
	k.cut(true)
	k.set("s-1", "")
	k.set("s-2", box("DRAINING"))
	s.await(t, "true s-2-")
	k.set("s-2", box("SERVING"))
	s.await(t, "true s-2+")
	k.set("s-3", box("SERVING"))
	s.await(t, "true s-2+ s-3+")
}
