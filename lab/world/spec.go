package world

import (
	"errors"
	"fmt"
	"slices"

	"cherryramp/rules"
)

// Micros is a moment or a span in microseconds.
type Micros = int64

const (
	milli  Micros = 1000
	second Micros = 1_000_000
)

// Class is a class of requests, and how clients ask for it.
type Class struct {
	Name      string
	Share     float64 // of the requests
	Write     bool    // runs at the origin, must never run twice, is not kept
	Window    Micros  // of a write: in which the store drops a repeat of the same key; 0: there are no keys
	Send      Micros  // mean time to send one at a client's pace
	Sigma     float64 // of the logarithm of sizes
	Objects   int     // that are asked for again and again
	Zipf      float64 // exponent of their popularity
	Once      float64 // share of requests for what is wanted only once
	Local     float64 // share of the rest for what is wanted at one branch only
	Drift     Micros  // after which the next object becomes the most popular; 0: never
	Parts     [2]int  // of an object, least and most
	Gap       [2]Micros
	Aim       Micros
	Stretch   float64 // the aim grows by so many sending times
	GiveUp    Micros
	Worth     float64
	LateWorth float64
	Fresh     Micros
	Grace     Micros
	OldWorth  float64
}

// Branch is a location with cache nodes and fronts.
type Branch struct {
	Name   string
	Hub    string
	Boxes  int
	Fronts int
}

// Repeats says how clients come back.
type Repeats struct {
	Most int       // times
	Wait [2]Micros // before they do; 0 and 0: at once
	Obey bool      // they wait as long as a refusal tells
}

// Spec describes a world. Default gives one; what is changed is checked by New.
type Spec struct {
	Seed     uint64
	Hubs     []string
	Branches []Branch
	Parents  int // spread over the hubs
	Classes  []Class
	Repeats  Repeats
	Rate     float64 // requests a second in all, where no curve is given

	Flow      float64    // bytes a second of one transfer to a client
	FillPace  float64    // times that, at which a fill comes at most
	BoxLink   [2]float64 // transfers at full pace that a cache's link carries
	BoxKeep   float64    // seconds of its own sending that a cache keeps
	FillsEach int        // fills that a cache runs, per unit of its link
	FillTime  Micros     // after which one is given up if nothing has come

	InLink     float64 // a branch's link in, over what its caches would draw at full load
	ParentLink float64 // a district cache's, over the fills of its branches at full load
	ParentKeep float64 // seconds of its sending that it keeps
	MissShare  float64 // of requests that count as fills for the sizes of these links

	OriginWait [2]Micros // until its first byte
	OriginLink float64   // over what well-used district caches ask
	OriginDeny float64   // share of its capacity from which it turns calls away
	OriginFall float64   // times its capacity at which it stops, when that lasts FallTime

	Near, Far [2]Micros // one way, in a hub's region and for each further hub

	BoxCold    float64 // share of its capacity that a cache starts with
	BoxWarm    Micros
	ParentCold float64
	ParentWarm Micros
	FallTimes  float64 // what it can do that pushes a cold one over
	FallTime   Micros

	TellMembers [2]Micros // how late the register tells
	TellPurges  [2]Micros
	PurgeDone   Micros // by when caches have dropped old copies by themselves
	PurgeGrace  Micros
	DrainGrace  Micros
	Grace       Micros // past a client's deadline in which an answer must have come
	Slack       Micros // by which limits of time grow, as on sockets
	MaxAway     Micros
	Held        int // calls that a front may hold

	Sized bool // clients tell how large a part is
}

