package tally

import (
	"math"
	"testing"
	"time"

	"starlingusher/fleet/history"
)

const ms = time.Millisecond

func TestEarns(t *testing.T) {
	c := Class{Aim: time.Second, Deadline: 3 * time.Second, Worth: 4, LateWorth: 0.5}
	for took, want := range map[time.Duration]float64{0: 4, time.Second: 4, 2 * time.Second: 3, 2999 * ms: 2.001, 3 * time.Second: 0, 5 * time.Second: 0} {
		if got := c.Earns(took); math.Abs(got-want) > 0.01 {
			t.Errorf("after %v: %v, want %v", took, got, want)
		}
	}
}

func TestCount(t *testing.T) {
	in := func(at time.Duration, c int, id string, first time.Duration) history.Event {
		return history.Event{At: at, Kind: history.HandedIn, Partner: -1, Case: c, ID: id, First: first}
	}
	answer := func(at time.Duration, id, state string) history.Event {
		return history.Event{At: at, Kind: history.Answered, Partner: -1, ID: id, State: state}
	}
	events := []history.Event{
		// 1: refused, then accepted and delivered late: its time counts from its first submission.
		in(0, 1, "1a", 0), answer(ms, "1a", history.Refused), in(500*ms, 1, "1b", 500*ms), answer(501*ms, "1b", history.Taken),
		// 2: delivered, but its client never learned that it was accepted.
		in(0, 2, "2", 0), answer(400*ms, "2", history.Unheard),
		// 3: refused for good. 4: failed. 5: beyond its tenant's share, delivered before its client had its
		// answer.
		in(0, 3, "3", 0), answer(ms, "3", history.Refused),
		in(0, 4, "4", 0), answer(ms, "4", history.Taken), {At: 2 * time.Second, Kind: history.Noticed, Partner: -1, ID: "4", State: history.Failed},
		in(6*time.Second, 5, "5", 6*time.Second),
		{At: 590 * ms, Kind: history.Opened},
		{At: 600 * ms, Kind: history.CallBegan, Call: 1, IDs: []string{"1b", "2"}},
		{At: 2 * time.Second, Kind: history.CallEnded, Call: 1, State: history.Accepted, Fates: []string{history.FateAccepted, history.FateAccepted}},
		{At: 2 * time.Second, Kind: history.CallBegan, Call: 2, IDs: []string{"4"}},
		{At: 2 * time.Second, Kind: history.CallEnded, Call: 2, State: history.Above},
		{At: 6050 * ms, Kind: history.CallBegan, Call: 3, IDs: []string{"5"}},
		{At: 6100 * ms, Kind: history.CallEnded, Call: 3, State: history.Accepted, Fates: []string{history.FateAccepted}},
		answer(6101*ms, "5", history.Taken),
	}
	history.Sort(events)
	r := Count(Terms{
		Classes: []Class{{Name: "order", Aim: time.Second, Deadline: 3 * time.Second, Worth: 10, LateWorth: 0.5}}, Members: []string{"m"}, Nodes: []string{"n"},
		Partners: 1, Weight: func(c int) float64 { return map[bool]float64{true: 0.1, false: 1}[c == 5] },
	}, events)
	if l := r.All; l.Messages != 5 || l.Delivered != 2 || l.Refused != 1 || l.Failed != 1 || l.Unheard != 1 {
		t.Errorf("all %+v", l)
	}
	if got, want := r.All.Served, 7.5+1; math.Abs(got-want) > 1e-9 || math.Abs(r.All.Asked-41) > 1e-9 {
		t.Errorf("served %v of %v, want %v of 41", got, r.All.Asked, want)
	}
	if r.Above != 1 || r.Tries != 4 || r.Handed != 6 || r.Opened != 1 || r.Partners[0].Opened != 1 || r.Partners[0].Ends[history.Accepted] != 2 {
		t.Errorf("got %+v", r)
	}
	if len(r.Stretches) != 2 || r.Stretches[1].Messages != 1 {
		t.Errorf("intervals %+v", r.Stretches)
	}
	if w, ok := r.Worst(); !ok || w.Name != "0s" {
		t.Errorf("worst interval %+v", w)
	}
	if r.Delivery.Count != 2 || r.Delivery.HDR == "" {
		t.Errorf("time to delivery %+v", r.Delivery)
	}
}
