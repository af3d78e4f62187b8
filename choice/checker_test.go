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
type scenario struct {
	t          testing.TB
	cfg        Settings
	sender     *Sender
	now        time.Duration
	messages   map[string]*trackedMessage
	open       []string // in order of arrival
	endpoints  map[string]*trackedEndpoint
	routeWaits map[string]time.Duration // by route
	keyPauses  map[string]time.Duration // by key
	pending    map[attempt]*trackedAttempt
	callsOut   int
	sends      []Send
	refusals   []Refuse
	fails      []Fail
	probes     []Probe
	wakes      []time.Duration
	log        []string
	stepSends  map[string]int
	disabled   map[string]bool
}

type trackedMessage struct {
	MessageArrived
	class           Class
	attempts        int
	attemptsOut     int
	mayHaveRun      bool
	mayHaveRunSince time.Duration
	mayHaveRunZone  int
	ended           bool
}

type trackedEndpoint struct {
	Entry
	notReady bool
}

type trackedAttempt struct {
	Send
	sentAt  time.Duration
	ownSlot bool
}

func newScenario(t testing.TB, cfg Settings, seed uint64) *scenario {
	return &scenario{
		t: t, cfg: cfg, sender: New(cfg, seed), now: time.Hour, messages: map[string]*trackedMessage{}, endpoints: map[string]*trackedEndpoint{},
		routeWaits: map[string]time.Duration{}, keyPauses: map[string]time.Duration{}, pending: map[attempt]*trackedAttempt{},
		disabled: map[string]bool{},
	}
}

func (w *scenario) separateRoutes(kind int) bool {
	return kind < len(w.cfg.Kinds) && w.cfg.Kinds[kind].SeparateRoutes
}

func (w *scenario) route(ep string) string {
	p := w.endpoints[ep]
	if w.separateRoutes(p.Kind) {
		return ep
	}
	return fmt.Sprint("dest ", p.Dest)
}

// step records the events, passes them to the sender and checks each action.
func (w *scenario) step(after time.Duration, events ...Event) {
	w.t.Helper()
	w.now += after
	var waits []func()
	for _, e := range events {
		switch e := e.(type) {
		case ListUpdate:
			if e.Complete {
				for _, p := range w.endpoints {
					p.notReady = true
				}
			}
			for _, en := range e.Entries {
				w.endpoints[en.Endpoint] = &trackedEndpoint{en, en.Phase != Ready}
			}
		case EndpointDisabled:
			w.disabled[e.Endpoint] = !e.Lifted
		case MessageArrived:
			m := &trackedMessage{MessageArrived: e}
			if e.Class >= 0 && e.Class < len(w.cfg.Classes) {
				m.class = w.cfg.Classes[e.Class]
			}
			w.messages[e.ID] = m
			w.open = append(w.open, e.ID)
		case MessageAbandoned:
			if m := w.messages[e.ID]; m != nil {
				m.ended = true
			}
		case AttemptEnded:
			f := w.pending[attempt{e.ID, e.Attempt}]
			if f == nil {
				continue
			}
			delete(w.pending, attempt{e.ID, e.Attempt})
			if f.ownSlot {
				w.callsOut--
			}
			m := w.messages[e.ID]
			m.attemptsOut--
			if e.Final {
				m.ended = true
			}
			ran := e.Outcome == ServerError || e.Outcome == TimedOut || e.Outcome == ConnectionBroken || e.Outcome == Canceled
			if ran && (!m.mayHaveRun || f.sentAt < m.mayHaveRunSince) {
				m.mayHaveRun, m.mayHaveRunSince, m.mayHaveRunZone = true, f.sentAt, w.endpoints[e.Endpoint].Zone
			}
			if ran && e.Outcome != ServerError && m.class.Ordered {
				w.keyPauses[m.Key] = max(w.keyPauses[m.Key], w.now+w.cfg.KeyPause)
			}
			if e.Outcome == Rejected && e.RetryAfter > 0 {
				r, until := w.route(e.Endpoint), w.now+e.RetryAfter
				waits = append(waits, func() { w.routeWaits[r] = max(w.routeWaits[r], until) })
			}
		}
	}
	for _, f := range waits {
		f() // stricter than the rule: the reply to the batch that brought a retry-after must already obey it
	}
	w.stepSends = map[string]int{}
	for _, a := range w.sender.Step(w.now, events) {
		w.check(a)
	}
}

