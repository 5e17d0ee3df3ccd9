// Package flood measures a signed front under a load of forged links. Forged requests,
// each with a different signature, and good ones are sent at fixed rates, on a schedule
// that does not wait for earlier answers. Latency counts from the scheduled time of a
// request, so that it includes the time spent waiting to be sent.
package flood

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Options configure a load.
type Options struct {
	Address     string
	Good        func(i int) string // returns the bytes of the i-th good request
	Forged      func(i int) string
	GoodRate    int // per second
	ForgedRate  int
	Duration    time.Duration
	Connections int // of each kind
	Timeout     time.Duration
}

// Stats holds the results of one kind of requests.
type Stats struct {
	Times  *hdrhistogram.Histogram // us, of requests that were answered
	Count  map[int]int             // by status
	Failed int                     // without a complete answer
	Late   int                     // sent more than a second late, as all connections were busy
}

// Result is the result of a load.
type Result struct {
	Good, Forged Stats
	Elapsed      time.Duration
}

// Run sends the load and returns its result.
func Run(options Options) (*Result, error) {
	result := &Result{}
	var wg sync.WaitGroup
	errs := make(chan error, 2)
	start := time.Now()
	for _, x := range []struct {
		stats *Stats
		text  func(int) string
		rate  int
	}{{&result.Good, options.Good, options.GoodRate}, {&result.Forged, options.Forged, options.ForgedRate}} {
		x.stats.Times = hdrhistogram.New(1, 60_000_000, 3)
		x.stats.Count = map[int]int{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs <- options.send(x.stats, x.text, x.rate, start)
		}()
	}
	wg.Wait()
	result.Elapsed = time.Since(start)
	for range 2 {
		if err := <-errs; err != nil {
			return nil, err
		}
	}
	return result, nil
}

// send sends the requests of one kind. The next due request is sent on the first free
// connection.
func (options *Options) send(stats *Stats, text func(int) string, rate int, start time.Time) error {
	if rate == 0 {
		return nil
	}
	total := int(options.Duration.Seconds() * float64(rate))
	gap := time.Second / time.Duration(rate)
	var next atomic.Int64
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	for range options.Connections {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := client{address: options.Address, timeout: options.Timeout}
			defer c.close()
			for {
				i := int(next.Add(1)) - 1
				if i >= total {
					return
				}
				due := start.Add(time.Duration(i) * gap)
				time.Sleep(time.Until(due))
				late := time.Since(due) > time.Second
				status, err := c.roundTrip(text(i))
				mu.Lock()
				if late {
					stats.Late++
				}
				if err != nil {
					stats.Failed++
				} else {
					stats.Count[status]++
					if err := stats.Times.RecordValue(max(1, time.Since(due).Microseconds())); err != nil && failed == nil {
						failed = fmt.Errorf("flood: %w", err)
					}
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return failed
}

// client is one connection, opened again after it was closed.
type client struct {
	address string
	timeout time.Duration
	conn    net.Conn
	reader  *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *client) roundTrip(text string) (status int, err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.address, c.timeout); err != nil {
			c.conn = nil
			return 0, err
		}
		c.reader = bufio.NewReader(c.conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(c.timeout))
	if _, err = io.WriteString(c.conn, text); err != nil {
		c.close()
		return 0, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		c.close()
		return 0, err
	}
	if response.Close {
		c.close()
	}
	return response.StatusCode, nil
}

// Summary formats the stats in one line.
func (s *Stats) Summary() string {
	return fmt.Sprintf("%v lost %d late %d, p50 %.1f ms, p99 %.1f ms, max %.1f ms", s.Count, s.Failed, s.Late,
		float64(s.Times.ValueAtQuantile(50))/1000, float64(s.Times.ValueAtQuantile(99))/1000, float64(s.Times.Max())/1000)
}
