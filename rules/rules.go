// The decisions of cherryramp, all of them. The interface (settings, events,
// actions) is in api.go.
package rules

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

// Constants. What can be derived from the settings is derived where it is used.
const (
	copyInterval   = 30 * second // one warm-up fill per object through its runner-up in this span (design)
	warmHits       = 2           // hits at the first parent within the interval that earn a warm-up (design)
	hotPart        = 1.0         // an object is hot past this part of one cache's share of the bytes
	bytesHalf      = 10 * second // half-life of the byte counts behind it
	errorGain      = 0.15        // weight of one outcome in a failure share: about the last ten
	errorLimit     = 0.6         // failing more ejects; less is cheaper tried again than done without
	ejectFirst     = 1 * second  // first ejection; doubles with each failed trial
	ejectMost      = 16 * second // longest ejection: a recovered member is found within this
	trialsNeeded   = 2           // trials in a row that must succeed: failing half, one passes easily
	retryShare     = 0.2         // further attempts earned per request, so retries can't amplify overload
	retryBurst     = 20          // further attempts saved up, for a member that fails all at once
	coldPart       = 0.4         // part of the calls that a cold member bears that all gateways may send
	coldMost       = 0.3         // part of them that one request may take
	roughTrust     = 0.7         // part of a weight believed where it is said to be rough
	tableCap       = 1 << 15     // entries in one generation of an object or part table
	tableAge       = 60 * second // a generation's age at most
	originRate     = 15.0        // straight origin fills a second of all gateways, before anything is known
	originGrow     = 0.1         // growth of it with each good one, in parts of that; halved by a refusal
	workPriorShare = 0.5         // part of its aim taken as a class's work before any sample
	workGain       = 0.05        // weight of one sample in a class's mean work
	shareCut       = 0.8         // left of a share after a refusal
	shareLeast     = 0.1         // least part of its objects left with a parent that refuses
	shareHalf      = 3 * second  // half-life of what such cuts took away
	shareDeep      = 4           // cuts that one refusal stands for, where they are seen seldom
	sharePause     = 100 * milli // one cut in this time: one full moment refuses many
	paceGain       = 0.1         // weight of one sample in a member's pace, wait, and the pace of fills
	hitGain        = 0.03        // weight of one outcome in the share of hits by age
	lookLeast      = 0.2         // chance of a hit from which a cache is asked without a fill
	easeHalf       = 2 * second  // a bad pace of fills, unrenewed, halves in this time
	fullSlow       = 3           // excess of a hit at a cache that turns work away: slots over link
	slowSlack      = 1.5         // times its peers' pace at which a cache keeps all its keys
	slowHalf       = 8 * second  // half-life of what is known of that, without news
	lostGain       = 0.03        // weight of one outcome in the share of answers lost
	lostLeast      = 0.06        // share from which they get a time-out of their own
	lostSlack      = 1.5         // times what an answer should take that it is waited for at least
	secondRoom     = 1.5         // times what a hit should take that is left for a second copy beside
	spoiltSpan     = 20 * second // after an answer was spoilt in which others may be overdue for that
	slowMost       = 10          // a pace beyond this tells no more
	warmTrust      = 1.5         // keys taken while warming, over the warm share; the budget guards the rest
	crowdFrom      = 0.3         // part of the places for open requests left, from which worth selects
	crowdMost      = 6           // times the usual work per worth that is taken where selection begins
	crowdGain      = 0.01        // weight of one request in that usual work per worth
	milli          = Micros(1000)
	second         = Micros(1000000)
)

type tier uint8

const (
	tierCache tier = iota
	tierParent
	tierOrigin
	tierCount = iota
)

// tierSet is a set of tiers.
type tierSet [tierCount]bool

// member is a listed server and what this gateway has seen of it.
type member struct {
	Member
	tier     tier
	listed   bool
	inFlight int     // attempts
	heard    Micros  // when an answer of its last came
	errs     float64 // recent share of failures
	samples  int
	ejected  Micros // no ordinary work until then; 0 when healthy
	backoff  Micros
	trial    bool // a trial is out
	passed   int  // trials that succeeded in a row
	shareAt  Micros
	grown    float64 // the origin: what good straight fills added to their allowance, in parts of it
	share    float64 // part of its objects sent to it as a source; below 1 after refusals
	pace
	draw   float64 // by which a part of a call is rounded, where ranks are untold
	tokens float64
	filled Micros // when tokens were last earned
}

