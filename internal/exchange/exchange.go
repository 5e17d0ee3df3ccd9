// Package exchange carries what the fronts of a fleet tell each other without agreeing
// first: limits, purges, verdicts, latencies, up and down a tree of sites. It decides
// nothing; what follows from what is told is under internal/decide.
//
// It does not run on the front's loop. Its tasks own their state and their sockets and
// talk by messages: one a connection, one for the tree (the hub), one a subject. Each
// mailbox is bounded. A task that panics or stalls is started anew from its last
// snapshot by its supervisor, and the front serves on. A request never waits for any of
// them: what it may spend lies on the loop already.
package exchange

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"cherryramp/internal/config"
	"cherryramp/internal/decide/invalidation"
	"cherryramp/internal/decide/quotalease"
	"cherryramp/internal/decide/topology"
	"cherryramp/internal/link/peers"
)

// Micros is a span, or a moment of this process's clock, in microseconds.
type Micros = int64

// Loop is the front's event loop, as tasks reach it.
type Loop interface {
	Post(do func())
}

// Limiter is what spends parts of limits, on the loop.
type Limiter interface {
	ApplyGrant(g quotalease.Grant, newest uint64)
	Report() []quotalease.BucketReport
	SetFronts(n int)
}

// Obeyer obeys purges, on the loop.
type Invalidator interface {
	// Obey has no copy served any more that is older than the purge, which was asked for
	// so long ago.
	Invalidate(s invalidation.Scope, age Micros)
}

// Config is one front's place in the exchange.
type Config struct {
	Name        string
	Folder      string // of this front alone
	Keys        *peers.Keys
	Address     func(v *topology.View, name string) string // where a front is reached from here
	Section     *config.Exchange
	Now         func() Micros // the clock by which leases are
	Loop        Loop
	Limiter     Limiter
	Invalidator Invalidator

	Observer      Observer
	LatencySource LatencySource

	fault func(task string, message any) // for tests: panics or stalls
}

// Counts are what has gone over the connections, and what was dropped at bounds.
type Counts struct{ Sent, Received, Bytes, Dropped, Restarts atomic.Int64 }

// Standing is what the log says of this front now, as the fleet's driver publishes it.
type FleetState struct {
	View          *topology.View
	FrontsChanged uint64 // index at which the fleet's fronts were last changed
	OwnerUntil    Micros // up to which this front may act as a keeper
	MajorityAsked Micros // a moment before which a majority was asked whether it may
}

// Exchange is one front's part.
type Exchange struct {
	cfg    Config
	log    *slog.Logger
	ctx    context.Context
	cancel context.CancelFunc
	done   <-chan error
	sup    *suture.Supervisor
	counts Counts
	// sequence numbers the messages of this process. It outlives a task that is started anew,
	// and begins above that of the process before.
	sequence atomic.Uint64
	history  *history
	disk     *disk // nil: no purges

	standing atomic.Pointer[FleetState]
	links    atomic.Pointer[links] // who attaches where, by the hub
	open     atomic.Bool           // this front has what it missed, and may serve
	section  atomic.Pointer[config.Exchange]

	hub      *box[any]
	limits   *box[any]
	purges   *box[any]
	verdicts *box[any]
	paths    *box[any]
}

// links is who is attached where now.
type links struct {
	up       map[topology.Role]topology.Owner // of each role of this process
	children map[tie]Micros                   // roles attached to keepers that this process is, and when they were heard
}

// tie is a role that is attached to a keeper, by its number.
type tie struct {
	role   topology.Role
	keeper uint64
}

// without is a rule that this build leaves out, for the checkers' own test; it is set by
// the linker alone: -ldflags "-X cherryramp/internal/exchange.without=over".
var without string

// mailbox is what a subject's task may have waiting.
const mailbox = 4096

// Start starts a front's part. It must be closed.
func Start(cfg Config, log *slog.Logger) (*Exchange, error) {
	ctx, cancel := context.WithCancel(context.Background())
	x := &Exchange{cfg: cfg, log: log, ctx: ctx, cancel: cancel}
	x.section.Store(cfg.Section)
	x.sequence.Store(uint64(time.Now().UnixMicro()))
	x.links.Store(&links{})
	x.open.Store(cfg.Section.Purges == nil)
	var err error
	if x.history, err = openHistory(ctx, cfg.Section.History, cfg.Name); err != nil {
		cancel()
		return nil, fmt.Errorf("exchange: history: %w", err)
	}
	plain := func() *box[any] {
		return newBox(ctx, mailbox, &x.counts.Dropped, func(m any) string {
			if k, ok := m.(interface{ replaces() string }); ok {
				return k.replaces()
			}
			return ""
		})
	}
	x.hub, x.limits, x.purges, x.verdicts, x.paths = plain(), plain(), plain(), plain(), plain()
	x.sup = suture.New("exchange", suture.Spec{EventHook: func(e suture.Event) {
		if e.Type() == suture.EventTypeServicePanic || e.Type() == suture.EventTypeServiceTerminate {
			x.log.Error("exchange: a task is started anew", "event", e.String())
		}
	}, FailureThreshold: 50, FailureBackoff: time.Second, Timeout: 2 * time.Second})
	x.disk, err = openDisk(x, filepath.Join(cfg.Folder, "purges"))
	if err != nil {
		cancel()
		return nil, fmt.Errorf("exchange: purges: %w", err)
	}
	x.sup.Add(&task{x: x, name: "tree", make: func(context.Context) body { return newHub(x) }})
	x.sup.Add(&task{x: x, name: "limits", make: x.newLimits()})
	if cfg.Section.Purges != nil {
		x.sup.Add(&task{x: x, name: "purges", make: x.newPurges(x.disk)})
	}
	if cfg.Section.Verdicts != nil {
		x.sup.Add(&task{x: x, name: "verdicts", make: x.newVerdicts()})
	}
	if cfg.Section.Paths != nil {
		x.sup.Add(&task{x: x, name: "paths", make: x.newPaths()})
	}
	x.done = x.sup.ServeBackground(ctx)
	return x, nil
}

