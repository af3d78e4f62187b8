package experiment

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"starlingusher/choice"
	"starlingusher/internal/wire"
)

const smallExperiment = `
name = "small"
length = "10s"
[load]
rate = "20..30"
clumps = 0.2
[[class]]
name = "notice"
share = 1
aim = "1s"
deadline = "3s"
worth = 2
effect = "safe"
[[class]]
name = "payout"
share = 1
aim = "1s"
deadline = "3s"
worth = 5
effect = "unsafe"
kinds = ["bulk"]
[[partner]]
kind = "bulk"
count = "1..3"
batch = "2..9"
[[partner]]
kind = "hook"
count = 2
[[fault]]
kind = "burst"
at = "2s..3s"
for = "1s"
size = 2
[[fault]]
kind = "restart"
at = "1s"
step = "2s"
[[fault]]
kind = "shut"
at = "1s..5s"
for = "1s..2s"
part = 0.3
`

func parse(t *testing.T, text string) File {
	t.Helper()
	f, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func TestSameSeedSamePlan(t *testing.T) {
	a, b, c := parse(t, smallExperiment).DrawPlan(7, 0), parse(t, smallExperiment).DrawPlan(7, 0), parse(t, smallExperiment).DrawPlan(8, 0)
	if !reflect.DeepEqual(a, b) {
		t.Error("one seed gave two plans")
	}
	if reflect.DeepEqual(a.Arrivals, c.Arrivals) || reflect.DeepEqual(a.Faults, c.Faults) {
		t.Error("two seeds gave the same arrivals or faults")
	}
}

// A change to one part of an experiment must not change what is drawn for the others.
func TestPartsAreDrawnIndependently(t *testing.T) {
	a := parse(t, smallExperiment).DrawPlan(7, 0)
	b := parse(t, smallExperiment+"[[fault]]\nkind = \"stop\"\nat = \"1s\"\nfor = \"1s\"\nshare = 0.5\n").DrawPlan(7, 0)
	if !reflect.DeepEqual(a.Arrivals, b.Arrivals) || !reflect.DeepEqual(a.Partners, b.Partners) {
		t.Error("another fault changed the arrivals or the partners")
	}
	more := parse(t, smallExperiment).DrawPlan(7, 9)
	if len(more.Nodes) != 9 || !reflect.DeepEqual(a.Partners, more.Partners) {
		t.Errorf("%d nodes; the partners changed with them: %v", len(more.Nodes), !reflect.DeepEqual(a.Partners, more.Partners))
	}
}

func TestDraw(t *testing.T) {
	for seed := range uint64(20) {
		p := parse(t, smallExperiment).DrawPlan(seed, 0)
		if !slices.IsSortedFunc(p.Arrivals, func(a, b Arrival) int { return int(a.At - b.At) }) {
			t.Fatal("arrivals are out of order")
		}
		if n := len(p.Arrivals); n < 120 || n > 600 {
			t.Errorf("seed %d: %d arrivals at 20 to 30 a second in 10 s", seed, n)
		}
		ids := map[string]bool{}
		for i, a := range p.Arrivals {
			kind := p.PartnerKinds[p.Partners[a.Dest].Kind]
			if p.Classes[a.Class].Name == "payout" && kind != "bulk" {
				t.Fatalf("seed %d: a payout for a partner of kind %s", seed, kind)
			}
			for try := range 3 {
				ids[p.MessageID(i+1, try)] = true
			}
		}
		if len(ids) != 3*len(p.Arrivals) {
			t.Errorf("seed %d: duplicate ids", seed)
		}
		sum := 0.0
		for _, q := range p.Partners {
			sum += q.Weight
			if err := q.Config.Check(); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
			if q.Config.MaxBatch != p.Partners[0].Config.MaxBatch && p.PartnerKinds[q.Kind] == "bulk" {
				t.Errorf("seed %d: one kind of partner has two batch sizes", seed)
			}
		}
		if sum < 0.999 || sum > 1.001 {
			t.Errorf("seed %d: the traffic of the partners sums to %v", seed, sum)
		}
		restarts := 0
		for _, x := range p.Faults {
			if x.Kind == "restart" {
				if want := time.Second + time.Duration(restarts)*2*time.Second; x.At != want || len(x.Nodes) != 1 {
					t.Errorf("restart %d at %v of %v", restarts, x.At, x.Nodes)
				}
				restarts++
			}
			if x.Kind == "shut" && len(x.Partners) == 0 {
				t.Error("a part of 0.3 selects no partner")
			}
		}
		if restarts != len(p.Nodes) {
			t.Errorf("%d restarts of %d nodes", restarts, len(p.Nodes))
		}
	}
}

// A node can parse the settings.
func TestSettingsParse(t *testing.T) {
	p := parse(t, smallExperiment).DrawPlan(1, 0)
	raw, err := p.Settings(1)
	if err != nil {
		t.Fatal(err)
	}
	s, err := wire.ParseSettings(raw)
	if err != nil {
		t.Fatal(err)
	}
	if s.FleetSize != 3 || s.Slots != p.Nodes[1].Slots || s.MaxAttempts != 6 || !s.MayProbe || s.DrainGrace != time.Second || !s.WeightIsRate {
		t.Errorf("got %+v", s)
	}
	if len(s.Classes) != 2 || s.Classes[1].Effect != choice.AtMostOnce || s.Classes[0].Worth != 2 || s.Classes[0].Deadline != 3*time.Second {
		t.Errorf("classes %+v", s.Classes)
	}
	if len(s.Kinds) != 2 || s.Kinds[0].MaxBatch != p.Partners[0].Config.MaxBatch {
		t.Errorf("kinds %+v", s.Kinds)
	}
	if !json.Valid(raw) {
		t.Error("not JSON")
	}
}

// Each error in a file is reported with its line.
func TestErrorsNameTheLine(t *testing.T) {
	for _, test := range []struct {
		name, change, to string
		line             int
		says             string
	}{
		{"an unknown name", "clumps = 0.2", "clumbs = 0.2", 6, "clumbs"},
		{"not a number", `rate = "20..30"`, `rate = "many"`, 5, "not a number"},
		{"a reversed range", `rate = "20..30"`, `rate = "30..20"`, 5, "ends reversed"},
		{"not a duration", `length = "10s"`, `length = "10"`, 3, "not a duration"},
		{"out of range", "clumps = 0.2", "clumps = 2", 6, "must be from 0 to 0.9"},
		{"an unknown effect", `effect = "unsafe"`, `effect = "none"`, 20, "effect must be"},
		{"an unknown kind of partner", `kinds = ["bulk"]`, `kinds = ["bulky"]`, 21, "bulky"},
		{"an unknown fault", `kind = "burst"`, `kind = "bursts"`, 30, "bursts"},
		{"a fault after the end", `at = "1s"`, `at = "11s"`, 36, "after the last message"},
		{"a fault without a size", "size = 2\n", "", 29, "needs a size"},
		{"a partner that does not exist", "part = 0.3", "partners = [9]", 42, "no partner 9"},
		{"nodes for a partner's fault", "part = 0.3", "nodes = [1]", 42, "does not target nodes"},
		{"invalid TOML", "[load]", "[load", 4, "expected"},
		{"an unknown kind of limit", "count = 2", "limit = \"some\"", 28, "limit must be"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if !strings.Contains(smallExperiment, test.change) {
				t.Fatal("the text to change is not in the experiment")
			}
			_, err := Parse([]byte(strings.Replace(smallExperiment, test.change, test.to, 1)))
			var e *Error
			if !errors.As(err, &e) {
				t.Fatalf("got %v", err)
			}
			if e.Line != test.line || !strings.Contains(err.Error(), test.says) {
				t.Errorf("got %q, want line %d and %q", err, test.line, test.says)
			}
		})
	}
	if _, err := Parse(nil); err == nil {
		t.Error("an empty text is accepted")
	}
}

