package topology

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// mostSaid bounds the roles whose word is held.
const mostSaid = 2048

// Said holds what roles say of themselves: what one says takes the place of what it said
// before, by number, so that nothing counts twice, however often or late it comes. The
// zero value is empty.
type Reports[T any] struct{ by map[Role]word[T] }

type word[T any] struct {
	seq  uint64
	at   Micros
	what T
}

// Put takes a role's word in, unless a newer one is there.
func (s *Reports[T]) Put(r Role, seq uint64, what T, now Micros) {
	old, known := s.by[r]
	if known && seq <= old.seq || !known && len(s.by) >= mostSaid {
		return
	}
	if s.by == nil {
		s.by = map[Role]word[T]{}
	}
	s.by[r] = word[T]{seq, now, what}
}

// All gives what was said within a span, in the roles' order; older words are forgotten.
func (s *Reports[T]) All(now, within Micros) iter.Seq2[Role, T] {
	maps.DeleteFunc(s.by, func(_ Role, w word[T]) bool { return now-w.at > within })
	order := slices.SortedFunc(maps.Keys(s.by), func(a, b Role) int {
		return cmp.Or(cmp.Compare(a.Front, b.Front), cmp.Compare(a.Site, b.Site), cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Start, b.Start))
	})
	return func(yield func(Role, T) bool) {
		for _, r := range order {
			if !yield(r, s.by[r].what) {
				return
			}
		}
	}
}
