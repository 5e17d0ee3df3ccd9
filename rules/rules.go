// The path of a request through the router, and the router's state. The interface (settings, events,
// actions) is in api.go.
package rules

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

// Constants of the decisions. What can be derived from the settings is derived where it is used.
const (
	warmupInterval      = 30 * second // at most one warm-up fill per object via its runner-up in this time
	warmupMinHits       = 2           // hits at the first parent within the interval that earn a warm-up
	hotShare            = 1.0         // an object is hot above this share of one cache's recent work
	recentWorkHalfLife  = 10 * second // half-life of the recent work that decides what is hot
	errorGain           = 0.15        // weight of one outcome in an error rate: about the last ten count
	ejectThreshold      = 0.6         // error rate that ejects; below, a retry is cheaper than ejecting
	minEjection         = 1 * second  // first ejection; doubles with each failed trial
	maxEjection         = 16 * second // longest ejection: a recovered member is found within this time
	trialsNeeded        = 2           // successes in a row to readmit; one is easily passed when half fail
	retryRatio          = 0.2         // retries earned per request, so that they can't amplify overload
	retryBurst          = 20          // retries saved up, for a member that fails everything at once
	coldBudgetShare     = 0.4         // share of a cold member's capacity in calls that all gateways may use
	maxColdRequestShare = 0.3         // largest share of that capacity for one request
	roughWeightTrust    = 0.7         // share of a weight that is relied on where weights are rough
	tableCap            = 1 << 15     // entries in one generation of an object or part table
	maxTableAge         = 60 * second // maximum age of a generation
	// Direct fills from the origin, per second and for all gateways together, before anything is known.
	initialOriginRate = 15.0
	originRateGrowth  = 0.1         // growth by each good fill, as a share of that; a refusal halves it
	workPriorShare    = 0.5         // share of its aim assumed as a class's work before any sample
	workGain          = 0.05        // weight of one sample in a class's mean work
	shareCutFactor    = 0.8         // what one cut after a refusal leaves of a share
	minShare          = 0.1         // least share of its objects left to a parent that refuses
	shareHalfLife     = 3 * second  // half-life of what the cuts took away
	maxShareCuts      = 4           // cuts that one refusal stands for, where refusals are rarely seen
	shareCutInterval  = 100 * milli // at most one cut in this time: one overload refuses many requests
	paceGain          = 0.1         // weight of one sample in a member's pace and wait
	hitGain           = 0.03        // weight of one outcome in the hit rate by age
	minHitChance      = 0.2         // hit rate from which a cache is asked without a fill
	paceHalfLife      = 2 * second  // half-life of a pace estimate that nothing renews
	fullSlowdown      = 3           // slowdown assumed for a cache that refuses: slots over link
	slowTolerance     = 1.5         // a cache up to this multiple of its peers' pace keeps all its keys
	slowHalfLife      = 8 * second  // half-life of that knowledge without new samples
	lostGain          = 0.03        // weight of one outcome in the share of lost answers
	lostThreshold     = 0.06        // share of lost answers from which attempts get a timeout of their own
	lostWaitFactor    = 1.5         // such a timeout is at least this multiple of the expected time
	hedgeRoomFactor   = 1.5         // multiple of a hit's expected time that must be left for a hedge
	brokenWindow      = 20 * second // time after a broken connection in which overdue reads are hedged
	maxSlowdown       = 10          // larger slowdowns are cut to this: they carry no more information
	warmupShareFactor = 1.5         // keys taken while warming, over the warm share; the rest is budgeted
	crowdThreshold    = 0.3         // free share of open-request slots below which requests are selected
	maxCrowdCost      = 6           // multiple of the usual work per worth still taken where selection begins
	crowdGain         = 0.01        // weight of one request in the usual work per worth
	milli             = Micros(1000)
	second            = Micros(1000000)
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
	tier         tier
	listed       bool
	inFlight     int     // attempts in flight
	answeredAt   Micros  // time of its last answer
	errorRate    float64 // moving average of failures
	samples      int
	ejectedUntil Micros // only trials until then; 0 when healthy
	backoff      Micros
	trialOut     bool // a trial is in flight
	passedTrials int  // successful trials in a row
	shareCutAt   Micros
	rateGrowth   float64 // origin only: growth of the direct fill rate, as a share of the initial one
	share        float64 // share of its objects sent to it as a source; below 1 after refusals
	pace
	rounding float64 // random offset for rounding a fraction of a call, where ranks are unknown
	tokens   float64
	tokensAt Micros // when tokens were last earned
}

