package directory

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"pgregory.net/rapid"

	"starlingusher/fleet/catalog"
	"starlingusher/fleet/ownership"
	"starlingusher/internal/registry"
)

func endpointOf(id string, cell int) catalog.Endpoint {
	e := endpoint(id, catalog.Serving)
	e.Cell = cell
	return e
}

func deleted(e catalog.Endpoint) catalog.Endpoint { e.Phase = catalog.Deleted; return e }

func setOf(cells ...int) *ownership.Set {
	var s ownership.Set
	for _, c := range cells {
		s.Add(ownership.PartitionOf(c))
	}
	return &s
}

// getList returns a complete response.
func getList(t *testing.T, o *testReplica, query string) (int, http.Header, string) {
	t.Helper()
	resp, err := http.Get("http://" + o.cfg.HTTP + "/registry/instances" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(raw)
}

// watchLines returns the lines of a watch unchanged, including empty ones.
func watchLines(t *testing.T, o *testReplica, query string) (http.Header, <-chan string, func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.cfg.HTTP+"/registry/instances?watch=1"+query, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("watch%s: %s", query, resp.Status)
	}
	out, done := make(chan string, 1000), make(chan struct{})
	go func() {
		defer close(done)
		defer close(out)
		defer resp.Body.Close()
		r := bufio.NewReader(resp.Body)
		for {
			l, err := r.ReadString('\n')
			if err != nil {
				return
			}
			out <- l
		}
	}()
	return resp.Header, out, func() { cancel(); <-done }
}

var firstMap = sync.OnceValues(func() (*ownership.Map, error) {
	return ownership.Make(1, 2, []ownership.Member{{Name: "n1", Zone: "a", Weight: 1}, {Name: "n2", Zone: "b", Weight: 1}}, nil)
})

