package capacity

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"starlingusher/fleet/tomlfile"
	"starlingusher/internal/golden"
)

func TestTargetFormat(t *testing.T) {
	var target, got Target
	golden.Fill(&target)
	raw, err := toml.Marshal(target)
	if err != nil {
		t.Fatal(err)
	}
	text := golden.Check(t, "target.toml", raw)
	if err := tomlfile.Decode(text, &got, unknownSetting); err != nil || !reflect.DeepEqual(got, target) {
		t.Errorf("decoded target %+v differs from %+v: %v", got, target, err)
	}
}

func TestSlopesFormat(t *testing.T) {
	all := make([]Slope, 1)
	golden.Fill(&all[0])
	raw, err := FormatSlopes(all)
	if err != nil {
		t.Fatal(err)
	}
	var got slopeFile
	if err := tomlfile.Decode(golden.Check(t, "slopes.toml", raw), &got, unknownSetting); err != nil || !reflect.DeepEqual(got.Slopes, all) {
		t.Errorf("decoded slopes %+v differ from %+v: %v", got.Slopes, all, err)
	}
}

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

func TestNames(t *testing.T) {
	var b bytes.Buffer
	for _, w := range rows {
		fmt.Fprintf(&b, "row %s: %s, %s, by %s\n", w.id, w.role, w.kind, w.axis)
	}
	for _, id := range slices.Sorted(maps.Keys(units)) {
		fmt.Fprintf(&b, "slope %s in %s\n", id, units[id])
	}
	fmt.Fprintln(&b, "units", []Unit{Bytes, BytesPerS, Seconds, Cores, Count, CountPerS})
	fmt.Fprintln(&b, "forms", []Form{Constant, Linear, Quadratic})
	fmt.Fprintln(&b, "known", []Source{Measured, Extrapolated, FromTarget, Missing, NoFigure})
	fmt.Fprintln(&b, "endings", []Cause{ByCap, ByMemory, ByProcessor, ByBytes, ByTime})
	golden.Check(t, "names.txt", b.Bytes())
}
