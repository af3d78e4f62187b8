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
	KeyWindow         Rule = "window"   // keyed messages are repeated within their deduplication window or not at all
	Drain             Rule = "drain"    // no new calls to an endpoint that drains or is deleted, one second after the change was announced
	RetryAfter        Rule = "wait"     // a partner that told a retry-after gets no calls until it has passed
	SlowStart         Rule = "cold"     // no partner in slow start collapses by calls from nodes that saw its outage
	MaxAttempts       Rule = "attempts" // a message has at most so many attempts
	Slots             Rule = "slots"    // a node has at most so many calls in flight
	WrongPartner      Rule = "foreign"  // a partner gets only messages that were submitted for it
	AnswerGiven       Rule = "answer"   // a client that sent a complete request gets an answer
	Alive             Rule = "alive"    // no crash, no failed start, no resource limit exceeded
)

// Rules lists all rules.
var Rules = []Rule{OneFinalAnswer, NothingAfterEnd, OneAttemptAtATime, AtMostOnce, KeyWindow, Drain, RetryAfter, SlowStart, MaxAttempts, Slots, WrongPartner, AnswerGiven, Alive}

// Effect is what a repeat of a message may do.
type Effect uint8

const (
	Safe   Effect = iota // repeats are harmless
	Keyed                // repeats are dropped within a window
	Unsafe               // must never run twice
)

// Class holds the properties of a message class that the rules need.
type Class struct {
	Name   string
	Effect Effect
	Window time.Duration
}

