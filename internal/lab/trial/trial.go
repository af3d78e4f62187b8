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
	replicas      = 3
	endpoints     = 6
	writers       = 4
	watchers      = 9
	opWait        = 3 * time.Second
	settleWait    = 20 * time.Second
	checkLimit    = 30 * time.Second
	operatorPause = 50 * time.Millisecond
	opPause       = 25 * time.Millisecond // between a writer's operations, on the average
)

// Options say how a trial is run.
type Options struct {
	Command []string // of a replica; `--config FILE` is put behind it
	Dir     string   // an empty folder; it stays
	Seed    uint64
	Length  time.Duration // of the faults
	Only    []string      // kinds of faults; none: all
	Stale   bool          // a seeded breach: what counts as fresh is read at any replica
	Log     *slog.Logger
}

// Result is what a trial has found.
type Result struct {
	Seed      uint64         `json:"seed"`
	Faults    []string       `json:"faults"`
	Ops       map[string]int `json:"ops"`  // by kind and outcome
	Told      int            `json:"told"` // lines of watches
	Revisions int64          `json:"revisions"`
	Leases    int            `json:"leases"` // times in which one held the record
	Histories int            `json:"histories"`
	// The longest time in which no write was done, and the longest that a write took to be refused.
	NoWrites time.Duration `json:"no_writes"`
	Refusal  time.Duration `json:"refusal"`
	Problems []string      `json:"problems"`
}

// calm is the weather of a link without a fault.
var calm = relay.Conditions{Delay: 200 * time.Microsecond, Jitter: 1}

type trial struct {
	opts  Options
	sup   *proc.Supervisor
	block *block.Block // of all addresses
	all   []*replica.Replica
	began time.Time
	r     *rand.Rand // of the timeline alone

	value atomic.Int64
	mu    sync.Mutex
	ops   []Op
	told  [][]Told
	held  []Held
	res   Result
	done  time.Time // of the last write
}

// Run runs a trial.
func Run(ctx context.Context, opts Options) (*Result, error) {
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	t := &trial{opts: opts, sup: proc.NewSupervisor(), r: rand.New(rand.NewPCG(opts.Seed, 1)), told: make([][]Told, watchers)}
	t.res = Result{Seed: opts.Seed, Ops: map[string]int{}, Problems: []string{}}
	defer t.close()
	if err := t.buildOf(replicas, false); err != nil {
		return nil, err
	}
	err := t.play(ctx)
	if len(t.res.Problems) > 0 { // where each one stands may tell why
		for _, r := range t.all {
			p := r.Process()
			p.Signal(syscall.SIGQUIT)
			select {
			case <-p.Done():
			case <-time.After(opWait):
			}
		}
	}
	return &t.res, err
}

func (t *trial) close() {
	t.sup.Close()
	for _, r := range t.all {
		r.Close()
	}
	if t.block != nil {
		t.block.Close()
	}
}

// buildOf makes so many replicas. Everything reaches one by its links, unless they are left out.
func (t *trial) buildOf(count int, direct bool) error {
	var err error
	if t.block, err = block.Reserve(); err != nil {
		return err
	}
	o := replica.Options{Command: t.opts.Command, Dir: t.opts.Dir, Block: t.block, Supervisor: t.sup, Seed: t.opts.Seed}
	if !direct { // much happens in a short time
		o.Conditions = &calm
		o.Settings = "election = \"300ms\"\n[snapshot]\nevery = 40\ntrailing = 20\ninterval = \"200ms\"\n[watch]\nlag_kb = 64\n"
	}
	t.all, err = replica.New(count, o)
	return err
}

