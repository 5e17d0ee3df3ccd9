package topology

import "slices"

// View is the fleet as one front knows it from the log entries that it has applied.
type View struct {
	Index      uint64 // of the last applied log entry
	FleetID    uint64 // 0 if no fleet is known yet
	Fronts     []Front
	Owners     []Owner
	Self       Front // this process; its Site is set even before the log contains it
	Registered bool  // the log contains this process
}

// Find returns the front of a name, or nil if there is none.
func (v *View) Find(frontName string) *Front {
	if i := slices.IndexFunc(v.Fronts, func(f Front) bool { return f.Name == frontName }); i >= 0 {
		return &v.Fronts[i]
	}
	return nil
}

// Owner returns the owner of a site, or nil if none is known.
func (v *View) Owner(site string) *Owner {
	if i := slices.IndexFunc(v.Owners, func(owner Owner) bool { return owner.Site == site }); i >= 0 {
		return &v.Owners[i]
	}
	return nil
}

// OwnedBySelf returns the ownerships held by this process, the longest site path first.
func (v *View) OwnedBySelf() (list []Owner) {
	for _, owner := range v.Owners {
		if owner.Is(v.Self.Name, v.Self.ID, v.Self.Start) {
			list = append(list, owner)
		}
	}
	slices.SortFunc(list, func(a, b Owner) int { return len(b.Site) - len(a.Site) })
	return list
}

// Role identifies who a message is from or for: a front's process, or a site acting
// through its owner. A report replaces the same role's earlier one, by sequence number.
type Role struct {
	Front string `cbor:"1,keyasint,omitempty"` // empty for a site
	Start uint64 `cbor:"2,keyasint,omitempty"` // start number of the front's process
	Site  string `cbor:"3,keyasint,omitempty"` // the site, or the site that the front is in
	Owner uint64 `cbor:"4,keyasint,omitempty"` // number of the site's owner
}

// SelfRole returns the role of this process.
func (v *View) SelfRole() Role {
	return Role{Front: v.Self.Name, Start: v.Self.Start, Site: v.Self.Site}
}

// SiteRole returns the role of a site under the given owner.
func SiteRole(owner Owner) Role { return Role{Site: owner.Site, Owner: owner.Number} }

// OwnersAbove returns the owners that a role may attach to, the nearest first: those of
// the sites that contain a front, or those of the sites strictly above a site.
func (v *View) OwnersAbove(r Role) (list []Owner) {
	sites := PathToRoot(r.Site)
	if r.Front == "" {
		sites = sites[1:]
	}
	for _, site := range sites {
		if owner := v.Owner(site); owner != nil {
			list = append(list, *owner)
		}
	}
	return list
}

// link is the state of a role's contact with one owner above it.
type link struct {
	askedSince  Micros // when it was first asked
	lastAnswer  Micros // last answer; 0 if there was none
	steadySince Micros // start of the current series of answers without a gap
}

// alive reports whether the owner answers, or may still do so within FailoverAfter of the
// first request.
func (l *link) alive(now Micros, c Config) bool {
	return now-max(l.lastAnswer, l.askedSince) <= c.FailoverAfter
}

// Config holds the timeouts of attachments.
type Config struct {
	FailoverAfter Micros // an owner that has not answered for this long is passed over
	FailbackAfter Micros // a nearer owner is used again once it has answered for this long
}

// Attachment is the owner that one role reports to. The zero value has none.
type Attachment struct {
	current Owner
	links   map[uint64]*link // by owner number
}

// Owner returns the owner that the role is attached to; ok is false if there is none.
func (a *Attachment) Owner() (owner Owner, ok bool) { return a.current, a.current.Number != 0 }

// Answered records an answer of an owner to a request, which proves that messages pass in
// both directions.
func (a *Attachment) Answered(number uint64, now Micros, c Config) {
	l := a.links[number]
	if l == nil {
		return
	}
	if l.lastAnswer == 0 || now-l.lastAnswer > c.FailoverAfter {
		l.steadySince = now
	}
	l.lastAnswer = now
}

// Step attaches to the nearest owner that answers and returns the owners to ask now. Only
// owners up to the one attached to are asked, so that the owners of high-level sites do
// not receive requests from all fronts. A nearer owner is used again only after it has
// answered for FailbackAfter, so that an unstable owner does not make the roles below it
// switch back and forth.
func (a *Attachment) Step(candidates []Owner, now Micros, c Config) (toAsk []Owner) {
	if a.links == nil {
		a.links = map[uint64]*link{}
	}
	for n := range a.links {
		if !slices.ContainsFunc(candidates, func(owner Owner) bool { return owner.Number == n }) {
			delete(a.links, n)
		}
	}
	previous := a.current.Number
	keepsPrevious := a.links[previous] != nil && a.links[previous].lastAnswer > 0 && a.links[previous].alive(now, c)
	a.current = Owner{}
	for _, owner := range candidates {
		l := a.links[owner.Number]
		if l == nil {
			l = &link{askedSince: now}
			a.links[owner.Number] = l
		}
		toAsk = append(toAsk, owner)
		if !l.alive(now, c) || keepsPrevious && owner.Number != previous && (l.lastAnswer == 0 || now-l.steadySince < c.FailbackAfter) {
			continue
		}
		a.current = owner
		return toAsk
	}
	if len(candidates) > 0 { // none answers: stay with the nearest
		a.current = candidates[0]
	}
	return toAsk
}
