package directory

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"starlingusher/fleet/catalog"
)

// The headers of an answer beside the platform's own form.
const (
	HeaderHistory  = "Registry-History"  // number of the history that the revisions belong to
	HeaderRevision = "Registry-Revision" // the list's
	HeaderAge      = "Registry-Age-Ms"   // for how long the replica has heard nothing of a leader
	HeaderVouched  = "Registry-Vouched"  // "no": the list's source has gone silent
	headerPassedOn = "Registry-Passed-On"
)

const (
	maxWrite     = 16 << 20 // bytes of a body
	catchUp      = 300 * time.Millisecond
	passOnWait   = 5 * time.Second
	resumeCost   = 0.1 // of an ask that gets changes only, against a whole list's 1
	headerWait   = 10 * time.Second
	idleWait     = 2 * time.Minute
	sendBuffer   = 64 << 10 // bytes that the kernel holds for one who does not read
	maxHistory   = 1000     // changes in one answer
	defaultTurns = 100
)

// Server serves a replica over HTTP.
type Server struct {
	r       *Replica
	admits  *admission
	reports *reports
	metrics *metrics
	http    http.Server
	watches watches
	parts   sync.WaitGroup
	end     context.CancelFunc
}

// Serve opens the replica's address. It works until Close.
func Serve(r *Replica) (*Server, error) {
	ln, err := net.Listen("tcp", cmp.Or(r.cfg.BindHTTP, r.cfg.HTTP))
	if err != nil {
		return nil, fmt.Errorf("http: %w", err)
	}
	s := &Server{r: r, admits: newAdmission(r.cfg.Asks.Rate, r.cfg.Asks.Burst)}
	if s.reports, err = openReports(r); err != nil {
		ln.Close()
		return nil, err
	}
	s.metrics = newMetrics(s)
	s.watches.all = map[*watcher]bool{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", s.list)
	mux.HandleFunc("POST /registry/instances", s.write(readChanges))
	mux.HandleFunc("PUT /registry/instances", s.write(readWhole))
	mux.HandleFunc("PUT /registry/instances/{id}", s.write(readOne))
	mux.HandleFunc("DELETE /registry/instances/{id}", s.write(readDelete))
	mux.HandleFunc("POST /registry/instances/{id}/drain", s.write(s.readDrain))
	mux.HandleFunc("PUT /registry/registrations/{id}", s.write(readRegistration))
	mux.HandleFunc("POST /registry/renewals", s.renew)
	mux.HandleFunc("POST /reports", s.report)
	mux.HandleFunc("GET /records", s.records)
	mux.HandleFunc("GET /records/{name}", s.records)
	mux.HandleFunc("PUT /records/{name}", s.acquire)
	mux.HandleFunc("POST /records/{name}", s.update)
	mux.HandleFunc("DELETE /records/{name}", s.release)
	mux.HandleFunc("GET /directory/status", s.status)
	mux.HandleFunc("GET /directory/history", s.history)
	mux.HandleFunc("GET /directory/backup", s.backup)
	mux.HandleFunc("POST /directory/restore", s.restore)
	mux.HandleFunc("POST /directory/held/{number}", s.confirm)
	mux.HandleFunc("POST /directory/join", s.join)
	mux.HandleFunc("PUT /directory/members/{id}", s.invite)
	mux.HandleFunc("DELETE /directory/members/{id}", s.dismiss)
	mux.Handle("GET /metrics", s.metrics.handler())
	life, end := context.WithCancel(context.Background())
	s.end = end
	s.http = http.Server{
		Handler: mux, ReadHeaderTimeout: headerWait, IdleTimeout: idleWait, MaxHeaderBytes: 16 << 10,
		BaseContext: func(net.Listener) context.Context { return life },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if t, ok := c.(*net.TCPConn); ok {
				t.SetWriteBuffer(sendBuffer) // a watcher that does not read shall not fill the machine's memory
			}
			return ctx
		},
	}
	s.parts.Go(func() {
		if err := s.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			r.fail(fmt.Errorf("http: %w", err))
		}
	})
	s.parts.Go(func() { s.watches.sweep(life, s) })
	return s, nil
}

