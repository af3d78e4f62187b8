package choice

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func listOfOne() ListUpdate { return completeList(Entry{Endpoint: "a", Dest: 0, Weight: 10}) }

func TestGateHysteresis(t *testing.T) {
	for _, c := range []struct {
		name     string
		deadline float64
		baseline float64
		currents []float64
		open     []bool
	}{
		{"ratio bounds", 0, 0.1, []float64{1, 7.9, 8.1, 7, 6.1, 5.9, 7.9}, []bool{true, true, false, false, false, true, true}},
		{"deadline bounds", 12, 1, []float64{5, 6.1, 5, 4.1, 3.9, 5.9}, []bool{true, false, false, false, true, true}},
		{"the lower of both acts", 100, 0.1, []float64{8.1, 5.9}, []bool{false, true}},
	} {
		g := gate{sampled: true, baseline: c.baseline}
		for i, cur := range c.currents {
			if got := g.updateOpen(cur, c.deadline); got != c.open[i] {
				t.Errorf("%s: step %d, current %v: open is %v", c.name, i, cur, got)
			}
		}
	}
	if fresh := (gate{}); !fresh.updateOpen(0, 10) {
		t.Error("a new gate must be open")
	}
}

func TestBaselineIsTheLowestAverageAndAges(t *testing.T) {
	var g gate
	now := time.Hour
	for range 20 {
		now += 100 * ms
		g.addSample(now, 0.2)
	}
	for range 50 {
		now += 100 * ms
		g.addSample(now, 5)
	}
	if g.baseline > 0.25 || g.average < 4 {
		t.Fatalf("the baseline is %v, the average is %v", g.baseline, g.average)
	}
	before := g.baseline
	for range 600 {
		now += time.Second
		g.addSample(now, 5)
	}
	if g.baseline <= before*2 || g.baseline > g.average {
		t.Errorf("after ten minutes at a new response time the baseline is %v, was %v", g.baseline, before)
	}
}

func TestClosedGateRefusesButAdmitsATrialMessage(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, listOfOne())
	g := &w.sender.dests[0].gates[0]
	*g = gate{sampled: true, baseline: 0.1, average: 9, updatedAt: w.now}
	w.step(5*ms, w.newMessage("trial", 0, 0))
	if len(w.sends) != 1 || len(w.refusals) != 0 {
		t.Fatalf("a closed gate without calls must admit one trial message: %v", w.log)
	}
	w.step(5*ms, w.newMessage("next", 0, 0))
	if len(w.refusals) != 1 || w.refusals[0].ID != "next" || w.refusals[0].RetryAfter <= 0 {
		t.Fatalf("a closed gate must refuse with a retry-after: %v", w.log)
	}
	for i := range 30 {
		w.idle(600 * ms)
		if len(w.pending) > 0 {
			id := w.attemptsOut()[0].id
			w.step(5*ms, w.outcome(id, Success, 0))
		}
		w.step(5*ms, w.newMessage(fmt.Sprint("t", i), 0, 0))
	}
	if g.closed {
		t.Errorf("fast trial messages must open the gate; the average is %v", g.average)
	}
	w.finish()
}

// The waiting time of one class, which is last in the order, must not refuse another class that goes first
// and is in time.
func TestLongWaitOfOneClassKeepsOtherGatesOpen(t *testing.T) {
	cfg := testSettings()
	cfg.Classes[0].Deadline = time.Minute
	w := newScenario(t, cfg, 1)
	w.step(0, listOfOne())
	w.step(5*ms, w.newMessage("urgent", 1, 0))
	w.step(50*ms, w.outcome("urgent", Success, 0))
	w.step(5*ms, w.newMessage("held", 0, 0))
	w.step(9*time.Second, w.outcome("held", Success, 0)) // most of the time of that class
	w.step(5*ms, w.newMessage("more", 1, 0), w.newMessage("and more", 1, 0))
	if len(w.refusals) != 0 {
		t.Errorf("refused: %v", w.refusals)
	}
	w.finish()
}

// A class whose messages are never sent has no outcomes; its gate must learn from the messages that are given
// up.
func TestMessagesGivenUpUnsentCloseTheGate(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, listOfOne(), w.newMessage("sent", 1, 0)) // stays out without an answer, and is the only call that the rate allows
	w.sender.endpoints["a"].route.waitUntil = w.now + time.Minute
	for i := range 3 {
		w.step(5*ms, w.newMessage(fmt.Sprint("held", i), 0, 0))
	}
	w.idle(11 * time.Second)
	if len(w.sends) != 1 || len(w.refusals) == 0 {
		t.Fatal(w.log)
	}
	refusedBefore := len(w.refusals)
	w.step(5*ms, w.newMessage("trial", 0, 0))
	w.step(5*ms, w.newMessage("next", 0, 0))
	if len(w.refusals) != refusedBefore+1 {
		t.Errorf("%d messages refused after three that were given up unsent", len(w.refusals)-refusedBefore)
	}
	w.finish()
}

