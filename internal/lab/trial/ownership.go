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
	nodeCount                = 8
	zoneCount                = 6
	regionCount              = 3
	ownersPerPartition       = 3
	steadyDestinations       = 40  // whose first endpoint is never changed
	intermittentDestinations = 8   // which have endpoints at times
	unlistedDestinations     = 8   // which never have any
	firstUnlisted            = 900 // and the first of those
	changingEndpoints        = 14  // endpoints that come, go and move
	controllerCount          = 2

	// heardWithin is the bound for a node that is not disturbed to have a new map, and to act by it: the target's 8 s. It is a promise
	// that a busy machine must not break, so what the machine holds up is not judged; see lateBy.
	mapAdoptionLimit       = 8 * time.Second
	watchCrossingSlack     = 2 * time.Second // in which an older ask may cross a newer one
	messageEndSlack        = 4 * time.Second
	stallThreshold         = 500 * time.Millisecond // the machine is no judge's witness while the trial's own clock is so late
	stallCheckInterval     = 10 * time.Millisecond
	pollInterval           = 30 * time.Millisecond
	meanSubmitInterval     = 25 * time.Millisecond // between two messages for a node, on the average
	meanListChangeInterval = 60 * time.Millisecond // between two changes of the list, on the average
	convergenceTimeout     = 25 * time.Second
)

// The seeded breaches.
const (
	InjectLateAccept      = "accept" // a node goes on accepting what it lost
	InjectDuplicateNumber = "number" // a number is given twice
	InjectDroppedChange   = "change" // a change is left out of a filtered watch
)

// Breaches are the seeded breaches, with the rule by which each must be found.
var InjectedViolations = map[string]OwnershipRule{InjectLateAccept: RuleTimelyRelease, InjectDuplicateNumber: RuleUniqueMaps, InjectDroppedChange: RuleFilteredLists}

// OwnershipOptions say how a trial of ownership is run.
type OwnershipOptions struct {
	Directory  []string // command of a replica; `--config FILE` is put behind it
	Node       []string // command of a delivery node; its environment tells it what it is
	Dir        string   // an empty folder; it stays
	Seed       uint64
	Duration   time.Duration // of the faults
	FaultKinds []string      // kinds of faults; none: all
	Inject     string        // a seeded breach, or none
	Log        *slog.Logger
}

// OwnershipResult is what a trial has found.
type OwnershipResult struct {
	Seed            uint64         `json:"seed"`
	Faults          []string       `json:"faults"`
	MapChanges      map[string]int `json:"changes"` // of the map, by where their controller ended, and how
	LastMapNumber   int64          `json:"maps"`    // number of the last one
	Submissions     map[string]int `json:"handed"`  // messages, by answer
	WatchRequests   int            `json:"asks"`    // watches that nodes asked for
	WatchLines      int            `json:"lines"`   // that they were told
	AcceptedRepeats int            `json:"again"`   // messages handed in once more while they were held, and taken for such
	// Outlived counts the messages that ended after their node had been told a map by which it does not own them any more.
	EndedAfterLoss           int `json:"outlived"`
	AcceptedWithoutDirectory int `json:"gone_on"` // times in which a node was seen to accept without a directory
	// Over is the longest time after a new map, or the end of what kept a node from it, in which the node still accepted what it had lost.
	LongestLateAccept time.Duration `json:"over"`
	// Quiet is how long after the last map all nodes acted by it.
	ConvergenceTime  time.Duration `json:"quiet"`
	HostStalls       int           `json:"late"`      // times in which the machine held the trial itself up, which are not judged
	LongestHostStall time.Duration `json:"late_most"` // the longest
	Injected         string        `json:"breach,omitempty"`
	InjectedFound    bool          `json:"found,omitempty"` // the seeded breach, by its rule
	Violations       []Violation   `json:"breaches"`
}

// Kept tells that all was kept; with a seeded breach, that the checker found it.
func (r *OwnershipResult) Passed() bool {
	if r.Injected != "" {
		return r.InjectedFound
	}
	return len(r.Violations) == 0
}

// ownershipTrial is a trial's replicas with nodes, fronts, partners and controllers around them.
type ownershipTrial struct {
	*trial
	ownershipOptions OwnershipOptions
	zones            []string
	nodes            []*deliveryNode
	partners         *partners
	pollClient       *http.Client
	olderBuilds      [replicaCount]atomic.Bool // fronts play an older build of that replica
	lastMessage      atomic.Int64
	killedNodes      chan killedNode

	// What was seen, and what is to be done; under the trial's lock.
	observations   []MapObservation
	mapWrites      []MapWrite
	maps           []*PublishedMap
	submissions    []Submission
	watchRequests  []*WatchRequest
	messageEnds    []MessageEnd
	disturbances   []*Disturbance
	answerDelays   map[string]time.Duration // by message, that a partner holds its answer
	result         OwnershipResult
	dropNextChange bool         // the next change that comes to a node by a filtered watch
	killOnFetch    map[int]bool // nodes that are killed when they next fetch the map; true: after it has been sent to them
	lateAcceptor   int          // the node that goes on accepting what it lost; -1: none
}

