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

// Guards against a front that blocks on its log: the log collector hangs, and the pipe to it is full.
func TestUnreadLogPipeDoesNotBlockTheFront(t *testing.T) {
	s := newSite(t, 1, "") // a second process uses its configuration and fakes
	s.boxes[0].serveAll()
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer read.Close()
	const smallest = 4096 // one page, the minimum size of a pipe
	if _, _, errno := syscall.Syscall(syscall.SYS_FCNTL, write.Fd(), syscall.F_SETPIPE_SZ, smallest); errno != 0 {
		t.Fatal(errno)
	}
	s.signal(syscall.SIGTERM)
	s.awaitCleanExit()
	cmd := exec.Command(binary)
	cmd.Env, cmd.Stderr = []string{"ROUTER_CONFIG=" + s.configPath}, write
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = write.Close()
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	if !eventually(waitTimeout, func() bool { return reportsReady(s.addr) }) {
		t.Fatal("it did not become ready")
	}
	for range 200 { // each logs a line, at most about fifty a second
		c := dial(t, s.addr)
		_ = c.conn.SetDeadline(time.Now().Add(time.Second))
		c.send("what is this " + strings.Repeat("x", 50) + "\r\n\r\n")
		if _, err := io.ReadAll(c.conn); err != nil {
			t.Fatalf("it does not answer: %v", err)
		}
		_ = c.conn.Close()
	}
	c := dial(t, s.addr)
	c.send(getRequest("guide-video", "9f3a", 3000))
	if r, _ := c.readResponse("GET"); r.StatusCode != http.StatusOK {
		t.Errorf("got %d", r.StatusCode)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("it exited with %v", err)
		}
	case <-time.After(killDelay):
		t.Error("it does not exit after SIGTERM")
	}
}
