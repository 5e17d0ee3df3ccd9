// Package scenario is the laboratory's language for days that go wrong: the site,
// its clients' load, and troubles in time that may overlap.
//
//	name "a branch comes back cold while the store is slow"
//	site { branch "edge-1" at "north-hub" 4 boxes 1 fronts  branch "edge-2" at "delta-hub" 3 boxes 1 fronts  parents 2 }
//	warm 30s  run 60s  seed 7
//	load 150/s, from 20s 150/s rising, from 40s 300/s
//	at 10s lose branch "edge-1" for 12s
//	from 20s origin slower 3x for 10s
//	expect G above 0.5
//
// What a scenario does not say is as world.Default has it. Errors name file, line
// and column.
package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"cherryramp/lab/world"
)

// Scenario is a day that is ready to be played.
type Scenario struct {
	Name         string
	Spec         world.Spec
	Plan         world.Plan
	Expectations []Expectation
}

// Expect is a bound on what comes of a day.
type Expectation struct {
	Metric string // G, service, hits, falls, origin
	Above  bool   // or below
	Bound  float64
}

// Met tells whether a day keeps to it, and what it was.
func (e Expectation) Check(r *world.Result) (is float64, ok bool) {
	switch e.Metric {
	case "G":
		is = r.G
	case "service":
		is = r.Service
	case "hits":
		is = r.Hits()
	case "falls":
		is = float64(r.Falls)
	case "origin":
		is = r.OriginBytes / max(1, r.SentBytes)
	}
	return is, is > e.Bound == e.Above
}

func (e Expectation) String() string {
	way := "below"
	if e.Above {
		way = "above"
	}
	return fmt.Sprintf("%s %s %g", e.Metric, way, e.Bound)
}

// The grammar.

type file struct {
	Statements []*statement `parser:"@@*"`
}

type statement struct {
	Pos     lexer.Position
	Name    *string      `parser:"  'name' @String"`
	Seed    *uint64      `parser:"| 'seed' @Number"`
	Warm    *span        `parser:"| 'warm' @Span"`
	Run     *span        `parser:"| 'run' @Span"`
	Site    *siteBlock   `parser:"| 'site' '{' @@ '}'"`
	Class   *classBlock  `parser:"| 'class' @@"`
	Clients *clientsLine `parser:"| 'clients' @@"`
	Load    []*loadPoint `parser:"| 'load' @@ (',' @@)*"`
	Trouble *trouble     `parser:"| ('at'|'from') @@"`
	Expect  *expect      `parser:"| 'expect' @@"`
}

type siteBlock struct {
	Items []*siteItem `parser:"@@*"`
}

type siteItem struct {
	Pos     lexer.Position
	Hubs    []string    `parser:"  'hubs' @String+"`
	Branch  *branchLine `parser:"| 'branch' @@"`
	Parents *int        `parser:"| 'parents' @Number"`
	Fleet   *fleetLine  `parser:"| 'fleet' @@"`
	Held    *int        `parser:"| 'held' @Number"`
}

type branchLine struct {
	Name   string `parser:"@String"`
	Hub    string `parser:"'at' @String"`
	Boxes  int    `parser:"@Number 'boxes'"`
	Fronts int    `parser:"@Number 'fronts'"`
}

type fleetLine struct {
	Nodes  int `parser:"@Number 'nodes'"`
	Fronts int `parser:"@Number 'fronts'"`
}

type classBlock struct {
	Name  string       `parser:"@String '{'"`
	Items []*classItem `parser:"@@* '}'"`
}

type classItem struct {
	Share   *share `parser:"  'share' @Percent"`
	Worth   *num   `parser:"| 'worth' @Number"`
	GiveUp  *span  `parser:"| 'give' 'up' @Span"`
	Aim     *span  `parser:"| 'aim' @Span"`
	Send    *span  `parser:"| 'send' @Span"`
	Objects *int   `parser:"| 'objects' @Number"`
	Zipf    *num   `parser:"| 'zipf' @Number"`
	Once    *share `parser:"| 'once' @Percent"`
	Local   *share `parser:"| 'local' @Percent"`
	Fresh   *span  `parser:"| 'fresh' @Span"`
	Drift   *span  `parser:"| 'drift' @Span"`
}

type clientsLine struct {
	Most  int   `parser:"'retry' @Number 'times'"`
	Once  bool  `parser:"( @('at' 'once')"`
	Least *span `parser:"| 'after' @Span"`
	Last  *span `parser:"  ('to' @Span)? )"`
	Obey  bool  `parser:"@'obeying'?"`
}

