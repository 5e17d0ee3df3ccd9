package world

import (
	"fmt"
	"strconv"
	"strings"

	"cherryramp/internal/gateway"
	"cherryramp/rules"
)

// State is a server's state in the register.
type State = rules.MemberState

// Front is one gateway with its connections, as the program sets them up.
type Front struct {
	w            *World
	name         string
	zone         int
	branch       int
	newProgram   func(f *Front) program
	program      program
	conns        map[*connection]bool
	stopped      bool
	serving      bool
	ip           string // on sockets, as are the listeners
	listeners    map[*server]*listener
	lastNotice   Micros                    // time of the last scheduled notice, so that notices stay in order
	registerDown bool                      // the register is unreachable
	known        map[*server]knownState    // the last state that the front was notified of
	purges       map[purgeKey][]knownPurge // of which the front was notified
	sentAt       map[sendKey]Micros        // when each open attempt was sent
	starts       int
	tries        map[*try]bool
}

type knownState struct {
	state     State
	startedAt Micros
	since     Micros
}

type purgeKey struct {
	object int64
	group  uint8
}

// key identifies what is purged.
func (p purge) key() purgeKey {
	if p.object >= 0 {
		return purgeKey{p.object, 0}
	}
	return purgeKey{-1, p.group}
}

type knownPurge struct{ at, notifiedAt Micros }

type sendKey struct {
	conn *connection
	id   string
}

// start starts a front's program with the register's current contents.
func (f *Front) start() {
	w := f.w
	f.starts++
	f.stopped, f.serving, f.conns, f.tries = false, false, map[*connection]bool{}, map[*try]bool{}
	f.known, f.purges, f.sentAt = map[*server]knownState{}, map[purgeKey][]knownPurge{}, map[sendKey]Micros{}
	var list []gateway.Member
	for _, s := range w.servers {
		if s.state != rules.Gone {
			list = append(list, f.member(s))
			f.known[s] = knownState{s.state, s.startedAt, w.loop.Now()}
		}
	}
	var purges []gateway.Purge
	for _, p := range w.purges { // caches may not have applied these yet
		if w.loop.Now()-p.at <= w.spec.PurgeSettle {
			purges = append(purges, f.recordPurge(p)...)
		}
	}
	f.program = f.newProgram(f)
	f.program.start(list, purges, func() { f.serving = true })
	f.pollRegister()
}

// seed is the random seed of the current start of the front's program.
func (f *Front) seed() uint64 { return f.w.spec.Seed ^ fnvHash(f.name)<<8 ^ uint64(f.starts) }

// pollRegister periodically tells the front that the register answers, as its long
// poll does.
func (f *Front) pollRegister() {
	if f.stopped {
		return
	}
	if !f.registerDown {
		f.program.registerAnswered()
	}
	starts := f.starts
	f.w.after(100*milli, func() {
		if f.starts == starts {
			f.pollRegister()
		}
	})
}

// member is a server as the register describes it.
func (f *Front) member(s *server) gateway.Member {
	startedAt := s.startedAt
	if f.w.Mutation == TreatColdAsWarm {
		startedAt = 0
	}
	return gateway.Member{Name: s.name, Addr: s.addr, Zone: f.w.spec.zones()[s.zone], Kind: serverKinds[s.kind], State: s.state, Weight: s.size, StartedAt: startedAt}
}

// knowsStart reports whether a front was notified of a server's last start.
func (f *Front) knowsStart(s *server) bool {
	last, ok := f.known[s]
	return ok && last.startedAt == s.startedAt
}

// notify delivers a notice to the front with a delay and in order. While the register
// is unreachable, notices wait.
func (f *Front) notify(delay Micros, apply func()) {
	w := f.w
	f.lastNotice = max(f.lastNotice, w.loop.Now()+delay)
	starts := f.starts
	var deliver func()
	deliver = func() {
		switch {
		case f.starts != starts || f.stopped: // a new program starts with the register's current contents
		case f.registerDown:
			w.after(100*milli, deliver)
		default:
			apply()
		}
	}
	w.loop.At(f.lastNotice, deliver)
}

