// Package partner models one partner, the external system that messages are sent to: its rate limit, its
// queue and service time, its outages and its slow start. It is a pure state machine: an event and a time go
// in, actions come out, and randomness comes from a source that is passed in. The lab serves it on sockets,
// the model of the fleet in virtual time.
//
// A partner is the organization with all its endpoints; a destination is what a message is addressed to.
//
// The model follows what the protocol page and the brief say of destinations. It is not a measurement of any
// real one.
package partner

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Limit is the rate limit that a partner applies to all senders together.
type Limit struct {
	PerSecond     float64       // calls a second; 0: limited by capacity only
	Window        time.Duration `json:"Span"` // count calls in fixed windows of this length; 0: a token bucket
	Burst         time.Duration // of a token bucket: the bucket holds the calls of this time, at least one call
	CountsRefused bool          // refused calls count against the limit as well
}

// Config is the behavior of a partner. A zero share or variation disables that behavior.
type Config struct {
	Endpoints   int // at the start, at least 1
	Workers     int // of each endpoint: calls served at once, at least 1
	QueueLength int `json:"Queue"` // of each endpoint: maximum number of calls that wait for a worker
	MaxConns    int `json:"Conns"` // of each endpoint: maximum number of connections, idle ones included; 0: unlimited
	MaxBatch    int `json:"Batch"` // maximum number of messages in a call; 0 and 1: no batches

	ServiceTime          time.Duration `json:"Pace"`     // mean time to serve a call of one message
	ServiceTimeVariation float64       `json:"Spread"`   // coefficient of variation of the service time
	ExtraItemCost        float64       `json:"ItemCost"` // cost of each further message in a call, as a share of the first one's

	Limit           Limit
	RetryAfterShare float64          `json:"TellsWait"` // share of the calls refused above the limit or while rejecting whose refusal tells how long to wait
	RetryAfterRange [2]time.Duration `json:"Wait"`      // range of the waits that a token bucket tells
	DedupWindow     time.Duration    `json:"Window"`    // a repeat under the same key is dropped for this long

	ErrorShare            float64 `json:"Faults"` // share of messages that end as an error
	DeferShare            float64 `json:"Defers"` // share of messages in batches that are deferred without having run
	LostAnswerShare       float64 `json:"Lost"`   // share of calls that run and whose answer is lost
	UnreadableAnswerShare float64 `json:"Spoilt"` // share of calls that run and whose answer can't be parsed

	SlowStartFrom     float64       `json:"ColdFrom"`     // share of its capacity right after an outage, above 0
	SlowStartDuration time.Duration `json:"WarmWithin"`   // time until it has its full capacity again
	CollapseMultiple  float64       `json:"FallMultiple"` // a partner in slow start that is sent more than this multiple of its current capacity
	CollapseSpan      time.Duration `json:"Fall"`         // within any period of this length collapses; 0: it never does
}

// Check validates the Config.
func (c Config) Check() error {
	for _, share := range []struct {
		name string
		v    float64
	}{{"tells_wait", c.RetryAfterShare}, {"faults", c.ErrorShare}, {"defers", c.DeferShare}, {"lost", c.LostAnswerShare}, {"spoilt", c.UnreadableAnswerShare}} {
		if !(share.v >= 0 && share.v <= 1) {
			return fmt.Errorf("%s must be a share from 0 to 1, is %v", share.name, share.v)
		}
	}
	switch {
	case c.Endpoints < 1 || c.Workers < 1:
		return fmt.Errorf("a partner needs at least one endpoint and one worker, has %d and %d", c.Endpoints, c.Workers)
	case c.ServiceTime <= 0:
		return fmt.Errorf("pace must be above 0, is %v", c.ServiceTime)
	case c.QueueLength < 0 || c.MaxConns < 0 || c.ServiceTimeVariation < 0 || c.ExtraItemCost < 0 || c.Limit.PerSecond < 0 || c.Limit.Window < 0 || c.Limit.Burst < 0:
		return fmt.Errorf("a count, spread, cost or limit is below 0")
	case c.RetryAfterRange[0] < 0 || c.RetryAfterRange[1] < c.RetryAfterRange[0]:
		return fmt.Errorf("wait %v is not a range from 0 upwards", c.RetryAfterRange)
	case c.CollapseSpan > 0 && !(c.SlowStartFrom > 0 && c.SlowStartFrom <= 1):
		return fmt.Errorf("cold_from must be above 0 and at most 1, is %v", c.SlowStartFrom)
	}
	return nil
}

