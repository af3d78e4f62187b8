package choice

import (
	"fmt"
	"testing"
	"time"
)

// toggleDisabled disables an endpoint or enables it again, at every 40th step. It sends the event twice,
// because a repeat must change nothing, and enables a second endpoint, which may not be disabled. Two of the
// 14 endpoints are in no list.
func toggleDisabled(step int, w *scenario) {
	if step%40 == 0 && step > 0 {
		w.step(0, EndpointDisabled{Endpoint: fmt.Sprint("e", step/40%14), Lifted: step/40%3 > 0})
		w.step(0, EndpointDisabled{Endpoint: fmt.Sprint("e", step/40%14), Lifted: step/40%3 > 0})
		w.step(0, EndpointDisabled{Endpoint: fmt.Sprint("e", (step/40+9)%14), Lifted: true})
	}
}

// A disabled endpoint gets no call whatever the list says. The checker of the scenario verifies this at each
// step.
func TestDisabledInRandomScenarios(t *testing.T) {
	for seed := range uint64(10) {
		interruptedScenario(t, seed, 1500, toggleDisabled)
	}
}

// While one of two endpoints is disabled, the other gets the messages. Once it is enabled again it gets calls
// within a slow start budget of its own, until the slow start is over.
func TestEnabledEndpointGetsASlowStart(t *testing.T) {
	cfg := testSettings()
	cfg.Slots, cfg.MaxOpen = 500, 4000
	w := newScenario(t, cfg, 1)
	list := completeList(Entry{Endpoint: "a", Dest: 0, Weight: 20}, Entry{Endpoint: "b", Dest: 0, Weight: 20})
	callCounts, callTimes := map[string]int{}, []time.Duration{}
	run := func(span time.Duration) {
		clear(callCounts)
		for end := w.now + span; w.now < end; {
			var events []Event
			for _, a := range w.attemptsOut() {
				if f := w.pending[a]; w.now-f.sentAt >= 20*ms {
					events = append(events, AttemptEnded{ID: a.id, Attempt: a.number, Endpoint: f.Endpoint, Took: 20 * ms, Outcome: Success, Final: true})
				}
			}
			if w.now%(50*ms) == 0 { // as many messages as the destination can take
				events = append(events, w.newMessage(fmt.Sprint("m", w.now), 0, 0))
			}
			before := len(w.sends)
			w.step(10*ms, append(events, WakeDue{})...)
			for _, s := range w.sends[before:] {
				callCounts[s.Endpoint]++
				if s.Endpoint == "a" {
					callTimes = append(callTimes, w.now)
				}
			}
		}
	}
	w.step(0, list)
	run(10 * time.Second)
	if callCounts["a"] < 50 || callCounts["b"] < 50 {
		t.Fatalf("calls by endpoint: %v", callCounts)
	}
	w.step(0, EndpointDisabled{Endpoint: "a"})
	w.step(0, list) // the list still has the endpoint as Ready
	if _, avoided := w.sender.EndpointCounts(); avoided != 1 {
		t.Errorf("%d endpoints avoided, want 1", avoided)
	}
	run(5 * time.Second)
	if callCounts["a"] != 0 || callCounts["b"] < 50 {
		t.Errorf("calls by endpoint while one is disabled: %v", callCounts)
	}
	w.step(0, EndpointDisabled{Endpoint: "a", Lifted: true})
	enabledAt := w.now
	callTimes = nil
	run(cfg.SlowStartDuration)
	if callCounts["a"] < 5 {
		t.Errorf("calls by endpoint after it was enabled: %v", callCounts)
	}
	capacity := 10.0 // calls a second: half of what the destination can take
	for i, from := range callTimes {
		count := 0
		for _, at := range callTimes[i:] {
			if at < from+cfg.CollapseSpan {
				count++
			}
		}
		share := min(1, cfg.SlowStartShare+(1-cfg.SlowStartShare)*(from-enabledAt+cfg.CollapseSpan/2).Seconds()/cfg.SlowStartDuration.Seconds())
		if maxCalls := cfg.CollapseMultiple * share * capacity * cfg.CollapseSpan.Seconds(); float64(count) > maxCalls+1 {
			t.Fatalf("%d calls in the window from %v after the return, want at most %.1f", count, from-enabledAt, maxCalls)
		}
	}
	slowStartCalls := callCounts["a"]
	w.step(0, EndpointDisabled{Endpoint: "a", Lifted: true}) // enabling it a second time must not restart the slow start
	run(cfg.SlowStartDuration)
	if callCounts["a"] <= slowStartCalls || w.sender.endpoints["a"].slowStart != nil {
		t.Errorf("%d calls after the slow start, %d during it", callCounts["a"], slowStartCalls)
	}
}
