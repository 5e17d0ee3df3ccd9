package exchange

import (
	"context"
	"slices"

	"cherryramp/internal/decide/outlier"
	"cherryramp/internal/decide/topology"
)

// Witness is what sees boxes, clients and its own hub, on the loop.
type Observer interface {
	// Opinions are this front's own, and how many boxes each hub has.
	Observations(front, site string) (list []outlier.Observation, boxes map[string]int)
	// Judged takes the verdicts that hold now.
	ApplyVerdicts(list []outlier.HeldVerdict)
}

// verdictsUp is what a role says, and verdictsDown what it is told.
type (
	verdictsUp struct {
		Stamp Micros                `cbor:"1,keyasint"`
		List  []outlier.Observation `cbor:"2,keyasint,omitempty"`
		Boxes map[string]int        `cbor:"3,keyasint,omitempty"`
	}
	verdictsDown struct {
		Stamp Micros            `cbor:"1,keyasint"`
		List  []outlier.Verdict `cbor:"2,keyasint,omitempty"`
	}
)

// Messages to the task, beside envelopes.
type (
	opinions struct {
		list  []outlier.Observation
		boxes map[string]int
	}
	verdictsAsk struct{ answer func(any) }
)

func (opinions) replaces() string { return "opinions" }

// verdictTask is the task of verdicts. It keeps nothing that neighbours don't say again.
type verdictTask struct {
	teller
	rules  outlier.Rules
	own    opinions
	said   map[string]*topology.Reports[verdictsUp] // by site
	stamps map[tie]Micros
	docket map[topology.Role]*outlier.VerdictCache
	bench  *outlier.Evaluator
	root   uint64
	rounds int
}

// verdictRounds is the rounds between two tellings.
const verdictRounds = 2

func (x *Exchange) newVerdicts() func(context.Context) body {
	return func(ctx context.Context) body {
		return &verdictTask{teller: teller{x, ctx}, rules: x.section.Load().Verdicts.Rules(), said: map[string]*topology.Reports[verdictsUp]{}, stamps: map[tie]Micros{},
			docket: map[topology.Role]*outlier.VerdictCache{}}
	}
}

func (t *verdictTask) round() {
	s := t.x.standing.Load()
	if t.rounds++; s == nil || t.rounds%verdictRounds != 0 {
		return
	}
	x := t.x
	x.cfg.Loop.Post(func() {
		list, boxes := x.cfg.Observer.Observations(s.View.Self.Name, s.View.Self.Site)
		x.verdicts.offer(opinions{list, boxes})
	})
}

// tell merges what is said below, sends it up, and tells verdicts down.
func (t *verdictTask) tell(s *FleetState, now Micros) {
	links := t.x.links.Load()
	own := s.View.SelfRole()
	t.up(Verdicts, own, verdictsUp{now, t.own.list, t.own.boxes})
	keeps := s.View.OwnedBySelf()
	for site := range t.said {
		if !slices.ContainsFunc(keeps, func(k topology.Owner) bool { return k.Site == site }) {
			delete(t.said, site)
		}
	}
	for _, k := range keeps {
		var lists [][]outlier.Observation
		boxes := map[string]int{}
		if said := t.said[k.Site]; said != nil {
			for _, u := range said.All(now, t.x.spans().FailoverAfter) {
				lists = append(lists, u.List)
				for hub, n := range u.Boxes {
					if len(boxes) < outlier.MaxSubjects {
						boxes[hub] = max(boxes[hub], min(n, 1<<16))
					}
				}
			}
		}
		merged := outlier.Merge(lists...)
		var list []outlier.Verdict
		if k.Site == topology.Root {
			if t.bench == nil || t.root != k.Number {
				t.bench, t.root = outlier.NewEvaluator(t.rules, k.Number), k.Number
				t.bench.Disable(outlier.Mutation(without))
			}
			list = t.bench.Step(merged, boxes, now)
			if !s.MayActAsOwner(now) { // another one may judge by now
				list = nil
			}
		} else {
			t.up(Verdicts, topology.SiteRole(k), verdictsUp{now, merged, boxes})
			if d := t.docket[topology.SiteRole(k)]; d != nil {
				list = d.Active(now)
			}
		}
		for _, r := range links.below(k, now, t.x.spans().FailoverAfter) {
			if stamp := t.stamps[tie{r, k.Number}]; stamp != 0 {
				t.down(Verdicts, r, k, verdictsDown{stamp, list})
			}
		}
	}
	for x := range t.stamps {
		if _, ok := links.children[x]; !ok {
			delete(t.stamps, x)
		}
	}
}

