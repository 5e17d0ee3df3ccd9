// Package scenario reads and writes the lab's scenario language. A scenario describes a
// site, its clients' load, and timed faults that may overlap.
//
//	name "a branch comes back cold while the store is slow"
//	site { branch "edge-1" at "north-hub" 4 boxes 1 fronts  branch "edge-2" at "delta-hub" 3 boxes 1 fronts  parents 2 }
//	warm 30s  run 60s  seed 7
//	load 150/s, from 20s 150/s rising, from 40s 300/s
//	at 10s lose branch "edge-1" for 12s
//	from 20s origin slower 3x for 10s
//	expect G above 0.5
//
// Settings that a scenario leaves out are those of world.Default. Errors name file, line
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

// Scenario is a parsed or generated scenario that can be played.
type Scenario struct {
	Name         string
	Spec         world.Spec
	Plan         world.Plan
	Expectations []Expectation
}

// Expectation is a bound on one metric of a scenario's result.
type Expectation struct {
	Metric string // G, service, hits, falls, origin
	Above  bool   // the metric must be above Bound, otherwise not above it
	Bound  float64
}

// Check returns the metric's value in a result and whether it meets the expectation.
func (e Expectation) Check(r *world.Result) (value float64, ok bool) {
	switch e.Metric {
	case "G":
		value = r.G
	case "service":
		value = r.Service
	case "hits":
		value = r.Hits()
	case "falls":
		value = float64(r.Falls)
	case "origin":
		value = r.OriginBytes / max(1, r.SentBytes)
	}
	return value, value > e.Bound == e.Above
}

func (e Expectation) String() string {
	direction := "below"
	if e.Above {
		direction = "above"
	}
	return fmt.Sprintf("%s %s %g", e.Metric, direction, e.Bound)
}

// The grammar; its leaves are the tokens of the lexer below.

type file struct {
	Statements []*statement `parser:"@@*"`
}

type statement struct {
	Pos     lexer.Position
	Name    *string      `parser:"  'name' @String"`
	Seed    *uint64      `parser:"| 'seed' @Number"`
	WarmUp  *duration    `parser:"| 'warm' @Span"`
	Run     *duration    `parser:"| 'run' @Span"`
	Site    *siteBlock   `parser:"| 'site' '{' @@ '}'"`
	Class   *classBlock  `parser:"| 'class' @@"`
	Clients *clientsLine `parser:"| 'clients' @@"`
	Load    []*loadPoint `parser:"| 'load' @@ (',' @@)*"`
	Fault   *faultLine   `parser:"| ('at'|'from') @@"`
	Expect  *expectLine  `parser:"| 'expect' @@"`
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
	MaxHeld *int        `parser:"| 'held' @Number"`
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
	Share        *share    `parser:"  'share' @Percent"`
	Worth        *decimal  `parser:"| 'worth' @Number"`
	GiveUp       *duration `parser:"| 'give' 'up' @Span"`
	Aim          *duration `parser:"| 'aim' @Span"`
	SendTime     *duration `parser:"| 'send' @Span"`
	Objects      *int      `parser:"| 'objects' @Number"`
	Zipf         *decimal  `parser:"| 'zipf' @Number"`
	OneTimeShare *share    `parser:"| 'once' @Percent"`
	LocalShare   *share    `parser:"| 'local' @Percent"`
	Fresh        *duration `parser:"| 'fresh' @Span"`
	DriftPeriod  *duration `parser:"| 'drift' @Span"`
}

type clientsLine struct {
	MaxRetries      int       `parser:"'retry' @Number 'times'"`
	AtOnce          bool      `parser:"( @('at' 'once')"`
	MinWait         *duration `parser:"| 'after' @Span"`
	MaxWait         *duration `parser:"  ('to' @Span)? )"`
	HonorRetryAfter bool      `parser:"@'obeying'?"`
}

type loadPoint struct {
	Pos  lexer.Position
	At   *duration `parser:"('from' @Span)?"`
	Rate rate      `parser:"@Rate"`
	Ramp bool      `parser:"@'rising'?"`
}