// Know tells what the log says now. The newest takes the place of those before.
func (x *Exchange) SetFleetState(s *FleetState) { x.standing.Store(s) }

// Renew takes a new section over; what needs a restart stays as it was.
func (x *Exchange) Reconfigure(s *config.Exchange) {
	next := *x.section.Load()
	next.Limits = s.Limits
	x.section.Store(&next)
}

// Open tells whether this front has what purges it missed, so that it may serve.
func (x *Exchange) CaughtUp() bool { return x.open.Load() }

func (x *Exchange) fleetID() uint64 {
	if s := x.standing.Load(); s != nil {
		return s.View.FleetID
	}
	return 0
}

// round is the time between two tellings.
func (x *Exchange) round() time.Duration {
	return time.Duration(x.section.Load().RoundMS) * time.Millisecond
}

func (x *Exchange) spans() topology.Config {
	s := x.section.Load()
	return topology.Config{FailoverAfter: Micros(s.FailoverMS) * 1000, FailbackAfter: Micros(s.FailbackMS) * 1000}
}

// May tells whether this process may act as a keeper now.
func (s *FleetState) MayActAsOwner(now Micros) bool { return now < s.OwnerUntil }

// Close ends all tasks.
func (x *Exchange) Close() error {
	x.cancel()
	<-x.done
	err := x.history.close()
	if x.disk != nil {
		err = errors.Join(err, x.disk.j.Close())
	}
	return err
}

// teller sends what one life of a task says. One that was left behind, since it stalled,
// says nothing more: another has begun from its last snapshot.
type teller struct {
	x   *Exchange
	ctx context.Context
}

// up sends what a role has to say to the keeper that it is attached to.
func (t teller) up(subject Subject, r topology.Role, what any) {
	if k, ok := t.x.links.Load().up[r]; ok && t.ctx.Err() == nil {
		t.x.hub.put(goes{Envelope{Subject: subject, Up: true, Role: r, Site: k.Site, Owner: k.Number, Body: encode(what)}})
	}
}

// down sends what a keeper of this process has to say to a role below it.
func (t teller) down(subject Subject, r topology.Role, k topology.Owner, what any) {
	if t.ctx.Err() == nil {
		t.x.hub.put(goes{Envelope{Subject: subject, Role: r, Site: k.Site, Owner: k.Number, Body: encode(what)}})
	}
}

// body is what a task does: messages come from a mailbox, and it is called every round.
type body interface {
	take(message any)
	round()
}

// task runs a body under the supervisor, and has it begun anew where it stalls.
type task struct {
	x    *Exchange
	name string
	make func(ctx context.Context) body
}

// stallMost is for how long a task may be busy with one message.
const stallMost = 2 * time.Second

// began is when this process did, for spans.
var began = time.Now()

// monotonic is a moment that no step of the wall clock moves, in us; never 0.
func monotonic() Micros { return 1 + time.Since(began).Microseconds() }

func (t *task) String() string { return "exchange " + t.name }

func (t *task) box() *box[any] {
	return map[string]*box[any]{"tree": t.x.hub, "limits": t.x.limits, "purges": t.x.purges, "verdicts": t.x.verdicts, "paths": t.x.paths}[t.name]
}

// Serve is part of suture.Service. The work is in a goroutine of its own, so that one
// that stalls can be left behind; whatever that one does later changes nothing here,
// since its context is over.
func (t *task) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var beat atomic.Int64 // since when it is busy; 0: it is not
	ended := make(chan error, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				t.x.counts.Restarts.Add(1)
				ended <- fmt.Errorf("exchange: %s: %v", t.name, p)
			}
		}()
		ended <- t.run(ctx, &beat)
	}()
	look := time.NewTicker(stallMost / 4)
	defer look.Stop()
	for {
		select {
		case err := <-ended:
			return err
		case <-look.C:
			if since := beat.Load(); since != 0 && monotonic()-since > stallMost.Microseconds() {
				t.x.counts.Restarts.Add(1)
				return fmt.Errorf("exchange: %s stalls", t.name)
			}
		}
	}
}

func (t *task) run(ctx context.Context, beat *atomic.Int64) error {
	b := t.make(ctx)
	every := time.NewTicker(t.x.round())
	defer every.Stop()
	box := t.box()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-box.out:
			beat.Store(monotonic())
			if t.x.cfg.fault != nil {
				t.x.cfg.fault(t.name, m)
			}
			if ctx.Err() != nil { // it was left behind meanwhile
				return ctx.Err()
			}
			b.take(m)
		case <-every.C:
			beat.Store(monotonic())
			b.round()
		}
		beat.Store(0)
	}
}
