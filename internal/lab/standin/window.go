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
	agent       *Agent
	replicaAddr string // of the replica
	client      *http.Client
	server      *http.Server
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
}

// StartDirectoryProxy starts a proxy at an address. Notices that the replica has accepted are passed to the
// node's agent.
func StartDirectoryProxy(a *Agent, addr, replica string) (*DirectoryProxy, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for directory of node %d: %w", a.node, err)
	}
	w := &DirectoryProxy{agent: a, replicaAddr: replica, client: &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 30 * time.Second, BaseContext: func(net.Listener) context.Context { return w.ctx }}
	w.wg.Go(func() { w.server.Serve(ln) })
	return w, nil
}

// Close stops the proxy.
func (w *DirectoryProxy) Close() {
	w.cancel()
	w.server.Close()
	w.wg.Wait()
	w.client.CloseIdleConnections()
}

// ServeHTTP forwards a request.
func (w *DirectoryProxy) ServeHTTP(out http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, 4*maxBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	next, err := http.NewRequestWithContext(req.Context(), req.Method, "http://"+w.replicaAddr+req.URL.RequestURI(), bytes.NewReader(body))
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
		w.agent.recordNotices(body)
	}
	out.WriteHeader(resp.StatusCode)
	if resp.StatusCode != http.StatusOK || req.Method != http.MethodGet {
		io.Copy(out, resp.Body)
		return
	}
	controller := http.NewResponseController(out)
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		line := lines.Bytes()
		if len(bytes.TrimSpace(line)) > 0 {
			if line = w.agent.translateList(line); line == nil {
				panic(http.ErrAbortHandler)
			}
		}
		if _, err := out.Write(append(bytes.Clone(line), '\n')); err != nil || controller.Flush() != nil {
			return
		}
	}
	if req.URL.Query().Get("watch") == "1" {
		panic(http.ErrAbortHandler)
	}
}

// translateList replaces the addresses in a list with the node's own, and records what the list announces.
func (a *Agent) translateList(line []byte) []byte {
	var l List
	if json.Unmarshal(line, &l) != nil {
		return nil
	}
	now := a.platform.log.Now()
	a.platform.mu.Lock()
	addrByID := map[string]func(int) string{}
	for _, c := range a.platform.changes {
		addrByID[c.member.ID] = c.addrFor
	}
	a.platform.mu.Unlock()
	listed := map[string]bool{}
	for i := range l.Members {
		m := &l.Members[i]
		listed[m.ID] = true
		if addr := addrByID[m.ID]; addr != nil {
			m.Addr = addr(a.node)
		}
		a.recordPhase(m.ID, m.Cell, m.Phase, now)
	}
	if l.Complete {
		a.mu.Lock()
		var missing []string
		for id := range a.announcedPhases {
			if !listed[id] {
				missing = append(missing, id)
			}
		}
		a.mu.Unlock()
		for _, id := range missing {
			a.recordPhase(id, -1, history.Deleted, now)
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
func (a *Agent) recordPhase(id string, partnerNumber int, phase string, at time.Duration) {
	a.mu.Lock()
	if a.announcedPhases == nil {
		a.announcedPhases = map[string]string{}
	}
	last := a.announcedPhases[id]
	a.announcedPhases[id] = phase
	a.mu.Unlock()
	if last != phase {
		a.platform.log.Add(history.Event{Kind: history.ChangeAnnounced, Node: a.node, Partner: partnerNumber, Endpoint: id, State: phase, At: max(at, 1)})
	}
}
