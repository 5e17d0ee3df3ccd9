// Package audit keeps a front's record of what it acted on: a hash chain of records with the
// requests that were decided under each version, and other events in between.
//
// A request costs a counter and six bytes of the hash of its id. The id hashes enter a record's
// digest only by their own digest: older records lose them first and stay verifiable, and the
// oldest records are rolled up into counts that name the digest of the last record they
// replace. Timestamps are the front's own and are never compared with another front's. A record
// is bounded instead by the entry of the fleet's log that had been applied before it, and by
// the entry in which the head of its chain was seen again after it.
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

// Micros is a moment in microseconds, of the front's own clock or of fleet time.
type Micros = int64

// Limits.
const (
	MaxIDs     = 100_000 // of one record; it is closed at this number
	idSize     = 6       // bytes of the hash of an id
	maxText    = 240
	maxIDBytes = 128 // bytes of an id
	maxRollup  = 60  // records merged into one
)

// Kinds of records.
const (
	KindStarted   = "began"    // the front's process started
	KindActivated = "took"     // the front began to act on a version
	KindRequests  = "decided"  // requests, under one version
	KindLease     = "lease"    // the lease is held again, or is over
	KindContact   = "contact"  // contact with the fleet's leader found or lost
	KindPermit    = "permit"   // out under a permit, or back
	KindOutdated  = "shut"     // the front refuses requests because its version is too old, or no longer does
	KindAnchor    = "anchor"   // the head of the chain was seen in the fleet's log
	KindRollup    = "rolledup" // counts of records that are gone
)

// Outcome is how a request ended.
type Outcome = counters.Outcome

// Outcomes.
const (
	Served  = counters.Passed
	Refused = counters.Dropped
	Failed  = counters.BadGateway
)

// Count holds the numbers of requests of one class by outcome.
type Count struct {
	Class   string `cbor:"1,keyasint" json:"class"`
	Served  uint64 `cbor:"2,keyasint,omitempty" json:"served"`
	Refused uint64 `cbor:"3,keyasint,omitempty" json:"refused"`
	Failed  uint64 `cbor:"4,keyasint,omitempty" json:"failed"`
}

