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
	meanOperationInterval = 25 * time.Millisecond // between a writer's operations, on the average
)

// Options say how a trial is run.
type Options struct {
	Command    []string // of a replica; `--config FILE` is put behind it
	Dir        string   // an empty folder; it stays
	Seed       uint64
	Duration   time.Duration // of the faults
	FaultKinds []string      // kinds of faults; none: all
	StaleReads bool          // a seeded breach: what counts as fresh is read at any replica
	Log        *slog.Logger
}

// Result is what a trial has found.
type Result struct {
	Seed          uint64         `json:"seed"`
	Faults        []string       `json:"faults"`
	Operations    map[string]int `json:"ops"`  // by kind and outcome
	WatchLines    int            `json:"told"` // lines of watches
	Revisions     int64          `json:"revisions"`
	LeaseHoldings int            `json:"leases"` // times in which one held the record
	Histories     int            `json:"histories"`
	// The longest time in which no write was done, and the longest that a write took to be refused.
	LongestWriteGap time.Duration `json:"no_writes"`
	LongestRefusal  time.Duration `json:"refusal"`
	Violations      []string      `json:"problems"`
}

// calm is the weather of a link without a fault.
var calm = relay.Conditions{Delay: 200 * time.Microsecond, Jitter: 1}

type trial struct {
	options    Options
	supervisor *proc.Supervisor
	block      *block.Block // of all addresses
	replicas   []*replica.Replica
	startedAt  time.Time
	random     *rand.Rand // of the timeline alone

	lastValue   atomic.Int64
	mu          sync.Mutex
	operations  []Operation
	updates     [][]WatcherUpdate
	holdings    []LeaseHolding
	result      Result
	lastWriteAt time.Time // of the last write
}

