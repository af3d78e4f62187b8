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
	// Gate. It closes when the response time ratio (average over baseline) exceeds the upper bound and opens
	// below the lower one. These are the best bounds of the paper (its variant BBC 60-80).
	gateUpperRatio, gateLowerRatio = 80, 60
	// The messages of a slow destination expire before the ratio reaches its bounds. So the average response
	// time is also bounded by these shares of the deadline.
	gateCloseDeadlineShare, gateOpenDeadlineShare = 0.5, 1.0 / 3
	// A message that expired unsent is sampled with at most this share of the deadline, just above the bound
	// for closing. It may be the only sample that a gate gets; sampled with its full age, a single one kept
	// the gate closed for long.
	unsentDeadlineShare = 0.6
	smoothingWeight     = 0.2               // least weight of a sample in the average
	smoothingSpan       = 2 * time.Second   // time constant of the average: after a pause of this length a sample weighs more
	baselineGrowthSpan  = 120 * time.Second // the baseline grows by a factor of e in this time
	// A failed attempt is sampled with at least so many soft deadlines. It must not close the gate alone,
	// because holding messages through an outage is better than refusing them. Once they are held too long,
	// their response times close it.
	failureSoftDeadlines = 1.0
	minResponseTime      = 5 * time.Millisecond   // lower bound that keeps ratios finite
	gateTrialInterval    = 500 * time.Millisecond // pause between trial messages of a closed, idle gate

	// Circuit breaker of a route.
	failureShareWeight   = 0.05                    // weight of one call in the smoothed share of failures over all routes
	chanceRunProbability = 0.02                    // a run of failures less likely than this at that share of failures is not put down to chance
	shutRetryAfter       = 2200 * time.Millisecond // a longer retry-after exceeds the span of any limit, so the endpoint is shut
	halfOpenFirstPause   = 250 * time.Millisecond  // backoff before the first half-open call,
	halfOpenMaxPause     = 1000 * time.Millisecond // and its maximum, a fraction of the outages that matter
	outageFailures       = 3                       // failures in a row that count as an outage where failures are rare,
	outageSpan           = 2 * time.Second         // one fewer if no call has succeeded for this time,
	rareArrivals         = 0.5                     // or if fewer messages than this arrive within it
	// Share of an even part of the slow start budget that each sender may use. Only the calls of senders that
	// know of the outage count against the budget; a tenth less than all of it leaves room for chance.
	evenBudgetShare = 0.9
	// Share of its own demand that a sender may use of the budget. It is less than 1 because the demand on a
	// busy destination may exceed its capacity.
	ownDemandShare    = 0.4
	roughWeightFactor = 1.5 // an endpoint's weight may be too high by this factor if Settings.RoughWeights is set
	// The fleet may exceed the slow start budget by chance: by so many standard deviations (the square root
	// of the budget), and so many calls more.
	chanceDeviations, chanceExtraCalls = 2, 2

	// Connections.
	rareCallIdleTimes  = 2.0              // with a mean gap of so many idle timeouts between calls, two in five calls come before the connection is closed
	fullTableSpan      = 30 * time.Second // idle connections are closed early for this time after a sign of a full connection table
	tableRoomPerSecond = 2.0              // calls tried beyond the number known to fit, for each second since the table was full
	brokenConnSpan     = 10 * time.Second // reused connections are not trusted for this time after one broke under a call

	// Slots.
	slowFactor     = 5                      // a call that is out for so many typical times makes its destination slow,
	slowMin        = 700 * time.Millisecond // but not before this time, which ignores noise
	lostFactor     = 10                     // a call that is out for so many typical times may have lost its answer instead of being late,
	lostMin        = 350 * time.Millisecond // but not before this time
	slotTimeSpan   = 2 * time.Second        // time constant of the decay of a destination's recent slot time
	slotTimeCharge = 10 * time.Millisecond  // slot time charged when a call starts, so that calls of the same moment alternate between destinations
	slowSlotShare  = 0.4                    // share of the slots that all slow or unresponsive destinations together may hold

	// Pacing. A rate share is a part of a route's limit, in multiples of this sender's share of the traffic.
	rateShareDecreaseFactor         = 0.6  // factor on the rate share at a rejection, applied once more for each further rejection in a row
	minRateShare                    = 0.05 // lower bound of a decrease
	rateShareIncrease               = 0.03 // additive increase per call that could be made at a rate share of 1, while calls succeed,
	rateShareIncreaseAfterRejection = 0.1  // and the exponent of its growth per such call after a rejection: less than the next rejection decreases it
	initialRateShare                = 2.0  // starts above 1, because sparse traffic is uneven,
	maxRateShare                    = 4.0  // and stays at most this; maxBurstCalls calls may go at once
	maxBurstCalls                   = 3.0
	maxBatchRateShare               = 0.9                    // bound of the rate share where calls are batches: waiting messages share a call, so a low rate costs little
	trafficSpan                     = 30 * time.Second       // time constant over which first submissions count for the share of the traffic,
	trafficPriorSeconds             = 3.0                    // and an even share counts as if it had been seen for so many seconds before
	firstSubmissionMaxAge           = 300 * time.Millisecond // a younger message counts as a first submission
	arrivalsSpan                    = 10 * time.Second       // time constant of the arrivals at this sender, which are its own demand
	burstSeconds                    = 0.25                   // seconds' worth of the rate that may be sent at once
	firstRejectionPause             = 120 * time.Millisecond // first pause after a rejection without a retry-after

	// Attempts.
	timeoutFactor           = 6                      // timeout in typical times, for messages that may be sent again,
	timeoutGrowth           = 1.5                    // multiplied by this for each failure in a row, so that a slow call succeeds in the end
	minTimeoutSoftDeadlines = 0.5                    // at least this share of the soft deadline, which leaves time for another attempt,
	maxTimeoutSoftDeadlines = 2.0                    // and at most so many soft deadlines
	retryPause              = 100 * time.Millisecond // pause of a message after a failed attempt, doubled for each further one
	responseTimePower       = 2                      // the probability that an endpoint is picked falls with this power of its response time
	minWakeInterval         = 10 * time.Millisecond  // minimum time between wakes,
	pollInterval            = 30 * time.Millisecond  // and the time between them while a message waits
	answerMargin            = 15 * time.Millisecond  // a message gets its final answer so long before its deadline
	maxHoldUp               = 150 * time.Millisecond // a node may read a request so long after it was sent, so that the deadline is sooner than it seems

	// Stopping. A call that is cut off may have run. So a message is sent only if so many typical times are
	// left before the process ends: more for one that may not be repeated. The others are left to the next
	// process.
	stopFactor, stopFactorAtMostOnce = 2, 6
	stopMarginMin                    = 300 * time.Millisecond
	stopMarginMinAtMostOnce          = time.Second

	// A destination is forgotten this long after its last endpoint left the list.
	forgetAfter = 2 * time.Minute
)

// New returns the Sender of a delivery node that has just started. The seed determines its random choices.
func New(cfg Settings, seed uint64) *Sender {
	source := rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)
	s := &Sender{
		cfg: cfg, source: source, rng: rand.New(source),
		dests: map[int]*destination{}, endpoints: map[string]*endpoint{}, messages: map[string]*message{},
		keyQueues: map[string][]*message{}, keyPauses: map[string]time.Duration{}, attemptsOut: map[attempt]pendingAttempt{},
		removedWaits: map[string]time.Duration{}, disabled: map[string]bool{},
		tenants: make([]tenant, len(cfg.Tenants)), tableFullUntil: map[int]time.Duration{},
	}
	s.cfg.FleetSize = max(cfg.FleetSize, 1)
	if cfg.WatchOnRequest {
		s.watchAt = 1 // immediately
	}
	return s
}

