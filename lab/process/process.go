// Package process runs a built front for the laboratory: it starts the front with its
// own environment, waits until it serves, and stops or kills it.
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

// Timeout is how long a front may take to start, and to end after SIGTERM.
const Timeout = 10 * time.Second

// ServingMessage appears in a front's log once it serves.
const ServingMessage = "msg=serving"

// Options configures how a front is started.
type Options struct {
	Path string    // of the built binary
	Env  []string  // the whole environment, except PATH
	Log  io.Writer // receives standard error; nil: discarded
	Core *int      // CPU that the front is pinned to; nil: none
	// Launch starts the command; nil: (*exec.Cmd).Start. Used to inject faults into system calls.
	Launch func(*exec.Cmd) error
}

// Process is a started front.
type Process struct {
	cmd   *exec.Cmd
	log   *logWatcher
	ended chan struct{}
	err   error // valid once ended is closed
}

// Start starts a front. The caller must call Stop or Kill.
func Start(options Options) (*Process, error) {
	process := &Process{log: &logWatcher{text: ServingMessage, matched: make(chan struct{}), dest: options.Log}, ended: make(chan struct{})}
	process.cmd = exec.Command(options.Path)
	process.cmd.Env, process.cmd.Stderr = append([]string{"PATH=" + os.Getenv("PATH")}, options.Env...), process.log
	launch := options.Launch
	if launch == nil {
		launch = (*exec.Cmd).Start
	}
	if err := process.start(launch, options.Core); err != nil {
		return nil, fmt.Errorf("process: %w", err)
	}
	go func() {
		process.err = process.cmd.Wait()
		close(process.ended)
	}()
	return process, nil
}

// start starts the front, pinned to core unless that is nil.
func (process *Process) start(launch func(*exec.Cmd) error, core *int) error {
	if core == nil {
		return launch(process.cmd)
	}
	// A process inherits the CPU affinity of the thread that starts it.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var previous, pinned unix.CPUSet
	if err := unix.SchedGetaffinity(0, &previous); err != nil {
		return err
	}
	pinned.Set(*core)
	if err := unix.SchedSetaffinity(0, &pinned); err != nil {
		return fmt.Errorf("core %d: %w", *core, err)
	}
	return errors.Join(launch(process.cmd), unix.SchedSetaffinity(0, &previous))
}

// AwaitServing waits until the front serves. It fails if the front ends first or Timeout passes.
func (process *Process) AwaitServing() error {
	select {
	case <-process.log.matched:
		return nil
	case <-process.ended:
		return fmt.Errorf("process: the front exited before it served: %w: %s", process.err, process.log.prefixText())
	case <-time.After(Timeout):
		return errors.New("process: the front did not serve in time")
	}
}

// Pid returns the front's process id.
func (process *Process) Pid() int { return process.cmd.Process.Pid }

// Ended returns a channel that is closed once the front has ended; Err is valid from then on.
func (process *Process) Ended() <-chan struct{} { return process.ended }

// Err returns the result of waiting for the process; call it only after Ended is closed.
func (process *Process) Err() error { return process.err }

// Signal sends the front a signal; it does nothing if the front has ended.
func (process *Process) Signal(s syscall.Signal) { _ = process.cmd.Process.Signal(s) }

// Stop sends SIGTERM and waits for the end; after Timeout it kills the front and returns an error.
func (process *Process) Stop() error {
	process.Signal(syscall.SIGTERM)
	select {
	case <-process.ended:
		return process.err
	case <-time.After(Timeout):
		process.Kill()
		return errors.New("process: the front did not exit after SIGTERM")
	}
}

// Kill sends SIGKILL and waits for the end.
func (process *Process) Kill() {
	_ = process.cmd.Process.Kill()
	<-process.ended
}

// ResidentKB returns a process's resident set size in KB, 0 if unknown.
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

// OpenDescriptors returns the number of a process's open descriptors, 0 if unknown.
func OpenDescriptors(pid int) int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(list)
}

// logWatcher forwards a log to dest and closes matched once text has appeared in it.
type logWatcher struct {
	mu      sync.Mutex
	text    string
	prefix  []byte
	found   bool
	matched chan struct{}
	dest    io.Writer
}

// maxPrefix bounds how much of a log is kept and searched for the text, in bytes.
const maxPrefix = 64 << 10

// Write implements io.Writer.
func (watcher *logWatcher) Write(p []byte) (int, error) {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	if !watcher.found && len(watcher.prefix) < maxPrefix {
		watcher.prefix = append(watcher.prefix, p...)
		if watcher.found = bytes.Contains(watcher.prefix, []byte(watcher.text)); watcher.found {
			close(watcher.matched)
		}
	}
	if watcher.dest != nil {
		return watcher.dest.Write(p)
	}
	return len(p), nil
}

func (watcher *logWatcher) prefixText() string {
	watcher.mu.Lock()
	defer watcher.mu.Unlock()
	return string(watcher.prefix)
}
