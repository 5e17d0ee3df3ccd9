// Package audit is a front's account of what it acted on: a chain of records, each of
// which holds the digest of the one before, with the requests that were decided
// under each version, and what happened beside them.
//
// A request costs a count and six bytes of its id's hash, kept apart from a record's
// own bytes by their digest: older records lose the ids first and stay provable, and
// the oldest are rolled up into counts, whose end the chain still names. Moments are
// the front's own and told, never compared with another's: what bounds a record is
// the entry of the fleet's log that had been applied before it, and the entry in
// which its chain's head was seen again after it.
package audit

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"cherryramp/internal/decide/counters"
)

// Micros is a moment in microseconds: of the front's own clock, or of fleet time.
type Micros = int64

// Bounds.
const (
	MaxIDs    = 100_000 // of one record, which is closed there
	idSize    = 6       // bytes of an id's hash
	mostText  = 240
	mostWords = 128 // bytes of an id
	mostRoll  = 60  // records that become one
)

// What a record is.
const (
	KindStarted   = "began"    // the front's process
	KindActivated = "took"     // a version
	KindRequests  = "decided"  // requests, under one version
	KindLease     = "lease"    // held again, or over
	KindContact   = "contact"  // with the fleet's leader, found or lost
	KindPermit    = "permit"   // out under one, or back
	KindOutdated  = "shut"     // refuses because of its version's age, or no more
	KindAnchor    = "anchor"   // the chain's head was seen in the fleet's log
	KindRollup    = "rolledup" // counts of records that are gone
)

// Outcome is how a request ended.
type Outcome = counters.Outcome

// The outcomes.
const (
	Served  = counters.Passed
	Refused = counters.Dropped
	Failed  = counters.BadGateway
)

// Count is the requests of a class.
type Count struct {
	Class   string `cbor:"1,keyasint" json:"class"`
	Served  uint64 `cbor:"2,keyasint,omitempty" json:"served"`
	Refused uint64 `cbor:"3,keyasint,omitempty" json:"refused"`
	Failed  uint64 `cbor:"4,keyasint,omitempty" json:"failed"`
}

// Record is one of the chain.
type Record struct {
	Seq     uint64  `cbor:"1,keyasint"`
	Prev    []byte  `cbor:"2,keyasint"` // digest of the one before
	Kind    string  `cbor:"3,keyasint"`
	At      Micros  `cbor:"4,keyasint"`                     // the front's wall clock, as it says
	Fleet   Micros  `cbor:"5,keyasint"`                     // fleet time as far as it had applied
	Index   uint64  `cbor:"6,keyasint"`                     // entry that it had applied at the record's begin
	To      uint64  `cbor:"7,keyasint"`                     // and at its end
	Version uint64  `cbor:"8,keyasint"`                     // that it acted on
	Text    string  `cbor:"9,keyasint,omitempty"`           //
	Counts  []Count `cbor:"10,keyasint,omitempty"`          //
	First   string  `cbor:"11,keyasint,omitempty"`          // id of the first request
	Last    string  `cbor:"12,keyasint,omitempty"`          // and of the last
	IDSum   []byte  `cbor:"13,keyasint,omitempty"`          // digest of the ids' hashes
	IDs     []byte  `cbor:"14,keyasint,omitempty" json:"-"` // not part of the digest; gone from older records
	Seen    uint64  `cbor:"15,keyasint,omitempty"`          // an anchor: records up to here were seen
	Entry   uint64  `cbor:"16,keyasint,omitempty"`          // in this entry
	From    uint64  `cbor:"17,keyasint,omitempty"`          // rolled up: the first record
	End     []byte  `cbor:"18,keyasint,omitempty"`          // and the digest of the last, which the next one names
	ID      uint64  `cbor:"19,keyasint,omitempty"`          // began: the front's incarnation
	Start   uint64  `cbor:"20,keyasint,omitempty"`          // and process
}

var (
	encoder = must(cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode())
	decoder = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxNestedLevels: 4, MaxArrayElements: 1024, MaxMapPairs: 32, UTF8: cbor.UTF8RejectInvalid}.DecMode())
)

func must[T any](x T, err error) T {
	if err != nil {
		panic(err) // the options are constants
	}
	return x
}

