// Package choice makes the decisions of a delivery node: whether to admit or refuse a message, when to send
// it and to which endpoint, whether to try again, and when to give up. Its interface (Settings, Event,
// Action) is in types.go, the state that it keeps in state.go; all decisions and constants are here. A Sender
// is a deterministic state machine: time comes with Step, randomness from the seed, and senders share nothing
// with each other.
package choice

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// Gate. The bounds of the response time ratio are the best of the paper, BBC 60-80.
	gateUpper, gateLower = 80, 60
	// A slow destination's messages expire before the ratio reaches its bounds, so shares of the deadline are
	// bounds too.
	deadlineShut, deadlineOpen = 0.5, 1.0 / 3
	// A message that was never sent counts as this share of the deadline, just above the bound. It may be the
	// only sample that a gate gets; counted with all its time, a single one kept the gate closed for long.
	unsentShare  = 0.6
	smoothing    = 0.2               // weight of a sample when samples come often
	smoothSpan   = 2 * time.Second   // after a pause of this length a sample weighs more
	baselineSpan = 120 * time.Second // the baseline grows by a factor of e in this time
	// A failed attempt counts as at least so many soft deadlines. It must not close the gate alone, because
	// holding messages through an outage is better than refusing them. The time they are then held closes it
	// when it grows too long.
	failCharge    = 1.0
	floorResponse = 5 * time.Millisecond   // lower bound that keeps ratios finite
	gateTrial     = 500 * time.Millisecond // pause between trial messages of a closed, idle gate

	// Circuit breaker of a route.
	failWeight = 0.05                    // weight of a call in the share of failures over all routes
	chanceRun  = 0.02                    // a run of failures less likely than this, given that share, is no chance
	shutWait   = 2200 * time.Millisecond // a retry-after longer than the span of any limit means that the endpoint is shut
	trialFirst = 250 * time.Millisecond  // first pause before a half-open call,
	trialLast  = 1000 * time.Millisecond // and the longest, a fraction of the outages that matter
	sickCount  = 3                       // failures in a row that are an outage where failures are rare,
	sickSpan   = 2 * time.Second         // one less if no call succeeded for this time,
	rareCalls  = 0.5                     // or if fewer messages than this come within it
	// The load limit of a returning destination counts the calls of senders that know of the outage. A tenth
	// less than all of it leaves room for chance.
	knowingShare = 0.9
	// A sender takes less than its own demand: a busy destination may be asked for more than it can do.
	demandShare = 0.4
	roughWeight = 1.5 // a rough weight may be too high by this factor
	// Calls above the budget of a destination in slow start, up to so many times the square root of the
	// budget and so many more, are put down to chance.
	chanceRoots, chanceCalls = 2, 2

	// Connections.
	farApart    = 2.0              // with a mean gap of so many idle times between calls, two in five calls come before the connection is closed
	crowdedSpan = 30 * time.Second // idle connections are closed for this time after a sign of a full connection table
	roomGrow    = 2.0              // calls a second that are tried above the number known to fit
	wornSpan    = 10 * time.Second // reused connections are not trusted for this time after one broke under a call

	// Slots.
	slowFactor = 5                      // a call out for so many typical times makes its destination slow,
	slowLeast  = 700 * time.Millisecond // but not before this time, to ignore noise
	lostFactor = 10                     // after so many typical times an answer may be lost and not only late,
	lostLeast  = 350 * time.Millisecond // but not before this time
	slotSpan   = 2 * time.Second        // time constant of the decay of used slot time
	sendCharge = 10 * time.Millisecond  // slot time booked when a call starts, so that calls of the same moment alternate between destinations
	slowShare  = 0.4                    // share of the slots that all slow destinations together may hold

	// Pacing. Rate shares are in multiples of this sender's share of the traffic.
	partCut     = 0.6  // factor on the rate share at a rejection, once more for each in a row
	partLeast   = 0.05 // lower bound of a decrease
	partGrow    = 0.03 // increase in the time of one call at the own share, while calls succeed,
	partStay    = 0.1  // and the increase of its logarithm after a rejection, less than the next one decreases it
	partFirst   = 2.0  // above the own share at first, because sparse traffic is uneven,
	partMost    = 4.0  // and at most this; maxBurstCalls may go at once
	depthMost   = 3.0
	batchMost   = 0.9                    // where waiting messages share calls, keeping to the own share costs little
	weightSpan  = 30 * time.Second       // the share of the traffic is taken from first submissions within this time,
	weightPrior = 3.0                    // after as many seconds of an even share before the start
	firstSpan   = 300 * time.Millisecond // a message younger than this is a first submission
	demandSpan  = 10 * time.Second       // this sender's own demand is the arrivals within this time
	burstSpan   = 0.25                   // seconds of the rate that may go at once
	refusedRest = 120 * time.Millisecond // first pause after a rejection without a retry-after

	// Attempts.
	timeoutFactor = 6                      // timeout in typical times, where a repeat is allowed,
	timeoutGrow   = 1.5                    // growing with each failure in a row, so that a slow call succeeds in the end
	timeoutLeast  = 0.5                    // at least this share of the soft deadline: a repeat still fits in it,
	timeoutAims   = 2.0                    // and at most so many soft deadlines
	retryRest     = 100 * time.Millisecond // pause of a message after a failure, doubled each time
	drawPower     = 2                      // the probability of an endpoint falls with this power of its response time
	sweepEvery    = 10 * time.Millisecond  // minimum time between wakes,
	pollEvery     = 30 * time.Millisecond  // and the time between them while something waits
	endMargin     = 15 * time.Millisecond  // final answers are given this long before the deadline

	// Stopping. A call that is cut off may have run. A message that may be repeated is sent only if so many
	// typical times are left, one that may not only if there are more. The others are held for the next
	// process.
	leaveRoom, leaveRoomUnsafe = 2, 6
	leaveLeast                 = 300 * time.Millisecond
	leaveLeastUnsafe           = time.Second

	// A destination is forgotten this long after its last endpoint left the list.
	forgetAfter = 2 * time.Minute
)

// New returns the sender of a delivery node that has just started.
func New(cfg Settings, seed uint64) *Sender {
	source := rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)
	s := &Sender{
		cfg: cfg, source: source, rng: rand.New(source),
		dests: map[int]*destination{}, eps: map[string]*endpoint{}, msgs: map[string]*message{},
		lines: map[string][]*message{}, rests: map[string]time.Duration{}, sent: map[attempt]sending{},
		parted: map[string]time.Duration{}, barred: map[string]bool{},
		tenants: make([]tenant, len(cfg.Tenants)), crowded: map[int]time.Duration{},
	}
	s.cfg.FleetSize = max(cfg.FleetSize, 1)
	if cfg.WatchOnRequest {
		s.askAt = 1 // immediately
	}
	return s
}

