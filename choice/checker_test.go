package choice

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"
)

const ms = time.Millisecond

// scenario drives a Sender and checks the rules of the contract on every action.
type story struct {
	t       testing.TB
	cfg     Settings
	s       *Sender
	now     time.Duration
	msgs    map[string]*told
	open    []string // in order of arrival
	eps     map[string]*place
	waits   map[string]time.Duration // by route
	rests   map[string]time.Duration // by key
	out     map[attempt]*flight
	calls   int
	sends   []Send
	backs   []Refuse
	fails   []Fail
	probes  []Probe
	wakes   []time.Duration
	log     []string
	batched map[string]int
	barred  map[string]bool
}

type told struct {
	MessageArrived
	class    Class
	attempts int
	out      int
	touched  bool
	first    time.Duration
	zone     int
	ended    bool
}

type place struct {
	Entry
	closed bool
}

type flight struct {
	Send
	sent time.Duration
	slot bool
}

func newStory(t testing.TB, cfg Settings, seed uint64) *story {
	return &story{
		t: t, cfg: cfg, s: New(cfg, seed), now: time.Hour, msgs: map[string]*told{}, eps: map[string]*place{},
		waits: map[string]time.Duration{}, rests: map[string]time.Duration{}, out: map[attempt]*flight{},
		barred: map[string]bool{},
	}
}

func (w *story) apart(kind int) bool {
	return kind < len(w.cfg.Kinds) && w.cfg.Kinds[kind].SeparateRoutes
}

func (w *story) route(ep string) string {
	p := w.eps[ep]
	if w.apart(p.Kind) {
		return ep
	}
	return fmt.Sprint("dest ", p.Dest)
}

// step records the events, passes them to the sender and checks each action.
func (w *story) step(after time.Duration, events ...Event) {
	w.t.Helper()
	w.now += after
	var waits []func()
	for _, e := range events {
		switch e := e.(type) {
		case ListUpdate:
			if e.Complete {
				for _, p := range w.eps {
					p.closed = true
				}
			}
			for _, en := range e.Entries {
				w.eps[en.Endpoint] = &place{en, en.Phase != Ready}
			}
		case EndpointDisabled:
			w.barred[e.Endpoint] = !e.Lifted
		case MessageArrived:
			m := &told{MessageArrived: e}
			if e.Class >= 0 && e.Class < len(w.cfg.Classes) {
				m.class = w.cfg.Classes[e.Class]
			}
			w.msgs[e.ID] = m
			w.open = append(w.open, e.ID)
		case MessageAbandoned:
			if m := w.msgs[e.ID]; m != nil {
				m.ended = true
			}
		case AttemptEnded:
			f := w.out[attempt{e.ID, e.Attempt}]
			if f == nil {
				continue
			}
			delete(w.out, attempt{e.ID, e.Attempt})
			if f.slot {
				w.calls--
			}
			m := w.msgs[e.ID]
			m.out--
			if e.Final {
				m.ended = true
			}
			ran := e.Outcome == ServerError || e.Outcome == TimedOut || e.Outcome == ConnectionBroken || e.Outcome == Canceled
			if ran && (!m.touched || f.sent < m.first) {
				m.touched, m.first, m.zone = true, f.sent, w.eps[e.Endpoint].Zone
			}
			if ran && e.Outcome != ServerError && m.class.Ordered {
				w.rests[m.Key] = max(w.rests[m.Key], w.now+w.cfg.KeyPause)
			}
			if e.Outcome == Rejected && e.RetryAfter > 0 {
				r, until := w.route(e.Endpoint), w.now+e.RetryAfter
				waits = append(waits, func() { w.waits[r] = max(w.waits[r], until) })
			}
		}
	}
	for _, f := range waits {
		f() // stricter than the rule: the reply to the batch that brought a retry-after must already obey it
	}
	w.batched = map[string]int{}
	for _, a := range w.s.Step(w.now, events) {
		w.check(a)
	}
}

