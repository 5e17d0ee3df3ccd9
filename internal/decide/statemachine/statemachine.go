// Package statemachine is the replicated state of a fleet: its fronts, the maintenance
// operations, the configuration versions and the owners of sites. It applies committed
// commands, each of which yields a result and events; the same commands in the same
// order make the same state on every replica, down to the bytes of its snapshot.
//
// A command carries an ID and is applied once, however often it is sent. The state is
// versioned: a front that can't read a snapshot or a command says so and does not act
// on it.
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

// Micros is a duration, or a point in fleet time, in microseconds.
type Micros = int64

// Versions of the state and its commands. A fleet stays at the version that all its
// fronts read until the leader knows that each of them reads a newer one.
const (
	versionFirst  = 1
	versionLeases = 2 // leases, a hub's pace, rollouts

	// VersionStatuses is the first version in which the rollout statuses of fronts may
	// be proposed.
	VersionStatuses = versionLeases
	versionOwners   = 3 // owners of sites
	// VersionOwners is the first version in which sites have owners.
	VersionOwners = versionOwners
)

// Limits.
const (
	MaxCommandSize = 16 << 10      // bytes of a command
	maxSeen        = 4096          // commands whose result is kept
	maxAdvance     = Micros(10e6)  // fleet time by which one command may advance
	seenRetention  = Micros(600e6) // fleet time for which a result is kept
	maxErrorSize   = 512           // bytes of an error text in a result
	maxBatch       = membership.MaxFronts
)

// ErrVersion is the error for state or commands that this build can't read.
var ErrVersion = errors.New("replica: of a version that this build can't read")

// ID identifies a command: its sender, and a number that is unique to it.
type ID struct {
	Front uint64 `cbor:"1,keyasint"` // incarnation
	Start uint64 `cbor:"2,keyasint"` // process of the front
	N     uint64 `cbor:"3,keyasint"`
}

// Command is the content of a log entry. Exactly one of its parts is set.
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

	Piece    []byte                `cbor:"12,keyasint,omitempty"` // of the content of a configuration version
	Propose  *rollout.Version      `cbor:"13,keyasint,omitempty"` // a configuration version whose pieces are already stored
	Stop     string                `cbor:"14,keyasint,omitempty"` // why the candidate is rolled back
	Statuses []rollout.FrontStatus `cbor:"15,keyasint,omitempty"` // what fronts report of their configuration versions
}

// requiredVersion returns the version of the state that the command needs.
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

// Found founds a fleet. It is the first command of the log.
type Found struct {
	Name  string            `cbor:"1,keyasint"`
	Fleet uint64            `cbor:"2,keyasint"` // random, drawn when the fleet is founded
	Rules maintenance.Rules `cbor:"3,keyasint"`
}

// Join adds a front or updates its data.
type Join struct {
	Front membership.Front `cbor:"1,keyasint"`
}

// Leave removes a front for good.
type Leave struct {
	Name string `cbor:"1,keyasint"`
}

// Facts are the observations of the leader: how much time has passed, and which fronts
// were lost or found or take no clients.
type Facts struct {
	Span     Micros    `cbor:"1,keyasint"`
	Contacts []Contact `cbor:"2,keyasint,omitempty"`
}

// Contact is the leader's view of one front.
type Contact struct {
	Name       string `cbor:"1,keyasint"`
	ID         uint64 `cbor:"2,keyasint"`
	Lost       bool   `cbor:"3,keyasint,omitempty"`
	NotServing bool   `cbor:"4,keyasint,omitempty"`
	Unhealthy  bool   `cbor:"5,keyasint,omitempty"`
}

// Request requests a maintenance operation.
type Request struct {
	Operation   maintenance.Operation `cbor:"1,keyasint"`
	RequestedBy string                `cbor:"2,keyasint,omitempty"`
}

// The actions of an Order.
const (
	Cancel = "cancel"
	Hold   = "hold"
	Resume = "resume"
	Lost   = "lost"
	Finish = "done"
)

// Order is an operator's order.
type Order struct {
	Action    string `cbor:"1,keyasint"`
	Operation uint64 `cbor:"2,keyasint,omitempty"`
	Reason    string `cbor:"3,keyasint,omitempty"`
}

// The kinds of reports on a permit.
const (
	Accepted = "accepted"
	Drained  = "emptied"
	Returned = "back"
	Left     = "left" // of a box
)

// Report is a front's report on a permit.
type Report struct {
	Kind    string `cbor:"1,keyasint"`
	Machine string `cbor:"2,keyasint"`
	Permit  uint64 `cbor:"3,keyasint"`
	Front   string `cbor:"4,keyasint"`
	ID      uint64 `cbor:"5,keyasint"`
	Start   uint64 `cbor:"6,keyasint"`
}

// Result is the outcome of a command.
type Result struct {
	Err    string `cbor:"1,keyasint,omitempty"`
	Number uint64 `cbor:"2,keyasint,omitempty"` // of the requested operation or the proposed version
}

// appliedCommand records a command that was applied, for deduplication.
type appliedCommand struct {
	ID     ID     `cbor:"1,keyasint"`
	At     Micros `cbor:"2,keyasint"`
	Result Result `cbor:"3,keyasint"`
}

