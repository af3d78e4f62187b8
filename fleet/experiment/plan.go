package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"starlingusher/fleet/judge"
	"starlingusher/fleet/partner"
	"starlingusher/fleet/tally"
)

// Plan is an experiment with all random values drawn.
type Plan struct {
	Name           string
	About          string
	Seed           uint64
	Length, Settle time.Duration

	Zones    []string
	Kinds    []string
	Nodes    []NodePlan
	Classes  []ClassPlan
	Members  []MemberPlan
	Partners []PartnerPlan
	Arrivals []Arrival // in order of time
	Rude     []Rudeness
	Faults   []FaultPlan // in order of their start
	Load     LoadPlan
	Network  NetworkPlan
	Rules    RulesPlan
	Replicas int  // of the directory that informs the nodes; 0: the platform does
	Listing  Span // delay until the platform informs a node of a change
	Expect   Expect
}

// NodePlan describes one node.
type NodePlan struct {
	Name     string
	Zone     int
	Weight   float64 // share of the traffic
	Slots    int
	MaxOpen  int
	Cores    float64
	MemoryMB int
	Sockets  int
	DiskMB   float64
	Seed     uint64
}

// ClassPlan describes one message class.
type ClassPlan struct {
	Name      string
	Share     float64
	Aim       time.Duration
	Deadline  time.Duration
	Worth     float64
	LateWorth float64
	Effect    judge.Effect
	Window    time.Duration
	Kinds     []int // none: all
}

// TenantPlan describes one tenant.
type MemberPlan struct {
	Name      string
	Share     float64
	Allowance float64 // messages a second
}

// PartnerPlan describes one partner.
type PartnerPlan struct {
	Kind   int
	Weight float64 // share of the traffic
	Zones  []int   // of its endpoints
	Model  partner.Config
	Seed   uint64
}

// LoadPlan describes the clients.
type LoadPlan struct {
	Retries  int
	Backoff  Span
	Honour   float64
	Again    Span
	Patience time.Duration
	Body     int
}

// NetworkPlan holds the one-way delays between nodes and partners.
type NetworkPlan struct {
	Same, Cross time.Duration
	Jitter      float64
}

// RulesPlan holds the parameters that the settings tell the nodes.
type RulesPlan struct {
	MaxAttempts  int
	DrainGrace   time.Duration
	FallMultiple float64
	Fall         time.Duration
	ColdFrom     float64
	WarmWithin   time.Duration
	DialTimeout  time.Duration
	ConnIdle     time.Duration
	MaxWait      time.Duration
}

// Arrival is a message that a client submits for the first time. Its message number is its position among the
// arrivals, from 1.
type Arrival struct {
	At     time.Duration
	Node   int
	Class  int
	Member int
	Dest   int
	Over   bool // beyond its tenant's share
}

// RudePeer is a misbehaving peer that connects to a node.
type Rudeness struct {
	At   time.Duration
	Node int
	Way  int
}

// FaultPlan is one fault on one or more targets.
type FaultPlan struct {
	Kind     string
	At       time.Duration
	Until    time.Duration // 0: forever
	Size     float64
	Nodes    []int
	Partners []int
	Replicas []int
	Way      string
	Resume   bool
	Lose     bool
}

func (x FaultPlan) String() string {
	s := x.Kind
	if x.Size != 0 {
		s += fmt.Sprintf(" of %.3g", x.Size)
	}
	if len(x.Partners) > 0 {
		s += fmt.Sprintf(", partners %v", x.Partners)
	}
	if len(x.Nodes) > 0 {
		s += fmt.Sprintf(", nodes %v", x.Nodes)
	}
	if len(x.Replicas) > 0 {
		s += fmt.Sprintf(", replicas %v", x.Replicas)
	}
	if x.Until > 0 {
		s += fmt.Sprintf(", until %v", x.Until.Round(time.Millisecond))
	}
	return s
}

// OverShareWorth is the factor on the worth of a message beyond its tenant's share.
const OverShareWorth = 0.05

