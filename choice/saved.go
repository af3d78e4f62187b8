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
	Now      time.Duration
	Random   []byte
	Dests    []SavedDest
	Active   []int            `json:"Active"` // indices in Dests
	Messages []SavedMessage   // the open ones in their order, then those that have ended and have an attempt out
	Open     int              `json:"Open"`
	Lines    map[string][]int `json:"Lines"` // indices in Messages
	Calls    []SavedCall
	Rests    map[string]time.Duration `json:"Rests"`
	Resting  []SavedRest              `json:"Resting"`
	Parted   map[string]time.Duration `json:"Parted"`
	Barred   map[string]bool          `json:"Barred"`
	Crowded  map[int]time.Duration    `json:"Crowded"`
	WornTil  time.Duration            `json:"WornTil"`
	Tenants  []SavedTenant
	Made     uint64        `json:"Made"`
	Asking   time.Duration `json:"Asking"`
	AskAt    time.Duration `json:"AskAt"`
	Failing  float64       `json:"Failing"`
	Came     float64       `json:"Came"`
	Seen     float64       `json:"Seen"`
	CameAt   time.Duration `json:"CameAt"`
}

// SavedKeyPause is the saved form of a keyPause.
type SavedRest struct {
	Key   string
	Until time.Duration
}

// SavedTenant is the saved form of a tenant.
type SavedTenant struct {
	Tokens float64
	At     time.Duration `json:"At"`
}

// SavedGate is the saved form of a gate.
type SavedGate struct {
	Average, Baseline float64
	At                time.Duration `json:"At"`
	Seen              bool          `json:"Seen"`
	Shut              bool          `json:"Shut"`
	LastTrial         time.Duration `json:"LastTrial"`
}

// SavedRoute is the saved form of a route.
type SavedRoute struct {
	WaitUntil time.Duration
	Limit     float64
	Reported  bool    `json:"Reported"`
	Left      float64 `json:"Left"`
	Weight    float64
	Part      float64       `json:"Part"`
	PartAt    time.Duration `json:"PartAt"`
	Refusals  int           `json:"Refusals"`
	CutAt     time.Duration `json:"CutAt"`
	Most      float64       `json:"Most"`
	Tokens    float64
	TokensAt  time.Duration
	Fails     int           `json:"Fails"`
	FailedAt  time.Duration `json:"FailedAt"`
	Rest      time.Duration `json:"Rest"`
	Sick      bool          `json:"Sick"`
	Harmless  bool          `json:"Harmless"`
	TrialAt   time.Duration `json:"TrialAt"`
	Backoff   time.Duration `json:"Backoff"`
	Trial     bool          `json:"Trial"`
	ColdFrom  time.Duration `json:"ColdFrom"`
	StruckAt  time.Duration `json:"StruckAt"`
	Demand    float64       `json:"Demand"`
	Busiest   float64       `json:"Busiest"`
	Passed    float64       `json:"Passed"`
	PassedAt  time.Duration `json:"PassedAt"`
}

// SavedEndpoint is the saved form of an endpoint; Route is nil if it uses its destination's shared route.
type SavedEndpoint struct {
	ID        string
	Zone      int
	Route     *SavedRoute
	Listed    bool `json:"Listed"`
	Ready     bool
	Warming   *SavedRoute   `json:"Warming"`
	Response  float64       `json:"Response"`
	Usual     float64       `json:"Usual"`
	ProvenAt  time.Duration `json:"ProvenAt"`
	SentAt    time.Duration `json:"SentAt"`
	Gap       float64       `json:"Gap"`
	CrowdedAt time.Duration `json:"CrowdedAt"`
	Room      float64       `json:"Room"`
	ShyTil    time.Duration `json:"ShyTil"`
}

// SavedDestination is the saved form of a destination. Its endpoints are the first ListedCount, which are in
// the list, then those that have left the list and have calls out.
type SavedDest struct {
	ID        int
	Emptied   time.Duration `json:"Emptied"`
	Gates     []SavedGate   // by class
	Kind      int
	Shared    SavedRoute `json:"Shared"`
	Endpoints []SavedEndpoint
	Listed    int           `json:"Listed"`
	Waiting   []int         // indices in Messages
	Used      float64       `json:"Used"`
	UsedAt    time.Duration `json:"UsedAt"`
	Came      float64       `json:"Came"`
	CameAt    time.Duration `json:"CameAt"`
}

// SavedMessage is the saved form of a message.
type SavedMessage struct {
	ID        string
	Class     int
	Key       string
	Worth     float64
	Dest      int           // index in Dests
	Arrived   time.Duration `json:"Arrived"`
	Born      time.Duration `json:"Born"`
	Aim       time.Duration `json:"Aim"`
	DropDead  time.Duration `json:"DropDead"`
	Attempts  int
	MayRun    time.Duration `json:"MayRun"`
	Touched   bool          `json:"Touched"`
	Zone      int           `json:"Zone"`
	NotBefore time.Duration
	Waits     bool `json:"Waits"`
	Ended     bool
}

