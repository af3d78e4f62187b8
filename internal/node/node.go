package node

import (
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"starlingusher/choice"
	"starlingusher/fleet/catalog"
	"starlingusher/internal/registry"
	"starlingusher/internal/sysretry"
)

const (
	// epoch is the module's time when the process starts. It leaves room for times before a restart, which
	// must stay above zero.
	epoch    = 48 * time.Hour
	maxBatch = 256 // maximum number of events in one Step
	// A process that wakes so late was held up, and its other goroutines get some time to read what has arrived.
	maxWakeLateness = 25 * time.Millisecond
	settleTime      = 5 * time.Millisecond
	eventQueue      = 1024
	// After SIGTERM clients keep connecting for 0.4 s, and SIGKILL follows after 3.7 s. The module learns at
	// once when the node will stop, and sends the messages whose calls can end before that. Messages are
	// accepted all that time: the journal keeps them for the next start.
	stopAfter       = 3200 * time.Millisecond
	disconnectAfter = 3 * time.Second // clients are disconnected from then on, which takes 0.1 s, or half a second if some are slow
)

// Shares of the file descriptors that the process may hold.
const (
	defaultSockets         = 256 // the least that any platform allows
	clientSocketsDivisor   = 2   // clients may hold half of them,
	operatorSocketsDivisor = 16  // and operators a sixteenth
	nodeDescriptors        = 24  // of the node itself: journal and its next file, lock, logs, listeners, discovery, notices, the Go runtime's
	minIdle                = 8
)

// attemptKey identifies an attempt in flight by its message's journal number: an ID may be used again while a
// call under it is still in flight.
type attemptKey struct {
	seq    uint64
	number int
}

// guardedAction runs once the journal records before it are written.
type guardedAction struct {
	run func()
	// From this time on the action needs no record. A message past its deadline is not sent any more, so a
	// later process that does not know of its end could only end it again. Zero means never.
	unguardedFrom time.Time
}

// outstandingCall is the call that carries an attempt; a call with several messages has an entry for each of
// them.
type outstandingCall struct {
	message         *pendingMessage
	cancel          context.CancelFunc
	fromPredecessor bool // the predecessor made the call
}

// Node is a delivery node. Package choice, called the module here, makes its decisions. The goroutine that
// runs loop owns every field that is not marked as shared. See Run for the other goroutines.
type Node struct {
	cfg              Config
	log              *slog.Logger
	sender           *choice.Sender
	journal          *journal
	pool             *pool
	clockStart       time.Time
	events           chan any
	commands         chan endpointCommand
	notices          chan []notice
	newAddresses     chan []string // new addresses of discovery
	done             chan struct{}
	messages         map[string]*pendingMessage // all messages in the journal, by ID
	outstanding      map[attemptKey]outstandingCall
	endpoints        map[string]*endpoint
	destinationWaits map[int]*callWait // by destination, if its endpoints share one wait
	owedNotices      []notice          // not yet taken by the noticePoster
	openMessages     int               // number of messages without a final answer
	actions          []guardedAction   // waiting for the records that guard them to be written, in order
	metrics          *metrics
	stage            atomic.Int32  // shared
	revision         atomic.Int64  // shared; of the list that the module got last
	wakeAt           time.Duration // when the module asked to be woken; 0 for none
	// The time since which the journal can't be written; zero while it can.
	journalDownSince time.Time
	calls            sync.WaitGroup

	members      map[string]catalog.Endpoint // the endpoints of the last list, by ID
	listPosition registry.Position           // history and revision of the last list
	listCache    *listCache                  // nil if the list is not cached
	ownership    *ownershipState             // nil without an [ownership] section in the fleet file

	// For the handover between processes; see handover.go.
	listener         net.Listener
	lock             *os.File // held while this process has the node; nil in tests without handover
	handoverListener *net.UnixListener
	successors       chan *handoverConn
	successor        *handoverConn // the process that has taken over, if any
	predecessor      *handoverConn // the process that this one took over from, while it runs
	lastForwarded    uint64        // number of the last request or command that was forwarded to the successor
}

// Events of the loop, besides those of other files.
type (
	arrival struct {
		request
		reply chan answer
	}
	callEnd struct {
		attempts []attemptKey // in the order of the call's items
		endpoint *endpoint
		callResult
		took time.Duration
	}
	noticesTaken    []notice
	endpointCommand struct { // an operator's command for an endpoint
		id     string
		enable bool
		reply  chan error
	}
)

// errNoRoom reports that the node holds as many messages as its settings allow.
var errNoRoom = errors.New("the node holds as many messages as it may")

// ErrUnknownEndpoint reports that no endpoint of that ID was ever listed.
var ErrUnknownEndpoint = errors.New("no endpoint of this ID was ever listed")

// The stages of a node's life.
const (
	stageStarting int32 = iota
	stageServing
	stageStopping
	stageHandedOver
)

var stageReasons = [...]string{stageStarting: "starting", stageStopping: "leaving", stageHandedOver: "handed over to another process"}