// State is everything that a replica holds.
type State struct {
	Version     int               `cbor:"1,keyasint"`
	Name        string            `cbor:"2,keyasint"`
	Fleet       uint64            `cbor:"3,keyasint"` // 0: not founded
	Now         Micros            `cbor:"4,keyasint"` // fleet time
	Members     membership.State  `cbor:"5,keyasint"`
	Maintenance maintenance.State `cbor:"6,keyasint"`
	Seen        []appliedCommand  `cbor:"7,keyasint,omitempty"` // oldest first
	Seats       membership.Seats  `cbor:"8,keyasint"`           // as in the consensus group's configuration

	Rollout  rollout.State  `cbor:"9,keyasint,omitzero"`
	Topology topology.State `cbor:"10,keyasint,omitzero"`
}

// Mutation disables one rule, to show that the checkers detect its absence.
type Mutation string

// The mutations.
const (
	DisableFence      Mutation = "fence"       // an acceptance is valid even if its permit is void
	DisableDedup      Mutation = "once"        // a repeated command is applied again
	DisableLostCount  Mutation = "lost-is-out" // a lost machine does not count as out
	DisableMajority   Mutation = "majority"    // a voter goes out though no majority remains
	DisableDrift      Mutation = "drift"       // a lease counts as expired without an allowance for clock drift
	DisableLeaseCheck Mutation = "look"        // a front does not check its lease before it acts
)

// Replica holds the state and applies commands to it.
type Replica struct {
	state    State
	byID     map[ID]int // index in Seen, plus dropped
	dropped  int
	mutation Mutation
}

// New returns a replica of a fleet that is not founded.
func New() *Replica {
	return &Replica{state: State{Version: versionFirst, Maintenance: maintenance.New()}, byID: map[ID]int{}}
}

// SetMutation disables a rule.
func (r *Replica) SetMutation(m Mutation) { r.mutation = m }

// HasMutation reports whether the given mutation is in force.
func (r *Replica) HasMutation(m Mutation) bool { return m != "" && r.mutation == m }

// State returns the state. The caller must not modify it.
func (r *Replica) State() *State { return &r.state }

// Fleet returns the fronts as package maintenance needs them.
func (r *Replica) Fleet() maintenance.Fleet {
	s := &r.state
	avoid := func(f *membership.Front) bool {
		op := s.Maintenance.ForMachine(f.Name)
		return op != nil && op.Kind == maintenance.Front && op.Phase != maintenance.Requested
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

// Avoid reports whether a front is about to go out for maintenance.
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

// Encode returns the encoding of a command, and sets the version that it needs.
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

// Decode decodes a command.
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

// Snapshot encodes the state. Replicas that have applied the same commands give the
// same bytes.
func (r *Replica) Snapshot() []byte {
	b, err := encoder.Marshal(&r.state)
	if err != nil { // plain values always encode
		panic(fmt.Sprintf("replica: %v", err))
	}
	return b
}

// Restore replaces the state by that of a snapshot.
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
	for i, applied := range s.Seen {
		r.byID[applied.ID] = i
	}
	return nil
}

// ApplySeats sets the seats after a committed configuration change, and returns the
// events that follow from it.
func (r *Replica) ApplySeats(seats membership.Seats) (events []string) {
	slices.Sort(seats.Voters)
	slices.Sort(seats.Learners)
	r.state.Seats = seats
	return r.settle(false)
}

// settle draws the conclusions of a change. TimeAdvanced tells that the fleet time has
// advanced.
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

// TopologyFronts returns the fronts as package topology needs them to choose the owners
// of sites.
func (r *Replica) TopologyFronts(fleet maintenance.Fleet) []topology.Front {
	list := make([]topology.Front, 0, len(fleet))
	for i, f := range r.state.Members.Fronts {
		m := fleet[i]
		list = append(list, topology.Front{Name: f.Name, Site: f.Zone, ID: f.ID, Start: f.Start, Lost: f.Lost, Leaving: f.Leaving, OwnerLease: f.OwnerLease,
			Expired: f.Lost && m.LeaseExpiry > 0 && r.state.Now >= m.LeaseExpiry})
	}
	return list
}

// RolloutMachines returns the fronts as package rollout needs them.
func RolloutMachines(fleet maintenance.Fleet) []rollout.Machine {
	list := make([]rollout.Machine, 0, len(fleet))
	for _, m := range fleet {
		list = append(list, rollout.Machine{Name: m.Name, Zone: m.Zone, ID: m.ID, Start: m.Start, Lost: m.Lost, NotServing: m.NotServing, LeaseExpiry: m.LeaseExpiry, Lease: m.Lease})
	}
	return list
}

// RolloutRules returns the rules that apply to rollouts.
func (r *Replica) RolloutRules() rollout.Rules {
	rules := &r.state.Maintenance.Rules
	return rollout.Rules{LeaseSpan: rules.LeaseSpan, MaxFencedPercent: cmp.Or(rules.MaxFencedPercent, defaultMaxFencedPercent), WarmUp: rules.WarmUp, DrainTimeout: rules.DrainTimeout}
}

const defaultMaxFencedPercent = 34 // percent

// Apply applies a command and returns its result and one line for each event.
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

// Seen returns the result of a command that was applied recently.
func (r *Replica) Seen(id ID) (Result, bool) {
	i, ok := r.byID[id]
	if !ok || r.mutation == DisableDedup {
		return Result{}, false
	}
	return r.state.Seen[i-r.dropped].Result, true
}

// remember keeps the result of a command for as long as the command may be repeated.
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

// CheckSupported returns an error unless all fronts can read a command. A command that
// they can't read must not even be sent: those fronts could no longer take part.
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

// Equal reports whether two replicas hold the same state.
func (r *Replica) Equal(other *Replica) bool { return bytes.Equal(r.Snapshot(), other.Snapshot()) }
