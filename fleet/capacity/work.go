package capacity

import (
	"cmp"
	"math"
	"reflect"
	"slices"
	"strings"
)

// Quantity is a value with its unit.
type Quantity struct {
	Value float64 `json:"value"`
	Unit  Unit    `json:"unit"`
}

// Source is where a figure comes from.
type Source string

const (
	Measured     Source = "measured"              // within the measured range
	Extrapolated Source = "past the measurements" // computed outside the measured range
	FromTarget   Source = "from the target"       // needs no slope
	Missing      Source = "missing"               // a slope that it needs is missing
	NoFigure     Source = "none"                  // the row has no figure
)

// Provenance tells where a figure comes from.
type Provenance struct {
	Source      Source   `json:"how"`
	AboveRange  float64  `json:"times,omitempty"`   // times above the measured range
	BelowRange  float64  `json:"below,omitempty"`   // times below it, if nothing is above
	Missing     []string `json:"missing,omitempty"` // ids of slopes
	Assumptions []string `json:"guessed,omitempty"` // assumptions that the figure rests on; with any, it is a guess
}

// End is where the growth of a row ends.
type End struct {
	Share        *float64 `json:"share,omitempty"` // of the target along the row's axis; nil: unknown
	NoMechanism  bool     `json:"nothing"`         // no mechanism carries the row, and Share is 0
	UpperBound   bool     `json:"at_most"`         // a missing slope may end it earlier
	BeyondSearch bool     `json:"beyond"`          // it does not end up to Share, the end of the search
	Cause        Cause    `json:"ending,omitempty"`
	Limit        string   `json:"by,omitempty"`
}

// Line is a computed row.
type Line struct {
	ID            string     `json:"id"`
	Role          Role       `json:"role"`
	Kind          Kind       `json:"kind"`
	Description   string     `json:"what"`
	WithOwnership bool       `json:"with_ownership"` // the variant of the row in which each destination has few owners
	Formula       string     `json:"formula"`
	Figure        *Quantity  `json:"figure,omitempty"` // at the target; nil: missing or none
	StdErr        float64    `json:"standard_error,omitempty"`
	Budget        *Quantity  `json:"budget,omitempty"`
	OwnCost       bool       `json:"own_cost"` // cost of a mechanism that does not exist yet; nothing else waits with it
	HasLimit      bool       `json:"bounded"`  // something is known that may end it
	Axis          Axis       `json:"axis"`
	End           End        `json:"end"`
	Mechanism     string     `json:"mechanism"` // package or file that carries it, or "missing"
	Provenance    Provenance `json:"known"`
	Slopes        []string   `json:"slopes,omitempty"`
	Runs          []string   `json:"runs,omitempty"`
	WaitsFor      []string   `json:"waits_for,omitempty"`
}

// Step is a missing mechanism and the rows that wait for it.
type Step struct {
	Mechanism
	Rows     []string `json:"rows"`    // ids of rows that end before the target and wait for it, also indirectly, without those of its own cost
	Unknown  []string `json:"unknown"` // ids of rows that wait for it and whose end is unknown
	MinShare float64  `json:"least"`   // the smallest share at which one of Rows ends; 1 if there is none
	NearRows int      `json:"near"`    // number of Rows that end below NearShare of the target
}

// NearShare is the share of the target below which all ends count as equally near.
const NearShare = 0.01

// Report is the result of Compute.
type Report struct {
	Target Target  `json:"target"`
	Lines  []Line  `json:"lines"`
	Steps  []Step  `json:"steps"` // in the order of the roadmap
	Bounds []Bound `json:"facts"`
	Slopes []Slope `json:"slopes"`
}

// slopeReader gives a calculation the values of slopes and records which ones it uses.
type slopeReader struct {
	slopes     map[string]Slope
	used       []string
	missing    []string
	aboveRange float64 // largest of all
	belowRange float64
}

// at returns the value of a slope at x; NaN if it is missing.
func (r *slopeReader) at(id string, x float64) float64 {
	s, ok := r.lookup(id, x)
	if !ok {
		return math.NaN()
	}
	return s.ValueAt(x)
}

// rise returns the increase of a slope's value from 0 to x; NaN if it is missing.
func (r *slopeReader) rise(id string, x float64) float64 {
	s, ok := r.lookup(id, x)
	if !ok {
		return math.NaN()
	}
	return s.ValueAt(x) - s.Intercept
}

func (r *slopeReader) lookup(id string, x float64) (Slope, bool) {
	s, ok := r.slopes[id]
	list := &r.missing
	if ok {
		list = &r.used
		above, below := s.OutsideRange(x)
		r.aboveRange, r.belowRange = max(r.aboveRange, above), max(r.belowRange, below)
	}
	if !slices.Contains(*list, id) {
		*list = append(*list, id)
	}
	return s, ok
}

// with returns a new reader in which one slope is replaced.
func (r *slopeReader) with(s Slope) *slopeReader {
	slopes := map[string]Slope{}
	for id, o := range r.slopes {
		slopes[id] = o
	}
	slopes[s.ID] = s
	return &slopeReader{slopes: slopes}
}

