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
	"starlingusher/internal/sysretry"
)

const (
	ownersPerPartition = 3                     // nodes that own each partition
	fillBatch          = 20_000                // endpoints in one write: 2.7 MB of at most 16 MB
	mapLeaseTTL        = 5 * time.Second       // of the lease on the directory's record while the map is written
	ownedIdleWindow    = 4 * time.Second       // two heartbeats
	trailerWait        = 50 * time.Millisecond // until the end of an HTTP chunk has been counted too
)

// ownedAxis is the axis that grows the share of the list that one node owns.
func ownedAxis() play.Axis {
	return play.Axis{
		Name: "owned", XUnit: "destination owned",
		Description: "one hollow node follows its share of the list of a whole fleet on a replica of the directory: x destinations, by a map in which each has three owners. The node is the one whose share is nearest to the point",
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
			"keep_kb": cacheSetting,
			"changes": {Default: defaultChanges, Min: 1, Max: 1000, Description: "changes of one endpoint each, first in the share and then in others; the figures are medians"},
			"quick":   quickSetting,
		},
		Play: playOwned,
	}
}

// ownershipLayout is the destinations of a fleet and their owners.
type ownershipLayout struct {
	endpointCount  int // of the whole fleet
	ownerMap       *ownership.Map
	node           int // number of the node whose share is nearest to the point
	partitions     ownership.Set
	destinations   int   // number of the node's destinations
	ownEndpoints   []int // the node's endpoints, by number
	otherEndpoints []int // some endpoints of other nodes, by number
}

func memberName(n int) string { return fmt.Sprintf("n%d", n) }

// layOutOwnership lays out a fleet whose nodes own x destinations on average, and picks the node whose share
// is nearest to x. A node has few partitions, so shares differ by some percent. The layout names at most as
// many endpoints of other nodes as others says.
func layOutOwnership(x float64, nodes, others int) (*ownershipLayout, error) {
	destinations := int(math.Round(x * float64(nodes) / ownersPerPartition))
	if destinations < 1 {
		return nil, fmt.Errorf("axis owned: with %v destinations per node the fleet has none at all", x)
	}
	var members []ownership.Member
	for n := range nodes {
		members = append(members, ownership.Member{Name: memberName(n), Zone: zones[n%len(zones)], Weight: 1})
	}
	layout := &ownershipLayout{endpointCount: endpointCountOf(destinations)}
	var err error
	if layout.ownerMap, err = ownership.Make(1, ownersPerPartition, members, nil); err != nil {
		return nil, err
	}
	var destinationsOf [ownership.PartitionCount]int
	for d := range destinations {
		destinationsOf[ownership.PartitionOf(firstDest+d)]++
	}
	smallest := math.Inf(1)
	for n := range nodes {
		set, _ := layout.ownerMap.PartitionsOf(memberName(n))
		owned := 0
		for p := range set.All() {
			owned += destinationsOf[p]
		}
		if difference := math.Abs(float64(owned) - x); owned > 0 && difference < smallest {
			smallest, layout.node, layout.partitions, layout.destinations = difference, n, set, owned
		}
	}
	for i := range layout.endpointCount {
		if layout.partitions.Has(ownership.PartitionOf(endpointAt(i).Cell)) {
			layout.ownEndpoints = append(layout.ownEndpoints, i)
		} else if len(layout.otherEndpoints) < others {
			layout.otherEndpoints = append(layout.otherEndpoints, i)
		}
	}
	if len(layout.ownEndpoints) == 0 || len(layout.otherEndpoints) == 0 {
		return nil, fmt.Errorf("of %d endpoints the node owns %d; its share must be more than none and less than all", layout.endpointCount, len(layout.ownEndpoints))
	}
	return layout, nil
}

