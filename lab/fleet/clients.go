package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Clients send requests to the fronts at a constant rate and, like real clients, try
// another front if one does not listen. Every request must get one complete response,
// unless its front was killed or suspended meanwhile.
type Clients struct {
	processes *Processes
	http      *http.Client
	stop      context.CancelFunc
	wg        sync.WaitGroup
	number    atomic.Uint64

	Served, Refused, Failed, Unreachable atomic.Int64
	Crashed                              atomic.Int64 // the front was killed or suspended during the request
	Lost                                 atomic.Int64
	mu                                   sync.Mutex
	firstLost                            string // the first lost request and its error
}

const (
	clientTimeout   = 2 * time.Second
	maxOpenRequests = 256
)

// NewClients starts clients that send rate requests a second.
func NewClients(f *Processes, rate float64) *Clients {
	ctx, stop := context.WithCancel(context.Background())
	c := &Clients{processes: f, stop: stop, http: &http.Client{Timeout: 3 * clientTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 2 * time.Second, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
	slots := make(chan struct{}, maxOpenRequests)
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		t := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			select {
			case slots <- struct{}{}:
			default: // the fleet is too slow: the request is skipped
				continue
			}
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.request()
				<-slots
			}()
		}
	}()
	return c
}

// request sends a request to one front after the other until one listens.
func (c *Clients) request() {
	n := c.number.Add(1)
	for offset := range c.processes.List {
		p := c.processes.List[(int(n)+offset)%len(c.processes.List)]
		killed, pid, stopped := p.Interruptions.Load(), p.Pid(), p.Stopped()
		r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/call/page-asset/o%d", p.Listen, n%50), nil)
		if err != nil {
			panic(err) // can't happen: the URL is well-formed
		}
		r.Header.Set("Req-Id", fmt.Sprintf("%016x", n))
		r.Header.Set("Req-Wait-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
		r.Header.Set("X-Bucket", "17")
		response, err := c.http.Do(r)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		switch {
		case err != nil && (errors.Is(err, syscall.ECONNREFUSED) || isDialError(err)):
			continue
		case err != nil && (stopped || p.Interruptions.Load() != killed || p.Pid() != pid):
			c.Crashed.Add(1)
		case err != nil:
			c.Lost.Add(1)
			c.mu.Lock()
			if c.firstLost == "" {
				c.firstLost = fmt.Sprintf("request %d at %s: %v", n, p.Name, err)
			}
			c.mu.Unlock()
		case response.StatusCode == 200:
			c.Served.Add(1)
		case response.StatusCode == 503 || response.StatusCode == 429:
			c.Refused.Add(1)
		default:
			c.Failed.Add(1)
		}
		return
	}
	c.Unreachable.Add(1)
}

// isDialError reports whether connecting failed, so that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Stop stops the clients and waits for open requests. It describes the first lost
// request; empty: none was lost.
func (c *Clients) Stop() (firstLost string) {
	c.stop()
	c.wg.Wait()
	c.http.CloseIdleConnections()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstLost
}
