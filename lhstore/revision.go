package lhstore

import (
	"cmp"
	"fmt"
)

// Revision identifies a state of a store. The zero Revision precedes all others.
type Revision struct {
	// Era is the number of times that the store has been restored from a copy, counted
	// from an arbitrary start.
	Era uint64
	// Number increases with each change within an era. A restored store goes back to the
	// number of the copy, so numbers of different eras say nothing about each other.
	Number uint64
}

// Compare returns a negative number if r precedes o, 0 if they are equal, and a positive
// number otherwise. All revisions of an era precede those of the next.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Number, o.Number))
}

// IsZero reports whether r is the zero Revision.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns the era and the number as used in logs.
func (r Revision) String() string { return fmt.Sprintf("%d/%d", r.Era, r.Number) }

// later returns the later of two revisions.
func later(r, o Revision) Revision {
	if r.Compare(o) < 0 {
		return o
	}
	return r
}
