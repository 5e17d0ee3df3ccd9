package fleet

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cherryramp/internal/fleet"
	"cherryramp/lab/faultproxy"
	"cherryramp/lab/process"
	"cherryramp/lab/site"
)

// Options set up a fleet of started processes.
type Options struct {
	Program        string // the built front
	Fronts         int
	Zones          int
	InitialMembers int // named first members; 0: three, or as many as there are
	Seed           uint64
	Rules          map[string]any // of the section's rules; nil: short ones
	UseProxies     bool           // every pair's traffic goes over a line of its own, for faults
	Log            io.Writer      // of the fronts; nil: into a file each

	SitePath func(i int) string                          // a front's site, as a path; nil: zones z0, z1 and so on
	Launch   func(front int, cmd *exec.Cmd) error        // starts a front's command; nil: as it is
	Sections func(p *Process) map[string]any             // further sections of a front's operator's file
	Config   func(name, listen string, front int) string // its configuration; nil: before a small site's stand-ins
}

// Process is one started front.
type Process struct {
	Name, Zone string
	Listen     string // for clients
	Ops        string // the operators' door
	Fleet      string // for the other fronts
	Signed     string // for clients with links, where that is set up
	Dir        string
	Log        string // path

	f             *Processes
	mu            sync.Mutex
	running       *process.Process
	program       string
	log           *os.File
	Interruptions atomic.Int64 // how often it was ended at once, or stopped
	ended         atomic.Int64 // when it was last ended at once, in Unix ms
}

// Processes are a fleet of started fronts before one site.
type Processes struct {
	o     Options
	Site  *site.Site
	List  []*Process
	lines map[[2]int]*faultproxy.Proxy
}

// instances tells fleets of one process apart, whose addresses must differ.
var instances atomic.Int64

// Ports of a front, each of which has an address of its own on loopback, so that no
// outgoing connection can take a port while the front is down.
const (
	clientPort = 7001
	opsPort    = 7002
	fleetPort  = 7003
	signedPort = 7004
)

// address is a front's own: by process, instance and number.
func address(instance int64, i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 2+pid%120, (pid/120+int(instance)*37)%250, 1+i)
}

// NewProcesses sets a fleet up; nothing is started yet. It must be closed.
func NewProcesses(o Options) (f *Processes, err error) {
	if o.Fronts < 1 || o.Fronts > 200 {
		return nil, fmt.Errorf("fleet: %d fronts: 1 to 200 are possible as processes", o.Fronts)
	}
	f = &Processes{o: o, lines: map[[2]int]*faultproxy.Proxy{}}
	defer func() {
		if err != nil {
			err = errors.Join(fmt.Errorf("fleet: %w", err), f.Close())
		}
	}()
	if f.Site, err = site.Open(); err != nil {
		return f, err
	}
	keys, err := newAuthority(f.Site.Dir())
	if err != nil {
		return f, err
	}
	instance := instances.Add(1)
	for i := range o.Fronts {
		ip := address(instance, i)
		at := func(port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }
		p := &Process{f: f, Name: name(i), Zone: o.site(i), Listen: at(clientPort), Ops: at(opsPort), Fleet: at(fleetPort), Signed: at(signedPort),
			Dir: filepath.Join(f.Site.Dir(), name(i)), program: o.Program}
		p.Log = filepath.Join(p.Dir, "log")
		f.List = append(f.List, p)
		if err = os.MkdirAll(p.Dir, 0o700); err != nil {
			return f, err
		}
	}
	for i, p := range f.List {
		reach := map[string]string{}
		for j, q := range f.List {
			if i == j || !o.UseProxies {
				continue
			}
			l, err := faultproxy.Open("", q.Fleet, o.Seed+uint64(i*len(f.List)+j))
			if err != nil {
				return f, err
			}
			f.lines[[2]int{i, j}] = l
			reach[q.Name] = l.Addr()
		}
		certificate, key, err := keys.sign(p.Name, p.Dir)
		if err != nil {
			return f, err
		}
		if err := f.configure(p, reach, certificate, key, keys.path); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (o *Options) site(i int) string {
	if o.SitePath != nil {
		return o.SitePath(i)
	}
	return fmt.Sprintf("z%d", i%max(1, o.Zones))
}

// shortRules are rules with spans that a person, or a test, can wait for.
func shortRules() map[string]any {
	return map[string]any{"out": 1, "zone": 1, "percent": 34, "hurt_percent": 50, "accept_s": 5, "empty_s": 10, "back_s": 20, "cold_s": 1}
}

// configure writes a front's two files.
func (f *Processes) configure(p *Process, reach map[string]string, certificate, key, authorities string) error {
	n := f.o.InitialMembers
	if n == 0 {
		n = min(3, len(f.List))
	}
	var first []map[string]string
	for _, q := range f.List[:n] {
		first = append(first, map[string]string{"name": q.Name, "address": q.Fleet})
	}
	rules := f.o.Rules
	if rules == nil {
		rules = shortRules()
	}
	config := f.Site.Config(p.Name, p.Listen, 0, 0)
	if f.o.Config != nil {
		config = f.o.Config(p.Name, p.Listen, f.index(p))
	}
	sections := map[string]any{}
	if f.o.Sections != nil {
		sections = f.o.Sections(p)
	}
	sections["fleet"] = map[string]any{"name": "laboratory", "front": p.Name, "zone": p.Zone,
		"listen": p.Fleet, "first": first, "folder": filepath.Join(p.Dir, "folder"), "reach": reach, "rules": rules,
		"keys": map[string]any{"certificate": certificate, "key": key, "authorities": authorities, "names": []string{AllowedName}}}
	text, err := json.MarshalIndent(sections, "", " ")
	if err != nil {
		return err
	}
	return errors.Join(os.WriteFile(filepath.Join(p.Dir, "operator.json"), text, 0o600),
		os.WriteFile(filepath.Join(p.Dir, "config.json"), []byte(config), 0o600))
}

// Start starts a front, and waits until it serves.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil {
		return nil
	}
	var err error
	to := p.f.o.Log
	if to == nil {
		if p.log == nil {
			if p.log, err = os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
				return err
			}
		}
		to = p.log
	}
	var launch func(*exec.Cmd) error
	if p.f.o.Launch != nil {
		launch = func(cmd *exec.Cmd) error { return p.f.o.Launch(p.f.index(p), cmd) }
	}
	running, err := process.Start(process.Options{Launch: launch, Path: p.program, Log: to, Env: []string{"ROUTER_CONFIG=" + filepath.Join(p.Dir, "config.json"),
		"CHERRYRAMP_OPERATOR=" + filepath.Join(p.Dir, "operator.json"), "ROUTER_OPS=" + p.Ops}})
	if err != nil {
		return err
	}
	p.running = running
	if err := running.AwaitServing(); err != nil {
		running.Kill()
		p.running = nil
		return err
	}
	return nil
}

