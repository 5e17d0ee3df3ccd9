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

// ExchangeRecorder records for the exchange how this front applies limits and verdicts. It
// is used on the loop only.
type ExchangeRecorder interface {
	// RecordTake records that a limit's bucket admitted or refused a request.
	RecordTake(b *quotalease.Bucket, ok bool)
	// RecordNewName records a request under a name for which no quota lease is held.
	RecordNewName()
	// RecordVerdict records that this front starts or stops acting on a verdict. boxes is
	// the number of boxes of the hub, ready the number of those still in use.
	RecordVerdict(v outlier.HeldVerdict, on bool, boxes, ready int)
}

// processStart is the origin of the monotonic clock.
var processStart = time.Now()

// monotonic returns the time in us by the process's monotonic clock, which is used for all
// state of the exchange. It is never 0.
func monotonic() int64 { return 1 + time.Since(processStart).Microseconds() }

// fleetPolicy applies the fleet's quota leases, purges and verdicts on this front. It
// implements gateway.FleetPolicy and signed.SharedLimits, and is used on the loop only.
type fleetPolicy struct {
	program   *program
	limiter   *quotalease.Limiter
	purges    *invalidation.Index
	recorder  ExchangeRecorder
	hasLimits bool

	observer      *outlier.Observer // nil: off
	verdictRules  outlier.Rules
	failing       map[string]outlier.HeldVerdict // verdicts on failing boxes, by name
	otherVerdicts []outlier.HeldVerdict
	acting        map[string]bool
	observeOnly   bool // verdicts are reported but not acted on
	random        *rand.Rand

	regions       []region
	branch        string
	tracksLatency bool
	samples       []sample
}

// region is a client prefix and its region's name.
type region struct {
	prefix netip.Prefix
	name   string
}

// maxSamples bounds the latency samples that are kept until the exchange collects them.
const maxSamples = 2048

func newFleetPolicy(p *program, section *config.Exchange) *fleetPolicy {
	rules, list := section.QuotaLimits()
	maxPurges := 0
	if section.Purges != nil {
		maxPurges = section.Purges.MaxHeld
	}
	policy := &fleetPolicy{program: p, acting: map[string]bool{}, failing: map[string]outlier.HeldVerdict{}, random: rand.New(rand.NewPCG(p.cfg.Seed, 0x5a)), limiter: quotalease.NewLimiter(rules, list, monotonic()), purges: invalidation.NewIndex(maxPurges), hasLimits: len(list) > 0}
	policy.configureObservation(section)
	return policy
}

func (policy *fleetPolicy) reconfigure(section *config.Exchange) {
	rules, list := section.QuotaLimits()
	policy.limiter.Reconfigure(rules, list, monotonic())
	policy.hasLimits = len(list) > 0
	if r, ok := policy.recorder.(interface{ UpdateExchange(*config.Exchange) }); ok {
		r.UpdateExchange(section)
	}
}

// limitKinds maps kinds of claims to kinds of limits.
var limitKinds = map[ratelimit.Kind]string{ratelimit.Tenant: "tenant", ratelimit.Key: "key", ratelimit.Subject: "subject"}

// Take implements signed.SharedLimits.
func (policy *fleetPolicy) Take(claims []ratelimit.Claim) (taken []*quotalease.Bucket, retryAfter gateway.Micros, refusal string) {
	if !policy.hasLimits {
		return nil, 0, ""
	}
	now := monotonic()
	for i := range claims {
		for _, b := range policy.limiter.Find(limitKinds[claims[i].Kind], claims[i].Name, now) {
			wait, ok := b.Take(now)
			if policy.recorder != nil {
				policy.recorder.RecordTake(b, ok)
			}
			if ok {
				taken = append(taken, b)
				continue
			}
			for _, t := range taken {
				t.Undo()
			}
			policy.reportNewNames()
			return nil, wait, "limit " + b.Key.Limit + " of the fleet"
		}
	}
	policy.reportNewNames()
	return taken, 0, ""
}

func (policy *fleetPolicy) reportNewNames() {
	if policy.limiter.TakeNewNames() && policy.recorder != nil {
		policy.recorder.RecordNewName()
	}
}

// Release implements signed.SharedLimits.
func (policy *fleetPolicy) Release(taken []*quotalease.Bucket) {
	for _, b := range taken {
		b.Release()
	}
}

// PurgedUntil implements gateway.FleetPolicy.
func (policy *fleetPolicy) PurgedUntil(object string, group int) (at gateway.Micros, ok bool) {
	return policy.purges.ValidAfter(object, group)
}

// TagPurgedUntil implements gateway.FleetPolicy.
func (policy *fleetPolicy) TagPurgedUntil(tag string) (at gateway.Micros, ok bool) {
	return policy.purges.TagValidAfter(tag)
}

// Mono returns the time by the clock that the exchange's leases use.
func (h fleetHost) Mono() int64 { return monotonic() }

// ApplyGrant implements exchange.Limiter.
func (h fleetHost) ApplyGrant(g quotalease.Grant, newest uint64) {
	h.p.policy.limiter.ApplyGrant(g, newest, monotonic())
}

// Report implements exchange.Limiter.
func (h fleetHost) Report() []quotalease.BucketReport { return h.p.policy.limiter.Report(monotonic()) }

// SetFronts implements exchange.Limiter.
func (h fleetHost) SetFronts(n int) { h.p.policy.limiter.SetFronts(n) }

// Invalidate implements exchange.Invalidator.
func (h fleetHost) Invalidate(s invalidation.Scope, age int64) { h.p.policy.invalidate(s, age) }

func (policy *fleetPolicy) invalidate(scope invalidation.Scope, age int64) {
	policy.purges.Add(scope, policy.program.loop.Now()-age)
}
