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
func (s *Server) list(w http.ResponseWriter, req *http.Request) {
	at, _ := s.r.ledger.at()
	w.Header().Set(HeaderHistory, strconv.FormatInt(at.history, 10))
	q := req.URL.Query()
	after, err := number(q.Get("after"), -1)
	history, err2 := number(q.Get("history"), 0)
	parts, err3 := partitions(q)
	if err := errors.Join(err, err2, err3); err != nil {
		s.metrics.asked("bad")
		wrong(w, http.StatusBadRequest, err)
		return
	}
	if s.elsewhere(w, req) {
		return
	}
	after, why := s.reach(req.Context(), after, history)
	if why != "" {
		s.metrics.asked("behind")
		later(w, time.Second, why)
		return
	}
	cost := resumeCost
	if after <= 0 {
		cost = 1
	}
	if ok, back := s.admits.admit(cost, time.Now()); !ok {
		s.metrics.asked("refused")
		// The header allows only whole seconds; half a second of jitter is added.
		later(w, back+rand.N(time.Second/2), "too many requests")
		return
	}
	s.metrics.asked("taken")
	if q.Get("watch") == "1" {
		s.watch(w, req, after, parts)
		return
	}
	if parts != nil {
		raw, at, number, err := s.r.ledger.part(after, parts)
		if err != nil {
			wrong(w, http.StatusInternalServerError, err)
			return
		}
		s.mark(w, at)
		markPart(w, number)
		w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
		w.Write(raw)
		return
	}
	raw, at, _, err := s.r.ledger.list(after)
	if err != nil {
		wrong(w, http.StatusInternalServerError, err)
		return
	}
	s.mark(w, at)
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.Write(raw)
}

// parsePartitions returns the requested partitions, or nil for the whole list.
func partitions(q url.Values) (*ownership.Set, error) {
	texts, asked := q["partitions"]
	if !asked {
		return nil, nil
	}
	if len(texts) > 1 {
		return nil, errors.New("partitions is given twice")
	}
	set, err := ownership.ParseSet(texts[0])
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
func markPart(w http.ResponseWriter, number int64) {
	h := w.Header()
	h.Set(HeaderPartitions, strconv.Itoa(ownership.PartitionCount))
	h.Set(HeaderMap, strconv.FormatInt(number, 10))
	h.Del("ETag")
}

// answeredForFresh handles a request for fresh data at a replica that does not lead: it forwards it to the
// leader, or refuses it, and returns true. At the leader it returns false once the state includes everything
// committed before.
func (s *Server) elsewhere(w http.ResponseWriter, req *http.Request) bool {
	if req.URL.Query().Get("fresh") != "1" {
		return false
	}
	if s.passOn(w, req, nil) {
		return true
	}
	if err := s.r.current(); err != nil {
		later(w, time.Second, oneLine(err))
		return true
	}
	return false
}

func number(s string, missing int64) (int64, error) {
	if s == "" {
		return missing, nil
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%.40q is not a number", s)
	}
	return n, nil
}

// waitForPosition waits briefly until this replica has the revision that the caller knows. It returns the
// revision after which the response starts, or why there is none. An older state is never sent as news.
func (s *Server) reach(ctx context.Context, after, history int64) (from int64, why string) {
	limit := time.NewTimer(catchUp)
	defer limit.Stop()
	for {
		at, news := s.r.ledger.at()
		switch {
		case at.revision > 0 && history > 0 && at.history > history:
			return -1, "" // a backup was restored since, so the list is a different one
		case at.revision > 0 && at.history >= history && at.revision >= after:
			return after, ""
		}
		select {
		case <-news:
			continue
		case <-ctx.Done():
		case <-limit.C:
		}
		switch {
		case at.revision == 0:
			return 0, "nothing has been written to this list yet"
		case history == 0 && s.beyond(after):
			return -1, "" // the revision belongs to another history, whose number the caller does not know
		}
		return 0, fmt.Sprintf("this replica is at history %d, revision %d, and so behind the caller", at.history, at.revision)
	}
}

// aheadOfLeader reports whether a revision can't belong to the current history, because not even the leader
// has it.
func (s *Server) beyond(after int64) bool {
	if s.r.leads() {
		if s.r.current() != nil {
			return false
		}
		at, _ := s.r.ledger.at()
		return at.revision < after
	}
	id, address := s.r.leader()
	if address == "" || id == s.r.cfg.ID {
		return false
	}
	var st Status
	err := s.r.ask(http.MethodGet, address, "/directory/status?fresh=1", nil, &st)
	at, _ := s.r.ledger.at()
	return err == nil && st.Fresh && st.History == at.history && st.Revision < after
}

// setPositionHeaders sets the headers that tell the position and the freshness of a response.
func (s *Server) mark(w http.ResponseWriter, at position) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderHistory, strconv.FormatInt(at.history, 10))
	h.Set(HeaderRevision, strconv.FormatInt(at.revision, 10))
	h.Set(HeaderAge, strconv.FormatInt(s.r.age().Milliseconds(), 10))
	h.Set("ETag", fmt.Sprintf(`"%d.%d"`, at.history, at.revision))
	s.r.ledger.read(func(st *catalog.State) {
		if st.SourceSilentSince() > 0 {
			h.Set(HeaderVouched, "no")
		}
	})
}
