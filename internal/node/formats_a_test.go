package node

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"starlingusher/fleet/ownership"
	"starlingusher/internal/golden"
	"starlingusher/internal/wire"
)

// The tests in this file pin the formats that leave the process: the journal's records, the clients' protocol, the
// notices, the metrics, the operators' answers and the configuration. Other programs and earlier builds read them.

func TestJournalFormat(t *testing.T) {
	at := time.UnixMicro(1_700_000_000_123_456)
	accepted := func(seq uint64, tenant int) *past {
		return &past{
			seq: seq, id: "id-" + itoa(int(seq)), key: "key-" + itoa(int(seq)), class: 1, tenant: tenant, dest: 300,
			body: []byte("body\x00\xff"), deadline: at.Add(time.Minute),
		}
	}
	var raw []byte
	for _, payload := range [][]byte{
		acceptedRecord(accepted(1, 2)),
		attemptRecord(1, at, 3),
		attemptRecord(1, at.Add(time.Second), -5), // of a zone that has no number
		attemptRecord(1, at.Add(2*time.Second), 0),
		attemptRecord(1, at.Add(3*time.Second), 1),
		outcomeRecord(recNotRun, 1, 0),
		outcomeRecord(recFailed, 1, 1),
		outcomeRecord(recTurnedAway, 1, 2),
		acceptedRecord(accepted(2, -1)),
		endedRecord(2, ending{failed: true}),
		acceptedRecord(accepted(300, 0)),
		endedRecord(300, ending{after: 1500 * time.Millisecond}),
		acceptedRecord(accepted(4, 0)),
		record(recOver, 4),
		endpointRecord(recListed, "e1", at),
		endpointRecord(recBarred, "e1", at),
		endpointRecord(recListed, "e2", at),
		endpointRecord(recBarred, "e2", at),
		endpointRecord(recLifted, "e2", at),
	} {
		raw = appendRecord(raw, payload)
	}
	file := golden.Check(t, "journal.bin", raw)

	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "journal"), file, 0o600); err != nil {
		t.Fatal(err)
	}
	j := openTest(t, dir, 3)
	withAttempts, failed, returned := accepted(1, 2), accepted(2, -1), accepted(300, 0)
	withAttempts.sends = []pastSend{
		{at: at, zone: 3, notRun: true, failed: true},
		{at: at.Add(time.Second), zone: -5, failed: true},
		{at: at.Add(2 * time.Second), notRun: true},
		{at: at.Add(3 * time.Second), zone: 1},
	}
	failed.body, failed.ended = nil, &ending{failed: true}
	returned.body, returned.ended = nil, &ending{after: 1500 * time.Millisecond}
	sameLive(t, j.live, map[uint64]*past{1: withAttempts, 2: failed, 300: returned})
	if j.spoilt != "" || j.next != 301 {
		t.Errorf("spoilt %q, next number %d, want 301", j.spoilt, j.next)
	}
	if want := map[string]bool{"e1": true, "e2": false}; !reflect.DeepEqual(j.barred, want) || !j.lifted["e2"].Equal(at) {
		t.Errorf("endpoints %v, want %v; e2 serves again since %v, want %v", j.barred, want, j.lifted["e2"], at)
	}
}

// An older build's record of a message ends before the tenant.
func TestJournalRecordWithoutTenant(t *testing.T) {
	p := &past{seq: 1, id: "id", key: "key", class: 1, dest: 7, body: []byte("body"), deadline: time.UnixMicro(1)}
	payload := acceptedRecord(p)
	j := &journal{live: map[uint64]*past{}}
	j.apply(payload[:len(payload)-1])
	p.tenant = -1
	sameLive(t, j.live, map[uint64]*past{1: p})
}

func TestEnqueueFormat(t *testing.T) {
	names := wire.Names{Classes: []string{"status", "payout"}, Tenants: []string{"acme", "zen"}}
	at := time.UnixMicro(1_700_000_000_123_456)
	text := golden.Check(t, "enqueue.resp", []byte(enqueue("id-1", "c=payout,t=zen,d=1500.5,dest=7,k=key-1", "\r\n\x00$*")))
	args, err := readCommand(bufio.NewReader(bytes.NewReader(text)))
	if err != nil {
		t.Fatal(err)
	}
	got, err := parseEnqueue(args, names, at)
	want := request{
		id: "id-1", key: "key-1", class: 1, tenant: 1, dest: 7, life: 1500500 * time.Microsecond, body: []byte("\r\n\x00$*"), came: at,
	}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
}

