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
type Pool struct {
	conns    []net.Conn
	patience time.Duration
}

// source is the address of the i-th connection of all herds, spread over 127/8.
func source(i int) *net.TCPAddr {
	return &net.TCPAddr{IP: net.IPv4(127, byte(1+i>>16), byte(i>>8), byte(i))}
}

// Open opens so many connections to an address, the first from the source of a
// number, and has each ask once; text makes the bytes of the i-th request.
func Open(address string, first, n int, patience time.Duration, text func(i int) string) (*Pool, error) {
	h := &Pool{conns: make([]net.Conn, n), patience: patience}
	var wg sync.WaitGroup
	errs := make(chan error, dialers)
	next := make(chan int, dialers)
	for range dialers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range next {
				d := net.Dialer{Timeout: patience, LocalAddr: source(first + i)}
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
func (h *Pool) ask(c net.Conn, text string) (status int, away time.Duration, err error) {
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

// mostBack is how often a client that was refused comes back, after the time that
// it was told.
const mostBack = 3

// Wake has all ask within a span from a moment on, evenly spread over it. Who is
// refused comes back as told, three times at most.
func (h *Pool) Wake(start time.Time, span, patience time.Duration, text func(i int) string) *Stats {
	t := &Stats{Count: map[int]int{}}
	times := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
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
				status, away, err = h.ask(c, text(i+asked<<24))
			}
			now := time.Now()
			took := now.Sub(due)
			mu.Lock()
			defer mu.Unlock()
			t.Requests += asked
			if err != nil {
				t.Lost++
				t.LossReason = err.Error()
				return
			}
			t.Count[status]++
			if status == http.StatusOK && took <= patience {
				t.InTime++
			}
			t.LastAnswer = now
			_ = times.RecordValue(max(1, took.Microseconds())) // within the histogram, by the patience
		}()
	}
	wg.Wait()
	t.Times = times.Export()
	return t
}

// Close ends all connections.
func (h *Pool) Close() {
	for _, c := range h.conns {
		if c != nil {
			_ = c.Close()
		}
	}
}

// Report writes what became of a herd that woke at a moment, in a line.
func (t *Stats) Summary(start time.Time) string {
	h := hdrhistogram.Import(t.Times)
	return fmt.Sprintf("%v in %d requests, %d served within the patience of the first, lost %d %s, p50 %.0f ms, p99 %.0f ms, all answered after %.0f ms",
		t.Count, t.Requests, t.InTime, t.Lost, t.LossReason, float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000,
		float64(t.LastAnswer.Sub(start).Microseconds())/1000)
}