func (w *story) check(a Action) {
	w.t.Helper()
	w.log = append(w.log, fmt.Sprintf("%v %#v", w.now, a))
	switch a := a.(type) {
	case Send:
		w.checkSend(a)
	case Refuse:
		m := w.end(a.ID)
		free := m.class.Effect == Idempotent || (!m.touched && m.out == 0)
		inside := m.class.Effect == Deduplicated && m.touched && m.class.DedupEverywhere && w.now <= m.first+m.class.DedupWindow
		if !free && !inside {
			w.t.Fatalf("%v: refused %+v, which may have run", w.now, m)
		}
		w.backs = append(w.backs, a)
	case Fail:
		w.end(a.ID)
		w.fails = append(w.fails, a)
	case Wake:
		w.wakes = append(w.wakes, a.At)
	case Probe:
		if !w.cfg.MayProbe {
			w.t.Fatal("a probe although the settings allow none")
		}
		w.probes = append(w.probes, a)
	case Cancel:
		if !w.cfg.MayCancel || w.out[attempt{a.ID, a.Attempt}] == nil {
			w.t.Fatalf("%v is not allowed, or the attempt is not out", a)
		}
	}
}

func (w *story) end(id string) *told {
	w.t.Helper()
	m := w.msgs[id]
	if m == nil || m.ended {
		w.t.Fatalf("%v: %s has ended before or is unknown", w.now, id)
	}
	if w.now > m.Deadline+w.cfg.AnswerGrace {
		w.t.Fatalf("%v: %s ended after its deadline", w.now, id)
	}
	m.ended = true
	return m
}

func (w *story) checkSend(a Send) {
	w.t.Helper()
	m, p := w.msgs[a.ID], w.eps[a.Endpoint]
	switch {
	case m == nil || m.ended:
		w.t.Fatalf("%v: sent %s, which has ended or is unknown", w.now, a.ID)
	case p == nil || p.Dest != m.Dest:
		w.t.Fatalf("%v: sent %s to %s, which is not of its destination", w.now, a.ID, a.Endpoint)
	case w.barred[a.Endpoint]:
		w.t.Fatalf("%v: sent to disabled endpoint %s", w.now, a.Endpoint)
	case p.closed:
		w.t.Fatalf("%v: sent to endpoint %s, which is not Ready", w.now, a.Endpoint)
	case w.now < w.waits[w.route(a.Endpoint)]:
		w.t.Fatalf("%v: sent to %s before the end of a wait", w.now, a.Endpoint)
	case m.class.Effect == AtMostOnce && (m.touched || m.out > 0):
		w.t.Fatalf("%v: AtMostOnce message %s sent again", w.now, a.ID)
	case m.class.Effect == Deduplicated && m.touched && w.now > m.first+m.class.DedupWindow:
		w.t.Fatalf("%v: Deduplicated message %s sent after its window", w.now, a.ID)
	case m.class.Effect == Deduplicated && m.touched && (a.StartBy <= w.now || a.StartBy >= m.first+m.class.DedupWindow):
		w.t.Fatalf("%v: Deduplicated message %s may start until %v, its window ends at %v", w.now, a.ID, a.StartBy, m.first+m.class.DedupWindow)
	case m.class.Effect == Deduplicated && m.touched && !m.class.DedupEverywhere && p.Zone != m.zone:
		w.t.Fatalf("%v: Deduplicated message %s sent to another zone", w.now, a.ID)
	case m.out > 0 && !w.cfg.MayDuplicate:
		w.t.Fatalf("%v: two attempts of %s are out", w.now, a.ID)
	case w.cfg.MaxAttempts > 0 && m.attempts >= w.cfg.MaxAttempts:
		w.t.Fatalf("%v: too many attempts of %s", w.now, a.ID)
	}
	if m.class.Ordered && m.Key != "" {
		if w.now < w.rests[m.Key] && m.attempts == 0 {
			w.t.Fatalf("%v: sent %s during the pause of its key", w.now, a.ID)
		}
		for _, id := range w.open {
			o := w.msgs[id]
			if o == m {
				break
			}
			if o.class.Ordered && o.Key == m.Key && (!o.ended || o.out > 0) {
				w.t.Fatalf("%v: sent %s before %s, which comes first", w.now, a.ID, id)
			}
		}
	}
	batch := 1
	if p.Kind < len(w.cfg.Kinds) {
		batch = max(w.cfg.Kinds[p.Kind].MaxBatch, 1)
	}
	slot := w.batched[a.Endpoint]%batch == 0
	w.batched[a.Endpoint]++
	if slot {
		w.calls++
	}
	if w.cfg.Slots > 0 && w.calls > w.cfg.Slots {
		w.t.Fatalf("%v: more calls are out than there are slots", w.now)
	}
	w.out[attempt{a.ID, m.attempts}] = &flight{a, w.now, slot}
	m.attempts++
	m.out++
	w.sends = append(w.sends, a)
}

