// Package flood measures a signed front under forged links: so many a second of
// them, each with a signature of its own, beside so many good ones, both sent
// when they are due whether or not earlier ones were answered. Times count from
// when a request was due, so that waiting to be sent is not left out.
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

// Load is what is sent.
type Options struct {
	Address     string
	Good        func(i int) string // the bytes of the i-th good request
	Forged      func(i int) string
	GoodRate    int // a second
	ForgedRate  int
	Duration    time.Duration
	Connections int // of each kind
	Timeout     time.Duration
}

// Side is what became of one kind.
type Stats struct {
	Times  *hdrhistogram.Histogram // us, of those served or refused
	Count  map[int]int             // by status
	Failed int                     // without a whole answer
	Late   int                     // sent over a second after they were due, as all connections were busy
}

// Result is what came of a load.
type Result struct {
	Good, Forged Stats
	Elapsed      time.Duration
}

// Run sends a load.
func Run(l Options) (*Result, error) {
	r := &Result{}
	var wg sync.WaitGroup
	errs := make(chan error, 2)
	start := time.Now()
	for _, x := range []struct {
		side *Stats
		make func(int) string
		rate int
	}{{&r.Good, l.Good, l.GoodRate}, {&r.Forged, l.Forged, l.ForgedRate}} {
		x.side.Times = hdrhistogram.New(1, 60_000_000, 3)
		x.side.Count = map[int]int{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs <- l.send(x.side, x.make, x.rate, start)
		}()
	}
	wg.Wait()
	r.Elapsed = time.Since(start)
	for range 2 {
		if err := <-errs; err != nil {
			return nil, err
		}
	}
	return r, nil
}

// send spreads one kind over its connections; the next due request goes on the
// first that is free.
func (l *Options) send(side *Stats, text func(int) string, rate int, start time.Time) error {
	if rate == 0 {
		return nil
	}
	total := int(l.Duration.Seconds() * float64(rate))
	gap := time.Second / time.Duration(rate)
	var next atomic.Int64
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	for range l.Connections {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := client{address: l.Address, patience: l.Timeout}
			defer c.close()
			for {
				i := int(next.Add(1)) - 1
				if i >= total {
					return
				}
				due := start.Add(time.Duration(i) * gap)
				time.Sleep(time.Until(due))
				late := time.Since(due) > time.Second
				status, err := c.ask(text(i))
				mu.Lock()
				if late {
					side.Late++
				}
				if err != nil {
					side.Failed++
				} else {
					side.Count[status]++
					if err := side.Times.RecordValue(max(1, time.Since(due).Microseconds())); err != nil && failed == nil {
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

// client is one connection, made anew when it ends.
type client struct {
	address  string
	patience time.Duration
	conn     net.Conn
	r        *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *client) ask(text string) (status int, err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.address, c.patience); err != nil {
			c.conn = nil
			return 0, err
		}
		c.r = bufio.NewReader(c.conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(c.patience))
	if _, err = io.WriteString(c.conn, text); err != nil {
		c.close()
		return 0, err
	}
	a, err := http.ReadResponse(c.r, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, a.Body)
	}
	if err != nil {
		c.close()
		return 0, err
	}
	if a.Close {
		c.close()
	}
	return a.StatusCode, nil
}

// Report writes a side in a line.
func (s *Stats) Summary() string {
	return fmt.Sprintf("%v lost %d late %d, p50 %.1f ms, p99 %.1f ms, max %.1f ms", s.Count, s.Failed, s.Late,
		float64(s.Times.ValueAtQuantile(50))/1000, float64(s.Times.ValueAtQuantile(99))/1000, float64(s.Times.Max())/1000)
}
