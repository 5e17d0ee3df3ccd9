// Package topology decides how the fronts of a fleet stand to each other where they tell
// each other things without agreeing first: sites are paths (west/hub-a/branch-3), a
// keeper speaks for each, and whoever tells something attaches to the keeper of its
// site or, where that one can't be reached, of a site above.
//
// Who keeps a site is replicated state (State): named by number when the one before is
// lost, so that no two keepers of a site ever have the same number. Who attaches where is
// each front's own (Attachment). Attachments go to sites strictly above alone, so they
// never make a loop, whatever each front knows.
package topology

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Micros is a span, or a moment of one clock, in microseconds.
type Micros = int64

// Bounds.
const (
	MaxDepth = 6  // sites one within the other, below the root
	Root     = "" // the site that holds all
)

// Check tells what is wrong with a site's path: names parted by slashes, none empty.
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

// Parent is the site that a site stands in; ok is false for the root.
func Parent(path string) (parent string, ok bool) {
	if path == Root {
		return "", false
	}
	i := strings.LastIndexByte(path, '/')
	return path[:max(i, 0)], true
}

// Up is a site and those that it stands in, itself first, the root last.
func PathToRoot(path string) (list []string) {
	for ok := true; ok; path, ok = Parent(path) {
		list = append(list, path)
	}
	return list
}

// Within tells whether a site is another one or stands in it.
func Within(path, in string) bool {
	return in == Root || path == in || strings.HasPrefix(path, in) && path[len(in)] == '/'
}

// Front is a front as the log has it.
type Front struct {
	Name       string
	Site       string // path
	ID, Start  uint64 // incarnation and process
	Lost       bool
	Leaving    bool
	Expired    bool   // lost, and surely serves no more: its lease to act is over
	OwnerLease Micros // the span of its lease as a keeper; 0: it takes no part in what is exchanged
	Address    string // where the others reach it
}

// Keeper speaks for a site.
type Owner struct {
	Site       string `cbor:"1,keyasint"`
	Name       string `cbor:"2,keyasint"`
	ID         uint64 `cbor:"3,keyasint"`
	Start      uint64 `cbor:"4,keyasint"`
	Number     uint64 `cbor:"5,keyasint"`           // its fencing token: higher than that of any named before
	PriorLease Micros `cbor:"6,keyasint,omitempty"` // the span of the lease that one before it may still have
	Since      Micros `cbor:"7,keyasint"`           // fleet time at which it was named
}

// Is tells whether a process of a front is the keeper.
func (k *Owner) Is(name string, id, start uint64) bool {
	return k.Name == name && k.ID == id && k.Start == start
}

// State is who keeps which site, ordered by site; a part of what all replicas hold.
type State struct {
	Owners     []Owner `cbor:"1,keyasint,omitempty"`
	LastNumber uint64  `cbor:"2,keyasint,omitempty"` // the highest number given
}

// Keeper gives the keeper of a site; nil: it has none.
func (s *State) Owner(site string) *Owner {
	i, ok := slices.BinarySearchFunc(s.Owners, site, func(k Owner, site string) int { return cmp.Compare(k.Site, site) })
	if !ok {
		return nil
	}
	return &s.Owners[i]
}

// Step names keepers for sites that have none, or whose keeper is lost, leaves or has
// started anew. A keeper that is heard stays. Told is what has changed, a line each.
func (s *State) Step(fronts []Front, now Micros) (told []string) {
	able := map[string][]*Front{}
	for i := range fronts {
		if f := &fronts[i]; f.OwnerLease > 0 && !f.Lost && !f.Leaving {
			for _, site := range PathToRoot(f.Site) {
				able[site] = append(able[site], f)
			}
		}
	}
	at := func(k Owner) int {
		return slices.IndexFunc(fronts, func(f Front) bool { return f.Name == k.Name })
	}
	s.Owners = slices.DeleteFunc(s.Owners, func(k Owner) bool { // of sites that no front is in any more
		return !slices.ContainsFunc(fronts, func(f Front) bool { return f.OwnerLease > 0 && Within(f.Site, k.Site) })
	})
	sites := make([]string, 0, len(able))
	for site := range able {
		sites = append(sites, site)
	}
	slices.Sort(sites)
	for _, site := range sites {
		old := s.Owner(site)
		wait := Micros(0)
		if old != nil {
			wait = old.PriorLease
			if i := at(*old); i >= 0 {
				f := &fronts[i]
				if old.Is(f.Name, f.ID, f.Start) && !f.Lost && !f.Leaving && f.OwnerLease > 0 && Within(f.Site, site) {
					continue
				}
				wait = max(wait, f.OwnerLease)
			}
		} else if s.LastNumber > 0 {
			for i := range fronts { // one may have been named and forgotten
				wait = max(wait, fronts[i].OwnerLease)
			}
		}
		best := slices.MinFunc(able[site], func(a, b *Front) int {
			return cmp.Or(cmp.Compare(rank(site, a.Name), rank(site, b.Name)), cmp.Compare(a.Name, b.Name))
		})
		s.LastNumber++
		k := Owner{Site: site, Name: best.Name, ID: best.ID, Start: best.Start, Number: s.LastNumber, PriorLease: wait, Since: now}
		if old != nil {
			*old = k
		} else {
			s.Owners = append(s.Owners, k)
			slices.SortFunc(s.Owners, func(a, b Owner) int { return cmp.Compare(a.Site, b.Site) })
		}
		told = append(told, fmt.Sprintf("site %q: %s keeps it, number %d", site, k.Name, k.Number))
	}
	return told
}

// rank spreads the keeping of sites over their fronts.
func rank(site, front string) uint64 { return xxhash.Sum64String(site + "\x00" + front) }
