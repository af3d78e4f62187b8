package choice

import (
	"maps"
	"math/rand/v2"
	"time"
)

// Saved is the state of a sender between two steps. A sender restored from it in another process acts as the
// saved one would have. The clock of both processes must be the same.
//
// The composite literals below have no field names on purpose: a field that is added to one of the types must
// be added there as well, or the package does not compile. The JSON names stay as they are, because the other
// process may be another build.
type Saved struct {
	Now                  time.Duration
	Random               []byte
	Dests                []SavedDestination
	ActiveDests          []int            `json:"Active"` // indices in Dests
	Messages             []SavedMessage   // the open ones in their order, then those that have ended and have an attempt out
	OpenCount            int              `json:"Open"`
	KeyQueues            map[string][]int `json:"Lines"` // indices in Messages
	Calls                []SavedCall
	KeyPauses            map[string]time.Duration `json:"Rests"`
	PausedKeys           []SavedKeyPause          `json:"Resting"`
	RemovedWaits         map[string]time.Duration `json:"Parted"`
	Disabled             map[string]bool          `json:"Barred"`
	TableFullUntil       map[int]time.Duration    `json:"Crowded"`
	DistrustReusedUntil  time.Duration            `json:"WornTil"`
	Tenants              []SavedTenant
	CallsMade            uint64        `json:"Made"`
	WatchBackoff         time.Duration `json:"Asking"`
	WatchAt              time.Duration `json:"AskAt"`
	FailureShare         float64       `json:"Failing"`
	FirstSubmissions     float64       `json:"Came"`
	FirstSubmissionsSpan float64       `json:"Seen"`
	FirstSubmissionsAt   time.Duration `json:"CameAt"`
}

// SavedKeyPause is the saved form of a keyPause.
type SavedKeyPause struct {
	Key   string
	Until time.Duration
}

// SavedTenant is the saved form of a tenant.
type SavedTenant struct {
	Tokens    float64
	UpdatedAt time.Duration `json:"At"`
}

// SavedGate is the saved form of a gate.
type SavedGate struct {
	Average, Baseline float64
	UpdatedAt         time.Duration `json:"At"`
	Sampled           bool          `json:"Seen"`
	Closed            bool          `json:"Shut"`
	LastTrialAt       time.Duration `json:"LastTrial"`
}

// SavedRoute is the saved form of a route.
type SavedRoute struct {
	WaitUntil       time.Duration
	Limit           float64
	LimitReported   bool    `json:"Reported"`
	LimitLeft       float64 `json:"Left"`
	Weight          float64
	RateShare       float64       `json:"Part"`
	RateShareAt     time.Duration `json:"PartAt"`
	Rejections      int           `json:"Refusals"`
	DecreasedAt     time.Duration `json:"CutAt"`
	MaxRateShare    float64       `json:"Most"`
	Tokens          float64
	TokensAt        time.Duration
	Failures        int           `json:"Fails"`
	FirstFailureAt  time.Duration `json:"FailedAt"`
	RejectionPause  time.Duration `json:"Rest"`
	BreakerOpen     bool          `json:"Sick"`
	NothingRan      bool          `json:"Harmless"`
	HalfOpenAt      time.Duration `json:"TrialAt"`
	HalfOpenBackoff time.Duration `json:"Backoff"`
	HalfOpenCallOut bool          `json:"Trial"`
	SlowStartAt     time.Duration `json:"ColdFrom"`
	OutageAt        time.Duration `json:"StruckAt"`
	OutageDemand    float64       `json:"Demand"`
	PeakRate        float64       `json:"Busiest"`
	Successes       float64       `json:"Passed"`
	SuccessesSince  time.Duration `json:"PassedAt"`
}

// SavedEndpoint is the saved form of an endpoint; Route is nil if it uses its destination's shared route.
type SavedEndpoint struct {
	ID               string
	Zone             int
	Route            *SavedRoute
	ListedReady      bool `json:"Listed"`
	Ready            bool
	SlowStart        *SavedRoute   `json:"Warming"`
	ResponseTime     float64       `json:"Response"`
	TypicalTime      float64       `json:"Usual"`
	LastPromptCallAt time.Duration `json:"ProvenAt"`
	LastCallAt       time.Duration `json:"SentAt"`
	CallGap          float64       `json:"Gap"`
	TableFullAt      time.Duration `json:"CrowdedAt"`
	TableRoom        float64       `json:"Room"`
	AvoidUntil       time.Duration `json:"ShyTil"`
}

