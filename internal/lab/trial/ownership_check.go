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

// OwnershipRule names a rule that the trial checks.
type OwnershipRule string

// The rules.
const (
	RuleUniqueMaps    OwnershipRule = "one-map"     // a map number belongs to one map, and a later map has a larger number
	RuleForwardOnly   OwnershipRule = "forward"     // no node goes back to an older map, or acts by one that does not exist yet
	RuleTimelyRelease OwnershipRule = "in-time"     // a former owner accepts no new messages once it must have the new map
	RuleOwnersOnly    OwnershipRule = "owners-only" // after convergence owners accept, and all other nodes refuse with a retry-after
	RuleFilteredLists OwnershipRule = "listed"      // a node is sent exactly the list of the partitions that it requested, in order
	RuleAnswers       OwnershipRule = "answers"     // no listed destination is called unknown, and an accepted message stays accepted
	RuleMessagesEnd   OwnershipRule = "ended"       // accepted messages end in time, by the rules of their effect
	RuleRecovery      OwnershipRule = "returns"     // all processes recover after the faults
)

// Violation is a rule that was broken.
type Violation struct {
	Rule        OwnershipRule `json:"rule"`
	Description string        `json:"what"`
}

// never is the time of an event that did not happen.
const never = time.Duration(math.MaxInt64)

// MapObservation is a map that a process was seen to have.
type MapObservation struct {
	At       time.Duration `json:"at"`
	Observer string        `json:"by"`
	Number   int64         `json:"number"`
	Checksum uint64        `json:"sum"` // of the encoded map
}

// MapWrite is a write of a map by a controller. Writes that certainly had no effect are not recorded.
type MapWrite struct {
	Writer   string        `json:"by"`
	Number   int64         `json:"number"`
	Checksum uint64        `json:"sum"`
	Outcome  Outcome       `json:"outcome"` // Done or Ambiguous
	Call     time.Duration `json:"call"`
	Return   time.Duration `json:"return"`
}

// CheckMapNumbers reports map numbers under which two different maps were seen or written, and writes whose
// number is not larger than that of a write that had returned before.
func CheckMapNumbers(observations []MapObservation, writes []MapWrite) []Violation {
	var violations []Violation
	first := map[int64]MapObservation{}
	ordered := slices.Clone(observations)
	for _, write := range writes {
		if write.Outcome == Done {
			ordered = append(ordered, MapObservation{At: write.Return, Observer: write.Writer, Number: write.Number,
				Checksum: write.Checksum})
		}
	}
	slices.SortStableFunc(ordered, func(a, b MapObservation) int { return cmp.Compare(a.At, b.At) })
	reported := map[int64]bool{}
	for _, observation := range ordered {
		firstSeen, ok := first[observation.Number]
		switch {
		case !ok:
			first[observation.Number] = observation
		case firstSeen.Checksum != observation.Checksum && !reported[observation.Number]:
			reported[observation.Number] = true
			violations = append(violations,
				Violation{RuleUniqueMaps,
					fmt.Sprintf("map number %d has checksum %x at %v (%s), and checksum %x at %v (%s)", observation.Number,
						firstSeen.Checksum, firstSeen.At, firstSeen.Observer, observation.Checksum, observation.At,
						observation.Observer)})
		}
	}
	for _, earlier := range writes {
		for _, later := range writes {
			if earlier.Outcome == Done && later.Outcome == Done && earlier.Return < later.Call && later.Number <= earlier.Number {
				violations = append(violations,
					Violation{RuleUniqueMaps,
						fmt.Sprintf("%s wrote map number %d at %v, after %s had written number %d at %v", later.Writer,
							later.Number, later.Return, earlier.Writer, earlier.Number, earlier.Return)})
			}
		}
	}
	return violations
}

// PublishedMap is a map that a controller wrote or may have written.
type PublishedMap struct {
	Number       int64
	Checksum     uint64                `json:"Sum"`   // of the encoded map
	WrittenAfter time.Duration         `json:"Asked"` // no process can have the map before this time
	CommittedBy  time.Duration         `json:"Known"` // the directory had the map by this time at the latest; never: not known
	Owned        map[int]ownership.Set // partitions by node; a node that is missing owns nothing
}

