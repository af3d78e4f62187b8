package directory

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/raft"
	"go.uber.org/goleak"

	"starlingusher/fleet/catalog"
	"starlingusher/internal/loopback"
)

func TestMain(m *testing.M) {
	http.DefaultTransport.(*http.Transport).DisableKeepAlives = true
	goleak.VerifyTestMain(m)
}

// eventually waits for a condition. The time limit only ends a test that hangs.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

func freeAddress(t *testing.T) string {
	address, err := loopback.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// testReplica is a replica that can be stopped and started again.
type testReplica struct {
	t       *testing.T
	cfg     Config
	replica *Replica
	server  *Server

	diskFull atomic.Bool // its log can't be written
}

func (o *testReplica) start() {
	o.t.Helper()
	var err error
	if o.replica, err = open(o.cfg, slog.New(slog.DiscardHandler), func(s raft.LogStore) raft.LogStore { return fullStore{s, &o.diskFull} }); err != nil {
		o.t.Fatal(err)
	}
	if o.server, err = Serve(o.replica); err != nil {
		o.t.Fatal(err)
	}
}

// fullStore is a log whose writes fail while full is set.
type fullStore struct {
	raft.LogStore
	full *atomic.Bool
}

func (f fullStore) StoreLogs(l []*raft.Log) error {
	if f.full.Load() {
		return errors.New("no space left on device")
	}
	return f.LogStore.StoreLogs(l)
}

func (f fullStore) StoreLog(l *raft.Log) error { return f.StoreLogs([]*raft.Log{l}) }

func (o *testReplica) stop() {
	if o.server != nil {
		if err := errors.Join(o.server.Close(), o.replica.Close()); err != nil {
			o.t.Error(err)
		}
		o.server = nil
	}
}

func (o *testReplica) operator() *AdminClient {
	return &AdminClient{Addresses: []string{o.cfg.HTTP}, RetryFor: 20 * time.Second}
}

// startReplicas starts n replicas with empty folders.
func startReplicas(t *testing.T, n int, configure func(*Config)) []*testReplica {
	all := make([]*testReplica, n)
	for i := range all {
		c := Defaults()
		c.ID, c.HTTP, c.Data = fmt.Sprint("d", i), freeAddress(t), t.TempDir()
		if n > 1 {
			c.Raft = freeAddress(t)
		}
		if configure != nil {
			configure(&c)
		}
		all[i] = &testReplica{t: t, cfg: c}
	}
	for i, o := range all {
		for j, p := range all {
			if i != j {
				o.cfg.Peers = append(o.cfg.Peers, Peer{p.cfg.ID, p.cfg.HTTP, p.cfg.Raft})
			}
		}
	}
	for _, o := range all {
		o.start()
		t.Cleanup(o.stop)
	}
	return all
}

func endpoint(id, phase string) catalog.Endpoint {
	return catalog.Endpoint{ID: id, Addr: "10.0.0.1:80", Locality: "a", Flavor: "k", Phase: phase, Size: 1}
}

func put(t *testing.T, o *testReplica, match string, members ...catalog.Endpoint) WriteResult {
	t.Helper()
	w, err := o.operator().Put(t.Context(), members, false, true, match)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// watchLists returns the lists that a watch receives.
func watchLists(t *testing.T, o *testReplica, query string) (<-chan catalog.List, func()) {
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
		raw, _ := io.ReadAll(resp.Body)
		t.Fatalf("watch%s: %s %s", query, resp.Status, raw)
	}
	out := make(chan catalog.List, 1000)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer close(out)
		defer resp.Body.Close()
		s := bufio.NewScanner(resp.Body)
		s.Buffer(nil, 1<<20)
		for s.Scan() {
			if len(bytes.TrimSpace(s.Bytes())) == 0 {
				continue
			}
			var l catalog.List
			if err := json.Unmarshal(s.Bytes(), &l); err != nil {
				return
			}
			out <- l
		}
	}()
	return out, func() { cancel(); <-done }
}

