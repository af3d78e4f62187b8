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
	enqueueTimeout    = 2 * time.Second // for a place in the queue of Raft
	commitTimeout     = 4 * time.Second // for a majority to store the command; callers wait longer than this for the response
	pollInterval      = 100 * time.Millisecond
	joinRetryInterval = 300 * time.Millisecond
	peerTimeout       = 500 * time.Millisecond
	raftRPCTimeout    = 2 * time.Second // for one call between replicas
	maxVoterLag       = 64              // log entries that a replica may be behind the leader when it becomes a voter
	retainedSnapshots = 2
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
var errNotMember = errors.New("not a member of the service")

// Replica is one process of the service. Open starts it, and Close ends everything that it started.
type Replica struct {
	cfg        Config
	log        *slog.Logger
	fsm        *fsm
	peerClient *http.Client // for the other replicas
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	openedAt   time.Time
	unwritable atomic.Bool // the data folder can't be written
	failed     chan error  // holds the first error that the replica can't recover from

	// expiryOrder is held for reading by a registration from its proposal until its lease has begun, and for writing by the
	// leader from its look at the leases until the outcome of what it proposes: no expiry follows a registration in the log
	// that it does not know of.
	expiryOrder sync.RWMutex

	mu          sync.Mutex // guards the fields below
	raft        *raft.Raft // nil until the replica has joined or bootstrapped the service
	store       *raftboltdb.BoltStore
	transport   raft.Transport
	leases      *catalog.LeaseManager // nil unless this replica leads and has caught up
	leasesSince time.Time             // origin of the lease manager's clock
}

// Open starts a replica on its data folder. A replica with an empty folder bootstraps the service if it is alone,
// or if it is the first of several that are all new; otherwise it joins the existing service.
func Open(cfg Config, log *slog.Logger) (*Replica, error) {
	return open(cfg, log, func(s raft.LogStore) raft.LogStore { return s })
}

// open is Open with a wrapper around Raft's log, for tests.
func open(cfg Config, log *slog.Logger, wrapLog func(raft.LogStore) raft.LogStore) (*Replica, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(cfg.Data, 0o700); err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	r := &Replica{cfg: cfg, log: log, openedAt: time.Now(), failed: make(chan error, 1), peerClient: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: peerTimeout}).DialContext,
		MaxIdleConnsPerHost: 64, DisableCompression: true,
	}}}
	r.fsm = newFSM(int64(cfg.Watch.MaxLagKB)<<10, r.reportFailure, func(err error) { log.Error("a command is skipped, by all replicas alike", "err", err) })
	r.ctx, r.cancel = context.WithCancel(context.Background())
	path := filepath.Join(cfg.Data, "log.db")
	store, err := openLog(path)
	if errors.Is(err, errDamaged) && len(cfg.Peers) > 0 { // the other replicas have the data
		aside := fmt.Sprintf("%s/damaged-%d", cfg.Data, time.Now().UnixMilli())
		log.Error("the log is damaged; starting over with the data of the other replicas", "err", err, "kept", aside)
		if store, err = resetFolder(cfg.Data, aside); err != nil {
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
	r.goroutines.Go(func() {
		if err := r.startRaft(wrapLog(store)); err != nil && r.ctx.Err() == nil {
			r.reportFailure(err)
		}
	})
	return r, nil
}

// resetFolder moves the log and the snapshots of the data folder to the folder aside, and creates an empty log.
func resetFolder(folder, aside string) (*raftboltdb.BoltStore, error) {
	if err := os.MkdirAll(aside, 0o700); err != nil {
		return nil, fmt.Errorf("move damaged data aside: %w", err)
	}
	for _, name := range []string{"log.db", "snapshots"} {
		if err := os.Rename(filepath.Join(folder, name), filepath.Join(aside, name)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return nil, fmt.Errorf("move damaged data aside: %w", err)
		}
	}
	return openLog(filepath.Join(folder, "log.db"))
}

// reportFailure passes an error to Failed, unless there has been one before.
func (r *Replica) reportFailure(err error) {
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
			return errors.New("raft did not shut down within 3 s")
		}
	}
	if t, ok := transport.(*raft.NetworkTransport); ok {
		err = errors.Join(err, t.Close())
		t.CloseStreams()
	}
	r.goroutines.Wait()
	r.peerClient.CloseIdleConnections()
	return errors.Join(err, store.Close())
}

