package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"starlingusher/fleet/experiment"
	"starlingusher/fleet/history"
	"starlingusher/fleet/judge"
	"starlingusher/internal/lab/observe"
)

const (
	maxIdleConns    = 64 // idle connections to one node
	rudePeerTimeout = 3 * time.Second
	rudePeerSlack   = 200 * time.Millisecond
	dialTimeout     = time.Second
)

// Clients submit a plan's messages in an open loop: the time of a submission does not depend on the fate of
// other messages.
type Clients struct {
	plan *experiment.Plan
	log  *observe.Log
	addr func(node int) string // the address of a node's client port
	isUp func(node int) bool   // reports whether a node runs, as far as its clients can know
	body []byte

	wg  sync.WaitGroup
	mu  sync.Mutex
	ctx context.Context // of the run; nil until it starts

	rand           *rand.Rand
	cases          []caseState // by number, from 1
	caseNumbers    map[string]int
	idle           []idleConns
	rudePeerCounts RudePeerCounts
}

// RudePeerCounts tells how nodes treated rude peers.
type RudePeerCounts struct {
	Connected  int `json:"came"`
	Unanswered int `json:"unanswered"` // got neither an error line nor a close in time
	Accepted   int `json:"taken_on"`   // had a message accepted
}

type idleConns struct {
	mu    sync.Mutex
	conns []*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   bool
}

// caseState is the state of one message over all its submissions, each of which has an id of its own.
type caseState struct {
	submissions    int
	id             string // of the last submission
	node           int
	accepted       bool          // by the node, under this id
	done           bool          // delivered, failed, or given up by the client
	reachedPartner bool          // a partner has received it
	firstReachedAt time.Duration // when that first happened
}

// NewClients returns the clients of a plan.
func NewClients(plan *experiment.Plan, addr func(int) string, isUp func(int) bool, log *observe.Log) *Clients {
	return &Clients{
		plan: plan, log: log, addr: addr, isUp: isUp, body: []byte(strings.Repeat("x", plan.Load.BodyBytes)),
		rand: rand.New(rand.NewPCG(plan.Seed, 0xc11e)), cases: make([]caseState, len(plan.Arrivals)+1), caseNumbers: map[string]int{},
		idle: make([]idleConns, len(plan.Nodes)),
	}
}

// Run submits messages until the context ends, and returns when all clients have ended.
func (c *Clients) Run(ctx context.Context) {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	c.wg.Go(func() { c.runRudePeers(ctx) })
	for i, arrival := range c.plan.Arrivals {
		if !observe.SleepUntil(ctx, c.log.WallTime(arrival.At)) {
			break
		}
		c.log.RecordLateness(observe.Clients, c.log.Now()-arrival.At)
		c.wg.Go(func() { c.submit(ctx, i+1, arrival.Node, false) })
	}
	<-ctx.Done()
	c.wg.Wait()
	for i := range c.idle {
		for _, conn := range c.idle[i].conns {
			conn.Close()
		}
	}
}

// RudePeerCounts returns how the rude peers have been treated so far.
func (c *Clients) RudePeerCounts() RudePeerCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rudePeerCounts
}

// RecordReached records the messages of a call that has reached a partner.
func (c *Clients) RecordReached(ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		if s := c.caseOf(id); s != nil && !s.reachedPartner {
			s.reachedPartner, s.firstReachedAt = true, c.log.Now()
		}
	}
}

// caseOf returns the state of the message whose last submission has this id, or nil. The caller holds the
// lock.
func (c *Clients) caseOf(id string) *caseState {
	n := c.caseNumbers[id]
	if n == 0 || c.cases[n].id != id {
		return nil
	}
	return &c.cases[n]
}

// HandleNotice handles a node's notice: a message that was returned may be submitted again.
func (c *Clients) HandleNotice(_ int, id, state string, retryAfter time.Duration) {
	c.mu.Lock()
	s := c.caseOf(id)
	if s == nil || s.done || !s.accepted {
		c.mu.Unlock()
		return
	}
	s.accepted = false
	n, node := c.caseNumbers[id], s.node
	if state != history.Returned {
		s.done = true
	}
	ctx := c.ctx
	c.mu.Unlock()
	if state == history.Returned && ctx != nil {
		c.retry(ctx, n, node, retryAfter)
	}
}

