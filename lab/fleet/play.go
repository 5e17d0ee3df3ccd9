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

// Played is what became of a day of started fronts.
type Played struct {
	Fronts    int
	Seed      uint64
	Asked     int
	Ended     map[string]int // works by how they ended
	Most      int            // fronts out at once
	Looks     int
	Served    int64
	Refused   int64
	Failed    int64
	Nowhere   int64
	Crashed   int64
	Lost      int64
	Election  []float64 // seconds without a leader that any front knew, after one was killed
	Happened  []string
	Broken    []string
	FirstLost string `json:",omitempty"`
}

// Revive starts fronts again whose process has ended by itself or was killed from
// outside, once they have been down for a span.
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

// player plays a day.
type player struct {
	f     *Processes
	r     *rand.Rand
	out   Played
	rules map[string]any
	say   func(string)
	began time.Time
	lead  map[uint64]string
	perm  map[uint64]string
	again map[uint64]time.Time // when a front was restarted under a permit
}

// Play has works asked for and carried out by started fronts, under requests, while
// things go wrong for a span; then all is well again, and every work must end.
func Play(o Options, span time.Duration, rate float64, troubles bool, say func(string)) (Played, error) {
	return play(o, rate, say, func(p *player) { p.day(span, troubles) })
}

// PlayScript plays a script on started fronts.
func PlayScript(s *Script, program string, rate float64, say func(string)) (Played, error) {
	if err := s.CheckProcessSteps(); err != nil {
		return Played{}, err
	}
	rules := shortRules()
	rules["hurt_percent"] = 60
	if s.LeaseSpan > 0 {
		rules["alone_s"] = float64(s.LeaseSpan) / 1e6
	}
	o := Options{Program: program, Fronts: s.Fronts, Zones: s.Zones, Seed: s.Seed, UseProxies: true, Rules: rules}
	return play(o, rate, say, func(p *player) { p.script(s) })
}

func play(o Options, rate float64, say func(string), day func(p *player)) (Played, error) {
	f, err := NewProcesses(o)
	if err != nil {
		return Played{}, err
	}
	p := &player{f: f, r: rand.New(rand.NewPCG(o.Seed, 0x91a7)), say: say, began: time.Now(), lead: map[uint64]string{}, perm: map[uint64]string{},
		again: map[uint64]time.Time{}, out: Played{Fronts: o.Fronts, Seed: o.Seed, Ended: map[string]int{}}}
	if err = f.StartAll(); err == nil {
		if err = Await(60*time.Second, f.Settled); err != nil {
			err = fmt.Errorf("the fleet does not come together: %w", err)
		}
	}
	if err != nil {
		return p.out, errors.Join(err, f.Close())
	}
	p.tell("%d fronts have come together", o.Fronts)
	var clients *Clients
	if rate > 0 {
		clients = NewClients(f, rate)
	}
	day(p)
	p.heal()
	p.rest()
	if clients != nil {
		p.out.FirstLost = clients.Stop()
		p.out.Served, p.out.Refused, p.out.Failed = clients.Served.Load(), clients.Refused.Load(), clients.Failed.Load()
		p.out.Nowhere, p.out.Crashed, p.out.Lost = clients.Unreachable.Load(), clients.Crashed.Load(), clients.Lost.Load()
		if p.out.Lost > 0 {
			p.broken("%d requests were lost, first: %s", p.out.Lost, p.out.FirstLost)
		}
	}
	return p.out, f.Close()
}

func (p *player) tell(format string, args ...any) {
	text := fmt.Sprintf("%7.2f  ", time.Since(p.began).Seconds()) + fmt.Sprintf(format, args...)
	p.out.Happened = append(p.out.Happened, text)
	if p.say != nil {
		p.say(text)
	}
}

func (p *player) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if len(p.out.Broken) < 20 {
		p.out.Broken = append(p.out.Broken, text)
	}
	p.tell("BROKEN: %s", text)
}

// trouble is something that goes wrong and is mended later.
type trouble struct {
	at   time.Time
	mend func()
}

// pending is the troubles that are not mended yet.
type pending []trouble

// due mends those whose time has come, in its order.
func (t *pending) due(now time.Time) {
	slices.SortStableFunc(*t, func(a, b trouble) int { return a.at.Compare(b.at) })
	for len(*t) > 0 && now.After((*t)[0].at) {
		(*t)[0].mend()
		*t = (*t)[1:]
	}
}

// all mends what is left.
func (t pending) all() {
	for _, x := range t {
		x.mend()
	}
}

