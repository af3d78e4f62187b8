package scale

import (
	"bytes"
	"fmt"
	"image/color"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// markdown returns the result as a page of Markdown.
func (res *Result) markdown() string {
	var b strings.Builder
	table, _, plots := res.Files()
	fmt.Fprintf(&b, "# Scale run: %s\n\n%s\n\nThe axis `%s`: %s.\n\n", res.Name, res.Description, res.Axis, strings.TrimSuffix(res.AxisDescription, "."))
	fmt.Fprintf(&b, "Written by `cottonrack lab scale`; all plays are in `%s`. Build %s, started %s, %d cores, %d plays per point, seeds from %d, %v of play time.\n",
		table, res.Build, res.StartedAt.Format(time.RFC3339), res.Cores, res.Plays, res.Seed, roundSeconds(res.PlaySeconds))
	if len(res.Settings) > 0 {
		b.WriteString("\nSettings:")
		for i, name := range slices.Sorted(maps.Keys(res.Settings)) {
			if i > 0 {
				b.WriteString(",")
			}
			fmt.Fprintf(&b, " %s %s", name, formatNumber(res.Settings[name]))
		}
		b.WriteString(".\n")
	}
	fmt.Fprintf(&b, "\n![each figure by %s](%s)\n\n## Points\n\nMedian, with the range of the plays in parentheses. Plays that failed, are invalid or reached a limit are left out.\n\n", res.XUnit, plots)
	b.WriteString("| figure | unit |")
	for _, p := range res.Points {
		fmt.Fprintf(&b, " %s |", formatNumber(p.X))
	}
	b.WriteString("\n|" + strings.Repeat(" --- |", 2+len(res.Points)) + "\n| plays | |")
	for _, p := range res.Points {
		fmt.Fprintf(&b, " %d |", p.Plays)
	}
	b.WriteString("\n")
	for _, f := range res.Fits {
		fmt.Fprintf(&b, "| `%s` | %s |", f.ID, f.Unit)
		for _, p := range res.Points {
			b.WriteString(" " + p.Figures[f.ID].String() + " |")
		}
		b.WriteString("\n")
	}
	b.WriteString("\n## Slopes\n\ny = at 0 + slope x + square x²; the spread is the standard error of the last coefficient, from the scatter of the plays.\n\n")
	b.WriteString("| figure | what | form | at 0 | slope | square | spread | from | to | points | worst |\n|" + strings.Repeat(" --- |", 11) + "\n")
	for _, f := range res.Fits {
		if s := f.Slope; s != nil {
			fmt.Fprintf(&b, "| `%s` | %s, %s by %s | %s | %.4g | %.4g | %.4g | %.2g | %s | %s | %d | %.1f%% |\n", f.ID, f.Description, f.Unit, s.XUnit, s.Form, s.Intercept, s.LinearCoef,
				s.QuadraticCoef, s.StdErr, formatNumber(s.From), formatNumber(s.To), s.Points, 100*s.MaxResidual)
		} else {
			fmt.Fprintf(&b, "| `%s` | %s, %s by %s | none |%s\n", f.ID, f.Description, f.Unit, res.XUnit, strings.Repeat(" |", 8))
		}
	}
	if slices.ContainsFunc(res.Fits, func(f Fit) bool { return len(f.Reasons) > 0 }) {
		b.WriteString("\nWhy these forms and no simpler ones, or why there is none:\n\n")
		for _, f := range res.Fits {
			if len(f.Reasons) > 0 {
				fmt.Fprintf(&b, "- `%s`: %s\n", f.ID, strings.Join(f.Reasons, "; "))
			}
		}
	}
	if len(res.Limits) > 0 {
		b.WriteString("\n## Limits of today's program\n\nNot fitted.\n\n")
		for _, e := range res.Limits {
			fmt.Fprintf(&b, "- at %s: %s\n", formatNumber(e.X), strings.Join(e.Reasons, "; "))
		}
	}
	if len(res.Expectations) > 0 {
		b.WriteString("\n## Expected\n\n| expected | got | |\n| --- | --- | --- |\n")
		for _, e := range res.Expectations {
			fmt.Fprintf(&b, "| %s | %s | %s |\n", e.Expected, e.Got, map[bool]string{true: "met", false: "**not met**"}[e.Met])
		}
	}
	res.writeLists(&b)
	return b.String()
}

// writeLists writes what is not a figure: the plays that were not fitted, the notes, and the counts.
func (res *Result) writeLists(b *strings.Builder) {
	var notFitted, notes []string
	counts := map[string]map[float64][]float64{}
	for _, rec := range res.Records {
		prefix := fmt.Sprintf("at %s, play %d: ", formatNumber(rec.X), rec.Play)
		if rec.Failure != "" {
			notFitted = append(notFitted, prefix+"failed: "+rec.Failure)
		}
		for _, reason := range rec.InvalidReasons() {
			notFitted = append(notFitted, prefix+"invalid: "+reason)
		}
		for _, n := range rec.Reading.Notes {
			if n = "at " + formatNumber(rec.X) + ": " + n; !slices.Contains(notes, n) {
				notes = append(notes, n)
			}
		}
		for name, v := range rec.Reading.Counts {
			if counts[name] == nil {
				counts[name] = map[float64][]float64{}
			}
			counts[name][rec.X] = append(counts[name][rec.X], v)
		}
	}
	writeList := func(title string, lines []string) {
		if len(lines) == 0 {
			return
		}
		fmt.Fprintf(b, "\n## %s\n\n", title)
		for _, l := range lines {
			fmt.Fprintf(b, "- %s\n", strings.ReplaceAll(l, "\n", " "))
		}
	}
	writeList("Not fitted", notFitted)
	writeList("Notes", notes)
	if len(counts) == 0 {
		return
	}
	b.WriteString("\n## Counts\n\nMedian of all plays.\n\n| |")
	for _, p := range res.Points {
		fmt.Fprintf(b, " %s |", formatNumber(p.X))
	}
	b.WriteString("\n|" + strings.Repeat(" --- |", 1+len(res.Points)) + "\n")
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(b, "| %s |", name)
		for _, p := range res.Points {
			if v := counts[name][p.X]; len(v) > 0 {
				fmt.Fprintf(b, " %s |", formatNumber(median(v)))
			} else {
				b.WriteString(" |")
			}
		}
		b.WriteString("\n")
	}
}

