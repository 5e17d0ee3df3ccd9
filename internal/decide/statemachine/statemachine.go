// Package statemachine is what every front of a fleet holds alike: the fronts, and the
// works on machines. A committed command goes in, state and a word on what became
// of it come out; the same commands in the same order make the same state
// everywhere, down to the bytes of its snapshot.
//
// A command carries an id and is applied once, however often it is sent. The
// state is versioned: a front that can't read a snapshot or a command says so and
// does not act on what it did not understand.
package statemachine

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"cherryramp/internal/decide/lease"
	"cherryramp/internal/decide/maintenance"
	"cherryramp/internal/decide/membership"
	"cherryramp/internal/decide/rollout"
	"cherryramp/internal/decide/topology"
)

// Micros is a span, or a moment of fleet time, in microseconds.
type Micros = int64

// Versions of the state and its commands. A fleet stays at the one that all its fronts
// read until the leader has heard that each of them reads a newer one.
const (
	versionFirst  = 1
	versionLeases = 2 // leases, a hub's pace, versions

	// Stands is the version from which on fronts' stands on versions may be proposed.
	VersionStatuses = versionLeases
	versionOwners   = 3 // keepers of sites
	// Keepers is the version from which on sites have keepers.
	VersionOwners = versionOwners
)

// Bounds.
const (
	MaxCommandSize = 16 << 10      // bytes of a command
	mostSeen       = 4096          // ids whose word is remembered
	mostAdvance    = Micros(10e6)  // fleet time that one command moves on
	seenFor        = Micros(600e6) // fleet time for which a word is remembered
	mostWord       = 512           // bytes of a word
	mostBatch      = membership.MaxFronts
)

// ErrVersion tells of state or commands that this build can't read.
var ErrVersion = errors.New("replica: of a version that this build can't read")

// ID names a command: who sends it, and a number that only it uses.
type ID struct {
	Front uint64 `cbor:"1,keyasint"` // incarnation
	Start uint64 `cbor:"2,keyasint"` // of its process
	N     uint64 `cbor:"3,keyasint"`
}

// Command is what an entry holds. Exactly one part is set.
type Command struct {
	Version      int                `cbor:"1,keyasint"`
	ID           ID                 `cbor:"2,keyasint"`
	Found        *Found             `cbor:"3,keyasint,omitempty"`
	Join         *Join              `cbor:"4,keyasint,omitempty"`
	Leave        *Leave             `cbor:"5,keyasint,omitempty"`
	Facts        *Facts             `cbor:"6,keyasint,omitempty"`
	Request      *Request           `cbor:"7,keyasint,omitempty"`
	Order        *Order             `cbor:"8,keyasint,omitempty"`
	Reports      []Report           `cbor:"9,keyasint,omitempty"`
	Rules        *maintenance.Rules `cbor:"10,keyasint,omitempty"`
	RaiseVersion int                `cbor:"11,keyasint,omitempty"` // the version that all fronts read

	Piece    []byte                `cbor:"12,keyasint,omitempty"` // of a version of what fronts act on
	Propose  *rollout.Version      `cbor:"13,keyasint,omitempty"` // a version, whose pieces came before
	Stop     string                `cbor:"14,keyasint,omitempty"` // why the version on its way goes back
	Statuses []rollout.FrontStatus `cbor:"15,keyasint,omitempty"` // what fronts say of the versions that they act on
}

// needs is the version that a command belongs to.
func (c *Command) needs() int {
	if c.Join != nil && c.Join.Front.OwnerLease > 0 {
		return versionOwners
	}
	if c.RaiseVersion > 0 || c.Piece != nil || c.Propose != nil || c.Stop != "" || c.Statuses != nil || c.Rules != nil && (c.Rules.LeaseSpan > 0 || c.Rules.MaxPacePercent > 0 || c.Rules.MaxFencedPercent > 0) ||
		c.Found != nil && (c.Found.Rules.LeaseSpan > 0 || c.Found.Rules.MaxPacePercent > 0) || c.Request != nil && c.Request.Operation.Pace > 0 || c.Join != nil && c.Join.Front.Lease > 0 {
		return versionLeases
	}
	return versionFirst
}

// Found begins a fleet. It is the first command of its log.
type Found struct {
	Name  string            `cbor:"1,keyasint"`
	Fleet uint64            `cbor:"2,keyasint"` // drawn at the founding
	Rules maintenance.Rules `cbor:"3,keyasint"`
}

// Join takes a front in, or what has changed of it.
type Join struct {
	Front membership.Front `cbor:"1,keyasint"`
}

