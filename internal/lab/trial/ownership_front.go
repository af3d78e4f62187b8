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

// front is a proxy between one node and one replica. It records what the node requests and is sent. The node
// reaches it over a link that can be cut.
type front struct {
	trial       *ownershipTrial
	node        int
	replica     int
	replicaAddr string
	link        *relay.Link
	client      *http.Client
	server      *http.Server
	ctx         context.Context
	cancel      context.CancelFunc
	serving     sync.WaitGroup
}

func openFront(t *ownershipTrial, node, replica int, addr, linkAddr, replicaAddr string) (*front, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	f := &front{trial: t, node: node, replica: replica, replicaAddr: replicaAddr,
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.server = &http.Server{Handler: f, ReadHeaderTimeout: 30 * time.Second,
		BaseContext: func(net.Listener) context.Context { return f.ctx }}
	f.serving.Go(func() { f.server.Serve(ln) })
	if f.link, err = relay.Listen(linkAddr, t.options.Seed+uint64(100*node+replica), relay.DialTo(addr), nil); err != nil {
		f.close()
		return nil, err
	}
	f.link.SetConditions(healthyLink)
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

// ServeHTTP forwards a request. If the connection to the replica breaks, the one from the node is broken as
// well.
func (f *front) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxFrontBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	isList := req.Method == http.MethodGet && req.URL.Path == "/registry/instances"
	var request *WatchRequest
	olderBuild := f.trial.olderBuilds[f.replica].Load()
	url := *req.URL
	if isList {
		if request, err = f.recordWatch(req, olderBuild); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if olderBuild {
			q := url.Query()
			q.Del("partitions")
			url.RawQuery = q.Encode()
		}
	}
	forwarded, err := http.NewRequestWithContext(req.Context(), req.Method, "http://"+f.replicaAddr+url.RequestURI(),
		bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	resp, err := f.client.Do(forwarded)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	for name, values := range resp.Header {
		if name != "Content-Length" && !(olderBuild && (name == headerPartitions || name == headerMap)) {
			w.Header()[name] = values
		}
	}
	switch {
	case isList && resp.StatusCode == http.StatusOK:
		w.WriteHeader(resp.StatusCode)
		f.relayWatch(w, resp, request)
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

// The headers of a list that is filtered by partitions.
const (
	headerPartitions = "Registry-Partitions"
	headerMap        = "Registry-Map"
)

// recordWatch records a watch that the node requests.
func (f *front) recordWatch(req *http.Request, olderBuild bool) (*WatchRequest, error) {
	query := req.URL.Query()
	request := &WatchRequest{Node: f.node, Replica: f.replica, At: f.trial.elapsed(), OlderBuild: olderBuild,
		AllPartitions: !query.Has("partitions")}
	var err error
	if !request.AllPartitions {
		if request.Partitions, err = ownership.ParseSet(query.Get("partitions")); err != nil {
			return nil, err
		}
	}
	request.After, _ = strconv.ParseInt(query.Get("after"), 10, 64)
	request.AskedHistory, _ = strconv.ParseInt(query.Get("history"), 10, 64)
	f.trial.mu.Lock()
	defer f.trial.mu.Unlock()
	f.trial.watchRequests = append(f.trial.watchRequests, request)
	return request, nil
}

// relayWatch forwards the lines of a watch and records them.
func (f *front) relayWatch(w http.ResponseWriter, resp *http.Response, request *WatchRequest) {
	history, _ := strconv.ParseInt(resp.Header.Get(directory.HeaderHistory), 10, 64)
	f.trial.mu.Lock()
	request.History = history
	f.trial.mu.Unlock()
	controller := http.NewResponseController(w)
	if controller.Flush() != nil {
		return
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxFrontBodyBytes)
	for n := 0; lines.Scan(); {
		line := bytes.Clone(lines.Bytes())
		if len(bytes.TrimSpace(line)) > 0 {
			var list catalog.List
			if json.Unmarshal(line, &list) != nil {
				return
			}
			if n > 0 && len(list.Members) > 0 && !request.OlderBuild && f.trial.claimChangeDrop(f.node) {
				list.Members = []catalog.Endpoint{}
				line, _ = json.Marshal(list) // it was decoded from the same type
			}
			n++
			f.trial.mu.Lock()
			request.Lines = append(request.Lines, WatchLine{f.trial.elapsed(), list})
			f.trial.mu.Unlock()
		}
		if _, err := w.Write(append(line, '\n')); err != nil || controller.Flush() != nil {
			return
		}
	}
}

// checksum distinguishes encoded maps.
func checksum(value []byte) uint64 { return xxhash.Sum64(value) }