func (w *scenario) check(a Action) {
	w.t.Helper()
	w.log = append(w.log, fmt.Sprintf("%v %#v", w.now, a))
	switch a := a.(type) {
	case Send:
		w.checkSend(a)
	case Refuse:
		m := w.endMessage(a.ID)
		harmless := m.class.Effect == Idempotent || (!m.mayHaveRun && m.attemptsOut == 0)
		insideWindow := m.class.Effect == Deduplicated && m.mayHaveRun && m.class.DedupEverywhere && w.now <= m.mayHaveRunSince+m.class.DedupWindow
		if !harmless && !insideWindow {
			w.t.Fatalf("%v: refused %+v, which may have run", w.now, m)
		}
		w.refusals = append(w.refusals, a)
	case Fail:
		w.endMessage(a.ID)
		w.fails = append(w.fails, a)
	case Wake:
		w.wakes = append(w.wakes, a.At)
	case Probe:
		if !w.cfg.MayProbe {
			w.t.Fatal("a probe although the settings allow none")
		}
		w.probes = append(w.probes, a)
	case Cancel:
		if !w.cfg.MayCancel || w.pending[attempt{a.ID, a.Attempt}] == nil {
			w.t.Fatalf("%v is not allowed, or the attempt is not out", a)
		}
	}
}

func (w *scenario) endMessage(id string) *trackedMessage {
	w.t.Helper()
	m := w.messages[id]
	if m == nil || m.ended {
		w.t.Fatalf("%v: %s has ended before or is unknown", w.now, id)
	}
	if w.now > m.Deadline+w.cfg.AnswerGrace {
		w.t.Fatalf("%v: %s ended after its deadline", w.now, id)
	}
	m.ended = true
	return m
}

func (w *scenario) checkSend(a Send) {
	w.t.Helper()
	m, p := w.messages[a.ID], w.endpoints[a.Endpoint]
	switch {
	case m == nil || m.ended:
		w.t.Fatalf("%v: sent %s, which has ended or is unknown", w.now, a.ID)
	case p == nil || p.Dest != m.Dest:
		w.t.Fatalf("%v: sent %s to %s, which is not of its destination", w.now, a.ID, a.Endpoint)
	case w.disabled[a.Endpoint]:
		w.t.Fatalf("%v: sent to disabled endpoint %s", w.now, a.Endpoint)
	case p.notReady:
		w.t.Fatalf("%v: sent to endpoint %s, which is not Ready", w.now, a.Endpoint)
	case w.now < w.routeWaits[w.route(a.Endpoint)]:
		w.t.Fatalf("%v: sent to %s before the end of a wait", w.now, a.Endpoint)
	case m.class.Effect == AtMostOnce && (m.mayHaveRun || m.attemptsOut > 0):
		w.t.Fatalf("%v: AtMostOnce message %s sent again", w.now, a.ID)
	case m.class.Effect == Deduplicated && m.mayHaveRun && w.now > m.mayHaveRunSince+m.class.DedupWindow:
		w.t.Fatalf("%v: Deduplicated message %s sent after its window", w.now, a.ID)
	case m.class.Effect == Deduplicated && m.mayHaveRun && (a.StartBy <= w.now || a.StartBy >= m.mayHaveRunSince+m.class.DedupWindow):
		w.t.Fatalf("%v: Deduplicated message %s may start until %v, its window ends at %v", w.now, a.ID, a.StartBy, m.mayHaveRunSince+m.class.DedupWindow)
	case m.class.Effect == Deduplicated && m.mayHaveRun && !m.class.DedupEverywhere && p.Zone != m.mayHaveRunZone:
		w.t.Fatalf("%v: Deduplicated message %s sent to another zone", w.now, a.ID)
	case m.attemptsOut > 0 && !w.cfg.MayDuplicate:
		w.t.Fatalf("%v: two attempts of %s are out", w.now, a.ID)
	case w.cfg.MaxAttempts > 0 && m.attempts >= w.cfg.MaxAttempts:
		w.t.Fatalf("%v: too many attempts of %s", w.now, a.ID)
	}
	if m.class.Ordered && m.Key != "" {
		if w.now < w.keyPauses[m.Key] && m.attempts == 0 {
			w.t.Fatalf("%v: sent %s during the pause of its key", w.now, a.ID)
		}
		for _, id := range w.open {
			o := w.messages[id]
			if o == m {
				break
			}
			if o.class.Ordered && o.Key == m.Key && (!o.ended || o.attemptsOut > 0) {
				w.t.Fatalf("%v: sent %s before %s, which comes first", w.now, a.ID, id)
			}
		}
	}
	batch := 1
	if p.Kind < len(w.cfg.Kinds) {
		batch = max(w.cfg.Kinds[p.Kind].MaxBatch, 1)
	}
	slot := w.stepSends[a.Endpoint]%batch == 0
	w.stepSends[a.Endpoint]++
	if slot {
		w.callsOut++
	}
	if w.cfg.Slots > 0 && w.callsOut > w.cfg.Slots {
		w.t.Fatalf("%v: more calls are out than there are slots", w.now)
	}
	w.pending[attempt{a.ID, m.attempts}] = &trackedAttempt{a, w.now, slot}
	m.attempts++
	m.attemptsOut++
	w.sends = append(w.sends, a)
}

