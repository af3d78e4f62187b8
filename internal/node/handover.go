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
	"sync/atomic"
	"syscall"
	"time"

	"starlingusher/choice"
	"starlingusher/fleet/catalog"
	"starlingusher/internal/registry"
)

// Of the processes of a node the one that holds the lock in the lasting folder decides and writes the journal.
// docs/design.md tells how it passes from one to the next.

const (
	lockName        = "lock"
	handoverVersion = 1
	handoverTime    = time.Second             // for a handover: nobody decides in that time
	fenceAfter      = 2500 * time.Millisecond // who holds the lock and has said nothing for so long hangs
	lockPoll        = 20 * time.Millisecond
	addressPoll     = 50 * time.Millisecond
	maxSocketPath   = 100 // of 108 bytes that the system has
)

// ErrHeirGone ends Run when the process that had taken over is gone. All that it held is in the journal.
var ErrSuccessorGone = errors.New("the process that took over is gone")

// errSilent says that the holder of the lock lives and does not answer.
var errSilent = errors.New("the process that holds the lock does not answer")

// message is what the two processes say to each other, one JSON value each. One of its fields is set.
type message struct {
	Hello  int     `json:"Hello,omitempty"` // the new one's version; the listening socket comes before the Legacy
	Owner  string  `json:",omitempty"`      // beside Hello: its name in the map of owners
	Legacy *legacy `json:"Legacy"`
	Ready  bool    // the new one has it all
	Yours  bool    `json:"Yours"` // the old one lets go of the lock

	Outcome *outcomeOf // of a call in the old process
	Ask     *question  `json:"Ask"`   // a request that the old process read
	Order   *orderOf   `json:"Order"` // of the operators, to the old process
	Answer  *reply     // to an Ask or an Order
	Cancel  *outState  // the new process calls an attempt off
	Shut    string     `json:"Shut"` // an endpoint that calls that have not begun must not go to
	Wait    *waitOf    // that the new process was told
}

// legacy is all that a node knows and the journal does not tell.
type legacy struct {
	Clock    time.Duration // the module's, at the wall clock's At
	At       time.Time
	Sender   choice.Saved
	Revision int64
	ToldBy   string `json:"ToldBy"`     // the discovery that counts so
	History  int64  `json:",omitempty"` // that it counts by, if it tells one
	Members  []catalog.Endpoint
	Waits    map[string]int64 // by endpoint; those of one destination share it
	Out      []outState       `json:"Out"`
}

// outState names an attempt that is out, and of its message what is needed once the journal has forgotten it.
type outState struct {
	Seq         uint64
	Attempt     int
	Dest, Class int
}

type outcomeOf struct {
	Attempts []outState
	Endpoint string
	Took     time.Duration `json:"Took"`
	Outcome  choice.Outcome
	Each     []fateOf `json:"Each"`
	Wait     time.Duration
	NoSlot   bool
	Closed   bool `json:"Closed"`
	Unsure   bool `json:"Unsure"` // builds of old do not tell
	Report   choice.Report
	Kept     bool `json:"Kept"`
	HungUp   bool `json:"HungUp"`
}

type waitOf struct {
	Endpoint string
	Wait     time.Duration
}

type fateOf struct {
	Outcome choice.Outcome
	Closed  bool `json:"Closed"`
	Unsure  bool `json:"Unsure"`
}

type question struct {
	Number              uint64
	ID, Key             string
	Class, Dest, Tenant int
	Life                time.Duration `json:"Life"`
	Body                []byte
	Came                time.Time `json:"Came"`
}

type orderOf struct {
	Number uint64
	ID     string
	Lift   bool `json:"Lift"`
}

type reply struct {
	Number  uint64
	Refused bool
	After   time.Duration `json:"After"`
	Failed  string
	Gone    bool `json:"Gone"`
	Unknown bool `json:"Unknown"` // an Order's ID
}

