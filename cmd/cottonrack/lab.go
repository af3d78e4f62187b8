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
	Run            labRunCmd       `cmd:"" help:"Play an experiment and judge it."`
	Check          labCheckCmd     `cmd:"" help:"Read an experiment, and show what a seed draws from it; nothing is started."`
	Report         labReportCmd    `cmd:"" help:"Write a page with plots from a run's results."`
	Compare        labCompareCmd   `cmd:"" help:"Play two builds or two settings on the same seeds in turn, and tell the paired differences."`
	Kinds          labKindsCmd     `cmd:"" help:"List the kinds of faults that an experiment may name."`
	DirectorySize  labSizeCmd      `cmd:"" help:"Measure the list service: watches, writes, fail-over, and the plain ways beside it."`
	PlainDirectory labPlainCmd     `cmd:"" hidden:""`
	Scale          labScaleCmd     `cmd:"" help:"Measure what grows with an axis of the fleet's size, and fit its slopes."`
	ScalePlay      labScalePlayCmd `cmd:"" hidden:""`
	Directory      labDirectoryCmd `cmd:"" help:"Prove the list service: three replicas under faults, writers and watchers, and a checker."`
	Ownership      labOwnershipCmd `cmd:"" help:"Prove ownership of destinations: eight nodes, three replicas, controllers and writers under faults, and a checker."`
}

// playing is what all commands that play have in common.
type playing struct {
	Seed  uint64 `help:"Seed of all that is drawn; 0 takes one at random and prints it." default:"0"`
	Nodes int    `help:"So many nodes, in place of the experiment's number."`
	Node  string `help:"The node's program." default:"bin/coralyard" type:"path"`
}

type labRunCmd struct {
	playing
	File string `arg:"" help:"The experiment, a TOML file."`
	Out  string `help:"Folder for the results and the nodes' logs; by default a new one under the system's, removed when all was kept."`
	Runs int    `help:"Play so many seeds one after the other, from --seed on." default:"1"`
}

// Run plays the experiment.
func (c *labRunCmd) Run(a *app) error {
	f, err := readExperiment(c.File)
	if err != nil {
		return err
	}
	command, err := c.command()
	if err != nil {
		return err
	}
	if c.Nodes < 0 || c.Runs < 1 {
		return wrongUse{errors.New("--nodes is 0 or more, --runs is 1 or more")}
	}
	seed := seedOr(c.Seed)
	bad := 0
	var all []*lab.Result
	for i := range c.Runs {
		s := seed + uint64(i)
		res, err := a.play(f.DrawPlan(s, c.Nodes), command, folderOf(c.Out, c.Runs, s))
		if err != nil {
			return err
		}
		if !res.Passed {
			bad++
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
		fmt.Fprintf(a.out, "%d of %d runs kept all that was expected (seeds %d to %d)\n", c.Runs-bad, c.Runs, seed, seed+uint64(c.Runs)-1)
	}
	if bad > 0 {
		return errNotKept
	}
	return nil
}

func (p playing) command() ([]string, error) {
	path, err := exec.LookPath(p.Node)
	if err != nil {
		return nil, wrongUse{fmt.Errorf("the node's program: %w; build it (README.md) or name it with --node", err)}
	}
	path, err = filepath.Abs(path)
	return []string{path}, err
}

// play plays a plan into a folder; into one that goes again if out is empty and all was kept.
func (a *app) play(plan experiment.Plan, command []string, out string) (*lab.Result, error) {
	dir, passing, err := resultsFolder(out)
	if err != nil {
		return nil, err
	}
	show, done := a.progress(plan.Name, plan.Seed, len(plan.Nodes))
	res, err := lab.RunPlan(a.ctx, plan, lab.Options{Command: command, Dir: dir, Progress: show, Log: a.log})
	done()
	if err != nil && passing && a.ctx.Err() != nil {
		os.RemoveAll(dir) // who ends a run early wants nothing of it
		return nil, fmt.Errorf("%s, seed %d: %w", plan.Name, plan.Seed, err)
	}
	if err != nil { // the nodes' logs may tell why
		return nil, fmt.Errorf("%s, seed %d: %w; the logs are in %s", plan.Name, plan.Seed, err, dir)
	}
	if passing && res.Passed {
		return res, os.RemoveAll(dir)
	}
	if err := res.Write(dir); err != nil {
		return nil, err
	}
	fmt.Fprintf(a.err, "results: %s\n", dir)
	return res, nil
}

// resultsFolder makes the folder of a run's results: the one that was asked for, or one that goes again if all was kept.
func resultsFolder(out string) (dir string, passing bool, err error) {
	if out != "" {
		return out, false, emptyFolder(out)
	}
	if dir, err = os.MkdirTemp("", "cottonrack-"); err != nil {
		return "", true, fmt.Errorf("results: %w", err)
	}
	return dir, true, nil
}

// folderOf is the folder of one seed's results among several runs'.
func folderOf(out string, runs int, seed uint64) string {
	if out == "" || runs == 1 {
		return out
	}
	return filepath.Join(out, fmt.Sprint(seed))
}

// seedOr is a seed that was asked for, or any.
func seedOr(seed uint64) uint64 {
	if seed == 0 {
		return rand.Uint64N(1e9) + 1
	}
	return seed
}

// emptyFolder makes a folder, or makes sure that nothing in it would be lost.
func emptyFolder(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return wrongUse{fmt.Errorf("--out: %w", err)}
	}
	in, err := os.ReadDir(dir)
	if err != nil {
		return wrongUse{fmt.Errorf("--out: %w", err)}
	}
	if len(in) > 0 {
		return wrongUse{fmt.Errorf("--out: %s is not empty: name a new folder, so that no results are lost", dir)}
	}
	return nil
}

