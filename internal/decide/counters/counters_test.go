package counters

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"cherryramp/internal/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

// For any sequence of counted events, the decoded report equals their sum by class.
func TestReportIsTheSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"page-asset", "guide-video", "payout-confirm"}
		f := New(names)
		want := map[string]ClassCounts{}
		var loads, errs uint64
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, len(names)-1).Draw(t, "class")
			n := names[i]
			c := want[n]
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				f.CountOutcome(i, Passed)
				c.Passed++
			case 1:
				f.CountOutcome(i, Dropped)
				c.Dropped++
			case 2:
				f.CountOutcome(i, BadGateway)
				c.BadGateway++
			case 3:
				f.CountAttempt(i)
				c.Attempts++
			case 4:
				ok := rapid.Bool().Draw(t, "ok")
				f.CountReload(ok)
				if ok {
					loads++
				} else {
					errs++
				}
				continue
			}
			want[n] = c
		}
		g := Gauges{InProgress: rapid.IntRange(0, 9).Draw(t, "open"), KnownNodes: 7, SkippedNodes: 2}
		var got report
		if err := json.Unmarshal(f.AppendJSON(nil, g), &got); err != nil {
			t.Fatal(err)
		}
		if len(got.Handled) != len(names) || got.Reloads != loads || got.ReloadErrors != errs ||
			got.InProgress != g.InProgress || got.KnownNodes != 7 || got.SkippedNodes != 2 {
			t.Fatalf("got %+v", got)
		}
		var attempts uint64
		for _, c := range want {
			attempts += c.Attempts
		}
		if got.Attempts != attempts {
			t.Fatalf("upstream_tries %d, want %d", got.Attempts, attempts)
		}
		for n, c := range want {
			if got.Handled[n] != c {
				t.Fatalf("%s: got %+v, want %+v", n, got.Handled[n], c)
			}
		}
	})
}
