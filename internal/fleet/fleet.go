// Package fleet runs one front's part in a fleet: it passes times and messages to the consensus
// node, writes the node's records to a journal before the messages that depend on them are
// sent, and carries messages over links of their own. It decides nothing; decisions are made in
// package consensus and under internal/decide.
//
// It runs on the front's event loop; disk writes and handshakes run outside it.
package fleet

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"cherryramp/internal/config"
	"cherryramp/internal/decide/audit"
	"cherryramp/internal/exchange"
	"cherryramp/internal/fleet/consensus"
	"cherryramp/internal/journal"
	"cherryramp/internal/link/peers"
	"cherryramp/internal/loop"
)

// Config is the configuration of one front in the fleet.
type Config struct {
	consensus.Config
	Listen   string
	Folder   string
	Keys     peers.Files
	Reach    map[string]string // address of a front as reached from here, if not its own
	Exchange *config.Exchange  // what fronts exchange without consensus; nil: nothing
}

// Host is the front that runs this part of the fleet.
type Host interface {
	// ServiceState reports whether the front takes clients, whether it has no request open, and
	// whether it is unhealthy.
	ServiceState() (clients, idle, unhealthy bool)
	// SetOutOfService has the front take no clients and drain, or take them again.
	SetOutOfService(out bool, permit uint64)
	// LeaveBoxes has the front send nothing new to the boxes. It returns for each whether
	// anything is still open there.
	LeaveBoxes(boxes []string) (open map[string]bool)
	// BoxShare returns the zone of a box and its share of its hub's pace in percent; known is
	// false if the front has a list and the box is not on it.
	BoxShare(box string) (zone string, percent int, known bool)
	// CheckVersion checks the whole file of a version, on top of this front's own files, and
	// calls done later with an error if the front can't act on it.
	CheckVersion(content []byte, done func(error))
	// ActivateVersion has the front act on a version that was checked; with nil content, on its
	// own files alone.
	ActivateVersion(n uint64, content []byte) error
	// FailurePercent returns the percentage of its requests that were refused or failed lately;
	// seen is false if they were too few to tell.
	FailurePercent() (bad int, seen bool)
	// Classes returns the names of the request classes by index.
	Classes() []string
}

// LinkCounts counts messages, and the bytes sent, over the links.
type LinkCounts struct{ Sent, Received, Bytes, Dropped uint64 }

const (
	maxPendingWrites = 4096      // records that wait for the disk
	diskRetryDelay   = 1_000_000 // us after a failed write
	lockRetryDelay   = 500_000   // us between attempts to lock a folder that another process holds
	sweepInterval    = 10_000_000
	callTimeout      = 10_000_000 // us that an admin call waits for its result

	leaseRetryDelay = 1_000_000 // us after which to come back to a front whose lease is over: it is not known when the fleet will be heard again
)

// Fleet is one front's part in the fleet.
type Fleet struct {
	cfg  Config
	loop *loop.Loop
	host Host
	log  *slog.Logger
	keys *peers.Keys

	node           *consensus.Node // nil until this process holds the folder
	journal        *journal.Journal
	lock           *os.File
	listener       net.Listener
	failure        error // why this front takes no part
	closed         bool
	outOfService   bool // the host was told to go out of service
	writing        bool
	pumping        bool
	peers          map[string]*peer
	inbound        map[*inboundPeer]bool
	inboundCount   atomic.Int64
	counts         LinkCounts
	tickTimer      loop.Deadline
	sweptAt        loop.Micros
	startedAt      time.Time    // start of the node's clock, which is monotonic
	leaseApplied   bool         // since the lease is held, everything that the state wants has been carried out
	leaseLogged    bool         // the log says that the lease is held
	version        versionState // the version that it acts on
	predecessor    predecessor  // the process of this front that holds the folder, if another one does
	auditLog       auditLog     // the audit of this front
	auditQueries   map[uint64]*auditQuery
	lastAuditQuery uint64
	uploads        map[string]*upload

	exchange  *exchange.Exchange // nil: off
	published publishedView      // what the exchange was last told of the fleet's fronts

	foreignLoggedAt, refusedLoggedAt loop.Micros
}

