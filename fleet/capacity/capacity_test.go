package capacity

import (
	"errors"
	"math"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// committedTarget returns the target in the repository.
func committedTarget(t testing.TB) Target {
	t.Helper()
	raw, err := os.ReadFile("../../docs/capacity/target.toml")
	if err != nil {
		t.Fatal(err)
	}
	target, err := ParseTarget(raw)
	if err != nil {
		t.Fatal(err)
	}
	return target
}

// slope returns a linear slope of invented values.
func slope(id string, at0, each, from, to float64) Slope {
	return Slope{ID: id, Description: "made up", XUnit: "thing", Unit: units[id], Form: Linear, Intercept: at0, LinearCoef: each, From: from, To: to, Points: 4, Repeats: 3,
		Run: "docs/scale/made-up.json", Commit: "0000000"}
}

func lineOf(t testing.TB, r Report, id string, owned bool) Line {
	t.Helper()
	for _, l := range r.Lines {
		if l.ID == id && l.WithOwnership == owned {
			return l
		}
	}
	t.Fatalf("there is no line %s, with ownership %v", id, owned)
	return Line{}
}

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-6*math.Abs(b) }

// The expected values were computed by hand from the operators' table.
func TestTargetByHand(t *testing.T) {
	target := committedTarget(t)
	for _, c := range []struct {
		what      string
		got, want float64
	}{
		{"endpoints", target.Endpoints(), 646_000},
		{"down", target.DestinationsDown(), 9_120},
		{"events of a node", target.EventsPerSecondPerNode(), 231.70731707},
		{"backlog of a node", target.BacklogPerNode(), 10_853_658.5366},
		{"zone", target.NodesPerZone(), 136.6666666},
		{"region", target.NodesPerRegion(), 273.3333333},
		{"owned", target.ownedDestinations(), 1_390.2439024},
	} {
		if !near(c.got, c.want) {
			t.Errorf("%s: %v, by hand %v", c.what, c.got, c.want)
		}
	}
}

func TestSlopeByHand(t *testing.T) {
	for _, c := range []struct {
		s    Slope
		x, y float64
	}{
		{Slope{Form: Constant, Intercept: 7}, 1e6, 7},
		{Slope{Form: Linear, Intercept: 100, LinearCoef: 3}, 20, 160},
		{Slope{Form: Quadratic, Intercept: 1, LinearCoef: 2, QuadraticCoef: 3}, 10, 321},
	} {
		if got := c.s.ValueAt(c.x); got != c.y {
			t.Errorf("%s at %v: %v, by hand %v", c.s.Form, c.x, got, c.y)
		}
	}
	s := Slope{From: 100, To: 1000}
	for x, want := range map[float64][2]float64{0: {1, 1}, 50: {1, 2}, 100: {1, 1}, 500: {1, 1}, 1000: {1, 1}, 25_000: {25, 1}} {
		if past, below := s.OutsideRange(x); past != want[0] || below != want[1] {
			t.Errorf("%v is %v times above and %v times below 100 to 1000, by hand %v", x, past, below, want)
		}
	}
}

