package trial

import (
	"strings"
	"testing"
	"time"

	"starlingusher/fleet/catalog"
)

func milliseconds(count int) time.Duration { return time.Duration(count) * time.Millisecond }

// These tests show that each checker finds the violations that it is there for: a checker that never reports
// any would let every trial pass.
func TestCheckLinearizable(t *testing.T) {
	op := func(kind OperationKind, outcome Outcome, old, new, readValue int64, call, returned int) Operation {
		return Operation{Kind: kind, EndpointID: "e", Old: old, New: new, ReadValue: readValue, Outcome: outcome, Call: milliseconds(call),
			Return: milliseconds(returned)}
	}
	for _, test := range []struct {
		name  string
		ops   []Operation
		valid bool
	}{
		{"read after write", []Operation{op(Put, Done, 0, 1, 0, 0, 10), op(Read, Done, 0, 0, 1, 11, 12)}, true},
		{"stale read", []Operation{op(Put, Done, 0, 1, 0, 0, 10), op(Read, Done, 0, 0, 0, 11, 12)}, false},
		{"old value while a write is in flight", []Operation{op(Put, Done, 0, 1, 0, 0, 10), op(Read, Done, 0, 0, 0, 5, 6)}, true},
		{"a write that was lost", []Operation{op(Put, Done, 0, 1, 0, 0, 1), op(CompareAndSwap, Done, 0, 2, 0, 2, 3)}, false},
		{"two conditional writes on one value", []Operation{op(CompareAndSwap, Done, 0, 1, 0, 0, 9), op(CompareAndSwap, Done, 0, 2, 0, 0, 9)}, false},
		{"a conflict though the old value matched", []Operation{op(CompareAndSwap, Conflict, 0, 1, 0, 0, 9)}, false},
		{"an ambiguous write that took effect late",
			[]Operation{op(Put, Ambiguous, 0, 1, 0, 0, 1), op(Read, Done, 0, 0, 0, 2, 3), op(Read, Done, 0, 0, 1, 4, 5)}, true},
		{"an ambiguous write that took effect and was undone",
			[]Operation{op(Put, Ambiguous, 0, 1, 0, 0, 1), op(Read, Done, 0, 0, 1, 2, 3), op(Read, Done, 0, 0, 0, 4, 5)}, false},
	} {
		if violations := CheckLinearizable(test.ops, time.Minute); (len(violations) == 0) != test.valid {
			t.Errorf("%s: violations %v, want none: %v", test.name, violations, test.valid)
		}
	}
}

