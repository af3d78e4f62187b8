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

// perDestination is how many endpoints a destination has, on the average.
const perDestination = 1.7

// firstCell is the first destination; those below are the load's.
const firstCell = 100

// endpointsOf is how many endpoints so many destinations have.
func endpointsOf(destinations int) int {
	return int(math.Round(float64(destinations) * perDestination))
}

// endpoint is the endpoint of a number. Its address is one of the loopback network, at which nobody listens.
func endpoint(n int) catalog.Endpoint {
	return catalog.Endpoint{
		ID: fmt.Sprintf("s-%08x", n), Addr: fmt.Sprintf("127.9.%d.%d:6379", n/250%250, n%250), Locality: zones[n%len(zones)], Flavor: flavor,
		Cell: firstCell + int(float64(n)/perDestination), Phase: catalog.Serving, Size: 1,
	}
}

// turned is an endpoint after a change of its time of start, which all who follow it are told and which leaves the list as long.
func turned(n int, at int64) catalog.Endpoint {
	e := endpoint(n)
	e.UpSince = at
	return e
}

func listOf(endpoints int) []catalog.Endpoint {
	all := make([]catalog.Endpoint, endpoints)
	for i := range all {
		all[i] = endpoint(i)
	}
	return all
}

// source is a stand-in for a list service where none of ours goes on: it tells one list of any length, made as it is sent, and
// changes of it. It is a plain discovery: no history, no watch is refused.
type source struct {
	endpoints int
	srv       *http.Server
	ln        net.Listener
	wg        sync.WaitGroup

	mu      sync.Mutex
	changes []catalog.Endpoint // revision 2 and on
	news    chan struct{}
	watches int // begun
}

const firstRevision = 1

func openSource(endpoints int) (*source, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in of the list service: %w", err)
	}
	return newSource(endpoints, ln), nil
}

// newSource serves at a listener, which it owns; without one it only makes its list.
func newSource(endpoints int, ln net.Listener) *source {
	s := &source{endpoints: endpoints, ln: ln, news: make(chan struct{})}
	if ln == nil {
		return s
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", s.watch)
	s.srv = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	s.wg.Go(func() { s.srv.Serve(ln) })
	return s
}

func (s *source) address() string { return s.ln.Addr().String() }

// change tells all watches of one, and returns its revision.
func (s *source) change(e catalog.Endpoint) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, e)
	close(s.news)
	s.news = make(chan struct{})
	return firstRevision + int64(len(s.changes))
}

// asked is how many watches have begun.
func (s *source) asked() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

func (s *source) since(after int64) ([]catalog.Endpoint, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes[min(max(int(after)-firstRevision, 0), len(s.changes)):], s.news
}

// writeList sends a whole list, as encoding/json would write it.
func (s *source) writeList(w io.Writer) error {
	b := bufio.NewWriterSize(w, 64<<10)
	fmt.Fprintf(b, `{"revision":%d,"complete":true,"members":[`, firstRevision)
	for i := range s.endpoints {
		if i > 0 {
			b.WriteByte(',')
		}
		raw, err := json.Marshal(endpoint(i))
		if err != nil {
			return err
		}
		b.Write(raw)
	}
	b.WriteString("]}\n")
	return b.Flush()
}

// bytes is how long the whole list is.
func (s *source) bytes() int64 {
	var n counter
	s.writeList(&n) // never fails
	return int64(n)
}

type counter int64

func (c *counter) Write(p []byte) (int, error) {
	*c += counter(len(p))
	return len(p), nil
}

const sourceBeat = 2 * time.Second

func (s *source) watch(w http.ResponseWriter, req *http.Request) {
	after, err := strconv.ParseInt(req.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is a number", http.StatusBadRequest)
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
	beat := time.NewTicker(sourceBeat)
	defer beat.Stop()
	for {
		changes, news := s.since(after)
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
		case <-news:
		case <-beat.C:
			if _, err := io.WriteString(w, "\n"); err != nil || flush() != nil {
				return
			}
		case <-req.Context().Done():
			return
		}
	}
}

func (s *source) close() error {
	err := s.srv.Close()
	s.wg.Wait()
	if errors.Is(err, net.ErrClosed) || errors.Is(err, context.Canceled) {
		err = nil
	}
	return err
}
