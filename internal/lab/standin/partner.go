// Package standin implements the lab's stand-ins for everything that a node talks to: partners' endpoints,
// the platform and clients. They speak the protocol over sockets and record what they observe.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"starlingusher/fleet/history"
	"starlingusher/fleet/partner"
	"starlingusher/internal/lab/observe"
	"starlingusher/internal/lab/relay"
)

const maxBody = 64 << 10 // bytes read of a message; twice as many are read of a batch

// lastNumber is the number last given to a call or a connection. All partners of a process share it.
var lastNumber atomic.Uint64

// Partner serves the model of one partner on sockets, with an HTTP server for each of its endpoints. Nodes
// connect through links, which can impose network conditions.
type Partner struct {
	number      int
	log         *observe.Log
	config      partner.Config
	nodeCount   int
	idleTimeout time.Duration

	mu             sync.Mutex
	model          *partner.Partner
	timer          *time.Timer
	nextTick       time.Duration                  // time of the run that timer is set to
	pendingAnswers map[uint64]chan partner.Answer // by call number
	conns          map[uint64]*serverConn         // by connection number
	endpoints      []*Endpoint
	outages        int // number of faults under way that are outages
	closed         bool
	onCall         func(ids []string) // called with the IDs of the messages of each call; may be nil
}

// Endpoint is one endpoint of a partner. It has a link for each node.
type Endpoint struct {
	ID       string
	Zone     int
	partner  *Partner
	index    int           // in Partner.endpoints and in the model
	links    []*relay.Link // by node
	listener *connQueue
	server   *http.Server
	done     chan struct{}
}

// serverConn is the server's side of a relayed connection between a node and an endpoint.
type serverConn struct {
	net.Conn
	relayed       *relay.Connection
	node          int
	number        uint64
	endpointIndex int
}

// NewPartner creates a partner without endpoints; AddEndpoint adds them. The seed is for the model's random
// choices, and idleTimeout is how long the servers keep an idle connection. The function onCall, unless nil,
// is called with the IDs of the messages of each call.
func NewPartner(number int, config partner.Config, seed uint64, nodeCount int, idleTimeout time.Duration, log *observe.Log, onCall func([]string)) *Partner {
	p := &Partner{
		number: number, log: log, config: config, nodeCount: nodeCount, idleTimeout: idleTimeout, onCall: onCall,
		model:          partner.New(config, rand.New(rand.NewPCG(seed, uint64(number)))),
		pendingAnswers: map[uint64]chan partner.Answer{}, conns: map[uint64]*serverConn{},
	}
	p.timer = time.AfterFunc(time.Hour, p.tick)
	return p
}

// AddEndpoint puts an endpoint into service, with a link for each node at the given addresses.
func (p *Partner) AddEndpoint(id string, zone int, addr func(node int) string) (*Endpoint, error) {
	p.mu.Lock()
	index := len(p.endpoints)
	if index >= p.config.Endpoints { // the model does not have it from the start
		p.step(partner.EndpointAdded{})
	}
	e := &Endpoint{ID: id, Zone: zone, partner: p, index: index, listener: newConnQueue(), done: make(chan struct{})}
	p.endpoints = append(p.endpoints, e)
	p.mu.Unlock()
	e.server = &http.Server{
		Handler: http.HandlerFunc(e.serve), IdleTimeout: p.idleTimeout, ReadHeaderTimeout: 30 * time.Second,
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context { return context.WithValue(ctx, connKey{}, nc) },
		ConnState:   e.handleConnState,
	}
	go func() { // ends when close closes the server
		defer close(e.done)
		e.server.Serve(e.listener)
	}()
	for n := range p.nodeCount {
		link, err := relay.Listen(addr(n), uint64(index)<<32|uint64(n), func(ctx context.Context, relayed *relay.Connection) (net.Conn, error) {
			return e.connect(ctx, n, relayed)
		}, func(by time.Duration) { p.log.RecordLateness(observe.Links, by) })
		if err != nil {
			e.close()
			return nil, fmt.Errorf("listen for endpoint %s: %w", id, err)
		}
		e.links = append(e.links, link)
	}
	return e, nil
}

// connKey is the context key of the connection that a request came on.
type connKey struct{}

