package world

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// The notes of replies, from the protocol (PROTOCOL).
const (
	noteWarm         = "warm"
	noteFilled       = "fill"
	noteDeepFill     = "deep_fill"
	noteJoined       = "piggy"
	noteRefused      = "bounced"
	noteBroken       = "dropped"
	noteLacking      = "lacking"
	noteNoSlot       = "jammed"
	noteSourceFailed = "backfire"
)

// slotsPerTransfer is the number of concurrent requests of a cache, per transfer that
// its link carries; further ones are refused.
const slotsPerTransfer = 6

// server is a cache node, a district cache (parent) or the head office store (origin).
type server struct {
	w           *World
	name        string
	addr        string
	kind        int
	zone        int
	size        float64 // transfers at full rate that its link carries
	up          bool
	unreachable bool // the machine is cut off: traffic is dropped silently in both directions
	state       State
	startedAt   Micros // start of the process; 0: before the day
	out         *link
	cache       *cache
	conns       map[*connection]bool
	active      int // requests in progress
	fills       int
	pending     map[item]*fill // fills in progress
	coldLoad    loadWindow
	overload    overload // of the store
}

// fill is one fetch of a copy, and the jobs that wait for it.
type fill struct {
	lead        *job
	waiters     []*job
	pending     int // transfers that have not completed
	transfers   []*transfer
	firstByteAt Micros // 0: no byte yet
	note        string
	createdAt   Micros
	done        bool
}

// job is a request at a server.
type job struct {
	w                                 *World
	conn                              *connection
	server                            *server
	source                            *server
	id                                string
	class                             int
	item                              item
	object                            *object
	bytes                             float64
	rank                              uint8
	maxAge                            Micros // maximum age of a copy; 0: any
	deadline                          Micros
	arrivedAt                         Micros
	joinFill, cachedOnly, passThrough bool

	sending  *transfer // transfer of the reply
	fill     *fill
	executed bool
	done     bool
}

// capacityShare is the fraction of its capacity that a server has now, while it warms
// up.
func (s *server) capacityShare() float64 {
	from, span := s.w.spec.BoxColdFrom, s.w.spec.BoxWarmUp
	if s.kind == parentKind {
		from, span = s.w.spec.ParentColdFrom, s.w.spec.ParentWarmUp
	}
	age := s.w.loop.Now() - s.startedAt
	if s.startedAt == 0 || s.kind == originKind || age >= span {
		return 1
	}
	return from + (1-from)*float64(max(0, age))/float64(span)
}

// handle starts a request.
func (s *server) handle(j *job) {
	w, now := s.w, s.w.loop.Now()
	s.active++
	if s.addColdLoad(j.conn.front, w.spec.Classes[j.class].SendTime) {
		return // the server crashed
	}
	spec := &w.spec.Classes[j.class]
	switch {
	case now >= j.deadline:
		j.reply("stale", "", 0, 0)
	case s.kind == originKind:
		s.serveAtOrigin(j)
	case spec.Write:
		if j.source == nil || j.source.kind != originKind {
			j.reply("nothing", noteLacking, 0, 0)
			return
		}
		j.fetch()
	case float64(s.active) > slotsPerTransfer*s.size:
		j.reply("refused", "", 0, 0)
	default:
		if entry := s.usableCopy(j); entry != nil {
			j.send(noteWarm, entry.createdAt, 0)
		} else if j.source == nil {
			j.reply("nothing", "", 0, 0)
		} else {
			j.fetch()
		}
	}
	if !j.done {
		w.loop.At(j.deadline, func() {
			if !j.done {
				j.giveUp()
			}
		})
	}
}

// usableCopy returns a cached copy that is not too old.
func (s *server) usableCopy(j *job) *cacheEntry {
	entry := s.cache.entries[j.item]
	if entry == nil || j.maxAge > 0 && s.w.loop.Now()-entry.createdAt > j.maxAge {
		return nil
	}
	rank := j.rank
	if s != j.server {
		rank = 0
	}
	return s.cache.get(j.item, rank)
}

