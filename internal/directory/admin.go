package directory

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/raft"

	"starlingusher/fleet/catalog"
)

// Status is the status of a replica.
type Status struct {
	ID                  string             `json:"id"`
	Bootstrapped        bool               `json:"founded"` // is or was a member of a service
	State               string             `json:"state"`   // leader, follower, candidate, shutdown or beginning
	Leader              string             `json:"leader"`  // empty: unknown
	Fresh               bool               `json:"fresh"`   // the replica leads and is current
	History             int64              `json:"history"`
	Revision            int64              `json:"revision"`
	Endpoints           int                `json:"endpoints"`
	AgeMS               int64              `json:"age_ms"` // since the last contact with the leader
	Watches             int                `json:"watches"`
	Held                *catalog.HeldWrite `json:"held,omitempty"`
	SourceSilentSinceMS int64              `json:"silent_since_ms,omitempty"` // Unix ms since when the source of the list has been silent
	Follows             string             `json:"follows,omitempty"`
	MapNumber           int64              `json:"map,omitempty"`       // number of the partition map in force; 0: none
	MapError            string             `json:"map_wrong,omitempty"` // why the current value of the map's record is not in force
	Applied             uint64             `json:"applied"`
	Members             []MemberState      `json:"members"`
}

// MemberState is a replica of the service and its role in Raft.
type MemberState struct {
	catalog.Replica
	Votes  bool `json:"votes"`
	InRaft bool `json:"in"` // part of Raft's configuration; otherwise it is only allowed to join
}

func (s *Server) status(w http.ResponseWriter, req *http.Request) {
	answer(w, http.StatusOK, s.statusNow(req.URL.Query().Get("fresh") == "1"))
}

func (s *Server) statusNow(fresh bool) Status {
	r := s.r
	st := Status{ID: r.cfg.ID, State: "beginning", Watches: s.watches.count(), Follows: r.cfg.Source.Discovery, AgeMS: r.age().Milliseconds()}
	servers := map[string]raft.Server{}
	if node := r.node(); node != nil {
		st.State, st.Applied = node.State().String(), node.AppliedIndex()
		for _, srv := range r.servers() {
			servers[string(srv.ID)] = srv
		}
		st.Bootstrapped = len(servers) > 0
		st.Fresh = fresh && r.current() == nil
	}
	st.Leader, _ = r.leader()
	m := r.ledger.theMap()
	st.MapNumber, st.MapError = m.number, m.wrong
	r.ledger.read(func(c *catalog.State) {
		st.History, st.Revision, st.Endpoints, st.SourceSilentSinceMS = c.History(), c.Revision(), c.Size(), c.SourceSilentSince()
		if h := c.Held(); h != nil {
			held := *h
			st.Held = &held
		}
		for id, rep := range c.Replicas() {
			srv, in := servers[id]
			st.Members = append(st.Members, MemberState{rep, in && srv.Suffrage == raft.Voter, in})
		}
	})
	slices.SortFunc(st.Members, func(a, b MemberState) int { return cmp.Compare(a.ID, b.ID) })
	return st
}

func (s *Server) history(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	after, err := number(q.Get("after"), -1)
	limit, err2 := number(q.Get("limit"), defaultTurns)
	if err := errors.Join(err, err2); err != nil || limit < 1 || limit > maxHistory {
		if err == nil {
			err = fmt.Errorf("limit must be 1 to %d", maxHistory)
		}
		wrong(w, http.StatusBadRequest, err)
		return
	}
	var out ChangeHistory
	s.r.ledger.read(func(c *catalog.State) {
		out.History, out.Revision = c.History(), c.Revision()
		if after < 0 { // the latest changes
			after = max(c.Revision()-limit, 0)
		}
		out.Changes, out.All = c.ChangesAfter(after)
		out.Changes = append([]catalog.Change{}, out.Changes[:min(int64(len(out.Changes)), limit)]...)
	})
	answer(w, http.StatusOK, out)
}

// serveBackup sends a backup of the current state if the request asks for a fresh one, else of this replica's
// state.
func (s *Server) backup(w http.ResponseWriter, req *http.Request) {
	if s.elsewhere(w, req) {
		return
	}
	var image catalog.Image
	s.r.ledger.read(func(c *catalog.State) { image = c.Image() })
	raw, err := EncodeBackup(image)
	if err != nil {
		wrong(w, http.StatusInternalServerError, err)
		return
	}
	s.mark(w, position{image.History, image.Revision})
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.Write(raw)
}

func (s *Server) restore(w http.ResponseWriter, req *http.Request) {
	raw, ok := body(w, req, maxCommand/2)
	if !ok {
		return
	}
	image, err := DecodeBackup(bytes.NewReader(raw))
	if err != nil {
		wrong(w, http.StatusBadRequest, err)
		return
	}
	s.command(w, req, raw, func() (catalog.Command, error) {
		if n, most := len(image.Entries), s.r.cfg.List.MaxEndpoints; n > most {
			return catalog.Command{}, fmt.Errorf("%w: the backup has %d endpoints, the list is limited to %d", catalog.ErrFull, n, most)
		}
		return catalog.Command{Restore: &image}, nil
	})
}

func (s *Server) confirm(w http.ResponseWriter, req *http.Request) {
	n, err := number(req.PathValue("number"), 0)
	if err != nil {
		wrong(w, http.StatusBadRequest, err)
		return
	}
	s.command(w, req, nil, func() (catalog.Command, error) {
		return catalog.Command{Confirm: &catalog.Confirm{Number: n, Drop: req.URL.Query().Get("drop") == "1"}}, nil
	})
}

func (s *Server) join(w http.ResponseWriter, req *http.Request) {
	var ask joinAsk
	if !s.leaderReads(w, req, &ask) {
		return
	}
	reply, err := s.r.join(ask)
	switch {
	case errors.Is(err, catalog.ErrNotFound):
		wrong(w, http.StatusForbidden, err)
	case err != nil:
		later(w, time.Second, oneLine(err))
	default:
		answer(w, http.StatusOK, reply)
	}
}

// serveAddReplica allows a replica to join.
func (s *Server) invite(w http.ResponseWriter, req *http.Request) {
	raw, ok := body(w, req, maxWrite)
	if !ok {
		return
	}
	s.command(w, req, raw, func() (catalog.Command, error) {
		var rep catalog.Replica
		if err := strict(raw, &rep); err != nil {
			return catalog.Command{}, err
		}
		if rep.ID != req.PathValue("id") || rep.HTTP == "" || rep.Raft == "" {
			return catalog.Command{}, errors.New("id (as in the path), http and raft are required")
		}
		return catalog.Command{AddReplica: &rep}, nil
	})
}

// serveRemoveReplica removes a replica from Raft's configuration and forbids it to join again.
func (s *Server) dismiss(w http.ResponseWriter, req *http.Request) {
	if s.passOn(w, req, nil) {
		return
	}
	id := req.PathValue("id")
	if id == s.r.cfg.ID {
		wrong(w, http.StatusConflict, fmt.Errorf("replica %q leads; stop its process first, so that another one leads", id))
		return
	}
	s.command(w, req, nil, func() (catalog.Command, error) {
		if err := s.r.node().RemoveServer(raft.ServerID(id), 0, proposeWait).Error(); err != nil {
			return catalog.Command{}, fmt.Errorf("%w: %w", ErrRefused, err)
		}
		return catalog.Command{RemoveReplica: &catalog.Replica{ID: id}}, nil
	})
}