// connect opens the server's side of a connection on a node's link, and returns the end that the link
// forwards to.
func (e *Endpoint) connect(ctx context.Context, node int, relayed *relay.Connection) (net.Conn, error) {
	p := e.partner
	p.mu.Lock()
	if p.closed || p.model.IsDown(e.index) {
		p.mu.Unlock()
		p.log.Add(history.Event{Kind: history.ConnectFailed, Node: node, Partner: p.number, Endpoint: e.ID})
		return nil, errors.New("endpoint is down")
	}
	linkEnd, serverEnd := relayed.Pipe()
	s := &serverConn{Conn: serverEnd, relayed: relayed, node: node, number: lastNumber.Add(1), endpointIndex: e.index}
	p.conns[s.number] = s
	p.step(partner.ConnOpened{Conn: s.number, Endpoint: e.index})
	p.log.Add(history.Event{Kind: history.Connected, Node: node, Partner: p.number, Endpoint: e.ID})
	p.mu.Unlock()
	if !e.listener.put(ctx, s) {
		p.closeConn(s)
		linkEnd.Close()
		return nil, net.ErrClosed
	}
	return linkEnd, nil
}

// handleConnState tells the model when the server has closed a connection.
func (e *Endpoint) handleConnState(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(*serverConn); ok && (s == http.StateClosed || s == http.StateHijacked) {
		e.partner.closeConn(c)
	}
}

// closeConn tells the model that a connection is closed, unless it was told before or reset the connection.
func (p *Partner) closeConn(s *serverConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[s.number] != nil {
		delete(p.conns, s.number)
		p.step(partner.ConnClosed{Conn: s.number})
	}
}

// Addr returns the address at which a node reaches the endpoint.
func (e *Endpoint) Addr(node int) string { return e.links[node].Addr() }

// Link returns the link of a node.
func (e *Endpoint) Link(node int) *relay.Link { return e.links[node] }

// Retire takes the endpoint out of service as if its machine was gone: connections are reset and refused.
func (e *Endpoint) Retire() { e.close() }

func (e *Endpoint) close() {
	for _, l := range e.links {
		l.Close()
	}
	e.server.Close()
	e.listener.Close()
	<-e.done
}

// Endpoints returns all endpoints that were ever added.
func (p *Partner) Endpoints() []*Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*Endpoint(nil), p.endpoints...)
}

// StartFault starts a fault on all endpoints, which lasts until a time of the run, or forever if that is 0.
// If the fault is an outage of the whole partner, its start is recorded, and the end once no outage is left;
// Failing counts as an outage if at least half of the answers are errors.
func (p *Partner) StartFault(kind partner.FaultKind, size float64, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if kind != partner.Slow && kind != partner.Lossy && (kind != partner.Failing || size >= 0.5) {
		p.outages++
		p.log.Add(history.Event{Kind: history.OutageBegan, Node: -1, Partner: p.number, Note: kind.String()})
		if until > 0 {
			time.AfterFunc(time.Until(p.log.WallTime(until)), func() {
				p.mu.Lock()
				defer p.mu.Unlock()
				if p.outages--; p.outages == 0 && !p.closed {
					p.log.Add(history.Event{Kind: history.OutageEnded, Node: -1, Partner: p.number})
				}
			})
		}
	}
	p.step(partner.FaultStarted{Endpoint: -1, Kind: kind, Size: size, Until: until})
}

// CatchUp advances the model to the run's time and sets its timer anew. It must be called after observe.Log's
// Start, which moves the run's time.
func (p *Partner) CatchUp() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.step(partner.Tick{})
}

// SetLimitShare sets the partner's limit to a share of its original value.
func (p *Partner) SetLimitShare(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.step(partner.LimitChanged{Share: share})
}

// Close closes the partner and returns when all its goroutines have ended.
func (p *Partner) Close() {
	p.mu.Lock()
	p.closed = true
	p.timer.Stop()
	endpoints := p.endpoints
	p.mu.Unlock()
	for _, e := range endpoints {
		e.close()
	}
}

// tick passes the time to the model; the timer calls it.
func (p *Partner) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	if now := p.log.Now(); now >= p.nextTick {
		p.log.RecordLateness(observe.Partners, now-p.nextTick)
	}
	p.step(partner.Tick{})
}