// attempt is one send.
type attempt struct {
	server, source *member
	sent           Micros
	expect         float64 // expected time of a hit
	bucket         int     // how long ago its part was last asked for
	trial, srcTry  bool
	probes         tierSet // whose pace it tests
	held           bool    // its source was to give only what it holds
	early          bool    // it ends before its client does, since answers get lost
	done, again    bool    // again: how it ended is no reason to stay away from its server
}

// request is a client's request, kept until its last attempt has ended.
type request struct {
	Request
	class    *Class
	came     Micros
	deadline Micros
	work     float64
	part     uint64 // key of (object, part)
	most     int    // attempts, as the settings were when it came
	tries    []attempt
	inFlight int
	over     bool
	ran      bool    // an attempt may have run
	ranAt    Micros  // when it was sent
	skipSrc  *member // source that failed it
	bucket   int
	hopeless bool    // no cache can answer it within its aim
	probes   tierSet // whose pace its next attempt tests
	cause    Cause
}

// object is what is remembered of an object across its parts.
type object struct {
	hits   int // hits at the first parent
	since  Micros
	warmed Micros
	bytes  float64
	at     Micros
}

// part is what is remembered of one part.
type part struct {
	seen Micros
	work float64 // sending time as last learnt; 0 unknown
	on   *member // the cache that last answered it
}

// Router decides for one gateway.
type Router struct {
	cfg     Settings
	now     Micros
	rng     uint64
	actions []Action
	members map[ServerID]*member
	caches  []*member // of the own zone, listed
	parents []*member // listed, everywhere
	origin  *member
	reqs    map[RequestID]*request
	objects aged[uint64, object]
	parts   aged[uint64, part]
	purged  aged[uint64, Micros]
	floor   Micros // copies from before it are taken as purged
	hasCut  bool
	mean    []float64 // by class, mean sending time, us
	timed   []int     // by class, answers whose time is in it
	bytes   float64
	bytesAt Micros
	retries float64
	lost    float64 // share of likely hits that never answered
	asked   bool
	held    int     // attempts out at caches
	load    float64 // recent mean of them, per unit of the caches' size
	room    float64 // size of the caches together
	loadAt  Micros
	spoilt  Micros  // when an answer was last spoilt on its way
	cost    float64 // usual work of a request over its worth, us
	out     int     // attempts, everywhere
	tiers   [tierCount]pace
	probing [tierCount]probing
	hitBy   [10]float64 // share of hits by how long ago the part was last asked for
}

// New makes a gateway's router. The seed is its only source of chance.
func New(s Settings, seed uint64) (*Router, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	r := &Router{cfg: s, rng: seed, retries: retryBurst}
	r.members, r.reqs = map[ServerID]*member{}, map[RequestID]*request{}
	for i := range r.hitBy {
		r.hitBy[i] = 0.5
	}
	for _, c := range s.Classes {
		r.mean = append(r.mean, workPriorShare*float64(max(c.Aim, milli)))
		r.timed = append(r.timed, 0)
		r.cost = max(r.cost, r.mean[len(r.mean)-1]/max(c.Worth, 0.01))
	}
	return r, nil
}

// Renew takes settings for the requests that come from now on; open ones keep their class and number
// of attempts. Classes may only have been added: what was learnt of one holds for its namesakes.
func (r *Router) UpdateSettings(s Settings) error {
	if err := cmp.Or(s.check(), s.extends(&r.cfg)); err != nil {
		return err
	}
	for i := len(r.mean); i < len(s.Classes); i++ {
		r.mean = append(r.mean, workPriorShare*float64(max(s.Classes[i].Aim, milli)))
		r.timed = append(r.timed, 0)
		for j, old := range s.Classes[:i] {
			if old.Name == s.Classes[i].Name {
				r.mean[i], r.timed[i] = r.mean[j], r.timed[j]
			}
		}
	}
	r.cfg = s
	return nil
}

// Step takes the events of one moment and gives the actions to carry out, in
// order. The slice is good until the next Step.
func (r *Router) Step(now Micros, events []Event) []Action {
	r.now = now
	r.actions = r.actions[:0]
	for _, e := range events {
		switch e := e.(type) {
		case Members:
			r.onMembers(e)
		case Purge:
			r.onPurge(e)
		case Request:
			r.onRequest(e)
		case Outcome:
			r.onOutcome(e)
		case Timer:
			r.onTimer(e)
		case Expired:
			if q := r.reqs[e.ID]; q != nil {
				r.end(q)
			}
		case Started:
			if q := r.reqs[e.ID]; q != nil {
				q.deadline = math.MaxInt64
			}
		}
	}
	return r.actions
}