// Run runs a trial.
func Run(ctx context.Context, opts Options) (*Result, error) {
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	t := &trial{options: opts, supervisor: proc.NewSupervisor(), random: rand.New(rand.NewPCG(opts.Seed, 1)), updates: make([][]WatcherUpdate, watcherCount)}
	t.result = Result{Seed: opts.Seed, Operations: map[string]int{}, Violations: []string{}}
	defer t.close()
	if err := t.buildReplicas(replicaCount, false); err != nil {
		return nil, err
	}
	err := t.run(ctx)
	if len(t.result.Violations) > 0 { // where each one stands may tell why
		for _, r := range t.replicas {
			p := r.Process()
			p.Signal(syscall.SIGQUIT)
			select {
			case <-p.Done():
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

// buildOf makes so many replicas. Everything reaches one by its links, unless they are left out.
func (t *trial) buildReplicas(count int, direct bool) error {
	var err error
	if t.block, err = block.Reserve(); err != nil {
		return err
	}
	o := replica.Options{Command: t.options.Command, Dir: t.options.Dir, Block: t.block, Supervisor: t.supervisor, Seed: t.options.Seed}
	if !direct { // much happens in a short time
		o.Conditions = &calm
		o.Settings = "election = \"300ms\"\n[snapshot]\nevery = 40\ntrailing = 20\ninterval = \"200ms\"\n[watch]\nlag_kb = 64\n"
	}
	t.replicas, err = replica.New(count, o)
	return err
}

// operator asks one replica past its links.
func operatorClient(r *replica.Replica) *directory.AdminClient {
	return &directory.AdminClient{Addresses: []string{r.OwnAddr(replica.HTTP)}, HTTPClient: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// leader is the replica that says it leads, or any.
func (t *trial) leader(ctx context.Context) *replica.Replica {
	for _, r := range t.replicas {
		ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		st, err := operatorClient(r).Status(ctx)
		cancel()
		if err == nil && st.State == "Leader" {
			return r
		}
	}
	return t.replicas[t.random.IntN(replicaCount)]
}

func (t *trial) elapsed() time.Duration { return time.Since(t.startedAt) }

// await waits for something that must come.
func await(ctx context.Context, what string, is func() bool) error {
	for end := time.Now().Add(settleTimeout); !is(); {
		if time.Now().After(end) {
			return fmt.Errorf("%s has not come within %v", what, settleTimeout)
		}
		if !registry.Sleep(ctx, 20*time.Millisecond) {
			return ctx.Err()
		}
	}
	return nil
}

func (t *trial) shuffledAddresses(seed uint64) []string {
	var all []string
	for _, r := range t.replicas {
		all = append(all, r.AdvertisedAddr(replica.HTTP))
	}
	rand.New(rand.NewPCG(t.options.Seed, seed)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

func (t *trial) hasVoters(ctx context.Context, n int) bool {
	for _, r := range t.replicas {
		st, err := operatorClient(r).Status(ctx)
		if err != nil || st.Leader == "" {
			return false
		}
		votes := 0
		for _, m := range st.Members {
			if m.Votes {
				votes++
			}
		}
		if votes != n {
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
	if err := await(ctx, "a service of three", func() bool { return t.hasVoters(ctx, replicaCount) }); err != nil {
		return err
	}
	t.startedAt = time.Now()
	t.lastWriteAt = t.startedAt
	first := t.newClient(99)
	var members []catalog.Endpoint
	for i := range endpointCount {
		members = append(members, t.endpointWithValue(fmt.Sprint("e", i), 0))
	}
	if _, err := first.Put(ctx, members, true, true, "*"); err != nil {
		return fmt.Errorf("the first list: %w", err)
	}
	watching, unwatch := context.WithCancel(ctx)
	defer unwatch()
	var watches, work sync.WaitGroup
	for n := range watcherCount {
		watches.Go(func() { t.watchList(watching, n) })
	}
	defer watches.Wait()
	defer unwatch()
	writing, stop := context.WithCancel(ctx)
	defer stop()
	for n := range writerCount {
		work.Go(func() { t.runWriter(writing, n) })
	}
	for n := range leaseHolderCount {
		work.Go(func() { t.acquireLeases(writing, n) })
	}
	err := t.injectFaults(ctx)
	stop()
	work.Wait()
	if err != nil {
		return err
	}
	for _, r := range t.replicas {
		if err := r.Start(); err != nil {
			return err
		}
	}
	if err := await(ctx, "the service after the faults", func() bool { return t.hasVoters(ctx, replicaCount) }); err != nil {
		t.result.Violations = append(t.result.Violations, err.Error())
		return nil
	}
	return t.check(ctx, first, func() { unwatch(); watches.Wait() })
}

func (t *trial) endpointWithValue(id string, value int64) catalog.Endpoint {
	return catalog.Endpoint{ID: id, Addr: "10.0.0.1:6379", Locality: "a", Flavor: "k", Phase: catalog.Serving, Size: 1, UpSince: value}
}

// client asks by its own connections, at the replicas in an order of its own.
func (t *trial) newClient(n int) *directory.AdminClient {
	return &directory.AdminClient{Addresses: t.shuffledAddresses(uint64(100 + n)), By: fmt.Sprint("writer ", n),
		HTTPClient: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// watch follows the list as every client of the service does.
func (t *trial) watchList(ctx context.Context, n int) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	w := registry.Watcher{Addresses: t.shuffledAddresses(uint64(n)), FleetSize: 1, Client: &http.Client{Transport: transport}, Log: t.options.Log,
		Cursor: registry.NewCursor(registry.Position{})}
	w.Watch(ctx, func(l registry.Update) error {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.updates[n] = append(t.updates[n], WatcherUpdate{n, l.History, l.List})
		return nil
	})
}

// writes reads and writes the endpoints' values until the context ends. What is under way then is let finish.
func (t *trial) runWriter(ctx context.Context, n int) {
	r := rand.New(rand.NewPCG(t.options.Seed, uint64(1000+n)))
	c := t.newClient(n)
	for registry.Sleep(ctx, time.Duration(r.ExpFloat64()*float64(meanOperationInterval))) {
		id := fmt.Sprint("e", r.IntN(endpointCount))
		c.Addresses = t.shuffledAddresses(r.Uint64())
		switch r.IntN(3) {
		case 0:
			t.readValue(c, n, id)
		case 1:
			t.writeValue(c, Operation{Client: n, Kind: Put, EndpointID: id}, "*")
		default:
			if old, match, ok := t.readValue(c, n, id); ok {
				t.writeValue(c, Operation{Client: n, Kind: CompareAndSwap, EndpointID: id, Old: old}, match)
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

func (t *trial) readValue(c *directory.AdminClient, n int, id string) (value int64, match string, ok bool) {
	op := Operation{Client: n, Kind: Read, EndpointID: id, Outcome: Done, Call: t.elapsed()}
	l, match, _, err := c.List(context.Background(), !t.options.StaleReads)
	if err != nil {
		return 0, "", false
	}
	for _, m := range l.Members {
		if m.ID == id {
			op.ReadValue, op.Revision = m.UpSince, l.Revision
			t.recordOperation(op)
			return m.UpSince, match, true
		}
	}
	return 0, "", false
}

func (t *trial) writeValue(c *directory.AdminClient, op Operation, match string) {
	op.New, op.Call = t.lastValue.Add(1), t.elapsed()
	w, err := c.Put(context.Background(), []catalog.Endpoint{t.endpointWithValue(op.EndpointID, op.New)}, false, false, match)
	switch {
	case err == nil:
		op.Outcome, op.Revision = Done, w.Revision
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

// fault is one kind of what may happen.
type fault struct {
	name   string
	inject func(t *trial, ctx context.Context, r *replica.Replica, for_ time.Duration) error
}

var faults = []fault{
	{"kill", func(t *trial, ctx context.Context, r *replica.Replica, d time.Duration) error {
		r.Kill()
		registry.Sleep(ctx, d)
		return r.Start()
	}},
	{"stop", func(t *trial, ctx context.Context, r *replica.Replica, d time.Duration) error {
		p := r.Process()
		p.Signal(syscall.SIGSTOP)
		registry.Sleep(ctx, d)
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
		registry.Sleep(ctx, d)
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
		registry.Sleep(ctx, d/4)
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
		registry.Sleep(ctx, d/4)
		return t.rejoin(ctx, r)
	}},
	{"two gone", func(t *trial, ctx context.Context, r *replica.Replica, d time.Duration) error {
		var gone []*replica.Replica
		for _, o := range t.replicas {
			if o != r {
				o.Kill()
				gone = append(gone, o)
			}
		}
		registry.Sleep(ctx, d)
		return errors.Join(gone[0].Start(), gone[1].Start())
	}},
}

func cutLink(link int, w relay.Conditions) func(*trial, context.Context, *replica.Replica, time.Duration) error {
	return func(_ *trial, ctx context.Context, r *replica.Replica, d time.Duration) error {
		r.Links[link].SetConditions(w)
		registry.Sleep(ctx, d)
		r.Links[link].SetConditions(calm)
		r.Links[link].ResetConnections()
		return nil
	}
}

// rejoin starts a replica that has lost what it knew, and waits until it votes again: with another one gone at that
// time, what was agreed on could be lost.
func (t *trial) rejoin(ctx context.Context, r *replica.Replica) error {
	if err := r.Start(); err != nil {
		return err
	}
	return await(ctx, r.ID+" with a vote", func() bool { return t.hasVoters(ctx, replicaCount) })
}

// timeline plays faults one after the other, at the leader half of the time, with a moment between two of them.
func (t *trial) injectFaults(ctx context.Context) error {
	kinds := slices.DeleteFunc(slices.Clone(faults), func(f fault) bool {
		return len(t.options.FaultKinds) > 0 && !slices.Contains(t.options.FaultKinds, f.name)
	})
	if len(kinds) == 0 {
		return fmt.Errorf("none of the faults is called %q", t.options.FaultKinds)
	}
	for t.elapsed() < t.options.Duration {
		if !registry.Sleep(ctx, time.Duration(200+t.random.IntN(600))*time.Millisecond) {
			return ctx.Err()
		}
		f, d := kinds[t.random.IntN(len(kinds))], time.Duration(300+t.random.IntN(1500))*time.Millisecond
		who := "any"
		r := t.replicas[t.random.IntN(replicaCount)]
		if t.random.IntN(2) == 0 {
			who, r = "leader", t.leader(ctx)
		}
		name := fmt.Sprintf("%v %s: %s of %s for %v", t.elapsed().Round(time.Millisecond), who, f.name, r.ID, d)
		t.options.Log.Info("fault", "what", name)
		t.result.Faults = append(t.result.Faults, name)
		if err := f.inject(t, ctx, r, d); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if strings.Contains(f.name, "log") || strings.Contains(f.name, "folder") {
			continue
		}
		// Losing a folder is safe only while the others have it all, so each fault is over before the next.
		if err := await(ctx, "the service after "+f.name, func() bool { return t.hasVoters(ctx, replicaCount) }); err != nil {
			t.result.Violations = append(t.result.Violations, err.Error())
		}
	}
	return nil
}

// judge restores a backup as a last thing, waits for the watchers, and checks all that was seen.
func (t *trial) check(ctx context.Context, c *directory.AdminClient, unwatch func()) error {
	c.RetryFor = settleTimeout
	truth := map[int64]CommittedHistory{}
	before, err := t.readHistory(ctx, c)
	if err != nil {
		return err
	}
	if t.random.IntN(2) == 0 { // the backup is of before the last writes
		saved, _, err := c.Backup(ctx, true)
		if err != nil {
			return err
		}
		for i := range 5 {
			if _, err := c.Put(ctx, []catalog.Endpoint{t.endpointWithValue(fmt.Sprint("x", i), 0)}, false, false, "*"); err != nil {
				return fmt.Errorf("a write after the faults: %w", err)
			}
		}
		if before, err = t.readHistory(ctx, c); err != nil {
			return err
		}
		image, err := directory.DecodeBackup(strings.NewReader(string(saved)))
		if err != nil {
			return err
		}
		if _, err := c.Restore(ctx, saved); err != nil {
			return fmt.Errorf("the restore: %w", err)
		}
		st, err := operatorClient(t.leader(ctx)).Status(ctx)
		if err != nil {
			return err
		}
		state, err := catalog.Load(image)
		if err != nil {
			return err
		}
		truth[st.History] = CommittedHistory{Initial: state.FullList()}
	}
	truth[before.number] = before.CommittedHistory
	t.result.Histories = len(truth)
	t.result.Revisions = int64(len(before.Changes))
	var bad []string
	err = await(ctx, "the end of the list at every watcher", func() bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		bad = CheckWatches(truth, t.updates)
		return len(bad) == 0
	})
	unwatch()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		t.result.Violations = append(t.result.Violations, bad...)
	}
	for _, w := range t.updates {
		t.result.WatchLines += len(w)
	}
	t.result.Violations = append(t.result.Violations, CheckWrites(before.CommittedHistory, t.operations)...)
	t.result.LeaseHoldings = len(t.holdings)
	t.result.Violations = append(t.result.Violations, CheckLeases(t.holdings)...)
	t.result.Violations = append(t.result.Violations, CheckLinearizable(t.operations, checkTimeout)...)
	if len(t.result.Violations) > 0 {
		raw, err := json.Marshal(map[string]any{"ops": t.operations, "told": t.updates, "truth": truth, "held": t.holdings})
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(t.options.Dir, "seen.json"), raw, 0o600)
	}
	return nil
}

// agreed is a history as the service has it.
type serviceHistory struct {
	number int64
	CommittedHistory
}

// truth reads all changes from the first on.
func (t *trial) readHistory(ctx context.Context, c *directory.AdminClient) (serviceHistory, error) {
	a := serviceHistory{CommittedHistory: CommittedHistory{Initial: catalog.List{Members: []catalog.Endpoint{}}}}
	now, _, _, err := c.List(ctx, true)
	if err != nil {
		return a, err
	}
	lead := operatorClient(t.leader(ctx))
	lead.RetryFor = settleTimeout
	for after := int64(0); ; {
		h, err := lead.History(ctx, after, 1000)
		if err != nil {
			return a, err
		}
		if !h.All {
			return a, errors.New("the service no longer has all changes of the trial")
		}
		a.number = h.History
		a.Changes = append(a.Changes, h.Changes...)
		if len(h.Changes) == 0 && h.Revision < now.Revision { // no longer the leader
			lead = operatorClient(t.leader(ctx))
			registry.Sleep(ctx, retryPause)
			continue
		}
		if len(h.Changes) == 0 {
			return a, nil
		}
		after = h.Changes[len(h.Changes)-1].Revision
	}
}
