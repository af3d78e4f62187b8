package node

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"starlingusher/choice"
)

// batchEndpoint holds every call until the test answers it, and counts the calls with each message.
type batchEndpoint struct {
	*fakeEndpoint
	mu      sync.Mutex
	carried map[string]int // number of calls by message ID, of those that are in ids
	ids     []string
	arrived chan heldCall
}

// heldCall is a call that waits for its answer.
type heldCall struct {
	messages []string
	answer   chan string
}

func newBatchEndpoint(t *testing.T, ids ...string) *batchEndpoint {
	b := &batchEndpoint{carried: map[string]int{}, ids: ids, arrived: make(chan heldCall, 100)}
	b.fakeEndpoint = newFakeEndpoint(t, nil)
	bodies := make(chan []byte, 100)
	b.read = func(body []byte) { bodies <- body }
	b.serve = func(nc net.Conn, req *http.Request) bool {
		call := heldCall{messages: b.count(req.Header.Get("X-Trace-Id"), <-bodies), answer: make(chan string, 1)}
		b.arrived <- call
		select {
		case text := <-call.answer:
			_, err := io.WriteString(nc, text)
			return err == nil
		case <-t.Context().Done():
			return false
		}
	}
	return b
}

// count returns the messages of a call and counts them.
func (b *batchEndpoint) count(single string, body []byte) (messages []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range b.ids {
		if id == single || bytes.Contains(body, []byte(`"id":"`+id+`"`)) {
			messages = append(messages, id)
			b.carried[id]++
		}
	}
	return messages
}

func (b *batchEndpoint) calls(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.carried[id]
}

func (b *batchEndpoint) nextCall(t *testing.T) heldCall {
	t.Helper()
	select {
	case call := <-b.arrived:
		return call
	case <-time.After(testTimeout):
		t.Fatal("no call has come")
		return heldCall{}
	}
}

