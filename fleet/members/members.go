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

// Stage is the stage that a member announces. It never goes back during the life of a process.
type Stage uint8

// Stages.
const (
	StageJoining Stage = iota + 1 // has not heard from the others yet, and is not counted
	StageServing
	StageLeaving // was told to stop, but still holds messages
	StageExited  // its last statement
)

// State is the state of a member in a view.
type State uint8

// States. See Counted for those that count towards the fleet size.
const (
	StateUnknown State = iota
	StateJoining
	StatePresent
	StateSuspect // in doubt, or just gone and perhaps restarting
	StateLeaving
	StateLeft
	StateFailed
)

var stateNames = [...]string{"unknown", "joining", "present", "suspect", "leaving", "left", "failed"}

func (s State) String() string { return stateNames[s] }

// Counted reports whether members in this state count towards the fleet size: all that may still send. A size
// that is too large makes each member's part of a limit too small; one that is too small breaks the limit.
func (s State) Counted() bool { return s == StatePresent || s == StateSuspect || s == StateLeaving }

// Statement is what a member announces about itself. Of two with the same name the later one wins; see
// supersedes.
type Statement struct {
	Name             string
	Incarnation      uint64 // increases with each process of a name
	Sequence         uint64 // number of the statement within the incarnation
	ProcessID        uint64 // random for each process; distinguishes two that claim the same name
	FirstIncarnation uint64 // incarnation at the start of this process
	Addr             string
	Version          string
	Features         []string // optional features of the program
	Stage            Stage
	HeldMessages     int    // messages still held while leaving
	ViewDigest       uint64 // digest of its view
	ViewEpoch        uint64 // of its view
}

// supersedes orders the statements of a name. It also orders those of two processes with the same
// incarnation, so that all who receive both agree on one.
func (s Statement) supersedes(other Statement) bool {
	return cmp.Or(cmp.Compare(s.Incarnation, other.Incarnation), cmp.Compare(s.ProcessID, other.ProcessID), cmp.Compare(s.Sequence, other.Sequence)) > 0
}

// Timeouts are the time limits of a view.
type Timeouts struct {
	RestartGrace time.Duration // how long a member that has gone is assumed to be restarting
	ForgetAfter  time.Duration // how long one that has left or failed is remembered; must exceed the travel time of any statement
	RecordLease  time.Duration // how long a read of the record is valid, and how long a record must be unchanged before it counts
}

// DefaultTimeouts suit nodes that return within seconds after a restart.
func DefaultTimeouts() Timeouts {
	return Timeouts{RestartGrace: 15 * time.Second, ForgetAfter: 24 * time.Hour, RecordLease: 10 * time.Second}
}

// Event is an input to a view.
type Event interface{ event() }

// StatementReceived brings a statement; they may be old and out of order.
type StatementReceived struct{ Statement }

// Suspected says that the failure detector gets no response from a member and tries other ways. Responded
// says that it gets one again.
type (
	Suspected struct{ Name string }
	Responded struct{ Name string }
)

// Unreachable says that the failure detector has given up on the known process of a member.
type Unreachable struct{ Name string }

// RecordRead brings the fleet's names from a linearizable read of the directory's record. The read was
// requested at RequestedAt; the names had been unchanged for UnchangedFor by the directory's clock. Revision
// is that of the record, 0 if there is none yet.
type RecordRead struct {
	Names        []string
	Revision     int64
	UnchangedFor time.Duration
	RequestedAt  time.Duration
}

// Tick marks the passing of time. Timeouts are handled at ticks, so there should be a few per second.
type Tick struct{}

func (StatementReceived) event() {}
func (Suspected) event()         {}
func (Responded) event()         {}
func (Unreachable) event()       {}
func (RecordRead) event()        {}
func (Tick) event()              {}

// Action is an output of a view.
type Action interface{ action() }

// StateChanged reports a member's new state.
type StateChanged struct {
	Name     string
	From, To State
	Reason   string
}

// Broadcast reports a new statement of this process, which the others must receive.
type Broadcast struct{ Statement }

