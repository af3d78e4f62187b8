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

// Bounds of what comes from outside.
const (
	MaxCopies  = 5
	MaxMembers = 4096 // past it a member's share is 3 parts, and no longer even
	MaxName    = 200  // bytes of a name or a zone
)

// The bounds of a member's load, as multiples of its fair share; one part is added to each, for what can't be divided.
// A member is given parts up to its share if that can be, else up to the first bound, and loses parts from the second
// on. The second is what a node's memory and limits are reckoned with: 15% over the share, 18 parts where it is 15. The
// gap between them is there so that a fleet may grow by a tenth before a part moves between members that stay; without
// one, each member at the bound would have to give a part away whenever the share falls.
const (
	fillTo = 1.05
	keepTo = 1.15
)

// ErrBad says that members or a map can't be.
var ErrBad = errors.New("no such map can be")

// Make gives each partition its owners: copies of them, or all members if those are fewer, in as many zones as there
// are. It ranks members for a partition by weighted rendezvous hashing and bounds what one is given, see fillTo. With
// before, a partition keeps its owners but for those that left, those who share their zone while a zone has none, those
// past their bound, and those above their share of whom a member takes that has come (or grown, or is in another zone
// now), until it has its own share. The result does not hang on the order of members. Errors are ErrBad.
func Make(number int64, copies int, members []Member, before *Map) (*Map, error) {
	members = inOrder(members)
	if err := check(number, copies, members); err != nil {
		return nil, err
	}
	if before != nil && before.Number >= number {
		return nil, fmt.Errorf("%w: its number is %d, and the one before has %d", ErrBad, number, before.Number)
	}
	k := newMaker(copies, members)
	came := k.keep(before)
	for p := range Partitions {
		for len(k.owners[p]) < k.per && k.offer(p, came) {
		}
	}
	for m := range members {
		if came[m] {
			k.arrive(m, came)
		}
	}
	for p := range Partitions { // where zones are all but full: rare
		for len(k.owners[p]) < k.per {
			k.force(p, came)
		}
	}
	for m := range members {
		k.shed(m, came)
	}
	out := &Map{Number: number, Copies: copies, Members: members, owners: make([]uint16, 0, Partitions*k.per)}
	for p, owners := range k.owners {
		slices.SortFunc(owners, func(a, b int) int { return k.compare(b, a, p) })
		for _, o := range owners {
			out.owners = append(out.owners, uint16(o))
		}
	}
	return out, nil
}

// Check tells what is wrong with copies and members that a map is to be made of: ErrBad.
func Check(copies int, members []Member) error { return check(1, copies, inOrder(members)) }

func inOrder(members []Member) []Member {
	return slices.SortedFunc(slices.Values(members), func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
}

// check tells what is wrong with the frame of a map whose members are in order.
func check(number int64, copies int, members []Member) error {
	switch {
	case number < 1:
		return fmt.Errorf("%w: its number is %d, and the first is 1", ErrBad, number)
	case copies < 1 || copies > MaxCopies:
		return fmt.Errorf("%w: %d owners of a partition, 1 to %d are possible", ErrBad, copies, MaxCopies)
	case len(members) == 0 || len(members) > MaxMembers:
		return fmt.Errorf("%w: %d members, 1 to %d are possible", ErrBad, len(members), MaxMembers)
	}
	for i, m := range members {
		if err := errors.Join(checkName("name", m.Name), checkName("zone", m.Zone)); err != nil {
			return fmt.Errorf("%w: member %.40q: %w", ErrBad, m.Name, err)
		}
		if !(m.Weight > 0) || math.IsInf(m.Weight, 0) {
			return fmt.Errorf("%w: member %q: weight %v is not finite and above 0", ErrBad, m.Name, m.Weight)
		}
		if i > 0 && members[i-1].Name >= m.Name {
			return fmt.Errorf("%w: member %q is there twice or out of order", ErrBad, m.Name)
		}
	}
	return nil
}

func checkName(what, s string) error {
	if s == "" || len(s) > MaxName || strings.ContainsFunc(s, func(r rune) bool { return r == utf8.RuneError || unicode.IsSpace(r) || unicode.IsControl(r) }) {
		return fmt.Errorf("%s %.40q: 1 to %d bytes without spaces and control characters", what, s, MaxName)
	}
	return nil
}

// weights are the members' weights beside the largest. A weight below a thousand-millionth of it counts as that, so
// that sums neither overflow nor vanish.
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

// zonesOf numbers the zones, and tells each member's.
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

// shares parts all parts among zones by their weights, and each zone's among its members. A zone has each partition
// once at most if there are as many zones as owners, else once at least; a member has each once at most.
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
		hi[z] = Partitions
		if zones < per {
			lo[z], hi[z] = Partitions, Partitions*float64(len(of[z]))
		}
	}
	out := make([]float64, len(members))
	for z, share := range divide(Partitions*float64(per), zw, lo, hi) {
		mw, lo, hi := make([]float64, len(of[z])), make([]float64, len(of[z])), make([]float64, len(of[z]))
		for j, i := range of[z] {
			mw[j], hi[j] = w[i], Partitions
		}
		for j, v := range divide(share, mw, lo, hi) {
			out[of[z][j]] = v
		}
	}
	return out
}

