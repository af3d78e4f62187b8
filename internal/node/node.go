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
)

const (
	// epoch is the module's clock at the start: times before a restart stay above zero.
	epoch      = 48 * time.Hour
	maxBatch   = 256 // events in one Step
	eventQueue = 1024
	// After SIGTERM clients go on coming for 0.4 s, and SIGKILL comes after 3.7 s. The module is told at once when
	// the node will leave, and sends what can end before that. All the while messages are taken on: the journal has
	// them for the next start.
	leaveAfter = 3200 * time.Millisecond
	closeAfter = 3 * time.Second // clients are hung up on from then on, which takes 0.1 s, and half a second with such as are slow
)

// Of the descriptors that the process may hold.
const (
	defaultSockets         = 256 // the least that a platform gives
	clientSocketsDivisor   = 2   // the parts of all are halves,
	operatorSocketsDivisor = 16  // and sixteenths
	ownDescriptors         = 24  // journal and its next file, lock, logs, listeners, discovery, notices, the runtime's
	leastIdle              = 8
)

// attempt names a call that is out, by the journal's number of its message: an id may come again while a call
// under it is still out.
type attempt struct {
	seq uint64
	n   int
}

// act is something that is done once the records before it are written.
type act struct {
	do func()
	// From then on it needs no guard: a message whose time is up is not sent any more, so a life that knows nothing of
	// its end could but end it once more. Zero: never.
	free time.Time
}

// outCall is the call that an attempt is out in; one with several messages stands there for each of them.
type outCall struct {
	m      *pendingMessage
	cancel context.CancelFunc
	remote bool // the process that this one took over from has it out
}

// Node is a delivery node. One goroutine, in loop, owns all that is not said to be shared.
type Node struct {
	cfg      Config
	log      *slog.Logger
	sender   *choice.Sender
	journal  *journal
	pool     *pool
	start    time.Time
	events   chan any
	commands chan endpointCommand
	notices  chan []notice
	moves    chan []string // the new addresses of what tells the list
	over     chan struct{}
	messages map[string]*pendingMessage // all in the journal, by id
	out      map[attempt]outCall
	eps      map[string]*endpoint
	waits    map[int]*atomic.Int64 // of destinations whose endpoints share them
	owed     []notice              // not yet handed to the reporter
	held     int                   // messages without their final answer
	acts     []act                 // what the records that are not yet written guard, in order
	figures  *metrics
	stage    atomic.Int32  // shared
	revision atomic.Int64  // shared; of the list that the module last took
	wakeAt   time.Duration // of the module; 0 none
	// The journal could not be written since then; zero: it can be.
	stuckSince time.Time
	calls      sync.WaitGroup

	members map[string]catalog.Endpoint // the list, as discovery last told it
	told    registry.Position           // how far it was told
	kept    *keptList                   // nil: it is not kept
	own     *share                      // nil: without [ownership]

	// For the way from one process to the next; see handover.go.
	ln       net.Listener
	lock     *os.File // nil: the node is this process's alone, as in tests
	door     *net.UnixListener
	heirs    chan *link
	heir     *link  // the process that has taken over, if one has
	forebear *link  // the process that this one took over from, while it lives
	numbered uint64 // requests that went on to the heir
}

// Events of the loop.
type (
	arrival struct {
		request
		reply chan answer
	}
	called struct {
		attempts []attempt // of the call's items, in their order
		endpoint *endpoint
		result
		took time.Duration
	}
	settled         []notice
	endpointCommand struct { // of the operators, for an endpoint
		id     string
		enable bool
		reply  chan error
	}
)

// ErrUnknown says that no endpoint of that ID was ever listed.
var ErrUnknownEndpoint = errors.New("no endpoint of this ID was ever listed")

// The stages of a node's life.
const (
	stageStarting int32 = iota
	stageServing
	stageStopping
	stageHandedOver
)

var stages = [...]string{stageStarting: "starting", stageStopping: "leaving", stageHandedOver: "handed over to another process"}

