package ownership

import (
	"bytes"
	"errors"
	"fmt"
)

// Publisher writes one new map into the directory's record so that each map number is used once, whatever
// requests or answers are lost. It acquires the record (a lease with a fencing token), reads it with a linearizable read, writes the map with the next
// number under its token, and releases the record. It is a pure state machine: the caller carries out
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
	Plan func(number int64, previous *Map) (*Map, error)
	// AboveNumber is a number that the new map's number must exceed, in addition to that of the map in the
	// record. It is meant for a record that was reset to an older map (a restored backup) or can't be decoded.
	// A record that can't be decoded is replaced only if AboveNumber is set; Plan then gets no previous map.
	// 0: none.
	AboveNumber int64

	stage           stage
	seq             int
	token           int64
	encoded         []byte // encoded map that is being written, or whose write is ambiguous; nil: none
	candidate       *Map   // the same map, decoded
	ambiguousNumber int64  // number of a map of this publisher of which it can no longer be told whether it was written; 0: none
	result          *Map
	err             error // why there is no result
	lastRefusal     error // why the last refused Acquire or Update was refused; nil: not known
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

// Action is what the caller has to do next. Seq is its number, which its Answer must repeat. All actions but End are requests to the
// directory.
type Action struct {
	Seq       int
	Operation Operation
	Token     int64  // of Update and Release
	Value     []byte // of Update
	// For End: the map that this publisher wrote, or the one that it read if nothing had to change. If Map is
	// nil, Err tells why; it wraps ErrAmbiguous if a map may have been written, or may yet be.
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

// Answer is the result of the action with the same Seq.
type Answer struct {
	Seq     int
	Outcome Outcome
	Token   int64  // of Acquire
	Value   []byte // of Read; nil: the record was never written
	Err     error  // of Refused
}

// Outcome tells what is known about the effect of an action.
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

// enter begins a stage and returns its action. Without a token there is nothing to release, and the publisher
// ends.
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

// timeOut gives up because the caller has no time left.
func (p *Publisher) timeOut() Action {
	if p.candidate != nil {
		p.ambiguousNumber = p.candidate.Number
	}
	err := errors.New("no time left")
	if p.lastRefusal != nil {
		err = fmt.Errorf("%w: %w", err, p.lastRefusal)
	}
	return p.abort(err)
}

// abort gives up with an error and releases the record.
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
		// Another map was written since, so it can't be told whether the candidate was written before that one.
		// In the other cases the candidate was not written, and never will be because its token is invalid.
		p.ambiguousNumber = p.candidate.Number
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