type loadPoint struct {
	Pos  lexer.Position
	At   *span `parser:"('from' @Span)?"`
	Rate rate  `parser:"@Rate"`
	Ramp bool  `parser:"@'rising'?"`
}

type trouble struct {
	Pos       lexer.Position
	At        span    `parser:"@Span"`
	LoseB     *string `parser:"( 'lose' ( 'branch' @String"`
	LoseP     *string `parser:"         | 'parents' @String"`
	LoseS     *string `parser:"         | 'server' @String"`
	LoseA     *share  `parser:"         | @Percent 'of' 'answers' )"`
	Slower    *times  `parser:"| 'origin' ( 'slower' @Times"`
	Stops     bool    `parser:"           | @'stops' )"`
	PurgeG    *share  `parser:"| 'purge' ( @Percent 'of' 'groups'"`
	PurgeHot  *int    `parser:"          | @Number 'hot' 'objects' )"`
	Scan      *share  `parser:"| 'scan' @Percent"`
	Surge     *times  `parser:"| 'surge' @Times"`
	Storm     bool    `parser:"| @'storm'"`
	Cut       *string `parser:"| 'cut' 'branch' @String"`
	FreezeA   *string `parser:"| 'freeze' ( 'answers' 'of' @String"`
	FreezeB   *string `parser:"           | 'branch' @String )"`
	Restart   *string `parser:"| 'restart' 'front' @String"`
	Reload    *string `parser:"| 'reload' 'front' @String"`
	Reset     bool    `parser:"| @('reset' 'connections')"`
	Spoil     *share  `parser:"| 'spoil' @Percent"`
	Deaf      bool    `parser:"| 'register' ( @'unreachable'"`
	Late      *span   `parser:"             | 'late' @Span )"`
	Kill      *string `parser:"| 'kill' 'front' @String"`
	Drain     *string `parser:"| 'drain' @String"`
	Flap      *string `parser:"| 'flap' @String"`
	FlapTimes *int    `parser:"  @Number 'times' )"`
	For       *span   `parser:"('for' @Span)?"`
	Silent    bool    `parser:"@'silently'?"`
}

type expect struct {
	Pos   lexer.Position
	What  string `parser:"@('G'|'service'|'hits'|'falls'|'origin')"`
	Above bool   `parser:"( @'above' | 'below' )"`
	Bound num    `parser:"@Number"`
}

// Values with a unit.

type (
	span  int64   // us
	share float64 // of 1
	times float64
	rate  float64 // a second
	num   float64
)

// Capture is part of participle.Capture, as those below.
func (s *span) Capture(v []string) error {
	d, err := time.ParseDuration(v[0])
	*s = span(d.Microseconds())
	return err
}

// Capture is part of participle.Capture.
func (s *share) Capture(v []string) error { return unit((*float64)(s), v[0], "%", 0.01) }

// Capture is part of participle.Capture.
func (x *times) Capture(v []string) error { return unit((*float64)(x), v[0], "x", 1) }

// Capture is part of participle.Capture.
func (r *rate) Capture(v []string) error { return unit((*float64)(r), v[0], "/s", 1) }

// Capture is part of participle.Capture.
func (n *num) Capture(v []string) error { return unit((*float64)(n), v[0], "", 1) }

func unit(to *float64, text, suffix string, by float64) error {
	x, err := strconv.ParseFloat(strings.TrimSuffix(text, suffix), 64)
	*to = x * by
	return err
}

var grammar = participle.MustBuild[file](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Comment", Pattern: `#[^\n]*`},
		{Name: "String", Pattern: `"[^"\n]*"`},
		{Name: "Span", Pattern: `\d+(\.\d+)?(ms|s|m)\b`},
		{Name: "Percent", Pattern: `\d+(\.\d+)?%`},
		{Name: "Rate", Pattern: `\d+(\.\d+)?/s\b`},
		{Name: "Times", Pattern: `\d+(\.\d+)?x\b`},
		{Name: "Number", Pattern: `\d+(\.\d+)?`},
		{Name: "Word", Pattern: `[A-Za-z][A-Za-z-]*`},
		{Name: "Punct", Pattern: `[{},]`},
		{Name: "Space", Pattern: `\s+`},
	})),
	participle.Elide("Comment", "Space"), participle.Unquote("String"), participle.UseLookahead(3))

// Parse reads a scenario; file stands in errors.
func Parse(name, text string) (*Scenario, error) { return ParseFor(world.Default(), name, text) }

