// Package revision orders the states of the platform's store.
//
// The store counts its changes by revisions. When it comes back from an older copy, revisions go back and are given
// out again, and a new era begins. So a revision alone says nothing about which of two states is the later one: the
// era is compared first. Whatever is kept, compared, counted, cached or sent of the store's state has a Revision.
package revision

import (
	"cmp"
	"strconv"
)

// Revision is a revision of the store in one of its eras. The zero value is before all others.
type Revision struct {
	// Era is the era of the store: one more than the number by which the store names it, which may be 0. It is 0 if it is
	// not known: the store names none, or another program passed the revision on that knows nothing of eras. Such a
	// revision is before those of every known era.
	Era uint64
	// Number is the store's own revision, which counts from above 0.
	Number uint64
}

// Compare returns -1 if r is before other, 1 if it is after it, and 0 if they are the same.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// After reports whether r is after other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// IsZero reports whether r is no revision of the store: that of an object which does not exist, or the state of a
// copy that is not loaded.
func (r Revision) IsZero() bool { return r.Number == 0 }

// NewEra reports whether r is of a later era than other, which is of a known one: the store has come back from a copy.
func (r Revision) NewEra(other Revision) bool { return other.Era > 0 && r.Era > other.Era }

// EraName returns the number by which the store names the era, empty if that is not known.
func (r Revision) EraName() string {
	if r.Era == 0 {
		return ""
	}
	return strconv.FormatUint(r.Era-1, 10)
}

// String returns the number, and before it the name of the era if that is known, such as 2:107.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number, 10)
	if r.Era == 0 {
		return number
	}
	return r.EraName() + ":" + number
}

// Max returns the later of two revisions.
func Max(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}

// Min returns the earlier of two revisions.
func Min(a, b Revision) Revision {
	if b.After(a) {
		return a
	}
	return b
}

// Pack returns revisions as a list of numbers for a message: those of the revisions, and after them their eras unless
// none is known. Programs that know nothing of eras read the first part only.
func Pack(revisions []Revision) []uint64 {
	var numbers, eras []uint64
	known := false
	for _, r := range revisions {
		numbers, eras = append(numbers, r.Number), append(eras, r.Era)
		known = known || r.Era > 0
	}
	if !known {
		return numbers
	}
	return append(numbers, eras...)
}

// Unpack is the inverse of Pack for a list of so many revisions. Of a shorter list it returns those that it has.
func Unpack(list []uint64, count int) []Revision {
	var out []Revision
	for i, number := range list[:min(count, len(list))] {
		r := Revision{Number: number}
		if count+i < len(list) {
			r.Era = list[count+i]
		}
		out = append(out, r)
	}
	return out
}
