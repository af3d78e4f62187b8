package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/fleet/history"
	"starlingusher/fleet/ownership"
	"starlingusher/internal/lab/proc"
	"starlingusher/internal/lab/relay"
	"starlingusher/internal/lab/replica"
	"starlingusher/internal/registry"
)

const (
	ownNodes    = 8
	ownZones    = 6
	ownRegions  = 3
	copies      = 3
	steadyDests = 40  // whose first endpoint is never changed
	otherDests  = 8   // which have endpoints at times
	wildDests   = 8   // which never have any
	firstWild   = 900 // and the first of those
	changing    = 14  // endpoints that come, go and move
	controllers = 2

	// heardWithin is the bound for a node that is not disturbed to have a new map, and to act by it: the target's 8 s. It is a promise
	// that a busy machine must not break, so what the machine holds up is not judged; see lateBy.
	heardWithin = 8 * time.Second
	askSlack    = 2 * time.Second // in which an older ask may cross a newer one
	endSlack    = 4 * time.Second
	lateBy      = 500 * time.Millisecond // the machine is no judge's witness while the trial's own clock is so late
	lateEvery   = 10 * time.Millisecond
	pollPause   = 30 * time.Millisecond
	handPause   = 25 * time.Millisecond // between two messages for a node, on the average
	listPause   = 60 * time.Millisecond // between two changes of the list, on the average
	quietWait   = 25 * time.Second
)

// The seeded breaches.
const (
	BreachAccept = "accept" // a node goes on accepting what it lost
	BreachNumber = "number" // a number is given twice
	BreachChange = "change" // a change is left out of a filtered watch
)

// Breaches are the seeded breaches, with the rule by which each must be found.
var Breaches = map[string]OwnershipRule{BreachAccept: InTime, BreachNumber: OneMap, BreachChange: Listed}

// OwnershipOptions say how a trial of ownership is run.
type OwnershipOptions struct {
	Directory []string // command of a replica; `--config FILE` is put behind it
	Node      []string // command of a delivery node; its environment tells it what it is
	Dir       string   // an empty folder; it stays
	Seed      uint64
	Length    time.Duration // of the faults
	Only      []string      // kinds of faults; none: all
	Breach    string        // a seeded breach, or none
	Log       *slog.Logger
}

// OwnershipResult is what a trial has found.
type OwnershipResult struct {
	Seed    uint64         `json:"seed"`
	Faults  []string       `json:"faults"`
	Changes map[string]int `json:"changes"` // of the map, by where their controller ended, and how
	Maps    int64          `json:"maps"`    // number of the last one
	Handed  map[string]int `json:"handed"`  // messages, by answer
	Asks    int            `json:"asks"`    // watches that nodes asked for
	Lines   int            `json:"lines"`   // that they were told
	Again   int            `json:"again"`   // messages handed in once more while they were held, and taken for such
	// Outlived counts the messages that ended after their node had been told a map by which it does not own them any more.
	Outlived int `json:"outlived"`
	GoneOn   int `json:"gone_on"` // times in which a node was seen to accept without a directory
	// Over is the longest time after a new map, or the end of what kept a node from it, in which the node still accepted what it had lost.
	Over time.Duration `json:"over"`
	// Quiet is how long after the last map all nodes acted by it.
	Quiet    time.Duration `json:"quiet"`
	Late     int           `json:"late"`      // times in which the machine held the trial itself up, which are not judged
	LateMost time.Duration `json:"late_most"` // the longest
	Breach   string        `json:"breach,omitempty"`
	Found    bool          `json:"found,omitempty"` // the seeded breach, by its rule
	Breaches []Breach      `json:"breaches"`
}

// Kept tells that all was kept; with a seeded breach, that the checker found it.
func (r *OwnershipResult) Kept() bool {
	if r.Breach != "" {
		return r.Found
	}
	return len(r.Breaches) == 0
}

// ownershipTrial is a trial's replicas with nodes, fronts, partners and controllers around them.
type ownershipTrial struct {
	*trial
	own      OwnershipOptions
	zones    []string
	nodes    []*ownedNode
	partners *partners
	asking   *http.Client
	older    [replicas]atomic.Bool // fronts play an older build of that replica
	ids      atomic.Int64
	killed   chan killed

	// What was seen, and what is to be done; under the trial's lock.
	sights    []MapSight
	written   []MapWrite
	eras      []*Era
	handed    []Handed
	asks      []*Ask
	ends      []End
	disturbed []*Disturbed
	holds     map[string]time.Duration // by message, that a partner holds its answer
	result    OwnershipResult
	leaveOut  bool         // the next change that comes to a node by a filtered watch
	killAt    map[int]bool // nodes that are killed when they next fetch the map; true: after it has been sent to them
	stubborn  int          // the node that goes on accepting what it lost; -1: none
}

