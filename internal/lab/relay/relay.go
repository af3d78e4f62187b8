// Package relay stands on a link between two processes and gives it weather: delay, loss, cuts, silence, resets, a cap
// on its rate. A TCP link passes connections on, a UDP link datagrams.
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

// Weather is what a link does to what passes. The zero value passes all at once.
type Conditions struct {
	Delay          time.Duration // one way
	Jitter         float64       // of the delay, evenly up to this share more
	Loss           float64       // share of pieces: over TCP they come resendAfter later, over UDP never
	BytesPerSecond float64       // bytes a second of each connection and way; 0: any
	CutOutbound    bool          // nothing passes from the one who dials, new connections included
	CutReturn      bool          // nothing passes back to it
	CutReturnShare float64       // share of connections whose way back is cut
}

const (
	resendAfter = 200 * time.Millisecond // of TCP's first time-out
	maxPiece    = 16 << 10
	maxPieces   = 64 // on the way, of a connection's one direction
	acceptQueue = 1024

	tcpClose   = 7                    // TCP_CLOSE of the kernel's states
	crossSlack = 5 * time.Millisecond // in which an end that left an answer unread may have crossed it

	fillerTimeout = 30 * time.Millisecond // of a dial that the full queue leaves without an answer
)

// fillerIP is where a filler comes from, which is how it is told from others.
var fillerIP = net.IPv4(127, 255, 255, 2)

// Link listens at one address and passes each connection on to where dial leads. Close ends it and all that it holds.
type Link struct {
	addr string
	dial func(context.Context, *Connection) (net.Conn, error)
	late func(time.Duration) // is told how late each piece left; may be nil

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu         sync.Mutex
	ln         *net.TCPListener // nil while connections are refused
	held       bool             // connections neither come up nor are refused
	conditions Conditions
	changed    chan struct{} // closed at each change of weather
	pairs      map[*Connection]bool
	filler     net.Conn // it keeps the accept queue full
	rand       *rand.Rand
}

// Listen makes a link. Its address is host:port; where dial leads is asked for each connection. The seed is for jitter
// and loss.
func Listen(addr string, seed uint64, dial func(context.Context, *Connection) (net.Conn, error), late func(time.Duration)) (*Link, error) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		addr: addr, dial: dial, late: late, ctx: ctx, cancel: cancel, changed: make(chan struct{}), pairs: map[*Connection]bool{},
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

// To leads to a TCP address.
func DialTo(addr string) func(context.Context, *Connection) (net.Conn, error) {
	return func(ctx context.Context, _ *Connection) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", addr)
	}
}

// Addr is where it listens.
func (l *Link) Addr() string { return l.addr }

// listen opens the listener; the lock is held.
func (l *Link) listen() error {
	ln, err := net.Listen("tcp", l.addr)
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	l.ln = ln.(*net.TCPListener)
	l.addr = ln.Addr().String()
	l.wg.Go(func() { l.accept(l.ln) })
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
		l.wg.Go(func() { l.pass(nc.(*net.TCPConn)) })
	}
}

func (l *Link) isHeld() (<-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed, l.held
}

// Set changes the weather.
func (l *Link) SetConditions(w Conditions) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conditions = w
	cut := w.CutOutbound || w.CutReturn
	if cut != l.held {
		l.hold(cut)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// hold lets new connections neither come up nor be refused, as on a path that is cut: the accept queue is kept full,
// so that the kernel drops what asks for a connection, and those asking ask again a second later. The lock is held.
func (l *Link) hold(on bool) {
	l.held = on
	if l.ln == nil {
		return
	}
	raw, err := l.ln.SyscallConn()
	if err != nil {
		return
	}
	backlog := acceptQueue
	if on {
		backlog = 0
	}
	raw.Control(func(fd uintptr) {
		if !on {
			resetQueued(int(fd))
		}
		syscall.Listen(int(fd), backlog)
	})
	if !on {
		l.ln.SetDeadline(time.Time{})
		l.dropFiller()
		return
	}
	l.ln.SetDeadline(time.Unix(1, 0))
	// One fills a queue of no length. Without it the queue is full already: somebody else has slipped in.
	d := net.Dialer{Timeout: fillerTimeout, LocalAddr: &net.TCPAddr{IP: fillerIP}}
	if c, err := d.DialContext(l.ctx, "tcp", l.ln.Addr().String()); err == nil {
		l.filler = c
	}
}

// resetQueued resets the connections that wait in a listener's queue. One may have slipped in just as the path was cut:
// when its bytes came can't be told, and they must not pass as news once the path is whole.
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

// dropFiller ends it; the lock is held.
func (l *Link) dropFiller() {
	if l.filler != nil {
		l.filler.Close()
		l.filler = nil
	}
}

// Refuse closes the address, or opens it again. Open connections stay.
func (l *Link) SetRefusing(on bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case on && l.ln != nil:
		l.ln.Close()
		l.ln = nil
	case !on && l.ln == nil && l.ctx.Err() == nil:
		if err := l.listen(); err != nil {
			return err
		}
		if l.held {
			l.hold(true)
		}
	}
	return nil
}

