package catalog

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"starlingusher/fleet/ownership"
)

func setOf(cells ...int) (set ownership.Set) {
	for _, c := range cells {
		set.Add(ownership.PartitionOf(c))
	}
	return set
}

// partitionFollower holds what it has received of some partitions.
type partitionFollower struct {
	set       ownership.Set
	revision  int64
	endpoints map[string]Endpoint
}

func (f *partitionFollower) apply(l List) {
	if l.Complete {
		clear(f.endpoints)
	}
	for _, m := range l.Members {
		if f.endpoints[m.ID] = m; m.Phase == Deleted {
			delete(f.endpoints, m.ID)
		}
	}
	f.revision = l.Revision
}

// update returns a change as a watch of the partitions receives it, or nil. The order of its members must not
// matter.
func (f *partitionFollower) update(c Change) *List {
	parts, known := c.ByPartition()
	if !known {
		return nil
	}
	l := List{Revision: c.Revision}
	for _, p := range parts {
		if f.set.Has(p.Partition) && (p.UnlessFollowing < 0 || !f.set.Has(p.UnlessFollowing)) {
			l.Members = append(l.Members, p.Members...)
		}
	}
	if len(l.Members) == 0 {
		return nil
	}
	return &l
}

// check compares the follower with a scan of the whole list.
func (f *partitionFollower) check(s *State) error {
	want := map[string]Endpoint{}
	for _, m := range s.FullList().Members {
		if f.set.Has(ownership.PartitionOf(m.Cell)) {
			want[m.ID] = m
		}
	}
	if !maps.Equal(want, f.endpoints) {
		return fmt.Errorf("at revision %d the partitions %v contain %v, the follower has %v", s.Revision(), f.set, want, f.endpoints)
	}
	return nil
}

// drawWrite draws a write on a few endpoints that often move between a few partners.
func drawWrite(t *rapid.T, s *State) Write {
	w := Write{Base: Base{Any: true}, Replace: rapid.IntRange(0, 7).Draw(t, "whole") == 0}
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 7), 0, 4, rapid.ID[int]).Draw(t, "ids") {
		e := endpoint(fmt.Sprint("e", i), rapid.IntRange(0, 5).Draw(t, "cell"))
		e.Phase = rapid.SampledFrom([]string{Serving, Draining, Deleted}).Draw(t, "phase")
		w.Members = append(w.Members, e)
	}
	w.GuardShare = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "guard")
	w.TTL = rapid.SampledFrom([]int64{0, 1000}).Draw(t, "ttl")
	return w
}

// reload passes a state through an encoded snapshot; without moves as an older build writes it.
func reload(t failer, s *State, moves bool) *State {
	raw, err := cbor.Marshal(s.Image())
	if err != nil {
		t.Fatalf("%v", err)
	}
	var i Image
	if err := cbor.Unmarshal(raw, &i); err != nil {
		t.Fatalf("%v", err)
	}
	if !moves {
		for n := range i.Changes {
			i.Changes[n].Moved = nil
		}
	}
	next, err := Load(i)
	if err != nil {
		t.Fatalf("%v", err)
	}
	return next
}

// A follower of some partitions must have exactly what a scan of the whole list finds in them, whether it
// applies each change or resumes at any revision, before and after a snapshot.
func TestFollowersConvergeOnPartitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		apply(t, s, Command{At: 1, Bootstrap: &Bootstrap{}})
		set := setOf(rapid.SliceOfN(rapid.IntRange(0, 5), 1, 4).Draw(t, "set")...)
		live := &partitionFollower{set: set, endpoints: map[string]Endpoint{}}
		slow := &partitionFollower{set: set, endpoints: map[string]Endpoint{}}
		type resumePoint struct {
			revision  int64
			endpoints map[string]Endpoint
		}
		var resumePoints []resumePoint
		for range rapid.IntRange(1, 40).Draw(t, "writes") {
			before := s.Revision()
			switch rapid.IntRange(0, 9).Draw(t, "command") {
			case 0:
				s.Apply(Command{Expire: &Expiry{MaxShare: 0.5, Drain: []string{"e0", "e1", "e2"}, Remove: []string{"e0", "e3"}}})
			case 1:
				if s.Held() != nil {
					s.Apply(Command{Confirm: &Confirm{Number: s.Held().Number}})
				}
			default:
				w := drawWrite(t, s)
				s.Apply(Command{Write: &w})
			}
			changes, _ := s.ChangesAfter(before)
			for _, c := range changes {
				if l := live.update(c); l != nil {
					live.apply(*l)
				}
			}
			if rapid.IntRange(0, 4).Draw(t, "snapshot") == 0 {
				s = reload(t, s, rapid.Bool().Draw(t, "notes"))
			}
			if err := live.check(s); err != nil {
				t.Fatal(err)
			}
			if rapid.Bool().Draw(t, "resumes") {
				slow.apply(s.PartitionListSince(slow.revision, set))
				if err := slow.check(s); err != nil {
					t.Fatalf("resumed: %v", err)
				}
			}
			resumePoints = append(resumePoints, resumePoint{s.Revision(), maps.Clone(live.endpoints)})
		}
		for _, p := range resumePoints {
			f := &partitionFollower{set, p.revision, p.endpoints}
			f.apply(s.PartitionListSince(p.revision, set))
			if err := f.check(s); err != nil {
				t.Fatalf("resumed from revision %d: %v", p.revision, err)
			}
		}
		whole := &partitionFollower{set: set, endpoints: map[string]Endpoint{}}
		whole.apply(s.PartitionList(set))
		if err := whole.check(s); err != nil {
			t.Fatal(err)
		}
		if want := newPartitionIndex(s.image.Entries); !reflect.DeepEqual(want, s.partitions) {
			t.Fatalf("the index is %v, rebuilt it is %v", s.partitions, want)
		}
	})
}

