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
	first  = 1
	leases = 2 // leases, a hub's pace, versions

	// Stands is the version from which on fronts' stands on versions may be proposed.
	Stands  = leases
	keepers = 3 // keepers of sites
	// Keepers is the version from which on sites have keepers.
	Keepers = keepers
)

// Bounds.
const (
	MostCommand = 16 << 10      // bytes of a command
	mostSeen    = 4096          // ids whose word is remembered
	mostAdvance = Micros(10e6)  // fleet time that one command moves on
	seenFor     = Micros(600e6) // fleet time for which a word is remembered
	mostWord    = 512           // bytes of a word
	mostBatch   = membership.MostFronts
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
	Version int                `cbor:"1,keyasint"`
	ID      ID                 `cbor:"2,keyasint"`
	Found   *Found             `cbor:"3,keyasint,omitempty"`
	Join    *Join              `cbor:"4,keyasint,omitempty"`
	Leave   *Leave             `cbor:"5,keyasint,omitempty"`
	Facts   *Facts             `cbor:"6,keyasint,omitempty"`
	Ask     *Ask               `cbor:"7,keyasint,omitempty"`
	Order   *Order             `cbor:"8,keyasint,omitempty"`
	Report  []Report           `cbor:"9,keyasint,omitempty"`
	Rules   *maintenance.Rules `cbor:"10,keyasint,omitempty"`
	Raise   int                `cbor:"11,keyasint,omitempty"` // the version that all fronts read

	Piece   []byte           `cbor:"12,keyasint,omitempty"` // of a version of what fronts act on
	Propose *rollout.Version `cbor:"13,keyasint,omitempty"` // a version, whose pieces came before
	Stop    string           `cbor:"14,keyasint,omitempty"` // why the version on its way goes back
	Stands  []rollout.Stand  `cbor:"15,keyasint,omitempty"` // what fronts say of the versions that they act on
}

// needs is the version that a command belongs to.
func (c *Command) needs() int {
	if c.Join != nil && c.Join.Front.Keep > 0 {
		return keepers
	}
	if c.Raise > 0 || c.Piece != nil || c.Propose != nil || c.Stop != "" || c.Stands != nil || c.Rules != nil && (c.Rules.Alone > 0 || c.Rules.Pace > 0 || c.Rules.Quota > 0) ||
		c.Found != nil && (c.Found.Rules.Alone > 0 || c.Found.Rules.Pace > 0) || c.Ask != nil && c.Ask.Work.Pace > 0 || c.Join != nil && c.Join.Front.Lease > 0 {
		return leases
	}
	return first
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
	Span    Micros    `cbor:"1,keyasint"`
	Contact []Contact `cbor:"2,keyasint,omitempty"`
}

// Contact is one front as the leader sees it.
type Contact struct {
	Name string `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint"`
	Lost bool   `cbor:"3,keyasint,omitempty"`
	Away bool   `cbor:"4,keyasint,omitempty"`
	Hurt bool   `cbor:"5,keyasint,omitempty"`
}

// Ask asks for a work.
type Ask struct {
	Work maintenance.Item `cbor:"1,keyasint"`
	By   string           `cbor:"2,keyasint,omitempty"`
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
	What string `cbor:"1,keyasint"`
	Work uint64 `cbor:"2,keyasint,omitempty"`
	Why  string `cbor:"3,keyasint,omitempty"`
}

// What a front reports of a permit.
const (
	Accepted = "accepted"
	Emptied  = "emptied"
	Back     = "back"
	Left     = "left" // a box
)

// Report is a front's word on a permit.
type Report struct {
	What    string `cbor:"1,keyasint"`
	Machine string `cbor:"2,keyasint"`
	Permit  uint64 `cbor:"3,keyasint"`
	Front   string `cbor:"4,keyasint"`
	ID      uint64 `cbor:"5,keyasint"`
	Start   uint64 `cbor:"6,keyasint"`
}

// Word is what became of a command.
type Word struct {
	Err  string `cbor:"1,keyasint,omitempty"`
	Work uint64 `cbor:"2,keyasint,omitempty"` // that was asked for, or the version that was proposed
}

// seen is a command that was applied.
type seen struct {
	ID   ID     `cbor:"1,keyasint"`
	At   Micros `cbor:"2,keyasint"`
	Word Word   `cbor:"3,keyasint"`
}

