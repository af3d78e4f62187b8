package burden

import (
	"encoding/json"
	"testing"

	"starlingusher/internal/golden"
	"starlingusher/internal/lab/scale/play"
)

// TestAxisFormats pins the names of axes, figures and settings, and the settings' ranges, but not the texts that describe them.
func TestAxisFormats(t *testing.T) {
	type axis struct {
		Name     string
		XUnit    string
		Measures []play.Measure
		Settings map[string]play.Setting
	}
	var all []axis
	for _, a := range Axes() {
		pinned := axis{a.Name, a.XUnit, nil, map[string]play.Setting{}}
		for _, m := range a.Measures {
			m.Description = ""
			pinned.Measures = append(pinned.Measures, m)
		}
		for name, s := range a.Settings {
			s.Description = ""
			pinned.Settings[name] = s
		}
		all = append(all, pinned)
	}
	encoded, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "axes.json", encoded)
}
