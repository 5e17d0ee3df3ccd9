package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"time"

	"cherryramp/internal/decide/maintenance"
	"cherryramp/internal/fleet"
	"cherryramp/lab/faultproxy"
)

// Played is the outcome of a run with started fronts. It is printed under its field names.
type Played struct {
	Fronts    int
	Seed      uint64
	Asked     int
	Ended     map[string]int // operations by final phase
	Most      int            // most fronts out of service at once
	Looks     int
	Served    int64
	Refused   int64
	Failed    int64
	Nowhere   int64
	Crashed   int64
	Lost      int64
	Election  []float64 // seconds without a known leader after a leader was killed
	Happened  []string
	Broken    []string
	FirstLost string `json:",omitempty"`
}

// RestartEnded restarts fronts whose process has exited or was killed from outside, after
// a delay.
func (f *Processes) RestartEnded(after time.Duration) {
	for _, p := range f.List {
		p.mu.Lock()
		r := p.running
		p.mu.Unlock()
		if r == nil {
			continue
		}
		select {
		case <-r.Ended():
			p.Interruptions.Add(1)
			p.mu.Lock()
			p.running = nil
			p.mu.Unlock()
			time.AfterFunc(after, func() { _ = p.Start() })
		default:
		}
	}
}

// player runs a day on started fronts: operations, faults and checks.
type player struct {
	processes   *Processes
	random      *rand.Rand
	result      Played
	rules       map[string]any
	onEvent     func(string)
	startedAt   time.Time
	leaders     map[uint64]string
	permits     map[uint64]string
	restartedAt map[uint64]time.Time // last restart or completion, by permit
}

// Play requests operations at started fronts, under client load, and injects faults for
// the span; then all faults end, and every operation must end.
func Play(o Options, span time.Duration, rate float64, faults bool, onEvent func(string)) (Played, error) {
	return play(o, rate, onEvent, func(p *player) { p.runRandom(span, faults) })
}

// PlayScript runs a script on started fronts.
func PlayScript(s *Script, program string, rate float64, onEvent func(string)) (Played, error) {
	if err := s.CheckProcessSteps(); err != nil {
		return Played{}, err
	}
	rules := shortRules()
	rules["hurt_percent"] = 60
	if s.LeaseSpan > 0 {
		rules["alone_s"] = float64(s.LeaseSpan) / 1e6
	}
	o := Options{Program: program, Fronts: s.Fronts, Zones: s.Zones, Seed: s.Seed, UseProxies: true, Rules: rules}
	return play(o, rate, onEvent, func(p *player) { p.runScript(s) })
}

func play(o Options, rate float64, onEvent func(string), day func(p *player)) (Played, error) {
	f, err := NewProcesses(o)
	if err != nil {
		return Played{}, err
	}
	p := &player{processes: f, random: rand.New(rand.NewPCG(o.Seed, 0x91a7)), onEvent: onEvent, startedAt: time.Now(), leaders: map[uint64]string{}, permits: map[uint64]string{},
		restartedAt: map[uint64]time.Time{}, result: Played{Fronts: o.Fronts, Seed: o.Seed, Ended: map[string]int{}}}
	if err = f.StartAll(); err == nil {
		if err = Await(60*time.Second, f.Settled); err != nil {
			err = fmt.Errorf("the fleet does not settle: %w", err)
		}
	}
	if err != nil {
		return p.result, errors.Join(err, f.Close())
	}
	p.logf("%d fronts have formed the fleet", o.Fronts)
	var clients *Clients
	if rate > 0 {
		clients = NewClients(f, rate)
	}
	day(p)
	p.endFaults()
	p.awaitIdle()
	if clients != nil {
		p.result.FirstLost = clients.Stop()
		p.result.Served, p.result.Refused, p.result.Failed = clients.Served.Load(), clients.Refused.Load(), clients.Failed.Load()
		p.result.Nowhere, p.result.Crashed, p.result.Lost = clients.Unreachable.Load(), clients.Crashed.Load(), clients.Lost.Load()
		if p.result.Lost > 0 {
			p.violation("%d requests were lost, the first: %s", p.result.Lost, p.result.FirstLost)
		}
	}
	return p.result, f.Close()
}

