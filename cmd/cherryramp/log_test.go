package main_test

import (
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against a front that stands still because nobody takes its log: whoever collects it hangs,
// and the pipe to it is full.
func TestALogThatNobodyTakesHoldsNothingUp(t *testing.T) {
	s := newSite(t, 1, "") // its configuration and stand-ins are used by a second process
	s.boxes[0].serveAll()
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer read.Close()
	const smallest = 4096 // a page: the least that a pipe holds
	if _, _, errno := syscall.Syscall(syscall.SYS_FCNTL, write.Fd(), syscall.F_SETPIPE_SZ, smallest); errno != 0 {
		t.Fatal(errno)
	}
	s.signal(syscall.SIGTERM)
	s.ends()
	cmd := exec.Command(binary)
	cmd.Env, cmd.Stderr = []string{"ROUTER_CONFIG=" + s.config}, write
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = write.Close()
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	if !eventually(patience, func() bool { return takesWork(s.addr) }) {
		t.Fatal("never ready")
	}
	for range 200 { // a line each, some fifty of them a second
		c := dial(t, s.addr)
		_ = c.c.SetDeadline(time.Now().Add(time.Second))
		c.send("what is this " + strings.Repeat("x", 50) + "\r\n\r\n")
		if _, err := io.ReadAll(c.c); err != nil {
			t.Fatalf("it answers nobody any more: %v", err)
		}
		_ = c.c.Close()
	}
	c := dial(t, s.addr)
	c.send(get("guide-video", "9f3a", 3000))
	if r, _ := c.answer("GET"); r.StatusCode != http.StatusOK {
		t.Errorf("got %d", r.StatusCode)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("it ended with %v", err)
		}
	case <-time.After(killedAfter):
		t.Error("told to end, it goes on")
	}
}