func TestClientRepliesFormat(t *testing.T) {
	answers := map[string]answer{
		"taken": {}, "busy": {refused: true}, "busy-1ms": {refused: true, after: time.Millisecond},
		"busy-2s": {refused: true, after: 2*time.Second + 900*time.Microsecond}, "failed": {failed: "the reason"},
	}
	_, addr := serveTest(t, 100, func(q request) answer { return answers[q.id] })
	const fields = "c=notice,d=8000,dest=7"
	var replies strings.Builder
	for _, text := range []string{
		"PING\r\n", resp("ping"), resp("FLUSHALL"),
		enqueue("taken", fields, "b"), enqueue("busy", fields, "b"), enqueue("busy-1ms", fields, "b"),
		enqueue("busy-2s", fields, "b"), enqueue("failed", fields, "b"),
		resp("ENQUEUE", "0000", "id"),
		enqueue("a b", fields, "b"),
		enqueue("id", strings.Repeat(",", maxWord), "b"), enqueue("id", strings.Repeat(",", maxWord+1), "b"),
		enqueue("id", "c=other,d=8000,dest=7", "b"), enqueue("id", "c=notice,d=soon,dest=7", "b"),
		enqueue("id", "c=notice,d=8000,dest=seven", "b"), enqueue("id", "c=notice,d=8000,dest=7,k=a b", "b"),
		enqueue("id", "c=notice,d=8000", "b"), enqueue("id", fields, strings.Repeat("x", maxBody+1)),
		strings.Repeat("\r\n", maxEmpty), "*x\r\n", "*1\r\n:4\r\n", "*1\r\n$x\r\n", "*1\r\n$2000000\r\n",
		"*1\r\n$3\r\nPINGPONG\r\n", strings.Repeat("y", maxLine+1) + "\r\n", "*5\r\n$7\r\nENQ",
	} {
		fmt.Fprintf(&replies, "%.80q %q\n", text, ask(t, addr, text))
	}
	golden.Check(t, "client-replies.txt", []byte(replies.String()))
}

func TestNoticeFormat(t *testing.T) {
	var lines []byte
	want := []notice{{ID: "a", State: "failed"}, {ID: "b", State: "returned", AfterMS: 1500}, {ID: "c", State: "returned"}}
	for _, p := range []*past{
		{id: "a", ended: &ending{failed: true, after: time.Second}},
		{id: "b", ended: &ending{after: 1500 * time.Millisecond}},
		{id: "c", ended: &ending{}},
	} {
		line, err := json.Marshal(newNotice(p))
		if err != nil {
			t.Fatal(err)
		}
		lines = append(append(lines, line...), '\n')
	}
	var got []notice
	for line := range bytes.Lines(golden.Check(t, "notices.jsonl", lines)) {
		var n notice
		if err := json.Unmarshal(line, &n); err != nil {
			t.Fatal(err)
		}
		got = append(got, n)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestMetricsFormat(t *testing.T) {
	f := newFigures([]string{"status", "payout"})
	value := int64(0)
	next := func() int64 { value++; return value }
	for class := range 2 {
		f.ok[class].Store(next())
		f.shed[class].Store(next())
		f.errors[class].Store(next())
		f.tries[class].Store(next())
	}
	f.active.Store(next())
	f.listed.Store(next())
	f.avoided.Store(next())
	var b bytes.Buffer
	f.write(&b)
	golden.Check(t, "metrics.txt", b.Bytes())

	followed := &followedPartitions{mapNumber: 12, lost: []lost{{until: time.Now().Add(time.Hour)}}}
	for partition := range 3 {
		followed.owned.Add(partition)
		followed.lost[0].set.Add(partition)
	}
	followed.lost[0].set.Add(ownership.PartitionCount - 1)
	f.share.Store(followed)
	f.notOwned.Store(13)
	b.Reset()
	f.write(&b)
	golden.Check(t, "metrics-ownership.txt", b.Bytes())
}

func TestOperatorAnswersFormat(t *testing.T) {
	a := &Admin{figures: newFigures([]string{"status"})}
	n := &Node{orders: make(chan order)}
	go func() {
		for o := range n.orders {
			switch o.id {
			case "unknown":
				o.reply <- ErrUnknownEndpoint
			case "late": // gets no reply
			default:
				o.reply <- nil
			}
		}
	}()
	defer close(n.orders)
	handler := a.handler()
	var answers strings.Builder
	call := func(when, method, target string) {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(method, target, nil))
		fmt.Fprintf(&answers, "%s: %s %s: %d %s %q\n", when, method, target, w.Code, w.Header().Get("Content-Type"), w.Body)
	}
	call("without a node", "GET", "/-/ready")
	call("without a node", "GET", "/-/metrics")
	call("without a node", "POST", "/-/endpoints/e/disable")
	a.Serve(n)
	call("at the start", "GET", "/-/ready")
	n.stage.Store(inService)
	call("without endpoints", "GET", "/-/ready")
	n.figures.listed.Store(1)
	call("in service", "GET", "/-/ready")
	for _, id := range []string{"e", "unknown", "late"} {
		call("in service", "POST", "/-/endpoints/"+id+"/disable")
		call("in service", "POST", "/-/endpoints/"+id+"/enable")
	}
	call("in service", "GET", "/-/other")
	call("in service", "GET", "//-/ready")
	call("in service", "POST", "/-/ready")
	n.stage.Store(leaving)
	call("after SIGTERM", "GET", "/-/ready")
	n.stage.Store(handedOver)
	call("after a handover", "GET", "/-/ready")
	golden.Check(t, "operator-answers.txt", []byte(answers.String()))
}

func TestConfigFormat(t *testing.T) {
	var filled, want Config
	golden.Fill(&filled)
	raw, err := json.MarshalIndent(filled, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	file := golden.Check(t, "config.json", raw)

	want.Name, want.Listen, want.Discovery, want.AdminAddr = filled.Name, filled.Listen, filled.Discovery, filled.AdminAddr
	want.Seed, want.Limits, want.Known = filled.Seed, filled.Limits, filled.Known
	var got Config
	if err := json.Unmarshal(file, &got); err != nil {
		t.Fatal(err)
	}
	var settings bytes.Buffer
	if err := json.Compact(&settings, got.RawSettings); err != nil || settings.String() != string(filled.RawSettings) {
		t.Errorf("got the settings %s, %v, want %s", got.RawSettings, err, filled.RawSettings)
	}
	got.RawSettings = nil
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
