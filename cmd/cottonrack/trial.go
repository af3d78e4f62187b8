package main

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"starlingusher/internal/lab/trial"
)

type labDirectoryCmd struct {
	Seed       uint64        `help:"Seed of the faults; 0 takes a random seed and prints it." default:"0"`
	Runs       int           `help:"Number of trials, one after the other, with successive seeds from --seed on." default:"1"`
	Duration   time.Duration `name:"length" help:"Duration of the phase with faults." default:"12s"`
	Out        string        `help:"Directory for logs and observations; the default is a temporary one, which is removed if the trial passes."`
	FaultKinds []string      `name:"only" help:"Names of the kinds of faults to inject; the default is all." sep:","`
	StaleReads bool          `name:"stale" help:"Inject a violation that the checker must find: reads that promise fresh data are served by any replica."`
}

// Run runs trials of the directory, and prints what the checker found.
func (c *labDirectoryCmd) Run(a *app) error {
	if c.Runs < 1 || c.Duration <= 0 {
		return usageError{errors.New("--runs must be 1 or more, --length must be more than 0")}
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	seed := seedOrRandom(c.Seed)
	failedTrials := 0
	var all []*trial.Result
	for i := range c.Runs {
		s := seed + uint64(i)
		dir, temporary, err := createResultsDir(resultsDirOf(c.Out, c.Runs, s))
		if err != nil {
			return err
		}
		res, err := trial.Run(a.ctx, trial.Options{
			Command: []string{self, "--log-level", "info", "directory", "serve"}, Dir: dir, Seed: s, Duration: c.Duration, FaultKinds: c.FaultKinds, StaleReads: c.StaleReads, Log: a.log,
		})
		if err != nil {
			if temporary && a.ctx.Err() != nil {
				os.RemoveAll(dir)
			}
			return fmt.Errorf("seed %d: %w; the logs are in %s", s, err, dir)
		}
		all = append(all, res)
		if len(res.Violations) > 0 {
			failedTrials++
			fmt.Fprintf(a.err, "results: %s\n", dir)
		} else if temporary {
			if err := os.RemoveAll(dir); err != nil {
				return err
			}
		}
		if !a.asJSON {
			printTrial(a, res)
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

func printTrial(a *app, r *trial.Result) {
	verdict := "kept"
	if len(r.Violations) > 0 {
		verdict = "NOT KEPT"
	}
	fmt.Fprintf(a.out, "seed %d: %s; %d faults, %d revisions in %d histories, %d watch lines, %d leases, no write for at most %v, refused within %v\n", r.Seed, verdict,
		len(r.Faults), r.Revisions, r.Histories, r.WatchLines, r.LeaseHoldings, r.LongestWriteGap.Round(time.Millisecond), r.LongestRefusal.Round(time.Millisecond))
	for _, k := range slices.Sorted(maps.Keys(r.Operations)) {
		fmt.Fprintf(a.out, "  %s %d", k, r.Operations[k])
	}
	fmt.Fprintln(a.out)
	if len(r.Violations) == 0 {
		return
	}
	for _, f := range r.Faults {
		fmt.Fprintln(a.out, "  ", f)
	}
	for i, p := range r.Violations {
		if i == 10 {
			fmt.Fprintf(a.out, "   and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintln(a.out, "   VIOLATION:", truncate(p, 400))
	}
}

type labSizeCmd struct {
	Watchers         int           `help:"Number of concurrent watches." default:"3000"`
	ChangesPerSecond int           `name:"rate" help:"Changes per second." default:"30"`
	Endpoints        int           `help:"Number of endpoints in the list." default:"300"`
	Duration         time.Duration `name:"length" help:"Duration of each part." default:"10s"`
	PollInterval     time.Duration `name:"poll" help:"Time between two requests of a node that polls." default:"1s"`
	LeaderKills      int           `name:"kills" help:"Number of times the leader is killed." default:"10"`
}

// Run measures the directory and the plain alternatives.
func (c *labSizeCmd) Run(a *app) error {
	if c.Watchers < 1 || c.ChangesPerSecond < 1 || c.Endpoints < 64 || c.Duration <= 0 || c.PollInterval <= 0 || c.LeaderKills < 0 {
		return usageError{errors.New("--watchers, --rate, --length and --poll must be more than 0, --endpoints must be 64 or more")}
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "cottonrack-")
	if err != nil {
		return fmt.Errorf("create results directory: %w", err)
	}
	defer os.RemoveAll(dir)
	s, err := trial.Measure(a.ctx, trial.SizeOptions{Program: self, Dir: dir, Watchers: c.Watchers, ChangesPerSecond: c.ChangesPerSecond, Endpoints: c.Endpoints, Duration: c.Duration,
		PollInterval: c.PollInterval, LeaderKills: c.LeaderKills, Progress: func(what string) { fmt.Fprintln(a.err, "measuring", what) }})
	if err != nil {
		return err
	}
	return printJSON(a.out, s)
}

type labPlainCmd struct {
	Addr             string `arg:"" help:"Address to listen at."`
	Endpoints        int    `default:"300"`
	ChangesPerSecond int    `name:"rate" default:"30"`
}

// Run serves the plain alternative that the directory is compared with.
func (c *labPlainCmd) Run(a *app) error {
	return trial.ServePlainDirectory(a.ctx, c.Addr, c.Endpoints, c.ChangesPerSecond)
}

func truncate(s string, n int) string { return s[:min(len(s), n)] }