// Record is one record of the chain.
type Record struct {
	Seq     uint64  `cbor:"1,keyasint"`
	Prev    []byte  `cbor:"2,keyasint"` // digest of the record before
	Kind    string  `cbor:"3,keyasint"`
	At      Micros  `cbor:"4,keyasint"` // the front's wall clock
	Fleet   Micros  `cbor:"5,keyasint"` // fleet time as far as it was applied
	Index   uint64  `cbor:"6,keyasint"` // entry that was applied when the record began
	To      uint64  `cbor:"7,keyasint"` // and when it ended
	Version uint64  `cbor:"8,keyasint"` // that the front acted on
	Text    string  `cbor:"9,keyasint,omitempty"`
	Counts  []Count `cbor:"10,keyasint,omitempty"`
	First   string  `cbor:"11,keyasint,omitempty"`          // id of the first request
	Last    string  `cbor:"12,keyasint,omitempty"`          // and of the last
	IDSum   []byte  `cbor:"13,keyasint,omitempty"`          // digest of IDs
	IDs     []byte  `cbor:"14,keyasint,omitempty" json:"-"` // hashes of the request ids; not part of the digest, dropped from older records
	Seen    uint64  `cbor:"15,keyasint,omitempty"`          // anchor: records up to this one were seen
	Entry   uint64  `cbor:"16,keyasint,omitempty"`          // anchor: in this entry
	From    uint64  `cbor:"17,keyasint,omitempty"`          // rollup: the first record
	End     []byte  `cbor:"18,keyasint,omitempty"`          // rollup: the digest of the last record, which the next one names
	ID      uint64  `cbor:"19,keyasint,omitempty"`          // process start: the front's incarnation
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

// Encode returns the canonical CBOR encoding of a record.
func (record *Record) Encode() []byte {
	b, err := encoder.Marshal(record)
	if err != nil { // plain values always encode
		panic(fmt.Sprintf("audit: %v", err))
	}
	return b
}

// Decode decodes a record; unknown fields are an error.
func Decode(b []byte) (record Record, err error) {
	if err := decoder.Unmarshal(b, &record); err != nil {
		return record, fmt.Errorf("audit: %w", err)
	}
	return record, nil
}

// Digest returns the digest that the next record names. It doesn't cover IDs, so it holds for a
// record whose ids were dropped. For a rollup it is the digest of the last record that was
// rolled up.
func (record *Record) Digest() []byte {
	if record.Kind == KindRollup {
		return record.End
	}
	x := *record
	x.IDs = nil
	sum := sha256.Sum256(x.Encode())
	return sum[:16]
}

// HashID returns the hash of a request's id: the low 48 bits of its xxhash.
func HashID(id string) uint64 { return xxhash.Sum64String(id) & (1<<48 - 1) }

// Chain is the end of a chain, with the requests counted for its next records by version. The
// zero value is an empty chain.
type Chain struct {
	seq     uint64
	head    []byte
	version uint64
	classes []string
	buckets []*bucket // the newest version's first; those of other versions are few and short-lived
}

// bucket holds the requests of one version that are not in a record yet.
type bucket struct {
	version  uint64
	from     uint64 // entry that had been applied when the first was counted
	counts   []Count
	ids      []byte
	requests int
	first    [maxIDBytes]byte
	firstLen int
	last     [maxIDBytes]byte
	lastLen  int
}

// maxBuckets limits the number of versions that requests are counted under at once.
const maxBuckets = 16

// Seq returns the sequence number of the last record.
func (chain *Chain) Seq() uint64 { return chain.seq }

// Head returns the digest of the last record; nil for an empty chain.
func (chain *Chain) Head() []byte { return chain.head }

// Errors of a chain.
var (
	ErrBroken = errors.New("audit: the chain is broken")
)

// Replay adds a record read from disk as the next one of the chain. It returns ErrBroken if the
// record doesn't follow the last one, or its ids don't match their digest.
func (chain *Chain) Replay(record *Record) error {
	if chain.head != nil && (record.firstSeq() != chain.seq+1 || !bytes.Equal(record.Prev, chain.head)) {
		return fmt.Errorf("%w: record %d does not follow record %d", ErrBroken, record.Seq, chain.seq)
	}
	if len(record.IDs) > 0 && !bytes.Equal(digestOf(record.IDs), record.IDSum) {
		return fmt.Errorf("%w: the ids of record %d are others", ErrBroken, record.Seq)
	}
	chain.seq, chain.head = record.Seq, record.Digest()
	if record.Kind != KindRequests {
		chain.version = record.Version
	}
	return nil
}

// firstSeq returns the sequence number of the first record that this one stands for.
func (record *Record) firstSeq() uint64 {
	if record.Kind == KindRollup {
		return record.From
	}
	return record.Seq
}

func digestOf(b []byte) []byte {
	sum := sha256.Sum256(b)
	return sum[:16]
}

// Timestamp is when a record is made.
type Timestamp struct {
	At    Micros // the front's wall clock
	Fleet Micros
	Index uint64 // last entry applied
}

// Append adds the next record to the chain and returns it complete.
func (chain *Chain) Append(record Record, now Timestamp) *Record {
	record.Seq, record.Prev, record.At, record.Fleet = chain.seq+1, chain.head, now.At, now.Fleet
	if record.Kind != KindRequests {
		record.Index, record.To = now.Index, now.Index
	}
	if record.Kind != KindActivated && record.Kind != KindRequests {
		record.Version = chain.version
	}
	record.Text = record.Text[:min(len(record.Text), maxText)]
	chain.seq, chain.head = record.Seq, record.Digest()
	if record.Kind != KindRequests {
		chain.version = record.Version
	}
	return &record
}

// SetClasses sets the names of the classes by index, so that counting a request needs no
// lookup.
func (chain *Chain) SetClasses(names []string) { chain.classes = names }

// Count counts a request that was decided under a version, with entries up to index applied. It
// returns true when the records must be flushed. It allocates only for the first record of a
// version and when a record outgrows all before it.
func (chain *Chain) Count(version uint64, class int, outcome Outcome, id string, index uint64) (full bool) {
	var current *bucket
	for _, counts := range chain.buckets {
		if counts.version == version {
			current = counts
			break
		}
	}
	if current == nil {
		current = &bucket{version: version}
		chain.buckets = append([]*bucket{current}, chain.buckets...)
	}
	for len(current.counts) <= class {
		current.counts = append(current.counts, Count{})
	}
	counts := &current.counts[class]
	switch outcome {
	case Served:
		counts.Served++
	case Refused:
		counts.Refused++
	case Failed:
		counts.Failed++
	}
	hash := HashID(id)
	current.ids = append(current.ids, byte(hash>>40), byte(hash>>32), byte(hash>>24), byte(hash>>16), byte(hash>>8), byte(hash))
	if current.requests == 0 {
		current.firstLen, current.from = copy(current.first[:], id), index
	}
	current.lastLen = copy(current.last[:], id)
	current.requests++
	return current.requests >= MaxIDs || len(chain.buckets) > maxBuckets
}

// Flush turns the requests counted into records, one for each version.
func (chain *Chain) Flush(now Timestamp) (list []*Record) {
	for i := len(chain.buckets) - 1; i >= 0; i-- {
		current := chain.buckets[i]
		if current.requests == 0 {
			if i > 0 { // an older version without requests since
				chain.buckets = slices.Delete(chain.buckets, i, i+1)
			}
			continue
		}
		record := Record{Kind: KindRequests, Version: current.version, Index: current.from, To: now.Index, First: string(current.first[:current.firstLen]), Last: string(current.last[:current.lastLen]),
			IDs: slices.Clone(current.ids), IDSum: digestOf(current.ids)}
		for i, x := range current.counts {
			if x.Served+x.Refused+x.Failed > 0 {
				x.Class = "class " + fmt.Sprint(i)
				if i < len(chain.classes) {
					x.Class = chain.classes[i]
				}
				record.Counts = append(record.Counts, x)
			}
			current.counts[i] = Count{}
		}
		current.ids, current.requests = current.ids[:0], 0
		list = append(list, chain.Append(record, now))
	}
	return list
}

// MayContain reports whether a record may contain a request, by the hash of its id; known is
// false if its ids were dropped.
func (record *Record) MayContain(hash uint64) (has, known bool) {
	if record.Kind != KindRequests || len(record.IDs) == 0 {
		return false, record.Kind != KindRequests && record.Kind != KindRollup
	}
	want := [idSize]byte{byte(hash >> 40), byte(hash >> 32), byte(hash >> 24), byte(hash >> 16), byte(hash >> 8), byte(hash)}
	for i := 0; i+idSize <= len(record.IDs); i += idSize {
		if [idSize]byte(record.IDs[i:i+idSize]) == want {
			return true, true
		}
	}
	return false, true
}

// Compact makes a chain's records smaller: the ids of the older half are dropped, and the older
// half of those records becomes counts, up to maxRollup records to one where they are of one
// version. Anchors and other events among them are lost except for their number.
func Compact(records []Record) []Record {
	half := len(records) / 2
	var out []Record
	for i := range records[:half] {
		record := records[i]
		record.IDs = nil
		if i < half/2 && len(out) > 0 {
			if rollup := &out[len(out)-1]; rollup.Kind == KindRollup && rollup.Version == record.Version && record.Seq-rollup.From < maxRollup {
				rollup.merge(&record)
				continue
			}
		}
		if i < half/2 && record.Kind != KindRollup {
			record = Record{Seq: record.Seq, From: record.Seq, Prev: record.Prev, Kind: KindRollup, At: record.At, Fleet: record.Fleet, Index: record.Index, To: record.To, Version: record.Version,
				Counts: record.Counts, First: record.First, Last: record.Last, End: record.Digest()}
		}
		out = append(out, record)
	}
	return append(out, records[half:]...)
}

// merge adds the next record to a rollup.
func (record *Record) merge(next *Record) {
	record.Seq, record.To, record.End, record.Last = next.Seq, next.To, next.Digest(), cmp.Or(next.Last, record.Last)
	record.First = cmp.Or(record.First, next.First)
	record.Counts = AddCounts(record.Counts, next.Counts)
}

// AddCounts returns the sum of two lists of counts, class by class.
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
