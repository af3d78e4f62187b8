// Package relay puts a proxy on the link between two processes and imposes network conditions on it: delay,
// loss, cuts, swallowed answers, resets and a limited rate. A TCP link forwards connections, a UDP link
// forwards datagrams.
package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conditions tells what a link does to the data that passes. The zero value forwards everything without
// delay.
type Conditions struct {
	Delay          time.Duration // in each direction
	Jitter         float64       // adds up to this share of the delay, uniformly distributed
	Loss           float64       // share of chunks: over TCP they arrive resendDelay later, over UDP never
	BytesPerSecond float64       // of each connection in each direction; 0: unlimited
	CutOutbound    bool          // nothing passes from the client to the server, new connections included
	CutReturn      bool          // nothing passes from the server to the client
	CutReturnShare float64       // share of connections whose return direction is cut
}

const (
	resendDelay       = 200 * time.Millisecond // as with the first retransmission timeout of TCP
	maxChunkBytes     = 16 << 10
	maxChunksInFlight = 64 // in flight in one direction of a connection
	acceptQueue       = 1024

	tcpStateClose = 7                      // state TCP_CLOSE of the kernel
	maxSendWait   = 100 * time.Millisecond // what a client that does not read may hold up the end of its connection
	sendPoll      = time.Millisecond
	closeSlack    = 5 * time.Millisecond // a reset this soon after an answer was written counts as sent before the answer arrived

	fillerTimeout = 30 * time.Millisecond // of a dial that the full queue leaves without an answer
)

// fillerIP is the source address of fillers, by which they are recognized.
var fillerIP = net.IPv4(127, 255, 255, 2)

// Link listens at one address and forwards each connection to the server that dial connects to. Close ends
// the link and all its connections.
type Link struct {
	addr   string
	dial   func(context.Context, *Connection) (net.Conn, error)
	onLate func(time.Duration) // called with the lateness of each chunk; may be nil

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu          sync.Mutex
	listener    *net.TCPListener // nil while connections are refused
	held        bool             // new connections are neither accepted nor refused
	acceptHeld  bool             // the accept loop has seen that
	conditions  Conditions
	changed     chan struct{} // closed at each change of the conditions
	connections map[*Connection]bool
	filler      net.Conn // keeps the accept queue full
	rand        *rand.Rand
}

// Listen creates a link. The address is host:port. dial is called for each connection. The seed is for jitter
// and loss.
func Listen(addr string, seed uint64, dial func(context.Context, *Connection) (net.Conn, error), onLate func(time.Duration)) (*Link, error) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		addr: addr, dial: dial, onLate: onLate, ctx: ctx, cancel: cancel, changed: make(chan struct{}), connections: map[*Connection]bool{},
		rand: rand.New(rand.NewPCG(seed, 1)),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.listen(); err != nil {
		cancel()
		return nil, err
	}
	return l, nil
}

// DialTo returns a dial function that connects to a TCP address.
func DialTo(addr string) func(context.Context, *Connection) (net.Conn, error) {
	return func(ctx context.Context, _ *Connection) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", addr)
	}
}

// Addr returns the address at which the link listens.
func (l *Link) Addr() string { return l.addr }

// listen opens the listener. The caller holds the lock.
func (l *Link) listen() error {
	ln, err := net.Listen("tcp", l.addr)
	if err != nil {
		return fmt.Errorf("listen on link: %w", err)
	}
	l.listener = ln.(*net.TCPListener)
	l.addr = ln.Addr().String()
	l.wg.Go(func() { l.accept(l.listener) })
	return nil
}

func (l *Link) accept(ln *net.TCPListener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			if l.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			changed, held := l.isHeld()
			if held {
				select {
				case <-changed:
				case <-l.ctx.Done():
					return
				}
			}
			continue
		}
		if from, ok := nc.RemoteAddr().(*net.TCPAddr); ok && from.IP.Equal(fillerIP) {
			nc.Close()
			continue
		}
		l.wg.Go(func() { l.forward(nc.(*net.TCPConn)) })
	}
}

// isHeld reports to the accept loop whether it has to wait, and until when.
func (l *Link) isHeld() (<-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acceptHeld = l.held
	return l.changed, l.held
}

