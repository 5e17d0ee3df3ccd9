// Package exchange carries the messages that the fronts of a fleet exchange without
// consensus: limits, purges, verdicts and latencies, up and down a tree of sites. It only
// transports and schedules; the decisions are in the packages under internal/decide.
//
// It does not run on the front's event loop. Its tasks own their state and their sockets
// and communicate by messages: one task for each connection, one for the tree (the
// dispatcher) and one for each subject. Every mailbox is bounded. The supervisor restarts
// a task that panics or stalls from its last snapshot while the front keeps serving. No
// request waits for a task: the allocations that it spends are held on the loop.
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

// Micros is a duration, or a time on this process's clock, in microseconds.
type Micros = int64

// Loop is the front's event loop. Post runs a function on it.
type Loop interface {
	Post(do func())
}

// Limiter spends allocations of limits. It is called on the loop.
type Limiter interface {
	ApplyGrant(g quotalease.Grant, newest uint64)
	Report() []quotalease.BucketReport
	SetFronts(n int)
}

// Invalidator applies purges. It is called on the loop.
type Invalidator interface {
	// Invalidate stops copies in the scope from being served if they are older than the
	// purge, which was requested age ago.
	Invalidate(s invalidation.Scope, age Micros)
}

// Config configures one front's exchange.
type Config struct {
	Name        string
	Folder      string // used by this front only
	Keys        *peers.Keys
	Address     func(v *topology.View, name string) string // address of a front as reached from here; empty if unknown
	Section     *config.Exchange
	Now         func() Micros // the clock of leases
	Loop        Loop
	Limiter     Limiter
	Invalidator Invalidator

	Observer      Observer
	LatencySource LatencySource

	injectFault func(task string, message any) // for tests: called before each message, may panic or stall
}

// Counts counts messages and bytes sent, messages received, messages dropped at bounds,
// and restarts of tasks.
type Counts struct{ Sent, Received, Bytes, Dropped, Restarts atomic.Int64 }

// FleetState is the state of the fleet's replicated log that concerns this front, as
// published by package fleet.
type FleetState struct {
	View          *topology.View
	FrontsChanged uint64 // log index of the last change of the set of fronts
	OwnerUntil    Micros // end of this front's lease to act as an owner
	MajorityAsked Micros // a time by which a majority had been asked to confirm that lease
}

// Exchange is one front's side of the exchange.
type Exchange struct {
	cfg        Config
	log        *slog.Logger
	ctx        context.Context
	cancel     context.CancelFunc
	serveDone  <-chan error
	supervisor *suture.Supervisor
	counts     Counts
	// sequence numbers the messages of this process. It survives restarts of tasks and
	// starts above the numbers of the previous process.
	sequence   atomic.Uint64
	history    *history
	purgeStore *purgeStore // nil if purges are off

	fleetState atomic.Pointer[FleetState]
	links      atomic.Pointer[links] // who is attached where; stored by the dispatcher
	caughtUp   atomic.Bool           // this front has the purges that it missed and may serve
	section    atomic.Pointer[config.Exchange]

	dispatcher *mailbox[any]
	limits     *mailbox[any]
	purges     *mailbox[any]
	verdicts   *mailbox[any]
	paths      *mailbox[any]
}

// links is a snapshot of who is attached where.
type links struct {
	up       map[topology.Role]topology.Owner // for each role of this process
	children map[attachment]Micros            // roles attached to owners in this process, and when they were last heard
}

// attachment is a role attached to an owner, by the owner's number.
type attachment struct {
	role  topology.Role
	owner uint64
}

// without names a rule that this build disables, to test the checkers. It is set by the
// linker only: -ldflags "-X cherryramp/internal/exchange.without=over".
var without string

// mailboxSize is the maximum number of messages waiting for a subject's task.
const mailboxSize = 4096

