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

// fakeDirectory is a replica of the list service on a loopback socket: lists by partition, and the record of the map.
type fakeDirectory struct {
	srv *httptest.Server

	mu      sync.Mutex
	rev     int64
	history int64
	members map[string]catalog.Endpoint
	changes []catalog.List // all, in their order
	number  int64
	value   []byte
	more    chan struct{} // closed at any change
	asks    []string      // method and URI
	old     bool          // a build that knows no partitions
	hold    chan struct{} // not nil: a watch's first line waits for it
	notices []string
	cut     context.Context
	cutNow  context.CancelFunc
}

func newDirectory(t *testing.T) *fakeDirectory {
	t.Helper()
	d := &fakeDirectory{history: 1, members: map[string]catalog.Endpoint{}, more: make(chan struct{})}
	d.cut, d.cutNow = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", d.watch)
	mux.HandleFunc("GET /records/{name}", func(w http.ResponseWriter, req *http.Request) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.asks = append(d.asks, req.Method+" "+req.URL.RequestURI())
		if d.number == 0 || req.PathValue("name") != ownership.RecordName {
			http.Error(w, `{"error":"none","outcome":"refused"}`, http.StatusNotFound)
			return
		}
		json.NewEncoder(w).Encode(catalog.Record{Name: ownership.RecordName, Token: 1, Value: d.value})
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
	d.cutNow()
	d.srv.CloseClientConnections()
	d.srv.Close()
}

func (d *fakeDirectory) addr() string { return d.srv.Listener.Addr().String() }

func (d *fakeDirectory) watch(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	set, err := ownership.ParseSet(q.Get("partitions"))
	d.mu.Lock()
	d.asks = append(d.asks, req.Method+" "+req.URL.RequestURI())
	old, hold, cut := d.old || !q.Has("partitions"), d.hold, d.cut
	w.Header().Set("Registry-History", strconv.FormatInt(d.history, 10))
	if !old {
		w.Header().Set("Registry-Partitions", strconv.Itoa(ownership.PartitionCount))
		w.Header().Set("Registry-Map", strconv.FormatInt(d.number, 10))
	}
	d.mu.Unlock()
	if !old && (err != nil || set.Len() == 0) {
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
		more := d.more
		var lists []catalog.List
		if first && after <= 0 {
			all := catalog.List{Revision: d.rev, Complete: true}
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
		if !old && (first || d.number != named) && len(lists) == 0 {
			lists = append(lists, catalog.List{Revision: d.rev})
		}
		if !old {
			named = d.number
			for i := range lists {
				lists[i].Map = named
			}
		}
		after = d.rev
		d.mu.Unlock()
		for _, l := range lists {
			part := []catalog.Endpoint{}
			for _, m := range l.Members {
				if old || set.Has(ownership.PartitionOf(m.Cell)) {
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

// change runs f with the lock and tells the watches.
func (d *fakeDirectory) change(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
	close(d.more)
	d.more = make(chan struct{})
}

func (d *fakeDirectory) put(members ...catalog.Endpoint) {
	d.change(func() {
		d.rev++
		for _, m := range members {
			if d.members[m.ID] = m; m.Phase == catalog.Deleted {
				delete(d.members, m.ID)
			}
		}
		d.changes = append(d.changes, catalog.List{Revision: d.rev, Members: members})
	})
}

func (d *fakeDirectory) setMap(t *testing.T, m *ownership.Map) {
	t.Helper()
	raw, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	d.change(func() { d.number, d.value = m.Number, raw })
}

// cutWatches ends what is open.
func (d *fakeDirectory) cutWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cutNow()
	d.cut, d.cutNow = context.WithCancel(context.Background())
}

func (d *fakeDirectory) asked(part string) (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.asks {
		if strings.Contains(a, part) {
			n++
		}
	}
	return n
}

func (d *fakeDirectory) told() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.notices)
}

func at(id, addr string, dest int, phase string) catalog.Endpoint {
	return catalog.Endpoint{ID: id, Addr: addr, Locality: "z", Flavor: "m", Cell: dest, Phase: phase, Size: 1000}
}

// mapOf makes a map of one owner for each partition.
func mapOf(t *testing.T, number int64, before *ownership.Map, names ...string) *ownership.Map {
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

// parting are a map by which n1 owns all, the next one by which it shares with n2, and destinations: of those that stay with
// n1, and of those that go.
func parting(t *testing.T) (all, half *ownership.Map, stays, goes []int) {
	t.Helper()
	all = mapOf(t, 1, nil, "n1")
	half = mapOf(t, 2, all, "n1", "n2")
	own, _ := half.PartitionsOf("n1")
	for d := 1; len(stays) < 5 || len(goes) < 5; d++ {
		if own.Has(ownership.PartitionOf(d)) {
			stays = append(stays, d)
		} else {
			goes = append(goes, d)
		}
	}
	return all, half, stays, goes
}

// owns lets a node be n1.
func owns(addrs ...string) func(*Config) {
	return func(c *Config) {
		c.Fleet.Registry.Addresses, c.Fleet.Registry.KeepKB = addrs, 64
		c.Fleet.Ownership = &Ownership{Name: "n1", Owners: 3}
	}
}

// logged are the lines of a log.
type logged struct {
	mu  sync.Mutex
	all []string
}

func (l *logged) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, string(b))
	return len(b), nil
}

func (l *logged) with(part string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, one := range l.all {
		if strings.Contains(one, part) {
			n++
		}
	}
	return n
}

// owner is a node that is n1, running.
type owner struct {
	*nodeProcess
	log  *logged
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

// startOwner starts a process of a node, at addr if that is not empty. The node is shown to see, if that is not nil, before it runs.
func startOwner(t *testing.T, state, addr string, alter func(*Config), see func(*Node)) *owner {
	t.Helper()
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	cfg := ownerConfig(t, state, addr, alter)
	o := &owner{nodeProcess: &nodeProcess{done: make(chan error, 1)}, log: &logged{}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	n, ln, err := Start(ctx, cfg, slog.New(slog.NewTextHandler(o.log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	if see != nil {
		see(n)
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

// seen is the share as the figures have it.
func (o *owner) seen() followedPartitions {
	if s := o.node.figures.ownership.Load(); s != nil {
		return *s
	}
	return followedPartitions{}
}

func (o *owner) ready(t *testing.T) {
	t.Helper()
	eventually(t, "ready", func() bool { return o.node.NotReadyReason() == "" })
}

func (o *owner) awaitMap(t *testing.T, number int64) {
	t.Helper()
	eventually(t, fmt.Sprint("map ", number), func() bool { return o.seen().mapNumber == number })
}

// awaitTaken waits until a request is taken on.
func (o *owner) awaitTaken(t *testing.T, text string) {
	t.Helper()
	eventually(t, "it is taken on", func() bool { return roundTrip(t, o.addr, text) == "+OK" })
}

func to(class string, dest int) string {
	return fmt.Sprintf("c=%s,d=50000,dest=%d,k=key%d", class, dest, dest)
}

const busy = "-BUSY 3000"

// A node takes on what is for its partitions, from their list on, and refuses all else with when to come back, before
// anything is written.
func TestOwnerTakesOnWhatIsItsOwn(t *testing.T) {
	t.Parallel()
	_, half, stays, goes := parting(t)
	p, d, state := newFakeEndpoint(t, respondWith(okResponse)), newDirectory(t), t.TempDir()
	d.put(at("e1", p.addr(), stays[0], "SERVING"), at("e2", p.addr(), goes[0], "SERVING"))
	o := startOwner(t, state, "", owns(d.addr()), nil)
	mustAnswer(t, o.addr, enqueueCommand("early", to("status", stays[0]), ""), busy)
	if why := o.node.NotReadyReason(); why != "no map of owners is known" {
		t.Errorf("without a map: %q", why)
	}
	d.setMap(t, half)
	o.ready(t)
	mustAnswer(t, o.addr, enqueueCommand("mine", to("order", stays[0]), ""), "+OK")
	p.nextRequest(t)
	mustAnswer(t, o.addr, enqueueCommand("foreign", to("order", goes[0]), ""), busy)
	mustAnswer(t, o.addr, enqueueCommand("nowhere", to("order", stays[1]), ""), "-ERR unknown destination")
	var figures strings.Builder
	o.node.figures.write(&figures)
	for _, want := range []string{
		"app.map:2|g\n", fmt.Sprintf("app.partitions_owned:%d|g\n", o.seen().owned.Len()), "app.partitions_lingering:0|g\n",
		"app.not_owned:2|c\n", "app.pool_size:1|g\n",
	} {
		if !strings.Contains(figures.String(), want) {
			t.Errorf("no %q in %s", want, figures.String())
		}
	}
	d.setMap(t, mapOf(t, 3, half, "n2"))
	eventually(t, "not in the map", func() bool { return o.node.NotReadyReason() == "not in the map of owners" })
	mustAnswer(t, o.addr, enqueueCommand("late", to("order", stays[0]), ""), busy)
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

// What was taken on before its partition was lost ends as if it had not been: its list is followed on, and who hands it
// in again is told that it was taken. Nothing new is.
func TestLostPartitionsEndByTheirOwnRules(t *testing.T) {
	t.Parallel()
	all, half, stays, goes := parting(t)
	p, d := newFakeEndpoint(t, respondWith(okResponse)), newDirectory(t)
	d.put(at("e1", "127.0.0.1:9", goes[0], "DRAINING"), at("e2", p.addr(), stays[0], "SERVING"))
	d.setMap(t, all)
	o := startOwner(t, t.TempDir(), "", owns(d.addr()), func(n *Node) { n.own.longest = 300 * time.Millisecond })
	o.ready(t)
	mustAnswer(t, o.addr, enqueueCommand("a", to("order", goes[0]), ""), "+OK")
	d.setMap(t, half)
	o.awaitMap(t, 2)
	mustAnswer(t, o.addr, enqueueCommand("a", to("order", goes[0]), ""), "+OK")
	mustAnswer(t, o.addr, enqueueCommand("b", to("order", goes[0]), ""), busy)
	if !slices.ContainsFunc(o.seen().lingering, func(l lingeringPartitions) bool { // a has 50 s
		return l.set.Has(ownership.PartitionOf(goes[0])) && time.Until(l.until) > 20*time.Second
	}) {
		t.Fatalf("followed on: %+v", o.seen().lingering)
	}
	d.put(at("e3", p.addr(), goes[0], "SERVING"))
	if id := p.nextRequest(t).Header.Get("X-Trace-Id"); id != "a" {
		t.Errorf("got %q", id)
	}
	mustAnswer(t, o.addr, enqueueCommand("c", to("order", stays[0]), ""), "+OK")
	p.nextRequest(t)
	if asks := d.asked("watch=1&after=0&history"); asks+d.asked("watch=1&after=0&part") > 2 { // of the map, and of all
		t.Errorf("asks %q", d.asks)
	}
	if calls, _ := p.counts(); calls != 2 {
		t.Errorf("%d calls", calls)
	}
}

// Once the last of it has had its time, a lost partition is let go of: the watch goes on with the others, whose
// endpoints keep even their connections.
func TestLostPartitionsAreLetGoOf(t *testing.T) {
	t.Parallel()
	all, half, stays, goes := parting(t)
	p, d := newFakeEndpoint(t, respondWith(okResponse)), newDirectory(t)
	d.put(at("e1", p.addr(), goes[0], "SERVING"), at("e2", p.addr(), stays[0], "SERVING"))
	d.setMap(t, all)
	o := startOwner(t, t.TempDir(), "", owns(d.addr()), func(n *Node) { n.own.longest = 100 * time.Millisecond })
	o.ready(t)
	o.awaitTaken(t, enqueueCommand("a", fmt.Sprintf("c=order,d=1000,dest=%d", stays[0]), ""))
	p.nextRequest(t)
	if n := o.node.figures.listedEndpoints.Load(); n != 2 {
		t.Errorf("%d endpoints", n)
	}
	d.setMap(t, half)
	own, _ := half.PartitionsOf("n1")
	eventually(t, "the smaller set", func() bool {
		return d.asked("partitions="+own.String()) == 1 && o.node.figures.listedEndpoints.Load() == 1
	})
	mustAnswer(t, o.addr, enqueueCommand("b", fmt.Sprintf("c=order,d=1000,dest=%d", stays[0]), ""), "+OK")
	p.nextRequest(t)
	if calls, conns := p.counts(); calls != 2 || conns != 1 {
		t.Errorf("%d calls on %d connections", calls, conns)
	}
	// Not in a map at all, it follows none, and hears of the next one nevertheless: by the watch of a partition that is not
	// its own, whose endpoints it passes over.
	none := mapOf(t, 3, half, "n2")
	d.setMap(t, none)
	eventually(t, "nothing", func() bool { return o.seen().mapNumber == 3 && o.node.figures.listedEndpoints.Load() == 0 })
	d.mu.Lock()
	last := d.asks[len(d.asks)-1]
	d.mu.Unlock()
	set, err := ownership.ParseSet(last[strings.LastIndex(last, "=")+1:])
	if err != nil || set.Len() != 1 {
		t.Fatalf("%s: %v", last, err)
	}
	stray := 0
	for !set.Has(ownership.PartitionOf(stray)) {
		stray++
	}
	d.put(at("e3", p.addr(), stray, "SERVING"))
	asks := d.asked("watch=1")
	d.cutWatches()
	eventually(t, "another watch", func() bool { return d.asked("watch=1") > asks })
	d.setMap(t, mapOf(t, 4, none, "n2", "n3"))
	o.awaitMap(t, 4)
	if n := o.node.figures.listedEndpoints.Load(); n != 0 {
		t.Errorf("%d endpoints of nothing", n)
	}
	d.setMap(t, mapOf(t, 5, none, "n1"))
	o.ready(t)
	eventually(t, "all", func() bool { return o.node.figures.listedEndpoints.Load() == 3 })
}

// A set's watch begins when that of the set before it is over, to its last list: one that came later would be taken for the
// whole of the new set.
func TestWatchesOfSetsDoNotOverlap(t *testing.T) {
	t.Parallel()
	_, half, stays, _ := parting(t)
	d := newDirectory(t)
	d.put(at("e1", "127.0.0.1:9", stays[0], "DRAINING"))
	d.setMap(t, half)
	n := bareAltered(t, owns(d.addr()))
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
				n.take(ctx, []any{e})
				if n.own.mapNumber != last {
					last = n.own.mapNumber
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
		n.watch(ctx, &w, func(l registry.Update) error {
			if l.Complete {
				whole <- len(l.Members)
			}
			if l.Map == 2 && !l.Complete {
				held <- struct{}{}
				<-release // the old set's last word
			}
			return nil
		})
	})
	if got := <-numbers; got != 2 {
		t.Fatalf("map %d", got)
	}
	eventually(t, "the half", func() bool { return len(whole) > 0 && <-whole == 1 })
	d.put(at("e2", "127.0.0.1:9", stays[1], "DRAINING"))
	<-held
	asks := d.asked("watch=1")
	// It is the follower's next look that finds it: the watch, which is held, can't tell of it.
	d.setMap(t, mapOf(t, 3, half, "n1"))
	n.own.follow.told.Store(3)
	select {
	case n.own.follow.news <- struct{}{}:
	default:
	}
	if got := <-numbers; got != 3 {
		t.Fatalf("map %d", got)
	}
	time.Sleep(200 * time.Millisecond)
	if now := d.asked("watch=1"); now != asks {
		t.Errorf("%d watches more while the last one still tells", now-asks)
	}
	close(release)
	eventually(t, "the whole", func() bool { return d.asked("watch=1") > asks && len(whole) > 0 && <-whole == 2 })
}

// A share that is taken away and given back in that time is as if it had stayed, but for what comes between.
func TestShareGivenBack(t *testing.T) {
	t.Parallel()
	all, half, _, goes := parting(t)
	p, d := newFakeEndpoint(t, respondWith(okResponse)), newDirectory(t)
	d.put(at("e1", "127.0.0.1:9", goes[0], "DRAINING"), at("e2", "127.0.0.1:9", goes[1], "DRAINING"))
	d.setMap(t, all)
	o := startOwner(t, t.TempDir(), "", owns(d.addr()), nil)
	o.ready(t)
	o.awaitTaken(t, enqueueCommand("a", to("order", goes[0]), ""))
	mustAnswer(t, o.addr, enqueueCommand("b", to("payout", goes[1]), ""), "+OK")
	watches := d.asked("watch=1")
	d.setMap(t, half)
	o.awaitMap(t, 2)
	mustAnswer(t, o.addr, enqueueCommand("c", to("order", goes[0]), ""), busy)
	d.put(at("e3", p.addr(), goes[0], "SERVING"))
	p.nextRequest(t)
	d.setMap(t, mapOf(t, 3, half, "n1"))
	o.awaitMap(t, 3)
	if len(o.seen().lingering) != 0 {
		t.Errorf("lost: %+v", o.seen().lingering)
	}
	mustAnswer(t, o.addr, enqueueCommand("b", to("payout", goes[1]), ""), "+OK")
	mustAnswer(t, o.addr, enqueueCommand("c", to("order", goes[0]), ""), "+OK")
	d.put(at("e4", p.addr(), goes[1], "SERVING"))
	got := []string{p.nextRequest(t).Header.Get("X-Trace-Id"), p.nextRequest(t).Header.Get("X-Trace-Id")}
	if slices.Sort(got); !slices.Equal(got, []string{"b", "c"}) {
		t.Errorf("got %v", got)
	}
	eventually(t, "all delivered", func() bool { return o.node.figures.ok[1].Load() == 2 && o.node.figures.ok[2].Load() == 1 })
	if calls, _ := p.counts(); calls != 3 || d.asked("watch=1") != watches || len(d.told()) != 0 {
		t.Errorf("%d calls, %d watches after %d, notices %v", calls, d.asked("watch=1"), watches, d.told())
	}
}

// A restart in the midst of it, with nobody to ask: the kept map says what is the node's, the kept list where it goes, and
// the journal what is owed for partitions that are not the node's any more.
func TestRestartBetweenMaps(t *testing.T) {
	t.Parallel()
	all, half, stays, goes := parting(t)
	p, d, state := newFakeEndpoint(t, respondWith(okResponse)), newDirectory(t), t.TempDir()
	d.put(at("e1", "127.0.0.1:9", goes[0], "DRAINING"), at("e2", p.addr(), stays[0], "SERVING"), at("e3", p.addr(), goes[1], "SERVING"))
	d.setMap(t, all)
	o := startOwner(t, state, "", owns(d.addr()), nil)
	o.ready(t)
	o.awaitTaken(t, enqueueCommand("a", to("order", goes[0]), ""))
	d.setMap(t, half)
	o.awaitMap(t, 2)
	o.stop()

	dead := newDirectory(t)
	dead.close()
	o = startOwner(t, state, "", owns(dead.addr()), nil)
	o.ready(t)
	if s := o.seen(); s.mapNumber != 2 || len(s.lingering) != 1 || s.lingering[0].set.Len() != 1 || time.Until(s.lingering[0].until) < 20*time.Second {
		t.Errorf("got %d, %+v", s.mapNumber, s.lingering)
	}
	if listed := o.node.figures.listedEndpoints.Load(); listed != 2 { // e3's partition is not followed
		t.Errorf("%d endpoints", listed)
	}
	mustAnswer(t, o.addr, enqueueCommand("a", to("order", goes[0]), ""), "+OK")
	mustAnswer(t, o.addr, enqueueCommand("b", to("order", goes[0]), ""), busy)
	mustAnswer(t, o.addr, enqueueCommand("c", to("order", stays[0]), ""), "+OK")
	p.nextRequest(t)
	mustAnswer(t, o.addr, enqueueCommand("d", to("order", stays[1]), ""), busy) // it may be on the list that nobody tells
	o.stop()

	o = startOwner(t, state, "", owns(d.addr()), nil)
	o.ready(t)
	d.put(at("e4", p.addr(), goes[0], "SERVING"))
	if id := p.nextRequest(t).Header.Get("X-Trace-Id"); id != "a" {
		t.Errorf("got %q", id)
	}
	if len(d.told()) != 0 {
		t.Errorf("notices %v", d.told())
	}
}

// While the watch of a larger set comes up, what is on both goes on as if nothing happened, and what is gained is neither
// unknown nor taken on before its list is there.
func TestGainedPartitionsWaitForTheirList(t *testing.T) {
	t.Parallel()
	_, half, stays, goes := parting(t)
	p, d := newFakeEndpoint(t, respondWith(okResponse)), newDirectory(t)
	d.put(at("e1", p.addr(), stays[0], "SERVING"), at("e2", p.addr(), goes[0], "SERVING"))
	d.setMap(t, half)
	o := startOwner(t, t.TempDir(), "", owns(d.addr()), nil)
	o.ready(t)
	o.awaitTaken(t, enqueueCommand("a", to("order", stays[0]), ""))
	p.nextRequest(t)
	hold, watches := make(chan struct{}), d.asked("watch=1")
	d.change(func() { d.hold = hold })
	d.setMap(t, mapOf(t, 3, half, "n1"))
	eventually(t, "the new watch", func() bool { return d.asked("watch=1") > watches })
	mustAnswer(t, o.addr, enqueueCommand("b", to("order", goes[0]), ""), busy)
	mustAnswer(t, o.addr, enqueueCommand("c", to("order", goes[1]), ""), busy)
	mustAnswer(t, o.addr, enqueueCommand("d", to("order", stays[0]), ""), "+OK")
	p.nextRequest(t)
	d.change(func() { d.hold = nil })
	close(hold)
	eventually(t, "the list", func() bool { return o.node.figures.listedEndpoints.Load() == 2 })
	eventually(t, "it is known", func() bool {
		return roundTrip(t, o.addr, enqueueCommand("c", to("order", goes[1]), "")) == "-ERR unknown destination"
	})
	mustAnswer(t, o.addr, enqueueCommand("b", to("order", goes[0]), ""), "+OK")
	p.nextRequest(t)
	mustAnswer(t, o.addr, enqueueCommand("e", to("order", stays[0]), ""), "+OK")
	p.nextRequest(t)
	if _, conns := p.counts(); conns != 2 { // e1's, which was never hung up, and e2's
		t.Errorf("%d connections", conns)
	}
	// A change reaches the new watch.
	d.put(at("e3", p.addr(), goes[2], "SERVING"))
	eventually(t, "a change", func() bool { return o.node.figures.listedEndpoints.Load() == 3 })
}

// A number that a node has known is never undone: not by a replica that is behind, nor by a directory restored from a
// backup, nor by a restart.
func TestMapNumbersNeverGoBack(t *testing.T) {
	t.Parallel()
	all, half, stays, goes := parting(t)
	d, state := newDirectory(t), t.TempDir()
	d.put(at("e1", "127.0.0.1:9", stays[0], "DRAINING"), at("e2", "127.0.0.1:9", goes[0], "DRAINING"))
	d.setMap(t, half)
	o := startOwner(t, state, "", owns(d.addr()), nil)
	o.ready(t)
	d.change(func() { d.history++ })
	d.setMap(t, all) // of number 1
	const line = "an older map of owners"
	eventually(t, "it is logged", func() bool { return o.log.with(line) == 1 })
	for range 3 {
		asks := d.asked("watch=1")
		d.cutWatches()
		eventually(t, "another watch", func() bool { return d.asked("watch=1") > asks })
	}
	mustAnswer(t, o.addr, enqueueCommand("a", to("order", goes[0]), ""), busy)
	if s := o.seen(); s.mapNumber != 2 || o.log.with(line) != 1 {
		t.Errorf("number %d, logged %d times", s.mapNumber, o.log.with(line))
	}
	o.stop()
	o = startOwner(t, state, "", owns(d.addr()), nil)
	o.ready(t)
	eventually(t, "it is logged", func() bool { return o.log.with(line) == 1 })
	if s := o.seen(); s.mapNumber != 2 {
		t.Errorf("number %d", s.mapNumber)
	}
	d.setMap(t, mapOf(t, 3, half, "n1"))
	o.awaitMap(t, 3)
	if taken := o.log.with("a new map of owners"); taken != 1 {
		t.Errorf("taken %d times", taken)
	}
}

// The loop by itself: an older map, the same one again, and lists of other sets.
func TestShareInTheLoop(t *testing.T) {
	t.Parallel()
	all, half, stays, goes := parting(t)
	n := bareAltered(t, owns("127.0.0.1:9"))
	hand := func(m *ownership.Map) followedPartitions {
		taken := make(chan followedPartitions, 1)
		n.take(t.Context(), []any{newMap{m, taken}})
		return <-taken
	}
	set := func(m *ownership.Map) ownership.Set {
		own, _ := m.PartitionsOf("n1")
		return own
	}
	list := func(whole bool, members ...catalog.Endpoint) registry.Update {
		return registry.Update{List: catalog.List{Revision: 1, Complete: whole, Members: members}}
	}
	mine, other := at("e1", "127.0.0.1:9", stays[0], "DRAINING"), at("e2", "127.0.0.1:9", goes[0], "DRAINING")
	second := at("e3", "127.0.0.1:9", stays[1], "SERVING")
	arrive := func(id string, dest int) arrival {
		a := handIn(id, 50*time.Second)
		a.dest = dest
		return a
	}
	refused := answer{refused: true, retryAfter: 3 * time.Second}
	if f := hand(half); f.mapNumber != 2 || f.owned != set(half) || len(f.lingering) != 0 {
		t.Fatalf("got %+v", f)
	}
	// An arrival in the batch that brings its list: the module does not know it yet, and it is not unknown.
	first, again := arrive("a", stays[0]), arrive("a", stays[0])
	n.take(t.Context(), []any{list(true, mine, second), listedOf(set(half)), first})
	n.take(t.Context(), []any{again})
	if got := <-first.reply; got != refused {
		t.Errorf("before its list: %+v", got)
	}
	if got := <-again.reply; got != (answer{}) {
		t.Errorf("after its list: %+v", got)
	}
	e := n.eps["e3"]
	if f := hand(all); f.mapNumber != 2 || f.owned != set(half) {
		t.Errorf("an older map: %+v", f.mapNumber)
	}
	// All is gained; the old set's watch says its whole list once more, then the new one's comes.
	whole := mapOf(t, 3, half, "n1")
	if f := hand(whole); f.mapNumber != 3 || f.owned.Len() != ownership.PartitionCount {
		t.Errorf("got %+v", f.mapNumber)
	}
	for i, l := range []registry.Update{list(true, mine, second), list(false), list(true, mine, second, other)} {
		late := arrive("late"+itoa(i), goes[1])
		n.take(t.Context(), []any{l, late})
		if got := <-late.reply; got != refused {
			t.Errorf("of a partition whose list has not come: %+v", got)
		}
		if n.eps["e3"] != e || e.shut.Load() {
			t.Errorf("an endpoint that stays was gone or shut after list %d", i)
		}
	}
	n.take(t.Context(), []any{listedOf(set(whole))})
	unknown := arrive("u", goes[1])
	n.take(t.Context(), []any{unknown})
	if got := <-unknown.reply; got.failure == "" {
		t.Errorf("owned, listed and not there: %+v", got)
	}
	// Lost, with nothing held, and let go of at once; gained anew, nothing is known of it until its list comes.
	n.own.longest = 0
	parted := mapOf(t, 4, whole, "n1", "n2")
	if f := hand(parted); len(f.lingering) != 0 {
		t.Errorf("with nothing held: %+v", f.lingering)
	}
	hand(mapOf(t, 5, parted, "n1"))
	for i, dest := range goes[1:] {
		a := arrive("x"+itoa(i), dest)
		n.take(t.Context(), []any{a})
		if got := <-a.reply; got != refused && !set(parted).Has(ownership.PartitionOf(dest)) {
			t.Errorf("gained anew: %+v", got)
		}
	}
}

// The next process of a node goes on with the map, the share and what is owed for what was lost. One that is not the same
// owner, as an older build is none, gets nothing: the share would be the whole list to it.
func TestHandoverOfAShare(t *testing.T) {
	t.Parallel()
	all, half, stays, goes := parting(t)
	p, d, state := newFakeEndpoint(t, respondWith(okResponse)), newDirectory(t), t.TempDir()
	d.put(at("e1", "127.0.0.1:9", goes[0], "DRAINING"), at("e2", p.addr(), stays[0], "SERVING"))
	d.setMap(t, all)
	old := startOwner(t, state, "", owns(d.addr()), nil)
	old.ready(t)
	old.awaitTaken(t, enqueueCommand("a", to("order", goes[0]), ""))
	d.setMap(t, half)
	old.awaitMap(t, 2)

	for name, alter := range map[string]func(*Config){
		"another owner": func(c *Config) {
			owns(d.addr())(c)
			c.Fleet.Ownership.Name = "n2"
		},
		"no owner": func(c *Config) { c.Fleet.Registry.Addresses = []string{d.addr()} },
	} {
		cfg := ownerConfig(t, state, old.addr, alter)
		refusals := old.log.with("not handed over")
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, _, err := Start(ctx, cfg, slog.New(slog.DiscardHandler))
			ended <- err
		}()
		eventually(t, name+" is refused", func() bool { return old.log.with("not handed over") > refusals })
		cancel()
		if err := <-ended; err == nil {
			t.Errorf("%s: it has the node", name)
		}
		mustAnswer(t, old.addr, enqueueCommand("a", to("order", goes[0]), ""), "+OK")
	}
	conn, err := dialDoor(door(state)) // as an older build says it
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, `{"Hello":%d}`+"\n", handoverVersion)
	if _, err := newLink(conn).receiveListener(); err == nil {
		t.Error("an older build is offered the node")
	}

	young := startOwner(t, state, old.addr, owns(d.addr()), nil)
	eventually(t, "handed over", func() bool {
		return old.node.NotReadyReason() == stages[stageHandedOver] && young.node.NotReadyReason() == ""
	})
	s := young.seen()
	if s.mapNumber != 2 || len(s.lingering) != 1 || !s.lingering[0].set.Has(ownership.PartitionOf(goes[0])) {
		t.Errorf("got %d, %+v", s.mapNumber, s.lingering)
	}
	mustAnswer(t, young.addr, enqueueCommand("a", to("order", goes[0]), ""), "+OK")
	mustAnswer(t, young.addr, enqueueCommand("b", to("order", goes[0]), ""), busy)
	mustAnswer(t, young.addr, enqueueCommand("c", to("order", stays[0]), ""), "+OK")
	p.nextRequest(t)
	d.setMap(t, mapOf(t, 3, half, "n1", "n2", "n3"))
	young.awaitMap(t, 3)
	old.stop()
	d.put(at("e3", p.addr(), goes[0], "SERVING"))
	if id := p.nextRequest(t).Header.Get("X-Trace-Id"); id != "a" {
		t.Errorf("got %q", id)
	}
	young.stop()
	if m, err := readMap(filepath.Join(state, mapName)); err != nil || m.Number != 3 {
		t.Errorf("kept: %+v, %v", m, err)
	}
}

// A map that can't be kept is in force, is written as soon as it can be, and the node goes to no other process before.
func TestMapThatCannotBeKept(t *testing.T) {
	t.Parallel()
	_, half, stays, _ := parting(t)
	d, state := newDirectory(t), t.TempDir()
	d.put(at("e1", "127.0.0.1:9", stays[0], "DRAINING"))
	d.setMap(t, half)
	o := startOwner(t, state, "", owns(d.addr()), nil)
	o.ready(t)
	inTheWay := filepath.Join(state, mapName+".new")
	if err := os.MkdirAll(filepath.Join(inTheWay, "x"), 0o700); err != nil {
		t.Fatal(err)
	}
	d.setMap(t, mapOf(t, 3, half, "n1"))
	o.awaitMap(t, 3)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	cfg := ownerConfig(t, state, o.addr, owns(d.addr()))
	go func() {
		_, _, err := Start(ctx, cfg, slog.New(slog.DiscardHandler))
		ended <- err
	}()
	eventually(t, "not handed over", func() bool { return o.log.with("not handed over") > 0 })
	cancel()
	if err := <-ended; err == nil {
		t.Error("it has the node without its map")
	}
	if n := o.log.with("map of owners can't be kept"); n != 1 {
		t.Errorf("logged %d times", n)
	}
	if err := os.RemoveAll(inTheWay); err != nil {
		t.Fatal(err)
	}
	eventually(t, "kept", func() bool {
		m, err := readMap(filepath.Join(state, mapName))
		return err == nil && m.Number == 3
	})
}

// A kept map that can't be read is as if lost.
func TestSpoiltMap(t *testing.T) {
	t.Parallel()
	_, half, stays, _ := parting(t)
	d, state := newDirectory(t), t.TempDir()
	d.put(at("e1", "127.0.0.1:9", stays[0], "DRAINING"))
	raw, err := half.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(state, mapName), raw[:len(raw)-1], 0o600); err != nil {
		t.Fatal(err)
	}
	o := startOwner(t, state, "", owns(d.addr()), nil)
	eventually(t, "no map", func() bool {
		return o.node.NotReadyReason() == "no map of owners is known" && o.log.with("the kept map of owners is lost") == 1
	})
	d.setMap(t, half)
	o.ready(t)
}

// A replica that can't part the list is passed over. With none but such a node goes on with what it keeps.
func TestOlderReplicas(t *testing.T) {
	t.Parallel()
	all, half, stays, goes := parting(t)
	old, d, state := newDirectory(t), newDirectory(t), t.TempDir()
	old.old = true
	for _, one := range []*fakeDirectory{old, d} {
		one.put(at("e1", "127.0.0.1:9", stays[0], "DRAINING"), at("e2", "127.0.0.1:9", goes[0], "DRAINING"))
		one.setMap(t, all)
	}
	o := startOwner(t, state, "", owns(old.addr(), d.addr()), nil)
	o.ready(t)
	old.setMap(t, half)
	d.setMap(t, half)
	o.awaitMap(t, 2)
	o.stop()
	asks := old.asked("partitions=")
	o = startOwner(t, state, "", owns(old.addr()), nil)
	o.ready(t)
	eventually(t, "asked", func() bool { return old.asked("partitions=") > asks })
	mustAnswer(t, o.addr, enqueueCommand("a", to("order", stays[0]), ""), "+OK")
	mustAnswer(t, o.addr, enqueueCommand("b", to("order", goes[0]), ""), busy)
}

// Where no watch tells of a map, it is looked for from time to time.
func TestMapWithoutAWatch(t *testing.T) {
	t.Parallel()
	all, half, stays, _ := parting(t)
	d := newDirectory(t)
	d.put(at("e1", "127.0.0.1:9", stays[0], "DRAINING"))
	d.setMap(t, all)
	d.old = true
	o := startOwner(t, t.TempDir(), "", owns(d.addr()), func(n *Node) { n.own.follow.unheard = 50 * time.Millisecond })
	o.awaitMap(t, 1)
	d.setMap(t, half)
	o.awaitMap(t, 2)
}

// The module of an owner counts the owners of a destination as its fleet, and of the tenants' allowances their part; the
// pauses of its watch stay the whole fleet's.
func TestOwnersShareALimit(t *testing.T) {
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

// A file that is read again changes the addresses and nothing else of ownership.
func TestReloadKeepsNameAndOwners(t *testing.T) {
	t.Parallel()
	_, half, stays, _ := parting(t)
	d, next := newDirectory(t), newDirectory(t)
	for _, one := range []*fakeDirectory{d, next} {
		one.put(at("e1", "127.0.0.1:9", stays[0], "DRAINING"))
		one.setMap(t, half)
	}
	o := startOwner(t, t.TempDir(), "", owns(d.addr()), nil)
	o.ready(t)
	const ignored = "a change of ownership is ignored"
	o.node.Reload(Config{Discovery: "127.0.0.1:9"})
	if o.log.with(ignored) != 1 || o.log.with("the old addresses stay") != 1 {
		t.Errorf("got %q", o.log.all)
	}
	var cfg Config
	owns(next.addr())(&cfg)
	cfg.Fleet.Ownership.Name = "n2"
	o.node.Reload(cfg)
	eventually(t, "the new address", func() bool { return next.asked("partitions=") > 0 })
	if o.log.with(ignored) != 2 {
		t.Errorf("got %q", o.log.all)
	}
	owns(next.addr())(&cfg)
	o.node.Reload(cfg)
	if o.log.with(ignored) != 2 {
		t.Errorf("the same is no change: %q", o.log.all)
	}
	next.setMap(t, mapOf(t, 3, half, "n1"))
	o.awaitMap(t, 3)
}

// Without [ownership] a node is as it was: not one goroutine, file, request or line more. This test is not parallel, so that
// nobody else's goroutines are counted.
func TestWithoutOwnership(t *testing.T) {
	_, half, stays, _ := parting(t)
	work := func() (n int) {
		buf := make([]byte, 4<<20)
		for one := range strings.SplitSeq(string(buf[:runtime.Stack(buf, true)]), "\n\n") {
			if strings.Contains(one, "starlingusher/internal/") && !strings.Contains(one, "testing.tRunner") && !strings.Contains(one, "fakeDirectory") {
				n++
			}
		}
		return n
	}
	begun := work()
	run := func(alter func(*Config)) (goroutines int, files, asks []string, log *logged) {
		d, state := newDirectory(t), t.TempDir()
		d.put(at("e1", "127.0.0.1:9", stays[0], "DRAINING"))
		d.setMap(t, half)
		o := startOwner(t, state, "", func(c *Config) {
			owns(d.addr())(c)
			alter(c)
		}, nil)
		o.ready(t)
		o.awaitTaken(t, enqueueCommand("a", to("order", stays[0]), ""))
		settled := 0 // in a row
		eventually(t, "it has settled", func() bool {
			was := goroutines
			goroutines, files = work()-begun, nil
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
		asks = slices.Clone(d.asks)
		d.mu.Unlock()
		var figures strings.Builder
		o.node.figures.write(&figures)
		if owned := strings.Contains(figures.String(), "app.map"); owned != (o.node.own != nil) {
			t.Errorf("figures: %s", figures.String())
		}
		o.stop()
		eventually(t, "its end", func() bool { return work() == begun })
		return goroutines, files, asks, o.log
	}
	const before = 9 // counted by this test in the build before there was ownership
	goroutines, files, asks, log := run(func(c *Config) { c.Fleet.Ownership = nil })
	if goroutines != before {
		t.Errorf("%d goroutines, %d before", goroutines, before)
	}
	if !slices.Equal(files, []string{"journal", "list.json", "lock"}) {
		t.Errorf("files %v", files)
	}
	if !slices.Equal(asks, []string{"GET /registry/instances?watch=1&after=0"}) {
		t.Errorf("asks %v", asks)
	}
	if log.with("owner") > 0 || log.with("map") > 0 || log.with("") != 2 { // serving, watching
		t.Errorf("log %q", log.all)
	}
	with, files, asks, _ := run(func(*Config) {})
	if with != goroutines+1 { // the watch is apart from what keeps the map
		t.Errorf("%d goroutines with ownership, %d without", with, goroutines)
	}
	if !slices.Equal(files, []string{"journal", "lock", "map.cbor", "share/list.json"}) {
		t.Errorf("files with ownership %v", files)
	}
	if !slices.ContainsFunc(asks, func(a string) bool { return strings.HasPrefix(a, "GET /records/") }) {
		t.Errorf("asks with ownership %v", asks)
	}
}