type faultLine struct {
	Pos                 lexer.Position
	At                  duration  `parser:"@Span"`
	LoseBranch          *string   `parser:"( 'lose' ( 'branch' @String"`
	LoseParents         *string   `parser:"         | 'parents' @String"`
	LoseServer          *string   `parser:"         | 'server' @String"`
	LoseAnswers         *share    `parser:"         | @Percent 'of' 'answers' )"`
	Slower              *factor   `parser:"| 'origin' ( 'slower' @Times"`
	Stops               bool      `parser:"           | @'stops' )"`
	PurgeGroups         *share    `parser:"| 'purge' ( @Percent 'of' 'groups'"`
	PurgeHot            *int      `parser:"          | @Number 'hot' 'objects' )"`
	Scan                *share    `parser:"| 'scan' @Percent"`
	Surge               *factor   `parser:"| 'surge' @Times"`
	Storm               bool      `parser:"| @'storm'"`
	Cut                 *string   `parser:"| 'cut' 'branch' @String"`
	FreezeAnswers       *string   `parser:"| 'freeze' ( 'answers' 'of' @String"`
	FreezeBranch        *string   `parser:"           | 'branch' @String )"`
	Restart             *string   `parser:"| 'restart' 'front' @String"`
	Reload              *string   `parser:"| 'reload' 'front' @String"`
	Reset               bool      `parser:"| @('reset' 'connections')"`
	Spoil               *share    `parser:"| 'spoil' @Percent"`
	RegisterUnreachable bool      `parser:"| 'register' ( @'unreachable'"`
	RegisterLate        *duration `parser:"             | 'late' @Span )"`
	Kill                *string   `parser:"| 'kill' 'front' @String"`
	Drain               *string   `parser:"| 'drain' @String"`
	Flap                *string   `parser:"| 'flap' @String"`
	FlapTimes           *int      `parser:"  @Number 'times' )"`
	Duration            *duration `parser:"('for' @Span)?"`
	Silent              bool      `parser:"@'silently'?"`
}

type expectLine struct {
	Pos    lexer.Position
	Metric string  `parser:"@('G'|'service'|'hits'|'falls'|'origin')"`
	Above  bool    `parser:"( @'above' | 'below' )"`
	Bound  decimal `parser:"@Number"`
}

// Values with a unit.

type (
	duration int64   // microseconds
	share    float64 // 0 to 1, written in percent
	factor   float64
	rate     float64 // requests per second
	decimal  float64
)

// Capture implements participle.Capture.
func (s *duration) Capture(v []string) error {
	d, err := time.ParseDuration(v[0])
	*s = duration(d.Microseconds())
	return err
}

// Capture implements participle.Capture.
func (s *share) Capture(v []string) error { return parseWithUnit((*float64)(s), v[0], "%", 0.01) }

// Capture implements participle.Capture.
func (x *factor) Capture(v []string) error { return parseWithUnit((*float64)(x), v[0], "x", 1) }

// Capture implements participle.Capture.
func (r *rate) Capture(v []string) error { return parseWithUnit((*float64)(r), v[0], "/s", 1) }

// Capture implements participle.Capture.
func (n *decimal) Capture(v []string) error { return parseWithUnit((*float64)(n), v[0], "", 1) }

