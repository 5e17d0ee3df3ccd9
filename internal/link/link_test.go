package link

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"math/big"
	"net"
	"testing"
	"time"

	"cherryramp/internal/decide/flowcontrol"
	"cherryramp/internal/link/frame"
	"cherryramp/internal/loop"
	"cherryramp/internal/loopbacktest"
	"cherryramp/lab/faultproxy"
)

// side is the handler of one side of a connection. It answers each opened stream with
// answerSize bytes and counts the bytes received.
type side struct {
	up          chan frame.Hello
	down        chan error
	received    map[uint32]int
	want        int
	complete    chan uint32
	answerSize  int
	stalled     uint32 // a stream whose bytes it does not consume
	maxReceived int
}

func newSide(want, answerSize int) *side {
	return &side{up: make(chan frame.Hello, 1), down: make(chan error, 2), received: map[uint32]int{}, want: want, complete: make(chan uint32, 100), answerSize: answerSize}
}

func (e *side) Up(_ *Conn, agreed frame.Hello) { e.up <- agreed }
func (e *side) Down(_ *Conn, err error)        { e.down <- err }
func (e *side) Frame(c *Conn, f frame.Frame, _ Micros) {
	if f.Kind == frame.KindOpen && c.Accept(f.Stream, 0) == nil {
		c.Write(f.Stream, make([]byte, e.answerSize))
	}
}

func (e *side) Data(c *Conn, stream uint32, b []byte) {
	e.received[stream] += len(b)
	if stream != e.stalled {
		c.Consumed(stream, len(b))
	}
	if e.received[stream] == e.want {
		e.complete <- stream
	}
}

func config(site string) Config {
	return Config{Hello: frame.Hello{Site: site, Epoch: 7, Window: 64 << 10, Total: 256 << 10, Streams: 50}, Weights: []int{1, 4}, PingInterval: 50_000, DeadTimeout: 400_000}
}

// connectedPair is two connected sides on one loop, with a fault proxy between them.
type connectedPair struct {
	loop           *loop.Loop
	line           *faultproxy.Proxy
	a, b           *Conn
	client, server *side
}

func connect(t testing.TB, client, server *side) *connectedPair {
	return connectTLS(t, client, server, nil)
}

// connectTLS connects both sides, with TLS unless tlsConfig is nil.
func connectTLS(t testing.TB, client, server *side, tlsConfig *tls.Config) *connectedPair {
	t.Helper()
	ln, err := loopbacktest.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	pair := &connectedPair{loop: loop.New(func() {}), client: client, server: server}
	if pair.line, err = faultproxy.Open("", ln.Addr().String(), 1); err != nil {
		t.Fatal(err)
	}
	x, err := net.Dial("tcp", pair.line.Addr())
	if err != nil {
		t.Fatal(err)
	}
	y, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if tlsConfig != nil {
		x, y = tls.Client(x, tlsConfig), tls.Server(y, tlsConfig)
	}
	ended := make(chan struct{})
	go func() { pair.loop.Run(); close(ended) }()
	t.Cleanup(func() {
		pair.onLoop(func() { pair.a.Close(); pair.b.Close() })
		_ = pair.line.Close()
		pair.loop.Post(pair.loop.Quit)
		<-ended
	})
	pair.onLoop(func() {
		pair.a, pair.b = New(pair.loop, x, config("north"), client), New(pair.loop, y, config("south"), server)
	})
	return pair
}

func (j *connectedPair) onLoop(f func()) {
	done := make(chan struct{})
	j.loop.Post(func() { f(); close(done) })
	<-done
}

const waitTimeout = 10 * time.Second

func await[T any](t testing.TB, c <-chan T, what string) (x T) {
	t.Helper()
	select {
	case x = <-c:
	case <-time.After(waitTimeout):
		t.Fatal("timeout waiting for ", what)
	}
	return x
}

// Guards against a stream that nobody reads holding up the other streams of its connection,
// and against bytes sent beyond its window.
func TestStreamsAndStalledReader(t *testing.T) {
	const size, stalled = 300_000, 3
	client, server := newSide(size, 0), newSide(0, size)
	client.stalled = stalled
	pair := connect(t, client, server)
	if h := await(t, client.up, "hello"); h.Site != "south" || h.Epoch != 7 || h.Window != 64<<10 || h.Versions[0] != 1 {
		t.Errorf("%+v", h)
	}
	pair.onLoop(func() {
		for id := uint32(1); id <= 20; id++ {
			if err := pair.a.Open(id, int(id)%2, frame.Open{ID: uint64(id), Attempt: 1}); err != nil {
				t.Error(err)
			}
		}
	})
	for range 19 {
		if id := await(t, client.complete, "a whole stream"); id == stalled {
			t.Error("the stalled stream was completed")
		}
	}
	pair.onLoop(func() {
		if client.received[stalled] != 64<<10 || pair.b.Pending(stalled) != size-64<<10 {
			t.Errorf("stalled stream: %d bytes received, %d pending", client.received[stalled], pair.b.Pending(stalled))
		}
		pair.a.CloseStream(stalled)
		if err := pair.a.Open(99, 0, frame.Open{ID: 99, Attempt: 1}); err != nil {
			t.Error(err)
		}
	})
	await(t, client.complete, "a stream after that")
}