// Disturbance is a time in which a node can't be held to the time limits, because of a fault or because the
// machine held up the trial. Node -1 stands for all nodes.
type Disturbance struct {
	Node   int           `json:"node"`
	From   time.Duration `json:"from"`
	Until  time.Duration `json:"until"`
	Reason string        `json:"why"`
}

func (d Disturbance) affects(node int) bool { return d.Node == node || d.Node < 0 }

// undisturbedSince returns the end of a node's last disturbance before a time (0: there was none), or false if the
// time is in a disturbance.
func undisturbedSince(disturbances []Disturbance, node int, at time.Duration) (time.Duration, bool) {
	lastEnd := time.Duration(0)
	for _, disturbance := range disturbances {
		if !disturbance.affects(node) || disturbance.From > at {
			continue
		}
		if disturbance.Until >= at {
			return 0, false
		}
		lastEnd = max(lastEnd, disturbance.Until)
	}
	return lastEnd, true
}

// Submission is a message that was submitted to a node, with the node's answer.
type Submission struct {
	Node        int           `json:"node"`
	Destination int           `json:"dest"`
	ID          string        `json:"id"`
	AtMostOnce  bool          `json:"unsafe,omitempty"`
	Repeat      bool          `json:"again,omitempty"` // the node had accepted the same message before
	Deadline    time.Duration `json:"by"`              // of the message
	Call        time.Duration `json:"call"`
	Return      time.Duration `json:"return"`
	Answer      string        `json:"state"` // one of the answers of package history
	RetryAfter  time.Duration `json:"wait,omitempty"`
	Reason      string        `json:"why,omitempty"` // only of history.Failed
}

// acceptsNew tells whether the node accepted a message that it did not have before.
func (s Submission) acceptsNew() bool { return s.Answer == history.Taken && !s.Repeat }

// String describes the submission of a message that the node accepted.
func (s Submission) String() string {
	return fmt.Sprintf("node %d accepted %s for destination %d (partition %d) at %v", s.Node, s.ID, s.Destination,
		ownership.PartitionOf(s.Destination), s.Return)
}

// CheckAccepts reports messages that a node accepted although its map can't have allowed it.
//
// A node must go through the maps in the order of their numbers. For each node the check keeps the lowest map
// number that it can have reached, judged by the messages that it accepted so far. RuleForwardOnly is broken if
// no map from that number on assigns the message's partition to the node. RuleTimelyRelease is broken if each
// map that does is older than one that the directory had, and that the node could fetch undisturbed, for longer
// than limit.
//
// longest is the longest time for which a node still accepted messages for a partition that it had lost,
// counted from the map by which it lost the partition or from the end of its last disturbance.
func CheckAccepts(
	published []PublishedMap, submissions []Submission, disturbances []Disturbance, limit time.Duration,
) (violations []Violation, longest time.Duration) {
	published = slices.SortedStableFunc(slices.Values(published),
		func(a, b PublishedMap) int { return cmp.Compare(a.Number, b.Number) })
	submissions = slices.SortedStableFunc(slices.Values(submissions),
		func(a, b Submission) int { return cmp.Compare(a.Return, b.Return) })
	lowestNumber := map[int]int64{} // by node: the lowest map number that it can have reached
	for _, submission := range submissions {
		if !submission.acceptsNew() {
			continue
		}
		partition := ownership.PartitionOf(submission.Destination)
		required := int64(0) // number of the newest map that the node must have
		since, undisturbed := undisturbedSince(disturbances, submission.Node, submission.Call)
		newest := int64(0) // number of the newest map that assigns the partition to the node
		for _, m := range published {
			if undisturbed && m.CommittedBy != never && max(m.CommittedBy, since)+limit < submission.Call {
				required = max(required, m.Number)
			}
			if m.WrittenAfter <= submission.Return && m.Owned[submission.Node].Has(partition) {
				newest = m.Number
			}
		}
		reached := int64(0) // number of the oldest such map from lowestNumber on
		for _, m := range published {
			if m.Number >= lowestNumber[submission.Node] && m.WrittenAfter <= submission.Return && m.Owned[submission.Node].Has(partition) {
				reached = m.Number
				break
			}
		}
		switch {
		case newest < required:
			violations = append(violations,
				Violation{RuleTimelyRelease,
					fmt.Sprintf("%v, more than %v after it could fetch map %d, by which it does not own the partition",
						submission, limit, required)})
		case reached == 0:
			violations = append(violations,
				Violation{RuleForwardOnly,
					fmt.Sprintf("%v; no map from number %d on assigns the partition to it, and after what it accepted before it can't have an older one",
						submission, lowestNumber[submission.Node])})
		default:
			lowestNumber[submission.Node] = reached
		}
		for _, m := range published { // measured from the first map after the newest one that assigns the partition to the node
			if m.Number > newest && m.CommittedBy != never {
				if undisturbed {
					longest = max(longest, submission.Return-max(m.CommittedBy, since))
				}
				break
			}
		}
	}
	return violations, longest
}