// attemptsOut lists the attempts that are out, in a fixed order.
func (w *scenario) attemptsOut() []attempt {
	var list []attempt
	for a := range w.pending {
		list = append(list, a)
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].id < list[j].id || (list[i].id == list[j].id && list[i].number < list[j].number)
	})
	return list
}

// outcome returns the end of the only attempt of a message that is out.
func (w *scenario) outcome(id string, o Outcome, wait time.Duration) AttemptEnded {
	w.t.Helper()
	for a, f := range w.pending {
		if a.id == id {
			return AttemptEnded{
				ID: id, Attempt: a.number, Endpoint: f.Endpoint, Outcome: o, Took: w.now - f.sentAt, Final: o == Success, RetryAfter: wait,
			}
		}
	}
	w.t.Fatalf("%v: no attempt of %s is out", w.now, id)
	return AttemptEnded{}
}

// idle advances the clock.
func (w *scenario) idle(span time.Duration) {
	for end := w.now + span; w.now < end; {
		w.step(10*ms, WakeDue{Tag: "sweep"})
	}
}

// finish lets every message end and checks that none is lost.
func (w *scenario) finish() {
	w.t.Helper()
	for i := 0; i < 20000 && (len(w.pending) > 0 || w.firstOpen() != ""); i++ {
		var events []Event
		for _, a := range w.attemptsOut() {
			f := w.pending[a]
			if w.now+10*ms >= f.TimeoutAt {
				events = append(events, AttemptEnded{ID: a.id, Attempt: a.number, Endpoint: f.Endpoint, Outcome: TimedOut, Took: w.now - f.sentAt})
			}
		}
		w.step(10*ms, append(events, WakeDue{Tag: "sweep"})...)
	}
	if id := w.firstOpen(); id != "" {
		w.t.Fatalf("%v: %s was lost", w.now, id)
	}
}

func (w *scenario) firstOpen() string {
	for _, id := range w.open {
		if !w.messages[id].ended {
			return id
		}
	}
	return ""
}

func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{SoftDeadline: 2 * time.Second, Deadline: 10 * time.Second, Worth: 1, LateWorth: 0.3},
			{SoftDeadline: 2 * time.Second, Deadline: 10 * time.Second, Worth: 2, LateWorth: 0.3, Effect: Deduplicated,
				DedupWindow: 4 * time.Second, DedupEverywhere: true},
			{SoftDeadline: 2 * time.Second, Deadline: 10 * time.Second, Worth: 3, LateWorth: 0.3, Effect: AtMostOnce},
		},
		Kinds:     []Kind{{}, {SeparateRoutes: true}, {MaxBatch: 3}},
		FleetSize: 2, Slots: 6, MaxOpen: 60, MaxAttempts: 5, MayCancel: true, Tick: 5 * ms,
		MaxRetryAfter: 2 * time.Second, AnswerGrace: 20 * ms, CollapseMultiple: 2, CollapseSpan: 2 * time.Second, SlowStartShare: 0.3,
		SlowStartDuration: 8 * time.Second, KeyPause: 300 * ms, WeightIsRate: true,
	}
}

func completeList(entries ...Entry) ListUpdate { return ListUpdate{Complete: true, Entries: entries} }

