package main

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"golang.org/x/term"

	"starlingusher/internal/lab/scale"
	"starlingusher/internal/lab/scale/burden"
	"starlingusher/internal/lab/scale/hollow"
	"starlingusher/internal/lab/scale/play"
)

// axes returns all axes that a scale run can grow.
func axes() []play.Axis { return slices.Concat(hollow.Axes(), burden.Axes()) }

type labScaleCmd struct {
	File   string `arg:"" optional:"" help:"TOML file of the scale run (docs/scale.md)."`
	Axes   bool   `help:"List the axes with their measured values and settings; nothing is run."`
	Out    string `help:"Directory for the points as they are measured and for the results; the default is a temporary one, which is removed if the file has expectations and all are met."`
	Resume bool   `help:"Continue the interrupted run in --out, with the same file and the same build."`
	Slopes string `help:"Write the slopes to this file, replacing those with the same ids, and the table, page and plots to --pages."`
	Pages  string `help:"Directory of the tables that --slopes refers to." default:"docs/scale"`
	Node   string `help:"Path of the node program." default:"bin/coralyard" type:"path"`
	Commit string `help:"Commit that both programs were built from, if they don't know it themselves (-buildvcs=false)."`
}

// Run plays the scale run of the file, writes its results and prints them.
func (c *labScaleCmd) Run(a *app) error {
	if c.Axes {
		return a.listAxes()
	}
	if c.File == "" {
		return usageError{errors.New("name a file, for example experiments/scale/destinations.toml")}
	}
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return usageError{err}
	}
	f, err := scale.Parse(raw, axes())
	if err != nil {
		return usageError{withFileName(c.File, err)}
	}
	if c.Resume && c.Out == "" {
		return usageError{errors.New("--resume needs the --out of the interrupted run")}
	}
	opts, err := c.options(a)
	if err != nil {
		return err
	}
	if c.Slopes != "" && opts.Build.Commit == "" {
		return usageError{errors.New("--slopes records the commit of the build, and this build doesn't know it: build with -buildvcs=true, or name it with --commit")}
	}
	temporary := false
	if c.Resume {
		opts.Dir = c.Out
	} else if opts.Dir, temporary, err = createResultsDir(c.Out); err != nil {
		return err
	}
	show, done := a.scaleProgress(f)
	opts.Progress = show
	res, err := scale.Run(a.ctx, f, opts)
	done()
	var refused *scale.ResumeError
	switch {
	case errors.As(err, &refused):
		return usageError{err}
	case err != nil:
		return fmt.Errorf("%s: %w; the points so far are kept, continue with --resume --out %s", f.Name, err, opts.Dir)
	}
	if err := res.Write(opts.Dir); err != nil {
		return err
	}
	if c.Slopes != "" {
		table, _, _ := res.Files()
		if err := errors.Join(res.Write(c.Pages), res.MergeSlopes(c.Slopes, path.Join(filepath.ToSlash(c.Pages), table))); err != nil {
			return err
		}
	}
	if a.asJSON {
		err = printJSON(a.out, res)
	} else {
		err = printScale(a.out, res)
	}
	if err != nil {
		return err
	}
	if temporary && len(res.Expectations) > 0 && res.Passed {
		return os.RemoveAll(opts.Dir)
	}
	fmt.Fprintf(a.err, "results: %s\n", opts.Dir)
	if !res.Passed {
		return errNotPassed
	}
	return nil
}

// options returns the options of a run: the programs, and the build that they are from.
func (c *labScaleCmd) options(a *app) (scale.Options, error) {
	o := scale.Options{Resume: c.Resume, Env: os.Environ(), Log: a.log}
	node, err := exec.LookPath(c.Node)
	if err == nil {
		node, err = filepath.Abs(node)
	}
	if err != nil {
		return o, usageError{fmt.Errorf("node program: %w; build it (README.md) or name it with --node", err)}
	}
	self, err := os.Executable()
	if err != nil {
		return o, err
	}
	o.NodeProgram, o.LabProgram, o.Command = node, self, []string{self, "--log-level", "info", "lab", "scale-play"}
	o.Build = scale.Build{Commit: buildCommit(), Programs: map[string]string{}}
	switch {
	case o.Build.Commit == "":
		o.Build.Commit = c.Commit
	case c.Commit != "" && c.Commit != o.Build.Commit:
		return o, usageError{fmt.Errorf("--commit: this program was built from %s", o.Build.Commit)}
	}
	for name, file := range map[string]string{"coralyard": node, "cottonrack": self} {
		if o.Build.Programs[name], err = fileHash(file); err != nil {
			return o, err
		}
	}
	return o, nil
}

// buildCommit returns the commit that this program was built from, with a trailing "+" if the tree had
// changes.
func buildCommit() string {
	var revision, changed string
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			switch {
			case s.Key == "vcs.revision":
				revision = s.Value[:min(len(s.Value), 7)]
			case s.Key == "vcs.modified" && s.Value == "true":
				changed = "+"
			}
		}
	}
	return revision + changed
}

