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
	OneMap     OwnershipRule = "one-map"     // a number has one map, and a later write a larger number
	Forward    OwnershipRule = "forward"     // no node goes back in numbers, nor ahead of what there is
	InTime     OwnershipRule = "in-time"     // a former owner accepts nothing new once it must have the new map
	OwnersOnly OwnershipRule = "owners-only" // after quiet, who owns accepts, and all others refuse with a time
	Listed     OwnershipRule = "listed"      // a node is told the list of the partitions it asked for: no less, no more, in order
	Answers    OwnershipRule = "answers"     // nothing on the list is called unknown, and what was taken on stays so
	Ended      OwnershipRule = "ended"       // what was accepted ends in time, by the rules of its effect
	Returns    OwnershipRule = "returns"     // the parts come back after the faults
)

// Breach is a promise that was not kept.
type Breach struct {
	Rule OwnershipRule `json:"rule"`
	What string        `json:"what"`
}

// never is the time of what did not happen.
const never = time.Duration(math.MaxInt64)

// MapSight is a map as somebody had it.
type MapSight struct {
	At     time.Duration `json:"at"`
	By     string        `json:"by"`
	Number int64         `json:"number"`
	Sum    uint64        `json:"sum"` // of its bytes
}

// MapWrite is a controller's write of a map. One that was surely not done is not noted.
type MapWrite struct {
	By      string        `json:"by"`
	Number  int64         `json:"number"`
	Sum     uint64        `json:"sum"`
	Outcome Outcome       `json:"outcome"` // Done or Unknown
	Call    time.Duration `json:"call"`
	Return  time.Duration `json:"return"`
}

// Numbers tells which number was given to two maps, and which was given after a number that is not smaller.
func Numbers(sights []MapSight, writes []MapWrite) []Breach {
	var bad []Breach
	first := map[int64]MapSight{}
	all := slices.Clone(sights)
	for _, w := range writes {
		if w.Outcome == Done {
			all = append(all, MapSight{At: w.Return, By: w.By, Number: w.Number, Sum: w.Sum})
		}
	}
	slices.SortStableFunc(all, func(a, b MapSight) int { return cmp.Compare(a.At, b.At) })
	told := map[int64]bool{}
	for _, s := range all {
		f, ok := first[s.Number]
		switch {
		case !ok:
			first[s.Number] = s
		case f.Sum != s.Sum && !told[s.Number]:
			told[s.Number] = true
			bad = append(bad, Breach{OneMap, fmt.Sprintf("number %d is map %x at %v by %s, and map %x at %v by %s", s.Number, f.Sum, f.At, f.By, s.Sum, s.At, s.By)})
		}
	}
	for _, a := range writes {
		for _, b := range writes {
			if a.Outcome == Done && b.Outcome == Done && a.Return < b.Call && b.Number <= a.Number {
				bad = append(bad, Breach{OneMap, fmt.Sprintf("%s was given number %d at %v, after %s was given %d at %v", b.By, b.Number, b.Return, a.By, a.Number, a.Return)})
			}
		}
	}
	return bad
}

// Era is a map that was agreed on, or may have been.
type Era struct {
	Number int64
	Sum    uint64                `json:"Sum"`   // of its bytes
	Asked  time.Duration         `json:"Asked"` // nobody can have it before
	Known  time.Duration         `json:"Known"` // the directory had it by then; never: that is not known
	Owned  map[int]ownership.Set // by node; one that is not in the map owns nothing
}

// Disturbed is a time in which a node could not hear or do as it would: a fault of its own, or of all (-1).
type Disturbed struct {
	Node  int           `json:"node"`
	From  time.Duration `json:"from"`
	Until time.Duration `json:"until"`
	Why   string        `json:"why"`
}

func (d Disturbed) touches(node int) bool { return d.Node == node || d.Node < 0 }