// New returns a node with the state of the journal. No other process may use the journal's folder.
func New(cfg Config, log *slog.Logger) (*Node, error) {
	j, err := openJournal(cfg.StateDir, cfg.journalMB())
	if err != nil {
		return nil, err
	}
	if j.corruption != "" {
		log.Warn("part of the journal is unreadable; the messages that it may concern end as failed", "part", j.corruption)
	}
	position := registry.Position{Revision: cfg.InitialList.Revision, Server: cfg.Discovery}
	if !slices.Contains(cfg.DiscoveryAddresses(), cfg.Discovery) { // revisions of different servers can't be compared
		position = registry.Position{}
	}
	cache := openListCache(cfg, log)
	if cache != nil {
		if l, at, heardAt, ok := cache.cache.List(); ok {
			log.Info("starting with the cached list", "revision", l.Revision, "endpoints", len(l.Members), "age", time.Since(heardAt).Round(time.Second))
			cfg.InitialList, position = l, at
		}
	}
	owned := openOwnership(cfg, j, log)
	cfg.InitialList = owned.filterList(cfg.InitialList)
	_, idle := splitDescriptors(max(cfg.Limits.Sockets, 4*minIdle), cfg.Settings.Slots)
	return &Node{
		listPosition: position, listCache: cache, ownership: owned,
		cfg: cfg, log: log, journal: j, sender: choice.New(cfg.moduleSettings(), seed(cfg.Seed)), clockStart: time.Now(),
		pool:   newPool(cfg.Settings.DialTimeout, cfg.Settings.IdleConnTimeout, idle),
		events: make(chan any, eventQueue), commands: make(chan endpointCommand), notices: make(chan []notice), newAddresses: make(chan []string),
		done: make(chan struct{}), messages: map[string]*pendingMessage{},
		outstanding: map[attemptKey]outstandingCall{}, endpoints: map[string]*endpoint{}, destinationWaits: map[int]*callWait{},
		metrics: newMetrics(cfg.Names.Classes), members: map[string]catalog.Endpoint{}, successors: make(chan *handoverConn),
	}, nil
}

// splitDescriptors divides the descriptors that clients and operators leave of the process's limit; clients
// may use their half at any time. The node's own come first. The rest is for calls, one for each slot, and
// for idle connections.
func splitDescriptors(sockets, slots int) (calls, idle int) {
	remaining := max(sockets-sockets/clientSocketsDivisor-sockets/operatorSocketsDivisor-nodeDescriptors, 2*minIdle)
	if slots <= 0 || slots > remaining-minIdle {
		slots = remaining - minIdle
	}
	return slots, min(sockets/4, remaining-slots)
}

// NotReadyReason tells why the node is not ready to serve; it is empty if the node is ready. It is safe for
// concurrent use.
func (n *Node) NotReadyReason() string {
	if s := n.stage.Load(); s != stageServing {
		return stageReasons[s]
	}
	if s := n.metrics.ownership.Load(); s != nil && s.notReadyReason() != "" {
		return s.notReadyReason()
	}
	if n.metrics.listedEndpoints.Load() == 0 {
		return "no endpoints are known"
	}
	return ""
}

// CurrentList returns the revision of the list that the module has, as its server counts, and the number of
// endpoints in it. It is safe for concurrent use.
func (n *Node) CurrentList() (revision int64, endpoints int) {
	revision = n.revision.Load()
	return revision, int(n.metrics.listedEndpoints.Load()) // of that revision or a later one
}

