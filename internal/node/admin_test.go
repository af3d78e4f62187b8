package node

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"starlingusher/choice"
)

// openAdmin opens an operators' address for a test.
func openAdmin(t *testing.T, sockets int) (*Admin, string) {
	t.Helper()
	cfg := Config{AdminAddr: "127.0.0.1:0"}
	cfg.Names.Classes = []string{"status", "order", "payout"}
	cfg.Limits.Sockets = sockets
	a, err := ListenAdmin(t.Context(), cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close() })
	return a, a.listener.Addr().String()
}

// adminCall makes one call and returns the status and body of the answer.
func adminCall(t *testing.T, addr, method, target string) (int, string) {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(nc, "%s %s HTTP/1.1\r\nHost: node\r\n\r\n", method, target)
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || !resp.Close {
		t.Errorf("%v; connection kept open: %v", err, !resp.Close)
	}
	return resp.StatusCode, string(body)
}

// fetchMetrics fetches the metrics.
func fetchMetrics(t *testing.T, addr string) map[string]int {
	t.Helper()
	code, body := adminCall(t, addr, "GET", "/-/metrics")
	if code != http.StatusOK {
		t.Fatalf("got %d %q", code, body)
	}
	all := map[string]int{}
	for line := range strings.Lines(body) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ":")
		number, kind, _ := strings.Cut(value, "|")
		n, err := strconv.Atoi(number)
		if err != nil || (kind != "c" && kind != "g") {
			t.Errorf("invalid metric: %q", line)
		}
		all[name+"|"+kind] = n
	}
	return all
}

func TestMetrics(t *testing.T) {
	t.Parallel()
	p := newFakeEndpoint(t, func(nc net.Conn, req *http.Request) bool {
		if req.Header.Get("X-Trace-Id") == "fails" {
			return respondWith("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")(nc, req)
		}
		return respondWith(okResponse)(nc, req)
	})
	r := newFakeRegistry(t)
	a, admin := openAdmin(t, 256)
	if code, body := adminCall(t, admin, "GET", "/-/ready"); code != http.StatusServiceUnavailable || body != "starting\n" {
		t.Errorf("without a node: got %d %q", code, body)
	}
	var n *Node
	addr, stop := startInspectedNode(t, r, t.TempDir(), func(made *Node) { n = made; a.SetNode(made) },
		memberJSON("e", p.addr(), 7, "SERVING"), memberJSON("off", "127.0.0.1:9", 8, "DRAINING"))
	eventually(t, "ready", func() bool { code, _ := adminCall(t, admin, "GET", "/-/ready"); return code == http.StatusOK })
	first := fetchMetrics(t, admin)
	for _, class := range []string{"status", "order", "payout"} {
		for _, name := range []string{"ok", "shed", "errors", "tries"} {
			if v, ok := first["app."+name+"."+class+"|c"]; !ok || v != 0 {
				t.Errorf("at the start %s of %s is %d, %v", name, class, v, ok)
			}
		}
	}
	mustAnswer(t, addr, enqueueCommand("a", statusFields, "x"), "+OK")
	mustAnswer(t, addr, enqueueCommand("fails", payoutFields, "x"), "+OK")
	accepted := 0
	for i := range 6 { // held, because nothing may be sent to a draining endpoint
		if roundTrip(t, addr, enqueueCommand("h"+itoa(i), "c=order,d=50000,dest=8,k=k"+itoa(i), "x")) == "+OK" {
			accepted++
		}
	}
	want := map[string]int{
		"app.ok.status|c": 1, "app.tries.status|c": 1, "app.errors.payout|c": 1, "app.tries.payout|c": 1,
		"app.ok.payout|c": 0, "app.shed.order|c": 6 - accepted, "app.tries.order|c": 0, "app.active|g": accepted,
		"app.pool_size|g": 2, "app.pool_ejected|g": 0,
	}
	eventually(t, "the metrics", func() bool {
		got := fetchMetrics(t, admin)
		for name, v := range want {
			if got[name] != v {
				return false
			}
		}
		return accepted > 0 && accepted < 6
	})
	stop()
	if got := n.NotReadyReason(); got != "leaving" {
		t.Errorf("after shutdown: got %q, want leaving", got)
	}
}

