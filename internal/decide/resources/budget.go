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
	tightAt    = 0.7
	criticalAt = 0.9
	slack      = 0.05
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
	sum    int64
	mark   Level
}

// NewBudget makes an account.
func NewBudget(b ByteLimits) *Budget { return &Budget{limits: b} }

// Observe takes over what the parts hold, and tells what each must give back now.
func (b *Budget) Observe(held [NumConsumers]int64) (give [NumConsumers]int64) {
	b.held, b.sum = held, 0
	for p, n := range held {
		b.sum += n
		if most := b.limits.Cap[p]; most > 0 {
			give[p] = max(0, n-most)
		}
	}
	b.remark()
	var over int64
	switch b.mark {
	case Easy:
		return give
	case Tight, Critical:
		over = b.sum - b.share(tightAt-slack)
	}
	for p := CachedCopies; p < NodeResponses && over > 0; p++ {
		if b.mark == Tight && p > CachedCopies {
			break
		}
		if p == PendingOutput { // past the copies only what is critical must go
			over = b.sum - give[CachedCopies] - b.share(criticalAt-slack)
		}
		n := max(give[p], min(over, held[p]-b.limits.Floor[p]))
		over -= n
		give[p] = max(0, n)
	}
	return give
}

func (b *Budget) remark() {
	from := func(at float64, m Level) bool {
		if b.mark >= m {
			at -= slack
		}
		return b.sum >= b.share(at)
	}
	switch {
	case from(criticalAt, Critical):
		b.mark = Critical
	case from(tightAt, Tight):
		b.mark = Tight
	default:
		b.mark = Easy
	}
}

func (b *Budget) share(s float64) int64 { return int64(s * float64(b.limits.Total)) }

// Mark tells how near the account was to its end when it was last observed.
func (b *Budget) Level() Level { return b.mark }

// Pressure is the share of all bytes that are held.
func (b *Budget) Pressure() float64 { return float64(b.sum) / float64(max(1, b.limits.Total)) }

// May tells whether a part may take on some bytes: within its cap; where it is
// tight within half of that, and where it is critical up to its floor. What is
// taken on counts until the next look.
func (b *Budget) TryReserve(p Consumer, n int64) bool {
	most := b.limits.Cap[p]
	if most == 0 {
		most = b.limits.Total
	}
	switch b.mark {
	case Tight:
		most = max(b.limits.Floor[p], most/2)
	case Critical:
		most = b.limits.Floor[p]
	}
	if b.held[p]+n > most {
		return false
	}
	b.held[p] += n
	b.sum += n
	return true
}

// Gave tells that a part has given back some bytes: they are free at once, and not only
// from the next look on.
func (b *Budget) Release(p Consumer, n int64) {
	n = min(n, b.held[p])
	b.held[p] -= n
	b.sum -= n
}

// String names a mark, for the log.
func (m Level) String() string { return [...]string{"easy", "tight", "critical"}[m] }