func encodedMap(t testing.TB, number int64) []byte {
	t.Helper()
	first, err := firstMap()
	if err != nil {
		t.Fatal(err)
	}
	m := *first
	m.Number = number
	raw, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// putMap writes the record of the map in the steps of its regular writer.
func putMap(t *testing.T, o *testReplica, number int64) error {
	t.Helper()
	op := o.operator()
	var w WriteResult
	if err := op.call(t.Context(), &w, http.MethodPut, "/records/"+ownership.RecordName, "", recordRequest{Holder: "w"}); err != nil {
		t.Fatal(err)
	}
	err := op.call(t.Context(), nil, http.MethodPost, "/records/"+ownership.RecordName, "", recordRequest{Token: w.Token, Value: encodedMap(t, number)})
	if err2 := op.call(t.Context(), nil, http.MethodDelete, "/records/"+ownership.RecordName, "", recordRequest{Token: w.Token}); err2 != nil {
		t.Fatal(err2)
	}
	return err
}

// Requests without partitions must get the same bytes as in builds without partitions, whatever the map.
func TestWholeListIsUnchanged(t *testing.T) {
	o := startReplicas(t, 1, nil)[0]
	a, b := endpointOf("a", 1), endpointOf("b", 2)
	put(t, o, "*", a, b)
	const one = `{"id":%q,"host_port":"10.0.0.1:80","locality":"a","flavor":"k","cell":%d,"phase":%q,"size":1,"up_since_ms":0}`
	whole := `{"revision":1,"complete":true,"members":[` + fmt.Sprintf(one, "a", 1, "SERVING") + `,` + fmt.Sprintf(one, "b", 2, "SERVING") + "]}\n"
	head, lines, end := watchLines(t, o, "&after=0")
	defer end()
	if l := <-lines; l != whole {
		t.Errorf("first line: %s", l)
	}
	if err := putMap(t, o, 3); err != nil {
		t.Fatal(err)
	}
	put(t, o, "*", deleted(b))
	change := `{"revision":2,"complete":false,"members":[` + fmt.Sprintf(one, "b", 2, "DELETED") + "]}\n"
	if l := <-lines; l != change {
		t.Errorf("second line: %s", l)
	}
	if l := <-lines; l != "\n" {
		t.Errorf("without a change: %q", l)
	}
	_, header, body := getList(t, o, "?after=1")
	if body != change {
		t.Errorf("changes after 1: %s", body)
	}
	for h, more := range map[*http.Header]string{&head: "", &header: "Content-Length "} {
		names := slices.Sorted(maps.Keys(*h))
		if got, want := strings.Join(names, " "), more+"Content-Type Date Etag Registry-Age-Ms Registry-History Registry-Revision"; got != want {
			t.Errorf("headers %s", got)
		}
	}
}

func TestWatchOfPartitions(t *testing.T) {
	o := startReplicas(t, 1, nil)[0]
	put(t, o, "*", endpointOf("a", 1), endpointOf("b", 2), endpointOf("c", 3))
	head, lines, end := watchLines(t, o, "&after=0&partitions="+setOf(1, 2).String())
	defer end()
	next := func() (l catalog.List) {
		t.Helper()
		raw, ok := <-lines
		if !ok {
			t.Fatal("the watch has ended")
		}
		if raw == "\n" {
			return l
		}
		if err := json.Unmarshal([]byte(raw), &l); err != nil {
			t.Fatal(err)
		}
		if again, err := json.Marshal(l); err != nil || string(again)+"\n" != raw {
			t.Errorf("%s differs from an encoded list, %s", raw, again)
		}
		return l
	}
	want := func(what string, revision, number int64, members ...catalog.Endpoint) {
		t.Helper()
		l := next()
		for l.Revision == 0 { // heartbeats, on a slow machine
			l = next()
		}
		if l.Complete != (revision == 1) || l.Revision != revision || l.Map != number || !slices.Equal(l.Members, members) {
			t.Errorf("%s: %+v", what, l)
		}
	}
	if head.Get(HeaderPartitions) != "4096" || head.Get(HeaderMap) != "0" || head.Get("ETag") != "" {
		t.Errorf("headers %v", head)
	}
	want("first", 1, 0, endpointOf("a", 1), endpointOf("b", 2))
	put(t, o, "*", endpointOf("d", 2))
	want("a change", 2, 0, endpointOf("d", 2))
	put(t, o, "*", endpointOf("e", 3)) // outside of the watched partitions
	put(t, o, "*", endpointOf("f", 4))
	want("a new revision only", 4, 0)
	if l := next(); l.Revision != 0 {
		t.Errorf("after the new revision: %+v", l)
	}
	if err := putMap(t, o, 7); err != nil {
		t.Fatal(err)
	}
	want("a new map number", 4, 7)
	put(t, o, "*", endpointOf("a", 2), endpointOf("b", 3), endpointOf("c", 4), endpointOf("e", 1)) // moves within the partitions, out, elsewhere, and in
	l := next()
	slices.SortFunc(l.Members, func(a, b catalog.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	if l.Revision != 5 || l.Map != 7 || !slices.Equal(l.Members, []catalog.Endpoint{endpointOf("a", 2), deleted(endpointOf("b", 2)), endpointOf("e", 1)}) {
		t.Errorf("moves: %+v", l)
	}
	put(t, o, "*", deleted(endpointOf("a", 2)))
	want("a deletion", 6, 7, deleted(endpointOf("a", 2)))

	code, header, body := getList(t, o, "?after=4&partitions="+setOf(1, 2).String())
	if err := json.Unmarshal([]byte(body), &l); err != nil || code != 200 || header.Get(HeaderMap) != "7" || header.Get("ETag") != "" ||
		l.Complete || l.Revision != 6 || l.Map != 7 || len(l.Members) != 3 {
		t.Errorf("changes after 4: %d, %v, %s", code, header, body)
	}
	o.stop()
	o.start()
	eventually(t, "the leader", o.replica.isReadyLeader)
	head, again, end2 := watchLines(t, o, "&after=5&partitions="+setOf(1, 2).String())
	defer end2()
	if l := <-again; head.Get(HeaderMap) != "7" || !strings.HasPrefix(l, `{"revision":6,"complete":false,`) || !strings.HasSuffix(l, `"DELETED","size":1,"up_since_ms":0}],"map":7}`+"\n") {
		t.Errorf("after a restart: %v, %s", head, l)
	}
}

func TestInvalidPartitionsAreRefused(t *testing.T) {
	o := startReplicas(t, 1, nil)[0]
	put(t, o, "*", endpointOf("a", 1))
	for _, q := range []string{"", "x", "4096", "-1", "1,1", "2,1", "1-", "5-4", "1,,2", "1&partitions=2", "%20"} {
		for _, watch := range []string{"", "&watch=1"} {
			code, _, body := getList(t, o, "?partitions="+q+watch)
			if code != http.StatusBadRequest || strings.Count(body, "\n") != 1 {
				t.Errorf("partitions=%s%s: %d %s", q, watch, code, body)
			}
		}
	}
	code, _, body := getList(t, o, "?partitions=0-4095")
	if l := (catalog.List{}); code != 200 || json.Unmarshal([]byte(body), &l) != nil || len(l.Members) != 1 {
		t.Errorf("all partitions: %d %s", code, body)
	}
}

// olderReplica is a proxy that behaves like a replica of an older build: it knows neither the parameter nor
// the headers of partitions.
func olderReplica(t *testing.T, o *testReplica) *httptest.Server {
	target := &url.URL{Scheme: "http", Host: o.cfg.HTTP}
	p := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) {
		r.SetURL(target)
		q := r.Out.URL.Query()
		q.Del("partitions")
		r.Out.URL.RawQuery = q.Encode()
	}}
	p.FlushInterval, p.ErrorLog = -1, slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	p.ModifyResponse = func(resp *http.Response) error {
		resp.Header.Del(HeaderPartitions)
		resp.Header.Del(HeaderMap)
		return nil
	}
	s := httptest.NewServer(p)
	t.Cleanup(s.Close)
	return s
}

// A watcher of some partitions must have exactly their list while replicas stop, restart, take and send
// snapshots, and one of them is of an older build.
func TestWatcherOfPartitionsSurvivesRestarts(t *testing.T) {
	all := startReplicas(t, 3, func(c *Config) {
		c.Snapshot.Every, c.Snapshot.Trailing, c.Snapshot.Interval.Duration = 5, 5, 50*time.Millisecond
	})
	put(t, all[0], "*", endpointOf("e0", 0), endpointOf("e1", 1))
	set := setOf(0, 1, 2)
	var lines sync.Mutex
	var logs bytes.Buffer
	w := registry.Watcher{
		FleetSize: 1, Client: http.DefaultClient, Cursor: registry.NewCursor(registry.Position{}), Partitions: set,
		Log: slog.New(slog.NewTextHandler(&lockedWriter{w: &logs, mu: &lines}, nil)),
	}
	for _, o := range all[1:] {
		w.Addresses = append(w.Addresses, o.cfg.HTTP)
	}
	w.Addresses = append(w.Addresses, olderReplica(t, all[0]).Listener.Addr().String())
	var mu sync.Mutex
	have, last, number := map[string]catalog.Endpoint{}, int64(0), int64(0)
	ctx, cancel := context.WithCancel(t.Context())
	var watch sync.WaitGroup
	watch.Go(func() {
		w.Watch(ctx, func(n registry.Update) error {
			mu.Lock()
			defer mu.Unlock()
			if n.Complete {
				clear(have)
			}
			for _, m := range n.Members {
				if !set.Has(ownership.PartitionOf(m.Cell)) {
					t.Errorf("%+v is outside of the watched partitions", m)
				}
				if have[m.ID] = m; m.Phase == catalog.Deleted {
					delete(have, m.ID)
				}
			}
			if n.Revision < last {
				t.Errorf("revision %d after %d", n.Revision, last)
			}
			last, number = n.Revision, max(number, n.Map)
			return nil
		})
	})
	defer func() { cancel(); watch.Wait() }()
	expectSameList := func(o *testReplica, what string) {
		t.Helper()
		eventually(t, what, func() bool {
			var want catalog.List
			o.replica.fsm.view(func(s *catalog.State) { want = s.PartitionList(*set) })
			mu.Lock()
			defer mu.Unlock()
			if last != want.Revision || len(have) != len(want.Members) {
				return false
			}
			for _, m := range want.Members {
				if have[m.ID] != m {
					return false
				}
			}
			return true
		})
	}
	for i := range 30 {
		put(t, all[i%3], "*", endpointOf(fmt.Sprint("e", i%7), i%5))
	}
	expectSameList(all[0], "the list after writes")
	if err := putMap(t, all[0], 5); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the map's number", func() bool { mu.Lock(); defer mu.Unlock(); return number == 5 })
	for _, down := range []*testReplica{all[1], all[2]} {
		down.stop()
		for i := range 20 {
			put(t, all[0], "*", endpointOf(fmt.Sprint("e", i%7), (i*3+1)%5))
		}
		if _, err := all[0].operator().Drain(t.Context(), "e3"); err != nil {
			t.Fatal(err)
		}
		down.start()
		eventually(t, "the replica", func() bool {
			return down.server.currentStatus(false).Revision == all[0].server.currentStatus(false).Revision
		})
		expectSameList(all[0], "the list with "+down.cfg.ID+" down")
	}
	if st := all[1].server.currentStatus(false); st.MapNumber != 5 || st.MapError != "" {
		t.Errorf("the map after a restart: %+v", st)
	}
	for _, o := range all { // each replica on its own
		m, err := registry.FetchMap(t.Context(), http.DefaultClient, []string{o.cfg.HTTP}, 5)
		if err != nil || m.Number != 5 {
			t.Errorf("the map at %s: %v", o.cfg.ID, err)
		}
	}
	lines.Lock()
	defer lines.Unlock()
	if n := strings.Count(logs.String(), "would send the whole list"); n > 1 {
		t.Errorf("the older replica was logged %d times: %s", n, logs.String())
	}
}

type lockedWriter struct {
	w  io.Writer
	mu *sync.Mutex
}

func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

// If all replicas are of an older build, the watcher must accept nothing, and log each of them once.
func TestWatcherOfPartitionsRejectsOlderReplicas(t *testing.T) {
	o := startReplicas(t, 1, nil)[0]
	put(t, o, "*", endpointOf("a", 1))
	var mu sync.Mutex
	var logs bytes.Buffer
	proxy := olderReplica(t, o)
	queries := make(chan string, 1000)
	countingProxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		queries <- req.URL.RawQuery
		proxy.Config.Handler.ServeHTTP(w, req)
	}))
	t.Cleanup(countingProxy.Close)
	w := registry.Watcher{
		Addresses: []string{countingProxy.Listener.Addr().String(), proxy.Listener.Addr().String()}, FleetSize: 1, Client: http.DefaultClient,
		Cursor: registry.NewCursor(registry.Position{}), Partitions: setOf(1), Log: slog.New(slog.NewTextHandler(&lockedWriter{w: &logs, mu: &mu}, nil)),
	}
	ctx, cancel := context.WithCancel(t.Context())
	var watch sync.WaitGroup
	watch.Go(func() {
		w.Watch(ctx, func(n registry.Update) error {
			t.Errorf("accepted: %+v", n)
			return nil
		})
	})
	for range 2 {
		if q := <-queries; !strings.Contains(q, "after=0") || !strings.Contains(q, "partitions=") {
			t.Errorf("unexpected request %s", q)
		}
	}
	cancel()
	watch.Wait()
	if n := strings.Count(logs.String(), "would send the whole list"); n != 2 {
		t.Errorf("logged %d times for two servers: %s", n, logs.String())
	}
}

