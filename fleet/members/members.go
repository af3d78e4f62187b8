// Package members maintains the membership of the fleet as one process sees it, in the terms of SWIM. It is a
// pure state machine: statements of members, findings of a failure detector, reads of the directory's record
// and the time go in, and actions come out. Other packages transport the statements. docs/members.md explains
// the design.
package members

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Stage is the stage of life that a member announces. It never goes back during the life of a process.
type Stage uint8

// Stages.
const (
	Joining Stage = iota + 1 // has not heard from the others yet, and is not counted
	Serving
	Leaving // was told to stop, but still holds messages
	Gone    // its last statement
)

// State is the state of a member in a view.
type State uint8

// States. See Counted for those that count towards the fleet size.
const (
	Unknown State = iota
	NotYet
	Present
	Suspect // in doubt, or just gone and perhaps restarting
	Departs
	Left
	Failed
)

var states = [...]string{"unknown", "joining", "present", "suspect", "leaving", "left", "failed"}

func (s State) String() string { return states[s] }

// Counted reports whether members in this state count towards the fleet size: all that may still send. A size
// that is too large makes each member's part of a limit too small; one that is too small breaks the limit.
func (s State) Counted() bool { return s == Present || s == Suspect || s == Departs }

// Statement is what a member announces about itself. Of two with the same name the later one wins; see
// supersedes.
type Statement struct {
	Name        string
	Incarnation uint64 // increases over the lives of a name
	Count       uint64 // number of the statement within the incarnation
	Life        uint64 // random for each process; distinguishes two that claim the same name
	Born        uint64 // incarnation at the start of this process
	Addr        string
	Version     string
	Can         []string // optional features of the program
	Stage       Stage
	Held        int    // messages still held while leaving
	View        uint64 // digest of its view
	Epoch       uint64 // of its view
}

// supersedes orders the statements of a name. It also orders those of two processes with the same
// incarnation, so that all who receive both agree on one.
func (s Statement) after(o Statement) bool {
	return cmp.Or(cmp.Compare(s.Incarnation, o.Incarnation), cmp.Compare(s.Life, o.Life), cmp.Compare(s.Count, o.Count)) > 0
}

// Timeouts are the time limits of a view.
type Terms struct {
	Grace  time.Duration // how long a member that has gone is assumed to be restarting
	Forget time.Duration // how long one that has left or failed is remembered; must exceed the travel time of any statement
	Lease  time.Duration // how long a read of the record is valid, and how long a record must be unchanged before it counts
}

// DefaultTimeouts suit nodes that return within seconds after a restart.
func DefaultTerms() Terms {
	return Terms{Grace: 15 * time.Second, Forget: 24 * time.Hour, Lease: 10 * time.Second}
}

// Event is an input to a view.
type Event interface{ event() }

// StatementReceived brings a statement; they may be old and out of order.
type Said struct{ Statement }

// Suspected says that the failure detector gets no response from a member and tries other ways. Responded
// says that it gets one again.
type (
	Doubted struct{ Name string }
	Heard   struct{ Name string }
)

// Unreachable says that the failure detector has given up on a member, in its known life.
type Lost struct{ Name string }

// RecordRead brings the fleet's names from a linearizable read of the directory's record. The read was
// requested at RequestedAt; the names had been unchanged for UnchangedFor by the directory's clock. Revision
// is that of the record, 0 if there is none yet.
type Witnessed struct {
	Names    []string
	Revision int64
	Stood    time.Duration
	Asked    time.Duration
}

// Tick marks the passing of time. Timeouts are handled at ticks, so there should be a few per second.
type Tick struct{}

func (Said) event()      {}
func (Doubted) event()   {}
func (Heard) event()     {}
func (Lost) event()      {}
func (Witnessed) event() {}
func (Tick) event()      {}

// Action is an output of a view.
type Action interface{ action() }

// StateChanged reports a member's new state.
type Changed struct {
	Name     string
	From, To State
	Why      string
}

// Broadcast reports a new statement of this process, which the others must receive.
type Tell struct{ Statement }

// SendBack requests to send a statement to the process that now runs under its name. That process has an
// incarnation that is not larger, so the others ignore it, and it may not know.
type Remind struct{ Statement }

// NameConflict reports that two processes claim a name, and which of them must end.
type Refused struct {
	Name        string
	Keeps, Ends Statement
}

func (Changed) action() {}
func (Tell) action()    {}
func (Remind) action()  {}
func (Refused) action() {}

// Member is a view's knowledge of one name.
type Member struct {
	Statement
	State State
	Since time.Duration // start of the state
	gone  time.Duration // when it became unreachable or made its last statement; 0: neither
	clash uint64        // latest other process that has claimed the name; 0: none
}

