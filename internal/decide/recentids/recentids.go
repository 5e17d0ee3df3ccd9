// Package recentids remembers the ids of requests that may have run and must not run twice, so
// that one that comes again is not sent again. Ids are added with the time and forgotten after a
// fixed span. The state is bounded: where it is full, the oldest id is forgotten before its time.
// An entry takes about 60 bytes. The package has no clock and does no I/O.
package recentids

// Micros is a time or a duration in microseconds.
type Micros = int64

// Set is a bounded set of ids with their ages.
type Set struct {
	span    Micros
	maxIDs  int
	order   []entry // ring, the oldest at first
	first   int
	count   int
	members map[uint64]Micros // when an id was last added
}

type entry struct {
	id uint64
	at Micros
}

// minRing is the size of the ring when the first id is added.
const minRing = 64

// New returns a set that remembers at most maxIDs ids, each for span.
func New(maxIDs int, span Micros) *Set {
	return &Set{span: span, maxIDs: max(1, maxIDs), members: map[uint64]Micros{}}
}

// Add remembers an id from now on. Times must not decrease.
func (s *Set) Add(id uint64, now Micros) {
	s.expire(now)
	if s.count == s.maxIDs {
		s.dropOldest()
	}
	if s.count == len(s.order) {
		s.grow()
	}
	s.order[(s.first+s.count)%len(s.order)] = entry{id, now}
	s.count++
	s.members[id] = now
}

// Has reports whether an id was added within the span before now.
func (s *Set) Has(id uint64, now Micros) bool {
	at, ok := s.members[id]
	return ok && now-at < s.span
}

// Len returns the number of ids held.
func (s *Set) Len() int { return len(s.members) }

func (s *Set) expire(now Micros) {
	for s.count > 0 && now-s.order[s.first].at >= s.span {
		s.dropOldest()
	}
}

// dropOldest forgets the oldest entry; an id that was added again since stays.
func (s *Set) dropOldest() {
	oldest := s.order[s.first]
	s.first = (s.first + 1) % len(s.order)
	s.count--
	if s.members[oldest.id] == oldest.at {
		delete(s.members, oldest.id)
	}
}

func (s *Set) grow() {
	ring := make([]entry, min(s.maxIDs, max(minRing, 2*len(s.order))))
	for i := range s.count {
		ring[i] = s.order[(s.first+i)%len(s.order)]
	}
	s.order, s.first = ring, 0
}