// progress shows how far a run is: one line that changes on a terminal, a plain line each five seconds elsewhere.
func (a *app) progress(name string, seed uint64, nodes int) (show func(lab.Progress), done func()) {
	file, ok := a.err.(*os.File)
	live := ok && term.IsTerminal(int(file.Fd()))
	last := time.Now()
	line := func(p lab.Progress) string {
		if p.Starting {
			return fmt.Sprintf("%s seed %d: %d of %d nodes ready", name, seed, p.ReadyNodes, nodes)
		}
		return fmt.Sprintf("%s seed %d: %v of %v, %d handed in, %d calls, %d notices, %d of %d nodes up, lab late by %v", name, seed,
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

// readExperiment reads a file; what is wrong with it is told with its lines.
func readExperiment(path string) (experiment.File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return experiment.File{}, wrongUse{err}
	}
	f, err := experiment.Parse(raw)
	if err == nil {
		return f, nil
	}
	var lines []string
	for e := range strings.SplitSeq(err.Error(), "\n") {
		lines = append(lines, path+": "+e)
	}
	return f, wrongUse{errors.New(strings.Join(lines, "\n"))}
}

func printResult(w io.Writer, res *lab.Result) {
	verdict := "kept"
	if !res.Passed {
		verdict = "NOT KEPT"
	}
	all := res.Tally.All
	fmt.Fprintf(w, "%s seed %d: %s. %d nodes, %d messages, worth served %.3f; %d delivered, %d refused, %d failed, %d unheard\n", res.Experiment, res.Seed,
		verdict, res.Nodes, all.Messages, all.Share(), all.Delivered, all.Refused, all.Failed, all.Unknown)
	t := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	for _, l := range res.Tally.Classes {
		fmt.Fprintf(t, "  class %s\t%.3f\tof %d\n", l.Name, l.Share(), l.Messages)
	}
	if l, ok := res.Tally.WorstInterval(); ok {
		fmt.Fprintf(t, "  worst five seconds\t%.3f\tfrom %s\n", l.Share(), l.Name)
	}
	fmt.Fprintf(t, "  calls above limits\t%d\tof %d tries\n", res.Tally.CallsAboveLimit, res.Tally.Attempts)
	fmt.Fprintf(t, "  time to delivery\t%v\t99th percentile %v\n", res.Tally.TimeToDelivery.P50, res.Tally.TimeToDelivery.P99)
	fmt.Fprintf(t, "  lab late by\t%v\t99th percentile %v\n", res.Lateness.P50, res.Lateness.P99)
	t.Flush()
	for _, e := range res.Expectations {
		if !e.Met {
			fmt.Fprintf(w, "  not kept: %s; got %s\n", e.Condition, e.Actual)
		}
	}
	for _, s := range res.InvalidReasons {
		fmt.Fprintf(w, "  spoilt: %s\n", s)
	}
	const most = 10
	for i, b := range res.Violations {
		if i == most {
			fmt.Fprintf(w, "  and %d more breaches, in %s\n", len(res.Violations)-most, lab.ResultFile)
			break
		}
		fmt.Fprintf(w, "  breach of %s\n", b)
		for _, e := range b.Evidence {
			raw, _ := json.Marshal(e) // of plain fields
			fmt.Fprintf(w, "    %s\n", raw)
		}
	}
}

type labCheckCmd struct {
	File  string `arg:"" help:"The experiment, a TOML file."`
	Seed  uint64 `help:"The seed." default:"1"`
	Nodes int    `help:"So many nodes, in place of the experiment's number."`
}

// Run shows a plan.
func (c *labCheckCmd) Run(a *app) error {
	f, err := readExperiment(c.File)
	if err != nil {
		return err
	}
	p := f.DrawPlan(c.Seed, c.Nodes)
	if a.asJSON {
		return printJSON(a.out, p)
	}
	fmt.Fprintf(a.out, "%s, seed %d: %v and %v for the ends, %d nodes, %d messages, %d rude peers\n", p.Name, p.Seed, p.Length.Round(time.Millisecond),
		p.Settle, len(p.Nodes), len(p.Arrivals), len(p.RudePeers))
	t := tabwriter.NewWriter(a.out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(t, "partner\tkind\ttraffic\tlimit/s\tendpoints\tworkers\tpace\tbatch")
	for i, q := range p.Partners {
		fmt.Fprintf(t, "%d\t%s\t%.3f\t%.1f\t%d\t%d\t%v\t%d\n", i, p.PartnerKinds[q.Kind], q.Weight, q.Config.Limit.PerSecond, q.Config.Endpoints, q.Config.Workers,
			q.Config.ServiceTime.Round(time.Millisecond), q.Config.MaxBatch)
	}
	fmt.Fprintln(t, "\nnode\tzone\ttraffic\tslots\tholds")
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
		about := map[string]string{}
		for name, k := range experiment.FaultKinds {
			about[name] = k.Description
		}
		return printJSON(a.out, about)
	}
	t := tabwriter.NewWriter(a.out, 2, 0, 2, ' ', 0)
	for _, k := range slices.Sorted(maps.Keys(experiment.FaultKinds)) {
		fmt.Fprintf(t, "%s\t%s\n", k, experiment.FaultKinds[k].Description)
	}
	return t.Flush()
}

type labReportCmd struct {
	Dir string `arg:"" help:"The folder that run wrote with --out."`
}

// Run writes the page.
func (c *labReportCmd) Run(a *app) error {
	res, err := lab.ReadResult(c.Dir)
	if err != nil {
		return wrongUse{err}
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
	A    string `arg:"" help:"A build of the node, or an experiment (*.toml)."`
	B    string `arg:"" help:"Another one of the same sort."`
	File string `name:"experiment" short:"e" help:"The experiment that two builds play." default:"experiments/calm.toml"`
	Runs int    `help:"Seeds, each played by both." default:"5"`
	playing
}

// Run compares.
func (c *labCompareCmd) Run(a *app) error {
	if c.Runs < 2 {
		return wrongUse{errors.New("--runs is 2 at least: one pair has no spread")}
	}
	isFile := func(s string) bool { return strings.HasSuffix(s, ".toml") }
	if isFile(c.A) != isFile(c.B) {
		return wrongUse{errors.New("compare takes two builds or two experiments, not one of each")}
	}
	var sides [2]struct {
		f       experiment.File
		command []string
	}
	for i, what := range []string{c.A, c.B} {
		file, node := c.File, what
		if isFile(what) {
			file, node = what, c.Node
		}
		var err error
		if sides[i].f, err = readExperiment(file); err != nil {
			return err
		}
		if sides[i].command, err = (playing{Node: node}).command(); err != nil {
			return err
		}
	}
	seed := seedOr(c.Seed)
	cmp := lab.Comparison{A: c.A, B: c.B}
	for i := range c.Runs {
		var pair [2]*lab.Result
		for k := range pair {
			side := (k + i) % 2 // each is the first one every other time
			res, err := a.play(sides[side].f.DrawPlan(seed+uint64(i), c.Nodes), sides[side].command, "")
			if err != nil {
				if a.ctx.Err() != nil && i >= 2 {
					fmt.Fprintln(a.err, "ended early; the pairs played so far:")
					return errors.Join(a.printComparison(&cmp), context.Cause(a.ctx))
				}
				return err
			}
			pair[side] = res
		}
		cmp.Add(pair[0], pair[1])
	}
	return a.printComparison(&cmp)
}

func (a *app) printComparison(c *lab.Comparison) error {
	if a.asJSON {
		if err := printJSON(a.out, c.Differences()); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(a.out, "A is %s, B is %s; %d seeds from %d on; each difference is B less A of one seed\n", c.A, c.B, len(c.Pairs), c.Pairs[0].Seed)
		t := tabwriter.NewWriter(a.out, 2, 0, 2, ' ', 0)
		fmt.Fprintln(t, "figure\tA\tB\tmean difference\t95% from\tto\t")
		for _, l := range c.Differences() {
			fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%+.4g\t%+.4g\t%+.4g\t%s\n", l.Name, l.A, l.B, l.Mean, l.Low, l.High, l.Verdict)
		}
		t.Flush()
	}
	if c.FailedRuns() > 0 {
		fmt.Fprintf(a.err, "%d of the runs did not keep what was expected\n", c.FailedRuns())
		return errNotKept
	}
	return nil
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(v)
}
