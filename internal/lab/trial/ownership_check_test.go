package trial

import (
	"strings"
	"testing"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/fleet/history"
	"starlingusher/fleet/ownership"
)

func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }

// partitions returns the partitions of some destinations.
func partitions(destinations ...int) ownership.Set {
	var set ownership.Set
	for _, destination := range destinations {
		set.Add(ownership.PartitionOf(destination))
	}
	return set
}

// checkViolation expects exactly one violation, of a rule and with a text, or none if the text is empty.
func checkViolation(t *testing.T, name string, violations []Violation, rule OwnershipRule, wantText string) {
	t.Helper()
	switch {
	case wantText == "" && len(violations) > 0:
		t.Errorf("%s: nothing was wrong: %v", name, violations)
	case wantText == "":
	case len(violations) != 1:
		t.Errorf("%s: %d breaches, want one: %v", name, len(violations), violations)
	case violations[0].Rule != rule || !strings.Contains(violations[0].Description, wantText):
		t.Errorf("%s: %v, want %s: … %s …", name, violations[0], rule, wantText)
	}
}

func TestCheckMapNumbers(t *testing.T) {
	observation := func(at float64, observer string, number int64, checksum uint64) MapObservation {
		return MapObservation{seconds(at), observer, number, checksum}
	}
	write := func(number int64, sum uint64, outcome Outcome, call, returned float64) MapWrite {
		return MapWrite{"c", number, sum, outcome, seconds(call), seconds(returned)}
	}
	sights := []MapObservation{observation(1, "d0", 1, 11), observation(1.5, "d1", 1, 11), observation(2, "d0", 2, 22), observation(2.1, "d1", 1, 11), observation(3, "n0", 4, 44)}
	writes := []MapWrite{write(1, 11, Done, 0, 1), write(2, 22, Done, 1.4, 2), write(3, 33, Ambiguous, 2, 2.5), write(4, 44, Done, 2.6, 3)}
	for _, test := range []struct {
		name     string
		sights   []MapObservation
		writes   []MapWrite
		wantText string
	}{
		{"right", sights, writes, ""},
		{"an unknown write and another map of its number", append(sights[:4:4], observation(3, "d0", 3, 34)), writes[:3], ""},
		{"two maps seen", append(sights[:5:5], observation(4, "d2", 2, 23)), writes, "number 2 has checksum 16"},
		{"another map seen than was written", sights, append(writes[1:4:4], write(1, 12, Done, 0, 1)), "number 1"},
		{"two at once of one number", nil, []MapWrite{write(1, 11, Done, 0, 2), write(1, 12, Done, 1, 3)}, "number 1"},
		{"a smaller number after a larger one", nil, []MapWrite{write(2, 22, Done, 0, 1), write(1, 11, Done, 2, 3)}, "wrote map number 1"},
		{"the same again", nil, []MapWrite{write(2, 22, Done, 0, 1), write(2, 22, Done, 2, 3)}, "wrote map number 2"},
	} {
		checkViolation(t, test.name, CheckMapNumbers(test.sights, test.writes), RuleUniqueMaps, test.wantText)
	}
}

// testMaps are maps in which node 0 owns destination 1, loses it and has it again, owns 2 all the time, and
// never owns 3.
func testMaps() []PublishedMap {
	published := func(number int64, writtenAfter, committedBy float64, destinations ...int) PublishedMap {
		return PublishedMap{Number: number, WrittenAfter: seconds(writtenAfter), CommittedBy: seconds(committedBy), Owned: map[int]ownership.Set{0: partitions(destinations...)}}
	}
	return []PublishedMap{published(1, 0, 1, 1, 2), published(2, 10, 11, 2), published(3, 30, 31, 1, 2), published(4, 50, 51, 2, 4)}
}

func accepted(destination int, call, returned float64) Submission {
	return Submission{Destination: destination, ID: "m", Call: seconds(call), Return: seconds(returned), Deadline: seconds(call + 2), Answer: history.Taken}
}

