package exchange

import (
	"context"
	"slices"

	"cherryramp/internal/decide/outlier"
	"cherryramp/internal/decide/topology"
)

// Observer observes boxes, clients and its own hub. It is called on the loop.
type Observer interface {
	// Observations returns this front's own observations and each hub's number of boxes.
	Observations(front, site string) (list []outlier.Observation, boxes map[string]int)
	// ApplyVerdicts replaces the verdicts in force.
	ApplyVerdicts(list []outlier.HeldVerdict)
}

// verdictsReport is a role's message to its owner, verdictsUpdate the owner's to the role.
type (
	verdictsReport struct {
		Stamp        Micros                `cbor:"1,keyasint"`
		Observations []outlier.Observation `cbor:"2,keyasint,omitempty"`
		Boxes        map[string]int        `cbor:"3,keyasint,omitempty"`
	}
	verdictsUpdate struct {
		Stamp    Micros            `cbor:"1,keyasint"`
		Verdicts []outlier.Verdict `cbor:"2,keyasint,omitempty"`
	}
)

// Messages to the task of verdicts, besides envelopes.
type (
	observations struct {
		list  []outlier.Observation
		boxes map[string]int
	}
	verdictsQuery struct{ answer func(any) }
)

func (observations) replaceKey() string { return "opinions" }

// verdictTask is the task of verdicts. After a restart, its neighbours' next messages
// restore its state.
type verdictTask struct {
	sender
	rules      outlier.Rules
	own        observations
	reports    map[string]*topology.Reports[verdictsReport] // by site
	stamps     map[attachment]Micros
	caches     map[topology.Role]*outlier.VerdictCache
	evaluator  *outlier.Evaluator
	rootNumber uint64
	rounds     int
}

// verdictRounds is the number of rounds between two reports.
const verdictRounds = 2

func (ex *Exchange) newVerdictTask() func(context.Context) handler {
	return func(ctx context.Context) handler {
		return &verdictTask{sender: sender{ex, ctx}, rules: ex.section.Load().Verdicts.Rules(), reports: map[string]*topology.Reports[verdictsReport]{}, stamps: map[attachment]Micros{},
			caches: map[topology.Role]*outlier.VerdictCache{}}
	}
}

func (t *verdictTask) tick() {
	state := t.ex.fleetState.Load()
	if t.rounds++; state == nil || t.rounds%verdictRounds != 0 {
		return
	}
	ex := t.ex
	ex.cfg.Loop.Post(func() {
		list, boxes := ex.cfg.Observer.Observations(state.View.Self.Name, state.View.Self.Site)
		ex.verdicts.tryPut(observations{list, boxes})
	})
}

// publish merges the observations from below, sends them up, and sends verdicts down.
func (t *verdictTask) publish(state *FleetState, now Micros) {
	links := t.ex.links.Load()
	own := state.View.SelfRole()
	t.sendUp(Verdicts, own, verdictsReport{now, t.own.list, t.own.boxes})
	owned := state.View.OwnedBySelf()
	for site := range t.reports {
		if !slices.ContainsFunc(owned, func(owner topology.Owner) bool { return owner.Site == site }) {
			delete(t.reports, site)
		}
	}
	for _, owner := range owned {
		var lists [][]outlier.Observation
		boxes := map[string]int{}
		if reports := t.reports[owner.Site]; reports != nil {
			for _, report := range reports.All(now, t.ex.topologyConfig().FailoverAfter) {
				lists = append(lists, report.Observations)
				for hub, n := range report.Boxes {
					if len(boxes) < outlier.MaxSubjects {
						boxes[hub] = max(boxes[hub], min(n, 1<<16))
					}
				}
			}
		}
		merged := outlier.Merge(lists...)
		var verdicts []outlier.Verdict
		if owner.Site == topology.Root {
			if t.evaluator == nil || t.rootNumber != owner.Number {
				t.evaluator, t.rootNumber = outlier.NewEvaluator(t.rules, owner.Number), owner.Number
				t.evaluator.Disable(outlier.Mutation(without))
			}
			verdicts = t.evaluator.Step(merged, boxes, now)
			if !state.MayActAsOwner(now) { // another owner may evaluate by now
				verdicts = nil
			}
		} else {
			t.sendUp(Verdicts, topology.SiteRole(owner), verdictsReport{now, merged, boxes})
			if cache := t.caches[topology.SiteRole(owner)]; cache != nil {
				verdicts = cache.Active(now)
			}
		}
		for _, role := range links.childrenOf(owner, now, t.ex.topologyConfig().FailoverAfter) {
			if stamp := t.stamps[attachment{role, owner.Number}]; stamp != 0 {
				t.sendDown(Verdicts, role, owner, verdictsUpdate{stamp, verdicts})
			}
		}
	}
	for link := range t.stamps {
		if _, ok := links.children[link]; !ok {
			delete(t.stamps, link)
		}
	}
}

