package node

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"starlingusher/choice"
	"starlingusher/fleet/catalog"
	"starlingusher/internal/registry"
	"starlingusher/internal/wire"
)

func itoa(n int) string { return strconv.Itoa(n) }

// fakeRegistry is a discovery server on a loopback socket. It sends lists to all watches and keeps the
// notices.
type fakeRegistry struct {
	srv *httptest.Server

	mu          sync.Mutex
	lists       []string
	changed     chan struct{} // closed when lists grows
	watches     int
	posts       int
	refusePosts int // number of posts of notices to answer with 503
	notices     []map[string]any
	watchCtx    context.Context // ends the open watches
	endWatches  context.CancelFunc
}

func newFakeRegistry(t *testing.T) *fakeRegistry {
	t.Helper()
	r := &fakeRegistry{changed: make(chan struct{})}
	r.watchCtx, r.endWatches = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", func(w http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		r.watches++
		cut := r.watchCtx
		r.mu.Unlock()
		for sent := 0; ; {
			r.mu.Lock()
			news, more := r.lists[sent:], r.changed
			sent = len(r.lists)
			r.mu.Unlock()
			for _, l := range news {
				fmt.Fprintf(w, "%s\n\n", l)
			}
			w.(http.Flusher).Flush()
			select {
			case <-more:
			case <-cut.Done():
				return
			case <-req.Context().Done():
				return
			}
		}
	})
	mux.HandleFunc("POST /reports", func(w http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.posts++
		if r.posts <= r.refusePosts {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		lines := bufio.NewScanner(req.Body)
		for lines.Scan() {
			var n map[string]any
			if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			r.notices = append(r.notices, n)
		}
		w.WriteHeader(http.StatusNoContent)
	})
	r.srv = httptest.NewServer(mux)
	t.Cleanup(func() {
		r.endWatches()
		r.srv.CloseClientConnections()
		r.srv.Close()
	})
	return r
}

func (r *fakeRegistry) addr() string { return r.srv.Listener.Addr().String() }

func (r *fakeRegistry) publish(l string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lists = append(r.lists, l)
	close(r.changed)
	r.changed = make(chan struct{})
}

// noticeState returns what the notices say of a message, "" if there is none.
func (r *fakeRegistry) noticeState(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.notices {
		if n["id"] == id {
			return n["state"].(string)
		}
	}
	return ""
}

func listJSON(revision int, complete bool, members ...string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, strings.Join(members, ","))
}

func memberJSON(id, addr string, dest int, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"z","flavor":"m","cell":%d,"phase":%q,"size":1000}`, id, addr, dest, phase)
}

const testSettings = `{"fleetSize":1,"categories":[
	{"name":"status","effect":"idempotent","group":"all","aim":4000,"deadline":60000,"worth":1,"lateWorth":0.3,"window":5000},
	{"name":"order","effect":"deduplicated","group":"all","aim":4000,"deadline":60000,"worth":1,"lateWorth":0.3,"window":60000},
	{"name":"payout","effect":"at_most_once","group":"all","aim":4000,"deadline":60000,"worth":1,"lateWorth":0.3,"window":5000}],
	"contract":{"coldFrom":0.29,"fall":2000,"fallMultiple":1.5,"graceToAnswer":20,"stopSendingWithin":250,"warmWithin":11000},
	"discovery":"pushed","domain":{"decay":"line","kindBatch":[1],"separateRoutes":[false],"workers":8},
	"failureDomains":["z"],"flavors":["m"],
	"limits":{"cancel":true,"connIdle":5000,"dialTimeout":1000,"maxAttempts":12,"maxOpen":4,"maxRetryAfter":3000,"mayDuplicate":true,"retryAfter":true},
	"tick":5,"weights":"rough"}`

// writeConfig writes a node's configuration and returns its path.
func writeConfig(t *testing.T, listen, discovery string, known ...string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":256,"disk_mb":3},"known":%s,"settings":%s}`,
		listen, discovery, listJSON(1, true, known...), testSettings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// startNode runs a node in this process until the test ends or stop is called.
func startNode(t *testing.T, r *fakeRegistry, state string, known ...string) (addr string, stop func()) {
	t.Helper()
	return startNodeWith(t, r, state, nil, nil, known...)
}

// startInspectedNode is startNode, but passes the node to inspect before it runs.
func startInspectedNode(t *testing.T, r *fakeRegistry, state string, inspect func(*Node), known ...string) (addr string, stop func()) {
	t.Helper()
	return startNodeWith(t, r, state, nil, inspect, known...)
}

// startConfiguredNode is startNode with a changed configuration.
func startConfiguredNode(
	t *testing.T, r *fakeRegistry, state string, alter func(*Config), known ...string,
) (addr string, stop func()) {
	t.Helper()
	return startNodeWith(t, r, state, alter, nil, known...)
}

func startNodeWith(
	t *testing.T, r *fakeRegistry, state string, alter func(*Config), inspect func(*Node), known ...string,
) (addr string, stop func()) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr = ln.Addr().String()
	cfg, err := LoadConfig(writeConfig(t, addr, r.addr(), known...), state)
	if err != nil {
		t.Fatal(err)
	}
	if alter != nil {
		alter(&cfg)
	}
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if inspect != nil {
		inspect(n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx, ln) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(stop)
	return addr, stop
}

const statusFields, orderFields, payoutFields = "c=status,d=50000,dest=7", "c=order,d=50000,dest=7,k=key", "c=payout,d=50000,dest=7"

func mustAnswer(t *testing.T, addr, text, want string) {
	t.Helper()
	if got := roundTrip(t, addr, text); got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
}

