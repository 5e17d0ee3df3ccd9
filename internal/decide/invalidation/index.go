package invalidation

import (
	"math"
	"slices"
	"strconv"
)

// Index returns, for an object, the time of the latest purge that covers it: by its name,
// its group, a prefix of its name, or of all objects. Times are on the clock that the
// caller dates copies by, in microseconds.
//
// Its size is bounded: when it is full, the older half of the names is replaced by prefixes
// that cover them; if that does not free enough, all copies older than the median purge
// count as purged. Purged copies thus never become valid again.
type Index struct {
	maxScopes     int
	floor         Micros
	objects       map[string]Micros
	prefixes      map[string]Micros
	groups        map[int]Micros
	tags          map[string]Micros
	prefixLengths []int // distinct lengths of prefixes, sorted
	Compactions   int   // how often the index was compacted
}

// NewIndex returns an Index that holds at most maxScopes scopes, and at least 16.
func NewIndex(maxScopes int) *Index {
	return &Index{maxScopes: max(16, maxScopes), objects: map[string]Micros{}, prefixes: map[string]Micros{}, groups: map[int]Micros{}, tags: map[string]Micros{}, floor: math.MinInt64}
}

// Len returns the number of scopes held.
func (index *Index) Len() int {
	return len(index.objects) + len(index.prefixes) + len(index.groups) + len(index.tags)
}

// Add records a purge of a scope at a time.
func (index *Index) Add(s Scope, at Micros) {
	switch s.Kind {
	case All:
		index.RaiseFloor(at)
		return
	case Object:
		index.objects[s.Name] = latest(index.objects, s.Name, at)
	case Prefix:
		index.addPrefix(s.Name, at)
	case Tag:
		index.tags[s.Name] = latest(index.tags, s.Name, at)
	case Group:
		if n, err := strconv.Atoi(s.Name); err == nil {
			index.groups[n] = latest(index.groups, n, at)
		}
	}
	if index.Len() > index.maxScopes {
		index.compact()
	}
}

func latest[K comparable](m map[K]Micros, k K, at Micros) Micros {
	if old, ok := m[k]; ok {
		return max(old, at)
	}
	return at
}

func (index *Index) addPrefix(p string, at Micros) {
	if p == "" {
		index.RaiseFloor(at)
		return
	}
	index.prefixes[p] = latest(index.prefixes, p, at)
	if i, ok := slices.BinarySearch(index.prefixLengths, len(p)); !ok {
		index.prefixLengths = slices.Insert(index.prefixLengths, i, len(p))
	}
}

// RaiseFloor makes all copies up to a time count as purged and removes the entries that
// this covers.
func (index *Index) RaiseFloor(at Micros) {
	if at <= index.floor {
		return
	}
	index.floor = at
	over := func(_ string, a Micros) bool { return a <= at }
	deleteIf(index.objects, over)
	deleteIf(index.prefixes, over)
	deleteIf(index.tags, over)
	deleteIf(index.groups, func(_ int, a Micros) bool { return a <= at })
	index.updatePrefixLengths()
}

func deleteIf[K comparable](m map[K]Micros, expired func(K, Micros) bool) {
	for k, a := range m {
		if expired(k, a) {
			delete(m, k)
		}
	}
}

func (index *Index) updatePrefixLengths() {
	index.prefixLengths = index.prefixLengths[:0]
	for p := range index.prefixes {
		if i, ok := slices.BinarySearch(index.prefixLengths, len(p)); !ok {
			index.prefixLengths = slices.Insert(index.prefixLengths, i, len(p))
		}
	}
}

// ValidAfter returns the time after which a copy of an object must have been made; a copy
// of exactly that time is invalid. If ok is false, all copies are valid.
func (index *Index) ValidAfter(object string, group int) (at Micros, ok bool) {
	at = index.floor
	if a, has := index.objects[object]; has {
		at = max(at, a)
	}
	if len(index.groups) > 0 {
		if a, has := index.groups[group]; has {
			at = max(at, a)
		}
	}
	for _, n := range index.prefixLengths {
		if n > len(object) {
			break
		}
		if a, has := index.prefixes[object[:n]]; has {
			at = max(at, a)
		}
	}
	return at, at != math.MinInt64
}

// TagValidAfter is ValidAfter for copies with a tag. Tags are known only from the responses
// that were stored.
func (index *Index) TagValidAfter(tag string) (at Micros, ok bool) {
	at, ok = index.tags[tag]
	return at, ok
}

// compact frees entries: the older half of the names and long prefixes is replaced by
// shared prefixes.
func (index *Index) compact() {
	index.Compactions++
	var all []Micros
	for _, m := range []map[string]Micros{index.objects, index.prefixes} {
		for _, a := range m {
			all = append(all, a)
		}
	}
	target := index.maxScopes * 3 / 4
	if len(all) > 0 {
		slices.Sort(all)
		half := all[(len(all)-1)/2]
		for n := 6; n >= 1 && index.Len() > target; n-- {
			index.widen(n, half)
		}
	}
	if index.Len() <= target {
		return
	}
	// The remaining names share no prefixes: the floor replaces the older half of all entries.
	all = all[:0]
	for _, m := range []map[string]Micros{index.objects, index.prefixes, index.tags} {
		for _, a := range m {
			all = append(all, a)
		}
	}
	for _, a := range index.groups {
		all = append(all, a)
	}
	slices.Sort(all)
	index.RaiseFloor(all[len(all)/2])
}

// widen replaces names and longer prefixes purged up to a time by prefixes of length n that
// at least four of them share.
func (index *Index) widen(n int, upTo Micros) {
	share := map[string]int{}
	each := func(do func(m map[string]Micros, k string, a Micros)) {
		for _, m := range []map[string]Micros{index.objects, index.prefixes} {
			for k, a := range m {
				if a <= upTo && len(k) > n {
					do(m, k, a)
				}
			}
		}
	}
	each(func(_ map[string]Micros, k string, _ Micros) { share[k[:n]]++ })
	wide := map[string]Micros{}
	each(func(m map[string]Micros, k string, a Micros) {
		if p := k[:n]; share[p] >= 4 {
			wide[p] = latest(wide, p, a)
			delete(m, k)
		}
	})
	for p, a := range wide {
		index.prefixes[p] = latest(index.prefixes, p, a)
	}
	index.updatePrefixLengths()
}