type killedNode struct {
	node           int
	endDisturbance func() // ends its disturbance
}

// RunOwnership runs a trial of ownership.
func RunOwnership(ctx context.Context, o OwnershipOptions) (*OwnershipResult, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	base := Options{Command: o.Directory, Dir: o.Dir, Seed: o.Seed, Duration: o.Duration, Log: o.Log}
	t := &ownershipTrial{
		trial: &trial{options: base, supervisor: proc.NewSupervisor(), random: rand.New(rand.NewPCG(o.Seed, 1))}, ownershipOptions: o, killedNodes: make(chan killedNode, nodeCount),
		pollClient:   &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		answerDelays: map[string]time.Duration{}, killOnFetch: map[int]bool{}, lateAcceptor: -1,
		result: OwnershipResult{Seed: o.Seed, Injected: o.Inject, MapChanges: map[string]int{}, Submissions: map[string]int{}, Faults: []string{}, Violations: []Violation{}},
	}
	for z := range zoneCount {
		t.zones = append(t.zones, fmt.Sprint("z", z))
	}
	defer t.close()
	if err := t.build(); err != nil {
		return nil, err
	}
	if err := t.run(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &t.result
	for _, b := range r.Violations {
		r.InjectedFound = r.InjectedFound || o.Inject != "" && b.Rule == InjectedViolations[o.Inject]
	}
	if len(r.Violations) == 0 || r.InjectedFound {
		return r, nil
	}
	for _, n := range t.nodes { // where each one stands may tell why
		n.process().Signal(syscall.SIGQUIT)
	}
	raw, err := json.Marshal(map[string]any{"sights": t.observations, "writes": t.mapWrites, "eras": t.maps, "handed": t.submissions, "asks": t.watchRequests, "ends": t.messageEnds, "disturbed": t.disturbances})
	if err != nil {
		return nil, err
	}
	return r, os.WriteFile(filepath.Join(o.Dir, "seen.json"), raw, 0o600)
}

func (t *ownershipTrial) build() error {
	if err := t.buildReplicas(replicaCount, false); err != nil {
		return err
	}
	var err error
	if t.partners, err = t.openPartners(steadyDestinations + changingEndpoints); err != nil {
		return err
	}
	for i := range nodeCount {
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
	t.supervisor.Close()
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
	for i := range nodeCount {
		all = append(all, ownership.Member{Name: nodeName(i), Zone: t.zones[i%zoneCount], Weight: 1})
	}
	return all
}

func regionOf(node int) int { return node % zoneCount * regionCount / zoneCount }

func (t *ownershipTrial) run(ctx context.Context) error {
	for _, r := range t.replicas {
		if err := r.Start(); err != nil {
			return err
		}
	}
	if err := await(ctx, "a service of three", func() bool { return t.hasVoters(ctx, replicaCount) }); err != nil {
		return err
	}
	t.startedAt = time.Now()
	if err := t.startNodes(ctx); err != nil {
		return err
	}
	var background, chaos sync.WaitGroup
	watching, unwatch := context.WithCancel(ctx)
	defer background.Wait()
	defer unwatch()
	for _, r := range t.replicas {
		background.Go(func() { t.pollMap(watching, r) })
	}
	background.Go(func() { t.detectStalls(watching) })
	faulty, calmDown := context.WithCancel(ctx)
	defer chaos.Wait()
	defer calmDown()
	for _, n := range t.nodes {
		chaos.Go(func() { t.submitMessages(faulty, n) })
	}
	chaos.Go(func() { t.changeList(faulty) })
	for i := range controllerCount {
		chaos.Go(func() { t.newController(i).run(faulty) })
	}
	if t.ownershipOptions.Inject == InjectDroppedChange {
		t.mu.Lock()
		t.dropNextChange = true
		t.mu.Unlock()
	}
	err := t.injectFaults(ctx)
	calmDown()
	chaos.Wait()
	if err != nil {
		return err
	}
	t.ownershipOptions.Log.Info("faults over", "at", t.elapsed())
	if err := t.restoreAll(ctx); err != nil {
		return err
	}
	t.ownershipOptions.Log.Info("healed", "at", t.elapsed())
	return t.converge(ctx)
}

// begin writes the first list and the first map, and starts the nodes.
func (t *ownershipTrial) startNodes(ctx context.Context) error {
	var members []catalog.Endpoint
	for d := range steadyDestinations {
		members = append(members, t.destinationEndpoint(fmt.Sprint("s", d), d, d))
	}
	op := t.newClient(99)
	op.RetryFor = settleTimeout
	if _, err := op.Put(ctx, members, true, true, "*"); err != nil {
		return fmt.Errorf("the first list: %w", err)
	}
	first := t.newController(controllerCount)
	first.admin.RetryFor = settleTimeout
	if _, err := first.publishMap(ctx, uninterrupted, func([]ownership.Member) []ownership.Member { return t.members() }); err != nil {
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

func (t *ownershipTrial) destinationEndpoint(id string, dest, address int) catalog.Endpoint {
	return catalog.Endpoint{ID: id, Addr: t.partners.addresses[address], Locality: t.zones[address%zoneCount], Flavor: "hook", Cell: dest, Phase: catalog.Serving, Size: 1}
}

// changesList changes the list until the context ends.
func (t *ownershipTrial) changeList(ctx context.Context) {
	r := rand.New(rand.NewPCG(t.options.Seed, 4000))
	op := t.newClient(400)
	for registry.Sleep(ctx, time.Duration(r.ExpFloat64()*float64(meanListChangeInterval))) {
		i := r.IntN(changingEndpoints)
		e := t.destinationEndpoint(fmt.Sprint("c", i), r.IntN(steadyDestinations+intermittentDestinations), steadyDestinations+i)
		e.Size = float64(1 + r.IntN(4))
		switch r.IntN(6) {
		case 0:
			e.Phase = catalog.Draining
		case 1:
			e.Phase = catalog.Deleted
		}
		op.Addresses = t.shuffledAddresses(r.Uint64())
		if _, err := op.Put(context.WithoutCancel(ctx), []catalog.Endpoint{e}, false, true, "*"); err != nil {
			t.ownershipOptions.Log.Debug("a change of the list", "err", err) // its outcome stands in the history
		}
	}
}

// looks reads the map at one replica again and again.
func (t *ownershipTrial) pollMap(ctx context.Context, r *replica.Replica) {
	for registry.Sleep(ctx, pollInterval) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.OwnAddr(replica.HTTP)+mapPath, nil)
		if err != nil {
			return
		}
		resp, err := t.pollClient.Do(req)
		if err != nil {
			continue
		}
		var a recordAnswer
		err = json.NewDecoder(resp.Body).Decode(&a)
		resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			t.recordObservation(r.ID, a.Value)
		}
	}
}

// saw notes that somebody has a map.
func (t *ownershipTrial) recordObservation(by string, value []byte) {
	if len(value) == 0 {
		return
	}
	m, err := ownership.Decode(value)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.result.Violations = append(t.result.Violations, Violation{RuleUniqueMaps, fmt.Sprintf("%s has a map that can't be read: %v", by, err)})
		return
	}
	now, s := t.elapsed(), checksum(value)
	for _, e := range t.maps {
		if e.Number == m.Number && e.Checksum == s {
			e.CommittedBy = min(e.CommittedBy, now)
		}
	}
	for _, before := range slices.Backward(t.observations) {
		if before.Observer == by {
			if before.Number == m.Number && before.Checksum == s {
				return
			}
			break
		}
	}
	t.observations = append(t.observations, MapObservation{now, by, m.Number, s})
}

