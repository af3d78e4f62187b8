package directory

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"starlingusher/fleet/catalog"
)

// A drain changes the phase of its endpoint and nothing else, whatever is written at the same time. It guards against drains
// that are built from an older state and write it back over an acknowledged write.
func TestDrainKeepsConcurrentWrites(t *testing.T) {
	const rounds = 150
	o := startReplicas(t, 1, nil)[0]
	eventually(t, "the leader", o.replica.isReadyLeader)
	put(t, o, "*", endpoint("a", catalog.Serving), endpoint("b", catalog.Serving))
	for round := range rounds {
		moved := endpoint("a", catalog.Serving)
		moved.Addr = fmt.Sprintf("10.0.1.%d:80", round)
		var writes sync.WaitGroup
		var putErr, drainErr error
		writes.Go(func() { _, putErr = o.operator().Put(t.Context(), []catalog.Endpoint{moved}, false, true, "*") })
		writes.Go(func() { _, drainErr = o.operator().Drain(t.Context(), "a") })
		writes.Wait()
		if err := errors.Join(putErr, drainErr); err != nil {
			t.Fatal(err)
		}
		o.replica.fsm.view(func(s *catalog.State) {
			if got, _ := s.Entry("a"); got.Addr != moved.Addr {
				t.Fatalf("round %d: the endpoint is at %s, the acknowledged write has moved it to %s", round, got.Addr, moved.Addr)
			}
		})
	}
}

// A drain that names a revision is refused if its endpoint has changed since, and one of an unknown endpoint is told so.
func TestDrainRestsOnItsRevision(t *testing.T) {
	o := startReplicas(t, 1, nil)[0]
	eventually(t, "the leader", o.replica.isReadyLeader)
	put(t, o, "*", endpoint("a", catalog.Serving), endpoint("b", catalog.Serving))
	changed := endpoint("a", catalog.Serving)
	changed.Size = 2
	put(t, o, "*", changed)
	for _, c := range []struct {
		id, match string
		want      int
	}{{"a", "1", http.StatusPreconditionFailed}, {"b", "1", http.StatusOK}, {"a", "2", http.StatusOK}, {"missing", "*", http.StatusNotFound}, {"a", "", http.StatusPreconditionRequired}} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+o.cfg.HTTP+"/registry/instances/"+c.id+"/drain?confirm=1", nil)
		if err != nil {
			t.Fatal(err)
		}
		if c.match != "" {
			req.Header.Set("If-Match", c.match)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != c.want {
			t.Errorf("drain of %s at revision %q: %s, want %d", c.id, c.match, resp.Status, c.want)
		}
	}
}

// The expiry of a lease is not proposed behind a registration that is under way: its 200 may be on its way to the endpoint, and
// the lease begins just after. It guards against an endpoint that registers, is answered 200 and is drained all the same.
func TestExpiryWaitsForRegistrations(t *testing.T) {
	const ttl = 200 * time.Millisecond
	o := startReplicas(t, 1, func(c *Config) { c.Lease.MaxExpiredShare = 1 })[0]
	eventually(t, "the leader", o.replica.isReadyLeader)
	put(t, o, "*", endpoint("other", catalog.Serving))
	register := func() {
		t.Helper()
		result, err := o.replica.propose(catalog.Command{Write: &catalog.Write{Base: catalog.Base{Any: true}, Members: []catalog.Endpoint{endpoint("a", catalog.Serving)}, TTL: ttl.Milliseconds()}})
		if err = errors.Join(err, result.Err); err != nil {
			t.Fatal(err)
		}
	}
	phase := func() (phase string) {
		o.replica.fsm.view(func(s *catalog.State) {
			entry, _ := s.Entry("a")
			phase = entry.Phase
		})
		return phase
	}
	register()
	o.replica.noteRegistration("a")
	time.Sleep(ttl / 2)
	o.replica.expiryOrder.RLock() // a second registration is under way: replicated, and its lease has not begun
	register()
	time.Sleep(ttl + 2*pollInterval) // the first lease has run out, and the leader looks at the leases
	if got := phase(); got != catalog.Serving {
		t.Errorf("while the registration is under way its endpoint is %s", got)
	}
	o.replica.noteRegistration("a")
	o.replica.expiryOrder.RUnlock()
	time.Sleep(ttl / 2)
	if got := phase(); got != catalog.Serving {
		t.Errorf("after its registration the endpoint is %s", got)
	}
	eventually(t, "the end of a lease that nobody renews", func() bool { return phase() == catalog.Draining })
}
