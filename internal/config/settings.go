// Package config is the only place where configuration is read, checked and
// given defaults. Its errors name the faulty key.
package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"cherryramp/rules"
)

// facts looks settings up and keeps the first complaint.
type facts struct {
	values map[string]string
	err    error
}

func (f *facts) fail(key, what string) {
	if f.err == nil {
		f.err = fmt.Errorf("settings: %s=%s: %s", key, f.values[key], what)
	}
}

// between reads a number from a range.
func (f *facts) between(key string, absent, least, most float64) float64 {
	s, ok := f.values[key]
	if !ok || s == "" {
		return absent
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || v < least || v > most {
		f.fail(key, fmt.Sprintf("not a number from %g to %g", least, most))
		return absent
	}
	return v
}

// mostNumber is the most that any number may be; as an integer it loses nothing.
const mostNumber = 1e15

func (f *facts) float(key string, absent float64) float64 {
	return f.between(key, absent, 0, mostNumber)
}

// share reads a part of a whole.
func (f *facts) share(key string, absent float64) float64 { return f.between(key, absent, 0, 1) }

// place reads a place in a list, or -1 for none.
func (f *facts) place(key string) int { return int(f.between(key, -1, -1, mostNumber)) }

func (f *facts) int(key string, absent int) int { return int(f.float(key, float64(absent))) }

func (f *facts) micros(key string, absent rules.Micros) rules.Micros {
	return rules.Micros(f.float(key, float64(absent)))
}

func (f *facts) bool(key string) bool {
	switch f.values[key] {
	case "true":
		return true
	case "false", "":
		return false
	}
	f.fail(key, "neither true nor false")
	return false
}

func (f *facts) word(key string, words ...string) int {
	s, ok := f.values[key]
	if !ok || s == "" {
		return 0
	}
	for i, w := range words {
		if s == w {
			return i
		}
	}
	f.fail(key, "not one of "+strings.Join(words, ", "))
	return 0
}

func (f *facts) list(key string) []string {
	if f.values[key] == "" {
		return nil
	}
	return strings.Split(f.values[key], ",")
}

func (f *facts) floats(key string) []float64 { return f.floatsFrom(key, 0) }

// floatsFrom reads a list of numbers, of which each is at least so much.
func (f *facts) floatsFrom(key string, least float64) (out []float64) {
	for _, s := range f.list(key) {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil || math.IsNaN(v) || v < least || v > mostNumber {
			f.fail(key, fmt.Sprintf("not a list of numbers from %g to %g", least, mostNumber))
			return nil
		}
		out = append(out, v)
	}
	return out
}

func (f *facts) ints(key string) []int { return whole(f.floats(key)) }

// places reads a list of places in another list, where -1 is none.
func (f *facts) places(key string) []int { return whole(f.floatsFrom(key, -1)) }

func whole(list []float64) (out []int) {
	for _, v := range list {
		out = append(out, int(v))
	}
	return out
}

func (f *facts) bools(key string) (out []bool) {
	for _, s := range f.list(key) {
		if s != "true" && s != "false" {
			f.fail(key, "not a list of true and false")
			return nil
		}
		out = append(out, s == "true")
	}
	return out
}

// What every class must have, and what must be a number above 0 where it is
// given: a deadline or a number of attempts of 0 or less would refuse or fail all.
var (
	classNeeds    = []string{"name", "effect", "give-up-us"}
	classPositive = []string{"give-up-us", "goal-time-us", "memory-span-us"}
	positive      = []string{"limits.max-attempts", "limits.connect-timeout-us", "limits.conn-idle-us",
		"limits.streams-per-conn", "tick-us"}
)

// needed tells the first key that a file of so many classes lacks, or that is
// no number above 0. A file cut short loses keys, and so is turned down here
// where its JSON was still whole. Numbers that can't be read at all the facts
// reader has told already.
func (f *facts) needed(classes int) error {
	var keys []string
	for i := range classes {
		p := "grades." + strconv.Itoa(i) + "."
		for _, k := range classNeeds {
			if f.values[p+k] == "" {
				return fmt.Errorf("settings: %s%s: missing", p, k)
			}
		}
		for _, k := range classPositive {
			keys = append(keys, p+k)
		}
	}
	for _, k := range append(keys, positive...) {
		if f.values[k] != "" && !(f.float(k, 0) > 0) {
			return fmt.Errorf("settings: %s=%s: not a number above 0", k, f.values[k])
		}
	}
	return nil
}

// at gives a list's value for a class, or what stands for an absent one.
func at[T any](list []T, i int, absent T) T {
	if i < len(list) {
		return list[i]
	}
	return absent
}

// ParseSettings reads the path=value lines of the simulator's first message.
func ParseSettings(text string) (rules.Settings, error) {
	f := &facts{values: make(map[string]string)}
	for n, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return rules.Settings{}, fmt.Errorf("settings: line %d has no '=': %.60q", n+1, line)
		}
		f.values[key] = value
	}
	s := f.settings()
	return s, f.err
}