func TestMapRecordIsValidated(t *testing.T) {
	o := startReplicas(t, 1, func(c *Config) { c.Snapshot.Every, c.Snapshot.Interval.Duration = 1, 20*time.Millisecond })[0]
	op := o.operator()
	put(t, o, "*", endpointOf("a", 1))
	record := "/records/" + ownership.RecordName
	expectBadRequest := func(method string, request recordRequest, what string) {
		t.Helper()
		var refusal *ResponseError
		if err := op.call(t.Context(), nil, method, record, "", request); !errors.As(err, &refusal) || refusal.StatusCode != http.StatusBadRequest || refusal.Outcome != "refused" {
			t.Errorf("%s: %v", what, err)
		}
	}
	expectBadRequest(http.MethodPut, recordRequest{Holder: "w", Value: []byte("no map")}, "an invalid map when acquiring")
	if err := putMap(t, o, 5); err != nil {
		t.Fatal(err)
	}
	var w WriteResult
	if err := op.call(t.Context(), &w, http.MethodPut, record, "", recordRequest{Holder: "w"}); err != nil {
		t.Fatal(err)
	}
	expectBadRequest(http.MethodPut, recordRequest{Holder: "w", Value: encodedMap(t, 5)}, "the same number when acquiring")
	expectBadRequest(http.MethodPost, recordRequest{Token: w.Token}, "an empty value")
	expectBadRequest(http.MethodPost, recordRequest{Token: w.Token, Value: []byte("no map")}, "no map")
	expectBadRequest(http.MethodPost, recordRequest{Token: w.Token, Value: encodedMap(t, 5)}, "the same number")
	expectBadRequest(http.MethodPost, recordRequest{Token: w.Token, Value: encodedMap(t, 4)}, "a smaller number")
	truncated := encodedMap(t, 6)
	expectBadRequest(http.MethodPost, recordRequest{Token: w.Token, Value: truncated[:len(truncated)/2]}, "half a map")
	if err := op.call(t.Context(), nil, http.MethodPost, record, "", recordRequest{Token: w.Token - 1, Value: encodedMap(t, 6)}); !errors.Is(err, catalog.ErrNotHolder) {
		t.Errorf("an old token: %v", err)
	}
	if err := op.call(t.Context(), nil, http.MethodPost, "/records/other", "", recordRequest{Token: 1, Value: []byte("no map")}); !errors.Is(err, catalog.ErrNotFound) {
		t.Errorf("another record: %v", err)
	}
	if st := o.server.currentStatus(false); st.MapNumber != 5 || st.MapError != "" {
		t.Errorf("status %+v", st)
	}
	// Of concurrent writes with the same number only one may succeed.
	var writes sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for range 8 {
		writes.Go(func() {
			op := o.operator()
			err := op.call(context.Background(), nil, http.MethodPost, record, "", recordRequest{Token: w.Token, Value: encodedMap(t, 6)})
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				done++
			}
		})
	}
	if writes.Wait(); done != 1 {
		t.Errorf("number 6 was accepted %d times", done)
	}

	// A leader of an older build accepts any value. The previous map must stay in force, and the status must
	// say why.
	putUnchecked := func(value []byte, reason string) {
		t.Helper()
		res, err := o.replica.propose(catalog.Command{Update: &catalog.RecordOp{Name: ownership.RecordName, Token: w.Token, Value: value}})
		if err := errors.Join(err, res.Err); err != nil {
			t.Fatal(err)
		}
		if st := o.server.currentStatus(false); st.MapNumber != 6 || !strings.Contains(st.MapError, reason) || reason == "" {
			t.Errorf("%s: status %d, %q", reason, st.MapNumber, st.MapError)
		}
	}
	putUnchecked(encodedMap(t, 3), "3 after 6")
	putUnchecked(nil, " ")
	putUnchecked([]byte("no map"), " ")
	raw, _, err := op.Do(t.Context(), http.MethodGet, "/metrics", "", nil)
	if err != nil || !strings.Contains(string(raw), "\ndirectory_map_number 6\n") || !strings.Contains(string(raw), "\ndirectory_map_wrong 1\n") {
		t.Errorf("metrics: %v", err)
	}
	if _, err := registry.FetchMap(t.Context(), http.DefaultClient, []string{o.cfg.HTTP}, 0); err == nil {
		t.Error("an invalid map was fetched")
	}
	if err := op.call(t.Context(), nil, http.MethodPost, record, "", recordRequest{Token: w.Token, Value: encodedMap(t, 7)}); err != nil {
		t.Error(err)
	}
	o.stop()
	o.start()
	eventually(t, "the leader", o.replica.isReadyLeader)
	if st := o.server.currentStatus(false); st.MapNumber != 7 || st.MapError != "" {
		t.Errorf("after a restart: %+v", st)
	}
	expectBadRequest(http.MethodPost, recordRequest{Token: w.Token, Value: encodedMap(t, 7)}, "the same number after a restart")

	backup, _, err := op.Backup(t.Context(), true)
	if err != nil {
		t.Fatal(err)
	}
	if err := op.call(t.Context(), nil, http.MethodPost, record, "", recordRequest{Token: w.Token, Value: encodedMap(t, 9)}); err != nil {
		t.Fatal(err)
	}
	if _, err := op.Restore(t.Context(), backup); err != nil {
		t.Fatal(err)
	}
	if st := o.server.currentStatus(false); st.MapNumber != 7 || st.MapError != "" {
		t.Errorf("after a restore: %+v", st)
	}
}

