// Package topology decides along which tree the fronts of a fleet exchange data that
// needs no consensus. Sites are paths (west/hub-a/branch-3), each site has an owner that
// acts for it, and a front reports to the owner of its own site or, if that one is
// unreachable, to the owner of an enclosing site.
//
// Ownership is replicated state (State): a new owner with a new number is named when the
// previous one is lost, so no two owners of a site ever share a number. Attachment is
// local to each front. A site's owner attaches only to owners of sites strictly above,
// so attachments never form a loop, even if fronts have different views.
package topology

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Micros is a duration, or a time on one clock, in microseconds.
type Micros = int64

// Bounds.
const (
	MaxDepth = 6  // nested sites below the root
	Root     = "" // path of the site that contains all others
)

// CheckPath returns an error unless path consists of 1 to MaxDepth non-empty names
// separated by slashes.
func CheckPath(path string) error {
	parts := strings.Split(path, "/")
	if len(parts) > MaxDepth {
		return fmt.Errorf("%q: %d sites one within the other, %d at most", path, len(parts), MaxDepth)
	}
	if slices.Contains(parts, "") {
		return fmt.Errorf("%q: a part of the path is empty", path)
	}
	return nil
}

// Parent returns the site that directly contains path; ok is false for the root.
func Parent(path string) (parent string, ok bool) {
	if path == Root {
		return "", false
	}
	i := strings.LastIndexByte(path, '/')
	return path[:max(i, 0)], true
}

// PathToRoot returns a site and all sites that contain it, the site itself first and the
// root last.
func PathToRoot(path string) (list []string) {
	for ok := true; ok; path, ok = Parent(path) {
		list = append(list, path)
	}
	return list
}

// Within reports whether path is ancestor itself or lies within it.
func Within(path, ancestor string) bool {
	return ancestor == Root || path == ancestor || strings.HasPrefix(path, ancestor) && path[len(ancestor)] == '/'
}

// Front is a front as the replicated log describes it.
type Front struct {
	Name       string
	Site       string // path
	ID, Start  uint64 // incarnation of the front, and start number of its process
	Lost       bool
	Leaving    bool
	Expired    bool   // lost, and its lease to act has certainly expired, so it no longer serves
	OwnerLease Micros // duration of its lease as an owner; 0 if it takes no part in the exchange
	Address    string // where other fronts reach it
}

// Owner is the process of a front that acts for a site.
type Owner struct {
	Site       string `cbor:"1,keyasint"`
	Name       string `cbor:"2,keyasint"`
	ID         uint64 `cbor:"3,keyasint"`
	Start      uint64 `cbor:"4,keyasint"`
	Number     uint64 `cbor:"5,keyasint"`           // fencing token, higher than that of any owner named before
	PriorLease Micros `cbor:"6,keyasint,omitempty"` // duration of the lease that a previous owner may still hold
	Since      Micros `cbor:"7,keyasint"`           // fleet time when it was named
}

// Is reports whether the given process of a front is the owner.
func (owner *Owner) Is(name string, id, start uint64) bool {
	return owner.Name == name && owner.ID == id && owner.Start == start
}

// State holds the owners, ordered by site. It is part of the replicated state.
type State struct {
	Owners     []Owner `cbor:"1,keyasint,omitempty"`
	LastNumber uint64  `cbor:"2,keyasint,omitempty"` // the highest number assigned so far
}

// Owner returns the owner of a site, or nil if it has none.
func (s *State) Owner(site string) *Owner {
	i, ok := slices.BinarySearchFunc(s.Owners, site, func(owner Owner, site string) int { return cmp.Compare(owner.Site, site) })
	if !ok {
		return nil
	}
	return &s.Owners[i]
}

// Step names an owner for each site that has none, or whose owner is lost, leaving or
// restarted. A live owner keeps its site. It returns one line of text for each change.
func (s *State) Step(fronts []Front, now Micros) (events []string) {
	candidates := map[string][]*Front{}
	for i := range fronts {
		if f := &fronts[i]; f.OwnerLease > 0 && !f.Lost && !f.Leaving {
			for _, site := range PathToRoot(f.Site) {
				candidates[site] = append(candidates[site], f)
			}
		}
	}
	frontIndex := func(owner Owner) int {
		return slices.IndexFunc(fronts, func(f Front) bool { return f.Name == owner.Name })
	}
	s.Owners = slices.DeleteFunc(s.Owners, func(owner Owner) bool { // sites without any front left
		return !slices.ContainsFunc(fronts, func(f Front) bool { return f.OwnerLease > 0 && Within(f.Site, owner.Site) })
	})
	sites := make([]string, 0, len(candidates))
	for site := range candidates {
		sites = append(sites, site)
	}
	slices.Sort(sites)
	for _, site := range sites {
		old := s.Owner(site)
		priorLease := Micros(0)
		if old != nil {
			priorLease = old.PriorLease
			if i := frontIndex(*old); i >= 0 {
				f := &fronts[i]
				if old.Is(f.Name, f.ID, f.Start) && !f.Lost && !f.Leaving && f.OwnerLease > 0 && Within(f.Site, site) {
					continue
				}
				priorLease = max(priorLease, f.OwnerLease)
			}
		} else if s.LastNumber > 0 {
			for i := range fronts { // an owner may have been named and since removed
				priorLease = max(priorLease, fronts[i].OwnerLease)
			}
		}
		best := slices.MinFunc(candidates[site], func(a, b *Front) int {
			return cmp.Or(cmp.Compare(rank(site, a.Name), rank(site, b.Name)), cmp.Compare(a.Name, b.Name))
		})
		s.LastNumber++
		owner := Owner{Site: site, Name: best.Name, ID: best.ID, Start: best.Start, Number: s.LastNumber, PriorLease: priorLease, Since: now}
		if old != nil {
			*old = owner
		} else {
			s.Owners = append(s.Owners, owner)
			slices.SortFunc(s.Owners, func(a, b Owner) int { return cmp.Compare(a.Site, b.Site) })
		}
		events = append(events, fmt.Sprintf("site %q: %s keeps it, number %d", site, owner.Name, owner.Number))
	}
	return events
}

// rank orders the fronts of a site by a hash of both names, so that ownership is spread
// over the fronts.
func rank(site, front string) uint64 { return xxhash.Sum64String(site + "\x00" + front) }
