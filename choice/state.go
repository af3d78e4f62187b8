package choice

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Sender makes the decisions of one delivery node.
type Sender struct {
	cfg                  Settings
	source               *rand.PCG
	rng                  *rand.Rand // draws from source
	now                  time.Duration
	dests                map[int]*destination
	destOrder            []*destination // in order of first mention, so that no decision depends on map order
	endpoints            map[string]*endpoint
	messages             map[string]*message
	openMessages         []*message // in order of arrival; ended ones are removed by expireMessages
	keyQueues            map[string][]*message
	keyPauses            map[string]time.Duration // keys that pause until then
	pausedKeys           []keyPause               // the same in the order in which they end
	removedWaits         map[string]time.Duration // waits of separate routes that have left the list
	disabled             map[string]bool          // endpoints that an operator has disabled
	tableFullUntil       map[int]time.Duration    // by kind: the connection tables seem full until then
	distrustReusedUntil  time.Duration            // reused connections are not trusted until then
	tenants              []tenant
	callsOut             int                        // number of calls out
	callsMade            uint64                     // number of calls made so far
	attemptsOut          map[attempt]pendingAttempt // attempts without an outcome
	activeDests          []*destination             // with messages waiting or calls out; startCalls removes the others
	wakeAt               time.Duration              // the earliest wake asked for
	watchBackoff         time.Duration              // pause before the list is asked for again
	watchAt              time.Duration
	stopAt               time.Duration // when the process ends; 0 while it goes on
	failureShare         float64       // smoothed share of failures on routes not known to have an outage
	firstSubmissions     float64       // first submissions at this sender, decaying,
	firstSubmissionsSpan float64       // and the time in which they came, in seconds, decaying alike
	firstSubmissionsAt   time.Duration
	actions              []Action
}

type tenant struct {
	tokens    float64
	updatedAt time.Duration
}

// keyPause is the pause of a key as it was when it began; a later one may have extended it.
type keyPause struct {
	key   string
	until time.Duration
}

// destination is what messages are addressed to, with its gates, endpoints and waiting messages. The organization
// behind it is called a partner.
type destination struct {
	id          int
	emptiedAt   time.Duration // when its last endpoint left the list
	gates       []gate        // by class; the last is for unknown classes
	kind        int
	sharedRoute *route // the route of all endpoints, unless these are separate routes
	endpoints   []*endpoint
	waiting     []*message // in order of arrival
	slotTime    float64    // slot time used recently, in seconds, decaying
	slotTimeAt  time.Duration
	calls       []*call // calls out, oldest first
	arrivals    float64 // recent number of messages, decaying
	arrivalsAt  time.Duration
	active      bool // is in the sender's list of active destinations
}

// gate is the admission control of the paper with two bounds, for one destination and class. The waiting time
// of one class, at its place in the order, says nothing about that of another.
type gate struct {
	average, baseline float64 // seconds
	updatedAt         time.Duration
	sampled, closed   bool
	lastTrialAt       time.Duration
}

// route is what limits, waits and outages apply to: a destination, or an endpoint that is a separate route.
type route struct {
	waitUntil       time.Duration // no call before; contract rule six
	limit           float64       // calls a second as reported
	limitReported   bool
	limitLeft       float64 // remaining share of the limit at the last report
	weight          float64
	rateShare       float64 // of the limit, in multiples of this sender's share of the traffic
	rateShareAt     time.Duration
	rejections      int // in a row
	decreasedAt     time.Duration
	maxRateShare    float64 // upper bound of rateShare
	tokens          float64
	tokensAt        time.Duration
	failures        int           // in a row
	firstFailureAt  time.Duration // the first of these
	rejectionPause  time.Duration // pause after the last of the rejections in a row
	breakerOpen     bool
	nothingRan      bool // the last failure proved that nothing ran
	halfOpenAt      time.Duration
	halfOpenBackoff time.Duration
	halfOpenCallOut bool          // a half-open call is out
	slowStartAt     time.Duration // start of the slow start; 0 for none
	outageAt        time.Duration // start of the outage
	outageDemand    float64       // this sender's messages for the route since then
	peakRate        float64       // most calls that succeeded in a second, for a route without any limit
	successes       float64
	successesSince  time.Duration
}