// A call counts with all its messages, and only once its last byte is written.
func TestTriesCountWhollyWrittenCalls(t *testing.T) {
	t.Parallel()
	p := newFakeEndpoint(t, respondWith(okResponse))
	n := &Node{metrics: newMetrics([]string{"a"})}
	o := &outgoingCall{call: newTestCall(newTestEndpoint(p.addr())), messages: []*pendingMessage{{}, {}, {class: 7}}}
	o.onWritten = func() { n.countWritten(o) }
	for i, addr := range []string{p.addr(), "127.0.0.1:1"} {
		o.endpoint = newTestEndpoint(addr)
		want := []choice.Outcome{choice.Success, choice.Unreachable}[i]
		if got := newTestPool().do(t.Context(), o.call); got.outcome != want || n.metrics.tries[0].Load() != 2 {
			t.Errorf("got outcome %v, %d tries", got.outcome, n.metrics.tries[0].Load())
		}
	}
}

func TestAdminRejectsUnknownRequests(t *testing.T) {
	t.Parallel()
	_, addr := openAdmin(t, 256)
	for _, c := range [][2]string{
		{"GET", "/"}, {"GET", "/-/ready/"}, {"GET", "//-/ready"}, {"GET", "/-/../-/ready"}, {"POST", "/-/ready"},
		{"GET", "/-/endpoints/e/disable"}, {"POST", "/-/endpoints//disable"}, {"PUT", "/-/metrics"}, {"DELETE", "/-"},
	} {
		code, body := adminCall(t, addr, c[0], c[1])
		if code/100 != 4 || strings.Count(body, "\n") != 1 {
			t.Errorf("%v: got %d %q, want a 4xx status and one line", c, code, body)
		}
	}
}

func TestInvalidAdminAddressFailsStart(t *testing.T) {
	t.Parallel()
	_, usedAddr := openAdmin(t, 256)
	for _, addr := range []string{usedAddr, "nowhere", "127.0.0.1:99999"} {
		_, err := ListenAdmin(t.Context(), Config{AdminAddr: addr}, slog.New(slog.DiscardHandler))
		if err == nil || !strings.HasPrefix(err.Error(), "operators' address: ") {
			t.Errorf("%s: got %v", addr, err)
		}
	}
	if a, err := ListenAdmin(t.Context(), Config{}, nil); err != nil || a.Close() != nil {
		t.Errorf("without an address: got %v", err)
	}
}