// New loads the journal. Its folder must be the node's alone.
func New(cfg Config, log *slog.Logger) (*Node, error) {
	j, err := openJournal(cfg.StateDir, cfg.journalMB())
	if err != nil {
		return nil, err
	}
	if j.corruption != "" {
		log.Warn("a part of the journal can't be read; what it may have been about ends as failed", "part", j.corruption)
	}
	told := registry.Position{Revision: cfg.InitialList.Revision, Server: cfg.Discovery}
	if !slices.Contains(cfg.DiscoveryAddresses(), cfg.Discovery) { // the revisions of what tells the list count something else
		told = registry.Position{}
	}
	kept := openKept(cfg, log)
	if kept != nil {
		if l, at, heard, ok := kept.kept.List(); ok {
			log.Info("beginning with the kept list", "revision", l.Revision, "endpoints", len(l.Members), "age", time.Since(heard).Round(time.Second))
			cfg.InitialList, told = l, at
		}
	}
	own := openShare(cfg, j, log)
	cfg.InitialList = own.only(cfg.InitialList)
	_, idle := splitDescriptors(max(cfg.Limits.Sockets, 4*leastIdle), cfg.Settings.Slots)
	return &Node{
		told: told, kept: kept, own: own,
		cfg: cfg, log: log, journal: j, sender: choice.New(cfg.moduleSettings(), seed(cfg.Seed)), start: time.Now(),
		pool:   newPool(cfg.Settings.DialTimeout, cfg.Settings.IdleConnTimeout, idle),
		events: make(chan any, eventQueue), commands: make(chan endpointCommand), notices: make(chan []notice), moves: make(chan []string),
		over: make(chan struct{}), messages: map[string]*pendingMessage{},
		out: map[attempt]outCall{}, eps: map[string]*endpoint{}, waits: map[int]*atomic.Int64{},
		figures: newMetrics(cfg.Names.Classes), members: map[string]catalog.Endpoint{}, heirs: make(chan *link),
	}, nil
}

// descriptors shares out what clients, who may fill their half at any time, and operators leave of the process's limit: the
// node's own get theirs, and what is left holds as many calls at once as there are slots, and connections idle between calls.
func splitDescriptors(sockets, slots int) (calls, idle int) {
	left := max(sockets-sockets/clientSocketsDivisor-sockets/operatorSocketsDivisor-ownDescriptors, 2*leastIdle)
	if slots <= 0 || slots > left-leastIdle {
		slots = left - leastIdle
	}
	return slots, min(sockets/4, left-slots)
}

// Unready tells why the node is not ready to serve, "" if it is. It may be called at any time.
func (n *Node) NotReadyReason() string {
	if s := n.stage.Load(); s != stageServing {
		return stages[s]
	}
	if s := n.figures.ownership.Load(); s != nil && s.unready() != "" {
		return s.unready()
	}
	if n.figures.listedEndpoints.Load() == 0 {
		return "no endpoints are known"
	}
	return ""
}

// Told is the revision of the list that is in force in the loop, by the count of who told it, and how many endpoints that has. It may
// be called at any time.
func (n *Node) CurrentList() (revision int64, endpoints int) {
	revision = n.revision.Load()
	return revision, int(n.figures.listedEndpoints.Load()) // of that revision or a later one
}