// attempt is one send of a request to a server.
type attempt struct {
	server, source     *member
	sentAt             Micros
	expectedHit        float64 // expected time of a hit
	ageBucket          int     // bucket of the time since its part was last requested
	trial, sourceTrial bool
	probes             tierSet // tiers whose pace it tests
	heldOnly           bool    // its source was asked only for what it holds
	shortTimeout       bool    // its timeout is shortened because answers get lost
	done, retrySame    bool    // retrySame: its server may be tried again
}

// request is a client's request, kept until its last attempt has ended.
type request struct {
	Request
	class        *Class
	receivedAt   Micros
	deadline     Micros
	work         float64
	part         uint64 // key of (object, part)
	maxAttempts  int    // by the settings when it came
	attempts     []attempt
	inFlight     int
	ended        bool
	mayHaveRun   bool    // an attempt may have run
	firstRunAt   Micros  // when that attempt was sent
	failedSource *member // a source that failed this request
	ageBucket    int
	hopeless     bool    // no cache can answer it within its aim
	probes       tierSet // tiers whose pace its next attempt tests
	cause        Cause
}

// object is what is known of an object across its parts.
type object struct {
	hits         int // hits at the first parent
	hitsSince    Micros
	warmedAt     Micros
	recentWork   float64 // decaying sum of the work of its requests, us
	recentWorkAt Micros
}

// part is what is known of one part of an object.
type part struct {
	askedAt Micros
	work    float64 // transfer time in us; 0 if unknown
	cache   *member // the cache that last answered it
}

// Router makes the decisions of one gateway. It is not safe for concurrent use.
type Router struct {
	cfg           Settings
	now           Micros
	rng           uint64
	actions       []Action
	members       map[ServerID]*member
	caches        []*member // listed, of the own zone
	parents       []*member // listed, of all zones
	origin        *member
	requests      map[RequestID]*request
	objects       agedTable[uint64, object]
	parts         agedTable[uint64, part]
	purges        agedTable[uint64, Micros]
	purgeFloor    Micros // older copies count as purged, since the table overflowed
	hasPurgeFloor bool
	meanWork      []float64 // by class, mean transfer time, us
	workSamples   []int     // by class, number of answers in that mean
	recentWork    float64   // decaying sum of the work of all requests, us
	recentWorkAt  Micros
	retryTokens   float64
	lostShare     float64 // share of likely hits that never answered
	subscribed    bool
	cacheInFlight int     // attempts in flight at caches
	meanLoad      float64 // moving average of that, per unit of cache capacity
	cacheCapacity float64 // capacity of all caches together
	loadAt        Micros
	brokenAt      Micros  // when a connection last broke through a bad answer
	usualCost     float64 // moving average of work per worth, us
	inFlight      int     // attempts at all servers
	tierPace      [tierCount]pace
	probing       [tierCount]probing
	hitRate       [10]float64 // hit rate by the time since the part was last requested
}

// New returns a router for one gateway. The seed is its only source of randomness. It fails on
// settings that are out of range.
func New(s Settings, seed uint64) (*Router, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	r := &Router{cfg: s, rng: seed, retryTokens: retryBurst}
	r.members, r.requests = map[ServerID]*member{}, map[RequestID]*request{}
	for i := range r.hitRate {
		r.hitRate[i] = 0.5
	}
	for _, c := range s.Classes {
		r.meanWork = append(r.meanWork, workPriorShare*float64(max(c.Aim, milli)))
		r.workSamples = append(r.workSamples, 0)
		r.usualCost = max(r.usualCost, r.meanWork[len(r.meanWork)-1]/max(c.Worth, 0.01))
	}
	return r, nil
}

// UpdateSettings applies settings to later requests; open ones keep their class and number of attempts.
// Classes may only be added, else it fails. A new class starts with the estimates of one of its name.
func (r *Router) UpdateSettings(s Settings) error {
	if err := cmp.Or(s.check(), s.extends(&r.cfg)); err != nil {
		return err
	}
	for i := len(r.meanWork); i < len(s.Classes); i++ {
		r.meanWork = append(r.meanWork, workPriorShare*float64(max(s.Classes[i].Aim, milli)))
		r.workSamples = append(r.workSamples, 0)
		for j, old := range s.Classes[:i] {
			if old.Name == s.Classes[i].Name {
				r.meanWork[i], r.workSamples[i] = r.meanWork[j], r.workSamples[j]
			}
		}
	}
	r.cfg = s
	return nil
}

// Step handles the events of one moment and returns the actions to carry out, in order. The slice is
// valid until the next Step.
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
			if q := r.requests[e.ID]; q != nil {
				r.finish(q)
			}
		case Started:
			if q := r.requests[e.ID]; q != nil {
				q.deadline = math.MaxInt64
			}
		}
	}
	return r.actions
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

