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

// Timeouts and limits of connections.
const (
	handshakeTimeout = 5 * time.Second
	minRedialDelay   = 100_000    // us before a front is dialled again; doubles up to maxRedialDelay
	maxRedialDelay   = 2_000_000  // us
	idleTimeout      = 60_000_000 // us without a message, after which a connection is closed
	pingInterval     = 500_000    // us
	deadTimeout      = 3_000_000  // us
	streamWindow     = 4 << 20    // bytes in flight to a front
	maxQueuedBytes   = 8 << 20    // bytes that may wait for a front; more is dropped, and sent again by the protocol that needs it
	maxInbound       = 2048       // connections from other fronts
	fleetStream      = 1
	fleetClass       = "fleet"
)

// peer is another front as this one sends to it. What it sends comes on a connection of its
// own, so that each direction can fail alone.
type peer struct {
	fleet       *Fleet
	name        string
	conn        *link.Conn
	up          bool
	dialing     bool
	queue       []byte // until the connection is up
	redialDelay loop.Micros
	nextDial    loop.Micros // when it may be dialled again
	lastUsed    loop.Micros
	lastError   string // why the last connection ended
}

// linkConfig returns the configuration of a link, with this front's hello.
func (fleet *Fleet) linkConfig() link.Config {
	return link.Config{Hello: frame.Hello{Site: fleet.cfg.Name, Epoch: fleet.node.Replica().State().Fleet, Window: streamWindow, Total: 2 * streamWindow, Streams: 4},
		Weights: []int{1}, PingInterval: pingInterval, DeadTimeout: deadTimeout}
}

// send sends a message, or drops it if too much is waiting.
func (fleet *Fleet) send(message consensus.Message) {
	target := fleet.peers[message.To]
	if target == nil {
		target = &peer{fleet: fleet, name: message.To}
		fleet.peers[message.To] = target
	}
	target.lastUsed = fleet.loop.Now()
	fleet.counts.Sent++
	fleet.counts.Bytes += uint64(messageHeader + len(message.Payload))
	if target.up {
		if target.conn.Pending(fleetStream)+len(message.Payload) > maxQueuedBytes {
			fleet.counts.Dropped++
			return
		}
		target.conn.Write(fleetStream, appendMessage(nil, message.Kind, message.Payload))
		return
	}
	if len(target.queue)+len(message.Payload) > maxQueuedBytes/8 {
		fleet.counts.Dropped++
	} else {
		target.queue = appendMessage(target.queue, message.Kind, message.Payload)
	}
	target.dial()
}

// dial connects outside the loop, if there is no connection and the redial delay is over.
func (peer *peer) dial() {
	fleet := peer.fleet
	address := fleet.cfg.Reach[peer.name]
	if address == "" {
		address = fleet.node.AddressOf(peer.name)
	}
	if peer.dialing || peer.conn != nil || fleet.closed || address == "" || fleet.loop.Now() < peer.nextDial {
		return
	}
	peer.dialing = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
		defer cancel()
		d := tls.Dialer{Config: fleet.keys.ClientConfig()}
		conn, err := d.DialContext(ctx, "tcp", address)
		if err == nil && !slices.Contains(provenNames(conn), peer.name) {
			err = errors.Join(fmt.Errorf("fleet: at %s is %q, not %s", address, provenNames(conn), peer.name), conn.Close())
		}
		fleet.loop.Post(func() { peer.onDialed(conn, err) })
	}()
}

// provenNames returns the names in the certificate of a connection's other side.
func provenNames(c net.Conn) []string {
	t, ok := c.(*tls.Conn)
	if !ok {
		return nil
	}
	if certs := t.ConnectionState().PeerCertificates; len(certs) > 0 {
		return certs[0].DNSNames
	}
	return nil
}

func (peer *peer) onDialed(conn net.Conn, err error) {
	peer.dialing = false
	if err != nil || peer.fleet.closed {
		if err == nil {
			_ = conn.Close()
		}
		peer.scheduleRedial(err)
		return
	}
	peer.conn = link.New(peer.fleet.loop, conn, peer.fleet.linkConfig(), peer)
}

// scheduleRedial delays the next dial and drops the queue, which will be outdated by then.
func (peer *peer) scheduleRedial(err error) {
	peer.queue = nil
	peer.redialDelay = min(max(2*peer.redialDelay, minRedialDelay), maxRedialDelay)
	peer.nextDial = peer.fleet.loop.Now() + peer.redialDelay
	if err != nil && peer.lastError == "" {
		peer.lastError = err.Error()
		peer.fleet.log.Info("fleet: a front is not reached", "front", peer.name, "error", err)
	}
}

// Up is part of link.Handler.
func (peer *peer) Up(c *link.Conn, agreed frame.Hello) {
	if own := peer.fleet.node.Replica().State().Fleet; own != 0 && agreed.Epoch != 0 && own != agreed.Epoch {
		peer.fleet.logForeign(peer.name, agreed.Epoch)
		c.Close()
		return
	}
	if err := c.Open(fleetStream, 0, frame.Open{Class: fleetClass}); err != nil {
		c.Close()
		return
	}
	if peer.lastError != "" {
		peer.fleet.log.Info("fleet: a front is reached again", "front", peer.name)
	}
	peer.up, peer.redialDelay, peer.lastError = true, 0, ""
	c.Write(fleetStream, peer.queue)
	peer.queue = nil
}

// Frame is part of link.Handler.
func (peer *peer) Frame(*link.Conn, frame.Frame, link.Micros) {}

