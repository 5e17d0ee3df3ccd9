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

	injectFault func(task string, message any) // for tests: panics or stalls
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
	cfg        Config
	log        *slog.Logger
	ctx        context.Context
	cancel     context.CancelFunc
	serveDone  <-chan error
	supervisor *suture.Supervisor
	counts     Counts
	// sequence numbers the messages of this process. It outlives a task that is started anew,
	// and begins above that of the process before.
	sequence   atomic.Uint64
	history    *history
	purgeStore *purgeStore // nil: no purges

	fleetState atomic.Pointer[FleetState]
	links      atomic.Pointer[links] // who attaches where, by the hub
	caughtUp   atomic.Bool           // this front has what it missed, and may serve
	section    atomic.Pointer[config.Exchange]

	dispatcher *mailbox[any]
	limits     *mailbox[any]
	purges     *mailbox[any]
	verdicts   *mailbox[any]
	paths      *mailbox[any]
}

// links is who is attached where now.
type links struct {
	up       map[topology.Role]topology.Owner // of each role of this process
	children map[attachment]Micros            // roles attached to keepers that this process is, and when they were heard
}

// tie is a role that is attached to a keeper, by its number.
type attachment struct {
	role  topology.Role
	owner uint64
}

// without is a rule that this build leaves out, for the checkers' own test; it is set by
// the linker alone: -ldflags "-X cherryramp/internal/exchange.without=over".
var without string

// mailbox is what a subject's task may have waiting.
const mailboxSize = 4096

// Start starts a front's part. It must be closed.
func Start(cfg Config, log *slog.Logger) (*Exchange, error) {
	ctx, cancel := context.WithCancel(context.Background())
	ex := &Exchange{cfg: cfg, log: log, ctx: ctx, cancel: cancel}
	ex.section.Store(cfg.Section)
	ex.sequence.Store(uint64(time.Now().UnixMicro()))
	ex.links.Store(&links{})
	ex.caughtUp.Store(cfg.Section.Purges == nil)
	var err error
	if ex.history, err = openHistory(ctx, cfg.Section.History, cfg.Name); err != nil {
		cancel()
		return nil, fmt.Errorf("exchange: history: %w", err)
	}
	newTaskMailbox := func() *mailbox[any] {
		return newMailbox(ctx, mailboxSize, &ex.counts.Dropped, func(m any) string {
			if k, ok := m.(interface{ replaces() string }); ok {
				return k.replaces()
			}
			return ""
		})
	}
	ex.dispatcher, ex.limits, ex.purges, ex.verdicts, ex.paths = newTaskMailbox(), newTaskMailbox(), newTaskMailbox(), newTaskMailbox(), newTaskMailbox()
	ex.supervisor = suture.New("exchange", suture.Spec{EventHook: func(e suture.Event) {
		if e.Type() == suture.EventTypeServicePanic || e.Type() == suture.EventTypeServiceTerminate {
			ex.log.Error("exchange: a task is started anew", "event", e.String())
		}
	}, FailureThreshold: 50, FailureBackoff: time.Second, Timeout: 2 * time.Second})
	ex.purgeStore, err = openPurgeStore(ex, filepath.Join(cfg.Folder, "purges"))
	if err != nil {
		cancel()
		return nil, fmt.Errorf("exchange: purges: %w", err)
	}
	ex.supervisor.Add(&task{ex: ex, name: "tree", newHandler: func(context.Context) handler { return newDispatcher(ex) }})
	ex.supervisor.Add(&task{ex: ex, name: "limits", newHandler: ex.newLimitsTask()})
	if cfg.Section.Purges != nil {
		ex.supervisor.Add(&task{ex: ex, name: "purges", newHandler: ex.newPurgeTask(ex.purgeStore)})
	}
	if cfg.Section.Verdicts != nil {
		ex.supervisor.Add(&task{ex: ex, name: "verdicts", newHandler: ex.newVerdictTask()})
	}
	if cfg.Section.Paths != nil {
		ex.supervisor.Add(&task{ex: ex, name: "paths", newHandler: ex.newPathTask()})
	}
	ex.serveDone = ex.supervisor.ServeBackground(ctx)
	return ex, nil
}

// Know tells what the log says now. The newest takes the place of those before.
func (ex *Exchange) SetFleetState(state *FleetState) { ex.fleetState.Store(state) }

// Renew takes a new section over; what needs a restart stays as it was.
func (ex *Exchange) Reconfigure(section *config.Exchange) {
	next := *ex.section.Load()
	next.Limits = section.Limits
	ex.section.Store(&next)
}

