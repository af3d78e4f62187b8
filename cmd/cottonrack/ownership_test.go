package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/fleet/ownership"
)

// lossyDirectory serves the record from a catalog state. Three in ten of its requests fail: some don't arrive, some
// are refused, and some answers are lost.
type lossyDirectory struct {
	mu            sync.Mutex
	rng           *rand.Rand
	state         *catalog.State
	publishedMaps map[int64][]byte
	problems      []string
	lostAnswers   map[string]int // lost answers of operations that were carried out, by method
}

func (l *lossyDirectory) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	dropConnection := func() {
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			c.Close()
		}
	}
	refuse := func(code int, reason error) {
		w.WriteHeader(code)
		json.NewEncoder(w).Encode(map[string]any{"error": reason.Error(), "outcome": "refused"})
	}
	fate := l.rng.IntN(10)
	switch fate {
	case 0:
		dropConnection() // the request does not arrive
		return
	case 1:
		refuse(http.StatusServiceUnavailable, errors.New("no leader"))
		return
	}
	var request struct {
		Holder string
		Token  int64
		Value  []byte
	}
	json.NewDecoder(req.Body).Decode(&request)
	operation := catalog.RecordOp{Name: ownership.RecordName, Holder: request.Holder, Token: request.Token, TTL: 5000, Value: request.Value}
	var r catalog.Result
	var out any
	switch req.Method {
	case http.MethodGet:
		out, _ = l.state.Record(ownership.RecordName)
	case http.MethodPut:
		r = l.state.Apply(catalog.Command{Acquire: &operation})
		if r.Err != nil && l.rng.IntN(3) == 0 { // the lease expires, and its holder has not come back
			l.state.Apply(catalog.Command{Expire: &catalog.Expiry{Records: []catalog.RecordOp{{Name: ownership.RecordName, Token: r.Token}}}})
		}
	case http.MethodPost:
		if r = l.state.Apply(catalog.Command{Update: &operation}); r.Err == nil {
			m, err := ownership.Decode(request.Value)
			if err != nil {
				l.problems = append(l.problems, err.Error())
				break
			}
			if old, ok := l.publishedMaps[m.Number]; ok && !bytes.Equal(old, request.Value) {
				l.problems = append(l.problems, fmt.Sprintf("number %d was given twice", m.Number))
			}
			l.publishedMaps[m.Number] = request.Value
		}
	case http.MethodDelete:
		r = l.state.Apply(catalog.Command{Release: &operation})
	}
	switch {
	case fate == 2 && r.Err == nil:
		l.lostAnswers[req.Method]++
		dropConnection() // carried out, and the answer is lost
	case r.Err != nil:
		refuse(http.StatusConflict, r.Err)
	case out != nil:
		json.NewEncoder(w).Encode(out)
	default:
		json.NewEncoder(w).Encode(map[string]any{"revision": 0, "token": r.Token})
	}
}

// Two operators publish maps at the same time while requests and answers are lost.
func TestPublishMapWithLostAnswers(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	l := &lossyDirectory{rng: rand.New(rand.NewPCG(seed, 1)), state: catalog.New(), publishedMaps: map[int64][]byte{}, lostAnswers: map[string]int{}}
	l.state.Apply(catalog.Command{At: 1, Bootstrap: &catalog.Bootstrap{}})
	server := httptest.NewServer(l)
	defer server.Close()
	defer http.DefaultClient.CloseIdleConnections()
	type result struct {
		name string
		m    *ownership.Map
		err  error
	}
	results := make(chan result, 100)
	var all sync.WaitGroup
	for i := range 2 {
		all.Go(func() {
			for round := range 12 {
				name := fmt.Sprintf("n%d.%d", i, round)
				c := directoryClientFlags{Addresses: []string{strings.TrimPrefix(server.URL, "http://")}, RetryFor: time.Minute}
				m, err := c.publishMap(context.Background(), &ownership.Publisher{Plan: func(number int64, before *ownership.Map) (*ownership.Map, error) {
					return ownership.Make(number, 1, []ownership.Member{{Name: name, Zone: "z", Weight: 1}}, before)
				}})
				results <- result{name, m, err}
			}
		})
	}
	all.Wait()
	close(results)
	l.mu.Lock()
	defer l.mu.Unlock()
	mapsByMember := map[string]int{}
	for number, raw := range l.publishedMaps {
		m, err := ownership.Decode(raw)
		if err != nil || m.Number != number {
			t.Fatal(seed, err)
		}
		mapsByMember[m.Members[0].Name]++
	}
	for r := range results {
		if r.err != nil || r.m == nil || r.m.Members[0].Name != r.name || l.publishedMaps[r.m.Number] == nil || mapsByMember[r.name] == 0 {
			t.Errorf("seed %d: %s: %+v, %v; it was written %d times", seed, r.name, r.m, r.err, mapsByMember[r.name])
		}
	}
	if len(l.problems) > 0 {
		t.Errorf("seed %d: %v", seed, l.problems)
	}
	t.Logf("seed %d: %d numbers, answers lost: %v", seed, len(l.publishedMaps), l.lostAnswers)
}