// begun notes that a map is about to be written.
func (t *ownershipTrial) recordMapIntent(m *ownership.Map, w MapWrite) *PublishedMap {
	e := &PublishedMap{Number: w.Number, Checksum: w.Checksum, WrittenAfter: w.Call, CommittedBy: never, Owned: map[int]ownership.Set{}}
	for i := range nodeCount {
		if s, ok := m.PartitionsOf(nodeName(i)); ok {
			e.Owned[i] = s
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maps = append(t.maps, e)
	return e
}

// dropped notes that it was surely not written.
func (t *ownershipTrial) forgetMap(e *PublishedMap) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maps = slices.DeleteFunc(t.maps, func(o *PublishedMap) bool { return o == e })
}

func (t *ownershipTrial) recordMapWrite(e *PublishedMap, w MapWrite) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mapWrites = append(t.mapWrites, w)
	if w.Outcome == Done {
		e.CommittedBy = min(e.CommittedBy, w.Return)
		t.result.LastMapNumber = max(t.result.LastMapNumber, w.Number)
	}
}

// changed counts a change of the map.
func (t *ownershipTrial) countMapChange(by string, at interruption, m *ownership.Map, err error) {
	what := string(at)
	if err != nil && !errors.Is(err, errControllerKilled) {
		what = "given up"
	}
	number := int64(0)
	if m != nil {
		number = m.Number
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.MapChanges[what]++
	t.ownershipOptions.Log.Debug("map", "by", by, "number", number, "how", at, "err", err)
}

// fetched is told that a node fetches the map; pass sends it on.
func (t *ownershipTrial) handleMapFetch(node int, raw []byte, pass func()) {
	t.mu.Lock()
	after, armed := t.killOnFetch[node]
	delete(t.killOnFetch, node)
	t.mu.Unlock()
	var a recordAnswer
	if json.Unmarshal(raw, &a) == nil {
		t.recordObservation(nodeName(node), a.Value)
	}
	if armed && after { // it has a moment to begin with what it does then
		pass()
		time.Sleep(time.Duration(rand.Int64N(int64(20 * time.Millisecond))))
	}
	if armed {
		back := t.beginDisturbance(node, "killed as it fetched the map")
		t.nodes[node].kill()
		t.killedNodes <- killedNode{node, back}
		return
	}
	pass()
}

// leavesOut tells that the change that is about to be told to a node is to be left out.
func (t *ownershipTrial) claimChangeDrop(int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.dropNextChange
	t.dropNextChange = false
	return now
}

// noticed notes the notices of a body that a replica has taken.
func (t *ownershipTrial) recordNotices(body []byte) {
	for line := range bytes.Lines(body) {
		var n struct{ ID, State string }
		if json.Unmarshal(line, &n) == nil && n.ID != "" {
			t.recordEnd(n.ID, n.State)
		}
	}
}

func (t *ownershipTrial) recordEnd(id, kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.messageEnds = append(t.messageEnds, MessageEnd{id, t.elapsed(), kind})
}

// hold is for how long a partner keeps the answer to a message.
func (t *ownershipTrial) answerDelay(id string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.answerDelays[id], minAnswerDelay)
}

