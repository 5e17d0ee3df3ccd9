// Package rules decides for a gateway in front of caches of large objects:
// which cache answers a request, where that cache fills a miss from, whether
// the copy stays, and when a request is tried again, refused or failed.
//
// The package does no I/O, keeps no clock and starts no goroutines. The host
// calls [New] once per gateway and then [Router.Step] with the time and what
// happened since; it carries out the actions that come back. This file is the
// interface; a request's way is in rules.go, what is learnt of how servers answer in
// pace.go, who is left out in health.go, and what has just started in slowstart.go.
package rules

// Micros is a time or a span in microseconds. Only differences mean anything.
type Micros = int64

// ServerID names a cache, a parent cache or the origin. It is opaque.
type ServerID uint64

// RequestID names a request held by the gateway.
type RequestID uint32

// Effect says what running a request twice does.
type Effect uint8

// The effects a class of requests can have.
const (
	Safe   Effect = iota // may be repeated and refused freely
	Keyed                // repeats are discarded within a group of caches, for a while
	Unsafe               // must never run twice
)

// Scope is the group of caches that discards repeats of a keyed request.
type Scope uint8

// The scopes a keyed class can have.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Siblings says which caches may supply another cache's fill.
type Siblings uint8

// The reach of fills between caches.
const (
	SiblingsNone Siblings = iota
	SiblingsLocation
	SiblingsAny
)

// Notes says which remarks come with outcomes.
type Notes uint8

// The levels of remarks.
const (
	NotesOff Notes = iota
	NotesHit
	NotesAll
)

// Weights tells what the weight of a listed member means.
type Weights uint8

// The meanings of a member's weight.
const (
	WeightsOff     Weights = iota // always 1
	WeightsNominal                // registered size, in transfers at full pace
	WeightsRough                  // about the size
	WeightsLive                   // size over recent load; changes from list to list
)

// Class is a class of requests, as the settings give it.
type Class struct {
	Name       string
	Effect     Effect
	Scope      Scope   // for Keyed
	MemorySpan Micros  // for Keyed: how long the scope remembers, from the first send that may have run
	Aim        Micros  // answered within it, a request earns its full worth
	AimStretch float64 // the aim grows by this multiple of the request's own work
	GiveUp     Micros  // how long a client waits in all
	Worth      float64
	LateWorth  float64 // share of the worth earned after the aim
	Stream     bool
	Write      bool    // never kept, runs at the origin
	Parts      bool    // objects have several parts
	Fresh      Micros  // fresh time of a copy; 0 is no limit
	Grace      Micros  // how much older than fresh a copy may be when asked for
	OldWorth   float64 // share of the worth that a copy past its fresh time earns
}

// Prices are points taken off the result, each per unit of its share or rate.
type Prices struct {
	LateFail, Link, Origin, Probe, Waste, CrossZone float64
}

// Settings is what a gateway is told once, at its start.
type Settings struct {
	Classes     []Class
	Gateways    int       // gateways in all
	Rank        int       // own number among them, from 1; 0 if untold
	Zone        int       // own zone
	ZoneGates   []int     // gateways in each zone; nil if untold
	ZoneHub     []int     // the hub each zone is tied to; nil if untold
	ZoneLink    []float64 // link into each zone, KB/s; 0 where untold
	ParentKind  int       // kind of the parent caches; -1 for none
	OriginKind  int       // kind of the origin; -1 if it is not listed
	Flow        float64   // top pace of one answer, KB/s; 0 if untold
	Weights     Weights
	OnRequest   bool // the list must be asked for
	Direct      bool // parents and the origin take requests too
	Joins       bool // a request may join a fill under way
	Siblings    Siblings
	Notes       Notes
	Cancel      bool
	Hedges      bool // a second attempt may run beside the first
	Probes      bool
	RetryAfter  bool // clients are told when to come back
	MaxAttempts int
	MaxHeld     int
	MaxAway     Micros // longest wait that a client follows
	ConnectTime Micros
	ReportAt    map[string]int // place of each field in a load report
	Tick        Micros

	DrainGrace   Micros
	FallMultiple float64
	FallTime     Micros
	ColdFrom     float64
	WarmUp       Micros
	AnswerGrace  Micros

	PurgeGrace  Micros
	PurgeSettle Micros

	ParentColdFrom     float64
	ParentWarmUp       Micros
	ParentFallMultiple float64
	OriginFallMultiple float64 // 0: it never stops
	OriginFallTime     Micros

	Prices Prices
}

// Event is something that happened at or around the gateway.
type Event interface{ event() }

// MemberState is what discovery knows of a member.
type MemberState uint8

// The states of a listed member.
const (
	Gone MemberState = iota
	Ready
	Draining
)

// Member is one line of the list of servers.
type Member struct {
	ID        ServerID
	Kind      int
	StartedAt Micros // time of its last start; 0 is long ago
	State     MemberState
	Cell      int
	Zone      int
	Weight    float64
}

// Members brings news of the list.
type Members struct {
	Full   bool // the whole list; members not in it are gone
	Failed bool // a call to discovery failed; the list stays
	List   []Member
}

