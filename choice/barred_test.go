package choice

import (
	"fmt"
	"testing"
	"time"
)

// toggleDisabled disables endpoints and enables them again, some of them while they are not listed, and most
// of it twice.
func toggleDisabled(n int, w *scenario) {
	if n%40 == 0 && n > 0 {
		w.step(0, EndpointDisabled{Endpoint: fmt.Sprint("e", n/40%14), Lifted: n/40%3 > 0})
		w.step(0, EndpointDisabled{Endpoint: fmt.Sprint("e", n/40%14), Lifted: n/40%3 > 0})
		w.step(0, EndpointDisabled{Endpoint: fmt.Sprint("e", (n/40+9)%14), Lifted: true})
	}
}

// A disabled endpoint gets no call whatever the list says; the checker verifies it.
func TestDisabledInRandomScenarios(t *testing.T) {
	for seed := range uint64(10) {
		interruptedScenario(t, seed, 1500, toggleDisabled)
	}
}

// An endpoint that is enabled again serves within the budget of a slow start, and the other one as before.
func TestEnabledEndpointGetsASlowStart(t *testing.T) {
	cfg := testSettings()
	cfg.Slots, cfg.MaxOpen = 500, 4000
	w := newScenario(t, cfg, 1)
	both := completeList(Entry{Endpoint: "a", Dest: 0, Weight: 20}, Entry{Endpoint: "b", Dest: 0, Weight: 20})
	sent, when := map[string]int{}, []time.Duration{}
	run := func(span time.Duration) {
		clear(sent)
		for end := w.now + span; w.now < end; {
			var events []Event
			for _, a := range w.attemptsOut() {
				if f := w.pending[a]; w.now-f.sentAt >= 20*ms {
					events = append(events, AttemptEnded{ID: a.id, Attempt: a.number, Endpoint: f.Endpoint, Took: 20 * ms, Outcome: Success, Final: true})
				}
			}
			if w.now%(50*ms) == 0 { // as much as the destination takes
				events = append(events, w.newMessage(fmt.Sprint("m", w.now), 0, 0))
			}
			before := len(w.sends)
			w.step(10*ms, append(events, WakeDue{})...)
			for _, s := range w.sends[before:] {
				sent[s.Endpoint]++
				if s.Endpoint == "a" {
					when = append(when, w.now)
				}
			}
		}
	}
	w.step(0, both)
	run(10 * time.Second)
	if sent["a"] < 50 || sent["b"] < 50 {
		t.Fatalf("calls by endpoint: %v", sent)
	}
	w.step(0, EndpointDisabled{Endpoint: "a"})
	w.step(0, both) // the list still has it as Ready
	if _, avoided := w.sender.EndpointCounts(); avoided != 1 {
		t.Errorf("%d endpoints avoided, want 1", avoided)
	}
	run(5 * time.Second)
	if sent["a"] != 0 || sent["b"] < 50 {
		t.Errorf("calls by endpoint while one is disabled: %v", sent)
	}
	w.step(0, EndpointDisabled{Endpoint: "a", Lifted: true})
	back := w.now
	when = nil
	run(cfg.SlowStartDuration)
	if sent["a"] < 5 {
		t.Errorf("calls by endpoint after it was enabled: %v", sent)
	}
	capacity := 10.0 // half of what the destination takes
	for i, from := range when {
		count := 0
		for _, at := range when[i:] {
			if at < from+cfg.CollapseSpan {
				count++
			}
		}
		share := min(1, cfg.SlowStartShare+(1-cfg.SlowStartShare)*(from-back+cfg.CollapseSpan/2).Seconds()/cfg.SlowStartDuration.Seconds())
		if most := cfg.CollapseMultiple * share * capacity * cfg.CollapseSpan.Seconds(); float64(count) > most+1 {
			t.Fatalf("%d calls in the window from %v after the return, want at most %.1f", count, from-back, most)
		}
	}
	slowStartCalls := sent["a"]
	w.step(0, EndpointDisabled{Endpoint: "a", Lifted: true}) // a second time, which must not restart the slow start
	run(cfg.SlowStartDuration)
	if sent["a"] <= slowStartCalls || w.sender.endpoints["a"].slowStart != nil {
		t.Errorf("%d calls after the slow start, %d during it", sent["a"], slowStartCalls)
	}
}