func (t *verdictTask) take(m any) {
	s, now := t.x.standing.Load(), t.x.cfg.Now()
	if s == nil {
		return
	}
	switch m := m.(type) {
	case opinions:
		t.own = m
		t.tell(s, now)
	case verdictsAsk:
		m.answer(t.tells(s, now))
	case Envelope:
		if m.Up {
			var u verdictsUp
			if decoder.Unmarshal(m.Body, &u) != nil {
				return
			}
			if m.Role.Front != "" { // it speaks for itself alone, whatever it says
				for i := range u.List {
					u.List[i].Count = 1
					u.List[i].Witnesses = []outlier.Witness{{Front: m.Role.Front, Site: m.Role.Site, Evidence: evidence(u.List[i])}}
					u.List[i].Rate = min(u.List[i].Rate, t.rules.ForgedRate/float64(t.rules.Witnesses)*2)
				}
			}
			if t.said[m.Site] == nil {
				t.said[m.Site] = &topology.Reports[verdictsUp]{}
			}
			t.said[m.Site].Put(m.Role, m.Seq, u, now)
			t.stamps[tie{m.Role, m.Owner}] = u.Stamp
			return
		}
		var d verdictsDown
		if decoder.Unmarshal(m.Body, &d) != nil {
			return
		}
		if t.docket[m.Role] == nil {
			t.docket[m.Role] = &outlier.VerdictCache{}
		}
		t.docket[m.Role].Update(d.List, d.Stamp, t.rules.MaxSpan())
		if m.Role == s.View.SelfRole() {
			var held []outlier.HeldVerdict
			for _, v := range t.docket[m.Role].Active(now) {
				held = append(held, outlier.HeldVerdict{Verdict: v, Until: now + v.Remaining})
			}
			x := t.x
			x.cfg.Loop.Post(func() { x.cfg.Observer.ApplyVerdicts(held) })
		}
		for r := range t.docket {
			if !slices.Contains(roles(s.View), r) {
				delete(t.docket, r)
			}
		}
	}
}

func evidence(o outlier.Observation) float64 {
	if len(o.Witnesses) == 0 {
		return 0
	}
	return min(max(0, o.Witnesses[0].Evidence), 1e6)
}

// VerdictTold is one verdict, or an opinion of this front's own, for a person.
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

// VerdictsTold is what a front tells of verdicts.
type VerdictsStatus struct {
	Front  string          `json:"front"`
	Active []VerdictStatus `json:"holds"`
	Own    []VerdictStatus `json:"own"`
}

func (t *verdictTask) tells(s *FleetState, now Micros) VerdictsStatus {
	out := VerdictsStatus{Front: s.View.Self.Name}
	if d := t.docket[s.View.SelfRole()]; d != nil {
		for _, v := range d.Active(now) {
			out.Active = append(out.Active, VerdictStatus{v.Subject, v.State.String(), v.Number, v.Witnesses, v.Count, v.Sites, v.PossibleSites, float64(v.Remaining) / 1e6, float64(v.Span) / 1e6, v.Factor})
		}
	}
	for _, o := range t.own.list {
		out.Own = append(out.Own, VerdictStatus{Subject: o.Subject, State: o.State.String(), Witnesses: o.Witnesses, Count: o.Count})
	}
	return out
}

// VerdictsOf asks for what this front knows of verdicts; the answer comes on the loop.
func (x *Exchange) QueryVerdicts(answer func(any)) bool {
	return x.cfg.Section.Verdicts != nil && x.verdicts.offer(verdictsAsk{func(v any) { x.cfg.Loop.Post(func() { answer(v) }) }})
}

// Acted notes for the laboratory that this front acts on a verdict, or does so no more.
// Boxes is how many its hub has, and ready how many of them are left. It is called on the
// loop.
func (x *Exchange) RecordVerdict(v outlier.HeldVerdict, on bool, boxes, ready int) {
	if !x.history.on() {
		return
	}
	var names []string
	for _, w := range v.Witnesses {
		names = append(names, w.Front)
	}
	left := v.Until - x.cfg.Now()
	x.history.write("verdict", map[string]any{"box": v.Subject, "state": v.State.String(), "ok": on, "witnesses": names, "sites": v.Sites, "possible": v.PossibleSites,
		"age_ms": float64(v.Span-left) / 1000, "bound_ms": float64(v.Span) / 1000, "hub": v.Hub, "boxes": boxes, "ready": ready})
}
