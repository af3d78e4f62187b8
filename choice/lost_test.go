package choice

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Single calls without an answer are lost if later ones to their endpoint succeed: their destination is not
// slow, its breaker stays closed, and its gate gets no sample. If no call succeeds meanwhile, the same
// silence is an outage.
func TestLostCallsAreNoOutage(t *testing.T) {
	for _, othersSucceed := range []bool{true, false} {
		cfg := testSettings()
		classOf := func(e Effect) int {
			return slices.IndexFunc(cfg.Classes, func(c Class) bool { return c.Effect == e && !c.Ordered })
		}
		s, now := New(cfg, 1), time.Hour
		sends := func(e Event) (out []Send) {
			for _, a := range s.Step(now, []Event{e}) {
				if a, ok := a.(Send); ok {
					out = append(out, a)
				}
			}
			return out
		}
		arrive := func(id string, e Effect) bool {
			return len(sends(MessageArrived{ID: id, Class: classOf(e), Deadline: now + time.Minute})) == 1
		}
		s.Step(now, []Event{completeList(Entry{Endpoint: "a", Weight: 1000})})
		pass := func(id string) {
			if !arrive(id, Idempotent) {
				t.Fatalf("other calls succeed: %v; %s was not sent", othersSucceed, id)
			}
			now += 20 * ms
			s.Step(now, []Event{AttemptEnded{ID: id, Endpoint: "a", Took: 20 * ms}})
			now += 280 * ms
		}
		for i := range 5 {
			pass(fmt.Sprint("before", i))
		}
		d := s.dests[0]
		average, sent := d.gates[0].average, now
		for i := range 4 {
			if !arrive(fmt.Sprint("lost", i), Idempotent) {
				t.Fatalf("lost%d was not sent", i)
			}
			now += 100 * ms
		}
		for i := range 4 {
			if now += 200 * ms; othersSucceed {
				pass(fmt.Sprint("meanwhile", i))
			}
		}
		if s.Step(now, nil); s.slow(d) == othersSucceed {
			t.Errorf("other calls succeed: %v, and the destination is slow: the same", othersSucceed)
		}
		for i := range 4 {
			s.Step(now, []Event{AttemptEnded{ID: fmt.Sprint("lost", i), Endpoint: "a", Outcome: TimedOut, Took: now - sent}})
		}
		if r := d.sharedRoute; r.breakerOpen == othersSucceed || (d.gates[0].average > average+0.1) == othersSucceed {
			t.Errorf("other calls succeed: %v; the breaker is open: %v, the average went from %v to %v",
				othersSucceed, r.breakerOpen, average, d.gates[0].average)
		}
	}
}

// A closed gate does not wait for an answer that is long overdue before it admits a trial message.
func TestOverdueCallsDoNotBlockTrialMessages(t *testing.T) {
	s, now := New(testSettings(), 1), time.Hour
	s.Step(now, []Event{listOfOne()})
	atMostOnce := slices.IndexFunc(testSettings().Classes, func(c Class) bool { return c.Effect == AtMostOnce })
	s.Step(now, []Event{MessageArrived{ID: "silent", Class: atMostOnce, Deadline: now + time.Minute}})
	s.dests[0].gates[0] = gate{sampled: true, baseline: 0.1, average: 9, updatedAt: now}
	for _, c := range []struct {
		after time.Duration
		taken bool
	}{{lostMin - 100*ms, false}, {lostMin + 100*ms, true}} {
		id := c.after.String()
		s.Step(now+c.after, []Event{MessageArrived{ID: id, Deadline: now + time.Minute}})
		if (s.messages[id] != nil) != c.taken {
			t.Errorf("%v after the call that is out: the message was admitted: %v", c.after, !c.taken)
		}
	}
}

// With no slot free and others waiting, a lost call that may not be repeated gives up its slot. With a slot
// free, or with no message waiting, its answer may still come. One that may be repeated is canceled as soon
// as no slot is free.
func TestLostCallsFreeTheirSlots(t *testing.T) {
	cfg := testSettings()
	atMostOnce := slices.IndexFunc(cfg.Classes, func(c Class) bool { return c.Effect == AtMostOnce })
	for _, c := range []struct {
		name   string
		class  int
		others int
		want   bool
	}{
		{"a slot is free", atMostOnce, cfg.Slots - 2, false},
		{"nobody waits", atMostOnce, cfg.Slots - 1, false},
		{"one waits", atMostOnce, cfg.Slots, true},
		{"a slot is free, repeatable", 0, cfg.Slots - 2, false},
		{"none is free, repeatable", 0, cfg.Slots - 1, true},
	} {
		s, now := New(cfg, 1), time.Hour
		s.Step(now, []Event{completeList(Entry{Endpoint: "a", Weight: 1000})})
		arrive := func(id string, class int) MessageArrived {
			return MessageArrived{ID: id, Class: class, Deadline: now + time.Minute}
		}
		s.Step(now, []Event{arrive("first", 0)})
		s.Step(now+20*ms, []Event{AttemptEnded{ID: "first", Endpoint: "a", Took: 20 * ms}})
		now += 30 * ms
		s.Step(now, []Event{arrive("lost", c.class)})
		now += 10 * ms
		s.Step(now, []Event{arrive("later", 0)})
		now += 20 * ms
		s.Step(now, []Event{AttemptEnded{ID: "later", Endpoint: "a", Took: 20 * ms}})
		now += lostMin + 50*ms
		canceled := false
		for i := range c.others {
			for _, a := range s.Step(now, []Event{arrive(fmt.Sprint("m", i), 0)}) {
				cancel, ok := a.(Cancel)
				canceled = canceled || (ok && cancel.ID == "lost")
			}
		}
		if canceled != c.want {
			t.Errorf("%s: the lost call was canceled: %v", c.name, canceled)
		}
	}
}
