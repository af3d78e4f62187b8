package directory

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"

	"starlingusher/fleet/catalog"
)

// checkStillServes fails the test if the replica has failed or does not take a write.
func checkStillServes(t *testing.T, o *testReplica) {
	t.Helper()
	select {
	case err := <-o.replica.Failed():
		t.Fatalf("the replica has ended: %v", err)
	default:
	}
	put(t, o, "*", endpoint("a", catalog.Serving))
}

// A request whose text is not UTF-8 is refused before it becomes a command, on every path. It guards against one request that
// ends all replicas, at each of their starts again.
func TestInvalidTextIsRefused(t *testing.T) {
	o := startReplicas(t, 1, nil)[0]
	eventually(t, "the leader", o.replica.isReadyLeader)
	checkStillServes(t, o)
	for _, c := range []struct{ method, path, body string }{
		{http.MethodPut, "/records/caf%E9", `{"holder":"h","ttl_ms":1000}`},
		{http.MethodPost, "/records/caf%E9", `{"token":1}`},
		{http.MethodDelete, "/records/caf%E9", `{"token":1}`},
		{http.MethodPut, "/registry/instances/caf%E9", `{"id":"x"}`},
		{http.MethodDelete, "/registry/instances/caf%E9", ``},
		{http.MethodPost, "/registry/instances/caf%E9/drain", ``},
		{http.MethodPut, "/registry/registrations/caf%E9", `{"member":{"id":"x","phase":"SERVING"},"ttl_ms":1000}`},
		{http.MethodPut, "/directory/members/caf%E9", `{"id":"x","http":"h","raft":"r"}`},
		{http.MethodDelete, "/directory/members/caf%E9", ``},
		{http.MethodPost, "/directory/held/1?drop=%E9", ``},
	} {
		req, err := http.NewRequestWithContext(t.Context(), c.method, "http://"+o.cfg.HTTP+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("If-Match", "*")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatalf("%s %s: %v", c.method, c.path, err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest {
			t.Errorf("%s %s: %s, want 400", c.method, c.path, resp.Status)
		}
	}
	checkStillServes(t, o)
}

// The command of such a name in the log of an older build is skipped by every replica, which serves on and can be started
// again. It guards against a log that ends all replicas at each start.
func TestUndecodableCommandIsSkipped(t *testing.T) {
	all := startReplicas(t, 3, nil)
	var leader *testReplica
	eventually(t, "the leader", func() bool {
		for _, o := range all {
			if o.replica.isReadyLeader() {
				leader = o
			}
		}
		return leader != nil
	})
	raw, err := encodeWithChecksum(commandMark, catalog.Command{Acquire: &catalog.RecordOp{Name: "caf\xe9", Holder: "h", TTL: 1000}})
	if err != nil {
		t.Fatal(err)
	}
	future := leader.replica.raftNode().Apply(raw, enqueueTimeout)
	if err := future.Error(); err != nil {
		t.Fatal(err)
	}
	if result, _ := future.Response().(catalog.Result); !errors.Is(result.Err, catalog.ErrInvalid) {
		t.Errorf("the result is %+v", future.Response())
	}
	checkStillServes(t, leader)
	for _, o := range all {
		o.stop()
		o.start()
	}
	eventually(t, "all replicas with the write after it", func() bool {
		for _, o := range all {
			if at, _ := o.replica.fsm.position(); at.revision != 1 {
				return false
			}
		}
		return true
	})
	for _, o := range all {
		select {
		case err := <-o.replica.Failed():
			t.Errorf("replica %s has ended: %v", o.cfg.ID, err)
		default:
		}
	}
}

// A command that can't be decoded by the replicas is not proposed, whatever path it comes by.
func TestUndecodableCommandIsNotProposed(t *testing.T) {
	o := startReplicas(t, 1, nil)[0]
	eventually(t, "the leader", o.replica.isReadyLeader)
	before := o.replica.raftNode().LastIndex()
	result, err := o.replica.propose(catalog.Command{By: "\xff", Release: &catalog.RecordOp{Name: "r"}})
	if err != nil || !errors.Is(result.Err, catalog.ErrInvalid) {
		t.Errorf("got %+v, %v", result, err)
	}
	if after := o.replica.raftNode().LastIndex(); after != before {
		t.Errorf("the log has grown from %d to %d entries", before, after)
	}
}

// newBareFSM returns a state machine that belongs to no replica.
func newBareFSM(t *testing.T) *fsm {
	f := newFSM(1<<20, func(err error) { t.Logf("failed: %v", err) }, func(error) {})
	raw, err := encodeCommand(catalog.Command{At: 1, Bootstrap: &catalog.Bootstrap{}})
	if err != nil {
		t.Fatal(err)
	}
	f.Apply(&raft.Log{Index: 1, Data: raw})
	return f
}

// image returns the state of a state machine.
func (f *fsm) image() (image catalog.Image) {
	f.view(func(s *catalog.State) { image = s.Image() })
	return image
}

// canonical encodes a state with sorted maps.
func canonical(t *testing.T, image catalog.Image) []byte {
	t.Helper()
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		t.Fatal(err)
	}
	raw, err := mode.Marshal(image)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Any bytes in the log, with a correct checksum or not, leave all replicas with the same state: one that applies them, one
// that applies them again from its log, and one that starts from a snapshot. A backup of the state can be restored.
func FuzzCommandBytes(f *testing.F) {
	for _, c := range []catalog.Command{
		{Write: &catalog.Write{Base: catalog.Base{Any: true}, Members: []catalog.Endpoint{endpoint("a", catalog.Serving)}, TTL: 1000, GuardShare: 0.5}},
		{Write: &catalog.Write{Base: catalog.Base{Any: true}, Replace: true}},
		{Acquire: &catalog.RecordOp{Name: "r", Holder: "h", TTL: 1000, Value: []byte("v"), SetValue: true}},
		{Acquire: &catalog.RecordOp{Name: "caf\xe9", Holder: "h"}},
		{Expire: &catalog.Expiry{Drain: []string{"a"}, MaxShare: 1}},
		{Confirm: &catalog.Confirm{Number: 1}},
		{Restore: &catalog.Image{History: 1 << 62, Revision: 3}},
		{AddReplica: &catalog.Replica{ID: "d"}},
		{},
	} {
		raw, err := encodeWithChecksum(commandMark, c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw[checksumHeaderBytes:], true)
	}
	f.Add([]byte("x"), false)
	f.Fuzz(func(t *testing.T, body []byte, intact bool) {
		raw := body
		if intact {
			raw = withChecksum(commandMark, body)
		}
		entries := [][]byte{raw, raw}
		before, err := encodeCommand(catalog.Command{At: 2, Write: &catalog.Write{Base: catalog.Base{Any: true}, Members: []catalog.Endpoint{endpoint("a", catalog.Serving), endpoint("b", catalog.Serving)}}})
		if err != nil {
			t.Fatal(err)
		}
		first, second := newBareFSM(t), newBareFSM(t)
		for i, entry := range append([][]byte{before}, entries...) {
			one, _ := first.Apply(&raft.Log{Index: uint64(i + 2), Data: entry}).(catalog.Result)
			two, _ := second.Apply(&raft.Log{Index: uint64(i + 2), Data: entry}).(catalog.Result)
			if fmt.Sprint(one) != fmt.Sprint(two) {
				t.Fatalf("the results differ: %v and %v", one, two)
			}
		}
		if !reflect.DeepEqual(first.image(), second.image()) {
			t.Fatalf("the states differ: %+v and %+v", first.image(), second.image())
		}
		backup, err := EncodeBackup(first.image())
		if err != nil {
			t.Fatal(err)
		}
		image, err := DecodeBackup(bytes.NewReader(backup))
		if err != nil {
			t.Fatalf("the backup can't be read: %v", err)
		}
		if !bytes.Equal(canonical(t, image), canonical(t, first.image())) {
			t.Fatalf("the state of the backup differs: %+v and %+v", image, first.image())
		}
	})
}

// Any request that a handler takes leaves a replica that serves on, and a state whose backup can be restored.
func FuzzRequestsKeepStateReadable(f *testing.F) {
	r, s := startFuzzedReplica(f)
	for _, path := range []string{"/registry/instances", "/registry/instances/a", "/registry/instances/a/drain", "/registry/registrations/a", "/registry/renewals",
		"/records/r", "/records/caf%E9", "/directory/restore", "/directory/held/1", "/directory/members/d", "/reports"} {
		for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodDelete} {
			f.Add(method, path, "*", "", []byte(`{"holder":"h","ttl_ms":1000,"value":"eA=="}`))
		}
	}
	member := `{"id":"a","host_port":"10.0.0.1:80","locality":"a","flavor":"k","cell":1,"phase":"SERVING","size":1,"up_since_ms":0}`
	f.Add(http.MethodPut, "/registry/instances/a", "*", "why\xff", []byte(member))
	f.Add(http.MethodPost, "/registry/instances", "1.1", "", []byte(`{"members":[`+member+`]}`))
	f.Add(http.MethodPut, "/registry/registrations/a", "", "", []byte(`{"member":`+member+`,"ttl_ms":1000}`))
	f.Fuzz(func(t *testing.T, method, path, match, reason string, body []byte) {
		req, err := http.NewRequestWithContext(t.Context(), method, "http://directory"+path, bytes.NewReader(body))
		if err != nil || !strings.HasPrefix(path, "/") || method == http.MethodGet || method == "" {
			t.Skip()
		}
		req.Header.Set("If-Match", match)
		req.Header.Set("Registry-Why", reason)
		req.Header.Set("Registry-By", reason)
		s.http.Handler.ServeHTTP(httptest.NewRecorder(), req)
		select {
		case err := <-r.Failed():
			t.Fatalf("%s %s ends the replica: %v", method, path, err)
		default:
		}
		backup, err := EncodeBackup(r.fsm.image())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeBackup(bytes.NewReader(backup)); err != nil {
			t.Fatalf("after %s %s the backup can't be read: %v", method, path, err)
		}
	})
}
