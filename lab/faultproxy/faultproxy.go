// Package faultproxy is a stand-in for the way between two sites: it passes TCP
// connections on, late, no faster than a bandwidth, and with the faults that ways
// have. Bytes keep their order, as TCP has it: what is lost on a real way shows as a
// stall, and so it does here.
package faultproxy

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"cherryramp/internal/loopbacktest"
)

// Direction is a way, as those who connect see it.
type Direction int

// The directions.
const (
	Forward Direction = iota
	Backward
)

// Settings are those of one direction. They may be changed at any time, and hold for
// what comes from then on.
type Settings struct {
	Delay   time.Duration
	Jitter  time.Duration // added, up to that
	Rate    float64       // bytes a second; 0: any
	ResetAt int64         // byte of a connection's direction at which it is reset, counted from 1; 0: none
}

// Line is a stand-in that listens.
type Proxy struct {
	ln net.Listener
	to string

	mu       sync.Mutex
	changed  *sync.Cond
	r        *rand.Rand
	settings [2]Settings
	frozen   [2]bool
	closed   bool
	pairs    map[*pair]bool
	passed   [2]int64
	wg       sync.WaitGroup
}

// pair is a connection with both of its ends.
type pair struct {
	l    *Proxy
	ends [2]net.Conn // of who connected, of whom it is for
	mute [2]bool     // nothing of that direction is passed on any more, unheard
}

// Open listens at an address, or at one of this process's own if it is empty, and passes
// connections on to another.
func Open(listen, to string, seed uint64) (*Proxy, error) {
	ln, err := loopbacktest.ListenAt(listen)
	if err != nil {
		return nil, fmt.Errorf("line: %w", err)
	}
	l := &Proxy{ln: ln, to: to, r: rand.New(rand.NewPCG(seed, 5)), pairs: map[*pair]bool{}}
	l.changed = sync.NewCond(&l.mu)
	l.wg.Add(1)
	go l.accept()
	return l, nil
}

// Addr is where it listens.
func (l *Proxy) Addr() string { return l.ln.Addr().String() }

// Set changes a direction.
func (l *Proxy) Set(d Direction, s Settings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settings[d] = s
	l.changed.Broadcast()
}

// Freeze has a direction stand still, or move again: nothing of it comes meanwhile,
// and all of it after.
func (l *Proxy) Freeze(d Direction, frozen bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen[d] = frozen
	l.changed.Broadcast()
}

// Cut resets all connections.
func (l *Proxy) ResetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.reset()
	}
}

// Half has one end of each connection be gone without the other hearing of it: a
// direction's bytes go nowhere from now on, and neither does its end.
func (l *Proxy) Blackhole(d Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.mute[d] = true
	}
}

// Passed counts the bytes of a direction that came out.
func (l *Proxy) BytesForwarded(d Direction) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.passed[d]
}

// Close ends the line and all connections on it.
func (l *Proxy) Close() error {
	err := l.ln.Close()
	l.mu.Lock()
	l.closed = true
	l.changed.Broadcast()
	l.mu.Unlock()
	l.ResetAll()
	l.wg.Wait()
	return err
}

func (l *Proxy) accept() {
	defer l.wg.Done()
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		far, err := net.DialTimeout("tcp", l.to, 5*time.Second)
		if err != nil { // whoever connects learns of it as of a reset
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			continue
		}
		p := &pair{l: l, ends: [2]net.Conn{c, far}}
		l.mu.Lock()
		if l.closed {
			p.reset()
		}
		l.pairs[p] = true
		l.mu.Unlock()
		var both sync.WaitGroup
		for d := range Direction(2) {
			chunks := make(chan chunk, mostChunks)
			both.Add(2)
			go func() { defer both.Done(); p.read(d, chunks) }()
			go func() { defer both.Done(); p.write(d, chunks) }()
		}
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			both.Wait()
			l.mu.Lock()
			delete(l.pairs, p)
			l.mu.Unlock()
		}()
	}
}

// What is on its way of a direction is bounded, as by a sender's window.
const (
	mostChunks = 256
	chunkSize  = 4 << 10
)

// chunk is bytes on their way, or the end of a direction.
type chunk struct {
	b   []byte
	due time.Time
	end error // io.EOF: an end in order
}

func (p *pair) reset() {
	for _, c := range p.ends {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// read takes bytes in and gives each the moment at which it comes out.
func (p *pair) read(d Direction, chunks chan<- chunk) {
	defer close(chunks)
	l, seen := p.l, int64(0)
	var last, free time.Time
	for {
		b := make([]byte, chunkSize)
		n, err := p.ends[d].Read(b)
		l.mu.Lock()
		s := l.settings[d]
		due := time.Now().Add(s.Delay)
		if s.Jitter > 0 {
			due = due.Add(time.Duration(l.r.Int64N(int64(s.Jitter))))
		}
		l.mu.Unlock()
		if s.Rate > 0 { // it leaves once all before it has
			if now := time.Now(); free.Before(now) {
				free = now
			}
			free = free.Add(time.Duration(float64(n) / s.Rate * float64(time.Second)))
			due = due.Add(time.Until(free))
		}
		if due.Before(last) {
			due = last
		}
		last = due
		cut := s.ResetAt > 0 && seen+int64(n) >= s.ResetAt
		if cut {
			n, err = int(max(0, s.ResetAt-1-seen)), errCut
		}
		seen += int64(n)
		if n > 0 {
			chunks <- chunk{b: b[:n], due: due}
		}
		if err != nil {
			chunks <- chunk{due: due, end: err}
			return
		}
	}
}

var errCut = errors.New("line: cut")

// write has bytes come out when they are due and their direction moves.
func (p *pair) write(d Direction, chunks <-chan chunk) {
	l, out, dead := p.l, p.ends[1-d], false
	for x := range chunks {
		if dead {
			continue
		}
		time.Sleep(time.Until(x.due))
		l.mu.Lock()
		for l.frozen[d] && !l.closed && !p.mute[d] {
			l.changed.Wait()
		}
		mute := p.mute[d]
		if !mute {
			l.passed[d] += int64(len(x.b))
		}
		l.mu.Unlock()
		switch {
		case mute:
			dead = true
		case errors.Is(x.end, io.EOF):
			_ = out.(*net.TCPConn).CloseWrite()
		case x.end != nil: // a reset, or a cut
			p.reset()
			dead = true
		default:
			if _, err := out.Write(x.b); err != nil {
				p.reset()
				dead = true
			}
		}
	}
}
