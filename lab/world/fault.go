package world

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"cherryramp/rules"
)

// FaultKind is a kind of fault.
type FaultKind string

// The faults. Those with a duration end after it.
const (
	LoseBranch          FaultKind = "lose branch"  // loses its cache nodes, which return cold and empty; Silent: without connections being reset
	LoseParents         FaultKind = "lose parents" // loses a hub's parents, likewise
	LoseServer          FaultKind = "lose server"
	DrainServer         FaultKind = "drain"         // it finishes open requests, is gone after the duration, and returns cold after the same time again
	OriginSlow          FaultKind = "origin slower" // by the factor Amount
	OriginStops         FaultKind = "origin stops"
	PurgeGroups         FaultKind = "purge groups" // the fraction Amount of them at once
	PurgeHot            FaultKind = "purge hot"    // Amount of the most popular objects, one every 100 ms
	Scan                FaultKind = "scan"         // the fraction Amount of the requests is for objects requested only once
	Surge               FaultKind = "surge"        // multiplies the rate by Amount
	RetryStorm          FaultKind = "storm"        // clients retry at once and ignore Retry-After
	CutBranch           FaultKind = "cut branch"   // traffic between fronts and the cache nodes there is dropped silently
	ResetConnections    FaultKind = "reset"        // every connection between fronts and servers, once
	CorruptAnswers      FaultKind = "spoil"        // the fraction Amount of the answers
	LoseAnswers         FaultKind = "lose answers" // the fraction Amount of the answers
	RegisterUnreachable FaultKind = "register unreachable"
	RegisterLate        FaultKind = "register late"     // by Amount seconds
	KillFront           FaultKind = "kill"              // a front, which starts again after the duration
	FreezeBranch        FaultKind = "freeze branch"     // like CutBranch, but bytes sent meanwhile arrive when it ends, as on a link that stalled
	FreezeAnswers       FaultKind = "freeze answers of" // the same, only from servers to fronts
	RestartFront        FaultKind = "restart"           // a front, stopped as an operator does; it starts again the duration after it has exited
	ReloadFront         FaultKind = "reload"            // a front re-reads its files
	FlapServer          FaultKind = "flap"              // a server is announced as gone and ready again, Amount times, while it runs
)

// Fault is a fault injected into a world.
type Fault struct {
	Kind     FaultKind
	At       Micros // of the day
	Duration Micros
	Target   string // a branch, a hub, a server or a front
	Amount   float64
	Silent   bool
}

func (t Fault) String() string {
	return fmt.Sprintf("at %gs %s for %gs", float64(t.At)/1e6, t.Label(), float64(t.Duration)/1e6)
}

// Label describes a fault without its times.
func (t Fault) Label() string {
	text := string(t.Kind)
	if t.Target != "" {
		text += fmt.Sprintf(" %q", t.Target)
	}
	if t.Amount != 0 {
		text += fmt.Sprintf(" %g", t.Amount)
	}
	if t.Silent {
		text += " silently"
	}
	return text
}

