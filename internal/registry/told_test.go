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
)

// knownWithin is the time within which a node must know a change, from when the service had it and was
// reachable.
const toldBy = 6 * time.Second

// service is a list service in memory whose first responses can be made to fail.
type service struct {
	began time.Time

	mu    sync.Mutex
	rev   int64
	asks  int
	conns chan net.Conn
	dial  func(ask int, c net.Conn) (net.Conn, error)
}

// response handles one request; it may write to w, wait, and return.
type answer func(s *service, w http.ResponseWriter, req *http.Request)

// Accept, Close and Addr implement net.Listener over pipes.
func (s *service) Accept() (net.Conn, error) {
	c, ok := <-s.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (s *service) Close() error   { return nil }
func (s *service) Addr() net.Addr { return &net.TCPAddr{} }

func (s *service) change() {
	s.mu.Lock()
	s.rev++
	s.mu.Unlock()
}

// line returns the current list.
func (s *service) line() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[]}`, s.rev)
}

func say(w http.ResponseWriter, text string) {
	io.WriteString(w, text)
	w.(http.Flusher).Flush()
}

// serveWatch sends the list, each change at once, and an empty line every 2 s.
func stay(s *service, w http.ResponseWriter, req *http.Request) {
	last := ""
	for beat := 0; ; beat++ {
		if now := s.line(); now != last {
			last = now
			say(w, now+"\n")
		} else if beat%20 == 0 {
			say(w, "\n")
		}
		if !Sleep(req.Context(), 100*time.Millisecond) {
			return
		}
	}
}

func refuse(_ *service, w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
}

// hang accepts the request and never responds.
func hang(_ *service, _ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }

// changeThen sends the list, makes a change that this watch does not send, and continues with rest.
func changeThen(rest answer) answer {
	return func(s *service, w http.ResponseWriter, req *http.Request) {
		say(w, s.line()+"\n")
		s.change()
		s.mu.Lock()
		s.began = time.Now()
		s.mu.Unlock()
		rest(s, w, req)
	}
}

func cut(_ *service, w http.ResponseWriter, _ *http.Request) {
	panic(http.ErrAbortHandler)
}

// cutWithinList sends part of a list and closes the connection.
func inPart(s *service, w http.ResponseWriter, _ *http.Request) {
	say(w, s.line()[:20])
	panic(http.ErrAbortHandler)
}

// trickle sends a list byte by byte, without end.
func trickle(s *service, w http.ResponseWriter, req *http.Request) {
	say(w, `{"revision":9,"complete":true,"members":[`)
	for Sleep(req.Context(), 100*time.Millisecond) {
		say(w, "\n")
	}
}

// Whichever requests fail, and however many nodes there are, a change must be known within 6 s of when the
// service had it and was reachable. The time counts from the change, or from the last request that fails.
func TestChangeIsKnownInTime(t *testing.T) {
	for _, c := range []struct {
		name    string
		asks    []answer // to the first requests; all later ones are served
		blocked int      // requests whose connection is never established, from the second on
		reached int      // the service is reachable from this request on, though the request itself fails; 0: always
	}{
		{name: "silent right after a change", asks: []answer{changeThen(hang)}},
		{name: "cut", asks: []answer{changeThen(cut)}},
		{name: "cut, then refused", asks: []answer{changeThen(cut), refuse}},
		{name: "silent, then refused", asks: []answer{changeThen(hang), refuse}},
		{name: "silent, then no response headers", asks: []answer{changeThen(hang), hang}},
		{name: "silent, then a hanging connection", asks: []answer{changeThen(hang)}, blocked: 1},
		{name: "incomplete list", asks: []answer{changeThen(inPart)}},
		{name: "incomplete list, twice", asks: []answer{changeThen(inPart), inPart}},
		{name: "list that arrives slowly", asks: []answer{changeThen(trickle)}},
		{name: "refused for a long time", asks: []answer{changeThen(cut), refuse, refuse, refuse, refuse, refuse}, reached: 6},
		{name: "no response headers for a long time", asks: []answer{changeThen(cut), hang, hang, hang, hang, hang}, reached: 6},
		{name: "hanging connections for a long time", asks: []answer{changeThen(cut)}, blocked: 6, reached: 7},
	} {
		for _, nodes := range []int{1, 30, 300, 3000} {
			t.Run(fmt.Sprint(c.name, "/", nodes), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { known(t, nodes, c.asks, c.blocked, c.reached) })
			})
		}
	}
}

// checkChangeKnown watches a service that fails as described, and checks when its change is known.
func known(t *testing.T, nodes int, asks []answer, blocked, reached int) {
	s := &service{rev: 1, conns: make(chan net.Conn), began: time.Now()}
	failed := func(ask int) { // or is about to fail
		if ask == reached && reached > 0 {
			s.mu.Lock()
			s.began = time.Now()
			s.mu.Unlock()
		}
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		s.mu.Lock()
		i := s.asks
		s.asks++
		s.mu.Unlock()
		if i >= len(asks) {
			stay(s, w, req)
			return
		}
		failed(i + 1)
		asks[i](s, w, req)
	}), ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	var parts sync.WaitGroup
	parts.Go(func() { srv.Serve(s) })
	var dialed atomic.Int64
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		if dials := int(dialed.Add(1)); dials > 1 && dials <= 1+blocked {
			failed(dials)
			<-ctx.Done()
			return nil, ctx.Err()
		}
		ours, theirs := net.Pipe()
		select {
		case s.conns <- theirs:
			return ours, nil
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
		if late := time.Since(s.began); late > toldBy-250*time.Millisecond {
			t.Errorf("known after %v, at request %d", late, s.asks)
		}
		cancel()
		return nil
	})
	close(s.conns) // ends Accept
	srv.Close()
	transport.CloseIdleConnections()
	parts.Wait()
}

// A list may span several lines, and arrive in one read with others; empty lines between lists are
// heartbeats.
func TestListsOnSeveralLines(t *testing.T) {
	t.Parallel()
	body := "\n{\n  \"revision\": 2,\n  \"complete\": true,\n  \"members\": [\n\n  ]\n}\n\n" + `{"revision":3,"members":[]}` + "\n" + `{"revision":4,"members":[]}` + "\n\n"
	for _, size := range []int{1, 7, 4096} {
		rt := roundTrip(func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: 200, Body: io.NopCloser(pieces{strings.NewReader(body), size})}, nil
		})
		beats := 0
		w := Watcher{Client: &http.Client{Transport: rt}, Log: slog.New(slog.DiscardHandler), OnLine: func() { beats++ }}
		var got []int64
		err := w.once(t.Context(), "a:1", 0, 0, func(n Update) error {
			got = append(got, n.Revision)
			return nil
		})
		if !errors.Is(err, io.EOF) || !slices.Equal(got, []int64{2, 3, 4}) || beats < 3 {
			t.Errorf("reads of %d bytes: %v, revisions %v, %d heartbeats", size, err, got, beats)
		}
	}
}

// chunkReader limits the size of each read.
type pieces struct {
	io.Reader
	size int
}

func (p pieces) Read(b []byte) (int, error) { return p.Reader.Read(b[:min(len(b), p.size)]) }