func (r *Router) do(a Action) { r.actions = append(r.actions, a) }

// onMembers follows the list. Order of lists is by id, so that every gateway
// and every run sees the same.
func (r *Router) onMembers(e Members) {
	if r.cfg.OnRequest && (e.Failed || !r.asked) {
		r.asked = true
		r.do(Watch{})
	}
	if e.Failed {
		return
	}
	for _, m := range r.members {
		m.listed = m.listed && !e.Full
	}
	for _, x := range e.List {
		m := r.members[x.ID]
		if m == nil || x.StartedAt != m.StartedAt {
			// It restarted under the same id: empty, cold, and without a past.
			m = cmp.Or(m, &member{})
			r.members[x.ID] = m
			u := unit(r.rng+uint64(r.now), x.ID, 3) // started together, they do not ask together
			*m = member{inFlight: m.inFlight, share: 1, tokens: -u, draw: u, filled: r.now}
		}
		m.Member = x
		m.listed = x.State != Gone
		if m.tier = tierCache; x.Kind == r.cfg.ParentKind {
			m.tier = tierParent
		} else if x.Kind == r.cfg.OriginKind {
			m.tier, r.origin = tierOrigin, m
		}
	}
	r.caches, r.parents, r.room = r.caches[:0], r.parents[:0], 0
	for _, m := range r.members {
		if !m.listed {
			if m.inFlight == 0 && m != r.origin {
				delete(r.members, m.ID)
			}
			continue
		}
		switch {
		case m.tier == tierParent:
			r.parents = append(r.parents, m)
		case m.tier == tierCache && m.Zone == r.cfg.Zone:
			r.caches, r.room = append(r.caches, m), r.room+m.size()
		}
	}
	byID := func(a, b *member) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(r.caches, byID)
	slices.SortFunc(r.parents, byID)
}

// onPurge remembers when an object or group was purged, until it has settled.
func (r *Router) onPurge(e Purge) {
	at := r.now - e.Age
	key := cmp.Or(e.Object, groupKey(e.Group))
	if old := r.purged.get(key); old == nil || *old < at {
		if r.purged.put(key, at, tableCap, r.now, max(2*r.cfg.PurgeSettle, second)) { // the table overflowed
			r.floor, r.hasCut = r.now, true
		}
	}
}

// ageBound gives the oldest copy that will do, in us, at most the one given; 0
// for the class default.
func (r *Router) ageBound(q *request, most Micros) Micros {
	bound := Micros(math.MaxInt64)
	if most > 0 {
		bound = most
	}
	see := func(at Micros) {
		if r.now-at < r.cfg.PurgeSettle+second {
			bound = min(bound, max(1, r.now-at)) // 0 would mean "the class's default"
		}
	}
	for _, key := range []uint64{q.Object, groupKey(q.Group)} {
		if at := r.purged.get(key); at != nil {
			see(*at)
		}
	}
	if r.hasCut {
		see(r.floor)
	}
	if bound == math.MaxInt64 || bound == q.class.Fresh {
		return 0
	}
	return bound
}

// A request's way.

func (r *Router) onRequest(e Request) {
	if e.Class < 0 || e.Class >= len(r.cfg.Classes) {
		r.do(Fail{e.ID})
		return
	}
	c := &r.cfg.Classes[e.Class]
	q := &request{Request: e, class: c, came: r.now, deadline: r.now + e.Expires, most: r.cfg.MaxAttempts}
	q.part = mix(e.Object*0x9e3779b97f4a7c15 + uint64(e.Part) + 1)
	q.work = r.mean[e.Class]
	if e.Size > 0 && r.cfg.Flow > 0 {
		q.work = e.Size / r.cfg.Flow * float64(second)
		r.mean[e.Class] += workGain * (q.work - r.mean[e.Class])
	}
	r.reqs[e.ID] = q
	r.retries = min(retryBurst, r.retries+retryShare)
	o := r.object(q.Object)
	o.bytes, o.at = o.bytes*fade(r.now-o.at, bytesHalf)+q.work, r.now
	r.bytes, r.bytesAt = r.bytes*fade(r.now-r.bytesAt, bytesHalf)+q.work, r.now
	q.bucket = len(r.hitBy) - 1
	if p := r.parts.get(q.part); p != nil {
		q.bucket = min(bits.Len64(uint64(max(0, r.now-p.seen))>>18), len(r.hitBy)-2)
		if q.Size == 0 && p.work > 0 {
			q.work = p.work
		}
	}
	if r.crowded(q) {
		q.cause.Reason = ReasonCrowded
		r.giveUp(q)
		return
	}
	r.send(q)
}

