package trial

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/fleet/history"
	"starlingusher/fleet/ownership"
)

// OwnershipRule names a promise of ownership.
type OwnershipRule string

// The rules.
const (
	RuleUniqueMaps    OwnershipRule = "one-map"     // a number has one map, and a later write a larger number
	RuleForwardOnly   OwnershipRule = "forward"     // no node goes back in numbers, nor ahead of what there is
	RuleTimelyRelease OwnershipRule = "in-time"     // a former owner accepts nothing new once it must have the new map
	RuleOwnersOnly    OwnershipRule = "owners-only" // after quiet, who owns accepts, and all others refuse with a time
	RuleFilteredLists OwnershipRule = "listed"      // a node is told the list of the partitions it asked for: no less, no more, in order
	RuleAnswers       OwnershipRule = "answers"     // nothing on the list is called unknown, and what was taken on stays so
	RuleMessagesEnd   OwnershipRule = "ended"       // what was accepted ends in time, by the rules of its effect
	RuleRecovery      OwnershipRule = "returns"     // the parts come back after the faults
)

// Breach is a promise that was not kept.
type Violation struct {
	Rule        OwnershipRule `json:"rule"`
	Description string        `json:"what"`
}

// never is the time of what did not happen.
const never = time.Duration(math.MaxInt64)

// MapSight is a map as somebody had it.
type MapObservation struct {
	At       time.Duration `json:"at"`
	Observer string        `json:"by"`
	Number   int64         `json:"number"`
	Checksum uint64        `json:"sum"` // of its bytes
}

// MapWrite is a controller's write of a map. One that was surely not done is not noted.
type MapWrite struct {
	Writer   string        `json:"by"`
	Number   int64         `json:"number"`
	Checksum uint64        `json:"sum"`
	Outcome  Outcome       `json:"outcome"` // Done or Unknown
	Call     time.Duration `json:"call"`
	Return   time.Duration `json:"return"`
}

// Numbers tells which number was given to two maps, and which was given after a number that is not smaller.
func CheckMapNumbers(sights []MapObservation, writes []MapWrite) []Violation {
	var bad []Violation
	first := map[int64]MapObservation{}
	all := slices.Clone(sights)
	for _, w := range writes {
		if w.Outcome == Done {
			all = append(all, MapObservation{At: w.Return, Observer: w.Writer, Number: w.Number, Checksum: w.Checksum})
		}
	}
	slices.SortStableFunc(all, func(a, b MapObservation) int { return cmp.Compare(a.At, b.At) })
	told := map[int64]bool{}
	for _, s := range all {
		f, ok := first[s.Number]
		switch {
		case !ok:
			first[s.Number] = s
		case f.Checksum != s.Checksum && !told[s.Number]:
			told[s.Number] = true
			bad = append(bad, Violation{RuleUniqueMaps, fmt.Sprintf("number %d is map %x at %v by %s, and map %x at %v by %s", s.Number, f.Checksum, f.At, f.Observer, s.Checksum, s.At, s.Observer)})
		}
	}
	for _, a := range writes {
		for _, b := range writes {
			if a.Outcome == Done && b.Outcome == Done && a.Return < b.Call && b.Number <= a.Number {
				bad = append(bad, Violation{RuleUniqueMaps, fmt.Sprintf("%s was given number %d at %v, after %s was given %d at %v", b.Writer, b.Number, b.Return, a.Writer, a.Number, a.Return)})
			}
		}
	}
	return bad
}

// Era is a map that was agreed on, or may have been.
type PublishedMap struct {
	Number       int64
	Checksum     uint64                `json:"Sum"`   // of its bytes
	WrittenAfter time.Duration         `json:"Asked"` // nobody can have it before
	CommittedBy  time.Duration         `json:"Known"` // the directory had it by then; never: that is not known
	Owned        map[int]ownership.Set // by node; one that is not in the map owns nothing
}

// Disturbed is a time in which a node could not hear or do as it would: a fault of its own, or of all (-1).
type Disturbance struct {
	Node   int           `json:"node"`
	From   time.Duration `json:"from"`
	Until  time.Duration `json:"until"`
	Reason string        `json:"why"`
}

func (d Disturbance) affects(node int) bool { return d.Node == node || d.Node < 0 }

