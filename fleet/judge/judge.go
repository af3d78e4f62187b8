// Package judge finds broken rules in a history: what a fleet of nodes did, as seen by clients, partners and
// the platform. It never relies on what a node says of itself. A violation names the rule, the message, and
// the events that show it.
package judge

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"starlingusher/fleet/history"
)

// Rule names a rule.
type Rule string

const (
	OneFinalAnswer    Rule = "one-end"  // each accepted message has one final answer, in time
	NothingAfterEnd   Rule = "over"     // a message is not sent after its final answer
	OneAttemptAtATime Rule = "one-copy" // no two attempts of a message are in flight at once
	AtMostOnce        Rule = "once"     // a message that must not run twice is not sent, returned or run again once it may have run
	KeyWindow         Rule = "window"   // deduplicated messages are repeated within their window or not at all
	Drain             Rule = "drain"    // no new calls to an endpoint from Config.DrainGrace after it was announced as draining or deleted
	RetryAfter        Rule = "wait"     // a partner that told a retry-after gets no calls until it has passed
	SlowStart         Rule = "cold"     // no partner in slow start collapses by calls from nodes that saw its outage
	MaxAttempts       Rule = "attempts" // a message has at most Config.MaxAttempts attempts
	Slots             Rule = "slots"    // a node has at most as many calls in flight as it has slots
	WrongPartner      Rule = "foreign"  // a partner gets only messages that were submitted for it
	AnswerGiven       Rule = "answer"   // a client that sent a complete request gets an answer
	Alive             Rule = "alive"    // no crash, no failed start, no resource limit exceeded
)

// Rules lists all rules.
var Rules = []Rule{OneFinalAnswer, NothingAfterEnd, OneAttemptAtATime, AtMostOnce, KeyWindow, Drain, RetryAfter, SlowStart, MaxAttempts, Slots, WrongPartner, AnswerGiven, Alive}

// Effect is what a repeat of a message may do.
type Effect uint8

const (
	EffectIdempotent   Effect = iota // repeats are harmless
	EffectDeduplicated               // repeats are dropped within a window
	EffectAtMostOnce                 // must never run twice
)

// Class holds the properties of a message class that the rules need.
type Class struct {
	Name   string
	Effect Effect
	Window time.Duration // in which the partner drops repeats; only for EffectDeduplicated
}

// Config holds the parameters of the rules. A zero slack means none.
type Config struct {
	Classes          []Class
	MaxAttempts      int           // 0: unlimited
	Slots            []int         // calls that a node may have in flight, by node; 0: not checked
	DrainGrace       time.Duration // after a drain was announced
	Slack            time.Duration // added to every time limit
	FinalAnswerSlack time.Duration // after a message's deadline, for its final answer
	RestartSlack     time.Duration // after a restarted node is ready, for final answers that are overdue
	RetryAfterGrace  time.Duration // calls that start so soon after a retry-after was told are allowed
	OverlapSlack     time.Duration // shorter overlaps may come from delays of the observer
}

// DefaultConfig returns the values of the protocol.
func DefaultConfig() Config {
	const ms = time.Millisecond
	return Config{
		MaxAttempts: 6, DrainGrace: 1000 * ms, Slack: 50 * ms, FinalAnswerSlack: 300 * ms, RestartSlack: 1500 * ms, RetryAfterGrace: 100 * ms,
		OverlapSlack: 20 * ms,
	}
}

// Violation is a broken rule.
type Violation struct {
	Rule     Rule            `json:"rule"`
	Node     int             `json:"node"`
	ID       string          `json:"id,omitempty"`
	At       time.Duration   `json:"at"`
	Reason   string          `json:"why"`
	Evidence []history.Event `json:"proof"`
}

func (v Violation) String() string {
	s := fmt.Sprintf("%s: node %d at %v", v.Rule, v.Node, v.At.Round(time.Millisecond))
	if v.ID != "" {
		s += ", message " + v.ID
	}
	return s + ": " + v.Reason
}

// call is one call as the observers saw it.
type call struct {
	started, ended history.Event
	unfinished     bool          // no end was seen
	firstDeadline  time.Duration // when the first of its messages reached its deadline
}

func (c *call) endTime() time.Duration {
	if c.unfinished {
		return 1<<63 - 1
	}
	return c.ended.At
}