func TestFastFailuresCountAsSlow(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, listOfOne())
	for i := range 5 {
		id := fmt.Sprint("m", i)
		w.step(200*ms, w.newMessage(id, 2, 0))
		w.step(20*ms, w.outcome(id, Success, 0))
	}
	was := w.sender.dests[0].gates[2].average
	w.step(5*ms, w.newMessage("x", 2, 0))
	w.step(5*ms, w.outcome("x", ServerError, 0)) // a fast error
	if now := w.sender.dests[0].gates[2].average; now < was+0.2*smoothingWeight {
		t.Errorf("a fast error changed the average from %v to %v", was, now)
	}
	w.finish()
}

func TestRuleOneEveryMessageEnds(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, w.newMessage("nowhere", 0, 9)) // no such destination and no list
	w.step(5*ms, listOfOne(), w.newMessage("gone", 1, 0))
	w.step(5*ms, completeList(), w.outcome("gone", Unreachable, 0)) // its endpoint left
	w.step(5*ms, listOfOne(), w.newMessage("slow", 2, 0))
	w.finish()
	if !slices.ContainsFunc(w.refusals, func(b Refuse) bool { return b.ID == "nowhere" }) {
		t.Error("a message that never ran must be refused, not failed")
	}
}

// A call with several messages lasts as long as the longest of them, and its connection may come up late.
func TestRuleOneEachAttemptStartsInTime(t *testing.T) {
	cfg := testSettings()
	cfg.Kinds[0].MaxBatch = 2
	w := newScenario(t, cfg, 1)
	w.step(0, listOfOne())
	short, long := w.newMessage("short", 0, 0), w.newMessage("long", 2, 0)
	long.Deadline += time.Minute
	w.step(5*ms, short, long)
	if len(w.sends) != 2 || w.sends[0].Call != w.sends[1].Call {
		t.Fatal(w.log)
	}
	for _, s := range w.sends {
		if end := w.messages[s.ID].Deadline; s.StartBy <= w.now || s.StartBy >= end {
			t.Errorf("%s may start until %v, its deadline is %v", s.ID, s.StartBy, end)
		}
	}
	w.finish()
}

func TestRuleTwoEffects(t *testing.T) {
	t.Run("at most once: fails after an ambiguous outcome", func(t *testing.T) {
		w := newScenario(t, testSettings(), 1)
		w.step(0, listOfOne(), w.newMessage("u", 2, 0))
		w.step(5*ms, w.outcome("u", ConnectionBroken, 0))
		if len(w.fails) != 1 {
			t.Fatal(w.log)
		}
	})
	t.Run("at most once: is sent again when nothing ran", func(t *testing.T) {
		w := newScenario(t, testSettings(), 1)
		w.step(0, listOfOne(), w.newMessage("u", 2, 0))
		w.step(5*ms, w.outcome("u", Rejected, 0))
		w.idle(time.Second)
		if len(w.sends) != 2 {
			t.Fatal(w.log)
		}
		w.finish()
	})
	t.Run("deduplicated: is refused before its window ends", func(t *testing.T) {
		w := newScenario(t, testSettings(), 1)
		w.step(0, listOfOne(), w.newMessage("k", 1, 0))
		w.step(5*ms, w.outcome("k", TimedOut, 0), completeList())
		w.idle(5 * time.Second)
		if len(w.refusals) != 1 {
			t.Fatal(w.log)
		}
	})
	t.Run("deduplicated: is sent again until its window ends", func(t *testing.T) {
		w := newScenario(t, testSettings(), 1)
		w.step(0, listOfOne(), w.newMessage("k", 1, 0))
		first := w.now
		w.step(5*ms, w.outcome("k", ServerError, 0))
		w.idle(time.Second)
		if len(w.sends) != 2 {
			t.Fatal(w.log)
		}
		if by, end := w.sends[1].StartBy, first+w.cfg.Classes[1].DedupWindow; by <= w.now || by >= end {
			t.Errorf("may start until %v, the window ends at %v", by, end)
		}
		w.finish()
	})
	t.Run("deduplicated in one zone: stays there", func(t *testing.T) {
		cfg := testSettings()
		cfg.Classes[1].DedupEverywhere = false
		w := newScenario(t, cfg, 1)
		w.step(0, listOfOne(), w.newMessage("k", 1, 0))
		other := completeList(Entry{Endpoint: "b", Zone: 1, Weight: 10})
		w.step(5*ms, w.outcome("k", ServerError, 0), other)
		w.finish()
		if len(w.sends) != 1 || len(w.fails) != 1 {
			t.Fatal(w.log)
		}
	})
}

