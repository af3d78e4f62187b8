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

// TestMain is a replica of the directory, or a node, when a play starts this binary as one.
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
	admin, err := node.ListenAdmin(cfg, log)
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

var quiet = slog.New(slog.DiscardHandler)

// place is an address at which nobody listens.
func place(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// newReplica is a real replica of the directory in this process.
func newReplica(t *testing.T) (address string, op *directory.AdminClient) {
	t.Helper()
	cfg := directory.Defaults()
	cfg.HTTP, cfg.Data = place(t), t.TempDir()
	r, err := directory.Open(cfg, quiet)
	if err != nil {
		t.Fatal(err)
	}
	s, err := directory.Serve(r)
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
	return cfg.HTTP, &directory.AdminClient{Addresses: []string{cfg.HTTP}, RetryFor: longest, HTTPClient: client}
}

// newNode is a hollow node that lives.
func newNode(t *testing.T, addresses ...string) *Node {
	t.Helper()
	s := Spec{Name: "h0", Nodes: 1, Dir: t.TempDir(), Addresses: addresses, KeepKB: 64}
	if err := s.Write(); err != nil {
		t.Fatal(err)
	}
	n, err := New(s, quiet)
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

func put(t *testing.T, op *directory.AdminClient, whole bool, members ...catalog.Endpoint) int64 {
	t.Helper()
	w, err := op.Put(t.Context(), members, whole, true, "*")
	if err != nil {
		t.Fatal(err)
	}
	return w.Revision
}

// mustHave waits until a revision with so many endpoints is in force at the node.
func mustHave(t *testing.T, n *Node, revision int64, endpoints int) {
	t.Helper()
	if err := await(t.Context(), "the list", func() bool { at, _ := n.CurrentList(); return at >= revision }); err != nil {
		t.Fatal(err)
	}
	if at, have := n.CurrentList(); at != revision || have != endpoints {
		t.Fatalf("the node has %d endpoints at revision %d, want %d at %d", have, at, endpoints, revision)
	}
}

// A hollow node takes a list and its changes from a real replica, its loop answers meanwhile, and its list is kept.
func TestListAndChange(t *testing.T) {
	t.Parallel()
	address, op := newReplica(t)
	revision := put(t, op, true, listOf(100)...)
	n := newNode(t, address)
	loop := watchLoop(n.Node)
	defer loop.close()
	mustHave(t, n, revision, 100)
	mustHave(t, n, put(t, op, false, endpoint(100)), 101)
	gone := endpoint(0)
	gone.Phase = catalog.Deleted
	mustHave(t, n, put(t, op, false, gone), 100)
	if err := loop.after(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	if worst, asks := loop.take(); worst <= 0 || asks < 2 {
		t.Errorf("the loop stood still for %v at most, in %d asks", worst, asks)
	}
	if took, err := emptyStep(t.Context(), n.Node); err != nil || took <= 0 {
		t.Errorf("an empty step takes %v s, %v", took, err)
	}
	kept := filepath.Join(n.Spec.state(), "list.json")
	if err := await(t.Context(), "the kept list", func() bool {
		raw, err := os.ReadFile(kept)
		return err == nil && bytes.Contains(raw, []byte(endpoint(100).ID)) && !bytes.Contains(raw, []byte(gone.ID))
	}); err != nil {
		t.Error(err)
	}
}

// A node that is cut off is not told, and has it all once the cut ends.
func TestCutAndReturn(t *testing.T) {
	t.Parallel()
	address, op := newReplica(t)
	link, err := relay.Listen("127.0.0.1:0", 1, relay.DialTo(address), func(time.Duration) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	revision := put(t, op, true, listOf(10)...)
	n := newNode(t, link.Addr())
	mustHave(t, n, revision, 10)
	mend := cut(link)
	put(t, op, false, endpoint(10))
	revision2 := put(t, op, false, endpoint(11))
	if at, have := n.CurrentList(); at != revision || have != 10 {
		t.Errorf("cut off, it has %d endpoints at revision %d, want 10 at %d", have, at, revision)
	}
	if err := mend(); err != nil {
		t.Fatal(err)
	}
	mustHave(t, n, revision2, 12)
}

// countedListener counts what its connections read and write.
type countedListener struct {
	net.Listener
	in, out atomic.Int64
}

func (l *countedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	return &countedConn{nc, l}, err
}

type countedConn struct {
	net.Conn
	of *countedListener
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.of.in.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.of.out.Add(int64(n))
	return n, err
}

// The kernel's count of a node's connections is what the other end has read and written.
func TestBytes(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counted := &countedListener{Listener: ln}
	s := newSource(300, counted)
	t.Cleanup(func() {
		if err := s.close(); err != nil {
			t.Error(err)
		}
	})
	n := newNode(t, s.address())
	mustHave(t, n, firstRevision, 300)
	mustHave(t, n, s.change(endpoint(300)), 301)
	mustHave(t, n, s.change(turned(7, 99)), 301)
	// A heartbeat may come between two looks.
	if err := await(t.Context(), "one count", func() bool {
		c, err := carried(map[string]bool{s.address(): true}, "")
		return err == nil && c.conns == 1 && c.in == float64(counted.out.Load()) && c.out == float64(counted.in.Load())
	}); err != nil {
		c, err2 := carried(map[string]bool{s.address(): true}, "")
		t.Errorf("%v: the node has read %v and written %v; the service has written %d and read %d (%v)", err, c.in, c.out, counted.out.Load(), counted.in.Load(), err2)
	}
	if c, err := carried(map[string]bool{s.address(): true}, "127.0.0.1"); err != nil || c != (traffic{}) {
		t.Errorf("connections of others: %+v, %v", c, err)
	}
	if c, err := carried(map[string]bool{"127.0.0.1:1": true}, ""); err != nil || c != (traffic{}) {
		t.Errorf("connections to elsewhere: %+v, %v", c, err)
	}
}

// The stand-in's list is the one that the directory would send.
func TestSource(t *testing.T) {
	t.Parallel()
	s := newSource(50, nil)
	var b bytes.Buffer
	if err := s.writeList(&b); err != nil {
		t.Fatal(err)
	}
	want, err := json.Marshal(catalog.List{Revision: firstRevision, Complete: true, Members: listOf(50)})
	if err != nil {
		t.Fatal(err)
	}
	if got := b.String(); got != string(want)+"\n" {
		t.Errorf("the list is %.200q, want %.200q", got, want)
	}
	if n := s.bytes(); n != int64(len(want)+1) {
		t.Errorf("%d bytes, want %d", n, len(want)+1)
	}
}

// There are 1.7 endpoints for each destination, and each destination has one at least.
func TestEndpoints(t *testing.T) {
	t.Parallel()
	for _, n := range []int{1, 10, 1000, 29_411} {
		cells := map[int]int{}
		for _, e := range listOf(endpointsOf(n)) {
			if err := e.Validate(); err != nil {
				t.Fatal(err)
			}
			cells[e.Cell]++
		}
		if len(cells) != n {
			t.Errorf("%d destinations have endpoints, want %d", len(cells), n)
		}
		for cell, e := range cells {
			if e < 1 || e > 2 || cell < firstCell || cell >= firstCell+n {
				t.Errorf("destination %d of %d has %d endpoints", cell, n, e)
			}
		}
	}
}

// spec is a play's, by the axis' own defaults but for what is set. This binary is both programs.
func spec(t *testing.T, a play.Axis, x float64, set map[string]float64) play.Spec {
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

// plays plays a point, and holds what it read to what the axis names. missing are figures that it may lack.
func plays(t *testing.T, a play.Axis, x float64, set map[string]float64, missing ...string) play.Reading {
	t.Helper()
	s := spec(t, a, x, set)
	r, err := a.Play(t.Context(), s, quiet)
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
			t.Errorf("%s is not among the axis' figures", id)
		}
	}
	for _, m := range a.Measures {
		if v, ok := r.Values[m.ID]; (!ok || v < 0) && !slices.Contains(missing, m.ID) {
			t.Errorf("%s is %v (read: %v)", m.ID, v, ok)
		}
	}
	t.Log(a.Name, x, r.Values, r.Counts, r.Invalid, r.Notes)
	return r
}

func axis(t *testing.T, name string) play.Axis {
	t.Helper()
	i := slices.IndexFunc(Axes(), func(a play.Axis) bool { return a.Name == name })
	if i < 0 {
		t.Fatalf("no axis %s", name)
	}
	return Axes()[i]
}

// Names are said once, with units and words.
func TestAxes(t *testing.T) {
	t.Parallel()
	ids := map[string]bool{}
	for _, a := range Axes() {
		if a.Name == "" || a.Description == "" || a.XUnit == "" || a.Play == nil {
			t.Errorf("axis %q says too little of itself", a.Name)
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

// The bytes of a first list are the same in each play, but for the digits of an age in the answer's head.
func TestDestinations(t *testing.T) {
	t.Parallel()
	a := axis(t, "destinations")
	set := map[string]float64{"changes": 2}
	// Memory of a process that runs other tests beside may fall.
	some := []string{"node.destinations.heap", "node.destinations.rss"}
	r, again := plays(t, a, 100, set, some...), plays(t, a, 100, set, some...)
	const id = "node.list.bytes"
	if d := r.Values[id] - again.Values[id]; d < -8 || d > 8 {
		t.Errorf("%v bytes, and then %v", r.Values[id], again.Values[id])
	}
	list, err := json.Marshal(catalog.List{Revision: 1, Complete: true, Members: listOf(170)})
	if err != nil {
		t.Fatal(err)
	}
	if over := r.Values[id] - float64(len(list)); over < 0 || over > 1000 {
		t.Errorf("%v bytes for a list of %d", r.Values[id], len(list))
	}
	plays(t, a, 100, map[string]float64{"changes": 1, "stand_in": 1}, append(some, "directory.destinations.rss")...)
}

func TestModule(t *testing.T) {
	t.Parallel()
	plays(t, axis(t, "module"), 2000, map[string]float64{"changes": 3}, "module.destinations.heap")
}

// It plays apart from the others, whose memory is this process's too.
func TestModuleOfDestinations(t *testing.T) {
	read := func(destinations float64) map[string]float64 {
		return plays(t, axis(t, "module"), destinations, map[string]float64{"changes": 3}, "module.destinations.heap").Values
	}
	few, many := read(500), read(4000)
	for _, id := range []string{"module.destinations.heap", "module.list.step", "module.change.step"} {
		if few[id] <= 0 {
			t.Errorf("%s is %v", id, few[id])
		}
	}
	if ratio := many["module.destinations.heap"] / few["module.destinations.heap"]; ratio < 6 || ratio > 10 { // maps grow in steps
		t.Errorf("eight times the destinations hold %.1f times the bytes", ratio)
	}
}

// While nothing changes a watch carries a heartbeat of 6 bytes each 2 s, whatever the machine does.
func TestNodes(t *testing.T) {
	t.Parallel()
	r := plays(t, axis(t, "nodes"), 5, map[string]float64{"quick": 1, "real": 2, "endpoints": 50}, "node.idle.heap")
	if v := r.Values["node.watch.bytes"]; v < 0 || v > 2*3 {
		t.Errorf("%v bytes a second, want some 3", v)
	}
}

// After each fault all nodes have the list again.
func TestFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("it waits for five faults")
	}
	t.Parallel()
	r := plays(t, axis(t, "nodes"), 12, map[string]float64{
		"quick": 1, "real": 8, "endpoints": 50, "fault_seconds": 3, "load": 40, "kill": 1, "stop": 1, "cut_zone": 1, "cut_region": 1, "restart": 1,
	}, "node.idle.heap", "node.watch.bytes")
	for _, f := range everyFault {
		if r.Counts["fault."+f.name+".back"] <= 0 {
			t.Errorf("fault %s was not played", f.name)
		}
	}
	if r.Counts["load.delivered"] < 50 {
		t.Errorf("of %v messages %v were taken on and %v delivered", r.Counts["load.asked"], r.Counts["load.taken"], r.Counts["load.delivered"])
	}
}

// Each change is told to each node once: a line of so many bytes.
func TestChanges(t *testing.T) {
	t.Parallel()
	r := plays(t, axis(t, "changes"), 20, map[string]float64{"quick": 1, "nodes": 3, "endpoints": 50}, "node.change.cpu")
	line, err := json.Marshal(catalog.List{Revision: 10, Members: []catalog.Endpoint{turned(1, 10)}})
	if err != nil {
		t.Fatal(err)
	}
	if each := r.Counts["change.bytes"]; r.Counts["written"] != 20 || each < float64(len(line)) || each > float64(len(line)+20) {
		t.Errorf("%v bytes for each of %v changes, of some %d bytes", each, r.Counts["written"], len(line))
	}
}

func TestTogether(t *testing.T) {
	t.Parallel()
	r := plays(t, axis(t, "together"), 6, map[string]float64{"quick": 1, "others": 2, "endpoints": 50})
	if r.Values["together.refused"] != 0 {
		t.Errorf("%v asks were refused", r.Values["together.refused"])
	}
}

// A play that is cut short ends with all that it started.
func TestCancelled(t *testing.T) {
	t.Parallel()
	for _, a := range Axes() {
		s := spec(t, a, 3, map[string]float64{})
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		_, err := a.Play(ctx, s, quiet)
		cancel()
		if err == nil && a.Name != "module" {
			t.Errorf("%s: a play that was cut short says nothing of it", a.Name)
		}
	}
}
