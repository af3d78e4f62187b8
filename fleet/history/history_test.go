package history

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestWriteAndRead(t *testing.T) {
	events := []Event{
		{At: 2, Kind: CallEnded, Node: 1, Partner: 3, Call: 9, State: Accepted, Outcomes: []string{OutcomeAccepted}, RetryAfter: time.Second},
		{At: 1, Kind: Collapsed, Node: -1, CallsBySender: map[int]float64{2: 1.5}},
		{At: 2, Kind: Started, Note: "after the first of its time"},
	}
	Sort(events)
	if events[0].Kind != Collapsed || events[2].Kind != Started {
		t.Errorf("sorted as %v", events)
	}
	var b bytes.Buffer
	if err := Write(&b, events); err != nil {
		t.Fatal(err)
	}
	got, err := Read(&b)
	if err != nil || !reflect.DeepEqual(got, events) {
		t.Errorf("got %v, %v", got, err)
	}
}

func TestReadSaysWhichEventIsSpoilt(t *testing.T) {
	got, err := Read(strings.NewReader("{\"at\":1}\n{\"at\":\n"))
	if len(got) != 1 || err == nil || !strings.Contains(err.Error(), "event 2") {
		t.Errorf("got %v, %v", got, err)
	}
}
