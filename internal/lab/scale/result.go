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

// Result is what came of a run. It holds no path of the machine that it ran on, but for what a failed play may have said.
type Result struct {
	Name   string             `json:"name"`
	About  string             `json:"about,omitempty"`
	Axis   string             `json:"axis"`
	Grows  string             `json:"grows"` // what the axis is, in words
	Per    string             `json:"per"`   // unit of x
	Set    map[string]float64 `json:"set,omitempty"`
	Plays  int                `json:"plays"` // of each point
	Seed   uint64             `json:"seed"`
	File   string             `json:"file"` // SHA-256 of its text
	Build  Build              `json:"build"`
	Began  time.Time          `json:"began"`
	Played float64            `json:"played_s"` // all plays together
	Cores  int                `json:"cores"`    // of the machine

	Points  []Point  `json:"points"`
	Fits    []Fit    `json:"fits"`
	Ends    []End    `json:"ends,omitempty"` // points where today's program ended
	Failed  int      `json:"failed"`         // plays that went wrong themselves
	Spoilt  int      `json:"spoilt"`         // plays that the machine spoilt
	Expects []Kept   `json:"expected,omitempty"`
	Kept    bool     `json:"kept"` // no play failed, and all that was expected was kept
	Records []Record `json:"plays_of_points"`
}

// Point is what the plays of one point read, without those that aren't fitted.
type Point struct {
	X       float64           `json:"x"`
	Plays   int               `json:"plays"` // that are fitted
	Figures map[string]Figure `json:"figures"`
}

// Figure is one figure at one point.
type Figure struct {
	Plays  int     `json:"plays"`
	Median float64 `json:"median"`
	Least  float64 `json:"least"`
	Most   float64 `json:"most"`
}

// Fit is what came of one figure.
type Fit struct {
	ID    string          `json:"id"`
	What  string          `json:"what"`
	Unit  string          `json:"unit"`
	Exact bool            `json:"exact"` // hangs on no machine's speed
	Slope *capacity.Slope `json:"slope,omitempty"`
	Why   []string        `json:"why,omitempty"` // what spoke against simpler forms; why there is no slope
}

// End is a point at which today's program ended, with the reasons that the plays gave.
type End struct {
	X       float64  `json:"x"`
	Reasons []string `json:"reasons"`
}

// Kept is one thing that was expected, and what came.
type Kept struct {
	What string `json:"what"`
	Got  string `json:"got"`
	Kept bool   `json:"kept"`
}

// result fits a run's records.
func result(f File, h head, records []Record) *Result {
	res := &Result{
		Name: f.Name, About: f.About, Axis: f.Axis.Name, Grows: f.Axis.About, Per: f.Axis.Per, Set: f.Set, Plays: f.Plays, Seed: f.Seed, File: f.Hash,
		Build: h.Build, Began: h.Began, Cores: runtime.NumCPU(), Records: sorted(records),
	}
	for _, k := range res.Records {
		res.Played += k.Took
		if k.Failed != "" {
			res.Failed++
		} else if len(k.Spoilt()) > 0 {
			res.Spoilt++
		}
	}
	res.Played = math.Round(10*res.Played) / 10
	for _, x := range f.Points {
		res.point(x)
	}
	for _, m := range f.Axis.Measures {
		fit := Fit{ID: m.ID, What: m.What, Unit: m.Unit, Exact: m.Exact}
		var samples []sample
		for _, x := range f.Points {
			if ys := res.values(m.ID, x); len(ys) >= leastPlays {
				samples = append(samples, sample{x, ys})
			}
		}
		if fd, err := fitSamples(samples); err != nil {
			fit.Why = []string{err.Error()}
		} else {
			fewest := math.MaxInt
			for _, s := range samples {
				fewest = min(fewest, len(s.ys))
			}
			fit.Why = fd.why
			fit.Slope = &capacity.Slope{
				ID: m.ID, Description: m.What, XUnit: f.Axis.Per, Unit: m.Unit, Form: forms[fd.order], Intercept: fd.c[0], LinearCoef: fd.c[1], QuadraticCoef: fd.c[2],
				StdErr: fd.errors[fd.order], From: samples[0].x, To: samples[len(samples)-1].x, Points: len(samples), Repeats: fewest, MaxResidual: fd.worst,
				Commit: h.Build.Commit,
			}
		}
		res.Fits = append(res.Fits, fit)
	}
	res.Kept = res.Failed == 0
	for _, e := range f.Expect {
		for _, x := range f.Points {
			if e.At == nil || *e.At == x {
				res.expect(e, x, f.Plays)
			}
		}
	}
	return res
}

// values are the figures of one point that are fitted.
func (res *Result) values(id string, x float64) (ys []float64) {
	for _, k := range res.Records {
		if y, ok := k.Reading.Values[id]; ok && k.X == x && k.counts() {
			ys = append(ys, y)
		}
	}
	return ys
}

func (res *Result) point(x float64) {
	p := Point{X: x, Figures: map[string]Figure{}}
	var reasons []string
	ids := map[string]bool{}
	for _, k := range res.Records {
		if k.X != x {
			continue
		}
		for _, why := range k.Reading.Ended() {
			if !slices.Contains(reasons, why) {
				reasons = append(reasons, why)
			}
		}
		if k.counts() {
			p.Plays++
			for id := range k.Reading.Values {
				ids[id] = true
			}
		}
	}
	for id := range ids {
		ys := res.values(id, x)
		p.Figures[id] = Figure{len(ys), median(ys), slices.Min(ys), slices.Max(ys)}
	}
	res.Points = append(res.Points, p)
	if len(reasons) > 0 {
		res.Ends = append(res.Ends, End{x, reasons})
	}
}

// expect holds each play of a point to a bound. That the machine was busy excuses nothing: the figure doesn't hang on it.
func (res *Result) expect(e Expect, x float64, plays int) {
	e.At = &x
	kept := Kept{What: e.String(), Kept: true}
	n := 0
	var got []float64
	for _, k := range res.Records {
		y, ok := k.Reading.Values[e.ID]
		if k.X != x || !ok {
			continue
		}
		n++
		got = append(got, y)
		if e.Least != nil && y < *e.Least || e.Most != nil && y > *e.Most {
			kept.Kept = false
		}
	}
	switch {
	case n < plays:
		kept.Kept, kept.Got = false, fmt.Sprintf("read in %d of %d plays", n, plays)
	case slices.Min(got) == slices.Max(got):
		kept.Got = number(got[0])
	default:
		kept.Got = number(slices.Min(got)) + " to " + number(slices.Max(got))
	}
	res.Expects = append(res.Expects, kept)
	res.Kept = res.Kept && kept.Kept
}

// Files of a result in its folder.
func (res *Result) Files() (table, page, plots string) {
	return res.Name + ".json", res.Name + ".md", res.Name + ".svg"
}

// Write writes the result's three files into a folder, which it makes if need be.
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
	err = errors.Join(writeWhole(filepath.Join(dir, table), append(raw, '\n')), writeWhole(filepath.Join(dir, page), []byte(res.page())),
		writeWhole(filepath.Join(dir, plots), svg))
	if err != nil {
		return fmt.Errorf("results: %w", err)
	}
	return nil
}

// number writes a figure with four digits or, if it is whole, with all of them.
func number(v float64) string {
	if v == math.Trunc(v) && math.Abs(v) < 1e15 {
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	return strconv.FormatFloat(v, 'g', 4, 64)
}
