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

// Options configure a fleet of started processes.
type Options struct {
	Program        string // path of the front's binary
	Fronts         int
	Zones          int
	InitialMembers int // number of fronts named as initial members; 0: three, or all if fewer
	Seed           uint64
	Rules          map[string]any // rules of the fleet section; nil: shortRules
	UseProxies     bool           // routes each pair's traffic through a fault proxy of its own
	Log            io.Writer      // log of all fronts; nil: one file per front

	SitePath func(i int) string                          // site path of a front; nil: zones z0, z1 and so on
	Launch   func(front int, cmd *exec.Cmd) error        // starts a front's command; nil: the default start
	Sections func(p *Process) map[string]any             // additional sections of a front's operator file
	Config   func(name, listen string, front int) string // configuration of a front; nil: that of Processes.Site
}

// Process is one started front.
type Process struct {
	Name, Zone string
	Listen     string // address for clients
	Ops        string // address of the admin endpoint
	Fleet      string // address for the other fronts
	Signed     string // address for signed links, where configured
	Dir        string
	Log        string // path of the log file

	processes     *Processes
	mu            sync.Mutex
	running       *process.Process
	program       string
	log           *os.File
	Interruptions atomic.Int64 // number of kills, SIGSTOPs and SIGCONTs
	killedAt      atomic.Int64 // time of the last kill, in Unix ms
}

// Processes is a fleet of started fronts with one site of servers behind them.
type Processes struct {
	options Options
	Site    *site.Site
	List    []*Process
	proxies map[[2]int]*faultproxy.Proxy
}

// instanceCount numbers the fleets of one process, whose addresses must differ.
var instanceCount atomic.Int64

// Ports of a front. Each front has its own loopback address, so that no outgoing
// connection can take a port while the front is down.
const (
	clientPort = 7001
	opsPort    = 7002
	fleetPort  = 7003
	signedPort = 7004
)

// frontIP returns a front's loopback address, by process, instance and number.
func frontIP(instance int64, i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 2+pid%120, (pid/120+int(instance)*37)%250, 1+i)
}