func (t *verdictTask) handle(m any) {
	state, now := t.ex.fleetState.Load(), t.ex.cfg.Now()
	if state == nil {
		return
	}
	switch m := m.(type) {
	case observations:
		t.own = m
		t.publish(state, now)
	case verdictsQuery:
		m.answer(t.status(state, now))
	case Envelope:
		if m.Up {
			var report verdictsReport
			if decoder.Unmarshal(m.Body, &report) != nil {
				return
			}
			if m.Role.Front != "" { // a front counts as one witness, itself, whatever it reports
				for i := range report.Observations {
					report.Observations[i].Count = 1
					report.Observations[i].Witnesses = []outlier.Witness{{Front: m.Role.Front, Site: m.Role.Site, Evidence: evidence(report.Observations[i])}}
					report.Observations[i].Rate = min(report.Observations[i].Rate, t.rules.ForgedRate/float64(t.rules.Witnesses)*2)
				}
			}
			if t.reports[m.Site] == nil {
				t.reports[m.Site] = &topology.Reports[verdictsReport]{}
			}
			t.reports[m.Site].Put(m.Role, m.Seq, report, now)
			t.stamps[attachment{m.Role, m.Owner}] = report.Stamp
			return
		}
		var update verdictsUpdate
		if decoder.Unmarshal(m.Body, &update) != nil {
			return
		}
		if t.caches[m.Role] == nil {
			t.caches[m.Role] = &outlier.VerdictCache{}
		}
		t.caches[m.Role].Update(update.Verdicts, update.Stamp, t.rules.MaxSpan())
		if m.Role == state.View.SelfRole() {
			var held []outlier.HeldVerdict
			for _, v := range t.caches[m.Role].Active(now) {
				held = append(held, outlier.HeldVerdict{Verdict: v, Until: now + v.Remaining})
			}
			ex := t.ex
			ex.cfg.Loop.Post(func() { ex.cfg.Observer.ApplyVerdicts(held) })
		}
		for r := range t.caches {
			if !slices.Contains(roles(state.View), r) {
				delete(t.caches, r)
			}
		}
	}
}

func evidence(observation outlier.Observation) float64 {
	if len(observation.Witnesses) == 0 {
		return 0
	}
	return min(max(0, observation.Witnesses[0].Evidence), 1e6)
}

// VerdictStatus is a verdict, or an observation of this front, for the admin endpoint.
type VerdictStatus struct {
	Subject       string            `json:"thing"`
	State         string            `json:"state"`
	Number        uint64            `json:"number,omitempty"`
	Witnesses     []outlier.Witness `json:"witnesses"`
	Count         int               `json:"count"`
	Sites         int               `json:"sites,omitempty"`
	PossibleSites int               `json:"possible,omitempty"`
	RemainingS    float64           `json:"left_s,omitempty"`
	SpanS         float64           `json:"span_s,omitempty"`
	Factor        float64           `json:"factor,omitempty"`
}

// VerdictsStatus is a front's status of verdicts, for the admin endpoint.
type VerdictsStatus struct {
	Front  string          `json:"front"`
	Active []VerdictStatus `json:"holds"`
	Own    []VerdictStatus `json:"own"`
}

func (t *verdictTask) status(state *FleetState, now Micros) VerdictsStatus {
	out := VerdictsStatus{Front: state.View.Self.Name}
	if cache := t.caches[state.View.SelfRole()]; cache != nil {
		for _, v := range cache.Active(now) {
			out.Active = append(out.Active, VerdictStatus{v.Subject, v.State.String(), v.Number, v.Witnesses, v.Count, v.Sites, v.PossibleSites, float64(v.Remaining) / 1e6, float64(v.Span) / 1e6, v.Factor})
		}
	}
	for _, o := range t.own.list {
		out.Own = append(out.Own, VerdictStatus{Subject: o.Subject, State: o.State.String(), Witnesses: o.Witnesses, Count: o.Count})
	}
	return out
}

// QueryVerdicts asks for this front's status of verdicts; answer is called on the loop.
// It reports whether the query was accepted.
func (ex *Exchange) QueryVerdicts(answer func(any)) bool {
	return ex.cfg.Section.Verdicts != nil && ex.verdicts.tryPut(verdictsQuery{func(v any) { ex.cfg.Loop.Post(func() { answer(v) }) }})
}

// RecordVerdict records in the history that this front starts or stops acting on a
// verdict. Its hub has that many boxes, of which ready are left. It is called on the loop.
func (ex *Exchange) RecordVerdict(verdict outlier.HeldVerdict, active bool, boxes, ready int) {
	if !ex.history.enabled() {
		return
	}
	var names []string
	for _, w := range verdict.Witnesses {
		names = append(names, w.Front)
	}
	remaining := verdict.Until - ex.cfg.Now()
	ex.history.write("verdict", map[string]any{"box": verdict.Subject, "state": verdict.State.String(), "ok": active, "witnesses": names, "sites": verdict.Sites, "possible": verdict.PossibleSites,
		"age_ms": float64(verdict.Span-remaining) / 1000, "bound_ms": float64(verdict.Span) / 1000, "hub": verdict.Hub, "boxes": boxes, "ready": ready})
}