// openLargeService starts one replica that accepts as many endpoints as the list has, also more than
// catalog.DefaultMaxEndpoints. It writes the list to the replica and returns the list's revision.
func openLargeService(ctx context.Context, s play.Spec, endpoints int) (*service, int64, error) {
	svc, err := openServiceWith(ctx, s, fmt.Sprintf("[list]\nmost = %d\n", max(endpoints, catalog.DefaultMaxEndpoints)), 1, false, endpointList(1))
	if err != nil {
		return nil, 0, err
	}
	var revision int64
	for from := 0; from < endpoints && err == nil; from += fillBatch {
		var batch []catalog.Endpoint
		for i := from; i < min(from+fillBatch, endpoints); i++ {
			batch = append(batch, endpointAt(i))
		}
		revision, err = svc.write(ctx, batch, false)
	}
	if err == nil {
		err = svc.awaitReplicas(ctx, revision)
	}
	if err != nil {
		svc.close()
		return nil, 0, err
	}
	return svc, revision, nil
}

// putMap writes a map of owners into the directory's record, and returns the size of the encoded map in
// bytes.
func (s *service) putMap(ctx context.Context, m *ownership.Map) (int, error) {
	raw, err := m.Encode()
	if err != nil {
		return 0, err
	}
	const path = "/records/" + ownership.RecordName
	var w directory.WriteResult
	request := func(method string, body object) error {
		raw, err := json.Marshal(body)
		if err == nil {
			raw, _, err = s.operator(s.replicas...).Do(ctx, method, path, "", raw)
		}
		if err == nil {
			err = json.Unmarshal(raw, &w)
		}
		if err != nil {
			err = fmt.Errorf("write the map of owners: %w", err)
		}
		return err
	}
	if err := request(http.MethodPut, object{"holder": "scale", "ttl_ms": mapLeaseTTL.Milliseconds(), "value": raw}); err != nil {
		return 0, err
	}
	return len(raw), request(http.MethodDelete, object{"token": w.Token})
}

// partitionListSize returns the number of endpoints in a replica's list of some partitions.
func (s *service) partitionListSize(ctx context.Context, set ownership.Set) (int, error) {
	raw, h, err := s.operator(s.replicas...).Do(ctx, http.MethodGet, "/registry/instances?partitions="+set.String(), "", nil)
	if err != nil {
		return 0, err
	}
	if h.Get(directory.HeaderPartitions) == "" {
		return 0, errors.New("the response is not a partition list")
	}
	var l catalog.List
	if err := json.Unmarshal(raw, &l); err != nil {
		return 0, fmt.Errorf("decode a partition list: %w", err)
	}
	for _, m := range l.Members {
		if !set.Has(ownership.PartitionOf(m.Cell)) {
			return 0, fmt.Errorf("the list of partitions %v has endpoint %s of another partition", set, m.ID)
		}
	}
	return len(l.Members), nil
}

