package node

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"starlingusher/internal/wire"
)

// Tests of what crosses a shutdown or a close; docs/crossings.md lists all such places. The crossing is forced by hooks in
// the node's side of real sockets.

// hooks are called from the node's side of a client's connection.
type hooks struct {
	closing func(*net.TCPConn) // before the node ends its sending, or closes without that
	reading func()             // before each read
	expired func()             // once its reads are to end at once
}

type hookedListener struct {
	*net.TCPListener
	hooks
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
	return &hookedConn{TCPConn: nc, hooks: l.hooks}, nil
}

type hookedConn struct {
	*net.TCPConn
	hooks
	once sync.Once
}

func (c *hookedConn) Read(p []byte) (int, error) {
	if c.reading != nil {
		c.reading()
	}
	return c.TCPConn.Read(p)
}

func (c *hookedConn) SetReadDeadline(at time.Time) error {
	err := c.TCPConn.SetReadDeadline(at)
	if c.expired != nil && at.Before(time.Now()) {
		c.expired()
	}
	return err
}

func (c *hookedConn) crossed() {
	if c.closing != nil {
		c.once.Do(func() { c.closing(c.TCPConn) })
	}
}

func (c *hookedConn) CloseWrite() error {
	c.crossed()
	return c.TCPConn.CloseWrite()
}

func (c *hookedConn) Close() error {
	c.crossed()
	return c.TCPConn.Close()
}

// hooked serves clients on a listener with hooks; set changes the clients before they serve.
func hooked(t *testing.T, most int, l *hookedListener, hand func(request) answer, set func(*clients)) (*clients, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.TCPListener = ln.(*net.TCPListener)
	c := newClients(l, most, wire.Names{Classes: []string{"notice"}}, hand)
	if set != nil {
		set(c)
	}
	go c.serve(t.Context())
	t.Cleanup(func() { c.close(closeGrace) })
	return c, ln.Addr().String()
}

// hasCome waits until bytes that nobody has read stand in a socket.
func hasCome(t *testing.T, c *net.TCPConn, n int) {
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
			t.Errorf("%d of %d bytes have come", got, n)
			return
		}
	}
}

func expect(t *testing.T, r interface{ ReadString(byte) (string, error) }, want string) {
	t.Helper()
	if line, err := r.ReadString('\n'); line != want {
		t.Errorf("got %q, %v, want %q", line, err, want)
	}
}

// A request that comes in the instant in which its connection is hung up on is neither sent on nor answered, and the client sees
// an end, not a reset that could take its last answer along.
func TestRequestCrossesTheHangUp(t *testing.T) {
	late := enqueue("late", "c=notice,d=8000,dest=7", "b")
	for name, hangUp := range map[string]func(*clients){
		"asked back":      func(c *clients) { c.evict() },
		"the node leaves": func(c *clients) { go c.close(closeGrace) },
	} {
		t.Run(name, func(t *testing.T) {
			var client net.Conn
			l := &hookedListener{hooks: hooks{closing: func(server *net.TCPConn) {
				io.WriteString(client, late)
				hasCome(t, server, len(late))
			}}}
			c, addr := hooked(t, 5, l, func(q request) answer {
				t.Errorf("%s was taken on", q.id)
				return answer{}
			}, nil)
			var br interface{ ReadString(byte) (string, error) }
			client, br = dialTest(t, addr)
			io.WriteString(client, resp("PING"))
			waitFor(t, c, idle, 1)
			hangUp(c)
			expect(t, br, "+PONG\r\n")
			if line, err := br.ReadString('\n'); !errors.Is(err, io.EOF) {
				t.Errorf("got %q, %v", line, err)
			}
		})
	}
}

// waitFor waits until so many sessions stand in a list.
func waitFor(t *testing.T, c *clients, list, n int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		have := c.lists[list].Len()
		c.mu.Unlock()
		if have == n {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d sessions in list %d, want %d", have, list, n)
		}
	}
}

// A client whose request crossed the end of its connection as the node leaves comes again on a new one, and is taken on.
func TestLeavingNodeTakesWhoCrossed(t *testing.T) {
	c, addr := hooked(t, 5, &hookedListener{}, func(request) answer { return answer{} }, func(c *clients) { c.cross = testTimeout })
	first, br := dialTest(t, addr)
	io.WriteString(first, resp("PING"))
	expect(t, br, "+PONG\r\n")
	left := make(chan struct{})
	go func() {
		defer close(left)
		c.close(closeGrace)
	}()
	if _, err := br.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection: %v", err)
	}
	again, br := dialTest(t, addr)
	io.WriteString(again, enqueue("a", "c=notice,d=8000,dest=7", "b"))
	expect(t, br, "+OK\r\n")
	if _, err := br.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after its answer: %v", err)
	}
	c.ln.Close()
	<-left
}

