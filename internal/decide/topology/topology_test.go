package topology

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const second Micros = 1_000_000

// Checks that each site with an eligible front has a live owner within the site, that
// numbers of a site's owners never decrease, and that a live owner is not replaced, while
// fronts are lost, come back and restart.
func TestOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		last := map[string]uint64{}
		fronts := []Front{}
		for i := range 6 {
			fronts = append(fronts, Front{Name: fmt.Sprint("f", i), Site: []string{"w/a", "w/b", "e/c"}[i%3], ID: uint64(i + 1), Start: 1, OwnerLease: second})
		}
		for range 30 {
			f := &fronts[rapid.IntRange(0, 5).Draw(t, "front")]
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				f.Lost = !f.Lost
			case 1:
				f.Start++
			}
			before := slices.Clone(s.Owners)
			s.Step(fronts, 0)
			for _, k := range s.Owners {
				i := slices.IndexFunc(fronts, func(f Front) bool { return k.Is(f.Name, f.ID, f.Start) })
				able := slices.ContainsFunc(fronts, func(f Front) bool { return !f.Lost && Within(f.Site, k.Site) })
				if able && (i < 0 || fronts[i].Lost || !Within(fronts[i].Site, k.Site)) {
					t.Fatalf("%+v owns %q", k, k.Site)
				}
				if k.Number < last[k.Site] {
					t.Fatalf("owner number %d after %d", k.Number, last[k.Site])
				}
				last[k.Site] = k.Number
			}
			for _, old := range before {
				i := slices.IndexFunc(fronts, func(f Front) bool { return old.Is(f.Name, f.ID, f.Start) && !f.Lost })
				if k := s.Owner(old.Site); i >= 0 && k.Number != old.Number {
					t.Fatalf("%q got another owner although %s is alive", old.Site, old.Name)
				}
			}
		}
	})
}

// Checks that a role attaches to the nearest owner that answers, passes over one that
// does not, and returns to it only after it has answered for FailbackAfter.
func TestAttachment(t *testing.T) {
	c := Config{FailoverAfter: second, FailbackAfter: 2 * second}
	above := []Owner{{Site: "w/a", Number: 3}, {Site: "w", Number: 2}, {Site: "", Number: 1}}
	var a Attachment
	to := func(now Micros) uint64 {
		a.Step(above, now, c)
		k, _ := a.Owner()
		return k.Number
	}
	require.Equal(t, uint64(3), to(0), "the nearest, until FailoverAfter has passed")
	require.Equal(t, uint64(2), to(2*second), "fails over")
	for now := 2 * second; now < 4*second; now += second / 2 {
		a.Answered(2, now, c)
		require.Equal(t, uint64(2), to(now))
	}
	for now := 4 * second; now < 6*second; now += second / 2 {
		a.Answered(2, now, c)
		a.Answered(3, now, c)
		require.Equal(t, uint64(2), to(now), "no immediate failback")
	}
	a.Answered(3, 6*second, c)
	require.Equal(t, uint64(3), to(6*second), "fails back")
	require.Equal(t, []string{"w/hub/x", "w/hub", "w", ""}, PathToRoot("w/hub/x"))
	require.Error(t, CheckPath("w//x"))
	require.Error(t, CheckPath("a/b/c/d/e/f/g"))
}