// settings reads what the module is told from facts that were looked up.
func (f *facts) settings() rules.Settings {
	s := rules.Settings{
		Classes:       f.classes(),
		Gateways:      f.int("balancers", 1),
		Rank:          1 + f.place("rank"),
		Zone:          f.int("zone", 0),
		ZoneGates:     f.ints("extra.zone-balancers"),
		ZoneHub:       f.places("extra.hub-by-zone"),
		ZoneLink:      f.floats("extra.inlet-kb-per-s"),
		ParentKind:    f.place("extra.upper-kind"),
		OriginKind:    f.place("extra.store-kind"),
		Flow:          f.float("extra.flow-kb-per-s", 0),
		Weights:       rules.Weights(f.word("weights", "off", "nominal", "rough", "live")),
		ListOnRequest: f.word("discovery", "pushed", "on_request") == 1,
		Direct:        f.bool("extra.direct"),
		Joins:         f.bool("extra.shares-fills"),
		Siblings:      rules.Siblings(f.word("extra.lateral", "off", "location", "any")),
		Notes:         rules.Notes(f.word("extra.note-level", "off", "hit", "all")),
		Cancel:        f.bool("limits.cancel"),
		Hedges:        f.bool("limits.second-copies"),
		Probes:        f.bool("limits.probes"),
		RetryAfter:    f.bool("limits.retry-after"),
		MaxAttempts:   f.int("limits.max-attempts", 1),
		MaxHeld:       f.int("limits.most-held", 0),
		MaxAway:       f.micros("limits.max-retry-after-us", 0),
		ConnectTime:   f.micros("limits.connect-timeout-us", 0),
		ReportFields:  make(map[string]int),
		Tick:          f.micros("tick-us", 1000),
		DrainGrace:    f.micros("rules.drain-grace-us", 0),
		FallMultiple:  f.float("rules.fall-multiple", 1),
		FallTime:      f.micros("rules.fall-us", 0),
		ColdFrom:      f.share("rules.cold-from", 0),
		WarmUp:        f.micros("rules.warm-up-us", 0),
		AnswerGrace:   f.micros("rules.grace-to-answer-us", 0),
		PurgeGrace:    f.micros("extra.obey-after-us", 0),
		PurgeSettle:   f.micros("extra.purge-settles-us", 0),

		ParentColdFrom:     f.share("extra.parent-cold-from", 0),
		ParentWarmUp:       f.micros("extra.upper-cold-us", 0),
		ParentFallMultiple: f.float("extra.parent-limit-factor", 1),
		OriginFallMultiple: f.float("extra.origin-limit-factor", 0),
		OriginFallTime:     f.micros("extra.root-fall-us", 0),
		Prices: rules.Prices{
			LateFail:  f.float("penalties.late-fail", 0),
			Link:      f.float("extra.price-of-link", 0),
			Origin:    f.float("penalties.origin", 0),
			Probe:     f.float("penalties.probe", 0),
			Waste:     f.float("penalties.waste", 0),
			CrossZone: f.float("penalties.cross-zone", 0),
		},
	}
	for i, name := range f.list("report.fields") {
		s.ReportFields[name] = i
	}
	return s
}

func (f *facts) classes() []rules.Class {
	writes, parts := f.bools("extra.class-write"), f.bools("extra.in-parts")
	fresh, grace := f.floats("extra.max-age-us"), f.floats("extra.usable-after-us")
	old := f.floats("extra.old-copy-worth")
	for _, x := range old {
		if x > 1 {
			f.fail("extra.old-copy-worth", "not a list of numbers from 0 to 1")
		}
	}
	n := f.int("grades.count", 0)
	if n < 0 || n > 256 {
		f.fail("grades.count", "out of range")
		return nil
	}
	var out []rules.Class
	for i := range n {
		p := "grades." + strconv.Itoa(i) + "."
		out = append(out, rules.Class{
			Name:       f.values[p+"name"],
			Effect:     rules.Effect(f.word(p+"effect", "read_like", "idempotency_key", "non_idempotent")),
			Scope:      rules.Scope(f.word(p+"dedup-scope", "all", "zone", "cell")),
			MemorySpan: f.micros(p+"memory-span-us", 0),
			Aim:        f.micros(p+"goal-time-us", 0),
			AimStretch: f.float(p+"aim-stretch", 0),
			GiveUp:     f.micros(p+"give-up-us", 0),
			Worth:      f.float(p+"importance", 1),
			LateWorth:  f.share(p+"late-value", 0),
			Stream:     f.bool(p + "stream"),
			Write:      at(writes, i, false),
			Parts:      at(parts, i, false),
			Fresh:      rules.Micros(at(fresh, i, 0)),
			Grace:      rules.Micros(at(grace, i, 0)),
			OldWorth:   at(old, i, 1),
		})
	}
	return out
}