// startRaft bootstraps or joins the service, if necessary, and starts Raft.
func (r *Replica) startRaft(log raft.LogStore) error {
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(r.cfg.Data, retainedSnapshots, r.raftLogger())
	if err != nil {
		return fmt.Errorf("snapshots: %w", err)
	}
	existing, err := raft.HasExistingState(r.store, r.store, snapshots)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	bootstrap := false
	if !existing {
		if bootstrap, err = r.decideBootstrap(); err != nil {
			return err
		}
	}
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(r.cfg.ID)
	config.HeartbeatTimeout, config.ElectionTimeout = r.cfg.Election.Duration, r.cfg.Election.Duration
	config.LeaderLeaseTimeout = r.cfg.Election.Duration * 3 / 5
	config.CommitTimeout = 20 * time.Millisecond
	config.MaxAppendEntries, config.BatchApplyCh = 256, true
	config.SnapshotThreshold, config.TrailingLogs = uint64(r.cfg.Snapshot.Every), uint64(r.cfg.Snapshot.Trailing)
	config.SnapshotInterval = r.cfg.Snapshot.Interval.Duration
	config.Logger = r.raftLogger()
	config.NoLegacyTelemetry = true
	leadership := make(chan bool, 16)
	config.NotifyCh = leadership
	var transport raft.Transport
	address := raft.ServerAddress(r.cfg.Raft)
	if r.cfg.Raft == "" {
		address = "alone"
		_, transport = raft.NewInmemTransport(address)
	} else if transport, err = r.newTransport(); err != nil {
		return err
	}
	stable := retryingStore{r.store, r.log, r.ctx.Done(), &r.unwritable}
	cachedLog, err := raft.NewLogCache(512, log)
	if err != nil {
		return err
	}
	if bootstrap {
		single := raft.Configuration{Servers: []raft.Server{{ID: config.LocalID, Address: address}}}
		if err := raft.BootstrapCluster(config, cachedLog, stable, snapshots, transport, single); err != nil {
			return fmt.Errorf("bootstrap: %w", err)
		}
	}
	r.mu.Lock()
	if r.ctx.Err() != nil {
		r.mu.Unlock()
		return r.ctx.Err()
	}
	r.transport = transport
	r.raft, err = raft.NewRaft(config, r.fsm, cachedLog, stable, snapshots, transport)
	r.mu.Unlock()
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	r.goroutines.Go(func() { r.runLeadership(leadership) })
	if !bootstrap && len(r.cfg.Peers) > 0 {
		r.goroutines.Go(r.joinUntilVoter)
	}
	return nil
}

func (r *Replica) newTransport() (raft.Transport, error) {
	advertise, err := net.ResolveTCPAddr("tcp", r.cfg.Raft)
	if err != nil {
		return nil, fmt.Errorf("raft: %w", err)
	}
	// Only one call at a time to each replica. With more, a follower that can't store entries blocks the
	// leader for good: the sender waits for the decoder, which waits for a reader that has ended.
	t, err := raft.NewTCPTransportWithConfig(cmp.Or(r.cfg.BindRaft, r.cfg.Raft), advertise, &raft.NetworkTransportConfig{
		MaxPool: 3, Timeout: raftRPCTimeout, Logger: r.raftLogger(), MaxRPCsInFlight: 1,
	})
	if err != nil {
		return nil, fmt.Errorf("raft: %w", err)
	}
	return t, nil
}

// raftLogger forwards Raft's log lines to the replica's log.
func (r *Replica) raftLogger() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, JSONFormat: true, Output: jsonLogWriter{r.log}})
}

// jsonLogWriter writes JSON log lines of Raft to the replica's log.
type jsonLogWriter struct{ log *slog.Logger }

// Write logs one line of JSON, or the bare text if it is not JSON.
func (l jsonLogWriter) Write(p []byte) (int, error) {
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
func (r *Replica) raftNode() *raft.Raft {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.raft
}