// State is all that a replica holds.
type State struct {
	Version int               `cbor:"1,keyasint"`
	Name    string            `cbor:"2,keyasint"`
	Fleet   uint64            `cbor:"3,keyasint"` // 0: not founded
	Now     Micros            `cbor:"4,keyasint"` // fleet time
	Council membership.State  `cbor:"5,keyasint"`
	Work    maintenance.State `cbor:"6,keyasint"`
	Seen    []seen            `cbor:"7,keyasint,omitempty"` // by age
	Seats   membership.Seats  `cbor:"8,keyasint"`           // as the agreement has them

	Versions rollout.State  `cbor:"9,keyasint,omitzero"`
	Tree     topology.State `cbor:"10,keyasint,omitzero"`
}

// Rule is a rule that a mutation leaves out, for the checkers' own test.
type Rule string

// The rules that can be left out.
const (
	NoFence    Rule = "fence"       // an acceptance stands whatever became of the leave
	NoOnce     Rule = "once"        // a command that comes again is applied again
	NoLostOut  Rule = "lost-is-out" // what is lost does not count as out
	NoMajority Rule = "majority"    // a voter goes though no majority is left
	NoDrift    Rule = "drift"       // a lease is over once the fleet's clock says so
	NoLook     Rule = "look"        // a front does not look at its lease before it acts
)

// Replica applies commands.
type Replica struct {
	s       State
	byID    map[ID]int // place in Seen, less what was cut off
	cut     int
	without Rule
}

// New makes a replica of a fleet that is not founded.
func New() *Replica {
	return &Replica{s: State{Version: first, Work: maintenance.New()}, byID: map[ID]int{}}
}

// Without leaves a rule out.
func (r *Replica) Without(rule Rule) { r.without = rule }

// Leaves tells whether a rule is left out.
func (r *Replica) Leaves(rule Rule) bool { return rule != "" && r.without == rule }

// State is the state. The caller must not write to it.
func (r *Replica) State() *State { return &r.s }

// Fleet is the fronts as works see them.
func (r *Replica) Fleet() maintenance.Fleet {
	s := &r.s
	avoid := func(f *membership.Front) bool {
		x := s.Work.On(f.Name)
		return x != nil && x.Kind == maintenance.AFront && x.Phase != maintenance.Asked
	}
	fleet := make(maintenance.Fleet, 0, len(s.Council.Fronts))
	for _, f := range s.Council.Fronts {
		m := maintenance.Machine{Name: f.Name, Zone: f.Zone, ID: f.ID, Start: f.Start, Lost: f.Lost, Away: f.Away, Hurt: f.Hurt, Votes: s.Seats.Has(f.ID)}
		if f.Lost && f.Lease > 0 {
			m.Ended = f.Since + lease.Until(f.Lease+s.Work.Rules.Empty)
			if r.without == NoDrift {
				m.Ended = f.Since + f.Lease
			}
		}
		m.Lease = f.Lease
		m.Yield = m.Votes && s.Council.Yields(f.ID, s.Seats, avoid)
		if r.without == NoMajority {
			m.Votes, m.Yield = false, false
		}
		if r.without == NoLostOut && s.Work.On(f.Name) == nil {
			m.Lost = false
		}
		fleet = append(fleet, m)
	}
	return fleet
}

// Avoid tells whether a front is about to go out for work.
func (r *Replica) Avoid(f *membership.Front) bool {
	return r.s.Work.Soon(f.Name, r.Fleet(), r.s.Now)
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
	if err == nil && len(b) > MostCommand {
		err = fmt.Errorf("replica: a command of %d bytes, %d at most", len(b), MostCommand)
	}
	return b, err
}