// String returns the median with the range, if there is one; it is empty if there is no value.
func (f Figure) String() string {
	switch {
	case f.Plays == 0:
		return ""
	case f.Min == f.Max:
		return formatNumber(f.Median)
	}
	return fmt.Sprintf("%.4g (%.4g to %.4g)", f.Median, f.Min, f.Max)
}

func (b Build) String() string {
	if b.Commit == "" {
		return "unknown"
	}
	return b.Commit
}

func roundSeconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second)).Round(time.Second / 10)
}

// Layout of the plots.
const (
	plotColumns   = 2
	plotWidth     = 12 * vg.Centimeter
	plotHeight    = 8 * vg.Centimeter
	logScaleRatio = 20 // axes are logarithmic where the last x is more than this many times the first
)

var (
	dotColor  = color.RGBA{R: 0x1f, G: 0x4e, B: 0x9c, A: 0xff}
	lineColor = color.RGBA{R: 0xc0, G: 0x40, B: 0x20, A: 0xff}
)

// plots draws each figure as SVG: a dot for each fitted play, and the slope's curve.
func (res *Result) plots() ([]byte, error) {
	var plots []*plot.Plot
	for _, f := range res.Fits {
		p, err := res.plot(f)
		if err != nil {
			return nil, fmt.Errorf("plot of %s: %w", f.ID, err)
		}
		plots = append(plots, p)
	}
	rows := max(1, (len(plots)+plotColumns-1)/plotColumns)
	canvas := vgsvg.New(plotColumns*plotWidth, vg.Length(rows)*plotHeight)
	dc := draw.New(canvas)
	tiles := draw.Tiles{Rows: rows, Cols: plotColumns, PadX: 5 * vg.Millimeter, PadY: 5 * vg.Millimeter, PadRight: 3 * vg.Millimeter, PadTop: 2 * vg.Millimeter}
	for i, p := range plots {
		p.Draw(tiles.At(dc, i%plotColumns, i/plotColumns))
	}
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return nil, fmt.Errorf("plot: %w", err)
	}
	return b.Bytes(), nil
}

func (res *Result) plot(f Fit) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = f.ID
	p.X.Label.Text, p.Y.Label.Text = res.XUnit, f.Unit
	var dots plotter.XYs
	for _, pt := range res.Points {
		for _, y := range res.fittedValues(f.ID, pt.X) {
			dots = append(dots, plotter.XY{X: pt.X, Y: y})
		}
	}
	if len(dots) == 0 {
		p.Title.Text += " (no values)"
		return p, nil
	}
	first, last := dots[0].X, dots[len(dots)-1].X
	logScale := first > 0 && last/first > logScaleRatio && !slices.ContainsFunc(dots, func(d plotter.XY) bool { return d.Y <= 0 })
	scatter, err := plotter.NewScatter(dots)
	if err != nil {
		return nil, err
	}
	scatter.GlyphStyle = draw.GlyphStyle{Color: dotColor, Radius: vg.Points(2.5), Shape: draw.CircleGlyph{}}
	if s := f.Slope; s != nil {
		p.Title.Text += ", " + s.Form
		var line plotter.XYs
		const steps = 60
		for i := range steps + 1 {
			share := float64(i) / steps
			x := s.From + share*(s.To-s.From)
			if logScale {
				x = s.From * math.Pow(s.To/s.From, share)
			}
			if y := s.ValueAt(x); !logScale || y > 0 {
				line = append(line, plotter.XY{X: x, Y: y})
			}
		}
		if len(line) > 1 {
			l, err := plotter.NewLine(line)
			if err != nil {
				return nil, err
			}
			l.Color = lineColor
			p.Add(l)
		}
	}
	p.Add(scatter)
	if !logScale {
		p.Y.Min = min(0, p.Y.Min)
		if p.Y.Max <= p.Y.Min {
			p.Y.Max = p.Y.Min + 1
		}
		return p, nil
	}
	if p.Y.Max < 2*p.Y.Min { // keep a constant figure from filling the whole height with its scatter
		p.Y.Min, p.Y.Max = p.Y.Min/3, 3*p.Y.Max
	}
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	return p, nil
}
