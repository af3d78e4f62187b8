package scale

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"starlingusher/fleet/capacity"
)

func TestMergeSlopes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "capacity", "slopes.toml")
	res := &Result{Fits: []Fit{
		{ID: "b", Slope: &capacity.Slope{ID: "b", Description: "bytes", XUnit: "thing", Unit: "B", Form: Linear, Intercept: 1234, LinearCoef: 910, StdErr: 35, From: 1000, To: 380000, Points: 5, Repeats: 3, MaxResidual: 0.06, Commit: "8af6f88"}},
		{ID: "none"},
	}}
	if err := res.MergeSlopes(path, "docs/scale/one.json"); err != nil {
		t.Fatal(err)
	}
	other := &Result{Fits: []Fit{{ID: "a", Slope: &capacity.Slope{ID: "a", Description: "a", XUnit: "thing", Unit: "B", Form: Constant, From: 1, To: 2, Points: 1, Repeats: 1, Commit: "c0ffee"}}, {ID: "c", Slope: &capacity.Slope{ID: "c", Description: "c", XUnit: "thing", Unit: "B", Form: Constant, From: 1, To: 2, Points: 1, Repeats: 1, Commit: "c0ffee"}}}}
	if err := other.MergeSlopes(path, "docs/scale/two.json"); err != nil {
		t.Fatal(err)
	}
	res.Fits[0].Slope.LinearCoef = 911
	if err := res.MergeSlopes(path, "docs/scale/one.json"); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	text := string(raw)
	a, b, c := strings.Index(text, "id = 'a'"), strings.Index(text, "id = 'b'"), strings.Index(text, "id = 'c'")
	if a < 0 || b < a || c < b || strings.Count(text, "[[slope]]") != 3 {
		t.Errorf("not every slope once and in order:\n%s", text)
	}
	for _, want := range []string{"at0 = 1234.0\n", "slope = 911.0\n", "run = 'docs/scale/one.json'\n", "run = 'docs/scale/two.json'\n", "worst = 0.06\n"} {
		if !strings.Contains(text, want) {
			t.Errorf("no %q in\n%s", want, text)
		}
	}
	if strings.Contains(text, "910") || strings.Contains(text, "none") {
		t.Errorf("unexpected text in\n%s", text)
	}
	if in, err := os.ReadDir(filepath.Dir(path)); err != nil || len(in) != 1 {
		t.Errorf("files in the folder: %v, %v", in, err)
	}
	// A file that can't be parsed is left unchanged.
	if err := os.WriteFile(path, []byte("[[slope]]\nid = \"a\"\nsteep = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := res.MergeSlopes(path, "x"); err == nil || !strings.Contains(err.Error(), "line 3") || !strings.Contains(err.Error(), "steep") {
		t.Errorf("got %v", err)
	}
}
