package grants

// How long a forged signature is remembered. Long enough that a flood of one
// link costs one check; short, since it holds room that attackers choose.
const forgedTTL Micros = 10_000_000

// entry is a remembered verdict on one credential.
type entry struct {
	key        string
	token      *token
	expiresAt  Micros // of a forged one
	segment    *segment
	prev, next *entry
}

// segment is the entries of one kind, the latest used first.
type segment struct {
	head       entry // of a ring
	count      int
	maxEntries int
	bytes      int
}

// mostBytes of keys and tokens a segment may hold, per entry that it may hold.
const maxBytesPerEntry = 1024

// entryCost is what an entry takes beside its key, in bytes: itself, its token,
// and its share of the map.
const entryOverheadBytes = 560

func (s *segment) init(maxEntries int) {
	s.maxEntries = maxEntries
	s.head.prev, s.head.next = &s.head, &s.head
}

func (s *segment) pushFront(e *entry) {
	e.segment = s
	e.prev, e.next = &s.head, s.head.next
	e.prev.next, e.next.prev = e, e
	s.count++
	s.bytes += len(e.key) + entryOverheadBytes
}

func (s *segment) unlink(e *entry) {
	e.prev.next, e.next.prev = e.next, e.prev
	s.count--
	s.bytes -= len(e.key) + entryOverheadBytes
	e.segment = nil
}

// memory holds verdicts on credentials: genuine ones for as long as they are
// used, forged ones shortly, and those whose proof is out. Each kind has room
// of its own, so that no flood of forged links drives out a good one. A set
// that takes another's place begins with an empty one, so what a rotation or a
// revocation changed holds at once.
//
// A list of latest use was chosen over a wheel of expiries: an entry that has
// run out is refused by its claims whether it is here or not, so that nothing
// but room depends on when it goes.
type verdictCache struct {
	byKey                    map[string]*entry
	genuine, forged, pending segment
}

func (cache *verdictCache) init(maxEntries int) {
	cache.byKey = map[string]*entry{}
	cache.genuine.init(maxEntries / 2)
	cache.forged.init(maxEntries / 4)
	cache.pending.init(maxEntries / 4)
}

// find gives what is known of a credential, or nil.
func (cache *verdictCache) get(key []byte, now Micros) *token {
	e := cache.byKey[string(key)]
	if e == nil {
		return nil
	}
	if e.token.state == forged && now > e.expiresAt {
		cache.remove(e)
		return nil
	}
	if s := e.segment; s.head.next != e {
		s.unlink(e)
		s.pushFront(e)
	}
	return e.token
}

func (cache *verdictCache) addGenuine(key []byte, t *token) { cache.add(&cache.genuine, key, t) }

func (cache *verdictCache) addPending(key []byte, t *token) { cache.add(&cache.pending, key, t) }

func (cache *verdictCache) add(s *segment, key []byte, t *token) {
	if s.maxEntries == 0 {
		return
	}
	e := &entry{key: string(key), token: t}
	t.entry = e
	cache.byKey[e.key] = e
	s.pushFront(e)
	cache.evict(s)
}

func (cache *verdictCache) evict(s *segment) {
	for s.count > s.maxEntries || s.bytes > s.maxEntries*maxBytesPerEntry {
		cache.remove(s.head.prev)
	}
}

func (cache *verdictCache) remove(e *entry) {
	e.segment.unlink(e)
	delete(cache.byKey, e.key)
	e.token.entry = nil
}

// settle moves a token whose proof came back to where it belongs. One that was
// driven out meanwhile is not taken in again.
func (cache *verdictCache) resolve(t *token, now Micros) {
	e := t.entry
	if e == nil {
		return
	}
	e.segment.unlink(e)
	s := &cache.genuine
	if t.state == forged {
		s, e.expiresAt = &cache.forged, now+forgedTTL
	}
	s.pushFront(e)
	cache.evict(s)
}

func (cache *verdictCache) discard(t *token) {
	if t.entry != nil {
		cache.remove(t.entry)
	}
}

// Remembered counts the verdicts held: on genuine and on forged signatures, and
// those whose proof is out.
func (set *ProfileSet) CachedVerdicts() (genuine, forged, pending int) {
	return set.cache.genuine.count, set.cache.forged.count, set.cache.pending.count
}
