package ownership

import (
	"bytes"
	"errors"
	"fmt"
)

// Publisher writes one new map into the directory's record so that each map number is used once, whatever
// messages are lost. It acquires the record, reads it with a linearizable read, writes the map with the next
// number under its fencing token, and releases the record. It is a pure state machine: the caller carries out
// its actions one at a time and reports the result of each.
//
// Two rules make this safe. First, a map that is planned from a read made under a token is written under that
// token only: if another holder acquired the record in between, the token differs and the write is refused.
// Second, a write whose answer was lost may still take effect, so nothing else is written under its token.
// The record is acquired again, which invalidates the old token, and a fresh read then tells for certain
// whether the write took effect.
type Publisher struct {
	// Plan makes the map with the given number from the previous one (nil: there is none). It may refuse with
	// an error, and it returns the previous map itself if nothing has to change. It is called again if
	// another map was written meanwhile.
	Plan func(number int64, before *Map) (*Map, error)
	// AboveNumber is a number that the new map's number must exceed, in addition to the record's. It is meant
	// for a record that was set back (a restored backup) or can't be decoded: only if it is set is an
	// undecodable record replaced, by a first map. 0: none.
	AboveNumber int64

	state   stage
	seq     int
	token   int64
	writing *Map
	raw     []byte // encoded map that was written and whose write is ambiguous; nil: none
	sought  *Map   // the same map, decoded
	unsure  int64  // number of an earlier map whose write is ambiguous; 0: none
	done    *Map
	err     error // why there is no result
	why     error // why the last action was refused
}

type stage int

const (
	idle stage = iota
	acquiring
	reading
	updating
	releasing
	ended
)

// Action is what the caller has to do next; its Answer repeats Seq. All actions but End are requests to the
// directory.
type Action struct {
	Seq       int
	Operation Operation
	Token     int64  // of Update and Release
	Value     []byte // of Update
	// For End: the map that this publisher put in force (or that was in force when read, if nothing had to
	// change). If Map is nil, Err tells why; it is ErrAmbiguous if a map may have been written, or may yet
	// be.
	Map *Map
	Err error
}

// Operation is the kind of an action.
type Operation int

const (
	Acquire Operation = iota + 1 // acquire the record, with a lease
	Read                         // read the record; the read must include each write that was acknowledged before it
	Update                       // write the record's value under the token
	Release                      // release the record under the token; the result does not matter
	End                          // nothing more to do
)

// Answer is the result of an action.
type Answer struct {
	Seq     int
	Outcome Outcome
	Token   int64  // of Acquire
	Value   []byte // of Read; nil: the record was never written
	Err     error  // of Refused
}

// Outcome tells what is known of an action.
type Outcome int

const (
	Done      Outcome = iota + 1
	Refused           // it did not take effect and never will
	Ambiguous         // it may have taken effect, or may yet do so
	LeaseLost         // for Read and Update, before or instead of an answer: the lease can't be relied on; the action may have taken effect
	TimedOut          // for all actions: the caller has no time left; the action may have taken effect
)

// ErrAmbiguous says that a map may have been written, or may yet be.
var ErrAmbiguous = errors.New("a map may have been written, or may yet be written")

// Begin returns the first action.
func (a *Publisher) Begin() Action { return a.next(acquiring) }

// enter returns the action that begins a stage.
func (a *Publisher) next(s stage) Action {
	a.state = s
	a.seq++
	switch s {
	case acquiring:
		a.token = 0
		return Action{Seq: a.seq, Operation: Acquire}
	case reading:
		return Action{Seq: a.seq, Operation: Read}
	case updating:
		return Action{Seq: a.seq, Operation: Update, Token: a.token, Value: a.raw}
	case releasing:
		if a.token != 0 {
			return Action{Seq: a.seq, Operation: Release, Token: a.token}
		}
	}
	a.state = ended
	return Action{Seq: a.seq, Operation: End, Map: a.done, Err: a.err}
}

// Step takes an answer and returns the next action; false if the answer is not for the action in progress.
func (a *Publisher) Step(ans Answer) (Action, bool) {
	if ans.Seq != a.seq || a.state == idle || a.state == ended {
		return Action{}, false
	}
	if ans.Outcome == TimedOut && a.state != releasing {
		return a.giveUp(), true
	}
	switch a.state {
	case acquiring:
		if ans.Outcome != Done {
			a.why = ans.Err
			return a.next(acquiring), true
		}
		a.token = ans.Token
		return a.next(reading), true
	case reading:
		switch ans.Outcome {
		case Done:
			return a.plan(ans.Value), true
		case LeaseLost:
			return a.next(acquiring), true
		}
		return a.next(reading), true
	case updating:
		switch ans.Outcome {
		case Done:
			a.done, a.err = a.sought, nil
			return a.next(releasing), true
		case Refused:
			a.raw, a.sought, a.why = nil, nil, ans.Err
			if errors.Is(ans.Err, ErrInvalid) {
				return a.fail(ans.Err), true
			}
		}
		return a.next(acquiring), true
	}
	return a.next(ended), true // was releasing
}

func (a *Publisher) giveUp() Action {
	if a.sought != nil {
		a.unsure = a.sought.Number
	}
	err := errors.New("out of time")
	if a.why != nil {
		err = fmt.Errorf("%w: %w", err, a.why)
	}
	return a.fail(err)
}

func (a *Publisher) fail(err error) Action {
	a.err = err
	if a.unsure > 0 {
		a.err = fmt.Errorf("%w; map %d: %w", err, a.unsure, ErrAmbiguous)
	}
	return a.next(releasing)
}

// planNext continues from the value that was read under the current token.
func (a *Publisher) plan(value []byte) Action {
	if a.sought != nil && bytes.Equal(value, a.raw) {
		a.done = a.sought
		return a.next(releasing)
	}
	var before *Map
	var unread error
	number := a.AboveNumber
	if value != nil {
		if before, unread = Decode(value); unread == nil {
			number = max(number, before.Number)
		}
	}
	if a.sought != nil && value != nil && (before == nil || before.Number >= a.sought.Number) {
		a.unsure = a.sought.Number // another map was written after it; otherwise it did not take effect and, its token being invalid, never will
	}
	if unread != nil && a.AboveNumber == 0 {
		return a.fail(fmt.Errorf("decode record %s: %w", RecordName, unread))
	}
	a.raw, a.sought = nil, nil
	m, err := a.Plan(number+1, before)
	if err != nil {
		return a.fail(err)
	}
	if m == before {
		a.done = before
		return a.next(releasing)
	}
	raw, err := m.Encode()
	if err != nil {
		return a.fail(err)
	}
	a.raw, a.sought = raw, m
	return a.next(updating)
}
