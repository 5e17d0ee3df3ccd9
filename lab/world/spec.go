package world

import (
	"errors"
	"fmt"
	"slices"

	"cherryramp/rules"
)

// Micros is a point in time or a duration in microseconds.
type Micros = int64

const (
	milli  Micros = 1000
	second Micros = 1_000_000
)

// Class is a class of requests and how clients issue them.
type Class struct {
	Name         string
	Share        float64 // fraction of all requests
	Write        bool    // runs at the origin, must not run twice, is not cached
	KeyWindow    Micros  // of a write: period in which the store drops a repeat of the same key; 0: no keys
	SendTime     Micros  // mean time to send one response at a client's rate
	Sigma        float64 // standard deviation of the logarithm of sizes
	Objects      int     // number of objects that are requested repeatedly
	Zipf         float64 // exponent of their popularity
	OneTimeShare float64 // fraction of requests for objects that are requested only once
	LocalShare   float64 // fraction of the other requests for objects of one branch
	DriftPeriod  Micros  // after which the next object becomes the most popular; 0: never
	Parts        [2]int  // of an object, minimum and maximum
	PartGap      [2]Micros
	Aim          Micros  // answers after it are late
	AimStretch   float64 // how many send times are added to the aim
	GiveUp       Micros  // maximum time that a client waits for an answer
	Worth        float64 // of an answer in time
	LateWorth    float64 // factor for a late answer
	Fresh        Micros  // maximum age of a fresh copy; 0: until it is purged
	Grace        Micros  // in which an older copy may still be used
	OldWorth     float64 // factor for an answer that is not fresh
}

// Branch is a location with cache nodes and fronts.
type Branch struct {
	Name   string
	Hub    string
	Boxes  int
	Fronts int
}

// RetryPolicy says how clients retry.
type RetryPolicy struct {
	MaxRetries      int       // per request
	Wait            [2]Micros // minimum and maximum delay; 0 and 0: at once
	HonorRetryAfter bool      // wait at least as long as a refusal asks for
}

// Spec describes a world. Default returns a complete one; New validates it.
type Spec struct {
	Seed     uint64
	Hubs     []string
	Branches []Branch
	Parents  int // distributed over the hubs
	Classes  []Class
	Retries  RetryPolicy
	Rate     float64 // total requests per second where the plan has no curve

	Flow             float64    // bytes per second of one transfer to a client
	MaxFillPace      float64    // maximum rate of a fill, as a multiple of Flow
	BoxLink          [2]float64 // minimum and maximum of transfers at full rate that a cache node's link carries
	BoxCacheSeconds  float64    // size of a cache node's cache, in seconds of its own sending rate
	FillsPerTransfer int        // concurrent fills of a cache node, per transfer that its link carries
	FillTimeout      Micros     // after which a fill is abandoned if no byte has arrived

	BranchLink         float64 // a branch's inbound link, as a multiple of what its cache nodes fetch at full load
	ParentLink         float64 // a parent's link, as a multiple of the fills of its branches at full load
	ParentCacheSeconds float64 // size of a parent's cache, in seconds of its sending rate
	MissShare          float64 // fraction of requests that are fills, for the sizes of these links

	OriginLatency      [2]Micros // until the first byte
	OriginLink         float64   // as a multiple of what parents at a good hit rate request
	OriginDenyLoad     float64   // load, as a fraction of capacity, above which it turns calls away
	OriginFallMultiple float64   // load, as a multiple of capacity, at which it crashes when the load lasts

	RegionDelay, HubDelay [2]Micros // one way, within a hub's region and for each further hub

	BoxColdFrom    float64 // fraction of its capacity that a cache node starts with
	BoxWarmUp      Micros
	ParentColdFrom float64
	ParentWarmUp   Micros
	FallMultiple   float64 // multiple of a cold server's capacity that crashes it
	FallTime       Micros

	MemberDelay [2]Micros // delay of the register's announcements
	PurgeDelay  [2]Micros
	PurgeSettle Micros // within which caches apply a purge by themselves
	PurgeGrace  Micros
	DrainGrace  Micros
	AnswerGrace Micros // past a client's deadline in which an answer is still in time
	Slack       Micros // added to time limits, as on sockets
	MaxAway     Micros
	MaxHeld     int // calls that a front may hold

	SendSizes bool // clients announce the size of a part
}

