package resources

// ConnDecision is what is done with a new connection.
type ConnDecision int

// The decisions.
const (
	AcceptConn ConnDecision = iota // serve it
	RefuseConn                     // keep it only until its request is refused
	CloseConn                      // close it at once
	ClientGone                     // the client left before it was accepted: nothing is owed to it
)

// Behaviour near the limit of connections.
const (
	crowdedThreshold = 0.9 // share of maxConns from which a new connection has another make room
	maxRefusals      = 8   // connections beyond maxConns that are held to be refused, at most
	placesPerRefusal = 8   // and at most one for this many of maxConns
)

// DecideConn decides on a new connection, with which held of at most maxConns are
// open, and whether another has to make room for it. clientGone is only called when
// connections run short: a client that has left needs no slot, but finding that out
// costs a system call.
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
