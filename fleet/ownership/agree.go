package ownership

import (
	"bytes"
	"errors"
	"fmt"
)

// Agreement writes one new map into the directory's record so that each number is given once, whatever is lost: it
// acquires the record, reads it fresh, writes the next number by its token, lets go. It is a pure state machine; who
// carries out its actions does one at a time and hands back what came of each.
//
// Two rules carry it. What rests on a read that came after the token was given is written by that token alone: another
// holder's would be another token, and this one is refused from then on. And a write whose answer was lost may yet be
// done, so that nothing else is written by its token: the record is acquired again, which bars the old token, and then
// a fresh read tells for good whether it was done.
type Agreement struct {
	// Plan makes the map of a number from the one before (nil: there is none). It may refuse, and it returns the map
	// before itself if nothing is to change. It is asked again if another was written meanwhile.
	Plan func(number int64, before *Map) (*Map, error)
	// Above is a number that the new one must be above, beside the record's. It is for a record that was set back (a
	// restored backup) or can't be read: then with it, and only then, the map is made as the first. 0: none.
	Above int64

	state   stage
	seq     int
	token   int64
	writing *Map
	raw     []byte // the last that was written and may have been done, or may yet be; nil: none
	sought  *Map   // it, as a map
	unsure  int64  // number of another that may have been written, before what is there now; 0: none
	done    *Map
	err     error // why there is none,
	why     error // and why an action was refused lately
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

// Action is what is to be done next; its answer names its Seq. All but End are done against the directory.
type Action struct {
	Seq   int
	Do    Verb
	Token int64  // of Update and Release
	Value []byte // of Update
	// Of End: the map that is in force by this agreement's doing (or was when it was read, if nothing had to change).
	// Without one Err tells why not; ErrUnknown if a map may have been written, or may yet be.
	Map *Map
	Err error
}

// Verb is what an action does.
type Verb int

const (
	Acquire Verb = iota + 1 // the record, with a lease
	Read                    // it, fresh: holding each write that was acknowledged before the read
	Update                  // its value, by the token
	Release                 // it, by the token; what comes of it does not matter
	End                     // nothing more
)

// Answer is what came of an action.
type Answer struct {
	Seq   int
	Came  Outcome
	Token int64  // of Acquire
	Value []byte // of Read; nil: the record was never written
	Err   error  // of Refused
}

// Outcome tells what is known of an action.
type Outcome int

const (
	Done    Outcome = iota + 1
	Refused         // it was not done and never will be
	Lost            // it may have been done, or may yet be
	Lapsed          // of Read and Update, before or in place of an answer: the lease can't be relied on; it may have been done
	GaveUp          // of any: who carries the actions out has no more time. It may have been done
)

// ErrUnknown says that a map may have been written, or may yet be.
var ErrUnknown = errors.New("a map may have been written, or may yet be")

// Begin tells the first action.
func (a *Agreement) Begin() Action { return a.next(acquiring) }

// next is the action that begins a stage.
func (a *Agreement) next(s stage) Action {
	a.state = s
	a.seq++
	switch s {
	case acquiring:
		a.token = 0
		return Action{Seq: a.seq, Do: Acquire}
	case reading:
		return Action{Seq: a.seq, Do: Read}
	case updating:
		return Action{Seq: a.seq, Do: Update, Token: a.token, Value: a.raw}
	case releasing:
		if a.token != 0 {
			return Action{Seq: a.seq, Do: Release, Token: a.token}
		}
	}
	a.state = ended
	return Action{Seq: a.seq, Do: End, Map: a.done, Err: a.err}
}

// Step takes an answer and tells what is next; false for one that is of no action under way.
func (a *Agreement) Step(ans Answer) (Action, bool) {
	if ans.Seq != a.seq || a.state == idle || a.state == ended {
		return Action{}, false
	}
	if ans.Came == GaveUp && a.state != releasing {
		return a.giveUp(), true
	}
	switch a.state {
	case acquiring:
		if ans.Came != Done {
			a.why = ans.Err
			return a.next(acquiring), true
		}
		a.token = ans.Token
		return a.next(reading), true
	case reading:
		switch ans.Came {
		case Done:
			return a.plan(ans.Value), true
		case Lapsed:
			return a.next(acquiring), true
		}
		return a.next(reading), true
	case updating:
		switch ans.Came {
		case Done:
			a.done, a.err = a.sought, nil
			return a.next(releasing), true
		case Refused:
			a.raw, a.sought, a.why = nil, nil, ans.Err
			if errors.Is(ans.Err, ErrBad) {
				return a.fail(ans.Err), true
			}
		}
		return a.next(acquiring), true
	}
	return a.next(ended), true // releasing
}

func (a *Agreement) giveUp() Action {
	if a.sought != nil {
		a.unsure = a.sought.Number
	}
	err := errors.New("no more time")
	if a.why != nil {
		err = fmt.Errorf("%w: %w", err, a.why)
	}
	return a.fail(err)
}

func (a *Agreement) fail(err error) Action {
	a.err = err
	if a.unsure > 0 {
		a.err = fmt.Errorf("%w; number %d: %w", err, a.unsure, ErrUnknown)
	}
	return a.next(releasing)
}

// plan goes on from what was read by the token that is held.
func (a *Agreement) plan(value []byte) Action {
	if a.sought != nil && bytes.Equal(value, a.raw) {
		a.done = a.sought
		return a.next(releasing)
	}
	var before *Map
	var unread error
	number := a.Above
	if value != nil {
		if before, unread = Decode(value); unread == nil {
			number = max(number, before.Number)
		}
	}
	if a.sought != nil && value != nil && (before == nil || before.Number >= a.sought.Number) {
		a.unsure = a.sought.Number // another has written after that; else it was not done and, its token barred, never will be
	}
	if unread != nil && a.Above == 0 {
		return a.fail(fmt.Errorf("record %s can't be read: %w", Record, unread))
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