// scheduleFault validates and schedules a fault.
func (w *World) scheduleFault(t *Fault) error {
	at, end := w.start+t.At, w.start+t.At+t.Duration
	during := func(begin, finish func()) {
		w.loop.At(at, begin)
		w.loop.At(end, finish)
	}
	if t.At < 0 || t.Duration < 0 {
		return errors.New("start and duration must not be negative")
	}
	switch t.Kind {
	case LoseBranch, LoseParents, LoseServer:
		list, err := w.lossTargets(t)
		if err != nil {
			return err
		}
		during(func() { w.loseServers(list, t.Silent) }, func() { w.restoreServers(list) })
	case DrainServer:
		s := w.serverByName[t.Target]
		if s == nil || s.kind == originKind {
			return fmt.Errorf("%q is not a cache node or parent", t.Target)
		}
		w.loop.At(at, func() { w.announceMember(s, rules.Draining) })
		w.loop.At(end, func() { w.loseServers([]*server{s}, false) })
		w.loop.At(end+t.Duration, func() { w.restoreServers([]*server{s}) })
	case OriginSlow:
		during(func() { w.originSlowdown *= t.Amount }, func() { w.originSlowdown /= t.Amount })
	case OriginStops:
		during(func() { w.origin.crash() }, func() { w.origin.start(0) })
	case PurgeGroups:
		w.loop.At(at, func() {
			for g := range groups {
				if w.faults.Float64() < t.Amount {
					w.startPurge(purge{object: -1, group: uint8(g)})
				}
			}
		})
	case PurgeHot:
		for i := range int(t.Amount) {
			w.loop.At(at+Micros(i)*100*milli, func() {
				class := 0
				for w.spec.Classes[class].Write {
					class++
				}
				r := &w.catalog.classes[class].shared
				o := r.base + uint32(r.order[i%len(r.order)])
				w.startPurge(purge{object: int64(o), group: w.catalog.objects[o].group})
			})
		}
	case Scan:
		during(func() { w.scanShare += t.Amount }, func() { w.scanShare -= t.Amount })
	case Surge:
		during(func() { w.rateFactor *= t.Amount }, func() { w.rateFactor /= t.Amount })
	case RetryStorm:
		before := w.spec.Retries
		during(func() { w.spec.Retries = RetryPolicy{MaxRetries: before.MaxRetries} }, func() { w.spec.Retries = before })
	case CutBranch:
		zone, err := w.branchZone(t.Target)
		if err != nil {
			return err
		}
		during(func() { w.cutZones[zone] = true; w.updateZoneListeners(zone) }, func() { delete(w.cutZones, zone); w.updateZoneListeners(zone) })
	case FreezeBranch, FreezeAnswers:
		zone, err := w.branchZone(t.Target)
		if err != nil {
			return err
		}
		w.loop.At(at, func() {
			w.frozenUntil[1][zone] = max(w.frozenUntil[1][zone], end)
			if t.Kind == FreezeBranch {
				w.frozenUntil[0][zone] = max(w.frozenUntil[0][zone], end)
			}
		})
	case ResetConnections:
		w.loop.At(at, func() {
			for _, s := range w.servers {
				for _, c := range w.connsToServer(s) {
					c.reset()
				}
			}
		})
	case CorruptAnswers:
		during(func() { w.corruptShare += t.Amount }, func() { w.corruptShare -= t.Amount })
	case LoseAnswers:
		during(func() { w.loseShare += t.Amount }, func() { w.loseShare -= t.Amount })
	case RegisterUnreachable:
		setRegister := func(down bool) func() {
			return func() {
				w.eachFront(func(f *Front) {
					f.registerDown = down
					f.program.setRegisterDown(down)
				})
			}
		}
		during(setRegister(true), setRegister(false))
	case RegisterLate:
		delay := Micros(t.Amount * float64(second))
		shift := func(by Micros) func() {
			return func() {
				for _, x := range []*[2]Micros{&w.spec.MemberDelay, &w.spec.PurgeDelay} {
					x[0], x[1] = x[0]+by, x[1]+by
				}
			}
		}
		during(shift(delay), shift(-delay))
	case KillFront, RestartFront, ReloadFront:
		i := slices.IndexFunc(w.fronts, func(f *Front) bool { return f.name == t.Target })
		if i < 0 {
			return fmt.Errorf("no front is called %q", t.Target)
		}
		switch f := w.fronts[i]; t.Kind {
		case KillFront:
			during(f.kill, f.revive)
		case RestartFront:
			w.loop.At(at, func() { f.restart(t.Duration) })
		default:
			w.loop.At(at, func() {
				if f.serving {
					f.program.reload()
				}
			})
		}
	case FlapServer:
		s := w.serverByName[t.Target]
		if s == nil {
			return fmt.Errorf("no server is called %q", t.Target)
		}
		for i := range int(t.Amount) {
			step := t.Duration / Micros(2*max(1, int(t.Amount)))
			w.loop.At(at+Micros(2*i)*step, func() { w.announceMember(s, rules.Gone) })
			w.loop.At(at+Micros(2*i+1)*step, func() {
				if s.up {
					w.announceMember(s, rules.Ready)
				}
			})
		}
	default:
		return errors.New("unknown kind of fault")
	}
	return nil
}

// CheckFault returns what is wrong with a fault. The world must not be run afterwards,
// since the fault is scheduled.
func (w *World) CheckFault(t *Fault) error { return w.scheduleFault(t) }