// Reset breaks all open connections.
func (l *Link) ResetConnections() {
	for _, p := range l.open() {
		p.Reset()
	}
}

func (l *Link) open() []*Connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*Connection, 0, len(l.pairs))
	for p := range l.pairs {
		out = append(out, p)
	}
	return out
}

// Close ends the link and returns when nothing of it is left.
func (l *Link) Close() {
	l.cancel()
	l.mu.Lock()
	if l.ln != nil {
		l.ln.Close()
		l.ln = nil
	}
	l.dropFiller()
	l.mu.Unlock()
	l.ResetConnections()
	l.wg.Wait()
}

// piece is something on its way.
type piece struct {
	data []byte
	due  time.Time
	end  bool // the sender has ended
}

// Pair is one connection and its continuation.
type Connection struct {
	link    *Link
	near    *net.TCPConn // of the one who dialed
	far     net.Conn
	swallow float64 // drawn once, against the weather's
	gone    chan struct{}
	once    sync.Once

	mu        sync.Mutex
	quiet     bool      // nothing has come from near since something last went back to it
	began     time.Time // when something did
	nearEnded time.Time
	nearReset time.Time // the same, if it left something unread
	back      int64     // bytes that far has written,
	reached   int64     // and of those the ones that near was sent
	waiting   []waiter
}

type waiter struct {
	upTo int64
	tell func(at time.Time, reached bool)
}

func (l *Link) pass(near *net.TCPConn) {
	p := &Connection{link: l, near: near, gone: make(chan struct{}), quiet: true}
	near.SetNoDelay(true)
	l.mu.Lock()
	p.swallow = l.rand.Float64()
	if l.ctx.Err() != nil {
		l.mu.Unlock()
		near.Close()
		return
	}
	l.pairs[p] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pairs, p)
		l.mu.Unlock()
	}()
	far, err := l.dial(l.ctx, p)
	if err != nil {
		p.Reset()
		return
	}
	p.mu.Lock()
	p.far = far
	p.mu.Unlock()
	select {
	case <-p.gone: // it was reset meanwhile
		far.Close()
		return
	default:
	}
	out, back := make(chan piece, maxPieces), make(chan piece, maxPieces)
	var pumps sync.WaitGroup
	pumps.Go(func() { p.read(near, out, p.heard, p.ended) })
	pumps.Go(func() { p.write(far, out, func(w Conditions) bool { return w.CutOutbound }, nil) })
	pumps.Go(func() { p.read(far, back, nil, nil) })
	pumps.Go(func() {
		p.write(near, back, func(w Conditions) bool { return w.CutReturn || p.swallow < w.CutReturnShare }, p.sent)
	})
	pumps.Wait()
	p.end(false)
}

// end closes both sides, near with a reset if hard.
func (p *Connection) end(hard bool) {
	p.once.Do(func() {
		if hard {
			p.near.SetLinger(0)
		}
		close(p.gone)
		p.near.Close()
		p.mu.Lock()
		if p.far != nil {
			p.far.Close()
		}
		waiting := p.waiting
		p.waiting = nil
		at := time.Now()
		if !p.nearEnded.IsZero() {
			at = p.nearEnded
		}
		p.mu.Unlock()
		for _, w := range waiting {
			w.tell(at, false)
		}
	})
}

// Reset breaks the connection; the one who dialed sees a reset.
func (p *Connection) Reset() { p.end(true) }

// Began is when the first byte came of what was sent last by the one who dialed.
func (p *Connection) RequestStartedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.began
}

// NearEnded is when the one who dialed ended the connection, as the link saw it; the zero time if it has not.
func (p *Connection) ClientClosedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.nearEnded
}

// WhenReached calls tell once all that far has written so far was sent to near, or the connection has ended without it.
func (p *Connection) OnDelivered(tell func(at time.Time, reached bool)) {
	p.mu.Lock()
	select {
	case <-p.gone:
		at := p.nearEnded
		p.mu.Unlock()
		if at.IsZero() {
			at = time.Now()
		}
		tell(at, false)
		return
	default:
	}
	if p.reached >= p.back {
		p.mu.Unlock()
		tell(time.Now(), true)
		return
	}
	p.waiting = append(p.waiting, waiter{p.back, tell})
	p.mu.Unlock()
}

func (p *Connection) heard(int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.quiet {
		p.quiet, p.began = false, time.Now()
	}
}

func (p *Connection) ended() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.nearEnded.IsZero() {
		p.nearEnded = time.Now()
	}
}

