package world

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// The notes of answers, as PROTOCOL has them.
const (
	warm     = "warm"
	filled   = "fill"
	deep     = "deep_fill"
	joined   = "piggy"
	refused  = "bounced"
	broken   = "dropped"
	lacking  = "lacking"
	noPlace  = "jammed"
	backfire = "backfire"
)

// slotsEach is the requests that a cache works on, per transfer that its link
// carries; what comes beyond is turned away.
const slotsEach = 6

// server is a cache node, a district cache or the head office store.
type server struct {
	w      *World
	name   string
	addr   string
	kind   int
	zone   int
	size   float64 // transfers at full pace
	up     bool
	silent bool // the machine is cut off: nothing comes in or out, unheard
	state  State
	born   Micros // of the process; 0: before the day
	out    *link
	keep   *store
	wires  map[*wire]bool
	work   int // requests here
	fills  int
	under  map[item]*fill // under way
	cold   window
	asked  overload // the store's
}

// fill is one fetch, and those that wait for it.
type fill struct {
	lead    *job
	waiters []*job
	parts   int // transfers that are not through
	moves   []*transfer
	came    Micros // of its first byte; 0: not yet
	note    string
	born    Micros
	over    bool
}

// job is a request at a server.
type job struct {
	w                       *World
	wire                    *wire
	server                  *server
	source                  *server
	id                      string
	class                   int
	item                    item
	object                  *object
	bytes                   float64
	rank                    uint8
	age                     Micros // the oldest copy that will do; 0: any
	until                   Micros
	came                    Micros
	ride, haveOnly, through bool

	sends *transfer // the answer
	fill  *fill
	ran   bool
	over  bool
}

// share is the part of its capacity that a server has by now.
func (s *server) share() float64 {
	from, span := s.w.spec.BoxColdFrom, s.w.spec.BoxWarmUp
	if s.kind == parentKind {
		from, span = s.w.spec.ParentColdFrom, s.w.spec.ParentWarmUp
	}
	age := s.w.loop.Now() - s.born
	if s.born == 0 || s.kind == originKind || age >= span {
		return 1
	}
	return from + (1-from)*float64(max(0, age))/float64(span)
}

// take begins with a request.
func (s *server) take(j *job) {
	w, now := s.w, s.w.loop.Now()
	s.work++
	if s.press(j.wire.front, w.spec.Classes[j.class].SendTime) {
		return // it fell over
	}
	spec := &w.spec.Classes[j.class]
	switch {
	case now >= j.until:
		j.say("stale", "", 0, 0)
	case s.kind == originKind:
		s.serveAtOrigin(j)
	case spec.Write:
		if j.source == nil || j.source.kind != originKind {
			j.say("nothing", lacking, 0, 0)
			return
		}
		j.fetch()
	case float64(s.work) > slotsEach*s.size:
		j.say("refused", "", 0, 0)
	default:
		if k := s.fresh(j); k != nil {
			j.send(warm, k.born, 0)
		} else if j.source == nil {
			j.say("nothing", "", 0, 0)
		} else {
			j.fetch()
		}
	}
	if !j.over {
		w.loop.At(j.until, func() {
			if !j.over {
				j.giveUp()
			}
		})
	}
}

// fresh gives a copy that will do.
func (s *server) fresh(j *job) *kept {
	k := s.keep.by[j.item]
	if k == nil || j.age > 0 && s.w.loop.Now()-k.born > j.age {
		return nil
	}
	rank := j.rank
	if s != j.server {
		rank = 0
	}
	return s.keep.get(j.item, rank)
}

// serveAtOrigin runs a write, or gives out a copy of this moment.
func (s *server) serveAtOrigin(j *job) {
	if !s.w.spec.Classes[j.class].Write {
		j.source = s
		j.fetch()
		return
	}
	if !s.admitAtOrigin() {
		j.say("refused", "", 0, 0)
		return
	}
	s.w.after(s.originWait(), func() {
		if j.over || !s.up {
			return
		}
		j.ran = true
		s.w.ran(j)
		j.send(warm, s.w.loop.Now(), 0)
	})
}

// send sends the answer to the client, then says so.
func (j *job) send(note string, born, waited Micros) {
	if j.over || j.sends != nil {
		return
	}
	j.sends = j.server.out.start(j.bytes, func() { j.say("ok", note, born, waited) })
}