// Default is a site like the operators' own.
func Default() Spec {
	return Spec{
		Seed: 1,
		Hubs: []string{"north-hub", "delta-hub", "west-hub"},
		Branches: []Branch{{"edge-1", "north-hub", 4, 1}, {"edge-2", "north-hub", 3, 1}, {"edge-3", "delta-hub", 3, 1},
			{"edge-4", "west-hub", 2, 1}},
		Parents: 2,
		Classes: []Class{
			{Name: "guide-video", Share: 0.54, SendTime: 390 * milli, Sigma: 0.8, Objects: 80, Zipf: 1.1, OneTimeShare: 0.02, LocalShare: 0.15,
				DriftPeriod: 20 * second, Parts: [2]int{9, 19}, PartGap: [2]Micros{390 * milli, 750 * milli}, Aim: 600 * milli, AimStretch: 2,
				GiveUp: 5 * second, Worth: 2, LateWorth: 0.1},
			{Name: "page-asset", Share: 0.426, SendTime: 65 * milli, Sigma: 0.8, Objects: 500, Zipf: 1.1, OneTimeShare: 0.02, LocalShare: 0.15,
				DriftPeriod: 20 * second, Parts: [2]int{1, 1}, Aim: 250 * milli, AimStretch: 2, GiveUp: 3 * second, Worth: 1, LateWorth: 0.1,
				Fresh: 8 * second, Grace: 10 * second, OldWorth: 0.7},
			{Name: "payout-confirm", Share: 0.034, Write: true, SendTime: 20 * milli, Sigma: 0.2, Aim: 600 * milli, GiveUp: 3 * second, Worth: 3,
				LateWorth: 0.1},
		},
		Retries: RetryPolicy{MaxRetries: 3, Wait: [2]Micros{100 * milli, 400 * milli}, HonorRetryAfter: true},
		Rate:    200,
		Flow:    5e6, MaxFillPace: 3, BoxLink: [2]float64{6, 10}, BoxCacheSeconds: 11, FillsPerTransfer: 5, FillTimeout: 2500 * milli,
		BranchLink: 1.3, ParentLink: 1.35, ParentCacheSeconds: 27, MissShare: 0.4,
		OriginLatency: [2]Micros{32 * milli, 70 * milli}, OriginLink: 2, OriginDenyLoad: 0.8, OriginFallMultiple: 2.5,
		RegionDelay: [2]Micros{4 * milli, 11 * milli}, HubDelay: [2]Micros{18 * milli, 44 * milli},
		BoxColdFrom: 0.28, BoxWarmUp: 15 * second, ParentColdFrom: 0.067, ParentWarmUp: 20 * second, FallMultiple: 2, FallTime: second,
		MemberDelay: [2]Micros{500 * milli, 3 * second}, PurgeDelay: [2]Micros{30 * milli, 400 * milli}, PurgeSettle: 6 * second,
		PurgeGrace: 300 * milli, DrainGrace: 500 * milli, AnswerGrace: 5 * milli, Slack: 50 * milli, MaxAway: 500 * milli, MaxHeld: 350,
	}
}

