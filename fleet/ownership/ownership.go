// Package ownership decides which nodes own which destinations. Destinations are hashed to a fixed number of
// partitions; a numbered map gives each partition a few owners in different zones. Nodes act by the newest
// map they have, so a map is agreed on and distributed as data, and never computed again by its readers. The
// package is pure: no sockets, files, clocks, goroutines or randomness.
package ownership

import (
	"errors"
	"fmt"
	"iter"
	"math/bits"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PartitionCount can't be changed: with another value every destination would fall into another partition.
// With 820 nodes and 3 owners a node has about 15 of 12,288 assignments, enough to keep loads even within a
// few assignments, and a map still fits into a record of the directory.
const PartitionCount = 4096

// RecordName is the name of the directory record whose value is the newest map, encoded by Encode.
const RecordName = "ownership.map"

// PartitionOf returns the partition of a destination. It hashes the number in decimal, so that programs in
// any language can compute it.
func PartitionOf(dest int) int {
	return int(xxhash.Sum64String(strconv.Itoa(dest)) % PartitionCount)
}

// Set is a set of partitions. It is comparable; the zero value is empty.
type Set [PartitionCount / 64]uint64

// Has reports whether p is in the set; false if p is not a partition.
func (s Set) Has(p int) bool { return p >= 0 && p < PartitionCount && s[p/64]&(1<<(p%64)) != 0 }

// Add adds a partition, 0 to PartitionCount-1; it panics on any other number.
func (s *Set) Add(p int) { s[p/64] |= 1 << (p % 64) }

func (s *Set) remove(p int) { s[p/64] &^= 1 << (p % 64) }

// Len returns the number of partitions in the set.
func (s Set) Len() int {
	n := 0
	for _, w := range s {
		n += bits.OnesCount64(w)
	}
	return n
}

// Union returns the partitions that are in either set.
func (s Set) Union(o Set) Set {
	for i := range s {
		s[i] |= o[i]
	}
	return s
}

// Without returns the partitions of s that are not in o.
func (s Set) Without(o Set) Set {
	for i := range s {
		s[i] &^= o[i]
	}
	return s
}

// All iterates over the partitions in ascending order.
func (s Set) All() iter.Seq[int] {
	return func(yield func(int) bool) {
		for i, w := range s {
			for ; w != 0; w &= w - 1 {
				if !yield(i*64 + bits.TrailingZeros64(w)) {
					return
				}
			}
		}
	}
}

// String returns the set as text like "3,17,40-44": ascending, two or more consecutive partitions as a range,
// "" for the empty set.
func (s Set) String() string {
	var b strings.Builder
	for p := 0; p < PartitionCount; p++ {
		if !s.Has(p) {
			continue
		}
		first := p
		for s.Has(p + 1) {
			p++
		}
		if b.Len() > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(first))
		if p > first {
			b.WriteByte('-')
			b.WriteString(strconv.Itoa(p))
		}
	}
	return b.String()
}

var errInvalidSet = errors.New("invalid set of partitions")

// ParseSet reads what String writes, and nothing else: each set has exactly one text, so that texts can be
// compared.
func ParseSet(text string) (Set, error) {
	var s Set
	if text == "" {
		return s, nil
	}
	for part := range strings.SplitSeq(text, ",") {
		from, to, ranged := strings.Cut(part, "-")
		if !ranged {
			to = from
		}
		a, err := strconv.ParseUint(from, 10, 16)
		b, err2 := strconv.ParseUint(to, 10, 16)
		if err != nil || err2 != nil || a > b || b >= PartitionCount {
			return Set{}, fmt.Errorf("%w: %.40q: must be numbers from 0 to %d or ranges of them", errInvalidSet, part, PartitionCount-1)
		}
		for p := a; p <= b; p++ {
			s.Add(int(p))
		}
	}
	if want := s.String(); want != text {
		return Set{}, fmt.Errorf("%w: %.40q must be written as %.40q", errInvalidSet, text, want)
	}
	return s, nil
}

// Member is a node that may own partitions.
type Member struct {
	Name   string  `toml:"name" json:"name"`     // unique in the fleet; 1 to 200 bytes without spaces and control characters
	Zone   string  `toml:"zone" json:"zone"`     // of the same form
	Weight float64 `toml:"weight" json:"weight"` // relative to the other members'; finite, above 0
}

// Map says which members own which partitions. It is immutable and may be read concurrently.
type Map struct {
	Number             int64    // unique; the larger number is the newer map
	OwnersPerPartition int      // or all members if there are fewer; 1 to 5
	Members            []Member // sorted by name

	owners []uint16 // ownersEach() of each partition, in order of preference: indexes into Members
}

