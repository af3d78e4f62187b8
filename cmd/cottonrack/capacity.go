package main

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"starlingusher/fleet/capacity"
)

type capacityCmd struct {
	Target string   `help:"TOML file with the size and the budgets of the fleet." default:"docs/capacity/target.toml"`
	Slopes string   `help:"TOML file with the results of scale runs." default:"docs/capacity/slopes.toml"`
	Only   []string `help:"Print only these tables: target, node-control, node-own, directory, follower, operators, failures, order, roadmap, slopes, bounds." sep:","`
	Order  bool     `help:"Print only the limits in order and the order of work; same as --only order,roadmap."`
	Write  string   `help:"Update the tables of this page instead of printing them; its text is not changed."`
}

// Help returns the long text of --help.
func (c *capacityCmd) Help() string {
	return `Computes what a fleet costs, up to which share of it today's program can run it, and what limits it. Nothing is measured
here: the slopes come from "cottonrack lab scale", the size from the target file. From the root of the repository:

    cottonrack capacity                              # all tables, in Markdown
    cottonrack capacity --order                      # the limits in order, and the order of work
    cottonrack capacity --target mine.toml           # another fleet, in a changed copy of docs/capacity/target.toml
    cottonrack capacity --write docs/CAPACITY.md     # update the page's tables after new slopes

How to read a line: "at the target" is the value at the full size, "ends at" the share that today's program can run
with everything else as in the target, "known" how reliable it is. What no run has measured is marked "missing".`
}

// Run computes the report, and prints it or updates the page.
func (c *capacityCmd) Run(a *app) error {
	t, err := parseFile(c.Target, capacity.ParseTarget)
	if err != nil {
		return err
	}
	slopes, err := parseFile(c.Slopes, capacity.ParseSlopes)
	if err != nil {
		return err
	}
	r := capacity.Compute(t, slopes)
	only := c.Only
	if c.Order {
		only = append(only, "order", "roadmap")
	}
	for _, name := range only {
		if !slices.ContainsFunc(r.Sections(), func(s capacity.Section) bool { return s.Name == name }) {
			return usageError{fmt.Errorf("--only: there is no table %q", name)}
		}
	}
	switch {
	case c.Write != "" && (len(only) > 0 || a.asJSON):
		return usageError{errors.New("--write takes neither --only, --order nor --json")}
	case c.Write != "":
		return c.updatePage(a, r)
	case a.asJSON && len(only) > 0:
		return usageError{errors.New("--json takes neither --only nor --order")}
	case a.asJSON:
		return printJSON(a.out, r)
	}
	for _, s := range r.Sections() {
		if len(only) > 0 && !slices.Contains(only, s.Name) {
			continue
		}
		if _, err := fmt.Fprintf(a.out, "## %s\n\n%s\n", s.Title, s.Table); err != nil {
			return err
		}
	}
	return nil
}

// updatePage replaces the tables of the page atomically.
func (c *capacityCmd) updatePage(a *app, r capacity.Report) error {
	before, err := os.ReadFile(c.Write)
	if err != nil {
		return usageError{err}
	}
	after, err := capacity.UpdatePage(before, r.Sections())
	if err != nil {
		return usageError{withFileName(c.Write, err)}
	}
	if string(after) == string(before) {
		fmt.Fprintf(a.out, "%s is already up to date\n", c.Write)
		return nil
	}
	next := c.Write + ".new"
	if err := os.WriteFile(next, after, 0o644); err != nil {
		return err
	}
	if err := os.Rename(next, c.Write); err != nil {
		return errors.Join(err, os.Remove(next))
	}
	fmt.Fprintf(a.out, "%s has been updated\n", c.Write)
	return nil
}

// parseFile reads and parses a file. Errors name the file and its lines, and are usage errors.
func parseFile[T any](path string, parse func([]byte) (T, error)) (T, error) {
	var v T
	raw, err := os.ReadFile(path)
	if err != nil {
		return v, usageError{err}
	}
	if v, err = parse(raw); err != nil {
		return v, usageError{withFileName(path, err)}
	}
	return v, nil
}

// withFileName puts the name of a file in front of each of the joined errors.
func withFileName(path string, err error) error {
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return fmt.Errorf("%s: %w", path, err)
	}
	var all []error
	for _, e := range joined.Unwrap() {
		all = append(all, withFileName(path, e))
	}
	return errors.Join(all...)
}
