// Package compactmap holds a bounded table of small records under 128-bit names,
// in one slice and without pointers: the garbage collector never walks it, and
// an entry of a full table costs its name, what it holds, and a quarter more.
//
// It is open addressing with linear probing; a removal shifts back what
// follows, so that there are no tombstones and a full table finds as fast after
// a year as on its first day. The names must be spread evenly, as digests are.
package compactmap

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/bits"
)

// Name is what an entry is kept under.
type Key [16]byte

// Table is a bounded table.
type Table[V any] struct {
	slots      []slot[V]
	maxEntries int
	count      int
	sweepPos   int // where the next sweep goes on
}

// slot is free where its name is zero, which no digest is in practice; who
// brings the zero name all the same finds it kept under another.
type slot[V any] struct {
	key   Key
	value V
}

// firstSlots is the size of a new table. It doubles as it fills, up to what its
// bound needs at the greatest load.
const (
	firstSlots = 64
	loadNum    = 4 // of each loadDen slots so many may be used
	loadDen    = 5
)

// New makes a table of so many entries at most.
func New[V any](maxEntries int) *Table[V] {
	t := &Table[V]{maxEntries: maxEntries}
	t.resize(firstSlots)
	return t
}

func (t *Table[V]) resize(size int) {
	old := t.slots
	t.slots, t.sweepPos = make([]slot[V], size), 0
	for i := range old {
		if old[i].key != (Key{}) {
			t.slots[t.findFree(&old[i].key)] = old[i]
		}
	}
}

// home is where a name would stand if nobody else did: its first bytes as a
// share of the table (Lemire, "Fast random integer generation", 2019), so that
// a table may be of any size.
func (t *Table[V]) home(key *Key) int {
	index, _ := bits.Mul64(binary.LittleEndian.Uint64(key[:8]), uint64(len(t.slots)))
	return int(index)
}

func (t *Table[V]) next(i int) int {
	if i++; i == len(t.slots) {
		return 0
	}
	return i
}

// past is how far a place lies behind another, round the end.
func (t *Table[V]) distance(i, from int) int {
	if i < from {
		i += len(t.slots)
	}
	return i - from
}

func (t *Table[V]) findFree(key *Key) int {
	i := t.home(key)
	for t.slots[i].key != (Key{}) {
		i = t.next(i)
	}
	return i
}

func nonZero(key Key) Key {
	if key == (Key{}) {
		key[15] = 1
	}
	return key
}

// Len counts the entries.
func (t *Table[V]) Len() int { return t.count }

// Full tells whether no entry can be added.
func (t *Table[V]) Full() bool { return t.count >= t.maxEntries }

// Find gives an entry, or nil. The pointer holds until the table is changed.
func (t *Table[V]) Find(key Key) *V {
	if i := t.index(nonZero(key)); i >= 0 {
		return &t.slots[i].value
	}
	return nil
}

func (t *Table[V]) index(key Key) int {
	for i := t.home(&key); t.slots[i].key != (Key{}); i = t.next(i) {
		if t.slots[i].key == key {
			return i
		}
	}
	return -1
}

// Add makes an entry that is not there yet; nil where the table is full.
func (t *Table[V]) Add(key Key, v V) *V {
	if t.Full() {
		return nil
	}
	if (t.count+1)*loadDen > len(t.slots)*loadNum {
		t.resize(min(2*len(t.slots), max(firstSlots, t.maxEntries*loadDen/loadNum+2)))
	}
	key = nonZero(key)
	i := t.findFree(&key)
	t.slots[i] = slot[V]{key: key, value: v}
	t.count++
	return &t.slots[i].value
}

// Remove takes an entry out.
func (t *Table[V]) Remove(key Key) bool {
	i := t.index(nonZero(key))
	if i >= 0 {
		t.removeAt(i)
	}
	return i >= 0
}

func (t *Table[V]) removeAt(i int) {
	t.count--
	for j := i; ; {
		if j = t.next(j); t.slots[j].key == (Key{}) {
			break
		}
		// What would be found no more if it stayed moves into the gap.
		if t.distance(j, t.home(&t.slots[j].key)) >= t.distance(j, i) {
			t.slots[i] = t.slots[j]
			i = j
		}
	}
	t.slots[i] = slot[V]{}
}

// Sweep looks at the next so many slots and takes out the entries that dead
// tells of. Called with each Add, it goes round the table for as little as a
// wheel costs, and needs no room of its own.
func (t *Table[V]) Sweep(slots int, dead func(Key, *V) bool) (removed int) {
	for range min(slots, len(t.slots)) {
		s := &t.slots[t.sweepPos]
		if s.key != (Key{}) && dead(s.key, &s.value) {
			t.removeAt(t.sweepPos) // what moved here is looked at next
			removed++
			continue
		}
		t.sweepPos = t.next(t.sweepPos)
	}
	return removed
}

// Append writes the entries out, for Read. V must be of a fixed size.
func (t *Table[V]) Append(b []byte) ([]byte, error) {
	b = binary.LittleEndian.AppendUint32(b, uint32(t.count))
	for i := range t.slots {
		if s := &t.slots[i]; s.key != (Key{}) {
			b = append(b, s.key[:]...)
			var err error
			if b, err = binary.Append(b, binary.LittleEndian, &s.value); err != nil {
				return nil, fmt.Errorf("compact: %w", err)
			}
		}
	}
	return b, nil
}

// Read takes entries in that Append wrote, and gives what follows them.
func (t *Table[V]) Read(b []byte) ([]byte, error) {
	if len(b) < 4 {
		return nil, errors.New("compact: the count is cut off")
	}
	count := int(binary.LittleEndian.Uint32(b))
	b = b[4:]
	var v V
	size := binary.Size(v)
	if count > t.maxEntries-t.count || count > len(b)/(16+size) {
		return nil, fmt.Errorf("compact: %d entries do not fit in the table or are cut off", count)
	}
	for range count {
		key := Key(b[:16])
		if _, err := binary.Decode(b[16:16+size], binary.LittleEndian, &v); err != nil {
			return nil, fmt.Errorf("compact: %w", err)
		}
		if t.Find(key) != nil {
			return nil, errors.New("compact: an entry stands twice")
		}
		t.Add(key, v)
		b = b[16+size:]
	}
	return b, nil
}