// operator asks one replica past its links.
func operator(r *replica.Replica) *directory.AdminClient {
	return &directory.AdminClient{Addresses: []string{r.OwnAddr(replica.HTTP)}, HTTPClient: &http.Client{Timeout: opWait, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// leader is the replica that says it leads, or any.
func (t *trial) leader(ctx context.Context) *replica.Replica {
	for _, r := range t.all {
		ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		st, err := operator(r).Status(ctx)
		cancel()
		if err == nil && st.State == "Leader" {
			return r
		}
	}
	return t.all[t.r.IntN(replicas)]
}

func (t *trial) now() time.Duration { return time.Since(t.began) }

// await waits for something that must come.
func await(ctx context.Context, what string, is func() bool) error {
	for end := time.Now().Add(settleWait); !is(); {
		if time.Now().After(end) {
			return fmt.Errorf("%s has not come within %v", what, settleWait)
		}
		if !registry.Sleep(ctx, 20*time.Millisecond) {
			return ctx.Err()
		}
	}
	return nil
}

func (t *trial) addresses(seed uint64) []string {
	var all []string
	for _, r := range t.all {
		all = append(all, r.AdvertisedAddr(replica.HTTP))
	}
	rand.New(rand.NewPCG(t.opts.Seed, seed)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

func (t *trial) voters(ctx context.Context, n int) bool {
	for _, r := range t.all {
		st, err := operator(r).Status(ctx)
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

func (t *trial) play(ctx context.Context) error {
	for _, r := range t.all {
		if err := r.Start(); err != nil {
			return err
		}
	}
	if err := await(ctx, "a service of three", func() bool { return t.voters(ctx, replicas) }); err != nil {
		return err
	}
	t.began = time.Now()
	t.done = t.began
	first := t.client(99)
	var members []catalog.Endpoint
	for i := range endpoints {
		members = append(members, t.endpoint(fmt.Sprint("e", i), 0))
	}
	if _, err := first.Put(ctx, members, true, true, "*"); err != nil {
		return fmt.Errorf("the first list: %w", err)
	}
	watching, unwatch := context.WithCancel(ctx)
	defer unwatch()
	var watches, work sync.WaitGroup
	for n := range watchers {
		watches.Go(func() { t.watch(watching, n) })
	}
	defer watches.Wait()
	defer unwatch()
	writing, stop := context.WithCancel(ctx)
	defer stop()
	for n := range writers {
		work.Go(func() { t.writes(writing, n) })
	}
	for n := range holders {
		work.Go(func() { t.holds(writing, n) })
	}
	err := t.timeline(ctx)
	stop()
	work.Wait()
	if err != nil {
		return err
	}
	for _, r := range t.all {
		if err := r.Start(); err != nil {
			return err
		}
	}
	if err := await(ctx, "the service after the faults", func() bool { return t.voters(ctx, replicas) }); err != nil {
		t.res.Problems = append(t.res.Problems, err.Error())
		return nil
	}
	return t.judge(ctx, first, func() { unwatch(); watches.Wait() })
}

func (t *trial) endpoint(id string, value int64) catalog.Endpoint {
	return catalog.Endpoint{ID: id, Addr: "10.0.0.1:6379", Locality: "a", Flavor: "k", Phase: catalog.Serving, Size: 1, UpSince: value}
}

// client asks by its own connections, at the replicas in an order of its own.
func (t *trial) client(n int) *directory.AdminClient {
	return &directory.AdminClient{Addresses: t.addresses(uint64(100 + n)), By: fmt.Sprint("writer ", n),
		HTTPClient: &http.Client{Timeout: opWait, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// watch follows the list as every client of the service does.
func (t *trial) watch(ctx context.Context, n int) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	w := registry.Watcher{Addresses: t.addresses(uint64(n)), FleetSize: 1, Client: &http.Client{Transport: transport}, Log: t.opts.Log,
		Cursor: registry.NewCursor(registry.Position{})}
	w.Watch(ctx, func(l registry.Update) error {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.told[n] = append(t.told[n], Told{n, l.History, l.List})
		return nil
	})
}

// writes reads and writes the endpoints' values until the context ends. What is under way then is let finish.
func (t *trial) writes(ctx context.Context, n int) {
	r := rand.New(rand.NewPCG(t.opts.Seed, uint64(1000+n)))
	c := t.client(n)
	for registry.Sleep(ctx, time.Duration(r.ExpFloat64()*float64(opPause))) {
		id := fmt.Sprint("e", r.IntN(endpoints))
		c.Addresses = t.addresses(r.Uint64())
		switch r.IntN(3) {
		case 0:
			t.read(c, n, id)
		case 1:
			t.put(c, Op{Client: n, Kind: Put, ID: id}, "*")
		default:
			if old, match, ok := t.read(c, n, id); ok {
				t.put(c, Op{Client: n, Kind: Swap, ID: id, Old: old}, match)
			}
		}
	}
}

func (t *trial) note(op Op) {
	op.Return = t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ops = append(t.ops, op)
	t.res.Ops[string(op.Kind)+" "+string(op.Outcome)]++
	if op.Kind != Read && op.Outcome == Done {
		t.res.NoWrites = max(t.res.NoWrites, time.Since(t.done))
		t.done = time.Now()
	}
}

func (t *trial) read(c *directory.AdminClient, n int, id string) (value int64, match string, ok bool) {
	op := Op{Client: n, Kind: Read, ID: id, Outcome: Done, Call: t.now()}
	l, match, _, err := c.List(context.Background(), !t.opts.Stale)
	if err != nil {
		return 0, "", false
	}
	for _, m := range l.Members {
		if m.ID == id {
			op.Got, op.Revision = m.UpSince, l.Revision
			t.note(op)
			return m.UpSince, match, true
		}
	}
	return 0, "", false
}

func (t *trial) put(c *directory.AdminClient, op Op, match string) {
	op.New, op.Call = t.value.Add(1), t.now()
	w, err := c.Put(context.Background(), []catalog.Endpoint{t.endpoint(op.ID, op.New)}, false, false, match)
	switch {
	case err == nil:
		op.Outcome, op.Revision = Done, w.Revision
	case errors.Is(err, catalog.ErrConflict):
		op.Outcome = Conflict
	case errors.Is(err, directory.ErrRefused) && !errors.Is(err, directory.ErrAmbiguous):
		t.mu.Lock()
		t.res.Refusal = max(t.res.Refusal, t.now()-op.Call)
		t.res.Ops[string(op.Kind)+" refused"]++
		t.mu.Unlock()
		return
	default:
		op.Outcome = Unknown
	}
	t.note(op)
}

// fault is one kind of what may happen.
type fault struct {
	name string
	do   func(t *trial, ctx context.Context, r *replica.Replica, for_ time.Duration) error
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
	{"cut towards", cutting(replica.Raft, relay.Conditions{CutOutbound: true})},
	{"cut from", cutting(replica.Raft, relay.Conditions{CutReturn: true})},
	{"cut both ways", cutting(replica.Raft, relay.Conditions{CutOutbound: true, CutReturn: true})},
	{"cut from callers", cutting(replica.HTTP, relay.Conditions{CutOutbound: true, CutReturn: true})},
	{"answers to callers lost", cutting(replica.HTTP, relay.Conditions{CutReturn: true})},
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
		for _, o := range t.all {
			if o != r {
				o.Kill()
				gone = append(gone, o)
			}
		}
		registry.Sleep(ctx, d)
		return errors.Join(gone[0].Start(), gone[1].Start())
	}},
}

func cutting(link int, w relay.Conditions) func(*trial, context.Context, *replica.Replica, time.Duration) error {
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
	return await(ctx, r.ID+" with a vote", func() bool { return t.voters(ctx, replicas) })
}

// timeline plays faults one after the other, at the leader half of the time, with a moment between two of them.
func (t *trial) timeline(ctx context.Context) error {
	kinds := slices.DeleteFunc(slices.Clone(faults), func(f fault) bool {
		return len(t.opts.Only) > 0 && !slices.Contains(t.opts.Only, f.name)
	})
	if len(kinds) == 0 {
		return fmt.Errorf("none of the faults is called %q", t.opts.Only)
	}
	for t.now() < t.opts.Length {
		if !registry.Sleep(ctx, time.Duration(200+t.r.IntN(600))*time.Millisecond) {
			return ctx.Err()
		}
		f, d := kinds[t.r.IntN(len(kinds))], time.Duration(300+t.r.IntN(1500))*time.Millisecond
		who := "any"
		r := t.all[t.r.IntN(replicas)]
		if t.r.IntN(2) == 0 {
			who, r = "leader", t.leader(ctx)
		}
		name := fmt.Sprintf("%v %s: %s of %s for %v", t.now().Round(time.Millisecond), who, f.name, r.ID, d)
		t.opts.Log.Info("fault", "what", name)
		t.res.Faults = append(t.res.Faults, name)
		if err := f.do(t, ctx, r, d); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if strings.Contains(f.name, "log") || strings.Contains(f.name, "folder") {
			continue
		}
		// Losing a folder is safe only while the others have it all, so each fault is over before the next.
		if err := await(ctx, "the service after "+f.name, func() bool { return t.voters(ctx, replicas) }); err != nil {
			t.res.Problems = append(t.res.Problems, err.Error())
		}
	}
	return nil
}

// judge restores a backup as a last thing, waits for the watchers, and checks all that was seen.
func (t *trial) judge(ctx context.Context, c *directory.AdminClient, unwatch func()) error {
	c.RetryFor = settleWait
	truth := map[int64]Truth{}
	before, err := t.truth(ctx, c)
	if err != nil {
		return err
	}
	if t.r.IntN(2) == 0 { // the backup is of before the last writes
		saved, _, err := c.Backup(ctx, true)
		if err != nil {
			return err
		}
		for i := range 5 {
			if _, err := c.Put(ctx, []catalog.Endpoint{t.endpoint(fmt.Sprint("x", i), 0)}, false, false, "*"); err != nil {
				return fmt.Errorf("a write after the faults: %w", err)
			}
		}
		if before, err = t.truth(ctx, c); err != nil {
			return err
		}
		image, err := directory.DecodeBackup(strings.NewReader(string(saved)))
		if err != nil {
			return err
		}
		if _, err := c.Restore(ctx, saved); err != nil {
			return fmt.Errorf("the restore: %w", err)
		}
		st, err := operator(t.leader(ctx)).Status(ctx)
		if err != nil {
			return err
		}
		state, err := catalog.Load(image)
		if err != nil {
			return err
		}
		truth[st.History] = Truth{From: state.FullList()}
	}
	truth[before.history] = before.Truth
	t.res.Histories = len(truth)
	t.res.Revisions = int64(len(before.Changes))
	var bad []string
	err = await(ctx, "the end of the list at every watcher", func() bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		bad = Watches(truth, t.told)
		return len(bad) == 0
	})
	unwatch()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		t.res.Problems = append(t.res.Problems, bad...)
	}
	for _, w := range t.told {
		t.res.Told += len(w)
	}
	t.res.Problems = append(t.res.Problems, Writes(before.Truth, t.ops)...)
	t.res.Leases = len(t.held)
	t.res.Problems = append(t.res.Problems, Leases(t.held)...)
	t.res.Problems = append(t.res.Problems, Linearizable(t.ops, checkLimit)...)
	if len(t.res.Problems) > 0 {
		raw, err := json.Marshal(map[string]any{"ops": t.ops, "told": t.told, "truth": truth, "held": t.held})
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(t.opts.Dir, "seen.json"), raw, 0o600)
	}
	return nil
}

// agreed is a history as the service has it.
type agreed struct {
	history int64
	Truth
}

// truth reads all changes from the first on.
func (t *trial) truth(ctx context.Context, c *directory.AdminClient) (agreed, error) {
	a := agreed{Truth: Truth{From: catalog.List{Members: []catalog.Endpoint{}}}}
	now, _, _, err := c.List(ctx, true)
	if err != nil {
		return a, err
	}
	lead := operator(t.leader(ctx))
	lead.RetryFor = settleWait
	for after := int64(0); ; {
		h, err := lead.History(ctx, after, 1000)
		if err != nil {
			return a, err
		}
		if !h.All {
			return a, errors.New("the service no longer has all changes of the trial")
		}
		a.history = h.History
		a.Changes = append(a.Changes, h.Changes...)
		if len(h.Changes) == 0 && h.Revision < now.Revision { // no longer the leader
			lead = operator(t.leader(ctx))
			registry.Sleep(ctx, operatorPause)
			continue
		}
		if len(h.Changes) == 0 {
			return a, nil
		}
		after = h.Changes[len(h.Changes)-1].Revision
	}
}
