package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"starlingusher/fleet/catalog"
)

// endpointsPerDest is the mean number of endpoints of a destination.
const endpointsPerDest = 1.7

// firstDest is the first destination; lower numbers are those of the load's partners.
const firstDest = 100

// endpointCountOf returns the number of endpoints of this many destinations.
func endpointCountOf(destinations int) int {
	return int(math.Round(float64(destinations) * endpointsPerDest))
}

// endpointAt returns the nth endpoint. Nobody listens on its address, which is on the loopback network.
func endpointAt(n int) catalog.Endpoint {
	return catalog.Endpoint{
		ID: fmt.Sprintf("s-%08x", n), Addr: fmt.Sprintf("127.9.%d.%d:6379", n/250%250, n%250), Locality: zones[n%len(zones)], Flavor: flavor,
		Cell: firstDest + int(float64(n)/endpointsPerDest), Phase: catalog.Serving, Size: 1,
	}
}

// changedEndpoint returns the nth endpoint with another start time: a change that all followers are sent and
// that does not change the list's length.
func changedEndpoint(n int, upSince int64) catalog.Endpoint {
	e := endpointAt(n)
	e.UpSince = upSince
	return e
}

func endpointList(endpoints int) []catalog.Endpoint {
	list := make([]catalog.Endpoint, endpoints)
	for i := range list {
		list[i] = endpointAt(i)
	}
	return list
}

// standIn serves a list of any length, encoded while it is sent, and changes of it. It stands in for a list
// service beyond the directory's cap. It is a plain discovery service: it has no history, and refuses no
// watch.
type standIn struct {
	endpoints int
	srv       *http.Server
	ln        net.Listener
	wg        sync.WaitGroup

	mu      sync.Mutex
	changes []catalog.Endpoint // from revision 2 on
	changed chan struct{}
	watches int // number of watches so far
}

const firstRevision = 1

func openStandIn(endpoints int) (*standIn, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in of the list service: %w", err)
	}
	return newStandIn(endpoints, ln), nil
}

// newStandIn serves on a listener, which it then owns; without one it can only encode its list.
func newStandIn(endpoints int, ln net.Listener) *standIn {
	s := &standIn{endpoints: endpoints, ln: ln, changed: make(chan struct{})}
	if ln == nil {
		return s
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", s.watch)
	s.srv = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	s.wg.Go(func() { s.srv.Serve(ln) })
	return s
}

func (s *standIn) address() string { return s.ln.Addr().String() }

// change sends a change to all watches, and returns its revision.
func (s *standIn) change(e catalog.Endpoint) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, e)
	close(s.changed)
	s.changed = make(chan struct{})
	return firstRevision + int64(len(s.changes))
}

// watchCount returns the number of watches that have begun.
func (s *standIn) watchCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

func (s *standIn) changesSince(after int64) ([]catalog.Endpoint, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes[min(max(int(after)-firstRevision, 0), len(s.changes)):], s.changed
}

// writeList writes the complete list as encoding/json would.
func (s *standIn) writeList(w io.Writer) error {
	b := bufio.NewWriterSize(w, 64<<10)
	fmt.Fprintf(b, `{"revision":%d,"complete":true,"members":[`, firstRevision)
	for i := range s.endpoints {
		if i > 0 {
			b.WriteByte(',')
		}
		raw, err := json.Marshal(endpointAt(i))
		if err != nil {
			return err
		}
		b.Write(raw)
	}
	b.WriteString("]}\n")
	return b.Flush()
}

// listSize returns the size of the complete list in bytes.
func (s *standIn) listSize() int64 {
	var n byteCounter
	s.writeList(&n) // never fails
	return int64(n)
}

type byteCounter int64

func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))
	return len(p), nil
}

const heartbeatInterval = 2 * time.Second

func (s *standIn) watch(w http.ResponseWriter, req *http.Request) {
	after, err := strconv.ParseInt(req.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a number", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	flush := http.NewResponseController(w).Flush
	if after < firstRevision {
		if s.writeList(w) != nil || flush() != nil {
			return
		}
		after = firstRevision
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		changes, changed := s.changesSince(after)
		for _, c := range changes {
			after++
			raw, err := json.Marshal(catalog.List{Revision: after, Members: []catalog.Endpoint{c}})
			if err != nil {
				return
			}
			if _, err := w.Write(append(raw, '\n')); err != nil || flush() != nil {
				return
			}
		}
		if len(changes) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			if _, err := io.WriteString(w, "\n"); err != nil || flush() != nil {
				return
			}
		case <-req.Context().Done():
			return
		}
	}
}

func (s *standIn) close() error {
	err := s.srv.Close()
	s.wg.Wait()
	if errors.Is(err, net.ErrClosed) || errors.Is(err, context.Canceled) {
		err = nil
	}
	return err
}