func TestDeliveredMessageLeavesJournal(t *testing.T) {
	t.Parallel()
	p, state := newFakeEndpoint(t, respondWith(okResponse)), t.TempDir()
	r := newFakeRegistry(t)
	addr, stop := startNode(t, r, state, memberJSON("e", p.addr(), 7, "SERVING"))
	mustAnswer(t, addr, encodeCommand("PING"), "+PONG")
	mustAnswer(t, addr, enqueueCommand("a", orderFields, "body"), "+OK")
	if req := p.nextRequest(t); req.Header.Get("X-Trace-Id") != "a" || req.Header.Get("Idempotency-Key") != "key" {
		t.Errorf("got %v", req.Header)
	}
	if got := roundTrip(t, addr, enqueueCommand("b", "c=status,d=5000,dest=99", "")); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("an unknown destination: %q", got)
	}
	stop()
	if j := openTestJournal(t, state, 3); len(j.live) != 0 {
		t.Errorf("%d live messages after delivery", len(j.live))
	}
}

// drainingMember makes a destination known without an endpoint that takes calls.
func drainingMember() string { return memberJSON("e0", "127.0.0.1:9", 7, "DRAINING") }

func TestHeldMessagesAreDeduplicatedAndLimited(t *testing.T) {
	t.Parallel()
	p, r := newFakeEndpoint(t, respondWith(okResponse)), newFakeRegistry(t)
	addr, _ := startNode(t, r, t.TempDir(), drainingMember())
	mustAnswer(t, addr, enqueueCommand("a", statusFields, "x"), "+OK")
	mustAnswer(t, addr, enqueueCommand("a", statusFields, "x"), "+OK") // the same message again
	answers := map[string]int{}
	for i := range 6 {
		answers[strings.Fields(roundTrip(t, addr, enqueueCommand("m"+itoa(i), statusFields, "x")))[0]]++
	}
	if answers["-BUSY"] < 3 || answers["+OK"] < 1 { // the limit is four messages
		t.Errorf("got %v", answers)
	}
	r.publish(listJSON(2, false, memberJSON("e", p.addr(), 7, "SERVING")))
	seen := map[string]int{}
	for range 1 + answers["+OK"] {
		seen[p.nextRequest(t).Header.Get("X-Trace-Id")]++
	}
	if len(seen) != 1+answers["+OK"] {
		t.Errorf("got %v", seen)
	}
}

func TestDrainAndCompleteList(t *testing.T) {
	t.Parallel()
	first, second, r := newFakeEndpoint(t, respondWith(okResponse)), newFakeEndpoint(t, respondWith(okResponse)), newFakeRegistry(t)
	addr, _ := startNode(t, r, t.TempDir(), memberJSON("e1", first.addr(), 7, "SERVING"))
	mustAnswer(t, addr, enqueueCommand("a", statusFields, ""), "+OK")
	first.nextRequest(t)
	for i, l := range []string{
		listJSON(2, false, memberJSON("e1", first.addr(), 7, "DRAINING"), memberJSON("e2", second.addr(), 7, "SERVING")),
		listJSON(3, true, memberJSON("e1", first.addr(), 7, "SERVING")), // e2 is not in it, and so gone
	} {
		from, other := []*fakeEndpoint{second, first}[i], []*fakeEndpoint{first, second}[i]
		before, _ := other.counts()
		r.publish(l)
		sentOn := func() bool {
			// Until the node has the list the other endpoint may get calls; after the first call to the new
			// one only that may.
			mustAnswer(t, addr, enqueueCommand(fmt.Sprintf("m%d", time.Now().UnixNano()), statusFields, ""), "+OK")
			select {
			case <-from.requests:
				return true
			case <-other.requests:
				return false
			case <-time.After(testTimeout):
				t.Fatal("no call came")
				return false
			}
		}
		eventually(t, "the new list is applied", sentOn)
		after, _ := other.counts()
		for range 5 {
			if !sentOn() {
				t.Error("a call went to the endpoint that is drained or gone")
			}
		}
		if now, _ := other.counts(); now != after || before > after {
			t.Errorf("%d calls more", now-after)
		}
	}
}

func TestRetryAfterIsHonored(t *testing.T) {
	t.Parallel()
	const wait = 700 * time.Millisecond
	var mu sync.Mutex
	var rejectedAt time.Time
	p := newFakeEndpoint(t, func(nc net.Conn, _ *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		if rejectedAt.IsZero() {
			rejectedAt = time.Now()
			io.WriteString(nc, "HTTP/1.1 429 No\r\nRetry-After: 0.7\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		if early := wait - time.Since(rejectedAt); early > 0 {
			t.Errorf("a call came %v early", early)
		}
		return respondWith(okResponse)(nc, nil)
	})
	r := newFakeRegistry(t)
	var logs logLines
	debugLog := slog.New(slog.NewTextHandler(&logs, &slog.HandlerOptions{Level: slog.LevelDebug}))
	addr, _ := startInspectedNode(t, r, t.TempDir(), func(n *Node) { n.log = debugLog }, memberJSON("e", p.addr(), 7, "SERVING"))
	mustAnswer(t, addr, enqueueCommand("a", payoutFields, ""), "+OK")
	p.nextRequest(t)
	eventually(t, "the node has read the rejection", func() bool { return logs.count("retry_after=700ms") > 0 }) // a call before that would be allowed
	mustAnswer(t, addr, enqueueCommand("b", statusFields, ""), "+OK")
	p.nextRequest(t)
	p.nextRequest(t)
}

func TestDiscoveryOutage(t *testing.T) {
	t.Parallel()
	p, r := newFakeEndpoint(t, respondWith(okResponse)), newFakeRegistry(t)
	addr, _ := startNode(t, r, t.TempDir(), drainingMember())
	watching := func(least int) func() bool {
		return func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.watches >= least
		}
	}
	eventually(t, "a watch", watching(1))
	mustAnswer(t, addr, enqueueCommand("a", statusFields, ""), "+OK") // messages are accepted without discovery
	r.mu.Lock()
	r.endWatches()
	r.watchCtx, r.endWatches = context.WithCancel(context.Background())
	r.mu.Unlock()
	eventually(t, "the watch is opened again", watching(2))
	r.publish(listJSON(2, true, memberJSON("e", p.addr(), 7, "SERVING")))
	p.nextRequest(t)
}