// seed parses the configuration's hexadecimal seed; any other text is hashed.
func seed(text string) uint64 {
	if v, err := strconv.ParseUint(text, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// now returns the module's time now, moduleTime that at a wall clock time, and wallTime the wall clock time
// at a module's time.
func (n *Node) now() time.Duration { return n.moduleTime(time.Now()) }

func (n *Node) moduleTime(t time.Time) time.Duration { return epoch + t.Sub(n.clockStart) }

func (n *Node) wallTime(d time.Duration) time.Time { return n.clockStart.Add(d - epoch) }

// timestampNow returns the time now as the journal keeps it.
func (n *Node) timestampNow() time.Time { return n.journal.clock.timestamp(time.Now()) }

// Run serves clients on ln until ctx ends or another process has taken over. Then it finishes what it can;
// the journal keeps the rest.
func (n *Node) Run(ctx context.Context, ln net.Listener) error {
	// The background tasks run on after ctx ends, for the time that stopping takes.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer close(n.done)
	n.listener = ln
	n.step(runCtx, n.replayJournal(), nil)

	var tasks sync.WaitGroup
	discoveryCtx, stopDiscovery := context.WithCancel(runCtx)
	defer stopDiscovery()
	tasks.Go(func() { n.followDiscovery(discoveryCtx) })
	n.log.Info("serving", "sockets", n.cfg.Limits.Sockets, "memory_mb", n.cfg.Limits.MemoryMB, "disk_mb", n.cfg.Limits.DiskMB,
		"cores", n.cfg.Limits.Cores, "slots", n.cfg.Settings.Slots, "max_open", n.cfg.Settings.MaxOpen)
	clients := newClientServer(ln, n.cfg.Limits.Sockets/clientSocketsDivisor, n.cfg.Names, func(q request) answer { return n.submit(runCtx, q) })
	clients.log = n.log
	tasks.Go(func() { clients.serve(runCtx) })
	if n.predecessor != nil {
		predecessor := n.predecessor
		tasks.Go(func() { n.receiveFromPredecessor(runCtx, predecessor, &tasks) })
	}
	if n.lock != nil {
		var err error
		n.handoverListener, err = sysretry.Until(ctx, n.log, "waiting until the handover socket can be opened", func() (*net.UnixListener, error) {
			return listenHandover(handoverSocketPath(n.cfg.StateDir))
		})
		if err != nil {
			n.log.Error("no other process can take over from this one", "err", err)
		} else {
			tasks.Go(func() { n.acceptSuccessors(runCtx) })
		}
	}
	n.stage.CompareAndSwap(stageStarting, stageServing)
	stopped := make(chan struct{})
	tasks.Go(func() {
		defer close(stopped)
		select {
		case <-ctx.Done():
		case <-runCtx.Done(): // the successor is gone
			return
		}
		n.stage.Store(stageStopping)
		n.log.Debug("stopping", "calls_end_in", stopAfter, "clients_are_disconnected_in", disconnectAfter)
		stopBy := time.Now().Add(stopAfter)
		n.sendEvent(runCtx, choice.Stopping{By: n.moduleTime(stopBy)})
		sysretry.Sleep(runCtx, disconnectAfter)
		clients.close(shutdownGrace) // the loop, which still runs, answers clients in the middle of a request
		n.log.Debug("clients are disconnected", "after", time.Since(stopBy)+stopAfter)
		sysretry.Sleep(runCtx, time.Until(stopBy))
	})
	n.loop(runCtx, stopped)

	var err error
	if n.successor != nil {
		stopDiscovery()
		n.pool.retire()
		disconnected := make(chan struct{})
		tasks.Go(func() {
			defer close(disconnected)
			clients.close(requestTimeout + shutdownGrace) // nothing waits for this process to end, so clients may finish what they are sending
		})
		err = n.serveSuccessor(runCtx, stopped, disconnected)
	} else {
		n.cancelCalls(runCtx)
	}
	cancel()
	n.calls.Wait()
	n.pool.close()
	tasks.Wait()
	if n.successor != nil {
		return err
	}
	n.log.Debug("stopped", "messages_in_journal", len(n.messages), "notices_owed", len(n.owedNotices))
	err = n.journal.close()
	if n.lock != nil {
		err = errors.Join(err, n.lock.Close())
	}
	return err
}

// cancelCalls cancels the calls in flight and waits until each has ended. The predecessor's calls are only
// dropped; their attempts may have run.
func (n *Node) cancelCalls(ctx context.Context) {
	maps.DeleteFunc(n.outstanding, func(_ attemptKey, c outstandingCall) bool { return c.fromPredecessor })
	for _, c := range n.outstanding {
		c.cancel()
	}
	for len(n.outstanding) > 0 { // each canceled call sends a callEnd
		n.handleBatch(ctx, []any{<-n.events})
	}
}

// MoveDiscovery tells a running node the new addresses of discovery. It is safe for concurrent use.
func (n *Node) MoveDiscovery(addrs ...string) {
	select {
	case n.newAddresses <- addrs:
	case <-n.done:
	}
}

// followDiscovery watches the list and posts notices at discovery's addresses, and restarts both when the
// addresses change. The new server is asked for the complete list, so that nothing is missed. A list older
// than the last one is not applied, because it could undo a drain. Unanswered notices go to the new
// addresses.
func (n *Node) followDiscovery(ctx context.Context) {
	addrs := n.cfg.DiscoveryAddresses()
	cursor := registry.NewCursor(n.listPosition) // used by one watch at a time
	var unanswered []notice
	for ctx.Err() == nil {
		sourceCtx, stopSource := context.WithCancel(ctx)
		transport := &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}
		client := &http.Client{Transport: transport}
		current := addrs // addrs may change while the tasks start
		var tasks sync.WaitGroup
		w := registry.Watcher{Addresses: current, FleetSize: max(n.cfg.Settings.FleetSize, 1), Client: client, Log: n.log, Cursor: cursor}
		if n.listCache != nil {
			w.OnLine = n.listCache.markConfirmed
			tasks.Go(func() { n.listCache.run(sourceCtx) })
		}
		tasks.Go(func() {
			n.watchList(sourceCtx, &w, func(l registry.Update) error {
				n.sendEvent(ctx, l)
				if n.listCache != nil {
					n.listCache.apply(l)
				}
				return nil
			})
		})
		tasks.Go(func() {
			poster := noticePoster{log: n.log, client: client, addrs: current, hedgeDelay: noticeHedgeDelay}
			unanswered = poster.run(sourceCtx, unanswered, n.notices, func(b []notice) { n.sendEvent(ctx, noticesTaken(b)) })
		})
		for unchanged := true; unchanged; { // the same addresses again change nothing
			select {
			case newAddrs := <-n.newAddresses:
				if !slices.Equal(newAddrs, addrs) {
					n.log.Info("discovery has new addresses", "to", strings.Join(newAddrs, " "))
					addrs, unchanged = newAddrs, false
				}
			case <-ctx.Done():
				unchanged = false
			}
		}
		stopSource()
		tasks.Wait()
		transport.CloseIdleConnections()
		cursor.ServerChanged(time.Now())
	}
}

// replayJournal returns the first events for the module: the last known list, the endpoints that operators
// disabled and the journal's messages without a final answer.
func (n *Node) replayJournal() []choice.Event {
	known := n.cfg.InitialList
	known.Complete = true
	var events []choice.Event
	if n.predecessor == nil { // else the module got the list from the predecessor
		events = append(events, n.applyList(known))
		events = append(events, n.restoreDisabled()...)
		events = append(events, n.restoreWaits()...)
	}
	// In the order in which they were accepted.
	for _, seq := range slices.Sorted(maps.Keys(n.journal.live)) {
		m := n.journal.live[seq]
		n.messages[m.id] = m
		if m.final != nil {
			n.owedNotices = append(n.owedNotices, newNotice(m))
			if n.sender.HasMessage(m.choiceID()) { // handed over, and ended here because the journal is damaged
				events = append(events, choice.MessageAbandoned{ID: m.choiceID()})
			}
			continue
		}
		n.openMessages++
		if !n.sender.HasMessage(m.choiceID()) { // false for those taken over from the predecessor
			events = append(events, n.resumedEvent(m))
		}
	}
	if len(n.messages) > 0 {
		n.log.Info("journal replayed", "resumed", n.openMessages, "notices", len(n.owedNotices))
	}
	return events
}

// restoreDisabled tells the module which endpoints operators disabled before the restart, and which were
// enabled again so recently that they may still be in slow start.
func (n *Node) restoreDisabled() []choice.Event {
	var events []choice.Event
	for _, id := range n.journal.knownEndpoints {
		recent := time.Since(n.journal.clock.time(n.journal.enabledAt[id])) < n.cfg.Settings.SlowStartDuration
		if n.journal.disabled[id] || recent {
			events = append(events, choice.EndpointDisabled{Endpoint: id})
		}
		if !n.journal.disabled[id] && recent {
			events = append(events, choice.EndpointDisabled{Endpoint: id, Lifted: true})
		}
	}
	return events
}

// resumedEvent returns the event that tells the module of a message from the journal. An attempt may have run
// unless it is proven that it has not.
func (n *Node) resumedEvent(m *pendingMessage) choice.MessageResumed {
	r := choice.MessageResumed{MessageArrived: n.arrivedEvent(m, n.journal.clock.time(m.deadline)), Attempts: len(m.attempts)}
	for _, a := range m.attempts {
		r.Failed = r.Failed || a.failed
		if !a.notRun && !r.MayHaveRun {
			r.MayHaveRun, r.MayHaveRunSince, r.Zone = true, n.moduleTime(n.journal.clock.time(a.sentAt)), a.zone
		}
	}
	return r
}

// arrivedEvent returns the event that tells the module of a message.
func (n *Node) arrivedEvent(m *pendingMessage, deadline time.Time) choice.MessageArrived {
	return choice.MessageArrived{ID: m.choiceID(), Class: m.class, Tenant: m.tenant, Dest: m.dest, Key: m.key, Deadline: n.moduleTime(deadline)}
}

// sendEvent passes an event to the loop, unless ctx ends first.
func (n *Node) sendEvent(ctx context.Context, e any) {
	select {
	case n.events <- e:
	case <-ctx.Done():
	}
}

// submit passes a client's request to the loop and waits for the answer.
func (n *Node) submit(ctx context.Context, q request) answer {
	a := arrival{request: q, reply: make(chan answer, 1)}
	n.sendEvent(ctx, a)
	var r answer
	select {
	case r = <-a.reply:
	case <-ctx.Done():
		select {
		case r = <-a.reply:
		default:
			r = answer{refused: true, retryAfter: n.cfg.Settings.MaxRetryAfter} // the loop has ended and did not accept it
		}
	}
	if (r.refused || r.failure != "") && !r.countedElsewhere {
		n.metrics.countUndelivered(q.class, !r.refused)
	}
	return r
}

// loop handles events in batches until the node has stopped or is handed over.
func (n *Node) loop(ctx context.Context, stopped <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(n.timeToWake())
		notices := n.notices
		if len(n.owedNotices) == 0 {
			notices = nil
		}
		var batch []any
		select {
		case e := <-n.events:
			batch = append(batch, e)
		case <-timer.C:
		case notices <- n.owedNotices:
			n.owedNotices = nil
			continue
		case command := <-n.commands:
			batch = append(batch, command)
		case conn := <-n.successors:
			if n.handOver(conn) {
				return
			}
			continue
		case <-stopped:
			return
		}
		if n.isLate() { // what came meanwhile, such as an answer that asks for a wait, is heard before the next decision
			sysretry.Sleep(ctx, settleTime)
		}
		for more := true; more && len(batch) < maxBatch; {
			select {
			case e := <-n.events:
				batch = append(batch, e)
			default:
				more = false
			}
		}
		n.handleBatch(ctx, batch)
	}
}