type killed struct {
	node int
	back func() // ends its disturbance
}

// RunOwnership runs a trial of ownership.
func RunOwnership(ctx context.Context, o OwnershipOptions) (*OwnershipResult, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	base := Options{Command: o.Directory, Dir: o.Dir, Seed: o.Seed, Length: o.Length, Log: o.Log}
	t := &ownershipTrial{
		trial: &trial{opts: base, sup: proc.NewSupervisor(), r: rand.New(rand.NewPCG(o.Seed, 1))}, own: o, killed: make(chan killed, ownNodes),
		asking: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		holds:  map[string]time.Duration{}, killAt: map[int]bool{}, stubborn: -1,
		result: OwnershipResult{Seed: o.Seed, Breach: o.Breach, Changes: map[string]int{}, Handed: map[string]int{}, Faults: []string{}, Breaches: []Breach{}},
	}
	for z := range ownZones {
		t.zones = append(t.zones, fmt.Sprint("z", z))
	}
	defer t.close()
	if err := t.build(); err != nil {
		return nil, err
	}
	if err := t.play(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &t.result
	for _, b := range r.Breaches {
		r.Found = r.Found || o.Breach != "" && b.Rule == Breaches[o.Breach]
	}
	if len(r.Breaches) == 0 || r.Found {
		return r, nil
	}
	for _, n := range t.nodes { // where each one stands may tell why
		n.process().Signal(syscall.SIGQUIT)
	}
	raw, err := json.Marshal(map[string]any{"sights": t.sights, "writes": t.written, "eras": t.eras, "handed": t.handed, "asks": t.asks, "ends": t.ends, "disturbed": t.disturbed})
	if err != nil {
		return nil, err
	}
	return r, os.WriteFile(filepath.Join(o.Dir, "seen.json"), raw, 0o600)
}

func (t *ownershipTrial) build() error {
	if err := t.buildOf(replicas, false); err != nil {
		return err
	}
	var err error
	if t.partners, err = t.openPartners(steadyDests + changing); err != nil {
		return err
	}
	for i := range ownNodes {
		n, err := t.newNode(i)
		if n != nil {
			t.nodes = append(t.nodes, n)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (t *ownershipTrial) close() {
	t.sup.Close()
	for _, n := range t.nodes {
		n.close()
	}
	if t.partners != nil {
		t.partners.close()
	}
	t.trial.close()
}

// members are all nodes as members of a map.
func (t *ownershipTrial) members() []ownership.Member {
	var all []ownership.Member
	for i := range ownNodes {
		all = append(all, ownership.Member{Name: nodeName(i), Zone: t.zones[i%ownZones], Weight: 1})
	}
	return all
}

func region(node int) int { return node % ownZones * ownRegions / ownZones }

func (t *ownershipTrial) play(ctx context.Context) error {
	for _, r := range t.all {
		if err := r.Start(); err != nil {
			return err
		}
	}
	if err := await(ctx, "a service of three", func() bool { return t.voters(ctx, replicas) }); err != nil {
		return err
	}
	t.began = time.Now()
	if err := t.begin(ctx); err != nil {
		return err
	}
	var background, chaos sync.WaitGroup
	watching, unwatch := context.WithCancel(ctx)
	defer background.Wait()
	defer unwatch()
	for _, r := range t.all {
		background.Go(func() { t.looks(watching, r) })
	}
	background.Go(func() { t.lateness(watching) })
	faulty, calmDown := context.WithCancel(ctx)
	defer chaos.Wait()
	defer calmDown()
	for _, n := range t.nodes {
		chaos.Go(func() { t.hands(faulty, n) })
	}
	chaos.Go(func() { t.changesList(faulty) })
	for i := range controllers {
		chaos.Go(func() { t.newController(i).run(faulty) })
	}
	if t.own.Breach == BreachChange {
		t.mu.Lock()
		t.leaveOut = true
		t.mu.Unlock()
	}
	err := t.faults(ctx)
	calmDown()
	chaos.Wait()
	if err != nil {
		return err
	}
	t.own.Log.Info("faults over", "at", t.now())
	if err := t.heal(ctx); err != nil {
		return err
	}
	t.own.Log.Info("healed", "at", t.now())
	return t.settle(ctx)
}

// begin writes the first list and the first map, and starts the nodes.
func (t *ownershipTrial) begin(ctx context.Context) error {
	var members []catalog.Endpoint
	for d := range steadyDests {
		members = append(members, t.endpointAt(fmt.Sprint("s", d), d, d))
	}
	op := t.client(99)
	op.RetryFor = settleWait
	if _, err := op.Put(ctx, members, true, true, "*"); err != nil {
		return fmt.Errorf("the first list: %w", err)
	}
	first := t.newController(controllers)
	first.op.RetryFor = settleWait
	if _, err := first.change(ctx, whole, func([]ownership.Member) []ownership.Member { return t.members() }); err != nil {
		return fmt.Errorf("the first map: %w", err)
	}
	errs := make([]error, len(t.nodes))
	var starts sync.WaitGroup
	for i, n := range t.nodes {
		starts.Go(func() { errs[i] = n.start(ctx) })
	}
	starts.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	for _, n := range t.nodes {
		var why string
		ready := func() (ok bool) { ok, why = n.ready(ctx); return ok }
		if err := await(ctx, n.name+" ready", ready); err != nil {
			return fmt.Errorf("%w: %s", err, why)
		}
	}
	return nil
}

func (t *ownershipTrial) endpointAt(id string, dest, address int) catalog.Endpoint {
	return catalog.Endpoint{ID: id, Addr: t.partners.at[address], Locality: t.zones[address%ownZones], Flavor: "hook", Cell: dest, Phase: catalog.Serving, Size: 1}
}

// changesList changes the list until the context ends.
func (t *ownershipTrial) changesList(ctx context.Context) {
	r := rand.New(rand.NewPCG(t.opts.Seed, 4000))
	op := t.client(400)
	for registry.Sleep(ctx, time.Duration(r.ExpFloat64()*float64(listPause))) {
		i := r.IntN(changing)
		e := t.endpointAt(fmt.Sprint("c", i), r.IntN(steadyDests+otherDests), steadyDests+i)
		e.Size = float64(1 + r.IntN(4))
		switch r.IntN(6) {
		case 0:
			e.Phase = catalog.Draining
		case 1:
			e.Phase = catalog.Deleted
		}
		op.Addresses = t.addresses(r.Uint64())
		if _, err := op.Put(context.WithoutCancel(ctx), []catalog.Endpoint{e}, false, true, "*"); err != nil {
			t.own.Log.Debug("a change of the list", "err", err) // its outcome stands in the history
		}
	}
}

// looks reads the map at one replica again and again.
func (t *ownershipTrial) looks(ctx context.Context, r *replica.Replica) {
	for registry.Sleep(ctx, pollPause) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.OwnAddr(replica.HTTP)+mapPath, nil)
		if err != nil {
			return
		}
		resp, err := t.asking.Do(req)
		if err != nil {
			continue
		}
		var a recordAnswer
		err = json.NewDecoder(resp.Body).Decode(&a)
		resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			t.saw(r.ID, a.Value)
		}
	}
}

// saw notes that somebody has a map.
func (t *ownershipTrial) saw(by string, value []byte) {
	if len(value) == 0 {
		return
	}
	m, err := ownership.Decode(value)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.result.Breaches = append(t.result.Breaches, Breach{OneMap, fmt.Sprintf("%s has a map that can't be read: %v", by, err)})
		return
	}
	now, s := t.now(), sum(value)
	for _, e := range t.eras {
		if e.Number == m.Number && e.Sum == s {
			e.Known = min(e.Known, now)
		}
	}
	for _, before := range slices.Backward(t.sights) {
		if before.By == by {
			if before.Number == m.Number && before.Sum == s {
				return
			}
			break
		}
	}
	t.sights = append(t.sights, MapSight{now, by, m.Number, s})
}

