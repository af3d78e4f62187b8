package choice

import (
	"fmt"
	"testing"
	"time"
)

// Each condition of the check before every send holds by itself, whatever code path leads to it.
func TestEachSendConditionHoldsAlone(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		spoil func(s *Sender, m *message, e *endpoint)
	}{
		{"endpoint not ready", 0, func(_ *Sender, _ *message, e *endpoint) { e.ready = false }},
		{"wait", 0, func(s *Sender, _ *message, e *endpoint) { e.route.waitUntil = s.now + 1 }},
		{"no token", 0, func(_ *Sender, _ *message, e *endpoint) { e.route.tokens = 0.9 }},
		{"half-open call out", 0, func(_ *Sender, _ *message, e *endpoint) { e.route.breakerOpen, e.route.halfOpenCallOut = true, true }},
		{"half-open call not due", 0, func(s *Sender, _ *message, e *endpoint) { e.route.breakerOpen, e.route.halfOpenAt = true, s.now+1 }},
		{"at most once, half-open", 2, func(_ *Sender, _ *message, e *endpoint) { e.route.breakerOpen = true }},
		{"at most once, may have run", 2, func(_ *Sender, m *message, _ *endpoint) { m.mayHaveRun = true }},
		{"deduplicated, after its window", 1, func(s *Sender, m *message, _ *endpoint) {
			m.mayHaveRun, m.mayHaveRunSince = true, s.now-m.class.DedupWindow
		}},
		{"attempt out", 0, func(_ *Sender, m *message, _ *endpoint) { m.attemptsOut = 1 }},
		{"no attempts left", 0, func(s *Sender, m *message, _ *endpoint) { m.attempts = s.cfg.MaxAttempts }},
		{"no slot", 0, func(s *Sender, _ *message, _ *endpoint) { s.callsOut = s.cfg.Slots }},
		{"ended", 0, func(_ *Sender, m *message, _ *endpoint) { m.ended = true }},
		{"too late", 0, func(s *Sender, m *message, _ *endpoint) { m.deadline = s.now + answerMargin }},
		{"the turn of another message", 0, func(s *Sender, m *message, _ *endpoint) {
			m.key = "k"
			s.keyQueues["k"] = []*message{{}, m}
		}},
	} {
		w := newScenario(t, testSettings(), 1)
		w.step(0, listOfOne())
		w.step(time.Second)
		s, e := w.sender, w.sender.endpoints["a"]
		m := &message{class: &s.cfg.Classes[c.class], dest: e.dest, arrivedAt: s.now, deadline: s.now + 10*time.Second}
		s.refillTokens(e.route)
		if !s.maySend(m, e) {
			t.Fatalf("%s: the message must be allowed before", c.name)
		}
		if c.spoil(s, m, e); s.maySend(m, e) {
			t.Errorf("%s: the message is still allowed", c.name)
		}
	}
}

func TestNoTokensAreSavedDuringSlowStart(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, completeList(Entry{Endpoint: "a", Weight: 1000}))
	r := w.sender.endpoints["a"].route
	r.slowStartAt = w.now
	w.step(7 * time.Second)
	if w.sender.refillTokens(r); r.tokens > 1 {
		t.Errorf("%v calls may be made at once", r.tokens)
	}
}

// Slow destinations together stay within their share of the slots even where calls can't be canceled.
func TestSlowDestinationsShareTheirSlots(t *testing.T) {
	cfg := testSettings()
	cfg.MayCancel, cfg.Slots = false, 10
	w := newScenario(t, cfg, 1)
	w.step(0, completeList(Entry{Endpoint: "a", Dest: 0, Weight: 1000}, Entry{Endpoint: "b", Dest: 1, Weight: 1000}))
	w.step(5*ms, w.newMessage("a0", 2, 0), w.newMessage("b0", 2, 1))
	w.idle(1500 * ms) // both are silent by now
	for i := range 10 {
		w.step(5*ms, w.newMessage(fmt.Sprint("m", i), 2, i%2))
	}
	if held := len(w.pending); float64(held) > slowSlotShare*float64(cfg.Slots) {
		t.Errorf("silent destinations hold %d of %d slots", held, cfg.Slots)
	}
}