// Step handles the events since the last step and returns the actions to take, in order.
func (s *Sender) Step(now time.Duration, events []Event) []Action {
	s.now, s.actions = now, nil
	if s.firstSubmissionsAt == 0 {
		s.firstSubmissionsAt = now // the clock may start at any time
	}
	// List changes and disabled endpoints come first: a drain takes effect in the step that reports it, even
	// if other events come before it in the batch.
	for _, e := range events {
		switch e := e.(type) {
		case ListUpdate:
			s.updateList(e)
		case EndpointDisabled:
			s.setDisabled(e)
		case WaitTold:
			if ep := s.endpoints[e.Endpoint]; ep != nil {
				ep.route.waitUntil = max(ep.route.waitUntil, e.Until)
			}
		}
	}
	for _, e := range events {
		switch e := e.(type) {
		case MessageArrived:
			s.handleArrival(e)
		case MessageResumed:
			s.handleResumed(e)
		case AttemptEnded:
			s.handleAttemptEnd(e)
		case ProbeEnded:
			s.handleProbeEnd(e)
		case MessageAbandoned:
			if m := s.messages[e.ID]; m != nil {
				s.endMessage(m, nil)
			}
		case WakeDue:
			s.wakeAt = 0 // the clock's resolution may wake the sender a little early
		case Stopping:
			s.stopAt = e.By
		}
	}
	if s.watchAt > 0 && now >= s.watchAt {
		s.watchAt = 0
		s.emit(Watch{})
	}
	s.expireMessages()
	s.startCalls()
	s.cancelStuckCalls()
	s.scheduleWake()
	return s.actions
}

// scheduleWake asks for a wake when the time of a message is up, and soon if one waits for a slot, the end of
// a pause or the rate. The outcome of a call runs a step anyway; a sender without messages asks for no wake.
func (s *Sender) scheduleWake() {
	due := time.Duration(math.MaxInt64)
	if s.watchAt > 0 {
		due = s.watchAt
	}
	for _, m := range s.openMessages {
		due = min(due, max(m.deadline-answerMargin-s.cfg.Tick, s.now+minWakeInterval))
		if m.waiting {
			due = min(due, s.now+pollInterval)
		}
	}
	if due < math.MaxInt64 && (s.wakeAt <= s.now || due < s.wakeAt) {
		s.wakeAt = due
		s.emit(Wake{At: due, Tag: "sweep"})
	}
}

// updateList applies a list of endpoints. A complete list replaces the old one.
func (s *Sender) updateList(l ListUpdate) {
	if l.Failed {
		s.watchBackoff = min(max(2*s.watchBackoff, halfOpenFirstPause), time.Minute)
		if s.cfg.WatchOnRequest {
			s.watchAt = s.now + s.watchBackoff
		}
		return
	}
	s.watchBackoff = 0
	if l.Complete {
		s.removeUnlisted(l.Entries)
	}
	for _, entry := range l.Entries {
		e := s.endpoints[entry.Endpoint]
		if e != nil && (entry.Phase == Gone || e.dest.id != entry.Dest) {
			s.removeEndpoint(e)
		}
		if entry.Phase == Gone {
			continue
		}
		if e = s.endpoints[entry.Endpoint]; e == nil {
			d := s.destination(entry.Dest)
			e = &endpoint{id: entry.Endpoint, zone: entry.Zone, dest: d}
			s.endpoints[entry.Endpoint] = e
			d.endpoints = append(d.endpoints, e)
			d.kind = entry.Kind
			if e.route = d.sharedRoute; s.separateRoutes(d) {
				e.route = newRoute()
				e.route.waitUntil = s.removedWaits[e.id] // the only state that is kept when a separate route is removed
			}
			if s.maxBatch(d) > 1 {
				e.route.maxRateShare, e.route.rateShare = maxBatchRateShare, min(e.route.rateShare, maxBatchRateShare)
			}
		}
		e.listedReady = entry.Phase == Ready
		e.ready = e.listedReady && !s.disabled[e.id]
		if s.cfg.WeightIsRate && entry.Weight > 0 {
			e.route.weight = entry.Weight
		}
	}
	s.forgetUnused()
}

// setDisabled disables an endpoint or enables it again. An endpoint that is enabled again has been restarted
// meanwhile and needs a slow start, while the other endpoints of its route do not. So it has a slow start
// budget of its own besides the route's, for its part of the route's capacity.
func (s *Sender) setDisabled(b EndpointDisabled) {
	e := s.endpoints[b.Endpoint]
	switch {
	case !b.Lifted:
		s.disabled[b.Endpoint] = true
		if e != nil {
			e.ready, e.slowStart = false, nil
		}
	case s.disabled[b.Endpoint]:
		delete(s.disabled, b.Endpoint)
		if e != nil {
			e.ready, e.slowStart = e.listedReady, newRoute()
			e.slowStart.weight = s.capacity(e.route) / float64(len(e.dest.endpoints))
			e.slowStart.outageAt, e.slowStart.slowStartAt, e.slowStart.outageDemand = s.now, s.now, 1
			e.slowStart.tokens, e.slowStart.tokensAt = s.rng.Float64(), s.now
		}
	}
}

func newRoute() *route {
	return &route{rateShare: initialRateShare, maxRateShare: maxRateShare, tokens: 1}
}

// handleArrival admits a message or refuses it immediately.
func (s *Sender) handleArrival(e MessageArrived) {
	if s.messages[e.ID] != nil {
		return
	}
	m, d := s.registerMessage(e)
	if !s.admit(d, m) {
		s.endMessage(m, Refuse{ID: m.id, RetryAfter: s.retryAfter(m.gate)})
		return
	}
	s.holdMessage(m, e.Key)
}

// registerMessage records a message that arrived or was resumed, and its demand on the destination.
func (s *Sender) registerMessage(e MessageArrived) (*message, *destination) {
	d := s.destination(e.Dest)
	d.arrivals, d.arrivalsAt = d.arrivalRate(s.now)*seconds(arrivalsSpan)+1, s.now
	class := s.class(e.Class)
	m := &message{
		id: e.ID, class: class, dest: d, arrivedAt: s.now, deadline: e.Deadline, worth: class.Worth,
		submittedAt: e.Deadline - class.Deadline, gate: s.gate(d, e.Class),
	}
	m.softDeadline = min(
		class.SoftDeadline+duration(class.SoftDeadlineStretch*seconds(e.Hint)),
		max(class.Deadline, class.SoftDeadline),
	)
	if !s.withinTenantAllowance(e.Tenant) {
		m.worth *= s.cfg.OverShareWorth
	}
	if s.now-m.submittedAt < firstSubmissionMaxAge {
		fade := math.Exp(-seconds(s.now-s.firstSubmissionsAt) / seconds(trafficSpan))
		s.firstSubmissionsSpan, s.firstSubmissions, s.firstSubmissionsAt =
			s.firstSubmissionsSpan*fade+seconds(trafficSpan)*(1-fade), s.firstSubmissions*fade+1, s.now
	}
	s.messages[m.id] = m
	return m, d
}