// Capacity returns the calls of one message that all endpoints serve in a second at full capacity.
func (c Config) Capacity() float64 {
	return float64(c.Endpoints*c.Workers) / c.ServiceTime.Seconds()
}

// FaultKind is what a fault does to an endpoint.
type FaultKind uint8

// All but Slow and Lossy are outages: the endpoint is in slow start when they end.
const (
	Slow      FaultKind = iota // serves Size times slower
	Lossy                      // loses the share Size of its answers
	Failing                    // answers the share Size with an error
	Rejecting                  // refuses all calls, and may tell until when
	Silent                     // accepts calls, runs the share Size of their messages, and answers none
	Down                       // its connections are reset, and new ones refused
)

var faultNames = [...]string{Slow: "slow", Lossy: "lossy", Failing: "failing", Rejecting: "shut", Silent: "silent", Down: "down"}

func (t FaultKind) String() string { return faultNames[t] }

// ParseFaultKind parses the name of a FaultKind.
func ParseFaultKind(name string) (FaultKind, bool) {
	i := slices.Index(faultNames[:], name)
	return FaultKind(max(i, 0)), i >= 0
}

// Event is an input of a partner.
type Event interface{ event() }

// ConnOpened says that a sender opened a connection. Conn is its number and is never reused.
type ConnOpened struct {
	Conn     uint64
	Endpoint int
}

// ConnClosed says that a connection ended. Calls being served on it continue; their answers are lost.
type ConnClosed struct{ Conn uint64 }

// Item is a message in a call.
type Item struct{ ID, Key string }

// CallReceived is a call whose last byte has arrived. Call is its number and is never reused. A call without
// items is a probe.
type CallReceived struct {
	Call, Conn uint64
	Endpoint   int
	Sender     int
	Items      []Item
}

// FaultStarted starts a fault, which lasts until Until, or forever if that is 0. Faults may overlap.
type FaultStarted struct {
	Endpoint int // -1: all present endpoints
	Kind     FaultKind
	Size     float64
	Until    time.Duration
}

// EndpointAdded brings an endpoint into service; endpoints are numbered in the order in which they are added.
type EndpointAdded struct{}

// LimitChanged sets the rate limit to a share of the configured one.
type LimitChanged struct{ Share float64 }

// Tick says only that time has passed.
type Tick struct{}

func (ConnOpened) event()    {}
func (ConnClosed) event()    {}
func (CallReceived) event()  {}
func (FaultStarted) event()  {}
func (EndpointAdded) event() {}
func (LimitChanged) event()  {}
func (Tick) event()          {}

// Status is how a call was answered.
type Status uint8

// Only the statuses up to TooManyConns prove that nothing has run.
const (
	AboveLimit       Status = iota // above the rate limit, with a retry-after or without
	Rejected                       // the partner refuses all calls, see Rejecting
	QueueFull                      // the endpoint's queue is full
	TooManyConns                   // the endpoint has too many connections
	Served                         // with an outcome for each message
	Errored                        // the call as a whole failed
	AnswerLost                     // the messages ran, and the connection was reset before the answer
	AnswerUnreadable               // the messages ran, and the answer can't be parsed
)

// Refused reports that nothing of the call has run.
func (s Status) Refused() bool { return s <= TooManyConns }

// Outcome is how one message of a call ended.
type Outcome uint8

const (
	Accepted Outcome = iota
	Failed           // it may have run
	Deferred         // it never ran
)

// Action is an output of a partner.
type Action interface{ action() }

// Answer ends a call. If its connection has ended, nobody receives it.
type Answer struct {
	Call       uint64
	Status     Status
	Outcomes   []Outcome     // of Served
	RetryAfter time.Duration // told with a refusal; 0: none
}

// Executed says that a message has taken effect.
type Executed struct {
	Call     uint64
	ID       string
	Repeated bool // it is a repeat without a key, or under a key whose deduplication window is over
}

// ConnsReset says that an endpoint's connections were reset, and that it accepts none until EndpointRestored.
type ConnsReset struct{ Endpoint int }

// EndpointRestored says that an endpoint accepts connections again.
type EndpointRestored struct{ Endpoint int }