func (p *player) logf(format string, args ...any) {
	text := fmt.Sprintf("%7.2f  ", time.Since(p.startedAt).Seconds()) + fmt.Sprintf(format, args...)
	p.result.Happened = append(p.result.Happened, text)
	if p.onEvent != nil {
		p.onEvent(text)
	}
}

func (p *player) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if len(p.result.Broken) < 20 {
		p.result.Broken = append(p.result.Broken, text)
	}
	p.logf("BROKEN: %s", text)
}

// fault is an injected fault that ends at a given time.
type fault struct {
	endsAt time.Time
	undo   func()
}

// activeFaults are the faults that have not ended yet.
type activeFaults []fault

// undoDue ends the faults whose time has come, in order of time.
func (t *activeFaults) undoDue(now time.Time) {
	slices.SortStableFunc(*t, func(a, b fault) int { return a.endsAt.Compare(b.endsAt) })
	for len(*t) > 0 && now.After((*t)[0].endsAt) {
		(*t)[0].undo()
		*t = (*t)[1:]
	}
}

// undoAll ends the remaining faults.
func (t activeFaults) undoAll() {
	for _, x := range t {
		x.undo()
	}
}

func (p *player) runRandom(span time.Duration, faults bool) {
	end := time.Now().Add(span)
	nextRequest, nextFault := time.Now(), time.Now().Add(3*time.Second)
	var active activeFaults
	for time.Now().Before(end) {
		now := time.Now()
		if now.After(nextRequest) {
			nextRequest = now.Add(time.Duration(p.random.IntN(6000)) * time.Millisecond)
			p.requestOperation()
		}
		if faults && now.After(nextFault) {
			nextFault = now.Add(time.Duration(2000+p.random.IntN(6000)) * time.Millisecond)
			if undo := p.injectFault(); undo != nil {
				active = append(active, fault{now.Add(time.Duration(1000+p.random.IntN(9000)) * time.Millisecond), undo})
			}
		}
		active.undoDue(now)
		p.observe()
		p.completeOperations()
		time.Sleep(100 * time.Millisecond)
	}
	active.undoAll()
}

// runScript executes the steps of a script at their times.
func (p *player) runScript(s *Script) {
	began := time.Now()
	steps := s.Steps
	var active activeFaults
	for time.Since(began) < time.Duration(s.Duration)*time.Microsecond {
		now := time.Now()
		for len(steps) > 0 && now.Sub(began) >= time.Duration(steps[0].At)*time.Microsecond {
			p.logf("%s", steps[0])
			if undo := p.runStep(steps[0]); undo != nil {
				active = append(active, fault{now.Add(time.Duration(steps[0].Duration) * time.Microsecond), undo})
			}
			steps = steps[1:]
		}
		active.undoDue(now)
		p.observe()
		p.completeOperations()
		time.Sleep(50 * time.Millisecond)
	}
	active.undoAll()
}

// runStep executes a step and returns the function that ends it, or nil.
func (p *player) runStep(x Step) (undo func()) {
	var list []*Process
	for _, n := range x.Names {
		if q := p.processes.Find(n); q != nil {
			list = append(list, q)
		} else if l := p.processes.Leader(); n == "leader" && l != nil {
			list = append(list, l)
		}
	}
	if x.Action == "lose zone" || x.Action == "restart all" {
		for _, q := range p.processes.List {
			if x.Action == "restart all" || q.Zone == x.Names[0] {
				list = append(list, q)
			}
		}
	}
	each := func(do func(q *Process)) func() {
		return func() {
			for _, q := range list {
				do(q)
			}
		}
	}
	switch x.Action {
	case "ask":
		p.result.Asked++
		request := fleet.OperationRequest{Machine: x.Operation.Machine, Box: x.Operation.Kind == maintenance.Box, Zone: x.Operation.Zone, SpanS: float64(x.Operation.Duration) / 1e6, Urgent: x.Operation.Urgent,
			EndsOnRestart: x.Operation.EndsOnRestart}
		at := p.randomFront()
		go func() { _, _ = at.RequestOperation(request) }()
	case "hold":
		order := func(call string) { at := p.randomFront(); go func() { _ = at.Call("FLEET WORK "+call, nil) }() }
		order("HOLD")
		return func() { order("RESUME") }
	case "reset connections":
		p.processes.ResetConnections()
	case "part":
		var groups [2][]*Process
		for i, names := range [][]string{x.Names, x.Others} {
			for _, n := range names {
				groups[i] = append(groups[i], p.processes.Find(n))
			}
		}
		p.processes.Partition(groups[0], groups[1])
		return func() { p.processes.Partition() }
	case "mute", "deafen":
		for _, q := range list {
			for _, o := range p.processes.List {
				if o == q {
					continue
				}
				if x.Action == "mute" {
					p.processes.BlockLink(q, o, true)
				} else {
					p.processes.BlockLink(o, q, true)
				}
			}
		}
		return func() { p.processes.Partition() }
	case "delay":
		d := time.Duration(x.Span) * time.Microsecond
		each(func(q *Process) { p.processes.Delay(q, faultproxy.Settings{Delay: d, Jitter: d / 4}) })()
		return each(func(q *Process) { p.processes.Delay(q, faultproxy.Settings{}) })
	case "stop":
		each(func(q *Process) { q.Signal(syscall.SIGSTOP) })()
		return each(func(q *Process) { q.Signal(syscall.SIGCONT) })
	case "kill", "lose zone", "restart all", "wipe", "tear":
		each(func(q *Process) {
			q.Kill()
			if x.Action == "wipe" {
				_ = q.Wipe()
			}
			if x.Action == "tear" {
				p.tearJournal(q)
			}
		})()
		return each(p.startFront)
	}
	return nil
}

