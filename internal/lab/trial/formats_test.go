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
	var want, got Size
	golden.Fill(&want)
	dir := t.TempDir()
	if err := want.Write(dir); err != nil {
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
		Ops   []Op            `json:"ops"`
		Told  [][]Told        `json:"told"`
		Truth map[int64]Truth `json:"truth"`
		Held  []Held          `json:"held"`
	}
	checkJSON(t, "seen.json", func(s *seenByTrial) {
		for _, t := range s.Truth {
			for i := range t.Changes {
				t.Changes[i].Moved = nil
			}
		}
	})

	type seenByOwnershipTrial struct {
		Sights    []MapSight  `json:"sights"`
		Writes    []MapWrite  `json:"writes"`
		Eras      []Era       `json:"eras"`
		Handed    []Handed    `json:"handed"`
		Asks      []Ask       `json:"asks"`
		Ends      []End       `json:"ends"`
		Disturbed []Disturbed `json:"disturbed"`
	}
	checkJSON(t, "ownership-seen.json", func(s *seenByOwnershipTrial) {
		for i := range s.Asks {
			s.Asks[i].Partitions = [len(s.Asks[i].Partitions)]uint64{}
		}
	})
}

// The names that settings, flags, results and reports have.
func TestNames(t *testing.T) {
	var faultNames, ownFaultNames []string
	for _, f := range faults {
		faultNames = append(faultNames, f.name)
	}
	for _, f := range ownFaults {
		ownFaultNames = append(ownFaultNames, f.name)
	}
	raw, err := json.MarshalIndent(map[string]any{
		"faults":           faultNames,
		"ownership faults": ownFaultNames,
		"boundaries":       boundaries,
		"breaches":         Breaches,
		"rules":            []OwnershipRule{OneMap, Forward, InTime, OwnersOnly, Listed, Answers, Ended, Returns},
		"kinds":            []Kind{Read, Put, Swap},
		"outcomes":         []Outcome{Done, Conflict, Unknown},
		"ends":             []string{RanThere, AnsweredOK, NoticeFail, NoticeBack},
		"classes":          classNames,
		"unknown":          unknownDest,
		"nodes":            nodeName(3),
		"record":           leaseRec,
		"map path":         mapPath,
		"headers":          []string{headerPartitions, headerMap},
	}, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "names.json", raw)
}
