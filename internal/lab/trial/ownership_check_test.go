package trial

import (
	"strings"
	"testing"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/fleet/history"
	"starlingusher/fleet/ownership"
)

func sec(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// partitions is the set of those of some destinations.
func partitions(dests ...int) ownership.Set {
	var s ownership.Set
	for _, d := range dests {
		s.Add(ownership.PartitionOf(d))
	}
	return s
}

// found holds what a checker has found to what it should have: so many breaches, all of one rule, the first of which says something.
func found(t *testing.T, what string, bad []Violation, rule OwnershipRule, says string) {
	t.Helper()
	switch {
	case says == "" && len(bad) > 0:
		t.Errorf("%s: nothing was wrong: %v", what, bad)
	case says == "":
	case len(bad) != 1:
		t.Errorf("%s: %d breaches, want one: %v", what, len(bad), bad)
	case bad[0].Rule != rule || !strings.Contains(bad[0].Description, says):
		t.Errorf("%s: %v, want %s: … %s …", what, bad[0], rule, says)
	}
}

func TestNumbersFinds(t *testing.T) {
	saw := func(at float64, by string, number int64, sum uint64) MapObservation {
		return MapObservation{sec(at), by, number, sum}
	}
	wrote := func(number int64, sum uint64, o Outcome, call, back float64) MapWrite {
		return MapWrite{"c", number, sum, o, sec(call), sec(back)}
	}
	sights := []MapObservation{saw(1, "d0", 1, 11), saw(1.5, "d1", 1, 11), saw(2, "d0", 2, 22), saw(2.1, "d1", 1, 11), saw(3, "n0", 4, 44)}
	writes := []MapWrite{wrote(1, 11, Done, 0, 1), wrote(2, 22, Done, 1.4, 2), wrote(3, 33, Ambiguous, 2, 2.5), wrote(4, 44, Done, 2.6, 3)}
	for _, c := range []struct {
		name   string
		sights []MapObservation
		writes []MapWrite
		says   string
	}{
		{"right", sights, writes, ""},
		{"an unknown write and another map of its number", append(sights[:4:4], saw(3, "d0", 3, 34)), writes[:3], ""},
		{"two maps seen", append(sights[:5:5], saw(4, "d2", 2, 23)), writes, "number 2 is map 16"},
		{"another map seen than was written", sights, append(writes[1:4:4], wrote(1, 12, Done, 0, 1)), "number 1"},
		{"two at once of one number", nil, []MapWrite{wrote(1, 11, Done, 0, 2), wrote(1, 12, Done, 1, 3)}, "number 1"},
		{"a smaller number after a larger one", nil, []MapWrite{wrote(2, 22, Done, 0, 1), wrote(1, 11, Done, 2, 3)}, "was given number 1"},
		{"the same again", nil, []MapWrite{wrote(2, 22, Done, 0, 1), wrote(2, 22, Done, 2, 3)}, "was given number 2"},
	} {
		found(t, c.name, CheckMapNumbers(c.sights, c.writes), RuleUniqueMaps, c.says)
	}
}

// eras of the tests: node 0 owns destination 1, loses it, and has it again; 2 is its own all the time, and 3 never.
func testEras() []PublishedMap {
	era := func(n int64, asked, known float64, dests ...int) PublishedMap {
		return PublishedMap{Number: n, WrittenAfter: sec(asked), CommittedBy: sec(known), Owned: map[int]ownership.Set{0: partitions(dests...)}}
	}
	return []PublishedMap{era(1, 0, 1, 1, 2), era(2, 10, 11, 2), era(3, 30, 31, 1, 2), era(4, 50, 51, 2, 4)}
}

func accept(dest int, call, back float64) Submission {
	return Submission{Destination: dest, ID: "m", Call: sec(call), Return: sec(back), Deadline: sec(call + 2), Answer: history.Taken}
}

func TestAcceptsFinds(t *testing.T) {
	refused := accept(1, 25, 25)
	refused.Answer = history.Refused
	again := accept(1, 28, 28)
	again.Repeat = true
	late := PublishedMap{Number: 5, WrittenAfter: sec(52), CommittedBy: never, Owned: map[int]ownership.Set{}}
	for _, c := range []struct {
		name      string
		handed    []Submission
		disturbed []Disturbance
		eras      []PublishedMap
		rule      OwnershipRule
		says      string
	}{
		{name: "right", handed: []Submission{accept(1, 2, 2), accept(2, 3, 3), accept(1, 15, 15), refused, again, accept(1, 30, 30.5), accept(4, 50.5, 50.6), accept(2, 60, 60)}},
		{name: "in the bound", handed: []Submission{accept(1, 18.9, 19.5)}},
		{name: "after it", handed: []Submission{accept(1, 19.1, 19.5)}, rule: RuleTimelyRelease, says: "map 2"},
		{name: "after it, but the node was cut off", handed: []Submission{accept(1, 24.9, 25)}, disturbed: []Disturbance{{0, sec(9), sec(17), ""}}},
		{name: "so long after its cut", handed: []Submission{accept(1, 25.1, 25.1)}, disturbed: []Disturbance{{-1, sec(9), sec(17), ""}}, rule: RuleTimelyRelease, says: "map 2"},
		{name: "while it is cut off", handed: []Submission{accept(1, 25.1, 25.1)}, disturbed: []Disturbance{{0, sec(9), never, ""}}},
		{name: "another one was cut off", handed: []Submission{accept(1, 25.1, 25.1)}, disturbed: []Disturbance{{1, sec(9), never, ""}}, rule: RuleTimelyRelease, says: "map 2"},
		{name: "what it never owned", handed: []Submission{accept(3, 2, 2)}, rule: RuleForwardOnly, says: "from number 0"},
		{name: "before the map that gives it", handed: []Submission{accept(4, 49, 49.5)}, rule: RuleTimelyRelease, says: "map 3"},
		{name: "back to an older map", handed: []Submission{accept(4, 51, 51.5), accept(1, 52, 52.1)}, rule: RuleForwardOnly, says: "from number 4"},
		{name: "a map that nobody may have heard of", handed: []Submission{accept(2, 100, 100)}, eras: append(testEras(), late)},
	} {
		eras := c.eras
		if eras == nil {
			eras = testEras()
		}
		bad, _ := CheckAccepts(eras, c.handed, c.disturbed, 8*time.Second)
		found(t, c.name, bad, c.rule, c.says)
	}
	if _, slowest := CheckAccepts(testEras(), []Submission{accept(1, 15, 15), accept(1, 12, 12), accept(2, 20, 20)}, nil, 8*time.Second); slowest != sec(4) {
		t.Errorf("the slowest is %v, want 4s", slowest)
	}
}

func TestFollowsFinds(t *testing.T) {
	ask := func(at float64, dests ...int) WatchRequest {
		return WatchRequest{At: sec(at), Partitions: partitions(dests...)}
	}
	for _, c := range []struct {
		name string
		asks []WatchRequest
		rule OwnershipRule
		says string
	}{
		{name: "right", asks: []WatchRequest{ask(1, 1, 2), ask(12, 1, 2), ask(15, 2), ask(31, 1, 2), ask(52, 1, 2, 4), ask(60, 2, 4)}},
		{name: "any one while it owns nothing", asks: []WatchRequest{ask(55, 2, 4), ask(72, 3)}},
		{name: "any one while it owns some", asks: []WatchRequest{ask(52, 1, 2, 4), ask(55, 3)}, rule: RuleForwardOnly, says: "those of map 0, after it had map 4"},
		{name: "any one that crossed its first", asks: []WatchRequest{ask(2, 1, 2), ask(2.1, 3)}},
		{name: "any one before it has a map", asks: []WatchRequest{ask(0.5, 3), ask(2, 1, 2)}},
		{name: "any two while it owns nothing", asks: []WatchRequest{ask(72, 3, 5)}, rule: RuleForwardOnly, says: "none of the maps"},
		{name: "one that crossed the newer one", asks: []WatchRequest{ask(51, 2, 4), ask(52, 1, 2)}},
		{name: "back", asks: []WatchRequest{ask(51, 2, 4), ask(59, 1, 2)}, rule: RuleForwardOnly, says: "those of map 1, after it had map 4"},
		{name: "more than it ever owned", asks: []WatchRequest{ask(12, 1, 2, 4)}, rule: RuleForwardOnly, says: "none of the maps"},
		{name: "less than it owns", asks: []WatchRequest{ask(2, 1, 2), ask(5, 1)}, rule: RuleForwardOnly, says: "those of map 0, after it had map 1"},
		{name: "ahead of the maps", asks: []WatchRequest{ask(2, 1, 2), ask(5, 2)}, rule: RuleForwardOnly, says: "those of map 0, after it had map 1"},
		{name: "all of the list", asks: []WatchRequest{{At: sec(5), AllPartitions: true}}, rule: RuleFilteredLists, says: "all partitions"},
	} {
		found(t, c.name, CheckWatchRequests(append(testEras(), PublishedMap{Number: 5, WrittenAfter: sec(70), CommittedBy: sec(71)}), c.asks, watchCrossingSlack), c.rule, c.says)
	}
}

func TestFilteredWatchesFinds(t *testing.T) {
	e := func(id string, dest int, size float64) catalog.Endpoint {
		return catalog.Endpoint{ID: id, Cell: dest, Phase: catalog.Serving, Size: size}
	}
	gone := func(id string) catalog.Endpoint { return catalog.Endpoint{ID: id, Phase: catalog.Deleted} }
	ch := func(rev int64, m ...catalog.Endpoint) catalog.Change {
		return catalog.Change{Revision: rev, Members: m}
	}
	truth := map[int64]CommittedHistory{7: {Changes: []catalog.Change{
		ch(1, e("a", 1, 1), e("b", 2, 1)), ch(2, e("a", 1, 2)), ch(3, e("b", 2, 2)), ch(4, e("b", 1, 2)), ch(5, e("a", 2, 2)), ch(6, e("c", 1, 1)),
	}}}
	line := func(rev int64, whole bool, m ...catalog.Endpoint) WatchLine {
		return WatchLine{List: catalog.List{Revision: rev, Complete: whole, Members: m}}
	}
	ask := func(at float64, after int64, lines ...WatchLine) WatchRequest {
		a := WatchRequest{At: sec(at), Partitions: partitions(1), After: after, History: 7, Lines: lines}
		if after > 0 {
			a.AskedHistory = 7
		}
		return a
	}
	good := []WatchLine{line(1, true, e("a", 1, 1)), line(2, false, e("a", 1, 2)), line(3, false), line(4, false, e("b", 1, 2)), line(5, false, gone("a")), line(6, false, e("c", 1, 1))}
	older := ask(2, 0, line(6, true, e("a", 2, 2), e("b", 1, 2), e("c", 1, 1)))
	older.OlderBuild = true
	newer := line(2, false, e("a", 1, 2))
	newer.Map = 4
	for _, c := range []struct {
		name string
		asks []WatchRequest
		says string
	}{
		{"right", []WatchRequest{ask(1, 0, good...)}, ""},
		{"in parts", []WatchRequest{ask(1, 0, good[:2]...), ask(2, 2, line(5, false, e("b", 1, 2), gone("a"))), ask(3, 5, good[5])}, ""},
		{"from before what was sent last", []WatchRequest{ask(1, 0, good[:4]...), ask(2, 2, good[3:]...)}, ""},
		{"whole in place of changes", []WatchRequest{ask(1, 0, good[:2]...), ask(2, 2, line(6, true, e("b", 1, 2), e("c", 1, 1)))}, ""},
		{"not answered", []WatchRequest{ask(1, 0), ask(2, 0, good...)}, ""},
		{"an older build is not taken at its word", []WatchRequest{ask(1, 0, good[:2]...), older, ask(3, 2, good[2:]...)}, ""},
		{"it was", []WatchRequest{ask(1, 0, good[:2]...), older, ask(3, 6)}, ""}, // nothing was told there
		{"it was, and goes on", []WatchRequest{ask(1, 0, good[:2]...), older, ask(3, 6, line(6, false))}, "was told no more than 2"},
		{"a change left out", []WatchRequest{ask(1, 0, good[0], line(2, false))}, "[a] as they are not"},
		{"a change left out, and another told", []WatchRequest{ask(1, 0, good[0], line(3, false), good[3])}, "line 1, revision 3"},
		{"one that comes to the partition left out", []WatchRequest{ask(1, 0, good[0], good[1], line(4, false))}, "without [b]"},
		{"one that leaves it left out", []WatchRequest{ask(1, 0, good[0], good[1], good[3], line(5, false))}, "with [a] that are not there"},
		{"one of another partition", []WatchRequest{ask(1, 0, line(1, true, e("a", 1, 1), e("b", 2, 1)))}, "with [b] that are not there"},
		{"not all at first", []WatchRequest{ask(1, 0, line(1, true))}, "without [a]"},
		{"no whole list at first", []WatchRequest{ask(1, 0, line(1, false, e("a", 1, 1)))}, "was not told"},
		{"back", []WatchRequest{ask(1, 0, good[0], good[1], good[0])}, "after 2"},
		{"back in maps", []WatchRequest{ask(1, 0, good[0], newer, good[2])}, "map 0, after 2 and 4"},
		{"ahead of all", []WatchRequest{ask(1, 0, line(9, true))}, "does not have"},
		{"another history", []WatchRequest{{At: 1, Partitions: partitions(1), History: 8, Lines: good[:1]}}, "never was"},
	} {
		found(t, c.name, CheckFilteredWatches(truth, c.asks), RuleFilteredLists, c.says)
	}
}

func TestAfterQuietFinds(t *testing.T) {
	last := PublishedMap{Number: 4, Owned: map[int]ownership.Set{0: partitions(1, 900)}}
	h := func(node, dest int, state string, wait float64, why string) Submission {
		return Submission{Node: node, Destination: dest, Answer: state, RetryAfter: sec(wait), Reason: why}
	}
	good := []Submission{
		h(0, 1, history.Taken, 0, ""), h(0, 2, history.Refused, 3, ""), h(0, 900, history.Failed, 0, unknownDestination),
		h(1, 1, history.Refused, 3, ""), h(1, 2, history.Refused, 3, ""), h(1, 900, history.Refused, 3, ""),
	}
	but := func(i int, by Submission) []Submission {
		all := append([]Submission(nil), good...)
		by.Node, by.Destination = all[i].Node, all[i].Destination
		all[i] = by
		return all
	}
	for _, c := range []struct {
		name string
		pass []Submission
		says string
	}{
		{"right", good, ""},
		{"the owner refuses", but(0, h(0, 0, history.Refused, 3, "")), "node 0, destination 1 (owner by map 4: true"},
		{"another accepts", but(3, h(0, 0, history.Taken, 0, "")), "node 1, destination 1 (owner by map 4: false"},
		{"another knows no time", but(4, h(0, 0, history.Refused, 0, "")), "node 1, destination 2"},
		{"another calls it unknown", but(4, h(0, 0, history.Failed, 0, unknownDestination)), "unknown destination"},
		{"what is not listed is accepted", but(2, h(0, 0, history.Taken, 0, "")), "listed: false"},
		{"no answer", but(1, h(0, 0, history.ClientTimedOut, 0, "")), "unheard"},
		{"never asked", good[1:], "not heard"},
	} {
		found(t, c.name, CheckConverged(last, 2, []int{1, 2, 900}, func(d int) bool { return d < 900 }, c.pass), RuleOwnersOnly, c.says)
	}
}

func TestEndsFinds(t *testing.T) {
	m := accept(1, 1, 1.1) // due by 3
	unsafe, again, broken := m, m, m
	unsafe.AtMostOnce = true
	again.Repeat = true
	broken.Answer = history.ConnectionLost
	end := func(at float64, kind string) MessageEnd { return MessageEnd{"m", sec(at), kind} }
	for _, c := range []struct {
		name      string
		handed    Submission
		ends      []MessageEnd
		disturbed []Disturbance
		says      string
	}{
		{"answered", m, []MessageEnd{end(1.2, RanAtPartner), end(1.3, AnsweredByPartner)}, nil, ""},
		{"run twice, which is harmless", m, []MessageEnd{end(1.2, RanAtPartner), end(1.3, RanAtPartner), end(3.9, AnsweredByPartner)}, nil, ""},
		{"handed back", m, []MessageEnd{end(3.5, NoticeReturned)}, nil, ""},
		{"failed, with an answer lost", unsafe, []MessageEnd{end(1.2, RanAtPartner), end(3, NoticeFailed)}, nil, ""},
		{"no end", m, []MessageEnd{end(1.2, RanAtPartner)}, nil, "has no end"},
		{"late", m, []MessageEnd{end(4.5, NoticeFailed)}, nil, "ended at 4.5s"},
		{"late, as its node was down", m, []MessageEnd{end(9, NoticeFailed)}, []Disturbance{{0, sec(2), sec(5), ""}, {0, sec(5.5), sec(8.5), ""}}, ""},
		{"late, and another node was down", m, []MessageEnd{end(9, NoticeFailed)}, []Disturbance{{1, sec(2), sec(8.5), ""}}, "ended at 9s"},
		{"not due yet", m, nil, []Disturbance{{-1, sec(2), sec(19.5), ""}}, ""},
		{"never taken on", broken, nil, nil, ""},
		{"taken on before", again, nil, nil, ""},
		{"run twice, which must not be", unsafe, []MessageEnd{end(1.2, RanAtPartner), end(1.3, RanAtPartner), end(1.4, AnsweredByPartner)}, nil, "ran 2 times"},
		{"run and handed back", unsafe, []MessageEnd{end(1.2, RanAtPartner), end(1.4, NoticeReturned)}, nil, "handed back: true"},
	} {
		found(t, c.name, CheckEnds([]Submission{c.handed}, c.ends, c.disturbed, time.Second, sec(20)), RuleMessagesEnd, c.says)
	}
}

func TestGivenFinds(t *testing.T) {
	h := func(dest int, again bool, state, why string) []Submission {
		m := accept(dest, 1, 1.1)
		m.Repeat, m.Answer, m.Reason = again, state, why
		return []Submission{m}
	}
	over := func(at float64) []MessageEnd {
		return []MessageEnd{{"m", sec(0.5), RanAtPartner}, {"m", sec(at), AnsweredByPartner}}
	}
	for _, c := range []struct {
		name   string
		handed []Submission
		ends   []MessageEnd
		says   string
	}{
		{"refused", h(1, false, history.Refused, ""), nil, ""},
		{"unknown, and not on the list", h(900, false, history.Failed, unknownDestination), nil, ""},
		{"unknown, and on the list", h(1, false, history.Failed, unknownDestination), nil, "destination 1"},
		{"failed with another reason", h(900, false, history.Failed, "unknown class"), nil, "unknown class"},
		{"taken again", h(1, true, history.Taken, ""), over(2), ""},
		{"over before it came again", h(1, true, history.Refused, ""), over(1), ""},
		{"no answer", h(1, true, history.ConnectionLost, ""), over(2), ""},
		{"refused, and not over", h(1, true, history.Refused, ""), over(2), "said no"},
		{"failed, and never over", h(1, true, history.Failed, unknownDestination), nil, "said no"},
	} {
		found(t, c.name, CheckAnswers(c.handed, c.ends, func(d int) bool { return d < 900 }), RuleAnswers, c.says)
	}
}

func TestOutlivedCounts(t *testing.T) {
	handed := []Submission{accept(1, 10.8, 10.9), accept(2, 10.8, 10.9), accept(1, 2, 2.1)}
	for i, id := range []string{"lost", "its own", "over before"} {
		handed[i].ID = id
	}
	ends := []MessageEnd{{"lost", sec(10.95), RanAtPartner}, {"lost", sec(11.5), AnsweredByPartner}, {"its own", sec(11.5), AnsweredByPartner}, {"over before", sec(3), AnsweredByPartner}}
	if n := CountEndedAfterLoss(testEras(), handed, ends); n != 1 {
		t.Errorf("%d, want 1", n)
	}
}