// isLate reports whether the process seems to have been held up: it missed its wake by far.
func (n *Node) isLate() bool { return n.wakeAt > 0 && n.now()-n.wakeAt > maxWakeLateness }

// timeToWake returns the time until the module wants to be woken, or until the next try to write a journal
// that could not be written.
func (n *Node) timeToWake() time.Duration {
	wait := time.Hour
	if n.wakeAt > 0 {
		wait = max(n.wakeAt-n.now(), 0)
	}
	if n.journal.incomplete {
		wait = min(wait, compactRetryDelay)
	}
	return wait
}

// newMessages holds the new messages of a batch by journal number, each with its requests: an ID may be
// submitted more than once.
type newMessages map[uint64][]arrival

func (m newMessages) reply(seq uint64, a answer) {
	for _, request := range m[seq] {
		request.reply <- a
	}
}

// handleBatch turns a batch into events for the module and runs a step with them.
func (n *Node) handleBatch(ctx context.Context, batch []any) {
	var events []choice.Event
	added := newMessages{}
	for _, e := range batch {
		switch e := e.(type) {
		case registry.Update:
			n.listPosition = e.Position()
			events = append(events, n.applyList(e.List))
		case callOutcome:
			events = append(events, n.predecessorCallEnded(e)...)
		case predecessorGone:
			events = append(events, n.endPredecessorCalls()...)
		case ownershipEvent:
			e.apply(n.ownership)
		case callEnd:
			events = append(events, n.callEnded(e)...)
		case noticesTaken:
			for _, answered := range e {
				n.log.Debug("notice delivered", "id", answered.ID, "state", answered.State)
				n.forget(answered.message)
			}
		case choice.Stopping:
			events = append(events, e)
		case endpointCommand:
			events = append(events, n.applyCommand(e)...)
		case arrival:
			if m := n.accept(e, added); m != nil {
				events = append(events, n.arrivedEvent(m, e.receivedAt.Add(e.ttl)))
			}
		}
	}
	// The module and the clients must not learn of these messages before their records are written.
	if !n.flushJournal() && len(added) > 0 { // refuse the new messages
		events = slices.DeleteFunc(events, func(e choice.Event) bool {
			_, isNew := e.(choice.MessageArrived)
			return isNew
		})
		for seq, all := range added {
			n.forget(n.journal.live[seq])
			added.reply(seq, n.refuse(all[0], errJournalUnavailable))
		}
		added = nil
	}
	if n.wakeAt > 0 && n.now() >= n.wakeAt {
		n.wakeAt = 0
		events = append(events, choice.WakeDue{Tag: "sweep"})
	}
	n.step(ctx, events, added)
}