// divide parts a total by weights, each part within its bounds; the total is between the sums of the bounds.
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
		// All that pass a bound are put to it, on the side on which more is passed: those stay there.
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

// maker is a map in the making.
type maker struct {
	members []Member
	name    []uint64 // hashed
	weight  []float64
	zone    []int
	unlike  int // zones that each partition's owners are in
	per     int // owners of each partition
	share   []float64
	even    []int // a member is given parts while it has fewer,
	fill    []int // or fewer than this if nobody else can be,
	bound   []int // and loses parts while it has more than this
	owners  [][]int
	held    []Set
	load    []int

	ranked int // partition whose scores are at hand
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
		k.fill = append(k.fill, min(int(fillTo*s+1), Partitions))
		k.bound = append(k.bound, min(int(keepTo*s+1), Partitions))
	}
	k.owners = make([][]int, Partitions)
	k.held, k.load, k.scores = make([]Set, len(members)), make([]int, len(members)), make([]float64, len(members))
	return k
}

// score is a member's for a partition; the highest ranks first. With u even on (0,1) by the hash, -w/ln(u) puts each
// member first in proportion to its weight, and one that comes or goes changes nothing between the others.
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

// zonesBut counts the zones of a partition's owners, without one of them (-1: with all) and with another (-1: none).
func (k *maker) zonesBut(p, without, with int) int {
	n := 0
	var seen [MaxCopies + 1]int
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

// fits tells whether a member may own a partition in another's place (-1: beside those that do), so that its owners
// still come to as many zones as they must once all are there.
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

// keep takes the owners before over, as far as they are there and in unlike zones, and tells which members have come
// since, or are due more than before.
func (k *maker) keep(before *Map) []bool {
	came := make([]bool, len(k.members))
	if before == nil {
		return came // all have, and none takes from another
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
	for p := range Partitions {
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

// spare is the owner that a partition misses least: the lowest of those who share their zone with another, else of all.
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

// pick finds who may take a partition in another's place (-1: beside its owners), has less than its limit and ranks
// highest; those who have come and lack a part of their share go first, so that a machine that is replaced gives its
// parts to the one in its place. -1: nobody.
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

// offer gives a partition one more owner, within the bounds, or tells that nobody can be.
func (k *maker) offer(p int, came []bool) bool {
	for _, limit := range [][]int{k.even, k.fill, k.bound} {
		if m := k.pick(p, -1, limit, came); m >= 0 {
			k.give(p, m)
			return true
		}
	}
	return false
}

// force gives a partition one more owner, by a chain if it must.
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
	k.give(p, k.pick(p, -1, nil, came)) // the zones count more than the bound
}

// arrive lets a member that has come take its fair share, from those who have more than theirs and first where it ranks
// highest beside them.
func (k *maker) arrive(m int, came []bool) {
	type part struct {
		p, from int
		by      float64
	}
	var parts []part
	for p := range Partitions {
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
	for _, pastBound := range []bool{true, false} { // first what they would have to give to anybody
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

// shed brings a member down to its bound.
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
	for i := 0; k.load[m] > k.bound[m] && i < Partitions && k.chain(-1, m); i++ {
	}
}

// maxChains is how often room is sought for one part. Mostly once is enough; a chain may have to be cut short where
// it comes to one partition twice.
const maxChains = 16

// chain finds the shortest chain of members of which each takes a part from the one before and the last has room,
// and carries it out: for one more owner of partition p, or for a member that has too much. False: there is none, and
// the bounds can't be kept. Chains are rare: zones that are all but full.
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
					return true // an earlier link took that partition's zone; room has come nearer all the same
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
