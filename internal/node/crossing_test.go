package node

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"starlingusher/internal/wire"
)

// These tests are about requests that cross a shutdown or a close; docs/crossings.md lists all such places.
// Hooks in the node's side of real sockets force the crossing.

// connHooks are called from the node's side of a client's connection.
type connHooks struct {
	closing func(*net.TCPConn) // before the node closes its sending side, or closes the connection without that
	reading func()             // before each read
	expired func()             // after its read deadline was set to a past time
	timeout func(*net.TCPConn) // after a read that its deadline has ended
}

type hookedListener struct {
	*net.TCPListener
	connHooks
	accepting func() // before each accept
}

func (l *hookedListener) Accept() (net.Conn, error) {
	if l.accepting != nil {
		l.accepting()
	}
	nc, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &hookedConn{TCPConn: nc, connHooks: l.connHooks}, nil
}

type hookedConn struct {
	*net.TCPConn
	connHooks
	once sync.Once
}

func (c *hookedConn) Read(p []byte) (int, error) {
	if c.reading != nil {
		c.reading()
	}
	n, err := c.TCPConn.Read(p)
	if c.timeout != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		c.timeout(c.TCPConn)
	}
	return n, err
}

func (c *hookedConn) SetReadDeadline(at time.Time) error {
	err := c.TCPConn.SetReadDeadline(at)
	if c.expired != nil && at.Before(time.Now()) {
		c.expired()
	}
	return err
}

func (c *hookedConn) callClosing() {
	if c.closing != nil {
		c.once.Do(func() { c.closing(c.TCPConn) })
	}
}

func (c *hookedConn) CloseWrite() error {
	c.callClosing()
	return c.TCPConn.CloseWrite()
}

func (c *hookedConn) Close() error {
	c.callClosing()
	return c.TCPConn.Close()
}

// serveHooked serves clients on a listener with hooks. It calls configure, if any, before serving.
func serveHooked(t *testing.T, maxConns int, l *hookedListener, handle func(request) answer, configure func(*clientServer)) (*clientServer, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.TCPListener = ln.(*net.TCPListener)
	c := newClientServer(l, maxConns, wire.Names{Classes: []string{"notice"}}, handle)
	if configure != nil {
		configure(c)
	}
	go c.serve(t.Context())
	t.Cleanup(func() { c.close(shutdownGrace) })
	return c, ln.Addr().String()
}

// waitUnread waits until n unread bytes are in a socket's receive buffer.
func waitUnread(t *testing.T, c *net.TCPConn, n int) {
	raw, err := c.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		got, b := 0, make([]byte, n)
		raw.Control(func(fd uintptr) { got, _, _ = syscall.Recvfrom(int(fd), b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT) })
		if got >= n {
			return
		}
		if time.Now().After(end) {
			t.Errorf("%d of %d bytes have arrived", got, n)
			return
		}
	}
}

func expectLine(t *testing.T, r interface{ ReadString(byte) (string, error) }, want string) {
	t.Helper()
	if line, err := r.ReadString('\n'); line != want {
		t.Errorf("got %q, %v, want %q", line, err, want)
	}
}

// A request that arrives at the moment in which its connection is closed is neither accepted nor answered,
// and the client sees an end of file, not a reset that could lose its last reply.
func TestRequestCrossesClose(t *testing.T) {
	late := enqueueCommand("late", "c=notice,d=8000,dest=7", "b")
	for name, closeConn := range map[string]func(*clientServer){
		"eviction": func(c *clientServer) { c.evict() },
		"shutdown": func(c *clientServer) { go c.close(shutdownGrace) },
	} {
		t.Run(name, func(t *testing.T) {
			var client net.Conn
			l := &hookedListener{connHooks: connHooks{closing: func(server *net.TCPConn) {
				io.WriteString(client, late)
				waitUnread(t, server, len(late))
			}}}
			c, addr := serveHooked(t, 5, l, func(q request) answer {
				t.Errorf("message %s was accepted", q.id)
				return answer{}
			}, nil)
			var br interface{ ReadString(byte) (string, error) }
			client, br = dialClient(t, addr)
			io.WriteString(client, encodeCommand("PING"))
			waitListed(t, c, connIdle, 1)
			closeConn(c)
			expectLine(t, br, "+PONG\r\n")
			if line, err := br.ReadString('\n'); !errors.Is(err, io.EOF) {
				t.Errorf("got %q, %v", line, err)
			}
		})
	}
}