// SavedCall is the saved form of a call that is out.
type SavedCall struct {
	Dest, Endpoint int // indices in Dests and its Endpoints
	SentAt         time.Duration
	Trial          bool `json:"Trial"`
	Called         bool `json:"Called"`
	Repeatable     bool
	Sends          []SavedSend `json:"Sends"`
}

// SavedAttempt is one message of a call; Message is its index in Messages while its outcome is not known, or
// -1.
type SavedSend struct {
	ID      string
	Attempt int `json:"Attempt"`
	Message int
}

func (g gate) saved() SavedGate {
	return SavedGate{g.average, g.baseline, g.at, g.seen, g.shut, g.lastTrial}
}

func (g SavedGate) gate() gate { return gate{g.Average, g.Baseline, g.At, g.Seen, g.Shut, g.LastTrial} }

func (r *route) saved() SavedRoute {
	return SavedRoute{
		r.waitUntil, r.limit, r.reported, r.left, r.weight, r.part, r.partAt, r.refusals, r.cutAt, r.most, r.tokens, r.tokensAt, r.fails, r.failedAt, r.rest,
		r.sick, r.harmless, r.trialAt, r.backoff, r.trial, r.coldFrom, r.struckAt, r.demand, r.busiest, r.passed, r.passedAt,
	}
}

// route restores a route. One without an upper bound of the rate share comes from a build that did not count
// in shares, and gets the initial share.
func (r SavedRoute) route() *route {
	if r.Most == 0 {
		r.Part, r.Most = partFirst, partMost
	}
	return &route{
		r.WaitUntil, r.Limit, r.Reported, r.Left, r.Weight, r.Part, r.PartAt, r.Refusals, r.CutAt, r.Most, r.Tokens, r.TokensAt, r.Fails, r.FailedAt, r.Rest,
		r.Sick, r.Harmless, r.TrialAt, r.Backoff, r.Trial, r.ColdFrom, r.StruckAt, r.Demand, r.Busiest, r.Passed, r.PassedAt,
	}
}

func (e *endpoint) saved() SavedEndpoint {
	var own, warming *SavedRoute
	if e.route != e.dest.shared {
		r := e.route.saved()
		own = &r
	}
	if e.warming != nil {
		r := e.warming.saved()
		warming = &r
	}
	return SavedEndpoint{
		e.id, e.zone, own, e.listed, e.ready, warming, e.response, e.usual, e.provenAt, e.sentAt, e.gap, e.crowdedAt, e.room, e.shyTil,
	}
}

func (e SavedEndpoint) endpoint(d *destination) *endpoint {
	r := d.shared
	if e.Route != nil {
		r = e.Route.route()
	}
	var warming *route
	if e.Warming != nil {
		warming = e.Warming.route()
	}
	return &endpoint{
		e.ID, e.Zone, d, r, e.Listed, e.Ready, warming, e.Response, e.Usual, e.ProvenAt, e.SentAt, e.Gap, 0, e.CrowdedAt, e.Room, e.ShyTil,
	}
}