func TestListBoundIsEnforced(t *testing.T) {
	o := startReplicas(t, 1, func(c *Config) { c.List.MaxEndpoints = 3 })[0]
	op := o.operator()
	expectFull := func(err error, what string) {
		t.Helper()
		var refusal *ResponseError
		if !errors.As(err, &refusal) || refusal.StatusCode != http.StatusInsufficientStorage || refusal.Outcome != "refused" || !errors.Is(err, catalog.ErrFull) {
			t.Errorf("%s: %v", what, err)
		}
	}
	put(t, o, "*", endpointOf("a", 1), endpointOf("b", 2), endpointOf("c", 3))
	backup, _, err := op.Backup(t.Context(), true)
	if err != nil {
		t.Fatal(err)
	}
	before := o.server.currentStatus(false).Applied
	_, err = op.Put(t.Context(), []catalog.Endpoint{endpointOf("d", 1)}, false, true, "*")
	expectFull(err, "one more")
	_, err = op.Put(t.Context(), []catalog.Endpoint{endpointOf("a", 1), endpointOf("d", 1), endpointOf("e", 1), endpointOf("f", 1)}, true, true, "*")
	expectFull(err, "a whole list")
	err = op.call(t.Context(), nil, http.MethodPut, "/registry/registrations/d", "", map[string]any{"member": endpointOf("d", 1), "ttl_ms": 1000})
	expectFull(err, "a registration")
	last, err := o.replica.store.LastIndex()
	if err != nil {
		t.Fatal(err)
	}
	for i := before + 1; i <= last; i++ { // the leader may add entries of its own
		var entry raft.Log
		if err := o.replica.store.GetLog(i, &entry); err != nil {
			t.Fatal(err)
		}
		if entry.Type != raft.LogCommand {
			continue
		}
		var c catalog.Command
		if err := decodeWithChecksum(commandMark, entry.Data, &c); err != nil {
			t.Fatal(err)
		}
		if c.Write != nil {
			t.Errorf("a refused write was proposed: entry %d after %d: %+v", i, before, c.Write)
		}
	}
	put(t, o, "*", endpointOf("a", 9), deleted(endpointOf("b", 2)))
	put(t, o, "*", endpointOf("d", 1))
	o.stop()
	o.cfg.List.MaxEndpoints = 2
	o.start()
	eventually(t, "the leader", o.replica.isReadyLeader)
	_, err = op.Restore(t.Context(), backup)
	expectFull(err, "a backup")
	put(t, o, "*", deleted(endpointOf("d", 1)))
	for _, limit := range []int{0, catalog.MaxEndpoints + 1} {
		if c := o.cfg; true {
			c.List.MaxEndpoints = limit
			if err := c.Validate(); err == nil || !strings.Contains(err.Error(), "list.most") {
				t.Errorf("list.most %d: %v", limit, err)
			}
		}
	}
}

