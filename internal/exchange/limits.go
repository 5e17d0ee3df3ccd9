package exchange

import (
	"context"
	"math"
	"slices"
	"sync/atomic"

	"cherryramp/internal/decide/quotalease"
	"cherryramp/internal/decide/topology"
)

// Messages to the task of limits, besides envelopes.
type (
	bucketReports struct{ list []quotalease.BucketReport } // the limiter's report, from the loop
	unknownName   struct{}                                 // a request came under a name without allocation
	limitsQuery   struct{ answer func(LimitsStatus) }
)

func (unknownName) replaceKey() string { return "newcomer" }

// demandDecay is the share of the old demand that is kept from one round to the next
// while fewer requests come.
const demandDecay = 0.75

// limitsTask is the task of limits: this front's side, and that of each site it owns.
type limitsTask struct {
	sender
	section     any
	rules       quotalease.Rules
	limits      []quotalease.Limit
	demand      map[quotalease.Key]float64
	reports     []quotalease.BucketReport
	allocators  map[string]*quotalease.Allocator
	snapshots   *atomic.Pointer[allocatorSnapshots] // shared by all runs of the task
	allocatedAt Micros
	fronts      int
}

// allocatorSnapshots is the state from which a task restarts, by site.
type allocatorSnapshots map[string]allocatorSnapshot

type allocatorSnapshot struct {
	number uint64
	ledger []byte
}

func (ex *Exchange) newLimitsTask() func(context.Context) handler {
	snapshots := &atomic.Pointer[allocatorSnapshots]{}
	snapshots.Store(&allocatorSnapshots{})
	return func(ctx context.Context) handler {
		return &limitsTask{sender: sender{ex, ctx}, demand: map[quotalease.Key]float64{}, allocators: map[string]*quotalease.Allocator{}, snapshots: snapshots}
	}
}

// reconfigure takes over the current configuration section.
func (l *limitsTask) reconfigure(now Micros) {
	if section := l.ex.section.Load(); l.section != any(section) {
		l.section = section
		l.rules, l.limits = section.QuotaLimits()
		for _, allocator := range l.allocators {
			allocator.Reconfigure(l.rules, l.limits, now)
		}
	}
}

func (l *limitsTask) tick() {
	state := l.ex.fleetState.Load()
	now := l.ex.cfg.Now()
	l.reconfigure(now)
	if state == nil || len(l.limits) == 0 {
		return
	}
	l.updateAllocators(state, now)
	ex := l.ex
	fronts := 0
	for i := range state.View.Fronts {
		if state.View.Fronts[i].OwnerLease > 0 {
			fronts++
		}
	}
	ex.cfg.Loop.Post(func() {
		if fronts > 0 {
			ex.cfg.Limiter.SetFronts(fronts)
		}
		ex.limits.tryPut(bucketReports{ex.cfg.Limiter.Report()})
	})
	l.allocate(state, now)
}

// updateAllocators keeps one allocator for each site that this process owns.
func (l *limitsTask) updateAllocators(state *FleetState, now Micros) {
	owned := state.View.OwnedBySelf()
	for site, allocator := range l.allocators {
		if !slices.ContainsFunc(owned, func(owner topology.Owner) bool { return owner.Site == site && owner.Number == allocator.Number() }) {
			delete(l.allocators, site)
		}
	}
	for _, owner := range owned {
		if l.allocators[owner.Site] == nil {
			allocator := quotalease.NewAllocator(l.rules, l.limits, owner.Site, owner.Number, owner.PriorLease, now)
			if snapshot, ok := (*l.snapshots.Load())[owner.Site]; ok && snapshot.number == owner.Number {
				var ledger quotalease.Ledger
				if err := decoder.Unmarshal(snapshot.ledger, &ledger); err == nil {
					allocator.Restore(ledger)
				} else {
					l.ex.log.Error("exchange: limits: a snapshot can't be read", "error", err)
					allocator = quotalease.NewAllocator(l.rules, l.limits, owner.Site, owner.Number, max(owner.PriorLease, l.rules.OwnerLease), now)
				}
				allocator.Reconfigure(l.rules, l.limits, now)
			}
			allocator.Disable(quotalease.Mutation(without))
			l.allocators[owner.Site] = allocator
		}
	}
}

func source(owner topology.Owner) quotalease.Source {
	return quotalease.Source{Site: owner.Site, Owner: owner.Number}
}

// allocate sends each owned site's allocations down and its requests up.
func (l *limitsTask) allocate(state *FleetState, now Micros) {
	links := l.ex.links.Load()
	for _, owner := range state.View.OwnedBySelf() {
		allocator := l.allocators[owner.Site]
		if allocator == nil {
			continue
		}
		above := links.up[topology.SiteRole(owner)]
		if owner.Site == topology.Root && !state.MayActAsOwner(now) {
			continue
		}
		grants := allocator.Allocate(source(above), now)
		l.saveSnapshot(owner, allocator) // before any grant is sent
		for _, role := range links.childrenOf(owner, now, l.ex.topologyConfig().FailoverAfter) {
			if grant, ok := grants[roleName(role)]; ok {
				l.sendDown(Limits, role, owner, grant)
			}
		}
		if owner.Site != topology.Root {
			l.sendUp(Limits, topology.SiteRole(owner), quotalease.Request{Stamp: now, Limits: allocator.LimitRequests(source(above), now)})
		}
	}
	l.allocatedAt = now
}

// saveSnapshot saves an allocator's ledger for the next run of the task.
func (l *limitsTask) saveSnapshot(owner topology.Owner, allocator *quotalease.Allocator) {
	if l.ctx.Err() != nil {
		return
	}
	next := allocatorSnapshots{owner.Site: {owner.Number, encode(allocator.Ledger())}}
	for site, snapshot := range *l.snapshots.Load() {
		if site != owner.Site && l.allocators[site] != nil {
			next[site] = snapshot
		}
	}
	l.snapshots.Store(&next)
}

