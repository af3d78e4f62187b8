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
		t.Errorf("%s: unexpected violations: %v", name, violations)
	case wantText == "":
	case len(violations) != 1:
		t.Errorf("%s: %d violations, want one: %v", name, len(violations), violations)
	case violations[0].Rule != rule || !strings.Contains(violations[0].Description, wantText):
		t.Errorf("%s: %v, want one of %s that contains %q", name, violations[0], rule, wantText)
	}
}

func TestCheckMapNumbers(t *testing.T) {
	observation := func(at float64, observer string, number int64, checksum uint64) MapObservation {
		return MapObservation{seconds(at), observer, number, checksum}
	}
	write := func(number int64, checksum uint64, outcome Outcome, call, returned float64) MapWrite {
		return MapWrite{"c", number, checksum, outcome, seconds(call), seconds(returned)}
	}
	observations := []MapObservation{observation(1, "d0", 1, 11), observation(1.5, "d1", 1, 11), observation(2, "d0", 2, 22), observation(2.1, "d1", 1, 11),
		observation(3, "n0", 4, 44)}
	writes := []MapWrite{write(1, 11, Done, 0, 1), write(2, 22, Done, 1.4, 2), write(3, 33, Ambiguous, 2, 2.5), write(4, 44, Done, 2.6, 3)}
	for _, test := range []struct {
		name         string
		observations []MapObservation
		writes       []MapWrite
		wantText     string
	}{
		{"correct", observations, writes, ""},
		{"an ambiguous write and another map of its number", append(observations[:4:4], observation(3, "d0", 3, 34)), writes[:3], ""},
		{"two maps observed", append(observations[:5:5], observation(4, "d2", 2, 23)), writes, "number 2 has checksum 16"},
		{"another map observed than was written", observations, append(writes[1:4:4], write(1, 12, Done, 0, 1)), "number 1"},
		{"two concurrent writes of one number", nil, []MapWrite{write(1, 11, Done, 0, 2), write(1, 12, Done, 1, 3)}, "number 1"},
		{"a smaller number after a larger one", nil, []MapWrite{write(2, 22, Done, 0, 1), write(1, 11, Done, 2, 3)}, "wrote map number 1"},
		{"the same number twice", nil, []MapWrite{write(2, 22, Done, 0, 1), write(2, 22, Done, 2, 3)}, "wrote map number 2"},
	} {
		checkViolation(t, test.name, CheckMapNumbers(test.observations, test.writes), RuleUniqueMaps, test.wantText)
	}
}