// calmSince is when the last disturbance of a node before a time had ended; false in the midst of one.
func undisturbedSince(all []Disturbance, node int, at time.Duration) (time.Duration, bool) {
	last := time.Duration(0)
	for _, d := range all {
		if !d.affects(node) || d.From > at {
			continue
		}
		if d.Until >= at {
			return 0, false
		}
		last = max(last, d.Until)
	}
	return last, true
}

// Handed is a message that was handed in, and its answer.
type Submission struct {
	Node        int           `json:"node"`
	Destination int           `json:"dest"`
	ID          string        `json:"id"`
	AtMostOnce  bool          `json:"unsafe,omitempty"`
	Repeat      bool          `json:"again,omitempty"` // it had been taken on there before
	Deadline    time.Duration `json:"by"`              // its deadline
	Call        time.Duration `json:"call"`
	Return      time.Duration `json:"return"`
	Answer      string        `json:"state"` // one of package history's for Answered
	RetryAfter  time.Duration `json:"wait,omitempty"`
	Reason      string        `json:"why,omitempty"` // of Failed
}

// accepts tells that a node has accepted something new.
func (h Submission) acceptsNew() bool { return h.Answer == history.Taken && !h.Repeat }

func (h Submission) String() string {
	return fmt.Sprintf("node %d accepted %s for destination %d (partition %d) at %v", h.Node, h.ID, h.Destination, ownership.PartitionOf(h.Destination), h.Return)
}

// Accepts tells where a node accepted what no map explains that it could have: going by the numbers one after the other, none of
// those from the last one it must have had owns the destination (Forward), or the bound for hearing of that one has passed (InTime).
// slowest is the longest time after a map in which a node that lost a destination by it still accepted for that.
func CheckAccepts(eras []PublishedMap, handed []Submission, disturbed []Disturbance, bound time.Duration) (bad []Violation, slowest time.Duration) {
	eras = slices.SortedStableFunc(slices.Values(eras), func(a, b PublishedMap) int { return cmp.Compare(a.Number, b.Number) })
	handed = slices.SortedStableFunc(slices.Values(handed), func(a, b Submission) int { return cmp.Compare(a.Return, b.Return) })
	reached := map[int]int64{} // the least number that explains what a node has accepted so far
	for _, h := range handed {
		if !h.acceptsNew() {
			continue
		}
		p := ownership.PartitionOf(h.Destination)
		heard := int64(0) // it must have this one
		since, calm := undisturbedSince(disturbed, h.Node, h.Call)
		newest := int64(0) // that gives it the destination
		for _, e := range eras {
			if calm && e.CommittedBy != never && max(e.CommittedBy, since)+bound < h.Call {
				heard = max(heard, e.Number)
			}
			if e.WrittenAfter <= h.Return && e.Owned[h.Node].Has(p) {
				newest = e.Number
			}
		}
		explains := int64(0)
		for _, e := range eras {
			if e.Number >= reached[h.Node] && e.WrittenAfter <= h.Return && e.Owned[h.Node].Has(p) {
				explains = e.Number
				break
			}
		}
		switch {
		case newest < heard:
			bad = append(bad, Violation{RuleTimelyRelease, fmt.Sprintf("%v, %v after it must have had map %d, by which it does not own it", h, bound, heard)})
		case explains == 0:
			bad = append(bad, Violation{RuleForwardOnly, fmt.Sprintf("%v; none of the maps from number %d on, which it had before, gives it to it", h, reached[h.Node])})
		default:
			reached[h.Node] = explains
		}
		for _, e := range eras { // by the first map after the last one that gives it to the node
			if e.Number > newest && e.CommittedBy != never {
				if calm {
					slowest = max(slowest, h.Return-max(e.CommittedBy, since))
				}
				break
			}
		}
	}
	return bad, slowest
}

// Ask is a watch of the list that a node has asked for, as the front between it and a replica saw it.
type WatchRequest struct {
	Node          int           `json:"node"`
	Replica       int           `json:"replica"`
	At            time.Duration `json:"at"`
	AllPartitions bool          `json:"whole,omitempty"` // it asked for the list of all partitions
	Partitions    ownership.Set `json:"-"`
	OlderBuild    bool          `json:"older,omitempty"` // an older build answered, which knows of no partitions
	After         int64         `json:"after"`
	AskedHistory  int64         `json:"asked_history,omitempty"`
	History       int64         `json:"history"` // of the answer
	Lines         []WatchLine   `json:"lines"`
}

// ToldLine is a line of a watch that was not empty.
type WatchLine struct {
	At time.Duration `json:"at"`
	catalog.List
}

