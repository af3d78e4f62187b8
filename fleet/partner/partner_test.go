package partner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// drawConfig draws a partner that has no errors of its own.
func drawConfig(t *rapid.T) Config {
	c := Config{
		Endpoints: rapid.IntRange(1, 3).Draw(t, "endpoints"), Workers: rapid.IntRange(1, 4).Draw(t, "workers"),
		QueueLength: rapid.IntRange(0, 5).Draw(t, "queue"), MaxBatch: rapid.IntRange(1, 5).Draw(t, "batch"),
		ServiceTime: time.Duration(rapid.IntRange(1, 300).Draw(t, "service time")) * ms, ServiceTimeVariation: rapid.Float64Range(0, 1).Draw(t, "spread"),
		ExtraItemCost:   rapid.Float64Range(0, 0.5).Draw(t, "extra item cost"),
		Limit:           Limit{PerSecond: float64(rapid.IntRange(0, 30).Draw(t, "limit")), CountsRefused: rapid.Bool().Draw(t, "counts refused")},
		RetryAfterShare: rapid.Float64Range(0, 1).Draw(t, "retry-after share"), RetryAfterRange: [2]time.Duration{100 * ms, 400 * ms}, DedupWindow: 2 * time.Second,
		SlowStartFrom: 0.2, SlowStartDuration: 5 * time.Second, CollapseMultiple: 2, CollapseSpan: 2 * time.Second,
	}
	if rapid.Bool().Draw(t, "in windows") {
		c.Limit.Window = time.Duration(rapid.IntRange(1, 4).Draw(t, "window")) * 500 * ms
	} else {
		c.Limit.Burst = time.Duration(rapid.IntRange(0, 2).Draw(t, "burst")) * time.Second
	}
	return c
}

// timedEvent is an event and its time.
type timedEvent struct {
	at time.Duration
	ev Event
}

// drawTraffic draws events at increasing times.
func drawTraffic(t *rapid.T, c Config, faults bool) []timedEvent {
	var out []timedEvent
	at := time.Duration(0)
	var conns []uint64
	next := uint64(0)
	endpointOf := map[uint64]int{}
	for i := range rapid.IntRange(5, 120).Draw(t, "events") {
		at += time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * ms
		kind := rapid.IntRange(0, 9).Draw(t, "kind")
		switch {
		case len(conns) == 0 || kind == 0:
			next++
			endpointOf[next] = rapid.IntRange(0, c.Endpoints-1).Draw(t, "endpoint")
			conns = append(conns, next)
			out = append(out, timedEvent{at, ConnOpened{Conn: next, Endpoint: endpointOf[next]}})
		case kind == 1 && faults:
			out = append(out, timedEvent{at, FaultStarted{
				Endpoint: -1, Kind: FaultKind(rapid.IntRange(int(Slow), int(Down)).Draw(t, "fault")), Size: rapid.Float64Range(0, 3).Draw(t, "size"),
				Until: at + time.Duration(rapid.IntRange(1, 3000).Draw(t, "for"))*ms,
			}})
		case kind == 2 && faults:
			out = append(out, timedEvent{at, ConnClosed{Conn: conns[0]}})
			conns = conns[1:]
		default:
			conn := rapid.SampledFrom(conns).Draw(t, "conn")
			call := CallReceived{Call: uint64(1000 + i), Conn: conn, Endpoint: endpointOf[conn], Sender: rapid.IntRange(0, 2).Draw(t, "sender")}
			for k := range rapid.IntRange(1, c.MaxBatch).Draw(t, "items") {
				call.Items = append(call.Items, Item{ID: fmt.Sprintf("m%d-%d", i, k), Key: fmt.Sprintf("k%d", rapid.IntRange(0, 20).Draw(t, "key"))})
			}
			out = append(out, timedEvent{at, call})
		}
	}
	return out
}

type timedAction struct {
	at  time.Duration
	act Action
}

