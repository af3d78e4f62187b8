package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"starlingusher/choice"
	"starlingusher/fleet/catalog"
	"starlingusher/internal/registry"
	"starlingusher/internal/sysretry"
)

// Of a node's processes the one that holds the lock in the state folder decides and writes the journal.
// docs/design.md describes how the lock passes from one to the next.

const (
	lockName          = "lock"
	handoverVersion   = 1
	handoverTimeout   = time.Second             // limit of one handover, during which neither process makes decisions
	lockHolderTimeout = 2500 * time.Millisecond // a lock holder that does not answer for so long is taken to hang
	lockPoll          = 20 * time.Millisecond
	maxSocketPath     = 100 // bytes; the system allows 108
)

// ErrSuccessorGone is returned by Run when the process that had taken over is gone. All that it accepted is
// in the journal.
var ErrSuccessorGone = errors.New("the successor process is gone")

// errLockHolderSilent reports that the process with the lock runs but does not answer.
var errLockHolderSilent = errors.New("the lock holder does not answer")

// handoverMessage is what the two processes send each other, one JSON value each. Only one field is set,
// except that Owner comes with Version.
type handoverMessage struct {
	Version      int            `json:"Hello,omitempty"` // first message of the successor: the version that it speaks; the answer is the listening socket and then State
	Owner        string         `json:",omitempty"`      // with Version: the successor's name in the map of owners
	State        *handoverState `json:"Legacy"`
	Ready        bool           // the successor has received everything
	LockReleased bool           `json:"Yours"` // the predecessor releases the lock

	Outcome        *callOutcome        // outcome of a call that the predecessor made
	Request        *forwardedRequest   `json:"Ask"`   // a request that the predecessor read
	Command        *forwardedCommand   `json:"Order"` // an operator's command to the predecessor
	Answer         *forwardedAnswer    // to a Request or a Command
	Cancel         *outstandingAttempt // the successor cancels an attempt of the predecessor's calls
	ClosedEndpoint string              `json:"Shut"` // the successor got a list or command by which this endpoint gets no new calls
	Wait           *endpointWait       // the successor got this retry-after from an endpoint
}

// handoverState is what the node knows and the journal does not hold.
type handoverState struct {
	Clock       time.Duration // the module's time at the time At
	At          time.Time     // of the wall clock, which older builds go by
	Sender      choice.Saved
	Revision    int64
	ListSource  string `json:"ToldBy"`     // address of the server that counts Revision
	History     int64  `json:",omitempty"` // the history of the Revision, if the server names one
	Members     []catalog.Endpoint
	Waits       map[string]int64     // by endpoint ID: until when it gets no calls, in nanoseconds of Unix time by the wall clock at At; the same for all of a route
	Outstanding []outstandingAttempt `json:"Out"`
	Timestamp   time.Time            `json:",omitzero"`  // At by the timestampClock; older builds don't send it
	NextSeq     uint64               `json:",omitempty"` // the number of the next message; older builds don't send it
}

// nextSeq returns a number above those of all messages that the state names. The journal may know less: it forgets
// messages that have ended, and attempts of these may be in flight.
func (s *handoverState) nextSeq() uint64 {
	next := max(s.NextSeq, 1)
	for _, o := range s.Outstanding {
		next = max(next, o.Seq+1)
	}
	for _, m := range s.Sender.Messages {
		next = max(next, parseChoiceID(m.ID)+1)
	}
	return next
}

// outstandingAttempt identifies an attempt in flight, with what the node needs to know of its message if the
// journal has forgotten that.
type outstandingAttempt struct {
	Seq         uint64
	Attempt     int
	Dest, Class int
}

type callOutcome struct {
	Attempts   []outstandingAttempt
	Endpoint   string
	Duration   time.Duration `json:"Took"`
	Outcome    choice.Outcome
	PerItem    []itemOutcome `json:"Each"`
	RetryAfter time.Duration `json:"Wait"`
	NoSlot     bool
	Final      bool `json:"Closed"`
	Ambiguous  bool `json:"Unsure"` // not set by older builds
	Report     choice.Report
	ReusedConn bool `json:"Kept"`
	ConnClosed bool `json:"HungUp"`
}