// WatchRequest is a watch of the list that a node requested, recorded by the front (the proxy between the node
// and a replica).
type WatchRequest struct {
	Node          int           `json:"node"`
	Replica       int           `json:"replica"`
	At            time.Duration `json:"at"`
	AllPartitions bool          `json:"whole,omitempty"` // the request named no partitions
	Partitions    ownership.Set `json:"-"`
	OlderBuild    bool          `json:"older,omitempty"`         // an older build answered, which does not know partitions
	After         int64         `json:"after"`                   // revision from which the node resumes; 0: it needs the whole list
	AskedHistory  int64         `json:"asked_history,omitempty"` // history of After
	History       int64         `json:"history"`                 // of the answer
	Lines         []WatchLine   `json:"lines"`
}

// WatchLine is a non-empty line of a watch.
type WatchLine struct {
	At time.Duration `json:"at"`
	catalog.List
}

// CheckWatchRequests reports watch requests whose partitions match no map, or only maps older than the one that
// the node had reached. The partitions must include all that the node owns by its map, and none that it never
// owned. A node that owns nothing, or has no map yet, requests any single partition in order to learn of new
// maps. A request for an older map that arrives within slack after one for a newer map is no violation: the two
// may have crossed on their way.
func CheckWatchRequests(published []PublishedMap, requests []WatchRequest, slack time.Duration) []Violation {
	published = slices.SortedStableFunc(slices.Values(published),
		func(a, b PublishedMap) int { return cmp.Compare(a.Number, b.Number) })
	requests = slices.SortedStableFunc(slices.Values(requests), func(a, b WatchRequest) int { return cmp.Compare(a.At, b.At) })
	type position struct {
		number int64
		at     time.Duration
	}
	var violations []Violation
	reached := map[int]position{}
	for _, request := range requests {
		if request.AllPartitions {
			violations = append(violations,
				Violation{RuleFilteredLists,
					fmt.Sprintf("node %d requested the list of all partitions at %v", request.Node, request.At)})
			continue
		}
		previous := reached[request.Node]
		// findMap returns the lowest map number from minNumber on that the request matches; 0 stands for no map.
		findMap := func(minNumber int64) (int64, bool) {
			if minNumber == 0 && request.Partitions.Len() == 1 { // the node may have no map yet
				return 0, true
			}
			var everOwned ownership.Set
			for _, m := range published {
				if m.WrittenAfter > request.At {
					continue
				}
				everOwned = everOwned.Union(m.Owned[request.Node])
				owned := m.Owned[request.Node]
				ownsNothing := owned.Len() == 0 && request.Partitions.Len() == 1
				if m.Number >= minNumber && owned.Without(request.Partitions).Len() == 0 &&
					(ownsNothing || request.Partitions.Without(everOwned).Len() == 0) {
					return m.Number, true
				}
			}
			return 0, false
		}
		number, ok := findMap(previous.number)
		olderNumber, fitsAny := findMap(0)
		switch {
		case ok && number > previous.number:
			reached[request.Node] = position{number, request.At}
		case ok:
		case !fitsAny:
			violations = append(violations,
				Violation{RuleForwardOnly,
					fmt.Sprintf("node %d requested %s at %v, which match none of the maps", request.Node,
						summarize(request.Partitions), request.At)})
		case request.At > previous.at+slack:
			violations = append(violations,
				Violation{RuleForwardOnly,
					fmt.Sprintf("node %d requested %s at %v, which are those of map %d, after it had requested those of map %d at %v",
						request.Node, summarize(request.Partitions), request.At, olderNumber, previous.number, previous.at)})
		}
	}
	return violations
}