// serveAtOrigin runs a write, or returns a new copy.
func (s *server) serveAtOrigin(j *job) {
	if !s.w.spec.Classes[j.class].Write {
		j.source = s
		j.fetch()
		return
	}
	if !s.admitAtOrigin() {
		j.reply("refused", "", 0, 0)
		return
	}
	s.w.after(s.originWait(), func() {
		if j.done || !s.up {
			return
		}
		j.executed = true
		s.w.recordExecution(j)
		j.send(noteWarm, s.w.loop.Now(), 0)
	})
}

// send transfers the body to the client, then replies.
func (j *job) send(note string, createdAt, waited Micros) {
	if j.done || j.sending != nil {
		return
	}
	j.sending = j.server.out.start(j.bytes, func() { j.reply("ok", note, createdAt, waited) })
}

// reply sends the reply and ends the request.
func (j *job) reply(result, note string, createdAt, waited Micros) {
	if j.done {
		return
	}
	j.finish()
	fields, body := "", ""
	add := func(text string) {
		if fields != "" {
			fields += ","
		}
		fields += text
	}
	if result == "ok" {
		add(fmt.Sprintf("sum=%x,t0=%d", createdAt/milli, createdAt/milli))
		body = content(j.item, createdAt)
		if j.w.Mutation == WrongBody && j.w.faults.IntN(50) == 0 {
			body = content(item{j.item.object, j.item.part + 1}, createdAt)
		}
		body = j.w.repeatBody(body)
	}
	if note != "" {
		add("why=" + note)
	}
	if waited > 0 {
		add(fmt.Sprintf("slow=%d", waited/milli))
	}
	if fields == "" {
		fields = "-"
	}
	j.w.recordReply(j, result, note, createdAt)
	j.conn.sendReply(fmt.Appendf(nil, "%s %s %s %d\r\n%s\r\n", j.id, result, fields, len(body), body), func() {
		if t := j.w.tries[j.id]; t != nil && (result == "nothing" || result == "refused" || result == "stale") {
			t.provenNotRun++
		}
	})
}

// content is the body of a part's copy created at a given time.
func content(x item, createdAt Micros) string {
	return fmt.Sprintf("%s/%d@%d", objectName(x.object), x.part, createdAt/milli)
}

func (j *job) finish() {
	j.done = true
	j.server.active--
	j.sending.stop()
	delete(j.conn.jobs, j.id)
}

// giveUp ends a request without a reply. Its fill continues while other jobs wait for
// it.
func (j *job) giveUp() {
	if j.done {
		return
	}
	j.finish()
	if f := j.fill; f != nil && !f.done {
		f.waiters = slices.DeleteFunc(f.waiters, func(o *job) bool { return o == j })
		if len(f.waiters) == 0 {
			f.fail(noteBroken)
		}
	}
}

// fetch fills a miss, or joins a fill in progress.
func (j *job) fetch() {
	s, src := j.server, j.source
	if f := s.pending[j.item]; f != nil && j.joinFill {
		j.fill, f.waiters = f, append(f.waiters, j)
		return
	}
	if s.kind == boxKind && float64(s.fills) >= float64(s.w.spec.FillsPerTransfer)*s.size {
		j.reply("nothing", noteNoSlot, 0, 0)
		return
	}
	f := &fill{lead: j, waiters: []*job{j}, note: noteFilled}
	j.fill = f
	s.fills++
	if s.pending[j.item] == nil {
		s.pending[j.item] = f
	}
	started := s.w.loop.Now()
	s.w.loop.At(started+s.w.spec.FillTimeout, func() {
		if f.firstByteAt == 0 {
			f.fail(noteBroken)
		}
	})
	delay := s.w.delay(s.zone, src)
	if src == s {
		delay = 0
	}
	s.w.after(delay, func() {
		if f.done || src.unreachable {
			return
		}
		if !src.up {
			s.w.after(delay, func() { f.fail(noteBroken) })
			return
		}
		src.supply(f, j)
	})
}