// Campus is another deployment: campuses around one hub that show recorded lectures,
// whose copies are valid until they are purged, and that save a student's position
// under an idempotency key.
func Campus() Spec {
	s := Default()
	s.Hubs = []string{"central"}
	s.Branches = []Branch{{"north-campus", "central", 4, 2}, {"south-campus", "central", 3, 1}, {"city-campus", "central", 2, 1}}
	s.Classes = []Class{
		{Name: "video-part", Share: 0.52, SendTime: 360 * milli, Sigma: 0.8, Objects: 80, Zipf: 1.1, OneTimeShare: 0.02, LocalShare: 0.14, DriftPeriod: 20 * second,
			Parts: [2]int{9, 19}, PartGap: [2]Micros{300 * milli, 860 * milli}, Aim: 500 * milli, AimStretch: 2, GiveUp: 6 * second, Worth: 2, LateWorth: 0.1},
		{Name: "small-file", Share: 0.44, SendTime: 60 * milli, Sigma: 0.8, Objects: 500, Zipf: 1.1, OneTimeShare: 0.02, LocalShare: 0.18, DriftPeriod: 20 * second,
			Parts: [2]int{1, 1}, Aim: 250 * milli, AimStretch: 2, GiveUp: 2500 * milli, Worth: 1, LateWorth: 0.1},
		{Name: "progress-save", Share: 0.032, Write: true, KeyWindow: 2 * second, SendTime: 20 * milli, Sigma: 0.2, Aim: 600 * milli, GiveUp: 3 * second,
			Worth: 3, LateWorth: 0.1},
	}
	s.Rate, s.SendSizes = 130, true
	s.RegionDelay, s.HubDelay = [2]Micros{2 * milli, 4 * milli}, [2]Micros{2 * milli, 4 * milli}
	s.BoxColdFrom, s.BoxWarmUp, s.ParentColdFrom, s.FallTime = 0.22, 17*second, 0.083, 1500*milli
	s.MemberDelay, s.PurgeDelay, s.PurgeGrace, s.DrainGrace = [2]Micros{1500 * milli, 4800 * milli}, [2]Micros{30 * milli, 800 * milli}, second, 2*second
	return s
}

// Sites are the deployments that a scenario can be played for, by name.
var Sites = map[string]func() Spec{"branches": Default, "campus": Campus}

// Resize sets the number of cache nodes and fronts, in branches of four nodes, with
// parents and a rate in proportion. It is meant for measurements of scale.
func (s *Spec) Resize(nodes, fronts int) {
	count := max(1, nodes/4)
	s.Rate *= float64(nodes) / 12
	s.Parents = max(2, count*10/34)
	s.Branches = nil
	for i := range count {
		s.Branches = append(s.Branches, Branch{Name: fmt.Sprint("edge-", i+1), Hub: s.Hubs[i%len(s.Hubs)], Boxes: 4, Fronts: fronts / count})
		if i < fronts%count {
			s.Branches[i].Fronts++
		}
	}
	for i := range s.Branches { // clients of a branch without a front could not connect
		if s.Branches[i].Fronts == 0 {
			s.Branches[i].Boxes = 0
		}
	}
	s.Branches = slices.DeleteFunc(s.Branches, func(b Branch) bool { return b.Fronts == 0 })
	for i := 0; i < nodes; i++ {
		if i >= len(s.Branches) {
			s.Branches[i%len(s.Branches)].Boxes++
		} else {
			s.Branches[i].Boxes = 1
		}
	}
}

// validate returns an error for the first setting that a world cannot be built from.
func (s *Spec) validate() error {
	if len(s.Hubs) == 0 || len(s.Branches) == 0 || len(s.Classes) == 0 {
		return errors.New("a world needs hubs, branches and classes")
	}
	names := map[string]bool{}
	for _, b := range s.Branches {
		switch {
		case !slices.Contains(s.Hubs, b.Hub):
			return fmt.Errorf("branch %q: unknown hub %q", b.Name, b.Hub)
		case names[b.Name]:
			return fmt.Errorf("duplicate branch %q", b.Name)
		case b.Boxes < 1 || b.Fronts < 1:
			return fmt.Errorf("branch %q: %d boxes and %d fronts, at least one of each is needed", b.Name, b.Boxes, b.Fronts)
		}
		names[b.Name] = true
	}
	sum := 0.0
	for _, c := range s.Classes {
		switch {
		case c.Share < 0 || c.SendTime <= 0 || c.GiveUp <= 0 || c.Worth < 0:
			return fmt.Errorf("class %q: share and worth must not be negative, send time and give up must be above 0", c.Name)
		case !c.Write && c.KeyWindow > 0:
			return fmt.Errorf("class %q: a key window, but no writes", c.Name)
		case !c.Write && (c.Objects < 1 || c.Parts[0] < 1 || c.Parts[1] < c.Parts[0]):
			return fmt.Errorf("class %q: %d objects of %v parts", c.Name, c.Objects, c.Parts)
		}
		sum += c.Share
	}
	for name, x := range map[string]float64{"flow": s.Flow, "rate": s.Rate + 1, "sum of the classes' shares": sum, "fall times": s.FallMultiple,
		"parents": float64(s.Parents), "held": float64(s.MaxHeld), "fill pace": s.MaxFillPace} {
		if !(x > 0 && x < 1e12) {
			return fmt.Errorf("%s: %v is out of range", name, x)
		}
	}
	return nil
}

