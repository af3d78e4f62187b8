package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"starlingusher/choice"
)

const testTimeout = 30 * time.Second // bound for events that must happen; no test asserts speed

// fakeEndpoint is an endpoint on a loopback socket. serve answers each request; if it returns false, the
// connection is closed.
type fakeEndpoint struct {
	ln    net.Listener
	serve func(nc net.Conn, req *http.Request) bool
	read  func(body []byte) // unless nil, it gets the body of each request

	mu       sync.Mutex
	calls    []*http.Request
	conns    int
	requests chan *http.Request
}

func newFakeEndpoint(t *testing.T, serve func(nc net.Conn, req *http.Request) bool) *fakeEndpoint {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &fakeEndpoint{ln: ln, serve: serve, requests: make(chan *http.Request, 1000)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns++
			p.mu.Unlock()
			t.Cleanup(func() { nc.Close() })
			go p.serveConn(nc)
		}
	}()
	return p
}

func (p *fakeEndpoint) serveConn(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if p.read != nil {
			p.read(body)
		}
		p.mu.Lock()
		p.calls = append(p.calls, req)
		p.mu.Unlock()
		p.requests <- req
		if !p.serve(nc, req) {
			return
		}
	}
}

func (p *fakeEndpoint) addr() string { return p.ln.Addr().String() }

func (p *fakeEndpoint) counts() (calls, conns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.calls), p.conns
}

// nextRequest waits for the next request and returns it.
func (p *fakeEndpoint) nextRequest(t *testing.T) *http.Request {
	t.Helper()
	select {
	case req := <-p.requests:
		return req
	case <-time.After(testTimeout):
		t.Fatal("no call came")
		return nil
	}
}

func respondWith(text string) func(net.Conn, *http.Request) bool {
	return func(nc net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(nc, text)
		return err == nil
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// neverAnswer never answers a request, and returns when the connection is closed.
func neverAnswer(nc net.Conn, _ *http.Request) bool {
	io.Copy(io.Discard, nc)
	return false
}

func newTestEndpoint(addr string) *endpoint {
	return &endpoint{id: "e", addr: addr, wait: new(callWait)}
}

func newTestPool() *pool { return newPool(2*time.Second, time.Minute, 16) }

// idleConns returns the number of idle connections in a pool.
func idleConns(p *pool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleCount
}

func newTestCall(e *endpoint) call {
	return call{items: []item{{"9b1f03aa5c7e2d41", "5c0f", []byte("body\x00")}}, endpoint: e, deadline: time.Now().Add(testTimeout), resultBy: time.Now().Add(testTimeout)}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for: " + what)
		}
	}
}