type endpoint struct {
	id               string
	zone             int
	dest             *destination
	route            *route
	listedReady      bool // as Ready
	ready            bool
	slowStart        *route        // its own budget, while it is in slow start after being disabled
	responseTime     float64       // smoothed seconds, with failures counted as slow
	typicalTime      float64       // smoothed seconds of successful calls
	lastPromptCallAt time.Duration // latest start of a call that succeeded in the typical time
	lastCallAt       time.Duration // start of the last call
	callGap          float64       // smoothed seconds between calls
	callsOut         int           // number of calls out

	// Its connection table, once that was full.
	tableFullAt time.Duration // last sign of a full table
	tableRoom   float64       // calls that had a place then; 0 if it was never full
	avoidUntil  time.Duration // with no call there it gets none until then
}

type message struct {
	id              string
	class           *Class
	key             string
	worth           float64
	dest            *destination
	gate            *gate
	arrivedAt       time.Duration
	submittedAt     time.Duration // first submission, derived from the deadline
	softDeadline    time.Duration
	deadline        time.Duration
	attempts        int
	attemptsOut     int
	mayHaveRunSince time.Duration // start of the first attempt that may have run
	mayHaveRun      bool          // there is such an attempt
	mayHaveRunZone  int           // zone of its endpoint
	notBefore       time.Duration
	waiting         bool
	ended           bool
}

// attempt identifies one Send.
type attempt struct {
	id     string
	number int
}

// pendingAttempt is a message in a call.
type pendingAttempt struct {
	m *message
	c *call
}

// call is one call at an endpoint, with one or several messages.
type call struct {
	endpoint     *endpoint
	sentAt       time.Duration
	outcomesLeft int
	halfOpen     bool
	attempts     []attempt
	canceled     bool // its attempts were canceled
	repeatable   bool // none of its messages is AtMostOnce
}

// emit adds an action to the result of the step.
func (s *Sender) emit(a Action) { s.actions = append(s.actions, a) }

// seconds and duration convert between durations and seconds.
func seconds(t time.Duration) float64 { return t.Seconds() }

func duration(sec float64) time.Duration { return time.Duration(sec * float64(time.Second)) }

// destination returns the state of a destination, which is new if it was never mentioned before.
func (s *Sender) destination(id int) *destination {
	d := s.dests[id]
	if d == nil {
		d = &destination{id: id, emptiedAt: s.now, sharedRoute: newRoute(), gates: make([]gate, len(s.cfg.Classes)+1)}
		s.dests[id] = d
		s.destOrder = append(s.destOrder, d)
	}
	return d
}

// removeUnlisted removes the endpoints that are not in a complete list.
func (s *Sender) removeUnlisted(entries []Entry) {
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.Endpoint] = true
	}
	for _, d := range s.destOrder {
		for _, e := range slices.Clone(d.endpoints) {
			if !listed[e.id] {
				s.removeEndpoint(e)
			}
		}
	}
}

// removeEndpoint removes an endpoint that has left the list. Calls out there refer to it until they end. If
// its id comes back it starts without history, except for the wait of a separate route.
func (s *Sender) removeEndpoint(e *endpoint) {
	e.ready = false
	delete(s.endpoints, e.id)
	e.dest.endpoints = slices.DeleteFunc(e.dest.endpoints, func(o *endpoint) bool { return o == e })
	e.dest.emptiedAt = s.now
	s.carryOverWait(e)
}

// carryOverWait keeps a wait that began after its endpoint had left the list: it applies to any endpoint
// of that id.
func (s *Sender) carryOverWait(e *endpoint) {
	current := s.endpoints[e.id]
	if current == e || e.route == e.dest.sharedRoute || s.now >= e.route.waitUntil {
		return
	}
	if current != nil {
		current.route.waitUntil = max(current.route.waitUntil, e.route.waitUntil)
	} else {
		s.removedWaits[e.id] = e.route.waitUntil
	}
}

// EndpointCounts returns the number of listed endpoints, and the number of these that get no ordinary calls
// for now.
func (s *Sender) EndpointCounts() (listed, avoided int) {
	for _, e := range s.endpoints {
		if e.route.breakerOpen || s.disabled[e.id] {
			avoided++
		}
	}
	return len(s.endpoints), avoided
}