// outcome returns how the call ended for a message, as the node was told. mayHaveRun is true unless the node
// has proof that the message did not run. An answer to a batch that comes after the deadline of one of its
// messages counts as a delivery of none of them.
func (c *call) outcome(id string) (delivered, mayHaveRun bool) {
	if c.unfinished {
		return false, true
	}
	switch c.ended.State {
	case history.Accepted:
		for i, f := range c.ended.Outcomes {
			if i < len(c.started.IDs) && c.started.IDs[i] == id {
				counts := len(c.started.IDs) == 1 || c.ended.At <= c.firstDeadline
				return f == history.OutcomeAccepted && counts, f != history.OutcomeDeferred
			}
		}
		return false, true
	case history.AboveLimit, history.Rejected, history.QueueFull, history.TooManyConns:
		return false, false
	}
	return false, true
}

// message is what was seen of one submission; a message that is resubmitted under another id has several.
type message struct {
	submitted history.Event
	answered  *history.Event // by the node; nil: not seen
	calls     []*call
	notices   []history.Event
	ran       []history.Event
}

func (m *message) accepted() bool { return m.answered != nil && m.answered.State == history.Taken }

// span is a period in which nothing is required of a node.
type span struct{ from, to time.Duration }

type checker struct {
	config     Config
	events     []history.Event
	messages   map[string]*message
	messageIDs []string // of messages, in the order of their submission
	calls      map[uint64]*call
	callOrder  []*call
	excused    map[int][]span          // restarts and stops, by node
	starts     map[int][]time.Duration // of processes, by node
	stateLost  map[int][]time.Duration // when the state directory was lost, by node
	end        time.Duration           // of the history
	violations []Violation
}

