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
	SideWhole   Side = iota // no member is missing, except those that have left
	SideLarger              // members are missing, and the record names this view
	SideSmaller             // fewer than half of the known members are present
	SideUnknown             // members are missing, and no record tells which side is the larger one
)

var sideNames = [...]string{"whole", "larger", "smaller", "can't tell"}

func (s Side) String() string { return sideNames[s] }

// updateDigest updates the digest and the agreement. A new digest starts a new epoch and is announced.
func (v *View) updateDigest() {
	if v.digestStale {
		h := xxhash.New()
		for _, name := range v.Counted() {
			h.WriteString(name)
			h.Write([]byte{0})
		}
		if d := h.Sum64(); d != v.digest {
			v.digest = d
			v.epoch++
			v.self.ViewDigest, v.self.ViewEpoch = v.digest, v.epoch
			v.broadcastSelf()
		}
		v.digestStale = false
	}
	if v.agreementShare() < 1 {
		v.agreedSince = -1
	} else if v.agreedSince < 0 {
		v.agreedSince = v.now
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
	if v.self.Stage == StageServing || v.self.Stage == StageLeaving {
		names = append(names, v.self.Name)
	}
	slices.Sort(names)
	return names
}

// agreementShare returns the share of the other counted members with the same view as this one, 1 if there
// are none.
func (v *View) agreementShare() float64 {
	total, same := 0, 0
	for _, m := range v.members {
		if !m.State.Counted() {
			continue
		}
		if total++; m.ViewDigest == v.digest {
			same++
		}
	}
	if total == 0 {
		return 1
	}
	return float64(same) / float64(total)
}

// Agreement returns the share of the other counted members with the same view, and for how long all of them
// have agreed, 0 if some do not. It is based on their latest statements, and so as old as these.
func (v *View) Agreement() (share float64, duration time.Duration) {
	if v.agreedSince >= 0 {
		duration = v.now - v.agreedSince
	}
	return v.agreementShare(), duration
}

// Side returns the side of this process. SideLarger depends on the record only, never on counting: two sides
// that can't reach each other may both count more than half of a fleet that they remember differently. The
// record names one view at a time, and a change counts only when reads of the previous value have expired. So
// no two views are SideLarger at the same time, whatever the clocks show, as long as they run at about the
// same rate.
func (v *View) Side() Side {
	present, known := 1, 1 // this process
	for _, m := range v.members {
		if m.State == StateLeft || m.State == StateJoining || m.State == StateUnknown {
			continue
		}
		known++
		if m.State == StatePresent || m.State == StateLeaving {
			present++
		}
	}
	record := v.record
	switch {
	case present == known:
		return SideWhole
	case record.Revision > 0 && v.now-record.RequestedAt < v.timeouts.RecordLease && record.UnchangedFor >= v.timeouts.RecordLease && slices.Equal(record.Names, v.Counted()):
		return SideLarger
	case 2*present < known:
		return SideSmaller
	}
	return SideUnknown
}

// Proposal returns the names that this process would write to the record, if any: those of a view on which
// all its members have agreed for a while, with more than half of the names in the record. The write must be
// conditional on the revision that was read.
func (v *View) Proposal() (names []string, revision int64, ok bool) {
	names = v.Counted()
	kept := 0
	for _, name := range v.record.Names {
		if _, found := slices.BinarySearch(names, name); found {
			kept++
		}
	}
	_, here := slices.BinarySearch(names, v.self.Name)
	ok = here && v.agreedSince >= 0 && v.now-v.agreedSince >= v.timeouts.RecordLease && !slices.Equal(names, v.record.Names) &&
		(v.record.Revision == 0 || 2*kept > len(v.record.Names))
	return names, v.record.Revision, ok
}

// EffectiveSize returns the number of members among which limits are divided. It errs on the safe side: on a
// smaller or unknown side it also counts failed members that are not forgotten yet.
func (v *View) EffectiveSize() int {
	size := len(v.Counted())
	if side := v.Side(); side == SideSmaller || side == SideUnknown {
		for _, m := range v.members {
			if m.State == StateFailed {
				size++
			}
		}
	}
	return max(size, 1)
}

// Members returns all known members except this process, sorted by name.
func (v *View) Members() []Member {
	var members []Member
	for _, name := range slices.Sorted(maps.Keys(v.members)) {
		members = append(members, *v.members[name])
	}
	return members
}
