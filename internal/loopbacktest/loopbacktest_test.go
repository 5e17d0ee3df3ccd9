package loopbacktest

import (
	"net"
	"testing"
)

// Guards against an address that is given out twice, or at which somebody listens after its
// server has stopped.
func TestAddressesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		free, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		ln, err := Listen()
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range []string{free, ln.Addr().String()} {
			if host, _, _ := net.SplitHostPort(a); seen[a] || host != Host() || host == "127.0.0.1" {
				t.Fatalf("%s is given again, or not of %s", a, Host())
			}
			seen[a] = true
		}
		if c, err := net.Dial("tcp", free); err == nil {
			_ = c.Close()
			t.Fatalf("somebody listens at %s", free)
		}
		_ = ln.Close()
	}
}

// Guards against clients that dial from the process's own address: tests expect 127.0.0.1.
func TestClientsUseDefaultAddress(t *testing.T) {
	ln, err := Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if host, _, _ := net.SplitHostPort(c.LocalAddr().String()); host != "127.0.0.1" {
		t.Errorf("a client comes from %s", host)
	}
}
