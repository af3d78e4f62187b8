package choice

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Sender makes the decisions of one delivery node.
type Sender struct {
	cfg     Settings
	source  *rand.PCG
	rng     *rand.Rand // draws from source
	now     time.Duration
	dests   map[int]*destination
	order   []*destination // in order of first mention, so that no decision depends on map order
	eps     map[string]*endpoint
	msgs    map[string]*message
	open    []*message // in order of arrival; ended ones are removed by expireMessages
	lines   map[string][]*message
	rests   map[string]time.Duration // keys that pause until then
	resting []keyRest                // the same in the order in which they end
	parted  map[string]time.Duration // waits that separate routes told before they left the list
	barred  map[string]bool          // endpoints that an operator has disabled
	crowded map[int]time.Duration    // by kind: the connection tables seem full until then
	wornTil time.Duration            // reused connections are not trusted until then
	tenants []tenant
	busy    int                 // number of calls out
	made    uint64              // number of calls made so far
	sent    map[attempt]sending // attempts without an outcome
	active  []*destination      // with messages waiting or calls out; startCalls removes the others
	wakeAt  time.Duration       // the earliest wake asked for
	asking  time.Duration       // pause before the list is asked for again
	askAt   time.Duration
	leaveBy time.Duration // when the process ends; 0 while it goes on
	failing float64       // smoothed share of failures on routes not known to have an outage
	came    float64       // first submissions at this sender, decaying,
	seen    float64       // and the time in which they came, in seconds, decaying alike
	cameAt  time.Duration
	actions []Action
}

type tenant struct {
	tokens float64
	at     time.Duration
}

// keyPause is the pause of a key as it was when it began; a later one may have extended it.
type keyRest struct {
	key   string
	until time.Duration
}

// destination is the state of one destination: its gates, endpoints and waiting messages.
type destination struct {
	id        int
	emptied   time.Duration // when its last endpoint left the list
	gates     []gate        // by class; the last is for unknown classes
	kind      int
	shared    *route // the route of all endpoints, unless these are separate routes
	endpoints []*endpoint
	waiting   []*message // in order of arrival
	used      float64    // slot time used recently, in seconds, decaying
	usedAt    time.Duration
	calls     []*call // calls out, oldest first
	came      float64 // recent number of messages, decaying
	cameAt    time.Duration
	active    bool // is in the sender's list of active destinations
}

// gate is the admission control of the paper with two bounds, for one destination and class. The waiting time
// of one class, at its place in the order, says nothing about that of another.
type gate struct {
	average, baseline float64 // seconds
	at                time.Duration
	seen, shut        bool
	lastTrial         time.Duration
}

// route is what limits, waits and outages apply to: a destination, or an endpoint that is a separate route.
type route struct {
	waitUntil time.Duration // no call before; contract rule six
	limit     float64       // calls a second as reported
	reported  bool
	left      float64 // remaining share of the limit at the last report
	weight    float64
	part      float64 // of the limit, in multiples of this sender's share of the traffic
	partAt    time.Duration
	refusals  int // in a row
	cutAt     time.Duration
	most      float64 // upper bound of rateShare
	tokens    float64
	tokensAt  time.Duration
	fails     int           // in a row
	failedAt  time.Duration // the first of these
	rest      time.Duration // pause after the last of the rejections in a row
	sick      bool
	harmless  bool // the last failure proved that nothing ran
	trialAt   time.Duration
	backoff   time.Duration
	trial     bool          // a half-open call is out
	coldFrom  time.Duration // start of the slow start; 0 for none
	struckAt  time.Duration // start of the outage
	demand    float64       // this sender's messages for the route since then
	busiest   float64       // most calls that succeeded in a second, for a route without any limit
	passed    float64
	passedAt  time.Duration
}

type endpoint struct {
	id       string
	zone     int
	dest     *destination
	route    *route
	listed   bool // as Ready
	ready    bool
	warming  *route        // its own budget, while it is in slow start after being disabled
	response float64       // smoothed seconds, with failures counted as slow
	usual    float64       // smoothed seconds of successful calls
	provenAt time.Duration // latest start of a call that succeeded in the typical time
	sentAt   time.Duration // start of the last call
	gap      float64       // smoothed seconds between calls
	out      int           // number of calls out

	// Its connection table, once that was full.
	crowdedAt time.Duration // last sign of a full table
	room      float64       // calls that had a place then; 0 if it was never full
	shyTil    time.Duration // with no call there it gets none until then
}

type message struct {
	id        string
	class     *Class
	key       string
	worth     float64
	dest      *destination
	gate      *gate
	arrived   time.Duration
	born      time.Duration // first submission, derived from the deadline
	aim       time.Duration
	dropDead  time.Duration
	attempts  int
	out       int
	mayRun    time.Duration // start of the first attempt that may have run
	touched   bool          // there is such an attempt
	zone      int           // zone of its endpoint
	notBefore time.Duration
	waits     bool
	over      bool
}

// attempt identifies one Send.
type attempt struct {
	id string
	n  int
}

// pendingAttempt is a message in a call.
type sending struct {
	m *message
	c *call
}

// call is one call at an endpoint, with one or several messages.
type call struct {
	ep         *endpoint
	sentAt     time.Duration
	left       int
	trial      bool
	sends      []attempt
	called     bool // its attempts were canceled
	repeatable bool // none of its messages is AtMostOnce
}

