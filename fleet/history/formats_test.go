package history

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"

	"starlingusher/internal/golden"
)

func TestEventFormat(t *testing.T) {
	events := make([]Event, 1)
	golden.Fill(&events[0])
	var b bytes.Buffer
	if err := Write(&b, events); err != nil {
		t.Fatal(err)
	}
	got, err := Read(bytes.NewReader(golden.Check(t, "events.jsonl", b.Bytes())))
	if err != nil || !reflect.DeepEqual(got, events) {
		t.Errorf("decoded events %+v differ from %+v: %v", got, events, err)
	}
}

func TestNames(t *testing.T) {
	var b bytes.Buffer
	for _, kind := range []Kind{
		Submitted, Answered, CallStarted, CallEnded, Executed, Connected, ConnectFailed, NoticeReceived, ChangeAnnounced, Started, Ready, TermSent, Killed, Stopped, Resumed, Exited, StateLost,
		LimitExceeded, OutageBegan, OutageEnded, Collapsed, Fault, RunEnded,
	} {
		fmt.Fprintln(&b, "kind", kind)
	}
	for _, state := range []string{
		Taken, Refused, Failed, ClientTimedOut, ConnectionLost, Unsent, Returned, Accepted, Errored, AboveLimit, Rejected, QueueFull, TooManyConns, Abandoned, AnswerLost, AnswerUnreadable,
		Serving, Draining, Deleted, ExitRequested, Crashed,
	} {
		fmt.Fprintln(&b, "state", state)
	}
	for _, fate := range []string{OutcomeAccepted, OutcomeFailed, OutcomeDeferred} {
		fmt.Fprintln(&b, "fate", fate)
	}
	golden.Check(t, "names.txt", b.Bytes())
}