// DrawPlan returns the plan of a seed. If nodes is above 0, the fleet has that many.
func (f File) Draw(seed uint64, nodes int) Plan {
	d := drawer{f: f, seed: seed}
	p := Plan{
		Name: f.Name, About: f.About, Seed: seed, Zones: f.Fleet.Zones, Listing: f.Discovery.Delay, Expect: f.Expect,
	}
	r := d.source("run")
	p.Length = f.Length.draw(r)
	rate := f.Load.Rate.draw(r)
	p.Load = LoadPlan{
		Retries: f.Load.Retries.whole(r), Backoff: f.Load.Backoff, Honour: f.Load.Honour.draw(r), Again: f.Load.Again,
		Patience: f.Load.Patience.draw(r), Body: f.Load.Body.whole(r),
	}
	p.Network = NetworkPlan{f.Network.Same.draw(r), f.Network.Cross.draw(r), f.Network.Jitter.draw(r)}
	p.Rules = RulesPlan{
		MaxAttempts: f.Rules.MaxAttempts.whole(r), DrainGrace: f.Rules.DrainGrace.draw(r), FallMultiple: f.Rules.FallMultiple.draw(r),
		Fall: f.Rules.Fall.draw(r), ColdFrom: f.Rules.ColdFrom.draw(r), WarmWithin: f.Rules.WarmWithin.draw(r),
		DialTimeout: f.Rules.DialTimeout.draw(r), ConnIdle: f.Rules.ConnIdle.draw(r), MaxWait: f.Rules.MaxWait.draw(r),
	}
	for _, g := range f.Partners {
		if !slices.Contains(p.Kinds, g.Kind) {
			p.Kinds = append(p.Kinds, g.Kind)
		}
	}
	d.classes(&p)
	d.members(&p, rate)
	d.partners(&p, rate)
	d.nodes(&p, rate, nodes)
	p.Replicas = f.Discovery.Replicas.whole(d.source("replicas"))
	d.faults(&p)
	d.arrivals(&p, rate)
	p.Settle = f.Settle.draw(r)
	if p.Settle == 0 {
		for _, c := range p.Classes {
			p.Settle = max(p.Settle, c.Deadline+time.Second)
		}
	}
	return p
}

type drawer struct {
	f    File
	seed uint64
}

// source returns the random source of one purpose, so that a change to one part of the plan does not affect
// the others.
func (d drawer) source(purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(d.seed, xxhash.Sum64String(purpose)))
}

// zipfWeights returns n weights that fall with a power of their rank and sum to 1.
func byRank(n int, exponent float64) []float64 {
	w := make([]float64, n)
	sum := 0.0
	for i := range w {
		w[i] = math.Pow(float64(i+1), -exponent)
		sum += w[i]
	}
	for i := range w {
		w[i] /= sum
	}
	return w
}

func (d drawer) classes(p *Plan) {
	r := d.source("classes")
	sum := 0.0
	for _, c := range d.f.Classes {
		effect := map[string]judge.Effect{"safe": judge.Safe, "keyed": judge.Keyed, "unsafe": judge.Unsafe}[c.Effect]
		one := ClassPlan{
			Name: c.Name, Share: c.Share.draw(r), Aim: c.Aim.draw(r), Deadline: c.Deadline.draw(r), Worth: c.Worth.draw(r),
			LateWorth: c.LateWorth.draw(r), Effect: effect, Window: c.Window.draw(r),
		}
		for _, k := range c.Kinds {
			one.Kinds = append(one.Kinds, slices.Index(p.Kinds, k))
		}
		sum += one.Share
		p.Classes = append(p.Classes, one)
	}
	for i := range p.Classes {
		p.Classes[i].Share = share(p.Classes[i].Share, sum, len(p.Classes))
	}
}

// shareOf returns part as a share of sum, or an equal share if the sum is 0.
func share(part, sum float64, of int) float64 {
	if sum <= 0 {
		return 1 / float64(of)
	}
	return part / sum
}

