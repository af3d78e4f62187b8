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
type reader func(req *http.Request, raw []byte) (catalog.Write, error)

// serveWrite serves the requests that change the list.
func (s *Server) write(read reader) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		raw, ok := body(w, req, maxWrite)
		if !ok {
			return
		}
		if s.r.cfg.Source.Discovery != "" {
			wrong(w, http.StatusConflict, errors.New("this directory copies the list of the platform's discovery; change it there"))
			return
		}
		match := req.Header.Get("If-Match")
		if match == "" && req.PathValue("id") != "" && strings.HasPrefix(req.URL.Path, "/registry/registrations/") {
			match = "*" // a registration concerns only the endpoint itself
		}
		if match == "" {
			wrong(w, http.StatusPreconditionRequired, errors.New(`the If-Match header is missing: base revision of the write, or "*"`))
			return
		}
		base, err := readBase(match)
		if err != nil {
			wrong(w, http.StatusBadRequest, err)
			return
		}
		wr, err := read(req, raw)
		if errors.Is(err, catalog.ErrNotFound) {
			wrong(w, http.StatusNotFound, err)
			return
		}
		if err != nil {
			wrong(w, http.StatusBadRequest, err)
			return
		}
		wr.Base, wr.GuardShare, wr.MaxEndpoints = base, s.r.cfg.Guard.MaxRemovedShare, int64(s.r.cfg.List.MaxEndpoints)
		wr.Confirmed = req.URL.Query().Get("confirm") == "1"
		wr.Reason = strings.ToValidUTF8(first(req.Header.Get("Registry-Why"), 1000), "?")
		s.command(w, req, raw, func() (c catalog.Command, err error) {
			s.r.ledger.read(func(st *catalog.State) { err = st.CheckCapacity(wr) })
			return catalog.Command{Write: &wr}, err
		})
		if wr.TTL > 0 && len(wr.Members) > 0 {
			s.r.registered(wr.Members[0].ID)
		}
	}
}

// parseIfMatch parses If-Match: "*", REVISION or HISTORY.REVISION, with or without quotes.
func readBase(match string) (catalog.Base, error) {
	match = strings.Trim(strings.TrimSpace(match), `"`)
	if match == "*" {
		return catalog.Base{Any: true}, nil
	}
	h, rev, both := strings.Cut(match, ".")
	if !both {
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
func strict(raw []byte, v any) error {
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

func readMembers(raw []byte) ([]catalog.Endpoint, error) {
	var l struct {
		Members  *[]catalog.Endpoint `json:"members"`
		Revision int64               `json:"revision"` // allowed so that a list can be sent back as it was read
		Complete bool                `json:"complete"`
	}
	if err := strict(raw, &l); err != nil {
		return nil, err
	}
	if l.Members == nil {
		return nil, errors.New(`body: "members" is missing`)
	}
	return *l.Members, check(*l.Members)
}

func check(all []catalog.Endpoint) error {
	for _, m := range all {
		if err := m.Validate(); err != nil {
			return err
		}
	}
	return nil
}

func readChanges(_ *http.Request, raw []byte) (catalog.Write, error) {
	all, err := readMembers(raw)
	return catalog.Write{Members: all}, err
}

func readWhole(_ *http.Request, raw []byte) (catalog.Write, error) {
	all, err := readMembers(raw)
	return catalog.Write{Members: all, Replace: true}, err
}

func readOne(req *http.Request, raw []byte) (catalog.Write, error) {
	var m catalog.Endpoint
	if err := strict(raw, &m); err != nil {
		return catalog.Write{}, err
	}
	if m.ID != req.PathValue("id") {
		return catalog.Write{}, fmt.Errorf("the id is %.40q in the body and %.40q in the path", m.ID, req.PathValue("id"))
	}
	return catalog.Write{Members: []catalog.Endpoint{m}}, m.Validate()
}

func readDelete(req *http.Request, _ []byte) (catalog.Write, error) {
	m := catalog.Endpoint{ID: req.PathValue("id"), Phase: catalog.Deleted}
	return catalog.Write{Members: []catalog.Endpoint{m}}, m.Validate()
}

// parseDrain drains an endpoint as it is listed at this replica.
func (s *Server) readDrain(req *http.Request, _ []byte) (catalog.Write, error) {
	var m catalog.Endpoint
	s.r.ledger.read(func(st *catalog.State) {
		e, _ := st.Entry(req.PathValue("id"))
		m = e.Endpoint
	})
	if m.ID == "" {
		return catalog.Write{}, fmt.Errorf("endpoint %.40q is not listed at this replica: %w", req.PathValue("id"), catalog.ErrNotFound)
	}
	m.Phase = catalog.Draining
	return catalog.Write{Members: []catalog.Endpoint{m}}, nil
}

func readRegistration(req *http.Request, raw []byte) (catalog.Write, error) {
	var reg struct {
		Member catalog.Endpoint `json:"member"`
		TTL    int64            `json:"ttl_ms"`
	}
	if err := strict(raw, &reg); err != nil {
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
