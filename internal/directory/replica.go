package directory

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"starlingusher/fleet/catalog"
)

const (
	proposeWait = 2 * time.Second // for a place in Raft's queue
	agreeWait   = 4 * time.Second // for a majority; whoever waits for the answer gives up later than this
	tick        = 100 * time.Millisecond
	askPeers    = 300 * time.Millisecond
	peerTimeout = 500 * time.Millisecond
	raftTimeout = 2 * time.Second // for one call between replicas
	nearEnough  = 64              // log entries that a replica may be behind the leader when it becomes a voter
	keepLogs    = 2
)

// Errors of a write that has no result.
var (
	// ErrRefused means that the write was certainly not done.
	ErrRefused = errors.New("refused")
	// ErrAmbiguous means that the write may have been done, or may still be.
	ErrAmbiguous = errors.New("the outcome is unknown")
	// ErrRemoved ends a replica that was removed from the service.
	ErrRemoved = errors.New("this replica was removed from the service")
)

// errNotMember means that the leader does not know this replica as a member of the service.
var errForbidden = errors.New("not a member of the service")

// Replica is one process of the service. Open starts it, and Close ends everything that it started.
type Replica struct {
	cfg    Config
	log    *slog.Logger
	ledger *ledger
	client *http.Client // for the other replicas
	ctx    context.Context
	cancel context.CancelFunc
	parts  sync.WaitGroup
	opened time.Time
	stuck  atomic.Bool // the folder can't be written
	failed chan error  // holds the first error that the replica can't recover from

	mu        sync.Mutex // guards the fields below
	raft      *raft.Raft // nil until the replica has joined or bootstrapped the service
	store     *raftboltdb.BoltStore
	transport raft.Transport
	keeper    *catalog.LeaseManager // nil unless this replica leads and has caught up
	began     time.Time             // origin of the lease manager's clock
}

// Open starts a replica on its folder. A replica with an empty folder bootstraps the service if it is alone,
// or if it is the first of several that are all new; otherwise it joins the existing service.
func Open(cfg Config, log *slog.Logger) (*Replica, error) {
	return open(cfg, log, func(s raft.LogStore) raft.LogStore { return s })
}

// open is Open with a wrapper around Raft's log, for tests.
func open(cfg Config, log *slog.Logger, between func(raft.LogStore) raft.LogStore) (*Replica, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(cfg.Data, 0o700); err != nil {
		return nil, fmt.Errorf("folder: %w", err)
	}
	r := &Replica{cfg: cfg, log: log, opened: time.Now(), failed: make(chan error, 1), client: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: peerTimeout}).DialContext,
		MaxIdleConnsPerHost: 64, DisableCompression: true,
	}}}
	r.ledger = newLedger(int64(cfg.Watch.MaxLagKB)<<10, r.fail)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	path := filepath.Join(cfg.Data, "log.db")
	store, err := openLog(path)
	if errors.Is(err, errDamaged) && len(cfg.Peers) > 0 { // the other replicas have the data
		aside := fmt.Sprintf("%s/damaged-%d", cfg.Data, time.Now().UnixMilli())
		log.Error("the log is damaged; starting over with the data of the other replicas", "err", err, "kept", aside)
		if store, err = beginAnew(cfg.Data, aside); err != nil {
			return nil, err
		}
	}
	if errors.Is(err, errDamaged) {
		return nil, fmt.Errorf("%w; move the folder %s away, start the replica, and restore a backup (cottonrack directory restore)", err, cfg.Data)
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

// resetFolder moves the contents of the folder aside and creates an empty log.
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

// Failed returns a channel that receives the error, if any, after which the replica can't continue.
func (r *Replica) Failed() <-chan error { return r.failed }

// Close ends the replica. Its folder may be reused afterwards.
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
		case <-time.After(3 * time.Second): // a full disk may block it
			return errors.New("raft did not shut down in time")
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

// startRaft bootstraps or joins the service, if necessary, and starts Raft.
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
			return fmt.Errorf("bootstrap: %w", err)
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
	r.parts.Go(func() { r.watchLead(leads) })
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
	// Only one call at a time to each replica. With more, a follower that can't store entries blocks the
	// leader for good: the sender waits for the decoder, which waits for a reader that has ended.
	t, err := raft.NewTCPTransportWithConfig(cmp.Or(r.cfg.BindRaft, r.cfg.Raft), advertise, &raft.NetworkTransportConfig{
		MaxPool: 3, Timeout: raftTimeout, Logger: r.raftLog(), MaxRPCsInFlight: 1,
	})
	if err != nil {
		return nil, fmt.Errorf("raft: %w", err)
	}
	return t, nil
}

// raftLogger forwards Raft's log lines to the replica's log.
func (r *Replica) raftLog() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, JSONFormat: true, Output: lineLog{r.log}})
}

type lineLog struct{ log *slog.Logger }

// Write logs one line of JSON.
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

// raftNode returns Raft, or nil if it has not started yet.
func (r *Replica) node() *raft.Raft {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.raft
}
