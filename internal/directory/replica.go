package directory

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"starlingusher/fleet/catalog"
)

const (
	proposeWait = 2 * time.Second // for room in the queue of writes
	agreeWait   = 4 * time.Second // for a majority; who waits for an answer has given up by then
	tick        = 100 * time.Millisecond
	askPeers    = 300 * time.Millisecond
	peerTimeout = 500 * time.Millisecond
	raftTimeout = 2 * time.Second // of one call between replicas
	nearEnough  = 64              // entries behind the leader, with which a replica may vote
	keepLogs    = 2               // snapshots
)

// Why a write has no result.
var (
	// ErrRefused says that it was surely not done.
	ErrRefused = errors.New("refused")
	// ErrUnknown says that it may have been done, or may yet be.
	ErrUnknown = errors.New("its outcome is not known")
	// ErrRemoved ends a replica that is no longer part of the service.
	ErrRemoved = errors.New("this replica was removed from the service")
)

// errForbidden says that the leader does not know this replica as one of the service.
var errForbidden = errors.New("not one of the service")

// Replica is one process's part of the service. Open starts it, Close ends all that it started.
type Replica struct {
	cfg    Config
	log    *slog.Logger
	ledger *ledger
	client *http.Client // to the other replicas
	ctx    context.Context
	cancel context.CancelFunc
	parts  sync.WaitGroup
	opened time.Time
	stuck  atomic.Bool // the folder can't be written
	failed chan error  // the first thing that it can't go on after

	mu        sync.Mutex // guards what follows
	raft      *raft.Raft // nil until it is known what this replica is
	store     *raftboltdb.BoltStore
	transport raft.Transport
	keeper    *catalog.Keeper // while it leads and has caught up
	began     time.Time       // of the keeper's clock
}

// Open makes a replica of its folder and starts it. One whose folder is empty founds the service if it is alone, or
// the first of several that are all new; otherwise it joins what is there.
func Open(cfg Config, log *slog.Logger) (*Replica, error) {
	return open(cfg, log, func(s raft.LogStore) raft.LogStore { return s })
}

// open is Open with something between Raft and its log, for tests.
func open(cfg Config, log *slog.Logger, between func(raft.LogStore) raft.LogStore) (*Replica, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(cfg.Data, 0o700); err != nil {
		return nil, fmt.Errorf("folder: %w", err)
	}
	r := &Replica{cfg: cfg, log: log, opened: time.Now(), failed: make(chan error, 1), client: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: peerTimeout}).DialContext,
		MaxIdleConnsPerHost: 64, DisableCompression: true,
	}}}
	r.ledger = newLedger(int64(cfg.Watch.Lag)<<10, r.fail)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	path := filepath.Join(cfg.Data, "log.db")
	store, err := openLog(path)
	if errors.Is(err, errDamaged) && len(cfg.Peers) > 0 { // the others have it all
		aside := fmt.Sprintf("%s/damaged-%d", cfg.Data, time.Now().UnixMilli())
		log.Error("the log is damaged; this replica begins anew from the others", "err", err, "kept", aside)
		if store, err = beginAnew(cfg.Data, aside); err != nil {
			return nil, err
		}
	}
	if errors.Is(err, errDamaged) {
		return nil, fmt.Errorf("%w; move the folder %s away, start, and restore a backup (cottonrack directory restore)", err, cfg.Data)
	}
	if err != nil {
		return nil, err
	}
	r.store = store
	r.parts.Go(func() {
		if err := r.begin(between(store)); err != nil && r.ctx.Err() == nil {
			r.fail(err)
		}
	})
	return r, nil
}

// beginAnew moves what a folder holds aside and opens a new log in it.
func beginAnew(data, aside string) (*raftboltdb.BoltStore, error) {
	if err := os.MkdirAll(aside, 0o700); err != nil {
		return nil, fmt.Errorf("folder: %w", err)
	}
	for _, name := range []string{"log.db", "snapshots"} {
		if err := os.Rename(filepath.Join(data, name), filepath.Join(aside, name)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return nil, fmt.Errorf("folder: %w", err)
		}
	}
	return openLog(filepath.Join(data, "log.db"))
}

func (r *Replica) fail(err error) {
	select {
	case r.failed <- err:
	default:
	}
}

