package node

import (
	"bufio"
	queue "container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"starlingusher/internal/sysretry"
	"starlingusher/internal/wire"
)

const (
	maxUnsent = 4 << 10 // bytes; replies to pipelined commands are sent together

	// A client that sends nothing, or does not complete a request, must get an error or a close within 3 s of
	// connecting; idleTimeout and requestTimeout together ensure that. Other clients give up on a reply after
	// 0.4 s.
	idleTimeout         = 2 * time.Second
	acceptRetryDelay    = 50 * time.Millisecond  // after a connection could not be accepted several times in a row;
	minAcceptRetryDelay = time.Millisecond       // after the first time, doubled for each further one
	requestTimeout      = 800 * time.Millisecond // from a request's first byte to its last, and to write a reply
	reconnectTime       = 100 * time.Millisecond // for requests that crossed the close of their connection and are sent again on a new one
	shutdownGrace       = 200 * time.Millisecond // for requests that are partly read when the node shuts down
	lingerTimeout       = 300 * time.Millisecond // for a client to read its last reply, and to notice that nothing more is accepted
	lingerShutdown      = 150 * time.Millisecond // instead of lingerTimeout when the node shuts down
	lingerEvicted       = 5 * time.Millisecond   // instead of lingerTimeout when other clients wait for the connection slot
	maxFinalReads       = 64                     // reads after the deadline, for what had arrived by then
	finalAcceptTime     = 50 * time.Millisecond  // to accept a connection that waits in the queue
	evictWait           = 20 * time.Millisecond  // wait for an evicted connection to give its slot back
	evictReadingAfter   = 100 * time.Millisecond // time that a request may take before its connection can be evicted
)

// pastDeadline ends a read that waits, and lets later ones read only what has arrived.
var pastDeadline = time.Unix(1, 0)

// clientConn is one client's connection. Only its own goroutine reads and writes; the lock of the
// clientServer guards element and executing.
type clientConn struct {
	net.Conn
	unsent       []byte
	readAt       time.Time // when the last bytes arrived
	finalReads   int
	answered     bool           // a reply was sent or queued
	replies      int            // number of replies sent or queued
	discarded    int64          // bytes that were read and ignored after this side ended its sending
	evicted      bool           // other clients wait for its slot
	executing    bool           // its request is read, and not answered yet
	requestBegan time.Time      // when its request began
	element      *queue.Element // in one of the server's lists
}

