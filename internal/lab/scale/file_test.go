package scale

import (
	"strings"
	"testing"
	"time"

	"starlingusher/internal/lab/scale/play"
)

const goodFile = `name = "stub-small"
about = "A made-up axis."
axis = "stub"
points = [0, 1, 4.5, 20]
plays = 3
seed = 7
limit = "10s"

[set]
mode = 2

[[expect]]
id = "stub.bytes"
at = 4.5
least = 1
most = 1e6
`

func TestParse(t *testing.T) {
	f, err := Parse([]byte(goodFile), stubAxes)
	if err != nil {
		t.Fatal(err)
	}
	if f.Name != "stub-small" || f.Axis.Name != "stub" || len(f.Points) != 4 || f.Points[2] != 4.5 || f.Seed != 7 || f.PlayTimeout != 10*time.Second || len(f.Hash) != 64 {
		t.Errorf("parsed %+v", f)
	}
	if f.Settings["mode"] != 2 || f.Settings["step"] != 10 { // one given, one by default
		t.Errorf("settings %v", f.Settings)
	}
	if len(f.Expectations) != 1 || *f.Expectations[0].X != 4.5 || *f.Expectations[0].Max != 1e6 {
		t.Errorf("expectations %v", f.Expectations)
	}
	if f, err = Parse([]byte("name = \"a\"\naxis = \"stub\"\npoints = [1]\n"), stubAxes); err != nil || f.Plays != 3 || f.PlayTimeout != 2*time.Minute || f.Seed != 1 {
		t.Errorf("defaults: %+v, %v", f, err)
	}
}

// Each mistake is reported with its line and its name.
func TestParseErrors(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown name", "seed = 7", "seeds = 7", `line 6: unknown name "seeds"`},
		{"form", "seed = 7", `form = "linear"`, "line 6: the form of a slope can't be set"},
		{"unknown axis", `"stub"`, `"stab"`, `line 3: unknown axis "stab"; known axes: stub`},
		{"wrong type", "plays = 3", `plays = "3"`, "line 5: "},
		{"invalid TOML", "plays = 3", "plays = = 3", "line 5: "},
		{"no plays", "plays = 3", "plays = 0", "line 5: plays must be from 1"},
		{"falling points", "4.5, 20", "20, 4.5", "line 4: points must be 0 or more, each larger than the one before it; 4.5 is not"},
		{"negative point", "[0, 1", "[-1, 1", "line 4: points must be 0 or more"},
		{"no point", "points = [0, 1, 4.5, 20]", "points = []", "line 4: points must have from 1"},
		{"missing points", "points = [0, 1, 4.5, 20]", "", "points must have from 1"},
		{"no name", `name = "stub-small"`, "", "name must consist of small letters"},
		{"a path as a name", `"stub-small"`, `"../x"`, "line 1: name must consist of small letters"},
		{"seed", "seed = 7", "seed = 0", "line 6: seed must be 1 or more"},
		{"limit without unit", `"10s"`, `"10"`, "line 7: "},
		{"limit", `"10s"`, `"2h"`, "line 7: limit must be from 1s to 1h"},
		{"unknown setting", "mode = 2", "moods = 2", "line 10: moods: axis stub has no such setting; it has mode, step"},
		{"setting out of range", "mode = 2", "mode = 100", "line 10: mode: 100 is out of range, must be from 0 to 9"},
		{"expected figure", `"stub.bytes"`, `"stub.bites"`, `line 13: axis stub has no figure "stub.bites"`},
		{"expected time", `"stub.bytes"`, `"stub.step"`, "line 13: stub.step depends on the machine's speed"},
		{"expected point", "at = 4.5", "at = 5", "line 14: 5 is not a point"},
		{"no bound", "least = 1\nmost = 1e6", "", "line 12: a bound is missing"},
		{"crossed bounds", "least = 1\n", "least = 1e7\n", "line 15: least is more than most"},
		{"unknown bound", "least = 1", "at_least = 1", `line 15: unknown name "expect.at_least"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(goodFile, c.old, c.new, 1)
			if text == goodFile {
				t.Fatal("the mistake is not in the file")
			}
			if _, err := Parse([]byte(text), stubAxes); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
	// Several mistakes are reported together.
	_, err := Parse([]byte(strings.NewReplacer("plays = 3", "plays = 0", "mode = 2", "mode = 100").Replace(goodFile)), stubAxes)
	if err == nil || !strings.Contains(err.Error(), "line 5") || !strings.Contains(err.Error(), "line 10") {
		t.Errorf("got %v", err)
	}
}

func TestFillSettings(t *testing.T) {
	given := map[string]float64{"mode": 1}
	if _, err := stubAxes[0].FillSettings(given); err != nil || len(given) != 1 {
		t.Errorf("error %v; the given map is now %v", err, given)
	}
	if _, err := (play.Axis{Name: "bare"}).FillSettings(given); err == nil || !strings.Contains(err.Error(), "it has none") {
		t.Errorf("got %v", err)
	}
}
