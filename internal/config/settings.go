// Package config reads and checks all configuration and sets its defaults. Its
// errors name the faulty key.
package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"cherryramp/rules"
)

// settingsReader converts settings by key, keeps the first error, and records which keys
// were asked for.
type settingsReader struct {
	values map[string]string
	used   map[string]struct{}
	err    error
}

func newSettingsReader() *settingsReader {
	return &settingsReader{values: map[string]string{}, used: map[string]struct{}{}}
}

// text returns the value of a key; empty: it is absent or empty.
func (r *settingsReader) text(key string) string {
	r.used[key] = struct{}{}
	return r.values[key]
}

func (r *settingsReader) fail(key, what string) {
	if r.err == nil {
		r.err = fmt.Errorf("settings: %s=%s: %s", key, r.values[key], what)
	}
}

// floatBetween reads a number from lo to hi; an absent or empty one is fallback.
func (r *settingsReader) floatBetween(key string, fallback, lo, hi float64) float64 {
	s := r.text(key)
	if s == "" {
		return fallback
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || v < lo || v > hi {
		r.fail(key, fmt.Sprintf("not a number from %g to %g", lo, hi))
		return fallback
	}
	return v
}

// maxNumber bounds all numbers; up to it a float64 holds every integer exactly.
const maxNumber = 1e15

func (r *settingsReader) float(key string, fallback float64) float64 {
	return r.floatBetween(key, fallback, 0, maxNumber)
}

// share reads a number from 0 to 1.
func (r *settingsReader) share(key string, fallback float64) float64 {
	return r.floatBetween(key, fallback, 0, 1)
}

// index reads an index into a list; -1: none.
func (r *settingsReader) index(key string) int { return int(r.floatBetween(key, -1, -1, maxNumber)) }

func (r *settingsReader) int(key string, fallback int) int {
	return int(r.float(key, float64(fallback)))
}

func (r *settingsReader) micros(key string, fallback rules.Micros) rules.Micros {
	return rules.Micros(r.float(key, float64(fallback)))
}

func (r *settingsReader) bool(key string) bool {
	switch r.text(key) {
	case "true":
		return true
	case "false", "":
		return false
	}
	r.fail(key, "neither true nor false")
	return false
}

// enum reads one of names and gives its index; absent or empty: 0.
func (r *settingsReader) enum(key string, names ...string) int {
	s := r.text(key)
	if s == "" {
		return 0
	}
	for i, w := range names {
		if s == w {
			return i
		}
	}
	r.fail(key, "not one of "+strings.Join(names, ", "))
	return 0
}

func (r *settingsReader) list(key string) []string {
	text := r.text(key)
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

func (r *settingsReader) floats(key string) []float64 { return r.floatsAtLeast(key, 0) }

// floatsAtLeast reads a list of numbers, each of which is at least lo.
func (r *settingsReader) floatsAtLeast(key string, lo float64) (out []float64) {
	for _, s := range r.list(key) {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil || math.IsNaN(v) || v < lo || v > maxNumber {
			r.fail(key, fmt.Sprintf("not a list of numbers from %g to %g", lo, maxNumber))
			return nil
		}
		out = append(out, v)
	}
	return out
}

func (r *settingsReader) ints(key string) []int { return toInts(r.floats(key)) }

// indexes reads a list of indexes into another list; -1: none.
func (r *settingsReader) indexes(key string) []int { return toInts(r.floatsAtLeast(key, -1)) }

func toInts(list []float64) (out []int) {
	for _, v := range list {
		out = append(out, int(v))
	}
	return out
}

func (r *settingsReader) bools(key string) (out []bool) {
	for _, s := range r.list(key) {
		if s != "true" && s != "false" {
			r.fail(key, "not a list of true and false")
			return nil
		}
		out = append(out, s == "true")
	}
	return out
}

// valueAt gives list[i], or fallback where the list is shorter.
func valueAt[T any](list []T, i int, fallback T) T {
	if i < len(list) {
		return list[i]
	}
	return fallback
}

// ParseSettings reads the path=value lines of the simulator's first message. The
// error names the first faulty key or line.
func ParseSettings(text string) (rules.Settings, error) {
	reader := newSettingsReader()
	for n, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return rules.Settings{}, fmt.Errorf("settings: line %d has no '=': %.60q", n+1, line)
		}
		reader.values[key] = value
	}
	s := reader.settings()
	return s, reader.err
}

