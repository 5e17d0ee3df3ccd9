package resources

// Consumer is a kind of data that memory is held for.
type Consumer uint8

// The consumers, in the order in which they release memory under pressure: dropping
// a cached copy costs a fill later, dropping pending output or a partial request
// costs one client its request, and closing idle connections costs a handshake for
// each of very many.
const (
	CachedCopies    Consumer = iota // answers kept for reuse
	PendingOutput                   // answers that wait for sockets to become writable
	PartialRequests                 // requests received in part
	ConnRecords                     // state of connections
	NodeResponses                   // responses of nodes received in part; they can't be released
	NumConsumers
)

// Level is the level of memory pressure.
type Level uint8

// The levels.
const (
	Easy     Level = iota
	Tight          // cached copies are released
	Critical       // all consumers release, and no new connection is accepted
)

// Thresholds of the levels, as shares of the total. A level ends hysteresis below
// its threshold, so that a front near it does not alternate.
const (
	tightThreshold    = 0.7
	criticalThreshold = 0.9
	hysteresis        = 0.05
)

// ByteLimits bounds the memory held.
type ByteLimits struct {
	Total int64
	Cap   [NumConsumers]int64 // maximum of a consumer at any time; 0: Total
	Floor [NumConsumers]int64 // bytes that a consumer may keep under pressure
}

// Budget accounts for the bytes of all consumers.
type Budget struct {
	limits ByteLimits
	held   [NumConsumers]int64
	total  int64
	level  Level
}

// NewBudget returns a Budget that holds nothing.
func NewBudget(b ByteLimits) *Budget { return &Budget{limits: b} }

// Observe sets what the consumers hold, and returns what each must release now.
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
		if p == PendingOutput { // beyond cached copies only the critical excess is released
			excess = b.total - release[CachedCopies] - b.portion(criticalThreshold-hysteresis)
		}
		n := max(release[p], min(excess, held[p]-b.limits.Floor[p]))
		excess -= n
		release[p] = max(0, n)
	}
	return release
}

// updateLevel sets the level from the total, with hysteresis.
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

// portion returns a share of the total limit in bytes.
func (b *Budget) portion(share float64) int64 { return int64(share * float64(b.limits.Total)) }

// Level returns the level as of the last Observe.
func (b *Budget) Level() Level { return b.level }

// Pressure returns the held share of the total limit.
func (b *Budget) Pressure() float64 { return float64(b.total) / float64(max(1, b.limits.Total)) }

// TryReserve reserves n bytes for a consumer if they fit: within its cap, at level
// Tight within half of its cap (or its floor if that is more), and at Critical
// within its floor. The reservation counts until the next Observe.
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

// Release subtracts bytes that a consumer has released, so that they are free at once
// and not only after the next Observe.
func (b *Budget) Release(p Consumer, n int64) {
	n = min(n, b.held[p])
	b.held[p] -= n
	b.total -= n
}

// String returns the level's name in the log.
func (l Level) String() string { return [...]string{"easy", "tight", "critical"}[l] }
