package exchange

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cherryramp/internal/decide/topology"
	"cherryramp/internal/link/frame"
)

// Protocol is the ALPN protocol of the exchange's connections. It lets them share the
// fleet's address and keys.
const Protocol = "cherryramp-exchange"

// Subject is the subject of a message; each has a task of its own.
type Subject uint8

// The subjects.
const (
	Tree Subject = iota + 1
	Limits
	Purges
	Verdicts
	Paths
	subjectCount
)

var subjectNames = [...]string{"", "tree", "limits", "purges", "verdicts", "paths"}

func (s Subject) String() string { return subjectNames[min(int(s), len(subjectNames)-1)] }

// Envelope is one message between a role and an owner above it.
type Envelope struct {
	Subject Subject         `cbor:"1,keyasint"`
	Up      bool            `cbor:"2,keyasint,omitempty"` // from the role to the owner
	Role    topology.Role   `cbor:"3,keyasint"`           // the sender of messages that go up, the receiver of others
	Site    string          `cbor:"4,keyasint,omitempty"` // of the owner
	Owner   uint64          `cbor:"5,keyasint"`           // the owner's number
	Seq     uint64          `cbor:"6,keyasint,omitempty"` // increases with each message of a sender
	Body    cbor.RawMessage `cbor:"7,keyasint,omitempty"`
}

// key returns the key under which a newer message replaces one that waits to be sent.
func (e *Envelope) key() string {
	if e.Subject == Purges { // each carries purges that are sent only once
		return ""
	}
	return fmt.Sprint(e.Subject, e.Up, e.Role, e.Site, e.Owner)
}

// Timeouts and bounds of connections.
const (
	handshakeTimeout = 5 * time.Second
	minRedial        = 100 * time.Millisecond
	maxRedial        = 2 * time.Second
	ioTimeout        = 5 * time.Second // for a write, and without any bytes received
	pingInterval     = time.Second
	maxOutbox        = 512
	maxMessage       = 1 << 20 // bytes
	dataStream       = 1
)

var (
	encoder = must(cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode())
	decoder = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: 16, MaxArrayElements: 1 << 15, MaxMapPairs: 1 << 12, UTF8: cbor.UTF8RejectInvalid}.DecMode())
)

func must[T any](x T, err error) T {
	if err != nil {
		panic(err) // the options are constants
	}
	return x
}

func encode(x any) cbor.RawMessage {
	b, err := encoder.Marshal(x)
	if err != nil {
		panic(fmt.Sprintf("exchange: %v", err)) // plain values always encode
	}
	return b
}

// errMessageTooLong ends the connection on which a message exceeds maxMessage.
var errMessageTooLong = errors.New("exchange: message too long")

// reader reads the bytes of a connection's data frames, which carry the messages as a
// CBOR sequence (RFC 8742).
type reader struct {
	conn         net.Conn
	buf          []byte
	data         []byte
	messageBytes int // bytes since the end of the last message
	hello        func(frame.Hello) error
	greeted      bool
}

func (r *reader) Read(p []byte) (int, error) {
	for len(r.data) == 0 {
		f, used, err := frame.Parse(r.buf)
		if err != nil {
			return 0, err
		}
		if used == 0 {
			if len(r.buf) == cap(r.buf) {
				r.buf = slices.Grow(r.buf, 32<<10)
			}
			if err := r.conn.SetReadDeadline(time.Now().Add(ioTimeout)); err != nil {
				return 0, err
			}
			n, err := r.conn.Read(r.buf[len(r.buf):cap(r.buf)])
			r.buf = r.buf[:len(r.buf)+n]
			if err != nil && n == 0 {
				return 0, err
			}
			continue
		}
		switch f.Kind {
		case frame.KindHello:
			var h frame.Hello
			if err := frame.DecodeHead(f, &h); err != nil {
				return 0, err
			}
			if err := r.hello(h); err != nil {
				return 0, err
			}
			r.greeted = true
		case frame.KindData:
			if !r.greeted {
				return 0, errors.New("exchange: data before the hello")
			}
			r.data = slices.Clone(f.Body)
		}
		r.buf = r.buf[:copy(r.buf, r.buf[used:])]
	}
	n := copy(p, r.data)
	r.data = r.data[n:]
	if r.messageBytes += n; r.messageBytes > maxMessage {
		return 0, errMessageTooLong
	}
	return n, nil
}

// conn is a connection to another front, with its outbox. Two goroutines serve it: one
// reads and passes messages to the dispatcher, one writes.
type conn struct {
	net.Conn
	name   string // proven by the peer's certificate
	outbox *mailbox[Envelope]
	dialed bool
}