// The experiments in the repository can be parsed and planned.
func TestExperiments(t *testing.T) {
	files, err := filepath.Glob("../../experiments/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no experiments found: %v", err)
	}
	for _, path := range files {
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		f := parse(t, string(raw))
		if want := strings.TrimSuffix(filepath.Base(path), ".toml"); f.Name != want || f.About == "" {
			t.Errorf("%s is named %q, about %q", path, f.Name, f.About)
		}
		for seed := range uint64(5) {
			if p := f.DrawPlan(seed, 0); len(p.Arrivals) == 0 {
				t.Errorf("%s, seed %d: no messages", path, seed)
			}
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(smallExperiment))
	f.Add([]byte("a = 1\n[b]\nc = [1, 2]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := Parse(text)
		if err != nil {
			return
		}
		if file.Fleet.Nodes.High > 50 || file.Load.Rate.High > 100 || file.Length.High > time.Minute || len(file.Partners) > 20 {
			return // the plan would take too long to draw
		}
		for _, p := range file.Partners {
			if p.Count.High > 20 || p.MinRate.High > 1000 || p.Headroom.High > 10 {
				return
			}
		}
		for _, x := range file.Faults {
			if x.Kind == "burst" && x.Size.High > 10 {
				return
			}
		}
		if file.Load.ClumpSize.High > time.Minute {
			return
		}
		file.DrawPlan(1, 0)
	})
}
