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

// Box is a stand-in for a cache node that holds copies, or for the store. It knows when
// each of its copies was filled, and says so in the copy's bytes.
type Box struct {
	Name, Zone, Kind string

	s      *Backends
	ln     net.Listener
	mu     sync.Mutex
	copies map[string]filled
	conns  map[net.Conn]bool

	Requests     atomic.Int64
	Delay        atomic.Int64 // us added to each answer
	FailPercent  atomic.Int64 // percent of answers that are errors
	ForgetCopies atomic.Bool  // it forgets what it holds at the next request
}

// filled is a copy: when the store gave it out, by both clocks.
type filled struct {
	mono int64
	unix int64 // ms
}

// Stand is the boxes and the store before which the fronts of a day stand.
type Backends struct {
	Boxes []*Box
	Store *Box
	Fills atomic.Int64
	board *http.Server
	at    string
	hist  *history.Writer
}

// NewStand starts so many boxes in each of the zones, and a store.
func NewBackends(zones []string, boxes int, hist *history.Writer) (*Backends, error) {
	s := &Backends{hist: hist}
	for _, z := range zones {
		for i := range boxes {
			b, err := s.box(fmt.Sprintf("box-%s-%d", z, i), z, "box")
			if err != nil {
				return s, err
			}
			s.Boxes = append(s.Boxes, b)
		}
	}
	var err error
	if s.Store, err = s.box("store", zones[0], "origin"); err != nil {
		return s, err
	}
	ln, err := loopbacktest.Listen()
	if err != nil {
		return s, err
	}
	s.at = ln.Addr().String()
	s.board = &http.Server{ReadHeaderTimeout: process.Timeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(100 * time.Millisecond):
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, `{"rev":1,"notices":[]}`)
	})}
	go func() { _ = s.board.Serve(ln) }()
	return s, nil
}

func (s *Backends) box(name, zone, kind string) (*Box, error) {
	ln, err := loopbacktest.Listen()
	if err != nil {
		return nil, err
	}
	b := &Box{Name: name, Zone: zone, Kind: kind, s: s, ln: ln, copies: map[string]filled{}, conns: map[net.Conn]bool{}}
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

// Close ends all.
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
	if s.board != nil {
		_ = s.board.Close()
	}
}

// Members is the list of servers, as the notice board has it. Reach gives the address at
// which a front reaches a box.
func (s *Backends) Members(reach func(b *Box) string) string {
	var list []string
	for _, b := range append(s.Boxes, s.Store) {
		list = append(list, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":%q,"cell":0,"phase":"SERVING","size":100,"up_since_ms":0}`,
			b.Name, reach(b), b.Zone, b.Kind))
	}
	return strings.Join(list, ",")
}

// Addr is where a box listens.
func (b *Box) Addr() string { return b.ln.Addr().String() }

// fill is a copy from the store, which counts it.
func (b *Box) fill(object string) filled {
	b.s.Fills.Add(1)
	f := filled{history.Now(), time.Now().UnixMilli()}
	b.s.hist.Write(history.Event{At: f.mono, Kind: "fill", Box: b.Name, Object: object})
	return f
}

// serve answers a connection's commands, each beside the others.
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
		words := strings.Fields(line)
		switch {
		case len(words) == 2 && words[0] == "health":
			write(words[1] + " yes - 0\r\n\r\n")
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
			b.Requests.Add(1)
			if d := b.Delay.Load(); d > 0 {
				time.AfterFunc(time.Duration(d)*time.Microsecond, func() { write(b.answer(words[1], fields)) })
			} else {
				write(b.answer(words[1], fields))
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
