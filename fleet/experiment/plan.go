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

	Zones          []string
	PartnerKinds   []string `json:"Kinds"`
	Nodes          []NodePlan
	Classes        []ClassPlan
	Tenants        []TenantPlan `json:"Members"`
	Partners       []PartnerPlan
	Arrivals       []Arrival   // in order of time
	RudePeers      []RudePeer  `json:"Rude"`
	Faults         []FaultPlan // in order of their start
	Load           LoadPlan
	Network        NetworkPlan
	Rules          RulesPlan
	Replicas       int           // of the directory that informs the nodes; 0: the platform does
	DiscoveryDelay DurationRange `json:"Listing"` // delay until the platform informs a node of a change
	Expect         Expect
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
	Name            string
	Share           float64
	SoftDeadline    time.Duration `json:"Aim"`
	Deadline        time.Duration
	Worth           float64
	WorthAtDeadline float64 `json:"LateWorth"`
	Effect          judge.Effect
	Window          time.Duration
	PartnerKinds    []int `json:"Kinds"` // none: all
}

// TenantPlan describes one tenant.
type TenantPlan struct {
	Name      string
	Share     float64
	Allowance float64 // messages a second
}

// PartnerPlan describes one partner.
type PartnerPlan struct {
	Kind   int
	Weight float64        // share of the traffic
	Zones  []int          // of its endpoints
	Config partner.Config `json:"Model"`
	Seed   uint64
}

// LoadPlan describes the clients.
type LoadPlan struct {
	MaxRetries      int `json:"Retries"`
	Backoff         DurationRange
	HonorRetryAfter float64       `json:"Honour"`
	ResubmitDelay   DurationRange `json:"Again"`
	AnswerTimeout   time.Duration `json:"Patience"`
	BodyBytes       int           `json:"Body"`
}

// NetworkPlan holds the one-way delays between nodes and partners.
type NetworkPlan struct {
	SameZone  time.Duration `json:"Same"`
	CrossZone time.Duration `json:"Cross"`
	Jitter    float64
}

// RulesPlan holds the parameters that the settings tell the nodes.
type RulesPlan struct {
	MaxAttempts       int
	DrainGrace        time.Duration
	CollapseMultiple  float64       `json:"FallMultiple"`
	CollapseSpan      time.Duration `json:"Fall"`
	SlowStartFrom     float64       `json:"ColdFrom"`
	SlowStartDuration time.Duration `json:"WarmWithin"`
	DialTimeout       time.Duration
	ConnIdleTimeout   time.Duration `json:"ConnIdle"`
	MaxRetryAfter     time.Duration `json:"MaxWait"`
}

// Arrival is a message that a client submits for the first time. Its message number is its position among the
// arrivals, from 1.
type Arrival struct {
	At        time.Duration
	Node      int
	Class     int
	Tenant    int `json:"Member"`
	Dest      int
	OverShare bool `json:"Over"` // beyond its tenant's share
}

// RudePeer is a misbehaving peer that connects to a node.
type RudePeer struct {
	At       time.Duration
	Node     int
	Behavior int `json:"Way"`
}

// FaultPlan is one fault on one or more targets.
type FaultPlan struct {
	Kind      string
	At        time.Duration
	Until     time.Duration // 0: forever
	Size      float64
	Nodes     []int
	Partners  []int
	Replicas  []int
	Direction string `json:"Way"`
	Resume    bool
	LoseState bool `json:"Lose"`
}

func (f FaultPlan) String() string {
	s := f.Kind
	if f.Size != 0 {
		s += fmt.Sprintf(" of %.3g", f.Size)
	}
	if len(f.Partners) > 0 {
		s += fmt.Sprintf(", partners %v", f.Partners)
	}
	if len(f.Nodes) > 0 {
		s += fmt.Sprintf(", nodes %v", f.Nodes)
	}
	if len(f.Replicas) > 0 {
		s += fmt.Sprintf(", replicas %v", f.Replicas)
	}
	if f.Until > 0 {
		s += fmt.Sprintf(", until %v", f.Until.Round(time.Millisecond))
	}
	return s
}

