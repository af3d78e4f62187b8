package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"time"

	"starlingusher/fleet/capacity"
)

// Result is the outcome of a scale run. It holds no path of the machine, except where the error text of a
// failed play has one.
type Result struct {
	Name            string             `json:"name"`
	Description     string             `json:"about,omitempty"`
	Axis            string             `json:"axis"`
	AxisDescription string             `json:"grows"` // what the axis grows
	XUnit           string             `json:"per"`   // unit of x
	Settings        map[string]float64 `json:"set,omitempty"`
	Plays           int                `json:"plays"` // plays of each point
	Seed            uint64             `json:"seed"`
	FileHash        string             `json:"file"` // SHA-256 of the run file's text
	Build           Build              `json:"build"`
	StartedAt       time.Time          `json:"began"`
	PlaySeconds     float64            `json:"played_s"` // of all plays together
	Cores           int                `json:"cores"`    // of the machine

	Points       []Point             `json:"points"`
	Fits         []Fit               `json:"fits"`
	Limits       []ReachedLimit      `json:"ends,omitempty"` // points past which today's program can't go
	Failed       int                 `json:"failed"`         // number of plays that failed
	Invalid      int                 `json:"spoilt"`         // number of plays that the machine or other programs disturbed
	Expectations []ExpectationResult `json:"expected,omitempty"`
	Passed       bool                `json:"kept"` // no play failed, and each expectation was met
	Records      []Record            `json:"plays_of_points"`
}

// Point summarizes the plays of one point that are fitted.
type Point struct {
	X       float64           `json:"x"`
	Plays   int               `json:"plays"` // number of fitted plays
	Figures map[string]Figure `json:"figures"`
}

// Figure summarizes one figure at one point.
type Figure struct {
	Plays  int     `json:"plays"`
	Median float64 `json:"median"`
	Min    float64 `json:"least"`
	Max    float64 `json:"most"`
}

// Fit is what was found of one figure over all points.
type Fit struct {
	ID          string          `json:"id"`
	Description string          `json:"what"`
	Unit        string          `json:"unit"`
	Exact       bool            `json:"exact"` // does not depend on the machine's speed
	Slope       *capacity.Slope `json:"slope,omitempty"`
	Reasons     []string        `json:"why,omitempty"` // why simpler forms were rejected, or why there is no slope
}

// ReachedLimit is a point past which today's program can't go, with the reasons that the plays gave.
type ReachedLimit struct {
	X       float64  `json:"x"`
	Reasons []string `json:"reasons"`
}

// ExpectationResult is an expectation at one point, and what was read.
type ExpectationResult struct {
	Expected string `json:"what"`
	Got      string `json:"got"`
	Met      bool   `json:"kept"`
}

// newResult summarizes and fits a run's records.
func newResult(f RunFile, h runHeader, records []Record) *Result {
	res := &Result{
		Name: f.Name, Description: f.Description, Axis: f.Axis.Name, AxisDescription: f.Axis.Description, XUnit: f.Axis.XUnit, Settings: f.Settings, Plays: f.Plays, Seed: f.Seed, FileHash: f.Hash,
		Build: h.Build, StartedAt: h.StartedAt, Cores: runtime.NumCPU(), Records: sortedRecords(records),
	}
	for _, rec := range res.Records {
		res.PlaySeconds += rec.TookSeconds
		if rec.Failure != "" {
			res.Failed++
		} else if len(rec.InvalidReasons()) > 0 {
			res.Invalid++
		}
	}
	res.PlaySeconds = math.Round(10*res.PlaySeconds) / 10
	for _, x := range f.Points {
		res.addPoint(x)
	}
	for _, m := range f.Axis.Measures {
		fit := Fit{ID: m.ID, Description: m.Description, Unit: m.Unit, Exact: m.Exact}
		var samples []sample
		for _, x := range f.Points {
			if ys := res.fittedValues(m.ID, x); len(ys) >= minPlaysToFit {
				samples = append(samples, sample{x, ys})
			}
		}
		if fitted, err := fitSamples(samples); err != nil {
			fit.Reasons = []string{err.Error()}
		} else {
			minPlays := math.MaxInt
			for _, s := range samples {
				minPlays = min(minPlays, len(s.values))
			}
			fit.Reasons = fitted.reasons
			fit.Slope = &capacity.Slope{
				ID: m.ID, Description: m.Description, XUnit: f.Axis.XUnit, Unit: m.Unit, Form: forms[fitted.degree], Intercept: fitted.coefs[0], LinearCoef: fitted.coefs[1], QuadraticCoef: fitted.coefs[2],
				StdErr: fitted.stdErrors[fitted.degree], From: samples[0].x, To: samples[len(samples)-1].x, Points: len(samples), Repeats: minPlays, MaxResidual: fitted.maxResidual,
				Commit: h.Build.Commit,
			}
		}
		res.Fits = append(res.Fits, fit)
	}
	res.Passed = res.Failed == 0
	for _, e := range f.Expectations {
		for _, x := range f.Points {
			if e.X == nil || *e.X == x {
				res.checkExpectation(e, x, f.Plays)
			}
		}
	}
	return res
}

