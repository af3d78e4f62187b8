package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Call is one message in a call to an endpoint.
type Call struct {
	ID, Key string
	Body    []byte
	At      time.Time // when its last byte had come
	Ran     time.Time // when it took effect; zero if it did not
	Status  int       // that the endpoint answered; 0 if it did not
	Left    time.Time // when it was answered or its connection ended; zero while it is out
}

// Verdict is how an endpoint deals with a call.
type Verdict struct {
	Status int           // of the answer; 0 for none, as the connection has ended
	Runs   bool          // the call takes effect
	Pace   time.Duration // time until the answer
}

// Handler decides on a call that has come, and may take its time. The channel is closed when the call's connection ends.
type Handler func(call Call, gone <-chan struct{}) Verdict

// Delivers returns a handler that delivers after a time.
func Delivers(pace time.Duration) Handler {
	return func(Call, <-chan struct{}) Verdict { return Verdict{http.StatusOK, true, pace} }
}

// Fails returns a handler that answers 500 after a time.
func Fails(pace time.Duration) Handler {
	return func(Call, <-chan struct{}) Verdict { return Verdict{http.StatusInternalServerError, false, pace} }
}

// Endpoint stands in for one endpoint of a partner.
type Endpoint struct {
	name    string
	record  *Record
	server  *http.Server
	addr    string
	handler Handler

	mu    sync.Mutex
	calls []*Call
}

// NewEndpoint starts an endpoint on a free loopback port.
func NewEndpoint(record *Record, name string, handler Handler) (*Endpoint, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{name: name, record: record, addr: ln.Addr().String(), handler: handler}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go e.server.Serve(ln)
	return e, nil
}

// Member returns the endpoint's entry in the list.
func (e *Endpoint) Member(flavor string, cell int, rate float64) Member {
	return Member{ID: e.name, Addr: e.addr, Locality: "hall-a", Flavor: flavor, Cell: cell, Phase: "SERVING", Size: rate}
}

// Close ends the endpoint.
func (e *Endpoint) Close() { e.server.Close() }

// Calls returns the calls with a message so far, in order; all of them if the ID is empty.
func (e *Endpoint) Calls(id string) []Call {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []Call
	for _, c := range e.calls {
		if id == "" || c.ID == id {
			found = append(found, *c)
		}
	}
	return found
}

func (e *Endpoint) serve(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil || req.Method != http.MethodPost {
		http.NotFound(w, req)
		return
	}
	now := time.Now()
	batch := req.URL.Path == "/v1/messages:batch"
	var calls []*Call
	if batch {
		var items []struct {
			ID, Key string
			Body    []byte
		}
		if err := json.Unmarshal(body, &items); err != nil || len(items) == 0 {
			http.Error(w, "not a batch", http.StatusBadRequest)
			return
		}
		for _, i := range items {
			calls = append(calls, &Call{ID: i.ID, Key: i.Key, Body: i.Body, At: now})
		}
	} else {
		calls = append(calls, &Call{ID: req.Header.Get("X-Trace-Id"), Key: req.Header.Get("Idempotency-Key"), Body: body, At: now})
	}
	e.mu.Lock()
	e.calls = append(e.calls, calls...)
	e.mu.Unlock()
	for _, c := range calls {
		e.record.Add("%s: call %s (%d bytes)", e.name, c.ID, len(c.Body))
	}
	gone := req.Context().Done()
	verdict := e.handler(*calls[0], gone)
	if verdict.Runs {
		e.update(calls, func(c *Call) { c.Ran = time.Now() })
	}
	timer := time.NewTimer(verdict.Pace)
	defer timer.Stop()
	ended := verdict.Status == 0
	select {
	case <-gone:
		ended = true
	case <-timer.C:
	}
	e.update(calls, func(c *Call) {
		c.Left = time.Now()
		if !ended {
			c.Status = verdict.Status
		}
	})
	for _, c := range calls {
		if ended {
			e.record.Add("%s: the connection of %s ended without an answer; it has run: %v", e.name, c.ID, verdict.Runs)
		} else {
			e.record.Add("%s: answers %s with %d; it has run: %v", e.name, c.ID, verdict.Status, verdict.Runs)
		}
	}
	switch {
	case ended:
		panic(http.ErrAbortHandler) // closes the connection without an answer
	case batch && verdict.Status == http.StatusOK:
		type state struct {
			ID    string `json:"id"`
			State string `json:"state"`
		}
		states := []state{}
		for _, c := range calls {
			states = append(states, state{c.ID, "accepted"})
		}
		json.NewEncoder(w).Encode(states)
	default:
		w.WriteHeader(verdict.Status)
	}
}

func (e *Endpoint) update(calls []*Call, change func(*Call)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range calls {
		change(c)
	}
}