type endpointWait struct {
	Endpoint   string
	RetryAfter time.Duration `json:"Wait"`
}

type itemOutcome struct {
	Outcome   choice.Outcome
	Final     bool `json:"Closed"`
	Ambiguous bool `json:"Unsure"`
}

type forwardedRequest struct {
	Number              uint64
	ID, Key             string
	Class, Dest, Tenant int
	TimeToLive          time.Duration `json:"Life"`
	Body                []byte
	ReceivedAt          time.Time `json:"Came"`
}

type forwardedCommand struct {
	Number uint64
	ID     string
	Enable bool `json:"Lift"`
}

type forwardedAnswer struct {
	Number          uint64
	Refused         bool
	RetryAfter      time.Duration `json:"After"`
	Failure         string        `json:"Failed"`
	OutcomeUnknown  bool          `json:"Gone"`
	UnknownEndpoint bool          `json:"Unknown"` // there is no endpoint of the Command's ID
}

// predecessorGone is the event of the loop when the predecessor has ended.
type predecessorGone struct{}

// handoverConn is the connection between predecessor and successor.
type handoverConn struct {
	conn    *net.UnixConn
	decoder *json.Decoder

	mu      sync.Mutex
	encoder *json.Encoder
}

func newHandoverConn(conn *net.UnixConn) *handoverConn {
	return &handoverConn{conn: conn, decoder: json.NewDecoder(conn), encoder: json.NewEncoder(conn)}
}

// send sends a message and is safe for concurrent use. If it fails it closes the connection, so that the
// other side's receive fails too.
func (l *handoverConn) send(m handoverMessage) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	err := l.conn.SetWriteDeadline(time.Now().Add(handoverTimeout))
	if err == nil {
		err = l.encoder.Encode(m)
	}
	if err != nil {
		l.conn.Close()
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

func (l *handoverConn) receive() (handoverMessage, error) {
	var m handoverMessage
	if err := l.decoder.Decode(&m); err != nil {
		return m, fmt.Errorf("handover: %w", err)
	}
	return m, nil
}

// sendListener sends the listening socket, which stays open while either process has it.
func (l *handoverConn) sendListener(ln net.Listener) error {
	t, ok := ln.(*net.TCPListener)
	if !ok {
		return errors.New("handover: the listener is not a TCP listener")
	}
	raw, err := t.SyscallConn() // File would put the socket into blocking mode
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	var sendErr error
	if err := raw.Control(func(fd uintptr) {
		_, _, sendErr = l.conn.WriteMsgUnix([]byte("\n"), syscall.UnixRights(int(fd)), nil)
	}); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if sendErr != nil {
		return fmt.Errorf("handover: %w", sendErr)
	}
	return nil
}

// receiveListener receives the listening socket. It must be called before receive, which might read past the
// descriptor.
func (l *handoverConn) receiveListener() (net.Listener, error) {
	b, oob := make([]byte, 1), make([]byte, syscall.CmsgSpace(4))
	_, n, _, _, err := l.conn.ReadMsgUnix(b, oob)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	parts, err := syscall.ParseSocketControlMessage(oob[:n])
	if err != nil || len(parts) != 1 {
		return nil, errors.Join(errors.New("handover: received no file descriptor"), err)
	}
	fds, err := syscall.ParseUnixRights(&parts[0])
	if err != nil || len(fds) != 1 {
		return nil, errors.Join(errors.New("handover: received no file descriptor"), err)
	}
	f := os.NewFile(uintptr(fds[0]), "clients")
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return ln, nil
}

// handoverSocketPath returns the path of the handover socket of the node with this state folder. Nodes that
// share a temporary folder have different paths.
func handoverSocketPath(state string) string {
	h := fnv.New64a()
	if abs, err := filepath.Abs(state); err == nil {
		state = abs
	}
	h.Write([]byte(state))
	return filepath.Join(os.TempDir(), fmt.Sprintf("coralyard-%016x", h.Sum64()))
}

// withSocketAddr calls f with a socket address for path. A path too long for an address is opened by its
// folder's descriptor.
func withSocketAddr[T any](path string, f func(*net.UnixAddr) (T, error)) (T, error) {
	if len(path) > maxSocketPath {
		dir, err := os.Open(filepath.Dir(path))
		if err != nil {
			var none T
			return none, err
		}
		defer dir.Close()
		path = fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path))
	}
	return f(&net.UnixAddr{Name: path, Net: "unix"})
}

