package harness

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Command is a request that came to a server.
type Command struct {
	Node   *Node
	ID     string
	Fields map[string]string
	Body   []byte
	At     time.Time // of its first byte
	Whole  time.Time // of its last byte
	conn   *nodeConn
}

type nodeConn struct {
	mu sync.Mutex
	c  net.Conn
}

// Answer writes an answer.
func (c *Command) Answer(word, fields string, body []byte) {
	c.conn.mu.Lock()
	defer c.conn.mu.Unlock()
	head := fmt.Sprintf("%s %s %s %d\r\n", c.ID, word, fields, len(body))
	_, _ = c.conn.c.Write(append(append([]byte(head), body...), '\r', '\n'))
}

// Node is a stand-in of a cache node, a parent or the origin.
type Node struct {
	Name, Addr string
	Handle     func(c *Command) // called in a goroutine of its own for each request

	r         *Run
	mu        sync.Mutex
	cancelled map[string]time.Time
}

// NewNode starts a server.
func (r *Run) NewNode(name string, handle func(c *Command)) (*Node, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &Node{Name: name, Addr: l.Addr().String(), Handle: handle, r: r, cancelled: map[string]time.Time{}}
	r.OnEnd(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(c)
		}
	}()
	return n, nil
}

// Member returns the server's entry in the list.
func (n *Node) Member(zone, kind, phase string, size float64) Member {
	return Member{ID: n.Name, HostPort: n.Addr, Locality: zone, Flavor: kind, Phase: phase, Size: size}
}

func (n *Node) serve(conn net.Conn) {
	defer conn.Close()
	r, nc := bufio.NewReaderSize(conn, 64<<10), &nodeConn{c: conn}
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		at := time.Now()
		line, err := r.ReadString('\n')
		if err != nil || !strings.HasSuffix(line, "\r\n") {
			return
		}
		words := strings.Split(strings.TrimSuffix(line, "\r\n"), " ")
		switch {
		case len(words) == 2 && words[0] == "cancel":
			n.mu.Lock()
			n.cancelled[words[1]] = at
			n.mu.Unlock()
		case len(words) == 2 && words[0] == "health":
			(&Command{ID: words[1], conn: nc}).Answer("yes", "-", nil)
		case len(words) == 4 && words[0] == "serve":
			size, err := strconv.Atoi(words[3])
			if err != nil || size < 0 || size > 48_000 {
				return
			}
			body := make([]byte, size+2)
			if _, err := io.ReadFull(r, body); err != nil {
				return
			}
			fields := map[string]string{}
			for _, f := range strings.Split(words[2], ",") {
				name, value, _ := strings.Cut(f, "=")
				fields[name] = value
			}
			go n.Handle(&Command{Node: n, ID: words[1], Fields: fields, Body: body[:size], At: at, Whole: time.Now(), conn: nc})
		default:
			n.r.Log("%s: can't read %q", n.Name, line)
			return
		}
	}
}