// SetConditions changes the conditions.
func (l *Link) SetConditions(conditions Conditions) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conditions = conditions
	anyCut := conditions.CutOutbound || conditions.CutReturn
	if anyCut != l.held {
		l.setHeld(anyCut)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// setHeld makes the listener neither accept nor refuse new connections, as on a path that is cut. The accept
// queue is kept full, so that the kernel drops connection requests, and clients repeat them a second later.
// The caller holds the lock.
func (l *Link) setHeld(held bool) {
	l.held = held
	if l.listener == nil {
		return
	}
	raw, err := l.listener.SyscallConn()
	if err != nil {
		return
	}
	backlog := acceptQueue
	if held {
		backlog = 0
	}
	raw.Control(func(fd uintptr) {
		if !held {
			resetQueued(int(fd))
		}
		syscall.Listen(int(fd), backlog)
	})
	if !held {
		l.listener.SetDeadline(time.Time{})
		l.closeFiller()
		return
	}
	l.listener.SetDeadline(time.Unix(1, 0))
	// A queue of length zero is filled by one connection. If the dial fails, another connection is in the
	// queue already.
	d := net.Dialer{Timeout: fillerTimeout, LocalAddr: &net.TCPAddr{IP: fillerIP}}
	if c, err := d.DialContext(l.ctx, "tcp", l.listener.Addr().String()); err == nil {
		l.filler = c
	}
}

// resetQueued resets the connections that wait in a listener's accept queue. A connection may enter the queue
// just when the path is cut. When its data arrived is unknown, and that data must not be forwarded once the
// path is restored.
func resetQueued(fd int) {
	for {
		nfd, _, err := syscall.Accept4(fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if err != nil {
			return
		}
		syscall.SetsockoptLinger(nfd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
		syscall.Close(nfd)
	}
}

// closeFiller closes the filler. The caller holds the lock.
func (l *Link) closeFiller() {
	if l.filler != nil {
		l.filler.Close()
		l.filler = nil
	}
}

// SetRefusing closes the address, or opens it again. Open connections stay.
func (l *Link) SetRefusing(refusing bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case refusing && l.listener != nil:
		l.listener.Close()
		l.listener = nil
	case !refusing && l.listener == nil && l.ctx.Err() == nil:
		if err := l.listen(); err != nil {
			return err
		}
		if l.held {
			l.setHeld(true)
		}
	}
	return nil
}

// ResetConnections resets all open connections.
func (l *Link) ResetConnections() {
	for _, c := range l.openConnections() {
		c.Reset()
	}
}

func (l *Link) openConnections() []*Connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*Connection, 0, len(l.connections))
	for c := range l.connections {
		out = append(out, c)
	}
	return out
}

// Close closes the link and returns when all its goroutines have ended.
func (l *Link) Close() {
	l.cancel()
	l.mu.Lock()
	if l.listener != nil {
		l.listener.Close()
		l.listener = nil
	}
	l.closeFiller()
	l.mu.Unlock()
	l.ResetConnections()
	l.wg.Wait()
}

// chunk is a piece of data in flight.
type chunk struct {
	data []byte
	due  time.Time
	end  bool // end of the stream
}

// Connection is a relayed connection: the client's connection to the link, and the one from the link to the
// server.
type Connection struct {
	link          *Link
	client        *net.TCPConn // the side that dialed
	server        net.Conn
	cutReturnDraw float64 // drawn once; the return direction is cut if it is below CutReturnShare
	closed        chan struct{}
	once          sync.Once
	sending       sync.Mutex // held from before data is sent to the client until it is known whether that was delivered

	mu               sync.Mutex
	awaitingRequest  bool      // nothing has arrived from the client since data was last sent to it
	requestStartedAt time.Time // when the first data of the last request arrived
	clientClosedAt   time.Time
	clientResetAt    time.Time // when the client closed the connection with unread data
	written          int64     // bytes that the server has written
	sent             int64     // how many of these were sent to the client
	sentAt           time.Time // when the last of these were
	lostAt           time.Time // when the client had closed the connection before data was sent to it; zero if it had not
	waiters          []deliveryWaiter
}

type deliveryWaiter struct {
	upTo int64
	done func(at time.Time, reached bool)
}