func TestLinesByHand(t *testing.T) {
	target := committedTarget(t)
	heap := slope("node.destinations.heap", 2e6, 1000, 1000, 38_000)
	heap.StdErr = 10
	square := slope("journal.start", 0, 0, 1000, 1e6)
	square.Form, square.QuadraticCoef = Quadratic, 1e-12
	still := slope("node.idle.heap", 5e6, 0, 1, 1000)
	still.Form = Constant
	r := Compute(target, []Slope{
		heap, square, still,
		slope("module.held.step", 0, 1e-9, 1000, 20e6),
		slope("node.list.bytes", 0, 200, 100, 400_000),
		slope("owned.list.bytes", 0, 200, 100, 3000),
		slope("node.watch.bytes", 0.25, 0, 1, 1000),
	})
	for _, c := range []struct {
		id            string
		owned         bool
		figure, share float64
		how           Source
		times         float64
		ending        Cause
	}{
		// 2 MB + 380,000 × 1 KB of 64 MB: (64 - 2) / 380; measured up to a tenth.
		{"control.memory.heap", false, 382e6, 62.0 / 380, Extrapolated, 10, ByMemory},
		// Constant: it never ends.
		{"control.memory.nodes", false, 5e6, maxSearch, Measured, 0, ByMemory},
		// 10,853,658.5 squared × 1e-12 s of 10 s: the root of 10e12, which is 3,162,277.66.
		{"failure.start.backlog", false, 117.801903629, 3_162_277.66017 / 10_853_658.5366, Extrapolated, 10.8536585366, ByTime},
		// 231.7 a second × 10.85 ms.
		{"own.processor.events", false, 2.51487210, 1 / 2.51487210, Measured, 0, ByProcessor},
		// 380,000 × 200 B of 16 MB.
		{"control.messages.list", false, 76e6, 16_777_216 / 76e6, Measured, 0, ByCap},
		{"control.messages.list", true, 278_048.78, 16_777_216 / 278_048.78, Measured, 0, ByCap},
		// A cap only, and figures that need no slope.
		{"directory.state.endpoints", false, 646_000, 50_000.0 / 646_000, FromTarget, 0, ByCap},
		{"failure.down.probes", false, 747_840, 0, FromTarget, 0, ""},
		{"failure.down.probes", true, 2_736, 0, FromTarget, 0, ""},
		{"own.messages.passed", false, 230.859607377, 0, FromTarget, 0, ""},
		// 2 × 10.85 million × (200 + 24 + 700) B of 3 MiB.
		{"own.state.room", false, 20_057_560_975.6, 3_145_728 / 20_057_560_975.6, FromTarget, 0, ByCap},
		// 137 times 76 MB in the zone; it has no limit.
		{"failure.together.bytes", false, 136.666666667 * 76e6, -1, Measured, 0, ""},
		// 76 MB at 3 KB a second.
		{"failure.start.list", false, 25_333.3333333, -1, Measured, 0, ""},
	} {
		l := lineOf(t, r, c.id, c.owned)
		if l.Figure == nil || !near(l.Figure.Value, c.figure) {
			t.Errorf("%s: figure %v, by hand %v", c.id, l.Figure, c.figure)
		}
		switch {
		case c.share < 0 && l.End.Share != nil, c.share > 0 && l.End.Share == nil:
			t.Errorf("%s: ends at %v, by hand %v", c.id, l.End, c.share)
		case c.share > 0 && math.Abs(*l.End.Share-c.share) > 1e-6*c.share:
			t.Errorf("%s: ends at %v, by hand %v", c.id, *l.End.Share, c.share)
		}
		if l.Provenance.Source != c.how || !near(l.Provenance.AboveRange, c.times) || l.End.Cause != c.ending {
			t.Errorf("%s: provenance %+v, ended by %q; by hand %s %v, %q", c.id, l.Provenance, l.End.Cause, c.how, c.times, c.ending)
		}
	}
	l := lineOf(t, r, "control.memory.heap", false)
	if !near(l.StdErr, 3.8e6) { // 380,000 × 10 B
		t.Errorf("the heap's standard error is %v, by hand 3.8e6", l.StdErr)
	}
	if got, want := l.figureText(), "382 MB ± 3.8 MB"; got != want {
		t.Errorf("the heap is formatted as %q, want %q", got, want)
	}
	if got, want := l.endText(), "16% of the destinations"; got != want {
		t.Errorf("its end is formatted as %q, want %q", got, want)
	}
	if got, want := l.Provenance.String(), "worked out, 10 times past what was measured"; got != want {
		t.Errorf("its provenance is formatted as %q, want %q", got, want)
	}
	// 420 changes a day are 0.00486 a second; the measured range begins at 1 a second.
	low := Compute(target, []Slope{slope("node.change.bytes", 100, 300, 1, 50)})
	if got, want := lineOf(t, low, "control.messages.changes", false).Provenance.String(), "guessed (list.changes_per_s); worked out, 206 times below what was measured"; got != want {
		t.Errorf("below the range the provenance is formatted as %q, want %q", got, want)
	}
	if len(l.Runs) != 1 || l.Runs[0] != "docs/scale/made-up.json" {
		t.Errorf("its runs are %v", l.Runs)
	}
}

