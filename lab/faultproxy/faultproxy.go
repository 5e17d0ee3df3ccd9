// Package faultproxy is a TCP proxy that simulates the network between two sites, with
// a delay, a limited bandwidth and network faults. Bytes keep their order, as in TCP:
// packet loss on a real network shows as a stall, and so it does here.
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

// Direction is a direction of traffic, as seen by the connecting client.
type Direction int

// Directions of traffic: Forward is from client to server, Backward from server to client.
const (
	Forward Direction = iota
	Backward
)

// Settings configure one direction. They may be changed at any time and apply to the
// bytes that arrive from then on.
type Settings struct {
	Delay   time.Duration
	Jitter  time.Duration // upper bound of a random additional delay
	Rate    float64       // bytes per second; 0: unlimited
	ResetAt int64         // byte of the direction, counted from 1, at which a connection is reset; 0: none
}

// Proxy forwards connections to one target.
type Proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	changed     *sync.Cond
	rng         *rand.Rand
	settings    [2]Settings
	frozen      [2]bool
	closed      bool
	connections map[*connection]bool
	forwarded   [2]int64
	wg          sync.WaitGroup
}

// connection is a proxied connection with both of its sockets.
type connection struct {
	proxy      *Proxy
	ends       [2]net.Conn // the client's and the server's
	blackholed [2]bool     // the direction's bytes are dropped silently
}

// Open listens at an address, or at one of this process's own if it is empty, and forwards
// connections to target. The seed determines the jitter.
func Open(listen, target string, seed uint64) (*Proxy, error) {
	ln, err := loopbacktest.ListenAt(listen)
	if err != nil {
		return nil, fmt.Errorf("faultproxy: %w", err)
	}
	proxy := &Proxy{listener: ln, target: target, rng: rand.New(rand.NewPCG(seed, 5)), connections: map[*connection]bool{}}
	proxy.changed = sync.NewCond(&proxy.mu)
	proxy.wg.Add(1)
	go proxy.accept()
	return proxy, nil
}

// Addr returns the address that the proxy listens on.
func (proxy *Proxy) Addr() string { return proxy.listener.Addr().String() }

// Set changes the settings of a direction.
func (proxy *Proxy) Set(d Direction, s Settings) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.settings[d] = s
	proxy.changed.Broadcast()
}

// Freeze stalls a direction or resumes it. Bytes that arrive while it is stalled are
// delivered after it resumes.
func (proxy *Proxy) Freeze(d Direction, frozen bool) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.frozen[d] = frozen
	proxy.changed.Broadcast()
}

// ResetAll resets all connections.
func (proxy *Proxy) ResetAll() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for conn := range proxy.connections {
		conn.reset()
	}
}

// Blackhole makes the present connections half-open: from now on the bytes of a
// direction, and its end of stream, are dropped silently.
func (proxy *Proxy) Blackhole(d Direction) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for conn := range proxy.connections {
		conn.blackholed[d] = true
	}
}

// BytesForwarded returns the number of bytes forwarded in a direction.
func (proxy *Proxy) BytesForwarded(d Direction) int64 {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.forwarded[d]
}

// Close stops the proxy and resets all connections.
func (proxy *Proxy) Close() error {
	err := proxy.listener.Close()
	proxy.mu.Lock()
	proxy.closed = true
	proxy.changed.Broadcast()
	proxy.mu.Unlock()
	proxy.ResetAll()
	proxy.wg.Wait()
	return err
}

func (proxy *Proxy) accept() {
	defer proxy.wg.Done()
	for {
		client, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.DialTimeout("tcp", proxy.target, 5*time.Second)
		if err != nil { // the client sees the failed dial as a reset
			_ = client.(*net.TCPConn).SetLinger(0)
			_ = client.Close()
			continue
		}
		conn := &connection{proxy: proxy, ends: [2]net.Conn{client, server}}
		proxy.mu.Lock()
		if proxy.closed {
			conn.reset()
		}
		proxy.connections[conn] = true
		proxy.mu.Unlock()
		var copies sync.WaitGroup
		for d := range Direction(2) {
			chunks := make(chan chunk, maxChunks)
			copies.Add(2)
			go func() { defer copies.Done(); conn.read(d, chunks) }()
			go func() { defer copies.Done(); conn.write(d, chunks) }()
		}
		proxy.wg.Add(1)
		go func() {
			defer proxy.wg.Done()
			copies.Wait()
			proxy.mu.Lock()
			delete(proxy.connections, conn)
			proxy.mu.Unlock()
		}()
	}
}

// Bounds of the bytes in flight of a direction, like a sender's window.
const (
	maxChunks = 256
	chunkSize = 4 << 10
)

// chunk is a block of bytes in flight, or the end of a direction.
type chunk struct {
	data []byte
	due  time.Time
	err  error // io.EOF: orderly end of stream
}

func (conn *connection) reset() {
	for _, c := range conn.ends {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// read receives bytes and assigns the time at which they are forwarded.
func (conn *connection) read(d Direction, chunks chan<- chunk) {
	defer close(chunks)
	proxy, received := conn.proxy, int64(0)
	var lastDue, linkFree time.Time
	for {
		b := make([]byte, chunkSize)
		n, err := conn.ends[d].Read(b)
		proxy.mu.Lock()
		settings := proxy.settings[d]
		due := time.Now().Add(settings.Delay)
		if settings.Jitter > 0 {
			due = due.Add(time.Duration(proxy.rng.Int64N(int64(settings.Jitter))))
		}
		proxy.mu.Unlock()
		if settings.Rate > 0 { // sent once all earlier bytes have been sent
			if now := time.Now(); linkFree.Before(now) {
				linkFree = now
			}
			linkFree = linkFree.Add(time.Duration(float64(n) / settings.Rate * float64(time.Second)))
			due = due.Add(time.Until(linkFree))
		}
		if due.Before(lastDue) {
			due = lastDue
		}
		lastDue = due
		reset := settings.ResetAt > 0 && received+int64(n) >= settings.ResetAt
		if reset {
			n, err = int(max(0, settings.ResetAt-1-received)), errReset
		}
		received += int64(n)
		if n > 0 {
			chunks <- chunk{data: b[:n], due: due}
		}
		if err != nil {
			chunks <- chunk{due: due, err: err}
			return
		}
	}
}

var errReset = errors.New("faultproxy: connection reset at the set byte")

// write forwards bytes when they are due and their direction is not frozen.
func (conn *connection) write(d Direction, chunks <-chan chunk) {
	proxy, out, discard := conn.proxy, conn.ends[1-d], false
	for next := range chunks {
		if discard {
			continue
		}
		time.Sleep(time.Until(next.due))
		proxy.mu.Lock()
		for proxy.frozen[d] && !proxy.closed && !conn.blackholed[d] {
			proxy.changed.Wait()
		}
		blackholed := conn.blackholed[d]
		if !blackholed {
			proxy.forwarded[d] += int64(len(next.data))
		}
		proxy.mu.Unlock()
		switch {
		case blackholed:
			discard = true
		case errors.Is(next.err, io.EOF):
			_ = out.(*net.TCPConn).CloseWrite()
		case next.err != nil: // a reset by the peer or at ResetAt
			conn.reset()
			discard = true
		default:
			if _, err := out.Write(next.data); err != nil {
				conn.reset()
				discard = true
			}
		}
	}
}