func TestCheckWatches(t *testing.T) {
	endpoint := func(id string, value int64) catalog.Endpoint {
		return catalog.Endpoint{ID: id, Phase: catalog.Serving, UpSince: value}
	}
	change := func(revision int64, members ...catalog.Endpoint) catalog.Change {
		return catalog.Change{Revision: revision, Members: members}
	}
	histories := map[int64]CommittedHistory{
		1: {Changes: []catalog.Change{change(1, endpoint("a", 0), endpoint("b", 0)), change(2, endpoint("a", 1)), change(3, endpoint("b", 1))}},
		2: {Initial: catalog.List{Revision: 2, Members: []catalog.Endpoint{endpoint("a", 1), endpoint("b", 0)}},
			Changes: []catalog.Change{change(3, endpoint("a", 5))}},
	}
	update := func(history, revision int64, complete bool, members ...catalog.Endpoint) WatcherUpdate {
		return WatcherUpdate{History: history, List: catalog.List{Revision: revision, Complete: complete, Members: members}}
	}
	correct := []WatcherUpdate{
		update(1, 1, true, endpoint("a", 0), endpoint("b", 0)), update(1, 2, false, endpoint("a", 1)), update(1, 3, false, endpoint("b", 1)),
		update(2, 2, true, endpoint("a", 1), endpoint("b", 0)), update(2, 3, false, endpoint("a", 5)),
	}
	if violations := CheckWatches(histories,
		[][]WatcherUpdate{correct, append([]WatcherUpdate{update(1, 3, true, endpoint("a", 1), endpoint("b", 1))}, correct[3:]...)}); len(violations) > 0 {
		t.Errorf("unexpected violations: %v", violations)
	}
	for _, test := range []struct {
		name, wantText string
		updates        []WatcherUpdate
	}{
		{"a change is missing", "the list is", append([]WatcherUpdate{correct[0], correct[2]}, correct[3:]...)},
		{"an empty update in its place", "the list is", append([]WatcherUpdate{correct[0], update(1, 2, false), correct[2]}, correct[3:]...)},
		{"a change that was not committed", "the list is", append([]WatcherUpdate{correct[0], update(1, 2, false, endpoint("a", 9))}, correct[2:]...)},
		{"changes out of order", "after 3",
			append([]WatcherUpdate{correct[0], update(1, 3, false, endpoint("a", 1), endpoint("b", 1)), correct[1]}, correct[3:]...)},
		{"a revision that does not exist", "does not have", append(append([]WatcherUpdate{}, correct...), update(2, 4, false))},
		{"back to the old history", "after 2", append(append([]WatcherUpdate{}, correct...), correct[2])},
		{"changes of a new history without its list", "without its list", []WatcherUpdate{correct[0], correct[1], correct[2], update(2, 3, false, endpoint("a", 5))}},
		{"a watcher that stops before the last revision", "before the end", correct[:4]},
	} {
		if violations := CheckWatches(histories, [][]WatcherUpdate{test.updates}); len(violations) != 1 || !strings.Contains(violations[0], test.wantText) {
			t.Errorf("%s: violations %v, want one that contains %q", test.name, violations, test.wantText)
		}
	}
}

func TestCheckWrites(t *testing.T) {
	committed := CommittedHistory{Changes: []catalog.Change{
		{Revision: 1, Members: []catalog.Endpoint{{ID: "a", UpSince: 1}}}, {Revision: 2, Members: []catalog.Endpoint{{ID: "a", UpSince: 2}}},
	}}
	correct := []Operation{{Kind: Put, EndpointID: "a", New: 1, Revision: 1, Outcome: Done}, {Kind: Put, EndpointID: "a", New: 2, Outcome: Ambiguous},
		{Kind: Put, EndpointID: "a", New: 3, Outcome: Ambiguous}}
	if violations := CheckWrites(committed, correct); len(violations) > 0 {
		t.Errorf("unexpected violations: %v", violations)
	}
	lost := append([]Operation{{Kind: Put, EndpointID: "a", New: 4, Revision: 3, Outcome: Done}}, correct...)
	conflictDone := append([]Operation{{Kind: CompareAndSwap, EndpointID: "a", New: 2, Outcome: Conflict}}, correct[0])
	for name, ops := range map[string][]Operation{"lost write": lost, "conflict that took effect": conflictDone, "value that no client wrote": correct[:1]} {
		if violations := CheckWrites(committed, ops); len(violations) != 1 {
			t.Errorf("%s: violations %v, want one", name, violations)
		}
	}
}

func TestCheckLeases(t *testing.T) {
	correct := []LeaseHolding{{0, 1, milliseconds(0), milliseconds(10)}, {0, 2, milliseconds(5), milliseconds(15)}, {1, 3, milliseconds(15), milliseconds(20)}}
	if violations := CheckLeases(correct); len(violations) > 0 {
		t.Errorf("unexpected violations: %v", violations)
	}
	if violations := CheckLeases(append(correct, LeaseHolding{2, 4, milliseconds(19), milliseconds(30)})); len(violations) != 1 {
		t.Errorf("two holders at once: violations %v, want one", violations)
	}
	if violations := CheckLeases(append(correct, LeaseHolding{2, 3, milliseconds(50), milliseconds(60)})); len(violations) != 1 {
		t.Errorf("one token given twice: violations %v, want one", violations)
	}
}