// playOwned plays a point of the axis owned: it fills one replica with the list of a whole fleet and a map of
// owners, starts one hollow node through a proxy that counts bytes, and measures its start and the changes
// inside and outside its share.
func playOwned(ctx context.Context, s play.Spec, log *slog.Logger) (r play.Reading, err error) {
	changes := int(s.Settings["changes"])
	layout, err := layOutOwnership(s.X, int(s.Settings["nodes"]), changes)
	if err != nil {
		return r, err
	}
	startedAt := time.Now()
	svc, _, err := openLargeService(ctx, s, layout.endpointCount)
	if err != nil {
		return r, err
	}
	defer svc.close()
	r.SetCount("filled", time.Since(startedAt).Seconds())
	size, err := svc.putMap(ctx, layout.ownerMap)
	if err != nil {
		return r, err
	}
	st, err := svc.status(ctx, svc.replicas[0])
	if err != nil {
		return r, err
	}
	r.SetCount("endpoints", float64(len(layout.ownEndpoints)))
	r.SetCount("endpoints.all", float64(layout.endpointCount))
	r.SetCount("destinations", float64(layout.destinations))
	r.SetCount("partitions", float64(layout.partitions.Len()))
	r.SetCount("map.size", float64(size))

	proxy, err := openMeteringProxy(svc.addresses(0)[0])
	if err != nil {
		return r, err
	}
	defer proxy.close()
	spec := Spec{
		Name: "h0", Number: layout.node, FleetSize: int(s.Settings["nodes"]), Dir: filepath.Join(s.Dir, "h0"), Addresses: []string{proxy.address()},
		CacheKB: cacheSizeFor(s, len(layout.ownEndpoints)), FleetTOML: fmt.Sprintf("[ownership]\nname = %q\nowners = %d\n", memberName(layout.node), ownersPerPartition),
	}
	if err := spec.Write(); err != nil {
		return r, err
	}
	node, err := newSoleNode(spec, log)
	if err != nil {
		return r, err
	}
	probe := node.probe
	isListRequest := func(path string) bool {
		return strings.HasPrefix(path, "/registry/") && strings.HasSuffix(path, "&partitions="+layout.partitions.String())
	}
	// When the node requests the list of its share, its loop has applied the map, and not yet the list.
	var once sync.Once
	var mapStep atomic.Int64
	proxy.setBeforeRequest(func(path string) {
		if isListRequest(path) {
			once.Do(func() {
				probe.awaitAnswers(ctx, 1) // fails only if the context has ended, which the play notices itself
				worst, _ := probe.takeWorst()
				mapStep.Store(int64(worst))
			})
		}
	})
	node.start()
	defer func() { err = node.close(err) }()
	err = await(ctx, "the first list of the share", func() bool {
		applied, count := node.CurrentList()
		return applied >= st.Revision && count == len(layout.ownEndpoints)
	})
	if err != nil {
		return r, err
	}
	r.SetCount("ready", time.Since(node.startedAt).Seconds())
	if err := probe.awaitAnswers(ctx, 1); err != nil {
		return r, err
	}
	worst, _ := probe.takeWorst()
	r.SetValue("owned.list.step", worst.Seconds())
	r.SetCount("map.step", time.Duration(mapStep.Load()).Seconds()) // includes writing the map's file
	sysretry.Sleep(ctx, trailerWait)                                // the last two bytes of an HTTP chunk may come after its line
	listBytes, requests := proxy.responseBytes(isListRequest)
	if requests == 1 {
		r.SetValue("owned.list.bytes", listBytes)
	} else {
		r.AddNote("the list was requested %d times, so owned.list.bytes is missing", requests)
	}
	mapBytes, requests := proxy.responseBytes(func(path string) bool { return strings.HasPrefix(path, "/records/") })
	if requests == 1 {
		r.SetValue("owned.map.bytes", mapBytes)
	} else {
		r.AddNote("the map was requested %d times, so owned.map.bytes is missing", requests)
	}
	anyPath := func(string) bool { return true }
	startBytes, _ := proxy.responseBytes(anyPath) // also the list of the one partition that the node requests before it has a map
	r.SetCount("start.bytes", startBytes)

	var steps, changeBytes []float64
	var upSince int64 = firstChangeTime
	change := func(numbers []int, i int) (int64, error) {
		upSince++
		return svc.write(ctx, []catalog.Endpoint{changedEndpoint(numbers[i%len(numbers)], upSince)}, false)
	}
	awaitRevision := func(revision int64) error {
		return await(ctx, "a change", func() bool { applied, _ := node.CurrentList(); return applied >= revision })
	}
	for i := range changes {
		probe.takeWorst()
		before, _ := proxy.responseBytes(isListRequest)
		revision, err := change(layout.ownEndpoints, i)
		if err == nil {
			err = awaitRevision(revision)
		}
		if err == nil {
			err = probe.awaitAnswers(ctx, 1)
		}
		if err != nil {
			return r, err
		}
		after, _ := proxy.responseBytes(isListRequest)
		worst, _ := probe.takeWorst()
		steps, changeBytes = append(steps, worst.Seconds()), append(changeBytes, after-before)
	}
	r.SetValue("owned.change.step", median(steps))
	r.SetValue("owned.change.bytes", median(changeBytes)) // the median, as a heartbeat may come with one of them
	r.SetCount("owned.change.step.worst", slices.Max(steps))

	// Changes of other shares cost only the next heartbeat, which carries the new revision.
	before, _ := proxy.responseBytes(isListRequest)
	var last int64
	for i := range changes {
		if last, err = change(layout.otherEndpoints, i); err != nil {
			return r, err
		}
	}
	if err := awaitRevision(last); err != nil {
		return r, err
	}
	sysretry.Sleep(ctx, trailerWait)
	after, _ := proxy.responseBytes(isListRequest)
	r.SetCount("foreign.changes", float64(changes))
	r.SetCount("foreign.bytes", after-before)

	if s.Settings["quick"] == 0 {
		idleBefore, _ := proxy.responseBytes(anyPath)
		startedAt := time.Now()
		sysretry.Sleep(ctx, ownedIdleWindow)
		idleAfter, _ := proxy.responseBytes(anyPath)
		r.SetCount("idle.bytes_s", (idleAfter-idleBefore)/time.Since(startedAt).Seconds())
	}
	probe.close()
	empty, err := measureEmptyStep(ctx, node.Node.Node)
	if err != nil {
		return r, err
	}
	r.SetValue("owned.empty.step", empty)
	sysretry.Sleep(ctx, cacheWriteWait)
	use, err := svc.readUse()
	if err != nil {
		return r, err
	}
	r.SetCount("directory.rss", use.rss[0])
	if err := node.readMemory(&r, "owned.destinations"); err != nil {
		return r, err
	}

	// Check the node's endpoint count, the directory's list of the share, and the node's list cache against
	// the share.
	known, err := countKnownEndpoints(ctx, node.Node, layout)
	if err != nil {
		return r, err
	}
	r.SetCount("remembered", float64(known))
	if known < len(layout.ownEndpoints) {
		r.AddNote("the journal knows %d of the %d endpoints of the share: operators can't disable the others", known, len(layout.ownEndpoints))
	}
	listed, err := svc.partitionListSize(ctx, layout.partitions)
	if err == nil && listed != len(layout.ownEndpoints) {
		err = fmt.Errorf("the directory lists %d endpoints of a share of %d", listed, len(layout.ownEndpoints))
	}
	if err == nil && spec.CacheKB > 0 {
		node.Close() // its error is returned by the second call, in the deferred function
		err = checkCachedList(filepath.Join(spec.stateDir(), shareDir), layout)
	}
	return r, err
}