// applyCommand applies a command to a state machine as Raft does.
func applyCommand(t testing.TB, f *fsm, c catalog.Command) catalog.Result {
	t.Helper()
	raw, err := encodeWithChecksum(commandMark, c)
	if err != nil {
		t.Fatal(err)
	}
	res, ok := f.Apply(&raft.Log{Data: raw}).(catalog.Result)
	if !ok || res.Err != nil {
		t.Fatalf("%+v: %v", c, res.Err)
	}
	return res
}

func newBootstrappedFSM(t testing.TB) *fsm {
	f := newFSM(1<<20, func(err error) { t.Error(err) }, func(err error) { t.Error(err) })
	applyCommand(t, f, catalog.Command{At: 1, Bootstrap: &catalog.Bootstrap{}})
	return f
}

func writeCommand(members ...catalog.Endpoint) catalog.Command {
	return catalog.Command{Write: &catalog.Write{Base: catalog.Base{Any: true}, Members: members}}
}

// A change in one partition must be encoded once for all its watches, and cost watches of other partitions
// nothing.
func TestPartitionLinesAreShared(t *testing.T) {
	f := newBootstrappedFSM(t)
	applyCommand(t, f, writeCommand(endpointOf("a", 1), endpointOf("b", 1)))
	line := f.lines[0].byPartition
	a, err := line.encodeFor(setOf(1, 2))
	b, err2 := line.encodeFor(setOf(1, 3))
	if err := errors.Join(err, err2); err != nil || len(a) == 0 || &a[0] != &b[0] {
		t.Errorf("%s and %s do not share their bytes: %v", a, b, err)
	}
	mine, others := setOf(1), setOf(2, 3, 4)
	if n := testing.AllocsPerRun(100, func() { line.encodeFor(mine) }); n > 0 {
		t.Errorf("an existing line costs %v allocations", n)
	}
	applyCommand(t, f, writeCommand(endpointOf("a", 5), endpointOf("b", 6)))
	line = f.lines[1].byPartition
	if out, err := line.encodeFor(others); out != nil || err != nil {
		t.Errorf("%s, %v", out, err)
	}
	if n := testing.AllocsPerRun(100, func() { line.encodeFor(others) }); n > 0 {
		t.Errorf("a line of other partitions costs %v allocations", n)
	}
	for _, p := range line.pieces {
		if p.body != nil {
			t.Errorf("partition %d was encoded without a watch", p.Partition)
		}
	}
}

