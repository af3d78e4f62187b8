package trial

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"starlingusher/fleet/catalog"
	"starlingusher/fleet/ownership"
	"starlingusher/internal/directory"
	"starlingusher/internal/lab/relay"
)

const maxFrontBodyBytes = 16 << 20

// front stands between one node and one replica: it passes all on and notes what the node asks and is told. The node comes to it
// over a link, which can be cut.
type front struct {
	trial       *ownershipTrial
	node        int
	replica     int
	replicaAddr string // the replica's address
	link        *relay.Link
	client      *http.Client
	server      *http.Server
	ctx         context.Context
	cancel      context.CancelFunc
	serving     sync.WaitGroup
}

func openFront(t *ownershipTrial, node, number int, at, reached, to string) (*front, error) {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	f := &front{trial: t, node: node, replica: number, replicaAddr: to, client: &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.server = &http.Server{Handler: f, ReadHeaderTimeout: 30 * time.Second, BaseContext: func(net.Listener) context.Context { return f.ctx }}
	f.serving.Go(func() { f.server.Serve(ln) })
	if f.link, err = relay.Listen(reached, t.options.Seed+uint64(100*node+number), relay.DialTo(at), nil); err != nil {
		f.close()
		return nil, err
	}
	f.link.SetConditions(calm)
	return f, nil
}

func (f *front) close() {
	if f.link != nil {
		f.link.Close()
	}
	f.cancel()
	f.server.Close()
	f.serving.Wait()
	f.client.CloseIdleConnections()
}

// ServeHTTP passes a request on. What breaks there breaks here.
func (f *front) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxFrontBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	list := req.Method == http.MethodGet && req.URL.Path == "/registry/instances"
	var ask *WatchRequest
	older := f.trial.olderBuilds[f.replica].Load()
	url := *req.URL
	if list {
		if ask, err = f.recordWatch(req, older); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if older {
			q := url.Query()
			q.Del("partitions")
			url.RawQuery = q.Encode()
		}
	}
	next, err := http.NewRequestWithContext(req.Context(), req.Method, "http://"+f.replicaAddr+url.RequestURI(), bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	resp, err := f.client.Do(next)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	for name, v := range resp.Header {
		if name != "Content-Length" && !(older && (name == headerPartitions || name == headerMap)) {
			w.Header()[name] = v
		}
	}
	switch {
	case list && resp.StatusCode == http.StatusOK:
		w.WriteHeader(resp.StatusCode)
		f.relayWatch(w, resp, ask)
		if req.URL.Query().Get("watch") == "1" {
			panic(http.ErrAbortHandler)
		}
		return
	case req.Method == http.MethodGet && req.URL.Path == "/records/"+ownership.RecordName:
		raw, err := io.ReadAll(io.LimitReader(resp.Body, maxFrontBodyBytes))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		f.trial.handleMapFetch(f.node, raw, func() {
			w.WriteHeader(resp.StatusCode)
			w.Write(raw)
			http.NewResponseController(w).Flush()
		})
		return
	case req.Method == http.MethodPost && req.URL.Path == "/reports" && resp.StatusCode/100 == 2:
		f.trial.recordNotices(body)
	}
	w.WriteHeader(resp.StatusCode)
	io.Copy(w, resp.Body)
}

// The headers of a list of some partitions.
const (
	headerPartitions = "Registry-Partitions"
	headerMap        = "Registry-Map"
)

// asked notes a watch that a node asks for.
func (f *front) recordWatch(req *http.Request, older bool) (*WatchRequest, error) {
	q := req.URL.Query()
	a := &WatchRequest{Node: f.node, Replica: f.replica, At: f.trial.elapsed(), OlderBuild: older, AllPartitions: !q.Has("partitions")}
	var err error
	if !a.AllPartitions {
		if a.Partitions, err = ownership.ParseSet(q.Get("partitions")); err != nil {
			return nil, err
		}
	}
	a.After, _ = strconv.ParseInt(q.Get("after"), 10, 64)
	a.AskedHistory, _ = strconv.ParseInt(q.Get("history"), 10, 64)
	f.trial.mu.Lock()
	defer f.trial.mu.Unlock()
	f.trial.watchRequests = append(f.trial.watchRequests, a)
	return a, nil
}

// watch passes the lines of a watch on.
func (f *front) relayWatch(w http.ResponseWriter, resp *http.Response, a *WatchRequest) {
	history, _ := strconv.ParseInt(resp.Header.Get(directory.HeaderHistory), 10, 64)
	f.trial.mu.Lock()
	a.History = history
	f.trial.mu.Unlock()
	out := http.NewResponseController(w)
	if out.Flush() != nil {
		return
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxFrontBodyBytes)
	for n := 0; lines.Scan(); {
		line := bytes.Clone(lines.Bytes())
		if len(bytes.TrimSpace(line)) > 0 {
			var l catalog.List
			if json.Unmarshal(line, &l) != nil {
				return
			}
			if n > 0 && len(l.Members) > 0 && !a.OlderBuild && f.trial.claimChangeDrop(f.node) {
				l.Members = []catalog.Endpoint{}
				line, _ = json.Marshal(l) // it was read from the like
			}
			n++
			f.trial.mu.Lock()
			a.Lines = append(a.Lines, WatchLine{f.trial.elapsed(), l})
			f.trial.mu.Unlock()
		}
		if _, err := w.Write(append(line, '\n')); err != nil || out.Flush() != nil {
			return
		}
	}
}

// sum tells maps apart.
func checksum(value []byte) uint64 { return xxhash.Sum64(value) }