func dialHandover(path string) (*net.UnixConn, error) {
	return withSocketAddr(path, func(a *net.UnixAddr) (*net.UnixConn, error) { return net.DialUnix("unix", nil, a) })
}

// listenHandover opens the handover socket and replaces one that an earlier process has left. Only the lock
// holder may call it.
func listenHandover(path string) (*net.UnixListener, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("handover: %w", err)
	}
	ln, err := withSocketAddr(path, func(a *net.UnixAddr) (*net.UnixListener, error) { return net.ListenUnix("unix", a) })
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	ln.SetUnlinkOnClose(false) // when it is closed, the path may already belong to the successor
	return ln, nil
}

// tryLock takes the lock if it is free. The kernel releases it when the file is closed, at the latest when
// the process ends.
func tryLock(f *os.File) (bool, error) {
	err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) || errors.Is(err, syscall.EINTR) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("lock: %w", err)
	}
	return true, nil
}

// Start returns a node, and its listener for clients, once this process holds the lock of the state folder.
// The state comes from a process that hands the node over, or else from the journal. Start tries until one of
// both succeeds or ctx ends.
func Start(ctx context.Context, cfg Config, log *slog.Logger) (n *Node, ln net.Listener, err error) {
	lock, err := sysretry.Until(ctx, log, "waiting until the lock can be opened", func() (*os.File, error) {
		return os.OpenFile(filepath.Join(cfg.StateDir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	})
	if err != nil {
		return nil, nil, fmt.Errorf("lock: %w", err)
	}
	defer func() {
		if err != nil {
			lock.Close()
		}
	}()
	lastWarning := ""
	for {
		locked, err := tryLock(lock)
		if err != nil {
			return nil, nil, err
		}
		if locked {
			break
		}
		n, ln, err := takeOver(ctx, cfg, log, lock)
		if err == nil {
			return n, ln, nil
		}
		if text := err.Error(); text != lastWarning {
			lastWarning = text
			log.Warn("another process holds the node", "err", err)
		}
		if !sysretry.Sleep(ctx, lockPoll) {
			return nil, nil, ctx.Err()
		}
	}
	// A process of a build without the lock may still run. Then it has the address and uses the journal.
	if ln, err = listen(ctx, cfg.Listen, log); err != nil {
		return nil, nil, err
	}
	n, err = sysretry.Until(ctx, log, "waiting until the journal can be opened", func() (*Node, error) { return New(cfg, log) })
	if err != nil {
		return nil, nil, errors.Join(err, ln.Close())
	}
	n.lock = lock
	return n, ln, nil
}

// listen opens the address for clients, and waits while another process has it or the system is out of
// something.
func listen(ctx context.Context, addr string, log *slog.Logger) (net.Listener, error) {
	ln, err := sysretry.Until(ctx, log, "waiting until the clients' address is free", func() (net.Listener, error) { return net.Listen("tcp", addr) },
		syscall.EADDRINUSE)
	if err != nil {
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	return ln, nil
}

// takeOver asks the lock holder to hand over the node. It kills a lock holder that hangs, which frees the
// lock.
func takeOver(ctx context.Context, cfg Config, log *slog.Logger, lock *os.File) (*Node, net.Listener, error) {
	conn, err := dialHandover(handoverSocketPath(cfg.StateDir))
	if err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	l := newHandoverConn(conn)
	n, ln, err := l.receiveNode(ctx, cfg, log, lock)
	if err == nil {
		return n, ln, nil
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		err = errors.Join(errLockHolderSilent, l.killPeer(handoverSocketPath(cfg.StateDir), log))
	}
	conn.Close()
	return nil, nil, err
}

// receiveNode takes over the node from the predecessor at the other end of the connection.
func (l *handoverConn) receiveNode(ctx context.Context, cfg Config, log *slog.Logger, lock *os.File) (n *Node, ln net.Listener, err error) {
	if err := l.send(handoverMessage{Version: handoverVersion, Owner: cfg.owner()}); err != nil {
		return nil, nil, err
	}
	if err := l.conn.SetReadDeadline(time.Now().Add(lockHolderTimeout)); err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	if ln, err = l.receiveListener(); err != nil {
		return nil, nil, err
	}
	defer func() {
		if err != nil {
			ln.Close()
		}
	}()
	m, err := l.receive()
	if err != nil {
		return nil, nil, err
	}
	if m.State == nil {
		return nil, nil, errors.New("handover: received no state")
	}
	sender, err := choice.Restore(cfg.moduleSettings(), m.State.Sender)
	if err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	if err := l.send(handoverMessage{Ready: true}); err != nil {
		return nil, nil, err
	}
	// Until the predecessor releases the lock it may keep the node after all; the state that it sent is then
	// outdated.
	release, err := l.receive()
	if err != nil {
		return nil, nil, err
	}
	if !release.LockReleased {
		return nil, nil, errors.New("handover: the predecessor did not release the lock")
	}
	for locked := false; !locked; {
		if locked, err = tryLock(lock); err != nil {
			return nil, nil, err
		}
		if !locked && !sysretry.Sleep(ctx, time.Millisecond) {
			return nil, nil, ctx.Err()
		}
	}
	if err := l.conn.SetDeadline(time.Time{}); err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	if n, err = sysretry.Until(ctx, log, "waiting until the journal can be opened", func() (*Node, error) { return New(cfg, log) }); err != nil {
		return nil, nil, err
	}
	n.lock = lock
	n.restore(l, m.State, sender)
	return n, ln, nil
}

// killPeer kills the process at the other end, which holds the lock and hangs.
func (l *handoverConn) killPeer(path string, log *slog.Logger) error {
	raw, err := l.conn.SyscallConn()
	if err != nil {
		return err
	}
	var cred *syscall.Ucred
	var optErr error
	if err := raw.Control(func(fd uintptr) {
		cred, optErr = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); err != nil || optErr != nil {
		return errors.Join(err, optErr)
	}
	pid := int(cred.Pid)
	if pid <= 1 || pid == os.Getpid() {
		return fmt.Errorf("handover: refusing to kill process %d", pid)
	}
	p, err := os.FindProcess(pid)
	if err != nil {
		return err
	}
	defer p.Release()
	// Process IDs are reused. While connections to the socket are accepted, the process found is still the
	// one that opened the socket.
	probe, err := dialHandover(path)
	if err != nil {
		return nil // it has ended by itself
	}
	probe.Close()
	log.Warn("killing the lock holder, which does not answer", "pid", pid)
	return p.Kill()
}

// restore sets the state that the predecessor has sent, so that the node continues where the predecessor
// stopped.
func (n *Node) restore(l *handoverConn, state *handoverState, sender *choice.Sender) {
	n.sender, n.predecessor = sender, l
	n.journal.nextSeq = max(n.journal.nextSeq, state.nextSeq())
	handedOverAt := time.Now().Add(-time.Since(state.At))
	if !state.Timestamp.IsZero() {
		handedOverAt = n.journal.clock.time(state.Timestamp)
	}
	n.clockStart = handedOverAt.Add(epoch - state.Clock)
	n.cfg.InitialList = catalog.List{Revision: state.Revision, Complete: true, Members: state.Members}
	n.listPosition = registry.Position{History: state.History, Revision: state.Revision, Server: state.ListSource}
	if state.History == 0 && !slices.Contains(n.cfg.DiscoveryAddresses(), state.ListSource) { // revisions of another server can't be compared
		n.cfg.InitialList.Revision, n.listPosition = 0, registry.Position{Server: n.cfg.Discovery}
	}
	n.applyList(n.cfg.InitialList) // the module has the list already
	n.listCache.adopt(registry.Update{List: n.cfg.InitialList, History: n.listPosition.History, Server: n.listPosition.Server})
	for id, waitUntil := range state.Waits {
		if e := n.endpoints[id]; e != nil && waitUntil > 0 {
			e.wait.extend(handedOverAt.Add(time.Unix(0, waitUntil).Sub(state.At)))
		}
	}
	for _, o := range state.Outstanding {
		m := n.journal.live[o.Seq]
		if m == nil { // the message has ended and is forgotten; the outcome of its attempt is still to come
			m = &pendingMessage{seq: o.Seq, dest: o.Dest, class: o.Class, final: &finalAnswer{}}
		}
		n.outstanding[attemptKey{o.Seq, o.Attempt}] = outstandingCall{message: m, fromPredecessor: true, cancel: func() { l.send(handoverMessage{Cancel: &o}) }}
	}
}

// receiveFromPredecessor handles the predecessor's messages until its connection ends.
func (n *Node) receiveFromPredecessor(ctx context.Context, l *handoverConn, tasks *sync.WaitGroup) {
	stop := context.AfterFunc(ctx, func() { l.conn.Close() })
	defer stop()
	for {
		m, err := l.receive()
		switch {
		case err != nil:
			l.conn.Close()
			n.sendEvent(ctx, predecessorGone{})
			return
		case m.Outcome != nil:
			n.sendEvent(ctx, *m.Outcome)
		case m.Request != nil: // at most as many at a time as the predecessor has clients
			tasks.Go(func() {
				a := n.submit(ctx, m.Request.request())
				l.send(handoverMessage{Answer: &forwardedAnswer{Number: m.Request.Number, Refused: a.refused, RetryAfter: a.retryAfter, Failure: a.failure, OutcomeUnknown: a.outcomeUnknown}})
			})
		case m.Command != nil: // at most as many at a time as the predecessor has operators' connections
			tasks.Go(func() {
				commandCtx, cancel := context.WithTimeout(ctx, adminCommandTimeout)
				defer cancel()
				err := n.SetEndpointEnabled(commandCtx, m.Command.ID, m.Command.Enable)
				l.send(handoverMessage{Answer: &forwardedAnswer{Number: m.Command.Number, OutcomeUnknown: err != nil, UnknownEndpoint: errors.Is(err, ErrUnknownEndpoint)}})
			})
		}
	}
}

// request returns the request with its time on this process's clocks. The predecessor forwards requests at
// once, so a step of the wall clock meanwhile can't be taken for a long way.
func (a *forwardedRequest) request() request {
	age := min(max(time.Since(a.ReceivedAt), 0), handoverTimeout)
	return request{
		id: a.ID, key: a.Key, class: a.Class, dest: a.Dest, tenant: a.Tenant, ttl: a.TimeToLive, body: a.Body, receivedAt: time.Now().Add(-age),
	}
}

// predecessorCallEnded handles the outcome of a call that the predecessor made.
func (n *Node) predecessorCallEnded(o callOutcome) []choice.Event {
	e := n.endpoints[o.Endpoint]
	if e == nil {
		e = &endpoint{id: o.Endpoint, wait: new(callWait)}
	}
	c := callEnd{endpoint: e, took: o.Duration, callResult: callResult{
		outcome: o.Outcome, retryAfter: o.RetryAfter, noSlot: o.NoSlot, final: o.Final, ambiguous: o.Ambiguous, report: o.Report, reusedConn: o.ReusedConn, connClosed: o.ConnClosed,
	}}
	for i, a := range o.Attempts {
		key := attemptKey{a.Seq, a.Attempt}
		if !n.outstanding[key].fromPredecessor { // ended, or an attempt of this process
			continue
		}
		c.attempts = append(c.attempts, key)
		if o.PerItem != nil {
			c.perItem = append(c.perItem, itemResult{o.PerItem[i].Outcome, o.PerItem[i].Final, o.PerItem[i].Ambiguous})
		}
		if n.destinationWaits[a.Dest] != nil && o.RetryAfter > 0 && n.endpoints[o.Endpoint] == nil {
			e.wait = n.destinationWaits[a.Dest]
		}
	}
	return n.callEnded(c)
}

// endPredecessorCalls ends the calls in flight of a predecessor that is gone. They may have run. That they
// broke says nothing about their endpoints, so they are reported like broken keep-alive connections.
func (n *Node) endPredecessorCalls() []choice.Event {
	n.predecessor = nil
	var events []choice.Event
	for key, c := range n.outstanding {
		if c.fromPredecessor {
			broken := callEnd{attempts: []attemptKey{key}, endpoint: &endpoint{}, callResult: callResult{outcome: choice.ConnectionBroken, reusedConn: true}}
			events = append(events, n.callEnded(broken)...)
		}
	}
	return events
}

// acceptSuccessors accepts processes that ask for the node, one after the other.
func (n *Node) acceptSuccessors(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { n.handoverListener.Close() })
	defer stop()
	for {
		conn, err := n.handoverListener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return // handed over, or the node stops
		}
		if err != nil {
			n.log.Warn("no other process can be accepted; trying again", "err", err)
			sysretry.Sleep(ctx, acceptRetryDelay)
			continue
		}
		l := newHandoverConn(conn)
		conn.SetReadDeadline(time.Now().Add(handoverTimeout))
		m, err := l.receive()
		if err == nil {
			err = n.ownership.checkSuccessor(m.Owner)
		}
		if err != nil || m.Version != handoverVersion {
			n.log.Warn("not handed over", "version", m.Version, "err", err)
			conn.Close()
			continue
		}
		select {
		case n.successors <- l:
		case <-ctx.Done():
			conn.Close()
		}
	}
}

// offerHandover offers the node to a successor, between two steps. If it fails, this process keeps the node.
func (n *Node) offerHandover(l *handoverConn) error {
	if len(n.actions) > 0 || n.journal.incomplete {
		return errJournalUnavailable // the successor could not write the journal either
	}
	if err := errors.Join(n.journal.flush(), n.ownership.saveMap()); err != nil {
		return err
	}
	saved, err := n.sender.Save()
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	now := time.Now()
	state := handoverState{
		Clock: n.moduleTime(now), At: now, Timestamp: n.journal.clock.timestamp(now), NextSeq: n.journal.nextSeq, Sender: saved, ListSource: n.listPosition.Server, Revision: n.listPosition.Revision, History: n.listPosition.History,
		Members: slices.Collect(maps.Values(n.members)), Waits: map[string]int64{},
	}
	for id, e := range n.endpoints {
		state.Waits[id] = 0
		if until := e.wait.end(); !until.IsZero() {
			state.Waits[id] = now.Round(0).Add(until.Sub(now)).UnixNano()
		}
	}
	for key, c := range n.outstanding {
		state.Outstanding = append(state.Outstanding, outstandingAttempt{key.seq, key.number, c.message.dest, c.message.class})
	}
	if err := l.conn.SetReadDeadline(time.Now().Add(handoverTimeout)); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if err := errors.Join(l.sendListener(n.listener), l.send(handoverMessage{State: &state})); err != nil {
		return err
	}
	m, err := l.receive()
	if err != nil {
		return err
	}
	if !m.Ready {
		return errors.New("handover: the successor declined the node")
	}
	if err := l.conn.SetDeadline(time.Time{}); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return l.send(handoverMessage{LockReleased: true})
}

// handOver hands the node over and reports whether the successor has it now. If so, this process makes no
// more decisions.
func (n *Node) handOver(l *handoverConn) bool {
	if err := n.offerHandover(l); err != nil {
		n.log.Warn("not handed over", "err", err)
		l.conn.Close()
		return false
	}
	n.successor = l
	n.stage.Store(stageHandedOver)
	n.metrics.activeMessages.Store(0)
	n.handoverListener.Close()
	n.journal.file.Close()
	n.listCache.close()
	n.lock.Close() // from here on the other process decides
	n.lock = nil
	n.log.Info("handed over", "calls", len(n.outstanding))
	return true
}