// accept adds a new message to the journal and returns it. If the request's message is not new or can't be
// accepted it answers the request instead and returns nil.
func (n *Node) accept(a arrival, added newMessages) *pendingMessage {
	m := n.messages[a.id]
	switch {
	case m != nil && added[m.seq] != nil: // added in this batch; not accepted yet
		added[m.seq] = append(added[m.seq], a)
		return nil
	case m != nil: // accepted before, which its record tells; another submission has no effect
		a.reply <- answer{}
		return nil
	case n.ownership != nil && n.refuseForeign(a):
		return nil
	case !n.sender.KnowsDestination(a.dest):
		a.reply <- answer{failure: "unknown destination"}
		return nil
	case n.cfg.Settings.MaxOpen > 0 && n.openMessages >= n.cfg.Settings.MaxOpen:
		a.reply <- n.refuse(a, errNoRoom)
		return nil
	}
	m, err := n.journal.accept(
		&pendingMessage{id: a.id, key: a.key, class: a.class, tenant: a.tenant, dest: a.dest, body: a.body, deadline: n.journal.clock.timestamp(a.receivedAt.Add(a.ttl))})
	if err != nil {
		a.reply <- n.refuse(a, err)
		return nil
	}
	n.log.Debug("message accepted", "id", m.id, "seq", m.seq, "class", m.class, "dest", m.dest, "ttl", a.ttl)
	if n.ownership != nil {
		n.ownership.trackDeadline(m)
	}
	n.messages[m.id] = m
	n.openMessages++
	added[m.seq] = []arrival{a}
	return m
}

// refuse returns the answer to a request that the node can't accept for a reason. The module does not learn
// of it.
func (n *Node) refuse(a arrival, reason error) answer {
	n.log.Debug("request refused", "id", a.id, "class", a.class, "dest", a.dest, "reason", reason)
	return answer{refused: true, retryAfter: n.sender.RetryAfterIfFull(a.class, a.dest)}
}

