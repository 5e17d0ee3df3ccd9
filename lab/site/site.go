// Package site runs a small site on loopback for lab measurements: simulated cache
// node, parent, origin and notice board, and the built front in front of them. The
// simulated servers speak the published protocols, hold every requested object and
// inject no faults.
package site

import (
	"bufio"
	"bytes"
	"cmp"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cherryramp/internal/loopbacktest"
	"cherryramp/lab/process"
)

// settings configure a site with two classes of reads and one of payouts.
//
//go:embed settings.json
var settings string

// CopyTag is the tag of the copy that nodes answer with.
const CopyTag = "t1"

// LargeObject is the name of an object whose parts have the maximum size.
const LargeObject = "large"

// Body returns the content that nodes hold for a part of an object.
func Body(name, part string) []byte {
	size := 14_000
	if name == LargeObject {
		size = 240_000
	}
	return bytes.Repeat([]byte(name+"/"+part+";"), size/(len(name)+len(part)+2))
}

// Node is a simulated cache node.
type Node struct {
	listener  net.Listener
	requests  atomic.Int64
	startedAt time.Time
}

// Requests returns the number of requests received.
func (n *Node) Requests() int64 { return n.requests.Load() }

// Addr returns the address that the node listens on.
func (n *Node) Addr() string { return n.listener.Addr().String() }

func newNode() (*Node, error) {
	listener, err := loopbacktest.Listen()
	if err != nil {
		return nil, err
	}
	n := &Node{listener: listener, startedAt: time.Now()}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(c)
		}
	}()
	return n, nil
}

// serve answers the commands of a connection in order.
func (n *Node) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, w := bufio.NewReader(c), bufio.NewWriter(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		command := strings.Fields(line)
		switch {
		case len(command) == 2 && command[0] == "health":
			_, _ = fmt.Fprintf(w, "%s yes - 0\r\n\r\n", command[1])
		case len(command) == 4 && command[0] == "serve":
			size, err := strconv.Atoi(command[3])
			if err != nil {
				return
			}
			if _, err := r.Discard(size + 2); err != nil {
				return
			}
			fields := map[string]string{}
			for f := range strings.SplitSeq(command[2], ",") {
				name, value, _ := strings.Cut(f, "=")
				fields[name] = value
			}
			n.requests.Add(1)
			body, status := Body(fields["name"], fields["piece"]), "ok"
			if fields["cached"] == CopyTag {
				body, status = nil, "current"
			}
			_, _ = fmt.Fprintf(w, "%s %s sum=%s,t0=%d,why=warm %d\r\n", command[1], status, CopyTag, n.startedAt.UnixMilli(), len(body))
			_, _ = w.Write(body)
			_, _ = w.WriteString("\r\n")
		}
		if r.Buffered() == 0 {
			if err := w.Flush(); err != nil {
				return
			}
		}
	}
}

// Site is a front with the servers that it connects to.
type Site struct {
	Listen, SignedListen string // the front's addresses
	Box, Parent, Origin  *Node
	Operator             string // path of the operator file

	dir         string
	boardServer *http.Server
	boardAddr   string
	front       *process.Process
}

// Options configure a site.
type Options struct {
	Front    string                     // path of the front's binary
	Operator func(listen string) []byte // returns the operator file, given the address of the signed front; nil: none
	Log      io.Writer                  // receives the front's log; nil: discarded
	MemoryMB int                        // the front's memory limit; 0: 192
	Sockets  int                        // the front's socket limit; 0: 1024
	Env      []string                   // additional environment of the front
	Core     *int                       // the core that the front is pinned to; nil: any
}