// Failed tells, once, why the replica can't go on.
func (r *Replica) Failed() <-chan error { return r.failed }

// Close ends the replica. Its folder may be used again afterwards.
func (r *Replica) Close() error {
	r.cancel()
	r.mu.Lock()
	node, store, transport := r.raft, r.store, r.transport
	r.mu.Unlock()
	var err error
	if node != nil {
		done := make(chan error, 1)
		go func() { done <- node.Shutdown().Error() }()
		select {
		case err = <-done:
		case <-time.After(3 * time.Second): // a full disk may hold it
			return errors.New("the replica could not end its work")
		}
	}
	if t, ok := transport.(*raft.NetworkTransport); ok {
		err = errors.Join(err, t.Close())
		t.CloseStreams()
	}
	r.parts.Wait()
	r.client.CloseIdleConnections()
	return errors.Join(err, store.Close())
}

// begin finds out what this replica is, and starts Raft.
func (r *Replica) begin(logs raft.LogStore) error {
	snaps, err := raft.NewFileSnapshotStoreWithLogger(r.cfg.Data, keepLogs, r.raftLog())
	if err != nil {
		return fmt.Errorf("snapshots: %w", err)
	}
	existing, err := raft.HasExistingState(r.store, r.store, snaps)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	found := false
	if !existing {
		if found, err = r.findPlace(); err != nil {
			return err
		}
	}
	conf := raft.DefaultConfig()
	conf.LocalID = raft.ServerID(r.cfg.ID)
	conf.HeartbeatTimeout, conf.ElectionTimeout = r.cfg.Election.Duration, r.cfg.Election.Duration
	conf.LeaderLeaseTimeout = r.cfg.Election.Duration * 3 / 5
	conf.CommitTimeout = 20 * time.Millisecond
	conf.MaxAppendEntries, conf.BatchApplyCh = 256, true
	conf.SnapshotThreshold, conf.TrailingLogs = uint64(r.cfg.Snapshot.Every), uint64(r.cfg.Snapshot.Trailing)
	conf.SnapshotInterval = r.cfg.Snapshot.Interval.Duration
	conf.Logger = r.raftLog()
	conf.NoLegacyTelemetry = true
	leads := make(chan bool, 16)
	conf.NotifyCh = leads
	var transport raft.Transport
	address := raft.ServerAddress(r.cfg.Raft)
	if r.cfg.Raft == "" {
		address = "alone"
		_, transport = raft.NewInmemTransport(address)
	} else if transport, err = r.listen(); err != nil {
		return err
	}
	stable := patientStore{r.store, r.log, r.ctx.Done(), &r.stuck}
	cached, err := raft.NewLogCache(512, logs)
	if err != nil {
		return err
	}
	if found {
		only := raft.Configuration{Servers: []raft.Server{{ID: conf.LocalID, Address: address}}}
		if err := raft.BootstrapCluster(conf, cached, stable, snaps, transport, only); err != nil {
			return fmt.Errorf("founding: %w", err)
		}
	}
	r.mu.Lock()
	if r.ctx.Err() != nil {
		r.mu.Unlock()
		return r.ctx.Err()
	}
	r.transport = transport
	r.raft, err = raft.NewRaft(conf, r.ledger, cached, stable, snaps, transport)
	r.mu.Unlock()
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	r.parts.Go(func() { r.follow(leads) })
	if !found && len(r.cfg.Peers) > 0 {
		r.parts.Go(r.stay)
	}
	return nil
}

func (r *Replica) listen() (raft.Transport, error) {
	advertise, err := net.ResolveTCPAddr("tcp", r.cfg.Raft)
	if err != nil {
		return nil, fmt.Errorf("raft: %w", err)
	}
	// One call at a time to each replica: with more, a follower that can't store what it is sent leaves the leader waiting
	// for good (the sender for the decoder, which waits for a reader that has gone).
	t, err := raft.NewTCPTransportWithConfig(cmp.Or(r.cfg.BindRaft, r.cfg.Raft), advertise, &raft.NetworkTransportConfig{
		MaxPool: 3, Timeout: raftTimeout, Logger: r.raftLog(), MaxRPCsInFlight: 1,
	})
	if err != nil {
		return nil, fmt.Errorf("raft: %w", err)
	}
	return t, nil
}

