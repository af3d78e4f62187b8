package choice

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStep shows that the cost of a step depends on the messages waiting or out, not on the number of
// destinations.
func BenchmarkStep(b *testing.B) {
	for _, dests := range []int{10, 300, 3000} {
		b.Run(fmt.Sprint(dests), func(b *testing.B) {
			var entries []Entry
			for i := range dests {
				entries = append(entries, Entry{Endpoint: fmt.Sprint("e", i), Dest: i, Weight: 10})
			}
			cfg := testSettings()
			cfg.FleetSize = 200
			s, now := New(cfg, 1), time.Hour
			s.Step(now, []Event{completeList(entries...)})
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				now += 400 * ms
				id, d := fmt.Sprint("m", n), n%dests
				n++
				s.Step(now, []Event{MessageArrived{ID: id, Dest: d, Deadline: now + 10*time.Second}})
				now += 100 * ms
				s.Step(now, []Event{AttemptEnded{ID: id, Endpoint: fmt.Sprint("e", d), Took: 100 * ms, Final: true}})
			}
		})
	}
}

// BenchmarkManyEndpoints is a step with a backlog of 90 messages for a destination at its rate limit. It
// measures the cost of going through all waiting messages for each of its endpoints, which each wake does.
func BenchmarkManyEndpoints(b *testing.B) {
	for _, endpoints := range []int{4, 64, 1024} {
		for _, kind := range []string{"shared", "apart"} {
			b.Run(fmt.Sprint(kind, endpoints), func(b *testing.B) {
				var entries []Entry
				for i := range endpoints {
					entries = append(entries, Entry{Endpoint: fmt.Sprint("e", i), Weight: 1})
				}
				cfg := testSettings()
				cfg.FleetSize, cfg.Slots, cfg.MaxOpen = 200, 8, 200
				cfg.Kinds = []Kind{{SeparateRoutes: kind == "apart"}}
				s, now := New(cfg, 1), time.Hour
				s.Step(now, []Event{completeList(entries...)})
				var events []Event
				for i := range 98 {
					events = append(events, MessageArrived{ID: fmt.Sprint("m", i), Deadline: now + 24*time.Hour})
				}
				s.Step(now, events)
				b.ReportAllocs()
				for b.Loop() {
					now += 10 * time.Microsecond
					s.Step(now, []Event{WakeDue{}})
				}
			})
		}
	}
}

// A sender without messages asks for no wake, and the lists that each step goes through are empty, however
// many destinations it knows.
func TestIdleSenderAsksForNoWake(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	var entries []Entry
	for i := range 500 {
		entries = append(entries, Entry{Endpoint: fmt.Sprint("e", i), Dest: i, Weight: 10})
	}
	w.step(0, completeList(entries...))
	for i := range 50 {
		id := fmt.Sprint("m", i)
		w.step(300*ms, w.newMessage(id, 0, i))
		w.step(100*ms, w.outcome(id, Success, 0))
	}
	asked := len(w.wakes)
	w.step(time.Minute, WakeDue{})
	if len(w.wakes) != asked || len(w.sender.activeDests) != 0 || len(w.sender.openMessages) != 0 {
		t.Errorf("an idle sender asked for %d wakes and has %d active destinations", len(w.wakes)-asked, len(w.sender.activeDests))
	}
}
