package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"starlingusher/fleet/history"
	"starlingusher/fleet/partner"
	"starlingusher/internal/golden"
	"starlingusher/internal/lab/observe"
	"starlingusher/internal/lab/relay"
)

func TestJSONFormats(t *testing.T) {
	type formats struct {
		Batch []item
		Rude  RudePeerCounts
	}
	var value, got formats
	golden.Fill(&value)
	raw, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(golden.Check(t, "json.json", append(raw, '\n')), &got); err != nil || !reflect.DeepEqual(got, value) {
		t.Errorf("decoded %+v differs from %+v: %v", got, value, err)
	}
}

func TestCommandFormat(t *testing.T) {
	golden.Check(t, "enqueue.txt", encodeCommand("ENQUEUE", "0", "id", "c=order", "body"))
}

// Status codes, headers and bodies of the answers to a call with three messages, by status and retry-after.
func TestAnswerFormats(t *testing.T) {
	var b bytes.Buffer
	for _, status := range []partner.Status{partner.AboveLimit, partner.Rejected, partner.QueueFull, partner.TooManyConns, partner.Served, partner.Errored} {
		for _, retryAfter := range []time.Duration{0, 1500 * time.Millisecond} {
			e := &Endpoint{partner: &Partner{log: observe.NewLog()}}
			w := httptest.NewRecorder()
			answer := partner.Answer{Status: status, RetryAfter: retryAfter, Outcomes: []partner.Outcome{partner.Accepted, partner.Failed, partner.Deferred}}
			e.sendAnswer(w, &serverConn{relayed: &relay.Connection{}}, []item{{ID: "a"}, {ID: "b"}, {ID: "c"}}, answer, history.Event{})
			ended := e.partner.log.Events()[0]
			fmt.Fprintf(&b, "%s %v: %d %v %s %v\n", ended.State, retryAfter, w.Code, w.Header(), bytes.TrimSpace(w.Body.Bytes()), ended.Outcomes)
		}
	}
	golden.Check(t, "answers.txt", b.Bytes())
}

func TestNoticeFormat(t *testing.T) {
	type received struct {
		id, state string
		after     time.Duration
	}
	var got []received
	p := NewPlatform(1, 0, 0, 1, observe.NewLog(), func(_ int, id, state string, after time.Duration) { got = append(got, received{id, state, after}) })
	defer p.Close()
	body := `{"id":"a","state":"failed"}` + "\n" + `{"id":"b","state":"returned","after_ms":1.5}` + "\n"
	if !p.Agent(0).recordNotices([]byte(body)) {
		t.Fatal("notices were not read")
	}
	if want := []received{{"a", history.Failed, 0}, {"b", history.Returned, 1500 * time.Microsecond}}; !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