// tearJournal appends an incomplete record to a front's journal, as a crash during a write
// leaves it.
func (p *player) tearJournal(x *Process) {
	if file, err := os.OpenFile(x.Journal(), os.O_APPEND|os.O_WRONLY, 0); err == nil {
		_, _ = file.Write([]byte{200, 0, 0, 0, 1, 2, 3})
		_ = file.Close()
	}
}

func (p *player) randomFront() *Process {
	return p.processes.List[p.random.IntN(len(p.processes.List))]
}

func (p *player) requestOperation() {
	target, at := p.randomFront(), p.randomFront()
	request := fleet.OperationRequest{Machine: target.Name, SpanS: float64(1 + p.random.IntN(10)), Reason: fmt.Sprintf("asking %d", p.result.Asked), EndsOnRestart: p.random.IntN(2) == 0,
		Urgent: p.random.IntN(8) == 0, Importance: p.random.IntN(3)}
	p.result.Asked++
	go func() { _, _ = at.RequestOperation(request) }() // refused for a machine with an open operation, and without a majority
}

// injectFault injects a random fault and returns the function that ends it, or nil.
func (p *player) injectFault() (undo func()) {
	x := p.randomFront()
	start := func(q *Process) func() { return func() { p.startFront(q) } }
	switch p.random.IntN(9) {
	case 0, 1:
		p.logf("%s is killed", x.Name)
		x.Kill()
		return start(x)
	case 2:
		if l := p.processes.Leader(); l != nil {
			p.logf("%s, the leader, is killed", l.Name)
			l.Kill()
			return start(l)
		}
	case 3:
		p.logf("%s is suspended", x.Name)
		x.Signal(syscall.SIGSTOP)
		return func() { p.logf("%s is resumed", x.Name); x.Signal(syscall.SIGCONT) }
	case 4:
		p.logf("%s receives but can't send", x.Name)
		for _, q := range p.processes.List {
			if q != x {
				p.processes.BlockLink(x, q, true)
			}
		}
		return func() { p.logf("connectivity restored"); p.processes.Partition() }
	case 5:
		n := 1 + p.random.IntN(len(p.processes.List))
		list := append([]*Process(nil), p.processes.List...)
		p.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		p.logf("partitioned: %d and %d fronts", n, len(list)-n)
		p.processes.Partition(list[:n], list[n:])
		return func() { p.logf("connectivity restored"); p.processes.Partition() }
	case 6:
		d := time.Duration(p.random.IntN(1500)) * time.Millisecond
		p.logf("messages of %s are delayed by %v", x.Name, d)
		p.processes.Delay(x, faultproxy.Settings{Delay: d, Jitter: d})
		return func() { p.processes.Delay(x, faultproxy.Settings{}) }
	case 7:
		p.logf("all connections are reset")
		p.processes.ResetConnections()
	case 8:
		p.logf("%s is killed, with a torn end in its journal", x.Name)
		x.Kill()
		p.tearJournal(x)
		return start(x)
	}
	return nil
}