// Leave takes a front out for good.
type Leave struct {
	Name string `cbor:"1,keyasint"`
}

// Facts are what the leader saw: how much time has passed, and who was lost, found,
// or says that it takes no clients.
type Facts struct {
	Span     Micros    `cbor:"1,keyasint"`
	Contacts []Contact `cbor:"2,keyasint,omitempty"`
}

// Contact is one front as the leader sees it.
type Contact struct {
	Name       string `cbor:"1,keyasint"`
	ID         uint64 `cbor:"2,keyasint"`
	Lost       bool   `cbor:"3,keyasint,omitempty"`
	NotServing bool   `cbor:"4,keyasint,omitempty"`
	Unhealthy  bool   `cbor:"5,keyasint,omitempty"`
}

// Ask asks for a work.
type Request struct {
	Operation   maintenance.Operation `cbor:"1,keyasint"`
	RequestedBy string                `cbor:"2,keyasint,omitempty"`
}

// What a person orders.
const (
	Cancel = "cancel"
	Hold   = "hold"
	Resume = "resume"
	Lost   = "lost"
	Finish = "done"
)

// Order is a person's word.
type Order struct {
	Action    string `cbor:"1,keyasint"`
	Operation uint64 `cbor:"2,keyasint,omitempty"`
	Reason    string `cbor:"3,keyasint,omitempty"`
}

// What a front reports of a permit.
const (
	Accepted = "accepted"
	Drained  = "emptied"
	Returned = "back"
	Left     = "left" // a box
)

// Report is a front's word on a permit.
type Report struct {
	Kind    string `cbor:"1,keyasint"`
	Machine string `cbor:"2,keyasint"`
	Permit  uint64 `cbor:"3,keyasint"`
	Front   string `cbor:"4,keyasint"`
	ID      uint64 `cbor:"5,keyasint"`
	Start   uint64 `cbor:"6,keyasint"`
}

// Word is what became of a command.
type Result struct {
	Err    string `cbor:"1,keyasint,omitempty"`
	Number uint64 `cbor:"2,keyasint,omitempty"` // that was asked for, or the version that was proposed
}

// seen is a command that was applied.
type seen struct {
	ID   ID     `cbor:"1,keyasint"`
	At   Micros `cbor:"2,keyasint"`
	Word Result `cbor:"3,keyasint"`
}

// State is all that a replica holds.
type State struct {
	Version     int               `cbor:"1,keyasint"`
	Name        string            `cbor:"2,keyasint"`
	Fleet       uint64            `cbor:"3,keyasint"` // 0: not founded
	Now         Micros            `cbor:"4,keyasint"` // fleet time
	Members     membership.State  `cbor:"5,keyasint"`
	Maintenance maintenance.State `cbor:"6,keyasint"`
	Seen        []seen            `cbor:"7,keyasint,omitempty"` // by age
	Seats       membership.Seats  `cbor:"8,keyasint"`           // as the agreement has them

	Rollout  rollout.State  `cbor:"9,keyasint,omitzero"`
	Topology topology.State `cbor:"10,keyasint,omitzero"`
}

// Rule is a rule that a mutation leaves out, for the checkers' own test.
type Mutation string

// The rules that can be left out.
const (
	DisableFence      Mutation = "fence"       // an acceptance stands whatever became of the leave
	DisableDedup      Mutation = "once"        // a command that comes again is applied again
	DisableLostCount  Mutation = "lost-is-out" // what is lost does not count as out
	DisableMajority   Mutation = "majority"    // a voter goes though no majority is left
	DisableDrift      Mutation = "drift"       // a lease is over once the fleet's clock says so
	DisableLeaseCheck Mutation = "look"        // a front does not look at its lease before it acts
)

// Replica applies commands.
type Replica struct {
	s       State
	byID    map[ID]int // place in Seen, less what was cut off
	cut     int
	without Mutation
}

// New makes a replica of a fleet that is not founded.
func New() *Replica {
	return &Replica{s: State{Version: versionFirst, Maintenance: maintenance.New()}, byID: map[ID]int{}}
}

// Without leaves a rule out.
func (r *Replica) SetMutation(rule Mutation) { r.without = rule }

// Leaves tells whether a rule is left out.
func (r *Replica) HasMutation(rule Mutation) bool { return rule != "" && r.without == rule }

// State is the state. The caller must not write to it.
func (r *Replica) State() *State { return &r.s }

