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

// life is one process's part of a node, as main would run it.
type nodeProcess struct {
	node   *Node
	addr   string
	cancel context.CancelFunc
	done   chan error
}

// begin starts a process of the node whose lasting folder is state, at addr if that is not empty.
func startProcess(t *testing.T, r *fakeRegistry, state, addr string, known ...string) *nodeProcess {
	t.Helper()
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	cfg, err := LoadConfig(writeConfig(t, addr, r.addr(), known...), state)
	if err != nil {
		t.Fatal(err)
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

// slowPartner answers a call when its test says so.
func slowPartner(t *testing.T) (*fakeEndpoint, chan string) {
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

// The new process goes on with what the old one has: the listening socket, what is held, what is out and its outcome, a
// request that is half read, and where discovery's news stands.
func TestHandover(t *testing.T) {
	t.Parallel()
	p, answers := slowPartner(t)
	late := newFakeEndpoint(t, respondWith(okResponse))
	r, state := newFakeRegistry(t), t.TempDir()
	old := startProcess(t, r, state, "", memberJSON("e", p.addr(), 7, "SERVING"), memberJSON("off", "127.0.0.1:9", 8, "DRAINING"))
	mustAnswer(t, old.addr, enqueueCommand("out", payoutFields, "x"), "+OK")
	p.nextRequest(t)
	mustAnswer(t, old.addr, enqueueCommand("held", "c=status,d=50000,dest=8", "x"), "+OK")
	half, br := dialClient(t, old.addr)
	text := enqueueCommand("half", "c=order,d=50000,dest=8,k=k", "x")
	io.WriteString(half, text[:9])
	eventually(t, "it reads", func() bool { return old.node.stage.Load() == stageServing })

	young := startProcess(t, r, state, old.addr)
	eventually(t, "handed over", func() bool { return old.node.NotReadyReason() == stages[stageHandedOver] })
	io.WriteString(half, text[9:])
	if line, err := br.ReadString('\n'); line != "+OK\r\n" {
		t.Errorf("the request that was half read: %q, %v", line, err)
	}
	mustAnswer(t, young.addr, enqueueCommand("held", "c=status,d=50000,dest=8", "x"), "+OK") // known, so not taken on again
	answers <- okResponse
	eventually(t, "the outcome", func() bool { return young.node.figures.ok[2].Load() == 1 })
	old.cancel()
	if err := old.wait(t); err != nil {
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
	if n := old.node.figures.ok[2].Load() + old.node.figures.tries[0].Load() + young.node.figures.tries[2].Load(); n != 0 {
		t.Errorf("counted in the process that did not know it: %d", n)
	}
	young.cancel()
	if err := young.wait(t); err != nil {
		t.Error(err)
	}
	if j := openTestJournal(t, state, 3); len(j.live) != 0 {
		t.Errorf("%d live in the end", len(j.live))
	}
}

// knock asks a node for itself, by hand, as far as the old process's offer.
func knock(t *testing.T, state string) (*link, *legacy) {
	t.Helper()
	conn, err := dialDoor(door(state))
	if err != nil {
		t.Fatal(err)
	}
	l := newLink(conn)
	conn.SetDeadline(time.Now().Add(testTimeout))
	if err := l.send(message{Hello: handoverVersion}); err != nil {
		t.Fatal(err)
	}
	ln, err := l.receiveListener()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	m, err := l.receive()
	if err != nil || m.Legacy == nil {
		t.Fatalf("no legacy: %v", err)
	}
	return l, m.Legacy
}

// One that asks and dies before it has the node changes nothing.
func TestHandoverHalfDone(t *testing.T) {
	t.Parallel()
	p, r, state := newFakeEndpoint(t, respondWith(okResponse)), newFakeRegistry(t), t.TempDir()
	old := startProcess(t, r, state, "", memberJSON("e", p.addr(), 7, "SERVING"))
	r.publish(listJSON(2, false, memberJSON("new", p.addr(), 8, "SERVING")))
	eventually(t, "the list", func() bool { return old.node.figures.listedEndpoints.Load() == 2 })
	l, had := knock(t, state)
	l.conn.Close()
	if had.Revision != 2 || had.ToldBy != r.addr() || len(had.Members) != 2 {
		t.Errorf("discovery's news stands at %d of %s, %d listed", had.Revision, had.ToldBy, len(had.Members))
	}
	mustAnswer(t, old.addr, enqueueCommand("a", statusFields, "x"), "+OK")
	p.nextRequest(t)
	stranger, err := dialDoor(door(state)) // of another version
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	newLink(stranger).send(message{Hello: handoverVersion + 1})
	if _, err := newLink(stranger).receive(); !errors.Is(err, io.EOF) && !strings.Contains(err.Error(), "reset") {
		t.Errorf("got %v", err)
	}
	young := startProcess(t, r, state, old.addr)
	mustAnswer(t, young.addr, enqueueCommand("b", statusFields, "x"), "+OK")
	p.nextRequest(t)
}

// When the process that took over is gone, the old one calls off what it has out and can start again from the journal.
// A payout that was out may have run, so it fails; a notice goes out once more, after the first call has ended.
func TestHeirGone(t *testing.T) {
	t.Parallel()
	p, _ := slowPartner(t)
	r, state := newFakeRegistry(t), t.TempDir()
	old := startProcess(t, r, state, "", memberJSON("e", p.addr(), 7, "SERVING"))
	mustAnswer(t, old.addr, enqueueCommand("payout", payoutFields, "x"), "+OK")
	p.nextRequest(t)
	mustAnswer(t, old.addr, enqueueCommand("notice", statusFields, "x"), "+OK")
	p.nextRequest(t)
	heir, _ := knock(t, state)
	if err := heir.send(message{Ready: true}); err != nil {
		t.Fatal(err)
	}
	if m, err := heir.receive(); err != nil || !m.Yours {
		t.Fatalf("got %v, %v", m, err)
	}
	heir.conn.Close()
	if err := old.wait(t); !errors.Is(err, ErrSuccessorGone) {
		t.Fatalf("got %v", err)
	}
	if len(old.node.out) != 0 {
		t.Error("calls are left out")
	}
	startProcess(t, r, state, "", memberJSON("e", p.addr(), 7, "SERVING"))
	if id := p.nextRequest(t).Header.Get("X-Trace-Id"); id != "notice" {
		t.Errorf("got %q", id)
	}
	eventually(t, "the payout's notice", func() bool { return r.noticeState("payout") == "failed" })
}

// When the old process dies with calls out, they may have run.
func TestForebearGone(t *testing.T) {
	t.Parallel()
	p, _ := slowPartner(t)
	r, state := newFakeRegistry(t), t.TempDir()
	old := startProcess(t, r, state, "", memberJSON("e", p.addr(), 7, "SERVING"))
	mustAnswer(t, old.addr, enqueueCommand("payout", payoutFields, "x"), "+OK")
	p.nextRequest(t)
	mustAnswer(t, old.addr, enqueueCommand("notice", statusFields, "x"), "+OK")
	p.nextRequest(t)
	young := startProcess(t, r, state, old.addr)
	eventually(t, "handed over", func() bool { return old.node.NotReadyReason() == stages[stageHandedOver] })
	old.node.heir.conn.Close() // as its death does
	if id := p.nextRequest(t).Header.Get("X-Trace-Id"); id != "notice" {
		t.Errorf("got %q", id)
	}
	eventually(t, "the payout's notice", func() bool { return r.noticeState("payout") == "failed" })
	if err := old.wait(t); !errors.Is(err, ErrSuccessorGone) {
		t.Errorf("got %v", err)
	}
	young.cancel()
	if err := young.wait(t); err != nil {
		t.Error(err)
	}
}

// A wait that the new process is told holds back what the old one has not begun to write.
func TestWaitReachesTheOldProcess(t *testing.T) {
	t.Parallel()
	p := newFakeEndpoint(t, func(nc net.Conn, req *http.Request) bool {
		if req.Header.Get("X-Trace-Id") == "told" {
			return respondWith("HTTP/1.1 429 No\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n")(nc, req)
		}
		return neverAnswer(nc, req)
	})
	r, state := newFakeRegistry(t), t.TempDir()
	old := startProcess(t, r, state, "", memberJSON("e", p.addr(), 7, "SERVING"))
	mustAnswer(t, old.addr, enqueueCommand("out", payoutFields, "x"), "+OK")
	p.nextRequest(t)
	young := startProcess(t, r, state, old.addr)
	eventually(t, "handed over", func() bool { return old.node.NotReadyReason() == stages[stageHandedOver] })
	e := old.node.eps["e"]
	if e.closedTo(time.Now()) {
		t.Fatal("closed before anything was told")
	}
	mustAnswer(t, young.addr, enqueueCommand("told", statusFields, "x"), "+OK")
	eventually(t, "the wait", func() bool { return e.closedTo(time.Now()) })
}

// A build that knows no lock has the clients' address: the journal is left alone until that is free.
func TestStartWaitsForAnOlderBuild(t *testing.T) {
	t.Parallel()
	r, state := newFakeRegistry(t), t.TempDir()
	older, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := LoadConfig(writeConfig(t, older.Addr().String(), r.addr(), held()), state)
	if err != nil {
		t.Fatal(err)
	}
	waits := make(chan struct{})
	log := slog.New(slog.NewTextHandler(writerFunc(func(b []byte) (int, error) {
		if strings.Contains(string(b), "address is free") {
			close(waits)
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
	<-waits
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

// A folder for temporary files may have a path that is longer than a socket's can be.
func TestDoorBehindALongPath(t *testing.T) {
	t.Parallel()
	dir := filepath.Join(t.TempDir(), strings.Repeat("long", 30))
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "door")
	for range 2 { // the second takes the first one's place
		ln, err := openDoor(path)
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		conn, err := dialDoor(path)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		in, err := ln.AcceptUnix()
		if err != nil {
			t.Fatal(err)
		}
		defer in.Close()
		newLink(in).send(message{Yours: true})
		if line, err := bufio.NewReader(conn).ReadString('\n'); err != nil || !strings.Contains(line, "true") {
			t.Errorf("got %q, %v", line, err)
		}
	}
}

// Where the socket for the next process can't be opened the node says so once, and serves without handover.
func TestNodeServesWithoutADoor(t *testing.T) {
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
		t.Errorf("said %d times", len(said))
	}
}