// begun notes that a map is about to be written.
func (t *ownershipTrial) begun(m *ownership.Map, w MapWrite) *Era {
	e := &Era{Number: w.Number, Sum: w.Sum, Asked: w.Call, Known: never, Owned: map[int]ownership.Set{}}
	for i := range ownNodes {
		if s, ok := m.PartitionsOf(nodeName(i)); ok {
			e.Owned[i] = s
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.eras = append(t.eras, e)
	return e
}

// dropped notes that it was surely not written.
func (t *ownershipTrial) dropped(e *Era) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.eras = slices.DeleteFunc(t.eras, func(o *Era) bool { return o == e })
}

func (t *ownershipTrial) wrote(e *Era, w MapWrite) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.written = append(t.written, w)
	if w.Outcome == Done {
		e.Known = min(e.Known, w.Return)
		t.result.Maps = max(t.result.Maps, w.Number)
	}
}

// changed counts a change of the map.
func (t *ownershipTrial) changed(by string, at boundary, m *ownership.Map, err error) {
	what := string(at)
	if err != nil && !errors.Is(err, errKilled) {
		what = "given up"
	}
	number := int64(0)
	if m != nil {
		number = m.Number
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.Changes[what]++
	t.own.Log.Debug("map", "by", by, "number", number, "how", at, "err", err)
}

// fetched is told that a node fetches the map; pass sends it on.
func (t *ownershipTrial) fetched(node int, raw []byte, pass func()) {
	t.mu.Lock()
	after, armed := t.killAt[node]
	delete(t.killAt, node)
	t.mu.Unlock()
	var a recordAnswer
	if json.Unmarshal(raw, &a) == nil {
		t.saw(nodeName(node), a.Value)
	}
	if armed && after { // it has a moment to begin with what it does then
		pass()
		time.Sleep(time.Duration(rand.Int64N(int64(20 * time.Millisecond))))
	}
	if armed {
		back := t.disturb(node, "killed as it fetched the map")
		t.nodes[node].kill()
		t.killed <- killed{node, back}
		return
	}
	pass()
}

// leavesOut tells that the change that is about to be told to a node is to be left out.
func (t *ownershipTrial) leavesOut(int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.leaveOut
	t.leaveOut = false
	return now
}

// noticed notes the notices of a body that a replica has taken.
func (t *ownershipTrial) noticed(body []byte) {
	for line := range bytes.Lines(body) {
		var n struct{ ID, State string }
		if json.Unmarshal(line, &n) == nil && n.ID != "" {
			t.ended(n.ID, n.State)
		}
	}
}

func (t *ownershipTrial) ended(id, kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ends = append(t.ends, End{id, t.now(), kind})
}

// hold is for how long a partner keeps the answer to a message.
func (t *ownershipTrial) hold(id string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.holds[id], shortAnswer)
}