func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name, response string
		want           callResult
	}{
		{"delivered", okResponse, callResult{outcome: choice.Success, final: true}},
		{"delivered with a report", "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: x0=0.4,x1=25\r\nContent-Length: 0\r\n\r\n",
			callResult{outcome: choice.Success, final: true, report: choice.Report{Left: 0.4, Limit: 25, HasLeft: true, HasLimit: true}}},
		{"invalid report", "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: x0=often,,x1=NaN\r\nContent-Length: 0\r\n\r\n",
			callResult{outcome: choice.Success, final: true}},
		{"after a 1xx", "HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse, callResult{outcome: choice.Success, final: true}},
		{"error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", callResult{outcome: choice.ServerError}},
		{"told to wait", "HTTP/1.1 429 No\r\nRetry-After: 0.35\r\nContent-Length: 0\r\n\r\n",
			callResult{outcome: choice.Rejected, retryAfter: 350 * time.Millisecond}},
		{"rejected", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", callResult{outcome: choice.Rejected}},
		{"rejected and connection closed", "HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
			callResult{outcome: choice.Rejected, connClosed: true}},
		{"no slot", "HTTP/1.1 503 No\r\nX-Line-Busy: 1\r\nContent-Length: 0\r\n\r\n", callResult{outcome: choice.Stale, noSlot: true}},
		{"all attempts used", "HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n", callResult{outcome: choice.Stale}},
		{"message over", "HTTP/1.1 410 No\r\nContent-Length: 0\r\n\r\n", callResult{outcome: choice.Stale, final: true}},
		{"unknown status", "HTTP/1.1 418 No\r\nContent-Length: 0\r\n\r\n", callResult{outcome: choice.ServerError}},
		{"not HTTP", "what?\r\n\r\n", callResult{outcome: choice.ConnectionBroken}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newFakeEndpoint(t, respondWith(c.response))
			got := newTestPool().do(t.Context(), newTestCall(newTestEndpoint(p.addr())))
			if got.firstLineAt = (time.Time{}); !reflect.DeepEqual(got, c.want) {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

func TestOutcomesOfConnections(t *testing.T) {
	t.Run("refused", func(t *testing.T) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ln.Close()
		if got := newTestPool().do(t.Context(), newTestCall(newTestEndpoint(ln.Addr().String()))); got.outcome != choice.Unreachable {
			t.Errorf("got %+v", got)
		}
	})
	t.Run("broken before the last byte", func(t *testing.T) {
		local, remote := net.Pipe() // a write to it returns only when the bytes are read
		go func() {
			io.ReadFull(remote, make([]byte, 10))
			remote.Close()
		}()
		k := &conn{Conn: local}
		if got, reuse := k.exchange(t.Context(), []byte(strings.Repeat("x", 100)), call{}); got.outcome != choice.Unreachable || reuse {
			t.Errorf("got %+v, %v", got, reuse)
		}
	})
	t.Run("ended after the last byte", func(t *testing.T) {
		p := newFakeEndpoint(t, func(net.Conn, *http.Request) bool { return false })
		if got := newTestPool().do(t.Context(), newTestCall(newTestEndpoint(p.addr()))); got.outcome != choice.ConnectionBroken {
			t.Errorf("got %+v", got)
		}
	})
	t.Run("timed out", func(t *testing.T) {
		closed := make(chan bool, 1)
		p := newFakeEndpoint(t, func(nc net.Conn, _ *http.Request) bool {
			_, err := nc.Read(make([]byte, 1))
			closed <- err != nil // an abandoned call must close its connection
			return false
		})
		c := newTestCall(newTestEndpoint(p.addr()))
		c.deadline = time.Now().Add(100 * time.Millisecond)
		if got := newTestPool().do(t.Context(), c); got.outcome != choice.TimedOut || !<-closed {
			t.Errorf("got %+v", got)
		}
	})
	t.Run("canceled", func(t *testing.T) {
		p := newFakeEndpoint(t, neverAnswer)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-p.requests
			cancel()
		}()
		if got := newTestPool().do(ctx, newTestCall(newTestEndpoint(p.addr()))); got.outcome != choice.Canceled {
			t.Errorf("got %+v", got)
		}
	})
	t.Run("past its deadline", func(t *testing.T) {
		p := newFakeEndpoint(t, respondWith(okResponse))
		c := newTestCall(newTestEndpoint(p.addr()))
		c.deadline = time.Now().Add(-time.Second)
		if got := newTestPool().do(t.Context(), c); got.outcome != choice.Stale {
			t.Errorf("got %+v", got)
		}
	})
}

func TestRequestHeaders(t *testing.T) {
	p := newFakeEndpoint(t, respondWith(okResponse))
	newTestPool().do(t.Context(), newTestCall(newTestEndpoint(p.addr())))
	req := p.nextRequest(t)
	left, err := strconv.Atoi(strings.TrimSuffix(req.Header.Get("X-Expires-In"), "m"))
	if req.Method != "POST" || req.URL.Path != "/v1/messages" || req.Header.Get("X-Trace-Id") != "9b1f03aa5c7e2d41" ||
		req.Header.Get("Idempotency-Key") != "5c0f" || req.ContentLength != 5 || err != nil || left < 1 {
		t.Errorf("got %s %s %v", req.Method, req.URL, req.Header)
	}
}

// When a reused connection breaks, the pool must not send the request again by itself: that could have a
// second effect.
func TestBrokenReusedConnectionIsNotSentAgain(t *testing.T) {
	first := true
	p := newFakeEndpoint(t, func(nc net.Conn, _ *http.Request) bool {
		if first {
			first = false
			io.WriteString(nc, okResponse)
			return true
		}
		return false
	})
	pool, e := newTestPool(), newTestEndpoint(p.addr())
	if got := pool.do(t.Context(), newTestCall(e)); got.outcome != choice.Success {
		t.Fatalf("got %+v", got)
	}
	if got := pool.do(t.Context(), newTestCall(e)); got.outcome != choice.ConnectionBroken {
		t.Errorf("got %+v", got)
	}
	if calls, conns := p.counts(); calls != 2 || conns != 1 {
		t.Errorf("%d calls on %d connections", calls, conns)
	}
}

// A request on a connection that the endpoint has closed would be answered by a reset.
func TestClosedIdleConnectionIsDropped(t *testing.T) {
	p := newFakeEndpoint(t, func(nc net.Conn, _ *http.Request) bool {
		io.WriteString(nc, okResponse)
		return false
	})
	pool, e := newTestPool(), newTestEndpoint(p.addr())
	for range 3 {
		if got := pool.do(t.Context(), newTestCall(e)); got.outcome != choice.Success {
			t.Fatalf("got %+v", got)
		}
		eventually(t, "the closed connection is dropped", func() bool {
			return idleConns(pool) == 0
		})
	}
}

func TestIdleConnectionIsDroppedInTime(t *testing.T) {
	p := newFakeEndpoint(t, respondWith(okResponse))
	pool, e := newPool(time.Second, 20*time.Millisecond, 16), newTestEndpoint(p.addr())
	pool.do(t.Context(), newTestCall(e))
	eventually(t, "the idle connection is dropped", func() bool {
		return idleConns(pool) == 0
	})
}

func TestCloseIdleConnections(t *testing.T) {
	p := newFakeEndpoint(t, respondWith(okResponse))
	pool, e := newTestPool(), newTestEndpoint(p.addr())
	pool.do(t.Context(), newTestCall(e))
	pool.closeIdle(e.id, 0)
	pool.do(t.Context(), newTestCall(e))
	if calls, conns := p.counts(); calls != 2 || conns != 2 {
		t.Errorf("%d calls on %d connections", calls, conns)
	}
	pool.closeIdle(e.id, 1)
	if idleConns(pool) != 1 {
		t.Errorf("%d of one are kept", idleConns(pool))
	}
	pool.close()
	if idleConns(pool) != 0 {
		t.Error("connections are kept after close")
	}
}

// After a reused connection broke, a call asks for a new connection. It must replace the idle one, which
// takes a place in the endpoint's connection table.
func TestNewConnectionReplacesIdleOne(t *testing.T) {
	p := newFakeEndpoint(t, respondWith(okResponse))
	pool, c := newTestPool(), newTestCall(newTestEndpoint(p.addr()))
	for i, step := range []struct{ newConn, reused bool }{{false, false}, {false, true}, {true, false}} {
		c.newConn = step.newConn
		if got := pool.do(t.Context(), c); got.outcome != choice.Success || got.reusedConn != step.reused || idleConns(pool) != 1 {
			t.Errorf("call %d: got %+v, %d kept", i, got, idleConns(pool))
		}
	}
	if calls, conns := p.counts(); calls != 3 || conns != 2 {
		t.Errorf("%d calls on %d connections", calls, conns)
	}
}

// Bytes that follow an answer would be taken for the answer to the next request.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	p := newFakeEndpoint(t, respondWith(okResponse+"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"))
	pool, e := newTestPool(), newTestEndpoint(p.addr())
	for range 3 {
		if got := pool.do(t.Context(), newTestCall(e)); got.outcome != choice.Success {
			t.Errorf("got %+v", got)
		}
	}
}

// Between the decision to make a call and its first byte there may be a dial. A drain or a wait that comes in
// that time must stop the call.
func TestNoCallToClosedEndpoint(t *testing.T) {
	p := newFakeEndpoint(t, respondWith(okResponse))
	drained, waiting := newTestEndpoint(p.addr()), newTestEndpoint(p.addr())
	drained.closed.Store(true)
	waiting.wait.extend(time.Now().Add(time.Hour))
	for _, e := range []*endpoint{drained, waiting} {
		if got := newTestPool().do(t.Context(), newTestCall(e)); got.outcome != choice.Stale {
			t.Errorf("got %+v", got)
		}
	}
	if calls, _ := p.counts(); calls != 0 {
		t.Errorf("%d calls", calls)
	}
}

// A dial may succeed only after its network path was down for some time. A repeat must not be sent on that
// connection if the time in which it may begin (startBy) has passed.
func TestNoCallAfterStartBy(t *testing.T) {
	p := newFakeEndpoint(t, respondWith(okResponse))
	pool, c := newTestPool(), newTestCall(newTestEndpoint(p.addr()))
	c.startBy = time.Now().Add(50 * time.Millisecond)
	dial := pool.dialer
	pool.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		<-ctx.Done() // ends at startBy, or else at the call's deadline
		return dial(context.WithoutCancel(ctx), network, addr)
	}
	if got := pool.do(t.Context(), c); got.outcome != choice.Stale {
		t.Errorf("got %+v", got)
	}
	if calls, _ := p.counts(); calls != 0 {
		t.Errorf("%d calls", calls)
	}
}

// A broken answer proves only that the endpoint got the call, and it must not hold the slot until the
// deadline. A first line with status 200 counts whatever follows it.
func TestBrokenAnswers(t *testing.T) {
	for _, code := range []string{"200", "429", "503", "504", "410", "500"} {
		for _, c := range []struct{ name, rest string }{
			{"a head that does not end", "X-A: b\r\n"},
			{"an endless head", "X-A: " + strings.Repeat("b", 2*(maxAnswerHead+maxAnswerBody))},
			{"a head of noise", "\x00\xff\x13 no head\r\n\r\n"},
			{"a body shorter than its length", "Content-Length: 100\r\n\r\nshort"},
			{"3 GB", "Content-Length: 3221225472\r\n\r\n" + strings.Repeat("x", 2*(maxAnswerHead+maxAnswerBody))},
			{"no length that can be read", "Content-Length: -4\r\n\r\n"},
			{"two lengths", "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx"},
			{"a broken chunk", "Transfer-Encoding: chunked\r\n\r\nzz\r\n"},
		} {
			t.Run(code+" "+c.name, func(t *testing.T) {
				t.Parallel()
				p := newFakeEndpoint(t, func(nc net.Conn, _ *http.Request) bool {
					io.WriteString(nc, "HTTP/1.1 "+code+" So\r\n"+loadHeader+": x0=0,x1=0\r\nRetry-After: 9\r\n"+c.rest)
					io.Copy(io.Discard, nc) // keeps the connection open
					return false
				})
				pool := newTestPool()
				got := pool.do(t.Context(), newTestCall(newTestEndpoint(p.addr())))
				got.firstLineAt = time.Time{}
				want := callResult{outcome: choice.ConnectionBroken}
				if code == "200" {
					want = callResult{outcome: choice.Success, final: true}
				}
				if !reflect.DeepEqual(got, want) || idleConns(pool) != 0 {
					t.Errorf("got %+v, want %+v; %d kept", got, want, idleConns(pool))
				}
			})
		}
	}
}

func TestStatusCode(t *testing.T) {
	for line, want := range map[string]int{
		"HTTP/1.1 200 OK": 200, "HTTP/1.0 503": 503, "HTTP/1.1 200 \xff\x00": 200, "HTTP/1.1 099 X": 0, "HTTP/1.1 +20 X": 0,
		"HTTP/1.1 2000 OK": 0, "HTTP/2.0 200 OK": 0, "HTTP/1.1  200 OK": 0, " HTTP/1.1 200 OK": 0, "200": 0, "": 0,
	} {
		if got, err := statusCode(line); got != want || (err == nil) != (want > 0) {
			t.Errorf("%q: got %d, %v", line, got, err)
		}
	}
}

// Package choice trusts a reported limit, and takes 0 for no limit. So a report with any invalid part is
// dropped.
func TestLoadReports(t *testing.T) {
	good := choice.Report{Left: 0.4, Limit: 25, HasLeft: true, HasLimit: true}
	for text, want := range map[string]choice.Report{
		"x0=0.4,x1=25": good, " x1=25 , x0=0.4": good, "x1=25": {Limit: 25, HasLimit: true}, "x0=0,x1=0": {HasLeft: true, HasLimit: true},
		"x0=0.4,x1=Inf": {}, "x0=0.4,x1=-3": {}, "x0=0.4,x1=1e300": {}, "x0=0x1p-2,x1=25": {}, "x0=0.4,x1=25,x2=1": {}, "x0=0.4,x1=": {},
		"x0=0.4,x1=25,x1=26": {}, "x0=7,x1=25": {}, "x0=0.4;x1=25": {}, "": {}, "x0=0.4,x1=99999999999": {}, "x0=NaN": {}, "x0=.": {},
	} {
		if got := loadReport([]string{text}); got != want {
			t.Errorf("%q: got %+v", text, got)
		}
	}
	if got := loadReport([]string{"x0=0.4,x1=25", "x0=0.4,x1=0"}); got != (choice.Report{}) {
		t.Errorf("two reports: got %+v", got)
	}
}

// A call may end after its endpoint was closed. A connection that is kept then would never be used or closed.
func TestNoIdleConnectionToClosedEndpoint(t *testing.T) {
	e := newTestEndpoint("")
	p := newFakeEndpoint(t, func(nc net.Conn, _ *http.Request) bool {
		e.closed.Store(true)
		io.WriteString(nc, okResponse)
		return true
	})
	e.addr = p.addr()
	pool := newTestPool()
	if got := pool.do(t.Context(), newTestCall(e)); got.outcome != choice.Success || idleConns(pool) != 0 {
		t.Errorf("got %+v, %d kept", got, idleConns(pool))
	}
}

// Whatever an endpoint writes, reading the answer ends, and a message counts as delivered only by a status of
// 200.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{okResponse, "HTTP/1.1 100 Go on\r\n\r\n" + okResponse, "HTTP/1.1 429 No\r\nRetry-After: 0.7\r\n\r\n", "\x00"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		local, remote := net.Pipe()
		defer local.Close()
		go func() {
			remote.Write(text)
			remote.Close()
		}()
		k := newConn(local, "")
		res, reuse, err := k.readAnswer(nil)
		if err != nil && (!reflect.DeepEqual(res, callResult{}) || reuse) {
			t.Errorf("%v with %+v, %v", err, res, reuse)
		}
		if err == nil && res.outcome == choice.Success && !strings.Contains(string(text), " 200") {
			t.Errorf("delivered by %q", text)
		}
	})
}

