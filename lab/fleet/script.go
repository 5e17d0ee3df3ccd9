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

// Script is a fleet's day in the laboratory's language, for started fronts or in
// virtual time:
//
//	name "the leader dies while a zone is away"
//	fronts 5 zones 3 run 60s seed 7 alone 5s
//	at 2s ask "n1" for 10s
//	at 2s ask box "s-0" for 5s urgent
//	at 3s kill leader for 4s
//	from 5s part "n0" "n1" from "n2" "n3" "n4" for 10s
//	from 6s mute "n2" for 3s           # it hears and is not heard; deafen: the other way round
//	from 8s stop "n3" for 9s           # SIGSTOP, then SIGCONT
//	at 12s lose zone "z0" for 5s
//	from 20s delay "n1" 800ms for 5s
//	at 25s reset connections
//	at 30s tear "n2" for 2s            # killed, with a torn end in its journal
//	at 33s wipe "n4" for 2s            # killed, its disk emptied
//	at 40s restart all
//	at 45s hold for 5s
//	from 50s fill "n1" for 3s          # its disk; this and those below in virtual time only
//	from 50s slow "n1" 700ms for 5s    # its disk
//	from 50s lose 20% of messages for 5s
//	from 50s double 20% of messages for 5s
//	at 50s clock "n1" 110%             # of true speed
//
// Whatever is killed is started again after its span. After the day all is well
// again, and every work must end.
type Script struct {
	Name      string
	Fronts    int
	Zones     int
	Seed      uint64
	LeaseSpan Micros
	Duration  Micros
	Steps     []Step
}

// Step is one thing that happens.
type Step struct {
	At, Duration Micros
	Action       string
	Names        []string // fronts; "leader" is whoever leads then
	Others       []string
	Span         Micros
	Fraction     float64
	Operation    *maintenance.Operation
	where        lexer.Position
}

// String is the step in the language.
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

// String is the script in the language.
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

// Capture is part of participle.Capture, as that below.
func (s *scriptSpan) Capture(v []string) error {
	d, err := time.ParseDuration(v[0])
	*s = scriptSpan(d.Microseconds())
	return err
}

type percent float64

// Capture is part of participle.Capture.
func (p *percent) Capture(v []string) error {
	x, err := strconv.ParseFloat(strings.TrimSuffix(v[0], "%"), 64)
	*p = percent(x / 100)
	return err
}

var scripts = participle.MustBuild[scriptFile](
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

// ErrVirtual tells of a step that started fronts can't be put to.
var ErrVirtualOnly = errors.New("this is possible in virtual time only")

// ReadScript reads a script from a file.
func ReadScript(path string) (*Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseScript(path, string(text))
}

// ParseScript reads a script; name stands in errors, which name line and column.
func ParseScript(name, text string) (*Script, error) {
	f, err := scripts.ParseString(name, text)
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
		return nil, fmt.Errorf("fleet: %s: fronts 1 to 300, zones from 1, run and alone from 1s on are possible", name)
	}
	for _, x := range s.Steps {
		if err := s.check(x); err != nil {
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

// check tells of fronts and zones that there are not, and of what is missing.
func (s *Script) check(x Step) error {
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

// Virtual plays the script in virtual time.
func (s *Script) PlayVirtual(without statemachine.Mutation, verbose func(string)) (Day, *World) {
	r := ShortRules()
	r.LeaseSpan, r.UnhealthyPercent = s.LeaseSpan, 60
	w := NewWorld(Spec{Fronts: s.Fronts, Zones: s.Zones, Seed: s.Seed, Rules: r, Mutation: without})
	w.Verbose = verbose
	c := &chaos{w: w, r: w.r, day: Day{Seed: s.Seed, Fronts: s.Fronts}, begun: map[uint64]Micros{}}
	for _, f := range w.Fronts {
		f.Start()
	}
	w.RunUntil(90*Second, w.Settled)
	began := w.now
	for i, x := range s.Steps {
		w.at(began+x.At, func() { c.step(i, x) })
	}
	for w.now < began+s.Duration && !w.Checker.Failed() {
		w.Run(min(w.now+Second, began+s.Duration))
		c.tend()
	}
	return c.finish(), w
}

// step carries out one step in virtual time.
func (c *chaos) step(i int, x Step) {
	w := c.w
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
		w.loss = x.Fraction
		after(func() { w.loss = 0 })
	case "double":
		w.double = x.Fraction
		after(func() { w.double = 0 })
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
			if c.wipeable(f) {
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
			w.lag[f.Name] = x.Span
			after(func() { delete(w.lag, f.Name) })
		case "fill":
			f.full = true
			after(func() { f.full = false })
		case "slow":
			f.slow = x.Span
			after(func() { f.slow = 0 })
		case "clock":
			before := f.clock()
			f.rate = x.Fraction
			f.offset += before - f.clock()
		}
	}
}

// virtualOnly are the steps that started fronts can't be put to.
var virtualOnly = []string{"fill", "slow", "lose", "double", "clock"}

// Processes tells which step, if any, started fronts can't be put to.
func (s *Script) CheckProcessSteps() error {
	for _, x := range s.Steps {
		if slices.Contains(virtualOnly, x.Action) {
			return fmt.Errorf("fleet: %s: %s: %w", x.where, x.Action, ErrVirtualOnly)
		}
	}
	return nil
}

// Shortest drops steps of a script that breaks a promise in virtual time, as long as
// it still does.
func (s *Script) Minimize(without statemachine.Mutation) (*Script, Day, *World) {
	best := *s
	d, w := best.PlayVirtual(without, nil)
	for size := max(1, len(best.Steps)/2); size >= 1 && len(d.Broken) > 0; {
		shorter := false
		for i := 0; i < len(best.Steps); {
			x := best
			x.Steps = slices.Delete(slices.Clone(best.Steps), i, min(i+size, len(best.Steps)))
			if y, world := x.PlayVirtual(without, nil); len(y.Broken) > 0 {
				best, d, w, shorter = x, y, world, true
			} else {
				i += size
			}
		}
		if !shorter || size > 1 {
			size /= 2
		}
	}
	return &best, d, w
}
