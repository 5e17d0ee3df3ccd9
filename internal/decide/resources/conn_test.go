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
		{18, 16, stays, RefuseConn, true}, // one refusal for each eight of maxConns
		{19, 16, stays, CloseConn, true},
		{2, 1, stays, CloseConn, true},
	} {
		if a, room := DecideConn(x.held, x.maxConns, x.gone); a != x.want || room != x.room {
			t.Errorf("%d held of %d connections: decision %d, make room %v", x.held, x.maxConns, a, room)
		}
	}
}

// Guards the bound on held connections: for any sequence of arrivals and departures no
// more than maxConns and a few refused ones are held, and none is turned away below maxConns.
func TestHeldConnsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxConns, held := rapid.Int64Range(1, 50).Draw(t, "places"), int64(0)
		for _, arrives := range rapid.SliceOfN(rapid.Bool(), 0, 200).Draw(t, "comes") {
			if !arrives {
				held = max(0, held-1)
				continue
			}
			gone := rapid.Bool().Draw(t, "gone")
			a, _ := DecideConn(held+1, maxConns, func() bool { return gone })
			if held < maxConns && (a == RefuseConn || a == CloseConn) {
				t.Fatalf("turned away with %d of %d connections held", held, maxConns)
			}
			if a == AcceptConn || a == RefuseConn {
				held++
			}
			if held > maxConns+maxConns/placesPerRefusal {
				t.Fatalf("%d held for a limit of %d connections", held, maxConns)
			}
		}
	})
}