func TestMissingIsNeverZero(t *testing.T) {
	r := Compute(committedTarget(t), nil)
	some := 0
	for _, l := range r.Lines {
		if len(l.Slopes) == 0 {
			continue
		}
		some++
		if l.Figure != nil || l.Provenance.Source != Missing || l.figureText() != "missing" || !strings.HasPrefix(l.Provenance.String(), "missing: ") {
			t.Errorf("%s has no slope, but its figure is %q, its provenance %q", l.ID, l.figureText(), l.Provenance)
		}
		if l.End.Share != nil && !l.End.NoMechanism && !l.End.UpperBound {
			t.Errorf("%s has no slope, but ends at %v", l.ID, *l.End.Share)
		}
	}
	if some < 40 {
		t.Errorf("only %d lines need slopes", some)
	}
	// One of two slopes is not enough, and a cap alone gives only an upper bound.
	r = Compute(committedTarget(t), []Slope{slope("node.list.bytes", 0, 200, 100, 400_000), slope("node.watch.bytes", 1, 0, 1, 1000)})
	l := lineOf(t, r, "control.messages.all", false)
	if l.Figure != nil || !slices.Equal(l.Provenance.Missing, []string{"node.change.bytes"}) {
		t.Errorf("with one slope missing: figure %v, missing %v", l.Figure, l.Provenance.Missing)
	}
	w := row{axis: ByDestinations, place: "x", unit: Bytes, figure: fromSlope("node.destinations.heap", Target.measuredDestinations),
		limits: []limit{controlMemory, capLimit(boundEndpoints, fromTarget(Target.Endpoints))}}
	l = w.line(committedTarget(t), nil)
	if !l.End.UpperBound || l.endText() != "at most 7.7% of the destinations" {
		t.Errorf("a cap beside a missing slope: %q", l.endText())
	}
}

func TestGuessesAreShown(t *testing.T) {
	target := committedTarget(t)
	r := Compute(target, []Slope{slope("node.change.step", 0, 1e-8, 1, 1e6), slope("node.list.bytes", 0, 200, 100, 400_000)})
	for id, want := range map[string]string{
		"control.processor.changes": "guessed (list.changes_per_s); measured",
		"own.state.room":            "guessed (events.body_bytes, events.name_bytes); from the target",
		"own.messages.passed":       "guessed (destinations.owners, that clients submit an event to any node); from the target",
		"control.messages.list":     "measured",
	} {
		if got := lineOf(t, r, id, false).Provenance.String(); got != want {
			t.Errorf("%s: %q, want %q", id, got, want)
		}
	}
	target.Guessed = nil
	if got := lineOf(t, Compute(target, nil), "own.state.room", false).Provenance.String(); got != "from the target" {
		t.Errorf("with nothing guessed: %q", got)
	}
}

