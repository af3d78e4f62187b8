package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

const testTimeout = 30 * time.Second // for events that must happen; the tests make no assertion about speed

// startEcho starts a server that answers each line with the same line.
func startEcho(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				r := bufio.NewReader(nc)
				for {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					io.WriteString(nc, line)
				}
			}()
		}
	}()
	t.Cleanup(func() { ln.Close(); <-done })
	return ln.Addr().String()
}

func newLink(t *testing.T, target string) *Link {
	t.Helper()
	l, err := Listen("127.0.0.1:0", 1, DialTo(target), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	nc, err := net.DialTimeout("tcp", addr, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(testTimeout))
	return nc
}

func sendAndExpectEcho(t *testing.T, nc net.Conn, line string) {
	t.Helper()
	if _, err := io.WriteString(nc, line+"\n"); err != nil {
		t.Fatal(err)
	}
	expectLine(t, nc, line)
}

func expectLine(t *testing.T, nc net.Conn, line string) {
	t.Helper()
	got := make([]byte, len(line)+1)
	if _, err := io.ReadFull(nc, got); err != nil || string(got) != line+"\n" {
		t.Fatalf("got %q, %v; want %q", got, err, line)
	}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestForwardAndDelay(t *testing.T) {
	l := newLink(t, startEcho(t))
	nc := dial(t, l.Addr())
	sendAndExpectEcho(t, nc, "one")
	const delay = 30 * time.Millisecond
	l.SetConditions(Conditions{Delay: delay, Jitter: 0.5})
	began := time.Now()
	sendAndExpectEcho(t, nc, "two")
	if took := time.Since(began); took < 2*delay {
		t.Errorf("round trip took %v with a delay of %v each way", took, delay)
	}
}

func TestRate(t *testing.T) {
	l := newLink(t, startEcho(t))
	l.SetConditions(Conditions{BytesPerSecond: 1000})
	nc := dial(t, l.Addr())
	began := time.Now()
	sendAndExpectEcho(t, nc, string(make([]byte, 99)))
	if took := time.Since(began); took < 200*time.Millisecond {
		t.Errorf("round trip of 100 bytes at 1000 bytes per second took %v", took)
	}
}

// Data held back by a cut arrives in order once the path is restored. New connections are neither accepted
// nor refused during the cut.
func TestCut(t *testing.T) {
	l := newLink(t, startEcho(t))
	nc := dial(t, l.Addr())
	sendAndExpectEcho(t, nc, "before")
	l.SetConditions(Conditions{CutOutbound: true, CutReturn: true})
	io.WriteString(nc, "in the cut\nand more\n")
	dialed := make(chan error, 1)
	go func() {
		late, err := net.DialTimeout("tcp", l.Addr(), testTimeout)
		if err == nil {
			late.SetDeadline(time.Now().Add(testTimeout))
			io.WriteString(late, "late\n")
			_, err = io.ReadFull(late, make([]byte, 5))
			late.Close()
		}
		dialed <- err
	}()
	nc.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := nc.Read(make([]byte, 10)); n > 0 || err == nil {
		t.Fatalf("%d bytes arrived through a cut, %v", n, err)
	}
	select {
	case err := <-dialed:
		t.Fatalf("a connection was answered during a cut, or was refused: %v", err)
	default:
	}
	l.SetConditions(Conditions{})
	nc.SetReadDeadline(time.Now().Add(testTimeout))
	expectLine(t, nc, "in the cut")
	expectLine(t, nc, "and more")
	if err := <-dialed; err != nil {
		t.Errorf("the connection dialed during the cut: %v", err)
	}
}

// A connection that entered the accept queue just when the path was cut is reset once the path is restored,
// whatever was written to it.
func TestCutResetsQueuedConnection(t *testing.T) {
	l := newLink(t, startEcho(t))
	l.mu.Lock()
	l.listener.SetDeadline(time.Unix(1, 0)) // nothing is accepted, and there is no filler yet
	l.held = true
	l.conditions = Conditions{CutOutbound: true}
	l.mu.Unlock()
	for waiting := false; !waiting; time.Sleep(time.Millisecond) { // the accept loop may be past its look at the deadline
		l.mu.Lock()
		waiting = l.acceptHeld
		l.mu.Unlock()
	}
	nc := dial(t, l.Addr())
	io.WriteString(nc, "written in the cut\n")
	l.SetConditions(Conditions{})
	if n, err := nc.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%d bytes, %v; want a reset", n, err)
	}
	sendAndExpectEcho(t, dial(t, l.Addr()), "after the cut")
}

// newServedLink starts a link, and a goroutine of serve for the server's side of each connection.
func newServedLink(t *testing.T, serve func(c *Connection, server net.Conn)) *Link {
	t.Helper()
	l, err := Listen("127.0.0.1:0", 1, func(_ context.Context, c *Connection) (net.Conn, error) {
		linkEnd, serverEnd := c.Pipe()
		go serve(c, serverEnd)
		return linkEnd, nil
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

// With the return direction cut, a call arrives and its answer does not.
func TestReturnDirectionCut(t *testing.T) {
	for name, w := range map[string]Conditions{"cut": {CutReturn: true}, "swallowed": {CutReturnShare: 1}} {
		t.Run(name, func(t *testing.T) {
			received := make(chan string, 10)
			accepted := make(chan *Connection, 1)
			l := newServedLink(t, func(p *Connection, there net.Conn) {
				accepted <- p
				line, _ := bufio.NewReader(there).ReadString('\n')
				received <- line
				io.WriteString(there, "answer\n")
				p.OnDelivered(func(_ time.Time, reached bool) { received <- fmt.Sprint(reached) })
			})
			nc := dial(t, l.Addr())
			pair := <-accepted // accepted, so that it is open when the path is cut
			l.SetConditions(w)
			io.WriteString(nc, "call\n")
			if got := <-received; got != "call\n" {
				t.Fatalf("got %q", got)
			}
			nc.Close() // the client gives up
			for pair.ClientClosedAt().IsZero() {
				time.Sleep(time.Millisecond)
			}
			if w.CutReturn {
				l.SetConditions(Conditions{})
			}
			if got := <-received; got != "false" {
				t.Errorf("the answer was delivered to a client that had closed: %v", got)
			}
		})
	}
}

func TestResetAndRefusedConnections(t *testing.T) {
	l := newLink(t, startEcho(t))
	nc := dial(t, l.Addr())
	sendAndExpectEcho(t, nc, "one")
	l.ResetConnections()
	if _, err := nc.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after a reset: %v", err)
	}
	if err := l.SetRefusing(true); err != nil {
		t.Fatal(err)
	}
	if _, err := net.DialTimeout("tcp", l.Addr(), testTimeout); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("while refused: %v", err)
	}
	if err := l.SetRefusing(false); err != nil {
		t.Fatal(err)
	}
	sendAndExpectEcho(t, dial(t, l.Addr()), "two")
}

// The next request may arrive before the write of the answer has returned. It has a start time of its own.
func TestRequestBeforeWriteReturns(t *testing.T) {
	p := &Connection{awaitingRequest: true}
	p.recordRequest(1)
	first := p.RequestStartedAt()
	p.prepareSend() // the answer is being written, and the client has it already
	for time.Now().Equal(first) {
	}
	p.recordRequest(1)
	p.recordSent(1, true)
	if p.RequestStartedAt().Equal(first) {
		t.Error("the second request began with the first")
	}
}

// An answer that arrives after the client has closed is told apart from one that was read before.
func TestClosedBeforeDelivery(t *testing.T) {
	for _, reads := range []bool{true, false} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		nc := dial(t, ln.Addr().String())
		near, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer near.Close()
		p := &Connection{client: near.(*net.TCPConn)}
		if reads {
			io.WriteString(near, "answer\n")
			expectLine(t, nc, "answer")
			nc.Close()
			near.Read(make([]byte, 1)) // until the close has arrived
		} else {
			nc.Close()
			near.Read(make([]byte, 1))
			io.WriteString(near, "answer\n")
			for by := time.Now().Add(testTimeout); !p.closedBeforeDelivery() && time.Now().Before(by); {
				time.Sleep(time.Millisecond) // the reset from the kernel may take a moment
			}
		}
		if got := p.closedBeforeDelivery(); got == reads {
			t.Errorf("closed before delivery: %v, answer read: %v", got, reads)
		}
	}
}

// A close that leaves an answer unread is told apart from a close after the answer was read.
func TestCloseWithUnreadAnswer(t *testing.T) {
	for _, reads := range []bool{true, false} {
		pairs := make(chan *Connection, 1)
		l, err := Listen("127.0.0.1:0", 1, func(_ context.Context, p *Connection) (net.Conn, error) {
			here, there := p.Pipe()
			go func() {
				bufio.NewReader(there).ReadString('\n')
				io.WriteString(there, "answer\n")
				pairs <- p
			}()
			return here, nil
		}, nil)
		if err != nil {
			t.Fatal(err)
		}
		nc := dial(t, l.Addr())
		io.WriteString(nc, "call\n")
		if reads {
			expectLine(t, nc, "answer")
		} else {
			raw, err := nc.(*net.TCPConn).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			raw.Read(func(fd uintptr) bool { // until data is there to read
				n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
				return n > 0 || err != syscall.EAGAIN
			})
		}
		p := <-pairs
		nc.Close()
		for by := time.Now().Add(testTimeout); p.ClientClosedAt().IsZero(); time.Sleep(time.Millisecond) {
			if time.Now().After(by) {
				t.Fatal("the client's close was not observed")
			}
		}
		l.Close() // ends its goroutines too
		if got := p.clientResetAt.IsZero(); got != reads {
			t.Errorf("answer read: %v, closed without reading: %v", reads, !got)
		}
	}
}

// A close with unread data counts as sent before the answer arrived only within closeSlack after the write.
func TestSettle(t *testing.T) {
	at := time.Now()
	for name, c := range map[string]struct {
		reset   time.Time
		reached bool
	}{
		"no reset":   {time.Time{}, true},
		"just after": {at.Add(closeSlack / 2), false},
		"later":      {at.Add(2 * closeSlack), true},
	} {
		p := &Connection{clientResetAt: c.reset}
		p.settle(deliveryWaiter{done: func(_ time.Time, reached bool) {
			if reached != c.reached {
				t.Errorf("%s: delivered %v", name, reached)
			}
		}}, at)
	}
}

// An answer that the client has read counts as delivered also if the client has closed the connection before the server asks.
// It guards against answers that a busy lab takes for lost.
func TestDeliveryIsKnownAfterTheEnd(t *testing.T) {
	outcome := make(chan bool, 1)
	ended := make(chan struct{})
	l := newServedLink(t, func(p *Connection, there net.Conn) {
		if _, err := bufio.NewReader(there).ReadString('\n'); err != nil {
			return
		}
		io.WriteString(there, "answer\n")
		<-p.closed
		close(ended)
		p.OnDelivered(func(_ time.Time, delivered bool) { outcome <- delivered })
	})
	nc := dial(t, l.Addr())
	io.WriteString(nc, "call\n")
	expectLine(t, nc, "answer")
	nc.Close()
	<-ended
	if !<-outcome {
		t.Error("an answer that the client has read counts as lost")
	}
}

// The client may read an answer and close the connection while the link still records that it was sent. The end of the
// connection waits for that.
func TestEndWaitsForASend(t *testing.T) {
	link := newLink(t, startEcho(t))
	client, err := net.Dial("tcp", link.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	c := &Connection{link: link, client: client.(*net.TCPConn), closed: make(chan struct{}), written: 1}
	outcome := make(chan bool, 1)
	c.OnDelivered(func(_ time.Time, delivered bool) { outcome <- delivered })
	c.sending.Lock()
	end := make(chan struct{})
	go func() {
		c.end(false)
		close(end)
	}()
	time.Sleep(20 * time.Millisecond) // less than maxSendWait
	c.recordSent(1, true)
	c.sending.Unlock()
	<-end
	if !<-outcome {
		t.Error("an answer that was sent counts as lost")
	}
}

// Each call on a connection has a start time of its own, and the arrival of its answer is observed.
func TestCallTimes(t *testing.T) {
	reached := make(chan time.Time, 1)
	began := make(chan time.Time, 2)
	l := newServedLink(t, func(p *Connection, there net.Conn) {
		r := bufio.NewReader(there)
		for {
			if _, err := r.ReadString('\n'); err != nil {
				return
			}
			began <- p.RequestStartedAt()
			io.WriteString(there, "answer\n")
			p.OnDelivered(func(at time.Time, ok bool) {
				if ok {
					reached <- at
				}
			})
		}
	})
	nc := dial(t, l.Addr())
	var last time.Time
	for range 2 {
		io.WriteString(nc, "call\n")
		expectLine(t, nc, "answer")
		b, r := <-began, <-reached
		if b.Before(last) || r.Before(b) {
			t.Errorf("request started at %v, answer delivered at %v, the previous one at %v", b, r, last)
		}
		last = r
	}
}

func TestDatagrams(t *testing.T) {
	target, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	d, err := ListenDatagrams("127.0.0.1:0", target.LocalAddr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	nc, err := net.Dial("udp", d.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	buf := make([]byte, 100)
	round := func(text string) {
		t.Helper()
		io.WriteString(nc, text)
		target.SetReadDeadline(time.Now().Add(testTimeout))
		n, from, err := target.ReadFrom(buf)
		if err != nil || string(buf[:n]) != text {
			t.Fatalf("got %q, %v", buf[:n], err)
		}
		target.WriteTo([]byte("back "+text), from)
		nc.SetReadDeadline(time.Now().Add(testTimeout))
		if n, err := nc.Read(buf); err != nil || string(buf[:n]) != "back "+text {
			t.Fatalf("got %q, %v", buf[:n], err)
		}
	}
	round("one")
	d.SetConditions(Conditions{Delay: 5 * time.Millisecond, Jitter: 1})
	round("two")
	for i, w := range []Conditions{{CutOutbound: true}, {Loss: 1}} {
		d.SetConditions(w)
		io.WriteString(nc, "lost")
		for d.Dropped() < int64(i+1) {
			time.Sleep(time.Millisecond)
		}
	}
	d.SetConditions(Conditions{})
	round("three")
}
