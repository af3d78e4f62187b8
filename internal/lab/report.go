package lab

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"starlingusher/fleet/history"
	"starlingusher/fleet/tally"
)

// ReportFile is the page that WriteReport writes.
const ReportFile = "report.md"

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// WriteReport writes a Markdown page with SVG plots next to the results of a run, and returns its path.
func WriteReport(dir string, res *Result) (string, error) {
	events, err := ReadEvents(dir)
	if errors.Is(err, fs.ErrNotExist) {
		events = nil // the page is written without the parts that need events
	} else if err != nil {
		return "", err
	}
	var b strings.Builder
	verdict := "All expectations were met."
	if !res.Passed {
		verdict = "**Not all expectations were met.**"
	}
	fmt.Fprintf(&b, "# %s, seed %d\n\n%s\n\n%s\n\n", res.Experiment, res.Seed, res.About, verdict)
	fmt.Fprintf(&b, "%d nodes, %d messages in %v, on %d cores. Began %s, took %v.\n\n", res.Nodes, res.Tally.All.Messages, res.Length, res.Cores,
		res.StartedAt.UTC().Format(time.RFC3339), res.Elapsed.Round(time.Second))
	b.WriteString("| expected | measured | |\n| --- | --- | --- |\n")
	for _, e := range res.Expectations {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", e.Condition, e.Actual, map[bool]string{true: "met", false: "**not met**"}[e.Met])
	}
	for _, s := range res.InvalidReasons {
		fmt.Fprintf(&b, "\n**Invalid run:** %s\n", s)
	}
	if len(res.Faults) > 0 {
		b.WriteString("\n## Timeline\n\n")
		for _, x := range res.Faults {
			fmt.Fprintf(&b, "- %s\n", x)
		}
	}
	if len(res.Violations) > 0 {
		b.WriteString("\n## Violations\n\n")
		for _, x := range res.Violations {
			fmt.Fprintf(&b, "- %s\n", x)
		}
	}
	b.WriteString("\n## Service\n\n")
	if err := servicePlot(filepath.Join(dir, "service.svg"), res); err != nil {
		return "", err
	}
	b.WriteString("![worth served, by intervals of five seconds](service.svg)\n\n")
	writeServiceTable(&b, "class", res.Tally.Classes)
	writeServiceTable(&b, "member", res.Tally.Tenants)
	writeServiceTable(&b, "node", res.Tally.Nodes)
	fmt.Fprintf(&b, "Time to answer: median %v, 99th percentile %v. Time to delivery: median %v, 99th percentile %v, longest %v.\n",
		res.Tally.TimeToAnswer.P50, res.Tally.TimeToAnswer.P99, res.Tally.TimeToDelivery.P50, res.Tally.TimeToDelivery.P99, res.Tally.TimeToDelivery.Max)
	b.WriteString("\n## Partners\n\n")
	if events != nil {
		if err := callsPlot(filepath.Join(dir, "calls.svg"), events); err != nil {
			return "", err
		}
		b.WriteString("![ends of calls, by second](calls.svg)\n\n")
	}
	b.WriteString("| partner | connections | calls | messages | accepted | above its limit | other rejections | abandoned | errors |\n|" + strings.Repeat(" --- |", 9) + "\n")
	for _, p := range res.Tally.Partners {
		e := p.CallEnds
		fmt.Fprintf(&b, "| %d | %d | %d | %d | %d | %d | %d | %d | %d |\n", p.Partner, p.Connections, p.Calls, p.Messages, e[history.Accepted], e[history.AboveLimit],
			e[history.Rejected]+e[history.QueueFull]+e[history.TooManyConns], e[history.Abandoned], e[history.Errored]+e[history.AnswerLost]+e[history.AnswerUnreadable])
	}
	b.WriteString("\n## Processes\n\n| node | starts | CPU | maximum memory, MB | maximum descriptors | maximum disk, KB |\n|" + strings.Repeat(" --- |", 6) + "\n")
	for _, u := range res.Processes {
		fmt.Fprintf(&b, "| %s | %d | %v | %.1f | %d | %d |\n", u.Node, u.Starts, u.CPU.Round(10*time.Millisecond), float64(u.RSS)/(1<<20), u.Descriptors,
			u.Disk>>10)
	}
	b.WriteString("\n| lateness of the lab itself | count | median | 99th percentile | maximum |\n|" + strings.Repeat(" --- |", 5) + "\n")
	for _, component := range sortedKeys(res.LatenessByComponent) {
		l := res.LatenessByComponent[component]
		fmt.Fprintf(&b, "| %s | %d | %v | %v | %v |\n", component, l.Count, l.P50, l.P99, l.Max)
	}
	path := filepath.Join(dir, ReportFile)
	if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
		return "", fmt.Errorf("write report: %w", err)
	}
	return path, nil
}