func (d drawer) members(p *Plan, rate float64) {
	r := d.source("members")
	sum := 0.0
	for _, m := range d.f.Members {
		one := MemberPlan{Name: m.Name, Share: m.Share.draw(r), Allowance: m.Allowance.draw(r)}
		sum += one.Share
		p.Members = append(p.Members, one)
	}
	for i := range p.Members {
		m := &p.Members[i]
		m.Share = share(m.Share, sum, len(p.Members))
		if m.Allowance == 0 {
			m.Allowance = m.Share * rate
		}
	}
}

// partners draws the partners. The traffic of a partner is the sum over all classes.
func (d drawer) partners(p *Plan, rate float64) {
	r := d.source("partners")
	type group struct {
		Partner
		from, to int
	}
	var groups []group
	weights := []float64{}
	for _, g := range d.f.Partners {
		n := g.Count.whole(r)
		total := g.Traffic.draw(r)
		groups = append(groups, group{g, len(weights), len(weights) + n})
		for _, w := range byRank(n, g.Uneven.draw(r)) {
			weights = append(weights, w*total)
		}
	}
	kind := func(i int) int {
		for _, g := range groups {
			if i < g.to {
				return slices.Index(p.Kinds, g.Kind)
			}
		}
		return -1
	}
	traffic := make([]float64, len(weights))
	for _, c := range p.Classes {
		sum := 0.0
		for i, w := range weights {
			if c.takes(kind(i)) {
				sum += w
			}
		}
		for i, w := range weights {
			if c.takes(kind(i)) && sum > 0 {
				traffic[i] += c.Share * w / sum
			}
		}
	}
	for _, g := range groups {
		for i := g.from; i < g.to; i++ {
			calls := traffic[i] * rate
			limit := max(g.LeastRate.draw(r), g.Headroom.draw(r)*calls)
			m := partner.Config{
				Endpoints: g.Endpoints.whole(r), Batch: g.Batch.whole(r), Pace: g.Pace.draw(r), Spread: g.Spread.draw(r),
				ItemCost: g.ItemCost.draw(r), TellsWait: g.TellsWait.draw(r), Wait: [2]time.Duration{g.Wait.Low, g.Wait.High},
				Faults: g.Faults.draw(r), Defers: g.Defers.draw(r), Lost: g.Lost.draw(r), Spoilt: g.Spoilt.draw(r),
				ColdFrom: p.Rules.ColdFrom, WarmWithin: p.Rules.WarmWithin, FallMultiple: p.Rules.FallMultiple, Fall: p.Rules.Fall,
			}
			for _, c := range p.Classes {
				if c.Effect == judge.Keyed {
					m.Window = max(m.Window, c.Window)
				}
			}
			span := g.LimitSpan.draw(r)
			switch g.Limit {
			case "rate":
				m.Limit = partner.Limit{PerSecond: limit, Burst: time.Second, CountsRefused: g.CountsRefused}
			case "count":
				m.Limit = partner.Limit{PerSecond: limit, Span: span, CountsRefused: g.CountsRefused}
			}
			capacity := limit * g.Spare.draw(r)
			m.Workers = max(1, int(math.Ceil(capacity*m.Pace.Seconds()/float64(m.Endpoints))))
			m.Queue = max(1, int(g.Queue.draw(r).Seconds()*capacity/float64(m.Endpoints)))
			if conns := g.Conns.draw(r); conns > 0 {
				m.Conns = max(6, int(conns*float64(m.Workers)))
			}
			one := PartnerPlan{Kind: kind(i), Weight: traffic[i], Model: m, Seed: r.Uint64()}
			for range m.Endpoints {
				one.Zones = append(one.Zones, r.IntN(len(p.Zones)))
			}
			p.Partners = append(p.Partners, one)
		}
	}
	most := make([]int, len(p.Kinds)) // the settings tell the nodes one batch size for each kind
	for _, q := range p.Partners {
		most[q.Kind] = max(most[q.Kind], q.Model.Batch)
	}
	for i := range p.Partners {
		p.Partners[i].Model.Batch = most[p.Partners[i].Kind]
	}
}

