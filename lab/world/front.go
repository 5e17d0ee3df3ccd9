package world

import (
	"fmt"
	"strconv"
	"strings"

	"cherryramp/internal/gateway"
	"cherryramp/rules"
)

// State is what the register says of a server.
type State = rules.MemberState

// Front is one gateway with its connections, as the program wires them together.
type Front struct {
	w      *World
	name   string
	zone   int
	branch int
	make   func(f *Front) program
	prog   program
	wires  map[*wire]bool
	dead   bool
	serves bool
	ip     string // on sockets, as the doors
	doors  map[*server]*door
	heard  Micros                   // up to when the register's news comes in order
	mute   bool                     // the register can't be reached
	told   map[*server]belief       // what it was told last
	purges map[purgeKey][]toldPurge // lately
	sends  map[sendKey]Micros       // when each attempt that is open left
	starts int
	open   map[*ask]bool
}

type belief struct {
	state State
	born  Micros
	since Micros
}

type purgeKey struct {
	object int64
	group  uint8
}

// key names what a purge is of.
func (p purge) key() purgeKey {
	if p.object >= 0 {
		return purgeKey{p.object, 0}
	}
	return purgeKey{-1, p.group}
}

type toldPurge struct{ at, told Micros }

type sendKey struct {
	wire *wire
	id   string
}

// start starts a front's program, with what the register holds at this moment.
func (f *Front) start() {
	w := f.w
	f.starts++
	f.dead, f.serves, f.wires, f.open = false, false, map[*wire]bool{}, map[*ask]bool{}
	f.told, f.purges, f.sends = map[*server]belief{}, map[purgeKey][]toldPurge{}, map[sendKey]Micros{}
	var list []gateway.Member
	for _, s := range w.servers {
		if s.state != rules.Gone {
			list = append(list, f.member(s))
			f.told[s] = belief{s.state, s.born, w.loop.Now()}
		}
	}
	var purges []gateway.Purge
	for _, p := range w.purges { // those that caches may not have heard of
		if w.loop.Now()-p.at <= w.spec.PurgeSettle {
			purges = append(purges, f.learn(p)...)
		}
	}
	f.prog = f.make(f)
	f.prog.begin(list, purges, func() { f.serves = true })
	f.hear()
}

// seed is what a start of the front's program draws from.
func (f *Front) seed() uint64 { return f.w.spec.Seed ^ hash(f.name)<<8 ^ uint64(f.starts) }

// hear has the front know that the register answers, as its long poll does.
func (f *Front) hear() {
	if f.dead {
		return
	}
	if !f.mute {
		f.prog.heard()
	}
	starts := f.starts
	f.w.after(100*milli, func() {
		if f.starts == starts {
			f.hear()
		}
	})
}

// member is a server as the register has it.
func (f *Front) member(s *server) gateway.Member {
	born := s.born
	if f.w.Mutation == TreatColdAsWarm {
		born = 0
	}
	return gateway.Member{Name: s.name, Addr: s.addr, Zone: f.w.spec.zones()[s.zone], Kind: kinds[s.kind], State: s.state, Weight: s.size, StartedAt: born}
}

// knows tells whether a front was told of a server's last start.
func (f *Front) knows(s *server) bool {
	b, ok := f.told[s]
	return ok && b.born == s.born
}

// later has the front told of something, late but in order. While the register
// can't be reached, news wait.
func (f *Front) later(late Micros, news func()) {
	w := f.w
	f.heard = max(f.heard, w.loop.Now()+late)
	starts := f.starts
	var tell func()
	tell = func() {
		switch {
		case f.starts != starts || f.dead: // a new program starts with all that there is
		case f.mute:
			w.after(100*milli, tell)
		default:
			news()
		}
	}
	w.loop.At(f.heard, tell)
}