func (p *player) day(span time.Duration, troubles bool) {
	end := time.Now().Add(span)
	nextAsk, nextTrouble := time.Now(), time.Now().Add(3*time.Second)
	var mends pending
	for time.Now().Before(end) {
		now := time.Now()
		if now.After(nextAsk) {
			nextAsk = now.Add(time.Duration(p.r.IntN(6000)) * time.Millisecond)
			p.ask()
		}
		if troubles && now.After(nextTrouble) {
			nextTrouble = now.Add(time.Duration(2000+p.r.IntN(6000)) * time.Millisecond)
			if mend := p.trouble(); mend != nil {
				mends = append(mends, trouble{now.Add(time.Duration(1000+p.r.IntN(9000)) * time.Millisecond), mend})
			}
		}
		mends.due(now)
		p.look()
		p.tend()
		time.Sleep(100 * time.Millisecond)
	}
	mends.all()
}

// script carries out a script's steps when their time has come.
func (p *player) script(s *Script) {
	began := time.Now()
	steps := s.Steps
	var mends pending
	for time.Since(began) < time.Duration(s.Duration)*time.Microsecond {
		now := time.Now()
		for len(steps) > 0 && now.Sub(began) >= time.Duration(steps[0].At)*time.Microsecond {
			p.tell("%s", steps[0])
			if mend := p.step(steps[0]); mend != nil {
				mends = append(mends, trouble{now.Add(time.Duration(steps[0].Duration) * time.Microsecond), mend})
			}
			steps = steps[1:]
		}
		mends.due(now)
		p.look()
		p.tend()
		time.Sleep(50 * time.Millisecond)
	}
	mends.all()
}

// step has one step happen, and tells how it is mended.
func (p *player) step(x Step) (mend func()) {
	var list []*Process
	for _, n := range x.Names {
		if q := p.f.Find(n); q != nil {
			list = append(list, q)
		} else if l := p.f.Leader(); n == "leader" && l != nil {
			list = append(list, l)
		}
	}
	if x.Action == "lose zone" || x.Action == "restart all" {
		for _, q := range p.f.List {
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
		p.out.Asked++
		a := fleet.OperationRequest{Machine: x.Operation.Machine, Box: x.Operation.Kind == maintenance.Box, Zone: x.Operation.Zone, SpanS: float64(x.Operation.Duration) / 1e6, Urgent: x.Operation.Urgent,
			EndsOnRestart: x.Operation.EndsOnRestart}
		at := p.front()
		go func() { _, _ = at.RequestOperation(a) }()
	case "hold":
		order := func(call string) { at := p.front(); go func() { _ = at.Call("FLEET WORK "+call, nil) }() }
		order("HOLD")
		return func() { order("RESUME") }
	case "reset connections":
		p.f.ResetConnections()
	case "part":
		var groups [2][]*Process
		for i, names := range [][]string{x.Names, x.Others} {
			for _, n := range names {
				groups[i] = append(groups[i], p.f.Find(n))
			}
		}
		p.f.Partition(groups[0], groups[1])
		return func() { p.f.Partition() }
	case "mute", "deafen":
		for _, q := range list {
			for _, o := range p.f.List {
				if o == q {
					continue
				}
				if x.Action == "mute" {
					p.f.BlockLink(q, o, true)
				} else {
					p.f.BlockLink(o, q, true)
				}
			}
		}
		return func() { p.f.Partition() }
	case "delay":
		d := time.Duration(x.Span) * time.Microsecond
		each(func(q *Process) { p.f.Delay(q, faultproxy.Settings{Delay: d, Jitter: d / 4}) })()
		return each(func(q *Process) { p.f.Delay(q, faultproxy.Settings{}) })
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
				p.tear(q)
			}
		})()
		return each(p.start)
	}
	return nil
}

// tear has a front's journal end as one that was being written.
func (p *player) tear(x *Process) {
	if file, err := os.OpenFile(x.Journal(), os.O_APPEND|os.O_WRONLY, 0); err == nil {
		_, _ = file.Write([]byte{200, 0, 0, 0, 1, 2, 3})
		_ = file.Close()
	}
}

func (p *player) front() *Process { return p.f.List[p.r.IntN(len(p.f.List))] }

func (p *player) ask() {
	target, at := p.front(), p.front()
	a := fleet.OperationRequest{Machine: target.Name, SpanS: float64(1 + p.r.IntN(10)), Reason: fmt.Sprintf("asking %d", p.out.Asked), EndsOnRestart: p.r.IntN(2) == 0,
		Urgent: p.r.IntN(8) == 0, Importance: p.r.IntN(3)}
	p.out.Asked++
	go func() { _, _ = at.RequestOperation(a) }() // twice for one machine is refused, and so may it be in a part without a majority
}

