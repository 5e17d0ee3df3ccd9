// Package site is a small site on loopback for the laboratory: stand-ins for a
// cache node, a parent, the origin and the notice board, and the built front
// before them, as it is shipped. The stand-ins speak the published protocols and
// hold every object that is asked for; they break nothing.
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

// settings are those of a site with two classes of reads and one of payouts.
//
//go:embed settings.json
var settings string

// Tag names the copy that nodes answer with.
const CopyTag = "t1"

// Large is the name of an object whose parts are as long as parts can be.
const LargeObject = "large"

// Body is what nodes hold under a name and a part.
func Body(name, part string) []byte {
	size := 14_000
	if name == LargeObject {
		size = 240_000
	}
	return bytes.Repeat([]byte(name+"/"+part+";"), size/(len(name)+len(part)+2))
}

// Node is a stand-in for a cache node.
type Node struct {
	ln    net.Listener
	taken atomic.Int64
	born  time.Time
}

// Taken counts the requests that came.
func (n *Node) Requests() int64 { return n.taken.Load() }

// Addr is where it listens.
func (n *Node) Addr() string { return n.ln.Addr().String() }

func newNode() (*Node, error) {
	ln, err := loopbacktest.Listen()
	if err != nil {
		return nil, err
	}
	n := &Node{ln: ln, born: time.Now()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go n.serve(c)
		}
	}()
	return n, nil
}

// serve answers a connection's commands, one after the other.
func (n *Node) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, w := bufio.NewReader(c), bufio.NewWriter(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 2 && words[0] == "health":
			_, _ = fmt.Fprintf(w, "%s yes - 0\r\n\r\n", words[1])
		case len(words) == 4 && words[0] == "serve":
			size, err := strconv.Atoi(words[3])
			if err != nil {
				return
			}
			if _, err := r.Discard(size + 2); err != nil {
				return
			}
			fields := map[string]string{}
			for f := range strings.SplitSeq(words[2], ",") {
				name, value, _ := strings.Cut(f, "=")
				fields[name] = value
			}
			n.taken.Add(1)
			body, word := Body(fields["name"], fields["piece"]), "ok"
			if fields["cached"] == CopyTag {
				body, word = nil, "current"
			}
			_, _ = fmt.Fprintf(w, "%s %s sum=%s,t0=%d,why=warm %d\r\n", words[1], word, CopyTag, n.born.UnixMilli(), len(body))
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

// Site is a front with what it talks to.
type Site struct {
	Listen, SignedListen string // the front's addresses
	Box, Parent, Origin  *Node
	Operator             string // path of the operator's file

	dir     string
	board   *http.Server
	boardAt string
	front   *process.Process
}

// Options set a site up.
type Options struct {
	Front    string                     // path of the built program
	Operator func(listen string) []byte // the operator's file, for the signed front's address; nil: none
	Log      io.Writer                  // of the front; nil: nowhere
	MemoryMB int                        // the front's limit; 0: 192
	Sockets  int                        // the front's limit; 0: 1024
	Env      []string                   // beside what the site sets
	Core     *int                       // the one that the front runs on; nil: any
}

// Open starts a site's stand-ins, without a front. It must be stopped.
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
	s.board = &http.Server{Handler: http.HandlerFunc(poll), ReadHeaderTimeout: process.Timeout}
	go func() { _ = s.board.Serve(ln) }()
	s.boardAt = ln.Addr().String()
	return s, nil
}

// Dir is a folder that goes with the site.
func (s *Site) Dir() string { return s.dir }

// Config is a front's configuration before the site's stand-ins; 0: the defaults.
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
		name, listen, cmp.Or(memoryMB, 192), cmp.Or(sockets, 1024), s.boardAt, strings.Join(members, ","), settings)
}

// Start starts a site with a front. It must be stopped.
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

// Pid is the front's process.
func (s *Site) Pid() int { return s.front.Pid() }

// Stop ends all that the site started.
func (s *Site) Stop() (err error) {
	if s.front != nil {
		err = s.front.Stop()
	}
	for _, n := range []*Node{s.Box, s.Parent, s.Origin} {
		if n != nil {
			_ = n.ln.Close()
		}
	}
	if s.board != nil {
		_ = s.board.Close()
	}
	if s.dir != "" {
		_ = os.RemoveAll(s.dir)
	}
	return err
}

// poll answers the notice board's long poll: nothing ever changes.
func poll(w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(100 * time.Millisecond):
	case <-r.Context().Done():
	}
	_, _ = io.WriteString(w, `{"rev":1,"notices":[]}`)
}

// Settings is the settings of the site's fronts, as JSON.
func Settings() string { return settings }
