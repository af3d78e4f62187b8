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
	"starlingusher/internal/sysretry"
)

const (
	nodeCount                = 8
	zoneCount                = 6
	regionCount              = 3
	ownersPerPartition       = 3
	steadyDestinations       = 40  // always have the endpoint that they start with
	intermittentDestinations = 8   // have endpoints at times
	unlistedDestinations     = 8   // never have an endpoint
	firstUnlisted            = 900 // the number of the first unlisted destination
	changingEndpoints        = 14  // endpoints that are added, removed and moved
	controllerCount          = 2

	// mapAdoptionLimit is the time in which an undisturbed node must have a new map and act by it: the
	// target's 8 s. A slow machine must not cause a violation of it, so times in which the machine stalled
	// the trial are not judged; see stallThreshold.
	mapAdoptionLimit       = 8 * time.Second
	watchCrossingSlack     = 2 * time.Second // in which an older watch request may arrive after a newer one
	messageEndSlack        = 4 * time.Second
	stallThreshold         = 500 * time.Millisecond // the checks do not judge a time in which the trial's own timer was later than this
	stallCheckInterval     = 10 * time.Millisecond
	pollInterval           = 30 * time.Millisecond
	meanSubmitInterval     = 25 * time.Millisecond // between two messages for one node
	meanListChangeInterval = 60 * time.Millisecond // between two changes of the list
	convergenceTimeout     = 25 * time.Second
)

// The violations that a trial can inject.
const (
	InjectLateAccept      = "accept" // one node seems to accept messages for partitions that it has lost
	InjectDuplicateNumber = "number" // a map number is used twice
	InjectDroppedChange   = "change" // a change is dropped from a filtered watch
)

// InjectedViolations maps each injected violation to the rule that must find it.
var InjectedViolations = map[string]OwnershipRule{InjectLateAccept: RuleTimelyRelease, InjectDuplicateNumber: RuleUniqueMaps,
	InjectDroppedChange: RuleFilteredLists}

// OwnershipOptions configure a trial of ownership.
type OwnershipOptions struct {
	Directory  []string // of a replica; `--config FILE` is appended
	Node       []string // of a delivery node, which is configured by its environment
	Dir        string   // must be empty; it is not removed
	Seed       uint64
	Duration   time.Duration // how long faults are injected
	FaultKinds []string      // names of the faults to inject; empty: all
	Inject     string        // the violation to inject, one of the Inject constants; empty: none
	Log        *slog.Logger
}

// OwnershipResult is the outcome of a trial.
type OwnershipResult struct {
	Seed            uint64         `json:"seed"`
	Faults          []string       `json:"faults"`
	MapChanges      map[string]int `json:"changes"` // changes of the map, by their interruption; "given up" for those that failed
	LastMapNumber   int64          `json:"maps"`    // number of the last map
	Submissions     map[string]int `json:"handed"`  // messages by answer
	WatchRequests   int            `json:"asks"`    // watches that nodes requested
	WatchLines      int            `json:"lines"`   // updates sent on these watches
	AcceptedRepeats int            `json:"again"`   // repeats of a message in progress that the node recognized and accepted
	// EndedAfterLoss counts the messages that ended after a map had taken their partition from the node.
	EndedAfterLoss           int `json:"outlived"`
	AcceptedWithoutDirectory int `json:"gone_on"` // how often a node was seen to accept messages without a directory
	// LongestLateAccept is the longest time for which a node still accepted messages for a partition that it
	// had lost, counted from the new map, or from the end of the disturbance that kept the node from it.
	LongestLateAccept time.Duration `json:"over"`
	// ConvergenceTime is the time from the last map until all nodes acted by it.
	ConvergenceTime  time.Duration `json:"quiet"`
	HostStalls       int           `json:"late"`      // how often the machine stalled the trial itself; these times are not judged
	LongestHostStall time.Duration `json:"late_most"` // the longest of these stalls
	Injected         string        `json:"breach,omitempty"`
	InjectedFound    bool          `json:"found,omitempty"` // the rule of the injected violation was reported as broken
	Violations       []Violation   `json:"breaches"`
}

// Passed tells whether no violation was found, or, with an injected violation, whether that was found.
func (r *OwnershipResult) Passed() bool {
	if r.Injected != "" {
		return r.InjectedFound
	}
	return len(r.Violations) == 0
}

// ownershipTrial is a trial with nodes, fronts, partners and controllers around the replicas.
type ownershipTrial struct {
	*trial
	ownershipOptions OwnershipOptions
	zones            []string
	nodes            []*deliveryNode
	partners         *partners
	pollClient       *http.Client
	olderBuilds      [replicaCount]atomic.Bool // fronts answer as an older build of that replica would
	lastMessage      atomic.Int64
	killedNodes      chan killedNode

	// What was recorded, and what is to be injected; guarded by mu.
	mapObservations []MapObservation
	mapWrites       []MapWrite
	published       []*PublishedMap
	submissions     []Submission
	watchRequests   []*WatchRequest
	messageEnds     []MessageEnd
	disturbances    []*Disturbance
	answerDelays    map[string]time.Duration // by message: for how long the partner delays its answer
	result          OwnershipResult
	dropNextChange  bool         // drop the next change that a node is sent on a filtered watch
	killOnFetch     map[int]bool // nodes to kill when they next fetch the map; true: after the map was sent to them
	lateAcceptor    int          // the node whose refusals are recorded as acceptances of what it lost; -1: none
}

