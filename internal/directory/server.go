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
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"starlingusher/fleet/catalog"
	"starlingusher/internal/sysretry"
)

// Response headers in addition to those of the platform's discovery.
const (
	HeaderHistory    = "Registry-History"    // number of the history that the revisions belong to
	HeaderRevision   = "Registry-Revision"   // of the list
	HeaderAge        = "Registry-Age-Ms"     // time since the replica's last contact with the leader
	HeaderVouched    = "Registry-Vouched"    // "no": the source of the list has gone silent
	HeaderPartitions = "Registry-Partitions" // in answers about some partitions: the number of partitions that the filter is based on
	HeaderMap        = "Registry-Map"        // likewise: the number of the ownership map, 0 for none
	headerForwarded  = "Registry-Passed-On"
)

const (
	maxBodyBytes        = 16 << 20 // of a request body
	catchUpTimeout      = 300 * time.Millisecond
	forwardTimeout      = 5 * time.Second
	deltaCost           = 0.1 // admission cost of a request for changes; a complete list costs 1
	headerTimeout       = 10 * time.Second
	idleTimeout         = 2 * time.Minute
	sendBufferBytes     = 64 << 10 // kernel buffer for a client that does not read
	maxHistoryLimit     = 1000     // changes in one response
	defaultHistoryLimit = 100
)

// Server serves a replica over HTTP.
type Server struct {
	replica    *Replica
	admission  *admission
	notices    *noticeSink
	metrics    *metrics
	http       http.Server
	watches    watchSet
	mapWrites  sync.Mutex   // held from the validation of a new ownership map until its outcome
	recordOps  sync.RWMutex // held for reading by operations on records, for writing by a restore, until their outcome
	goroutines sync.WaitGroup
	cancel     context.CancelFunc
}

// Serve opens the replica's address and serves it until Close.
func Serve(r *Replica) (*Server, error) {
	ln, err := net.Listen("tcp", cmp.Or(r.cfg.BindHTTP, r.cfg.HTTP))
	if err != nil {
		return nil, fmt.Errorf("http: %w", err)
	}
	return ServeListener(r, ln)
}

// ServeListener is Serve on a listener at the replica's address, which the server then owns.
func ServeListener(r *Replica, ln net.Listener) (*Server, error) {
	var err error
	s := &Server{replica: r, admission: newAdmission(r.cfg.Requests.Rate, r.cfg.Requests.Burst)}
	if s.notices, err = openNoticeSink(r); err != nil {
		ln.Close()
		return nil, err
	}
	s.metrics = newMetrics(s)
	s.watches.all = map[*watchConn]bool{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", s.serveList)
	mux.HandleFunc("POST /registry/instances", s.serveWrite(parsePartial))
	mux.HandleFunc("PUT /registry/instances", s.serveWrite(parseFull))
	mux.HandleFunc("PUT /registry/instances/{id}", s.serveWrite(parseEndpoint))
	mux.HandleFunc("DELETE /registry/instances/{id}", s.serveWrite(parseDelete))
	mux.HandleFunc("POST /registry/instances/{id}/drain", s.serveDrain)
	mux.HandleFunc("PUT /registry/registrations/{id}", s.serveWrite(parseRegistration))
	mux.HandleFunc("POST /registry/renewals", s.serveRenewals)
	mux.HandleFunc("POST /reports", s.serveNotices)
	mux.HandleFunc("GET /records", s.serveRecords)
	mux.HandleFunc("GET /records/{name}", s.serveRecords)
	mux.HandleFunc("PUT /records/{name}", s.serveAcquire)
	mux.HandleFunc("POST /records/{name}", s.serveUpdate)
	mux.HandleFunc("DELETE /records/{name}", s.serveRelease)
	mux.HandleFunc("GET /directory/status", s.serveStatus)
	mux.HandleFunc("GET /directory/history", s.serveHistory)
	mux.HandleFunc("GET /directory/backup", s.serveBackup)
	mux.HandleFunc("POST /directory/restore", s.serveRestore)
	mux.HandleFunc("POST /directory/held/{number}", s.serveConfirm)
	mux.HandleFunc("POST /directory/join", s.serveJoin)
	mux.HandleFunc("PUT /directory/members/{id}", s.serveAddReplica)
	mux.HandleFunc("DELETE /directory/members/{id}", s.serveRemoveReplica)
	mux.Handle("GET /metrics", s.metrics.handler())
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.http = http.Server{
		Handler: rejectInvalidText(mux), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 16 << 10,
		BaseContext: func(net.Listener) context.Context { return ctx },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if t, ok := c.(*net.TCPConn); ok {
				t.SetWriteBuffer(sendBufferBytes) // a client that does not read must not use up the machine's memory
			}
			return ctx
		},
	}
	s.goroutines.Go(func() {
		if err := s.http.Serve(sysretry.Listener{Listener: ln}); !errors.Is(err, http.ErrServerClosed) {
			r.reportFailure(fmt.Errorf("http: %w", err))
		}
	})
	s.goroutines.Go(func() { s.watches.cutLagging(ctx, s) })
	return s, nil
}

