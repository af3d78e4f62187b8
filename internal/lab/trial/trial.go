package trial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
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
	"starlingusher/internal/directory"
	"starlingusher/internal/lab/block"
	"starlingusher/internal/lab/proc"
	"starlingusher/internal/lab/relay"
	"starlingusher/internal/lab/replica"
	"starlingusher/internal/registry"
	"starlingusher/internal/sysretry"
)

const (
	replicaCount          = 3
	endpointCount         = 6
	writerCount           = 4
	watcherCount          = 9
	requestTimeout        = 3 * time.Second
	settleTimeout         = 20 * time.Second
	checkTimeout          = 30 * time.Second
	retryPause            = 50 * time.Millisecond
	meanOperationInterval = 25 * time.Millisecond // mean pause between two operations of a writer
)

// Options configure a trial of the list service.
type Options struct {
	Command    []string // of a replica; `--config FILE` is appended
	Dir        string   // must be empty; it is not removed
	Seed       uint64
	Duration   time.Duration // how long faults are injected
	FaultKinds []string      // names of the faults to inject; empty: all
	StaleReads bool          // an injected violation: reads that must be fresh are served by any replica
	Log        *slog.Logger
}

// Result is the outcome of a trial.
type Result struct {
	Seed          uint64         `json:"seed"`
	Faults        []string       `json:"faults"`
	Operations    map[string]int `json:"ops"`  // count by kind and outcome
	WatchLines    int            `json:"told"` // number of updates that all watchers received
	Revisions     int64          `json:"revisions"`
	LeaseHoldings int            `json:"leases"` // how often a client held the lease of the record
	Histories     int            `json:"histories"`
	// The longest time without a successful write, and the longest time until a write was refused.
	LongestWriteGap time.Duration `json:"no_writes"`
	LongestRefusal  time.Duration `json:"refusal"`
	Violations      []string      `json:"problems"`
}

// healthyLink are the conditions of a link without a fault.
var healthyLink = relay.Conditions{Delay: 200 * time.Microsecond, Jitter: 1}

type trial struct {
	options    Options
	supervisor *proc.Supervisor
	block      *block.Block // all addresses of the trial
	replicas   []*replica.Replica
	startedAt  time.Time
	random     *rand.Rand // for the sequence of faults only, so not for clients

	lastValue   atomic.Int64
	mu          sync.Mutex
	operations  []Operation
	updates     [][]WatcherUpdate
	holdings    []LeaseHolding
	result      Result
	lastWriteAt time.Time
}

// Run runs a trial of the list service.
func Run(ctx context.Context, options Options) (*Result, error) {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	t := &trial{options: options, supervisor: proc.NewSupervisor(), random: rand.New(rand.NewPCG(options.Seed, 1)),
		updates: make([][]WatcherUpdate, watcherCount)}
	t.result = Result{Seed: options.Seed, Operations: map[string]int{}, Violations: []string{}}
	defer t.close()
	if err := t.buildReplicas(replicaCount, false); err != nil {
		return nil, err
	}
	err := t.run(ctx)
	if len(t.result.Violations) > 0 { // the dump of each process's goroutines may tell the cause
		for _, r := range t.replicas {
			process := r.Process()
			process.Signal(syscall.SIGQUIT)
			select {
			case <-process.Done():
			case <-time.After(requestTimeout):
			}
		}
	}
	return &t.result, err
}

func (t *trial) close() {
	t.supervisor.Close()
	for _, r := range t.replicas {
		r.Close()
	}
	if t.block != nil {
		t.block.Close()
	}
}

// buildReplicas creates count replicas. All traffic to a replica goes through its links, unless withoutLinks
// is set.
func (t *trial) buildReplicas(count int, withoutLinks bool) error {
	var err error
	if t.block, err = block.Reserve(); err != nil {
		return err
	}
	options := replica.Options{Command: t.options.Command, Dir: t.options.Dir, Block: t.block, Supervisor: t.supervisor,
		Seed: t.options.Seed}
	if !withoutLinks { // short intervals, so that much happens in a short time
		options.Conditions = &healthyLink
		options.Settings = "election = \"300ms\"\n[snapshot]\nevery = 40\ntrailing = 20\ninterval = \"200ms\"\n[watch]\nlag_kb = 64\n"
	}
	t.replicas, err = replica.New(count, options)
	return err
}

