package loop

import "math/bits"

// The wheel has 64 slots a level, and a level's slot is as long as the whole
// level below it. A slot of the lowest level is one microsecond, so that
// deadlines are met exactly and in order; 9 levels reach 570 years.
const (
	slotBits = 6
	slots    = 1 << slotBits
	levels   = 9
)

// mostLooked is how many entries of a slot are looked at for the first of them.
// In a longer slot the beginning of the slot stands for it, which wakes the loop
// once for nothing.
const mostLooked = 16

// coarseBits is the precision of a coarse deadline: a 32nd of its span.
const coarseBits = 5

// Deadline is something to be done at a moment, unless it is stopped before. It
// may be embedded in what it times; then Init gives it what is to be done, and
// to set, move and stop it allocates nothing.
type Deadline struct {
	at         Micros
	do         func()
	prev, next *Deadline
	place      int16 // slot and level, plus one; 0 when it is not set
}

// Init says what is to be done. The deadline is not set by that.
func (d *Deadline) Init(do func()) { d.do = do }

// Pending tells whether the deadline is set and has not come.
func (d *Deadline) Pending() bool { return d.place != 0 }

// wheel is a hierarchical timing wheel (Varghese and Lauck, "Hashed and
// hierarchical timing wheels", 1987). Which level an entry is on follows from
// the highest digit, of 6 bits, in which its moment differs from now; a bit a
// slot tells which are used, so that no empty slot is ever visited.
type wheel struct {
	now   Micros // all that was due until then has been done
	used  [levels]uint64
	lists [levels][slots]Deadline // heads of rings; next is nil while unused
	count int
}

func (w *wheel) set(d *Deadline, at Micros) {
	if d.place != 0 {
		w.stop(d)
	}
	d.at = at
	w.put(d)
	w.count++
}

// put links an entry where it belongs as seen from now; one that is overdue
// comes with what is due now.
func (w *wheel) put(d *Deadline) {
	at := max(d.at, w.now)
	level := 0
	if differ := uint64(at ^ w.now); differ != 0 {
		level = min((63-bits.LeadingZeros64(differ))/slotBits, levels-1)
	}
	slot := int(at>>(level*slotBits)) & (slots - 1)
	head := &w.lists[level][slot]
	if head.next == nil {
		head.next, head.prev = head, head
	}
	d.prev, d.next = head.prev, head
	d.prev.next, head.prev = d, d
	d.place = int16(level<<slotBits|slot) + 1
	w.used[level] |= 1 << slot
}

func (w *wheel) stop(d *Deadline) {
	w.unlink(d)
	w.count--
}

func (w *wheel) unlink(d *Deadline) {
	level, slot := int(d.place-1)>>slotBits, int(d.place-1)&(slots-1)
	d.prev.next, d.next.prev = d.next, d.prev
	d.prev, d.next, d.place = nil, nil, 0
	if head := &w.lists[level][slot]; head.next == head {
		w.used[level] &^= 1 << slot
	}
}

// first is the first used slot and the moment at which it begins. All slots of a
// level lie before those of the levels above it.
func (w *wheel) first() (level, slot int, begins Micros, ok bool) {
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

// due is when to look again: when the next entry is due, or a little before.
func (w *wheel) due() (at Micros, ok bool) {
	level, slot, begins, ok := w.first()
	if !ok || level == 0 {
		return begins, ok
	}
	head, n := &w.lists[level][slot], 0
	at = head.next.at
	for d := head.next; d != head; d = d.next {
		if n++; n > mostLooked || d.at == begins {
			return begins, true
		}
		at = min(at, d.at)
	}
	return at, true
}

// steppedBack is how far the clock must have gone back to count as set anew.
const steppedBack = 1000

// rebase goes back to a moment with a clock that was set back: what is set from
// now on is due by the new time, and what was set keeps its moment.
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
		w.put(d)
	}
}

// advance does all that is due until a moment, in order.
func (w *wheel) advance(to Micros) {
	if to < w.now-steppedBack {
		w.rebase(to)
	}
	for {
		level, slot, begins, ok := w.first()
		if !ok || begins > to {
			break
		}
		w.now = max(w.now, begins)
		head := &w.lists[level][slot]
		for head.next != head {
			d := head.next
			w.unlink(d)
			if level > 0 {
				w.put(d)
				continue
			}
			w.count--
			d.do()
		}
	}
	w.now = max(w.now, to)
}

// coarse puts a moment off by a 32nd of its span at most, to one that many
// others share, and at which a whole slot falls due at once.
func coarse(now, at Micros) Micros {
	if at <= now {
		return at
	}
	step := Micros(1) << max(0, bits.Len64(uint64(at-now))-1-coarseBits)
	return (at + step - 1) / step * step
}
