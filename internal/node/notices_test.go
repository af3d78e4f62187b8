package node

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

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
		returned = reportNotices(ctx, slog.New(slog.DiscardHandler), srv.Client(), []string{srv.Listener.Addr().String()}, nil, more,
			func(n []notice) { done = append(done, n...) })
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
	returned := reportNotices(ctx, slog.New(slog.DiscardHandler), http.DefaultClient, []string{hung.Listener.Addr().String(), good.Listener.Addr().String()},
		[]notice{newNotice(&pendingMessage{id: "a", final: &finalAnswer{}})}, nil, func(n []notice) { accepted = len(n); cancel() })
	if took := time.Since(began); accepted != 1 || len(returned) != 0 || took >= noticePostTimeout {
		t.Errorf("%d done, %d returned, after %v", accepted, len(returned), took)
	}
}
