package capacity

import (
	"cmp"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// String returns the quantity for people to read, with three digits.
func (q Quantity) String() string {
	switch q.Unit {
	case Bytes:
		return formatScaled(q.Value, 1000, "B", "KB", "MB", "GB", "TB")
	case BytesPerS:
		return formatScaled(q.Value, 1000, "B/s", "KB/s", "MB/s", "GB/s")
	case Seconds:
		switch v := math.Abs(q.Value); {
		case v >= 2*3600:
			return formatNumber(q.Value/3600) + " h"
		case v >= 120:
			return formatNumber(q.Value/60) + " min"
		case v >= 1 || v == 0:
			return formatNumber(q.Value) + " s"
		case v >= 1e-3:
			return formatNumber(q.Value*1e3) + " ms"
		}
		return formatNumber(q.Value*1e6) + " us"
	case Cores:
		if q.Value == 1 {
			return "1 core"
		}
		return formatNumber(q.Value) + " cores"
	case CountPerS:
		return formatNumber(q.Value) + "/s"
	}
	return formatNumber(q.Value)
}

// formatScaled formats a value in the largest unit in which it is at least 1.
func formatScaled(v, step float64, units ...string) string {
	i := 0
	for i < len(units)-1 && math.Abs(v) >= step {
		v /= step
		i++
	}
	return formatNumber(v) + " " + units[i]
}

// formatNumber formats a number with three digits, or with all digits before the decimal point if there are
// more.
func formatNumber(v float64) string {
	if v == 0 {
		return "0"
	}
	places := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	if places <= 0 {
		whole := strconv.FormatFloat(math.Abs(v), 'f', 0, 64)
		for i := len(whole) - 3; i > 0; i -= 3 {
			whole = whole[:i] + "," + whole[i:]
		}
		if v < 0 {
			whole = "-" + whole
		}
		return whole
	}
	s := strconv.FormatFloat(v, 'f', places, 64)
	return strings.TrimRight(strings.TrimRight(s, "0"), ".")
}

// formatShare formats a share of the target that is reached, rounded down.
func formatShare(share float64) string {
	const eps = 1e-9 // a share found by bisection may be slightly below the whole number
	switch {
	case share >= 10:
		return formatNumber(math.Floor(share+eps)) + " times"
	case share >= 0.1:
		return strconv.FormatFloat(math.Floor(share*100+eps), 'f', 0, 64) + "%"
	case share >= 0.001:
		return strconv.FormatFloat(math.Floor(share*1000+eps)/10, 'f', 1, 64) + "%"
	}
	return "under 0.1%"
}

// figureText returns the text of the "at the target" column.
func (l Line) figureText() string {
	switch {
	case l.Figure != nil && l.StdErr > 0:
		return l.Figure.String() + " ± " + Quantity{l.StdErr, l.Figure.Unit}.String()
	case l.Figure != nil:
		return l.Figure.String()
	case l.Provenance.Source == Missing:
		return "missing"
	}
	return "-"
}

func (l Line) budgetText() string {
	if l.Budget == nil {
		return "-"
	}
	return l.Budget.String()
}

// endText returns the text of the "ends at" column.
func (l Line) endText() string {
	switch {
	case l.End.NoMechanism:
		return "nothing"
	case l.End.Share == nil && l.HasLimit:
		return "missing"
	case l.End.Share == nil:
		return "-"
	}
	text := formatShare(*l.End.Share)
	if *l.End.Share < 10 {
		text += " of"
	}
	text += " the " + string(l.Axis)
	switch {
	case l.End.BeyondSearch:
		return "past " + text
	case l.End.UpperBound:
		return "at most " + text
	}
	return text
}

func (l Line) causeText() string {
	switch {
	case l.End.NoMechanism:
		return l.End.Limit
	case l.End.Share == nil, l.End.BeyondSearch:
		return "-"
	}
	return string(l.End.Cause) + ": " + l.End.Limit
}

// String returns the text of the "known" column.
func (k Provenance) String() string {
	s := string(k.Source)
	switch k.Source {
	case Extrapolated:
		s = "worked out, " + formatNumber(k.AboveRange) + " times past what was measured"
		if k.AboveRange == 0 {
			s = "worked out, " + formatNumber(k.BelowRange) + " times below what was measured"
		}
	case Missing:
		s = "missing: " + strings.Join(k.Missing, ", ")
	}
	if len(k.Assumptions) > 0 && k.Source != Missing {
		s = "guessed (" + strings.Join(k.Assumptions, ", ") + "); " + s
	}
	return s
}

func (l Line) descriptionText() string {
	if l.WithOwnership {
		return "— with ownership"
	}
	return l.Description
}

// Section is a table and its name on the page.
type Section struct {
	Name  string
	Title string
	Table string // Markdown, one line for each row
}

// Sections returns the tables in their order on the page.
func (r Report) Sections() []Section {
	all := []Section{{"target", "The target", r.targetTable()}}
	for _, s := range []struct {
		name string
		role Role
	}{{"node-control", NodeControl}, {"node-own", NodeOwn}, {"directory", Directory}, {"follower", Follower}, {"operators", Operators}, {"failures", Failure}} {
		all = append(all, Section{s.name, upperFirst(string(s.role)), r.roleTable(s.role)})
	}
	return append(all, Section{"order", "What ends first", r.orderTable()}, Section{"roadmap", "What waits for what", r.stepsTable()},
		Section{"slopes", "Slopes", r.slopesTable()}, Section{"bounds", "Bounds in the code", r.factsTable()})
}

func upperFirst(s string) string { return strings.ToUpper(s[:1]) + s[1:] }

func markdownTable(head []string, rows [][]string) string {
	var b strings.Builder
	line := func(cells []string) { fmt.Fprintf(&b, "| %s |\n", strings.Join(cells, " | ")) }
	line(head)
	line(slices.Repeat([]string{"---"}, len(head)))
	for _, r := range rows {
		for i := range r {
			r[i] = strings.ReplaceAll(strings.ReplaceAll(r[i], "|", "\\|"), "\n", " ")
		}
		line(r)
	}
	return b.String()
}

func (r Report) roleTable(role Role) string {
	var rows [][]string
	for _, l := range r.Lines {
		if l.Role == role {
			rows = append(rows, []string{string(l.Kind), l.descriptionText(), l.figureText(), l.budgetText(), l.endText(), l.causeText(), codeSpan(l.Mechanism), l.Provenance.String(), l.Formula})
		}
	}
	return markdownTable([]string{"kind", "what", "at the target", "budget", "ends at", "what ends it", "carried by", "known", "worked out as"}, rows)
}

func codeSpan(place string) string {
	if place == "missing" {
		return place
	}
	return "`" + strings.ReplaceAll(place, ", ", "`, `") + "`"
}

func (r Report) targetTable() string {
	var rows [][]string
	v := reflect.ValueOf(r.Target)
	for i := range v.NumField() {
		if v.Field(i).Kind() != reflect.Struct {
			continue
		}
		for k := range v.Field(i).NumField() {
			name := v.Type().Field(i).Tag.Get("toml") + "." + v.Field(i).Type().Field(k).Tag.Get("toml")
			from := "given"
			if slices.Contains(r.Target.Guessed, name) {
				from = "guessed"
			}
			rows = append(rows, []string{name, formatNumber(v.Field(i).Field(k).Float()), from})
		}
	}
	t := r.Target
	for _, w := range []struct {
		what string
		v    float64
		unit Unit
	}{
		{"endpoints", t.Endpoints(), Count}, {"destinations down", t.DestinationsDown(), Count}, {"nodes of a zone", t.NodesPerZone(), Count},
		{"nodes of a region", t.NodesPerRegion(), Count}, {"events of a node", t.EventsPerSecondPerNode(), CountPerS}, {"backlog of a node", t.BacklogPerNode(), Count},
		{"backlog, as time of all events", t.Events.Backlog / t.Events.PerSecond, Seconds}, {"one destination meets one node each", t.Destinations.Count * t.Fleet.Nodes / t.Events.PerSecond, Seconds},
		{"one change of the configuration each", secondsPerDay / t.Configuration.ChangesPerDay, Seconds}, {"one restart each", secondsPerDay / t.Failures.RestartsPerDay, Seconds},
		{"destinations of a node, with ownership", t.ownedDestinations(), Count},
	} {
		rows = append(rows, []string{w.what, Quantity{w.v, w.unit}.String(), "worked out"})
	}
	return markdownTable([]string{"setting", "value", "known"}, rows)
}

// orderTable lists the rows by where they end, the nearest first, then those whose end is unknown. Rows that
// carry the target are only counted.
func (r Report) orderTable() string {
	lines := currentLines(r.Lines)
	at := func(l Line) float64 {
		if l.End.Share == nil {
			return math.Inf(1)
		}
		return *l.End.Share
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(at(a), at(b)) })
	var rows [][]string
	carried := 0
	for _, l := range lines {
		switch {
		case l.End.Share != nil && *l.End.Share >= 1 && !l.End.UpperBound:
			carried++
			continue
		case l.End.Share == nil && !l.HasLimit:
			continue // no known limit ends it
		}
		waits := strings.Join(l.WaitsFor, ", ")
		if waits == "" {
			waits = "-"
		}
		what := l.Description
		if l.WithOwnership {
			what += ", with ownership"
		}
		rows = append(rows, []string{l.endText(), l.causeText(), string(l.Role) + ", " + string(l.Kind) + ": " + what, waits})
	}
	rows = append(rows, []string{"the target or more", "", fmt.Sprintf("%d further rows", carried), ""})
	return markdownTable([]string{"ends at", "what ends it", "row", "waits for"}, rows)
}

