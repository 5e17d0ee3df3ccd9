package config

import (
	"cmp"
	"fmt"
	"net/netip"
	"path/filepath"
	"reflect"
	"strings"

	"cherryramp/internal/decide/outlier"
	"cherryramp/internal/decide/quotalease"
)

// Exchange sets up the exchange of limits, verdicts, purges and latencies between the
// fronts of a fleet, none of which needs consensus. It requires the fleet section.
// Comments end with the default.
type Exchange struct {
	RoundMS           int           `json:"round_ms,omitempty"`      // interval of exchange rounds; 100
	FailoverMS        int           `json:"pass_over_ms,omitempty"`  // an owner that does not answer for this long is bypassed; 1500
	FailbackMS        int           `json:"back_ms,omitempty"`       // a bypassed owner that has answered for this long is used again; 3000
	OwnerLeaseS       float64       `json:"keeper_s,omitempty"`      // lease of an owner; 2
	AllocationLeaseS  float64       `json:"part_s,omitempty"`        // lease of an allocation from a limit; 8
	ClockDriftPercent float64       `json:"clock_percent,omitempty"` // bound on the difference of the clocks' rates, for rate limits; 1
	MaxOpenTimeS      float64       `json:"longest_s,omitempty"`     // bound on the time that a request is open; 60
	Limits            []SharedLimit `json:"limits,omitempty"`
	Purges            *Purges       `json:"purges,omitempty"`
	Verdicts          *Verdicts     `json:"verdicts,omitempty"`
	Paths             *Paths        `json:"paths,omitempty"`
	History           string        `json:"history,omitempty"` // file that events are recorded in, for the lab
}

// SharedLimit is a limit on the whole fleet together.
type SharedLimit struct {
	Name            string  `json:"name"`
	Dimension       string  `json:"for"`                     // tenant, key, subject
	Who             string  `json:"of"`                      // name that the limit applies to; *: each name separately
	Kind            string  `json:"kind"`                    // rate, open, uses
	Amount          float64 `json:"amount"`                  // per second (rate), at once (open), per window (uses)
	Burst           float64 `json:"burst,omitempty"`         // of a rate; default: one second's amount, at least 1
	WindowS         float64 `json:"span_s,omitempty"`        // window of uses
	Hard            bool    `json:"hard,omitempty"`          // never exceeded, even while links fail
	IsolatedPercent float64 `json:"alone_percent,omitempty"` // of a soft limit: excess that isolated fronts may admit together; 100
}

// Purges sets up purges, which are repeated through the fleet until acknowledged.
type Purges struct {
	RetentionS float64 `json:"keep_s,omitempty"`   // time for which a purge is applied and sent; 86400
	MaxHeld    int     `json:"most,omitempty"`     // purges held; 20000
	CatchUpS   float64 `json:"return_s,omitempty"` // longest wait of a starting front for purges that it missed; 5
}

// Verdicts sets up the fleet's verdicts on boxes, hubs and client prefixes.
type Verdicts struct {
	Witnesses         int     `json:"witnesses,omitempty"`     // fronts that must agree, from more than one site where there are several; 2
	SpanS             float64 `json:"span_s,omitempty"`        // time for which a verdict holds after its last confirmation; 6
	FailingShare      float64 `json:"failing,omitempty"`       // share of failed answers from which a box is failing; 0.5
	SlowFactor        float64 `json:"slow,omitempty"`          // multiple of its hub's latency from which a box is slow; 4
	MinAnswers        float64 `json:"least,omitempty"`         // decayed count of answers that an observation needs; 4
	MaxEjectedPercent float64 `json:"most_percent,omitempty"`  // share of a hub's boxes that verdicts may eject; 40
	MaxRetryAfterS    float64 `json:"most_away_s,omitempty"`   // longest Retry-After of an overloaded hub's refusals; 10
	ForgedRate        float64 `json:"forged_per_s,omitempty"`  // forged signatures per second in the fleet from which a prefix's signatures are checked last; 5
	RefusedShare      float64 `json:"hub_refused,omitempty"`   // share of requests refused by a hub's fronts from which it is overloaded; 0.2
	HalfLifeS         float64 `json:"half_life_s,omitempty"`   // half-life of observations; 10
	ObserveOnly       bool    `json:"observe_only,omitempty"`  // verdicts are published and not acted on
	RetrySpread       float64 `json:"spread_factor,omitempty"` // Retry-After times are spread over up to this multiple; 2
}