func fileHash(file string) (string, error) {
	f, err := os.Open(file)
	if err != nil {
		return "", err
	}
	defer f.Close()
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return "", err
	}
	return hex.EncodeToString(h.Sum(nil)), nil
}

// scaleProgress returns a function that shows the progress of a run, and one to call when the run has ended.
// On a terminal one line is updated; elsewhere there is a line for each play and every ten seconds.
func (a *app) scaleProgress(f scale.RunFile) (show func(scale.Progress), done func()) {
	line := func(p scale.Progress) string {
		left := "time left unknown"
		if p.RemainingKnown {
			left = fmt.Sprintf("about %v left", p.Remaining.Round(time.Second))
		}
		return fmt.Sprintf("%s: play %d of %d, %v %g for %v, %d MB in %d processes, %s", f.Name, p.Done+1, p.Total, f.Axis.XUnit, p.X, p.Elapsed.Round(time.Second),
			p.RSS>>20, p.Processes, left)
	}
	if file, ok := a.err.(*os.File); ok && term.IsTerminal(int(file.Fd())) {
		return func(p scale.Progress) { fmt.Fprintf(a.err, "\r\x1b[K%s", line(p)) }, func() { fmt.Fprint(a.err, "\r\x1b[K") }
	}
	before, last := -1, time.Time{}
	return func(p scale.Progress) {
		if now := time.Now(); p.Done != before || now.Sub(last) >= 10*time.Second {
			before, last = p.Done, now
			fmt.Fprintln(a.err, line(p))
		}
	}, func() {}
}

func printScale(w io.Writer, res *scale.Result) error {
	verdict := "kept"
	if !res.Passed {
		verdict = "NOT KEPT"
	}
	if len(res.Expectations) == 0 && res.Passed {
		verdict = "played"
	}
	fmt.Fprintf(w, "%s: %s. %d points of %s, %d plays each; %d made invalid by the machine, %d failed\n", res.Name, verdict, len(res.Points), res.Axis, res.Plays, res.Invalid, res.Failed)
	t := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	fmt.Fprintln(t, "figure\tunit\tform\tat 0\tslope\tsquare\tspread\tfrom\tto\tworst")
	for _, f := range res.Fits {
		s := f.Slope
		if s == nil {
			fmt.Fprintf(t, "%s\t%s\t%s\n", f.ID, f.Unit, strings.Join(f.Reasons, "; "))
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%.4g\t%.4g\t%.4g\t%.2g\t%g\t%g\t%.1f%%\n", f.ID, f.Unit, s.Form, s.Intercept, s.LinearCoef, s.QuadraticCoef, s.StdErr, s.From, s.To, 100*s.MaxResidual)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, e := range res.Limits {
		fmt.Fprintf(w, "  today's program ends at %g: %s\n", e.X, strings.Join(e.Reasons, "; "))
	}
	for _, k := range res.Records {
		if k.Failure != "" {
			fmt.Fprintf(w, "  failed at %g, play %d: %s\n", k.X, k.Play, k.Failure)
		}
		for _, why := range k.InvalidReasons() {
			fmt.Fprintf(w, "  invalid at %g, play %d: %s\n", k.X, k.Play, why)
		}
	}
	for _, k := range res.Expectations {
		if !k.Met {
			fmt.Fprintf(w, "  not met: %s; measured %s\n", k.Expected, k.Got)
		}
	}
	return nil
}

// listAxes prints the axes, and the figures and settings of each that a run file may name.
func (a *app) listAxes() error {
	if a.asJSON {
		type axis struct {
			Name     string                  `json:"name"`
			About    string                  `json:"about"`
			Per      string                  `json:"per"`
			Measures []play.Measure          `json:"measures"`
			Settings map[string]play.Setting `json:"settings"`
		}
		var all []axis
		for _, x := range axes() {
			all = append(all, axis{x.Name, x.Description, x.XUnit, x.Measures, x.Settings})
		}
		return printJSON(a.out, all)
	}
	t := tabwriter.NewWriter(a.out, 2, 0, 2, ' ', 0)
	for i, x := range axes() {
		if i > 0 {
			fmt.Fprintln(t)
		}
		fmt.Fprintf(t, "%s, by %s: %s\n", x.Name, x.XUnit, x.Description)
		for _, m := range x.Measures {
			exact := ""
			if m.Exact {
				exact = ", exact"
			}
			fmt.Fprintf(t, "  %s\t%s%s\t%s\n", m.ID, m.Unit, exact, m.Description)
		}
		for _, name := range slices.Sorted(maps.Keys(x.Settings)) {
			s := x.Settings[name]
			fmt.Fprintf(t, "  %s\t%g (%g to %g)\t%s\n", name, s.Default, s.Min, s.Max, s.Description)
		}
	}
	return t.Flush()
}

type labScalePlayCmd struct{}

// Run is the process of one play; the run that started it sends the play.Spec on standard input.
func (labScalePlayCmd) Run(a *app) error { return scale.RunPlay(a.ctx, os.Stdin, a.out, axes(), a.log) }
