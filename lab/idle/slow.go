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

// receiveBuffer is the size in bytes of a slow client's kernel receive buffer, small so
// that the front notices the client's pace.
const receiveBuffer = 4096

// runSlowClients runs slow clients: readers request an object and read it at Pace bytes
// per second, senders send a request at Pace bytes per second.
func (command *Command) runSlowClients() (*SlowStats, error) {
	stats := &SlowStats{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	dialSlots := make(chan struct{}, maxDials)
	errs := make(chan error, 1)
	end := time.Now().Add(command.For)
	for i := range command.Count {
		wg.Add(1)
		dialSlots <- struct{}{}
		go func() {
			defer wg.Done()
			c, err := command.dialSlow(i)
			<-dialSlots
			if err != nil {
				select {
				case errs <- fmt.Errorf("idle: slow client %d: %w", i, err):
				default:
				}
				return
			}
			defer func() { _ = c.Close() }()
			start := time.Now()
			completed, ended := command.runSlowClient(c, i, end)
			mu.Lock()
			defer mu.Unlock()
			switch took := time.Since(start); {
			case completed:
				stats.Completed++
			case !ended:
				stats.Unfinished++
			default:
				if stats.Ended == 0 || took < stats.Fastest {
					stats.Fastest = took
				}
				stats.Ended, stats.Slowest = stats.Ended+1, max(stats.Slowest, took)
			}
		}()
	}
	wg.Wait()
	select {
	case err := <-errs:
		return stats, err
	default:
		return stats, nil
	}
}

func (command *Command) dialSlow(i int) (net.Conn, error) {
	d := net.Dialer{Timeout: command.Patience, LocalAddr: sourceAddr(command.First + i*max(1, command.Stride)), Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		}); e != nil {
			return e
		}
		return err
	}}
	return d.Dial("tcp", command.Address)
}

// runSlowClient runs one client until end. It reports whether the answer was complete,
// and otherwise whether the front closed the connection.
func (command *Command) runSlowClient(c net.Conn, i int, end time.Time) (completed, ended bool) {
	_ = c.SetDeadline(end)
	text := RequestText(command.Class, command.Object, 2, command.First+i, command.Patience)
	step := max(1, command.Pace/4)
	tick := time.Second / 4
	if command.Pace < 4 {
		tick = time.Second / time.Duration(max(1, command.Pace))
	}
	if command.Read {
		if _, err := io.WriteString(c, text); err != nil {
			return false, true
		}
	}
	buf := make([]byte, step)
	retries := 0
	for sent, got := 0, 0; time.Now().Before(end); time.Sleep(tick) {
		var err error
		if command.Read {
			var n int
			n, err = c.Read(buf)
			if got == 0 && bytes.Contains(buf[:n], []byte(" 503 ")) { // read the rest of the refusal and send the request again
				rest := make([]byte, receiveBuffer)
				_ = c.SetReadDeadline(time.Now().Add(tick))
				_, _ = c.Read(rest)
				_ = c.SetDeadline(end)
				time.Sleep(time.Second / 2)
				retries++
				_, err = io.WriteString(c, RequestText(command.Class, command.Object, 2+retries, command.First+i, command.Patience))
				n = 0
			}
			if got += n; got >= 240_000 {
				return true, false
			}
		} else if sent < len(text) {
			var n int
			n, err = io.WriteString(c, text[sent:min(len(text), sent+step)])
			if sent += n; err == nil { // check whether the front closed the connection
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