// testMaps are maps in which node 0 owns destination 1, loses it and has it again, owns 2 all the time, and
// never owns 3.
func testMaps() []PublishedMap {
	published := func(number int64, writtenAfter, committedBy float64, destinations ...int) PublishedMap {
		return PublishedMap{Number: number, WrittenAfter: seconds(writtenAfter), CommittedBy: seconds(committedBy),
			Owned: map[int]ownership.Set{0: partitions(destinations...)}}
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
		name         string
		submissions  []Submission
		disturbances []Disturbance
		published    []PublishedMap
		rule         OwnershipRule
		wantText     string
	}{
		{name: "allowed by the maps", submissions: []Submission{accepted(1, 2, 2), accepted(2, 3, 3), accepted(1, 15, 15), refused, repeat,
			accepted(1, 30, 30.5), accepted(4, 50.5, 50.6), accepted(2, 60, 60)}},
		{name: "lost partition within the limit", submissions: []Submission{accepted(1, 18.9, 19.5)}},
		{name: "lost partition after the limit", submissions: []Submission{accepted(1, 19.1, 19.5)}, rule: RuleTimelyRelease, wantText: "map 2"},
		{name: "after the limit, but the node was cut off", submissions: []Submission{accepted(1, 24.9, 25)},
			disturbances: []Disturbance{{0, seconds(9), seconds(17), ""}}},
		{name: "the limit after the node was cut off", submissions: []Submission{accepted(1, 25.1, 25.1)},
			disturbances: []Disturbance{{-1, seconds(9), seconds(17), ""}}, rule: RuleTimelyRelease, wantText: "map 2"},
		{name: "while the node is cut off", submissions: []Submission{accepted(1, 25.1, 25.1)}, disturbances: []Disturbance{{0, seconds(9), never, ""}}},
		{name: "another node was cut off", submissions: []Submission{accepted(1, 25.1, 25.1)}, disturbances: []Disturbance{{1, seconds(9), never, ""}},
			rule: RuleTimelyRelease, wantText: "map 2"},
		{name: "partition that it never owned", submissions: []Submission{accepted(3, 2, 2)}, rule: RuleForwardOnly, wantText: "from number 0"},
		{name: "before the map that assigns the partition", submissions: []Submission{accepted(4, 49, 49.5)}, rule: RuleTimelyRelease, wantText: "map 3"},
		{name: "back to an older map", submissions: []Submission{accepted(4, 51, 51.5), accepted(1, 52, 52.1)}, rule: RuleForwardOnly, wantText: "from number 4"},
		{name: "a map that no node may have", submissions: []Submission{accepted(2, 100, 100)}, published: append(testMaps(), unknownMap)},
	} {
		published := test.published
		if published == nil {
			published = testMaps()
		}
		violations, _ := CheckAccepts(published, test.submissions, test.disturbances, 8*time.Second)
		checkViolation(t, test.name, violations, test.rule, test.wantText)
	}
	if _, longest := CheckAccepts(testMaps(), []Submission{accepted(1, 15, 15), accepted(1, 12, 12), accepted(2, 20, 20)}, nil,
		8*time.Second); longest != seconds(4) {
		t.Errorf("the longest late accept is %v, want 4s", longest)
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
		{name: "fits the maps", requests: []WatchRequest{request(1, 1, 2), request(12, 1, 2), request(15, 2), request(31, 1, 2), request(52, 1, 2, 4),
			request(60, 2, 4)}},
		{name: "any partition while it owns nothing", requests: []WatchRequest{request(55, 2, 4), request(72, 3)}},
		{name: "any partition while it owns some", requests: []WatchRequest{request(52, 1, 2, 4), request(55, 3)}, rule: RuleForwardOnly,
			wantText: "those of map 0, after it had requested those of map 4"},
		{name: "any partition, overtaken by its first request", requests: []WatchRequest{request(2, 1, 2), request(2.1, 3)}},
		{name: "any partition before it has a map", requests: []WatchRequest{request(0.5, 3), request(2, 1, 2)}},
		{name: "two partitions while it owns nothing", requests: []WatchRequest{request(72, 3, 5)}, rule: RuleForwardOnly, wantText: "none of the maps"},
		{name: "overtaken by a newer request", requests: []WatchRequest{request(51, 2, 4), request(52, 1, 2)}},
		{name: "back to an older map", requests: []WatchRequest{request(51, 2, 4), request(59, 1, 2)}, rule: RuleForwardOnly,
			wantText: "those of map 1, after it had requested those of map 4"},
		{name: "more than it ever owned", requests: []WatchRequest{request(12, 1, 2, 4)}, rule: RuleForwardOnly, wantText: "none of the maps"},
		{name: "less than it owns", requests: []WatchRequest{request(2, 1, 2), request(5, 1)}, rule: RuleForwardOnly,
			wantText: "those of map 0, after it had requested those of map 1"},
		{name: "ahead of the maps", requests: []WatchRequest{request(2, 1, 2), request(5, 2)}, rule: RuleForwardOnly,
			wantText: "those of map 0, after it had requested those of map 1"},
		{name: "the whole list", requests: []WatchRequest{{At: seconds(5), AllPartitions: true}}, rule: RuleFilteredLists, wantText: "all partitions"},
	} {
		checkViolation(t, test.name, CheckWatchRequests(append(testMaps(), PublishedMap{Number: 5, WrittenAfter: seconds(70), CommittedBy: seconds(71)}),
			test.requests, watchCrossingSlack), test.rule, test.wantText)
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
		change(1, endpoint("a", 1, 1), endpoint("b", 2, 1)), change(2, endpoint("a", 1, 2)), change(3, endpoint("b", 2, 2)), change(4, endpoint("b", 1, 2)),
		change(5, endpoint("a", 2, 2)), change(6, endpoint("c", 1, 1)),
	}}}
	line := func(revision int64, complete bool, members ...catalog.Endpoint) WatchLine {
		return WatchLine{List: catalog.List{Revision: revision, Complete: complete, Members: members}}
	}
	request := func(at float64, after int64, lines ...WatchLine) WatchRequest {
		made := WatchRequest{At: seconds(at), Partitions: partitions(1), After: after, History: 7, Lines: lines}
		if after > 0 {
			made.AskedHistory = 7
		}
		return made
	}
	correct := []WatchLine{line(1, true, endpoint("a", 1, 1)), line(2, false, endpoint("a", 1, 2)), line(3, false), line(4, false, endpoint("b", 1, 2)),
		line(5, false, deleted("a")), line(6, false, endpoint("c", 1, 1))}
	olderBuild := request(2, 0, line(6, true, endpoint("a", 2, 2), endpoint("b", 1, 2), endpoint("c", 1, 1)))
	olderBuild.OlderBuild = true
	newerMap := line(2, false, endpoint("a", 1, 2))
	newerMap.Map = 4
	for _, test := range []struct {
		name     string
		requests []WatchRequest
		wantText string
	}{
		{"correct", []WatchRequest{request(1, 0, correct...)}, ""},
		{"in several watches", []WatchRequest{request(1, 0, correct[:2]...), request(2, 2, line(5, false, endpoint("b", 1, 2), deleted("a"))),
			request(3, 5, correct[5])}, ""},
		{"from before what was sent last", []WatchRequest{request(1, 0, correct[:4]...), request(2, 2, correct[3:]...)}, ""},
		{"the whole list instead of changes",
			[]WatchRequest{request(1, 0, correct[:2]...), request(2, 2, line(6, true, endpoint("b", 1, 2), endpoint("c", 1, 1)))}, ""},
		{"not answered", []WatchRequest{request(1, 0), request(2, 0, correct...)}, ""},
		{"lines of an older build are skipped", []WatchRequest{request(1, 0, correct[:2]...), olderBuild, request(3, 2, correct[2:]...)}, ""},
		{"resumed from an older build's revision, nothing sent", []WatchRequest{request(1, 0, correct[:2]...), olderBuild, request(3, 6)}, ""}, // that watch was sent nothing
		{"resumed from an older build's revision", []WatchRequest{request(1, 0, correct[:2]...), olderBuild, request(3, 6, line(6, false))},
			"was sent no more than revision 2"},
		{"a change missing", []WatchRequest{request(1, 0, correct[0], line(2, false))}, "different [a]"},
		{"a change missing, and another sent", []WatchRequest{request(1, 0, correct[0], line(3, false), correct[3])}, "line 1, revision 3"},
		{"an endpoint added to the partition missing", []WatchRequest{request(1, 0, correct[0], correct[1], line(4, false))}, "missing [b]"},
		{"an endpoint removed from the partition missing", []WatchRequest{request(1, 0, correct[0], correct[1], correct[3], line(5, false))}, "unexpected [a]"},
		{"an endpoint of another partition", []WatchRequest{request(1, 0, line(1, true, endpoint("a", 1, 1), endpoint("b", 2, 1)))}, "unexpected [b]"},
		{"an incomplete first list", []WatchRequest{request(1, 0, line(1, true))}, "missing [a]"},
		{"changes before a whole list", []WatchRequest{request(1, 0, line(1, false, endpoint("a", 1, 1)))}, "never sent"},
		{"back to an older revision", []WatchRequest{request(1, 0, correct[0], correct[1], correct[0])}, "after 2"},
		{"back to an older map", []WatchRequest{request(1, 0, correct[0], newerMap, correct[2])}, "map 0, after 2 and 4"},
		{"a revision that does not exist", []WatchRequest{request(1, 0, line(9, true))}, "does not have"},
		{"a history that does not exist", []WatchRequest{{At: 1, Partitions: partitions(1), History: 8, Lines: correct[:1]}}, "history 8 does not exist"},
	} {
		checkViolation(t, test.name, CheckFilteredWatches(histories, test.requests), RuleFilteredLists, test.wantText)
	}
}