// FindViolations checks a history, which must be in order of time. It returns the violations in order of time.
func FindViolations(config Config, events []history.Event) []Violation {
	j := &checker{
		config: config, events: events, messages: map[string]*message{}, calls: map[uint64]*call{}, excused: map[int][]span{},
		starts: map[int][]time.Duration{}, stateLost: map[int][]time.Duration{},
	}
	j.index()
	j.checkProcesses()
	for _, id := range j.messageIDs {
		m := j.messages[id]
		j.checkOneFinalAnswer(m)
		j.checkNothingAfterEnd(m)
		j.checkAttempts(m)
		j.checkRepeats(m)
		j.checkAnswer(m)
	}
	j.checkDoubleRuns()
	j.checkPartners()
	j.checkDrains()
	j.checkRetryAfter()
	j.checkSlots()
	j.checkSlowStart()
	slices.SortStableFunc(j.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return j.violations
}

func (j *checker) report(rule Rule, node int, id string, at time.Duration, evidence []history.Event, reason string, args ...any) {
	j.violations = append(j.violations, Violation{Rule: rule, Node: node, ID: id, At: at, Reason: fmt.Sprintf(reason, args...), Evidence: evidence})
}

// index groups the events by message and call.
func (j *checker) index() {
	if n := len(j.events); n > 0 {
		j.end = j.events[n-1].At
	}
	// A call that was abandoned on its way ends before it starts at the partner, so the starts are read
	// first.
	for _, e := range j.events {
		if e.Kind == history.CallStarted {
			c := &call{started: e, unfinished: true}
			j.calls[e.Call] = c
			j.callOrder = append(j.callOrder, c)
		}
	}
	for _, e := range j.events {
		switch e.Kind {
		case history.Submitted:
			if j.messages[e.ID] == nil {
				j.messageIDs = append(j.messageIDs, e.ID)
			}
			j.messages[e.ID] = &message{submitted: e}
		case history.Answered:
			if m := j.messages[e.ID]; m != nil {
				m.answered = &e
			}
		case history.CallStarted:
			c := j.calls[e.Call]
			for _, id := range e.IDs {
				if m := j.messages[id]; m != nil {
					m.calls = append(m.calls, c)
					if deadline := m.submitted.At + m.submitted.ExpiresIn + j.config.Slack; c.firstDeadline == 0 || deadline < c.firstDeadline {
						c.firstDeadline = deadline
					}
				}
			}
		case history.CallEnded:
			if c := j.calls[e.Call]; c != nil && c.unfinished {
				c.ended, c.unfinished = e, false
			}
		case history.Executed:
			if m := j.messages[e.ID]; m != nil {
				m.ran = append(m.ran, e)
			}
		case history.NoticeReceived:
			if m := j.messages[e.ID]; m != nil {
				m.notices = append(m.notices, e)
			}
		}
	}
	byStart := func(a, b *call) int { return cmp.Compare(a.started.FirstAt, b.started.FirstAt) }
	slices.SortStableFunc(j.callOrder, byStart)
	for _, m := range j.messages {
		slices.SortStableFunc(m.calls, byStart)
	}
}

// checkProcesses finds crashes, and the periods in which a node is excused: from the signal of a restart
// until it is ready again, and while it is stopped, each with some slack.
func (j *checker) checkProcesses() {
	exitRequested, notReadySince := map[int]bool{}, map[int]time.Duration{} // the node was told to exit; time since which it has not been ready
	stopped := map[int]time.Duration{}
	for _, e := range j.events {
		switch e.Kind {
		case history.Started:
			j.starts[e.Node] = append(j.starts[e.Node], e.At)
			if !exitRequested[e.Node] {
				notReadySince[e.Node] = e.At
			}
			exitRequested[e.Node] = false
		case history.TermSent, history.Killed:
			if _, known := notReadySince[e.Node]; !known {
				notReadySince[e.Node] = e.At
			}
			exitRequested[e.Node] = true
		case history.Ready:
			if from, ok := notReadySince[e.Node]; ok {
				j.excused[e.Node] = append(j.excused[e.Node], span{from, e.At + j.config.RestartSlack})
				delete(notReadySince, e.Node)
			}
		case history.Stopped:
			stopped[e.Node] = e.At
		case history.Resumed:
			if from, ok := stopped[e.Node]; ok {
				j.excused[e.Node] = append(j.excused[e.Node], span{from, e.At + j.config.RestartSlack})
				delete(stopped, e.Node)
			}
		case history.Exited:
			if e.State == history.Crashed {
				j.report(Alive, e.Node, "", e.At, []history.Event{e}, "the process exited without being told to: %s", e.Note)
			}
		case history.LimitExceeded:
			j.report(Alive, e.Node, "", e.At, []history.Event{e}, "%s", e.Note)
		case history.StateLost:
			j.stateLost[e.Node] = append(j.stateLost[e.Node], e.At)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(notReadySince)) {
		j.excused[n] = append(j.excused[n], span{notReadySince[n], j.end + time.Hour})
	}
	for n, from := range stopped {
		j.excused[n] = append(j.excused[n], span{from, j.end + time.Hour})
	}
	for _, spans := range j.excused {
		slices.SortFunc(spans, func(a, b span) int { return cmp.Compare(a.from, b.from) })
	}
}

// excusedUntil returns the end of the excused periods of a node that a time is in, or the time itself if it is in
// none.
func (j *checker) excusedUntil(node int, at time.Duration) time.Duration {
	for _, s := range j.excused[node] {
		if s.from <= at && at < s.to {
			at = s.to
		}
	}
	return at
}

// stateLostSince reports whether the node lost its state directory at or after a time.
func (j *checker) stateLostSince(node int, at time.Duration) bool {
	return slices.ContainsFunc(j.stateLost[node], func(l time.Duration) bool { return l >= at })
}

// finalAnswer returns the first event that ended the message: a call that delivered it, or a notice.
func (j *checker) finalAnswer(m *message) (history.Event, bool) {
	var first history.Event
	found := false
	for _, c := range m.calls {
		if ok, _ := c.outcome(m.submitted.ID); ok && (!found || c.ended.At < first.At) {
			first, found = c.ended, true
		}
	}
	for _, n := range m.notices {
		if !found || n.At < first.At {
			first, found = n, true
		}
	}
	return first, found
}

func (j *checker) checkOneFinalAnswer(m *message) {
	if !m.accepted() || j.stateLostSince(m.submitted.Node, m.submitted.At) {
		return
	}
	// A call that is in flight at the deadline may end the message then; the slack covers the delay of the
	// notice.
	due := j.excusedUntil(m.submitted.Node, m.submitted.At+m.submitted.ExpiresIn+j.config.FinalAnswerSlack+j.config.Slack)
	end, ok := j.finalAnswer(m)
	evidence := []history.Event{m.submitted, *m.answered}
	switch {
	case !ok && due < j.end:
		j.report(OneFinalAnswer, m.submitted.Node, m.submitted.ID, due, append(evidence, callEvents(m)...), "it was accepted and never had a final answer")
	case ok && end.At > due:
		j.report(OneFinalAnswer, m.submitted.Node, m.submitted.ID, end.At, append(evidence, end), "its final answer came %v too late", (end.At - due).Round(time.Millisecond))
	}
	// Delivered messages need no notice, and one does no harm. But two notices must not disagree.
	for i := 1; i < len(m.notices); i++ {
		if m.notices[i].State != m.notices[0].State {
			j.report(OneFinalAnswer, m.submitted.Node, m.submitted.ID, m.notices[i].At, append(evidence, m.notices[0], m.notices[i]), "it ended as %s and then as %s",
				m.notices[0].State, m.notices[i].State)
			break
		}
	}
}

func callEvents(m *message) []history.Event {
	var out []history.Event
	for _, c := range m.calls {
		out = append(out, c.started)
		if !c.unfinished {
			out = append(out, c.ended)
		}
	}
	return out
}

func (j *checker) checkNothingAfterEnd(m *message) {
	end, ok := j.finalAnswer(m)
	if !ok || !m.accepted() {
		return
	}
	for _, c := range m.calls {
		// If a process is killed before it has recorded a delivery, the message may be sent once more, as its
		// class permits; checkRepeats covers that. After a notice no attempt may follow.
		if c.started.FirstAt <= end.At+j.config.OverlapSlack {
			continue
		}
		if end.Kind == history.NoticeReceived || !j.restarted(m.submitted.Node, end.At, c.started.FirstAt) {
			j.report(NothingAfterEnd, m.submitted.Node, m.submitted.ID, c.started.FirstAt, []history.Event{m.submitted, end, c.started}, "it was sent %v after its final answer",
				(c.started.FirstAt - end.At).Round(time.Millisecond))
			return
		}
	}
}

func (j *checker) checkAttempts(m *message) {
	if limit := j.config.MaxAttempts; limit > 0 && len(m.calls) > limit {
		j.report(MaxAttempts, m.submitted.Node, m.submitted.ID, m.calls[limit].started.FirstAt, callEvents(m), "%d attempts, %d are allowed", len(m.calls), limit)
	}
}

// checkRepeats compares each attempt of a message with those before it.
func (j *checker) checkRepeats(m *message) {
	class := Class{}
	if m.submitted.Class < len(j.config.Classes) {
		class = j.config.Classes[m.submitted.Class]
	}
	overlapFound, repeatFound, windowFound := false, false, false
	for i, c := range m.calls {
		for _, before := range m.calls[:i] {
			if !overlapFound && before.endTime() > c.started.FirstAt+j.config.OverlapSlack {
				overlapFound = true
				evidence := []history.Event{m.submitted, before.started, c.started}
				if !before.unfinished {
					evidence = append(evidence, before.ended)
				}
				j.report(OneAttemptAtATime, m.submitted.Node, m.submitted.ID, c.started.FirstAt, evidence, "call %d started while call %d was in flight", c.started.Call, before.started.Call)
			}
			if _, mayHaveRun := before.outcome(m.submitted.ID); !mayHaveRun {
				continue
			}
			evidence := []history.Event{m.submitted, before.started, before.ended, c.started}
			late := c.started.FirstAt - before.started.FirstAt - class.Window - j.config.Slack
			switch {
			case class.Effect == EffectAtMostOnce && !repeatFound:
				repeatFound = true
				j.report(AtMostOnce, m.submitted.Node, m.submitted.ID, c.started.FirstAt, evidence, "it was sent again although call %d may have run it (%s)", before.started.Call,
					endState(before))
			case class.Effect == EffectDeduplicated && late > 0 && !windowFound:
				windowFound = true
				j.report(KeyWindow, m.submitted.Node, m.submitted.ID, c.started.FirstAt, evidence, "it was sent again %v after its deduplication window",
					late.Round(time.Millisecond))
			}
		}
	}
	if class.Effect != EffectAtMostOnce {
		return
	}
	for _, n := range m.notices {
		if n.State != history.Returned {
			continue
		}
		for _, c := range m.calls {
			if _, mayHaveRun := c.outcome(m.submitted.ID); mayHaveRun && c.started.FirstAt < n.At {
				j.report(AtMostOnce, m.submitted.Node, m.submitted.ID, n.At, []history.Event{m.submitted, c.started, c.ended, n}, "it was returned although call %d may have run it (%s)",
					c.started.Call, endState(c))
				return
			}
		}
	}
}

func endState(c *call) string {
	if c.unfinished {
		return "no end seen"
	}
	return c.ended.State
}

// checkDoubleRuns finds messages that must not run twice and did. Runs under all ids of a message count: a client
// resubmits it under another id only after a node said that this is harmless.
func (j *checker) checkDoubleRuns() {
	type run struct {
		m     *message
		event history.Event
	}
	byMessage := map[int][]run{}
	for _, id := range j.messageIDs {
		m := j.messages[id]
		if m.submitted.Class < len(j.config.Classes) && j.config.Classes[m.submitted.Class].Effect == EffectAtMostOnce {
			for _, r := range m.ran {
				byMessage[m.submitted.MessageNumber] = append(byMessage[m.submitted.MessageNumber], run{m, r})
			}
		}
	}
	for _, number := range slices.Sorted(maps.Keys(byMessage)) {
		runs := byMessage[number]
		slices.SortStableFunc(runs, func(a, b run) int { return cmp.Compare(a.event.At, b.event.At) })
		if len(runs) < 2 {
			continue
		}
		a, b := runs[0], runs[1]
		j.report(AtMostOnce, b.m.submitted.Node, b.m.submitted.ID, b.event.At, []history.Event{a.m.submitted, a.event, b.m.submitted, b.event}, "it took effect twice: in call %d and in call %d",
			a.event.Call, b.event.Call)
	}
}

// checkAnswer finds connections that ended without an answer while the node was not excused.
func (j *checker) checkAnswer(m *message) {
	e := m.answered
	if e == nil || e.State != history.ConnectionLost || j.excusedUntil(m.submitted.Node, e.At) != e.At || j.excusedUntil(m.submitted.Node, m.submitted.At) != m.submitted.At {
		return
	}
	j.report(AnswerGiven, m.submitted.Node, m.submitted.ID, e.At, []history.Event{m.submitted, *e}, "the connection ended without an answer")
}

// checkPartners finds messages in calls that the node or the partner should not have had, and duplicates in a call.
func (j *checker) checkPartners() {
	for _, c := range j.callOrder {
		for i, id := range c.started.IDs {
			m := j.messages[id]
			switch {
			case m == nil:
				j.report(WrongPartner, c.started.Node, id, c.started.At, []history.Event{c.started}, "no client submitted it")
			case m.submitted.Dest != c.started.Partner:
				j.report(WrongPartner, c.started.Node, id, c.started.At, []history.Event{m.submitted, c.started}, "it is for partner %d but was sent to partner %d", m.submitted.Dest,
					c.started.Partner)
			case m.submitted.Node != c.started.Node:
				j.report(WrongPartner, c.started.Node, id, c.started.At, []history.Event{m.submitted, c.started}, "it was submitted to node %d, but another node sent it", m.submitted.Node)
			case slices.Contains(c.started.IDs[:i], id):
				j.report(OneAttemptAtATime, c.started.Node, id, c.started.At, []history.Event{c.started}, "it is twice in one call")
			}
		}
	}
}

func (j *checker) checkDrains() {
	type view struct { // an endpoint as one node is told of it
		node     int
		endpoint string
	}
	announced := map[view]history.Event{}
	at := map[view][]history.Event{}
	for _, e := range j.events {
		if e.Kind == history.ChangeAnnounced {
			p := view{e.Node, e.Endpoint}
			at[p] = append(at[p], e)
		}
	}
	for _, c := range j.callOrder {
		if len(c.started.IDs) == 0 {
			continue // a probe delivers no message
		}
		p := view{c.started.Node, c.started.Endpoint}
		for len(at[p]) > 0 && at[p][0].At <= c.started.FirstAt {
			e := at[p][0]
			at[p] = at[p][1:]
			if e.State == history.Serving {
				delete(announced, p)
			} else if _, before := announced[p]; !before {
				announced[p] = e
			}
		}
		e, ok := announced[p]
		if !ok {
			continue
		}
		// A process that is stopped learns of a change when it resumes.
		knownAt := j.stoppedUntil(p.node, e.At)
		if late := c.started.FirstAt - knownAt - j.config.DrainGrace - j.config.Slack; late > 0 {
			j.report(Drain, p.node, firstID(c.started.IDs), c.started.FirstAt, []history.Event{e, c.started}, "a call to %s started %v after the end of the grace period; the endpoint had been announced as %s",
				p.endpoint, late.Round(time.Millisecond), e.State)
		}
	}
}

// stoppedUntil is excusedUntil without the slack for final answers.
func (j *checker) stoppedUntil(node int, at time.Duration) time.Duration {
	for _, s := range j.excused[node] {
		if to := s.to - j.config.RestartSlack; s.from <= at && at < to {
			at = to
		}
	}
	return at
}

func firstID(ids []string) string {
	if len(ids) == 0 {
		return ""
	}
	return ids[0]
}

func (j *checker) checkRetryAfter() {
	type pair struct{ node, partner int }
	refusals := map[pair][]history.Event{}
	for _, e := range j.events {
		if e.Kind == history.CallEnded && e.RetryAfter > 0 && e.State != history.Abandoned {
			p := pair{e.Node, e.Partner}
			refusals[p] = append(refusals[p], e)
		}
	}
	for _, c := range j.callOrder {
		if len(c.started.IDs) == 0 {
			continue
		}
		p := pair{c.started.Node, c.started.Partner}
		for _, e := range refusals[p] {
			if e.At > c.started.FirstAt {
				break
			}
			knownAt := j.stoppedUntil(p.node, e.At)
			if c.started.FirstAt <= knownAt+j.config.RetryAfterGrace || c.started.FirstAt >= e.At+e.RetryAfter-j.config.Slack || j.restarted(p.node, e.At, c.started.FirstAt) {
				continue
			}
			j.report(RetryAfter, p.node, firstID(c.started.IDs), c.started.FirstAt, []history.Event{e, c.started}, "partner %d had answered %v before with a retry-after of %v",
				p.partner, (c.started.FirstAt - e.At).Round(time.Millisecond), e.RetryAfter.Round(time.Millisecond))
			break
		}
	}
}

// restarted reports whether a process of the node started after from and by to.
func (j *checker) restarted(node int, from, to time.Duration) bool {
	return slices.ContainsFunc(j.starts[node], func(at time.Duration) bool { return at > from && at <= to })
}

func (j *checker) checkSlots() {
	type edge struct {
		at    time.Duration
		delta int // of the calls in flight
		call  *call
	}
	byNode := map[int][]edge{}
	for _, c := range j.callOrder {
		if len(c.started.IDs) == 0 {
			continue // a probe takes no slot
		}
		n := c.started.Node
		byNode[n] = append(byNode[n], edge{c.started.FirstAt + j.config.OverlapSlack, 1, c})
		if !c.unfinished {
			byNode[n] = append(byNode[n], edge{max(c.ended.At, c.started.FirstAt+j.config.OverlapSlack), -1, c})
		}
	}
	for _, n := range slices.Sorted(maps.Keys(byNode)) {
		if n >= len(j.config.Slots) || n < 0 || j.config.Slots[n] <= 0 {
			continue
		}
		edges := byNode[n]
		slices.SortStableFunc(edges, func(a, b edge) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.delta, b.delta)) })
		inFlight := 0
		for _, e := range edges {
			if inFlight += e.delta; inFlight > j.config.Slots[n] {
				j.report(Slots, n, firstID(e.call.started.IDs), e.at, []history.Event{e.call.started}, "%d calls are in flight, the node has %d slots", inFlight, j.config.Slots[n])
				break
			}
		}
	}
}

