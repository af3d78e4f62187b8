package tally

import (
	"encoding/json"
	"reflect"
	"testing"

	"starlingusher/internal/golden"
)

func TestReportFormat(t *testing.T) {
	var report, got Report
	golden.Fill(&report)
	raw, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(golden.Check(t, "report.json", raw), &got); err != nil || !reflect.DeepEqual(got, report) {
		t.Errorf("decoded report %+v differs from %+v: %v", got, report, err)
	}
}
