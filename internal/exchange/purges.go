package exchange

import (
	"context"
	"errors"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"cherryramp/internal/decide/invalidation"
	"cherryramp/internal/decide/topology"
	"cherryramp/internal/journal"
)

// purgeRequest is a purge on its way to the owner that numbers it.
type purgeRequest struct {
	RequestKey string             `cbor:"1,keyasint"`
	Scope      invalidation.Scope `cbor:"2,keyasint"`
	Reason     string             `cbor:"3,keyasint,omitempty"`
}

// purgeReport is a role's message to the owner above it.
type purgeReport struct {
	Received  invalidation.Watermarks `cbor:"1,keyasint,omitempty"` // up to where the role has purges
	Purges    []invalidation.Purge    `cbor:"2,keyasint,omitempty"` // those that the owner lacks
	Forgotten invalidation.Watermarks `cbor:"3,keyasint,omitempty"`
	Summary   invalidation.Summary    `cbor:"4,keyasint"`
	Requests  []purgeRequest          `cbor:"5,keyasint,omitempty"`
	CaughtUp  bool                    `cbor:"6,keyasint,omitempty"` // the reporting front has the purges that it missed
}

// purgeUpdate is an owner's message to a role below it.
type purgeUpdate struct {
	Received  invalidation.Watermarks `cbor:"1,keyasint,omitempty"`
	Purges    []invalidation.Purge    `cbor:"2,keyasint,omitempty"`
	Forgotten invalidation.Watermarks `cbor:"3,keyasint,omitempty"`
	Completed invalidation.Watermarks `cbor:"4,keyasint,omitempty"` // up to where purges are complete
	CaughtUp  bool                    `cbor:"5,keyasint,omitempty"`
}

// Messages to the task of purges, besides envelopes.
type (
	wakeup      struct{}
	callback    struct{ do func() } // a result from the journal
	applied     struct{ list []invalidation.Purge }
	purgeSubmit struct {
		request purgeRequest
		answer  func(invalidation.Purge, error)
	}
	purgeQuery struct {
		id     string
		answer func(any, error)
	}
)

// Bounds.
const (
	maxRequests       = 64
	requestTimeout    = 10_000_000 // us that a purge may wait for its number before the requester gets an error
	minReportInterval = 5_000      // us between two reports while there are changes
	idleReportRounds  = 3          // rounds between two reports without changes
	staleFactor       = 3          // times FailoverAfter, after which a role's acknowledgement is stale
	rewriteSize       = 4 << 20    // bytes of the file from which it is rewritten
)

// purgeTask is the task of purges.
type purgeTask struct {
	sender
	unstored        *atomic.Pointer[[]invalidation.Purge] // not yet stored on disk; shared by all runs of the task
	store           *purgeStore
	purges          *invalidation.PurgeLog
	collectors      map[string]*invalidation.AckCollector
	childWatermarks map[attachment]invalidation.Watermarks // what the roles below have
	ownerWatermarks map[uint64]invalidation.Watermarks
	childCaughtUp   map[attachment]bool
	tracker         *invalidation.CompletionTracker
	rootNumber      uint64 // the owner number to which tracker belongs
	requests        []pendingRequest
	pendingAcks     map[string]int // steps left, of stored and applied, until a purge is acknowledged: 2 or 1
	startedAt       Micros
	opening         bool // opening the front was posted to the loop
	registered      bool // the log was seen to list this process, at registeredAt
	registeredAt    Micros
	rounds          int
	dirty           bool
	reportedAt      Micros
	wakeupPending   bool
	rootSummary     invalidation.Summary // the root's, if this process owns it
}

type pendingRequest struct {
	purgeSubmit
	deadline Micros
}

