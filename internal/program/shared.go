package program

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"cherryramp/internal/config"
	"cherryramp/internal/decide/invalidation"
	"cherryramp/internal/decide/outlier"
	"cherryramp/internal/decide/quotalease"
	"cherryramp/internal/decide/ratelimit"
	"cherryramp/internal/gateway"
)

// ExchangePart is what a front's part in the exchange does for its host, on the loop.
type ExchangeRecorder interface {
	// Took tells of a request that a limit let through or refused, and by which part.
	RecordTake(b *quotalease.Bucket, ok bool)
	// NewName tells that a name came that no part is held of.
	RecordNewName()
	// Acted tells that this front acts on a verdict, or does so no more; boxes is how many
	// its hub has, ready how many of them are left.
	RecordVerdict(v outlier.HeldVerdict, on bool, boxes, ready int)
}

// began is when this process did, for clocks that only go forward.
var began = time.Now()

// mono is this process's clock for what the fleet shares, in microseconds.
func mono() int64 { return 1 + time.Since(began).Microseconds() }

// shared is what holds for the whole fleet, as this front goes by it: parts of limits, and
// purges. It belongs to the loop.
type shared struct {
	p      *program
	purse  *quotalease.Limiter
	index  *invalidation.Index
	part   ExchangeRecorder
	limits bool

	seen   *outlier.Observer // nil: off
	rules  outlier.Rules
	holds  map[string]outlier.HeldVerdict // failing boxes, by name
	others []outlier.HeldVerdict
	acts   map[string]bool
	watch  bool // verdicts are told and not acted on
	draws  *rand.Rand

	regions []region
	branch  string
	paths   bool
	samples []sample
}

// region is a prefix of clients and what it is called.
type region struct {
	prefix netip.Prefix
	name   string
}

// mostSamples is what is held until it is asked for.
const mostSamples = 2048

func newShared(p *program, x *config.Exchange) *shared {
	rules, list := x.QuotaLimits()
	most := 0
	if x.Purges != nil {
		most = x.Purges.MaxHeld
	}
	s := &shared{p: p, acts: map[string]bool{}, holds: map[string]outlier.HeldVerdict{}, draws: rand.New(rand.NewPCG(p.cfg.Seed, 0x5a)), purse: quotalease.NewLimiter(rules, list, mono()), index: invalidation.NewIndex(most), limits: len(list) > 0}
	s.sees(x)
	return s
}

func (s *shared) renew(x *config.Exchange) {
	rules, list := x.QuotaLimits()
	s.purse.Reconfigure(rules, list, mono())
	s.limits = len(list) > 0
	if r, ok := s.part.(interface{ UpdateExchange(*config.Exchange) }); ok {
		r.UpdateExchange(x)
	}
}

// kinds are what limits are for, by what claims are.
var kinds = map[ratelimit.Kind]string{ratelimit.Tenant: "tenant", ratelimit.Key: "key", ratelimit.Subject: "subject"}

// Take is part of signed.Shared.
func (s *shared) Take(claims []ratelimit.Claim) (taken []*quotalease.Bucket, away gateway.Micros, refused string) {
	if !s.limits {
		return nil, 0, ""
	}
	now := mono()
	for i := range claims {
		for _, b := range s.purse.Find(kinds[claims[i].Kind], claims[i].Name, now) {
			wait, ok := b.Take(now)
			if s.part != nil {
				s.part.RecordTake(b, ok)
			}
			if ok {
				taken = append(taken, b)
				continue
			}
			for _, t := range taken {
				t.Undo()
			}
			s.fresh()
			return nil, wait, "limit " + b.Key.Limit + " of the fleet"
		}
	}
	s.fresh()
	return taken, 0, ""
}

func (s *shared) fresh() {
	if s.purse.TakeNewNames() && s.part != nil {
		s.part.RecordNewName()
	}
}

// Done is part of signed.Shared.
func (s *shared) Done(taken []*quotalease.Bucket) {
	for _, b := range taken {
		b.Release()
	}
}

// PurgedUntil is part of gateway.FleetPolicy.
func (s *shared) PurgedUntil(object string, group int) (at gateway.Micros, ok bool) {
	return s.index.ValidAfter(object, group)
}

// TagPurgedUntil is part of gateway.FleetPolicy.
func (s *shared) TagPurgedUntil(tag string) (at gateway.Micros, ok bool) {
	return s.index.TagValidAfter(tag)
}

// Mono is the clock by which the fleet's part leases what is shared.
func (h fleetHost) Mono() int64 { return mono() }

// Give is part of exchange.Limiter.
func (h fleetHost) ApplyGrant(g quotalease.Grant, newest uint64) {
	h.p.shared.purse.ApplyGrant(g, newest, mono())
}

// Tell is part of exchange.Limiter.
func (h fleetHost) Report() []quotalease.BucketReport { return h.p.shared.purse.Report(mono()) }

// Fronts is part of exchange.Limiter.
func (h fleetHost) SetFronts(n int) { h.p.shared.purse.SetFronts(n) }

// Obey is part of exchange.Obeyer.
func (h fleetHost) Invalidate(s invalidation.Scope, age int64) { h.p.shared.obey(s, age) }

func (s *shared) obey(scope invalidation.Scope, age int64) {
	s.index.Add(scope, s.p.loop.Now()-age)
}