// Start starts a front's exchange. The caller must close it. It fails if the history or
// the file of purges can't be opened.
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
			if k, ok := m.(interface{ replaceKey() string }); ok {
				return k.replaceKey()
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

// SetFleetState replaces the state of the fleet's log.
func (ex *Exchange) SetFleetState(state *FleetState) { ex.fleetState.Store(state) }

// Reconfigure takes over the limits of a new configuration section. Its other settings
// need a restart and keep their values.
func (ex *Exchange) Reconfigure(section *config.Exchange) {
	next := *ex.section.Load()
	next.Limits = section.Limits
	ex.section.Store(&next)
}

// CaughtUp reports whether this front has the purges that it missed, so that it may serve.
func (ex *Exchange) CaughtUp() bool { return ex.caughtUp.Load() }

func (ex *Exchange) fleetID() uint64 {
	if state := ex.fleetState.Load(); state != nil {
		return state.View.FleetID
	}
	return 0
}

// roundInterval is the interval at which tasks are ticked.
func (ex *Exchange) roundInterval() time.Duration {
	return time.Duration(ex.section.Load().RoundMS) * time.Millisecond
}

func (ex *Exchange) topologyConfig() topology.Config {
	section := ex.section.Load()
	return topology.Config{FailoverAfter: Micros(section.FailoverMS) * 1000, FailbackAfter: Micros(section.FailbackMS) * 1000}
}

// MayActAsOwner reports whether this process may act as an owner at a time.
func (s *FleetState) MayActAsOwner(now Micros) bool { return now < s.OwnerUntil }

// Close stops all tasks and closes the history and the file of purges.
func (ex *Exchange) Close() error {
	ex.cancel()
	<-ex.serveDone
	err := ex.history.close()
	if ex.purgeStore != nil {
		err = errors.Join(err, ex.purgeStore.journal.Close())
	}
	return err
}

// sender sends the messages of one run of a task. Once that run was abandoned because it
// stalled, it sends nothing more: another run has started from its last snapshot.
type sender struct {
	ex  *Exchange
	ctx context.Context
}

// sendUp sends a message of a role to the owner that the role is attached to.
func (s sender) sendUp(subject Subject, role topology.Role, message any) {
	if owner, ok := s.ex.links.Load().up[role]; ok && s.ctx.Err() == nil {
		s.ex.dispatcher.put(outgoing{Envelope{Subject: subject, Up: true, Role: role, Site: owner.Site, Owner: owner.Number, Body: encode(message)}})
	}
}

// sendDown sends a message of an owner in this process to a role below it.
func (s sender) sendDown(subject Subject, role topology.Role, owner topology.Owner, message any) {
	if s.ctx.Err() == nil {
		s.ex.dispatcher.put(outgoing{Envelope{Subject: subject, Role: role, Site: owner.Site, Owner: owner.Number, Body: encode(message)}})
	}
}

// handler is the work of a task: it handles each message of the mailbox and is ticked
// every round.
type handler interface {
	handle(message any)
	tick()
}

// task runs a handler under the supervisor and has it restarted if it stalls.
type task struct {
	ex         *Exchange
	name       string
	newHandler func(ctx context.Context) handler
}

// stallTimeout is the longest that a task may be busy with one message.
const stallTimeout = 2 * time.Second

// processStart is the origin of monotonic.
var processStart = time.Now()

// monotonic returns the time since the start of the process, unaffected by steps of the
// wall clock, in us; never 0.
func monotonic() Micros { return 1 + time.Since(processStart).Microseconds() }

func (t *task) String() string { return "exchange " + t.name }

func (t *task) mailbox() *mailbox[any] {
	return map[string]*mailbox[any]{"tree": t.ex.dispatcher, "limits": t.ex.limits, "purges": t.ex.purges, "verdicts": t.ex.verdicts, "paths": t.ex.paths}[t.name]
}

// Serve implements suture.Service. The handler runs in a goroutine of its own, so that a
// stalled one can be abandoned; whatever it does later has no effect, since its context
// is cancelled.
func (t *task) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var busySince atomic.Int64 // when the current message was taken; 0 while idle
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
			if ctx.Err() != nil { // abandoned meanwhile
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