// raftLog hands Raft's lines on to the log.
func (r *Replica) raftLog() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, JSONFormat: true, Output: lineLog{r.log}})
}

type lineLog struct{ log *slog.Logger }

// Write takes one line of JSON.
func (l lineLog) Write(p []byte) (int, error) {
	var m map[string]any
	if json.Unmarshal(p, &m) != nil {
		l.log.Warn(string(bytes.TrimSpace(p)))
		return len(p), nil
	}
	text, _ := m["@message"].(string)
	level := slog.LevelWarn
	if m["@level"] == "error" {
		level = slog.LevelError
	}
	var args []any
	for k, v := range m {
		if k[0] != '@' {
			args = append(args, k, v)
		}
	}
	l.log.Log(context.Background(), level, "raft: "+text, args...)
	return len(p), nil
}

// findPlace asks the other replicas what there is, until it is known whether this one founds the service. One that
// may have been part of it before, and has lost what it knew, has it taken out first: it may have voted, and would
// vote again for one who knows less.
func (r *Replica) findPlace() (found bool, err error) {
	if len(r.cfg.Peers) == 0 {
		return true, nil
	}
	for told := false; ; told = true {
		unfounded := 0
		for _, p := range r.cfg.Peers {
			st, err := r.statusOf(p.HTTP)
			switch {
			case err != nil:
				continue
			case !st.Founded:
				unfounded++
				continue
			}
			var joined joinReply
			err = r.ask(http.MethodPost, p.HTTP, "/directory/join", joinAsk{Replica: r.self(), Fresh: true}, &joined)
			if err == nil {
				r.log.Info("joining", "through", p.ID)
				return false, nil
			}
			if !told {
				r.log.Warn("can't join yet", "through", p.ID, "err", err)
			}
		}
		first := !slices.ContainsFunc(r.cfg.Peers, func(p Peer) bool { return p.ID < r.cfg.ID })
		if first && unfounded == len(r.cfg.Peers) {
			r.log.Info("founding the service")
			return true, nil
		}
		if !told {
			r.log.Warn("waiting for the other replicas", "new", unfounded, "of", len(r.cfg.Peers))
		}
		if !pause(r.ctx, askPeers) {
			return false, r.ctx.Err()
		}
	}
}

// stay asks to be a part of the service until the leader says that this replica has a vote: what it has itself may be
// a configuration of before it was taken out.
func (r *Replica) stay() {
	for pause(r.ctx, askPeers) {
		for _, p := range r.cfg.Peers {
			var joined joinReply
			err := r.ask(http.MethodPost, p.HTTP, "/directory/join", joinAsk{Replica: r.self(), Applied: r.node().AppliedIndex()}, &joined)
			if errors.Is(err, errForbidden) {
				r.fail(fmt.Errorf("%w; `cottonrack directory member add` invites it again", ErrRemoved))
				return
			}
			if joined.Votes {
				return
			}
			if err == nil {
				break
			}
			r.log.Debug("not taken in yet", "through", p.ID, "err", err)
		}
	}
}

func (r *Replica) self() catalog.Replica {
	return catalog.Replica{ID: r.cfg.ID, HTTP: r.cfg.HTTP, Raft: r.cfg.Raft}
}

// node is Raft, or nil as long as it has not begun.
func (r *Replica) node() *raft.Raft {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.raft
}

func (r *Replica) servers() []raft.Server {
	node := r.node()
	if node == nil {
		return nil
	}
	f := node.GetConfiguration()
	if f.Error() != nil {
		return nil
	}
	return f.Configuration().Servers
}

type joinAsk struct {
	catalog.Replica
	Fresh   bool   `json:"fresh"`   // it knows nothing, and must be taken out before it begins
	Applied uint64 `json:"applied"` // how far it is
}

type joinReply struct {
	Votes bool `json:"votes"`
}

