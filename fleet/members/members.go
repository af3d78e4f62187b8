// Package members holds who is in the fleet as one process sees it. It is a pure state machine: what members say of
// themselves, what a failure detector finds, what the directory lists and the time go in; changes of the view come out.
// How the statements travel is another package's concern. docs/members.md has the reasons.
package members

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Stage is how far a member says it is in its life. Within a life it only grows.
type Stage uint8

// The stages.
const (
	Joining Stage = iota + 1 // it has not heard the others yet, and counts for nothing
	Serving
	Leaving // it was told to end and still holds messages
	Gone    // its last words
)

// State is what a view says of a member.
type State uint8

// The states. Counted says which of them are in the fleet's size.
const (
	Unknown State = iota
	NotYet        // it joins
	Present
	Suspect // the detector doubts it, or it has just gone and may be a restart
	Departs
	Left
	Failed
)

var states = [...]string{"unknown", "joining", "present", "suspect", "leaving", "left", "failed"}

func (s State) String() string { return states[s] }

// Counted tells that a member in this state is part of the fleet's size. What may yet send is: a size that is too large
// makes parts of a limit too small, one that is too small breaks the limit.
func (s State) Counted() bool { return s == Present || s == Suspect || s == Departs }

// Statement is what a member says of itself. Of two of one name the later one counts; see after.
type Statement struct {
	Name        string
	Incarnation uint64 // grows over the lives of a name
	Count       uint64 // of the statements under this incarnation
	Life        uint64 // drawn at random by each process; tells two that claim one name apart
	Born        uint64 // the incarnation that this life began with
	Addr        string
	Version     string
	Can         []string // what the program can do
	Stage       Stage
	Held        int    // messages that it holds, while it leaves
	View        uint64 // Digest of its view
	Epoch       uint64 // of its view
}

// after orders the statements of a name. Those of two lives under one incarnation are ordered too, so that all who
// heard both hold the same one.
func (s Statement) after(o Statement) bool {
	return cmp.Or(cmp.Compare(s.Incarnation, o.Incarnation), cmp.Compare(s.Life, o.Life), cmp.Compare(s.Count, o.Count)) > 0
}

// Terms are the times and sizes of a view.
type Terms struct {
	Grace  time.Duration // a member that has gone is taken for restarting for so long
	Forget time.Duration // one that has left or failed is remembered for so long; longer than any statement travels
	Lease  time.Duration // what the witness said counts for so long, and a change of its record only after so long
}

// DefaultTerms suit nodes that are back within seconds of a restart.
func DefaultTerms() Terms {
	return Terms{Grace: 15 * time.Second, Forget: 24 * time.Hour, Lease: 10 * time.Second}
}

// Event is one piece of news for a view.
type Event interface{ event() }

// Said brings a statement, of whatever age and in whatever order.
type Said struct{ Statement }

// Doubted says that the detector has no answer from a member and asks further; Heard that it has one again.
type (
	Doubted struct{ Name string }
	Heard   struct{ Name string }
)

// Lost says that the detector has given a member up, in the life that it was known in.
type Lost struct{ Name string }

// Witnessed brings the names of the fleet as the directory's record has them, from a fresh read that was asked for at
// Asked, and how long they had stood there by the directory's clock. Revision is the record's, 0 if there is none yet.
type Witnessed struct {
	Names    []string
	Revision int64
	Stood    time.Duration
	Asked    time.Duration
}

// Tick is the passing of time alone. Graces and memories end at one, so there should be some a second.
type Tick struct{}

func (Said) event()      {}
func (Doubted) event()   {}
func (Heard) event()     {}
func (Lost) event()      {}
func (Witnessed) event() {}
func (Tick) event()      {}

// Action is what comes of an event.
type Action interface{ action() }

// Changed says that a member's state is another one.
type Changed struct {
	Name     string
	From, To State
	Why      string
}

// Tell says that the process's own statement is another one, which the others have to hear.
type Tell struct{ Statement }

// Remind asks for a statement to be told to the process that now runs under its name: that one has an incarnation which
// is not above it, so nobody heeds it, and it may not know.
type Remind struct{ Statement }

// Refused says that two processes claim a name, and which of them is to end.
type Refused struct {
	Name        string
	Keeps, Ends Statement
}

func (Changed) action() {}
func (Tell) action()    {}
func (Remind) action()  {}
func (Refused) action() {}

// Member is what a view holds of one name.
type Member struct {
	Statement
	State State
	Since time.Duration // of the state
	gone  time.Duration // when it was lost or said its last words; 0: it was not
	clash uint64        // the life that has claimed the name as well, last; 0: none
}

// View is the fleet as one process sees it. Its methods are for one goroutine.
type View struct {
	terms   Terms
	self    Statement
	now     time.Duration
	rival   Statement          // the last of another life under the own name that this one went above
	members map[string]*Member // all others
	epoch   uint64
	digest  uint64
	agreed  time.Duration // since when all that are counted agree; under 0: they don't
	stale   bool          // the digest is of another view
	witness Witnessed
	acts    []Action
}

// New makes the view of a process that begins to join, with its own first statement. saved is the incarnation that its
// lasting folder remembers, 0 for none, and wall the wall clock in Unix milliseconds, for a folder that was lost.
func New(terms Terms, self Statement, saved uint64, wall int64, now time.Duration) *View {
	self.Incarnation, self.Count, self.Stage = max(saved+1, uint64(max(wall, 1))), 1, Joining
	self.Born = self.Incarnation
	v := &View{terms: terms, self: self, now: now, members: map[string]*Member{}, agreed: -1, stale: true}
	v.look()
	return v
}