const (
	firstChangeTime = 1000    // start times (Endpoint.UpSince) begin here, so that all have the same number of digits and changes the same size
	shareDir        = "share" // in a node's state folder: holds its list cache if it has [ownership]
)

// countKnownEndpoints returns how many endpoints of its share a node's journal knows, so that operators can
// disable them. It also checks the node's endpoint count against the share.
func countKnownEndpoints(ctx context.Context, n *Node, layout *ownershipLayout) (known int, err error) {
	if _, count := n.CurrentList(); count != len(layout.ownEndpoints) {
		return 0, fmt.Errorf("the node has %d endpoints, its share has %d", count, len(layout.ownEndpoints))
	}
	for _, i := range layout.ownEndpoints {
		switch err := n.SetEndpointEnabled(ctx, endpointAt(i).ID, true); { // enables what is not disabled, which has no effect
		case err == nil:
			known++
		case !errors.Is(err, node.ErrUnknownEndpoint):
			return known, err
		}
	}
	return known, nil
}

// checkCachedList checks the list cache of a node that has stopped against its share.
func checkCachedList(dir string, layout *ownershipLayout) error {
	cache, err := registry.OpenListCache(dir, math.MaxInt64)
	if err != nil {
		return err
	}
	l, _, _, ok := cache.List()
	if !ok {
		return errors.New("the node has no list cache")
	}
	cached := map[string]bool{}
	for _, m := range l.Members {
		cached[m.ID] = true
	}
	for _, i := range layout.ownEndpoints {
		if !cached[endpointAt(i).ID] {
			return fmt.Errorf("endpoint %s of the node's share is not in its list cache", endpointAt(i).ID)
		}
	}
	if len(cached) != len(layout.ownEndpoints) {
		return fmt.Errorf("the node's list cache has %d endpoints, its share has %d", len(cached), len(layout.ownEndpoints))
	}
	return nil
}