// holdMessage queues an admitted message.
func (s *Sender) holdMessage(m *message, key string) {
	s.openMessages = append(s.openMessages, m)
	if len(m.dest.waiting) == 0 {
		s.dropSavedTokens(m.dest)
	}
	if m.class.Ordered && key != "" {
		m.key = key
		s.keyQueues[m.key] = append(s.keyQueues[m.key], m)
	}
	s.enqueue(m)
	for _, e := range m.dest.endpoints {
		if e.route.recovering() {
			e.route.outageDemand += 1 / float64(len(m.dest.endpoints))
		}
		if e.slowStart != nil {
			e.slowStart.outageDemand += 1 / float64(len(m.dest.endpoints))
		}
	}
}

// dropSavedTokens drops the slow start tokens that were saved while no message waited. Otherwise all senders
// of a large fleet that know of the outage could each make a call at the same moment. The next call comes at
// a random moment instead, at the same rate.
func (s *Sender) dropSavedTokens(d *destination) {
	for i, e := range d.endpoints {
		if r := e.route; (i == 0 || r != d.endpoints[0].route) && r.recovering() && s.fleetExceedsBudget(r) {
			s.refillTokens(r)
			r.tokens = min(r.tokens, s.rng.Float64())
		}
	}
}

// fleetExceedsBudget reports whether the fleet has more senders than the calls that a destination in slow
// start may get, allowing for chance. One more call from each sender would then be too much.
func (s *Sender) fleetExceedsBudget(r *route) bool {
	budget := s.cfg.CollapseMultiple * s.cfg.SlowStartShare * s.capacity(r) * seconds(s.cfg.CollapseSpan)
	return budget > 0 && float64(s.cfg.FleetSize) > budget+chanceDeviations*math.Sqrt(budget)+chanceExtraCalls
}

// handleResumed takes back a message that was accepted before a restart; the gate is not asked again. A
// message that may have run and must not be repeated ends here. If an attempt is known to have failed, that
// may be part of an outage whose end this process did not see: the routes of the destination get a slow
// start.
func (s *Sender) handleResumed(e MessageResumed) {
	if s.messages[e.ID] != nil {
		return
	}
	m, d := s.registerMessage(e.MessageArrived)
	m.attempts, m.mayHaveRun = e.Attempts, e.MayHaveRun && m.class.Effect != Idempotent
	m.mayHaveRunSince, m.mayHaveRunZone = e.MayHaveRunSince, e.Zone
	if (m.mayHaveRun && m.class.Effect == AtMostOnce) || s.attemptsExhausted(m) || s.now >= s.latestStart(m) {
		s.giveUp(m)
		return
	}
	for _, ep := range d.endpoints {
		if r := ep.route; e.Failed && !r.recovering() {
			s.openBreaker(r)
			r.breakerOpen, r.slowStartAt = false, s.now
		}
	}
	s.holdMessage(m, e.Key)
}

