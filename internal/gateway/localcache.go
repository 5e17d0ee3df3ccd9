package gateway

import (
	"cmp"
	"container/list"

	"cherryramp/rules"
)

// defaultMaxPurgeDelay is how recent the knowledge of the notice board's events must be for
// local copies to be served, where the settings give no time to obey a purge. A purge counts
// from when the board holds it, whether the front has received it or not.
const defaultMaxPurgeDelay = 300_000 // us

// maxLinkWait is how long an answer may wait for others on the front's link.
const maxLinkWait = 20_000 // us

// LocalCacheLimits bounds the copies that the gateway keeps itself. With zero Bytes it
// keeps none.
type LocalCacheLimits struct {
	Bytes         int     // maximum size of all copies
	Flow          float64 // bytes per second of one transfer
	Link          float64 // bytes per second of all transfers together
	MaxPurgeDelay Micros  // time to obey a purge, in us; 0: defaultMaxPurgeDelay
}

// copyKey identifies a part of an object.
type copyKey struct {
	object string
	part   int
}

// cachedCopy is an answer that was passed on and may be served again.
type cachedCopy struct {
	key       copyKey
	class     int
	group     int
	body      []byte
	tag       string
	createdAt Micros // when the origin sent it
}

// localCache holds recent answers. Serving one spares a client's connection the time of
// a transfer from a cache node: connections are what a busy front runs out of first.
// Purges drop copies, and none is served past the freshness lifetime of its class.
type localCache struct {
	limits         LocalCacheLimits
	byKey          map[copyKey]*list.Element
	lru            *list.List // of *cachedCopy, the latest used first
	bytes          int
	linkFreeAt     Micros // when the link will have sent all answers so far
	boardCurrentAt Micros // all that the notice board held at this time has been received
}

func newLocalCache(limits LocalCacheLimits) *localCache {
	return &localCache{limits: limits, byKey: map[copyKey]*list.Element{}, lru: list.New()}
}

// setLimits sets new limits and drops the copies that exceed them.
func (lc *localCache) setLimits(limits LocalCacheLimits) {
	lc.limits = limits
	lc.evict()
}

// evict drops the least recently used copies until the limit on bytes holds.
func (lc *localCache) evict() {
	for lc.bytes > lc.limits.Bytes {
		lc.remove(lc.lru.Back())
	}
}

// find returns a copy to answer a call with now, or nil. The copy must be fresh, the link
// nearly idle, and what the board is known to have held recent enough that no purge was missed.
func (lc *localCache) find(c *Call, class *rules.Class, now Micros) *cachedCopy {
	e := lc.byKey[copyKey{c.Object, c.Part}]
	if e == nil || lc.limits.Bytes == 0 || class.Write || now-lc.boardCurrentAt > cmp.Or(lc.limits.MaxPurgeDelay, defaultMaxPurgeDelay) || lc.linkFreeAt > now+maxLinkWait {
		return nil
	}
	x := e.Value.(*cachedCopy)
	if class.Fresh > 0 && now-x.createdAt >= class.Fresh {
		lc.remove(e)
		return nil
	}
	transfer := Micros(float64(len(x.body)) / lc.limits.Flow * 1e6)
	if x.class != c.Class || x.group != c.Group || now+maxLinkWait+transfer >= c.Deadline {
		return nil
	}
	lc.lru.MoveToFront(e)
	lc.linkFreeAt = max(now, lc.linkFreeAt) + Micros(float64(len(x.body))/lc.limits.Link*1e6)
	return x
}

// add stores an answer, unless it may be older than a purge, as purged says.
func (lc *localCache) add(c *Call, class *rules.Class, a *Answer, purged bool) {
	if lc.limits.Bytes == 0 || class.Write || class.Unstored || a.Kind != Served || a.CreatedAt == 0 || purged ||
		len(a.Body) > lc.limits.Bytes/16 {
		return
	}
	k := copyKey{c.Object, c.Part}
	if e := lc.byKey[k]; e != nil {
		lc.remove(e)
	}
	lc.byKey[k] = lc.lru.PushFront(&cachedCopy{key: k, class: c.Class, group: c.Group, body: a.Body,
		tag: a.Tag, createdAt: a.CreatedAt})
	lc.bytes += len(a.Body)
	lc.evict()
}

func (lc *localCache) remove(e *list.Element) {
	x := lc.lru.Remove(e).(*cachedCopy)
	delete(lc.byKey, x.key)
	lc.bytes -= len(x.body)
}

// purge drops the copies of an object or a group that are older than a purge.
func (lc *localCache) purge(p Purge) {
	var next *list.Element
	for e := lc.lru.Front(); e != nil; e = next {
		next = e.Next()
		x := e.Value.(*cachedCopy)
		if x.createdAt <= p.At && (x.key.object == p.Object || p.Object == "" && x.group == p.Group) {
			lc.remove(e)
		}
	}
}