func TestTableIsComplete(t *testing.T) {
	ids, used := map[string]bool{}, map[string]bool{}
	kinds := map[Role]map[Kind]bool{}
	none := &slopeReader{}
	known := func(name string) bool {
		return slices.ContainsFunc(mechanisms, func(m Mechanism) bool { return m.Name == name })
	}
	for _, w := range rows {
		if ids[w.id] {
			t.Errorf("duplicate row %s", w.id)
		}
		ids[w.id] = true
		if kinds[w.role] == nil {
			kinds[w.role] = map[Kind]bool{}
		}
		kinds[w.role][w.kind] = true
		if w.description == "" || w.axis == "" || w.formula == "" || w.figure != nil && w.unit == "" {
			t.Errorf("%s is incomplete: %+v", w.id, w)
		}
		if w.place == "" && len(w.waitsFor) == 0 {
			t.Errorf("%s has no mechanism and waits for none", w.id)
		}
		for _, name := range w.waitsFor {
			if !known(name) {
				t.Errorf("%s waits for %q, which is not a mechanism", w.id, name)
			}
		}
		if w.figure != nil {
			w.figure(committedTarget(t), none)
		}
		if w.owned != nil {
			w.owned.figure(committedTarget(t), none)
		}
		for _, id := range none.missing {
			used[id] = true
			if units[id] == "" {
				t.Errorf("%s uses the slope %q, which has no unit", w.id, id)
			}
		}
		// The printed formula names the slopes that are used.
		alone := &slopeReader{}
		if w.figure != nil {
			w.figure(committedTarget(t), alone)
		}
		for _, id := range alone.missing {
			if !strings.Contains(w.formula, id) {
				t.Errorf("%s uses %s, which is not in its formula %q", w.id, id, w.formula)
			}
		}
	}
	for id := range units {
		if !used[id] {
			t.Errorf("no row uses the slope %q", id)
		}
	}
	for _, role := range []Role{NodeControl, NodeOwn, Directory, Follower, Operators} {
		for _, kind := range []Kind{State, Messages, Processor, Memory, Time} {
			if !kinds[role][kind] {
				t.Errorf("%s has no row on %s", role, kind)
			}
		}
	}
	for _, m := range mechanisms {
		for _, name := range m.Needs {
			if !known(name) {
				t.Errorf("%s needs %q, which is not a mechanism", m.Name, name)
			}
		}
	}
}

// setBuilt marks the named mechanisms as built, and no others, for the duration of the test.
func setBuilt(t *testing.T, names ...string) {
	before := mechanisms
	t.Cleanup(func() { mechanisms = before })
	mechanisms = slices.Clone(mechanisms)
	for i, m := range mechanisms {
		mechanisms[i].Built = slices.Contains(names, m.Name)
	}
}

func TestOwnershipBuilt(t *testing.T) {
	measured := []Slope{slope("node.destinations.heap", 0, 1000, 100, 400_000), slope("node.list.step", 0, 1e-5, 100, 400_000),
		slope("node.change.step", 0, 1e-5, 100, 400_000), slope("owned.destinations.heap", 0, 1000, 100, 5000), slope("owned.change.step", 0, 1e-3, 100, 5000)}
	waits := func() (rows []string, names []string) {
		for _, s := range Compute(committedTarget(t), measured).Steps {
			names = append(names, s.Name)
			if s.Name == ownership {
				rows = s.Rows
			}
		}
		return rows, names
	}
	setBuilt(t)
	// The lines with ownership tell how far it would carry, and do not count until it is built.
	l := lineOf(t, Compute(committedTarget(t), measured), "control.memory.heap", true)
	if l.Mechanism != "missing" || l.End.NoMechanism || !near(*l.End.Share, 64e6/(1000*380_000*3/820.0)) {
		t.Errorf("before it is built: %+v", l)
	}
	if rows, _ := waits(); !slices.Contains(rows, "control.memory.heap") || !slices.Contains(rows, "control.time.list") {
		t.Errorf("rows that wait for it before it is built: %v", rows)
	}
	setBuilt(t, ownership)
	if l := lineOf(t, Compute(committedTarget(t), measured), "control.memory.heap", true); l.Mechanism != "choice" {
		t.Errorf("once it is built: %+v", l)
	}
	if _, names := waits(); slices.Contains(names, ownership) {
		t.Errorf("a built mechanism is still listed as missing: %v", names)
	}
	table := Compute(committedTarget(t), measured).orderTable()
	if strings.Contains(table, "heap, by destinations |") || strings.Contains(table, "heap, by destinations, with ownership |") ||
		!strings.Contains(table, "event loop blocked by a whole list |") ||
		!strings.Contains(table, "event loop blocked by one change, with ownership |") {
		t.Errorf("rows measured with ownership must be listed with it, others without:\n%s", table)
	}
	for _, s := range Compute(committedTarget(t), measured).Steps {
		if slices.Contains(s.Needs, ownership) {
			t.Errorf("%s still needs ownership first", s.Name)
		}
	}
}

