// Package idle holds many idle connections open to a front, sends requests on all of
// them within a short time, and reports the results.
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

// maxDials is the number of connections opened concurrently.
const maxDials = 64

// Pool is a set of idle connections, each of which has received one answer.
type Pool struct {
	conns    []net.Conn
	patience time.Duration
}

// sourceAddr returns the source address of the i-th connection of all pools, spread over 127/8.
func sourceAddr(i int) *net.TCPAddr {
	return &net.TCPAddr{IP: net.IPv4(127, byte(1+i>>16), byte(i>>8), byte(i))}
}

// Open opens n connections to an address and sends one request on each. The source
// addresses begin with that of number first; text returns the bytes of the i-th request.
func Open(address string, first, n int, patience time.Duration, text func(i int) string) (*Pool, error) {
	pool := &Pool{conns: make([]net.Conn, n), patience: patience}
	var wg sync.WaitGroup
	errs := make(chan error, maxDials)
	next := make(chan int, maxDials)
	for range maxDials {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range next {
				d := net.Dialer{Timeout: patience, LocalAddr: sourceAddr(first + i)}
				c, err := d.Dial("tcp", address)
				if err == nil {
					pool.conns[i] = c
					_, _, err = pool.roundTrip(c, text(i))
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
		pool.Close()
		return nil, err
	default:
		return pool, nil
	}
}

// roundTrip sends a request and returns the status of the answer and the retry delay
// in it, if any.
func (pool *Pool) roundTrip(c net.Conn, text string) (status int, retryAfter time.Duration, err error) {
	_ = c.SetDeadline(time.Now().Add(pool.patience))
	if _, err := io.WriteString(c, text); err != nil {
		return 0, 0, err
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(c, 4096), nil)
	if err != nil {
		return 0, 0, err
	}
	if ms, err := strconv.Atoi(response.Header.Get("Srv-Wait-Ms")); err == nil {
		retryAfter = time.Duration(ms) * time.Millisecond
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, retryAfter, err
}

// maxRetries is how often a refused request is sent again, each time after the retry
// delay of the answer.
const maxRetries = 3

// Wake sends one request on each connection, evenly spread over a span that begins at
// start. Refused requests are retried after the delay of the answer, at most three times.
func (pool *Pool) Wake(start time.Time, span, patience time.Duration, text func(i int) string) *Stats {
	stats := &Stats{Count: map[int]int{}}
	times := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, c := range pool.conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			due := start.Add(span * time.Duration(i) / time.Duration(len(pool.conns)))
			time.Sleep(time.Until(due))
			status, retryAfter, err := pool.roundTrip(c, text(i))
			attempts := 1
			for ; err == nil && status == http.StatusServiceUnavailable && attempts <= maxRetries; attempts++ {
				time.Sleep(retryAfter)
				status, retryAfter, err = pool.roundTrip(c, text(i+attempts<<24))
			}
			now := time.Now()
			took := now.Sub(due)
			mu.Lock()
			defer mu.Unlock()
			stats.Requests += attempts
			if err != nil {
				stats.Lost++
				stats.LossReason = err.Error()
				return
			}
			stats.Count[status]++
			if status == http.StatusOK && took <= patience {
				stats.InTime++
			}
			stats.LastAnswer = now
			_ = times.RecordValue(max(1, took.Microseconds())) // the patience keeps it within the histogram's range
		}()
	}
	wg.Wait()
	stats.Times = times.Export()
	return stats
}

// Close closes all connections.
func (pool *Pool) Close() {
	for _, c := range pool.conns {
		if c != nil {
			_ = c.Close()
		}
	}
}

// Summary formats the result of a Wake that began at start in one line.
func (stats *Stats) Summary(start time.Time) string {
	h := hdrhistogram.Import(stats.Times)
	return fmt.Sprintf("%v in %d requests, %d served within the patience of the first, lost %d %s, p50 %.0f ms, p99 %.0f ms, all answered after %.0f ms",
		stats.Count, stats.Requests, stats.InTime, stats.Lost, stats.LossReason, float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000,
		float64(stats.LastAnswer.Sub(start).Microseconds())/1000)
}
