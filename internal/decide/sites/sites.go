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
	healthTime  = 500_000   // us in which what is old counts half
	farTime     = 1_000_000 // us, for the other site
	sampleGain  = 1.0 / 8   // of a round trip's mean, and
	spreadGain  = 1.0 / 4   // of its deviation (RFC 6298, 2.3)
	spreads     = 4         // deviations that are allowed for
	farLeast    = 0.5       // of what was carried must do well
	farTrial    = 0.05      // of the share crosses all the same, to learn whether it is better
	burst       = 0.25      // seconds of the budget that may go at once
	priceUp     = 2.0       // a second, by which worth a byte gets dearer while the budget is spent
	priceLeast  = 1e-12
	priorWeight = 4 // outcomes that the prior stands for
)

// average is a share of good ones that forgets.
type average struct {
	Good, All float64
	At        Micros
}

func (a *average) fade(now Micros, half float64) {
	if now > a.At {
		f := math.Exp2(-float64(now-a.At) / half)
		a.Good, a.All, a.At = a.Good*f, a.All*f, now
	}
}

func (a *average) add(now Micros, half float64, good bool) {
	a.fade(now, half)
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
	cfg Config
	s   State
}

// New makes a chooser for a site that is well, with a link that is down.
func New(cfg Config, now Micros) (*Selector, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	c := &Selector{cfg: cfg, s: State{Now: now, RemoteCapacity: 1, RequestTokens: cfg.RequestRate * burst, ByteTokens: cfg.ByteRate * burst, MinWorthPerByte: priceLeast}}
	for _, x := range cfg.Classes {
		c.s.Paths = append(c.s.Paths, path{Latency: float64(x.InitialLatency), Deviation: float64(x.InitialLatency) / 4, Bytes: x.InitialBytes})
	}
	c.s.Local.At, c.s.Remote.At = now, now
	return c, nil
}

// Snapshot gives a copy of the state.
func (c *Selector) Snapshot() State {
	s := c.s
	s.Paths = append([]path(nil), s.Paths...)
	return s
}

// Restore takes a state over. What it says of the link and the budget is of then:
// the link counts as down until it is told of.
func (c *Selector) Restore(s State, now Micros) error {
	if len(s.Paths) != len(c.cfg.Classes) {
		return fmt.Errorf("sites: a state of %d classes, there are %d", len(s.Paths), len(c.cfg.Classes))
	}
	for _, x := range []float64{s.RemoteShare, s.RemoteCapacity, s.Local.Good, s.Local.All, s.Remote.Good, s.Remote.All, s.MinWorthPerByte, s.RequestTokens, s.ByteTokens} {
		if !(x >= 0) || math.IsInf(x, 0) {
			return fmt.Errorf("sites: a state with %v in it", x)
		}
	}
	s.Paths = append([]path(nil), s.Paths...)
	s.LinkUp, s.RemoteShare, s.RemoteCapacity = false, min(s.RemoteShare, 1), min(s.RemoteCapacity, 1)
	s.RequestTokens, s.ByteTokens = min(s.RequestTokens, c.cfg.RequestRate*burst), min(s.ByteTokens, c.cfg.ByteRate*burst)
	if s.Now > now { // by another clock
		s.Now, s.PassedSince = now, 0
		s.Local.At, s.Remote.At = min(s.Local.At, now), min(s.Remote.At, now)
	}
	c.s = s
	return nil
}

// Hubs tells how many of the site's hubs serve, as the register has it.
func (c *Selector) SetHubs(now Micros, up, all int) {
	c.move(now)
	c.s.HubsUp, c.s.HubsTotal = up, all
}

// Link tells that the link came up or went down.
func (c *Selector) SetLink(now Micros, up bool) {
	c.move(now)
	c.s.LinkUp = up
}

// Offer tells what share of what could cross the other site takes now, as it says
// itself: 1 where it is well, less while it is in trouble or its caches are cold.
func (c *Selector) SetRemoteCapacity(now Micros, share float64) {
	c.move(now)
	if share >= 0 && share <= 1 { // a peer may say anything
		c.s.RemoteCapacity = share
	}
}

// Served tells how a request that was served here ended.
func (c *Selector) RecordLocal(now Micros, good bool) {
	c.move(now)
	c.s.Local.add(now, healthTime, good)
}

// Carried tells how a request that went across ended: how long it took and how many
// bytes came.
func (c *Selector) RecordRemote(now Micros, class int, good bool, took Micros, bytes float64) {
	c.move(now)
	c.s.Remote.add(now, farTime, good)
	p := &c.s.Paths[class]
	switch x := float64(took); {
	case !good: // it took at least so long
		p.Latency = max(p.Latency, p.Latency+sampleGain*(x-p.Latency))
		return
	case !p.Seen:
		p.Latency, p.Deviation, p.Seen = x, x/2, true
	default:
		p.Deviation += spreadGain * (math.Abs(x-p.Latency) - p.Deviation)
		p.Latency += sampleGain * (x - p.Latency)
	}
	p.Bytes += sampleGain * (bytes - p.Bytes)
}

