package members

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Side is where a process stands when the fleet is in parts.
type Side uint8

// The sides. Nobody may take more for itself in CantTell or Smaller than it may in Whole.
const (
	Whole    Side = iota // nobody is missing that was not seen to leave
	Larger               // some are missing, and the witness names this view
	Smaller              // fewer than half of those known are with it
	CantTell             // some are missing, and no witness says who is right
)

var sides = [...]string{"whole", "larger", "smaller", "can't tell"}

func (s Side) String() string { return sides[s] }

// look brings the digest and the agreement up to date. A new digest is a new epoch, and is told.
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

// Counted are the names in the fleet's size, sorted, with the process's own from when it serves until it has gone.
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

// share is the part of the counted others whose view is this one, 1 if there are none.
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

// Agreement tells which part of the counted others hold the same view, and for how long all of them have: 0 while
// some don't. What they hold is what they said last, so it is as old as their news takes.
func (v *View) Agreement() (share float64, whole time.Duration) {
	if v.agreed >= 0 {
		whole = v.now - v.agreed
	}
	return v.share(), whole
}

// Side tells where the process stands. Larger rests on the witness alone, never on counting: two parts that can't hear
// each other can both count more than half of a fleet that they remember differently. The record names one view at a
// time, and a change of it counts only when what was read of the one before no longer does, so no two views are Larger
// at once, whatever the clocks show, as long as they run at about one pace.
func (v *View) Side() Side {
	here, known := 1, 1 // the process itself
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

// Proposal are the names that this process would have the record hold, if it has any to propose: those of a view that
// all in it have agreed on for a while, with more than half of those whom the record names. The record has to be
// written on the revision that was read, or not at all.
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

// Size is the number of members that parts of a limit are made for: the careful side, so in anything but a whole or
// larger part those count as well that have failed and are not forgotten.
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

// Members are all names that the view remembers, the process's own left out, sorted.
func (v *View) Members() []Member {
	var all []Member
	for _, name := range slices.Sorted(maps.Keys(v.members)) {
		all = append(all, *v.members[name])
	}
	return all
}
