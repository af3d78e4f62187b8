package judge

import (
	"slices"
	"testing"
	"time"

	"starlingusher/fleet/history"
)

const (
	ms           = time.Millisecond
	idempotent   = 0
	deduplicated = 1
	atMostOnce   = 2
)

func testConfig() Config {
	config := DefaultConfig()
	config.Classes = []Class{{"notice", EffectIdempotent, 0}, {"order", EffectDeduplicated, 2 * time.Second}, {"payout", EffectAtMostOnce, 0}}
	config.Slots = []int{2, 2}
	return config
}

// scenario builds a history by hand: what observers would have seen of a sender, faulty or not.
type scenario struct {
	events []history.Event
	calls  uint64
}

func (s *scenario) add(e history.Event) { s.events = append(s.events, e) }

func (s *scenario) accept(at time.Duration, id string, class int) {
	s.add(history.Event{At: at, Kind: history.Submitted, Partner: -1, ID: id, MessageNumber: len(id), Class: class, ExpiresIn: 4 * time.Second})
	s.add(history.Event{At: at + ms, Kind: history.Answered, Partner: -1, ID: id, State: history.Taken})
}

func (s *scenario) call(at time.Duration, ids ...string) uint64 {
	s.calls++
	s.add(history.Event{At: at + ms, Kind: history.CallStarted, Call: s.calls, Endpoint: "e", IDs: ids, FirstAt: at})
	return s.calls
}

func (s *scenario) end(at time.Duration, call uint64, state string, retryAfter time.Duration, outcomes ...string) {
	s.add(history.Event{At: at, Kind: history.CallEnded, Call: call, State: state, RetryAfter: retryAfter, Outcomes: outcomes})
}

func (s *scenario) notice(at time.Duration, id, state string) {
	s.add(history.Event{At: at, Kind: history.NoticeReceived, Partner: -1, ID: id, State: state})
}

func (s *scenario) process(at time.Duration, k history.Kind, state string) {
	s.add(history.Event{At: at, Kind: k, Partner: -1, State: state})
}

func (s *scenario) announce(at time.Duration, state string) {
	s.add(history.Event{At: at, Kind: history.ChangeAnnounced, Endpoint: "e", State: state})
}

const ok = history.OutcomeAccepted

type scenarioCase struct {
	name  string
	want  []Rule
	build func(*scenario)
}

