package directory

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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
	HeaderHistory    = "Registry-History"    // number of the history that the revisions belong to
	HeaderRevision   = "Registry-Revision"   // the list's
	HeaderAge        = "Registry-Age-Ms"     // for how long the replica has heard nothing of a leader
	HeaderVouched    = "Registry-Vouched"    // "no": the list's source has gone silent
	HeaderPartitions = "Registry-Partitions" // of an answer to an ask for some of them: by how many it was filtered
	HeaderMap        = "Registry-Map"        // of the same: the number of the map of partitions, 0 for none
	headerPassedOn   = "Registry-Passed-On"
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
	mapping sync.Mutex // held from the check of a new map of partitions until what came of it
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
	case errors.Is(res.Err, catalog.ErrNew): // the leader is about to
		later(w, time.Second, oneLine(res.Err))
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
	for _, h := range []string{"Content-Type", "Retry-After", "ETag", HeaderHistory, HeaderRevision, HeaderAge, HeaderVouched, HeaderPartitions, HeaderMap} {
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

// leaderReads reads a body at the leader, or answers: elsewhere by passing it on, here for what can't be read.
func (s *Server) leaderReads(w http.ResponseWriter, req *http.Request, into any) bool {
	raw, ok := body(w, req, maxWrite)
	if !ok || s.passOn(w, req, raw) {
		return false
	}
	if err := strict(raw, into); err != nil {
		wrong(w, http.StatusBadRequest, err)
		return false
	}
	return true
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
	if errors.Is(err, catalog.ErrFull) {
		wrong(w, http.StatusInsufficientStorage, err)
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