// Read flushes first, because the client may be waiting for the queued replies. A read deadline may have
// passed while the process did not run, or have been set to evict the connection. Neither means that no bytes
// have arrived meanwhile, so Read looks: a connection must not end with a whole request unread.
func (c *clientConn) Read(p []byte) (int, error) {
	if err := c.flush(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.finalReads < maxFinalReads {
		c.finalReads++
		if arrived, readErr := readArrived(c.Conn, p); arrived > 0 || readErr != nil {
			n, err = arrived, readErr
		}
	}
	c.readAt = time.Now()
	return n, err
}

func (c *clientConn) flush() error {
	if len(c.unsent) == 0 {
		return nil
	}
	if err := c.SetWriteDeadline(time.Now().Add(requestTimeout)); err != nil {
		return err
	}
	_, err := c.Write(c.unsent)
	c.unsent = c.unsent[:0]
	return err
}

// queueReply queues a reply.
func (c *clientConn) queueReply(line string) error {
	c.unsent = append(c.unsent, line...)
	c.answered = true
	c.replies++
	if len(c.unsent) < maxUnsent {
		return nil
	}
	return c.flush()
}

// closeReason tells why a client's connection ended.
type closeReason string

const (
	closedByClient     closeReason = "closed by the client"
	closedIdle         closeReason = "idle for too long"
	closedEvicted      closeReason = "evicted"
	closedShutdown     closeReason = "the node shuts down"
	closedBadRequest   closeReason = "not a proper request"
	closedSlowRequest  closeReason = "the request took too long"
	closedReadFailed   closeReason = "read failed"
	closedWriteFailed  closeReason = "the reply could not be written"
	closedNoAnswer     closeReason = "the outcome is unknown"
	closedCannotFollow closeReason = "no deadline can be set"
)

// The lists of connections, in the order in which connections are evicted from them.
const (
	connClosing = iota // being closed by this side
	connNew            // without an open request, and never answered
	connIdle           // without an open request
	connReading        // in the midst of reading one
)

// clientServer serves the node's clients.
type clientServer struct {
	listener      net.Listener
	slots         chan struct{} // holds a value for each connection
	maxIdle       int           // connections that are idle after a request, at most; see markIdle
	stopAccepting chan struct{}
	acceptDone    chan struct{} // closed when no more connections are accepted
	names         wire.Names
	handle        func(request) answer
	log           *slog.Logger

	reconnectTime, requestTimeout time.Duration // the constants of these names, except in tests

	mu         sync.Mutex
	conns      map[*clientConn]bool
	lists      [4]queue.List // by the state of their connections, each in the order of entry
	closing    bool
	abandoning bool          // the time for closing is over
	grace      time.Duration // for requests, while closing
	wg         sync.WaitGroup
	closeOnce  sync.Once
}

func newClientServer(listener net.Listener, maxConns int, names wire.Names, handle func(request) answer) *clientServer {
	return &clientServer{
		listener: listener, slots: make(chan struct{}, max(maxConns, 1)), maxIdle: max(maxConns/3, 1), stopAccepting: make(chan struct{}), acceptDone: make(chan struct{}),
		names: names, handle: handle, log: slog.New(slog.DiscardHandler), conns: map[*clientConn]bool{}, reconnectTime: reconnectTime, requestTimeout: requestTimeout,
	}
}

// serve accepts connections until the listener is closed. When all slots are taken, it evicts the connection
// that has been idle longest, and the next connection waits in the backlog until the slot is free.
func (s *clientServer) serve(ctx context.Context) {
	defer close(s.acceptDone)
	retryDelay := minAcceptRetryDelay
	for s.acquireSlot() {
		nc, err := s.listener.Accept()
		if err != nil {
			<-s.slots
			s.log.Debug("no connection accepted", "err", err)
			if !s.acceptMore(ctx, err, retryDelay) {
				return
			}
			retryDelay = min(2*retryDelay, acceptRetryDelay)
			continue
		}
		retryDelay = minAcceptRetryDelay
		s.wg.Go(func() {
			defer func() { <-s.slots }()
			s.serveConn(nc)
		})
	}
}

// acquireSlot takes a connection slot, and evicts connections until one is free. It reports false when no more
// connections are to be accepted.
func (s *clientServer) acquireSlot() bool {
	for {
		select {
		case s.slots <- struct{}{}:
			return true
		default:
		}
		s.evict()
		select {
		case s.slots <- struct{}{}:
			return true
		case <-time.After(evictWait):
		case <-s.stopAccepting:
			return false
		}
	}
}

// acceptMore reports whether to go on accepting after an error. A deadline is set when the node shuts down;
// connections that have arrived by then are served.
func (s *clientServer) acceptMore(ctx context.Context, err error, retryDelay time.Duration) bool {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return connectionArrived(s.listener) && s.acceptUntil(time.Now().Add(finalAcceptTime)) == nil
	case errors.Is(err, net.ErrClosed):
		return false
	}
	return sysretry.Sleep(ctx, retryDelay) // most likely the process or the system is out of something
}

// acceptUntil ends accepting at the given time, if the listener supports that, and otherwise now.
func (s *clientServer) acceptUntil(until time.Time) error {
	ln, ok := s.listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return s.listener.Close()
	}
	return ln.SetDeadline(until)
}

// evict frees a connection slot. Connections that never sent a request are evicted first, then those idle
// longest. If there are none, the connection whose request has been open longest is evicted: all open
// requests may be of a kind that never ends.
func (s *clientServer) evict() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.lists {
		first := s.lists[i].Front()
		if first == nil || (i == connReading && time.Since(first.Value.(*clientConn).requestBegan) < evictReadingAfter) {
			continue
		}
		s.evictFirst(&s.lists[i])
		return
	}
}

