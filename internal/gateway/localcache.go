package gateway

import (
	"cmp"
	"container/list"

	"cherryramp/rules"
)

// heardWithin is how lately the notice board must have answered for copies of our own
// to be served, where the settings give no time to heed a purge: one that the board holds
// counts as told, heard or not.
const heardWithin = 300_000 // us

// linkWait is how long an answer may stand behind others on the own link.
const linkWait = 20_000 // us

// Copies bounds the gateway's own copies. Zero bytes: none are kept.
type LocalCacheLimits struct {
	Bytes         int     // held at most
	Flow          float64 // bytes a second of one transfer
	Link          float64 // bytes a second of all together
	MaxPurgeDelay Micros  // time to heed a purge; 0: heardWithin
}

// copyKey names a part of an object.
type copyKey struct {
	object string
	part   int
}

// ownCopy is an answer that was passed on and may be given again.
type ownCopy struct {
	key   copyKey
	class int
	group int
	body  []byte
	tag   string
	born  Micros // when the origin gave it out
}

// copies holds what was passed on lately. It saves a client's connection for the
// time of a transfer: connections are the first thing that a busy front runs out
// of. Purges drop copies, and none is used past its class's fresh time.
type copies struct {
	limit  LocalCacheLimits
	byKey  map[copyKey]*list.Element
	order  *list.List // of *ownCopy, the latest used first
	bytes  int
	freeAt Micros // when the link has sent all that it was given
	heard  Micros // when the notice board last answered
}

func newCopies(limit LocalCacheLimits) *copies {
	return &copies{limit: limit, byKey: map[copyKey]*list.Element{}, order: list.New()}
}

// bound sets the limits anew and drops what they no longer hold.
func (s *copies) bound(limit LocalCacheLimits) {
	s.limit = limit
	s.shrink()
}

func (s *copies) shrink() {
	for s.bytes > s.limit.Bytes {
		s.drop(s.order.Back())
	}
}

// find gives a copy that a call may be answered with now, or nil: one that is
// fresh, in a moment when the link is all but free and no purge can have been missed.
func (s *copies) find(c *Call, class *rules.Class, now Micros) *ownCopy {
	e := s.byKey[copyKey{c.Object, c.Part}]
	if e == nil || s.limit.Bytes == 0 || class.Write || now-s.heard > cmp.Or(s.limit.MaxPurgeDelay, heardWithin) || s.freeAt > now+linkWait {
		return nil
	}
	x := e.Value.(*ownCopy)
	if class.Fresh > 0 && now-x.born >= class.Fresh {
		s.drop(e)
		return nil
	}
	need := Micros(float64(len(x.body)) / s.limit.Flow * 1e6)
	if x.class != c.Class || x.group != c.Group || now+linkWait+need >= c.Deadline {
		return nil
	}
	s.order.MoveToFront(e)
	s.freeAt = max(now, s.freeAt) + Micros(float64(len(x.body))/s.limit.Link*1e6)
	return x
}

// keep takes an answer in; purged tells whether it may be older than a purge.
func (s *copies) keep(c *Call, class *rules.Class, a *Answer, purged bool) {
	if s.limit.Bytes == 0 || class.Write || a.Kind != Served || a.CreatedAt == 0 || purged ||
		len(a.Body) > s.limit.Bytes/16 {
		return
	}
	k := copyKey{c.Object, c.Part}
	if e := s.byKey[k]; e != nil {
		s.drop(e)
	}
	s.byKey[k] = s.order.PushFront(&ownCopy{key: k, class: c.Class, group: c.Group, body: a.Body,
		tag: a.Tag, born: a.CreatedAt})
	s.bytes += len(a.Body)
	s.shrink()
}

func (s *copies) drop(e *list.Element) {
	x := s.order.Remove(e).(*ownCopy)
	delete(s.byKey, x.key)
	s.bytes -= len(x.body)
}

// purge drops the copies of an object, or of a group, from before a purge.
func (s *copies) purge(p Purge) {
	var next *list.Element
	for e := s.order.Front(); e != nil; e = next {
		next = e.Next()
		x := e.Value.(*ownCopy)
		if x.born <= p.At && (x.key.object == p.Object || p.Object == "" && x.group == p.Group) {
			s.drop(e)
		}
	}
}
