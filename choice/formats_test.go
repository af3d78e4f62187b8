package choice

import (
	"encoding/json"
	"reflect"
	"testing"

	"starlingusher/internal/golden"
)

// The successor in a handover may be another build: the state of a sender keeps its field names in JSON.
func TestFormatOfSaved(t *testing.T) {
	var saved, decoded Saved
	golden.Fill(&saved)
	checkFormat(t, "saved.json", saved, &decoded)
}

// A predecessor passes reports and outcomes on to its successor, outcomes as numbers.
func TestFormatOfReport(t *testing.T) {
	var report, decoded Report
	golden.Fill(&report)
	checkFormat(t, "report.json", report, &decoded)
}

func TestFormatOfNumbers(t *testing.T) {
	type numbers struct {
		Outcomes [8]Outcome
		Effects  []int
		Phases   []int
	}
	var decoded numbers
	checkFormat(t, "numbers.json", numbers{
		Outcomes: [8]Outcome{Success, ServerError, Rejected, TimedOut, Unreachable, ConnectionBroken, Canceled, Stale},
		Effects:  []int{int(Idempotent), int(Deduplicated), int(AtMostOnce)},
		Phases:   []int{int(Ready), int(Draining), int(Gone)},
	}, &decoded)
}

// checkFormat compares the JSON of value with the golden file, decodes the file into decoded and compares again.
func checkFormat(t *testing.T, file string, value, decoded any) {
	t.Helper()
	encoded, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(golden.Check(t, file, encoded), decoded); err != nil {
		t.Fatal(err)
	}
	if got := reflect.ValueOf(decoded).Elem().Interface(); !reflect.DeepEqual(got, value) {
		t.Errorf("decoded %+v, want %+v", got, value)
	}
}