// run sends the events to a new partner and lets all its calls end.
func run(c Config, events []timedEvent) []timedAction {
	p := New(c, rand.New(rand.NewPCG(1, 2)))
	var out []timedAction
	step := func(at time.Duration, ev Event) {
		for _, a := range p.Step(at, ev) {
			out = append(out, timedAction{at, a})
		}
	}
	for _, e := range events {
		for { // like a driver: everything at its due time
			next, ok := p.NextTick()
			if !ok || next >= e.at {
				break
			}
			step(next, Tick{})
		}
		step(e.at, e.ev)
	}
	for {
		next, ok := p.NextTick()
		if !ok {
			return out
		}
		step(next, Tick{})
	}
}

// Without faults each call has one answer, and a refused call never ran.
func TestEveryCallIsAnsweredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		events := drawTraffic(t, c, false)
		answers, ran := map[uint64]Answer{}, map[uint64]bool{}
		for _, a := range run(c, events) {
			switch a := a.act.(type) {
			case Answer:
				if _, twice := answers[a.Call]; twice {
					t.Fatalf("call %d was answered twice", a.Call)
				}
				answers[a.Call] = a
			case Executed:
				ran[a.Call] = true
			}
		}
		for _, e := range events {
			if call, ok := e.ev.(CallReceived); ok {
				a, ok := answers[call.Call]
				if !ok {
					t.Fatalf("call %d had no answer", call.Call)
				}
				if a.Status.Refused() && ran[call.Call] {
					t.Fatalf("call %d was refused and ran", call.Call)
				}
			}
		}
	})
}

// With all faults no call is answered twice, none is answered by an endpoint that is down, and no key runs
// twice within its deduplication window.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		events := drawTraffic(t, c, true)
		keys := map[string]string{}
		for _, e := range events {
			if call, ok := e.ev.(CallReceived); ok {
				for _, it := range call.Items {
					keys[it.ID] = it.Key
				}
			}
		}
		answered := map[uint64]bool{}
		last := map[string]time.Duration{}
		for _, a := range run(c, events) {
			switch act := a.act.(type) {
			case Answer:
				if answered[act.Call] {
					t.Fatalf("call %d was answered twice", act.Call)
				}
				answered[act.Call] = true
			case Executed:
				if before, ok := last[keys[act.ID]]; ok && a.at-before < c.DedupWindow {
					t.Fatalf("%s ran at %v and %v, within the window of %v", keys[act.ID], before, a.at, c.DedupWindow)
				}
				last[keys[act.ID]] = a.at
			}
		}
	})
}

// The same seed and events give identical actions.
func TestSameSeedSameActions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		events := drawTraffic(t, c, true)
		if a, b := run(c, events), run(c, events); !reflect.DeepEqual(a, b) {
			t.Fatalf("two runs differ:\n%v\n%v", a, b)
		}
	})
}

// Admitted calls never exceed the limit: the count in each window, or the rate and its burst over any time.
func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		c.Limit.PerSecond = max(c.Limit.PerSecond, 1)
		events := drawTraffic(t, c, false)
		began := map[uint64]time.Duration{}
		for _, e := range events {
			if call, ok := e.ev.(CallReceived); ok {
				began[call.Call] = e.at
			}
		}
		var admitted []time.Duration
		for _, a := range run(c, events) {
			if ans, ok := a.act.(Answer); ok && !ans.Status.Refused() {
				admitted = append(admitted, began[ans.Call])
			}
		}
		for _, from := range admitted {
			for _, to := range admitted {
				if to < from {
					continue
				}
				n := 0
				for _, at := range admitted {
					if at >= from && at <= to {
						n++
					}
				}
				var limit float64
				if c.Limit.Window > 0 {
					if from/c.Limit.Window != to/c.Limit.Window {
						continue
					}
					limit = max(1, math.Round(c.Limit.PerSecond*c.Limit.Window.Seconds()))
				} else {
					limit = max(1, c.Limit.PerSecond*c.Limit.Burst.Seconds()) + c.Limit.PerSecond*(to-from).Seconds() + 1e-6
				}
				if float64(n) > limit {
					t.Fatalf("%d calls from %v to %v, limit %v", n, from, to, limit)
				}
			}
		}
	})
}

