package quotalease

import (
	"math"
	"slices"

	"cherryramp/internal/decide/lease"
)

// mostParts bounds the keepers that a front holds parts of one limit from at once: its
// site's, those above it, and those before them.
const maxAllocations = 4

// MostNames bounds the names of each limit that counts each by itself.
const MaxNames = 4096

// Source names a keeper that a part came from.
type Source struct {
	Site  string
	Owner uint64 `cbor:"Keeper" json:"Keeper"`
}

// held is a part as its front spends it.
type activeAllocation struct {
	from   Source
	number uint64
	amount float64
	end    Micros
	epoch  uint64
}

// Bucket is what a front may spend of one limit of one name. It belongs to one
// goroutine, as the purse does.
type Bucket struct {
	Key            Key
	limit          *Limit
	rules          *Rules
	allocations    [maxAllocations]activeAllocation
	numAllocations int

	amount         float64 // of all parts that hold, until the next of them ends
	validUntil     Micros
	fadeStart      Micros  // since when the last part of a soft limit has been over; 0: it is not
	fadeAmount     float64 // that it had then
	isolatedAmount float64 // what this front may spend of a soft limit when it is cut off

	tokens     float64
	refilledAt Micros
	open       float64
	spent      float64 // uses, of the epoch
	epoch      uint64
	requests   uint64 // requests since the last look, let through or not
	maxOpen    float64
	lastUsed   Micros

	Taken, Refused uint64 // in all
}

// Purse is what a front may spend of all limits. Before each request it is asked by name;
// that allocates nothing.
type Limiter struct {
	rules     Rules
	limits    map[string]*Limit
	byClaim   map[claim][]*Bucket // exact ones
	wildcards map[string][]*Limit // of each name, by what they are for
	buckets   []*Bucket
	byKey     map[Key]*Bucket
	newNames  bool // names came that were not known before
	fronts    int
}

// claim is whom a request counts against.
type claim struct{ dimension, who string }

// NewPurse makes a purse without parts.
func NewLimiter(rules Rules, limits []Limit, now Micros) *Limiter {
	p := &Limiter{fronts: 1}
	p.Reconfigure(rules, limits, now)
	return p
}

// Renew takes other limits over. What is held of those that stay is kept: a smaller
// amount comes down as smaller parts.
func (p *Limiter) Reconfigure(rules Rules, limits []Limit, now Micros) {
	old := p.buckets
	p.rules, p.limits, p.byClaim, p.wildcards, p.buckets, p.byKey = rules, map[string]*Limit{}, map[claim][]*Bucket{}, map[string][]*Limit{}, nil, map[Key]*Bucket{}
	for i := range limits {
		l := limits[i]
		p.limits[l.Name] = &l
		if l.Who == "*" {
			p.wildcards[l.Dimension] = append(p.wildcards[l.Dimension], &l)
		} else {
			p.add(&l, l.Who, now)
		}
	}
	for _, b := range old {
		l := p.limits[b.Key.Limit]
		if l == nil || l.Kind != b.limit.Kind {
			continue
		}
		b.limit, b.rules = l, &p.rules
		c := claim{l.Dimension, b.Key.Who}
		if x := p.byKey[b.Key]; x != nil {
			p.buckets[slices.Index(p.buckets, x)] = b
			p.byClaim[c][slices.Index(p.byClaim[c], x)] = b
		} else if l.Who == "*" {
			p.buckets = append(p.buckets, b)
			p.byClaim[c] = append(p.byClaim[c], b)
		} else {
			continue
		}
		p.byKey[b.Key] = b
	}
	p.SetFronts(p.fronts)
}

func (p *Limiter) add(l *Limit, who string, now Micros) *Bucket {
	b := &Bucket{Key: Key{Limit: l.Name, Who: who}, limit: l, rules: &p.rules, refilledAt: now, lastUsed: now}
	b.setIsolatedAmount(p.fronts)
	p.buckets, p.byKey[b.Key] = append(p.buckets, b), b
	c := claim{l.Dimension, who}
	p.byClaim[c] = append(p.byClaim[c], b)
	return b
}