// onMembers applies a change of the server list. The lists are sorted by id, so that every gateway and
// every run sees the same order.
func (r *Router) onMembers(e Members) {
	if r.cfg.ListOnRequest && (e.Failed || !r.subscribed) {
		r.subscribed = true
		r.emit(Watch{})
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
			u := hashUnit(r.rng+uint64(r.now), x.ID, 3) // gateways started together don't send together
			*m = member{inFlight: m.inFlight, share: 1, tokens: -u, rounding: u, tokensAt: r.now}
		}
		m.Member = x
		m.listed = x.State != Gone
		if m.tier = tierCache; x.Kind == r.cfg.ParentKind {
			m.tier = tierParent
		} else if x.Kind == r.cfg.OriginKind {
			m.tier = tierOrigin
			if m.listed || r.origin == nil { // the end of a former origin may be told last
				r.origin = m
			}
		}
	}
	r.caches, r.parents, r.cacheCapacity = r.caches[:0], r.parents[:0], 0
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
			r.caches, r.cacheCapacity = append(r.caches, m), r.cacheCapacity+m.capacity()
		}
	}
	byID := func(a, b *member) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(r.caches, byID)
	slices.SortFunc(r.parents, byID)
}

// onPurge records when an object or group was purged, until no older copy can be left.
func (r *Router) onPurge(e Purge) {
	at := r.now - e.Age
	key := cmp.Or(e.Object, groupKey(e.Group))
	if old := r.purges.get(key); old == nil || *old < at {
		if r.purges.put(key, at, tableCap, r.now, max(2*r.cfg.PurgeSettle, second)) { // the table overflowed
			r.purgeFloor, r.hasPurgeFloor = r.now, true
		}
	}
}

// ageBound returns the maximum age of a copy in us, at most the one given; 0 is the class's default.
func (r *Router) ageBound(q *request, maxAge Micros) Micros {
	bound := Micros(math.MaxInt64)
	if maxAge > 0 {
		bound = maxAge
	}
	apply := func(at Micros) {
		if r.now-at < r.cfg.PurgeSettle+second {
			bound = min(bound, max(1, r.now-at)) // 0 would mean "the class's default"
		}
	}
	for _, key := range []uint64{q.Object, groupKey(q.Group)} {
		if at := r.purges.get(key); at != nil {
			apply(*at)
		}
	}
	if r.hasPurgeFloor {
		apply(r.purgeFloor)
	}
	if bound == math.MaxInt64 || bound == q.class.Fresh {
		return 0
	}
	return bound
}

// Requests.

func (r *Router) onRequest(e Request) {
	if e.Class < 0 || e.Class >= len(r.cfg.Classes) {
		r.emit(Fail{e.ID})
		return
	}
	c := &r.cfg.Classes[e.Class]
	q := &request{Request: e, class: c, receivedAt: r.now, deadline: r.now + e.Expires,
		maxAttempts: r.cfg.MaxAttempts}
	q.part = mix(e.Object*0x9e3779b97f4a7c15 + uint64(e.Part) + 1)
	q.work = r.meanWork[e.Class]
	if e.Size > 0 && r.cfg.Flow > 0 {
		q.work = e.Size / r.cfg.Flow * float64(second)
		r.meanWork[e.Class] += workGain * (q.work - r.meanWork[e.Class])
	}
	r.requests[e.ID] = q
	r.retryTokens = min(retryBurst, r.retryTokens+retryRatio)
	o := r.object(q.Object)
	o.recentWork, o.recentWorkAt = o.recentWork*decay(r.now-o.recentWorkAt, recentWorkHalfLife)+q.work, r.now
	r.recentWork, r.recentWorkAt = r.recentWork*decay(r.now-r.recentWorkAt, recentWorkHalfLife)+q.work, r.now
	q.ageBucket = len(r.hitRate) - 1
	if p := r.parts.get(q.part); p != nil {
		q.ageBucket = min(bits.Len64(uint64(max(0, r.now-p.askedAt))>>18), len(r.hitRate)-2)
		if q.Size == 0 && p.work > 0 {
			q.work = p.work
		}
	}
	if r.shouldShed(q) {
		q.cause.Reason = ReasonCrowded
		r.refuseOrFail(q)
		return
	}
	r.startAttempt(q)
}