// Self is the process's own statement, to be told. Its incarnation has to be kept in the lasting folder before.
func (v *View) Self() Statement { return v.self }

// Advance says how far the process itself is, and what it holds. A stage never goes back.
func (v *View) Advance(now time.Duration, stage Stage, held int) []Action {
	v.begin(now)
	if stage > v.self.Stage || held != v.self.Held {
		v.self.Stage, v.self.Held, v.stale = max(v.self.Stage, stage), held, true
		v.restate()
	}
	return v.end()
}

// Step takes an event at a time that is not before the last one's.
func (v *View) Step(now time.Duration, ev Event) []Action {
	v.begin(now)
	switch ev := ev.(type) {
	case Said:
		if ev.Name == v.self.Name {
			v.claimed(ev.Statement)
		} else {
			v.said(ev.Statement)
		}
	case Doubted:
		if m := v.members[ev.Name]; m != nil && m.State == Present {
			v.set(m, Suspect, "no answer")
		}
	case Heard:
		if m := v.members[ev.Name]; m != nil && m.Stage < Gone && (m.State == Suspect || m.State == Failed) {
			m.gone = 0
			v.set(m, stateOf(m.Stage), "answers again")
		}
	case Lost:
		if m := v.members[ev.Name]; m != nil && m.gone == 0 && m.State != Failed && m.State != Left {
			m.gone = max(v.now, 1)
			if m.State == Present {
				v.set(m, Suspect, "given up, may be restarting")
			}
		}
	case Witnessed:
		if ev.Revision >= v.witness.Revision {
			v.witness = ev
		}
	case Tick:
		v.expire()
	}
	return v.end()
}

func (v *View) begin(now time.Duration) { v.now, v.acts = max(v.now, now), nil }

// end looks at the view as a whole.
func (v *View) end() []Action {
	v.look()
	return v.acts
}

// expire lets what has run out do so.
func (v *View) expire() {
	for _, name := range slices.Sorted(maps.Keys(v.members)) {
		m := v.members[name]
		switch {
		case (m.State == Left || m.State == Failed) && v.now-m.Since >= v.terms.Forget:
			delete(v.members, name)
		case m.gone > 0 && m.State.Counted() && v.now-m.gone >= v.terms.Grace:
			if m.Stage >= Leaving {
				v.set(m, Left, "it said so")
			} else {
				v.set(m, Failed, "given up")
			}
		case m.gone > 0 && m.State == NotYet:
			v.set(m, Failed, "given up while it joined")
		}
	}
}

func stateOf(s Stage) State {
	switch s {
	case Joining:
		return NotYet
	case Serving:
		return Present
	}
	return Departs
}

// said takes another member's statement.
func (v *View) said(s Statement) {
	m := v.members[s.Name]
	if m == nil {
		m = &Member{Since: v.now}
		v.members[s.Name] = m
	} else if !s.after(m.Statement) {
		if s.Life != m.Life { // a folder and a clock were lost, or this is old news, which does no harm
			v.acts = append(v.acts, Remind{m.Statement})
		}
		return
	}
	was, known := m.Statement, m.Life != 0
	m.Statement = s
	v.epoch = max(v.epoch, s.Epoch)
	switch {
	case known && s.Life != was.Life:
		// A new life, or a second process under the name: that shows once the old one speaks again.
		if m.clash == s.Life {
			v.acts = append(v.acts, refusal(was, s))
		}
		m.clash = was.Life
		m.gone = 0
	case known && s.Incarnation == was.Incarnation && s.Stage == was.Stage:
		return // news of its view alone; whether it answers is the detector's to say
	}
	switch {
	case s.Stage == Gone && m.gone == 0:
		m.gone = max(v.now, 1)
		if !m.State.Counted() && m.State != Unknown {
			return
		}
		v.set(m, Departs, "its last words")
	case s.Stage < Gone:
		m.gone = 0
		why := "it says so"
		if known && s.Incarnation > was.Incarnation {
			why = "a new life"
		}
		v.set(m, stateOf(s.Stage), why)
	}
}

// claimed takes a statement under the process's own name that it may have made itself, in this life or another.
func (v *View) claimed(s Statement) {
	if s.Life == v.self.Life || s.Incarnation < v.self.Incarnation {
		return
	}
	answers := v.rival.Life == s.Life && s.after(v.rival) // it has spoken again since, so it is alive
	v.rival = s
	if answers {
		v.acts = append(v.acts, refusal(v.self, s))
		return
	}
	v.self.Incarnation, v.self.Count = s.Incarnation+1, 0
	v.restate()
}

// refusal decides which of two processes of one name ends: the one that has not served yet, else that which began
// later, so that all who see both decide alike.
func refusal(a, b Statement) Refused {
	joins := func(s Statement) int {
		if s.Stage == Joining {
			return 1
		}
		return 0
	}
	if cmp.Or(cmp.Compare(joins(a), joins(b)), cmp.Compare(a.Born, b.Born), cmp.Compare(a.Life, b.Life)) > 0 {
		a, b = b, a
	}
	return Refused{Name: a.Name, Keeps: a, Ends: b}
}

func (v *View) set(m *Member, to State, why string) {
	if m.State == to {
		return
	}
	v.acts = append(v.acts, Changed{m.Name, m.State, to, why})
	m.State, m.Since, v.stale = to, v.now, true
}

func (v *View) restate() {
	v.self.Count++
	v.acts = append(v.acts, Tell{v.self})
}