// Collapsed says that the partner was sent more than it can carry in slow start. It stays down.
type Collapsed struct {
	CallsBySender map[int]float64 // calls within CollapseSpan by sender
	Budget        float64
}

func (Answer) action()           {}
func (Executed) action()         {}
func (ConnsReset) action()       {}
func (EndpointRestored) action() {}
func (Collapsed) action()        {}

type endpoint struct {
	conns      int
	busy       int
	waiting    []uint64 // numbers of calls, oldest first
	faults     []FaultStarted
	outage     bool          // in an outage
	slowStart  bool          // has returned from an outage,
	returnedAt time.Duration // at this time
}

type job struct {
	CallReceived
	endsAt    time.Duration
	running   bool
	heapIndex int // index in the heap; -1: it never ends by itself
}

type conn struct {
	endpoint  int
	overLimit bool // beyond the endpoint's maximum number of connections
}

type sentCall struct {
	at     time.Duration
	sender int
	weight float64
}

// Partner is the state of one partner. It is not safe for concurrent use.
type Partner struct {
	cfg        Config
	rand       *rand.Rand
	now        time.Duration
	limitShare float64 // of the rate limit that is in force

	endpoints   []endpoint
	conns       map[uint64]conn
	jobs        map[uint64]*job
	due         jobQueue
	firstRun    map[string]time.Duration // when a key, or an id without a key, first ran
	recentCalls []sentCall
	collapsed   bool

	tokens     float64       // of a token bucket; below 0 where refused calls count
	refilledAt time.Duration // when the tokens were last refilled
	window     int64         // of a limit by windows: number of the current window
	windowUsed float64
}

// New returns a partner at full capacity. The Config must pass Check.
func New(cfg Config, r *rand.Rand) *Partner {
	p := &Partner{
		cfg: cfg, rand: r, limitShare: 1, endpoints: make([]endpoint, cfg.Endpoints), conns: map[uint64]conn{}, jobs: map[uint64]*job{},
		firstRun: map[string]time.Duration{},
	}
	p.tokens = p.bucketSize()
	return p
}

// NextTick returns when the partner needs a Tick; false if it needs none.
func (p *Partner) NextTick() (time.Duration, bool) {
	next, ok := time.Duration(math.MaxInt64), false
	if len(p.due) > 0 {
		next, ok = p.due[0].endsAt, true
	}
	for i := range p.endpoints {
		for _, s := range p.endpoints[i].faults {
			if s.Until > 0 {
				next, ok = min(next, s.Until), true
			}
		}
	}
	return next, ok
}

// IsDown reports that an endpoint accepts no connections.
func (p *Partner) IsDown(endpoint int) bool { return p.endpoints[endpoint].activeFault(Down) != nil }

// HasCollapsed reports that the partner has collapsed.
func (p *Partner) HasCollapsed() bool { return p.collapsed }

// CallsInFlight returns the number of calls that are queued or being served.
func (p *Partner) CallsInFlight() int { return len(p.jobs) }

// CurrentCapacity returns the calls of one message that the partner can now serve in a second.
func (p *Partner) CurrentCapacity() float64 {
	sum := 0.0
	for i := range p.endpoints {
		sum += p.capacityShare(&p.endpoints[i])
	}
	return sum * float64(p.cfg.Workers) / p.cfg.ServiceTime.Seconds()
}

// Step handles an event at a time that is not before that of the last event. It first handles everything that
// is due by then.
func (p *Partner) Step(now time.Duration, ev Event) []Action {
	var acts []Action
	for {
		next, ok := p.NextTick()
		if !ok || next > now {
			break
		}
		p.now = max(p.now, next)
		acts = p.runDue(acts)
	}
	p.now = max(p.now, now)
	switch ev := ev.(type) {
	case ConnOpened:
		e := &p.endpoints[ev.Endpoint]
		e.conns++
		p.conns[ev.Conn] = conn{ev.Endpoint, p.cfg.MaxConns > 0 && e.conns > p.cfg.MaxConns}
	case ConnClosed:
		if c, ok := p.conns[ev.Conn]; ok {
			delete(p.conns, ev.Conn)
			p.endpoints[c.endpoint].conns--
		}
		p.dropQueued(ev.Conn)
	case CallReceived:
		acts = p.receiveCall(ev, acts)
	case FaultStarted:
		for i := range p.endpoints {
			if ev.Endpoint == i || ev.Endpoint < 0 {
				acts = p.startFault(i, ev, acts)
			}
		}
	case EndpointAdded:
		p.endpoints = append(p.endpoints, endpoint{})
	case LimitChanged:
		p.refill()
		p.limitShare = ev.Share
		p.tokens = min(p.tokens, p.bucketSize())
	}
	return acts
}