func (p *player) startFront(x *Process) {
	if err := x.Start(); err != nil {
		p.violation("%s does not start: %v", x.Name, err)
		return
	}
	p.logf("%s is started", x.Name)
}

// observe checks the invariants against the status of all running fronts.
func (p *player) observe() {
	p.result.Looks++
	out := 0
	for _, x := range p.processes.List {
		if !x.Up() {
			continue
		}
		s, ok := p.status(x)
		if !ok {
			continue
		}
		if s.Seat == "leader" {
			if other, ok := p.leaders[s.Term]; ok && other != x.Name {
				p.violation("%s and %s are both leaders in term %d", other, x.Name, s.Term)
			}
			p.leaders[s.Term] = x.Name
		}
		if s.OutByPermit > 0 {
			out++
			if m, ok := p.permits[s.OutByPermit]; ok && m != x.Name {
				p.violation("permit %d was issued to both %s and %s", s.OutByPermit, m, x.Name)
			}
			p.permits[s.OutByPermit] = x.Name
		}
	}
	p.result.Most = max(p.result.Most, out)
	if out > 1 { // shortRules allow one
		p.violation("%d fronts are out under a permit, at most 1 allowed", out)
	}
}

// status queries a front's status with a timeout of 1 s, since a suspended front doesn't
// answer.
func (p *player) status(x *Process) (s fleet.Status, ok bool) {
	type answer struct {
		s   fleet.Status
		err error
	}
	c := make(chan answer, 1)
	go func() { s, err := x.Status(); c <- answer{s, err} }()
	select {
	case a := <-c:
		return a.s, a.err == nil
	case <-time.After(time.Second):
		return s, false
	}
}

// completeOperations acts as the operators: it restarts fronts that are out, or marks
// their operations as done.
func (p *player) completeOperations() {
	var plan []fleet.Operation
	var at *Process
	for _, x := range p.processes.List {
		if s, ok := p.status(x); ok && s.Seat == "leader" {
			if list, err := x.Plan(); err == nil {
				plan, at = list, x
			}
		}
	}
	for _, w := range plan {
		if w.Phase != "out" || time.Since(p.restartedAt[w.Permit]) < 10*time.Second {
			continue
		}
		p.restartedAt[w.Permit] = time.Now()
		x := p.processes.Find(w.Machine)
		switch {
		case w.EndsOnRestart && x != nil && x.Up():
			p.logf("%s is out under permit %d and is restarted", x.Name, w.Permit)
			go func() {
				if err := x.Stop(); err != nil {
					p.logf("%s had to be killed: %v", x.Name, err)
				}
				_ = x.Start()
			}()
		case !w.EndsOnRestart:
			p.logf("operation %d on %s is marked as done", w.ID, w.Machine)
			id := w.ID
			go func() { _ = at.Call(fmt.Sprintf("FLEET WORK DONE %d", id), nil) }()
		}
	}
}

func (p *player) endFaults() {
	p.logf("all faults end")
	p.processes.Partition()
	for _, x := range p.processes.List {
		p.processes.Delay(x, faultproxy.Settings{})
		x.Signal(syscall.SIGCONT)
	}
	for _, x := range p.processes.List {
		if !x.Up() {
			p.startFront(x)
		}
	}
}

// awaitIdle waits until every operation has ended and the fleet has settled.
func (p *player) awaitIdle() {
	time.Sleep(11 * time.Second) // a request may be under way for that long
	idle := func() bool {
		p.observe()
		p.completeOperations()
		for _, x := range p.processes.List {
			list, err := x.Plan()
			if err != nil || len(list) > 0 {
				return false
			}
		}
		return p.processes.Settled()
	}
	if Await(300*time.Second, idle) != nil {
		for _, x := range p.processes.List {
			s, err := x.Status()
			list, _ := x.Plan()
			p.violation("with connectivity restored %s has not settled: status %+v, error %v, operations %+v", x.Name, s, err, list)
		}
		return
	}
	var list []fleet.Operation
	if err := p.processes.List[0].Call("FLEET WORK LIST", &list); err == nil {
		for _, w := range list {
			p.result.Ended[w.Phase]++
		}
	}
	p.logf("every operation has ended")
}