// supply provides a source's copy to a fill.
func (s *server) supply(f *fill, j *job) {
	if s.kind == originKind {
		s.supplyFromOrigin(f, j, noteFilled)
		return
	}
	if s != j.server && s.addColdLoad(j.conn.front, s.w.spec.Classes[j.class].SendTime) {
		f.fail(noteBroken)
		return
	}
	if entry := s.usableCopy(j); entry != nil {
		f.startTransfers(entry.createdAt, s.out, s.inboundLink(j))
		return
	}
	origin := s.w.origin
	switch {
	case s.kind != parentKind || j.cachedOnly || j.w.spec.Classes[j.class].Write && s.kind != parentKind:
		f.fail(noteLacking)
	default: // a parent fetches from the origin separately for each fill
		s.w.after(s.w.delay(s.zone, origin), func() {
			if f.done {
				return
			}
			if !origin.up || !s.up {
				f.fail(noteSourceFailed)
				return
			}
			origin.supplyFromOrigin(f, j, noteDeepFill)
			if !f.done && !j.passThrough {
				f.keepAtParent(s, j)
			}
		})
	}
}

// keepAtParent has a parent cache a copy that passes through it.
func (f *fill) keepAtParent(s *server, j *job) {
	f.pending++
	f.transfers = append(f.transfers, s.out.start(j.bytes, func() {
		if s.up && f.createdAt > 0 {
			s.cache.put(j.item, 1, j.bytes, f.createdAt, j.object.group)
		}
		f.transferDone()
	}))
}

// supplyFromOrigin provides a new copy, or turns the call away.
func (s *server) supplyFromOrigin(f *fill, j *job, note string) {
	if !s.admitAtOrigin() {
		f.fail(map[string]string{noteFilled: noteRefused, noteDeepFill: noteSourceFailed}[note])
		return
	}
	f.note = note
	f.pending++ // until the transfers have started
	s.w.after(s.originWait(), func() {
		if f.done {
			return
		}
		if !s.up {
			f.fail(noteSourceFailed)
			return
		}
		if s.w.spec.Classes[j.class].Write {
			j.executed = true
			s.w.recordExecution(j)
		}
		s.w.stats.OriginBytes += j.bytes
		f.startTransfers(s.w.loop.Now(), s.out, s.inboundLink(j))
		f.transferDone()
	})
}

// inboundLink is the branch's link that a fill from another zone crosses; nil within a
// zone.
func (s *server) inboundLink(j *job) *link {
	if j.server.zone == s.zone {
		return nil
	}
	return j.w.branchLinks[j.server.zone]
}

// startTransfers transfers a fill's bytes over every link that it crosses; the slowest
// determines when it is complete. Waiting jobs get their replies after that.
func (f *fill) startTransfers(createdAt Micros, links ...*link) {
	j := f.lead
	f.createdAt, f.firstByteAt = createdAt, j.w.loop.Now()
	for _, l := range links {
		if l != nil {
			f.pending++
			f.transfers = append(f.transfers, l.start(j.bytes, f.transferDone))
			j.w.stats.FillBytes += j.bytes
		}
	}
	if len(f.transfers) == 0 {
		f.pending++
		j.w.after(0, f.transferDone)
	}
}

// transferDone counts a completed transfer; the fill is complete with the last one.
func (f *fill) transferDone() {
	if f.pending--; f.pending > 0 || f.done {
		return
	}
	f.finish()
	j, s := f.lead, f.lead.server
	if !s.up {
		return
	}
	s.w.stats.Fills++
	if !s.w.spec.Classes[j.class].Write && s.kind == boxKind && j.rank > 0 || s.kind == parentKind {
		s.cache.put(j.item, max(1, j.rank), j.bytes, f.createdAt, j.object.group)
	}
	for _, x := range f.waiters {
		note := f.note
		if x != j {
			note = noteJoined
		}
		x.send(note, f.createdAt, f.firstByteAt-x.arrivedAt)
	}
}

// fail ends a fill and all jobs that wait for it.
func (f *fill) fail(note string) {
	if f.done {
		return
	}
	f.finish()
	now := f.lead.w.loop.Now()
	for _, x := range slices.Clone(f.waiters) {
		if x.executed {
			x.reply("error", note, 0, now-x.arrivedAt) // it ran, and its outcome is lost
		} else {
			x.reply("nothing", note, 0, now-x.arrivedAt)
		}
	}
}

