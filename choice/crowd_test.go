package choice

import (
	"fmt"
	"testing"
	"time"
)

// A new connection that is rejected and closed means a full connection table: calls that are out keep their
// places, no more start beside them for now, the rate stays, and idle connections are closed. On a reused
// connection, or with the connection left open, the same rejection is one over the limit.
func TestFullConnectionTableIsNoLimit(t *testing.T) {
	for _, c := range []struct {
		name         string
		kept, hungUp bool
		full         bool
	}{{"new and closed", false, true, true}, {"kept", true, true, false}, {"left open", false, false, false}} {
		s, now := New(testSettings(), 1), time.Hour
		s.Step(now, []Event{completeList(Entry{Endpoint: "a", Weight: 1000})})
		out := 0
		step := func(e Event) (hangUps []CloseIdle) {
			for _, a := range s.Step(now, []Event{e}) {
				switch a := a.(type) {
				case Send:
					out++
				case CloseIdle:
					hangUps = append(hangUps, a)
				}
			}
			return hangUps
		}
		for i := range 3 {
			step(MessageArrived{ID: fmt.Sprint("m", i), Deadline: now + time.Minute})
		}
		now += 20 * ms
		step(AttemptEnded{ID: "m2", Endpoint: "a", Outcome: Rejected, ReusedConn: c.kept, ConnClosed: c.hungUp, Took: 20 * ms})
		r := s.dests[0].sharedRoute
		if out != 3 || (r.rejections == 0) != c.full || (r.waitUntil == 0) != c.full {
			t.Fatalf("%s: %d sent, %d refusals, a wait until %v", c.name, out, r.rejections, r.waitUntil)
		}
		if !c.full {
			continue
		}
		now += 20 * ms
		step(AttemptEnded{ID: "m0", Endpoint: "a", Took: 40 * ms})
		if out != 4 {
			t.Errorf("%s: the free place is not used", c.name)
		}
		now += 20 * ms
		step(AttemptEnded{ID: "m1", Endpoint: "a", Took: 60 * ms})
		if got := step(AttemptEnded{ID: "m2", Attempt: 1, Endpoint: "a", Took: 20 * ms}); len(got) != 1 || got[0].Keep != 1 {
			t.Errorf("%s: closed idle connections: %v", c.name, got)
		}
	}
}
