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
	"starlingusher/internal/settings"
	"starlingusher/internal/sysretry"
)

type ownershipCmd struct {
	Plan  ownershipPlanCmd  `cmd:"" help:"Show what would move with a file of members; nothing is written."`
	Apply ownershipApplyCmd `cmd:"" help:"Make the map for a file of members, and put it into force."`
	Show  ownershipShowCmd  `cmd:"" help:"Show the map in force: its number, its members, and the assignments of each."`
	Where ownershipWhereCmd `cmd:"" help:"Show the partition and the owners of a destination."`
}

// memberFile is the format of MEMBERS.toml.
type memberFile struct {
	Copies  int `toml:"copies"`
	Members []struct {
		Name   string   `toml:"name"`
		Zone   string   `toml:"zone"`
		Weight *float64 `toml:"weight"`
	} `toml:"member"`
}

// memberFileArg is the file that lists the intended members.
type memberFileArg struct {
	Members string `arg:"" name:"members" help:"TOML file: copies = 3, and for each node [[member]] with name, zone and weight (default 1)."`
}

func (w memberFileArg) load() (copies int, members []ownership.Member, err error) {
	f := memberFile{Copies: 3}
	if err := settings.Load(w.Members, &f); err != nil {
		return 0, nil, usageError{err}
	}
	for _, m := range f.Members {
		weight := 1.0
		if m.Weight != nil {
			weight = *m.Weight
		}
		members = append(members, ownership.Member{Name: m.Name, Zone: m.Zone, Weight: weight})
	}
	if err := ownership.CheckMembers(f.Copies, members); err != nil { // before any request is sent
		return 0, nil, usageError{fmt.Errorf("%s: %w", w.Members, err)}
	}
	return f.Copies, members, nil
}

// readMapFile reads a map from a file, as written by show --save and by nodes.
func readMapFile(path string) (*ownership.Map, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError{err}
	}
	m, err := ownership.Decode(raw)
	if err != nil {
		return nil, usageError{fmt.Errorf("%s: %w", path, err)}
	}
	return m, nil
}

// saveMap writes a map to a new file.
func saveMap(path string, m *ownership.Map) error {
	raw, err := m.Encode()
	if err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return usageError{err}
	}
	_, err = f.Write(raw)
	if err = errors.Join(err, f.Close()); err != nil {
		os.Remove(path)
	}
	return err
}

// fetchMap fetches the newest map, or nil if there is none. With fresh it is the newest for sure, else the
// newest that some replica has.
func (c directoryClientFlags) fetchMap(ctx context.Context, fresh bool) (*ownership.Map, error) {
	path := "/records/" + ownership.RecordName
	if fresh {
		path += "?fresh=1"
	}
	raw, _, err := c.adminClient().Do(ctx, http.MethodGet, path, "", nil)
	if errors.Is(err, catalog.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var r catalog.Record
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("decode record %s: %w", ownership.RecordName, err)
	}
	if r.Value == nil {
		return nil, nil
	}
	m, err := ownership.Decode(r.Value)
	if err != nil {
		return nil, fmt.Errorf("decode map in record %s: %w", ownership.RecordName, err)
	}
	return m, nil
}

// mapChange is a change of the map as it is printed.
type mapChange struct {
	Number  int64 `json:"number"`
	Before  int64 `json:"before"` // 0: none
	Copies  int   `json:"copies"`
	Members int   `json:"members"`
	Bytes   int   `json:"bytes"`
	ownership.Change
	Written bool `json:"written"`
}