func TestSingleReplicaFromFirstWriteToRestore(t *testing.T) {
	o := startReplicas(t, 1, func(c *Config) { c.Snapshot.Every, c.Snapshot.Interval.Duration = 4, 20*time.Millisecond })[0]
	op := o.operator()
	op.RetryFor = 0
	eventually(t, "the leader", o.replica.isReadyLeader)
	if _, _, _, err := op.List(t.Context(), false); !errors.Is(err, ErrRefused) {
		t.Errorf("an unwritten list was served: %v", err)
	}
	put(t, o, "*", endpoint("a", catalog.Serving), endpoint("b", catalog.Serving))
	lists, end := watchLists(t, o, "&after=0")
	if l := <-lists; !l.Complete || l.Revision != 1 || len(l.Members) != 2 {
		t.Errorf("first list: %+v", l)
	}
	l, match, _, err := op.List(t.Context(), true)
	if err != nil || l.Revision != 1 {
		t.Fatal(l, err)
	}
	if _, err := op.Drain(t.Context(), "a"); err != nil {
		t.Fatal(err)
	}
	if l := <-lists; l.Complete || l.Revision != 2 || len(l.Members) != 1 || l.Members[0].Phase != catalog.Draining {
		t.Errorf("second list: %+v", l)
	}
	if _, err := op.Put(t.Context(), []catalog.Endpoint{endpoint("a", catalog.Serving)}, false, false, match); !errors.Is(err, catalog.ErrConflict) {
		t.Errorf("a write based on an older list undid a drain: %v", err)
	}
	if _, err := op.Put(t.Context(), []catalog.Endpoint{endpoint("c", catalog.Serving)}, true, false, "*"); !errors.Is(err, catalog.ErrHeld) {
		t.Errorf("a write that removes most endpoints was accepted: %v", err)
	}
	st, err := op.Status(t.Context())
	if err != nil || st.Held == nil {
		t.Fatal(st, err)
	}
	if err := op.Confirm(t.Context(), st.Held.Number, true); err != nil {
		t.Error(err)
	}
	backup, image, err := op.Backup(t.Context(), true)
	if err != nil || image.Revision != 2 {
		t.Fatal(image.Revision, err)
	}
	for i := range 10 {
		put(t, o, "*", endpoint(fmt.Sprint("x", i), catalog.Serving))
	}
	eventually(t, "a snapshot", func() bool {
		all, _ := filepath.Glob(filepath.Join(o.cfg.Data, "snapshots", "*", "state.bin"))
		return len(all) > 0
	})
	end()
	o.stop()
	o.start()
	l, _, header, err := o.operator().List(t.Context(), true)
	if err != nil || l.Revision != 12 || len(l.Members) != 12 || header.Get(HeaderHistory) != fmt.Sprint(image.History) {
		t.Fatalf("after a restart: revision %d, %d endpoints, %v", l.Revision, len(l.Members), err)
	}
	lists, end = watchLists(t, o, "&after=10")
	defer end()
	if l := <-lists; l.Complete || l.Revision != 12 || len(l.Members) != 2 {
		t.Errorf("resumed across a restart and a snapshot: %+v", l)
	}
	if _, err := op.Restore(t.Context(), backup); err != nil {
		t.Fatal(err)
	}
	if _, more := <-lists; more {
		t.Error("a watch continued into another history")
	}
	resumed, end2 := watchLists(t, o, fmt.Sprintf("&after=12&history=%d", image.History))
	defer end2()
	if l := <-resumed; !l.Complete || l.Revision != 2 || len(l.Members) != 2 {
		t.Errorf("after a restore: %+v", l)
	}
	withoutHistory, end3 := watchLists(t, o, "&after=12") // without a history, as in the platform's protocol
	defer end3()
	if l := <-withoutHistory; !l.Complete || l.Revision != 2 {
		t.Errorf("after a restore, without a history: %+v", l)
	}
	if _, err := op.Restore(t.Context(), backup[:len(backup)-1]); err == nil {
		t.Error("a damaged backup was accepted")
	}
}