type killedNode struct {
	node           int
	endDisturbance func()
}

// RunOwnership runs a trial of ownership.
func RunOwnership(ctx context.Context, options OwnershipOptions) (*OwnershipResult, error) {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	base := Options{Command: options.Directory, Dir: options.Dir, Seed: options.Seed, Duration: options.Duration, Log: options.Log}
	t := &ownershipTrial{
		trial:            &trial{options: base, supervisor: proc.NewSupervisor(), random: rand.New(rand.NewPCG(options.Seed, 1))},
		ownershipOptions: options, killedNodes: make(chan killedNode, nodeCount),
		pollClient:   &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		answerDelays: map[string]time.Duration{}, killOnFetch: map[int]bool{}, lateAcceptor: -1,
		result: OwnershipResult{Seed: options.Seed, Injected: options.Inject, MapChanges: map[string]int{},
			Submissions: map[string]int{}, Faults: []string{}, Violations: []Violation{}},
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
	result := &t.result
	for _, violation := range result.Violations {
		result.InjectedFound = result.InjectedFound || options.Inject != "" && violation.Rule == InjectedViolations[options.Inject]
	}
	if len(result.Violations) == 0 || result.InjectedFound {
		return result, nil
	}
	for _, node := range t.nodes { // the dump of each node's goroutines may tell the cause
		node.process().Signal(syscall.SIGQUIT)
	}
	raw, err := json.Marshal(map[string]any{"sights": t.mapObservations, "writes": t.mapWrites, "eras": t.published,
		"handed": t.submissions, "asks": t.watchRequests, "ends": t.messageEnds, "disturbed": t.disturbances})
	if err != nil {
		return nil, err
	}
	return result, os.WriteFile(filepath.Join(options.Dir, "seen.json"), raw, 0o600)
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

// members returns all nodes as members of a map.
func (t *ownershipTrial) members() []ownership.Member {
	var members []ownership.Member
	for i := range nodeCount {
		members = append(members, ownership.Member{Name: nodeName(i), Zone: t.zones[i%zoneCount], Weight: 1})
	}
	return members
}

func regionOf(node int) int { return node % zoneCount * regionCount / zoneCount }

func (t *ownershipTrial) run(ctx context.Context) error {
	for _, r := range t.replicas {
		if err := r.Start(); err != nil {
			return err
		}
	}
	if err := await(ctx, "a service with three voters", func() bool { return t.hasVoters(ctx, replicaCount) }); err != nil {
		return err
	}
	t.startedAt = time.Now()
	if err := t.startNodes(ctx); err != nil {
		return err
	}
	var observers, load sync.WaitGroup
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer observers.Wait()
	defer stopWatching()
	for _, r := range t.replicas {
		observers.Go(func() { t.pollMap(watchCtx, r) })
	}
	observers.Go(func() { t.detectStalls(watchCtx) })
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer load.Wait()
	defer stopLoad()
	for _, n := range t.nodes {
		load.Go(func() { t.submitMessages(loadCtx, n) })
	}
	load.Go(func() { t.changeList(loadCtx) })
	for i := range controllerCount {
		load.Go(func() { t.newController(i).run(loadCtx) })
	}
	if t.ownershipOptions.Inject == InjectDroppedChange {
		t.mu.Lock()
		t.dropNextChange = true
		t.mu.Unlock()
	}
	err := t.injectFaults(ctx)
	stopLoad()
	load.Wait()
	if err != nil {
		return err
	}
	t.ownershipOptions.Log.Info("end of the faults", "at", t.elapsed())
	if err := t.restoreAll(ctx); err != nil {
		return err
	}
	t.ownershipOptions.Log.Info("healed", "at", t.elapsed())
	return t.converge(ctx)
}

// startNodes writes the first list and the first map, and starts the nodes.
func (t *ownershipTrial) startNodes(ctx context.Context) error {
	var members []catalog.Endpoint
	for destination := range steadyDestinations {
		members = append(members, t.destinationEndpoint(fmt.Sprint("s", destination), destination, destination))
	}
	admin := t.newClient(99)
	admin.RetryFor = settleTimeout
	if _, err := admin.Put(ctx, members, true, true, "*"); err != nil {
		return fmt.Errorf("write the first list: %w", err)
	}
	firstController := t.newController(controllerCount)
	firstController.admin.RetryFor = settleTimeout
	if _, err := firstController.publishMap(ctx, uninterrupted,
		func([]ownership.Member) []ownership.Member { return t.members() }); err != nil {
		return fmt.Errorf("publish the first map: %w", err)
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
		var reason string
		ready := func() (ok bool) { ok, reason = n.ready(ctx); return ok }
		if err := await(ctx, n.name+" to be ready", ready); err != nil {
			return fmt.Errorf("%w: %s", err, reason)
		}
	}
	return nil
}

func (t *ownershipTrial) destinationEndpoint(id string, destination, address int) catalog.Endpoint {
	return catalog.Endpoint{ID: id, Addr: t.partners.addresses[address], Locality: t.zones[address%zoneCount], Flavor: "hook",
		Cell: destination, Phase: catalog.Serving, Size: 1}
}

// changeList changes the list at random until the context ends.
func (t *ownershipTrial) changeList(ctx context.Context) {
	random := rand.New(rand.NewPCG(t.options.Seed, 4000))
	admin := t.newClient(400)
	for sysretry.Sleep(ctx, time.Duration(random.ExpFloat64()*float64(meanListChangeInterval))) {
		i := random.IntN(changingEndpoints)
		endpoint := t.destinationEndpoint(fmt.Sprint("c", i), random.IntN(steadyDestinations+intermittentDestinations),
			steadyDestinations+i)
		endpoint.Size = float64(1 + random.IntN(4))
		switch random.IntN(6) {
		case 0:
			endpoint.Phase = catalog.Draining
		case 1:
			endpoint.Phase = catalog.Deleted
		}
		admin.Addresses = t.shuffledAddresses(random.Uint64())
		if _, err := admin.Put(context.WithoutCancel(ctx), []catalog.Endpoint{endpoint}, false, true, "*"); err != nil {
			t.ownershipOptions.Log.Debug("list change failed", "err", err) // the history of the list tells the outcome
		}
	}
}

// pollMap reads the map from one replica again and again, until the context ends.
func (t *ownershipTrial) pollMap(ctx context.Context, r *replica.Replica) {
	for sysretry.Sleep(ctx, pollInterval) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.OwnAddr(replica.HTTP)+mapPath, nil)
		if err != nil {
			return
		}
		resp, err := t.pollClient.Do(req)
		if err != nil {
			continue
		}
		var answer recordAnswer
		err = json.NewDecoder(resp.Body).Decode(&answer)
		resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			t.recordObservation(r.ID, answer.Value)
		}
	}
}

