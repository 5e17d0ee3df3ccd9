package flowcontrol

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

var config = Config{Weights: []int{1, 3}, StreamWindow: 1000, ConnWindow: 4000, MaxStreams: 8, Quantum: 100}

func newMux(t interface{ Fatal(...any) }, cfg Config) *Mux {
	m, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// Two ends that follow the protocol never report a violation, in any order of reads
// and writes: no bytes are lost, and all of them arrive in the end.
func TestBothEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newMux(t, config), newMux(t, config)
		queued, received, held := map[uint32]int{}, map[uint32]int{}, map[uint32]int{}
		grant := func(id uint32, stream, all int) {
			if stream > 0 {
				if err := a.Credit(id, stream); err != nil {
					t.Fatal(err)
				}
			}
			if all > 0 {
				if err := a.Credit(0, all); err != nil {
					t.Fatal(err)
				}
			}
		}
		transfer := func(maxBytes int) bool {
			id, n, ok := a.Next(maxBytes)
			if !ok {
				return false
			}
			if n < 1 || n > maxBytes {
				t.Fatal(n)
			}
			if err := b.Received(id, n); err != nil {
				t.Fatal(err)
			}
			received[id], held[id] = received[id]+n, held[id]+n
			if held[id] > config.StreamWindow {
				t.Fatalf("%d bytes held", held[id])
			}
			return true
		}
		for id := uint32(1); id <= 5; id++ {
			if err := errors.Join(a.Open(id, int(id)%2), b.Open(id, int(id)%2)); err != nil {
				t.Fatal(err)
			}
		}
		read := func(id uint32, n int) {
			n = min(n, held[id])
			held[id] -= n
			s, all := b.Consumed(id, n)
			grant(id, s, all)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			id := uint32(rapid.IntRange(1, 5).Draw(t, "id"))
			n := rapid.IntRange(1, 1500).Draw(t, "bytes")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				a.Queue(id, n)
				queued[id] += n
			case 1:
				transfer(n)
			default:
				read(id, n)
			}
		}
		for moved := true; moved; {
			moved = transfer(700)
			for id := uint32(1); id <= 5; id++ {
				if held[id] > 0 {
					read(id, held[id])
					moved = true
				}
			}
		}
		for id, n := range queued {
			if received[id] != n {
				t.Fatalf("stream %d: %d of %d bytes arrived", id, received[id], n)
			}
		}
	})
}

// A stream that is not read blocks only itself, classes share by their weights, and
// the streams of a class get the same.
func TestShares(t *testing.T) {
	a, b := newMux(t, config), newMux(t, config)
	for id := uint32(1); id <= 5; id++ {
		_, _ = a.Open(id, int(id)%2), b.Open(id, int(id)%2)
		a.Queue(id, 1<<30)
	}
	sent := map[uint32]int{}
	for range 20_000 {
		id, n, ok := a.Next(100)
		if !ok {
			t.Fatal("no stream can send")
		}
		sent[id] += n
		if err := b.Received(id, n); err != nil {
			t.Fatal(err)
		}
		if id == 5 { // never read
			continue
		}
		s, all := b.Consumed(id, n)
		if s > 0 {
			_ = a.Credit(id, s)
		}
		if all > 0 {
			_ = a.Credit(0, all)
		}
	}
	heavy, light := sent[1]+sent[3], sent[2]+sent[4]
	if sent[5] != config.StreamWindow || heavy < 28*light/10 || heavy > 32*light/10 || sent[1] < 9*sent[3]/10 || sent[2] > 11*sent[4]/10 {
		t.Errorf("%v", sent)
	}
}

// Guards against peers that grant too much credit, send without credit, or open too
// many streams or one twice: each violation has its error.
func TestProtocolViolations(t *testing.T) {
	for name, x := range map[string]struct {
		do   func(m *Mux) error
		want error
	}{
		"credit for a full stream":          {func(m *Mux) error { return m.Credit(1, 1) }, ErrCreditExceeded},
		"credit for a full connection":      {func(m *Mux) error { return m.Credit(0, 1) }, ErrCreditExceeded},
		"credit of 0":                       {func(m *Mux) error { return m.Credit(1, 0) }, ErrCreditExceeded},
		"negative credit":                   {func(m *Mux) error { return m.Credit(0, -5) }, ErrCreditExceeded},
		"more than the stream's window":     {func(m *Mux) error { return m.Received(1, 1001) }, ErrNoCredit},
		"more than the connection's window": {func(m *Mux) error { return m.Received(99, 4001) }, ErrNoCredit},
		"stream opened twice":               {func(m *Mux) error { return m.Open(1, 0) }, ErrStreamExists},
		"too many streams": {func(m *Mux) error {
			var err error
			for id := uint32(2); err == nil; id++ {
				err = m.Open(id, 0)
			}
			return err
		}, ErrTooManyStreams},
	} {
		m := newMux(t, config)
		if err := m.Open(1, 0); err != nil {
			t.Fatal(err)
		}
		if err := x.do(m); !errors.Is(err, x.want) {
			t.Errorf("%s: got %v", name, err)
		}
	}
	if _, err := New(Config{}); err == nil {
		t.Error("an empty configuration is accepted")
	}
}

// Guards against a connection that loses credit with each stream: bytes that a stream
// holds when it is closed are granted again to the connection.
func TestCloseReturnsCredit(t *testing.T) {
	m := newMux(t, config)
	given := 0
	for id := uint32(1); id < 100; id++ {
		if err := m.Open(id, 0); err != nil {
			t.Fatal(err)
		}
		if err := m.Received(id, 900); err != nil {
			t.Fatalf("stream %d: %v", id, err)
		}
		_, all := m.Consumed(id, 100)
		given += all + m.Close(id)
	}
	if given < 99*900-config.ConnWindow || m.Len() != 0 {
		t.Errorf("%d of %d bytes of credit granted again", given, 99*900)
	}
}