// seed reads the configuration's hexadecimal seed; any other text serves as well.
func seed(text string) uint64 {
	if v, err := strconv.ParseUint(text, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// now is the module's clock, and at what it shows at another time.
func (n *Node) now() time.Duration { return n.at(time.Now()) }

func (n *Node) at(t time.Time) time.Duration { return epoch + t.Sub(n.start) }

func (n *Node) wall(d time.Duration) time.Time { return n.start.Add(d - epoch) }

// Run serves clients on ln until ctx ends; then it finishes or leaves to the journal what it holds.
func (n *Node) Run(ctx context.Context, ln net.Listener) error {
	// The parts outlive ctx by the time that it takes to leave.
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer close(n.over)
	n.ln = ln
	n.step(life, n.replayed(), nil)

	var parts sync.WaitGroup
	news, unsubscribe := context.WithCancel(life)
	defer unsubscribe()
	parts.Go(func() { n.consult(news) })
	n.log.Info("serving", "sockets", n.cfg.Limits.Sockets, "memory_mb", n.cfg.Limits.MemoryMB, "disk_mb", n.cfg.Limits.DiskMB,
		"cores", n.cfg.Limits.Cores, "slots", n.cfg.Settings.Slots, "max_open", n.cfg.Settings.MaxOpen)
	clients := newClientServer(ln, n.cfg.Limits.Sockets/clientSocketsDivisor, n.cfg.Names, func(q request) answer { return n.hand(life, q) })
	parts.Go(func() { clients.serve(life) })
	if n.forebear != nil {
		forebear := n.forebear
		parts.Go(func() { n.hear(life, forebear, &parts) })
	}
	if n.lock != nil {
		var err error
		if n.door, err = openDoor(door(n.cfg.StateDir)); err != nil {
			n.log.Error("no other process can take over from this one", "err", err)
		} else {
			parts.Go(func() { n.awaitHeir(life) })
		}
	}
	n.stage.CompareAndSwap(stageStarting, stageServing)
	gone := make(chan struct{})
	parts.Go(func() {
		defer close(gone)
		select {
		case <-ctx.Done():
		case <-life.Done(): // the process that took over is gone
			return
		}
		n.stage.Store(stageStopping)
		leaveBy := time.Now().Add(leaveAfter)
		n.tell(life, choice.Stopping{By: n.at(leaveBy)})
		registry.Sleep(life, closeAfter)
		clients.close(shutdownGrace) // those inside a request get their answers from the loop, which still runs
		registry.Sleep(life, time.Until(leaveBy))
	})
	n.loop(life, gone)

	var err error
	if n.heir != nil {
		unsubscribe()
		n.pool.retire()
		left := make(chan struct{})
		parts.Go(func() {
			defer close(left)
			clients.close(requestTimeout + shutdownGrace) // nobody waits for this process, so they may take their time
		})
		err = n.relay(life, gone, left)
	} else {
		n.finish(life)
	}
	cancel()
	n.calls.Wait()
	n.pool.close()
	parts.Wait()
	if n.heir != nil {
		return err
	}
	err = n.journal.close()
	if n.lock != nil {
		err = errors.Join(err, n.lock.Close())
	}
	return err
}

// finish calls off what is out, and takes the end of each call. What is out elsewhere may have run.
func (n *Node) finish(ctx context.Context) {
	maps.DeleteFunc(n.out, func(_ attempt, c outCall) bool { return c.remote })
	for _, c := range n.out {
		c.cancel()
	}
	for len(n.out) > 0 { // each call that is called off ends by an event
		n.take(ctx, []any{<-n.events})
	}
}

// Move tells a running node that what tells the list is at other addresses now. It may be called at any time.
func (n *Node) MoveDiscovery(addrs ...string) {
	select {
	case n.moves <- addrs:
	case <-n.over:
	}
}

// consult keeps the watch and the reports at discovery's address, and takes both along when that changes. Another
// server is asked for all it has, so that nothing is lost; while its list is older than what was told, it is not
// taken, or a drain could be undone. Notices that were not answered go to the new address.
func (n *Node) consult(ctx context.Context) {
	addrs := n.cfg.DiscoveryAddresses()
	track := registry.NewCursor(n.told) // the watch's, of which there is one at a time
	var unanswered []notice
	for ctx.Err() == nil {
		here, leave := context.WithCancel(ctx)
		transport := &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}
		client := &http.Client{Transport: transport}
		at := addrs // which change while the parts begin
		var parts sync.WaitGroup
		w := registry.Watcher{Addresses: at, FleetSize: max(n.cfg.Settings.FleetSize, 1), Client: client, Log: n.log, Cursor: track}
		if n.kept != nil {
			w.OnLine = n.kept.heard
			parts.Go(func() { n.kept.run(here) })
		}
		parts.Go(func() {
			n.watch(here, &w, func(l registry.Update) error {
				n.tell(ctx, l)
				if n.kept != nil {
					n.kept.take(l)
				}
				return nil
			})
		})
		parts.Go(func() {
			unanswered = reportNotices(here, n.log, client, at, unanswered, n.notices, func(b []notice) { n.tell(ctx, settled(b)) })
		})
		for stay := true; stay; { // being told the same again changes nothing
			select {
			case to := <-n.moves:
				if !slices.Equal(to, addrs) {
					n.log.Info("discovery moves", "to", strings.Join(to, " "))
					addrs, stay = to, false
				}
			case <-ctx.Done():
				stay = false
			}
		}
		leave()
		parts.Wait()
		transport.CloseIdleConnections()
		track.ServerChanged(time.Now())
	}
}

// replayed makes the first events: the list as it was last known, and what the journal says is still owed.
func (n *Node) replayed() []choice.Event {
	known := n.cfg.InitialList
	known.Complete = true
	var events []choice.Event
	if n.forebear == nil { // whom one took over from has told the module
		events = append(events, n.listed(known))
		events = append(events, n.barredBefore()...)
	}
	// In the order in which they were taken on.
	for _, seq := range slices.Sorted(maps.Keys(n.journal.live)) {
		p := n.journal.live[seq]
		n.messages[p.id] = p
		if p.final != nil {
			n.owed = append(n.owed, newNotice(p))
			continue
		}
		n.held++
		if !n.sender.HasMessage(p.choiceID()) { // one that was taken over it has
			events = append(events, n.resumed(p))
		}
	}
	if len(n.messages) > 0 {
		n.log.Info("journal replayed", "resumed", n.held, "notices", len(n.owed))
	}
	return events
}

// barredBefore tells the module whom the operators left out in an earlier life, and who was let serve again a moment
// ago: that may still be cold.
func (n *Node) barredBefore() []choice.Event {
	var events []choice.Event
	for _, id := range n.journal.knownEndpoints {
		recent := time.Since(n.journal.enabledAt[id]) < n.cfg.Settings.SlowStartDuration
		if n.journal.disabled[id] || recent {
			events = append(events, choice.EndpointDisabled{Endpoint: id})
		}
		if !n.journal.disabled[id] && recent {
			events = append(events, choice.EndpointDisabled{Endpoint: id, Lifted: true})
		}
	}
	return events
}

// resumed tells the module of a message's past. An attempt that is not proven not to have run may have.
func (n *Node) resumed(p *pendingMessage) choice.MessageResumed {
	r := choice.MessageResumed{MessageArrived: n.arrived(p, p.deadline), Attempts: len(p.attempts)}
	for _, s := range p.attempts {
		r.Failed = r.Failed || s.failed
		if !s.notRun && !r.MayHaveRun {
			r.MayHaveRun, r.MayHaveRunSince, r.Zone = true, n.at(s.sentAt), s.zone
		}
	}
	return r
}

// arrived is the module's event of a message. A deadline that has not been through the journal is on the
// monotonic clock, so that a step of the wall clock does not move it.
func (n *Node) arrived(p *pendingMessage, deadline time.Time) choice.MessageArrived {
	return choice.MessageArrived{ID: p.choiceID(), Class: p.class, Tenant: p.tenant, Dest: p.dest, Key: p.key, Deadline: n.at(deadline)}
}

// tell hands the loop an event.
func (n *Node) tell(ctx context.Context, e any) {
	select {
	case n.events <- e:
	case <-ctx.Done():
	}
}

// hand hands in a client's request and waits for the answer.
func (n *Node) hand(ctx context.Context, q request) answer {
	a := arrival{request: q, reply: make(chan answer, 1)}
	n.tell(ctx, a)
	var r answer
	select {
	case r = <-a.reply:
	case <-ctx.Done():
		select {
		case r = <-a.reply:
		default:
			r = answer{refused: true, retryAfter: n.cfg.Settings.MaxRetryAfter} // the loop has ended and did not take it on
		}
	}
	if (r.refused || r.failure != "") && !r.countedElsewhere {
		n.figures.countUndelivered(q.class, !r.refused)
	}
	return r
}

// loop batches what has come and steps through it, until the node has left or is another process's.
func (n *Node) loop(ctx context.Context, gone <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(n.untilWake())
		notices := n.notices
		if len(n.owed) == 0 {
			notices = nil
		}
		var batch []any
		select {
		case e := <-n.events:
			batch = append(batch, e)
		case <-timer.C:
		case notices <- n.owed:
			n.owed = nil
			continue
		case o := <-n.commands:
			batch = append(batch, o)
		case l := <-n.heirs:
			if n.handOver(l) {
				return
			}
			continue
		case <-gone:
			return
		}
		for more := true; more && len(batch) < maxBatch; {
			select {
			case e := <-n.events:
				batch = append(batch, e)
			default:
				more = false
			}
		}
		n.take(ctx, batch)
	}
}

