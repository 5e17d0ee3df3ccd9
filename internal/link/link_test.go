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

// end is a side: it answers each stream that is opened with so many bytes, and
// counts what comes.
type end struct {
	up      chan frame.Hello
	down    chan error
	got     map[uint32]int
	want    int
	full    chan uint32
	sends   int
	hoards  uint32 // a stream whose bytes it keeps
	mostGot int
}

func newEnd(want, sends int) *end {
	return &end{up: make(chan frame.Hello, 1), down: make(chan error, 2), got: map[uint32]int{}, want: want, full: make(chan uint32, 100), sends: sends}
}

func (e *end) Up(_ *Conn, agreed frame.Hello) { e.up <- agreed }
func (e *end) Down(_ *Conn, err error)        { e.down <- err }
func (e *end) Frame(c *Conn, f frame.Frame, _ Micros) {
	if f.Kind == frame.KindOpen && c.Accept(f.Stream, 0) == nil {
		c.Write(f.Stream, make([]byte, e.sends))
	}
}

func (e *end) Data(c *Conn, stream uint32, b []byte) {
	e.got[stream] += len(b)
	if stream != e.hoards {
		c.Consumed(stream, len(b))
	}
	if e.got[stream] == e.want {
		e.full <- stream
	}
}

func config(site string) Config {
	return Config{Hello: frame.Hello{Site: site, Epoch: 7, Window: 64 << 10, Total: 256 << 10, Streams: 50}, Weights: []int{1, 4}, PingInterval: 50_000, DeadTimeout: 400_000}
}

// joined are two ends on one loop, with a stand-in line between.
type joined struct {
	l        *loop.Loop
	line     *faultproxy.Line
	a, b     *Conn
	from, to *end
}

func join(t testing.TB, from, to *end) *joined { return joinOver(t, from, to, nil) }

// joinOver has both sides speak TLS where there is a configuration.
func joinOver(t testing.TB, from, to *end, secure *tls.Config) *joined {
	t.Helper()
	ln, err := loopbacktest.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	j := &joined{l: loop.New(func() {}), from: from, to: to}
	if j.line, err = faultproxy.Open("", ln.Addr().String(), 1); err != nil {
		t.Fatal(err)
	}
	x, err := net.Dial("tcp", j.line.Addr())
	if err != nil {
		t.Fatal(err)
	}
	y, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if secure != nil {
		x, y = tls.Client(x, secure), tls.Server(y, secure)
	}
	ended := make(chan struct{})
	go func() { j.l.Run(); close(ended) }()
	t.Cleanup(func() {
		j.do(func() { j.a.Close(); j.b.Close() })
		_ = j.line.Close()
		j.l.Post(j.l.Quit)
		<-ended
	})
	j.do(func() { j.a, j.b = New(j.l, x, config("north"), from), New(j.l, y, config("south"), to) })
	return j
}

func (j *joined) do(f func()) {
	done := make(chan struct{})
	j.l.Post(func() { f(); close(done) })
	<-done
}

const patience = 10 * time.Second

func await[T any](t testing.TB, c <-chan T, what string) (x T) {
	t.Helper()
	select {
	case x = <-c:
	case <-time.After(patience):
		t.Fatal("it does not come: ", what)
	}
	return x
}

// Many streams come whole on one connection, and one that nobody reads stops alone.
func TestStreams(t *testing.T) {
	const size, stalled = 300_000, 3
	from, to := newEnd(size, 0), newEnd(0, size)
	from.hoards = stalled
	j := join(t, from, to)
	if h := await(t, from.up, "hello"); h.Site != "south" || h.Epoch != 7 || h.Window != 64<<10 || h.Versions[0] != 1 {
		t.Errorf("%+v", h)
	}
	j.do(func() {
		for id := uint32(1); id <= 20; id++ {
			if err := j.a.Open(id, int(id)%2, frame.Open{ID: uint64(id), Attempt: 1}); err != nil {
				t.Error(err)
			}
		}
	})
	for range 19 {
		if id := await(t, from.full, "a whole stream"); id == stalled {
			t.Error("the stream that nobody reads went on")
		}
	}
	j.do(func() {
		if from.got[stalled] != 64<<10 || j.b.Pending(stalled) != size-64<<10 {
			t.Errorf("of the stream that nobody reads %d bytes came, %d wait", from.got[stalled], j.b.Pending(stalled))
		}
		j.a.CloseStream(stalled)
		if err := j.a.Open(99, 0, frame.Open{ID: 99, Attempt: 1}); err != nil {
			t.Error(err)
		}
	})
	await(t, from.full, "a stream after that")
}

