package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"golang.org/x/term"

	"starlingusher/fleet/experiment"
	"starlingusher/internal/lab"
)

type labCmd struct {
	Run            labRunCmd       `cmd:"" help:"Run an experiment and check it against the rules and its expectations."`
	Check          labCheckCmd     `cmd:"" help:"Check an experiment file, and show the plan that is drawn from a seed; nothing is started."`
	Report         labReportCmd    `cmd:"" help:"Write a report with plots from the results of a run."`
	Compare        labCompareCmd   `cmd:"" help:"Run two builds or two experiments in turns with the same seeds, and print the paired differences."`
	Soak           labSoakCmd      `cmd:"" help:"Play days with faults of all kinds, drawn from successive seeds, and check them against the rules."`
	Kinds          labKindsCmd     `cmd:"" help:"List the kinds of faults for experiments."`
	DirectorySize  labSizeCmd      `cmd:"" help:"Measure the directory: watches, writes, fail-over, and plain alternatives for comparison."`
	PlainDirectory labPlainCmd     `cmd:"" hidden:""`
	Scale          labScaleCmd     `cmd:"" help:"Measure what grows with an axis of the fleet's size, and fit the slopes."`
	ScalePlay      labScalePlayCmd `cmd:"" hidden:""`
	Directory      labDirectoryCmd `cmd:"" help:"Test the directory: three replicas under faults, with writers, watchers and a checker."`
	Ownership      labOwnershipCmd `cmd:"" help:"Test the ownership of destinations: eight nodes, three replicas, controllers and writers under faults, with a checker."`
}

// runFlags are the flags of all commands that run experiments.
type runFlags struct {
	Seed        uint64 `help:"Seed of all random draws; 0 takes a random seed and prints it." default:"0"`
	NodeCount   int    `name:"nodes" help:"Number of nodes, instead of the experiment's."`
	NodeProgram string `name:"node" help:"Path of the node program." default:"bin/coralyard" type:"path"`
}

type labRunCmd struct {
	runFlags
	File string `arg:"" help:"TOML file of the experiment."`
	Out  string `help:"Directory for the results and the nodes' logs; the default is a temporary one, which is removed if the run passes."`
	Runs int    `help:"Number of runs, one after the other, with successive seeds from --seed on." default:"1"`
}

// Run runs the experiment.
func (c *labRunCmd) Run(a *app) error {
	f, err := readExperiment(c.File)
	if err != nil {
		return err
	}
	command, err := c.nodeCommand()
	if err != nil {
		return err
	}
	if c.NodeCount < 0 || c.Runs < 1 {
		return usageError{errors.New("--nodes must be 0 or more, --runs must be 1 or more")}
	}
	seed := seedOrRandom(c.Seed)
	failedRuns := 0
	var all []*lab.Result
	for i := range c.Runs {
		s := seed + uint64(i)
		res, err := a.runPlan(f.DrawPlan(s, c.NodeCount), command, resultsDirOf(c.Out, c.Runs, s))
		if err != nil {
			return err
		}
		if !res.Passed {
			failedRuns++
		}
		all = append(all, res)
		if !a.asJSON {
			printResult(a.out, res)
		}
	}
	if a.asJSON {
		var v any = all
		if c.Runs == 1 {
			v = all[0]
		}
		if err := printJSON(a.out, v); err != nil {
			return err
		}
	} else if c.Runs > 1 {
		fmt.Fprintf(a.out, "%d of %d runs passed (seeds %d to %d)\n", c.Runs-failedRuns, c.Runs, seed, seed+uint64(c.Runs)-1)
	}
	if failedRuns > 0 {
		return errNotPassed
	}
	return nil
}

func (p runFlags) nodeCommand() ([]string, error) {
	path, err := exec.LookPath(p.NodeProgram)
	if err != nil {
		return nil, usageError{fmt.Errorf("node program: %w; build it (README.md) or name it with --node", err)}
	}
	path, err = filepath.Abs(path)
	return []string{path}, err
}

