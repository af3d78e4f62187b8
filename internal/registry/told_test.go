package registry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"starlingusher/internal/sysretry"
)

// knownWithin is the time within which a node must know a change, from when the service had it and was
// reachable.
const knownWithin = 6 * time.Second

// fakeService is a list service in memory whose first responses can be made to fail.
type fakeService struct {
	clockStart time.Time

	mu       sync.Mutex
	revision int64
	requests int
	conns    chan net.Conn
}

// response handles one request; it may write to w, wait, and return.
type response func(s *fakeService, w http.ResponseWriter, req *http.Request)

// Accept, Close and Addr implement net.Listener over pipes.
func (s *fakeService) Accept() (net.Conn, error) {
	c, ok := <-s.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (s *fakeService) Close() error   { return nil }
func (s *fakeService) Addr() net.Addr { return &net.TCPAddr{} }

func (s *fakeService) change() {
	s.mu.Lock()
	s.revision++
	s.mu.Unlock()
}

// line returns the current list.
func (s *fakeService) line() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[]}`, s.revision)
}

func writeFlush(w http.ResponseWriter, text string) {
	io.WriteString(w, text)
	w.(http.Flusher).Flush()
}

// serveWatch sends the list, each change at once, and an empty line every 2 s.
func serveWatch(s *fakeService, w http.ResponseWriter, req *http.Request) {
	sent := ""
	for tick := 0; ; tick++ {
		if current := s.line(); current != sent {
			sent = current
			writeFlush(w, current+"\n")
		} else if tick%20 == 0 {
			writeFlush(w, "\n")
		}
		if !sysretry.Sleep(req.Context(), 100*time.Millisecond) {
			return
		}
	}
}

func refuse(_ *fakeService, w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
}

// hang accepts the request and never responds.
func hang(_ *fakeService, _ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }

// changeThen sends the list, makes a change that this watch does not send, and continues with rest.
func changeThen(next response) response {
	return func(s *fakeService, w http.ResponseWriter, req *http.Request) {
		writeFlush(w, s.line()+"\n")
		s.change()
		s.mu.Lock()
		s.clockStart = time.Now()
		s.mu.Unlock()
		next(s, w, req)
	}
}

func abort(_ *fakeService, w http.ResponseWriter, _ *http.Request) {
	panic(http.ErrAbortHandler)
}

// cutWithinList sends part of a list and closes the connection.
func cutWithinList(s *fakeService, w http.ResponseWriter, _ *http.Request) {
	writeFlush(w, s.line()[:20])
	panic(http.ErrAbortHandler)
}

// trickle sends a list byte by byte, without end.
func trickle(s *fakeService, w http.ResponseWriter, req *http.Request) {
	writeFlush(w, `{"revision":9,"complete":true,"members":[`)
	for sysretry.Sleep(req.Context(), 100*time.Millisecond) {
		writeFlush(w, "\n")
	}
}

// Whichever requests fail, and however many nodes there are, a change must be known within 6 s of when the
// service had it and was reachable. The time counts from the change, or from the last request that fails.
func TestChangeIsKnownInTime(t *testing.T) {
	for _, c := range []struct {
		name          string
		responses     []response // to the first requests; all later ones are served
		blockedDials  int        // requests whose connection is never established, from the second on
		reachableFrom int        // the service is reachable from this request on, though the request itself fails; 0: always
	}{
		{name: "silent right after a change", responses: []response{changeThen(hang)}},
		{name: "cut", responses: []response{changeThen(abort)}},
		{name: "cut, then refused", responses: []response{changeThen(abort), refuse}},
		{name: "silent, then refused", responses: []response{changeThen(hang), refuse}},
		{name: "silent, then no response headers", responses: []response{changeThen(hang), hang}},
		{name: "silent, then a hanging connection", responses: []response{changeThen(hang)}, blockedDials: 1},
		{name: "incomplete list", responses: []response{changeThen(cutWithinList)}},
		{name: "incomplete list, twice", responses: []response{changeThen(cutWithinList), cutWithinList}},
		{name: "list that arrives slowly", responses: []response{changeThen(trickle)}},
		{name: "refused for a long time", responses: []response{changeThen(abort), refuse, refuse, refuse, refuse, refuse}, reachableFrom: 6},
		{name: "no response headers for a long time", responses: []response{changeThen(abort), hang, hang, hang, hang, hang}, reachableFrom: 6},
		{name: "hanging connections for a long time", responses: []response{changeThen(abort)}, blockedDials: 6, reachableFrom: 7},
	} {
		for _, nodes := range []int{1, 30, 300, 3000} {
			t.Run(fmt.Sprint(c.name, "/", nodes), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkChangeKnown(t, nodes, c.responses, c.blockedDials, c.reachableFrom) })
			})
		}
	}
}

// checkChangeKnown watches a service that fails as described, and checks when its change is known.
func checkChangeKnown(t *testing.T, nodes int, responses []response, blockedDials, reachableFrom int) {
	s := &fakeService{revision: 1, conns: make(chan net.Conn), clockStart: time.Now()}
	requestFails := func(request int) { // or is about to fail
		if request == reachableFrom && reachableFrom > 0 {
			s.mu.Lock()
			s.clockStart = time.Now()
			s.mu.Unlock()
		}
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		s.mu.Lock()
		i := s.requests
		s.requests++
		s.mu.Unlock()
		if i >= len(responses) {
			serveWatch(s, w, req)
			return
		}
		requestFails(i + 1)
		responses[i](s, w, req)
	}), ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	var goroutines sync.WaitGroup
	goroutines.Go(func() { srv.Serve(s) })
	var dialed atomic.Int64
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		if dials := int(dialed.Add(1)); dials > 1 && dials <= 1+blockedDials {
			requestFails(dials)
			<-ctx.Done()
			return nil, ctx.Err()
		}
		client, server := net.Pipe()
		select {
		case s.conns <- server:
			return client, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}}
	ctx, cancel := context.WithCancel(t.Context())
	w := &Watcher{Addresses: []string{"a:1"}, FleetSize: nodes, Client: &http.Client{Transport: transport}, Log: slog.New(slog.DiscardHandler), Cursor: NewCursor(Position{})}
	w.Watch(ctx, func(n Update) error {
		if n.Revision < 2 {
			return nil
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if delay := time.Since(s.clockStart); delay > knownWithin-250*time.Millisecond {
			t.Errorf("known after %v, at request %d", delay, s.requests)
		}
		cancel()
		return nil
	})
	close(s.conns) // ends Accept
	srv.Close()
	transport.CloseIdleConnections()
	goroutines.Wait()
}

// A list may span several lines, and arrive in one read with others; empty lines between lists are
// heartbeats.
func TestListsOnSeveralLines(t *testing.T) {
	t.Parallel()
	body := "\n{\n  \"revision\": 2,\n  \"complete\": true,\n  \"members\": [\n\n  ]\n}\n\n" + `{"revision":3,"members":[]}` + "\n" + `{"revision":4,"members":[]}` + "\n\n"
	for _, size := range []int{1, 7, 4096} {
		rt := roundTripFunc(func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: 200, Body: io.NopCloser(chunkReader{strings.NewReader(body), size})}, nil
		})
		heartbeats := 0
		w := Watcher{Client: &http.Client{Transport: rt}, Log: slog.New(slog.DiscardHandler), OnLine: func() { heartbeats++ }}
		var got []int64
		err := w.watchOnce(t.Context(), "a:1", 0, 0, func(n Update) error {
			got = append(got, n.Revision)
			return nil
		})
		if !errors.Is(err, io.EOF) || !slices.Equal(got, []int64{2, 3, 4}) || heartbeats < 3 {
			t.Errorf("reads of %d bytes: %v, revisions %v, %d heartbeats", size, err, got, heartbeats)
		}
	}
}

// chunkReader limits the size of each read.
type chunkReader struct {
	io.Reader
	size int
}

func (p chunkReader) Read(b []byte) (int, error) { return p.Reader.Read(b[:min(len(b), p.size)]) }
