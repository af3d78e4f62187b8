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

// Response headers in addition to those of the platform's discovery.
const (
	HeaderHistory    = "Registry-History"    // number of the history that the revisions belong to
	HeaderRevision   = "Registry-Revision"   // of the list
	HeaderAge        = "Registry-Age-Ms"     // time since the replica's last contact with the leader
	HeaderVouched    = "Registry-Vouched"    // "no": the source of the list has gone silent
	HeaderPartitions = "Registry-Partitions" // in answers about some partitions: the number of partitions that the filter is based on
	HeaderMap        = "Registry-Map"        // likewise: the number of the partition map, 0 for none
	headerPassedOn   = "Registry-Passed-On"
)

const (
	maxWrite     = 16 << 20 // of a request body
	catchUp      = 300 * time.Millisecond
	passOnWait   = 5 * time.Second
	resumeCost   = 0.1 // admission cost of a request for changes; a complete list costs 1
	headerWait   = 10 * time.Second
	idleWait     = 2 * time.Minute
	sendBuffer   = 64 << 10 // kernel buffer for a client that does not read
	maxHistory   = 1000     // changes in one response
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
	mapping sync.Mutex // held from the validation of a new partition map until its outcome
	parts   sync.WaitGroup
	end     context.CancelFunc
}

// Serve opens the replica's address and serves it until Close.
func Serve(r *Replica) (*Server, error) {
	ln, err := net.Listen("tcp", cmp.Or(r.cfg.BindHTTP, r.cfg.HTTP))
	if err != nil {
		return nil, fmt.Errorf("http: %w", err)
	}
	s := &Server{r: r, admits: newAdmission(r.cfg.Requests.Rate, r.cfg.Requests.Burst)}
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
				t.SetWriteBuffer(sendBuffer) // a client that does not read must not use up the machine's memory
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

// Close ends all watches and connections.
func (s *Server) Close() error {
	s.end()
	err := s.http.Close()
	s.parts.Wait()
	s.watches.wait.Wait()
	return errors.Join(err, s.reports.close())
}

// errorBody is the body of an error response.
type problem struct {
	Error    string `json:"error"`
	Outcome  string `json:"outcome"` // refused: certainly not done; unknown: may have been done; held: awaits confirmation
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

// writeRetryLater refuses a request and asks the client to retry after a delay.
func later(w http.ResponseWriter, d time.Duration, why string) {
	w.Header().Set("Retry-After", strconv.Itoa(retryAfter(d)))
	answer(w, http.StatusServiceUnavailable, problem{Error: why, Outcome: "refused"})
}

// writeResult writes the response to a command.
func result(w http.ResponseWriter, res catalog.Result, err error) {
	switch {
	case errors.Is(err, ErrAmbiguous):
		answer(w, http.StatusGatewayTimeout, problem{Error: oneLine(err), Outcome: "unknown"})
		return
	case err != nil:
		later(w, time.Second, oneLine(err))
		return
	case errors.Is(res.Err, catalog.ErrNotBootstrapped): // the leader is about to bootstrap the service
		later(w, time.Second, oneLine(res.Err))
		return
	case res.Err == nil:
		answer(w, http.StatusOK, map[string]int64{"revision": res.Revision, "token": res.Token})
		return
	}
	code := http.StatusInternalServerError
	for is, c := range map[error]int{
		catalog.ErrConflict: http.StatusPreconditionFailed, catalog.ErrHeld: http.StatusAccepted, catalog.ErrNotFound: http.StatusNotFound,
		catalog.ErrNotHolder: http.StatusConflict, catalog.ErrInvalid: http.StatusBadRequest, catalog.ErrFull: http.StatusInsufficientStorage,
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

// forwardToLeader forwards a request to the leader, unless this replica leads, and reports whether it has
// responded.
func (s *Server) passOn(w http.ResponseWriter, req *http.Request, body []byte) bool {
	if s.r.leads() {
		return false
	}
	if req.Header.Get(headerPassedOn) != "" {
		later(w, time.Second, "the replica that this request was forwarded to does not lead")
		return true
	}
	id, address := s.r.leader()
	if address == "" || id == s.r.cfg.ID {
		later(w, time.Second, "there is no leader: no majority of replicas can reach each other")
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
			later(w, time.Second, "the leader, "+id+", is unreachable")
			return true
		}
		answer(w, http.StatusGatewayTimeout, problem{Error: "the leader, " + id + ", did not respond: " + oneLine(err), Outcome: "unknown"})
		return true
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxBackup))
	if err != nil {
		answer(w, http.StatusGatewayTimeout, problem{Error: "the leader, " + id + ", closed the connection during its response", Outcome: "unknown"})
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

// readBody reads a request body up to a size limit.
func body(w http.ResponseWriter, req *http.Request, most int64) ([]byte, bool) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, req.Body, most))
	var big *http.MaxBytesError
	switch {
	case errors.As(err, &big):
		wrong(w, http.StatusRequestEntityTooLarge, fmt.Errorf("the body exceeds %d bytes", most))
	case err != nil:
		wrong(w, http.StatusBadRequest, err)
	}
	return raw, err == nil
}

// decodeOnLeader decodes a request body if this replica leads. Otherwise it forwards the request, and
// responds to one that is malformed; it then returns false.
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

// runCommand forwards the request to the leader, or replicates its command and responds.
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
	c.By = strings.ToValidUTF8(first(req.Header.Get("Registry-By"), catalog.MaxNameBytes), "?")
	res, err := s.r.propose(c)
	s.metrics.wrote(time.Since(begun), errors.Join(err, res.Err))
	result(w, res, err)
}

func first(s string, n int) string { return s[:min(len(s), n)] }
