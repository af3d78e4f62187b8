package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/fleet/ownership"
	"starlingusher/internal/directory"
	"starlingusher/internal/registry"
	"starlingusher/internal/settings"
)

type ownershipCmd struct {
	Plan  ownershipPlanCmd  `cmd:"" help:"Show what a file of members would move; nothing is written."`
	Apply ownershipApplyCmd `cmd:"" help:"Make the map of a file of members, and let it be in force."`
	Show  ownershipShowCmd  `cmd:"" help:"Show the map in force: its number, members, and the parts of each."`
	Where ownershipWhereCmd `cmd:"" help:"Show a destination's partition and owners."`
}

// memberFile is the form of MEMBERS.toml.
type memberFile struct {
	Copies  int `toml:"copies"`
	Members []struct {
		Name   string   `toml:"name"`
		Zone   string   `toml:"zone"`
		Weight *float64 `toml:"weight"`
	} `toml:"member"`
}

// wanted is who shall be members, from a file.
type wanted struct {
	Members string `arg:"" help:"TOML: copies = 3, and for each node [[member]] with name, zone and weight (1 if left out)."`
}

func (w wanted) load() (copies int, members []ownership.Member, err error) {
	f := memberFile{Copies: 3}
	if err := settings.Load(w.Members, &f); err != nil {
		return 0, nil, wrongUse{err}
	}
	for _, m := range f.Members {
		weight := 1.0
		if m.Weight != nil {
			weight = *m.Weight
		}
		members = append(members, ownership.Member{Name: m.Name, Zone: m.Zone, Weight: weight})
	}
	if err := ownership.CheckMembers(f.Copies, members); err != nil { // before anybody is asked
		return 0, nil, wrongUse{fmt.Errorf("%s: %w", w.Members, err)}
	}
	return f.Copies, members, nil
}

// readMap reads the map of a file, as show --save and nodes write it.
func readMap(path string) (*ownership.Map, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, wrongUse{err}
	}
	m, err := ownership.Decode(raw)
	if err != nil {
		return nil, wrongUse{fmt.Errorf("%s: %w", path, err)}
	}
	return m, nil
}

// saveMap writes one to a new file.
func saveMap(path string, m *ownership.Map) error {
	raw, err := m.Encode()
	if err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return wrongUse{err}
	}
	_, err = f.Write(raw)
	if err = errors.Join(err, f.Close()); err != nil {
		os.Remove(path)
	}
	return err
}

// fetchMap reads the newest map, nil if there is none: as of now if fresh, else as some replica has it.
func (c asking) fetchMap(ctx context.Context, fresh bool) (*ownership.Map, error) {
	path := "/records/" + ownership.RecordName
	if fresh {
		path += "?fresh=1"
	}
	raw, _, err := c.operator().Do(ctx, http.MethodGet, path, "", nil)
	if errors.Is(err, catalog.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var r catalog.Record
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("record %s: %w", ownership.RecordName, err)
	}
	if r.Value == nil {
		return nil, nil
	}
	m, err := ownership.Decode(r.Value)
	if err != nil {
		return nil, fmt.Errorf("record %s can't be read: %w", ownership.RecordName, err)
	}
	return m, nil
}

// planned is a change as it is shown.
type planned struct {
	Number  int64 `json:"number"`
	Before  int64 `json:"before"` // 0: none
	Copies  int   `json:"copies"`
	Members int   `json:"members"`
	Bytes   int   `json:"bytes"`
	ownership.Change
	Written bool `json:"written"`
}

// planMap makes the next map, or is the one before if nothing is to change.
func planMap(number int64, copies int, members []ownership.Member, before *ownership.Map) (*ownership.Map, planned, error) {
	m, err := ownership.Make(number, copies, members, before)
	if err != nil {
		return nil, planned{}, err
	}
	raw, err := m.Encode()
	if err != nil {
		return nil, planned{}, err
	}
	p := planned{Number: number, Copies: copies, Members: len(members), Bytes: len(raw), Change: ownership.Diff(before, m)}
	if before != nil {
		p.Before = before.Number
		same := *m
		same.Number = before.Number
		now, err := before.Encode()
		if raw, err2 := same.Encode(); err == nil && err2 == nil && bytes.Equal(raw, now) {
			m, p.Number = before, before.Number
		}
	}
	return m, p, nil
}

func (p planned) print(a *app) error {
	if a.asJSON {
		return printJSON(a.out, p)
	}
	if p.Before == 0 {
		fmt.Fprintf(a.out, "map %d, the first: %d members, %d owners of a partition\n", p.Number, p.Members, p.Copies)
	} else {
		fmt.Fprintf(a.out, "map %d after %d: %d members, %d owners of a partition\n", p.Number, p.Before, p.Members, p.Copies)
	}
	some := func(what string, names []string) {
		if len(names) > 0 {
			more := ""
			if len(names) > 10 {
				more = " and others"
			}
			fmt.Fprintf(a.out, "%d %s: %v%s\n", len(names), what, names[:min(10, len(names))], more)
		}
	}
	if p.Before != 0 {
		some("come", p.Added)
		some("go", p.Removed)
		fmt.Fprintf(a.out, "%d of %d parts move; %d of %d partitions keep no owner\n", p.Moved, p.Assignments, p.NoOwnerKept, ownership.PartitionCount)
	}
	_, err := fmt.Fprintf(a.out, "%s owns most: %d parts\n", p.MaxLoadMember, p.MaxLoad)
	return err
}

