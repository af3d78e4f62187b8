package choice

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Sender makes the decisions of one delivery node. All times are clock times as in Step; zero mostly means
// never.
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
	keyPauses            map[string]time.Duration // until when each ordered key pauses
	pausedKeys           []keyPause               // the same pauses in the order in which they end; may hold outdated ones
	removedWaits         map[string]time.Duration // until when to wait, by the ID of an endpoint that was a separate route and left the list
	disabled             map[string]bool          // endpoints that an operator has disabled, by ID
	tableFullUntil       map[int]time.Duration    // by kind of destination: until when its connection tables are taken for full
	distrustReusedUntil  time.Duration            // until when AtMostOnce messages and repeats get new connections
	tenants              []tenant
	callsOut             int                        // number of calls out
	callsMade            uint64                     // number of calls made so far
	attemptsOut          map[attempt]pendingAttempt // attempts that are out: sent and without an outcome
	activeDests          []*destination             // with messages waiting or calls out; startCalls removes the others
	wakeAt               time.Duration              // the earliest wake asked for that is still due; 0 for none
	watchBackoff         time.Duration              // pause before a Watch after one that failed, doubled each time
	watchAt              time.Duration              // when to send the next Watch; 0 for none
	stopAt               time.Duration              // when the process ends; 0 while it goes on
	failureShare         float64                    // smoothed share of failures among the calls that follow a success on their route
	firstSubmissions     float64                    // number of first submissions at this sender, decaying with trafficSpan,
	firstSubmissionsSpan float64                    // and the seconds in which they came, decaying alike
	firstSubmissionsAt   time.Duration
	actions              []Action // of the current step
}

// tenant is the token bucket of a tenant's allowance at this sender.
type tenant struct {
	tokens    float64
	updatedAt time.Duration
}

// keyPause is the pause of a key as it was when it began. A later one may have extended it.
type keyPause struct {
	key   string
	until time.Duration
}

// destination is what messages are addressed to, with its gates, endpoints and waiting messages. The
// organization behind it is called a partner.
type destination struct {
	id          int
	emptiedAt   time.Duration // when its last endpoint left the list, or when it was first mentioned
	gates       []gate        // by class; the last one is for unknown classes
	kind        int
	sharedRoute *route // the route of all endpoints, unless each endpoint is a separate route
	endpoints   []*endpoint
	waiting     []*message // not sent or to be sent again, in order of arrival
	slotTime    float64    // seconds for which its calls held slots, decaying with slotTimeSpan
	slotTimeAt  time.Duration
	calls       []*call // calls out, oldest first
	arrivals    float64 // number of messages that arrived, decaying with arrivalsSpan
	arrivalsAt  time.Duration
	active      bool // is in the sender's list of active destinations
}

// gate is the admission control of the paper with two bounds, for one destination and class. Each class has
// its own place in the order of sending, so the waiting time of one says nothing about that of another.
type gate struct {
	average, baseline float64 // response times in seconds
	updatedAt         time.Duration
	sampled, closed   bool          // sampled: it has had a sample
	lastTrialAt       time.Duration // when the closed gate last admitted a trial message
}

// route is what limits, waits and outages apply to: all endpoints of a destination together, or one endpoint
// that is a separate route.
type route struct {
	waitUntil       time.Duration // no call before that, by rule six of the contract: a retry-after or a pause after rejections
	limit           float64       // calls a second, as last reported; 0 for none
	limitReported   bool
	limitLeft       float64 // remaining share of the limit as last reported, 0 if unknown
	weight          float64 // calls a second that it can take according to the list; 0 if unknown
	rateShare       float64 // part of the limit that this sender uses, in multiples of its share of the traffic
	rateShareAt     time.Duration
	rejections      int // number of rejections in a row for which rateShare was decreased
	decreasedAt     time.Duration
	maxRateShare    float64 // upper bound of rateShare
	tokens          float64 // calls that may be made now
	tokensAt        time.Duration
	failures        int           // number of failures in a row
	firstFailureAt  time.Duration // when the first of these was recorded
	rejectionPause  time.Duration // pause after a rejection without a longer retry-after, doubled with each in a row
	breakerOpen     bool
	nothingRan      bool // the last failure proved that its attempt did not run
	halfOpenAt      time.Duration
	halfOpenBackoff time.Duration
	halfOpenCallOut bool          // a half-open call is out
	slowStartAt     time.Duration // start of the slow start; 0 if there is none
	outageAt        time.Duration // start of the outage, which counts until the slow start ends
	outageDemand    float64       // number of messages for the route at this sender since the outage began
	peakRate        float64       // most successful calls a second so far; the capacity if there is neither limit nor weight
	successes       float64       // number of successful calls since successesSince
	successesSince  time.Duration
}