// Use has a front run another build from its next start on.
func (p *Process) SetProgram(program string) { p.program = program }

// Up tells whether a front's process runs.
func (p *Process) Up() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running != nil
}

// Kill ends a front at once.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil {
		p.Interruptions.Add(1)
		p.running.Signal(syscall.SIGCONT) // one that is stopped can't be waited for
		p.running.Kill()
		p.running = nil
		p.ended.Store(time.Now().UnixMilli())
	}
}

// Stop ends a front as an operator does.
func (p *Process) Stop() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		return nil
	}
	err := p.running.Stop()
	p.running = nil
	return err
}

// Signal sends a front's process a signal: SIGSTOP and SIGCONT among them.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil {
		if s == syscall.SIGSTOP || s == syscall.SIGCONT {
			p.Interruptions.Add(1) // what clients have there may take its time until both have come
		}
		p.running.Signal(s)
		// Pid waits for the lock, so that whoever reads the count in between finds it stopped.
		for end := time.Now().Add(stopTime); s == syscall.SIGSTOP && !stopped(p.running.Pid()) && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
}

// stopTime bounds the wait for a process to have stopped.
const stopTime = time.Second

// Stopped tells whether a front's process was stopped and has not gone on yet.
func (p *Process) Stopped() bool { return stopped(p.Pid()) }

func stopped(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	return strings.HasPrefix(rest, "T")
}

// Pid is a front's process; 0: it is down.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		return 0
	}
	return p.running.Pid()
}

// Journal is the path of a front's journal.
func (p *Process) Journal() string { return filepath.Join(p.Dir, "folder", "journal") }

// Wipe empties a front's disk; it must be down.
func (p *Process) Wipe() error { return os.RemoveAll(filepath.Join(p.Dir, "folder")) }

// callTime bounds a call at a door.
const callTime = 12 * time.Second

// Call makes a call at a front's door.
func (p *Process) Call(line string, into any) error {
	conn, err := net.DialTimeout("tcp", p.Ops, callTime)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(callTime))
	if _, err := fmt.Fprintf(conn, "%s\n", line); err != nil {
		return err
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return err
	}
	text, ok := strings.CutPrefix(strings.TrimSpace(answer), "ok")
	if !ok {
		return errors.New(strings.TrimPrefix(strings.TrimSpace(answer), "fail "))
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal([]byte(text), into)
}

// Status is what a front knows.
func (p *Process) Status() (s fleet.Status, err error) { return s, p.Call("FLEET STATUS", &s) }