// evictFirst ends the connection that a list has held longest. The lock must be held.
func (s *clientServer) evictFirst(list *queue.List) {
	c := list.Front().Value.(*clientConn)
	s.removeFromList(c)
	c.evicted = true
	c.SetReadDeadline(pastDeadline) // not closed from here: see Read
}

// markIdle adds a connection to the idle ones, and reports whether it may continue. Clients may have a limit
// on their own connections. If most send one request and then keep their connection, all connections that
// they may open could be idle ones here, and no client could hand anything in. So those idle longest are
// evicted once there are more than maxIdle. This also protects against client pools that never shrink;
// clients that alternate between more connections than that have to reconnect. When the node shuts down, a
// connection that was accepted since may hand in one request.
func (s *clientServer) markIdle(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.executing = false
	deadline, list := time.Now().Add(idleTimeout), &s.lists[connNew]
	switch {
	case s.abandoning:
		return false
	case s.closing && c.answered:
		deadline, list = pastDeadline, &s.lists[connIdle] // only what has arrived is still read
	case s.closing:
		deadline = time.Now().Add(s.grace)
	case c.answered:
		list = &s.lists[connIdle]
	}
	if c.SetReadDeadline(deadline) != nil {
		return false
	}
	c.element, c.finalReads, c.evicted = list.PushBack(c), 0, false
	if s.lists[connIdle].Len() > s.maxIdle {
		s.evictFirst(&s.lists[connIdle])
	}
	return true
}

// markReading moves a connection whose request has begun from the idle ones to those reading.
func (s *clientServer) markReading(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeFromList(c)
	c.executing = false
	c.finalReads, c.evicted, c.requestBegan = 0, false, time.Now()
	c.element = s.lists[connReading].PushBack(c)
	timeout := s.requestTimeout
	if s.closing {
		timeout = min(timeout, s.grace)
	}
	return c.SetReadDeadline(c.requestBegan.Add(timeout)) == nil
}

// markRead removes a connection whose request is read from the lists: it keeps its slot until the request is
// answered.
func (s *clientServer) markRead(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeFromList(c)
	c.executing = true
}

// removeFromList removes a connection from its list. The lock must be held.
func (s *clientServer) removeFromList(c *clientConn) {
	if c.element != nil {
		for i := range s.lists {
			s.lists[i].Remove(c.element) // has no effect on a list that it is not in
		}
		c.element = nil
	}
}

// serveConn serves a connection until it ends.
func (s *clientServer) serveConn(nc net.Conn) {
	c := &clientConn{Conn: nc}
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	reason, err := s.serveRequests(c)
	s.mu.Lock()
	s.removeFromList(c)
	delete(s.conns, c)
	s.mu.Unlock()
	nc.Close()
	s.log.Debug("connection closed", "client", nc.RemoteAddr(), "reason", reason, "replies", c.replies, "discarded", c.discarded, "err", err)
}

// serveRequests answers the requests of a connection until it ends, and returns why it ended.
func (s *clientServer) serveRequests(c *clientConn) (closeReason, error) {
	r := bufio.NewReaderSize(c, 4096)
	for {
		if r.Buffered() == 0 && !s.markIdle(c) {
			s.closeWithLinger(c)
			return closedShutdown, nil
		}
		if _, err := r.Peek(1); err != nil {
			return s.endIdle(c, err)
		}
		receivedAt := c.readAt
		if !s.markReading(c) {
			return closedCannotFollow, nil
		}
		args, err := readCommand(r)
		s.markRead(c)
		var reply string
		switch {
		case err == nil:
			reply = s.execute(args, receivedAt)
		case errors.Is(err, errTooLarge):
			reply = answer{failure: err.Error()}.encode()
		case errors.Is(err, errProtocol):
			s.rejectRequest(c, err)
			return closedBadRequest, err
		case errors.Is(err, os.ErrDeadlineExceeded):
			s.rejectRequest(c, fmt.Errorf("%w: the request took too long", errProtocol))
			return closedSlowRequest, err
		default: // the client disconnected inside a request
			return closedReadFailed, err
		}
		if reply == "" {
			return closedNoAnswer, nil
		}
		if err := c.queueReply(reply); err != nil {
			return closedWriteFailed, err
		}
	}
}

