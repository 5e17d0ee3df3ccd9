package world

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"cherryramp/rules"
)

// Kind says what goes wrong.
type FaultKind string

// The troubles. Those with a length end after it.
const (
	LoseBranch          FaultKind = "lose branch"  // its cache nodes, which come back cold and empty; Silent: nobody hears of it at once
	LoseParents         FaultKind = "lose parents" // a hub's district caches, as above
	LoseServer          FaultKind = "lose server"
	DrainServer         FaultKind = "drain"         // it finishes what it has, is gone after the length, and comes back cold after as long again
	OriginSlow          FaultKind = "origin slower" // X times
	OriginStops         FaultKind = "origin stops"
	PurgeGroups         FaultKind = "purge groups" // a share X of them at once
	PurgeHot            FaultKind = "purge hot"    // so many (X) of the most popular objects, one a tenth of a second
	Scan                FaultKind = "scan"         // a share X of the requests is for what is wanted once
	Surge               FaultKind = "surge"        // X times the rate
	RetryStorm          FaultKind = "storm"        // clients come back at once, whatever they are told
	CutBranch           FaultKind = "cut branch"   // nothing crosses between fronts and the cache nodes there, unheard
	ResetConnections    FaultKind = "reset"        // every connection between fronts and servers, once
	CorruptAnswers      FaultKind = "spoil"        // a share X of the answers
	LoseAnswers         FaultKind = "lose answers" // a share X never comes
	RegisterUnreachable FaultKind = "register unreachable"
	RegisterLate        FaultKind = "register late"     // by X seconds
	KillFront           FaultKind = "kill"              // a front, which starts again after the length
	FreezeBranch        FaultKind = "freeze branch"     // as above, but what is sent meanwhile comes when it ends, as on a link that stood still
	FreezeAnswers       FaultKind = "freeze answers of" // the same, and only on the way back
	RestartFront        FaultKind = "restart"           // a front, told to end as an operator does; it starts again the length after it has ended
	ReloadFront         FaultKind = "reload"            // a front reads its files anew
	FlapServer          FaultKind = "flap"              // a server is told as gone and back, X times, while it runs
)

// Trouble is something that goes wrong.
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

// Label is what a trouble does, without when.
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

// plan has a trouble happen.
func (w *World) plan(t *Fault) error {
	at, end := w.began+t.At, w.began+t.At+t.Duration
	during := func(begin, over func()) {
		w.loop.At(at, begin)
		w.loop.At(end, over)
	}
	if t.At < 0 || t.Duration < 0 {
		return errors.New("it begins or lasts less than nothing")
	}
	switch t.Kind {
	case LoseBranch, LoseParents, LoseServer:
		list, err := w.targets(t)
		if err != nil {
			return err
		}
		during(func() { w.lose(list, t.Silent) }, func() { w.restore(list) })
	case DrainServer:
		s := w.by[t.Target]
		if s == nil || s.kind == originKind {
			return fmt.Errorf("%q is no cache", t.Target)
		}
		w.loop.At(at, func() { w.tell(s, rules.Draining) })
		w.loop.At(end, func() { w.lose([]*server{s}, false) })
		w.loop.At(end+t.Duration, func() { w.restore([]*server{s}) })
	case OriginSlow:
		during(func() { w.originSlow *= t.Amount }, func() { w.originSlow /= t.Amount })
	case OriginStops:
		during(func() { w.origin.die() }, func() { w.origin.start(0) })
	case PurgeGroups:
		w.loop.At(at, func() {
			for g := range groups {
				if w.faults.Float64() < t.Amount {
					w.purge(purge{object: -1, group: uint8(g)})
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
				r := &w.catalog.classes[class].all
				o := r.first + uint32(r.order[i%len(r.order)])
				w.purge(purge{object: int64(o), group: w.catalog.objects[o].group})
			})
		}
	case Scan:
		during(func() { w.scan += t.Amount }, func() { w.scan -= t.Amount })
	case Surge:
		during(func() { w.surge *= t.Amount }, func() { w.surge /= t.Amount })
	case RetryStorm:
		before := w.spec.Retries
		during(func() { w.spec.Retries = RetryPolicy{MaxRetries: before.MaxRetries} }, func() { w.spec.Retries = before })
	case CutBranch:
		zone, err := w.branch(t.Target)
		if err != nil {
			return err
		}
		during(func() { w.cuts[zone] = true; w.doorsIn(zone) }, func() { delete(w.cuts, zone); w.doorsIn(zone) })
	case FreezeBranch, FreezeAnswers:
		zone, err := w.branch(t.Target)
		if err != nil {
			return err
		}
		w.loop.At(at, func() {
			w.thaws[1][zone] = max(w.thaws[1][zone], end)
			if t.Kind == FreezeBranch {
				w.thaws[0][zone] = max(w.thaws[0][zone], end)
			}
		})
	case ResetConnections:
		w.loop.At(at, func() {
			for _, s := range w.servers {
				for _, c := range w.wiresOf(s) {
					c.reset()
				}
			}
		})
	case CorruptAnswers:
		during(func() { w.spoilt += t.Amount }, func() { w.spoilt -= t.Amount })
	case LoseAnswers:
		during(func() { w.lost += t.Amount }, func() { w.lost -= t.Amount })
	case RegisterUnreachable:
		mute := func(mute bool) func() {
			return func() {
				w.eachFront(func(f *Front) {
					f.mute = mute
					f.prog.mute(mute)
				})
			}
		}
		during(mute(true), mute(false))
	case RegisterLate:
		late := Micros(t.Amount * float64(second))
		shift := func(by Micros) func() {
			return func() {
				for _, x := range []*[2]Micros{&w.spec.MemberDelay, &w.spec.PurgeDelay} {
					x[0], x[1] = x[0]+by, x[1]+by
				}
			}
		}
		during(shift(late), shift(-late))
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
				if f.serves {
					f.prog.reload()
				}
			})
		}
	case FlapServer:
		s := w.by[t.Target]
		if s == nil {
			return fmt.Errorf("no server is called %q", t.Target)
		}
		for i := range int(t.Amount) {
			step := t.Duration / Micros(2*max(1, int(t.Amount)))
			w.loop.At(at+Micros(2*i)*step, func() { w.tell(s, rules.Gone) })
			w.loop.At(at+Micros(2*i+1)*step, func() {
				if s.up {
					w.tell(s, rules.Ready)
				}
			})
		}
	default:
		return errors.New("this kind of trouble is not known")
	}
	return nil
}

