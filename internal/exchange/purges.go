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

// asking is a purge on its way to who numbers it.
type asking struct {
	Asked string             `cbor:"1,keyasint"`
	Scope invalidation.Scope `cbor:"2,keyasint"`
	Why   string             `cbor:"3,keyasint,omitempty"`
}

// purgeUp is what a role tells the keeper above it.
type purgeUp struct {
	Marks   invalidation.Watermarks `cbor:"1,keyasint,omitempty"` // what is there
	News    []invalidation.Purge    `cbor:"2,keyasint,omitempty"` // that the keeper lacks
	Gone    invalidation.Watermarks `cbor:"3,keyasint,omitempty"`
	Summary invalidation.Summary    `cbor:"4,keyasint"`
	Asks    []asking                `cbor:"5,keyasint,omitempty"`
	Synced  bool                    `cbor:"6,keyasint,omitempty"` // the front that tells has what it missed
}

// purgeDown is what a keeper tells a role below it.
type purgeDown struct {
	Marks  invalidation.Watermarks `cbor:"1,keyasint,omitempty"`
	News   []invalidation.Purge    `cbor:"2,keyasint,omitempty"`
	Gone   invalidation.Watermarks `cbor:"3,keyasint,omitempty"`
	Whole  invalidation.Watermarks `cbor:"4,keyasint,omitempty"` // up to where complete
	Synced bool                    `cbor:"5,keyasint,omitempty"`
}

// Messages to the task, beside envelopes.
type (
	poke     struct{}
	posted   struct{ do func() } // the disk's word
	obeyed   struct{ list []invalidation.Purge }
	purgeAsk struct {
		a      asking
		answer func(invalidation.Purge, error)
	}
	purgeLook struct {
		what   string
		answer func(any, error)
	}
)

// Bounds.
const (
	mostAsks   = 64
	asksFor    = 10_000_000 // us that a purge waits for its number before who asked is told that it still does
	tellLeast  = 5_000      // us between two tellings where something is new
	tellRounds = 3          // rounds between two tellings where nothing is new
	staleSpans = 3          // passes over, after which a role's word says nothing any more
	rewriteAt  = 4 << 20    // bytes of the disk's file
)

// purgeTask is the task of purges.
type purgeTask struct {
	teller
	flight  *atomic.Pointer[[]invalidation.Purge] // on their way to the disk; that outlives this life of the task
	disk    *disk
	book    *invalidation.PurgeLog
	gathers map[string]*invalidation.AckCollector
	has     map[tie]invalidation.Watermarks // what roles below, and keepers above, have
	above   map[uint64]invalidation.Watermarks
	synced  map[tie]bool
	closing *invalidation.CompletionTracker
	root    uint64 // the number under which this process closes
	asks    []pendingAsk
	waits   map[string]int // purges that are not yet both kept and obeyed: 2 and down
	began   Micros
	opened  bool // what has it serve is on its way to the loop
	seen    bool // the log has had this process for as long as returns says
	since   Micros
	rounds  int
	dirty   bool
	toldAt  Micros
	poked   bool
	sum     invalidation.Summary // of the root, where this process keeps it
}

type pendingAsk struct {
	purgeAsk
	until Micros
}

// newPurges makes the task's body; the book outlives a task that was left behind, as a
// snapshot that is taken when it is begun anew.
func (x *Exchange) newPurges(d *disk) func(context.Context) body {
	first, flight := true, &atomic.Pointer[[]invalidation.Purge]{}
	flight.Store(&[]invalidation.Purge{})
	return func(ctx context.Context) body {
		s := x.section.Load().Purges
		t := &purgeTask{teller: teller{x, ctx}, flight: flight, disk: d, book: invalidation.NewPurgeLog(invalidation.Config{MaxPurges: s.MaxHeld, Retention: Micros(s.RetentionS * 1e6)}), gathers: map[string]*invalidation.AckCollector{},
			has: map[tie]invalidation.Watermarks{}, above: map[uint64]invalidation.Watermarks{}, synced: map[tie]bool{}, waits: map[string]int{}, began: x.cfg.Now()}
		if !first { // what the disk has says all that counted as kept
			d.purges, d.gone = nil, nil
			if err := journal.Scan(filepath.Join(x.cfg.Folder, "purges"), func(rec []byte) error {
				if len(rec) > 1 && rec[0] == recPurge {
					var p invalidation.Purge
					if err := decoder.Unmarshal(rec[1:], &p); err == nil {
						d.purges = append(d.purges, p)
					}
				} else if len(rec) > 1 {
					_ = decoder.Unmarshal(rec[1:], &d.gone)
				}
				return nil
			}); err != nil {
				x.log.Error("exchange: purges: what is on disk can't be read again", "error", err)
			}
		}
		for _, m := range d.gone {
			t.book.RecoverForgotten(m)
		}
		for _, p := range d.purges {
			t.book.Recover(p, t.began)
		}
		if first {
			x.history.write("recovered", map[string]any{"purges": len(d.purges)})
		}
		first = false
		for list := *flight.Load(); len(list) > 0; list = list[min(len(list), invalidation.MaxBatch):] {
			t.book.Receive(list, t.began)
		}
		t.obey()
		return t
	}
}

