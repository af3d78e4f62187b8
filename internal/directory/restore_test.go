package directory

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"starlingusher/fleet/catalog"
)

// A lease that stands over a restore stays with its holder. It guards against two holders of one lease.
func TestRestoreGivesNoLeaseTwice(t *testing.T) {
	o := startReplicas(t, 1, nil)[0]
	eventually(t, "the leader", o.replica.isReadyLeader)
	put(t, o, "*", endpoint("a", catalog.Serving))
	op := o.operator()
	acquire := func(holder string) (token int64, err error) {
		raw, _, err := op.Do(t.Context(), http.MethodPut, "/records/r", "", []byte(`{"holder":"`+holder+`","ttl_ms":60000}`))
		if err != nil {
			return 0, err
		}
		var granted struct{ Token int64 }
		return granted.Token, json.Unmarshal(raw, &granted)
	}
	backup, _, err := op.Do(t.Context(), http.MethodGet, "/directory/backup?fresh=1", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	token, err := acquire("holder")
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := op.Do(t.Context(), http.MethodPost, "/directory/restore", "", backup); err != nil {
		t.Fatal(err)
	}
	if _, err := acquire("rival"); !errors.Is(err, catalog.ErrNotHolder) {
		t.Errorf("the rival's request: %v", err)
	}
	unknown, err := o.replica.renewLeases(nil, []catalog.RecordOp{{Name: "r", Token: token}})
	if err != nil || len(unknown) != 0 {
		t.Errorf("the holder's renewal: unknown %v, %v", unknown, err)
	}
	again, err := acquire("holder")
	if err != nil || again <= token {
		t.Errorf("the holder's next token is %d after %d, %v", again, token, err)
	}
}

// A directory that follows the platform's discovery has that one's list again after a restore. It guards against a backup's
// list that stays until the source has a change.
func TestRestoreWhileFollowing(t *testing.T) {
	const member = `{"id":"%s","host_port":"h:1","locality":"a","flavor":"k","cell":3,"phase":"SERVING","size":1}`
	var revision atomic.Int64
	revision.Store(1)
	source := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		for { // heartbeats, and the complete list at the beginning and when it changes
			at := revision.Load()
			fmt.Fprintf(w, `{"revision":%d,"complete":true,"members":[`+member+`,`+member+`]}`+"\n", at, "stays", fmt.Sprint("e", at))
			for revision.Load() == at {
				fmt.Fprintln(w)
				w.(http.Flusher).Flush()
				select {
				case <-req.Context().Done():
					return
				case <-time.After(10 * time.Millisecond):
				}
			}
		}
	}))
	defer source.Close()
	o := startReplicas(t, 1, func(c *Config) { c.Source.Discovery, c.Guard.MaxRemovedShare = source.Listener.Addr().String(), 1 })[0]
	defer o.stop() // before the source
	lists := func(id string) func() bool {
		return func() (listed bool) {
			o.replica.fsm.view(func(s *catalog.State) { _, listed = s.Entry(id) })
			return listed
		}
	}
	eventually(t, "the first list", lists("e1"))
	op := o.operator()
	backup, _, err := op.Do(t.Context(), http.MethodGet, "/directory/backup?fresh=1", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	revision.Store(2)
	eventually(t, "the second list", lists("e2"))
	if _, _, err := op.Do(t.Context(), http.MethodPost, "/directory/restore", "", backup); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the source's list after the restore", lists("e2"))
}
