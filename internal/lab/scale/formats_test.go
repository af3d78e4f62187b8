package scale

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"starlingusher/internal/golden"
)

// TestPointsFileFormat pins the file that a run is resumed from: its header line and one line for each
// play.
func TestPointsFileFormat(t *testing.T) {
	var header runHeader
	var record Record
	golden.Fill(&header)
	golden.Fill(&record)
	dir := t.TempDir()
	s, err := createStore(dir, header)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.appendLine(record); err != nil {
		t.Fatal(err)
	}
	if err := s.close(); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "points.jsonl")
	encoded, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, golden.Check(t, "points.jsonl", encoded), 0o600); err != nil {
		t.Fatal(err)
	}
	s, gotHeader, gotRecords, err := resumeStore(dir, header)
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	if !reflect.DeepEqual(gotHeader, header) || !reflect.DeepEqual(gotRecords, []Record{record}) {
		t.Errorf("decoded %+v and %+v, want %+v and %+v", gotHeader, gotRecords, header, record)
	}
}

// TestResultFormat pins the JSON of a Result, the table that a run writes.
func TestResultFormat(t *testing.T) {
	var want, got Result
	golden.Fill(&want)
	encoded, err := json.MarshalIndent(want, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(golden.Check(t, "result.json", encoded), &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, want %+v", got, want)
	}
}