func writeServiceTable(b *strings.Builder, keyColumn string, all []tally.Line) {
	fmt.Fprintf(b, "| %s | messages | worth served | delivered | refused | failed | unknown |\n|%s\n", keyColumn, strings.Repeat(" --- |", 7))
	for _, l := range all {
		fmt.Fprintf(b, "| %s | %d | %.3f | %d | %d | %d | %d |\n", l.Name, l.Messages, l.Share(), l.Delivered, l.Refused, l.Failed, l.Unknown)
	}
	b.WriteString("\n")
}

func savePlot(p *plot.Plot, path string) error {
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("draw plot: %w", err)
	}
	return nil
}

// servicePlot draws the share of the worth that was served, by the time when the messages arrived.
func servicePlot(path string, res *Result) error {
	p := plot.New()
	p.Title.Text = "Worth served, by the arrival time of the messages"
	p.X.Label.Text, p.Y.Label.Text = "seconds", "share"
	p.Y.Min, p.Y.Max = 0, 1
	var points plotter.XYs
	for i, l := range res.Tally.Intervals {
		points = append(points, plotter.XY{X: (float64(i) + 0.5) * tally.Interval.Seconds(), Y: l.Share()})
	}
	if len(points) > 0 {
		if err := plotutil.AddLinePoints(p, "served", points); err != nil {
			return fmt.Errorf("draw plot: %w", err)
		}
	}
	return savePlot(p, path)
}

// callsPlot draws how many calls ended in which way in each second.
func callsPlot(path string, events []history.Event) error {
	bySecond := map[string]map[int]int{}
	last := 0
	for _, e := range events {
		if e.Kind != history.CallEnded {
			continue
		}
		if bySecond[e.State] == nil {
			bySecond[e.State] = map[int]int{}
		}
		s := int(e.At / time.Second)
		bySecond[e.State][s]++
		last = max(last, s)
	}
	p := plot.New()
	p.Title.Text = "Ends of calls"
	p.X.Label.Text, p.Y.Label.Text = "seconds", "calls per second"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.XOffs = -5 * vg.Millimeter
	states := sortedKeys(bySecond)
	slices.SortStableFunc(states, func(a, b string) int { return cmp.Compare(total(bySecond[b]), total(bySecond[a])) })
	var all []any
	for _, s := range states {
		var points plotter.XYs
		for i := range last + 1 {
			points = append(points, plotter.XY{X: float64(i), Y: float64(bySecond[s][i])})
			p.Y.Max = max(p.Y.Max, 1.5*float64(bySecond[s][i])) // with room for the legend
		}
		all = append(all, strings.ReplaceAll(s, "_", " "), points)
	}
	if len(all) > 0 {
		if err := plotutil.AddLines(p, all...); err != nil {
			return fmt.Errorf("draw plot: %w", err)
		}
	}
	return savePlot(p, path)
}

func total(m map[int]int) int {
	sum := 0
	for _, n := range m {
		sum += n
	}
	return sum
}
