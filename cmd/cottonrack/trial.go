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
	Seed   uint64        `help:"Seed of the faults; 0 takes one at random and prints it." default:"0"`
	Runs   int           `help:"Play so many seeds one after the other, from --seed on." default:"1"`
	Length time.Duration `help:"For how long faults come." default:"12s"`
	Out    string        `help:"Folder for logs and what was seen; by default a new one, removed when nothing was found."`
	Only   []string      `help:"Kinds of faults to play, by their names; without it all." sep:","`
	Stale  bool          `help:"A breach to be found: what is promised to be fresh is read at any replica."`
}

// Run plays trials of the list service, and tells what the checker found.
func (c *labDirectoryCmd) Run(a *app) error {
	if c.Runs < 1 || c.Length <= 0 {
		return wrongUse{errors.New("--runs is 1 or more, --length more than 0")}
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	seed := seedOr(c.Seed)
	bad := 0
	var all []*trial.Result
	for i := range c.Runs {
		s := seed + uint64(i)
		dir, passing, err := resultsFolder(folderOf(c.Out, c.Runs, s))
		if err != nil {
			return err
		}
		res, err := trial.Run(a.ctx, trial.Options{
			Command: []string{self, "--log-level", "info", "directory", "serve"}, Dir: dir, Seed: s, Duration: c.Length, FaultKinds: c.Only, StaleReads: c.Stale, Log: a.log,
		})
		if err != nil {
			if passing && a.ctx.Err() != nil {
				os.RemoveAll(dir)
			}
			return fmt.Errorf("seed %d: %w; the logs are in %s", s, err, dir)
		}
		all = append(all, res)
		if len(res.Violations) > 0 {
			bad++
			fmt.Fprintf(a.err, "results: %s\n", dir)
		} else if passing {
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
		fmt.Fprintf(a.out, "%d of %d trials kept every promise (seeds %d to %d)\n", c.Runs-bad, c.Runs, seed, seed+uint64(c.Runs)-1)
	}
	if bad > 0 {
		return errNotKept
	}
	return nil
}

func printTrial(a *app, r *trial.Result) {
	verdict := "kept"
	if len(r.Violations) > 0 {
		verdict = "NOT KEPT"
	}
	fmt.Fprintf(a.out, "seed %d: %s; %d faults, %d revisions in %d histories, %d lines told, %d leases, no write for %v at the longest, refused within %v\n", r.Seed, verdict,
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
		fmt.Fprintln(a.out, "   NOT KEPT:", first(p, 400))
	}
}

type labSizeCmd struct {
	Watchers  int           `help:"Watches at once." default:"3000"`
	Rate      int           `help:"Changes a second." default:"30"`
	Endpoints int           `help:"Endpoints of the list." default:"300"`
	Length    time.Duration `help:"Of each part." default:"10s"`
	Poll      time.Duration `help:"Between two asks of a node that polls." default:"1s"`
	Kills     int           `help:"Of leaders." default:"10"`
}

// Run measures the list service and the plain ways.
func (c *labSizeCmd) Run(a *app) error {
	if c.Watchers < 1 || c.Rate < 1 || c.Endpoints < 64 || c.Length <= 0 || c.Poll <= 0 || c.Kills < 0 {
		return wrongUse{errors.New("--watchers, --rate, --length and --poll are more than 0, --endpoints is 64 or more")}
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "cottonrack-")
	if err != nil {
		return fmt.Errorf("results: %w", err)
	}
	defer os.RemoveAll(dir)
	s, err := trial.Measure(a.ctx, trial.SizeOptions{Program: self, Dir: dir, Watchers: c.Watchers, ChangesPerSecond: c.Rate, Endpoints: c.Endpoints, Duration: c.Length,
		PollInterval: c.Poll, LeaderKills: c.Kills, Progress: func(what string) { fmt.Fprintln(a.err, "measuring", what) }})
	if err != nil {
		return err
	}
	return printJSON(a.out, s)
}

type labPlainCmd struct {
	Addr      string `arg:"" help:"Where to listen."`
	Endpoints int    `default:"300"`
	Rate      int    `default:"30"`
}

// Run is the plain way that the list service is measured against.
func (c *labPlainCmd) Run(a *app) error {
	return trial.ServePlainDirectory(a.ctx, c.Addr, c.Endpoints, c.Rate)
}

func first(s string, n int) string { return s[:min(len(s), n)] }