// disturb notes that a node (-1: all) can't do as it would, until what it returns is called.
func (t *ownershipTrial) beginDisturbance(node int, why string) (back func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := &Disturbance{node, t.elapsed(), never, why}
	t.disturbances = append(t.disturbances, d)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		d.Until = t.elapsed()
	}
}

// lateness notes when the machine held this process up: it may have held up all others as well.
func (t *ownershipTrial) detectStalls(ctx context.Context) {
	for {
		from := t.elapsed()
		if !registry.Sleep(ctx, stallCheckInterval) {
			return
		}
		if late := t.elapsed() - from - stallCheckInterval; late > stallThreshold {
			t.mu.Lock()
			t.disturbances = append(t.disturbances, &Disturbance{-1, from, t.elapsed(), "the machine"})
			t.result.HostStalls++
			t.result.LongestHostStall = max(t.result.LongestHostStall, late)
			t.mu.Unlock()
		}
	}
}

// hands hands messages in at a node until the context ends, and some of those that it took on once more.
func (t *ownershipTrial) submitMessages(ctx context.Context, n *deliveryNode) {
	r := rand.New(rand.NewPCG(t.options.Seed, uint64(5000+n.number)))
	var open []Submission
	for registry.Sleep(ctx, time.Duration(r.ExpFloat64()*float64(meanSubmitInterval))) {
		if len(open) > 0 && r.IntN(4) == 0 {
			h := open[0]
			open = open[1:]
			if t.elapsed() < h.Deadline-messageLifetime/4 {
				t.submit(n, h.ID, classDeduplicated, h.Destination, h.Deadline, true)
			}
			continue
		}
		dest := r.IntN(steadyDestinations)
		switch k := r.IntN(20); k {
		case 0:
			dest = firstUnlisted + r.IntN(unlistedDestinations)
		case 1, 2:
			dest = steadyDestinations + r.IntN(intermittentDestinations)
		}
		class, id := r.IntN(len(classNames)), t.newMessageID()
		if class == classDeduplicated {
			t.mu.Lock()
			t.answerDelays[id] = maxAnswerDelay/3 + time.Duration(r.Int64N(int64(maxAnswerDelay*2/3)))
			t.mu.Unlock()
		}
		if h := t.submit(n, id, class, dest, t.elapsed()+messageLifetime, false); class == classDeduplicated && h.Answer == history.Taken {
			open = append(open, h)
		}
	}
}

func (t *ownershipTrial) newMessageID() string { return fmt.Sprint("m", t.lastMessage.Add(1)) }

// hand hands a message in, and notes the answer.
func (t *ownershipTrial) submit(n *deliveryNode, id string, class, dest int, by time.Duration, again bool) Submission {
	h := Submission{Node: n.number, Destination: dest, ID: id, AtMostOnce: class == classAtMostOnce, Repeat: again, Deadline: by, Call: t.elapsed()}
	h.Answer, h.RetryAfter, h.Reason = n.submit(id, class, dest, by-h.Call)
	h.Return = t.elapsed()
	t.mu.Lock()
	defer t.mu.Unlock()
	if n.number == t.lateAcceptor && h.Answer == history.Refused && slices.ContainsFunc(t.maps, func(e *PublishedMap) bool { return e.Owned[n.number].Has(ownership.PartitionOf(dest)) }) {
		h.Answer, h.RetryAfter = history.Taken, 0
	}
	t.submissions = append(t.submissions, h)
	t.result.Submissions[h.Answer]++
	return h
}

// ownFault is one kind of what may happen to the parts of the trial.
type ownershipFault struct {
	name   string
	inject func(t *ownershipTrial, ctx context.Context, d time.Duration) (string, error)
}