// runPlan runs a plan and writes the results to a directory. With an empty out this is a temporary directory,
// which is removed if the run passed.
func (a *app) runPlan(plan experiment.Plan, command []string, out string) (*lab.Result, error) {
	dir, temporary, err := createResultsDir(out)
	if err != nil {
		return nil, err
	}
	show, done := a.progress(plan.Name, plan.Seed, len(plan.Nodes))
	res, err := lab.RunPlan(a.ctx, plan, lab.Options{Command: command, Dir: dir, Progress: show, Log: a.log})
	done()
	if err != nil && temporary && a.ctx.Err() != nil {
		os.RemoveAll(dir) // a user who ends a run early does not want its results
		return nil, fmt.Errorf("%s, seed %d: %w", plan.Name, plan.Seed, err)
	}
	if err != nil { // the nodes' logs may tell the reason
		return nil, fmt.Errorf("%s, seed %d: %w; the logs are in %s", plan.Name, plan.Seed, err, dir)
	}
	if temporary && res.Passed {
		return res, os.RemoveAll(dir)
	}
	if err := res.Write(dir); err != nil {
		return nil, err
	}
	fmt.Fprintf(a.err, "results: %s\n", dir)
	return res, nil
}

// createResultsDir creates the directory for a run's results: the requested one, or a temporary one.
func createResultsDir(out string) (dir string, temporary bool, err error) {
	if out != "" {
		return out, false, requireEmptyDir(out)
	}
	if dir, err = os.MkdirTemp("", "cottonrack-"); err != nil {
		return "", true, fmt.Errorf("create results directory: %w", err)
	}
	return dir, true, nil
}

// resultsDirOf returns the directory for the results of one seed among several runs.
func resultsDirOf(out string, runs int, seed uint64) string {
	if out == "" || runs == 1 {
		return out
	}
	return filepath.Join(out, fmt.Sprint(seed))
}

// seedOrRandom returns the requested seed, or a random one.
func seedOrRandom(seed uint64) uint64 {
	if seed == 0 {
		return rand.Uint64N(1e9) + 1
	}
	return seed
}

// requireEmptyDir creates a directory, or checks that it is empty, so that no results are overwritten.
func requireEmptyDir(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return usageError{fmt.Errorf("--out: %w", err)}
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return usageError{fmt.Errorf("--out: %w", err)}
	}
	if len(entries) > 0 {
		return usageError{fmt.Errorf("--out: %s is not empty: name a new directory, so that no results are lost", dir)}
	}
	return nil
}

// progress shows the progress of a run: one updated line on a terminal, a separate line every five seconds
// elsewhere.
func (a *app) progress(name string, seed uint64, nodes int) (show func(lab.Progress), done func()) {
	file, ok := a.err.(*os.File)
	live := ok && term.IsTerminal(int(file.Fd()))
	last := time.Now()
	line := func(p lab.Progress) string {
		if p.Starting {
			return fmt.Sprintf("%s seed %d: %d of %d nodes ready", name, seed, p.ReadyNodes, nodes)
		}
		return fmt.Sprintf("%s seed %d: %v of %v, %d submissions, %d calls, %d notices, %d of %d nodes up, lateness of the lab %v", name, seed,
			p.Elapsed.Round(time.Second), p.End, p.Submitted, p.Calls, p.Notices, p.ReadyNodes, nodes, p.Lateness)
	}
	if live {
		return func(p lab.Progress) { fmt.Fprintf(a.err, "\r\x1b[K%s", line(p)) }, func() { fmt.Fprint(a.err, "\r\x1b[K") }
	}
	return func(p lab.Progress) {
		if now := time.Now(); !p.Starting && now.Sub(last) >= 5*time.Second {
			last = now
			fmt.Fprintln(a.err, line(p))
		}
	}, func() {}
}

// readExperiment reads an experiment. Errors name the file and its lines.
func readExperiment(path string) (experiment.File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return experiment.File{}, usageError{err}
	}
	f, err := experiment.Parse(raw)
	if err == nil {
		return f, nil
	}
	var lines []string
	for e := range strings.SplitSeq(err.Error(), "\n") {
		lines = append(lines, path+": "+e)
	}
	return f, usageError{errors.New(strings.Join(lines, "\n"))}
}