// A new discovery server may be behind the previous one. Its older list must not undo a drain, and its newer
// one must be applied. If its revisions belong to another count it is believed after a while.
func TestNewDiscoveryServerIsBehind(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		lists []int // revisions, one a watch; the last one is repeated
		want  []int64
		count string // the history that both name
	}{
		{"behind, then not", []int{4, 4, 6}, []int64{5, 6}, ""},
		{"another history", []int{1}, []int64{5, 1}, ""},
		// A replica of the same history may stay behind for any time: its last list comes after the time that
		// other servers are given.
		{"a replica that is behind", []int{4, 4, 4, 4, 4, 4, 4, 4, 4, 6}, []int64{5, 6}, "3"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var watches atomic.Int32
			serve := func(revision func() int) string {
				srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
					if c.count != "" {
						w.Header().Set("Registry-History", c.count)
					}
					fmt.Fprintln(w, listJSON(revision(), false))
					w.(http.Flusher).Flush()
					<-req.Context().Done()
				}))
				t.Cleanup(srv.Close)
				return srv.Listener.Addr().String()
			}
			n := newIdleNode(t, drainingMember())
			n.cfg.Discovery = serve(func() int { return 5 })
			ctx, cancel := context.WithCancel(t.Context())
			var ended sync.WaitGroup
			ended.Go(func() { n.followDiscovery(ctx) })
			for i, want := range c.want {
				if l := (<-n.events).(registry.Update); l.Revision != want {
					t.Errorf("list %d: got revision %d, want %d", i, l.Revision, want)
				}
				if i == 0 {
					n.MoveDiscovery(serve(func() int { return c.lists[min(int(watches.Add(1)), len(c.lists))-1] }))
				}
			}
			cancel()
			ended.Wait()
		})
	}
}

// Payouts without an answer stay in flight until their deadline. They must not hold up the other messages of
// their partner: once they counted as slow, they took all the slots that slow partners may have, and nothing
// more was sent.
func TestUnansweredCallsDoNotBlockOthers(t *testing.T) {
	t.Parallel()
	answer := respondWith(okResponse)
	p := newFakeEndpoint(t, func(nc net.Conn, req *http.Request) bool {
		if strings.HasPrefix(req.Header.Get("X-Trace-Id"), "lost") {
			return neverAnswer(nc, req)
		}
		return answer(nc, req)
	})
	addr, _ := startConfiguredNode(t, newFakeRegistry(t), t.TempDir(), func(c *Config) { c.Settings.Slots = 4 },
		memberJSON("e", p.addr(), 7, "SERVING"))
	mustAnswer(t, addr, enqueueCommand("first", statusFields, ""), "+OK")
	p.nextRequest(t)
	for _, id := range []string{"lost1", "lost2"} {
		mustAnswer(t, addr, enqueueCommand(id, payoutFields, ""), "+OK")
		p.nextRequest(t)
	}
	// Each message goes out at once, well past the time after which a call counts as slow: the payouts have
	// 50 s.
	began, every := time.Now(), time.NewTicker(20*time.Millisecond)
	defer every.Stop()
	for i := 0; time.Since(began) < 2*time.Second; i++ {
		mustAnswer(t, addr, enqueueCommand("m"+itoa(i), statusFields, ""), "+OK")
		p.nextRequest(t)
		<-every.C
	}
}

// A partner whose connection table is filled by others refuses new connections and closes them. That is no
// rate limit, for which the pauses would grow to half a minute here: the node tries one connection now and
// then until there is room.
func TestFullConnectionTable(t *testing.T) {
	t.Parallel()
	const refusals = 9
	var conns atomic.Int32
	p := newFakeEndpoint(t, func(nc net.Conn, req *http.Request) bool {
		if conns.Add(1) <= refusals {
			respondWith("HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")(nc, req)
			return false
		}
		return respondWith(okResponse)(nc, req)
	})
	addr, _ := startNode(t, newFakeRegistry(t), t.TempDir(), memberJSON("e", p.addr(), 7, "SERVING"))
	mustAnswer(t, addr, enqueueCommand("a", statusFields, ""), "+OK")
	eventually(t, "it is delivered", func() bool {
		calls, _ := p.counts()
		return calls > refusals
	})
}

func TestNoticeIsRetriedUntilAccepted(t *testing.T) {
	t.Parallel()
	p, r := newFakeEndpoint(t, respondWith("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")), newFakeRegistry(t)
	r.refusePosts = 2
	state := t.TempDir()
	addr, stop := startNode(t, r, state, memberJSON("e", p.addr(), 7, "SERVING"), memberJSON("h", "127.0.0.1:9", 8, "DRAINING"))
	mustAnswer(t, addr, enqueueCommand("unsafe", payoutFields, ""), "+OK") // it may have run, so it fails
	mustAnswer(t, addr, enqueueCommand("short", "c=status,d=300,dest=8", ""), "+OK")
	eventually(t, "the notice of a failure", func() bool { return r.noticeState("unsafe") == "failed" })
	eventually(t, "the notice of a refusal", func() bool { return r.noticeState("short") == "returned" })
	stop()
	if calls, _ := p.counts(); calls != 1 {
		t.Errorf("%d calls", calls)
	}
	if j := openTestJournal(t, state, 3); len(j.live) != 0 {
		t.Errorf("%d live messages after their notices", len(j.live))
	}
}

