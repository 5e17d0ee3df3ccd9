// Package loopbacktest gives servers in tests and simulations a loopback address of their
// own process, with ports that it has not used before. A client that still dials the address
// of a stopped server then reaches nobody. A port picked by the system could by then belong
// to another process or another test.
package loopbacktest

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
)

// Ports stay below the usual ranges of ephemeral ports.
const firstPort, lastPort = 10_000, 32_000

var (
	mu           sync.Mutex
	previousPort = firstPort - 1
)

// Host returns the loopback address of this process, which is derived from its PID.
func Host() string {
	pid := os.Getpid()
	return net.IPv4(127, byte(192+pid>>16&63), byte(pid>>8), byte(pid)).String()
}

// Listen listens at an address that has not been used before.
func Listen() (net.Listener, error) {
	for {
		ln, err := net.Listen("tcp", nextAddress())
		if errors.Is(err, syscall.EADDRINUSE) { // all ports have been used once, or another process listens on the port at every address
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("loopbacktest: %w", err)
		}
		return ln, nil
	}
}

// ListenAt listens at an address, or like Listen if it is empty.
func ListenAt(address string) (net.Listener, error) {
	if address == "" {
		return Listen()
	}
	return net.Listen("tcp", address)
}

// FreeAddress returns an address at which nobody listens and which no other call returns.
func FreeAddress() (string, error) {
	ln, err := Listen()
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

func nextAddress() string {
	mu.Lock()
	defer mu.Unlock()
	if previousPort++; previousPort > lastPort {
		previousPort = firstPort
	}
	return net.JoinHostPort(Host(), strconv.Itoa(previousPort))
}