// newPurgeTask returns the constructor of the task's handler. When a task is restarted,
// its purges are recovered from the file and from those not yet stored.
func (ex *Exchange) newPurgeTask(store *purgeStore) func(context.Context) handler {
	first, unstored := true, &atomic.Pointer[[]invalidation.Purge]{}
	unstored.Store(&[]invalidation.Purge{})
	return func(ctx context.Context) handler {
		settings := ex.section.Load().Purges
		t := &purgeTask{sender: sender{ex, ctx}, unstored: unstored, store: store, purges: invalidation.NewPurgeLog(invalidation.Config{MaxPurges: settings.MaxHeld, Retention: Micros(settings.RetentionS * 1e6)}), collectors: map[string]*invalidation.AckCollector{},
			childWatermarks: map[attachment]invalidation.Watermarks{}, ownerWatermarks: map[uint64]invalidation.Watermarks{}, childCaughtUp: map[attachment]bool{}, pendingAcks: map[string]int{}, startedAt: ex.cfg.Now()}
		if !first { // the file holds all that counted as stored
			store.purges, store.forgotten = nil, nil
			if err := journal.Scan(filepath.Join(ex.cfg.Folder, "purges"), func(record []byte) error {
				if len(record) > 1 && record[0] == recordPurge {
					var p invalidation.Purge
					if err := decoder.Unmarshal(record[1:], &p); err == nil {
						store.purges = append(store.purges, p)
					}
				} else if len(record) > 1 {
					_ = decoder.Unmarshal(record[1:], &store.forgotten)
				}
				return nil
			}); err != nil {
				ex.log.Error("exchange: purges: what is on disk can't be read again", "error", err)
			}
		}
		for _, watermark := range store.forgotten {
			t.purges.RecoverForgotten(watermark)
		}
		for _, p := range store.purges {
			t.purges.Recover(p, t.startedAt)
		}
		if first {
			ex.history.write("recovered", map[string]any{"purges": len(store.purges)})
		}
		first = false
		for list := *unstored.Load(); len(list) > 0; list = list[min(len(list), invalidation.MaxBatch):] {
			t.purges.Receive(list, t.startedAt)
		}
		t.applyPending()
		return t
	}
}

// applyPending applies newly received purges on the loop and stores them on disk.
func (t *purgeTask) applyPending() {
	pending := t.purges.TakePending()
	if len(pending) == 0 {
		return
	}
	t.dirty = true
	now, ex := t.ex.cfg.Now(), t.ex
	if t.ctx.Err() == nil {
		next := append(slices.Clone(*t.unstored.Load()), pending...)
		next = slices.DeleteFunc(next, func(p invalidation.Purge) bool { return p.Number <= t.purges.Stored().Of(p.Origin) })
		t.unstored.Store(&next)
	}
	for _, p := range pending {
		if stored := t.purges.Stored().Of(p.Origin); p.Number <= stored { // recovered from disk
			continue
		}
		t.pendingAcks[p.ID()] = 2
		ex.history.write("told", map[string]any{"purge": p.ID()})
		t.store.journal.Append(encodeRecord(recordPurge, p), func(err error) {
			if err != nil {
				ex.log.Error("exchange: a purge is not kept", "purge", p.ID(), "error", err)
				return // it is not acknowledged, and is sent again after the next start
			}
			ex.history.write("kept", map[string]any{"purge": p.ID()})
			t.finishStep(p)
		})
	}
	ex.cfg.Loop.Post(func() {
		for _, p := range pending {
			ex.cfg.Invalidator.Invalidate(p.Scope, p.Age+max(0, ex.cfg.Now()-now))
			ex.history.write("obey", map[string]any{"purge": p.ID(), "scope": p.Scope.String(), "asked": p.RequestKey})
		}
		ex.purges.put(applied{pending})
	})
}

// finishStep notes one of the two steps that a purge needs to be acknowledged: stored,
// and applied.
func (t *purgeTask) finishStep(p invalidation.Purge) {
	id := p.ID()
	if n, ok := t.pendingAcks[id]; !ok {
		return
	} else if n > 1 {
		t.pendingAcks[id] = n - 1
		return
	}
	delete(t.pendingAcks, id)
	t.purges.MarkStored(p.Origin, p.Number)
	t.dirty = true
}