// obey has what came obeyed on the loop at once, and kept on disk.
func (t *purgeTask) obey() {
	list := t.book.TakePending()
	if len(list) == 0 {
		return
	}
	t.dirty = true
	now, x := t.x.cfg.Now(), t.x
	if t.ctx.Err() == nil {
		next := append(slices.Clone(*t.flight.Load()), list...)
		next = slices.DeleteFunc(next, func(p invalidation.Purge) bool { return p.Number <= t.book.Stored().Of(p.Origin) })
		t.flight.Store(&next)
	}
	for _, p := range list {
		if k := t.book.Stored().Of(p.Origin); p.Number <= k { // recovered: it is on disk
			continue
		}
		t.waits[p.ID()] = 2
		x.history.write("told", map[string]any{"purge": p.ID()})
		t.disk.j.Append(record(recPurge, p), func(err error) {
			if err != nil {
				x.log.Error("exchange: a purge is not kept", "purge", p.ID(), "error", err)
				return // it is not acknowledged, and is told again at the next start
			}
			x.history.write("kept", map[string]any{"purge": p.ID()})
			t.half(p)
		})
	}
	x.cfg.Loop.Post(func() {
		for _, p := range list {
			x.cfg.Invalidator.Invalidate(p.Scope, p.Age+max(0, x.cfg.Now()-now))
			x.history.write("obey", map[string]any{"purge": p.ID(), "scope": p.Scope.String(), "asked": p.RequestKey})
		}
		x.purges.put(obeyed{list})
	})
}

// half notes one of the two that a purge needs to be acknowledged: kept, and obeyed.
func (t *purgeTask) half(p invalidation.Purge) {
	id := p.ID()
	if n, ok := t.waits[id]; !ok {
		return
	} else if n > 1 {
		t.waits[id] = n - 1
		return
	}
	delete(t.waits, id)
	t.book.MarkStored(p.Origin, p.Number)
	t.dirty = true
}

func (t *purgeTask) round() {
	s := t.x.standing.Load()
	if s == nil {
		return
	}
	now := t.x.cfg.Now()
	t.book.Compact(now)
	if floor, ok := t.book.Floor(); ok {
		t.floor(floor, now)
	}
	t.returns(s, now)
	t.number(s, now)
	if t.rounds++; t.dirty || t.rounds >= tellRounds {
		t.tell(s, now)
	}
	t.asks = slices.DeleteFunc(t.asks, func(a pendingAsk) bool {
		if p, ok := t.book.Find(a.a.Asked, now); ok {
			a.answer(p, nil)
			return true
		}
		if now > a.until {
			a.answer(invalidation.Purge{}, errors.New("no number yet: no keeper answers; ask again under the same name"))
		}
		return now > a.until
	})
	if size := t.disk.j.Size(); size > rewriteAt+2*t.disk.rewrote {
		t.rewrite(now)
	}
}

// floor has no copy from before a moment be trusted on the loop.
func (t *purgeTask) floor(at, now Micros) {
	x := t.x
	age := max(0, now-at)
	x.cfg.Loop.Post(func() { x.cfg.Invalidator.Invalidate(invalidation.Scope{Kind: invalidation.All}, age) })
}

// returns opens the front once it has what it missed: as much as a keeper has that is
// open itself, or, after a while, by trusting no copy from before.
func (t *purgeTask) returns(s *FleetState, now Micros) {
	if t.x.open.Load() || t.opened || !s.View.Registered {
		return
	}
	if !t.seen {
		t.seen, t.since = true, now
	}
	if now-t.since < Micros(t.x.section.Load().Purges.CatchUpS*1e6) {
		return
	}
	t.book.DistrustBefore(now)
	t.floor(now, now)
	t.opens("by copies from now on", now)
}

func (t *purgeTask) opens(how string, now Micros) {
	t.opened = true
	t.x.history.write("open", map[string]any{"state": how})
	t.x.log.Info("exchange: the front serves", "purges", how)
	x := t.x
	x.cfg.Loop.Post(func() { x.open.Store(true) }) // behind what the loop has to obey
}