// Start starts a front's part in a fleet. It returns an error for invalid keys or an invalid
// folder path. If the folder can't be used later on, the front serves without the fleet, and
// every call returns the reason.
func Start(cfg Config, l *loop.Loop, host Host, log *slog.Logger) (*Fleet, error) {
	fleet := &Fleet{cfg: cfg, loop: l, host: host, log: log, peers: map[string]*peer{}, inbound: map[*inboundPeer]bool{}, startedAt: time.Now()}
	fleet.cfg.RandomID, fleet.cfg.Start = randomID, randomID()
	var err error
	if fleet.keys, err = peers.Load(cfg.Keys, time.Now); err != nil {
		return nil, fmt.Errorf("fleet: keys: %w", err)
	}
	if err := os.MkdirAll(cfg.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("fleet: folder: %w", err)
	}
	fleet.tickTimer.Init(fleet.onTick)
	if len(cfg.FirstMembers) == 2 {
		log.Warn("fleet: of two first members any loss stops permits until it is back")
	}
	fleet.lockFolder()
	return fleet, nil
}

// randomID returns a random number other than 0.
func randomID() uint64 {
	var b [8]byte
	for {
		if _, err := rand.Read(b[:]); err != nil {
			panic(err) // the system's source does not fail
		}
		if x := binary.LittleEndian.Uint64(b[:]); x != 0 {
			return x
		}
	}
}

