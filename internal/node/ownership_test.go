package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io/fs"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"starlingusher/choice"
	"starlingusher/fleet/catalog"
	"starlingusher/fleet/ownership"
	"starlingusher/internal/registry"
)

// fakeDirectory is a directory replica on a loopback socket. It serves lists by partition, and the record of
// the map of owners.
type fakeDirectory struct {
	srv *httptest.Server

	mu            sync.Mutex
	revision      int64
	history       int64
	members       map[string]catalog.Endpoint
	changes       []catalog.List // all changes, in their order
	mapNumber     int64
	mapValue      []byte
	changed       chan struct{} // closed at any change
	requests      []string      // method and URI of each request
	unpartitioned bool          // behaves as a build that knows no partitions
	holdFirstLine chan struct{} // unless nil, the first line of a watch waits for it
	notices       []string
	watchCtx      context.Context
	endWatches    context.CancelFunc
}

func newDirectory(t *testing.T) *fakeDirectory {
	t.Helper()
	d := &fakeDirectory{history: 1, members: map[string]catalog.Endpoint{}, changed: make(chan struct{})}
	d.watchCtx, d.endWatches = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", d.watch)
	mux.HandleFunc("GET /records/{name}", func(w http.ResponseWriter, req *http.Request) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.requests = append(d.requests, req.Method+" "+req.URL.RequestURI())
		if d.mapNumber == 0 || req.PathValue("name") != ownership.RecordName {
			http.Error(w, `{"error":"none","outcome":"refused"}`, http.StatusNotFound)
			return
		}
		json.NewEncoder(w).Encode(catalog.Record{Name: ownership.RecordName, Token: 1, Value: d.mapValue})
	})
	mux.HandleFunc("POST /reports", func(w http.ResponseWriter, req *http.Request) {
		for lines := json.NewDecoder(req.Body); ; {
			var n struct{ ID, State string }
			if lines.Decode(&n) != nil {
				break
			}
			d.mu.Lock()
			d.notices = append(d.notices, n.ID+" "+n.State)
			d.mu.Unlock()
		}
		w.WriteHeader(http.StatusNoContent)
	})
	d.srv = httptest.NewServer(mux)
	t.Cleanup(d.close)
	return d
}

func (d *fakeDirectory) close() {
	d.endWatches()
	d.srv.CloseClientConnections()
	d.srv.Close()
}

func (d *fakeDirectory) addr() string { return d.srv.Listener.Addr().String() }

func (d *fakeDirectory) watch(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	set, err := ownership.ParseSet(q.Get("partitions"))
	d.mu.Lock()
	d.requests = append(d.requests, req.Method+" "+req.URL.RequestURI())
	unpartitioned, hold, cut := d.unpartitioned || !q.Has("partitions"), d.holdFirstLine, d.watchCtx
	w.Header().Set("Registry-History", strconv.FormatInt(d.history, 10))
	if !unpartitioned {
		w.Header().Set("Registry-Partitions", strconv.Itoa(ownership.PartitionCount))
		w.Header().Set("Registry-Map", strconv.FormatInt(d.mapNumber, 10))
	}
	d.mu.Unlock()
	if !unpartitioned && (err != nil || set.Len() == 0) {
		http.Error(w, "partitions", http.StatusBadRequest)
		return
	}
	if hold != nil {
		w.(http.Flusher).Flush()
		select {
		case <-hold:
		case <-cut.Done():
			return
		case <-req.Context().Done():
			return
		}
	}
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	named := int64(0)
	for first := true; ; first = false {
		d.mu.Lock()
		more := d.changed
		var lists []catalog.List
		if first && after <= 0 {
			all := catalog.List{Revision: d.revision, Complete: true}
			for _, m := range d.members {
				all.Members = append(all.Members, m)
			}
			lists = append(lists, all)
		} else {
			for _, l := range d.changes {
				if l.Revision > after {
					lists = append(lists, l)
				}
			}
		}
		if !unpartitioned && (first || d.mapNumber != named) && len(lists) == 0 {
			lists = append(lists, catalog.List{Revision: d.revision})
		}
		if !unpartitioned {
			named = d.mapNumber
			for i := range lists {
				lists[i].Map = named
			}
		}
		after = d.revision
		d.mu.Unlock()
		for _, l := range lists {
			part := []catalog.Endpoint{}
			for _, m := range l.Members {
				if unpartitioned || set.Has(ownership.PartitionOf(m.Cell)) {
					part = append(part, m)
				}
			}
			l.Members = part
			json.NewEncoder(w).Encode(l)
		}
		w.(http.Flusher).Flush()
		for waiting := true; waiting; {
			select {
			case <-more:
				waiting = false
			case <-time.After(500 * time.Millisecond):
				fmt.Fprintln(w)
				w.(http.Flusher).Flush()
			case <-cut.Done():
				return
			case <-req.Context().Done():
				return
			}
		}
	}
}

// change runs f with the lock held and wakes the watches.
func (d *fakeDirectory) change(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *fakeDirectory) put(members ...catalog.Endpoint) {
	d.change(func() {
		d.revision++
		for _, m := range members {
			if d.members[m.ID] = m; m.Phase == catalog.Deleted {
				delete(d.members, m.ID)
			}
		}
		d.changes = append(d.changes, catalog.List{Revision: d.revision, Members: members})
	})
}

func (d *fakeDirectory) setMap(t *testing.T, m *ownership.Map) {
	t.Helper()
	raw, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	d.change(func() { d.mapNumber, d.mapValue = m.Number, raw })
}

// cutWatches ends the open watches.
func (d *fakeDirectory) cutWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endWatches()
	d.watchCtx, d.endWatches = context.WithCancel(context.Background())
}

func (d *fakeDirectory) countRequests(part string) (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.requests {
		if strings.Contains(a, part) {
			n++
		}
	}
	return n
}

func (d *fakeDirectory) noticeTexts() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.notices)
}