// forebearGone is the loop's event of the old process's end.
type forebearGone struct{}

// link is the connection between the two.
type link struct {
	conn *net.UnixConn
	from *json.Decoder

	mu sync.Mutex
	to *json.Encoder
}

func newLink(conn *net.UnixConn) *link {
	return &link{conn: conn, from: json.NewDecoder(conn), to: json.NewEncoder(conn)}
}

// send may be called at any time. What can't be sent ends the link, and with it the other side's reading.
func (l *link) send(m message) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	err := l.conn.SetWriteDeadline(time.Now().Add(handoverTime))
	if err == nil {
		err = l.to.Encode(m)
	}
	if err != nil {
		l.conn.Close()
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

func (l *link) receive() (message, error) {
	var m message
	if err := l.from.Decode(&m); err != nil {
		return m, fmt.Errorf("handover: %w", err)
	}
	return m, nil
}

// sendListener passes the listening socket on. It goes on listening while either process has it open.
func (l *link) sendListener(ln net.Listener) error {
	t, ok := ln.(*net.TCPListener)
	if !ok {
		return errors.New("handover: no TCP listener")
	}
	raw, err := t.SyscallConn() // File would make the socket block
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	var sent error
	if err := raw.Control(func(fd uintptr) {
		_, _, sent = l.conn.WriteMsgUnix([]byte("\n"), syscall.UnixRights(int(fd)), nil)
	}); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if sent != nil {
		return fmt.Errorf("handover: %w", sent)
	}
	return nil
}

// receiveListener comes before any receive, which might read past the descriptor.
func (l *link) receiveListener() (net.Listener, error) {
	b, oob := make([]byte, 1), make([]byte, syscall.CmsgSpace(4))
	_, n, _, _, err := l.conn.ReadMsgUnix(b, oob)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	parts, err := syscall.ParseSocketControlMessage(oob[:n])
	if err != nil || len(parts) != 1 {
		return nil, errors.Join(errors.New("handover: no descriptor came"), err)
	}
	fds, err := syscall.ParseUnixRights(&parts[0])
	if err != nil || len(fds) != 1 {
		return nil, errors.Join(errors.New("handover: no descriptor came"), err)
	}
	f := os.NewFile(uintptr(fds[0]), "clients")
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return ln, nil
}

// door is where a node's next process asks for it. Nodes that share a folder for temporary files do not share it.
func door(state string) string {
	h := fnv.New64a()
	if abs, err := filepath.Abs(state); err == nil {
		state = abs
	}
	h.Write([]byte(state))
	return filepath.Join(os.TempDir(), fmt.Sprintf("coralyard-%016x", h.Sum64()))
}

// atDoor calls f with an address that is short enough for a socket.
func atDoor[T any](path string, f func(*net.UnixAddr) (T, error)) (T, error) {
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

func dialDoor(path string) (*net.UnixConn, error) {
	return atDoor(path, func(a *net.UnixAddr) (*net.UnixConn, error) { return net.DialUnix("unix", nil, a) })
}

// openDoor takes the place of whatever an earlier process has left there. Only the holder of the lock may.
func openDoor(path string) (*net.UnixListener, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("handover: %w", err)
	}
	ln, err := atDoor(path, func(a *net.UnixAddr) (*net.UnixListener, error) { return net.ListenUnix("unix", a) })
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	ln.SetUnlinkOnClose(false) // by then another process's may stand there
	return ln, nil
}

// tryLock takes the lock if nobody holds it. The kernel frees it with the file, and that with the process.
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

// Start makes a node once the lasting folder is this process's own: from a process that hands it over, or from the
// journal alone. It waits for both as long as ctx lives.
func Start(ctx context.Context, cfg Config, log *slog.Logger) (n *Node, ln net.Listener, err error) {
	lock, err := os.OpenFile(filepath.Join(cfg.StateDir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, nil, fmt.Errorf("lock: %w", err)
	}
	defer func() {
		if err != nil {
			lock.Close()
		}
	}()
	said := ""
	for {
		owned, err := tryLock(lock)
		if err != nil {
			return nil, nil, err
		}
		if owned {
			break
		}
		n, ln, err := takeOver(ctx, cfg, log, lock)
		if err == nil {
			return n, ln, nil
		}
		if text := err.Error(); text != said {
			said = text
			log.Warn("another process holds the node", "err", err)
		}
		if !registry.Sleep(ctx, lockPoll) {
			return nil, nil, ctx.Err()
		}
	}
	// A build that knows no lock may still be at work. It has the address then, and the journal is its own.
	if ln, err = listen(ctx, cfg.Listen, log); err != nil {
		return nil, nil, err
	}
	if n, err = New(cfg, log); err != nil {
		return nil, nil, errors.Join(err, ln.Close())
	}
	n.lock = lock
	return n, ln, nil
}

// listen waits while another process has the address.
func listen(ctx context.Context, addr string, log *slog.Logger) (net.Listener, error) {
	for warned := false; ; warned = true {
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			return ln, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, fmt.Errorf("clients: %w", err)
		}
		if !warned {
			log.Warn("waiting until the clients' address is free", "err", err)
		}
		if !registry.Sleep(ctx, addressPoll) {
			return nil, ctx.Err()
		}
	}
}

// takeOver asks the process that holds the lock for the node. One that hangs is killed: its lock is free then.
func takeOver(ctx context.Context, cfg Config, log *slog.Logger, lock *os.File) (*Node, net.Listener, error) {
	conn, err := dialDoor(door(cfg.StateDir))
	if err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	l := newLink(conn)
	n, ln, err := l.accept(ctx, cfg, log, lock)
	if err == nil {
		return n, ln, nil
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		err = errors.Join(errSilent, l.fence(door(cfg.StateDir), log))
	}
	conn.Close()
	return nil, nil, err
}

// accept takes the node from the other side.
func (l *link) accept(ctx context.Context, cfg Config, log *slog.Logger, lock *os.File) (n *Node, ln net.Listener, err error) {
	if err := l.send(message{Hello: handoverVersion, Owner: cfg.owner()}); err != nil {
		return nil, nil, err
	}
	if err := l.conn.SetReadDeadline(time.Now().Add(fenceAfter)); err != nil {
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
	if m.Legacy == nil {
		return nil, nil, errors.New("handover: no legacy came")
	}
	sender, err := choice.Restore(cfg.moduleSettings(), m.Legacy.Sender)
	if err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	if err := l.send(message{Ready: true}); err != nil {
		return nil, nil, err
	}
	// Until the old process has said so, it may go on by itself, and what it sent is old.
	yours, err := l.receive()
	if err != nil {
		return nil, nil, err
	}
	if !yours.Yours {
		return nil, nil, errors.New("handover: it was not let go of")
	}
	for owned := false; !owned; {
		if owned, err = tryLock(lock); err != nil {
			return nil, nil, err
		}
		if !owned && !registry.Sleep(ctx, time.Millisecond) {
			return nil, nil, ctx.Err()
		}
	}
	if err := l.conn.SetDeadline(time.Time{}); err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	if n, err = New(cfg, log); err != nil {
		return nil, nil, err
	}
	n.lock = lock
	n.inherit(l, m.Legacy, sender)
	return n, ln, nil
}

// fence kills the process behind the door, which holds the lock and hangs.
func (l *link) fence(path string, log *slog.Logger) error {
	raw, err := l.conn.SyscallConn()
	if err != nil {
		return err
	}
	var cred *syscall.Ucred
	var got error
	if err := raw.Control(func(fd uintptr) {
		cred, got = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); err != nil || got != nil {
		return errors.Join(err, got)
	}
	pid := int(cred.Pid)
	if pid <= 1 || pid == os.Getpid() {
		return fmt.Errorf("handover: process %d can't be ended from here", pid)
	}
	p, err := os.FindProcess(pid)
	if err != nil {
		return err
	}
	defer p.Release()
	// While somebody is behind the door, the process found is the one that opened it: numbers are used again.
	again, err := dialDoor(path)
	if err != nil {
		return nil // it has gone by itself
	}
	again.Close()
	log.Warn("killing the process that holds the lock and does not answer", "pid", pid)
	return p.Kill()
}

// inherit makes the node go on where its old process stopped.
func (n *Node) inherit(l *link, from *legacy, sender *choice.Sender) {
	n.sender, n.forebear = sender, l
	n.start = time.Now().Add(epoch - from.Clock - time.Since(from.At))
	n.cfg.InitialList = catalog.List{Revision: from.Revision, Complete: true, Members: from.Members}
	n.told = registry.Position{History: from.History, Revision: from.Revision, Server: from.ToldBy}
	if from.History == 0 && !slices.Contains(n.cfg.DiscoveryAddresses(), from.ToldBy) { // another server's revisions count something else
		n.cfg.InitialList.Revision, n.told = 0, registry.Position{Server: n.cfg.Discovery}
	}
	n.listed(n.cfg.InitialList) // the module has it already
	for id, until := range from.Waits {
		if e := n.eps[id]; e != nil {
			e.wait.Store(max(until, e.wait.Load()))
		}
	}
	for _, o := range from.Out {
		m := n.journal.live[o.Seq]
		if m == nil { // over, and forgotten; its outcome is awaited all the same
			m = &pendingMessage{seq: o.Seq, dest: o.Dest, class: o.Class, final: &finalAnswer{}}
		}
		n.out[attempt{o.Seq, o.Attempt}] = outCall{m: m, remote: true, cancel: func() { l.send(message{Cancel: &o}) }}
	}
}

// hear takes what the old process says, until it ends.
func (n *Node) hear(ctx context.Context, l *link, parts *sync.WaitGroup) {
	stop := context.AfterFunc(ctx, func() { l.conn.Close() })
	defer stop()
	for {
		m, err := l.receive()
		switch {
		case err != nil:
			l.conn.Close()
			n.tell(ctx, forebearGone{})
			return
		case m.Outcome != nil:
			n.tell(ctx, *m.Outcome)
		case m.Ask != nil: // as many at once as the old process has clients
			parts.Go(func() {
				a := n.hand(ctx, m.Ask.request())
				l.send(message{Answer: &reply{Number: m.Ask.Number, Refused: a.refused, After: a.retryAfter, Failed: a.failure, Gone: a.outcomeUnknown}})
			})
		case m.Order != nil: // as many at once as it has callers
			parts.Go(func() {
				within, cancel := context.WithTimeout(ctx, adminCommandTimeout)
				defer cancel()
				err := n.SetEndpointEnabled(within, m.Order.ID, m.Order.Lift)
				l.send(message{Answer: &reply{Number: m.Order.Number, Gone: err != nil, Unknown: errors.Is(err, ErrUnknownEndpoint)}})
			})
		}
	}
}

func (a *question) request() request {
	return request{
		id: a.ID, key: a.Key, class: a.Class, dest: a.Dest, tenant: a.Tenant, ttl: a.Life, body: a.Body, receivedAt: a.Came,
	}
}

// elsewhere is the outcome of a call that the old process made.
func (n *Node) elsewhere(o outcomeOf) []choice.Event {
	e := n.eps[o.Endpoint]
	if e == nil {
		e = &endpoint{id: o.Endpoint, wait: new(atomic.Int64)}
	}
	c := called{endpoint: e, took: o.Took, result: result{
		outcome: o.Outcome, wait: o.Wait, noSlot: o.NoSlot, closed: o.Closed, unsure: o.Unsure, report: o.Report, kept: o.Kept, hungUp: o.HungUp,
	}}
	for i, a := range o.Attempts {
		name := attempt{a.Seq, a.Attempt}
		if _, out := n.out[name]; !out {
			continue
		}
		c.attempts = append(c.attempts, name)
		if o.Each != nil {
			c.each = append(c.each, fate{o.Each[i].Outcome, o.Each[i].Closed, o.Each[i].Unsure})
		}
		if n.waits[a.Dest] != nil && o.Wait > 0 && n.eps[o.Endpoint] == nil {
			e.wait = n.waits[a.Dest]
		}
	}
	return n.called(c)
}

// orphaned ends the calls of an old process that is gone. They may have run. That their connections broke tells
// nothing of their endpoints, no more than a kept connection that breaks.
func (n *Node) orphaned() []choice.Event {
	n.forebear = nil
	var events []choice.Event
	for name, c := range n.out {
		if c.remote {
			broken := called{attempts: []attempt{name}, endpoint: &endpoint{}, result: result{outcome: choice.ConnectionBroken, kept: true}}
			events = append(events, n.called(broken)...)
		}
	}
	return events
}

// awaitHeir lets in those who ask for the node, one after the other.
func (n *Node) awaitHeir(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { n.door.Close() })
	defer stop()
	for {
		conn, err := n.door.AcceptUnix()
		if err != nil {
			return // handed over, or at the end
		}
		l := newLink(conn)
		conn.SetReadDeadline(time.Now().Add(handoverTime))
		m, err := l.receive()
		if err == nil {
			err = n.own.suits(m.Owner)
		}
		if err != nil || m.Hello != handoverVersion {
			n.log.Warn("not handed over", "version", m.Hello, "err", err)
			conn.Close()
			continue
		}
		select {
		case n.heirs <- l:
		case <-ctx.Done():
			conn.Close()
		}
	}
}

// offer hands the node over, between two steps. On an error it is still ours.
func (n *Node) offer(l *link) error {
	if len(n.acts) > 0 || n.journal.incomplete {
		return errJournalUnavailable // the other process could not write it either
	}
	if err := errors.Join(n.journal.flush(), n.own.keep()); err != nil {
		return err
	}
	saved, err := n.sender.Save()
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	from := legacy{
		Clock: n.now(), At: time.Now(), Sender: saved, ToldBy: n.told.Server, Revision: n.told.Revision, History: n.told.History,
		Members: slices.Collect(maps.Values(n.members)), Waits: map[string]int64{},
	}
	for id, e := range n.eps {
		from.Waits[id] = e.wait.Load()
	}
	for name, c := range n.out {
		from.Out = append(from.Out, outState{name.seq, name.n, c.m.dest, c.m.class})
	}
	if err := l.conn.SetReadDeadline(time.Now().Add(handoverTime)); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if err := errors.Join(l.sendListener(n.ln), l.send(message{Legacy: &from})); err != nil {
		return err
	}
	m, err := l.receive()
	if err != nil {
		return err
	}
	if !m.Ready {
		return errors.New("handover: not wanted after all")
	}
	if err := l.conn.SetDeadline(time.Time{}); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return l.send(message{Yours: true})
}

// handOver tells whether the node is another process's now. Then this one decides nothing any more.
func (n *Node) handOver(l *link) bool {
	if err := n.offer(l); err != nil {
		n.log.Warn("not handed over", "err", err)
		l.conn.Close()
		return false
	}
	n.heir = l
	n.stage.Store(stageHandedOver)
	n.figures.activeMessages.Store(0)
	n.door.Close()
	n.journal.file.Close()
	n.lock.Close() // from here on the other process acts
	n.lock = nil
	n.log.Info("handed over", "calls out", len(n.out))
	return true
}

// relay serves the new process until this one may end: once it is to leave, no client is left and no call is out.
func (n *Node) relay(ctx context.Context, gone, left <-chan struct{}) error {
	down := make(chan struct{})
	go func() { // until the link's end, which is here or the heir's
		defer close(down)
		for {
			m, err := n.heir.receive()
			if err != nil {
				return
			}
			n.tell(ctx, m)
		}
	}()
	defer n.heir.conn.Close()
	asked := map[uint64]func(reply){}
	forsake := func() {
		for number, tell := range asked { // what became of them is not known
			delete(asked, number)
			tell(reply{Gone: true})
		}
	}
	leaves, err := false, error(nil)
	for !leaves || left != nil || len(n.out)+len(asked) > 0 {
		var e any
		select {
		case e = <-n.events:
		case o := <-n.commands:
			if err != nil {
				o.reply <- err
				continue
			}
			n.numbered++
			asked[n.numbered] = func(r reply) {
				switch {
				case r.Unknown:
					o.reply <- ErrUnknownEndpoint
				case r.Gone:
					o.reply <- ErrSuccessorGone
				default:
					o.reply <- nil
				}
			}
			n.heir.send(message{Order: &orderOf{n.numbered, o.id, o.enable}})
			continue
		case late := <-n.heirs:
			late.conn.Close() // it finds the new process
			continue
		case <-left:
			left = nil
			continue
		case <-gone:
			gone, leaves, left = nil, true, nil
			for _, c := range n.out {
				c.cancel()
			}
			forsake()
			continue
		case <-down:
			down, leaves, left, err = nil, true, nil, ErrSuccessorGone
			n.heir.conn.Close()
			for _, c := range n.out { // what may be repeated must not have two attempts out
				c.cancel()
			}
			forsake()
			continue
		}
		switch e := e.(type) {
		case choice.Stopping:
			leaves = true
		case called:
			e.heed()
			n.heir.send(message{Outcome: n.outcome(e)})
		case arrival:
			if err != nil {
				e.reply <- answer{outcomeUnknown: true, countedElsewhere: true}
				continue
			}
			n.numbered++
			asked[n.numbered] = func(r reply) { e.reply <- answer{r.Refused, r.After, r.Failed, r.Gone, true} }
			n.heir.send(message{Ask: &question{n.numbered, e.id, e.key, e.class, e.dest, e.tenant, e.ttl, e.body, e.receivedAt}})
		case message:
			switch {
			case e.Answer != nil:
				if tell := asked[e.Answer.Number]; tell != nil {
					delete(asked, e.Answer.Number)
					tell(*e.Answer)
				}
			case e.Cancel != nil:
				if c, out := n.out[attempt{e.Cancel.Seq, e.Cancel.Attempt}]; out {
					c.cancel()
				}
			case e.Shut != "":
				n.shut(n.eps[e.Shut])
			case e.Wait != nil:
				if ep := n.eps[e.Wait.Endpoint]; ep != nil {
					called{endpoint: ep, result: result{wait: e.Wait.Wait}}.heed()
				}
			}
		}
	}
	return err
}

// outcome takes a call off those that are out, and tells how it ended.
func (n *Node) outcome(c called) *outcomeOf {
	o := &outcomeOf{
		Endpoint: c.endpoint.id, Took: c.took, Outcome: fate{c.outcome, c.closed, c.unsure}.forHeir(),
		Wait: c.wait, NoSlot: c.noSlot, Closed: c.closed, Unsure: c.unsure, Report: c.report, Kept: c.kept, HungUp: c.hungUp,
	}
	for _, name := range c.attempts {
		m := n.out[name].m
		o.Attempts = append(o.Attempts, outState{name.seq, name.n, m.dest, m.class})
		delete(n.out, name)
	}
	for _, f := range c.each {
		o.Each = append(o.Each, fateOf{f.forHeir(), f.closed, f.unsure})
	}
	return o
}

// forHeir is the outcome in words that builds of old, which know of no doubt, take for one that may have run.
func (f fate) forHeir() choice.Outcome {
	if f.unsure {
		return choice.TimedOut
	}
	return f.outcome
}