// disturb notes that a node (-1: all) can't do as it would, until what it returns is called.
func (t *ownershipTrial) disturb(node int, why string) (back func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := &Disturbed{node, t.now(), never, why}
	t.disturbed = append(t.disturbed, d)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		d.Until = t.now()
	}
}

// lateness notes when the machine held this process up: it may have held up all others as well.
func (t *ownershipTrial) lateness(ctx context.Context) {
	for {
		from := t.now()
		if !registry.Sleep(ctx, lateEvery) {
			return
		}
		if late := t.now() - from - lateEvery; late > lateBy {
			t.mu.Lock()
			t.disturbed = append(t.disturbed, &Disturbed{-1, from, t.now(), "the machine"})
			t.result.Late++
			t.result.LateMost = max(t.result.LateMost, late)
			t.mu.Unlock()
		}
	}
}

// hands hands messages in at a node until the context ends, and some of those that it took on once more.
func (t *ownershipTrial) hands(ctx context.Context, n *ownedNode) {
	r := rand.New(rand.NewPCG(t.opts.Seed, uint64(5000+n.number)))
	var open []Handed
	for registry.Sleep(ctx, time.Duration(r.ExpFloat64()*float64(handPause))) {
		if len(open) > 0 && r.IntN(4) == 0 {
			h := open[0]
			open = open[1:]
			if t.now() < h.By-life/4 {
				t.hand(n, h.ID, classKeyed, h.Dest, h.By, true)
			}
			continue
		}
		dest := r.IntN(steadyDests)
		switch k := r.IntN(20); k {
		case 0:
			dest = firstWild + r.IntN(wildDests)
		case 1, 2:
			dest = steadyDests + r.IntN(otherDests)
		}
		class, id := r.IntN(len(classNames)), t.newID()
		if class == classKeyed {
			t.mu.Lock()
			t.holds[id] = longestHold/3 + time.Duration(r.Int64N(int64(longestHold*2/3)))
			t.mu.Unlock()
		}
		if h := t.hand(n, id, class, dest, t.now()+life, false); class == classKeyed && h.State == history.Taken {
			open = append(open, h)
		}
	}
}

func (t *ownershipTrial) newID() string { return fmt.Sprint("m", t.ids.Add(1)) }

// hand hands a message in, and notes the answer.
func (t *ownershipTrial) hand(n *ownedNode, id string, class, dest int, by time.Duration, again bool) Handed {
	h := Handed{Node: n.number, Dest: dest, ID: id, Unsafe: class == classUnsafe, Again: again, By: by, Call: t.now()}
	h.State, h.Wait, h.Why = n.handIn(id, class, dest, by-h.Call)
	h.Return = t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if n.number == t.stubborn && h.State == history.Refused && slices.ContainsFunc(t.eras, func(e *Era) bool { return e.Owned[n.number].Has(ownership.PartitionOf(dest)) }) {
		h.State, h.Wait = history.Taken, 0
	}
	t.handed = append(t.handed, h)
	t.result.Handed[h.State]++
	return h
}

// ownFault is one kind of what may happen to the parts of the trial.
type ownFault struct {
	name string
	do   func(t *ownershipTrial, ctx context.Context, d time.Duration) (string, error)
}

