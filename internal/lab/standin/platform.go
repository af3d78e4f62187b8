package standin

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/fleet/history"
	"starlingusher/internal/lab/observe"
)

const (
	heartbeatInterval = 2 * time.Second
	announcedAfter    = 6 * time.Second         // after this time a change counts as announced, whether it arrived or not
	oldAddressGrace   = 1500 * time.Millisecond // how long the connections to an agent's old address stay open
)

// Member and List are the formats of discovery.
type (
	Member = catalog.Endpoint
	List   = catalog.List
)

type change struct {
	at       time.Duration
	revision int64
	member   Member // its Addr is filled in for each node
	addrFor  func(node int) string
}

// Platform stands in for discovery and receives notices. Each node has an agent that learns of changes with a
// delay.
type Platform struct {
	log    *observe.Log
	agents []*Agent

	mu      sync.Mutex
	changes []change
	current map[string]change // the platform's own state, by endpoint
	changed chan struct{}     // closed when that state changes
}

// Agent is the part of the platform on one node's machine.
type Agent struct {
	platform *Platform
	node     int
	delay    func() time.Duration
	onNotice func(id, state string, after time.Duration) // called for each notice
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu                 sync.Mutex
	known              []change // in the order in which it learned of them
	changed            chan struct{}
	extraDelay         time.Duration // added to the delay
	silent             bool
	silenceEnded       chan struct{} // closed when the silence ends
	server             *http.Server
	addr               string
	lastAnnounced      int64 // the last revision recorded as announced
	servers            []*http.Server
	directoryAnnounces bool              // a directory announces changes to the node in place of the agent
	announcedPhases    map[string]string // the phases that the directory has announced
}

// NewPlatform creates a platform for the given number of nodes. Each node's agent learns of a change after a
// delay drawn from the seed; onNotice is called for each notice of a node.
func NewPlatform(nodes int, low, high time.Duration, seed uint64, log *observe.Log, onNotice func(node int, id, state string, after time.Duration)) *Platform {
	p := &Platform{log: log, current: map[string]change{}, changed: make(chan struct{})}
	for n := range nodes {
		r := rand.New(rand.NewPCG(seed, uint64(n)))
		ctx, cancel := context.WithCancel(context.Background())
		a := &Agent{
			platform: p, node: n, cancel: cancel, changed: make(chan struct{}), silenceEnded: make(chan struct{}),
			delay:    func() time.Duration { return low + time.Duration(r.Float64()*float64(high-low)) },
			onNotice: func(id, state string, after time.Duration) { onNotice(n, id, state, after) },
		}
		p.agents = append(p.agents, a)
		a.wg.Go(func() { a.followPlatform(ctx) })
	}
	return p
}

// Agent returns the agent of a node.
func (p *Platform) Agent(node int) *Agent { return p.agents[node] }

// PutMember changes or adds an endpoint of the list. With atOnce all agents learn of it without delay, as at
// the start of a run.
func (p *Platform) PutMember(m Member, addr func(node int) string, atOnce bool) {
	p.mu.Lock()
	c := change{at: p.log.Now(), revision: int64(len(p.changes) + 1), member: m, addrFor: addr}
	if addr == nil {
		c.addrFor = p.current[m.ID].addrFor
	}
	p.changes = append(p.changes, c)
	if m.Phase == history.Deleted {
		delete(p.current, m.ID)
	} else {
		p.current[m.ID] = c
	}
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	for _, a := range p.agents {
		if atOnce {
			a.takeOver([]change{c})
		}
		a.wake()
	}
}

// Close closes all agents.
func (p *Platform) Close() {
	for _, a := range p.agents {
		a.close()
	}
}

func (p *Platform) changesFrom(i int) []change {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.changes[min(i, len(p.changes)):])
}

// wake makes the agent check for changes again.
func (a *Agent) wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *Agent) takeOver(changes []change) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range changes {
		if int(c.revision) == len(a.known)+1 {
			a.known = append(a.known, c)
		}
	}
}

