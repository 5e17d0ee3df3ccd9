package exchange

import (
	"errors"
	"fmt"

	"cherryramp/internal/decide/invalidation"
	"cherryramp/internal/decide/topology"
)

// PurgeProgress is the progress of one purge, for the admin endpoint.
type PurgeProgress struct {
	ID           string                 `json:"id"`
	RequestKey   string                 `json:"asked"`
	Scope        string                 `json:"scope"`
	Complete     bool                   `json:"complete"`
	Laggards     []invalidation.Laggard `json:"late,omitempty"`
	LaggardCount int                    `json:"lag,omitempty"`
	Detail       string                 `json:"told"`
}

// query answers a query of the admin endpoint.
func (t *purgeTask) query(state *FleetState, query purgeQuery, now Micros) {
	if query.id == "" {
		query.answer(t.purges.List(1000, now), nil)
		return
	}
	for _, status := range t.purges.List(1<<30, now) {
		if status.ID != query.id && status.RequestKey != query.id {
			continue
		}
		progress := PurgeProgress{ID: status.ID, RequestKey: status.RequestKey, Scope: status.Scope, Complete: status.Complete}
		switch {
		case status.Complete:
			progress.Detail = "complete: every front of the fleet keeps and obeys it, or surely serves no more"
		case state != nil && t.ownsRoot(state):
			progress.Laggards, progress.LaggardCount = t.rootSummary.Laggards, t.rootSummary.LaggardCount
			progress.Detail = fmt.Sprintf("%d of %d fronts have not acknowledged", progress.LaggardCount, t.rootSummary.FrontCount)
		case state != nil:
			collectors := t.collectors
			for site, collector := range collectors {
				summary := collector.Summarize(state.View, state.FrontsChanged, t.purges.Received(), staleFactor*t.ex.topologyConfig().FailoverAfter, now)
				progress.Laggards, progress.LaggardCount = append(progress.Laggards, summary.Laggards...), progress.LaggardCount+summary.LaggardCount
				progress.Detail += fmt.Sprintf("of site %q %d of %d fronts have not acknowledged; ", site, summary.LaggardCount, summary.FrontCount)
			}
			if owner := state.View.Owner(topology.Root); owner != nil {
				progress.Detail += "ask " + owner.Name + ", which keeps the root"
			}
		}
		query.answer(progress, nil)
		return
	}
	query.answer(nil, fmt.Errorf("no purge %q is held here", query.id))
}

func (t *purgeTask) ownsRoot(state *FleetState) bool {
	owner := state.View.Owner(topology.Root)
	return owner != nil && owner.Is(state.View.Self.Name, state.View.Self.ID, state.View.Self.Start)
}

// RequestPurge requests a purge; a request repeated under the same key is the same purge.
// answer is called on the loop once the purge has its number.
func (ex *Exchange) RequestPurge(scope invalidation.Scope, requestKey, reason string, answer func(invalidation.Purge, error)) {
	ok := ex.cfg.Section.Purges != nil && ex.purges.tryPut(purgeSubmit{purgeRequest{requestKey, scope, reason}, func(p invalidation.Purge, err error) {
		ex.cfg.Loop.Post(func() { answer(p, err) })
	}})
	if !ok {
		answer(invalidation.Purge{}, errors.New("no purges are taken now"))
	}
}

// QueryPurges returns the purges held, or the progress of one by its id or request key;
// answer is called on the loop.
func (ex *Exchange) QueryPurges(id string, answer func(any, error)) {
	ok := ex.cfg.Section.Purges != nil && ex.purges.tryPut(purgeQuery{id, func(v any, err error) { ex.cfg.Loop.Post(func() { answer(v, err) }) }})
	if !ok {
		answer(nil, errors.New("no purges are told now"))
	}
}