// Watches of partitions must receive exactly what package catalog computes, in the encoding of a list,
// whatever is written, with any map, and across snapshots that are installed meanwhile. If one line is left
// out, the check must notice.
func TestPartitionLinesMatchList(t *testing.T) {
	for _, omitLine := range []bool{false, true} {
		found := 0
		rapid.Check(t, func(rt *rapid.T) {
			f := newBootstrappedFSM(t)
			set := setOf(rapid.SliceOfN(rapid.IntRange(0, 5), 1, 4).Draw(rt, "set")...)
			skip := rapid.IntRange(0, 3).Draw(rt, "left out")
			have := map[string]catalog.Endpoint{}
			at, _ := f.position()
			number := int64(0)
			for range 30 {
				switch rapid.IntRange(0, 7).Draw(rt, "command") {
				case 0:
					number++
					applyCommand(t, f, catalog.Command{Acquire: &catalog.RecordOp{Name: ownership.RecordName, Holder: "w", Value: encodedMap(t, number), SetValue: true}})
				case 1: // a snapshot from another replica
					other := newBootstrappedFSM(t)
					raw, err := EncodeBackup(f.state.Image())
					if err == nil {
						err = other.Restore(io.NopCloser(bytes.NewReader(raw)))
					}
					if err != nil {
						rt.Fatal(err)
					}
					applyCommand(t, other, writeCommand(endpointOf("s", rapid.IntRange(0, 5).Draw(rt, "cell"))))
					if raw, err = EncodeBackup(other.state.Image()); err == nil {
						err = f.Restore(io.NopCloser(bytes.NewReader(raw)))
					}
					if err != nil {
						rt.Fatal(err)
					}
				default:
					var all []catalog.Endpoint
					for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 6), 0, 4, rapid.ID[int]).Draw(rt, "ids") {
						e := endpointOf(fmt.Sprint("e<", i), rapid.IntRange(0, 5).Draw(rt, "cell"))
						e.Phase = rapid.SampledFrom([]string{catalog.Serving, catalog.Draining, catalog.Deleted}).Draw(rt, "phase")
						all = append(all, e)
					}
					applyCommand(t, f, writeCommand(all...))
				}
				lines, currentNumber, _, ok := f.linesAfter(at)
				if !ok && at.revision > 0 {
					rt.Fatalf("the lines after %+v are unknown", at)
				}
				if !ok { // a snapshot before the first write
					lines = nil
					raw, current, _, err := f.encodePartitions(0, set)
					var list catalog.List
					if err := errors.Join(err, json.Unmarshal(raw, &list)); err != nil {
						rt.Fatal(err)
					}
					for at = current; len(list.Members) > 0; list.Members = list.Members[1:] {
						have[list.Members[0].ID] = list.Members[0]
					}
				}
				if currentNumber != number && ok {
					rt.Fatalf("the map number is %d, reported is %d", number, currentNumber)
				}
				for _, line := range lines {
					raw, err := line.byPartition.encodeFor(set)
					if err != nil {
						rt.Fatal(err)
					}
					at.revision = line.revision
					if raw == nil {
						continue
					}
					var list catalog.List
					if err := json.Unmarshal(raw, &list); err != nil || len(list.Members) == 0 {
						rt.Fatalf("%s: %v", raw, err)
					}
					if again, err := json.Marshal(list); err != nil || string(again)+"\n" != string(raw) || list.Map != line.byPartition.mapNumber {
						rt.Fatalf("%s differs from an encoded list: %s, %v", raw, again, err)
					}
					before := maps.Clone(have)
					for _, m := range list.Members {
						if have[m.ID] = m; m.Phase == catalog.Deleted {
							delete(have, m.ID)
						}
					}
					if omitLine && !maps.Equal(before, have) {
						if skip--; skip == -1 {
							have = before
						}
					}
				}
				want := map[string]catalog.Endpoint{}
				for _, m := range f.state.FullList().Members {
					if set.Has(ownership.PartitionOf(m.Cell)) {
						want[m.ID] = m
					}
				}
				if !maps.Equal(have, want) {
					if omitLine && skip < 0 {
						found++
						return
					}
					rt.Fatalf("the watch has %v, the list has %v", have, want)
				}
				if omitLine && skip < 0 {
					rt.Fatal("the check did not notice that a line was left out")
				}
			}
		})
		if omitLine && found < 50 {
			t.Errorf("only %d omitted lines were tried", found)
		}
	}
}

