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
type Where uint8

// The places.
const (
	Here Where = iota
	Across
	Nowhere // refused at once
)

// Why says what led to a verdict.
type Why uint8

// The reasons.
const (
	Healthy  Why = iota // this site serves the object
	Troubled            // the object's share has gone across
	StoreFar            // what writes runs where the store is
	Came                // it came from there, or has hopped too often
	LinkDown
	NoTime   // it can't be there and back in time
	NoBudget // more may not cross now, or for that worth
	FarIll   // the other site fails what it is sent
)

// Class is what the decision knows of a class.
type Class struct {
	Write bool
	Worth float64
	Bytes float64 // that an answer has before any was seen
	Take  Micros  // that the other site takes before any was seen
}

// Config is a site's. Zero is good for none of its figures.
type Config struct {
	Classes   []Class
	StoreHere bool    // the head office store is at this site
	Low, High float64 // health below which this site is in trouble, and above which it is well
	LowFor    Micros  // that it must be so
	HighFor   Micros
	Rise      Micros  // in which the share that crosses may go from none to all
	Fall      Micros  // and back
	Requests  float64 // a second, that may cross
	Bytes     float64 // a second
	Hops      int     // that a request may have made
	Seed      uint64  // the same on all fronts of a site, so that they move the same objects
}

// Check names the first thing that can't be.
func (c Config) Check() error {
	switch {
	case len(c.Classes) == 0:
		return errors.New("sites: no classes")
	case !(c.Low > 0 && c.Low < c.High && c.High < 1):
		return fmt.Errorf("sites: marks of %v and %v; 0 < low < high < 1 is needed", c.Low, c.High)
	case c.LowFor <= 0 || c.HighFor <= 0 || c.Rise <= 0 || c.Fall <= 0:
		return errors.New("sites: times that are not above 0")
	case !(c.Requests > 0) || !(c.Bytes > 0) || c.Hops < 1:
		return fmt.Errorf("sites: %v requests and %v bytes a second over %d hops", c.Requests, c.Bytes, c.Hops)
	}
	for i, x := range c.Classes {
		if !(x.Worth >= 0) || !(x.Bytes > 0) || x.Take <= 0 {
			return fmt.Errorf("sites: class %d: worth %v, %v bytes, %d us", i, x.Worth, x.Bytes, x.Take)
		}
	}
	return nil
}

// Request is one that is to be served.
type Request struct {
	Class  int
	Object string
	Left   Micros // of its client's time
	Hops   int    // made so far
	Far    bool   // it came from the other site
}

// Verdict is where a request goes.
type Verdict struct {
	Where Where
	Why   Why
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
	Take, Spread float64 // us until the whole answer was here
	Bytes        float64
	Seen         bool
}

// State is all that a Chooser believes, to be written out and read back.
type State struct {
	Now       Micros
	HubsUp    int
	Hubs      int
	LinkUp    bool
	Offer     float64
	Share     float64
	Trouble   bool
	Since     Micros // that the health has been past the mark that would change that; 0: it is not
	Here, Far average
	Paths     []path
	Requests  float64 // left of the budget
	Bytes     float64
	Price     float64 // worth a byte that is asked for
	Crossed   int64
	Turns     int64 // into trouble and out of it
}

// Chooser is the decision of one front.
type Chooser struct {
	cfg Config
	s   State
}

// New makes a chooser for a site that is well, with a link that is down.
func New(cfg Config, now Micros) (*Chooser, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	c := &Chooser{cfg: cfg, s: State{Now: now, Offer: 1, Requests: cfg.Requests * burst, Bytes: cfg.Bytes * burst, Price: priceLeast}}
	for _, x := range cfg.Classes {
		c.s.Paths = append(c.s.Paths, path{Take: float64(x.Take), Spread: float64(x.Take) / 4, Bytes: x.Bytes})
	}
	c.s.Here.At, c.s.Far.At = now, now
	return c, nil
}

// Snapshot gives a copy of the state.
func (c *Chooser) Snapshot() State {
	s := c.s
	s.Paths = append([]path(nil), s.Paths...)
	return s
}

// Restore takes a state over. What it says of the link and the budget is of then:
// the link counts as down until it is told of.
func (c *Chooser) Restore(s State, now Micros) error {
	if len(s.Paths) != len(c.cfg.Classes) {
		return fmt.Errorf("sites: a state of %d classes, there are %d", len(s.Paths), len(c.cfg.Classes))
	}
	for _, x := range []float64{s.Share, s.Offer, s.Here.Good, s.Here.All, s.Far.Good, s.Far.All, s.Price, s.Requests, s.Bytes} {
		if !(x >= 0) || math.IsInf(x, 0) {
			return fmt.Errorf("sites: a state with %v in it", x)
		}
	}
	s.Paths = append([]path(nil), s.Paths...)
	s.LinkUp, s.Share, s.Offer = false, min(s.Share, 1), min(s.Offer, 1)
	s.Requests, s.Bytes = min(s.Requests, c.cfg.Requests*burst), min(s.Bytes, c.cfg.Bytes*burst)
	if s.Now > now { // by another clock
		s.Now, s.Since = now, 0
		s.Here.At, s.Far.At = min(s.Here.At, now), min(s.Far.At, now)
	}
	c.s = s
	return nil
}

// Hubs tells how many of the site's hubs serve, as the register has it.
func (c *Chooser) Hubs(now Micros, up, all int) {
	c.move(now)
	c.s.HubsUp, c.s.Hubs = up, all
}

