package world

import "fmt"

// Property is what a front must guarantee under all faults.
type Property string

// The properties. Their checkers know what happened in the world and what each front
// was told and when, but nothing of how fronts decide.
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

// Properties lists all properties.
var Properties = []Property{AnswerInTime, RunsOnce, RefusedNotRun, NoSendToDraining, NoColdOverload, NoPurgedCopy, CorrectContent, ValidCommands, BoundedResources}

// Mutation is a deliberate fault in a front or its surroundings. Each shows that a
// checker detects the violation it is meant for.
type Mutation string

// The mutations; the map Mutations has the property that each violates.
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
	ChangeKeys            Mutation = "repeats go under another key" // detected only on a site with keyed classes
)

// Mutations has the property that each mutation violates.
var Mutations = map[Mutation]Property{DropRefusals: AnswerInTime, DropFailures: AnswerInTime, DuplicateAnswers: AnswerInTime, DuplicateWrites: RunsOnce, ReportFailedAsRefused: RefusedNotRun,
	IgnoreDrains: NoSendToDraining, IgnorePurges: NoPurgedCopy, TreatColdAsWarm: NoColdOverload, WrongBody: CorrectContent, UnboundedCalls: BoundedResources}

// Violation is a property that was violated.
type Violation struct {
	Promise Property // stored under this name
	At      Micros   // of the day
	Front   string
	Text    string
}

func (v Violation) String() string {
	return fmt.Sprintf("%8.3f s  %s: %s: %s", float64(v.At)/1e6, v.Front, v.Promise, v.Text)
}

// maxViolations is the number of violations that are kept; further ones are only
// counted.
const maxViolations = 100

func (w *World) reportViolation(p Property, f *Front, text string) {
	w.stats.Broken[p]++
	if len(w.violations) < maxViolations {
		w.violations = append(w.violations, Violation{p, w.loop.Now() - w.start, f.name, text})
	}
}

// checkBounds periodically checks the resources that fronts hold.
func (w *World) checkBounds() {
	for _, f := range w.fronts {
		if !f.serving {
			continue
		}
		held, kb, open := f.program.resources()
		if w.Mutation == UnboundedCalls {
			held += 10 * w.spec.MaxHeld
		}
		if w.sockets != nil && kb > w.sockets.MemoryMB<<10 {
			w.reportViolation(BoundedResources, f, fmt.Sprintf("%d KB resident, limit %d MB", kb, w.sockets.MemoryMB))
		}
		if w.sockets != nil && open > descriptors {
			w.reportViolation(BoundedResources, f, fmt.Sprintf("%d descriptors, limit %d", open, descriptors))
		}
		// Calls that have arrived and are refused in the same moment are counted as held.
		if held > w.spec.MaxHeld+64 {
			w.reportViolation(BoundedResources, f, fmt.Sprintf("%d calls held, limit %d", held, w.spec.MaxHeld))
		}
		w.stats.MostHeld = max(w.stats.MostHeld, held)
		if now := w.loop.Now(); now < w.end {
			x := w.second(now)
			x.Held, x.MemoryKB, x.Descriptors = max(x.Held, held), max(x.MemoryKB, kb), max(x.Descriptors, open)
		}
	}
	if w.loop.Now() < w.end {
		w.after(250*milli, w.checkBounds)
	}
}