func printResult(w io.Writer, res *lab.Result) {
	verdict := "kept"
	if !res.Passed {
		verdict = "NOT KEPT"
	}
	all := res.Tally.All
	fmt.Fprintf(w, "%s seed %d: %s. %d nodes, %d messages, worth served %.3f; %d delivered, %d refused, %d failed, %d unknown\n", res.Experiment, res.Seed,
		verdict, res.Nodes, all.Messages, all.Share(), all.Delivered, all.Refused, all.Failed, all.Unknown)
	t := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	for _, l := range res.Tally.Classes {
		fmt.Fprintf(t, "  class %s\t%.3f\tof %d\n", l.Name, l.Share(), l.Messages)
	}
	if l, ok := res.Tally.WorstInterval(); ok {
		fmt.Fprintf(t, "  worst five seconds\t%.3f\tfrom %s\n", l.Share(), l.Name)
	}
	fmt.Fprintf(t, "  calls above limits\t%d\tof %d attempts\n", res.Tally.CallsAboveLimit, res.Tally.Attempts)
	fmt.Fprintf(t, "  time to delivery\t%v\t99th percentile %v\n", res.Tally.TimeToDelivery.P50, res.Tally.TimeToDelivery.P99)
	fmt.Fprintf(t, "  lateness of the lab\t%v\t99th percentile %v\n", res.Lateness.P50, res.Lateness.P99)
	t.Flush()
	for _, e := range res.Expectations {
		if !e.Met {
			fmt.Fprintf(w, "  not met: %s; measured %s\n", e.Condition, e.Actual)
		}
	}
	for _, s := range res.InvalidReasons {
		fmt.Fprintf(w, "  invalid run: %s\n", s)
	}
	const maxShown = 10
	for i, b := range res.Violations {
		if i == maxShown {
			fmt.Fprintf(w, "  and %d more violations, in %s\n", len(res.Violations)-maxShown, lab.ResultFile)
			break
		}
		fmt.Fprintf(w, "  violation of %s\n", b)
		for _, e := range b.Evidence {
			raw, _ := json.Marshal(e) // plain fields always encode
			fmt.Fprintf(w, "    %s\n", raw)
		}
	}
}

type labCheckCmd struct {
	File  string `arg:"" help:"TOML file of the experiment."`
	Seed  uint64 `help:"Seed of the plan." default:"1"`
	Nodes int    `help:"Number of nodes, instead of the experiment's."`
}

