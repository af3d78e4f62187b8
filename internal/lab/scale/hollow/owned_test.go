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

// The picked share is what the map of owners gives the node, and near the point.
func TestLayOutOwnership(t *testing.T) {
	t.Parallel()
	for x, nodes := range map[float64]int{3: 820, 50: 100, 200: 100} {
		layout, err := layOutOwnership(x, nodes, 20)
		if err != nil {
			t.Fatal(err)
		}
		set, ok := layout.ownerMap.PartitionsOf(memberName(layout.node))
		if !ok || set != layout.partitions || layout.ownerMap.Members[0].Zone == "" {
			t.Errorf("x %v: n%d has partitions %v, the map says %v", x, layout.node, layout.partitions, set)
		}
		cells := map[int]bool{}
		var mine []int
		for i := range layout.endpointCount {
			if layout.partitions.Has(ownership.PartitionOf(endpointAt(i).Cell)) {
				mine = append(mine, i)
				cells[endpointAt(i).Cell] = true
			}
		}
		if !slices.Equal(mine, layout.ownEndpoints) || len(cells) != layout.destinations || layout.endpointCount != endpointCountOf(int(x*float64(nodes)/3+0.5)) {
			t.Errorf("x %v: of %d endpoints the node has %d of %d destinations, want %d of %d", x, layout.endpointCount, len(layout.ownEndpoints), layout.destinations, len(mine), len(cells))
		}
		if off := float64(layout.destinations) - x; off < -3 || off > 3 {
			t.Errorf("x %v: the nearest node has %d destinations", x, layout.destinations)
		}
		if len(layout.otherEndpoints) != 20 || slices.ContainsFunc(layout.otherEndpoints, func(i int) bool { return slices.Contains(mine, i) }) {
			t.Errorf("x %v: endpoints of other nodes: %v", x, layout.otherEndpoints)
		}
	}
	if _, err := layOutOwnership(0, 820, 20); err == nil {
		t.Error("a fleet without destinations got no error")
	}
}

// The proxy forwards everything unchanged, counts by request even after a connection has ended, and calls its
// hook before the request is forwarded.
func TestMeteringProxy(t *testing.T) {
	t.Parallel()
	var seen []string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		seen = append(seen, "asked "+req.URL.Path)
		fmt.Fprintf(w, "this is %s", req.URL.Path)
	}))
	defer s.Close()
	proxy, err := openMeteringProxy(s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.close()
	proxy.setBeforeRequest(func(path string) { seen = append(seen, "before "+path) })
	nc, err := net.Dial("tcp", proxy.address())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	want := map[string]float64{}
	var count byteCounter
	responses := bufio.NewReader(io.TeeReader(nc, &count))
	for _, path := range []string{"/a", "/b?c=3,4-5", "/a"} {
		before := count
		fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
		resp, err := http.ReadResponse(responses, nil)
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
		got, requests := proxy.responseBytes(func(p string) bool { return p == path })
		if got != n || requests != map[string]int{"/a": 2, "/b?c=3,4-5": 1}[path] {
			t.Errorf("%s: %v bytes of %d requests, want %v", path, got, requests, n)
		}
	}
	if want := []string{"before /a", "asked /a", "before /b?c=3,4-5", "asked /b", "before /a", "asked /a"}; !slices.Equal(seen, want) {
		t.Errorf("seen: %q, want %q", seen, want)
	}
}

