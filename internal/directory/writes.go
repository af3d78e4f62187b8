package directory

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"starlingusher/fleet/catalog"
)

// writeParser converts a request into a write.
type writeParser func(req *http.Request, raw []byte) (catalog.Write, error)

// serveWrite serves the requests that change the list.
func (s *Server) serveWrite(parse writeParser) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		raw, ok := readBody(w, req, maxBodyBytes)
		if !ok {
			return
		}
		if s.replica.cfg.Source.Discovery != "" {
			writeError(w, http.StatusConflict, errors.New("this directory copies the list of the platform's discovery; change it there"))
			return
		}
		match := req.Header.Get("If-Match")
		if match == "" && req.PathValue("id") != "" && strings.HasPrefix(req.URL.Path, "/registry/registrations/") {
			match = "*" // a registration concerns only the endpoint itself
		}
		if match == "" {
			writeError(w, http.StatusPreconditionRequired, errors.New(`the If-Match header is missing: base revision of the write, or "*"`))
			return
		}
		base, err := parseIfMatch(match)
		if err != nil {
			writeError(w, http.StatusBadRequest, err)
			return
		}
		write, err := parse(req, raw)
		if errors.Is(err, catalog.ErrNotFound) {
			writeError(w, http.StatusNotFound, err)
			return
		}
		if err != nil {
			writeError(w, http.StatusBadRequest, err)
			return
		}
		write.Base, write.GuardShare, write.MaxEndpoints = base, s.replica.cfg.Guard.MaxRemovedShare, int64(s.replica.cfg.List.MaxEndpoints)
		write.Confirmed = req.URL.Query().Get("confirm") == "1"
		write.Reason = strings.ToValidUTF8(truncate(req.Header.Get("Registry-Why"), 1000), "?")
		s.runCommand(w, req, raw, func() (c catalog.Command, err error) {
			s.replica.fsm.view(func(st *catalog.State) { err = st.CheckCapacity(write) })
			return catalog.Command{Write: &write}, err
		})
		if write.TTL > 0 && len(write.Members) > 0 {
			s.replica.noteRegistration(write.Members[0].ID)
		}
	}
}

// parseIfMatch parses If-Match: "*", REVISION or HISTORY.REVISION, with or without quotes.
func parseIfMatch(match string) (catalog.Base, error) {
	match = strings.Trim(strings.TrimSpace(match), `"`)
	if match == "*" {
		return catalog.Base{Any: true}, nil
	}
	h, rev, hasHistory := strings.Cut(match, ".")
	if !hasHistory {
		h, rev = "0", h
	}
	history, err := strconv.ParseInt(h, 10, 64)
	revision, err2 := strconv.ParseInt(rev, 10, 64)
	if err != nil || err2 != nil || history < 0 || revision < 0 {
		return catalog.Base{}, fmt.Errorf("If-Match %.40q is not *, REVISION or HISTORY.REVISION", match)
	}
	return catalog.Base{History: history, Revision: revision}, nil
}

// decodeStrict decodes exactly one JSON value without unknown fields.
func decodeStrict(raw []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("body: unexpected data after the JSON value")
	}
	return nil
}

func parseEndpoints(raw []byte) ([]catalog.Endpoint, error) {
	var l struct {
		Members  *[]catalog.Endpoint `json:"members"`
		Revision int64               `json:"revision"` // allowed so that a list can be sent back as it was read
		Complete bool                `json:"complete"`
	}
	if err := decodeStrict(raw, &l); err != nil {
		return nil, err
	}
	if l.Members == nil {
		return nil, errors.New(`body: "members" is missing`)
	}
	return *l.Members, validateAll(*l.Members)
}

func validateAll(endpoints []catalog.Endpoint) error {
	for _, m := range endpoints {
		if err := m.Validate(); err != nil {
			return err
		}
	}
	return nil
}

func parsePartial(_ *http.Request, raw []byte) (catalog.Write, error) {
	members, err := parseEndpoints(raw)
	return catalog.Write{Members: members}, err
}

func parseFull(_ *http.Request, raw []byte) (catalog.Write, error) {
	members, err := parseEndpoints(raw)
	return catalog.Write{Members: members, Replace: true}, err
}

func parseEndpoint(req *http.Request, raw []byte) (catalog.Write, error) {
	var m catalog.Endpoint
	if err := decodeStrict(raw, &m); err != nil {
		return catalog.Write{}, err
	}
	if m.ID != req.PathValue("id") {
		return catalog.Write{}, fmt.Errorf("the id is %.40q in the body and %.40q in the path", m.ID, req.PathValue("id"))
	}
	return catalog.Write{Members: []catalog.Endpoint{m}}, m.Validate()
}

func parseDelete(req *http.Request, _ []byte) (catalog.Write, error) {
	m := catalog.Endpoint{ID: req.PathValue("id"), Phase: catalog.Deleted}
	return catalog.Write{Members: []catalog.Endpoint{m}}, m.Validate()
}

// parseDrain drains an endpoint as it is listed at this replica.
func (s *Server) parseDrain(req *http.Request, _ []byte) (catalog.Write, error) {
	var m catalog.Endpoint
	s.replica.fsm.view(func(st *catalog.State) {
		e, _ := st.Entry(req.PathValue("id"))
		m = e.Endpoint
	})
	if m.ID == "" {
		return catalog.Write{}, fmt.Errorf("endpoint %.40q is not listed at this replica: %w", req.PathValue("id"), catalog.ErrNotFound)
	}
	m.Phase = catalog.Draining
	return catalog.Write{Members: []catalog.Endpoint{m}}, nil
}

func parseRegistration(req *http.Request, raw []byte) (catalog.Write, error) {
	var reg struct {
		Member catalog.Endpoint `json:"member"`
		TTL    int64            `json:"ttl_ms"`
	}
	if err := decodeStrict(raw, &reg); err != nil {
		return catalog.Write{}, err
	}
	if reg.Member.ID != req.PathValue("id") || reg.Member.Phase != catalog.Serving {
		return catalog.Write{}, fmt.Errorf("the member must have the id of the path and phase %s", catalog.Serving)
	}
	if reg.TTL < catalog.MinTTLMS || reg.TTL > catalog.MaxTTLMS {
		return catalog.Write{}, fmt.Errorf("ttl_ms must be %d to %d", int64(catalog.MinTTLMS), int64(catalog.MaxTTLMS))
	}
	return catalog.Write{Members: []catalog.Endpoint{reg.Member}, TTL: reg.TTL}, reg.Member.Validate()
}
