package choice

import (
	"slices"
	"testing"
	"time"
)

// A reused connection that breaks under a call says nothing about the destination: a message that may be
// repeated is tried again immediately, no breaker opens however often it happens, and AtMostOnce messages ask
// for new connections from then on.
func TestBrokenReusedConnections(t *testing.T) {
	cfg := testSettings()
	classOf := func(e Effect) int {
		return slices.IndexFunc(cfg.Classes, func(c Class) bool { return c.Effect == e && !c.Ordered })
	}
	sends := func(actions []Action) (out []Send) {
		for _, a := range actions {
			if a, ok := a.(Send); ok {
				out = append(out, a)
			}
		}
		return out
	}
	s := New(cfg, 1)
	now := time.Hour
	s.Step(now, []Event{listOfOne()})
	for i, id := range []string{"a", "b", "c", "d", "e", "f"} {
		now += time.Second
		got := sends(s.Step(now, []Event{MessageArrived{ID: id, Class: classOf(Idempotent), Deadline: now + time.Minute}}))
		if len(got) != 1 || got[0].NewConn {
			t.Fatalf("%d: got %+v", i, got)
		}
		now += 20 * ms
		got = sends(s.Step(now, []Event{AttemptEnded{ID: id, Endpoint: "a", Outcome: ConnectionBroken, ReusedConn: true, Took: 20 * ms}}))
		if len(got) != 1 || !got[0].NewConn || s.dests[0].sharedRoute.failures != 0 {
			t.Fatalf("%d: got %+v, %d failures", i, got, s.dests[0].sharedRoute.failures)
		}
		s.Step(now, []Event{AttemptEnded{ID: id, Attempt: 1, Endpoint: "a", Took: 20 * ms}})
	}
	for _, c := range []struct {
		after time.Duration
		fresh bool
	}{{time.Second, true}, {brokenConnSpan + time.Second, false}} {
		id := c.after.String()
		got := sends(s.Step(now+c.after, []Event{MessageArrived{ID: id, Class: classOf(AtMostOnce), Deadline: now + time.Hour}}))
		if len(got) != 1 || got[0].NewConn != c.fresh {
			t.Errorf("%v after the last break: got %+v", c.after, got)
		}
		s.Step(now+c.after, []Event{AttemptEnded{ID: id, Endpoint: "a", Took: 20 * ms}})
	}
	now += time.Minute
	s.Step(now, []Event{MessageArrived{ID: "x", Class: classOf(Idempotent), Deadline: now + time.Minute}})
	if got := sends(s.Step(now, []Event{AttemptEnded{ID: "x", Endpoint: "a", Outcome: ConnectionBroken, Took: 20 * ms}})); len(got) != 0 ||
		s.dests[0].sharedRoute.failures != 1 {
		t.Error("a new connection that broke was not counted as a failure")
	}
}
