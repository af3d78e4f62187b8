package hollow

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/fleet/ownership"
	"starlingusher/internal/directory"
	"starlingusher/internal/lab/scale/play"
	"starlingusher/internal/node"
	"starlingusher/internal/registry"
)

const (
	ownersEach = 3               // of a partition
	fillEach   = 20_000          // endpoints of one write: 2.7 MB of the 16 that a write may have
	mapLease   = 5 * time.Second // for which the record is held while the map is written
	idleOwned  = 4 * time.Second // two heartbeats
	trailWait  = 50 * time.Millisecond
)

func ownedAxis() play.Axis {
	return play.Axis{
		Name: "owned", XUnit: "destination owned",
		Description: "one hollow node follows its share of the list of a whole fleet on a replica of the directory: so many destinations, by a map in which each has three owners. It is the node whose share is nearest to the point",
		Measures: []play.Measure{
			{ID: "owned.destinations.heap", Description: "heap of a node's control side, by the destinations it owns (1.7 endpoints each)", Unit: "B"},
			{ID: "owned.destinations.rss", Description: "resident memory that a node's control side adds to its process, by the destinations it owns", Unit: "B"},
			{ID: "owned.list.bytes", Description: "bytes that a node receives for the first list of its share, by the destinations in it; without the map", Unit: "B", Exact: true},
			{ID: "owned.map.bytes", Description: "bytes that a node receives for the map of owners, by the destinations it owns", Unit: "B", Exact: true},
			{ID: "owned.list.step", Description: "time for which a node's loop stands still for the first list of its share, by the destinations in it", Unit: "s"},
			{ID: "owned.change.step", Description: "time for which a node's loop stands still for a change of one endpoint of its share, by the destinations it owns", Unit: "s"},
			{ID: "owned.change.bytes", Description: "bytes that a node receives for a change of one endpoint of its share, by the destinations it owns", Unit: "B", Exact: true},
			{ID: "owned.empty.step", Description: "time that a node's loop takes for a step in which nothing is new, by the destinations it owns", Unit: "s"},
		},
		Settings: map[string]play.Setting{
			"nodes":   {Default: 820, Min: 24, Max: 2000, Description: "nodes in the map; the whole list has nodes/3 times the point's destinations"},
			"keep_kb": keepSetting,
			"changes": {Default: mostChanges, Min: 1, Max: 1000, Description: "changes of one endpoint each, first of the share and then of others; the figures are medians"},
			"quick":   quickSetting,
		},
		Play: playOwned,
	}
}

// realm is a fleet's destinations and who owns them.
type realm struct {
	endpoints int // in all
	owners    *ownership.Map
	node      int // the one whose share is nearest to the point,
	set       ownership.Set
	owned     int   // its destinations,
	mine      []int // its endpoints,
	others    []int // and some that are not its own
}

func memberName(n int) string { return fmt.Sprintf("n%d", n) }

// realmOf lays out a list of which one of so many nodes owns so many destinations on the average, and picks a node. Partitions are
// few to a node, so shares differ by some parts in a hundred.
func realmOf(x float64, nodes, others int) (*realm, error) {
	destinations := int(math.Round(x * float64(nodes) / ownersEach))
	if destinations < 1 {
		return nil, fmt.Errorf("%v destinations can't be owned", x)
	}
	var members []ownership.Member
	for n := range nodes {
		members = append(members, ownership.Member{Name: memberName(n), Zone: zones[n%len(zones)], Weight: 1})
	}
	r := &realm{endpoints: endpointsOf(destinations)}
	var err error
	if r.owners, err = ownership.Make(1, ownersEach, members, nil); err != nil {
		return nil, err
	}
	var held [ownership.PartitionCount]int
	for d := range destinations {
		held[ownership.PartitionOf(firstCell+d)]++
	}
	best := math.Inf(1)
	for n := range nodes {
		set, _ := r.owners.PartitionsOf(memberName(n))
		owned := 0
		for p := range set.All() {
			owned += held[p]
		}
		if far := math.Abs(float64(owned) - x); owned > 0 && far < best {
			best, r.node, r.set, r.owned = far, n, set, owned
		}
	}
	for i := range r.endpoints {
		if r.set.Has(ownership.PartitionOf(endpoint(i).Cell)) {
			r.mine = append(r.mine, i)
		} else if len(r.others) < others {
			r.others = append(r.others, i)
		}
	}
	if len(r.mine) == 0 || len(r.others) == 0 {
		return nil, fmt.Errorf("of %d endpoints the node owns %d; a share is more than none and less than all", r.endpoints, len(r.mine))
	}
	return r, nil
}

