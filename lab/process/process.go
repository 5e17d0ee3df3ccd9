// Package process runs the built front for the laboratory: started with a
// configuration of its own, waited for until it serves, ended or killed.
package process

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeout is how long a front may take to start and to end.
const Timeout = 10 * time.Second

// ServingMessage is what a front's log says once it serves.
const ServingMessage = "msg=serving"

// Options say how a front is started.
type Options struct {
	Path string    // of the built program
	Env  []string  // all of its environment, but for PATH
	Log  io.Writer // nil: nowhere
	Core *int      // the one that it runs on; nil: any
	// Launch starts the command; nil: as it is. It is for faults in its system calls.
	Launch func(*exec.Cmd) error
}

// Process is a front that was started.
type Process struct {
	cmd   *exec.Cmd
	log   *awaited
	ended chan struct{}
	err   error // once it has ended
}

// Start starts a front. It must be stopped or killed.
func Start(o Options) (*Process, error) {
	p := &Process{log: &awaited{text: ServingMessage, seen: make(chan struct{}), to: o.Log}, ended: make(chan struct{})}
	p.cmd = exec.Command(o.Path)
	p.cmd.Env, p.cmd.Stderr = append([]string{"PATH=" + os.Getenv("PATH")}, o.Env...), p.log
	launch := o.Launch
	if launch == nil {
		launch = (*exec.Cmd).Start
	}
	if err := p.start(launch, o.Core); err != nil {
		return nil, fmt.Errorf("process: %w", err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// start starts the front, pinned to a core if there is one.
func (p *Process) start(launch func(*exec.Cmd) error, core *int) error {
	if core == nil {
		return launch(p.cmd)
	}
	// A process inherits the cores of the thread that starts it.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, only unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return err
	}
	only.Set(*core)
	if err := unix.SchedSetaffinity(0, &only); err != nil {
		return fmt.Errorf("core %d: %w", *core, err)
	}
	return errors.Join(launch(p.cmd), unix.SchedSetaffinity(0, &before))
}

// AwaitServing waits until the front serves.
func (p *Process) AwaitServing() error {
	select {
	case <-p.log.seen:
		return nil
	case <-p.ended:
		return fmt.Errorf("process: the front ended at its start: %w: %s", p.err, p.log.head())
	case <-time.After(Timeout):
		return errors.New("process: the front does not start")
	}
}

// Pid is the front's process.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Ended is closed once the front has ended; Err then tells how.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Err tells how a front ended that has.
func (p *Process) Err() error { return p.err }

// Signal sends a front a signal; one that has ended does not get it.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Stop ends the front as an operator does.
func (p *Process) Stop() error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		return p.err
	case <-time.After(Timeout):
		p.Kill()
		return errors.New("process: the front did not end by itself")
	}
}

// Kill ends the front at once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// ResidentKB is a process's resident size in KB; 0: not known.
func ResidentKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// OpenDescriptors counts a process's open descriptors; 0: not known.
func OpenDescriptors(pid int) int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(list)
}

// awaited passes a log on and tells when a text has come.
type awaited struct {
	mu    sync.Mutex
	text  string
	start []byte
	done  bool
	seen  chan struct{}
	to    io.Writer
}

// mostHead is what is kept of a log while its text has not come, in bytes.
const mostHead = 64 << 10

// Write is part of io.Writer.
func (a *awaited) Write(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.done && len(a.start) < mostHead {
		a.start = append(a.start, p...)
		if a.done = bytes.Contains(a.start, []byte(a.text)); a.done {
			close(a.seen)
		}
	}
	if a.to != nil {
		return a.to.Write(p)
	}
	return len(p), nil
}

func (a *awaited) head() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return string(a.start)
}