func TestRuleThreeDrainTakesEffectInItsStep(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, completeList(Entry{Endpoint: "a", Weight: 10}, Entry{Endpoint: "b", Weight: 10}))
	drain := ListUpdate{Entries: []Entry{{Endpoint: "a", Phase: Draining}}}
	w.step(5*ms, w.newMessage("0", 0, 0), w.newMessage("1", 0, 0), w.newMessage("2", 0, 0), w.newMessage("3", 0, 0), drain)
	if len(w.sends) == 0 {
		t.Fatal("no message was sent to the other endpoint")
	}
	w.step(5*ms, ListUpdate{Entries: []Entry{{Endpoint: "a", Weight: 10}, {Endpoint: "b", Phase: Gone}}})
	w.idle(time.Second)
	w.step(5*ms, w.newMessage("4", 0, 0))
	if last := w.sends[len(w.sends)-1]; last.Endpoint != "a" {
		t.Errorf("the endpoint that is Ready again must get the message: %v", last)
	}
	w.finish()
}

// Messages held through an outage kept the gate closed for new ones that could be delivered in time.
func TestOldBacklogDoesNotCloseTheGateAfterAnOutage(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, listOfOne(), w.newMessage("old", 0, 0))
	d := w.sender.dests[0]
	w.step(7*time.Second, w.outcome("old", Rejected, 0))
	d.gates[0] = gate{sampled: true, average: 1, baseline: 0.5, updatedAt: w.now}
	d.endpoints[0].route.slowStartAt = w.now
	w.idle(2 * time.Second)
	w.step(50*ms, w.outcome("old", Success, 0))
	if d.gates[0].average > 3 {
		t.Errorf("the average is %v s after messages were held through an outage", d.gates[0].average)
	}
	// The call that ends an outage starts the slow start at its own outcome; its time still counts in full.
	w.step(5*ms, w.newMessage("next", 0, 0))
	w.idle(300 * ms)
	d.gates[0], d.endpoints[0].route.breakerOpen = gate{}, true
	w.step(5*ms, w.outcome("next", Success, 0))
	if d.gates[0].baseline < 0.3 {
		t.Errorf("the baseline fell to %v s", d.gates[0].baseline)
	}
}

// A destination in slow start must not be overloaded by the backlog that a fleet held through its outage,
// whether the fleet is two busy senders or many that rarely call it; and the backlog must not starve.
func TestRuleFourSlowStartBudget(t *testing.T) {
	for _, fleet := range []int{2, 40} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) { testSlowStartOfFleet(t, fleet) })
	}
}

func testSlowStartOfFleet(t *testing.T, fleet int) {
	cfg := testSettings()
	cfg.Slots, cfg.MaxOpen, cfg.FleetSize = 50, 400, fleet
	var senders []*scenario
	for i := range fleet {
		w := newScenario(t, cfg, uint64(i))
		w.step(0, listOfOne()) // 10 calls a second
		senders = append(senders, w)
	}
	start := senders[0].now
	back, rng := start+8*time.Second, rand.New(rand.NewPCG(5, 5))
	var when []time.Duration
	served := 0
	for n := range 2400 {
		to := rng.IntN(fleet) // 6.7 messages a second over all senders
		for i, w := range senders {
			var events []Event
			for _, a := range w.attemptsOut() {
				f := w.pending[a]
				if age := w.now - f.sentAt; age >= 50*ms {
					e := AttemptEnded{ID: a.id, Attempt: a.number, Endpoint: f.Endpoint, Took: age, Outcome: Unreachable}
					if f.sentAt >= back {
						e.Outcome, e.Final = Success, true
						served++
					}
					events = append(events, e)
				}
			}
			if n%15 == 0 && i == to {
				events = append(events, w.newMessage(fmt.Sprint("m", n), 0, 0))
			}
			before := len(w.sends)
			w.step(10*ms, append(events, WakeDue{})...)
			for range len(w.sends) - before {
				when = append(when, w.now)
			}
		}
	}
	for i, from := range when {
		if from < back {
			continue
		}
		count := 0
		for _, at := range when[i:] {
			if at < from+cfg.CollapseSpan {
				count++
			}
		}
		share := min(1, cfg.SlowStartShare+(1-cfg.SlowStartShare)*(from-back+cfg.CollapseSpan/2).Seconds()/cfg.SlowStartDuration.Seconds())
		if most := cfg.CollapseMultiple * share * 12 * cfg.CollapseSpan.Seconds(); float64(count) > most {
			t.Fatalf("%d calls in the window from %v after the return, want at most %.1f", count, from-back, most)
		}
	}
	if served < 70 {
		t.Errorf("only %d of 160 messages were delivered: the backlog starves", served)
	}
}

