package invalidation

import (
	"cmp"
	"maps"
	"slices"

	"cherryramp/internal/decide/topology"
)

// Laggard is a front that delays the completion of purges, with the reason.
type Laggard struct {
	Front  string     `cbor:"1,keyasint" json:"front"`
	Reason string     `cbor:"2,keyasint" json:"why"`
	Stored Watermarks `cbor:"3,keyasint,omitempty" json:"-"`
}

// Summary is a role's acknowledgement: what all of its fronts have stored and applied.
type Summary struct {
	Index        uint64     `cbor:"1,keyasint"` // log index up to which the set of fronts is known
	Stored       Watermarks `cbor:"2,keyasint,omitempty"`
	Laggards     []Laggard  `cbor:"3,keyasint,omitempty"` // some of the laggards, at most maxLaggards
	LaggardCount int        `cbor:"4,keyasint,omitempty"` // number of all laggards
	FrontCount   int        `cbor:"5,keyasint"`           // number of fronts covered
}

// ack is the last acknowledgement of a role.
type ack struct {
	summary    Summary
	seq        uint64
	receivedAt Micros
	role       topology.Role
}

// Mutation names a rule that is disabled to test that the checkers detect its absence.
type Mutation string

// DisableAcks makes a purge complete without the fronts that are late, even if an earlier
// acknowledgement of theirs, from before the purge, is known.
const DisableAcks Mutation = "ack"

// AckCollector collects a site's acknowledgements at its owner.
type AckCollector struct {
	site     string
	acks     map[string]*ack
	mutation Mutation
}

// NewAckCollector returns an AckCollector for a site.
func NewAckCollector(site string) *AckCollector {
	return &AckCollector{site: site, acks: map[string]*ack{}}
}

// Disable disables a rule.
func (collector *AckCollector) Disable(r Mutation) { collector.mutation = r }

// roleKey identifies what a role acts for, regardless of its process or owner number, so
// that a newer role replaces an older one.
func roleKey(r topology.Role) string {
	if r.Front != "" {
		return "front " + r.Front
	}
	return "site " + r.Site
}

// Record stores a role's acknowledgement. Those of earlier owners and those with an old
// sequence number are ignored.
func (collector *AckCollector) Record(r topology.Role, seq uint64, s Summary, now Micros) {
	k := roleKey(r)
	old := collector.acks[k]
	if old != nil && (r.Front == "" && r.Owner < old.role.Owner || r == old.role && seq <= old.seq) {
		return
	}
	collector.acks[k] = &ack{summary: s, seq: seq, receivedAt: now, role: r}
}

// Summarize combines the acknowledgements of all of the site's fronts in the log, for the
// purges up to current. Changed is the log index at which the set of fronts last changed:
// summaries of sites that do not cover it are not used, nor are summaries older than stale.
func (collector *AckCollector) Summarize(view *topology.View, changed uint64, current Watermarks, stale, now Micros) Summary {
	summary := Summary{Index: view.Index, Stored: slices.Clone(current)}
	for i := range summary.Stored {
		summary.Stored[i].Number = 1<<64 - 1
	}
	lower := func(stored Watermarks) {
		for i := range summary.Stored {
			summary.Stored[i].Number = min(summary.Stored[i].Number, stored.Of(summary.Stored[i].Origin))
		}
	}
	addLaggard := func(l Laggard) {
		summary.LaggardCount++
		if len(summary.Laggards) < maxLaggards {
			summary.Laggards = append(summary.Laggards, l)
		}
		lower(l.Stored)
	}
	coveredSites := map[string]bool{} // sites whose summaries cover their fronts
	for _, k := range slices.Sorted(maps.Keys(collector.acks)) {
		ack := collector.acks[k]
		site := ack.role.Site
		if ack.role.Front != "" || site == collector.site || !topology.Within(site, collector.site) || ack.summary.Index < changed {
			continue
		}
		if now-ack.receivedAt > stale {
			continue // its fronts count by their own acknowledgements, or as laggards
		}
		if withinAny(site, coveredSites) {
			continue
		}
		coveredSites[site] = true
		lower(ack.summary.Stored)
		summary.LaggardCount += ack.summary.LaggardCount
		for _, l := range ack.summary.Laggards {
			if len(summary.Laggards) < maxLaggards {
				summary.Laggards = append(summary.Laggards, l)
			}
		}
	}
	for i := range view.Fronts {
		front := &view.Fronts[i]
		if front.OwnerLease == 0 || front.Expired || !topology.Within(front.Site, collector.site) {
			continue
		}
		summary.FrontCount++
		ack := collector.acks["front "+front.Name]
		acknowledged := ack != nil && ack.role.Start == front.Start
		if withinAny(front.Site, coveredSites) && !(acknowledged && now-ack.receivedAt <= stale) {
			acknowledged, ack = true, nil
		}
		switch {
		case acknowledged && ack == nil: // covered by its site's summary
		case collector.mutation == DisableAcks && (!acknowledged || now-ack.receivedAt > stale):
		case ack == nil:
			addLaggard(Laggard{Front: front.Name, Reason: cmp.Or(map[bool]string{true: "lost, and may serve on"}[front.Lost], "not heard")})
		case ack.role.Start != front.Start:
			addLaggard(Laggard{Front: front.Name, Reason: "started anew, not heard since"})
		default:
			for _, m := range current {
				if ack.summary.Stored.Of(m.Origin) < m.Number {
					reason := "has not kept all"
					if now-ack.receivedAt > stale {
						reason = "not heard for a while"
					}
					addLaggard(Laggard{Front: front.Name, Reason: reason, Stored: ack.summary.Stored})
					break
				}
			}
			lower(ack.summary.Stored)
		}
	}
	for i := range summary.Stored {
		summary.Stored[i].Number = min(summary.Stored[i].Number, current[i].Number)
	}
	return summary
}

func withinAny(site string, sites map[string]bool) bool {
	for s := range sites {
		if topology.Within(site, s) {
			return true
		}
	}
	return false
}

// Prune removes the acknowledgements of fronts that are no longer in the fleet.
func (collector *AckCollector) Prune(v *topology.View) {
	for k, x := range collector.acks {
		if x.role.Front != "" && v.Find(x.role.Front) == nil {
			delete(collector.acks, k)
		}
	}
}

// CompletionTracker decides at the root's owner when purges are complete: once all fronts
// have acknowledged them and a majority has then confirmed the owner's lease, which proves
// that the owner still knows all fronts.
type CompletionTracker struct {
	pending      Watermarks
	pendingSince Micros // when the acknowledgements of pending were complete
	completed    Watermarks
}

// Step takes what all fronts have stored and applied, as known to the root at the time now,
// and confirmed, the time on the root's clock at which the newest confirmation of its lease
// was requested. It returns up to where purges are complete.
func (tracker *CompletionTracker) Step(acknowledged Watermarks, confirmed, now Micros) Watermarks {
	if tracker.pending != nil && confirmed > tracker.pendingSince {
		// It still holds for all fronts in the fleet when a majority confirmed the lease.
		for _, m := range tracker.pending {
			n := min(m.Number, acknowledged.Of(m.Origin))
			if n > tracker.completed.Of(m.Origin) {
				tracker.completed = tracker.completed.withWatermark(Watermark{m.Origin, n})
			}
		}
		tracker.pending = nil
	}
	if tracker.pending == nil && slices.ContainsFunc(acknowledged, func(m Watermark) bool { return m.Number > tracker.completed.Of(m.Origin) }) {
		tracker.pending, tracker.pendingSince = acknowledged, now
	}
	return tracker.completed
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
