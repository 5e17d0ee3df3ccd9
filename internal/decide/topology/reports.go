package topology

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// maxReports bounds the number of roles whose reports are held.
const maxReports = 2048

// Reports holds the latest report of each role. A report replaces the role's previous one
// only if its sequence number is higher, so duplicated and late messages never count
// twice. The zero value is empty.
type Reports[T any] struct{ byRole map[Role]report[T] }

type report[T any] struct {
	seq        uint64
	receivedAt Micros
	value      T
}

// Put stores a role's report. It is ignored if it is not newer than the one held, or if
// the role is new and maxReports roles are held.
func (reports *Reports[T]) Put(r Role, seq uint64, value T, now Micros) {
	old, known := reports.byRole[r]
	if known && seq <= old.seq || !known && len(reports.byRole) >= maxReports {
		return
	}
	if reports.byRole == nil {
		reports.byRole = map[Role]report[T]{}
	}
	reports.byRole[r] = report[T]{seq, now, value}
}

// All iterates over the reports received within maxAge, ordered by role, and discards
// older ones.
func (reports *Reports[T]) All(now, maxAge Micros) iter.Seq2[Role, T] {
	maps.DeleteFunc(reports.byRole, func(_ Role, w report[T]) bool { return now-w.receivedAt > maxAge })
	order := slices.SortedFunc(maps.Keys(reports.byRole), func(a, b Role) int {
		return cmp.Or(cmp.Compare(a.Front, b.Front), cmp.Compare(a.Site, b.Site), cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Start, b.Start))
	})
	return func(yield func(Role, T) bool) {
		for _, r := range order {
			if !yield(r, reports.byRole[r].value) {
				return
			}
		}
	}
}
