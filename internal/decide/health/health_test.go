package health

import "testing"

// A front is unhealthy at once, and healthy only after a window without trouble; too
// few requests are not meaningful; a quarter of the servers down makes it unhealthy by
// itself.
func TestDetector(t *testing.T) {
	const s = 1_000_000
	var d Detector
	for i, tc := range []struct {
		at   Micros
		c    Counts
		want bool
	}{
		{1 * s, Counts{Known: 8}, false},
		{2 * s, Counts{Known: 8, Failed: 19}, false},             // too few
		{3 * s, Counts{Known: 8, Failed: 19, Served: 100}, true}, // 16%
		{13 * s, Counts{Known: 8, Failed: 19, Served: 900}, true},
		{14 * s, Counts{Known: 8, Failed: 19, Served: 1000}, true},
		{22 * s, Counts{Known: 8, Failed: 19, Served: 1100}, true},
		{25 * s, Counts{Known: 8, Failed: 19, Served: 1200}, false},
		{26 * s, Counts{Known: 8, Avoided: 2, Failed: 19, Served: 1300}, true},
		{27 * s, Counts{Known: 8, Avoided: 1, Failed: 19, Served: 1400}, true}, // not healthy yet
		{60 * s, Counts{Known: 8, Failed: 19, Served: 1500}, true},
		{71 * s, Counts{Known: 8, Failed: 19, Served: 1600}, false},
	} {
		if got, reason := d.Update(tc.c, tc.at); got != tc.want {
			t.Errorf("update %d: got %v (%s)", i, got, reason)
		}
	}
}
