package faultproxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"cherryramp/internal/loopbacktest"
)

// echo answers each byte, and ends when its client does.
func echo(t *testing.T) string {
	t.Helper()
	ln, err := loopbacktest.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return ln.Addr().String()
}

func open(t *testing.T) (*Proxy, *net.TCPConn) {
	t.Helper()
	l, err := Open("", echo(t), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	c, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return l, c.(*net.TCPConn)
}

// ask sends bytes and waits for them to come back.
func ask(t *testing.T, c net.Conn, b []byte) time.Duration {
	t.Helper()
	begin := time.Now()
	go func() { _, _ = c.Write(b) }()
	got := make([]byte, len(b))
	if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, b) {
		t.Fatalf("%d bytes came back otherwise: %v", len(b), err)
	}
	return time.Since(begin)
}

// Bytes come whole and in order, never earlier than the delay and the bandwidth say.
func TestLateAndInOrder(t *testing.T) {
	l, c := open(t)
	l.Set(Forward, Settings{Delay: 40 * time.Millisecond, Jitter: 10 * time.Millisecond})
	l.Set(Backward, Settings{Delay: 20 * time.Millisecond, Rate: 1e6})
	big := make([]byte, 200_000)
	for i := range big {
		big[i] = byte(i * 7 / 3)
	}
	if took := ask(t, c, []byte("x")); took < 60*time.Millisecond {
		t.Errorf("there and back in %v", took)
	}
	if took := ask(t, c, big); took < 250*time.Millisecond {
		t.Errorf("200,000 bytes at a million a second in %v", took)
	}
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("its end came as %d, %v", n, err)
	}
	if l.BytesForwarded(Forward) != 200_001 || l.BytesForwarded(Backward) != 200_001 {
		t.Errorf("%d and %d bytes passed", l.BytesForwarded(Forward), l.BytesForwarded(Backward))
	}
}

// A direction that stands still passes nothing, and all of it when it moves again.
func TestFreeze(t *testing.T) {
	for d := range Direction(2) {
		l, c := open(t)
		ask(t, c, []byte("up"))
		l.Freeze(d, true)
		if _, err := c.Write([]byte("held")); err != nil {
			t.Fatal(err)
		}
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if n, err := c.Read(make([]byte, 4)); n != 0 || err == nil {
			t.Errorf("direction %d: %d bytes came", d, n)
		}
		_ = c.SetReadDeadline(time.Time{})
		l.Freeze(d, false)
		got := make([]byte, 4)
		if _, err := io.ReadFull(c, got); err != nil || string(got) != "held" {
			t.Errorf("direction %d: %q, %v", d, got, err)
		}
	}
}

// A cut comes at its very byte, as a reset.
func TestCutAtAByte(t *testing.T) {
	for _, at := range []int64{1, 2, 4096, 5000} {
		l, c := open(t)
		l.Set(Backward, Settings{ResetAt: at})
		go func() { _, _ = c.Write(make([]byte, 10_000)) }()
		got, err := io.ReadAll(c)
		if err == nil || int64(len(got)) > at-1 || !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("cut at byte %d: %d bytes, %v", at, len(got), err)
		}
		if n := l.BytesForwarded(Backward); n != at-1 {
			t.Errorf("cut at byte %d: %d passed", at, n)
		}
	}
}

// A half-open connection says nothing, not even that it has ended; a cut resets all.
func TestHalfOpenAndCut(t *testing.T) {
	l, c := open(t)
	ask(t, c, []byte("up"))
	l.Blackhole(Forward)
	if _, err := c.Write([]byte("gone")); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	var late net.Error
	if _, err := c.Read(make([]byte, 1)); !errors.As(err, &late) || !late.Timeout() {
		t.Error(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	l.ResetAll()
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Error(err)
	}
}