// SavedDestination is the saved form of a destination. Its endpoints are the first ListedCount, which are in
// the list, then those that have left the list and have calls out.
type SavedDestination struct {
	ID          int
	EmptiedAt   time.Duration `json:"Emptied"`
	Gates       []SavedGate   // by class
	Kind        int
	SharedRoute SavedRoute `json:"Shared"`
	Endpoints   []SavedEndpoint
	ListedCount int           `json:"Listed"`
	Waiting     []int         // indices in Messages
	SlotTime    float64       `json:"Used"`
	SlotTimeAt  time.Duration `json:"UsedAt"`
	Arrivals    float64       `json:"Came"`
	ArrivalsAt  time.Duration `json:"CameAt"`
}

// SavedMessage is the saved form of a message.
type SavedMessage struct {
	ID              string
	Class           int
	Key             string
	Worth           float64
	Dest            int           // index in Dests
	ArrivedAt       time.Duration `json:"Arrived"`
	SubmittedAt     time.Duration `json:"Born"`
	SoftDeadline    time.Duration `json:"Aim"`
	Deadline        time.Duration `json:"DropDead"`
	Attempts        int
	MayHaveRunSince time.Duration `json:"MayRun"`
	MayHaveRun      bool          `json:"Touched"`
	MayHaveRunZone  int           `json:"Zone"`
	NotBefore       time.Duration
	Waiting         bool `json:"Waits"`
	Ended           bool
}

// SavedCall is the saved form of a call that is out.
type SavedCall struct {
	Dest, Endpoint int // indices in Dests and its Endpoints
	SentAt         time.Duration
	HalfOpen       bool `json:"Trial"`
	Canceled       bool `json:"Called"`
	Repeatable     bool
	Attempts       []SavedAttempt `json:"Sends"`
}

// SavedAttempt is one message of a call; Message is its index in Messages while its outcome is not known, or
// -1.
type SavedAttempt struct {
	ID      string
	Number  int `json:"Attempt"`
	Message int
}

func (g gate) saved() SavedGate {
	return SavedGate{g.average, g.baseline, g.updatedAt, g.sampled, g.closed, g.lastTrialAt}
}

func (g SavedGate) gate() gate {
	return gate{g.Average, g.Baseline, g.UpdatedAt, g.Sampled, g.Closed, g.LastTrialAt}
}

func (r *route) saved() SavedRoute {
	return SavedRoute{
		r.waitUntil, r.limit, r.limitReported, r.limitLeft, r.weight, r.rateShare, r.rateShareAt,
		r.rejections, r.decreasedAt, r.maxRateShare, r.tokens, r.tokensAt, r.failures, r.firstFailureAt, r.rejectionPause,
		r.breakerOpen, r.nothingRan, r.halfOpenAt, r.halfOpenBackoff, r.halfOpenCallOut,
		r.slowStartAt, r.outageAt, r.outageDemand, r.peakRate, r.successes, r.successesSince,
	}
}

// route restores a route. One without an upper bound of the rate share comes from a build that did not count
// in shares, and gets the initial share.
func (r SavedRoute) route() *route {
	if r.MaxRateShare == 0 {
		r.RateShare, r.MaxRateShare = initialRateShare, maxRateShare
	}
	return &route{
		r.WaitUntil, r.Limit, r.LimitReported, r.LimitLeft, r.Weight, r.RateShare, r.RateShareAt,
		r.Rejections, r.DecreasedAt, r.MaxRateShare, r.Tokens, r.TokensAt, r.Failures, r.FirstFailureAt, r.RejectionPause,
		r.BreakerOpen, r.NothingRan, r.HalfOpenAt, r.HalfOpenBackoff, r.HalfOpenCallOut,
		r.SlowStartAt, r.OutageAt, r.OutageDemand, r.PeakRate, r.Successes, r.SuccessesSince,
	}
}

func (e *endpoint) saved() SavedEndpoint {
	var ownRoute, slowStart *SavedRoute
	if e.route != e.dest.sharedRoute {
		r := e.route.saved()
		ownRoute = &r
	}
	if e.slowStart != nil {
		r := e.slowStart.saved()
		slowStart = &r
	}
	return SavedEndpoint{
		e.id, e.zone, ownRoute, e.listedReady, e.ready, slowStart, e.responseTime, e.typicalTime, e.lastPromptCallAt,
		e.lastCallAt, e.callGap, e.tableFullAt, e.tableRoom, e.avoidUntil,
	}
}