// settings gives the rules' settings; a faulty value is replaced by its default and
// sets r.err.
func (r *settingsReader) settings() rules.Settings {
	s := rules.Settings{
		Classes:       r.classes(),
		Gateways:      r.int("balancers", 1),
		Rank:          1 + r.index("rank"),
		Zone:          r.int("zone", 0),
		ZoneGates:     r.ints("extra.zone-balancers"),
		ZoneHub:       r.indexes("extra.hub-by-zone"),
		ZoneLink:      r.floats("extra.inlet-kb-per-s"),
		ParentKind:    r.index("extra.upper-kind"),
		OriginKind:    r.index("extra.store-kind"),
		Flow:          r.float("extra.flow-kb-per-s", 0),
		Weights:       rules.Weights(r.enum("weights", "off", "nominal", "rough", "live")),
		ListOnRequest: r.enum("discovery", "pushed", "on_request") == 1,
		Direct:        r.bool("extra.direct"),
		Joins:         r.bool("extra.shares-fills"),
		Siblings:      rules.Siblings(r.enum("extra.lateral", "off", "location", "any")),
		Notes:         rules.Notes(r.enum("extra.note-level", "off", "hit", "all")),
		Cancel:        r.bool("limits.cancel"),
		Hedges:        r.bool("limits.second-copies"),
		Probes:        r.bool("limits.probes"),
		RetryAfter:    r.bool("limits.retry-after"),
		MaxAttempts:   r.int("limits.max-attempts", 1),
		MaxHeld:       r.int("limits.most-held", 0),
		MaxAway:       r.micros("limits.max-retry-after-us", 0),
		ConnectTime:   r.micros("limits.connect-timeout-us", 0),
		ReportFields:  make(map[string]int),
		Tick:          r.micros("tick-us", 1000),
		DrainGrace:    r.micros("rules.drain-grace-us", 0),
		FallMultiple:  r.float("rules.fall-multiple", 1),
		FallTime:      r.micros("rules.fall-us", 0),
		ColdFrom:      r.share("rules.cold-from", 0),
		WarmUp:        r.micros("rules.warm-up-us", 0),
		AnswerGrace:   r.micros("rules.grace-to-answer-us", 0),
		PurgeGrace:    r.micros("extra.obey-after-us", 0),
		PurgeSettle:   r.micros("extra.purge-settles-us", 0),

		ParentColdFrom:     r.share("extra.parent-cold-from", 0),
		ParentWarmUp:       r.micros("extra.upper-cold-us", 0),
		ParentFallMultiple: r.float("extra.parent-limit-factor", 1),
		OriginFallMultiple: r.float("extra.origin-limit-factor", 0),
		OriginFallTime:     r.micros("extra.root-fall-us", 0),
		Prices: rules.Prices{
			LateFail:  r.float("penalties.late-fail", 0),
			Link:      r.float("extra.price-of-link", 0),
			Origin:    r.float("penalties.origin", 0),
			Probe:     r.float("penalties.probe", 0),
			Waste:     r.float("penalties.waste", 0),
			CrossZone: r.float("penalties.cross-zone", 0),
		},
	}
	for i, name := range r.list("report.fields") {
		s.ReportFields[name] = i
	}
	return s
}

func (r *settingsReader) classes() []rules.Class {
	writes, parts := r.bools("extra.class-write"), r.bools("extra.in-parts")
	fresh, grace := r.floats("extra.max-age-us"), r.floats("extra.usable-after-us")
	old := r.floats("extra.old-copy-worth")
	for _, x := range old {
		if x > 1 {
			r.fail("extra.old-copy-worth", "not a list of numbers from 0 to 1")
		}
	}
	n := r.int("grades.count", 0)
	if n < 0 || n > 256 {
		r.fail("grades.count", "out of range")
		return nil
	}
	var out []rules.Class
	for i := range n {
		p := classPrefix(i)
		out = append(out, rules.Class{
			Name:       r.text(p + "name"),
			Effect:     rules.Effect(r.enum(p+"effect", "read_like", "idempotency_key", "non_idempotent")),
			Scope:      rules.Scope(r.enum(p+"dedup-scope", "all", "zone", "cell")),
			MemorySpan: r.micros(p+"memory-span-us", 0),
			Aim:        r.micros(p+"goal-time-us", 0),
			AimStretch: r.float(p+"aim-stretch", 0),
			GiveUp:     r.micros(p+"give-up-us", 0),
			Worth:      r.float(p+"importance", 1),
			LateWorth:  r.share(p+"late-value", 0),
			Stream:     r.bool(p + "stream"),
			Write:      valueAt(writes, i, false),
			Parts:      valueAt(parts, i, false),
			Fresh:      rules.Micros(valueAt(fresh, i, 0)),
			Unstored:   i >= len(fresh),
			Grace:      rules.Micros(valueAt(grace, i, 0)),
			OldWorth:   valueAt(old, i, 1),
		})
	}
	return out
}
