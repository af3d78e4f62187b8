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

// lossy is a directory's record over the catalog's own state, most of whose requests come to something else than an answer.
type lossy struct {
	mu    sync.Mutex
	rng   *rand.Rand
	state *catalog.State
	given map[int64][]byte
	bad   []string
	lost  map[string]int // answers that were lost of what was done, by method
}

func (l *lossy) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cut := func() {
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			c.Close()
		}
	}
	refuse := func(code int, why error) {
		w.WriteHeader(code)
		json.NewEncoder(w).Encode(map[string]any{"error": why.Error(), "outcome": "refused"})
	}
	fate := l.rng.IntN(10)
	switch fate {
	case 0:
		cut() // it never came
		return
	case 1:
		refuse(http.StatusServiceUnavailable, errors.New("no leader"))
		return
	}
	var ask struct {
		Holder string
		Token  int64
		Value  []byte
	}
	json.NewDecoder(req.Body).Decode(&ask)
	hold := catalog.RecordOp{Name: ownership.RecordName, Holder: ask.Holder, Token: ask.Token, TTL: 5000, Value: ask.Value}
	var r catalog.Result
	var out any
	switch req.Method {
	case http.MethodGet:
		out, _ = l.state.Record(ownership.RecordName)
	case http.MethodPut:
		r = l.state.Apply(catalog.Command{Acquire: &hold})
		if r.Err != nil && l.rng.IntN(3) == 0 { // time passes, and its holder has not come back
			l.state.Apply(catalog.Command{Expire: &catalog.Expiry{Records: []catalog.RecordOp{{Name: ownership.RecordName, Token: r.Token}}}})
		}
	case http.MethodPost:
		if r = l.state.Apply(catalog.Command{Update: &hold}); r.Err == nil {
			m, err := ownership.Decode(ask.Value)
			if err != nil {
				l.bad = append(l.bad, err.Error())
				break
			}
			if old, ok := l.given[m.Number]; ok && !bytes.Equal(old, ask.Value) {
				l.bad = append(l.bad, fmt.Sprintf("number %d was given twice", m.Number))
			}
			l.given[m.Number] = ask.Value
		}
	case http.MethodDelete:
		r = l.state.Apply(catalog.Command{Release: &hold})
	}
	switch {
	case fate == 2 && r.Err == nil:
		l.lost[req.Method]++
		cut() // done, and nobody is told
	case r.Err != nil:
		refuse(http.StatusConflict, r.Err)
	case out != nil:
		json.NewEncoder(w).Encode(out)
	default:
		json.NewEncoder(w).Encode(map[string]any{"revision": 0, "token": r.Token})
	}
}

// TestAgreeThroughLosses lets two operators write maps at once while requests and answers are lost.
func TestAgreeThroughLosses(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	l := &lossy{rng: rand.New(rand.NewPCG(seed, 1)), state: catalog.New(), given: map[int64][]byte{}, lost: map[string]int{}}
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
				c := asking{At: []string{strings.TrimPrefix(server.URL, "http://")}, Wait: time.Minute}
				m, err := c.agree(context.Background(), &ownership.Publisher{Plan: func(number int64, before *ownership.Map) (*ownership.Map, error) {
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
	by := map[string]int{}
	for number, raw := range l.given {
		m, err := ownership.Decode(raw)
		if err != nil || m.Number != number {
			t.Fatal(seed, err)
		}
		by[m.Members[0].Name]++
	}
	for r := range results {
		if r.err != nil || r.m == nil || r.m.Members[0].Name != r.name || l.given[r.m.Number] == nil || by[r.name] == 0 {
			t.Errorf("seed %d: %s: %+v, %v; it was written %d times", seed, r.name, r.m, r.err, by[r.name])
		}
	}
	if len(l.bad) > 0 {
		t.Errorf("seed %d: %v", seed, l.bad)
	}
	t.Logf("seed %d: %d numbers, answers lost: %v", seed, len(l.given), l.lost)
}