// After a WakeDue that comes a little early another wake must be asked for; otherwise waiting messages depend
// on other events.
func TestEarlyWakeIsAskedForAgain(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, w.newMessage("m", 0, 0))
	w.step(w.wakes[0]-w.now-time.Microsecond, WakeDue{})
	if len(w.wakes) < 2 {
		t.Fatal("no second wake was asked for")
	}
	w.finish()
}

func TestRuleFiveOrder(t *testing.T) {
	cfg := testSettings()
	cfg.Classes[0].Ordered = true
	w := newScenario(t, cfg, 1)
	withKey := func(id string) MessageArrived { a := w.newMessage(id, 0, 0); a.Key = "k"; return a }
	w.step(0, listOfOne(), withKey("1"), withKey("2"))
	if len(w.sends) != 1 {
		t.Fatal(w.log)
	}
	// The first ends while its attempt is out: the next has its turn only after the outcome and the pause.
	w.step(5*ms, MessageAbandoned{ID: "1"})
	w.idle(100 * ms)
	if len(w.sends) != 1 {
		t.Fatal("the next message was sent while an attempt of the first was out")
	}
	w.step(5*ms, w.outcome("1", TimedOut, 0))
	w.idle(cfg.KeyPause + 500*ms)
	if len(w.sends) != 2 {
		t.Fatalf("the next message never had its turn: %v", w.log)
	}
	w.finish()
}

func TestRuleSixRetryAfter(t *testing.T) {
	for _, apart := range []bool{false, true} {
		cfg := testSettings()
		cfg.Kinds[0].SeparateRoutes = apart
		w := newScenario(t, cfg, 1)
		w.step(0, completeList(Entry{Endpoint: "a", Weight: 10}))
		w.step(5*ms, w.newMessage("1", 0, 0))
		w.step(5*ms, w.outcome("1", Rejected, time.Second), ListUpdate{Entries: []Entry{{Endpoint: "b", Weight: 10}}})
		w.step(5*ms, w.newMessage("2", 1, 0), w.newMessage("3", 2, 0))
		if others := len(w.sends) > 1; others != apart {
			t.Errorf("separate routes %v: sends are %v", apart, w.sends)
		}
		w.idle(2500 * ms)
		if len(w.sends) < 3 {
			t.Errorf("separate routes %v: no further sends after the wait: %v", apart, w.sends)
		}
		w.finish()
	}
}

// Destinations that hung held every slot until long timeouts, and healthy ones starved.
func TestSilentDestinationsDoNotHoldAllSlots(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	var entries []Entry
	for i := range 5 {
		entries = append(entries, Entry{Endpoint: fmt.Sprint("e", i), Dest: i, Weight: 20})
	}
	w.step(0, completeList(entries...))
	served := 0
	for n := range 800 {
		var events []Event
		for _, a := range w.attemptsOut() {
			f := w.pending[a]
			e := AttemptEnded{ID: a.id, Attempt: a.number, Endpoint: f.Endpoint, Took: w.now - f.sentAt}
			switch {
			case f.Endpoint == "e0" && w.now-f.sentAt >= 50*ms:
				e.Outcome, e.Final = Success, true
				served++
			case w.now >= f.TimeoutAt:
				e.Outcome = TimedOut
			default:
				continue
			}
			events = append(events, e)
		}
		if n%5 == 0 {
			events = append(events, w.newMessage(fmt.Sprint("m", n), n/5%3, n/5%5))
		}
		w.step(10*ms, append(events, WakeDue{})...)
		for _, a := range w.sender.actions { // a canceled attempt ends in the next step
			if c, ok := a.(Cancel); ok {
				w.step(ms, w.outcome(c.ID, Canceled, 0))
			}
		}
	}
	if served < 24 {
		t.Errorf("the one healthy destination of five got %d of 32 messages delivered", served)
	}
}

