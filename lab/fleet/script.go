package fleet

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"cherryramp/internal/decide/maintenance"
	"cherryramp/internal/decide/statemachine"
)

// Script is a scenario in the laboratory's script language, for started fronts or for
// virtual time:
//
//	name "the leader dies while a zone is away"
//	fronts 5 zones 3 run 60s seed 7 alone 5s
//	at 2s ask "n1" for 10s
//	at 2s ask box "s-0" for 5s urgent
//	at 3s kill leader for 4s
//	from 5s part "n0" "n1" from "n2" "n3" "n4" for 10s
//	from 6s mute "n2" for 3s           # it receives and can't send; deafen: the reverse
//	from 8s stop "n3" for 9s           # SIGSTOP, then SIGCONT
//	at 12s lose zone "z0" for 5s
//	from 20s delay "n1" 800ms for 5s
//	at 25s reset connections
//	at 30s tear "n2" for 2s            # killed, with a torn end in its journal
//	at 33s wipe "n4" for 2s            # killed, its disk emptied
//	at 40s restart all
//	at 45s hold for 5s
//	from 50s fill "n1" for 3s          # disk full; this and those below in virtual time only
//	from 50s slow "n1" 700ms for 5s    # slow disk
//	from 50s lose 20% of messages for 5s
//	from 50s double 20% of messages for 5s
//	at 50s clock "n1" 110%             # clock speed
//
// A killed front is started again after the given duration. After the run all faults end,
// and every operation must end.
type Script struct {
	Name      string
	Fronts    int
	Zones     int
	Seed      uint64
	LeaseSpan Micros
	Duration  Micros
	Steps     []Step
}

// Step is one action of a script.
type Step struct {
	At, Duration Micros
	Action       string
	Names        []string // fronts; "leader" is the leader at that time
	Others       []string
	Span         Micros
	Fraction     float64
	Operation    *maintenance.Operation
	where        lexer.Position
}

// String returns the step in the script language.
func (s Step) String() string {
	text := fmt.Sprintf("at %s %s", span(s.At), s.Action)
	quote := func(names []string) {
		for _, n := range names {
			if n == "leader" {
				text += " leader"
			} else {
				text += fmt.Sprintf(" %q", n)
			}
		}
	}
	switch {
	case s.Operation != nil && s.Operation.Kind == maintenance.Box:
		text += fmt.Sprintf(" box %q", s.Operation.Machine)
	case s.Operation != nil:
		text += fmt.Sprintf(" %q", s.Operation.Machine)
	case s.Action == "lose zone":
		quote(s.Names)
	case s.Fraction > 0 && s.Action == "clock":
		quote(s.Names)
		text += fmt.Sprintf(" %g%%", 100*s.Fraction)
	case s.Fraction > 0:
		text += fmt.Sprintf(" %g%% of messages", 100*s.Fraction)
	default:
		quote(s.Names)
	}
	if s.Action == "part" {
		text += " from"
		quote(s.Others)
	}
	if s.Span > 0 {
		text += " " + span(s.Span)
	}
	if s.Duration > 0 {
		text += " for " + span(s.Duration)
	}
	if s.Operation != nil && s.Operation.Urgent {
		text += " urgent"
	}
	if s.Operation != nil && s.Operation.EndsOnRestart {
		text += " until restart"
	}
	return text
}

func span(us Micros) string { return strconv.FormatFloat(float64(us)/1000, 'f', -1, 64) + "ms" }

// String returns the script in the script language.
func (s *Script) String() string {
	text := fmt.Sprintf("name %q\nfronts %d zones %d run %s seed %d", s.Name, s.Fronts, s.Zones, span(s.Duration), s.Seed)
	if s.LeaseSpan > 0 {
		text += " alone " + span(s.LeaseSpan)
	}
	for _, x := range s.Steps {
		text += "\n" + x.String()
	}
	return text + "\n"
}

type scriptFile struct {
	Statements []*scriptLine `parser:"@@*"`
}

type scriptLine struct {
	Pos    lexer.Position
	Name   *string     `parser:"  'name' @String"`
	Fronts *int        `parser:"| 'fronts' @Number"`
	Zones  *int        `parser:"| 'zones' @Number"`
	Seed   *uint64     `parser:"| 'seed' @Number"`
	Run    *scriptSpan `parser:"| 'run' @Span"`
	Alone  *scriptSpan `parser:"| 'alone' @Span"`
	Step   *scriptStep `parser:"| ('at'|'from') @@"`
}