func TestCheckAccepts(t *testing.T) {
	refused := accepted(1, 25, 25)
	refused.Answer = history.Refused
	repeat := accepted(1, 28, 28)
	repeat.Repeat = true
	unknownMap := PublishedMap{Number: 5, WrittenAfter: seconds(52), CommittedBy: never, Owned: map[int]ownership.Set{}}
	for _, test := range []struct {
		name      string
		handed    []Submission
		disturbed []Disturbance
		eras      []PublishedMap
		rule      OwnershipRule
		wantText  string
	}{
		{name: "right", handed: []Submission{accepted(1, 2, 2), accepted(2, 3, 3), accepted(1, 15, 15), refused, repeat, accepted(1, 30, 30.5), accepted(4, 50.5, 50.6), accepted(2, 60, 60)}},
		{name: "in the bound", handed: []Submission{accepted(1, 18.9, 19.5)}},
		{name: "after it", handed: []Submission{accepted(1, 19.1, 19.5)}, rule: RuleTimelyRelease, wantText: "map 2"},
		{name: "after it, but the node was cut off", handed: []Submission{accepted(1, 24.9, 25)}, disturbed: []Disturbance{{0, seconds(9), seconds(17), ""}}},
		{name: "so long after its cut", handed: []Submission{accepted(1, 25.1, 25.1)}, disturbed: []Disturbance{{-1, seconds(9), seconds(17), ""}}, rule: RuleTimelyRelease, wantText: "map 2"},
		{name: "while it is cut off", handed: []Submission{accepted(1, 25.1, 25.1)}, disturbed: []Disturbance{{0, seconds(9), never, ""}}},
		{name: "another one was cut off", handed: []Submission{accepted(1, 25.1, 25.1)}, disturbed: []Disturbance{{1, seconds(9), never, ""}}, rule: RuleTimelyRelease, wantText: "map 2"},
		{name: "what it never owned", handed: []Submission{accepted(3, 2, 2)}, rule: RuleForwardOnly, wantText: "from number 0"},
		{name: "before the map that gives it", handed: []Submission{accepted(4, 49, 49.5)}, rule: RuleTimelyRelease, wantText: "map 3"},
		{name: "back to an older map", handed: []Submission{accepted(4, 51, 51.5), accepted(1, 52, 52.1)}, rule: RuleForwardOnly, wantText: "from number 4"},
		{name: "a map that nobody may have heard of", handed: []Submission{accepted(2, 100, 100)}, eras: append(testMaps(), unknownMap)},
	} {
		eras := test.eras
		if eras == nil {
			eras = testMaps()
		}
		violations, _ := CheckAccepts(eras, test.handed, test.disturbed, 8*time.Second)
		checkViolation(t, test.name, violations, test.rule, test.wantText)
	}
	if _, longest := CheckAccepts(testMaps(), []Submission{accepted(1, 15, 15), accepted(1, 12, 12), accepted(2, 20, 20)}, nil, 8*time.Second); longest != seconds(4) {
		t.Errorf("the slowest is %v, want 4s", longest)
	}
}

func TestCheckWatchRequests(t *testing.T) {
	request := func(at float64, destinations ...int) WatchRequest {
		return WatchRequest{At: seconds(at), Partitions: partitions(destinations...)}
	}
	for _, test := range []struct {
		name     string
		requests []WatchRequest
		rule     OwnershipRule
		wantText string
	}{
		{name: "right", requests: []WatchRequest{request(1, 1, 2), request(12, 1, 2), request(15, 2), request(31, 1, 2), request(52, 1, 2, 4), request(60, 2, 4)}},
		{name: "any one while it owns nothing", requests: []WatchRequest{request(55, 2, 4), request(72, 3)}},
		{name: "any one while it owns some", requests: []WatchRequest{request(52, 1, 2, 4), request(55, 3)}, rule: RuleForwardOnly, wantText: "those of map 0, after it had requested those of map 4"},
		{name: "any one that crossed its first", requests: []WatchRequest{request(2, 1, 2), request(2.1, 3)}},
		{name: "any one before it has a map", requests: []WatchRequest{request(0.5, 3), request(2, 1, 2)}},
		{name: "any two while it owns nothing", requests: []WatchRequest{request(72, 3, 5)}, rule: RuleForwardOnly, wantText: "none of the maps"},
		{name: "one that crossed the newer one", requests: []WatchRequest{request(51, 2, 4), request(52, 1, 2)}},
		{name: "back", requests: []WatchRequest{request(51, 2, 4), request(59, 1, 2)}, rule: RuleForwardOnly, wantText: "those of map 1, after it had requested those of map 4"},
		{name: "more than it ever owned", requests: []WatchRequest{request(12, 1, 2, 4)}, rule: RuleForwardOnly, wantText: "none of the maps"},
		{name: "less than it owns", requests: []WatchRequest{request(2, 1, 2), request(5, 1)}, rule: RuleForwardOnly, wantText: "those of map 0, after it had requested those of map 1"},
		{name: "ahead of the maps", requests: []WatchRequest{request(2, 1, 2), request(5, 2)}, rule: RuleForwardOnly, wantText: "those of map 0, after it had requested those of map 1"},
		{name: "all of the list", requests: []WatchRequest{{At: seconds(5), AllPartitions: true}}, rule: RuleFilteredLists, wantText: "all partitions"},
	} {
		checkViolation(t, test.name, CheckWatchRequests(append(testMaps(), PublishedMap{Number: 5, WrittenAfter: seconds(70), CommittedBy: seconds(71)}), test.requests, watchCrossingSlack), test.rule, test.wantText)
	}
}