// Run prints the plan.
func (c *labCheckCmd) Run(a *app) error {
	f, err := readExperiment(c.File)
	if err != nil {
		return err
	}
	p := f.DrawPlan(c.Seed, c.Nodes)
	if a.asJSON {
		return printJSON(a.out, p)
	}
	fmt.Fprintf(a.out, "%s, seed %d: %v and then %v to settle, %d nodes, %d messages, %d rude peers\n", p.Name, p.Seed, p.Length.Round(time.Millisecond),
		p.Settle, len(p.Nodes), len(p.Arrivals), len(p.RudePeers))
	t := tabwriter.NewWriter(a.out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(t, "partner\tkind\ttraffic\tlimit/s\tendpoints\tworkers\tservice time\tbatch")
	for i, partnerPlan := range p.Partners {
		fmt.Fprintf(t, "%d\t%s\t%.3f\t%.1f\t%d\t%d\t%v\t%d\n", i, p.PartnerKinds[partnerPlan.Kind], partnerPlan.Weight, partnerPlan.Config.Limit.PerSecond, partnerPlan.Config.Endpoints, partnerPlan.Config.Workers,
			partnerPlan.Config.ServiceTime.Round(time.Millisecond), partnerPlan.Config.MaxBatch)
	}
	fmt.Fprintln(t, "\nnode\tzone\ttraffic\tslots\tmax open")
	for _, n := range p.Nodes {
		fmt.Fprintf(t, "%s\t%s\t%.3f\t%d\t%d\n", n.Name, p.Zones[n.Zone], n.Weight, n.Slots, n.MaxOpen)
	}
	fmt.Fprintln(t)
	for _, x := range p.Faults {
		fmt.Fprintf(t, "%v\t%v\n", x.At.Round(time.Millisecond), x)
	}
	return t.Flush()
}

type labKindsCmd struct{}

// Run lists the kinds of faults.
func (labKindsCmd) Run(a *app) error {
	if a.asJSON {
		descriptions := map[string]string{}
		for name, k := range experiment.FaultKinds {
			descriptions[name] = k.Description
		}
		return printJSON(a.out, descriptions)
	}
	t := tabwriter.NewWriter(a.out, 2, 0, 2, ' ', 0)
	for _, k := range slices.Sorted(maps.Keys(experiment.FaultKinds)) {
		fmt.Fprintf(t, "%s\t%s\n", k, experiment.FaultKinds[k].Description)
	}
	return t.Flush()
}

type labReportCmd struct {
	Dir string `arg:"" help:"The results directory of a run (--out)."`
}

// Run writes the report.
func (c *labReportCmd) Run(a *app) error {
	res, err := lab.ReadResult(c.Dir)
	if err != nil {
		return usageError{err}
	}
	path, err := lab.WriteReport(c.Dir, res)
	if err != nil {
		return err
	}
	if a.asJSON {
		return printJSON(a.out, map[string]string{"report": path})
	}
	_, err = fmt.Fprintln(a.out, path)
	return err
}

type labCompareCmd struct {
	A    string `arg:"" help:"A node program, or an experiment (*.toml)."`
	B    string `arg:"" help:"Another one of the same kind."`
	File string `name:"experiment" short:"e" help:"The experiment for comparing two builds." default:"experiments/calm.toml"`
	Runs int    `help:"Number of seeds, each run by both sides." default:"5"`
	runFlags
}

// Run runs both sides and compares them.
func (c *labCompareCmd) Run(a *app) error {
	if c.Runs < 2 {
		return usageError{errors.New("--runs must be 2 or more: one pair has no spread")}
	}
	isFile := func(s string) bool { return strings.HasSuffix(s, ".toml") }
	if isFile(c.A) != isFile(c.B) {
		return usageError{errors.New("compare takes two builds or two experiments, not one of each")}
	}
	var sides [2]struct {
		f       experiment.File
		command []string
	}
	for i, argument := range []string{c.A, c.B} {
		file, node := c.File, argument
		if isFile(argument) {
			file, node = argument, c.NodeProgram
		}
		var err error
		if sides[i].f, err = readExperiment(file); err != nil {
			return err
		}
		if sides[i].command, err = (runFlags{NodeProgram: node}).nodeCommand(); err != nil {
			return err
		}
	}
	seed := seedOrRandom(c.Seed)
	comparison := lab.Comparison{A: c.A, B: c.B}
	for i := range c.Runs {
		var pair [2]*lab.Result
		for k := range pair {
			side := (k + i) % 2 // the sides take turns in being first
			res, err := a.runPlan(sides[side].f.DrawPlan(seed+uint64(i), c.NodeCount), sides[side].command, "")
			if err != nil {
				if a.ctx.Err() != nil && i >= 2 {
					fmt.Fprintln(a.err, "ended early; the pairs so far:")
					return errors.Join(a.printComparison(&comparison), context.Cause(a.ctx))
				}
				return err
			}
			pair[side] = res
		}
		comparison.Add(pair[0], pair[1])
	}
	return a.printComparison(&comparison)
}

func (a *app) printComparison(c *lab.Comparison) error {
	if a.asJSON {
		if err := printJSON(a.out, c.Differences()); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(a.out, "A is %s, B is %s; %d seeds from %d on; each difference is B minus A for one seed\n", c.A, c.B, len(c.Pairs), c.Pairs[0].Seed)
		t := tabwriter.NewWriter(a.out, 2, 0, 2, ' ', 0)
		fmt.Fprintln(t, "metric\tA\tB\tmean difference\t95% from\tto\t")
		for _, l := range c.Differences() {
			fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%+.4g\t%+.4g\t%+.4g\t%s\n", l.Name, l.A, l.B, l.Mean, l.Low, l.High, l.Verdict)
		}
		t.Flush()
	}
	if c.FailedRuns() > 0 {
		fmt.Fprintf(a.err, "%d of the runs did not pass\n", c.FailedRuns())
		return errNotPassed
	}
	return nil
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(v)
}