var ownFaults = []ownFault{
	{"node killed", onNode(func(t *ownershipTrial, ctx context.Context, n *ownedNode, d time.Duration) error {
		n.kill()
		registry.Sleep(ctx, d)
		return n.start(ctx)
	})},
	{"node ended", onNode(func(t *ownershipTrial, ctx context.Context, n *ownedNode, d time.Duration) error {
		n.process().Terminate(ctx, termWait)
		registry.Sleep(ctx, d/4)
		return n.start(ctx)
	})},
	{"node stopped", onNode(func(t *ownershipTrial, ctx context.Context, n *ownedNode, d time.Duration) error {
		p := n.process()
		p.Signal(syscall.SIGSTOP)
		registry.Sleep(ctx, d)
		return p.Signal(syscall.SIGCONT)
	})},
	{"node handed over", onNode(func(t *ownershipTrial, ctx context.Context, n *ownedNode, d time.Duration) error {
		return n.handOver(ctx, d)
	})},
	{"node killed and started while cut off", onNode(func(t *ownershipTrial, ctx context.Context, n *ownedNode, d time.Duration) error {
		t.cut(n.fronts, relay.Conditions{CutOutbound: true, CutReturn: true})
		defer t.cut(n.fronts, calm)
		n.kill()
		kept, _ := n.list() // it may not have had the time to keep one
		registry.Sleep(ctx, d/2)
		if err := n.start(ctx); err != nil {
			return err
		}
		t.goesOn(ctx, n, func(dest int) bool {
			return slices.ContainsFunc(slices.Collect(maps.Values(kept)), func(e catalog.Endpoint) bool { return e.Cell == dest })
		})
		return nil
	})},
	{"node cut off", onNode(func(t *ownershipTrial, ctx context.Context, n *ownedNode, d time.Duration) error {
		t.cut(n.fronts, relay.Conditions{CutOutbound: t.r.IntN(2) == 0, CutReturn: true})
		registry.Sleep(ctx, d)
		t.cut(n.fronts, calm)
		return nil
	})},
	{"node killed as it fetches a map", func(t *ownershipTrial, ctx context.Context, d time.Duration) (string, error) {
		t.mu.Lock()
		for _, n := range t.nodes { // whoever comes first; the others go on
			t.killAt[n.number] = t.r.IntN(2) == 0
		}
		t.mu.Unlock()
		wait := time.NewTimer(4 * controlRest)
		defer wait.Stop()
		var gone []killed
		select {
		case k := <-t.killed:
			gone = append(gone, k)
		case <-wait.C:
		case <-ctx.Done():
		}
		t.mu.Lock()
		clear(t.killAt)
		t.mu.Unlock()
		registry.Sleep(ctx, d/4)
		for len(t.killed) > 0 {
			gone = append(gone, <-t.killed)
		}
		var errs []error
		var names []string
		for _, k := range gone {
			errs = append(errs, t.nodes[k.node].start(ctx))
			k.back()
			names = append(names, nodeName(k.node))
		}
		return strings.Join(names, " "), errors.Join(errs...)
	}},
	{"region cut off", func(t *ownershipTrial, ctx context.Context, d time.Duration) (string, error) {
		of := t.r.IntN(ownRegions)
		var away []*front
		for _, n := range t.nodes {
			for i, f := range n.fronts {
				if (region(n.number) == of) != (i == of) {
					away = append(away, f)
				}
			}
		}
		defer t.disturb(-1, "region cut off")()
		cutOff := relay.Conditions{CutOutbound: true, CutReturn: true}
		t.all[of].Links[replica.Raft].SetConditions(cutOff)
		t.cut(away, cutOff)
		registry.Sleep(ctx, d)
		t.all[of].Links[replica.Raft].SetConditions(calm)
		t.all[of].Links[replica.Raft].ResetConnections()
		t.cut(away, calm)
		return fmt.Sprint("region ", of), nil
	}},
	{"region killed", func(t *ownershipTrial, ctx context.Context, d time.Duration) (string, error) {
		of := t.r.IntN(ownRegions)
		defer t.disturb(-1, "region killed")()
		t.all[of].Kill()
		var errs []error
		for _, n := range t.nodes {
			if region(n.number) == of {
				n.kill()
			}
		}
		registry.Sleep(ctx, d)
		for _, n := range t.nodes {
			errs = append(errs, n.start(ctx))
		}
		return fmt.Sprint("region ", of), errors.Join(append(errs, t.all[of].Start())...)
	}},
	{"directory gone", func(t *ownershipTrial, ctx context.Context, d time.Duration) (string, error) {
		defer t.disturb(-1, "directory gone")()
		for _, r := range t.all {
			r.Kill()
		}
		registry.Sleep(ctx, d/2)
		var going sync.WaitGroup
		for _, n := range t.nodes {
			going.Go(func() { t.goesOn(ctx, n, func(int) bool { return true }) })
		}
		going.Wait()
		var errs []error
		for _, r := range t.all {
			errs = append(errs, r.Start())
		}
		return "", errors.Join(errs...)
	}},
	{"replica killed", onReplica("kill", false)},
	{"replica stopped", onReplica("stop", false)},
	{"replica cut from callers", onReplica("cut from callers", false)},
	{"replica cut off", onReplica("cut both ways", true)},
	{"older build beside", func(t *ownershipTrial, ctx context.Context, d time.Duration) (string, error) {
		r := t.r.IntN(replicas)
		t.playOlder(ctx, d, r)
		return t.all[r].ID, nil
	}},
	{"older builds alone", func(t *ownershipTrial, ctx context.Context, d time.Duration) (string, error) {
		defer t.disturb(-1, "older builds alone")()
		t.playOlder(ctx, d, 0, 1, 2)
		return "", nil
	}},
}