// ParseFor is Parse for another deployment than the default one.
func ParseFor(spec world.Spec, name, text string) (*Scenario, error) {
	f, err := grammar.ParseString(name, text)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	s := &Scenario{Name: name, Spec: spec, Plan: world.Plan{WarmUp: 30 * 1_000_000, Duration: 60 * 1_000_000}}
	s.Spec.Classes = slices.Clone(s.Spec.Classes)
	var where []lexer.Position
	for _, x := range f.Statements {
		if err := s.apply(x, &where); err != nil {
			return nil, fmt.Errorf("scenario: %s: %w", x.Pos, err)
		}
	}
	w, err := world.New(s.Spec)
	if err != nil {
		return nil, fmt.Errorf("scenario: %s: %w", name, err)
	}
	for i := range s.Plan.Faults {
		if err := w.CheckFault(&s.Plan.Faults[i]); err != nil {
			return nil, fmt.Errorf("scenario: %s: %w", where[i], err)
		}
		if s.Plan.Faults[i].At > s.Plan.Duration {
			return nil, fmt.Errorf("scenario: %s: it begins after the day, which has %gs", where[i], float64(s.Plan.Duration)/1e6)
		}
	}
	return s, nil
}

func (s *Scenario) apply(x *statement, where *[]lexer.Position) error {
	switch {
	case x.Name != nil:
		s.Name = *x.Name
	case x.Seed != nil:
		s.Spec.Seed = *x.Seed
	case x.Warm != nil:
		s.Plan.WarmUp = int64(*x.Warm)
	case x.Run != nil:
		s.Plan.Duration = int64(*x.Run)
	case x.Site != nil:
		return s.site(x.Site)
	case x.Class != nil:
		return s.class(x.Class)
	case x.Clients != nil:
		c := x.Clients
		s.Spec.Retries = world.RetryPolicy{MaxRetries: c.Most, HonorRetryAfter: c.Obey}
		if c.Least != nil {
			s.Spec.Retries.Wait = [2]world.Micros{int64(*c.Least), int64(*c.Least)}
		}
		if c.Last != nil {
			s.Spec.Retries.Wait[1] = int64(*c.Last)
		}
	case x.Load != nil:
		return s.load(x.Load)
	case x.Expect != nil:
		s.Expectations = append(s.Expectations, Expectation{Metric: x.Expect.What, Above: x.Expect.Above, Bound: float64(x.Expect.Bound)})
	case x.Trouble != nil:
		t, err := x.Trouble.make()
		if err != nil {
			return err
		}
		s.Plan.Faults = append(s.Plan.Faults, t)
		*where = append(*where, x.Pos)
	}
	return nil
}

func (s *Scenario) site(b *siteBlock) error {
	var branches []world.Branch
	for _, x := range b.Items {
		switch {
		case x.Hubs != nil:
			s.Spec.Hubs = x.Hubs
		case x.Branch != nil:
			branches = append(branches, world.Branch{Name: x.Branch.Name, Hub: x.Branch.Hub, Boxes: x.Branch.Boxes, Fronts: x.Branch.Fronts})
		case x.Parents != nil:
			s.Spec.Parents = *x.Parents
		case x.Held != nil:
			s.Spec.MaxHeld = *x.Held
		case x.Fleet != nil:
			if x.Fleet.Nodes < 1 || x.Fleet.Fronts < 1 || x.Fleet.Nodes > 100_000 {
				return fmt.Errorf("a fleet of %d nodes and %d fronts", x.Fleet.Nodes, x.Fleet.Fronts)
			}
			s.Spec.Resize(x.Fleet.Nodes, x.Fleet.Fronts)
		}
	}
	if branches != nil {
		s.Spec.Branches = branches
	}
	return nil
}

func (s *Scenario) class(b *classBlock) error {
	i := slices.IndexFunc(s.Spec.Classes, func(c world.Class) bool { return c.Name == b.Name })
	if i < 0 {
		return fmt.Errorf("no class is called %q", b.Name)
	}
	c := &s.Spec.Classes[i]
	for _, x := range b.Items {
		for _, y := range []struct {
			from *span
			to   *world.Micros
		}{{x.GiveUp, &c.GiveUp}, {x.Aim, &c.Aim}, {x.Send, &c.SendTime}, {x.Fresh, &c.Fresh}, {x.Drift, &c.DriftPeriod}} {
			if y.from != nil {
				*y.to = int64(*y.from)
			}
		}
		for _, y := range []struct {
			from *share
			to   *float64
		}{{x.Share, &c.Share}, {x.Once, &c.OneTimeShare}, {x.Local, &c.LocalShare}, {(*share)(x.Worth), &c.Worth}, {(*share)(x.Zipf), &c.Zipf}} {
			if y.from != nil {
				*y.to = float64(*y.from)
			}
		}
		if x.Objects != nil {
			c.Objects = *x.Objects
		}
	}
	return nil
}