func (e SavedEndpoint) endpoint(d *destination) *endpoint {
	r := d.sharedRoute
	if e.Route != nil {
		r = e.Route.route()
	}
	var slowStart *route
	if e.SlowStart != nil {
		slowStart = e.SlowStart.route()
	}
	return &endpoint{
		e.ID, e.Zone, d, r, e.ListedReady, e.Ready, slowStart, e.ResponseTime, e.TypicalTime, e.LastPromptCallAt,
		e.LastCallAt, e.CallGap, 0, e.TableFullAt, e.TableRoom, e.AvoidUntil,
	}
}

// Save returns the state of a sender. Wakes that it asked for and a Stopping event are not part of it.
func (s *Sender) Save() (Saved, error) {
	random, err := s.source.MarshalBinary()
	if err != nil {
		return Saved{}, err
	}
	v := Saved{
		Now: s.now, Random: random, KeyQueues: map[string][]int{}, KeyPauses: s.keyPauses,
		RemovedWaits: s.removedWaits, Disabled: s.disabled, TableFullUntil: s.tableFullUntil,
		DistrustReusedUntil: s.distrustReusedUntil, CallsMade: s.callsMade, WatchBackoff: s.watchBackoff,
		WatchAt: s.watchAt, FailureShare: s.failureShare,
		FirstSubmissions: s.firstSubmissions, FirstSubmissionsSpan: s.firstSubmissionsSpan, FirstSubmissionsAt: s.firstSubmissionsAt,
	}
	for _, t := range s.tenants {
		v.Tenants = append(v.Tenants, SavedTenant{t.tokens, t.updatedAt})
	}
	for _, k := range s.pausedKeys {
		v.PausedKeys = append(v.PausedKeys, SavedKeyPause{k.key, k.until})
	}
	dests, endpoints, messages := map[*destination]int{}, map[*endpoint]int{}, map[*message]int{}
	for i, d := range s.destOrder {
		dests[d] = i
		saved := SavedDestination{
			d.id, d.emptiedAt, nil, d.kind, d.sharedRoute.saved(), nil, len(d.endpoints), nil, d.slotTime, d.slotTimeAt, d.arrivals, d.arrivalsAt,
		}
		for _, g := range d.gates {
			saved.Gates = append(saved.Gates, g.saved())
		}
		addEndpoint := func(e *endpoint) {
			if _, known := endpoints[e]; !known {
				endpoints[e] = len(saved.Endpoints)
				saved.Endpoints = append(saved.Endpoints, e.saved())
			}
		}
		for _, e := range d.endpoints {
			addEndpoint(e)
		}
		for _, c := range d.calls {
			addEndpoint(c.endpoint)
		}
		v.Dests = append(v.Dests, saved)
	}
	class := map[*Class]int{}
	for i := range s.cfg.Classes {
		class[&s.cfg.Classes[i]] = i
	}
	addMessage := func(m *message) {
		if _, known := messages[m]; known {
			return
		}
		messages[m] = len(v.Messages)
		c, ok := class[m.class]
		if !ok {
			c = -1
		}
		v.Messages = append(v.Messages, SavedMessage{
			m.id, c, m.key, m.worth, dests[m.dest], m.arrivedAt, m.submittedAt, m.softDeadline, m.deadline,
			m.attempts, m.mayHaveRunSince, m.mayHaveRun, m.mayHaveRunZone,
			m.notBefore, m.waiting, m.ended,
		})
	}
	for _, m := range s.openMessages {
		addMessage(m)
	}
	v.OpenCount = len(v.Messages)
	for _, d := range s.destOrder {
		for _, c := range d.calls {
			savedCall := SavedCall{dests[d], endpoints[c.endpoint], c.sentAt, c.halfOpen, c.canceled, c.repeatable, nil}
			for _, a := range c.attempts {
				index := -1
				if pending := s.attemptsOut[a]; pending.c == c {
					addMessage(pending.m)
					index = messages[pending.m]
				}
				savedCall.Attempts = append(savedCall.Attempts, SavedAttempt{a.id, a.number, index})
			}
			v.Calls = append(v.Calls, savedCall)
		}
		for _, m := range d.waiting {
			v.Dests[dests[d]].Waiting = append(v.Dests[dests[d]].Waiting, messages[m])
		}
	}
	for key, queue := range s.keyQueues {
		for _, m := range queue {
			addMessage(m)
			v.KeyQueues[key] = append(v.KeyQueues[key], messages[m])
		}
	}
	for _, d := range s.activeDests {
		v.ActiveDests = append(v.ActiveDests, dests[d])
	}
	return v, nil
}