// After a retry-after has passed there is room, unless others have taken it.
func TestRetryAfterIsSufficient(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		c.RetryAfterShare, c.Limit.PerSecond = 1, max(c.Limit.PerSecond, 1)
		p := New(c, rand.New(rand.NewPCG(3, 4)))
		p.Step(0, ConnOpened{Conn: 1})
		at := time.Duration(rapid.IntRange(0, 3000).Draw(t, "start")) * ms
		for i := range 200 {
			for _, a := range p.Step(at, CallReceived{Call: uint64(i), Conn: 1}) {
				ans, ok := a.(Answer)
				if !ok || ans.Call != uint64(i) || ans.Status != AboveLimit {
					continue
				}
				if ans.RetryAfter <= 0 {
					t.Fatalf("no retry-after was told")
				}
				for _, b := range p.Step(at+ans.RetryAfter, CallReceived{Call: 1000, Conn: 1}) {
					if again, ok := b.(Answer); ok && again.Call == 1000 && again.Status == AboveLimit {
						t.Fatalf("refused again after the retry-after of %v", ans.RetryAfter)
					}
				}
				return
			}
		}
		t.Fatal("200 calls at once were never above the limit")
	})
}

// A partner in slow start collapses above its budget, and never below it.
func TestCollapseInSlowStart(t *testing.T) {
	c := Config{
		Endpoints: 2, Workers: 5, QueueLength: 1000, ServiceTime: 100 * ms, SlowStartFrom: 0.2, SlowStartDuration: 10 * time.Second, CollapseMultiple: 2, CollapseSpan: 2 * time.Second,
	} // 100 calls a second at full capacity, 20 right after an outage
	for _, test := range []struct {
		perSecond int
		collapses bool
	}{{20, false}, {30, false}, {90, true}} {
		t.Run(fmt.Sprint(test.perSecond), func(t *testing.T) {
			p := New(c, rand.New(rand.NewPCG(5, 6)))
			p.Step(0, ConnOpened{Conn: 1})
			p.Step(time.Second, FaultStarted{Endpoint: -1, Kind: Rejecting, Until: 3 * time.Second})
			var collapse *Collapsed
			for i := range 2 * test.perSecond {
				at := 3*time.Second + time.Duration(i)*time.Second/time.Duration(test.perSecond)
				for _, a := range p.Step(at, CallReceived{Call: uint64(i), Conn: 1, Sender: 7}) {
					if f, ok := a.(Collapsed); ok {
						collapse = &f
					}
				}
			}
			if (collapse != nil) != test.collapses || p.HasCollapsed() != test.collapses {
				t.Fatalf("collapsed: %v, want %v", collapse, test.collapses)
			}
			if collapse != nil && (collapse.CallsBySender[7] <= collapse.Budget || !p.IsDown(0)) {
				t.Errorf("calls by sender %v, budget %v, down %v", collapse.CallsBySender, collapse.Budget, p.IsDown(0))
			}
		})
	}
}

// In slow start a partner serves slower, and gets faster with time.
func TestSlowStartCapacity(t *testing.T) {
	c := Config{Endpoints: 1, Workers: 1, ServiceTime: 100 * ms, SlowStartFrom: 0.25, SlowStartDuration: 10 * time.Second}
	p := New(c, rand.New(rand.NewPCG(7, 8)))
	p.Step(0, FaultStarted{Endpoint: -1, Kind: Silent, Until: time.Second})
	for _, test := range []struct {
		at   time.Duration
		want float64
	}{{time.Second, 2.5}, {6 * time.Second, 6.25}, {11 * time.Second, 10}} {
		p.Step(test.at, Tick{})
		if got := p.CurrentCapacity(); math.Abs(got-test.want) > 1e-9 {
			t.Errorf("at %v: %v calls a second, want %v", test.at, got, test.want)
		}
	}
}