// View is the fleet as seen by one process. It is not safe for concurrent use.
type View struct {
	terms   Terms
	self    Statement
	now     time.Duration
	rival   Statement          // latest statement of another process under this process's name, since overtaken
	members map[string]*Member // all except this process
	epoch   uint64
	digest  uint64
	agreed  time.Duration // since when all counted members agree; negative: they do not
	stale   bool          // the digest is out of date
	witness Witnessed
	acts    []Action
}

// New creates the view of a process that starts to join, with its first statement. saved is the incarnation
// from the persistent folder, 0 if there is none; wallMS is the Unix time in ms, which replaces it if the
// folder was lost.
func New(terms Terms, self Statement, saved uint64, wall int64, now time.Duration) *View {
	self.Incarnation, self.Count, self.Stage = max(saved+1, uint64(max(wall, 1))), 1, Joining
	self.Born = self.Incarnation
	v := &View{terms: terms, self: self, now: now, members: map[string]*Member{}, agreed: -1, stale: true}
	v.look()
	return v
}

// Self returns the process's current statement. Its incarnation must be saved in the persistent folder before
// it is sent.
func (v *View) Self() Statement { return v.self }

// Advance sets the stage of this process, which never goes back, and the number of messages that it holds.
func (v *View) Advance(now time.Duration, stage Stage, held int) []Action {
	v.begin(now)
	if stage > v.self.Stage || held != v.self.Held {
		v.self.Stage, v.self.Held, v.stale = max(v.self.Stage, stage), held, true
		v.restate()
	}
	return v.end()
}

// Step handles an event. now must not decrease.
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
			v.set(m, Suspect, "no response")
		}
	case Heard:
		if m := v.members[ev.Name]; m != nil && m.Stage < Gone && (m.State == Suspect || m.State == Failed) {
			m.gone = 0
			v.set(m, stateOf(m.Stage), "responds again")
		}
	case Lost:
		if m := v.members[ev.Name]; m != nil && m.gone == 0 && m.State != Failed && m.State != Left {
			m.gone = max(v.now, 1)
			if m.State == Present {
				v.set(m, Suspect, "unreachable, may be restarting")
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

// finish updates what depends on the whole view.
func (v *View) end() []Action {
	v.look()
	return v.acts
}

// expire handles the timeouts that have passed.
func (v *View) expire() {
	for _, name := range slices.Sorted(maps.Keys(v.members)) {
		m := v.members[name]
		switch {
		case (m.State == Left || m.State == Failed) && v.now-m.Since >= v.terms.Forget:
			delete(v.members, name)
		case m.gone > 0 && m.State.Counted() && v.now-m.gone >= v.terms.Grace:
			if m.Stage >= Leaving {
				v.set(m, Left, "announced")
			} else {
				v.set(m, Failed, "unreachable")
			}
		case m.gone > 0 && m.State == NotYet:
			v.set(m, Failed, "unreachable while joining")
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

// receive handles a statement of another member.
func (v *View) said(s Statement) {
	m := v.members[s.Name]
	if m == nil {
		m = &Member{Since: v.now}
		v.members[s.Name] = m
	} else if !s.after(m.Statement) {
		if s.Life != m.Life { // the member has lost its folder and its clock, or the statement is old, which does no harm
			v.acts = append(v.acts, Remind{m.Statement})
		}
		return
	}
	was, known := m.Statement, m.Life != 0
	m.Statement = s
	v.epoch = max(v.epoch, s.Epoch)
	switch {
	case known && s.Life != was.Life:
		// This is either a restart, or a second process under the name, which shows when the earlier one
		// speaks again.
		if m.clash == s.Life {
			v.acts = append(v.acts, refusal(was, s))
		}
		m.clash = was.Life
		m.gone = 0
	case known && s.Incarnation == was.Incarnation && s.Stage == was.Stage:
		return // only its view has changed; whether it responds is for the failure detector to say
	}
	switch {
	case s.Stage == Gone && m.gone == 0:
		m.gone = max(v.now, 1)
		if !m.State.Counted() && m.State != Unknown {
			return
		}
		v.set(m, Departs, "announced its end")
	case s.Stage < Gone:
		m.gone = 0
		why := "announced"
		if known && s.Incarnation > was.Incarnation {
			why = "new process"
		}
		v.set(m, stateOf(s.Stage), why)
	}
}

// receiveOwnName handles a statement under this process's name, from this process, an earlier one or a rival.
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

// resolveConflict decides which of two processes with the same name must end: the one that has not served
// yet, else the one that started later. All who see both decide alike.
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