// Who stands in the accept queue as the listener is about to close is served, not reset.
func TestLeavingNodeEmptiesTheBacklog(t *testing.T) {
	release := make(chan struct{})
	accepting := make(chan struct{}, 100)
	l := &hookedListener{accepting: func() {
		accepting <- struct{}{}
		<-release
	}}
	c, addr := hooked(t, 5, l, func(request) answer { return answer{} }, func(c *clients) { c.cross = 0 })
	<-accepting // nobody is accepted from now on
	nc, br := dialTest(t, addr)
	io.WriteString(nc, enqueue("a", "c=notice,d=8000,dest=7", "b"))
	left := make(chan struct{})
	go func() {
		defer close(left)
		c.close(testTimeout)
	}()
	for c.mu.Lock(); !c.leaving; c.mu.Lock() {
		c.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	c.mu.Unlock()
	if err := l.SetDeadline(time.Unix(1, 0)); err != nil { // as it soon is by itself
		t.Fatal(err)
	}
	close(release)
	expect(t, br, "+OK\r\n")
	nc.Close()
	<-left
}

// A request whose last byte has come when the grace of a leaving node ends gets its answer, though it had not been read yet.
func TestGraceEndsOnAWholeRequest(t *testing.T) {
	hold, held, expired := make(chan struct{}), make(chan struct{}, 100), make(chan struct{}, 100)
	reads := 0
	l := &hookedListener{hooks: hooks{expired: func() { expired <- struct{}{} }, reading: func() {
		if reads++; reads == 2 { // the first one read half of the request
			held <- struct{}{}
			<-hold
		}
	}}}
	c, addr := hooked(t, 5, l, func(request) answer { return answer{} }, func(c *clients) { c.request = testTimeout })
	release := sync.OnceFunc(func() { close(hold) })
	t.Cleanup(release)
	nc, br := dialTest(t, addr)
	whole := enqueue("a", "c=notice,d=8000,dest=7", "b")
	io.WriteString(nc, whole[:10])
	<-held
	io.WriteString(nc, whole[10:])
	c.mu.Lock()
	s := c.lists[half].Front().Value.(*session)
	c.mu.Unlock()
	hasCome(t, s.Conn.(*hookedConn).TCPConn, len(whole)-10)
	left := make(chan struct{})
	go func() {
		defer close(left)
		c.close(time.Millisecond)
	}()
	select {
	case <-expired:
	case <-time.After(testTimeout):
		t.Fatal("the grace does not end")
	}
	release()
	expect(t, br, "+OK\r\n")
	<-left
}

// With all places taken by requests that never end, a proper client is served.
func TestHalfRequestsGiveWay(t *testing.T) {
	const most = 3
	c, addr := hooked(t, most, &hookedListener{}, func(request) answer { return answer{} }, func(c *clients) { c.request = testTimeout })
	for range most {
		nc, _ := dialTest(t, addr)
		io.WriteString(nc, "*5\r\n$7\r\nENQ")
	}
	waitFor(t, c, half, most)
	nc, br := dialTest(t, addr)
	io.WriteString(nc, enqueue("a", "c=notice,d=8000,dest=7", "b"))
	expect(t, br, "+OK\r\n")
}

// However a connection ends, nothing is left of it in the lists: what is left there would be asked for its place for ever.
func TestEndedSessionsLeaveTheLists(t *testing.T) {
	for name, end := range map[string]func(net.Conn, *session){
		"its idle time is up": func(_ net.Conn, s *session) { s.SetReadDeadline(time.Unix(1, 0)) },
		"the client goes":     func(client net.Conn, _ *session) { client.Close() },
		"half a request": func(client net.Conn, s *session) {
			io.WriteString(client, "*5\r\n$7\r\nENQ")
			client.(*net.TCPConn).CloseWrite()
		},
		"no request": func(client net.Conn, _ *session) { io.WriteString(client, "*9\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			c, addr := hooked(t, 5, &hookedListener{}, func(request) answer { return answer{} }, nil)
			client, br := dialTest(t, addr)
			io.WriteString(client, resp("PING"))
			expect(t, br, "+PONG\r\n")
			waitFor(t, c, idle, 1)
			c.mu.Lock()
			s := c.lists[idle].Front().Value.(*session)
			c.mu.Unlock()
			end(client, s)
			io.Copy(io.Discard, br)
			client.Close()
			for list := range c.lists {
				waitFor(t, c, list, 0)
			}
		})
	}
}