// withinTenantAllowance counts a message against its tenant's allowance and reports whether it is within.
// Each sender has an equal part of the allowance.
func (s *Sender) withinTenantAllowance(i int) bool {
	if i < 0 || i >= len(s.tenants) || s.cfg.Tenants[i].PerSecond <= 0 {
		return true
	}
	t, rate := &s.tenants[i], s.cfg.Tenants[i].PerSecond/float64(s.cfg.FleetSize)
	t.tokens = min(t.tokens+rate*seconds(s.now-t.updatedAt), 2*rate+1)
	t.updatedAt = s.now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// admit reports whether an arriving message is admitted by its gate. It differs from the paper in two points.
// The gate also has bounds in shares of the deadline. And a destination with more waiting messages than there
// is room left for others is refused more, so that one backlog does not take the room of all destinations.
func (s *Sender) admit(d *destination, m *message) bool {
	if s.cfg.MaxOpen > 0 && len(d.waiting) > s.cfg.MaxOpen-len(s.openMessages) {
		return false
	}
	g := m.gate
	if g.updateOpen(g.average, seconds(m.class.Deadline)) {
		return true
	}
	// Closed: while no message is held and no call is out, a single trial message lets the ratio fall.
	// Overdue calls don't count: one unanswered AtMostOnce message (a payout), which stays out until its
	// deadline, kept the gate closed as long.
	callOut := slices.ContainsFunc(d.calls, func(c *call) bool { return !s.overdue(c) })
	held := slices.ContainsFunc(d.waiting, func(o *message) bool { return o.gate == g })
	if !held && !callOut && s.now-g.lastTrialAt >= gateTrialInterval {
		g.lastTrialAt = s.now
		return true
	}
	return false
}

// updateOpen opens or closes the gate for an average response time, in seconds, and reports whether it is
// open. deadline is that of the class in seconds, 0 for none.
func (g *gate) updateOpen(current, deadline float64) bool {
	base := max(g.baseline, seconds(minResponseTime))
	upper, lower := gateUpperRatio*base, gateLowerRatio*base
	if deadline > 0 {
		upper, lower = min(upper, gateCloseDeadlineShare*deadline), min(lower, gateOpenDeadlineShare*deadline)
	}
	switch {
	case !g.sampled:
		g.closed = current > upper
	case current > upper:
		g.closed = true
	case current < lower:
		g.closed = false
	}
	return !g.closed
}

// addSample adds a response time in seconds to the average. The baseline is the lowest average; it grows
// slowly over time.
func (g *gate) addSample(now time.Duration, sec float64) {
	if !g.sampled {
		g.sampled, g.average, g.baseline, g.updatedAt = true, sec, sec, now
		return
	}
	gap := seconds(now - g.updatedAt)
	w := max(smoothingWeight, 1-math.Exp(-gap/seconds(smoothingSpan)))
	g.average += w * (sec - g.average)
	g.baseline = min(g.baseline*math.Exp(gap/seconds(baselineGrowthSpan)), g.average)
	g.updatedAt = now
}

// retryAfter is the wait that a refused client is told: about as long as the backlog lasts.
func (s *Sender) retryAfter(g *gate) time.Duration {
	wait := s.cfg.MaxRetryAfter
	if g.sampled && !g.closed {
		wait = min(wait, duration(g.average))
	}
	return wait
}

// RetryAfterIfFull returns the retry-after for a client whose message the node refuses for lack of room,
// without passing it to the sender.
func (s *Sender) RetryAfterIfFull(class, dest int) time.Duration {
	return s.retryAfter(s.gate(s.destination(dest), class))
}

// KnowsDestination reports whether the list has a destination, or had it until recently (see forgetAfter).
func (s *Sender) KnowsDestination(dest int) bool { return s.dests[dest] != nil }

// IndicatesOutage reports whether an outcome is a sign of an outage, which the journal must tell the next
// process. A rejection over a limit is none, nor is a canceled call or a reused connection that broke.
func (s *Sender) IndicatesOutage(dest int, e AttemptEnded) bool {
	switch e.Outcome {
	case Success, Stale, Canceled:
		return false
	case ConnectionBroken:
		return !e.ReusedConn
	case Rejected:
		d := s.dests[dest]
		recovers := func(ep *endpoint) bool { return ep.route.recovering() }
		return e.RetryAfter > shutRetryAfter || (d != nil && slices.ContainsFunc(d.endpoints, recovers))
	}
	return true
}

// endMessage ends a message with the action a, or with none if a is nil: delivered, refused on arrival or
// abandoned.
func (s *Sender) endMessage(m *message, a Action) {
	if m.ended {
		return
	}
	m.ended = true
	m.dest.dequeue(m)
	delete(s.messages, m.id)
	s.trimKeyQueue(m.key)
	if a != nil {
		s.emit(a)
	}
}

// canRefuse reports whether a message may end with a Refuse, which promises that a new submission has no
// second effect.
func (s *Sender) canRefuse(m *message) bool {
	if m.class.Effect == Idempotent || (m.attemptsOut == 0 && !m.mayHaveRun) {
		return true
	}
	return m.class.Effect == Deduplicated && m.mayHaveRun && m.class.DedupEverywhere && s.now <= s.dedupWindowEnd(m)
}

// dedupWindowEnd is the last time at which the destination is certain to drop a repeat.
func (s *Sender) dedupWindowEnd(m *message) time.Duration {
	return m.mayHaveRunSince + m.class.DedupWindow - answerMargin - 2*s.cfg.Tick
}

// latestStart is the latest time at which an attempt may begin: while the message has time left, and for a
// repeat of a Deduplicated message early enough to reach the endpoint within the window. After it the message
// is given up, while it can still be refused.
func (s *Sender) latestStart(m *message) time.Duration {
	by := m.deadline - answerMargin - 2*s.cfg.Tick
	if m.mayHaveRun && m.class.Effect == Deduplicated {
		by = min(by, s.dedupWindowEnd(m)-2*pollInterval)
	}
	return by
}

// giveUp ends a message that can't be delivered: with a Refuse if that is safe, else with a Fail.
func (s *Sender) giveUp(m *message) {
	if s.canRefuse(m) {
		s.endMessage(m, Refuse{ID: m.id, RetryAfter: s.retryAfter(m.gate)})
	} else {
		s.endMessage(m, Fail{ID: m.id})
	}
}

// expireMessages gives up the open messages whose time is up, and removes ended ones from openMessages.
func (s *Sender) expireMessages() {
	s.openMessages = slices.DeleteFunc(s.openMessages, func(m *message) bool {
		switch {
		case m.ended:
		case s.now >= m.deadline-answerMargin-s.cfg.Tick && m.attemptsOut == 0, s.now >= m.deadline:
			// If no message of a class is ever sent, this is the only sample for their gate; without it the
			// gate would stay open.
			if m.attempts == 0 && !m.dest.unavailable() {
				m.gate.addSample(s.now, min(seconds(s.now-m.arrivedAt), unsentDeadlineShare*seconds(m.class.Deadline)))
			}
			s.giveUp(m)
		case m.mayHaveRun && m.attemptsOut == 0 && s.now >= s.latestStart(m):
			s.giveUp(m)
		}
		return m.ended
	})
}

// handleAttemptEnd handles the outcome of an attempt.
func (s *Sender) handleAttemptEnd(e AttemptEnded) {
	key := attempt{e.ID, e.Attempt}
	m, c := s.attemptsOut[key].m, s.attemptsOut[key].c
	if c == nil {
		return
	}
	delete(s.attemptsOut, key)
	if c.outcomesLeft--; c.outcomesLeft == 0 {
		s.finishCall(c)
	}
	// When a reused connection breaks under a call, that says something about the connection only, and
	// nothing about the destination. The same holds for a call without an answer when calls sent later have
	// succeeded.
	reusedConnBroke := e.ReusedConn && e.Outcome == ConnectionBroken
	if reusedConnBroke {
		s.distrustReusedUntil = s.now + brokenConnSpan
	}
	connectionOnly := reusedConnBroke || (e.Outcome == TimedOut || e.Outcome == Canceled) && s.lost(c)
	s.recordReport(c.endpoint.route, e.Report)
	s.recordOutcome(c, e, connectionOnly)
	if e.RetryAfter > 0 { // the retry-after of a batch's answer holds whatever the outcome of this message
		c.endpoint.route.waitUntil = max(c.endpoint.route.waitUntil, s.now+e.RetryAfter)
	}
	s.carryOverWait(c.endpoint)
	m.attemptsOut--
	mayHaveRun := e.Outcome == ServerError || e.Outcome == TimedOut || e.Outcome == ConnectionBroken || e.Outcome == Canceled
	if mayHaveRun && m.class.Effect != Idempotent && (!m.mayHaveRun || c.sentAt < m.mayHaveRunSince) {
		m.mayHaveRun, m.mayHaveRunSince, m.mayHaveRunZone = true, c.sentAt, c.endpoint.zone
	}
	if mayHaveRun && e.Outcome != ServerError && m.key != "" {
		s.pauseKey(m.key)
	}
	if m.ended {
		s.trimKeyQueue(m.key)
		return // it ended while the attempt was out; its key and its turn in the key's queue waited for the outcome
	}
	s.sampleOutcome(m, c, e.Outcome, connectionOnly)
	switch {
	case e.Ambiguous: // another attempt might come too late, and a refusal might be untrue
		s.endMessage(m, Fail{ID: m.id})
	case e.Final || e.Outcome == Success:
		s.endMessage(m, nil)
	case m.attemptsOut > 0: // another attempt is out and may still succeed
	case s.now >= m.deadline-answerMargin, mayHaveRun && m.class.Effect == AtMostOnce, s.attemptsExhausted(m):
		s.giveUp(m)
	default:
		if !reusedConnBroke && (mayHaveRun || e.Outcome == Unreachable) {
			m.notBefore = s.now + retryPause<<min(m.attempts, 16)
		}
		s.enqueue(m)
	}
}

func (s *Sender) attemptsExhausted(m *message) bool {
	return s.cfg.MaxAttempts > 0 && m.attempts >= s.cfg.MaxAttempts
}

// sampleOutcome adds the outcome of an attempt to the samples of its gate; only expireMessages adds others. A
// failed attempt counts as slow: if fast errors counted as they are, the ratio would look healthy while all
// calls fail. A rejection over a limit affects only the pacing; the wait that follows is part of the final
// sample. For a message held through an outage only the time since the return counts, or the time of the call
// if that is longer. The time before says nothing about a new message, and the old backlog kept the gate
// closed for messages that could be delivered in time.
func (s *Sender) sampleOutcome(m *message, c *call, o Outcome, connectionOnly bool) {
	if connectionOnly {
		return
	}
	sec := seconds(s.now - max(m.arrivedAt, min(c.endpoint.route.slowStartAt, c.sentAt)))
	switch o {
	case Success:
	case Stale, Canceled:
		return
	case Rejected:
		if !m.dest.unavailable() {
			return
		}
		fallthrough
	default:
		sec = max(sec, failureSoftDeadlines*seconds(m.softDeadline))
	}
	m.gate.addSample(s.now, sec)
}

// unavailable reports whether the destination has no endpoint that is ready and whose breaker is closed.
func (d *destination) unavailable() bool {
	for _, e := range d.endpoints {
		if e.ready && !e.route.breakerOpen {
			return false
		}
	}
	return true
}

// recordReport stores the load report of an endpoint. Invalid limits are skipped. The remaining share of the
// limit changes all the time, so none is assumed without a report.
func (s *Sender) recordReport(r *route, rep Report) {
	r.limitLeft = 0
	if rep.HasLimit && rep.Limit >= 0 && !math.IsInf(rep.Limit, 0) {
		r.limitReported, r.limit = true, rep.Limit
		if rep.HasLeft && rep.Left > 0 {
			r.limitLeft = min(rep.Left, 1)
		}
	}
}

// recordOutcome updates the health of an endpoint and its route from the outcome of a call. With
// connectionOnly the outcome says something about the connection only.
func (s *Sender) recordOutcome(c *call, e AttemptEnded, connectionOnly bool) {
	ep, r, took := c.endpoint, c.endpoint.route, max(seconds(e.Took), seconds(minResponseTime))
	if c.halfOpen {
		r.halfOpenCallOut = false
	}
	switch {
	case connectionOnly:
	case e.Outcome == Success:
		if took <= slowFactor*ep.typicalTime {
			ep.lastPromptCallAt = max(ep.lastPromptCallAt, c.sentAt)
		}
		ep.typicalTime = smooth(ep.typicalTime, took)
		ep.responseTime = smooth(ep.responseTime, took)
		if r.failures > 0 && r.nothingRan && !r.breakerOpen && !s.cfg.FullTableRejects {
			s.tableFullUntil[ep.dest.kind] = s.now + fullTableSpan // a failed connect and then a success: the sign of a full connection table
		}
		s.recordSuccess(r)
	case e.Outcome == Stale:
	case e.Outcome == Rejected && e.ConnClosed && !e.ReusedConn && e.RetryAfter == 0 && !r.breakerOpen:
		s.recordFullTable(ep)
	case e.Outcome == Rejected:
		// Rejections in a row double the pause, whether over a limit or because the endpoint is shut. By
		// themselves they are no outage: a large fleet gets three in a row at any busy limit.
		if s.now-r.waitUntil > r.rejectionPause {
			r.rejectionPause = firstRejectionPause
		} else if s.now >= r.waitUntil { // else the call was sent before the current wait began
			r.rejectionPause *= 2
		}
		r.waitUntil = max(r.waitUntil, s.now+max(e.RetryAfter, r.rejectionPause))
		ep.responseTime = smooth(ep.responseTime, 2*max(ep.responseTime, took))
		// Rejected although the endpoint reports no limit: its queue is full, as when a destination hangs.
		queueFull := r.limitReported && r.limit == 0
		if isShut := e.RetryAfter > shutRetryAfter; isShut || queueFull || r.breakerOpen {
			s.recordFailure(ep, isShut, true)
		} else {
			s.decreaseRateShare(c)
		}
	default:
		s.recordFailedCall(ep, took, e.Outcome == Unreachable)
	}
	if c.outcomesLeft == 0 && e.Outcome != Unreachable && e.Outcome != Stale {
		s.closeIdleConnections(ep)
	}
}

// recordFailedCall records a call that failed after took seconds as slow, and as a sign of an outage.
func (s *Sender) recordFailedCall(ep *endpoint, took float64, nothingRan bool) {
	ep.responseTime = smooth(ep.responseTime, max(2*ep.responseTime, took, seconds(slowMin)))
	s.recordFailure(ep, false, nothingRan)
}

// closeIdleConnections closes idle connections that would keep other senders out: the connection table of an
// endpoint may be small, it counts idle connections, and a large fleet fills it. Connections are closed where
// the next call is unlikely to come before the idle timeout; calls come at random, most of them sooner than
// the mean gap. They are also closed at a kind of destination where connects failed recently, which costs
// handshakes for as long as tableFullUntil lasts.
func (s *Sender) closeIdleConnections(ep *endpoint) {
	unused := s.cfg.IdleConnTimeout > 0 && ep.callGap > rareCallIdleTimes*seconds(s.cfg.IdleConnTimeout)
	switch {
	case len(ep.dest.waiting) > 0:
	case unused || s.now < s.tableFullUntil[ep.dest.kind]:
		s.emit(CloseIdle{Endpoint: ep.id})
	case ep.tableRoom > 0 && s.now-ep.tableFullAt < fullTableSpan:
		s.emit(CloseIdle{Endpoint: ep.id, Keep: 1})
	}
}

// recordFullTable handles a new connection that was rejected and closed: the endpoint's connection table is
// full, while calls on the connections that it holds are still served. That is neither a limit nor an outage:
// treated as a limit, it cut the rate to a quarter and stopped the calls that had a connection. The calls
// that are out there now are known to fit, and slowly more are tried; lost calls, which hold a connection
// each, are canceled. This works for any peer that rejects connections instead of calls. It could do harm at
// one that closes connections for everything above its limit: there only the number of connections would
// reduce the rate.
func (s *Sender) recordFullTable(ep *endpoint) {
	if ep.callsOut == 0 { // this sender holds no connection there, so connections of others have to close first
		ep.avoidUntil = s.now + firstRejectionPause + time.Duration(s.rng.Int64N(int64(firstRejectionPause)))
	}
	ep.tableRoom, ep.tableFullAt = float64(max(ep.callsOut, 1)), s.now
	for _, c := range ep.dest.calls {
		if c.endpoint == ep && s.lost(c) {
			s.cancelCall(c)
		}
	}
}

// decreaseRateShare lowers the rate share at a rejection: at once below 1, and further with each rejection in
// a row. Where rejected calls use up the limit, a fleet that does not slow down gets nothing through. The
// next call comes at a random moment of the new rate, so that the senders do not all call at once.
func (s *Sender) decreaseRateShare(c *call) {
	r := c.endpoint.route
	if c.sentAt < r.decreasedAt { // sent before the last decrease, so its rejection is no new sign
		return
	}
	s.increaseRateShare(r)
	r.rejections++
	r.decreasedAt = s.now
	r.rateShare = max(min(r.rateShare, 1)*math.Pow(rateShareDecreaseFactor, float64(r.rejections)), minRateShare)
	r.tokens = min(r.tokens, s.rng.Float64())
}

// smooth adds a sample to an exponentially smoothed value; one sample counts as at most 20 times the value.
func smooth(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + smoothingWeight*(min(sample, 20*old)-old)
}

// recordFailure records a sign of an outage of any kind: refused connections, errors, timeouts, endpoints
// that are shut. An open breaker lets single half-open calls through, with growing pauses, and the slow start
// budget holds until the destination certainly has its full capacity again. One failure is no outage; a run
// of failures is one if it is longer than the share of failures over all routes explains. So a lossy path of
// this node does not look like an outage of all destinations. Only calls that follow a success on their route
// count in that share; otherwise an outage would raise its own threshold. The runs of all separate routes of
// a destination are added up, because an outage mostly affects all of them and each has few calls.
func (s *Sender) recordFailure(ep *endpoint, certain, nothingRan bool) {
	r := ep.route
	r.nothingRan, r.rateShareAt = nothingRan, s.now
	r.failures++
	if !r.breakerOpen {
		if r.failures == 1 {
			r.firstFailureAt = s.now
			s.failureShare += failureShareWeight * (1 - s.failureShare)
		}
		minFailures := float64(outageFailures)
		if s.now-r.firstFailureAt >= outageSpan || ep.dest.arrivalRate(s.now)*seconds(outageSpan) < rareArrivals {
			minFailures--
		}
		requiredFailures := max(minFailures, math.Log(chanceRunProbability)/math.Log(min(max(s.failureShare, 0.01), 0.7)))
		if minFailures < outageFailures && !nothingRan && s.fleetExceedsBudget(r) {
			requiredFailures = 1 // a second attempt from each sender would be too much for the destination when it returns
		}
		failures := r.failures
		for _, other := range ep.dest.endpoints {
			if other.route != r {
				failures += other.route.failures
			}
		}
		if certain || float64(failures) >= requiredFailures {
			s.openBreaker(r)
		}
	} else if s.now >= r.halfOpenAt {
		r.halfOpenBackoff = min(2*r.halfOpenBackoff, halfOpenMaxPause)
		r.halfOpenAt = s.now + r.halfOpenBackoff/2 + time.Duration(s.rng.Int64N(int64(r.halfOpenBackoff)))
	}
}

// openBreaker opens the breaker of a route, and starts an outage unless one is known. The tokens start at a
// random value below one call; otherwise the senders of a large fleet, most of which hold a single message,
// would all make their first call at the same time after the start of the outage.
func (s *Sender) openBreaker(r *route) {
	if !r.recovering() {
		r.outageAt, r.outageDemand = s.now, 1
		r.tokens, r.tokensAt = s.rng.Float64(), s.now
	}
	r.breakerOpen, r.halfOpenBackoff, r.slowStartAt = true, halfOpenFirstPause, 0
	r.halfOpenAt = s.now + r.halfOpenBackoff
}

// recordSuccess records a successful call on a route: it ends an outage, goes on with the slow start, or
// confirms normal operation.
func (s *Sender) recordSuccess(r *route) {
	if !r.breakerOpen && r.failures == 0 {
		s.failureShare *= 1 - failureShareWeight
	}
	r.rejectionPause, r.failures = 0, 0
	if gap := seconds(s.now - r.successesSince); gap > 1 {
		r.peakRate = max(r.peakRate, r.successes/gap)
		r.successes, r.successesSince = 0, s.now
	}
	r.successes++
	s.increaseRateShare(r)
	r.rejections = 0
	switch {
	case r.breakerOpen:
		r.breakerOpen, r.slowStartAt = false, s.now
	case r.slowStartAt > 0 && s.now-r.slowStartAt > s.cfg.SlowStartDuration:
		r.slowStartAt = 0
	}
}

// recovering reports whether the route has an outage or is in slow start after one.
func (r *route) recovering() bool { return r.breakerOpen || r.slowStartAt > 0 }

// capacity is a cautious estimate of the calls a second that the route takes from all senders together at its
// full capacity.
func (s *Sender) capacity(r *route) float64 {
	switch {
	case r.limit > 0:
		return r.limit
	case r.weight > 0 && s.cfg.RoughWeights:
		return r.weight / roughWeightFactor
	case r.weight > 0:
		return r.weight
	}
	return max(r.peakRate, 1)
}

// pace returns the calls a second that this sender may make on the route, and whether that is bounded at all.
// Of the slow start budget a sender uses what its own demand since the start of the outage requires: over all
// senders this adds up to the demand on the destination, which it can handle at full capacity. In a large
// fleet the senders learn of an outage one by one, each from a message of its own. Their rates would add up
// to several times the budget if the demand were not averaged over arrivalsSpan before the outage as well. An
// even share would starve the few senders of a large fleet that hold messages, and waste the rest.
func (s *Sender) pace(r *route) (rate float64, bound bool) {
	if r.recovering() && s.cfg.CollapseSpan > 0 && s.cfg.CollapseMultiple > 0 {
		share := s.cfg.SlowStartShare
		if r.slowStartAt > 0 && s.cfg.SlowStartDuration > 0 {
			share += (1 - share) * min(1, seconds(s.now-r.slowStartAt)/seconds(s.cfg.SlowStartDuration))
		}
		evenPart := s.capacity(r) / float64(s.cfg.FleetSize)
		ownDemand := r.outageDemand / max(seconds(s.now-r.outageAt), seconds(s.cfg.CollapseSpan))
		if s.fleetExceedsBudget(r) {
			ownDemand = r.outageDemand / (seconds(s.now-r.outageAt) + seconds(arrivalsSpan))
		}
		allotted := max(evenBudgetShare*evenPart, ownDemandShare*min(ownDemand, s.capacity(r)))
		rate, bound = s.cfg.CollapseMultiple*share*allotted, true
	}
	limit := s.rateLimit(r)
	paced := min(1, r.rateShare*s.trafficShare()) * limit
	switch {
	case limit == 0:
		return rate, bound
	case bound: // a destination in slow start rejects calls over its limit, and rejected calls use up that limit
		return min(rate, paced), true
	}
	return paced, true
}

// rateLimit is the known number of calls a second that the route takes from all senders together, 0 for no
// limit.
func (s *Sender) rateLimit(r *route) float64 {
	if !r.limitReported && r.weight > 0 {
		return r.weight
	}
	return r.limit
}

// arrivalRate is the recent number of messages a second for the destination at this sender, as an
// exponentially decaying average.
func (d *destination) arrivalRate(now time.Duration) float64 {
	return d.arrivals * math.Exp(-seconds(now-d.arrivalsAt)/seconds(arrivalsSpan)) / seconds(arrivalsSpan)
}

// increaseRateShare raises a rate share that was decreased. While calls succeed it grows by the same step for
// all senders in the time of one call at a rate share of 1. Growth in proportion to the rate share, or with
// each call, drove the shares of a fleet apart until half of it starved. After a rejection it grows by less
// in that time than the next rejection decreases it: a fleet whose shares recover between its rare calls
// keeps exceeding a limit for good.
func (s *Sender) increaseRateShare(r *route) {
	calls := s.trafficShare() * s.rateLimit(r) * min(seconds(s.now-r.rateShareAt), seconds(arrivalsSpan))
	if r.rejections > 0 {
		r.rateShare *= math.Exp(rateShareIncreaseAfterRejection * calls)
	} else {
		r.rateShare += rateShareIncrease * calls
	}
	r.rateShare, r.rateShareAt = min(r.rateShare, r.maxRateShare), s.now
}

// trafficShare is this sender's share of the fleet's traffic: the rate of first submissions here over the sum
// of the tenants' allowances, which is what all senders together are expected to get.
func (s *Sender) trafficShare() float64 {
	even, total := 1/float64(s.cfg.FleetSize), 0.0
	for _, t := range s.cfg.Tenants {
		total += t.PerSecond
	}
	if total <= 0 {
		return even
	}
	fade := math.Exp(-seconds(s.now-s.firstSubmissionsAt) / seconds(trafficSpan))
	observed := s.firstSubmissionsSpan*fade + seconds(trafficSpan)*(1-fade)
	return min(1, (s.firstSubmissions*fade/total+even*trafficPriorSeconds)/(observed+trafficPriorSeconds))
}

// refillTokens brings the token bucket of a route up to the current time; one token is one call. During an
// outage and the slow start no tokens are saved for a burst.
func (s *Sender) refillTokens(r *route) {
	if !r.recovering() {
		s.increaseRateShare(r)
	}
	rate, bound := s.pace(r)
	if !bound {
		r.tokens, r.tokensAt = 1, s.now
		return
	}
	maxTokens := max(1, burstSeconds*rate)
	switch {
	case r.recovering():
		maxTokens = 1
	case r.maxRateShare > 1:
		maxTokens = max(maxTokens, maxBurstCalls)
	}
	r.tokens = min(r.tokens+rate*seconds(s.now-r.tokensAt), maxTokens)
	r.tokensAt = s.now
}

// slowAfter is the number of seconds after which a call that is still out has taken far longer than typical.
func (c *call) slowAfter() float64 { return max(slowFactor*c.endpoint.typicalTime, seconds(slowMin)) }

// overdue reports whether a call has been out for so long that an answer is unlikely.
func (s *Sender) overdue(c *call) bool {
	return seconds(s.now-c.sentAt) > max(lostFactor*c.endpoint.typicalTime, seconds(lostMin))
}

// lost reports whether a call is overdue although one sent later to the same endpoint succeeded in the
// typical time. Its connection or its answer is gone, and the missing answer says nothing about the
// destination. Without this, single calls lost on the way made every busy destination look slow and then
// opened its breaker: mainly those of AtMostOnce messages (payouts), which stay out until their deadline. It
// also protects against answers that are dropped or held back one by one. It could do harm where an endpoint
// serves some calls fast and lets others hang forever: those hold slots beyond slowSlotShare until none is
// free, and cancelStuckCalls cancels them first.
func (s *Sender) lost(c *call) bool { return c.sentAt < c.endpoint.lastPromptCallAt && s.overdue(c) }

// slow reports whether the oldest call of a destination, apart from lost ones, has been out far longer than
// typical. Before any timeout has passed, a silent destination and a very slow one both look like this. The
// slots that it may hold are then limited.
func (s *Sender) slow(d *destination) bool {
	for _, c := range d.calls {
		if !s.lost(c) {
			return seconds(s.now-c.sentAt) > c.slowAfter()
		}
	}
	return false
}

// updateSlotTime brings the destination's recent slot time up to the current time.
func (d *destination) updateSlotTime(now time.Duration) {
	fade := math.Exp(-seconds(now-d.slotTimeAt) / seconds(slotTimeSpan))
	d.slotTime = d.slotTime*fade + float64(len(d.calls))*seconds(slotTimeSpan)*(1-fade)
	d.slotTimeAt = now
}

// unresponsive reports whether a destination is slow or the last call failed on each of its routes. Before
// this check, when slots were few, first attempts at silent destinations held all of them.
func (s *Sender) unresponsive(d *destination) bool {
	for _, e := range d.endpoints {
		if e.ready && e.route.failures == 0 {
			return s.slow(d)
		}
	}
	return true
}

// unresponsiveCalls counts the slots that unresponsive destinations hold, apart from lost calls.
func (s *Sender) unresponsiveCalls() int {
	n := 0
	for _, d := range s.activeDests {
		if len(d.calls) == 0 || !s.unresponsive(d) {
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

// cancelStuckCalls cancels a call that is out far longer than typical when no slot is free: destinations that
// don't answer, or a lossy path, must not stop delivery to all the others. A call whose messages may be
// repeated is canceled first and at once. A message that may not be repeated ends as failed. So its call, if
// it is lost, is canceled only when a message waits for a slot: hardly one in thirty of these calls is
// answered after all, and each holds a slot until its deadline. If the call is not lost, it is canceled only
// while slow destinations hold more than their share of the slots. Canceled work may be wasted, but a node
// without free slots would lose far more.
func (s *Sender) cancelStuckCalls() {
	if !s.cfg.MayCancel || s.cfg.Slots <= 0 || s.callsOut < s.cfg.Slots {
		return
	}
	var repeatable, lost, slowest *call
	slowCalls, maxOverdue, waiting := 0, 1.0, false
	for _, d := range s.activeDests {
		slow := s.slow(d)
		waiting = waiting || len(d.waiting) > 0
		for _, c := range d.calls {
			if c.canceled {
				return // its slot will be free soon
			}
			if slow {
				slowCalls++
			}
			slowAfter := c.slowAfter() * math.Pow(timeoutGrowth, float64(c.endpoint.route.failures))
			overdue := seconds(s.now-c.sentAt) / slowAfter
			isLost := s.lost(c)
			if isLost {
				overdue++ // lost calls go first
			}
			switch {
			case c.repeatable && overdue > maxOverdue:
				repeatable, maxOverdue = c, overdue
			case c.repeatable:
			case isLost:
				lost = c
			case slow && slowest == nil:
				slowest = c
			}
		}
	}
	switch {
	case repeatable != nil:
		s.cancelCall(repeatable)
	case lost != nil && waiting:
		s.cancelCall(lost)
	case slowest != nil && float64(slowCalls) > slowSlotShare*float64(s.cfg.Slots):
		s.cancelCall(slowest)
	}
}

// cancelCall cancels the attempts of a call.
func (s *Sender) cancelCall(c *call) {
	if c.canceled || !s.cfg.MayCancel {
		return
	}
	c.canceled = true
	for _, a := range c.attempts {
		if s.attemptsOut[a].c == c {
			s.emit(Cancel{ID: a.id, Attempt: a.number})
		}
	}
}

// startCalls fills free slots. The destination with the least recent slot time comes first, so that one with
// long calls does not get as many slots as a fast one.
func (s *Sender) startCalls() {
	s.activeDests = slices.DeleteFunc(s.activeDests, func(d *destination) bool {
		d.updateSlotTime(s.now)
		d.active = len(d.waiting)+len(d.calls) > 0
		return !d.active
	})
	for {
		var best *destination
		var bestMsg *message
		var bestEp *endpoint
		if s.cfg.Slots > 0 && s.callsOut >= s.cfg.Slots {
			return
		}
		for _, d := range s.activeDests {
			if len(d.waiting) == 0 || (best != nil && d.slotTime >= best.slotTime) {
				continue
			}
			if m, ep := s.nextMessage(d); m != nil {
				best, bestMsg, bestEp = d, m, ep
			}
		}
		if best == nil {
			return
		}
		s.startCall(best, bestMsg, bestEp)
	}
}

// nextMessage returns the message that a destination would send now, and its endpoint. Messages are sent in
// the order of arrival, unless the queue is so long that waiting costs worth: then the message goes first
// that would lose most by waiting as long as the oldest one has.
func (s *Sender) nextMessage(d *destination) (*message, *endpoint) {
	if s.unresponsive(d) && s.cfg.Slots > 0 && float64(s.unresponsiveCalls()) >= max(1, slowSlotShare*float64(s.cfg.Slots)) {
		return nil, nil
	}
	anyAvailable := false
	for i, e := range d.endpoints {
		if i == 0 || e.route != d.endpoints[0].route { // all endpoints share one route, or each has its own
			s.refillTokens(e.route)
		}
		if e.slowStart != nil && s.now-e.slowStart.slowStartAt > s.cfg.SlowStartDuration {
			e.slowStart = nil
		} else if e.slowStart != nil {
			s.refillTokens(e.slowStart)
		}
		anyAvailable = anyAvailable || s.endpointAvailable(e)
	}
	if !anyAvailable {
		return nil, nil
	}
	oldestWait := s.now - d.waiting[0].arrivedAt
	var best *message
	var bestEp *endpoint
	maxLoss := -1.0
	for _, m := range d.waiting {
		if loss := s.worthLost(m, oldestWait); loss > maxLoss {
			if ep := s.pickEndpoint(m); ep != nil {
				best, bestEp, maxLoss = m, ep, loss
			}
		}
	}
	return best, bestEp
}

// worthLost is the worth that a message loses if its delivery is delayed by wait.
func (s *Sender) worthLost(m *message, wait time.Duration) float64 {
	typicalTime := time.Duration(0)
	if e := m.dest.endpoints; len(e) > 0 {
		typicalTime = duration(e[0].typicalTime)
	}
	return s.worthAt(m, s.now+typicalTime) - s.worthAt(m, s.now+typicalTime+wait)
}

// worthAt is the worth of a message that is delivered at a given time.
func (s *Sender) worthAt(m *message, at time.Duration) float64 {
	age, late := at-m.submittedAt, m.class.LateWorth
	switch {
	case at > m.deadline:
		return 0
	case age <= m.softDeadline || m.softDeadline <= 0:
		return m.worth
	case s.cfg.WorthHalves:
		return m.worth * max(late, math.Exp2(-float64(age-m.softDeadline)/float64(m.softDeadline)))
	}
	return m.worth * (1 - (1-late)*float64(age-m.softDeadline)/float64(max(m.class.Deadline-m.softDeadline, 1)))
}

// pickEndpoint picks a random endpoint among those that maySend accepts, with a probability that falls with
// the smoothed response time. It returns nil if there is none.
func (s *Sender) pickEndpoint(m *message) *endpoint {
	total := 0.0
	var candidates []*endpoint
	var weights []float64
	for _, e := range m.dest.endpoints {
		if s.maySend(m, e) {
			weight := math.Pow(max(e.responseTime, seconds(minResponseTime)), -responseTimePower)
			candidates, weights, total = append(candidates, e), append(weights, weight), total+weight
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	x := s.rng.Float64() * total
	for i, e := range candidates {
		if x -= weights[i]; x < 0 {
			return e
		}
	}
	return candidates[len(candidates)-1]
}

// endpointAvailable is the part of maySend that depends on the endpoint alone: whether it is ready, its
// waits, connection table, circuit breaker and tokens.
func (s *Sender) endpointAvailable(e *endpoint) bool {
	r := e.route
	if !e.ready || s.now < r.waitUntil || r.tokens < 1 || s.now < e.avoidUntil {
		return false
	}
	if e.slowStart != nil && e.slowStart.tokens < 1 {
		return false
	}
	if since := s.now - e.tableFullAt; e.tableRoom > 0 && since < fullTableSpan &&
		float64(e.callsOut) >= e.tableRoom+tableRoomPerSecond*seconds(since) {
		return false
	}
	return !r.breakerOpen || (!r.halfOpenCallOut && s.now >= r.halfOpenAt)
}

// maySend reports whether a message may be sent to an endpoint now. Every send passes this check.
func (s *Sender) maySend(m *message, e *endpoint) bool {
	if m.ended || m.attemptsOut > 0 || s.now < m.notBefore || s.attemptsExhausted(m) || !s.endpointAvailable(e) {
		return false
	}
	if s.cfg.Slots > 0 && s.callsOut >= s.cfg.Slots || s.now >= s.latestStart(m) {
		return false
	}
	if s.stopAt > 0 && s.now+s.stopMargin(m, e) > s.stopAt {
		return false
	}
	switch m.class.Effect {
	case AtMostOnce:
		// With an open breaker an AtMostOnce message risks an ambiguous outcome, unless the last failure
		// there proved that nothing ran. With most of its time gone it has less to lose.
		mostTimeSpent := s.now-m.arrivedAt > (m.deadline-m.arrivedAt)/2
		if m.mayHaveRun || (e.route.breakerOpen && !e.route.nothingRan && !mostTimeSpent) {
			return false
		}
	case Deduplicated:
		if m.mayHaveRun && !m.class.DedupEverywhere && e.zone != m.mayHaveRunZone {
			return false
		}
	}
	if m.key != "" {
		s.trimKeyQueue(m.key)
		// A message that has had an attempt may be sent again without waiting for the pause of its key.
		queue := s.keyQueues[m.key]
		if (s.now < s.keyPauses[m.key] && m.attempts == 0) || (len(queue) > 0 && queue[0] != m) {
			return false
		}
	}
	return true
}

// stopMargin is the time before the end of the process from which on a message is not sent any more.
func (s *Sender) stopMargin(m *message, e *endpoint) time.Duration {
	if m.class.Effect == AtMostOnce {
		return max(duration(stopFactorAtMostOnce*e.typicalTime), stopMarginMinAtMostOnce)
	}
	return max(duration(stopFactor*e.typicalTime), stopMarginMin)
}

// startCall sends a message, together with more of the destination's waiting messages if its kind allows
// batches.
func (s *Sender) startCall(d *destination, m *message, e *endpoint) {
	r := e.route
	c := &call{endpoint: e, sentAt: s.now, halfOpen: r.breakerOpen, repeatable: m.class.Effect != AtMostOnce}
	s.callsMade++
	r.halfOpenCallOut = r.halfOpenCallOut || c.halfOpen
	// A call times out or is canceled as a whole. Where that is likely, messages that may be repeated are not
	// tied to the long timeout of those that may not. Elsewhere separate calls would be twice as many, and
	// only take slots from others.
	mayMix := !r.recovering() && !s.unresponsive(d)
	group := []*message{m}
	for _, o := range d.waiting {
		if len(group) >= s.maxBatch(d) || c.halfOpen {
			break
		}
		if o != m && (mayMix || c.repeatable == (o.class.Effect != AtMostOnce)) && s.maySend(o, e) {
			group = append(group, o)
		}
	}
	for _, o := range group {
		d.dequeue(o)
		a := attempt{o.id, o.attempts}
		s.attemptsOut[a], c.attempts = pendingAttempt{o, c}, append(c.attempts, a)
		o.attempts++
		o.attemptsOut++
		c.outcomesLeft++
		c.repeatable = c.repeatable && o.class.Effect != AtMostOnce
		// An AtMostOnce message is lost when a reused connection turns out to be broken. A handshake costs
		// less than that, and less than another attempt of a message that has already had one.
		newConn := s.now < s.distrustReusedUntil && (o.class.Effect == AtMostOnce || o.attempts > 1)
		s.emit(Send{
			ID: o.id, Endpoint: e.id, Call: s.callsMade, TimeoutAt: s.timeoutAt(o, e), StartBy: s.latestStart(o),
			ResultBy: o.resultBy() - maxHoldUp, NewConn: newConn,
		})
	}
	r.tokens--
	if e.slowStart != nil {
		e.slowStart.tokens--
	}
	if e.lastCallAt > 0 {
		e.callGap = smooth(e.callGap, seconds(s.now-e.lastCallAt))
	}
	e.lastCallAt = s.now
	s.callsOut++
	e.callsOut++
	d.calls = append(d.calls, c)
	d.slotTime += seconds(slotTimeCharge)
}

// resultBy is the time after which an answer about the message no longer counts, if the node has read the request at
// once.
func (m *message) resultBy() time.Duration { return m.deadline - answerMargin/2 }

// timeoutAt is the time at which an attempt is abandoned. An AtMostOnce message can't be sent again, so its
// attempt may take all the time that is left.
func (s *Sender) timeoutAt(m *message, e *endpoint) time.Duration {
	last := m.resultBy()
	if m.class.Effect == AtMostOnce {
		return last
	}
	softDeadline := seconds(m.softDeadline)
	t := max(timeoutFactor*e.typicalTime, minTimeoutSoftDeadlines*softDeadline) * math.Pow(timeoutGrowth, float64(e.route.failures))
	if e.typicalTime == 0 {
		t = softDeadline
	}
	t = min(t, maxTimeoutSoftDeadlines*softDeadline)
	return min(last, s.now+duration(t))
}

// handleProbeEnd records the result of a probe like that of a half-open call.
func (s *Sender) handleProbeEnd(e ProbeEnded) {
	if ep := s.endpoints[e.Endpoint]; ep != nil {
		s.recordReport(ep.route, e.Report)
		s.recordOutcome(&call{endpoint: ep, halfOpen: true}, AttemptEnded{Outcome: e.Outcome, Took: e.Took}, false)
	}
}
