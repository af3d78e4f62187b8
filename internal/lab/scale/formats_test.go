package scale

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"starlingusher/internal/golden"
)

// TestPointsFileFormat pins the file that a run is resumed from: its first line and one line for each play.
func TestPointsFileFormat(t *testing.T) {
	var header runHeader
	var play Record
	golden.Fill(&header)
	golden.Fill(&play)
	dir := t.TempDir()
	s, err := createStore(dir, header)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.appendLine(play); err != nil {
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
	s, gotFirst, gotPlays, err := resumeStore(dir, header)
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	if !reflect.DeepEqual(gotFirst, header) || !reflect.DeepEqual(gotPlays, []Record{play}) {
		t.Errorf("decoded %+v and %+v, want %+v and %+v", gotFirst, gotPlays, header, play)
	}
}

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