func (l *Link) forward(client *net.TCPConn) {
	c := &Connection{link: l, client: client, closed: make(chan struct{}), awaitingRequest: true}
	client.SetNoDelay(true)
	l.mu.Lock()
	c.cutReturnDraw = l.rand.Float64()
	if l.ctx.Err() != nil {
		l.mu.Unlock()
		client.Close()
		return
	}
	l.connections[c] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.connections, c)
		l.mu.Unlock()
	}()
	server, err := l.dial(l.ctx, c)
	if err != nil {
		c.Reset()
		return
	}
	c.mu.Lock()
	c.server = server
	c.mu.Unlock()
	select {
	case <-c.closed: // it was reset in the meantime
		server.Close()
		return
	default:
	}
	out, back := make(chan chunk, maxChunksInFlight), make(chan chunk, maxChunksInFlight)
	var pumps sync.WaitGroup
	pumps.Go(func() { c.read(client, out, c.recordRequest, c.recordClientClose) })
	pumps.Go(func() { c.write(server, out, func(w Conditions) bool { return w.CutOutbound }, nil) })
	pumps.Go(func() { c.read(server, back, nil, nil) })
	pumps.Go(func() {
		c.write(client, back, func(w Conditions) bool { return w.CutReturn || c.cutReturnDraw < w.CutReturnShare }, c.recordSent)
	})
	pumps.Wait()
	c.end(false)
}

// end closes both sides. With reset, the client sees a reset. Without it, data that is just being sent is recorded first:
// the client may have read it and closed its side already.
func (c *Connection) end(reset bool) {
	c.once.Do(func() {
		if reset {
			c.client.SetLinger(0)
		} else {
			c.awaitSend()
		}
		close(c.closed)
		c.client.Close()
		c.mu.Lock()
		if c.server != nil {
			c.server.Close()
		}
		waiting := c.waiters
		c.waiters = nil
		at := time.Now()
		if !c.clientClosedAt.IsZero() {
			at = c.clientClosedAt
		}
		c.mu.Unlock()
		for _, w := range waiting {
			w.done(at, false)
		}
	})
}

// awaitSend waits until no data is being sent to the client, or until that has taken maxSendWait.
func (c *Connection) awaitSend() {
	for end := time.Now().Add(maxSendWait); time.Now().Before(end); time.Sleep(sendPoll) {
		if c.sending.TryLock() {
			c.sending.Unlock()
			return
		}
	}
}

// Reset resets the connection for the client.
func (c *Connection) Reset() { c.end(true) }

// RequestStartedAt returns when the first byte of the client's last request arrived.
func (c *Connection) RequestStartedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestStartedAt
}

// ClientClosedAt returns when the client closed the connection, as seen by the link. It returns the zero time
// if the client has not.
func (c *Connection) ClientClosedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clientClosedAt
}

// OnDelivered calls done once everything that the server has written so far was sent to the client, or the
// connection has ended before that.
func (c *Connection) OnDelivered(done func(at time.Time, delivered bool)) {
	c.mu.Lock()
	if c.sent >= c.written { // also if the client has read it all and ended the connection since
		waiting, at, lostAt := deliveryWaiter{c.written, done}, c.sentAt, c.lostAt
		c.mu.Unlock()
		if at.IsZero() {
			at = time.Now() // nothing was written
		}
		if !lostAt.IsZero() {
			done(lostAt, false)
			return
		}
		c.settle(waiting, at)
		return
	}
	select {
	case <-c.closed:
		at := c.clientClosedAt
		c.mu.Unlock()
		if at.IsZero() {
			at = time.Now()
		}
		done(at, false)
		return
	default:
	}
	c.waiters = append(c.waiters, deliveryWaiter{c.written, done})
	c.mu.Unlock()
}

func (c *Connection) recordRequest(int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingRequest {
		c.awaitingRequest, c.requestStartedAt = false, time.Now()
	}
}

func (c *Connection) recordClientClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clientClosedAt.IsZero() {
		c.clientClosedAt = time.Now()
	}
}

// Pipe creates the server side of a connection that is served in this process: linkEnd is for the link,
// serverEnd for the server. OnDelivered works only for such connections.
func (c *Connection) Pipe() (linkEnd, serverEnd net.Conn) {
	linkEnd, serverEnd = net.Pipe()
	return linkEnd, &countingConn{serverEnd, c}
}

// countingConn counts bytes before they are written, so that they are counted before they can be read.
type countingConn struct {
	net.Conn
	connection *Connection
}

func (c *countingConn) Write(b []byte) (int, error) {
	c.connection.mu.Lock()
	c.connection.written += int64(len(b))
	c.connection.mu.Unlock()
	return c.Conn.Write(b)
}

// closedBeforeDelivery reports whether the client had closed the connection before the data just written
// arrived, even if the link doesn't know this yet: the client's kernel has then answered with a reset. A
// client that closes after it has read everything leaves the connection half closed.
func (c *Connection) closedBeforeDelivery() bool {
	raw, err := c.client.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State == tcpStateClose
	})
	if err != nil || !closed {
		return err != nil
	}
	c.recordClientClose()
	return true
}

