package directory

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"starlingusher/fleet/catalog"
	"starlingusher/internal/registry"
)

// runLeadership runs the leader's work while this replica leads.
func (r *Replica) watchLead(leads <-chan bool) {
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

// runLeader bootstraps the service if it is new, and then proposes what becomes due over time.
func (r *Replica) lead(ctx context.Context) {
	node := r.node()
	for node.Barrier(proposeWait).Error() != nil {
		if !registry.Sleep(ctx, tick) {
			return
		}
	}
	at, _ := r.ledger.at()
	for at.history == 0 {
		if _, err := r.propose(catalog.Command{By: r.cfg.ID, Bootstrap: &catalog.Bootstrap{Replicas: r.cfg.replicas()}}); err != nil && !registry.Sleep(ctx, tick) {
			return
		}
		at, _ = r.ledger.at()
	}
	r.log.Info("leading", "history", at.history, "revision", at.revision)
	began := time.Now()
	r.mu.Lock()
	r.keeper = catalog.NewLeaseManager(r.cfg.Lease.MaxExpiredShare, r.cfg.Lease.DrainTime.Duration, r.cfg.Guard.ConfirmAfter.Duration)
	r.began = began
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.keeper = nil
		r.mu.Unlock()
	}()
	var source sync.WaitGroup
	defer source.Wait()
	if r.cfg.Source.Discovery != "" {
		source.Go(func() { r.takeOver(ctx) })
	}
	for {
		var due []catalog.Command
		wait := time.Hour
		_, news := r.ledger.at()
		r.mu.Lock()
		r.ledger.read(func(s *catalog.State) { due, wait = r.keeper.DueCommands(s, time.Since(began)) })
		r.mu.Unlock()
		for _, c := range due {
			if res, err := r.propose(c); err != nil || res.Err != nil {
				r.log.Warn("due command failed", "err", errors.Join(err, res.Err))
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
			if !registry.Sleep(ctx, tick) { // batches changes
				return
			}
		}
	}
}

// propose replicates a command and applies it. Only the leader can; an error is ErrRefused or ErrAmbiguous.
// The error of a command that was replicated but not applied is in the result.
func (r *Replica) propose(c catalog.Command) (catalog.Result, error) {
	node := r.node()
	if node == nil {
		return catalog.Result{}, fmt.Errorf("%w: this replica has not started Raft yet", ErrRefused)
	}
	c.At = time.Now().UnixMilli()
	raw, err := seal(commandMark, c)
	if err != nil {
		return catalog.Result{}, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	if len(raw) > maxCommand {
		return catalog.Result{}, fmt.Errorf("%w: the command has %d bytes, the limit is %d", ErrRefused, len(raw), maxCommand)
	}
	if r.stuck.Load() {
		return catalog.Result{}, fmt.Errorf("%w: the leader can't write to its folder", ErrRefused)
	}
	f := node.Apply(raw, proposeWait)
	agreed := make(chan error, 1)
	go func() { agreed <- f.Error() }() // Raft may block on its disk
	limit := time.NewTimer(agreeWait)
	defer limit.Stop()
	select {
	case err = <-agreed:
	case <-limit.C:
		return catalog.Result{}, fmt.Errorf("%w: no majority within %v", ErrAmbiguous, agreeWait)
	}
	switch {
	case err == nil:
		res, ok := f.Response().(catalog.Result)
		if !ok {
			return res, fmt.Errorf("%w: unexpected result type %T", ErrAmbiguous, f.Response())
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

// isReadyLeader reports whether this replica leads and has applied everything committed before its term.
func (r *Replica) settled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keeper != nil
}

// leaderContactAge returns the time since the last contact with the leader. It is 0 at the leader, which has
// contact with a majority within its lease.
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

// verifyCurrent makes sure that this replica leads and has applied everything committed before the call.
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

// renewLeases records renewals of endpoints and records. It fails unless this replica still leads, because
// another leader would not know of them.
func (r *Replica) renew(ids []string, records []catalog.RecordOp) (unknown []string, err error) {
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

// noteRegistration starts the lease of an endpoint.
func (r *Replica) registered(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.keeper != nil {
		r.keeper.NoteRegistration(id, time.Since(r.began))
	}
}
