package ownership

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// Limits on input.
const (
	MaxOwners    = 5
	MaxMembers   = 4096 // beyond this, a member's fair share is 3 assignments and loads are no longer even
	MaxNameBytes = 200  // of a member's name or a zone
)

// Bounds of a member's load, as multiples of its fair share; one assignment is added to each because
// assignments can't be divided. A member is given assignments up to its fair share if possible, else up to
// maxFillRatio, and loses assignments above maxKeepRatio. The memory and limits of a node are calculated with
// maxKeepRatio: 15% over the share, 18 assignments where the share is 15. The gap between the two lets a
// fleet grow by a tenth before an assignment moves between members that stay; without a gap, each member at
// the bound would have to give one away whenever the share falls.
const (
	maxFillRatio = 1.05
	maxKeepRatio = 1.15
)

// ErrInvalid says that no map can be made of the members, or that a map is invalid.
var ErrInvalid = errors.New("invalid ownership map")

// Make assigns owners to each partition: ownersPerPartition of them, or all members if there are fewer, in as many zones
// as there are. It ranks the members for a partition by weighted rendezvous hashing and bounds the load of
// each, see maxFillRatio. Given a previous map, a partition keeps its owners except: owners that left; owners
// that share a zone while another zone has none; owners above their bound; and owners above their fair share
// whose assignment is taken over by a new member (one that joined, gained weight or changed its zone) until
// that member has its own share. The result does not depend on the order of members. Errors wrap ErrInvalid.
func Make(number int64, ownersPerPartition int, members []Member, previous *Map) (*Map, error) {
	members = sortedByName(members)
	if err := validate(number, ownersPerPartition, members); err != nil {
		return nil, err
	}
	if previous != nil && previous.Number >= number {
		return nil, fmt.Errorf("%w: number %d is not above the previous map's number %d", ErrInvalid, number, previous.Number)
	}
	mb := newMapBuilder(ownersPerPartition, members)
	isNew := mb.keepOwners(previous)
	for p := range PartitionCount {
		for len(mb.owners[p]) < mb.ownersEach && mb.addOwnerWithinLimits(p, isNew) {
		}
	}
	for m := range members {
		if isNew[m] {
			mb.fillNewMember(m, isNew)
		}
	}
	for p := range PartitionCount { // only where zones are nearly full
		for len(mb.owners[p]) < mb.ownersEach {
			mb.addOwner(p, isNew)
		}
	}
	for m := range members {
		mb.reduceToLimit(m, isNew)
	}
	out := &Map{Number: number, OwnersPerPartition: ownersPerPartition, Members: members, owners: make([]uint16, 0, PartitionCount*mb.ownersEach)}
	for p, owners := range mb.owners {
		slices.SortFunc(owners, func(a, b int) int { return mb.compare(b, a, p) })
		for _, o := range owners {
			out.owners = append(out.owners, uint16(o))
		}
	}
	return out, nil
}

// CheckMembers validates the input of Make. Errors wrap ErrInvalid.
func CheckMembers(ownersPerPartition int, members []Member) error {
	return validate(1, ownersPerPartition, sortedByName(members))
}