func TestRoadmap(t *testing.T) {
	setBuilt(t)
	r := Compute(committedTarget(t), nil)
	at := map[string]int{}
	for i, s := range r.Steps {
		at[s.Name] = i
		for _, name := range s.Needs {
			if j, ok := at[name]; !ok || j > i {
				t.Errorf("%s is listed before %s, which it needs", s.Name, name)
			}
		}
	}
	if len(r.Steps) != len(mechanisms) || r.Steps[0].MinShare != 0 {
		t.Errorf("steps: %+v", r.Steps)
	}
	// A row that nothing carries counts as ending at 0, also for the mechanisms that its mechanism needs.
	own := r.Steps[at[ownership]]
	if own.MinShare != 0 || !slices.Contains(own.Rows, "failure.down.probes") || !slices.Contains(own.Rows, "control.state.limits") {
		t.Errorf("ownership: %+v", own)
	}
	// A row whose end is unknown is not counted among those with a known end.
	if !slices.Contains(own.Unknown, "control.memory.heap") || slices.Contains(own.Rows, "control.memory.heap") {
		t.Errorf("ownership: %+v", own)
	}
	// The own cost of a mechanism does not wait for it.
	if f := r.Steps[at[followers]]; slices.Contains(f.Rows, "follower.memory") || !slices.Contains(f.Rows, "follower.messages.link") {
		t.Errorf("followers: %+v", f)
	}
	// A row that carries the target waits for nothing.
	r = Compute(committedTarget(t), []Slope{slope("node.destinations.heap", 0, 10, 100, 400_000)})
	for _, s := range r.Steps {
		if slices.Contains(s.Rows, "control.memory.heap") || slices.Contains(s.Unknown, "control.memory.heap") {
			t.Errorf("a heap of 3.8 MB waits for %s", s.Name)
		}
	}
}

func TestTargetIsReadStrictly(t *testing.T) {
	raw, err := os.ReadFile("../../docs/capacity/target.toml")
	if err != nil {
		t.Fatal(err)
	}
	text := string(raw)
	nodes := 1 + strings.Count(text[:strings.Index(text, "nodes = 820")], "\n")
	down := 1 + strings.Count(text[:strings.Index(text, "down_share")], "\n")
	guessed := 1 + strings.Count(text[:strings.Index(text, "guessed = ")], "\n")
	for _, c := range []struct {
		old, new, want string
		line           int
	}{
		{"nodes = 820", "knots = 820", `there is no setting "fleet.knots"`, nodes},
		{"nodes = 820", "nodes = 0", "fleet.nodes is 0, must be more than 0", nodes},
		{"nodes = 820", "nodes = -3", "more than 0", nodes},
		{"nodes = 820", "nodes = nan", "more than 0", nodes},
		{"nodes = 820", "nodes = inf", "more than 0", nodes},
		{"nodes = 820", "", "fleet.nodes is missing", nodes - 1},
		{"[fleet]\nnodes = 820\nregions = 3\nzones = 6 ", "", "fleet.zones is missing", 0},
		{"nodes = 820", "nodes = \"many\"", "", nodes},
		{"nodes = 820", "nodes = = 820", "", nodes},
		{"down_share = 0.024", "down_share = 2.4", "a share is at most 1", down},
		{`guessed = ["events.body_bytes"`, `guessed = ["events.body"`, `no setting "events.body"`, guessed},
	} {
		changed := strings.Replace(text, c.old, c.new, 1)
		if changed == text {
			t.Fatalf("%q is not in the file", c.old)
		}
		_, err := ParseTarget([]byte(changed))
		var bad *Error
		if !errors.As(err, &bad) || bad.Line != c.line || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v; want line %d and %q", c.new, err, c.line, c.want)
		}
	}
}