// join takes a replica in, step by step: out if it is new and was in before, in without a vote, and with one once it
// is near enough. The leader does it.
func (r *Replica) join(a joinAsk) (joinReply, error) {
	if !r.settled() {
		return joinReply{}, fmt.Errorf("%w: this replica does not lead yet", ErrRefused)
	}
	invited := false
	r.ledger.read(func(s *catalog.State) { _, invited = s.Replicas()[a.ID] })
	if !invited {
		return joinReply{}, fmt.Errorf("replica %.40q is not invited (cottonrack directory member add): %w", a.ID, catalog.ErrUnknown)
	}
	node := r.node()
	servers := r.servers()
	i := slices.IndexFunc(servers, func(s raft.Server) bool { return string(s.ID) == a.ID })
	id, address := raft.ServerID(a.ID), raft.ServerAddress(a.Raft)
	var f raft.Future
	switch {
	case a.Fresh && i < 0:
		return joinReply{}, nil
	case a.Fresh:
		r.log.Warn("a replica has lost what it knew; it is taken out and joins anew", "replica", a.ID)
		f = node.RemoveServer(id, 0, proposeWait)
	case i < 0:
		r.log.Info("a replica joins", "replica", a.ID)
		f = node.AddNonvoter(id, address, 0, proposeWait)
	case servers[i].Suffrage == raft.Voter:
		return joinReply{Votes: true}, nil
	case a.Applied+nearEnough < node.CommitIndex():
		return joinReply{}, nil
	default:
		r.log.Info("a replica has caught up and votes", "replica", a.ID)
		f = node.AddVoter(id, address, 0, proposeWait)
	}
	if err := f.Error(); err != nil {
		return joinReply{}, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return joinReply{Votes: i >= 0 && !a.Fresh}, nil
}

// follow runs the leader's work for as long as this replica leads.
func (r *Replica) follow(leads <-chan bool) {
	var work sync.WaitGroup
	defer work.Wait()
	stop := context.CancelFunc(func() {})
	defer func() { stop() }()
	for {
		select {
		case <-r.ctx.Done():
			return
		case on := <-leads:
			stop()
			work.Wait()
			if !on {
				r.log.Info("no longer the leader")
				continue
			}
			ctx, end := context.WithCancel(r.ctx)
			stop = end
			work.Go(func() {
				defer end()
				r.lead(ctx)
			})
		}
	}
}

// lead founds the service if it is new, and then brings about what only time does.
func (r *Replica) lead(ctx context.Context) {
	node := r.node()
	for node.Barrier(proposeWait).Error() != nil {
		if !pause(ctx, tick) {
			return
		}
	}
	at, _ := r.ledger.at()
	for at.history == 0 {
		if _, err := r.propose(catalog.Command{By: r.cfg.ID, Found: &catalog.Found{Replicas: r.cfg.replicas()}}); err != nil && !pause(ctx, tick) {
			return
		}
		at, _ = r.ledger.at()
	}
	r.log.Info("leading", "history", at.history, "revision", at.revision)
	began := time.Now()
	r.mu.Lock()
	r.keeper = catalog.NewKeeper(r.cfg.Lease.Share, r.cfg.Lease.Drain.Duration, r.cfg.Guard.Stand.Duration)
	r.began = began
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.keeper = nil
		r.mu.Unlock()
	}()
	var source sync.WaitGroup
	defer source.Wait()
	if r.cfg.Follow.Discovery != "" {
		source.Go(func() { r.takeOver(ctx) })
	}
	for {
		var due []catalog.Command
		wait := time.Hour
		_, news := r.ledger.at()
		r.mu.Lock()
		r.ledger.read(func(s *catalog.State) { due, wait = r.keeper.Due(s, time.Since(began)) })
		r.mu.Unlock()
		for _, c := range due {
			if res, err := r.propose(c); err != nil || res.Err != nil {
				r.log.Warn("what is due could not be done", "err", errors.Join(err, res.Err))
			}
		}
		t := time.NewTimer(max(wait, tick))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		case <-news:
			t.Stop()
			if !pause(ctx, tick) { // many changes are looked at together
				return
			}
		}
	}
}

