package exchange

import (
	"context"
	"math"
	"slices"
	"sync/atomic"

	"cherryramp/internal/decide/quotalease"
	"cherryramp/internal/decide/topology"
)

// Messages to the task of limits, beside envelopes.
type (
	says      struct{ list []quotalease.BucketReport } // what the loop has to tell of its purse
	newcomer  struct{}                                 // a name came that was not known
	limitsAsk struct{ answer func(LimitsStatus) }
)

func (newcomer) replaces() string { return "newcomer" }

// demandKeep is the part of demand that stays from one round of telling to the next, where less is asked for.
const demandKeep = 0.75

// limits is the task of limits: this front's side, and that of each site it keeps.
type limits struct {
	teller
	section any
	rules   quotalease.Rules
	list    []quotalease.Limit
	demand  map[quotalease.Key]float64
	said    []quotalease.BucketReport
	dealers map[string]*quotalease.Allocator
	snaps   *atomic.Pointer[kept] // that outlives this life of the task
	told    Micros
	fronts  int
}

// kept is what a task begins anew from.
type kept map[string]keptDealer

type keptDealer struct {
	number uint64
	b      []byte
}

func (x *Exchange) newLimits() func(context.Context) body {
	snaps := &atomic.Pointer[kept]{}
	snaps.Store(&kept{})
	return func(ctx context.Context) body {
		return &limits{teller: teller{x, ctx}, demand: map[quotalease.Key]float64{}, dealers: map[string]*quotalease.Allocator{}, snaps: snaps}
	}
}

// renew takes over what the section says now.
func (l *limits) renew(now Micros) {
	if s := l.x.section.Load(); l.section != any(s) {
		l.section = s
		l.rules, l.list = s.QuotaLimits()
		for _, d := range l.dealers {
			d.Reconfigure(l.rules, l.list, now)
		}
	}
}

func (l *limits) round() {
	s := l.x.standing.Load()
	now := l.x.cfg.Now()
	l.renew(now)
	if s == nil || len(l.list) == 0 {
		return
	}
	l.keeps(s, now)
	x := l.x
	fronts := 0
	for i := range s.View.Fronts {
		if s.View.Fronts[i].OwnerLease > 0 {
			fronts++
		}
	}
	x.cfg.Loop.Post(func() {
		if fronts > 0 {
			x.cfg.Limiter.SetFronts(fronts)
		}
		x.limits.offer(says{x.cfg.Limiter.Report()})
	})
	l.deal(s, now)
}

// keeps has a dealer for each site that this process keeps.
func (l *limits) keeps(s *FleetState, now Micros) {
	own := s.View.OwnedBySelf()
	for site, d := range l.dealers {
		if !slices.ContainsFunc(own, func(k topology.Owner) bool { return k.Site == site && k.Number == d.Number() }) {
			delete(l.dealers, site)
		}
	}
	for _, k := range own {
		if l.dealers[k.Site] == nil {
			d := quotalease.NewAllocator(l.rules, l.list, k.Site, k.Number, k.PriorLease, now)
			if old, ok := (*l.snaps.Load())[k.Site]; ok && old.number == k.Number {
				var ledger quotalease.Ledger
				if err := decoder.Unmarshal(old.b, &ledger); err == nil {
					d.Restore(ledger)
				} else {
					l.x.log.Error("exchange: limits: a snapshot can't be read", "error", err)
					d = quotalease.NewAllocator(l.rules, l.list, k.Site, k.Number, max(k.PriorLease, l.rules.OwnerLease), now)
				}
				d.Reconfigure(l.rules, l.list, now)
			}
			d.Disable(quotalease.Mutation(without))
			l.dealers[k.Site] = d
		}
	}
}

func source(k topology.Owner) quotalease.Source {
	return quotalease.Source{Site: k.Site, Owner: k.Number}
}

// deal has each site's parts dealt out, and asked for above.
func (l *limits) deal(s *FleetState, now Micros) {
	links := l.x.links.Load()
	for _, k := range s.View.OwnedBySelf() {
		d := l.dealers[k.Site]
		if d == nil {
			continue
		}
		above := links.up[topology.SiteRole(k)]
		if k.Site == topology.Root && !s.MayActAsOwner(now) {
			continue
		}
		grants := d.Allocate(source(above), now)
		l.keep(k, d) // before anything of it leaves
		for _, r := range links.below(k, now, l.x.spans().FailoverAfter) {
			if g, ok := grants[roleName(r)]; ok {
				l.down(Limits, r, k, g)
			}
		}
		if k.Site != topology.Root {
			l.up(Limits, topology.SiteRole(k), quotalease.Request{Stamp: now, Limits: d.LimitRequests(source(above), now)})
		}
	}
	l.told = now
}

// keep puts what a dealer knows where the task's next life finds it.
func (l *limits) keep(k topology.Owner, d *quotalease.Allocator) {
	if l.ctx.Err() != nil {
		return
	}
	next := kept{k.Site: {k.Number, encode(d.Ledger())}}
	for site, x := range *l.snaps.Load() {
		if site != k.Site && l.dealers[site] != nil {
			next[site] = x
		}
	}
	l.snaps.Store(&next)
}