// Encode writes a record.
func (r *Record) Encode() []byte {
	b, err := encoder.Marshal(r)
	if err != nil { // plain values always encode
		panic(fmt.Sprintf("audit: %v", err))
	}
	return b
}

// Decode reads a record.
func Decode(b []byte) (r Record, err error) {
	if err := decoder.Unmarshal(b, &r); err != nil {
		return r, fmt.Errorf("audit: %w", err)
	}
	return r, nil
}

// Digest is what the next record names. It holds for a record without its ids.
func (r *Record) Digest() []byte {
	if r.Kind == KindRollup {
		return r.End
	}
	x := *r
	x.IDs = nil
	sum := sha256.Sum256(x.Encode())
	return sum[:16]
}

// Mark is the hash of a request's id: 48 bits of its xxhash.
func HashID(id string) uint64 { return xxhash.Sum64String(id) & (1<<48 - 1) }

// Chain is the chain's end, and the requests that are being counted for its next
// records, by version. The zero value is a chain that has not begun.
type Chain struct {
	seq     uint64
	head    []byte
	version uint64
	classes []string
	buckets []*bucket // the newest version's first; those of others are few and short-lived
}

// bucket is the requests of one version that no record holds yet.
type bucket struct {
	version uint64
	from    uint64 // entry that had been applied when the first was counted
	counts  []Count
	ids     []byte
	number  int
	first   [mostWords]byte
	firstN  int
	last    [mostWords]byte
	lastN   int
}

// mostBuckets bounds the versions that requests are counted under at once.
const mostBuckets = 16

// Seq and Head name the chain's end.
func (c *Chain) Seq() uint64 { return c.seq }

// Head is the digest of the last record.
func (c *Chain) Head() []byte { return c.head }

// Errors of a chain.
var (
	ErrBroken = errors.New("audit: the chain is broken")
)

// Follow takes a record of the disk as the chain's next.
func (c *Chain) Replay(r *Record) error {
	if c.head != nil && (r.start() != c.seq+1 || !bytes.Equal(r.Prev, c.head)) {
		return fmt.Errorf("%w: record %d does not follow record %d", ErrBroken, r.Seq, c.seq)
	}
	if len(r.IDs) > 0 && !bytes.Equal(sumOf(r.IDs), r.IDSum) {
		return fmt.Errorf("%w: the ids of record %d are others", ErrBroken, r.Seq)
	}
	c.seq, c.head = r.Seq, r.Digest()
	if r.Kind != KindRequests {
		c.version = r.Version
	}
	return nil
}

// start is the first record that one stands for.
func (r *Record) start() uint64 {
	if r.Kind == KindRollup {
		return r.From
	}
	return r.Seq
}

func sumOf(b []byte) []byte {
	sum := sha256.Sum256(b)
	return sum[:16]
}

// Moment is when a record is made.
type Timestamp struct {
	At    Micros // the front's wall clock
	Fleet Micros
	Index uint64 // applied
}

// Add makes the chain's next record.
func (c *Chain) Append(r Record, m Timestamp) *Record {
	r.Seq, r.Prev, r.At, r.Fleet = c.seq+1, c.head, m.At, m.Fleet
	if r.Kind != KindRequests {
		r.Index, r.To = m.Index, m.Index
	}
	if r.Kind != KindActivated && r.Kind != KindRequests {
		r.Version = c.version
	}
	r.Text = r.Text[:min(len(r.Text), mostText)]
	c.seq, c.head = r.Seq, r.Digest()
	if r.Kind != KindRequests {
		c.version = r.Version
	}
	return &r
}

// Classes names the classes by place, so that a request costs no look-up.
func (c *Chain) SetClasses(names []string) { c.classes = names }