// prepareSend records that data is about to be written to the client, and reports whether the client still
// has the connection open. The next data from the client is a new request, and may arrive before the write
// has returned.
func (c *Connection) prepareSend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingRequest = true
	return c.clientClosedAt.IsZero()
}

// recordSent records that n bytes were written to the client, and whether the connection was still open when
// the write began: the client may well close it as soon as it has read the last byte.
func (c *Connection) recordSent(n int, delivered bool) {
	now := time.Now()
	c.mu.Lock()
	if !delivered {
		now = c.clientClosedAt
		c.lostAt = now
	}
	c.sentAt = now
	c.sent += int64(n)
	var due []deliveryWaiter
	for len(c.waiters) > 0 && c.waiters[0].upTo <= c.sent {
		due = append(due, c.waiters[0])
		c.waiters = c.waiters[1:]
	}
	c.mu.Unlock()
	for _, w := range due {
		if !delivered {
			w.done(now, false)
			continue
		}
		c.link.wg.Add(1) // this function's caller holds a count of the wait group, so it is above zero
		time.AfterFunc(closeSlack, func() {
			defer c.link.wg.Done()
			c.settle(w, now)
		})
	}
}

// settle decides whether data written a moment ago was delivered. If the client has meanwhile closed the
// connection with the data unread, its close and the data have crossed, and it is not expected to know the data.
func (c *Connection) settle(waiting deliveryWaiter, at time.Time) {
	c.mu.Lock()
	reset := c.clientResetAt
	c.mu.Unlock()
	if !reset.IsZero() && reset.Sub(at) < closeSlack {
		waiting.done(reset, false)
		return
	}
	waiting.done(at, true)
}

// read reads chunks from one side until its end.
func (c *Connection) read(from net.Conn, to chan<- chunk, onData func(int), onEnd func()) {
	defer close(to)
	buf := make([]byte, maxChunkBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if onData != nil {
				onData(n)
			}
			data := append([]byte(nil), buf[:n]...)
			if !c.put(to, chunk{data: data, due: c.link.arrivalTime(n)}) {
				return
			}
		}
		if err != nil {
			if onEnd != nil {
				onEnd()
				if errors.Is(err, syscall.ECONNRESET) {
					c.mu.Lock()
					c.clientResetAt = time.Now()
					c.mu.Unlock()
				}
			}
			c.put(to, chunk{end: true, due: c.link.arrivalTime(0)})
			return
		}
	}
}

func (c *Connection) put(to chan<- chunk, item chunk) bool {
	select {
	case to <- item:
		return true
	case <-c.closed:
		return false
	}
}

// arrivalTime draws the time at which a chunk arrives.
func (l *Link) arrivalTime(size int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.conditions
	d := time.Duration(float64(w.Delay) * (1 + w.Jitter*l.rand.Float64()))
	if w.Loss > 0 && l.rand.Float64() < w.Loss {
		d += resendDelay
	}
	if w.BytesPerSecond > 0 {
		d += time.Duration(float64(size) / w.BytesPerSecond * float64(time.Second))
	}
	return time.Now().Add(d)
}

// write writes chunks to the other side in order, each when it is due and its direction is not cut.
func (c *Connection) write(to io.Writer, from <-chan chunk, cut func(Conditions) bool, onSent func(n int, delivered bool)) {
	defer c.end(false)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for next := range from {
		waited := false
		if d := time.Until(next.due); d > 0 {
			timer.Reset(d)
			select {
			case <-timer.C:
			case <-c.closed:
				return
			}
			waited = true
		}
		for {
			c.link.mu.Lock()
			w, changed := c.link.conditions, c.link.changed
			c.link.mu.Unlock()
			if !cut(w) {
				break
			}
			waited = false
			select {
			case <-changed:
			case <-c.closed:
				return
			}
		}
		if waited && c.link.onLate != nil {
			c.link.onLate(time.Since(next.due))
		}
		if next.end {
			return
		}
		if onSent == nil {
			_, err := to.Write(next.data)
			if err != nil {
				return
			}
		} else if !c.send(to, next.data, onSent) {
			return
		}
	}
}

// send writes data to the client and tells onSent whether it was delivered. It returns false if it can't be written.
func (c *Connection) send(to io.Writer, data []byte, onSent func(n int, delivered bool)) bool {
	c.sending.Lock()
	defer c.sending.Unlock()
	open := c.prepareSend()
	if _, err := to.Write(data); err != nil {
		return false
	}
	onSent(len(data), open && !c.closedBeforeDelivery())
	return true
}
