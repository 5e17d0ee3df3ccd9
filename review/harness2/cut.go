package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["answers-cut"] = answersCut }

// answersCut: clients rest on connections of their own, wake at once, ask for the largest objects, and read 1 MB a
// second each. With TROUBLE=0 they wake one after another.
func answersCut(rec *record, dir string, trouble bool) (broken []string) {
	s := newServers(rec, 4)
	s.size = 240_000
	cleanUps = append(cleanUps, s.close)
	f := newFront(rec, dir, "n1", "127.0.0.2", s, map[string]any{"grades.0.goal-time-us": 4000000}, func(*front) map[string]any { return map[string]any{"clients": map[string]any{}} })
	text, err := os.ReadFile(dir + "/n1/config.json")
	if err != nil {
		cannotRun("%v", err)
	}
	f.write("config.json", strings.Replace(strings.Replace(string(text), `"memory_mb":96`, `"memory_mb":48`, 1), `"sockets":512`, `"sockets":256`, 1))
	f.start()
	cleanUps = append(cleanUps, f.kill)
	await("the front to be ready", 10*time.Second, func() bool { return f.call("PING", nil) == nil && f.ping() })
	const count = 80
	var conns []net.Conn
	for range count {
		c, err := net.Dial("tcp", f.listen)
		if err != nil {
			cannotRun("%v", err)
		}
		conns = append(conns, c)
	}
	time.Sleep(200 * time.Millisecond)
	var mu sync.Mutex
	var wg sync.WaitGroup
	refused, served, none := 0, 0, 0
	for i, c := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if !trouble {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			}
			id := newID()
			_ = c.SetDeadline(time.Now().Add(6 * time.Second))
			rec.line("client  %s GET guide-video/large%d, waits 5000 ms", id, i)
			fmt.Fprintf(c, "GET /call/guide-video/large%d?seg=0 HTTP/1.1\r\nHost: service.internal\r\nReq-Id: %s\r\nReq-Wait-Ms: 5000\r\nX-Bucket: 17\r\n\r\n", i, id)
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			got := 0
			if err == nil {
				part := make([]byte, 20_000)
				for err == nil {
					var n int
					n, err = io.ReadFull(r.Body, part)
					got += n
					time.Sleep(time.Duration(n) * time.Microsecond)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r == nil:
				none++
				rec.line("client  %s has no answer: %v", id, err)
			case r.StatusCode == 503:
				refused++
				rec.line("client  %s is refused", id)
			case r.StatusCode == 200 && int64(got) == r.ContentLength:
				served++
				rec.line("client  %s is served whole", id)
			default:
				rec.line("client  %s: %d, %d of %d bytes: %v", id, r.StatusCode, got, r.ContentLength, err)
				broken = append(broken, fmt.Sprintf("request %s has %d of %d bytes: %v", id, got, r.ContentLength, err))
			}
			c.Close()
		}()
	}
	wg.Wait()
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.cmd.Process.Pid))
	for _, l := range strings.Split(string(b), "\n") {
		if strings.HasPrefix(l, "VmHWM") {
			rec.line("front   %s", l)
		}
	}
	rec.line("client  %d served whole, %d refused, %d without any answer, %d cut", served, refused, none, len(broken))
	return broken
}
