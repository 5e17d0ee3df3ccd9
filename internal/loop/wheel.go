package loop

import "math/bits"

// The wheel has 64 slots per level, and a slot is as long as the whole level below it.
// A slot of the lowest level is one microsecond, so that deadlines are met exactly and in
// order. Nine levels cover 570 years.
const (
	slotBits = 6
	slots    = 1 << slotBits
	levels   = 9
)

// maxScanned is the number of entries of a slot that are searched for the earliest one.
// For a slot with more entries the start of the slot is used instead, which costs one
// needless wake-up of the loop.
const maxScanned = 16

// coarseBits is the precision of a coarse deadline: a 32nd of its duration.
const coarseBits = 5

// Deadline is a callback to be run at a time unless it is stopped before. It may be
// embedded in another struct and given its callback by Init. Setting, moving and stopping
// it then allocates nothing.
type Deadline struct {
	at         Micros
	do         func()
	prev, next *Deadline
	position   int16 // slot and level, plus one; 0 if it is not set
}

// Init sets the callback. It does not set the deadline.
func (d *Deadline) Init(do func()) { d.do = do }

// Pending reports whether the deadline is set and has not passed.
func (d *Deadline) Pending() bool { return d.position != 0 }

// wheel is a hierarchical timing wheel (Varghese and Lauck, "Hashed and
// hierarchical timing wheels", 1987). The level of an entry is the highest 6-bit digit in
// which its time differs from now. A bitmap per level marks the used slots, so that empty
// ones are never visited.
type wheel struct {
	now   Micros // everything due until then has run
	used  [levels]uint64
	lists [levels][slots]Deadline // heads of circular lists; next is nil until first used
	count int
}

func (w *wheel) set(d *Deadline, at Micros) {
	if d.position != 0 {
		w.stop(d)
	}
	d.at = at
	w.insert(d)
	w.count++
}

// insert links an entry into its slot relative to now. An overdue entry goes into the slot
// that is due now.
func (w *wheel) insert(d *Deadline) {
	at := max(d.at, w.now)
	level := 0
	if diff := uint64(at ^ w.now); diff != 0 {
		level = min((63-bits.LeadingZeros64(diff))/slotBits, levels-1)
	}
	slot := int(at>>(level*slotBits)) & (slots - 1)
	head := &w.lists[level][slot]
	if head.next == nil {
		head.next, head.prev = head, head
	}
	d.prev, d.next = head.prev, head
	d.prev.next, head.prev = d, d
	d.position = int16(level<<slotBits|slot) + 1
	w.used[level] |= 1 << slot
}

func (w *wheel) stop(d *Deadline) {
	w.unlink(d)
	w.count--
}

func (w *wheel) unlink(d *Deadline) {
	level, slot := int(d.position-1)>>slotBits, int(d.position-1)&(slots-1)
	d.prev.next, d.next.prev = d.next, d.prev
	d.prev, d.next, d.position = nil, nil, 0
	if head := &w.lists[level][slot]; head.next == head {
		w.used[level] &^= 1 << slot
	}
}

// firstSlot returns the earliest used slot and the time at which it starts. All slots of a
// level come before those of the levels above.
func (w *wheel) firstSlot() (level, slot int, start Micros, ok bool) {
	for level, used := range w.used {
		if used == 0 {
			continue
		}
		slot := bits.TrailingZeros64(used)
		shift := level * slotBits
		block := w.now >> (shift + slotBits) << (shift + slotBits)
		return level, slot, block | Micros(slot)<<shift, true
	}
	return 0, 0, 0, false
}

// due returns when to call advance again: when the next entry is due, or somewhat earlier.
func (w *wheel) due() (at Micros, ok bool) {
	level, slot, start, ok := w.firstSlot()
	if !ok || level == 0 {
		return start, ok
	}
	head, n := &w.lists[level][slot], 0
	at = head.next.at
	for d := head.next; d != head; d = d.next {
		if n++; n > maxScanned || d.at == start {
			return start, true
		}
		at = min(at, d.at)
	}
	return at, true
}

// minBackwardStep is the shortest step back of the clock, in us, that makes the wheel rebase.
const minBackwardStep = 1000

// rebase moves the wheel back after the clock was set back. Deadlines that are set from now
// on are due by the new time, and existing ones keep their times.
func (w *wheel) rebase(to Micros) {
	var all []*Deadline
	for level := range w.lists {
		for slot := range w.lists[level] {
			for head := &w.lists[level][slot]; head.next != nil && head.next != head; {
				d := head.next
				w.unlink(d)
				all = append(all, d)
			}
		}
	}
	w.now = to
	for _, d := range all {
		w.insert(d)
	}
}

// advance runs everything that is due until a time, in order.
func (w *wheel) advance(to Micros) {
	if to < w.now-minBackwardStep {
		w.rebase(to)
	}
	for {
		level, slot, start, ok := w.firstSlot()
		if !ok || start > to {
			break
		}
		w.now = max(w.now, start)
		head := &w.lists[level][slot]
		for head.next != head {
			d := head.next
			w.unlink(d)
			if level > 0 {
				w.insert(d)
				continue
			}
			w.count--
			d.do()
		}
	}
	w.now = max(w.now, to)
}

// coarse delays a time by at most a 32nd of its distance from now, to a multiple of a power
// of two that many deadlines share, so that a whole slot is due at once.
func coarse(now, at Micros) Micros {
	if at <= now {
		return at
	}
	step := Micros(1) << max(0, bits.Len64(uint64(at-now))-1-coarseBits)
	return (at + step - 1) / step * step
}
