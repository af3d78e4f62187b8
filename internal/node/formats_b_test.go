package node

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"starlingusher/choice"
	"starlingusher/internal/golden"
)

// The two processes of a handover may be of different builds, so every field of their messages keeps its name, and
// fields without omitempty are written as null, false or zero.
func TestHandoverMessageFormat(t *testing.T) {
	var filled handoverMessage
	golden.Fill(&filled)
	empty := handoverMessage{State: &handoverState{}, Outcome: &callOutcome{Attempts: []outstandingAttempt{{}}, PerItem: []itemOutcome{{}}}, Request: &forwardedRequest{}, Command: &forwardedCommand{}, Answer: &forwardedAnswer{}}
	for name, m := range map[string]handoverMessage{"handover_filled_next_seq.json": filled, "handover_empty.json": empty, "handover_null.json": {}} {
		encoded, err := json.MarshalIndent(m, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		var decoded handoverMessage
		if err := json.Unmarshal(golden.Check(t, name, encoded), &decoded); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(decoded, m) {
			t.Errorf("%s decodes to %+v, want %+v", name, decoded, m)
		}
	}
}

// A build without handoverState.Timestamp sends the time by the wall clock alone.
func TestHandoverMessageWithoutTimestamp(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "formats", "handover_filled.json"))
	if err != nil {
		t.Fatal(err)
	}
	var decoded handoverMessage
	if err := json.Unmarshal(raw, &decoded); err != nil {
		t.Fatal(err)
	}
	if s := decoded.State; s == nil || s.At.IsZero() || s.Clock == 0 || !s.Timestamp.IsZero() || len(s.Outstanding) != 2 {
		t.Errorf("decoded %+v", decoded.State)
	}
}

// A build without handoverState.NextSeq sends the timestamp, but not the number of the next message.
func TestHandoverMessageWithoutNextSeq(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "formats", "handover_filled_timestamp.json"))
	if err != nil {
		t.Fatal(err)
	}
	var decoded handoverMessage
	if err := json.Unmarshal(raw, &decoded); err != nil {
		t.Fatal(err)
	}
	if s := decoded.State; s == nil || s.Timestamp.IsZero() || s.NextSeq != 0 || len(s.Outstanding) != 2 {
		t.Errorf("decoded %+v", decoded.State)
	}
}

// The request line, headers and body of a call with one message and of a batch.
func TestRequestFormat(t *testing.T) {
	var items []item
	golden.Fill(&items)
	for name, messages := range map[string][]item{"call_single.http": items[:1], "call_batch.http": items} {
		encoded, err := encodeRequest(call{items: messages, endpoint: newTestEndpoint("192.0.2.1:8080"), deadline: time.Unix(1, 0)})
		if err != nil {
			t.Fatal(err)
		}
		want := golden.Check(t, name, encoded)
		if len(messages) == 1 {
			continue
		}
		_, body, _ := bytes.Cut(want, []byte("\r\n\r\n"))
		var decoded []item
		if err := json.Unmarshal(body, &decoded); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(decoded, messages) {
			t.Errorf("the batch decodes to %+v, want %+v", decoded, messages)
		}
	}
}

// Each state that the answer to a batch may give a message.
func TestBatchAnswerFormat(t *testing.T) {
	want := map[string]itemResult{
		"accepted": {choice.Success, true, false}, "fault": {choice.ServerError, false, false}, "deferred": {choice.Rejected, false, false},
		"expired": {choice.Stale, true, false}, "no_more": {choice.Stale, false, false},
	}
	if !reflect.DeepEqual(batchStates, want) {
		t.Errorf("got %+v, want %+v", batchStates, want)
	}
}

// The file that ROUTER_FLEET names, with every setting.
func TestFleetFileFormat(t *testing.T) {
	const text = "[registry]\naddresses = [\"a:1\", \"b:2\"]\nkeep_kb = 3\n[ownership]\nname = \"n\"\nowners = 4\n"
	path := filepath.Join(t.TempDir(), "fleet.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := LoadFleet(path)
	if err != nil {
		t.Fatal(err)
	}
	var want Fleet
	want.Registry.Addresses, want.Registry.KeepKB = []string{"a:1", "b:2"}, 3
	want.Ownership = &Ownership{Name: "n", Owners: 4}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