func TestThreeReplicasSurviveFailures(t *testing.T) {
	all := startReplicas(t, 3, func(c *Config) {
		c.Snapshot.Every, c.Snapshot.Trailing, c.Snapshot.Interval.Duration = 5, 5, 50*time.Millisecond
	})
	voters := func(of *testReplica) int {
		n := 0
		for _, m := range of.server.currentStatus(false).Members {
			if m.Votes {
				n++
			}
		}
		return n
	}
	eventually(t, "three voters", func() bool { return voters(all[0]) == 3 })
	for i := range 9 { // through any replica
		if w := put(t, all[i%3], "*", endpoint(fmt.Sprint("e", i), catalog.Serving)); w.Revision != int64(i+1) {
			t.Fatalf("write %d created revision %d", i, w.Revision)
		}
	}
	for _, o := range all { // a write may be based on a list read from any replica
		l, match, _, err := o.operator().List(t.Context(), true)
		if err != nil || match == "" || l.Revision != 9 {
			t.Errorf("a fresh read at %s: revision %d, If-Match %q, %v", o.cfg.ID, l.Revision, match, err)
		}
	}
	leader := func() *testReplica {
		var l *testReplica
		eventually(t, "a leader", func() bool {
			for _, o := range all {
				if o.server != nil && o.replica.isReadyLeader() {
					l = o
				}
			}
			return l != nil
		})
		return l
	}
	formerLeader := leader()
	formerLeader.stop()
	newLeader := leader()
	put(t, newLeader, "*", endpoint("late", catalog.Serving))
	if err := os.RemoveAll(formerLeader.cfg.Data); err != nil { // loses its folder
		t.Fatal(err)
	}
	formerLeader.start()
	eventually(t, "the replica that lost its folder", func() bool { return voters(newLeader) == 3 && formerLeader.server.currentStatus(false).Revision == 10 })
	other := all[0]
	for _, o := range all {
		if o != formerLeader && o != newLeader {
			other = o
		}
	}
	other.stop()
	log := filepath.Join(other.cfg.Data, "log.db")
	info, err := os.Stat(log)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Truncate(log, info.Size()/2); err != nil {
		t.Fatal(err)
	}
	other.start()
	eventually(t, "the replica with the damaged log", func() bool { return voters(leader()) == 3 && other.server.currentStatus(false).Revision == 10 })

	// A replica is replaced for good by another one; the removed replica ends by itself.
	remaining := leader()
	removed := other
	if removed == remaining {
		removed = formerLeader
	}
	removed.stop()
	op0 := remaining.operator()
	if err := op0.RemoveReplica(t.Context(), removed.cfg.ID); err != nil {
		t.Fatal(err)
	}
	added := &testReplica{t: t, cfg: removed.cfg}
	added.cfg.ID, added.cfg.HTTP, added.cfg.Raft, added.cfg.Data = "d9", freeAddress(t), freeAddress(t), t.TempDir()
	if err := op0.AddReplica(t.Context(), catalog.Replica{ID: "d9", HTTP: added.cfg.HTTP, Raft: added.cfg.Raft}); err != nil {
		t.Fatal(err)
	}
	added.start()
	t.Cleanup(added.stop)
	eventually(t, "the new replica", func() bool { return voters(leader()) == 3 && added.server.currentStatus(false).Revision == 10 })
	removed.start()
	if err := <-removed.replica.Failed(); !errors.Is(err, ErrRemoved) {
		t.Errorf("the removed replica ended with %v", err)
	}
	removed.stop()
	all = []*testReplica{added, remaining}
	for _, o := range []*testReplica{formerLeader, other} {
		if o != removed {
			all = append(all, o)
		}
	}

	remaining = leader()
	for _, o := range all {
		if o != remaining {
			o.stop()
		}
	}
	eventually(t, "the end of its leadership", func() bool { return !remaining.replica.isLeader() })
	op := remaining.operator()
	op.RetryFor = 0
	if _, err := op.Put(t.Context(), []catalog.Endpoint{endpoint("z", catalog.Serving)}, false, false, "*"); !errors.Is(err, ErrRefused) || !strings.Contains(err.Error(), "no leader") {
		t.Errorf("a write with two of three gone: %v", err)
	}
	l, _, header, err := op.List(t.Context(), false)
	if err != nil || l.Revision != 10 || header.Get(HeaderAge) == "0" {
		t.Errorf("a read with two of three gone: revision %d, age %s ms, %v", l.Revision, header.Get(HeaderAge), err)
	}
	resp, err := http.Get("http://" + remaining.cfg.HTTP + "/registry/instances?after=11")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("a replica behind the caller responds %s", resp.Status)
	}
}