// untilWake is the time to the module's next wake, or to the next try of a journal that could not be written.
func (n *Node) untilWake() time.Duration {
	wait := time.Hour
	if n.wakeAt > 0 {
		wait = max(n.wakeAt-n.now(), 0)
	}
	if n.journal.incomplete {
		wait = min(wait, compactRetryDelay)
	}
	return wait
}

// newcomers are the messages of a batch, with all who handed them in: one id may stand there more than once.
type newcomers map[uint64][]arrival

func (w newcomers) reply(seq uint64, a answer) {
	for _, c := range w[seq] {
		c.reply <- a
	}
}

// take turns a batch into the module's events, and steps.
func (n *Node) take(ctx context.Context, batch []any) {
	var events []choice.Event
	fresh := newcomers{}
	for _, e := range batch {
		switch e := e.(type) {
		case registry.Update:
			n.told = e.Position()
			events = append(events, n.listed(e.List))
		case outcomeOf:
			events = append(events, n.elsewhere(e)...)
		case forebearGone:
			events = append(events, n.orphaned()...)
		case shareEvent:
			e.tell(n.own)
		case called:
			events = append(events, n.called(e)...)
		case settled:
			for _, s := range e {
				n.forget(s.message)
			}
		case choice.Stopping:
			events = append(events, e)
		case endpointCommand:
			events = append(events, n.bar(e)...)
		case arrival:
			if p := n.accept(e, fresh); p != nil {
				events = append(events, n.arrived(p, e.receivedAt.Add(e.ttl)))
			}
		}
	}
	// What the module is about to be told of, and the clients with it, rests on these records.
	if !n.flush() && len(fresh) > 0 { // these are turned away
		events = slices.DeleteFunc(events, func(e choice.Event) bool {
			_, isNew := e.(choice.MessageArrived)
			return isNew
		})
		for seq, all := range fresh {
			n.forget(n.journal.live[seq])
			fresh.reply(seq, n.turnAway(all[0]))
		}
		fresh = nil
	}
	if n.wakeAt > 0 && n.now() >= n.wakeAt {
		n.wakeAt = 0
		events = append(events, choice.WakeDue{Tag: "sweep"})
	}
	n.step(ctx, events, fresh)
}