// A connection that stalls in either direction must be closed by both sides, because one
// receives nothing or can't send its pings. A reset connection ends at once. Both sides must
// be notified, once each.
func TestConnectionEnds(t *testing.T) {
	for name, test := range map[string]struct {
		do   func(pair *connectedPair)
		want error // of the side that connected
	}{
		"one direction stalls": {func(pair *connectedPair) { pair.line.Freeze(faultproxy.Backward, true) }, ErrSilent},
		"both directions stall": {func(pair *connectedPair) {
			pair.line.Freeze(faultproxy.Backward, true)
			pair.line.Freeze(faultproxy.Forward, true)
		}, ErrSilent},
		"the peer is gone": {func(pair *connectedPair) { pair.line.Blackhole(faultproxy.Backward) }, ErrSilent},
		"it is reset":      {func(pair *connectedPair) { pair.line.ResetAll() }, nil},
		"it is closed":     {func(pair *connectedPair) { pair.onLoop(pair.a.Close) }, ErrClosed},
		"a second hello":   {func(pair *connectedPair) { pair.onLoop(func() { pair.b.Send(frame.KindHello, 0, frame.Hello{}) }) }, ErrFrameOrder},
		"too much credit": {func(pair *connectedPair) {
			pair.onLoop(func() { pair.b.Send(frame.KindCredit, 0, frame.Credit{Bytes: 1 << 30}) })
		}, flowcontrol.ErrCreditExceeded},
		"data without credit": {func(pair *connectedPair) {
			pair.onLoop(func() {
				for range 17 {
					pair.b.enqueue(frame.Frame{Kind: frame.KindData, Stream: 5, Body: make([]byte, frame.MaxData)})
				}
			})
		}, flowcontrol.ErrNoCredit},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, server := newSide(0, 0), newSide(0, 0)
			client.stalled = 5
			pair := connect(t, client, server)
			await(t, client.up, "hello")
			await(t, server.up, "hello")
			test.do(pair)
			if err := await(t, client.down, "its end"); err == nil || test.want != nil && !errors.Is(err, test.want) {
				t.Errorf("ended with %v, want %v", err, test.want)
			}
			pair.line.Freeze(faultproxy.Backward, false)
			pair.line.Freeze(faultproxy.Forward, false)
			await(t, server.down, "the other side's end")
			pair.onLoop(func() { pair.a.Close(); pair.b.Close() })
			if len(client.down) > 0 || len(server.down) > 0 {
				t.Error("Down was called twice")
			}
		})
	}
}

// mutualTLS returns a TLS configuration for both sides, with one certificate.
func mutualTLS(t testing.TB) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		ClientAuth: tls.RequireAnyClientCert, InsecureSkipVerify: true}
}

// BenchmarkRequests measures requests per second, with answers of 10 KB, over a connection
// with both sides on one loop and 40 concurrent requests.
func BenchmarkRequests(b *testing.B) {
	b.Run("plain", func(b *testing.B) { benchmarkRequests(b, nil) })
	b.Run("TLS", func(b *testing.B) { benchmarkRequests(b, mutualTLS(b)) })
}

func benchmarkRequests(b *testing.B, tlsConfig *tls.Config) {
	client, server := newSide(10_000, 0), newSide(0, 10_000)
	pair := connectTLS(b, client, server, tlsConfig)
	await(b, client.up, "hello")
	await(b, server.up, "hello")
	next := uint32(0)
	start := func() {
		next++
		if err := pair.a.Open(next, 0, frame.Open{ID: uint64(next), Attempt: 1, Class: "guide-video", Object: "7f3a9c21e0b4d655"}); err != nil {
			b.Error(err)
		}
	}
	b.ResetTimer()
	pair.onLoop(func() {
		for range min(40, b.N) {
			start()
		}
	})
	for range b.N {
		id := await(b, client.complete, "an answer")
		pair.onLoop(func() {
			delete(client.received, id)
			pair.a.CloseStream(id)
			pair.b.CloseStream(id)
			if int(next) < b.N {
				start()
			}
		})
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}
