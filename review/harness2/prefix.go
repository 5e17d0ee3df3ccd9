package main

import (
	"fmt"
	"net"
	"time"
)

func init() { cases["prefix-lost"] = prefixLost }

// prefixLost: the operator bounds the connections of an address prefix. Some clients of a prefix connect and say
// nothing; then a usual client of the same prefix connects and sends a request.
func prefixLost(rec *record, dir string, trouble bool) (broken []string) {
	s := newServers(rec, 3)
	cleanUps = append(cleanUps, s.close)
	f := newFront(rec, dir, "n1", "127.0.0.2", s, nil, func(*front) map[string]any {
		return map[string]any{"clients": map[string]any{"each_prefix": 100}}
	})
	f.start()
	cleanUps = append(cleanUps, f.kill)
	await("the front to be ready", 10*time.Second, func() bool { return f.call("PING", nil) == nil && f.ping() })
	for round := range 5 {
		var silent []net.Conn
		if trouble {
			for range 120 {
				if c, err := net.DialTimeout("tcp", f.listen, time.Second); err == nil {
					silent = append(silent, c)
				}
			}
			rec.line("client  %d connections are open, of 512 descriptors, and say nothing", len(silent))
		}
		time.Sleep(200 * time.Millisecond)
		for i := range 3 {
			if a := ask(rec, f.listen, "guide-video", fmt.Sprintf("form%d", i), 2*time.Second); a.Status == 0 {
				broken = append(broken, fmt.Sprintf("round %d: request %s, sent on a connection that the front's machine accepted, has %s", round+1, a.ID, a))
			}
		}
		for _, c := range silent {
			c.Close()
		}
		time.Sleep(time.Second)
	}
	return broken
}