func (w *scenario) newMessage(id string, class, dest int) MessageArrived {
	d := 10 * time.Second
	if class >= 0 && class < len(w.cfg.Classes) {
		d = w.cfg.Classes[class].Deadline
	}
	return MessageArrived{ID: id, Class: class, Dest: dest, Deadline: w.now + d}
}

// randomScenario runs thousands of steps of random events; the checker verifies each.
func randomScenario(t testing.TB, seed uint64, steps int) *scenario {
	return interruptedScenario(t, seed, steps, func(int, *scenario) {})
}

// interruptedScenario is a randomScenario that calls a function before each step.
func interruptedScenario(t testing.TB, seed uint64, steps int, between func(int, *scenario)) *scenario {
	rng := rand.New(rand.NewPCG(seed, 1))
	cfg := testSettings()
	chance := func(p float64) bool { return rng.Float64() < p }
	for i := range cfg.Classes {
		cfg.Classes[i].Ordered = chance(0.5)
		cfg.Classes[i].DedupEverywhere = chance(0.5)
		cfg.Classes[i].Deadline = time.Duration(2+rng.IntN(8)) * time.Second
	}
	cfg.Slots, cfg.MaxAttempts, cfg.MayCancel = rng.IntN(8), rng.IntN(6), chance(0.7)
	cfg.WorthHalves, cfg.WatchOnRequest, cfg.RoughWeights = chance(0.5), chance(0.3), chance(0.5)
	cfg.MaxOpen = rng.IntN(80)
	if chance(0.3) {
		cfg.Tenants = []Tenant{{PerSecond: 3}, {PerSecond: 1}}
	}
	w := newScenario(t, cfg, seed)
	var all []Entry
	for i := range 12 {
		all = append(all, Entry{Endpoint: fmt.Sprint("e", i), Dest: i % 5, Kind: i % 5 % 3, Zone: i % 2, Weight: 8})
	}
	w.step(0, completeList(all...))
	failureRates := map[string]float64{}
	for n := range steps {
		between(n, w)
		var events []Event
		for _, a := range w.attemptsOut() {
			f := w.pending[a]
			age := w.now - f.sentAt
			late := w.now+5*ms >= f.TimeoutAt
			if !late && !chance(0.05) {
				continue
			}
			e := AttemptEnded{ID: a.id, Attempt: a.number, Endpoint: f.Endpoint, Took: age}
			switch {
			case late:
				e.Outcome = TimedOut
			case chance(failureRates[f.Endpoint]):
				e.Outcome = Outcome(1 + rng.IntN(7))
				if e.Outcome == Rejected && chance(0.6) {
					e.RetryAfter = time.Duration(rng.IntN(3000)) * ms
				}
			}
			e.Final = e.Outcome == Success || w.messages[a.id].ended
			if chance(0.3) {
				e.Report = Report{Left: rng.Float64()*3 - 1, Limit: rng.Float64()*20 - 2, HasLeft: true, HasLimit: true}
			}
			// The messages of one call normally have the same outcome; here the outcomes differ, which is
			// harder.
			events = append(events, e)
		}
		for range rng.IntN(3) {
			if chance(0.6) {
				a := w.newMessage(fmt.Sprint("m", n, "-", len(events)), rng.IntN(3), rng.IntN(6))
				a.Key, a.Tenant = fmt.Sprint("k", rng.IntN(6)), rng.IntN(2)
				events = append(events, a)
			}
		}
		if chance(0.02) {
			failureRates[fmt.Sprint("e", rng.IntN(12))] = rng.Float64() * 1.2
		}
		if chance(0.02) {
			e := all[rng.IntN(len(all))]
			e.Phase = Phase(rng.IntN(3))
			events = append(events, ListUpdate{Entries: []Entry{e}})
		}
		if chance(0.005) {
			events = append(events, completeList(all[rng.IntN(6):]...))
		}
		if chance(0.005) {
			events = append(events, ListUpdate{Failed: true})
		}
		if len(w.open) > 0 && chance(0.01) {
			events = append(events, MessageAbandoned{ID: w.open[rng.IntN(len(w.open))]})
		}
		if chance(0.01) {
			events = append(events, AttemptEnded{ID: "nobody", Endpoint: "e0"}, ProbeEnded{Endpoint: "nowhere", Outcome: ServerError})
		}
		w.step(time.Duration(5*(1+rng.IntN(4)))*ms, append(events, WakeDue{Tag: "sweep"})...)
	}
	w.finish()
	return w
}