// guarded tells how a change that is too large may be done all the same.
func (p planned) guarded() error {
	if err := p.CheckSize(); err != nil {
		return fmt.Errorf("%w; --confirm if that is meant", err)
	}
	return nil
}

type ownershipPlanCmd struct {
	wanted
	asking
	Offline bool   `help:"Ask no directory."`
	From    string `help:"The map before, a file as show --save writes it; with --offline alone there is none."`
	Save    string `help:"Write the map that would be into this file, which must not exist."`
}

// Run shows it.
func (c *ownershipPlanCmd) Run(a *app) error {
	copies, members, err := c.load()
	if err != nil {
		return err
	}
	if c.From != "" && !c.Offline {
		return wrongUse{errors.New("--from is for --offline; without it the directory has the map before")}
	}
	var before *ownership.Map
	switch {
	case c.From != "":
		before, err = readMap(c.From)
	case !c.Offline:
		before, err = c.fetchMap(a.ctx, true)
	}
	if err != nil {
		return err
	}
	number := int64(1)
	if before != nil {
		number = before.Number + 1
	}
	m, p, err := planMap(number, copies, members, before)
	if err != nil {
		return err
	}
	if m == before && !a.asJSON {
		_, err := fmt.Fprintf(a.out, "nothing would change; map %d stays\n", before.Number)
		return err
	}
	if c.Save != "" {
		if err := saveMap(c.Save, m); err != nil {
			return err
		}
	}
	if err := p.print(a); err != nil {
		return err
	}
	if err := p.CheckSize(); err != nil && !a.asJSON {
		fmt.Fprintf(a.out, "apply would refuse it without --confirm: %v\n", err)
	}
	return nil
}

type ownershipApplyCmd struct {
	wanted
	asking
	Confirm bool  `help:"Do it also if more than half of the members go, or more than half of all parts move."`
	Above   int64 `help:"Take a number above this one: after a restored backup, one that no node has; also if the record can't be read, and then the map is made as the first."`
}

// applyLease is for how long the record is held at most by one who does not come back, and how long another waits for it.
const applyLease = 5 * time.Second

// Run writes it.
func (c *ownershipApplyCmd) Run(a *app) error {
	copies, members, err := c.load()
	if err != nil {
		return err
	}
	if c.Above < 0 {
		return wrongUse{errors.New("--above is a number that was given")}
	}
	var p planned
	agreement := ownership.Publisher{AboveNumber: c.Above, Plan: func(number int64, before *ownership.Map) (*ownership.Map, error) {
		m, change, err := planMap(number, copies, members, before)
		if p = change; err != nil || m == before || c.Confirm {
			return m, err
		}
		return m, p.guarded()
	}}
	m, err := c.agree(a.ctx, &agreement)
	switch {
	case errors.Is(err, ownership.ErrAmbiguous):
		return fmt.Errorf("%w; look with show, and apply again", err)
	case err != nil:
		return fmt.Errorf("nothing was written: %w", err)
	}
	p.Written = m.Number > p.Before
	if p.Written || a.asJSON {
		return p.print(a)
	}
	_, err = fmt.Fprintf(a.out, "nothing changes; map %d stays\n", m.Number)
	return err
}