// A node is sent its share and no more, so the bytes depend on the share and not on the length of the whole
// list.
func TestOwned(t *testing.T) {
	t.Parallel()
	a := mustAxis(t, "owned")
	set := map[string]float64{"changes": 2, "quick": 1, "nodes": 60}
	mayBeMissing := []string{"owned.destinations.heap", "owned.destinations.rss"} // other tests run in this process
	r := mustPlay(t, a, 30, set, mayBeMissing...)
	layout, err := layOutOwnership(30, 60, 2)
	if err != nil {
		t.Fatal(err)
	}
	list := catalog.List{Revision: 1, Complete: true, Map: 1}
	for _, i := range layout.ownEndpoints {
		list.Members = append(list.Members, endpointAt(i))
	}
	raw, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	if over := r.Values["owned.list.bytes"] - float64(len(raw)); over < 0 || over > 1000 {
		t.Errorf("%v bytes for a list of %d", r.Values["owned.list.bytes"], len(raw))
	}
	m, err := layout.ownerMap.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if over := r.Values["owned.map.bytes"] - float64(len(m))*4/3; over < 0 || over > 1000 {
		t.Errorf("%v bytes for a map of %d in base64", r.Values["owned.map.bytes"], len(m))
	}
	raw, err = json.Marshal(catalog.List{Revision: 10, Members: []catalog.Endpoint{changedEndpoint(layout.ownEndpoints[0], firstChangeTime)}, Map: 1})
	if err != nil {
		t.Fatal(err)
	}
	if over := r.Values["owned.change.bytes"] - float64(len(raw)); over < 0 || over > 20 {
		t.Errorf("%v bytes for a change of %d", r.Values["owned.change.bytes"], len(raw))
	}
	if v := r.Counts["foreign.bytes"]; v <= 0 || v >= float64(len(raw)) { // a heartbeat that carries the new revision
		t.Errorf("%v bytes for changes of other shares", v)
	}
	if r.Counts["endpoints"] != float64(len(layout.ownEndpoints)) || r.Counts["partitions"] != float64(layout.partitions.Len()) {
		t.Errorf("counts %v", r.Counts)
	}
}

// A node whose list differs from its share is found.
func TestNodeIsCheckedAgainstItsShare(t *testing.T) {
	t.Parallel()
	layout, err := layOutOwnership(3, 60, 2)
	if err != nil {
		t.Fatal(err)
	}
	s, err := openStandIn(len(layout.ownEndpoints))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.close(); err != nil {
			t.Error(err)
		}
	})
	n := startNode(t, s.address())
	awaitNodeList(t, n, firstRevision, len(layout.ownEndpoints))
	// The node has the first endpoints, as many as its share has.
	want := 0
	for _, i := range layout.ownEndpoints {
		if i < len(layout.ownEndpoints) {
			want++
		}
	}
	if known, err := countKnownEndpoints(t.Context(), n, layout); err != nil || known != want {
		t.Errorf("%d of the share are known, %v; want %d", known, err, want)
	}
	awaitNodeList(t, n, s.change(endpointAt(len(layout.ownEndpoints))), len(layout.ownEndpoints)+1)
	if _, err := countKnownEndpoints(t.Context(), n, layout); err == nil {
		t.Error("a node with one endpoint more passes")
	}
	dir := n.Spec.stateDir()
	if err := checkCachedList(t.TempDir(), layout); err == nil {
		t.Error("a node without a list cache passes")
	}
	if err := awaitEvery(t.Context(), requestPollInterval, "the list cache", func() bool {
		raw, _ := os.ReadFile(filepath.Join(dir, "list.json"))
		return bytes.Contains(raw, []byte(endpointAt(len(layout.ownEndpoints)).ID))
	}); err != nil {
		t.Fatal(err)
	}
	if err := n.Close(); err != nil {
		t.Fatal(err)
	}
	if err := checkCachedList(dir, layout); err == nil || want == len(layout.ownEndpoints) {
		t.Errorf("a node with other endpoints passes; %d of %d are its own", want, len(layout.ownEndpoints))
	}
	layoutOfNode := &ownershipLayout{}
	for i := range len(layout.ownEndpoints) + 1 {
		layoutOfNode.ownEndpoints = append(layoutOfNode.ownEndpoints, i)
	}
	if err := checkCachedList(dir, layoutOfNode); err != nil {
		t.Error(err)
	}
	layoutOfNode.ownEndpoints = layoutOfNode.ownEndpoints[1:]
	if err := checkCachedList(dir, layoutOfNode); err == nil {
		t.Error("a node with one endpoint more in its list cache passes")
	}
}

func TestDirectory(t *testing.T) {
	t.Parallel()
	mustPlay(t, mustAxis(t, "directory"), 300, nil)
}

func TestSplitPartitions(t *testing.T) {
	t.Parallel()
	var set, union ownership.Set
	for p := 0; p < ownership.PartitionCount; p += 3 {
		set.Add(p)
	}
	parts := splitPartitions(set, 500)
	for _, p := range parts {
		if p.Len() > 500 || union.Without(p) != union {
			t.Errorf("%d partitions in a part, or some twice", p.Len())
		}
		union = union.Union(p)
	}
	if union != set || len(parts) != 3 {
		t.Errorf("%d parts have %d of %d partitions", len(parts), union.Len(), set.Len())
	}
}