// Several messages are sent as one batch, and each gets its own result from the answer. An answer that is
// invalid in any part proves nothing about any of them.
func TestBatch(t *testing.T) {
	delivered, broken := itemResult{outcome: choice.Success, final: true}, itemResult{outcome: choice.ConnectionBroken}
	for _, c := range []struct {
		name, head, body string
		want             [3]itemResult
		retryAfter       time.Duration
	}{
		{"each its own", "200 OK", `[{"id":"c","state":"deferred"},{"id":"a","state":"accepted"},{"id":"b","state":"fault"}]`,
			[3]itemResult{delivered, {outcome: choice.ServerError}, {outcome: choice.Rejected}}, 0},
		{"not sent", "200 OK", `[{"id":"a","state":"expired"},{"id":"b","state":"no_more"},{"id":"c","state":"accepted"}]`,
			[3]itemResult{{outcome: choice.Stale, final: true}, {outcome: choice.Stale}, delivered}, 0},
		{"with a wait", "200 OK\r\nRetry-After: 0.5", `[{"id":"a","state":"accepted"},{"id":"b","state":"accepted"},{"id":"c","state":"deferred"}]`,
			[3]itemResult{delivered, delivered, {outcome: choice.Rejected}}, 500 * time.Millisecond},
		{"left out and unknown", "200 OK", `[{"id":"a","state":"accepted"},{"id":"b","state":"odd"},{"id":"x","state":"accepted"}]`,
			[3]itemResult{delivered, {outcome: choice.ServerError}, {outcome: choice.ServerError}}, 0},
		{"named twice", "200 OK", `[{"id":"a","state":"accepted"},{"id":"a","state":"deferred"}]`, [3]itemResult{broken, broken, broken}, 0},
		{"no JSON", "200 OK", `ok`, [3]itemResult{broken, broken, broken}, 0},
		{"all alike", "429 No\r\nRetry-After: 2", ``,
			[3]itemResult{{outcome: choice.Rejected}, {outcome: choice.Rejected}, {outcome: choice.Rejected}}, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			bodies := make(chan string, 1)
			p := newFakeEndpoint(t, nil)
			p.serve = func(nc net.Conn, req *http.Request) bool {
				_, err := io.WriteString(nc, "HTTP/1.1 "+c.head+"\r\nContent-Length: "+strconv.Itoa(len(c.body))+"\r\n\r\n"+c.body)
				return err == nil
			}
			p.read = func(body []byte) { bodies <- string(body) }
			tested := newTestCall(newTestEndpoint(p.addr()))
			tested.items = []item{{"a", "k", []byte("hello")}, {"b", "", []byte{}}, {"c", "", []byte{0, 0xff}}}
			got := newTestPool().do(t.Context(), tested)
			for i, want := range c.want {
				if got.forItem(i) != want {
					t.Errorf("%d: got %+v, want %+v", i, got.forItem(i), want)
				}
			}
			if got.retryAfter != c.retryAfter {
				t.Errorf("got a wait of %v", got.retryAfter)
			}
			if path := p.nextRequest(t).URL.Path; path != "/v1/messages:batch" {
				t.Errorf("got %q", path)
			}
			const want = `[{"id":"a","key":"k","body":"aGVsbG8="},{"id":"b","body":""},{"id":"c","body":"AP8="}]`
			if body := <-bodies; body != want {
				t.Errorf("got %s", body)
			}
		})
	}
}