// Save returns the state of a sender. Wakes that it asked for and a Stopping event are not part of it.
func (s *Sender) Save() (Saved, error) {
	random, err := s.source.MarshalBinary()
	if err != nil {
		return Saved{}, err
	}
	v := Saved{
		Now: s.now, Random: random, Lines: map[string][]int{}, Rests: s.rests, Parted: s.parted, Barred: s.barred, Crowded: s.crowded,
		WornTil: s.wornTil, Made: s.made, Asking: s.asking, AskAt: s.askAt, Failing: s.failing,
		Came: s.came, Seen: s.seen, CameAt: s.cameAt,
	}
	for _, t := range s.tenants {
		v.Tenants = append(v.Tenants, SavedTenant{t.tokens, t.at})
	}
	for _, k := range s.resting {
		v.Resting = append(v.Resting, SavedRest{k.key, k.until})
	}
	dests, eps, messages := map[*destination]int{}, map[*endpoint]int{}, map[*message]int{}
	for i, d := range s.order {
		dests[d] = i
		all := SavedDest{
			d.id, d.emptied, nil, d.kind, d.shared.saved(), nil, len(d.endpoints), nil, d.used, d.usedAt, d.came, d.cameAt,
		}
		for _, g := range d.gates {
			all.Gates = append(all.Gates, g.saved())
		}
		put := func(e *endpoint) {
			if _, there := eps[e]; !there {
				eps[e] = len(all.Endpoints)
				all.Endpoints = append(all.Endpoints, e.saved())
			}
		}
		for _, e := range d.endpoints {
			put(e)
		}
		for _, c := range d.calls {
			put(c.ep)
		}
		v.Dests = append(v.Dests, all)
	}
	class := map[*Class]int{}
	for i := range s.cfg.Classes {
		class[&s.cfg.Classes[i]] = i
	}
	put := func(m *message) {
		if _, there := messages[m]; there {
			return
		}
		messages[m] = len(v.Messages)
		c, ok := class[m.class]
		if !ok {
			c = -1
		}
		v.Messages = append(v.Messages, SavedMessage{
			m.id, c, m.key, m.worth, dests[m.dest], m.arrived, m.born, m.aim, m.dropDead, m.attempts, m.mayRun, m.touched, m.zone,
			m.notBefore, m.waits, m.over,
		})
	}
	for _, m := range s.open {
		put(m)
	}
	v.Open = len(v.Messages)
	for _, d := range s.order {
		for _, c := range d.calls {
			one := SavedCall{dests[d], eps[c.ep], c.sentAt, c.trial, c.called, c.repeatable, nil}
			for _, a := range c.sends {
				place := -1
				if out := s.sent[a]; out.c == c {
					put(out.m)
					place = messages[out.m]
				}
				one.Sends = append(one.Sends, SavedSend{a.id, a.n, place})
			}
			v.Calls = append(v.Calls, one)
		}
		for _, m := range d.waiting {
			v.Dests[dests[d]].Waiting = append(v.Dests[dests[d]].Waiting, messages[m])
		}
	}
	for key, line := range s.lines {
		for _, m := range line {
			put(m)
			v.Lines[key] = append(v.Lines[key], messages[m])
		}
	}
	for _, d := range s.active {
		v.Active = append(v.Active, dests[d])
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
	s.now, s.wornTil, s.made, s.asking, s.askAt, s.failing = v.Now, v.WornTil, v.Made, v.Asking, v.AskAt, v.Failing
	s.came, s.seen, s.cameAt = v.Came, v.Seen, v.CameAt
	maps.Copy(s.rests, v.Rests)
	maps.Copy(s.parted, v.Parted)
	maps.Copy(s.crowded, v.Crowded)
	maps.Copy(s.barred, v.Barred)
	for i, t := range v.Tenants[:min(len(v.Tenants), len(s.tenants))] {
		s.tenants[i] = tenant{t.Tokens, t.At}
	}
	for _, k := range v.Resting {
		s.resting = append(s.resting, keyRest{k.Key, k.Until})
	}
	eps := make([][]*endpoint, len(v.Dests))
	for i, d := range v.Dests {
		at := &destination{
			d.ID, d.Emptied, make([]gate, len(cfg.Classes)+1), d.Kind, d.Shared.route(), nil, nil, d.Used, d.UsedAt, nil, d.Came, d.CameAt,
			false,
		}
		for i, g := range d.Gates[:min(len(d.Gates), len(at.gates))] {
			at.gates[i] = g.gate()
		}
		s.dests[d.ID], s.order = at, append(s.order, at)
		for n, e := range d.Endpoints {
			one := e.endpoint(at)
			eps[i] = append(eps[i], one)
			if n < d.Listed {
				at.endpoints = append(at.endpoints, one)
				s.eps[one.id] = one
			}
		}
	}
	all := make([]*message, len(v.Messages))
	for i, m := range v.Messages {
		all[i] = &message{
			m.ID, s.class(m.Class), m.Key, m.Worth, s.order[m.Dest], s.gate(s.order[m.Dest], m.Class), m.Arrived, m.Born, m.Aim, m.DropDead, m.Attempts, 0, m.MayRun,
			m.Touched, m.Zone, m.NotBefore, m.Waits, m.Ended,
		}
		if !m.Ended {
			s.msgs[m.ID] = all[i]
		}
	}
	s.open = append(s.open, all[:v.Open]...)
	for i, d := range v.Dests {
		for _, m := range d.Waiting {
			s.order[i].waiting = append(s.order[i].waiting, all[m])
		}
	}
	for key, line := range v.Lines {
		for _, m := range line {
			s.lines[key] = append(s.lines[key], all[m])
		}
	}
	for _, o := range v.Calls {
		c := &call{eps[o.Dest][o.Endpoint], o.SentAt, 0, o.Trial, nil, o.Called, o.Repeatable}
		for _, a := range o.Sends {
			c.sends = append(c.sends, attempt{a.ID, a.Attempt})
			if a.Message >= 0 {
				c.left++
				all[a.Message].out++
				s.sent[attempt{a.ID, a.Attempt}] = sending{all[a.Message], c}
			}
		}
		c.ep.dest.calls = append(c.ep.dest.calls, c)
		c.ep.out++
		s.busy++
	}
	for _, i := range v.Active {
		s.order[i].active = true
		s.active = append(s.active, s.order[i])
	}
	return s, nil
}

// HasMessage reports whether a message is open.
func (s *Sender) HasMessage(id string) bool { return s.msgs[id] != nil }