// meteringProxy is a proxy in front of a replica. It counts the bytes of each response: TCP payload, with
// HTTP headers and framing. Its owner must call close.
type meteringProxy struct {
	ln     net.Listener
	target string
	wg     sync.WaitGroup

	mu            sync.Mutex
	closed        bool
	conns         map[net.Conn]bool
	requests      []*request
	beforeRequest func(path string)
}

// request is one request that the proxy has forwarded, and the bytes of its response so far.
type request struct {
	path          string
	responseBytes float64
}

const proxyBuffer = 16 << 10 // larger than the header of a request

func openMeteringProxy(target string) (*meteringProxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("metering proxy: %w", err)
	}
	proxy := &meteringProxy{ln: ln, target: target, conns: map[net.Conn]bool{}}
	proxy.wg.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			proxy.wg.Go(func() { proxy.serve(nc) })
		}
	})
	return proxy, nil
}

func (proxy *meteringProxy) address() string { return proxy.ln.Addr().String() }

// setBeforeRequest sets a function that is called before a request is forwarded; the request waits for it.
func (proxy *meteringProxy) setBeforeRequest(hook func(path string)) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.beforeRequest = hook
}

// responseBytes returns the response bytes of all requests whose path matches so far, and the number of these
// requests.
func (proxy *meteringProxy) responseBytes(match func(path string) bool) (total float64, requests int) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for _, req := range proxy.requests {
		if match(req.path) {
			total += req.responseBytes
			requests++
		}
	}
	return total, requests
}

func (proxy *meteringProxy) addConn(nc net.Conn) bool {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if proxy.closed {
		nc.Close()
		return false
	}
	proxy.conns[nc] = true
	return true
}

func (proxy *meteringProxy) dropConn(nc net.Conn) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	delete(proxy.conns, nc)
	nc.Close()
}

// serve forwards bytes in both directions until either end closes.
func (proxy *meteringProxy) serve(client net.Conn) {
	if !proxy.addConn(client) {
		return
	}
	defer proxy.dropConn(client)
	replica, err := net.DialTimeout("tcp", proxy.target, changeWriteTimeout)
	if err != nil || !proxy.addConn(replica) {
		return
	}
	defer proxy.dropConn(replica)
	var current *request // guarded by mu
	var responsesDone sync.WaitGroup
	responsesDone.Go(func() {
		defer client.Close()
		copyObserved(client, replica, func(p []byte) {
			proxy.mu.Lock()
			defer proxy.mu.Unlock()
			if current != nil {
				current.responseBytes += float64(len(p))
			}
		})
	})
	copyObserved(replica, client, func(p []byte) {
		path, ok := requestPath(p)
		if !ok {
			return
		}
		proxy.mu.Lock()
		current = &request{path: path}
		proxy.requests = append(proxy.requests, current)
		hook := proxy.beforeRequest
		proxy.mu.Unlock()
		if hook != nil {
			hook(path)
		}
	})
	replica.Close()
	responsesDone.Wait()
}