// recordObservation records that a process has a map.
func (t *ownershipTrial) recordObservation(observer string, value []byte) {
	if len(value) == 0 {
		return
	}
	m, err := ownership.Decode(value)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.result.Violations = append(t.result.Violations,
			Violation{RuleUniqueMaps, fmt.Sprintf("%s has a map that does not decode: %v", observer, err)})
		return
	}
	at, sum := t.elapsed(), checksum(value)
	for _, published := range t.published {
		if published.Number == m.Number && published.Checksum == sum {
			published.CommittedBy = min(published.CommittedBy, at)
		}
	}
	for _, previous := range slices.Backward(t.mapObservations) {
		if previous.Observer == observer {
			if previous.Number == m.Number && previous.Checksum == sum {
				return
			}
			break
		}
	}
	t.mapObservations = append(t.mapObservations, MapObservation{at, observer, m.Number, sum})
}

// recordMapIntent records that a map is about to be written.
func (t *ownershipTrial) recordMapIntent(m *ownership.Map, write MapWrite) *PublishedMap {
	published := &PublishedMap{Number: write.Number, Checksum: write.Checksum, WrittenAfter: write.Call, CommittedBy: never,
		Owned: map[int]ownership.Set{}}
	for i := range nodeCount {
		if owned, ok := m.PartitionsOf(nodeName(i)); ok {
			published.Owned[i] = owned
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.published = append(t.published, published)
	return published
}

// forgetMap removes a map that was certainly not written.
func (t *ownershipTrial) forgetMap(published *PublishedMap) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.published = slices.DeleteFunc(t.published, func(other *PublishedMap) bool { return other == published })
}

func (t *ownershipTrial) recordMapWrite(published *PublishedMap, write MapWrite) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mapWrites = append(t.mapWrites, write)
	if write.Outcome == Done {
		published.CommittedBy = min(published.CommittedBy, write.Return)
		t.result.LastMapNumber = max(t.result.LastMapNumber, write.Number)
	}
}

// countMapChange counts a change of the map by its interruption.
func (t *ownershipTrial) countMapChange(controller string, interrupted interruption, m *ownership.Map, err error) {
	outcome := string(interrupted)
	if err != nil && !errors.Is(err, errControllerKilled) {
		outcome = "given up"
	}
	number := int64(0)
	if m != nil {
		number = m.Number
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.MapChanges[outcome]++
	t.ownershipOptions.Log.Debug("controller changed the map", "by", controller, "number", number, "how", interrupted, "err", err)
}

// handleMapFetch runs when a node fetches the map; forward sends the map on to the node. If the node is to be
// killed, it is killed before or after that.
func (t *ownershipTrial) handleMapFetch(node int, raw []byte, forward func()) {
	t.mu.Lock()
	afterForward, armed := t.killOnFetch[node]
	delete(t.killOnFetch, node)
	t.mu.Unlock()
	var answer recordAnswer
	if json.Unmarshal(raw, &answer) == nil {
		t.recordObservation(nodeName(node), answer.Value)
	}
	if armed && afterForward { // the node gets a moment to start acting by the map
		forward()
		time.Sleep(time.Duration(rand.Int64N(int64(20 * time.Millisecond))))
	}
	if armed {
		endDisturbance := t.beginDisturbance(node, "killed as it fetched the map")
		t.nodes[node].kill()
		t.killedNodes <- killedNode{node, endDisturbance}
		return
	}
	forward()
}

// claimChangeDrop tells whether the change that is about to be sent to a node is to be dropped. Only one is.
func (t *ownershipTrial) claimChangeDrop(int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	drop := t.dropNextChange
	t.dropNextChange = false
	return drop
}

// recordNotices records the notices in the body of a report that a replica has accepted.
func (t *ownershipTrial) recordNotices(body []byte) {
	for line := range bytes.Lines(body) {
		var notice struct{ ID, State string }
		if json.Unmarshal(line, &notice) == nil && notice.ID != "" {
			t.recordEnd(notice.ID, notice.State)
		}
	}
}

func (t *ownershipTrial) recordEnd(id, kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.messageEnds = append(t.messageEnds, MessageEnd{id, t.elapsed(), kind})
}

// answerDelay returns for how long a partner delays the answer to a message.
func (t *ownershipTrial) answerDelay(id string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.answerDelays[id], minAnswerDelay)
}

