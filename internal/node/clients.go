package node

import (
	"bufio"
	"bytes"
	queue "container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"starlingusher/internal/registry"
	"starlingusher/internal/wire"
)

// The reader below replaces the one of redcon v1.6.4, which indexes out of its buffer on a bulk length near
// the largest integer, loops over any announced array length, and buffers requests without bound.

// minAcceptRetryDelay is the pause after a connection could not be accepted; it is doubled for each further one in a
// row.
const minAcceptRetryDelay = time.Millisecond

const (
	maxBody          = 64 << 10 // bytes
	maxArgSize       = 1 << 10  // bytes of each argument but the body
	maxArgs          = 8
	bodyArgIndex     = 4       // index of the body among the arguments of an ENQUEUE
	maxLine          = 512     // bytes
	maxSkipped       = 1 << 20 // bytes of too large arguments that are read and dropped, so that the connection stays usable
	maxEmptyCommands = 16      // empty commands ahead of a real one
	maxTTL           = 24 * time.Hour
	maxUnsent        = 4 << 10 // bytes; replies to pipelined commands are sent together

	// A client that sends nothing, or does not complete a request, must get an error or a close within 3 s of
	// connecting; idleTimeout and requestTimeout together ensure that. Other clients give up on a reply after
	// 0.4 s.
	idleTimeout       = 2 * time.Second
	acceptRetryDelay  = 50 * time.Millisecond  // after a connection could not be accepted several times in a row
	requestTimeout    = 800 * time.Millisecond // from a request's first byte to its last, and to write a reply
	reconnectTime     = 100 * time.Millisecond // for requests that crossed the close of their connection and are sent again on a new one
	shutdownGrace     = 200 * time.Millisecond // for requests that are partly read when the node shuts down
	lingerTimeout     = 300 * time.Millisecond // for a client to read its last reply, and to notice that nothing more is accepted
	lingerShutdown    = 150 * time.Millisecond // instead of lingerTimeout when the node shuts down
	lingerEvicted     = 5 * time.Millisecond   // instead of lingerTimeout when other clients wait for the connection slot
	maxFinalReads     = 64                     // reads after the deadline, for what had arrived by then
	finalAcceptTime   = 50 * time.Millisecond  // to accept a connection that waits in the queue
	evictWait         = 20 * time.Millisecond  // wait for an evicted connection to give its slot back
	evictReadingAfter = 100 * time.Millisecond // time that a request may take before its connection can be evicted
)

// pastDeadline ends a read that waits, and lets later ones read only what has arrived.
var pastDeadline = time.Unix(1, 0)

// request is one message as a client hands it in.
type request struct {
	id, key     string
	class, dest int
	tenant      int // -1 if it is not in the settings
	ttl         time.Duration
	body        []byte
	receivedAt  time.Time
}

// answer is what a client is told: accepted, refused, or failed for a reason.
type answer struct {
	refused    bool
	retryAfter time.Duration
	failure    string

	// Whether the message was accepted is not known. The client gets no reply and its connection ends, as in a
	// crash.
	outcomeUnknown   bool
	countedElsewhere bool // another process gave the answer and has counted it
}

func (a answer) encode() string {
	switch {
	case a.outcomeUnknown:
		return ""
	case a.failure != "":
		return "-ERR " + a.failure + "\r\n"
	case a.refused && a.retryAfter >= time.Millisecond:
		return "-BUSY " + strconv.FormatInt(a.retryAfter.Milliseconds(), 10) + "\r\n"
	case a.refused:
		return "-BUSY\r\n"
	}
	return "+OK\r\n"
}

// errProtocol ends a connection, because the start of its next request can't be found.
//
//lint:ignore ST1005 clients match this reply letter for letter
var errProtocol = errors.New("Protocol error")

// errTooLarge is a request that was read to its end and is too large to accept.
var errTooLarge = errors.New("a body holds 65536 bytes at most")

// readCommand reads an array of bulk strings or an inline command, within bounds. It skips empty commands.
func readCommand(r *bufio.Reader) ([][]byte, error) {
	for range maxEmptyCommands {
		line, err := readLine(r)
		if err != nil {
			return nil, err
		}
		args := bytes.Fields(line)
		if len(line) > 0 && line[0] == '*' {
			if args, err = readArray(r, line[1:]); err != nil {
				return nil, err
			}
		}
		if len(args) > 0 {
			return args, nil
		}
	}
	return nil, fmt.Errorf("%w: nothing but empty commands", errProtocol)
}