type scriptStep struct {
	Pos     lexer.Position
	At      scriptSpan  `parser:"@Span"`
	Ask     *scriptAsk  `parser:"( 'ask' @@"`
	Part    *scriptPart `parser:"| 'part' @@"`
	Zone    *string     `parser:"| 'lose' ( 'zone' @String"`
	Loss    *percent    `parser:"          | @Percent 'of' 'messages' )"`
	Double  *percent    `parser:"| 'double' @Percent 'of' 'messages'"`
	Reset   bool        `parser:"| @('reset' 'connections')"`
	Restart bool        `parser:"| @('restart' 'all')"`
	Hold    bool        `parser:"| @'hold'"`
	What    string      `parser:"| @('kill'|'stop'|'wipe'|'tear'|'mute'|'deafen'|'delay'|'fill'|'slow'|'clock')"`
	Leader  bool        `parser:"  ( @'leader'"`
	Names   []string    `parser:"  | @String+ )"`
	Span    *scriptSpan `parser:"  ( @Span"`
	Speed   *percent    `parser:"  | @Percent )? )"`
	For     *scriptSpan `parser:"('for' @Span)?"`
	Urgent  bool        `parser:"@'urgent'?"`
	Until   bool        `parser:"@('until' 'restart')?"`
}

type scriptAsk struct {
	Box  bool   `parser:"@'box'?"`
	Name string `parser:"@String"`
}

type scriptPart struct {
	One   []string `parser:"@String+ 'from'"`
	Other []string `parser:"@String+"`
}

type scriptSpan Micros

// Capture implements participle.Capture.
func (s *scriptSpan) Capture(v []string) error {
	d, err := time.ParseDuration(v[0])
	*s = scriptSpan(d.Microseconds())
	return err
}

type percent float64

// Capture implements participle.Capture.
func (p *percent) Capture(v []string) error {
	x, err := strconv.ParseFloat(strings.TrimSuffix(v[0], "%"), 64)
	*p = percent(x / 100)
	return err
}

var scriptParser = participle.MustBuild[scriptFile](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Comment", Pattern: `#[^\n]*`},
		{Name: "String", Pattern: `"[^"\n]*"`},
		{Name: "Span", Pattern: `\d+(\.\d+)?(ms|s|m)\b`},
		{Name: "Percent", Pattern: `\d+(\.\d+)?%`},
		{Name: "Number", Pattern: `\d+`},
		{Name: "Word", Pattern: `[A-Za-z][A-Za-z-]*`},
		{Name: "Space", Pattern: `\s+`},
	})),
	participle.Elide("Comment", "Space"), participle.Unquote("String"), participle.UseLookahead(3))

// ErrVirtualOnly reports a step that started fronts don't support.
var ErrVirtualOnly = errors.New("only supported in virtual time")

// ReadScript reads a script from a file.
func ReadScript(path string) (*Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseScript(path, string(text))
}

// ParseScript parses a script; errors contain the name, line and column.
func ParseScript(name, text string) (*Script, error) {
	f, err := scriptParser.ParseString(name, text)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	s := &Script{Name: name, Fronts: 5, Zones: 3, Seed: 1, Duration: 60 * Second}
	for _, x := range f.Statements {
		switch {
		case x.Name != nil:
			s.Name = *x.Name
		case x.Fronts != nil:
			s.Fronts = *x.Fronts
		case x.Zones != nil:
			s.Zones = *x.Zones
		case x.Seed != nil:
			s.Seed = *x.Seed
		case x.Run != nil:
			s.Duration = Micros(*x.Run)
		case x.Alone != nil:
			s.LeaseSpan = Micros(*x.Alone)
		case x.Step != nil:
			s.Steps = append(s.Steps, x.Step.step())
		}
	}
	if s.Fronts < 1 || s.Fronts > 300 || s.Zones < 1 || s.Duration < Second || s.LeaseSpan != 0 && s.LeaseSpan < Second {
		return nil, fmt.Errorf("fleet: %s: allowed are fronts 1 to 300, at least 1 zone, and run and alone of at least 1s", name)
	}
	for _, x := range s.Steps {
		if err := s.checkStep(x); err != nil {
			return nil, fmt.Errorf("fleet: %s: %w", x.where, err)
		}
	}
	slices.SortStableFunc(s.Steps, func(a, b Step) int { return int(a.At - b.At) })
	return s, nil
}

