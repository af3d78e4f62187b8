package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"starlingusher/fleet/history"
)

// DirectoryProxy is a replica of a directory as one node sees it. It forwards the node's requests, replaces
// the addresses of endpoints with those at which the node reaches them, and records what was announced to the
// node. If the replica is down, the proxy's answers break off too.
type DirectoryProxy struct {
	agent  *Agent
	addr   string // of the replica
	client *http.Client
	srv    *http.Server
	life   context.Context
	end    context.CancelFunc
	wg     sync.WaitGroup
}

// StartDirectoryProxy starts a proxy at an address. Notices that the replica has accepted are passed to the
// node's agent.
func StartDirectoryProxy(a *Agent, at, replica string) (*DirectoryProxy, error) {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return nil, fmt.Errorf("directory of node %d: %w", a.node, err)
	}
	w := &DirectoryProxy{agent: a, addr: replica, client: &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}}
	w.life, w.end = context.WithCancel(context.Background())
	w.srv = &http.Server{Handler: w, ReadHeaderTimeout: 30 * time.Second, BaseContext: func(net.Listener) context.Context { return w.life }}
	w.wg.Go(func() { w.srv.Serve(ln) })
	return w, nil
}

// Close stops the proxy.
func (w *DirectoryProxy) Close() {
	w.end()
	w.srv.Close()
	w.wg.Wait()
	w.client.CloseIdleConnections()
}

// ServeHTTP forwards a request.
func (w *DirectoryProxy) ServeHTTP(out http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, 4*maxBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	next, err := http.NewRequestWithContext(req.Context(), req.Method, "http://"+w.addr+req.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	resp, err := w.client.Do(next)
	if err != nil {
		panic(http.ErrAbortHandler) // the node's connection breaks off, as one to the replica itself would
	}
	defer resp.Body.Close()
	for name, v := range resp.Header {
		if name != "Content-Length" {
			out.Header()[name] = v
		}
	}
	if req.Method == http.MethodPost && resp.StatusCode/100 == 2 {
		w.agent.take(body)
	}
	out.WriteHeader(resp.StatusCode)
	if resp.StatusCode != http.StatusOK || req.Method != http.MethodGet {
		io.Copy(out, resp.Body)
		return
	}
	flush := http.NewResponseController(out)
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		line := lines.Bytes()
		if len(bytes.TrimSpace(line)) > 0 {
			if line = w.agent.translate(line); line == nil {
				panic(http.ErrAbortHandler)
			}
		}
		if _, err := out.Write(append(bytes.Clone(line), '\n')); err != nil || flush.Flush() != nil {
			return
		}
	}
	if req.URL.Query().Get("watch") == "1" {
		panic(http.ErrAbortHandler)
	}
}

// translateList replaces the addresses in a list with the node's own, and records what the list announces.
func (a *Agent) translate(line []byte) []byte {
	var l List
	if json.Unmarshal(line, &l) != nil {
		return nil
	}
	now := a.platform.log.Now()
	a.platform.mu.Lock()
	at := map[string]func(int) string{}
	for _, c := range a.platform.changes {
		at[c.member.ID] = c.addr
	}
	a.platform.mu.Unlock()
	named := map[string]bool{}
	for i := range l.Members {
		m := &l.Members[i]
		named[m.ID] = true
		if addr := at[m.ID]; addr != nil {
			m.Addr = addr(a.node)
		}
		a.sees(m.ID, m.Cell, m.Phase, now)
	}
	if l.Complete {
		a.mu.Lock()
		var gone []string
		for id := range a.seen {
			if !named[id] {
				gone = append(gone, id)
			}
		}
		a.mu.Unlock()
		for _, id := range gone {
			a.sees(id, -1, history.Deleted, now)
		}
	}
	raw, err := json.Marshal(l)
	if err != nil {
		return nil
	}
	return raw
}

// recordPhase records that an endpoint's phase is announced to the node, if it differs from the one announced
// last.
func (a *Agent) sees(id string, cell int, phase string, at time.Duration) {
	a.mu.Lock()
	if a.seen == nil {
		a.seen = map[string]string{}
	}
	before := a.seen[id]
	a.seen[id] = phase
	a.mu.Unlock()
	if before != phase {
		a.platform.log.Add(history.Event{Kind: history.ChangeAnnounced, Node: a.node, Partner: cell, Endpoint: id, State: phase, At: max(at, 1)})
	}
}