// forgetUnused forgets destinations without endpoints for a long time and without messages or calls, and
// waits that have ended.
func (s *Sender) forgetUnused() {
	s.destOrder = slices.DeleteFunc(s.destOrder, func(d *destination) bool {
		if len(d.endpoints) > 0 || d.active || s.now-d.emptiedAt < forgetAfter || s.now < d.sharedRoute.waitUntil {
			return false
		}
		delete(s.dests, d.id)
		return true
	})
	maps.DeleteFunc(s.removedWaits, func(_ string, until time.Duration) bool { return s.now >= until })
}

// pauseKey starts the pause of a key, and forgets the pauses that have ended.
func (s *Sender) pauseKey(key string) {
	until := s.now + s.cfg.KeyPause
	s.keyPauses[key] = until
	s.pausedKeys = append(s.pausedKeys, keyPause{key, until})
	for s.pausedKeys[0].until <= s.now {
		if s.keyPauses[s.pausedKeys[0].key] <= s.now {
			delete(s.keyPauses, s.pausedKeys[0].key)
		}
		if s.pausedKeys = s.pausedKeys[1:]; len(s.pausedKeys) == 0 {
			return
		}
	}
}

// gate returns a destination's gate for the class with that index.
func (s *Sender) gate(d *destination, i int) *gate {
	if i < 0 || i >= len(s.cfg.Classes) {
		i = len(s.cfg.Classes)
	}
	return &d.gates[i]
}

// class returns the class with that index, and one without any bounds for an unknown index.
func (s *Sender) class(i int) *Class {
	if i < 0 || i >= len(s.cfg.Classes) {
		return &Class{}
	}
	return &s.cfg.Classes[i]
}

// separateRoutes reports whether the endpoints are routes of their own.
func (s *Sender) separateRoutes(d *destination) bool {
	return d.kind >= 0 && d.kind < len(s.cfg.Kinds) && s.cfg.Kinds[d.kind].SeparateRoutes
}

// maxBatch is the maximum number of messages in one call.
func (s *Sender) maxBatch(d *destination) int {
	if d.kind < 0 || d.kind >= len(s.cfg.Kinds) {
		return 1
	}
	return max(s.cfg.Kinds[d.kind].MaxBatch, 1)
}

// enqueue adds a message to its destination's waiting messages, in order of arrival.
func (s *Sender) enqueue(m *message) {
	if m.waiting || m.ended {
		return
	}
	d := m.dest
	if !d.active {
		d.active = true
		s.activeDests = append(s.activeDests, d)
	}
	m.waiting = true
	i := len(d.waiting)
	for i > 0 && d.waiting[i-1].arrivedAt > m.arrivedAt {
		i--
	}
	d.waiting = append(d.waiting, nil)
	copy(d.waiting[i+1:], d.waiting[i:])
	d.waiting[i] = m
}

// dequeue removes a message from the waiting messages.
func (d *destination) dequeue(m *message) {
	if !m.waiting {
		return
	}
	m.waiting = false
	for i, w := range d.waiting {
		if w == m {
			d.waiting = append(d.waiting[:i], d.waiting[i+1:]...)
			return
		}
	}
}

// finishCall frees the slot of a call when all its messages have their outcomes.
func (s *Sender) finishCall(c *call) {
	s.callsOut--
	c.endpoint.callsOut--
	d := c.endpoint.dest
	for i, o := range d.calls {
		if o == c {
			d.calls = append(d.calls[:i], d.calls[i+1:]...)
			break
		}
	}
}

// trimKeyQueue removes ended messages from the head of a key's queue; one with an attempt out still has its
// turn.
func (s *Sender) trimKeyQueue(key string) {
	queue := s.keyQueues[key]
	if len(queue) == 0 {
		return
	}
	for len(queue) > 0 && queue[0].ended && queue[0].attemptsOut == 0 {
		queue = queue[1:]
	}
	if s.keyQueues[key] = queue; len(queue) == 0 {
		delete(s.keyQueues, key)
	}
}