func sortedByName(members []Member) []Member {
	return slices.SortedFunc(slices.Values(members), func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
}

// validate checks the number, the owners per partition and the members, which must be sorted by name.
func validate(number int64, ownersPerPartition int, members []Member) error {
	switch {
	case number < 1:
		return fmt.Errorf("%w: number %d is below 1", ErrInvalid, number)
	case ownersPerPartition < 1 || ownersPerPartition > MaxOwners:
		return fmt.Errorf("%w: %d owners for each partition, must be 1 to %d", ErrInvalid, ownersPerPartition, MaxOwners)
	case len(members) == 0 || len(members) > MaxMembers:
		return fmt.Errorf("%w: %d members, must be 1 to %d", ErrInvalid, len(members), MaxMembers)
	}
	for i, m := range members {
		if err := errors.Join(checkName("name", m.Name), checkName("zone", m.Zone)); err != nil {
			return fmt.Errorf("%w: member %.40q: %w", ErrInvalid, m.Name, err)
		}
		if !(m.Weight > 0) || math.IsInf(m.Weight, 0) {
			return fmt.Errorf("%w: member %q: weight %v must be finite and above 0", ErrInvalid, m.Name, m.Weight)
		}
		if i > 0 && members[i-1].Name >= m.Name {
			return fmt.Errorf("%w: member %q is listed twice or out of order", ErrInvalid, m.Name)
		}
	}
	return nil
}

func checkName(what, s string) error {
	if s == "" || len(s) > MaxNameBytes || strings.ContainsFunc(s, func(r rune) bool { return r == utf8.RuneError || unicode.IsSpace(r) || unicode.IsControl(r) }) {
		return fmt.Errorf("%s %.40q: must be 1 to %d bytes without spaces and control characters", what, s, MaxNameBytes)
	}
	return nil
}

// relativeWeights returns the members' weights relative to the largest. A weight below 1e-9 of it counts as
// 1e-9, so that sums neither overflow nor vanish.
func relativeWeights(members []Member) []float64 {
	largest := 0.0
	for _, m := range members {
		largest = max(largest, m.Weight)
	}
	w := make([]float64, len(members))
	for i, m := range members {
		w[i] = max(m.Weight/largest, 1e-9)
	}
	return w
}

// numberZones numbers the zones and returns the number of each member's zone.
func numberZones(members []Member) (zone []int, zones int) {
	number := map[string]int{}
	for _, m := range members {
		if _, ok := number[m.Zone]; !ok {
			number[m.Zone] = len(number)
		}
		zone = append(zone, number[m.Zone])
	}
	return zone, len(number)
}

// fairShares returns the fair share of each member, in assignments. It divides all assignments among the zones by
// weight, and those of a zone among its members by weight. If
// there are at least as many zones as owners of a partition, a zone has each partition at most once,
// otherwise at least once; a member has each partition at most once.
func fairShares(members []Member, ownersEach int) []float64 {
	w := relativeWeights(members)
	zone, zones := numberZones(members)
	membersOf := make([][]int, zones)
	for i, z := range zone {
		membersOf[z] = append(membersOf[z], i)
	}
	zoneWeights, lo, hi := make([]float64, zones), make([]float64, zones), make([]float64, zones)
	for z := range zones {
		for _, i := range membersOf[z] {
			zoneWeights[z] += w[i]
		}
		hi[z] = PartitionCount
		if zones < ownersEach {
			lo[z], hi[z] = PartitionCount, PartitionCount*float64(len(membersOf[z]))
		}
	}
	out := make([]float64, len(members))
	for z, share := range divideBounded(PartitionCount*float64(ownersEach), zoneWeights, lo, hi) {
		memberWeights, lo, hi := make([]float64, len(membersOf[z])), make([]float64, len(membersOf[z])), make([]float64, len(membersOf[z]))
		for j, i := range membersOf[z] {
			memberWeights[j], hi[j] = w[i], PartitionCount
		}
		for j, v := range divideBounded(share, memberWeights, lo, hi) {
			out[membersOf[z][j]] = v
		}
	}
	return out
}

// divideBounded divides a total into parts in proportion to weights, each part between its lo and its hi; the
// total must lie between the sums of these.
func divideBounded(total float64, weights, lo, hi []float64) []float64 {
	out := make([]float64, len(weights))
	fixed := make([]bool, len(weights))
	for {
		rest, sum := total, 0.0
		for i, w := range weights {
			if fixed[i] {
				rest -= out[i]
			} else {
				sum += w
			}
		}
		if sum == 0 {
			return out
		}
		// Fix all parts that exceed a bound at that bound, on the side where the excess is larger.
		over := 0.0
		for i, w := range weights {
			if !fixed[i] {
				out[i] = max(rest, 0) * w / sum
				over += max(out[i]-hi[i], 0) - max(lo[i]-out[i], 0)
			}
		}
		again := false
		for i := range weights {
			if fixed[i] {
				continue
			}
			switch {
			case over >= 0 && out[i] > hi[i]:
				out[i], fixed[i], again = hi[i], true, true
			case over <= 0 && out[i] < lo[i]:
				out[i], fixed[i], again = lo[i], true, true
			}
		}
		if !again {
			return out
		}
	}
}

// mapBuilder holds a map while it is being made. Members and partitions are referred to by index.
type mapBuilder struct {
	members     []Member
	nameHash    []uint64
	weight      []float64
	zone        []int
	zonesNeeded int // zones that the owners of each partition must be in
	ownersEach  int // owners of each partition
	fairShare   []float64
	shareLimit  []int   // a member is given assignments while it has fewer than this,
	fillLimit   []int   // or fewer than this if no other member can be given one,
	keepLimit   []int   // and loses assignments while it has more than this
	owners      [][]int // by partition
	held        []Set   // partitions, by member
	load        []int   // number of assignments, by member

	scoredPartition int // partition that scores was computed for
	scores          []float64
	hashInput       [10]byte
}

func newMapBuilder(ownersPerPartition int, members []Member) *mapBuilder {
	mb := &mapBuilder{members: members, weight: relativeWeights(members), ownersEach: min(ownersPerPartition, len(members)), scoredPartition: -1}
	var zones int
	mb.zone, zones = numberZones(members)
	mb.zonesNeeded = min(mb.ownersEach, zones)
	mb.fairShare = fairShares(members, mb.ownersEach)
	for _, m := range members {
		mb.nameHash = append(mb.nameHash, xxhash.Sum64String(m.Name))
	}
	for _, s := range mb.fairShare {
		mb.shareLimit = append(mb.shareLimit, int(s))
		mb.fillLimit = append(mb.fillLimit, min(int(maxFillRatio*s+1), PartitionCount))
		mb.keepLimit = append(mb.keepLimit, min(int(maxKeepRatio*s+1), PartitionCount))
	}
	mb.owners = make([][]int, PartitionCount)
	mb.held, mb.load, mb.scores = make([]Set, len(members)), make([]int, len(members)), make([]float64, len(members))
	return mb
}

// score returns the rank value of a member for a partition; the highest ranks first. With u uniform on (0,1)
// from the hash, -w/ln(u) puts each member first in proportion to its weight, and adding or removing a member
// does not change the order of the others.
func (mb *mapBuilder) score(m, p int) float64 {
	binary.LittleEndian.PutUint64(mb.hashInput[:], mb.nameHash[m])
	binary.LittleEndian.PutUint16(mb.hashInput[8:], uint16(p))
	u := (float64(xxhash.Sum64(mb.hashInput[:])>>12) + 0.5) / (1 << 52) // neither 0 nor 1
	return -mb.weight[m] / math.Log(u)
}

// compare orders two members by their rank for a partition, the lower one first.
func (mb *mapBuilder) compare(a, b, p int) int {
	return cmp.Or(cmp.Compare(mb.score(a, p), mb.score(b, p)), cmp.Compare(b, a))
}

func (mb *mapBuilder) assign(p, m int) {
	mb.owners[p] = append(mb.owners[p], m)
	mb.held[m].Add(p)
	mb.load[m]++
}

func (mb *mapBuilder) unassign(p, m int) {
	i := slices.Index(mb.owners[p], m)
	mb.owners[p] = slices.Delete(mb.owners[p], i, i+1)
	mb.held[m].remove(p)
	mb.load[m]--
}

// countZones counts the zones of a partition's owners, leaving out one owner (-1: none) and adding another
// (-1: none).
func (mb *mapBuilder) countZones(p, without, with int) int {
	n := 0
	var seen [MaxOwners + 1]int
	count := func(m int) {
		if !slices.Contains(seen[:n], mb.zone[m]) {
			seen[n] = mb.zone[m]
			n++
		}
	}
	for _, o := range mb.owners[p] {
		if o != without {
			count(o)
		}
	}
	if with >= 0 {
		count(with)
	}
	return n
}

// canOwn reports whether a member may own a partition in place of another (-1: in addition to the present
// owners), so that the owners can still cover as many zones as they must once all of them are assigned.
func (mb *mapBuilder) canOwn(p, m, without int) bool {
	if mb.held[m].Has(p) {
		return false
	}
	n := len(mb.owners[p])
	if without < 0 {
		n++
	}
	return mb.countZones(p, without, m) >= mb.zonesNeeded-(mb.ownersEach-n)
}

// keepOwners takes over the owners of the previous map, as far as they are still members and in different
// zones, and reports which members are new or are due more than before.
func (mb *mapBuilder) keepOwners(previous *Map) []bool {
	isNew := make([]bool, len(mb.members))
	if previous == nil {
		return isNew // no member counts as new, so none takes from another
	}
	newIndex := make([]int, len(previous.Members))
	for i := range newIndex {
		newIndex[i] = -1
	}
	for m, member := range mb.members {
		i, ok := previous.indexOf(member.Name)
		isNew[m] = !ok || previous.Members[i].Zone != member.Zone || previous.Members[i].Weight < member.Weight
		if ok {
			newIndex[i] = m
		}
	}
	for p := range PartitionCount {
		for _, o := range previous.ownerIndexes(p) {
			if newIndex[o] >= 0 {
				mb.assign(p, newIndex[o])
			}
		}
		for len(mb.owners[p]) > mb.ownersEach || mb.countZones(p, -1, -1) < mb.zonesNeeded-(mb.ownersEach-len(mb.owners[p])) {
			mb.unassign(p, mb.leastNeededOwner(p))
		}
	}
	return isNew
}

// leastNeededOwner returns the owner that a partition can best do without: the lowest ranked of those who
// share their zone with another owner, else of all.
func (mb *mapBuilder) leastNeededOwner(p int) int {
	all := slices.Clone(mb.owners[p])
	slices.SortFunc(all, func(a, b int) int { return mb.compare(a, b, p) })
	for _, o := range all {
		if mb.countZones(p, o, -1) == mb.countZones(p, -1, -1) {
			return o
		}
	}
	return all[0]
}

// bestCandidate finds the highest ranked member that may own a partition in place of another (-1: in addition
// to its owners) and is below its limit. New members below their fair share go first, so that a replaced
// machine hands its assignments to its replacement. -1: there is none.
func (mb *mapBuilder) bestCandidate(p, without int, limit []int, isNew []bool) int {
	if mb.scoredPartition != p {
		for m := range mb.members {
			mb.scores[m] = mb.score(m, p)
		}
		mb.scoredPartition = p
	}
	best, bestIsDue := -1, false
	for m := range mb.members {
		if limit != nil && mb.load[m] >= limit[m] {
			continue
		}
		due := isNew[m] && float64(mb.load[m]+1) <= mb.fairShare[m]
		if best >= 0 && (bestIsDue && !due || bestIsDue == due && mb.scores[m] <= mb.scores[best]) {
			continue
		}
		if m != without && mb.canOwn(p, m, without) {
			best, bestIsDue = m, due
		}
	}
	return best
}

// addOwnerWithinLimits adds an owner to a partition, or returns false if no member is below its limits.
func (mb *mapBuilder) addOwnerWithinLimits(p int, isNew []bool) bool {
	for _, limit := range [][]int{mb.shareLimit, mb.fillLimit, mb.keepLimit} {
		if m := mb.bestCandidate(p, -1, limit, isNew); m >= 0 {
			mb.assign(p, m)
			return true
		}
	}
	return false
}

// addOwner adds an owner to a partition, by a chain of moves if needed.
func (mb *mapBuilder) addOwner(p int, isNew []bool) {
	for range maxChains {
		if mb.addOwnerWithinLimits(p, isNew) {
			return
		}
		if !mb.moveAlongChain(p, -1) {
			break
		}
		if len(mb.owners[p]) == mb.ownersEach {
			return
		}
	}
	mb.assign(p, mb.bestCandidate(p, -1, nil, isNew)) // zone coverage takes precedence over the load limit
}

// fillNewMember lets a new member take its fair share from members above theirs, beginning where it ranks
// highest relative to them.
func (mb *mapBuilder) fillNewMember(m int, isNew []bool) {
	type move struct {
		partition, giver int
		scoreRatio       float64
	}
	var moves []move
	for p := range PartitionCount {
		if mb.held[m].Has(p) {
			continue
		}
		score := mb.score(m, p)
		for _, o := range mb.owners[p] {
			if !isNew[o] && float64(mb.load[o]) > mb.fairShare[o] && mb.canOwn(p, m, o) {
				moves = append(moves, move{p, o, score / mb.score(o, p)})
			}
		}
	}
	slices.SortFunc(moves, func(a, b move) int {
		return cmp.Or(cmp.Compare(b.scoreRatio, a.scoreRatio), cmp.Compare(a.partition, b.partition), cmp.Compare(a.giver, b.giver))
	})
	for _, overLimit := range []bool{true, false} { // first what they have to give away in any case
		for _, c := range moves {
			if float64(mb.load[m]+1) > mb.fairShare[m] {
				return
			}
			load := mb.load[c.giver]
			if !mb.held[m].Has(c.partition) && float64(load) > mb.fairShare[c.giver] && (!overLimit || load > mb.keepLimit[c.giver]) {
				mb.unassign(c.partition, c.giver)
				mb.assign(c.partition, m)
			}
		}
	}
}

// reduceToLimit hands assignments of a member to others until its load is within keepLimit, if that is possible.
func (mb *mapBuilder) reduceToLimit(m int, isNew []bool) {
	for _, limit := range [][]int{mb.shareLimit, mb.fillLimit, mb.keepLimit} {
		if mb.load[m] <= mb.keepLimit[m] {
			return
		}
		parts := slices.Collect(mb.held[m].All())
		slices.SortFunc(parts, func(a, b int) int {
			return cmp.Or(cmp.Compare(mb.score(m, a), mb.score(m, b)), cmp.Compare(a, b))
		})
		for _, p := range parts {
			if mb.load[m] <= mb.keepLimit[m] {
				return
			}
			if to := mb.bestCandidate(p, m, limit, isNew); to >= 0 {
				mb.unassign(p, m)
				mb.assign(p, to)
			}
		}
	}
	for i := 0; mb.load[m] > mb.keepLimit[m] && i < PartitionCount && mb.moveAlongChain(-1, m); i++ {
	}
}

// maxChains bounds the attempts to make room for one assignment. One is usually enough; a chain may be cut
// short if it meets one partition twice.
const maxChains = 16

// moveAlongChain finds the shortest chain of members in which each takes an assignment from the one before
// and the last has room, and carries it out: for one more owner of partition p, or for a member with too high
// a load. It returns false if there is none and the limits can't be kept. Chains are rare: they are needed
// only when zones are nearly full.
func (mb *mapBuilder) moveAlongChain(p, from int) bool {
	type link struct{ giver, p int }
	linkTo := map[int]link{}
	var queue []int
	if from >= 0 {
		linkTo[from] = link{-1, -1}
		queue = append(queue, from)
	} else {
		for m := range mb.members {
			if mb.canOwn(p, m, -1) {
				linkTo[m] = link{-1, p}
				queue = append(queue, m)
			}
		}
	}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		if at != from && mb.load[at] < mb.keepLimit[at] {
			for at != from {
				l := linkTo[at]
				if !mb.canOwn(l.p, at, l.giver) {
					return true // an earlier link took that partition's zone; the chain still brought room closer
				}
				if l.giver >= 0 {
					mb.unassign(l.p, l.giver)
				}
				mb.assign(l.p, at)
				if l.giver < 0 {
					break
				}
				at = l.giver
			}
			return true
		}
		for q := range mb.held[at].All() {
			for m := range mb.members {
				if _, ok := linkTo[m]; !ok && mb.canOwn(q, m, at) {
					linkTo[m] = link{at, q}
					queue = append(queue, m)
				}
			}
		}
	}
	return false
}
