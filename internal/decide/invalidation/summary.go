package invalidation

import (
	"cmp"
	"maps"
	"slices"

	"cherryramp/internal/decide/topology"
)

// Late is a front that holds a purge up, and why.
type Late struct {
	Front string `cbor:"1,keyasint" json:"front"`
	Why   string `cbor:"2,keyasint" json:"why"`
	Done  Marks  `cbor:"3,keyasint,omitempty" json:"-"`
}

// Summary is a role's acknowledgement: what all fronts of it keep and obey.
type Summary struct {
	Index uint64 `cbor:"1,keyasint"` // of the log: the fronts that it speaks of are those up to there
	Done  Marks  `cbor:"2,keyasint,omitempty"`
	Late  []Late `cbor:"3,keyasint,omitempty"` // who lags, at most a few of them
	Lag   int    `cbor:"4,keyasint,omitempty"` // how many do
	Count int    `cbor:"5,keyasint"`           // fronts it speaks of
}

// said is what a role said last.
type said struct {
	s    Summary
	seq  uint64
	at   Micros
	role topology.Role
}

// Rule is a rule that a mutation leaves out, for the checkers' own test.
type Rule string

// NoAck has a purge be complete by those heard alone: whoever is late is left out, also
// where its last word, from before the purge, is known.
const NoAck Rule = "ack"

// Gather is a keeper's view of who keeps and obeys what.
type Gather struct {
	site    string
	said    map[string]*said
	without Rule
}

// NewGather makes one for a site.
func NewGather(site string) *Gather { return &Gather{site: site, said: map[string]*said{}} }

// Without leaves a rule out.
func (g *Gather) Without(r Rule) { g.without = r }

// name tells roles apart by whom they speak for: what a newer one says takes the place
// of what an older one did.
func name(r topology.Role) string {
	if r.Front != "" {
		return "front " + r.Front
	}
	return "site " + r.Site
}

// Heard takes a role's acknowledgement in, by number; a late one changes nothing.
func (g *Gather) Heard(r topology.Role, seq uint64, s Summary, now Micros) {
	k := name(r)
	old := g.said[k]
	if old != nil && (r.Front == "" && r.Keeper < old.role.Keeper || r == old.role && seq <= old.seq) {
		return
	}
	g.said[k] = &said{s: s, seq: seq, at: now, role: r}
}

// Sum adds up what is known for all of the site's fronts, as the log has them: known is
// the index at which they were last changed there.
func (g *Gather) Sum(v *topology.View, changed uint64, origins Marks, stale, now Micros) Summary {
	out := Summary{Index: v.Index, Done: slices.Clone(origins)}
	for i := range out.Done {
		out.Done[i].N = 1<<64 - 1
	}
	least := func(done Marks) {
		for i := range out.Done {
			out.Done[i].N = min(out.Done[i].N, done.Of(out.Done[i].Origin))
		}
	}
	late := func(l Late) {
		out.Lag++
		if len(out.Late) < mostLate {
			out.Late = append(out.Late, l)
		}
		least(l.Done)
	}
	inside := map[string]bool{} // sites that speak for their fronts
	for _, k := range slices.Sorted(maps.Keys(g.said)) {
		x := g.said[k]
		site := x.role.Site
		if x.role.Front != "" || site == g.site || !topology.Within(site, g.site) || x.s.Index < changed {
			continue
		}
		if now-x.at > stale {
			continue // its fronts speak for themselves, or are late
		}
		if within(site, inside) {
			continue
		}
		inside[site] = true
		least(x.s.Done)
		out.Lag += x.s.Lag
		for _, l := range x.s.Late {
			if len(out.Late) < mostLate {
				out.Late = append(out.Late, l)
			}
		}
	}
	for i := range v.Fronts {
		f := &v.Fronts[i]
		if f.Keep == 0 || f.Over || !topology.Within(f.Site, g.site) {
			continue
		}
		out.Count++
		x := g.said["front "+f.Name]
		speaks := x != nil && x.role.Start == f.Start
		if within(f.Site, inside) && !(speaks && now-x.at <= stale) {
			speaks, x = true, nil
		}
		switch {
		case speaks && x == nil: // by its site
		case g.without == NoAck && (!speaks || now-x.at > stale):
		case x == nil:
			late(Late{Front: f.Name, Why: cmp.Or(map[bool]string{true: "lost, and may serve on"}[f.Lost], "not heard")})
		case x.role.Start != f.Start:
			late(Late{Front: f.Name, Why: "started anew, not heard since"})
		default:
			for _, m := range origins {
				if x.s.Done.Of(m.Origin) < m.N {
					why := "has not kept all"
					if now-x.at > stale {
						why = "not heard for a while"
					}
					late(Late{Front: f.Name, Why: why, Done: x.s.Done})
					break
				}
			}
			least(x.s.Done)
		}
	}
	for i := range out.Done {
		out.Done[i].N = min(out.Done[i].N, origins[i].N)
	}
	return out
}

func within(site string, sites map[string]bool) bool {
	for s := range sites {
		if topology.Within(site, s) {
			return true
		}
	}
	return false
}

// Drop forgets roles of fronts that are no longer in the fleet.
func (g *Gather) Drop(v *topology.View) {
	for k, x := range g.said {
		if x.role.Front != "" && v.Find(x.role.Front) == nil {
			delete(g.said, k)
		}
	}
}

// Closing decides when a root says that purges are complete. It has a majority confirm,
// after the last acknowledgement came, that it still knows all fronts.
type Closing struct {
	waits  Marks
	since  Micros // when the acknowledgements of waits were there
	closed Marks
}

// Step takes in what all fronts keep and obey, as the root has it at a moment, and the
// stamp of the newest confirmation of its lease: a moment of the root's own clock before
// which it was asked for. It gives what is complete.
func (c *Closing) Step(done Marks, confirmed, now Micros) Marks {
	if c.waits != nil && confirmed > c.since {
		// Still so, with all fronts that were in the fleet when a majority confirmed it.
		for _, m := range c.waits {
			n := min(m.N, done.Of(m.Origin))
			if n > c.closed.Of(m.Origin) {
				c.closed = c.closed.with(Mark{m.Origin, n})
			}
		}
		c.waits = nil
	}
	if c.waits == nil && slices.ContainsFunc(done, func(m Mark) bool { return m.N > c.closed.Of(m.Origin) }) {
		c.waits, c.since = done, now
	}
	return c.closed
}

func (m Marks) with(x Mark) Marks {
	i, ok := slices.BinarySearchFunc(m, x.Origin, func(y Mark, o Origin) int { return compare(y.Origin, o) })
	m = slices.Clone(m)
	if ok {
		m[i] = x
		return m
	}
	return slices.Insert(m, i, x)
}
