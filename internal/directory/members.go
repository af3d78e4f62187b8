package directory

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/hashicorp/raft"

	"starlingusher/fleet/catalog"
	"starlingusher/internal/sysretry"
)

// decideBootstrap asks the other replicas about the service until it is clear whether this one must bootstrap
// it. A replica that may have been a member before, and has lost its data, is removed first: it may have
// voted, and could vote again for a candidate that has less.
func (r *Replica) decideBootstrap() (bootstrap bool, err error) {
	if len(r.cfg.Peers) == 0 {
		return true, nil
	}
	for warned := false; ; warned = true {
		unbootstrapped := 0
		for _, p := range r.cfg.Peers {
			status, err := r.peerStatus(p.HTTP)
			switch {
			case err != nil:
				continue
			case !status.Bootstrapped:
				unbootstrapped++
				continue
			}
			var reply joinReply
			err = r.callPeer(http.MethodPost, p.HTTP, "/directory/join", joinRequest{Replica: r.ownAddresses(), Fresh: true}, &reply)
			if err == nil {
				r.log.Info("joining", "through", p.ID)
				return false, nil
			}
			if !warned {
				r.log.Warn("joining the service failed", "through", p.ID, "err", err)
			}
		}
		isFirst := !slices.ContainsFunc(r.cfg.Peers, func(p Peer) bool { return p.ID < r.cfg.ID })
		if isFirst && unbootstrapped == len(r.cfg.Peers) {
			r.log.Info("bootstrapping the service")
			return true, nil
		}
		if !warned {
			r.log.Warn("waiting for the other replicas", "new", unbootstrapped, "of", len(r.cfg.Peers))
		}
		if !sysretry.Sleep(r.ctx, joinRetryInterval) {
			return false, r.ctx.Err()
		}
	}
}

// joinUntilVoter asks to join until the leader confirms that this replica is a voter. The replica's own
// configuration may date from before it was removed.
func (r *Replica) joinUntilVoter() {
	for sysretry.Sleep(r.ctx, joinRetryInterval) {
		for _, p := range r.cfg.Peers {
			var reply joinReply
			err := r.callPeer(http.MethodPost, p.HTTP, "/directory/join", joinRequest{Replica: r.ownAddresses(), Applied: r.raftNode().AppliedIndex()}, &reply)
			if errors.Is(err, errNotMember) {
				r.reportFailure(fmt.Errorf("%w; `cottonrack directory member add` allows it to join again", ErrRemoved))
				return
			}
			if reply.Votes {
				return
			}
			if err == nil {
				break
			}
			r.log.Debug("not admitted yet", "through", p.ID, "err", err)
		}
	}
}

func (r *Replica) ownAddresses() catalog.Replica {
	return catalog.Replica{ID: r.cfg.ID, HTTP: r.cfg.HTTP, Raft: r.cfg.Raft}
}

func (r *Replica) raftServers() []raft.Server {
	node := r.raftNode()
	if node == nil {
		return nil
	}
	f := node.GetConfiguration()
	if f.Error() != nil {
		return nil
	}
	return f.Configuration().Servers
}

type joinRequest struct {
	catalog.Replica
	Fresh   bool   `json:"fresh"`   // has no data, and must be removed before it joins
	Applied uint64 `json:"applied"` // index of the last entry that it has applied
}

type joinReply struct {
	Votes bool `json:"votes"`
}

// addMember takes a replica in, one step per call: it removes a fresh one that was a member before, adds it
// as a nonvoter, and makes it a voter once it has nearly caught up. Only the leader can.
func (r *Replica) addMember(request joinRequest) (joinReply, error) {
	if !r.isReadyLeader() {
		return joinReply{}, fmt.Errorf("%w: this replica does not lead yet", ErrRefused)
	}
	invited := false
	r.fsm.view(func(s *catalog.State) { _, invited = s.Replicas()[request.ID] })
	if !invited {
		return joinReply{}, fmt.Errorf("replica %.40q is not allowed to join (see cottonrack directory member add): %w", request.ID, catalog.ErrNotFound)
	}
	node := r.raftNode()
	servers := r.raftServers()
	index := slices.IndexFunc(servers, func(s raft.Server) bool { return string(s.ID) == request.ID })
	id, address := raft.ServerID(request.ID), raft.ServerAddress(request.Raft)
	var future raft.Future
	switch {
	case request.Fresh && index < 0:
		return joinReply{}, nil
	case request.Fresh:
		r.log.Warn("a replica has lost its data; removing it so that it joins anew", "replica", request.ID)
		future = node.RemoveServer(id, 0, enqueueTimeout)
	case index < 0:
		r.log.Info("adding a replica without a vote", "replica", request.ID)
		future = node.AddNonvoter(id, address, 0, enqueueTimeout)
	case servers[index].Suffrage == raft.Voter:
		return joinReply{Votes: true}, nil
	case request.Applied+maxVoterLag < node.CommitIndex():
		return joinReply{}, nil
	default:
		r.log.Info("a replica has caught up; making it a voter", "replica", request.ID)
		future = node.AddVoter(id, address, 0, enqueueTimeout)
	}
	if err := future.Error(); err != nil {
		return joinReply{}, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return joinReply{Votes: index >= 0 && !request.Fresh}, nil
}

// callPeer sends a small request to another replica and decodes the response.
func (r *Replica) callPeer(method, address, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(r.ctx, peerTimeout+enqueueTimeout)
	defer cancel()
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	resp, err := r.peerClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err = io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusForbidden {
		return fmt.Errorf("%w: %s", errNotMember, bytes.TrimSpace(raw))
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", resp.Status, bytes.TrimSpace(raw))
	}
	return json.Unmarshal(raw, into)
}

func (r *Replica) peerStatus(address string) (Status, error) {
	var status Status
	return status, r.callPeer(http.MethodGet, address, "/directory/status", nil, &status)
}