var ownershipFaults = []ownershipFault{
	{"node killed", nodeFault(func(t *ownershipTrial, ctx context.Context, n *deliveryNode, d time.Duration) error {
		n.kill()
		registry.Sleep(ctx, d)
		return n.start(ctx)
	})},
	{"node ended", nodeFault(func(t *ownershipTrial, ctx context.Context, n *deliveryNode, d time.Duration) error {
		n.process().Terminate(ctx, stopTimeout)
		registry.Sleep(ctx, d/4)
		return n.start(ctx)
	})},
	{"node stopped", nodeFault(func(t *ownershipTrial, ctx context.Context, n *deliveryNode, d time.Duration) error {
		p := n.process()
		p.Signal(syscall.SIGSTOP)
		registry.Sleep(ctx, d)
		return p.Signal(syscall.SIGCONT)
	})},
	{"node handed over", nodeFault(func(t *ownershipTrial, ctx context.Context, n *deliveryNode, d time.Duration) error {
		return n.handOver(ctx, d)
	})},
	{"node killed and started while cut off", nodeFault(func(t *ownershipTrial, ctx context.Context, n *deliveryNode, d time.Duration) error {
		t.setLinks(n.fronts, relay.Conditions{CutOutbound: true, CutReturn: true})
		defer t.setLinks(n.fronts, calm)
		n.kill()
		kept, _ := n.savedList() // it may not have had the time to keep one
		registry.Sleep(ctx, d/2)
		if err := n.start(ctx); err != nil {
			return err
		}
		t.checkAcceptsWithoutDirectory(ctx, n, func(dest int) bool {
			return slices.ContainsFunc(slices.Collect(maps.Values(kept)), func(e catalog.Endpoint) bool { return e.Cell == dest })
		})
		return nil
	})},
	{"node cut off", nodeFault(func(t *ownershipTrial, ctx context.Context, n *deliveryNode, d time.Duration) error {
		t.setLinks(n.fronts, relay.Conditions{CutOutbound: t.random.IntN(2) == 0, CutReturn: true})
		registry.Sleep(ctx, d)
		t.setLinks(n.fronts, calm)
		return nil
	})},
	{"node killed as it fetches a map", func(t *ownershipTrial, ctx context.Context, d time.Duration) (string, error) {
		t.mu.Lock()
		for _, n := range t.nodes { // whoever comes first; the others go on
			t.killOnFetch[n.number] = t.random.IntN(2) == 0
		}
		t.mu.Unlock()
		wait := time.NewTimer(4 * meanMapChangeInterval)
		defer wait.Stop()
		var gone []killedNode
		select {
		case k := <-t.killedNodes:
			gone = append(gone, k)
		case <-wait.C:
		case <-ctx.Done():
		}
		t.mu.Lock()
		clear(t.killOnFetch)
		t.mu.Unlock()
		registry.Sleep(ctx, d/4)
		for len(t.killedNodes) > 0 {
			gone = append(gone, <-t.killedNodes)
		}
		var errs []error
		var names []string
		for _, k := range gone {
			errs = append(errs, t.nodes[k.node].start(ctx))
			k.endDisturbance()
			names = append(names, nodeName(k.node))
		}
		return strings.Join(names, " "), errors.Join(errs...)
	}},
	{"region cut off", func(t *ownershipTrial, ctx context.Context, d time.Duration) (string, error) {
		of := t.random.IntN(regionCount)
		var away []*front
		for _, n := range t.nodes {
			for i, f := range n.fronts {
				if (regionOf(n.number) == of) != (i == of) {
					away = append(away, f)
				}
			}
		}
		defer t.beginDisturbance(-1, "region cut off")()
		cutOff := relay.Conditions{CutOutbound: true, CutReturn: true}
		t.replicas[of].Links[replica.Raft].SetConditions(cutOff)
		t.setLinks(away, cutOff)
		registry.Sleep(ctx, d)
		t.replicas[of].Links[replica.Raft].SetConditions(calm)
		t.replicas[of].Links[replica.Raft].ResetConnections()
		t.setLinks(away, calm)
		return fmt.Sprint("region ", of), nil
	}},
	{"region killed", func(t *ownershipTrial, ctx context.Context, d time.Duration) (string, error) {
		of := t.random.IntN(regionCount)
		defer t.beginDisturbance(-1, "region killed")()
		t.replicas[of].Kill()
		var errs []error
		for _, n := range t.nodes {
			if regionOf(n.number) == of {
				n.kill()
			}
		}
		registry.Sleep(ctx, d)
		for _, n := range t.nodes {
			errs = append(errs, n.start(ctx))
		}
		return fmt.Sprint("region ", of), errors.Join(append(errs, t.replicas[of].Start())...)
	}},
	{"directory gone", func(t *ownershipTrial, ctx context.Context, d time.Duration) (string, error) {
		defer t.beginDisturbance(-1, "directory gone")()
		for _, r := range t.replicas {
			r.Kill()
		}
		registry.Sleep(ctx, d/2)
		var going sync.WaitGroup
		for _, n := range t.nodes {
			going.Go(func() { t.checkAcceptsWithoutDirectory(ctx, n, func(int) bool { return true }) })
		}
		going.Wait()
		var errs []error
		for _, r := range t.replicas {
			errs = append(errs, r.Start())
		}
		return "", errors.Join(errs...)
	}},
	{"replica killed", replicaFault("kill", false)},
	{"replica stopped", replicaFault("stop", false)},
	{"replica cut from callers", replicaFault("cut from callers", false)},
	{"replica cut off", replicaFault("cut both ways", true)},
	{"older build beside", func(t *ownershipTrial, ctx context.Context, d time.Duration) (string, error) {
		r := t.random.IntN(replicaCount)
		t.playOlderBuild(ctx, d, r)
		return t.replicas[r].ID, nil
	}},
	{"older builds alone", func(t *ownershipTrial, ctx context.Context, d time.Duration) (string, error) {
		defer t.beginDisturbance(-1, "older builds alone")()
		t.playOlderBuild(ctx, d, 0, 1, 2)
		return "", nil
	}},
}

