package resources

import (
	"testing"

	"pgregory.net/rapid"
)

func TestDecideConn(t *testing.T) {
	stays, left := func() bool { return false }, func() bool { return true }
	for _, x := range []struct {
		held, maxConns int64
		gone           func() bool
		want           ConnDecision
		room           bool
	}{
		{1, 100, stays, AcceptConn, false},
		{90, 100, left, AcceptConn, false}, // clientGone is not called: there is room
		{91, 100, stays, AcceptConn, true},
		{91, 100, left, ClientGone, false},
		{100, 100, stays, AcceptConn, true},
		{101, 100, stays, RefuseConn, true},
		{108, 100, stays, RefuseConn, true},
		{109, 100, stays, CloseConn, true},
		{109, 100, left, ClientGone, false},
		{18, 16, stays, RefuseConn, true}, // one refusal for each eight places
		{19, 16, stays, CloseConn, true},
		{2, 1, stays, CloseConn, true},
	} {
		if a, room := DecideConn(x.held, x.maxConns, x.gone); a != x.want || room != x.room {
			t.Errorf("%d held, %d places: %d, room %v", x.held, x.maxConns, a, room)
		}
	}
}

// Guards the bound on held connections: for any sequence of arrivals and departures no
// more than maxConns and a few refused ones are held, and none is turned away below maxConns.
func TestHeldConnsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places, held := rapid.Int64Range(1, 50).Draw(t, "places"), int64(0)
		for _, comes := range rapid.SliceOfN(rapid.Bool(), 0, 200).Draw(t, "comes") {
			if !comes {
				held = max(0, held-1)
				continue
			}
			gone := rapid.Bool().Draw(t, "gone")
			a, _ := DecideConn(held+1, places, func() bool { return gone })
			if held < places && (a == RefuseConn || a == CloseConn) {
				t.Fatalf("turned away with %d of %d places held", held, places)
			}
			if a == AcceptConn || a == RefuseConn {
				held++
			}
			if held > places+places/placesPerRefusal {
				t.Fatalf("%d held for %d places", held, places)
			}
		}
	})
}