// A change from an older build's snapshot does not record which endpoints left a partition. The watch must be
// cut, and the next request must get the complete list.
func TestOlderSnapshotCutsPartitionWatches(t *testing.T) {
	f := newBootstrappedFSM(t)
	applyCommand(t, f, writeCommand(endpointOf("a", 1)))
	at, _ := f.position()
	other := newBootstrappedFSM(t)
	other.state = func() *catalog.State {
		i := f.state.Image()
		s, err := catalog.Load(i)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}()
	applyCommand(t, other, writeCommand(endpointOf("a", 2)))
	image := other.state.Image()
	for n := range image.Changes {
		image.Changes[n].Moved = nil
	}
	raw, err := EncodeBackup(image)
	if err == nil {
		err = f.Restore(io.NopCloser(bytes.NewReader(raw)))
	}
	if err != nil {
		t.Fatal(err)
	}
	lines, _, _, ok := f.linesAfter(at)
	if !ok || len(lines) != 1 {
		t.Fatalf("lines since: %v, %v", lines, ok)
	}
	if _, err := lines[0].byPartition.encodeFor(setOf(1)); !errors.Is(err, errMovesUnknown) {
		t.Errorf("error %v, want errMovesUnknown", err)
	}
	body, _, _, err := f.encodePartitions(at.revision, setOf(1))
	if want := `{"revision":2,"complete":true,"members":[]}` + "\n"; err != nil || string(body) != want {
		t.Errorf("the next request gets %s, %v", body, err)
	}
}