// attemptsOut lists the attempts that are out, in a fixed order.
func (w *story) flights() []attempt {
	var list []attempt
	for a := range w.out {
		list = append(list, a)
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].id < list[j].id || (list[i].id == list[j].id && list[i].n < list[j].n)
	})
	return list
}

// outcome returns the end of the only attempt of a message that is out.
func (w *story) outcome(id string, o Outcome, wait time.Duration) AttemptEnded {
	w.t.Helper()
	for a, f := range w.out {
		if a.id == id {
			return AttemptEnded{
				ID: id, Attempt: a.n, Endpoint: f.Endpoint, Outcome: o, Took: w.now - f.sent, Final: o == Success, RetryAfter: wait,
			}
		}
	}
	w.t.Fatalf("%v: no attempt of %s is out", w.now, id)
	return AttemptEnded{}
}

// idle advances the clock.
func (w *story) quiet(span time.Duration) {
	for end := w.now + span; w.now < end; {
		w.step(10*ms, WakeDue{Tag: "sweep"})
	}
}

// finish lets every message end and checks that none is lost.
func (w *story) finish() {
	w.t.Helper()
	for i := 0; i < 20000 && (len(w.out) > 0 || w.unended() != ""); i++ {
		var events []Event
		for _, a := range w.flights() {
			f := w.out[a]
			if w.now+10*ms >= f.TimeoutAt {
				events = append(events, AttemptEnded{ID: a.id, Attempt: a.n, Endpoint: f.Endpoint, Outcome: TimedOut, Took: w.now - f.sent})
			}
		}
		w.step(10*ms, append(events, WakeDue{Tag: "sweep"})...)
	}
	if id := w.unended(); id != "" {
		w.t.Fatalf("%v: %s was lost", w.now, id)
	}
}

func (w *story) unended() string {
	for _, id := range w.open {
		if !w.msgs[id].ended {
			return id
		}
	}
	return ""
}

func settings() Settings {
	return Settings{
		Classes: []Class{
			{SoftDeadline: 2 * time.Second, Deadline: 10 * time.Second, Worth: 1, LateWorth: 0.3},
			{SoftDeadline: 2 * time.Second, Deadline: 10 * time.Second, Worth: 2, LateWorth: 0.3, Effect: Deduplicated, DedupWindow: 4 * time.Second, DedupEverywhere: true},
			{SoftDeadline: 2 * time.Second, Deadline: 10 * time.Second, Worth: 3, LateWorth: 0.3, Effect: AtMostOnce},
		},
		Kinds:     []Kind{{}, {SeparateRoutes: true}, {MaxBatch: 3}},
		FleetSize: 2, Slots: 6, MaxOpen: 60, MaxAttempts: 5, MayCancel: true, Tick: 5 * ms,
		MaxRetryAfter: 2 * time.Second, AnswerGrace: 20 * ms, CollapseMultiple: 2, CollapseSpan: 2 * time.Second, SlowStartShare: 0.3,
		SlowStartDuration: 8 * time.Second, KeyPause: 300 * ms, WeightIsRate: true,
	}
}

func list(entries ...Entry) ListUpdate { return ListUpdate{Complete: true, Entries: entries} }

func (w *story) arrive(id string, class, dest int) MessageArrived {
	d := 10 * time.Second
	if class >= 0 && class < len(w.cfg.Classes) {
		d = w.cfg.Classes[class].Deadline
	}
	return MessageArrived{ID: id, Class: class, Dest: dest, Deadline: w.now + d}
}