func (x *scriptStep) step() Step {
	s := Step{At: Micros(x.At), Action: x.What, Names: x.Names, where: x.Pos}
	if x.Leader {
		s.Names = []string{"leader"}
	}
	if x.For != nil {
		s.Duration = Micros(*x.For)
	}
	if x.Span != nil {
		s.Span = Micros(*x.Span)
	}
	if x.Speed != nil {
		s.Fraction = float64(*x.Speed)
	}
	switch {
	case x.Ask != nil:
		s.Action, s.Operation = "ask", &maintenance.Operation{Machine: x.Ask.Name, Duration: max(Second, s.Duration), Urgent: x.Urgent, EndsOnRestart: x.Until}
		if x.Ask.Box {
			s.Operation.Kind, s.Operation.Zone = maintenance.Box, "z0"
		}
	case x.Part != nil:
		s.Action, s.Names, s.Others = "part", x.Part.One, x.Part.Other
	case x.Zone != nil:
		s.Action, s.Names = "lose zone", []string{*x.Zone}
	case x.Loss != nil:
		s.Action, s.Fraction = "lose", float64(*x.Loss)
	case x.Double != nil:
		s.Action, s.Fraction = "double", float64(*x.Double)
	case x.Reset:
		s.Action = "reset connections"
	case x.Restart:
		s.Action = "restart all"
	case x.Hold:
		s.Action = "hold"
	}
	return s
}

// checkStep reports unknown fronts and zones, and missing or invalid values.
func (s *Script) checkStep(x Step) error {
	known := func(n string) bool {
		i, err := strconv.Atoi(strings.TrimPrefix(n, "n"))
		return n == "leader" || err == nil && strings.HasPrefix(n, "n") && i >= 0 && i < s.Fronts
	}
	if x.Action == "lose zone" {
		known = func(n string) bool {
			i, err := strconv.Atoi(strings.TrimPrefix(n, "z"))
			return err == nil && i >= 0 && i < s.Zones
		}
	}
	for _, n := range append(slices.Clone(x.Names), x.Others...) {
		if !known(n) {
			return fmt.Errorf("there is no %q among %d fronts, n0 on, in %d zones, z0 on", n, s.Fronts, s.Zones)
		}
	}
	if x.Operation != nil && x.Operation.Kind == maintenance.Front && !known(x.Operation.Machine) {
		return fmt.Errorf("there is no front %q", x.Operation.Machine)
	}
	switch {
	case (x.Action == "delay" || x.Action == "slow") && x.Span <= 0:
		return fmt.Errorf("%s: by how much is missing", x.Action)
	case x.Action == "clock" && (x.Fraction < 0.9 || x.Fraction > 1.1):
		return errors.New("clock: 90% to 110% are possible")
	case x.Fraction > 1 && x.Action != "clock":
		return fmt.Errorf("%s: over 100%%", x.Action)
	case x.At > s.Duration:
		return fmt.Errorf("it begins after the day, which has %s", span(s.Duration))
	}
	return nil
}

// PlayVirtual runs the script in virtual time.
func (s *Script) PlayVirtual(mutation statemachine.Mutation, verbose func(string)) (Day, *World) {
	r := ShortRules()
	r.LeaseSpan, r.UnhealthyPercent = s.LeaseSpan, 60
	w := NewWorld(Spec{Fronts: s.Fronts, Zones: s.Zones, Seed: s.Seed, Rules: r, Mutation: mutation})
	w.Verbose = verbose
	c := &chaosRunner{world: w, random: w.random, day: Day{Seed: s.Seed, Fronts: s.Fronts}, restartedAt: map[uint64]Micros{}}
	for _, f := range w.Fronts {
		f.Start()
	}
	w.RunUntil(90*Second, w.Settled)
	began := w.now
	for i, x := range s.Steps {
		w.schedule(began+x.At, func() { c.step(i, x) })
	}
	for w.now < began+s.Duration && !w.Checker.Failed() {
		w.Run(min(w.now+Second, began+s.Duration))
		c.completeOperations()
	}
	return c.finish(), w
}

