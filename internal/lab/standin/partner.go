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

const maxBody = 64 << 10

// lastNumber is the number last given to a call or a connection, over all partners of a process.
var numbers atomic.Uint64

// Partner is one partner on sockets: its model, and an HTTP server for each of its endpoints. Nodes connect
// through links.
type Partner struct {
	number int
	log    *observe.Log
	model  partner.Config
	nodes  int
	idle   time.Duration

	mu        sync.Mutex
	state     *partner.Partner
	timer     *time.Timer
	due       time.Duration
	out       map[uint64]chan partner.Answer
	pairs     map[uint64]*served // by connection number
	endpoints []*Endpoint
	outages   int // faults that currently cause an outage
	closed    bool
	saw       func(ids []string) // called with the messages of each call; may be nil
}

// Endpoint is one endpoint of a partner. It has a link for each node.
type Endpoint struct {
	ID    string
	Zone  int
	of    *Partner
	index int
	links []*relay.Link
	ln    *feed
	srv   *http.Server
	done  chan struct{}
}

// serverConn is a connection as the server of an endpoint has it.
type served struct {
	net.Conn
	pair     *relay.Connection
	node     int
	number   uint64
	endpoint int
}

// NewPartner creates a partner without endpoints; AddEndpoint adds them. The function onCall, unless nil, is
// called with the messages of each call.
func NewPartner(number int, model partner.Config, seed uint64, nodes int, idle time.Duration, log *observe.Log, saw func([]string)) *Partner {
	p := &Partner{
		number: number, log: log, model: model, nodes: nodes, idle: idle, saw: saw,
		state: partner.New(model, rand.New(rand.NewPCG(seed, uint64(number)))),
		out:   map[uint64]chan partner.Answer{}, pairs: map[uint64]*served{},
	}
	p.timer = time.AfterFunc(time.Hour, p.tick)
	return p
}

// AddEndpoint puts an endpoint into service, with a link for each node at the given addresses.
func (p *Partner) AddEndpoint(id string, zone int, addr func(node int) string) (*Endpoint, error) {
	p.mu.Lock()
	index := len(p.endpoints)
	if index >= p.model.Endpoints {
		p.step(partner.EndpointAdded{})
	}
	e := &Endpoint{ID: id, Zone: zone, of: p, index: index, ln: newFeed(), done: make(chan struct{})}
	p.endpoints = append(p.endpoints, e)
	p.mu.Unlock()
	e.srv = &http.Server{
		Handler: http.HandlerFunc(e.serve), IdleTimeout: p.idle, ReadHeaderTimeout: 30 * time.Second,
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context { return context.WithValue(ctx, connKey{}, nc) },
		ConnState:   e.state,
	}
	go func() { // ends with close
		defer close(e.done)
		e.srv.Serve(e.ln)
	}()
	for n := range p.nodes {
		link, err := relay.Listen(addr(n), uint64(index)<<32|uint64(n), func(ctx context.Context, pair *relay.Connection) (net.Conn, error) {
			return e.connect(ctx, n, pair)
		}, func(by time.Duration) { p.log.RecordLateness(observe.Links, by) })
		if err != nil {
			e.close()
			return nil, fmt.Errorf("endpoint %s: %w", id, err)
		}
		e.links = append(e.links, link)
	}
	return e, nil
}

type connKey struct{}

// connect opens the server side of a connection on a node's link.
func (e *Endpoint) connect(ctx context.Context, node int, pair *relay.Connection) (net.Conn, error) {
	p := e.of
	p.mu.Lock()
	if p.closed || p.state.IsDown(e.index) {
		p.mu.Unlock()
		p.log.Add(history.Event{Kind: history.ConnectFailed, Node: node, Partner: p.number, Endpoint: e.ID})
		return nil, errors.New("the endpoint is down")
	}
	here, there := pair.Pipe()
	s := &served{Conn: there, pair: pair, node: node, number: numbers.Add(1), endpoint: e.index}
	p.pairs[s.number] = s
	p.step(partner.ConnOpened{Conn: s.number, Endpoint: e.index})
	p.log.Add(history.Event{Kind: history.Connected, Node: node, Partner: p.number, Endpoint: e.ID})
	p.mu.Unlock()
	if !e.ln.give(ctx, s) {
		p.closeConn(s)
		here.Close()
		return nil, net.ErrClosed
	}
	return here, nil
}