// waitListed waits until a list holds n connections.
func waitListed(t *testing.T, c *clientServer, list, n int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		have := c.lists[list].Len()
		c.mu.Unlock()
		if have == n {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d connections in list %d, want %d", have, list, n)
		}
	}
}

// A client whose request crossed the close of its connection during a shutdown sends it again on a new
// connection, and it is accepted.
func TestShutdownAcceptsRepeatedRequest(t *testing.T) {
	c, addr := serveHooked(t, 5, &hookedListener{}, func(request) answer { return answer{} }, func(c *clientServer) { c.reconnectTime = testTimeout })
	first, br := dialClient(t, addr)
	io.WriteString(first, encodeCommand("PING"))
	expectLine(t, br, "+PONG\r\n")
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c.close(shutdownGrace)
	}()
	if _, err := br.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: got %v, want EOF", err)
	}
	again, br := dialClient(t, addr)
	io.WriteString(again, enqueueCommand("a", "c=notice,d=8000,dest=7", "b"))
	expectLine(t, br, "+OK\r\n")
	if _, err := br.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the reply: got %v, want EOF", err)
	}
	c.listener.Close()
	<-closed
}

// Connections in the accept queue are served, not reset, when the listener is about to close.
func TestShutdownServesBacklog(t *testing.T) {
	release := make(chan struct{})
	accepting := make(chan struct{}, 100)
	l := &hookedListener{accepting: func() {
		accepting <- struct{}{}
		<-release
	}}
	c, addr := serveHooked(t, 5, l, func(request) answer { return answer{} }, func(c *clientServer) { c.reconnectTime = 0 })
	<-accepting // nothing is accepted from now on
	nc, br := dialClient(t, addr)
	io.WriteString(nc, enqueueCommand("a", "c=notice,d=8000,dest=7", "b"))
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c.close(testTimeout)
	}()
	for c.mu.Lock(); !c.closing; c.mu.Lock() {
		c.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	c.mu.Unlock()
	if err := l.SetDeadline(time.Unix(1, 0)); err != nil { // as close does a moment later
		t.Fatal(err)
	}
	close(release)
	expectLine(t, br, "+OK\r\n")
	nc.Close()
	<-closed
}

// A request whose last byte arrived before the grace of a shutdown ended gets its answer, even if the byte
// had not been read by then.
func TestWholeRequestAnsweredAfterGrace(t *testing.T) {
	resume, blocked, expired := make(chan struct{}), make(chan struct{}, 100), make(chan struct{}, 100)
	reads := 0
	l := &hookedListener{connHooks: connHooks{expired: func() { expired <- struct{}{} }, reading: func() {
		if reads++; reads == 2 { // the first read got a part of the request
			blocked <- struct{}{}
			<-resume
		}
	}}}
	c, addr := serveHooked(t, 5, l, func(request) answer { return answer{} }, func(c *clientServer) { c.requestTimeout = testTimeout })
	release := sync.OnceFunc(func() { close(resume) })
	t.Cleanup(release)
	nc, br := dialClient(t, addr)
	whole := enqueueCommand("a", "c=notice,d=8000,dest=7", "b")
	io.WriteString(nc, whole[:10])
	<-blocked
	io.WriteString(nc, whole[10:])
	c.mu.Lock()
	conn := c.lists[connReading].Front().Value.(*clientConn)
	c.mu.Unlock()
	waitUnread(t, conn.Conn.(*hookedConn).TCPConn, len(whole)-10)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c.close(time.Millisecond)
	}()
	select {
	case <-expired:
	case <-time.After(testTimeout):
		t.Fatal("the grace period does not end")
	}
	release()
	expectLine(t, br, "+OK\r\n")
	<-closed
}