// planMap makes the next map. It returns the current map if nothing changes.
func planMap(number int64, copies int, members []ownership.Member, before *ownership.Map) (*ownership.Map, mapChange, error) {
	m, err := ownership.Make(number, copies, members, before)
	if err != nil {
		return nil, mapChange{}, err
	}
	raw, err := m.Encode()
	if err != nil {
		return nil, mapChange{}, err
	}
	p := mapChange{Number: number, Copies: copies, Members: len(members), Bytes: len(raw), Change: ownership.Diff(before, m)}
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

func (p mapChange) print(a *app) error {
	if a.asJSON {
		return printJSON(a.out, p)
	}
	if p.Before == 0 {
		fmt.Fprintf(a.out, "map %d, the first: %d members, %d owners of a partition\n", p.Number, p.Members, p.Copies)
	} else {
		fmt.Fprintf(a.out, "map %d after %d: %d members, %d owners of a partition\n", p.Number, p.Before, p.Members, p.Copies)
	}
	printNames := func(label string, names []string) {
		if len(names) > 0 {
			more := ""
			if len(names) > 10 {
				more = " and others"
			}
			fmt.Fprintf(a.out, "%d %s: %v%s\n", len(names), label, names[:min(10, len(names))], more)
		}
	}
	if p.Before != 0 {
		printNames("come", p.Added)
		printNames("go", p.Removed)
		fmt.Fprintf(a.out, "%d of %d assignments move; %d of %d partitions keep no owner\n", p.Moved, p.Assignments, p.NoOwnerKept, ownership.PartitionCount)
	}
	_, err := fmt.Fprintf(a.out, "%s has the most assignments: %d\n", p.MaxLoadMember, p.MaxLoad)
	return err
}

// confirmHint adds to the error of a change that is too large how to make it anyway.
func (p mapChange) confirmHint() error {
	if err := p.CheckSize(); err != nil {
		return fmt.Errorf("%w; --confirm if that is intended", err)
	}
	return nil
}

type ownershipPlanCmd struct {
	memberFileArg
	directoryClientFlags
	Offline  bool   `help:"Send no request to a directory."`
	FromFile string `name:"from" help:"File with the current map, as written by show --save; without it, --offline assumes that there is none."`
	Save     string `help:"Write the planned map to this file, which must not exist yet."`
}

// Run prints the planned change.
func (c *ownershipPlanCmd) Run(a *app) error {
	copies, members, err := c.load()
	if err != nil {
		return err
	}
	if c.FromFile != "" && !c.Offline {
		return usageError{errors.New("--from is for --offline; without --offline the directory has the current map")}
	}
	var before *ownership.Map
	switch {
	case c.FromFile != "":
		before, err = readMapFile(c.FromFile)
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
	memberFileArg
	directoryClientFlags
	Confirm     bool  `help:"Apply also if more than half of the members are removed, or more than half of all assignments move."`
	AboveNumber int64 `name:"above" help:"Take a map number above this one. After a restored backup, use a number that no node has. If the record can't be read, the map is made as the first one."`
}

// applyLease is how long the record stays locked at most if its holder disappears, and how long others wait
// for it.
const applyLease = 5 * time.Second

// Run publishes the map.
func (c *ownershipApplyCmd) Run(a *app) error {
	copies, members, err := c.load()
	if err != nil {
		return err
	}
	if c.AboveNumber < 0 {
		return usageError{errors.New("--above must not be negative")}
	}
	var p mapChange
	publisher := ownership.Publisher{AboveNumber: c.AboveNumber, Plan: func(number int64, before *ownership.Map) (*ownership.Map, error) {
		m, change, err := planMap(number, copies, members, before)
		if p = change; err != nil || m == before || c.Confirm {
			return m, err
		}
		return m, p.confirmHint()
	}}
	m, err := c.publishMap(a.ctx, &publisher)
	switch {
	case errors.Is(err, ownership.ErrAmbiguous):
		return fmt.Errorf("%w; check with show, and apply again", err)
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

// publishMap runs a publisher until it ends, the context ends, or no replica can serve during the time to
// wait.
func (c directoryClientFlags) publishMap(ctx context.Context, publisher *ownership.Publisher) (*ownership.Map, error) {
	o := c.adminClient()
	o.RetryFor = 0 // the publisher retries its operations one by one
	holder := fmt.Sprintf("%s.%d.%x", o.By, os.Getpid(), rand.Uint32())
	const path = "/records/" + ownership.RecordName
	// Requests in flight are not canceled: the result of a canceled one would be unknown.
	request := func(method, path string, body, into any) error {
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
	startedAt := time.Now()
	var leaseRequestedAt time.Time
	for next := publisher.Begin(); ; {
		answer := ownership.Answer{Seq: next.Seq, Outcome: ownership.Done}
		var w directory.WriteResult
		var err error
		switch next.Operation {
		case ownership.Acquire:
			leaseRequestedAt = time.Now()
			err = request(http.MethodPut, path, map[string]any{"holder": holder, "ttl_ms": applyLease.Milliseconds()}, &w)
			answer.Token = w.Token
		case ownership.Read:
			var r catalog.Record
			err = request(http.MethodGet, path+"?fresh=1", nil, &r)
			answer.Value = r.Value
		case ownership.Update:
			if time.Since(leaseRequestedAt) >= applyLease { // this process was stopped in the meantime
				answer.Outcome = ownership.LeaseLost
				break
			}
			err = request(http.MethodPost, path, map[string]any{"token": next.Token, "value": next.Value}, &w)
		case ownership.Release:
			err = request(http.MethodDelete, path, map[string]any{"token": next.Token}, &w)
		case ownership.End:
			return next.Map, next.Err
		}
		switch {
		case err == nil:
		case errors.Is(err, directory.ErrAmbiguous):
			answer.Outcome = ownership.Ambiguous
		case errors.Is(err, catalog.ErrInvalid):
			answer.Outcome, answer.Err = ownership.Refused, fmt.Errorf("%w: %w", ownership.ErrInvalid, err)
		default:
			answer.Outcome, answer.Err = ownership.Refused, err
		}
		limit := c.RetryFor
		if errors.Is(err, catalog.ErrNotHolder) { // another holder is writing, or has died
			limit += applyLease
		}
		if answer.Outcome != ownership.Done && (time.Since(startedAt) > limit || !sysretry.Sleep(ctx, 100*time.Millisecond)) {
			answer.Outcome = ownership.TimedOut
		}
		var ok bool
		if next, ok = publisher.Step(answer); !ok {
			return nil, errors.New("answer without a request") // there is one operation at a time
		}
	}
}

// mapSource tells where show and where read the map from.
type mapSource struct {
	directoryClientFlags
	Fresh    bool   `help:"Read the newest map for sure; needs a leader. Without it, the map of any replica."`
	FromFile string `name:"from" help:"Read the map from this file, as written by show --save and by nodes, instead of the directory."`
}

func (c mapSource) read(ctx context.Context) (*ownership.Map, error) {
	if c.FromFile != "" {
		return readMapFile(c.FromFile)
	}
	m, err := c.fetchMap(ctx, c.Fresh)
	if err == nil && m == nil {
		err = errors.New("there is no map; cottonrack ownership apply makes the first one")
	}
	return m, err
}

type ownershipShowCmd struct {
	mapSource
	Save string `help:"Also write the map to this file, which must not exist yet."`
}

// Run prints the map.
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
		Share      float64 `json:"share"` // fair share, in assignments
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
	fmt.Fprintln(w, "ZONE\tMEMBERS\tASSIGNMENTS")
	for _, name := range names {
		fmt.Fprintf(w, "%s\t%d\t%d\n", name, zones[name].members, zones[name].parts)
	}
	fmt.Fprintln(w, "\t\t\nMEMBER\tZONE\tWEIGHT\tASSIGNMENTS\tFAIR SHARE")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%g\t%d\t%.1f\n", r.Name, r.Zone, r.Weight, r.Parts, r.Share)
	}
	return w.Flush()
}

type ownershipWhereCmd struct {
	mapSource
	Dest int `arg:"" help:"Number of the destination."`
}

// Run prints the partition and its owners.
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