// Request is a client's request, now held by the gateway.
type Request struct {
	ID      RequestID
	Class   int
	Object  uint64
	Part    int
	Group   int
	Expires Micros  // time before the client stops waiting
	Size    float64 // KB; 0 if untold
	Repeat  bool
}

// Code says how an attempt ended.
type Code uint16

// The ends of an attempt.
const (
	OK               Code = 200
	Miss             Code = 404 // nothing suitable held; never ran
	NotSent          Code = 410 // never sent
	Cancelled        Code = 499 // may have run
	ServerError      Code = 500 // may have run
	ConnectFailed    Code = 502 // never ran
	Full             Code = 503 // not taken, never ran
	Timeout          Code = 504 // may have run, may still
	Reset            Code = 598 // may have run
	ConnectionBroken Code = 599 // may have run; its connection went for no fault of its server's
)

// Note is the remark on an outcome.
type Note uint8

// The remarks.
const (
	NoteNone Note = iota
	NoteHit
	NoteFilled
	NoteOriginFetched
	NoteJoined
	NoteStale
	NoteSourceRefused
	NoteSourceFailed
	NoteSourceMiss
	NoteNoSlot
	NoteOriginFailed
)

// Outcome ends one attempt.
type Outcome struct {
	ID         RequestID
	Attempt    int // counted from 0
	Server     ServerID
	Code       Code
	Elapsed    Micros
	Closed     bool // the request is over
	Note       Note
	SourceWait Micros // until the source's first byte or failure; 0 if untold
}

// Started tells that a stream has begun; it has no deadline from here on.
type Started struct {
	ID      RequestID
	Attempt int
}

// Expired tells that the client has gone; nothing more is owed.
type Expired struct{ ID RequestID }

// Report is the result of a probe.
type Report struct {
	Server  ServerID
	Elapsed Micros
	Code    Code
	Load    []float64
}

// Purge tells that an object, or with Object 0 a whole group, was purged.
type Purge struct {
	Object uint64
	Group  int
	Age    Micros // how long ago
}

// Timer is the end of a Wake.
type Timer struct{ Tag uint32 }

func (Members) event() {}
func (Request) event() {}
func (Outcome) event() {}
func (Started) event() {}
func (Expired) event() {}
func (Report) event()  {}
func (Purge) event()   {}
func (Timer) event()   {}

// Action is something for the host to do, in the order given.
type Action interface{ action() }

// Get sends a request to a server.
type Get struct {
	ID          RequestID
	Attempt     int // its number among the request's, from 0
	Server      ServerID
	Timeout     Micros   // time-out; 0 is until the client stops waiting
	Source      ServerID // who supplies a miss; the server itself for no fill
	KeepRank    int      // rank of the copy, 1 to 3; 0 keeps none
	MaxAge      Micros   // oldest copy that will do; 0 is the class's fresh time
	Join        bool     // join a fill under way
	HeldOnly    bool     // the source gives only what it holds
	PassThrough bool     // the parent keeps no copy
	Revalidate  bool     // an ageing copy is served and fetched anew behind
}

// Cancel stops one attempt.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Refuse is a final answer: not done, a new try does no harm.
type Refuse struct {
	ID         RequestID
	RetryAfter Micros // how long the client should stay away; 0 is no advice
	Cause      Cause
}

// Reason says why the module ended a request itself.
type Reason uint8

// The reasons.
const (
	ReasonDeadline    Reason = iota // its time has run out
	ReasonAttempts                  // it has had all attempts that it may have
	ReasonRetryBudget               // further attempts are used up for now
	ReasonCrowded                   // few places for open requests are left
	ReasonNoServer                  // no server may take it
	ReasonServerSlow                // the server is expected to answer past the aim
	ReasonFillSlow                  // a hit is unlikely, and every fill is expected to end past the aim
	ReasonOutcome                   // its last attempt ended in a way after which it may not go again
	NumReasons        int    = iota
)

// String is the reason as logs have it.
func (r Reason) String() string {
	return [NumReasons]string{"deadline", "attempts", "retry budget", "crowded", "no server", "server slow",
		"fill slow", "outcome"}[r]
}

// Cause is why a request was refused, with the estimate that decided: it is 0 but for the reason where
// none did.
type Cause struct {
	Reason    Reason
	Server    ServerID // whose time was estimated: the server's, or the source's of a fill
	Expected  Micros   // until the answer
	Remaining Micros   // of the aim
	Slowdown  float64  // excess of the server's time over what is expected of it idle, as believed
	InFlight  int      // attempts of this gateway at the server
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID RequestID }

// Probe asks a server for its load.
type Probe struct{ Server ServerID }

// Wake asks for a Timer event after In.
type Wake struct {
	Tag uint32
	In  Micros
}

// Watch subscribes to the list where it must be asked for.
type Watch struct{}

// Log writes a line to the host's log.
type Log struct{ Text string }

func (Get) action()    {}
func (Cancel) action() {}
func (Refuse) action() {}
func (Fail) action()   {}
func (Probe) action()  {}
func (Wake) action()   {}
func (Watch) action()  {}
func (Log) action()    {}