// Default is a site as the operators have it.
func Default() Spec {
	return Spec{
		Seed: 1,
		Hubs: []string{"north-hub", "delta-hub", "west-hub"},
		Branches: []Branch{{"edge-1", "north-hub", 4, 1}, {"edge-2", "north-hub", 3, 1}, {"edge-3", "delta-hub", 3, 1},
			{"edge-4", "west-hub", 2, 1}},
		Parents: 2,
		Classes: []Class{
			{Name: "guide-video", Share: 0.54, Send: 390 * milli, Sigma: 0.8, Objects: 80, Zipf: 1.1, Once: 0.02, Local: 0.15,
				Drift: 20 * second, Parts: [2]int{9, 19}, Gap: [2]Micros{390 * milli, 750 * milli}, Aim: 600 * milli, Stretch: 2,
				GiveUp: 5 * second, Worth: 2, LateWorth: 0.1},
			{Name: "page-asset", Share: 0.426, Send: 65 * milli, Sigma: 0.8, Objects: 500, Zipf: 1.1, Once: 0.02, Local: 0.15,
				Drift: 20 * second, Parts: [2]int{1, 1}, Aim: 250 * milli, Stretch: 2, GiveUp: 3 * second, Worth: 1, LateWorth: 0.1,
				Fresh: 8 * second, Grace: 10 * second, OldWorth: 0.7},
			{Name: "payout-confirm", Share: 0.034, Write: true, Send: 20 * milli, Sigma: 0.2, Aim: 600 * milli, GiveUp: 3 * second, Worth: 3,
				LateWorth: 0.1},
		},
		Repeats: Repeats{Most: 3, Wait: [2]Micros{100 * milli, 400 * milli}, Obey: true},
		Rate:    200,
		Flow:    5e6, FillPace: 3, BoxLink: [2]float64{6, 10}, BoxKeep: 11, FillsEach: 5, FillTime: 2500 * milli,
		InLink: 1.3, ParentLink: 1.35, ParentKeep: 27, MissShare: 0.4,
		OriginWait: [2]Micros{32 * milli, 70 * milli}, OriginLink: 2, OriginDeny: 0.8, OriginFall: 2.5,
		Near: [2]Micros{4 * milli, 11 * milli}, Far: [2]Micros{18 * milli, 44 * milli},
		BoxCold: 0.28, BoxWarm: 15 * second, ParentCold: 0.067, ParentWarm: 20 * second, FallTimes: 2, FallTime: second,
		TellMembers: [2]Micros{500 * milli, 3 * second}, TellPurges: [2]Micros{30 * milli, 400 * milli}, PurgeDone: 6 * second,
		PurgeGrace: 300 * milli, DrainGrace: 500 * milli, Grace: 5 * milli, Slack: 50 * milli, MaxAway: 500 * milli, Held: 350,
	}
}

// Campus is another deployment: campuses round one hub that show recorded lectures, whose
// copies are good until they are purged, and save where a student stopped under a key.
func Campus() Spec {
	s := Default()
	s.Hubs = []string{"central"}
	s.Branches = []Branch{{"north-campus", "central", 4, 2}, {"south-campus", "central", 3, 1}, {"city-campus", "central", 2, 1}}
	s.Classes = []Class{
		{Name: "video-part", Share: 0.52, Send: 360 * milli, Sigma: 0.8, Objects: 80, Zipf: 1.1, Once: 0.02, Local: 0.14, Drift: 20 * second,
			Parts: [2]int{9, 19}, Gap: [2]Micros{300 * milli, 860 * milli}, Aim: 500 * milli, Stretch: 2, GiveUp: 6 * second, Worth: 2, LateWorth: 0.1},
		{Name: "small-file", Share: 0.44, Send: 60 * milli, Sigma: 0.8, Objects: 500, Zipf: 1.1, Once: 0.02, Local: 0.18, Drift: 20 * second,
			Parts: [2]int{1, 1}, Aim: 250 * milli, Stretch: 2, GiveUp: 2500 * milli, Worth: 1, LateWorth: 0.1},
		{Name: "progress-save", Share: 0.032, Write: true, Window: 2 * second, Send: 20 * milli, Sigma: 0.2, Aim: 600 * milli, GiveUp: 3 * second,
			Worth: 3, LateWorth: 0.1},
	}
	s.Rate, s.Sized = 130, true
	s.Near, s.Far = [2]Micros{2 * milli, 4 * milli}, [2]Micros{2 * milli, 4 * milli}
	s.BoxCold, s.BoxWarm, s.ParentCold, s.FallTime = 0.22, 17*second, 0.083, 1500*milli
	s.TellMembers, s.TellPurges, s.PurgeGrace, s.DrainGrace = [2]Micros{1500 * milli, 4800 * milli}, [2]Micros{30 * milli, 800 * milli}, second, 2*second
	return s
}

// Sites are the deployments that a day may be played for, by name.
var Sites = map[string]func() Spec{"branches": Default, "campus": Campus}

