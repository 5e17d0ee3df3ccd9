package resources

// Part is who holds bytes.
type Consumer uint8

// The parts, in the order in which they give back under pressure: a copy costs a
// fill later, a slow answer one client, a request that is still coming another,
// and an idle connection a handshake for each of very many.
const (
	CachedCopies    Consumer = iota // answers kept to be given again
	PendingOutput                   // answers that wait for full sockets
	PartialRequests                 // requests that have come in part
	ConnRecords                     // of connections
	NodeResponses                   // answers of nodes that have come in part; they can't give
	NumConsumers
)

// Mark tells how near the account is to its end.
type Level uint8

// The marks.
const (
	Easy     Level = iota
	Tight          // copies give back
	Critical       // everything does, and nobody new is let in
)

// Where marks begin, as shares of all bytes. They end slack below that, so that a
// front at a mark does not go back and forth.
const (
	tightThreshold    = 0.7
	criticalThreshold = 0.9
	hysteresis        = 0.05
)

// Bytes bounds what is held.
type ByteLimits struct {
	Total int64
	Cap   [NumConsumers]int64 // of a part at any time; 0: as much as there is
	Floor [NumConsumers]int64 // that a part is left under pressure
}

// Budget is one account of bytes for all parts.
type Budget struct {
	limits ByteLimits
	held   [NumConsumers]int64
	total  int64
	level  Level
}

// NewBudget makes an account.
func NewBudget(b ByteLimits) *Budget { return &Budget{limits: b} }

// Observe takes over what the parts hold, and tells what each must give back now.
func (b *Budget) Observe(held [NumConsumers]int64) (release [NumConsumers]int64) {
	b.held, b.total = held, 0
	for p, n := range held {
		b.total += n
		if maxBytes := b.limits.Cap[p]; maxBytes > 0 {
			release[p] = max(0, n-maxBytes)
		}
	}
	b.updateLevel()
	var excess int64
	switch b.level {
	case Easy:
		return release
	case Tight, Critical:
		excess = b.total - b.portion(tightThreshold-hysteresis)
	}
	for p := CachedCopies; p < NodeResponses && excess > 0; p++ {
		if b.level == Tight && p > CachedCopies {
			break
		}
		if p == PendingOutput { // past the copies only what is critical must go
			excess = b.total - release[CachedCopies] - b.portion(criticalThreshold-hysteresis)
		}
		n := max(release[p], min(excess, held[p]-b.limits.Floor[p]))
		excess -= n
		release[p] = max(0, n)
	}
	return release
}

func (b *Budget) updateLevel() {
	reached := func(threshold float64, level Level) bool {
		if b.level >= level {
			threshold -= hysteresis
		}
		return b.total >= b.portion(threshold)
	}
	switch {
	case reached(criticalThreshold, Critical):
		b.level = Critical
	case reached(tightThreshold, Tight):
		b.level = Tight
	default:
		b.level = Easy
	}
}

func (b *Budget) portion(share float64) int64 { return int64(share * float64(b.limits.Total)) }

// Mark tells how near the account was to its end when it was last observed.
func (b *Budget) Level() Level { return b.level }

// Pressure is the share of all bytes that are held.
func (b *Budget) Pressure() float64 { return float64(b.total) / float64(max(1, b.limits.Total)) }

// May tells whether a part may take on some bytes: within its cap; where it is
// tight within half of that, and where it is critical up to its floor. What is
// taken on counts until the next look.
func (b *Budget) TryReserve(p Consumer, n int64) bool {
	maxBytes := b.limits.Cap[p]
	if maxBytes == 0 {
		maxBytes = b.limits.Total
	}
	switch b.level {
	case Tight:
		maxBytes = max(b.limits.Floor[p], maxBytes/2)
	case Critical:
		maxBytes = b.limits.Floor[p]
	}
	if b.held[p]+n > maxBytes {
		return false
	}
	b.held[p] += n
	b.total += n
	return true
}

// Gave tells that a part has given back some bytes: they are free at once, and not only
// from the next look on.
func (b *Budget) Release(p Consumer, n int64) {
	n = min(n, b.held[p])
	b.held[p] -= n
	b.total -= n
}

// String names a mark, for the log.
func (l Level) String() string { return [...]string{"easy", "tight", "critical"}[l] }