// accept journals a new message and returns it; one that is not new, or can't be taken on, gets its answer.
func (n *Node) accept(a arrival, fresh newcomers) *pendingMessage {
	p := n.messages[a.id]
	switch {
	case p != nil && fresh[p.seq] != nil: // its fate is not known yet
		fresh[p.seq] = append(fresh[p.seq], a)
		return nil
	case p != nil: // taken on before: handed in again it has no second effect
		n.acts = append(n.acts, act{do: func() { a.reply <- answer{} }})
		return nil
	case n.own != nil && n.foreign(a):
		return nil
	case !n.sender.KnowsDestination(a.dest):
		a.reply <- answer{failure: "unknown destination"}
		return nil
	case n.cfg.Settings.MaxOpen > 0 && n.held >= n.cfg.Settings.MaxOpen:
		a.reply <- n.turnAway(a)
		return nil
	}
	p, err := n.journal.accept(
		&pendingMessage{id: a.id, key: a.key, class: a.class, tenant: a.tenant, dest: a.dest, body: a.body, deadline: a.receivedAt.Add(a.ttl)})
	if err != nil {
		a.reply <- n.turnAway(a)
		return nil
	}
	if n.own != nil {
		n.own.took(p)
	}
	n.messages[p.id] = p
	n.held++
	fresh[p.seq] = []arrival{a}
	return p
}

// turnAway refuses a message for want of room, before the module has heard of it.
func (n *Node) turnAway(a arrival) answer {
	return answer{refused: true, retryAfter: n.sender.RetryAfterIfFull(a.class, a.dest)}
}

// forget ends all that the node has of a message.
func (n *Node) forget(p *pendingMessage) {
	if n.messages[p.id] != p {
		return
	}
	if p.final == nil {
		n.held--
	}
	delete(n.messages, p.id)
	n.journal.add(newRecord(recordDone, p.seq))
}

