// Package ratelimit limits requests by key, tenant and subject: their rate, the number of
// concurrently open requests, and the number of uses of one token.
//
// Rates use GCRA (ITU-T I.371, virtual scheduling): a bucket is a single time, the
// theoretical arrival time. An entry whose time has passed and that has no open requests
// is equivalent to no entry and may be evicted. A full table first evicts such entries;
// if there are none, new names are refused. An entry that still limits requests is never
// evicted.
//
// The package reads no clock and does no I/O.
package ratelimit

import (
	"crypto/sha256"
	"encoding/binary"

	"cherryramp/internal/decide/compactmap"
)

// Micros is a Unix time or a duration in microseconds.
type Micros = int64

// Limit is the limit of one name. A zero Rate or Open means unlimited.
type Limit struct {
	Rate  float64 // requests per second
	Burst int     // requests that may come at once; values below 1 count as 1
	Open  int     // concurrently open requests
}

func (l Limit) isZero() bool { return l.Rate == 0 && l.Open == 0 }

// Kind is what a limit applies to. Each kind has its own namespace.
type Kind byte

// The kinds of limits.
const (
	Tenant  Kind = 't'
	Key     Kind = 'k'
	Subject Kind = 's'
)

// Claim is one limit that a request is subject to.
type Claim struct {
	Kind  Kind
	Name  string // unique within its kind
	Limit Limit
}

// Refusal is the reason why a request is refused; empty if it is not.
type Refusal string

// The reasons for refusal.
const (
	RateExceeded   Refusal = "too many requests a second"
	OpenExceeded   Refusal = "too many requests at once"
	RatesTableFull Refusal = "no room to count requests"
	TokenUsedUp    Refusal = "token is used up"
	TokenInUse     Refusal = "token is in use"
	UsesTableFull  Refusal = "no room to count uses"
)

// bucket is the state of one name.
type bucket struct {
	TAT  int64 // theoretical arrival time
	Open uint32
	_    uint32
}

// Rates enforces rates and numbers of open requests.
type Rates struct {
	table *compactmap.Table[bucket]
	names []compactmap.Key // scratch space, reused by each request
}

// NewRates returns a Rates that holds at most maxNames names.
func NewRates(maxNames int) *Rates { return &Rates{table: compactmap.New[bucket](maxNames)} }

// Slots checked for entries to evict: a few with each new name, more when the table is
// full.
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

// Take admits one request under all its claims or, if any of them refuses it, changes none
// of them and returns how long the client should wait. An admitted request must be ended
// by Release with the same claims.
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
		b.Open++ // an open request keeps the entry from being evicted while the remaining claims are added
		if l.Rate > 0 {
			b.TAT = max(b.TAT, now) + l.interval()
		}
	}
	return 0, ""
}

// undo reverts what Take has counted for the first claims of a request.
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
	openWait      Micros = 500_000   // time in which one of the open requests is likely to end
	tableFullWait Micros = 1_000_000 // time in which an entry of a full table may become free
)

func (l Limit) interval() Micros { return max(1, Micros(1e6/l.Rate)) }

// wait returns how long it takes until a request conforms to the rate; 0 if it does.
func (l Limit) wait(tat, now Micros) Micros {
	if l.Rate == 0 {
		return 0
	}
	return max(0, tat-Micros(max(1, l.Burst)-1)*l.interval()-now)
}

func (r *Rates) add(n compactmap.Key, now Micros) *bucket {
	evictable := func(_ compactmap.Key, b *bucket) bool { return b.Open == 0 && b.TAT <= now }
	r.table.Sweep(sweepOnAdd, evictable)
	if r.table.Full() {
		r.table.Sweep(sweepWhenFull, evictable)
	}
	return r.table.Add(n, bucket{})
}

// Release ends a request that Take admitted.
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

// Len returns the number of names held.
func (r *Rates) Len() int { return r.table.Len() }

// tokenUse is the state of one token with a limited number of uses.
type tokenUse struct {
	ExpiresAt int64  // the token admits nothing from then on
	LastStart int64  // start of the last use
	Object    uint64 // hash of the last use's object
	Count     uint32
	Open      uint32 // open requests of the last use
}

// Uses counts the uses of tokens. A token's entry is evicted only after the token has
// expired; a full table refuses new tokens.
type Uses struct{ table *compactmap.Table[tokenUse] }

// NewUses returns a Uses that holds at most maxTokens tokens.
func NewUses(maxTokens int) *Uses { return &Uses{table: compactmap.New[tokenUse](maxTokens)} }

// Token describes one use of a token.
type Token struct {
	Name        [16]byte
	ExpiresAt   Micros // when the token stops admitting requests
	MaxUses     int    // number of uses allowed
	Object      string // requested object
	RetryWindow Micros // how long a repeated request for the same object is the same use
}

// Take uses a token, or returns why it cannot be used and how long to wait. A client's
// retry, for the same object within RetryWindow and after the earlier request has ended,
// is the same use. A use must be ended by Release.
func (u *Uses) Take(t Token, now Micros) (wait Micros, refusal Refusal) {
	sum := sha256.Sum256([]byte(t.Object))
	object := binary.LittleEndian.Uint64(sum[:])
	entry := u.table.Find(t.Name)
	if entry == nil {
		evictable := func(_ compactmap.Key, entry *tokenUse) bool { return entry.Open == 0 && entry.ExpiresAt < now }
		u.table.Sweep(sweepOnAdd, evictable)
		if u.table.Full() {
			u.table.Sweep(sweepWhenFull, evictable)
		}
		if entry = u.table.Add(t.Name, tokenUse{}); entry == nil {
			return tableFullWait, UsesTableFull
		}
	}
	isRetry := entry.Count > 0 && entry.Object == object && now-entry.LastStart <= t.RetryWindow
	switch {
	case isRetry && entry.Open > 0:
		return openWait, TokenInUse
	case isRetry:
	case int(entry.Count) >= t.MaxUses:
		return 0, TokenUsedUp
	default:
		entry.Count++
		entry.LastStart, entry.Object = now, object
	}
	entry.ExpiresAt = max(entry.ExpiresAt, t.ExpiresAt)
	entry.Open++
	return 0, ""
}

// Release ends a request that Take admitted. If notServed is set, the request was refused
// before any work was done for it and does not count as a use.
func (u *Uses) Release(name [16]byte, notServed bool) {
	entry := u.table.Find(name)
	if entry == nil || entry.Open == 0 {
		return
	}
	entry.Open--
	if notServed && entry.Open == 0 && entry.Count > 0 {
		entry.Count--
		entry.Object, entry.LastStart = 0, 0
	}
}

// Len returns the number of tokens held.
func (u *Uses) Len() int { return u.table.Len() }

// Append appends the encoded state to b, to be read by Read.
func (u *Uses) Append(b []byte) ([]byte, error) { return u.table.Append(b) }

// Read restores a state written by Append and returns the bytes that follow it. Requests
// that were open when the state was written count as ended.
func (u *Uses) Read(b []byte) ([]byte, error) {
	rest, err := u.table.Read(b)
	u.table.Sweep(1<<62, func(_ compactmap.Key, x *tokenUse) bool { x.Open = 0; return false })
	return rest, err
}