// followPlatform takes over changes from the platform in order, each after its delay.
func (a *Agent) followPlatform(ctx context.Context) {
	drawnFor, delay := int64(0), time.Duration(0)
	for {
		a.mu.Lock()
		knownCount, changed, silent, extra := len(a.known), a.changed, a.silent, a.extraDelay
		a.mu.Unlock()
		next := a.platform.changesFrom(knownCount)
		wait := time.Hour
		if len(next) > 0 {
			c := next[0]
			if drawnFor != c.revision {
				drawnFor, delay = c.revision, a.delay()
			}
			due := c.at + delay + extra
			wait = time.Until(a.platform.log.WallTime(due))
			if wait <= 0 && !silent {
				a.takeOver(next[:1])
				a.announce(c, a.platform.log.Now())
				a.wake()
				continue
			}
			if silent {
				wait = time.Hour
			}
			wait = min(wait, a.announceOverdue(next))
		}
		t := time.NewTimer(max(wait, time.Millisecond))
		select {
		case <-t.C:
		case <-changed:
		case <-ctx.Done():
			t.Stop()
			return
		}
		t.Stop()
	}
}

// announceOverdue records as announced each change that counts as such by now, whether it arrived or not. It
// returns the time until the next change becomes overdue.
func (a *Agent) announceOverdue(changes []change) time.Duration {
	now := a.platform.log.Now()
	for _, c := range changes {
		if overdueAt := c.at + announcedAfter; overdueAt > now {
			return overdueAt - now
		}
		a.announce(c, c.at+announcedAfter)
	}
	return time.Hour
}

// announce records once that a change was announced.
func (a *Agent) announce(c change, at time.Duration) {
	a.mu.Lock()
	if a.directoryAnnounces {
		a.mu.Unlock()
		return
	}
	already := a.lastAnnounced >= c.revision
	a.lastAnnounced = max(a.lastAnnounced, c.revision)
	a.mu.Unlock()
	if !already {
		a.platform.log.Add(history.Event{
			Kind: history.ChangeAnnounced, Node: a.node, Partner: c.member.Cell, Endpoint: c.member.ID, State: c.member.Phase, At: max(at, 1),
		})
	}
}

// SetExtraDelay sets a time that is added to the delay of every change.
func (a *Agent) SetExtraDelay(extra time.Duration) {
	a.mu.Lock()
	a.extraDelay = extra
	a.mu.Unlock()
	a.wake()
}

// SetSilent stops the agent from receiving changes and answering requests, or lets it resume.
func (a *Agent) SetSilent(on bool) {
	a.mu.Lock()
	if a.silent && !on {
		close(a.silenceEnded)
		a.silenceEnded = make(chan struct{})
	}
	a.silent = on
	a.mu.Unlock()
	a.wake()
}

// FullList returns the full list as the agent knows it.
func (a *Agent) FullList() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fullList()
}

// fullList returns the full list. The caller holds the lock.
func (a *Agent) fullList() List {
	latest := map[string]change{}
	for _, c := range a.known {
		latest[c.member.ID] = c
	}
	l := List{Revision: int64(len(a.known)), Complete: true, Members: []Member{}}
	for _, c := range latest {
		if c.member.Phase != history.Deleted {
			l.Members = append(l.Members, a.localMember(c))
		}
	}
	slices.SortFunc(l.Members, func(x, y Member) int { return cmp.Compare(x.ID, y.ID) })
	return l
}

func (a *Agent) localMember(c change) Member {
	m := c.member
	m.Addr = c.addrFor(a.node)
	return m
}

// changesSince returns the changes after a revision, or the full list if the revision is unknown. The caller
// holds the lock.
func (a *Agent) changesSince(revision int64) List {
	if revision < 0 || revision > int64(len(a.known)) {
		return a.fullList()
	}
	l := List{Revision: int64(len(a.known)), Members: []Member{}}
	last := map[string]int{}
	for i, c := range a.known[revision:] {
		last[c.member.ID] = i
	}
	for i, c := range a.known[revision:] {
		if last[c.member.ID] == i {
			l.Members = append(l.Members, a.localMember(c))
		}
	}
	return l
}

