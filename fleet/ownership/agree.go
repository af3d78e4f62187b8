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

	stage           stage
	seq             int
	token           int64
	encoded         []byte // encoded map that was written and whose write is ambiguous; nil: none
	candidate       *Map   // the same map, decoded
	ambiguousNumber int64  // number of an earlier map whose write is ambiguous; 0: none
	result          *Map
	err             error // why there is no result
	lastRefusal     error // why the last action was refused
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
func (p *Publisher) Begin() Action { return p.enter(acquiring) }

// enter returns the action that begins a stage.
func (p *Publisher) enter(s stage) Action {
	p.stage = s
	p.seq++
	switch s {
	case acquiring:
		p.token = 0
		return Action{Seq: p.seq, Operation: Acquire}
	case reading:
		return Action{Seq: p.seq, Operation: Read}
	case updating:
		return Action{Seq: p.seq, Operation: Update, Token: p.token, Value: p.encoded}
	case releasing:
		if p.token != 0 {
			return Action{Seq: p.seq, Operation: Release, Token: p.token}
		}
	}
	p.stage = ended
	return Action{Seq: p.seq, Operation: End, Map: p.result, Err: p.err}
}

// Step takes an answer and returns the next action; false if the answer is not for the action in progress.
func (p *Publisher) Step(ans Answer) (Action, bool) {
	if ans.Seq != p.seq || p.stage == idle || p.stage == ended {
		return Action{}, false
	}
	if ans.Outcome == TimedOut && p.stage != releasing {
		return p.timeOut(), true
	}
	switch p.stage {
	case acquiring:
		if ans.Outcome != Done {
			p.lastRefusal = ans.Err
			return p.enter(acquiring), true
		}
		p.token = ans.Token
		return p.enter(reading), true
	case reading:
		switch ans.Outcome {
		case Done:
			return p.planNext(ans.Value), true
		case LeaseLost:
			return p.enter(acquiring), true
		}
		return p.enter(reading), true
	case updating:
		switch ans.Outcome {
		case Done:
			p.result, p.err = p.candidate, nil
			return p.enter(releasing), true
		case Refused:
			p.encoded, p.candidate, p.lastRefusal = nil, nil, ans.Err
			if errors.Is(ans.Err, ErrInvalid) {
				return p.abort(ans.Err), true
			}
		}
		return p.enter(acquiring), true
	}
	return p.enter(ended), true // was releasing
}

func (p *Publisher) timeOut() Action {
	if p.candidate != nil {
		p.ambiguousNumber = p.candidate.Number
	}
	err := errors.New("out of time")
	if p.lastRefusal != nil {
		err = fmt.Errorf("%w: %w", err, p.lastRefusal)
	}
	return p.abort(err)
}

func (p *Publisher) abort(err error) Action {
	p.err = err
	if p.ambiguousNumber > 0 {
		p.err = fmt.Errorf("%w; map %d: %w", err, p.ambiguousNumber, ErrAmbiguous)
	}
	return p.enter(releasing)
}

// planNext continues from the value that was read under the current token.
func (p *Publisher) planNext(value []byte) Action {
	if p.candidate != nil && bytes.Equal(value, p.encoded) {
		p.result = p.candidate
		return p.enter(releasing)
	}
	var previous *Map
	var decodeErr error
	number := p.AboveNumber
	if value != nil {
		if previous, decodeErr = Decode(value); decodeErr == nil {
			number = max(number, previous.Number)
		}
	}
	if p.candidate != nil && value != nil && (previous == nil || previous.Number >= p.candidate.Number) {
		p.ambiguousNumber = p.candidate.Number // another map was written after it; otherwise it did not take effect and, its token being invalid, never will
	}
	if decodeErr != nil && p.AboveNumber == 0 {
		return p.abort(fmt.Errorf("decode record %s: %w", RecordName, decodeErr))
	}
	p.encoded, p.candidate = nil, nil
	m, err := p.Plan(number+1, previous)
	if err != nil {
		return p.abort(err)
	}
	if m == previous {
		p.result = previous
		return p.enter(releasing)
	}
	raw, err := m.Encode()
	if err != nil {
		return p.abort(err)
	}
	p.encoded, p.candidate = raw, m
	return p.enter(updating)
}
