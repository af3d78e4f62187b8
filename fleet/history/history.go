// Package history holds what was seen in an experiment from outside the nodes: the events of clients, partners, the
// platform and the processes, in the order of their times. The judge and the tally read it, whoever wrote it.
package history

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"
)

// Kind says what an event tells.
type Kind string

// The kinds. The fields that each of them uses are named behind it.
const (
	HandedIn Kind = "handed_in" // a client began to write a request: ID, Case, Class, Member, Dest, Key, Life, Again, First (it was due)
	Answered Kind = "answered"  // how that ended: ID, State, Wait

	CallBegan Kind = "call_began" // a call's last byte has come: Call, Partner, Endpoint, IDs, First (its first byte)
	CallEnded Kind = "call_ended" // it holds no slot any more: Call, Partner, State, Fates, Wait
	Ran       Kind = "ran"        // a message has taken effect: Call, Partner, ID
	Opened    Kind = "opened"     // a connection to an endpoint came up: Partner, Endpoint
	Unreached Kind = "unreached"  // a connection did not come up, or was refused: Partner, Endpoint

	Noticed Kind = "noticed" // the platform has heard the end of a message: ID, State, Wait
	Told    Kind = "told"    // the platform has told a change, or it counts as told: Endpoint, State

	Started Kind = "started" // a process: Note holds its id
	Ready   Kind = "ready"
	Term    Kind = "term"      // SIGTERM was sent
	Killed  Kind = "killed"    // SIGKILL was sent
	Stopped Kind = "stopped"   // SIGSTOP
	Resumed Kind = "continued" // SIGCONT
	Exited  Kind = "exited"    // State: "asked" or "crashed"
	Lost    Kind = "lost"      // the node's lasting folder has gone
	Exceeds Kind = "exceeds"   // a limit: Note

	OutageBegan Kind = "outage_began" // of a partner
	OutageEnded Kind = "outage_ended"
	Fell        Kind = "fell" // a cold partner was pushed over: Partner, Pushes

	Fault Kind = "fault" // of the timeline, begins or ends: Note
	End   Kind = "end"   // of the run
)

// States of Answered, CallEnded, Noticed and Told.
const (
	Taken    = "taken"
	Refused  = "refused"
	Failed   = "failed"
	Unheard  = "unheard" // the client stopped waiting
	Broken   = "broken"  // the connection ended with no answer
	Unsent   = "unsent"  // the request never got out whole
	Returned = "returned"

	Accepted  = "accepted" // 200; its Fates tell more
	Errored   = "errored"
	Above     = "above_limit"
	Turned    = "turned_away"
	Full      = "full"
	Crowded   = "crowded"
	GivenUp   = "given_up" // by the node
	AnswerCut = "answer_cut"
	Spoilt    = "spoilt"

	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"

	Asked   = "asked"
	Crashed = "crashed"
)

// Fates of the messages of a call that was answered 200.
const (
	FateAccepted = "accepted"
	FateFault    = "fault"
	FateDeferred = "deferred"
)

// Event is one thing that was seen. Times are counted from the start of the run. Node is the node that it concerns, or
// -1; Partner likewise.
type Event struct {
	At      time.Duration `json:"at"`
	Kind    Kind          `json:"kind"`
	Node    int           `json:"node"`
	Partner int           `json:"partner"`

	ID       string          `json:"id,omitempty"`
	Case     int             `json:"case,omitempty"` // the message, over all ids that it was handed in under; from 1
	Class    int             `json:"class,omitempty"`
	Member   int             `json:"member,omitempty"`
	Dest     int             `json:"dest,omitempty"`
	Key      string          `json:"key,omitempty"`
	Life     time.Duration   `json:"life,omitempty"`
	Again    bool            `json:"again,omitempty"`
	First    time.Duration   `json:"first,omitempty"`
	Call     uint64          `json:"call,omitempty"`
	Endpoint string          `json:"endpoint,omitempty"`
	IDs      []string        `json:"ids,omitempty"`
	Fates    []string        `json:"fates,omitempty"`
	State    string          `json:"state,omitempty"`
	Wait     time.Duration   `json:"wait,omitempty"`
	Pushes   map[int]float64 `json:"pushes,omitempty"`
	Note     string          `json:"note,omitempty"`
}

// Sort puts events in the order of their times; those of one time stay as they stand.
func Sort(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
}

// Write writes events as JSON, one a line.
func Write(w io.Writer, events []Event) error {
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	for i := range events {
		if err := enc.Encode(&events[i]); err != nil {
			return fmt.Errorf("event %d: %w", i+1, err)
		}
	}
	return b.Flush()
}

// Read reads what Write wrote. A line that can't be read is an error that names it.
func Read(r io.Reader) ([]Event, error) {
	var events []Event
	dec := json.NewDecoder(bufio.NewReader(r))
	for {
		var e Event
		switch err := dec.Decode(&e); {
		case errors.Is(err, io.EOF):
			return events, nil
		case err != nil:
			return events, fmt.Errorf("event %d can't be read: %w", len(events)+1, err)
		}
		events = append(events, e)
	}
}
