package members

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Side is the side of a network partition on which a process is.
type Side uint8

// Sides. With SideUnknown or SideSmaller a process must not take a larger part of a limit than with
// SideWhole.
const (
	Whole    Side = iota // no member is missing, except those that have left
	Larger               // members are missing, and the record names this view
	Smaller              // fewer than half of the known members are present
	CantTell             // members are missing, and no record tells which side is the larger one
)

var sides = [...]string{"whole", "larger", "smaller", "can't tell"}

func (s Side) String() string { return sides[s] }

// updateDigest updates the digest and the agreement. A new digest starts a new epoch and is announced.
func (v *View) look() {
	if v.stale {
		h := xxhash.New()
		for _, name := range v.Counted() {
			h.WriteString(name)
			h.Write([]byte{0})
		}
		if d := h.Sum64(); d != v.digest {
			v.digest = d
			v.epoch++
			v.self.View, v.self.Epoch = v.digest, v.epoch
			v.restate()
		}
		v.stale = false
	}
	if v.share() < 1 {
		v.agreed = -1
	} else if v.agreed < 0 {
		v.agreed = v.now
	}
}

// Counted returns the sorted names that count towards the fleet size. It includes this process from when it
// serves until it has exited.
func (v *View) Counted() []string {
	var names []string
	for name, m := range v.members {
		if m.State.Counted() {
			names = append(names, name)
		}
	}
	if v.self.Stage == Serving || v.self.Stage == Leaving {
		names = append(names, v.self.Name)
	}
	slices.Sort(names)
	return names
}

// agreementShare returns the share of the other counted members with the same view as this one, 1 if there
// are none.
func (v *View) share() float64 {
	all, same := 0, 0
	for _, m := range v.members {
		if !m.State.Counted() {
			continue
		}
		if all++; m.View == v.digest {
			same++
		}
	}
	if all == 0 {
		return 1
	}
	return float64(same) / float64(all)
}

// Agreement returns the share of the other counted members with the same view, and for how long all of them
// have agreed, 0 if some do not. It is based on their latest statements, and so as old as these.
func (v *View) Agreement() (share float64, whole time.Duration) {
	if v.agreed >= 0 {
		whole = v.now - v.agreed
	}
	return v.share(), whole
}

// Side returns the side of this process. SideLarger depends on the record only, never on counting: two sides
// that can't reach each other may both count more than half of a fleet that they remember differently. The
// record names one view at a time, and a change counts only when reads of the previous value have expired. So
// no two views are SideLarger at the same time, whatever the clocks show, as long as they run at about the
// same rate.
func (v *View) Side() Side {
	here, known := 1, 1 // this process
	for _, m := range v.members {
		if m.State == Left || m.State == NotYet || m.State == Unknown {
			continue
		}
		known++
		if m.State == Present || m.State == Departs {
			here++
		}
	}
	w := v.witness
	switch {
	case here == known:
		return Whole
	case w.Revision > 0 && v.now-w.Asked < v.terms.Lease && w.Stood >= v.terms.Lease && slices.Equal(w.Names, v.Counted()):
		return Larger
	case 2*here < known:
		return Smaller
	}
	return CantTell
}

// Proposal returns the names that this process would write to the record, if any: those of a view on which
// all its members have agreed for a while, with more than half of the names in the record. The write must be
// conditional on the revision that was read.
func (v *View) Proposal() (names []string, on int64, ok bool) {
	names = v.Counted()
	kept := 0
	for _, name := range v.witness.Names {
		if _, found := slices.BinarySearch(names, name); found {
			kept++
		}
	}
	_, here := slices.BinarySearch(names, v.self.Name)
	ok = here && v.agreed >= 0 && v.now-v.agreed >= v.terms.Lease && !slices.Equal(names, v.witness.Names) &&
		(v.witness.Revision == 0 || 2*kept > len(v.witness.Names))
	return names, v.witness.Revision, ok
}

// EffectiveSize returns the number of members among which limits are divided. It errs on the safe side: on a
// smaller or unknown side it also counts failed members that are not forgotten yet.
func (v *View) Size() int {
	size := len(v.Counted())
	if side := v.Side(); side == Smaller || side == CantTell {
		for _, m := range v.members {
			if m.State == Failed {
				size++
			}
		}
	}
	return max(size, 1)
}

// Members returns all known members except this process, sorted by name.
func (v *View) Members() []Member {
	var all []Member
	for _, name := range slices.Sorted(maps.Keys(v.members)) {
		all = append(all, *v.members[name])
	}
	return all
}
