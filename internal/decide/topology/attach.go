package topology

import "slices"

// View is what one front knows of the fleet, as far as it has applied the log.
type View struct {
	Index      uint64 // of the last entry applied
	FleetID    uint64 // which fleet; 0: none yet
	Fronts     []Front
	Owners     []Owner
	Self       Front // this process; its Site is its own, also before the log has it
	Registered bool  // the log has this very process
}

// Find gives a front by name; nil: there is none.
func (v *View) Find(name string) *Front {
	if i := slices.IndexFunc(v.Fronts, func(f Front) bool { return f.Name == name }); i >= 0 {
		return &v.Fronts[i]
	}
	return nil
}

// Keeper gives the keeper of a site; nil: none is known.
func (v *View) Owner(site string) *Owner {
	if i := slices.IndexFunc(v.Owners, func(k Owner) bool { return k.Site == site }); i >= 0 {
		return &v.Owners[i]
	}
	return nil
}

// Keeps gives the keepers that this process is, the deepest site first.
func (v *View) OwnedBySelf() (list []Owner) {
	for _, k := range v.Owners {
		if k.Is(v.Self.Name, v.Self.ID, v.Self.Start) {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b Owner) int { return len(b.Site) - len(a.Site) })
	return list
}

// Role is whom something is told for: a front's process, or a site by its keeper.
// Whatever is told replaces what the same role told before, by number.
type Role struct {
	Front string `cbor:"1,keyasint,omitempty"` // empty: a site
	Start uint64 `cbor:"2,keyasint,omitempty"` // of the front's process
	Site  string `cbor:"3,keyasint,omitempty"` // of a front: where it stands
	Owner uint64 `cbor:"4,keyasint,omitempty"` // the site's keeper's number
}

// Own is the role of this process.
func (v *View) SelfRole() Role {
	return Role{Front: v.Self.Name, Start: v.Self.Start, Site: v.Self.Site}
}

// Of is the role of a site under a keeper.
func SiteRole(k Owner) Role { return Role{Site: k.Site, Owner: k.Number} }

// Above are the keepers that a role may attach to, the nearest first: those of the
// sites that it stands in; of a site, strictly above it.
func (v *View) OwnersAbove(r Role) (list []Owner) {
	sites := PathToRoot(r.Site)
	if r.Front == "" {
		sites = sites[1:]
	}
	for _, site := range sites {
		if k := v.Owner(site); k != nil {
			list = append(list, *k)
		}
	}
	return list
}

// link is what a role knows of one keeper above it.
type link struct {
	began Micros // since when it is asked
	heard Micros // when it answered last; 0: never
	good  Micros // since when it has answered without a gap
}

// alive tells whether it answers, or has not had its span to do so yet.
func (l *link) alive(now Micros, c Config) bool { return now-max(l.heard, l.began) <= c.FailoverAfter }

// Config holds the spans of attaching.
type Config struct {
	FailoverAfter Micros // a keeper that does not answer for so long is passed over
	FailbackAfter Micros // one that was passed over is gone back to once it has answered for so long
}

// Attachment is where one role attaches. The zero value attaches nowhere.
type Attachment struct {
	to    Owner
	known map[uint64]*link // by keepers' numbers
}

// To is the keeper that it is attached to; ok is false where there is none.
func (a *Attachment) Owner() (k Owner, ok bool) { return a.to, a.to.Number != 0 }

// Heard notes that a keeper has answered what it was asked; that proves both ways.
func (a *Attachment) Answered(number uint64, now Micros, c Config) {
	l := a.known[number]
	if l == nil {
		return
	}
	if l.heard == 0 || now-l.heard > c.FailoverAfter {
		l.good = now
	}
	l.heard = now
}

// Step gives the keepers to be asked now, and attaches to the nearest that answers.
// Only the nearest ones up to the one attached to are asked, so that a keeper high up
// does not hear of all fronts. A nearer one is gone back to once it has answered for a
// while, so that one that comes and goes does not have those below it do so too.
func (a *Attachment) Step(above []Owner, now Micros, c Config) (ask []Owner) {
	if a.known == nil {
		a.known = map[uint64]*link{}
	}
	for n := range a.known {
		if !slices.ContainsFunc(above, func(k Owner) bool { return k.Number == n }) {
			delete(a.known, n)
		}
	}
	was := a.to.Number
	stays := a.known[was] != nil && a.known[was].heard > 0 && a.known[was].alive(now, c)
	a.to = Owner{}
	for _, k := range above {
		l := a.known[k.Number]
		if l == nil {
			l = &link{began: now}
			a.known[k.Number] = l
		}
		ask = append(ask, k)
		if !l.alive(now, c) || stays && k.Number != was && (l.heard == 0 || now-l.good < c.FailbackAfter) {
			continue
		}
		a.to = k
		return ask
	}
	if len(above) > 0 { // nobody answers: the nearest is asked on
		a.to = above[0]
	}
	return ask
}