// beginDisturbance records that a node (-1: all) can't be held to the limits until the returned function is
// called.
func (t *ownershipTrial) beginDisturbance(node int, reason string) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	disturbance := &Disturbance{node, t.elapsed(), never, reason}
	t.disturbances = append(t.disturbances, disturbance)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		disturbance.Until = t.elapsed()
	}
}

// detectStalls records when the machine stalled this process: it may have stalled all others as well.
func (t *ownershipTrial) detectStalls(ctx context.Context) {
	for {
		before := t.elapsed()
		if !sysretry.Sleep(ctx, stallCheckInterval) {
			return
		}
		if stall := t.elapsed() - before - stallCheckInterval; stall > stallThreshold {
			t.mu.Lock()
			t.disturbances = append(t.disturbances, &Disturbance{-1, before, t.elapsed(), "the machine"})
			t.result.HostStalls++
			t.result.LongestHostStall = max(t.result.LongestHostStall, stall)
			t.mu.Unlock()
		}
	}
}

// submitMessages submits messages to a node until the context ends, and repeats some of those that the node
// accepted.
func (t *ownershipTrial) submitMessages(ctx context.Context, node *deliveryNode) {
	random := rand.New(rand.NewPCG(t.options.Seed, uint64(5000+node.number)))
	var accepted []Submission
	for sysretry.Sleep(ctx, time.Duration(random.ExpFloat64()*float64(meanSubmitInterval))) {
		if len(accepted) > 0 && random.IntN(4) == 0 {
			submission := accepted[0]
			accepted = accepted[1:]
			if t.elapsed() < submission.Deadline-messageLifetime/4 {
				t.submit(node, submission.ID, classDeduplicated, submission.Destination, submission.Deadline, true)
			}
			continue
		}
		destination := random.IntN(steadyDestinations)
		switch choice := random.IntN(20); choice {
		case 0:
			destination = firstUnlisted + random.IntN(unlistedDestinations)
		case 1, 2:
			destination = steadyDestinations + random.IntN(intermittentDestinations)
		}
		class, id := random.IntN(len(classNames)), t.newMessageID()
		if class == classDeduplicated {
			t.mu.Lock()
			t.answerDelays[id] = maxAnswerDelay/3 + time.Duration(random.Int64N(int64(maxAnswerDelay*2/3)))
			t.mu.Unlock()
		}
		if submission := t.submit(node, id, class, destination, t.elapsed()+messageLifetime, false); class == classDeduplicated && submission.Answer == history.Taken {
			accepted = append(accepted, submission)
		}
	}
}

func (t *ownershipTrial) newMessageID() string { return fmt.Sprint("m", t.lastMessage.Add(1)) }

// submit submits a message to a node and records the answer.
func (t *ownershipTrial) submit(node *deliveryNode, id string, class, destination int, deadline time.Duration, repeat bool) Submission {
	submission := Submission{Node: node.number, Destination: destination, ID: id, AtMostOnce: class == classAtMostOnce,
		Repeat: repeat, Deadline: deadline, Call: t.elapsed()}
	submission.Answer, submission.RetryAfter, submission.Reason = node.submit(id, class, destination, deadline-submission.Call)
	submission.Return = t.elapsed()
	t.mu.Lock()
	defer t.mu.Unlock()
	if node.number == t.lateAcceptor && submission.Answer == history.Refused &&
		slices.ContainsFunc(t.published, func(m *PublishedMap) bool { return m.Owned[node.number].Has(ownership.PartitionOf(destination)) }) {
		submission.Answer, submission.RetryAfter = history.Taken, 0
	}
	t.submissions = append(t.submissions, submission)
	t.result.Submissions[submission.Answer]++
	return submission
}

// ownershipFault is one kind of fault that a trial of ownership injects.
type ownershipFault struct {
	name   string
	inject func(t *ownershipTrial, ctx context.Context, d time.Duration) (string, error)
}