// Close ends all watches and connections.
func (s *Server) Close() error {
	s.cancel()
	err := s.http.Close()
	s.goroutines.Wait()
	s.watches.closeAndWait()
	return errors.Join(err, s.notices.close())
}

// errorBody is the body of an error response.
type errorBody struct {
	Error    string `json:"error"`
	Outcome  string `json:"outcome"` // refused: certainly not done; unknown: may have been done; held: awaits confirmation
	Revision int64  `json:"revision,omitempty"`
	Held     int64  `json:"held,omitempty"`
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, code int, err error) {
	writeJSON(w, code, errorBody{Error: singleLine(err), Outcome: "refused"})
}

func singleLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }

// writeRetryLater refuses a request and asks the client to retry after a delay.
func writeRetryLater(w http.ResponseWriter, d time.Duration, why string) {
	w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds(d)))
	writeJSON(w, http.StatusServiceUnavailable, errorBody{Error: why, Outcome: "refused"})
}

// writeResult writes the response to a command.
func writeResult(w http.ResponseWriter, res catalog.Result, err error) {
	switch {
	case errors.Is(err, ErrAmbiguous):
		writeJSON(w, http.StatusGatewayTimeout, errorBody{Error: singleLine(err), Outcome: "unknown"})
		return
	case err != nil:
		writeRetryLater(w, time.Second, singleLine(err))
		return
	case errors.Is(res.Err, catalog.ErrNotBootstrapped): // the leader is about to bootstrap the service
		writeRetryLater(w, time.Second, singleLine(res.Err))
		return
	case res.Err == nil:
		writeJSON(w, http.StatusOK, map[string]int64{"revision": res.Revision, "token": res.Token})
		return
	}
	code := http.StatusInternalServerError
	for target, c := range map[error]int{
		catalog.ErrConflict: http.StatusPreconditionFailed, catalog.ErrHeld: http.StatusAccepted, catalog.ErrNotFound: http.StatusNotFound,
		catalog.ErrNotHolder: http.StatusConflict, catalog.ErrInvalid: http.StatusBadRequest, catalog.ErrFull: http.StatusInsufficientStorage,
	} {
		if errors.Is(res.Err, target) {
			code = c
		}
	}
	body := errorBody{Error: singleLine(res.Err), Outcome: "refused", Revision: res.Revision, Held: res.Held}
	if code == http.StatusAccepted {
		body.Outcome = "held"
	}
	writeJSON(w, code, body)
}