// openLarge starts one replica whose bound is raised, and writes a list of any length to it; it returns its revision.
func openLarge(ctx context.Context, s play.Spec, endpoints int) (*service, int64, error) {
	svc, err := openServiceOf(ctx, s, fmt.Sprintf("[list]\nmost = %d\n", max(endpoints, catalog.DefaultMaxEndpoints)), 1, false, listOf(1))
	if err != nil {
		return nil, 0, err
	}
	var revision int64
	for from := 0; from < endpoints && err == nil; from += fillEach {
		var some []catalog.Endpoint
		for i := from; i < min(from+fillEach, endpoints); i++ {
			some = append(some, endpoint(i))
		}
		revision, err = svc.write(ctx, some, false)
	}
	if err == nil {
		err = svc.reached(ctx, revision)
	}
	if err != nil {
		svc.close()
		return nil, 0, err
	}
	return svc, revision, nil
}

// putMap makes a map the directory's, and returns its size in the record.
func (s *service) putMap(ctx context.Context, m *ownership.Map) (int, error) {
	raw, err := m.Encode()
	if err != nil {
		return 0, err
	}
	const path = "/records/" + ownership.RecordName
	var w directory.WriteResult
	ask := func(method string, body object) error {
		raw, err := json.Marshal(body)
		if err == nil {
			raw, _, err = s.operator(s.replicas...).Do(ctx, method, path, "", raw)
		}
		if err == nil {
			err = json.Unmarshal(raw, &w)
		}
		if err != nil {
			err = fmt.Errorf("map of owners: %w", err)
		}
		return err
	}
	if err := ask(http.MethodPut, object{"holder": "scale", "ttl_ms": mapLease.Milliseconds(), "value": raw}); err != nil {
		return 0, err
	}
	return len(raw), ask(http.MethodDelete, object{"token": w.Token})
}

// partSize is how many endpoints a replica tells of some partitions.
func (s *service) partSize(ctx context.Context, set ownership.Set) (int, error) {
	raw, h, err := s.operator(s.replicas...).Do(ctx, http.MethodGet, "/registry/instances?partitions="+set.String(), "", nil)
	if err != nil {
		return 0, err
	}
	if h.Get(directory.HeaderPartitions) == "" {
		return 0, errors.New("the list was not parted")
	}
	var l catalog.List
	if err := json.Unmarshal(raw, &l); err != nil {
		return 0, fmt.Errorf("list of some partitions: %w", err)
	}
	for _, m := range l.Members {
		if !set.Has(ownership.PartitionOf(m.Cell)) {
			return 0, fmt.Errorf("the list of %v has %s of another partition", set, m.ID)
		}
	}
	return len(l.Members), nil
}

