// Package ratelimit decides how much a key, a tenant and a subject may ask for: a
// rate, a number of open requests, and how often one token may be used.
//
// Rates are GCRA (ITU-T I.371, the virtual scheduling form): a bucket is one
// moment, the theoretical arrival time, so an entry whose moment has passed and
// that has nothing open says no more than no entry does, and may go. At its
// bound the table first lets such entries go; where there is none, what is new
// is refused. Nothing that still binds is ever forgotten.
//
// It asks no clock and does no I/O.
package ratelimit

import (
	"crypto/sha256"
	"encoding/binary"

	"cherryramp/internal/decide/compactmap"
)

// Micros is a moment or a span in microseconds of the Unix clock.
type Micros = int64

// Limit is what one name may ask for. A zero field does not bind.
type Limit struct {
	Rate  float64 // requests a second
	Burst int     // requests at once; 1 at least counts
	Open  int     // requests open together
}

func (l Limit) isZero() bool { return l.Rate == 0 && l.Open == 0 }

// Kind is whom a limit is for. Names of different kinds are kept apart.
type Kind byte

// The kinds.
const (
	Tenant  Kind = 't'
	Key     Kind = 'k'
	Subject Kind = 's'
)

// Claim is one limit that a request has to keep.
type Claim struct {
	Kind  Kind
	Name  string // unique within its kind
	Limit Limit
}

// Refusal tells why a request may not go on. The empty one is none.
type Refusal string

// The refusals.
const (
	RateExceeded   Refusal = "too many requests a second"
	OpenExceeded   Refusal = "too many requests at once"
	RatesTableFull Refusal = "no room to count requests"
	TokenUsedUp    Refusal = "token is used up"
	TokenInUse     Refusal = "token is in use"
	UsesTableFull  Refusal = "no room to count uses"
)

// bucket is what is known of one name.
type bucket struct {
	TAT  int64 // theoretical arrival time
	Open uint32
	_    uint32
}

// Rates keeps rates and numbers of open requests.
type Rates struct {
	table *compactmap.Table[bucket]
	names []compactmap.Key // used anew by each request
}

// NewRates makes room for so many names.
func NewRates(maxNames int) *Rates { return &Rates{table: compactmap.New[bucket](maxNames)} }

// What is looked at for entries to let go: a little with each new name, and a
// good deal where there is no room.
const (
	sweepOnAdd    = 4
	sweepWhenFull = 256
)

func hashName(k Kind, name string) (n compactmap.Key) {
	var buf [128]byte
	sum := sha256.Sum256(append(append(buf[:0], byte(k)), name...))
	copy(n[:], sum[:])
	return n
}

// Take asks for one request under all its claims. It takes from all or from
// none; refused, it tells how long to stay away. What was taken must be given
// back with Done, with the same claims, when the request ends.
func (r *Rates) Take(claims []Claim, now Micros) (wait Micros, refusal Refusal) {
	r.names = r.names[:0]
	for i := range claims {
		c := &claims[i]
		n := hashName(c.Kind, c.Name)
		r.names = append(r.names, n)
		if c.Limit.isZero() {
			continue
		}
		b := r.table.Find(n)
		if b == nil {
			continue
		}
		if c.Limit.Open > 0 && int(b.Open) >= c.Limit.Open && refusal == "" {
			wait, refusal = max(wait, openWait), OpenExceeded
		}
		if w := c.Limit.wait(b.TAT, now); w > 0 {
			wait, refusal = max(wait, w), RateExceeded
		}
	}
	if refusal != "" {
		return wait, refusal
	}
	for i := range claims {
		l := claims[i].Limit
		if l.isZero() {
			continue
		}
		b := r.table.Find(r.names[i])
		if b == nil {
			if b = r.add(r.names[i], now); b == nil {
				r.undo(claims[:i])
				return tableFullWait, RatesTableFull
			}
		}
		b.Open++ // from here on no sweep takes the entry, though nothing else is in it
		if l.Rate > 0 {
			b.TAT = max(b.TAT, now) + l.interval()
		}
	}
	return 0, ""
}

// undo takes back what Take has taken of its first claims.
func (r *Rates) undo(claims []Claim) {
	for i := range claims {
		if l := claims[i].Limit; !l.isZero() {
			b := r.table.Find(r.names[i])
			b.Open--
			if l.Rate > 0 {
				b.TAT -= l.interval()
			}
		}
	}
}

