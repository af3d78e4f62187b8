package main

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"starlingusher/fleet/capacity"
)

type capacityCmd struct {
	Target string   `help:"The fleet: its size and what it may spend, a TOML file." default:"docs/capacity/target.toml"`
	Slopes string   `help:"What scale runs have measured, a TOML file." default:"docs/capacity/slopes.toml"`
	Only   []string `help:"Print these tables alone: target, node-control, node-own, directory, follower, operators, failures, order, roadmap, slopes, bounds." sep:","`
	Order  bool     `help:"Print what ends first and what waits for what alone; as --only order,roadmap."`
	Write  string   `help:"Bring the tables of this page up to date in place of printing them; its prose stays."`
}

// Help is the long text of --help.
func (c *capacityCmd) Help() string {
	return `Works out what a fleet costs, and at which share of it today's program ends and by what. Nothing is measured
here: the slopes come from "cottonrack lab scale", the size from the target file. From the root of the repository:

    cottonrack capacity                              # all tables, in Markdown
    cottonrack capacity --order                      # what ends first, what waits for what
    cottonrack capacity --target mine.toml           # another fleet: copy docs/capacity/target.toml and change it
    cottonrack capacity --write docs/CAPACITY.md     # after new slopes: the page's tables anew

How to read a line: "at the target" is the figure at the full size, "ends at" how much of it today's program carries
with all else as the target has it, "known" how far to trust it. What no run has measured says missing.`
}

// Run works it out, and prints it or writes the page.
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
			return wrongUse{fmt.Errorf("--only: there is no table %q", name)}
		}
	}
	switch {
	case c.Write != "" && (len(only) > 0 || a.asJSON):
		return wrongUse{errors.New("--write takes neither --only, --order nor --json")}
	case c.Write != "":
		return c.write(a, r)
	case a.asJSON && len(only) > 0:
		return wrongUse{errors.New("--json takes neither --only nor --order")}
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

// write brings a page up to date. It is whole at any time.
func (c *capacityCmd) write(a *app, r capacity.Report) error {
	before, err := os.ReadFile(c.Write)
	if err != nil {
		return wrongUse{err}
	}
	after, err := capacity.UpdatePage(before, r.Sections())
	if err != nil {
		return wrongUse{inFile(c.Write, err)}
	}
	if string(after) == string(before) {
		fmt.Fprintf(a.out, "%s was up to date\n", c.Write)
		return nil
	}
	next := c.Write + ".new"
	if err := os.WriteFile(next, after, 0o644); err != nil {
		return err
	}
	if err := os.Rename(next, c.Write); err != nil {
		return errors.Join(err, os.Remove(next))
	}
	fmt.Fprintf(a.out, "%s is up to date now\n", c.Write)
	return nil
}

// parseFile reads a file; what is wrong with it is told with its name and lines, and is wrong use.
func parseFile[T any](path string, parse func([]byte) (T, error)) (T, error) {
	var v T
	raw, err := os.ReadFile(path)
	if err != nil {
		return v, wrongUse{err}
	}
	if v, err = parse(raw); err != nil {
		return v, wrongUse{inFile(path, err)}
	}
	return v, nil
}

// inFile puts a file's name before each of the errors that are joined.
func inFile(path string, err error) error {
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return fmt.Errorf("%s: %w", path, err)
	}
	var all []error
	for _, e := range joined.Unwrap() {
		all = append(all, inFile(path, e))
	}
	return errors.Join(all...)
}