// A destination with long calls got as many slots as a fast one, and held each far longer.
func TestSlotsAreSharedByTimeHeld(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, completeList(Entry{Endpoint: "fast", Dest: 0, Weight: 1000}, Entry{Endpoint: "long", Dest: 1, Weight: 1000}))
	passed := map[string]int{}
	for n := range 500 {
		var events []Event
		for _, a := range w.attemptsOut() {
			f := w.pending[a]
			if need := map[string]time.Duration{"fast": 50 * ms, "long": 600 * ms}[f.Endpoint]; w.now-f.sentAt >= need {
				events = append(events, AttemptEnded{ID: a.id, Attempt: a.number, Endpoint: f.Endpoint, Took: need, Final: true})
				passed[f.Endpoint]++
			}
		}
		events = append(events, w.newMessage(fmt.Sprint("a", n), 0, n%2))
		w.step(10*ms, append(events, WakeDue{})...)
	}
	if passed["fast"] < 3*passed["long"] {
		t.Errorf("%d calls to the fast destination, %d to the one with long calls", passed["fast"], passed["long"])
	}
}

// An endpoint that takes few connections refuses new ones while other calls succeed: no outage, and idle
// connections are closed.
func TestFullConnectionTableIsNoOutage(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, listOfOne(), w.newMessage("1", 0, 0))
	w.step(time.Second, w.outcome("1", Unreachable, 0))
	if w.sender.dests[0].endpoints[0].route.breakerOpen {
		t.Fatal("one failed connect opened the breaker")
	}
	w.idle(time.Second)
	w.step(5*ms, w.outcome("1", Success, 0))
	if !slices.ContainsFunc(w.sender.actions, func(a Action) bool { return a == CloseIdle{Endpoint: "a"} }) {
		t.Error("the idle connection was not closed")
	}
}

// The backlog of one destination must not take all the room for held messages.
func TestBacklogLeavesRoomForOthers(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, completeList(Entry{Endpoint: "b", Dest: 1, Weight: 10}))
	for i := range 100 {
		w.step(5*ms, w.newMessage(fmt.Sprint("m", i), 0, 0)) // no endpoint there
	}
	if held := len(w.sender.dests[0].waiting); held > w.cfg.MaxOpen/2+1 {
		t.Errorf("one destination holds %d of %d places", held, w.cfg.MaxOpen)
	}
	w.step(5*ms, w.newMessage("other", 0, 1))
	if n := len(w.sends); n != 1 || w.sends[0].ID != "other" {
		t.Errorf("the healthy destination got no call: %v", w.sends)
	}
	w.finish()
}

func TestHalfOpenCallsCarryNoAtMostOnceMessage(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, listOfOne())
	w.sender.dests[0].arrivals, w.sender.dests[0].arrivalsAt = 30, w.now // a busy sender
	for i := range outageFailures {
		id := fmt.Sprint("s", i)
		w.step(500*ms, w.newMessage(id, 0, 0))
		w.step(5*ms, w.outcome(id, ServerError, 0))
	}
	if !w.sender.dests[0].endpoints[0].route.breakerOpen {
		t.Fatal("a run of failures must open the breaker")
	}
	w.step(5*ms, w.newMessage("u", 2, 0))
	w.idle(2 * time.Second)
	for _, s := range w.sends {
		if s.ID == "u" {
			t.Fatal("an AtMostOnce message was sent in a half-open call")
		}
	}
	w.finish()
}

func TestInvalidReportsAreIgnored(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, listOfOne())
	for i, v := range []float64{-1, math.NaN(), math.Inf(1), 2, 0} {
		id := fmt.Sprint("m", i)
		w.step(5*ms, w.newMessage(id, 0, 0))
		e := w.outcome(id, Success, 0)
		e.Report = Report{Left: v, Limit: v, HasLeft: true, HasLimit: true}
		w.step(100*ms, e)
	}
	w.idle(2 * time.Second)
	w.step(5*ms, w.newMessage("last", 0, 0))
	w.idle(time.Second)
	if last := w.sends[len(w.sends)-1]; last.ID != "last" {
		t.Errorf("sending stopped after invalid reports: %v", last)
	}
	w.finish()
}

func TestMissingSettingsDoNotCrash(t *testing.T) {
	w := newScenario(t, Settings{}, 1)
	w.step(0, listOfOne(), w.newMessage("m", 7, 0), w.newMessage("n", -1, 3))
	w.finish()
}

func TestRandomScenarios(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			if w := randomScenario(t, seed, 2500); len(w.sends) < 50 && w.cfg.MaxOpen > 10 {
				t.Errorf("only %d sends: the scenario tests little", len(w.sends))
			}
		})
	}
}

func TestSameEventsSameActions(t *testing.T) {
	a, b := randomScenario(t, 7, 2000), randomScenario(t, 7, 2000)
	if !slices.Equal(a.log, b.log) {
		t.Error("two runs with the same events differ")
	}
}

