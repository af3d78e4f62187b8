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

const patience = 30 * time.Second // for what must happen; nothing is asserted of how fast

// echo answers each line with itself.
func echo(t *testing.T) string {
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

func link(t *testing.T, target string) *Link {
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
	nc, err := net.DialTimeout("tcp", addr, patience)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(patience))
	return nc
}

func says(t *testing.T, nc net.Conn, line string) {
	t.Helper()
	if _, err := io.WriteString(nc, line+"\n"); err != nil {
		t.Fatal(err)
	}
	hears(t, nc, line)
}

func hears(t *testing.T, nc net.Conn, line string) {
	t.Helper()
	got := make([]byte, len(line)+1)
	if _, err := io.ReadFull(nc, got); err != nil || string(got) != line+"\n" {
		t.Fatalf("got %q, %v; want %q", got, err, line)
	}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestPassesAndDelays(t *testing.T) {
	l := link(t, echo(t))
	nc := dial(t, l.Addr())
	says(t, nc, "one")
	const delay = 30 * time.Millisecond
	l.SetConditions(Conditions{Delay: delay, Jitter: 0.5})
	began := time.Now()
	says(t, nc, "two")
	if took := time.Since(began); took < 2*delay {
		t.Errorf("there and back in %v, each way takes %v", took, delay)
	}
}

func TestRate(t *testing.T) {
	l := link(t, echo(t))
	l.SetConditions(Conditions{BytesPerSecond: 1000})
	nc := dial(t, l.Addr())
	began := time.Now()
	says(t, nc, string(make([]byte, 99)))
	if took := time.Since(began); took < 200*time.Millisecond {
		t.Errorf("100 bytes there and back at 1000 bytes a second in %v", took)
	}
}

// What a cut holds back arrives when the path is whole again, in its order; a new connection neither comes up nor is
// refused meanwhile.
func TestCut(t *testing.T) {
	l := link(t, echo(t))
	nc := dial(t, l.Addr())
	says(t, nc, "before")
	l.SetConditions(Conditions{CutOutbound: true, CutReturn: true})
	io.WriteString(nc, "in the cut\nand more\n")
	up := make(chan error, 1)
	go func() {
		late, err := net.DialTimeout("tcp", l.Addr(), patience)
		if err == nil {
			late.SetDeadline(time.Now().Add(patience))
			io.WriteString(late, "late\n")
			_, err = io.ReadFull(late, make([]byte, 5))
			late.Close()
		}
		up <- err
	}()
	nc.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := nc.Read(make([]byte, 10)); n > 0 || err == nil {
		t.Fatalf("%d bytes came through a cut, %v", n, err)
	}
	select {
	case err := <-up:
		t.Fatalf("a connection came up and was answered over a cut, or was refused: %v", err)
	default:
	}
	l.SetConditions(Conditions{})
	nc.SetReadDeadline(time.Now().Add(patience))
	hears(t, nc, "in the cut")
	hears(t, nc, "and more")
	if err := <-up; err != nil {
		t.Errorf("the connection begun in the cut: %v", err)
	}
}

// A connection that slipped into the queue as the path was cut is reset once it is whole, whatever was written to it.
func TestCutResetsWhatSlippedIn(t *testing.T) {
	l := link(t, echo(t))
	l.mu.Lock()
	l.ln.SetDeadline(time.Unix(1, 0)) // nothing is accepted, and no filler is there yet
	l.held = true
	l.conditions = Conditions{CutOutbound: true}
	l.mu.Unlock()
	nc := dial(t, l.Addr())
	io.WriteString(nc, "written in the cut\n")
	l.SetConditions(Conditions{})
	if n, err := nc.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%d bytes, %v; want a reset", n, err)
	}
	says(t, dial(t, l.Addr()), "after the cut")
}

// Cut on its way back, a call arrives and its answer does not.
func TestOneWay(t *testing.T) {
	for name, w := range map[string]Conditions{"cut": {CutReturn: true}, "swallowed": {CutReturnShare: 1}} {
		t.Run(name, func(t *testing.T) {
			came := make(chan string, 10)
			up := make(chan *Connection, 1)
			l, err := Listen("127.0.0.1:0", 1, func(_ context.Context, p *Connection) (net.Conn, error) {
				here, there := p.Pipe()
				up <- p
				go func() {
					line, _ := bufio.NewReader(there).ReadString('\n')
					came <- line
					io.WriteString(there, "answer\n")
					p.OnDelivered(func(_ time.Time, reached bool) { came <- fmt.Sprint(reached) })
				}()
				return here, nil
			}, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			nc := dial(t, l.Addr())
			pair := <-up // accepted, so that the cut finds it open
			l.SetConditions(w)
			io.WriteString(nc, "call\n")
			if got := <-came; got != "call\n" {
				t.Fatalf("got %q", got)
			}
			nc.Close() // the one who waits gives up
			for pair.ClientClosedAt().IsZero() {
				time.Sleep(time.Millisecond)
			}
			if w.CutReturn {
				l.SetConditions(Conditions{})
			}
			if got := <-came; got != "false" {
				t.Errorf("the answer reached who had gone: %v", got)
			}
		})
	}
}

func TestResetAndRefuse(t *testing.T) {
	l := link(t, echo(t))
	nc := dial(t, l.Addr())
	says(t, nc, "one")
	l.ResetConnections()
	if _, err := nc.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after a reset: %v", err)
	}
	if err := l.SetRefusing(true); err != nil {
		t.Fatal(err)
	}
	if _, err := net.DialTimeout("tcp", l.Addr(), patience); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("while refused: %v", err)
	}
	if err := l.SetRefusing(false); err != nil {
		t.Fatal(err)
	}
	says(t, dial(t, l.Addr()), "two")
}