// SendBack requests to send a statement to the process that now runs under its name. That process has an
// incarnation that is not larger, so the others ignore it, and it may not know.
type SendBack struct{ Statement }

// NameConflict reports that two processes claim a name, and which of them must end.
type NameConflict struct {
	Name      string
	Keep, End Statement
}

func (StateChanged) action() {}
func (Broadcast) action()    {}
func (SendBack) action()     {}
func (NameConflict) action() {}

// Member is a view's knowledge of one name.
type Member struct {
	Statement
	State        State
	Since        time.Duration // start of the state
	goneSince    time.Duration // when it became unreachable or made its last statement; 0: neither
	rivalProcess uint64        // latest other process that has claimed the name; 0: none
}

// View is the fleet as seen by one process. It is not safe for concurrent use.
type View struct {
	timeouts    Timeouts
	self        Statement
	now         time.Duration
	rival       Statement          // latest statement of another process under this process's name, since overtaken
	members     map[string]*Member // all except this process
	epoch       uint64
	digest      uint64
	agreedSince time.Duration // since when all counted members agree; negative: they do not
	digestStale bool          // the digest is out of date
	record      RecordRead
	actions     []Action
}

// New creates the view of a process that starts to join, with its first statement. saved is the incarnation
// from the persistent folder, 0 if there is none; wallMS is the Unix time in ms, which replaces it if the
// folder was lost.
func New(timeouts Timeouts, self Statement, saved uint64, wallMS int64, now time.Duration) *View {
	self.Incarnation, self.Sequence, self.Stage = max(saved+1, uint64(max(wallMS, 1))), 1, StageJoining
	self.FirstIncarnation = self.Incarnation
	v := &View{timeouts: timeouts, self: self, now: now, members: map[string]*Member{}, agreedSince: -1, digestStale: true}
	v.updateDigest()
	return v
}

// Self returns the process's current statement. Its incarnation must be saved in the persistent folder before
// it is sent.
func (v *View) Self() Statement { return v.self }

// Advance sets the stage of this process, which never goes back, and the number of messages that it holds.
func (v *View) Advance(now time.Duration, stage Stage, held int) []Action {
	v.begin(now)
	if stage > v.self.Stage || held != v.self.HeldMessages {
		v.self.Stage, v.self.HeldMessages, v.digestStale = max(v.self.Stage, stage), held, true
		v.broadcastSelf()
	}
	return v.finish()
}

// Step handles an event. now must not decrease.
func (v *View) Step(now time.Duration, ev Event) []Action {
	v.begin(now)
	switch ev := ev.(type) {
	case StatementReceived:
		if ev.Name == v.self.Name {
			v.receiveOwnName(ev.Statement)
		} else {
			v.receive(ev.Statement)
		}
	case Suspected:
		if m := v.members[ev.Name]; m != nil && m.State == StatePresent {
			v.setState(m, StateSuspect, "no response")
		}
	case Responded:
		if m := v.members[ev.Name]; m != nil && m.Stage < StageExited && (m.State == StateSuspect || m.State == StateFailed) {
			m.goneSince = 0
			v.setState(m, stateOf(m.Stage), "responds again")
		}
	case Unreachable:
		if m := v.members[ev.Name]; m != nil && m.goneSince == 0 && m.State != StateFailed && m.State != StateLeft {
			m.goneSince = max(v.now, 1)
			if m.State == StatePresent {
				v.setState(m, StateSuspect, "unreachable, may be restarting")
			}
		}
	case RecordRead:
		if ev.Revision >= v.record.Revision {
			v.record = ev
		}
	case Tick:
		v.expire()
	}
	return v.finish()
}

func (v *View) begin(now time.Duration) { v.now, v.actions = max(v.now, now), nil }

// finish updates what depends on the whole view.
func (v *View) finish() []Action {
	v.updateDigest()
	return v.actions
}

