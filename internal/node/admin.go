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
	adminHeaderTimeout = 2 * time.Second // for a whole call
	adminTimeout       = 3 * time.Second
	adminHeader        = 8 << 10
	orderTimeout       = 800 * time.Millisecond // answers are due within 1 s
)

// Admin is the operators' address: one call a connection. It is there before its node is, and outlasts it.
type Admin struct {
	srv     *http.Server
	ln      net.Listener // nil: the node runs without
	node    atomic.Pointer[Node]
	figures *figures // of the process, whatever nodes it has been
}

// ListenAdmin opens the operators' address, if the configuration names one, and answers there until Close.
func ListenAdmin(cfg Config, log *slog.Logger) (*Admin, error) {
	a := &Admin{figures: newFigures(cfg.Names.Classes)}
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
		ErrorLog:    slog.NewLogLogger(log.Handler(), slog.LevelDebug), // callers that come and go are no news
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context { return context.WithValue(ctx, callerKey{}, nc) },
	}
	a.srv.SetKeepAlivesEnabled(false)
	go func() { // until Close
		if err := a.srv.Serve(a.ln); !errors.Is(err, http.ErrServerClosed) {
			log.Error("operators' address", "err", err)
		}
	}()
	return a, nil
}

// Serve answers for a node from now on. The node must not run yet.
func (a *Admin) Serve(n *Node) {
	n.figures = a.figures
	a.node.Store(n)
}

// Close ends the address, calls that are open included.
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
		a.figures.write(&b)
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Write(b.Bytes())
	})
	mux.HandleFunc("POST /-/endpoints/{id}/disable", func(w http.ResponseWriter, req *http.Request) { a.order(w, req, false) })
	mux.HandleFunc("POST /-/endpoints/{id}/enable", func(w http.ResponseWriter, req *http.Request) { a.order(w, req, true) })
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if c, ok := req.Context().Value(callerKey{}).(*caller); ok {
			c.called()
		}
		// ServeMux would redirect, which is neither a yes nor a no.
		if p := req.URL.Path; p != path.Clean(p) {
			http.NotFound(w, req)
			return
		}
		mux.ServeHTTP(w, req)
	})
}

// order passes on what is said of an endpoint. Its yes says that it is so, and stays so over a restart.
func (a *Admin) order(w http.ResponseWriter, req *http.Request, lift bool) {
	n := a.node.Load()
	if n == nil {
		http.Error(w, "starting", http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithTimeout(req.Context(), orderTimeout)
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

// callers is a listener with a cap on its connections. At the cap the one that has been there longest without a
// whole call gives way, so that those who only hold theirs shut nobody out.
type callers struct {
	net.Listener
	most int

	mu     sync.Mutex
	open   map[*caller]bool
	silent queue.List // those with no whole call yet, oldest first
}

type caller struct {
	net.Conn
	of    *callers
	place *queue.Element // among the silent
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
		nc.Close() // all others are being answered
	}
}

// called says that the caller's call has come whole.
func (c *caller) called() {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	c.speak()
}

// speak takes it out of the silent ones; the lock is held.
func (c *caller) speak() {
	if c.place != nil {
		c.of.silent.Remove(c.place)
		c.place = nil
	}
}

// leave gives its place back; the lock is held.
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
