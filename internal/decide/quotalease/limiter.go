package quotalease

import (
	"math"
	"slices"

	"cherryramp/internal/decide/lease"
)

// maxAllocations bounds the owners from which a front holds allocations of one limit at the
// same time: those of its site and the sites above, and their predecessors.
const maxAllocations = 4

// MaxNames bounds the number of limit and name pairs held.
const MaxNames = 4096

// Source identifies the owner that an allocation came from.
type Source struct {
	Site  string
	Owner uint64 `cbor:"Keeper" json:"Keeper"`
}

// activeAllocation is an allocation in use by a front.
type activeAllocation struct {
	from   Source
	number uint64
	amount float64
	end    Micros
	epoch  uint64
}

// Bucket is what a front may spend of one limit for one name. It must be used by the same
// goroutine as its Limiter.
type Bucket struct {
	Key            Key
	limit          *Limit
	rules          *Rules
	allocations    [maxAllocations]activeAllocation
	numAllocations int

	amount         float64 // sum of the valid allocations until validUntil, when the first of them expires
	validUntil     Micros
	fadeStart      Micros  // when the last allocation of a soft limit expired; 0 if one is valid
	fadeAmount     float64 // amount at that time
	isolatedAmount float64 // what this front may spend of a soft limit while isolated

	tokens     float64
	refilledAt Micros
	open       float64
	spent      float64 // uses in the current epoch
	epoch      uint64
	requests   uint64 // requests since the last report, admitted or not
	maxOpen    float64
	lastUsed   Micros

	Taken, Refused uint64 // totals
}

// Limiter holds what a front may spend of all limits. Checking a request against known
// names allocates no memory.
type Limiter struct {
	rules     Rules
	limits    map[string]*Limit
	byClaim   map[claim][]*Bucket // by exact name
	wildcards map[string][]*Limit // limits that apply to each name separately, by dimension
	buckets   []*Bucket
	byKey     map[Key]*Bucket
	newNames  bool // unknown names were seen since the last TakeNewNames
	fronts    int
}

// claim is a dimension and a name that a request counts against.
type claim struct{ dimension, who string }

// NewLimiter returns a Limiter without allocations.
func NewLimiter(rules Rules, limits []Limit, now Micros) *Limiter {
	limiter := &Limiter{fronts: 1}
	limiter.Reconfigure(rules, limits, now)
	return limiter
}

// Reconfigure replaces the rules and limits. Allocations of limits that remain are kept; a
// reduced limit takes effect through smaller allocations.
func (limiter *Limiter) Reconfigure(rules Rules, limits []Limit, now Micros) {
	old := limiter.buckets
	limiter.rules, limiter.limits, limiter.byClaim, limiter.wildcards, limiter.buckets, limiter.byKey = rules, map[string]*Limit{}, map[claim][]*Bucket{}, map[string][]*Limit{}, nil, map[Key]*Bucket{}
	for i := range limits {
		l := limits[i]
		limiter.limits[l.Name] = &l
		if l.Who == "*" {
			limiter.wildcards[l.Dimension] = append(limiter.wildcards[l.Dimension], &l)
		} else {
			limiter.add(&l, l.Who, now)
		}
	}
	for _, b := range old {
		l := limiter.limits[b.Key.Limit]
		if l == nil || l.Kind != b.limit.Kind {
			continue
		}
		b.limit, b.rules = l, &limiter.rules
		c := claim{l.Dimension, b.Key.Who}
		if x := limiter.byKey[b.Key]; x != nil {
			limiter.buckets[slices.Index(limiter.buckets, x)] = b
			limiter.byClaim[c][slices.Index(limiter.byClaim[c], x)] = b
		} else if l.Who == "*" {
			limiter.buckets = append(limiter.buckets, b)
			limiter.byClaim[c] = append(limiter.byClaim[c], b)
		} else {
			continue
		}
		limiter.byKey[b.Key] = b
	}
	limiter.SetFronts(limiter.fronts)
}

func (limiter *Limiter) add(l *Limit, who string, now Micros) *Bucket {
	b := &Bucket{Key: Key{Limit: l.Name, Who: who}, limit: l, rules: &limiter.rules, refilledAt: now, lastUsed: now}
	b.setIsolatedAmount(limiter.fronts)
	limiter.buckets, limiter.byKey[b.Key] = append(limiter.buckets, b), b
	c := claim{l.Dimension, who}
	limiter.byClaim[c] = append(limiter.byClaim[c], b)
	return b
}

// SetFronts sets the number of fronts in the fleet, among which the amount for isolated
// fronts is divided.
func (limiter *Limiter) SetFronts(n int) {
	limiter.fronts = max(1, n)
	for _, b := range limiter.buckets {
		b.setIsolatedAmount(limiter.fronts)
	}
}

func (b *Bucket) setIsolatedAmount(fronts int) {
	b.isolatedAmount = b.limit.Amount * b.limit.IsolatedShare / float64(fronts)
}