// Check tells what is wrong with a trouble, in a world that is not to be run.
func (w *World) CheckFault(t *Fault) error { return w.plan(t) }

func (w *World) branch(name string) (zone int, err error) {
	i := slices.IndexFunc(w.spec.Branches, func(b Branch) bool { return b.Name == name })
	if i < 0 {
		return 0, fmt.Errorf("no branch is called %q", name)
	}
	return len(w.spec.Hubs) + i, nil
}

// targets are the servers that a loss takes.
func (w *World) targets(t *Fault) (list []*server, err error) {
	zone, kind := 0, boxKind
	switch t.Kind {
	case LoseServer:
		if s := w.by[t.Target]; s != nil && s.kind != originKind {
			return []*server{s}, nil
		}
		return nil, fmt.Errorf("%q is no cache", t.Target)
	case LoseParents:
		if zone = slices.Index(w.spec.Hubs, t.Target); zone < 0 {
			return nil, fmt.Errorf("no hub is called %q", t.Target)
		}
		kind = parentKind
	default:
		if zone, err = w.branch(t.Target); err != nil {
			return nil, err
		}
	}
	for _, s := range w.servers {
		if s.zone == zone && s.kind == kind {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		return nil, fmt.Errorf("nothing stands at %q", t.Target)
	}
	return list, nil
}

// lose takes servers away; the register tells of it, late.
func (w *World) lose(list []*server, silent bool) {
	for _, s := range list {
		if silent {
			s.vanish()
		} else {
			s.die()
		}
		w.tell(s, rules.Gone)
	}
}

// restore has servers start again, cold and empty.
func (w *World) restore(list []*server) {
	for _, s := range list {
		if s.up {
			continue // another trouble has brought it back
		}
		s.start(w.loop.Now())
		w.tell(s, rules.Ready)
	}
}

// tell has the register tell all fronts of a server, each in its own time.
func (w *World) tell(s *server, state State) {
	s.state = state
	born := s.born
	for _, f := range w.fronts {
		if !f.dead {
			f.later(between(w.faults, w.spec.MemberDelay), func() { f.hearMember(s, state, born) })
		}
	}
}

// purge has all copies of an object or a group go, at each server in its own time.
func (w *World) purge(p purge) {
	p.at = w.loop.Now() / milli * milli
	w.purges = append(w.purges, p)
	for _, s := range w.servers {
		if s.kind != originKind {
			w.after(w.faults.Int64N(w.spec.PurgeSettle), func() { s.keep.purge(p) })
		}
	}
	for _, f := range w.fronts {
		if !f.dead {
			f.later(between(w.faults, w.spec.PurgeDelay), func() { f.hearPurge(p) })
		}
	}
}

// revive starts a front that was killed.
func (f *Front) revive() {
	if f.dead {
		f.start()
	}
}

// lingering is how long clients and answers may still be under way to and from a
// front that has ended, or was told to.
const lingering = 300 * milli

// restart has a front end as an operator does, and start again some time after.
func (f *Front) restart(down Micros) {
	if !f.serves {
		return
	}
	starts := f.starts
	still := func(do func()) func() {
		return func() {
			if f.starts == starts && !f.dead {
				do()
			}
		}
	}
	f.prog.retire(still(func() {
		f.w.after(lingering, still(func() { // an end that is still on its way to its client
			f.kill()
			f.w.after(down, f.revive)
		}))
	}))
}

// Names are what troubles may name in a world: branches, hubs, caches and fronts.
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