const goodSlope = `
[[slope]]
id = "node.list.bytes"
what = "bytes of a first list"
per = "destination"
unit = "B"
form = "linear"
at0 = 10.0
slope = 200
square = 0.0
spread = 1.0
from = 1000.0
to = 38000.0
points = 4
plays = 3
worst = 0.02
run = "docs/scale/destinations.json"
commit = "8af6f88"
`

func TestSlopesAreReadStrictly(t *testing.T) {
	if all, err := ParseSlopes([]byte(goodSlope)); err != nil || len(all) != 1 || all[0].ValueAt(10) != 2010 {
		t.Fatalf("%v, %v", all, err)
	}
	if all, err := ParseSlopes(nil); err != nil || len(all) != 0 {
		t.Errorf("an empty file: %v, %v", all, err)
	}
	for _, c := range []struct {
		old, new, want string
		line           int
	}{
		{`id = "node.list.bytes"`, `id = "Node list"`, "lower-case words", 3},
		{`id = "node.list.bytes"`, "", "lower-case words", 2},
		{`what = "bytes of a first list"`, "", "what is missing", 2},
		{`unit = "B"`, `unit = "MB"`, "none of B, B/s", 6},
		{`unit = "B"`, `unit = "s"`, "unit must be B", 6},
		{`form = "linear"`, `form = "cubic"`, "none of constant, linear, quadratic", 7},
		{`form = "linear"`, `form = "constant"`, "slope must be 0", 9},
		{`square = 0.0`, `square = 0.1`, "square must be 0", 10},
		{`at0 = 10.0`, `at0 = nan`, "not a finite number", 8},
		{`spread = 1.0`, `spread = -1.0`, "spread must be 0 or more", 11},
		{`to = 38000.0`, `to = 100.0`, "empty or reversed", 13},
		{`to = 38000.0`, ``, "empty or reversed", 2},
		{`points = 4`, `points = 0`, "points must be 1 or more", 14},
		{`points = 4`, `points = 4.5`, "", 14},
		{`plays = 3`, ``, "plays must be 1 or more", 2},
		{`run = "docs/scale/destinations.json"`, ``, "run is missing", 2},
		{`commit = "8af6f88"`, `comit = "8af6f88"`, `no setting "slope.comit"`, 18},
	} {
		changed := strings.Replace(goodSlope, c.old, c.new, 1)
		_, err := ParseSlopes([]byte(changed))
		var bad *Error
		if !errors.As(err, &bad) || bad.Line != c.line || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q for %q: %v; want line %d and %q", c.new, c.old, err, c.line, c.want)
		}
	}
	if _, err := ParseSlopes([]byte(goodSlope + goodSlope)); err == nil || !strings.Contains(err.Error(), `line 21: duplicate slope "node.list.bytes"`) {
		t.Errorf("a slope twice: %v", err)
	}
}

func TestSlopesAreWrittenAndReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, measured := drawSlopes(t, "before"), drawSlopes(t, "measured")
		all := MergeSlopes(before, measured)
		text, err := FormatSlopes(all)
		if err != nil {
			t.Fatal(err)
		}
		again, err := ParseSlopes(text)
		if err != nil {
			t.Fatalf("%v in\n%s", err, text)
		}
		if !slices.Equal(again, all) {
			t.Fatalf("%v decoded as %v", all, again)
		}
		if !slices.IsSortedFunc(again, func(a, b Slope) int { return strings.Compare(a.ID, b.ID) }) {
			t.Fatal("not sorted")
		}
		for _, s := range measured {
			if !slices.Contains(again, s) {
				t.Fatalf("%s was measured and is missing", s.ID)
			}
		}
		for _, s := range before {
			if !slices.ContainsFunc(again, func(o Slope) bool { return o.ID == s.ID }) {
				t.Fatalf("%s is lost", s.ID)
			}
		}
	})
}