func (s *Scenario) load(list []*loadPoint) (err error) {
	if s.Plan.Curve, err = curve(list); err == nil {
		s.Spec.Rate = s.Plan.Curve[0].Rate
	}
	return err
}

func curve(list []*loadPoint) (points []world.RatePoint, err error) {
	for i, x := range list {
		p := world.RatePoint{Rate: float64(x.Rate), Ramp: x.Ramp}
		if x.At != nil {
			p.At = int64(*x.At)
		}
		if i > 0 && p.At <= points[i-1].At {
			return nil, fmt.Errorf("%s: the load's moments must follow each other", x.Pos)
		}
		points = append(points, p)
	}
	return points, nil
}

// ParseLoad reads a load's curve alone, in the words that follow "load".
func ParseLoad(text string) ([]world.RatePoint, error) {
	f, err := grammar.ParseString("load", "load "+text)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	if len(f.Statements) != 1 {
		return nil, fmt.Errorf("scenario: %s: more than a load", f.Statements[1].Pos)
	}
	points, err := curve(f.Statements[0].Load)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return points, nil
}

// make turns what was read into a trouble.
func (t *trouble) make() (world.Fault, error) {
	out := world.Fault{At: int64(t.At), Silent: t.Silent}
	if t.For != nil {
		out.Duration = int64(*t.For)
	}
	named := func(kind world.FaultKind, target *string) { out.Kind, out.Target = kind, *target }
	by := func(kind world.FaultKind, x float64) { out.Kind, out.Amount = kind, x }
	momentary := false
	switch {
	case t.LoseB != nil:
		named(world.LoseBranch, t.LoseB)
	case t.LoseP != nil:
		named(world.LoseParents, t.LoseP)
	case t.LoseS != nil:
		named(world.LoseServer, t.LoseS)
	case t.LoseA != nil:
		by(world.LoseAnswers, float64(*t.LoseA))
	case t.Slower != nil:
		by(world.OriginSlow, float64(*t.Slower))
	case t.Stops:
		out.Kind = world.OriginStops
	case t.PurgeG != nil:
		by(world.PurgeGroups, float64(*t.PurgeG))
		momentary = true
	case t.PurgeHot != nil:
		by(world.PurgeHot, float64(*t.PurgeHot))
		momentary = true
	case t.Scan != nil:
		by(world.Scan, float64(*t.Scan))
	case t.Surge != nil:
		by(world.Surge, float64(*t.Surge))
	case t.Storm:
		out.Kind = world.RetryStorm
	case t.Cut != nil:
		named(world.CutBranch, t.Cut)
	case t.FreezeA != nil:
		named(world.FreezeAnswers, t.FreezeA)
	case t.FreezeB != nil:
		named(world.FreezeBranch, t.FreezeB)
	case t.Restart != nil:
		named(world.RestartFront, t.Restart)
	case t.Reload != nil:
		named(world.ReloadFront, t.Reload)
		momentary = true
	case t.Reset:
		out.Kind = world.ResetConnections
		momentary = true
	case t.Spoil != nil:
		by(world.CorruptAnswers, float64(*t.Spoil))
	case t.Deaf:
		out.Kind = world.RegisterUnreachable
	case t.Late != nil:
		by(world.RegisterLate, float64(*t.Late)/1e6)
	case t.Kill != nil:
		named(world.KillFront, t.Kill)
	case t.Drain != nil:
		named(world.DrainServer, t.Drain)
	case t.Flap != nil:
		named(world.FlapServer, t.Flap)
		out.Amount = float64(*t.FlapTimes)
	}
	switch {
	case momentary && t.For != nil:
		return out, fmt.Errorf("%s is over at once, and has no length", out.Kind)
	case !momentary && t.For == nil:
		return out, fmt.Errorf("%s: for how long?", out.Kind)
	case t.Silent && out.Kind != world.LoseBranch && out.Kind != world.LoseParents && out.Kind != world.LoseServer:
		return out, fmt.Errorf("%s can't happen silently", out.Kind)
	}
	return out, nil
}