// listed brings the endpoints up to date. Calls that have not written their first byte hear of it by shut.
func (n *Node) listed(l catalog.List) choice.ListUpdate {
	maps.DeleteFunc(n.waits, func(dest int, _ *atomic.Int64) bool { return !n.sender.KnowsDestination(dest) })
	l.Members = slices.DeleteFunc(l.Members, func(m catalog.Endpoint) bool { return m.ID == "" })
	entries := entries(l.Members, n.cfg.Names)
	named := map[string]bool{}
	for i, m := range l.Members {
		named[m.ID] = true
		n.members[m.ID] = m
		if entries[i].Phase == choice.Gone {
			delete(n.members, m.ID)
		}
		if _, known := n.journal.disabled[m.ID]; !known {
			n.journal.add(endpointRecord(recordListed, m.ID, time.Now()))
		}
		n.place(m, entries[i])
	}
	if l.Complete {
		for id, e := range n.eps {
			if !named[id] {
				n.shut(e)
			}
		}
		maps.DeleteFunc(n.members, func(id string, _ catalog.Endpoint) bool { return !named[id] })
	}
	return choice.ListUpdate{Complete: l.Complete, Entries: entries}
}

// place opens or shuts the way to an endpoint, as the list and the operators have it.
func (n *Node) place(m catalog.Endpoint, entry choice.Entry) {
	e := n.eps[m.ID]
	if entry.Phase != choice.Ready || n.journal.disabled[m.ID] {
		n.shut(e)
		return
	}
	if e == nil || e.addr != m.Addr {
		n.shut(e)
		n.eps[m.ID] = &endpoint{
			id: m.ID, addr: m.Addr, zone: entry.Zone, batch: n.batchOf(entry), wait: n.waitOf(entry),
		}
	}
}