// The next request may come before the link's write of the answer has returned; it has a beginning of its own.
func TestRequestThatOvertakesTheWrite(t *testing.T) {
	p := &Connection{quiet: true}
	p.heard(1)
	first := p.RequestStartedAt()
	p.sending() // the answer is being written, and near has it already
	for time.Now().Equal(first) {
	}
	p.heard(1)
	p.sent(1, true)
	if p.RequestStartedAt().Equal(first) {
		t.Error("the second request began with the first")
	}
}

// An answer that crosses the end of the connection is told from one that was read before it.
func TestCrossed(t *testing.T) {
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
		p := &Connection{near: near.(*net.TCPConn)}
		if reads {
			io.WriteString(near, "answer\n")
			hears(t, nc, "answer")
			nc.Close()
			near.Read(make([]byte, 1)) // until its end is here
		} else {
			nc.Close()
			near.Read(make([]byte, 1))
			io.WriteString(near, "answer\n")
			for by := time.Now().Add(patience); !p.crossed() && time.Now().Before(by); {
				time.Sleep(time.Millisecond) // the kernel's answer may take a moment
			}
		}
		if got := p.crossed(); got == reads {
			t.Errorf("crossed: %v, though it was read: %v", got, reads)
		}
	}
}

// An end that leaves an answer unread is told from one after it was read.
func TestEndWithTheAnswerUnread(t *testing.T) {
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
			hears(t, nc, "answer")
		} else {
			raw, err := nc.(*net.TCPConn).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			raw.Read(func(fd uintptr) bool { // until it lies there
				n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
				return n > 0 || err != syscall.EAGAIN
			})
		}
		p := <-pairs
		nc.Close()
		for by := time.Now().Add(patience); p.ClientClosedAt().IsZero(); time.Sleep(time.Millisecond) {
			if time.Now().After(by) {
				t.Fatal("its end was not seen")
			}
		}
		l.Close() // and its goroutines with it
		if got := p.nearReset.IsZero(); got != reads {
			t.Errorf("read: %v, ended without reading: %v", reads, !got)
		}
	}
}

// Such an end within the slack after the answer was written has crossed it; a later one has not.
func TestSettle(t *testing.T) {
	at := time.Now()
	for name, c := range map[string]struct {
		reset   time.Time
		reached bool
	}{
		"no reset":   {time.Time{}, true},
		"just after": {at.Add(crossSlack / 2), false},
		"later":      {at.Add(2 * crossSlack), true},
	} {
		p := &Connection{nearReset: c.reset}
		p.settle(waiter{tell: func(_ time.Time, reached bool) {
			if reached != c.reached {
				t.Errorf("%s: reached %v", name, reached)
			}
		}}, at)
	}
}

// A call is told apart from the one before it on its connection, and its answer's arrival is seen.
func TestPairWatchesCalls(t *testing.T) {
	reached := make(chan time.Time, 1)
	began := make(chan time.Time, 2)
	l, err := Listen("127.0.0.1:0", 1, func(_ context.Context, p *Connection) (net.Conn, error) {
		here, there := p.Pipe()
		go func() {
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
		}()
		return here, nil
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	nc := dial(t, l.Addr())
	var last time.Time
	for range 2 {
		io.WriteString(nc, "call\n")
		hears(t, nc, "answer")
		b, r := <-began, <-reached
		if b.Before(last) || r.Before(b) {
			t.Errorf("began %v, reached %v, the one before reached %v", b, r, last)
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
		target.SetReadDeadline(time.Now().Add(patience))
		n, from, err := target.ReadFrom(buf)
		if err != nil || string(buf[:n]) != text {
			t.Fatalf("got %q, %v", buf[:n], err)
		}
		target.WriteTo([]byte("back "+text), from)
		nc.SetReadDeadline(time.Now().Add(patience))
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
