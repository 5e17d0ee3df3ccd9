// Package idle holds many connections open to a front, lets them wake at once,
// and tells what became of their requests.
package idle

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// dialers is how many connections come up at a time.
const dialers = 64

// Herd is connections that have each been answered once and are idle.
type Herd struct {
	conns    []net.Conn
	patience time.Duration
}

// Open opens so many connections to an address, from sources spread over
// 127.1.0.0/16, and has each ask once; text makes the bytes of the i-th request.
func Open(address string, n int, patience time.Duration, text func(i int) string) (*Herd, error) {
	h := &Herd{conns: make([]net.Conn, n), patience: patience}
	var wg sync.WaitGroup
	errs := make(chan error, dialers)
	next := make(chan int, dialers)
	for range dialers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range next {
				d := net.Dialer{Timeout: patience, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 1, byte(i>>8), byte(i))}}
				c, err := d.Dial("tcp", address)
				if err == nil {
					h.conns[i] = c
					_, err = h.ask(c, text(i))
				}
				if err != nil {
					select {
					case errs <- fmt.Errorf("idle: connection %d: %w", i, err):
					default:
					}
				}
			}
		}()
	}
	for i := range n {
		next <- i
	}
	close(next)
	wg.Wait()
	select {
	case err := <-errs:
		h.Close()
		return nil, err
	default:
		return h, nil
	}
}

func (h *Herd) ask(c net.Conn, text string) (int, error) {
	_ = c.SetDeadline(time.Now().Add(h.patience))
	if _, err := io.WriteString(c, text); err != nil {
		return 0, err
	}
	a, err := http.ReadResponse(bufio.NewReaderSize(c, 4096), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, a.Body)
	return a.StatusCode, err
}

// Woken is what became of a herd that woke.
type Woken struct {
	Count map[int]int
	Lost  int
	Times *hdrhistogram.Histogram // us, of the whole answers
	Calm  time.Duration           // until the last one
}

// Wake has all ask within a span, evenly spread over it.
func (h *Herd) Wake(span time.Duration, text func(i int) string) *Woken {
	w := &Woken{Count: map[int]int{}, Times: hdrhistogram.New(1, 60_000_000, 3)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now().Add(time.Second) // when all are ready
	for i, c := range h.conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			due := start.Add(span * time.Duration(i) / time.Duration(len(h.conns)))
			time.Sleep(time.Until(due))
			status, err := h.ask(c, text(i))
			took := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				w.Lost++
				return
			}
			w.Count[status]++
			_ = w.Times.RecordValue(max(1, took.Microseconds())) // within the histogram, by the patience
		}()
	}
	wg.Wait()
	w.Calm = time.Since(start)
	return w
}

// Close ends all connections.
func (h *Herd) Close() {
	for _, c := range h.conns {
		if c != nil {
			_ = c.Close()
		}
	}
}

// Report writes what became of a herd in a line.
func (w *Woken) Report() string {
	return fmt.Sprintf("%v lost %d, p50 %.0f ms, p99 %.0f ms, all answered after %.0f ms", w.Count, w.Lost,
		float64(w.Times.ValueAtQuantile(50))/1000, float64(w.Times.ValueAtQuantile(99))/1000, float64(w.Calm.Microseconds())/1000)
}
