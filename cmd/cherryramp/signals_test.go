package main_test

import (
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"
)

// killedAfter is when SIGKILL may come after SIGTERM where the longest deadline is 3 s or more.
const killedAfter = 3700 * time.Millisecond

// Guards against an end that is never heard of: the front is still reading a file that SIGHUP
// brought, which hangs, or so many SIGHUP came that the last signal finds no room.
func TestEndBehindReloads(t *testing.T) {
	for name, before := range map[string]func(t *testing.T, s *site){
		"a file that hangs": func(t *testing.T, s *site) {
			if err := os.Remove(s.config); err != nil {
				t.Fatal(err)
			}
			if err := syscall.Mkfifo(s.config, 0o600); err != nil {
				t.Fatal(err)
			}
			s.signal(syscall.SIGHUP)
			time.Sleep(50 * time.Millisecond) // so that it is being read
		},
		"many in series": func(_ *testing.T, s *site) {
			for range 200 {
				s.signal(syscall.SIGHUP)
				time.Sleep(100 * time.Microsecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1, "")
			c := dial(t, s.addr)
			c.send(get("guide-video", "9f3a", 4000))
			x := s.boxes[0].next(t)
			before(t, s)
			s.signal(syscall.SIGTERM)
			began := time.Now()
			s.log.await(t, "told to end")
			x.reply("ok", "sum=t1,t0=1,why=warm", object(x))
			if r, _ := c.answer("GET"); r.StatusCode != http.StatusOK {
				t.Errorf("the open request got %d", r.StatusCode)
			}
			s.ends()
			if spent := time.Since(began); spent > killedAfter {
				t.Errorf("it ended %v after SIGTERM", spent)
			}
		})
	}
}