// TestMain runs a node instead of the tests when a test starts this binary as a child.
func TestMain(m *testing.M) {
	if os.Getenv("CORALYARD_TEST_CHILD") == "" {
		os.Exit(m.Run())
	}
	if err := childMain(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func childMain() error {
	cfg, err := LoadConfig(os.Getenv("ROUTER_CONFIG"), os.Getenv("ROUTER_STATE"))
	if err != nil {
		return err
	}
	n, err := New(cfg, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	fmt.Println(ln.Addr()) // the parent reads the address from stdout
	ctx, cancel := context.WithCancel(context.Background())
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	go func() {
		<-term
		cancel()
	}()
	return n.Run(ctx, ln)
}

type child struct {
	cmd  *exec.Cmd
	addr string
}

func startChild(t *testing.T, r *fakeRegistry, state string, known ...string) *child {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "CORALYARD_TEST_CHILD=1", "ROUTER_STATE="+state,
		"ROUTER_CONFIG="+writeConfig(t, "127.0.0.1:0", r.addr(), known...))
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	addr, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	c := &child{cmd, strings.TrimSpace(addr)}
	mustAnswer(t, c.addr, encodeCommand("PING"), "+PONG")
	return c
}

func (c *child) kill(t *testing.T) {
	t.Helper()
	if err := c.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	c.cmd.Wait() // the error says that it was killed
}

// A node is killed with a call of each effect in flight. The next process delivers the messages that may be
// repeated, and fails the other one without a call.
func TestKillWithCallsInFlight(t *testing.T) {
	t.Parallel()
	p, r, state := newFakeEndpoint(t, neverAnswer), newFakeRegistry(t), t.TempDir()
	known := memberJSON("e", p.addr(), 7, "SERVING")
	c := startChild(t, r, state, known)
	for id, fields := range map[string]string{"safe": statusFields, "keyed": orderFields, "unsafe": payoutFields} {
		mustAnswer(t, c.addr, enqueueCommand(id, fields, "body of "+id), "+OK")
		if got := p.nextRequest(t).Header.Get("X-Trace-Id"); got != id {
			t.Fatalf("got a call for %q", got)
		}
	}
	c.kill(t)

	q := newFakeEndpoint(t, respondWith(okResponse))
	startChild(t, r, state, memberJSON("e", q.addr(), 7, "SERVING"))
	seen := map[string]string{}
	for range 2 {
		req := q.nextRequest(t)
		seen[req.Header.Get("X-Trace-Id")] = req.Header.Get("Idempotency-Key")
	}
	if key, ok := seen["keyed"]; !ok || key != "key" || len(seen) != 2 {
		t.Errorf("delivered: %v", seen)
	}
	eventually(t, "the unsafe one fails", func() bool { return r.noticeState("unsafe") == "failed" })
	if calls, _ := q.counts(); calls != 2 {
		t.Errorf("%d calls", calls)
	}
}

// A node is killed before it has sent anything. The next process delivers each message once, of all three
// effects.
func TestKillWithHeldMessages(t *testing.T) {
	t.Parallel()
	p, r, state := newFakeEndpoint(t, respondWith(okResponse)), newFakeRegistry(t), t.TempDir()
	c := startChild(t, r, state, drainingMember())
	ids := []string{"safe", "keyed", "unsafe"}
	for i, fields := range []string{statusFields, orderFields, payoutFields} {
		mustAnswer(t, c.addr, enqueueCommand(ids[i], fields, ""), "+OK")
	}
	c.kill(t)
	c = startChild(t, r, state, drainingMember())
	mustAnswer(t, c.addr, enqueueCommand("safe", statusFields, ""), "+OK") // submitted again, it has no second effect
	c.kill(t)
	startChild(t, r, state, memberJSON("e", p.addr(), 7, "SERVING"))
	seen := map[string]int{}
	for range ids {
		seen[p.nextRequest(t).Header.Get("X-Trace-Id")]++
	}
	if len(seen) != 3 {
		t.Errorf("got %v", seen)
	}
	if calls, _ := p.counts(); calls != 3 {
		t.Errorf("%d calls", calls)
	}
}

// Starts from a journal as a kill between two records leaves it, for each effect and each record.
func TestKillBetweenRecords(t *testing.T) {
	t.Parallel()
	for class, name := range []string{"safe", "keyed", "unsafe"} {
		for point, records := range []string{"accepted", "attempt", "not run", "ended"} {
			t.Run(name+" "+records, func(t *testing.T) {
				t.Parallel()
				p, r, state := newFakeEndpoint(t, respondWith(okResponse)), newFakeRegistry(t), t.TempDir()
				j := openTestJournal(t, state, 3)
				m, err := j.accept(&pendingMessage{id: "a", key: "k", class: class, dest: 7, deadline: time.Now().Add(50 * time.Second)})
				if err != nil {
					t.Fatal(err)
				}
				for i, rec := range [][]byte{
					attemptRecord(m.seq, time.Now(), 0), outcomeRecord(recordNotRun, m.seq, 0), finalRecord(m.seq, finalAnswer{retryAfter: time.Second}),
				} {
					if i < point {
						j.add(rec)
					}
				}
				mustFlush(t, j)
				startNode(t, r, state, memberJSON("e", p.addr(), 7, "SERVING"))
				switch {
				case records == "ended":
					eventually(t, "the owed notice", func() bool { return r.noticeState("a") == "returned" })
				case name == "unsafe" && records == "attempt":
					eventually(t, "the failure", func() bool { return r.noticeState("a") == "failed" })
				default:
					p.nextRequest(t)
					return
				}
				if calls, _ := p.counts(); calls != 0 {
					t.Errorf("%d calls", calls)
				}
			})
		}
	}
}

// After a restart the module must learn that a destination failed before, or it would send the whole backlog
// to one in slow start. A call that was only in flight when the process died is no such failure.
func TestFailuresSurviveRestart(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name            string
		records         func(seq uint64) []byte
		failed, touched bool
	}{
		{"in flight at the kill", func(seq uint64) []byte { return nil }, false, true},
		{"timed out", func(seq uint64) []byte { return outcomeRecord(recordFailed, seq, 0) }, true, true},
		{"no route", func(seq uint64) []byte { return outcomeRecord(recordNotRun, seq, 0) }, true, false},
		{"over a limit", func(seq uint64) []byte { return outcomeRecord(recordRejected, seq, 0) }, false, false},
	} {
		dir := t.TempDir()
		j := openTestJournal(t, dir, 3)
		m := mustAccept(t, j, "a", nil)
		j.add(attemptRecord(m.seq, time.Now(), 0))
		if rec := c.records(m.seq); rec != nil {
			j.add(rec)
		}
		mustFlush(t, j)
		if err := j.compact(); err != nil { // compaction keeps the difference
			t.Fatal(err)
		}
		n := &Node{clockStart: time.Now(), journal: openTestJournal(t, dir, 3)}
		for _, m := range n.journal.live {
			r := n.resumedEvent(m)
			if r.Failed != c.failed || r.MayHaveRun != c.touched || r.Attempts != 1 || (r.MayHaveRun && r.MayHaveRunSince > n.now()) {
				t.Errorf("%s: got %+v", c.name, r)
			}
		}
	}
}

func TestExpiredMessagesEndAtOnce(t *testing.T) {
	t.Parallel()
	p, r, state := newFakeEndpoint(t, respondWith(okResponse)), newFakeRegistry(t), t.TempDir()
	j := openTestJournal(t, state, 3)
	late, err := j.accept(&pendingMessage{id: "late", class: 0, dest: 7, deadline: time.Now().Add(-time.Second)})
	if err != nil {
		t.Fatal(err)
	}
	forgotten, err := j.accept(&pendingMessage{id: "forgotten", key: "k", class: 1, dest: 7, deadline: time.Now().Add(time.Minute)})
	if err != nil {
		t.Fatal(err)
	}
	j.add(attemptRecord(late.seq, time.Now().Add(-time.Minute), 0))
	j.add(attemptRecord(forgotten.seq, time.Now().Add(-2*time.Minute), 0)) // its dedup window is one minute
	mustFlush(t, j)
	startNode(t, r, state, memberJSON("e", p.addr(), 7, "SERVING"))
	eventually(t, "the end of the overdue message", func() bool { return r.noticeState("late") == "returned" })
	eventually(t, "the end of the message with the forgotten key", func() bool { return r.noticeState("forgotten") == "failed" })
	if calls, _ := p.counts(); calls != 0 {
		t.Errorf("%d calls", calls)
	}
}

// While the journal can't be written, the platform still gets the notice of a message past its deadline,
// whether the message was held or about to be sent: no later process could do anything wrong with it. Nothing
// is sent without a record.
func TestMessagesEndOnAFullDisk(t *testing.T) {
	t.Parallel()
	full, err := os.OpenFile("/dev/full", os.O_RDWR, 0)
	if err != nil {
		t.Skip("no /dev/full here")
	}
	p, r, state := newFakeEndpoint(t, respondWith(okResponse)), newFakeRegistry(t), t.TempDir()
	j := openTestJournal(t, state, 3)
	for id, life := range map[string]time.Duration{"late": -time.Second, "soon": 300 * time.Millisecond} {
		if _, err := j.accept(&pendingMessage{id: id, class: 0, dest: 7, deadline: time.Now().Add(life)}); err != nil {
			t.Fatal(err)
		}
	}
	mustFlush(t, j)
	addr, _ := startInspectedNode(t, r, state, func(n *Node) {
		n.journal.file = full
		if err := os.Mkdir(j.path()+".new", 0o700); err != nil { // prevents compaction as well
			t.Error(err)
		}
	}, memberJSON("e", p.addr(), 7, "SERVING"))
	eventually(t, "the end of the message past its deadline", func() bool { return r.noticeState("late") != "" })
	eventually(t, "the end of the message that could not be sent", func() bool { return r.noticeState("soon") != "" })
	if calls, _ := p.counts(); calls != 0 {
		t.Errorf("%d calls without a record", calls)
	}
	if err := os.Remove(j.path() + ".new"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "messages are accepted again", func() bool { return roundTrip(t, addr, enqueueCommand("a", statusFields, "x")) == "+OK" })
}

// However often writing the journal fails, the log has one line when that begins and one when it ends.
func TestUnwritableJournalIsLoggedOnce(t *testing.T) {
	n := newIdleNode(t, drainingMember())
	var lines bytes.Buffer
	n.log = slog.New(slog.NewTextHandler(&lines, nil))
	good, block := n.journal.file, n.journal.path()+".new"
	t.Cleanup(func() { good.Close() })
	full, err := os.OpenFile("/dev/full", os.O_RDWR, 0)
	if err != nil {
		t.Skip("no /dev/full here")
	}
	if err := os.Mkdir(block, 0o700); err != nil { // prevents compaction as well
		t.Fatal(err)
	}
	n.journal.file = full
	for i := range 20 {
		n.handleBatch(t.Context(), []any{newArrival("a"+itoa(i), time.Minute)})
	}
	if err := os.Remove(block); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the journal is written again", func() bool {
		n.handleBatch(t.Context(), nil)
		return !n.journal.incomplete
	})
	got := lines.String()
	if strings.Count(got, "can't be written") != 1 || strings.Count(got, "written again") != 1 || strings.Count(got, "\n") != 2 {
		t.Errorf("the log says:\n%s", got)
	}
}

