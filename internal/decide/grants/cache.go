package grants

// forgedTTL is how long the verdict on a forged signature is cached: long enough
// that a flood of one link costs one verification, and short, since attackers
// choose what takes up the space.
const forgedTTL Micros = 10_000_000

// entry is the cached verdict on one credential.
type entry struct {
	key        string
	token      *token
	expiresAt  Micros // only if the signature is forged
	segment    *segment
	prev, next *entry
}

// segment holds the entries of one kind, most recently used first.
type segment struct {
	head       entry // sentinel of a circular list
	count      int
	maxEntries int
	bytes      int
}

// maxBytesPerEntry times maxEntries bounds the bytes of keys and tokens in a
// segment.
const maxBytesPerEntry = 1024

// entryOverheadBytes is the memory of an entry besides its key: the entry, its
// token and its share of the map.
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

// verdictCache holds verdicts on credentials: genuine ones as long as they are
// used, forged ones for forgedTTL, and those with a pending signature. Each kind
// has its own limit, so that a flood of forged links doesn't evict genuine ones.
// A set that replaces another starts with an empty cache, so that a rotation or
// revocation of keys takes effect at once.
//
// Entries are evicted by least recent use and not by expiry: the claims of an
// expired token are refused whether it is cached or not, so the time of eviction
// affects memory only.
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

// get returns the cached token of a credential, or nil.
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

// evict removes the least recently used entries until the segment is within its
// limits.
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

// resolve moves a pending token to the genuine or the forged segment. A token that
// was evicted meanwhile is not added again.
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

// CachedVerdicts returns the numbers of cached verdicts on genuine, forged and
// pending signatures.
func (set *ProfileSet) CachedVerdicts() (genuine, forged, pending int) {
	return set.cache.genuine.count, set.cache.forged.count, set.cache.pending.count
}
