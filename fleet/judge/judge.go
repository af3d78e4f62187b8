// Package judge finds broken rules in a history: what a fleet of nodes did, as clients, partners and the platform saw
// it. It takes no node's word for anything. A breach names the rule, the message, and the events that prove it.
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

// The rules.
const (
	OneEnd   Rule = "one-end"  // one final answer for each message taken, in time
	Over     Rule = "over"     // nothing is sent on after its final answer
	OneCopy  Rule = "one-copy" // never two attempts of a message out at once
	Once     Rule = "once"     // what must not run twice is not sent, handed back or run again once it may have run
	Window   Rule = "window"   // keyed messages are repeated within their window or not at all
	Drain    Rule = "drain"    // nothing new to an endpoint that drains or is gone, a second after it was told
	Wait     Rule = "wait"     // a partner that asked to be left alone is
	Cold     Rule = "cold"     // no cold partner is pushed over by those who saw its outage
	Attempts Rule = "attempts" // so many for a message at most
	Slots    Rule = "slots"    // so many calls of a node out at once at most
	Foreign  Rule = "foreign"  // a partner gets only the messages that were handed in for it
	Answer   Rule = "answer"   // a client that has handed in whole gets an answer
	Alive    Rule = "alive"    // no crash, no failed start, no limit exceeded
)

// Rules are all rules.
var Rules = []Rule{OneEnd, Over, OneCopy, Once, Window, Drain, Wait, Cold, Attempts, Slots, Foreign, Answer, Alive}

// Effect is what a repeat of a message may do.
type Effect uint8

// The effects of a class.
const (
	Safe   Effect = iota // repeats are harmless
	Keyed                // repeats are dropped for a window
	Unsafe               // must never run twice
)

// Class is what the rules need to know of a class.
type Class struct {
	Name   string
	Effect Effect
	Window time.Duration
}

// Terms are the figures of the rules. The zero value of a slack is none.
type Terms struct {
	Classes      []Class
	MaxAttempts  int // 0: any number
	Slots        []int
	DrainGrace   time.Duration // after a drain was told
	Slack        time.Duration // on top of every time limit
	EndSlack     time.Duration // after a message's time, for its end
	RestartSlack time.Duration // after a restarted node is ready, for the ends that it owes
	WaitGrace    time.Duration // calls that come so soon after a wait was told are let through
	CopySlack    time.Duration // overlaps shorter than this may be the observer's own lateness
}

// DefaultTerms are the protocol's figures.
func DefaultTerms() Terms {
	const ms = time.Millisecond
	return Terms{
		MaxAttempts: 6, DrainGrace: 1000 * ms, Slack: 50 * ms, EndSlack: 300 * ms, RestartSlack: 1500 * ms, WaitGrace: 100 * ms,
		CopySlack: 20 * ms,
	}
}

// Breach is a rule that was broken.
type Breach struct {
	Rule  Rule            `json:"rule"`
	Node  int             `json:"node"`
	ID    string          `json:"id,omitempty"`
	At    time.Duration   `json:"at"`
	Why   string          `json:"why"`
	Proof []history.Event `json:"proof"`
}

func (b Breach) String() string {
	s := fmt.Sprintf("%s: node %d at %v", b.Rule, b.Node, b.At.Round(time.Millisecond))
	if b.ID != "" {
		s += ", message " + b.ID
	}
	return s + ": " + b.Why
}

// call is one call as it was seen.
type call struct {
	began, ended history.Event
	open         bool          // it never ended
	over         time.Duration // the time of one of its messages was up then
}

func (c *call) end() time.Duration {
	if c.open {
		return 1<<63 - 1
	}
	return c.ended.At
}