// trouble has something go wrong, and tells how it is mended.
func (p *player) trouble() (mend func()) {
	x := p.front()
	start := func(q *Process) func() { return func() { p.start(q) } }
	switch p.r.IntN(9) {
	case 0, 1:
		p.tell("%s is killed", x.Name)
		x.Kill()
		return start(x)
	case 2:
		if l := p.f.Leader(); l != nil {
			p.tell("%s, which leads, is killed", l.Name)
			l.Kill()
			return start(l)
		}
	case 3:
		p.tell("%s is stopped", x.Name)
		x.Signal(syscall.SIGSTOP)
		return func() { p.tell("%s goes on", x.Name); x.Signal(syscall.SIGCONT) }
	case 4:
		p.tell("%s hears and is not heard", x.Name)
		for _, q := range p.f.List {
			if q != x {
				p.f.BlockLink(x, q, true)
			}
		}
		return func() { p.tell("all hear all"); p.f.Partition() }
	case 5:
		n := 1 + p.r.IntN(len(p.f.List))
		list := append([]*Process(nil), p.f.List...)
		p.r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		p.tell("parted: %d and %d fronts", n, len(list)-n)
		p.f.Partition(list[:n], list[n:])
		return func() { p.tell("all hear all"); p.f.Partition() }
	case 6:
		d := time.Duration(p.r.IntN(1500)) * time.Millisecond
		p.tell("what %s says comes %v late", x.Name, d)
		p.f.Delay(x, faultproxy.Settings{Delay: d, Jitter: d})
		return func() { p.f.Delay(x, faultproxy.Settings{}) }
	case 7:
		p.tell("all connections are reset")
		p.f.ResetConnections()
	case 8:
		p.tell("%s is killed with a torn end in its journal", x.Name)
		x.Kill()
		p.tear(x)
		return start(x)
	}
	return nil
}

func (p *player) start(x *Process) {
	if err := x.Start(); err != nil {
		p.broken("%s does not start: %v", x.Name, err)
		return
	}
	p.tell("%s is started", x.Name)
}

// look holds the promises against what the fronts show.
func (p *player) look() {
	p.out.Looks++
	outs := 0
	for _, x := range p.f.List {
		if !x.Up() {
			continue
		}
		s, ok := p.ask1(x)
		if !ok {
			continue
		}
		if s.Seat == "leader" {
			if other, ok := p.lead[s.Term]; ok && other != x.Name {
				p.broken("%s and %s lead in term %d", other, x.Name, s.Term)
			}
			p.lead[s.Term] = x.Name
		}
		if s.OutByPermit > 0 {
			outs++
			if m, ok := p.perm[s.OutByPermit]; ok && m != x.Name {
				p.broken("permit %d is %s's and %s's", s.OutByPermit, m, x.Name)
			}
			p.perm[s.OutByPermit] = x.Name
		}
	}
	p.out.Most = max(p.out.Most, outs)
	if outs > 1 { // the laboratory's rules let one go
		p.broken("%d fronts are out under a permit, 1 may be", outs)
	}
}

// ask1 asks a front for its status, and does not wait long for one that is stopped.
func (p *player) ask1(x *Process) (s fleet.Status, ok bool) {
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

// tend does what persons do: what is out is restarted, or said to be done.
func (p *player) tend() {
	var plan []fleet.Operation
	var at *Process
	for _, x := range p.f.List {
		if s, ok := p.ask1(x); ok && s.Seat == "leader" {
			if list, err := x.Plan(); err == nil {
				plan, at = list, x
			}
		}
	}
	for _, w := range plan {
		if w.Phase != "out" || time.Since(p.again[w.Permit]) < 10*time.Second {
			continue
		}
		p.again[w.Permit] = time.Now()
		x := p.f.Find(w.Machine)
		switch {
		case w.EndsOnRestart && x != nil && x.Up():
			p.tell("%s is out under permit %d and restarted", x.Name, w.Permit)
			go func() {
				if err := x.Stop(); err != nil {
					p.tell("%s ended by force: %v", x.Name, err)
				}
				_ = x.Start()
			}()
		case !w.EndsOnRestart:
			p.tell("work %d on %s is said to be done", w.ID, w.Machine)
			id := w.ID
			go func() { _ = at.Call(fmt.Sprintf("FLEET WORK DONE %d", id), nil) }()
		}
	}
}

func (p *player) heal() {
	p.tell("all is well again")
	p.f.Partition()
	for _, x := range p.f.List {
		p.f.Delay(x, faultproxy.Settings{})
		x.Signal(syscall.SIGCONT)
	}
	for _, x := range p.f.List {
		if !x.Up() {
			p.start(x)
		}
	}
}

// rest waits until every work has ended and all hold the same.
func (p *player) rest() {
	time.Sleep(11 * time.Second) // so long an asking may be on its way
	over := func() bool {
		p.look()
		p.tend()
		for _, x := range p.f.List {
			list, err := x.Plan()
			if err != nil || len(list) > 0 {
				return false
			}
		}
		return p.f.Settled()
	}
	if Await(300*time.Second, over) != nil {
		for _, x := range p.f.List {
			s, err := x.Status()
			list, _ := x.Plan()
			p.broken("with contact back %s is not well: %+v, %v, %+v", x.Name, s, err, list)
		}
		return
	}
	var list []fleet.Operation
	if err := p.f.List[0].Call("FLEET WORK LIST", &list); err == nil {
		for _, w := range list {
			p.out.Ended[w.Phase]++
		}
	}
	p.tell("every work has ended")
}