func nodeFault(do func(t *ownershipTrial, ctx context.Context, n *deliveryNode, d time.Duration) error) func(*ownershipTrial, context.Context, time.Duration) (string, error) {
	return func(t *ownershipTrial, ctx context.Context, d time.Duration) (string, error) {
		n := t.nodes[t.random.IntN(len(t.nodes))]
		defer t.beginDisturbance(n.number, "a fault of its own")()
		return n.name, do(t, ctx, n, d)
	}
}

// onReplica plays a fault of the list service's own trial. Who watches there goes to another replica, unless this one goes on
// answering and hears nothing itself.
func replicaFault(name string, deaf bool) func(*ownershipTrial, context.Context, time.Duration) (string, error) {
	return func(t *ownershipTrial, ctx context.Context, d time.Duration) (string, error) {
		r := t.replicas[t.random.IntN(replicaCount)]
		if t.random.IntN(2) == 0 {
			r = t.leader(ctx)
		}
		if deaf {
			defer t.beginDisturbance(-1, "a replica cut off")()
		}
		i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		return r.ID, faults[i].inject(t.trial, ctx, r, d)
	}
}

// goesOn holds a node without a directory to its map and list: it accepts what it owns by all maps of late, whichever of them it
// has, and what is on its list.
func (t *ownershipTrial) checkAcceptsWithoutDirectory(ctx context.Context, n *deliveryNode, listed func(dest int) bool) {
	s := t.copyObservations()
	since := int64(0)
	for _, e := range s.published {
		if e.CommittedBy < t.elapsed()-2*mapAdoptionLimit {
			since = max(since, e.Number)
		}
	}
	var dests []int
	for d := range steadyDestinations {
		if listed(d) && !slices.ContainsFunc(s.published, func(e PublishedMap) bool {
			return e.Number >= since && !e.Owned[n.number].Has(ownership.PartitionOf(d))
		}) {
			dests = append(dests, d)
		}
	}
	if len(dests) == 0 {
		return // it may be in none of them
	}
	i := 0
	accepts := func() bool {
		i++
		return t.submit(n, t.newMessageID(), classIdempotent, dests[i%len(dests)], t.elapsed()+messageLifetime, false).Answer == history.Taken
	}
	if err := await(ctx, n.name+" accepting without a directory", accepts); err != nil && ctx.Err() == nil {
		t.addViolation(RuleRecovery, "%v, of %d destinations that it owned all the time", err, len(dests))
		return
	}
	t.mu.Lock()
	t.result.AcceptedWithoutDirectory++
	t.mu.Unlock()
}

// cut sets the weather of the links to fronts. A path that is whole again comes back with its connections broken.
func (t *ownershipTrial) setLinks(all []*front, w relay.Conditions) {
	for _, f := range all {
		f.link.SetConditions(w)
		if w == calm {
			f.link.ResetConnections()
		}
	}
}