// Step handles the events of a moment and returns the actions to take, in order.
func (s *Sender) Step(now time.Duration, events []Event) []Action {
	s.now, s.actions = now, nil
	if s.cameAt == 0 {
		s.cameAt = now // the clock may start at any value
	}
	// List changes and disabled endpoints come first: a drain takes effect in the step that reports it,
	// whatever comes before it in the batch.
	for _, e := range events {
		switch e := e.(type) {
		case ListUpdate:
			s.listed(e)
		case EndpointDisabled:
			s.bar(e)
		}
	}
	for _, e := range events {
		switch e := e.(type) {
		case MessageArrived:
			s.arrived(e)
		case MessageResumed:
			s.resumed(e)
		case AttemptEnded:
			s.ended(e)
		case ProbeEnded:
			s.probed(e)
		case MessageAbandoned:
			if m := s.msgs[e.ID]; m != nil {
				s.finish(m, nil)
			}
		case WakeDue:
			s.wakeAt = 0 // a rounded clock may wake the sender a little early
		case Stopping:
			s.leaveBy = e.By
		}
	}
	if s.askAt > 0 && now >= s.askAt {
		s.askAt = 0
		s.do(Watch{})
	}
	s.expire()
	s.release()
	s.preempt()
	s.arm()
	return s.actions
}

// scheduleWake asks to be woken when a message's time is up, and soon while one waits for a slot, a pause or
// the rate. The outcome of a call wakes the sender by itself; a sender without messages asks for no wake.
func (s *Sender) arm() {
	due := time.Duration(math.MaxInt64)
	if s.askAt > 0 {
		due = s.askAt
	}
	for _, m := range s.open {
		due = min(due, max(m.dropDead-endMargin-s.cfg.Tick, s.now+sweepEvery))
		if m.waits {
			due = min(due, s.now+pollEvery)
		}
	}
	if due < math.MaxInt64 && (s.wakeAt <= s.now || due < s.wakeAt) {
		s.wakeAt = due
		s.do(Wake{At: due, Tag: "sweep"})
	}
}

// updateList applies a list of endpoints. A complete list replaces the old one.
func (s *Sender) listed(l ListUpdate) {
	if l.Failed {
		s.asking = min(max(2*s.asking, trialFirst), time.Minute)
		if s.cfg.WatchOnRequest {
			s.askAt = s.now + s.asking
		}
		return
	}
	s.asking = 0
	if l.Complete {
		s.keepOnly(l.Entries)
	}
	for _, entry := range l.Entries {
		e := s.eps[entry.Endpoint]
		if e != nil && (entry.Phase == Gone || e.dest.id != entry.Dest) {
			s.drop(e)
		}
		if entry.Phase == Gone {
			continue
		}
		if e = s.eps[entry.Endpoint]; e == nil {
			d := s.destination(entry.Dest)
			e = &endpoint{id: entry.Endpoint, zone: entry.Zone, dest: d}
			s.eps[entry.Endpoint] = e
			d.endpoints = append(d.endpoints, e)
			d.kind = entry.Kind
			if e.route = d.shared; s.apart(d) {
				e.route = newRoute()
				e.route.waitUntil = s.parted[e.id] // the only state that outlives the removal of a route
			}
			if s.batch(d) > 1 {
				e.route.most, e.route.part = batchMost, min(e.route.part, batchMost)
			}
		}
		e.listed = entry.Phase == Ready
		e.ready = e.listed && !s.barred[e.id]
		if s.cfg.WeightIsRate && entry.Weight > 0 {
			e.route.weight = entry.Weight
		}
	}
	s.forget()
}

// setDisabled disables an endpoint or enables it again. It was restarted meanwhile and starts slowly, while
// the other endpoints of its route do not: so it has a budget of its own besides the route's, for its part of
// the route's capacity.
func (s *Sender) bar(b EndpointDisabled) {
	e := s.eps[b.Endpoint]
	switch {
	case !b.Lifted:
		s.barred[b.Endpoint] = true
		if e != nil {
			e.ready, e.warming = false, nil
		}
	case s.barred[b.Endpoint]:
		delete(s.barred, b.Endpoint)
		if e != nil {
			e.ready, e.warming = e.listed, newRoute()
			e.warming.weight = s.capacity(e.route) / float64(len(e.dest.endpoints))
			e.warming.struckAt, e.warming.coldFrom, e.warming.demand = s.now, s.now, 1
			e.warming.tokens, e.warming.tokensAt = s.rng.Float64(), s.now
		}
	}
}

func newRoute() *route { return &route{part: partFirst, most: partMost, tokens: 1} }

// handleArrival admits a message or refuses it immediately.
func (s *Sender) arrived(e MessageArrived) {
	if s.msgs[e.ID] != nil {
		return
	}
	m, d := s.take(e)
	if !s.admit(d, m) {
		s.finish(m, Refuse{ID: m.id, RetryAfter: s.retryAfter(m.gate)})
		return
	}
	s.hold(m, e.Key)
}

// registerMessage records a new message and its demand on the destination.
func (s *Sender) take(e MessageArrived) (*message, *destination) {
	d := s.destination(e.Dest)
	d.came, d.cameAt = d.rate(s.now)*seconds(demandSpan)+1, s.now
	class := s.class(e.Class)
	m := &message{
		id: e.ID, class: class, dest: d, arrived: s.now, dropDead: e.Deadline, worth: class.Worth,
		born: e.Deadline - class.Deadline, gate: s.gate(d, e.Class),
	}
	m.aim = min(class.SoftDeadline+span(class.SoftDeadlineStretch*seconds(e.Hint)), max(class.Deadline, class.SoftDeadline))
	if !s.inShare(e.Tenant) {
		m.worth *= s.cfg.OverShareWorth
	}
	if s.now-m.born < firstSpan {
		fade := math.Exp(-seconds(s.now-s.cameAt) / seconds(weightSpan))
		s.seen, s.came, s.cameAt = s.seen*fade+seconds(weightSpan)*(1-fade), s.came*fade+1, s.now
	}
	s.msgs[m.id] = m
	return m, d
}

