package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeatInterval = 2 * time.Second
	oldAddressGrace   = 1500 * time.Millisecond // a moved discovery closes the connections of its old address after this
)

// Member is an endpoint in discovery's list.
type Member struct {
	ID        string  `json:"id"`
	Addr      string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

// List is a list of endpoints as discovery sends it.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Notice is the end of a message as the node reports it.
type Notice struct {
	ID    string `json:"id"`
	State string `json:"state"`
	At    time.Time
}

// Platform stands in for discovery: it serves a list that does not change and takes notices.
type Platform struct {
	record *Record
	list   List

	mu       sync.Mutex
	server   *http.Server
	listener net.Listener
	conns    map[net.Conn]bool
	notices  map[string][]Notice
}

// NewPlatform starts discovery on a free loopback port.
func NewPlatform(record *Record, members []Member) (*Platform, error) {
	p := &Platform{record: record, list: List{Revision: 1, Complete: true, Members: members}, notices: map[string][]Notice{}}
	return p, p.open()
}

func (p *Platform) open() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	conns := map[net.Conn]bool{}
	server := &http.Server{Handler: http.HandlerFunc(p.serve), ConnState: func(c net.Conn, state http.ConnState) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if state == http.StateClosed || state == http.StateHijacked {
			delete(conns, c)
		} else {
			conns[c] = true
		}
	}}
	p.mu.Lock()
	p.server, p.listener, p.conns = server, ln, conns
	p.mu.Unlock()
	go server.Serve(ln)
	return nil
}

// Addr returns the current address.
func (p *Platform) Addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

// List returns the list.
func (p *Platform) List() List { return p.list }

// Move opens a new address. The old one takes no new connections and closes its open ones after 1.5 s.
func (p *Platform) Move() error {
	p.mu.Lock()
	oldListener, oldServer := p.listener, p.server
	p.mu.Unlock()
	if err := p.open(); err != nil {
		return err
	}
	oldListener.Close()
	time.AfterFunc(oldAddressGrace, func() { oldServer.Close() })
	return nil
}

// Close ends the platform.
func (p *Platform) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server.Close()
}

// Notices returns the notices of a message.
func (p *Platform) Notices(id string) []Notice {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Notice(nil), p.notices[id]...)
}

func (p *Platform) serve(w http.ResponseWriter, req *http.Request) {
	switch {
	case req.Method == http.MethodPost && req.URL.Path == "/reports":
		p.serveNotices(w, req)
	case req.Method == http.MethodGet && req.URL.Path == "/registry/instances":
		p.serveList(w, req)
	default:
		http.NotFound(w, req)
	}
}

func (p *Platform) serveNotices(w http.ResponseWriter, req *http.Request) {
	now := time.Now()
	var all []Notice
	lines := bufio.NewScanner(req.Body)
	for lines.Scan() {
		var n Notice
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil || n.ID == "" {
			http.Error(w, "not a notice", http.StatusBadRequest)
			return
		}
		n.At = now
		all = append(all, n)
	}
	p.mu.Lock()
	for _, n := range all {
		p.notices[n.ID] = append(p.notices[n.ID], n)
	}
	p.mu.Unlock()
	for _, n := range all {
		p.record.Add("platform: notice %s %s", n.ID, n.State)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveList(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	out := json.NewEncoder(w)
	if req.URL.Query().Get("watch") != "1" {
		out.Encode(p.list)
		return
	}
	p.record.Add("platform: watch opened at %s", req.Host)
	first := p.list
	if req.URL.Query().Get("after") == fmt.Sprint(p.list.Revision) {
		first = List{Revision: p.list.Revision, Members: []Member{}}
	}
	out.Encode(first)
	flusher := w.(http.Flusher)
	flusher.Flush()
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	for {
		select {
		case <-beat.C:
			fmt.Fprintln(w)
			flusher.Flush()
		case <-req.Context().Done():
			p.record.Add("platform: watch ended at %s", req.Host)
			return
		}
	}
}
