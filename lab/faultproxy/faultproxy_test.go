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

// echo starts a server that echoes all bytes and closes when its client does, and returns its address.
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

func openProxy(t *testing.T) (*Proxy, *net.TCPConn) {
	t.Helper()
	proxy, err := Open("", echo(t), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = proxy.Close() })
	c, err := net.Dial("tcp", proxy.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return proxy, c.(*net.TCPConn)
}

// roundTrip sends bytes, waits for their echo and returns the time it took.
func roundTrip(t *testing.T, c net.Conn, b []byte) time.Duration {
	t.Helper()
	begin := time.Now()
	go func() { _, _ = c.Write(b) }()
	got := make([]byte, len(b))
	if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, b) {
		t.Fatalf("%d bytes were not echoed unchanged: %v", len(b), err)
	}
	return time.Since(begin)
}

// Bytes arrive complete and in order, and no earlier than delay and bandwidth allow.
func TestDelayBandwidthAndOrder(t *testing.T) {
	proxy, c := openProxy(t)
	proxy.Set(Forward, Settings{Delay: 40 * time.Millisecond, Jitter: 10 * time.Millisecond})
	proxy.Set(Backward, Settings{Delay: 20 * time.Millisecond, Rate: 1e6})
	big := make([]byte, 200_000)
	for i := range big {
		big[i] = byte(i * 7 / 3)
	}
	if took := roundTrip(t, c, []byte("x")); took < 60*time.Millisecond {
		t.Errorf("round trip took %v", took)
	}
	if took := roundTrip(t, c, big); took < 250*time.Millisecond {
		t.Errorf("200,000 bytes at 1,000,000 per second took %v", took)
	}
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("end of stream arrived as %d, %v", n, err)
	}
	if proxy.BytesForwarded(Forward) != 200_001 || proxy.BytesForwarded(Backward) != 200_001 {
		t.Errorf("%d and %d bytes forwarded", proxy.BytesForwarded(Forward), proxy.BytesForwarded(Backward))
	}
}

// A frozen direction forwards nothing, and delivers all held bytes after it resumes.
func TestFreeze(t *testing.T) {
	for d := range Direction(2) {
		proxy, c := openProxy(t)
		roundTrip(t, c, []byte("up"))
		proxy.Freeze(d, true)
		if _, err := c.Write([]byte("held")); err != nil {
			t.Fatal(err)
		}
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if n, err := c.Read(make([]byte, 4)); n != 0 || err == nil {
			t.Errorf("direction %d: %d bytes arrived while frozen", d, n)
		}
		_ = c.SetReadDeadline(time.Time{})
		proxy.Freeze(d, false)
		got := make([]byte, 4)
		if _, err := io.ReadFull(c, got); err != nil || string(got) != "held" {
			t.Errorf("direction %d: %q, %v", d, got, err)
		}
	}
}

// A connection is reset at exactly the byte set by ResetAt.
func TestResetAtByte(t *testing.T) {
	for _, at := range []int64{1, 2, 4096, 5000} {
		proxy, c := openProxy(t)
		proxy.Set(Backward, Settings{ResetAt: at})
		go func() { _, _ = c.Write(make([]byte, 10_000)) }()
		got, err := io.ReadAll(c)
		if err == nil || int64(len(got)) > at-1 || !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("reset at byte %d: %d bytes, %v", at, len(got), err)
		}
		if n := proxy.BytesForwarded(Backward); n != at-1 {
			t.Errorf("reset at byte %d: %d forwarded", at, n)
		}
	}
}

// A blackholed direction delivers no bytes and no end of stream; ResetAll resets the connection.
func TestBlackholeAndResetAll(t *testing.T) {
	proxy, c := openProxy(t)
	roundTrip(t, c, []byte("up"))
	proxy.Blackhole(Forward)
	if _, err := c.Write([]byte("gone")); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	var timeout net.Error
	if _, err := c.Read(make([]byte, 1)); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Error(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	proxy.ResetAll()
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Error(err)
	}
}