// holdMessage queues an admitted message.
func (s *Sender) hold(m *message, key string) {
	s.open = append(s.open, m)
	if len(m.dest.waiting) == 0 {
		s.forgo(m.dest)
	}
	if m.class.Ordered && key != "" {
		m.key = key
		s.lines[m.key] = append(s.lines[m.key], m)
	}
	s.enqueue(m)
	for _, e := range m.dest.endpoints {
		if e.route.recovering() {
			e.route.demand += 1 / float64(len(m.dest.endpoints))
		}
		if e.warming != nil {
			e.warming.demand += 1 / float64(len(m.dest.endpoints))
		}
	}
}

// dropSavedTokens gives up what the slow start budget allowed while no message waited. Saved up over a large
// fleet it would be one call at the same moment from each sender that knows of the outage. The next call
// comes at a random moment of the rate.
func (s *Sender) forgo(d *destination) {
	for i, e := range d.endpoints {
		if r := e.route; (i == 0 || r != d.endpoints[0].route) && r.recovering() && s.outnumbers(r) {
			s.refill(r)
			r.tokens = min(r.tokens, s.rng.Float64())
		}
	}
}

// fleetExceedsBudget reports whether the fleet has more senders than a destination in slow start may get
// calls, chance included. One extra call of each sender is too much then.
func (s *Sender) outnumbers(r *route) bool {
	budget := s.cfg.CollapseMultiple * s.cfg.SlowStartShare * s.capacity(r) * seconds(s.cfg.CollapseSpan)
	return budget > 0 && float64(s.cfg.FleetSize) > budget+chanceRoots*math.Sqrt(budget)+chanceCalls
}

// handleResumed takes back a message from before a restart. It was admitted then, so the gate is not asked. A
// message that may have run and must not be repeated ends here. A known earlier failure may belong to an
// outage whose end this process did not see, so the routes there get a slow start.
func (s *Sender) resumed(e MessageResumed) {
	if s.msgs[e.ID] != nil {
		return
	}
	m, d := s.take(e.MessageArrived)
	m.attempts, m.touched = e.Attempts, e.MayHaveRun && m.class.Effect != Idempotent
	m.mayRun, m.zone = e.MayHaveRunSince, e.Zone
	if (m.touched && m.class.Effect == AtMostOnce) || s.spent(m) || s.now >= s.startBy(m) {
		s.giveUp(m)
		return
	}
	for _, ep := range d.endpoints {
		if r := ep.route; e.Failed && !r.recovering() {
			s.strike(r)
			r.sick, r.coldFrom = false, s.now
		}
	}
	s.hold(m, e.Key)
}