// shouldShed reports whether a request is refused because few slots for open requests are left. When
// all slots are taken, short and long requests are refused at random; here those with the most work per
// worth go first. The cost is that long ones are refused a little before the last slot is taken.
func (r *Router) shouldShed(q *request) bool {
	worth := q.class.Worth
	if q.Repeat && float64(r.cfg.MaxAway)+q.work > float64(q.class.Aim)+q.class.AimStretch*q.work {
		worth *= q.class.LateWorth // its first try began too long ago to be in time
	}
	cost := q.work / max(worth, 0.01)
	r.usualCost += crowdGain * (q.work/max(q.class.Worth, 0.01) - r.usualCost)
	left := 1 - float64(len(r.requests))/float64(max(1, r.cfg.MaxHeld))
	return r.cfg.MaxHeld > 0 && left < crowdThreshold &&
		cost > maxCrowdCost*r.usualCost*max(0, left)/crowdThreshold
}

// exhausted reports whether a request may have no further attempt, and why.
func (r *Router) exhausted(q *request) (reason Reason, ends bool) {
	switch {
	case r.now >= q.deadline:
		return ReasonDeadline, true
	case len(q.attempts) >= q.maxAttempts:
		return ReasonAttempts, true
	case len(q.attempts) > 0 && r.retryTokens < 1:
		return ReasonRetryBudget, true
	}
	return 0, false
}

// startAttempt starts the next attempt of a request that has none in flight, or ends the request.
func (r *Router) startAttempt(q *request) {
	left, retry := q.deadline-r.now, len(q.attempts) > 0
	if reason, ends := r.exhausted(q); ends {
		q.cause.Reason = reason
		r.refuseOrFail(q)
		return
	}
	if retry {
		r.retryTokens--
	}
	g := Get{ID: q.ID, Attempt: len(q.attempts), MaxAge: r.ageBound(q, q.class.Fresh)}
	q.cause, q.probes = Cause{Reason: ReasonNoServer}, tierSet{}
	var server, source *member
	switch {
	case !q.class.Write:
		server, source = r.planRead(q, &g)
	case r.origin == nil || !r.origin.listed: // a write runs only at the origin
	case r.cfg.Direct: // retries go through a parent, which the limit on direct calls does not affect
		server, source = r.origin, r.origin
		if p := r.chooseSource(q); retry && p != nil && p.tier == tierParent {
			server = p
		}
	default:
		server, source = r.chooseCache(q), r.origin
	}
	if server == nil || q.hopeless {
		r.refuseOrFail(q)
		return
	}
	t := attempt{server: server, source: source, sentAt: r.now, ageBucket: q.ageBucket}
	t.expectedHit, t.heldOnly = r.expectedHitTime(server, q), g.HeldOnly
	t.trial = r.assign(server, q)
	if source != nil && source != server {
		t.sourceTrial = r.assign(source, q)
	}
	r.addInFlight(server, 1)
	g.Server, g.Source = server.ID, cmp.Or(source, server).ID
	ends := r.cfg.Cancel || r.cfg.Hedges    // else one that times out would still run beside the next attempt
	if ends && (t.trial || t.sourceTrial) { // a failed trial must leave time for another attempt
		g.Timeout = max(left/2, r.cfg.Tick)
	} else if ends && server.tier == tierCache && r.lostShare > lostThreshold && r.retryTokens >= 1 {
		g.Timeout, t.shortTimeout = r.waitTime(q, &t, lostWaitFactor, 1), true
	} else if in := r.waitTime(q, &t, 1, hedgeRoomFactor); !retry && server.tier == tierCache &&
		r.cfg.Hedges && q.class.Effect == Safe && r.brokenAt > 0 && r.now-r.brokenAt < brokenWindow &&
		in+Micros(r.pacedHitTime(&t)) <= q.receivedAt+q.aim()-r.now {
		r.emit(Wake{Tag: uint32(q.ID), In: in})
	}
	t.probes = q.probes
	r.beginProbes(t.probes)
	q.attempts = append(q.attempts, t)
	q.inFlight++
	r.emit(g)
}

// onTimer hedges a request whose answer is overdue: if its cache answers others and a hit can still be
// in time, it asks the cache a second time. This covers answers that never come and connections that
// fall silent, after connections were seen to break. The first attempt stays in flight. The second has
// no fill: doubling a slow fill would make the origin send its bytes again.
func (r *Router) onTimer(e Timer) {
	q := r.requests[RequestID(e.Tag)]
	if q == nil || q.ended || q.inFlight != 1 || !r.cfg.Hedges || q.class.Effect != Safe ||
		r.retryTokens < 1 || len(q.attempts) >= q.maxAttempts || r.now >= q.deadline {
		return
	}
	t := q.attempts[len(q.attempts)-1]
	m := t.server
	if m.answeredAt <= t.sentAt || m.tier != tierCache || m.ejectedUntil > 0 || !r.usable(m, q, 0) {
		return
	}
	r.retryTokens--
	r.assign(m, q)
	r.addInFlight(m, 1)
	q.attempts = append(q.attempts, attempt{server: m, sentAt: r.now, expectedHit: t.expectedHit,
		ageBucket: len(r.hitRate) - 1})
	q.inFlight++
	r.emit(Get{ID: q.ID, Attempt: len(q.attempts) - 1, Server: m.ID, Source: m.ID,
		MaxAge: r.ageBound(q, q.class.Fresh+q.class.Grace)})
}

