// Package rules makes the routing decisions of a gateway in front of caches of
// large objects: which cache answers a request, where that cache fills a miss
// from, whether the copy is kept, and when a request is retried, refused or failed.
//
// The package does no I/O, has no clock and starts no goroutines. The host
// calls [New] once per gateway and then [Router.Step] with the time and the
// events since; it carries out the actions that come back. Equal seeds and events
// give equal actions. This file has the interface; the path of a request is in
// rules.go, estimates of server response times in pace.go, ejection of failing
// servers in health.go, and limits for servers that just started in slowstart.go.
package rules

// Micros is a time or a duration in microseconds. The zero of times is arbitrary.
type Micros = int64

// ServerID identifies a cache, a parent cache or the origin. It is opaque.
type ServerID uint64

// RequestID identifies a request held by the gateway.
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

// Siblings says which other caches may supply a cache's fill.
type Siblings uint8

// The reach of fills between caches.
const (
	SiblingsNone Siblings = iota
	SiblingsLocation
	SiblingsAny
)

// Notes says which notes come with outcomes.
type Notes uint8

// The levels of notes.
const (
	NotesOff Notes = iota
	NotesHit
	NotesAll
)

// Weights says what the weight of a listed member means.
type Weights uint8

// The meanings of a member's weight.
const (
	WeightsOff     Weights = iota // always 1
	WeightsNominal                // registered capacity, in transfers at full rate
	WeightsRough                  // about the capacity
	WeightsLive                   // capacity over recent load; changes from list to list
)

// Class is a class of requests, as the settings give it.
type Class struct {
	Name       string
	Effect     Effect
	Scope      Scope   // for Keyed
	MemorySpan Micros  // for Keyed: how long repeats are discarded, from the first send that may have run
	Aim        Micros  // latency target: a request answered within it earns its full worth
	AimStretch float64 // the aim grows by this multiple of the request's transfer time
	GiveUp     Micros  // how long a client waits in total
	Worth      float64
	LateWorth  float64 // share of the worth earned after the aim
	Stream     bool
	Write      bool    // never kept, runs at the origin
	Parts      bool    // objects have several parts
	Fresh      Micros  // freshness lifetime of a copy; 0 is no limit
	Unstored   bool    // the settings don't give Fresh: only servers may keep copies
	Grace      Micros  // how far past Fresh a copy may be accepted
	OldWorth   float64 // share of the worth that a stale copy earns
}

// Prices are the penalties of the deployment's score, each per unit of its share or rate. No decision
// uses them.
type Prices struct {
	LateFail, Link, Origin, Probe, Waste, CrossZone float64
}

// Settings configures a Router. See [Router.UpdateSettings] for changes.
type Settings struct {
	Classes       []Class
	Gateways      int       // gateways in total
	Rank          int       // own number among them, from 1; 0 if unknown
	Zone          int       // own zone
	ZoneGates     []int     // gateways in each zone; nil if unknown
	ZoneHub       []int     // the hub of each zone; nil if unknown
	ZoneLink      []float64 // link into each zone, KB/s; 0 where unknown
	ParentKind    int       // kind of the parent caches; -1 for none
	OriginKind    int       // kind of the origin; -1 if it is not listed
	Flow          float64   // maximum rate of one transfer, KB/s; 0 if unknown
	Weights       Weights
	ListOnRequest bool // the server list must be subscribed to
	Direct        bool // requests may go straight to parents and the origin
	Joins         bool // a request may join a fill in progress
	Siblings      Siblings
	Notes         Notes
	Cancel        bool
	Hedges        bool // a second attempt may run beside the first
	Probes        bool
	RetryAfter    bool // clients are told when to come back
	MaxAttempts   int
	MaxHeld       int
	MaxAway       Micros // longest retry delay that a client respects
	ConnectTime   Micros
	ReportFields  map[string]int // index of each field in a load report
	Tick          Micros

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
	OriginFallMultiple float64 // 0: the origin never falls over
	OriginFallTime     Micros

	Prices Prices
}

// Event is something that happened at or around the gateway.
type Event interface{ event() }

// MemberState is the state of a member as discovery reports it.
type MemberState uint8

// The states of a listed member.
const (
	Gone MemberState = iota
	Ready
	Draining
)

// Member is an entry of the server list.
type Member struct {
	ID        ServerID
	Kind      int
	StartedAt Micros // time of its last start; 0 is long ago
	State     MemberState
	Cell      int
	Zone      int
	Weight    float64
}

// Members is an update of the server list.
type Members struct {
	Full   bool // the whole list; members not in it are gone
	Failed bool // a call to discovery failed; the list is unchanged
	List   []Member
}

// Request is a client's request, now held by the gateway.
type Request struct {
	ID      RequestID
	Class   int
	Object  uint64
	Part    int
	Group   int
	Expires Micros  // time until the client stops waiting
	Size    float64 // KB; 0 if unknown
	Repeat  bool
}