// The check must notice any single change that the follower does not receive.
func TestCheckNoticesMissingChange(t *testing.T) {
	found := 0
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		apply(t, s, Command{At: 1, Bootstrap: &Bootstrap{}})
		f := &partitionFollower{set: setOf(0, 1, 2), endpoints: map[string]Endpoint{}}
		skip := rapid.IntRange(0, 5).Draw(t, "left out") // counts updates that change something for the follower
		for range 40 {
			before := s.Revision()
			w := drawWrite(t, s)
			s.Apply(Command{Write: &w})
			changes, _ := s.ChangesAfter(before)
			for _, c := range changes {
				l := f.update(c)
				if l == nil {
					continue
				}
				was := maps.Clone(f.endpoints)
				if f.apply(*l); maps.Equal(was, f.endpoints) {
					continue
				}
				if skip--; skip < 0 {
					if f.endpoints = was; f.check(s) == nil {
						t.Fatalf("the check did not notice that change %+v was left out", c)
					}
					found++
					return
				}
			}
		}
	})
	if found < 50 {
		t.Errorf("only %d omitted changes were tried", found)
	}
}

// An endpoint that moves to another partner must be deleted for followers of the former partner only, also if
// they resume later.
func TestMovedEndpointIsDeletedFromFormerPartition(t *testing.T) {
	s := bootstrapped(t, 1) // e0 of partner 0
	at := s.Revision()
	apply(t, s, Command{Write: &Write{Base: Base{Any: true}, Members: []Endpoint{endpoint("e0", 1)}}})
	gone := with(endpoint("e0", 0), Deleted)
	for _, c := range []struct {
		set  ownership.Set
		want []Endpoint
	}{
		{setOf(0), []Endpoint{gone}},
		{setOf(1), []Endpoint{endpoint("e0", 1)}},
		{setOf(0, 1), []Endpoint{endpoint("e0", 1)}},
		{setOf(2), []Endpoint{}},
	} {
		if l := s.PartitionListSince(at, c.set); l.Complete || l.Revision != at+1 || !slices.Equal(l.Members, c.want) {
			t.Errorf("partitions %v get %+v", c.set, l)
		}
		if l := reload(t, s, true).PartitionListSince(at, c.set); l.Complete || !slices.Equal(l.Members, c.want) {
			t.Errorf("partitions %v get %+v after a snapshot", c.set, l)
		}
		if l := reload(t, s, false).PartitionListSince(at, c.set); !l.Complete {
			t.Errorf("partitions %v get %+v after an older build's snapshot, which has no moves", c.set, l)
		}
	}
	// Changes after the older build's snapshot are known again.
	old := reload(t, s, false)
	apply(t, old, Command{Write: &Write{Base: Base{Any: true}, Members: []Endpoint{endpoint("e0", 2)}}})
	if l := old.PartitionListSince(at+1, setOf(1)); l.Complete || !slices.Equal(l.Members, []Endpoint{with(endpoint("e0", 1), Deleted)}) {
		t.Errorf("update after an older build's snapshot: %+v", l)
	}
}