// scenarios returns histories that break exactly the named rules. Neighbors in the list differ in the one
// thing that makes the violation.
func scenarios() []scenarioCase {
	deliver := func(s *scenario, at time.Duration, id string) {
		s.end(at+50*ms, s.call(at, id), history.Accepted, 0, ok)
	}
	return []scenarioCase{
		{"delivered", nil, func(s *scenario) { s.accept(0, "a", atMostOnce); deliver(s, 10*ms, "a") }},
		{"failed with a notice", nil, func(s *scenario) { s.accept(0, "a", idempotent); s.notice(4200*ms, "a", history.Failed) }},
		{"no final answer", []Rule{OneFinalAnswer}, func(s *scenario) { s.accept(0, "a", idempotent) }},
		{"a late final answer", []Rule{OneFinalAnswer}, func(s *scenario) { s.accept(0, "a", idempotent); s.notice(4500*ms, "a", history.Failed) }},
		{"a final answer just in time", nil, func(s *scenario) { s.accept(0, "a", idempotent); s.notice(4340*ms, "a", history.Failed) }},
		{"answered together with an expired message", []Rule{OneFinalAnswer}, func(s *scenario) {
			s.accept(0, "a", idempotent)
			s.accept(time.Second, "bb", atMostOnce)
			both := s.call(1100*ms, "a", "bb")
			s.notice(4*time.Second, "a", history.Failed)
			s.end(4060*ms, both, history.Accepted, 0, ok, ok)
		}},
		{"answered together with an expired message, and a notice", nil, func(s *scenario) {
			s.accept(0, "a", idempotent)
			s.accept(time.Second, "bb", atMostOnce)
			both := s.call(1100*ms, "a", "bb")
			s.notice(4*time.Second, "a", history.Failed)
			s.end(4060*ms, both, history.Accepted, 0, ok, ok)
			s.notice(4070*ms, "bb", history.Failed)
		}},
		{"no final answer, not accepted", nil, func(s *scenario) {
			s.add(history.Event{Kind: history.Submitted, Partner: -1, ID: "a", MessageNumber: 1, ExpiresIn: time.Second})
			s.add(history.Event{At: ms, Kind: history.Answered, Partner: -1, ID: "a", State: history.Refused})
		}},
		{"a final answer delayed by a restart", nil, func(s *scenario) {
			s.accept(0, "a", idempotent)
			s.process(3900*ms, history.Killed, "")
			s.process(3901*ms, history.Exited, history.ExitRequested)
			s.process(4900*ms, history.Started, "")
			s.process(5*time.Second, history.Ready, "")
			s.notice(6400*ms, "a", history.Failed)
		}},
		{"too late after a restart", []Rule{OneFinalAnswer}, func(s *scenario) {
			s.accept(0, "a", idempotent)
			s.process(3900*ms, history.Killed, "")
			s.process(4900*ms, history.Started, "")
			s.process(5*time.Second, history.Ready, "")
			s.notice(6600*ms, "a", history.Failed)
		}},
		{"no final answer, state directory lost", nil, func(s *scenario) {
			s.accept(0, "a", idempotent)
			s.process(ms*100, history.Killed, "")
			s.process(101*ms, history.StateLost, "")
		}},
		{"two notices that disagree", []Rule{OneFinalAnswer}, func(s *scenario) {
			s.accept(0, "a", idempotent)
			s.notice(time.Second, "a", history.Failed)
			s.notice(2*time.Second, "a", history.Returned)
		}},
		{"the same notice twice", nil, func(s *scenario) {
			s.accept(0, "a", idempotent)
			s.notice(time.Second, "a", history.Failed)
			s.notice(2*time.Second, "a", history.Failed)
		}},
		{"delivered and a notice", nil, func(s *scenario) {
			s.accept(0, "a", idempotent)
			deliver(s, 10*ms, "a")
			s.notice(time.Second, "a", history.Failed)
		}},
		{"sent after its notice", []Rule{NothingAfterEnd}, func(s *scenario) {
			s.accept(0, "a", idempotent)
			s.notice(time.Second, "a", history.Failed)
			deliver(s, 1100*ms, "a")
		}},
		{"sent after it was delivered", []Rule{NothingAfterEnd}, func(s *scenario) { s.accept(0, "a", idempotent); deliver(s, 10*ms, "a"); deliver(s, time.Second, "a") }},
		{"sent again after a restart", nil, func(s *scenario) {
			s.accept(0, "a", idempotent)
			deliver(s, 10*ms, "a")
			s.process(100*ms, history.Killed, "")
			s.process(900*ms, history.Started, "")
			deliver(s, time.Second, "a")
		}},
		{"two attempts in flight", []Rule{OneAttemptAtATime}, func(s *scenario) {
			s.accept(0, "a", idempotent)
			first := s.call(10*ms, "a")
			second := s.call(100*ms, "a")
			s.end(200*ms, first, history.Abandoned, 0)
			s.end(300*ms, second, history.Accepted, 0, ok)
		}},
		{"one attempt after the other", nil, func(s *scenario) {
			s.accept(0, "a", idempotent)
			s.end(99*ms, s.call(10*ms, "a"), history.Abandoned, 0)
			deliver(s, 100*ms, "a")
		}},
		{"an attempt while a call has no end", []Rule{OneAttemptAtATime}, func(s *scenario) { s.accept(0, "a", idempotent); s.call(10*ms, "a"); deliver(s, 100*ms, "a") }},
		{"a call abandoned on its way, and another one", nil, func(s *scenario) {
			s.accept(0, "a", idempotent)
			s.calls++
			s.add(history.Event{At: 500 * ms, Kind: history.CallStarted, Call: s.calls, Endpoint: "e", IDs: []string{"a"}, FirstAt: 10 * ms})
			s.end(100*ms, s.calls, history.Abandoned, 0)
			deliver(s, 110*ms, "a")
		}},
		{"twice in one call", []Rule{OneAttemptAtATime}, func(s *scenario) {
			s.accept(0, "a", idempotent)
			s.end(60*ms, s.call(10*ms, "a", "a"), history.Accepted, 0, ok, ok)
		}},
		{"a payout again that may have run", []Rule{AtMostOnce}, func(s *scenario) {
			s.accept(0, "a", atMostOnce)
			s.end(60*ms, s.call(10*ms, "a"), history.AnswerLost, 0)
			deliver(s, 100*ms, "a")
		}},
		{"a payout again after a fault in a batch", []Rule{AtMostOnce}, func(s *scenario) {
			s.accept(0, "a", atMostOnce)
			s.end(60*ms, s.call(10*ms, "a"), history.Accepted, 0, history.OutcomeFailed)
			deliver(s, 100*ms, "a")
		}},
		{"a payout again that was refused", nil, func(s *scenario) {
			s.accept(0, "a", atMostOnce)
			s.end(60*ms, s.call(10*ms, "a"), history.QueueFull, 0)
			s.end(160*ms, s.call(100*ms, "a"), history.Accepted, 0, history.OutcomeDeferred)
			deliver(s, 200*ms, "a")
		}},
		{"a payout returned that may have run", []Rule{AtMostOnce}, func(s *scenario) {
			s.accept(0, "a", atMostOnce)
			s.end(60*ms, s.call(10*ms, "a"), history.Abandoned, 0)
			s.notice(time.Second, "a", history.Returned)
		}},
		{"a payout failed that may have run", nil, func(s *scenario) {
			s.accept(0, "a", atMostOnce)
			s.end(60*ms, s.call(10*ms, "a"), history.Abandoned, 0)
			s.notice(time.Second, "a", history.Failed)
		}},
		{"a payout that took effect twice, under two ids", []Rule{AtMostOnce}, func(s *scenario) {
			s.accept(0, "a", atMostOnce)
			deliver(s, 10*ms, "a")
			s.add(history.Event{At: 30 * ms, Kind: history.Executed, Call: 1, ID: "a"})
			s.accept(time.Second, "b", atMostOnce)
			deliver(s, 1100*ms, "b")
			s.add(history.Event{At: 1130 * ms, Kind: history.Executed, Call: 2, ID: "b"})
		}},
		{"an order again inside its window", nil, func(s *scenario) {
			s.accept(0, "a", deduplicated)
			s.end(60*ms, s.call(10*ms, "a"), history.Abandoned, 0)
			deliver(s, 2*time.Second, "a")
		}},
		{"an order again after its window", []Rule{KeyWindow}, func(s *scenario) {
			s.accept(0, "a", deduplicated)
			s.end(60*ms, s.call(10*ms, "a"), history.Abandoned, 0)
			deliver(s, 2100*ms, "a")
		}},
		{"an order again, refused before", nil, func(s *scenario) {
			s.accept(0, "a", deduplicated)
			s.end(60*ms, s.call(10*ms, "a"), history.AboveLimit, 0)
			deliver(s, 3*time.Second, "a")
		}},
		{"to an endpoint that drains", []Rule{Drain}, func(s *scenario) {
			s.announce(0, history.Draining)
			s.accept(time.Second, "a", idempotent)
			deliver(s, 1100*ms, "a")
		}},
		{"within the grace", nil, func(s *scenario) {
			s.announce(0, history.Deleted)
			s.accept(900*ms, "a", idempotent)
			deliver(s, 1040*ms, "a")
		}},
		{"to one that serves again", nil, func(s *scenario) {
			s.announce(0, history.Draining)
			s.announce(500*ms, history.Serving)
			s.accept(time.Second, "a", idempotent)
			deliver(s, 1100*ms, "a")
		}},
		{"announced while the node was stopped", nil, func(s *scenario) {
			s.process(0, history.Stopped, "")
			s.announce(100*ms, history.Draining)
			s.process(5*time.Second, history.Resumed, "")
			s.accept(5100*ms, "a", idempotent)
			deliver(s, 5200*ms, "a")
		}},
		{"a retry-after ignored", []Rule{RetryAfter}, func(s *scenario) {
			s.accept(0, "a", idempotent)
			s.end(60*ms, s.call(10*ms, "a"), history.AboveLimit, 500*ms)
			deliver(s, 300*ms, "a")
		}},
		{"a call on its way when the retry-after was told", nil, func(s *scenario) {
			s.accept(0, "a", idempotent)
			s.end(60*ms, s.call(10*ms, "a"), history.AboveLimit, 500*ms)
			deliver(s, 150*ms, "a")
		}},
		{"after the retry-after", nil, func(s *scenario) {
			s.accept(0, "a", idempotent)
			s.end(60*ms, s.call(10*ms, "a"), history.AboveLimit, 500*ms)
			deliver(s, 561*ms, "a")
		}},
		{"a retry-after ended by a restart", nil, func(s *scenario) {
			s.accept(0, "a", idempotent)
			s.end(60*ms, s.call(10*ms, "a"), history.AboveLimit, 2*time.Second)
			s.process(100*ms, history.Killed, "")
			s.process(700*ms, history.Started, "")
			deliver(s, 800*ms, "a")
		}},
		{"a probe during a retry-after", nil, func(s *scenario) {
			s.accept(0, "a", idempotent)
			s.end(60*ms, s.call(10*ms, "a"), history.AboveLimit, 500*ms)
			s.end(310*ms, s.call(300*ms), history.Accepted, 0)
			deliver(s, 600*ms, "a")
		}},
		{"a collapse caused by nodes that saw the outage", []Rule{SlowStart}, func(s *scenario) {
			s.add(history.Event{Kind: history.OutageBegan, Node: -1})
			s.add(history.Event{At: 10 * ms, Kind: history.ConnectFailed, Node: 0})
			s.add(history.Event{At: time.Second, Kind: history.OutageEnded, Node: -1})
			s.add(history.Event{At: 2 * time.Second, Kind: history.Collapsed, Node: -1, CallsBySender: map[int]float64{0: 20, 1: 10}})
		}},
		{"a collapse caused by other nodes", nil, func(s *scenario) {
			s.add(history.Event{Kind: history.OutageBegan, Node: -1})
			s.add(history.Event{At: 10 * ms, Kind: history.ConnectFailed, Node: 0})
			s.add(history.Event{At: time.Second, Kind: history.OutageEnded, Node: -1})
			s.add(history.Event{At: 2 * time.Second, Kind: history.Collapsed, Node: -1, CallsBySender: map[int]float64{0: 10, 1: 20}})
		}},
		{"seven attempts", []Rule{MaxAttempts}, func(s *scenario) {
			s.accept(0, "a", idempotent)
			for i := range 6 {
				at := time.Duration(100*i) * ms
				s.end(at+60*ms, s.call(at+10*ms, "a"), history.QueueFull, 0)
			}
			deliver(s, 700*ms, "a")
		}},
		{"six attempts", nil, func(s *scenario) {
			s.accept(0, "a", idempotent)
			for i := range 5 {
				at := time.Duration(100*i) * ms
				s.end(at+60*ms, s.call(at+10*ms, "a"), history.QueueFull, 0)
			}
			deliver(s, 700*ms, "a")
		}},
		{"three calls in two slots", []Rule{Slots}, func(s *scenario) {
			for _, id := range []string{"a", "bb", "ccc"} {
				s.accept(0, id, idempotent)
			}
			a, b, c := s.call(10*ms, "a"), s.call(11*ms, "bb"), s.call(12*ms, "ccc")
			s.end(100*ms, a, history.Accepted, 0, ok)
			s.end(100*ms, b, history.Accepted, 0, ok)
			s.end(100*ms, c, history.Accepted, 0, ok)
		}},
		{"three calls in one slot's time", nil, func(s *scenario) {
			for i, id := range []string{"a", "bb", "ccc"} {
				s.accept(0, id, idempotent)
				deliver(s, time.Duration(60*i+10)*ms, id)
			}
		}},
		{"a message that nobody submitted", []Rule{WrongPartner}, func(s *scenario) { deliver(s, 10*ms, "a") }},
		{"a message to another partner", []Rule{WrongPartner}, func(s *scenario) {
			s.add(history.Event{Kind: history.Submitted, Partner: -1, ID: "a", MessageNumber: 1, Dest: 1, ExpiresIn: time.Second})
			s.add(history.Event{At: ms, Kind: history.Answered, Partner: -1, ID: "a", State: history.Taken})
			deliver(s, 10*ms, "a")
		}},
		{"a client without an answer", []Rule{AnswerGiven}, func(s *scenario) {
			s.add(history.Event{Kind: history.Submitted, Partner: -1, ID: "a", MessageNumber: 1, ExpiresIn: time.Second})
			s.add(history.Event{At: ms, Kind: history.Answered, Partner: -1, ID: "a", State: history.ConnectionLost})
		}},
		{"a client without an answer, node killed", nil, func(s *scenario) {
			s.add(history.Event{Kind: history.Submitted, Partner: -1, ID: "a", MessageNumber: 1, ExpiresIn: time.Second})
			s.process(ms, history.Killed, "")
			s.add(history.Event{At: 2 * ms, Kind: history.Answered, Partner: -1, ID: "a", State: history.ConnectionLost})
		}},
		{"a crash", []Rule{Alive}, func(s *scenario) { s.process(time.Second, history.Exited, history.Crashed) }},
		{"a requested exit", nil, func(s *scenario) { s.process(time.Second, history.Exited, history.ExitRequested) }},
		{"a resource limit exceeded", []Rule{Alive}, func(s *scenario) { s.add(history.Event{At: 1, Kind: history.LimitExceeded, Note: "memory"}) }},
	}
}

func TestFindViolations(t *testing.T) {
	for _, test := range scenarios() {
		t.Run(test.name, func(t *testing.T) {
			var s scenario
			test.build(&s)
			s.add(history.Event{At: 20 * time.Second, Kind: history.RunEnded, Node: -1, Partner: -1})
			history.Sort(s.events)
			var got []Rule
			for _, b := range FindViolations(testConfig(), s.events) {
				if !slices.Contains(got, b.Rule) {
					got = append(got, b.Rule)
				}
				if b.Reason == "" || len(b.Evidence) == 0 {
					t.Errorf("%v has no evidence", b)
				}
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("found %v, want %v: %v", got, test.want, FindViolations(testConfig(), s.events))
			}
		})
	}
}

// Each rule has a scenario that breaks it.
func TestEachRuleHasAScenario(t *testing.T) {
	for _, rule := range Rules {
		if !slices.ContainsFunc(scenarios(), func(s scenarioCase) bool { return slices.Contains(s.want, rule) }) {
			t.Errorf("no scenario breaks %s", rule)
		}
	}
}