func TestCheckFilteredWatches(t *testing.T) {
	endpoint := func(id string, destination int, size float64) catalog.Endpoint {
		return catalog.Endpoint{ID: id, Cell: destination, Phase: catalog.Serving, Size: size}
	}
	deleted := func(id string) catalog.Endpoint { return catalog.Endpoint{ID: id, Phase: catalog.Deleted} }
	change := func(revision int64, members ...catalog.Endpoint) catalog.Change {
		return catalog.Change{Revision: revision, Members: members}
	}
	histories := map[int64]CommittedHistory{7: {Changes: []catalog.Change{
		change(1, endpoint("a", 1, 1), endpoint("b", 2, 1)), change(2, endpoint("a", 1, 2)), change(3, endpoint("b", 2, 2)), change(4, endpoint("b", 1, 2)), change(5, endpoint("a", 2, 2)), change(6, endpoint("c", 1, 1)),
	}}}
	line := func(rev int64, complete bool, m ...catalog.Endpoint) WatchLine {
		return WatchLine{List: catalog.List{Revision: rev, Complete: complete, Members: m}}
	}
	request := func(at float64, after int64, lines ...WatchLine) WatchRequest {
		made := WatchRequest{At: seconds(at), Partitions: partitions(1), After: after, History: 7, Lines: lines}
		if after > 0 {
			made.AskedHistory = 7
		}
		return made
	}
	correct := []WatchLine{line(1, true, endpoint("a", 1, 1)), line(2, false, endpoint("a", 1, 2)), line(3, false), line(4, false, endpoint("b", 1, 2)), line(5, false, deleted("a")), line(6, false, endpoint("c", 1, 1))}
	olderBuild := request(2, 0, line(6, true, endpoint("a", 2, 2), endpoint("b", 1, 2), endpoint("c", 1, 1)))
	olderBuild.OlderBuild = true
	newerMap := line(2, false, endpoint("a", 1, 2))
	newerMap.Map = 4
	for _, test := range []struct {
		name     string
		requests []WatchRequest
		wantText string
	}{
		{"right", []WatchRequest{request(1, 0, correct...)}, ""},
		{"in parts", []WatchRequest{request(1, 0, correct[:2]...), request(2, 2, line(5, false, endpoint("b", 1, 2), deleted("a"))), request(3, 5, correct[5])}, ""},
		{"from before what was sent last", []WatchRequest{request(1, 0, correct[:4]...), request(2, 2, correct[3:]...)}, ""},
		{"whole in place of changes", []WatchRequest{request(1, 0, correct[:2]...), request(2, 2, line(6, true, endpoint("b", 1, 2), endpoint("c", 1, 1)))}, ""},
		{"not answered", []WatchRequest{request(1, 0), request(2, 0, correct...)}, ""},
		{"an older build is not taken at its word", []WatchRequest{request(1, 0, correct[:2]...), olderBuild, request(3, 2, correct[2:]...)}, ""},
		{"it was", []WatchRequest{request(1, 0, correct[:2]...), olderBuild, request(3, 6)}, ""}, // that watch was sent nothing
		{"it was, and goes on", []WatchRequest{request(1, 0, correct[:2]...), olderBuild, request(3, 6, line(6, false))}, "was sent no more than revision 2"},
		{"a change left out", []WatchRequest{request(1, 0, correct[0], line(2, false))}, "different [a]"},
		{"a change left out, and another told", []WatchRequest{request(1, 0, correct[0], line(3, false), correct[3])}, "line 1, revision 3"},
		{"one that comes to the partition left out", []WatchRequest{request(1, 0, correct[0], correct[1], line(4, false))}, "missing [b]"},
		{"one that leaves it left out", []WatchRequest{request(1, 0, correct[0], correct[1], correct[3], line(5, false))}, "unexpected [a]"},
		{"one of another partition", []WatchRequest{request(1, 0, line(1, true, endpoint("a", 1, 1), endpoint("b", 2, 1)))}, "unexpected [b]"},
		{"not all at first", []WatchRequest{request(1, 0, line(1, true))}, "missing [a]"},
		{"no whole list at first", []WatchRequest{request(1, 0, line(1, false, endpoint("a", 1, 1)))}, "never sent"},
		{"back", []WatchRequest{request(1, 0, correct[0], correct[1], correct[0])}, "after 2"},
		{"back in maps", []WatchRequest{request(1, 0, correct[0], newerMap, correct[2])}, "map 0, after 2 and 4"},
		{"ahead of all", []WatchRequest{request(1, 0, line(9, true))}, "does not have"},
		{"another history", []WatchRequest{{At: 1, Partitions: partitions(1), History: 8, Lines: correct[:1]}}, "history 8 does not exist"},
	} {
		checkViolation(t, test.name, CheckFilteredWatches(histories, test.requests), RuleFilteredLists, test.wantText)
	}
}