// NewProcesses creates a fleet without starting it. The caller must call Close.
func NewProcesses(o Options) (f *Processes, err error) {
	if o.Fronts < 1 || o.Fronts > 200 {
		return nil, fmt.Errorf("fleet: %d fronts: 1 to 200 are supported as processes", o.Fronts)
	}
	f = &Processes{options: o, proxies: map[[2]int]*faultproxy.Proxy{}}
	defer func() {
		if err != nil {
			err = errors.Join(fmt.Errorf("fleet: %w", err), f.Close())
		}
	}()
	if f.Site, err = site.Open(); err != nil {
		return f, err
	}
	ca, err := newAuthority(f.Site.Dir())
	if err != nil {
		return f, err
	}
	instance := instanceCount.Add(1)
	for i := range o.Fronts {
		ip := frontIP(instance, i)
		at := func(port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }
		p := &Process{processes: f, Name: frontName(i), Zone: o.sitePath(i), Listen: at(clientPort), Ops: at(opsPort), Fleet: at(fleetPort), Signed: at(signedPort),
			Dir: filepath.Join(f.Site.Dir(), frontName(i)), program: o.Program}
		p.Log = filepath.Join(p.Dir, "log")
		f.List = append(f.List, p)
		if err = os.MkdirAll(p.Dir, 0o700); err != nil {
			return f, err
		}
	}
	for i, p := range f.List {
		proxyAddresses := map[string]string{}
		for j, q := range f.List {
			if i == j || !o.UseProxies {
				continue
			}
			l, err := faultproxy.Open("", q.Fleet, o.Seed+uint64(i*len(f.List)+j))
			if err != nil {
				return f, err
			}
			f.proxies[[2]int{i, j}] = l
			proxyAddresses[q.Name] = l.Addr()
		}
		certificate, key, err := ca.sign(p.Name, p.Dir)
		if err != nil {
			return f, err
		}
		if err := f.writeConfig(p, proxyAddresses, certificate, key, ca.path); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (o *Options) sitePath(i int) string {
	if o.SitePath != nil {
		return o.SitePath(i)
	}
	return fmt.Sprintf("z%d", i%max(1, o.Zones))
}

// shortRules returns rules with timeouts short enough for tests and interactive use.
func shortRules() map[string]any {
	return map[string]any{"out": 1, "zone": 1, "percent": 34, "hurt_percent": 50, "accept_s": 5, "empty_s": 10, "back_s": 20, "cold_s": 1}
}

// writeConfig writes a front's operator.json and config.json.
func (f *Processes) writeConfig(p *Process, proxyAddresses map[string]string, certificate, key, authorities string) error {
	n := f.options.InitialMembers
	if n == 0 {
		n = min(3, len(f.List))
	}
	var first []map[string]string
	for _, q := range f.List[:n] {
		first = append(first, map[string]string{"name": q.Name, "address": q.Fleet})
	}
	rules := f.options.Rules
	if rules == nil {
		rules = shortRules()
	}
	config := f.Site.Config(p.Name, p.Listen, 0, 0)
	if f.options.Config != nil {
		config = f.options.Config(p.Name, p.Listen, f.index(p))
	}
	sections := map[string]any{}
	if f.options.Sections != nil {
		sections = f.options.Sections(p)
	}
	sections["fleet"] = map[string]any{"name": "laboratory", "front": p.Name, "zone": p.Zone,
		"listen": p.Fleet, "first": first, "folder": filepath.Join(p.Dir, "folder"), "reach": proxyAddresses, "rules": rules,
		"keys": map[string]any{"certificate": certificate, "key": key, "authorities": authorities, "names": []string{AllowedName}}}
	text, err := json.MarshalIndent(sections, "", " ")
	if err != nil {
		return err
	}
	return errors.Join(os.WriteFile(filepath.Join(p.Dir, "operator.json"), text, 0o600),
		os.WriteFile(filepath.Join(p.Dir, "config.json"), []byte(config), 0o600))
}

// Start starts a front and waits until it serves.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil {
		return nil
	}
	var err error
	to := p.processes.options.Log
	if to == nil {
		if p.log == nil {
			if p.log, err = os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
				return err
			}
		}
		to = p.log
	}
	var launch func(*exec.Cmd) error
	if p.processes.options.Launch != nil {
		launch = func(cmd *exec.Cmd) error { return p.processes.options.Launch(p.processes.index(p), cmd) }
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

// SetProgram sets the binary that the front runs from its next start on.
func (p *Process) SetProgram(program string) { p.program = program }

// Up reports whether a front's process was started and not stopped since.
func (p *Process) Up() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running != nil
}

// Kill kills a front's process.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil {
		p.Interruptions.Add(1)
		p.running.Signal(syscall.SIGCONT) // a suspended process can't be waited for
		p.running.Kill()
		p.running = nil
		p.killedAt.Store(time.Now().UnixMilli())
	}
}

// Stop shuts a front down as an operator does.
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

// Signal sends a signal to a front's process; after SIGSTOP it waits until the process is
// suspended.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil {
		if s == syscall.SIGSTOP || s == syscall.SIGCONT {
			p.Interruptions.Add(1) // requests may be delayed until both signals have arrived
		}
		p.running.Signal(s)
		// Pid waits for the lock, so that a client that reads the count before finds the
		// process suspended.
		for end := time.Now().Add(stopTimeout); s == syscall.SIGSTOP && !isStopped(p.running.Pid()) && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
}

// stopTimeout bounds the wait for a process to be suspended.
const stopTimeout = time.Second

// Stopped reports whether a front's process is suspended.
func (p *Process) Stopped() bool { return isStopped(p.Pid()) }

func isStopped(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	return strings.HasPrefix(rest, "T")
}

// Pid returns the ID of a front's process; 0 while it is down.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		return 0
	}
	return p.running.Pid()
}

// Journal returns the path of a front's journal.
func (p *Process) Journal() string { return filepath.Join(p.Dir, "folder", "journal") }

// Wipe removes a front's data directory; the front must be down.
func (p *Process) Wipe() error { return os.RemoveAll(filepath.Join(p.Dir, "folder")) }

