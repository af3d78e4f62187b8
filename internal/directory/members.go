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
	"starlingusher/internal/registry"
)

// decideBootstrap asks the other replicas about the service until it is clear whether this one must bootstrap
// it. A replica that may have been a member before, and has lost its data, is removed first: it may have
// voted, and could vote again for a candidate that has less.
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
			case !st.Bootstrapped:
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
				r.log.Warn("joining the service failed", "through", p.ID, "err", err)
			}
		}
		first := !slices.ContainsFunc(r.cfg.Peers, func(p Peer) bool { return p.ID < r.cfg.ID })
		if first && unfounded == len(r.cfg.Peers) {
			r.log.Info("bootstrapping the service")
			return true, nil
		}
		if !told {
			r.log.Warn("waiting for the other replicas", "new", unfounded, "of", len(r.cfg.Peers))
		}
		if !registry.Sleep(r.ctx, askPeers) {
			return false, r.ctx.Err()
		}
	}
}

// joinUntilVoter asks to join until the leader confirms that this replica is a voter. The replica's own
// configuration may date from before it was removed.
func (r *Replica) stay() {
	for registry.Sleep(r.ctx, askPeers) {
		for _, p := range r.cfg.Peers {
			var joined joinReply
			err := r.ask(http.MethodPost, p.HTTP, "/directory/join", joinAsk{Replica: r.self(), Applied: r.node().AppliedIndex()}, &joined)
			if errors.Is(err, errForbidden) {
				r.fail(fmt.Errorf("%w; `cottonrack directory member add` allows it to join again", ErrRemoved))
				return
			}
			if joined.Votes {
				return
			}
			if err == nil {
				break
			}
			r.log.Debug("not admitted yet", "through", p.ID, "err", err)
		}
	}
}

func (r *Replica) self() catalog.Replica {
	return catalog.Replica{ID: r.cfg.ID, HTTP: r.cfg.HTTP, Raft: r.cfg.Raft}
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
	Fresh   bool   `json:"fresh"`   // has no data, and must be removed before it joins
	Applied uint64 `json:"applied"` // index of the last entry that it has applied
}

type joinReply struct {
	Votes bool `json:"votes"`
}

// addMember takes a replica in, one step per call: it removes a fresh one that was a member before, adds it
// as a nonvoter, and makes it a voter once it has nearly caught up. Only the leader can.
func (r *Replica) join(a joinAsk) (joinReply, error) {
	if !r.settled() {
		return joinReply{}, fmt.Errorf("%w: this replica does not lead yet", ErrRefused)
	}
	invited := false
	r.ledger.read(func(s *catalog.State) { _, invited = s.Replicas()[a.ID] })
	if !invited {
		return joinReply{}, fmt.Errorf("replica %.40q is not allowed to join (see cottonrack directory member add): %w", a.ID, catalog.ErrNotFound)
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
		r.log.Warn("a replica has lost its data; removing it so that it joins anew", "replica", a.ID)
		f = node.RemoveServer(id, 0, proposeWait)
	case i < 0:
		r.log.Info("adding a replica without a vote", "replica", a.ID)
		f = node.AddNonvoter(id, address, 0, proposeWait)
	case servers[i].Suffrage == raft.Voter:
		return joinReply{Votes: true}, nil
	case a.Applied+nearEnough < node.CommitIndex():
		return joinReply{}, nil
	default:
		r.log.Info("a replica has caught up; making it a voter", "replica", a.ID)
		f = node.AddVoter(id, address, 0, proposeWait)
	}
	if err := f.Error(); err != nil {
		return joinReply{}, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return joinReply{Votes: i >= 0 && !a.Fresh}, nil
}

// callPeer sends a small request to another replica and decodes the response.
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
