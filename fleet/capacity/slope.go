package capacity

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"starlingusher/fleet/tomlfile"
)

// Unit is the unit of a figure.
type Unit = string

const (
	Bytes     Unit = "B"
	BytesPerS Unit = "B/s"
	Seconds   Unit = "s"
	Cores     Unit = "s/s" // processor time per second
	Count     Unit = "count"
	CountPerS Unit = "count/s"
)

// Form is the shape of a slope.
type Form = string

const (
	Constant  Form = "constant"
	Linear    Form = "linear"
	Quadratic Form = "quadratic"
)

// Slope is the result of a scale run: how one figure, y, grows with x.
type Slope struct {
	ID            string  `toml:"id" json:"id"`
	Description   string  `toml:"what" json:"what"`
	XUnit         string  `toml:"per" json:"per"`   // unit of x
	Unit          Unit    `toml:"unit" json:"unit"` // unit of y
	Form          Form    `toml:"form" json:"form"`
	Intercept     float64 `toml:"at0" json:"at0"`
	LinearCoef    float64 `toml:"slope" json:"slope"`   // 0 if constant
	QuadraticCoef float64 `toml:"square" json:"square"` // 0 unless quadratic
	StdErr        float64 `toml:"spread" json:"spread"` // standard error of the leading coefficient
	From          float64 `toml:"from" json:"from"`     // measured range of x
	To            float64 `toml:"to" json:"to"`
	Points        int     `toml:"points" json:"points"`
	Repeats       int     `toml:"plays" json:"plays"`   // at each point
	MaxResidual   float64 `toml:"worst" json:"worst"`   // largest relative residual, or the prediction error at a point that was left out of the fit
	Run           string  `toml:"run" json:"run"`       // committed table with the measurements
	Commit        string  `toml:"commit" json:"commit"` // commit of the measured build
}

// ValueAt returns y at x, also outside the measured range.
func (s Slope) ValueAt(x float64) float64 { return s.Intercept + s.LinearCoef*x + s.QuadraticCoef*x*x }

// OutsideRange returns how many times x is above the measured range, and how many times below it; 1 if it is
// not.
func (s Slope) OutsideRange(x float64) (above, below float64) {
	above, below = 1, 1
	switch {
	case x > s.To:
		above = x / s.To
	case x < s.From && x > 0:
		below = s.From / x
	}
	return above, below
}

// plusStdErr returns the slope with its leading coefficient increased by its standard error.
func (s Slope) plusStdErr() Slope {
	switch s.Form {
	case Constant:
		s.Intercept += s.StdErr
	case Linear:
		s.LinearCoef += s.StdErr
	case Quadratic:
		s.QuadraticCoef += s.StdErr
	}
	return s
}

// units holds the units of the slopes that rows use. A file may contain others.
var units = map[string]Unit{
	"node.destinations.heap": Bytes, "node.destinations.rss": Bytes, "node.list.bytes": Bytes, "node.list.step": Seconds,
	"node.change.step": Seconds, "directory.destinations.rss": Bytes,
	"directory.nodes.rss": Bytes, "directory.nodes.cpu": Cores, "node.watch.bytes": BytesPerS, "directory.change.last": Seconds,
	"node.idle.cpu": Cores, "node.idle.heap": Bytes,
	"node.change.bytes": BytesPerS, "node.change.cpu": Cores, "directory.change.cpu": Cores,
	"module.held.step": Seconds, "module.held.heap": Bytes, "journal.held.rss": Bytes, "journal.held.file": Bytes, "journal.start": Seconds,
	"journal.stall": Seconds, "journal.start.rss": Bytes, "node.empty.step": Seconds,
	"node.down.probes": CountPerS, "node.down.cpu": Cores, "node.down.step": Seconds, "node.down.heap": Bytes,
	"together.ready": Seconds, "together.refused": Count, "directory.together.cpu": Seconds,
	"directory.failover": Seconds, "directory.follow.rss": Bytes, "directory.follow.cpu": Cores, "directory.follow.last": Seconds,
	"operator.list.cpu": Seconds, "operator.list.rss": Bytes, "operator.list.time": Seconds,
	"owned.destinations.heap": Bytes, "owned.list.bytes": Bytes, "owned.list.step": Seconds, "owned.change.step": Seconds, "owned.empty.step": Seconds,
	"owned.change.bytes": Bytes, "directory.owned.rss": Bytes,
}

var wellFormedID = regexp.MustCompile(`^[a-z0-9]+(\.[a-z0-9]+)*$`)

type slopeFile struct {
	Slopes []Slope `toml:"slope"`
}