// expire handles the timeouts that have passed.
func (v *View) expire() {
	for _, name := range slices.Sorted(maps.Keys(v.members)) {
		m := v.members[name]
		switch {
		case (m.State == StateLeft || m.State == StateFailed) && v.now-m.Since >= v.timeouts.ForgetAfter:
			delete(v.members, name)
		case m.goneSince > 0 && m.State.Counted() && v.now-m.goneSince >= v.timeouts.RestartGrace:
			if m.Stage >= StageLeaving {
				v.setState(m, StateLeft, "announced")
			} else {
				v.setState(m, StateFailed, "unreachable")
			}
		case m.goneSince > 0 && m.State == StateJoining:
			v.setState(m, StateFailed, "unreachable while joining")
		}
	}
}

func stateOf(s Stage) State {
	switch s {
	case StageJoining:
		return StateJoining
	case StageServing:
		return StatePresent
	}
	return StateLeaving
}

// receive handles a statement of another member.
func (v *View) receive(s Statement) {
	m := v.members[s.Name]
	if m == nil {
		m = &Member{Since: v.now}
		v.members[s.Name] = m
	} else if !s.supersedes(m.Statement) {
		if s.ProcessID != m.ProcessID { // the member has lost its folder and its clock, or the statement is old, which does no harm
			v.actions = append(v.actions, SendBack{m.Statement})
		}
		return
	}
	previous, known := m.Statement, m.ProcessID != 0
	m.Statement = s
	v.epoch = max(v.epoch, s.ViewEpoch)
	switch {
	case known && s.ProcessID != previous.ProcessID:
		// This is either a restart, or a second process under the name, which shows when the earlier one
		// speaks again.
		if m.rivalProcess == s.ProcessID {
			v.actions = append(v.actions, resolveConflict(previous, s))
		}
		m.rivalProcess = previous.ProcessID
		m.goneSince = 0
	case known && s.Incarnation == previous.Incarnation && s.Stage == previous.Stage:
		return // only its view has changed; whether it responds is for the failure detector to say
	}
	switch {
	case s.Stage == StageExited && m.goneSince == 0:
		m.goneSince = max(v.now, 1)
		if !m.State.Counted() && m.State != StateUnknown {
			return
		}
		v.setState(m, StateLeaving, "announced its end")
	case s.Stage < StageExited:
		m.goneSince = 0
		reason := "announced"
		if known && s.Incarnation > previous.Incarnation {
			reason = "new process"
		}
		v.setState(m, stateOf(s.Stage), reason)
	}
}

// receiveOwnName handles a statement under this process's name, from this process, an earlier one or a rival.
func (v *View) receiveOwnName(s Statement) {
	if s.ProcessID == v.self.ProcessID || s.Incarnation < v.self.Incarnation {
		return
	}
	alive := v.rival.ProcessID == s.ProcessID && s.supersedes(v.rival) // it has spoken again since, so it is alive
	v.rival = s
	if alive {
		v.actions = append(v.actions, resolveConflict(v.self, s))
		return
	}
	v.self.Incarnation, v.self.Sequence = s.Incarnation+1, 0
	v.broadcastSelf()
}

// resolveConflict decides which of two processes with the same name must end: the one that has not served
// yet, else the one that started later. All who see both decide alike.
func resolveConflict(a, b Statement) NameConflict {
	joining := func(s Statement) int {
		if s.Stage == StageJoining {
			return 1
		}
		return 0
	}
	if cmp.Or(cmp.Compare(joining(a), joining(b)), cmp.Compare(a.FirstIncarnation, b.FirstIncarnation), cmp.Compare(a.ProcessID, b.ProcessID)) > 0 {
		a, b = b, a
	}
	return NameConflict{Name: a.Name, Keep: a, End: b}
}

func (v *View) setState(m *Member, to State, reason string) {
	if m.State == to {
		return
	}
	v.actions = append(v.actions, StateChanged{m.Name, m.State, to, reason})
	m.State, m.Since, v.digestStale = to, v.now, true
}

func (v *View) broadcastSelf() {
	v.self.Sequence++
	v.actions = append(v.actions, Broadcast{v.self})
}