// crowded tells whether a request must make way because few places for open requests are left.
// Guards against a full house, where chance would turn away short and long ones alike: the largest
// work per worth goes first. Harm: long ones are refused a little before the last place is taken.
func (r *Router) crowded(q *request) bool {
	worth := q.class.Worth
	if q.Repeat && float64(r.cfg.MaxAway)+q.work > float64(q.class.Aim)+q.class.AimStretch*q.work {
		worth *= q.class.LateWorth // its first try began too long ago
	}
	cost := q.work / max(worth, 0.01)
	r.cost += crowdGain * (q.work/max(q.class.Worth, 0.01) - r.cost)
	left := 1 - float64(len(r.reqs))/float64(max(1, r.cfg.MaxHeld))
	return r.cfg.MaxHeld > 0 && left < crowdFrom && cost > crowdMost*r.cost*max(0, left)/crowdFrom
}

// spent tells whether a request may have no further attempt, and why.
func (r *Router) spent(q *request) (reason Reason, ends bool) {
	switch {
	case r.now >= q.deadline:
		return ReasonDeadline, true
	case len(q.tries) >= q.most:
		return ReasonAttempts, true
	case len(q.tries) > 0 && r.retries < 1:
		return ReasonRetryBudget, true
	}
	return 0, false
}

// send starts the next attempt of a request that has none out, or gives up on it.
func (r *Router) send(q *request) {
	left, again := q.deadline-r.now, len(q.tries) > 0
	if reason, ends := r.spent(q); ends {
		q.cause.Reason = reason
		r.giveUp(q)
		return
	}
	if again {
		r.retries--
	}
	g := Get{ID: q.ID, Attempt: len(q.tries), MaxAge: r.ageBound(q, q.class.Fresh)}
	q.cause, q.probes = Cause{Reason: ReasonNoServer}, tierSet{}
	var server, source *member
	switch {
	case !q.class.Write:
		server, source = r.readWay(q, &g)
	case r.origin == nil || !r.origin.listed: // a write runs nowhere else
	case r.cfg.Direct: // and again through a parent: fills don't meet the limit of straight calls
		server, source = r.origin, r.origin
		if p := r.source(q); again && p != nil && p.tier == tierParent {
			server = p
		}
	default:
		server, source = r.edge(q), r.origin
	}
	if server == nil || q.hopeless {
		r.giveUp(q)
		return
	}
	t := attempt{server: server, source: source, sent: r.now, bucket: q.bucket}
	t.expect, t.held = r.expect(server, q), g.HeldOnly
	t.trial = r.take(server, q)
	if source != nil && source != server {
		t.srcTry = r.take(source, q)
	}
	r.hold(server, 1)
	g.Server, g.Source = server.ID, cmp.Or(source, server).ID
	ends := r.cfg.Cancel || r.cfg.Hedges // else what runs out is still out beside the next attempt
	if ends && (t.trial || t.srcTry) {   // a trial must not cost the request its life
		g.Timeout = max(left/2, r.cfg.Tick)
	} else if ends && server.tier == tierCache && r.lost > lostLeast && r.retries >= 1 {
		g.Timeout, t.early = r.patience(q, &t, lostSlack, 1), true
	} else if in := r.patience(q, &t, 1, secondRoom); !again && server.tier == tierCache && r.cfg.Hedges &&
		q.class.Effect == Safe && r.spoilt > 0 && r.now-r.spoilt < spoiltSpan &&
		in+Micros(r.hitTime(&t)) <= q.came+q.aim()-r.now {
		r.do(Wake{Tag: uint32(q.ID), In: in})
	}
	t.probes = q.probes
	r.beginProbes(t.probes)
	q.tries = append(q.tries, t)
	q.inFlight++
	r.do(g)
}

