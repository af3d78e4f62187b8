package node

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// All nodes of a large fleet that are refused together ask again apart, some asks a second in all, and no node waits for
// longer than it must not miss the news. A small fleet's nodes are back soon.
func TestRefusedNodesAskApart(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{2, 36} {
		const span = 30 * time.Second
		asks, shortest, longest := 0, span, time.Duration(0)
		for range nodes {
			var pause backoff
			for at := time.Duration(0); at < span; asks++ {
				wait := pause.apart(nodes)
				shortest, longest = min(shortest, wait), max(longest, wait)
				at += wait
			}
		}
		if most := int(span/askEvery) * 4 / 3; asks > most {
			t.Errorf("%d nodes ask %d times in %v", nodes, asks, span)
		}
		first := time.Duration(nodes) * askEvery
		if shortest < first/2 || longest > min(12*first, longestAsk*3/2) {
			t.Errorf("%d nodes wait for %v to %v", nodes, shortest, longest)
		}
	}
}

func TestRefusedAskIsTold(t *testing.T) {
	t.Parallel()
	for code, refused := range map[int]bool{503: true, 429: true, 500: false, 404: false} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }))
		err := watchOnce(t.Context(), srv.Client(), srv.Listener.Addr().String(), 0, nil)
		if err == nil || errors.Is(err, errRefused) != refused {
			t.Errorf("%d: %v", code, err)
		}
		srv.Close()
	}
}