// Find returns the buckets that requests of a name count against; none if no limit applies.
func (limiter *Limiter) Find(dimension, who string, now Micros) []*Bucket {
	list := limiter.byClaim[claim{dimension, who}]
	if len(list) > 0 || len(limiter.wildcards[dimension]) == 0 {
		return list
	}
	if len(limiter.buckets) >= MaxNames {
		limiter.prune(now)
	}
	for _, l := range limiter.wildcards[dimension] {
		if len(limiter.buckets) < MaxNames {
			limiter.add(l, who, now)
			limiter.newNames = true
		}
	}
	if list = limiter.byClaim[claim{dimension, who}]; len(list) == 0 {
		return bucketTableFull[:]
	}
	return list
}

// bucketTableFull is returned for names that there is no room to count. It admits nothing.
var bucketTableFull = [1]*Bucket{{limit: &Limit{Name: "no room", Amount: 1, Burst: 1, Hard: true}, rules: &Rules{}}}

// prune removes names without valid allocations, open requests and recent requests.
func (limiter *Limiter) prune(now Micros) {
	limiter.buckets = slices.DeleteFunc(limiter.buckets, func(b *Bucket) bool {
		if b.limit.Who != "*" || b.open > 0 || b.numAllocations > 0 && now < b.lastExpiry() || now-b.lastUsed < limiter.rules.AllocationLease {
			return false
		}
		delete(limiter.byClaim, claim{b.limit.Dimension, b.Key.Who})
		delete(limiter.byKey, b.Key)
		return true
	})
}

func (b *Bucket) lastExpiry() (end Micros) {
	for i := range b.numAllocations {
		end = max(end, b.allocations[i].end)
	}
	return end
}

// TakeNewNames reports whether new names were seen since the last call. They need a first
// allocation at once.
func (limiter *Limiter) TakeNewNames() bool {
	seen := limiter.newNames
	limiter.newNames = false
	return seen
}

// refresh drops expired allocations and sums up the others. The tokens of a rate never
// exceed the allocations' share of the burst; a new allocation starts without tokens.
func (b *Bucket) refresh(now Micros) {
	b.refill(min(now, b.validUntil))
	amount, until := 0.0, Micros(math.MaxInt64)
	kept := 0
	for i := range b.numAllocations {
		allocation := b.allocations[i]
		if now >= allocation.end {
			continue
		}
		b.allocations[kept] = allocation
		kept++
		amount += allocation.amount
		until = min(until, allocation.end)
	}
	previous := b.amount
	b.numAllocations, b.amount, b.validUntil = kept, amount, until
	if !b.limit.Hard && b.isolatedAmount > 0 {
		switch {
		case kept > 0:
			b.fadeStart = 0
		case b.fadeStart == 0:
			b.fadeStart, b.fadeAmount = max(1, now), previous
		}
		if kept == 0 {
			b.fade(now)
		}
	}
	b.refilledAt = max(b.refilledAt, now)
	if b.limit.Kind == Rate {
		b.tokens = min(b.tokens, b.capacity())
	}
}

// fade moves a soft limit's amount linearly from that of the expired allocation to the
// isolated amount. It does so within the time in which the allocation is not given to
// anybody else, so that the limit holds without a step.
func (b *Bucket) fade(now Micros) {
	gap := max(1, lease.ExpirySpan(b.rules.AllocationLease)-b.rules.AllocationLease)
	left := max(0, 1-float64(now-b.fadeStart)/float64(gap))
	b.amount = b.isolatedAmount + max(0, b.fadeAmount-b.isolatedAmount)*left
	b.validUntil = now + gap/16 + 1
	if left == 0 {
		b.validUntil = math.MaxInt64
	}
}

// capacity returns the maximum number of tokens of a rate.
func (b *Bucket) capacity() float64 {
	c := b.limit.Burst * b.amount / b.limit.Amount
	if !b.limit.Hard && b.numAllocations == 0 {
		c = math.Max(c, 1)
	}
	return c
}

func (b *Bucket) refill(now Micros) {
	if now > b.refilledAt {
		if b.limit.Kind == Rate {
			b.tokens = min(b.tokens+b.amount*float64(now-b.refilledAt)/1e6, b.capacity())
		}
		b.refilledAt = now
	}
}

const (
	allocationWait Micros = 250_000 // time in which a first allocation is likely to arrive
	openWait       Micros = 500_000 // time in which one of the open requests is likely to end
	maxWait        Micros = 5_000_000
)

// Take admits or refuses one request. If it is refused, wait is how long the client should
// wait. An admitted request must be ended by Release.
func (b *Bucket) Take(now Micros) (wait Micros, ok bool) {
	b.requests++
	b.lastUsed = now
	if now >= b.validUntil {
		b.refresh(now)
	}
	switch b.limit.Kind {
	case Rate:
		b.refill(now)
		if b.tokens < 1 {
			b.Refused++
			if b.amount <= 0 || b.capacity() < 1 {
				return allocationWait, false
			}
			return min(maxWait, 1+Micros((1-b.tokens)/b.amount*1e6)), false
		}
		b.tokens--
	case Open:
		b.maxOpen = max(b.maxOpen, b.open+1)
		if b.open+1 > b.amount {
			b.Refused++
			return openWait, false
		}
		b.open++
	case Uses:
		if b.spent+1 > b.amount {
			b.Refused++
			return maxWait, false
		}
		b.spent++
	}
	b.Taken++
	return 0, true
}