func (f *fill) finish() {
	f.done = true
	s := f.lead.server
	s.fills--
	if s.pending[f.lead.item] == f {
		delete(s.pending, f.lead.item)
	}
	for _, m := range f.transfers {
		m.stop()
	}
}

// loadWindow is the work sent to a cold server during the last FallTime.
type loadWindow struct {
	entries []loadEntry
	sum     Micros
}

type loadEntry struct {
	at, work   Micros
	startKnown bool // sent by a front that was notified of the server's start
}

// addColdLoad counts work sent to a server, and reports whether the server crashed
// under it.
func (s *server) addColdLoad(f *Front, work Micros) bool {
	w, now := s.w, s.w.loop.Now()
	share := s.capacityShare()
	if share >= 1 || s.kind == originKind {
		s.coldLoad = loadWindow{}
		return false
	}
	c := &s.coldLoad
	for len(c.entries) > 0 && c.entries[0].at <= now-w.spec.FallTime {
		c.sum -= c.entries[0].work
		c.entries = c.entries[1:]
	}
	c.entries = append(c.entries, loadEntry{now, work, f.knowsStart(s)})
	c.sum += work
	// One request more than fits is allowed, as in the rule, to absorb random variation.
	if float64(c.sum-work) <= w.spec.FallMultiple*share*s.size*float64(w.spec.FallTime) {
		return false
	}
	var knownWork Micros
	for _, p := range c.entries {
		if p.startKnown {
			knownWork += p.work
		}
	}
	w.stats.Falls++
	if 3*knownWork >= 2*c.sum {
		w.reportViolation(NoColdOverload, f, fmt.Sprintf("%s crashed %d ms after its start, at %.0f%% of its capacity", s.name, (now-s.startedAt)/milli, 100*share))
	}
	s.crash()
	return true
}

// overload is how long the store has been overloaded.
type overload struct {
	since   Micros // 0: not overloaded
	crashes int
}

// How often the store crashes in a day at most, and for how long.
const (
	maxOriginCrashes  = 2
	originRestartTime = 5 * second
)

// admitAtOrigin turns calls away above a fraction of the store's capacity. The store
// crashes under a much higher load that lasts.
func (s *server) admitAtOrigin() bool {
	w, load, now := s.w, s.out.load(), s.w.loop.Now()
	switch {
	case load < w.spec.OriginFallMultiple:
		s.overload.since = 0
	case s.overload.since == 0:
		s.overload.since = now
	case now-s.overload.since > 3*second && s.overload.crashes < maxOriginCrashes:
		s.overload.crashes++
		s.crash()
		w.after(originRestartTime, func() { s.start(0) })
		return false
	}
	if load > w.spec.OriginDenyLoad*w.originSlowdown {
		w.stats.Denied++
		w.second(now).Denied++
		return false
	}
	w.stats.Origin++
	w.second(now).Origin++
	return true
}

func (s *server) originWait() Micros {
	return Micros(float64(between(s.w.rand, s.w.spec.OriginLatency)) * s.w.originSlowdown)
}

// crash ends a server's process: its connections are reset and its cache is lost.
func (s *server) crash() {
	if !s.up {
		return
	}
	s.up = false
	for _, c := range s.w.connsToServer(s) {
		c.reset()
	}
	s.cache.clear()
	s.coldLoad = loadWindow{}
	s.w.updateListeners(s)
}

// start restarts a server's process, cold and empty.
func (s *server) start(startedAt Micros) {
	s.up, s.unreachable, s.startedAt = true, false, startedAt
	s.cache.clear()
	s.pending, s.fills, s.coldLoad = map[item]*fill{}, 0, loadWindow{}
	s.w.updateListeners(s)
}

// disconnect cuts a machine off silently: its connections are not reset.
func (s *server) disconnect() {
	s.unreachable = true
	for _, c := range s.w.connsToServer(s) {
		c.closeAtServer()
	}
	s.up = false
	s.cache.clear()
	s.w.updateListeners(s)
}

func between(r *rand.Rand, x [2]Micros) Micros {
	if x[1] <= x[0] {
		return x[0]
	}
	return x[0] + r.Int64N(x[1]-x[0])
}