func (c ClassPlan) takes(kind int) bool { return len(c.Kinds) == 0 || slices.Contains(c.Kinds, kind) }

// TotalRate returns the rate limit that the list of endpoints tells of a partner, or else its capacity: calls
// a second from all nodes together.
func (p PartnerPlan) Rate() float64 {
	if p.Model.Limit.PerSecond > 0 {
		return p.Model.Limit.PerSecond
	}
	return p.Model.Capacity()
}

func (d drawer) nodes(p *Plan, rate float64, count int) {
	r := d.source("nodes")
	if drawn := d.f.Fleet.Nodes.whole(r); count <= 0 {
		count = drawn
	}
	weights := byRank(count, d.f.Fleet.Uneven.draw(r))
	r.Shuffle(count, func(i, j int) { weights[i], weights[j] = weights[j], weights[i] })
	out := 0.0 // mean time that a call is in flight, in seconds
	for _, q := range p.Partners {
		out += q.Weight * (q.Model.Pace + p.Network.Same + p.Network.Cross).Seconds()
	}
	room, hold := d.f.Fleet.SlotsRoom.draw(r), d.f.Fleet.Hold.draw(r).Seconds()
	for i, w := range weights {
		p.Nodes = append(p.Nodes, NodePlan{
			Name: fmt.Sprintf("n%d", i), Zone: i % len(p.Zones), Weight: w,
			Slots:   max(d.f.Fleet.LeastSlot.whole(r), int(math.Ceil(w*rate*out*room))),
			MaxOpen: max(d.f.Fleet.LeastOpen.whole(r), int(w*rate*hold)),
			Cores:   d.f.Fleet.Cores.draw(r), MemoryMB: d.f.Fleet.MemoryMB.whole(r), Sockets: d.f.Fleet.Sockets.whole(r),
			DiskMB: d.f.Fleet.DiskMB.draw(r), Seed: r.Uint64(),
		})
	}
}

func (d drawer) faults(p *Plan) {
	for i, x := range d.f.Faults {
		r := d.source(fmt.Sprintf("fault %d", i))
		one := FaultPlan{
			Kind: x.Kind, At: x.At.draw(r), Size: x.Size.draw(r), Way: cmp.Or(x.Way, "both"), Resume: x.Then == "resume", Lose: x.Lose,
		}
		if x.Size == (Number{}) && slices.Contains([]string{"failing", "lossy", "silent", "swallow"}, x.Kind) {
			one.Size = 1
		}
		if last := x.For.draw(r); last > 0 {
			one.Until = one.At + last
		}
		step := x.Step.draw(r)
		partners, nodes := d.aimPartners(r, x, p), d.aimNodes(r, x, p)
		var replicas []int
		if FaultKinds[x.Kind].aim&atReplicas != 0 {
			replicas = r.Perm(p.Replicas)
		}
		if step == 0 {
			one.Partners, one.Nodes, one.Replicas = partners, nodes, replicas
			p.Faults = append(p.Faults, one)
			continue
		}
		// One target after another. Only one kind of targets steps; the other stays the same.
		stepNodes := FaultKinds[x.Kind].aim&atNodes != 0
		steps := len(partners)
		if stepNodes {
			steps = len(nodes)
		}
		if replicas != nil {
			steps = len(replicas)
		}
		for k := range steps {
			each := one
			each.Partners, each.Nodes = partners, nodes
			if replicas != nil {
				each.Replicas = replicas[k : k+1]
			} else if stepNodes {
				each.Nodes = nodes[k : k+1]
			} else {
				each.Partners = partners[k : k+1]
			}
			each.At += time.Duration(k) * step
			if each.Until > 0 {
				each.Until += time.Duration(k) * step
			}
			p.Faults = append(p.Faults, each)
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b FaultPlan) int { return cmp.Compare(a.At, b.At) })
}