// Restore returns a sender that goes on from a saved state.
func Restore(cfg Settings, v Saved) (*Sender, error) {
	s := New(cfg, 0)
	if err := s.source.UnmarshalBinary(v.Random); err != nil {
		return nil, err
	}
	s.rng = rand.New(s.source)
	s.now, s.distrustReusedUntil, s.callsMade, s.watchBackoff, s.watchAt, s.failureShare =
		v.Now, v.DistrustReusedUntil, v.CallsMade, v.WatchBackoff, v.WatchAt, v.FailureShare
	s.firstSubmissions, s.firstSubmissionsSpan, s.firstSubmissionsAt = v.FirstSubmissions, v.FirstSubmissionsSpan, v.FirstSubmissionsAt
	maps.Copy(s.keyPauses, v.KeyPauses)
	maps.Copy(s.removedWaits, v.RemovedWaits)
	maps.Copy(s.tableFullUntil, v.TableFullUntil)
	maps.Copy(s.disabled, v.Disabled)
	for i, t := range v.Tenants[:min(len(v.Tenants), len(s.tenants))] {
		s.tenants[i] = tenant{t.Tokens, t.UpdatedAt}
	}
	for _, k := range v.PausedKeys {
		s.pausedKeys = append(s.pausedKeys, keyPause{k.Key, k.Until})
	}
	endpoints := make([][]*endpoint, len(v.Dests))
	for i, d := range v.Dests {
		dest := &destination{
			d.ID, d.EmptiedAt, make([]gate, len(cfg.Classes)+1), d.Kind, d.SharedRoute.route(), nil, nil,
			d.SlotTime, d.SlotTimeAt, nil, d.Arrivals, d.ArrivalsAt,
			false,
		}
		for i, g := range d.Gates[:min(len(d.Gates), len(dest.gates))] {
			dest.gates[i] = g.gate()
		}
		s.dests[d.ID], s.destOrder = dest, append(s.destOrder, dest)
		for n, e := range d.Endpoints {
			restored := e.endpoint(dest)
			endpoints[i] = append(endpoints[i], restored)
			if n < d.ListedCount {
				dest.endpoints = append(dest.endpoints, restored)
				s.endpoints[restored.id] = restored
			}
		}
	}
	messages := make([]*message, len(v.Messages))
	for i, m := range v.Messages {
		messages[i] = &message{
			m.ID, s.class(m.Class), m.Key, m.Worth, s.destOrder[m.Dest], s.gate(s.destOrder[m.Dest], m.Class),
			m.ArrivedAt, m.SubmittedAt, m.SoftDeadline, m.Deadline, m.Attempts, 0, m.MayHaveRunSince,
			m.MayHaveRun, m.MayHaveRunZone, m.NotBefore, m.Waiting, m.Ended,
		}
		if !m.Ended {
			s.messages[m.ID] = messages[i]
		}
	}
	s.openMessages = append(s.openMessages, messages[:v.OpenCount]...)
	for i, d := range v.Dests {
		for _, m := range d.Waiting {
			s.destOrder[i].waiting = append(s.destOrder[i].waiting, messages[m])
		}
	}
	for key, queue := range v.KeyQueues {
		for _, m := range queue {
			s.keyQueues[key] = append(s.keyQueues[key], messages[m])
		}
	}
	for _, savedCall := range v.Calls {
		c := &call{
			endpoints[savedCall.Dest][savedCall.Endpoint], savedCall.SentAt, 0, savedCall.HalfOpen, nil,
			savedCall.Canceled, savedCall.Repeatable,
		}
		for _, a := range savedCall.Attempts {
			c.attempts = append(c.attempts, attempt{a.ID, a.Number})
			if a.Message >= 0 {
				c.outcomesLeft++
				messages[a.Message].attemptsOut++
				s.attemptsOut[attempt{a.ID, a.Number}] = pendingAttempt{messages[a.Message], c}
			}
		}
		c.endpoint.dest.calls = append(c.endpoint.dest.calls, c)
		c.endpoint.callsOut++
		s.callsOut++
	}
	for _, i := range v.ActiveDests {
		s.destOrder[i].active = true
		s.activeDests = append(s.activeDests, s.destOrder[i])
	}
	return s, nil
}

// HasMessage reports whether a message is open.
func (s *Sender) HasMessage(id string) bool { return s.messages[id] != nil }
