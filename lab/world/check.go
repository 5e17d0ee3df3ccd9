package world

import "fmt"

// Promise is what a front must keep, whatever happens.
type Property string

// The promises. Their checkers know what happened in the world and what each front
// was told and when, and nothing of how fronts decide.
const (
	AnswerInTime     Property = "one whole final answer in time"
	RunsOnce         Property = "what must not run twice runs once"
	RefusedNotRun    Property = "what is refused has surely not run"
	NoSendToDraining Property = "nothing new to a server told of as draining or gone"
	NoColdOverload   Property = "no cold server is pushed over"
	NoPurgedCopy     Property = "no copy from before a purge"
	CorrectContent   Property = "what is answered is what was asked for, and not too old"
	ValidCommands    Property = "commands that servers can take"
	BoundedResources Property = "what a front holds is bounded"
)

// Promises are all of them.
var Properties = []Property{AnswerInTime, RunsOnce, RefusedNotRun, NoSendToDraining, NoColdOverload, NoPurgedCopy, CorrectContent, ValidCommands, BoundedResources}

// Mutation is a front, or what stands round it, broken on purpose: each shows that
// a checker sees what it is there for.
type Mutation string

// The mutations, and the promise that each breaks.
const (
	NoMutation            Mutation = ""
	DropRefusals          Mutation = "no answer to what is refused"
	DropFailures          Mutation = "no answer to what failed"
	DuplicateAnswers      Mutation = "two answers"
	DuplicateWrites       Mutation = "payouts are sent twice"
	ReportFailedAsRefused Mutation = "what failed is called refused"
	IgnoreDrains          Mutation = "drains and departures are not heard"
	IgnorePurges          Mutation = "purges are not heard"
	TreatColdAsWarm       Mutation = "cold servers are taken for warm"
	WrongBody             Mutation = "bodies are mixed up"
	UnboundedCalls        Mutation = "calls are held without a bound"
	ChangeKeys            Mutation = "repeats go under another key" // seen on a site with keyed classes alone
)

// Mutations tells which promise each mutation breaks.
var Mutations = map[Mutation]Property{DropRefusals: AnswerInTime, DropFailures: AnswerInTime, DuplicateAnswers: AnswerInTime, DuplicateWrites: RunsOnce, ReportFailedAsRefused: RefusedNotRun,
	IgnoreDrains: NoSendToDraining, IgnorePurges: NoPurgedCopy, TreatColdAsWarm: NoColdOverload, WrongBody: CorrectContent, UnboundedCalls: BoundedResources}

// Violation is a promise that was not kept.
type Violation struct {
	Promise Property
	At      Micros // of the day
	Front   string
	Text    string
}

func (v Violation) String() string {
	return fmt.Sprintf("%8.3f s  %s: %s: %s", float64(v.At)/1e6, v.Front, v.Promise, v.Text)
}

// mostViolations is what is kept of them; the rest is counted.
const mostViolations = 100

func (w *World) broken(p Property, f *Front, text string) {
	w.stats.Broken[p]++
	if len(w.violations) < mostViolations {
		w.violations = append(w.violations, Violation{p, w.loop.Now() - w.began, f.name, text})
	}
}

// bounds looks now and then at what fronts hold.
func (w *World) bounds() {
	for _, f := range w.fronts {
		if !f.serves {
			continue
		}
		held, kb, open := f.prog.held()
		if w.Mutation == UnboundedCalls {
			held += 10 * w.spec.MaxHeld
		}
		if w.sockets != nil && kb > w.sockets.MemoryMB<<10 {
			w.broken(BoundedResources, f, fmt.Sprintf("%d KB resident, of %d MB that it has", kb, w.sockets.MemoryMB))
		}
		if w.sockets != nil && open > descriptors {
			w.broken(BoundedResources, f, fmt.Sprintf("%d descriptors, of %d that it has", open, descriptors))
		}
		// Calls that came and are to be refused in the same moment count as held.
		if held > w.spec.MaxHeld+64 {
			w.broken(BoundedResources, f, fmt.Sprintf("%d calls, of %d that it may hold", held, w.spec.MaxHeld))
		}
		w.stats.MostHeld = max(w.stats.MostHeld, held)
		if now := w.loop.Now(); now < w.ends {
			x := w.second(now)
			x.Held, x.MemoryKB, x.Descriptors = max(x.Held, held), max(x.MemoryKB, kb), max(x.Descriptors, open)
		}
	}
	if w.loop.Now() < w.ends {
		w.after(250*milli, w.bounds)
	}
}