// Listen opens the agent's address. A former address takes no more connections, and its open connections stay
// for a while.
func (a *Agent) Listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen for discovery of node %d: %w", a.node, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", a.handleList)
	mux.HandleFunc("POST /reports", a.handleReports)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 30 * time.Second}
	a.mu.Lock()
	old := a.server
	a.server, a.addr = srv, ln.Addr().String()
	a.servers = append(a.servers, srv)
	a.mu.Unlock()
	a.wg.Go(func() { srv.Serve(ln) })
	if old != nil {
		a.wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), oldAddressGrace)
			defer cancel()
			old.Shutdown(ctx) // closes the listener at once
			old.Close()
		})
	}
	return nil
}

// Addr returns the agent's current address.
func (a *Agent) Addr() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addr
}

func (a *Agent) close() {
	a.cancel()
	a.mu.Lock()
	servers := a.servers
	a.mu.Unlock()
	for _, s := range servers {
		s.Close()
	}
	a.wg.Wait()
}

// waitWhileSilent waits until the agent is not silent. It returns false if the context ends first.
func (a *Agent) waitWhileSilent(ctx context.Context) bool {
	for {
		a.mu.Lock()
		silent, ended := a.silent, a.silenceEnded
		a.mu.Unlock()
		if !silent {
			return true
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return false
		}
	}
}

func (a *Agent) handleList(w http.ResponseWriter, req *http.Request) {
	if !a.waitWhileSilent(req.Context()) {
		return
	}
	enc := json.NewEncoder(w)
	w.Header().Set("Content-Type", "application/json")
	if req.URL.Query().Get("watch") != "1" {
		enc.Encode(a.FullList())
		return
	}
	after, err := strconv.ParseInt(req.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = -1
	}
	controller := http.NewResponseController(w)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	first := true
	for {
		if !a.waitWhileSilent(req.Context()) {
			return
		}
		a.mu.Lock()
		l, changed := a.changesSince(after), a.changed
		a.mu.Unlock()
		if first || len(l.Members) > 0 {
			if enc.Encode(l) != nil || controller.Flush() != nil {
				return
			}
			after, first = l.Revision, false
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			if a.waitWhileSilent(req.Context()) {
				io.WriteString(w, "\n")
				if controller.Flush() != nil {
					return
				}
			}
		case <-req.Context().Done():
			return
		}
	}
}

func (a *Agent) handleReports(w http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(req.Body, 4*maxBody))
	if err != nil || !a.recordNotices(raw) {
		http.Error(w, "unreadable", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// recordNotices records the notices of a request body: all of them, or none if one can't be read.
func (a *Agent) recordNotices(raw []byte) bool {
	type notice struct {
		ID    string  `json:"id"`
		State string  `json:"state"`
		After float64 `json:"after_ms"`
	}
	var all []notice
	for line := range bytes.Lines(raw) {
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		var n notice
		if json.Unmarshal(line, &n) != nil || n.ID == "" || (n.State != history.Failed && n.State != history.Returned) {
			return false
		}
		all = append(all, n)
	}
	for _, n := range all {
		after := time.Duration(n.After * float64(time.Millisecond))
		a.platform.log.Add(history.Event{Kind: history.NoticeReceived, Node: a.node, Partner: -1, ID: n.ID, State: n.State, RetryAfter: after})
		a.onNotice(n.ID, n.State, after)
	}
	return true
}

// DelegateToDirectory lets a directory announce changes to the node in place of the agent.
func (a *Agent) DelegateToDirectory() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.directoryAnnounces = true
}

// Members returns the platform's own list, with addresses as seen by node 0, and a channel that is closed
// when the list changes.
func (p *Platform) Members() ([]Member, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []Member
	for _, c := range p.current {
		m := c.member
		m.Addr = c.addrFor(0)
		all = append(all, m)
	}
	slices.SortFunc(all, func(x, y Member) int { return cmp.Compare(x.ID, y.ID) })
	return all, p.changed
}
