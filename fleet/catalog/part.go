package catalog

import (
	"cmp"
	"slices"

	"starlingusher/fleet/ownership"
)

// Move is an endpoint that has left its partner for another.
type Move struct {
	Endpoint // as it was, Deleted
	To       int
}

// partIndex finds endpoints by the partition of their partner. It follows from the entries alone and is no part of an Image.
type partIndex map[int]map[string]struct{}

func newPartIndex(entries map[string]Entry) partIndex {
	x := partIndex{}
	for id, e := range entries {
		x.add(id, e.Cell)
	}
	return x
}

func (x partIndex) add(id string, cell int) {
	p := ownership.PartitionOf(cell)
	ids := x[p]
	if ids == nil {
		ids = map[string]struct{}{}
		x[p] = ids
	}
	ids[id] = struct{}{}
}

func (x partIndex) remove(id string, cell int) {
	p := ownership.PartitionOf(cell)
	if delete(x[p], id); len(x[p]) == 0 {
		delete(x, p)
	}
}

// Part is the whole list of some partitions. Its work grows with what they hold, not with the list.
func (s *State) Part(set ownership.Set) List {
	l := List{Revision: s.i.Revision, Complete: true, Members: make([]Endpoint, 0, s.partSize(set))}
	for p := range set.All() {
		for id := range s.parts[p] {
			l.Members = append(l.Members, s.i.Entries[id].Endpoint)
		}
	}
	slices.SortFunc(l.Members, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return l
}

func (s *State) partSize(set ownership.Set) (n int) {
	for p := range set.All() {
		n += len(s.parts[p])
	}
	return n
}

// PartSince is what changed in some partitions after a revision, each endpoint once; one that has gone to a partner outside of
// them is Deleted there. It is their whole list where that is not known or no longer. Its work grows with the kept changes
// after the revision, not with the list.
func (s *State) PartSince(after int64, set ownership.Set) List {
	changes, all := s.Changes(after)
	if !all || after > s.i.Revision {
		return s.Part(set)
	}
	held := s.partSize(set)
	at := map[string]int{}
	l := List{Revision: s.i.Revision, Members: []Endpoint{}}
	tell := func(m Endpoint) {
		if n, ok := at[m.ID]; ok {
			l.Members[n] = m
			return
		}
		at[m.ID] = len(l.Members)
		l.Members = append(l.Members, m)
	}
	for _, c := range changes {
		if c.Moved == nil {
			return s.Part(set)
		}
		for _, m := range c.Members {
			if set.Has(ownership.PartitionOf(m.Cell)) {
				tell(m)
			}
		}
		for _, m := range c.Moved {
			if set.Has(ownership.PartitionOf(m.Cell)) && !set.Has(ownership.PartitionOf(m.To)) {
				tell(m.Endpoint)
			}
		}
		if len(l.Members) > held+100 { // the whole list is shorter
			return s.Part(set)
		}
	}
	return l
}

// ChangePart is what a change means for one partition.
type ChangePart struct {
	Partition int
	Unless    int // -1; or: not for those who follow this one too, for there the members are as they have become
	Members   []Endpoint
}

// Parts is what a change means for each partition that it touches, in their order; false if that is not known.
func (c Change) Parts() ([]ChangePart, bool) {
	if c.Moved == nil {
		return nil, false
	}
	var out []ChangePart
	at := map[[2]int]int{}
	tell := func(m Endpoint, unless int) {
		key := [2]int{ownership.PartitionOf(m.Cell), unless}
		n, ok := at[key]
		if !ok {
			n = len(out)
			at[key] = n
			out = append(out, ChangePart{Partition: key[0], Unless: unless})
		}
		out[n].Members = append(out[n].Members, m)
	}
	for _, m := range c.Members {
		tell(m, -1)
	}
	for _, m := range c.Moved {
		if to := ownership.PartitionOf(m.To); to != ownership.PartitionOf(m.Cell) {
			tell(m.Endpoint, to)
		}
	}
	slices.SortFunc(out, func(a, b ChangePart) int {
		return cmp.Or(cmp.Compare(a.Partition, b.Partition), cmp.Compare(a.Unless, b.Unless))
	})
	return out, true
}