func playOwned(ctx context.Context, s play.Spec, log *slog.Logger) (r play.Reading, err error) {
	changes := int(s.Settings["changes"])
	of, err := realmOf(s.X, int(s.Settings["nodes"]), changes)
	if err != nil {
		return r, err
	}
	laid := time.Now()
	svc, _, err := openLarge(ctx, s, of.endpoints)
	if err != nil {
		return r, err
	}
	defer svc.close()
	r.SetCount("filled", time.Since(laid).Seconds())
	size, err := svc.putMap(ctx, of.owners)
	if err != nil {
		return r, err
	}
	st, err := svc.status(ctx, svc.replicas[0])
	if err != nil {
		return r, err
	}
	r.SetCount("endpoints", float64(len(of.mine)))
	r.SetCount("endpoints.all", float64(of.endpoints))
	r.SetCount("destinations", float64(of.owned))
	r.SetCount("partitions", float64(of.set.Len()))
	r.SetCount("map.size", float64(size))

	m, err := openMeter(svc.addresses(0)[0])
	if err != nil {
		return r, err
	}
	defer m.close()
	spec := Spec{
		Name: "h0", Number: of.node, Nodes: int(s.Settings["nodes"]), Dir: filepath.Join(s.Dir, "h0"), Addresses: []string{m.address()},
		KeepKB: keepFor(s, len(of.mine)), Fleet: fmt.Sprintf("[ownership]\nname = %q\nowners = %d\n", memberName(of.node), ownersEach),
	}
	if err := spec.Write(); err != nil {
		return r, err
	}
	n, err := newAlone(spec, log)
	if err != nil {
		return r, err
	}
	loop := n.loop
	asksList := func(path string) bool {
		return strings.HasPrefix(path, "/registry/") && strings.HasSuffix(path, "&partitions="+of.set.String())
	}
	// The loop has had the map when the node asks for the list of its share, and not yet the list.
	var once sync.Once
	var mapStep atomic.Int64
	m.hook(func(path string) {
		if asksList(path) {
			once.Do(func() {
				loop.after(ctx, 1) // an error is the context's, and the play's own
				worst, _ := loop.take()
				mapStep.Store(int64(worst))
			})
		}
	})
	n.run()
	defer func() { err = n.close(err) }()
	err = await(ctx, "the first list of the share", func() bool {
		at, have := n.CurrentList()
		return at >= st.Revision && have == len(of.mine)
	})
	if err != nil {
		return r, err
	}
	r.SetCount("ready", time.Since(n.began).Seconds())
	if err := loop.after(ctx, 1); err != nil {
		return r, err
	}
	worst, _ := loop.take()
	r.SetValue("owned.list.step", worst.Seconds())
	r.SetCount("map.step", time.Duration(mapStep.Load()).Seconds()) // with the file that it is kept in
	registry.Sleep(ctx, trailWait)                                  // a chunk's last two bytes come after what they end
	lists, asks := m.received(asksList)
	if asks == 1 {
		r.SetValue("owned.list.bytes", lists)
	} else {
		r.AddNote("the list was asked for %d times, so owned.list.bytes is missing", asks)
	}
	maps, asks := m.received(func(path string) bool { return strings.HasPrefix(path, "/records/") })
	if asks == 1 {
		r.SetValue("owned.map.bytes", maps)
	} else {
		r.AddNote("the map was asked for %d times, so owned.map.bytes is missing", asks)
	}
	every := func(string) bool { return true }
	all, _ := m.received(every) // also the list of the partition that it asks for before it has a map
	r.SetCount("start.bytes", all)

	var steps, lines []float64
	var at int64 = firstTurn
	change := func(which []int, i int) (int64, error) {
		at++
		return svc.write(ctx, []catalog.Endpoint{turned(which[i%len(which)], at)}, false)
	}
	known := func(revision int64) error {
		return await(ctx, "a change", func() bool { has, _ := n.CurrentList(); return has >= revision })
	}
	for i := range changes {
		loop.take()
		before, _ := m.received(asksList)
		revision, err := change(of.mine, i)
		if err == nil {
			err = known(revision)
		}
		if err == nil {
			err = loop.after(ctx, 1)
		}
		if err != nil {
			return r, err
		}
		after, _ := m.received(asksList)
		worst, _ := loop.take()
		steps, lines = append(steps, worst.Seconds()), append(lines, after-before)
	}
	r.SetValue("owned.change.step", median(steps))
	r.SetValue("owned.change.bytes", median(lines)) // a heartbeat may come with one of them
	r.SetCount("owned.change.step.worst", slices.Max(steps))

	// Changes of others' shares: the next heartbeat carries the revision on, and that is all.
	before, _ := m.received(asksList)
	var last int64
	for i := range changes {
		if last, err = change(of.others, i); err != nil {
			return r, err
		}
	}
	if err := known(last); err != nil {
		return r, err
	}
	registry.Sleep(ctx, trailWait)
	after, _ := m.received(asksList)
	r.SetCount("foreign.changes", float64(changes))
	r.SetCount("foreign.bytes", after-before)

	if s.Settings["quick"] == 0 {
		idle, _ := m.received(every)
		began := time.Now()
		registry.Sleep(ctx, idleOwned)
		still, _ := m.received(every)
		r.SetCount("idle.bytes_s", (still-idle)/time.Since(began).Seconds())
	}
	loop.close()
	empty, err := emptyStep(ctx, n.Node.Node)
	if err != nil {
		return r, err
	}
	r.SetValue("owned.empty.step", empty)
	registry.Sleep(ctx, keptWait)
	use, err := svc.use()
	if err != nil {
		return r, err
	}
	r.SetCount("directory.rss", use.rss[0])
	if err := n.read(&r, "owned.destinations"); err != nil {
		return r, err
	}

	// The truth: the node's count, the directory's list of the share, and the list that the node has kept.
	barrable, err := remembered(ctx, n.Node, of)
	if err != nil {
		return r, err
	}
	r.SetCount("remembered", float64(barrable))
	if barrable < len(of.mine) {
		r.AddNote("the journal remembers %d of the %d endpoints of the share: operators can't bar the others", barrable, len(of.mine))
	}
	told, err := svc.partSize(ctx, of.set)
	if err == nil && told != len(of.mine) {
		err = fmt.Errorf("the directory tells %d endpoints of a share of %d", told, len(of.mine))
	}
	if err == nil && spec.KeepKB > 0 {
		n.Close() // its error comes once more below
		err = keptIs(filepath.Join(spec.state(), shareFolder), of)
	}
	return r, err
}