// Bar leaves an endpoint out, or with lift lets it serve again. It returns once that is in the journal and the module
// has it, or when ctx ends; then it may yet be done. It may be called at any time, and again.
func (n *Node) SetEndpointEnabled(ctx context.Context, id string, lift bool) error {
	o := endpointCommand{id, lift, make(chan error, 1)}
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

// bar carries out what the operators say of an endpoint. Saying it again changes nothing.
func (n *Node) bar(o endpointCommand) []choice.Event {
	was, known := n.journal.disabled[o.id]
	if !known {
		o.reply <- ErrUnknownEndpoint
		return nil
	}
	n.acts = append(n.acts, act{do: func() { o.reply <- nil }})
	if was != o.enable {
		return nil
	}
	kind := recordDisabled
	if o.enable {
		kind = recordEnabled
	}
	n.journal.add(endpointRecord(kind, o.id, time.Now()))
	n.log.Info("by hand", "endpoint", o.id, "serves", o.enable)
	if m, listed := n.members[o.id]; listed {
		n.place(m, entries([]catalog.Endpoint{m}, n.cfg.Names)[0])
	}
	return []choice.Event{choice.EndpointDisabled{Endpoint: o.id, Lifted: o.enable}}
}

func (n *Node) shut(e *endpoint) {
	if e != nil {
		e.shut.Store(true)
		delete(n.eps, e.id)
		n.pool.hangUp(e.id, 0)
		if n.forebear != nil {
			n.forebear.send(message{Shut: e.id})
		}
	}
}

// batchOf is how many messages one call to an endpoint may carry.
func (n *Node) batchOf(e choice.Entry) int {
	if kinds := n.cfg.Settings.Kinds; e.Kind >= 0 && e.Kind < len(kinds) {
		return max(kinds[e.Kind].MaxBatch, 1)
	}
	return 1
}

// waitOf is where the waits are kept that bind an endpoint: its own if it is a route apart.
func (n *Node) waitOf(e choice.Entry) *atomic.Int64 {
	if kinds := n.cfg.Settings.Kinds; e.Kind >= 0 && e.Kind < len(kinds) && kinds[e.Kind].SeparateRoutes {
		return new(atomic.Int64)
	}
	if n.waits[e.Dest] == nil {
		n.waits[e.Dest] = new(atomic.Int64)
	}
	return n.waits[e.Dest]
}

// heed keeps what has not begun from an endpoint that told to wait.
func (e called) heed() {
	if e.wait > 0 {
		until := time.Now().Add(e.wait).UnixNano()
		e.endpoint.wait.Store(max(until, e.endpoint.wait.Load()))
	}
}

// called notes the outcome of a call for each of its messages. Without a record of it, the attempt may have run.
func (n *Node) called(e called) []choice.Event {
	e.heed()
	if e.wait > 0 && n.forebear != nil {
		n.forebear.send(message{Wait: &waitOf{e.endpoint.id, e.wait}})
	}
	events := make([]choice.Event, 0, len(e.attempts))
	for i, name := range e.attempts {
		m, fate := n.out[name].m, e.of(i)
		delete(n.out, name)
		ended := choice.AttemptEnded{
			ID: m.choiceID(), Attempt: name.n, Endpoint: e.endpoint.id, Outcome: fate.outcome, Took: e.took, Final: fate.closed, Ambiguous: fate.unsure,
			RetryAfter: e.wait, NoSlot: e.noSlot, Report: e.report, ReusedConn: e.kept, ConnClosed: e.hungUp,
		}
		ominous := n.sender.IndicatesOutage(m.dest, ended)
		switch fate.outcome {
		case choice.Rejected, choice.Unreachable, choice.Stale:
			kind := recordRejected
			if ominous {
				kind = recordNotRun
			}
			n.journal.add(outcomeRecord(kind, name.seq, name.n))
		default:
			if ominous {
				n.journal.add(outcomeRecord(recordFailed, name.seq, name.n))
			}
		}
		if fate.closed && m.final == nil {
			if fate.outcome == choice.Success {
				countClass(n.figures.ok, m.class)
			}
			n.forget(m)
		}
		events = append(events, ended)
	}
	return events
}

// step lets the module decide and carries out what it says, in order, once the records are written that guard
// it. fresh are the messages whose clients still wait to hear whether they are taken on.
func (n *Node) step(ctx context.Context, events []choice.Event, fresh newcomers) {
	calls := map[uint64]*outgoingCall{} // by the module's number: those that further sends of this step may join
	for _, a := range n.sender.Step(n.now(), events) {
		switch a := a.(type) {
		case choice.Send:
			n.send(ctx, a, calls)
		case choice.Refuse:
			n.end(a.ID, finalAnswer{retryAfter: a.RetryAfter}, fresh)
		case choice.Fail:
			n.end(a.ID, finalAnswer{failed: true}, fresh)
		case choice.Cancel:
			n.acts = append(n.acts, act{do: func() {
				if c, ok := n.out[attempt{parseChoiceID(a.ID), a.Attempt}]; ok {
					c.cancel()
				}
			}})
		case choice.CloseIdle:
			n.pool.hangUp(a.Endpoint, a.Keep)
		case choice.Wake:
			if n.wakeAt == 0 || a.At < n.wakeAt {
				n.wakeAt = a.At
			}
		case choice.LogLine:
			n.log.Info(a.Text)
		}
	}
	for seq := range fresh { // not refused, so taken on
		n.acts = append(n.acts, act{do: func() { fresh.reply(seq, answer{}) }})
	}
	n.show()
	if !n.flush() {
		n.unguarded(time.Now())
		return
	}
	for _, a := range n.acts {
		a.do()
	}
	n.acts = n.acts[:0]
}

// flush writes the journal, and tells whether it could. The log hears of it when that changes, not each time: it is
// tried again ten times a second and at every message.
func (n *Node) flush() bool {
	err := n.journal.flush()
	switch {
	case err != nil && n.stuckSince.IsZero():
		n.stuckSince = time.Now()
		n.log.Error("the journal can't be written; messages are turned away until it can", "acts", len(n.acts), "err", err)
	case err == nil && !n.stuckSince.IsZero():
		n.log.Info("the journal is written again", "after", time.Since(n.stuckSince).Round(time.Millisecond))
		n.stuckSince = time.Time{}
	}
	return err == nil
}

// unguarded does what needs no guard any more, while the journal can't be written: a full disk must not keep from the
// platform what has become of a message, nor from the module that a call was never begun.
func (n *Node) unguarded(now time.Time) {
	n.acts = slices.DeleteFunc(n.acts, func(a act) bool {
		if a.free.IsZero() || now.Before(a.free) {
			return false
		}
		a.do()
		return true
	})
}

// show brings the figures that the loop alone knows up to date.
func (n *Node) show() {
	listed, avoided := n.sender.EndpointCounts()
	n.figures.activeMessages.Store(int64(n.held))
	n.figures.listedEndpoints.Store(int64(listed))
	n.figures.avoidedEndpoints.Store(int64(avoided))
	n.revision.Store(n.told.Revision)
	if n.own != nil {
		n.own.show(n.figures)
	}
}

// end gives a message its final answer: to its client if that still waits, and by a notice otherwise.
func (n *Node) end(id string, e finalAnswer, fresh newcomers) {
	p := n.journal.live[parseChoiceID(id)]
	if p == nil || p.final != nil {
		return
	}
	if all, ok := fresh[p.seq]; ok {
		delete(fresh, p.seq)
		n.forget(p)
		reply := answer{refused: true, retryAfter: e.retryAfter}
		if e.failed {
			reply = answer{failure: "the message failed"}
		}
		n.acts = append(n.acts, act{do: func() { newcomers{p.seq: all}.reply(p.seq, reply) }})
		return
	}
	n.held--
	n.figures.countUndelivered(p.class, e.failed)
	n.journal.add(finalRecord(p.seq, e))
	notice := newNotice(p)
	n.acts = append(n.acts, act{do: func() { n.owed = append(n.owed, notice) }, free: p.deadline})
}

// outgoing is a call while its step gathers the messages for it.
type outgoingCall struct {
	call
	attempts []attempt
	messages []*pendingMessage
	room     int // what its items take in a batch's body
	place    int // among the acts
}

// send journals an attempt, and makes the call once that is written. What the module sends together travels as one
// call, as far as its kind and a body have room: the module counts one slot for it, and the endpoint one call.
func (n *Node) send(ctx context.Context, a choice.Send, calls map[uint64]*outgoingCall) {
	p, e := n.journal.live[parseChoiceID(a.ID)], n.eps[a.Endpoint]
	if p == nil {
		return // the module and the journal differ, which only a journal that was lost in a handover can make them
	}
	if e == nil {
		// The list has just lost it; a call there is Stale, and so proven not to have run.
		e = &endpoint{id: a.Endpoint, wait: new(atomic.Int64)}
		e.shut.Store(true)
	}
	name := attempt{p.seq, len(p.attempts)}
	n.journal.add(attemptRecord(p.seq, time.Now(), e.zone))
	one := item{p.id, p.key, p.body}
	o := calls[a.Call]
	if o == nil || len(o.items) >= e.batch || o.room+one.room() > maxBody {
		o = &outgoingCall{call: call{endpoint: e}}
		o.onWritten = func() { n.countWritten(o) }
		calls[a.Call] = o
		o.place = len(n.acts)
		n.acts = append(n.acts, act{do: func() { n.call(ctx, o) }})
	}
	o.items, o.room = append(o.items, one), o.room+one.room()
	o.attempts, o.messages = append(o.attempts, name), append(o.messages, p)
	// It ends for all at once: who gave up on one alone could not take it out of the call.
	if t := n.wall(a.TimeoutAt); t.After(o.notPast) {
		o.notPast = t
	}
	if t := n.wall(a.ResultBy); o.endBy.IsZero() || t.Before(o.endBy) {
		o.endBy = t
	}
	if t := n.wall(a.StartBy); a.StartBy > 0 && (o.startBy.IsZero() || t.Before(o.startBy)) {
		o.startBy = t
	}
	o.fresh = o.fresh || a.NewConn
	n.acts[o.place].free = o.notPast // begun then, it ends at once as one that was never sent
}

// wrote counts the messages of a call that is written whole.
func (n *Node) countWritten(o *outgoingCall) {
	for _, m := range o.messages {
		countClass(n.figures.tries, m.class)
	}
}

// call makes a call whose attempts are journaled.
func (n *Node) call(ctx context.Context, o *outgoingCall) {
	ctx, cancel := context.WithCancel(ctx)
	for i, name := range o.attempts {
		n.out[name] = outCall{m: o.messages[i], cancel: cancel}
	}
	n.calls.Go(func() {
		defer cancel()
		began := time.Now()
		res := n.pool.do(ctx, o.call)
		took := time.Since(began)
		if !res.heard.IsZero() {
			took = res.heard.Sub(began) // an answer may be spoilt from there on, and take its time
		}
		// Not by tell: the loop takes every call's end, also while the node leaves.
		n.events <- called{o.attempts, o.endpoint, res, took}
	})
}
