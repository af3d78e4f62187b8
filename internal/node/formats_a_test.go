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
	accepted := func(seq uint64, tenant int) *pendingMessage {
		return &pendingMessage{
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
		outcomeRecord(recordNotRun, 1, 0),
		outcomeRecord(recordFailed, 1, 1),
		outcomeRecord(recordRejected, 1, 2),
		acceptedRecord(accepted(2, -1)),
		finalRecord(2, finalAnswer{failed: true}),
		acceptedRecord(accepted(300, 0)),
		finalRecord(300, finalAnswer{retryAfter: 1500 * time.Millisecond}),
		acceptedRecord(accepted(4, 0)),
		newRecord(recordDone, 4),
		endpointRecord(recordListed, "e1", at),
		endpointRecord(recordDisabled, "e1", at),
		endpointRecord(recordListed, "e2", at),
		endpointRecord(recordDisabled, "e2", at),
		endpointRecord(recordEnabled, "e2", at),
	} {
		raw = appendRecord(raw, payload)
	}
	file := golden.Check(t, "journal.bin", raw)

	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "journal"), file, 0o600); err != nil {
		t.Fatal(err)
	}
	j := openTestJournal(t, dir, 3)
	withAttempts, failed, returned := accepted(1, 2), accepted(2, -1), accepted(300, 0)
	withAttempts.attempts = []pastAttempt{
		{sentAt: at, zone: 3, notRun: true, failed: true},
		{sentAt: at.Add(time.Second), zone: -5, failed: true},
		{sentAt: at.Add(2 * time.Second), notRun: true},
		{sentAt: at.Add(3 * time.Second), zone: 1},
	}
	failed.body, failed.final = nil, &finalAnswer{failed: true}
	returned.body, returned.final = nil, &finalAnswer{retryAfter: 1500 * time.Millisecond}
	checkLive(t, j.live, map[uint64]*pendingMessage{1: withAttempts, 2: failed, 300: returned})
	if j.corruption != "" || j.nextSeq != 301 {
		t.Errorf("corruption %q, next number %d, want 301", j.corruption, j.nextSeq)
	}
	if want := map[string]bool{"e1": true, "e2": false}; !reflect.DeepEqual(j.disabled, want) || !j.enabledAt["e2"].Equal(at) {
		t.Errorf("disabled endpoints %v, want %v; e2 enabled at %v, want %v", j.disabled, want, j.enabledAt["e2"], at)
	}
}

// The record of the clock gives later processes of the same boot the base of the timestamps. To an older build it
// is the record of an endpoint that can't be read, which is skipped.
func TestJournalClockFormat(t *testing.T) {
	base := clockBase{bootID: "5cba995d-7b5f-4099-8776-ea89bc34c8b2", offset: 1_700_000_000_123_456 * time.Microsecond}
	file := golden.Check(t, "journal_clock.bin", appendRecord(nil, clockRecord(base)))
	payload := recordPayload(file)
	j := &journal{live: map[uint64]*pendingMessage{}}
	j.apply(payload)
	if j.storedClockBase != base {
		t.Errorf("got %+v, want %+v", j.storedClockBase, base)
	}
	old := &payloadReader{rest: payload[1:]}
	old.uvarint()
	old.bytes()
	if !old.bad {
		t.Error("an older build reads the record as that of an endpoint")
	}
}

// An older build's record of a message ends before the tenant.
func TestJournalRecordWithoutTenant(t *testing.T) {
	m := &pendingMessage{seq: 1, id: "id", key: "key", class: 1, dest: 7, body: []byte("body"), deadline: time.UnixMicro(1)}
	payload := acceptedRecord(m)
	j := &journal{live: map[uint64]*pendingMessage{}}
	j.apply(payload[:len(payload)-1])
	m.tenant = -1
	checkLive(t, j.live, map[uint64]*pendingMessage{1: m})
}

func TestEnqueueFormat(t *testing.T) {
	names := wire.Names{Classes: []string{"status", "payout"}, Tenants: []string{"acme", "zen"}}
	at := time.UnixMicro(1_700_000_000_123_456)
	text := golden.Check(t, "enqueue.resp", []byte(enqueueCommand("id-1", "c=payout,t=zen,d=1500.5,dest=7,k=key-1", "\r\n\x00$*")))
	args, err := readCommand(bufio.NewReader(bytes.NewReader(text)))
	if err != nil {
		t.Fatal(err)
	}
	got, err := parseEnqueue(args, names, at)
	want := request{
		id: "id-1", key: "key-1", class: 1, tenant: 1, dest: 7, ttl: 1500500 * time.Microsecond, body: []byte("\r\n\x00$*"), receivedAt: at,
	}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
}