// Follows tells where a node's asks do not fit the maps in the order of their numbers. The set that a node asks for has all it owns by its
// map, and nothing that it never owned; who owns nothing, or has no map yet, may ask for any one, to hear of maps. An ask that crossed a newer one
// within the slack is no way back.
func CheckWatchRequests(eras []PublishedMap, asks []WatchRequest, slack time.Duration) []Violation {
	eras = slices.SortedStableFunc(slices.Values(eras), func(a, b PublishedMap) int { return cmp.Compare(a.Number, b.Number) })
	asks = slices.SortedStableFunc(slices.Values(asks), func(a, b WatchRequest) int { return cmp.Compare(a.At, b.At) })
	type reach struct {
		number int64
		at     time.Duration
	}
	var bad []Violation
	reached := map[int]reach{}
	for _, a := range asks {
		if a.AllPartitions {
			bad = append(bad, Violation{RuleFilteredLists, fmt.Sprintf("node %d asked for the list of all partitions at %v", a.Node, a.At)})
			continue
		}
		from := reached[a.Node]
		fits := func(least int64) (int64, bool) {
			if least == 0 && a.Partitions.Len() == 1 { // it has no map yet
				return 0, true
			}
			var ever ownership.Set
			for _, e := range eras {
				if e.WrittenAfter > a.At {
					continue
				}
				ever = ever.Union(e.Owned[a.Node])
				own := e.Owned[a.Node]
				idle := own.Len() == 0 && a.Partitions.Len() == 1
				if e.Number >= least && own.Without(a.Partitions).Len() == 0 && (idle || a.Partitions.Without(ever).Len() == 0) {
					return e.Number, true
				}
			}
			return 0, false
		}
		n, ok := fits(from.number)
		was, ever := fits(0)
		switch {
		case ok && n > from.number:
			reached[a.Node] = reach{n, a.At}
		case ok:
		case !ever:
			bad = append(bad, Violation{RuleForwardOnly, fmt.Sprintf("node %d asked for %s at %v, which fit none of the maps", a.Node, summarize(a.Partitions), a.At)})
		case a.At > from.at+slack:
			bad = append(bad, Violation{RuleForwardOnly, fmt.Sprintf("node %d asked for %s at %v, which are those of map %d, after it had map %d at %v",
				a.Node, summarize(a.Partitions), a.At, was, from.number, from.at)})
		}
	}
	return bad
}

// brief names a set of partitions in a few words.
func summarize(s ownership.Set) string {
	text := s.String()
	if len(text) > 40 {
		text = text[:40] + "…"
	}
	return fmt.Sprintf("%d partitions (%s)", s.Len(), text)
}

// snapshots are the lists of a history at its revisions.
type historySnapshots struct {
	firstRevision int64
	lists         []map[string]catalog.Endpoint
}

func (t CommittedHistory) snapshots() historySnapshots {
	now := endpointsByID(t.Initial)
	s := historySnapshots{t.Initial.Revision, []map[string]catalog.Endpoint{maps.Clone(now)}}
	for _, c := range t.Changes {
		applyChanges(now, c.Members)
		s.lists = append(s.lists, maps.Clone(now))
	}
	return s
}

// list is what of a revision's list is in a set of partitions.
func (s historySnapshots) filtered(revision int64, in ownership.Set) (map[string]catalog.Endpoint, bool) {
	if n := revision - s.firstRevision; n < 0 || n >= int64(len(s.lists)) {
		return nil, false
	}
	out := map[string]catalog.Endpoint{}
	for id, e := range s.lists[revision-s.firstRevision] {
		if in.Has(ownership.PartitionOf(e.Cell)) {
			out[id] = e
		}
	}
	return out, true
}

