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

	"starlingusher/internal/sysretry"
)

const (
	adminHeaderTimeout  = 2 * time.Second        // to read a request's header
	adminTimeout        = 3 * time.Second        // to read a whole request, and to write its answer
	adminMaxHeaderSize  = 8 << 10                // bytes
	adminCommandTimeout = 800 * time.Millisecond // an operator's command must be answered within 1 s
)

// Admin serves the operators' address with one request on each connection. It starts before its node and
// stops after it.
type Admin struct {
	server   *http.Server
	listener net.Listener // nil if there is no operators' address
	node     atomic.Pointer[Node]
	metrics  *metrics // of the process, used by each node that it runs
}

// ListenAdmin opens the operators' address, if the configuration names one, and serves it until Close. It waits
// while the address is not available.
func ListenAdmin(ctx context.Context, cfg Config, log *slog.Logger) (*Admin, error) {
	a := &Admin{metrics: newMetrics(cfg.Names.Classes)}
	if cfg.AdminAddr == "" {
		return a, nil
	}
	ln, err := sysretry.Until(ctx, log, "waiting until the operators' address can be opened", func() (net.Listener, error) { return net.Listen("tcp", cfg.AdminAddr) })
	if err != nil {
		return nil, fmt.Errorf("operators' address: %w", err)
	}
	a.listener = &cappedListener{Listener: sysretry.Listener{Listener: ln}, maxConns: max(cfg.Limits.Sockets/operatorSocketsDivisor, 4), conns: map[*operatorConn]bool{}}
	a.server = &http.Server{
		Handler: a.handler(), MaxHeaderBytes: adminMaxHeaderSize,
		ReadHeaderTimeout: adminHeaderTimeout, ReadTimeout: adminTimeout, WriteTimeout: adminTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug), // errors of single connections are routine
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, operatorConnKey{}, nc)
		},
	}
	a.server.SetKeepAlivesEnabled(false)
	go func() { // until Close
		if err := a.server.Serve(a.listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error("operators' address is no longer served", "err", err)
		}
	}()
	return a, nil
}

// SetNode sets the node that further requests are answered for. It must be called before the node runs.
func (a *Admin) SetNode(n *Node) {
	n.metrics = a.metrics
	a.node.Store(n)
}

// Close closes the address and all its connections, even while requests are being answered.
func (a *Admin) Close() error {
	if a.server == nil {
		return nil
	}
	return a.server.Close()
}

func (a *Admin) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/ready", func(w http.ResponseWriter, _ *http.Request) {
		reason := "starting"
		if n := a.node.Load(); n != nil {
			reason = n.NotReadyReason()
		}
		if reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
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
	mux.HandleFunc("POST /-/endpoints/{id}/disable", func(w http.ResponseWriter, req *http.Request) { a.setEndpointEnabled(w, req, false) })
	mux.HandleFunc("POST /-/endpoints/{id}/enable", func(w http.ResponseWriter, req *http.Request) { a.setEndpointEnabled(w, req, true) })
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if c, ok := req.Context().Value(operatorConnKey{}).(*operatorConn); ok {
			c.markRequestReceived()
		}
		// ServeMux would redirect such a path, which neither confirms nor refuses a command.
		if p := req.URL.Path; p != path.Clean(p) {
			http.NotFound(w, req)
			return
		}
		mux.ServeHTTP(w, req)
	})
}

// setEndpointEnabled passes an operator's command for an endpoint to the node. Success in the answer means
// that the command is in effect and outlasts a restart.
func (a *Admin) setEndpointEnabled(w http.ResponseWriter, req *http.Request, enable bool) {
	n := a.node.Load()
	if n == nil {
		http.Error(w, "starting", http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithTimeout(req.Context(), adminCommandTimeout)
	defer cancel()
	switch err := n.SetEndpointEnabled(ctx, req.PathValue("id"), enable); {
	case errors.Is(err, ErrUnknownEndpoint):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, "not confirmed in time, it may yet be done: say it again", http.StatusServiceUnavailable)
	case enable:
		fmt.Fprintln(w, "serves again")
	default:
		fmt.Fprintln(w, "left out")
	}
}

type operatorConnKey struct{}

// cappedListener limits the number of open connections. At the limit it closes the one that has been open
// longest without a complete request, so that clients that only hold connections can't shut others out.
type cappedListener struct {
	net.Listener
	maxConns int

	mu         sync.Mutex
	conns      map[*operatorConn]bool
	incomplete queue.List // connections that have not sent a complete request, oldest first
}

type operatorConn struct {
	net.Conn
	listener *cappedListener
	element  *queue.Element // its element of incomplete; nil once its request is complete
}

func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &operatorConn{Conn: nc, listener: l}
		l.mu.Lock()
		var oldest *operatorConn
		full := len(l.conns) >= l.maxConns
		if e := l.incomplete.Front(); full && e != nil {
			oldest = e.Value.(*operatorConn)
			oldest.release()
			full = false
		}
		if !full {
			l.conns[c] = true
			c.element = l.incomplete.PushBack(c)
		}
		l.mu.Unlock()
		if oldest != nil {
			oldest.Conn.Close()
		}
		if !full {
			return c, nil
		}
		nc.Close() // the request of every other connection is complete and being answered
	}
}

// markRequestReceived records that the connection has sent a complete request.
func (c *operatorConn) markRequestReceived() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.removeFromIncomplete()
}

// removeFromIncomplete removes the connection from incomplete. The lock must be held.
func (c *operatorConn) removeFromIncomplete() {
	if c.element != nil {
		c.listener.incomplete.Remove(c.element)
		c.element = nil
	}
}

// release removes the connection from those that count against the limit. The lock must be held.
func (c *operatorConn) release() {
	c.removeFromIncomplete()
	delete(c.listener.conns, c)
}

func (c *operatorConn) Close() error {
	c.listener.mu.Lock()
	c.release()
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
