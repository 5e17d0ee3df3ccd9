package world

// item identifies a part of an object.
type item struct {
	object uint32 // index in the catalog
	part   uint16
}

// cacheEntry is a cached copy.
type cacheEntry struct {
	item                 item
	rank                 uint8
	bytes                float64
	createdAt            Micros
	group                uint8
	prev, next           *cacheEntry // list of its rank, most recently used last
	groupPrev, groupNext *cacheEntry // list of its group
}

const (
	ranks  = 4
	groups = 256
)

// cache holds copies up to a number of bytes. It evicts the lowest rank first and
// within a rank the least recently used, and never evicts for a copy of lower rank.
type cache struct {
	capacity, used float64
	entries        map[item]*cacheEntry
	ranks          [ranks]cacheEntry
	groups         [groups]*cacheEntry
	purged         map[purgeKey]Micros // time of purges that were applied: older copies are not cached again
}

func newCache(capacity float64) *cache {
	c := &cache{capacity: capacity, purged: map[purgeKey]Micros{}}
	c.clear()
	return c
}

// get returns a copy and counts as a use of it. Rank 0 keeps its rank.
func (c *cache) get(x item, rank uint8) *cacheEntry {
	e := c.entries[x]
	if e == nil {
		return nil
	}
	c.unlink(e)
	if rank > 0 {
		e.rank = rank
	}
	c.link(e)
	return e
}

// put caches a copy, unless only copies of higher rank could be evicted for it.
func (c *cache) put(x item, rank uint8, bytes float64, createdAt Micros, group uint8) bool {
	if old := c.entries[x]; old != nil {
		if old.createdAt > createdAt {
			return true
		}
		c.drop(old)
	}
	if bytes > c.capacity || createdAt <= c.purged[purgeKey{int64(x.object), 0}] || createdAt <= c.purged[purgeKey{-1, group}] {
		return false
	}
	for r := uint8(0); c.used+bytes > c.capacity; {
		if first := c.ranks[r].next; first != &c.ranks[r] {
			c.drop(first)
		} else if r++; r > rank || r == ranks {
			return false
		}
	}
	e := &cacheEntry{item: x, rank: rank, bytes: bytes, createdAt: createdAt, group: group}
	c.entries[x] = e
	c.used += bytes
	c.link(e)
	if e.groupNext = c.groups[group]; e.groupNext != nil {
		e.groupNext.groupPrev = e
	}
	c.groups[group] = e
	return true
}

func (c *cache) link(e *cacheEntry) {
	head := &c.ranks[e.rank]
	e.prev, e.next = head.prev, head
	e.prev.next, head.prev = e, e
}

func (c *cache) unlink(e *cacheEntry) { e.prev.next, e.next.prev = e.next, e.prev }

func (c *cache) drop(e *cacheEntry) {
	c.unlink(e)
	if e.groupPrev != nil {
		e.groupPrev.groupNext = e.groupNext
	} else {
		c.groups[e.group] = e.groupNext
	}
	if e.groupNext != nil {
		e.groupNext.groupPrev = e.groupPrev
	}
	delete(c.entries, e.item)
	c.used -= e.bytes
}

// purge drops the copies of an object's parts, or of a group, that are not newer than
// the purge.
func (c *cache) purge(p purge) {
	c.purged[p.key()] = max(c.purged[p.key()], p.at)
	for e := c.groups[p.group]; e != nil; {
		next := e.groupNext
		if e.createdAt <= p.at && (p.object < 0 || uint32(p.object) == e.item.object) {
			c.drop(e)
		}
		e = next
	}
}

// clear drops everything.
func (c *cache) clear() {
	c.used, c.entries, c.groups = 0, map[item]*cacheEntry{}, [groups]*cacheEntry{}
	for i := range c.ranks {
		c.ranks[i].prev, c.ranks[i].next = &c.ranks[i], &c.ranks[i]
	}
}