// withinTenantShare counts a request against its tenant's allowance, of which each sender has an equal part.
func (s *Sender) inShare(i int) bool {
	if i < 0 || i >= len(s.tenants) || s.cfg.Tenants[i].PerSecond <= 0 {
		return true
	}
	t, rate := &s.tenants[i], s.cfg.Tenants[i].PerSecond/float64(s.cfg.FleetSize)
	t.tokens = min(t.tokens+rate*seconds(s.now-t.at), 2*rate+1)
	t.at = s.now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// admit asks the gate, on arrival. It departs from the paper in two points: the bounds in shares of the
// deadline, and a share of the room for held messages, because one backlog must not turn away the messages of
// all others.
func (s *Sender) admit(d *destination, m *message) bool {
	if s.cfg.MaxOpen > 0 && len(d.waiting) > s.cfg.MaxOpen-len(s.open) {
		return false
	}
	g := m.gate
	if g.accepts(g.average, seconds(m.class.Deadline)) {
		return true
	}
	// Closed: with no message held and no call out, a single trial message lets the ratio fall. Overdue calls
	// don't count: one unanswered payout, which stays out for all its time, kept the gate closed as long.
	awaited := slices.ContainsFunc(d.calls, func(c *call) bool { return !s.overdue(c) })
	held := slices.ContainsFunc(d.waiting, func(o *message) bool { return o.gate == g })
	if !held && !awaited && s.now-g.lastTrial >= gateTrial {
		g.lastTrial = s.now
		return true
	}
	return false
}

// updateOpen moves the gate between its bounds and reports whether it is open.
func (g *gate) accepts(current, deadline float64) bool {
	base := max(g.baseline, seconds(floorResponse))
	upper, lower := gateUpper*base, gateLower*base
	if deadline > 0 {
		upper, lower = min(upper, deadlineShut*deadline), min(lower, deadlineOpen*deadline)
	}
	switch {
	case !g.seen:
		g.shut = current > upper
	case current > upper:
		g.shut = true
	case current < lower:
		g.shut = false
	}
	return !g.shut
}

// addSample adds a response time to the average, and keeps the lowest average as the baseline.
func (g *gate) sample(now time.Duration, sec float64) {
	if !g.seen {
		g.seen, g.average, g.baseline, g.at = true, sec, sec, now
		return
	}
	gap := seconds(now - g.at)
	w := max(smoothing, 1-math.Exp(-gap/seconds(smoothSpan)))
	g.average += w * (sec - g.average)
	g.baseline = min(g.baseline*math.Exp(gap/seconds(baselineSpan)), g.average)
	g.at = now
}

// retryAfter is the wait that a refused client is told, about as long as the backlog lasts.
func (s *Sender) retryAfter(g *gate) time.Duration {
	after := s.cfg.MaxRetryAfter
	if g.seen && !g.shut {
		after = min(after, span(g.average))
	}
	return after
}

// RetryAfterIfFull is the wait for a client whose message is refused before the gate because there is no
// room.
func (s *Sender) RetryAfterIfFull(class, dest int) time.Duration {
	return s.retryAfter(s.gate(s.destination(dest), class))
}

// KnowsDestination reports whether a destination is on the list, or was a short time ago.
func (s *Sender) KnowsDestination(dest int) bool { return s.dests[dest] != nil }

// IndicatesOutage reports whether an outcome is a sign of an outage that the next process should know of with
// its message. A rejection over a limit is none, nor is a canceled call, nor a reused connection that broke.
func (s *Sender) IndicatesOutage(dest int, e AttemptEnded) bool {
	switch e.Outcome {
	case Success, Stale, Canceled:
		return false
	case ConnectionBroken:
		return !e.ReusedConn
	case Rejected:
		d := s.dests[dest]
		struck := func(ep *endpoint) bool { return ep.route.recovering() }
		return e.RetryAfter > shutWait || (d != nil && slices.ContainsFunc(d.endpoints, struck))
	}
	return true
}

// endMessage ends a message; a is nil when it has ended without an action of this sender.
func (s *Sender) finish(m *message, a Action) {
	if m.over {
		return
	}
	m.over = true
	m.dest.dequeue(m)
	delete(s.msgs, m.id)
	s.trimLine(m.key)
	if a != nil {
		s.do(a)
	}
}

// canRefuse reports whether a refusal is true when it says that a new submission is harmless.
func (s *Sender) mayRefuse(m *message) bool {
	if m.class.Effect == Idempotent || (m.out == 0 && !m.touched) {
		return true
	}
	return m.class.Effect == Deduplicated && m.touched && m.class.DedupEverywhere && s.now <= s.windowEnd(m)
}

// dedupWindowEnd is the last moment at which the destination is certain to drop a repeat.
func (s *Sender) windowEnd(m *message) time.Duration {
	return m.mayRun + m.class.DedupWindow - endMargin - 2*s.cfg.Tick
}

// latestStart is the time until which an attempt may begin: while the message has time left, and for a repeat
// of a Deduplicated message early enough to reach the endpoint within the window. After it the message is
// given up, while it can still be refused.
func (s *Sender) startBy(m *message) time.Duration {
	by := m.dropDead - endMargin - 2*s.cfg.Tick
	if m.touched && m.class.Effect == Deduplicated {
		by = min(by, s.windowEnd(m)-2*pollEvery)
	}
	return by
}

// giveUp ends a message as its effect allows.
func (s *Sender) giveUp(m *message) {
	if s.mayRefuse(m) {
		s.finish(m, Refuse{ID: m.id, RetryAfter: s.retryAfter(m.gate)})
	} else {
		s.finish(m, Fail{ID: m.id})
	}
}

// expireMessages ends every open message in time, and removes the ended ones.
func (s *Sender) expire() {
	s.open = slices.DeleteFunc(s.open, func(m *message) bool {
		switch {
		case m.over:
		case s.now >= m.dropDead-endMargin-s.cfg.Tick && m.out == 0, s.now >= m.dropDead:
			// If messages of a class are never sent, this is the only sample of their gate; without it the
			// gate would stay open.
			if m.attempts == 0 && !m.dest.troubled() {
				m.gate.sample(s.now, min(seconds(s.now-m.arrived), unsentShare*seconds(m.class.Deadline)))
			}
			s.giveUp(m)
		case m.touched && m.out == 0 && s.now >= s.startBy(m):
			s.giveUp(m)
		}
		return m.over
	})
}

// handleAttemptEnd handles the outcome of an attempt.
func (s *Sender) ended(e AttemptEnded) {
	key := attempt{e.ID, e.Attempt}
	m, c := s.sent[key].m, s.sent[key].c
	if c == nil {
		return
	}
	delete(s.sent, key)
	if c.left--; c.left == 0 {
		s.hangEnd(c)
	}
	// A reused connection that breaks under a call is a sign about the connection and not about the
	// destination; so is a call without an answer when calls sent later have succeeded.
	worn := e.ReusedConn && e.Outcome == ConnectionBroken
	if worn {
		s.wornTil = s.now + wornSpan
	}
	lone := worn || (e.Outcome == TimedOut || e.Outcome == Canceled) && s.lost(c)
	s.report(c.ep.route, e.Report)
	s.judge(c, e, lone)
	if e.RetryAfter > 0 { // the answer to a batch may have a retry-after whatever the outcome of this message
		c.ep.route.waitUntil = max(c.ep.route.waitUntil, s.now+e.RetryAfter)
	}
	s.inherit(c.ep)
	m.out--
	ran := e.Outcome == ServerError || e.Outcome == TimedOut || e.Outcome == ConnectionBroken || e.Outcome == Canceled
	if ran && m.class.Effect != Idempotent && (!m.touched || c.sentAt < m.mayRun) {
		m.touched, m.mayRun, m.zone = true, c.sentAt, c.ep.zone
	}
	if ran && e.Outcome != ServerError && m.key != "" {
		s.restKey(m.key)
	}
	if m.over {
		s.trimLine(m.key)
		return // it ended meanwhile; its key and its place in the key's queue still needed the outcome
	}
	s.sample(m, c, e.Outcome, lone)
	switch {
	case e.Ambiguous: // a repeat might come after the message's end, a refusal might be untrue
		s.finish(m, Fail{ID: m.id})
	case e.Final || e.Outcome == Success:
		s.finish(m, nil)
	case m.out > 0: // another copy is out and may still succeed
	case s.now >= m.dropDead-endMargin, ran && m.class.Effect == AtMostOnce, s.spent(m):
		s.giveUp(m)
	default:
		if !worn && (ran || e.Outcome == Unreachable) {
			m.notBefore = s.now + retryRest<<min(m.attempts, 16)
		}
		s.enqueue(m)
	}
}

func (s *Sender) spent(m *message) bool {
	return s.cfg.MaxAttempts > 0 && m.attempts >= s.cfg.MaxAttempts
}

// sampleOutcome is the only place that turns outcomes into gate samples. An attempt that did not deliver
// counts as slow; with fast errors taken as they are, the ratio would look healthy while all calls fail. A
// rejection over a limit affects the pacing and is no sample: the wait that follows is part of the final one.
// For a message held through an outage only the time since the return counts, or the time of the call if that
// is longer. The time before says nothing about a new message, and the old backlog kept the gate closed for
// messages that could be delivered in time.
func (s *Sender) sample(m *message, c *call, o Outcome, lone bool) {
	if lone {
		return
	}
	sec := seconds(s.now - max(m.arrived, min(c.ep.route.coldFrom, c.sentAt)))
	switch o {
	case Success:
	case Stale, Canceled:
		return
	case Rejected:
		if !m.dest.troubled() {
			return
		}
		fallthrough
	default:
		sec = max(sec, failCharge*seconds(m.aim))
	}
	m.gate.sample(s.now, sec)
}

func (d *destination) troubled() bool {
	for _, e := range d.endpoints {
		if e.ready && !e.route.sick {
			return false
		}
	}
	return true
}

// recordReport stores what an endpoint reports about its limit; invalid values are skipped. The remaining
// share changes all the time: without a report none is assumed.
func (s *Sender) report(r *route, rep Report) {
	r.left = 0
	if rep.HasLimit && rep.Limit >= 0 && !math.IsInf(rep.Limit, 0) {
		r.reported, r.limit = true, rep.Limit
		if rep.HasLeft && rep.Left > 0 {
			r.left = min(rep.Left, 1)
		}
	}
}

// recordOutcome updates the health of an endpoint and its route from an outcome. With connectionOnly the
// outcome says something about its connection only.
func (s *Sender) judge(c *call, e AttemptEnded, lone bool) {
	ep, r, took := c.ep, c.ep.route, max(seconds(e.Took), seconds(floorResponse))
	if c.trial {
		r.trial = false
	}
	switch {
	case lone:
	case e.Outcome == Success:
		if took <= slowFactor*ep.usual {
			ep.provenAt = max(ep.provenAt, c.sentAt)
		}
		ep.usual = ease(ep.usual, took)
		ep.response = ease(ep.response, took)
		if r.fails > 0 && r.harmless && !r.sick && !s.cfg.FullTableRejects {
			s.crowded[ep.dest.kind] = s.now + crowdedSpan // a failed connect followed by a success: a full connection table
		}
		s.passed(r)
	case e.Outcome == Stale:
	case e.Outcome == Rejected && e.ConnClosed && !e.ReusedConn && e.RetryAfter == 0 && !r.sick:
		s.crowd(ep)
	case e.Outcome == Rejected:
		// Rejections in a row double the pause, whether over a limit or shut. They are no outage by
		// themselves: a large fleet gets three in a row at any busy limit.
		if s.now-r.waitUntil > r.rest {
			r.rest = refusedRest
		} else if s.now >= r.waitUntil { // not from the same call that told the wait
			r.rest *= 2
		}
		r.waitUntil = max(r.waitUntil, s.now+max(e.RetryAfter, r.rest))
		ep.response = ease(ep.response, 2*max(ep.response, took))
		// Rejected although there is no limit: a full queue, as of a destination that hangs.
		stuck := r.reported && r.limit == 0
		if shut := e.RetryAfter > shutWait; shut || stuck || r.sick {
			s.failure(ep, shut, true)
		} else {
			s.cut(c)
		}
	default:
		s.failed(ep, took, e.Outcome == Unreachable)
	}
	if c.left == 0 && e.Outcome != Unreachable && e.Outcome != Stale {
		s.giveBack(ep)
	}
}

// recordFailedCall records a call that failed.
func (s *Sender) failed(ep *endpoint, took float64, harmless bool) {
	ep.response = ease(ep.response, max(2*ep.response, took, seconds(slowLeast)))
	s.failure(ep, false, harmless)
}

// closeIdleConnections closes idle connections that get in the way of other senders: the connection table of
// an endpoint may be small, it counts idle connections, and a large fleet fills it. Connections are closed
// where the next call would hardly come before the idle timeout; calls come at random, most of them sooner
// than the mean gap. They are also closed at a kind of destination where connects failed recently; there it
// costs handshakes while the sign lasts.
func (s *Sender) giveBack(ep *endpoint) {
	unused := s.cfg.IdleConnTimeout > 0 && ep.gap > farApart*seconds(s.cfg.IdleConnTimeout)
	switch {
	case len(ep.dest.waiting) > 0:
	case unused || s.now < s.crowded[ep.dest.kind]:
		s.do(CloseIdle{Endpoint: ep.id})
	case ep.room > 0 && s.now-ep.crowdedAt < crowdedSpan:
		s.do(CloseIdle{Endpoint: ep.id, Keep: 1})
	}
}

// recordFullTable handles a new connection that was rejected and closed: the endpoint's connection table is
// full, while calls on the connections that it holds are still served. That is neither its limit nor an
// outage. Taken for a limit, it cut the rate to a quarter and stopped the calls that had a connection. As
// many calls as are out there fit, and slowly more are tried; lost calls, which hold a connection each, are
// canceled. This protects against any peer that sheds connections instead of calls. It could do harm at one
// that closes connections for everything above its limit: only the number of connections would reduce the
// rate there.
func (s *Sender) crowd(ep *endpoint) {
	if ep.out == 0 { // no call of this sender is there: others have to leave first
		ep.shyTil = s.now + refusedRest + time.Duration(s.rng.Int64N(int64(refusedRest)))
	}
	ep.room, ep.crowdedAt = float64(max(ep.out, 1)), s.now
	for _, c := range ep.dest.calls {
		if c.ep == ep && s.lost(c) {
			s.callOff(c)
		}
	}
}

// decreaseShare lowers the rate share at a rejection: below the own share immediately, and further with each
// rejection in a row. Where rejected calls use up the limit, a fleet that does not slow down gets nothing.
// The next call comes at a random moment of the new rate, so that the senders do not all come at once.
func (s *Sender) cut(c *call) {
	r := c.ep.route
	if c.sentAt < r.cutAt { // it was sent before the last decrease and is no new sign
		return
	}
	s.grow(r)
	r.refusals++
	r.cutAt = s.now
	r.part = max(min(r.part, 1)*math.Pow(partCut, float64(r.refusals)), partLeast)
	r.tokens = min(r.tokens, s.rng.Float64())
}

func ease(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + smoothing*(min(sample, 20*old)-old)
}

// recordFailure records a sign of an outage of any kind: refused connections, errors, silence, endpoints that
// are shut. An open breaker lets single half-open calls through, with growing pauses, and the slow start
// budget holds until the destination certainly has its full capacity again. One failure is no outage; a run
// of them is, if it is longer than the share of failures over all routes explains. So a lossy path of this
// node does not look like an outage of all destinations. Only calls that follow a success on their route
// count in that share, or an outage would raise the bar for itself. The runs of separate routes of one
// destination are added up, because an outage mostly affects all of them and each has few calls.
func (s *Sender) failure(ep *endpoint, sure, harmless bool) {
	r := ep.route
	r.harmless, r.partAt = harmless, s.now
	r.fails++
	if !r.sick {
		if r.fails == 1 {
			r.failedAt = s.now
			s.failing += failWeight * (1 - s.failing)
		}
		least := float64(sickCount)
		if s.now-r.failedAt >= sickSpan || ep.dest.rate(s.now)*seconds(sickSpan) < rareCalls {
			least--
		}
		run := max(least, math.Log(chanceRun)/math.Log(min(max(s.failing, 0.01), 0.7)))
		if least < sickCount && !harmless && s.outnumbers(r) {
			run = 1 // a second try of each sender is too much for the destination when it returns
		}
		fails := r.fails
		for _, mate := range ep.dest.endpoints {
			if mate.route != r {
				fails += mate.route.fails
			}
		}
		if sure || float64(fails) >= run {
			s.strike(r)
		}
	} else if s.now >= r.trialAt {
		r.backoff = min(2*r.backoff, trialLast)
		r.trialAt = s.now + r.backoff/2 + time.Duration(s.rng.Int64N(int64(r.backoff)))
	}
}

// openBreaker starts an outage. The tokens start at a random value below one call; otherwise the senders of a
// large fleet, most of which hold a single message, would all try at the same age of the outage.
func (s *Sender) strike(r *route) {
	if !r.recovering() {
		r.struckAt, r.demand = s.now, 1
		r.tokens, r.tokensAt = s.rng.Float64(), s.now
	}
	r.sick, r.backoff, r.coldFrom = true, trialFirst, 0
	r.trialAt = s.now + r.backoff
}

// recordSuccess records a delivered call: the end of an outage, a step of the slow start, or normal
// operation.
func (s *Sender) passed(r *route) {
	if !r.sick && r.fails == 0 {
		s.failing *= 1 - failWeight
	}
	r.rest, r.fails = 0, 0
	if gap := seconds(s.now - r.passedAt); gap > 1 {
		r.busiest = max(r.busiest, r.passed/gap)
		r.passed, r.passedAt = 0, s.now
	}
	r.passed++
	s.grow(r)
	r.refusals = 0
	switch {
	case r.sick:
		r.sick, r.coldFrom = false, s.now
	case r.coldFrom > 0 && s.now-r.coldFrom > s.cfg.SlowStartDuration:
		r.coldFrom = 0
	}
}

// recovering reports whether the route has an outage or is in slow start after one.
func (r *route) recovering() bool { return r.sick || r.coldFrom > 0 }

// capacity is a cautious estimate of the calls a second that the route takes from all senders at its full
// capacity.
func (s *Sender) capacity(r *route) float64 {
	switch {
	case r.limit > 0:
		return r.limit
	case r.weight > 0 && s.cfg.RoughWeights:
		return r.weight / roughWeight
	case r.weight > 0:
		return r.weight
	}
	return max(r.busiest, 1)
}

// pace is the number of calls a second that this sender may send on the route, and whether there is such a
// bound. Of the slow start budget a sender takes what its own demand since the start of the outage requires:
// over all senders this adds up to the demand on the destination, which it can handle at full capacity. In a
// large fleet senders learn of an outage one by one, each from a message of its own: without the demand span
// before it, their rates would add up to several times the budget. An even share would starve the few senders
// of a large fleet that hold messages, and waste the rest.
func (s *Sender) pace(r *route) (rate float64, bound bool) {
	if r.recovering() && s.cfg.CollapseSpan > 0 && s.cfg.CollapseMultiple > 0 {
		share := s.cfg.SlowStartShare
		if r.coldFrom > 0 && s.cfg.SlowStartDuration > 0 {
			share += (1 - share) * min(1, seconds(s.now-r.coldFrom)/seconds(s.cfg.SlowStartDuration))
		}
		even := s.capacity(r) / float64(s.cfg.FleetSize)
		own := r.demand / max(seconds(s.now-r.struckAt), seconds(s.cfg.CollapseSpan))
		if s.outnumbers(r) {
			own = r.demand / (seconds(s.now-r.struckAt) + seconds(demandSpan))
		}
		part := max(knowingShare*even, demandShare*min(own, s.capacity(r)))
		rate, bound = s.cfg.CollapseMultiple*share*part, true
	}
	limit := s.limit(r)
	own := min(1, r.part*s.weight()) * limit
	switch {
	case limit == 0:
		return rate, bound
	case bound: // a destination in slow start rejects over its limit, which rejected calls use up
		return min(rate, own), true
	}
	return own, true
}

// rateLimit is the known number of calls a second that the route takes from all senders, 0 for no limit.
func (s *Sender) limit(r *route) float64 {
	if !r.reported && r.weight > 0 {
		return r.weight
	}
	return r.limit
}

// arrivalRate is the recent number of messages a second for the destination at this sender.
func (d *destination) rate(now time.Duration) float64 {
	return d.came * math.Exp(-seconds(now-d.cameAt)/seconds(demandSpan)) / seconds(demandSpan)
}

// increaseShare gives back a rate share that was decreased. While calls succeed it grows by the same step for
// all, in the time of one call at the own share: growth in proportion to the rate share, or with each call,
// drove the shares of a fleet apart until half of it starved. After a rejection it grows by less in that time
// than the next rejection decreases it: a fleet whose shares recover between its rare calls keeps a limit
// overbooked for good.
func (s *Sender) grow(r *route) {
	calls := s.weight() * s.limit(r) * min(seconds(s.now-r.partAt), seconds(demandSpan))
	if r.refusals > 0 {
		r.part *= math.Exp(partStay * calls)
	} else {
		r.part += partGrow * calls
	}
	r.part, r.partAt = min(r.part, r.most), s.now
}

// trafficShare is this sender's share of the fleet's traffic: the first submissions here, out of those that
// the tenants' allowances let expect over all senders.
func (s *Sender) weight() float64 {
	even, all := 1/float64(s.cfg.FleetSize), 0.0
	for _, t := range s.cfg.Tenants {
		all += t.PerSecond
	}
	if all <= 0 {
		return even
	}
	fade := math.Exp(-seconds(s.now-s.cameAt) / seconds(weightSpan))
	seen := s.seen*fade + seconds(weightSpan)*(1-fade)
	return min(1, (s.came*fade/all+even*weightPrior)/(seen+weightPrior))
}

// refillTokens brings the token bucket up to the current time. During recovery no tokens are saved for a
// burst.
func (s *Sender) refill(r *route) {
	if !r.recovering() {
		s.grow(r)
	}
	rate, bound := s.pace(r)
	if !bound {
		r.tokens, r.tokensAt = 1, s.now
		return
	}
	most := max(1, burstSpan*rate)
	switch {
	case r.recovering():
		most = 1
	case r.most > 1:
		most = max(most, depthMost)
	}
	r.tokens = min(r.tokens+rate*seconds(s.now-r.tokensAt), most)
	r.tokensAt = s.now
}

// patience is how long a call may be out before that is far longer than typical, in seconds.
func (c *call) patience() float64 { return max(slowFactor*c.ep.usual, seconds(slowLeast)) }

// overdue reports whether a call has been out for so long that an answer is unlikely.
func (s *Sender) overdue(c *call) bool {
	return seconds(s.now-c.sentAt) > max(lostFactor*c.ep.usual, seconds(lostLeast))
}

// lost reports whether a call is overdue although one sent later to the same endpoint succeeded in the
// typical time. Its connection or its answer is gone, and its silence says nothing about the destination.
// Without this, single calls lost on the way, mainly payouts, which stay out for all their time, made every
// busy destination look slow and then opened its breaker. It also protects against answers that are dropped
// or held back one by one. It could do harm where an endpoint serves some calls fast and lets others hang
// forever: those hold slots beyond the slow share until none is free, and cancelStuckCalls takes them first.
func (s *Sender) lost(c *call) bool { return c.sentAt < c.ep.provenAt && s.overdue(c) }

// slow reports whether the oldest call of a destination, of those not lost, has been out far longer than
// typical. Before any timeout has passed, a silent and a very slow destination look like this. Its share of
// the slots is then limited.
func (s *Sender) slow(d *destination) bool {
	for _, c := range d.calls {
		if !s.lost(c) {
			return seconds(s.now-c.sentAt) > c.patience()
		}
	}
	return false
}

// updateSlotTime brings the recent slot time of the destination up to the current time.
func (d *destination) spend(now time.Duration) {
	fade := math.Exp(-seconds(now-d.usedAt) / seconds(slotSpan))
	d.used = d.used*fade + float64(len(d.calls))*seconds(slotSpan)*(1-fade)
	d.usedAt = now
}

// unresponsive reports whether a destination is slow, or the last call failed on each of its routes. When
// slots were few, first attempts at silent destinations held all of them.
func (s *Sender) lame(d *destination) bool {
	for _, e := range d.endpoints {
		if e.ready && e.route.fails == 0 {
			return s.slow(d)
		}
	}
	return true
}

// unresponsiveCalls counts the slots that unresponsive destinations hold.
func (s *Sender) lameHeld() int {
	n := 0
	for _, d := range s.active {
		if len(d.calls) == 0 || !s.lame(d) {
			continue
		}
		for _, c := range d.calls {
			if !s.lost(c) {
				n++
			}
		}
	}
	return n
}

// cancelStuckCalls cancels calls that are out far longer than typical while no slot is free: silence, whether
// of a few destinations or of a lossy path, must not stop delivery to all the others. A call whose messages
// may be repeated goes first and immediately. One that may not be repeated ends as failed. If it is lost it
// is canceled when others wait for its slot: hardly one in thirty of these is answered after all, and each
// holds a slot for all its time. If it is not lost, it is canceled only while slow destinations hold more
// than their share of the slots. Canceled work may be wasted; a full node would lose far more.
func (s *Sender) preempt() {
	if !s.cfg.MayCancel || s.cfg.Slots <= 0 || s.busy < s.cfg.Slots {
		return
	}
	var repeatable, lost, slowest *call
	held, late, waiting := 0, 1.0, false
	for _, d := range s.active {
		slow := s.slow(d)
		waiting = waiting || len(d.waiting) > 0
		for _, c := range d.calls {
			if c.called {
				return // its slot will be free soon
			}
			if slow {
				held++
			}
			patience := c.patience() * math.Pow(timeoutGrow, float64(c.ep.route.fails))
			over := seconds(s.now-c.sentAt) / patience
			gone := s.lost(c)
			if gone {
				over++ // lost calls go first
			}
			switch {
			case c.repeatable && over > late:
				repeatable, late = c, over
			case c.repeatable:
			case gone:
				lost = c
			case slow && slowest == nil:
				slowest = c
			}
		}
	}
	switch {
	case repeatable != nil:
		s.callOff(repeatable)
	case lost != nil && waiting:
		s.callOff(lost)
	case slowest != nil && float64(held) > slowShare*float64(s.cfg.Slots):
		s.callOff(slowest)
	}
}

// cancelCall cancels the attempts of a call.
func (s *Sender) callOff(c *call) {
	if c.called || !s.cfg.MayCancel {
		return
	}
	c.called = true
	for _, a := range c.sends {
		if s.sent[a].c == c {
			s.do(Cancel{ID: a.id, Attempt: a.n})
		}
	}
}

// startCalls fills free slots. The waiting destination with the least recent slot time comes first, so that
// one whose calls last long does not get as many slots as a fast one.
func (s *Sender) release() {
	s.active = slices.DeleteFunc(s.active, func(d *destination) bool {
		d.spend(s.now)
		d.active = len(d.waiting)+len(d.calls) > 0
		return !d.active
	})
	for {
		var best *destination
		var bestMsg *message
		var bestEp *endpoint
		if s.cfg.Slots > 0 && s.busy >= s.cfg.Slots {
			return
		}
		for _, d := range s.active {
			if len(d.waiting) == 0 || (best != nil && d.used >= best.used) {
				continue
			}
			if m, ep := s.next(d); m != nil {
				best, bestMsg, bestEp = d, m, ep
			}
		}
		if best == nil {
			return
		}
		s.send(best, bestMsg, bestEp)
	}
}

// nextMessage finds the message that a destination would send now, and its endpoint. The order is that of
// arrival, unless the queue is so long that waiting costs worth: then the message that loses most by waiting
// as long as the oldest has waited goes first.
func (s *Sender) next(d *destination) (*message, *endpoint) {
	if s.lame(d) && s.cfg.Slots > 0 && float64(s.lameHeld()) >= max(1, slowShare*float64(s.cfg.Slots)) {
		return nil, nil
	}
	open := false
	for i, e := range d.endpoints {
		if i == 0 || e.route != d.endpoints[0].route { // one route for all, or one for each
			s.refill(e.route)
		}
		if e.warming != nil && s.now-e.warming.coldFrom > s.cfg.SlowStartDuration {
			e.warming = nil
		} else if e.warming != nil {
			s.refill(e.warming)
		}
		open = open || s.routeOpen(e)
	}
	if !open {
		return nil, nil
	}
	horizon := s.now - d.waiting[0].arrived
	var best *message
	var bestEp *endpoint
	most := -1.0
	for _, m := range d.waiting {
		if loss := s.loss(m, horizon); loss > most {
			if ep := s.draw(m); ep != nil {
				best, bestEp, most = m, ep, loss
			}
		}
	}
	return best, bestEp
}

// worthLost is the worth that a message loses by waiting for a given time.
func (s *Sender) loss(m *message, wait time.Duration) float64 {
	usual := time.Duration(0)
	if e := m.dest.endpoints; len(e) > 0 {
		usual = span(e[0].usual)
	}
	return s.value(m, s.now+usual) - s.value(m, s.now+usual+wait)
}

// worthAt is the worth of a delivery at a given time.
func (s *Sender) value(m *message, at time.Duration) float64 {
	age, late := at-m.born, m.class.LateWorth
	switch {
	case at > m.dropDead:
		return 0
	case age <= m.aim || m.aim <= 0:
		return m.worth
	case s.cfg.WorthHalves:
		return m.worth * max(late, math.Exp2(-float64(age-m.aim)/float64(m.aim)))
	}
	return m.worth * (1 - (1-late)*float64(age-m.aim)/float64(max(m.class.Deadline-m.aim, 1)))
}

// pickEndpoint picks a random endpoint among those that maySend accepts, with a probability that falls with
// the smoothed response time.
func (s *Sender) draw(m *message) *endpoint {
	total := 0.0
	var fit []*endpoint
	var odds []float64
	for _, e := range m.dest.endpoints {
		if s.check(m, e) {
			o := math.Pow(max(e.response, seconds(floorResponse)), -drawPower)
			fit, odds, total = append(fit, e), append(odds, o), total+o
		}
	}
	if len(fit) == 0 {
		return nil
	}
	x := s.rng.Float64() * total
	for i, e := range fit {
		if x -= odds[i]; x < 0 {
			return e
		}
	}
	return fit[len(fit)-1]
}

// endpointAvailable is the part of maySend that depends on the endpoint alone: drain, wait, health, budget
// and rate.
func (s *Sender) routeOpen(e *endpoint) bool {
	r := e.route
	if !e.ready || s.now < r.waitUntil || r.tokens < 1 || s.now < e.shyTil {
		return false
	}
	if e.warming != nil && e.warming.tokens < 1 {
		return false
	}
	if since := s.now - e.crowdedAt; e.room > 0 && since < crowdedSpan &&
		float64(e.out) >= e.room+roomGrow*seconds(since) {
		return false
	}
	return !r.sick || (!r.trial && s.now >= r.trialAt)
}

// maySend is the one check before every send; no code path avoids it.
func (s *Sender) check(m *message, e *endpoint) bool {
	if m.over || m.out > 0 || s.now < m.notBefore || s.spent(m) || !s.routeOpen(e) {
		return false
	}
	if s.cfg.Slots > 0 && s.busy >= s.cfg.Slots || s.now >= s.startBy(m) {
		return false
	}
	if s.leaveBy > 0 && s.now+s.leaveSpan(m, e) > s.leaveBy {
		return false
	}
	switch m.class.Effect {
	case AtMostOnce:
		// With an open breaker an AtMostOnce message risks an ambiguous end, unless failures there prove that
		// nothing ran; with most of its time gone it has less to lose.
		spent := s.now-m.arrived > (m.dropDead-m.arrived)/2
		if m.touched || (e.route.sick && !e.route.harmless && !spent) {
			return false
		}
	case Deduplicated:
		if m.touched && !m.class.DedupEverywhere && e.zone != m.zone {
			return false
		}
	}
	if m.key != "" {
		s.trimLine(m.key)
		// The message that had its turn before may try again without a pause.
		line := s.lines[m.key]
		if (s.now < s.rests[m.key] && m.attempts == 0) || (len(line) > 0 && line[0] != m) {
			return false
		}
	}
	return true
}

// stopMargin is how long before the end of the process a message may still be sent.
func (s *Sender) leaveSpan(m *message, e *endpoint) time.Duration {
	if m.class.Effect == AtMostOnce {
		return max(span(leaveRoomUnsafe*e.usual), leaveLeastUnsafe)
	}
	return max(span(leaveRoom*e.usual), leaveLeast)
}

// startCall sends a message and, where the kind allows it, more of the destination's waiting messages in the
// same call.
func (s *Sender) send(d *destination, m *message, e *endpoint) {
	r := e.route
	c := &call{ep: e, sentAt: s.now, trial: r.sick, repeatable: m.class.Effect != AtMostOnce}
	s.made++
	r.trial = r.trial || c.trial
	// A call on a socket is given up whole. Where silence is likely, messages that may be repeated are not
	// tied to the long timeout of those that may not. Elsewhere twice the calls would only take slots from
	// others.
	mixed := !r.recovering() && !s.lame(d)
	group := []*message{m}
	for _, o := range d.waiting {
		if len(group) >= s.batch(d) || c.trial {
			break
		}
		if o != m && (mixed || c.repeatable == (o.class.Effect != AtMostOnce)) && s.check(o, e) {
			group = append(group, o)
		}
	}
	for _, o := range group {
		d.dequeue(o)
		a := attempt{o.id, o.attempts}
		s.sent[a], c.sends = sending{o, c}, append(c.sends, a)
		o.attempts++
		o.out++
		c.left++
		c.repeatable = c.repeatable && o.class.Effect != AtMostOnce
		// A message that may not be repeated is lost when a reused connection turns out broken; a handshake
		// costs less than that, and less than another attempt of a message that has had one.
		fresh := s.now < s.wornTil && (o.class.Effect == AtMostOnce || o.attempts > 1)
		s.do(Send{
			ID: o.id, Endpoint: e.id, Call: s.made, TimeoutAt: s.timeout(o, e), StartBy: s.startBy(o),
			ResultBy: o.endBy(), NewConn: fresh,
		})
	}
	r.tokens--
	if e.warming != nil {
		e.warming.tokens--
	}
	if e.sentAt > 0 {
		e.gap = ease(e.gap, seconds(s.now-e.sentAt))
	}
	e.sentAt = s.now
	s.busy++
	e.out++
	d.calls = append(d.calls, c)
	d.used += seconds(sendCharge)
}

// resultBy is the clock time after which an answer about the message no longer counts.
func (m *message) endBy() time.Duration { return m.dropDead - endMargin/2 }

// timeoutAt is the clock time at which an attempt is abandoned. An AtMostOnce message cannot be tried again,
// so it gets all its time.
func (s *Sender) timeout(m *message, e *endpoint) time.Duration {
	last := m.endBy()
	if m.class.Effect == AtMostOnce {
		return last
	}
	aim := seconds(m.aim)
	t := max(timeoutFactor*e.usual, timeoutLeast*aim) * math.Pow(timeoutGrow, float64(e.route.fails))
	if e.usual == 0 {
		t = aim
	}
	t = min(t, timeoutAims*aim)
	return min(last, s.now+span(t))
}

// handleProbeEnd records the result of a probe like that of a call.
func (s *Sender) probed(e ProbeEnded) {
	if ep := s.eps[e.Endpoint]; ep != nil {
		s.report(ep.route, e.Report)
		s.judge(&call{ep: ep, trial: true}, AttemptEnded{Outcome: e.Outcome, Took: e.Took}, false)
	}
}