// ownersEach returns the number of owners of each partition.
func (m *Map) ownersEach() int { return min(m.OwnersPerPartition, len(m.Members)) }

func (m *Map) ownerIndexes(p int) []uint16 {
	n := m.ownersEach()
	return m.owners[p*n : (p+1)*n]
}

// Owners returns the names of a partition's owners in order of preference; nil if p is not a partition.
func (m *Map) Owners(p int) []string {
	if p < 0 || p >= PartitionCount {
		return nil
	}
	var names []string
	for _, o := range m.ownerIndexes(p) {
		names = append(names, m.Members[o].Name)
	}
	return names
}

// indexOf returns a member's index in Members.
func (m *Map) indexOf(name string) (int, bool) {
	return slices.BinarySearchFunc(m.Members, name, func(a Member, name string) int { return strings.Compare(a.Name, name) })
}

// PartitionsOf returns the partitions that a member owns; false if it is not in the map.
func (m *Map) PartitionsOf(member string) (Set, bool) {
	var s Set
	at, ok := m.indexOf(member)
	if !ok {
		return s, false
	}
	n := m.ownersEach()
	for i, o := range m.owners {
		if int(o) == at {
			s.Add(i / n)
		}
	}
	return s, true
}

// Loads returns how many partitions each member owns, in the order of Members.
func (m *Map) Loads() []int {
	loads := make([]int, len(m.Members))
	for _, o := range m.owners {
		loads[o]++
	}
	return loads
}

// FairShares returns the members' fair shares in assignments, in the order of Members: proportional to
// weight, as far as the owners of a partition can be distinct and in different zones.
func (m *Map) FairShares() []float64 { return fairShares(m.Members, m.ownersEach()) }

// Change describes the difference between two maps.
type Change struct {
	Assignments   int      `json:"parts"`   // of the later map: partitions times owners of each
	Moved         int      `json:"moved"`   // assignments whose owner did not have that partition before
	NoOwnerKept   int      `json:"bare"`    // partitions that keep none of their owners
	MembersBefore int      `json:"members"` // number of members of the earlier map; 0: there was none
	Added         []string `json:"came"`    // sorted
	Removed       []string `json:"gone"`
	MaxLoad       int      `json:"most"`    // highest load of a member of the later map
	MaxLoadMember string   `json:"most_of"` // the member with that load
}

// Diff returns the change from a to b. a may be nil; then all of b is new.
func Diff(a, b *Map) Change {
	c := Change{Assignments: len(b.owners), Added: []string{}, Removed: []string{}}
	for i, n := range b.Loads() {
		if n > c.MaxLoad {
			c.MaxLoad, c.MaxLoadMember = n, b.Members[i].Name
		}
	}
	if a == nil {
		a = &Map{}
	}
	c.MembersBefore = len(a.Members)
	at := make([]int, len(b.Members)) // index of each member of b in a; -1: not in a
	for i, m := range b.Members {
		j, ok := a.indexOf(m.Name)
		if !ok {
			j = -1
			c.Added = append(c.Added, m.Name)
		}
		at[i] = j
	}
	for _, m := range a.Members {
		if _, ok := b.indexOf(m.Name); !ok {
			c.Removed = append(c.Removed, m.Name)
		}
	}
	for p := range PartitionCount {
		stay := 0
		for _, o := range b.ownerIndexes(p) {
			if at[o] >= 0 && slices.Contains(a.ownerIndexes(p), uint16(at[o])) {
				stay++
			} else {
				c.Moved++
			}
		}
		if stay == 0 {
			c.NoOwnerKept++
		}
	}
	return c
}

// ErrLargeChange says that a change is too large to be made without confirmation.
var ErrLargeChange = errors.New("a large change")

// CheckSize refuses, with ErrLargeChange, a change that is more likely a mistake than intended: more than
// half of the members removed, or more than half of all assignments moved. A fleet that doubles just passes.
// The first map always passes.
func (c Change) CheckSize() error {
	switch {
	case c.MembersBefore == 0:
		return nil
	case 2*len(c.Removed) > c.MembersBefore:
		return fmt.Errorf("%w: %d of %d members would be gone", ErrLargeChange, len(c.Removed), c.MembersBefore)
	case 2*c.Moved > c.Assignments:
		return fmt.Errorf("%w: %d of %d assignments would move", ErrLargeChange, c.Moved, c.Assignments)
	}
	return nil
}