// Paths is the shared model of latency from regions to edges.
type Paths struct {
	HalfLifeS      float64           `json:"half_life_s,omitempty"`     // half-life of latency samples; 20
	StaleS         float64           `json:"stale_s,omitempty"`         // age from which an order of edges is not used; 10
	ExplorePercent float64           `json:"explore_percent,omitempty"` // share of requests that probe edges without recent samples; 2
	PacePercent    float64           `json:"pace_percent,omitempty"`    // share of a region's requests that may move per second; 10
	MaxWeight      float64           `json:"weight,omitempty"`          // bound on the weight of one front's samples, in requests; 200
	Regions        map[string]string `json:"regions,omitempty"`         // region by client prefix; other clients use their branch
}

// Bounds of the exchange section.
const (
	minRoundMS = 20
	maxRoundMS = 5000
	maxLimits  = 256
	maxRegions = 10000
)

// boundedFloat is a setting with its bounds and its default.
type boundedFloat struct {
	key      string
	value    *float64
	fallback float64
	lo, hi   float64
}

// check sets defaults and adds every fault to errs. Relative paths are relative to dir.
func (x *Exchange) check(errs *faults, dir string, fleet bool) {
	if !fleet {
		errs.addf("limits, purges, verdicts, paths", "these need the section fleet")
	}
	x.RoundMS, x.FailoverMS, x.FailbackMS = cmp.Or(x.RoundMS, 100), cmp.Or(x.FailoverMS, 1500), cmp.Or(x.FailbackMS, 3000)
	ints := []struct {
		key       string
		n, lo, hi int
	}{{"round_ms", x.RoundMS, minRoundMS, maxRoundMS}, {"pass_over_ms", x.FailoverMS, 3 * x.RoundMS, 600_000}, {"back_ms", x.FailbackMS, x.RoundMS, 600_000}}
	floats := []boundedFloat{{"keeper_s", &x.OwnerLeaseS, 2, 0.2, 600}, {"part_s", &x.AllocationLeaseS, 8, 0.5, 3600}, {"clock_percent", &x.ClockDriftPercent, 1, 0, 10}, {"longest_s", &x.MaxOpenTimeS, 60, 0.1, 3600}}
	if p := x.Purges; p != nil {
		p.MaxHeld = cmp.Or(p.MaxHeld, 20_000)
		ints = append(ints, struct {
			key       string
			n, lo, hi int
		}{"purges.most", p.MaxHeld, 100, 1_000_000})
		floats = append(floats, boundedFloat{"purges.keep_s", &p.RetentionS, 86400, 1, 1e8}, boundedFloat{"purges.return_s", &p.CatchUpS, 5, 0.1, 600})
	}
	if v := x.Verdicts; v != nil {
		v.Witnesses = cmp.Or(v.Witnesses, 2)
		ints = append(ints, struct {
			key       string
			n, lo, hi int
		}{"verdicts.witnesses", v.Witnesses, 1, 100})
		floats = append(floats, boundedFloat{"verdicts.span_s", &v.SpanS, 6, 0.5, 3600}, boundedFloat{"verdicts.failing", &v.FailingShare, 0.5, 0.01, 1}, boundedFloat{"verdicts.slow", &v.SlowFactor, 4, 1.1, 1000},
			boundedFloat{"verdicts.least", &v.MinAnswers, 4, 1, 1e6}, boundedFloat{"verdicts.most_percent", &v.MaxEjectedPercent, 40, 0, 90}, boundedFloat{"verdicts.most_away_s", &v.MaxRetryAfterS, 10, 0.1, 600},
			boundedFloat{"verdicts.forged_per_s", &v.ForgedRate, 5, 0.1, 1e6}, boundedFloat{"verdicts.hub_refused", &v.RefusedShare, 0.2, 0.01, 1}, boundedFloat{"verdicts.half_life_s", &v.HalfLifeS, 10, 0.1, 3600},
			boundedFloat{"verdicts.spread_factor", &v.RetrySpread, 2, 1, 10})
	}
	if p := x.Paths; p != nil {
		floats = append(floats, boundedFloat{"paths.half_life_s", &p.HalfLifeS, 20, 0.5, 86400}, boundedFloat{"paths.stale_s", &p.StaleS, 10, 0.5, 86400},
			boundedFloat{"paths.explore_percent", &p.ExplorePercent, 2, 0, 50}, boundedFloat{"paths.pace_percent", &p.PacePercent, 10, 0.1, 100}, boundedFloat{"paths.weight", &p.MaxWeight, 200, 1, 1e6})
		if len(p.Regions) > maxRegions {
			errs.addf("paths.regions", "%d prefixes, at most %d are allowed", len(p.Regions), maxRegions)
		}
		for prefix, region := range p.Regions {
			if _, err := netip.ParsePrefix(prefix); err != nil {
				errs.add("paths.regions."+prefix, err)
			}
			if err := checkFleetName(region); err != nil {
				errs.add("paths.regions."+prefix, err)
			}
		}
	}
	for _, n := range ints {
		if n.n < n.lo || n.n > n.hi {
			errs.addf(n.key, "%d is not %d to %d", n.n, n.lo, n.hi)
		}
	}
	for _, f := range floats {
		if *f.value = cmp.Or(*f.value, f.fallback); !(*f.value >= f.lo && *f.value <= f.hi) {
			errs.addf(f.key, "%g is not %g to %g", *f.value, f.lo, f.hi)
		}
	}
	if x.History != "" && !filepath.IsAbs(x.History) {
		x.History = filepath.Join(dir, x.History)
	}
	if len(x.Limits) > maxLimits {
		errs.addf("limits", "%d limits, at most %d are allowed", len(x.Limits), maxLimits)
	}
	names := map[string]bool{}
	for i := range x.Limits {
		l := &x.Limits[i]
		limitErrs := errs.under(fmt.Sprintf("limits[%d]", i))
		if err := checkFleetName(l.Name); err != nil {
			limitErrs.add("name", err)
		} else if names[l.Name] {
			limitErrs.addf("name", "%q occurs twice", l.Name)
		}
		names[l.Name] = true
		switch l.Dimension {
		case "tenant", "key", "subject":
		default:
			limitErrs.addf("for", "%q is not tenant, key or subject", l.Dimension)
		}
		if l.Who == "" {
			limitErrs.addf("of", "missing: a name, or * for each name separately")
		}
		kind, err := quotalease.ParseKind(l.Kind)
		limitErrs.add("kind", err)
		if kind == quotalease.Rate && err == nil {
			l.Burst = cmp.Or(l.Burst, max(1, l.Amount))
		}
		if !l.Hard && l.IsolatedPercent == 0 {
			l.IsolatedPercent = 100
		}
		if err == nil {
			quota := l.quotaLimit()
			limitErrs.add("", quota.Check())
		}
	}
}

