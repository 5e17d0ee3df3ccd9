// Package fleet drives one front's part in a fleet: it gives the agreement node its
// moments and messages, keeps its records in a journal before anything that hangs
// on them leaves, and carries messages over links of their own. It decides nothing;
// what fronts agree on and conclude is in agree and under internal/decide.
//
// It runs on the front's event loop. Disks and handshakes are beside it.
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

// Config is one front's place in the fleet.
type Config struct {
	consensus.Config
	Listen   string
	Folder   string
	Keys     peers.Files
	Reach    map[string]string // where a front is reached from here, if not at its own address
	Exchange *config.Exchange  // what fronts tell each other without agreeing first; nil: nothing
}

// Host is the front round its part in the fleet.
type Host interface {
	// Takes tells whether it takes clients, whether it holds no request, and whether it
	// is in trouble.
	ServiceState() (clients, empty, hurt bool)
	// GoOut has it take no clients and empty itself, or take them again.
	SetOutOfService(out bool, permit uint64)
	// Leave has it send nothing new to boxes; it tells of each whether anything is
	// still open there.
	LeaveBoxes(boxes []string) (open map[string]bool)
	// Share tells where a box stands and which part of its hub's pace it has, in
	// percent; known is false where the front has a list and the box is not on it.
	BoxShare(box string) (zone string, percent int, known bool)
	// Check looks through a version's file whole, with this front's own files beneath
	// it, and tells later whether it can act on it.
	CheckVersion(content []byte, done func(error))
	// TakeUp has it act on a version that was checked; nil: on its own files alone.
	ActivateVersion(n uint64, content []byte) error
	// Fares is how many percent of its requests were refused or failed lately; seen is
	// false where they are too few to tell.
	FailurePercent() (bad int, seen bool)
	// Classes names the classes of requests by their places.
	Classes() []string
}

// Counts are what has gone over the links.
type LinkCounts struct{ Sent, Received, Bytes, Dropped uint64 }

const (
	mostWrites = 4096      // records that wait for the disk
	retryDisk  = 1_000_000 // us after a write that failed
	retryLock  = 500_000   // us between looks at a folder that another process holds
	sweepEvery = 10_000_000
	mostWithin = 10_000_000 // us that a person's call waits for its word

	awayUnknown = 1_000_000 // us after which to come back to a front whose lease is over: nobody knows when the fleet is heard again
)

// Fleet is one front's part.
type Fleet struct {
	cfg  Config
	loop *loop.Loop
	host Host
	log  *slog.Logger
	keys *peers.Keys

	node     *consensus.Node // nil until the folder is this process's
	disk     *journal.Journal
	lock     *os.File
	listener net.Listener
	broken   error // why this front takes no part
	closed   bool
	out      bool // the host was told to go out
	writing  bool
	pumping  bool
	peers    map[string]*peer
	guests   map[*guest]bool
	incoming atomic.Int64
	counts   LinkCounts
	tick     loop.Deadline
	swept    loop.Micros
	began    time.Time // the node's clock counts from here on, and only goes forward
	opened   bool      // since its lease holds, all that the state wants has been carried out
	told     bool      // that its lease holds, by the log
	ver      acting    // which version it acts on
	book     book      // its audit
	gather   map[uint64]*gathering
	asks     uint64
	staged   map[string]*staged

	ex      *exchange.Exchange // nil: off
	changed changed            // of the fleet's fronts, as the exchange was last told

	toldForeign, toldRefused loop.Micros
}

// Start takes part in a fleet. What is wrong with keys or the address is an error;
// a folder that can't be used leaves the front serving without the fleet, and every
// call says why.
func Start(cfg Config, l *loop.Loop, host Host, log *slog.Logger) (*Fleet, error) {
	f := &Fleet{cfg: cfg, loop: l, host: host, log: log, peers: map[string]*peer{}, guests: map[*guest]bool{}, began: time.Now()}
	f.cfg.RandomID, f.cfg.Start = draw, draw()
	var err error
	if f.keys, err = peers.Load(cfg.Keys, time.Now); err != nil {
		return nil, fmt.Errorf("fleet: keys: %w", err)
	}
	if err := os.MkdirAll(cfg.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("fleet: folder: %w", err)
	}
	f.tick.Init(f.ticked)
	if len(cfg.FirstMembers) == 2 {
		log.Warn("fleet: of two first members any loss stops permits until it is back")
	}
	f.take()
	return f, nil
}

// draw gives a random number that is not 0.
func draw() uint64 {
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

// take takes the folder, once no other process has it: in an upgrade the one before
// holds it until it ends.
func (f *Fleet) take() {
	if f.closed {
		return
	}
	lock, err := os.OpenFile(filepath.Join(f.cfg.Folder, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err == nil {
		if err = unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
			_ = lock.Close()
			if errors.Is(err, unix.EWOULDBLOCK) {
				f.loop.At(f.loop.Now()+retryLock, f.take)
				return
			}
		}
	}
	if err != nil {
		f.breaks(fmt.Errorf("folder: %w", err))
		return
	}
	f.lock = lock
	r := &consensus.Recovered{}
	disk, torn, err := journal.Open(filepath.Join(f.cfg.Folder, "journal"), mostWrites, f.loop.Post, r.Add)
	if err != nil {
		f.breaks(err)
		return
	}
	f.disk = disk
	if err := f.openBook(); err != nil {
		f.breaks(err)
		return
	}
	if torn > 0 {
		f.log.Warn("fleet: the journal had a torn end, which is cut off", "bytes", torn)
	}
	if r.Identity.ID != 0 {
		f.begin(r)
		return
	}
	r.Identity = consensus.Identity{Name: f.cfg.Name, ID: draw()}
	disk.Append(consensus.IdentityRecord(r.Identity), func(err error) {
		if err != nil {
			f.breaks(err)
			return
		}
		f.begin(r)
	})
}

// breaks ends this front's part; it goes on serving.
func (f *Fleet) breaks(err error) {
	f.broken = err
	f.log.Error("fleet: this front takes no part until it is restarted", "error", err)
}

// begin starts the agreement on what the folder held.
func (f *Fleet) begin(r *consensus.Recovered) {
	if f.closed {
		return
	}
	node, err := consensus.New(f.cfg.Config, r, f.now())
	if err != nil {
		f.breaks(err)
		return
	}
	f.node = node
	f.beginBook()
	if f.listener, err = net.Listen("tcp", f.cfg.Listen); err != nil {
		f.breaks(fmt.Errorf("listen: %w", err))
		return
	}
	if err := f.startExchange(); err != nil {
		f.breaks(err)
		return
	}
	go f.accept(f.listener)
	f.log.Info("fleet: this front takes part", "front", f.cfg.Name, "incarnation", fmt.Sprintf("%016x", node.ID()), "applied", node.Applied())
	f.ticked()
}

// ticked moves the node on, and carries out what the state wants of this front.
func (f *Fleet) ticked() {
	if f.closed || f.broken != nil {
		return
	}
	now := f.loop.Now()
	f.loop.Set(&f.tick, now+f.cfg.Tick/2)
	f.serve()
	f.versions()
	f.keepBook()
	if f.broken != nil {
		return
	}
	f.node.Tick(f.now())
	f.publish()
	if now-f.swept > sweepEvery {
		f.swept = now
		f.sweep()
	}
	f.pump()
}

// serve has the host do what the state wants, and tells the node of the host.
func (f *Fleet) serve() {
	if out, permit := f.node.OutOfService(); out != f.out {
		f.out = out
		f.host.SetOutOfService(out, permit)
	}
	clients, empty, hurt := f.host.ServiceState()
	f.node.SetHostState(!clients, empty, hurt)
	boxes := f.node.BoxesToLeave()
	open := f.host.LeaveBoxes(boxes)
	for _, b := range boxes {
		f.node.SetBoxLeft(b, !open[b])
	}
	f.look()
}

// now is the node's clock, in microseconds.
func (f *Fleet) now() int64 { return 1 + time.Since(f.began).Microseconds() }

// look sees whether the front may act, after all that the state wants of it was
// carried out.
func (f *Fleet) look() {
	holds := f.node.MayAct(f.now())
	f.opened = holds
	if holds == f.told {
		return
	}
	f.told = holds
	if f.node.LeaseSpan() > 0 || !holds {
		f.write1(audit.Record{Kind: audit.KindLease, Text: map[bool]string{true: "held", false: "over"}[holds]})
	}
	if holds {
		f.log.Info("fleet: the front acts on its lease", "alone_s", seconds(f.node.LeaseSpan()))
	} else {
		f.log.Warn("fleet: the front's lease is over: it refuses requests until the fleet is heard", "applied", f.node.Applied())
	}
}

// Warm tells whether the front is a full machine: one that was shut out and has come
// back is not for a while, and longer each time.
func (f *Fleet) WarmedUp() bool {
	if f.node == nil || f.broken != nil {
		return true
	}
	s := f.node.Replica().State()
	x := s.Rollout.Status(f.cfg.Name)
	return x == nil || s.Now >= x.WarmAt
}

// Holds tells whether the front may act now, and if not, after how long to come back,
// in us. It must be asked before each act: a process that was stopped goes on in the
// middle of things.
func (f *Fleet) MayAct() (ok bool, away int64) {
	switch {
	case f.node == nil:
		return f.cfg.Rules.LeaseSpan == 0 && (f.cfg.Exchange == nil || f.cfg.Exchange.Purges == nil), awayUnknown
	case f.broken != nil:
		ok = f.node.LeaseSpan() == 0
	case f.opened:
		now := f.now()
		if ok = f.node.MayAct(now); !ok {
			f.opened = false
		}
		ok = ok && f.ver.taker.MayAct(now)
	default:
		ok = f.node.LeaseSpan() == 0 && f.node.Stale() == nil && f.ver.taker.MayAct(f.now())
	}
	if ok && f.cfg.Exchange != nil && f.cfg.Exchange.Purges != nil { // what it missed comes first
		ok = f.ex != nil && f.ex.CaughtUp()
	}
	return ok, awayUnknown
}

// pump writes and sends what the node has, until it has nothing more.
func (f *Fleet) pump() {
	if f.broken == nil && f.node.Broken() != nil {
		f.breaks(f.node.Broken())
	}
	if f.pumping || f.writing || f.broken != nil || f.closed {
		f.tellAll()
		return
	}
	f.pumping = true
	defer func() { f.pumping = false; f.tellAll() }()
	for {
		out, ok := f.node.Ready()
		if !ok {
			break
		}
		if len(out.Records) > 0 || out.Rewrite != nil {
			f.writing = true
			f.write(out)
			return
		}
		if !f.done(out) {
			return
		}
	}
	if out, _ := f.node.OutOfService(); out != f.out {
		f.serve()
	}
}

func (f *Fleet) done(out consensus.Output) bool {
	for _, s := range out.Messages {
		f.send(s)
	}
	if err := f.node.Advance(out); err != nil {
		f.breaks(err)
		return false
	}
	return true
}

// write keeps an output's records, and sends once they are durable. A disk that
// takes nothing is tried again; one that can't be trusted any more ends this part.
func (f *Fleet) write(out consensus.Output) {
	kept := func(err error) {
		if f.closed || f.broken != nil {
			return
		}
		if errors.Is(err, journal.ErrClosed) {
			f.breaks(err)
			return
		}
		if err != nil {
			f.log.Error("fleet: the disk takes nothing; this front waits", "error", err)
			f.loop.At(f.loop.Now()+retryDisk, func() { f.write(out) })
			return
		}
		f.writing = false
		if f.done(out) {
			f.pump()
		}
	}
	if f.closed {
		return
	}
	if out.Rewrite != nil {
		f.disk.Rewrite(out.Rewrite, kept)
		return
	}
	// All come before the last, or none counts: what was kept of a batch that failed
	// is written once more and takes its own place.
	var failed error
	for i, r := range out.Records {
		last := i == len(out.Records)-1
		f.disk.Append(r, func(err error) {
			failed = errors.Join(failed, err)
			if last {
				kept(failed)
			}
		})
	}
}

// tellAll writes what has happened to the log.
func (f *Fleet) tellAll() {
	if f.node == nil {
		return
	}
	for _, line := range f.node.Events() {
		f.log.Info("fleet: " + line)
	}
}

// Rejoin tells that a person has the front take clients again.
func (f *Fleet) Rejoin() {
	if f.node != nil && f.broken == nil && f.out {
		f.out = false
		f.node.Rejoin()
		f.pump()
	}
}

// Close ends this front's part; what is on its way to the disk is still written.
func (f *Fleet) Close() error {
	if f.closed {
		return nil
	}
	f.closed = true
	f.loop.Stop(&f.tick)
	var err error
	if f.listener != nil {
		err = f.listener.Close()
	}
	if f.ex != nil {
		err = errors.Join(err, f.ex.Close())
	}
	for _, p := range f.peers {
		if p.conn != nil {
			p.conn.Close()
		}
	}
	for g := range f.guests {
		g.conn.Close()
	}
	if f.disk != nil {
		err = errors.Join(err, f.closeBook(), f.disk.Close())
	}
	if f.lock != nil {
		err = errors.Join(err, f.lock.Close())
	}
	return err
}