// After SIGTERM clients are still answered, the process ends by itself without an error, and the next one has
// the held messages.
func TestSIGTERM(t *testing.T) {
	t.Parallel()
	p, r, state := newFakeEndpoint(t, respondWith(okResponse)), newFakeRegistry(t), t.TempDir()
	c := startChild(t, r, state, drainingMember())
	nc, br := dialClient(t, c.addr)
	if err := c.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for _, m := range []string{enqueueCommand("a", statusFields, ""), enqueueCommand("b", payoutFields, "")} { // on an open connection
		if _, err := io.WriteString(nc, m); err != nil {
			t.Fatal(err)
		}
		if line, err := br.ReadString('\n'); line != "+OK\r\n" {
			t.Fatalf("got %q, %v", line, err)
		}
	}
	mustAnswer(t, c.addr, enqueueCommand("c", orderFields, ""), "+OK") // on a new connection
	if err := c.cmd.Wait(); err != nil {
		t.Fatal(err)
	}
	startChild(t, r, state, memberJSON("e", p.addr(), 7, "SERVING"))
	seen := map[string]bool{}
	for range 3 {
		seen[p.nextRequest(t).Header.Get("X-Trace-Id")] = true
	}
	if len(seen) != 3 {
		t.Errorf("got %v", seen)
	}
}