func (t *purgeTask) tick() {
	state := t.ex.fleetState.Load()
	if state == nil {
		return
	}
	now := t.ex.cfg.Now()
	t.purges.Compact(now)
	if floor, ok := t.purges.Floor(); ok {
		t.distrustBefore(floor, now)
	}
	t.openAfterWait(state, now)
	t.submitRequests(state, now)
	if t.rounds++; t.dirty || t.rounds >= idleReportRounds {
		t.report(state, now)
	}
	t.requests = slices.DeleteFunc(t.requests, func(request pendingRequest) bool {
		if p, ok := t.purges.Find(request.request.RequestKey, now); ok {
			request.answer(p, nil)
			return true
		}
		if now > request.deadline {
			request.answer(invalidation.Purge{}, errors.New("no number yet: no keeper answers; ask again under the same name"))
		}
		return now > request.deadline
	})
	if size := t.store.journal.Size(); size > rewriteSize+2*t.store.rewrittenBytes {
		t.rewrite(now)
	}
}

// distrustBefore invalidates, on the loop, all copies from before a time.
func (t *purgeTask) distrustBefore(at, now Micros) {
	ex := t.ex
	age := max(0, now-at)
	ex.cfg.Loop.Post(func() { ex.cfg.Invalidator.Invalidate(invalidation.Scope{Kind: invalidation.All}, age) })
}

// openAfterWait opens the front if no neighbour has brought it up to date within
// return_s: it then trusts no copy from before now.
func (t *purgeTask) openAfterWait(state *FleetState, now Micros) {
	if t.ex.caughtUp.Load() || t.opening || !state.View.Registered {
		return
	}
	if !t.registered {
		t.registered, t.registeredAt = true, now
	}
	if now-t.registeredAt < Micros(t.ex.section.Load().Purges.CatchUpS*1e6) {
		return
	}
	t.purges.DistrustBefore(now)
	t.distrustBefore(now, now)
	t.openFront("by copies from now on", now)
}

func (t *purgeTask) openFront(how string, now Micros) {
	t.opening = true
	t.ex.history.write("open", map[string]any{"state": how})
	t.ex.log.Info("exchange: the front serves", "purges", how)
	ex := t.ex
	ex.cfg.Loop.Post(func() { ex.caughtUp.Store(true) }) // after the purges posted before it
}

// numberingOwner returns the owner that numbers purges requested here, which is the one
// that this front is attached to, and whether that is this process itself.
func (t *purgeTask) numberingOwner(state *FleetState) (owner topology.Owner, self, ok bool) {
	owner, ok = t.ex.links.Load().up[state.View.SelfRole()]
	return owner, ok && owner.Is(state.View.Self.Name, state.View.Self.ID, state.View.Self.Start), ok
}

// submitRequests numbers the purges requested here, or marks them to be sent to the owner
// that does.
func (t *purgeTask) submitRequests(state *FleetState, now Micros) {
	if len(t.requests) == 0 {
		return
	}
	owner, self, ok := t.numberingOwner(state)
	if !ok {
		return
	}
	if self {
		for _, request := range t.requests {
			t.submit(owner, request.request, now)
		}
	} else {
		t.dirty = true
	}
}

func (t *purgeTask) submit(owner topology.Owner, request purgeRequest, now Micros) {
	t.purges.Submit(invalidation.Origin{Site: owner.Site, Owner: owner.Number}, request.Scope, request.RequestKey, request.Reason, now)
	t.applyPending()
}

// ownSummary returns this front's own acknowledgement.
func (t *purgeTask) ownSummary(state *FleetState) invalidation.Summary {
	return invalidation.Summary{Index: state.View.Index, Stored: t.purges.Stored(), FrontCount: 1}
}