// A follower whose disk is full must catch up once the disk has space again.
func TestFollowerCatchesUpAfterFullDisk(t *testing.T) {
	all := startReplicas(t, 3, nil)
	voters := func() (n int, lead *testReplica) {
		for _, o := range all {
			for _, m := range o.server.currentStatus(false).Members {
				if m.Votes {
					n++
				}
			}
			if o.replica.isReadyLeader() {
				lead = o
			}
		}
		return n, lead
	}
	eventually(t, "three voters at each replica", func() bool { n, lead := voters(); return n == 9 && lead != nil })
	_, lead := voters()
	follower := all[0]
	if follower == lead {
		follower = all[1]
	}
	var last int64
	var writes sync.WaitGroup
	var mu sync.Mutex
	for w := range 16 {
		writes.Go(func() {
			for i := range 120 {
				op := lead.operator()
				done, err := op.Put(context.Background(), []catalog.Endpoint{endpoint(fmt.Sprintf("e%d-%d", w, i), catalog.Serving)}, false, false, "*")
				mu.Lock()
				if last = max(last, done.Revision); err != nil {
					t.Error(err)
				}
				mu.Unlock()
				if w == 0 { // the disk fills and is cleared repeatedly while calls are in flight
					follower.diskFull.Store(i%2 == 0)
				}
			}
		})
	}
	writes.Wait()
	follower.diskFull.Store(false)
	eventually(t, "the follower", func() bool { at, _ := follower.replica.fsm.position(); return at.revision == last })
}

// A watch whose client does not read must be cut, without any effect on others.
func TestWatchThatDoesNotReadIsCut(t *testing.T) {
	o := startReplicas(t, 1, func(c *Config) { c.Watch.MaxLagKB = 64 })[0]
	big := func(i int) []catalog.Endpoint {
		var all []catalog.Endpoint
		for n := range 100 {
			e := endpoint(fmt.Sprint("e", n), catalog.Serving)
			e.Flavor, e.UpSince = strings.Repeat("k", 150), int64(i)
			all = append(all, e)
		}
		return all
	}
	put(t, o, "*", big(0)...)
	conn, err := net.Dial("tcp", o.cfg.HTTP)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(4096)
	fmt.Fprintf(conn, "GET /registry/instances?watch=1&after=1 HTTP/1.1\r\nHost: d\r\n\r\n")
	lists, end := watchLists(t, o, "&after=1")
	defer end()
	eventually(t, "both watches", func() bool { return o.server.WatchCount() == 2 })
	last := int64(0)
	for i := 1; o.server.WatchCount() == 2; i++ {
		last = put(t, o, "*", big(i)...).Revision
		if i > 3000 {
			t.Fatal("the watch that does not read was not cut")
		}
	}
	for rev := int64(1); rev <= last; rev++ {
		if l, ok := <-lists; !ok || l.Revision != rev {
			t.Fatalf("the other watch received revision %d, want %d", l.Revision, rev)
		}
	}
}