// operatorClient returns a client that reaches one replica without its links.
func operatorClient(target *replica.Replica) *directory.AdminClient {
	return &directory.AdminClient{Addresses: []string{target.OwnAddr(replica.HTTP)},
		HTTPClient: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// leader returns the replica that reports to be the leader, or any replica if none does.
func (t *trial) leader(ctx context.Context) *replica.Replica {
	for _, r := range t.replicas {
		ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		status, err := operatorClient(r).Status(ctx)
		cancel()
		if err == nil && status.State == "Leader" {
			return r
		}
	}
	return t.replicas[t.random.IntN(replicaCount)]
}

func (t *trial) elapsed() time.Duration { return time.Since(t.startedAt) }

// await polls isDone until it is true, for settleTimeout at most.
func await(ctx context.Context, name string, isDone func() bool) error {
	for deadline := time.Now().Add(settleTimeout); !isDone(); {
		if time.Now().After(deadline) {
			return fmt.Errorf("timed out after %v waiting for %s", settleTimeout, name)
		}
		if !sysretry.Sleep(ctx, 20*time.Millisecond) {
			return ctx.Err()
		}
	}
	return nil
}

func (t *trial) shuffledAddresses(seed uint64) []string {
	var addresses []string
	for _, r := range t.replicas {
		addresses = append(addresses, r.AdvertisedAddr(replica.HTTP))
	}
	rand.New(rand.NewPCG(t.options.Seed, seed)).Shuffle(len(addresses),
		func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

func (t *trial) hasVoters(ctx context.Context, count int) bool {
	for _, r := range t.replicas {
		status, err := operatorClient(r).Status(ctx)
		if err != nil || status.Leader == "" {
			return false
		}
		votes := 0
		for _, member := range status.Members {
			if member.Votes {
				votes++
			}
		}
		if votes != count {
			return false
		}
	}
	return true
}

func (t *trial) run(ctx context.Context) error {
	for _, r := range t.replicas {
		if err := r.Start(); err != nil {
			return err
		}
	}
	if err := await(ctx, "a service with three voters", func() bool { return t.hasVoters(ctx, replicaCount) }); err != nil {
		return err
	}
	t.startedAt = time.Now()
	t.lastWriteAt = t.startedAt
	admin := t.newClient(99)
	var members []catalog.Endpoint
	for i := range endpointCount {
		members = append(members, t.endpointWithValue(fmt.Sprint("e", i), 0))
	}
	if _, err := admin.Put(ctx, members, true, true, "*"); err != nil {
		return fmt.Errorf("write the first list: %w", err)
	}
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var watches, writers sync.WaitGroup
	for n := range watcherCount {
		watches.Go(func() { t.watchList(watchCtx, n) })
	}
	defer watches.Wait()
	defer stopWatching()
	writeCtx, stopWriting := context.WithCancel(ctx)
	defer stopWriting()
	for n := range writerCount {
		writers.Go(func() { t.runWriter(writeCtx, n) })
	}
	for n := range leaseHolderCount {
		writers.Go(func() { t.acquireLeases(writeCtx, n) })
	}
	err := t.injectFaults(ctx)
	stopWriting()
	writers.Wait()
	if err != nil {
		return err
	}
	for _, r := range t.replicas {
		if err := r.Start(); err != nil {
			return err
		}
	}
	if err := await(ctx, "three voters after the faults", func() bool { return t.hasVoters(ctx, replicaCount) }); err != nil {
		t.result.Violations = append(t.result.Violations, err.Error())
		return nil
	}
	return t.check(ctx, admin, func() { stopWatching(); watches.Wait() })
}

func (t *trial) endpointWithValue(id string, value int64) catalog.Endpoint {
	return catalog.Endpoint{ID: id, Addr: "10.0.0.1:6379", Locality: "a", Flavor: "k", Phase: catalog.Serving, Size: 1, UpSince: value}
}

// newClient returns a client with connections and an order of replicas of its own.
func (t *trial) newClient(number int) *directory.AdminClient {
	return &directory.AdminClient{Addresses: t.shuffledAddresses(uint64(100 + number)), By: fmt.Sprint("writer ", number),
		HTTPClient: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// watchList follows the list with the watcher that all clients of the service use.
func (t *trial) watchList(ctx context.Context, watcher int) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	listWatcher := registry.Watcher{Addresses: t.shuffledAddresses(uint64(watcher)), FleetSize: 1,
		Client: &http.Client{Transport: transport}, Log: t.options.Log,
		Cursor: registry.NewCursor(registry.Position{})}
	listWatcher.Watch(ctx, func(update registry.Update) error {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.updates[watcher] = append(t.updates[watcher], WatcherUpdate{watcher, update.History, update.List})
		return nil
	})
}

// runWriter reads and writes the endpoints' values until the context ends. An operation in flight is
// completed then.
func (t *trial) runWriter(ctx context.Context, writer int) {
	random := rand.New(rand.NewPCG(t.options.Seed, uint64(1000+writer)))
	client := t.newClient(writer)
	for sysretry.Sleep(ctx, time.Duration(random.ExpFloat64()*float64(meanOperationInterval))) {
		id := fmt.Sprint("e", random.IntN(endpointCount))
		client.Addresses = t.shuffledAddresses(random.Uint64())
		switch random.IntN(3) {
		case 0:
			t.readValue(client, writer, id)
		case 1:
			t.writeValue(client, Operation{Client: writer, Kind: Put, EndpointID: id}, "*")
		default:
			if old, match, ok := t.readValue(client, writer, id); ok {
				t.writeValue(client, Operation{Client: writer, Kind: CompareAndSwap, EndpointID: id, Old: old}, match)
			}
		}
	}
}

func (t *trial) recordOperation(op Operation) {
	op.Return = t.elapsed()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.operations = append(t.operations, op)
	t.result.Operations[string(op.Kind)+" "+string(op.Outcome)]++
	if op.Kind != Read && op.Outcome == Done {
		t.result.LongestWriteGap = max(t.result.LongestWriteGap, time.Since(t.lastWriteAt))
		t.lastWriteAt = time.Now()
	}
}

func (t *trial) readValue(client *directory.AdminClient, writer int, id string) (value int64, match string, ok bool) {
	op := Operation{Client: writer, Kind: Read, EndpointID: id, Outcome: Done, Call: t.elapsed()}
	list, match, _, err := client.List(context.Background(), !t.options.StaleReads)
	if err != nil {
		return 0, "", false
	}
	for _, member := range list.Members {
		if member.ID == id {
			op.ReadValue, op.Revision = member.UpSince, list.Revision
			t.recordOperation(op)
			return member.UpSince, match, true
		}
	}
	return 0, "", false
}

func (t *trial) writeValue(client *directory.AdminClient, op Operation, match string) {
	op.New, op.Call = t.lastValue.Add(1), t.elapsed()
	written, err := client.Put(context.Background(), []catalog.Endpoint{t.endpointWithValue(op.EndpointID, op.New)},
		false, false, match)
	switch {
	case err == nil:
		op.Outcome, op.Revision = Done, written.Revision
	case errors.Is(err, catalog.ErrConflict):
		op.Outcome = Conflict
	case errors.Is(err, directory.ErrRefused) && !errors.Is(err, directory.ErrAmbiguous):
		t.mu.Lock()
		t.result.LongestRefusal = max(t.result.LongestRefusal, t.elapsed()-op.Call)
		t.result.Operations[string(op.Kind)+" refused"]++
		t.mu.Unlock()
		return
	default:
		op.Outcome = Ambiguous
	}
	t.recordOperation(op)
}

// fault is one kind of fault that a trial injects.
type fault struct {
	name   string
	inject func(t *trial, ctx context.Context, r *replica.Replica, duration time.Duration) error
}

var faults = []fault{
	{"kill", func(t *trial, ctx context.Context, r *replica.Replica, d time.Duration) error {
		r.Kill()
		sysretry.Sleep(ctx, d)
		return r.Start()
	}},
	{"stop", func(t *trial, ctx context.Context, r *replica.Replica, d time.Duration) error {
		p := r.Process()
		p.Signal(syscall.SIGSTOP)
		sysretry.Sleep(ctx, d)
		return p.Signal(syscall.SIGCONT)
	}},
	{"cut towards", cutLink(replica.Raft, relay.Conditions{CutOutbound: true})},
	{"cut from", cutLink(replica.Raft, relay.Conditions{CutReturn: true})},
	{"cut both ways", cutLink(replica.Raft, relay.Conditions{CutOutbound: true, CutReturn: true})},
	{"cut from callers", cutLink(replica.HTTP, relay.Conditions{CutOutbound: true, CutReturn: true})},
	{"answers to callers lost", cutLink(replica.HTTP, relay.Conditions{CutReturn: true})},
	{"disk full", func(t *trial, ctx context.Context, r *replica.Replica, d time.Duration) error {
		p := r.Process()
		if err := p.SetDiskFull(true); err != nil {
			return err
		}
		sysretry.Sleep(ctx, d)
		select {
		case <-p.Done():
			return r.Start()
		default:
			return p.SetDiskFull(false)
		}
	}},
	{"folder lost", func(t *trial, ctx context.Context, r *replica.Replica, d time.Duration) error {
		r.Kill()
		if err := os.RemoveAll(r.DataDir()); err != nil {
			return err
		}
		sysretry.Sleep(ctx, d/4)
		return t.rejoin(ctx, r)
	}},
	{"log damaged", func(t *trial, ctx context.Context, r *replica.Replica, d time.Duration) error {
		r.Kill()
		path := filepath.Join(r.DataDir(), "log.db")
		info, err := os.Stat(path)
		if err != nil {
			return err
		}
		if err := os.Truncate(path, info.Size()*3/4); err != nil {
			return err
		}
		sysretry.Sleep(ctx, d/4)
		return t.rejoin(ctx, r)
	}},
	{"two gone", func(t *trial, ctx context.Context, r *replica.Replica, d time.Duration) error {
		var killed []*replica.Replica
		for _, other := range t.replicas {
			if other != r {
				other.Kill()
				killed = append(killed, other)
			}
		}
		sysretry.Sleep(ctx, d)
		return errors.Join(killed[0].Start(), killed[1].Start())
	}},
}

func cutLink(link int, conditions relay.Conditions) func(*trial, context.Context, *replica.Replica, time.Duration) error {
	return func(_ *trial, ctx context.Context, r *replica.Replica, duration time.Duration) error {
		r.Links[link].SetConditions(conditions)
		sysretry.Sleep(ctx, duration)
		r.Links[link].SetConditions(healthyLink)
		r.Links[link].ResetConnections()
		return nil
	}
}

// rejoin starts a replica that lost its data and waits until it votes again: if another replica failed before
// that, committed changes could be lost.
func (t *trial) rejoin(ctx context.Context, r *replica.Replica) error {
	if err := r.Start(); err != nil {
		return err
	}
	return await(ctx, r.ID+" to vote again", func() bool { return t.hasVoters(ctx, replicaCount) })
}

// injectFaults injects one fault after the other with a pause between them, half of them at the leader.
func (t *trial) injectFaults(ctx context.Context) error {
	kinds := slices.DeleteFunc(slices.Clone(faults), func(f fault) bool {
		return len(t.options.FaultKinds) > 0 && !slices.Contains(t.options.FaultKinds, f.name)
	})
	if len(kinds) == 0 {
		return fmt.Errorf("no fault has any of the names %q", t.options.FaultKinds)
	}
	for t.elapsed() < t.options.Duration {
		if !sysretry.Sleep(ctx, time.Duration(200+t.random.IntN(600))*time.Millisecond) {
			return ctx.Err()
		}
		f, duration := kinds[t.random.IntN(len(kinds))], time.Duration(300+t.random.IntN(1500))*time.Millisecond
		target := "any"
		r := t.replicas[t.random.IntN(replicaCount)]
		if t.random.IntN(2) == 0 {
			target, r = "leader", t.leader(ctx)
		}
		description := fmt.Sprintf("%v %s: %s of %s for %v", t.elapsed().Round(time.Millisecond), target, f.name, r.ID, duration)
		t.options.Log.Info("fault", "what", description)
		t.result.Faults = append(t.result.Faults, description)
		if err := f.inject(t, ctx, r, duration); err != nil {
			return fmt.Errorf("%s: %w", description, err)
		}
		if strings.Contains(f.name, "log") || strings.Contains(f.name, "folder") {
			continue
		}
		// Losing a folder is safe only while the other replicas have all changes, so each fault is over
		// before the next one.
		if err := await(ctx, "three voters after the fault "+f.name,
			func() bool { return t.hasVoters(ctx, replicaCount) }); err != nil {
			t.result.Violations = append(t.result.Violations, err.Error())
		}
	}
	return nil
}

// check restores a backup in half of the trials, waits for the watchers, and checks all recorded operations,
// updates and leases.
func (t *trial) check(ctx context.Context, admin *directory.AdminClient, stopWatching func()) error {
	admin.RetryFor = settleTimeout
	histories := map[int64]CommittedHistory{}
	committed, err := t.readHistory(ctx, admin)
	if err != nil {
		return err
	}
	if t.random.IntN(2) == 0 { // the backup is older than the last writes
		backup, _, err := admin.Backup(ctx, true)
		if err != nil {
			return err
		}
		for i := range 5 {
			if _, err := admin.Put(ctx, []catalog.Endpoint{t.endpointWithValue(fmt.Sprint("x", i), 0)},
				false, false, "*"); err != nil {
				return fmt.Errorf("write after the faults: %w", err)
			}
		}
		if committed, err = t.readHistory(ctx, admin); err != nil {
			return err
		}
		image, err := directory.DecodeBackup(strings.NewReader(string(backup)))
		if err != nil {
			return err
		}
		if _, err := admin.Restore(ctx, backup); err != nil {
			return fmt.Errorf("restore the backup: %w", err)
		}
		status, err := operatorClient(t.leader(ctx)).Status(ctx)
		if err != nil {
			return err
		}
		state, err := catalog.Load(image)
		if err != nil {
			return err
		}
		histories[status.History] = CommittedHistory{Initial: state.FullList()}
	}
	histories[committed.number] = committed.CommittedHistory
	t.result.Histories = len(histories)
	t.result.Revisions = int64(len(committed.Changes))
	var violations []string
	err = await(ctx, "every watcher to reach the end of the list", func() bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		violations = CheckWatches(histories, t.updates)
		return len(violations) == 0
	})
	stopWatching()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		t.result.Violations = append(t.result.Violations, violations...)
	}
	for _, received := range t.updates {
		t.result.WatchLines += len(received)
	}
	t.result.Violations = append(t.result.Violations, CheckWrites(committed.CommittedHistory, t.operations)...)
	t.result.LeaseHoldings = len(t.holdings)
	t.result.Violations = append(t.result.Violations, CheckLeases(t.holdings)...)
	t.result.Violations = append(t.result.Violations, CheckLinearizable(t.operations, checkTimeout)...)
	if len(t.result.Violations) > 0 {
		raw, err := json.Marshal(map[string]any{"ops": t.operations, "told": t.updates, "truth": histories, "held": t.holdings})
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(t.options.Dir, "seen.json"), raw, 0o600)
	}
	return nil
}

// serviceHistory is a history as the service has committed it.
type serviceHistory struct {
	number int64
	CommittedHistory
}

// readHistory reads all changes from the first one on.
func (t *trial) readHistory(ctx context.Context, admin *directory.AdminClient) (serviceHistory, error) {
	history := serviceHistory{CommittedHistory: CommittedHistory{Initial: catalog.List{Members: []catalog.Endpoint{}}}}
	current, _, _, err := admin.List(ctx, true)
	if err != nil {
		return history, err
	}
	leader := operatorClient(t.leader(ctx))
	leader.RetryFor = settleTimeout
	for after := int64(0); ; {
		page, err := leader.History(ctx, after, 1000)
		if err != nil {
			return history, err
		}
		if !page.All {
			return history, errors.New("the service no longer holds all changes of the trial")
		}
		history.number = page.History
		history.Changes = append(history.Changes, page.Changes...)
		if len(page.Changes) == 0 && page.Revision < current.Revision { // the replica is no longer the leader
			leader = operatorClient(t.leader(ctx))
			sysretry.Sleep(ctx, retryPause)
			continue
		}
		if len(page.Changes) == 0 {
			return history, nil
		}
		after = page.Changes[len(page.Changes)-1].Revision
	}
}