// endIdle ends a connection whose read between two requests has failed.
func (s *clientServer) endIdle(c *clientConn, err error) (closeReason, error) {
	switch {
	case errors.Is(err, io.EOF):
		return closedByClient, nil
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return closedReadFailed, err
	}
	s.mu.Lock()
	reason := closedIdle
	switch {
	case s.closing:
		reason = closedShutdown
	case c.evicted:
		reason = closedEvicted
	}
	s.mu.Unlock()
	s.closeWithLinger(c)
	return reason, nil
}

// rejectRequest answers a request that can't be read, and ends its connection.
func (s *clientServer) rejectRequest(c *clientConn, err error) {
	if c.queueReply(answer{failure: err.Error()}.encode()) == nil {
		s.closeWithLinger(c)
	}
}

// execute runs one command and returns the reply.
func (s *clientServer) execute(args [][]byte, receivedAt time.Time) string {
	switch strings.ToUpper(string(args[0])) {
	case "PING":
		return "+PONG\r\n"
	case "ENQUEUE":
		q, err := parseEnqueue(args, s.names, receivedAt)
		if err != nil {
			return answer{failure: err.Error()}.encode()
		}
		return s.handle(q).encode()
	}
	return answer{failure: "unknown command"}.encode()
}

// closeWithLinger ends a connection from this side. It reads and ignores whatever the client has sent since
// the last read: the client sees that the connection had ended, and sends its request elsewhere. Closing with
// unread bytes would reset the connection, and the last reply could be lost. Meanwhile the connection can be
// evicted. Without any reply there is none to lose, and what the client has sent stays unread.
func (s *clientServer) closeWithLinger(c *clientConn) {
	if !c.answered || c.flush() != nil {
		return
	}
	t, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || t.CloseWrite() != nil {
		return
	}
	s.mu.Lock()
	timeout := lingerTimeout
	switch {
	case s.closing:
		timeout = lingerShutdown
	case c.evicted:
		timeout = lingerEvicted
	}
	// The connection may be in the list of idle ones, if it was not evicted.
	s.removeFromList(c)
	c.element = s.lists[connClosing].PushBack(c) // evicted first
	err := c.SetReadDeadline(time.Now().Add(timeout))
	s.mu.Unlock()
	if err == nil {
		c.discarded, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxSkipped)) // errors don't matter, as the connection ends next
	}
}

// close stops accepting, closes connections that are between requests, and first answers the requests of the
// others. A client that is slow to send the rest of its request has the grace for it, so that it can't hold
// up the node until that is killed.
func (s *clientServer) close(grace time.Duration) {
	s.closeOnce.Do(func() { s.shutDown(grace) })
}

// shutDown closes the idle connections while the listener still accepts, because a request that crosses such
// a close is sent again on a new connection. Then it accepts the connections in the backlog, and closes the
// listener.
func (s *clientServer) shutDown(grace time.Duration) {
	s.mu.Lock()
	s.closing, s.grace = true, grace
	for _, i := range []int{connNew, connIdle} {
		for e := s.lists[i].Front(); e != nil; e = e.Next() {
			e.Value.(*clientConn).SetReadDeadline(pastDeadline) // see Read
		}
	}
	s.mu.Unlock()
	if s.acceptUntil(time.Now().Add(s.reconnectTime)) == nil {
		select {
		case <-s.acceptDone:
		case <-time.After(s.reconnectTime + grace): // all slots are taken
		}
	}
	close(s.stopAccepting)
	s.listener.Close()
	<-s.acceptDone
	graceTimer := time.AfterFunc(grace, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for e := s.lists[connReading].Front(); e != nil; e = e.Next() {
			e.Value.(*clientConn).SetReadDeadline(pastDeadline) // requests that have arrived whole by now are still answered
		}
	})
	defer graceTimer.Stop()
	closeTimer := time.AfterFunc(2*grace+lingerShutdown, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.abandoning = true
		for c := range s.conns {
			if !c.executing { // else its request is still owed an answer
				c.Close() // the client does not even read its replies
			}
		}
	})
	defer closeTimer.Stop()
	s.wg.Wait()
}