// report sends neighbours the purges that they lack, and what is acknowledged.
func (t *purgeTask) report(state *FleetState, now Micros) {
	t.rounds, t.dirty, t.reportedAt = 0, false, now
	links := t.ex.links.Load()
	stale := staleFactor * t.ex.topologyConfig().FailoverAfter
	owned := state.View.OwnedBySelf()
	received := t.purges.Received()
	for site := range t.collectors {
		if !slices.ContainsFunc(owned, func(owner topology.Owner) bool { return owner.Site == site }) {
			delete(t.collectors, site)
		}
	}
	for _, owner := range owned { // deepest first, so that acknowledgements go up in the same pass
		collector := t.collector(owner)
		collector.Prune(state.View)
		summary := collector.Summarize(state.View, state.FrontsChanged, received, stale, now)
		if owner.Site == topology.Root {
			t.rootSummary = summary
			if t.tracker == nil || t.rootNumber != owner.Number {
				t.tracker, t.rootNumber = &invalidation.CompletionTracker{}, owner.Number
			}
			if state.MayActAsOwner(now) {
				before := t.purges.Completed()
				t.purges.MarkComplete(t.tracker.Step(summary.Stored, state.MajorityAsked, now))
				t.recordCompleted(before)
			}
		} else {
			t.sendReport(topology.SiteRole(owner), links.up[topology.SiteRole(owner)], summary, now)
		}
		completed := t.purges.Completed()
		for _, role := range links.childrenOf(owner, now, t.ex.topologyConfig().FailoverAfter) {
			if role == state.View.SelfRole() { // this process itself
				collector.Record(role, uint64(now), t.ownSummary(state), now)
				continue
			}
			if child := state.View.Owner(role.Site); role.Front == "" && child != nil && child.Is(state.View.Self.Name, state.View.Self.ID, state.View.Self.Start) {
				continue // it shares these purges, and acknowledges by sendReport
			}
			link := attachment{role, owner.Number}
			missing, forgotten := t.purges.MissingFrom(t.childWatermarks[link], now)
			t.sendDown(Purges, role, owner, purgeUpdate{Received: received, Purges: missing, Forgotten: forgotten, Completed: completed, CaughtUp: t.ex.caughtUp.Load()})
			if len(missing) > 0 {
				t.childWatermarks[link] = advance(t.childWatermarks[link], missing) // sent once; its next report replaces this
			}
		}
	}
	if owner, self, ok := t.numberingOwner(state); ok && !self {
		t.sendReport(state.View.SelfRole(), owner, t.ownSummary(state), now)
	}
	for link := range t.childWatermarks {
		if _, ok := links.children[link]; !ok {
			delete(t.childWatermarks, link)
			delete(t.childCaughtUp, link)
		}
	}
}

// advance returns watermarks advanced over purges that follow them without a gap.
func advance(watermarks invalidation.Watermarks, purges []invalidation.Purge) invalidation.Watermarks {
	watermarks = slices.Clone(watermarks)
	for _, p := range purges {
		i := slices.IndexFunc(watermarks, func(x invalidation.Watermark) bool { return x.Origin == p.Origin })
		switch {
		case i >= 0 && watermarks[i].Number+1 == p.Number:
			watermarks[i].Number++
		case i < 0 && p.Number == 1:
			watermarks = append(watermarks, invalidation.Watermark{Origin: p.Origin, Number: 1})
			invalidation.SortWatermarks(watermarks)
		}
	}
	return watermarks
}

func (t *purgeTask) collector(owner topology.Owner) *invalidation.AckCollector {
	collector := t.collectors[owner.Site]
	if collector == nil {
		collector = invalidation.NewAckCollector(owner.Site)
		collector.Disable(invalidation.Mutation(without))
		t.collectors[owner.Site] = collector
	}
	return collector
}

func (t *purgeTask) sendReport(role topology.Role, owner topology.Owner, summary invalidation.Summary, now Micros) {
	report := purgeReport{Received: t.purges.Received(), Summary: summary, CaughtUp: t.ex.caughtUp.Load()}
	report.Purges, report.Forgotten = t.purges.MissingFrom(t.ownerWatermarks[owner.Number], now)
	if len(report.Purges) > 0 {
		t.ownerWatermarks[owner.Number] = advance(t.ownerWatermarks[owner.Number], report.Purges)
	}
	if role.Front != "" {
		for _, request := range t.requests[:min(len(t.requests), maxRequests)] {
			report.Requests = append(report.Requests, request.request)
		}
	}
	t.sender.sendUp(Purges, role, report)
}

// recordCompleted records in the history the purges that have become complete.
func (t *purgeTask) recordCompleted(before invalidation.Watermarks) {
	if !t.ex.history.enabled() {
		return
	}
	for _, m := range t.purges.Completed() {
		for n := before.Of(m.Origin) + 1; n <= m.Number; n++ {
			p := invalidation.Purge{Origin: m.Origin, Number: n}
			t.ex.history.write("complete", map[string]any{"purge": p.ID()})
		}
	}
}