// Pipe makes the far side of a pair whose other end is served in this process: here is for the link, there for the one
// who serves. Only such a pair can tell WhenReached.
func (p *Connection) Pipe() (here, there net.Conn) {
	here, there = net.Pipe()
	return here, &counted{there, p}
}

// counted counts what is written before it can be read.
type counted struct {
	net.Conn
	of *Connection
}

func (c *counted) Write(b []byte) (int, error) {
	c.of.mu.Lock()
	c.of.back += int64(len(b))
	c.of.mu.Unlock()
	return c.Conn.Write(b)
}

// crossed tells that near had ended before what was just written came to it, though this is not known here yet: its
// kernel has answered with a reset. One that had read all and ended then leaves the connection half closed.
func (p *Connection) crossed() bool {
	raw, err := p.near.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State == tcpClose
	})
	if err != nil || !closed {
		return err != nil
	}
	p.ended()
	return true
}

// sending notes that something is about to be written to near, and tells whether near is still there. What comes from
// there next is a new request, and may come before the write has returned here.
func (p *Connection) sending() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quiet = true
	return p.nearEnded.IsZero()
}

// sent notes that so much has been written to near, and whether near was still there when that began: it may well end
// as soon as it has read the last of it.
func (p *Connection) sent(n int, reached bool) {
	now := time.Now()
	p.mu.Lock()
	if !reached {
		now = p.nearEnded
	}
	p.reached += int64(n)
	var due []waiter
	for len(p.waiting) > 0 && p.waiting[0].upTo <= p.reached {
		due = append(due, p.waiting[0])
		p.waiting = p.waiting[1:]
	}
	p.mu.Unlock()
	for _, w := range due {
		if !reached {
			w.tell(now, false)
			continue
		}
		p.link.wg.Add(1) // the pump that calls this is counted there
		time.AfterFunc(crossSlack, func() {
			defer p.link.wg.Done()
			p.settle(w, now)
		})
	}
}

// settle tells of something that was written to near a moment ago: if near has left it unread and ended meanwhile, the
// two have crossed, and whoever wrote it can't hold near to it.
func (p *Connection) settle(w waiter, at time.Time) {
	p.mu.Lock()
	reset := p.nearReset
	p.mu.Unlock()
	if !reset.IsZero() && reset.Sub(at) < crossSlack {
		w.tell(reset, false)
		return
	}
	w.tell(at, true)
}

// read takes pieces from one side until it ends.
func (p *Connection) read(from net.Conn, to chan<- piece, seen func(int), ended func()) {
	defer close(to)
	buf := make([]byte, maxPiece)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if seen != nil {
				seen(n)
			}
			data := append([]byte(nil), buf[:n]...)
			if !p.put(to, piece{data: data, due: p.link.due(n)}) {
				return
			}
		}
		if err != nil {
			if ended != nil {
				ended()
				if errors.Is(err, syscall.ECONNRESET) {
					p.mu.Lock()
					p.nearReset = time.Now()
					p.mu.Unlock()
				}
			}
			p.put(to, piece{end: true, due: p.link.due(0)})
			return
		}
	}
}

func (p *Connection) put(to chan<- piece, x piece) bool {
	select {
	case to <- x:
		return true
	case <-p.gone:
		return false
	}
}

// due draws when a piece arrives.
func (l *Link) due(size int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.conditions
	d := time.Duration(float64(w.Delay) * (1 + w.Jitter*l.rand.Float64()))
	if w.Loss > 0 && l.rand.Float64() < w.Loss {
		d += resendAfter
	}
	if w.BytesPerSecond > 0 {
		d += time.Duration(float64(size) / w.BytesPerSecond * float64(time.Second))
	}
	return time.Now().Add(d)
}

// write gives pieces to the other side in their order, each when it is due and nothing cuts its way.
func (p *Connection) write(to io.Writer, from <-chan piece, cut func(Conditions) bool, sent func(n int, reached bool)) {
	defer p.end(false)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for x := range from {
		waited := false
		if d := time.Until(x.due); d > 0 {
			timer.Reset(d)
			select {
			case <-timer.C:
			case <-p.gone:
				return
			}
			waited = true
		}
		for {
			p.link.mu.Lock()
			w, changed := p.link.conditions, p.link.changed
			p.link.mu.Unlock()
			if !cut(w) {
				break
			}
			waited = false
			select {
			case <-changed:
			case <-p.gone:
				return
			}
		}
		if waited && p.link.late != nil {
			p.link.late(time.Since(x.due))
		}
		if x.end {
			return
		}
		there := true
		if sent != nil {
			there = p.sending()
		}
		if _, err := to.Write(x.data); err != nil {
			return
		}
		if sent != nil {
			sent(len(x.data), there && !p.crossed())
		}
	}
}
