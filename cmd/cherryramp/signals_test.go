package main_test

import (
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"
)

// killDelay is how long after SIGTERM SIGKILL may come if the longest deadline is 3 s or more.
const killDelay = 3700 * time.Millisecond

// Guards against a SIGTERM that is not handled because the front is still reading a file after SIGHUP,
// which blocks, or because so many SIGHUP came that the signal queue is full.
func TestShutdownBehindReloads(t *testing.T) {
	for name, before := range map[string]func(t *testing.T, s *site){
		"a file that hangs": func(t *testing.T, s *site) {
			if err := os.Remove(s.configPath); err != nil {
				t.Fatal(err)
			}
			if err := syscall.Mkfifo(s.configPath, 0o600); err != nil {
				t.Fatal(err)
			}
			s.signal(syscall.SIGHUP)
			time.Sleep(50 * time.Millisecond) // so that the read has started
		},
		"many in a row": func(_ *testing.T, s *site) {
			for range 200 {
				s.signal(syscall.SIGHUP)
				time.Sleep(100 * time.Microsecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1, "")
			c := dial(t, s.addr)
			c.send(getRequest("guide-video", "9f3a", 4000))
			cmd := s.boxes[0].nextCommand(t)
			before(t, s)
			s.signal(syscall.SIGTERM)
			began := time.Now()
			s.log.await(t, "told to end")
			cmd.reply("ok", "sum=t1,t0=1,why=warm", objectBody(cmd))
			if r, _ := c.readResponse("GET"); r.StatusCode != http.StatusOK {
				t.Errorf("the open request got %d", r.StatusCode)
			}
			s.awaitCleanExit()
			if spent := time.Since(began); spent > killDelay {
				t.Errorf("it exited %v after SIGTERM", spent)
			}
		})
	}
}
