package tally

import (
	"math"
	"testing"
	"time"

	"starlingusher/fleet/history"
)

const ms = time.Millisecond

func TestWorthAfter(t *testing.T) {
	c := Class{SoftDeadline: time.Second, Deadline: 3 * time.Second, Worth: 4, WorthAtDeadline: 0.5}
	for took, want := range map[time.Duration]float64{0: 4, time.Second: 4, 2 * time.Second: 3, 2999 * ms: 2.001, 3 * time.Second: 0, 5 * time.Second: 0} {
		if got := c.WorthAfter(took); math.Abs(got-want) > 0.01 {
			t.Errorf("after %v: %v, want %v", took, got, want)
		}
	}
}

func TestCount(t *testing.T) {
	in := func(at time.Duration, c int, id string, first time.Duration) history.Event {
		return history.Event{At: at, Kind: history.Submitted, Partner: -1, MessageNumber: c, ID: id, FirstAt: first}
	}
	answer := func(at time.Duration, id, state string) history.Event {
		return history.Event{At: at, Kind: history.Answered, Partner: -1, ID: id, State: state}
	}
	events := []history.Event{
		// 1: refused, then accepted and delivered late: its time counts from its first submission.
		in(0, 1, "1a", 0), answer(ms, "1a", history.Refused), in(500*ms, 1, "1b", 500*ms), answer(501*ms, "1b", history.Taken),
		// 2: delivered, but its client never learned that it was accepted.
		in(0, 2, "2", 0), answer(400*ms, "2", history.ClientTimedOut),
		// 3: refused for good. 4: failed. 5: beyond its tenant's share, delivered before its client had its
		// answer.
		in(0, 3, "3", 0), answer(ms, "3", history.Refused),
		in(0, 4, "4", 0), answer(ms, "4", history.Taken), {At: 2 * time.Second, Kind: history.NoticeReceived, Partner: -1, ID: "4", State: history.Failed},
		in(6*time.Second, 5, "5", 6*time.Second),
		{At: 590 * ms, Kind: history.Connected},
		{At: 600 * ms, Kind: history.CallStarted, Call: 1, IDs: []string{"1b", "2"}},
		{At: 2 * time.Second, Kind: history.CallEnded, Call: 1, State: history.Accepted, Outcomes: []string{history.OutcomeAccepted, history.OutcomeAccepted}},
		{At: 2 * time.Second, Kind: history.CallStarted, Call: 2, IDs: []string{"4"}},
		{At: 2 * time.Second, Kind: history.CallEnded, Call: 2, State: history.AboveLimit},
		{At: 6050 * ms, Kind: history.CallStarted, Call: 3, IDs: []string{"5"}},
		{At: 6100 * ms, Kind: history.CallEnded, Call: 3, State: history.Accepted, Outcomes: []string{history.OutcomeAccepted}},
		answer(6101*ms, "5", history.Taken),
	}
	history.Sort(events)
	r := Count(Config{
		Classes: []Class{{Name: "order", SoftDeadline: time.Second, Deadline: 3 * time.Second, Worth: 10, WorthAtDeadline: 0.5}}, Tenants: []string{"m"}, Nodes: []string{"n"},
		Partners: 1, Weight: func(c int) float64 { return map[bool]float64{true: 0.1, false: 1}[c == 5] },
	}, events)
	if l := r.All; l.Messages != 5 || l.Delivered != 2 || l.Refused != 1 || l.Failed != 1 || l.Unknown != 1 {
		t.Errorf("all %+v", l)
	}
	if got, want := r.All.WorthServed, 7.5+1; math.Abs(got-want) > 1e-9 || math.Abs(r.All.WorthAsked-41) > 1e-9 {
		t.Errorf("served %v of %v, want %v of 41", got, r.All.WorthAsked, want)
	}
	if r.CallsAboveLimit != 1 || r.Attempts != 4 || r.Submissions != 6 || r.Connections != 1 || r.Partners[0].Connections != 1 || r.Partners[0].CallEnds[history.Accepted] != 2 {
		t.Errorf("got %+v", r)
	}
	if len(r.Intervals) != 2 || r.Intervals[1].Messages != 1 {
		t.Errorf("intervals %+v", r.Intervals)
	}
	if w, ok := r.WorstInterval(); !ok || w.Name != "0s" {
		t.Errorf("worst interval %+v", w)
	}
	if r.TimeToDelivery.Count != 2 || r.TimeToDelivery.HDR == "" {
		t.Errorf("time to delivery %+v", r.TimeToDelivery)
	}
}