// Open starts the simulated servers of a site without a front. The site must be stopped.
func Open() (s *Site, err error) {
	s = &Site{}
	defer func() {
		if err != nil {
			err = errors.Join(fmt.Errorf("site: %w", err), s.Stop())
		}
	}()
	if s.dir, err = os.MkdirTemp("", "ramplab"); err != nil {
		return s, err
	}
	for _, n := range []**Node{&s.Box, &s.Parent, &s.Origin} {
		if *n, err = newNode(); err != nil {
			return s, err
		}
	}
	ln, err := loopbacktest.Listen()
	if err != nil {
		return s, err
	}
	s.boardServer = &http.Server{Handler: http.HandlerFunc(serveBoard), ReadHeaderTimeout: process.Timeout}
	go func() { _ = s.boardServer.Serve(ln) }()
	s.boardAddr = ln.Addr().String()
	return s, nil
}

// Dir returns a temporary folder that is removed when the site stops.
func (s *Site) Dir() string { return s.dir }

// Config returns a front's configuration for the site's simulated servers. Limits of 0 are
// replaced with the defaults.
func (s *Site) Config(name, listen string, memoryMB, sockets int) string {
	var members []string
	for _, m := range []struct {
		id   string
		n    *Node
		at   string
		kind string
	}{{"s-0", s.Box, "edge-1", "box"}, {"s-parent", s.Parent, "hub", "parent"}, {"s-origin", s.Origin, "hub", "origin"}} {
		members = append(members, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":%q,"cell":0,"phase":"SERVING",`+
			`"size":100,"up_since_ms":0}`, m.id, m.n.Addr(), m.at, m.kind))
	}
	return fmt.Sprintf(`{"name":%q,"listen":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},
		"board":%q,"known":{"rev":1,"notices":[{"rev":1,"pool":{"revision":0,"complete":true,"members":[%s]}}]},"settings":%s}`,
		name, listen, cmp.Or(memoryMB, 192), cmp.Or(sockets, 1024), s.boardAddr, strings.Join(members, ","), settings)
}

// Start starts a site with a front and waits until it serves. The site must be stopped.
func Start(o Options) (s *Site, err error) {
	if s, err = Open(); err != nil {
		return s, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(fmt.Errorf("site: %w", err), s.Stop())
		}
	}()
	if s.Listen, err = loopbacktest.FreeAddress(); err != nil {
		return s, err
	}
	config := s.Config("lab", s.Listen, o.MemoryMB, o.Sockets)
	path := filepath.Join(s.dir, "config.json")
	if err = os.WriteFile(path, []byte(config), 0o600); err != nil {
		return s, err
	}
	env := append([]string{"ROUTER_CONFIG=" + path}, o.Env...)
	if o.Operator != nil {
		if s.SignedListen, err = loopbacktest.FreeAddress(); err != nil {
			return s, err
		}
		s.Operator = filepath.Join(s.dir, "operator.json")
		if err = os.WriteFile(s.Operator, o.Operator(s.SignedListen), 0o600); err != nil {
			return s, err
		}
		env = append(env, "CHERRYRAMP_OPERATOR="+s.Operator)
	}
	if s.front, err = process.Start(process.Options{Path: o.Front, Env: env, Log: o.Log, Core: o.Core}); err != nil {
		return s, err
	}
	return s, s.front.AwaitServing()
}

// Pid returns the process ID of the front.
func (s *Site) Pid() int { return s.front.Pid() }

// Stop stops everything that the site started.
func (s *Site) Stop() (err error) {
	if s.front != nil {
		err = s.front.Stop()
	}
	for _, n := range []*Node{s.Box, s.Parent, s.Origin} {
		if n != nil {
			_ = n.listener.Close()
		}
	}
	if s.boardServer != nil {
		_ = s.boardServer.Close()
	}
	if s.dir != "" {
		_ = os.RemoveAll(s.dir)
	}
	return err
}

// serveBoard answers the notice board's long polls; the board never changes.
func serveBoard(w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(100 * time.Millisecond):
	case <-r.Context().Done():
	}
	_, _ = io.WriteString(w, `{"rev":1,"notices":[]}`)
}

// Settings returns the settings of the site's fronts as JSON.
func Settings() string { return settings }