// Health is how well this site serves, 0 to 1: the share of its hubs, times what its
// requests came to.
func (c *Selector) Health() float64 {
	hubs := 1.0
	if c.s.HubsTotal > 0 {
		hubs = float64(c.s.HubsUp) / float64(c.s.HubsTotal)
	}
	return hubs * c.s.Local.share()
}

// Share is the part of the objects that crosses by now.
func (c *Selector) RemoteShare() float64 { return c.s.RemoteShare }

// move brings the state to a moment.
func (c *Selector) move(now Micros) {
	s := &c.s
	if now <= s.Now {
		return
	}
	span := float64(now - s.Now)
	seconds := span / 1e6
	s.Now = now
	s.Local.fade(now, healthTime)
	s.Remote.fade(now, farTime)
	// A mark must be passed for a while before anything turns.
	health := c.Health()
	passed, wait := health < c.cfg.UnhealthyBelow, c.cfg.UnhealthyAfter
	if s.Unhealthy {
		passed, wait = health > c.cfg.HealthyAbove, c.cfg.HealthyAfter
	}
	switch {
	case !passed:
		s.PassedSince = 0
	case s.PassedSince == 0:
		s.PassedSince = now
	case now-s.PassedSince >= wait:
		s.Unhealthy, s.PassedSince = !s.Unhealthy, 0
		s.Transitions++
	}
	// As much crosses as this site lacks, and the other takes.
	want := 0.0
	if s.Unhealthy && s.LinkUp {
		want = min(1, 1-health+c.cfg.UnhealthyBelow/2) * s.RemoteCapacity
		if c.farShare() < farLeast {
			want *= farTrial
		}
	}
	if want > s.RemoteShare {
		s.RemoteShare = min(want, s.RemoteShare+span/float64(c.cfg.RampUp))
	} else {
		s.RemoteShare = max(want, s.RemoteShare-span/float64(c.cfg.RampDown))
	}
	// The price rises while the budget is spent, and falls while it is not.
	spent := 1 - min(s.RequestTokens/(c.cfg.RequestRate*burst), s.ByteTokens/(c.cfg.ByteRate*burst))
	s.MinWorthPerByte = max(priceLeast, s.MinWorthPerByte*math.Exp2(priceUp*(2*spent-1)*min(seconds, 1)))
	s.RequestTokens = min(c.cfg.RequestRate*burst, s.RequestTokens+c.cfg.RequestRate*seconds)
	s.ByteTokens = min(c.cfg.ByteRate*burst, s.ByteTokens+c.cfg.ByteRate*seconds)
}

func (c *Selector) farShare() float64 { return c.s.Remote.share() }

// Choose says where a request goes. One that goes across is counted against the
// budget.
func (c *Selector) Select(now Micros, q Request) Verdict {
	c.move(now)
	class := &c.cfg.Classes[q.Class]
	must := class.Write && !c.cfg.StoreLocal
	why := StoreRemote
	if !must {
		if class.Write || !c.crosses(q.Object) {
			return Verdict{Local, LocalHealthy}
		}
		why = LocalUnhealthy
	}
	if no, ok := c.can(q, class); !ok {
		if must || c.Health() == 0 {
			return Verdict{Refused, no}
		}
		return Verdict{Local, no}
	}
	c.s.RequestTokens--
	c.s.ByteTokens -= c.s.Paths[q.Class].Bytes
	c.s.Forwarded++
	return Verdict{Remote, why}
}

// crosses tells whether an object is one of those that have gone across.
func (c *Selector) crosses(object string) bool {
	if c.s.RemoteShare == 0 {
		return false
	}
	var d xxhash.Digest
	d.ResetWithSeed(c.cfg.Seed)
	_, _ = d.WriteString(object)
	return float64(d.Sum64()>>11)/(1<<53) < c.s.RemoteShare
}

// can tells whether a request can go across, and if not, why.
func (c *Selector) can(q Request, class *Class) (no Reason, ok bool) {
	p := &c.s.Paths[q.Class]
	switch {
	case q.FromRemote || q.Hops >= c.cfg.MaxHops:
		return LoopPrevented, false
	case !c.s.LinkUp:
		return LinkDown, false
	case float64(q.Remaining) < p.Latency+spreads*p.Deviation:
		return DeadlineTooShort, false
	case c.s.RequestTokens < 1 || c.s.ByteTokens < p.Bytes:
		return BudgetExhausted, false
	case !class.Write && class.Worth < c.s.MinWorthPerByte*p.Bytes:
		return BudgetExhausted, false
	case c.farShare() < farLeast*farLeast && !class.Write && c.s.RemoteShare > farTrial:
		return RemoteUnhealthy, false
	}
	return 0, true
}