// Compute computes the whole table.
func Compute(t Target, slopes []Slope) Report {
	byID := map[string]Slope{}
	for _, s := range slopes {
		byID[s.ID] = s
	}
	r := Report{Target: t, Bounds: Bounds(), Slopes: MergeSlopes(nil, slopes)}
	for _, row := range rows {
		r.Lines = append(r.Lines, row.line(t, byID))
		if row.owned != nil {
			r.Lines = append(r.Lines, row.ownedLine(t, byID))
		}
	}
	r.Steps = roadmap(r.Lines)
	return r
}

// ownedLine computes the row's variant with ownership.
func (w row) ownedLine(t Target, slopes map[string]Slope) Line {
	w.formula, w.figure, w.limits = w.owned.formula, w.owned.figure, w.owned.limits
	carried := isBuilt(ownership) && w.place != ""
	if w.place == "" {
		w.place = "missing" // how far it would carry is computed all the same
	}
	l := w.line(t, slopes)
	l.WithOwnership = true
	if !carried {
		l.Mechanism = "missing"
	}
	return l
}

// line computes a row.
func (w row) line(t Target, slopes map[string]Slope) Line {
	l := Line{ID: w.id, Role: w.role, Kind: w.kind, Description: w.description, Formula: w.formula, Axis: w.axis, WaitsFor: w.waitsFor, Mechanism: w.place, OwnCost: w.ownCost, HasLimit: w.place == "" || len(w.limits) > 0}
	if w.place == "" {
		l.Mechanism = "missing"
	}
	for _, b := range w.limits {
		if b.budget {
			l.Budget = &Quantity{b.value(t), w.unit}
		}
	}
	r := &slopeReader{slopes: slopes}
	l.Provenance.Source = NoFigure
	if w.figure != nil {
		v := w.figure(t, r)
		l.Slopes = slices.Concat(r.used, r.missing)
		slices.Sort(l.Slopes)
		switch {
		case len(r.missing) > 0:
			l.Provenance.Source, l.Provenance.Missing = Missing, r.missing
		case len(r.used) == 0:
			l.Provenance.Source = FromTarget
		case r.aboveRange > 1:
			l.Provenance.Source, l.Provenance.AboveRange = Extrapolated, r.aboveRange
		case r.belowRange > 1:
			l.Provenance.Source, l.Provenance.BelowRange = Extrapolated, r.belowRange
		default:
			l.Provenance.Source = Measured
		}
		if len(r.missing) == 0 {
			l.Figure = &Quantity{v, w.unit}
			l.StdErr = w.stdErr(t, r, v)
		}
		for _, id := range r.used {
			if run := slopes[id].Run; !slices.Contains(l.Runs, run) {
				l.Runs = append(l.Runs, run)
			}
		}
	}
	l.End = w.end(t, slopes)
	l.Provenance.Assumptions = w.assumptions(t, slopes)
	return l
}

// stdErr returns the standard error of a figure, taking the errors of its slopes as independent.
func (w row) stdErr(t Target, r *slopeReader, v float64) float64 {
	sum := 0.0
	for _, id := range r.used {
		d := w.figure(t, r.with(r.slopes[id].plusStdErr())) - v
		sum += d * d
	}
	return math.Sqrt(sum)
}

// assumptions returns what a line takes for granted: guessed settings of the target that affect its figure or
// its end, and the assumption of its formula.
func (w row) assumptions(t Target, slopes map[string]Slope) []string {
	var names []string
	for _, name := range t.Guessed {
		if !slices.EqualFunc(w.values(t, slopes), w.values(reduced(t, name), slopes), func(a, b float64) bool { return a == b || math.IsNaN(a) && math.IsNaN(b) }) {
			names = append(names, name)
		}
	}
	if w.assumption != "" {
		names = append(names, w.assumption)
	}
	return names
}

// values returns the row's figure and, for each limit, its value and the amount compared with it; NaN where a
// slope is missing.
func (w row) values(t Target, slopes map[string]Slope) []float64 {
	var all []float64
	if w.figure != nil {
		all = append(all, w.figure(t, &slopeReader{slopes: slopes}))
	}
	for _, b := range w.limits {
		all = append(all, b.value(t))
		if b.amount != nil {
			all = append(all, b.amount(t, &slopeReader{slopes: slopes}))
		}
	}
	return all
}

// reduced returns the target with one setting, named as in the file, reduced by 2%.
func reduced(t Target, name string) Target {
	table, key, _ := strings.Cut(name, ".")
	if v := fieldByTag(fieldByTag(reflect.ValueOf(&t).Elem(), table), key); v.IsValid() && v.Kind() == reflect.Float64 {
		v.SetFloat(v.Float() * 0.98)
	}
	return t
}

// fieldByTag returns the field of a struct with the given name in files; an invalid value if there is none.
func fieldByTag(v reflect.Value, name string) reflect.Value {
	if v.IsValid() && v.Kind() == reflect.Struct {
		for i := range v.NumField() {
			if v.Type().Field(i).Tag.Get("toml") == name {
				return v.Field(i)
			}
		}
	}
	return reflect.Value{}
}

