package directory

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"starlingusher/fleet/catalog"
	"starlingusher/internal/sysretry"
)

// runLeadership runs the leader's work while this replica leads.
func (r *Replica) runLeadership(leadership <-chan bool) {
	var work sync.WaitGroup
	defer work.Wait()
	stop := context.CancelFunc(func() {})
	defer func() { stop() }()
	for {
		select {
		case <-r.ctx.Done():
			return
		case leading := <-leadership:
			stop()
			work.Wait()
			if !leading {
				r.log.Info("no longer the leader")
				continue
			}
			ctx, cancel := context.WithCancel(r.ctx)
			stop = cancel
			work.Go(func() {
				defer cancel()
				r.runLeader(ctx)
			})
		}
	}
}

// runLeader bootstraps the service if it is new, and then proposes what becomes due over time.
func (r *Replica) runLeader(ctx context.Context) {
	node := r.raftNode()
	for node.Barrier(enqueueTimeout).Error() != nil {
		if !sysretry.Sleep(ctx, pollInterval) {
			return
		}
	}
	position, _ := r.fsm.position()
	for position.history == 0 {
		if _, err := r.propose(catalog.Command{By: r.cfg.ID, Bootstrap: &catalog.Bootstrap{Replicas: r.cfg.replicas()}}); err != nil && !sysretry.Sleep(ctx, pollInterval) {
			return
		}
		position, _ = r.fsm.position()
	}
	r.log.Info("leading", "history", position.history, "revision", position.revision)
	since := time.Now()
	r.mu.Lock()
	r.leases = catalog.NewLeaseManager(r.cfg.Lease.MaxExpiredShare, r.cfg.Lease.DrainTime.Duration, r.cfg.Guard.ConfirmAfter.Duration)
	r.leasesSince = since
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.leases = nil
		r.mu.Unlock()
	}()
	var source sync.WaitGroup
	defer source.Wait()
	if r.cfg.Source.Discovery != "" {
		source.Go(func() { r.followSource(ctx) })
	}
	for {
		_, changed := r.fsm.position()
		wait := r.proposeDue(since)
		timer := time.NewTimer(max(wait, pollInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-changed:
			timer.Stop()
			if !sysretry.Sleep(ctx, pollInterval) { // batches changes
				return
			}
		}
	}
}

// proposeDue proposes the commands that are due, and returns how long to wait before the next look.
func (r *Replica) proposeDue(since time.Time) (wait time.Duration) {
	r.expiryOrder.Lock()
	defer r.expiryOrder.Unlock()
	var due []catalog.Command
	r.mu.Lock()
	r.fsm.view(func(s *catalog.State) { due, wait = r.leases.DueCommands(s, time.Since(since)) })
	r.mu.Unlock()
	for _, c := range due {
		if res, err := r.propose(c); err != nil || res.Err != nil {
			r.log.Warn("due command failed", "err", errors.Join(err, res.Err))
		}
	}
	return wait
}

// propose replicates a command and applies it. Only the leader can; an error is ErrRefused or ErrAmbiguous.
// The error of a command that was replicated but not applied is in the result, as is that of one which can't be replicated.
func (r *Replica) propose(c catalog.Command) (catalog.Result, error) {
	node := r.raftNode()
	if node == nil {
		return catalog.Result{}, fmt.Errorf("%w: this replica has not started Raft yet", ErrRefused)
	}
	c.At = time.Now().UnixMilli()
	raw, err := encodeCommand(c)
	if errors.Is(err, catalog.ErrInvalid) {
		return catalog.Result{Err: err}, nil // as if it had been replicated and rejected
	}
	if err != nil {
		return catalog.Result{}, err
	}
	if r.unwritable.Load() {
		return catalog.Result{}, fmt.Errorf("%w: the leader can't write to its folder", ErrRefused)
	}
	future := node.Apply(raw, enqueueTimeout)
	committed := make(chan error, 1)
	go func() { committed <- future.Error() }() // Raft may block on its disk
	timeout := time.NewTimer(commitTimeout)
	defer timeout.Stop()
	select {
	case err = <-committed:
	case <-timeout.C:
		return catalog.Result{}, fmt.Errorf("%w: no majority within %v", ErrAmbiguous, commitTimeout)
	}
	switch {
	case err == nil:
		res, ok := future.Response().(catalog.Result)
		if !ok {
			return res, fmt.Errorf("%w: unexpected result type %T", ErrAmbiguous, future.Response())
		}
		return res, nil
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrEnqueueTimeout), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		return catalog.Result{}, fmt.Errorf("%w: %w", ErrRefused, err)
	default: // leadership was lost, or the log could not be written, after the command was sent
		return catalog.Result{}, fmt.Errorf("%w: %w", ErrAmbiguous, err)
	}
}

// leader returns the leader's ID and HTTP address; the address is empty if no leader is known.
func (r *Replica) leader() (id, address string) {
	node := r.raftNode()
	if node == nil {
		return "", ""
	}
	_, server := node.LeaderWithID()
	id = string(server)
	if id == r.cfg.ID {
		return id, r.cfg.HTTP
	}
	r.fsm.view(func(s *catalog.State) { address = s.Replicas()[id].HTTP })
	for _, p := range r.cfg.Peers {
		if p.ID == id && address == "" {
			address = p.HTTP
		}
	}
	return id, address
}

func (r *Replica) isLeader() bool {
	node := r.raftNode()
	return node != nil && node.State() == raft.Leader
}

// isReadyLeader reports whether this replica leads and has applied everything committed before its term.
func (r *Replica) isReadyLeader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leases != nil
}

// leaderContactAge returns the time since the last contact with the leader. It is 0 at the leader, which has
// contact with a majority within its lease.
func (r *Replica) leaderContactAge() time.Duration {
	node := r.raftNode()
	if node == nil || node.State() == raft.Leader {
		return 0
	}
	last := node.LastContact()
	if last.IsZero() {
		last = r.openedAt
	}
	return time.Since(last)
}

// verifyCurrent makes sure that this replica leads and has applied everything committed before the call.
func (r *Replica) verifyCurrent() error {
	node := r.raftNode()
	if node == nil || node.State() != raft.Leader {
		return fmt.Errorf("%w: this replica does not lead", ErrRefused)
	}
	if err := node.Barrier(enqueueTimeout).Error(); err != nil {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return nil
}

// renewLeases records renewals of endpoints and records. It fails unless this replica still leads, because
// another leader would not know of them.
func (r *Replica) renewLeases(ids []string, records []catalog.RecordOp) (unknown []string, err error) {
	node := r.raftNode()
	if node == nil {
		return nil, ErrRefused
	}
	if err := node.VerifyLeader().Error(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leases == nil {
		return nil, fmt.Errorf("%w: this replica does not lead yet", ErrRefused)
	}
	now := time.Since(r.leasesSince)
	r.fsm.view(func(s *catalog.State) {
		for _, id := range ids {
			if r.leases.Renew(s, id, now) != nil {
				unknown = append(unknown, id)
			}
		}
		for _, h := range records {
			if r.leases.RenewRecord(s, h.Name, h.Token, now) != nil {
				unknown = append(unknown, h.Name)
			}
		}
	})
	return unknown, nil
}

// noteRegistration starts the lease of an endpoint.
func (r *Replica) noteRegistration(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leases != nil {
		r.leases.NoteRegistration(id, time.Since(r.leasesSince))
	}
}