const (
	firstTurn   = 1000    // so that all changes' times have as many digits
	shareFolder = "share" // of a node's state: where its list is, with [ownership]
)

// remembered is how many endpoints of its share a node's journal knows, so that operators can bar them. It also holds the node's
// count against the share.
func remembered(ctx context.Context, n *Node, of *realm) (known int, err error) {
	if _, have := n.CurrentList(); have != len(of.mine) {
		return 0, fmt.Errorf("the node has %d endpoints, its share %d", have, len(of.mine))
	}
	for _, i := range of.mine {
		switch err := n.SetEndpointEnabled(ctx, endpoint(i).ID, true); { // lifts what is not barred: nothing comes of it
		case err == nil:
			known++
		case !errors.Is(err, node.ErrUnknownEndpoint):
			return known, err
		}
	}
	return known, nil
}

// keptIs holds the list that a node has kept in a folder against its share. The node must have ended.
func keptIs(dir string, of *realm) error {
	k, err := registry.OpenListCache(dir, math.MaxInt64)
	if err != nil {
		return err
	}
	l, _, _, ok := k.List()
	if !ok {
		return errors.New("the node has kept no list")
	}
	have := map[string]bool{}
	for _, m := range l.Members {
		have[m.ID] = true
	}
	for _, i := range of.mine {
		if !have[endpoint(i).ID] {
			return fmt.Errorf("endpoint %s of the node's share is not in its list", endpoint(i).ID)
		}
	}
	if len(have) != len(of.mine) {
		return fmt.Errorf("the node's list has %d endpoints, its share %d", len(have), len(of.mine))
	}
	return nil
}

// meter stands before a replica and counts what each ask is answered with: bytes of TCP's payload, heads and frames included. Its
// maker owns it, until close.
type meter struct {
	ln net.Listener
	to string
	wg sync.WaitGroup

	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]bool
	asks   []*ask
	before func(path string)
}

type ask struct {
	path string
	in   float64
}

const meterBuffer = 16 << 10 // more than the head of an ask

func openMeter(to string) (*meter, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("meter: %w", err)
	}
	m := &meter{ln: ln, to: to, conns: map[net.Conn]bool{}}
	m.wg.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			m.wg.Go(func() { m.serve(nc) })
		}
	})
	return m, nil
}

func (m *meter) address() string { return m.ln.Addr().String() }

// hook has a function called before an ask is passed on, which waits for it.
func (m *meter) hook(before func(path string)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.before = before
}

// received is what all asks of some paths were answered with so far, and how many there were.
func (m *meter) received(which func(path string) bool) (in float64, asks int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.asks {
		if which(a.path) {
			in += a.in
			asks++
		}
	}
	return in, asks
}

func (m *meter) take(nc net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		nc.Close()
		return false
	}
	m.conns[nc] = true
	return true
}

func (m *meter) drop(nc net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, nc)
	nc.Close()
}

