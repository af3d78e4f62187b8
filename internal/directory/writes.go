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

// writeParser builds a write from a request and its body.
type writeParser func(req *http.Request, raw []byte) (catalog.Write, error)

// serveWrite returns a handler for requests that change the list. The write is based on the revision in the
// If-Match header.
func (s *Server) serveWrite(parse writeParser) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		raw, base, ok := s.readWrite(w, req)
		if !ok {
			return
		}
		write, err := parse(req, raw)
		if err != nil {
			writeError(w, http.StatusBadRequest, err)
			return
		}
		s.completeWrite(&write, req, base)
		if write.TTL > 0 {
			s.replica.expiryOrder.RLock()
			defer s.replica.expiryOrder.RUnlock()
		}
		s.runCommand(w, req, raw, func() (c catalog.Command, err error) {
			s.replica.fsm.view(func(st *catalog.State) { err = st.CheckCapacity(write) })
			return catalog.Command{Write: &write}, err
		})
		if write.TTL > 0 && len(write.Members) > 0 {
			s.replica.noteRegistration(write.Members[0].ID) // whatever the response; without effect at a follower
		}
	}
}

// readWrite reads the body of a request that changes the list, and the revision that the change is based on. If the request
// can't be served it responds and returns false.
func (s *Server) readWrite(w http.ResponseWriter, req *http.Request) (raw []byte, base catalog.Base, ok bool) {
	raw, ok = readBody(w, req, maxBodyBytes)
	if !ok {
		return nil, base, false
	}
	if s.replica.cfg.Source.Discovery != "" {
		writeError(w, http.StatusConflict, errors.New("this directory copies the list of the platform's discovery; change it there"))
		return nil, base, false
	}
	match := req.Header.Get("If-Match")
	if match == "" && req.PathValue("id") != "" && strings.HasPrefix(req.URL.Path, "/registry/registrations/") {
		match = "*" // a registration changes only its own endpoint, so it may be based on any revision
	}
	if match == "" {
		writeError(w, http.StatusPreconditionRequired, errors.New(`the If-Match header is missing: base revision of the write, or "*"`))
		return nil, base, false
	}
	base, err := parseIfMatch(match)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return nil, base, false
	}
	return raw, base, true
}

// completeWrite sets what a write has from the request's headers and query and from this replica's settings.
func (s *Server) completeWrite(write *catalog.Write, req *http.Request, base catalog.Base) {
	write.Base, write.GuardShare, write.MaxEndpoints = base, s.replica.cfg.Guard.MaxRemovedShare, int64(s.replica.cfg.List.MaxEndpoints)
	write.Confirmed = req.URL.Query().Get("confirm") == "1"
	write.Reason = strings.ToValidUTF8(truncate(req.Header.Get("Registry-Why"), 1000), "?")
}

// parseIfMatch parses the If-Match header: "*" (any revision), REVISION (of the current history) or
// HISTORY.REVISION, with or without quotes.
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

// parseEndpoints parses a body that holds a list of endpoints, and validates each endpoint.
func parseEndpoints(raw []byte) ([]catalog.Endpoint, error) {
	var list struct {
		Members *[]catalog.Endpoint `json:"members"`
		// Accepted and ignored, so that a list can be sent back as it was read.
		Revision int64 `json:"revision"`
		Complete bool  `json:"complete"`
	}
	if err := decodeStrict(raw, &list); err != nil {
		return nil, err
	}
	if list.Members == nil {
		return nil, errors.New(`body: "members" is missing`)
	}
	return *list.Members, validateAll(*list.Members)
}

func validateAll(endpoints []catalog.Endpoint) error {
	for _, e := range endpoints {
		if err := e.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// parsePartial parses a write that adds, changes or deletes the endpoints in the body and leaves all others.
func parsePartial(_ *http.Request, raw []byte) (catalog.Write, error) {
	endpoints, err := parseEndpoints(raw)
	return catalog.Write{Members: endpoints}, err
}

// parseFull parses a write that replaces the whole list.
func parseFull(_ *http.Request, raw []byte) (catalog.Write, error) {
	endpoints, err := parseEndpoints(raw)
	return catalog.Write{Members: endpoints, Replace: true}, err
}

// parseEndpoint parses a write of the one endpoint in the path.
func parseEndpoint(req *http.Request, raw []byte) (catalog.Write, error) {
	var endpoint catalog.Endpoint
	if err := decodeStrict(raw, &endpoint); err != nil {
		return catalog.Write{}, err
	}
	if endpoint.ID != req.PathValue("id") {
		return catalog.Write{}, fmt.Errorf("the id is %.40q in the body and %.40q in the path", endpoint.ID, req.PathValue("id"))
	}
	return catalog.Write{Members: []catalog.Endpoint{endpoint}}, endpoint.Validate()
}

func parseDelete(req *http.Request, _ []byte) (catalog.Write, error) {
	endpoint := catalog.Endpoint{ID: req.PathValue("id"), Phase: catalog.Deleted}
	return catalog.Write{Members: []catalog.Endpoint{endpoint}}, endpoint.Validate()
}

// parseRegistration parses a write of a serving endpoint with a lease of ttl_ms milliseconds.
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