func (f *Front) hearMember(s *server, state State, born Micros) {
	f.told[s] = belief{state, born, f.w.loop.Now()}
	if f.w.Mutation == IgnoreDrains && state != rules.Ready {
		return
	}
	m := f.member(s)
	m.State = state
	if m.StartedAt != 0 {
		m.StartedAt = born
	}
	f.prog.member(m)
}

func (f *Front) hearPurge(p purge) {
	for _, x := range f.learn(p) {
		f.prog.purge(x)
	}
}

// learn notes that the front is told of a purge, and gives what it is told.
func (f *Front) learn(p purge) []gateway.Purge {
	f.purges[p.key()] = append(f.purges[p.key()], toldPurge{p.at, f.w.loop.Now()})
	if f.w.Mutation == IgnorePurges {
		return nil
	}
	return []gateway.Purge{purgeOf(p)}
}

// left is told of every command that a front sends, when it leaves: what the rules
// say of sends is judged here.
func (f *Front) left(c *wire, x command) {
	w, now := f.w, f.w.loop.Now()
	if x.words[0] != "serve" {
		return
	}
	id, fields := x.words[1], x.words[2]
	w.stats.Attempts++
	w.second(now).Attempts++
	f.sends[sendKey{c, id}] = now
	if a := w.asks[id]; a != nil {
		a.left++
	}
	if w.Mutation == DuplicateWrites && strings.Contains(fields, "lane="+w.write) { // a broken front
		again := command{words: []string{x.words[0], "f" + id[1:], fields, x.words[3]}}
		w.after(1, func() {
			if !c.closed && !c.dead() {
				c.arrive(again)
			}
		})
	}
	f.away(c.to, "sent to")
	for field := range strings.SplitSeq(fields, ",") {
		if source, ok := strings.CutPrefix(field, "next="); ok && w.by[source] != nil {
			f.away(w.by[source], "named as source")
		}
	}
}

// away checks that a server which something new goes to is not one that the front
// was told of, long enough ago, as draining or gone.
func (f *Front) away(s *server, what string) {
	b, ok := f.told[s]
	if ok && b.state != rules.Ready && f.w.loop.Now()-b.since > f.w.spec.DrainGrace+f.w.spec.Slack {
		f.w.broken(NoSendToDraining, f, fmt.Sprintf("%s was %s %d ms after the front was told that it is %s", s.name, what,
			(f.w.loop.Now()-b.since)/milli, [...]string{"gone", "ready", "draining"}[b.state]))
	}
}

// gotCopy checks what a server answers with against the purges that the front knew
// of when it sent.
func (f *Front) gotCopy(j *job, born Micros) {
	key := sendKey{j.wire, j.id}
	sent, ok := f.sends[key]
	delete(f.sends, key)
	if !ok || j.w.spec.Classes[j.class].Write {
		return
	}
	for _, k := range []purgeKey{{int64(j.item.object), 0}, {-1, j.object.group}} {
		for _, p := range f.purges[k] {
			if born <= p.at && sent-p.told > j.w.spec.PurgeGrace+j.w.spec.Slack {
				j.w.broken(NoPurgedCopy, f, fmt.Sprintf("%s answered %s with a copy from %d ms before a purge that the front was told of %d ms before it sent",
					j.server.name, name(j.item.object), (p.at-born)/milli, (sent-p.told)/milli))
			}
		}
	}
}

// kill ends a front's program: its connections are reset, its clients' too.
func (f *Front) kill() {
	if f.dead {
		return
	}
	f.dead, f.serves = true, false
	f.prog.end()
	for _, c := range f.w.wiresBy(f) {
		c.closed = true
		c.front.w.after(f.w.way(f.zone, c.to), c.drop)
	}
	for _, a := range f.w.asksAt(f) {
		a.reset()
	}
	f.open = map[*ask]bool{}
}

func hash(text string) (h uint64) {
	h = 14695981039346656037
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return h
}

// id makes a request's id: 16 hex digits.
func id(n uint64) string {
	text := strconv.FormatUint(n, 16)
	return "0000000000000000"[len(text):] + text
}