func (r Report) stepsTable() string {
	var rows [][]string
	for i, s := range r.Steps {
		least := formatShare(s.MinShare)
		switch {
		case len(s.Rows) == 0:
			least = "-"
		case s.MinShare == 0:
			least = "nothing"
		}
		needs := strings.Join(s.Needs, ", ")
		if needs == "" {
			needs = "-"
		}
		rows = append(rows, []string{strconv.Itoa(i + 1), s.Name, codeSpan(s.Place), least, strconv.Itoa(len(s.Rows)), strconv.Itoa(s.NearRows), strconv.Itoa(len(s.Unknown)), needs})
	}
	return markdownTable([]string{"", "mechanism that is missing", "its place", "least end of a row that waits", "rows that wait", "of them under 1%", "rows with unknown end", "needs first"}, rows)
}

func (r Report) slopesTable() string {
	if len(r.Slopes) == 0 {
		return "None has been measured yet.\n"
	}
	var rows [][]string
	for _, s := range r.Slopes {
		y := func(v float64) string { return Quantity{v, s.Unit}.String() }
		form := y(s.Intercept)
		if s.Form != Constant {
			form += " + " + y(s.LinearCoef) + " × x"
		}
		if s.Form == Quadratic {
			form += " + " + y(s.QuadraticCoef) + " × x²"
		}
		rows = append(rows, []string{s.ID, s.Description, form, "± " + y(s.StdErr), formatNumber(s.From) + " to " + formatNumber(s.To) + ", " + s.XUnit,
			fmt.Sprintf("%d × %d", s.Points, s.Repeats), formatNumber(s.MaxResidual*100) + "%", "`" + s.Run + "`", s.Commit})
	}
	return markdownTable([]string{"slope", "of what", "figure at x", "spread", "measured x", "points × plays", "missed by", "run", "build"}, rows)
}

func (r Report) factsTable() string {
	var rows [][]string
	for _, f := range r.Bounds {
		setting := "constant"
		if f.Setting != "" {
			setting = "setting `" + f.Setting + "`"
		}
		rows = append(rows, []string{"`" + f.Name + "`", Quantity{f.Value, f.Unit}.String(), f.Description, setting, "`" + f.Place + "`"})
	}
	return markdownTable([]string{"bound", "value", "of what", "moved by", "place"}, rows)
}
