package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/fleet/ownership"
)

func someSet() *ownership.Set {
	var s ownership.Set
	for _, p := range []int{3, 17, 40, 41, 42} {
		s.Add(p)
	}
	return &s
}

// httpResponse returns a response that ends after its body.
func httpResponse(code int, headers map[string]string, body string) *http.Response {
	h := http.Header{}
	for k, v := range headers {
		h.Set(k, v)
	}
	return &http.Response{StatusCode: code, Status: fmt.Sprint(code), Header: h, Body: io.NopCloser(strings.NewReader(body))}
}

// Requests for the whole list must be the same, byte for byte, as in builds without partitions.
func TestRequestForWholeListIsUnchanged(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		at   Position
		want string
	}{
		{Position{}, "http://a:1/registry/instances?watch=1&after=0"},
		{Position{0, 8, "a:1"}, "http://a:1/registry/instances?watch=1&after=8"},
		{Position{0, 8, "b:1"}, "http://a:1/registry/instances?watch=1&after=0"},
		{Position{3, 8, "b:1"}, "http://a:1/registry/instances?watch=1&after=8&history=3"},
	} {
		ctx, cancel := context.WithCancel(t.Context())
		w := Watcher{Addresses: []string{"a:1"}, FleetSize: 1, Log: slog.New(slog.DiscardHandler), Cursor: NewCursor(c.at)}
		w.Client = &http.Client{Transport: roundTripFunc(func(req *http.Request) (*http.Response, error) {
			if req.Method != http.MethodGet || req.URL.String() != c.want || len(req.Header) > 0 || req.Body != nil {
				t.Errorf("unexpected request %s %s %v", req.Method, req.URL, req.Header)
			}
			return httpResponse(200, nil, `{"revision":9,"complete":false,"members":[]}`), nil
		})}
		received := false
		w.Watch(ctx, func(n Update) error {
			received = n.Revision == 9 && n.Map == 0
			cancel()
			return nil
		})
		if !received {
			t.Errorf("after %v no update was received", c.at)
		}
	}
}