// pause waits, and tells whether the context is still alive.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// propose has a command agreed on and carried out. Only the leader can; an error is ErrRefused or ErrUnknown. Why a
// command that was agreed on was not carried out stands in the result.
func (r *Replica) propose(c catalog.Command) (catalog.Result, error) {
	node := r.node()
	if node == nil {
		return catalog.Result{}, fmt.Errorf("%w: this replica has not begun", ErrRefused)
	}
	c.At = time.Now().UnixMilli()
	raw, err := seal(commandMark, c)
	if err != nil {
		return catalog.Result{}, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	if len(raw) > maxCommand {
		return catalog.Result{}, fmt.Errorf("%w: %d bytes, %d at most", ErrRefused, len(raw), maxCommand)
	}
	if r.stuck.Load() {
		return catalog.Result{}, fmt.Errorf("%w: the leader's folder can't be written", ErrRefused)
	}
	f := node.Apply(raw, proposeWait)
	agreed := make(chan error, 1)
	go func() { agreed <- f.Error() }() // Raft may hang on its disk
	limit := time.NewTimer(agreeWait)
	defer limit.Stop()
	select {
	case err = <-agreed:
	case <-limit.C:
		return catalog.Result{}, fmt.Errorf("%w: nothing was agreed on within %v", ErrUnknown, agreeWait)
	}
	switch {
	case err == nil:
		res, ok := f.Response().(catalog.Result)
		if !ok {
			return res, fmt.Errorf("%w: the state answered %T", ErrUnknown, f.Response())
		}
		return res, nil
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrEnqueueTimeout), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		return catalog.Result{}, fmt.Errorf("%w: %w", ErrRefused, err)
	default: // the leadership was lost, or the log could not be written, with the command on its way
		return catalog.Result{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
}

// leader is where the leader is reached; empty if there is none, or none is known.
func (r *Replica) leader() (id, address string) {
	node := r.node()
	if node == nil {
		return "", ""
	}
	_, server := node.LeaderWithID()
	id = string(server)
	if id == r.cfg.ID {
		return id, r.cfg.HTTP
	}
	r.ledger.read(func(s *catalog.State) { address = s.Replicas()[id].HTTP })
	for _, p := range r.cfg.Peers {
		if p.ID == id && address == "" {
			address = p.HTTP
		}
	}
	return id, address
}

func (r *Replica) leads() bool {
	node := r.node()
	return node != nil && node.State() == raft.Leader
}

// settled tells whether this replica leads and has caught up with what was agreed on before it did.
func (r *Replica) settled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keeper != nil
}

// age is for how long nothing was heard of the leader; 0 at the leader, which hears of a majority within its lease.
func (r *Replica) age() time.Duration {
	node := r.node()
	if node == nil || node.State() == raft.Leader {
		return 0
	}
	last := node.LastContact()
	if last.IsZero() {
		last = r.opened
	}
	return time.Since(last)
}

// current makes sure that this replica leads and has carried out all that was agreed on before now.
func (r *Replica) current() error {
	node := r.node()
	if node == nil || node.State() != raft.Leader {
		return fmt.Errorf("%w: this replica does not lead", ErrRefused)
	}
	if err := node.Barrier(proposeWait).Error(); err != nil {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return nil
}

// renew notes that endpoints, and holders of records, are there. This replica must still lead, for another leader
// would not know of it.
func (r *Replica) renew(ids []string, records []catalog.Hold) (unknown []string, err error) {
	node := r.node()
	if node == nil {
		return nil, ErrRefused
	}
	if err := node.VerifyLeader().Error(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.keeper == nil {
		return nil, fmt.Errorf("%w: this replica does not lead yet", ErrRefused)
	}
	now := time.Since(r.began)
	r.ledger.read(func(s *catalog.State) {
		for _, id := range ids {
			if r.keeper.Renew(s, id, now) != nil {
				unknown = append(unknown, id)
			}
		}
		for _, h := range records {
			if r.keeper.RenewRecord(s, h.Name, h.Token, now) != nil {
				unknown = append(unknown, h.Name)
			}
		}
	})
	return unknown, nil
}

// registered lets the lease of an endpoint count from now.
func (r *Replica) registered(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.keeper != nil {
		r.keeper.Registered(id, time.Since(r.began))
	}
}

// ask sends another replica something small and reads its answer.
func (r *Replica) ask(method, address, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(r.ctx, peerTimeout+proposeWait)
	defer cancel()
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err = io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusForbidden {
		return fmt.Errorf("%w: %s", errForbidden, bytes.TrimSpace(raw))
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", resp.Status, bytes.TrimSpace(raw))
	}
	return json.Unmarshal(raw, into)
}

func (r *Replica) statusOf(address string) (Status, error) {
	var st Status
	return st, r.ask(http.MethodGet, address, "/directory/status", nil, &st)
}
