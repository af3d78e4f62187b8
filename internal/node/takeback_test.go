package node

import (
	"testing"
	"time"

	"starlingusher/choice"
)

// A process that takes its node back knows the list that it had, without what its successor has closed, and the waits that its
// partners told. It guards against calls to endpoints that drain, and into a told wait.
func TestTakeBackKeepsListAndWaits(t *testing.T) {
	n := newIdleNode(t, memberJSON("waits", "127.0.0.1:1", 7, "SERVING"), memberJSON("closed", "127.0.0.1:2", 8, "SERVING"), memberJSON("open", "127.0.0.1:3", 9, "SERVING"))
	until := time.Now().Add(time.Hour)
	n.endpoints["waits"].wait.extend(until)
	n.closeEndpoint(n.endpoints["closed"]) // as the successor says
	cfg := n.TakeBackConfig(n.cfg)

	again := newConfiguredIdleNode(t, func(c *Config) { c.InitialList, c.initialWaits = cfg.InitialList, cfg.initialWaits })
	if len(again.members) != 3 || again.endpoints["closed"] != nil || again.endpoints["open"] == nil {
		t.Errorf("%d members, open endpoints %v", len(again.members), again.endpoints)
	}
	if got := again.endpoints["waits"].wait.end(); !got.Equal(until) {
		t.Errorf("the wait ends at %v, want %v", got, until)
	}
	events := []choice.Event{choice.MessageArrived{ID: "m", Dest: 7, Deadline: again.now() + 2*time.Hour}}
	for _, action := range again.sender.Step(again.now(), events) {
		if send, ok := action.(choice.Send); ok {
			t.Errorf("a call in the wait: %+v", send)
		}
	}
}