func TestRegistrationsAndRecordsOverHTTP(t *testing.T) {
	o := startReplicas(t, 1, func(c *Config) { c.Lease.MaxExpiredShare, c.Lease.DrainTime.Duration = 0.5, 50*time.Millisecond })[0]
	op := o.operator()
	put(t, o, "*", endpoint("fixed", catalog.Serving))
	var w WriteResult
	register := func(id string) {
		t.Helper()
		body := map[string]any{"member": endpoint(id, catalog.Serving), "ttl_ms": 200}
		if err := op.call(t.Context(), &w, http.MethodPut, "/registry/registrations/"+id, "", body); err != nil {
			t.Fatal(err)
		}
	}
	register("gone")
	register("stays")
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				op.call(context.Background(), nil, http.MethodPost, "/registry/renewals", "", map[string]any{"ids": []string{"stays"}})
			}
		}
	}()
	phase := func(id string) (p string) {
		o.replica.fsm.view(func(s *catalog.State) {
			e, _ := s.Entry(id)
			p = e.Phase
		})
		return p
	}
	eventually(t, "the removal of the endpoint that does not renew", func() bool { return phase("gone") == "" })
	if phase("stays") != catalog.Serving || phase("fixed") != catalog.Serving {
		t.Errorf("phases of the other endpoints: %q, %q", phase("stays"), phase("fixed"))
	}
	close(stop)
	<-done
	if raw, _, err := op.Do(t.Context(), http.MethodGet, "/metrics", "", nil); err != nil || !strings.Contains(string(raw), "directory_revision ") ||
		!strings.Contains(string(raw), `directory_write_seconds_count{result="done"}`) {
		t.Errorf("metrics: %.300s, %v", raw, err)
	}
	if err := op.call(t.Context(), &w, http.MethodPut, "/records/lead", "", recordRequest{Holder: "a", TTL: 100, Value: []byte("1")}); err != nil {
		t.Fatal(err)
	}
	token := w.Token
	eventually(t, "the expiry of a holder that does not renew", func() bool {
		return op.call(t.Context(), &w, http.MethodPut, "/records/lead", "", recordRequest{Holder: "b"}) == nil
	})
	if w.Token <= token {
		t.Errorf("token %d after %d", w.Token, token)
	}
	if err := op.call(t.Context(), nil, http.MethodPost, "/records/lead", "", recordRequest{Token: token, Value: []byte("late")}); !errors.Is(err, catalog.ErrNotHolder) {
		t.Errorf("a write with an old token succeeded: %v", err)
	}
}

// A replica that copies the platform's list must mark it while the platform is silent.
func TestSilentSourceIsMarked(t *testing.T) {
	platformLines := make(chan string, 10)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		for {
			select {
			case s := <-platformLines:
				fmt.Fprintln(w, s)
				w.(http.Flusher).Flush()
			case <-req.Context().Done():
				return
			}
		}
	})}
	go srv.Serve(ln)
	defer srv.Close()
	list := `{"revision":7,"complete":true,"members":[{"id":"e1","host_port":"h:1","locality":"a","flavor":"k","cell":3,"phase":"SERVING","size":1}]}`
	platformLines <- list
	o := startReplicas(t, 1, func(c *Config) { c.Source.Discovery = ln.Addr().String() })[0]
	op := o.operator()
	l, _, header, err := op.List(t.Context(), false)
	if err != nil || len(l.Members) != 1 || header.Get(HeaderVouched) != "" {
		t.Fatalf("%+v, vouched %q, %v", l, header.Get(HeaderVouched), err)
	}
	if _, err := op.Drain(t.Context(), "e1"); !errors.Is(err, catalog.ErrNotHolder) {
		t.Errorf("a list copied from the platform was changed: %v", err)
	}
	silent := func() bool { return o.server.currentStatus(false).SourceSilentSinceMS > 0 }
	eventually(t, "the mark", silent)
	if _, _, header, _ := op.List(t.Context(), false); header.Get(HeaderVouched) != "no" {
		t.Error("the list is not marked while its source is silent")
	}
	platformLines <- list
	eventually(t, "the end of the mark", func() bool { return !silent() })
}

