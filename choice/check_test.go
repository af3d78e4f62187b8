package choice

import (
	"fmt"
	"testing"
	"time"
)

// Each condition of the check before every send holds by itself, whatever code path leads to it.
func TestCheckStandsAlone(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		spoil func(s *Sender, m *message, e *endpoint)
	}{
		{"endpoint not ready", 0, func(_ *Sender, _ *message, e *endpoint) { e.ready = false }},
		{"wait", 0, func(s *Sender, _ *message, e *endpoint) { e.route.waitUntil = s.now + 1 }},
		{"no token", 0, func(_ *Sender, _ *message, e *endpoint) { e.route.tokens = 0.9 }},
		{"half-open call out", 0, func(_ *Sender, _ *message, e *endpoint) { e.route.sick, e.route.trial = true, true }},
		{"half-open call not due", 0, func(s *Sender, _ *message, e *endpoint) { e.route.sick, e.route.trialAt = true, s.now+1 }},
		{"at most once, half-open", 2, func(_ *Sender, _ *message, e *endpoint) { e.route.sick = true }},
		{"at most once, may have run", 2, func(_ *Sender, m *message, _ *endpoint) { m.touched = true }},
		{"deduplicated, after its window", 1, func(s *Sender, m *message, _ *endpoint) {
			m.touched, m.mayRun = true, s.now-m.class.DedupWindow
		}},
		{"attempt out", 0, func(_ *Sender, m *message, _ *endpoint) { m.out = 1 }},
		{"no attempts left", 0, func(s *Sender, m *message, _ *endpoint) { m.attempts = s.cfg.MaxAttempts }},
		{"no slot", 0, func(s *Sender, _ *message, _ *endpoint) { s.busy = s.cfg.Slots }},
		{"ended", 0, func(_ *Sender, m *message, _ *endpoint) { m.over = true }},
		{"too late", 0, func(s *Sender, m *message, _ *endpoint) { m.dropDead = s.now + endMargin }},
		{"the turn of another message", 0, func(s *Sender, m *message, _ *endpoint) {
			m.key = "k"
			s.lines["k"] = []*message{{}, m}
		}},
	} {
		w := newStory(t, settings(), 1)
		w.step(0, one())
		w.step(time.Second)
		s, e := w.s, w.s.eps["a"]
		m := &message{class: &s.cfg.Classes[c.class], dest: e.dest, arrived: s.now, dropDead: s.now + 10*time.Second}
		s.refill(e.route)
		if !s.check(m, e) {
			t.Fatalf("%s: the message must be allowed before", c.name)
		}
		if c.spoil(s, m, e); s.check(m, e) {
			t.Errorf("%s: the message is still allowed", c.name)
		}
	}
}

func TestNoAllowanceIsSavedUpOnTheWayBack(t *testing.T) {
	w := newStory(t, settings(), 1)
	w.step(0, list(Entry{Endpoint: "a", Weight: 1000}))
	r := w.s.eps["a"].route
	r.coldFrom = w.now
	w.step(7 * time.Second)
	if w.s.refill(r); r.tokens > 1 {
		t.Errorf("%v calls may be made at once", r.tokens)
	}
}

// Slow destinations together stay within their share of the slots even where calls can't be canceled.
func TestSlowDestinationsShareTheirSlots(t *testing.T) {
	cfg := settings()
	cfg.MayCancel, cfg.Slots = false, 10
	w := newStory(t, cfg, 1)
	w.step(0, list(Entry{Endpoint: "a", Dest: 0, Weight: 1000}, Entry{Endpoint: "b", Dest: 1, Weight: 1000}))
	w.step(5*ms, w.arrive("a0", 2, 0), w.arrive("b0", 2, 1))
	w.quiet(1500 * ms) // both are silent by now
	for i := range 10 {
		w.step(5*ms, w.arrive(fmt.Sprint("m", i), 2, i%2))
	}
	if held := len(w.out); float64(held) > slowShare*float64(cfg.Slots) {
		t.Errorf("silent destinations hold %d of %d slots", held, cfg.Slots)
	}
}