// On a lossy path, lost calls held the few slots until their timeouts although their messages may be
// repeated.
func TestLostRepeatableCallsFreeTheirSlots(t *testing.T) {
	cfg := testSettings()
	cfg.Slots = 2
	w := newScenario(t, cfg, 1)
	w.step(0, completeList(Entry{Endpoint: "a", Weight: 1000}))
	w.step(5*ms, w.newMessage("0", 0, 0))
	w.step(100*ms, w.outcome("0", Success, 0))
	w.step(5*ms, w.newMessage("lost", 0, 0), w.newMessage("at most once", 2, 0), w.newMessage("next", 0, 0))
	canceled := map[string]bool{}
	for end := w.now + 950*ms; w.now < end; {
		w.step(10*ms, WakeDue{})
		for _, a := range w.sender.actions {
			if c, ok := a.(Cancel); ok {
				canceled[c.ID] = true
			}
		}
	}
	if len(canceled) == 0 || canceled["at most once"] {
		t.Errorf("canceled: %v; want repeatable calls only", canceled)
	}
}

// The idle connections of a large fleet filled small connection tables: one that will hardly be used again is
// closed. But closing connections with a mean gap just above the idle timeout cost handshakes, because calls
// at random mostly come sooner than the mean.
func TestConnectionOfARareSenderIsClosed(t *testing.T) {
	for _, c := range []struct {
		gap  time.Duration
		back bool
	}{{20 * time.Second, true}, {7 * time.Second, false}, {500 * ms, false}} {
		cfg := testSettings()
		cfg.IdleConnTimeout = 5 * time.Second
		w := newScenario(t, cfg, 1)
		w.step(0, listOfOne())
		back := false
		for i := range 4 {
			id := fmt.Sprint("m", i)
			w.idle(c.gap)
			w.step(5*ms, w.newMessage(id, 0, 0))
			w.step(100*ms, w.outcome(id, Success, 0))
			back = slices.Contains(w.sender.actions, Action(CloseIdle{Endpoint: "a"}))
		}
		if back != c.back {
			t.Errorf("calls %v apart: the connection was closed: %v", c.gap, back)
		}
	}
}

// A sender with rare calls has no third call in time: two failures in a row are an outage for it, but not for
// a busy one.
func TestTwoFailuresAreAnOutageForARareSender(t *testing.T) {
	for _, c := range []struct {
		gap         time.Duration
		busy        float64
		breakerOpen bool
	}{{3 * time.Second, 0, true}, {300 * ms, 30, false}} {
		w := newScenario(t, testSettings(), 1)
		w.step(0, listOfOne())
		w.sender.dests[0].arrivals, w.sender.dests[0].arrivalsAt = c.busy, w.now
		for i := range 2 {
			id := fmt.Sprint("m", i)
			w.step(c.gap, w.newMessage(id, 0, 0))
			w.step(5*ms, w.outcome(id, ServerError, 0), MessageAbandoned{ID: id})
		}
		if got := w.sender.endpoints["a"].route.breakerOpen; got != c.breakerOpen {
			t.Errorf("failures %v apart: the breaker is open: %v", c.gap, got)
		}
	}
}

// Where rejected calls use up the limit, a fleet that does not slow down gets nothing. So a sender falls
// below its own share at a rejection, and its rate stays a fraction of that however long all calls are
// rejected.
func TestRejectedSenderStaysBelowItsShare(t *testing.T) {
	for _, limit := range []float64{20, 130} {
		cfg := testSettings()
		cfg.FleetSize = 80
		w := newScenario(t, cfg, 1)
		w.step(0, completeList(Entry{Endpoint: "a", Weight: limit}))
		share, calls := limit/float64(cfg.FleetSize), 0
		for i := range 600 {
			w.step(100*ms, w.newMessage(fmt.Sprint("m", i), 0, 0))
			for a := range w.pending {
				w.step(5*ms, w.outcome(a.id, Rejected, 0), MessageAbandoned{ID: a.id})
				if rate, _ := w.sender.pace(w.sender.endpoints["a"].route); rate >= share {
					t.Fatalf("limit %v: %v calls a second after a rejection, the own share is %v", limit, rate, share)
				}
				if i >= 100 {
					calls++
				}
			}
		}
		if rate := float64(calls) / (0.9 * seconds(w.now-time.Hour)); rate > share/3 || calls == 0 {
			t.Errorf("limit %v: %v calls a second while all are rejected, the own share is %v", limit, rate, share)
		}
	}
}

