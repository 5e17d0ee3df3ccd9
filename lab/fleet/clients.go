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

// Clients ask fronts at a steady rate, and go to another front where one does not
// listen, as those before a fleet do. Every request must get one whole answer,
// unless the front that had it was killed or stopped meanwhile.
type Clients struct {
	f      *Processes
	http   *http.Client
	stop   context.CancelFunc
	wg     sync.WaitGroup
	number atomic.Uint64

	Served, Refused, Failed, Unreachable atomic.Int64
	Crashed                              atomic.Int64 // the front was killed or stopped under them
	Lost                                 atomic.Int64
	mu                                   sync.Mutex
	first                                string // what became of the first that was lost
}

const (
	clientWait = 2 * time.Second
	clientOpen = 256
)

// NewClients begins to ask.
func NewClients(f *Processes, rate float64) *Clients {
	ctx, stop := context.WithCancel(context.Background())
	c := &Clients{f: f, stop: stop, http: &http.Client{Timeout: 3 * clientWait,
		Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 2 * time.Second, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
	places := make(chan struct{}, clientOpen)
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
			case places <- struct{}{}:
			default: // all places are taken: the fleet is that slow
				continue
			}
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.ask()
				<-places
			}()
		}
	}()
	return c
}

// ask asks one front after another until one listens.
func (c *Clients) ask() {
	n := c.number.Add(1)
	for k := range c.f.List {
		p := c.f.List[(int(n)+k)%len(c.f.List)]
		killed, pid, stopped := p.Interruptions.Load(), p.Pid(), p.Stopped()
		r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/call/page-asset/o%d", p.Listen, n%50), nil)
		if err != nil {
			panic(err) // the address is the laboratory's own
		}
		r.Header.Set("Req-Id", fmt.Sprintf("%016x", n))
		r.Header.Set("Req-Wait-Ms", fmt.Sprint(clientWait.Milliseconds()))
		r.Header.Set("X-Bucket", "17")
		answer, err := c.http.Do(r)
		if err == nil {
			_, err = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
		}
		switch {
		case err != nil && (errors.Is(err, syscall.ECONNREFUSED) || isDial(err)):
			continue
		case err != nil && (stopped || p.Interruptions.Load() != killed || p.Pid() != pid):
			c.Crashed.Add(1)
		case err != nil:
			c.Lost.Add(1)
			c.mu.Lock()
			if c.first == "" {
				c.first = fmt.Sprintf("request %d at %s: %v", n, p.Name, err)
			}
			c.mu.Unlock()
		case answer.StatusCode == 200:
			c.Served.Add(1)
		case answer.StatusCode == 503 || answer.StatusCode == 429:
			c.Refused.Add(1)
		default:
			c.Failed.Add(1)
		}
		return
	}
	c.Unreachable.Add(1)
}

// isDial tells whether a connection did not come up: nothing was sent.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Stop ends asking, and waits for what is open. It tells what became of the first
// request that was lost, if any.
func (c *Clients) Stop() (firstLost string) {
	c.stop()
	c.wg.Wait()
	c.http.CloseIdleConnections()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.first
}