// requestAllocations requests this front's own allocations.
func (l *limitsTask) requestAllocations(state *FleetState, now Micros) {
	role := state.View.SelfRole()
	owner, ok := l.ex.links.Load().up[role]
	if !ok {
		return
	}
	request := quotalease.Request{Stamp: now}
	for _, report := range l.reports {
		limitRequest := quotalease.LimitRequest{Key: report.Key, Demand: l.demand[report.Key], Epoch: report.Epoch}
		for _, allocation := range report.Allocations {
			switch {
			case allocation.From == source(owner):
				limitRequest.Number, limitRequest.Held = allocation.Number, allocation.Held
			case allocation.From.Site == owner.Site:
				limitRequest.HeldBefore += allocation.Held
			}
		}
		request.Limits = append(request.Limits, limitRequest)
	}
	l.sendUp(Limits, role, request)
}

func (l *limitsTask) handle(m any) {
	state := l.ex.fleetState.Load()
	now := l.ex.cfg.Now()
	l.reconfigure(now)
	if state == nil {
		return
	}
	switch m := m.(type) {
	case bucketReports:
		perSecond := 1e6 / float64(l.ex.roundInterval().Microseconds())
		limits := map[string]quotalease.Limit{}
		for _, limit := range l.limits {
			limits[limit.Name] = limit
		}
		for _, report := range m.list {
			want := float64(report.Requests) * perSecond
			switch limit := limits[report.Key.Limit]; limit.Kind {
			case quotalease.Open:
				want = report.MaxOpen
			case quotalease.Uses:
				l.demand[report.Key] = report.Spent + math.Max(l.demand[report.Key]-report.Spent, float64(report.Requests)*20)*demandDecay
				continue
			}
			old := l.demand[report.Key]
			if want > old { // demand rises faster than it falls
				l.demand[report.Key] = old + (want-old)*0.5
			} else {
				l.demand[report.Key] = old*demandDecay + want*(1-demandDecay)
			}
		}
		l.reports = m.list
		l.requestAllocations(state, now)
		if len(l.demand) > 2*len(m.list)+64 {
			known := map[quotalease.Key]float64{}
			for _, report := range m.list {
				known[report.Key] = l.demand[report.Key]
			}
			l.demand = known
		}
	case unknownName:
		l.tick()
	case limitsQuery:
		m.answer(l.status(state, now))
	case Envelope:
		l.receive(state, m, now)
	}
}

func (l *limitsTask) receive(state *FleetState, envelope Envelope, now Micros) {
	if envelope.Up {
		var request quotalease.Request
		if decoder.Unmarshal(envelope.Body, &request) != nil || l.allocators[envelope.Site] == nil {
			return
		}
		allocator := l.allocators[envelope.Site]
		if allocator.Number() != envelope.Owner {
			return
		}
		allocator.HandleRequest(roleName(envelope.Role), request, now)
		first := slices.ContainsFunc(request.Limits, func(limit quotalease.LimitRequest) bool { return limit.Number == 0 && limit.Demand > 0 })
		if first && now-l.allocatedAt > l.ex.roundInterval().Microseconds()/4 { // it holds nothing: it does not wait for the next round
			l.allocate(state, now)
		}
		return
	}
	var grant quotalease.Grant
	if decoder.Unmarshal(envelope.Body, &grant) != nil || grant.Site != envelope.Site || grant.Owner != envelope.Owner {
		return
	}
	newest := uint64(0)
	if owner := state.View.Owner(grant.Site); owner != nil {
		newest = owner.Number
	}
	if envelope.Role == state.View.SelfRole() {
		ex := l.ex
		ex.cfg.Loop.Post(func() { ex.cfg.Limiter.ApplyGrant(grant, newest) })
	} else if allocator := l.allocators[envelope.Role.Site]; allocator != nil && allocator.Number() == envelope.Role.Owner {
		allocator.ApplyGrant(grant, newest, now)
	}
}

// NewName notes that a request came under a name of which no allocation is held. It may
// be called on the loop.
func (ex *Exchange) NewName() { ex.limits.tryPut(unknownName{}) }

// LimitsStatus is a front's status of limits, for the admin endpoint.
type LimitsStatus struct {
	Front      string                    `json:"front"`
	AttachedTo string                    `json:"attached_to"`
	Own        []quotalease.BucketReport `json:"own"`
	Sites      map[string][]SiteLimit    `json:"sites,omitempty"`
	Bounds     []string                  `json:"bounds"`
}

// SiteLimit is one limit as a site's owner allocates it.
type SiteLimit = quotalease.LimitStatus

func (l *limitsTask) status(state *FleetState, now Micros) LimitsStatus {
	links := l.ex.links.Load()
	status := LimitsStatus{Front: state.View.Self.Name, Own: l.reports, Bounds: l.ex.section.Load().Bounds(), Sites: map[string][]SiteLimit{}}
	if owner, ok := links.up[state.View.SelfRole()]; ok {
		status.AttachedTo = owner.Name
	}
	for site, allocator := range l.allocators {
		parent := quotalease.Source{}
		if owner := state.View.Owner(site); owner != nil {
			parent = source(links.up[topology.SiteRole(*owner)])
		}
		status.Sites["/"+site] = allocator.Status(parent, now)
	}
	return status
}

// QueryLimits asks for this front's status of limits; answer is called on the loop.
func (ex *Exchange) QueryLimits(answer func(LimitsStatus)) {
	ex.limits.tryPut(limitsQuery{func(status LimitsStatus) { ex.cfg.Loop.Post(func() { answer(status) }) }})
}