// Data is part of link.Handler: nothing is received on an outgoing connection.
func (peer *peer) Data(c *link.Conn, _ uint32, _ []byte) { c.Close() }

// Down is part of link.Handler.
func (peer *peer) Down(_ *link.Conn, err error) {
	peer.conn, peer.up = nil, false
	if errors.Is(err, link.ErrClosed) {
		err = nil
	}
	peer.scheduleRedial(err)
}

// sweep closes connections that have been unused for long.
func (fleet *Fleet) sweep() {
	for name, peer := range fleet.peers {
		if fleet.loop.Now()-peer.lastUsed < idleTimeout {
			continue
		}
		if peer.conn != nil {
			peer.conn.Close()
		} else if !peer.dialing {
			delete(fleet.peers, name)
		}
	}
}

// logForeign logs, at most once a minute, a front of another fleet.
func (fleet *Fleet) logForeign(name string, fleetID uint64) {
	if now := fleet.loop.Now(); now-fleet.foreignLoggedAt > idleTimeout {
		fleet.foreignLoggedAt = now
		fleet.log.Error("fleet: a front belongs to another fleet and is not spoken to", "front", name, "fleet", fmt.Sprintf("%016x", fleetID),
			"own", fmt.Sprintf("%016x", fleet.node.Replica().State().Fleet))
	}
}

// inboundPeer is another front as it sends to this one.
type inboundPeer struct {
	fleet *Fleet
	tls   *tls.Conn
	conn  *link.Conn
	name  string
	input []byte
}

// accept accepts connections, outside the loop.
func (fleet *Fleet) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as running out of descriptors
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if fleet.inboundCount.Add(1) > maxInbound {
			fleet.inboundCount.Add(-1)
			_ = c.Close()
			continue
		}
		go func() { // one goroutine per connection, only for its handshake
			cfg := fleet.keys.ServerConfig()
			if fleet.exchange != nil {
				cfg.NextProtos = []string{exchange.Protocol}
			}
			t := tls.Server(c, cfg)
			ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
			defer cancel()
			if err := t.HandshakeContext(ctx); err != nil {
				fleet.inboundCount.Add(-1)
				_ = c.Close()
				fleet.loop.Post(func() { fleet.logRefused(c.RemoteAddr(), err) })
				return
			}
			if t.ConnectionState().NegotiatedProtocol == exchange.Protocol {
				fleet.exchange.Accept(t, func() { fleet.inboundCount.Add(-1) })
				return
			}
			fleet.loop.Post(func() {
				if fleet.closed {
					fleet.inboundCount.Add(-1)
					_ = t.Close()
					return
				}
				inbound := &inboundPeer{fleet: fleet, tls: t}
				fleet.inbound[inbound] = true
				inbound.conn = link.New(fleet.loop, t, fleet.linkConfig(), inbound)
			})
		}()
	}
}

// logRefused logs, at most every ten seconds, a connection that was refused.
func (fleet *Fleet) logRefused(from net.Addr, err error) {
	if now := fleet.loop.Now(); now-fleet.refusedLoggedAt > idleTimeout/6 {
		fleet.refusedLoggedAt = now
		fleet.log.Warn("fleet: a connection was not let in", "from", from, "error", err)
	}
}

// Up is part of link.Handler.
func (inbound *inboundPeer) Up(c *link.Conn, agreed frame.Hello) {
	if !slices.Contains(provenNames(inbound.tls), agreed.Site) || agreed.Site == inbound.fleet.cfg.Name {
		inbound.fleet.logRefused(inbound.tls.RemoteAddr(), fmt.Errorf("it calls itself %q, and its certificate is for %q", agreed.Site, provenNames(inbound.tls)))
		c.Close()
		return
	}
	if own := inbound.fleet.node.Replica().State().Fleet; own != 0 && agreed.Epoch != 0 && own != agreed.Epoch {
		inbound.fleet.logForeign(agreed.Site, agreed.Epoch)
		c.Close()
		return
	}
	inbound.name = agreed.Site
}

// Frame is part of link.Handler.
func (inbound *inboundPeer) Frame(c *link.Conn, received frame.Frame, _ link.Micros) {
	if received.Kind != frame.KindOpen || received.Stream != fleetStream || c.Accept(fleetStream, 0) != nil {
		c.Close()
	}
}

// Data is part of link.Handler.
func (inbound *inboundPeer) Data(c *link.Conn, stream uint32, data []byte) {
	c.Consumed(stream, len(data))
	if inbound.name == "" || inbound.fleet.closed {
		return
	}
	inbound.input = append(inbound.input, data...)
	used := 0
	for {
		kind, payload, n, err := parseMessage(inbound.input[used:])
		if err == nil && n == 0 {
			break
		}
		if err == nil {
			inbound.fleet.counts.Received++
			inbound.fleet.node.AdvanceClock(inbound.fleet.now())
			if kind == consensus.KindAuditQuestion || kind == consensus.KindAuditAnswer {
				inbound.fleet.handleAuditMessage(inbound.name, kind, slices.Clone(payload))
			} else {
				err = inbound.fleet.node.Receive(inbound.name, kind, slices.Clone(payload))
			}
			used += n
		}
		if err != nil {
			inbound.fleet.log.Warn("fleet: a message can't be read", "from", inbound.name, "error", err)
			c.Close()
			return
		}
	}
	inbound.input = slices.Clone(inbound.input[used:])
	inbound.fleet.processOutput()
}

// Down is part of link.Handler.
func (inbound *inboundPeer) Down(*link.Conn, error) {
	delete(inbound.fleet.inbound, inbound)
	inbound.fleet.inboundCount.Add(-1)
}