// onTimer looks a second time at the cache of a request whose answer is overdue, if that answers
// others, while a hit can still be in time. Guards against answers that never come and connections
// that fall silent, where some were seen spoilt. The first attempt stays out, and the second is
// without a fill: a slow fill that it doubled would cost the origin its bytes once more.
func (r *Router) onTimer(e Timer) {
	q := r.reqs[RequestID(e.Tag)]
	if q == nil || q.over || q.inFlight != 1 || !r.cfg.Hedges || q.class.Effect != Safe || r.retries < 1 ||
		len(q.tries) >= q.most || r.now >= q.deadline {
		return
	}
	t := q.tries[len(q.tries)-1]
	m := t.server
	if m.heard <= t.sent || m.tier != tierCache || m.ejected > 0 || !r.usable(m, q, 0) {
		return
	}
	r.retries--
	r.take(m, q)
	r.hold(m, 1)
	q.tries = append(q.tries, attempt{server: m, sent: r.now, expect: t.expect, bucket: len(r.hitBy) - 1})
	q.inFlight++
	r.do(Get{ID: q.ID, Attempt: len(q.tries) - 1, Server: m.ID, Source: m.ID,
		MaxAge: r.ageBound(q, q.class.Fresh+q.class.Grace)})
}

// readWay is the ordinary path: an edge cache by hash of object and part, its
// fill from the object's first parent.
func (r *Router) readWay(q *request, g *Get) (server, source *member) {
	source, server = r.source(q), r.edge(q)
	if server == nil { // no cache will do: a parent, then the origin, where permitted
		if !r.cfg.Direct || source == nil || !r.fits(source, q) && !r.probe(source, q) {
			return nil, nil
		}
		if source.tier == tierParent && r.origin != nil && r.origin.listed {
			return source, r.origin
		}
		return source, source
	}
	supplier := source
	if source != nil {
		source, g.HeldOnly = r.fill(q, server, source)
	}
	if missLikely := r.hitBy[q.bucket] < lookLeast && q.class.Grace == 0; source == nil && missLikely {
		if !r.probeFill(supplier, q) {
			q.giveUpHope(ReasonFillSlow)
			return server, nil
		}
		source = supplier
	}
	if source == nil || g.HeldOnly { // an old copy in time is worth more than none
		g.MaxAge = r.ageBound(q, q.class.Fresh+q.class.Grace)
	}
	p, _ := r.parts.at(q.part, tableCap, r.now, tableAge)
	// A part whose cache changed is taken from the cache that had it: it spares link and parent.
	if m := p.on; m != nil && m != server && m != q.skipSrc && r.cfg.Siblings != SiblingsNone &&
		r.members[m.ID] == m && r.usable(m, q, 0) && r.fits(m, q) {
		source, g.HeldOnly = m, false
	}
	g.KeepRank = 1
	if p.seen != 0 {
		g.KeepRank, g.Revalidate = 2, q.class.Fresh > 0 && g.MaxAge == 0
	}
	p.seen = max(r.now, 1)
	g.Join = r.cfg.Joins && g.MaxAge == 0
	return server, source
}

// giveUpHope notes that no cache can answer a request within its aim; the first reason stays.
func (q *request) giveUpHope(reason Reason) {
	if !q.hopeless {
		q.hopeless, q.cause.Reason = true, reason
	}
}

// fill settles how a miss is filled, by how fills went lately: as usual, or by the runner-up;
// where only those that need the origin go badly, with what the parent holds; else not at all,
// so that hits go on. Guards against parents that are slow or out of reach, a slow or stopped
// origin, a full link. Harm: a popular object stays unfilled until the estimate fades.
func (r *Router) fill(q *request, server, source *member) (from *member, held bool) {
	first, second := r.topTwo(q.Object)
	for i, m := range []*member{source, first, second} {
		if m == nil || i > 0 && (m == q.skipSrc || !r.usable(m, q, unit(q.Object, m.ID, 7))) {
			continue
		}
		if r.fillFits(server, m, q) {
			return m, m != r.origin && r.origin != nil && (q.skipSrc == r.origin ||
				!r.fillFits(server, r.origin, q) || unit(q.part, r.origin.ID, 7) > r.shareOf(r.origin))
		}
	}
	return nil, false
}