func TestCheckConverged(t *testing.T) {
	lastMap := PublishedMap{Number: 4, Owned: map[int]ownership.Set{0: partitions(1, 900)}}
	submission := func(node, destination int, answer string, retryAfter float64, reason string) Submission {
		return Submission{Node: node, Destination: destination, Answer: answer, RetryAfter: seconds(retryAfter), Reason: reason}
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
		name        string
		submissions []Submission
		wantText    string
	}{
		{"correct", correct, ""},
		{"the owner refuses", except(0, submission(0, 0, history.Refused, 3, "")), "node 0, destination 1 (owner by map 4: true"},
		{"another node accepts", except(3, submission(0, 0, history.Taken, 0, "")), "node 1, destination 1 (owner by map 4: false"},
		{"another node refuses without a retry-after", except(4, submission(0, 0, history.Refused, 0, "")), "node 1, destination 2"},
		{"another node calls it unknown", except(4, submission(0, 0, history.Failed, 0, unknownDestination)), "unknown destination"},
		{"an unlisted destination is accepted", except(2, submission(0, 0, history.Taken, 0, "")), "listed: false"},
		{"no answer", except(1, submission(0, 0, history.ClientTimedOut, 0, "")), "unheard"},
		{"never asked", correct[1:], "no answer recorded"},
	} {
		checkViolation(t, test.name, CheckConverged(lastMap, 2, []int{1, 2, 900}, func(destination int) bool { return destination < 900 }, test.submissions),
			RuleOwnersOnly, test.wantText)
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
		name         string
		submission   Submission
		ends         []MessageEnd
		disturbances []Disturbance
		wantText     string
	}{
		{"answered", submission, []MessageEnd{end(1.2, RanAtPartner), end(1.3, AnsweredByPartner)}, nil, ""},
		{"run twice, which is allowed", submission, []MessageEnd{end(1.2, RanAtPartner), end(1.3, RanAtPartner), end(3.9, AnsweredByPartner)}, nil, ""},
		{"returned", submission, []MessageEnd{end(3.5, NoticeReturned)}, nil, ""},
		{"failed, with the answer lost", atMostOnce, []MessageEnd{end(1.2, RanAtPartner), end(3, NoticeFailed)}, nil, ""},
		{"no end", submission, []MessageEnd{end(1.2, RanAtPartner)}, nil, "has no end"},
		{"late", submission, []MessageEnd{end(4.5, NoticeFailed)}, nil, "ended at 4.5s"},
		{"late, because its node was down", submission, []MessageEnd{end(9, NoticeFailed)},
			[]Disturbance{{0, seconds(2), seconds(5), ""}, {0, seconds(5.5), seconds(8.5), ""}}, ""},
		{"late, although only another node was down", submission, []MessageEnd{end(9, NoticeFailed)}, []Disturbance{{1, seconds(2), seconds(8.5), ""}},
			"ended at 9s"},
		{"not due yet", submission, nil, []Disturbance{{-1, seconds(2), seconds(19.5), ""}}, ""},
		{"never accepted", connectionLost, nil, nil, ""},
		{"accepted before", repeat, nil, nil, ""},
		{"run twice, which is forbidden", atMostOnce, []MessageEnd{end(1.2, RanAtPartner), end(1.3, RanAtPartner), end(1.4, AnsweredByPartner)}, nil, "ran 2 times"},
		{"run and returned", atMostOnce, []MessageEnd{end(1.2, RanAtPartner), end(1.4, NoticeReturned)}, nil, "returned: true"},
	} {
		checkViolation(t, test.name, CheckEnds([]Submission{test.submission}, test.ends, test.disturbances, time.Second, seconds(20)), RuleMessagesEnd,
			test.wantText)
	}
}