// fittedValues returns the values of a figure at one point, of the plays that are fitted.
func (res *Result) fittedValues(id string, x float64) (ys []float64) {
	for _, rec := range res.Records {
		if y, ok := rec.Reading.Values[id]; ok && rec.X == x && rec.isFitted() {
			ys = append(ys, y)
		}
	}
	return ys
}

func (res *Result) addPoint(x float64) {
	p := Point{X: x, Figures: map[string]Figure{}}
	var reasons []string
	ids := map[string]bool{}
	for _, rec := range res.Records {
		if rec.X != x {
			continue
		}
		for _, reason := range rec.Reading.Limits() {
			if !slices.Contains(reasons, reason) {
				reasons = append(reasons, reason)
			}
		}
		if rec.isFitted() {
			p.Plays++
			for id := range rec.Reading.Values {
				ids[id] = true
			}
		}
	}
	for id := range ids {
		ys := res.fittedValues(id, x)
		p.Figures[id] = Figure{len(ys), median(ys), slices.Min(ys), slices.Max(ys)}
	}
	res.Points = append(res.Points, p)
	if len(reasons) > 0 {
		res.Limits = append(res.Limits, ReachedLimit{x, reasons})
	}
}

// checkExpectation checks an expectation at one point against each of its plays, also the invalid ones: an
// exact figure does not depend on the load of the machine.
func (res *Result) checkExpectation(e Expectation, x float64, plays int) {
	e.X = &x
	result := ExpectationResult{Expected: e.String(), Met: true}
	n := 0
	var got []float64
	for _, rec := range res.Records {
		y, ok := rec.Reading.Values[e.ID]
		if rec.X != x || !ok {
			continue
		}
		n++
		got = append(got, y)
		if e.Min != nil && y < *e.Min || e.Max != nil && y > *e.Max {
			result.Met = false
		}
	}
	switch {
	case n < plays:
		result.Met, result.Got = false, fmt.Sprintf("read in %d of %d plays", n, plays)
	case slices.Min(got) == slices.Max(got):
		result.Got = formatNumber(got[0])
	default:
		result.Got = formatNumber(slices.Min(got)) + " to " + formatNumber(slices.Max(got))
	}
	res.Expectations = append(res.Expectations, result)
	res.Passed = res.Passed && result.Met
}

// Files returns the names of the result's files in its folder.
func (res *Result) Files() (table, page, plots string) {
	return res.Name + ".json", res.Name + ".md", res.Name + ".svg"
}

// Write writes the result's three files into a folder, and makes the folder if it does not exist.
func (res *Result) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	raw, err := json.MarshalIndent(res, "", " ")
	if err != nil {
		return fmt.Errorf("results: %w", err)
	}
	svg, err := res.plots()
	if err != nil {
		return err
	}
	table, page, plots := res.Files()
	err = errors.Join(writeFileAtomically(filepath.Join(dir, table), append(raw, '\n')), writeFileAtomically(filepath.Join(dir, page), []byte(res.markdown())),
		writeFileAtomically(filepath.Join(dir, plots), svg))
	if err != nil {
		return fmt.Errorf("results: %w", err)
	}
	return nil
}

// formatNumber returns a whole number with all its digits, and any other with four.
func formatNumber(v float64) string {
	if v == math.Trunc(v) && math.Abs(v) < 1e15 {
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	return strconv.FormatFloat(v, 'g', 4, 64)
}