// say ends a request with an answer.
func (j *job) say(word, note string, born, waited Micros) {
	if j.over {
		return
	}
	j.end()
	fields, body := "", ""
	add := func(text string) {
		if fields != "" {
			fields += ","
		}
		fields += text
	}
	if word == "ok" {
		add(fmt.Sprintf("sum=%x,t0=%d", born/milli, born/milli))
		body = content(j.item, born)
		if j.w.Mutation == WrongBody && j.w.faults.IntN(50) == 0 {
			body = content(item{j.item.object, j.item.part + 1}, born)
		}
		body = j.w.stretchBody(body)
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
	j.w.answered(j, word, note, born)
	j.wire.reply(fmt.Appendf(nil, "%s %s %s %d\r\n%s\r\n", j.id, word, fields, len(body), body), func() {
		if a := j.w.asks[j.id]; a != nil && (word == "nothing" || word == "refused" || word == "stale") {
			a.proven++
		}
	})
}

// content is what a part's copy from a moment holds.
func content(x item, born Micros) string {
	return fmt.Sprintf("%s/%d@%d", name(x.object), x.part, born/milli)
}

func (j *job) end() {
	j.over = true
	j.server.work--
	j.sends.stop()
	delete(j.wire.open, j.id)
}

// giveUp ends a request without an answer. Its fill goes on while others wait for
// it.
func (j *job) giveUp() {
	if j.over {
		return
	}
	j.end()
	if f := j.fill; f != nil && !f.over {
		f.waiters = slices.DeleteFunc(f.waiters, func(o *job) bool { return o == j })
		if len(f.waiters) == 0 {
			f.fail(broken)
		}
	}
}

// fetch fills a miss, or joins a fill that is under way.
func (j *job) fetch() {
	s, src := j.server, j.source
	if f := s.under[j.item]; f != nil && j.ride {
		j.fill, f.waiters = f, append(f.waiters, j)
		return
	}
	if s.kind == boxKind && float64(s.fills) >= float64(s.w.spec.FillsPerTransfer)*s.size {
		j.say("nothing", noPlace, 0, 0)
		return
	}
	f := &fill{lead: j, waiters: []*job{j}, note: filled}
	j.fill = f
	s.fills++
	if s.under[j.item] == nil {
		s.under[j.item] = f
	}
	started := s.w.loop.Now()
	s.w.loop.At(started+s.w.spec.FillTimeout, func() {
		if f.came == 0 {
			f.fail(broken)
		}
	})
	way := s.w.way(s.zone, src)
	if src == s {
		way = 0
	}
	s.w.after(way, func() {
		if f.over || src.silent {
			return
		}
		if !src.up {
			s.w.after(way, func() { f.fail(broken) })
			return
		}
		src.supply(f, j)
	})
}

// supply gives a source's copy to a fill.
func (s *server) supply(f *fill, j *job) {
	if s.kind == originKind {
		s.supplyFromOrigin(f, j, filled)
		return
	}
	if s != j.server && s.press(j.wire.front, s.w.spec.Classes[j.class].SendTime) {
		f.fail(broken)
		return
	}
	if k := s.fresh(j); k != nil {
		f.begin(k.born, s.out, s.inlet(j))
		return
	}
	origin := s.w.origin
	switch {
	case s.kind != parentKind || j.haveOnly || j.w.spec.Classes[j.class].Write && s.kind != parentKind:
		f.fail(lacking)
	default: // a district cache fetches what it lacks, for each fill apart
		s.w.after(s.w.way(s.zone, origin), func() {
			if f.over {
				return
			}
			if !origin.up || !s.up {
				f.fail(backfire)
				return
			}
			origin.supplyFromOrigin(f, j, deep)
			if !f.over && !j.through {
				f.parent(s, j)
			}
		})
	}
}

// parent has a district cache keep what goes through it.
func (f *fill) parent(s *server, j *job) {
	f.parts++
	f.moves = append(f.moves, s.out.start(j.bytes, func() {
		if s.up && f.born > 0 {
			s.keep.put(j.item, 1, j.bytes, f.born, j.object.group)
		}
		f.through()
	}))
}

// supplyFromOrigin gives out a copy of this moment, or turns the call away.
func (s *server) supplyFromOrigin(f *fill, j *job, note string) {
	if !s.admitAtOrigin() {
		f.fail(map[string]string{filled: refused, deep: backfire}[note])
		return
	}
	f.note = note
	f.parts++ // until it has begun
	s.w.after(s.originWait(), func() {
		if f.over {
			return
		}
		if !s.up {
			f.fail(backfire)
			return
		}
		if s.w.spec.Classes[j.class].Write {
			j.ran = true
			s.w.ran(j)
		}
		s.w.stats.OriginBytes += j.bytes
		f.begin(s.w.loop.Now(), s.out, s.inlet(j))
		f.through()
	})
}

// inlet is the link in of the branch that a fill comes to from outside.
func (s *server) inlet(j *job) *link {
	if j.server.zone == s.zone {
		return nil
	}
	return j.w.inlets[j.server.zone]
}

// begin moves a fill's bytes, at the pace of the slowest of the links that it
// crosses. Those that wait are sent what comes meanwhile.
func (f *fill) begin(born Micros, links ...*link) {
	j := f.lead
	f.born, f.came = born, j.w.loop.Now()
	for _, l := range links {
		if l != nil {
			f.parts++
			f.moves = append(f.moves, l.start(j.bytes, f.through))
			j.w.stats.FillBytes += j.bytes
		}
	}
	if len(f.moves) == 0 {
		f.parts++
		j.w.after(0, f.through)
	}
}

// through counts one transfer that is done; with the last the fill is.
func (f *fill) through() {
	if f.parts--; f.parts > 0 || f.over {
		return
	}
	f.finish()
	j, s := f.lead, f.lead.server
	if !s.up {
		return
	}
	s.w.stats.Fills++
	if !s.w.spec.Classes[j.class].Write && s.kind == boxKind && j.rank > 0 || s.kind == parentKind {
		s.keep.put(j.item, max(1, j.rank), j.bytes, f.born, j.object.group)
	}
	for _, x := range f.waiters {
		note := f.note
		if x != j {
			note = joined
		}
		x.send(note, f.born, f.came-x.came)
	}
}

// fail ends a fill and all that wait for it.
func (f *fill) fail(note string) {
	if f.over {
		return
	}
	f.finish()
	now := f.lead.w.loop.Now()
	for _, x := range slices.Clone(f.waiters) {
		if x.ran {
			x.say("error", note, 0, now-x.came) // it ran, and what came of it is lost
		} else {
			x.say("nothing", note, 0, now-x.came)
		}
	}
}

func (f *fill) finish() {
	f.over = true
	s := f.lead.server
	s.fills--
	if s.under[f.lead.item] == f {
		delete(s.under, f.lead.item)
	}
	for _, m := range f.moves {
		m.stop()
	}
}

// window is the work that has come to a cold server in the last FallTime.
type window struct {
	parts []press
	sum   Micros
}

type press struct {
	at, work Micros
	told     bool // by a front that knew of its start
}

// press counts work that comes to a server, and tells whether it fell over by it.
func (s *server) press(f *Front, work Micros) bool {
	w, now := s.w, s.w.loop.Now()
	share := s.share()
	if share >= 1 || s.kind == originKind {
		s.cold = window{}
		return false
	}
	c := &s.cold
	for len(c.parts) > 0 && c.parts[0].at <= now-w.spec.FallTime {
		c.sum -= c.parts[0].work
		c.parts = c.parts[1:]
	}
	c.parts = append(c.parts, press{now, work, f.knows(s)})
	c.sum += work
	// A little slack for chance, as the rule has it: one request more than fits.
	if float64(c.sum-work) <= w.spec.FallMultiple*share*s.size*float64(w.spec.FallTime) {
		return false
	}
	var told Micros
	for _, p := range c.parts {
		if p.told {
			told += p.work
		}
	}
	w.stats.Falls++
	if 3*told >= 2*c.sum {
		w.broken(NoColdOverload, f, fmt.Sprintf("%s fell over %d ms after its start, at %.0f%% of its capacity", s.name, (now-s.born)/milli, 100*share))
	}
	s.die()
	return true
}

// overload is how long the store has been asked for far too much.
type overload struct {
	since Micros // 0: it is not
	stops int
}

// stopMost is how often a day the store stops, and for how long.
const (
	stopMost = 2
	stopTime = 5 * second
)

// admitAtOrigin turns calls away above a share of what the store can do; asked for
// far more, for long, it stops.
func (s *server) admitAtOrigin() bool {
	w, load, now := s.w, s.out.load(), s.w.loop.Now()
	switch {
	case load < w.spec.OriginFallMultiple:
		s.asked.since = 0
	case s.asked.since == 0:
		s.asked.since = now
	case now-s.asked.since > 3*second && s.asked.stops < stopMost:
		s.asked.stops++
		s.die()
		w.after(stopTime, func() { s.start(0) })
		return false
	}
	if load > w.spec.OriginDenyLoad*w.originSlow {
		w.stats.Denied++
		w.second(now).Denied++
		return false
	}
	w.stats.Origin++
	w.second(now).Origin++
	return true
}

func (s *server) originWait() Micros {
	return Micros(float64(between(s.w.rand, s.w.spec.OriginLatency)) * s.w.originSlow)
}

// die ends a server's process: its connections are reset, and what it held is gone.
func (s *server) die() {
	if !s.up {
		return
	}
	s.up = false
	for _, c := range s.w.wiresOf(s) {
		c.reset()
	}
	s.keep.clear()
	s.cold = window{}
	s.w.doorsOf(s)
}

// start starts a server's process anew, cold and empty.
func (s *server) start(born Micros) {
	s.up, s.silent, s.born = true, false, born
	s.keep.clear()
	s.under, s.fills, s.cold = map[item]*fill{}, 0, window{}
	s.w.doorsOf(s)
}

// vanish cuts a machine off: nobody hears of it.
func (s *server) vanish() {
	s.silent = true
	for _, c := range s.w.wiresOf(s) {
		c.drop()
	}
	s.up = false
	s.keep.clear()
	s.w.doorsOf(s)
}

func between(r *rand.Rand, x [2]Micros) Micros {
	if x[1] <= x[0] {
		return x[0]
	}
	return x[0] + r.Int64N(x[1]-x[0])
}
