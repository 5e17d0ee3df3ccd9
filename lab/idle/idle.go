// Package idle holds many connections open to a front, lets them wake at once,
// and tells what became of their requests.
package idle

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
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
					_, _, err = h.ask(c, text(i))
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

// ask sends a request and gives its answer's status, and the time to stay away
// that a refusal tells.
func (h *Herd) ask(c net.Conn, text string) (status int, away time.Duration, err error) {
	_ = c.SetDeadline(time.Now().Add(h.patience))
	if _, err := io.WriteString(c, text); err != nil {
		return 0, 0, err
	}
	a, err := http.ReadResponse(bufio.NewReaderSize(c, 4096), nil)
	if err != nil {
		return 0, 0, err
	}
	if ms, err := strconv.Atoi(a.Header.Get("Srv-Wait-Ms")); err == nil {
		away = time.Duration(ms) * time.Millisecond
	}
	_, err = io.Copy(io.Discard, a.Body)
	return a.StatusCode, away, err
}

// Woken is what became of a herd that woke.
type Woken struct {
	Count map[int]int // by the last answer's status
	Asked int         // requests, with those that came back as told
	Lost  int
	Times *hdrhistogram.Histogram // us, of the whole answers
	Calm  time.Duration           // until the last one
}

// mostBack is how often a client that was refused comes back, after the time that
// it was told.
const mostBack = 3

// Wake has all ask within a span, evenly spread over it. Who is refused comes
// back as told, three times at most.
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
			status, away, err := h.ask(c, text(i))
			asked := 1
			for ; err == nil && status == http.StatusServiceUnavailable && asked <= mostBack; asked++ {
				time.Sleep(away)
				status, away, err = h.ask(c, text(i+asked*len(h.conns)))
			}
			took := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			w.Asked += asked
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
	return fmt.Sprintf("%v in %d requests, lost %d, p50 %.0f ms, p99 %.0f ms, all answered after %.0f ms", w.Count, w.Asked, w.Lost,
		float64(w.Times.ValueAtQuantile(50))/1000, float64(w.Times.ValueAtQuantile(99))/1000, float64(w.Calm.Microseconds())/1000)
}