func (d drawer) aimPartners(r *rand.Rand, x Fault, p *Plan) []int {
	order := r.Perm(len(p.Partners))
	switch {
	case FaultKinds[x.Kind].aim&atPartners == 0:
		return nil
	case x.Partners != nil:
		return x.Partners
	case x.Part != nil:
		want, sum := x.Part.draw(r), 0.0
		for i, n := range order {
			if sum += p.Partners[n].Weight; sum >= want {
				return slices.Sorted(slices.Values(order[:i+1]))
			}
		}
	}
	return slices.Sorted(slices.Values(order))
}

func (d drawer) aimNodes(r *rand.Rand, x Fault, p *Plan) []int {
	order := r.Perm(len(p.Nodes))
	switch {
	case FaultKinds[x.Kind].aim&atNodes == 0:
		return nil
	case x.Nodes != nil:
		return slices.DeleteFunc(slices.Clone(x.Nodes), func(n int) bool { return n >= len(p.Nodes) })
	case x.Zone != "":
		zone := slices.Index(p.Zones, x.Zone)
		var in []int
		for n := range p.Nodes {
			if p.Nodes[n].Zone == zone {
				in = append(in, n)
			}
		}
		return in
	case x.Share != nil:
		order = order[:max(1, int(math.Round(x.Share.draw(r)*float64(len(order)))))]
	}
	return slices.Sorted(slices.Values(order))
}

// arrivals draws when messages are submitted: a Poisson process whose rate is multiplied by bursts, and
// clumps.
func (d drawer) arrivals(p *Plan, rate float64) {
	r := d.source("arrivals")
	clumps := d.f.Load.Clumps.draw(r)
	lift := func(at time.Duration) float64 {
		by := 1.0
		for _, x := range p.Faults {
			if x.Kind == "burst" && at >= x.At && at < x.Until {
				by *= x.Size
			}
		}
		return by
	}
	top := 1.0
	for _, x := range p.Faults {
		if x.Kind == "burst" {
			top = max(top, lift(x.At))
		}
	}
	nodes, members, classes := make([]float64, len(p.Nodes)), make([]float64, len(p.Members)), make([]float64, len(p.Classes))
	for i, n := range p.Nodes {
		nodes[i] = n.Weight
	}
	for i, m := range p.Members {
		members[i] = m.Share
	}
	for i, c := range p.Classes {
		classes[i] = c.Share
	}
	dests := make([][]float64, len(p.Classes))
	for c := range p.Classes {
		for _, q := range p.Partners {
			w := 0.0
			if p.Classes[c].takes(q.Kind) {
				w = q.Weight
			}
			dests[c] = append(dests[c], w)
		}
	}
	single := rate * (1 - clumps)
	for at := next(r, single*top); at < p.Length; at += next(r, single*top) {
		if r.Float64()*top > lift(at) {
			continue
		}
		c := pick(r, classes)
		p.Arrivals = append(p.Arrivals, Arrival{At: at, Node: pick(r, nodes), Class: c, Member: pick(r, members), Dest: pick(r, dests[c])})
	}
	if clumps > 0 {
		weights := make([]float64, len(p.Partners))
		mean := 0.0
		size := func(q PartnerPlan, s time.Duration) float64 { return max(1, q.Rate()*s.Seconds()) }
		for i, q := range p.Partners {
			weights[i] = q.Weight
			mean += q.Weight * size(q, (d.f.Load.ClumpSize.Low+d.f.Load.ClumpSize.High)/2)
		}
		every := rate * clumps / mean
		for at := next(r, every); at < p.Length; at += next(r, every) {
			dest := pick(r, weights)
			node, member := pick(r, nodes), pick(r, members)
			over := d.f.Load.ClumpOver.draw(r)
			for range int(size(p.Partners[dest], d.f.Load.ClumpSize.draw(r))) {
				c := pick(r, classes)
				if !p.Classes[c].takes(p.Partners[dest].Kind) {
					continue
				}
				p.Arrivals = append(p.Arrivals, Arrival{
					At: at + time.Duration(r.Float64()*float64(over)), Node: node, Class: c, Member: member, Dest: dest,
				})
			}
		}
	}
	slices.SortStableFunc(p.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	p.Arrivals = slices.DeleteFunc(p.Arrivals, func(a Arrival) bool { return a.At >= p.Length })
	overShare(p)
	if rude := d.f.Load.Rude.draw(r); rude > 0 {
		for at := next(r, rude); at < p.Length; at += next(r, rude) {
			p.Rude = append(p.Rude, Rudeness{At: at, Node: r.IntN(len(p.Nodes)), Way: r.IntN(1 << 20)})
		}
	}
}

// markOverShare marks arrivals beyond a tenant's share: more than its allowance of the last two seconds.
func overShare(p *Plan) {
	const span = 2 * time.Second
	room := make([]float64, len(p.Members))
	last := make([]time.Duration, len(p.Members))
	for i, m := range p.Members {
		room[i] = m.Allowance * span.Seconds()
	}
	for i := range p.Arrivals {
		a := &p.Arrivals[i]
		m := p.Members[a.Member]
		room[a.Member] = min(max(m.Allowance*span.Seconds(), 1), room[a.Member]+m.Allowance*(a.At-last[a.Member]).Seconds())
		last[a.Member] = a.At
		if a.Over = room[a.Member] < 1; !a.Over {
			room[a.Member]--
		}
	}
}

// nextArrival draws the time to the next event of a Poisson process with the given rate per second.
func next(r *rand.Rand, rate float64) time.Duration {
	if rate <= 0 {
		return math.MaxInt64 / 4
	}
	return time.Duration(r.ExpFloat64() / rate * float64(time.Second))
}

// pickWeighted draws an index by weight.
func pick(r *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := r.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// IdempotencyKey returns the idempotency key of a message, "" if its class has none.
func (p *Plan) Key(c int) string {
	if p.Classes[p.Arrivals[c-1].Class].Effect != judge.Keyed {
		return ""
	}
	return fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprintf("key %d %d", p.Seed, c)))
}

