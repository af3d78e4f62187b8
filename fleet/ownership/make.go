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
	fillTo = 1.05
	keepTo = 1.15
)

// ErrInvalid says that no map can be made of the members, or that a map is invalid.
var ErrInvalid = errors.New("invalid ownership map")

// Make assigns owners to each partition: copies of them, or all members if there are fewer, in as many zones
// as there are. It ranks the members for a partition by weighted rendezvous hashing and bounds the load of
// each, see maxFillRatio. Given a previous map, a partition keeps its owners except: owners that left; owners
// that share a zone while another zone has none; owners above their bound; and owners above their fair share
// whose assignment is taken over by a new member (one that joined, gained weight or changed its zone) until
// that member has its own share. The result does not depend on the order of members. Errors are ErrInvalid.
func Make(number int64, copies int, members []Member, before *Map) (*Map, error) {
	members = inOrder(members)
	if err := check(number, copies, members); err != nil {
		return nil, err
	}
	if before != nil && before.Number >= number {
		return nil, fmt.Errorf("%w: number %d is not above the previous map's number %d", ErrInvalid, number, before.Number)
	}
	k := newMaker(copies, members)
	came := k.keep(before)
	for p := range PartitionCount {
		for len(k.owners[p]) < k.per && k.offer(p, came) {
		}
	}
	for m := range members {
		if came[m] {
			k.arrive(m, came)
		}
	}
	for p := range PartitionCount { // only where zones are nearly full
		for len(k.owners[p]) < k.per {
			k.force(p, came)
		}
	}
	for m := range members {
		k.shed(m, came)
	}
	out := &Map{Number: number, OwnersPerPartition: copies, Members: members, owners: make([]uint16, 0, PartitionCount*k.per)}
	for p, owners := range k.owners {
		slices.SortFunc(owners, func(a, b int) int { return k.compare(b, a, p) })
		for _, o := range owners {
			out.owners = append(out.owners, uint16(o))
		}
	}
	return out, nil
}

// CheckMembers validates the copies and members that a map is to be made of. Errors are ErrInvalid.
func CheckMembers(copies int, members []Member) error { return check(1, copies, inOrder(members)) }