// Fleet gives a spec so many cache nodes and fronts in branches of four, with
// district caches and a rate in proportion; for measurements of scale.
func (s *Spec) Fleet(nodes, fronts int) {
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
	for i := range s.Branches { // clients of a branch without a front have nowhere to go
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

// check names the first thing that no world can be made of.
func (s *Spec) check() error {
	if len(s.Hubs) == 0 || len(s.Branches) == 0 || len(s.Classes) == 0 {
		return errors.New("a world needs hubs, branches and classes")
	}
	names := map[string]bool{}
	for _, b := range s.Branches {
		switch {
		case !slices.Contains(s.Hubs, b.Hub):
			return fmt.Errorf("branch %q: hub %q is not known", b.Name, b.Hub)
		case names[b.Name]:
			return fmt.Errorf("branch %q is there twice", b.Name)
		case b.Boxes < 1 || b.Fronts < 1:
			return fmt.Errorf("branch %q: %d boxes and %d fronts, one of each is needed", b.Name, b.Boxes, b.Fronts)
		}
		names[b.Name] = true
	}
	sum := 0.0
	for _, c := range s.Classes {
		switch {
		case c.Share < 0 || c.Send <= 0 || c.GiveUp <= 0 || c.Worth < 0:
			return fmt.Errorf("class %q: share, send, give up and worth must not be negative", c.Name)
		case !c.Write && c.Window > 0:
			return fmt.Errorf("class %q: a window, and it writes nothing", c.Name)
		case !c.Write && (c.Objects < 1 || c.Parts[0] < 1 || c.Parts[1] < c.Parts[0]):
			return fmt.Errorf("class %q: %d objects of %v parts", c.Name, c.Objects, c.Parts)
		}
		sum += c.Share
	}
	for name, x := range map[string]float64{"flow": s.Flow, "rate": s.Rate + 1, "sum of the classes' shares": sum, "fall times": s.FallTimes,
		"parents": float64(s.Parents), "held": float64(s.Held), "fill pace": s.FillPace} {
		if !(x > 0 && x < 1e12) {
			return fmt.Errorf("%s: %v is not above 0", name, x)
		}
	}
	return nil
}

// The kinds of servers, as the settings name them.
const (
	boxKind = iota
	parentKind
	originKind
)

var kinds = []string{"box", "parent", "origin"}

// zones are the hubs and then the branches.
func (s *Spec) zones() []string {
	out := slices.Clone(s.Hubs)
	for _, b := range s.Branches {
		out = append(out, b.Name)
	}
	return out
}

// What fronts are told of connections to servers.
const (
	connectTime = 400 * milli
	streams     = 32
	connIdle    = 12 * second
)

// settings are what a front of a branch is told.
func (s *Spec) settings(zone int) rules.Settings {
	out := rules.Settings{Zone: zone, ParentKind: parentKind, OriginKind: originKind, Flow: s.Flow / 1000, Weights: rules.WeightsNominal,
		Direct: true, Joins: true, Siblings: rules.SiblingsAny, Notes: rules.NotesAll, Cancel: true, Hedges: true, RetryAfter: true,
		MaxAttempts: 6, MaxHeld: s.Held, MaxAway: s.MaxAway, ConnectTime: connectTime, ReportFields: map[string]int{}, Tick: milli,
		DrainGrace: s.DrainGrace, FallMultiple: s.FallTimes, FallTime: s.FallTime, ColdFrom: s.BoxCold, WarmUp: s.BoxWarm,
		AnswerGrace: s.Grace, PurgeGrace: s.PurgeGrace, PurgeSettle: s.PurgeDone, ParentColdFrom: s.ParentCold,
		ParentWarmUp: s.ParentWarm, ParentFallMultiple: s.FallTimes, OriginFallMultiple: s.OriginFall, OriginFallTime: 3 * second,
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
		if c.Window > 0 {
			effect = rules.Keyed
		}
		out.Classes = append(out.Classes, rules.Class{Name: c.Name, Effect: effect, MemorySpan: c.Window, Aim: c.Aim, AimStretch: c.Stretch, GiveUp: c.GiveUp,
			Worth: c.Worth, LateWorth: c.LateWorth, Write: c.Write, Parts: c.Parts[1] > 1, Fresh: c.Fresh, Grace: c.Grace, OldWorth: c.OldWorth})
	}
	return out
}