// fate is how the call ended for a message, as the node was told; mayHaveRun unless the node has proof. What an answer to
// several says when one of them is over counts for none.
func (c *call) fate(id string) (delivered, mayHaveRun bool) {
	if c.open {
		return false, true
	}
	switch c.ended.State {
	case history.Accepted:
		for i, f := range c.ended.Fates {
			if i < len(c.began.IDs) && c.began.IDs[i] == id {
				counts := len(c.began.IDs) == 1 || c.ended.At <= c.over
				return f == history.FateAccepted && counts, f != history.FateDeferred
			}
		}
		return false, true
	case history.Above, history.Turned, history.Full, history.Crowded:
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

// span is a stretch of time in which nothing is asked of a node.
type span struct{ from, to time.Duration }

type judge struct {
	terms    Terms
	events   []history.Event
	messages map[string]*message
	ids      []string // of messages, in the order of their hand-in
	calls    map[uint64]*call
	order    []*call
	excused  map[int][]span // restarts and stops, by node
	starts   map[int][]time.Duration
	lost     map[int][]time.Duration
	end      time.Duration
	found    []Breach
}

// Find judges a history, which must be in order of its times. Breaches come in the order of theirs.
func Find(terms Terms, events []history.Event) []Breach {
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
	slices.SortStableFunc(j.found, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
	return j.found
}

func (j *judge) breach(rule Rule, node int, id string, at time.Duration, proof []history.Event, why string, args ...any) {
	j.found = append(j.found, Breach{Rule: rule, Node: node, ID: id, At: at, Why: fmt.Sprintf(why, args...), Proof: proof})
}

// read sorts the events by message and call.
func (j *judge) read() {
	if n := len(j.events); n > 0 {
		j.end = j.events[n-1].At
	}
	// A call that was given up on its way ends before it begins at the partner, so beginnings are read first.
	for _, e := range j.events {
		if e.Kind == history.CallBegan {
			c := &call{began: e, open: true}
			j.calls[e.Call] = c
			j.order = append(j.order, c)
		}
	}
	for _, e := range j.events {
		switch e.Kind {
		case history.HandedIn:
			if j.messages[e.ID] == nil {
				j.ids = append(j.ids, e.ID)
			}
			j.messages[e.ID] = &message{in: e}
		case history.Answered:
			if m := j.messages[e.ID]; m != nil {
				m.answered = &e
			}
		case history.CallBegan:
			c := j.calls[e.Call]
			for _, id := range e.IDs {
				if m := j.messages[id]; m != nil {
					m.calls = append(m.calls, c)
					if up := m.in.At + m.in.Life + j.terms.Slack; c.over == 0 || up < c.over {
						c.over = up
					}
				}
			}
		case history.CallEnded:
			if c := j.calls[e.Call]; c != nil && c.open {
				c.ended, c.open = e, false
			}
		case history.Ran:
			if m := j.messages[e.ID]; m != nil {
				m.ran = append(m.ran, e)
			}
		case history.Noticed:
			if m := j.messages[e.ID]; m != nil {
				m.notices = append(m.notices, e)
			}
		}
	}
	byFirst := func(a, b *call) int { return cmp.Compare(a.began.First, b.began.First) }
	slices.SortStableFunc(j.order, byFirst)
	for _, m := range j.messages {
		slices.SortStableFunc(m.calls, byFirst)
	}
}

// processes finds crashes, and the times in which a node is excused: from the signal of a restart until it is ready
// again, and while it is stopped, each with a little after it.
func (j *judge) processes() {
	asked, since := map[int]bool{}, map[int]time.Duration{} // the node was told to end, and has not been ready since
	stopped := map[int]time.Duration{}
	for _, e := range j.events {
		switch e.Kind {
		case history.Started:
			j.starts[e.Node] = append(j.starts[e.Node], e.At)
			if !asked[e.Node] {
				since[e.Node] = e.At
			}
			asked[e.Node] = false
		case history.Term, history.Killed:
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
				j.breach(Alive, e.Node, "", e.At, []history.Event{e}, "the process ended unasked: %s", e.Note)
			}
		case history.Exceeds:
			j.breach(Alive, e.Node, "", e.At, []history.Event{e}, "%s", e.Note)
		case history.Lost:
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

// excusedUntil moves a time on to the end of the stretches in which the node is excused.
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

// ended is the first of a message's ends, and what it was.
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
	// A call out at its time may end it then; the slack is for the way that the news takes.
	due := j.excusedUntil(m.in.Node, m.in.At+m.in.Life+j.terms.EndSlack+j.terms.Slack)
	end, ok := j.ended(m)
	proof := []history.Event{m.in, *m.answered}
	switch {
	case !ok && due < j.end:
		j.breach(OneEnd, m.in.Node, m.in.ID, due, append(proof, callEvents(m)...), "it was taken and never had its end")
	case ok && end.At > due:
		j.breach(OneEnd, m.in.Node, m.in.ID, end.At, append(proof, end), "its end came %v too late", (end.At - due).Round(time.Millisecond))
	}
	// Delivered messages need no notice, and one does no harm. But two notices must not disagree.
	for i := 1; i < len(m.notices); i++ {
		if m.notices[i].State != m.notices[0].State {
			j.breach(OneEnd, m.in.Node, m.in.ID, m.notices[i].At, append(proof, m.notices[0], m.notices[i]), "it ended as %s and then as %s",
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
		// A message delivered to a process that was killed before it wrote that down may be sent once more, as its class
		// permits; effects looks at that. After a notice nothing may follow.
		if c.began.First <= end.At+j.terms.CopySlack {
			continue
		}
		if end.Kind == history.Noticed || !j.restarted(m.in.Node, end.At, c.began.First) {
			j.breach(Over, m.in.Node, m.in.ID, c.began.First, []history.Event{m.in, end, c.began}, "it was sent %v after its final answer",
				(c.began.First - end.At).Round(time.Millisecond))
			return
		}
	}
}

func (j *judge) attempts(m *message) {
	if most := j.terms.MaxAttempts; most > 0 && len(m.calls) > most {
		j.breach(Attempts, m.in.Node, m.in.ID, m.calls[most].began.First, callEvents(m), "%d attempts, %d are allowed", len(m.calls), most)
	}
}

// effects looks at each attempt against those before it.
func (j *judge) effects(m *message) {
	class := Class{}
	if m.in.Class < len(j.terms.Classes) {
		class = j.terms.Classes[m.in.Class]
	}
	copies, once, window := false, false, false
	for i, c := range m.calls {
		for _, before := range m.calls[:i] {
			if !copies && before.end() > c.began.First+j.terms.CopySlack {
				copies = true
				proof := []history.Event{m.in, before.began, c.began}
				if !before.open {
					proof = append(proof, before.ended)
				}
				j.breach(OneCopy, m.in.Node, m.in.ID, c.began.First, proof, "call %d began while call %d was out", c.began.Call, before.began.Call)
			}
			if _, may := before.fate(m.in.ID); !may {
				continue
			}
			proof := []history.Event{m.in, before.began, before.ended, c.began}
			late := c.began.First - before.began.First - class.Window - j.terms.Slack
			switch {
			case class.Effect == Unsafe && !once:
				once = true
				j.breach(Once, m.in.Node, m.in.ID, c.began.First, proof, "it was sent again though call %d may have run it (%s)", before.began.Call,
					state(before))
			case class.Effect == Keyed && late > 0 && !window:
				window = true
				j.breach(Window, m.in.Node, m.in.ID, c.began.First, proof, "it was sent again %v after its window",
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
			if _, may := c.fate(m.in.ID); may && c.began.First < n.At {
				j.breach(Once, m.in.Node, m.in.ID, n.At, []history.Event{m.in, c.began, c.ended, n}, "it was handed back though call %d may have run it (%s)",
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

// cases finds messages that must not run twice and did, be it under one id or, after a node said that coming again
// is harmless, under two.
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
				byCase[m.in.Case] = append(byCase[m.in.Case], run{m, r})
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
		j.breach(Once, b.m.in.Node, b.m.in.ID, b.at.At, []history.Event{a.m.in, a.at, b.m.in, b.at}, "it took effect twice: in call %d and in call %d",
			a.at.Call, b.at.Call)
	}
}

func (j *judge) answer(m *message) {
	e := m.answered
	if e == nil || e.State != history.Broken || j.excusedUntil(m.in.Node, e.At) != e.At || j.excusedUntil(m.in.Node, m.in.At) != m.in.At {
		return
	}
	j.breach(Answer, m.in.Node, m.in.ID, e.At, []history.Event{m.in, *e}, "the connection ended with no answer")
}

func (j *judge) foreign() {
	for _, c := range j.order {
		for i, id := range c.began.IDs {
			m := j.messages[id]
			switch {
			case m == nil:
				j.breach(Foreign, c.began.Node, id, c.began.At, []history.Event{c.began}, "no client handed it in")
			case m.in.Dest != c.began.Partner:
				j.breach(Foreign, c.began.Node, id, c.began.At, []history.Event{m.in, c.began}, "it is for partner %d and was sent to %d", m.in.Dest,
					c.began.Partner)
			case m.in.Node != c.began.Node:
				j.breach(Foreign, c.began.Node, id, c.began.At, []history.Event{m.in, c.began}, "it was handed in to node %d", m.in.Node)
			case slices.Contains(c.began.IDs[:i], id):
				j.breach(OneCopy, c.began.Node, id, c.began.At, []history.Event{c.began}, "it is in one call twice")
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
		if e.Kind == history.Told {
			p := place{e.Node, e.Endpoint}
			at[p] = append(at[p], e)
		}
	}
	for _, c := range j.order {
		if len(c.began.IDs) == 0 {
			continue // a probe is no send
		}
		p := place{c.began.Node, c.began.Endpoint}
		for len(at[p]) > 0 && at[p][0].At <= c.began.First {
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
		// What was told to a process that does not run is told when it does.
		heard := j.stoppedUntil(p.node, e.At)
		if late := c.began.First - heard - j.terms.DrainGrace - j.terms.Slack; late > 0 {
			j.breach(Drain, p.node, first(c.began.IDs), c.began.First, []history.Event{e, c.began}, "a call to %s %v too late after it was told to be %s",
				p.endpoint, late.Round(time.Millisecond), e.State)
		}
	}
}

// stoppedUntil is excusedUntil without the slack for ends.
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
		if e.Kind == history.CallEnded && e.Wait > 0 && e.State != history.GivenUp {
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
			if e.At > c.began.First {
				break
			}
			heard := j.stoppedUntil(p.node, e.At)
			if c.began.First <= heard+j.terms.WaitGrace || c.began.First >= e.At+e.Wait-j.terms.Slack || j.restarted(p.node, e.At, c.began.First) {
				continue
			}
			j.breach(Wait, p.node, first(c.began.IDs), c.began.First, []history.Event{e, c.began}, "partner %d asked %v before to be left alone for %v",
				p.partner, (c.began.First - e.At).Round(time.Millisecond), e.Wait.Round(time.Millisecond))
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
		byNode[n] = append(byNode[n], edge{c.began.First + j.terms.CopySlack, 1, c})
		if !c.open {
			byNode[n] = append(byNode[n], edge{max(c.ended.At, c.began.First+j.terms.CopySlack), -1, c})
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
				j.breach(Slots, n, first(e.c.began.IDs), e.at, []history.Event{e.c.began}, "%d calls are out, the node has %d slots", out, j.terms.Slots[n])
				break
			}
		}
	}
}

// colds finds partners that were pushed over mostly by nodes that had seen the outage.
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
		case history.CallEnded, history.Unreached:
			if good := e.State == history.Accepted; !good && out[e.Partner] {
				if _, before := saw[e.Partner][e.Node]; !before {
					saw[e.Partner][e.Node] = e
				}
			}
		case history.Fell:
			proof, all, knew := []history.Event{e}, 0.0, 0.0
			for _, n := range slices.Sorted(maps.Keys(e.Pushes)) {
				all += e.Pushes[n]
				if s, ok := saw[e.Partner][n]; ok {
					knew += e.Pushes[n]
					proof = append(proof, s)
				}
			}
			if all > 0 && knew >= all*2/3 {
				j.breach(Cold, -1, "", e.At, proof, "partner %d was pushed over, %.0f of %.0f calls from nodes that had seen its outage", e.Partner, knew, all)
			}
		}
	}
}