// summarize returns the number of partitions in a set and the beginning of their list.
func summarize(s ownership.Set) string {
	text := s.String()
	if len(text) > 40 {
		text = text[:40] + "…"
	}
	return fmt.Sprintf("%d partitions (%s)", s.Len(), text)
}

// historySnapshots holds the list of a history at each of its revisions.
type historySnapshots struct {
	firstRevision int64
	lists         []map[string]catalog.Endpoint // by revision minus firstRevision; endpoints by ID
}

func (h CommittedHistory) snapshots() historySnapshots {
	current := endpointsByID(h.Initial)
	s := historySnapshots{h.Initial.Revision, []map[string]catalog.Endpoint{maps.Clone(current)}}
	for _, change := range h.Changes {
		applyChanges(current, change.Members)
		s.lists = append(s.lists, maps.Clone(current))
	}
	return s
}

// filtered returns the endpoints of a revision's list that are in a set of partitions, or false if the history
// does not have the revision.
func (s historySnapshots) filtered(revision int64, partitions ownership.Set) (map[string]catalog.Endpoint, bool) {
	if n := revision - s.firstRevision; n < 0 || n >= int64(len(s.lists)) {
		return nil, false
	}
	endpoints := map[string]catalog.Endpoint{}
	for id, endpoint := range s.lists[revision-s.firstRevision] {
		if partitions.Has(ownership.PartitionOf(endpoint.Cell)) {
			endpoints[id] = endpoint
		}
	}
	return endpoints, true
}

// CheckFilteredWatches applies the lines of each watch in order, and reports those after which the node does not
// have the list of the requested partitions at the line's revision. histories is keyed by history number.
func CheckFilteredWatches(histories map[int64]CommittedHistory, requests []WatchRequest) []Violation {
	snapshotsOf := map[int64]historySnapshots{}
	for number, committed := range histories {
		snapshotsOf[number] = committed.snapshots()
	}
	type position struct{ history, revision int64 }
	delivered := map[int]position{} // by node: the newest position that it was sent
	var violations []Violation
	for _, request := range slices.SortedStableFunc(slices.Values(requests),
		func(a, b WatchRequest) int { return cmp.Compare(a.At, b.At) }) {
		if request.AllPartitions || request.OlderBuild || len(request.Lines) == 0 {
			continue
		}
		report := func(format string, args ...any) {
			violations = append(violations,
				Violation{RuleFilteredLists,
					fmt.Sprintf("node %d, watch requested at %v from replica %d for %s: ", request.Node, request.At,
						request.Replica, summarize(request.Partitions)) + fmt.Sprintf(format, args...)})
		}
		snapshots, ok := snapshotsOf[request.History]
		if !ok {
			report("history %d does not exist", request.History)
			continue
		}
		actual := map[string]catalog.Endpoint{}
		complete := false
		revision, mapNumber := int64(-1), int64(0)
		if last := delivered[request.Node]; request.After > 0 {
			// The node resumes, so it has what it was sent before.
			if request.AskedHistory > last.history || request.AskedHistory == last.history && request.After > last.revision {
				report("it resumes from revision %d of history %d, but was sent no more than revision %d of history %d",
					request.After, request.AskedHistory, last.revision, last.history)
				continue
			}
			if request.AskedHistory == request.History {
				actual, complete = snapshots.filtered(request.After, request.Partitions)
				revision = request.After
			}
		}
		for i, line := range request.Lines {
			if line.Revision < revision || line.Map < mapNumber {
				report("line %d has revision %d and map %d, after %d and %d", i, line.Revision, line.Map, revision, mapNumber)
				break
			}
			revision, mapNumber = line.Revision, line.Map
			if line.Complete {
				actual, complete = map[string]catalog.Endpoint{}, true
			}
			if !complete {
				report("line %d has changes, but the complete list was never sent", i)
				break
			}
			applyChanges(actual, line.Members)
			expected, ok := snapshots.filtered(revision, request.Partitions)
			if !ok {
				report("line %d has revision %d, which the history does not have", i, revision)
				break
			}
			if !maps.Equal(actual, expected) {
				report("line %d, revision %d: the lines so far give %s", i, revision, describeDifference(actual, expected))
				break
			}
			if last := delivered[request.Node]; request.History > last.history || request.History == last.history &&
				revision > last.revision {
				delivered[request.Node] = position{request.History, revision}
			}
		}
	}
	return violations
}

