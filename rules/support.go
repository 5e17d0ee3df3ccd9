package rules

import (
	"errors"
	"fmt"
	"math"
)

// Support code without decisions: checks of the settings and a bounded table.

// check returns an error that names the first invalid setting.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return errors.New("settings: Classes is empty")
	}
	type span struct {
		key string
		at  Micros
	}
	spans := []span{{"DrainGrace", s.DrainGrace}, {"FallTime", s.FallTime}, {"WarmUp", s.WarmUp},
		{"PurgeGrace", s.PurgeGrace}, {"PurgeSettle", s.PurgeSettle}, {"ParentWarmUp", s.ParentWarmUp},
		{"OriginFallTime", s.OriginFallTime}, {"Tick", s.Tick}, {"MaxAway", s.MaxAway},
		{"AnswerGrace", s.AnswerGrace}, {"ConnectTime", s.ConnectTime}}
	for i, c := range s.Classes {
		key := fmt.Sprintf("Classes[%d].", i)
		if c.Effect > Unsafe {
			return fmt.Errorf("settings: %sEffect: unknown effect %d", key, c.Effect)
		}
		spans = append(spans, span{key + "Aim", c.Aim}, span{key + "GiveUp", c.GiveUp},
			span{key + "Fresh", c.Fresh}, span{key + "Grace", c.Grace},
			span{key + "MemorySpan", c.MemorySpan})
	}
	for _, x := range spans {
		if x.at < 0 {
			return fmt.Errorf("settings: %s is negative (%d us)", x.key, x.at)
		}
	}
	if err := s.checkCounts(); err != nil {
		return err
	}
	return s.checkNumbers()
}

// extends returns an error unless s keeps every class of the earlier settings at its index.
func (s *Settings) extends(o *Settings) error {
	for i, c := range o.Classes {
		if i >= len(s.Classes) || s.Classes[i] != c {
			return fmt.Errorf("settings: Classes[%d]: not the class %s that had the place", i, c.Name)
		}
	}
	return nil
}

// Avoided returns how many listed members get no ordinary requests now: those draining or ejected.
func (r *Router) Avoided() (n int) {
	for _, m := range r.members {
		if m.listed && (m.State != Ready || m.ejectedUntil > 0) {
			n++
		}
	}
	return n
}

// checkCounts returns an error that names the first count or enum value out of range.
func (s *Settings) checkCounts() error {
	type count struct {
		key   string
		n, at int // at: the maximum
	}
	counts := []count{{"Gateways", s.Gateways, math.MaxInt},
		{"Rank", s.Rank, math.MaxInt}, {"MaxAttempts", s.MaxAttempts, math.MaxInt},
		{"MaxHeld", s.MaxHeld, math.MaxInt}, {"Zone", s.Zone, math.MaxInt},
		{"Siblings", int(s.Siblings), int(SiblingsAny)}, {"Notes", int(s.Notes), int(NotesAll)},
		{"Weights", int(s.Weights), int(WeightsLive)}}
	for i, n := range s.ZoneGates {
		counts = append(counts, count{fmt.Sprintf("ZoneGates[%d]", i), n, math.MaxInt})
	}
	for i, c := range s.Classes {
		counts = append(counts, count{fmt.Sprintf("Classes[%d].Scope", i), int(c.Scope), int(ScopeCell)})
	}
	for _, x := range counts {
		if x.n < 0 || x.n > x.at {
			return fmt.Errorf("settings: %s: %d is not possible", x.key, x.n)
		}
	}
	return nil
}

// checkNumbers returns an error that names the first number that is negative, infinite, NaN, or a share
// above 1.
func (s *Settings) checkNumbers() error {
	type number struct {
		key   string
		x, at float64
	}
	const any = math.MaxFloat64
	numbers := []number{{"Flow", s.Flow, any}, {"ColdFrom", s.ColdFrom, 1},
		{"FallMultiple", s.FallMultiple, any},
		{"ParentColdFrom", s.ParentColdFrom, 1}, {"ParentFallMultiple", s.ParentFallMultiple, any},
		{"OriginFallMultiple", s.OriginFallMultiple, any}, {"Prices.LateFail", s.Prices.LateFail, any},
		{"Prices.Link", s.Prices.Link, any}, {"Prices.Origin", s.Prices.Origin, any},
		{"Prices.Probe", s.Prices.Probe, any}, {"Prices.Waste", s.Prices.Waste, any},
		{"Prices.CrossZone", s.Prices.CrossZone, any}}
	for i, x := range s.ZoneLink {
		numbers = append(numbers, number{fmt.Sprintf("ZoneLink[%d]", i), x, any})
	}
	for i, c := range s.Classes {
		key := fmt.Sprintf("Classes[%d].", i)
		numbers = append(numbers, number{key + "AimStretch", c.AimStretch, any},
			number{key + "Worth", c.Worth, any},
			number{key + "LateWorth", c.LateWorth, 1}, number{key + "OldWorth", c.OldWorth, 1})
	}
	for _, x := range numbers {
		if !(x.x >= 0 && x.x <= x.at) {
			return fmt.Errorf("settings: %s: %v is not possible", x.key, x.x)
		}
	}
	return nil
}

// agedTable is a map of two generations: entries not used for one to two spans are dropped, and
// neither generation outgrows its limit.
type agedTable[K comparable, V any] struct {
	young, old map[K]*V
	rotatedAt  Micros
}

func (t *agedTable[K, V]) get(k K) *V {
	if v := t.young[k]; v != nil {
		return v
	}
	return t.old[k]
}

// ensure returns an entry, created if missing, and moves it to the young generation. full says that the
// limit, not age, started a new generation, so that older entries may be lost.
func (t *agedTable[K, V]) ensure(k K, limit int, now, span Micros) (v *V, full bool) {
	v = t.get(k)
	if t.young == nil || len(t.young) >= limit || now-t.rotatedAt > span {
		full = len(t.young) >= limit
		t.young, t.old, t.rotatedAt = make(map[K]*V), t.young, now
	}
	if v == nil {
		v = new(V)
	}
	t.young[k] = v
	return v, full
}

func (t *agedTable[K, V]) put(k K, val V, limit int, now, span Micros) (full bool) {
	v, full := t.ensure(k, limit, now, span)
	*v = val
	return full
}