func (f *Front) notifyMember(s *server, state State, startedAt Micros) {
	f.known[s] = knownState{state, startedAt, f.w.loop.Now()}
	if f.w.Mutation == IgnoreDrains && state != rules.Ready {
		return
	}
	m := f.member(s)
	m.State = state
	if m.StartedAt != 0 {
		m.StartedAt = startedAt
	}
	f.program.updateMember(m)
}

func (f *Front) notifyPurge(p purge) {
	for _, x := range f.recordPurge(p) {
		f.program.purge(x)
	}
}

// recordPurge records that the front is notified of a purge, and returns the notice.
func (f *Front) recordPurge(p purge) []gateway.Purge {
	f.purges[p.key()] = append(f.purges[p.key()], knownPurge{p.at, f.w.loop.Now()})
	if f.w.Mutation == IgnorePurges {
		return nil
	}
	return []gateway.Purge{gatewayPurge(p)}
}

// commandSent is called for every command when it leaves the front. It checks the
// properties that concern sends.
func (f *Front) commandSent(c *connection, x command) {
	w, now := f.w, f.w.loop.Now()
	if x.words[0] != "serve" {
		return
	}
	id, fields := x.words[1], x.words[2]
	w.stats.Attempts++
	w.second(now).Attempts++
	f.sentAt[sendKey{c, id}] = now
	if t := w.tries[id]; t != nil {
		t.sent++
	}
	if w.Mutation == DuplicateWrites && strings.Contains(fields, "lane="+w.writeClass) { // the mutation
		duplicate := command{words: []string{x.words[0], "f" + id[1:], fields, x.words[3]}}
		w.after(1, func() {
			if !c.closed && !c.isDead() {
				c.arrive(duplicate)
			}
		})
	}
	f.checkSendTarget(c.server, "sent to")
	for field := range strings.SplitSeq(fields, ",") {
		if source, ok := strings.CutPrefix(field, "next="); ok && w.serverByName[source] != nil {
			f.checkSendTarget(w.serverByName[source], "named as source")
		}
	}
}

// checkSendTarget checks that a server that gets or supplies something new is not one
// that the front has known for long enough to be draining or gone.
func (f *Front) checkSendTarget(s *server, role string) {
	last, ok := f.known[s]
	if ok && last.state != rules.Ready && f.w.loop.Now()-last.since > f.w.spec.DrainGrace+f.w.spec.Slack {
		f.w.reportViolation(NoSendToDraining, f, fmt.Sprintf("%s was %s %d ms after the front was told that it is %s", s.name, role,
			(f.w.loop.Now()-last.since)/milli, [...]string{"gone", "ready", "draining"}[last.state]))
	}
}

// checkCopyAge checks a server's copy against the purges that the front knew when it
// sent the attempt.
func (f *Front) checkCopyAge(j *job, createdAt Micros) {
	key := sendKey{j.conn, j.id}
	sent, ok := f.sentAt[key]
	delete(f.sentAt, key)
	if !ok || j.w.spec.Classes[j.class].Write {
		return
	}
	for _, k := range []purgeKey{{int64(j.item.object), 0}, {-1, j.object.group}} {
		for _, p := range f.purges[k] {
			if createdAt <= p.at && sent-p.notifiedAt > j.w.spec.PurgeGrace+j.w.spec.Slack {
				j.w.reportViolation(NoPurgedCopy, f, fmt.Sprintf("%s answered %s with a copy from %d ms before a purge that the front was told of %d ms before it sent",
					j.server.name, objectName(j.item.object), (p.at-createdAt)/milli, (sent-p.notifiedAt)/milli))
			}
		}
	}
}

// kill ends a front's program and resets its connections to servers and clients.
func (f *Front) kill() {
	if f.stopped {
		return
	}
	f.stopped, f.serving = true, false
	f.program.kill()
	for _, c := range f.w.connsOfFront(f) {
		c.closed = true
		c.front.w.after(f.w.delay(f.zone, c.server), c.closeAtServer)
	}
	for _, t := range f.w.triesAt(f) {
		t.reset()
	}
	f.tries = map[*try]bool{}
}

func fnvHash(text string) (h uint64) {
	h = 14695981039346656037
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return h
}

// requestID formats a request's id: 16 hex digits.
func requestID(n uint64) string {
	text := strconv.FormatUint(n, 16)
	return "0000000000000000"[len(text):] + text
}
