package directory

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/fleet/ownership"
)

// serveList serves lists and watches.
func (s *Server) serveList(w http.ResponseWriter, req *http.Request) {
	at, _ := s.replica.fsm.position()
	w.Header().Set(HeaderHistory, strconv.FormatInt(at.history, 10))
	q := req.URL.Query()
	after, err := parseNumber(q.Get("after"), -1)
	history, err2 := parseNumber(q.Get("history"), 0)
	set, err3 := parsePartitions(q)
	if err := errors.Join(err, err2, err3); err != nil {
		s.metrics.countRequest("bad")
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if s.answeredForFresh(w, req) {
		return
	}
	after, reason := s.waitForPosition(req.Context(), after, history)
	if reason != "" {
		s.metrics.countRequest("behind")
		writeRetryLater(w, time.Second, reason)
		return
	}
	cost := deltaCost
	if after <= 0 {
		cost = 1
	}
	if ok, retryIn := s.admission.admit(cost, time.Now()); !ok {
		s.metrics.countRequest("refused")
		// The header allows only whole seconds; half a second of jitter is added.
		writeRetryLater(w, retryIn+rand.N(time.Second/2), "too many requests")
		return
	}
	s.metrics.countRequest("taken")
	if q.Get("watch") == "1" {
		s.serveWatch(w, req, after, set)
		return
	}
	if set != nil {
		raw, at, mapNumber, err := s.replica.fsm.encodePartitions(after, set)
		if err != nil {
			writeError(w, http.StatusInternalServerError, err)
			return
		}
		s.setPositionHeaders(w, at)
		setPartitionHeaders(w, mapNumber)
		w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
		w.Write(raw)
		return
	}
	raw, at, _, err := s.replica.fsm.encodeList(after)
	if err != nil {
		writeError(w, http.StatusInternalServerError, err)
		return
	}
	s.setPositionHeaders(w, at)
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.Write(raw)
}

// parsePartitions returns the requested partitions, or nil for the whole list.
func parsePartitions(q url.Values) (*ownership.Set, error) {
	values, asked := q["partitions"]
	if !asked {
		return nil, nil
	}
	if len(values) > 1 {
		return nil, errors.New("partitions is given twice")
	}
	set, err := ownership.ParseSet(values[0])
	if err != nil {
		return nil, fmt.Errorf("partitions: %w", err)
	}
	if set.Len() == 0 {
		return nil, errors.New("partitions: the set is empty")
	}
	return &set, nil
}

// setPartitionHeaders marks a response that covers only some partitions. It removes the ETag, because no
// write of a complete list may be based on a part.
func setPartitionHeaders(w http.ResponseWriter, mapNumber int64) {
	h := w.Header()
	h.Set(HeaderPartitions, strconv.Itoa(ownership.PartitionCount))
	h.Set(HeaderMap, strconv.FormatInt(mapNumber, 10))
	h.Del("ETag")
}

// answeredForFresh handles a request for fresh data at a replica that does not lead: it forwards it to the
// leader, or refuses it, and returns true. At the leader it returns false once the state includes everything
// committed before.
func (s *Server) answeredForFresh(w http.ResponseWriter, req *http.Request) bool {
	if req.URL.Query().Get("fresh") != "1" {
		return false
	}
	if s.forwardToLeader(w, req, nil) {
		return true
	}
	if err := s.replica.verifyCurrent(); err != nil {
		writeRetryLater(w, time.Second, singleLine(err))
		return true
	}
	return false
}

func parseNumber(s string, fallback int64) (int64, error) {
	if s == "" {
		return fallback, nil
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%.40q is not a number", s)
	}
	return n, nil
}

// waitForPosition waits briefly until this replica has the revision that the caller knows. It returns the
// revision after which the response starts, or why there is none. An older state is never sent as news.
func (s *Server) waitForPosition(ctx context.Context, after, history int64) (start int64, reason string) {
	timeout := time.NewTimer(catchUpTimeout)
	defer timeout.Stop()
	for {
		at, changed := s.replica.fsm.position()
		switch {
		case at.revision > 0 && history > 0 && at.history > history:
			return -1, "" // a backup was restored since, so the list is a different one
		case at.revision > 0 && at.history >= history && at.revision >= after:
			return after, ""
		}
		select {
		case <-changed:
			continue
		case <-ctx.Done():
		case <-timeout.C:
		}
		switch {
		case at.revision == 0:
			return 0, "nothing has been written to this list yet"
		case history == 0 && s.aheadOfLeader(after):
			return -1, "" // the revision belongs to another history, whose number the caller does not know
		}
		return 0, fmt.Sprintf("this replica is at history %d, revision %d, and so behind the caller", at.history, at.revision)
	}
}

// aheadOfLeader reports whether a revision can't belong to the current history, because not even the leader
// has it.
func (s *Server) aheadOfLeader(after int64) bool {
	if s.replica.isLeader() {
		if s.replica.verifyCurrent() != nil {
			return false
		}
		at, _ := s.replica.fsm.position()
		return at.revision < after
	}
	id, address := s.replica.leader()
	if address == "" || id == s.replica.cfg.ID {
		return false
	}
	var status Status
	err := s.replica.callPeer(http.MethodGet, address, "/directory/status?fresh=1", nil, &status)
	at, _ := s.replica.fsm.position()
	return err == nil && status.Fresh && status.History == at.history && status.Revision < after
}

// setPositionHeaders sets the headers that tell the position and the freshness of a response.
func (s *Server) setPositionHeaders(w http.ResponseWriter, pos position) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderHistory, strconv.FormatInt(pos.history, 10))
	h.Set(HeaderRevision, strconv.FormatInt(pos.revision, 10))
	h.Set(HeaderAge, strconv.FormatInt(s.replica.leaderContactAge().Milliseconds(), 10))
	h.Set("ETag", fmt.Sprintf(`"%d.%d"`, pos.history, pos.revision))
	s.replica.fsm.view(func(st *catalog.State) {
		if st.SourceSilentSince() > 0 {
			h.Set(HeaderVouched, "no")
		}
	})
}