// edge picks the cache: the top score, or for a hot object the less busy of
// the top two.
func (r *Router) edge(q *request) *member {
	first := r.best(r.caches, q.part, q, nil)
	if first == nil {
		return nil
	}
	if !r.fits(first, q) {
		if !r.probe(first, q) {
			q.giveUpHope(ReasonServerSlow)
		}
		return first
	}
	o := r.object(q.Object)
	if len(r.caches) > 1 && o.bytes > hotPart*r.bytes/float64(len(r.caches)) && r.bytes > 0 {
		second := r.best(r.caches, q.part, q, first)
		if second != nil && float64(second.inFlight)/second.size() < float64(first.inFlight)/first.size() {
			return second
		}
	}
	return first
}

// hold counts attempts out at caches of the location, and their mean over time.
func (r *Router) hold(m *member, by int) {
	m.inFlight += by
	r.out += by
	if m.tier != tierCache {
		return
	}
	left := fade(r.now-r.loadAt, easeHalf)
	r.load, r.loadAt = r.load*left+(1-left)*float64(r.held)/max(1, r.room), r.now
	r.held += by
}

func (r *Router) gates(m *member) float64 {
	if m.tier == tierCache && uint(m.Zone) < uint(len(r.cfg.ZoneGates)) {
		return float64(max(1, r.cfg.ZoneGates[m.Zone]))
	}
	return float64(max(1, r.cfg.Gateways))
}

// source picks who supplies a miss. First and runner-up are by score over ALL
// listed parents, whatever their health; health only moves the fill from the
// first to the runner-up.
func (r *Router) source(q *request) *member {
	first, second := r.topTwo(q.Object)
	if first == nil {
		return r.originSource()
	}
	if second != nil && r.usable(second, q, 1) && second != q.skipSrc {
		o := r.object(q.Object)
		if o.hits >= warmHits && r.now-o.since <= copyInterval &&
			(o.warmed == 0 || r.now-o.warmed >= copyInterval) {
			o.warmed, o.hits = max(r.now, 1), 0
			return second
		}
	}
	for _, m := range []*member{first, second} {
		if m != nil && m != q.skipSrc && r.usable(m, q, unit(q.Object, m.ID, 7)) {
			return m
		}
	}
	third := r.best(r.parents, q.Object, q, q.skipSrc)
	if third != nil && third.ejected == 0 {
		return third
	}
	return cmp.Or(r.originSource(), third)
}

func (r *Router) originSource() *member {
	if r.origin == nil || !r.origin.listed || r.origin.State != Ready {
		return nil
	}
	if len(r.parents) == 0 {
		return r.origin
	}
	rate := originRate * (1 + r.origin.grown) / r.gates(r.origin)
	if !r.earned(r.origin, rate/float64(second), rate, 1) {
		return nil
	}
	r.origin.tokens--
	return r.origin
}

// topTwo gives the object's first parent and its runner-up.
func (r *Router) topTwo(object uint64) (first, second *member) {
	var a, b float64
	for _, m := range r.parents {
		switch s := r.score(object, m); {
		case first == nil || s > a:
			second, b = first, a
			first, a = m, s
		case second == nil || s > b:
			second, b = m, s
		}
	}
	return first, second
}

// best gives the top score that the request may use, but for one; health aside, where none is healthy.
func (r *Router) best(list []*member, key uint64, q *request, but *member) *member {
	var top, any *member
	var at, anyAt float64
	for _, m := range list {
		s := r.score(key, m)
		if m == but || q.tried(m) || m.State != Ready || !r.budget(m, q) {
			continue
		}
		if any == nil || s > anyAt {
			any, anyAt = m, s
		}
		if (top == nil || s > at) && r.usable(m, q, unit(key, m.ID, 7)) {
			top, at = m, s
		}
	}
	return cmp.Or(top, any)
}

func (q *request) tried(m *member) bool {
	return slices.ContainsFunc(q.tries, func(t attempt) bool { return t.server == m && !t.again })
}

// usable tells whether a member may have a request whose hash falls at u.
func (r *Router) usable(m *member, q *request, u float64) bool {
	if m.State != Ready || !m.listed || m.ejected > 0 && (r.now < m.ejected || m.trial) {
		return false
	}
	most := min(r.shareOf(m), warmTrust*r.slowStart(m))
	if t := &r.tiers[tierCache]; m.tier == tierCache {
		own := fade(r.now-m.pace.at, slowHalf)
		most = min(most, slowSlack*(1+max(0, t.slow))/(1+own*m.slow+(1-own)*max(0, t.slow)))
	}
	return u <= most && r.budget(m, q)
}