// OverShareWorth is the factor on the worth of a message beyond its tenant's share.
const OverShareWorth = 0.05

// DrawPlan returns the plan of a seed. If nodes is above 0, the fleet has that many.
func (f File) DrawPlan(seed uint64, nodes int) Plan {
	pl := planner{f: f, seed: seed}
	p := Plan{
		Name: f.Name, About: f.About, Seed: seed, Zones: f.Fleet.Zones, DiscoveryDelay: f.Discovery.Delay, Expect: f.Expect,
	}
	r := pl.source("run")
	p.Length = f.Length.draw(r)
	rate := f.Load.Rate.draw(r)
	p.Load = LoadPlan{
		MaxRetries: f.Load.MaxRetries.drawInt(r), Backoff: f.Load.Backoff, HonorRetryAfter: f.Load.HonorRetryAfter.draw(r), ResubmitDelay: f.Load.ResubmitDelay,
		AnswerTimeout: f.Load.AnswerTimeout.draw(r), BodyBytes: f.Load.BodyBytes.drawInt(r),
	}
	p.Network = NetworkPlan{f.Network.SameZone.draw(r), f.Network.CrossZone.draw(r), f.Network.Jitter.draw(r)}
	p.Rules = RulesPlan{
		MaxAttempts: f.Rules.MaxAttempts.drawInt(r), DrainGrace: f.Rules.DrainGrace.draw(r), CollapseMultiple: f.Rules.CollapseMultiple.draw(r),
		CollapseSpan: f.Rules.CollapseSpan.draw(r), SlowStartFrom: f.Rules.SlowStartFrom.draw(r), SlowStartDuration: f.Rules.SlowStartDuration.draw(r),
		DialTimeout: f.Rules.DialTimeout.draw(r), ConnIdleTimeout: f.Rules.ConnIdleTimeout.draw(r), MaxRetryAfter: f.Rules.MaxRetryAfter.draw(r),
	}
	for _, g := range f.Partners {
		if !slices.Contains(p.PartnerKinds, g.Kind) {
			p.PartnerKinds = append(p.PartnerKinds, g.Kind)
		}
	}
	pl.classes(&p)
	pl.tenants(&p, rate)
	pl.partners(&p, rate)
	pl.nodes(&p, rate, nodes)
	p.Replicas = f.Discovery.Replicas.drawInt(pl.source("replicas"))
	pl.faults(&p)
	pl.arrivals(&p, rate)
	p.Settle = f.Settle.draw(r)
	if p.Settle == 0 {
		for _, c := range p.Classes {
			p.Settle = max(p.Settle, c.Deadline+time.Second)
		}
	}
	return p
}

type planner struct {
	f    File
	seed uint64
}

// source returns the random source of one purpose, so that a change to one part of the plan does not affect
// the others.
func (pl planner) source(purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(pl.seed, xxhash.Sum64String(purpose)))
}