// randomScenario runs thousands of steps of random events; the checker verifies each.
func randomStory(t testing.TB, seed uint64, steps int) *story {
	return interruptedStory(t, seed, steps, func(int, *story) {})
}

// interruptedScenario is a randomScenario that calls a function before each step.
func interruptedStory(t testing.TB, seed uint64, steps int, between func(int, *story)) *story {
	rng := rand.New(rand.NewPCG(seed, 1))
	cfg := settings()
	pick := func(p float64) bool { return rng.Float64() < p }
	for i := range cfg.Classes {
		cfg.Classes[i].Ordered = pick(0.5)
		cfg.Classes[i].DedupEverywhere = pick(0.5)
		cfg.Classes[i].Deadline = time.Duration(2+rng.IntN(8)) * time.Second
	}
	cfg.Slots, cfg.MaxAttempts, cfg.MayCancel = rng.IntN(8), rng.IntN(6), pick(0.7)
	cfg.WorthHalves, cfg.WatchOnRequest, cfg.RoughWeights = pick(0.5), pick(0.3), pick(0.5)
	cfg.MaxOpen = rng.IntN(80)
	if pick(0.3) {
		cfg.Tenants = []Tenant{{PerSecond: 3}, {PerSecond: 1}}
	}
	w := newStory(t, cfg, seed)
	var all []Entry
	for i := range 12 {
		all = append(all, Entry{Endpoint: fmt.Sprint("e", i), Dest: i % 5, Kind: i % 5 % 3, Zone: i % 2, Weight: 8})
	}
	w.step(0, list(all...))
	mood := map[string]float64{}
	for n := range steps {
		between(n, w)
		var events []Event
		for _, a := range w.flights() {
			f := w.out[a]
			age := w.now - f.sent
			late := w.now+5*ms >= f.TimeoutAt
			if !late && !pick(0.05) {
				continue
			}
			e := AttemptEnded{ID: a.id, Attempt: a.n, Endpoint: f.Endpoint, Took: age}
			switch {
			case late:
				e.Outcome = TimedOut
			case pick(mood[f.Endpoint]):
				e.Outcome = Outcome(1 + rng.IntN(7))
				if e.Outcome == Rejected && pick(0.6) {
					e.RetryAfter = time.Duration(rng.IntN(3000)) * ms
				}
			}
			e.Final = e.Outcome == Success || w.msgs[a.id].ended
			if pick(0.3) {
				e.Report = Report{Left: rng.Float64()*3 - 1, Limit: rng.Float64()*20 - 2, HasLeft: true, HasLimit: true}
			}
			// The messages of one call normally have the same outcome; here the outcomes differ, which is
			// harder.
			events = append(events, e)
		}
		for range rng.IntN(3) {
			if pick(0.6) {
				a := w.arrive(fmt.Sprint("m", n, "-", len(events)), rng.IntN(3), rng.IntN(6))
				a.Key, a.Tenant = fmt.Sprint("k", rng.IntN(6)), rng.IntN(2)
				events = append(events, a)
			}
		}
		if pick(0.02) {
			mood[fmt.Sprint("e", rng.IntN(12))] = rng.Float64() * 1.2
		}
		if pick(0.02) {
			e := all[rng.IntN(len(all))]
			e.Phase = Phase(rng.IntN(3))
			events = append(events, ListUpdate{Entries: []Entry{e}})
		}
		if pick(0.005) {
			events = append(events, list(all[rng.IntN(6):]...))
		}
		if pick(0.005) {
			events = append(events, ListUpdate{Failed: true})
		}
		if len(w.open) > 0 && pick(0.01) {
			events = append(events, MessageAbandoned{ID: w.open[rng.IntN(len(w.open))]})
		}
		if pick(0.01) {
			events = append(events, AttemptEnded{ID: "nobody", Endpoint: "e0"}, ProbeEnded{Endpoint: "nowhere", Outcome: ServerError})
		}
		w.step(time.Duration(5*(1+rng.IntN(4)))*ms, append(events, WakeDue{Tag: "sweep"})...)
	}
	w.finish()
	return w
}