// runDue handles what is due at p.now: the ends of faults, then calls in the order of their end times and
// numbers.
func (p *Partner) runDue(acts []Action) []Action {
	for i := range p.endpoints {
		e := &p.endpoints[i]
		wasDown := e.activeFault(Down) != nil
		n := len(e.faults)
		e.faults = slices.DeleteFunc(e.faults, func(s FaultStarted) bool { return s.Until > 0 && s.Until <= p.now })
		if n == len(e.faults) {
			continue
		}
		if e.outage && !e.inOutage() {
			e.outage, e.slowStart, e.returnedAt = false, true, p.now
		}
		if wasDown && e.activeFault(Down) == nil {
			acts = append(acts, EndpointRestored{i})
		}
	}
	for len(p.due) > 0 && p.due[0].endsAt <= p.now {
		j := heap.Pop(&p.due).(*job)
		acts = p.finish(j, acts)
	}
	return acts
}

func (p *Partner) startFault(i int, fault FaultStarted, acts []Action) []Action {
	e := &p.endpoints[i]
	down := e.activeFault(Down) != nil
	e.faults = append(e.faults, fault)
	e.outage = e.outage || e.inOutage()
	if fault.Kind == Down && !down {
		for id, c := range p.conns {
			if c.endpoint == i {
				delete(p.conns, id)
			}
		}
		e.conns, e.busy, e.waiting = 0, 0, nil
		for id, j := range p.jobs { // whether the calls being served have run stays unknown
			if j.Endpoint == i {
				p.dropJob(id, j)
			}
		}
		acts = append(acts, ConnsReset{i})
	}
	return acts
}

func (p *Partner) receiveCall(c CallReceived, acts []Action) []Action {
	e := &p.endpoints[c.Endpoint]
	acts = p.trackCollapse(c, acts)
	refuse := func(s Status, retryAfter time.Duration) []Action {
		return append(acts, Answer{Call: c.Call, Status: s, RetryAfter: retryAfter})
	}
	if e.activeFault(Down) != nil {
		return append(acts, Answer{Call: c.Call, Status: AnswerLost})
	}
	if e.activeFault(Silent) == nil {
		if p.conns[c.Conn].overLimit {
			return refuse(TooManyConns, 0)
		}
		if s := e.activeFault(Rejecting); s != nil {
			wait := time.Duration(0)
			if s.Until > 0 && p.chance(p.cfg.RetryAfterShare) {
				wait = s.Until - p.now
			}
			return refuse(Rejected, wait)
		}
	}
	if ok, wait := p.admit(); !ok {
		return refuse(AboveLimit, wait)
	}
	if e.busy >= p.cfg.Workers && len(e.waiting) >= p.cfg.QueueLength {
		return refuse(QueueFull, 0)
	}
	j := &job{CallReceived: c, heapIndex: -1}
	p.jobs[c.Call] = j
	if e.busy >= p.cfg.Workers {
		e.waiting = append(e.waiting, c.Call)
	} else {
		p.serve(e, j)
	}
	return acts
}

// serve starts serving a call.
func (p *Partner) serve(e *endpoint, j *job) {
	e.busy++
	j.running = true
	weight := 1 + p.cfg.ExtraItemCost*float64(max(len(j.Items), 1)-1)
	seconds := p.cfg.ServiceTime.Seconds() * weight * p.randomFactor() / p.capacityShare(e)
	for _, s := range e.faults {
		if s.Kind == Slow {
			seconds *= max(s.Size, 1)
		}
	}
	j.endsAt = p.now + max(time.Duration(seconds*float64(time.Second)), time.Microsecond)
	heap.Push(&p.due, j)
}