// step executes one step in virtual time.
func (c *chaosRunner) step(i int, x Step) {
	w := c.world
	var fronts []*Front
	for _, n := range x.Names {
		if f := w.byName[n]; f != nil {
			fronts = append(fronts, f)
		} else if l := w.Leader(); n == "leader" && l != nil {
			fronts = append(fronts, l)
		}
	}
	after := func(do func()) {
		if x.Duration > 0 {
			w.After(x.Duration, do)
		}
	}
	switch x.Action {
	case "ask":
		c.day.Asked++
		item := *x.Operation
		item.Reason = fmt.Sprintf("step %d", i)
		at := w.Leader()
		if at == nil {
			at = w.Fronts[0]
		}
		w.RequestOperation(at, item, func(statemachine.Result, error) {})
	case "part":
		w.Partition(x.Names, x.Others)
		after(func() { w.Partition() })
	case "lose":
		w.lossRate = x.Fraction
		after(func() { w.lossRate = 0 })
	case "double":
		w.duplicateRate = x.Fraction
		after(func() { w.duplicateRate = 0 })
	case "hold":
		w.SubmitOrder(w.Fronts[0], statemachine.Order{Action: statemachine.Hold}, func(statemachine.Result, error) {})
		after(func() {
			w.SubmitOrder(w.Fronts[0], statemachine.Order{Action: statemachine.Resume}, func(statemachine.Result, error) {})
		})
	case "restart all", "lose zone":
		for _, f := range w.Fronts {
			if x.Action == "restart all" || f.Zone == x.Names[0] {
				f.Crash()
				w.After(max(x.Duration, Second), f.Start)
			}
		}
	}
	for _, f := range fronts {
		switch x.Action {
		case "kill", "tear":
			f.Crash()
			w.After(max(x.Duration, Milli), f.Start)
		case "wipe":
			if c.canWipe(f) {
				f.Wipe()
				w.After(max(x.Duration, Milli), f.Start)
			}
		case "stop":
			f.Pause(true)
			after(func() { f.Pause(false) })
		case "mute", "deafen":
			for _, o := range w.Fronts {
				if x.Action == "mute" {
					w.Cut(f.Name, o.Name, true)
				} else {
					w.Cut(o.Name, f.Name, true)
				}
			}
			after(func() { w.Partition() })
		case "delay":
			w.sendDelay[f.Name] = x.Span
			after(func() { delete(w.sendDelay, f.Name) })
		case "fill":
			f.diskFull = true
			after(func() { f.diskFull = false })
		case "slow":
			f.diskDelay = x.Span
			after(func() { f.diskDelay = 0 })
		case "clock":
			before := f.clock()
			f.clockRate = x.Fraction
			f.clockOffset += before - f.clock()
		}
	}
}

// virtualOnly are the actions that started fronts don't support.
var virtualOnly = []string{"fill", "slow", "lose", "double", "clock"}

// CheckProcessSteps returns an error for the first step that started fronts don't support.
func (s *Script) CheckProcessSteps() error {
	for _, x := range s.Steps {
		if slices.Contains(virtualOnly, x.Action) {
			return fmt.Errorf("fleet: %s: %s: %w", x.where, x.Action, ErrVirtualOnly)
		}
	}
	return nil
}

// Minimize removes steps from a script that violates an invariant in virtual time for as
// long as a violation remains.
func (s *Script) Minimize(mutation statemachine.Mutation) (*Script, Day, *World) {
	shortest := *s
	d, w := shortest.PlayVirtual(mutation, nil)
	for size := max(1, len(shortest.Steps)/2); size >= 1 && len(d.Broken) > 0; {
		shorter := false
		for i := 0; i < len(shortest.Steps); {
			x := shortest
			x.Steps = slices.Delete(slices.Clone(shortest.Steps), i, min(i+size, len(shortest.Steps)))
			if y, world := x.PlayVirtual(mutation, nil); len(y.Broken) > 0 {
				shortest, d, w, shorter = x, y, world, true
			} else {
				i += size
			}
		}
		if !shorter || size > 1 {
			size /= 2
		}
	}
	return &shortest, d, w
}