// keeperFor is who numbers a purge asked here: the keeper that this front is attached to.
func (t *purgeTask) keeperFor(s *FleetState) (k topology.Owner, own, ok bool) {
	k, ok = t.x.links.Load().up[s.View.SelfRole()]
	return k, ok && k.Is(s.View.Self.Name, s.View.Self.ID, s.View.Self.Start), ok
}

// number gives purges asked here their number, or has them go to who does.
func (t *purgeTask) number(s *FleetState, now Micros) {
	if len(t.asks) == 0 {
		return
	}
	k, own, ok := t.keeperFor(s)
	if !ok {
		return
	}
	if own {
		for _, a := range t.asks {
			t.ask(k, a.a, now)
		}
	} else {
		t.dirty = true
	}
}

func (t *purgeTask) ask(k topology.Owner, a asking, now Micros) {
	t.book.Submit(invalidation.Origin{Site: k.Site, Owner: k.Number}, a.Scope, a.Asked, a.Why, now)
	t.obey()
}

// own is this front's own acknowledgement.
func (t *purgeTask) own(s *FleetState) invalidation.Summary {
	return invalidation.Summary{Index: s.View.Index, Stored: t.book.Stored(), FrontCount: 1}
}

// tell tells neighbours what they lack, and what is acknowledged.
func (t *purgeTask) tell(s *FleetState, now Micros) {
	t.rounds, t.dirty, t.toldAt = 0, false, now
	links := t.x.links.Load()
	stale := staleSpans * t.x.spans().FailoverAfter
	own := s.View.OwnedBySelf()
	marks := t.book.Received()
	for site := range t.gathers {
		if !slices.ContainsFunc(own, func(k topology.Owner) bool { return k.Site == site }) {
			delete(t.gathers, site)
		}
	}
	for _, k := range own { // the deepest first, so that what is acknowledged goes up at once
		g := t.gather(k)
		g.Prune(s.View)
		sum := g.Summarize(s.View, s.FrontsChanged, marks, stale, now)
		if k.Site == topology.Root {
			t.sum = sum
			if t.closing == nil || t.root != k.Number {
				t.closing, t.root = &invalidation.CompletionTracker{}, k.Number
			}
			if s.MayActAsOwner(now) {
				before := t.book.Completed()
				t.book.MarkComplete(t.closing.Step(sum.Stored, s.MajorityAsked, now))
				t.completed(before)
			}
		} else {
			t.up(topology.SiteRole(k), links.up[topology.SiteRole(k)], sum, now)
		}
		whole := t.book.Completed()
		for _, r := range links.below(k, now, t.x.spans().FailoverAfter) {
			if r == s.View.SelfRole() { // it is this process
				g.Record(r, uint64(now), t.own(s), now)
				continue
			}
			if c := s.View.Owner(r.Site); r.Front == "" && c != nil && c.Is(s.View.Self.Name, s.View.Self.ID, s.View.Self.Start) {
				continue // it has the same book; its acknowledgement comes by up
			}
			x := tie{r, k.Number}
			news, gone := t.book.MissingFrom(t.has[x], now)
			t.down(Purges, r, k, purgeDown{Marks: marks, News: news, Gone: gone, Whole: whole, Synced: t.x.open.Load()})
			if len(news) > 0 {
				t.has[x] = with(t.has[x], news) // told once; what it says next counts again
			}
		}
	}
	if k, self, ok := t.keeperFor(s); ok && !self {
		t.up(s.View.SelfRole(), k, t.own(s), now)
	}
	for x := range t.has {
		if _, ok := links.children[x]; !ok {
			delete(t.has, x)
			delete(t.synced, x)
		}
	}
}

// with is marks after news that follow them without a gap.
func with(m invalidation.Watermarks, news []invalidation.Purge) invalidation.Watermarks {
	m = slices.Clone(m)
	for _, p := range news {
		i := slices.IndexFunc(m, func(x invalidation.Watermark) bool { return x.Origin == p.Origin })
		switch {
		case i >= 0 && m[i].Number+1 == p.Number:
			m[i].Number++
		case i < 0 && p.Number == 1:
			m = append(m, invalidation.Watermark{Origin: p.Origin, Number: 1})
			invalidation.SortWatermarks(m)
		}
	}
	return m
}

func (t *purgeTask) gather(k topology.Owner) *invalidation.AckCollector {
	g := t.gathers[k.Site]
	if g == nil {
		g = invalidation.NewAckCollector(k.Site)
		g.Disable(invalidation.Mutation(without))
		t.gathers[k.Site] = g
	}
	return g
}

