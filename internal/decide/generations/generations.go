// Package generations numbers the settings that a running front has used, and keeps
// the classes of all of them in one table that only grows: an index in it means the
// same class for the lifetime of the process. Requests in flight when new settings are
// applied hold an index, and so keep the class under which they came, even if its name
// has another meaning by then.
//
// A class that returns with all values equal gets its old index, so that settings
// which change back and forth do not grow the table. The table is bounded all the
// same; settings beyond the bound are rejected as a whole.
//
// It does no I/O, reads no clock, and belongs to the event loop.
package generations

import (
	"fmt"
	"slices"
)

// Table holds the classes of all generations of one process's settings, one C per
// index. It is not safe for concurrent use.
type Table[C comparable] struct {
	state      State[C]
	maxClasses int
}

// State is the complete state of a Table, to be stored and passed to Restore.
type State[C comparable] struct {
	Number  uint64 `json:"number"`   // of the generation in force; the first is 1
	Digest  string `json:"digest"`   // of the settings in force
	Classes []C    `json:"classes"`  // of all generations, by index
	InForce []int  `json:"in_force"` // indexes, in the order of the settings
}

// New returns a table for a process's first settings, bounded by maxClasses. The
// digest identifies the settings, including all that they hold besides the classes.
func New[C comparable](maxClasses int, digest string, classes []C) (*Table[C], error) {
	t := &Table[C]{maxClasses: maxClasses}
	if _, err := t.Update(digest, classes); err != nil {
		return nil, err
	}
	return t, nil
}

// Restore returns a table with a stored state. It returns an error if the state
// exceeds maxClasses or has an index out of range.
func Restore[C comparable](maxClasses int, s State[C]) (*Table[C], error) {
	if len(s.Classes) > maxClasses {
		return nil, fmt.Errorf("generations: %d classes, %d at most", len(s.Classes), maxClasses)
	}
	for _, index := range s.InForce {
		if index < 0 || index >= len(s.Classes) {
			return nil, fmt.Errorf("generations: in_force: index %d out of range of %d classes", index, len(s.Classes))
		}
	}
	return &Table[C]{state: s.clone(), maxClasses: maxClasses}, nil
}

// State returns a copy of the complete state.
func (t *Table[C]) State() State[C] { return t.state.clone() }

func (s State[C]) clone() State[C] {
	s.Classes, s.InForce = slices.Clone(s.Classes), slices.Clone(s.InForce)
	return s
}

// Number returns the number of the generation in force, from 1; it grows by one with
// all settings that differ from those before.
func (t *Table[C]) Number() uint64 { return t.state.Number }

// Classes returns the classes of all generations by index. The caller must not modify
// them.
func (t *Table[C]) Classes() []C { return slices.Clip(t.state.Classes) }

// InForce returns the indexes of the classes in force, in the order of the settings.
// The caller must not modify them.
func (t *Table[C]) InForce() []int { return slices.Clip(t.state.InForce) }

// Update applies further settings, and reports whether they differ from those in
// force. It returns an error, and changes nothing, if they exceed the table's bound.
func (t *Table[C]) Update(digest string, classes []C) (changed bool, err error) {
	known, indexes := t.Classes(), make([]int, 0, len(classes))
	for _, c := range classes {
		index := slices.Index(known, c)
		if index < 0 {
			index = len(known)
			known = append(known, c) // clipped: slices returned earlier are not modified
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
