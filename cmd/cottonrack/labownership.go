package main

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"starlingusher/internal/lab/trial"
)

type labOwnershipCmd struct {
	Seed              uint64        `help:"Seed of the faults; 0 takes a random seed and prints it." default:"0"`
	Runs              int           `help:"Number of trials, one after the other, with successive seeds from --seed on." default:"1"`
	Duration          time.Duration `name:"length" help:"Duration of the phase with faults." default:"12s"`
	Node              string        `help:"Path of the node program." default:"bin/coralyard" type:"path"`
	Out               string        `help:"Directory for logs and observations; the default is a temporary one, which is removed if the trial passes."`
	FaultKinds        []string      `name:"only" help:"Names of the kinds of faults to inject; the default is all." sep:","`
	InjectedViolation string        `name:"breach" help:"Inject a violation that the checker must find for the trial to pass: a node goes on accepting messages of a partition that it lost (accept), a map number is given twice (number), a change is left out of a watch (change)." enum:",accept,number,change" default:""`
}

// Run runs trials of ownership, and prints what the checker found.
func (c *labOwnershipCmd) Run(a *app) error {
	if c.Runs < 1 || c.Duration <= 0 {
		return usageError{errors.New("--runs must be 1 or more, --length must be more than 0")}
	}
	node, err := (runFlags{NodeProgram: c.Node}).nodeCommand()
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	seed := seedOrRandom(c.Seed)
	failedTrials := 0
	var all []*trial.OwnershipResult
	for i := range c.Runs {
		s := seed + uint64(i)
		dir, temporary, err := createResultsDir(resultsDirOf(c.Out, c.Runs, s))
		if err != nil {
			return err
		}
		res, err := trial.RunOwnership(a.ctx, trial.OwnershipOptions{
			Directory: []string{self, "--log-level", "info", "directory", "serve"}, Node: node, Dir: dir, Seed: s, Duration: c.Duration,
			FaultKinds: c.FaultKinds, Inject: c.InjectedViolation, Log: a.log,
		})
		if err != nil {
			if temporary && a.ctx.Err() != nil { // a user who ends a trial early does not want its results
				os.RemoveAll(dir)
				return fmt.Errorf("seed %d: %w", s, err)
			}
			return fmt.Errorf("seed %d: %w; the logs are in %s; to run it again: %s", s, err, dir, c.replayCommand(s))
		}
		all = append(all, res)
		if !a.asJSON {
			printOwnership(a, res)
		}
		if !res.Passed() {
			failedTrials++
			fmt.Fprintf(a.err, "results: %s; to run it again: %s\n", dir, c.replayCommand(s))
		} else if temporary {
			if err := os.RemoveAll(dir); err != nil {
				return err
			}
		}
	}
	if a.asJSON {
		if err := printJSON(a.out, all); err != nil {
			return err
		}
	} else if c.Runs > 1 {
		fmt.Fprintf(a.out, "%d of %d trials passed (seeds %d to %d)\n", c.Runs-failedTrials, c.Runs, seed, seed+uint64(c.Runs)-1)
	}
	if failedTrials > 0 {
		return errNotPassed
	}
	return nil
}

// replayCommand returns the command that runs a seed again.
func (c *labOwnershipCmd) replayCommand(seed uint64) string {
	line := fmt.Sprintf("cottonrack lab ownership --seed %d --length %v", seed, c.Duration)
	if len(c.FaultKinds) > 0 {
		line += fmt.Sprintf(" --only %q", strings.Join(c.FaultKinds, ","))
	}
	if c.InjectedViolation != "" {
		line += " --breach " + c.InjectedViolation
	}
	return line
}

func printOwnership(a *app, r *trial.OwnershipResult) {
	verdict := "kept"
	switch {
	case r.Injected != "" && r.InjectedFound:
		verdict = "the injected violation, " + r.Injected + ", was found"
	case r.Injected != "":
		verdict = "THE INJECTED VIOLATION, " + r.Injected + ", WAS NOT FOUND"
	case len(r.Violations) > 0:
		verdict = "NOT KEPT"
	}
	fmt.Fprintf(a.out, "seed %d: %s; %d faults, %d maps, %d watches with %d lines; a former owner went on accepting for at most %v, all nodes followed the last map within %v\n",
		r.Seed, verdict, len(r.Faults), r.LastMapNumber, r.WatchRequests, r.WatchLines, r.LongestLateAccept.Round(time.Millisecond), r.ConvergenceTime.Round(time.Millisecond))
	for _, k := range slices.Sorted(maps.Keys(r.Submissions)) {
		fmt.Fprintf(a.out, "  %s %d", k, r.Submissions[k])
	}
	fmt.Fprintf(a.out, "; %d submitted again while still held, %d ended after their node had lost the partition; %d times a node went on without a directory\n", r.AcceptedRepeats, r.EndedAfterLoss, r.AcceptedWithoutDirectory)
	for _, k := range slices.Sorted(maps.Keys(r.MapChanges)) {
		fmt.Fprintf(a.out, "  %s %d;", k, r.MapChanges[k])
	}
	fmt.Fprintln(a.out)
	if r.HostStalls > 0 {
		fmt.Fprintf(a.out, "  the machine stalled the trial %d times, for at most %v; the consequences are not checked\n", r.HostStalls, r.LongestHostStall.Round(time.Millisecond))
	}
	if len(r.Violations) == 0 {
		return
	}
	if !r.Passed() {
		for _, f := range r.Faults {
			fmt.Fprintln(a.out, "  ", f)
		}
	}
	maxShown := 10
	if r.InjectedFound {
		maxShown = 2
	}
	for i, b := range r.Violations {
		if i == maxShown {
			fmt.Fprintf(a.out, "   and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(a.out, "   violation of %s: %s\n", b.Rule, truncate(b.Description, 400))
	}
}