// serve passes bytes on both ways until either end closes.
func (m *meter) serve(client net.Conn) {
	if !m.take(client) {
		return
	}
	defer m.drop(client)
	replica, err := net.DialTimeout("tcp", m.to, changeWait)
	if err != nil || !m.take(replica) {
		return
	}
	defer m.drop(replica)
	var current *ask // under mu
	var back sync.WaitGroup
	back.Go(func() {
		defer client.Close()
		pass(client, replica, func(p []byte) {
			m.mu.Lock()
			defer m.mu.Unlock()
			if current != nil {
				current.in += float64(len(p))
			}
		})
	})
	pass(replica, client, func(p []byte) {
		path, ok := asked(p)
		if !ok {
			return
		}
		m.mu.Lock()
		current = &ask{path: path}
		m.asks = append(m.asks, current)
		before := m.before
		m.mu.Unlock()
		if before != nil {
			before(path)
		}
	})
	replica.Close()
	back.Wait()
}

// pass copies, and has each piece seen before it goes on.
func pass(to, from net.Conn, see func([]byte)) {
	buf := make([]byte, meterBuffer)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			see(buf[:n])
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// asked reads the path of an ask, which a client sends in one piece.
func asked(p []byte) (string, bool) {
	line, _, _ := bytes.Cut(p, []byte("\r\n"))
	f := strings.Fields(string(line))
	if len(f) != 3 || f[0] != http.MethodGet {
		return "", false
	}
	return f[1], true
}

func (m *meter) close() {
	m.mu.Lock()
	m.closed = true
	m.ln.Close()
	for nc := range m.conns {
		nc.Close()
	}
	m.mu.Unlock()
	m.wg.Wait()
}

func directoryAxis() play.Axis {
	return play.Axis{
		Name: "directory", XUnit: "destination",
		Description: "one replica of the directory, its bound raised, holds the whole list of so many destinations, with 1.7 endpoints each, and its index by partition; nobody watches it",
		Measures: []play.Measure{
			{ID: "directory.owned.rss", Description: "resident memory of a replica of the directory that tells lists by partition, by the destinations in its list", Unit: "B"},
			{ID: "directory.owned.start", Description: "time from the start of a killed replica, which is alone and has its log and no snapshot, until it serves, by the destinations in its list", Unit: "s"},
		},
		Play: playDirectory,
	}
}

func playDirectory(ctx context.Context, s play.Spec, _ *slog.Logger) (r play.Reading, err error) {
	endpoints := endpointsOf(int(s.X))
	began := time.Now()
	svc, revision, err := openLarge(ctx, s, endpoints)
	if err != nil {
		return r, err
	}
	defer svc.close()
	r.SetCount("endpoints", float64(endpoints))
	r.SetCount("filled", time.Since(began).Seconds())
	use, err := svc.use()
	if err != nil {
		return r, err
	}
	r.SetValue("directory.owned.rss", use.rss[0])
	if err := svc.replicas[0].Kill(); err != nil {
		return r, err
	}
	began = time.Now()
	if err := svc.replicas[0].Start(); err != nil {
		return r, err
	}
	if err := svc.reached(ctx, revision); err != nil {
		return r, err
	}
	r.SetValue("directory.owned.start", time.Since(began).Seconds())
	if use, err = svc.use(); err != nil {
		return r, err
	}
	r.SetCount("directory.owned.rss.again", use.rss[0])
	var set ownership.Set // a third of all
	told, mine := 0, 0
	for p := 0; p < ownership.PartitionCount; p += ownersEach {
		set.Add(p)
	}
	for i := range endpoints {
		if set.Has(ownership.PartitionOf(endpoint(i).Cell)) {
			mine++
		}
	}
	for _, some := range split(set, askParts) {
		n, err := svc.partSize(ctx, some)
		if err != nil {
			return r, err
		}
		told += n
	}
	if told != mine {
		return r, fmt.Errorf("the replica tells %d endpoints of partitions that have %d", told, mine)
	}
	return r, ctx.Err()
}

const askParts = 500 // partitions of one ask, whose head has 16 KB at most

// split is a set in pieces of at most so many partitions.
func split(set ownership.Set, most int) (all []ownership.Set) {
	var one ownership.Set
	for p := range set.All() {
		if one.Add(p); one.Len() == most {
			all, one = append(all, one), ownership.Set{}
		}
	}
	if one.Len() > 0 {
		all = append(all, one)
	}
	return all
}
