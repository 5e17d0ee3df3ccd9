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
func (e Expectation) Check(result *world.Result) (value float64, ok bool) {
	switch e.Metric {
	case "G":
		value = result.G
	case "service":
		value = result.Service
	case "hits":
		value = result.Hits()
	case "falls":
		value = float64(result.Falls)
	case "origin":
		value = result.OriginBytes / max(1, result.SentBytes)
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
	value, err := strconv.ParseFloat(strings.TrimSuffix(text, suffix), 64)
	*out = value * scale
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

func (s *Scenario) apply(parsed *statement, positions *[]lexer.Position) error {
	switch {
	case parsed.Name != nil:
		s.Name = *parsed.Name
	case parsed.Seed != nil:
		s.Spec.Seed = *parsed.Seed
	case parsed.WarmUp != nil:
		s.Plan.WarmUp = int64(*parsed.WarmUp)
	case parsed.Run != nil:
		s.Plan.Duration = int64(*parsed.Run)
	case parsed.Site != nil:
		return s.applySite(parsed.Site)
	case parsed.Class != nil:
		return s.applyClass(parsed.Class)
	case parsed.Clients != nil:
		clients := parsed.Clients
		s.Spec.Retries = world.RetryPolicy{MaxRetries: clients.MaxRetries, HonorRetryAfter: clients.HonorRetryAfter}
		if clients.MinWait != nil {
			s.Spec.Retries.Wait = [2]world.Micros{int64(*clients.MinWait), int64(*clients.MinWait)}
		}
		if clients.MaxWait != nil {
			s.Spec.Retries.Wait[1] = int64(*clients.MaxWait)
		}
	case parsed.Load != nil:
		return s.applyLoad(parsed.Load)
	case parsed.Expect != nil:
		s.Expectations = append(s.Expectations, Expectation{Metric: parsed.Expect.Metric, Above: parsed.Expect.Above, Bound: float64(parsed.Expect.Bound)})
	case parsed.Fault != nil:
		fault, err := parsed.Fault.fault()
		if err != nil {
			return err
		}
		s.Plan.Faults = append(s.Plan.Faults, fault)
		*positions = append(*positions, parsed.Pos)
	}
	return nil
}

func (s *Scenario) applySite(block *siteBlock) error {
	var branches []world.Branch
	for _, item := range block.Items {
		switch {
		case item.Hubs != nil:
			s.Spec.Hubs = item.Hubs
		case item.Branch != nil:
			branches = append(branches, world.Branch{Name: item.Branch.Name, Hub: item.Branch.Hub, Boxes: item.Branch.Boxes, Fronts: item.Branch.Fronts})
		case item.Parents != nil:
			s.Spec.Parents = *item.Parents
		case item.MaxHeld != nil:
			s.Spec.MaxHeld = *item.MaxHeld
		case item.Fleet != nil:
			if item.Fleet.Nodes < 1 || item.Fleet.Fronts < 1 || item.Fleet.Nodes > 100_000 {
				return fmt.Errorf("a fleet of %d nodes and %d fronts", item.Fleet.Nodes, item.Fleet.Fronts)
			}
			s.Spec.Resize(item.Fleet.Nodes, item.Fleet.Fronts)
		}
	}
	if branches != nil {
		s.Spec.Branches = branches
	}
	return nil
}

func (s *Scenario) applyClass(block *classBlock) error {
	i := slices.IndexFunc(s.Spec.Classes, func(class world.Class) bool { return class.Name == block.Name })
	if i < 0 {
		return fmt.Errorf("no class is called %q", block.Name)
	}
	class := &s.Spec.Classes[i]
	for _, item := range block.Items {
		for _, setting := range []struct {
			from *duration
			to   *world.Micros
		}{{item.GiveUp, &class.GiveUp}, {item.Aim, &class.Aim}, {item.SendTime, &class.SendTime}, {item.Fresh, &class.Fresh}, {item.DriftPeriod, &class.DriftPeriod}} {
			if setting.from != nil {
				*setting.to = int64(*setting.from)
			}
		}
		for _, setting := range []struct {
			from *share
			to   *float64
		}{{item.Share, &class.Share}, {item.OneTimeShare, &class.OneTimeShare}, {item.LocalShare, &class.LocalShare}, {(*share)(item.Worth), &class.Worth}, {(*share)(item.Zipf), &class.Zipf}} {
			if setting.from != nil {
				*setting.to = float64(*setting.from)
			}
		}
		if item.Objects != nil {
			class.Objects = *item.Objects
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
	for i, parsed := range list {
		point := world.RatePoint{Rate: float64(parsed.Rate), Ramp: parsed.Ramp}
		if parsed.At != nil {
			point.At = int64(*parsed.At)
		}
		if i > 0 && point.At <= points[i-1].At {
			return nil, fmt.Errorf("%s: the times of the load must increase", parsed.Pos)
		}
		points = append(points, point)
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
func (line *faultLine) fault() (world.Fault, error) {
	fault := world.Fault{At: int64(line.At), Silent: line.Silent}
	if line.Duration != nil {
		fault.Duration = int64(*line.Duration)
	}
	setTarget := func(kind world.FaultKind, target *string) { fault.Kind, fault.Target = kind, *target }
	setAmount := func(kind world.FaultKind, amount float64) { fault.Kind, fault.Amount = kind, amount }
	instant := false
	switch {
	case line.LoseBranch != nil:
		setTarget(world.LoseBranch, line.LoseBranch)
	case line.LoseParents != nil:
		setTarget(world.LoseParents, line.LoseParents)
	case line.LoseServer != nil:
		setTarget(world.LoseServer, line.LoseServer)
	case line.LoseAnswers != nil:
		setAmount(world.LoseAnswers, float64(*line.LoseAnswers))
	case line.Slower != nil:
		setAmount(world.OriginSlow, float64(*line.Slower))
	case line.Stops:
		fault.Kind = world.OriginStops
	case line.PurgeGroups != nil:
		setAmount(world.PurgeGroups, float64(*line.PurgeGroups))
		instant = true
	case line.PurgeHot != nil:
		setAmount(world.PurgeHot, float64(*line.PurgeHot))
		instant = true
	case line.Scan != nil:
		setAmount(world.Scan, float64(*line.Scan))
	case line.Surge != nil:
		setAmount(world.Surge, float64(*line.Surge))
	case line.Storm:
		fault.Kind = world.RetryStorm
	case line.Cut != nil:
		setTarget(world.CutBranch, line.Cut)
	case line.FreezeAnswers != nil:
		setTarget(world.FreezeAnswers, line.FreezeAnswers)
	case line.FreezeBranch != nil:
		setTarget(world.FreezeBranch, line.FreezeBranch)
	case line.Restart != nil:
		setTarget(world.RestartFront, line.Restart)
	case line.Reload != nil:
		setTarget(world.ReloadFront, line.Reload)
		instant = true
	case line.Reset:
		fault.Kind = world.ResetConnections
		instant = true
	case line.Spoil != nil:
		setAmount(world.CorruptAnswers, float64(*line.Spoil))
	case line.RegisterUnreachable:
		fault.Kind = world.RegisterUnreachable
	case line.RegisterLate != nil:
		setAmount(world.RegisterLate, float64(*line.RegisterLate)/1e6)
	case line.Kill != nil:
		setTarget(world.KillFront, line.Kill)
	case line.Drain != nil:
		setTarget(world.DrainServer, line.Drain)
	case line.Flap != nil:
		setTarget(world.FlapServer, line.Flap)
		fault.Amount = float64(*line.FlapTimes)
	}
	switch {
	case instant && line.Duration != nil:
		return fault, fmt.Errorf("%s is over at once, and has no length", fault.Kind)
	case !instant && line.Duration == nil:
		return fault, fmt.Errorf("%s: for how long?", fault.Kind)
	case line.Silent && fault.Kind != world.LoseBranch && fault.Kind != world.LoseParents && fault.Kind != world.LoseServer:
		return fault, fmt.Errorf("%s can't happen silently", fault.Kind)
	}
	return fault, nil
}