// forwardToLeader forwards a request to the leader, unless this replica leads, and reports whether it has
// responded.
func (s *Server) forwardToLeader(w http.ResponseWriter, req *http.Request, body []byte) bool {
	if s.replica.isLeader() {
		return false
	}
	if req.Header.Get(headerForwarded) != "" {
		writeRetryLater(w, time.Second, "the replica that this request was forwarded to does not lead")
		return true
	}
	id, address := s.replica.leader()
	if address == "" || id == s.replica.cfg.ID {
		writeRetryLater(w, time.Second, "there is no leader: no majority of replicas can reach each other")
		return true
	}
	ctx, cancel := context.WithTimeout(req.Context(), forwardTimeout)
	defer cancel()
	next, err := http.NewRequestWithContext(ctx, req.Method, "http://"+address+req.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return true
	}
	for _, h := range []string{"If-Match", "Registry-By", "Registry-Why"} {
		if v := req.Header.Get(h); v != "" {
			next.Header.Set(h, v)
		}
	}
	next.Header.Set(headerForwarded, s.replica.cfg.ID)
	resp, err := s.replica.peerClient.Do(next)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			writeRetryLater(w, time.Second, "the leader, "+id+", is unreachable")
			return true
		}
		writeJSON(w, http.StatusGatewayTimeout, errorBody{Error: "the leader, " + id + ", did not respond: " + singleLine(err), Outcome: "unknown"})
		return true
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxBackupBytes))
	if err != nil {
		writeJSON(w, http.StatusGatewayTimeout, errorBody{Error: "the leader, " + id + ", closed the connection during its response", Outcome: "unknown"})
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
func readBody(w http.ResponseWriter, req *http.Request, limit int64) ([]byte, bool) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, req.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, fmt.Errorf("the body exceeds %d bytes", limit))
	case err != nil:
		writeError(w, http.StatusBadRequest, err)
	}
	return raw, err == nil
}

// decodeOnLeader decodes a request body if this replica leads. Otherwise it forwards the request, and
// responds to one that is malformed; it then returns false.
func (s *Server) decodeOnLeader(w http.ResponseWriter, req *http.Request, into any) bool {
	raw, ok := readBody(w, req, maxBodyBytes)
	if !ok || s.forwardToLeader(w, req, raw) {
		return false
	}
	if err := decodeStrict(raw, into); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return false
	}
	return true
}

// runCommand forwards the request to the leader, or replicates its command and responds.
func (s *Server) runCommand(w http.ResponseWriter, req *http.Request, raw []byte, build func() (catalog.Command, error)) {
	start := time.Now()
	if s.forwardToLeader(w, req, raw) {
		return
	}
	c, err := build()
	if err != nil {
		writeBuildError(w, err)
		return
	}
	res, err := s.proposeFor(req, c, start)
	writeResult(w, res, err)
}

// writeBuildError responds to a request that made no command.
func writeBuildError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ErrRefused):
		writeRetryLater(w, time.Second, singleLine(err))
	case errors.Is(err, catalog.ErrFull):
		writeError(w, http.StatusInsufficientStorage, err)
	case errors.Is(err, catalog.ErrNotFound):
		writeError(w, http.StatusNotFound, err)
	default:
		writeError(w, http.StatusBadRequest, err)
	}
}

// proposeFor replicates the command of a request that began at start.
func (s *Server) proposeFor(req *http.Request, c catalog.Command, start time.Time) (catalog.Result, error) {
	c.By = strings.ToValidUTF8(truncate(req.Header.Get("Registry-By"), catalog.MaxNameBytes), "?")
	res, err := s.replica.propose(c)
	s.metrics.observeWrite(time.Since(start), errors.Join(err, res.Err))
	return res, err
}

// rejectInvalidText refuses requests whose path or query holds text that is not UTF-8, which no command can carry.
func rejectInvalidText(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		query, err := url.QueryUnescape(req.URL.RawQuery)
		if !utf8.ValidString(req.URL.Path) || err == nil && !utf8.ValidString(query) {
			writeError(w, http.StatusBadRequest, errors.New("the path or the query is not UTF-8"))
			return
		}
		next.ServeHTTP(w, req)
	})
}

func truncate(s string, n int) string { return s[:min(len(s), n)] }
