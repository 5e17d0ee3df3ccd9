// Package sites decides whether a request is served at this site or carried to the
// other one. What it believes comes from the front's own traffic, the register and
// the link; it asks nobody.
//
// Failing over is gradual and by object: at a share s those objects cross whose hash
// lies below s. So the set only grows while a site is in trouble and only shrinks
// while it recovers, each object keeps its parent within the site that serves it, and
// the far side's caches are warmed no faster than the share rises. Two marks with a
// time each keep it from flapping.
//
// It does not know what ran: that is the ledger's, whose word is asked before
// anything is carried again.
package sites

import (
	"errors"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Micros is a moment or a span in microseconds.
type Micros = int64

// Where is where a request is served.
type Destination uint8

// The places.
const (
	Local Destination = iota
	Remote
	Refused // refused at once
)

// Why says what led to a verdict.
type Reason uint8

// The reasons.
const (
	LocalHealthy   Reason = iota // this site serves the object
	LocalUnhealthy               // the object's share has gone across
	StoreRemote                  // what writes runs where the store is
	LoopPrevented                // it came from there, or has hopped too often
	LinkDown
	DeadlineTooShort // it can't be there and back in time
	BudgetExhausted  // more may not cross now, or for that worth
	RemoteUnhealthy  // the other site fails what it is sent
)

// Class is what the decision knows of a class.
type Class struct {
	Write          bool
	Worth          float64
	InitialBytes   float64 // that an answer has before any was seen
	InitialLatency Micros  // that the other site takes before any was seen
}

// Config is a site's. Zero is good for none of its figures.
type Config struct {
	Classes                      []Class
	StoreLocal                   bool    // the head office store is at this site
	UnhealthyBelow, HealthyAbove float64 // health below which this site is in trouble, and above which it is well
	UnhealthyAfter               Micros  // that it must be so
	HealthyAfter                 Micros
	RampUp                       Micros  // in which the share that crosses may go from none to all
	RampDown                     Micros  // and back
	RequestRate                  float64 // a second, that may cross
	ByteRate                     float64 // a second
	MaxHops                      int     // that a request may have made
	Seed                         uint64  // the same on all fronts of a site, so that they move the same objects
}

// Check names the first thing that can't be.
func (c Config) Check() error {
	switch {
	case len(c.Classes) == 0:
		return errors.New("sites: no classes")
	case !(c.UnhealthyBelow > 0 && c.UnhealthyBelow < c.HealthyAbove && c.HealthyAbove < 1):
		return fmt.Errorf("sites: marks of %v and %v; 0 < low < high < 1 is needed", c.UnhealthyBelow, c.HealthyAbove)
	case c.UnhealthyAfter <= 0 || c.HealthyAfter <= 0 || c.RampUp <= 0 || c.RampDown <= 0:
		return errors.New("sites: times that are not above 0")
	case !(c.RequestRate > 0) || !(c.ByteRate > 0) || c.MaxHops < 1:
		return fmt.Errorf("sites: %v requests and %v bytes a second over %d hops", c.RequestRate, c.ByteRate, c.MaxHops)
	}
	for i, x := range c.Classes {
		if !(x.Worth >= 0) || !(x.InitialBytes > 0) || x.InitialLatency <= 0 {
			return fmt.Errorf("sites: class %d: worth %v, %v bytes, %d us", i, x.Worth, x.InitialBytes, x.InitialLatency)
		}
	}
	return nil
}

// Request is one that is to be served.
type Request struct {
	Class      int
	Object     string
	Remaining  Micros // of its client's time
	Hops       int    // made so far
	FromRemote bool   // it came from the other site
}

// Verdict is where a request goes.
type Verdict struct {
	Destination Destination
	Reason      Reason
}

// How fast beliefs move.
const (
	localHalfLife   = 500_000   // us in which what is old counts half
	remoteHalfLife  = 1_000_000 // us, for the other site
	meanGain        = 1.0 / 8   // of a round trip's mean, and
	deviationGain   = 1.0 / 4   // of its deviation (RFC 6298, 2.3)
	deviationFactor = 4         // deviations that are allowed for
	minRemoteHealth = 0.5       // of what was carried must do well
	probeShare      = 0.05      // of the share crosses all the same, to learn whether it is better
	burstSeconds    = 0.25      // seconds of the budget that may go at once
	minWorthGrowth  = 2.0       // a second, by which worth a byte gets dearer while the budget is spent
	minWorthFloor   = 1e-12
	priorWeight     = 4 // outcomes that the prior stands for
)

// average is a share of good ones that forgets.
type average struct {
	Good, All float64
	At        Micros
}

func (a *average) decay(now Micros, halfLife float64) {
	if now > a.At {
		f := math.Exp2(-float64(now-a.At) / halfLife)
		a.Good, a.All, a.At = a.Good*f, a.All*f, now
	}
}

func (a *average) record(now Micros, halfLife float64, good bool) {
	a.decay(now, halfLife)
	a.All++
	if good {
		a.Good++
	}
}

// share counts a few good ones beforehand.
func (a *average) share() float64 { return (a.Good + priorWeight) / (a.All + priorWeight) }

// path is what is known of the way across, for one class.
type path struct {
	Latency, Deviation float64 // us until the whole answer was here
	Bytes              float64
	Seen               bool
}

// State is all that a Chooser believes, to be written out and read back.
type State struct {
	Now             Micros
	HubsUp          int
	HubsTotal       int
	LinkUp          bool
	RemoteCapacity  float64
	RemoteShare     float64
	Unhealthy       bool
	PassedSince     Micros // that the health has been past the mark that would change that; 0: it is not
	Local, Remote   average
	Paths           []path
	RequestTokens   float64 // left of the budget
	ByteTokens      float64
	MinWorthPerByte float64 // worth a byte that is asked for
	Forwarded       int64
	Transitions     int64 // into trouble and out of it
}

// Chooser is the decision of one front.
type Selector struct {
	cfg   Config
	state State
}

// New makes a chooser for a site that is well, with a link that is down.
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

// Snapshot gives a copy of the state.
func (sel *Selector) Snapshot() State {
	s := sel.state
	s.Paths = append([]path(nil), s.Paths...)
	return s
}

// Restore takes a state over. What it says of the link and the budget is of then:
// the link counts as down until it is told of.
func (sel *Selector) Restore(s State, now Micros) error {
	if len(s.Paths) != len(sel.cfg.Classes) {
		return fmt.Errorf("sites: a state of %d classes, there are %d", len(s.Paths), len(sel.cfg.Classes))
	}
	for _, x := range []float64{s.RemoteShare, s.RemoteCapacity, s.Local.Good, s.Local.All, s.Remote.Good, s.Remote.All, s.MinWorthPerByte, s.RequestTokens, s.ByteTokens} {
		if !(x >= 0) || math.IsInf(x, 0) {
			return fmt.Errorf("sites: a state with %v in it", x)
		}
	}
	s.Paths = append([]path(nil), s.Paths...)
	s.LinkUp, s.RemoteShare, s.RemoteCapacity = false, min(s.RemoteShare, 1), min(s.RemoteCapacity, 1)
	s.RequestTokens, s.ByteTokens = min(s.RequestTokens, sel.cfg.RequestRate*burstSeconds), min(s.ByteTokens, sel.cfg.ByteRate*burstSeconds)
	if s.Now > now { // by another clock
		s.Now, s.PassedSince = now, 0
		s.Local.At, s.Remote.At = min(s.Local.At, now), min(s.Remote.At, now)
	}
	sel.state = s
	return nil
}

// Hubs tells how many of the site's hubs serve, as the register has it.
func (sel *Selector) SetHubs(now Micros, up, total int) {
	sel.advance(now)
	sel.state.HubsUp, sel.state.HubsTotal = up, total
}

// Link tells that the link came up or went down.
func (sel *Selector) SetLink(now Micros, up bool) {
	sel.advance(now)
	sel.state.LinkUp = up
}

// Offer tells what share of what could cross the other site takes now, as it says
// itself: 1 where it is well, less while it is in trouble or its caches are cold.
func (sel *Selector) SetRemoteCapacity(now Micros, share float64) {
	sel.advance(now)
	if share >= 0 && share <= 1 { // a peer may say anything
		sel.state.RemoteCapacity = share
	}
}

// Served tells how a request that was served here ended.
func (sel *Selector) RecordLocal(now Micros, good bool) {
	sel.advance(now)
	sel.state.Local.record(now, localHalfLife, good)
}

// Carried tells how a request that went across ended: how long it took and how many
// bytes came.
func (sel *Selector) RecordRemote(now Micros, class int, good bool, latency Micros, bytes float64) {
	sel.advance(now)
	sel.state.Remote.record(now, remoteHalfLife, good)
	estimate := &sel.state.Paths[class]
	switch x := float64(latency); {
	case !good: // it took at least so long
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

// Health is how well this site serves, 0 to 1: the share of its hubs, times what its
// requests came to.
func (sel *Selector) Health() float64 {
	hubs := 1.0
	if sel.state.HubsTotal > 0 {
		hubs = float64(sel.state.HubsUp) / float64(sel.state.HubsTotal)
	}
	return hubs * sel.state.Local.share()
}

// Share is the part of the objects that crosses by now.
func (sel *Selector) RemoteShare() float64 { return sel.state.RemoteShare }

// move brings the state to a moment.
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
	// A mark must be passed for a while before anything turns.
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
	// As much crosses as this site lacks, and the other takes.
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
	// The price rises while the budget is spent, and falls while it is not.
	spent := 1 - min(st.RequestTokens/(sel.cfg.RequestRate*burstSeconds), st.ByteTokens/(sel.cfg.ByteRate*burstSeconds))
	st.MinWorthPerByte = max(minWorthFloor, st.MinWorthPerByte*math.Exp2(minWorthGrowth*(2*spent-1)*min(seconds, 1)))
	st.RequestTokens = min(sel.cfg.RequestRate*burstSeconds, st.RequestTokens+sel.cfg.RequestRate*seconds)
	st.ByteTokens = min(sel.cfg.ByteRate*burstSeconds, st.ByteTokens+sel.cfg.ByteRate*seconds)
}

func (sel *Selector) remoteHealth() float64 { return sel.state.Remote.share() }

// Choose says where a request goes. One that goes across is counted against the
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

// crosses tells whether an object is one of those that have gone across.
func (sel *Selector) assignedRemote(object string) bool {
	if sel.state.RemoteShare == 0 {
		return false
	}
	var d xxhash.Digest
	d.ResetWithSeed(sel.cfg.Seed)
	_, _ = d.WriteString(object)
	return float64(d.Sum64()>>11)/(1<<53) < sel.state.RemoteShare
}

// can tells whether a request can go across, and if not, why.
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
