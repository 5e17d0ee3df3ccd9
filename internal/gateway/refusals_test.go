package gateway

import (
	"testing"

	"cherryramp/rules"
)

// Guards against refusals that flood the log, and against uncounted ones: there is one line a second
// for each reason, with the number since the start.
func TestRefusalsAreCountedByReason(t *testing.T) {
	var r refusals
	now, lines := Micros(1_000_000_000), 0
	for range 50 { // over 5 s
		now += refusalLogInterval / 10
		for _, reason := range []rules.Reason{rules.ReasonServerSlow, rules.ReasonCrowded} {
			if _, due := r.count(reason, now); due {
				lines++
			}
		}
	}
	if total, _ := r.count(rules.ReasonServerSlow, now); total != 51 || lines != 10 {
		t.Errorf("%d refusals and %d lines, want 51 and 10", total, lines)
	}
	for reason := range rules.Reason(rules.NumReasons) {
		if reason.String() == "" {
			t.Errorf("reason %d has no name", reason)
		}
	}
}