// asOlder reduces an image to what an older build has, without moves and without the bound in a write. It
// turns empty slices into nil.
func asOlder(i Image) Image {
	i.Changes = append([]Change(nil), i.Changes...)
	for n := range i.Changes {
		i.Changes[n].Moved = nil
	}
	if i.Held != nil {
		i.Held.Write.MaxEndpoints = 0
		i.Held.Write.Members = append([]Endpoint(nil), i.Held.Write.Members...)
	}
	return i
}

// A replica of an older build, which ignores the newer fields of commands and snapshots, must have the same
// state. (An older build loses a held write when it restarts, see TestSnapshotKeepsHeldWrite; that does not
// occur here.)
func TestOlderBuildHasSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		both := func(c Command) {
			older := c
			if c.Restore != nil { // each replica reads its own from the log
				x, y := reload(t, a, true).image, reload(t, a, false).image
				if rapid.Bool().Draw(t, "older") {
					x, y = reload(t, b, false).image, reload(t, b, false).image
				}
				c.Restore, older.Restore = &x, &y
			}
			if c.Write != nil {
				w := *c.Write
				w.MaxEndpoints = 0
				older.Write = &w
			}
			ra, rb := a.Apply(c), b.Apply(older)
			if ra.Revision != rb.Revision || ra.Token != rb.Token || ra.Held != rb.Held || fmt.Sprint(ra.Err) != fmt.Sprint(rb.Err) {
				t.Fatalf("the replicas respond %+v and %+v", ra, rb)
			}
		}
		both(Command{At: 1, Bootstrap: &Bootstrap{}})
		for range rapid.IntRange(1, 30).Draw(t, "commands") {
			switch rapid.IntRange(0, 6).Draw(t, "command") {
			case 0:
				both(Command{Acquire: &RecordOp{Name: ownership.RecordName, Holder: "w", Value: []byte("no map"), SetValue: rapid.Bool().Draw(t, "sets")}})
			case 1:
				if h := a.Held(); h != nil {
					both(Command{Confirm: &Confirm{Number: h.Number}})
				}
			case 2:
				both(Command{At: 5, Restore: &Image{}})
			case 3: // one replica installs the other's snapshot
				if rapid.Bool().Draw(t, "up") {
					a = reload(t, b, false)
				} else {
					b = reload(t, a, false)
				}
			default:
				w := drawWrite(t, a)
				w.MaxEndpoints = DefaultMaxEndpoints
				both(Command{Write: &w})
			}
			if x, y := asOlder(a.Image()), asOlder(b.Image()); !reflect.DeepEqual(x, y) {
				t.Fatalf("the states differ: %+v %+v, %+v %+v", x, x.Held, y, y.Held)
			}
		}
	})
}

func TestWriteCarriesListBound(t *testing.T) {
	s := bootstrapped(t, 3)
	newWrite := func(bound int64, ids ...string) Write {
		w := Write{Base: Base{Any: true}, MaxEndpoints: bound}
		for _, id := range ids {
			w.Members = append(w.Members, endpoint(id, 0))
		}
		return w
	}
	tooLarge := newWrite(4, "e0", "e1", "e2", "x", "y")
	expectError(t, s, Command{Write: &tooLarge}, ErrFull)
	if err := s.CheckCapacity(tooLarge); !errors.Is(err, ErrFull) {
		t.Errorf("a write beyond the bound fits: %v", err)
	}
	at := newWrite(4, "e0", "e1", "e2", "x")
	if err := s.CheckCapacity(at); err != nil {
		t.Error(err)
	}
	apply(t, s, Command{Write: &at})
	lowered := Write{Base: Base{Any: true}, MaxEndpoints: 1, Members: []Endpoint{with(endpoint("x", 0), Draining), with(endpoint("e0", 0), Deleted)}}
	apply(t, s, Command{Write: &lowered}) // a list above a lowered bound can still shrink

	// Without a bound in the write, the one of older builds applies, so that an older log yields the same
	// state.
	var all []Endpoint
	for i := range DefaultMaxEndpoints - s.Size() {
		all = append(all, endpoint(fmt.Sprint("n", i), i))
	}
	apply(t, s, Command{Write: &Write{Base: Base{Any: true}, Members: all}})
	last := Write{Base: Base{Any: true}, Members: []Endpoint{endpoint("last", 0)}}
	expectError(t, s, Command{Write: &last}, ErrFull)
	last.MaxEndpoints = DefaultMaxEndpoints + 1
	apply(t, s, Command{Write: &last})
	if _, err := Load(s.Image()); err != nil {
		t.Error(err)
	}
}
