package directory

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"

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