// ask asks for this front's own parts.
func (l *limits) ask(s *FleetState, now Micros) {
	r := s.View.SelfRole()
	k, ok := l.x.links.Load().up[r]
	if !ok {
		return
	}
	a := quotalease.Request{Stamp: now}
	for _, y := range l.said {
		w := quotalease.LimitRequest{Key: y.Key, Demand: l.demand[y.Key], Epoch: y.Epoch}
		for _, p := range y.Allocations {
			switch {
			case p.From == source(k):
				w.Number, w.Held = p.Number, p.Held
			case p.From.Site == k.Site:
				w.HeldBefore += p.Held
			}
		}
		a.Limits = append(a.Limits, w)
	}
	l.up(Limits, r, a)
}

func (l *limits) take(m any) {
	s := l.x.standing.Load()
	now := l.x.cfg.Now()
	l.renew(now)
	if s == nil {
		return
	}
	switch m := m.(type) {
	case says:
		per := 1e6 / float64(l.x.round().Microseconds())
		kinds := map[string]quotalease.Limit{}
		for _, x := range l.list {
			kinds[x.Name] = x
		}
		for _, y := range m.list {
			want := float64(y.Requests) * per
			switch x := kinds[y.Key.Limit]; x.Kind {
			case quotalease.Open:
				want = y.MaxOpen
			case quotalease.Uses:
				l.demand[y.Key] = y.Spent + math.Max(l.demand[y.Key]-y.Spent, float64(y.Requests)*20)*demandKeep
				continue
			}
			old := l.demand[y.Key]
			if want > old { // more is asked for at once, less by and by
				l.demand[y.Key] = old + (want-old)*0.5
			} else {
				l.demand[y.Key] = old*demandKeep + want*(1-demandKeep)
			}
		}
		l.said = m.list
		l.ask(s, now)
		if len(l.demand) > 2*len(m.list)+64 {
			known := map[quotalease.Key]float64{}
			for _, y := range m.list {
				known[y.Key] = l.demand[y.Key]
			}
			l.demand = known
		}
	case newcomer:
		l.round()
	case limitsAsk:
		m.answer(l.tell(s, now))
	case Envelope:
		l.came(s, m, now)
	}
}

func (l *limits) came(s *FleetState, e Envelope, now Micros) {
	if e.Up {
		var a quotalease.Request
		if decoder.Unmarshal(e.Body, &a) != nil || l.dealers[e.Site] == nil {
			return
		}
		d := l.dealers[e.Site]
		if d.Number() != e.Owner {
			return
		}
		d.HandleRequest(roleName(e.Role), a, now)
		first := slices.ContainsFunc(a.Limits, func(w quotalease.LimitRequest) bool { return w.Number == 0 && w.Demand > 0 })
		if first && now-l.told > l.x.round().Microseconds()/4 { // it has nothing: it need not wait for the round
			l.deal(s, now)
		}
		return
	}
	var g quotalease.Grant
	if decoder.Unmarshal(e.Body, &g) != nil || g.Site != e.Site || g.Owner != e.Owner {
		return
	}
	newest := uint64(0)
	if k := s.View.Owner(g.Site); k != nil {
		newest = k.Number
	}
	if e.Role == s.View.SelfRole() {
		x := l.x
		x.cfg.Loop.Post(func() { x.cfg.Limiter.ApplyGrant(g, newest) })
	} else if d := l.dealers[e.Role.Site]; d != nil && d.Number() == e.Role.Owner {
		d.ApplyGrant(g, newest, now)
	}
}

// NewName tells that a name came that no part is held of. It may be called on the loop.
func (x *Exchange) NewName() { x.limits.offer(newcomer{}) }

// LimitsTold is what a front tells of limits.
type LimitsStatus struct {
	Front      string                    `json:"front"`
	AttachedTo string                    `json:"attached_to"`
	Own        []quotalease.BucketReport `json:"own"`
	Sites      map[string][]SiteLimit    `json:"sites,omitempty"`
	Bounds     []string                  `json:"bounds"`
}

// Sheet is one limit as a site's keeper deals it out.
type SiteLimit = quotalease.LimitStatus

func (l *limits) tell(s *FleetState, now Micros) LimitsStatus {
	links := l.x.links.Load()
	t := LimitsStatus{Front: s.View.Self.Name, Own: l.said, Bounds: l.x.section.Load().Bounds(), Sites: map[string][]SiteLimit{}}
	if k, ok := links.up[s.View.SelfRole()]; ok {
		t.AttachedTo = k.Name
	}
	for site, d := range l.dealers {
		up := quotalease.Source{}
		if k := s.View.Owner(site); k != nil {
			up = source(links.up[topology.SiteRole(*k)])
		}
		t.Sites["/"+site] = d.Status(up, now)
	}
	return t
}

// LimitsOf asks for what this front knows of limits; the answer comes on the loop.
func (x *Exchange) QueryLimits(answer func(LimitsStatus)) {
	x.limits.offer(limitsAsk{func(t LimitsStatus) { x.cfg.Loop.Post(func() { answer(t) }) }})
}
