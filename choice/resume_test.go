package choice

import (
	"slices"
	"testing"
	"time"
)

// After a restart a message is handled by whether it may have run, as it would have been without the restart.
func TestResumedMessages(t *testing.T) {
	const now = time.Hour
	cfg := testSettings()
	classOf := func(e Effect) int {
		for i, c := range cfg.Classes {
			if c.Effect == e && !c.Ordered && (e != Deduplicated || c.DedupEverywhere) {
				return i
			}
		}
		t.Fatalf("no class of effect %d", e)
		return 0
	}
	idempotent, deduplicated, atMostOnce := classOf(Idempotent), classOf(Deduplicated), classOf(AtMostOnce)
	window := cfg.Classes[deduplicated].DedupWindow
	for _, c := range []struct {
		name  string
		class int
		left  time.Duration
		e     MessageResumed
		want  string
	}{
		{"idempotent, not sent yet", idempotent, 5 * time.Second, MessageResumed{}, "send"},
		{"idempotent, may have run", idempotent, 5 * time.Second,
			MessageResumed{Attempts: 1, MayHaveRun: true, MayHaveRunSince: now - time.Second}, "send"},
		{"deduplicated, inside its window", deduplicated, 5 * time.Second,
			MessageResumed{Attempts: 1, MayHaveRun: true, MayHaveRunSince: now - window/2}, "send"},
		{"deduplicated, after its window", deduplicated, 5 * time.Second,
			MessageResumed{Attempts: 1, MayHaveRun: true, MayHaveRunSince: now - window}, "fail"},
		{"at most once, not sent yet", atMostOnce, 5 * time.Second, MessageResumed{}, "send"},
		{"at most once, never ran", atMostOnce, 5 * time.Second, MessageResumed{Attempts: 1}, "send"},
		{"at most once, may have run", atMostOnce, 5 * time.Second,
			MessageResumed{Attempts: 1, MayHaveRun: true, MayHaveRunSince: now - time.Second}, "fail"},
		{"out of time", idempotent, -time.Second, MessageResumed{}, "refuse"},
		{"at most once, out of time, may have run", atMostOnce, -time.Second,
			MessageResumed{Attempts: 1, MayHaveRun: true, MayHaveRunSince: now - time.Second}, "fail"},
		{"out of attempts", idempotent, 5 * time.Second, MessageResumed{Attempts: cfg.MaxAttempts}, "refuse"},
	} {
		s := New(cfg, 1)
		c.e.MessageArrived = MessageArrived{ID: "m", Class: c.class, Deadline: now + c.left}
		got := ""
		for _, a := range s.Step(now, []Event{listOfOne(), c.e}) {
			switch a := a.(type) {
			case Send:
				got += "send"
			case Fail:
				got += "fail"
			case Refuse:
				got += "refuse"
				if a.RetryAfter <= 0 {
					t.Errorf("%s: no retry-after", c.name)
				}
			}
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// A backlog with failures before the restart is sent at the rate of a slow start, not at once.
func TestResumedBacklogGetsASlowStart(t *testing.T) {
	for _, failed := range []bool{false, true} {
		cfg := testSettings()
		s := New(cfg, 1)
		events := []Event{listOfOne()}
		for _, id := range []string{"a", "b", "c"} {
			events = append(events, MessageResumed{
				MessageArrived: MessageArrived{ID: id, Deadline: time.Hour + 5*time.Second}, Attempts: 1, Failed: failed,
			})
		}
		sends := 0
		for _, a := range s.Step(time.Hour, events) {
			if _, ok := a.(Send); ok {
				sends++
			}
		}
		if r := s.endpoints["a"].route; r.recovering() != failed || (failed && sends > 1) || (!failed && sends == 0) {
			t.Errorf("earlier failure: %v; recovering: %v, %d sends", failed, r.recovering(), sends)
		}
	}
}

// A Stopping event holds back sends that might be cut off, earlier for those that could not be repeated, and
// nothing else: the gate still works and messages still end.
func TestStopping(t *testing.T) {
	cfg := testSettings()
	s := New(cfg, 1)
	end := time.Hour + 2*time.Second
	s.Step(time.Hour, []Event{listOfOne(), Stopping{By: end}})
	atMostOnce := slices.IndexFunc(cfg.Classes, func(c Class) bool { return c.Effect == AtMostOnce })
	idempotent := slices.IndexFunc(cfg.Classes, func(c Class) bool { return c.Effect == Idempotent })
	for _, c := range []struct {
		class int
		left  time.Duration
		sent  bool
	}{{atMostOnce, 1500 * ms, true}, {atMostOnce, 900 * ms, false}, {idempotent, 800 * ms, true}, {idempotent, 200 * ms, false}} {
		id, sent := c.left.String(), false
		for _, a := range s.Step(end-c.left, []Event{MessageArrived{ID: id, Class: c.class, Deadline: end + time.Minute}}) {
			if _, ok := a.(Send); ok {
				sent = true
				s.Step(end-c.left, []Event{AttemptEnded{ID: id, Endpoint: "a", Took: ms}})
			}
		}
		if sent != c.sent {
			t.Errorf("class %d with %v left: sent: %v", c.class, c.left, sent)
		}
	}
	s.Step(end-100*ms, []Event{MessageArrived{ID: "m", Class: idempotent, Deadline: end + time.Second}})
	ended := false
	for _, a := range s.Step(end+time.Second, []Event{WakeDue{}}) {
		if p, ok := a.(Refuse); ok && p.ID == "m" {
			ended = true
		}
	}
	if !ended {
		t.Error("a message past its deadline did not end")
	}
}
