package fleet

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"cherryramp/internal/exchange"
	"cherryramp/internal/fleet/consensus"
	"cherryramp/internal/link"
	"cherryramp/internal/link/frame"
	"cherryramp/internal/loop"
)

// Spans and bounds of connections.
const (
	handshakeMost = 5 * time.Second
	redialLeast   = 100_000    // us before a front is dialled again; doubles to the most
	redialMost    = 2_000_000  // us
	unusedMost    = 60_000_000 // us without a message, after which a connection is given up
	pingEvery     = 500_000    // us
	deadAfter     = 3_000_000  // us
	window        = 4 << 20    // bytes that may be on their way to a front
	mostQueued    = 8 << 20    // bytes that may wait for it; what comes then is dropped, and sent again by who needs it
	mostIncoming  = 2048       // connections from others
	fleetStream   = 1
	fleetClass    = "fleet"
)

// peer is another front, as this one sends to it. What it sends comes on a
// connection of its own, so that each way can fail alone.
type peer struct {
	f       *Fleet
	name    string
	conn    *link.Conn
	up      bool
	dialing bool
	queue   []byte // until the connection is up
	wait    loop.Micros
	next    loop.Micros // when it may be dialled again
	used    loop.Micros
	failed  string // why the last one ended
}

// hello is what this front says first.
func (f *Fleet) hello() link.Config {
	return link.Config{Hello: frame.Hello{Site: f.cfg.Name, Epoch: f.node.Replica().State().Fleet, Window: window, Total: 2 * window, Streams: 4},
		Weights: []int{1}, Ping: pingEvery, Dead: deadAfter}
}

// send sends a message, or drops it where too much waits.
func (f *Fleet) send(s consensus.Message) {
	p := f.peers[s.To]
	if p == nil {
		p = &peer{f: f, name: s.To}
		f.peers[s.To] = p
	}
	p.used = f.loop.Now()
	f.counts.Sent++
	f.counts.Bytes += uint64(wireHead + len(s.Payload))
	if p.up {
		if p.conn.Waits(fleetStream)+len(s.Payload) > mostQueued {
			f.counts.Dropped++
			return
		}
		p.conn.Write(fleetStream, appendMessage(nil, s.Kind, s.Payload))
		return
	}
	if len(p.queue)+len(s.Payload) > mostQueued/8 {
		f.counts.Dropped++
	} else {
		p.queue = appendMessage(p.queue, s.Kind, s.Payload)
	}
	p.dial()
}

// dial connects beside the loop, not more often than it should.
func (p *peer) dial() {
	f := p.f
	address := f.cfg.Reach[p.name]
	if address == "" {
		address = f.node.AddressOf(p.name)
	}
	if p.dialing || p.conn != nil || f.closed || address == "" || f.loop.Now() < p.next {
		return
	}
	p.dialing = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), handshakeMost)
		defer cancel()
		d := tls.Dialer{Config: f.keys.Client()}
		conn, err := d.DialContext(ctx, "tcp", address)
		if err == nil && !slices.Contains(names(conn), p.name) {
			err = errors.Join(fmt.Errorf("fleet: at %s is %q, not %s", address, names(conn), p.name), conn.Close())
		}
		f.loop.Post(func() { p.dialled(conn, err) })
	}()
}

// names are those that a connection's other side has proven.
func names(c net.Conn) []string {
	t, ok := c.(*tls.Conn)
	if !ok {
		return nil
	}
	if certs := t.ConnectionState().PeerCertificates; len(certs) > 0 {
		return certs[0].DNSNames
	}
	return nil
}

func (p *peer) dialled(conn net.Conn, err error) {
	p.dialing = false
	if err != nil || p.f.closed {
		if err == nil {
			_ = conn.Close()
		}
		p.later(err)
		return
	}
	p.conn = link.New(p.f.loop, conn, p.f.hello(), p)
}

// later puts the next dial off, and drops what waits: it is out of date by then.
func (p *peer) later(err error) {
	p.queue = nil
	p.wait = min(max(2*p.wait, redialLeast), redialMost)
	p.next = p.f.loop.Now() + p.wait
	if err != nil && p.failed == "" {
		p.failed = err.Error()
		p.f.log.Info("fleet: a front is not reached", "front", p.name, "error", err)
	}
}

// Up is part of link.Handler.
func (p *peer) Up(c *link.Conn, agreed frame.Hello) {
	if own := p.f.node.Replica().State().Fleet; own != 0 && agreed.Epoch != 0 && own != agreed.Epoch {
		p.f.foreign(p.name, agreed.Epoch)
		c.Close()
		return
	}
	if err := c.Open(fleetStream, 0, frame.Open{Class: fleetClass}); err != nil {
		c.Close()
		return
	}
	if p.failed != "" {
		p.f.log.Info("fleet: a front is reached again", "front", p.name)
	}
	p.up, p.wait, p.failed = true, 0, ""
	c.Write(fleetStream, p.queue)
	p.queue = nil
}

// Frame is part of link.Handler.
func (p *peer) Frame(*link.Conn, frame.Frame, link.Micros) {}

