// Package trial tests the list service and the ownership of partitions with real processes: it runs replicas,
// clients and nodes, injects faults, and checks every recorded answer against what the service promises.
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

// OperationKind is what an operation does with the value of an endpoint. The value is carried in up_since_ms;
// each write writes a new one.
type OperationKind string

// The kinds of operations.
const (
	Read           OperationKind = "read" // a fresh read of the whole list
	Put            OperationKind = "put"  // unconditional
	CompareAndSwap OperationKind = "swap" // conditional on the revision at which Old was read
)

// Outcome is the result of an operation.
type Outcome string

// The outcomes. Operations that certainly had no effect are not recorded.
const (
	Done      Outcome = "done"
	Conflict  Outcome = "conflict" // only of CompareAndSwap
	Ambiguous Outcome = "unknown"
)

// Operation is one operation as its client saw it.
type Operation struct {
	Client     int           `json:"client"`
	Kind       OperationKind `json:"kind"`
	EndpointID string        `json:"id"`
	Old        int64         `json:"old,omitempty"` // only of CompareAndSwap
	New        int64         `json:"new,omitempty"` // of Put and CompareAndSwap
	ReadValue  int64         `json:"got,omitempty"` // of Read
	Revision   int64         `json:"revision,omitempty"`
	Outcome    Outcome       `json:"outcome"`
	Call       time.Duration `json:"call"`
	Return     time.Duration `json:"return"`
}

// registerModel is the value of one endpoint as a register, starting at 0.
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

// CheckLinearizable returns the endpoints whose operations can't be put into one order in which each takes
// effect between its call and its return. All values start at 0.
func CheckLinearizable(ops []Operation, timeout time.Duration) []string {
	byEndpoint := map[string][]porcupine.Operation{}
	for _, op := range ops {
		end := int64(op.Return)
		if op.Outcome == Ambiguous { // it may take effect at any later time
			end = math.MaxInt64
		}
		byEndpoint[op.EndpointID] = append(byEndpoint[op.EndpointID],
			porcupine.Operation{ClientId: op.Client, Input: op, Call: int64(op.Call), Return: end})
	}
	var violations []string
	for _, id := range slices.Sorted(maps.Keys(byEndpoint)) {
		switch porcupine.CheckOperationsTimeout(registerModel, byEndpoint[id], timeout) {
		case porcupine.Illegal:
			violations = append(violations,
				fmt.Sprintf("endpoint %s: its %d reads and writes are not linearizable", id, len(byEndpoint[id])))
		case porcupine.Unknown:
			violations = append(violations,
				fmt.Sprintf("endpoint %s: %d reads and writes could not be checked within %v", id, len(byEndpoint[id]), timeout))
		}
	}
	return violations
}

// WatcherUpdate is one update of the list that a watcher received.
type WatcherUpdate struct {
	Watcher int   `json:"watcher"`
	History int64 `json:"history"`
	catalog.List
}

// CommittedHistory is what the service itself committed in one history: the list before the first change, and
// all changes.
type CommittedHistory struct {
	Initial catalog.List `json:"From"`
	Changes []catalog.Change
}

// CheckWatches reports updates that do not match the list. A change that is missing, invented, repeated or
// out of order leads to a list that differs from that of its revision. Each watcher must go through the
// histories in order and reach the end of the last one.
func CheckWatches(histories map[int64]CommittedHistory, updates [][]WatcherUpdate) []string {
	var violations []string
	lastHistory := int64(0)
	for number := range histories {
		lastHistory = max(lastHistory, number)
	}
	for watcher, received := range updates {
		if violation := checkWatcher(histories, lastHistory, received); violation != "" {
			violations = append(violations, fmt.Sprintf("watcher %d: %s", watcher, violation))
		}
	}
	return violations
}

func checkWatcher(histories map[int64]CommittedHistory, lastHistory int64, received []WatcherUpdate) string {
	actual := map[string]catalog.Endpoint{}
	history, revision := int64(0), int64(-1)
	expected := map[string]catalog.Endpoint{}
	var pending []catalog.Change
	applied := int64(0)
	for i, update := range received {
		switch {
		case update.History < history:
			return fmt.Sprintf("line %d has history %d, after %d", i, update.History, history)
		case update.History > history:
			committed, ok := histories[update.History]
			if !ok {
				return fmt.Sprintf("line %d has history %d, which does not exist", i, update.History)
			}
			if !update.Complete {
				return fmt.Sprintf("line %d begins history %d without its list", i, update.History)
			}
			history, revision, pending, applied = update.History, -1, committed.Changes, committed.Initial.Revision
			expected = endpointsByID(committed.Initial)
		}
		if update.Revision < revision {
			return fmt.Sprintf("line %d has revision %d, after %d", i, update.Revision, revision)
		}
		revision = update.Revision
		if update.Complete {
			clear(actual)
		}
		applyChanges(actual, update.Members)
		for len(pending) > 0 && pending[0].Revision <= revision {
			applyChanges(expected, pending[0].Members)
			applied, pending = pending[0].Revision, pending[1:]
		}
		if applied != revision {
			return fmt.Sprintf("line %d has revision %d, which the service does not have", i, revision)
		}
		if !maps.Equal(actual, expected) {
			return fmt.Sprintf("line %d, revision %d: the watcher has %v, the list is %v", i, revision, actual, expected)
		}
	}
	if history != lastHistory || len(pending) > 0 {
		return fmt.Sprintf("stopped at revision %d of history %d, before the end: %d more changes of history %d", revision,
			history, len(pending), lastHistory)
	}
	return ""
}

func endpointsByID(list catalog.List) map[string]catalog.Endpoint {
	endpoints := map[string]catalog.Endpoint{}
	applyChanges(endpoints, list.Members)
	return endpoints
}

func applyChanges(endpoints map[string]catalog.Endpoint, changed []catalog.Endpoint) {
	for _, e := range changed {
		if endpoints[e.ID] = e; e.Phase == catalog.Deleted {
			delete(endpoints, e.ID)
		}
	}
}

// CheckWrites reports acknowledged writes that the service does not have at their revision, and changes that
// no client wrote.
func CheckWrites(committed CommittedHistory, ops []Operation) []string {
	var violations []string
	valuesAt := map[int64]map[string]int64{}
	writeCounts := map[int64]int{}
	for _, change := range committed.Changes {
		valuesAt[change.Revision] = map[string]int64{}
		for _, member := range change.Members {
			valuesAt[change.Revision][member.ID] = member.UpSince
			writeCounts[member.UpSince]++
		}
	}
	requested := map[int64]bool{0: true}
	for _, op := range ops {
		if op.Kind == Read {
			continue
		}
		requested[op.New] = true
		if op.Outcome == Done && valuesAt[op.Revision][op.EndpointID] != op.New {
			violations = append(violations,
				fmt.Sprintf("endpoint %s: the write of %d was acknowledged at revision %d, where the service has %v",
					op.EndpointID, op.New, op.Revision, valuesAt[op.Revision]))
		}
		if op.Outcome == Conflict && writeCounts[op.New] > 0 {
			violations = append(violations,
				fmt.Sprintf("endpoint %s: the write of %d was refused as a conflict, but took effect", op.EndpointID, op.New))
		}
	}
	for value, count := range writeCounts {
		if !requested[value] {
			violations = append(violations, fmt.Sprintf("no client wrote the value %d", value))
		}
		if count > 1 && value != 0 {
			violations = append(violations, fmt.Sprintf("the value %d was written %d times", value, count))
		}
	}
	slices.Sort(violations)
	return violations
}