// Any number of clients that hold connections without a whole request can't shut others out: their
// connections are closed, oldest first. Connections that are being answered stay open.
func TestIncompleteRequestsDoNotBlockOperators(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &cappedListener{Listener: ln, maxConns: 4, conns: map[*operatorConn]bool{}}
	defer l.Close()
	accepted := make(chan net.Conn, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	closed := make(chan int, 100)
	dial := func(i int) {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		go func() {
			io.Copy(io.Discard, nc)
			closed <- i
		}()
	}
	open := map[int]bool{}
	var conns []net.Conn
	for i := range 20 {
		dial(i)
		select {
		case c := <-accepted:
			conns = append(conns, c)
		case <-time.After(testTimeout):
			t.Fatalf("connection %d is not accepted", i)
		}
		open[i] = true
	}
	for range 16 {
		select {
		case i := <-closed:
			delete(open, i)
		case <-time.After(testTimeout):
			t.Fatalf("connections %v are still open", open)
		}
	}
	for i := 16; i < 20; i++ {
		if !open[i] {
			t.Errorf("connection %d was closed before older ones", i)
		}
		conns[i].(*operatorConn).markRequestReceived()
	}
	dial(20)
	if i := <-closed; i != 20 {
		t.Errorf("connection %d was closed while it was being answered", i)
	}
	conns[16].Close()
	dial(21)
	select {
	case <-accepted:
	case <-time.After(testTimeout):
		t.Error("the slot of a closed connection is not reused")
	}
}

// A disabled endpoint gets no calls, whatever discovery says, over a restart and over a handover, until it is
// enabled again. Commands may be repeated. An ID that was never listed is refused; one that was listed and is
// gone is accepted.
func TestDisableAndEnableEndpoint(t *testing.T) {
	t.Parallel()
	first, second := newFakeEndpoint(t, respondWith(okResponse)), newFakeEndpoint(t, respondWith(okResponse))
	both := []string{memberJSON("e1", first.addr(), 7, "SERVING"), memberJSON("e2", second.addr(), 7, "SERVING")}
	r, state := newFakeRegistry(t), t.TempDir()
	a, admin := openAdmin(t, 256)
	command := func(id, action string, want int) {
		t.Helper()
		if code, body := adminCall(t, admin, "POST", "/-/endpoints/"+id+"/"+action); code != want || strings.Count(body, "\n") != 1 {
			t.Errorf("%s %s: got %d %q", action, id, code, body)
		}
	}
	command("e1", "disable", http.StatusServiceUnavailable) // there is no node yet
	number := 0
	// deliver hands in messages one by one, at least 25, until the first endpoint has got a call if want is
	// set.
	deliver := func(process *nodeProcess, wantCall bool) {
		t.Helper()
		idle := func() bool { return process.node.metrics.activeMessages.Load() == 0 }
		eventually(t, "the end of what an earlier process held", idle)
		before, _ := first.counts()
		for i := 0; ; i++ {
			number++
			mustAnswer(t, process.addr, enqueueCommand("m"+itoa(number), statusFields, "x"), "+OK")
			select {
			case <-first.requests:
			case <-second.requests:
			case <-time.After(testTimeout):
				t.Fatal("no endpoint got a call")
			}
			eventually(t, "the end of the message", idle) // the node takes on only a few at once
			if now, _ := first.counts(); i >= 25 && (now > before || !wantCall) {
				if now > before && !wantCall {
					t.Errorf("%d calls to the disabled endpoint", now-before)
				}
				return
			}
		}
	}
	predecessor := startProcess(t, r, state, "", append(both, memberJSON("old", "127.0.0.1:9", 8, "SERVING"))...)
	a.node.Store(predecessor.node)
	deliver(predecessor, true)
	command("nobody", "disable", http.StatusNotFound)
	command("nobody", "enable", http.StatusNotFound)
	command("e2", "enable", http.StatusOK) // it was not disabled
	command("e1", "disable", http.StatusOK)
	command("e1", "disable", http.StatusOK)
	r.publish(listJSON(2, true, both...)) // a complete list without the old one
	eventually(t, "the list", func() bool { return predecessor.node.metrics.listedEndpoints.Load() == 2 })
	command("old", "disable", http.StatusOK)
	if got := predecessor.node.metrics.avoidedEndpoints.Load(); got != 1 {
		t.Errorf("%d listed endpoints are avoided, want 1", got)
	}
	deliver(predecessor, false)

	successor := startProcess(t, r, state, predecessor.addr, both...)
	deliver(successor, false)
	command("old", "enable", http.StatusOK) // sent to the predecessor, carried out by the successor
	command("nobody", "enable", http.StatusNotFound)
	predecessor.cancel()
	if err := predecessor.wait(t); err != nil {
		t.Error(err)
	}
	successor.cancel()
	if err := successor.wait(t); err != nil {
		t.Error(err)
	}
	restarted := startProcess(t, r, state, "", both...)
	a.node.Store(restarted.node)
	if got := restarted.node.metrics.avoidedEndpoints.Load(); got != 1 {
		t.Errorf("after a restart %d endpoints are avoided, want 1", got)
	}
	deliver(restarted, false)
	command("e1", "enable", http.StatusOK)
	deliver(restarted, true)
	command("old", "enable", http.StatusOK) // known, though it was last listed two processes ago
}
