package registry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"starlingusher/fleet/catalog"
)

func newWatcher(servers ...*httptest.Server) *Watcher {
	w := &Watcher{FleetSize: 1, Client: http.DefaultClient, Log: slog.New(slog.DiscardHandler), Cursor: NewCursor(Position{})}
	for _, s := range servers {
		w.Addresses = append(w.Addresses, s.Listener.Addr().String())
	}
	return w
}

// Many nodes that are refused together must spread their retries: a few requests a second in total, as far as
// the 6 s within which a change must be known allow. Nodes of a small fleet retry soon.
func TestRefusedNodesSpreadRetries(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{2, 36, 300} {
		const span = 30 * time.Second
		requests, shortest, longest := 0, span, time.Duration(0)
		for range nodes {
			p := retryPolicy{fleetSize: nodes}
			for at := time.Duration(0); at < span; requests++ {
				wait := p.pauseAfter(ErrRefused, true)
				if p.refusals == 1 && wait > maxFirstRefusalPause {
					t.Errorf("with %d nodes, a node waits %v after one refusal", nodes, wait)
				}
				shortest, longest = min(shortest, wait), max(longest, wait)
				at += wait
			}
		}
		// Each node may ask once per half of the longest pause, whatever the fleet size, and once more when
		// it starts.
		if most := max(int(span/fleetRequestInterval)*4/3, nodes*(2+int(span/(maxRefusalPause/2)))); requests > most {
			t.Errorf("%d nodes send %d requests in %v", nodes, requests, span)
		}
		if first := min(time.Duration(nodes)*fleetRequestInterval, maxFirstRefusalPause); shortest < first/2 || longest > maxRefusalPause {
			t.Errorf("with %d nodes, pauses are %v to %v", nodes, shortest, longest)
		}
	}
}

// Nodes whose watches are cut or time out together must not retry in step.
func TestCutWatchesSpreadRetries(t *testing.T) {
	t.Parallel()
	for err, span := range map[error]time.Duration{io.EOF: maxPauseAfterCut, errSilent: maxPauseAfterTimeout} {
		early, late := 0, 0
		for range 300 {
			p := retryPolicy{fleetSize: 300}
			switch wait := p.pauseAfter(err, true); {
			case wait >= span:
				t.Errorf("%v: the pause is %v", err, wait)
			case wait < span/2:
				early++
			default:
				late++
			}
		}
		if early < 100 || late < 100 {
			t.Errorf("%v: %d nodes in the first half of the span, %d in the other", err, early, late)
		}
	}
}

func TestRefusalIsReported(t *testing.T) {
	t.Parallel()
	for code, refused := range map[int]bool{503: true, 429: true, 500: false, 404: false} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }))
		w := Watcher{Client: srv.Client()}
		err := w.watchOnce(t.Context(), srv.Listener.Addr().String(), 0, 0, nil)
		if err == nil || errors.Is(err, ErrRefused) != refused {
			t.Errorf("%d: %v", code, err)
		}
		srv.Close()
	}
}

// A watch may die without any sign on its connection. Changes must reach the node all the same, so the
// silence itself ends the watch; 8 s is twice the time allowed.
func TestSilentWatchIsRetried(t *testing.T) {
	t.Parallel()
	began, watches := time.Now(), make(chan time.Duration, 10)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		watches <- time.Since(began)
		w.(http.Flusher).Flush()
		<-req.Context().Done()
	}))
	t.Cleanup(srv.Close)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var ended sync.WaitGroup
	ended.Go(func() {
		newWatcher(srv).Watch(ctx, func(Update) error { return nil })
	})
	<-watches
	if retried := <-watches; retried > 8*time.Second {
		t.Errorf("the silent watch was retried after %v", retried)
	}
	cancel()
	ended.Wait()
}