// A write before the service is bootstrapped must be refused with a Retry-After.
func TestWriteBeforeBootstrapIsRefused(t *testing.T) {
	w := &recorder{header: http.Header{}}
	writeResult(w, catalog.New().Apply(catalog.Command{Write: &catalog.Write{Base: catalog.Base{Any: true}}}), nil)
	if w.code != http.StatusServiceUnavailable || w.header.Get("Retry-After") == "" {
		t.Errorf("status %d", w.code)
	}
}

func TestAdmissionSpreadsRetries(t *testing.T) {
	a := newAdmission(100, 50)
	now := time.Unix(1000, 0)
	admitted, delays := 0, map[time.Duration]bool{}
	for range 250 {
		ok, delay := a.admit(1, now)
		if ok {
			admitted++
			continue
		}
		if delays[delay] || delay > 2*time.Second {
			t.Fatalf("two requests got the same delay, or a long one, of %v", delay)
		}
		delays[delay] = true
	}
	if admitted != 50 || len(delays) != 200 {
		t.Errorf("%d admitted, %d refused", admitted, len(delays))
	}
	if ok, _ := a.admit(1, now.Add(20*time.Millisecond)); !ok {
		t.Error("the token bucket does not refill")
	}
}

func FuzzBackup(f *testing.F) {
	s := catalog.New()
	s.Apply(catalog.Command{At: 5, Bootstrap: &catalog.Bootstrap{}})
	s.Apply(catalog.Command{Write: &catalog.Write{Base: catalog.Base{Any: true}, Members: []catalog.Endpoint{endpoint("a", catalog.Serving)}}})
	good, err := EncodeBackup(s.Image())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:20])
	f.Fuzz(func(t *testing.T, raw []byte) {
		i, err := DecodeBackup(bytes.NewReader(raw))
		if err != nil {
			if strings.Contains(singleLine(err), "\n") {
				t.Error("the error has several lines")
			}
			return
		}
		if s, err := catalog.Load(i); err != nil || s.FullList().Revision != i.Revision {
			t.Errorf("the decoded image is not a valid state: %v", err)
		}
	})
}

// FuzzSealed changes the body under a correct hash, so that the decoder receives bytes that no build has
// written.
func FuzzSealed(f *testing.F) {
	f.Add([]byte{0xa1, 0x61, 0x41, 0x01})
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		raw := append([]byte(backupMark), make([]byte, 8)...)
		raw = rehash(append(raw, body...))
		if i, err := DecodeBackup(bytes.NewReader(raw)); err == nil {
			s, err := catalog.Load(i)
			if err != nil {
				t.Fatal(err)
			}
			s.Apply(catalog.Command{Write: &catalog.Write{Base: catalog.Base{Any: true}, Replace: true}})
			s.ListSince(0)
		}
		var c catalog.Command
		if decodeWithChecksum(backupMark, raw, &c) == nil {
			s := catalog.New()
			s.Apply(catalog.Command{At: 1, Bootstrap: &catalog.Bootstrap{}})
			s.Apply(c)
		}
	})
}

// startFuzzedReplica starts one replica, which leads.
func startFuzzedReplica(f *testing.F) (*Replica, *Server) {
	f.Helper()
	c := Defaults()
	c.HTTP, c.Data = "127.0.0.1:0", f.TempDir()
	r, err := Open(c, slog.New(slog.DiscardHandler))
	if err != nil {
		f.Fatal(err)
	}
	s, err := Serve(r)
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { s.Close(); r.Close() })
	for !r.isReadyLeader() {
		time.Sleep(time.Millisecond)
	}
	return r, s
}