func TestClientRepliesFormat(t *testing.T) {
	answers := map[string]answer{
		"taken": {}, "busy": {refused: true}, "busy-1ms": {refused: true, retryAfter: time.Millisecond},
		"busy-2s": {refused: true, retryAfter: 2*time.Second + 900*time.Microsecond}, "failed": {failure: "the reason"},
	}
	_, addr := serveClients(t, 100, func(q request) answer { return answers[q.id] })
	const fields = "c=notice,d=8000,dest=7"
	var replies strings.Builder
	for _, text := range []string{
		"PING\r\n", encodeCommand("ping"), encodeCommand("FLUSHALL"),
		enqueueCommand("taken", fields, "b"), enqueueCommand("busy", fields, "b"), enqueueCommand("busy-1ms", fields, "b"),
		enqueueCommand("busy-2s", fields, "b"), enqueueCommand("failed", fields, "b"),
		encodeCommand("ENQUEUE", "0000", "id"),
		enqueueCommand("a b", fields, "b"),
		enqueueCommand("id", strings.Repeat(",", maxArgSize), "b"), enqueueCommand("id", strings.Repeat(",", maxArgSize+1), "b"),
		enqueueCommand("id", "c=other,d=8000,dest=7", "b"), enqueueCommand("id", "c=notice,d=soon,dest=7", "b"),
		enqueueCommand("id", "c=notice,d=8000,dest=seven", "b"), enqueueCommand("id", "c=notice,d=8000,dest=7,k=a b", "b"),
		enqueueCommand("id", "c=notice,d=8000", "b"), enqueueCommand("id", fields, strings.Repeat("x", maxBody+1)),
		strings.Repeat("\r\n", maxEmptyCommands), "*x\r\n", "*1\r\n:4\r\n", "*1\r\n$x\r\n", "*1\r\n$2000000\r\n",
		"*1\r\n$3\r\nPINGPONG\r\n", strings.Repeat("y", maxLine+1) + "\r\n", "*5\r\n$7\r\nENQ",
	} {
		fmt.Fprintf(&replies, "%.80q %q\n", text, roundTrip(t, addr, text))
	}
	golden.Check(t, "client-replies.txt", []byte(replies.String()))
}

func TestNoticeFormat(t *testing.T) {
	var lines []byte
	want := []notice{{ID: "a", State: "failed"}, {ID: "b", State: "returned", AfterMS: 1500}, {ID: "c", State: "returned"}}
	for _, m := range []*pendingMessage{
		{id: "a", final: &finalAnswer{failed: true, retryAfter: time.Second}},
		{id: "b", final: &finalAnswer{retryAfter: 1500 * time.Millisecond}},
		{id: "c", final: &finalAnswer{}},
	} {
		line, err := json.Marshal(newNotice(m))
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
	f := newMetrics([]string{"status", "payout"})
	value := int64(0)
	next := func() int64 { value++; return value }
	for class := range 2 {
		f.ok[class].Store(next())
		f.shed[class].Store(next())
		f.errors[class].Store(next())
		f.tries[class].Store(next())
	}
	f.activeMessages.Store(next())
	f.listedEndpoints.Store(next())
	f.avoidedEndpoints.Store(next())
	var b bytes.Buffer
	f.write(&b)
	golden.Check(t, "metrics.txt", b.Bytes())

	followed := &followedPartitions{mapNumber: 12, lingering: []lingeringPartitions{{until: time.Now().Add(time.Hour)}}}
	for partition := range 3 {
		followed.owned.Add(partition)
		followed.lingering[0].set.Add(partition)
	}
	followed.lingering[0].set.Add(ownership.PartitionCount - 1)
	f.ownership.Store(followed)
	f.notOwned.Store(13)
	b.Reset()
	f.write(&b)
	golden.Check(t, "metrics-ownership.txt", b.Bytes())
}

func TestOperatorAnswersFormat(t *testing.T) {
	a := &Admin{metrics: newMetrics([]string{"status"})}
	n := &Node{commands: make(chan endpointCommand)}
	go func() {
		for o := range n.commands {
			switch o.id {
			case "unknown":
				o.reply <- ErrUnknownEndpoint
			case "late": // gets no reply
			default:
				o.reply <- nil
			}
		}
	}()
	defer close(n.commands)
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
	a.SetNode(n)
	call("at the start", "GET", "/-/ready")
	n.stage.Store(stageServing)
	call("without endpoints", "GET", "/-/ready")
	n.metrics.listedEndpoints.Store(1)
	call("in service", "GET", "/-/ready")
	for _, id := range []string{"e", "unknown", "late"} {
		call("in service", "POST", "/-/endpoints/"+id+"/disable")
		call("in service", "POST", "/-/endpoints/"+id+"/enable")
	}
	call("in service", "GET", "/-/other")
	call("in service", "GET", "//-/ready")
	call("in service", "POST", "/-/ready")
	n.stage.Store(stageStopping)
	call("after SIGTERM", "GET", "/-/ready")
	n.stage.Store(stageHandedOver)
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
	want.Seed, want.Limits, want.InitialList = filled.Seed, filled.Limits, filled.InitialList
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