// Undo reverts the preceding Take, if another limit refused the request.
func (b *Bucket) Undo() {
	switch b.limit.Kind {
	case Rate:
		b.tokens = min(b.tokens+1, b.capacity())
	case Open:
		b.open--
	case Uses:
		b.spent--
	}
	b.Taken--
}

// Release ends a request that Take admitted.
func (b *Bucket) Release() {
	if b.limit.Kind == Open && b.open > 0 {
		b.open--
	}
}

// Allocation returns source and number of the newest allocation, for recorded histories,
// and the amount of all allocations.
func (b *Bucket) Allocation() (from Source, number uint64, amount float64) {
	if b.numAllocations == 0 {
		return Source{}, 0, b.amount
	}
	x := &b.allocations[b.numAllocations-1]
	return x.from, x.number, b.amount
}

// ApplyGrant applies a grant; allocations of unknown limits are skipped. Newest is the
// highest known owner number of the granting site; grants of earlier owners are ignored.
func (limiter *Limiter) ApplyGrant(g Grant, newest uint64, now Micros) {
	if g.Owner < newest {
		return
	}
	from := Source{Site: g.Site, Owner: g.Owner}
	for _, x := range g.Allocations {
		if b := limiter.byKey[x.Key]; b != nil {
			b.applyAllocation(from, g.Stamp, x, now)
		}
	}
}

func (b *Bucket) applyAllocation(from Source, stamp Micros, allocation Allocation, now Micros) {
	end := stamp + min(allocation.Span, max(b.rules.AllocationLease, b.limit.Window))
	if b.limit.Kind == Uses && allocation.Epoch != b.epoch {
		if allocation.Epoch < b.epoch {
			return
		}
		b.epoch, b.spent, b.numAllocations = allocation.Epoch, 0, 0
	}
	b.refresh(now)
	i := 0
	for ; i < b.numAllocations && b.allocations[i].from != from; i++ {
	}
	if i < b.numAllocations {
		held := &b.allocations[i]
		if allocation.Number < held.number {
			return
		}
		if allocation.Number == held.number {
			held.end = max(held.end, end)
		} else {
			*held = activeAllocation{from, allocation.Number, allocation.Amount, end, allocation.Epoch}
		}
	} else {
		if now >= end {
			return
		}
		// Of each site only the newest owner's allocation is kept.
		kept := 0
		for j := range b.numAllocations {
			if held := b.allocations[j]; held.from.Site != from.Site || held.from.Owner > from.Owner {
				b.allocations[kept] = held
				kept++
			}
		}
		b.numAllocations = kept
		if b.numAllocations == maxAllocations {
			return
		}
		b.allocations[b.numAllocations] = activeAllocation{from, allocation.Number, allocation.Amount, end, allocation.Epoch}
		b.numAllocations++
	}
	b.validUntil = min(b.validUntil, now)
	b.refresh(now)
}

// BucketReport is the state of one bucket, as a basis for requests to owners. The tags keep
// the names in the answer to the operators' call LIMITS.
type BucketReport struct {
	Key         Key
	Requests    uint64  `json:"Asked"` // requests since the last report
	MaxOpen     float64 `json:"Open"`  // most requests open at the same time since then
	Spent       float64
	Epoch       uint64
	Allocations []AllocationReport `json:"Parts"`
	Taken       uint64
	Refused     uint64 `json:"Refuse"`
	Amount      float64
}

// AllocationReport is the state of one allocation.
type AllocationReport struct {
	From   Source
	Number uint64
	Amount float64
	Held   float64 // most that may still be spent of it
	End    Micros
}

// Report returns the state of all buckets and starts a new reporting interval. The
// allocations reported are in force from now on: no later request uses an older one.
func (limiter *Limiter) Report(now Micros) []BucketReport {
	list := make([]BucketReport, 0, len(limiter.buckets))
	for _, b := range limiter.buckets {
		b.refresh(now)
		s := BucketReport{Key: b.Key, Requests: b.requests, MaxOpen: max(b.maxOpen, b.open), Spent: b.spent, Epoch: b.epoch, Taken: b.Taken, Refused: b.Refused, Amount: b.amount}
		rest := b.open
		if b.limit.Kind == Uses {
			rest = b.spent
		}
		for i := range b.numAllocations {
			x := b.allocations[i]
			y := AllocationReport{From: x.from, Number: x.number, Amount: x.amount, Held: x.amount, End: x.end}
			if b.limit.Kind != Rate && b.amount > 0 { // divide what is open or spent among the allocations in proportion
				y.Held = max(y.Held, rest*x.amount/b.amount)
			}
			s.Allocations = append(s.Allocations, y)
		}
		b.requests, b.maxOpen = 0, b.open
		list = append(list, s)
	}
	return list
}