// take books a request on a member; it tells whether it is a trial.
func (r *Router) take(m *member, q *request) (trial bool) {
	if m.tier != tierOrigin {
		m.tokens -= r.weigh(m, q)
	}
	trial = m.ejected > 0 && r.now >= m.ejected && !m.trial
	m.trial = m.trial || trial
	return trial
}

// giveUp ends a request at once: refused where nothing can have run, with a time to come back, else failed.
func (r *Router) giveUp(q *request) {
	if r.mayRefuse(q) {
		a := Refuse{ID: q.ID, Cause: q.cause}
		if r.cfg.RetryAfter {
			r.rng++ // spread, so that those refused together don't come back together
			a.RetryAfter = r.cfg.MaxAway/4 + Micros(mix(r.rng)%uint64(r.cfg.MaxAway/2+1))
		}
		r.do(a)
	} else {
		r.do(Fail{q.ID})
	}
	r.end(q)
}

func (r *Router) mayRefuse(q *request) bool {
	return q.mayRepeat() || q.class.Effect == Keyed && q.class.Scope == ScopeAll &&
		r.now+r.cfg.MaxAway-q.ranAt < q.class.MemorySpan // also when the client is back
}

// mayRepeat: a keyed request that may have run stays within its group, which is left to the client.
func (q *request) mayRepeat() bool { return q.class.Effect == Safe || !q.ran }

// end forgets a request; one with attempts out is kept for their outcomes.
func (r *Router) end(q *request) {
	q.over = true
	if q.inFlight == 0 {
		delete(r.reqs, q.ID)
	}
}

// Outcomes.

func (r *Router) onOutcome(e Outcome) {
	q := r.reqs[e.ID]
	if q == nil || e.Attempt < 0 || e.Attempt >= len(q.tries) || q.tries[e.Attempt].done {
		return
	}
	t := &q.tries[e.Attempt]
	t.done, q.inFlight = true, q.inFlight-1
	r.endProbes(t.probes)
	if e.Code == ConnectionBroken {
		r.spoilt = r.now
	} else if !slices.Contains([]Code{Timeout, Cancelled, ConnectFailed, NotSent}, e.Code) {
		t.server.heard = r.now
	}
	r.hold(t.server, -1)
	r.learn(q, t, e)
	// A cache that was only looked at may still fill; one that fails now and then, many at once,
	// still has the copy, and elsewhere it would be a miss and a fill.
	if e.Code == Miss && (t.source == nil || e.Note == NoteSourceMiss) {
		t.again, q.bucket = true, len(r.hitBy)-1
	} else if e.Code == ServerError || e.Code == Reset || e.Code == ConnectionBroken ||
		e.Code == Timeout && t.early {
		t.again = t.server.ejected == 0 && len(q.tries) <= 3
	}
	if !slices.Contains([]Code{Full, ConnectFailed, NotSent, Miss}, e.Code) && !q.ran { // else it never ran
		q.ran, q.ranAt = true, t.sent
	}
	switch {
	case e.Closed || q.over:
		r.end(q)
	case q.inFlight > 0:
	case q.mayRepeat() && (e.Code != Timeout || r.now < q.deadline-r.cfg.Tick):
		r.send(q)
	default:
		q.cause = Cause{Reason: ReasonOutcome}
		r.giveUp(q)
	}
}