// handleConnState handles the end of a connection.
func (e *Endpoint) state(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(*served); ok && (s == http.StateClosed || s == http.StateHijacked) {
		e.of.closeConn(c)
	}
}

func (p *Partner) closeConn(s *served) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pairs[s.number] != nil {
		delete(p.pairs, s.number)
		p.step(partner.ConnClosed{Conn: s.number})
	}
}

// Addr returns the address at which a node reaches the endpoint.
func (e *Endpoint) Addr(node int) string { return e.links[node].Addr() }

// Link returns the link of a node.
func (e *Endpoint) Link(node int) *relay.Link { return e.links[node] }

// Retire takes the endpoint out of service like a machine that is gone: connections are reset and refused.
func (e *Endpoint) Retire() { e.close() }

func (e *Endpoint) close() {
	for _, l := range e.links {
		l.Close()
	}
	e.srv.Close()
	e.ln.Close()
	<-e.done
}

// Endpoints returns all endpoints that were ever added.
func (p *Partner) Endpoints() []*Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*Endpoint(nil), p.endpoints...)
}

// StartFault starts a fault on all endpoints.
func (p *Partner) StartFault(what partner.FaultKind, size float64, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if what != partner.Slow && what != partner.Lossy && (what != partner.Failing || size >= 0.5) {
		p.outages++
		p.log.Add(history.Event{Kind: history.OutageBegan, Node: -1, Partner: p.number, Note: what.String()})
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
	p.step(partner.FaultStarted{Endpoint: -1, Kind: what, Size: size, Until: until})
}

// CatchUp advances the model to the run's time, after the run has started.
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

func (p *Partner) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	if now := p.log.Now(); now >= p.due {
		p.log.RecordLateness(observe.Partners, now-p.due)
	}
	p.step(partner.Tick{})
}

// step passes an event to the model and carries out the resulting actions. The caller holds the lock.
func (p *Partner) step(ev partner.Event) {
	for _, a := range p.state.Step(p.log.Now(), ev) {
		switch a := a.(type) {
		case partner.Answer:
			if c := p.out[a.Call]; c != nil {
				c <- a // buffered for one answer
				delete(p.out, a.Call)
			}
		case partner.Executed:
			p.log.Add(history.Event{Kind: history.Executed, Node: -1, Partner: p.number, Call: a.Call, ID: a.ID})
		case partner.ConnsReset:
			for _, s := range p.pairs {
				if s.endpoint == a.Endpoint {
					delete(p.pairs, s.number)
					s.pair.Reset()
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
						p.log.Add(history.Event{Kind: history.Fault, Node: n, Partner: p.number, Note: "the lab can't open an address again: " + err.Error()})
					}
				}
			}
		case partner.Collapsed:
			p.log.Add(history.Event{Kind: history.Collapsed, Node: -1, Partner: p.number, CallsBySender: a.CallsBySender})
		}
	}
	if next, ok := p.state.NextTick(); ok && !p.closed {
		p.due = next
		p.timer.Reset(time.Until(p.log.WallTime(next)))
	}
}

// item is a message of a batch.
type item struct {
	ID   string `json:"id"`
	Key  string `json:"key"`
	Body []byte `json:"body"`
}

// serve answers one request of a node.
func (e *Endpoint) serve(w http.ResponseWriter, req *http.Request) {
	c, _ := req.Context().Value(connKey{}).(*served)
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
		if len(items) > max(e.of.model.MaxBatch, 1) {
			http.Error(w, "too many", http.StatusRequestEntityTooLarge)
			return
		}
	case req.Method == http.MethodGet && (req.URL.Path == "/health/live" || req.URL.Path == "/stats"):
	default:
		http.NotFound(w, req)
		return
	}
	e.call(w, req, c, items)
}