// planRead chooses the servers of a read: a cache by hash of object and part, filled from the object's
// first parent.
func (r *Router) planRead(q *request, g *Get) (server, source *member) {
	source, server = r.chooseSource(q), r.chooseCache(q)
	if server == nil { // no cache is usable: a parent, then the origin, where permitted
		if !r.cfg.Direct || source == nil || !r.fitsAim(source, q) && !r.mayProbe(source, q) {
			return nil, nil
		}
		if source.tier == tierParent && r.origin != nil && r.origin.listed {
			return source, r.origin
		}
		return source, source
	}
	supplier := source
	if source != nil {
		source, g.HeldOnly = r.chooseFill(q, server, source)
	}
	if missLikely := r.hitRate[q.ageBucket] < minHitChance &&
		q.class.Grace == 0; source == nil && missLikely {
		if !r.mayProbeFill(supplier, q) {
			q.markHopeless(ReasonFillSlow)
			return server, nil
		}
		source = supplier
	}
	if source == nil || g.HeldOnly { // a stale copy in time is worth more than none
		g.MaxAge = r.ageBound(q, q.class.Fresh+q.class.Grace)
	}
	p, _ := r.parts.ensure(q.part, tableCap, r.now, maxTableAge)
	// A part that has moved to another cache is filled from its former one, which saves link and parent.
	if m := p.cache; m != nil && m != server && m != q.failedSource && r.cfg.Siblings != SiblingsNone &&
		r.members[m.ID] == m && r.usable(m, q, 0) && r.fitsAim(m, q) {
		source, g.HeldOnly = m, false
	}
	g.KeepRank = 1
	if p.askedAt != 0 {
		g.KeepRank, g.Revalidate = 2, q.class.Fresh > 0 && g.MaxAge == 0
	}
	p.askedAt = max(r.now, 1)
	g.Join = r.cfg.Joins && g.MaxAge == 0
	return server, source
}

// markHopeless records that no cache can answer a request within its aim; the first reason stays.
func (q *request) markHopeless(reason Reason) {
	if !q.hopeless {
		q.hopeless, q.cause.Reason = true, reason
	}
}

// chooseFill decides how a miss is filled, from the pace of recent fills: from the usual source, or the
// runner-up; with only what the parent holds, where just the fills that need the origin are slow; else
// not at all, so that hits go on. This covers slow or unreachable parents, a slow or stopped origin and
// a full link. The cost is that a popular object stays unfilled until the estimate decays.
func (r *Router) chooseFill(q *request, server, source *member) (from *member, held bool) {
	first, second := r.topParents(q.Object)
	for i, m := range []*member{source, first, second} {
		if m == nil || i > 0 && (m == q.failedSource || !r.usable(m, q, hashUnit(q.Object, m.ID, 7))) {
			continue
		}
		if r.fillFitsAim(server, m, q) {
			return m, m != r.origin && r.origin != nil && (q.failedSource == r.origin ||
				!r.fillFitsAim(server, r.origin, q) ||
				hashUnit(q.part, r.origin.ID, 7) > r.currentShare(r.origin))
		}
	}
	return nil, false
}

// chooseCache returns the cache with the top score, or for a hot object the less busy of the top two.
func (r *Router) chooseCache(q *request) *member {
	first := r.best(r.caches, q.part, q, nil)
	if first == nil {
		return nil
	}
	if !r.fitsAim(first, q) {
		if !r.mayProbe(first, q) {
			q.markHopeless(ReasonServerSlow)
		}
		return first
	}
	o := r.object(q.Object)
	if len(r.caches) > 1 && o.recentWork > hotShare*r.recentWork/float64(len(r.caches)) && r.recentWork > 0 {
		second := r.best(r.caches, q.part, q, first)
		if second != nil &&
			float64(second.inFlight)/second.capacity() < float64(first.inFlight)/first.capacity() {
			return second
		}
	}
	return first
}

