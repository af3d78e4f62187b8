package node

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

func newTestPoster(hedgeDelay time.Duration, addrs ...string) *noticePoster {
	return &noticePoster{log: slog.New(slog.DiscardHandler), client: &http.Client{Transport: &http.Transport{}}, addrs: addrs, hedgeDelay: hedgeDelay}
}

// A backlog of notices is posted in bodies of at most 64 KiB, each notice once and in order. Unanswered ones
// are returned for the next address.
func TestNoticeBacklog(t *testing.T) {
	const total, answeredPosts = 2000, 3 // posts
	var bodies []string                  // written by the server, read after it has stopped
	refused := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if len(bodies) == answeredPosts {
			w.WriteHeader(http.StatusServiceUnavailable)
			select {
			case <-refused:
			default:
				close(refused)
			}
			return
		}
		bodies = append(bodies, string(body))
		w.WriteHeader(http.StatusNoContent)
	}))
	defer srv.Close()
	var owed []notice
	for i := range total {
		owed = append(owed, newNotice(&pendingMessage{id: strings.Repeat("i", 200) + itoa(i), final: &finalAnswer{retryAfter: time.Second}}))
	}
	more := make(chan []notice)
	ctx, cancel := context.WithCancel(t.Context())
	var reported sync.WaitGroup
	var done, returned []notice
	reported.Go(func() {
		poster := newTestPoster(testTimeout, srv.Listener.Addr().String())
		returned = poster.run(ctx, nil, more, func(n []notice) { done = append(done, n...) })
	})
	more <- owed
	<-refused
	cancel()
	reported.Wait()
	srv.Close()
	posted := 0
	for _, body := range bodies {
		if len(body) > maxNoticePostSize {
			t.Errorf("a body has %d bytes", len(body))
		}
		for lines := bufio.NewScanner(strings.NewReader(body)); lines.Scan(); posted++ {
			want := `{"id":"` + owed[posted].ID + `","state":"returned","after_ms":1000}`
			if lines.Text() != want {
				t.Fatalf("got %s, want %s", lines.Text(), want)
			}
		}
	}
	if len(done) != posted || posted == 0 || len(returned) != total-posted || returned[0].ID != owed[posted].ID {
		t.Errorf("%d posted, %d done, %d returned", posted, len(done), len(returned))
	}
}

// A notice is due soon after its message's end, so a replica that does not answer is not waited for while
// there is another.
func TestNoticeGoesToNextReplica(t *testing.T) {
	t.Parallel()
	hung := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		<-req.Context().Done()
	}))
	defer hung.Close()
	good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	defer good.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	began, accepted := time.Now(), 0
	poster := newTestPoster(noticeHedgeDelay, hung.Listener.Addr().String(), good.Listener.Addr().String())
	returned := poster.run(ctx, []notice{newNotice(&pendingMessage{id: "a", final: &finalAnswer{}})}, nil, func(n []notice) { accepted = len(n); cancel() })
	if took := time.Since(began); accepted != 1 || len(returned) != 0 || took >= noticePostTimeout {
		t.Errorf("%d done, %d returned, after %v", accepted, len(returned), took)
	}
}

// A connection that has fallen silent delays notices by little: they are due soon after their message's end.
func TestNoticeSurvivesSilentConnection(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	silent := map[string]bool{} // by the client's address: connections that get no answer any more
	accepted := make(chan struct{}, 100)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		mu.Lock()
		hang := silent[req.RemoteAddr]
		silent[req.RemoteAddr] = true // after its first answer
		mu.Unlock()
		if hang {
			<-req.Context().Done()
			return
		}
		accepted <- struct{}{}
		w.WriteHeader(http.StatusNoContent)
	}))
	defer srv.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	more := make(chan []notice)
	poster := newTestPoster(noticeHedgeDelay, srv.Listener.Addr().String())
	go poster.run(ctx, nil, more, func([]notice) {})
	for i := range 3 {
		posted := time.Now()
		more <- []notice{newNotice(&pendingMessage{id: itoa(i), final: &finalAnswer{}})}
		<-accepted
		if took := time.Since(posted); took >= noticePostTimeout/2 {
			t.Errorf("notice %d was accepted after %v", i, took)
		}
	}
}

// Connections that can't be opened for a moment delay a notice by little: it is due within 300 ms. It guards against late
// notices while the system is out of descriptors or addresses.
func TestNoticeOutlastsFailedDials(t *testing.T) {
	const failures, due = 8, 300 * time.Millisecond
	accepted := make(chan struct{}, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		accepted <- struct{}{}
		w.WriteHeader(http.StatusNoContent)
	}))
	defer srv.Close()
	dials := 0
	poster := newTestPoster(noticeHedgeDelay, srv.Listener.Addr().String())
	poster.client.Transport = &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		if dials++; dials <= failures {
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.EMFILE}
		}
		return new(net.Dialer).DialContext(ctx, network, addr)
	}}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	poster.run(ctx, []notice{newNotice(&pendingMessage{id: "a", final: &finalAnswer{}})}, nil, func([]notice) { cancel() })
	<-accepted
	pauses := time.Duration(0) // at most, whatever the machine adds
	for round := 1; round <= failures; round++ {
		pauses += maxNoticePause(round, &net.OpError{Op: "dial", Err: syscall.EMFILE})
	}
	if dials != failures+1 || pauses >= due {
		t.Errorf("%d dials, pauses of up to %v", dials, pauses)
	}
	if got := maxNoticePause(1, io.ErrUnexpectedEOF); got != maxFirstNoticePause {
		t.Errorf("after another error the pause is %v", got)
	}
}
