// Package history holds what was seen in an experiment from outside the nodes: the events of clients,
// partners, the platform and the processes, in the order of their times. The packages judge and tally read
// it, regardless of who wrote it.
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

// Kind is the kind of an event.
type Kind string

// The trailing comments name the fields that each kind uses.
const (
	Submitted Kind = "handed_in" // a client began to write a request: ID, MessageNumber, Class, Tenant, Dest, Key, ExpiresIn, Resubmitted, FirstAt (when it was due)
	Answered  Kind = "answered"  // how the submission ended: ID, State, RetryAfter

	CallStarted   Kind = "call_began" // the last byte of a call has arrived: Call, Partner, Endpoint, IDs, FirstAt (when its first byte arrived)
	CallEnded     Kind = "call_ended" // the call no longer holds a slot: Call, Partner, State, Outcomes, RetryAfter
	Executed      Kind = "ran"        // a message has taken effect: Call, Partner, ID
	Connected     Kind = "opened"     // a connection to an endpoint was established: Partner, Endpoint
	ConnectFailed Kind = "unreached"  // a connection was not established, or was refused: Partner, Endpoint

	NoticeReceived  Kind = "noticed" // the platform has received the notice of a message's end: ID, State, RetryAfter
	ChangeAnnounced Kind = "told"    // the platform has announced a change of an endpoint, or it counts as announced: Endpoint, State

	Started       Kind = "started" // a process; Note holds its id
	Ready         Kind = "ready"
	TermSent      Kind = "term"      // SIGTERM was sent
	Killed        Kind = "killed"    // SIGKILL was sent
	Stopped       Kind = "stopped"   // SIGSTOP was sent
	Resumed       Kind = "continued" // SIGCONT was sent
	Exited        Kind = "exited"    // State: ExitRequested or Crashed
	StateLost     Kind = "lost"      // the node's state directory was lost
	LimitExceeded Kind = "exceeds"   // of a resource; Note tells which

	OutageBegan Kind = "outage_began" // of a partner
	OutageEnded Kind = "outage_ended"
	Collapsed   Kind = "fell" // a partner in slow start was overloaded: Partner, CallsBySender

	Fault    Kind = "fault" // a fault of the plan begins or ends: Note
	RunEnded Kind = "end"   // of the experiment
)

// States of Answered, CallEnded, NoticeReceived and ChangeAnnounced.
const (
	Taken          = "taken"
	Refused        = "refused"
	Failed         = "failed"
	ClientTimedOut = "unheard" // the client stopped waiting for the answer
	ConnectionLost = "broken"  // the connection ended without an answer
	Unsent         = "unsent"  // the request was never sent completely
	Returned       = "returned"

	Accepted         = "accepted" // status 200; Outcomes tells more
	Errored          = "errored"
	AboveLimit       = "above_limit"
	Rejected         = "turned_away"
	QueueFull        = "full"
	TooManyConns     = "crowded"
	Abandoned        = "given_up" // by the node
	AnswerLost       = "answer_cut"
	AnswerUnreadable = "spoilt"

	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"

	ExitRequested = "asked"
	Crashed       = "crashed"
)

// Outcomes of the messages of a call that was answered with status 200.
const (
	OutcomeAccepted = "accepted"
	OutcomeFailed   = "fault"
	OutcomeDeferred = "deferred"
)

// Event is one observation. Times are relative to the start of the run. Node is the node concerned, or -1;
// the same holds for Partner.
type Event struct {
	At      time.Duration `json:"at"`
	Kind    Kind          `json:"kind"`
	Node    int           `json:"node"`
	Partner int           `json:"partner"`

	ID            string          `json:"id,omitempty"`
	MessageNumber int             `json:"case,omitempty"` // number of the message, the same for all ids it was submitted under; from 1
	Class         int             `json:"class,omitempty"`
	Tenant        int             `json:"member,omitempty"`
	Dest          int             `json:"dest,omitempty"`
	Key           string          `json:"key,omitempty"`
	ExpiresIn     time.Duration   `json:"life,omitempty"`
	Resubmitted   bool            `json:"again,omitempty"`
	FirstAt       time.Duration   `json:"first,omitempty"`
	Call          uint64          `json:"call,omitempty"`
	Endpoint      string          `json:"endpoint,omitempty"`
	IDs           []string        `json:"ids,omitempty"`
	Outcomes      []string        `json:"fates,omitempty"`
	State         string          `json:"state,omitempty"`
	RetryAfter    time.Duration   `json:"wait,omitempty"`
	CallsBySender map[int]float64 `json:"pushes,omitempty"`
	Note          string          `json:"note,omitempty"`
}

// Sort sorts events by time; events of the same time keep their order.
func Sort(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
}

// Write writes events as JSON lines.
func Write(w io.Writer, events []Event) error {
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	for i := range events {
		if err := enc.Encode(&events[i]); err != nil {
			return fmt.Errorf("encode event %d: %w", i+1, err)
		}
	}
	return b.Flush()
}

// Read reads what Write wrote. If an event can't be decoded, the error tells which one.
func Read(r io.Reader) ([]Event, error) {
	var events []Event
	dec := json.NewDecoder(bufio.NewReader(r))
	for {
		var e Event
		switch err := dec.Decode(&e); {
		case errors.Is(err, io.EOF):
			return events, nil
		case err != nil:
			return events, fmt.Errorf("decode event %d: %w", len(events)+1, err)
		}
		events = append(events, e)
	}
}