// forget removes a message for which nothing is owed any more, and records that in the journal.
func (n *Node) forget(m *pendingMessage) {
	if n.messages[m.id] != m {
		return
	}
	if m.final == nil {
		n.openMessages--
	}
	delete(n.messages, m.id)
	n.journal.add(newRecord(recordDone, m.seq))
}

// applyList updates the endpoints from a list and returns the event for the module. Calls that have not
// written their first byte learn of it by endpoint.closed.
func (n *Node) applyList(l catalog.List) choice.ListUpdate {
	maps.DeleteFunc(n.destinationWaits, func(dest int, _ *callWait) bool { return !n.sender.KnowsDestination(dest) })
	l.Members = slices.DeleteFunc(l.Members, func(m catalog.Endpoint) bool { return m.ID == "" })
	entries := entries(l.Members, n.cfg.Names)
	inList := map[string]bool{}
	for i, m := range l.Members {
		inList[m.ID] = true
		n.members[m.ID] = m
		if entries[i].Phase == choice.Gone {
			delete(n.members, m.ID)
		}
		if _, known := n.journal.disabled[m.ID]; !known {
			n.journal.add(endpointRecord(recordListed, m.ID, n.timestampNow()))
		}
		n.updateEndpoint(m, entries[i])
	}
	if l.Complete {
		for id, e := range n.endpoints {
			if !inList[id] {
				n.closeEndpoint(e)
			}
		}
		maps.DeleteFunc(n.members, func(id string, _ catalog.Endpoint) bool { return !inList[id] })
	}
	return choice.ListUpdate{Complete: l.Complete, Entries: entries}
}

// updateEndpoint opens or closes an endpoint for calls, according to its list entry and the operators'
// commands.
func (n *Node) updateEndpoint(m catalog.Endpoint, entry choice.Entry) {
	e := n.endpoints[m.ID]
	if entry.Phase != choice.Ready || n.journal.disabled[m.ID] {
		n.closeEndpoint(e)
		return
	}
	if e == nil || e.addr != m.Addr {
		n.closeEndpoint(e)
		n.endpoints[m.ID] = &endpoint{
			id: m.ID, addr: m.Addr, zone: entry.Zone, maxBatch: n.batchSize(entry), wait: n.waitFor(entry),
		}
	}
}

