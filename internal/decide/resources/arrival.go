package resources

// Arrival is what becomes of a connection that has just come.
type ConnDecision int

// The arrivals.
const (
	AcceptConn ConnDecision = iota // it takes a place
	RefuseConn                     // it has none, and is held for the refusal of its request alone
	CloseConn                      // not even that: it is closed
	ClientGone                     // it came while the front was held up, and has gone: it is owed nothing
)

// Where places run out.
const (
	crowdedThreshold = 0.9 // part of the places from which whoever comes has another make room
	maxRefusals      = 8   // connections beyond the places that are only refused, at most
	placesPerRefusal = 8   // and at most one for so many places
)

// Arrive decides over a connection that is the held-th for so many places, and whether
// another has to make room for it. Whether its client has gone is asked where it matters
// alone: who has left is owed no place, but finding it out costs a system call.
func DecideConn(held, maxConns int64, clientGone func() bool) (decision ConnDecision, makeRoom bool) {
	crowded := float64(held) > crowdedThreshold*float64(maxConns)
	switch {
	case crowded && clientGone():
		return ClientGone, false
	case held <= maxConns:
		return AcceptConn, crowded
	case held <= maxConns+min(maxRefusals, maxConns/placesPerRefusal):
		return RefuseConn, true
	default:
		return CloseConn, true
	}
}