// endpoint is one address of a destination, with its health as this sender sees it.
type endpoint struct {
	id               string
	zone             int
	dest             *destination
	route            *route
	listedReady      bool // it is Ready in the list, whether disabled or not
	ready            bool
	slowStart        *route        // slow start budget of its own after it was enabled again; nil if there is none
	responseTime     float64       // smoothed response time in seconds, where failures count as slow
	typicalTime      float64       // smoothed response time of successful calls, in seconds
	lastPromptCallAt time.Duration // latest start of a call that succeeded within slowFactor typical times
	lastCallAt       time.Duration // start of the latest call
	callGap          float64       // smoothed seconds between calls
	callsOut         int           // number of calls out

	// Its connection table, if that was ever full.
	tableFullAt time.Duration // last sign of a full table
	tableRoom   float64       // number of calls that had a place there when it was full; 0 if it never was
	avoidUntil  time.Duration // until when it gets no call, because its table was full and no call of this sender was there
}

// message is a message from its arrival until it has ended and has no attempt out.
type message struct {
	id              string
	class           *Class
	key             string
	worth           float64
	dest            *destination
	gate            *gate
	arrivedAt       time.Duration
	submittedAt     time.Duration // time of the first submission, derived from the deadline
	softDeadline    time.Duration // how long after submittedAt it has its full worth
	deadline        time.Duration // clock time after which it can't be delivered
	attempts        int           // number of attempts begun so far
	attemptsOut     int           // number of these without an outcome
	mayHaveRunSince time.Duration // start of the first attempt that may have run
	mayHaveRun      bool          // an attempt may have run, and a second one would not be harmless
	mayHaveRunZone  int           // zone of that attempt's endpoint
	notBefore       time.Duration // no attempt before that
	waiting         bool          // is among the waiting messages of its destination
	ended           bool
}

// attempt identifies a Send by its message and the number of earlier attempts.
type attempt struct {
	id     string
	number int
}

// pendingAttempt is an attempt that is out: its message and its call.
type pendingAttempt struct {
	m *message
	c *call
}

// call is one call to an endpoint, with one or several messages.
type call struct {
	endpoint     *endpoint
	sentAt       time.Duration
	outcomesLeft int  // number of its attempts without an outcome
	halfOpen     bool // it tests an open circuit breaker
	attempts     []attempt
	canceled     bool // its attempts were canceled, and some may still be out
	repeatable   bool // none of its messages is AtMostOnce
}

// emit adds an action to the result of the step.
func (s *Sender) emit(a Action) { s.actions = append(s.actions, a) }

// seconds converts a duration to seconds, and duration seconds to a duration.
func seconds(t time.Duration) float64 { return t.Seconds() }

func duration(sec float64) time.Duration { return time.Duration(sec * float64(time.Second)) }

// destination returns the state of a destination, and creates it at the first mention.
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

// removeEndpoint removes an endpoint that has left the list. Calls that are out refer to it until they end.
// If its ID comes back it starts without history, except for the wait of a separate route.
func (s *Sender) removeEndpoint(e *endpoint) {
	e.ready = false
	delete(s.endpoints, e.id)
	e.dest.endpoints = slices.DeleteFunc(e.dest.endpoints, func(o *endpoint) bool { return o == e })
	e.dest.emptiedAt = s.now
	s.carryOverWait(e)
}

// carryOverWait keeps the wait of a separate route that is not in the list any more, since calls that were
// out may bring a wait after its removal: it applies to any later endpoint of the same ID.
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

// EndpointCounts returns the number of listed endpoints, and how many of these get no ordinary calls for now:
// their breaker is open or an operator has disabled them.
func (s *Sender) EndpointCounts() (listed, avoided int) {
	for _, e := range s.endpoints {
		if e.route.breakerOpen || s.disabled[e.id] {
			avoided++
		}
	}
	return len(s.endpoints), avoided
}

// forgetUnused forgets destinations that have had no endpoint for forgetAfter and have neither messages,
// calls nor a wait, and the waits of removed endpoints that have ended.
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

// pauseKey starts the pause of an ordered key, and forgets the pauses that have ended.
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

// class returns the class with that index, or one without deadlines and worth for an unknown index.
func (s *Sender) class(i int) *Class {
	if i < 0 || i >= len(s.cfg.Classes) {
		return &Class{}
	}
	return &s.cfg.Classes[i]
}

// separateRoutes reports whether each endpoint of the destination is a route of its own.
func (s *Sender) separateRoutes(d *destination) bool {
	return d.kind >= 0 && d.kind < len(s.cfg.Kinds) && s.cfg.Kinds[d.kind].SeparateRoutes
}

// maxBatch returns the maximum number of messages in one call to the destination.
func (s *Sender) maxBatch(d *destination) int {
	if d.kind < 0 || d.kind >= len(s.cfg.Kinds) {
		return 1
	}
	return max(s.cfg.Kinds[d.kind].MaxBatch, 1)
}

// enqueue adds a message to the waiting messages of its destination, in order of arrival.
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

// dequeue removes a message from the waiting messages of its destination.
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

// finishCall removes a call whose messages all have their outcomes, and frees its slot.
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

// trimKeyQueue removes ended messages from the head of a key's queue. One with an attempt out keeps its turn.
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