// The first request of each call of Watch asks for the complete list of the partitions, later ones for
// changes. A rejected update, or changes where a complete list was requested, lead to a request for the
// complete list.
func TestWatchOfPartitionsStartsWithCompleteList(t *testing.T) {
	t.Parallel()
	headers := map[string]string{"Registry-History": "3", "Registry-Partitions": "4096", "Registry-Map": "6"}
	changes := `{"revision":9,"complete":false,"members":[],"map":6}`
	whole := func(rev int) string { return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[],"map":6}`, rev) }
	ctx, cancel := context.WithCancel(t.Context())
	const set = "&history=3&partitions=3,17,40-42"
	script := []struct{ query, body string }{
		{"after=0" + set, changes}, // not the complete list
		{"after=0" + set, whole(9)},
		{"after=9" + set, strings.Replace(changes, ":9", ":10", 1)},
		{"after=10" + set, strings.Replace(changes, ":9", ":11", 1)}, // rejected by handle
		{"after=0" + set, whole(11)},
		{"after=11" + set, whole(12)},
	}
	requests := 0
	w := Watcher{Addresses: []string{"a:1"}, FleetSize: 1, Log: slog.New(slog.DiscardHandler), Cursor: NewCursor(Position{3, 8, "b:1"}), Partitions: someSet()}
	w.Client = &http.Client{Transport: roundTripFunc(func(req *http.Request) (*http.Response, error) {
		if requests >= len(script) {
			return nil, errors.New("unexpected request")
		}
		if got := strings.TrimPrefix(req.URL.String(), "http://a:1/registry/instances?watch=1&"); got != script[requests].query {
			t.Errorf("request %d is %s, want %s", requests, got, script[requests].query)
		}
		requests++
		return httpResponse(200, headers, script[requests-1].body), nil
	})}
	w.Watch(ctx, func(n Update) error {
		if n.Map != 6 {
			t.Errorf("the map number is %d", n.Map)
		}
		switch {
		case n.Revision == 11 && !n.Complete:
			return errors.New("rejected")
		case n.Revision == 12:
			cancel()
		}
		return nil
	})
	if requests != len(script) {
		t.Errorf("%d requests", requests)
	}
}

// A list must not be accepted unless the server proves that it has filtered it by the same partitions. The
// next address is tried at once; if no server filters, requests are far apart.
func TestWholeListIsRejectedForPartitions(t *testing.T) {
	t.Parallel()
	list := `{"revision":9,"complete":true,"members":[{"id":"e1","host_port":"h:1","locality":"a","flavor":"k","cell":3,"phase":"SERVING","size":1}]}`
	for _, header := range []string{"", "2048", "04096", "4096, 4096", "x"} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			var logged strings.Builder
			w := Watcher{Addresses: []string{"a:1", "b:1", "c:1"}, FleetSize: 820, Log: slog.New(slog.NewTextHandler(&logged, nil)), Cursor: NewCursor(Position{}), Partitions: someSet()}
			upgradeAfter, began := time.Hour, time.Now()
			requests := 0
			w.Client = &http.Client{Transport: roundTripFunc(func(req *http.Request) (*http.Response, error) {
				requests++
				headers := map[string]string{"Registry-History": "3", "Registry-Partitions": header}
				if req.URL.Host == "c:1" && time.Since(began) > upgradeAfter {
					headers["Registry-Partitions"] = "4096"
				}
				if time.Since(began) > time.Minute {
					upgradeAfter = 0
				}
				return httpResponse(200, headers, list), nil
			})}
			w.Watch(ctx, func(n Update) error {
				if n.Server != "c:1" {
					t.Errorf("accepted an update from %s", n.Server)
				}
				cancel()
				return nil
			})
			if most := 3 * (int(time.Minute/(maxRefusalPause/2)) + 3); requests < 36 || requests > most {
				t.Errorf("%d requests in a minute, want at most %d", requests, most)
			}
			if n := strings.Count(logged.String(), "would send the whole list"); n != 3 {
				t.Errorf("logged %d times: %s", n, logged.String())
			}
			if err := w.watchOnce(t.Context(), "a:1", 0, 0, nil); !errors.Is(err, ErrNoPartitionFilter) {
				t.Errorf("%q: %v", header, err)
			}
		})
	}
}

// A replica that cannot filter by partitions must not delay the list if another one can.
func TestReplicaWithoutFilterDoesNotDelayList(t *testing.T) {
	t.Parallel()
	for range 20 { // the first address is random
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			w := Watcher{Addresses: []string{"a:1", "b:1", "c:1"}, FleetSize: 820, Log: slog.New(slog.DiscardHandler), Cursor: NewCursor(Position{}), Partitions: someSet()}
			began := time.Now()
			w.Client = &http.Client{Transport: roundTripFunc(func(req *http.Request) (*http.Response, error) {
				switch req.URL.Host {
				case "a:1":
					return httpResponse(200, map[string]string{"Registry-History": "3"}, `{"revision":9,"complete":true,"members":[]}`), nil
				case "b:1":
					<-req.Context().Done()
					return nil, req.Context().Err()
				}
				return httpResponse(200, map[string]string{"Registry-History": "3", "Registry-Partitions": "4096"}, `{"revision":9,"complete":true,"members":[]}`), nil
			})}
			w.Watch(ctx, func(n Update) error { cancel(); return nil })
			if took := time.Since(began); took > responseTimeout+3*minBackoff {
				t.Errorf("received after %v", took)
			}
		})
	}
}

func mapRecord(t *testing.T, number int64) string {
	t.Helper()
	m, err := ownership.Make(number, 1, []ownership.Member{{Name: "n1", Zone: "a", Weight: 1}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	body, err := json.Marshal(catalog.Record{Name: ownership.RecordName, Value: raw})
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// endless is a body without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = ' '
	}
	return len(p), nil
}

// A map is fetched from any server that has it, within bounded time and size; otherwise the error names the
// failure of each address.
func TestFetchMap(t *testing.T) {
	t.Parallel()
	old, good := mapRecord(t, 4), mapRecord(t, 6)
	servers := map[string]func(req *http.Request) (*http.Response, error){
		"dead:1": func(*http.Request) (*http.Response, error) { return nil, errors.New("connection refused") },
		"hangs:1": func(req *http.Request) (*http.Response, error) {
			<-req.Context().Done()
			return nil, req.Context().Err()
		},
		"none:1": func(*http.Request) (*http.Response, error) {
			return httpResponse(404, nil, `{"error":"there is none"}`), nil
		},
		"taken:1": func(*http.Request) (*http.Response, error) {
			return httpResponse(200, nil, `{"name":"ownership.map","value":null}`), nil
		},
		"busy:1": func(*http.Request) (*http.Response, error) { return httpResponse(503, nil, ""), nil },
		"odd:1": func(*http.Request) (*http.Response, error) {
			return httpResponse(200, nil, `{"value":"bm8gbWFw"}`), nil
		},
		"half:1": func(*http.Request) (*http.Response, error) { return httpResponse(200, nil, good[:len(good)/2]), nil },
		"endless:1": func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: 200, Body: io.NopCloser(endless{})}, nil
		},
		"old:1": func(*http.Request) (*http.Response, error) { return httpResponse(200, nil, old), nil },
	}
	client := &http.Client{Transport: roundTripFunc(func(req *http.Request) (*http.Response, error) {
		if req.URL.Path != "/records/ownership.map" || req.Method != http.MethodGet {
			t.Errorf("unexpected request %s %s", req.Method, req.URL)
		}
		if req.URL.Host == "good:1" {
			return httpResponse(200, nil, good), nil
		}
		return servers[req.URL.Host](req)
	})}
	synctest.Test(t, func(t *testing.T) {
		var all []string
		for addr := range servers {
			all = append(all, addr)
			if m, err := FetchMap(t.Context(), client, []string{addr, "good:1"}, 5); err != nil || m.Number != 6 {
				t.Errorf("next to %s: %v", addr, err)
			}
		}
		began := time.Now()
		m, err := FetchMap(t.Context(), client, all, 5)
		if m != nil || !errors.Is(err, ErrStale) || !errors.Is(err, ErrNoMap) || !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("no server has the map: %v", err)
		}
		for _, addr := range all {
			if !strings.Contains(err.Error(), addr) {
				t.Errorf("%s is missing in %v", addr, err)
			}
		}
		if took := time.Since(began); took > responseTimeout {
			t.Errorf("fetching took %v", took)
		}
		if m, err := FetchMap(t.Context(), client, []string{"old:1"}, 0); err != nil || m.Number != 4 {
			t.Errorf("any map: %v", err)
		}
		for _, addr := range []string{"none:1", "taken:1"} {
			if _, err := FetchMap(t.Context(), client, []string{addr}, 0); !errors.Is(err, ErrNoMap) {
				t.Errorf("%s: %v", addr, err)
			}
		}
		if _, err := FetchMap(t.Context(), client, nil, 0); err == nil {
			t.Error("fetched a map without an address")
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := FetchMap(ctx, client, []string{"hangs:1", "hangs:1"}, 0); !errors.Is(err, context.Canceled) {
			t.Errorf("after the context ended: %v", err)
		}
	})
}