// A server must not take a caller back to an older revision than another server has sent, in any order. A
// newer history is accepted, as such.
func TestCursorNeverGoesBack(t *testing.T) {
	now := time.Now()
	update := func(from string, history, revision int64, whole bool) Update {
		return Update{List: catalog.List{Revision: revision, Complete: whole}, History: history, Server: from}
	}
	for _, c := range []struct {
		name     string
		at       Position
		news     Update
		delay    time.Duration // since the change of servers
		accepted bool
	}{
		{"newer", Position{7, 5, "a"}, update("b", 7, 6, false), 0, true},
		{"the same", Position{7, 5, "a"}, update("b", 7, 5, false), 0, true},
		{"older", Position{7, 5, "a"}, update("b", 7, 4, true), time.Hour, false},
		{"restored", Position{7, 5, "a"}, update("b", 8, 2, true), 0, true},
		{"restored, without the complete list", Position{7, 5, "a"}, update("b", 8, 6, false), 0, false},
		{"from before the restore", Position{8, 2, "a"}, update("b", 7, 9, true), time.Hour, false},
		{"older from the platform, too soon", Position{0, 5, "a"}, update("b", 0, 4, true), time.Second, false},
		{"older from the platform, after a while", Position{0, 5, "a"}, update("b", 0, 4, true), 3 * time.Second, true},
		{"directory after the platform, too soon", Position{0, 5, "a"}, update("b", 9, 4, true), time.Second, false},
		{"directory after the platform", Position{0, 5, "a"}, update("b", 9, 4, true), 3 * time.Second, true},
	} {
		tr := NewCursor(c.at)
		tr.ServerChanged(now)
		err := tr.Advance(c.news, now.Add(c.delay))
		if (err == nil) != c.accepted || err != nil && !errors.Is(err, ErrStale) {
			t.Errorf("%s: %v", c.name, err)
		}
		if want := c.at; !c.accepted && tr.Position() != want {
			t.Errorf("%s: the cursor moved to %v", c.name, tr.Position())
		}
	}
}

// With a dead server, one that refuses and one that lags, the list must still arrive from the fourth, and
// updates must continue when that one dies too.
func TestWatchSurvivesServerFailures(t *testing.T) {
	t.Parallel()
	newServer := func(code int, history string, lines ...string) *httptest.Server {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			w.Header().Set("Registry-History", history)
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(code)
			for _, l := range lines {
				fmt.Fprintln(w, l)
			}
			w.(http.Flusher).Flush()
			if code == http.StatusOK {
				<-req.Context().Done()
			}
		}))
		t.Cleanup(srv.Close)
		return srv
	}
	dead := newServer(500, "")
	dead.Close()
	good := newServer(200, "3", `{"revision":8,"complete":true,"members":[]}`)
	var lastQuery atomic.Value
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		lastQuery.Store(req.URL.RawQuery)
		w.Header().Set("Registry-History", "3")
		if !strings.Contains(req.URL.RawQuery, "after=8") {
			w.WriteHeader(503)
			return
		}
		fmt.Fprintln(w, `{"revision":9,"complete":false,"members":[]}`)
		w.(http.Flusher).Flush()
		<-req.Context().Done()
	}))
	t.Cleanup(next.Close)
	w := newWatcher(dead, newServer(503, "3"), newServer(200, "3", `{"revision":7,"complete":true,"members":[]}`), good, next)
	w.Cursor = NewCursor(Position{3, 8, "elsewhere"})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var last int64
	w.Watch(ctx, func(n Update) error {
		if n.Revision < 8 || n.Revision < last {
			t.Errorf("received revision %d after %d", n.Revision, last)
		}
		if last = n.Revision; last == 8 {
			go good.CloseClientConnections()
		}
		if last == 9 {
			cancel()
		}
		return nil
	})
	if last != 9 {
		t.Errorf("reached revision %d, last request to the last server: %v", last, lastQuery.Load())
	}
}

// A watch must reach the only live server, wherever it starts.
func TestWatchFindsOnlyLiveServer(t *testing.T) {
	t.Parallel()
	good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		fmt.Fprintln(w, `{"revision":1,"complete":true,"members":[]}`)
		w.(http.Flusher).Flush()
		<-req.Context().Done()
	}))
	t.Cleanup(good.Close)
	dead := httptest.NewServer(http.NotFoundHandler())
	dead.Close()
	for n := 2; n <= 3; n++ {
		for left := range n {
			for range 12 { // the first address is random
				servers := []*httptest.Server{dead, dead, dead}[:n]
				servers[left] = good
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				received := false
				newWatcher(servers...).Watch(ctx, func(Update) error {
					received = true
					cancel()
					return nil
				})
				if !received {
					t.Fatalf("the list of server %d of %d was never received", left, n)
				}
			}
		}
	}
}

