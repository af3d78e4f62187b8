package hollow

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"starlingusher/fleet/catalog"
	"starlingusher/fleet/ownership"
)

// The share that is picked is what the map gives the node, and near the point.
func TestRealm(t *testing.T) {
	t.Parallel()
	for x, nodes := range map[float64]int{3: 820, 50: 100, 200: 100} {
		of, err := realmOf(x, nodes, 20)
		if err != nil {
			t.Fatal(err)
		}
		set, ok := of.owners.PartitionsOf(memberName(of.node))
		if !ok || set != of.set || of.owners.Members[0].Zone == "" {
			t.Errorf("%v: n%d has %v, the map says %v", x, of.node, of.set, set)
		}
		cells := map[int]bool{}
		var mine []int
		for i := range of.endpoints {
			if of.set.Has(ownership.PartitionOf(endpoint(i).Cell)) {
				mine = append(mine, i)
				cells[endpoint(i).Cell] = true
			}
		}
		if !slices.Equal(mine, of.mine) || len(cells) != of.owned || of.endpoints != endpointsOf(int(x*float64(nodes)/3+0.5)) {
			t.Errorf("%v: of %d endpoints it has %d of %d destinations, want %d of %d", x, of.endpoints, len(of.mine), of.owned, len(mine), len(cells))
		}
		if off := float64(of.owned) - x; off < -3 || off > 3 {
			t.Errorf("%v: the node nearest to it has %d", x, of.owned)
		}
		if len(of.others) != 20 || slices.ContainsFunc(of.others, func(i int) bool { return slices.Contains(mine, i) }) {
			t.Errorf("%v: of others are %v", x, of.others)
		}
	}
	if _, err := realmOf(0, 820, 20); err == nil {
		t.Error("a fleet without destinations was laid out")
	}
}

// A meter passes all on as it is, counts it by ask, also on a connection that has ended, and its hook comes before the ask.
func TestMeter(t *testing.T) {
	t.Parallel()
	var seen []string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		seen = append(seen, "asked "+req.URL.Path)
		fmt.Fprintf(w, "this is %s", req.URL.Path)
	}))
	defer s.Close()
	m, err := openMeter(s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer m.close()
	m.hook(func(path string) { seen = append(seen, "before "+path) })
	nc, err := net.Dial("tcp", m.address())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	want := map[string]float64{}
	var count counter
	from := bufio.NewReader(io.TeeReader(nc, &count))
	for _, path := range []string{"/a", "/b?c=3,4-5", "/a"} {
		before := count
		fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
		resp, err := http.ReadResponse(from, nil)
		if err != nil {
			t.Fatal(err)
		}
		raw, err := io.ReadAll(resp.Body)
		if plain, _, _ := strings.Cut(path, "?"); err != nil || string(raw) != "this is "+plain {
			t.Fatalf("%q, %v", raw, err)
		}
		want[path] += float64(count - before)
	}
	nc.Close()
	for path, n := range want {
		got, asks := m.received(func(p string) bool { return p == path })
		if got != n || asks != map[string]int{"/a": 2, "/b?c=3,4-5": 1}[path] {
			t.Errorf("%s: %v bytes of %d asks, want %v", path, got, asks, n)
		}
	}
	if want := []string{"before /a", "asked /a", "before /b?c=3,4-5", "asked /b", "before /a", "asked /a"}; !slices.Equal(seen, want) {
		t.Errorf("seen: %q, want %q", seen, want)
	}
}