// Once a message of a call has ended, the final states in the answer are ambiguous. The other states still
// prove that the message was not processed.
func TestAnswerAfterAMessageIsOver(t *testing.T) {
	const body = `[{"id":"a","state":"accepted"},{"id":"b","state":"expired"},{"id":"c","state":"deferred"}]`
	answered := newFakeEndpoint(t, func(nc net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
		return err == nil
	})
	for _, c := range []struct {
		name     string
		resultIn time.Duration
		want     [3]itemResult
	}{
		{"in time", time.Hour, [3]itemResult{{outcome: choice.Success, final: true}, {outcome: choice.Stale, final: true}, {outcome: choice.Rejected}}},
		{"late", 0, [3]itemResult{{outcome: choice.Success, ambiguous: true}, {outcome: choice.Stale, ambiguous: true}, {outcome: choice.Rejected}}},
	} {
		tested := newTestCall(newTestEndpoint(answered.addr()))
		tested.items, tested.resultBy = []item{{ID: "a"}, {ID: "b"}, {ID: "c"}}, time.Now().Add(c.resultIn)
		got := newTestPool().do(t.Context(), tested)
		for i, want := range c.want {
			if got.forItem(i) != want {
				t.Errorf("%s, %d: got %+v, want %+v", c.name, i, got.forItem(i), want)
			}
		}
		sent := (&Node{}).takeOutcome(callEnd{endpoint: tested.endpoint, callResult: got}).PerItem[0] // as a predecessor tells it to a successor, which may be an older build
		if sent.Final == sent.Ambiguous || sent.Ambiguous != (sent.Outcome == choice.TimedOut) {
			t.Errorf("%s: the successor is told %+v", c.name, sent)
		}
		tested.items = tested.items[:1]
		if got := newTestPool().do(t.Context(), tested).forItem(0); got != c.want[0] {
			t.Errorf("%s, alone: got %+v, want %+v", c.name, got, c.want[0])
		}
	}
}