// drawSlopes draws valid slopes that do not fall, for some of the ids.
func drawSlopes(t *rapid.T, what string) []Slope {
	ids := make([]string, 0, len(units))
	for id := range units {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var all []Slope
	for _, id := range rapid.SliceOfNDistinct(rapid.SampledFrom(ids), 0, len(ids), rapid.ID[string]).Draw(t, what) {
		number := func(name string, most float64) float64 { return rapid.Float64Range(0, most).Draw(t, id+" "+name) }
		s := slope(id, number("at0", 1e6), 0, number("from", 100), 200+number("to", 1e6))
		s.Form = rapid.SampledFrom([]Form{Constant, Linear, Quadratic}).Draw(t, id+" form")
		if s.Form != Constant {
			s.LinearCoef = number("slope", 1e4)
		}
		if s.Form == Quadratic {
			s.QuadraticCoef = number("square", 1)
		}
		s.StdErr = number("spread", 1)
		all = append(all, s)
	}
	return all
}

// What grows costs more and ends earlier; a larger budget ends later; at its end a row is at its bound.
func TestMoreCostsMore(t *testing.T) {
	target := committedTarget(t)
	rapid.Check(t, func(t *rapid.T) {
		slopes := drawSlopes(t, "slopes")
		before := Compute(target, slopes)
		times := rapid.Float64Range(1, 50).Draw(t, "times")
		steeper := slices.Clone(slopes)
		for i := range steeper {
			steeper[i].Intercept *= times
			steeper[i].LinearCoef *= times
			steeper[i].QuadraticCoef *= times
		}
		after := Compute(target, steeper)
		for i, l := range before.Lines {
			a := after.Lines[i]
			if l.Figure != nil && a.Figure.Value < l.Figure.Value {
				t.Fatalf("%s: %v, and with steeper slopes %v", l.ID, l.Figure, a.Figure)
			}
			if l.End.Share != nil && *a.End.Share > *l.End.Share*(1+1e-6) {
				t.Fatalf("%s: ends at %v, and with steeper slopes at %v", l.ID, *l.End.Share, *a.End.Share)
			}
		}
		axis := rapid.SampledFrom([]Axis{ByDestinations, ByNodes, ByEvents, ByBacklog, ByChanges, ByTimeAlone}).Draw(t, "axis")
		for i, g := range Compute(target.Scaled(axis, times), slopes).Lines {
			// A node's part of a limit is the only figure that shrinks as the fleet grows.
			if l := before.Lines[i]; l.Axis == axis && l.Figure != nil && l.ID != "control.state.limits" && g.Figure.Value < l.Figure.Value*(1-1e-9) {
				t.Fatalf("%s: %v, and with %v times the %s %v", l.ID, l.Figure, times, axis, g.Figure)
			}
		}
		richer := target
		richer.ControlBudget.CoreShare = min(1, richer.ControlBudget.CoreShare*times)
		richer.ControlBudget.MemoryMB *= times
		richer.ControlBudget.KBPerSecond *= times
		richer.EventBudget.AnswerSeconds *= times
		richer.EventBudget.BacklogMemoryBytes *= times
		richer.Configuration.InForceSeconds *= times
		richer.Failures.ReadySeconds *= times
		for i, l := range Compute(richer, slopes).Lines {
			if b := before.Lines[i]; b.End.Share != nil && *l.End.Share < *b.End.Share*(1-1e-6) {
				t.Fatalf("%s: ends at %v, and with a larger budget at %v", l.ID, *b.End.Share, *l.End.Share)
			}
		}
		byID := map[string]Slope{}
		for _, s := range slopes {
			byID[s.ID] = s
		}
		for _, w := range rows {
			for _, b := range w.limits {
				amount := b.amount
				if amount == nil {
					amount = w.figure
				}
				share, beyond, ok := findEnd(func(f float64) float64 { return amount(target.Scaled(w.axis, f), &slopeReader{slopes: byID}) }, b.value(target))
				if !ok || beyond || share == 0 {
					continue
				}
				if at := amount(target.Scaled(w.axis, share), &slopeReader{slopes: byID}); math.Abs(at-b.value(target)) > 1e-6*b.value(target) {
					t.Fatalf("%s ends at %v of the target, where its amount is %v of %v", w.id, share, at, b.value(target))
				}
			}
		}
	})
}

func TestFiguresAreFormatted(t *testing.T) {
	for _, c := range []struct {
		v    float64
		u    Unit
		want string
	}{
		{0, Bytes, "0 B"}, {999, Bytes, "999 B"}, {1000, Bytes, "1 KB"}, {345_800_000, Bytes, "346 MB"}, {20_057_560_975, Bytes, "20.1 GB"},
		{3000, BytesPerS, "3 KB/s"}, {0.000314, Seconds, "314 us"}, {0.007, Seconds, "7 ms"}, {2.1, Seconds, "2.1 s"}, {1371.43, Seconds, "22.9 min"},
		{25_333, Seconds, "7.04 h"}, {0.032, Cores, "0.032 cores"}, {60.13, Cores, "60.1 cores"}, {646_000, Count, "646,000"}, {1234567.8, Count, "1,234,568"},
		{747_840, CountPerS, "747,840/s"}, {0.00243902, CountPerS, "0.00244/s"}, {-12.5, Count, "-12.5"}, {-1500, Count, "-1,500"},
	} {
		if got := (Quantity{c.v, c.u}).String(); got != c.want {
			t.Errorf("%v %s is formatted as %q, want %q", c.v, c.u, got, c.want)
		}
	}
	for share, want := range map[float64]string{0: "under 0.1%", 0.0004: "under 0.1%", 0.003: "0.3%", 0.0774: "7.7%", 0.29: "29%", 0.999: "99%", 1: "100%", 9.99: "999%", 24.4: "24 times", 1e4: "10,000 times"} {
		if got := formatShare(share); got != want {
			t.Errorf("%v is formatted as %q, want %q", share, got, want)
		}
	}
}

func TestPage(t *testing.T) {
	sections := []Section{{Name: "one", Table: "| new |\n"}, {Name: "two", Table: "| other |\n"}}
	page := "# Head\n\nprose\n<!-- capacity:begin one -->\n| old |\n| older |\n<!-- capacity:end -->\nmore\n<!-- capacity:begin two -->\n<!-- capacity:end -->\nlast"
	want := "# Head\n\nprose\n<!-- capacity:begin one -->\n| new |\n<!-- capacity:end -->\nmore\n<!-- capacity:begin two -->\n| other |\n<!-- capacity:end -->\nlast"
	got, err := UpdatePage([]byte(page), sections)
	if err != nil || string(got) != want {
		t.Fatalf("%v:\n%s", err, got)
	}
	if again, err := UpdatePage(got, sections); err != nil || string(again) != want {
		t.Errorf("a page that is up to date was changed: %v:\n%s", err, again)
	}
	for _, c := range []struct{ old, new, want string }{
		{"begin one", "begin three", `line 4: there is no table "three"`},
		{"begin two", "begin one", `line 9: duplicate table "one"`},
		{"| older |\n<!-- capacity:end -->", "| older |", `line 8: a table begins before the end of table "one" of line 4`},
		{"<!-- capacity:end -->\nlast", "last", `line 9: the table "two" has no end mark`},
		{"prose", "<!-- capacity:end -->", "line 3: end mark without a begin mark"},
		{"<!-- capacity:begin two -->\n<!-- capacity:end -->", "", `the table "two" has no place`},
	} {
		if _, err := UpdatePage([]byte(strings.Replace(page, c.old, c.new, 1)), sections); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q for %q: %v; want %q", c.new, c.old, err, c.want)
		}
	}
}
