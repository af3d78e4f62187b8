package directory

import (
	"fmt"
	"net/http"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/fleet/ownership"
)

func (s *Server) serveRecords(w http.ResponseWriter, req *http.Request) {
	if s.answeredForFresh(w, req) {
		return
	}
	name := req.PathValue("name")
	var records []catalog.Record
	var record catalog.Record
	found := true
	s.replica.fsm.view(func(st *catalog.State) {
		if name != "" {
			record, found = st.Record(name)
			return
		}
		records = append([]catalog.Record{}, st.Records()...)
	})
	at, _ := s.replica.fsm.position()
	s.setPositionHeaders(w, at)
	switch {
	case !found:
		writeError(w, http.StatusNotFound, fmt.Errorf("record %.40q: %w", name, catalog.ErrNotFound))
	case name != "":
		writeJSON(w, http.StatusOK, record)
	default:
		writeJSON(w, http.StatusOK, map[string]any{"records": records})
	}
}

// recordRequest is the body of a request that changes a record.
type recordRequest struct {
	Holder string `json:"holder"`
	Token  int64  `json:"token"`
	TTL    int64  `json:"ttl_ms"`
	Value  []byte `json:"value"` // base64
}

func (s *Server) serveRecordOp(w http.ResponseWriter, req *http.Request, build func(catalog.RecordOp) catalog.Command) {
	raw, ok := readBody(w, req, maxBodyBytes)
	if !ok {
		return
	}
	isMap := req.PathValue("name") == ownership.RecordName
	if isMap {
		if s.forwardToLeader(w, req, raw) {
			return
		}
		s.mapWrites.Lock()
		defer s.mapWrites.Unlock()
	}
	s.recordOps.RLock()
	defer s.recordOps.RUnlock()
	s.runCommand(w, req, raw, func() (catalog.Command, error) {
		var request recordRequest
		if err := decodeStrict(raw, &request); err != nil {
			return catalog.Command{}, err
		}
		command := build(catalog.RecordOp{
			Name: req.PathValue("name"), Holder: request.Holder, Token: request.Token, TTL: request.TTL, Value: request.Value, SetValue: request.Value != nil,
		})
		if isMap && (command.Update != nil || command.Acquire != nil && command.Acquire.SetValue) {
			if err := s.replica.verifyCurrent(); err != nil {
				return catalog.Command{}, err
			}
			if err := s.replica.fsm.validateMap(request.Value); err != nil {
				return catalog.Command{}, err
			}
		}
		return command, nil
	})
}

func (s *Server) serveAcquire(w http.ResponseWriter, req *http.Request) {
	s.serveRecordOp(w, req, func(h catalog.RecordOp) catalog.Command { return catalog.Command{Acquire: &h} })
}

func (s *Server) serveUpdate(w http.ResponseWriter, req *http.Request) {
	s.serveRecordOp(w, req, func(h catalog.RecordOp) catalog.Command { return catalog.Command{Update: &h} })
}

func (s *Server) serveRelease(w http.ResponseWriter, req *http.Request) {
	s.serveRecordOp(w, req, func(h catalog.RecordOp) catalog.Command { return catalog.Command{Release: &h} })
}

func (s *Server) serveRenewals(w http.ResponseWriter, req *http.Request) {
	var request struct {
		IDs     []string `json:"ids"`
		Records []struct {
			Name  string `json:"name"`
			Token int64  `json:"token"`
		} `json:"records"`
	}
	if !s.decodeOnLeader(w, req, &request) {
		return
	}
	var records []catalog.RecordOp
	for _, r := range request.Records {
		records = append(records, catalog.RecordOp{Name: r.Name, Token: r.Token})
	}
	unknown, err := s.replica.renewLeases(request.IDs, records)
	if err != nil {
		writeRetryLater(w, time.Second, singleLine(err))
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"unknown": append([]string{}, unknown...)})
}