// MessageID returns the id for the n-th submission of a message.
func (p *Plan) ID(c, n int) string {
	return fmt.Sprintf("%08x%02x%06x", c, n&0xff, xxhash.Sum64String(fmt.Sprintf("id %d %d %d", p.Seed, c, n))&0xffffff)
}

// EndTime returns when the run ends.
func (p *Plan) End() time.Duration { return p.Length + p.Settle }

// JudgeConfig returns the configuration for the judge.
func (p *Plan) Judge() judge.Terms {
	t := judge.DefaultTerms()
	t.MaxAttempts, t.DrainGrace = p.Rules.MaxAttempts, p.Rules.DrainGrace
	for _, c := range p.Classes {
		t.Classes = append(t.Classes, judge.Class{Name: c.Name, Effect: c.Effect, Window: c.Window})
	}
	for _, n := range p.Nodes {
		t.Slots = append(t.Slots, n.Slots)
	}
	return t
}

// TallyConfig returns the configuration for the tally.
func (p *Plan) Tally() tally.Terms {
	t := tally.Terms{Partners: len(p.Partners), Weight: func(c int) float64 {
		if c >= 1 && c <= len(p.Arrivals) && p.Arrivals[c-1].Over {
			return OverShareWorth
		}
		return 1
	}}
	for _, c := range p.Classes {
		t.Classes = append(t.Classes, tally.Class{Name: c.Name, Aim: c.Aim, Deadline: c.Deadline, Worth: c.Worth, LateWorth: c.LateWorth})
	}
	for _, m := range p.Members {
		t.Members = append(t.Members, m.Name)
	}
	for _, n := range p.Nodes {
		t.Nodes = append(t.Nodes, n.Name)
	}
	return t
}
