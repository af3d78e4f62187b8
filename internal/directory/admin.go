package directory

import (
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
	MapNumber           int64              `json:"map,omitempty"`       // number of the ownership map in force; 0: none
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

func (s *Server) serveStatus(w http.ResponseWriter, req *http.Request) {
	writeJSON(w, http.StatusOK, s.currentStatus(req.URL.Query().Get("fresh") == "1"))
}

func (s *Server) currentStatus(fresh bool) Status {
	r := s.replica
	status := Status{ID: r.cfg.ID, State: "beginning", Watches: s.watches.count(), Follows: r.cfg.Source.Discovery, AgeMS: r.leaderContactAge().Milliseconds()}
	servers := map[string]raft.Server{}
	if node := r.raftNode(); node != nil {
		status.State, status.Applied = node.State().String(), node.AppliedIndex()
		for _, srv := range r.raftServers() {
			servers[string(srv.ID)] = srv
		}
		status.Bootstrapped = len(servers) > 0
		status.Fresh = fresh && r.verifyCurrent() == nil
	}
	status.Leader, _ = r.leader()
	m := r.fsm.currentMap()
	status.MapNumber, status.MapError = m.number, m.invalid
	r.fsm.view(func(c *catalog.State) {
		status.History, status.Revision, status.Endpoints, status.SourceSilentSinceMS = c.History(), c.Revision(), c.Size(), c.SourceSilentSince()
		if h := c.Held(); h != nil {
			held := *h
			status.Held = &held
		}
		for id, member := range c.Replicas() {
			srv, inRaft := servers[id]
			status.Members = append(status.Members, MemberState{member, inRaft && srv.Suffrage == raft.Voter, inRaft})
		}
	})
	slices.SortFunc(status.Members, func(a, b MemberState) int { return cmp.Compare(a.ID, b.ID) })
	return status
}

func (s *Server) serveHistory(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	after, err := parseNumber(q.Get("after"), -1)
	limit, err2 := parseNumber(q.Get("limit"), defaultHistoryLimit)
	if err := errors.Join(err, err2); err != nil || limit < 1 || limit > maxHistoryLimit {
		if err == nil {
			err = fmt.Errorf("limit must be 1 to %d", maxHistoryLimit)
		}
		writeError(w, http.StatusBadRequest, err)
		return
	}
	var changes ChangeHistory
	s.replica.fsm.view(func(c *catalog.State) {
		changes.History, changes.Revision = c.History(), c.Revision()
		if after < 0 { // the latest changes
			after = max(c.Revision()-limit, 0)
		}
		changes.Changes, changes.All = c.ChangesAfter(after)
		changes.Changes = append([]catalog.Change{}, changes.Changes[:min(int64(len(changes.Changes)), limit)]...)
	})
	writeJSON(w, http.StatusOK, changes)
}

// serveBackup sends a backup of the current state if the request asks for a fresh one, else of this replica's
// state.
func (s *Server) serveBackup(w http.ResponseWriter, req *http.Request) {
	if s.answeredForFresh(w, req) {
		return
	}
	var image catalog.Image
	s.replica.fsm.view(func(c *catalog.State) { image = c.Image() })
	raw, err := EncodeBackup(image)
	if err != nil {
		writeError(w, http.StatusInternalServerError, err)
		return
	}
	s.setPositionHeaders(w, position{image.History, image.Revision})
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.Write(raw)
}

func (s *Server) serveConfirm(w http.ResponseWriter, req *http.Request) {
	n, err := parseNumber(req.PathValue("number"), 0)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	s.runCommand(w, req, nil, func() (catalog.Command, error) {
		return catalog.Command{Confirm: &catalog.Confirm{Number: n, Drop: req.URL.Query().Get("drop") == "1"}}, nil
	})
}

func (s *Server) serveJoin(w http.ResponseWriter, req *http.Request) {
	var request joinRequest
	if !s.decodeOnLeader(w, req, &request) {
		return
	}
	reply, err := s.replica.addMember(request)
	switch {
	case errors.Is(err, catalog.ErrNotFound):
		writeError(w, http.StatusForbidden, err)
	case err != nil:
		writeRetryLater(w, time.Second, singleLine(err))
	default:
		writeJSON(w, http.StatusOK, reply)
	}
}

// serveAddReplica allows a replica to join.
func (s *Server) serveAddReplica(w http.ResponseWriter, req *http.Request) {
	raw, ok := readBody(w, req, maxBodyBytes)
	if !ok {
		return
	}
	s.runCommand(w, req, raw, func() (catalog.Command, error) {
		var member catalog.Replica
		if err := decodeStrict(raw, &member); err != nil {
			return catalog.Command{}, err
		}
		if member.ID != req.PathValue("id") || member.HTTP == "" || member.Raft == "" {
			return catalog.Command{}, errors.New("id (as in the path), http and raft are required")
		}
		return catalog.Command{AddReplica: &member}, nil
	})
}

// serveRemoveReplica removes a replica from Raft's configuration and forbids it to join again.
func (s *Server) serveRemoveReplica(w http.ResponseWriter, req *http.Request) {
	if s.forwardToLeader(w, req, nil) {
		return
	}
	id := req.PathValue("id")
	if id == s.replica.cfg.ID {
		writeError(w, http.StatusConflict, fmt.Errorf("replica %q leads; stop its process first, so that another one leads", id))
		return
	}
	s.runCommand(w, req, nil, func() (catalog.Command, error) {
		if err := s.replica.raftNode().RemoveServer(raft.ServerID(id), 0, enqueueTimeout).Error(); err != nil {
			return catalog.Command{}, fmt.Errorf("%w: %w", ErrRefused, err)
		}
		return catalog.Command{RemoveReplica: &catalog.Replica{ID: id}}, nil
	})
}
