package trial

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"starlingusher/internal/golden"
)

// checkJSON fills a value of a type, compares its JSON with a golden file, and decodes that file. clearUnwritten
// empties the fields that have no place in the JSON.
func checkJSON[T any](t *testing.T, file string, clearUnwritten func(*T)) {
	t.Helper()
	var want, got T
	golden.Fill(&want)
	if clearUnwritten != nil {
		clearUnwritten(&want)
	}
	raw, err := json.MarshalIndent(want, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(golden.Check(t, file, raw), &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s: decoded %+v differs from %+v: %v", file, got, want, err)
	}
}

func TestResultFormats(t *testing.T) {
	checkJSON[Result](t, "result.json", nil)
	checkJSON[OwnershipResult](t, "ownership-result.json", nil)
}

func TestSizeFormat(t *testing.T) {
	var want, got Measurements
	golden.Fill(&want)
	dir := t.TempDir()
	if err := want.Save(dir); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(filepath.Join(dir, "size.json"))
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(golden.Check(t, "size.json", raw), &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v differs from %+v: %v", got, want, err)
	}
}

// The values of seen.json, under the keys that it has in each of the two kinds of trials.
func TestSeenFormats(t *testing.T) {
	type seenByTrial struct {
		Ops   []Operation                `json:"ops"`
		Told  [][]WatcherUpdate          `json:"told"`
		Truth map[int64]CommittedHistory `json:"truth"`
		Held  []LeaseHolding             `json:"held"`
	}
	checkJSON(t, "seen.json", func(s *seenByTrial) {
		for _, t := range s.Truth {
			for i := range t.Changes {
				t.Changes[i].Moved = nil
			}
		}
	})

	type seenByOwnershipTrial struct {
		Sights    []MapObservation `json:"sights"`
		Writes    []MapWrite       `json:"writes"`
		Eras      []PublishedMap   `json:"eras"`
		Handed    []Submission     `json:"handed"`
		Asks      []WatchRequest   `json:"asks"`
		Ends      []MessageEnd     `json:"ends"`
		Disturbed []Disturbance    `json:"disturbed"`
	}
	checkJSON(t, "ownership-seen.json", func(s *seenByOwnershipTrial) {
		for i := range s.Asks {
			s.Asks[i].Partitions = [len(s.Asks[i].Partitions)]uint64{}
		}
	})
}

// The names that settings, flags, results and reports have.
func TestNames(t *testing.T) {
	var faultNames, ownershipFaultNames []string
	for _, f := range faults {
		faultNames = append(faultNames, f.name)
	}
	for _, f := range ownershipFaults {
		ownershipFaultNames = append(ownershipFaultNames, f.name)
	}
	raw, err := json.MarshalIndent(map[string]any{
		"faults":           faultNames,
		"ownership faults": ownershipFaultNames,
		"boundaries":       interruptions,
		"breaches":         InjectedViolations,
		"rules": []OwnershipRule{RuleUniqueMaps, RuleForwardOnly, RuleTimelyRelease, RuleOwnersOnly, RuleFilteredLists, RuleAnswers,
			RuleMessagesEnd, RuleRecovery},
		"kinds":    []OperationKind{Read, Put, CompareAndSwap},
		"outcomes": []Outcome{Done, Conflict, Ambiguous},
		"ends":     []string{RanAtPartner, AnsweredByPartner, NoticeFailed, NoticeReturned},
		"classes":  classNames,
		"unknown":  unknownDestination,
		"nodes":    nodeName(3),
		"record":   leaseRecord,
		"map path": mapPath,
		"headers":  []string{headerPartitions, headerMap},
	}, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "names.json", raw)
}