// A position from another service delays a list only briefly, however many servers are tried meanwhile.
func TestTryingServersDoesNotDelayList(t *testing.T) {
	t.Parallel()
	tr, now := NewCursor(Position{Revision: 8, Server: "platform"}), time.Now()
	update := Update{List: catalog.List{Revision: 1, Complete: true}, History: 5, Server: "a"}
	for range 25 {
		tr.tryNextServer(now)
		if tr.Advance(update, now) == nil {
			return
		}
		now = now.Add(100 * time.Millisecond)
	}
	t.Errorf("after 2.5 s the list is still rejected as stale")
}

func TestListCacheReload(t *testing.T) {
	dir := t.TempDir()
	k, err := OpenListCache(dir, 4096)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, _, ok := k.List(); ok {
		t.Error("an empty folder has a cached list")
	}
	at := time.Now().Truncate(time.Second)
	endpoint := func(id, phase string) catalog.Endpoint {
		return catalog.Endpoint{ID: id, Addr: "h:1", Phase: phase, Size: 1}
	}
	k.Apply(Update{List: catalog.List{Revision: 4, Complete: true, Members: []catalog.Endpoint{endpoint("a", catalog.Serving), endpoint("b", catalog.Serving)}}, History: 2, Server: "x"}, at)
	k.Apply(Update{List: catalog.List{Revision: 5, Members: []catalog.Endpoint{endpoint("a", catalog.Deleted), endpoint("b", catalog.Draining)}}, History: 2, Server: "x"}, at)
	if err := k.Flush(); err != nil {
		t.Fatal(err)
	}
	reopened, err := OpenListCache(dir, 4096)
	if err != nil {
		t.Fatal(err)
	}
	l, pos, confirmedAt, ok := reopened.List()
	if !ok || pos != (Position{2, 5, "x"}) || !confirmedAt.Equal(at) || len(l.Members) != 1 || l.Members[0] != endpoint("b", catalog.Draining) {
		t.Errorf("reopened: %+v, %+v, %v, %v", l, pos, confirmedAt, ok)
	}
	// A list that is too large, or cannot be written, leaves the older file in place.
	for i := range 100 {
		reopened.Apply(Update{List: catalog.List{Revision: 6, Members: []catalog.Endpoint{endpoint(fmt.Sprint("c", i), catalog.Serving)}}, History: 2}, at)
	}
	if err := reopened.Flush(); err == nil {
		t.Error("a list beyond the size limit was written")
	}
	if again, _ := OpenListCache(dir, 4096); again.position.Revision != 5 {
		t.Errorf("the file has revision %d", again.position.Revision)
	}
	if err := os.WriteFile(reopened.path, []byte(`{"heard_at":"2026`), 0o600); err != nil {
		t.Fatal(err)
	}
	if damaged, err := OpenListCache(dir, 4096); err == nil || len(damaged.members) > 0 {
		t.Error("a damaged file was accepted as a list, or not reported")
	}
}

// Whatever a server sends, a watch must end with an error and accept nothing that is not a valid list.
func FuzzWatch(f *testing.F) {
	for _, s := range []string{"", "\n\n", "{}", `{"revision":-1,"members":null}`, `{"revision":9e99}`, "[", `{"revision":3,"members":[{"id":1}]}`} {
		f.Add("1", []byte(s))
	}
	f.Fuzz(func(t *testing.T, history string, body []byte) {
		rt := roundTripFunc(func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: 200, Header: http.Header{"Registry-History": {history}}, Body: io.NopCloser(strings.NewReader(string(body)))}, nil
		})
		w := Watcher{Client: &http.Client{Transport: rt}, Log: slog.New(slog.DiscardHandler), Cursor: NewCursor(Position{1, 5, "a"})}
		before := w.Cursor.Position()
		err := w.watchOnce(t.Context(), "a:1", 1, 5, func(n Update) error {
			if err := w.Cursor.Advance(n, time.Now()); err != nil {
				return err
			}
			if at := w.Cursor.Position(); at.History < before.History || at.History == before.History && at.Revision < before.Revision {
				t.Errorf("the cursor went back from %v to %v", before, at)
			}
			before = w.Cursor.Position()
			return nil
		})
		if err == nil {
			t.Error("a watch ended without an error")
		}
	})
}

type roundTripFunc func(*http.Request) (*http.Response, error)

func (r roundTripFunc) RoundTrip(req *http.Request) (*http.Response, error) { return r(req) }