func (p *Partner) finish(j *job, acts []Action) []Action {
	e := &p.endpoints[j.Endpoint]
	delete(p.jobs, j.Call)
	p.serveNext(e)
	if s := e.activeFault(Silent); s != nil {
		if len(j.Items) > 0 && p.chance(s.Size) {
			for _, it := range j.Items {
				acts = p.execute(j, it, acts)
			}
		}
		return acts
	}
	if s := e.activeFault(Failing); s != nil && p.chance(s.Size) {
		if p.chance(0.5) {
			for _, it := range j.Items {
				acts = p.execute(j, it, acts)
			}
		}
		return append(acts, Answer{Call: j.Call, Status: Errored})
	}
	outcomes := make([]Outcome, len(j.Items))
	for i, it := range j.Items {
		switch {
		case len(j.Items) > 1 && p.chance(p.cfg.DeferShare):
			outcomes[i] = Deferred
			continue
		case p.chance(p.cfg.ErrorShare):
			outcomes[i] = Failed
			if p.chance(0.5) {
				continue
			}
		}
		acts = p.execute(j, it, acts)
	}
	status := Served
	lost := p.cfg.LostAnswerShare
	if s := e.activeFault(Lossy); s != nil {
		lost = max(lost, s.Size)
	}
	switch {
	case p.chance(lost):
		status = AnswerLost
	case p.chance(p.cfg.UnreadableAnswerShare):
		status = AnswerUnreadable
	case len(outcomes) == 1 && outcomes[0] == Failed:
		status = Errored
	}
	return append(acts, Answer{Call: j.Call, Status: status, Outcomes: outcomes})
}

// serveNext hands a free worker to the call that has waited longest.
func (p *Partner) serveNext(e *endpoint) {
	e.busy = max(e.busy-1, 0)
	for len(e.waiting) > 0 && e.busy < p.cfg.Workers {
		j := p.jobs[e.waiting[0]]
		e.waiting = e.waiting[1:]
		if j != nil {
			p.serve(e, j)
		}
	}
}

// dropQueued removes the queued calls of a connection that has ended; those being served continue.
func (p *Partner) dropQueued(conn uint64) {
	for id, j := range p.jobs {
		if j.Conn == conn && !j.running {
			delete(p.jobs, id)
			e := &p.endpoints[j.Endpoint]
			e.waiting = slices.DeleteFunc(e.waiting, func(c uint64) bool { return c == id })
		}
	}
}

func (p *Partner) dropJob(id uint64, j *job) {
	delete(p.jobs, id)
	if j.heapIndex >= 0 && j.running {
		heap.Remove(&p.due, j.heapIndex)
	}
}

// execute lets a message take effect, unless its key is known and the key's deduplication window is still
// open.
func (p *Partner) execute(j *job, it Item, acts []Action) []Action {
	name := "id " + it.ID
	if it.Key != "" {
		name = "key " + it.Key
	}
	first, before := p.firstRun[name]
	if before && it.Key != "" && p.now-first < p.cfg.DedupWindow {
		return acts
	}
	p.firstRun[name] = p.now
	return append(acts, Executed{Call: j.Call, ID: it.ID, Repeated: before})
}

// admit counts a call against the rate limit. A refused call may be told a retry-after, at the end of which
// there is room again unless others take it.
func (p *Partner) admit() (bool, time.Duration) {
	l := p.cfg.Limit
	switch {
	case l.PerSecond <= 0:
		return true, 0
	case l.Window > 0:
		if window := int64(p.now / l.Window); window != p.window {
			p.window, p.windowUsed = window, 0
		}
		if p.windowUsed < math.Max(1, math.Round(l.PerSecond*p.limitShare*l.Window.Seconds())) {
			p.windowUsed++
			return true, 0
		}
		if !p.chance(p.cfg.RetryAfterShare) {
			return false, 0
		}
		return false, time.Duration(p.window+1)*l.Window - p.now
	}
	p.refill()
	if p.tokens >= 1 {
		p.tokens--
		return true, 0
	}
	if l.CountsRefused {
		p.tokens = max(p.tokens-1, -p.bucketSize())
	}
	if !p.chance(p.cfg.RetryAfterShare) {
		return false, 0
	}
	wait := p.cfg.RetryAfterRange[0] + time.Duration(p.rand.Float64()*float64(p.cfg.RetryAfterRange[1]-p.cfg.RetryAfterRange[0]))
	untilToken := time.Duration((1 - p.tokens) / (l.PerSecond * p.limitShare) * float64(time.Second))
	return false, max(wait, untilToken+time.Millisecond)
}

func (p *Partner) bucketSize() float64 {
	return max(1, p.cfg.Limit.PerSecond*p.limitShare*p.cfg.Limit.Burst.Seconds())
}