// Decode reads a command.
func Decode(b []byte) (c Command, err error) {
	if len(b) > MostCommand {
		return c, fmt.Errorf("replica: a command of %d bytes, %d at most", len(b), MostCommand)
	}
	if err := decoder.Unmarshal(b, &c); err != nil {
		return c, fmt.Errorf("%w: %w", ErrVersion, err)
	}
	if c.Version < first || c.Version > Version {
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
	if s.Version < first || s.Version > Version {
		return fmt.Errorf("%w: it is %d, %d at most", ErrVersion, s.Version, Version)
	}
	if s.Work.Fences == nil {
		s.Work.Fences = map[string]uint64{}
	}
	r.s, r.byID, r.cut = s, map[ID]int{}, 0
	for i, x := range s.Seen {
		r.byID[x.ID] = i
	}
	return nil
}

// Sat tells of the seats after a change of them was applied.
func (r *Replica) Sat(seats membership.Seats) (told []string) {
	slices.Sort(seats.Voters)
	slices.Sort(seats.Learners)
	r.s.Seats = seats
	return r.settle(false)
}

// settle draws the conclusions of a change; facts tells that time has moved on.
func (r *Replica) settle(facts bool) (told []string) {
	for _, name := range r.s.Council.Settle(r.s.Seats) {
		told = append(told, "front "+name+": has left")
	}
	fleet := r.Fleet()
	told = append(told, r.s.Work.Step(fleet, r.s.Now)...)
	if r.s.Versions.Last > 0 || len(r.s.Versions.Pieces) > 0 {
		told = append(told, r.s.Versions.Step(Machines(fleet), r.VersionRules(), r.s.Now, facts)...)
	}
	if r.s.Version >= keepers {
		told = append(told, r.s.Tree.Step(r.Exchange(fleet), r.s.Now)...)
	}
	return told
}

// Exchange is the fronts as keepers of sites are chosen of them.
func (r *Replica) Exchange(fleet maintenance.Fleet) []topology.Front {
	list := make([]topology.Front, 0, len(fleet))
	for i, f := range r.s.Council.Fronts {
		m := fleet[i]
		list = append(list, topology.Front{Name: f.Name, Site: f.Zone, ID: f.ID, Start: f.Start, Lost: f.Lost, Leaving: f.Leaving, Keep: f.Keep,
			Over: f.Lost && m.Ended > 0 && r.s.Now >= m.Ended})
	}
	return list
}

// Machines is the fronts as versions see them.
func Machines(fleet maintenance.Fleet) []rollout.Machine {
	list := make([]rollout.Machine, 0, len(fleet))
	for _, m := range fleet {
		list = append(list, rollout.Machine{Name: m.Name, Zone: m.Zone, ID: m.ID, Start: m.Start, Lost: m.Lost, Away: m.Away, Ended: m.Ended, Lease: m.Lease})
	}
	return list
}

// VersionRules is what versions know of the fleet's rules.
func (r *Replica) VersionRules() rollout.Rules {
	w := &r.s.Work.Rules
	return rollout.Rules{Alone: w.Alone, Quota: cmp.Or(w.Quota, defaultQuota), Cold: w.Cold, Empty: w.Empty}
}

const defaultQuota = 34 // percent

// Apply applies a command. Told is what has happened, a line each.
func (r *Replica) Apply(c Command) (w Word, told []string) {
	if i, ok := r.byID[c.ID]; ok && c.ID != (ID{}) && r.without != NoOnce {
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
func (r *Replica) Seen(id ID) (Word, bool) {
	i, ok := r.byID[id]
	if !ok || r.without == NoOnce {
		return Word{}, false
	}
	return r.s.Seen[i-r.cut].Word, true
}

// remember keeps the word on a command, for as long as it may come again.
func (r *Replica) remember(id ID, w Word) {
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
func (r *Replica) Takes(c *Command) error {
	if need := c.needs(); c.Found == nil && c.Raise == 0 && need > r.s.Version {
		return fmt.Errorf("%w: it needs version %d of the state, which is at %d", errOlder, need, r.s.Version)
	}
	return nil
}

func (r *Replica) apply(c Command) (w Word, told []string, err error) {
	s := &r.s
	if c.Found == nil && s.Fleet == 0 {
		return w, nil, errNone
	}
	if err := r.Takes(&c); err != nil {
		return w, nil, err
	}
	switch {
	case c.Found != nil:
		if s.Fleet != 0 {
			return w, nil, errFounded
		}
		s.Name, s.Fleet, s.Work.Rules, s.Version = c.Found.Name, c.Found.Fleet, c.Found.Rules, c.needs()
		return w, []string{"the fleet " + s.Name + " is founded"}, nil
	case c.Join != nil:
		f := c.Join.Front
		old := s.Council.Find(f.Name)
		again := old != nil && (old.ID != f.ID || old.Start != f.Start)
		if err := s.Council.Join(f, s.Now); err != nil {
			return w, nil, err
		}
		if again {
			s.Work.Rejoined(f.Name)
			told = append(told, "front "+f.Name+": started anew")
		} else if old == nil {
			told = append(told, "front "+f.Name+": joined")
		}
		return w, told, nil
	case c.Leave != nil:
		return w, nil, s.Council.Leave(c.Leave.Name)
	case c.Facts != nil:
		return w, r.facts(c.Facts), nil
	case c.Ask != nil:
		w.Work, err = s.Work.Ask(c.Ask.Work, r.Fleet(), s.Now)
		return w, nil, err
	case c.Order != nil:
		return w, nil, r.order(c.Order)
	case len(c.Report) > 0:
		var errs []error
		for _, x := range c.Report[:min(len(c.Report), mostBatch)] {
			errs = append(errs, r.report(x))
		}
		return w, nil, errors.Join(errs...)
	case c.Piece != nil:
		_, err = s.Versions.Keep(c.Piece, s.Now)
		return w, nil, err
	case c.Propose != nil:
		w.Work, err = s.Versions.Propose(*c.Propose, r.VersionRules(), s.Now)
		if err == nil {
			told = []string{fmt.Sprintf("version %d was proposed: %s", w.Work, cmp.Or(c.Propose.Why, "no reason given"))}
		}
		return w, told, err
	case c.Stop != "":
		return w, nil, s.Versions.Stop(c.Stop, s.Now)
	case c.Stands != nil:
		for _, x := range c.Stands[:min(len(c.Stands), mostBatch)] {
			if f := s.Council.Find(x.Name); f != nil && f.ID == x.ID && f.Start == x.Start {
				s.Versions.Reported(x, s.Now)
			}
		}
		return w, nil, nil
	case c.Raise > 0:
		if c.Raise <= s.Version {
			return w, nil, nil
		}
		s.Version = c.Raise
		return w, []string{fmt.Sprintf("the fleet's state is of version %d now, which all fronts read", s.Version)}, nil
	case c.Rules != nil:
		if err := c.Rules.Check(); err != nil {
			return w, nil, err
		}
		s.Work.Rules = *c.Rules
		return w, []string{"the rules of work have changed"}, nil
	}
	return w, nil, errUnknown
}

func (r *Replica) facts(f *Facts) (told []string) {
	s := &r.s
	s.Now += min(max(0, f.Span), mostAdvance)
	for _, x := range f.Contact[:min(len(f.Contact), mostBatch)] {
		was := s.Council.Find(x.Name)
		if was == nil {
			continue
		}
		lost := was.Lost
		if changed, err := s.Council.Contact(x.Name, x.ID, x.Lost, x.Away, x.Hurt, s.Now); err == nil && changed && lost != x.Lost {
			told = append(told, "front "+x.Name+map[bool]string{true: ": lost", false: ": found"}[x.Lost])
		}
	}
	return told
}

func (r *Replica) order(o *Order) error {
	w, now := &r.s.Work, r.s.Now
	switch o.What {
	case Cancel:
		return w.Cancel(o.Work, o.Why, now)
	case Hold:
		w.Hold = cmp.Or(o.Why, "by a person")
		return nil
	case Resume:
		w.Hold = ""
		return nil
	case Lost:
		return w.Declare(o.Work, o.Why, r.Fleet(), now)
	case Finish:
		return w.Finish(o.Work, now)
	}
	return errUnknown
}

func (r *Replica) report(x Report) error {
	w, now := &r.s.Work, r.s.Now
	f := r.s.Council.Find(x.Front)
	if f == nil || f.ID != x.ID || f.Start != x.Start {
		return membership.ErrNobody
	}
	switch x.What {
	case Accepted:
		if r.without == NoFence {
			if y := w.On(x.Machine); y != nil && !y.Phase.IsOut() {
				y.Phase, y.Permit = maintenance.Permitted, x.Permit
				delete(w.Fences, x.Machine)
			}
		}
		return w.Accept(x.Machine, x.Permit, x.ID, x.Start, now)
	case Emptied:
		return w.Empty(x.Machine, x.Permit, x.ID, now)
	case Back:
		return w.Back(x.Machine, x.Permit, x.ID, now)
	case Left:
		return w.Leave(x.Machine, x.Permit, x.Front, now)
	}
	return errUnknown
}

// Same tells whether two replicas hold the same.
func (r *Replica) Same(o *Replica) bool { return bytes.Equal(r.Snapshot(), o.Snapshot()) }