func onNode(do func(t *ownershipTrial, ctx context.Context, n *ownedNode, d time.Duration) error) func(*ownershipTrial, context.Context, time.Duration) (string, error) {
	return func(t *ownershipTrial, ctx context.Context, d time.Duration) (string, error) {
		n := t.nodes[t.r.IntN(len(t.nodes))]
		defer t.disturb(n.number, "a fault of its own")()
		return n.name, do(t, ctx, n, d)
	}
}

// onReplica plays a fault of the list service's own trial. Who watches there goes to another replica, unless this one goes on
// answering and hears nothing itself.
func onReplica(name string, deaf bool) func(*ownershipTrial, context.Context, time.Duration) (string, error) {
	return func(t *ownershipTrial, ctx context.Context, d time.Duration) (string, error) {
		r := t.all[t.r.IntN(replicas)]
		if t.r.IntN(2) == 0 {
			r = t.leader(ctx)
		}
		if deaf {
			defer t.disturb(-1, "a replica cut off")()
		}
		i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		return r.ID, faults[i].do(t.trial, ctx, r, d)
	}
}

// goesOn holds a node without a directory to its map and list: it accepts what it owns by all maps of late, whichever of them it
// has, and what is on its list.
func (t *ownershipTrial) goesOn(ctx context.Context, n *ownedNode, listed func(dest int) bool) {
	s := t.seen()
	since := int64(0)
	for _, e := range s.eras {
		if e.Known < t.now()-2*heardWithin {
			since = max(since, e.Number)
		}
	}
	var dests []int
	for d := range steadyDests {
		if listed(d) && !slices.ContainsFunc(s.eras, func(e Era) bool { return e.Number >= since && !e.Owned[n.number].Has(ownership.PartitionOf(d)) }) {
			dests = append(dests, d)
		}
	}
	if len(dests) == 0 {
		return // it may be in none of them
	}
	i := 0
	accepts := func() bool {
		i++
		return t.hand(n, t.newID(), classSafe, dests[i%len(dests)], t.now()+life, false).State == history.Taken
	}
	if err := await(ctx, n.name+" accepting without a directory", accepts); err != nil && ctx.Err() == nil {
		t.fail(Returns, "%v, of %d destinations that it owned all the time", err, len(dests))
		return
	}
	t.mu.Lock()
	t.result.GoneOn++
	t.mu.Unlock()
}

// cut sets the weather of the links to fronts. A path that is whole again comes back with its connections broken.
func (t *ownershipTrial) cut(all []*front, w relay.Conditions) {
	for _, f := range all {
		f.link.SetConditions(w)
		if w == calm {
			f.link.ResetConnections()
		}
	}
}

// playOlder lets the fronts of some replicas answer as an older build would.
func (t *ownershipTrial) playOlder(ctx context.Context, d time.Duration, which ...int) {
	for _, on := range []bool{true, false} {
		for _, r := range which {
			t.older[r].Store(on)
			for _, n := range t.nodes { // the replica was started anew
				n.fronts[r].link.ResetConnections()
			}
		}
		if on {
			registry.Sleep(ctx, d)
		}
	}
}

// faults plays all kinds in an order of the seed, and again, with a moment between two of them.
func (t *ownershipTrial) faults(ctx context.Context) error {
	kinds := slices.DeleteFunc(slices.Clone(ownFaults), func(f ownFault) bool {
		return len(t.own.Only) > 0 && !slices.Contains(t.own.Only, f.name)
	})
	if len(kinds) == 0 {
		return fmt.Errorf("none of the faults is called %q", t.own.Only)
	}
	var deck []ownFault
	for until := t.now() + t.opts.Length; t.now() < until; {
		if !registry.Sleep(ctx, time.Duration(100+t.r.IntN(400))*time.Millisecond) {
			return ctx.Err()
		}
		if len(deck) == 0 {
			deck = slices.Clone(kinds)
			t.r.Shuffle(len(deck), func(i, j int) { deck[i], deck[j] = deck[j], deck[i] })
		}
		f, d := deck[0], time.Duration(200+t.r.IntN(1000))*time.Millisecond
		deck = deck[1:]
		at := t.now()
		who, err := f.do(t, ctx, d)
		name := fmt.Sprintf("%v %s: %s for %v", at.Round(time.Millisecond), f.name, who, d)
		t.own.Log.Info("fault", "what", name)
		t.result.Faults = append(t.result.Faults, name)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if err := await(ctx, "the service after "+f.name, func() bool { return t.voters(ctx, replicas) }); err != nil {
			return err
		}
	}
	return nil
}