func (w *World) branchZone(name string) (zone int, err error) {
	i := slices.IndexFunc(w.spec.Branches, func(b Branch) bool { return b.Name == name })
	if i < 0 {
		return 0, fmt.Errorf("no branch is called %q", name)
	}
	return len(w.spec.Hubs) + i, nil
}

// lossTargets returns the servers that a loss affects.
func (w *World) lossTargets(t *Fault) (list []*server, err error) {
	zone, kind := 0, boxKind
	switch t.Kind {
	case LoseServer:
		if s := w.serverByName[t.Target]; s != nil && s.kind != originKind {
			return []*server{s}, nil
		}
		return nil, fmt.Errorf("%q is not a cache node or parent", t.Target)
	case LoseParents:
		if zone = slices.Index(w.spec.Hubs, t.Target); zone < 0 {
			return nil, fmt.Errorf("no hub is called %q", t.Target)
		}
		kind = parentKind
	default:
		if zone, err = w.branchZone(t.Target); err != nil {
			return nil, err
		}
	}
	for _, s := range w.servers {
		if s.zone == zone && s.kind == kind {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		return nil, fmt.Errorf("no servers to lose at %q", t.Target)
	}
	return list, nil
}

// loseServers stops servers; the register announces it with a delay.
func (w *World) loseServers(list []*server, silent bool) {
	for _, s := range list {
		if silent {
			s.disconnect()
		} else {
			s.crash()
		}
		w.announceMember(s, rules.Gone)
	}
}

// restoreServers restarts servers, cold and empty.
func (w *World) restoreServers(list []*server) {
	for _, s := range list {
		if s.up {
			continue // another fault has restored it
		}
		s.start(w.loop.Now())
		w.announceMember(s, rules.Ready)
	}
}

// announceMember announces a server's state to all fronts, to each with a delay of its
// own.
func (w *World) announceMember(s *server, state State) {
	s.state = state
	startedAt := s.startedAt
	for _, f := range w.fronts {
		if !f.stopped {
			f.notify(between(w.faults, w.spec.MemberDelay), func() { f.notifyMember(s, state, startedAt) })
		}
	}
}

// startPurge purges an object or a group, at each server and front with a delay of its
// own.
func (w *World) startPurge(p purge) {
	p.at = w.loop.Now() / milli * milli
	w.purges = append(w.purges, p)
	for _, s := range w.servers {
		if s.kind != originKind {
			w.after(w.faults.Int64N(w.spec.PurgeSettle), func() { s.cache.purge(p) })
		}
	}
	for _, f := range w.fronts {
		if !f.stopped {
			f.notify(between(w.faults, w.spec.PurgeDelay), func() { f.notifyPurge(p) })
		}
	}
}

// revive starts a front that was killed.
func (f *Front) revive() {
	if f.stopped {
		f.start()
	}
}

// lingerTime is how long clients and answers may still be in transit to and from a
// front that has exited or was told to.
const lingerTime = 300 * milli

// restart stops a front as an operator does and starts it again later.
func (f *Front) restart(down Micros) {
	if !f.serving {
		return
	}
	starts := f.starts
	ifSameRun := func(do func()) func() {
		return func() {
			if f.starts == starts && !f.stopped {
				do()
			}
		}
	}
	f.program.stop(ifSameRun(func() {
		f.w.after(lingerTime, ifSameRun(func() { // its last answers may still be in transit to the client
			f.kill()
			f.w.after(down, f.revive)
		}))
	}))
}

// FaultTargets returns the names that faults may target: branches, hubs, caches and
// fronts.
func (w *World) FaultTargets() (branches, hubs, caches, fronts []string) {
	for _, b := range w.spec.Branches {
		branches = append(branches, b.Name)
	}
	for _, s := range w.servers {
		if s.kind != originKind {
			caches = append(caches, s.name)
		}
		if s.kind == parentKind {
			hub, _, _ := strings.Cut(s.name, ".")
			if !slices.Contains(hubs, hub) {
				hubs = append(hubs, hub)
			}
		}
	}
	for _, f := range w.fronts {
		fronts = append(fronts, f.name)
	}
	return branches, hubs, caches, fronts
}