// zipfWeights returns n weights that fall with a power of their rank and sum to 1.
func zipfWeights(n int, exponent float64) []float64 {
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

func (pl planner) classes(p *Plan) {
	r := pl.source("classes")
	sum := 0.0
	for _, c := range pl.f.Classes {
		effect := map[string]judge.Effect{"safe": judge.EffectIdempotent, "keyed": judge.EffectDeduplicated, "unsafe": judge.EffectAtMostOnce}[c.Effect]
		one := ClassPlan{
			Name: c.Name, Share: c.Share.draw(r), SoftDeadline: c.SoftDeadline.draw(r), Deadline: c.Deadline.draw(r), Worth: c.Worth.draw(r),
			WorthAtDeadline: c.WorthAtDeadline.draw(r), Effect: effect, Window: c.Window.draw(r),
		}
		for _, k := range c.PartnerKinds {
			one.PartnerKinds = append(one.PartnerKinds, slices.Index(p.PartnerKinds, k))
		}
		sum += one.Share
		p.Classes = append(p.Classes, one)
	}
	for i := range p.Classes {
		p.Classes[i].Share = shareOf(p.Classes[i].Share, sum, len(p.Classes))
	}
}

// shareOf returns part as a share of sum, or an equal share if the sum is 0.
func shareOf(part, sum float64, of int) float64 {
	if sum <= 0 {
		return 1 / float64(of)
	}
	return part / sum
}

func (pl planner) tenants(p *Plan, rate float64) {
	r := pl.source("members")
	sum := 0.0
	for _, m := range pl.f.Tenants {
		one := TenantPlan{Name: m.Name, Share: m.Share.draw(r), Allowance: m.Allowance.draw(r)}
		sum += one.Share
		p.Tenants = append(p.Tenants, one)
	}
	for i := range p.Tenants {
		m := &p.Tenants[i]
		m.Share = shareOf(m.Share, sum, len(p.Tenants))
		if m.Allowance == 0 {
			m.Allowance = m.Share * rate
		}
	}
}

// partners draws the partners. The traffic of a partner is the sum over all classes.
func (pl planner) partners(p *Plan, rate float64) {
	r := pl.source("partners")
	type group struct {
		PartnerGroup
		from, to int
	}
	var groups []group
	weights := []float64{}
	for _, g := range pl.f.Partners {
		n := g.Count.drawInt(r)
		total := g.TrafficWeight.draw(r)
		groups = append(groups, group{g, len(weights), len(weights) + n})
		for _, w := range zipfWeights(n, g.ZipfExponent.draw(r)) {
			weights = append(weights, w*total)
		}
	}
	kind := func(i int) int {
		for _, g := range groups {
			if i < g.to {
				return slices.Index(p.PartnerKinds, g.Kind)
			}
		}
		return -1
	}
	traffic := make([]float64, len(weights))
	for _, c := range p.Classes {
		sum := 0.0
		for i, w := range weights {
			if c.sendsTo(kind(i)) {
				sum += w
			}
		}
		for i, w := range weights {
			if c.sendsTo(kind(i)) && sum > 0 {
				traffic[i] += c.Share * w / sum
			}
		}
	}
	for _, g := range groups {
		for i := g.from; i < g.to; i++ {
			calls := traffic[i] * rate
			limit := max(g.MinRate.draw(r), g.Headroom.draw(r)*calls)
			m := partner.Config{
				Endpoints: g.Endpoints.drawInt(r), MaxBatch: g.MaxBatch.drawInt(r), ServiceTime: g.ServiceTime.draw(r), ServiceTimeVariation: g.ServiceTimeVariation.draw(r),
				ExtraItemCost: g.ExtraItemCost.draw(r), RetryAfterShare: g.RetryAfterShare.draw(r), RetryAfterRange: [2]time.Duration{g.RetryAfterRange.Low, g.RetryAfterRange.High},
				ErrorShare: g.ErrorShare.draw(r), DeferShare: g.DeferShare.draw(r), LostAnswerShare: g.LostAnswerShare.draw(r), UnreadableAnswerShare: g.UnreadableAnswerShare.draw(r),
				SlowStartFrom: p.Rules.SlowStartFrom, SlowStartDuration: p.Rules.SlowStartDuration, CollapseMultiple: p.Rules.CollapseMultiple, CollapseSpan: p.Rules.CollapseSpan,
			}
			for _, c := range p.Classes {
				if c.Effect == judge.EffectDeduplicated {
					m.DedupWindow = max(m.DedupWindow, c.Window)
				}
			}
			span := g.LimitWindow.draw(r)
			switch g.LimitKind {
			case "rate":
				m.Limit = partner.Limit{PerSecond: limit, Burst: time.Second, CountsRefused: g.CountsRefused}
			case "count":
				m.Limit = partner.Limit{PerSecond: limit, Window: span, CountsRefused: g.CountsRefused}
			}
			capacity := limit * g.CapacityOverLimit.draw(r)
			m.Workers = max(1, int(math.Ceil(capacity*m.ServiceTime.Seconds()/float64(m.Endpoints))))
			m.QueueLength = max(1, int(g.QueueTime.draw(r).Seconds()*capacity/float64(m.Endpoints)))
			if conns := g.ConnsPerWorker.draw(r); conns > 0 {
				m.MaxConns = max(6, int(conns*float64(m.Workers)))
			}
			one := PartnerPlan{Kind: kind(i), Weight: traffic[i], Config: m, Seed: r.Uint64()}
			for range m.Endpoints {
				one.Zones = append(one.Zones, r.IntN(len(p.Zones)))
			}
			p.Partners = append(p.Partners, one)
		}
	}
	maxBatch := make([]int, len(p.PartnerKinds)) // the settings tell the nodes one batch size for each kind
	for _, q := range p.Partners {
		maxBatch[q.Kind] = max(maxBatch[q.Kind], q.Config.MaxBatch)
	}
	for i := range p.Partners {
		p.Partners[i].Config.MaxBatch = maxBatch[p.Partners[i].Kind]
	}
}

func (c ClassPlan) sendsTo(kind int) bool {
	return len(c.PartnerKinds) == 0 || slices.Contains(c.PartnerKinds, kind)
}

// TotalRate returns the rate limit that the list of endpoints tells of a partner, or else its capacity: calls
// a second from all nodes together.
func (p PartnerPlan) TotalRate() float64 {
	if p.Config.Limit.PerSecond > 0 {
		return p.Config.Limit.PerSecond
	}
	return p.Config.Capacity()
}

func (pl planner) nodes(p *Plan, rate float64, count int) {
	r := pl.source("nodes")
	if drawn := pl.f.Fleet.Nodes.drawInt(r); count <= 0 {
		count = drawn
	}
	weights := zipfWeights(count, pl.f.Fleet.ZipfExponent.draw(r))
	r.Shuffle(count, func(i, j int) { weights[i], weights[j] = weights[j], weights[i] })
	meanCallSeconds := 0.0 // mean time that a call is in flight, in seconds
	for _, q := range p.Partners {
		meanCallSeconds += q.Weight * (q.Config.ServiceTime + p.Network.SameZone + p.Network.CrossZone).Seconds()
	}
	slotHeadroom, holdSeconds := pl.f.Fleet.SlotHeadroom.draw(r), pl.f.Fleet.HoldTime.draw(r).Seconds()
	for i, w := range weights {
		p.Nodes = append(p.Nodes, NodePlan{
			Name: fmt.Sprintf("n%d", i), Zone: i % len(p.Zones), Weight: w,
			Slots:   max(pl.f.Fleet.MinSlots.drawInt(r), int(math.Ceil(w*rate*meanCallSeconds*slotHeadroom))),
			MaxOpen: max(pl.f.Fleet.MinOpen.drawInt(r), int(w*rate*holdSeconds)),
			Cores:   pl.f.Fleet.Cores.draw(r), MemoryMB: pl.f.Fleet.MemoryMB.drawInt(r), Sockets: pl.f.Fleet.Sockets.drawInt(r),
			DiskMB: pl.f.Fleet.DiskMB.draw(r), Seed: r.Uint64(),
		})
	}
}

func (pl planner) faults(p *Plan) {
	for i, x := range pl.f.Faults {
		r := pl.source(fmt.Sprintf("fault %d", i))
		one := FaultPlan{
			Kind: x.Kind, At: x.At.draw(r), Size: x.Size.draw(r), Direction: cmp.Or(x.Direction, "both"), Resume: x.ConnsAfter == "resume", LoseState: x.LoseState,
		}
		if x.Size == (NumberRange{}) && slices.Contains([]string{"failing", "lossy", "silent", "swallow"}, x.Kind) {
			one.Size = 1
		}
		if duration := x.Duration.draw(r); duration > 0 {
			one.Until = one.At + duration
		}
		step := x.StepInterval.draw(r)
		partners, nodes := pl.targetPartners(r, x, p), pl.targetNodes(r, x, p)
		var replicas []int
		if FaultKinds[x.Kind].targets&atReplicas != 0 {
			replicas = r.Perm(p.Replicas)
		}
		if step == 0 {
			one.Partners, one.Nodes, one.Replicas = partners, nodes, replicas
			p.Faults = append(p.Faults, one)
			continue
		}
		// One target after another. Only one kind of targets steps; the other stays the same.
		stepNodes := FaultKinds[x.Kind].targets&atNodes != 0
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

func (pl planner) targetPartners(r *rand.Rand, x Fault, p *Plan) []int {
	order := r.Perm(len(p.Partners))
	switch {
	case FaultKinds[x.Kind].targets&atPartners == 0:
		return nil
	case x.Partners != nil:
		return x.Partners
	case x.TrafficShare != nil:
		want, sum := x.TrafficShare.draw(r), 0.0
		for i, n := range order {
			if sum += p.Partners[n].Weight; sum >= want {
				return slices.Sorted(slices.Values(order[:i+1]))
			}
		}
	}
	return slices.Sorted(slices.Values(order))
}

func (pl planner) targetNodes(r *rand.Rand, x Fault, p *Plan) []int {
	order := r.Perm(len(p.Nodes))
	switch {
	case FaultKinds[x.Kind].targets&atNodes == 0:
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
	case x.NodeShare != nil:
		order = order[:max(1, int(math.Round(x.NodeShare.draw(r)*float64(len(order)))))]
	}
	return slices.Sorted(slices.Values(order))
}

// arrivals draws when messages are submitted: a Poisson process whose rate is multiplied by bursts, and
// clumps.
func (pl planner) arrivals(p *Plan, rate float64) {
	r := pl.source("arrivals")
	clumps := pl.f.Load.ClumpShare.draw(r)
	burstFactor := func(at time.Duration) float64 {
		factor := 1.0
		for _, x := range p.Faults {
			if x.Kind == "burst" && at >= x.At && at < x.Until {
				factor *= x.Size
			}
		}
		return factor
	}
	maxFactor := 1.0
	for _, x := range p.Faults {
		if x.Kind == "burst" {
			maxFactor = max(maxFactor, burstFactor(x.At))
		}
	}
	nodes, tenants, classes := make([]float64, len(p.Nodes)), make([]float64, len(p.Tenants)), make([]float64, len(p.Classes))
	for i, n := range p.Nodes {
		nodes[i] = n.Weight
	}
	for i, m := range p.Tenants {
		tenants[i] = m.Share
	}
	for i, c := range p.Classes {
		classes[i] = c.Share
	}
	dests := make([][]float64, len(p.Classes))
	for c := range p.Classes {
		for _, q := range p.Partners {
			w := 0.0
			if p.Classes[c].sendsTo(q.Kind) {
				w = q.Weight
			}
			dests[c] = append(dests[c], w)
		}
	}
	singleRate := rate * (1 - clumps)
	for at := nextArrival(r, singleRate*maxFactor); at < p.Length; at += nextArrival(r, singleRate*maxFactor) {
		if r.Float64()*maxFactor > burstFactor(at) {
			continue
		}
		c := pickWeighted(r, classes)
		p.Arrivals = append(p.Arrivals, Arrival{At: at, Node: pickWeighted(r, nodes), Class: c, Tenant: pickWeighted(r, tenants), Dest: pickWeighted(r, dests[c])})
	}
	if clumps > 0 {
		weights := make([]float64, len(p.Partners))
		mean := 0.0
		size := func(q PartnerPlan, s time.Duration) float64 { return max(1, q.TotalRate()*s.Seconds()) }
		for i, q := range p.Partners {
			weights[i] = q.Weight
			mean += q.Weight * size(q, (pl.f.Load.ClumpSize.Low+pl.f.Load.ClumpSize.High)/2)
		}
		clumpRate := rate * clumps / mean
		for at := nextArrival(r, clumpRate); at < p.Length; at += nextArrival(r, clumpRate) {
			dest := pickWeighted(r, weights)
			node, tenant := pickWeighted(r, nodes), pickWeighted(r, tenants)
			duration := pl.f.Load.ClumpDuration.draw(r)
			for range int(size(p.Partners[dest], pl.f.Load.ClumpSize.draw(r))) {
				c := pickWeighted(r, classes)
				if !p.Classes[c].sendsTo(p.Partners[dest].Kind) {
					continue
				}
				p.Arrivals = append(p.Arrivals, Arrival{
					At: at + time.Duration(r.Float64()*float64(duration)), Node: node, Class: c, Tenant: tenant, Dest: dest,
				})
			}
		}
	}
	slices.SortStableFunc(p.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	p.Arrivals = slices.DeleteFunc(p.Arrivals, func(a Arrival) bool { return a.At >= p.Length })
	markOverShare(p)
	if peerRate := pl.f.Load.RudePeerRate.draw(r); peerRate > 0 {
		for at := nextArrival(r, peerRate); at < p.Length; at += nextArrival(r, peerRate) {
			p.RudePeers = append(p.RudePeers, RudePeer{At: at, Node: r.IntN(len(p.Nodes)), Behavior: r.IntN(1 << 20)})
		}
	}
}

// markOverShare marks arrivals beyond a tenant's share: more than its allowance of the last two seconds.
func markOverShare(p *Plan) {
	const span = 2 * time.Second
	tokens := make([]float64, len(p.Tenants))
	last := make([]time.Duration, len(p.Tenants))
	for i, m := range p.Tenants {
		tokens[i] = m.Allowance * span.Seconds()
	}
	for i := range p.Arrivals {
		a := &p.Arrivals[i]
		m := p.Tenants[a.Tenant]
		tokens[a.Tenant] = min(max(m.Allowance*span.Seconds(), 1), tokens[a.Tenant]+m.Allowance*(a.At-last[a.Tenant]).Seconds())
		last[a.Tenant] = a.At
		if a.OverShare = tokens[a.Tenant] < 1; !a.OverShare {
			tokens[a.Tenant]--
		}
	}
}

// nextArrival draws the time to the next event of a Poisson process with the given rate per second.
func nextArrival(r *rand.Rand, rate float64) time.Duration {
	if rate <= 0 {
		return math.MaxInt64 / 4
	}
	return time.Duration(r.ExpFloat64() / rate * float64(time.Second))
}

// pickWeighted draws an index by weight.
func pickWeighted(r *rand.Rand, weights []float64) int {
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
func (p *Plan) IdempotencyKey(c int) string {
	if p.Classes[p.Arrivals[c-1].Class].Effect != judge.EffectDeduplicated {
		return ""
	}
	return fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprintf("key %d %d", p.Seed, c)))
}

// MessageID returns the id for the n-th submission of a message.
func (p *Plan) MessageID(c, n int) string {
	return fmt.Sprintf("%08x%02x%06x", c, n&0xff, xxhash.Sum64String(fmt.Sprintf("id %d %d %d", p.Seed, c, n))&0xffffff)
}

// EndTime returns when the run ends.
func (p *Plan) EndTime() time.Duration { return p.Length + p.Settle }

// JudgeConfig returns the configuration for the judge.
func (p *Plan) JudgeConfig() judge.Config {
	t := judge.DefaultConfig()
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
func (p *Plan) TallyConfig() tally.Config {
	t := tally.Config{Partners: len(p.Partners), Weight: func(c int) float64 {
		if c >= 1 && c <= len(p.Arrivals) && p.Arrivals[c-1].OverShare {
			return OverShareWorth
		}
		return 1
	}}
	for _, c := range p.Classes {
		t.Classes = append(t.Classes, tally.Class{Name: c.Name, SoftDeadline: c.SoftDeadline, Deadline: c.Deadline, Worth: c.Worth, WorthAtDeadline: c.WorthAtDeadline})
	}
	for _, m := range p.Tenants {
		t.Tenants = append(t.Tenants, m.Name)
	}
	for _, n := range p.Nodes {
		t.Nodes = append(t.Nodes, n.Name)
	}
	return t
}