// Fronts tells how many fronts the fleet has, by which what may be spent alone is shared.
func (p *Limiter) SetFronts(n int) {
	p.fronts = max(1, n)
	for _, b := range p.buckets {
		b.setIsolatedAmount(p.fronts)
	}
}

func (b *Bucket) setIsolatedAmount(fronts int) {
	b.isolatedAmount = b.limit.Amount * b.limit.IsolatedShare / float64(fronts)
}

// Find gives the buckets that requests of a name count against; none: no limit is for it.
func (p *Limiter) Find(dimension, who string, now Micros) []*Bucket {
	list := p.byClaim[claim{dimension, who}]
	if len(list) > 0 || len(p.wildcards[dimension]) == 0 {
		return list
	}
	if len(p.buckets) >= MaxNames {
		p.prune(now)
	}
	for _, l := range p.wildcards[dimension] {
		if len(p.buckets) < MaxNames {
			p.add(l, who, now)
			p.newNames = true
		}
	}
	if list = p.byClaim[claim{dimension, who}]; len(list) == 0 {
		return bucketTableFull[:]
	}
	return list
}

// noRoom stands for a name that there is no room to count: it gets nothing.
var bucketTableFull = [1]*Bucket{{limit: &Limit{Name: "no room", Amount: 1, Burst: 1, Hard: true}, rules: &Rules{}}}

// sweep lets names go that nothing is held of and nobody has asked for lately.
func (p *Limiter) prune(now Micros) {
	p.buckets = slices.DeleteFunc(p.buckets, func(b *Bucket) bool {
		if b.limit.Who != "*" || b.open > 0 || b.numAllocations > 0 && now < b.lastExpiry() || now-b.lastUsed < p.rules.AllocationLease {
			return false
		}
		delete(p.byClaim, claim{b.limit.Dimension, b.Key.Who})
		delete(p.byKey, b.Key)
		return true
	})
}

func (b *Bucket) lastExpiry() (end Micros) {
	for i := range b.numAllocations {
		end = max(end, b.allocations[i].end)
	}
	return end
}

// Fresh tells whether names came since it was last asked: they need a first part at once.
func (p *Limiter) TakeNewNames() bool {
	was := p.newNames
	p.newNames = false
	return was
}