// newIdleNode returns a node whose loop does not run: the test handles its events.
func newIdleNode(t *testing.T, known ...string) *Node {
	t.Helper()
	return newConfiguredIdleNode(t, nil, known...)
}

// newConfiguredIdleNode is newIdleNode with a changed configuration.
func newConfiguredIdleNode(t *testing.T, alter func(*Config), known ...string) *Node {
	t.Helper()
	cfg, err := LoadConfig(writeConfig(t, "127.0.0.1:0", "127.0.0.1:9", known...), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if alter != nil {
		alter(&cfg)
	}
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n.step(t.Context(), n.replayJournal(), nil)
	return n
}

func newArrival(id string, life time.Duration) arrival {
	return arrival{request{id: id, class: 0, dest: 7, ttl: life, receivedAt: time.Now()}, make(chan answer, 1)}
}

// An ID submitted several times at once must get one answer for all, and not before its record is written.
func TestRepeatedIDInABatchHasOneAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		life time.Duration
		down bool
		want answer
	}{
		"accepted":            {50 * time.Second, false, answer{}},
		"refused":             {0, false, answer{refused: true, retryAfter: 3 * time.Second}}, // by the module, as its deadline has passed
		"the journal is down": {50 * time.Second, true, answer{refused: true, retryAfter: 3 * time.Second}},
	} {
		n := newIdleNode(t, drainingMember())
		if c.down {
			n.journal.file.Close()
		}
		all := []arrival{newArrival("a", c.life), newArrival("a", c.life), newArrival("a", c.life)}
		n.handleBatch(t.Context(), []any{all[0], all[1], all[2]})
		for _, a := range all {
			select {
			case got := <-a.reply:
				if got != c.want {
					t.Errorf("%s: got %+v", name, got)
				}
			default:
				t.Errorf("%s: no answer", name)
			}
		}
		if taken := len(n.messages) == 1; taken != (c.want == answer{}) || n.openMessages != len(n.messages) {
			t.Errorf("%s: %d messages, %d held", name, len(n.messages), n.openMessages)
		}
	}
}

// An ID may be used again while a call under it is still in flight. The two messages must not be confused.
func TestIDReusedDuringItsCall(t *testing.T) {
	p := newFakeEndpoint(t, neverAnswer)
	n := newIdleNode(t, memberJSON("e", p.addr(), 7, "SERVING"))
	n.handleBatch(t.Context(), []any{newArrival("a", 50*time.Second)})
	p.nextRequest(t)
	n.step(t.Context(), []choice.Event{choice.MessageAbandoned{ID: n.messages["a"].choiceID()}}, nil)
	n.forget(n.messages["a"])
	n.handleBatch(t.Context(), []any{newArrival("a", 50*time.Second)})
	p.nextRequest(t)
	if len(n.outstanding) != 2 {
		t.Fatalf("%d calls in flight", len(n.outstanding))
	}
	for _, c := range n.outstanding {
		c.cancel()
	}
	for range 2 {
		n.handleBatch(t.Context(), []any{<-n.events})
	}
	if n.messages["a"] == nil || n.openMessages != 1 {
		t.Error("the first one's call has ended the second message")
	}
	for a, c := range n.outstanding { // by then a second attempt of the second message
		if a.seq != n.messages["a"].seq {
			t.Errorf("a call of message %d is in flight", a.seq)
		}
		c.cancel()
	}
	n.calls.Wait()
}

