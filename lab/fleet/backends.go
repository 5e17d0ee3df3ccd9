package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cherryramp/internal/loopbacktest"
	"cherryramp/lab/history"
	"cherryramp/lab/process"
)

// Box is a fake cache node, or the fake store. It keeps the time at which each of its
// copies was filled, and writes that time into the copy's body.
type Box struct {
	Name, Zone, Kind string

	backends *Backends
	ln       net.Listener
	mu       sync.Mutex
	copies   map[string]filled
	conns    map[net.Conn]bool

	Requests     atomic.Int64
	Delay        atomic.Int64 // microseconds added to each response
	FailPercent  atomic.Int64 // percentage of error responses
	ForgetCopies atomic.Bool  // all copies are dropped at the next request
}

// filled is a copy, by the time at which the store served it, on both clocks.
type filled struct {
	mono int64
	unix int64 // ms
}

// Backends are the boxes, the store and the notice board behind the fronts of a run.
type Backends struct {
	Boxes              []*Box
	Store              *Box
	Fills              atomic.Int64
	noticeBoard        *http.Server
	noticeBoardAddress string
	hist               *history.Writer
}

// NewBackends starts the given number of boxes in each zone, a store and a notice board.
func NewBackends(zones []string, boxes int, hist *history.Writer) (*Backends, error) {
	s := &Backends{hist: hist}
	for _, z := range zones {
		for i := range boxes {
			b, err := s.startBox(fmt.Sprintf("box-%s-%d", z, i), z, "box")
			if err != nil {
				return s, err
			}
			s.Boxes = append(s.Boxes, b)
		}
	}
	var err error
	if s.Store, err = s.startBox("store", zones[0], "origin"); err != nil {
		return s, err
	}
	ln, err := loopbacktest.Listen()
	if err != nil {
		return s, err
	}
	s.noticeBoardAddress = ln.Addr().String()
	s.noticeBoard = &http.Server{ReadHeaderTimeout: process.Timeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(100 * time.Millisecond):
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, `{"rev":1,"notices":[]}`)
	})}
	go func() { _ = s.noticeBoard.Serve(ln) }()
	return s, nil
}

func (s *Backends) startBox(name, zone, kind string) (*Box, error) {
	ln, err := loopbacktest.Listen()
	if err != nil {
		return nil, err
	}
	b := &Box{Name: name, Zone: zone, Kind: kind, backends: s, ln: ln, copies: map[string]filled{}, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[c] = true
			b.mu.Unlock()
			go b.serve(c)
		}
	}()
	return b, nil
}

// Close stops all servers.
func (s *Backends) Close() {
	for _, b := range append(s.Boxes, s.Store) {
		if b == nil {
			continue
		}
		_ = b.ln.Close()
		b.mu.Lock()
		for c := range b.conns {
			_ = c.Close()
		}
		b.mu.Unlock()
	}
	if s.noticeBoard != nil {
		_ = s.noticeBoard.Close()
	}
}

// Members returns the list of servers in the notice board's format; addressOf returns the
// address at which a front reaches a box.
func (s *Backends) Members(addressOf func(b *Box) string) string {
	var members []string
	for _, b := range append(s.Boxes, s.Store) {
		members = append(members, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":%q,"cell":0,"phase":"SERVING","size":100,"up_since_ms":0}`,
			b.Name, addressOf(b), b.Zone, b.Kind))
	}
	return strings.Join(members, ",")
}

// Addr returns the address on which a box listens.
func (b *Box) Addr() string { return b.ln.Addr().String() }

// fill gets a new copy from the store, and counts and records the fill.
func (b *Box) fill(object string) filled {
	b.backends.Fills.Add(1)
	f := filled{history.Now(), time.Now().UnixMilli()}
	b.backends.hist.Write(history.Event{At: f.mono, Kind: "fill", Box: b.Name, Object: object})
	return f
}

// serve answers the commands of a connection; delayed responses don't hold up others.
func (b *Box) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	var mu sync.Mutex
	write := func(text string) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = io.WriteString(c, text)
	}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		args := strings.Fields(line)
		switch {
		case len(args) == 2 && args[0] == "health":
			write(args[1] + " yes - 0\r\n\r\n")
		case len(args) == 4 && args[0] == "serve":
			size, err := strconv.Atoi(args[3])
			if err != nil {
				return
			}
			if _, err := r.Discard(size + 2); err != nil {
				return
			}
			fields := map[string]string{}
			for f := range strings.SplitSeq(args[2], ",") {
				name, value, _ := strings.Cut(f, "=")
				fields[name] = value
			}
			b.Requests.Add(1)
			if d := b.Delay.Load(); d > 0 {
				time.AfterFunc(time.Duration(d)*time.Microsecond, func() { write(b.answer(args[1], fields)) })
			} else {
				write(b.answer(args[1], fields))
			}
		}
	}
}

const bodySize = 600

func (b *Box) answer(id string, fields map[string]string) string {
	n := b.Requests.Load()
	if p := b.FailPercent.Load(); p > 0 && n*37%100 < p {
		return id + " error - 0\r\n\r\n"
	}
	object := fields["name"]
	b.mu.Lock()
	if b.ForgetCopies.CompareAndSwap(true, false) {
		clear(b.copies)
	}
	f, ok := b.copies[object]
	b.mu.Unlock()
	why := "warm"
	if age, err := strconv.ParseInt(fields["agelim"], 10, 64); err == nil && age > 0 && time.Now().UnixMilli()-f.unix > age {
		ok = false
	}
	if b.Kind == "origin" {
		f, ok = b.fill(object), true
	}
	if !ok {
		if fields["next"] == "" {
			return id + " nothing - 0\r\n\r\n"
		}
		f, why = b.fill(object), "fill"
		b.mu.Lock()
		b.copies[object] = f
		b.mu.Unlock()
	}
	body := fmt.Sprintf("filled=%d object=%s ", f.mono, object)
	body += strings.Repeat(".", max(0, bodySize-len(body)))
	return fmt.Sprintf("%s ok sum=t%d,t0=%d,why=%s %d\r\n%s\r\n", id, f.mono, f.unix, why, len(body), body)
}