// peerNames returns the names in the peer's certificate.
func peerNames(c net.Conn) []string {
	if t, ok := c.(*tls.Conn); ok {
		if certs := t.ConnectionState().PeerCertificates; len(certs) > 0 {
			return certs[0].DNSNames
		}
	}
	return nil
}

// serve runs a connection until it ends. It calls onHello once the peer's hello was
// accepted.
func (ex *Exchange) serve(ctx context.Context, c *conn, onHello func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.outbox = newMailbox(ctx, maxOutbox, &ex.counts.Dropped, func(e Envelope) string { return e.key() })
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	defer func() { _ = c.Close() }()
	start := time.Now()
	write := func(kind frame.Kind, streamID uint32, body []byte) error {
		b, err := frame.Append(nil, frame.Frame{Kind: kind, Stream: streamID, Sent: uint64(time.Since(start).Microseconds()), Body: body})
		if err != nil {
			return err
		}
		if err := c.SetWriteDeadline(time.Now().Add(ioTimeout)); err != nil {
			return err
		}
		_, err = c.Write(b)
		return err
	}
	fleet := ex.fleetID()
	hello, err := frame.EncodeHead(frame.Hello{Versions: frame.Versions, Site: ex.cfg.Name, Epoch: fleet, Window: maxMessage, Total: maxMessage, Streams: 1})
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() {
		err := func() error {
			if err := write(frame.KindHello, 0, hello); err != nil {
				return err
			}
			ping := time.NewTicker(pingInterval)
			defer ping.Stop()
			for {
				select {
				case <-ctx.Done():
					return nil
				case <-ping.C:
					if err := write(frame.KindPing, 0, nil); err != nil {
						return err
					}
				case e := <-c.outbox.out:
					b := encode(e)
					ex.counts.Sent.Add(1)
					ex.counts.Bytes.Add(int64(len(b)))
					for len(b) > 0 {
						n := min(len(b), frame.MaxData)
						if err := write(frame.KindData, dataStream, b[:n]); err != nil {
							return err
						}
						b = b[n:]
					}
				}
			}
		}()
		failed <- err
		cancel()
	}()
	r := &reader{conn: c, buf: make([]byte, 0, 32<<10), hello: func(h frame.Hello) error {
		if _, err := frame.NegotiateVersion(h.Versions); err != nil {
			return err
		}
		if !slices.Contains(peerNames(c.Conn), h.Site) || c.name != "" && h.Site != c.name || h.Site == ex.cfg.Name {
			return fmt.Errorf("exchange: the peer calls itself %q, and its certificate is for %q", h.Site, peerNames(c.Conn))
		}
		if h.Epoch != 0 && fleet != 0 && h.Epoch != fleet {
			return fmt.Errorf("exchange: %s belongs to another fleet", h.Site)
		}
		c.name = h.Site
		onHello()
		return nil
	}}
	d := decoder.NewDecoder(r)
	for {
		var e Envelope
		if err := d.Decode(&e); err != nil {
			cancel()
			if writeErr := <-failed; writeErr != nil && !errors.Is(writeErr, net.ErrClosed) {
				return writeErr
			}
			if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		r.messageBytes = 0
		ex.counts.Received.Add(1)
		ex.dispatcher.put(received{c.name, e})
	}
}

// dial connects to a front and serves the connection until it ends.
func (ex *Exchange) dial(ctx context.Context, name, address string) error {
	dialCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	cfg := ex.cfg.Keys.ClientConfig()
	cfg.NextProtos = []string{Protocol}
	dialer := tls.Dialer{Config: cfg}
	netConn, err := dialer.DialContext(dialCtx, "tcp", address)
	if err != nil {
		return err
	}
	tlsConn := netConn.(*tls.Conn)
	if tlsConn.ConnectionState().NegotiatedProtocol != Protocol {
		return errors.Join(fmt.Errorf("exchange: %s at %s does not speak the exchange protocol", name, address), netConn.Close())
	}
	if !slices.Contains(peerNames(netConn), name) {
		return errors.Join(fmt.Errorf("exchange: the certificate at %s is for %q, not %s", address, peerNames(netConn), name), netConn.Close())
	}
	c := &conn{Conn: netConn, name: name, dialed: true}
	defer ex.dispatcher.put(connDown{c})
	return ex.serve(ctx, c, func() { ex.dispatcher.put(connUp{c}) })
}

// Accept takes over a connection opened by another front, after its TLS handshake. It
// calls done when the connection has ended.
func (ex *Exchange) Accept(netConn net.Conn, done func()) {
	go func() {
		defer done()
		c := &conn{Conn: netConn}
		defer ex.dispatcher.put(connDown{c})
		if err := ex.serve(ex.ctx, c, func() { ex.dispatcher.put(connUp{c}) }); err != nil && ex.ctx.Err() == nil {
			ex.log.Info("exchange: a connection ended", "front", c.name, "error", err)
		}
	}()
}
