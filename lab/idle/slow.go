package idle

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// smallWindow is what a slow reader's kernel takes without it, in bytes, so that
// its pace is the front's to see.
const smallWindow = 4096

// drip holds slow clients: readers ask for an object and read so many bytes a
// second of it, senders send so many bytes a second of a request.
func (o *Command) drip() (*SlowStats, error) {
	s := &SlowStats{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	room := make(chan struct{}, dialers)
	errs := make(chan error, 1)
	end := time.Now().Add(o.For)
	for i := range o.Count {
		wg.Add(1)
		room <- struct{}{}
		go func() {
			defer wg.Done()
			c, err := o.slowConn(i)
			<-room
			if err != nil {
				select {
				case errs <- fmt.Errorf("idle: slow client %d: %w", i, err):
				default:
				}
				return
			}
			defer func() { _ = c.Close() }()
			start := time.Now()
			whole, ended := o.crawl(c, i, end)
			mu.Lock()
			defer mu.Unlock()
			switch took := time.Since(start); {
			case whole:
				s.Completed++
			case !ended:
				s.Unfinished++
			default:
				if s.Ended == 0 || took < s.Fastest {
					s.Fastest = took
				}
				s.Ended, s.Slowest = s.Ended+1, max(s.Slowest, took)
			}
		}()
	}
	wg.Wait()
	select {
	case err := <-errs:
		return s, err
	default:
		return s, nil
	}
}

func (o *Command) slowConn(i int) (net.Conn, error) {
	d := net.Dialer{Timeout: o.Patience, LocalAddr: source(o.First + i*max(1, o.Stride)), Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallWindow)
		}); e != nil {
			return e
		}
		return err
	}}
	return d.Dial("tcp", o.Address)
}

// crawl tells whether an answer came whole, or else whether the front ended it.
func (o *Command) crawl(c net.Conn, i int, end time.Time) (whole, ended bool) {
	_ = c.SetDeadline(end)
	text := RequestText(o.Class, o.Object, 2, o.First+i, o.Patience)
	step := max(1, o.Pace/4)
	tick := time.Second / 4
	if o.Pace < 4 {
		tick = time.Second / time.Duration(max(1, o.Pace))
	}
	if o.Read {
		if _, err := io.WriteString(c, text); err != nil {
			return false, true
		}
	}
	buf := make([]byte, step)
	again := 0
	for sent, got := 0, 0; time.Now().Before(end); time.Sleep(tick) {
		var err error
		if o.Read {
			var n int
			n, err = c.Read(buf)
			if got == 0 && bytes.Contains(buf[:n], []byte(" 503 ")) { // read what is left of it, and ask again
				rest := make([]byte, smallWindow)
				_ = c.SetReadDeadline(time.Now().Add(tick))
				_, _ = c.Read(rest)
				_ = c.SetDeadline(end)
				time.Sleep(time.Second / 2)
				again++
				_, err = io.WriteString(c, RequestText(o.Class, o.Object, 2+again, o.First+i, o.Patience))
				n = 0
			}
			if got += n; got >= 240_000 {
				return true, false
			}
		} else if sent < len(text) {
			var n int
			n, err = io.WriteString(c, text[sent:min(len(text), sent+step)])
			if sent += n; err == nil { // has it been ended?
				_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
				if _, err = c.Read(buf); err != nil && isTimeout(err) {
					err = nil
				} else if err == nil {
					return false, true // 408
				}
			}
		} else {
			_, err = c.Read(buf)
			return err == nil, err != nil
		}
		if err != nil && !isTimeout(err) {
			return false, true
		}
	}
	return false, false
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}