// calmSince is when the last disturbance of a node before a time had ended; false in the midst of one.
func calmSince(all []Disturbed, node int, at time.Duration) (time.Duration, bool) {
	last := time.Duration(0)
	for _, d := range all {
		if !d.touches(node) || d.From > at {
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
type Handed struct {
	Node   int           `json:"node"`
	Dest   int           `json:"dest"`
	ID     string        `json:"id"`
	Unsafe bool          `json:"unsafe,omitempty"`
	Again  bool          `json:"again,omitempty"` // it had been taken on there before
	By     time.Duration `json:"by"`              // its deadline
	Call   time.Duration `json:"call"`
	Return time.Duration `json:"return"`
	State  string        `json:"state"` // one of package history's for Answered
	Wait   time.Duration `json:"wait,omitempty"`
	Why    string        `json:"why,omitempty"` // of Failed
}

// accepts tells that a node has accepted something new.
func (h Handed) accepts() bool { return h.State == history.Taken && !h.Again }

func (h Handed) String() string {
	return fmt.Sprintf("node %d accepted %s for destination %d (partition %d) at %v", h.Node, h.ID, h.Dest, ownership.PartitionOf(h.Dest), h.Return)
}

// Accepts tells where a node accepted what no map explains that it could have: going by the numbers one after the other, none of
// those from the last one it must have had owns the destination (Forward), or the bound for hearing of that one has passed (InTime).
// slowest is the longest time after a map in which a node that lost a destination by it still accepted for that.
func Accepts(eras []Era, handed []Handed, disturbed []Disturbed, bound time.Duration) (bad []Breach, slowest time.Duration) {
	eras = slices.SortedStableFunc(slices.Values(eras), func(a, b Era) int { return cmp.Compare(a.Number, b.Number) })
	handed = slices.SortedStableFunc(slices.Values(handed), func(a, b Handed) int { return cmp.Compare(a.Return, b.Return) })
	reached := map[int]int64{} // the least number that explains what a node has accepted so far
	for _, h := range handed {
		if !h.accepts() {
			continue
		}
		p := ownership.PartitionOf(h.Dest)
		heard := int64(0) // it must have this one
		since, calm := calmSince(disturbed, h.Node, h.Call)
		newest := int64(0) // that gives it the destination
		for _, e := range eras {
			if calm && e.Known != never && max(e.Known, since)+bound < h.Call {
				heard = max(heard, e.Number)
			}
			if e.Asked <= h.Return && e.Owned[h.Node].Has(p) {
				newest = e.Number
			}
		}
		explains := int64(0)
		for _, e := range eras {
			if e.Number >= reached[h.Node] && e.Asked <= h.Return && e.Owned[h.Node].Has(p) {
				explains = e.Number
				break
			}
		}
		switch {
		case newest < heard:
			bad = append(bad, Breach{InTime, fmt.Sprintf("%v, %v after it must have had map %d, by which it does not own it", h, bound, heard)})
		case explains == 0:
			bad = append(bad, Breach{Forward, fmt.Sprintf("%v; none of the maps from number %d on, which it had before, gives it to it", h, reached[h.Node])})
		default:
			reached[h.Node] = explains
		}
		for _, e := range eras { // by the first map after the last one that gives it to the node
			if e.Number > newest && e.Known != never {
				if calm {
					slowest = max(slowest, h.Return-max(e.Known, since))
				}
				break
			}
		}
	}
	return bad, slowest
}

// Ask is a watch of the list that a node has asked for, as the front between it and a replica saw it.
type Ask struct {
	Node       int           `json:"node"`
	Replica    int           `json:"replica"`
	At         time.Duration `json:"at"`
	Whole      bool          `json:"whole,omitempty"` // it asked for the list of all partitions
	Partitions ownership.Set `json:"-"`
	Older      bool          `json:"older,omitempty"` // an older build answered, which knows of no partitions
	After      int64         `json:"after"`
	Asked      int64         `json:"asked_history,omitempty"`
	History    int64         `json:"history"` // of the answer
	Lines      []ToldLine    `json:"lines"`
}

// ToldLine is a line of a watch that was not empty.
type ToldLine struct {
	At time.Duration `json:"at"`
	catalog.List
}

// Follows tells where a node's asks do not fit the maps in the order of their numbers. The set that a node asks for has all it owns by its
// map, and nothing that it never owned; who owns nothing, or has no map yet, may ask for any one, to hear of maps. An ask that crossed a newer one
// within the slack is no way back.
func Follows(eras []Era, asks []Ask, slack time.Duration) []Breach {
	eras = slices.SortedStableFunc(slices.Values(eras), func(a, b Era) int { return cmp.Compare(a.Number, b.Number) })
	asks = slices.SortedStableFunc(slices.Values(asks), func(a, b Ask) int { return cmp.Compare(a.At, b.At) })
	type reach struct {
		number int64
		at     time.Duration
	}
	var bad []Breach
	reached := map[int]reach{}
	for _, a := range asks {
		if a.Whole {
			bad = append(bad, Breach{Listed, fmt.Sprintf("node %d asked for the list of all partitions at %v", a.Node, a.At)})
			continue
		}
		from := reached[a.Node]
		fits := func(least int64) (int64, bool) {
			if least == 0 && a.Partitions.Len() == 1 { // it has no map yet
				return 0, true
			}
			var ever ownership.Set
			for _, e := range eras {
				if e.Asked > a.At {
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
			bad = append(bad, Breach{Forward, fmt.Sprintf("node %d asked for %s at %v, which fit none of the maps", a.Node, brief(a.Partitions), a.At)})
		case a.At > from.at+slack:
			bad = append(bad, Breach{Forward, fmt.Sprintf("node %d asked for %s at %v, which are those of map %d, after it had map %d at %v",
				a.Node, brief(a.Partitions), a.At, was, from.number, from.at)})
		}
	}
	return bad
}

// brief names a set of partitions in a few words.
func brief(s ownership.Set) string {
	text := s.String()
	if len(text) > 40 {
		text = text[:40] + "…"
	}
	return fmt.Sprintf("%d partitions (%s)", s.Len(), text)
}

// snapshots are the lists of a history at its revisions.
type snapshots struct {
	from int64
	at   []map[string]catalog.Endpoint
}

func (t Truth) snapshots() snapshots {
	now := listed(t.From)
	s := snapshots{t.From.Revision, []map[string]catalog.Endpoint{maps.Clone(now)}}
	for _, c := range t.Changes {
		change(now, c.Members)
		s.at = append(s.at, maps.Clone(now))
	}
	return s
}

// list is what of a revision's list is in a set of partitions.
func (s snapshots) list(revision int64, in ownership.Set) (map[string]catalog.Endpoint, bool) {
	if n := revision - s.from; n < 0 || n >= int64(len(s.at)) {
		return nil, false
	}
	out := map[string]catalog.Endpoint{}
	for id, e := range s.at[revision-s.from] {
		if in.Has(ownership.PartitionOf(e.Cell)) {
			out[id] = e
		}
	}
	return out, true
}

// FilteredWatches tells where what a node was told is not the list of the partitions it asked for. truth has the histories by their number.
func FilteredWatches(truth map[int64]Truth, asks []Ask) []Breach {
	lists := map[int64]snapshots{}
	for h, t := range truth {
		lists[h] = t.snapshots()
	}
	type position struct{ history, revision int64 }
	told := map[int]position{} // by node, at most
	var bad []Breach
	for _, a := range slices.SortedStableFunc(slices.Values(asks), func(a, b Ask) int { return cmp.Compare(a.At, b.At) }) {
		if a.Whole || a.Older || len(a.Lines) == 0 {
			continue
		}
		wrong := func(format string, args ...any) {
			bad = append(bad, Breach{Listed, fmt.Sprintf("node %d, watch of %v at replica %d for %s: ", a.Node, a.At, a.Replica, brief(a.Partitions)) + fmt.Sprintf(format, args...)})
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
			if a.Asked > at.history || a.Asked == at.history && a.After > at.revision {
				wrong("it goes on from revision %d of history %d, and was told no more than %d of %d", a.After, a.Asked, at.revision, at.history)
				continue
			}
			if a.Asked == a.History {
				has, whole = s.list(a.After, a.Partitions)
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
			change(has, l.Members)
			want, ok := s.list(revision, a.Partitions)
			if !ok {
				wrong("line %d is of revision %d, which the service does not have", n, revision)
				break
			}
			if !maps.Equal(has, want) {
				wrong("line %d, revision %d: it has been told %s", n, revision, difference(has, want))
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
func difference(has, want map[string]catalog.Endpoint) string {
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
func AfterQuiet(last Era, nodes int, dests []int, exists func(int) bool, pass []Handed) []Breach {
	type place struct{ node, dest int }
	answers := map[place]Handed{}
	for _, h := range pass {
		answers[place{h.Node, h.Dest}] = h
	}
	var bad []Breach
	for n := range nodes {
		for _, d := range dests {
			h, ok := answers[place{n, d}]
			h.Node, h.Dest = n, d
			if !ok || !h.right(last, exists(d)) {
				bad = append(bad, Breach{OwnersOnly, fmt.Sprintf("node %d, destination %d (owner by map %d: %v, listed: %v): %s %v %s",
					n, d, last.Number, last.Owned[n].Has(ownership.PartitionOf(d)), exists(d), cmp.Or(h.State, "not heard"), h.Wait, h.Why)})
			}
		}
	}
	return bad
}

// right tells that an answer is as a map and the list have it.
func (h Handed) right(by Era, listed bool) bool {
	switch owns := by.Owned[h.Node].Has(ownership.PartitionOf(h.Dest)); {
	case owns && listed:
		return h.State == history.Taken
	case owns:
		return h.State == history.Failed && h.Why == unknownDest
	}
	return h.State == history.Refused && h.Wait > 0
}

const unknownDest = "unknown destination"

// End is an end of a message.
type End struct {
	ID   string        `json:"id"`
	At   time.Duration `json:"at"`
	Kind string        `json:"kind"`
}

// The kinds of ends. A message may run and be answered, run without, or have a notice.
const (
	RanThere   = "ran"      // at a partner
	AnsweredOK = "answered" // the partner said so to the node
	NoticeFail = "failed"   // the node has told that it failed,
	NoticeBack = "returned" // or handed it back
)

// Open counts the messages that were accepted and have not ended.
func Open(handed []Handed, ends []End) int {
	over := map[string]bool{}
	for _, e := range ends {
		over[e.ID] = over[e.ID] || e.Kind != RanThere
	}
	n := 0
	for _, h := range handed {
		if h.accepts() && !over[h.ID] {
			n++
		}
	}
	return n
}

// Outlived counts the messages that ended after a map was known by which their node had lost them.
func Outlived(eras []Era, handed []Handed, ends []End) int {
	over := map[string]time.Duration{}
	for _, e := range ends {
		if e.Kind != RanThere {
			over[e.ID] = max(over[e.ID], e.At)
		}
	}
	n := 0
	for _, h := range handed {
		lost := func(e Era) bool {
			return e.Known > h.Return && e.Known < over[h.ID] && !e.Owned[h.Node].Has(ownership.PartitionOf(h.Dest))
		}
		if h.accepts() && slices.ContainsFunc(eras, lost) {
			n++
		}
	}
	return n
}

// Ends tells which messages that were accepted have no end in time, and which ended against their effect's rules. A node that was
// disturbed meanwhile has its time after that. at is when the looking ended: what is due later is not judged.
func Ends(handed []Handed, ends []End, disturbed []Disturbed, slack, at time.Duration) []Breach {
	of := map[string][]End{}
	for _, e := range ends {
		of[e.ID] = append(of[e.ID], e)
	}
	disturbed = slices.SortedFunc(slices.Values(disturbed), func(a, b Disturbed) int { return cmp.Compare(a.From, b.From) })
	var bad []Breach
	for _, h := range handed {
		runs, back, over := 0, false, never
		for _, e := range of[h.ID] {
			switch e.Kind {
			case RanThere:
				runs++
				continue
			case NoticeBack:
				back = true
			}
			over = min(over, e.At)
		}
		if h.Unsafe && (runs > 1 || runs > 0 && back) {
			bad = append(bad, Breach{Ended, fmt.Sprintf("%s at node %d must not run twice; it ran %d times, handed back: %v", h.ID, h.Node, runs, back)})
		}
		if !h.accepts() {
			continue
		}
		due := h.By + slack
		for _, d := range disturbed {
			if d.touches(h.Node) && d.From <= due && d.Until > h.Call {
				due = max(due, d.Until+slack)
			}
		}
		switch {
		case over <= due:
		case over != never:
			bad = append(bad, Breach{Ended, fmt.Sprintf("%s, accepted by node %d at %v, ended at %v and was due by %v", h.ID, h.Node, h.Return, over, due)})
		case due < at:
			bad = append(bad, Breach{Ended, fmt.Sprintf("%s, accepted by node %d at %v, has no end; it was due by %v", h.ID, h.Node, h.Return, due)})
		}
	}
	return bad
}

// Given tells which answers may never be given: that a destination is unknown which was on the list all the time, and a no to what
// the same node had taken on and not yet ended.
func Given(handed []Handed, ends []End, steady func(dest int) bool) []Breach {
	over := map[string]time.Duration{}
	for _, e := range ends {
		if at, ok := over[e.ID]; e.Kind != RanThere && (!ok || e.At < at) {
			over[e.ID] = e.At
		}
	}
	var bad []Breach
	for _, h := range handed {
		no := h.State == history.Failed || h.State == history.Refused
		if h.State == history.Failed && !h.Again && (steady(h.Dest) || h.Why != unknownDest) {
			bad = append(bad, Breach{Answers, fmt.Sprintf("node %d, destination %d at %v: failed: %s", h.Node, h.Dest, h.Return, h.Why)})
		}
		if at, ended := over[h.ID]; h.Again && no && (!ended || at > h.Return) {
			bad = append(bad, Breach{Answers, fmt.Sprintf("node %d had taken %s on and not ended it, and said no to it at %v: %s %v %s", h.Node, h.ID, h.Return, h.State, h.Wait, h.Why)})
		}
	}
	return bad
}