// HandleStateLoss handles the loss of a node's state directory. Messages that the node held are submitted to
// another node that runs, unless they may have run and must not run twice.
func (c *Clients) HandleStateLoss(node int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx == nil {
		return
	}
	ctx := c.ctx
	for n := 1; n < len(c.cases); n++ {
		s := &c.cases[n]
		if s.id == "" || s.done || !s.accepted || s.node != node {
			continue
		}
		s.accepted = false
		class := c.plan.Classes[c.plan.Arrivals[n-1].Class]
		wait := c.draw(c.plan.Load.ResubmitDelay)
		c.wg.Go(func() {
			if !observe.SleepUntil(ctx, time.Now().Add(wait)) {
				return
			}
			// This is checked only after the wait: a call may still have been on its way when its node was
			// lost.
			c.mu.Lock()
			s.done = s.reachedPartner && (class.Effect == judge.EffectAtMostOnce || class.Effect == judge.EffectDeduplicated && c.log.Now()-s.firstReachedAt > class.Window/2)
			done := s.done
			c.mu.Unlock()
			if done {
				return
			}
			for i := range c.plan.Nodes {
				if to := (node + 1 + i) % len(c.plan.Nodes); c.isUp(to) {
					c.submit(ctx, n, to, true)
					return
				}
			}
		})
	}
}

// draw draws a random duration. The caller holds the lock.
func (c *Clients) draw(bounds experiment.DurationRange) time.Duration {
	return bounds.Low + time.Duration(c.rand.Float64()*float64(bounds.High-bounds.Low))
}

// retry submits a message again after a wait, if its client has retries left.
func (c *Clients) retry(ctx context.Context, number, node int, retryAfter time.Duration) {
	c.mu.Lock()
	s := &c.cases[number]
	if s.submissions > c.plan.Load.MaxRetries {
		s.done = true
		c.mu.Unlock()
		return
	}
	wait := c.draw(c.plan.Load.Backoff)
	if retryAfter > 0 && c.rand.Float64() < c.plan.Load.HonorRetryAfter {
		wait = min(retryAfter, c.plan.Rules.MaxRetryAfter)
	}
	c.mu.Unlock()
	c.wg.Go(func() {
		if observe.SleepUntil(ctx, time.Now().Add(wait)) {
			c.submit(ctx, number, node, false)
		}
	})
}

// submit submits a message once, under a new id.
func (c *Clients) submit(ctx context.Context, number, node int, resubmitted bool) {
	arrival := c.plan.Arrivals[number-1]
	class := c.plan.Classes[arrival.Class]
	remaining := arrival.At + class.Deadline - c.log.Now()
	if remaining <= time.Millisecond {
		return
	}
	c.mu.Lock()
	s := &c.cases[number]
	s.submissions++
	s.id, s.node, s.accepted = c.plan.MessageID(number, s.submissions), node, false
	id, first := s.id, s.submissions == 1
	c.caseNumbers[id] = number
	c.mu.Unlock()
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,dest=%d", class.Name, c.plan.Tenants[arrival.Tenant].Name, remaining.Milliseconds(), arrival.Dest)
	key := c.plan.IdempotencyKey(number)
	if key != "" {
		fields += ",k=" + key
	}
	if resubmitted {
		fields += ",again=1"
	}
	e := history.Event{
		Kind: history.Submitted, Node: node, Partner: -1, ID: id, MessageNumber: number, Class: arrival.Class, Tenant: arrival.Tenant, Dest: arrival.Dest, Key: key,
		ExpiresIn: remaining.Truncate(time.Millisecond), Resubmitted: resubmitted, FirstAt: arrival.At, At: c.log.Now(),
	}
	if !first {
		e.FirstAt = e.At
	}
	c.log.Add(e)
	state, retryAfter := c.request(ctx, node, encodeCommand("ENQUEUE", strings.Repeat("0", 16), id, fields, string(c.body)))
	if ctx.Err() != nil {
		return
	}
	c.log.Add(history.Event{Kind: history.Answered, Node: node, Partner: -1, ID: id, State: state, RetryAfter: retryAfter})
	c.mu.Lock()
	isCurrent := c.cases[number].id == id
	reached, since := s.reachedPartner, c.log.Now()-s.firstReachedAt
	if isCurrent {
		s.accepted = state == history.Taken
		s.done = state == history.Failed
	}
	c.mu.Unlock()
	if !isCurrent {
		return
	}
	switch state {
	case history.Refused, history.Unsent:
		c.retry(ctx, number, node, retryAfter)
	case history.ClientTimedOut, history.ConnectionLost:
		// The node may have the message, and may still run it: only what may be repeated is submitted again,
		// under a new id.
		if class.Effect == judge.EffectIdempotent || class.Effect == judge.EffectDeduplicated && (!reached || since < class.Window/2) {
			c.retry(ctx, number, node, 0)
		}
	}
}

