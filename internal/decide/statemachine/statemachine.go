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
	maxSeen        = 4096          // ids whose word is remembered
	maxAdvance     = Micros(10e6)  // fleet time that one command moves on
	seenRetention  = Micros(600e6) // fleet time for which a word is remembered
	maxErrorSize   = 512           // bytes of a word
	maxBatch       = membership.MaxFronts
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
func (c *Command) requiredVersion() int {
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
type appliedCommand struct {
	ID     ID     `cbor:"1,keyasint"`
	At     Micros `cbor:"2,keyasint"`
	Result Result `cbor:"3,keyasint"`
}

// State is all that a replica holds.
type State struct {
	Version     int               `cbor:"1,keyasint"`
	Name        string            `cbor:"2,keyasint"`
	Fleet       uint64            `cbor:"3,keyasint"` // 0: not founded
	Now         Micros            `cbor:"4,keyasint"` // fleet time
	Members     membership.State  `cbor:"5,keyasint"`
	Maintenance maintenance.State `cbor:"6,keyasint"`
	Seen        []appliedCommand  `cbor:"7,keyasint,omitempty"` // by age
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
	state    State
	byID     map[ID]int // place in Seen, less what was cut off
	dropped  int
	mutation Mutation
}

// New makes a replica of a fleet that is not founded.
func New() *Replica {
	return &Replica{state: State{Version: versionFirst, Maintenance: maintenance.New()}, byID: map[ID]int{}}
}

// Without leaves a rule out.
func (r *Replica) SetMutation(m Mutation) { r.mutation = m }

// Leaves tells whether a rule is left out.
func (r *Replica) HasMutation(m Mutation) bool { return m != "" && r.mutation == m }

// State is the state. The caller must not write to it.
func (r *Replica) State() *State { return &r.state }

// Fleet is the fronts as works see them.
func (r *Replica) Fleet() maintenance.Fleet {
	s := &r.state
	avoid := func(f *membership.Front) bool {
		x := s.Maintenance.ForMachine(f.Name)
		return x != nil && x.Kind == maintenance.Front && x.Phase != maintenance.Requested
	}
	fleet := make(maintenance.Fleet, 0, len(s.Members.Fronts))
	for _, f := range s.Members.Fronts {
		m := maintenance.Machine{Name: f.Name, Zone: f.Zone, ID: f.ID, Start: f.Start, Lost: f.Lost, NotServing: f.NotServing, Unhealthy: f.Unhealthy, Voter: s.Seats.Has(f.ID)}
		if f.Lost && f.Lease > 0 {
			m.LeaseExpiry = f.Since + lease.ExpirySpan(f.Lease+s.Maintenance.Rules.DrainTimeout)
			if r.mutation == DisableDrift {
				m.LeaseExpiry = f.Since + f.Lease
			}
		}
		m.Lease = f.Lease
		m.CanYieldSeat = m.Voter && s.Members.CanYield(f.ID, s.Seats, avoid)
		if r.mutation == DisableMajority {
			m.Voter, m.CanYieldSeat = false, false
		}
		if r.mutation == DisableLostCount && s.Maintenance.ForMachine(f.Name) == nil {
			m.Lost = false
		}
		fleet = append(fleet, m)
	}
	return fleet
}

// Avoid tells whether a front is about to go out for work.
func (r *Replica) Avoid(f *membership.Front) bool {
	return r.state.Maintenance.OutSoon(f.Name, r.Fleet(), r.state.Now)
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
	if c.Version = c.requiredVersion(); c.Version > Version {
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
	b, err := encoder.Marshal(&r.state)
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
	r.state, r.byID, r.dropped = s, map[ID]int{}, 0
	for i, x := range s.Seen {
		r.byID[x.ID] = i
	}
	return nil
}

// Sat tells of the seats after a change of them was applied.
func (r *Replica) ApplySeats(seats membership.Seats) (events []string) {
	slices.Sort(seats.Voters)
	slices.Sort(seats.Learners)
	r.state.Seats = seats
	return r.settle(false)
}

// settle draws the conclusions of a change; facts tells that time has moved on.
func (r *Replica) settle(timeAdvanced bool) (events []string) {
	for _, name := range r.state.Members.RemoveLeft(r.state.Seats) {
		events = append(events, "front "+name+": has left")
	}
	fleet := r.Fleet()
	events = append(events, r.state.Maintenance.Step(fleet, r.state.Now)...)
	if r.state.Rollout.LastNumber > 0 || len(r.state.Rollout.Pieces) > 0 {
		events = append(events, r.state.Rollout.Step(RolloutMachines(fleet), r.RolloutRules(), r.state.Now, timeAdvanced)...)
	}
	if r.state.Version >= versionOwners {
		events = append(events, r.state.Topology.Step(r.TopologyFronts(fleet), r.state.Now)...)
	}
	return events
}

// Exchange is the fronts as keepers of sites are chosen of them.
func (r *Replica) TopologyFronts(fleet maintenance.Fleet) []topology.Front {
	list := make([]topology.Front, 0, len(fleet))
	for i, f := range r.state.Members.Fronts {
		m := fleet[i]
		list = append(list, topology.Front{Name: f.Name, Site: f.Zone, ID: f.ID, Start: f.Start, Lost: f.Lost, Leaving: f.Leaving, OwnerLease: f.OwnerLease,
			Expired: f.Lost && m.LeaseExpiry > 0 && r.state.Now >= m.LeaseExpiry})
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
	rules := &r.state.Maintenance.Rules
	return rollout.Rules{LeaseSpan: rules.LeaseSpan, MaxFencedPercent: cmp.Or(rules.MaxFencedPercent, defaultMaxFencedPercent), WarmUp: rules.WarmUp, DrainTimeout: rules.DrainTimeout}
}

const defaultMaxFencedPercent = 34 // percent

// Apply applies a command. Told is what has happened, a line each.
func (r *Replica) Apply(c Command) (result Result, events []string) {
	if i, ok := r.byID[c.ID]; ok && c.ID != (ID{}) && r.mutation != DisableDedup {
		return r.state.Seen[i-r.dropped].Result, nil
	}
	result, events, err := r.apply(c)
	if err != nil {
		text := err.Error()
		result.Err = text[:min(len(text), maxErrorSize)]
	}
	events = append(events, r.settle(c.Facts != nil)...)
	r.remember(c.ID, result)
	return result, events
}

// Seen gives the word on a command that was applied lately.
func (r *Replica) Seen(id ID) (Result, bool) {
	i, ok := r.byID[id]
	if !ok || r.mutation == DisableDedup {
		return Result{}, false
	}
	return r.state.Seen[i-r.dropped].Result, true
}

// remember keeps the word on a command, for as long as it may come again.
func (r *Replica) remember(id ID, result Result) {
	if id == (ID{}) {
		return
	}
	s := &r.state
	for len(s.Seen) > 0 && (len(s.Seen) >= maxSeen || s.Now-s.Seen[0].At > seenRetention) {
		delete(r.byID, s.Seen[0].ID)
		s.Seen = s.Seen[1:]
		r.dropped++
	}
	r.byID[id] = len(s.Seen) + r.dropped
	s.Seen = append(s.Seen, appliedCommand{ID: id, At: s.Now, Result: result})
}

// Errors of commands.
var (
	errFounded     = errors.New("the fleet is founded already")
	errNotFounded  = errors.New("the fleet is not founded")
	errUnknown     = errors.New("a command that this build does not know")
	errOlderBuilds = errors.New("the fleet has fronts of older builds")
)

// Takes tells whether all fronts read a command. One that they do not must not even
// be sent: it would end the part of those that can't read it.
func (r *Replica) CheckSupported(c *Command) error {
	if need := c.requiredVersion(); c.Found == nil && c.RaiseVersion == 0 && need > r.state.Version {
		return fmt.Errorf("%w: it needs version %d of the state, which is at %d", errOlderBuilds, need, r.state.Version)
	}
	return nil
}

func (r *Replica) apply(c Command) (result Result, events []string, err error) {
	s := &r.state
	if c.Found == nil && s.Fleet == 0 {
		return result, nil, errNotFounded
	}
	if err := r.CheckSupported(&c); err != nil {
		return result, nil, err
	}
	switch {
	case c.Found != nil:
		if s.Fleet != 0 {
			return result, nil, errFounded
		}
		s.Name, s.Fleet, s.Maintenance.Rules, s.Version = c.Found.Name, c.Found.Fleet, c.Found.Rules, c.requiredVersion()
		return result, []string{"the fleet " + s.Name + " is founded"}, nil
	case c.Join != nil:
		f := c.Join.Front
		old := s.Members.Find(f.Name)
		again := old != nil && (old.ID != f.ID || old.Start != f.Start)
		if err := s.Members.Join(f, s.Now); err != nil {
			return result, nil, err
		}
		if again {
			s.Maintenance.Rejoined(f.Name)
			events = append(events, "front "+f.Name+": started anew")
		} else if old == nil {
			events = append(events, "front "+f.Name+": joined")
		}
		return result, events, nil
	case c.Leave != nil:
		return result, nil, s.Members.Leave(c.Leave.Name)
	case c.Facts != nil:
		return result, r.facts(c.Facts), nil
	case c.Request != nil:
		result.Number, err = s.Maintenance.Request(c.Request.Operation, r.Fleet(), s.Now)
		return result, nil, err
	case c.Order != nil:
		return result, nil, r.order(c.Order)
	case len(c.Reports) > 0:
		var errs []error
		for _, x := range c.Reports[:min(len(c.Reports), maxBatch)] {
			errs = append(errs, r.report(x))
		}
		return result, nil, errors.Join(errs...)
	case c.Piece != nil:
		_, err = s.Rollout.StorePiece(c.Piece, s.Now)
		return result, nil, err
	case c.Propose != nil:
		result.Number, err = s.Rollout.Propose(*c.Propose, r.RolloutRules(), s.Now)
		if err == nil {
			events = []string{fmt.Sprintf("version %d was proposed: %s", result.Number, cmp.Or(c.Propose.Reason, "no reason given"))}
		}
		return result, events, err
	case c.Stop != "":
		return result, nil, s.Rollout.Stop(c.Stop, s.Now)
	case c.Statuses != nil:
		for _, x := range c.Statuses[:min(len(c.Statuses), maxBatch)] {
			if f := s.Members.Find(x.Name); f != nil && f.ID == x.ID && f.Start == x.Start {
				s.Rollout.ApplyReport(x, s.Now)
			}
		}
		return result, nil, nil
	case c.RaiseVersion > 0:
		if c.RaiseVersion <= s.Version {
			return result, nil, nil
		}
		s.Version = c.RaiseVersion
		return result, []string{fmt.Sprintf("the fleet's state is of version %d now, which all fronts read", s.Version)}, nil
	case c.Rules != nil:
		if err := c.Rules.Validate(); err != nil {
			return result, nil, err
		}
		s.Maintenance.Rules = *c.Rules
		return result, []string{"the rules of work have changed"}, nil
	}
	return result, nil, errUnknown
}

func (r *Replica) facts(f *Facts) (events []string) {
	s := &r.state
	s.Now += min(max(0, f.Span), maxAdvance)
	for _, contact := range f.Contacts[:min(len(f.Contacts), maxBatch)] {
		front := s.Members.Find(contact.Name)
		if front == nil {
			continue
		}
		wasLost := front.Lost
		if changed, err := s.Members.SetContact(contact.Name, contact.ID, contact.Lost, contact.NotServing, contact.Unhealthy, s.Now); err == nil && changed && wasLost != contact.Lost {
			events = append(events, "front "+contact.Name+map[bool]string{true: ": lost", false: ": found"}[contact.Lost])
		}
	}
	return events
}

func (r *Replica) order(o *Order) error {
	ops, now := &r.state.Maintenance, r.state.Now
	switch o.Action {
	case Cancel:
		return ops.Cancel(o.Operation, o.Reason, now)
	case Hold:
		ops.HoldReason = cmp.Or(o.Reason, "by a person")
		return nil
	case Resume:
		ops.HoldReason = ""
		return nil
	case Lost:
		return ops.DeclareLost(o.Operation, o.Reason, r.Fleet(), now)
	case Finish:
		return ops.Finish(o.Operation, now)
	}
	return errUnknown
}

func (r *Replica) report(report Report) error {
	ops, now := &r.state.Maintenance, r.state.Now
	f := r.state.Members.Find(report.Front)
	if f == nil || f.ID != report.ID || f.Start != report.Start {
		return membership.ErrUnknownFront
	}
	switch report.Kind {
	case Accepted:
		if r.mutation == DisableFence {
			if op := ops.ForMachine(report.Machine); op != nil && !op.Phase.IsOut() {
				op.Phase, op.Permit = maintenance.Permitted, report.Permit
				delete(ops.Fences, report.Machine)
			}
		}
		return ops.Accept(report.Machine, report.Permit, report.ID, report.Start, now)
	case Drained:
		return ops.Drained(report.Machine, report.Permit, report.ID, now)
	case Returned:
		return ops.Returned(report.Machine, report.Permit, report.ID, now)
	case Left:
		return ops.ConfirmLeft(report.Machine, report.Permit, report.Front, now)
	}
	return errUnknown
}

// Same tells whether two replicas hold the same.
func (r *Replica) Equal(other *Replica) bool { return bytes.Equal(r.Snapshot(), other.Snapshot()) }