// learn draws from an outcome what it says of the cache, its source and the origin.
func (r *Router) learn(q *request, t *attempt, e Outcome) {
	src := t.source
	if src == t.server {
		src = nil
	}
	cache, p, hit, likely := t.server.tier == tierCache, r.parts.get(q.part), 0.0, r.hitBy[t.bucket]
	if e.Note == NoteHit || e.Note == NoteStale {
		hit = 1
	}
	if cache && (e.Code == Miss || e.Code == OK && e.Note != NoteNone) {
		r.hitBy[t.bucket] += hitGain * (hit - likely)
	}
	if cache && e.Code == OK && p != nil && e.Note != NoteNone {
		p.on = t.server
	}
	if spent := float64(e.Elapsed); cache && e.Code == OK && hit == 1 {
		if q.Size == 0 { // sizes are not told: the quickest hit tells most
			r.learnWork(q.Class, spent)
		}
		if t.expect > 0 && (q.Size > 0 || p != nil && p.work > 0) {
			r.gauge(t.server, t.server.wait, spent/t.expect-1, 1)
		}
		if p != nil && (p.work == 0 || spent < p.work) {
			p.work = spent
		}
	}
	switch {
	case cache && e.Code == OK:
		r.lost -= lostGain * r.lost
	case cache && e.Code == Timeout && e.Note == NoteNone && src == nil:
		r.lost += lostGain * (1 - r.lost)
	case cache && e.Code == Timeout && e.Note == NoteNone:
		r.lost += lostGain * likely * (1 - r.lost)
	}
	// What a fill's time tells of: the source where its own copy was enough, the
	// origin where it had to be asked, and where nothing came as far as it can tell.
	if src != nil && t.expect > 0 {
		far := src
		if r.origin != nil && src.tier == tierParent && (e.Note == NoteOriginFetched ||
			e.Code == Timeout && e.Note == NoteNone && !t.held &&
				r.paceOf(src).slow <= r.paceOf(r.origin).slow) {
			far = r.origin
		}
		switch {
		case e.Code == OK && (e.Note == NoteFilled || e.Note == NoteOriginFetched):
			r.gauge(far, float64(e.SourceWait), float64(e.Elapsed-e.SourceWait)/t.expect-1, 1)
		case e.Code == Timeout && !t.early && float64(e.Elapsed) > t.expect:
			r.gauge(far, far.wait, float64(e.Elapsed)/t.expect-1, (1-likely)*fade(e.Elapsed, easeHalf))
		case e.Note == NoteSourceFailed:
			r.gauge(far, float64(e.SourceWait), far.slow, 1)
		}
	}
	filled := e.Code == OK && src != nil && (e.Note == NoteFilled || e.Note == NoteOriginFetched)
	switch full := src; {
	case e.Code == OK:
		r.judge(t.server, t.trial, 0)
	case e.Code == NotSent || e.Code == Cancelled || e.Code == ConnectionBroken:
	case e.Code == Full && q.class.Write && t.server == r.origin && r.shareOf(r.origin) > shareCut:
		// A limit that fills do not meet: where they do, both tell of the same want.
	case e.Note < NoteSourceRefused && e.Code == Full: // not sick, but with all that it can hold
		r.gauge(t.server, t.server.wait, fullSlow, 1)
		r.cut(t.server)
	case e.Note < NoteSourceRefused && e.Code != Miss:
		r.judge(t.server, t.trial, 1)
	case e.Note >= NoteSourceRefused:
		if e.Note == NoteOriginFailed { // the request's further attempts may not ask it
			full = r.origin
		}
		q.skipSrc = full
		if e.Note == NoteSourceFailed {
			r.judge(src, t.srcTry, 1)
		} else if e.Note == NoteSourceRefused || e.Note == NoteOriginFailed {
			r.cut(full)
		}
	}
	if filled {
		r.judge(src, t.srcTry, 0)
		src.grown += originGrow
		if first, _ := r.topTwo(q.Object); src == first && e.Note == NoteFilled {
			o := r.object(q.Object)
			if r.now-o.since > copyInterval {
				o.hits, o.since = 0, r.now
			}
			o.hits++
		}
	}
	t.server.trial = t.server.trial && !t.trial
	if t.source != nil {
		t.source.trial = t.source.trial && !t.srcTry
	}
}

// learnWork books what an answer of a class took. What was taken for the class's work before any answer
// counts as one answer: where it was far too long, short requests would be refused until it is gone.
func (r *Router) learnWork(class int, spent float64) {
	r.timed[class]++
	gain := max(workGain, 1/float64(r.timed[class]+1))
	r.mean[class] += gain * (spent - r.mean[class])
}

// cut takes from a source that has all it can bear a part of its objects, regained by time: a
// gateway of hundreds sees too few good fills. At the origin it is the share of fills that may ask.
func (r *Router) cut(m *member) {
	if m != nil && m.tier != tierCache && r.now-m.shareAt > sharePause {
		cut := math.Pow(shareCut, min(shareDeep, float64(r.now-m.shareAt)/float64(sharePause)))
		m.share, m.shareAt, m.grown = max(shareLeast, r.shareOf(m)*cut), r.now, m.grown/2
	}
}

func (r *Router) shareOf(m *member) float64 { return 1 - (1-m.share)*fade(r.now-m.shareAt, shareHalf) }

func (r *Router) object(key uint64) *object {
	o, _ := r.objects.at(key, tableCap, r.now, tableAge)
	return o
}