// emit adds an action to the result of the step.
func (s *Sender) do(a Action) { s.actions = append(s.actions, a) }

// seconds and duration convert between durations and seconds.
func seconds(t time.Duration) float64 { return t.Seconds() }

func span(sec float64) time.Duration { return time.Duration(sec * float64(time.Second)) }

// destination returns the state of a destination, which is new if it was never mentioned before.
func (s *Sender) destination(id int) *destination {
	d := s.dests[id]
	if d == nil {
		d = &destination{id: id, emptied: s.now, shared: newRoute(), gates: make([]gate, len(s.cfg.Classes)+1)}
		s.dests[id] = d
		s.order = append(s.order, d)
	}
	return d
}

// removeUnlisted removes the endpoints that are not in a complete list.
func (s *Sender) keepOnly(entries []Entry) {
	named := make(map[string]bool, len(entries))
	for _, entry := range entries {
		named[entry.Endpoint] = true
	}
	for _, d := range s.order {
		for _, e := range slices.Clone(d.endpoints) {
			if !named[e.id] {
				s.drop(e)
			}
		}
	}
}

// removeEndpoint removes an endpoint that has left the list. Calls out there refer to it until they end. If
// its id comes back it starts without history, except for a wait told by a separate route.
func (s *Sender) drop(e *endpoint) {
	e.ready = false
	delete(s.eps, e.id)
	e.dest.endpoints = slices.DeleteFunc(e.dest.endpoints, func(o *endpoint) bool { return o == e })
	e.dest.emptied = s.now
	s.inherit(e)
}

// carryOverWait keeps a wait that was told after its endpoint had left the list: it applies to any endpoint
// of that id.
func (s *Sender) inherit(e *endpoint) {
	heir := s.eps[e.id]
	if heir == e || e.route == e.dest.shared || s.now >= e.route.waitUntil {
		return
	}
	if heir != nil {
		heir.route.waitUntil = max(heir.route.waitUntil, e.route.waitUntil)
	} else {
		s.parted[e.id] = e.route.waitUntil
	}
}

// EndpointCounts returns the number of listed endpoints, and the number of these that get no ordinary calls
// for now.
func (s *Sender) EndpointCounts() (listed, avoided int) {
	for _, e := range s.eps {
		if e.route.sick || s.barred[e.id] {
			avoided++
		}
	}
	return len(s.eps), avoided
}

// forgetUnused forgets destinations without endpoints for a long time and without messages or calls, and
// waits that have ended.
func (s *Sender) forget() {
	s.order = slices.DeleteFunc(s.order, func(d *destination) bool {
		if len(d.endpoints) > 0 || d.active || s.now-d.emptied < forgetAfter || s.now < d.shared.waitUntil {
			return false
		}
		delete(s.dests, d.id)
		return true
	})
	maps.DeleteFunc(s.parted, func(_ string, until time.Duration) bool { return s.now >= until })
}

// pauseKey starts the pause of a key, and forgets the pauses that have ended.
func (s *Sender) restKey(key string) {
	until := s.now + s.cfg.KeyPause
	s.rests[key] = until
	s.resting = append(s.resting, keyRest{key, until})
	for s.resting[0].until <= s.now {
		if s.rests[s.resting[0].key] <= s.now {
			delete(s.rests, s.resting[0].key)
		}
		if s.resting = s.resting[1:]; len(s.resting) == 0 {
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
func (s *Sender) apart(d *destination) bool {
	return d.kind >= 0 && d.kind < len(s.cfg.Kinds) && s.cfg.Kinds[d.kind].SeparateRoutes
}

// maxBatch is the maximum number of messages in one call.
func (s *Sender) batch(d *destination) int {
	if d.kind < 0 || d.kind >= len(s.cfg.Kinds) {
		return 1
	}
	return max(s.cfg.Kinds[d.kind].MaxBatch, 1)
}

// enqueue adds a message to its destination's waiting messages, in order of arrival.
func (s *Sender) enqueue(m *message) {
	if m.waits || m.over {
		return
	}
	d := m.dest
	if !d.active {
		d.active = true
		s.active = append(s.active, d)
	}
	m.waits = true
	i := len(d.waiting)
	for i > 0 && d.waiting[i-1].arrived > m.arrived {
		i--
	}
	d.waiting = append(d.waiting, nil)
	copy(d.waiting[i+1:], d.waiting[i:])
	d.waiting[i] = m
}

// dequeue removes a message from the waiting messages.
func (d *destination) dequeue(m *message) {
	if !m.waits {
		return
	}
	m.waits = false
	for i, w := range d.waiting {
		if w == m {
			d.waiting = append(d.waiting[:i], d.waiting[i+1:]...)
			return
		}
	}
}

// finishCall frees the slot of a call when all its messages have their outcomes.
func (s *Sender) hangEnd(c *call) {
	s.busy--
	c.ep.out--
	d := c.ep.dest
	for i, o := range d.calls {
		if o == c {
			d.calls = append(d.calls[:i], d.calls[i+1:]...)
			break
		}
	}
}

// trimKeyQueue removes ended messages from the head of a key's queue; one with an attempt out still has its
// turn.
func (s *Sender) trimLine(key string) {
	line := s.lines[key]
	if len(line) == 0 {
		return
	}
	for len(line) > 0 && line[0].over && line[0].out == 0 {
		line = line[1:]
	}
	if s.lines[key] = line; len(line) == 0 {
		delete(s.lines, key)
	}
}