func (t *purgeTask) up(r topology.Role, k topology.Owner, sum invalidation.Summary, now Micros) {
	u := purgeUp{Marks: t.book.Received(), Summary: sum, Synced: t.x.open.Load()}
	u.News, u.Gone = t.book.MissingFrom(t.above[k.Number], now)
	if len(u.News) > 0 {
		t.above[k.Number] = with(t.above[k.Number], u.News)
	}
	if r.Front != "" {
		for _, a := range t.asks[:min(len(t.asks), mostAsks)] {
			u.Asks = append(u.Asks, a.a)
		}
	}
	t.teller.up(Purges, r, u)
}

// completed writes which purges have become complete.
func (t *purgeTask) completed(before invalidation.Watermarks) {
	if !t.x.history.on() {
		return
	}
	for _, m := range t.book.Completed() {
		for n := before.Of(m.Origin) + 1; n <= m.Number; n++ {
			p := invalidation.Purge{Origin: m.Origin, Number: n}
			t.x.history.write("complete", map[string]any{"purge": p.ID()})
		}
	}
}

func (t *purgeTask) take(m any) {
	s := t.x.standing.Load()
	now := t.x.cfg.Now()
	switch m := m.(type) {
	case poke:
		t.poked = false
	case posted:
		m.do()
	case obeyed:
		for _, p := range m.list {
			t.half(p)
		}
	case purgeAsk:
		if p, ok := t.book.Find(m.a.Asked, now); ok {
			m.answer(p, nil)
			return
		}
		if len(t.asks) >= mostAsks*16 {
			m.answer(invalidation.Purge{}, errors.New("too many purges wait for their number"))
			return
		}
		t.x.history.write("ask", map[string]any{"asked": m.a.Asked, "scope": m.a.Scope.String()})
		t.asks = append(t.asks, pendingAsk{m, now + asksFor})
		if s != nil {
			t.round()
		}
	case purgeLook:
		t.look(s, m, now)
	case Envelope:
		if s != nil {
			t.came(s, m, now)
		}
	}
	if s == nil || !t.dirty {
		return
	}
	// What is new is told at once, but not over and over while answers to it come.
	if now-t.toldAt >= tellLeast {
		t.round()
	} else if !t.poked {
		t.poked = true
		x := t.x
		time.AfterFunc(time.Duration(tellLeast)*time.Microsecond, func() { x.purges.put(poke{}) })
	}
}

func (t *purgeTask) came(s *FleetState, e Envelope, now Micros) {
	x := tie{e.Role, e.Owner}
	before := t.book.Completed()
	if e.Up {
		var u purgeUp
		if decoder.Unmarshal(e.Body, &u) != nil {
			return
		}
		k := s.View.Owner(e.Site)
		t.book.Receive(u.News, now)
		t.book.HandleForgotten(u.Gone, now)
		t.has[x], t.synced[x] = u.Marks, u.Synced
		t.gather(*k).Record(e.Role, e.Seq, u.Summary, now)
		for _, a := range u.Asks[:min(len(u.Asks), mostAsks)] {
			if sc, err := invalidation.ParseScope(a.Scope.Kind.String(), a.Scope.Name); err == nil {
				t.book.Submit(invalidation.Origin{Site: k.Site, Owner: k.Number}, sc, a.Asked, a.Why, now)
			}
		}
		t.obey()
		t.syncedBy(s, u.Marks, u.Synced, now)
		if _, gone := t.book.MissingFrom(u.Marks, now); len(gone) > 0 || !t.book.Received().Equal(u.Marks) {
			t.dirty = true
		}
		return
	}
	var d purgeDown
	if decoder.Unmarshal(e.Body, &d) != nil {
		return
	}
	t.book.Receive(d.News, now)
	t.book.HandleForgotten(d.Gone, now)
	t.above[e.Owner] = d.Marks
	if len(t.above) > 64 {
		clear(t.above)
	}
	t.obey()
	t.book.MarkComplete(d.Whole)
	t.completed(before)
	t.syncedBy(s, d.Marks, d.Synced, now)
	if len(d.News) > 0 {
		t.dirty = true
	}
}

// syncedBy opens the front once all is here that one has who serves already. Every
// purge that is complete is among that.
func (t *purgeTask) syncedBy(s *FleetState, marks invalidation.Watermarks, serves bool, now Micros) {
	if t.x.open.Load() || t.opened || !serves || !s.View.Registered {
		return
	}
	have := t.book.Received()
	for _, m := range marks {
		if have.Of(m.Origin) < m.Number {
			return
		}
	}
	t.opens("all that was missed is here", now)
}
