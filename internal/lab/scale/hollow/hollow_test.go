package hollow

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"starlingusher/fleet/catalog"
	"starlingusher/internal/directory"
	"starlingusher/internal/lab/relay"
	"starlingusher/internal/lab/scale/play"
	"starlingusher/internal/node"
)

// TestMain is also a replica of the directory, or a node, when a play starts this binary as one.
func TestMain(m *testing.M) {
	var child func(context.Context) error
	switch {
	case len(os.Args) == 5 && os.Args[1] == "directory":
		child = replicaProcess
	case os.Getenv("ROUTER_CONFIG") != "":
		child = nodeProcess
	default:
		goleak.VerifyTestMain(m)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if err := child(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func replicaProcess(ctx context.Context) error {
	cfg, err := directory.LoadConfig(os.Args[4])
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	r, err := directory.Open(cfg, log)
	if err != nil {
		return err
	}
	s, err := directory.Serve(r)
	if err != nil {
		return errors.Join(err, r.Close())
	}
	select {
	case <-ctx.Done():
	case err = <-r.Failed():
	}
	return errors.Join(err, s.Close(), r.Close())
}

func nodeProcess(ctx context.Context) error {
	cfg, err := node.LoadConfig(os.Getenv("ROUTER_CONFIG"), os.Getenv("ROUTER_STATE"))
	if err != nil {
		return err
	}
	if cfg.Fleet, err = node.LoadFleet(os.Getenv("ROUTER_FLEET")); err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	admin, err := node.ListenAdmin(ctx, cfg, log)
	if err != nil {
		return err
	}
	defer admin.Close()
	n, ln, err := node.Start(ctx, cfg, log)
	if err != nil {
		return err
	}
	admin.SetNode(n)
	return n.Run(ctx, ln)
}

var discardLog = slog.New(slog.DiscardHandler)

// newReplica starts a real replica of the directory in this process.
func newReplica(t *testing.T) (address string, op *directory.AdminClient) {
	t.Helper()
	cfg := directory.Defaults()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg.HTTP, cfg.Data = ln.Addr().String(), t.TempDir()
	r, err := directory.Open(cfg, discardLog)
	if err != nil {
		t.Fatal(errors.Join(err, ln.Close()))
	}
	s, err := directory.ServeListener(r, ln)
	if err != nil {
		t.Fatal(errors.Join(err, r.Close()))
	}
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		if err := errors.Join(s.Close(), r.Close()); err != nil {
			t.Error(err)
		}
	})
	return cfg.HTTP, &directory.AdminClient{Addresses: []string{cfg.HTTP}, RetryFor: waitTimeout, HTTPClient: client}
}

// startNode starts a hollow node.
func startNode(t *testing.T, addresses ...string) *Node {
	t.Helper()
	s := Spec{Name: "h0", FleetSize: 1, Dir: t.TempDir(), Addresses: addresses, CacheKB: 64}
	if err := s.Write(); err != nil {
		t.Fatal(err)
	}
	n, err := New(s, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	n.Run()
	t.Cleanup(func() {
		if err := n.Close(); err != nil {
			t.Error(err)
		}
	})
	return n
}

func mustPut(t *testing.T, op *directory.AdminClient, complete bool, members ...catalog.Endpoint) int64 {
	t.Helper()
	w, err := op.Put(t.Context(), members, complete, true, "*")
	if err != nil {
		t.Fatal(err)
	}
	return w.Revision
}

// awaitNodeList waits until the node has applied a revision with this many endpoints.
func awaitNodeList(t *testing.T, n *Node, revision int64, endpoints int) {
	t.Helper()
	if err := await(t.Context(), "the list", func() bool { applied, _ := n.CurrentList(); return applied >= revision }); err != nil {
		t.Fatal(err)
	}
	if applied, count := n.CurrentList(); applied != revision || count != endpoints {
		t.Fatalf("the node has %d endpoints at revision %d, want %d at %d", count, applied, endpoints, revision)
	}
}

// A hollow node gets a list and its changes from a real replica, its loop answers all the time, and its list
// is cached.
func TestListAndChange(t *testing.T) {
	t.Parallel()
	address, op := newReplica(t)
	revision := mustPut(t, op, true, endpointList(100)...)
	n := startNode(t, address)
	probe := startLoopProbe(n.Node)
	defer probe.close()
	awaitNodeList(t, n, revision, 100)
	awaitNodeList(t, n, mustPut(t, op, false, endpointAt(100)), 101)
	deleted := endpointAt(0)
	deleted.Phase = catalog.Deleted
	awaitNodeList(t, n, mustPut(t, op, false, deleted), 100)
	if err := probe.awaitAnswers(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	if worst, answers := probe.takeWorst(); worst <= 0 || answers < 2 {
		t.Errorf("the loop was blocked for at most %v, %d answers", worst, answers)
	}
	if took, err := measureEmptyStep(t.Context(), n.Node); err != nil || took <= 0 {
		t.Errorf("an empty step takes %v s, error %v", took, err)
	}
	cacheFile := filepath.Join(n.Spec.stateDir(), "list.json")
	if err := await(t.Context(), "the list cache", func() bool {
		raw, err := os.ReadFile(cacheFile)
		return err == nil && bytes.Contains(raw, []byte(endpointAt(100).ID)) && !bytes.Contains(raw, []byte(deleted.ID))
	}); err != nil {
		t.Error(err)
	}
}

// A node that is cut off gets no changes, and has them all after the cut.
func TestNodeCatchesUpAfterACut(t *testing.T) {
	t.Parallel()
	address, op := newReplica(t)
	link, err := relay.Listen("127.0.0.1:0", 1, relay.DialTo(address), func(time.Duration) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	revision := mustPut(t, op, true, endpointList(10)...)
	n := startNode(t, link.Addr())
	awaitNodeList(t, n, revision, 10)
	restore := cutLinks(link)
	mustPut(t, op, false, endpointAt(10))
	revision2 := mustPut(t, op, false, endpointAt(11))
	if applied, count := n.CurrentList(); applied != revision || count != 10 {
		t.Errorf("while cut off the node has %d endpoints at revision %d, want 10 at %d", count, applied, revision)
	}
	if err := restore(); err != nil {
		t.Fatal(err)
	}
	awaitNodeList(t, n, revision2, 12)
}

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	in, out atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	return &countingConn{nc, l}, err
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.in.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.out.Add(int64(n))
	return n, err
}

// The kernel's counts for a node's connections match what the other end has read and written.
func TestTrafficMatchesTheOtherEnd(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counted := &countingListener{Listener: ln}
	s := newStandIn(300, counted)
	t.Cleanup(func() {
		if err := s.close(); err != nil {
			t.Error(err)
		}
	})
	n := startNode(t, s.address())
	awaitNodeList(t, n, firstRevision, 300)
	awaitNodeList(t, n, s.change(endpointAt(300)), 301)
	awaitNodeList(t, n, s.change(changedEndpoint(7, 99)), 301)
	// A heartbeat may come between the two reads.
	if err := await(t.Context(), "equal byte counts", func() bool {
		c, err := readTraffic(map[string]bool{s.address(): true}, "")
		return err == nil && c.conns == 1 && c.in == float64(counted.out.Load()) && c.out == float64(counted.in.Load())
	}); err != nil {
		c, err2 := readTraffic(map[string]bool{s.address(): true}, "")
		t.Errorf("%v: the node has read %v and written %v; the list service has written %d and read %d (%v)", err, c.in, c.out, counted.out.Load(), counted.in.Load(), err2)
	}
	if c, err := readTraffic(map[string]bool{s.address(): true}, "127.0.0.1"); err != nil || c != (traffic{}) {
		t.Errorf("traffic of the excluded source address: %+v, %v", c, err)
	}
	if c, err := readTraffic(map[string]bool{"127.0.0.1:1": true}, ""); err != nil || c != (traffic{}) {
		t.Errorf("traffic to another address: %+v, %v", c, err)
	}
}

// The stand-in's list is encoded as the directory would encode it.
func TestStandInList(t *testing.T) {
	t.Parallel()
	s := newStandIn(50, nil)
	var b bytes.Buffer
	if err := s.writeList(&b); err != nil {
		t.Fatal(err)
	}
	want, err := json.Marshal(catalog.List{Revision: firstRevision, Complete: true, Members: endpointList(50)})
	if err != nil {
		t.Fatal(err)
	}
	if got := b.String(); got != string(want)+"\n" {
		t.Errorf("the list is %.200q, want %.200q", got, want)
	}
	if n := s.listSize(); n != int64(len(want)+1) {
		t.Errorf("list size %d bytes, want %d", n, len(want)+1)
	}
}

// A destination has 1.7 endpoints on average, and at least one.
func TestEndpointsPerDestination(t *testing.T) {
	t.Parallel()
	for _, n := range []int{1, 10, 1000, 29_411} {
		cells := map[int]int{}
		for _, e := range endpointList(endpointCountOf(n)) {
			if err := e.Validate(); err != nil {
				t.Fatal(err)
			}
			cells[e.Cell]++
		}
		if len(cells) != n {
			t.Errorf("%d destinations have endpoints, want %d", len(cells), n)
		}
		for cell, e := range cells {
			if e < 1 || e > 2 || cell < firstDest || cell >= firstDest+n {
				t.Errorf("destination %d of %d has %d endpoints", cell, n, e)
			}
		}
	}
}

// newSpec returns the spec of a play with the axis' defaults and the given settings. This binary is both
// programs.
func newSpec(t *testing.T, a play.Axis, x float64, set map[string]float64) play.Spec {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	set, err = a.FillSettings(set)
	if err != nil {
		t.Fatal(err)
	}
	return play.Spec{Axis: a.Name, X: x, Seed: 1, Dir: t.TempDir(), NodeProgram: self, LabProgram: self, Settings: set}
}

// mustPlay plays a point and checks that the reading has just the figures that the axis declares. Those in
// missing may be absent or negative.
func mustPlay(t *testing.T, a play.Axis, x float64, set map[string]float64, missing ...string) play.Reading {
	t.Helper()
	s := newSpec(t, a, x, set)
	r, err := a.Play(t.Context(), s, discardLog)
	if err != nil {
		logs, _ := filepath.Glob(filepath.Join(s.Dir, "*", "*", "log"))
		more, _ := filepath.Glob(filepath.Join(s.Dir, "*", "log"))
		for _, l := range append(logs, more...) {
			raw, _ := os.ReadFile(l)
			t.Logf("%s: %.3000s", l, raw)
		}
		t.Fatal(err)
	}
	for id := range r.Values {
		if _, ok := a.FindMeasure(id); !ok {
			t.Errorf("%s is not a figure of the axis", id)
		}
	}
	for _, m := range a.Measures {
		if v, ok := r.Values[m.ID]; (!ok || v < 0) && !slices.Contains(missing, m.ID) {
			t.Errorf("%s is %v (present: %v)", m.ID, v, ok)
		}
	}
	t.Log(a.Name, x, r.Values, r.Counts, r.Invalid, r.Notes)
	return r
}

func mustAxis(t *testing.T, name string) play.Axis {
	t.Helper()
	i := slices.IndexFunc(Axes(), func(a play.Axis) bool { return a.Name == name })
	if i < 0 {
		t.Fatalf("no axis %s", name)
	}
	return Axes()[i]
}

// Each name is used once, and has a unit and a description.
func TestAxes(t *testing.T) {
	t.Parallel()
	ids := map[string]bool{}
	for _, a := range Axes() {
		if a.Name == "" || a.Description == "" || a.XUnit == "" || a.Play == nil {
			t.Errorf("axis %q lacks a name, a description, a unit or its function", a.Name)
		}
		for _, m := range a.Measures {
			if ids[m.ID] || m.Description == "" || !slices.Contains([]string{"B", "B/s", "s", "s/s", "count", "count/s"}, m.Unit) {
				t.Errorf("%s: %+v", a.Name, m)
			}
			ids[m.ID] = true
		}
		for _, name := range slices.Sorted(maps.Keys(a.Settings)) {
			if s := a.Settings[name]; s.Description == "" || s.Default < s.Min || s.Default > s.Max {
				t.Errorf("%s: setting %s: %+v", a.Name, name, s)
			}
		}
	}
}

// The bytes of a first list are the same in each play, except for the digits of an age in the response
// header.
func TestDestinations(t *testing.T) {
	t.Parallel()
	a := mustAxis(t, "destinations")
	set := map[string]float64{"changes": 2}
	// other tests run in this process, and may free memory meanwhile
	mayBeMissing := []string{"node.destinations.heap", "node.destinations.rss"}
	r, again := mustPlay(t, a, 100, set, mayBeMissing...), mustPlay(t, a, 100, set, mayBeMissing...)
	const id = "node.list.bytes"
	if d := r.Values[id] - again.Values[id]; d < -8 || d > 8 {
		t.Errorf("%v bytes in the first play, %v in the second", r.Values[id], again.Values[id])
	}
	list, err := json.Marshal(catalog.List{Revision: 1, Complete: true, Members: endpointList(170)})
	if err != nil {
		t.Fatal(err)
	}
	if over := r.Values[id] - float64(len(list)); over < 0 || over > 1000 {
		t.Errorf("%v bytes for a list of %d", r.Values[id], len(list))
	}
	mustPlay(t, a, 100, map[string]float64{"changes": 1, "stand_in": 1}, append(mayBeMissing, "directory.destinations.rss")...)
}

func TestModule(t *testing.T) {
	t.Parallel()
	mustPlay(t, mustAxis(t, "module"), 2000, map[string]float64{"changes": 3}, "module.destinations.heap")
}

// It does not run in parallel with other tests, as they share this process's memory.
func TestModuleHeapGrowsWithDestinations(t *testing.T) {
	read := func(destinations float64) map[string]float64 {
		return mustPlay(t, mustAxis(t, "module"), destinations, map[string]float64{"changes": 3}, "module.destinations.heap").Values
	}
	small, large := read(500), read(4000)
	for _, id := range []string{"module.destinations.heap", "module.list.step", "module.change.step"} {
		if small[id] <= 0 {
			t.Errorf("%s is %v", id, small[id])
		}
	}
	if ratio := large["module.destinations.heap"] / small["module.destinations.heap"]; ratio < 6 || ratio > 10 { // maps grow in steps
		t.Errorf("eight times the destinations need %.1f times the bytes", ratio)
	}
}

// While nothing changes, a watch carries a heartbeat of 6 bytes every 2 s, whatever the load of the machine.
func TestNodes(t *testing.T) {
	t.Parallel()
	r := mustPlay(t, mustAxis(t, "nodes"), 5, map[string]float64{"quick": 1, "real": 2, "endpoints": 50}, "node.idle.heap")
	if v := r.Values["node.watch.bytes"]; v < 0 || v > 2*3 {
		t.Errorf("%v bytes per second, want about 3", v)
	}
}

// After each fault all nodes have the complete list again.
func TestFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for five faults")
	}
	t.Parallel()
	r := mustPlay(t, mustAxis(t, "nodes"), 12, map[string]float64{
		"quick": 1, "real": 8, "endpoints": 50, "fault_seconds": 3, "load": 40, "kill": 1, "stop": 1, "cut_zone": 1, "cut_region": 1, "restart": 1,
	}, "node.idle.heap", "node.watch.bytes")
	for _, f := range faultKinds {
		if r.Counts["fault."+f.name+".back"] <= 0 {
			t.Errorf("fault %s was not played", f.name)
		}
	}
	if r.Counts["load.delivered"] < 50 {
		t.Errorf("of %v messages %v were accepted and %v delivered", r.Counts["load.asked"], r.Counts["load.taken"], r.Counts["load.delivered"])
	}
}

// Each change is sent to each node once, as one line.
func TestChanges(t *testing.T) {
	t.Parallel()
	r := mustPlay(t, mustAxis(t, "changes"), 20, map[string]float64{"quick": 1, "nodes": 3, "endpoints": 50}, "node.change.cpu")
	line, err := json.Marshal(catalog.List{Revision: 10, Members: []catalog.Endpoint{changedEndpoint(1, 10)}})
	if err != nil {
		t.Fatal(err)
	}
	if each := r.Counts["change.bytes"]; r.Counts["written"] != 20 || each < float64(len(line)) || each > float64(len(line)+20) {
		t.Errorf("%v bytes for each of %v changes, want about %d bytes", each, r.Counts["written"], len(line))
	}
}

func TestTogether(t *testing.T) {
	t.Parallel()
	r := mustPlay(t, mustAxis(t, "together"), 6, map[string]float64{"quick": 1, "others": 2, "endpoints": 50})
	if r.Values["together.refused"] != 0 {
		t.Errorf("%v requests were refused", r.Values["together.refused"])
	}
}

// A canceled play returns an error and stops all that it has started.
func TestCancelled(t *testing.T) {
	t.Parallel()
	for _, a := range Axes() {
		s := newSpec(t, a, 3, map[string]float64{})
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		_, err := a.Play(ctx, s, discardLog)
		cancel()
		if err == nil && a.Name != "module" {
			t.Errorf("%s: a canceled play returned no error", a.Name)
		}
	}
}