const (
	openWait      Micros = 500_000   // after which one of the open requests may have ended
	tableFullWait Micros = 1_000_000 // after which there may be room
)

func (l Limit) interval() Micros { return max(1, Micros(1e6/l.Rate)) }

// wait is how long until a request conforms; 0: it does.
func (l Limit) wait(tat, now Micros) Micros {
	if l.Rate == 0 {
		return 0
	}
	return max(0, tat-Micros(max(1, l.Burst)-1)*l.interval()-now)
}

func (r *Rates) add(n compactmap.Key, now Micros) *bucket {
	dead := func(_ compactmap.Key, b *bucket) bool { return b.Open == 0 && b.TAT <= now }
	r.table.Sweep(sweepOnAdd, dead)
	if r.table.Full() {
		r.table.Sweep(sweepWhenFull, dead)
	}
	return r.table.Add(n, bucket{})
}

// Done ends a request that Take let go on.
func (r *Rates) Release(claims []Claim) {
	for i := range claims {
		if claims[i].Limit.isZero() {
			continue
		}
		if b := r.table.Find(hashName(claims[i].Kind, claims[i].Name)); b != nil && b.Open > 0 {
			b.Open--
		}
	}
}

// Len counts the names that are held.
func (r *Rates) Len() int { return r.table.Len() }

// use is what is known of one token that may be used so often.
type tokenUse struct {
	ExpiresAt int64  // nothing can be let in by the token from then on
	LastStart int64  // when the last use began
	Object    uint64 // of the last use
	Count     uint32
	Open      uint32 // requests of the last use
}

// Uses keeps how often tokens were used. A token's entry goes when the token
// has run out, and never before: a full table refuses.
type Uses struct{ table *compactmap.Table[tokenUse] }

// NewUses makes room for so many tokens.
func NewUses(maxTokens int) *Uses { return &Uses{table: compactmap.New[tokenUse](maxTokens)} }

// Token is one token's use.
type Token struct {
	Name        [16]byte
	ExpiresAt   Micros // when nothing can be let in by it any more
	MaxUses     int    // uses
	Object      string // what is asked for
	RetryWindow Micros // how long asking for the same again is the same use
}

// Take uses a token. A client's own retry, for the same object within the span
// and with the earlier request ended, is the same use. What was taken must be
// given back with Done when the request ends.
func (u *Uses) Take(t Token, now Micros) (wait Micros, refusal Refusal) {
	sum := sha256.Sum256([]byte(t.Object))
	object := binary.LittleEndian.Uint64(sum[:])
	x := u.table.Find(t.Name)
	if x == nil {
		dead := func(_ compactmap.Key, x *tokenUse) bool { return x.Open == 0 && x.ExpiresAt < now }
		u.table.Sweep(sweepOnAdd, dead)
		if u.table.Full() {
			u.table.Sweep(sweepWhenFull, dead)
		}
		if x = u.table.Add(t.Name, tokenUse{}); x == nil {
			return tableFullWait, UsesTableFull
		}
	}
	again := x.Count > 0 && x.Object == object && now-x.LastStart <= t.RetryWindow
	switch {
	case again && x.Open > 0:
		return openWait, TokenInUse
	case again:
	case int(x.Count) >= t.MaxUses:
		return 0, TokenUsedUp
	default:
		x.Count++
		x.LastStart, x.Object = now, object
	}
	x.ExpiresAt = max(x.ExpiresAt, t.ExpiresAt)
	x.Open++
	return 0, ""
}

// Done ends a request that Take let go on. One that was refused before anything
// was done for it is no use.
func (u *Uses) Release(name [16]byte, notServed bool) {
	x := u.table.Find(name)
	if x == nil || x.Open == 0 {
		return
	}
	x.Open--
	if notServed && x.Open == 0 && x.Count > 0 {
		x.Count--
		x.Object, x.LastStart = 0, 0
	}
}

// Len counts the tokens that are held.
func (u *Uses) Len() int { return u.table.Len() }

// Append writes the state out, for Read.
func (u *Uses) Append(b []byte) ([]byte, error) { return u.table.Append(b) }

// Read takes a state in and gives what follows it. Requests that were open then
// have ended.
func (u *Uses) Read(b []byte) ([]byte, error) {
	rest, err := u.table.Read(b)
	u.table.Sweep(1<<62, func(_ compactmap.Key, x *tokenUse) bool { x.Open = 0; return false })
	return rest, err
}
