package gateway

import (
	"maps"

	"cherryramp/rules"
)

// purge is the last purge of an object or a group.
type purge struct {
	stamp Micros // as announced: copies sent by the origin until then are older
	at    Micros // by the loop's clock, not in the future
	seen  Micros // when an older copy may last have been left: at, or when a server gave one
}

// Purge is the purge of an object or, where Object is empty, of a group.
type Purge struct {
	Object string
	Group  int
	At     Micros
}

// purgedUntil returns the time until which copies for a call count as purged by the fleet;
// 0 without a purge.
func (g *Gateway) purgedUntil(c *Call, tag string) Micros {
	if g.policy == nil {
		return 0
	}
	at, _ := g.policy.PurgedUntil(c.Object, c.Group)
	if tag != "" {
		if t, ok := g.policy.TagPurgedUntil(tag); ok {
			at = max(at, t)
		}
	}
	return max(0, at)
}

// Purge records a purge and drops the local copies that it covers.
func (g *Gateway) Purge(p Purge) {
	now := g.loop.Now()
	at := min(p.At, now) // the time is from another clock
	k, e := groupKey(p.Group), rules.Purge{Group: p.Group, Age: now - at}
	if p.Object != "" {
		k = hashKey(p.Object)
		e = rules.Purge{Object: k, Age: e.Age}
	}
	g.notePurge(k, purge{stamp: p.At, at: at, seen: at})
	g.cache.purge(p)
	if g.events = append(g.events, e); now-g.sweptAt > g.cfg.Settings.PurgeSettle {
		g.sweptAt = now
		maps.DeleteFunc(g.purges, func(_ uint64, p purge) bool { return g.purgeSettled(p, now) })
	}
}

// notePurge records a purge of an object or a group; the latest counts.
func (g *Gateway) notePurge(k uint64, p purge) {
	last := g.purges[k]
	g.purges[k] = purge{stamp: max(last.stamp, p.stamp), at: max(last.at, p.at), seen: max(last.seen, p.seen)}
}

// purgeSettled reports whether no copy from before a purge can be left anywhere.
func (g *Gateway) purgeSettled(p purge, now Micros) bool {
	return now-p.seen > g.cfg.Settings.PurgeSettle+1_000_000
}

// outdatedBy returns the time of a purge of the fleet that the copy of an answer is older than;
// 0: none. The purge came while the attempt ran, or is of a tag, which only the answer gives.
func (g *Gateway) outdatedBy(c *Call, e *AttemptResult) Micros {
	if e.Code != rules.OK || g.policy == nil || g.cfg.Settings.Classes[c.Class].Write {
		return 0
	}
	at := g.purgedUntil(c, e.Answer.Tag)
	if e.Answer.CreatedAt > at {
		return 0
	}
	return at
}

// noteOutdatedCopy records that a server still has a copy of a call's object from before a
// purge, so that later attempts ask for a newer one.
func (g *Gateway) noteOutdatedCopy(c *Call, at Micros) {
	now, key := g.loop.Now(), hashKey(c.Object)
	g.notePurge(key, purge{stamp: at, at: min(at, now), seen: now})
	g.events = append(g.events, rules.Purge{Object: key, Age: max(0, now-at)})
}

// purgedSince reports whether a call's object was purged at or after a time.
func (g *Gateway) purgedSince(c *Call, createdAt Micros) bool {
	return g.purges[hashKey(c.Object)].stamp >= createdAt || g.purges[groupKey(c.Group)].stamp >= createdAt || g.purgedUntil(c, "") >= createdAt
}