// step passes an event to the model and carries out the resulting actions. The caller holds the lock.
func (p *Partner) step(ev partner.Event) {
	for _, a := range p.model.Step(p.log.Now(), ev) {
		switch a := a.(type) {
		case partner.Answer:
			if c := p.pendingAnswers[a.Call]; c != nil {
				c <- a // buffered for one answer
				delete(p.pendingAnswers, a.Call)
			}
		case partner.Executed:
			p.log.Add(history.Event{Kind: history.Executed, Node: -1, Partner: p.number, Call: a.Call, ID: a.ID})
		case partner.ConnsReset:
			for _, s := range p.conns {
				if s.endpointIndex == a.Endpoint {
					delete(p.conns, s.number)
					s.relayed.Reset()
				}
			}
			if a.Endpoint < len(p.endpoints) {
				for _, l := range p.endpoints[a.Endpoint].links {
					l.SetRefusing(true)
				}
			}
		case partner.EndpointRestored:
			if a.Endpoint < len(p.endpoints) {
				for n, l := range p.endpoints[a.Endpoint].links {
					if err := l.SetRefusing(false); err != nil {
						p.log.Add(history.Event{Kind: history.Fault, Node: n, Partner: p.number, Note: "the lab can't reopen an address: " + err.Error()})
					}
				}
			}
		case partner.Collapsed:
			p.log.Add(history.Event{Kind: history.Collapsed, Node: -1, Partner: p.number, CallsBySender: a.CallsBySender})
		}
	}
	if next, ok := p.model.NextTick(); ok && !p.closed {
		p.nextTick = next
		p.timer.Reset(time.Until(p.log.WallTime(next)))
	}
}

// item is a message of a call, as it is encoded in a batch.
type item struct {
	ID   string `json:"id"`
	Key  string `json:"key"`
	Body []byte `json:"body"`
}

// serve handles one request of a node: a call with one message, a call with a batch, or a probe, which is a
// call without messages.
func (e *Endpoint) serve(w http.ResponseWriter, req *http.Request) {
	c, _ := req.Context().Value(connKey{}).(*serverConn)
	var items []item
	switch {
	case req.Method == http.MethodPost && req.URL.Path == "/v1/messages":
		if _, err := io.Copy(io.Discard, io.LimitReader(req.Body, maxBody+1)); err != nil {
			return
		}
		items = []item{{ID: req.Header.Get("X-Trace-Id"), Key: req.Header.Get("Idempotency-Key")}}
	case req.Method == http.MethodPost && req.URL.Path == "/v1/messages:batch":
		body, err := io.ReadAll(io.LimitReader(req.Body, 2*maxBody))
		if err != nil {
			return
		}
		if json.Unmarshal(body, &items) != nil || len(items) == 0 {
			http.Error(w, "unreadable", http.StatusBadRequest)
			return
		}
		if len(items) > max(e.partner.config.MaxBatch, 1) {
			http.Error(w, "too many", http.StatusRequestEntityTooLarge)
			return
		}
	case req.Method == http.MethodGet && (req.URL.Path == "/health/live" || req.URL.Path == "/stats"):
	default:
		http.NotFound(w, req)
		return
	}
	e.handleCall(w, req, c, items)
}

// handleCall passes a call to the model and sends the model's answer.
func (e *Endpoint) handleCall(w http.ResponseWriter, req *http.Request, c *serverConn, items []item) {
	p := e.partner
	call := partner.CallReceived{Call: lastNumber.Add(1), Conn: c.number, Endpoint: e.index, Sender: c.node}
	ids := make([]string, len(items))
	for i, it := range items {
		ids[i] = it.ID
		call.Items = append(call.Items, partner.Item{ID: it.ID, Key: it.Key})
	}
	if p.onCall != nil {
		p.onCall(ids)
	}
	answers := make(chan partner.Answer, 1)
	p.mu.Lock()
	if p.conns[c.number] == nil { // the connection was reset before its call was read
		p.mu.Unlock()
		return
	}
	p.log.Add(history.Event{
		Kind: history.CallStarted, Node: c.node, Partner: p.number, Endpoint: e.ID, Call: call.Call, IDs: ids, FirstAt: p.log.RunTime(c.relayed.RequestStartedAt()),
	})
	p.pendingAnswers[call.Call] = answers
	p.step(call)
	p.mu.Unlock()
	end := history.Event{Kind: history.CallEnded, Node: c.node, Partner: p.number, Endpoint: e.ID, Call: call.Call}
	select {
	case a := <-answers:
		e.sendAnswer(w, c, items, a, end)
	case <-req.Context().Done():
		p.mu.Lock()
		delete(p.pendingAnswers, call.Call)
		p.mu.Unlock()
		end.State = history.Abandoned // by the node, unless the node has not closed the connection
		if at := c.relayed.ClientClosedAt(); !at.IsZero() {
			end.At = p.log.RunTime(at)
		} else {
			end.State = history.AnswerLost
		}
		p.log.Add(end)
	}
}