var ownershipFaults = []ownershipFault{
	{"node killed", nodeFault(func(t *ownershipTrial, ctx context.Context, n *deliveryNode, d time.Duration) error {
		n.kill()
		sysretry.Sleep(ctx, d)
		return n.start(ctx)
	})},
	{"node ended", nodeFault(func(t *ownershipTrial, ctx context.Context, n *deliveryNode, d time.Duration) error {
		n.process().Terminate(ctx, stopTimeout)
		sysretry.Sleep(ctx, d/4)
		return n.start(ctx)
	})},
	{"node stopped", nodeFault(func(t *ownershipTrial, ctx context.Context, n *deliveryNode, d time.Duration) error {
		p := n.process()
		p.Signal(syscall.SIGSTOP)
		sysretry.Sleep(ctx, d)
		return p.Signal(syscall.SIGCONT)
	})},
	{"node handed over", nodeFault(func(t *ownershipTrial, ctx context.Context, n *deliveryNode, d time.Duration) error {
		return n.handOver(ctx, d)
	})},
	{"node killed and started while cut off",
		nodeFault(func(t *ownershipTrial, ctx context.Context, n *deliveryNode, d time.Duration) error {
			t.setLinks(n.fronts, relay.Conditions{CutOutbound: true, CutReturn: true})
			defer t.setLinks(n.fronts, healthyLink)
			n.kill()
			saved, _ := n.savedList() // the node may have been killed before it stored a list
			sysretry.Sleep(ctx, d/2)
			if err := n.start(ctx); err != nil {
				return err
			}
			t.checkAcceptsWithoutDirectory(ctx, n, func(destination int) bool {
				return slices.ContainsFunc(slices.Collect(maps.Values(saved)),
					func(endpoint catalog.Endpoint) bool { return endpoint.Cell == destination })
			})
			return nil
		})},
	{"node cut off", nodeFault(func(t *ownershipTrial, ctx context.Context, n *deliveryNode, d time.Duration) error {
		t.setLinks(n.fronts, relay.Conditions{CutOutbound: t.random.IntN(2) == 0, CutReturn: true})
		sysretry.Sleep(ctx, d)
		t.setLinks(n.fronts, healthyLink)
		return nil
	})},
	{"node killed as it fetches a map", func(t *ownershipTrial, ctx context.Context, d time.Duration) (string, error) {
		t.mu.Lock()
		for _, n := range t.nodes { // whichever fetches the map first; the others keep running
			t.killOnFetch[n.number] = t.random.IntN(2) == 0
		}
		t.mu.Unlock()
		timer := time.NewTimer(4 * meanMapChangeInterval)
		defer timer.Stop()
		var killed []killedNode
		select {
		case k := <-t.killedNodes:
			killed = append(killed, k)
		case <-timer.C:
		case <-ctx.Done():
		}
		t.mu.Lock()
		clear(t.killOnFetch)
		t.mu.Unlock()
		sysretry.Sleep(ctx, d/4)
		for len(t.killedNodes) > 0 {
			killed = append(killed, <-t.killedNodes)
		}
		var errs []error
		var names []string
		for _, k := range killed {
			errs = append(errs, t.nodes[k.node].start(ctx))
			k.endDisturbance()
			names = append(names, nodeName(k.node))
		}
		return strings.Join(names, " "), errors.Join(errs...)
	}},
	{"region cut off", func(t *ownershipTrial, ctx context.Context, d time.Duration) (string, error) {
		region := t.random.IntN(regionCount)
		var severed []*front
		for _, n := range t.nodes {
			for i, f := range n.fronts {
				if (regionOf(n.number) == region) != (i == region) {
					severed = append(severed, f)
				}
			}
		}
		defer t.beginDisturbance(-1, "region cut off")()
		cutOff := relay.Conditions{CutOutbound: true, CutReturn: true}
		t.replicas[region].Links[replica.Raft].SetConditions(cutOff)
		t.setLinks(severed, cutOff)
		sysretry.Sleep(ctx, d)
		t.replicas[region].Links[replica.Raft].SetConditions(healthyLink)
		t.replicas[region].Links[replica.Raft].ResetConnections()
		t.setLinks(severed, healthyLink)
		return fmt.Sprint("region ", region), nil
	}},
	{"region killed", func(t *ownershipTrial, ctx context.Context, d time.Duration) (string, error) {
		region := t.random.IntN(regionCount)
		defer t.beginDisturbance(-1, "region killed")()
		t.replicas[region].Kill()
		var errs []error
		for _, n := range t.nodes {
			if regionOf(n.number) == region {
				n.kill()
			}
		}
		sysretry.Sleep(ctx, d)
		for _, n := range t.nodes {
			errs = append(errs, n.start(ctx))
		}
		return fmt.Sprint("region ", region), errors.Join(append(errs, t.replicas[region].Start())...)
	}},
	{"directory gone", func(t *ownershipTrial, ctx context.Context, d time.Duration) (string, error) {
		defer t.beginDisturbance(-1, "directory gone")()
		for _, r := range t.replicas {
			r.Kill()
		}
		sysretry.Sleep(ctx, d/2)
		var checks sync.WaitGroup
		for _, n := range t.nodes {
			checks.Go(func() { t.checkAcceptsWithoutDirectory(ctx, n, func(int) bool { return true }) })
		}
		checks.Wait()
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

func nodeFault(
	inject func(t *ownershipTrial, ctx context.Context, node *deliveryNode, duration time.Duration) error,
) func(*ownershipTrial, context.Context, time.Duration) (string, error) {
	return func(t *ownershipTrial, ctx context.Context, d time.Duration) (string, error) {
		n := t.nodes[t.random.IntN(len(t.nodes))]
		defer t.beginDisturbance(n.number, "a fault of its own")()
		return n.name, inject(t, ctx, n, d)
	}
}

// replicaFault injects a fault of the list service's own trial at a replica. Nodes that watch there turn to
// another replica. A replica that goes on answering while it is cut off from the others (cutsOffWatchers)
// leaves its watchers without news, so that is recorded as a disturbance of all nodes.
func replicaFault(name string, cutsOffWatchers bool) func(*ownershipTrial, context.Context, time.Duration) (string, error) {
	return func(t *ownershipTrial, ctx context.Context, duration time.Duration) (string, error) {
		target := t.replicas[t.random.IntN(replicaCount)]
		if t.random.IntN(2) == 0 {
			target = t.leader(ctx)
		}
		if cutsOffWatchers {
			defer t.beginDisturbance(-1, "a replica cut off")()
		}
		index := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		return target.ID, faults[index].inject(t.trial, ctx, target, duration)
	}
}

// checkAcceptsWithoutDirectory requires a node without a directory to go on by its map and list: it accepts
// messages for what it owns by all recent maps, whichever of them it has, as far as it is on its list.
func (t *ownershipTrial) checkAcceptsWithoutDirectory(ctx context.Context, node *deliveryNode, isListed func(destination int) bool) {
	observed := t.copyObservations()
	oldest := int64(0)
	for _, m := range observed.published {
		if m.CommittedBy < t.elapsed()-2*mapAdoptionLimit {
			oldest = max(oldest, m.Number)
		}
	}
	var destinations []int
	for d := range steadyDestinations {
		if isListed(d) && !slices.ContainsFunc(observed.published, func(m PublishedMap) bool {
			return m.Number >= oldest && !m.Owned[node.number].Has(ownership.PartitionOf(d))
		}) {
			destinations = append(destinations, d)
		}
	}
	if len(destinations) == 0 {
		return // the node may own none of the destinations in all recent maps
	}
	next := 0
	accepts := func() bool {
		next++
		return t.submit(node, t.newMessageID(), classIdempotent, destinations[next%len(destinations)],
			t.elapsed()+messageLifetime, false).Answer == history.Taken
	}
	if err := await(ctx, node.name+" to accept without a directory", accepts); err != nil && ctx.Err() == nil {
		t.addViolation(RuleRecovery, "%v, for any of %d destinations that it owned all the time", err, len(destinations))
		return
	}
	t.mu.Lock()
	t.result.AcceptedWithoutDirectory++
	t.mu.Unlock()
}

// setLinks sets the conditions of the links to fronts. A link that is healthy again has its connections
// reset.
func (t *ownershipTrial) setLinks(fronts []*front, conditions relay.Conditions) {
	for _, f := range fronts {
		f.link.SetConditions(conditions)
		if conditions == healthyLink {
			f.link.ResetConnections()
		}
	}
}

// playOlderBuild lets the fronts of some replicas answer for a time as an older build would.
func (t *ownershipTrial) playOlderBuild(ctx context.Context, duration time.Duration, replicas ...int) {
	for _, older := range []bool{true, false} {
		for _, replica := range replicas {
			t.olderBuilds[replica].Store(older)
			for _, node := range t.nodes { // the change of build is a restart of the replica, which breaks its connections
				node.fronts[replica].link.ResetConnections()
			}
		}
		if older {
			sysretry.Sleep(ctx, duration)
		}
	}
}

// injectFaults injects all kinds of faults in a random order, again and again, with a pause between two
// faults.
func (t *ownershipTrial) injectFaults(ctx context.Context) error {
	kinds := slices.DeleteFunc(slices.Clone(ownershipFaults), func(f ownershipFault) bool {
		return len(t.ownershipOptions.FaultKinds) > 0 && !slices.Contains(t.ownershipOptions.FaultKinds, f.name)
	})
	if len(kinds) == 0 {
		return fmt.Errorf("no fault has any of the names %q", t.ownershipOptions.FaultKinds)
	}
	var remaining []ownershipFault
	for end := t.elapsed() + t.options.Duration; t.elapsed() < end; {
		if !sysretry.Sleep(ctx, time.Duration(100+t.random.IntN(400))*time.Millisecond) {
			return ctx.Err()
		}
		if len(remaining) == 0 {
			remaining = slices.Clone(kinds)
			t.random.Shuffle(len(remaining), func(i, j int) { remaining[i], remaining[j] = remaining[j], remaining[i] })
		}
		f, duration := remaining[0], time.Duration(200+t.random.IntN(1000))*time.Millisecond
		remaining = remaining[1:]
		start := t.elapsed()
		target, err := f.inject(t, ctx, duration)
		description := fmt.Sprintf("%v %s: %s for %v", start.Round(time.Millisecond), f.name, target, duration)
		t.ownershipOptions.Log.Info("fault", "what", description)
		t.result.Faults = append(t.result.Faults, description)
		if err != nil {
			return fmt.Errorf("%s: %w", description, err)
		}
		if err := await(ctx, "three voters after the fault "+f.name,
			func() bool { return t.hasVoters(ctx, replicaCount) }); err != nil {
			return err
		}
	}
	return nil
}

// restoreAll ends what may be left of the faults.
func (t *ownershipTrial) restoreAll(ctx context.Context) error {
	for len(t.killedNodes) > 0 { // nodes killed by a fetch that was in flight when the fault ended
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
	return await(ctx, "three voters after the faults", func() bool { return t.hasVoters(ctx, replicaCount) })
}

// publishLastMap publishes the map that stays; the node excluded is not a member.
func (t *ownershipTrial) publishLastMap(ctx context.Context, controller *controller, excluded int) (PublishedMap, error) {
	m, err := controller.publishMap(ctx, uninterrupted, func([]ownership.Member) []ownership.Member {
		return slices.DeleteFunc(t.members(), func(m ownership.Member) bool { return m.Name == nodeName(excluded) })
	})
	if err != nil {
		return PublishedMap{}, fmt.Errorf("publish the last map: %w", err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, published := range slices.Backward(t.published) {
		if published.Number == m.Number {
			return *published, nil
		}
	}
	return PublishedMap{}, fmt.Errorf("the last map, number %d, is not among the recorded maps", m.Number)
}

// converge publishes the last map, waits until all nodes act by it, and checks everything that was recorded.
func (t *ownershipTrial) converge(ctx context.Context) error {
	excluded := t.random.IntN(nodeCount)
	controller := t.newController(controllerCount + 1)
	controller.admin.RetryFor = settleTimeout
	if t.ownershipOptions.Inject == InjectLateAccept {
		t.mu.Lock()
		t.lateAcceptor = excluded
		t.mu.Unlock()
	}
	var backup []byte
	var err error
	if t.ownershipOptions.Inject == InjectDuplicateNumber {
		if backup, _, err = controller.admin.Backup(ctx, true); err != nil {
			return err
		}
	}
	lastMap, err := t.publishLastMap(ctx, controller, excluded)
	if err != nil {
		return err
	}
	if t.ownershipOptions.Inject == InjectDuplicateNumber {
		if _, err := controller.admin.Restore(ctx, backup); err != nil {
			return err
		}
		if _, err := t.publishLastMap(ctx, controller, (excluded+1)%nodeCount); err != nil {
			return err
		}
		return t.check(ctx)
	}
	t.ownershipOptions.Log.Info("published the last map", "number", lastMap.Number, "at", t.elapsed())
	t.awaitConvergence(ctx, lastMap, excluded)
	t.ownershipOptions.Log.Info("judging", "at", t.elapsed())
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return t.check(ctx)
}

// addViolation reports a violation that the trial itself has seen.
func (t *ownershipTrial) addViolation(rule OwnershipRule, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.Violations = append(t.result.Violations, Violation{rule, fmt.Sprintf(format, args...)})
}

// awaitConvergence waits until each node acts by the last map, and then verifies once more that all of them
// do.
func (t *ownershipTrial) awaitConvergence(ctx context.Context, lastMap PublishedMap, excluded int) {
	ctx, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	current, _, _, err := t.newClient(99).List(ctx, true)
	if err != nil {
		t.addViolation(RuleRecovery, "read the list after the faults: %v", err)
		return
	}
	serving := map[int]bool{}
	for _, member := range current.Members {
		serving[member.Cell] = serving[member.Cell] || member.Phase == catalog.Serving
	}
	destinations := slices.DeleteFunc(slices.Sorted(maps.Keys(serving)), func(d int) bool { return !serving[d] })
	for i := range unlistedDestinations {
		destinations = append(destinations, firstUnlisted+i)
	}
	isListed := func(d int) bool { return serving[d] }

	var submissions []Submission
	for _, firstPass := range []bool{true, false} {
		answers := make([][]Submission, len(t.nodes))
		var submitters sync.WaitGroup
		for i, node := range t.nodes {
			submitters.Go(func() { answers[i] = t.submitToAll(ctx, node, lastMap, destinations, isListed, firstPass) })
		}
		submitters.Wait()
		if firstPass {
			t.result.ConvergenceTime = t.elapsed() - lastMap.CommittedBy
		}
		submissions = slices.Concat(answers...)
		if violations := CheckConverged(lastMap, len(t.nodes), destinations, isListed, submissions); len(violations) > 0 {
			t.mu.Lock()
			t.result.Violations = append(t.result.Violations, violations...)
			t.mu.Unlock()
			return
		}
	}
	t.ownershipOptions.Log.Info("all nodes answer as the last map demands", "at", t.elapsed())
	t.awaitLists(ctx, lastMap, excluded, current)
}

// submitToAll submits a message for each destination to a node. With untilCorrect it tries again until the
// answer is correct; without, only while an owner refuses with a retry-after.
func (t *ownershipTrial) submitToAll(
	ctx context.Context, node *deliveryNode, lastMap PublishedMap, destinations []int, isListed func(int) bool, untilCorrect bool,
) []Submission {
	var submissions []Submission
	for _, destination := range destinations {
		for {
			submission := t.submit(node, t.newMessageID(), classIdempotent, destination, t.elapsed()+messageLifetime, false)
			correct := submission.isCorrect(lastMap, isListed(destination))
			busy := submission.Answer == history.Refused && submission.RetryAfter > 0
			if !correct {
				t.ownershipOptions.Log.Debug("answer does not match the last map yet", "node", node.name, "dest", destination,
					"state", submission.Answer, "wait", submission.RetryAfter, "why", submission.Reason, "took",
					submission.Return-submission.Call)
			}
			if correct || !untilCorrect && !busy || t.hasFoundInjected() || !sysretry.Sleep(ctx, pollInterval) {
				submissions = append(submissions, submission)
				break
			}
		}
	}
	return submissions
}

// hasFoundInjected tells whether the recorded submissions already show the injected violation, so that there is
// nothing to wait for.
func (t *ownershipTrial) hasFoundInjected() bool {
	if t.ownershipOptions.Inject != InjectLateAccept {
		return false
	}
	observed := t.copyObservations()
	violations, _ := CheckAccepts(observed.published, observed.submissions, observed.disturbances, mapAdoptionLimit)
	return slices.ContainsFunc(violations,
		func(violation Violation) bool { return violation.Rule == InjectedViolations[InjectLateAccept] })
}

// awaitLists waits until each node requests and stores the list of its own partitions only, and until all
// messages that were accepted have ended.
func (t *ownershipTrial) awaitLists(ctx context.Context, lastMap PublishedMap, excluded int, current catalog.List) {
	for i, node := range t.nodes {
		expected := map[string]catalog.Endpoint{}
		for id, endpoint := range endpointsByID(current) {
			if lastMap.Owned[i].Has(ownership.PartitionOf(endpoint.Cell)) {
				expected[id] = endpoint
			}
		}
		problem := ""
		isDone := func() bool {
			ready, body := node.ready(ctx)
			if ready != (i != excluded) || i == excluded && !strings.Contains(body, "map") {
				problem = fmt.Sprintf("ready: %v, %s", ready, body)
				return false
			}
			actual, err := node.savedList()
			if err != nil || !maps.Equal(actual, expected) {
				problem = fmt.Sprintf("it stores %s, %v", describeDifference(actual, expected), err)
				return false
			}
			observed := t.copyObservations()
			for _, request := range slices.Backward(observed.watchRequests) {
				if request.Node == i {
					problem = "it requests " + summarize(request.Partitions)
					return request.Partitions == lastMap.Owned[i] || i == excluded && request.Partitions.Len() == 1
				}
			}
			return false
		}
		if await(ctx, node.name, isDone) != nil {
			t.addViolation(RuleFilteredLists, "node %d, whose partitions have %d endpoints, does not follow map %d: %s", i,
				len(expected), lastMap.Number, problem)
		}
	}
	await(ctx, "the end of all messages", func() bool { // check reports messages without an end
		observed := t.copyObservations()
		return CountPending(observed.submissions, observed.messageEnds) == 0
	})
}

// observations is a copy of what was recorded so far.
type observations struct {
	mapObservations []MapObservation
	mapWrites       []MapWrite
	published       []PublishedMap
	submissions     []Submission
	watchRequests   []WatchRequest
	messageEnds     []MessageEnd
	disturbances    []Disturbance
}

func (t *ownershipTrial) copyObservations() observations {
	t.mu.Lock()
	defer t.mu.Unlock()
	observed := observations{mapObservations: slices.Clone(t.mapObservations), mapWrites: slices.Clone(t.mapWrites),
		submissions: slices.Clone(t.submissions), messageEnds: slices.Clone(t.messageEnds)}
	for _, m := range t.published {
		observed.published = append(observed.published, *m)
	}
	for _, request := range t.watchRequests {
		observed.watchRequests = append(observed.watchRequests, *request)
	}
	for _, disturbance := range t.disturbances {
		observed.disturbances = append(observed.disturbances, *disturbance)
	}
	return observed
}

// check checks everything that was recorded.
func (t *ownershipTrial) check(ctx context.Context) error {
	observed := t.copyObservations()
	checkedAt := t.elapsed()
	var violations []Violation
	acceptViolations, longestLateAccept := CheckAccepts(observed.published, observed.submissions, observed.disturbances,
		mapAdoptionLimit)
	violations = slices.Concat(violations, CheckMapNumbers(observed.mapObservations, observed.mapWrites), acceptViolations,
		CheckWatchRequests(observed.published, observed.watchRequests, watchCrossingSlack),
		CheckEnds(observed.submissions, observed.messageEnds, observed.disturbances, messageEndSlack, checkedAt),
		CheckAnswers(observed.submissions, observed.messageEnds,
			func(destination int) bool { return destination < steadyDestinations }))
	if t.ownershipOptions.Inject != InjectDuplicateNumber { // that one restores a backup, which starts another history
		admin := t.newClient(99)
		admin.RetryFor = settleTimeout
		committed, err := t.readHistory(ctx, admin)
		if err != nil {
			return err
		}
		violations = append(violations, CheckFilteredWatches(map[int64]CommittedHistory{committed.number: committed.CommittedHistory}, observed.watchRequests)...)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.Violations = append(t.result.Violations, violations...)
	t.result.LongestLateAccept, t.result.WatchRequests, t.result.EndedAfterLoss =
		longestLateAccept, len(observed.watchRequests), CountEndedAfterLoss(observed.published, observed.submissions, observed.messageEnds)
	for _, submission := range observed.submissions {
		if submission.Repeat && submission.Answer == history.Taken {
			t.result.AcceptedRepeats++
		}
	}
	for _, request := range observed.watchRequests {
		t.result.WatchLines += len(request.Lines)
	}
	return nil
}
