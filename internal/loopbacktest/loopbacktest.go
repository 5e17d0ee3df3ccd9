// Package loopbacktest gives the servers of a laboratory or a test a loopback address
// that is their process's own, and ports that it has not given before. What still
// dials an address whose server has gone thereby reaches nobody, where a port that
// the system picks anew may belong to another process, or another test, by then.
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

// Ports stay below those that systems commonly give to clients.
const firstPort, lastPort = 10_000, 32_000

var (
	mu   sync.Mutex
	last = firstPort - 1
)

// Host is the loopback address of this process.
func Host() string {
	pid := os.Getpid()
	return net.IPv4(127, byte(192+pid>>16&63), byte(pid>>8), byte(pid)).String()
}

// Listen listens at an address that has not been given before.
func Listen() (net.Listener, error) {
	for {
		ln, err := net.Listen("tcp", next())
		if errors.Is(err, syscall.EADDRINUSE) { // all have been given once, or a port is open at every address
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("loopbacktest: %w", err)
		}
		return ln, nil
	}
}

// ListenAt listens at an address; at one of Listen's if it is empty.
func ListenAt(address string) (net.Listener, error) {
	if address == "" {
		return Listen()
	}
	return net.Listen("tcp", address)
}

// Free is an address at which nobody listens; whoever asked may.
func FreeAddress() (string, error) {
	ln, err := Listen()
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

func next() string {
	mu.Lock()
	defer mu.Unlock()
	if last++; last > lastPort {
		last = firstPort
	}
	return net.JoinHostPort(Host(), strconv.Itoa(last))
}
