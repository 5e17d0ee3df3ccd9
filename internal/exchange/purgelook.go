package exchange

import (
	"errors"
	"fmt"

	"cherryramp/internal/decide/invalidation"
	"cherryramp/internal/decide/topology"
)

// Purged is what a front tells of one purge.
type PurgeProgress struct {
	ID           string                 `json:"id"`
	RequestKey   string                 `json:"asked"`
	Scope        string                 `json:"scope"`
	Complete     bool                   `json:"complete"`
	Laggards     []invalidation.Laggard `json:"late,omitempty"`
	LaggardCount int                    `json:"lag,omitempty"`
	Detail       string                 `json:"told"`
}

// look answers what a person asks.
func (t *purgeTask) look(s *FleetState, m purgeLook, now Micros) {
	if m.what == "" {
		m.answer(t.book.List(1000, now), nil)
		return
	}
	for _, l := range t.book.List(1<<30, now) {
		if l.ID != m.what && l.RequestKey != m.what {
			continue
		}
		p := PurgeProgress{ID: l.ID, RequestKey: l.RequestKey, Scope: l.Scope, Complete: l.Complete}
		switch {
		case l.Complete:
			p.Detail = "complete: every front of the fleet keeps and obeys it, or surely serves no more"
		case s != nil && t.keepsRoot(s):
			p.Laggards, p.LaggardCount = t.sum.Laggards, t.sum.LaggardCount
			p.Detail = fmt.Sprintf("%d of %d fronts have not acknowledged", p.LaggardCount, t.sum.FrontCount)
		case s != nil:
			g := t.gathers
			for site, x := range g {
				sum := x.Summarize(s.View, s.FrontsChanged, t.book.Received(), staleSpans*t.x.spans().FailoverAfter, now)
				p.Laggards, p.LaggardCount = append(p.Laggards, sum.Laggards...), p.LaggardCount+sum.LaggardCount
				p.Detail += fmt.Sprintf("of site %q %d of %d fronts have not acknowledged; ", site, sum.LaggardCount, sum.FrontCount)
			}
			if k := s.View.Owner(topology.Root); k != nil {
				p.Detail += "ask " + k.Name + ", which keeps the root"
			}
		}
		m.answer(p, nil)
		return
	}
	m.answer(nil, fmt.Errorf("no purge %q is held here", m.what))
}

func (t *purgeTask) keepsRoot(s *FleetState) bool {
	k := s.View.Owner(topology.Root)
	return k != nil && k.Is(s.View.Self.Name, s.View.Self.ID, s.View.Self.Start)
}

// AskPurge asks for a purge; asked again under the same name it is the same one. The
// answer comes on the loop, once it has its number.
func (x *Exchange) RequestPurge(s invalidation.Scope, asked, why string, answer func(invalidation.Purge, error)) {
	ok := x.cfg.Section.Purges != nil && x.purges.offer(purgeAsk{asking{asked, s, why}, func(p invalidation.Purge, err error) {
		x.cfg.Loop.Post(func() { answer(p, err) })
	}})
	if !ok {
		answer(invalidation.Purge{}, errors.New("no purges are taken now"))
	}
}

// LookPurges gives the purges held, or one by its number or the name of its asking.
func (x *Exchange) QueryPurges(what string, answer func(any, error)) {
	ok := x.cfg.Section.Purges != nil && x.purges.offer(purgeLook{what, func(v any, err error) { x.cfg.Loop.Post(func() { answer(v, err) }) }})
	if !ok {
		answer(nil, errors.New("no purges are told now"))
	}
}