func inOrder(members []Member) []Member {
	return slices.SortedFunc(slices.Values(members), func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
}

// validate checks the number, the owners per partition and the members, which must be sorted by name.
func check(number int64, copies int, members []Member) error {
	switch {
	case number < 1:
		return fmt.Errorf("%w: number %d is below 1", ErrInvalid, number)
	case copies < 1 || copies > MaxOwners:
		return fmt.Errorf("%w: %d owners of each partition, must be 1 to %d", ErrInvalid, copies, MaxOwners)
	case len(members) == 0 || len(members) > MaxMembers:
		return fmt.Errorf("%w: %d members, must be 1 to %d", ErrInvalid, len(members), MaxMembers)
	}
	for i, m := range members {
		if err := errors.Join(checkName("name", m.Name), checkName("zone", m.Zone)); err != nil {
			return fmt.Errorf("%w: member %.40q: %w", ErrInvalid, m.Name, err)
		}
		if !(m.Weight > 0) || math.IsInf(m.Weight, 0) {
			return fmt.Errorf("%w: member %q: weight %v is not finite and above 0", ErrInvalid, m.Name, m.Weight)
		}
		if i > 0 && members[i-1].Name >= m.Name {
			return fmt.Errorf("%w: member %q is duplicate or out of order", ErrInvalid, m.Name)
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
func weights(members []Member) []float64 {
	most := 0.0
	for _, m := range members {
		most = max(most, m.Weight)
	}
	w := make([]float64, len(members))
	for i, m := range members {
		w[i] = max(m.Weight/most, 1e-9)
	}
	return w
}

// numberZones numbers the zones and returns the number of each member's zone.
func zonesOf(members []Member) (zone []int, zones int) {
	number := map[string]int{}
	for _, m := range members {
		if _, ok := number[m.Zone]; !ok {
			number[m.Zone] = len(number)
		}
		zone = append(zone, number[m.Zone])
	}
	return zone, len(number)
}

// fairShares divides all assignments among the zones by weight, and those of a zone among its members. If
// there are at least as many zones as owners of a partition, a zone has each partition at most once,
// otherwise at least once; a member has each partition at most once.
func shares(members []Member, per int) []float64 {
	w := weights(members)
	zone, zones := zonesOf(members)
	of := make([][]int, zones)
	for i, z := range zone {
		of[z] = append(of[z], i)
	}
	zw, lo, hi := make([]float64, zones), make([]float64, zones), make([]float64, zones)
	for z := range zones {
		for _, i := range of[z] {
			zw[z] += w[i]
		}
		hi[z] = PartitionCount
		if zones < per {
			lo[z], hi[z] = PartitionCount, PartitionCount*float64(len(of[z]))
		}
	}
	out := make([]float64, len(members))
	for z, share := range divide(PartitionCount*float64(per), zw, lo, hi) {
		mw, lo, hi := make([]float64, len(of[z])), make([]float64, len(of[z])), make([]float64, len(of[z]))
		for j, i := range of[z] {
			mw[j], hi[j] = w[i], PartitionCount
		}
		for j, v := range divide(share, mw, lo, hi) {
			out[of[z][j]] = v
		}
	}
	return out
}

// divideBounded divides a total by weights, each part within its bounds; the total must lie between the sums
// of the bounds.
func divide(total float64, weights, lo, hi []float64) []float64 {
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

// mapBuilder holds a map while it is being made.
type maker struct {
	members []Member
	name    []uint64
	weight  []float64
	zone    []int
	unlike  int // zones that the owners of each partition must be in
	per     int // owners of each partition
	share   []float64
	even    []int // a member is given assignments while it has fewer than this,
	fill    []int // or fewer than this if no other member can be given one,
	bound   []int // and loses assignments while it has more than this
	owners  [][]int
	held    []Set
	load    []int

	ranked int // partition that scores was computed for
	scores []float64
	key    [10]byte
}

func newMaker(copies int, members []Member) *maker {
	k := &maker{members: members, weight: weights(members), per: min(copies, len(members)), ranked: -1}
	var zones int
	k.zone, zones = zonesOf(members)
	k.unlike = min(k.per, zones)
	k.share = shares(members, k.per)
	for _, m := range members {
		k.name = append(k.name, xxhash.Sum64String(m.Name))
	}
	for _, s := range k.share {
		k.even = append(k.even, int(s))
		k.fill = append(k.fill, min(int(fillTo*s+1), PartitionCount))
		k.bound = append(k.bound, min(int(keepTo*s+1), PartitionCount))
	}
	k.owners = make([][]int, PartitionCount)
	k.held, k.load, k.scores = make([]Set, len(members)), make([]int, len(members)), make([]float64, len(members))
	return k
}

// score returns the rank value of a member for a partition; the highest ranks first. With u uniform on (0,1)
// from the hash, -w/ln(u) puts each member first in proportion to its weight, and adding or removing a member
// does not change the order of the others.
func (k *maker) score(m, p int) float64 {
	binary.LittleEndian.PutUint64(k.key[:], k.name[m])
	binary.LittleEndian.PutUint16(k.key[8:], uint16(p))
	u := (float64(xxhash.Sum64(k.key[:])>>12) + 0.5) / (1 << 52) // neither 0 nor 1
	return -k.weight[m] / math.Log(u)
}

// compare orders two members by their rank for a partition, the lower one first.
func (k *maker) compare(a, b, p int) int {
	return cmp.Or(cmp.Compare(k.score(a, p), k.score(b, p)), cmp.Compare(b, a))
}

func (k *maker) give(p, m int) {
	k.owners[p] = append(k.owners[p], m)
	k.held[m].Add(p)
	k.load[m]++
}

func (k *maker) take(p, m int) {
	i := slices.Index(k.owners[p], m)
	k.owners[p] = slices.Delete(k.owners[p], i, i+1)
	k.held[m].remove(p)
	k.load[m]--
}

// countZones counts the zones of a partition's owners, leaving out one owner (-1: none) and adding another
// (-1: none).
func (k *maker) zonesBut(p, without, with int) int {
	n := 0
	var seen [MaxOwners + 1]int
	count := func(m int) {
		if !slices.Contains(seen[:n], k.zone[m]) {
			seen[n] = k.zone[m]
			n++
		}
	}
	for _, o := range k.owners[p] {
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
func (k *maker) fits(p, m, without int) bool {
	if k.held[m].Has(p) {
		return false
	}
	n := len(k.owners[p])
	if without < 0 {
		n++
	}
	return k.zonesBut(p, without, m) >= k.unlike-(k.per-n)
}

// keepOwners takes over the owners of the previous map, as far as they are still members and in different
// zones, and reports which members are new or are due more than before.
func (k *maker) keep(before *Map) []bool {
	came := make([]bool, len(k.members))
	if before == nil {
		return came // all members are new, so none takes from another
	}
	now := make([]int, len(before.Members))
	for i := range now {
		now[i] = -1
	}
	for m, member := range k.members {
		i, ok := before.find(member.Name)
		came[m] = !ok || before.Members[i].Zone != member.Zone || before.Members[i].Weight < member.Weight
		if ok {
			now[i] = m
		}
	}
	for p := range PartitionCount {
		for _, o := range before.of(p) {
			if now[o] >= 0 {
				k.give(p, now[o])
			}
		}
		for len(k.owners[p]) > k.per || k.zonesBut(p, -1, -1) < k.unlike-(k.per-len(k.owners[p])) {
			k.take(p, k.spare(p))
		}
	}
	return came
}

// leastNeededOwner returns the owner that a partition can best do without: the lowest ranked of those who
// share their zone with another owner, else of all.
func (k *maker) spare(p int) int {
	all := slices.Clone(k.owners[p])
	slices.SortFunc(all, func(a, b int) int { return k.compare(a, b, p) })
	for _, o := range all {
		if k.zonesBut(p, o, -1) == k.zonesBut(p, -1, -1) {
			return o
		}
	}
	return all[0]
}

// bestCandidate finds the highest ranked member that may own a partition in place of another (-1: in addition
// to its owners) and is below its limit. New members below their fair share go first, so that a replaced
// machine hands its assignments to its replacement. -1: there is none.
func (k *maker) pick(p, without int, limit []int, came []bool) int {
	if k.ranked != p {
		for m := range k.members {
			k.scores[m] = k.score(m, p)
		}
		k.ranked = p
	}
	best, bestCame := -1, false
	for m := range k.members {
		if limit != nil && k.load[m] >= limit[m] {
			continue
		}
		due := came[m] && float64(k.load[m]+1) <= k.share[m]
		if best >= 0 && (bestCame && !due || bestCame == due && k.scores[m] <= k.scores[best]) {
			continue
		}
		if m != without && k.fits(p, m, without) {
			best, bestCame = m, due
		}
	}
	return best
}

// addOwnerWithinLimits adds an owner to a partition, or returns false if no member is below its limits.
func (k *maker) offer(p int, came []bool) bool {
	for _, limit := range [][]int{k.even, k.fill, k.bound} {
		if m := k.pick(p, -1, limit, came); m >= 0 {
			k.give(p, m)
			return true
		}
	}
	return false
}

// addOwner adds an owner to a partition, by a chain of moves if needed.
func (k *maker) force(p int, came []bool) {
	for range maxChains {
		if k.offer(p, came) {
			return
		}
		if !k.chain(p, -1) {
			break
		}
		if len(k.owners[p]) == k.per {
			return
		}
	}
	k.give(p, k.pick(p, -1, nil, came)) // zone coverage takes precedence over the load limit
}

// fillNewMember lets a new member take its fair share from members above theirs, beginning where it ranks
// highest relative to them.
func (k *maker) arrive(m int, came []bool) {
	type part struct {
		p, from int
		by      float64
	}
	var parts []part
	for p := range PartitionCount {
		if k.held[m].Has(p) {
			continue
		}
		score := k.score(m, p)
		for _, o := range k.owners[p] {
			if !came[o] && float64(k.load[o]) > k.share[o] && k.fits(p, m, o) {
				parts = append(parts, part{p, o, score / k.score(o, p)})
			}
		}
	}
	slices.SortFunc(parts, func(a, b part) int {
		return cmp.Or(cmp.Compare(b.by, a.by), cmp.Compare(a.p, b.p), cmp.Compare(a.from, b.from))
	})
	for _, pastBound := range []bool{true, false} { // first what they have to give away in any case
		for _, c := range parts {
			if float64(k.load[m]+1) > k.share[m] {
				return
			}
			load := k.load[c.from]
			if !k.held[m].Has(c.p) && float64(load) > k.share[c.from] && (!pastBound || load > k.bound[c.from]) {
				k.take(c.p, c.from)
				k.give(c.p, m)
			}
		}
	}
}

// reduceToLimit brings the load of a member down to its limit.
func (k *maker) shed(m int, came []bool) {
	for _, limit := range [][]int{k.even, k.fill, k.bound} {
		if k.load[m] <= k.bound[m] {
			return
		}
		parts := slices.Collect(k.held[m].All())
		slices.SortFunc(parts, func(a, b int) int {
			return cmp.Or(cmp.Compare(k.score(m, a), k.score(m, b)), cmp.Compare(a, b))
		})
		for _, p := range parts {
			if k.load[m] <= k.bound[m] {
				return
			}
			if to := k.pick(p, m, limit, came); to >= 0 {
				k.take(p, m)
				k.give(p, to)
			}
		}
	}
	for i := 0; k.load[m] > k.bound[m] && i < PartitionCount && k.chain(-1, m); i++ {
	}
}

// maxChains bounds the attempts to make room for one assignment. One is usually enough; a chain may be cut
// short if it meets one partition twice.
const maxChains = 16

// moveAlongChain finds the shortest chain of members in which each takes an assignment from the one before
// and the last has room, and carries it out: for one more owner of partition p, or for a member with too high
// a load. It returns false if there is none and the limits can't be kept. Chains are rare: they are needed
// only when zones are nearly full.
func (k *maker) chain(p, from int) bool {
	type link struct{ giver, p int }
	links := map[int]link{}
	var queue []int
	if from >= 0 {
		links[from] = link{-1, -1}
		queue = append(queue, from)
	} else {
		for m := range k.members {
			if k.fits(p, m, -1) {
				links[m] = link{-1, p}
				queue = append(queue, m)
			}
		}
	}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		if at != from && k.load[at] < k.bound[at] {
			for at != from {
				l := links[at]
				if !k.fits(l.p, at, l.giver) {
					return true // an earlier link took that partition's zone; the chain still brought room closer
				}
				if l.giver >= 0 {
					k.take(l.p, l.giver)
				}
				k.give(l.p, at)
				if l.giver < 0 {
					break
				}
				at = l.giver
			}
			return true
		}
		for q := range k.held[at].All() {
			for m := range k.members {
				if _, ok := links[m]; !ok && k.fits(q, m, at) {
					links[m] = link{at, q}
					queue = append(queue, m)
				}
			}
		}
	}
	return false
}
