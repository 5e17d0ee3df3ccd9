package invalidation

import (
	"math"
	"slices"
	"strconv"
)

// Index tells from when on copies may be: the latest purge of an object by its name,
// group, the prefixes of its name, or all. Moments are the host's, in microseconds of
// whatever clock copies are dated by.
//
// It is bounded: where it is full, the older half of the names become prefixes that
// cover them, as long as that pays; then all copies older than the oldest go. So memory
// is bounded, and what was purged stays so.
type Index struct {
	maxScopes     int
	floor         Micros
	objects       map[string]Micros
	prefixes      map[string]Micros
	groups        map[int]Micros
	tags          map[string]Micros
	prefixLengths []int // of prefixes, each once
	Compactions   int   // how often names were folded into wider ones
}

// NewIndex makes room for so many scopes.
func NewIndex(maxScopes int) *Index {
	return &Index{maxScopes: max(16, maxScopes), objects: map[string]Micros{}, prefixes: map[string]Micros{}, groups: map[int]Micros{}, tags: map[string]Micros{}, floor: math.MinInt64}
}

// Len counts the scopes held.
func (x *Index) Len() int {
	return len(x.objects) + len(x.prefixes) + len(x.groups) + len(x.tags)
}

// Add takes a purge in, of a moment.
func (x *Index) Add(s Scope, at Micros) {
	switch s.Kind {
	case All:
		x.RaiseFloor(at)
		return
	case Object:
		x.objects[s.Name] = latest(x.objects, s.Name, at)
	case Prefix:
		x.addPrefix(s.Name, at)
	case Tag:
		x.tags[s.Name] = latest(x.tags, s.Name, at)
	case Group:
		if n, err := strconv.Atoi(s.Name); err == nil {
			x.groups[n] = latest(x.groups, n, at)
		}
	}
	if x.Len() > x.maxScopes {
		x.compact()
	}
}

func latest[K comparable](m map[K]Micros, k K, at Micros) Micros {
	if old, ok := m[k]; ok {
		return max(old, at)
	}
	return at
}

func (x *Index) addPrefix(p string, at Micros) {
	if p == "" {
		x.RaiseFloor(at)
		return
	}
	x.prefixes[p] = latest(x.prefixes, p, at)
	if i, ok := slices.BinarySearch(x.prefixLengths, len(p)); !ok {
		x.prefixLengths = slices.Insert(x.prefixLengths, i, len(p))
	}
}

// Floor has all copies from before a moment count as purged, and forgets what says no more.
func (x *Index) RaiseFloor(at Micros) {
	if at <= x.floor {
		return
	}
	x.floor = at
	over := func(_ string, a Micros) bool { return a <= at }
	deleteIf(x.objects, over)
	deleteIf(x.prefixes, over)
	deleteIf(x.tags, over)
	deleteIf(x.groups, func(_ int, a Micros) bool { return a <= at })
	x.updatePrefixLengths()
}

func deleteIf[K comparable](m map[K]Micros, expired func(K, Micros) bool) {
	for k, a := range m {
		if expired(k, a) {
			delete(m, k)
		}
	}
}

func (x *Index) updatePrefixLengths() {
	x.prefixLengths = x.prefixLengths[:0]
	for p := range x.prefixes {
		if i, ok := slices.BinarySearch(x.prefixLengths, len(p)); !ok {
			x.prefixLengths = slices.Insert(x.prefixLengths, i, len(p))
		}
	}
}

// Since is the moment from which on a copy of an object may be; ok is false where any
// will do. A copy of that very moment will not.
func (x *Index) ValidAfter(object string, group int) (at Micros, ok bool) {
	at = x.floor
	if a, has := x.objects[object]; has {
		at = max(at, a)
	}
	if len(x.groups) > 0 {
		if a, has := x.groups[group]; has {
			at = max(at, a)
		}
	}
	for _, n := range x.prefixLengths {
		if n > len(object) {
			break
		}
		if a, has := x.prefixes[object[:n]]; has {
			at = max(at, a)
		}
	}
	return at, at != math.MinInt64
}

// Tagged is the same for copies under a tag, which only their answers tell.
func (x *Index) TagValidAfter(tag string) (at Micros, ok bool) {
	at, ok = x.tags[tag]
	return at, ok
}

// fold makes room: the older half of the names, and of the prefixes that are no better,
// become what they share.
func (x *Index) compact() {
	x.Compactions++
	var all []Micros
	for _, m := range []map[string]Micros{x.objects, x.prefixes} {
		for _, a := range m {
			all = append(all, a)
		}
	}
	target := x.maxScopes * 3 / 4
	if len(all) > 0 {
		slices.Sort(all)
		half := all[(len(all)-1)/2]
		for n := 6; n >= 1 && x.Len() > target; n-- {
			x.widen(n, half)
		}
	}
	if x.Len() <= target {
		return
	}
	// What is left shares nothing: the older half of everything becomes all.
	all = all[:0]
	for _, m := range []map[string]Micros{x.objects, x.prefixes, x.tags} {
		for _, a := range m {
			all = append(all, a)
		}
	}
	for _, a := range x.groups {
		all = append(all, a)
	}
	slices.Sort(all)
	x.RaiseFloor(all[len(all)/2])
}

// shorten has names from up to a moment become prefixes of a length, where several share one.
func (x *Index) widen(n int, upTo Micros) {
	share := map[string]int{}
	each := func(do func(m map[string]Micros, k string, a Micros)) {
		for _, m := range []map[string]Micros{x.objects, x.prefixes} {
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
		x.prefixes[p] = latest(x.prefixes, p, a)
	}
	x.updatePrefixLengths()
}