// An endpoint with the maximum number of connections refuses further ones until one closes.
func TestMaxConns(t *testing.T) {
	c := Config{Endpoints: 1, Workers: 10, MaxConns: 2, ServiceTime: 10 * ms}
	p := New(c, rand.New(rand.NewPCG(9, 10)))
	status := func(call, conn uint64, at time.Duration) Status {
		t.Helper()
		acts := p.Step(at, CallReceived{Call: call, Conn: conn})
		for next, ok := p.NextTick(); ok; next, ok = p.NextTick() {
			acts = append(acts, p.Step(next, Tick{})...)
		}
		for _, a := range acts {
			if ans, ok := a.(Answer); ok && ans.Call == call {
				return ans.Status
			}
		}
		t.Fatalf("call %d had no answer", call)
		return 0
	}
	for conn := uint64(1); conn <= 3; conn++ {
		p.Step(0, ConnOpened{Conn: conn})
	}
	if got := status(1, 2, 0); got != Served {
		t.Errorf("within the maximum: %v", got)
	}
	if got := status(2, 3, time.Second); got != TooManyConns {
		t.Errorf("beyond the maximum: %v", got)
	}
	p.Step(2*time.Second, ConnClosed{Conn: 1})
	p.Step(2*time.Second, ConnClosed{Conn: 3})
	p.Step(2*time.Second, ConnOpened{Conn: 4})
	if got := status(3, 4, 3*time.Second); got != Served {
		t.Errorf("after one closed: %v", got)
	}
}

// Each message of a batch has its own outcome; lost and unreadable answers come after the messages ran.
func TestOutcomesAndLostAnswers(t *testing.T) {
	base := Config{Endpoints: 1, Workers: 100, ServiceTime: 10 * ms, MaxBatch: 10}
	count := func(c Config) (statuses map[Status]int, outcomes map[Outcome]int, ran int) {
		p := New(c, rand.New(rand.NewPCG(11, 12)))
		p.Step(0, ConnOpened{Conn: 1})
		statuses, outcomes = map[Status]int{}, map[Outcome]int{}
		for i := range 100 {
			call := CallReceived{Call: uint64(i), Conn: 1}
			for k := range 10 {
				call.Items = append(call.Items, Item{ID: fmt.Sprintf("%d-%d", i, k)})
			}
			p.Step(0, call)
		}
		for next, ok := p.NextTick(); ok; next, ok = p.NextTick() {
			for _, a := range p.Step(next, Tick{}) {
				switch a := a.(type) {
				case Answer:
					statuses[a.Status]++
					for _, f := range a.Outcomes {
						outcomes[f]++
					}
				case Executed:
					ran++
				}
			}
		}
		return statuses, outcomes, ran
	}
	c := base
	c.ErrorShare, c.DeferShare = 0.2, 0.3
	if _, outcomes, ran := count(c); outcomes[Accepted] == 0 || outcomes[Failed] == 0 || outcomes[Deferred] == 0 || ran < outcomes[Accepted] || ran > outcomes[Accepted]+outcomes[Failed] {
		t.Errorf("outcomes %v, %d ran", outcomes, ran)
	}
	c = base
	c.LostAnswerShare = 1
	if statuses, _, ran := count(c); statuses[AnswerLost] != 100 || ran != 1000 {
		t.Errorf("lost answers: %v, %d ran", statuses, ran)
	}
	c = base
	c.UnreadableAnswerShare = 1
	if statuses, _, ran := count(c); statuses[AnswerUnreadable] != 100 || ran != 1000 {
		t.Errorf("unreadable answers: %v, %d ran", statuses, ran)
	}
}

func TestCheck(t *testing.T) {
	good := Config{Endpoints: 1, Workers: 1, ServiceTime: ms}
	if err := good.Check(); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(*Config){
		"no endpoint":     func(c *Config) { c.Endpoints = 0 },
		"no pace":         func(c *Config) { c.ServiceTime = 0 },
		"a share over 1":  func(c *Config) { c.LostAnswerShare = 1.5 },
		"a share of NaN":  func(c *Config) { c.ErrorShare = math.NaN() },
		"waits reversed":  func(c *Config) { c.RetryAfterRange = [2]time.Duration{2, 1} },
		"cold from 0":     func(c *Config) { c.CollapseSpan = time.Second },
		"a limit under 0": func(c *Config) { c.Limit.PerSecond = -1 },
	} {
		c := good
		change(&c)
		if c.Check() == nil {
			t.Errorf("%s passes", name)
		}
	}
}