// ParseSlopes parses a file of slopes; an empty file is valid. Its errors are of type *Error, all of them
// joined.
func ParseSlopes(text []byte) ([]Slope, error) {
	var f slopeFile
	if err := tomlfile.Decode(text, &f, unknownSetting); err != nil {
		return nil, err
	}
	lines := tomlfile.KeyLines(text)
	var errs []error
	seen := map[string]bool{}
	for i, s := range f.Slopes {
		table := fmt.Sprintf("slope[%d]", i)
		err := s.check(func(name, format string, args ...any) error {
			line := lines[table+"."+name]
			if line == 0 {
				line = lines[table]
			}
			return &Error{Line: line, Message: fmt.Sprintf("slope %q: ", s.ID) + fmt.Sprintf(format, args...)}
		})
		errs = append(errs, err)
		if seen[s.ID] {
			errs = append(errs, &Error{Line: lines[table+".id"], Message: fmt.Sprintf("duplicate slope %q", s.ID)})
		}
		seen[s.ID] = true
	}
	return f.Slopes, errors.Join(errs...)
}

// check returns all errors of a slope, joined; newError makes an error of a setting's name and a text.
func (s Slope) check(newError func(name, format string, args ...any) error) error {
	var errs []error
	failIf := func(is bool, name, format string, args ...any) {
		if is {
			errs = append(errs, newError(name, format, args...))
		}
	}
	finite := func(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }
	failIf(!wellFormedID.MatchString(s.ID), "id", "id must be lower-case words with dots between them")
	failIf(s.Description == "", "what", "what is missing")
	failIf(s.XUnit == "", "per", "per is missing: the unit of x")
	failIf(!slices.Contains([]Unit{Bytes, BytesPerS, Seconds, Cores, Count, CountPerS}, s.Unit), "unit",
		"unit %q is none of B, B/s, s, s/s, count, count/s", s.Unit)
	want, known := units[s.ID]
	failIf(known && s.Unit != want, "unit", "unit must be %s, is %q", want, s.Unit)
	failIf(!slices.Contains([]Form{Constant, Linear, Quadratic}, s.Form), "form", "form %q is none of constant, linear, quadratic", s.Form)
	failIf(s.Form == Constant && s.LinearCoef != 0, "slope", "slope must be 0 if the form is constant")
	failIf(s.Form != Quadratic && s.QuadraticCoef != 0, "square", "square must be 0 unless the form is quadratic")
	for _, c := range []struct {
		name string
		v    float64
	}{{"at0", s.Intercept}, {"slope", s.LinearCoef}, {"square", s.QuadraticCoef}} {
		failIf(!finite(c.v), c.name, "%s is not a finite number", c.name)
	}
	failIf(!(s.StdErr >= 0) || !finite(s.StdErr), "spread", "spread must be 0 or more")
	failIf(!(s.MaxResidual >= 0) || !finite(s.MaxResidual), "worst", "worst must be 0 or more")
	failIf(!(s.From >= 0) || !(s.To > s.From) || !finite(s.To), "to", "the measured range from %v to %v is empty or reversed", s.From, s.To)
	failIf(s.Points < 1, "points", "points must be 1 or more")
	failIf(s.Repeats < 1, "plays", "plays must be 1 or more")
	failIf(s.Run == "", "run", "run is missing: the committed table with the measurements")
	failIf(s.Commit == "", "commit", "commit is missing: the measured build")
	return errors.Join(errs...)
}

const slopesHead = "# Slopes that scale runs have measured, sorted by id; written by `cottonrack lab scale FILE --slopes FILE`, not by hand.\n# What they mean for a fleet: `cottonrack capacity`, docs/CAPACITY.md.\n"

// FormatSlopes returns a file of slopes, sorted by id.
func FormatSlopes(all []Slope) ([]byte, error) {
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b Slope) int { return cmp.Compare(a.ID, b.ID) })
	var b bytes.Buffer
	b.WriteString(slopesHead)
	if len(sorted) == 0 {
		return b.Bytes(), nil
	}
	b.WriteString("\n")
	if err := toml.NewEncoder(&b).Encode(slopeFile{sorted}); err != nil {
		return nil, fmt.Errorf("encode slopes: %w", err)
	}
	return b.Bytes(), nil
}

// MergeSlopes returns the slopes of both lists, sorted by id; of two with the same id it keeps the measured
// one.
func MergeSlopes(before, measured []Slope) []Slope {
	byID := map[string]Slope{}
	for _, s := range slices.Concat(before, measured) {
		byID[s.ID] = s
	}
	var all []Slope
	for _, s := range byID {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Slope) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