// callTimeout bounds connecting for, and the whole of, a call to an admin endpoint.
const callTimeout = 12 * time.Second

// Call sends a command to a front's admin endpoint and decodes the JSON response into
// into, unless that is nil. A "fail" response is returned as an error.
func (p *Process) Call(line string, into any) error {
	conn, err := net.DialTimeout("tcp", p.Ops, callTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(callTimeout))
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

// Status returns a front's status of the fleet.
func (p *Process) Status() (s fleet.Status, err error) { return s, p.Call("FLEET STATUS", &s) }

// Plan returns the open operations that a front knows.
func (p *Process) Plan() (list []fleet.Operation, err error) {
	return list, p.Call("FLEET WORK PLAN", &list)
}

// RequestOperation requests an operation at a front and returns its ID.
func (p *Process) RequestOperation(request fleet.OperationRequest) (id uint64, err error) {
	text, err := json.Marshal(request)
	if err != nil {
		return 0, err
	}
	var result map[string]uint64
	err = p.Call("FLEET WORK ASK "+string(text), &result)
	return result["work"], err
}

// StartAll starts all fronts in parallel.
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

// ErrTimeout reports that a condition did not hold within the time given to Await.
var ErrTimeout = errors.New("fleet: the condition did not hold in time")

// Await polls every 50 ms until a condition holds or the time is over.
func Await(within time.Duration, holds func() bool) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return ErrTimeout
}

// StatusReport returns the status of each front, for error messages.
func (f *Processes) StatusReport() (text string) {
	for _, p := range f.List {
		s, err := p.Status()
		text += fmt.Sprintf("%s: %+v %v\n", p.Name, s, err)
	}
	return text
}

// Settled reports whether all running fronts are members and have applied the same
// entries, and the number of voters is the target.
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

// Leader returns a front that reports itself as leader, or nil.
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

// Find returns a front by name, or nil.
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

// BlockLink stalls the traffic from one front to another, or lets it continue. A stalled
// direction stops both directions of the TCP connections over it. It needs
// Options.UseProxies.
func (f *Processes) BlockLink(from, to *Process, on bool) {
	i, j := f.index(from), f.index(to)
	if l := f.proxies[[2]int{i, j}]; l != nil {
		l.Freeze(faultproxy.Forward, on)
	}
	if l := f.proxies[[2]int{j, i}]; l != nil {
		l.Freeze(faultproxy.Backward, on)
	}
}

// Delay delays all traffic from a front. It needs Options.UseProxies.
func (f *Processes) Delay(from *Process, s faultproxy.Settings) {
	i := f.index(from)
	for j := range f.List {
		if l := f.proxies[[2]int{i, j}]; l != nil {
			l.Set(faultproxy.Forward, s)
		}
		if l := f.proxies[[2]int{j, i}]; l != nil {
			l.Set(faultproxy.Backward, s)
		}
	}
}

// ResetConnections resets all connections between fronts. It needs Options.UseProxies.
func (f *Processes) ResetConnections() {
	for _, l := range f.proxies {
		l.ResetAll()
	}
}

// Partition stalls the traffic between fronts that share no group. Without groups,
// connectivity is restored. It needs Options.UseProxies.
func (f *Processes) Partition(groups ...[]*Process) {
	for _, a := range f.List {
		for _, b := range f.List {
			if a == b {
				continue
			}
			connected := len(groups) == 0
			for _, g := range groups {
				in := func(p *Process) bool {
					for _, q := range g {
						if p == q {
							return true
						}
					}
					return false
				}
				connected = connected || in(a) && in(b)
			}
			f.BlockLink(a, b, !connected)
		}
	}
	if len(groups) == 0 {
		return
	}
}

// Close kills all fronts and removes their directories.
func (f *Processes) Close() (err error) {
	for _, p := range f.List {
		p.Kill()
		if p.log != nil {
			_ = p.log.Close()
		}
	}
	for _, l := range f.proxies {
		err = errors.Join(err, l.Close())
	}
	if f.Site != nil {
		err = errors.Join(err, f.Site.Stop())
	}
	return err
}