// A node has its share and no more of it is sent: bytes are the share's, however long the whole list.
func TestOwned(t *testing.T) {
	t.Parallel()
	a := axis(t, "owned")
	set := map[string]float64{"changes": 2, "quick": 1, "nodes": 60}
	some := []string{"owned.destinations.heap", "owned.destinations.rss"} // other tests run beside
	r := plays(t, a, 30, set, some...)
	of, err := realmOf(30, 60, 2)
	if err != nil {
		t.Fatal(err)
	}
	list := catalog.List{Revision: 1, Complete: true, Map: 1}
	for _, i := range of.mine {
		list.Members = append(list.Members, endpoint(i))
	}
	raw, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	if over := r.Values["owned.list.bytes"] - float64(len(raw)); over < 0 || over > 1000 {
		t.Errorf("%v bytes for a list of %d", r.Values["owned.list.bytes"], len(raw))
	}
	m, err := of.owners.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if over := r.Values["owned.map.bytes"] - float64(len(m))*4/3; over < 0 || over > 1000 {
		t.Errorf("%v bytes for a map of %d in base64", r.Values["owned.map.bytes"], len(m))
	}
	raw, err = json.Marshal(catalog.List{Revision: 10, Members: []catalog.Endpoint{turned(of.mine[0], firstTurn)}, Map: 1})
	if err != nil {
		t.Fatal(err)
	}
	if over := r.Values["owned.change.bytes"] - float64(len(raw)); over < 0 || over > 20 {
		t.Errorf("%v bytes for a change of %d", r.Values["owned.change.bytes"], len(raw))
	}
	if v := r.Counts["foreign.bytes"]; v <= 0 || v >= float64(len(raw)) { // a heartbeat that carries the revision on
		t.Errorf("%v bytes for changes that are not the node's", v)
	}
	if r.Counts["endpoints"] != float64(len(of.mine)) || r.Counts["partitions"] != float64(of.set.Len()) {
		t.Errorf("%v", r.Counts)
	}
}

// What a node has is held against its share, so that a node with another list is found.
func TestTruth(t *testing.T) {
	t.Parallel()
	of, err := realmOf(3, 60, 2)
	if err != nil {
		t.Fatal(err)
	}
	s, err := openSource(len(of.mine))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.close(); err != nil {
			t.Error(err)
		}
	})
	n := newNode(t, s.address())
	mustHave(t, n, firstRevision, len(of.mine))
	// It has the first endpoints, as many as its share has.
	want := 0
	for _, i := range of.mine {
		if i < len(of.mine) {
			want++
		}
	}
	if known, err := remembered(t.Context(), n, of); err != nil || known != want {
		t.Errorf("%d of the share are known, %v; want %d", known, err, want)
	}
	mustHave(t, n, s.change(endpoint(len(of.mine))), len(of.mine)+1)
	if _, err := remembered(t.Context(), n, of); err == nil {
		t.Error("a node with one endpoint more passes")
	}
	dir := n.Spec.state()
	if err := keptIs(t.TempDir(), of); err == nil {
		t.Error("a node that has kept nothing passes")
	}
	if err := awaitEvery(t.Context(), lookWide, "the kept list", func() bool {
		raw, _ := os.ReadFile(filepath.Join(dir, "list.json"))
		return bytes.Contains(raw, []byte(endpoint(len(of.mine)).ID))
	}); err != nil {
		t.Fatal(err)
	}
	if err := n.Close(); err != nil {
		t.Fatal(err)
	}
	if err := keptIs(dir, of); err == nil || want == len(of.mine) {
		t.Errorf("a node with other endpoints passes; %d of %d are its own", want, len(of.mine))
	}
	its := &realm{}
	for i := range len(of.mine) + 1 {
		its.mine = append(its.mine, i)
	}
	if err := keptIs(dir, its); err != nil {
		t.Error(err)
	}
	its.mine = its.mine[1:]
	if err := keptIs(dir, its); err == nil {
		t.Error("a node with one endpoint more passes by its kept list")
	}
}

func TestDirectory(t *testing.T) {
	t.Parallel()
	plays(t, axis(t, "directory"), 300, nil)
}

func TestSplit(t *testing.T) {
	t.Parallel()
	var set, again ownership.Set
	for p := 0; p < ownership.PartitionCount; p += 3 {
		set.Add(p)
	}
	parts := split(set, 500)
	for _, p := range parts {
		if p.Len() > 500 || again.Without(p) != again {
			t.Errorf("%d partitions, or some twice", p.Len())
		}
		again = again.Union(p)
	}
	if again != set || len(parts) != 3 {
		t.Errorf("%d parts have %d of %d", len(parts), again.Len(), set.Len())
	}
}