// Fleet is the fronts as works see them.
func (r *Replica) Fleet() maintenance.Fleet {
	s := &r.s
	avoid := func(f *membership.Front) bool {
		x := s.Maintenance.ForMachine(f.Name)
		return x != nil && x.Kind == maintenance.Front && x.Phase != maintenance.Requested
	}
	fleet := make(maintenance.Fleet, 0, len(s.Members.Fronts))
	for _, f := range s.Members.Fronts {
		m := maintenance.Machine{Name: f.Name, Zone: f.Zone, ID: f.ID, Start: f.Start, Lost: f.Lost, NotServing: f.NotServing, Unhealthy: f.Unhealthy, Voter: s.Seats.Has(f.ID)}
		if f.Lost && f.Lease > 0 {
			m.LeaseExpiry = f.Since + lease.ExpirySpan(f.Lease+s.Maintenance.Rules.DrainTimeout)
			if r.without == DisableDrift {
				m.LeaseExpiry = f.Since + f.Lease
			}
		}
		m.Lease = f.Lease
		m.CanYieldSeat = m.Voter && s.Members.CanYield(f.ID, s.Seats, avoid)
		if r.without == DisableMajority {
			m.Voter, m.CanYieldSeat = false, false
		}
		if r.without == DisableLostCount && s.Maintenance.ForMachine(f.Name) == nil {
			m.Lost = false
		}
		fleet = append(fleet, m)
	}
	return fleet
}

// Avoid tells whether a front is about to go out for work.
func (r *Replica) Avoid(f *membership.Front) bool {
	return r.s.Maintenance.OutSoon(f.Name, r.Fleet(), r.s.Now)
}

var (
	encoder = must(cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode())
	decoder = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxNestedLevels: 8,
		MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 16, UTF8: cbor.UTF8RejectInvalid}.DecMode())
)

func must[T any](x T, err error) T {
	if err != nil {
		panic(err) // the options are constants
	}
	return x
}

// Encode writes a command.
func Encode(c Command) ([]byte, error) {
	if c.Version = c.needs(); c.Version > Version {
		return nil, ErrVersion
	}
	b, err := encoder.Marshal(c)
	if err == nil && len(b) > MaxCommandSize {
		err = fmt.Errorf("replica: a command of %d bytes, %d at most", len(b), MaxCommandSize)
	}
	return b, err
}

// Decode reads a command.
func Decode(b []byte) (c Command, err error) {
	if len(b) > MaxCommandSize {
		return c, fmt.Errorf("replica: a command of %d bytes, %d at most", len(b), MaxCommandSize)
	}
	if err := decoder.Unmarshal(b, &c); err != nil {
		return c, fmt.Errorf("%w: %w", ErrVersion, err)
	}
	if c.Version < versionFirst || c.Version > Version {
		return c, fmt.Errorf("%w: it is %d, %d at most", ErrVersion, c.Version, Version)
	}
	return c, nil
}

// Snapshot writes the state: alike at all replicas that have applied the same.
func (r *Replica) Snapshot() []byte {
	b, err := encoder.Marshal(&r.s)
	if err != nil { // plain values always encode
		panic(fmt.Sprintf("replica: %v", err))
	}
	return b
}

// Restore takes the place of all that was held.
func (r *Replica) Restore(b []byte) error {
	var s State
	if err := decoder.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("%w: %w", ErrVersion, err)
	}
	if s.Version < versionFirst || s.Version > Version {
		return fmt.Errorf("%w: it is %d, %d at most", ErrVersion, s.Version, Version)
	}
	if s.Maintenance.Fences == nil {
		s.Maintenance.Fences = map[string]uint64{}
	}
	r.s, r.byID, r.cut = s, map[ID]int{}, 0
	for i, x := range s.Seen {
		r.byID[x.ID] = i
	}
	return nil
}

// Sat tells of the seats after a change of them was applied.
func (r *Replica) ApplySeats(seats membership.Seats) (told []string) {
	slices.Sort(seats.Voters)
	slices.Sort(seats.Learners)
	r.s.Seats = seats
	return r.settle(false)
}

// settle draws the conclusions of a change; facts tells that time has moved on.
func (r *Replica) settle(facts bool) (told []string) {
	for _, name := range r.s.Members.RemoveLeft(r.s.Seats) {
		told = append(told, "front "+name+": has left")
	}
	fleet := r.Fleet()
	told = append(told, r.s.Maintenance.Step(fleet, r.s.Now)...)
	if r.s.Rollout.LastNumber > 0 || len(r.s.Rollout.Pieces) > 0 {
		told = append(told, r.s.Rollout.Step(RolloutMachines(fleet), r.RolloutRules(), r.s.Now, facts)...)
	}
	if r.s.Version >= versionOwners {
		told = append(told, r.s.Topology.Step(r.TopologyFronts(fleet), r.s.Now)...)
	}
	return told
}

// Exchange is the fronts as keepers of sites are chosen of them.
func (r *Replica) TopologyFronts(fleet maintenance.Fleet) []topology.Front {
	list := make([]topology.Front, 0, len(fleet))
	for i, f := range r.s.Members.Fronts {
		m := fleet[i]
		list = append(list, topology.Front{Name: f.Name, Site: f.Zone, ID: f.ID, Start: f.Start, Lost: f.Lost, Leaving: f.Leaving, OwnerLease: f.OwnerLease,
			Expired: f.Lost && m.LeaseExpiry > 0 && r.s.Now >= m.LeaseExpiry})
	}
	return list
}

// Machines is the fronts as versions see them.
func RolloutMachines(fleet maintenance.Fleet) []rollout.Machine {
	list := make([]rollout.Machine, 0, len(fleet))
	for _, m := range fleet {
		list = append(list, rollout.Machine{Name: m.Name, Zone: m.Zone, ID: m.ID, Start: m.Start, Lost: m.Lost, NotServing: m.NotServing, LeaseExpiry: m.LeaseExpiry, Lease: m.Lease})
	}
	return list
}

// VersionRules is what versions know of the fleet's rules.
func (r *Replica) RolloutRules() rollout.Rules {
	w := &r.s.Maintenance.Rules
	return rollout.Rules{LeaseSpan: w.LeaseSpan, MaxFencedPercent: cmp.Or(w.MaxFencedPercent, defaultQuota), WarmUp: w.WarmUp, DrainTimeout: w.DrainTimeout}
}

const defaultQuota = 34 // percent

// Apply applies a command. Told is what has happened, a line each.
func (r *Replica) Apply(c Command) (w Result, told []string) {
	if i, ok := r.byID[c.ID]; ok && c.ID != (ID{}) && r.without != DisableDedup {
		return r.s.Seen[i-r.cut].Word, nil
	}
	w, told, err := r.apply(c)
	if err != nil {
		text := err.Error()
		w.Err = text[:min(len(text), mostWord)]
	}
	told = append(told, r.settle(c.Facts != nil)...)
	r.remember(c.ID, w)
	return w, told
}

// Seen gives the word on a command that was applied lately.
func (r *Replica) Seen(id ID) (Result, bool) {
	i, ok := r.byID[id]
	if !ok || r.without == DisableDedup {
		return Result{}, false
	}
	return r.s.Seen[i-r.cut].Word, true
}

// remember keeps the word on a command, for as long as it may come again.
func (r *Replica) remember(id ID, w Result) {
	if id == (ID{}) {
		return
	}
	s := &r.s
	for len(s.Seen) > 0 && (len(s.Seen) >= mostSeen || s.Now-s.Seen[0].At > seenFor) {
		delete(r.byID, s.Seen[0].ID)
		s.Seen = s.Seen[1:]
		r.cut++
	}
	r.byID[id] = len(s.Seen) + r.cut
	s.Seen = append(s.Seen, seen{ID: id, At: s.Now, Word: w})
}

// Errors of commands.
var (
	errFounded = errors.New("the fleet is founded already")
	errNone    = errors.New("the fleet is not founded")
	errUnknown = errors.New("a command that this build does not know")
	errOlder   = errors.New("the fleet has fronts of older builds")
)

// Takes tells whether all fronts read a command. One that they do not must not even
// be sent: it would end the part of those that can't read it.
func (r *Replica) CheckSupported(c *Command) error {
	if need := c.needs(); c.Found == nil && c.RaiseVersion == 0 && need > r.s.Version {
		return fmt.Errorf("%w: it needs version %d of the state, which is at %d", errOlder, need, r.s.Version)
	}
	return nil
}