func (t *purgeTask) handle(m any) {
	state := t.ex.fleetState.Load()
	now := t.ex.cfg.Now()
	switch m := m.(type) {
	case wakeup:
		t.wakeupPending = false
	case callback:
		m.do()
	case applied:
		for _, p := range m.list {
			t.finishStep(p)
		}
	case purgeSubmit:
		if p, ok := t.purges.Find(m.request.RequestKey, now); ok {
			m.answer(p, nil)
			return
		}
		if len(t.requests) >= maxRequests*16 {
			m.answer(invalidation.Purge{}, errors.New("too many purges wait for their number"))
			return
		}
		t.ex.history.write("ask", map[string]any{"asked": m.request.RequestKey, "scope": m.request.Scope.String()})
		t.requests = append(t.requests, pendingRequest{m, now + requestTimeout})
		if state != nil {
			t.tick()
		}
	case purgeQuery:
		t.query(state, m, now)
	case Envelope:
		if state != nil {
			t.receive(state, m, now)
		}
	}
	if state == nil || !t.dirty {
		return
	}
	// Changes are reported at once, but no more often than every minReportInterval while
	// replies to them arrive.
	if now-t.reportedAt >= minReportInterval {
		t.tick()
	} else if !t.wakeupPending {
		t.wakeupPending = true
		ex := t.ex
		time.AfterFunc(time.Duration(minReportInterval)*time.Microsecond, func() { ex.purges.put(wakeup{}) })
	}
}

func (t *purgeTask) receive(state *FleetState, envelope Envelope, now Micros) {
	link := attachment{envelope.Role, envelope.Owner}
	before := t.purges.Completed()
	if envelope.Up {
		var report purgeReport
		if decoder.Unmarshal(envelope.Body, &report) != nil {
			return
		}
		owner := state.View.Owner(envelope.Site)
		t.purges.Receive(report.Purges, now)
		t.purges.HandleForgotten(report.Forgotten, now)
		t.childWatermarks[link], t.childCaughtUp[link] = report.Received, report.CaughtUp
		t.collector(*owner).Record(envelope.Role, envelope.Seq, report.Summary, now)
		for _, request := range report.Requests[:min(len(report.Requests), maxRequests)] {
			if scope, err := invalidation.ParseScope(request.Scope.Kind.String(), request.Scope.Name); err == nil {
				t.purges.Submit(invalidation.Origin{Site: owner.Site, Owner: owner.Number}, scope, request.RequestKey, request.Reason, now)
			}
		}
		t.applyPending()
		t.openIfCaughtUp(state, report.Received, report.CaughtUp, now)
		if _, forgotten := t.purges.MissingFrom(report.Received, now); len(forgotten) > 0 || !t.purges.Received().Equal(report.Received) {
			t.dirty = true
		}
		return
	}
	var update purgeUpdate
	if decoder.Unmarshal(envelope.Body, &update) != nil {
		return
	}
	t.purges.Receive(update.Purges, now)
	t.purges.HandleForgotten(update.Forgotten, now)
	t.ownerWatermarks[envelope.Owner] = update.Received
	if len(t.ownerWatermarks) > 64 {
		clear(t.ownerWatermarks)
	}
	t.applyPending()
	t.purges.MarkComplete(update.Completed)
	t.recordCompleted(before)
	t.openIfCaughtUp(state, update.Received, update.CaughtUp, now)
	if len(update.Purges) > 0 {
		t.dirty = true
	}
}

// openIfCaughtUp opens the front once it has every purge of a neighbour that already
// serves. These include all complete purges.
func (t *purgeTask) openIfCaughtUp(state *FleetState, peerWatermarks invalidation.Watermarks, caughtUp bool, now Micros) {
	if t.ex.caughtUp.Load() || t.opening || !caughtUp || !state.View.Registered {
		return
	}
	received := t.purges.Received()
	for _, m := range peerWatermarks {
		if received.Of(m.Origin) < m.Number {
			return
		}
	}
	t.openFront("all that was missed is here", now)
}
