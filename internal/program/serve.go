// Package program runs one front: it reads the configuration, connects the components
// with the event loop, and ends on SIGTERM once all requests are answered. Decisions are
// made in other packages.
//
// The fleet code is not imported here, because the consensus library would cost every
// front 6 MB of memory. The command that links it sets JoinFleet.
package program

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"cherryramp/internal/admin"
	"cherryramp/internal/config"
	"cherryramp/internal/decide/admission"
	"cherryramp/internal/decide/counters"
	"cherryramp/internal/decide/generations"
	"cherryramp/internal/decide/health"
	"cherryramp/internal/decide/readiness"
	"cherryramp/internal/discovery"
	"cherryramp/internal/ephemeral"
	"cherryramp/internal/front/platform"
	"cherryramp/internal/front/session"
	"cherryramp/internal/front/signed"
	"cherryramp/internal/gateway"
	"cherryramp/internal/logging"
	"cherryramp/internal/loop"
	"cherryramp/internal/spentids"
	"cherryramp/internal/transport"
	"cherryramp/internal/upstream"
	"cherryramp/internal/workers"
	"cherryramp/rules"
)

const (
	memoryShare       = 0.6                    // share of the memory limit that is the Go runtime's soft limit
	unmanagedBytes    = 16 << 20               // memory kept free of the runtime: the program's file, and what is allocated during a collection
	cacheShare        = 0.25                   // share of the memory limit for the front's own copies of objects
	requestShare      = 0.125                  // share of the memory limit for clients' requests, arriving and open
	outputShare       = 0.0625                 // share of the memory limit for answers behind others that their clients have not read
	clientShare       = 0.55                   // share of the descriptors for clients, who usually need a third at most
	signedShare       = 0.1                    // share of the descriptors for clients of the signed front, if it is on
	poolShare         = 0.25                   // share of the descriptors for cache nodes
	answerShare       = 0.25                   // share of the memory limit for unprocessed answers of all nodes, for which the front's own copies make room
	inputShare        = 0.125                  // share of the memory limit for unprocessed answers on one connection
	rejectDescriptors = 16                     // descriptors for clients of both fronts that are only rejected
	minNodeConns      = 4                      // minimum of descriptors for cache nodes
	maxConnsPerNode   = 8                      // maximum of connections to one node
	idleShare         = 0.8                    // share of the nodes' idle timeout after which the front closes first
	logFlushTimeout   = 100 * time.Millisecond // for the last log lines at exit
	listenTimeout     = 5 * time.Second        // for opening a listener at the start while resources are lacking
	listenRetry       = 100 * time.Millisecond // between tries to open it
	minPooledNodes    = 16                     // minimum of nodes among which connections are divided
)

// Serve runs one front until SIGTERM. An error that ends it earlier is also logged.
func Serve() error {
	out := logging.NewWriter(os.Stderr)
	defer out.Flush(logFlushTimeout)
	if err := run(out); err != nil {
		slog.Error("cherryramp ends", "error", err)
		return err
	}
	return nil
}

func run(out *logging.Writer) error {
	level, err := config.LogLevel(os.Getenv)
	if err != nil {
		return err
	}
	// A full channel drops signals, so each kind has a channel of its own, in which one
	// pending signal stands for all that follow.
	shutdowns, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(shutdowns, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	log := logging.New(out, level)
	slog.SetDefault(log)
	files, err := config.ReadFiles(os.Getenv)
	if err != nil {
		return err
	}
	cfg, operator, err := files.Load(nil)
	if err != nil {
		return err
	}
	if operator.Fleet != nil && JoinFleet == nil {
		out.Flush(logFlushTimeout)
		return ExecFleetCommand()
	}
	debug.SetMemoryLimit(collectorLimit(cfg.MemoryMB))
	if err := transport.Setup(log); err != nil {
		return err
	}
	p, err := build(cfg, operator, log)
	if err != nil {
		return err
	}
	p.files = files
	go p.handleShutdownSignals(shutdowns)
	go p.handleReloadSignals(reloads)
	log.Info("serving", "name", cfg.Name, "listen", cfg.Listen, "ops", cfg.AdminAddress, "board", cfg.Board)
	p.loop.Run()
	if p.fleet != nil {
		if err := p.fleet.Close(); err != nil {
			log.Error("fleet: the end", "error", err)
		}
	}
	log.Info("ended", "open", p.gate.OpenCalls())
	return nil
}

// collectorLimit returns the Go runtime's soft limit, in bytes, for a memory limit in MB. Under load
// the runtime is above it for moments.
func collectorLimit(memoryMB int) int64 {
	share := int64(memoryShare * float64(memoryMB) * (1 << 20))
	left := int64(memoryMB)<<20 - unmanagedBytes
	return max(min(share, left), share/2)
}

// program holds the components of a front.
type program struct {
	log            *slog.Logger
	cfg            *config.Config // in force
	files          *config.Files  // the front's own, as last taken over
	table          *generations.Table[rules.Class]
	platform       *platform.Front
	pools          *upstream.Pools
	loop           *loop.Loop
	gate           *gateway.Gateway
	board          *discovery.Client
	fronts         []*session.Server
	operator       *config.Operator
	signed         *signed.Front   // nil: off
	signedConfig   *config.Signed  // configuration of the signed front
	memory         *memoryBalancer // nil: there is no section clients
	requestMemory  *transport.Budget
	answerMemory   *transport.Budget // of nodes, not handled yet
	yieldedCache   int               // bytes that the local cache has given up for requests and answers
	queue          *session.Queue    // nil: no admission control
	counters       *counters.Counters
	ready          *readiness.State
	drain          *drain
	fleet          FleetParticipant       // nil: the front belongs to no fleet
	drainOverride  *gateway.DrainOverride // nil without a fleet
	healthDetector health.Detector        // health of this front as reported to the fleet
	unhealthy      bool
	drainedByFleet bool // out of service by the fleet's order
	drainedByHand  bool // already drained by an operator before that
	versions       versions
	policy         *fleetPolicy // limits and purges of the whole fleet; nil: off
}

// build creates and connects the components and starts to serve.
func build(cfg *config.Config, operator *config.Operator, log *slog.Logger) (*program, error) {
	p := &program{log: log, cfg: cfg, operator: operator}
	var err error
	if p.table, err = generations.New(maxClasses, cfg.Digest, cfg.Settings.Classes); err != nil {
		return nil, err
	}
	p.counters = counters.New(classNames(cfg.Settings.Classes))
	p.memory = newMemoryBalancer(cfg, operator.Clients)
	p.requestMemory = transport.NewBudget(int64(requestShare * float64(cfg.MemoryMB) * (1 << 20)))
	p.loop = loop.New(func() {
		p.gate.ProcessEvents()
		p.balanceMemory()
		p.yieldCache()
	})
	p.gate, err = gateway.New(gateway.Config{Settings: cfg.Settings, Zones: cfg.Zones, Kinds: cfg.Kinds,
		Seed: cfg.Seed, LocalCache: localCacheLimits(cfg), Counters: p.counters}, p.loop, log)
	if err != nil {
		return nil, err
	}
	p.shareSpentIDs()
	nodes := minPooledNodes
	if cfg.InitialUpdate != nil {
		for _, e := range cfg.InitialUpdate.Events {
			if e.List != nil {
				nodes = max(nodes, 2*len(e.List.Members))
			}
		}
	}
	p.answerMemory = transport.NewBudget(int64(answerShare * float64(cfg.MemoryMB) * (1 << 20)))
	tcp := upstream.NewTCP(p.loop, p.answerMemory)
	poolConfig := upstreamConfig(cfg, cfg.Settings.Classes)
	poolConfig.InputBuffer = min(poolConfig.Streams*upstream.MaxAnswerBytes, int(inputShare*float64(cfg.MemoryMB)*(1<<20)))
	poolConfig.MaxConns = max(1, min(maxConnsPerNode, int(poolShare*float64(cfg.Sockets))/nodes))
	poolConfig.MaxTotalConns = maxNodeConns(cfg, operator)
	p.pools = upstream.New(poolConfig, tcp, p.loop, p.gate, log)
	p.gate.SetUpstream(p.pools)
	if p.memory != nil {
		p.memory.pools, p.memory.tcp = p.pools, tcp
	}
	var sink discovery.Sink = p.gate
	var members ephemeral.Sink = p.gate
	if operator.Fleet != nil {
		p.drainOverride = gateway.NewDrainOverride(p.gate)
		sink, members = p.drainOverride, p.drainOverride
	}
	if e := operator.Ephemeral; e != nil {
		sink = purgeSink{p.gate}
		err := ephemeral.Start(ephemeral.Config{Servers: e.Servers, Path: e.Path,
			Session: time.Duration(e.SessionMS) * time.Millisecond}, p.loop, members, log)
		if err != nil {
			return nil, err
		}
	}
	p.board = discovery.New(p.loop, log, cfg.Board, discovery.TimeoutsFor(minGrace(cfg)), cfg.InitialUpdate, sink)
	platformSession := session.Config{Name: "platform", Listen: cfg.Listen, Limits: platform.Limits, RequestMemory: p.requestMemory,
		OutputMemory: transport.NewBudget(int64(outputShare * float64(cfg.MemoryMB) * (1 << 20)))}
	applyClientLimits(&platformSession, operator.Clients)
	platformSession.MaxConns, platformSession.RetryAfter = maxClientConns(cfg, operator.Clients), clientRetryAfter(cfg)
	p.memory.apply(&platformSession, cfg.Sockets)
	p.queue = newAdmissionQueue(p.loop, cfg, operator.Clients)
	platformSession.Admission, platformSession.Counters = p.queue, p.counters
	if operator.Fleet != nil {
		platformSession.Audit = auditor{p}
	}
	p.platform = platform.New(p.currentClasses(), p.takesClients, log)
	p.fronts = append(p.fronts, session.New(platformSession, p.loop, p.platform, p.gate, log))
	if operator.Exchange != nil {
		p.policy = newFleetPolicy(p, operator.Exchange)
		p.gate.SetFleetPolicy(p.policy)
	}
	if operator.Signed != nil {
		section := operator.Signed
		p.signedConfig = section
		p.signed, err = signed.New(signed.Config{MaxQueue: section.Pool.Queue, MaxRates: section.Tables.Rates, MaxUses: section.Tables.Uses,
			EncodedBytes: *section.EncodedMB << 20}, p.signedPolicy(section), workers.New(p.loop, section.Pool.Workers), p.loop.Now, loop.Wall, log)
		if err != nil {
			return nil, err
		}
		if p.policy != nil {
			p.signed.SetSharedLimits(p.policy)
		}
		signedSession := session.Config{Name: "signed", Listen: operator.Signed.Listen, Limits: signed.Limits,
			InputBuffer: signed.InputBuffer, MaxConns: int(signedShare * float64(cfg.Sockets)), RetryAfter: platformSession.RetryAfter, Admission: platformSession.Admission,
			Counters: p.counters, Audit: platformSession.Audit, RequestMemory: p.requestMemory,
			OutputMemory: platformSession.OutputMemory}
		applyClientLimits(&signedSession, operator.Clients)
		p.memory.apply(&signedSession, cfg.Sockets)
		p.fronts = append(p.fronts, session.New(signedSession, p.loop, p.signed, p.gate, log))
	}
	for _, f := range p.fronts {
		if err := listenWithRetry(f.Start, log); err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
	}
	boardTimeout := int64(0)
	if cfg.Board != "" {
		boardTimeout = readyTimeout
	}
	p.ready = readiness.New(p.loop.Now(), boardTimeout)
	p.drain = &drain{loop: p.loop, fronts: p.fronts, gate: p.gate, log: log,
		onReopenFailed: func() { p.ready.Drain() }}
	if cfg.AdminAddress != "" {
		if err := admin.New(p.loop, p, operator.Fleet != nil, log).Listen(cfg.AdminAddress); err != nil {
			return nil, fmt.Errorf("ops: %w", err)
		}
	}
	if cfg.Board != "" {
		p.board.Start()
	}
	if operator.Fleet != nil {
		if err := p.startFleet(operator.Fleet, operator.Exchange); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// shareSpentIDs has the gateway share the ids of requests that must not run twice with the process that
// this one replaces, or that will replace it, where the platform gives both a folder.
func (p *program) shareSpentIDs() {
	if p.cfg.SharedDir == "" {
		return
	}
	name := fmt.Sprintf("cherryramp-%x.ids", sha256.Sum256([]byte(p.cfg.Name+" "+p.cfg.Listen)))
	table, err := spentids.Open(filepath.Join(p.cfg.SharedDir, name), p.log)
	if err != nil {
		p.log.Warn("ids that must not run twice are not shared with another process", "error", err)
		return
	}
	p.gate.SetSharedIDs(table)
}

// listenWithRetry opens a listener at the start of the program. While resources are lacking
// it tries again, for listenTimeout.
func listenWithRetry(listen func() error, log *slog.Logger) error {
	for deadline := time.Now().Add(listenTimeout); ; time.Sleep(listenRetry) {
		err := listen()
		if err == nil || !transport.IsResourceShortage(err) || time.Now().After(deadline) {
			return err
		}
		log.Warn("a listener can't be opened yet", "error", err)
	}
}

// minGrace returns the shortest time that the settings allow for acting on an event of the
// notice board, or 0 if they set none.
func minGrace(cfg *config.Config) loop.Micros {
	drain, purge := cfg.Settings.DrainGrace, cfg.Settings.PurgeGrace
	if drain == 0 || purge == 0 {
		return max(drain, purge)
	}
	return min(drain, purge)
}

// clientRetryAfter returns the time after which rejected clients may retry: half of the maximum
// that clients obey, or 0 if the settings don't allow it.
func clientRetryAfter(cfg *config.Config) loop.Micros {
	if !cfg.Settings.RetryAfter {
		return 0
	}
	return cfg.Settings.MaxAway / 2
}

// maxClientConns returns the maximum of connections of the platform front.
func maxClientConns(cfg *config.Config, c *config.Clients) int {
	if c != nil && c.MaxConns > 0 {
		return c.MaxConns
	}
	return max(1, min(int(clientShare*float64(cfg.Sockets)), cfg.Sockets-spareDescriptors-minNodeConns))
}

// maxNodeConns returns the number of descriptors for cache nodes: all but those that clients
// may hold and those that the program itself needs, above all for the notice board. So
// clients can't keep the front from reaching nodes, or the board after an outage.
func maxNodeConns(cfg *config.Config, o *config.Operator) int {
	clients := maxClientConns(cfg, o.Clients) + rejectDescriptors
	if o.Signed != nil {
		clients += int(signedShare * float64(cfg.Sockets))
	}
	return max(minNodeConns, cfg.Sockets-spareDescriptors-clients)
}

// applyClientLimits sets the connection limits that the operator's file gives for both fronts.
func applyClientLimits(sessionConfig *session.Config, c *config.Clients) {
	if c == nil {
		return
	}
	sessionConfig.IdleTimeout, sessionConfig.RequestTimeout, sessionConfig.MaxPerPrefix, sessionConfig.AdaptiveIdle, sessionConfig.Park = int64(c.IdleTimeoutMS)*1000, int64(c.RequestTimeoutMS)*1000, c.MaxPerPrefix, true, true
}

const (
	minAdmitted         = 8       // concurrent requests that the limiter always admits
	initialAdmitted     = 64      // initial limit of concurrent requests
	maxAdmissionBackoff = 500_000 // us after which rejected clients may retry at most, if the settings give no maximum
	maxAdmissionQueue   = 1 << 15 // maximum of queued requests
)

// newAdmissionQueue returns the limiter of concurrent requests, or nil if the operator's file
// doesn't ask for one.
func newAdmissionQueue(l *loop.Loop, cfg *config.Config, c *config.Clients) *session.Queue {
	if c == nil || c.Admission == "" {
		return nil
	}
	algorithm := admission.AIMD
	if c.Admission == "gradient" {
		algorithm = admission.Gradient
	}
	return session.NewQueue(l, admission.New(admission.Config{Algorithm: algorithm, MinLimit: minAdmitted, InitialLimit: initialAdmitted,
		MaxLimit: max(initialAdmitted, cfg.Settings.MaxHeld), MaxQueued: maxAdmissionQueue, MaxBackoff: cmp.Or(cfg.Settings.MaxAway, maxAdmissionBackoff),
		Worth: classWorths(cfg.Settings.Classes), Seed: cfg.Seed}))
}

// purgeSink is a gateway that takes only purges from the notice board, because its members
// come from another source.
type purgeSink struct{ *gateway.Gateway }

// Members ignores the board's list.
func (purgeSink) Members(bool, []gateway.Member) {}

// localCacheLimits returns the limits of the gateway's local cache. The cache is off if
// the capacity of the link is unknown, or if there is no notice board to announce purges.
func localCacheLimits(cfg *config.Config) gateway.LocalCacheLimits {
	if cfg.Flow == 0 || cfg.Link == 0 || cfg.Board == "" {
		return gateway.LocalCacheLimits{}
	}
	return gateway.LocalCacheLimits{Bytes: int(cacheShare * float64(cfg.MemoryMB) * (1 << 20)), Flow: cfg.Flow,
		Link: cfg.Link, MaxPurgeDelay: cfg.Settings.PurgeGrace}
}

// signedPolicy returns the policy for signed links from the operator's file.
func (p *program) signedPolicy(s *config.Signed) signed.Policy {
	policy := signed.Policy{ProfileSet: s.ProfileSet, Uses: map[string]signed.UseLimit{}, Tenants: map[string]signed.Tenant{}, Revoked: s.RevokedList}
	for name, x := range s.ProfilesByName {
		policy.Uses[name] = signed.UseLimit{Max: x.Uses, RetryWindow: int64(*x.RetryMS) * 1000}
	}
	for name, t := range s.TenantsByName {
		policy.Tenants[name] = signed.Tenant{Paths: t.Paths, All: t.Limit.RateLimit(), Key: t.Key.RateLimit(), Subject: t.Subject.RateLimit()}
	}
	if c := s.CORS; c != nil {
		policy.CORS = &signed.CORS{Origins: c.Origins, Headers: c.Headers, Credentials: c.Credentials, MaxAge: *c.MaxAgeS}
	}
	for _, index := range p.table.InForce() {
		c := &p.table.Classes()[index]
		a := s.Classes[c.Name]
		if c.Unstored {
			a.MaxAgeS = 0
		}
		policy.Classes = append(policy.Classes, signed.Class{Name: c.Name, Index: index, Write: c.Write, GiveUp: c.GiveUp, Fresh: c.Fresh,
			Type: a.Type, Compress: a.Compress, MaxAge: int64(a.MaxAgeS) * 1_000_000})
	}
	return policy
}
