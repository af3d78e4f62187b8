// Package trial proves the list service: real replicas, writers and watchers, faults between them, and a checker that
// knows what each answer promises.
package trial

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"starlingusher/fleet/catalog"
)

// Kind is what an operation on one endpoint's value does. The value stands in up_since_ms; each write's is new.
type OperationKind string

// The operations.
const (
	Read           OperationKind = "read" // of the whole list, fresh
	Put            OperationKind = "put"  // resting on nothing
	CompareAndSwap OperationKind = "swap" // resting on the revision at which Old was read
)

// Outcome is what came of an operation.
type Outcome string

// The outcomes. An operation that was surely not done is not noted.
const (
	Done      Outcome = "done"
	Conflict  Outcome = "conflict" // a swap's only
	Ambiguous Outcome = "unknown"
)

// Op is one operation, as its client saw it.
type Operation struct {
	Client     int           `json:"client"`
	Kind       OperationKind `json:"kind"`
	EndpointID string        `json:"id"`
	Old        int64         `json:"old,omitempty"` // of a swap
	New        int64         `json:"new,omitempty"` // of a put or swap
	ReadValue  int64         `json:"got,omitempty"` // of a read
	Revision   int64         `json:"revision,omitempty"`
	Outcome    Outcome       `json:"outcome"`
	Call       time.Duration `json:"call"`
	Return     time.Duration `json:"return"`
}

// model is one endpoint's value, from its first one on.
var registerModel = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(before, input, _ any) (bool, any) {
		state, op := before.(int64), input.(Operation)
		switch {
		case op.Kind == Read:
			return op.ReadValue == state, state
		case op.Kind == Put:
			return true, op.New
		case op.Outcome == Conflict:
			return state != op.Old, state
		case op.Outcome == Ambiguous && state != op.Old:
			return true, state
		}
		return state == op.Old, op.New
	},
}

// Linearizable tells for which endpoints the operations can't have happened one after the other, each between its call
// and its return; first is each one's value at the start.
func CheckLinearizable(ops []Operation, limit time.Duration) []string {
	of := map[string][]porcupine.Operation{}
	for _, op := range ops {
		end := int64(op.Return)
		if op.Outcome == Ambiguous { // it may be done at any time to come
			end = math.MaxInt64
		}
		of[op.EndpointID] = append(of[op.EndpointID], porcupine.Operation{ClientId: op.Client, Input: op, Call: int64(op.Call), Return: end})
	}
	var bad []string
	for _, id := range slices.Sorted(maps.Keys(of)) {
		switch porcupine.CheckOperationsTimeout(registerModel, of[id], limit) {
		case porcupine.Illegal:
			bad = append(bad, fmt.Sprintf("endpoint %s: its %d reads and writes fit into no order", id, len(of[id])))
		case porcupine.Unknown:
			bad = append(bad, fmt.Sprintf("endpoint %s: %d reads and writes could not be checked within %v", id, len(of[id]), limit))
		}
	}
	return bad
}

// Told is what a watcher was told at once.
type WatcherUpdate struct {
	Watcher int   `json:"watcher"`
	History int64 `json:"history"`
	catalog.List
}

// Truth is what the service itself agreed on, by history: the list before the first of the changes, and those.
type CommittedHistory struct {
	Initial catalog.List `json:"From"`
	Changes []catalog.Change
}

// Watches tells where what a watcher was told is not the list: a change missed, invented, twice or out of order shows as
// another list than the one of its revision. Each watcher is told of every history in turn, and must come to the end of
// the last one.
func CheckWatches(truth map[int64]CommittedHistory, told [][]WatcherUpdate) []string {
	var bad []string
	last := int64(0)
	for h := range truth {
		last = max(last, h)
	}
	for w, all := range told {
		if problem := checkWatcher(truth, last, all); problem != "" {
			bad = append(bad, fmt.Sprintf("watcher %d: %s", w, problem))
		}
	}
	return bad
}

func checkWatcher(truth map[int64]CommittedHistory, last int64, all []WatcherUpdate) string {
	has := map[string]catalog.Endpoint{}
	history, revision := int64(0), int64(-1)
	want := map[string]catalog.Endpoint{}
	var next []catalog.Change
	at := int64(0)
	for n, t := range all {
		switch {
		case t.History < history:
			return fmt.Sprintf("line %d is of history %d, after %d", n, t.History, history)
		case t.History > history:
			tr, ok := truth[t.History]
			if !ok {
				return fmt.Sprintf("line %d is of history %d, which never was", n, t.History)
			}
			if !t.Complete {
				return fmt.Sprintf("line %d begins history %d without its list", n, t.History)
			}
			history, revision, next, at = t.History, -1, tr.Changes, tr.Initial.Revision
			want = endpointsByID(tr.Initial)
		}
		if t.Revision < revision {
			return fmt.Sprintf("line %d is of revision %d, after %d", n, t.Revision, revision)
		}
		revision = t.Revision
		if t.Complete {
			clear(has)
		}
		applyChanges(has, t.Members)
		for len(next) > 0 && next[0].Revision <= revision {
			applyChanges(want, next[0].Members)
			at, next = next[0].Revision, next[1:]
		}
		if at != revision {
			return fmt.Sprintf("line %d is of revision %d, which the service does not have", n, revision)
		}
		if !maps.Equal(has, want) {
			return fmt.Sprintf("line %d, revision %d: it has %v, the list is %v", n, revision, has, want)
		}
	}
	if history != last || len(next) > 0 {
		return fmt.Sprintf("it has come to revision %d of history %d, and not to the end: %d more changes of history %d", revision, history, len(next), last)
	}
	return ""
}

func endpointsByID(l catalog.List) map[string]catalog.Endpoint {
	m := map[string]catalog.Endpoint{}
	applyChanges(m, l.Members)
	return m
}

func applyChanges(m map[string]catalog.Endpoint, by []catalog.Endpoint) {
	for _, e := range by {
		if m[e.ID] = e; e.Phase == catalog.Deleted {
			delete(m, e.ID)
		}
	}
}

// Writes tells which acknowledged writes the service does not have at their revision, and which changes nobody asked for.
func CheckWrites(truth CommittedHistory, ops []Operation) []string {
	var bad []string
	by := map[int64]map[string]int64{}
	times := map[int64]int{}
	for _, c := range truth.Changes {
		by[c.Revision] = map[string]int64{}
		for _, m := range c.Members {
			by[c.Revision][m.ID] = m.UpSince
			times[m.UpSince]++
		}
	}
	asked := map[int64]bool{0: true}
	for _, op := range ops {
		if op.Kind == Read {
			continue
		}
		asked[op.New] = true
		if op.Outcome == Done && by[op.Revision][op.EndpointID] != op.New {
			bad = append(bad, fmt.Sprintf("%s was acknowledged %d at revision %d, where the service has %v", op.EndpointID, op.New, op.Revision, by[op.Revision]))
		}
		if op.Outcome == Conflict && times[op.New] > 0 {
			bad = append(bad, fmt.Sprintf("%s: the write of %d was refused, and done", op.EndpointID, op.New))
		}
	}
	for v, n := range times {
		if !asked[v] {
			bad = append(bad, fmt.Sprintf("nobody has asked for the value %d", v))
		}
		if n > 1 && v != 0 {
			bad = append(bad, fmt.Sprintf("the value %d was written %d times", v, n))
		}
	}
	slices.Sort(bad)
	return bad
}
