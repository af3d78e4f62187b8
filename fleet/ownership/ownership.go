// Package ownership decides which nodes own which destinations. Destinations fall into a fixed number of partitions;
// a numbered map gives each partition a few owners in unlike zones. Nodes act by the newest map that they have, so a
// map is data that is agreed on and handed round, and never worked out again by its readers. The package is pure: no
// sockets, files, clocks, goroutines or randomness.
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

// Partitions is their number, for good: with another one every destination would fall elsewhere. At 820 nodes and 3
// owners a node has some 15 parts of 12,288, enough for loads to be even within a few parts, and a map still fits a
// record of the directory.
const Partitions = 4096

// Record is the name of the directory's record whose value is the newest map, as Encode writes it.
const Record = "ownership.map"

// PartitionOf is the partition of a destination: by the hash of its number in decimal, so that any language can tell.
func PartitionOf(dest int) int {
	return int(xxhash.Sum64String(strconv.Itoa(dest)) % Partitions)
}

// Set is a set of partitions. It is comparable; the zero value is empty.
type Set [Partitions / 64]uint64

// Has tells whether p is one of them; what is no partition is not.
func (s Set) Has(p int) bool { return p >= 0 && p < Partitions && s[p/64]&(1<<(p%64)) != 0 }

// Add puts a partition in, 0 to Partitions-1; another number is a fault of the caller and panics.
func (s *Set) Add(p int) { s[p/64] |= 1 << (p % 64) }

func (s *Set) remove(p int) { s[p/64] &^= 1 << (p % 64) }

// Len is how many there are.
func (s Set) Len() int {
	n := 0
	for _, w := range s {
		n += bits.OnesCount64(w)
	}
	return n
}

// Union is what is in either.
func (s Set) Union(o Set) Set {
	for i := range s {
		s[i] |= o[i]
	}
	return s
}

// Without is what is in s and not in o.
func (s Set) Without(o Set) Set {
	for i := range s {
		s[i] &^= o[i]
	}
	return s
}

// All are they, in ascending order.
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

// String is the set as text, "3,17,40-44": ascending, two or more that follow each other as a range; "" for none.
func (s Set) String() string {
	var b strings.Builder
	for p := 0; p < Partitions; p++ {
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

var errSet = errors.New("not a set of partitions")

// ParseSet reads what String writes, and nothing else: one set has one text, so that texts may be compared.
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
		if err != nil || err2 != nil || a > b || b >= Partitions {
			return Set{}, fmt.Errorf("%w: %.40q: numbers from 0 to %d, and ranges of them", errSet, part, Partitions-1)
		}
		for p := a; p <= b; p++ {
			s.Add(int(p))
		}
	}
	if want := s.String(); want != text {
		return Set{}, fmt.Errorf("%w: %.40q is written %.40q", errSet, text, want)
	}
	return s, nil
}

// Member is a node that may own partitions.
type Member struct {
	Name   string  `toml:"name" json:"name"`     // its own in the fleet; 1 to 200 bytes without spaces and control characters
	Zone   string  `toml:"zone" json:"zone"`     // of the same form
	Weight float64 `toml:"weight" json:"weight"` // its share beside the others'; finite, above 0
}

// Map says which members own which partition. It is not changed once made, and may be read by many at once.
type Map struct {
	Number  int64    // each given once; the larger is the newer
	Copies  int      // owners of a partition, or all members if they are fewer; 1 to 5
	Members []Member // in the order of their names

	owners []uint16 // per() of each partition, in order of preference: indices into Members
}

// per is how many owners each partition has.
func (m *Map) per() int { return min(m.Copies, len(m.Members)) }

func (m *Map) of(p int) []uint16 {
	n := m.per()
	return m.owners[p*n : (p+1)*n]
}

// Owners names a partition's owners, in order of preference; none for what is no partition.
func (m *Map) Owners(p int) []string {
	if p < 0 || p >= Partitions {
		return nil
	}
	var names []string
	for _, o := range m.of(p) {
		names = append(names, m.Members[o].Name)
	}
	return names
}

// find is a member's place in Members.
func (m *Map) find(name string) (int, bool) {
	return slices.BinarySearchFunc(m.Members, name, func(a Member, name string) int { return strings.Compare(a.Name, name) })
}

// Of is what a member owns; false if it is not in the map.
func (m *Map) Of(member string) (Set, bool) {
	var s Set
	at, ok := m.find(member)
	if !ok {
		return s, false
	}
	n := m.per()
	for i, o := range m.owners {
		if int(o) == at {
			s.Add(i / n)
		}
	}
	return s, true
}

// Loads are how many partitions each member owns, in the order of Members.
func (m *Map) Loads() []int {
	loads := make([]int, len(m.Members))
	for _, o := range m.owners {
		loads[o]++
	}
	return loads
}

// Shares are the members' fair shares in partitions, in the order of Members: by weight, as far as each partition has
// its owners in unlike zones and no member twice.
func (m *Map) Shares() []float64 { return shares(m.Members, m.per()) }

// Change is what lies between two maps.
type Change struct {
	Parts   int      `json:"parts"`   // of the later map: partitions times owners
	Moved   int      `json:"moved"`   // of them those whose owner did not have them before
	Bare    int      `json:"bare"`    // partitions of which no owner stays
	Members int      `json:"members"` // of the earlier map; 0: there was none
	Came    []string `json:"came"`    // in order
	Gone    []string `json:"gone"`
	Most    int      `json:"most"`    // the most parts of one member of the later map,
	MostOf  string   `json:"most_of"` // and who that is
}

// Diff is what b changes of a, which may be nil: then all of b is new.
func Diff(a, b *Map) Change {
	c := Change{Parts: len(b.owners), Came: []string{}, Gone: []string{}}
	for i, n := range b.Loads() {
		if n > c.Most {
			c.Most, c.MostOf = n, b.Members[i].Name
		}
	}
	if a == nil {
		a = &Map{}
	}
	c.Members = len(a.Members)
	at := make([]int, len(b.Members)) // where b's are in a; -1: not there
	for i, m := range b.Members {
		j, ok := a.find(m.Name)
		if !ok {
			j = -1
			c.Came = append(c.Came, m.Name)
		}
		at[i] = j
	}
	for _, m := range a.Members {
		if _, ok := b.find(m.Name); !ok {
			c.Gone = append(c.Gone, m.Name)
		}
	}
	for p := range Partitions {
		stay := 0
		for _, o := range b.of(p) {
			if at[o] >= 0 && slices.Contains(a.of(p), uint16(at[o])) {
				stay++
			} else {
				c.Moved++
			}
		}
		if stay == 0 {
			c.Bare++
		}
	}
	return c
}

// ErrLarge says that a change takes away more than it may unconfirmed.
var ErrLarge = errors.New("a large change")

// Guard refuses, with ErrLarge, what is more likely a mistake than meant: more than half of the members gone, or more
// than half of all parts moved. A fleet that doubles just passes. The first map always does.
func (c Change) Guard() error {
	switch {
	case c.Members == 0:
		return nil
	case 2*len(c.Gone) > c.Members:
		return fmt.Errorf("%w: %d of %d members would be gone", ErrLarge, len(c.Gone), c.Members)
	case 2*c.Moved > c.Parts:
		return fmt.Errorf("%w: %d of %d parts would move", ErrLarge, c.Moved, c.Parts)
	}
	return nil
}
