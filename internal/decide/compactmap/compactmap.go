// Package compactmap implements a bounded hash table of small records with 128-bit
// keys, stored in one slice. With a value type without pointers the garbage collector
// does not scan it, and an entry of a full table costs its key, its value and a
// quarter more.
//
// The table uses open addressing with linear probing. Removal shifts the following
// entries back, so that there are no tombstones and lookups do not slow down over
// time. The keys must be distributed uniformly, as digests are.
package compactmap

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/bits"
)

// Key is the key of an entry.
type Key [16]byte

// Table is a bounded hash table. It is not safe for concurrent use.
type Table[V any] struct {
	slots      []slot[V]
	maxEntries int
	count      int
	sweepPos   int // slot at which the next sweep continues
}

// slot is free if its key is zero, which no digest is in practice. An entry with the
// zero key is stored under another one; see nonZero.
type slot[V any] struct {
	key   Key
	value V
}

// A table starts with firstSlots slots and doubles as it fills, up to the size that
// maxEntries needs at the maximum load factor.
const (
	firstSlots = 64
	loadNum    = 4 // maximum load factor: loadNum/loadDen
	loadDen    = 5
)

// New returns an empty table for at most maxEntries entries.
func New[V any](maxEntries int) *Table[V] {
	t := &Table[V]{maxEntries: maxEntries}
	t.resize(firstSlots)
	return t
}

// resize moves the entries to a table of another number of slots.
func (t *Table[V]) resize(size int) {
	old := t.slots
	t.slots, t.sweepPos = make([]slot[V], size), 0
	for i := range old {
		if old[i].key != (Key{}) {
			t.slots[t.findFree(&old[i].key)] = old[i]
		}
	}
}

// home returns the preferred slot of a key: its first bytes scaled to the number of
// slots (Lemire, "Fast random integer generation", 2019), so that a table may be of
// any size.
func (t *Table[V]) home(key *Key) int {
	index, _ := bits.Mul64(binary.LittleEndian.Uint64(key[:8]), uint64(len(t.slots)))
	return int(index)
}

// next returns the slot after i, with wraparound.
func (t *Table[V]) next(i int) int {
	if i++; i == len(t.slots) {
		return 0
	}
	return i
}

// distance returns how many slots i lies after from, with wraparound.
func (t *Table[V]) distance(i, from int) int {
	if i < from {
		i += len(t.slots)
	}
	return i - from
}

// findFree returns the first free slot from a key's home on.
func (t *Table[V]) findFree(key *Key) int {
	i := t.home(key)
	for t.slots[i].key != (Key{}) {
		i = t.next(i)
	}
	return i
}

// nonZero returns the key under which an entry is stored.
func nonZero(key Key) Key {
	if key == (Key{}) {
		key[15] = 1
	}
	return key
}

// Len returns the number of entries.
func (t *Table[V]) Len() int { return t.count }

// Full reports whether no entry can be added.
func (t *Table[V]) Full() bool { return t.count >= t.maxEntries }

// Find returns the value of a key, or nil. The pointer is valid until the table is
// changed.
func (t *Table[V]) Find(key Key) *V {
	if i := t.index(nonZero(key)); i >= 0 {
		return &t.slots[i].value
	}
	return nil
}

// index returns the slot of a stored key, or -1.
func (t *Table[V]) index(key Key) int {
	for i := t.home(&key); t.slots[i].key != (Key{}); i = t.next(i) {
		if t.slots[i].key == key {
			return i
		}
	}
	return -1
}

// Add inserts an entry whose key is not in the table, and returns its value, or nil
// if the table is full. The pointer is valid until the table is changed.
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

// Remove removes an entry and reports whether it was in the table.
func (t *Table[V]) Remove(key Key) bool {
	i := t.index(nonZero(key))
	if i >= 0 {
		t.removeAt(i)
	}
	return i >= 0
}

// removeAt removes the entry of a slot and closes the gap.
func (t *Table[V]) removeAt(i int) {
	t.count--
	for j := i; ; {
		if j = t.next(j); t.slots[j].key == (Key{}) {
			break
		}
		// An entry that the gap would make unreachable moves into it.
		if t.distance(j, t.home(&t.slots[j].key)) >= t.distance(j, i) {
			t.slots[i] = t.slots[j]
			i = j
		}
	}
	t.slots[i] = slot[V]{}
}

// Sweep visits the next slots of the table, and removes the entries for which dead
// returns true. Called with each Add, it cycles through the table at the cost of a
// timer wheel, and needs no memory of its own.
func (t *Table[V]) Sweep(slots int, dead func(Key, *V) bool) (removed int) {
	for range min(slots, len(t.slots)) {
		s := &t.slots[t.sweepPos]
		if s.key != (Key{}) && dead(s.key, &s.value) {
			t.removeAt(t.sweepPos) // the entry that moved here is visited next
			removed++
			continue
		}
		t.sweepPos = t.next(t.sweepPos)
	}
	return removed
}

// Append appends the entries in the encoding that Read takes. V must be of a fixed
// size, as binary.Size defines it.
func (t *Table[V]) Append(b []byte) ([]byte, error) {
	b = binary.LittleEndian.AppendUint32(b, uint32(t.count))
	for i := range t.slots {
		if s := &t.slots[i]; s.key != (Key{}) {
			b = append(b, s.key[:]...)
			var err error
			if b, err = binary.Append(b, binary.LittleEndian, &s.value); err != nil {
				return nil, fmt.Errorf("compactmap: %w", err)
			}
		}
	}
	return b, nil
}

// Read adds the entries that Append wrote, and returns the bytes after them. It
// returns an error if they are truncated, do not fit or are already in the table; some
// may have been added then.
func (t *Table[V]) Read(b []byte) ([]byte, error) {
	if len(b) < 4 {
		return nil, errors.New("compactmap: the entry count is truncated")
	}
	count := int(binary.LittleEndian.Uint32(b))
	b = b[4:]
	var v V
	size := binary.Size(v)
	if count > t.maxEntries-t.count || count > len(b)/(16+size) {
		return nil, fmt.Errorf("compactmap: %d entries do not fit in the table or are truncated", count)
	}
	for range count {
		key := Key(b[:16])
		if _, err := binary.Decode(b[16:16+size], binary.LittleEndian, &v); err != nil {
			return nil, fmt.Errorf("compactmap: %w", err)
		}
		if t.Find(key) != nil {
			return nil, errors.New("compactmap: duplicate key")
		}
		t.Add(key, v)
		b = b[16+size:]
	}
	return b, nil
}