func (l *SharedLimit) quotaLimit() quotalease.Limit {
	kind, _ := quotalease.ParseKind(l.Kind) // check has validated it
	return quotalease.Limit{Name: l.Name, Dimension: l.Dimension, Who: l.Who, Kind: kind, Amount: l.Amount, Burst: l.Burst, Window: int64(l.WindowS * 1e6), Hard: l.Hard, IsolatedShare: l.IsolatedPercent / 100}
}

// QuotaLimits gives the limits and the rules that they share.
func (x *Exchange) QuotaLimits() (rules quotalease.Rules, list []quotalease.Limit) {
	rules = quotalease.Rules{AllocationLease: int64(x.AllocationLeaseS * 1e6), OwnerLease: int64(x.OwnerLeaseS * 1e6), ClockDrift: x.ClockDriftPercent / 100, MaxOpenTime: int64(x.MaxOpenTimeS * 1e6),
		ChildTimeout: int64(x.FailoverMS) * 1000}
	for i := range x.Limits {
		list = append(list, x.Limits[i].quotaLimit())
	}
	return rules, list
}

// sameExceptLimits reports whether n differs at most in its limits, which take
// effect without a restart.
func (x *Exchange) sameExceptLimits(n *Exchange) bool {
	if x == nil || n == nil {
		return x == n
	}
	a, b := *x, *n
	a.Limits, b.Limits = nil, nil
	return reflect.DeepEqual(a, b)
}