// When all slots are taken by requests that never end, a well-behaved client is still served.
func TestPartialRequestsAreEvicted(t *testing.T) {
	const maxConns = 3
	c, addr := serveHooked(t, maxConns, &hookedListener{}, func(request) answer { return answer{} }, func(c *clientServer) { c.requestTimeout = testTimeout })
	for range maxConns {
		nc, _ := dialClient(t, addr)
		io.WriteString(nc, "*5\r\n$7\r\nENQ")
	}
	waitListed(t, c, connReading, maxConns)
	nc, br := dialClient(t, addr)
	io.WriteString(nc, enqueueCommand("a", "c=notice,d=8000,dest=7", "b"))
	expectLine(t, br, "+OK\r\n")
}

// However a connection ends, it leaves the lists: the server would try to evict one that stays there again
// and again.
func TestEndedConnectionsLeaveLists(t *testing.T) {
	for name, end := range map[string]func(net.Conn, *clientConn){
		"idle timeout":  func(_ net.Conn, conn *clientConn) { conn.SetReadDeadline(time.Unix(1, 0)) },
		"client closes": func(client net.Conn, _ *clientConn) { client.Close() },
		"partial request": func(client net.Conn, conn *clientConn) {
			io.WriteString(client, "*5\r\n$7\r\nENQ")
			client.(*net.TCPConn).CloseWrite()
		},
		"invalid request": func(client net.Conn, _ *clientConn) { io.WriteString(client, "*9\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			c, addr := serveHooked(t, 5, &hookedListener{}, func(request) answer { return answer{} }, nil)
			client, br := dialClient(t, addr)
			io.WriteString(client, encodeCommand("PING"))
			expectLine(t, br, "+PONG\r\n")
			waitListed(t, c, connIdle, 1)
			c.mu.Lock()
			conn := c.lists[connIdle].Front().Value.(*clientConn)
			c.mu.Unlock()
			end(client, conn)
			io.Copy(io.Discard, br)
			client.Close()
			for list := range c.lists {
				waitListed(t, c, list, 0)
			}
		})
	}
}

const (
	heldUp     = 20 * time.Millisecond // for which a process does not run; the operators allow for 150 ms
	burstConns = 20
)

// A process that is held up finds its deadlines passed. A request that came meanwhile is answered all the same.
func TestHoldUpLosesNoRequest(t *testing.T) {
	t.Run("old connection", func(t *testing.T) { testHoldUpOfRead(t, encodeCommand("PING"), connIdle) })
	t.Run("new connection", func(t *testing.T) { testHoldUpOfRead(t, "", connNew) })
	t.Run("accept queue", testHoldUpOfAccept)
}

// testHoldUpOfRead submits a request on a resting connection, which is in a list, after its read has timed out.
func testHoldUpOfRead(t *testing.T, first string, list int) {
	late := enqueueCommand("a", "c=notice,d=8000,dest=7", "b")
	var client net.Conn
	var sent atomic.Bool
	l := &hookedListener{connHooks: connHooks{
		reading: func() { time.Sleep(heldUp) },
		timeout: func(server *net.TCPConn) {
			if sent.CompareAndSwap(false, true) {
				io.WriteString(client, late)
				waitUnread(t, server, len(late))
			}
		},
	}}
	c, addr := serveHooked(t, 5, l, func(request) answer { return answer{} }, nil)
	var br interface{ ReadString(byte) (string, error) }
	client, br = dialClient(t, addr)
	if first != "" {
		io.WriteString(client, first)
		expectLine(t, br, "+PONG\r\n")
	}
	waitListed(t, c, list, 1)
	go c.close(shutdownGrace)
	expectLine(t, br, "+OK\r\n")
}

// testHoldUpOfAccept submits requests on connections that are in the accept queue at a shutdown.
func testHoldUpOfAccept(t *testing.T) {
	l := &hookedListener{accepting: func() { time.Sleep(heldUp) }}
	c, addr := serveHooked(t, 2*burstConns, l, func(request) answer { return answer{} }, func(c *clientServer) { c.reconnectTime = heldUp })
	replies := make([]interface{ ReadString(byte) (string, error) }, burstConns)
	for i := range replies {
		var client net.Conn
		client, replies[i] = dialClient(t, addr)
		io.WriteString(client, enqueueCommand("a"+itoa(i), "c=notice,d=8000,dest=7", "b"))
	}
	go c.close(testTimeout)
	for _, r := range replies {
		expectLine(t, r, "+OK\r\n")
	}
}