// A connection that stands still in either direction is given up by both sides, as
// each hears nothing or its own pings fail; one that is cut ends at once. Each side is
// told once.
func TestEnds(t *testing.T) {
	for name, x := range map[string]struct {
		do   func(j *joined)
		want error // of the side that connected
	}{
		"the way back stands still": {func(j *joined) { j.line.Freeze(faultproxy.Back, true) }, ErrSilent},
		"both ways do":              {func(j *joined) { j.line.Freeze(faultproxy.Back, true); j.line.Freeze(faultproxy.There, true) }, ErrSilent},
		"the far side is gone":      {func(j *joined) { j.line.Half(faultproxy.Back) }, ErrSilent},
		"it is cut":                 {func(j *joined) { j.line.Cut() }, nil},
		"it is closed":              {func(j *joined) { j.do(j.a.Close) }, ErrClosed},
		"a second hello":            {func(j *joined) { j.do(func() { j.b.Send(frame.KindHello, 0, frame.Hello{}) }) }, ErrFrameOrder},
		"credit without end":        {func(j *joined) { j.do(func() { j.b.Send(frame.KindCredit, 0, frame.Credit{Bytes: 1 << 30}) }) }, flowcontrol.ErrCreditExceeded},
		"bytes without credit": {func(j *joined) {
			j.do(func() {
				for range 17 {
					j.b.put(frame.Frame{Kind: frame.KindData, Stream: 5, Body: make([]byte, frame.MaxData)})
				}
			})
		}, flowcontrol.ErrNoCredit},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			from, to := newEnd(0, 0), newEnd(0, 0)
			from.hoards = 5
			j := join(t, from, to)
			await(t, from.up, "hello")
			await(t, to.up, "hello")
			x.do(j)
			if err := await(t, from.down, "its end"); err == nil || x.want != nil && !errors.Is(err, x.want) {
				t.Errorf("it ended by %v, want %v", err, x.want)
			}
			j.line.Freeze(faultproxy.Back, false)
			j.line.Freeze(faultproxy.There, false)
			await(t, to.down, "the other side's end")
			j.do(func() { j.a.Close(); j.b.Close() })
			if len(from.down) > 0 || len(to.down) > 0 {
				t.Error("an end is told twice")
			}
		})
	}
}

// mutual is a configuration for both sides, with one certificate.
func mutual(t testing.TB) *tls.Config {
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

// BenchmarkRequests is requests of 10 KB a second through a connection, both ends on
// one loop, 40 at a time.
func BenchmarkRequests(b *testing.B) {
	b.Run("plain", func(b *testing.B) { requests(b, nil) })
	b.Run("TLS", func(b *testing.B) { requests(b, mutual(b)) })
}

func requests(b *testing.B, secure *tls.Config) {
	from, to := newEnd(10_000, 0), newEnd(0, 10_000)
	j := joinOver(b, from, to, secure)
	await(b, from.up, "hello")
	await(b, to.up, "hello")
	next := uint32(0)
	start := func() {
		next++
		if err := j.a.Open(next, 0, frame.Open{ID: uint64(next), Attempt: 1, Class: "guide-video", Object: "7f3a9c21e0b4d655"}); err != nil {
			b.Error(err)
		}
	}
	b.ResetTimer()
	j.do(func() {
		for range min(40, b.N) {
			start()
		}
	})
	for range b.N {
		id := await(b, from.full, "an answer")
		j.do(func() {
			delete(from.got, id)
			j.a.CloseStream(id)
			j.b.CloseStream(id)
			if int(next) < b.N {
				start()
			}
		})
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}