// handleCall passes a call to the model and sends the model's answer.
func (e *Endpoint) call(w http.ResponseWriter, req *http.Request, c *served, items []item) {
	p := e.of
	call := partner.CallReceived{Call: numbers.Add(1), Conn: c.number, Endpoint: e.index, Sender: c.node}
	ids := make([]string, len(items))
	for i, it := range items {
		ids[i] = it.ID
		call.Items = append(call.Items, partner.Item{ID: it.ID, Key: it.Key})
	}
	if p.saw != nil {
		p.saw(ids)
	}
	answered := make(chan partner.Answer, 1)
	p.mu.Lock()
	if p.pairs[c.number] == nil { // it was reset before its call was read
		p.mu.Unlock()
		return
	}
	p.log.Add(history.Event{
		Kind: history.CallStarted, Node: c.node, Partner: p.number, Endpoint: e.ID, Call: call.Call, IDs: ids, FirstAt: p.log.RunTime(c.pair.RequestStartedAt()),
	})
	p.out[call.Call] = answered
	p.step(call)
	p.mu.Unlock()
	end := history.Event{Kind: history.CallEnded, Node: c.node, Partner: p.number, Endpoint: e.ID, Call: call.Call}
	select {
	case a := <-answered:
		e.answer(w, c, items, a, end)
	case <-req.Context().Done():
		p.mu.Lock()
		delete(p.out, call.Call)
		p.mu.Unlock()
		end.State = history.Abandoned
		if at := c.pair.ClientClosedAt(); !at.IsZero() {
			end.At = p.log.RunTime(at)
		} else {
			end.State = history.AnswerLost
		}
		p.log.Add(end)
	}
}

var states = map[partner.Status]string{
	partner.AboveLimit: history.AboveLimit, partner.Rejected: history.Rejected, partner.QueueFull: history.QueueFull, partner.TooManyConns: history.TooManyConns,
	partner.Served: history.Accepted, partner.Errored: history.Errored, partner.AnswerLost: history.AnswerLost, partner.AnswerUnreadable: history.AnswerUnreadable,
}

var fates = map[partner.Outcome]string{
	partner.Accepted: history.OutcomeAccepted, partner.Failed: history.OutcomeFailed, partner.Deferred: history.OutcomeDeferred,
}

// sendAnswer writes an answer, and records the end of the call once the answer was sent to the node.
func (e *Endpoint) answer(w http.ResponseWriter, c *served, items []item, a partner.Answer, end history.Event) {
	p := e.of
	end.State, end.RetryAfter = states[a.Status], a.RetryAfter
	for _, f := range a.Outcomes {
		end.Outcomes = append(end.Outcomes, fates[f])
	}
	code, body := http.StatusOK, []byte("ok\n")
	switch a.Status {
	case partner.AnswerLost:
		end.At = p.log.Now()
		p.log.Add(end)
		c.pair.Reset()
		return
	case partner.AnswerUnreadable:
		body = []byte("HTP/9 what?\r\n\r\n")
		nc, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer nc.Close()
		nc.Write(body)
		e.note(c, end)
		return
	case partner.Served:
		if len(items) > 1 {
			type told struct {
				ID    string `json:"id"`
				State string `json:"state"`
			}
			list := make([]told, len(items))
			for i, it := range items {
				list[i] = told{it.ID, end.Outcomes[i]}
			}
			body, _ = json.Marshal(list) // strings always encode
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
	e.note(c, end)
}

// recordEnd records the end of a call when its answer has reached the node. A call whose answer never arrives
// is recorded as abandoned.
func (e *Endpoint) note(c *served, end history.Event) {
	c.pair.OnDelivered(func(at time.Time, reached bool) {
		if !reached {
			end.State, end.Outcomes, end.RetryAfter = history.Abandoned, nil, 0
		}
		end.At = e.of.log.RunTime(at)
		e.of.log.Add(end)
	})
}

// connQueue is a net.Listener that accepts the connections put into it.
type feed struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newFeed() *feed { return &feed{conns: make(chan net.Conn), done: make(chan struct{})} }

func (f *feed) give(ctx context.Context, nc net.Conn) bool {
	select {
	case f.conns <- nc:
		return true
	case <-f.done:
	case <-ctx.Done():
	}
	nc.Close()
	return false
}

func (f *feed) Accept() (net.Conn, error) {
	select {
	case nc := <-f.conns:
		return nc, nil
	case <-f.done:
		return nil, net.ErrClosed
	}
}

func (f *feed) Close() error {
	f.once.Do(func() { close(f.done) })
	return nil
}

func (f *feed) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }
