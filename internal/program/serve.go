// Package program is one real front: it reads its configuration, wires the parts
// together round the event loop, and ends on SIGTERM when all is answered. It
// decides nothing.
//
// A front's part in a fleet is not linked in here, since the agreement library
// would cost every front 6 MB of pages; the command that has it sets Fleet.
package program

import (
	"cmp"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
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
	"cherryramp/internal/transport"
	"cherryramp/internal/upstream"
	"cherryramp/internal/workers"
	"cherryramp/rules"
)

const (
	memoryShare   = 0.6                    // part of the memory limit that the heap may fill before it is swept harder
	copyShare     = 0.25                   // part of the memory limit for copies of our own
	clientShare   = 0.55                   // part of the descriptors for clients; the usual ones hold a third at most
	signedShare   = 0.1                    // part of them for the clients of the signed front, where it is on
	poolShare     = 0.25                   // part of them for cache nodes
	inputShare    = 0.125                  // part of the memory limit that answers on one connection may fill unseen
	refusedRoom   = 16                     // descriptors for clients of both fronts that only get a refusal
	nodesLeast    = 4                      // descriptors for cache nodes at the least
	poolMost      = 8                      // connections to one node at most
	idleShare     = 0.8                    // part of the nodes' idle time after which we close first
	logFlush      = 100 * time.Millisecond // for the last lines of the log at the end
	startPatience = 5 * time.Second        // for a listener at the start, while the machine lacks room for it
	startRetry    = 100 * time.Millisecond // between its tries
	fewestPooled  = 16                     // nodes that the connections must suffice for
)

// Serve is one front, until SIGTERM. What ends it otherwise is in the log.
func Serve() error {
	out := logging.NewWriter(os.Stderr)
	defer out.Flush(logFlush)
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
	// A channel that is full drops signals, so each kind has its own: one of a kind that waits
	// stands for all that follow.
	ends, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	log := logging.New(out, level)
	slog.SetDefault(log)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	operator, err := config.LoadOperator(os.Getenv)
	if err != nil {
		return err
	}
	if operator.Fleet != nil && JoinFleet == nil {
		out.Flush(logFlush)
		return ExecFleetCommand()
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryMB) * (1 << 20)))
	if err := transport.Setup(log); err != nil {
		return err
	}
	p, err := build(cfg, operator, log)
	if err != nil {
		return err
	}
	go p.heedEnds(ends)
	go p.heedReloads(reloads)
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

// program is the wired parts.
type program struct {
	log            *slog.Logger
	cfg            *config.Config // in force
	table          *generations.Table[rules.Class]
	platform       *platform.Front
	pools          *upstream.Pools
	loop           *loop.Loop
	gate           *gateway.Gateway
	news           *discovery.Client
	fronts         []*session.Server
	operator       *config.Operator
	signed         *signed.Front  // nil: off
	links          *config.Signed // by which it judges
	held           *balance       // nil: no account of bytes is kept
	queue          *session.Queue // nil: no limit is learnt
	figures        *counters.Counters
	ready          *readiness.State
	drain          *drain
	fleet          FleetParticipant       // nil: the front acts alone
	bars           *gateway.DrainOverride // nil without fleet
	watched        health.Detector        // of what the fleet must know of this front
	hurt           bool
	drainedByFleet bool // it takes no clients, as the fleet wants
	drainedByHand  bool // nor did it before, as a person wanted
	versions       versions
	shared         *shared // limits and purges of the whole fleet; nil: off
}

// build wires the parts and starts to serve.
func build(cfg *config.Config, operator *config.Operator, log *slog.Logger) (*program, error) {
	p := &program{log: log, cfg: cfg, operator: operator}
	var err error
	if p.table, err = generations.New(classesMost, cfg.Digest, cfg.Settings.Classes); err != nil {
		return nil, err
	}
	p.figures = counters.New(lanes(cfg.Settings.Classes))
	p.held = newBalance(cfg, operator.Clients)
	p.loop = loop.New(func() {
		p.gate.ProcessEvents()
		p.balance()
	})
	p.gate, err = gateway.New(gateway.Config{Settings: cfg.Settings, Zones: cfg.Zones, Kinds: cfg.Kinds,
		Seed: cfg.Seed, LocalCache: copies(cfg), Counters: p.figures}, p.loop, log)
	if err != nil {
		return nil, err
	}
	nodes := fewestPooled
	if cfg.InitialUpdate != nil {
		for _, e := range cfg.InitialUpdate.Events {
			if e.List != nil {
				nodes = max(nodes, 2*len(e.List.Members))
			}
		}
	}
	tcp := upstream.NewTCP(p.loop)
	to := towards(cfg, cfg.Settings.Classes)
	to.InputBuffer = min(to.Streams*upstream.MaxAnswerBytes, int(inputShare*float64(cfg.MemoryMB)*(1<<20)))
	to.MaxConns = max(1, min(poolMost, int(poolShare*float64(cfg.Sockets))/nodes))
	to.MaxTotalConns = nodesRoom(cfg, operator)
	p.pools = upstream.New(to, tcp, p.loop, p.gate, log)
	p.gate.SetUpstream(p.pools)
	if p.held != nil {
		p.held.nodes, p.held.tcp = p.pools, tcp
	}
	var sink discovery.Sink = p.gate
	var members ephemeral.Sink = p.gate
	if operator.Fleet != nil {
		p.bars = gateway.NewDrainOverride(p.gate)
		sink, members = p.bars, p.bars
	}
	if e := operator.Ephemeral; e != nil {
		sink = purgesOnly{p.gate}
		err := ephemeral.Start(ephemeral.Config{Servers: e.Servers, Path: e.Path,
			Session: time.Duration(e.SessionMS) * time.Millisecond}, p.loop, members, log)
		if err != nil {
			return nil, err
		}
	}
	p.news = discovery.New(p.loop, log, cfg.Board, discovery.TimeoutsFor(grace(cfg)), cfg.InitialUpdate, sink)
	limits := session.Config{Name: "platform", Listen: cfg.Listen, Limits: platform.Limits}
	bound(&limits, operator.Clients)
	limits.MaxConns, limits.RetryAfter = held(cfg, operator.Clients), away(cfg)
	p.held.apply(&limits, cfg.Sockets)
	p.queue = limiter(p.loop, cfg, operator.Clients)
	limits.Admission, limits.Counters = p.queue, p.figures
	if operator.Fleet != nil {
		limits.Audit = auditor{p}
	}
	p.platform = platform.New(p.named(), p.takesClients, log)
	p.fronts = append(p.fronts, session.New(limits, p.loop, p.platform, p.gate, log))
	if operator.Exchange != nil {
		p.shared = newShared(p, operator.Exchange)
		p.gate.SetFleetPolicy(p.shared)
	}
	if operator.Signed != nil {
		o := operator.Signed
		p.links = o
		p.signed, err = signed.New(signed.Config{MaxQueue: o.Pool.Queue, MaxRates: o.Tables.Rates, MaxUses: o.Tables.Uses,
			EncodedBytes: *o.EncodedMB << 20}, p.signedPolicy(o), workers.New(p.loop, o.Pool.Workers), p.loop.Now, loop.Wall, log)
		if err != nil {
			return nil, err
		}
		if p.shared != nil {
			p.signed.SetSharedLimits(p.shared)
		}
		links := session.Config{Name: "signed", Listen: operator.Signed.Listen, Limits: signed.Limits,
			InputBuffer: signed.InputBuffer, MaxConns: int(signedShare * float64(cfg.Sockets)), RetryAfter: limits.RetryAfter, Admission: limits.Admission,
			Counters: p.figures, Audit: limits.Audit}
		bound(&links, operator.Clients)
		p.held.apply(&links, cfg.Sockets)
		p.fronts = append(p.fronts, session.New(links, p.loop, p.signed, p.gate, log))
	}
	for _, f := range p.fronts {
		if err := startPatiently(f.Start, log); err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
	}
	wait := int64(0)
	if cfg.Board != "" {
		wait = readyAfter
	}
	p.ready = readiness.New(p.loop.Now(), wait)
	p.drain = &drain{loop: p.loop, fronts: p.fronts, gate: p.gate, log: log,
		failed: func() { p.ready.Drain() }}
	if cfg.AdminAddress != "" {
		if err := admin.New(p.loop, p, operator.Fleet != nil, log).Listen(cfg.AdminAddress); err != nil {
			return nil, fmt.Errorf("ops: %w", err)
		}
	}
	if cfg.Board != "" {
		p.news.Start()
	}
	if operator.Fleet != nil {
		if err := p.startFleet(operator.Fleet, operator.Exchange); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// startPatiently opens a listener at the program's start, and tries again for a while where
// this machine lacks room for it.
func startPatiently(listen func() error, log *slog.Logger) error {
	for end := time.Now().Add(startPatience); ; time.Sleep(startRetry) {
		err := listen()
		if err == nil || !transport.IsResourceShortage(err) || time.Now().After(end) {
			return err
		}
		log.Warn("a listener can't be opened yet", "error", err)
	}
}

// grace is the shortest that the settings give to act on what the notice board tells; 0
// where they give none.
func grace(cfg *config.Config) loop.Micros {
	drain, purge := cfg.Settings.DrainGrace, cfg.Settings.PurgeGrace
	if drain == 0 || purge == 0 {
		return max(drain, purge)
	}
	return min(drain, purge)
}

// away is how long a client that finds no place is told to stay away, where the settings
// allow that: half of what it heeds.
func away(cfg *config.Config) loop.Micros {
	if !cfg.Settings.RetryAfter {
		return 0
	}
	return cfg.Settings.MaxAway / 2
}

// held is the connections of the platform's front.
func held(cfg *config.Config, c *config.Clients) int {
	if c != nil && c.MaxConns > 0 {
		return c.MaxConns
	}
	return max(1, min(int(clientShare*float64(cfg.Sockets)), cfg.Sockets-spareFiles-nodesLeast))
}

// nodesRoom is the descriptors for cache nodes: those that neither clients may hold nor the
// program itself needs, for the notice board before all. Whatever clients do while the board is
// down, it is found again, and nodes are reached.
func nodesRoom(cfg *config.Config, o *config.Operator) int {
	clients := held(cfg, o.Clients) + refusedRoom
	if o.Signed != nil {
		clients += int(signedShare * float64(cfg.Sockets))
	}
	return max(nodesLeast, cfg.Sockets-spareFiles-clients)
}

// bound takes over what the operator's file says of the connections of both fronts.
func bound(s *session.Config, c *config.Clients) {
	if c == nil {
		return
	}
	s.IdleTimeout, s.RequestTimeout, s.MaxPerPrefix, s.AdaptiveIdle, s.Park = int64(c.IdleTimeoutMS)*1000, int64(c.RequestTimeoutMS)*1000, c.MaxPerPrefix, true, true
}

const (
	admitLeast = 8       // requests that the limiter always lets be open
	admitStart = 64      // and before it has learnt anything
	admitAway  = 500_000 // us to stay away at most, where the settings give no time
	admitQueue = 1 << 15 // requests that wait at most
)

// limiter makes the limiter of requests, where the operator's file asks for one.
func limiter(l *loop.Loop, cfg *config.Config, c *config.Clients) *session.Queue {
	if c == nil || c.Admission == "" {
		return nil
	}
	law := admission.AIMD
	if c.Admission == "gradient" {
		law = admission.Gradient
	}
	return session.NewQueue(l, admission.New(admission.Config{Algorithm: law, MinLimit: admitLeast, InitialLimit: admitStart,
		MaxLimit: max(admitStart, cfg.Settings.MaxHeld), MaxQueued: admitQueue, MaxBackoff: cmp.Or(cfg.Settings.MaxAway, admitAway),
		Worth: worth(cfg.Settings.Classes), Seed: cfg.Seed}))
}

// purgesOnly is a gateway whose members come from elsewhere than the board.
type purgesOnly struct{ *gateway.Gateway }

// Members passes over the board's list.
func (purgesOnly) Members(bool, []gateway.Member) {}

// copies bounds the gateway's own copies; without the figures of the link, or a
// notice board to tell of purges, there are none.
func copies(cfg *config.Config) gateway.LocalCacheLimits {
	if cfg.Flow == 0 || cfg.Link == 0 || cfg.Board == "" {
		return gateway.LocalCacheLimits{}
	}
	return gateway.LocalCacheLimits{Bytes: int(copyShare * float64(cfg.MemoryMB) * (1 << 20)), Flow: cfg.Flow,
		Link: cfg.Link, MaxPurgeDelay: cfg.Settings.PurgeGrace}
}

// signedPolicy is what the operator's file says of signed links.
func (p *program) signedPolicy(s *config.Signed) signed.Policy {
	policy := signed.Policy{Set: s.GrantSet, Uses: map[string]signed.UseLimit{}, Tenants: map[string]signed.Tenant{}, Revoked: s.RevokedList}
	for name, x := range s.ProfilesByName {
		policy.Uses[name] = signed.UseLimit{Max: x.Uses, RetryWindow: int64(*x.RetryMS) * 1000}
	}
	for name, t := range s.TenantsByName {
		policy.Tenants[name] = signed.Tenant{Paths: t.Paths, All: t.Limit.RateLimit(), Key: t.Key.RateLimit(), Subject: t.Subject.RateLimit()}
	}
	if c := s.CORS; c != nil {
		policy.CORS = &signed.CORS{Origins: c.Origins, Headers: c.Headers, Credentials: c.Credentials, MaxAge: *c.MaxAgeS}
	}
	for _, place := range p.table.InForce() {
		c := &p.table.Classes()[place]
		a := s.Classes[c.Name]
		policy.Classes = append(policy.Classes, signed.Class{Name: c.Name, Index: place, Write: c.Write, GiveUp: c.GiveUp, Fresh: c.Fresh,
			Type: a.Type, Compress: a.Compress, MaxAge: int64(a.MaxAgeS) * 1_000_000})
	}
	return policy
}