// Open tells whether this front has what purges it missed, so that it may serve.
func (ex *Exchange) CaughtUp() bool { return ex.caughtUp.Load() }

func (ex *Exchange) fleetID() uint64 {
	if state := ex.fleetState.Load(); state != nil {
		return state.View.FleetID
	}
	return 0
}

// round is the time between two tellings.
func (ex *Exchange) roundInterval() time.Duration {
	return time.Duration(ex.section.Load().RoundMS) * time.Millisecond
}

func (ex *Exchange) topologyConfig() topology.Config {
	section := ex.section.Load()
	return topology.Config{FailoverAfter: Micros(section.FailoverMS) * 1000, FailbackAfter: Micros(section.FailbackMS) * 1000}
}

// May tells whether this process may act as a keeper now.
func (s *FleetState) MayActAsOwner(now Micros) bool { return now < s.OwnerUntil }

// Close ends all tasks.
func (ex *Exchange) Close() error {
	ex.cancel()
	<-ex.serveDone
	err := ex.history.close()
	if ex.purgeStore != nil {
		err = errors.Join(err, ex.purgeStore.journal.Close())
	}
	return err
}

// teller sends what one life of a task says. One that was left behind, since it stalled,
// says nothing more: another has begun from its last snapshot.
type sender struct {
	ex  *Exchange
	ctx context.Context
}

// up sends what a role has to say to the keeper that it is attached to.
func (s sender) sendUp(subject Subject, role topology.Role, message any) {
	if owner, ok := s.ex.links.Load().up[role]; ok && s.ctx.Err() == nil {
		s.ex.dispatcher.put(outgoing{Envelope{Subject: subject, Up: true, Role: role, Site: owner.Site, Owner: owner.Number, Body: encode(message)}})
	}
}

// down sends what a keeper of this process has to say to a role below it.
func (s sender) sendDown(subject Subject, role topology.Role, owner topology.Owner, message any) {
	if s.ctx.Err() == nil {
		s.ex.dispatcher.put(outgoing{Envelope{Subject: subject, Role: role, Site: owner.Site, Owner: owner.Number, Body: encode(message)}})
	}
}

// body is what a task does: messages come from a mailbox, and it is called every round.
type handler interface {
	handle(message any)
	tick()
}

// task runs a body under the supervisor, and has it begun anew where it stalls.
type task struct {
	ex         *Exchange
	name       string
	newHandler func(ctx context.Context) handler
}

// stallMost is for how long a task may be busy with one message.
const stallTimeout = 2 * time.Second

// began is when this process did, for spans.
var processStart = time.Now()

// monotonic is a moment that no step of the wall clock moves, in us; never 0.
func monotonic() Micros { return 1 + time.Since(processStart).Microseconds() }

func (t *task) String() string { return "exchange " + t.name }

func (t *task) mailbox() *mailbox[any] {
	return map[string]*mailbox[any]{"tree": t.ex.dispatcher, "limits": t.ex.limits, "purges": t.ex.purges, "verdicts": t.ex.verdicts, "paths": t.ex.paths}[t.name]
}

// Serve is part of suture.Service. The work is in a goroutine of its own, so that one
// that stalls can be left behind; whatever that one does later changes nothing here,
// since its context is over.
func (t *task) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var busySince atomic.Int64 // since when it is busy; 0: it is not
	ended := make(chan error, 1)
	go func() {
		defer func() {
			if panicValue := recover(); panicValue != nil {
				t.ex.counts.Restarts.Add(1)
				ended <- fmt.Errorf("exchange: %s: %v", t.name, panicValue)
			}
		}()
		ended <- t.run(ctx, &busySince)
	}()
	ticker := time.NewTicker(stallTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case err := <-ended:
			return err
		case <-ticker.C:
			if since := busySince.Load(); since != 0 && monotonic()-since > stallTimeout.Microseconds() {
				t.ex.counts.Restarts.Add(1)
				return fmt.Errorf("exchange: %s stalls", t.name)
			}
		}
	}
}

func (t *task) run(ctx context.Context, busySince *atomic.Int64) error {
	handler := t.newHandler(ctx)
	ticker := time.NewTicker(t.ex.roundInterval())
	defer ticker.Stop()
	mailbox := t.mailbox()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case message := <-mailbox.out:
			busySince.Store(monotonic())
			if t.ex.cfg.injectFault != nil {
				t.ex.cfg.injectFault(t.name, message)
			}
			if ctx.Err() != nil { // it was left behind meanwhile
				return ctx.Err()
			}
			handler.handle(message)
		case <-ticker.C:
			busySince.Store(monotonic())
			handler.tick()
		}
		busySince.Store(0)
	}
}
