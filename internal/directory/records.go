package directory

import (
	"fmt"
	"net/http"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/fleet/ownership"
)

func (s *Server) records(w http.ResponseWriter, req *http.Request) {
	if s.elsewhere(w, req) {
		return
	}
	name := req.PathValue("name")
	var all []catalog.Record
	var one catalog.Record
	found := true
	s.r.ledger.read(func(st *catalog.State) {
		if name != "" {
			one, found = st.Record(name)
			return
		}
		all = append([]catalog.Record{}, st.Records()...)
	})
	at, _ := s.r.ledger.at()
	s.mark(w, at)
	switch {
	case !found:
		wrong(w, http.StatusNotFound, fmt.Errorf("record %.40q: %w", name, catalog.ErrNotFound))
	case name != "":
		answer(w, http.StatusOK, one)
	default:
		answer(w, http.StatusOK, map[string]any{"records": all})
	}
}

// recordRequest is the body of a request that changes a record.
type holdAsk struct {
	Holder string `json:"holder"`
	Token  int64  `json:"token"`
	TTL    int64  `json:"ttl_ms"`
	Value  []byte `json:"value"` // base64
}

func (s *Server) onRecord(w http.ResponseWriter, req *http.Request, make func(catalog.RecordOp) catalog.Command) {
	raw, ok := body(w, req, maxWrite)
	if !ok {
		return
	}
	isMap := req.PathValue("name") == ownership.RecordName
	if isMap {
		if s.passOn(w, req, raw) {
			return
		}
		s.mapping.Lock()
		defer s.mapping.Unlock()
	}
	s.command(w, req, raw, func() (catalog.Command, error) {
		var ask holdAsk
		if err := strict(raw, &ask); err != nil {
			return catalog.Command{}, err
		}
		c := make(catalog.RecordOp{
			Name: req.PathValue("name"), Holder: ask.Holder, Token: ask.Token, TTL: ask.TTL, Value: ask.Value, SetValue: ask.Value != nil,
		})
		if isMap && (c.Update != nil || c.Acquire != nil && c.Acquire.SetValue) {
			if err := s.r.current(); err != nil {
				return catalog.Command{}, err
			}
			if err := s.r.ledger.checkMap(ask.Value); err != nil {
				return catalog.Command{}, err
			}
		}
		return c, nil
	})
}

func (s *Server) acquire(w http.ResponseWriter, req *http.Request) {
	s.onRecord(w, req, func(h catalog.RecordOp) catalog.Command { return catalog.Command{Acquire: &h} })
}

func (s *Server) update(w http.ResponseWriter, req *http.Request) {
	s.onRecord(w, req, func(h catalog.RecordOp) catalog.Command { return catalog.Command{Update: &h} })
}

func (s *Server) release(w http.ResponseWriter, req *http.Request) {
	s.onRecord(w, req, func(h catalog.RecordOp) catalog.Command { return catalog.Command{Release: &h} })
}

func (s *Server) renew(w http.ResponseWriter, req *http.Request) {
	var ask struct {
		IDs     []string `json:"ids"`
		Records []struct {
			Name  string `json:"name"`
			Token int64  `json:"token"`
		} `json:"records"`
	}
	if !s.leaderReads(w, req, &ask) {
		return
	}
	var records []catalog.RecordOp
	for _, r := range ask.Records {
		records = append(records, catalog.RecordOp{Name: r.Name, Token: r.Token})
	}
	unknown, err := s.r.renew(ask.IDs, records)
	if err != nil {
		later(w, time.Second, oneLine(err))
		return
	}
	answer(w, http.StatusOK, map[string]any{"unknown": append([]string{}, unknown...)})
}
