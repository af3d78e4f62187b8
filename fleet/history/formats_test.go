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
		HandedIn, Answered, CallBegan, CallEnded, Ran, Opened, Unreached, Noticed, Told, Started, Ready, Term, Killed, Stopped, Resumed, Exited, Lost,
		Exceeds, OutageBegan, OutageEnded, Fell, Fault, End,
	} {
		fmt.Fprintln(&b, "kind", kind)
	}
	for _, state := range []string{
		Taken, Refused, Failed, Unheard, Broken, Unsent, Returned, Accepted, Errored, Above, Turned, Full, Crowded, GivenUp, AnswerCut, Spoilt,
		Serving, Draining, Deleted, Asked, Crashed,
	} {
		fmt.Fprintln(&b, "state", state)
	}
	for _, fate := range []string{FateAccepted, FateFault, FateDeferred} {
		fmt.Fprintln(&b, "fate", fate)
	}
	golden.Check(t, "names.txt", b.Bytes())
}