func testMember(id, addr string, dest int, phase string) catalog.Endpoint {
	return catalog.Endpoint{ID: id, Addr: addr, Locality: "z", Flavor: "m", Cell: dest, Phase: phase, Size: 1000}
}

// testMap makes a map with one owner for each partition.
func testMap(t *testing.T, number int64, before *ownership.Map, names ...string) *ownership.Map {
	t.Helper()
	var members []ownership.Member
	for i, n := range names {
		members = append(members, ownership.Member{Name: n, Zone: "z" + itoa(i%3), Weight: 1})
	}
	m, err := ownership.Make(number, 1, members, before)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// splitMaps returns a map in which n1 owns all partitions, its successor in which n1 shares them with n2, and
// destinations: those that stay with n1, and those that move.
func splitMaps(t *testing.T) (all, half *ownership.Map, retained, moved []int) {
	t.Helper()
	all = testMap(t, 1, nil, "n1")
	half = testMap(t, 2, all, "n1", "n2")
	own, _ := half.PartitionsOf("n1")
	for d := 1; len(retained) < 5 || len(moved) < 5; d++ {
		if own.Has(ownership.PartitionOf(d)) {
			retained = append(retained, d)
		} else {
			moved = append(moved, d)
		}
	}
	return all, half, retained, moved
}

// ownerNamed1 configures a node as the owner n1.
func ownerNamed1(addrs ...string) func(*Config) {
	return func(c *Config) {
		c.Fleet.Registry.Addresses, c.Fleet.Registry.KeepKB = addrs, 64
		c.Fleet.Ownership = &Ownership{Name: "n1", Owners: 3}
	}
}

// logLines collects the lines of a log.
type logLines struct {
	mu    sync.Mutex
	lines []string
}

func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(b))
	return len(b), nil
}

func (l *logLines) count(part string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, one := range l.lines {
		if strings.Contains(one, part) {
			n++
		}
	}
	return n
}

// ownerNode is a running node that is the owner n1.
type ownerNode struct {
	*nodeProcess
	log  *logLines
	stop func()
}

func ownerConfig(t *testing.T, state, addr string, alter func(*Config)) Config {
	t.Helper()
	cfg, err := LoadConfig(writeConfig(t, addr, "127.0.0.1:9"), state)
	if err != nil {
		t.Fatal(err)
	}
	alter(&cfg)
	return cfg
}