// Data is part of link.Handler: nothing comes back on a connection of ours.
func (p *peer) Data(c *link.Conn, _ uint32, _ []byte) { c.Close() }

// Down is part of link.Handler.
func (p *peer) Down(_ *link.Conn, err error) {
	p.conn, p.up = nil, false
	if errors.Is(err, link.ErrClosed) {
		err = nil
	}
	p.later(err)
}

// sweep gives up connections that nothing goes on.
func (f *Fleet) sweep() {
	for name, p := range f.peers {
		if f.loop.Now()-p.used < unusedMost {
			continue
		}
		if p.conn != nil {
			p.conn.Close()
		} else if !p.dialing {
			delete(f.peers, name)
		}
	}
}

// foreign tells, once a minute at most, of a front of another fleet.
func (f *Fleet) foreign(name string, fleet uint64) {
	if now := f.loop.Now(); now-f.toldForeign > unusedMost {
		f.toldForeign = now
		f.log.Error("fleet: a front belongs to another fleet and is not spoken to", "front", name, "fleet", fmt.Sprintf("%016x", fleet),
			"own", fmt.Sprintf("%016x", f.node.Replica().State().Fleet))
	}
}

// guest is another front, as it sends to this one.
type guest struct {
	f     *Fleet
	tls   *tls.Conn
	conn  *link.Conn
	name  string
	input []byte
}

// accept takes connections in, beside the loop.
func (f *Fleet) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // descriptors have run out, or such
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if f.incoming.Add(1) > mostIncoming {
			f.incoming.Add(-1)
			_ = c.Close()
			continue
		}
		go func() { // one a connection, for its handshake alone
			cfg := f.keys.Server()
			if f.ex != nil {
				cfg.NextProtos = []string{exchange.Protocol}
			}
			t := tls.Server(c, cfg)
			ctx, cancel := context.WithTimeout(context.Background(), handshakeMost)
			defer cancel()
			if err := t.HandshakeContext(ctx); err != nil {
				f.incoming.Add(-1)
				_ = c.Close()
				f.loop.Post(func() { f.refused(c.RemoteAddr(), err) })
				return
			}
			if t.ConnectionState().NegotiatedProtocol == exchange.Protocol {
				f.ex.Accept(t, func() { f.incoming.Add(-1) })
				return
			}
			f.loop.Post(func() {
				if f.closed {
					f.incoming.Add(-1)
					_ = t.Close()
					return
				}
				g := &guest{f: f, tls: t}
				f.guests[g] = true
				g.conn = link.New(f.loop, t, f.hello(), g)
			})
		}()
	}
}

// refused tells, now and then, of who was not let in.
func (f *Fleet) refused(from net.Addr, err error) {
	if now := f.loop.Now(); now-f.toldRefused > unusedMost/6 {
		f.toldRefused = now
		f.log.Warn("fleet: a connection was not let in", "from", from, "error", err)
	}
}

// Up is part of link.Handler.
func (g *guest) Up(c *link.Conn, agreed frame.Hello) {
	if !slices.Contains(names(g.tls), agreed.Site) || agreed.Site == g.f.cfg.Name {
		g.f.refused(g.tls.RemoteAddr(), fmt.Errorf("it calls itself %q, and its certificate is for %q", agreed.Site, names(g.tls)))
		c.Close()
		return
	}
	if own := g.f.node.Replica().State().Fleet; own != 0 && agreed.Epoch != 0 && own != agreed.Epoch {
		g.f.foreign(agreed.Site, agreed.Epoch)
		c.Close()
		return
	}
	g.name = agreed.Site
}

// Frame is part of link.Handler.
func (g *guest) Frame(c *link.Conn, x frame.Frame, _ link.Micros) {
	if x.Kind != frame.KindOpen || x.Stream != fleetStream || c.Accept(fleetStream, 0) != nil {
		c.Close()
	}
}

// Data is part of link.Handler.
func (g *guest) Data(c *link.Conn, stream uint32, b []byte) {
	c.Consumed(stream, len(b))
	if g.name == "" || g.f.closed {
		return
	}
	g.input = append(g.input, b...)
	used := 0
	for {
		kind, payload, n, err := parseMessage(g.input[used:])
		if err == nil && n == 0 {
			break
		}
		if err == nil {
			g.f.counts.Received++
			g.f.node.AdvanceClock(g.f.now())
			if kind == consensus.KindAuditQuestion || kind == consensus.KindAuditAnswer {
				g.f.heardOfAudit(g.name, kind, slices.Clone(payload))
			} else {
				err = g.f.node.Receive(g.name, kind, slices.Clone(payload))
			}
			used += n
		}
		if err != nil {
			g.f.log.Warn("fleet: a message can't be read", "from", g.name, "error", err)
			c.Close()
			return
		}
	}
	g.input = slices.Clone(g.input[used:])
	g.f.pump()
}

// Down is part of link.Handler.
func (g *guest) Down(*link.Conn, error) {
	delete(g.f.guests, g)
	g.f.incoming.Add(-1)
}
