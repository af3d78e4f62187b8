package trial

import (
	"strings"
	"testing"
	"time"

	"starlingusher/fleet/catalog"
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// A checker that has never found anything proves nothing.
func TestLinearizableFinds(t *testing.T) {
	op := func(k OperationKind, o Outcome, old, new, got int64, from, to int) Operation {
		return Operation{Kind: k, EndpointID: "e", Old: old, New: new, ReadValue: got, Outcome: o, Call: ms(from), Return: ms(to)}
	}
	for _, c := range []struct {
		name string
		ops  []Operation
		ok   bool
	}{
		{"read after write", []Operation{op(Put, Done, 0, 1, 0, 0, 10), op(Read, Done, 0, 0, 1, 11, 12)}, true},
		{"stale read", []Operation{op(Put, Done, 0, 1, 0, 0, 10), op(Read, Done, 0, 0, 0, 11, 12)}, false},
		{"either while it is under way", []Operation{op(Put, Done, 0, 1, 0, 0, 10), op(Read, Done, 0, 0, 0, 5, 6)}, true},
		{"a lost write", []Operation{op(Put, Done, 0, 1, 0, 0, 1), op(CompareAndSwap, Done, 0, 2, 0, 2, 3)}, false},
		{"two swaps of one value", []Operation{op(CompareAndSwap, Done, 0, 1, 0, 0, 9), op(CompareAndSwap, Done, 0, 2, 0, 0, 9)}, false},
		{"a conflict without a cause", []Operation{op(CompareAndSwap, Conflict, 0, 1, 0, 0, 9)}, false},
		{"an unknown write that took effect late", []Operation{op(Put, Ambiguous, 0, 1, 0, 0, 1), op(Read, Done, 0, 0, 0, 2, 3), op(Read, Done, 0, 0, 1, 4, 5)}, true},
		{"an unknown write that came and went", []Operation{op(Put, Ambiguous, 0, 1, 0, 0, 1), op(Read, Done, 0, 0, 1, 2, 3), op(Read, Done, 0, 0, 0, 4, 5)}, false},
	} {
		if bad := CheckLinearizable(c.ops, time.Minute); (len(bad) == 0) != c.ok {
			t.Errorf("%s: %v", c.name, bad)
		}
	}
}

func TestWatchesFinds(t *testing.T) {
	e := func(id string, v int64) catalog.Endpoint {
		return catalog.Endpoint{ID: id, Phase: catalog.Serving, UpSince: v}
	}
	ch := func(rev int64, m ...catalog.Endpoint) catalog.Change {
		return catalog.Change{Revision: rev, Members: m}
	}
	truth := map[int64]CommittedHistory{
		1: {Changes: []catalog.Change{ch(1, e("a", 0), e("b", 0)), ch(2, e("a", 1)), ch(3, e("b", 1))}},
		2: {Initial: catalog.List{Revision: 2, Members: []catalog.Endpoint{e("a", 1), e("b", 0)}}, Changes: []catalog.Change{ch(3, e("a", 5))}},
	}
	told := func(h, rev int64, whole bool, m ...catalog.Endpoint) WatcherUpdate {
		return WatcherUpdate{History: h, List: catalog.List{Revision: rev, Complete: whole, Members: m}}
	}
	good := []WatcherUpdate{
		told(1, 1, true, e("a", 0), e("b", 0)), told(1, 2, false, e("a", 1)), told(1, 3, false, e("b", 1)),
		told(2, 2, true, e("a", 1), e("b", 0)), told(2, 3, false, e("a", 5)),
	}
	if bad := CheckWatches(truth, [][]WatcherUpdate{good, append([]WatcherUpdate{told(1, 3, true, e("a", 1), e("b", 1))}, good[3:]...)}); len(bad) > 0 {
		t.Errorf("nothing was wrong: %v", bad)
	}
	for _, c := range []struct {
		name, says string
		all        []WatcherUpdate
	}{
		{"a change missed", "the list is", append([]WatcherUpdate{good[0], good[2]}, good[3:]...)},
		{"an empty one in its place", "the list is", append([]WatcherUpdate{good[0], told(1, 2, false), good[2]}, good[3:]...)},
		{"a change invented", "the list is", append([]WatcherUpdate{good[0], told(1, 2, false, e("a", 9))}, good[2:]...)},
		{"out of order", "after 3", append([]WatcherUpdate{good[0], told(1, 3, false, e("a", 1), e("b", 1)), good[1]}, good[3:]...)},
		{"a revision that never was", "does not have", append(append([]WatcherUpdate{}, good...), told(2, 4, false))},
		{"back into the old history", "after 2", append(append([]WatcherUpdate{}, good...), good[2])},
		{"a new history without its list", "without its list", []WatcherUpdate{good[0], good[1], good[2], told(2, 3, false, e("a", 5))}},
		{"not to the end", "not to the end", good[:4]},
	} {
		if bad := CheckWatches(truth, [][]WatcherUpdate{c.all}); len(bad) != 1 || !strings.Contains(bad[0], c.says) {
			t.Errorf("%s: %v", c.name, bad)
		}
	}
}

func TestWritesFinds(t *testing.T) {
	truth := CommittedHistory{Changes: []catalog.Change{
		{Revision: 1, Members: []catalog.Endpoint{{ID: "a", UpSince: 1}}}, {Revision: 2, Members: []catalog.Endpoint{{ID: "a", UpSince: 2}}},
	}}
	ok := []Operation{{Kind: Put, EndpointID: "a", New: 1, Revision: 1, Outcome: Done}, {Kind: Put, EndpointID: "a", New: 2, Outcome: Ambiguous}, {Kind: Put, EndpointID: "a", New: 3, Outcome: Ambiguous}}
	if bad := CheckWrites(truth, ok); len(bad) > 0 {
		t.Errorf("nothing was wrong: %v", bad)
	}
	lost := append([]Operation{{Kind: Put, EndpointID: "a", New: 4, Revision: 3, Outcome: Done}}, ok...)
	done := append([]Operation{{Kind: CompareAndSwap, EndpointID: "a", New: 2, Outcome: Conflict}}, ok[0])
	for name, ops := range map[string][]Operation{"lost": lost, "refused, and done": done, "nobody has asked": ok[:1]} {
		if bad := CheckWrites(truth, ops); len(bad) != 1 {
			t.Errorf("%s: %v", name, bad)
		}
	}
}

func TestLeasesFinds(t *testing.T) {
	ok := []LeaseHolding{{0, 1, ms(0), ms(10)}, {0, 2, ms(5), ms(15)}, {1, 3, ms(15), ms(20)}}
	if bad := CheckLeases(ok); len(bad) > 0 {
		t.Errorf("nothing was wrong: %v", bad)
	}
	if bad := CheckLeases(append(ok, LeaseHolding{2, 4, ms(19), ms(30)})); len(bad) != 1 {
		t.Errorf("two at once: %v", bad)
	}
	if bad := CheckLeases(append(ok, LeaseHolding{2, 3, ms(50), ms(60)})); len(bad) != 1 {
		t.Errorf("one token twice: %v", bad)
	}
}
