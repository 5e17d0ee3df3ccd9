package resources

import (
	"testing"

	"pgregory.net/rapid"
)

func TestArrivals(t *testing.T) {
	stays, left := func() bool { return false }, func() bool { return true }
	for _, x := range []struct {
		held, places int64
		gone         func() bool
		want         Arrival
		room         bool
	}{
		{1, 100, stays, LetIn, false},
		{90, 100, left, LetIn, false}, // not asked for: there is room
		{91, 100, stays, LetIn, true},
		{91, 100, left, Left, false},
		{100, 100, stays, LetIn, true},
		{101, 100, stays, Refuse, true},
		{108, 100, stays, Refuse, true},
		{109, 100, stays, Dropped, true},
		{109, 100, left, Left, false},
		{18, 16, stays, Refuse, true}, // a word for one in eight places
		{19, 16, stays, Dropped, true},
		{2, 1, stays, Dropped, true},
	} {
		if a, room := Arrive(x.held, x.places, x.gone); a != x.want || room != x.room {
			t.Errorf("%d held, %d places: %d, room %v", x.held, x.places, a, room)
		}
	}
}

// Guards the bound on what is held: whoever comes and goes, no more than the places and a
// few refused ones beyond, and nobody is turned away while there is a place.
func TestArrivalsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places, held := rapid.Int64Range(1, 50).Draw(t, "places"), int64(0)
		for _, comes := range rapid.SliceOfN(rapid.Bool(), 0, 200).Draw(t, "comes") {
			if !comes {
				held = max(0, held-1)
				continue
			}
			gone := rapid.Bool().Draw(t, "gone")
			a, _ := Arrive(held+1, places, func() bool { return gone })
			if held < places && (a == Refuse || a == Dropped) {
				t.Fatalf("%d of %d places, and turned away", held, places)
			}
			if a == LetIn || a == Refuse {
				held++
			}
			if held > places+places/refusePart {
				t.Fatalf("%d held for %d places", held, places)
			}
		}
	})
}