// pausedConn is a connection whose first read blocks until a deadline is set or it is closed, and then until
// the answer has arrived, as if the process had been stopped meanwhile.
type pausedConn struct {
	*net.TCPConn
	arrived   <-chan struct{} // closed when the answer has arrived
	readAgain atomic.Bool
	wake      chan struct{}
	once      sync.Once
}

func (s *pausedConn) Read(p []byte) (int, error) {
	if s.readAgain.Swap(true) {
		return s.TCPConn.Read(p)
	}
	<-s.wake
	<-s.arrived
	return 0, os.ErrDeadlineExceeded
}

func (s *pausedConn) SetDeadline(t time.Time) error {
	defer s.once.Do(func() { close(s.wake) })
	return s.TCPConn.SetDeadline(t)
}

func (s *pausedConn) Close() error {
	defer s.once.Do(func() { close(s.wake) })
	return s.TCPConn.Close()
}

// An answer that has arrived and was not read yet is read before a call is abandoned, whether its deadline
// passed while the process was stopped or package choice canceled it.
func TestUnreadAnswerIsReadBeforeAbandoning(t *testing.T) {
	t.Run("time up", func(t *testing.T) { testUnreadAnswer(t, false) })
	t.Run("canceled", func(t *testing.T) { testUnreadAnswer(t, true) })
}