func readArray(r *bufio.Reader, length []byte) ([][]byte, error) {
	count, err := parseDigits(string(length))
	if err != nil || count > maxArgs {
		return nil, fmt.Errorf("%w: invalid multibulk length", errProtocol)
	}
	args := make([][]byte, 0, count)
	skipped := 0
	for i := range count {
		line, err := readLine(r)
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		if len(line) == 0 || line[0] != '$' {
			return nil, fmt.Errorf("%w: expected '$'", errProtocol)
		}
		size, err := parseDigits(string(line[1:]))
		if err != nil {
			return nil, fmt.Errorf("%w: invalid bulk length", errProtocol)
		}
		limit := maxArgSize
		if i == bodyArgIndex {
			limit = maxBody
		}
		if size > limit {
			if skipped += size; skipped > maxSkipped {
				return nil, fmt.Errorf("%w: invalid bulk length", errProtocol)
			}
			if _, err := r.Discard(size); err != nil {
				return nil, unexpectedEOF(err)
			}
			size = 0
		}
		arg, err := readBulk(r, size)
		if err != nil {
			return nil, err
		}
		args = append(args, arg)
	}
	if skipped > 0 {
		return nil, errTooLarge
	}
	return args, nil
}

// readBulk reads a bulk string and the end of its line. It allocates memory as the bytes arrive, not as they
// are announced.
func readBulk(r *bufio.Reader, size int) ([]byte, error) {
	arg := make([]byte, min(size+2, r.Size()))
	if _, err := io.ReadFull(r, arg); err != nil {
		return nil, unexpectedEOF(err)
	}
	for have := len(arg); have < size+2; have = len(arg) {
		arg = append(arg, make([]byte, min(have, size+2-have))...)
		if _, err := io.ReadFull(r, arg[have:]); err != nil {
			return nil, unexpectedEOF(err)
		}
	}
	if string(arg[size:]) != "\r\n" {
		return nil, fmt.Errorf("%w: a bulk string of another length than told", errProtocol)
	}
	return arg[:size:size], nil
}

// parseDigits parses a whole number as the protocol writes it: digits alone.
func parseDigits(text string) (int, error) {
	if len(text) > 9 {
		return 0, errors.New("the number has more than 9 digits")
	}
	for _, c := range []byte(text) {
		if c < '0' || c > '9' {
			return 0, errors.New("the number has characters other than digits")
		}
	}
	return strconv.Atoi(text)
}

// parseDecimal parses a number that is written in digits, with a point or without. ParseFloat alone accepts
// infinities, hexadecimal and exponents as well.
func parseDecimal(text string, limit float64) (float64, error) {
	for _, c := range []byte(text) {
		if (c < '0' || c > '9') && c != '.' {
			return 0, errors.New("not a plain decimal number")
		}
	}
	v, err := strconv.ParseFloat(text, 64)
	if err == nil && v > limit {
		err = errors.New("the number is too large")
	}
	return v, err
}

// unexpectedEOF distinguishes the end of a connection inside a request from one between requests.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || (err == nil && len(line) > maxLine) {
		return nil, fmt.Errorf("%w: a line too long", errProtocol)
	}
	if err != nil {
		if len(line) > 0 {
			return nil, unexpectedEOF(err)
		}
		return nil, err
	}
	return []byte(strings.TrimRight(string(line), "\r\n")), nil
}

// parseEnqueue parses the arguments of an ENQUEUE.
func parseEnqueue(args [][]byte, names wire.Names, receivedAt time.Time) (request, error) {
	q := request{receivedAt: receivedAt, class: -1, tenant: -1, dest: -1, ttl: -1}
	if len(args) != 5 {
		return q, errors.New("wrong number of arguments for 'enqueue' command")
	}
	q.id, q.body = string(args[2]), args[4]
	if !isToken(q.id) {
		return q, errors.New("the id can't be used")
	}
	if len(args[3]) > maxArgSize {
		return q, errors.New("the fields are too long")
	}
	for field := range strings.SplitSeq(string(args[3]), ",") {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "c":
			if q.class = slices.Index(names.Classes, value); q.class < 0 {
				return q, errors.New("unknown class")
			}
		case "t":
			q.tenant = slices.Index(names.Tenants, value)
		case "d":
			ms, err := parseDecimal(value, float64(maxTTL.Milliseconds()))
			if err != nil {
				return q, errors.New("d is no time in milliseconds")
			}
			q.ttl = time.Duration(ms * float64(time.Millisecond))
		case "dest":
			n, err := parseDigits(value)
			if err != nil {
				return q, errors.New("dest is no number")
			}
			q.dest = n
		case "k":
			if q.key = value; !isToken(value) {
				return q, errors.New("the key can't be used")
			}
		}
	}
	if q.class < 0 || q.ttl < 0 || q.dest < 0 {
		return q, errors.New("c, d and dest are needed")
	}
	return q, nil
}

// isToken reports whether s can go into a header as it is.
func isToken(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return len(s) > 0 && len(s) <= 256
}

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
	return registry.Sleep(ctx, retryDelay) // most likely the process or the system is out of something
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