// FilteredWatches tells where what a node was told is not the list of the partitions it asked for. truth has the histories by their number.
func CheckFilteredWatches(truth map[int64]CommittedHistory, asks []WatchRequest) []Violation {
	lists := map[int64]historySnapshots{}
	for h, t := range truth {
		lists[h] = t.snapshots()
	}
	type position struct{ history, revision int64 }
	told := map[int]position{} // by node, at most
	var bad []Violation
	for _, a := range slices.SortedStableFunc(slices.Values(asks), func(a, b WatchRequest) int { return cmp.Compare(a.At, b.At) }) {
		if a.AllPartitions || a.OlderBuild || len(a.Lines) == 0 {
			continue
		}
		wrong := func(format string, args ...any) {
			bad = append(bad, Violation{RuleFilteredLists, fmt.Sprintf("node %d, watch of %v at replica %d for %s: ", a.Node, a.At, a.Replica, summarize(a.Partitions)) + fmt.Sprintf(format, args...)})
		}
		s, ok := lists[a.History]
		if !ok {
			wrong("history %d, which never was", a.History)
			continue
		}
		has := map[string]catalog.Endpoint{}
		whole := false
		revision, number := int64(-1), int64(0)
		if at := told[a.Node]; a.After > 0 {
			// In the node's name: it has what it was told before.
			if a.AskedHistory > at.history || a.AskedHistory == at.history && a.After > at.revision {
				wrong("it goes on from revision %d of history %d, and was told no more than %d of %d", a.After, a.AskedHistory, at.revision, at.history)
				continue
			}
			if a.AskedHistory == a.History {
				has, whole = s.filtered(a.After, a.Partitions)
				revision = a.After
			}
		}
		for n, l := range a.Lines {
			if l.Revision < revision || l.Map < number {
				wrong("line %d has revision %d and map %d, after %d and %d", n, l.Revision, l.Map, revision, number)
				break
			}
			revision, number = l.Revision, l.Map
			if l.Complete {
				has, whole = map[string]catalog.Endpoint{}, true
			}
			if !whole {
				wrong("line %d has changes of a list that it was not told", n)
				break
			}
			applyChanges(has, l.Members)
			want, ok := s.filtered(revision, a.Partitions)
			if !ok {
				wrong("line %d is of revision %d, which the service does not have", n, revision)
				break
			}
			if !maps.Equal(has, want) {
				wrong("line %d, revision %d: it has been told %s", n, revision, describeDifference(has, want))
				break
			}
			if at := told[a.Node]; a.History > at.history || a.History == at.history && revision > at.revision {
				told[a.Node] = position{a.History, revision}
			}
		}
	}
	return bad
}

// difference says in what one list is not the other.
func describeDifference(has, want map[string]catalog.Endpoint) string {
	var less, more, other []string
	for id, e := range want {
		if h, ok := has[id]; !ok {
			less = append(less, id)
		} else if h != e {
			other = append(other, id)
		}
	}
	for id := range has {
		if _, ok := want[id]; !ok {
			more = append(more, id)
		}
	}
	slices.Sort(less)
	slices.Sort(more)
	slices.Sort(other)
	return fmt.Sprintf("%d of %d endpoints: without %v, with %v that are not there, with %v as they are not", len(has), len(want), less, more, other)
}

// AfterQuiet tells where a pass over all nodes and destinations, after the faults and with all nodes told, did not find that owners
// accept and all others refuse with a time. exists tells the destinations that were ever on the list.
func CheckConverged(last PublishedMap, nodes int, dests []int, exists func(int) bool, pass []Submission) []Violation {
	type place struct{ node, dest int }
	answers := map[place]Submission{}
	for _, h := range pass {
		answers[place{h.Node, h.Destination}] = h
	}
	var bad []Violation
	for n := range nodes {
		for _, d := range dests {
			h, ok := answers[place{n, d}]
			h.Node, h.Destination = n, d
			if !ok || !h.isCorrect(last, exists(d)) {
				bad = append(bad, Violation{RuleOwnersOnly, fmt.Sprintf("node %d, destination %d (owner by map %d: %v, listed: %v): %s %v %s",
					n, d, last.Number, last.Owned[n].Has(ownership.PartitionOf(d)), exists(d), cmp.Or(h.Answer, "not heard"), h.RetryAfter, h.Reason)})
			}
		}
	}
	return bad
}

// right tells that an answer is as a map and the list have it.
func (h Submission) isCorrect(by PublishedMap, listed bool) bool {
	switch owns := by.Owned[h.Node].Has(ownership.PartitionOf(h.Destination)); {
	case owns && listed:
		return h.Answer == history.Taken
	case owns:
		return h.Answer == history.Failed && h.Reason == unknownDestination
	}
	return h.Answer == history.Refused && h.RetryAfter > 0
}

const unknownDestination = "unknown destination"

// End is an end of a message.
type MessageEnd struct {
	ID   string        `json:"id"`
	At   time.Duration `json:"at"`
	Kind string        `json:"kind"`
}

// The kinds of ends. A message may run and be answered, run without, or have a notice.
const (
	RanAtPartner      = "ran"      // at a partner
	AnsweredByPartner = "answered" // the partner said so to the node
	NoticeFailed      = "failed"   // the node has told that it failed,
	NoticeReturned    = "returned" // or handed it back
)