// copyObserved copies, and calls observe with each piece before it is forwarded.
func copyObserved(to, from net.Conn, observe func([]byte)) {
	buf := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			observe(buf[:n])
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// requestPath returns the path and query of a GET request, given the data that it begins with. It reports
// false if the data does not begin with one. A client sends a request in one piece.
func requestPath(p []byte) (string, bool) {
	line, _, _ := bytes.Cut(p, []byte("\r\n"))
	f := strings.Fields(string(line))
	if len(f) != 3 || f[0] != http.MethodGet {
		return "", false
	}
	return f[1], true
}

func (proxy *meteringProxy) close() {
	proxy.mu.Lock()
	proxy.closed = true
	proxy.ln.Close()
	for nc := range proxy.conns {
		nc.Close()
	}
	proxy.mu.Unlock()
	proxy.wg.Wait()
}

// directoryAxis is the axis that grows the list of a replica without nodes.
func directoryAxis() play.Axis {
	return play.Axis{
		Name: "directory", XUnit: "destination",
		Description: "one replica of the directory with a raised cap holds the complete list of x destinations with 1.7 endpoints each, and its index by partition; nobody watches it",
		Measures: []play.Measure{
			{ID: "directory.owned.rss", Description: "resident memory of a replica of the directory that tells lists by partition, by the destinations in its list", Unit: "B"},
			{ID: "directory.owned.start", Description: "time from the start of a killed replica, which is alone and has its log and no snapshot, until it serves, by the destinations in its list", Unit: "s"},
		},
		Play: playDirectory,
	}
}

// playDirectory plays a point of the axis directory: it fills one replica, kills and restarts it, and checks
// the lists by partition that it then serves.
func playDirectory(ctx context.Context, s play.Spec, _ *slog.Logger) (r play.Reading, err error) {
	endpoints := endpointCountOf(int(s.X))
	startedAt := time.Now()
	svc, revision, err := openLargeService(ctx, s, endpoints)
	if err != nil {
		return r, err
	}
	defer svc.close()
	r.SetCount("endpoints", float64(endpoints))
	r.SetCount("filled", time.Since(startedAt).Seconds())
	use, err := svc.readUse()
	if err != nil {
		return r, err
	}
	r.SetValue("directory.owned.rss", use.rss[0])
	if err := svc.replicas[0].Kill(); err != nil {
		return r, err
	}
	startedAt = time.Now()
	if err := svc.replicas[0].Start(); err != nil {
		return r, err
	}
	if err := svc.awaitReplicas(ctx, revision); err != nil {
		return r, err
	}
	r.SetValue("directory.owned.start", time.Since(startedAt).Seconds())
	if use, err = svc.readUse(); err != nil {
		return r, err
	}
	r.SetCount("directory.owned.rss.again", use.rss[0])
	var set ownership.Set // a third of all partitions
	listed, want := 0, 0
	for p := 0; p < ownership.PartitionCount; p += ownersPerPartition {
		set.Add(p)
	}
	for i := range endpoints {
		if set.Has(ownership.PartitionOf(endpointAt(i).Cell)) {
			want++
		}
	}
	for _, part := range splitPartitions(set, maxPartitionsPerRequest) {
		n, err := svc.partitionListSize(ctx, part)
		if err != nil {
			return r, err
		}
		listed += n
	}
	if listed != want {
		return r, fmt.Errorf("the replica lists %d endpoints of partitions that have %d", listed, want)
	}
	return r, ctx.Err()
}

const maxPartitionsPerRequest = 500 // keeps the request's header below the 16 KB that it may have

// splitPartitions splits a set into sets of at most this many partitions.
func splitPartitions(set ownership.Set, maxSize int) (parts []ownership.Set) {
	var part ownership.Set
	for p := range set.All() {
		if part.Add(p); part.Len() == maxSize {
			parts, part = append(parts, part), ownership.Set{}
		}
	}
	if part.Len() > 0 {
		parts = append(parts, part)
	}
	return parts
}