// A destination in slow start has a limit too, which rejected calls use up: with the slow start budget alone,
// a fleet with a large backlog overbooks it until the slow start ends.
func TestRejectionsLowerTheRateInSlowStart(t *testing.T) {
	cfg := testSettings()
	cfg.FleetSize = 80
	w := newScenario(t, cfg, 1)
	w.step(0, completeList(Entry{Endpoint: "a", Weight: 80}))
	r := w.sender.endpoints["a"].route
	w.sender.openBreaker(r)
	w.idle(5 * time.Second)
	r.breakerOpen, r.slowStartAt, r.outageDemand = false, w.now, 100 // a backlog that arrived meanwhile
	w.idle(6 * time.Second)
	before, _ := w.sender.pace(r)
	for range 3 {
		w.sender.now += time.Second
		w.sender.decreaseRateShare(&call{endpoint: w.sender.endpoints["a"], sentAt: w.sender.now})
	}
	if after, bound := w.sender.pace(r); !bound || after > 0.3 || before < 0.9 {
		t.Errorf("%v calls a second before and %v after three rejections; the own share is 1", before, after)
	}
}

// Rate shares that grew with each successful call drove the nodes of a fleet apart: those with more calls got
// more, until the others starved at a limit with room for all. Two nodes with the same share of rejections
// must converge.
func TestRateSharesConverge(t *testing.T) {
	cfg := testSettings()
	cfg.FleetSize = 80
	s := New(cfg, 1)
	s.Step(time.Hour, []Event{completeList(Entry{Endpoint: "a", Weight: 80})})
	high, low := newRoute(), newRoute()
	high.weight, low.weight, high.rateShare, low.rateShare = 80, 80, 1, 0.1
	high.rateShareAt, low.rateShareAt = s.now, s.now
	due := map[*route]float64{}
	for range 3000 { // 0.1 s each; the limit is one call a second for each node, and one call in ten is rejected
		s.now += 100 * ms
		for _, r := range []*route{high, low} {
			rate, _ := s.pace(r)
			if due[r] += rate / 10; due[r] < 1 {
				continue
			}
			due[r]--
			if s.rng.Float64() < 0.1 {
				s.decreaseRateShare(&call{endpoint: &endpoint{route: r}, sentAt: s.now})
			} else {
				s.recordSuccess(r)
			}
		}
	}
	if low.rateShare < 0.4 || low.rateShare < high.rateShare/3 || high.rateShare < low.rateShare/3 {
		t.Errorf("the rate shares are %v and %v after five minutes", high.rateShare, low.rateShare)
	}
}

// Calls that are out at the first rejection were sent into the same overload: their rejections are no new
// sign.
func TestRejectionsOfOneMomentDecreaseOnce(t *testing.T) {
	cfg := testSettings()
	cfg.FleetSize = 4
	w := newScenario(t, cfg, 1)
	w.step(0, completeList(Entry{Endpoint: "a", Weight: 100}))
	w.step(5*ms, w.newMessage("a", 0, 0), w.newMessage("b", 0, 0), w.newMessage("c", 0, 0))
	if len(w.pending) != 3 {
		t.Fatalf("%d calls out", len(w.pending))
	}
	for _, id := range []string{"a", "b", "c"} {
		w.step(5*ms, w.outcome(id, Rejected, 0), MessageAbandoned{ID: id})
	}
	if r := w.sender.endpoints["a"].route; r.rejections != 1 || r.rateShare < rateShareDecreaseFactor {
		t.Errorf("%d decreases, the rate share is %v", r.rejections, r.rateShare)
	}
}

// The traffic share counts first submissions; repeated submissions do not count.
func TestTrafficShareCountsFirstSubmissions(t *testing.T) {
	cfg := testSettings()
	cfg.FleetSize, cfg.Tenants = 10, []Tenant{{PerSecond: 60}, {PerSecond: 40}}
	w := newScenario(t, cfg, 1)
	w.step(0, listOfOne())
	if got := w.sender.trafficShare(); math.Abs(got-0.1) > 0.001 {
		t.Errorf("the traffic share is %v at the start, want an even one", got)
	}
	for i := range 600 { // 20 a second, of 100
		e := w.newMessage(fmt.Sprint("m", i), 0, 0)
		w.step(50*ms, e, MessageAbandoned{ID: e.ID})
		again := w.newMessage(fmt.Sprint("again", i), 0, 0)
		again.Deadline -= time.Second
		w.step(0, again, MessageAbandoned{ID: again.ID})
	}
	if got := w.sender.trafficShare(); got < 0.16 || got > 0.22 {
		t.Errorf("the traffic share is %v with a fifth of the traffic", got)
	}
}

// In a large fleet a decreased rate share must recover soon although hardly a call succeeds meanwhile:
// messages waited for all their time at a destination that had room.
func TestRareSenderIsNotStarvedByARejection(t *testing.T) {
	cfg := testSettings()
	cfg.FleetSize = 36
	w := newScenario(t, cfg, 1)
	w.step(0, completeList(Entry{Endpoint: "a", Weight: 5}))
	w.step(5*ms, w.newMessage("refused", 0, 0))
	w.step(50*ms, w.outcome("refused", Rejected, 0))
	for w.pending[attempt{"refused", 1}] == nil {
		w.step(20*ms, WakeDue{})
		if w.now > time.Hour+5*time.Second {
			t.Fatal("no second call in five seconds")
		}
	}
	w.step(50*ms, w.outcome("refused", Success, 0))
	w.finish()
}