func TestCheckConverged(t *testing.T) {
	lastMap := PublishedMap{Number: 4, Owned: map[int]ownership.Set{0: partitions(1, 900)}}
	submission := func(node, destination int, state string, retryAfter float64, reason string) Submission {
		return Submission{Node: node, Destination: destination, Answer: state, RetryAfter: seconds(retryAfter), Reason: reason}
	}
	correct := []Submission{
		submission(0, 1, history.Taken, 0, ""), submission(0, 2, history.Refused, 3, ""), submission(0, 900, history.Failed, 0, unknownDestination),
		submission(1, 1, history.Refused, 3, ""), submission(1, 2, history.Refused, 3, ""), submission(1, 900, history.Refused, 3, ""),
	}
	except := func(i int, other Submission) []Submission {
		changed := append([]Submission(nil), correct...)
		other.Node, other.Destination = changed[i].Node, changed[i].Destination
		changed[i] = other
		return changed
	}
	for _, test := range []struct {
		name     string
		pass     []Submission
		wantText string
	}{
		{"right", correct, ""},
		{"the owner refuses", except(0, submission(0, 0, history.Refused, 3, "")), "node 0, destination 1 (owner by map 4: true"},
		{"another accepts", except(3, submission(0, 0, history.Taken, 0, "")), "node 1, destination 1 (owner by map 4: false"},
		{"another knows no time", except(4, submission(0, 0, history.Refused, 0, "")), "node 1, destination 2"},
		{"another calls it unknown", except(4, submission(0, 0, history.Failed, 0, unknownDestination)), "unknown destination"},
		{"what is not listed is accepted", except(2, submission(0, 0, history.Taken, 0, "")), "listed: false"},
		{"no answer", except(1, submission(0, 0, history.ClientTimedOut, 0, "")), "unheard"},
		{"never asked", correct[1:], "no answer recorded"},
	} {
		checkViolation(t, test.name, CheckConverged(lastMap, 2, []int{1, 2, 900}, func(d int) bool { return d < 900 }, test.pass), RuleOwnersOnly, test.wantText)
	}
}