// FuzzRequests sends arbitrary bodies and queries to the handlers of a replica.
func FuzzRequests(f *testing.F) {
	_, s := startFuzzedReplica(f)
	paths := []string{
		"GET /registry/instances?", "PUT /registry/instances?", "POST /registry/instances?", "PUT /registry/instances/a?", "POST /reports?",
		"PUT /registry/registrations/a?", "POST /registry/renewals?", "PUT /records/a?", "POST /records/a?", "POST /directory/restore?",
		"POST /directory/join?", "PUT /directory/members/a?", "POST /directory/held/", "GET /directory/history?",
	}
	for i := range paths {
		f.Add(uint8(i), "after=x&limit=-1", "*", []byte(`{"members":[{"id":"a","host_port":"h:1","phase":"SERVING","size":1}]}`))
	}
	f.Add(uint8(0), "after=99999999999999999999", "1.2.3", []byte("{"))
	f.Add(uint8(0), "partitions=3,17,40-44", "*", []byte(nil))
	f.Add(uint8(0), "partitions=44-40&after=1", "*", []byte(nil))
	f.Fuzz(func(t *testing.T, which uint8, query, match string, body []byte) {
		method, path, _ := strings.Cut(paths[int(which)%len(paths)], " ")
		req, err := http.NewRequest(method, "http://d"+path+query, bytes.NewReader(body))
		if err != nil || strings.Contains(query, "watch") {
			return
		}
		req.Header.Set("If-Match", match)
		w := &recorder{header: http.Header{}}
		s.http.Handler.ServeHTTP(w, req)
		if w.code >= 500 && w.code != 503 && w.code != 507 {
			t.Errorf("%s %s%s: %d %s", method, path, query, w.code, w.body.Bytes())
		}
		if w.code >= 400 && strings.Count(strings.TrimSpace(w.body.String()), "\n") > 0 {
			t.Errorf("%s %s: the error has several lines: %s", method, path, w.body.Bytes())
		}
	})
}

type recorder struct {
	header http.Header
	code   int
	body   bytes.Buffer
}

func (r *recorder) Header() http.Header { return r.header }
func (r *recorder) WriteHeader(c int)   { r.code = c }
func (r *recorder) Write(b []byte) (int, error) {
	return r.body.Write(b)
}

func rehash(raw []byte) []byte {
	binary.BigEndian.PutUint64(raw[4:], xxhash.Sum64(raw[checksumHeaderBytes:]))
	return raw
}

// A log that was modified anywhere must be reported as damaged, or be as good as before; it must never end
// the process.
func FuzzLog(f *testing.F) {
	dir := f.TempDir()
	path := filepath.Join(dir, "log.db")
	s, err := openLog(path)
	if err != nil {
		f.Fatal(err)
	}
	for i := range 40 {
		raw, err := encodeWithChecksum(commandMark, catalog.Command{SourceStatus: &catalog.SourceStatus{}})
		if err == nil {
			err = s.StoreLog(&raft.Log{Index: uint64(i + 1), Term: 1, Type: raft.LogCommand, Data: raw})
		}
		if err != nil {
			f.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		f.Fatal(err)
	}
	intact, err := os.ReadFile(path)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(uint32(0), uint32(1000), []byte("x"))
	f.Add(uint32(4096), uint32(1<<20), []byte{0xff, 0xff, 0xff, 0xff})
	f.Add(uint32(9000), uint32(12000), []byte{})
	f.Fuzz(func(t *testing.T, at, length uint32, patch []byte) {
		raw := bytes.Clone(intact)
		copy(raw[min(int(at), len(raw)):], patch)
		raw = raw[:min(int(length), len(raw))]
		path := filepath.Join(t.TempDir(), "log.db")
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := openLog(path)
		if err != nil {
			if !errors.Is(err, errDamaged) {
				t.Errorf("the error does not report damage: %v", err)
			}
			return
		}
		s.Close()
	})
}