// addInFlight counts attempts in flight, and keeps the average load of the caches over time.
func (r *Router) addInFlight(m *member, by int) {
	m.inFlight += by
	r.inFlight += by
	if m.tier != tierCache {
		return
	}
	left := decay(r.now-r.loadAt, paceHalfLife)
	r.meanLoad, r.loadAt = r.meanLoad*left+(1-left)*float64(r.cacheInFlight)/max(1, r.cacheCapacity), r.now
	r.cacheInFlight += by
}

// gatewaysSharing returns how many gateways send to a member, at least 1.
func (r *Router) gatewaysSharing(m *member) float64 {
	if m.tier == tierCache && uint(m.Zone) < uint(len(r.cfg.ZoneGates)) {
		return float64(max(1, r.cfg.ZoneGates[m.Zone]))
	}
	return float64(max(1, r.cfg.Gateways))
}

// chooseSource returns the server that supplies a miss. First and runner-up are chosen by score among
// ALL listed parents, whatever their health; health only moves the fill from the first to the runner-up.
func (r *Router) chooseSource(q *request) *member {
	first, second := r.topParents(q.Object)
	if first == nil {
		return r.originSource()
	}
	if second != nil && r.usable(second, q, 1) && second != q.failedSource {
		o := r.object(q.Object)
		if o.hits >= warmupMinHits && r.now-o.hitsSince <= warmupInterval &&
			(o.warmedAt == 0 || r.now-o.warmedAt >= warmupInterval) {
			o.warmedAt, o.hits = max(r.now, 1), 0
			return second
		}
	}
	for _, m := range []*member{first, second} {
		if m != nil && m != q.failedSource && r.usable(m, q, hashUnit(q.Object, m.ID, 7)) {
			return m
		}
	}
	third := r.best(r.parents, q.Object, q, q.failedSource)
	if third != nil && third.ejectedUntil == 0 {
		return third
	}
	return cmp.Or(r.originSource(), third)
}

// originSource returns the origin as a direct source, within the rate for such fills.
func (r *Router) originSource() *member {
	if r.origin == nil || !r.origin.listed || r.origin.State != Ready {
		return nil
	}
	if len(r.parents) == 0 {
		return r.origin
	}
	rate := initialOriginRate * (1 + r.origin.rateGrowth) / r.gatewaysSharing(r.origin)
	if !r.hasTokens(r.origin, rate/float64(second), rate, 1) {
		return nil
	}
	r.origin.tokens--
	return r.origin
}