// heal ends what may be left of the faults.
func (t *ownershipTrial) heal(ctx context.Context) error {
	for len(t.killed) > 0 { // by a fetch that was under way when the fault ended
		k := <-t.killed
		defer k.back()
	}
	for _, n := range t.nodes {
		if err := n.start(ctx); err != nil {
			return err
		}
	}
	for _, r := range t.all {
		if err := r.Start(); err != nil {
			return err
		}
	}
	return await(ctx, "the service after the faults", func() bool { return t.voters(ctx, replicas) })
}

// lastMap makes the map that stays: one node is not in it.
func (t *ownershipTrial) lastMap(ctx context.Context, c *controller, out int) (Era, error) {
	m, err := c.change(ctx, whole, func([]ownership.Member) []ownership.Member {
		return slices.DeleteFunc(t.members(), func(m ownership.Member) bool { return m.Name == nodeName(out) })
	})
	if err != nil {
		return Era{}, fmt.Errorf("the last map: %w", err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range slices.Backward(t.eras) {
		if e.Number == m.Number {
			return *e, nil
		}
	}
	return Era{}, fmt.Errorf("the last map, %d, is not among those that were made", m.Number)
}

// settle makes the last map, waits until all act by it, and checks all that was seen.
func (t *ownershipTrial) settle(ctx context.Context) error {
	out := t.r.IntN(ownNodes)
	c := t.newController(controllers + 1)
	c.op.RetryFor = settleWait
	if t.own.Breach == BreachAccept {
		t.mu.Lock()
		t.stubborn = out
		t.mu.Unlock()
	}
	var saved []byte
	var err error
	if t.own.Breach == BreachNumber {
		if saved, _, err = c.op.Backup(ctx, true); err != nil {
			return err
		}
	}
	last, err := t.lastMap(ctx, c, out)
	if err != nil {
		return err
	}
	if t.own.Breach == BreachNumber {
		if _, err := c.op.Restore(ctx, saved); err != nil {
			return err
		}
		if _, err := t.lastMap(ctx, c, (out+1)%ownNodes); err != nil {
			return err
		}
		return t.judge(ctx)
	}
	t.own.Log.Info("the last map", "number", last.Number, "at", t.now())
	t.quiet(ctx, last, out)
	t.own.Log.Info("judging", "at", t.now())
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return t.judge(ctx)
}

// fail notes a breach that the trial itself has seen.
func (t *ownershipTrial) fail(rule OwnershipRule, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.Breaches = append(t.result.Breaches, Breach{rule, fmt.Sprintf(format, args...)})
}

// quiet waits until each node acts by the last map, and then looks once more that all do.
func (t *ownershipTrial) quiet(ctx context.Context, last Era, out int) {
	ctx, cancel := context.WithTimeout(ctx, quietWait)
	defer cancel()
	now, _, _, err := t.client(99).List(ctx, true)
	if err != nil {
		t.fail(Returns, "the list after the faults: %v", err)
		return
	}
	serving := map[int]bool{}
	for _, m := range now.Members {
		serving[m.Cell] = serving[m.Cell] || m.Phase == catalog.Serving
	}
	dests := slices.DeleteFunc(slices.Sorted(maps.Keys(serving)), func(d int) bool { return !serving[d] })
	for i := range wildDests {
		dests = append(dests, firstWild+i)
	}
	exists := func(d int) bool { return serving[d] }

	var pass []Handed
	for _, first := range []bool{true, false} {
		answers := make([][]Handed, len(t.nodes))
		var all sync.WaitGroup
		for i, n := range t.nodes {
			all.Go(func() { answers[i] = t.askAll(ctx, n, last, dests, exists, first) })
		}
		all.Wait()
		if first {
			t.result.Quiet = t.now() - last.Known
		}
		pass = slices.Concat(answers...)
		if bad := AfterQuiet(last, len(t.nodes), dests, exists, pass); len(bad) > 0 {
			t.mu.Lock()
			t.result.Breaches = append(t.result.Breaches, bad...)
			t.mu.Unlock()
			return
		}
	}
	t.own.Log.Info("all accept as they should", "at", t.now())
	t.quietLists(ctx, last, out, now)
}

// askAll hands in a message for each destination at a node. With wait it asks again until the answer is as it should be; without, only
// an owner that is busy is.
func (t *ownershipTrial) askAll(ctx context.Context, n *ownedNode, last Era, dests []int, exists func(int) bool, wait bool) []Handed {
	var out []Handed
	for _, d := range dests {
		for {
			h := t.hand(n, t.newID(), classSafe, d, t.now()+life, false)
			right := h.right(last, exists(d))
			busy := h.State == history.Refused && h.Wait > 0
			if !right {
				t.own.Log.Debug("not yet", "node", n.name, "dest", d, "state", h.State, "wait", h.Wait, "why", h.Why, "took", h.Return-h.Call)
			}
			if right || !wait && !busy || t.found() || !registry.Sleep(ctx, pollPause) {
				out = append(out, h)
				break
			}
		}
	}
	return out
}

// found tells that a seeded breach has shown in what was accepted, so that nothing more needs to be waited for.
func (t *ownershipTrial) found() bool {
	if t.own.Breach != BreachAccept {
		return false
	}
	s := t.seen()
	bad, _ := Accepts(s.eras, s.handed, s.disturbed, heardWithin)
	return slices.ContainsFunc(bad, func(b Breach) bool { return b.Rule == Breaches[BreachAccept] })
}

// quietLists waits until each node is told, and keeps, the list of its partitions alone, and until what it accepted has ended.
func (t *ownershipTrial) quietLists(ctx context.Context, last Era, out int, now catalog.List) {
	for i, n := range t.nodes {
		want := map[string]catalog.Endpoint{}
		for id, e := range listed(now) {
			if last.Owned[i].Has(ownership.PartitionOf(e.Cell)) {
				want[id] = e
			}
		}
		why := ""
		is := func() bool {
			ready, says := n.ready(ctx)
			if ready != (i != out) || i == out && !strings.Contains(says, "map") {
				why = fmt.Sprintf("ready: %v, %s", ready, says)
				return false
			}
			has, err := n.list()
			if err != nil || !maps.Equal(has, want) {
				why = fmt.Sprintf("it keeps %s, %v", difference(has, want), err)
				return false
			}
			s := t.seen()
			for _, a := range slices.Backward(s.asks) {
				if a.Node == i {
					why = "it asks for " + brief(a.Partitions)
					return a.Partitions == last.Owned[i] || i == out && a.Partitions.Len() == 1
				}
			}
			return false
		}
		if await(ctx, n.name, is) != nil {
			t.fail(Listed, "node %d, %d of whose partitions have endpoints, is not as map %d has it: %s", i, len(want), last.Number, why)
		}
	}
	await(ctx, "the ends of all messages", func() bool { // what has none is told by judge
		s := t.seen()
		return Open(s.handed, s.ends) == 0
	})
}

// seen is a copy of what was seen so far.
type seen struct {
	sights    []MapSight
	written   []MapWrite
	eras      []Era
	handed    []Handed
	asks      []Ask
	ends      []End
	disturbed []Disturbed
}

func (t *ownershipTrial) seen() seen {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := seen{sights: slices.Clone(t.sights), written: slices.Clone(t.written), handed: slices.Clone(t.handed), ends: slices.Clone(t.ends)}
	for _, e := range t.eras {
		s.eras = append(s.eras, *e)
	}
	for _, a := range t.asks {
		s.asks = append(s.asks, *a)
	}
	for _, d := range t.disturbed {
		s.disturbed = append(s.disturbed, *d)
	}
	return s
}

// judge checks all that was seen.
func (t *ownershipTrial) judge(ctx context.Context) error {
	s := t.seen()
	at := t.now()
	var bad []Breach
	accepts, over := Accepts(s.eras, s.handed, s.disturbed, heardWithin)
	bad = slices.Concat(bad, Numbers(s.sights, s.written), accepts, Follows(s.eras, s.asks, askSlack), Ends(s.handed, s.ends, s.disturbed, endSlack, at),
		Given(s.handed, s.ends, func(d int) bool { return d < steadyDests }))
	if t.own.Breach != BreachNumber { // which makes another history
		op := t.client(99)
		op.RetryFor = settleWait
		truth, err := t.truth(ctx, op)
		if err != nil {
			return err
		}
		bad = append(bad, FilteredWatches(map[int64]Truth{truth.history: truth.Truth}, s.asks)...)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.Breaches = append(t.result.Breaches, bad...)
	t.result.Over, t.result.Asks, t.result.Outlived = over, len(s.asks), Outlived(s.eras, s.handed, s.ends)
	for _, h := range s.handed {
		if h.Again && h.State == history.Taken {
			t.result.Again++
		}
	}
	for _, a := range s.asks {
		t.result.Lines += len(a.Lines)
	}
	return nil
}