// Close ends all connections, watches first.
func (s *Server) Close() error {
	s.end()
	err := s.http.Close()
	s.parts.Wait()
	s.watches.wait.Wait()
	return errors.Join(err, s.reports.close())
}

// problem is the body of an answer that is a no.
type problem struct {
	Error    string `json:"error"`
	Outcome  string `json:"outcome"` // refused: surely not done; unknown: it may have been; held: it waits
	Revision int64  `json:"revision,omitempty"`
	Held     int64  `json:"held,omitempty"`
}

func answer(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(v)
}

func wrong(w http.ResponseWriter, code int, err error) {
	answer(w, code, problem{Error: oneLine(err), Outcome: "refused"})
}

func oneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }

// later turns somebody away for a while.
func later(w http.ResponseWriter, d time.Duration, why string) {
	w.Header().Set("Retry-After", strconv.Itoa(retryAfter(d)))
	answer(w, http.StatusServiceUnavailable, problem{Error: why, Outcome: "refused"})
}

// result answers for a command.
func result(w http.ResponseWriter, res catalog.Result, err error) {
	switch {
	case errors.Is(err, ErrUnknown):
		answer(w, http.StatusGatewayTimeout, problem{Error: oneLine(err), Outcome: "unknown"})
		return
	case err != nil:
		later(w, time.Second, oneLine(err))
		return
	case res.Err == nil:
		answer(w, http.StatusOK, map[string]int64{"revision": res.Revision, "token": res.Token})
		return
	}
	code := http.StatusInternalServerError
	for is, c := range map[error]int{
		catalog.ErrConflict: http.StatusPreconditionFailed, catalog.ErrHeld: http.StatusAccepted, catalog.ErrUnknown: http.StatusNotFound,
		catalog.ErrTaken: http.StatusConflict, catalog.ErrBad: http.StatusBadRequest, catalog.ErrFull: http.StatusInsufficientStorage,
	} {
		if errors.Is(res.Err, is) {
			code = c
		}
	}
	p := problem{Error: oneLine(res.Err), Outcome: "refused", Revision: res.Revision, Held: res.Held}
	if code == http.StatusAccepted {
		p.Outcome = "held"
	}
	answer(w, code, p)
}

// passOn hands a request to the leader, if this replica is not it, and tells whether it has been answered.
func (s *Server) passOn(w http.ResponseWriter, req *http.Request, body []byte) bool {
	if s.r.leads() {
		return false
	}
	if req.Header.Get(headerPassedOn) != "" {
		later(w, time.Second, "the replica that this was passed on to does not lead")
		return true
	}
	id, address := s.r.leader()
	if address == "" || id == s.r.cfg.ID {
		later(w, time.Second, "there is no leader: too few replicas reach each other to agree on a change")
		return true
	}
	ctx, cancel := context.WithTimeout(req.Context(), passOnWait)
	defer cancel()
	next, err := http.NewRequestWithContext(ctx, req.Method, "http://"+address+req.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		wrong(w, http.StatusBadRequest, err)
		return true
	}
	for _, h := range []string{"If-Match", "Registry-By", "Registry-Why"} {
		if v := req.Header.Get(h); v != "" {
			next.Header.Set(h, v)
		}
	}
	next.Header.Set(headerPassedOn, s.r.cfg.ID)
	resp, err := s.r.client.Do(next)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			later(w, time.Second, "the leader, "+id+", can't be reached")
			return true
		}
		answer(w, http.StatusGatewayTimeout, problem{Error: "the leader, " + id + ", has not answered: " + oneLine(err), Outcome: "unknown"})
		return true
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxBackup))
	if err != nil {
		answer(w, http.StatusGatewayTimeout, problem{Error: "the leader, " + id + ", was cut off while it answered", Outcome: "unknown"})
		return true
	}
	for _, h := range []string{"Content-Type", "Retry-After", "ETag", HeaderHistory, HeaderRevision, HeaderAge, HeaderVouched} {
		if v := resp.Header.Get(h); v != "" {
			w.Header().Set(h, v)
		}
	}
	w.WriteHeader(resp.StatusCode)
	w.Write(raw)
	return true
}