// look adds up the parts that hold at a moment. What a rate has gathered never exceeds
// the parts' share of the burst; a new part begins with nothing gathered.
func (b *Bucket) refresh(now Micros) {
	b.refill(min(now, b.validUntil))
	amount, until := 0.0, Micros(math.MaxInt64)
	kept := 0
	for i := range b.numAllocations {
		x := b.allocations[i]
		if now >= x.end {
			continue
		}
		b.allocations[kept] = x
		kept++
		amount += x.amount
		until = min(until, x.end)
	}
	was := b.amount
	b.numAllocations, b.amount, b.validUntil = kept, amount, until
	if !b.limit.Hard && b.isolatedAmount > 0 {
		switch {
		case kept > 0:
			b.fadeStart = 0
		case b.fadeStart == 0:
			b.fadeStart, b.fadeAmount = max(1, now), was
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

// fade has a soft limit's part go over to what may be spent alone, within the span
// for which nobody else is given it, so that there is no jump.
func (b *Bucket) fade(now Micros) {
	gap := max(1, lease.ExpirySpan(b.rules.AllocationLease)-b.rules.AllocationLease)
	left := max(0, 1-float64(now-b.fadeStart)/float64(gap))
	b.amount = b.isolatedAmount + max(0, b.fadeAmount-b.isolatedAmount)*left
	b.validUntil = now + gap/16 + 1
	if left == 0 {
		b.validUntil = math.MaxInt64
	}
}

// cap is what may be gathered of a rate.
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
	allocationWait Micros = 250_000   // after which a part may have come, where there is none
	openWait       Micros = 500_000   // after which one of the open requests may have ended
	maxWait        Micros = 5_000_000 //
)

// Take asks for one request. Refused, it tells how long to stay away.
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

// Undo gives back what Take has just taken, where another limit refused the request.
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

// Done ends a request that Take let through.
func (b *Bucket) Release() {
	if b.limit.Kind == Open && b.open > 0 {
		b.open--
	}
}

// Part gives the number of the part spent from, for histories, and the amount of all.
func (b *Bucket) Allocation() (from Source, number uint64, amount float64) {
	if b.numAllocations == 0 {
		return Source{}, 0, b.amount
	}
	x := &b.allocations[b.numAllocations-1]
	return x.from, x.number, b.amount
}

// Give takes a grant in; parts of limits that are not known are passed over. Newest is
// the newest keeper of the site that this front knows of: one before it has no say.
func (p *Limiter) ApplyGrant(g Grant, newest uint64, now Micros) {
	if g.Owner < newest {
		return
	}
	from := Source{Site: g.Site, Owner: g.Owner}
	for _, x := range g.Allocations {
		if b := p.byKey[x.Key]; b != nil {
			b.applyAllocation(from, g.Stamp, x, now)
		}
	}
}

func (b *Bucket) applyAllocation(from Source, stamp Micros, x Allocation, now Micros) {
	end := stamp + min(x.Span, max(b.rules.AllocationLease, b.limit.Window))
	if b.limit.Kind == Uses && x.Epoch != b.epoch {
		if x.Epoch < b.epoch {
			return
		}
		b.epoch, b.spent, b.numAllocations = x.Epoch, 0, 0
	}
	b.refresh(now)
	i := 0
	for ; i < b.numAllocations && b.allocations[i].from != from; i++ {
	}
	if i < b.numAllocations {
		y := &b.allocations[i]
		if x.Number < y.number {
			return
		}
		if x.Number == y.number {
			y.end = max(y.end, end)
		} else {
			*y = activeAllocation{from, x.Number, x.Amount, end, x.Epoch}
		}
	} else {
		if now >= end {
			return
		}
		// Of one site the newest keeper's alone.
		kept := 0
		for j := range b.numAllocations {
			if y := b.allocations[j]; y.from.Site != from.Site || y.from.Owner > from.Owner {
				b.allocations[kept] = y
				kept++
			}
		}
		b.numAllocations = kept
		if b.numAllocations == maxAllocations {
			return
		}
		b.allocations[b.numAllocations] = activeAllocation{from, x.Number, x.Amount, end, x.Epoch}
		b.numAllocations++
	}
	b.validUntil = min(b.validUntil, now)
	b.refresh(now)
}

// Say is what one bucket has to tell, for a keeper.
type BucketReport struct {
	Key         Key
	Requests    uint64  `json:"Asked"` // since the last look
	MaxOpen     float64 `json:"Open"`  // most at once since then
	Spent       float64
	Epoch       uint64
	Allocations []AllocationReport `json:"Parts"`
	Taken       uint64
	Refused     uint64 `json:"Refuse"`
	Amount      float64
}

// Stood is one part as it stands.
type AllocationReport struct {
	From   Source
	Number uint64
	Amount float64
	Held   float64 // the most that may still be spent of it
	End    Micros
}

// Tell gives what all buckets have to tell since it was last asked. What it says of parts
// is in force from now on: no request goes by an older one.
func (p *Limiter) Report(now Micros) []BucketReport {
	list := make([]BucketReport, 0, len(p.buckets))
	for _, b := range p.buckets {
		b.refresh(now)
		s := BucketReport{Key: b.Key, Requests: b.requests, MaxOpen: max(b.maxOpen, b.open), Spent: b.spent, Epoch: b.epoch, Taken: b.Taken, Refused: b.Refused, Amount: b.amount}
		rest := b.open
		if b.limit.Kind == Uses {
			rest = b.spent
		}
		for i := range b.numAllocations {
			x := b.allocations[i]
			y := AllocationReport{From: x.from, Number: x.number, Amount: x.amount, Held: x.amount, End: x.end}
			if b.limit.Kind != Rate && b.amount > 0 { // what is open, or spent, lies on the parts by their size
				y.Held = max(y.Held, rest*x.amount/b.amount)
			}
			s.Allocations = append(s.Allocations, y)
		}
		b.requests, b.maxOpen = 0, b.open
		list = append(list, s)
	}
	return list
}