// The kinds of servers, as indexes into serverKinds.
const (
	boxKind = iota
	parentKind
	originKind
)

var serverKinds = []string{"box", "parent", "origin"}

// zones returns the hubs followed by the branches.
func (s *Spec) zones() []string {
	out := slices.Clone(s.Hubs)
	for _, b := range s.Branches {
		out = append(out, b.Name)
	}
	return out
}

// Settings of the fronts' connections to servers.
const (
	connectTime     = 400 * milli
	streamsPerConn  = 32
	connIdleTimeout = 12 * second
)

// settings returns the settings of a front in a zone.
func (s *Spec) settings(zone int) rules.Settings {
	out := rules.Settings{Zone: zone, ParentKind: parentKind, OriginKind: originKind, Flow: s.Flow / 1000, Weights: rules.WeightsNominal,
		Direct: true, Joins: true, Siblings: rules.SiblingsAny, Notes: rules.NotesAll, Cancel: true, Hedges: true, RetryAfter: true,
		MaxAttempts: 6, MaxHeld: s.MaxHeld, MaxAway: s.MaxAway, ConnectTime: connectTime, ReportFields: map[string]int{}, Tick: milli,
		DrainGrace: s.DrainGrace, FallMultiple: s.FallMultiple, FallTime: s.FallTime, ColdFrom: s.BoxColdFrom, WarmUp: s.BoxWarmUp,
		AnswerGrace: s.AnswerGrace, PurgeGrace: s.PurgeGrace, PurgeSettle: s.PurgeSettle, ParentColdFrom: s.ParentColdFrom,
		ParentWarmUp: s.ParentWarmUp, ParentFallMultiple: s.FallMultiple, OriginFallMultiple: s.OriginFallMultiple, OriginFallTime: 3 * second,
		Prices: rules.Prices{LateFail: 0.03, Link: 0.02, Origin: 0.25, Waste: 0.22, CrossZone: 0.01}}
	for i := range s.Hubs {
		out.ZoneHub, out.ZoneGates = append(out.ZoneHub, i), append(out.ZoneGates, 0)
	}
	for _, b := range s.Branches {
		out.ZoneHub, out.ZoneGates = append(out.ZoneHub, slices.Index(s.Hubs, b.Hub)), append(out.ZoneGates, b.Fronts)
		out.Gateways += b.Fronts
	}
	for _, c := range s.Classes {
		effect := rules.Safe
		if c.Write {
			effect = rules.Unsafe
		}
		if c.KeyWindow > 0 {
			effect = rules.Keyed
		}
		out.Classes = append(out.Classes, rules.Class{Name: c.Name, Effect: effect, MemorySpan: c.KeyWindow, Aim: c.Aim, AimStretch: c.AimStretch, GiveUp: c.GiveUp,
			Worth: c.Worth, LateWorth: c.LateWorth, Write: c.Write, Parts: c.Parts[1] > 1, Fresh: c.Fresh, Grace: c.Grace, OldWorth: c.OldWorth})
	}
	return out
}