// body reads a request's, within a bound.
func body(w http.ResponseWriter, req *http.Request, most int64) ([]byte, bool) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, req.Body, most))
	var big *http.MaxBytesError
	switch {
	case errors.As(err, &big):
		wrong(w, http.StatusRequestEntityTooLarge, fmt.Errorf("more than %d bytes", most))
	case err != nil:
		wrong(w, http.StatusBadRequest, err)
	}
	return raw, err == nil
}

// command passes a command on to the leader, or has it agreed on here and answers.
func (s *Server) command(w http.ResponseWriter, req *http.Request, raw []byte, make func() (catalog.Command, error)) {
	begun := time.Now()
	if s.passOn(w, req, raw) {
		return
	}
	c, err := make()
	if errors.Is(err, ErrRefused) {
		later(w, time.Second, oneLine(err))
		return
	}
	if err != nil {
		wrong(w, http.StatusBadRequest, err)
		return
	}
	c.By = strings.ToValidUTF8(first(req.Header.Get("Registry-By"), catalog.MaxName), "?")
	res, err := s.r.propose(c)
	s.metrics.wrote(time.Since(begun), errors.Join(err, res.Err))
	result(w, res, err)
}

func first(s string, n int) string { return s[:min(len(s), n)] }

// reader makes a write of a request.
type reader func(req *http.Request, raw []byte) (catalog.Write, error)

// write serves the requests that change the list.
func (s *Server) write(read reader) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		raw, ok := body(w, req, maxWrite)
		if !ok {
			return
		}
		if s.r.cfg.Follow.Discovery != "" {
			wrong(w, http.StatusConflict, errors.New("this directory follows the platform's discovery; change the list there"))
			return
		}
		match := req.Header.Get("If-Match")
		if match == "" && req.PathValue("id") != "" && strings.HasPrefix(req.URL.Path, "/registry/registrations/") {
			match = "*" // who registers speaks for itself alone
		}
		if match == "" {
			wrong(w, http.StatusPreconditionRequired, errors.New(`If-Match is missing: the revision that the write rests on, or "*"`))
			return
		}
		base, err := readBase(match)
		if err != nil {
			wrong(w, http.StatusBadRequest, err)
			return
		}
		wr, err := read(req, raw)
		if errors.Is(err, catalog.ErrUnknown) {
			wrong(w, http.StatusNotFound, err)
			return
		}
		if err != nil {
			wrong(w, http.StatusBadRequest, err)
			return
		}
		wr.Base, wr.Guard = base, s.r.cfg.Guard.Share
		wr.Confirmed = req.URL.Query().Get("confirm") == "1"
		wr.Why = strings.ToValidUTF8(first(req.Header.Get("Registry-Why"), 1000), "?")
		s.command(w, req, raw, func() (catalog.Command, error) { return catalog.Command{Write: &wr}, nil })
		if wr.TTL > 0 && len(wr.Members) > 0 {
			s.r.registered(wr.Members[0].ID)
		}
	}
}

// readBase reads If-Match: "*", a revision, or a history and a revision with a point between, in quotes or not.
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
		return catalog.Base{}, fmt.Errorf("If-Match %.40q is neither * nor REVISION nor HISTORY.REVISION", match)
	}
	return catalog.Base{History: history, Revision: revision}, nil
}

// strict reads one JSON value and nothing else.
func strict(raw []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("body: something stands behind its end")
	}
	return nil
}

