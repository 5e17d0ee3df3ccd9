package grants

// How long a forged signature is remembered. Long enough that a flood of one
// link costs one check; short, since it holds room that attackers choose.
const forgetForged Micros = 10_000_000

// entry is a remembered verdict on one credential.
type entry struct {
	key        string
	token      *token
	until      Micros // of a forged one
	segment    *segment
	prev, next *entry
}

// segment is the entries of one kind, the latest used first.
type segment struct {
	head  entry // of a ring
	count int
	most  int
	bytes int
}

// mostBytes of keys and tokens a segment may hold, per entry that it may hold.
const mostBytes = 1024

// entryCost is what an entry takes beside its key, in bytes: itself, its token,
// and its share of the map.
const entryCost = 560

func (s *segment) init(most int) {
	s.most = most
	s.head.prev, s.head.next = &s.head, &s.head
}

func (s *segment) put(e *entry) {
	e.segment = s
	e.prev, e.next = &s.head, s.head.next
	e.prev.next, e.next.prev = e, e
	s.count++
	s.bytes += len(e.key) + entryCost
}

func (s *segment) take(e *entry) {
	e.prev.next, e.next.prev = e.next, e.prev
	s.count--
	s.bytes -= len(e.key) + entryCost
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
type memory struct {
	byKey                    map[string]*entry
	genuine, forged, pending segment
}

func (m *memory) init(most int) {
	m.byKey = map[string]*entry{}
	m.genuine.init(most / 2)
	m.forged.init(most / 4)
	m.pending.init(most / 4)
}

// find gives what is known of a credential, or nil.
func (m *memory) find(key []byte, now Micros) *token {
	e := m.byKey[string(key)]
	if e == nil {
		return nil
	}
	if e.token.state == forged && now > e.until {
		m.remove(e)
		return nil
	}
	if s := e.segment; s.head.next != e {
		s.take(e)
		s.put(e)
	}
	return e.token
}

func (m *memory) grant(key []byte, t *token) { m.add(&m.genuine, key, t) }

func (m *memory) wait(key []byte, t *token) { m.add(&m.pending, key, t) }

func (m *memory) add(s *segment, key []byte, t *token) {
	if s.most == 0 {
		return
	}
	e := &entry{key: string(key), token: t}
	t.entry = e
	m.byKey[e.key] = e
	s.put(e)
	m.bound(s)
}

func (m *memory) bound(s *segment) {
	for s.count > s.most || s.bytes > s.most*mostBytes {
		m.remove(s.head.prev)
	}
}

func (m *memory) remove(e *entry) {
	e.segment.take(e)
	delete(m.byKey, e.key)
	e.token.entry = nil
}

// settle moves a token whose proof came back to where it belongs. One that was
// driven out meanwhile is not taken in again.
func (m *memory) settle(t *token, now Micros) {
	e := t.entry
	if e == nil {
		return
	}
	e.segment.take(e)
	s := &m.genuine
	if t.state == forged {
		s, e.until = &m.forged, now+forgetForged
	}
	s.put(e)
	m.bound(s)
}

func (m *memory) drop(t *token) {
	if t.entry != nil {
		m.remove(t.entry)
	}
}

// Remembered counts the verdicts held: on genuine and on forged signatures, and
// those whose proof is out.
func (s *ProfileSet) CachedVerdicts() (genuine, forged, pending int) {
	return s.memory.genuine.count, s.memory.forged.count, s.memory.pending.count
}