// Open counts the messages that were accepted and have not ended.
func CountPending(handed []Submission, ends []MessageEnd) int {
	over := map[string]bool{}
	for _, e := range ends {
		over[e.ID] = over[e.ID] || e.Kind != RanAtPartner
	}
	n := 0
	for _, h := range handed {
		if h.acceptsNew() && !over[h.ID] {
			n++
		}
	}
	return n
}

// Outlived counts the messages that ended after a map was known by which their node had lost them.
func CountEndedAfterLoss(eras []PublishedMap, handed []Submission, ends []MessageEnd) int {
	over := map[string]time.Duration{}
	for _, e := range ends {
		if e.Kind != RanAtPartner {
			over[e.ID] = max(over[e.ID], e.At)
		}
	}
	n := 0
	for _, h := range handed {
		lost := func(e PublishedMap) bool {
			return e.CommittedBy > h.Return && e.CommittedBy < over[h.ID] && !e.Owned[h.Node].Has(ownership.PartitionOf(h.Destination))
		}
		if h.acceptsNew() && slices.ContainsFunc(eras, lost) {
			n++
		}
	}
	return n
}

// Ends tells which messages that were accepted have no end in time, and which ended against their effect's rules. A node that was
// disturbed meanwhile has its time after that. at is when the looking ended: what is due later is not judged.
func CheckEnds(handed []Submission, ends []MessageEnd, disturbed []Disturbance, slack, at time.Duration) []Violation {
	of := map[string][]MessageEnd{}
	for _, e := range ends {
		of[e.ID] = append(of[e.ID], e)
	}
	disturbed = slices.SortedFunc(slices.Values(disturbed), func(a, b Disturbance) int { return cmp.Compare(a.From, b.From) })
	var bad []Violation
	for _, h := range handed {
		runs, back, over := 0, false, never
		for _, e := range of[h.ID] {
			switch e.Kind {
			case RanAtPartner:
				runs++
				continue
			case NoticeReturned:
				back = true
			}
			over = min(over, e.At)
		}
		if h.AtMostOnce && (runs > 1 || runs > 0 && back) {
			bad = append(bad, Violation{RuleMessagesEnd, fmt.Sprintf("%s at node %d must not run twice; it ran %d times, handed back: %v", h.ID, h.Node, runs, back)})
		}
		if !h.acceptsNew() {
			continue
		}
		due := h.Deadline + slack
		for _, d := range disturbed {
			if d.affects(h.Node) && d.From <= due && d.Until > h.Call {
				due = max(due, d.Until+slack)
			}
		}
		switch {
		case over <= due:
		case over != never:
			bad = append(bad, Violation{RuleMessagesEnd, fmt.Sprintf("%s, accepted by node %d at %v, ended at %v and was due by %v", h.ID, h.Node, h.Return, over, due)})
		case due < at:
			bad = append(bad, Violation{RuleMessagesEnd, fmt.Sprintf("%s, accepted by node %d at %v, has no end; it was due by %v", h.ID, h.Node, h.Return, due)})
		}
	}
	return bad
}

// Given tells which answers may never be given: that a destination is unknown which was on the list all the time, and a no to what
// the same node had taken on and not yet ended.
func CheckAnswers(handed []Submission, ends []MessageEnd, steady func(dest int) bool) []Violation {
	over := map[string]time.Duration{}
	for _, e := range ends {
		if at, ok := over[e.ID]; e.Kind != RanAtPartner && (!ok || e.At < at) {
			over[e.ID] = e.At
		}
	}
	var bad []Violation
	for _, h := range handed {
		no := h.Answer == history.Failed || h.Answer == history.Refused
		if h.Answer == history.Failed && !h.Repeat && (steady(h.Destination) || h.Reason != unknownDestination) {
			bad = append(bad, Violation{RuleAnswers, fmt.Sprintf("node %d, destination %d at %v: failed: %s", h.Node, h.Destination, h.Return, h.Reason)})
		}
		if at, ended := over[h.ID]; h.Repeat && no && (!ended || at > h.Return) {
			bad = append(bad, Violation{RuleAnswers, fmt.Sprintf("node %d had taken %s on and not ended it, and said no to it at %v: %s %v %s", h.Node, h.ID, h.Return, h.Answer, h.RetryAfter, h.Reason)})
		}
	}
	return bad
}