func parseWithUnit(out *float64, text, suffix string, scale float64) error {
	x, err := strconv.ParseFloat(strings.TrimSuffix(text, suffix), 64)
	*out = x * scale
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

// Parse reads a scenario for the deployment of world.Default. Errors name the source as
// name.
func Parse(name, text string) (*Scenario, error) { return ParseFor(world.Default(), name, text) }

// ParseFor is Parse for the deployment that spec describes.
func ParseFor(spec world.Spec, name, text string) (*Scenario, error) {
	f, err := grammar.ParseString(name, text)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	s := &Scenario{Name: name, Spec: spec, Plan: world.Plan{WarmUp: 30 * 1_000_000, Duration: 60 * 1_000_000}}
	s.Spec.Classes = slices.Clone(s.Spec.Classes)
	var positions []lexer.Position
	for _, x := range f.Statements {
		if err := s.apply(x, &positions); err != nil {
			return nil, fmt.Errorf("scenario: %s: %w", x.Pos, err)
		}
	}
	w, err := world.New(s.Spec)
	if err != nil {
		return nil, fmt.Errorf("scenario: %s: %w", name, err)
	}
	for i := range s.Plan.Faults {
		if err := w.CheckFault(&s.Plan.Faults[i]); err != nil {
			return nil, fmt.Errorf("scenario: %s: %w", positions[i], err)
		}
		if s.Plan.Faults[i].At > s.Plan.Duration {
			return nil, fmt.Errorf("scenario: %s: it begins after the day, which has %gs", positions[i], float64(s.Plan.Duration)/1e6)
		}
	}
	return s, nil
}

func (s *Scenario) apply(x *statement, positions *[]lexer.Position) error {
	switch {
	case x.Name != nil:
		s.Name = *x.Name
	case x.Seed != nil:
		s.Spec.Seed = *x.Seed
	case x.WarmUp != nil:
		s.Plan.WarmUp = int64(*x.WarmUp)
	case x.Run != nil:
		s.Plan.Duration = int64(*x.Run)
	case x.Site != nil:
		return s.applySite(x.Site)
	case x.Class != nil:
		return s.applyClass(x.Class)
	case x.Clients != nil:
		c := x.Clients
		s.Spec.Retries = world.RetryPolicy{MaxRetries: c.MaxRetries, HonorRetryAfter: c.HonorRetryAfter}
		if c.MinWait != nil {
			s.Spec.Retries.Wait = [2]world.Micros{int64(*c.MinWait), int64(*c.MinWait)}
		}
		if c.MaxWait != nil {
			s.Spec.Retries.Wait[1] = int64(*c.MaxWait)
		}
	case x.Load != nil:
		return s.applyLoad(x.Load)
	case x.Expect != nil:
		s.Expectations = append(s.Expectations, Expectation{Metric: x.Expect.Metric, Above: x.Expect.Above, Bound: float64(x.Expect.Bound)})
	case x.Fault != nil:
		t, err := x.Fault.fault()
		if err != nil {
			return err
		}
		s.Plan.Faults = append(s.Plan.Faults, t)
		*positions = append(*positions, x.Pos)
	}
	return nil
}

func (s *Scenario) applySite(b *siteBlock) error {
	var branches []world.Branch
	for _, x := range b.Items {
		switch {
		case x.Hubs != nil:
			s.Spec.Hubs = x.Hubs
		case x.Branch != nil:
			branches = append(branches, world.Branch{Name: x.Branch.Name, Hub: x.Branch.Hub, Boxes: x.Branch.Boxes, Fronts: x.Branch.Fronts})
		case x.Parents != nil:
			s.Spec.Parents = *x.Parents
		case x.MaxHeld != nil:
			s.Spec.MaxHeld = *x.MaxHeld
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

func (s *Scenario) applyClass(b *classBlock) error {
	i := slices.IndexFunc(s.Spec.Classes, func(c world.Class) bool { return c.Name == b.Name })
	if i < 0 {
		return fmt.Errorf("no class is called %q", b.Name)
	}
	c := &s.Spec.Classes[i]
	for _, x := range b.Items {
		for _, y := range []struct {
			from *duration
			to   *world.Micros
		}{{x.GiveUp, &c.GiveUp}, {x.Aim, &c.Aim}, {x.SendTime, &c.SendTime}, {x.Fresh, &c.Fresh}, {x.DriftPeriod, &c.DriftPeriod}} {
			if y.from != nil {
				*y.to = int64(*y.from)
			}
		}
		for _, y := range []struct {
			from *share
			to   *float64
		}{{x.Share, &c.Share}, {x.OneTimeShare, &c.OneTimeShare}, {x.LocalShare, &c.LocalShare}, {(*share)(x.Worth), &c.Worth}, {(*share)(x.Zipf), &c.Zipf}} {
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

func (s *Scenario) applyLoad(list []*loadPoint) (err error) {
	if s.Plan.Curve, err = loadCurve(list); err == nil {
		s.Spec.Rate = s.Plan.Curve[0].Rate
	}
	return err
}

func loadCurve(list []*loadPoint) (points []world.RatePoint, err error) {
	for i, x := range list {
		p := world.RatePoint{Rate: float64(x.Rate), Ramp: x.Ramp}
		if x.At != nil {
			p.At = int64(*x.At)
		}
		if i > 0 && p.At <= points[i-1].At {
			return nil, fmt.Errorf("%s: the times of the load must increase", x.Pos)
		}
		points = append(points, p)
	}
	return points, nil
}

// ParseLoad reads a load curve alone, in the syntax that follows "load" in a scenario.
func ParseLoad(text string) ([]world.RatePoint, error) {
	f, err := grammar.ParseString("load", "load "+text)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	if len(f.Statements) != 1 {
		return nil, fmt.Errorf("scenario: %s: only a load is allowed here", f.Statements[1].Pos)
	}
	points, err := loadCurve(f.Statements[0].Load)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return points, nil
}

// fault converts the parsed line. It fails where a duration is missing or not allowed,
// or where the fault cannot be silent.
func (t *faultLine) fault() (world.Fault, error) {
	out := world.Fault{At: int64(t.At), Silent: t.Silent}
	if t.Duration != nil {
		out.Duration = int64(*t.Duration)
	}
	setTarget := func(kind world.FaultKind, target *string) { out.Kind, out.Target = kind, *target }
	setAmount := func(kind world.FaultKind, x float64) { out.Kind, out.Amount = kind, x }
	instant := false
	switch {
	case t.LoseBranch != nil:
		setTarget(world.LoseBranch, t.LoseBranch)
	case t.LoseParents != nil:
		setTarget(world.LoseParents, t.LoseParents)
	case t.LoseServer != nil:
		setTarget(world.LoseServer, t.LoseServer)
	case t.LoseAnswers != nil:
		setAmount(world.LoseAnswers, float64(*t.LoseAnswers))
	case t.Slower != nil:
		setAmount(world.OriginSlow, float64(*t.Slower))
	case t.Stops:
		out.Kind = world.OriginStops
	case t.PurgeGroups != nil:
		setAmount(world.PurgeGroups, float64(*t.PurgeGroups))
		instant = true
	case t.PurgeHot != nil:
		setAmount(world.PurgeHot, float64(*t.PurgeHot))
		instant = true
	case t.Scan != nil:
		setAmount(world.Scan, float64(*t.Scan))
	case t.Surge != nil:
		setAmount(world.Surge, float64(*t.Surge))
	case t.Storm:
		out.Kind = world.RetryStorm
	case t.Cut != nil:
		setTarget(world.CutBranch, t.Cut)
	case t.FreezeAnswers != nil:
		setTarget(world.FreezeAnswers, t.FreezeAnswers)
	case t.FreezeBranch != nil:
		setTarget(world.FreezeBranch, t.FreezeBranch)
	case t.Restart != nil:
		setTarget(world.RestartFront, t.Restart)
	case t.Reload != nil:
		setTarget(world.ReloadFront, t.Reload)
		instant = true
	case t.Reset:
		out.Kind = world.ResetConnections
		instant = true
	case t.Spoil != nil:
		setAmount(world.CorruptAnswers, float64(*t.Spoil))
	case t.RegisterUnreachable:
		out.Kind = world.RegisterUnreachable
	case t.RegisterLate != nil:
		setAmount(world.RegisterLate, float64(*t.RegisterLate)/1e6)
	case t.Kill != nil:
		setTarget(world.KillFront, t.Kill)
	case t.Drain != nil:
		setTarget(world.DrainServer, t.Drain)
	case t.Flap != nil:
		setTarget(world.FlapServer, t.Flap)
		out.Amount = float64(*t.FlapTimes)
	}
	switch {
	case instant && t.Duration != nil:
		return out, fmt.Errorf("%s is over at once, and has no length", out.Kind)
	case !instant && t.Duration == nil:
		return out, fmt.Errorf("%s: for how long?", out.Kind)
	case t.Silent && out.Kind != world.LoseBranch && out.Kind != world.LoseParents && out.Kind != world.LoseServer:
		return out, fmt.Errorf("%s can't happen silently", out.Kind)
	}
	return out, nil
}