// Bounds describes the worst case of each shared limit and table while links fail,
// one per line: how far it can be exceeded and how outdated it can be.
func (x *Exchange) Bounds() (lines []string) {
	rules, list := x.QuotaLimits()
	addLine := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	for i := range list {
		l := &list[i]
		b := l.Bound(rules)
		unit := map[quotalease.Kind]string{quotalease.Rate: "a second", quotalease.Open: "at once", quotalease.Uses: fmt.Sprintf("in %gs", float64(l.Window)/1e6)}[l.Kind]
		kind := "soft"
		if l.Hard {
			kind = "hard"
		}
		addLine("limit %s: %s, %g %s; over: %g %s at most; up to %g fronts hold an allocation at once; a failed front's allocation is reallocated after %.1f s, what nobody has reported to a new root owner after %.1f s",
			l.Name, kind, l.Amount, unit, b.MaxExcess, unit, b.MaxHolders, float64(b.ReclaimAfter)/1e6, float64(b.RootRecovery)/1e6)
	}
	round := float64(x.RoundMS) / 1000
	if p := x.Purges; p != nil {
		addLine("purges: forwarded within %.1f s per site on the way while links hold; held for %.0f s; a front that was away serves once it has what it missed, or after %.1f s with copies from after its return only", round, p.RetentionS, p.CatchUpS)
	}
	if v := x.Verdicts; v != nil {
		addLine("verdicts: stale by %.1f s at most; %d witnesses; at most %g%% of a hub's boxes ejected", v.SpanS, v.Witnesses, v.MaxEjectedPercent)
	}
	if p := x.Paths; p != nil {
		addLine("paths: an order of edges is used for %.1f s at most; at most %g%% of a region's requests move per second; one front's samples count as %g requests at most", p.StaleS, p.PacePercent, p.MaxWeight)
	}
	return lines
}

// RegionsByPrefix gives the region of each client prefix.
func (p *Paths) RegionsByPrefix() map[netip.Prefix]string {
	out := map[netip.Prefix]string{}
	for prefix, region := range p.Regions {
		if x, err := netip.ParsePrefix(prefix); err == nil {
			out[x.Masked()] = strings.Clone(region)
		}
	}
	return out
}

// Rules gives the rules that verdicts are made by.
func (v *Verdicts) Rules() outlier.Rules {
	return outlier.Rules{Witnesses: v.Witnesses, Span: int64(v.SpanS * 1e6), HalfLife: int64(v.HalfLifeS * 1e6), FailingShare: v.FailingShare, SlowFactor: v.SlowFactor, MinAnswers: v.MinAnswers,
		MaxEjectedShare: v.MaxEjectedPercent / 100, RefusedShare: v.RefusedShare, ForgedRate: v.ForgedRate, MaxRetryAfter: int64(v.MaxRetryAfterS * 1e6), RetrySpread: v.RetrySpread}
}
