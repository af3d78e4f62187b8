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
	Seed   uint64        `help:"Seed of the faults; 0 takes one at random and prints it." default:"0"`
	Runs   int           `help:"Play so many seeds one after the other, from --seed on." default:"1"`
	Length time.Duration `help:"For how long faults come." default:"12s"`
	Node   string        `help:"The node's program." default:"bin/coralyard" type:"path"`
	Out    string        `help:"Folder for logs and what was seen; by default a new one, removed when nothing was found."`
	Only   []string      `help:"Kinds of faults to play, by their names; without it all." sep:","`
	Breach string        `help:"A breach to be found: a node goes on accepting what it lost (accept), a number is given twice (number), a change is left out of a watch (change). Done is then that the checker finds it." enum:",accept,number,change" default:""`
}

// Run plays trials of ownership, and tells what the checker found.
func (c *labOwnershipCmd) Run(a *app) error {
	if c.Runs < 1 || c.Length <= 0 {
		return wrongUse{errors.New("--runs is 1 or more, --length more than 0")}
	}
	node, err := (playing{Node: c.Node}).command()
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	seed := seedOr(c.Seed)
	bad := 0
	var all []*trial.OwnershipResult
	for i := range c.Runs {
		s := seed + uint64(i)
		dir, passing, err := resultsFolder(folderOf(c.Out, c.Runs, s))
		if err != nil {
			return err
		}
		res, err := trial.RunOwnership(a.ctx, trial.OwnershipOptions{
			Directory: []string{self, "--log-level", "info", "directory", "serve"}, Node: node, Dir: dir, Seed: s, Duration: c.Length,
			FaultKinds: c.Only, Inject: c.Breach, Log: a.log,
		})
		if err != nil {
			if passing && a.ctx.Err() != nil { // who ends a trial early wants nothing of it
				os.RemoveAll(dir)
				return fmt.Errorf("seed %d: %w", s, err)
			}
			return fmt.Errorf("seed %d: %w; the logs are in %s; again: %s", s, err, dir, c.again(s))
		}
		all = append(all, res)
		if !a.asJSON {
			printOwnership(a, res)
		}
		if !res.Passed() {
			bad++
			fmt.Fprintf(a.err, "results: %s; again: %s\n", dir, c.again(s))
		} else if passing {
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
		fmt.Fprintf(a.out, "%d of %d trials were as they should be (seeds %d to %d)\n", c.Runs-bad, c.Runs, seed, seed+uint64(c.Runs)-1)
	}
	if bad > 0 {
		return errNotKept
	}
	return nil
}

// again is the command that plays a seed once more.
func (c *labOwnershipCmd) again(seed uint64) string {
	line := fmt.Sprintf("cottonrack lab ownership --seed %d --length %v", seed, c.Length)
	if len(c.Only) > 0 {
		line += fmt.Sprintf(" --only %q", strings.Join(c.Only, ","))
	}
	if c.Breach != "" {
		line += " --breach " + c.Breach
	}
	return line
}

func printOwnership(a *app, r *trial.OwnershipResult) {
	verdict := "kept"
	switch {
	case r.Injected != "" && r.InjectedFound:
		verdict = "the seeded breach, " + r.Injected + ", was found"
	case r.Injected != "":
		verdict = "THE SEEDED BREACH, " + r.Injected + ", WAS NOT FOUND"
	case len(r.Violations) > 0:
		verdict = "NOT KEPT"
	}
	fmt.Fprintf(a.out, "seed %d: %s; %d faults, %d maps, %d watches with %d lines; a former owner accepted for %v at the longest, all acted by the last map within %v\n",
		r.Seed, verdict, len(r.Faults), r.LastMapNumber, r.WatchRequests, r.WatchLines, r.LongestLateAccept.Round(time.Millisecond), r.ConvergenceTime.Round(time.Millisecond))
	for _, k := range slices.Sorted(maps.Keys(r.Submissions)) {
		fmt.Fprintf(a.out, "  %s %d", k, r.Submissions[k])
	}
	fmt.Fprintf(a.out, "; %d handed in again while held, %d ended after their node had lost them; %d times a node went on without a directory\n", r.AcceptedRepeats, r.EndedAfterLoss, r.AcceptedWithoutDirectory)
	for _, k := range slices.Sorted(maps.Keys(r.MapChanges)) {
		fmt.Fprintf(a.out, "  %s %d;", k, r.MapChanges[k])
	}
	fmt.Fprintln(a.out)
	if r.HostStalls > 0 {
		fmt.Fprintf(a.out, "  the machine held the trial up %d times, by %v at the longest; what came of that is not judged\n", r.HostStalls, r.LongestHostStall.Round(time.Millisecond))
	}
	if len(r.Violations) == 0 {
		return
	}
	if !r.Passed() {
		for _, f := range r.Faults {
			fmt.Fprintln(a.out, "  ", f)
		}
	}
	most := 10
	if r.InjectedFound {
		most = 2
	}
	for i, b := range r.Violations {
		if i == most {
			fmt.Fprintf(a.out, "   and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(a.out, "   breach of %s: %s\n", b.Rule, first(b.Description, 400))
	}
}