// describeDifference describes how the actual list differs from the expected one.
func describeDifference(actual, expected map[string]catalog.Endpoint) string {
	var missing, extra, different []string
	for id, endpoint := range expected {
		if got, ok := actual[id]; !ok {
			missing = append(missing, id)
		} else if got != endpoint {
			different = append(different, id)
		}
	}
	for id := range actual {
		if _, ok := expected[id]; !ok {
			extra = append(extra, id)
		}
	}
	slices.Sort(missing)
	slices.Sort(extra)
	slices.Sort(different)
	return fmt.Sprintf("%d of %d endpoints: missing %v, unexpected %v, different %v", len(actual), len(expected), missing,
		extra, different)
}

// CheckConverged reports the answers of a pass over all nodes and destinations, after the faults and with the
// last map at all nodes, in which an owner did not accept or another node did not refuse with a retry-after.
// isListed tells which destinations were ever on the list; an owner fails messages for the others as unknown.
func CheckConverged(lastMap PublishedMap, nodes int, destinations []int, isListed func(int) bool, submissions []Submission) []Violation {
	type pair struct{ node, destination int }
	answers := map[pair]Submission{}
	for _, submission := range submissions {
		answers[pair{submission.Node, submission.Destination}] = submission
	}
	var violations []Violation
	for node := range nodes {
		for _, destination := range destinations {
			submission, ok := answers[pair{node, destination}]
			submission.Node, submission.Destination = node, destination
			if !ok || !submission.isCorrect(lastMap, isListed(destination)) {
				violations = append(violations,
					Violation{RuleOwnersOnly, fmt.Sprintf("node %d, destination %d (owner by map %d: %v, listed: %v): answer %s, retry-after %v, reason %q",
						node, destination, lastMap.Number, lastMap.Owned[node].Has(ownership.PartitionOf(destination)),
						isListed(destination), cmp.Or(submission.Answer, "no answer recorded"), submission.RetryAfter,
						submission.Reason)})
			}
		}
	}
	return violations
}

// isCorrect tells whether the answer is the one that the node must give by a map and the list.
func (s Submission) isCorrect(m PublishedMap, listed bool) bool {
	switch owns := m.Owned[s.Node].Has(ownership.PartitionOf(s.Destination)); {
	case owns && listed:
		return s.Answer == history.Taken
	case owns:
		return s.Answer == history.Failed && s.Reason == unknownDestination
	}
	return s.Answer == history.Refused && s.RetryAfter > 0
}

// unknownDestination is the reason that a node gives for a destination that it does not know.
const unknownDestination = "unknown destination"

// MessageEnd is an event near the end of a message: its run at a partner, the partner's answer, or a notice. The
// answer and the notice end the message; the run alone does not.
type MessageEnd struct {
	ID   string        `json:"id"`
	At   time.Duration `json:"at"`
	Kind string        `json:"kind"`
}

// The kinds of MessageEnd.
const (
	RanAtPartner      = "ran"      // a partner received the message
	AnsweredByPartner = "answered" // the partner answered the node
	NoticeFailed      = "failed"   // the node reported in a notice that the message failed
	NoticeReturned    = "returned" // the node returned the message in a notice
)

// CountPending counts the messages that were accepted and have not ended.
func CountPending(submissions []Submission, ends []MessageEnd) int {
	ended := map[string]bool{}
	for _, end := range ends {
		ended[end.ID] = ended[end.ID] || end.Kind != RanAtPartner
	}
	count := 0
	for _, submission := range submissions {
		if submission.acceptsNew() && !ended[submission.ID] {
			count++
		}
	}
	return count
}