func readMembers(raw []byte) ([]catalog.Endpoint, error) {
	var l struct {
		Members  *[]catalog.Endpoint `json:"members"`
		Revision int64               `json:"revision"` // as a list that was read has them
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
		if err := m.Check(); err != nil {
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
	return catalog.Write{Members: all, Whole: true}, err
}

func readOne(req *http.Request, raw []byte) (catalog.Write, error) {
	var m catalog.Endpoint
	if err := strict(raw, &m); err != nil {
		return catalog.Write{}, err
	}
	if m.ID != req.PathValue("id") {
		return catalog.Write{}, fmt.Errorf("the body's id is %.40q, the path's %.40q", m.ID, req.PathValue("id"))
	}
	return catalog.Write{Members: []catalog.Endpoint{m}}, m.Check()
}

func readDelete(req *http.Request, _ []byte) (catalog.Write, error) {
	m := catalog.Endpoint{ID: req.PathValue("id"), Phase: catalog.Deleted}
	return catalog.Write{Members: []catalog.Endpoint{m}}, m.Check()
}

// readDrain drains an endpoint as it stands on the list here.
func (s *Server) readDrain(req *http.Request, _ []byte) (catalog.Write, error) {
	var m catalog.Endpoint
	s.r.ledger.read(func(st *catalog.State) {
		e, _ := st.Entry(req.PathValue("id"))
		m = e.Endpoint
	})
	if m.ID == "" {
		return catalog.Write{}, fmt.Errorf("endpoint %.40q is not on the list here: %w", req.PathValue("id"), catalog.ErrUnknown)
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
		return catalog.Write{}, fmt.Errorf("the member has the path's id and phase %s", catalog.Serving)
	}
	if reg.TTL < catalog.MinTTL || reg.TTL > catalog.MaxTTL {
		return catalog.Write{}, fmt.Errorf("ttl_ms is %d to %d", int64(catalog.MinTTL), int64(catalog.MaxTTL))
	}
	return catalog.Write{Members: []catalog.Endpoint{reg.Member}, TTL: reg.TTL}, reg.Member.Check()
}

func (s *Server) renew(w http.ResponseWriter, req *http.Request) {
	raw, ok := body(w, req, maxWrite)
	if !ok || s.passOn(w, req, raw) {
		return
	}
	var ask struct {
		IDs     []string `json:"ids"`
		Records []struct {
			Name  string `json:"name"`
			Token int64  `json:"token"`
		} `json:"records"`
	}
	if err := strict(raw, &ask); err != nil {
		wrong(w, http.StatusBadRequest, err)
		return
	}
	var records []catalog.Hold
	for _, r := range ask.Records {
		records = append(records, catalog.Hold{Name: r.Name, Token: r.Token})
	}
	unknown, err := s.r.renew(ask.IDs, records)
	if err != nil {
		later(w, time.Second, oneLine(err))
		return
	}
	answer(w, http.StatusOK, map[string]any{"unknown": append([]string{}, unknown...)})
}

// list serves the whole list and watches.
func (s *Server) list(w http.ResponseWriter, req *http.Request) {
	at, _ := s.r.ledger.at()
	w.Header().Set(HeaderHistory, strconv.FormatInt(at.history, 10))
	q := req.URL.Query()
	after, err := number(q.Get("after"), -1)
	history, err2 := number(q.Get("history"), 0)
	if err := errors.Join(err, err2); err != nil {
		s.metrics.asked("bad")
		wrong(w, http.StatusBadRequest, err)
		return
	}
	if q.Get("fresh") == "1" {
		if s.passOn(w, req, nil) {
			return
		}
		if err := s.r.current(); err != nil {
			later(w, time.Second, oneLine(err))
			return
		}
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
		// Whole seconds are what the header can say; half of the last one is left to chance.
		later(w, back+rand.N(time.Second/2), "more asks than this replica takes at once")
		return
	}
	s.metrics.asked("taken")
	if q.Get("watch") == "1" {
		s.watch(w, req, after)
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

// reach makes sure that this replica knows what the caller does, waiting a moment for it, and tells after which
// revision the answer begins; or why there is none. What is older than that is never told as news.
func (s *Server) reach(ctx context.Context, after, history int64) (from int64, why string) {
	limit := time.NewTimer(catchUp)
	defer limit.Stop()
	for {
		at, news := s.r.ledger.at()
		switch {
		case at.revision > 0 && history > 0 && at.history > history:
			return -1, "" // restored since: another list altogether
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
			return -1, "" // it counts by another history, whose number it does not know
		}
		return 0, fmt.Sprintf("this replica is at history %d, revision %d, behind what the caller knows", at.history, at.revision)
	}
}

// beyond tells whether nobody can have been told a revision by the present history: the leader does not have it.
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

// mark tells what an answer is worth.
func (s *Server) mark(w http.ResponseWriter, at position) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderHistory, strconv.FormatInt(at.history, 10))
	h.Set(HeaderRevision, strconv.FormatInt(at.revision, 10))
	h.Set(HeaderAge, strconv.FormatInt(s.r.age().Milliseconds(), 10))
	h.Set("ETag", fmt.Sprintf(`"%d.%d"`, at.history, at.revision))
	s.r.ledger.read(func(st *catalog.State) {
		if st.Silent() > 0 {
			h.Set(HeaderVouched, "no")
		}
	})
}

func (s *Server) report(w http.ResponseWriter, req *http.Request) {
	raw, ok := body(w, req, maxWrite)
	if !ok {
		return
	}
	if err := checkReports(raw); err != nil {
		wrong(w, http.StatusBadRequest, err)
		return
	}
	if err := s.reports.take(req.Context(), raw); err != nil {
		later(w, time.Second, oneLine(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) records(w http.ResponseWriter, req *http.Request) {
	if req.URL.Query().Get("fresh") == "1" {
		if s.passOn(w, req, nil) {
			return
		}
		if err := s.r.current(); err != nil {
			later(w, time.Second, oneLine(err))
			return
		}
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
		wrong(w, http.StatusNotFound, fmt.Errorf("record %.40q: %w", name, catalog.ErrUnknown))
	case name != "":
		answer(w, http.StatusOK, one)
	default:
		answer(w, http.StatusOK, map[string]any{"records": all})
	}
}

// holdAsk is the body of what is asked of a record.
type holdAsk struct {
	Holder string `json:"holder"`
	Token  int64  `json:"token"`
	TTL    int64  `json:"ttl_ms"`
	Value  []byte `json:"value"` // base64
}

func (s *Server) onRecord(w http.ResponseWriter, req *http.Request, make func(catalog.Hold) catalog.Command) {
	raw, ok := body(w, req, maxWrite)
	if !ok {
		return
	}
	s.command(w, req, raw, func() (catalog.Command, error) {
		var ask holdAsk
		if err := strict(raw, &ask); err != nil {
			return catalog.Command{}, err
		}
		return make(catalog.Hold{
			Name: req.PathValue("name"), Holder: ask.Holder, Token: ask.Token, TTL: ask.TTL, Value: ask.Value, SetsVal: ask.Value != nil,
		}), nil
	})
}

func (s *Server) acquire(w http.ResponseWriter, req *http.Request) {
	s.onRecord(w, req, func(h catalog.Hold) catalog.Command { return catalog.Command{Acquire: &h} })
}

func (s *Server) update(w http.ResponseWriter, req *http.Request) {
	s.onRecord(w, req, func(h catalog.Hold) catalog.Command { return catalog.Command{Update: &h} })
}

func (s *Server) release(w http.ResponseWriter, req *http.Request) {
	s.onRecord(w, req, func(h catalog.Hold) catalog.Command { return catalog.Command{Release: &h} })
}
