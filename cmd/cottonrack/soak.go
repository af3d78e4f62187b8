package main

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"sync"

	"starlingusher/fleet/experiment"
	"starlingusher/fleet/judge"
	"starlingusher/internal/lab"
)

type labSoakCmd struct {
	NodeProgram string `name:"node" help:"Path of the node program." default:"bin/coralyard" type:"path"`
	First       uint64 `help:"First seed." default:"1"`
	Count       int    `help:"Number of seeds; each is a day of some 16 s." default:"50"`
	Parallel    int    `help:"Days at a time." default:"1"`
	Out         string `help:"Directory for the results of days that break a rule; the default is a temporary one."`
}

// soakDay is the outcome of one day. A day on which the lab itself was late proves nothing.
type soakDay struct {
	Seed   uint64            `json:"seed"`
	Faults []string          `json:"faults"`
	Result *lab.Result       `json:"-"`
	Broken []judge.Violation `json:"broken"`
	Late   []string          `json:"late,omitempty"` // why the run is invalid
	Err    string            `json:"error,omitempty"`
}

// Run plays days drawn from successive seeds. A day that breaks a rule keeps its results, and the soak goes on.
func (c *labSoakCmd) Run(a *app) error {
	if c.Count < 1 || c.Parallel < 1 {
		return usageError{errors.New("--count and --parallel must be 1 or more")}
	}
	command, err := runFlags{NodeProgram: c.NodeProgram}.nodeCommand()
	if err != nil {
		return err
	}
	days := make([]soakDay, c.Count)
	slots := make(chan struct{}, c.Parallel)
	var output sync.Mutex
	var wg sync.WaitGroup
	for i := range days {
		slots <- struct{}{}
		if a.ctx.Err() != nil {
			break
		}
		wg.Go(func() {
			defer func() { <-slots }()
			day := c.play(a, command, c.First+uint64(i))
			output.Lock()
			defer output.Unlock()
			days[i] = day
			if !a.asJSON {
				printSoakDay(a, day)
			}
		})
	}
	wg.Wait()
	return c.report(a, days)
}

func (c *labSoakCmd) play(a *app, command []string, seed uint64) soakDay {
	day := soakDay{Seed: seed}
	f, err := experiment.SoakFile(seed)
	if err != nil {
		day.Err = err.Error()
		return day
	}
	plan := f.DrawPlan(seed, 0)
	for _, fault := range plan.Faults {
		day.Faults = append(day.Faults, fault.String())
	}
	out := c.Out
	if out != "" {
		out = filepath.Join(out, fmt.Sprint(seed))
	}
	if day.Result, err = a.runPlan(plan, command, out); err != nil {
		day.Err = err.Error()
		return day
	}
	day.Broken, day.Late = day.Result.Violations, day.Result.InvalidReasons
	return day
}

func printSoakDay(a *app, day soakDay) {
	switch {
	case day.Err != "":
		fmt.Fprintf(a.out, "seed %d: not played: %s\n", day.Seed, day.Err)
	case len(day.Late) > 0:
		fmt.Fprintf(a.out, "seed %d: invalid, %d violations are not counted: %s\n", day.Seed, len(day.Broken), strings.Join(day.Late, "; "))
	case len(day.Broken) == 0:
		fmt.Fprintf(a.out, "seed %d: kept, worth served %.3f; %s\n", day.Seed, day.Result.Tally.All.Share(), strings.Join(day.Faults, "; "))
	default:
		fmt.Fprintf(a.out, "seed %d: BROKEN\n", day.Seed)
		printResult(a.out, day.Result)
		fmt.Fprintf(a.out, "  faults: %s\n", strings.Join(day.Faults, "; "))
	}
}

// report prints the summary, and returns errNotPassed unless all days kept the rules.
func (c *labSoakCmd) report(a *app, days []soakDay) error {
	broken, failed, invalid := 0, 0, 0
	for _, day := range days {
		switch {
		case day.Err != "" || day.Result == nil:
			failed++
		case len(day.Late) > 0:
			invalid++
		case len(day.Broken) > 0:
			broken++
		}
	}
	if a.asJSON {
		if err := printJSON(a.out, days); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(a.out, "soak: %d of %d days kept the rules, %d broke one, %d were invalid, %d were not played (seeds %d to %d)\n", len(days)-broken-failed-invalid,
			len(days), broken, invalid, failed,
			c.First, c.First+uint64(c.Count)-1)
	}
	if broken+failed > 0 {
		return errNotPassed
	}
	return nil
}