// A call that is cut off as the node stops, or rejected over a limit, must not make the next process treat
// the destination as one after an outage.
func TestStoppingIsNoOutage(t *testing.T) {
	for name, c := range map[string]struct {
		serve           func(net.Conn, *http.Request) bool
		failed, touched bool
	}{
		"cut off":      {neverAnswer, false, true},
		"over a limit": {respondWith("HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n"), false, false},
		"error":        {respondWith("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), true, true},
	} {
		p := newFakeEndpoint(t, c.serve)
		n := newIdleNode(t, memberJSON("e", p.addr(), 7, "SERVING"))
		n.handleBatch(t.Context(), []any{newArrival("a", 50*time.Second)})
		p.nextRequest(t)
		n.handleBatch(t.Context(), []any{choice.Stopping{By: 1}})
		for _, out := range n.outstanding {
			if name == "cut off" {
				out.cancel()
			}
		}
		n.handleBatch(t.Context(), []any{<-n.events})
		if r := n.resumedEvent(n.messages["a"]); r.Failed != c.failed || r.MayHaveRun != c.touched || r.Attempts != 1 {
			t.Errorf("%s: got %+v", name, r)
		}
		n.pool.close()
		n.calls.Wait()
	}
}

// -BUSY carries a retry-after also where the module is not asked.
func TestRefusalHasRetryAfter(t *testing.T) {
	n := newIdleNode(t, drainingMember())
	for i := range 8 {
		a := newArrival(itoa(i), 50*time.Second)
		n.handleBatch(t.Context(), []any{a})
		if got := <-a.reply; got.refused && got.retryAfter <= 0 {
			t.Errorf("got %+v", got)
		} else if i == 7 && !got.refused {
			t.Errorf("there is room for %d", i)
		}
	}
}

// Endpoints, destinations and IDs come and go; the node's memory of them must not grow.
func TestNodeStateDoesNotGrow(t *testing.T) {
	p := newFakeEndpoint(t, respondWith(okResponse))
	n := newIdleNode(t, drainingMember())
	for i := range 2000 {
		members := []catalog.Endpoint{{ID: "e" + itoa(i), Addr: p.addr(), Cell: i, Phase: "SERVING"}, {ID: "e" + itoa(i-1), Cell: i - 1, Phase: "DELETED"}}
		a := newArrival("m"+itoa(i), 50*time.Second)
		a.dest = i
		n.handleBatch(t.Context(), []any{registry.Update{List: catalog.List{Revision: int64(i), Members: members}}})
		n.handleBatch(t.Context(), []any{a})
		for len(n.outstanding) > 0 {
			n.handleBatch(t.Context(), []any{<-n.events})
			p.nextRequest(t)
		}
	}
	for what, size := range map[string]int{
		"endpoints": len(n.endpoints), "messages": len(n.messages), "live": len(n.journal.live), "held": n.openMessages, "kept": idleConns(n.pool),
	} {
		if size > 2 {
			t.Errorf("%s: %d", what, size)
		}
	}
	n.clockStart = n.clockStart.Add(-time.Hour) // all time windows pass
	for range 2 {
		n.handleBatch(t.Context(), []any{registry.Update{List: catalog.List{Complete: true, Members: []catalog.Endpoint{{ID: "last", Addr: p.addr(), Cell: 1e6, Phase: "SERVING"}}}}})
	}
	if len(n.destinationWaits) > 2 || n.sender.KnowsDestination(3) {
		t.Errorf("%d waits", len(n.destinationWaits))
	}
	n.pool.close()
	n.calls.Wait()
}

// Messages that the module sends to one endpoint in one step share a call and a slot there, up to the batch
// size of their kind and the size of a body.
func TestSendsOfAStepShareACall(t *testing.T) {
	for _, c := range []struct {
		name                         string
		batch, messages, body, calls int
	}{
		{"one kind without batches", 1, 3, 10, 3},
		{"together", 10, 3, 10, 1},
		{"more than one call holds", 4, 6, 10, 2},
		{"large bodies", 10, 3, 30 << 10, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newFakeEndpoint(t, neverAnswer)
			n := newConfiguredIdleNode(t, func(cfg *Config) {
				cfg.Settings.MaxOpen = 100
				cfg.Settings.Kinds = []choice.Kind{{MaxBatch: c.batch}}
				cfg.Settings.Slots = 100
			}, memberJSON("e", p.addr(), 7, "SERVING"))
			var batch []any
			for i := range c.messages {
				a := newArrival("m"+itoa(i), 50*time.Second)
				a.body = make([]byte, c.body)
				batch = append(batch, a)
			}
			n.handleBatch(t.Context(), batch)
			for range c.calls {
				p.nextRequest(t)
			}
			if len(n.outstanding) != c.messages {
				t.Errorf("%d attempts in flight", len(n.outstanding))
			}
			for _, out := range n.outstanding {
				out.cancel()
			}
			n.calls.Wait() // each call has sent its end event
			if ended := len(n.events); ended != c.calls {
				t.Errorf("%d calls, want %d", ended, c.calls)
			}
			for len(n.events) > 0 {
				e := (<-n.events).(callEnd)
				if len(n.callEnded(e)) != len(e.attempts) {
					t.Error("an attempt without its outcome")
				}
			}
			if len(n.outstanding) != 0 {
				t.Errorf("%d attempts in flight after their calls", len(n.outstanding))
			}
		})
	}
}

// A node has no built-in limit on endpoints or partners: with more than a thousand endpoints each partner
// gets its message, and the next process knows all of them.
func TestManyEndpoints(t *testing.T) {
	const partners, each = 512, 3
	p := newFakeEndpoint(t, func(nc net.Conn, _ *http.Request) bool { _, err := io.WriteString(nc, okResponse); return err == nil })
	var members []catalog.Endpoint
	for i := range partners * each {
		members = append(members, catalog.Endpoint{ID: "e" + itoa(i), Addr: p.addr(), Locality: "z", Flavor: "m", Cell: i % partners, Phase: "SERVING", Size: 1000})
	}
	n := newConfiguredIdleNode(t, func(cfg *Config) { cfg.Settings.MaxOpen, cfg.Settings.Slots = partners, 50 })
	n.handleBatch(t.Context(), []any{registry.Update{List: catalog.List{Complete: true, Members: members}}})
	var batch []any
	for i := range partners {
		a := newArrival("m"+itoa(i), 50*time.Second)
		a.dest = i
		batch = append(batch, a)
	}
	n.handleBatch(t.Context(), batch)
	reached := map[string]bool{}
	for len(n.messages) > 0 {
		e := (<-n.events).(callEnd)
		reached[e.endpoint.id] = true
		n.handleBatch(t.Context(), []any{e})
	}
	if len(reached) != partners {
		t.Errorf("%d endpoints had the messages of %d partners", len(reached), partners)
	}
	n.pool.close()
	n.calls.Wait()
	if again := openTestJournal(t, n.cfg.StateDir, 3); len(again.knownEndpoints) != len(members) {
		t.Errorf("the next process knows %d endpoints of %d", len(again.knownEndpoints), len(members))
	}
}

// The module weighs a message by its tenant's share, before and after a restart. A tenant that is not in the
// settings has no share, above all not the first tenant's. Journal records from before there were tenants
// name none.
func TestTenantReachesModule(t *testing.T) {
	names := wire.Names{Classes: []string{"status"}, Tenants: []string{"acme", "zen"}}
	dir := t.TempDir()
	j := openTestJournal(t, dir, 3)
	n := &Node{log: slog.New(slog.DiscardHandler), clockStart: time.Now(), journal: j, messages: map[string]*pendingMessage{}, sender: choice.New(choice.Settings{}, 1)}
	n.sender.Step(n.now(), []choice.Event{choice.ListUpdate{Entries: []choice.Entry{{Endpoint: "e", Dest: 7}}}})
	want := map[string]int{"acme": 0, "zen": 1, "": -1, "other": -1}
	for tenant, place := range want {
		args := [][]byte{[]byte("ENQUEUE"), []byte("0"), []byte("of:" + tenant), []byte("c=status,d=9000,dest=7,t=" + tenant), nil}
		q, err := parseEnqueue(args, names, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		p := n.accept(arrival{request: q}, newMessages{})
		if got := n.arrivedEvent(p, p.deadline).Tenant; got != place {
			t.Errorf("%q: got %d, want %d", tenant, got, place)
		}
	}
	old := acceptedRecord(&pendingMessage{seq: j.nextSeq, id: "of:old", deadline: time.Now()})
	j.add(old[:len(old)-1])
	want["old"] = -1
	mustFlush(t, j)
	again := openTestJournal(t, dir, 3)
	for _, m := range again.live {
		if got, place := n.resumedEvent(m).Tenant, want[strings.TrimPrefix(m.id, "of:")]; got != place {
			t.Errorf("%q after a restart: got %d, want %d", m.id, got, place)
		}
	}
	if len(again.live) != len(want) {
		t.Errorf("%d live", len(again.live))
	}
}

// Without a state folder the journal used to land in the working directory, where the next start might not
// find it.
func TestConfigNeedsStateFolder(t *testing.T) {
	path := writeConfig(t, "127.0.0.1:0", "127.0.0.1:9", drainingMember())
	if _, err := LoadConfig(path, t.TempDir()); err != nil {
		t.Error(err)
	}
	for _, c := range [][2]string{{path, ""}, {"", t.TempDir()}} {
		if _, err := LoadConfig(c[0], c[1]); err == nil || !strings.Contains(err.Error(), "ROUTER_STATE") {
			t.Errorf("%q: got %v", c, err)
		}
	}
}

// Whatever the limit and the slots, the descriptors of clients, operators, calls, idle connections and the
// node itself fit the limit together.
func TestSplitDescriptors(t *testing.T) {
	for _, sockets := range []int{256, 384, 512, 1024, 4096} {
		for _, slots := range []int{0, 1, 8, 60, 300, 5000} {
			calls, idle := splitDescriptors(sockets, slots)
			if all := sockets/clientSocketsDivisor + sockets/operatorSocketsDivisor + nodeDescriptors + calls + idle; calls < 1 || idle < 1 || all > sockets {
				t.Errorf("%d sockets, %d slots: %d calls and %d kept make %d in all", sockets, slots, calls, idle, all)
			}
		}
	}
}

// The node may have read a request late, so that an answer shortly before the deadline that it knows came too late for
// the platform. Such a message still gets its end, by a notice.
func TestAnswerCloseToDeadlineIsFollowedByNotice(t *testing.T) {
	t.Parallel()
	const timeToLive, beforeDeadline = time.Second, 60 * time.Millisecond
	var submittedAt atomic.Int64
	p := newFakeEndpoint(t, func(nc net.Conn, _ *http.Request) bool {
		time.Sleep(time.Until(time.Unix(0, submittedAt.Load()).Add(timeToLive - beforeDeadline)))
		return respondWith(okResponse)(nc, nil)
	})
	r := newFakeRegistry(t)
	addr, _ := startNode(t, r, t.TempDir(), memberJSON("e", p.addr(), 7, "SERVING"))
	for _, class := range []string{"status", "order", "payout"} {
		submittedAt.Store(time.Now().UnixNano())
		mustAnswer(t, addr, enqueueCommand(class, "c="+class+",d=1000,dest=7,k=key", ""), "+OK")
		eventually(t, "a notice for the "+class, func() bool { return r.noticeState(class) != "" })
	}
}