var statesByStatus = map[partner.Status]string{
	partner.AboveLimit: history.AboveLimit, partner.Rejected: history.Rejected, partner.QueueFull: history.QueueFull, partner.TooManyConns: history.TooManyConns,
	partner.Served: history.Accepted, partner.Errored: history.Errored, partner.AnswerLost: history.AnswerLost, partner.AnswerUnreadable: history.AnswerUnreadable,
}

var outcomeNames = map[partner.Outcome]string{
	partner.Accepted: history.OutcomeAccepted, partner.Failed: history.OutcomeFailed, partner.Deferred: history.OutcomeDeferred,
}

// sendAnswer sends the model's answer to the node, and records the end of the call.
func (e *Endpoint) sendAnswer(w http.ResponseWriter, c *serverConn, items []item, a partner.Answer, end history.Event) {
	p := e.partner
	end.State, end.RetryAfter = statesByStatus[a.Status], a.RetryAfter
	for _, outcome := range a.Outcomes {
		end.Outcomes = append(end.Outcomes, outcomeNames[outcome])
	}
	code, body := http.StatusOK, []byte("ok\n")
	switch a.Status {
	case partner.AnswerLost:
		end.At = p.log.Now()
		p.log.Add(end)
		c.relayed.Reset()
		return
	case partner.AnswerUnreadable:
		body = []byte("HTP/9 what?\r\n\r\n")
		nc, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer nc.Close()
		nc.Write(body)
		e.recordEnd(c, end)
		return
	case partner.Served:
		if len(items) > 1 {
			type itemAnswer struct {
				ID    string `json:"id"`
				State string `json:"state"`
			}
			list := make([]itemAnswer, len(items))
			for i, it := range items {
				list[i] = itemAnswer{it.ID, end.Outcomes[i]}
			}
			body, _ = json.Marshal(list) // can't fail: it has strings only
		}
	case partner.Errored:
		code = http.StatusInternalServerError
	default:
		code = http.StatusServiceUnavailable
		if a.RetryAfter > 0 {
			code = http.StatusTooManyRequests
			w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
		}
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(code)
	w.Write(body)
	http.NewResponseController(w).Flush()
	e.recordEnd(c, end)
}

// recordEnd records the end of a call once its answer has reached the node. A call whose answer does not
// reach the node is recorded as abandoned.
func (e *Endpoint) recordEnd(c *serverConn, end history.Event) {
	c.relayed.OnDelivered(func(at time.Time, delivered bool) {
		if !delivered {
			end.State, end.Outcomes, end.RetryAfter = history.Abandoned, nil, 0
		}
		end.At = e.partner.log.RunTime(at)
		e.partner.log.Add(end)
	})
}

// connQueue is a net.Listener that accepts the connections put into it.
type connQueue struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newConnQueue() *connQueue {
	return &connQueue{conns: make(chan net.Conn), done: make(chan struct{})}
}

// put hands a connection to Accept. It closes the connection and returns false if the queue is closed or the
// context ends first.
func (q *connQueue) put(ctx context.Context, nc net.Conn) bool {
	select {
	case q.conns <- nc:
		return true
	case <-q.done:
	case <-ctx.Done():
	}
	nc.Close()
	return false
}

func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case nc := <-q.conns:
		return nc, nil
	case <-q.done:
		return nil, net.ErrClosed
	}
}

func (q *connQueue) Close() error {
	q.once.Do(func() { close(q.done) })
	return nil
}

func (q *connQueue) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }
