package config

import (
	"fmt"
	"slices"
	"strconv"
)

// Keys without which the front can't keep its promises: it would not know which classes
// write, how old a copy may be, how soon a purge or a drain must be heeded, what a server
// that has just started can take, or which servers there are. requiredParentKeys are
// required only where there are parents, requiredClassKeys in every class.
var (
	requiredKeys = []string{"balancers", "zones", "machine-types", "limits.max-attempts",
		"extra.class-write", "extra.max-age-us", "extra.usable-after-us", "extra.obey-after-us", "extra.purge-settles-us",
		"extra.upper-kind", "extra.store-kind",
		"rules.drain-grace-us", "rules.fall-multiple", "rules.fall-us", "rules.cold-from", "rules.warm-up-us"}
	requiredParentKeys = []string{"extra.upper-cold-us", "extra.parent-cold-from", "extra.parent-limit-factor"}
	requiredClassKeys  = []string{"name", "effect", "give-up-us", "goal-time-us"}
)

// Keys whose values must be above 0 where they are present: a deadline or a number of
// attempts of 0 or less would refuse or fail every request.
var (
	positiveKeys = []string{"limits.max-attempts", "limits.connect-timeout-us", "limits.conn-idle-us",
		"limits.streams-per-conn", "tick-us"}
	positiveClassKeys = []string{"give-up-us", "goal-time-us", "memory-span-us"}
)

// classPrefix returns the path of the keys of a class.
func classPrefix(index int) string { return "grades." + strconv.Itoa(index) + "." }

// checkRequired names the first required key that is missing from settings with
// this number of classes, or the first key that must be above 0 and is not. It
// rejects a truncated file whose JSON is still valid. Values that are not numbers
// have been reported by the reader already.
func (r *settingsReader) checkRequired(classes int) error {
	required, positive := slices.Clone(requiredKeys), slices.Clone(positiveKeys)
	if r.index("extra.upper-kind") >= 0 {
		required = append(required, requiredParentKeys...)
	}
	for i := range classes {
		for _, key := range requiredClassKeys {
			required = append(required, classPrefix(i)+key)
		}
		for _, key := range positiveClassKeys {
			positive = append(positive, classPrefix(i)+key)
		}
	}
	for _, key := range required {
		if r.values[key] == "" {
			return fmt.Errorf("settings: %s: missing", key)
		}
	}
	for _, key := range positive {
		if r.values[key] != "" && !(r.float(key, 0) > 0) {
			return fmt.Errorf("settings: %s=%s: not a number above 0", key, r.values[key])
		}
	}
	return nil
}