// SetEndpointEnabled disables an endpoint, or enables it again. It returns once that is in the journal and
// known to the module, or when ctx ends; in that case the change may still happen. It is idempotent and safe
// for concurrent use.
func (n *Node) SetEndpointEnabled(ctx context.Context, id string, enable bool) error {
	o := endpointCommand{id, enable, make(chan error, 1)}
	select {
	case n.commands <- o:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-o.reply:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// applyCommand carries out an operator's command for an endpoint. Repeating a command changes nothing.
func (n *Node) applyCommand(o endpointCommand) []choice.Event {
	disabled, known := n.journal.disabled[o.id]
	if !known {
		o.reply <- ErrUnknownEndpoint
		return nil
	}
	n.actions = append(n.actions, guardedAction{run: func() { o.reply <- nil }})
	if disabled != o.enable {
		return nil
	}
	kind := recordDisabled
	if o.enable {
		kind = recordEnabled
	}
	n.journal.add(endpointRecord(kind, o.id, n.timestampNow()))
	n.log.Info("endpoint enabled or disabled by an operator", "endpoint", o.id, "serves", o.enable)
	if m, listed := n.members[o.id]; listed {
		n.updateEndpoint(m, entries([]catalog.Endpoint{m}, n.cfg.Names)[0])
	}
	return []choice.Event{choice.EndpointDisabled{Endpoint: o.id, Lifted: o.enable}}
}

func (n *Node) closeEndpoint(e *endpoint) {
	if e != nil {
		e.closed.Store(true)
		delete(n.endpoints, e.id)
		n.pool.closeIdle(e.id, 0)
		if n.predecessor != nil {
			n.predecessor.send(handoverMessage{ClosedEndpoint: e.id})
		}
	}
}

// batchSize returns how many messages one call to an endpoint may carry.
func (n *Node) batchSize(e choice.Entry) int {
	if kinds := n.cfg.Settings.Kinds; e.Kind >= 0 && e.Kind < len(kinds) {
		return max(kinds[e.Kind].MaxBatch, 1)
	}
	return 1
}

// waitFor returns the wait of an endpoint: its own if it is a separate route, else that of its destination.
func (n *Node) waitFor(e choice.Entry) *callWait {
	if kinds := n.cfg.Settings.Kinds; e.Kind >= 0 && e.Kind < len(kinds) && kinds[e.Kind].SeparateRoutes {
		return new(callWait)
	}
	if n.destinationWaits[e.Dest] == nil {
		n.destinationWaits[e.Dest] = new(callWait)
	}
	return n.destinationWaits[e.Dest]
}

// applyWait stops new calls to an endpoint for the retry-after of its answer.
func (e callEnd) applyWait() {
	if e.retryAfter > 0 {
		e.endpoint.wait.extend(time.Now().Add(e.retryAfter))
	}
}

// callEnded records the outcome of a call for each of its messages and returns the events for the module.
// After a restart, an attempt without a recorded outcome may have run.
func (n *Node) callEnded(e callEnd) []choice.Event {
	e.applyWait()
	if e.retryAfter > 0 && n.predecessor != nil {
		n.predecessor.send(handoverMessage{Wait: &endpointWait{e.endpoint.id, e.retryAfter}})
	}
	events := make([]choice.Event, 0, len(e.attempts))
	for i, key := range e.attempts {
		m, res := n.outstanding[key].message, e.forItem(i)
		delete(n.outstanding, key)
		ended := choice.AttemptEnded{
			ID: m.choiceID(), Attempt: key.number, Endpoint: e.endpoint.id, Outcome: res.outcome, Took: e.took, Final: res.final, Ambiguous: res.ambiguous,
			RetryAfter: e.retryAfter, NoSlot: e.noSlot, Report: e.report, ReusedConn: e.reusedConn, ConnClosed: e.connClosed,
		}
		outage := n.sender.IndicatesOutage(m.dest, ended)
		switch res.outcome {
		case choice.Rejected, choice.Unreachable, choice.Stale:
			kind := recordRejected
			if outage {
				kind = recordNotRun
			}
			n.journal.add(outcomeRecord(kind, key.seq, key.number))
		default:
			if outage {
				n.journal.add(outcomeRecord(recordFailed, key.seq, key.number))
			}
		}
		n.log.Debug("attempt ended", "id", m.id, "seq", key.seq, "attempt", key.number, "endpoint", e.endpoint.id, "outcome", res.outcome, "final", res.final,
			"ambiguous", res.ambiguous, "took", e.took, "retry_after", e.retryAfter)
		if res.final && m.final == nil {
			if res.outcome == choice.Success {
				countClass(n.metrics.ok, m.class)
			}
			n.forget(m)
		}
		events = append(events, ended)
	}
	return events
}

// step passes events to the module and carries out the actions that it decides on, in order, once the records
// that guard them are written. The clients in added are told here whether their messages are accepted; the
// records of their acceptance are written already.
func (n *Node) step(ctx context.Context, events []choice.Event, added newMessages) {
	calls := map[uint64]*outgoingCall{} // calls of this step, by the module's number; later sends may join them
	for _, a := range n.sender.Step(n.now(), events) {
		switch a := a.(type) {
		case choice.Send:
			n.send(ctx, a, calls)
		case choice.Refuse:
			n.finishMessage(a.ID, finalAnswer{retryAfter: a.RetryAfter}, added)
		case choice.Fail:
			n.finishMessage(a.ID, finalAnswer{failed: true}, added)
		case choice.Cancel:
			n.actions = append(n.actions, guardedAction{run: func() {
				if c, ok := n.outstanding[attemptKey{parseChoiceID(a.ID), a.Attempt}]; ok {
					c.cancel()
				}
			}})
		case choice.CloseIdle:
			n.pool.closeIdle(a.Endpoint, a.Keep)
		case choice.Wake:
			if n.wakeAt == 0 || a.At < n.wakeAt {
				n.wakeAt = a.At
			}
		case choice.LogLine:
			n.log.Info(a.Text)
		}
	}
	for seq := range added { // not refused, so accepted
		added.reply(seq, answer{})
	}
	n.updateMetrics()
	if !n.flushJournal() {
		n.runUnguarded(time.Now())
		return
	}
	for _, a := range n.actions {
		a.run()
	}
	n.actions = n.actions[:0]
}

// flushJournal writes the journal and reports whether that succeeded. It logs only changes between the two:
// an unwritable journal is tried again ten times a second and at every message.
func (n *Node) flushJournal() bool {
	err := n.journal.flush()
	switch {
	case err != nil && n.journalDownSince.IsZero():
		n.journalDownSince = time.Now()
		n.log.Error("the journal can't be written; messages are refused until it can", "acts", len(n.actions), "err", err)
	case err == nil && !n.journalDownSince.IsZero():
		n.log.Info("the journal is written again", "after", time.Since(n.journalDownSince).Round(time.Millisecond))
		n.journalDownSince = time.Time{}
	}
	return err == nil
}

// runUnguarded runs the actions that need no record any more, while the journal can't be written. A full disk
// must not hide the end of a message from the platform, nor hide from the module that a call was never begun.
func (n *Node) runUnguarded(now time.Time) {
	n.actions = slices.DeleteFunc(n.actions, func(a guardedAction) bool {
		if a.unguardedFrom.IsZero() || now.Before(a.unguardedFrom) {
			return false
		}
		a.run()
		return true
	})
}

// updateMetrics publishes the metrics that only the loop knows.
func (n *Node) updateMetrics() {
	listed, avoided := n.sender.EndpointCounts()
	n.metrics.activeMessages.Store(int64(n.openMessages))
	n.metrics.listedEndpoints.Store(int64(listed))
	n.metrics.avoidedEndpoints.Store(int64(avoided))
	n.revision.Store(n.listPosition.Revision)
	if n.ownership != nil {
		n.ownership.updateMetrics(n.metrics)
	}
}

// finishMessage gives a message its final answer: to its clients if they still wait, else by a notice.
func (n *Node) finishMessage(id string, final finalAnswer, added newMessages) {
	m := n.journal.live[parseChoiceID(id)]
	if m == nil || m.final != nil {
		return
	}
	n.log.Debug("message ended", "id", m.id, "seq", m.seq, "failed", final.failed, "retry_after", final.retryAfter, "attempts", len(m.attempts),
		"time_left", time.Until(n.journal.clock.time(m.deadline)), "on_arrival", added[m.seq] != nil)
	if all, ok := added[m.seq]; ok {
		delete(added, m.seq)
		n.forget(m)
		reply := answer{refused: true, retryAfter: final.retryAfter}
		if final.failed {
			reply = answer{failure: "the message failed"}
		}
		n.actions = append(n.actions, guardedAction{run: func() { newMessages{m.seq: all}.reply(m.seq, reply) }})
		return
	}
	n.openMessages--
	n.metrics.countUndelivered(m.class, final.failed)
	n.journal.add(finalRecord(m.seq, final))
	notice := newNotice(m)
	n.actions = append(n.actions, guardedAction{run: func() { n.owedNotices = append(n.owedNotices, notice) }, unguardedFrom: n.journal.clock.time(m.deadline)})
}

// outgoingCall is a call to which a step may still add messages.
type outgoingCall struct {
	call
	attempts    []attemptKey
	messages    []*pendingMessage
	size        int // bytes that its items may take in the body of a batch, at most
	actionIndex int // index of its start in Node.actions
}

// send records an attempt, and makes the call once the record is written. Messages that the module sends
// together share one call, as far as the batch size of their kind and the size of a body allow: the module
// counts one slot for it, and the endpoint one call.
func (n *Node) send(ctx context.Context, a choice.Send, calls map[uint64]*outgoingCall) {
	m, e := n.journal.live[parseChoiceID(a.ID)], n.endpoints[a.Endpoint]
	if m == nil {
		return // the module knows a message that the journal lacks only if the journal was lost in a handover
	}
	if e == nil {
		// The list has just dropped the endpoint. The call ends as Stale, which proves that it has not run.
		e = &endpoint{id: a.Endpoint, wait: new(callWait)}
		e.closed.Store(true)
	}
	key := attemptKey{m.seq, len(m.attempts)}
	n.log.Debug("attempt", "id", m.id, "seq", m.seq, "attempt", key.number, "endpoint", a.Endpoint, "call", a.Call, "new_connection", a.NewConn)
	n.journal.add(attemptRecord(m.seq, n.timestampNow(), e.zone))
	it := item{m.id, m.key, m.body}
	o := calls[a.Call]
	if o == nil || len(o.items) >= e.maxBatch || o.size+it.maxEncodedSize() > maxBody {
		o = &outgoingCall{call: call{endpoint: e}}
		o.onWritten = func() { n.countWritten(o) }
		calls[a.Call] = o
		o.actionIndex = len(n.actions)
		n.actions = append(n.actions, guardedAction{run: func() { n.startCall(ctx, o) }})
	}
	o.items, o.size = append(o.items, it), o.size+it.maxEncodedSize()
	o.attempts, o.messages = append(o.attempts, key), append(o.messages, m)
	// The call ends for all its messages at once: one alone can't be taken out of it.
	if t := n.wallTime(a.TimeoutAt); t.After(o.deadline) {
		o.deadline = t
	}
	if t := n.wallTime(a.ResultBy); o.resultBy.IsZero() || t.Before(o.resultBy) {
		o.resultBy = t
	}
	if t := n.wallTime(a.StartBy); a.StartBy > 0 && (o.startBy.IsZero() || t.Before(o.startBy)) {
		o.startBy = t
	}
	o.newConn = o.newConn || a.NewConn
	n.actions[o.actionIndex].unguardedFrom = o.deadline // begun after that, it ends at once as Stale
}

// countWritten counts the attempts of a call whose last byte is written.
func (n *Node) countWritten(o *outgoingCall) {
	for _, m := range o.messages {
		countClass(n.metrics.tries, m.class)
	}
}

// startCall makes a call whose attempts are recorded in the journal.
func (n *Node) startCall(ctx context.Context, o *outgoingCall) {
	ctx, cancel := context.WithCancel(ctx)
	for i, key := range o.attempts {
		n.outstanding[key] = outstandingCall{message: o.messages[i], cancel: cancel}
	}
	n.calls.Go(func() {
		defer cancel()
		began := time.Now()
		res := n.pool.do(ctx, o.call)
		took := time.Since(began)
		if !res.firstLineAt.IsZero() {
			took = res.firstLineAt.Sub(began) // only until the first line: the rest of a broken answer may take longer
		}
		// Not by sendEvent: the loop must learn of the end of every call, also while the node stops.
		n.events <- callEnd{o.attempts, o.endpoint, res, took}
	})
}
