// Package compact holds a bounded table of small records under 128-bit names,
// in one slice and without pointers: the garbage collector never walks it, and
// an entry costs what it holds and an eighth more.
//
// It is open addressing with linear probing; a removal shifts back what
// follows, so that there are no tombstones and a full table finds as fast after
// a year as on its first day. The names must be spread evenly, as digests are.
package compact

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Name is what an entry is kept under.
type Name [16]byte

// Table is a bounded table.
type Table[V any] struct {
	slots []slot[V]
	mask  uint64
	most  int
	count int
	hand  uint64 // where the next sweep goes on
}

type slot[V any] struct {
	name Name
	used bool
	v    V
}

// firstSlots is the size of a new table; it doubles as it fills.
const firstSlots = 64

// New makes a table of so many entries at most.
func New[V any](most int) *Table[V] {
	t := &Table[V]{most: most}
	t.size(firstSlots)
	return t
}

func (t *Table[V]) size(n int) {
	old := t.slots
	t.slots, t.mask, t.hand = make([]slot[V], n), uint64(n-1), 0
	for i := range old {
		if old[i].used {
			t.slots[t.free(&old[i].name)] = old[i]
		}
	}
}

func home(n *Name) uint64 { return binary.LittleEndian.Uint64(n[:8]) }

func (t *Table[V]) free(n *Name) uint64 {
	i := home(n) & t.mask
	for t.slots[i].used {
		i = (i + 1) & t.mask
	}
	return i
}

// Len counts the entries.
func (t *Table[V]) Len() int { return t.count }

// Full tells whether no entry can be added.
func (t *Table[V]) Full() bool { return t.count >= t.most }

// Find gives an entry, or nil. The pointer holds until the table is changed.
func (t *Table[V]) Find(n Name) *V {
	for i := home(&n) & t.mask; t.slots[i].used; i = (i + 1) & t.mask {
		if t.slots[i].name == n {
			return &t.slots[i].v
		}
	}
	return nil
}

// Add makes an entry that is not there yet; nil where the table is full.
func (t *Table[V]) Add(n Name, v V) *V {
	if t.Full() {
		return nil
	}
	if (t.count+1)*8 > len(t.slots)*7 {
		t.size(2 * len(t.slots))
	}
	i := t.free(&n)
	t.slots[i] = slot[V]{name: n, used: true, v: v}
	t.count++
	return &t.slots[i].v
}

// Remove takes an entry out.
func (t *Table[V]) Remove(n Name) bool {
	i := home(&n) & t.mask
	for ; ; i = (i + 1) & t.mask {
		if !t.slots[i].used {
			return false
		}
		if t.slots[i].name == n {
			t.removeAt(i)
			return true
		}
	}
}

func (t *Table[V]) removeAt(i uint64) {
	t.count--
	for j := i; ; {
		j = (j + 1) & t.mask
		if !t.slots[j].used {
			break
		}
		// What would be found no more if it stayed moves into the gap.
		if at := home(&t.slots[j].name) & t.mask; (j-at)&t.mask >= (j-i)&t.mask {
			t.slots[i] = t.slots[j]
			i = j
		}
	}
	t.slots[i] = slot[V]{}
}

// Sweep looks at the next so many slots and takes out the entries that dead
// tells of. Called with each Add, it goes round the table for as little as a
// wheel costs, and needs no room of its own.
func (t *Table[V]) Sweep(slots int, dead func(Name, *V) bool) (removed int) {
	for range min(slots, len(t.slots)) {
		s := &t.slots[t.hand]
		if s.used && dead(s.name, &s.v) {
			t.removeAt(t.hand) // what moved here is looked at next
			removed++
			continue
		}
		t.hand = (t.hand + 1) & t.mask
	}
	return removed
}

// Bytes is what the table takes in memory.
func (t *Table[V]) Bytes() int { return len(t.slots) * binary.Size(slotSize[V]{}) }

type slotSize[V any] struct {
	Name Name
	Used [8]byte // with what aligns it
	V    V
}

// Append writes the entries out, for Read. V must be of a fixed size.
func (t *Table[V]) Append(b []byte) ([]byte, error) {
	b = binary.LittleEndian.AppendUint32(b, uint32(t.count))
	for i := range t.slots {
		if s := &t.slots[i]; s.used {
			b = append(b, s.name[:]...)
			var err error
			if b, err = binary.Append(b, binary.LittleEndian, &s.v); err != nil {
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
	n := int(binary.LittleEndian.Uint32(b))
	b = b[4:]
	var v V
	size := binary.Size(v)
	if n > t.most-t.count || n > len(b)/(16+size) {
		return nil, fmt.Errorf("compact: %d entries do not fit in the table or are cut off", n)
	}
	for range n {
		name := Name(b[:16])
		if _, err := binary.Decode(b[16:16+size], binary.LittleEndian, &v); err != nil {
			return nil, fmt.Errorf("compact: %w", err)
		}
		if t.Find(name) != nil {
			return nil, errors.New("compact: an entry stands twice")
		}
		t.Add(name, v)
		b = b[16+size:]
	}
	return b, nil
}