// agree carries an agreement out, until it ends, the context does, or nobody can serve for the time to wait.
func (c asking) agree(ctx context.Context, agreement *ownership.Publisher) (*ownership.Map, error) {
	o := c.operator()
	o.RetryFor = 0 // the agreement's steps are tried again one by one
	holder := fmt.Sprintf("%s.%d.%x", o.By, os.Getpid(), rand.Uint32())
	const path = "/records/" + ownership.RecordName
	// What is under way is waited for: an answer that was not taken is one that is not known.
	ask := func(method, path string, body, into any) error {
		raw, err := json.Marshal(body)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), applyLease)
		defer cancel()
		if raw, _, err = o.Do(ctx, method, path, "", raw); err != nil {
			return err
		}
		if err := json.Unmarshal(raw, into); err != nil {
			return fmt.Errorf("%w: %w", directory.ErrAmbiguous, err)
		}
		return nil
	}
	begun := time.Now()
	var held time.Time
	for next := agreement.Begin(); ; {
		ans := ownership.Answer{Seq: next.Seq, Outcome: ownership.Done}
		var w directory.WriteResult
		var err error
		switch next.Operation {
		case ownership.Acquire:
			held = time.Now()
			err = ask(http.MethodPut, path, map[string]any{"holder": holder, "ttl_ms": applyLease.Milliseconds()}, &w)
			ans.Token = w.Token
		case ownership.Read:
			var r catalog.Record
			err = ask(http.MethodGet, path+"?fresh=1", nil, &r)
			ans.Value = r.Value
		case ownership.Update:
			if time.Since(held) >= applyLease { // this process was stopped meanwhile
				ans.Outcome = ownership.LeaseLost
				break
			}
			err = ask(http.MethodPost, path, map[string]any{"token": next.Token, "value": next.Value}, &w)
		case ownership.Release:
			err = ask(http.MethodDelete, path, map[string]any{"token": next.Token}, &w)
		case ownership.End:
			return next.Map, next.Err
		}
		switch {
		case err == nil:
		case errors.Is(err, directory.ErrAmbiguous):
			ans.Outcome = ownership.Ambiguous
		case errors.Is(err, catalog.ErrInvalid):
			ans.Outcome, ans.Err = ownership.Refused, fmt.Errorf("%w: %w", ownership.ErrInvalid, err)
		default:
			ans.Outcome, ans.Err = ownership.Refused, err
		}
		limit := c.Wait
		if errors.Is(err, catalog.ErrNotHolder) { // somebody writes, or has died
			limit += applyLease
		}
		if ans.Outcome != ownership.Done && (time.Since(begun) > limit || !registry.Sleep(ctx, 100*time.Millisecond)) {
			ans.Outcome = ownership.TimedOut
		}
		var ok bool
		if next, ok = agreement.Step(ans); !ok {
			return nil, errors.New("an answer that nobody asked for") // there is one action at a time
		}
	}
}

// mapSource is where show and where read the map from.
type mapSource struct {
	asking
	Fresh bool   `help:"The newest for sure; needs a leader. Without it, what some replica has."`
	From  string `help:"Of this file in place of the directory, as show --save and nodes write it."`
}

func (c mapSource) read(ctx context.Context) (*ownership.Map, error) {
	if c.From != "" {
		return readMap(c.From)
	}
	m, err := c.fetchMap(ctx, c.Fresh)
	if err == nil && m == nil {
		err = errors.New("there is no map; cottonrack ownership apply makes the first")
	}
	return m, err
}

type ownershipShowCmd struct {
	mapSource
	Save string `help:"Write the map into this file as well, which must not exist."`
}

// Run shows it.
func (c *ownershipShowCmd) Run(a *app) error {
	m, err := c.read(a.ctx)
	if err != nil {
		return err
	}
	if c.Save != "" {
		if err := saveMap(c.Save, m); err != nil {
			return err
		}
	}
	type row struct {
		ownership.Member
		Parts      int     `json:"parts"`
		Share      float64 `json:"share"` // fair, in parts
		Partitions string  `json:"partitions"`
	}
	var rows []row
	loads, shares := m.Loads(), m.FairShares()
	for i, member := range m.Members {
		own, _ := m.PartitionsOf(member.Name)
		rows = append(rows, row{member, loads[i], shares[i], own.String()})
	}
	if a.asJSON {
		return printJSON(a.out, map[string]any{"number": m.Number, "copies": m.OwnersPerPartition, "members": rows})
	}
	type zone struct{ members, parts int }
	zones := map[string]zone{}
	var names []string
	for _, r := range rows {
		z, ok := zones[r.Zone]
		if !ok {
			names = append(names, r.Zone)
		}
		zones[r.Zone] = zone{z.members + 1, z.parts + r.Parts}
	}
	fmt.Fprintf(a.out, "map %d: %d members in %d zones, %d partitions of %d owners each\n\n", m.Number, len(rows), len(zones), ownership.PartitionCount, min(m.OwnersPerPartition, len(rows)))
	slices.Sort(names)
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ZONE\tMEMBERS\tPARTS")
	for _, name := range names {
		fmt.Fprintf(w, "%s\t%d\t%d\n", name, zones[name].members, zones[name].parts)
	}
	fmt.Fprintln(w, "\t\t\nMEMBER\tZONE\tWEIGHT\tPARTS\tFAIR SHARE")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%g\t%d\t%.1f\n", r.Name, r.Zone, r.Weight, r.Parts, r.Share)
	}
	return w.Flush()
}

type ownershipWhereCmd struct {
	mapSource
	Dest int `arg:"" help:"The destination's number."`
}

// Run shows it.
func (c *ownershipWhereCmd) Run(a *app) error {
	m, err := c.read(a.ctx)
	if err != nil {
		return err
	}
	p := ownership.PartitionOf(c.Dest)
	owners := m.Owners(p)
	if a.asJSON {
		return printJSON(a.out, map[string]any{"destination": c.Dest, "partition": p, "number": m.Number, "owners": owners})
	}
	fmt.Fprintf(a.out, "destination %d is in partition %d; by map %d its owners are\n", c.Dest, p, m.Number)
	zone := map[string]string{}
	for _, member := range m.Members {
		zone[member.Name] = member.Zone
	}
	for _, o := range owners {
		fmt.Fprintf(a.out, "%s (%s)\n", o, zone[o])
	}
	return nil
}
