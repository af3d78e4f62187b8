package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// nodeProcess is one process of a node, as main would run it.
type nodeProcess struct {
	node   *Node
	addr   string
	cancel context.CancelFunc
	done   chan error
}

// startProcess starts a process of the node with the state folder state, at addr if that is not empty.
func startProcess(t *testing.T, r *fakeRegistry, state, addr string, known ...string) *nodeProcess {
	t.Helper()
	return startConfiguredProcess(t, r, state, addr, nil, known...)
}

// startConfiguredProcess is startProcess with a changed configuration.
func startConfiguredProcess(t *testing.T, r *fakeRegistry, state, addr string, alter func(*Config), known ...string) *nodeProcess {
	t.Helper()
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	cfg, err := LoadConfig(writeConfig(t, addr, r.addr(), known...), state)
	if err != nil {
		t.Fatal(err)
	}
	if alter != nil {
		alter(&cfg)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n, ln, err := Start(ctx, cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	l := &nodeProcess{node: n, addr: ln.Addr().String(), cancel: cancel, done: make(chan error, 1)}
	go func() { l.done <- n.Run(ctx, ln) }()
	t.Cleanup(cancel)
	eventually(t, "ready", func() bool { return n.NotReadyReason() == "" })
	return l
}

func (l *nodeProcess) wait(t *testing.T) error {
	t.Helper()
	select {
	case err := <-l.done:
		return err
	case <-time.After(testTimeout):
		t.Fatal("the process does not end")
		return nil
	}
}

// newSteeredEndpoint answers a call when the test sends the answer.
func newSteeredEndpoint(t *testing.T) (*fakeEndpoint, chan string) {
	answers := make(chan string)
	return newFakeEndpoint(t, func(nc net.Conn, _ *http.Request) bool {
		hungUp := make(chan struct{})
		go func() {
			nc.Read(make([]byte, 1))
			close(hungUp)
		}()
		select {
		case text := <-answers:
			io.WriteString(nc, text)
		case <-hungUp:
		}
		return false
	}), answers
}

// The successor takes over the listening socket, held messages, calls in flight with their outcomes, a
// request that is half read, and the position in discovery's lists.
func TestHandover(t *testing.T) {
	t.Parallel()
	p, answers := newSteeredEndpoint(t)
	late := newFakeEndpoint(t, respondWith(okResponse))
	r, state := newFakeRegistry(t), t.TempDir()
	predecessor := startProcess(t, r, state, "", memberJSON("e", p.addr(), 7, "SERVING"), memberJSON("off", "127.0.0.1:9", 8, "DRAINING"))
	mustAnswer(t, predecessor.addr, enqueueCommand("out", payoutFields, "x"), "+OK")
	p.nextRequest(t)
	mustAnswer(t, predecessor.addr, enqueueCommand("held", "c=status,d=50000,dest=8", "x"), "+OK")
	half, br := dialClient(t, predecessor.addr)
	text := enqueueCommand("half", "c=order,d=50000,dest=8,k=k", "x")
	io.WriteString(half, text[:9])
	eventually(t, "the node serves", func() bool { return predecessor.node.stage.Load() == stageServing })

	successor := startProcess(t, r, state, predecessor.addr)
	eventually(t, "handed over", func() bool { return predecessor.node.NotReadyReason() == stageReasons[stageHandedOver] })
	io.WriteString(half, text[9:])
	if line, err := br.ReadString('\n'); line != "+OK\r\n" {
		t.Errorf("the request that was half read: %q, %v", line, err)
	}
	mustAnswer(t, successor.addr, enqueueCommand("held", "c=status,d=50000,dest=8", "x"), "+OK") // known, so not accepted again
	answers <- okResponse
	eventually(t, "the outcome", func() bool { return successor.node.metrics.ok[2].Load() == 1 })
	predecessor.cancel()
	if err := predecessor.wait(t); err != nil {
		t.Error(err)
	}
	r.publish(listJSON(2, false, memberJSON("late", late.addr(), 8, "SERVING")))
	for range 2 {
		if id := late.nextRequest(t).Header.Get("X-Trace-Id"); id != "held" && id != "half" {
			t.Errorf("got %q", id)
		}
	}
	if calls, _ := p.counts(); calls != 1 {
		t.Errorf("the payout went out %d times", calls)
	}
	if n := predecessor.node.metrics.ok[2].Load() + predecessor.node.metrics.tries[0].Load() + successor.node.metrics.tries[2].Load(); n != 0 {
		t.Errorf("counted by the wrong process: %d", n)
	}
	successor.cancel()
	if err := successor.wait(t); err != nil {
		t.Error(err)
	}
	if j := openTestJournal(t, state, 3); len(j.live) != 0 {
		t.Errorf("%d live messages at the end", len(j.live))
	}
}

// requestHandover asks a node for its handover, up to the predecessor's offer.
func requestHandover(t *testing.T, state string) (*handoverConn, *handoverState) {
	t.Helper()
	conn, err := dialHandover(handoverSocketPath(state))
	if err != nil {
		t.Fatal(err)
	}
	l := newHandoverConn(conn)
	conn.SetDeadline(time.Now().Add(testTimeout))
	if err := l.send(handoverMessage{Version: handoverVersion}); err != nil {
		t.Fatal(err)
	}
	ln, err := l.receiveListener()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	m, err := l.receive()
	if err != nil || m.State == nil {
		t.Fatalf("no state: %v", err)
	}
	return l, m.State
}

// A process that asks for the node and dies before it has it changes nothing.
func TestHandoverAborted(t *testing.T) {
	t.Parallel()
	p, r, state := newFakeEndpoint(t, respondWith(okResponse)), newFakeRegistry(t), t.TempDir()
	predecessor := startProcess(t, r, state, "", memberJSON("e", p.addr(), 7, "SERVING"))
	r.publish(listJSON(2, false, memberJSON("new", p.addr(), 8, "SERVING")))
	eventually(t, "the list", func() bool { return predecessor.node.metrics.listedEndpoints.Load() == 2 })
	l, offered := requestHandover(t, state)
	l.conn.Close()
	if offered.Revision != 2 || offered.ListSource != r.addr() || len(offered.Members) != 2 {
		t.Errorf("list position: revision %d of %s, %d members", offered.Revision, offered.ListSource, len(offered.Members))
	}
	mustAnswer(t, predecessor.addr, enqueueCommand("a", statusFields, "x"), "+OK")
	p.nextRequest(t)
	stranger, err := dialHandover(handoverSocketPath(state)) // of another version
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	newHandoverConn(stranger).send(handoverMessage{Version: handoverVersion + 1})
	if _, err := newHandoverConn(stranger).receive(); !errors.Is(err, io.EOF) && !strings.Contains(err.Error(), "reset") {
		t.Errorf("got %v", err)
	}
	successor := startProcess(t, r, state, predecessor.addr)
	mustAnswer(t, successor.addr, enqueueCommand("b", statusFields, "x"), "+OK")
	p.nextRequest(t)
}

// When the successor dies, the predecessor cancels its calls and can start again from the journal. A payout
// in flight may have run, so it fails; a status message is sent once more, after its first call has ended.
func TestSuccessorGone(t *testing.T) {
	t.Parallel()
	p, _ := newSteeredEndpoint(t)
	r, state := newFakeRegistry(t), t.TempDir()
	predecessor := startProcess(t, r, state, "", memberJSON("e", p.addr(), 7, "SERVING"))
	mustAnswer(t, predecessor.addr, enqueueCommand("payout", payoutFields, "x"), "+OK")
	p.nextRequest(t)
	mustAnswer(t, predecessor.addr, enqueueCommand("notice", statusFields, "x"), "+OK")
	p.nextRequest(t)
	successor, _ := requestHandover(t, state)
	if err := successor.send(handoverMessage{Ready: true}); err != nil {
		t.Fatal(err)
	}
	if m, err := successor.receive(); err != nil || !m.LockReleased {
		t.Fatalf("got %v, %v", m, err)
	}
	successor.conn.Close()
	if err := predecessor.wait(t); !errors.Is(err, ErrSuccessorGone) {
		t.Fatalf("got %v", err)
	}
	if len(predecessor.node.outstanding) != 0 {
		t.Error("calls are still in flight")
	}
	startProcess(t, r, state, "", memberJSON("e", p.addr(), 7, "SERVING"))
	if id := p.nextRequest(t).Header.Get("X-Trace-Id"); id != "notice" {
		t.Errorf("got %q", id)
	}
	eventually(t, "the payout's notice", func() bool { return r.noticeState("payout") == "failed" })
}

// When the predecessor dies, its calls in flight may have run.
func TestPredecessorGone(t *testing.T) {
	t.Parallel()
	p, _ := newSteeredEndpoint(t)
	r, state := newFakeRegistry(t), t.TempDir()
	predecessor := startProcess(t, r, state, "", memberJSON("e", p.addr(), 7, "SERVING"))
	mustAnswer(t, predecessor.addr, enqueueCommand("payout", payoutFields, "x"), "+OK")
	p.nextRequest(t)
	mustAnswer(t, predecessor.addr, enqueueCommand("notice", statusFields, "x"), "+OK")
	p.nextRequest(t)
	successor := startProcess(t, r, state, predecessor.addr)
	eventually(t, "handed over", func() bool { return predecessor.node.NotReadyReason() == stageReasons[stageHandedOver] })
	predecessor.node.successor.conn.Close() // as if the process died
	if id := p.nextRequest(t).Header.Get("X-Trace-Id"); id != "notice" {
		t.Errorf("got %q", id)
	}
	eventually(t, "the payout's notice", func() bool { return r.noticeState("payout") == "failed" })
	if err := predecessor.wait(t); !errors.Is(err, ErrSuccessorGone) {
		t.Errorf("got %v", err)
	}
	successor.cancel()
	if err := successor.wait(t); err != nil {
		t.Error(err)
	}
}

// A wait that the successor was told holds back calls that the predecessor has not begun to write.
func TestWaitReachesPredecessor(t *testing.T) {
	t.Parallel()
	p := newFakeEndpoint(t, func(nc net.Conn, req *http.Request) bool {
		if req.Header.Get("X-Trace-Id") == "told" {
			return respondWith("HTTP/1.1 429 No\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n")(nc, req)
		}
		return neverAnswer(nc, req)
	})
	r, state := newFakeRegistry(t), t.TempDir()
	predecessor := startProcess(t, r, state, "", memberJSON("e", p.addr(), 7, "SERVING"))
	mustAnswer(t, predecessor.addr, enqueueCommand("out", payoutFields, "x"), "+OK")
	p.nextRequest(t)
	successor := startProcess(t, r, state, predecessor.addr)
	eventually(t, "handed over", func() bool { return predecessor.node.NotReadyReason() == stageReasons[stageHandedOver] })
	e := predecessor.node.endpoints["e"]
	if e.closedAt(time.Now()) {
		t.Fatal("closed before any wait was told")
	}
	mustAnswer(t, successor.addr, enqueueCommand("told", statusFields, "x"), "+OK")
	eventually(t, "the wait", func() bool { return e.closedAt(time.Now()) })
}

// A build without the lock has the clients' address: the journal is not touched until the address is free.
func TestStartWaitsForOlderBuild(t *testing.T) {
	t.Parallel()
	r, state := newFakeRegistry(t), t.TempDir()
	older, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := LoadConfig(writeConfig(t, older.Addr().String(), r.addr(), drainingMember()), state)
	if err != nil {
		t.Fatal(err)
	}
	waiting := make(chan struct{})
	log := slog.New(slog.NewTextHandler(writerFunc(func(b []byte) (int, error) {
		if strings.Contains(string(b), "address is free") {
			close(waiting)
		}
		return len(b), nil
	}), nil))
	made := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		n, ln, err := Start(ctx, cfg, log)
		if err == nil {
			ln.Close()
			n.lock.Close()
			n.journal.close()
		}
		made <- err
	}()
	<-waiting
	if _, err := os.Stat(filepath.Join(state, journalName)); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the journal was touched: %v", err)
	}
	older.Close()
	if err := <-made; err != nil {
		t.Error(err)
	}
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }

// The path of the temporary folder may be longer than a socket address can be.
func TestHandoverSocketWithLongPath(t *testing.T) {
	t.Parallel()
	dir := filepath.Join(t.TempDir(), strings.Repeat("long", 30))
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "socket")
	for range 2 { // the second listener replaces the first
		ln, err := listenHandover(path)
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		conn, err := dialHandover(path)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		in, err := ln.AcceptUnix()
		if err != nil {
			t.Fatal(err)
		}
		defer in.Close()
		newHandoverConn(in).send(handoverMessage{LockReleased: true})
		if line, err := bufio.NewReader(conn).ReadString('\n'); err != nil || !strings.Contains(line, "true") {
			t.Errorf("got %q, %v", line, err)
		}
	}
}

// If the handover socket can't be opened, the node logs that once and serves without handover.
func TestNodeServesWithoutHandoverSocket(t *testing.T) {
	t.Setenv("TMPDIR", filepath.Join(t.TempDir(), "missing"))
	r := newFakeRegistry(t)
	said := make(chan string, 100)
	log := slog.New(slog.NewTextHandler(writerFunc(func(b []byte) (int, error) {
		if strings.Contains(string(b), "no other process can take over") {
			said <- string(b)
		}
		return len(b), nil
	}), nil))
	cfg, err := LoadConfig(writeConfig(t, "127.0.0.1:0", r.addr(), memberJSON("e", "127.0.0.1:1", 7, "SERVING")), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n, ln, err := Start(ctx, cfg, log)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx, ln) }()
	eventually(t, "ready", func() bool { return n.NotReadyReason() == "" })
	if got := roundTrip(t, ln.Addr().String(), encodeCommand("PING")); got != "+PONG" {
		t.Errorf("got %q", got)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if len(said) != 1 {
		t.Errorf("logged %d times", len(said))
	}
}