// startOwner starts a process of a node, at addr if that is not empty. Unless inspect is nil, it gets the
// node before that runs.
func startOwner(t *testing.T, state, addr string, alter func(*Config), inspect func(*Node)) *ownerNode {
	t.Helper()
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	cfg := ownerConfig(t, state, addr, alter)
	o := &ownerNode{nodeProcess: &nodeProcess{done: make(chan error, 1)}, log: &logLines{}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	n, ln, err := Start(ctx, cfg, slog.New(slog.NewTextHandler(o.log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	if inspect != nil {
		inspect(n)
	}
	o.node, o.addr, o.cancel = n, ln.Addr().String(), cancel
	go func() { o.done <- n.Run(ctx, ln) }()
	o.stop = sync.OnceFunc(func() {
		cancel()
		if err := o.wait(t); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(o.stop)
	return o
}

// followed returns the followed partitions as in the metrics.
func (o *ownerNode) followed() followedPartitions {
	if s := o.node.metrics.ownership.Load(); s != nil {
		return *s
	}
	return followedPartitions{}
}

func (o *ownerNode) ready(t *testing.T) {
	t.Helper()
	eventually(t, "ready", func() bool { return o.node.NotReadyReason() == "" })
}

func (o *ownerNode) awaitMap(t *testing.T, number int64) {
	t.Helper()
	eventually(t, fmt.Sprint("map ", number), func() bool { return o.followed().mapNumber == number })
}

// awaitAccepted waits until a request is accepted.
func (o *ownerNode) awaitAccepted(t *testing.T, text string) {
	t.Helper()
	eventually(t, "it is accepted", func() bool { return roundTrip(t, o.addr, text) == "+OK" })
}

func messageFields(class string, dest int) string {
	return fmt.Sprintf("c=%s,d=50000,dest=%d,k=key%d", class, dest, dest)
}

const busyAnswer = "-BUSY 3000"

// A node accepts messages for its partitions once it has their list. It refuses all others with a
// retry-after, before anything is written.
func TestOwnerAcceptsItsPartitions(t *testing.T) {
	t.Parallel()
	_, half, retained, moved := splitMaps(t)
	p, d, state := newFakeEndpoint(t, respondWith(okResponse)), newDirectory(t), t.TempDir()
	d.put(testMember("e1", p.addr(), retained[0], "SERVING"), testMember("e2", p.addr(), moved[0], "SERVING"))
	o := startOwner(t, state, "", ownerNamed1(d.addr()), nil)
	mustAnswer(t, o.addr, enqueueCommand("early", messageFields("status", retained[0]), ""), busyAnswer)
	if why := o.node.NotReadyReason(); why != "no map of owners is known" {
		t.Errorf("without a map: %q", why)
	}
	d.setMap(t, half)
	o.ready(t)
	mustAnswer(t, o.addr, enqueueCommand("mine", messageFields("order", retained[0]), ""), "+OK")
	p.nextRequest(t)
	mustAnswer(t, o.addr, enqueueCommand("foreign", messageFields("order", moved[0]), ""), busyAnswer)
	mustAnswer(t, o.addr, enqueueCommand("nowhere", messageFields("order", retained[1]), ""), "-ERR unknown destination")
	var text strings.Builder
	o.node.metrics.write(&text)
	for _, want := range []string{
		"app.map:2|g\n", fmt.Sprintf("app.partitions_owned:%d|g\n", o.followed().owned.Len()), "app.partitions_lingering:0|g\n",
		"app.not_owned:2|c\n", "app.pool_size:1|g\n",
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %q in %s", want, text.String())
		}
	}
	d.setMap(t, testMap(t, 3, half, "n2"))
	eventually(t, "not in the map", func() bool { return o.node.NotReadyReason() == "not in the map of owners" })
	mustAnswer(t, o.addr, enqueueCommand("late", messageFields("order", retained[0]), ""), busyAnswer)
	o.stop()
	raw, err := os.ReadFile(filepath.Join(state, journalName))
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"early", "foreign", "nowhere", "late"} {
		if strings.Contains(string(raw), id) {
			t.Errorf("%s is in the journal", id)
		}
	}
	if !strings.Contains(string(raw), "mine") {
		t.Error("the journal is not where it is looked for")
	}
}

// A message accepted before its partition was lost ends as if it still were owned: its list is still
// followed, and a client that submits it again is told that it was accepted. New messages are refused.
func TestLostPartitionsKeepAcceptedMessages(t *testing.T) {
	t.Parallel()
	all, half, retained, moved := splitMaps(t)
	p, d := newFakeEndpoint(t, respondWith(okResponse)), newDirectory(t)
	d.put(testMember("e1", "127.0.0.1:9", moved[0], "DRAINING"), testMember("e2", p.addr(), retained[0], "SERVING"))
	d.setMap(t, all)
	o := startOwner(t, t.TempDir(), "", ownerNamed1(d.addr()), func(n *Node) { n.ownership.maxDeadline = 300 * time.Millisecond })
	o.ready(t)
	mustAnswer(t, o.addr, enqueueCommand("a", messageFields("order", moved[0]), ""), "+OK")
	d.setMap(t, half)
	o.awaitMap(t, 2)
	mustAnswer(t, o.addr, enqueueCommand("a", messageFields("order", moved[0]), ""), "+OK")
	mustAnswer(t, o.addr, enqueueCommand("b", messageFields("order", moved[0]), ""), busyAnswer)
	if !slices.ContainsFunc(o.followed().lingering, func(l lingeringPartitions) bool { // a has 50 s
		return l.set.Has(ownership.PartitionOf(moved[0])) && time.Until(l.until) > 20*time.Second
	}) {
		t.Fatalf("lingering: %+v", o.followed().lingering)
	}
	d.put(testMember("e3", p.addr(), moved[0], "SERVING"))
	if id := p.nextRequest(t).Header.Get("X-Trace-Id"); id != "a" {
		t.Errorf("got %q", id)
	}
	mustAnswer(t, o.addr, enqueueCommand("c", messageFields("order", retained[0]), ""), "+OK")
	p.nextRequest(t)
	if requests := d.countRequests("watch=1&after=0&history"); requests+d.countRequests("watch=1&after=0&part") > 2 { // one of the map, and one of all lists
		t.Errorf("requests %q", d.requests)
	}
	if calls, _ := p.counts(); calls != 2 {
		t.Errorf("%d calls", calls)
	}
}

// A lost partition is no longer followed once its last message has had its time. The watch continues with the
// others, whose endpoints keep even their connections.
func TestLostPartitionsAreDropped(t *testing.T) {
	t.Parallel()
	all, half, retained, moved := splitMaps(t)
	p, d := newFakeEndpoint(t, respondWith(okResponse)), newDirectory(t)
	d.put(testMember("e1", p.addr(), moved[0], "SERVING"), testMember("e2", p.addr(), retained[0], "SERVING"))
	d.setMap(t, all)
	o := startOwner(t, t.TempDir(), "", ownerNamed1(d.addr()), func(n *Node) { n.ownership.maxDeadline = 100 * time.Millisecond })
	o.ready(t)
	o.awaitAccepted(t, enqueueCommand("a", fmt.Sprintf("c=order,d=1000,dest=%d", retained[0]), ""))
	p.nextRequest(t)
	if n := o.node.metrics.listedEndpoints.Load(); n != 2 {
		t.Errorf("%d endpoints", n)
	}
	d.setMap(t, half)
	own, _ := half.PartitionsOf("n1")
	eventually(t, "the smaller set", func() bool {
		return d.countRequests("partitions="+own.String()) == 1 && o.node.metrics.listedEndpoints.Load() == 1
	})
	mustAnswer(t, o.addr, enqueueCommand("b", fmt.Sprintf("c=order,d=1000,dest=%d", retained[0]), ""), "+OK")
	p.nextRequest(t)
	if calls, conns := p.counts(); calls != 2 || conns != 1 {
		t.Errorf("%d calls on %d connections", calls, conns)
	}
	// A node that is not in the map follows no partition. It still learns of the next map, by the watch of a
	// partition that is not its own, and ignores its endpoints.
	none := testMap(t, 3, half, "n2")
	d.setMap(t, none)
	eventually(t, "nothing", func() bool { return o.followed().mapNumber == 3 && o.node.metrics.listedEndpoints.Load() == 0 })
	d.mu.Lock()
	last := d.requests[len(d.requests)-1]
	d.mu.Unlock()
	set, err := ownership.ParseSet(last[strings.LastIndex(last, "=")+1:])
	if err != nil || set.Len() != 1 {
		t.Fatalf("%s: %v", last, err)
	}
	stray := 0
	for !set.Has(ownership.PartitionOf(stray)) {
		stray++
	}
	d.put(testMember("e3", p.addr(), stray, "SERVING"))
	requests := d.countRequests("watch=1")
	d.cutWatches()
	eventually(t, "another watch", func() bool { return d.countRequests("watch=1") > requests })
	d.setMap(t, testMap(t, 4, none, "n2", "n3"))
	o.awaitMap(t, 4)
	if n := o.node.metrics.listedEndpoints.Load(); n != 0 {
		t.Errorf("%d endpoints of nothing", n)
	}
	d.setMap(t, testMap(t, 5, none, "n1"))
	o.ready(t)
	eventually(t, "all", func() bool { return o.node.metrics.listedEndpoints.Load() == 3 })
}

// The watch of a set begins after the watch of the previous set has ended and its last list is handled: a
// list that came later would be taken for the whole of the new set.
func TestWatchesOfSetsDoNotOverlap(t *testing.T) {
	t.Parallel()
	_, half, retained, _ := splitMaps(t)
	d := newDirectory(t)
	d.put(testMember("e1", "127.0.0.1:9", retained[0], "DRAINING"))
	d.setMap(t, half)
	n := newConfiguredIdleNode(t, ownerNamed1(d.addr()))
	ctx, cancel := context.WithCancel(t.Context())
	var parts sync.WaitGroup
	defer parts.Wait()
	defer cancel()
	numbers := make(chan int64, 10)
	parts.Go(func() {
		last := int64(0)
		for {
			select {
			case e := <-n.events:
				n.handleBatch(ctx, []any{e})
				if n.ownership.mapNumber != last {
					last = n.ownership.mapNumber
					numbers <- last
				}
			case <-ctx.Done():
				return
			}
		}
	})
	whole, held, release := make(chan int, 10), make(chan struct{}, 10), make(chan struct{})
	w := registry.Watcher{
		Addresses: []string{d.addr()}, FleetSize: 1, Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		Log: slog.New(slog.DiscardHandler), Cursor: registry.NewCursor(registry.Position{}),
	}
	parts.Go(func() {
		n.watchList(ctx, &w, func(l registry.Update) error {
			if l.Complete {
				whole <- len(l.Members)
			}
			if l.Map == 2 && !l.Complete {
				held <- struct{}{}
				<-release // the last list of the old set
			}
			return nil
		})
	})
	if got := <-numbers; got != 2 {
		t.Fatalf("map %d", got)
	}
	eventually(t, "the half", func() bool { return len(whole) > 0 && <-whole == 1 })
	d.put(testMember("e2", "127.0.0.1:9", retained[1], "DRAINING"))
	<-held
	requests := d.countRequests("watch=1")
	// The follower has to find the map itself: the blocked watch can't announce it.
	d.setMap(t, testMap(t, 3, half, "n1"))
	n.ownership.follower.namedMap.Store(3)
	select {
	case n.ownership.follower.mapNamed <- struct{}{}:
	default:
	}
	if got := <-numbers; got != 3 {
		t.Fatalf("map %d", got)
	}
	time.Sleep(200 * time.Millisecond)
	if now := d.countRequests("watch=1"); now != requests {
		t.Errorf("%d watches more while the last one still tells", now-requests)
	}
	close(release)
	eventually(t, "the whole", func() bool { return d.countRequests("watch=1") > requests && len(whole) > 0 && <-whole == 2 })
}

// A partition that is lost and regained before its messages are over is as if it had stayed, except for
// messages submitted meanwhile.
func TestPartitionsLostAndRegained(t *testing.T) {
	t.Parallel()
	all, half, _, moved := splitMaps(t)
	p, d := newFakeEndpoint(t, respondWith(okResponse)), newDirectory(t)
	d.put(testMember("e1", "127.0.0.1:9", moved[0], "DRAINING"), testMember("e2", "127.0.0.1:9", moved[1], "DRAINING"))
	d.setMap(t, all)
	o := startOwner(t, t.TempDir(), "", ownerNamed1(d.addr()), nil)
	o.ready(t)
	o.awaitAccepted(t, enqueueCommand("a", messageFields("order", moved[0]), ""))
	mustAnswer(t, o.addr, enqueueCommand("b", messageFields("payout", moved[1]), ""), "+OK")
	watches := d.countRequests("watch=1")
	d.setMap(t, half)
	o.awaitMap(t, 2)
	mustAnswer(t, o.addr, enqueueCommand("c", messageFields("order", moved[0]), ""), busyAnswer)
	d.put(testMember("e3", p.addr(), moved[0], "SERVING"))
	p.nextRequest(t)
	d.setMap(t, testMap(t, 3, half, "n1"))
	o.awaitMap(t, 3)
	if len(o.followed().lingering) != 0 {
		t.Errorf("lingering: %+v", o.followed().lingering)
	}
	mustAnswer(t, o.addr, enqueueCommand("b", messageFields("payout", moved[1]), ""), "+OK")
	mustAnswer(t, o.addr, enqueueCommand("c", messageFields("order", moved[0]), ""), "+OK")
	d.put(testMember("e4", p.addr(), moved[1], "SERVING"))
	got := []string{p.nextRequest(t).Header.Get("X-Trace-Id"), p.nextRequest(t).Header.Get("X-Trace-Id")}
	if slices.Sort(got); !slices.Equal(got, []string{"b", "c"}) {
		t.Errorf("got %v", got)
	}
	eventually(t, "all delivered", func() bool { return o.node.metrics.ok[1].Load() == 2 && o.node.metrics.ok[2].Load() == 1 })
	if calls, _ := p.counts(); calls != 3 || d.countRequests("watch=1") != watches || len(d.noticeTexts()) != 0 {
		t.Errorf("%d calls, %d watches after %d, notices %v", calls, d.countRequests("watch=1"), watches, d.noticeTexts())
	}
}

// A node restarts between two maps with no server to ask. The saved map tells its partitions, the cached list
// their endpoints, and the journal the open messages of partitions that it has lost.
func TestRestartBetweenMaps(t *testing.T) {
	t.Parallel()
	all, half, retained, moved := splitMaps(t)
	p, d, state := newFakeEndpoint(t, respondWith(okResponse)), newDirectory(t), t.TempDir()
	d.put(testMember("e1", "127.0.0.1:9", moved[0], "DRAINING"), testMember("e2", p.addr(), retained[0], "SERVING"), testMember("e3", p.addr(), moved[1], "SERVING"))
	d.setMap(t, all)
	o := startOwner(t, state, "", ownerNamed1(d.addr()), nil)
	o.ready(t)
	o.awaitAccepted(t, enqueueCommand("a", messageFields("order", moved[0]), ""))
	d.setMap(t, half)
	o.awaitMap(t, 2)
	o.stop()

	dead := newDirectory(t)
	dead.close()
	o = startOwner(t, state, "", ownerNamed1(dead.addr()), nil)
	o.ready(t)
	if s := o.followed(); s.mapNumber != 2 || len(s.lingering) != 1 || s.lingering[0].set.Len() != 1 || time.Until(s.lingering[0].until) < 20*time.Second {
		t.Errorf("got %d, %+v", s.mapNumber, s.lingering)
	}
	if listed := o.node.metrics.listedEndpoints.Load(); listed != 2 { // the partition of e3 is not followed
		t.Errorf("%d endpoints", listed)
	}
	mustAnswer(t, o.addr, enqueueCommand("a", messageFields("order", moved[0]), ""), "+OK")
	mustAnswer(t, o.addr, enqueueCommand("b", messageFields("order", moved[0]), ""), busyAnswer)
	mustAnswer(t, o.addr, enqueueCommand("c", messageFields("order", retained[0]), ""), "+OK")
	p.nextRequest(t)
	mustAnswer(t, o.addr, enqueueCommand("d", messageFields("order", retained[1]), ""), busyAnswer) // the destination may be on the list that no server sends
	o.stop()

	o = startOwner(t, state, "", ownerNamed1(d.addr()), nil)
	o.ready(t)
	d.put(testMember("e4", p.addr(), moved[0], "SERVING"))
	if id := p.nextRequest(t).Header.Get("X-Trace-Id"); id != "a" {
		t.Errorf("got %q", id)
	}
	if len(d.noticeTexts()) != 0 {
		t.Errorf("notices %v", d.noticeTexts())
	}
}

// While the watch of a larger set starts, destinations in both sets are served without a break. Those of
// gained partitions are neither unknown nor accepted before their list has come.
func TestGainedPartitionsWaitForList(t *testing.T) {
	t.Parallel()
	_, half, retained, moved := splitMaps(t)
	p, d := newFakeEndpoint(t, respondWith(okResponse)), newDirectory(t)
	d.put(testMember("e1", p.addr(), retained[0], "SERVING"), testMember("e2", p.addr(), moved[0], "SERVING"))
	d.setMap(t, half)
	o := startOwner(t, t.TempDir(), "", ownerNamed1(d.addr()), nil)
	o.ready(t)
	o.awaitAccepted(t, enqueueCommand("a", messageFields("order", retained[0]), ""))
	p.nextRequest(t)
	hold, watches := make(chan struct{}), d.countRequests("watch=1")
	d.change(func() { d.holdFirstLine = hold })
	d.setMap(t, testMap(t, 3, half, "n1"))
	eventually(t, "the new watch", func() bool { return d.countRequests("watch=1") > watches })
	mustAnswer(t, o.addr, enqueueCommand("b", messageFields("order", moved[0]), ""), busyAnswer)
	mustAnswer(t, o.addr, enqueueCommand("c", messageFields("order", moved[1]), ""), busyAnswer)
	mustAnswer(t, o.addr, enqueueCommand("d", messageFields("order", retained[0]), ""), "+OK")
	p.nextRequest(t)
	d.change(func() { d.holdFirstLine = nil })
	close(hold)
	eventually(t, "the list", func() bool { return o.node.metrics.listedEndpoints.Load() == 2 })
	eventually(t, "it is known", func() bool {
		return roundTrip(t, o.addr, enqueueCommand("c", messageFields("order", moved[1]), "")) == "-ERR unknown destination"
	})
	mustAnswer(t, o.addr, enqueueCommand("b", messageFields("order", moved[0]), ""), "+OK")
	p.nextRequest(t)
	mustAnswer(t, o.addr, enqueueCommand("e", messageFields("order", retained[0]), ""), "+OK")
	p.nextRequest(t)
	if _, conns := p.counts(); conns != 2 { // that of e1, which was never closed, and that of e2
		t.Errorf("%d connections", conns)
	}
	// A change reaches the new watch.
	d.put(testMember("e3", p.addr(), moved[2], "SERVING"))
	eventually(t, "a change", func() bool { return o.node.metrics.listedEndpoints.Load() == 3 })
}

// A node never goes back to a smaller map number: not for a replica that is behind, nor for a directory
// restored from a backup, nor at a restart.
func TestMapNumberNeverDecreases(t *testing.T) {
	t.Parallel()
	all, half, retained, moved := splitMaps(t)
	d, state := newDirectory(t), t.TempDir()
	d.put(testMember("e1", "127.0.0.1:9", retained[0], "DRAINING"), testMember("e2", "127.0.0.1:9", moved[0], "DRAINING"))
	d.setMap(t, half)
	o := startOwner(t, state, "", ownerNamed1(d.addr()), nil)
	o.ready(t)
	d.change(func() { d.history++ })
	d.setMap(t, all) // of number 1
	const line = "an older map of owners"
	eventually(t, "it is logged", func() bool { return o.log.count(line) == 1 })
	for range 3 {
		requests := d.countRequests("watch=1")
		d.cutWatches()
		eventually(t, "another watch", func() bool { return d.countRequests("watch=1") > requests })
	}
	mustAnswer(t, o.addr, enqueueCommand("a", messageFields("order", moved[0]), ""), busyAnswer)
	if s := o.followed(); s.mapNumber != 2 || o.log.count(line) != 1 {
		t.Errorf("number %d, logged %d times", s.mapNumber, o.log.count(line))
	}
	o.stop()
	o = startOwner(t, state, "", ownerNamed1(d.addr()), nil)
	o.ready(t)
	eventually(t, "it is logged", func() bool { return o.log.count(line) == 1 })
	if s := o.followed(); s.mapNumber != 2 {
		t.Errorf("number %d", s.mapNumber)
	}
	d.setMap(t, testMap(t, 3, half, "n1"))
	o.awaitMap(t, 3)
	if taken := o.log.count("applied a new map of owners"); taken != 1 {
		t.Errorf("applied %d times", taken)
	}
}

// Drives the loop by hand: an older map, the same map again, and lists of other sets.
func TestOwnershipInTheLoop(t *testing.T) {
	t.Parallel()
	all, half, retained, moved := splitMaps(t)
	n := newConfiguredIdleNode(t, ownerNamed1("127.0.0.1:9"))
	applyMap := func(m *ownership.Map) followedPartitions {
		taken := make(chan followedPartitions, 1)
		n.handleBatch(t.Context(), []any{mapEvent{m, taken}})
		return <-taken
	}
	set := func(m *ownership.Map) ownership.Set {
		own, _ := m.PartitionsOf("n1")
		return own
	}
	list := func(whole bool, members ...catalog.Endpoint) registry.Update {
		return registry.Update{List: catalog.List{Revision: 1, Complete: whole, Members: members}}
	}
	mine, other := testMember("e1", "127.0.0.1:9", retained[0], "DRAINING"), testMember("e2", "127.0.0.1:9", moved[0], "DRAINING")
	second := testMember("e3", "127.0.0.1:9", retained[1], "SERVING")
	arrive := func(id string, dest int) arrival {
		a := newArrival(id, 50*time.Second)
		a.dest = dest
		return a
	}
	refused := answer{refused: true, retryAfter: 3 * time.Second}
	if f := applyMap(half); f.mapNumber != 2 || f.owned != set(half) || len(f.lingering) != 0 {
		t.Fatalf("got %+v", f)
	}
	// A message in the batch that brings its list: the module does not know its destination yet, but it is
	// not unknown.
	first, again := arrive("a", retained[0]), arrive("a", retained[0])
	n.handleBatch(t.Context(), []any{list(true, mine, second), listedPartitions(set(half)), first})
	n.handleBatch(t.Context(), []any{again})
	if got := <-first.reply; got != refused {
		t.Errorf("before its list: %+v", got)
	}
	if got := <-again.reply; got != (answer{}) {
		t.Errorf("after its list: %+v", got)
	}
	e := n.endpoints["e3"]
	if f := applyMap(all); f.mapNumber != 2 || f.owned != set(half) {
		t.Errorf("an older map: %+v", f.mapNumber)
	}
	// All partitions are gained. The watch of the old set sends its whole list once more, then that of the
	// new set comes.
	whole := testMap(t, 3, half, "n1")
	if f := applyMap(whole); f.mapNumber != 3 || f.owned.Len() != ownership.PartitionCount {
		t.Errorf("got %+v", f.mapNumber)
	}
	for i, l := range []registry.Update{list(true, mine, second), list(false), list(true, mine, second, other)} {
		late := arrive("late"+itoa(i), moved[1])
		n.handleBatch(t.Context(), []any{l, late})
		if got := <-late.reply; got != refused {
			t.Errorf("of a partition whose list has not come: %+v", got)
		}
		if n.endpoints["e3"] != e || e.closed.Load() {
			t.Errorf("a remaining endpoint was gone or closed after list %d", i)
		}
	}
	n.handleBatch(t.Context(), []any{listedPartitions(set(whole))})
	unknown := arrive("u", moved[1])
	n.handleBatch(t.Context(), []any{unknown})
	if got := <-unknown.reply; got.failure == "" {
		t.Errorf("owned, listed and not there: %+v", got)
	}
	// Lost with no open messages, a partition is dropped at once. When it is regained nothing is known of it
	// until its list comes.
	n.ownership.maxDeadline = 0
	parted := testMap(t, 4, whole, "n1", "n2")
	if f := applyMap(parted); len(f.lingering) != 0 {
		t.Errorf("with nothing held: %+v", f.lingering)
	}
	applyMap(testMap(t, 5, parted, "n1"))
	for i, dest := range moved[1:] {
		a := arrive("x"+itoa(i), dest)
		n.handleBatch(t.Context(), []any{a})
		if got := <-a.reply; got != refused && !set(parted).Has(ownership.PartitionOf(dest)) {
			t.Errorf("gained anew: %+v", got)
		}
	}
}

// The successor takes over the map, the owned partitions and the open messages of lost ones. A process that
// is not the same owner, such as an older build, gets nothing: it would take the list of some partitions for
// the whole.
func TestHandoverOfOwnership(t *testing.T) {
	t.Parallel()
	all, half, retained, moved := splitMaps(t)
	p, d, state := newFakeEndpoint(t, respondWith(okResponse)), newDirectory(t), t.TempDir()
	d.put(testMember("e1", "127.0.0.1:9", moved[0], "DRAINING"), testMember("e2", p.addr(), retained[0], "SERVING"))
	d.setMap(t, all)
	predecessor := startOwner(t, state, "", ownerNamed1(d.addr()), nil)
	predecessor.ready(t)
	predecessor.awaitAccepted(t, enqueueCommand("a", messageFields("order", moved[0]), ""))
	d.setMap(t, half)
	predecessor.awaitMap(t, 2)

	for name, alter := range map[string]func(*Config){
		"another owner": func(c *Config) {
			ownerNamed1(d.addr())(c)
			c.Fleet.Ownership.Name = "n2"
		},
		"no owner": func(c *Config) { c.Fleet.Registry.Addresses = []string{d.addr()} },
	} {
		cfg := ownerConfig(t, state, predecessor.addr, alter)
		refusals := predecessor.log.count("not handed over")
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, _, err := Start(ctx, cfg, slog.New(slog.DiscardHandler))
			ended <- err
		}()
		eventually(t, name+" is refused", func() bool { return predecessor.log.count("not handed over") > refusals })
		cancel()
		if err := <-ended; err == nil {
			t.Errorf("%s: it got the node", name)
		}
		mustAnswer(t, predecessor.addr, enqueueCommand("a", messageFields("order", moved[0]), ""), "+OK")
	}
	conn, err := dialHandover(handoverSocketPath(state)) // as an older build sends it
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, `{"Hello":%d}`+"\n", handoverVersion)
	if _, err := newHandoverConn(conn).receiveListener(); err == nil {
		t.Error("an older build is offered the node")
	}

	successor := startOwner(t, state, predecessor.addr, ownerNamed1(d.addr()), nil)
	eventually(t, "handed over", func() bool {
		return predecessor.node.NotReadyReason() == stageReasons[stageHandedOver] && successor.node.NotReadyReason() == ""
	})
	s := successor.followed()
	if s.mapNumber != 2 || len(s.lingering) != 1 || !s.lingering[0].set.Has(ownership.PartitionOf(moved[0])) {
		t.Errorf("got %d, %+v", s.mapNumber, s.lingering)
	}
	mustAnswer(t, successor.addr, enqueueCommand("a", messageFields("order", moved[0]), ""), "+OK")
	mustAnswer(t, successor.addr, enqueueCommand("b", messageFields("order", moved[0]), ""), busyAnswer)
	mustAnswer(t, successor.addr, enqueueCommand("c", messageFields("order", retained[0]), ""), "+OK")
	p.nextRequest(t)
	d.setMap(t, testMap(t, 3, half, "n1", "n2", "n3"))
	successor.awaitMap(t, 3)
	predecessor.stop()
	d.put(testMember("e3", p.addr(), moved[0], "SERVING"))
	if id := p.nextRequest(t).Header.Get("X-Trace-Id"); id != "a" {
		t.Errorf("got %q", id)
	}
	successor.stop()
	if m, err := readSavedMap(filepath.Join(state, mapName)); err != nil || m.Number != 3 {
		t.Errorf("saved map: %+v, %v", m, err)
	}
}

// A map that can't be saved is in force. It is saved as soon as possible, and the node is not handed over
// before.
func TestUnsavableMap(t *testing.T) {
	t.Parallel()
	_, half, retained, _ := splitMaps(t)
	d, state := newDirectory(t), t.TempDir()
	d.put(testMember("e1", "127.0.0.1:9", retained[0], "DRAINING"))
	d.setMap(t, half)
	o := startOwner(t, state, "", ownerNamed1(d.addr()), nil)
	o.ready(t)
	blocker := filepath.Join(state, mapName+".new")
	if err := os.MkdirAll(filepath.Join(blocker, "x"), 0o700); err != nil {
		t.Fatal(err)
	}
	d.setMap(t, testMap(t, 3, half, "n1"))
	o.awaitMap(t, 3)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	cfg := ownerConfig(t, state, o.addr, ownerNamed1(d.addr()))
	go func() {
		_, _, err := Start(ctx, cfg, slog.New(slog.DiscardHandler))
		ended <- err
	}()
	eventually(t, "not handed over", func() bool { return o.log.count("not handed over") > 0 })
	cancel()
	if err := <-ended; err == nil {
		t.Error("it got the node although the map was not saved")
	}
	if n := o.log.count("map of owners can't be saved"); n != 1 {
		t.Errorf("logged %d times", n)
	}
	if err := os.RemoveAll(blocker); err != nil {
		t.Fatal(err)
	}
	eventually(t, "kept", func() bool {
		m, err := readSavedMap(filepath.Join(state, mapName))
		return err == nil && m.Number == 3
	})
}

// A saved map that can't be read counts as missing.
func TestDamagedSavedMap(t *testing.T) {
	t.Parallel()
	_, half, retained, _ := splitMaps(t)
	d, state := newDirectory(t), t.TempDir()
	d.put(testMember("e1", "127.0.0.1:9", retained[0], "DRAINING"))
	raw, err := half.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(state, mapName), raw[:len(raw)-1], 0o600); err != nil {
		t.Fatal(err)
	}
	o := startOwner(t, state, "", ownerNamed1(d.addr()), nil)
	eventually(t, "no map", func() bool {
		return o.node.NotReadyReason() == "no map of owners is known" && o.log.count("the saved map of owners is unreadable") == 1
	})
	d.setMap(t, half)
	o.ready(t)
}

// A replica that can't filter the list by partition is skipped. If there is no other, the node continues with
// what it has saved.
func TestOlderReplicas(t *testing.T) {
	t.Parallel()
	all, half, retained, moved := splitMaps(t)
	older, d, state := newDirectory(t), newDirectory(t), t.TempDir()
	older.unpartitioned = true
	for _, one := range []*fakeDirectory{older, d} {
		one.put(testMember("e1", "127.0.0.1:9", retained[0], "DRAINING"), testMember("e2", "127.0.0.1:9", moved[0], "DRAINING"))
		one.setMap(t, all)
	}
	o := startOwner(t, state, "", ownerNamed1(older.addr(), d.addr()), nil)
	o.ready(t)
	older.setMap(t, half)
	d.setMap(t, half)
	o.awaitMap(t, 2)
	o.stop()
	requests := older.countRequests("partitions=")
	o = startOwner(t, state, "", ownerNamed1(older.addr()), nil)
	o.ready(t)
	eventually(t, "asked", func() bool { return older.countRequests("partitions=") > requests })
	mustAnswer(t, o.addr, enqueueCommand("a", messageFields("order", retained[0]), ""), "+OK")
	mustAnswer(t, o.addr, enqueueCommand("b", messageFields("order", moved[0]), ""), busyAnswer)
}

// Where no watch announces maps, the node fetches the map from time to time.
func TestMapIsFetchedWithoutWatch(t *testing.T) {
	t.Parallel()
	all, half, retained, _ := splitMaps(t)
	d := newDirectory(t)
	d.put(testMember("e1", "127.0.0.1:9", retained[0], "DRAINING"))
	d.setMap(t, all)
	d.unpartitioned = true
	o := startOwner(t, t.TempDir(), "", ownerNamed1(d.addr()), func(n *Node) { n.ownership.follower.maxSilence = 50 * time.Millisecond })
	o.awaitMap(t, 1)
	d.setMap(t, half)
	o.awaitMap(t, 2)
}

// The module of an owner counts the owners of a destination as its fleet, and takes their part of the
// tenants' allowances. The pauses of the watch still go by the whole fleet.
func TestOwnersShareLimits(t *testing.T) {
	t.Parallel()
	c := Config{Settings: choice.Settings{FleetSize: 820, Tenants: []choice.Tenant{{PerSecond: 8200}}}}
	if s := c.moduleSettings(); s.FleetSize != 820 || s.Tenants[0].PerSecond != 8200 {
		t.Errorf("without: %+v", s)
	}
	c.Fleet.Ownership = &Ownership{Name: "n", Owners: 3}
	if s := c.moduleSettings(); s.FleetSize != 3 || s.Tenants[0].PerSecond != 30 || c.Settings.FleetSize != 820 || c.Settings.Tenants[0].PerSecond != 8200 {
		t.Errorf("with: %+v of %+v", s, c.Settings)
	}
	c.Settings.FleetSize = 2
	if s := c.moduleSettings(); s.FleetSize != 2 || s.Tenants[0].PerSecond != 8200 {
		t.Errorf("of two: %+v", s)
	}
}

// A reload changes the addresses and nothing else of ownership.
func TestReloadKeepsOwnership(t *testing.T) {
	t.Parallel()
	_, half, retained, _ := splitMaps(t)
	d, next := newDirectory(t), newDirectory(t)
	for _, one := range []*fakeDirectory{d, next} {
		one.put(testMember("e1", "127.0.0.1:9", retained[0], "DRAINING"))
		one.setMap(t, half)
	}
	o := startOwner(t, t.TempDir(), "", ownerNamed1(d.addr()), nil)
	o.ready(t)
	const ignored = "a change of ownership is ignored"
	o.node.Reload(Config{Discovery: "127.0.0.1:9"})
	if o.log.count(ignored) != 1 || o.log.count("the old addresses stay") != 1 {
		t.Errorf("got %q", o.log.lines)
	}
	var cfg Config
	ownerNamed1(next.addr())(&cfg)
	cfg.Fleet.Ownership.Name = "n2"
	o.node.Reload(cfg)
	eventually(t, "the new address", func() bool { return next.countRequests("partitions=") > 0 })
	if o.log.count(ignored) != 2 {
		t.Errorf("got %q", o.log.lines)
	}
	ownerNamed1(next.addr())(&cfg)
	o.node.Reload(cfg)
	if o.log.count(ignored) != 2 {
		t.Errorf("the same ownership is not a change: %q", o.log.lines)
	}
	next.setMap(t, testMap(t, 3, half, "n1"))
	o.awaitMap(t, 3)
}

// Without [ownership] a node uses no more goroutines, files, requests or log lines than before ownership
// existed. This test is not parallel, so that no other test's goroutines are counted.
func TestWithoutOwnership(t *testing.T) {
	_, half, retained, _ := splitMaps(t)
	countGoroutines := func() (n int) {
		buf := make([]byte, 4<<20)
		for one := range strings.SplitSeq(string(buf[:runtime.Stack(buf, true)]), "\n\n") {
			if strings.Contains(one, "starlingusher/internal/") && !strings.Contains(one, "testing.tRunner") && !strings.Contains(one, "fakeDirectory") {
				n++
			}
		}
		return n
	}
	initial := countGoroutines()
	run := func(alter func(*Config)) (goroutines int, files, requests []string, log *logLines) {
		d, state := newDirectory(t), t.TempDir()
		d.put(testMember("e1", "127.0.0.1:9", retained[0], "DRAINING"))
		d.setMap(t, half)
		o := startOwner(t, state, "", func(c *Config) {
			ownerNamed1(d.addr())(c)
			alter(c)
		}, nil)
		o.ready(t)
		o.awaitAccepted(t, enqueueCommand("a", messageFields("order", retained[0]), ""))
		settled := 0 // in a row
		eventually(t, "the goroutines and files have settled", func() bool {
			was := goroutines
			goroutines, files = countGoroutines()-initial, nil
			filepath.WalkDir(state, func(path string, e fs.DirEntry, err error) error {
				if err == nil && !e.IsDir() {
					files = append(files, strings.TrimPrefix(path, state+"/"))
				}
				return nil
			})
			if settled++; was != goroutines || !slices.ContainsFunc(files, func(f string) bool { return filepath.Base(f) == "list.json" }) {
				settled = 0
			}
			return settled > 10
		})
		d.mu.Lock()
		requests = slices.Clone(d.requests)
		d.mu.Unlock()
		var text strings.Builder
		o.node.metrics.write(&text)
		if owned := strings.Contains(text.String(), "app.map"); owned != (o.node.ownership != nil) {
			t.Errorf("metrics: %s", text.String())
		}
		o.stop()
		eventually(t, "the goroutines have ended", func() bool { return countGoroutines() == initial })
		return goroutines, files, requests, o.log
	}
	const before = 9 // counted by this test in the build before ownership
	goroutines, files, requests, log := run(func(c *Config) { c.Fleet.Ownership = nil })
	if goroutines != before {
		t.Errorf("%d goroutines, %d before", goroutines, before)
	}
	if !slices.Equal(files, []string{"journal", "list.json", "lock"}) {
		t.Errorf("files %v", files)
	}
	if !slices.Equal(requests, []string{"GET /registry/instances?watch=1&after=0"}) {
		t.Errorf("requests %v", requests)
	}
	if log.count("owner") > 0 || log.count("map") > 0 || log.count("") != 2 { // serving, watching
		t.Errorf("log %q", log.lines)
	}
	with, files, requests, _ := run(func(*Config) {})
	if with != goroutines+1 { // the watch and the follower are separate
		t.Errorf("%d goroutines with ownership, %d without", with, goroutines)
	}
	if !slices.Equal(files, []string{"journal", "lock", "map.cbor", "share/list.json"}) {
		t.Errorf("files with ownership %v", files)
	}
	if !slices.ContainsFunc(requests, func(a string) bool { return strings.HasPrefix(a, "GET /records/") }) {
		t.Errorf("requests with ownership %v", requests)
	}
}