// encodeCommand encodes a command in the clients' protocol.
func encodeCommand(words ...string) []byte {
	b := strconv.AppendInt([]byte{'*'}, int64(len(words)), 10)
	for _, w := range words {
		b = append(b, "\r\n$"...)
		b = strconv.AppendInt(b, int64(len(w)), 10)
		b = append(b, "\r\n"...)
		b = append(b, w...)
	}
	return append(b, "\r\n"...)
}

// request sends a request and waits for the answer as long as clients do. A request that crosses the close of
// an idle connection is sent again.
func (c *Clients) request(ctx context.Context, node int, request []byte) (state string, retryAfter time.Duration) {
	deadline := time.Now().Add(c.plan.Load.AnswerTimeout)
	maybeRead := false // it was written to a connection that the node closed: the node may still have read it
	for {
		conn, err := c.takeConn(ctx, node)
		if err != nil && maybeRead {
			return history.ConnectionLost, 0
		}
		if err != nil {
			return history.Unsent, 0
		}
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		line, wrote, err := conn.request(request, deadline)
		used := conn.used
		stop()
		if err == nil {
			conn.used = true
			c.putConn(node, conn)
			return parseAnswer(line)
		}
		conn.Close()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return history.ClientTimedOut, 0
		case used && ctx.Err() == nil:
			maybeRead = maybeRead || wrote
			continue // the node closed it between two requests
		case !wrote && !maybeRead:
			return history.Unsent, 0
		}
		return history.ConnectionLost, 0
	}
}

func (k *clientConn) request(request []byte, deadline time.Time) (line string, wrote bool, err error) {
	if err := k.SetDeadline(deadline); err != nil {
		return "", false, err
	}
	if _, err := k.Write(request); err != nil {
		return "", false, err
	}
	line, err = k.reader.ReadString('\n')
	return line, true, err
}

func parseAnswer(line string) (string, time.Duration) {
	line = strings.TrimRight(line, "\r\n")
	switch {
	case strings.HasPrefix(line, "+"), strings.HasPrefix(line, "$"):
		return history.Taken, 0
	case line == "-BUSY" || strings.HasPrefix(line, "-BUSY "):
		ms, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimPrefix(line, "-BUSY")), 64) // 0 if there is none
		return history.Refused, time.Duration(ms * float64(time.Millisecond))
	}
	return history.Failed, 0
}

func (c *Clients) takeConn(ctx context.Context, node int) (*clientConn, error) {
	pool := &c.idle[node]
	pool.mu.Lock()
	if n := len(pool.conns); n > 0 {
		conn := pool.conns[n-1]
		pool.conns = pool.conns[:n-1]
		pool.mu.Unlock()
		return conn, nil
	}
	pool.mu.Unlock()
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", c.addr(node))
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: nc, reader: bufio.NewReader(nc)}, nil
}

func (c *Clients) putConn(node int, conn *clientConn) {
	pool := &c.idle[node]
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if len(pool.conns) >= maxIdleConns {
		conn.Close()
		return
	}
	pool.conns = append(pool.conns, conn)
}

// runRudePeers starts clients that send nothing, garbage, too much or half a request.
func (c *Clients) runRudePeers(ctx context.Context) {
	for _, r := range c.plan.RudePeers {
		if !observe.SleepUntil(ctx, c.log.WallTime(r.At)) {
			return
		}
		c.wg.Go(func() { c.runRudePeer(ctx, r) })
	}
}

func (c *Clients) runRudePeer(ctx context.Context, peer experiment.RudePeer) {
	if !c.isUp(peer.Node) {
		return // a node that does not run owes it no answer
	}
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", c.addr(peer.Node))
	if err != nil {
		return // the node has just ended
	}
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	start := time.Now()
	nc.SetDeadline(start.Add(rudePeerTimeout + rudePeerSlack))
	inputs := []string{
		"", "\x00\xff\x16\x03\x01nonsense\r\n", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n", "*99999\r\n",
		"*1\r\n$999999999\r\n", "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$3\r\nabc\r\n$3\r\nc=x\r\n$0\r\n\r\n", strings.Repeat("A", 100_000),
	}
	io.WriteString(nc, inputs[peer.Behavior%len(inputs)])
	line, err := bufio.NewReader(nc).ReadString('\n')
	if ctx.Err() != nil || !c.isUp(peer.Node) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rudePeerCounts.Connected++
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.rudePeerCounts.Unanswered++
	case strings.HasPrefix(line, "+"):
		c.rudePeerCounts.Accepted++
	}
}
