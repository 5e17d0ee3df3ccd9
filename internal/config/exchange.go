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

// Exchange has the fronts of a fleet tell each other what need not be agreed: limits,
// verdicts, purges and latencies. It needs the fleet section.
type Exchange struct {
	RoundMS           int           `json:"round_ms,omitempty"`      // between two tellings; 100
	FailoverMS        int           `json:"pass_over_ms,omitempty"`  // a keeper that does not answer for so long is passed over; 1500
	FailbackMS        int           `json:"back_ms,omitempty"`       // and gone back to once it has answered for so long; 3000
	OwnerLeaseS       float64       `json:"keeper_s,omitempty"`      // lease of a keeper; 2
	AllocationLeaseS  float64       `json:"part_s,omitempty"`        // lease of a part of a limit; 8
	ClockDriftPercent float64       `json:"clock_percent,omitempty"` // bound on how much clocks' rates differ, for rates; 1
	MaxOpenTimeS      float64       `json:"longest_s,omitempty"`     // that a request may be open; 60
	Limits            []SharedLimit `json:"limits,omitempty"`
	Purges            *Purges       `json:"purges,omitempty"`
	Verdicts          *Verdicts     `json:"verdicts,omitempty"`
	Paths             *Paths        `json:"paths,omitempty"`
	History           string        `json:"history,omitempty"` // a file of what happened, for the laboratory
}

// SharedLimit is a limit that holds for the whole fleet.
type SharedLimit struct {
	Name            string  `json:"name"`
	Dimension       string  `json:"for"`                     // tenant, key, subject
	Who             string  `json:"of"`                      // whose; *: of each by itself
	Kind            string  `json:"kind"`                    // rate, open, uses
	Amount          float64 `json:"amount"`                  // a second, at once, in the span
	Burst           float64 `json:"burst,omitempty"`         // of a rate; a second's amount
	WindowS         float64 `json:"span_s,omitempty"`        // of uses
	Hard            bool    `json:"hard,omitempty"`          // never over
	IsolatedPercent float64 `json:"alone_percent,omitempty"` // of a soft one: what the fleet may spend beside it while all are cut off; 100
}

// Purges go through the fleet until acknowledged.
type Purges struct {
	RetentionS float64 `json:"keep_s,omitempty"`   // for which one is obeyed and told; 86400
	MaxHeld    int     `json:"most,omitempty"`     // held; 20000
	CatchUpS   float64 `json:"return_s,omitempty"` // that a front waits at its start for what it missed; 5
}

// Verdicts are what holds of boxes, hubs and prefixes for the whole fleet.
type Verdicts struct {
	Witnesses         int     `json:"witnesses,omitempty"`     // fronts that must say the same, in more than one site where there are such; 2
	SpanS             float64 `json:"span_s,omitempty"`        // for which a verdict holds after it was last said; 6
	FailingShare      float64 `json:"failing,omitempty"`       // share of answers that fail, from which a box is failing; 0.5
	SlowFactor        float64 `json:"slow,omitempty"`          // times what its hub takes, from which a box is slow; 4
	MinAnswers        float64 `json:"least,omitempty"`         // answers, decayed, before a front has an opinion; 4
	MaxEjectedPercent float64 `json:"most_percent,omitempty"`  // of a hub's boxes that verdicts may take away; 40
	MaxRetryAfterS    float64 `json:"most_away_s,omitempty"`   // the longest time to come back that an overloaded hub's refusals tell; 10
	ForgedRate        float64 `json:"forged_per_s,omitempty"`  // forged signatures a second over the fleet, from which a prefix is judged last; 5
	RefusedShare      float64 `json:"hub_refused,omitempty"`   // share of requests that a hub's fronts refuse, from which it is overloaded; 0.2
	HalfLifeS         float64 `json:"half_life_s,omitempty"`   // of evidence; 10
	ObserveOnly       bool    `json:"observe_only,omitempty"`  // verdicts are told and not acted on
	RetrySpread       float64 `json:"spread_factor,omitempty"` // by which told return times are spread, up to so many times; 2
}

// Paths is the shared model of latency from regions to edges.
type Paths struct {
	HalfLifeS      float64           `json:"half_life_s,omitempty"`     // of what was measured; 20
	StaleS         float64           `json:"stale_s,omitempty"`         // after which an order is not gone by; 10
	ExplorePercent float64           `json:"explore_percent,omitempty"` // of requests that try what was not seen lately; 2
	PacePercent    float64           `json:"pace_percent,omitempty"`    // of a region's share that may move in a second; 10
	MaxWeight      float64           `json:"weight,omitempty"`          // the most that one front's word counts, in requests; 200
	Regions        map[string]string `json:"regions,omitempty"`         // region by clients' prefix; others have their branch
}

// Bounds of the exchange section.
const (
	leastRoundMS = 20
	mostRoundMS  = 5000
	mostLimits   = 256
	mostRegions  = 10000
)

// number is a figure with its bounds and what stands for none.
type number struct {
	key         string
	at          *float64
	absent      float64
	least, most float64
}

func (x *Exchange) check(at *faults, dir string, fleet bool) {
	if !fleet {
		at.addf("limits, purges, verdicts, paths", "they need the section fleet")
	}
	x.RoundMS, x.FailoverMS, x.FailbackMS = cmp.Or(x.RoundMS, 100), cmp.Or(x.FailoverMS, 1500), cmp.Or(x.FailbackMS, 3000)
	whole := []struct {
		key            string
		n, least, most int
	}{{"round_ms", x.RoundMS, leastRoundMS, mostRoundMS}, {"pass_over_ms", x.FailoverMS, 3 * x.RoundMS, 600_000}, {"back_ms", x.FailbackMS, x.RoundMS, 600_000}}
	figures := []number{{"keeper_s", &x.OwnerLeaseS, 2, 0.2, 600}, {"part_s", &x.AllocationLeaseS, 8, 0.5, 3600}, {"clock_percent", &x.ClockDriftPercent, 1, 0, 10}, {"longest_s", &x.MaxOpenTimeS, 60, 0.1, 3600}}
	if p := x.Purges; p != nil {
		p.MaxHeld = cmp.Or(p.MaxHeld, 20_000)
		whole = append(whole, struct {
			key            string
			n, least, most int
		}{"purges.most", p.MaxHeld, 100, 1_000_000})
		figures = append(figures, number{"purges.keep_s", &p.RetentionS, 86400, 1, 1e8}, number{"purges.return_s", &p.CatchUpS, 5, 0.1, 600})
	}
	if v := x.Verdicts; v != nil {
		v.Witnesses = cmp.Or(v.Witnesses, 2)
		whole = append(whole, struct {
			key            string
			n, least, most int
		}{"verdicts.witnesses", v.Witnesses, 1, 100})
		figures = append(figures, number{"verdicts.span_s", &v.SpanS, 6, 0.5, 3600}, number{"verdicts.failing", &v.FailingShare, 0.5, 0.01, 1}, number{"verdicts.slow", &v.SlowFactor, 4, 1.1, 1000},
			number{"verdicts.least", &v.MinAnswers, 4, 1, 1e6}, number{"verdicts.most_percent", &v.MaxEjectedPercent, 40, 0, 90}, number{"verdicts.most_away_s", &v.MaxRetryAfterS, 10, 0.1, 600},
			number{"verdicts.forged_per_s", &v.ForgedRate, 5, 0.1, 1e6}, number{"verdicts.hub_refused", &v.RefusedShare, 0.2, 0.01, 1}, number{"verdicts.half_life_s", &v.HalfLifeS, 10, 0.1, 3600},
			number{"verdicts.spread_factor", &v.RetrySpread, 2, 1, 10})
	}
	if p := x.Paths; p != nil {
		figures = append(figures, number{"paths.half_life_s", &p.HalfLifeS, 20, 0.5, 86400}, number{"paths.stale_s", &p.StaleS, 10, 0.5, 86400},
			number{"paths.explore_percent", &p.ExplorePercent, 2, 0, 50}, number{"paths.pace_percent", &p.PacePercent, 10, 0.1, 100}, number{"paths.weight", &p.MaxWeight, 200, 1, 1e6})
		if len(p.Regions) > mostRegions {
			at.addf("paths.regions", "%d prefixes, %d at most", len(p.Regions), mostRegions)
		}
		for prefix, region := range p.Regions {
			if _, err := netip.ParsePrefix(prefix); err != nil {
				at.add("paths.regions."+prefix, err)
			}
			if err := checkFleetName(region); err != nil {
				at.add("paths.regions."+prefix, err)
			}
		}
	}
	for _, n := range whole {
		if n.n < n.least || n.n > n.most {
			at.addf(n.key, "%d is not %d to %d", n.n, n.least, n.most)
		}
	}
	for _, f := range figures {
		if *f.at = cmp.Or(*f.at, f.absent); !(*f.at >= f.least && *f.at <= f.most) {
			at.addf(f.key, "%g is not %g to %g", *f.at, f.least, f.most)
		}
	}
	if x.History != "" && !filepath.IsAbs(x.History) {
		x.History = filepath.Join(dir, x.History)
	}
	if len(x.Limits) > mostLimits {
		at.addf("limits", "%d of them, %d at most", len(x.Limits), mostLimits)
	}
	names := map[string]bool{}
	for i := range x.Limits {
		l := &x.Limits[i]
		key := at.at(fmt.Sprintf("limits[%d]", i))
		if err := checkFleetName(l.Name); err != nil {
			key.add("name", err)
		} else if names[l.Name] {
			key.addf("name", "%q stands twice", l.Name)
		}
		names[l.Name] = true
		switch l.Dimension {
		case "tenant", "key", "subject":
		default:
			key.addf("for", "%q is not tenant, key or subject", l.Dimension)
		}
		if l.Who == "" {
			key.addf("of", "missing: a name, or * for each")
		}
		kind, err := quotalease.ParseKind(l.Kind)
		key.add("kind", err)
		if kind == quotalease.Rate && err == nil {
			l.Burst = cmp.Or(l.Burst, max(1, l.Amount))
		}
		if !l.Hard && l.IsolatedPercent == 0 {
			l.IsolatedPercent = 100
		}
		if err == nil {
			a := l.allowance()
			key.add("", a.Check())
		}
	}
}

func (l *SharedLimit) allowance() quotalease.Limit {
	kind, _ := quotalease.ParseKind(l.Kind) // it was checked
	return quotalease.Limit{Name: l.Name, Dimension: l.Dimension, Who: l.Who, Kind: kind, Amount: l.Amount, Burst: l.Burst, Window: int64(l.WindowS * 1e6), Hard: l.Hard, IsolatedShare: l.IsolatedPercent / 100}
}

// Allowances gives the limits and what they share.
func (x *Exchange) QuotaLimits() (rules quotalease.Rules, list []quotalease.Limit) {
	rules = quotalease.Rules{AllocationLease: int64(x.AllocationLeaseS * 1e6), OwnerLease: int64(x.OwnerLeaseS * 1e6), ClockDrift: x.ClockDriftPercent / 100, MaxOpenTime: int64(x.MaxOpenTimeS * 1e6),
		ChildTimeout: int64(x.FailoverMS) * 1000}
	for i := range x.Limits {
		list = append(list, x.Limits[i].allowance())
	}
	return rules, list
}

// same tells whether another section differs only in what takes effect at once.
func (x *Exchange) same(n *Exchange) bool {
	if x == nil || n == nil {
		return x == n
	}
	a, b := *x, *n
	a.Limits, b.Limits = nil, nil
	return reflect.DeepEqual(a, b)
}

// Bounds tells what follows from the section, a line each: how stale and how far over
// each shared thing can be when links fail.
func (x *Exchange) Bounds() (lines []string) {
	rules, list := x.QuotaLimits()
	say := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	for i := range list {
		l := &list[i]
		b := l.Bound(rules)
		what := map[quotalease.Kind]string{quotalease.Rate: "a second", quotalease.Open: "at once", quotalease.Uses: fmt.Sprintf("in %gs", float64(l.Window)/1e6)}[l.Kind]
		kind := "soft"
		if l.Hard {
			kind = "hard"
		}
		say("limit %s: %s, %g %s; over: %g %s at most; up to %g fronts hold a part at once; a dead front's part is dealt anew after %.1f s, what a new root was not told of after %.1f s",
			l.Name, kind, l.Amount, what, b.MaxExcess, what, b.MaxHolders, float64(b.ReclaimAfter)/1e6, float64(b.RootRecovery)/1e6)
	}
	round := float64(x.RoundMS) / 1000
	if p := x.Purges; p != nil {
		say("purges: told on within %.1f s a site on the way while links hold; held for %.0f s; a front that was away serves once it has what it missed, or after %.1f s by copies from its return on", round, p.RetentionS, p.CatchUpS)
	}
	if v := x.Verdicts; v != nil {
		say("verdicts: stale by %.1f s at most; %d witnesses; at most %g%% of a hub's boxes", v.SpanS, v.Witnesses, v.MaxEjectedPercent)
	}
	if p := x.Paths; p != nil {
		say("paths: an order is gone by for %.1f s at most; %g%% of a region's share moves in a second; one front counts for %g requests", p.StaleS, p.PacePercent, p.MaxWeight)
	}
	return lines
}

// Prefixes gives the regions by prefix.
func (p *Paths) RegionsByPrefix() map[netip.Prefix]string {
	out := map[netip.Prefix]string{}
	for prefix, region := range p.Regions {
		if x, err := netip.ParsePrefix(prefix); err == nil {
			out[x.Masked()] = strings.Clone(region)
		}
	}
	return out
}

// Rules gives what verdicts go by.
func (v *Verdicts) Rules() outlier.Rules {
	return outlier.Rules{Witnesses: v.Witnesses, Span: int64(v.SpanS * 1e6), HalfLife: int64(v.HalfLifeS * 1e6), FailingShare: v.FailingShare, SlowFactor: v.SlowFactor, MinAnswers: v.MinAnswers,
		MaxEjectedShare: v.MaxEjectedPercent / 100, RefusedShare: v.RefusedShare, ForgedRate: v.ForgedRate, MaxRetryAfter: int64(v.MaxRetryAfterS * 1e6), RetrySpread: v.RetrySpread}
}
