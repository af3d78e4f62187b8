package play

import (
	"encoding/json"
	"reflect"
	"testing"

	"starlingusher/internal/golden"
)

// TestFormats pins the JSON between a run and the process of a play, and that of the list of axes.
func TestFormats(t *testing.T) {
	for name, types := range map[string][2]any{
		"spec.json":    {new(Spec), new(Spec)},
		"reading.json": {new(Reading), new(Reading)},
		"measure.json": {new(Measure), new(Measure)},
		"setting.json": {new(Setting), new(Setting)},
	} {
		want, got := types[0], types[1]
		golden.Fill(want)
		encoded, err := json.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(golden.Check(t, name, encoded), got); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: decoded %+v, want %+v", name, got, want)
		}
	}
}

func TestLimitNotePrefix(t *testing.T) {
	var r Reading
	r.AddLimit("a cap of %d", 19)
	if want := []string{"end: a cap of 19"}; !reflect.DeepEqual(r.Notes, want) {
		t.Errorf("notes %q, want %q", r.Notes, want)
	}
}
