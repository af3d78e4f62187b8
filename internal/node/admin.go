package node

import (
	"bytes"
	queue "container/list"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path"
	"sync"
	"sync/atomic"
	"time"
)

const (
	adminHeaderTimeout  = 2 * time.Second // for a whole request header
	adminTimeout        = 3 * time.Second
	adminHeader         = 8 << 10
	adminCommandTimeout = 800 * time.Millisecond // answers are due within 1 s
)

// Admin serves the operators' address, one request on each connection. It exists before its node and outlives
// it.
type Admin struct {
	srv     *http.Server
	ln      net.Listener // nil without an operators' address
	node    atomic.Pointer[Node]
	metrics *metrics // of the process, for each node that it runs
}

// ListenAdmin opens the operators' address, if the configuration names one, and serves it until Close.
func ListenAdmin(cfg Config, log *slog.Logger) (*Admin, error) {
	a := &Admin{metrics: newMetrics(cfg.Names.Classes)}
	if cfg.AdminAddr == "" {
		return a, nil
	}
	ln, err := net.Listen("tcp", cfg.AdminAddr)
	if err != nil {
		return nil, fmt.Errorf("operators' address: %w", err)
	}
	a.ln = &callers{Listener: ln, most: max(cfg.Limits.Sockets/operatorSocketsDivisor, 4), open: map[*caller]bool{}}
	a.srv = &http.Server{
		Handler: a.handler(), MaxHeaderBytes: adminHeader,
		ReadHeaderTimeout: adminHeaderTimeout, ReadTimeout: adminTimeout, WriteTimeout: adminTimeout,
		ErrorLog:    slog.NewLogLogger(log.Handler(), slog.LevelDebug), // connections that come and go are not worth a log line
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context { return context.WithValue(ctx, callerKey{}, nc) },
	}
	a.srv.SetKeepAlivesEnabled(false)
	go func() { // until Close
		if err := a.srv.Serve(a.ln); !errors.Is(err, http.ErrServerClosed) {
			log.Error("operators' address is no longer served", "err", err)
		}
	}()
	return a, nil
}

// SetNode sets the node that the answers are about from now on. The node must not run yet.
func (a *Admin) SetNode(n *Node) {
	n.figures = a.metrics
	a.node.Store(n)
}

// Close closes the address and all its connections, even during a request.
func (a *Admin) Close() error {
	if a.srv == nil {
		return nil
	}
	return a.srv.Close()
}

func (a *Admin) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/ready", func(w http.ResponseWriter, _ *http.Request) {
		why := "starting"
		if n := a.node.Load(); n != nil {
			why = n.NotReadyReason()
		}
		if why != "" {
			http.Error(w, why, http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	mux.HandleFunc("GET /-/metrics", func(w http.ResponseWriter, _ *http.Request) {
		var b bytes.Buffer
		a.metrics.write(&b)
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Write(b.Bytes())
	})
	mux.HandleFunc("POST /-/endpoints/{id}/disable", func(w http.ResponseWriter, req *http.Request) { a.order(w, req, false) })
	mux.HandleFunc("POST /-/endpoints/{id}/enable", func(w http.ResponseWriter, req *http.Request) { a.order(w, req, true) })
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if c, ok := req.Context().Value(callerKey{}).(*caller); ok {
			c.called()
		}
		// ServeMux would redirect, which neither confirms nor refuses.
		if p := req.URL.Path; p != path.Clean(p) {
			http.NotFound(w, req)
			return
		}
		mux.ServeHTTP(w, req)
	})
}

// setEndpointEnabled passes an operator's command for an endpoint to the node. A success status means that
// the command is in effect and outlasts a restart.
func (a *Admin) order(w http.ResponseWriter, req *http.Request, lift bool) {
	n := a.node.Load()
	if n == nil {
		http.Error(w, "starting", http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithTimeout(req.Context(), adminCommandTimeout)
	defer cancel()
	switch err := n.SetEndpointEnabled(ctx, req.PathValue("id"), lift); {
	case errors.Is(err, ErrUnknownEndpoint):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, "not confirmed in time, it may yet be done: say it again", http.StatusServiceUnavailable)
	case lift:
		fmt.Fprintln(w, "serves again")
	default:
		fmt.Fprintln(w, "left out")
	}
}

type callerKey struct{}

// cappedListener limits the number of connections. At the limit it closes the connection that has been open
// longest without a whole request, so that clients that only hold connections can't shut others out.
type callers struct {
	net.Listener
	most int

	mu     sync.Mutex
	open   map[*caller]bool
	silent queue.List // connections without a whole request yet, oldest first
}

type caller struct {
	net.Conn
	of    *callers
	place *queue.Element // in incomplete
}

func (l *callers) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &caller{Conn: nc, of: l}
		l.mu.Lock()
		var oldest *caller
		full := len(l.open) >= l.most
		if e := l.silent.Front(); full && e != nil {
			oldest = e.Value.(*caller)
			oldest.leave()
			full = false
		}
		if !full {
			l.open[c] = true
			c.place = l.silent.PushBack(c)
		}
		l.mu.Unlock()
		if oldest != nil {
			oldest.Conn.Close()
		}
		if !full {
			return c, nil
		}
		nc.Close() // all other connections are being answered
	}
}

// markRequestReceived records that the whole request has arrived.
func (c *caller) called() {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	c.speak()
}

// removeFromIncomplete removes the connection from the incomplete ones. The lock must be held.
func (c *caller) speak() {
	if c.place != nil {
		c.of.silent.Remove(c.place)
		c.place = nil
	}
}

// release gives the connection's slot back. The lock must be held.
func (c *caller) leave() {
	c.speak()
	delete(c.of.open, c)
}

func (c *caller) Close() error {
	c.of.mu.Lock()
	c.leave()
	c.of.mu.Unlock()
	return c.Conn.Close()
}