// The queue of a destination that hangs fills up, and it rejects calls: without a known limit, a run of
// rejections is an outage.
func TestRejectionsWithoutALimitAreAnOutage(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, completeList(Entry{Endpoint: "a", Dest: 0}))
	for i := range outageFailures {
		id := fmt.Sprint("m", i)
		w.idle(time.Second)
		w.step(5*ms, w.newMessage(id, 0, 0))
		e := w.outcome(id, Rejected, 0)
		e.Report = Report{HasLimit: true}
		w.step(50*ms, e, MessageAbandoned{ID: id})
	}
	if !w.sender.endpoints["a"].route.breakerOpen {
		t.Error("three rejections without a limit did not open the breaker")
	}
}

// The answer to a batch may have a retry-after although this message of it was delivered. It applies all the
// same.
func TestRetryAfterOfADeliveryApplies(t *testing.T) {
	w := newScenario(t, testSettings(), 1)
	w.step(0, listOfOne())
	w.step(5*ms, w.newMessage("a", 0, 0))
	w.step(5*ms, w.outcome("a", Success, time.Second))
	w.idle(200 * ms)
	sent := len(w.sends)
	w.step(5*ms, w.newMessage("b", 0, 0))
	if w.idle(700 * ms); len(w.sends) != sent {
		t.Error("a call was made before the end of the wait")
	}
	if w.idle(300 * ms); len(w.sends) != sent+1 {
		t.Errorf("%d calls after the wait", len(w.sends)-sent)
	}
	w.finish()
}

// A call of several messages is given up whole, and an AtMostOnce message gets all its time. So where the
// last call failed, messages that may be repeated are sent in other calls; elsewhere they share its call and
// its slot.
func TestAtMostOnceMessagesGetOwnCallsAfterAFailure(t *testing.T) {
	for _, afterFailure := range []bool{false, true} {
		cfg := testSettings()
		cfg.Kinds = []Kind{{MaxBatch: 10}}
		classOf := func(e Effect) int {
			return slices.IndexFunc(cfg.Classes, func(c Class) bool { return c.Effect == e && !c.Ordered })
		}
		s := New(cfg, 1)
		s.Step(time.Hour, []Event{completeList(Entry{Endpoint: "a", Weight: 1000})})
		if afterFailure {
			s.dests[0].sharedRoute.failures = 1
		}
		var events []Event
		for i := range 9 {
			events = append(events, MessageArrived{
				ID: fmt.Sprint(i), Class: classOf([]Effect{Idempotent, Deduplicated, AtMostOnce}[i%3]), Deadline: time.Hour + time.Minute,
			})
		}
		atMostOnce, repeatable := map[uint64]int{}, map[uint64]int{}
		for _, a := range s.Step(time.Hour+time.Second, events) {
			if a, ok := a.(Send); !ok {
				continue
			} else if a.ID == "2" || a.ID == "5" || a.ID == "8" {
				atMostOnce[a.Call]++
			} else {
				repeatable[a.Call]++
			}
		}
		mixed, together := false, 0
		for call, n := range repeatable {
			mixed = mixed || atMostOnce[call] > 0
			together = max(together, n)
		}
		if mixed == afterFailure {
			t.Errorf("after a failure: %v, and there is a mixed call: the same", afterFailure)
		}
		if together != 6 || len(s.attemptsOut) < 9 && !afterFailure {
			t.Errorf("after a failure: %v; %d repeatable messages share a call, %d attempts are out", afterFailure, together, len(s.attemptsOut))
		}
	}
}

// A message may be delivered or not if its call was answered when another message of the call had ended
// already. It is not sent again, which might be after its end, and not refused, which might be untrue.
func TestAmbiguousEndIsReportedAsFailed(t *testing.T) {
	for class := range testSettings().Classes {
		w := newScenario(t, testSettings(), 1)
		w.step(0, listOfOne())
		w.step(5*ms, w.newMessage("a", class, 0))
		e := w.outcome("a", Success, 0)
		e.Final, e.Ambiguous = false, true
		w.step(5*ms, e)
		if len(w.fails) != 1 || len(w.sends) != 1 {
			t.Errorf("class %d: failed %d times after %d sends", class, len(w.fails), len(w.sends))
		}
		w.finish()
	}
}