// checkSlowStart finds partners that collapsed in slow start when two thirds or more of the calls came from nodes
// that had seen the outage, that is, that had a failed call or connection in it.
func (j *checker) checkSlowStart() {
	firstFailure := map[int]map[int]history.Event{} // by partner and node: the first failure in its last outage
	inOutage := map[int]bool{}
	for _, e := range j.events {
		switch e.Kind {
		case history.OutageBegan:
			if !inOutage[e.Partner] {
				firstFailure[e.Partner], inOutage[e.Partner] = map[int]history.Event{}, true
			}
		case history.OutageEnded:
			inOutage[e.Partner] = false
		case history.CallEnded, history.ConnectFailed:
			if good := e.State == history.Accepted; !good && inOutage[e.Partner] {
				if _, before := firstFailure[e.Partner][e.Node]; !before {
					firstFailure[e.Partner][e.Node] = e
				}
			}
		case history.Collapsed:
			evidence, total, fromWitnesses := []history.Event{e}, 0.0, 0.0
			for _, n := range slices.Sorted(maps.Keys(e.CallsBySender)) {
				total += e.CallsBySender[n]
				if s, ok := firstFailure[e.Partner][n]; ok {
					fromWitnesses += e.CallsBySender[n]
					evidence = append(evidence, s)
				}
			}
			if total > 0 && fromWitnesses >= total*2/3 {
				j.report(SlowStart, -1, "", e.At, evidence, "partner %d collapsed in slow start, %.0f of %.0f calls came from nodes that had seen its outage", e.Partner, fromWitnesses, total)
			}
		}
	}
}
