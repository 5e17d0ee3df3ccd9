// Package sites decides whether a request is served at this site or forwarded to the
// other one. Its state comes from the front's own traffic, the register of hubs and
// the link alone; it sends no messages.
//
// Failover is gradual and by object: at a remote share s the objects whose hash lies
// below s are forwarded. So the set of forwarded objects only grows while a site is
// unhealthy and only shrinks while it recovers, each object keeps its parent within
// the site that serves it, and the remote caches are warmed no faster than the share
// rises. Two health thresholds, each with a hold time, prevent flapping.
//
// The package does not know which requests were executed: that is the ledger's task,
// which has to be consulted before a request is forwarded again.
package sites

import (
	"errors"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Micros is a point in time or a duration in microseconds.
type Micros = int64

// Destination is where a request is served.
type Destination uint8

// The destinations.
const (
	Local   Destination = iota // this site
	Remote                     // the other site
	Refused                    // neither: the request is refused at once
)

// Reason is why a verdict was reached.
type Reason uint8

// The reasons.
const (
	LocalHealthy     Reason = iota // this site serves the object
	LocalUnhealthy                 // the object is in the share that is forwarded
	StoreRemote                    // writes are served where the store is
	LoopPrevented                  // the request came from the other site, or made too many hops
	LinkDown                       // the link is down
	DeadlineTooShort               // the answer would not be back in time
	BudgetExhausted                // the budget is spent, or reserved for classes of more worth per byte
	RemoteUnhealthy                // the other site fails the requests that it is sent
)

// Class describes a class of requests.
type Class struct {
	Write          bool
	Worth          float64 // of an answer
	InitialBytes   float64 // estimated size of an answer before one was seen
	InitialLatency Micros  // estimated latency of the other site before an answer was seen
}

// Config configures a Selector. None of its numbers may be zero but Seed.
type Config struct {
	Classes                      []Class
	StoreLocal                   bool    // the head office store is at this site
	UnhealthyBelow, HealthyAbove float64 // health thresholds
	UnhealthyAfter               Micros  // how long health must be below UnhealthyBelow
	HealthyAfter                 Micros  // how long health must be above HealthyAbove
	RampUp                       Micros  // minimum time for the remote share to rise from 0 to 1
	RampDown                     Micros  // minimum time for it to fall from 1 to 0
	RequestRate                  float64 // forwarded requests per second, at most
	ByteRate                     float64 // forwarded bytes per second, at most
	MaxHops                      int     // hops of a request from which it is not forwarded
	Seed                         uint64  // the same on all fronts of a site, so that they move the same objects
}

// Check returns an error for the first invalid setting.
func (c Config) Check() error {
	switch {
	case len(c.Classes) == 0:
		return errors.New("sites: no classes")
	case !(c.UnhealthyBelow > 0 && c.UnhealthyBelow < c.HealthyAbove && c.HealthyAbove < 1):
		return fmt.Errorf("sites: health thresholds of %v and %v; 0 < low < high < 1 is needed", c.UnhealthyBelow, c.HealthyAbove)
	case c.UnhealthyAfter <= 0 || c.HealthyAfter <= 0 || c.RampUp <= 0 || c.RampDown <= 0:
		return errors.New("sites: hold and ramp times must be above 0")
	case !(c.RequestRate > 0) || !(c.ByteRate > 0) || c.MaxHops < 1:
		return fmt.Errorf("sites: rates and hops must be above 0, got %v requests/s, %v bytes/s, %d hops", c.RequestRate, c.ByteRate, c.MaxHops)
	}
	for i, x := range c.Classes {
		if !(x.Worth >= 0) || !(x.InitialBytes > 0) || x.InitialLatency <= 0 {
			return fmt.Errorf("sites: class %d: invalid worth %v, size of %v bytes or latency of %d us", i, x.Worth, x.InitialBytes, x.InitialLatency)
		}
	}
	return nil
}

// Request is a request to select a destination for.
type Request struct {
	Class      int
	Object     string
	Remaining  Micros // time until its client stops waiting
	Hops       int    // hops made so far
	FromRemote bool   // it came from the other site
}

// Verdict is the decision on a request.
type Verdict struct {
	Destination Destination
	Reason      Reason
}

// Parameters of the estimators and the budget.
const (
	localHalfLife   = 500_000   // us, half-life of outcomes at this site
	remoteHalfLife  = 1_000_000 // us, half-life of outcomes at the other site
	meanGain        = 1.0 / 8   // gain of the mean latency, and
	deviationGain   = 1.0 / 4   // of its deviation (RFC 6298, section 2.3)
	deviationFactor = 4         // deviations added to the mean when a deadline is checked
	minRemoteHealth = 0.5       // share of good outcomes below which the remote site is unhealthy
	probeShare      = 0.05      // part of the share that is still forwarded then, to detect recovery
	burstSeconds    = 0.25      // seconds of the budget that can accumulate
	minWorthGrowth  = 2.0       // maximum doublings per second of MinWorthPerByte while the budget is spent
	minWorthFloor   = 1e-12     // lower bound of MinWorthPerByte
	priorWeight     = 4         // good outcomes assumed before any was seen
)

// average is an exponentially decaying share of good outcomes.
type average struct {
	Good, All float64
	At        Micros
}

// decay reduces the weight of the outcomes so far.
func (a *average) decay(now Micros, halfLife float64) {
	if now > a.At {
		f := math.Exp2(-float64(now-a.At) / halfLife)
		a.Good, a.All, a.At = a.Good*f, a.All*f, now
	}
}

// record adds an outcome.
func (a *average) record(now Micros, halfLife float64, good bool) {
	a.decay(now, halfLife)
	a.All++
	if good {
		a.Good++
	}
}

// share returns the share of good outcomes, with priorWeight good ones added.
func (a *average) share() float64 { return (a.Good + priorWeight) / (a.All + priorWeight) }

// path holds the estimates for forwarded requests of one class.
type path struct {
	Latency, Deviation float64 // us until the whole answer has arrived
	Bytes              float64 // of an answer
	Seen               bool    // there was an answer; until then these are the initial estimates
}

// State is the complete state of a Selector, which Snapshot returns and Restore takes.
type State struct {
	Now             Micros
	HubsUp          int
	HubsTotal       int
	LinkUp          bool
	RemoteCapacity  float64 // share of the forwarded traffic that the other site accepts, 0 to 1
	RemoteShare     float64 // share of the objects that is forwarded, 0 to 1
	Unhealthy       bool
	PassedSince     Micros // since when health is past the threshold that would toggle Unhealthy; 0: it is not
	Local, Remote   average
	Paths           []path  // by class
	RequestTokens   float64 // left of the budget
	ByteTokens      float64 // left of the budget
	MinWorthPerByte float64 // worth per byte that a request needs to be forwarded
	Forwarded       int64   // requests
	Transitions     int64   // changes of Unhealthy
}

// Selector selects the destinations for the requests of one front. It is not safe
// for concurrent use.
type Selector struct {
	cfg   Config
	state State
}

// New returns a Selector for a healthy site with a link that is down.
func New(cfg Config, now Micros) (*Selector, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	sel := &Selector{cfg: cfg, state: State{Now: now, RemoteCapacity: 1, RequestTokens: cfg.RequestRate * burstSeconds, ByteTokens: cfg.ByteRate * burstSeconds, MinWorthPerByte: minWorthFloor}}
	for _, x := range cfg.Classes {
		sel.state.Paths = append(sel.state.Paths, path{Latency: float64(x.InitialLatency), Deviation: float64(x.InitialLatency) / 4, Bytes: x.InitialBytes})
	}
	sel.state.Local.At, sel.state.Remote.At = now, now
	return sel, nil
}

// Snapshot returns a copy of the state.
func (sel *Selector) Snapshot() State {
	s := sel.state
	s.Paths = append([]path(nil), s.Paths...)
	return s
}

// Restore replaces the state by a snapshot. The link counts as down until SetLink,
// since the snapshot may be old, and the shares and tokens are limited to their
// bounds. It returns an error for a snapshot of another number of classes, or one with
// negative or infinite values.
func (sel *Selector) Restore(s State, now Micros) error {
	if len(s.Paths) != len(sel.cfg.Classes) {
		return fmt.Errorf("sites: snapshot of %d classes, want %d", len(s.Paths), len(sel.cfg.Classes))
	}
	for _, x := range []float64{s.RemoteShare, s.RemoteCapacity, s.Local.Good, s.Local.All, s.Remote.Good, s.Remote.All, s.MinWorthPerByte, s.RequestTokens, s.ByteTokens} {
		if !(x >= 0) || math.IsInf(x, 0) {
			return fmt.Errorf("sites: snapshot with an invalid value %v", x)
		}
	}
	s.Paths = append([]path(nil), s.Paths...)
	s.LinkUp, s.RemoteShare, s.RemoteCapacity = false, min(s.RemoteShare, 1), min(s.RemoteCapacity, 1)
	s.RequestTokens, s.ByteTokens = min(s.RequestTokens, sel.cfg.RequestRate*burstSeconds), min(s.ByteTokens, sel.cfg.ByteRate*burstSeconds)
	if s.Now > now { // the snapshot was taken by another clock
		s.Now, s.PassedSince = now, 0
		s.Local.At, s.Remote.At = min(s.Local.At, now), min(s.Remote.At, now)
	}
	sel.state = s
	return nil
}

// SetHubs sets how many of the site's hubs serve, as the register lists them.
func (sel *Selector) SetHubs(now Micros, up, total int) {
	sel.advance(now)
	sel.state.HubsUp, sel.state.HubsTotal = up, total
}

// SetLink sets whether the link is up.
func (sel *Selector) SetLink(now Micros, up bool) {
	sel.advance(now)
	sel.state.LinkUp = up
}

// SetRemoteCapacity sets which share of the forwarded traffic the other site accepts
// now, as it reports itself: 1 if it is healthy, less while it is unhealthy or its
// caches are cold. Shares outside 0 to 1 are ignored.
func (sel *Selector) SetRemoteCapacity(now Micros, share float64) {
	sel.advance(now)
	if share >= 0 && share <= 1 { // peers are not trusted to be in range
		sel.state.RemoteCapacity = share
	}
}

// RecordLocal records the outcome of a request served at this site.
func (sel *Selector) RecordLocal(now Micros, good bool) {
	sel.advance(now)
	sel.state.Local.record(now, localHalfLife, good)
}

// RecordRemote records the outcome of a forwarded request, its latency and the bytes
// of its answer.
func (sel *Selector) RecordRemote(now Micros, class int, good bool, latency Micros, bytes float64) {
	sel.advance(now)
	sel.state.Remote.record(now, remoteHalfLife, good)
	estimate := &sel.state.Paths[class]
	switch x := float64(latency); {
	case !good: // the latency is a lower bound
		estimate.Latency = max(estimate.Latency, estimate.Latency+meanGain*(x-estimate.Latency))
		return
	case !estimate.Seen:
		estimate.Latency, estimate.Deviation, estimate.Seen = x, x/2, true
	default:
		estimate.Deviation += deviationGain * (math.Abs(x-estimate.Latency) - estimate.Deviation)
		estimate.Latency += meanGain * (x - estimate.Latency)
	}
	estimate.Bytes += meanGain * (bytes - estimate.Bytes)
}

// Health returns the health of this site, 0 to 1: the share of its hubs that serve,
// times the share of its requests with a good outcome.
func (sel *Selector) Health() float64 {
	hubs := 1.0
	if sel.state.HubsTotal > 0 {
		hubs = float64(sel.state.HubsUp) / float64(sel.state.HubsTotal)
	}
	return hubs * sel.state.Local.share()
}

// RemoteShare returns the share of the objects that is forwarded.
func (sel *Selector) RemoteShare() float64 { return sel.state.RemoteShare }

// advance brings the state to the given time.
func (sel *Selector) advance(now Micros) {
	st := &sel.state
	if now <= st.Now {
		return
	}
	elapsed := float64(now - st.Now)
	seconds := elapsed / 1e6
	st.Now = now
	st.Local.decay(now, localHalfLife)
	st.Remote.decay(now, remoteHalfLife)
	// A threshold must be passed for its hold time before Unhealthy changes.
	health := sel.Health()
	beyond, hold := health < sel.cfg.UnhealthyBelow, sel.cfg.UnhealthyAfter
	if st.Unhealthy {
		beyond, hold = health > sel.cfg.HealthyAbove, sel.cfg.HealthyAfter
	}
	switch {
	case !beyond:
		st.PassedSince = 0
	case st.PassedSince == 0:
		st.PassedSince = now
	case now-st.PassedSince >= hold:
		st.Unhealthy, st.PassedSince = !st.Unhealthy, 0
		st.Transitions++
	}
	// Forward what this site lacks in health, as far as the other site accepts it.
	target := 0.0
	if st.Unhealthy && st.LinkUp {
		target = min(1, 1-health+sel.cfg.UnhealthyBelow/2) * st.RemoteCapacity
		if sel.remoteHealth() < minRemoteHealth {
			target *= probeShare
		}
	}
	if target > st.RemoteShare {
		st.RemoteShare = min(target, st.RemoteShare+elapsed/float64(sel.cfg.RampUp))
	} else {
		st.RemoteShare = max(target, st.RemoteShare-elapsed/float64(sel.cfg.RampDown))
	}
	// The required worth per byte rises while more than half of the budget's burst is
	// spent, and falls otherwise.
	spent := 1 - min(st.RequestTokens/(sel.cfg.RequestRate*burstSeconds), st.ByteTokens/(sel.cfg.ByteRate*burstSeconds))
	st.MinWorthPerByte = max(minWorthFloor, st.MinWorthPerByte*math.Exp2(minWorthGrowth*(2*spent-1)*min(seconds, 1)))
	st.RequestTokens = min(sel.cfg.RequestRate*burstSeconds, st.RequestTokens+sel.cfg.RequestRate*seconds)
	st.ByteTokens = min(sel.cfg.ByteRate*burstSeconds, st.ByteTokens+sel.cfg.ByteRate*seconds)
}

// remoteHealth returns the share of forwarded requests with a good outcome.
func (sel *Selector) remoteHealth() float64 { return sel.state.Remote.share() }

// Select decides where a request is served. A forwarded request is charged to the
// budget.
func (sel *Selector) Select(now Micros, request Request) Verdict {
	sel.advance(now)
	class := &sel.cfg.Classes[request.Class]
	mustForward := class.Write && !sel.cfg.StoreLocal
	reason := StoreRemote
	if !mustForward {
		if class.Write || !sel.assignedRemote(request.Object) {
			return Verdict{Local, LocalHealthy}
		}
		reason = LocalUnhealthy
	}
	if refusal, ok := sel.checkRemote(request, class); !ok {
		if mustForward || sel.Health() == 0 {
			return Verdict{Refused, refusal}
		}
		return Verdict{Local, refusal}
	}
	sel.state.RequestTokens--
	sel.state.ByteTokens -= sel.state.Paths[request.Class].Bytes
	sel.state.Forwarded++
	return Verdict{Remote, reason}
}

// assignedRemote reports whether an object is in the share that is forwarded.
func (sel *Selector) assignedRemote(object string) bool {
	if sel.state.RemoteShare == 0 {
		return false
	}
	var d xxhash.Digest
	d.ResetWithSeed(sel.cfg.Seed)
	_, _ = d.WriteString(object)
	return float64(d.Sum64()>>11)/(1<<53) < sel.state.RemoteShare
}

// checkRemote reports whether a request can be forwarded, and if not, why.
func (sel *Selector) checkRemote(request Request, class *Class) (reason Reason, ok bool) {
	estimate := &sel.state.Paths[request.Class]
	switch {
	case request.FromRemote || request.Hops >= sel.cfg.MaxHops:
		return LoopPrevented, false
	case !sel.state.LinkUp:
		return LinkDown, false
	case float64(request.Remaining) < estimate.Latency+deviationFactor*estimate.Deviation:
		return DeadlineTooShort, false
	case sel.state.RequestTokens < 1 || sel.state.ByteTokens < estimate.Bytes:
		return BudgetExhausted, false
	case !class.Write && class.Worth < sel.state.MinWorthPerByte*estimate.Bytes:
		return BudgetExhausted, false
	case sel.remoteHealth() < minRemoteHealth*minRemoteHealth && !class.Write && sel.state.RemoteShare > probeShare:
		return RemoteUnhealthy, false
	}
	return 0, true
}