// Code says how an attempt ended.
type Code uint16

// The ends of an attempt.
const (
	OK               Code = 200
	Miss             Code = 404 // no suitable copy; never ran
	NotSent          Code = 410 // never sent
	Outdated         Code = 498 // ran, but its answer can't be used: the copy is older than a purge
	Cancelled        Code = 499 // may have run
	ServerError      Code = 500 // may have run
	ConnectFailed    Code = 502 // never ran
	Full             Code = 503 // server at capacity; never ran
	Timeout          Code = 504 // may have run, or still run
	Reset            Code = 598 // may have run
	ConnectionBroken Code = 599 // may have run; no sign of bad health of its server
)

// NeverRan reports whether an end proves that the attempt never ran.
func (c Code) NeverRan() bool {
	return c == Miss || c == NotSent || c == ConnectFailed || c == Full
}

// Note is how the server says that it handled an attempt.
type Note uint8

// The notes. Those from NoteSourceRefused on are failures of a fill.
const (
	NoteNone Note = iota
	NoteHit
	NoteFilled        // from a copy of the source
	NoteOriginFetched // filled, and the origin had to be asked
	NoteJoined        // a fill in progress
	NoteStale
	NoteSourceRefused
	NoteSourceFailed
	NoteSourceMiss // the source was asked only for what it holds
	NoteNoSlot
	NoteOriginFailed
)

// Outcome is the end of one attempt.
type Outcome struct {
	ID         RequestID
	Attempt    int // counted from 0
	Server     ServerID
	Code       Code
	Elapsed    Micros
	Closed     bool // the request is over
	Note       Note
	SourceWait Micros // until the source's first byte or failure; 0 if unknown
}

// lacksCopy reports whether the server had no copy that could be used.
func (o *Outcome) lacksCopy() bool { return o.Code == Miss || o.Code == Outdated }

// Started says that a stream has begun. The request has no deadline from then on.
type Started struct {
	ID      RequestID
	Attempt int
}

// Expired says that the client has gone. No answer is due any more.
type Expired struct{ ID RequestID }

// Report is the result of a probe.
type Report struct {
	Server  ServerID
	Elapsed Micros
	Code    Code
	Load    []float64
}

// Purge says that an object, or with Object 0 a whole group, was purged.
type Purge struct {
	Object uint64
	Group  int
	Age    Micros // how long ago
}

// Timer says that the time of a Wake is up.
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
	Timeout     Micros   // 0 is until the client stops waiting
	Source      ServerID // fills a miss; the server itself for no fill
	KeepRank    int      // priority of the kept copy, 1 to 3; 0 keeps none
	MaxAge      Micros   // maximum age of the copy; 0 is the class's default
	Join        bool     // join a fill in progress
	HeldOnly    bool     // the source gives only what it holds
	PassThrough bool     // the parent keeps no copy
	Revalidate  bool     // an ageing copy is served and refreshed in the background
}

// Cancel stops one attempt.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Refuse is a final answer: not done, and a retry does no harm.
type Refuse struct {
	ID         RequestID
	RetryAfter Micros // when the client should come back; 0 is no advice
	Cause      Cause
}

// Reason says why the router refused a request.
type Reason uint8

// The reasons.
const (
	ReasonDeadline    Reason = iota // its deadline has passed
	ReasonAttempts                  // it has used all its attempts
	ReasonRetryBudget               // the gateway's retry budget is used up
	ReasonCrowded                   // few slots for open requests are left
	ReasonNoServer                  // no server is usable
	ReasonServerSlow                // the server is expected to answer after the aim
	ReasonFillSlow                  // a hit is unlikely, and every fill is expected to end after the aim
	ReasonOutcome                   // its last attempt ended in a way that forbids a retry
	NumReasons        int    = iota
)

// String returns the reason as logged.
func (r Reason) String() string {
	return [NumReasons]string{"deadline", "attempts", "retry budget", "crowded", "no server", "server slow",
		"fill slow", "outcome"}[r]
}

// Cause says why a request was refused, with the estimate that decided. Without such an estimate only
// Reason is set.
type Cause struct {
	Reason    Reason
	Server    ServerID // the server, or source of a fill, whose time was estimated
	Expected  Micros   // time until the answer
	Remaining Micros   // time left within the aim
	Slowdown  float64  // estimated excess of the server's time over its time when idle, as a multiple
	InFlight  int      // attempts of this gateway at the server
}

// Fail is a final answer: the request may or may not have run.
type Fail struct{ ID RequestID }

// Probe asks a server for its load.
type Probe struct{ Server ServerID }

// Wake requests a Timer event after In.
type Wake struct {
	Tag uint32
	In  Micros
}

// Watch subscribes to the server list, where that is required.
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
