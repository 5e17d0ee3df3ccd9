// Package harness has what the cases of this review share: a record, the front as a
// separate process, and small stand-ins for clients, servers and the notice board that
// follow PROTOCOL-cherryramp.md. It uses nothing of the project's own packages. All
// addresses are loopback addresses.
package harness

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Run is one run of a case.
type Run struct {
	Trouble bool
	Root    string // of the repository
	Dir     string // temporary
	mu      sync.Mutex
	file    *os.File
	ends    []func()
}

// Main runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. It is called from run.sh in the case's folder, given as the argument.
func Main(limit time.Duration, test func(r *Run) (broken bool, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER")
		os.Exit(2)
	}
	folder, err := filepath.Abs(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &Run{Trouble: os.Getenv("TROUBLE") != "0", Root: filepath.Dir(filepath.Dir(folder))}
	r.file, err = os.Create(filepath.Join(folder, "record.txt"))
	if err == nil {
		r.Dir, err = os.MkdirTemp("", "review")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r.Log("begins: trouble=%v", r.Trouble)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := test(r)
		done <- result{broken, err}
	}()
	var end result
	select {
	case end = <-done:
	case <-time.After(limit):
		end.err = fmt.Errorf("the case took longer than %v", limit)
	}
	r.mu.Lock()
	ends := r.ends
	r.ends = nil
	r.mu.Unlock()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
	_ = os.RemoveAll(r.Dir)
	code, text := 0, "the rule HELD"
	switch {
	case end.err != nil:
		code, text = 2, "the case could not run: "+end.err.Error()
	case end.broken:
		code, text = 1, "the rule was BROKEN"
	}
	r.Log("result: %s", text)
	_ = r.file.Close()
	fmt.Println(text)
	os.Exit(code)
}

// Log writes a line to record.txt.
func (r *Run) Log(format string, args ...any) {
	r.LogAt(time.Now(), format, args...)
}

// LogAt is Log with the time of the event.
func (r *Run) LogAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%s %s\n", at.Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// OnEnd has a function called at the end of the run, the last one first.
func (r *Run) OnEnd(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, f)
}

// FreeAddress returns a loopback address with a port that is free now.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Front is a front as a separate process, started with the command of the deploy file.
type Front struct {
	Name        string
	Listen, Ops string
	Config      string // path
	Log         string // path of its log
	r           *Run
	cmd         *exec.Cmd
	ended       chan struct{}
}

var runLine = regexp.MustCompile(`(?m)^run *= *"(.*?)"`)

// NewFront chooses addresses for a front.
func (r *Run) NewFront(name string) (*Front, error) {
	f := &Front{Name: name, r: r, Config: filepath.Join(r.Dir, name+".json"), Log: filepath.Join(r.Dir, name+".log")}
	var err error
	if f.Listen, err = FreeAddress(); err != nil {
		return nil, err
	}
	f.Ops, err = FreeAddress()
	return f, err
}

// Successor returns a second process of the same front, for an upgrade: it has another
// operators' address, and all else is the same.
func (f *Front) Successor() (*Front, error) {
	ops, err := FreeAddress()
	return &Front{Name: f.Name, Listen: f.Listen, Ops: ops, r: f.r, Config: f.Config, Log: f.Log + ".next"}, err
}

// WriteConfig writes (or replaces, by a rename) the front's configuration file.
func (f *Front) WriteConfig(config map[string]any) error {
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(f.Config+".new", data, 0o644); err != nil {
		return err
	}
	return os.Rename(f.Config+".new", f.Config)
}

// BaseConfig is the configuration of a small deployment.
func BaseConfig(f *Front, board string, known, settings any) map[string]any {
	return map[string]any{"name": f.Name, "listen": f.Listen, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 48, "sockets": 256}, "board": board,
		"flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000, "known": known, "settings": settings}
}

// Start starts the process and waits until it answers GET /ping and, at the operators' door, PING.
func (f *Front) Start(env ...string) error {
	deploy, err := os.ReadFile(filepath.Join(f.r.Root, "deploy", "balancer.toml"))
	if err != nil {
		return err
	}
	m := runLine.FindSubmatch(deploy)
	if m == nil {
		return errors.New("deploy/balancer.toml has no run")
	}
	log, err := os.Create(f.Log)
	if err != nil {
		return err
	}
	tmp, err := os.MkdirTemp(f.r.Dir, "tmp")
	if err != nil {
		return err
	}
	cmd := exec.Command("/bin/sh", "-c", string(m[1]))
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.r.Root, log, log
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + tmp, "ROUTER_NAME=" + f.Name, "ROUTER_LISTEN=" + f.Listen,
		"ROUTER_CONFIG=" + f.Config, "ROUTER_OPS=" + f.Ops}, env...)
	if err := cmd.Start(); err != nil {
		return err
	}
	f.cmd, f.ended = cmd, make(chan struct{})
	ended := f.ended
	go func() {
		err := cmd.Wait()
		f.r.Log("front %s: process %d has ended: %v", f.Name, cmd.Process.Pid, err)
		close(ended)
	}()
	f.r.Log("front %s: %q started as process %d", f.Name, string(m[1]), cmd.Process.Pid)
	f.r.OnEnd(func() {
		_ = cmd.Process.Kill()
		<-ended
		f.copyLog()
	})
	for limit := time.Now().Add(20 * time.Second); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		if f.HasEnded() {
			return errors.New("the front has ended at its start")
		}
		if line, err := f.Call("PING"); err == nil && strings.HasPrefix(line, "ok") {
			f.r.Log("front %s: ready", f.Name)
			return nil
		}
	}
	return errors.New("the front is not ready")
}

func (f *Front) copyLog() {
	data, err := os.ReadFile(f.Log)
	if err != nil {
		return
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	if len(lines) > 60 {
		lines = append(append(lines[:30:30], fmt.Sprintf("(%d lines left out)", len(lines)-60)), lines[len(lines)-30:]...)
	}
	for _, line := range lines {
		f.r.Log("front %s's log: %s", f.Name, line)
	}
}

// HasEnded reports whether the process has ended.
func (f *Front) HasEnded() bool {
	select {
	case <-f.ended:
		return true
	default:
		return false
	}
}

// LogHas reports whether a text stands in the front's log.
func (f *Front) LogHas(text string) bool {
	data, _ := os.ReadFile(f.Log)
	return strings.Contains(string(data), text)
}

// Await waits until a condition holds.
func Await(within time.Duration, what string, holds func() bool) error {
	for limit := time.Now().Add(within); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", within, what)
}

// Pid returns the process's id.
func (f *Front) Pid() int { return f.cmd.Process.Pid }

// Signal sends a signal.
func (f *Front) Signal(s syscall.Signal) {
	f.r.Log("front %s: signal %v", f.Name, s)
	_ = f.cmd.Process.Signal(s)
}

// Call makes a call at the operators' door and returns its first line.
func (f *Front) Call(call string) (string, error) {
	c, err := net.DialTimeout("tcp", f.Ops, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(c, "%s\n", call); err != nil {
		return "", err
	}
	buf := make([]byte, 64<<10)
	n := 0
	for n < len(buf) {
		k, err := c.Read(buf[n:])
		n += k
		if err != nil || strings.Contains(string(buf[:n]), "\n") {
			break
		}
	}
	line, _, _ := strings.Cut(string(buf[:n]), "\n")
	return line, nil
}