// end returns where the row ends: at the first of its limits.
func (w row) end(t Target, slopes map[string]Slope) End {
	if w.place == "" {
		none := 0.0
		return End{Share: &none, NoMechanism: true, Limit: "no mechanism"}
	}
	var e End
	for _, b := range w.limits {
		amount := b.amount
		if amount == nil {
			amount = w.figure
		}
		bound := b.value(t)
		share, beyond, ok := findEnd(func(share float64) float64 { return amount(t.Scaled(w.axis, share), &slopeReader{slopes: slopes}) }, bound)
		switch {
		case !ok:
			e.UpperBound = true
		case e.Share == nil || share < *e.Share:
			e.Share, e.BeyondSearch, e.Cause, e.Limit = &share, beyond, b.cause, b.description
		}
	}
	if e.Share == nil {
		e.UpperBound = false // nothing is known of its end
	}
	return e
}

const (
	minSearch, maxSearch = 1e-7, 1e4 // as shares of the target
)

// findEnd returns the smallest share at which the amount exceeds the bound; beyond is true if it does not up
// to maxSearch. It is not ok if the amount is unknown.
func findEnd(amount func(share float64) float64, bound float64) (share float64, beyond, ok bool) {
	if math.IsNaN(amount(1)) {
		return 0, false, false
	}
	low := 0.0
	for high := minSearch; ; high = min(high*1.5, maxSearch) { // the amount may rise and fall: look for the first crossing
		if !(amount(high) > bound) {
			if low = high; high >= maxSearch {
				return maxSearch, true, true
			}
			continue
		}
		if low == 0 {
			return 0, false, true // it exceeds the bound even at 0
		}
		for range 60 {
			mid := (low + high) / 2
			if amount(mid) > bound {
				high = mid
			} else {
				low = mid
			}
		}
		return low, false, true
	}
}

// currentLines returns the lines that count for each row: the one with ownership if that is built and
// measured, else the one without.
func currentLines(lines []Line) []Line {
	var all []Line
	for _, l := range lines {
		if l.WithOwnership {
			if l.Mechanism != "missing" && l.Provenance.Source != Missing {
				all[len(all)-1] = l
			}
			continue
		}
		all = append(all, l)
	}
	return all
}

// roadmap orders the missing mechanisms: first the one with the waiting row that ends at the smallest share
// of the target; among those that are equally near, the one with the most waiting rows; never one before a
// mechanism it needs.
func roadmap(lines []Line) []Step {
	var all []Step
	for _, m := range mechanisms {
		if m.Built {
			continue
		}
		m.Needs = slices.DeleteFunc(slices.Clone(m.Needs), isBuilt)
		s := Step{Mechanism: m, Rows: []string{}, Unknown: []string{}, MinShare: math.MaxFloat64}
		for _, l := range currentLines(lines) {
			if l.OwnCost || !slices.ContainsFunc(l.WaitsFor, func(name string) bool { return name == m.Name || dependsOn(name, m.Name) }) {
				continue
			}
			switch {
			case l.End.Share == nil && l.HasLimit:
				s.Unknown = append(s.Unknown, l.ID)
			case l.End.Share != nil && *l.End.Share < 1:
				s.Rows = append(s.Rows, l.ID)
				s.MinShare = min(s.MinShare, *l.End.Share)
				if *l.End.Share < NearShare {
					s.NearRows++
				}
			}
		}
		if len(s.Rows) == 0 {
			s.MinShare = 1
		}
		all = append(all, s)
	}
	near := func(s Step) float64 {
		if s.MinShare < NearShare {
			return 0
		}
		return s.MinShare
	}
	slices.SortStableFunc(all, func(a, b Step) int {
		return cmp.Or(cmp.Compare(near(a), near(b)), -cmp.Compare(len(a.Rows), len(b.Rows)), -cmp.Compare(len(a.Unknown), len(b.Unknown)))
	})
	var sorted []Step // each after those that it needs
	var put func(s Step)
	put = func(s Step) {
		if slices.ContainsFunc(sorted, func(o Step) bool { return o.Name == s.Name }) {
			return
		}
		for _, name := range s.Needs {
			if i := slices.IndexFunc(all, func(o Step) bool { return o.Name == name }); i >= 0 {
				put(all[i])
			}
		}
		sorted = append(sorted, s)
	}
	for _, s := range all {
		put(s)
	}
	return sorted
}

func isBuilt(name string) bool {
	return slices.ContainsFunc(mechanisms, func(m Mechanism) bool { return m.Name == name && m.Built })
}

// dependsOn reports whether one mechanism needs another, also indirectly.
func dependsOn(name, other string) bool {
	for _, m := range mechanisms {
		if m.Name == name {
			return slices.ContainsFunc(m.Needs, func(n string) bool { return n == other || dependsOn(n, other) })
		}
	}
	return false
}