// CountEndedAfterLoss counts the messages that ended after a map had taken their partition from the node that
// accepted them.
func CountEndedAfterLoss(published []PublishedMap, submissions []Submission, ends []MessageEnd) int {
	endedAt := map[string]time.Duration{}
	for _, end := range ends {
		if end.Kind != RanAtPartner {
			endedAt[end.ID] = max(endedAt[end.ID], end.At)
		}
	}
	count := 0
	for _, submission := range submissions {
		lost := func(m PublishedMap) bool {
			return m.CommittedBy > submission.Return && m.CommittedBy < endedAt[submission.ID] &&
				!m.Owned[submission.Node].Has(ownership.PartitionOf(submission.Destination))
		}
		if submission.acceptsNew() && slices.ContainsFunc(published, lost) {
			count++
		}
	}
	return count
}

// CheckEnds reports accepted messages that did not end within slack after their deadline, and at-most-once
// messages that ran more than once, or ran and were returned. If the node was disturbed meanwhile, the message
// may end up to slack after the disturbance. A message without an end is reported only if the end was due before
// checkedAt.
func CheckEnds(submissions []Submission, ends []MessageEnd, disturbances []Disturbance, slack, checkedAt time.Duration) []Violation {
	endsByID := map[string][]MessageEnd{}
	for _, end := range ends {
		endsByID[end.ID] = append(endsByID[end.ID], end)
	}
	disturbances = slices.SortedFunc(slices.Values(disturbances), func(a, b Disturbance) int { return cmp.Compare(a.From, b.From) })
	var violations []Violation
	for _, submission := range submissions {
		runs, returned, endedAt := 0, false, never
		for _, end := range endsByID[submission.ID] {
			switch end.Kind {
			case RanAtPartner:
				runs++
				continue
			case NoticeReturned:
				returned = true
			}
			endedAt = min(endedAt, end.At)
		}
		if submission.AtMostOnce && (runs > 1 || runs > 0 && returned) {
			violations = append(violations,
				Violation{RuleMessagesEnd,
					fmt.Sprintf("%s at node %d must run at most once, and not at all if returned; it ran %d times, returned: %v", submission.ID,
						submission.Node, runs, returned)})
		}
		if !submission.acceptsNew() {
			continue
		}
		due := submission.Deadline + slack
		for _, disturbance := range disturbances {
			if disturbance.affects(submission.Node) && disturbance.From <= due && disturbance.Until > submission.Call {
				due = max(due, disturbance.Until+slack)
			}
		}
		switch {
		case endedAt <= due:
		case endedAt != never:
			violations = append(violations,
				Violation{RuleMessagesEnd,
					fmt.Sprintf("%s, accepted by node %d at %v, ended at %v and was due by %v", submission.ID, submission.Node,
						submission.Return, endedAt, due)})
		case due < checkedAt:
			violations = append(violations,
				Violation{RuleMessagesEnd,
					fmt.Sprintf("%s, accepted by node %d at %v, has no end; it was due by %v", submission.ID, submission.Node,
						submission.Return, due)})
		}
	}
	return violations
}

// CheckAnswers reports answers that a node must never give: a failure of a new message, unless it says that the
// destination is unknown and the destination was not always on the list; and a refusal or failure of the repeat
// of a message that the node had accepted and that has not ended.
func CheckAnswers(submissions []Submission, ends []MessageEnd, alwaysListed func(destination int) bool) []Violation {
	endedAt := map[string]time.Duration{}
	for _, end := range ends {
		if at, ok := endedAt[end.ID]; end.Kind != RanAtPartner && (!ok || end.At < at) {
			endedAt[end.ID] = end.At
		}
	}
	var violations []Violation
	for _, submission := range submissions {
		refusedOrFailed := submission.Answer == history.Failed || submission.Answer == history.Refused
		if submission.Answer == history.Failed && !submission.Repeat &&
			(alwaysListed(submission.Destination) || submission.Reason != unknownDestination) {
			violations = append(violations,
				Violation{RuleAnswers, fmt.Sprintf("node %d failed a message for destination %d at %v: %s", submission.Node,
					submission.Destination, submission.Return, submission.Reason)})
		}
		if at, ended := endedAt[submission.ID]; submission.Repeat && refusedOrFailed && (!ended || at > submission.Return) {
			violations = append(violations,
				Violation{RuleAnswers, fmt.Sprintf("node %d had accepted %s, which had not ended, and did not accept its repeat at %v: answer %s, retry-after %v, reason %q", submission.Node, submission.ID, submission.Return, submission.Answer, submission.RetryAfter, submission.Reason)})
		}
	}
	return violations
}