// lockFolder locks and opens the folder, once no other process holds it: during an upgrade the
// old process holds it until it ends.
func (fleet *Fleet) lockFolder() {
	if fleet.closed {
		return
	}
	lock, err := os.OpenFile(filepath.Join(fleet.cfg.Folder, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err == nil {
		if err = unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
			_ = lock.Close()
			if errors.Is(err, unix.EWOULDBLOCK) {
				fleet.observePredecessor()
				fleet.loop.At(fleet.loop.Now()+lockRetryDelay, fleet.lockFolder)
				return
			}
		}
	}
	if err != nil {
		fleet.fail(fmt.Errorf("folder: %w", err))
		return
	}
	fleet.lock = lock
	recovered := &consensus.Recovered{}
	disk, torn, err := journal.Open(filepath.Join(fleet.cfg.Folder, "journal"), maxPendingWrites, fleet.loop.Post, recovered.Add)
	if err != nil {
		fleet.fail(err)
		return
	}
	fleet.journal = disk
	if err := fleet.openAuditLog(); err != nil {
		fleet.fail(err)
		return
	}
	if torn > 0 {
		fleet.log.Warn("fleet: the journal had a torn end, which is cut off", "bytes", torn)
	}
	if recovered.Identity.ID != 0 {
		fleet.startNode(recovered)
		return
	}
	recovered.Identity = consensus.Identity{Name: fleet.cfg.Name, ID: randomID()}
	disk.Append(consensus.IdentityRecord(recovered.Identity), func(err error) {
		if err != nil {
			fleet.fail(err)
			return
		}
		fleet.startNode(recovered)
	})
}

// fail ends this front's part in the fleet; the front goes on serving.
func (fleet *Fleet) fail(err error) {
	fleet.failure = err
	fleet.log.Error("fleet: this front takes no part until it is restarted", "error", err)
}

// startNode starts the consensus node with the content of the folder.
func (fleet *Fleet) startNode(recovered *consensus.Recovered) {
	if fleet.closed {
		return
	}
	node, err := consensus.New(fleet.cfg.Config, recovered, fleet.now())
	if err != nil {
		fleet.fail(err)
		return
	}
	fleet.node, fleet.version.nodeStartedAt = node, fleet.now()
	fleet.startAuditLog()
	if fleet.listener, err = net.Listen("tcp", fleet.cfg.Listen); err != nil {
		fleet.fail(fmt.Errorf("listen: %w", err))
		return
	}
	if err := fleet.startExchange(); err != nil {
		fleet.fail(err)
		return
	}
	go fleet.accept(fleet.listener)
	fleet.log.Info("fleet: this front takes part", "front", fleet.cfg.Name, "incarnation", fmt.Sprintf("%016x", node.ID()), "applied", node.Applied())
	fleet.onTick()
}

// onTick advances the node and carries out what the state wants of this front.
func (fleet *Fleet) onTick() {
	if fleet.closed || fleet.failure != nil {
		return
	}
	now := fleet.loop.Now()
	fleet.loop.Set(&fleet.tickTimer, now+fleet.cfg.Tick/2)
	fleet.updateHost()
	fleet.updateVersion()
	fleet.updateAuditLog()
	if fleet.failure != nil {
		return
	}
	fleet.node.Tick(fleet.now())
	fleet.publishView()
	if now-fleet.sweptAt > sweepInterval {
		fleet.sweptAt = now
		fleet.sweep()
	}
	fleet.processOutput()
}

// updateHost has the host do what the state wants, and passes the host's state to the node.
func (fleet *Fleet) updateHost() {
	if out, permit := fleet.node.OutOfService(); out != fleet.outOfService {
		fleet.outOfService = out
		fleet.host.SetOutOfService(out, permit)
	}
	clients, idle, unhealthy := fleet.host.ServiceState()
	fleet.node.SetHostState(!clients, idle, unhealthy)
	boxes := fleet.node.BoxesToLeave()
	open := fleet.host.LeaveBoxes(boxes)
	for _, b := range boxes {
		fleet.node.SetBoxLeft(b, !open[b])
	}
	fleet.updateLease()
}

// now returns the node's clock, in microseconds.
func (fleet *Fleet) now() int64 { return 1 + time.Since(fleet.startedAt).Microseconds() }

// updateLease checks whether the front may act, once everything that the state wants of it was
// carried out.
func (fleet *Fleet) updateLease() {
	mayAct := fleet.node.MayAct(fleet.now())
	fleet.leaseApplied = mayAct
	if mayAct == fleet.leaseLogged {
		return
	}
	fleet.leaseLogged = mayAct
	if fleet.node.LeaseSpan() > 0 || !mayAct {
		fleet.appendAuditEvent(audit.Record{Kind: audit.KindLease, Text: map[bool]string{true: "held", false: "over"}[mayAct]})
	}
	if mayAct {
		fleet.log.Info("fleet: the front acts on its lease", "alone_s", seconds(fleet.node.LeaseSpan()))
	} else {
		fleet.log.Warn("fleet: the front's lease is over: it refuses requests until the fleet is heard", "applied", fleet.node.Applied())
	}
}

// WarmedUp reports whether the front counts as a full machine. After it was shut out, it
// doesn't for a while, and longer each time.
func (fleet *Fleet) WarmedUp() bool {
	if fleet.node == nil || fleet.failure != nil {
		return true
	}
	state := fleet.node.Replica().State()
	status := state.Rollout.Status(fleet.cfg.Name)
	return status == nil || state.Now >= status.WarmAt
}

// MayAct reports whether the front may act now, and if not, after how many us to come back. It
// must be called before each act: a process that was stopped may resume at any point.
func (fleet *Fleet) MayAct() (ok bool, retryAfter int64) {
	switch {
	case fleet.node == nil && fleet.lock != nil && fleet.failure == nil: // it is reading the folder
		return false, leaseRetryDelay
	case fleet.node == nil && fleet.failure == nil && !fleet.mayActBeside():
		return false, leaseRetryDelay
	case fleet.node == nil:
		return fleet.cfg.Rules.LeaseSpan == 0 && (fleet.cfg.Exchange == nil || fleet.cfg.Exchange.Purges == nil), leaseRetryDelay
	case fleet.failure != nil:
		ok = fleet.node.LeaseSpan() == 0 && !fleet.belowStanding()
	case fleet.leaseApplied:
		now := fleet.now()
		if ok = fleet.node.MayAct(now); !ok {
			fleet.leaseApplied = false
		}
		ok = ok && fleet.version.applier.MayAct(now)
	default:
		ok = fleet.node.LeaseSpan() == 0 && fleet.node.Stale() == nil && fleet.version.applier.MayAct(fleet.now())
	}
	if ok && fleet.cfg.Exchange != nil && fleet.cfg.Exchange.Purges != nil { // missed purges come first
		ok = fleet.exchange != nil && fleet.exchange.CaughtUp()
	}
	return ok, leaseRetryDelay
}

// processOutput writes and sends the output of the node until there is no more.
func (fleet *Fleet) processOutput() {
	if fleet.failure == nil && fleet.node.Broken() != nil {
		fleet.fail(fleet.node.Broken())
	}
	if fleet.pumping || fleet.writing || fleet.failure != nil || fleet.closed {
		fleet.logEvents()
		return
	}
	fleet.pumping = true
	defer func() { fleet.pumping = false; fleet.logEvents() }()
	for {
		out, ok := fleet.node.Ready()
		if !ok {
			break
		}
		if len(out.Records) > 0 || out.Rewrite != nil {
			fleet.writing = true
			fleet.persistOutput(out)
			return
		}
		if !fleet.finishOutput(out) {
			return
		}
	}
	if out, _ := fleet.node.OutOfService(); out != fleet.outOfService {
		fleet.updateHost()
	}
}

func (fleet *Fleet) finishOutput(out consensus.Output) bool {
	for _, s := range out.Messages {
		fleet.send(s)
	}
	if err := fleet.node.Advance(out); err != nil {
		fleet.fail(err)
		return false
	}
	return true
}

// persistOutput writes the records of an Output, and sends its messages once they are durable.
// A failed write is retried; a journal that is closed ends this front's part.
func (fleet *Fleet) persistOutput(out consensus.Output) {
	onDurable := func(err error) {
		if fleet.closed || fleet.failure != nil {
			return
		}
		if errors.Is(err, journal.ErrClosed) {
			fleet.fail(err)
			return
		}
		if err != nil {
			fleet.log.Error("fleet: the disk takes nothing; this front waits", "error", err)
			fleet.loop.At(fleet.loop.Now()+diskRetryDelay, func() { fleet.persistOutput(out) })
			return
		}
		fleet.writing = false
		if fleet.finishOutput(out) {
			fleet.processOutput()
		}
	}
	if fleet.closed {
		return
	}
	if out.Rewrite != nil {
		fleet.journal.Rewrite(out.Rewrite, onDurable)
		return
	}
	// All callbacks come before the last one. If one write fails, the whole batch is written
	// again; records that were kept then replace themselves.
	var failed error
	for i, r := range out.Records {
		last := i == len(out.Records)-1
		fleet.journal.Append(r, func(err error) {
			failed = errors.Join(failed, err)
			if last {
				onDurable(failed)
			}
		})
	}
}

// logEvents writes the node's events to the log.
func (fleet *Fleet) logEvents() {
	if fleet.node == nil {
		return
	}
	for _, line := range fleet.node.Events() {
		fleet.log.Info("fleet: " + line)
	}
}

// Rejoin has the front take clients again at an operator's request.
func (fleet *Fleet) Rejoin() {
	if fleet.node != nil && fleet.failure == nil && fleet.outOfService {
		fleet.outOfService = false
		fleet.node.Rejoin()
		fleet.processOutput()
	}
}

// Close ends this front's part; pending writes are completed.
func (fleet *Fleet) Close() error {
	if fleet.closed {
		return nil
	}
	fleet.closed = true
	fleet.loop.Stop(&fleet.tickTimer)
	var err error
	if fleet.listener != nil {
		err = fleet.listener.Close()
	}
	if fleet.exchange != nil {
		err = errors.Join(err, fleet.exchange.Close())
	}
	for _, peer := range fleet.peers {
		if peer.conn != nil {
			peer.conn.Close()
		}
	}
	for inbound := range fleet.inbound {
		inbound.conn.Close()
	}
	if fleet.journal != nil {
		err = errors.Join(err, fleet.closeAuditLog(), fleet.journal.Close())
	}
	if fleet.lock != nil {
		err = errors.Join(err, fleet.lock.Close())
	}
	return err
}