// playOlder lets the fronts of some replicas answer as an older build would.
func (t *ownershipTrial) playOlderBuild(ctx context.Context, d time.Duration, which ...int) {
	for _, on := range []bool{true, false} {
		for _, r := range which {
			t.olderBuilds[r].Store(on)
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
func (t *ownershipTrial) injectFaults(ctx context.Context) error {
	kinds := slices.DeleteFunc(slices.Clone(ownershipFaults), func(f ownershipFault) bool {
		return len(t.ownershipOptions.FaultKinds) > 0 && !slices.Contains(t.ownershipOptions.FaultKinds, f.name)
	})
	if len(kinds) == 0 {
		return fmt.Errorf("none of the faults is called %q", t.ownershipOptions.FaultKinds)
	}
	var deck []ownershipFault
	for until := t.elapsed() + t.options.Duration; t.elapsed() < until; {
		if !registry.Sleep(ctx, time.Duration(100+t.random.IntN(400))*time.Millisecond) {
			return ctx.Err()
		}
		if len(deck) == 0 {
			deck = slices.Clone(kinds)
			t.random.Shuffle(len(deck), func(i, j int) { deck[i], deck[j] = deck[j], deck[i] })
		}
		f, d := deck[0], time.Duration(200+t.random.IntN(1000))*time.Millisecond
		deck = deck[1:]
		at := t.elapsed()
		who, err := f.inject(t, ctx, d)
		name := fmt.Sprintf("%v %s: %s for %v", at.Round(time.Millisecond), f.name, who, d)
		t.ownershipOptions.Log.Info("fault", "what", name)
		t.result.Faults = append(t.result.Faults, name)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if err := await(ctx, "the service after "+f.name, func() bool { return t.hasVoters(ctx, replicaCount) }); err != nil {
			return err
		}
	}
	return nil
}

// heal ends what may be left of the faults.
func (t *ownershipTrial) restoreAll(ctx context.Context) error {
	for len(t.killedNodes) > 0 { // by a fetch that was under way when the fault ended
		k := <-t.killedNodes
		defer k.endDisturbance()
	}
	for _, n := range t.nodes {
		if err := n.start(ctx); err != nil {
			return err
		}
	}
	for _, r := range t.replicas {
		if err := r.Start(); err != nil {
			return err
		}
	}
	return await(ctx, "the service after the faults", func() bool { return t.hasVoters(ctx, replicaCount) })
}

// lastMap makes the map that stays: one node is not in it.
func (t *ownershipTrial) publishLastMap(ctx context.Context, c *controller, out int) (PublishedMap, error) {
	m, err := c.publishMap(ctx, uninterrupted, func([]ownership.Member) []ownership.Member {
		return slices.DeleteFunc(t.members(), func(m ownership.Member) bool { return m.Name == nodeName(out) })
	})
	if err != nil {
		return PublishedMap{}, fmt.Errorf("the last map: %w", err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range slices.Backward(t.maps) {
		if e.Number == m.Number {
			return *e, nil
		}
	}
	return PublishedMap{}, fmt.Errorf("the last map, %d, is not among those that were made", m.Number)
}

// settle makes the last map, waits until all act by it, and checks all that was seen.
func (t *ownershipTrial) converge(ctx context.Context) error {
	out := t.random.IntN(nodeCount)
	c := t.newController(controllerCount + 1)
	c.admin.RetryFor = settleTimeout
	if t.ownershipOptions.Inject == InjectLateAccept {
		t.mu.Lock()
		t.lateAcceptor = out
		t.mu.Unlock()
	}
	var saved []byte
	var err error
	if t.ownershipOptions.Inject == InjectDuplicateNumber {
		if saved, _, err = c.admin.Backup(ctx, true); err != nil {
			return err
		}
	}
	last, err := t.publishLastMap(ctx, c, out)
	if err != nil {
		return err
	}
	if t.ownershipOptions.Inject == InjectDuplicateNumber {
		if _, err := c.admin.Restore(ctx, saved); err != nil {
			return err
		}
		if _, err := t.publishLastMap(ctx, c, (out+1)%nodeCount); err != nil {
			return err
		}
		return t.check(ctx)
	}
	t.ownershipOptions.Log.Info("the last map", "number", last.Number, "at", t.elapsed())
	t.awaitConvergence(ctx, last, out)
	t.ownershipOptions.Log.Info("judging", "at", t.elapsed())
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return t.check(ctx)
}

// fail notes a breach that the trial itself has seen.
func (t *ownershipTrial) addViolation(rule OwnershipRule, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.Violations = append(t.result.Violations, Violation{rule, fmt.Sprintf(format, args...)})
}

// quiet waits until each node acts by the last map, and then looks once more that all do.
func (t *ownershipTrial) awaitConvergence(ctx context.Context, last PublishedMap, out int) {
	ctx, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	now, _, _, err := t.newClient(99).List(ctx, true)
	if err != nil {
		t.addViolation(RuleRecovery, "the list after the faults: %v", err)
		return
	}
	serving := map[int]bool{}
	for _, m := range now.Members {
		serving[m.Cell] = serving[m.Cell] || m.Phase == catalog.Serving
	}
	dests := slices.DeleteFunc(slices.Sorted(maps.Keys(serving)), func(d int) bool { return !serving[d] })
	for i := range unlistedDestinations {
		dests = append(dests, firstUnlisted+i)
	}
	exists := func(d int) bool { return serving[d] }

	var pass []Submission
	for _, first := range []bool{true, false} {
		answers := make([][]Submission, len(t.nodes))
		var all sync.WaitGroup
		for i, n := range t.nodes {
			all.Go(func() { answers[i] = t.submitToAll(ctx, n, last, dests, exists, first) })
		}
		all.Wait()
		if first {
			t.result.ConvergenceTime = t.elapsed() - last.CommittedBy
		}
		pass = slices.Concat(answers...)
		if bad := CheckConverged(last, len(t.nodes), dests, exists, pass); len(bad) > 0 {
			t.mu.Lock()
			t.result.Violations = append(t.result.Violations, bad...)
			t.mu.Unlock()
			return
		}
	}
	t.ownershipOptions.Log.Info("all accept as they should", "at", t.elapsed())
	t.awaitLists(ctx, last, out, now)
}

// askAll hands in a message for each destination at a node. With wait it asks again until the answer is as it should be; without, only
// an owner that is busy is.
func (t *ownershipTrial) submitToAll(ctx context.Context, n *deliveryNode, last PublishedMap, dests []int, exists func(int) bool, wait bool) []Submission {
	var out []Submission
	for _, d := range dests {
		for {
			h := t.submit(n, t.newMessageID(), classIdempotent, d, t.elapsed()+messageLifetime, false)
			right := h.isCorrect(last, exists(d))
			busy := h.Answer == history.Refused && h.RetryAfter > 0
			if !right {
				t.ownershipOptions.Log.Debug("not yet", "node", n.name, "dest", d, "state", h.Answer, "wait", h.RetryAfter, "why", h.Reason, "took", h.Return-h.Call)
			}
			if right || !wait && !busy || t.hasFoundInjected() || !registry.Sleep(ctx, pollInterval) {
				out = append(out, h)
				break
			}
		}
	}
	return out
}

// found tells that a seeded breach has shown in what was accepted, so that nothing more needs to be waited for.
func (t *ownershipTrial) hasFoundInjected() bool {
	if t.ownershipOptions.Inject != InjectLateAccept {
		return false
	}
	s := t.copyObservations()
	bad, _ := CheckAccepts(s.published, s.submissions, s.disturbances, mapAdoptionLimit)
	return slices.ContainsFunc(bad, func(b Violation) bool { return b.Rule == InjectedViolations[InjectLateAccept] })
}

// quietLists waits until each node is told, and keeps, the list of its partitions alone, and until what it accepted has ended.
func (t *ownershipTrial) awaitLists(ctx context.Context, last PublishedMap, out int, now catalog.List) {
	for i, n := range t.nodes {
		want := map[string]catalog.Endpoint{}
		for id, e := range endpointsByID(now) {
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
			has, err := n.savedList()
			if err != nil || !maps.Equal(has, want) {
				why = fmt.Sprintf("it keeps %s, %v", describeDifference(has, want), err)
				return false
			}
			s := t.copyObservations()
			for _, a := range slices.Backward(s.watchRequests) {
				if a.Node == i {
					why = "it asks for " + summarize(a.Partitions)
					return a.Partitions == last.Owned[i] || i == out && a.Partitions.Len() == 1
				}
			}
			return false
		}
		if await(ctx, n.name, is) != nil {
			t.addViolation(RuleFilteredLists, "node %d, %d of whose partitions have endpoints, is not as map %d has it: %s", i, len(want), last.Number, why)
		}
	}
	await(ctx, "the ends of all messages", func() bool { // what has none is told by judge
		s := t.copyObservations()
		return CountPending(s.submissions, s.messageEnds) == 0
	})
}

// seen is a copy of what was seen so far.
type observations struct {
	maps          []MapObservation
	writes        []MapWrite
	published     []PublishedMap
	submissions   []Submission
	watchRequests []WatchRequest
	messageEnds   []MessageEnd
	disturbances  []Disturbance
}

func (t *ownershipTrial) copyObservations() observations {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := observations{maps: slices.Clone(t.observations), writes: slices.Clone(t.mapWrites), submissions: slices.Clone(t.submissions), messageEnds: slices.Clone(t.messageEnds)}
	for _, e := range t.maps {
		s.published = append(s.published, *e)
	}
	for _, a := range t.watchRequests {
		s.watchRequests = append(s.watchRequests, *a)
	}
	for _, d := range t.disturbances {
		s.disturbances = append(s.disturbances, *d)
	}
	return s
}

// judge checks all that was seen.
func (t *ownershipTrial) check(ctx context.Context) error {
	s := t.copyObservations()
	at := t.elapsed()
	var bad []Violation
	accepts, over := CheckAccepts(s.published, s.submissions, s.disturbances, mapAdoptionLimit)
	bad = slices.Concat(bad, CheckMapNumbers(s.maps, s.writes), accepts, CheckWatchRequests(s.published, s.watchRequests, watchCrossingSlack), CheckEnds(s.submissions, s.messageEnds, s.disturbances, messageEndSlack, at),
		CheckAnswers(s.submissions, s.messageEnds, func(d int) bool { return d < steadyDestinations }))
	if t.ownershipOptions.Inject != InjectDuplicateNumber { // which makes another history
		op := t.newClient(99)
		op.RetryFor = settleTimeout
		truth, err := t.readHistory(ctx, op)
		if err != nil {
			return err
		}
		bad = append(bad, CheckFilteredWatches(map[int64]CommittedHistory{truth.number: truth.CommittedHistory}, s.watchRequests)...)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.Violations = append(t.result.Violations, bad...)
	t.result.LongestLateAccept, t.result.WatchRequests, t.result.EndedAfterLoss = over, len(s.watchRequests), CountEndedAfterLoss(s.published, s.submissions, s.messageEnds)
	for _, h := range s.submissions {
		if h.Repeat && h.Answer == history.Taken {
			t.result.AcceptedRepeats++
		}
	}
	for _, a := range s.watchRequests {
		t.result.WatchLines += len(a.Lines)
	}
	return nil
}