// Config holds the parameters of the rules. A zero slack means none.
type Config struct {
	Classes          []Class
	MaxAttempts      int // 0: unlimited
	Slots            []int
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

func (b Violation) String() string {
	s := fmt.Sprintf("%s: node %d at %v", b.Rule, b.Node, b.At.Round(time.Millisecond))
	if b.ID != "" {
		s += ", message " + b.ID
	}
	return s + ": " + b.Reason
}

// call is one call as the observers saw it.
type call struct {
	began, ended history.Event
	open         bool          // no end was seen
	over         time.Duration // when the first of its messages reached its deadline
}

func (c *call) end() time.Duration {
	if c.open {
		return 1<<63 - 1
	}
	return c.ended.At
}

// outcome returns how the call ended for a message, as the node was told. mayHaveRun is true unless the node
// has proof that the message did not run. An answer to a batch counts for none of its messages once the
// deadline of one of them has passed.
func (c *call) fate(id string) (delivered, mayHaveRun bool) {
	if c.open {
		return false, true
	}
	switch c.ended.State {
	case history.Accepted:
		for i, f := range c.ended.Outcomes {
			if i < len(c.began.IDs) && c.began.IDs[i] == id {
				counts := len(c.began.IDs) == 1 || c.ended.At <= c.over
				return f == history.OutcomeAccepted && counts, f != history.OutcomeDeferred
			}
		}
		return false, true
	case history.AboveLimit, history.Rejected, history.QueueFull, history.TooManyConns:
		return false, false
	}
	return false, true
}

type message struct {
	in       history.Event
	answered *history.Event // by the node; nil: not seen
	calls    []*call
	notices  []history.Event
	ran      []history.Event
}

func (m *message) taken() bool { return m.answered != nil && m.answered.State == history.Taken }

// span is a period in which nothing is required of a node.
type span struct{ from, to time.Duration }

type judge struct {
	terms    Config
	events   []history.Event
	messages map[string]*message
	ids      []string // of messages, in the order of their submission
	calls    map[uint64]*call
	order    []*call
	excused  map[int][]span // restarts and stops, by node
	starts   map[int][]time.Duration
	lost     map[int][]time.Duration
	end      time.Duration
	found    []Violation
}

// FindViolations checks a history, which must be in order of time. It returns the violations in order of time.
func FindViolations(terms Config, events []history.Event) []Violation {
	j := &judge{
		terms: terms, events: events, messages: map[string]*message{}, calls: map[uint64]*call{}, excused: map[int][]span{},
		starts: map[int][]time.Duration{}, lost: map[int][]time.Duration{},
	}
	j.read()
	j.processes()
	for _, id := range j.ids {
		m := j.messages[id]
		j.oneEnd(m)
		j.over(m)
		j.attempts(m)
		j.effects(m)
		j.answer(m)
	}
	j.cases()
	j.foreign()
	j.drains()
	j.waits()
	j.slots()
	j.colds()
	slices.SortStableFunc(j.found, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return j.found
}

func (j *judge) breach(rule Rule, node int, id string, at time.Duration, proof []history.Event, why string, args ...any) {
	j.found = append(j.found, Violation{Rule: rule, Node: node, ID: id, At: at, Reason: fmt.Sprintf(why, args...), Evidence: proof})
}

// index groups the events by message and call.
func (j *judge) read() {
	if n := len(j.events); n > 0 {
		j.end = j.events[n-1].At
	}
	// A call that was abandoned on its way ends before it starts at the partner, so the starts are read
	// first.
	for _, e := range j.events {
		if e.Kind == history.CallStarted {
			c := &call{began: e, open: true}
			j.calls[e.Call] = c
			j.order = append(j.order, c)
		}
	}
	for _, e := range j.events {
		switch e.Kind {
		case history.Submitted:
			if j.messages[e.ID] == nil {
				j.ids = append(j.ids, e.ID)
			}
			j.messages[e.ID] = &message{in: e}
		case history.Answered:
			if m := j.messages[e.ID]; m != nil {
				m.answered = &e
			}
		case history.CallStarted:
			c := j.calls[e.Call]
			for _, id := range e.IDs {
				if m := j.messages[id]; m != nil {
					m.calls = append(m.calls, c)
					if up := m.in.At + m.in.ExpiresIn + j.terms.Slack; c.over == 0 || up < c.over {
						c.over = up
					}
				}
			}
		case history.CallEnded:
			if c := j.calls[e.Call]; c != nil && c.open {
				c.ended, c.open = e, false
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
	byFirst := func(a, b *call) int { return cmp.Compare(a.began.FirstAt, b.began.FirstAt) }
	slices.SortStableFunc(j.order, byFirst)
	for _, m := range j.messages {
		slices.SortStableFunc(m.calls, byFirst)
	}
}

// checkProcesses finds crashes, and the periods in which a node is excused: from the signal of a restart
// until it is ready again, and while it is stopped, each with some slack.
func (j *judge) processes() {
	asked, since := map[int]bool{}, map[int]time.Duration{} // the node was told to exit; time since which it has not been ready
	stopped := map[int]time.Duration{}
	for _, e := range j.events {
		switch e.Kind {
		case history.Started:
			j.starts[e.Node] = append(j.starts[e.Node], e.At)
			if !asked[e.Node] {
				since[e.Node] = e.At
			}
			asked[e.Node] = false
		case history.TermSent, history.Killed:
			if _, out := since[e.Node]; !out {
				since[e.Node] = e.At
			}
			asked[e.Node] = true
		case history.Ready:
			if from, ok := since[e.Node]; ok {
				j.excused[e.Node] = append(j.excused[e.Node], span{from, e.At + j.terms.RestartSlack})
				delete(since, e.Node)
			}
		case history.Stopped:
			stopped[e.Node] = e.At
		case history.Resumed:
			if from, ok := stopped[e.Node]; ok {
				j.excused[e.Node] = append(j.excused[e.Node], span{from, e.At + j.terms.RestartSlack})
				delete(stopped, e.Node)
			}
		case history.Exited:
			if e.State == history.Crashed {
				j.breach(Alive, e.Node, "", e.At, []history.Event{e}, "the process exited without being told to: %s", e.Note)
			}
		case history.LimitExceeded:
			j.breach(Alive, e.Node, "", e.At, []history.Event{e}, "%s", e.Note)
		case history.StateLost:
			j.lost[e.Node] = append(j.lost[e.Node], e.At)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(since)) {
		j.excused[n] = append(j.excused[n], span{since[n], j.end + time.Hour})
	}
	for n, from := range stopped {
		j.excused[n] = append(j.excused[n], span{from, j.end + time.Hour})
	}
	for _, spans := range j.excused {
		slices.SortFunc(spans, func(a, b span) int { return cmp.Compare(a.from, b.from) })
	}
}

// excusedUntil moves a time to the end of the periods in which the node is excused.
func (j *judge) excusedUntil(node int, at time.Duration) time.Duration {
	for _, s := range j.excused[node] {
		if s.from <= at && at < s.to {
			at = s.to
		}
	}
	return at
}

func (j *judge) lostSince(node int, at time.Duration) bool {
	return slices.ContainsFunc(j.lost[node], func(l time.Duration) bool { return l >= at })
}

// finalAnswer returns the first event that ended the message.
func (j *judge) ended(m *message) (history.Event, bool) {
	var first history.Event
	found := false
	for _, c := range m.calls {
		if ok, _ := c.fate(m.in.ID); ok && (!found || c.ended.At < first.At) {
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

func (j *judge) oneEnd(m *message) {
	if !m.taken() || j.lostSince(m.in.Node, m.in.At) {
		return
	}
	// A call that is in flight at the deadline may end the message then; the slack covers the delay of the
	// notice.
	due := j.excusedUntil(m.in.Node, m.in.At+m.in.ExpiresIn+j.terms.FinalAnswerSlack+j.terms.Slack)
	end, ok := j.ended(m)
	proof := []history.Event{m.in, *m.answered}
	switch {
	case !ok && due < j.end:
		j.breach(OneFinalAnswer, m.in.Node, m.in.ID, due, append(proof, callEvents(m)...), "it was accepted and never had a final answer")
	case ok && end.At > due:
		j.breach(OneFinalAnswer, m.in.Node, m.in.ID, end.At, append(proof, end), "its final answer came %v too late", (end.At - due).Round(time.Millisecond))
	}
	// Delivered messages need no notice, and one does no harm. But two notices must not disagree.
	for i := 1; i < len(m.notices); i++ {
		if m.notices[i].State != m.notices[0].State {
			j.breach(OneFinalAnswer, m.in.Node, m.in.ID, m.notices[i].At, append(proof, m.notices[0], m.notices[i]), "it ended as %s and then as %s",
				m.notices[0].State, m.notices[i].State)
			break
		}
	}
}

func callEvents(m *message) []history.Event {
	var out []history.Event
	for _, c := range m.calls {
		out = append(out, c.began)
		if !c.open {
			out = append(out, c.ended)
		}
	}
	return out
}

func (j *judge) over(m *message) {
	end, ok := j.ended(m)
	if !ok || !m.taken() {
		return
	}
	for _, c := range m.calls {
		// If a process is killed before it has recorded a delivery, the message may be sent once more, as its
		// class permits; checkRepeats covers that. After a notice no attempt may follow.
		if c.began.FirstAt <= end.At+j.terms.OverlapSlack {
			continue
		}
		if end.Kind == history.NoticeReceived || !j.restarted(m.in.Node, end.At, c.began.FirstAt) {
			j.breach(NothingAfterEnd, m.in.Node, m.in.ID, c.began.FirstAt, []history.Event{m.in, end, c.began}, "it was sent %v after its final answer",
				(c.began.FirstAt - end.At).Round(time.Millisecond))
			return
		}
	}
}

func (j *judge) attempts(m *message) {
	if most := j.terms.MaxAttempts; most > 0 && len(m.calls) > most {
		j.breach(MaxAttempts, m.in.Node, m.in.ID, m.calls[most].began.FirstAt, callEvents(m), "%d attempts, %d are allowed", len(m.calls), most)
	}
}

// checkRepeats compares each attempt of a message with those before it.
func (j *judge) effects(m *message) {
	class := Class{}
	if m.in.Class < len(j.terms.Classes) {
		class = j.terms.Classes[m.in.Class]
	}
	copies, once, window := false, false, false
	for i, c := range m.calls {
		for _, before := range m.calls[:i] {
			if !copies && before.end() > c.began.FirstAt+j.terms.OverlapSlack {
				copies = true
				proof := []history.Event{m.in, before.began, c.began}
				if !before.open {
					proof = append(proof, before.ended)
				}
				j.breach(OneAttemptAtATime, m.in.Node, m.in.ID, c.began.FirstAt, proof, "call %d started while call %d was in flight", c.began.Call, before.began.Call)
			}
			if _, may := before.fate(m.in.ID); !may {
				continue
			}
			proof := []history.Event{m.in, before.began, before.ended, c.began}
			late := c.began.FirstAt - before.began.FirstAt - class.Window - j.terms.Slack
			switch {
			case class.Effect == Unsafe && !once:
				once = true
				j.breach(AtMostOnce, m.in.Node, m.in.ID, c.began.FirstAt, proof, "it was sent again although call %d may have run it (%s)", before.began.Call,
					state(before))
			case class.Effect == Keyed && late > 0 && !window:
				window = true
				j.breach(KeyWindow, m.in.Node, m.in.ID, c.began.FirstAt, proof, "it was sent again %v after its deduplication window",
					late.Round(time.Millisecond))
			}
		}
	}
	if class.Effect != Unsafe {
		return
	}
	for _, n := range m.notices {
		if n.State != history.Returned {
			continue
		}
		for _, c := range m.calls {
			if _, may := c.fate(m.in.ID); may && c.began.FirstAt < n.At {
				j.breach(AtMostOnce, m.in.Node, m.in.ID, n.At, []history.Event{m.in, c.began, c.ended, n}, "it was returned although call %d may have run it (%s)",
					c.began.Call, state(c))
				return
			}
		}
	}
}

func state(c *call) string {
	if c.open {
		return "no end seen"
	}
	return c.ended.State
}

// checkDoubleRuns finds messages that must not run twice and did, under one id or, if a node said that
// resubmission is harmless, under two.
func (j *judge) cases() {
	type run struct {
		m  *message
		at history.Event
	}
	byCase := map[int][]run{}
	for _, id := range j.ids {
		m := j.messages[id]
		if m.in.Class < len(j.terms.Classes) && j.terms.Classes[m.in.Class].Effect == Unsafe {
			for _, r := range m.ran {
				byCase[m.in.MessageNumber] = append(byCase[m.in.MessageNumber], run{m, r})
			}
		}
	}
	for _, c := range slices.Sorted(maps.Keys(byCase)) {
		runs := byCase[c]
		slices.SortStableFunc(runs, func(a, b run) int { return cmp.Compare(a.at.At, b.at.At) })
		if len(runs) < 2 {
			continue
		}
		a, b := runs[0], runs[1]
		j.breach(AtMostOnce, b.m.in.Node, b.m.in.ID, b.at.At, []history.Event{a.m.in, a.at, b.m.in, b.at}, "it took effect twice: in call %d and in call %d",
			a.at.Call, b.at.Call)
	}
}

func (j *judge) answer(m *message) {
	e := m.answered
	if e == nil || e.State != history.ConnectionLost || j.excusedUntil(m.in.Node, e.At) != e.At || j.excusedUntil(m.in.Node, m.in.At) != m.in.At {
		return
	}
	j.breach(AnswerGiven, m.in.Node, m.in.ID, e.At, []history.Event{m.in, *e}, "the connection ended without an answer")
}

func (j *judge) foreign() {
	for _, c := range j.order {
		for i, id := range c.began.IDs {
			m := j.messages[id]
			switch {
			case m == nil:
				j.breach(WrongPartner, c.began.Node, id, c.began.At, []history.Event{c.began}, "no client submitted it")
			case m.in.Dest != c.began.Partner:
				j.breach(WrongPartner, c.began.Node, id, c.began.At, []history.Event{m.in, c.began}, "it is for partner %d but was sent to partner %d", m.in.Dest,
					c.began.Partner)
			case m.in.Node != c.began.Node:
				j.breach(WrongPartner, c.began.Node, id, c.began.At, []history.Event{m.in, c.began}, "it was submitted to node %d", m.in.Node)
			case slices.Contains(c.began.IDs[:i], id):
				j.breach(OneAttemptAtATime, c.began.Node, id, c.began.At, []history.Event{c.began}, "it is twice in one call")
			}
		}
	}
}

func (j *judge) drains() {
	type place struct {
		node     int
		endpoint string
	}
	told := map[place]history.Event{}
	at := map[place][]history.Event{}
	for _, e := range j.events {
		if e.Kind == history.ChangeAnnounced {
			p := place{e.Node, e.Endpoint}
			at[p] = append(at[p], e)
		}
	}
	for _, c := range j.order {
		if len(c.began.IDs) == 0 {
			continue // a probe delivers no message
		}
		p := place{c.began.Node, c.began.Endpoint}
		for len(at[p]) > 0 && at[p][0].At <= c.began.FirstAt {
			e := at[p][0]
			at[p] = at[p][1:]
			if e.State == history.Serving {
				delete(told, p)
			} else if _, before := told[p]; !before {
				told[p] = e
			}
		}
		e, ok := told[p]
		if !ok {
			continue
		}
		// A process that is stopped learns of a change when it resumes.
		heard := j.stoppedUntil(p.node, e.At)
		if late := c.began.FirstAt - heard - j.terms.DrainGrace - j.terms.Slack; late > 0 {
			j.breach(Drain, p.node, first(c.began.IDs), c.began.FirstAt, []history.Event{e, c.began}, "a call to %s started %v too late after the endpoint was announced as %s",
				p.endpoint, late.Round(time.Millisecond), e.State)
		}
	}
}

// stoppedUntil is excusedUntil without the slack for final answers.
func (j *judge) stoppedUntil(node int, at time.Duration) time.Duration {
	for _, s := range j.excused[node] {
		if to := s.to - j.terms.RestartSlack; s.from <= at && at < to {
			at = to
		}
	}
	return at
}

func first(ids []string) string {
	if len(ids) == 0 {
		return ""
	}
	return ids[0]
}

func (j *judge) waits() {
	type place struct{ node, partner int }
	told := map[place][]history.Event{}
	for _, e := range j.events {
		if e.Kind == history.CallEnded && e.RetryAfter > 0 && e.State != history.Abandoned {
			p := place{e.Node, e.Partner}
			told[p] = append(told[p], e)
		}
	}
	for _, c := range j.order {
		if len(c.began.IDs) == 0 {
			continue
		}
		p := place{c.began.Node, c.began.Partner}
		for _, e := range told[p] {
			if e.At > c.began.FirstAt {
				break
			}
			heard := j.stoppedUntil(p.node, e.At)
			if c.began.FirstAt <= heard+j.terms.RetryAfterGrace || c.began.FirstAt >= e.At+e.RetryAfter-j.terms.Slack || j.restarted(p.node, e.At, c.began.FirstAt) {
				continue
			}
			j.breach(RetryAfter, p.node, first(c.began.IDs), c.began.FirstAt, []history.Event{e, c.began}, "partner %d had told a retry-after %v before, of %v",
				p.partner, (c.began.FirstAt - e.At).Round(time.Millisecond), e.RetryAfter.Round(time.Millisecond))
			break
		}
	}
}

func (j *judge) restarted(node int, from, to time.Duration) bool {
	return slices.ContainsFunc(j.starts[node], func(at time.Duration) bool { return at > from && at <= to })
}

func (j *judge) slots() {
	type edge struct {
		at time.Duration
		d  int
		c  *call
	}
	byNode := map[int][]edge{}
	for _, c := range j.order {
		if len(c.began.IDs) == 0 {
			continue // a probe takes no slot
		}
		n := c.began.Node
		byNode[n] = append(byNode[n], edge{c.began.FirstAt + j.terms.OverlapSlack, 1, c})
		if !c.open {
			byNode[n] = append(byNode[n], edge{max(c.ended.At, c.began.FirstAt+j.terms.OverlapSlack), -1, c})
		}
	}
	for _, n := range slices.Sorted(maps.Keys(byNode)) {
		if n >= len(j.terms.Slots) || n < 0 || j.terms.Slots[n] <= 0 {
			continue
		}
		edges := byNode[n]
		slices.SortStableFunc(edges, func(a, b edge) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.d, b.d)) })
		out := 0
		for _, e := range edges {
			if out += e.d; out > j.terms.Slots[n] {
				j.breach(Slots, n, first(e.c.began.IDs), e.at, []history.Event{e.c.began}, "%d calls are in flight, the node has %d slots", out, j.terms.Slots[n])
				break
			}
		}
	}
}

// checkSlowStart finds partners that collapsed mostly by calls of nodes that had seen the outage.
func (j *judge) colds() {
	saw := map[int]map[int]history.Event{} // by partner and node: the first failure in its last outage
	out := map[int]bool{}
	for _, e := range j.events {
		switch e.Kind {
		case history.OutageBegan:
			if !out[e.Partner] {
				saw[e.Partner], out[e.Partner] = map[int]history.Event{}, true
			}
		case history.OutageEnded:
			out[e.Partner] = false
		case history.CallEnded, history.ConnectFailed:
			if good := e.State == history.Accepted; !good && out[e.Partner] {
				if _, before := saw[e.Partner][e.Node]; !before {
					saw[e.Partner][e.Node] = e
				}
			}
		case history.Collapsed:
			proof, all, knew := []history.Event{e}, 0.0, 0.0
			for _, n := range slices.Sorted(maps.Keys(e.CallsBySender)) {
				all += e.CallsBySender[n]
				if s, ok := saw[e.Partner][n]; ok {
					knew += e.CallsBySender[n]
					proof = append(proof, s)
				}
			}
			if all > 0 && knew >= all*2/3 {
				j.breach(SlowStart, -1, "", e.At, proof, "partner %d collapsed in slow start, %.0f of %.0f calls came from nodes that had seen its outage", e.Partner, knew, all)
			}
		}
	}
}