// Link tells that the link came up or went down.
func (c *Chooser) Link(now Micros, up bool) {
	c.move(now)
	c.s.LinkUp = up
}

// Offer tells what share of what could cross the other site takes now, as it says
// itself: 1 where it is well, less while it is in trouble or its caches are cold.
func (c *Chooser) Offer(now Micros, share float64) {
	c.move(now)
	if share >= 0 && share <= 1 { // a peer may say anything
		c.s.Offer = share
	}
}

// Served tells how a request that was served here ended.
func (c *Chooser) Served(now Micros, good bool) {
	c.move(now)
	c.s.Here.add(now, healthTime, good)
}

// Carried tells how a request that went across ended: how long it took and how many
// bytes came.
func (c *Chooser) Carried(now Micros, class int, good bool, took Micros, bytes float64) {
	c.move(now)
	c.s.Far.add(now, farTime, good)
	p := &c.s.Paths[class]
	switch x := float64(took); {
	case !good: // it took at least so long
		p.Take = max(p.Take, p.Take+sampleGain*(x-p.Take))
		return
	case !p.Seen:
		p.Take, p.Spread, p.Seen = x, x/2, true
	default:
		p.Spread += spreadGain * (math.Abs(x-p.Take) - p.Spread)
		p.Take += sampleGain * (x - p.Take)
	}
	p.Bytes += sampleGain * (bytes - p.Bytes)
}

// Health is how well this site serves, 0 to 1: the share of its hubs, times what its
// requests came to.
func (c *Chooser) Health() float64 {
	hubs := 1.0
	if c.s.Hubs > 0 {
		hubs = float64(c.s.HubsUp) / float64(c.s.Hubs)
	}
	return hubs * c.s.Here.share()
}

// Share is the part of the objects that crosses by now.
func (c *Chooser) Share() float64 { return c.s.Share }

// move brings the state to a moment.
func (c *Chooser) move(now Micros) {
	s := &c.s
	if now <= s.Now {
		return
	}
	span := float64(now - s.Now)
	seconds := span / 1e6
	s.Now = now
	s.Here.fade(now, healthTime)
	s.Far.fade(now, farTime)
	// A mark must be passed for a while before anything turns.
	health := c.Health()
	passed, wait := health < c.cfg.Low, c.cfg.LowFor
	if s.Trouble {
		passed, wait = health > c.cfg.High, c.cfg.HighFor
	}
	switch {
	case !passed:
		s.Since = 0
	case s.Since == 0:
		s.Since = now
	case now-s.Since >= wait:
		s.Trouble, s.Since = !s.Trouble, 0
		s.Turns++
	}
	// As much crosses as this site lacks, and the other takes.
	want := 0.0
	if s.Trouble && s.LinkUp {
		want = min(1, 1-health+c.cfg.Low/2) * s.Offer
		if c.farShare() < farLeast {
			want *= farTrial
		}
	}
	if want > s.Share {
		s.Share = min(want, s.Share+span/float64(c.cfg.Rise))
	} else {
		s.Share = max(want, s.Share-span/float64(c.cfg.Fall))
	}
	// The price rises while the budget is spent, and falls while it is not.
	spent := 1 - min(s.Requests/(c.cfg.Requests*burst), s.Bytes/(c.cfg.Bytes*burst))
	s.Price = max(priceLeast, s.Price*math.Exp2(priceUp*(2*spent-1)*min(seconds, 1)))
	s.Requests = min(c.cfg.Requests*burst, s.Requests+c.cfg.Requests*seconds)
	s.Bytes = min(c.cfg.Bytes*burst, s.Bytes+c.cfg.Bytes*seconds)
}

func (c *Chooser) farShare() float64 { return c.s.Far.share() }

// Choose says where a request goes. One that goes across is counted against the
// budget.
func (c *Chooser) Choose(now Micros, q Request) Verdict {
	c.move(now)
	class := &c.cfg.Classes[q.Class]
	must := class.Write && !c.cfg.StoreHere
	why := StoreFar
	if !must {
		if class.Write || !c.crosses(q.Object) {
			return Verdict{Here, Healthy}
		}
		why = Troubled
	}
	if no, ok := c.can(q, class); !ok {
		if must || c.Health() == 0 {
			return Verdict{Nowhere, no}
		}
		return Verdict{Here, no}
	}
	c.s.Requests--
	c.s.Bytes -= c.s.Paths[q.Class].Bytes
	c.s.Crossed++
	return Verdict{Across, why}
}

// crosses tells whether an object is one of those that have gone across.
func (c *Chooser) crosses(object string) bool {
	if c.s.Share == 0 {
		return false
	}
	var d xxhash.Digest
	d.ResetWithSeed(c.cfg.Seed)
	_, _ = d.WriteString(object)
	return float64(d.Sum64()>>11)/(1<<53) < c.s.Share
}

// can tells whether a request can go across, and if not, why.
func (c *Chooser) can(q Request, class *Class) (no Why, ok bool) {
	p := &c.s.Paths[q.Class]
	switch {
	case q.Far || q.Hops >= c.cfg.Hops:
		return Came, false
	case !c.s.LinkUp:
		return LinkDown, false
	case float64(q.Left) < p.Take+spreads*p.Spread:
		return NoTime, false
	case c.s.Requests < 1 || c.s.Bytes < p.Bytes:
		return NoBudget, false
	case !class.Write && class.Worth < c.s.Price*p.Bytes:
		return NoBudget, false
	case c.farShare() < farLeast*farLeast && !class.Write && c.s.Share > farTrial:
		return FarIll, false
	}
	return 0, true
}