// accept answers that all messages of the call are delivered.
func (call heldCall) accept() {
	if len(call.messages) == 1 {
		call.answer <- okResponse
		return
	}
	var items []string
	for _, id := range call.messages {
		items = append(items, `{"id":"`+id+`","state":"accepted"}`)
	}
	body := "[" + strings.Join(items, ",") + "]"
	call.answer <- "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// acceptArrived accepts the calls that have arrived.
func (b *batchEndpoint) acceptArrived() {
	for {
		select {
		case call := <-b.arrived:
			call.accept()
		default:
			return
		}
	}
}

// A call of the predecessor carries messages that have ended since, and a compaction has left them out of the journal. Its
// outcome is not taken for that of a new message of the successor. It guards against payouts that run twice after an
// upgrade, and against the panic at the end of the new message's own call.
func TestPredecessorsOutcomeIsNotANewMessages(t *testing.T) {
	t.Parallel()
	partner := newBatchEndpoint(t, "first", "held", "over1", "over2", "new1", "new2")
	sound := newFakeEndpoint(t, func(nc net.Conn, _ *http.Request) bool { _, err := io.WriteString(nc, okResponse); return err == nil })
	r, state := newFakeRegistry(t), t.TempDir()
	slow := strings.Replace(memberJSON("e", partner.addr(), 7, "SERVING"), `"size":1000`, `"size":5`, 1)
	known := []string{slow, memberJSON("sound", sound.addr(), 8, "SERVING")}
	settings := func(cfg *Config) {
		cfg.Settings.MaxOpen, cfg.Settings.Kinds = 100, []choice.Kind{{MaxBatch: 10}}
	}
	predecessor := startConfiguredProcess(t, r, state, "", settings, known...)
	submit := func(p *nodeProcess, id, fields string, size int) {
		t.Helper()
		mustAnswer(t, p.addr, enqueueCommand(id, fields, string(make([]byte, size))), "+OK")
	}
	submit(predecessor, "first", payoutFields, maxBody-4000) // so large that the journal is compacted only when others have ended
	first := partner.nextCall(t)
	// By its weight the partner gets the next call only later, so that these travel together.
	submit(predecessor, "held", payoutFields, 1)
	submit(predecessor, "over1", "c=status,d=1500,dest=7", 1)
	submit(predecessor, "over2", "c=status,d=1500,dest=7", 1)
	together := partner.nextCall(t)
	if len(together.messages) != 3 {
		t.Fatalf("the call carries %v", together.messages)
	}
	for _, id := range []string{"over1", "over2"} {
		eventually(t, "the end of "+id, func() bool { return r.noticeState(id) == "returned" })
	}
	journalSize := func() int64 {
		info, err := os.Stat(filepath.Join(state, journalName))
		if err != nil {
			t.Fatal(err)
		}
		return info.Size()
	}
	for i, compacted := 0, false; !compacted; i++ {
		before := journalSize()
		submit(predecessor, "large"+itoa(i), "c=status,d=50000,dest=8", maxBody-1000)
		eventually(t, "its delivery", func() bool { return predecessor.node.metrics.ok[0].Load() == int64(i+1) })
		if err := predecessor.node.SetEndpointEnabled(t.Context(), "sound", true); err != nil { // answered after the record of the end
			t.Fatal(err)
		}
		compacted = journalSize() < before
	}

	successor := startConfiguredProcess(t, r, state, predecessor.addr, settings, known...)
	submit(successor, "new1", payoutFields, 1)
	own := partner.nextCall(t)
	submit(successor, "new2", payoutFields, 1)
	together.answer <- "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n" // none of its messages has run
	again := partner.nextCall(t)
	if slices.Contains(again.messages, "new1") {
		t.Fatalf("the next call carries %v while the first call with new1 is out", again.messages)
	}
	first.accept()
	own.accept()
	again.accept()
	eventually(t, "the end of all payouts", func() bool {
		partner.acceptArrived()
		return successor.node.metrics.ok[2].Load() == 4
	})
	for id, want := range map[string]int{"new1": 1, "held": 2} {
		if got := partner.calls(id); got != want {
			t.Errorf("%s has been in %d calls, want %d", id, got, want)
		}
	}
	successor.cancel()
	if err := successor.wait(t); err != nil {
		t.Error(err)
	}
}

// A predecessor of an older build does not send the next number. The numbers in its state are in use all the same.
func TestNextNumberFollowsAllInAHandover(t *testing.T) {
	for _, c := range []struct {
		name  string
		state handoverState
		want  uint64
	}{
		{"told", handoverState{NextSeq: 9, Outstanding: []outstandingAttempt{{Seq: 3}}}, 9},
		{"an older build, attempts in flight", handoverState{Outstanding: []outstandingAttempt{{Seq: 3}, {Seq: 7}, {Seq: 5}}}, 8},
		{"an older build, messages of the module", handoverState{Sender: choice.Saved{Messages: []choice.SavedMessage{{ID: "4"}, {ID: "12"}}}}, 13},
		{"nothing in use", handoverState{}, 1},
	} {
		if got := c.state.nextSeq(); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

// Only the predecessor's own attempts end by its outcomes: this process may have an attempt of the same number in flight if
// the predecessor is of a build that gave a number twice.
func TestPredecessorsOutcomeNeedsItsAttempt(t *testing.T) {
	n := newIdleNode(t, memberJSON("e", "127.0.0.1:1", 7, "SERVING"))
	own := attemptKey{seq: 5}
	n.outstanding[own] = outstandingCall{message: &pendingMessage{seq: own.seq, dest: 7}, cancel: func() {}}
	events := n.predecessorCallEnded(callOutcome{Endpoint: "e", Attempts: []outstandingAttempt{{Seq: own.seq, Dest: 7}}, Outcome: choice.Rejected})
	if _, out := n.outstanding[own]; !out || len(events) != 0 {
		t.Errorf("the outcome ended this process's attempt: %+v", events)
	}
}

// The successor finds the journal damaged, so it ends every message as failed. The module, which comes with the handover, does
// not go on with any of them. It guards against attempts after the final answer, and against calls that never end for the
// module because the journal has forgotten their messages.
func TestDamagedJournalEndsHandedOverMessages(t *testing.T) {
	partner := newFakeEndpoint(t, neverAnswer)
	n := newIdleNode(t, memberJSON("e", partner.addr(), 7, "SERVING"))
	n.handleBatch(t.Context(), []any{newArrival("message", 50*time.Second)})
	partner.nextRequest(t)
	id := n.messages["message"].choiceID()
	n.journal.failAllLive() // as replay does at a damaged record
	n.predecessor = new(handoverConn)
	n.step(t.Context(), n.replayJournal(), nil)
	if n.sender.HasMessage(id) {
		t.Error("the module goes on with a message that has ended")
	}
	if len(n.owedNotices) != 1 {
		t.Errorf("%d notices are owed, want 1", len(n.owedNotices))
	}
	for _, out := range n.outstanding {
		out.cancel()
	}
	n.calls.Wait()
}