// BenchmarkChangeForWatches sends one change of one endpoint to 820 watches of 15 partitions each, by list
// size.
func BenchmarkChangeForWatches(b *testing.B) {
	for _, n := range []int{10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newBootstrappedFSM(b)
			for first := 0; first < n; first += 10_000 {
				var all []catalog.Endpoint
				for i := first; i < first+10_000; i++ {
					all = append(all, endpointOf(fmt.Sprint("e", i), i*10/17))
				}
				c := writeCommand(all...)
				c.Write.MaxEndpoints = catalog.MaxEndpoints
				applyCommand(b, f, c)
			}
			sets := make([]*ownership.Set, 820)
			for i := range sets {
				sets[i] = &ownership.Set{}
				for k := range 15 {
					sets[i].Add((i*15 + k) % ownership.PartitionCount)
				}
			}
			c := writeCommand(endpointOf("e0", 1))
			c.Write.MaxEndpoints = catalog.MaxEndpoints
			b.ResetTimer()
			for i := range b.N {
				b.StopTimer()
				c.Write.Members[0].UpSince = int64(i + 1)
				applyCommand(b, f, c)
				line := f.lines[len(f.lines)-1]
				b.StartTimer()
				for _, s := range sets {
					if _, err := line.byPartition.encodeFor(s); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