func testUnreadAnswer(t *testing.T, canceled bool) {
	arrived := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	partner := newFakeEndpoint(t, respondWith(okResponse))
	p := newTestPool()
	dial := p.dialer
	p.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		go func() { // ends when the first byte of the answer has arrived or the connection is closed
			defer close(arrived)
			raw, err := nc.(*net.TCPConn).SyscallConn()
			if err != nil {
				return
			}
			raw.Read(func(fd uintptr) bool {
				n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
				return n > 0 || err != syscall.EAGAIN
			})
		}()
		return &pausedConn{TCPConn: nc.(*net.TCPConn), arrived: arrived, wake: make(chan struct{})}, nil
	}
	c := newTestCall(newTestEndpoint(partner.addr()))
	if canceled {
		go func() { // cancels the call once the answer has arrived
			<-arrived
			cancel()
		}()
	} else {
		c.deadline = time.Now().Add(200 * time.Millisecond)
	}
	if got := p.do(ctx, c); got.outcome != choice.Success {
		t.Errorf("got %+v", got)
	}
}

// If a connection comes up after its call was abandoned, nothing is written to it.
func TestConnectionAfterDeadlineIsNotUsed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	got := make(chan int, 1)
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		n, _ := io.Copy(io.Discard, nc)
		got <- int(n)
	}()
	e := newTestEndpoint(ln.Addr().String())
	p := newPool(time.Second, time.Second, 4)
	p.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		<-ctx.Done()
		return net.Dial(network, addr)
	}
	res := p.do(t.Context(), call{items: []item{{ID: "a"}}, endpoint: e, deadline: time.Now().Add(20 * time.Millisecond)})
	p.close()
	if n := <-got; n > 0 || res.outcome != choice.Stale {
		t.Errorf("%d bytes were written, outcome %v", n, res.outcome)
	}
}