// Count counts a request that was decided under a version, with entries up to index
// applied; full tells that the records must be closed. It allocates nothing but where a
// record is the first of its version or the largest.
func (c *Chain) Count(version uint64, class int, o Outcome, id string, index uint64) (full bool) {
	var b *bucket
	for _, x := range c.buckets {
		if x.version == version {
			b = x
			break
		}
	}
	if b == nil {
		b = &bucket{version: version}
		c.buckets = append([]*bucket{b}, c.buckets...)
	}
	for len(b.counts) <= class {
		b.counts = append(b.counts, Count{})
	}
	x := &b.counts[class]
	switch o {
	case Served:
		x.Served++
	case Refused:
		x.Refused++
	case Failed:
		x.Failed++
	}
	h := HashID(id)
	b.ids = append(b.ids, byte(h>>40), byte(h>>32), byte(h>>24), byte(h>>16), byte(h>>8), byte(h))
	if b.number == 0 {
		b.firstN, b.from = copy(b.first[:], id), index
	}
	b.lastN = copy(b.last[:], id)
	b.number++
	return b.number >= MaxIDs || len(c.buckets) > mostBuckets
}

// Close makes records of the requests counted, a version's each.
func (c *Chain) Flush(m Timestamp) (list []*Record) {
	for i := len(c.buckets) - 1; i >= 0; i-- {
		b := c.buckets[i]
		if b.number == 0 {
			if i > 0 { // an older version, of which nothing came since
				c.buckets = slices.Delete(c.buckets, i, i+1)
			}
			continue
		}
		r := Record{Kind: KindRequests, Version: b.version, Index: b.from, To: m.Index, First: string(b.first[:b.firstN]), Last: string(b.last[:b.lastN]),
			IDs: slices.Clone(b.ids), IDSum: sumOf(b.ids)}
		for i, x := range b.counts {
			if x.Served+x.Refused+x.Failed > 0 {
				x.Class = "class " + fmt.Sprint(i)
				if i < len(c.classes) {
					x.Class = c.classes[i]
				}
				r.Counts = append(r.Counts, x)
			}
			b.counts[i] = Count{}
		}
		b.ids, b.number = b.ids[:0], 0
		list = append(list, c.Append(r, m))
	}
	return list
}

// Has tells whether a record may hold a request, by its id's hash; known is false
// where its ids are gone.
func (r *Record) MayContain(mark uint64) (has, known bool) {
	if r.Kind != KindRequests || len(r.IDs) == 0 {
		return false, r.Kind != KindRequests && r.Kind != KindRollup
	}
	want := [idSize]byte{byte(mark >> 40), byte(mark >> 32), byte(mark >> 24), byte(mark >> 16), byte(mark >> 8), byte(mark)}
	for i := 0; i+idSize <= len(r.IDs); i += idSize {
		if [idSize]byte(r.IDs[i:i+idSize]) == want {
			return true, true
		}
	}
	return false, true
}

// Shrink makes a chain's records fewer bytes: the ids of the older half go, and the
// records before that half become counts, so many to one where they are of one
// version. Anchors and other events of those are lost but for their number.
func Compact(records []Record) []Record {
	half := len(records) / 2
	var out []Record
	for i := range records[:half] {
		r := records[i]
		r.IDs = nil
		if i < half/2 && len(out) > 0 {
			if o := &out[len(out)-1]; o.Kind == KindRollup && o.Version == r.Version && r.Seq-o.From < mostRoll {
				o.merge(&r)
				continue
			}
		}
		if i < half/2 && r.Kind != KindRollup {
			r = Record{Seq: r.Seq, From: r.Seq, Prev: r.Prev, Kind: KindRollup, At: r.At, Fleet: r.Fleet, Index: r.Index, To: r.To, Version: r.Version,
				Counts: r.Counts, First: r.First, Last: r.Last, End: r.Digest()}
		}
		out = append(out, r)
	}
	return append(out, records[half:]...)
}

// merge adds the next record to one that is rolled up.
func (r *Record) merge(o *Record) {
	r.Seq, r.To, r.End, r.Last = o.Seq, o.To, o.Digest(), cmp.Or(o.Last, r.Last)
	r.First = cmp.Or(r.First, o.First)
	r.Counts = AddCounts(r.Counts, o.Counts)
}

// Sum adds counts, class by class.
func AddCounts(a, b []Count) []Count {
	a = slices.Clone(a)
	for _, y := range b {
		if i := slices.IndexFunc(a, func(x Count) bool { return x.Class == y.Class }); i >= 0 {
			a[i].Served, a[i].Refused, a[i].Failed = a[i].Served+y.Served, a[i].Refused+y.Refused, a[i].Failed+y.Failed
		} else {
			a = append(a, y)
		}
	}
	return a
}