func (r *Replica) apply(c Command) (w Result, told []string, err error) {
	s := &r.s
	if c.Found == nil && s.Fleet == 0 {
		return w, nil, errNone
	}
	if err := r.CheckSupported(&c); err != nil {
		return w, nil, err
	}
	switch {
	case c.Found != nil:
		if s.Fleet != 0 {
			return w, nil, errFounded
		}
		s.Name, s.Fleet, s.Maintenance.Rules, s.Version = c.Found.Name, c.Found.Fleet, c.Found.Rules, c.needs()
		return w, []string{"the fleet " + s.Name + " is founded"}, nil
	case c.Join != nil:
		f := c.Join.Front
		old := s.Members.Find(f.Name)
		again := old != nil && (old.ID != f.ID || old.Start != f.Start)
		if err := s.Members.Join(f, s.Now); err != nil {
			return w, nil, err
		}
		if again {
			s.Maintenance.Rejoined(f.Name)
			told = append(told, "front "+f.Name+": started anew")
		} else if old == nil {
			told = append(told, "front "+f.Name+": joined")
		}
		return w, told, nil
	case c.Leave != nil:
		return w, nil, s.Members.Leave(c.Leave.Name)
	case c.Facts != nil:
		return w, r.facts(c.Facts), nil
	case c.Request != nil:
		w.Number, err = s.Maintenance.Request(c.Request.Operation, r.Fleet(), s.Now)
		return w, nil, err
	case c.Order != nil:
		return w, nil, r.order(c.Order)
	case len(c.Reports) > 0:
		var errs []error
		for _, x := range c.Reports[:min(len(c.Reports), mostBatch)] {
			errs = append(errs, r.report(x))
		}
		return w, nil, errors.Join(errs...)
	case c.Piece != nil:
		_, err = s.Rollout.StorePiece(c.Piece, s.Now)
		return w, nil, err
	case c.Propose != nil:
		w.Number, err = s.Rollout.Propose(*c.Propose, r.RolloutRules(), s.Now)
		if err == nil {
			told = []string{fmt.Sprintf("version %d was proposed: %s", w.Number, cmp.Or(c.Propose.Reason, "no reason given"))}
		}
		return w, told, err
	case c.Stop != "":
		return w, nil, s.Rollout.Stop(c.Stop, s.Now)
	case c.Statuses != nil:
		for _, x := range c.Statuses[:min(len(c.Statuses), mostBatch)] {
			if f := s.Members.Find(x.Name); f != nil && f.ID == x.ID && f.Start == x.Start {
				s.Rollout.ApplyReport(x, s.Now)
			}
		}
		return w, nil, nil
	case c.RaiseVersion > 0:
		if c.RaiseVersion <= s.Version {
			return w, nil, nil
		}
		s.Version = c.RaiseVersion
		return w, []string{fmt.Sprintf("the fleet's state is of version %d now, which all fronts read", s.Version)}, nil
	case c.Rules != nil:
		if err := c.Rules.Validate(); err != nil {
			return w, nil, err
		}
		s.Maintenance.Rules = *c.Rules
		return w, []string{"the rules of work have changed"}, nil
	}
	return w, nil, errUnknown
}

func (r *Replica) facts(f *Facts) (told []string) {
	s := &r.s
	s.Now += min(max(0, f.Span), mostAdvance)
	for _, x := range f.Contacts[:min(len(f.Contacts), mostBatch)] {
		was := s.Members.Find(x.Name)
		if was == nil {
			continue
		}
		lost := was.Lost
		if changed, err := s.Members.SetContact(x.Name, x.ID, x.Lost, x.NotServing, x.Unhealthy, s.Now); err == nil && changed && lost != x.Lost {
			told = append(told, "front "+x.Name+map[bool]string{true: ": lost", false: ": found"}[x.Lost])
		}
	}
	return told
}

func (r *Replica) order(o *Order) error {
	w, now := &r.s.Maintenance, r.s.Now
	switch o.Action {
	case Cancel:
		return w.Cancel(o.Operation, o.Reason, now)
	case Hold:
		w.HoldReason = cmp.Or(o.Reason, "by a person")
		return nil
	case Resume:
		w.HoldReason = ""
		return nil
	case Lost:
		return w.DeclareLost(o.Operation, o.Reason, r.Fleet(), now)
	case Finish:
		return w.Finish(o.Operation, now)
	}
	return errUnknown
}

func (r *Replica) report(x Report) error {
	w, now := &r.s.Maintenance, r.s.Now
	f := r.s.Members.Find(x.Front)
	if f == nil || f.ID != x.ID || f.Start != x.Start {
		return membership.ErrUnknownFront
	}
	switch x.Kind {
	case Accepted:
		if r.without == DisableFence {
			if y := w.ForMachine(x.Machine); y != nil && !y.Phase.IsOut() {
				y.Phase, y.Permit = maintenance.Permitted, x.Permit
				delete(w.Fences, x.Machine)
			}
		}
		return w.Accept(x.Machine, x.Permit, x.ID, x.Start, now)
	case Drained:
		return w.Drained(x.Machine, x.Permit, x.ID, now)
	case Returned:
		return w.Returned(x.Machine, x.Permit, x.ID, now)
	case Left:
		return w.ConfirmLeft(x.Machine, x.Permit, x.Front, now)
	}
	return errUnknown
}

// Same tells whether two replicas hold the same.
func (r *Replica) Equal(o *Replica) bool { return bytes.Equal(r.Snapshot(), o.Snapshot()) }
