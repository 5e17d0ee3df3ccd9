package invalidation

import (
	"cmp"
	"maps"
	"slices"

	"cherryramp/internal/decide/topology"
)

// Late is a front that holds a purge up, and why.
type Laggard struct {
	Front  string     `cbor:"1,keyasint" json:"front"`
	Reason string     `cbor:"2,keyasint" json:"why"`
	Stored Watermarks `cbor:"3,keyasint,omitempty" json:"-"`
}

// Summary is a role's acknowledgement: what all fronts of it keep and obey.
type Summary struct {
	Index        uint64     `cbor:"1,keyasint"` // of the log: the fronts that it speaks of are those up to there
	Stored       Watermarks `cbor:"2,keyasint,omitempty"`
	Laggards     []Laggard  `cbor:"3,keyasint,omitempty"` // who lags, at most a few of them
	LaggardCount int        `cbor:"4,keyasint,omitempty"` // how many do
	FrontCount   int        `cbor:"5,keyasint"`           // fronts it speaks of
}

// said is what a role said last.
type ack struct {
	summary    Summary
	seq        uint64
	receivedAt Micros
	role       topology.Role
}

// Rule is a rule that a mutation leaves out, for the checkers' own test.
type Mutation string

// NoAck has a purge be complete by those heard alone: whoever is late is left out, also
// where its last word, from before the purge, is known.
const DisableAcks Mutation = "ack"

// Gather is a keeper's view of who keeps and obeys what.
type AckCollector struct {
	site     string
	acks     map[string]*ack
	mutation Mutation
}

// NewGather makes one for a site.
func NewAckCollector(site string) *AckCollector {
	return &AckCollector{site: site, acks: map[string]*ack{}}
}

// Without leaves a rule out.
func (g *AckCollector) Disable(r Mutation) { g.mutation = r }

// name tells roles apart by whom they speak for: what a newer one says takes the place
// of what an older one did.
func roleKey(r topology.Role) string {
	if r.Front != "" {
		return "front " + r.Front
	}
	return "site " + r.Site
}

// Heard takes a role's acknowledgement in, by number; a late one changes nothing.
func (g *AckCollector) Record(r topology.Role, seq uint64, s Summary, now Micros) {
	k := roleKey(r)
	old := g.acks[k]
	if old != nil && (r.Front == "" && r.Owner < old.role.Owner || r == old.role && seq <= old.seq) {
		return
	}
	g.acks[k] = &ack{summary: s, seq: seq, receivedAt: now, role: r}
}

// Sum adds up what is known for all of the site's fronts, as the log has them: known is
// the index at which they were last changed there.
func (g *AckCollector) Summarize(v *topology.View, changed uint64, origins Watermarks, stale, now Micros) Summary {
	out := Summary{Index: v.Index, Stored: slices.Clone(origins)}
	for i := range out.Stored {
		out.Stored[i].Number = 1<<64 - 1
	}
	least := func(done Watermarks) {
		for i := range out.Stored {
			out.Stored[i].Number = min(out.Stored[i].Number, done.Of(out.Stored[i].Origin))
		}
	}
	late := func(l Laggard) {
		out.LaggardCount++
		if len(out.Laggards) < maxLaggards {
			out.Laggards = append(out.Laggards, l)
		}
		least(l.Stored)
	}
	inside := map[string]bool{} // sites that speak for their fronts
	for _, k := range slices.Sorted(maps.Keys(g.acks)) {
		x := g.acks[k]
		site := x.role.Site
		if x.role.Front != "" || site == g.site || !topology.Within(site, g.site) || x.summary.Index < changed {
			continue
		}
		if now-x.receivedAt > stale {
			continue // its fronts speak for themselves, or are late
		}
		if withinAny(site, inside) {
			continue
		}
		inside[site] = true
		least(x.summary.Stored)
		out.LaggardCount += x.summary.LaggardCount
		for _, l := range x.summary.Laggards {
			if len(out.Laggards) < maxLaggards {
				out.Laggards = append(out.Laggards, l)
			}
		}
	}
	for i := range v.Fronts {
		f := &v.Fronts[i]
		if f.OwnerLease == 0 || f.Expired || !topology.Within(f.Site, g.site) {
			continue
		}
		out.FrontCount++
		x := g.acks["front "+f.Name]
		speaks := x != nil && x.role.Start == f.Start
		if withinAny(f.Site, inside) && !(speaks && now-x.receivedAt <= stale) {
			speaks, x = true, nil
		}
		switch {
		case speaks && x == nil: // by its site
		case g.mutation == DisableAcks && (!speaks || now-x.receivedAt > stale):
		case x == nil:
			late(Laggard{Front: f.Name, Reason: cmp.Or(map[bool]string{true: "lost, and may serve on"}[f.Lost], "not heard")})
		case x.role.Start != f.Start:
			late(Laggard{Front: f.Name, Reason: "started anew, not heard since"})
		default:
			for _, m := range origins {
				if x.summary.Stored.Of(m.Origin) < m.Number {
					why := "has not kept all"
					if now-x.receivedAt > stale {
						why = "not heard for a while"
					}
					late(Laggard{Front: f.Name, Reason: why, Stored: x.summary.Stored})
					break
				}
			}
			least(x.summary.Stored)
		}
	}
	for i := range out.Stored {
		out.Stored[i].Number = min(out.Stored[i].Number, origins[i].Number)
	}
	return out
}

func withinAny(site string, sites map[string]bool) bool {
	for s := range sites {
		if topology.Within(site, s) {
			return true
		}
	}
	return false
}

// Drop forgets roles of fronts that are no longer in the fleet.
func (g *AckCollector) Prune(v *topology.View) {
	for k, x := range g.acks {
		if x.role.Front != "" && v.Find(x.role.Front) == nil {
			delete(g.acks, k)
		}
	}
}

// Closing decides when a root says that purges are complete. It has a majority confirm,
// after the last acknowledgement came, that it still knows all fronts.
type CompletionTracker struct {
	pending      Watermarks
	pendingSince Micros // when the acknowledgements of waits were there
	completed    Watermarks
}

// Step takes in what all fronts keep and obey, as the root has it at a moment, and the
// stamp of the newest confirmation of its lease: a moment of the root's own clock before
// which it was asked for. It gives what is complete.
func (c *CompletionTracker) Step(done Watermarks, confirmed, now Micros) Watermarks {
	if c.pending != nil && confirmed > c.pendingSince {
		// Still so, with all fronts that were in the fleet when a majority confirmed it.
		for _, m := range c.pending {
			n := min(m.Number, done.Of(m.Origin))
			if n > c.completed.Of(m.Origin) {
				c.completed = c.completed.withWatermark(Watermark{m.Origin, n})
			}
		}
		c.pending = nil
	}
	if c.pending == nil && slices.ContainsFunc(done, func(m Watermark) bool { return m.Number > c.completed.Of(m.Origin) }) {
		c.pending, c.pendingSince = done, now
	}
	return c.completed
}

func (m Watermarks) withWatermark(x Watermark) Watermarks {
	i, ok := slices.BinarySearchFunc(m, x.Origin, func(y Watermark, o Origin) int { return compareOrigins(y.Origin, o) })
	m = slices.Clone(m)
	if ok {
		m[i] = x
		return m
	}
	return slices.Insert(m, i, x)
}
