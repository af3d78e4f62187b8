package catalog

import (
	"cmp"
	"slices"

	"starlingusher/fleet/ownership"
)

// Move describes an endpoint that was moved to another partner.
type Move struct {
	Endpoint     // as it was, with phase Deleted
	ToCell   int `cbor:"To"`
}

// partitionIndex finds endpoints by the partition of their partner. It is derived from the entries and not
// part of an Image.
type partitionIndex map[int]map[string]struct{}

func newPartitionIndex(entries map[string]Entry) partitionIndex {
	index := partitionIndex{}
	for id, e := range entries {
		index.add(id, e.Cell)
	}
	return index
}

func (x partitionIndex) add(id string, cell int) {
	p := ownership.PartitionOf(cell)
	ids := x[p]
	if ids == nil {
		ids = map[string]struct{}{}
		x[p] = ids
	}
	ids[id] = struct{}{}
}

func (x partitionIndex) remove(id string, cell int) {
	p := ownership.PartitionOf(cell)
	if delete(x[p], id); len(x[p]) == 0 {
		delete(x, p)
	}
}

// PartitionList returns the complete list of some partitions. Its cost grows with their size, not with the
// whole list.
func (s *State) PartitionList(set ownership.Set) List {
	l := List{Revision: s.image.Revision, Complete: true, Members: make([]Endpoint, 0, s.partitionSize(set))}
	for p := range set.All() {
		for id := range s.partitions[p] {
			l.Members = append(l.Members, s.image.Entries[id].Endpoint)
		}
	}
	slices.SortFunc(l.Members, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return l
}

func (s *State) partitionSize(set ownership.Set) (n int) {
	for p := range set.All() {
		n += len(s.partitions[p])
	}
	return n
}

// PartitionListSince returns what changed in some partitions after a revision, each endpoint once; an
// endpoint that moved to a partner outside of them is Deleted. It returns their complete list if those
// changes are unknown or no longer kept. Its cost grows with the number of kept changes after the revision,
// not with the list.
func (s *State) PartitionListSince(after int64, set ownership.Set) List {
	changes, all := s.ChangesAfter(after)
	if !all || after > s.image.Revision {
		return s.PartitionList(set)
	}
	size := s.partitionSize(set)
	indexByID := map[string]int{}
	l := List{Revision: s.image.Revision, Members: []Endpoint{}}
	add := func(m Endpoint) {
		if n, ok := indexByID[m.ID]; ok {
			l.Members[n] = m
			return
		}
		indexByID[m.ID] = len(l.Members)
		l.Members = append(l.Members, m)
	}
	for _, c := range changes {
		if c.Moved == nil {
			return s.PartitionList(set)
		}
		for _, m := range c.Members {
			if set.Has(ownership.PartitionOf(m.Cell)) {
				add(m)
			}
		}
		for _, m := range c.Moved {
			if set.Has(ownership.PartitionOf(m.Cell)) && !set.Has(ownership.PartitionOf(m.ToCell)) {
				add(m.Endpoint)
			}
		}
		if len(l.Members) > size+100 { // the complete list is shorter
			return s.PartitionList(set)
		}
	}
	return l
}

// PartitionChange is the effect of a change on one partition.
type PartitionChange struct {
	Partition       int
	UnlessFollowing int // if not -1: not for readers of this partition, who see the moved endpoints there
	Members         []Endpoint
}

// ByPartition splits a change by the partitions that it touches, in ascending order. It returns false if that
// is unknown.
func (c Change) ByPartition() ([]PartitionChange, bool) {
	if c.Moved == nil {
		return nil, false
	}
	var parts []PartitionChange
	indexByKey := map[[2]int]int{}
	add := func(m Endpoint, unlessFollowing int) {
		key := [2]int{ownership.PartitionOf(m.Cell), unlessFollowing}
		n, ok := indexByKey[key]
		if !ok {
			n = len(parts)
			indexByKey[key] = n
			parts = append(parts, PartitionChange{Partition: key[0], UnlessFollowing: unlessFollowing})
		}
		parts[n].Members = append(parts[n].Members, m)
	}
	for _, m := range c.Members {
		add(m, -1)
	}
	for _, m := range c.Moved {
		if to := ownership.PartitionOf(m.ToCell); to != ownership.PartitionOf(m.Cell) {
			add(m.Endpoint, to)
		}
	}
	slices.SortFunc(parts, func(a, b PartitionChange) int {
		return cmp.Or(cmp.Compare(a.Partition, b.Partition), cmp.Compare(a.UnlessFollowing, b.UnlessFollowing))
	})
	return parts, true
}
