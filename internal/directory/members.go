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
		if !registry.Sleep(r.ctx, askPeers) {
			return false, r.ctx.Err()
		}
	}
}

// stay asks to be a part of the service until the leader says that this replica has a vote: what it has itself may be
// a configuration of before it was taken out.
func (r *Replica) stay() {
	for registry.Sleep(r.ctx, askPeers) {
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