func TestCheckAnswers(t *testing.T) {
	submissions := func(destination int, repeat bool, answer, reason string) []Submission {
		submission := accepted(destination, 1, 1.1)
		submission.Repeat, submission.Answer, submission.Reason = repeat, answer, reason
		return []Submission{submission}
	}
	endedAt := func(at float64) []MessageEnd {
		return []MessageEnd{{"m", seconds(0.5), RanAtPartner}, {"m", seconds(at), AnsweredByPartner}}
	}
	for _, test := range []struct {
		name        string
		submissions []Submission
		ends        []MessageEnd
		wantText    string
	}{
		{"refused", submissions(1, false, history.Refused, ""), nil, ""},
		{"unknown, and not listed", submissions(900, false, history.Failed, unknownDestination), nil, ""},
		{"unknown, and listed", submissions(1, false, history.Failed, unknownDestination), nil, "destination 1"},
		{"failed with another reason", submissions(900, false, history.Failed, "unknown class"), nil, "unknown class"},
		{"repeat accepted", submissions(1, true, history.Taken, ""), endedAt(2), ""},
		{"ended before its repeat", submissions(1, true, history.Refused, ""), endedAt(1), ""},
		{"no answer", submissions(1, true, history.ConnectionLost, ""), endedAt(2), ""},
		{"repeat refused before the end", submissions(1, true, history.Refused, ""), endedAt(2), "did not accept its repeat"},
		{"repeat failed without an end", submissions(1, true, history.Failed, unknownDestination), nil, "did not accept its repeat"},
	} {
		checkViolation(t, test.name, CheckAnswers(test.submissions, test.ends, func(destination int) bool { return destination < 900 }), RuleAnswers, test.wantText)
	}
}

func TestCountEndedAfterLoss(t *testing.T) {
	submissions := []Submission{accepted(1, 10.8, 10.9), accepted(2, 10.8, 10.9), accepted(1, 2, 2.1)}
	for i, id := range []string{"lost", "its own", "ended before"} {
		submissions[i].ID = id
	}
	ends := []MessageEnd{{"lost", seconds(10.95), RanAtPartner}, {"lost", seconds(11.5), AnsweredByPartner}, {"its own", seconds(11.5), AnsweredByPartner},
		{"ended before", seconds(3), AnsweredByPartner}}
	if count := CountEndedAfterLoss(testMaps(), submissions, ends); count != 1 {
		t.Errorf("%d messages counted, want 1", count)
	}
}