func TestCheckEnds(t *testing.T) {
	submission := accepted(1, 1, 1.1) // due by 3s
	atMostOnce, repeat, connectionLost := submission, submission, submission
	atMostOnce.AtMostOnce = true
	repeat.Repeat = true
	connectionLost.Answer = history.ConnectionLost
	end := func(at float64, kind string) MessageEnd { return MessageEnd{"m", seconds(at), kind} }
	for _, test := range []struct {
		name      string
		handed    Submission
		ends      []MessageEnd
		disturbed []Disturbance
		wantText  string
	}{
		{"answered", submission, []MessageEnd{end(1.2, RanAtPartner), end(1.3, AnsweredByPartner)}, nil, ""},
		{"run twice, which is harmless", submission, []MessageEnd{end(1.2, RanAtPartner), end(1.3, RanAtPartner), end(3.9, AnsweredByPartner)}, nil, ""},
		{"handed back", submission, []MessageEnd{end(3.5, NoticeReturned)}, nil, ""},
		{"failed, with an answer lost", atMostOnce, []MessageEnd{end(1.2, RanAtPartner), end(3, NoticeFailed)}, nil, ""},
		{"no end", submission, []MessageEnd{end(1.2, RanAtPartner)}, nil, "has no end"},
		{"late", submission, []MessageEnd{end(4.5, NoticeFailed)}, nil, "ended at 4.5s"},
		{"late, as its node was down", submission, []MessageEnd{end(9, NoticeFailed)}, []Disturbance{{0, seconds(2), seconds(5), ""}, {0, seconds(5.5), seconds(8.5), ""}}, ""},
		{"late, and another node was down", submission, []MessageEnd{end(9, NoticeFailed)}, []Disturbance{{1, seconds(2), seconds(8.5), ""}}, "ended at 9s"},
		{"not due yet", submission, nil, []Disturbance{{-1, seconds(2), seconds(19.5), ""}}, ""},
		{"never taken on", connectionLost, nil, nil, ""},
		{"taken on before", repeat, nil, nil, ""},
		{"run twice, which must not be", atMostOnce, []MessageEnd{end(1.2, RanAtPartner), end(1.3, RanAtPartner), end(1.4, AnsweredByPartner)}, nil, "ran 2 times"},
		{"run and handed back", atMostOnce, []MessageEnd{end(1.2, RanAtPartner), end(1.4, NoticeReturned)}, nil, "returned: true"},
	} {
		checkViolation(t, test.name, CheckEnds([]Submission{test.handed}, test.ends, test.disturbed, time.Second, seconds(20)), RuleMessagesEnd, test.wantText)
	}
}

func TestCheckAnswers(t *testing.T) {
	submissions := func(destination int, repeat bool, state, reason string) []Submission {
		submission := accepted(destination, 1, 1.1)
		submission.Repeat, submission.Answer, submission.Reason = repeat, state, reason
		return []Submission{submission}
	}
	endedAt := func(at float64) []MessageEnd {
		return []MessageEnd{{"m", seconds(0.5), RanAtPartner}, {"m", seconds(at), AnsweredByPartner}}
	}
	for _, test := range []struct {
		name     string
		handed   []Submission
		ends     []MessageEnd
		wantText string
	}{
		{"refused", submissions(1, false, history.Refused, ""), nil, ""},
		{"unknown, and not on the list", submissions(900, false, history.Failed, unknownDestination), nil, ""},
		{"unknown, and on the list", submissions(1, false, history.Failed, unknownDestination), nil, "destination 1"},
		{"failed with another reason", submissions(900, false, history.Failed, "unknown class"), nil, "unknown class"},
		{"taken again", submissions(1, true, history.Taken, ""), endedAt(2), ""},
		{"over before it came again", submissions(1, true, history.Refused, ""), endedAt(1), ""},
		{"no answer", submissions(1, true, history.ConnectionLost, ""), endedAt(2), ""},
		{"refused, and not over", submissions(1, true, history.Refused, ""), endedAt(2), "rejected its repeat"},
		{"failed, and never over", submissions(1, true, history.Failed, unknownDestination), nil, "rejected its repeat"},
	} {
		checkViolation(t, test.name, CheckAnswers(test.handed, test.ends, func(d int) bool { return d < 900 }), RuleAnswers, test.wantText)
	}
}

func TestCountEndedAfterLoss(t *testing.T) {
	submissions := []Submission{accepted(1, 10.8, 10.9), accepted(2, 10.8, 10.9), accepted(1, 2, 2.1)}
	for i, id := range []string{"lost", "its own", "over before"} {
		submissions[i].ID = id
	}
	ends := []MessageEnd{{"lost", seconds(10.95), RanAtPartner}, {"lost", seconds(11.5), AnsweredByPartner}, {"its own", seconds(11.5), AnsweredByPartner}, {"over before", seconds(3), AnsweredByPartner}}
	if count := CountEndedAfterLoss(testMaps(), submissions, ends); count != 1 {
		t.Errorf("%d, want 1", count)
	}
}
