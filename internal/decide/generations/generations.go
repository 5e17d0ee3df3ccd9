// Package generations numbers the settings that a running front has been under,
// and keeps the classes of all of them in one table that only grows: a place in
// it means the same class for as long as the process lives. Requests that are
// open when further settings come hold a place, and so keep the class under
// which they came, whatever its name stands for by then; nobody has to be told.
//
// A class that comes again, alike in every value, has its old place again, so
// that settings which change to and fro take no further room. The table has a
// bound all the same, at which settings are turned down whole.
//
// It is state only, without I/O or clock, and belongs to the event loop.
package generations

import (
	"fmt"
	"slices"
)

// Table is the classes of all generations of one process's settings. A look-up
// costs nothing: callers hold places. It holds one C a place.
type Table[C comparable] struct {
	state      State[C]
	maxClasses int
}

// State is all that a table knows, to be written out and read back.
type State[C comparable] struct {
	Number  uint64 `json:"number"`   // of the generation in force; the first is 1
	Digest  string `json:"digest"`   // of the settings in force
	Classes []C    `json:"classes"`  // of all generations, by place
	InForce []int  `json:"in_force"` // places, in the order of the settings
}

// New makes a table for a process's first settings; most bounds its places. The
// digest names the settings, whatever else beside the classes they hold.
func New[C comparable](maxClasses int, digest string, classes []C) (*Table[C], error) {
	t := &Table[C]{maxClasses: maxClasses}
	if _, err := t.Update(digest, classes); err != nil {
		return nil, err
	}
	return t, nil
}

// Restore makes a table from what State gave.
func Restore[C comparable](maxClasses int, s State[C]) (*Table[C], error) {
	if len(s.Classes) > maxClasses {
		return nil, fmt.Errorf("generations: %d classes, %d at most", len(s.Classes), maxClasses)
	}
	for _, index := range s.InForce {
		if index < 0 || index >= len(s.Classes) {
			return nil, fmt.Errorf("generations: in_force: no place %d among %d", index, len(s.Classes))
		}
	}
	return &Table[C]{state: s.clone(), maxClasses: maxClasses}, nil
}

// State tells all that the table knows.
func (t *Table[C]) State() State[C] { return t.state.clone() }

func (s State[C]) clone() State[C] {
	s.Classes, s.InForce = slices.Clone(s.Classes), slices.Clone(s.InForce)
	return s
}

// Number is the generation in force, from 1; it grows by one with all settings
// that differ from those before.
func (t *Table[C]) Number() uint64 { return t.state.Number }

// Classes is the classes of all generations by place. The caller must not write
// to it.
func (t *Table[C]) Classes() []C { return slices.Clip(t.state.Classes) }

// InForce is the places of the classes in force, in the order of the settings.
// The caller must not write to it.
func (t *Table[C]) InForce() []int { return slices.Clip(t.state.InForce) }

// Take takes further settings, and tells whether they differ from those in
// force. The error tells that the table's bound stands against them; nothing has
// changed then.
func (t *Table[C]) Update(digest string, classes []C) (changed bool, err error) {
	known, indexes := t.Classes(), make([]int, 0, len(classes))
	for _, c := range classes {
		index := slices.Index(known, c)
		if index < 0 {
			index = len(known)
			known = append(known, c) // clipped: what others were given stays as it is
		}
		indexes = append(indexes, index)
	}
	if len(known) > t.maxClasses {
		return false, fmt.Errorf("generations: %d classes since the start, %d at most: a restart is needed", len(known), t.maxClasses)
	}
	if t.state.Number > 0 && digest == t.state.Digest && slices.Equal(indexes, t.state.InForce) {
		return false, nil
	}
	t.state = State[C]{Number: t.state.Number + 1, Digest: digest, Classes: known, InForce: indexes}
	return true, nil
}