// Plan is what a front knows of works.
func (p *Process) Plan() (list []fleet.Operation, err error) {
	return list, p.Call("FLEET WORK PLAN", &list)
}

// Ask asks for a work at a front.
func (p *Process) RequestOperation(a fleet.OperationRequest) (id uint64, err error) {
	text, err := json.Marshal(a)
	if err != nil {
		return 0, err
	}
	var word map[string]uint64
	err = p.Call("FLEET WORK ASK "+string(text), &word)
	return word["work"], err
}

// StartAll starts all fronts, side by side.
func (f *Processes) StartAll() error {
	errs := make([]error, len(f.List))
	var wg sync.WaitGroup
	for i, p := range f.List {
		wg.Add(1)
		go func() { defer wg.Done(); errs[i] = p.Start() }()
	}
	wg.Wait()
	return errors.Join(errs...)
}

// ErrNotYet tells that what was waited for did not come.
var ErrTimeout = errors.New("fleet: what was waited for did not come")

// Await asks again and again until something holds.
func Await(within time.Duration, holds func() bool) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return ErrTimeout
}

// Unsettled tells what each front says of itself, for whoever waited in vain.
func (f *Processes) StatusReport() (text string) {
	for _, p := range f.List {
		s, err := p.Status()
		text += fmt.Sprintf("%s: %+v %v\n", p.Name, s, err)
	}
	return text
}

// Settled tells whether all fronts that run hold the same, and are of the fleet.
func (f *Processes) Settled() bool {
	var applied []uint64
	for _, p := range f.List {
		if !p.Up() {
			continue
		}
		s, err := p.Status()
		if err != nil || s.ID == "" || s.Leader == "" || s.Fronts < len(f.List) || len(s.Lost) > 0 || s.WaitsFor != "" {
			return false
		}
		if len(s.Voters) != s.TargetVoters {
			return false
		}
		applied = append(applied, s.Applied)
	}
	for _, a := range applied {
		if a != applied[0] {
			return false
		}
	}
	return len(applied) > 0
}

// Leader is the front that the others follow; nil: there is none now.
func (f *Processes) Leader() *Process {
	for _, p := range f.List {
		if !p.Up() {
			continue
		}
		if s, err := p.Status(); err == nil && s.Seat == "leader" {
			return p
		}
	}
	return nil
}

// Find gives a front by name.
func (f *Processes) Find(name string) *Process {
	for _, p := range f.List {
		if p.Name == name {
			return p
		}
	}
	return nil
}

func (f *Processes) index(p *Process) int {
	for i, q := range f.List {
		if p == q {
			return i
		}
	}
	return -1
}

// Freeze has nothing come from one front to another, or all of it after a time. As
// TCP has it, a way that stands still in one direction stops both directions of the
// connections over it.
func (f *Processes) BlockLink(from, to *Process, on bool) {
	i, j := f.index(from), f.index(to)
	if l := f.lines[[2]int{i, j}]; l != nil {
		l.Freeze(faultproxy.Forward, on)
	}
	if l := f.lines[[2]int{j, i}]; l != nil {
		l.Freeze(faultproxy.Backward, on)
	}
}

// Delay has all that comes from a front come late.
func (f *Processes) Delay(from *Process, s faultproxy.Settings) {
	i := f.index(from)
	for j := range f.List {
		if l := f.lines[[2]int{i, j}]; l != nil {
			l.Set(faultproxy.Forward, s)
		}
		if l := f.lines[[2]int{j, i}]; l != nil {
			l.Set(faultproxy.Backward, s)
		}
	}
}

// Reset resets all connections between fronts.
func (f *Processes) ResetConnections() {
	for _, l := range f.lines {
		l.ResetAll()
	}
}

// Part parts the fronts into groups that hear nothing of each other; none: all
// hear all.
func (f *Processes) Partition(groups ...[]*Process) {
	for _, a := range f.List {
		for _, b := range f.List {
			if a == b {
				continue
			}
			together := len(groups) == 0
			for _, g := range groups {
				in := func(p *Process) bool {
					for _, q := range g {
						if p == q {
							return true
						}
					}
					return false
				}
				together = together || in(a) && in(b)
			}
			f.BlockLink(a, b, !together)
		}
	}
	if len(groups) == 0 {
		return
	}
}

// Close ends all fronts and takes their folders away.
func (f *Processes) Close() (err error) {
	for _, p := range f.List {
		p.Kill()
		if p.log != nil {
			_ = p.log.Close()
		}
	}
	for _, l := range f.lines {
		err = errors.Join(err, l.Close())
	}
	if f.Site != nil {
		err = errors.Join(err, f.Site.Stop())
	}
	return err
}