func (p *Partner) refill() {
	p.tokens = min(p.bucketSize(), p.tokens+(p.now-p.refilledAt).Seconds()*p.cfg.Limit.PerSecond*p.limitShare)
	p.refilledAt = p.now
}

// trackCollapse counts a call that reaches a partner in slow start, and lets the partner collapse if the
// calls exceed its budget.
func (p *Partner) trackCollapse(c CallReceived, acts []Action) []Action {
	if p.cfg.CollapseSpan <= 0 || p.collapsed {
		return acts
	}
	p.recentCalls = slices.DeleteFunc(p.recentCalls, func(q sentCall) bool { return q.at <= p.now-p.cfg.CollapseSpan })
	slowStart := false
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if e.outage {
			return acts // the outage continues: these calls don't reach an endpoint in slow start
		}
		slowStart = slowStart || p.inSlowStart(e)
	}
	if !slowStart {
		p.recentCalls = nil
		return acts
	}
	p.recentCalls = append(p.recentCalls, sentCall{p.now, c.Sender, 1 + p.cfg.ExtraItemCost*float64(max(len(c.Items), 1)-1)})
	sum := 0.0
	for _, q := range p.recentCalls {
		sum += q.weight
	}
	budget := p.cfg.CollapseMultiple * p.CurrentCapacity() * p.cfg.CollapseSpan.Seconds()
	if budget += 2 + math.Sqrt(budget); sum <= budget { // allow for random variation
		return acts
	}
	p.collapsed = true
	bySender := map[int]float64{}
	for _, q := range p.recentCalls {
		bySender[q.sender] += q.weight
	}
	acts = append(acts, Collapsed{CallsBySender: bySender, Budget: budget})
	for i := range p.endpoints {
		acts = p.startFault(i, FaultStarted{Endpoint: i, Kind: Down}, acts)
	}
	return acts
}

func (p *Partner) inSlowStart(e *endpoint) bool {
	return e.slowStart && p.now < e.returnedAt+p.cfg.SlowStartDuration
}

// capacityShare returns the share of its full capacity that an endpoint has now.
func (p *Partner) capacityShare(e *endpoint) float64 {
	if !p.inSlowStart(e) {
		return 1
	}
	return p.cfg.SlowStartFrom + (1-p.cfg.SlowStartFrom)*float64(p.now-e.returnedAt)/float64(p.cfg.SlowStartDuration)
}

// randomFactor draws a lognormal factor of mean 1.
func (p *Partner) randomFactor() float64 {
	if p.cfg.ServiceTimeVariation == 0 {
		return 1
	}
	s2 := math.Log(1 + p.cfg.ServiceTimeVariation*p.cfg.ServiceTimeVariation)
	return math.Exp(p.rand.NormFloat64()*math.Sqrt(s2) - s2/2)
}

func (p *Partner) chance(share float64) bool { return share > 0 && p.rand.Float64() < share }

// activeFault returns the endpoint's latest fault of a kind, or nil.
func (e *endpoint) activeFault(t FaultKind) *FaultStarted {
	for i := len(e.faults) - 1; i >= 0; i-- {
		if e.faults[i].Kind == t {
			return &e.faults[i]
		}
	}
	return nil
}

// inOutage reports that the endpoint will be in slow start after its faults. Failing below half of the calls
// is not an outage.
func (e *endpoint) inOutage() bool {
	f := e.activeFault(Failing)
	return e.activeFault(Down) != nil || e.activeFault(Silent) != nil || e.activeFault(Rejecting) != nil || (f != nil && f.Size >= 0.5)
}

// jobQueue is a heap of calls by end time, ties by number.
type jobQueue []*job

func (d jobQueue) Len() int { return len(d) }
func (d jobQueue) Less(a, b int) bool {
	if d[a].endsAt != d[b].endsAt {
		return d[a].endsAt < d[b].endsAt
	}
	return d[a].Call < d[b].Call
}
func (d jobQueue) Swap(a, b int) {
	d[a], d[b] = d[b], d[a]
	d[a].heapIndex, d[b].heapIndex = a, b
}
func (d *jobQueue) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*d)
	*d = append(*d, j)
}
func (d *jobQueue) Pop() any {
	old := *d
	j := old[len(old)-1]
	*d = old[:len(old)-1]
	j.heapIndex = -1
	return j
}