// topParents returns the object's first parent and its runner-up.
func (r *Router) topParents(object uint64) (first, second *member) {
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

// best returns the member with the top score that the request may use, except one. Where none is
// healthy, health is ignored.
func (r *Router) best(list []*member, key uint64, q *request, exclude *member) *member {
	var top, fallback *member
	var topScore, fallbackScore float64
	for _, m := range list {
		s := r.score(key, m)
		if m == exclude || q.tried(m) || m.State != Ready || !r.withinColdBudget(m, q) {
			continue
		}
		if fallback == nil || s > fallbackScore {
			fallback, fallbackScore = m, s
		}
		if (top == nil || s > topScore) && r.usable(m, q, hashUnit(key, m.ID, 7)) {
			top, topScore = m, s
		}
	}
	return cmp.Or(top, fallback)
}

func (q *request) tried(m *member) bool {
	return slices.ContainsFunc(q.attempts, func(t attempt) bool { return t.server == m && !t.retrySame })
}

// usable reports whether a member may have a request whose hash is u, in the range 0 to 1.
func (r *Router) usable(m *member, q *request, u float64) bool {
	if m.State != Ready || !m.listed || m.ejectedUntil > 0 && (r.now < m.ejectedUntil || m.trialOut) {
		return false
	}
	limit := min(r.currentShare(m), warmupShareFactor*r.slowStartShare(m))
	if t := &r.tierPace[tierCache]; m.tier == tierCache {
		own := decay(r.now-m.pace.at, slowHalfLife)
		limit = min(limit, slowTolerance*(1+max(0, t.slowdown))/(1+own*m.slowdown+(1-own)*max(0, t.slowdown)))
	}
	return u <= limit && r.withinColdBudget(m, q)
}

// assign charges a request to a member and reports whether it is a trial.
func (r *Router) assign(m *member, q *request) (trial bool) {
	if m.tier != tierOrigin {
		m.tokens -= r.coldCost(m, q)
	}
	trial = m.ejectedUntil > 0 && r.now >= m.ejectedUntil && !m.trialOut
	m.trialOut = m.trialOut || trial
	return trial
}

// refuseOrFail ends a request: refused, with a time to come back, where a repeat does no harm, else failed.
func (r *Router) refuseOrFail(q *request) {
	if r.mayRefuse(q) {
		a := Refuse{ID: q.ID, Cause: q.cause}
		if r.cfg.RetryAfter {
			r.rng++ // spread, so that clients refused together don't come back together
			a.RetryAfter = r.cfg.MaxAway/4 + Micros(mix(r.rng)%uint64(r.cfg.MaxAway/2+1))
		}
		r.emit(a)
	} else {
		r.emit(Fail{q.ID})
	}
	r.finish(q)
}

// mayRefuse reports whether a retry by the client does no harm.
func (r *Router) mayRefuse(q *request) bool {
	return q.mayRepeat() || q.class.Effect == Keyed && q.class.Scope == ScopeAll &&
		r.now+r.cfg.MaxAway-q.firstRunAt < q.class.MemorySpan // also when the client is back
}

// mayRepeat reports whether the gateway may send a request again. A keyed request that may have run
// must stay within its group of caches, which is left to the client.
func (q *request) mayRepeat() bool { return q.class.Effect == Safe || !q.mayHaveRun }

// finish ends a request. One with attempts in flight is kept for their outcomes.
func (r *Router) finish(q *request) {
	q.ended = true
	if q.inFlight == 0 {
		delete(r.requests, q.ID)
	}
}

// Outcomes.

func (r *Router) onOutcome(e Outcome) {
	q := r.requests[e.ID]
	if q == nil || e.Attempt < 0 || e.Attempt >= len(q.attempts) || q.attempts[e.Attempt].done {
		return
	}
	t := &q.attempts[e.Attempt]
	t.done, q.inFlight = true, q.inFlight-1
	r.endProbes(t.probes)
	if e.Code == ConnectionBroken {
		r.brokenAt = r.now
	} else if !slices.Contains([]Code{Timeout, Cancelled, ConnectFailed, NotSent}, e.Code) {
		t.server.answeredAt = r.now
	}
	r.addInFlight(t.server, -1)
	r.learnOutcome(q, t, e)
	// A cache that was asked without a fill may still fill. One that fails some of its requests still
	// has the copy, and elsewhere it would be a miss and a fill.
	if e.lacksCopy() && (t.source == nil || e.Note == NoteSourceMiss) {
		t.retrySame, q.ageBucket = true, len(r.hitRate)-1
	} else if e.Code == ServerError || e.Code == Reset || e.Code == ConnectionBroken ||
		e.Code == Timeout && t.shortTimeout {
		t.retrySame = t.server.ejectedUntil == 0 && len(q.attempts) <= 3
	}
	if !e.Code.NeverRan() && !q.mayHaveRun {
		q.mayHaveRun, q.firstRunAt = true, t.sentAt
	}
	switch {
	case e.Closed || q.ended:
		r.finish(q)
	case q.inFlight > 0:
	case q.mayRepeat() && (e.Code != Timeout || r.now < q.deadline-r.cfg.Tick):
		r.startAttempt(q)
	default:
		q.cause = Cause{Reason: ReasonOutcome}
		r.refuseOrFail(q)
	}
}

// learnOutcome updates the estimates of the cache, its source and the origin from an outcome.
func (r *Router) learnOutcome(q *request, t *attempt, e Outcome) {
	src := t.source
	if src == t.server {
		src = nil
	}
	cache, p, hit, likely := t.server.tier == tierCache, r.parts.get(q.part), 0.0, r.hitRate[t.ageBucket]
	if e.Note == NoteHit || e.Note == NoteStale {
		hit = 1
	}
	if cache && (e.lacksCopy() || e.Code == OK && e.Note != NoteNone) {
		r.hitRate[t.ageBucket] += hitGain * (hit - likely)
	}
	if cache && e.Code == OK && p != nil && e.Note != NoteNone {
		p.cache = t.server
	}
	if spent := float64(e.Elapsed); cache && e.Code == OK && hit == 1 {
		if q.Size == 0 { // without sizes the fastest hit is the best sample
			r.learnWork(q.Class, spent)
		}
		if t.expectedHit > 0 && (q.Size > 0 || p != nil && p.work > 0) {
			r.recordPace(t.server, t.server.wait, spent/t.expectedHit-1, 1)
		}
		if p != nil && (p.work == 0 || spent < p.work) {
			p.work = spent
		}
	}
	switch {
	case cache && e.Code == OK:
		r.lostShare -= lostGain * r.lostShare
	case cache && e.Code == Timeout && e.Note == NoteNone && src == nil:
		r.lostShare += lostGain * (1 - r.lostShare)
	case cache && e.Code == Timeout && e.Note == NoteNone:
		r.lostShare += lostGain * likely * (1 - r.lostShare)
	}
	// The time of a fill is a sample of the source where that held a copy, and of the origin where it had
	// to be asked. Where no answer came, it counts for the origin unless the source is known to be slower.
	if src != nil && t.expectedHit > 0 {
		measured := src
		if r.origin != nil && src.tier == tierParent && (e.Note == NoteOriginFetched ||
			e.Code == Timeout && e.Note == NoteNone && !t.heldOnly &&
				r.paceOf(src).slowdown <= r.paceOf(r.origin).slowdown) {
			measured = r.origin
		}
		switch {
		case e.Code == OK && (e.Note == NoteFilled || e.Note == NoteOriginFetched):
			r.recordPace(measured, float64(e.SourceWait), float64(e.Elapsed-e.SourceWait)/t.expectedHit-1, 1)
		case e.Code == Timeout && !t.shortTimeout && float64(e.Elapsed) > t.expectedHit:
			r.recordPace(measured, measured.wait, float64(e.Elapsed)/t.expectedHit-1,
				(1-likely)*decay(e.Elapsed, paceHalfLife))
		case e.Note == NoteSourceFailed:
			r.recordPace(measured, float64(e.SourceWait), measured.slowdown, 1)
		}
	}
	filled := e.Code == OK && src != nil && (e.Note == NoteFilled || e.Note == NoteOriginFetched)
	switch refusing := src; {
	case e.Code == OK:
		r.recordHealth(t.server, t.trial, 0)
	case e.Code == NotSent || e.Code == Cancelled || e.Code == ConnectionBroken:
	case e.Code == Full && q.class.Write && t.server == r.origin && r.currentShare(r.origin) > shareCutFactor:
		// A limit on direct calls that fills don't hit. Where fills are refused too, both count.
	case e.Note < NoteSourceRefused && e.Code == Full: // healthy, but at its capacity
		r.recordPace(t.server, t.server.wait, fullSlowdown, 1)
		r.cutShare(t.server)
	case e.Note < NoteSourceRefused && !e.lacksCopy():
		r.recordHealth(t.server, t.trial, 1)
	case e.Note >= NoteSourceRefused:
		if e.Note == NoteOriginFailed { // further attempts of the request must not ask it
			refusing = r.origin
		}
		q.failedSource = refusing
		if e.Note == NoteSourceFailed {
			r.recordHealth(src, t.sourceTrial, 1)
		} else if e.Note == NoteSourceRefused || e.Note == NoteOriginFailed {
			r.cutShare(refusing)
		}
	}
	if filled {
		r.recordHealth(src, t.sourceTrial, 0)
		src.rateGrowth += originRateGrowth
		if first, _ := r.topParents(q.Object); src == first && e.Note == NoteFilled {
			o := r.object(q.Object)
			if r.now-o.hitsSince > warmupInterval {
				o.hits, o.hitsSince = 0, r.now
			}
			o.hits++
		}
	}
	t.server.trialOut = t.server.trialOut && !t.trial
	if t.source != nil {
		t.source.trialOut = t.source.trialOut && !t.sourceTrial
	}
}

// learnWork records the time of an answer of a class. The estimate from before any answer counts as one
// answer: if it kept more weight while far too long, short requests would be refused until it is gone.
func (r *Router) learnWork(class int, spent float64) {
	r.workSamples[class]++
	gain := max(workGain, 1/float64(r.workSamples[class]+1))
	r.meanWork[class] += gain * (spent - r.meanWork[class])
}

// cutShare reduces the share of its objects that an overloaded source gets. It recovers with time, not
// with good fills, of which one gateway among hundreds sees too few. For the origin it is the share of
// fills that may ask it.
func (r *Router) cutShare(m *member) {
	if m != nil && m.tier != tierCache && r.now-m.shareCutAt > shareCutInterval {
		cut := math.Pow(shareCutFactor,
			min(maxShareCuts, float64(r.now-m.shareCutAt)/float64(shareCutInterval)))
		m.share, m.shareCutAt, m.rateGrowth = max(minShare, r.currentShare(m)*cut), r.now, m.rateGrowth/2
	}
}

// currentShare returns a member's share, recovered by the time since its last cut.
func (r *Router) currentShare(m *member) float64 {
	return 1 - (1-m.share)*decay(r.now-m.shareCutAt, shareHalfLife)
}

func (r *Router) object(key uint64) *object {
	o, _ := r.objects.ensure(key, tableCap, r.now, maxTableAge)
	return o
}
