package choice

import (
	"strconv"
	"testing"
	"time"
)

// In service there are always new endpoints, keys and destinations. Removed ones must leave no state behind
// once no call refers to them and their windows have passed.
func TestRemovedStateIsForgotten(t *testing.T) {
	s := New(Settings{
		Classes: []Class{{Deadline: 10 * time.Second, SoftDeadline: time.Second, Worth: 1, Effect: Deduplicated,
			DedupWindow: time.Minute, DedupEverywhere: true,
			Ordered: true}},
		Kinds: []Kind{{}, {SeparateRoutes: true}}, Slots: 8, MaxAttempts: 2, KeyPause: 300 * time.Millisecond,
	}, 1)
	now := time.Hour
	outcomes := []Outcome{Success, ConnectionBroken, Rejected, TimedOut, Stale}
	for i := range 5000 {
		now += 100 * time.Millisecond
		name, dest := strconv.Itoa(i), i/50 // each destination lives for fifty endpoints
		entries := []Entry{{Endpoint: "e" + name, Dest: dest, Kind: dest % 2}}
		if i > 0 {
			entries = append(entries, Entry{Endpoint: "e" + strconv.Itoa(i-1), Dest: (i - 1) / 50, Phase: Gone})
		}
		actions := s.Step(now, []Event{
			ListUpdate{Complete: i%7 == 0, Entries: entries}, MessageArrived{ID: name, Dest: dest, Key: "k" + name, Deadline: now + 5*time.Second},
		})
		for len(actions) > 0 {
			if a, ok := actions[0].(Send); ok {
				actions = append(actions, s.Step(now, []Event{AttemptEnded{ID: a.ID, Attempt: s.messages[a.ID].attempts - 1, Endpoint: a.Endpoint,
					Outcome: outcomes[i%len(outcomes)], RetryAfter: 50 * time.Millisecond}})...)
			}
			actions = actions[1:]
		}
	}
	for range 2 * int(forgetAfter/time.Second) { // all windows pass; one endpoint stays
		now += time.Second
		for _, a := range s.Step(now, []Event{ListUpdate{Entries: []Entry{{Endpoint: "last", Dest: -1}}}}) {
			if a, ok := a.(Send); ok {
				s.Step(now, []Event{AttemptEnded{ID: a.ID, Attempt: s.messages[a.ID].attempts - 1, Endpoint: a.Endpoint}})
			}
		}
	}
	s.pauseKey("another")
	for what, size := range map[string]int{
		"endpoints": len(s.endpoints) - 1, "destinations": len(s.dests) - 1, "destination order": len(s.destOrder) - 1, "messages": len(s.messages),
		"open": len(s.openMessages), "key queues": len(s.keyQueues), "key pauses": len(s.keyPauses) - 1, "paused keys": len(s.pausedKeys) - 1,
		"attempts out":        len(s.attemptsOut),
		"active destinations": len(s.activeDests), "waits of removed routes": len(s.removedWaits), "calls out": s.callsOut,
	} {
		if size > 1 { // the last of the cycle may have been in the list until the end
			t.Errorf("%s: %d left", what, size)
		}
	}
}

// An id that comes back is a new endpoint: it must not be judged by the history of an earlier one with that
// id.
func TestReusedEndpointIDStartsWithoutHistory(t *testing.T) {
	s := New(Settings{Kinds: []Kind{{SeparateRoutes: true}}}, 1)
	add := ListUpdate{Entries: []Entry{{Endpoint: "e", Dest: 1}}}
	s.Step(time.Hour, []Event{add})
	old := s.endpoints["e"]
	old.typicalTime, old.route.breakerOpen, old.route.waitUntil = 9, true, time.Hour+time.Second
	for _, gone := range []ListUpdate{{Entries: []Entry{{Endpoint: "e", Dest: 1, Phase: Gone}}}, {Complete: true}} {
		s.Step(time.Hour, []Event{gone})
		if len(s.endpoints) != 0 || len(s.dests[1].endpoints) != 0 || old.ready {
			t.Fatal("the removed endpoint still has state")
		}
		s.Step(time.Hour, []Event{add})
		e := s.endpoints["e"]
		if e == old || e.typicalTime != 0 || e.route.breakerOpen {
			t.Error("the new endpoint has the health of the old one")
		}
		if e.route.waitUntil != time.Hour+time.Second {
			t.Error("the wait of the old endpoint is lost")
		}
	}
}
