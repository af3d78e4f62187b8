package choice

import (
	"fmt"
	"testing"
	"time"
)

// toggleDisabled disables endpoints and enables them again, some of them while they are not listed, and most
// of it twice.
func barNow(n int, w *story) {
	if n%40 == 0 && n > 0 {
		w.step(0, EndpointDisabled{Endpoint: fmt.Sprint("e", n/40%14), Lifted: n/40%3 > 0})
		w.step(0, EndpointDisabled{Endpoint: fmt.Sprint("e", n/40%14), Lifted: n/40%3 > 0})
		w.step(0, EndpointDisabled{Endpoint: fmt.Sprint("e", (n/40+9)%14), Lifted: true})
	}
}

// A disabled endpoint gets no call whatever the list says; the checker verifies it.
func TestBarredInRandomStories(t *testing.T) {
	for seed := range uint64(10) {
		interruptedStory(t, seed, 1500, barNow)
	}
}

// An endpoint that is enabled again serves within the budget of a slow start, and the other one as before.
func TestBarredComesBackCold(t *testing.T) {
	cfg := settings()
	cfg.Slots, cfg.MaxOpen = 500, 4000
	w := newStory(t, cfg, 1)
	both := list(Entry{Endpoint: "a", Dest: 0, Weight: 20}, Entry{Endpoint: "b", Dest: 0, Weight: 20})
	sent, when := map[string]int{}, []time.Duration{}
	play := func(span time.Duration) {
		clear(sent)
		for end := w.now + span; w.now < end; {
			var events []Event
			for _, a := range w.flights() {
				if f := w.out[a]; w.now-f.sent >= 20*ms {
					events = append(events, AttemptEnded{ID: a.id, Attempt: a.n, Endpoint: f.Endpoint, Took: 20 * ms, Outcome: Success, Final: true})
				}
			}
			if w.now%(50*ms) == 0 { // as much as the destination takes
				events = append(events, w.arrive(fmt.Sprint("m", w.now), 0, 0))
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
	play(10 * time.Second)
	if sent["a"] < 50 || sent["b"] < 50 {
		t.Fatalf("calls by endpoint: %v", sent)
	}
	w.step(0, EndpointDisabled{Endpoint: "a"})
	w.step(0, both) // the list still has it as Ready
	if _, avoided := w.s.EndpointCounts(); avoided != 1 {
		t.Errorf("%d endpoints avoided, want 1", avoided)
	}
	play(5 * time.Second)
	if sent["a"] != 0 || sent["b"] < 50 {
		t.Errorf("calls by endpoint while one is disabled: %v", sent)
	}
	w.step(0, EndpointDisabled{Endpoint: "a", Lifted: true})
	back := w.now
	when = nil
	play(cfg.SlowStartDuration)
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
	cold := sent["a"]
	w.step(0, EndpointDisabled{Endpoint: "a", Lifted: true}) // a second time, which must not restart the slow start
	play(cfg.SlowStartDuration)
	if sent["a"] <= cold || w.s.eps["a"].warming != nil {
		t.Errorf("%d calls after the slow start, %d during it", sent["a"], cold)
	}
}
