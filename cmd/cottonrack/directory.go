package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/internal/directory"
	"starlingusher/internal/registry"
)

type directoryCmd struct {
	Serve   serveCmd   `cmd:"" help:"Run a replica of the list service: one alone, or one of 3 or 5."`
	Status  statusCmd  `cmd:"" help:"Show what each replica says of itself."`
	List    listCmd    `cmd:"" help:"Show the endpoints."`
	Watch   watchCmd   `cmd:"" help:"Show the list and what changes, until Ctrl-C."`
	Apply   applyCmd   `cmd:"" help:"Write a file of endpoints: all of it or nothing."`
	Drain   drainCmd   `cmd:"" help:"Let an endpoint drain."`
	Confirm confirmCmd `cmd:"" help:"Let a write that is held back happen, or drop it."`
	History historyCmd `cmd:"" help:"Show who changed what, and when."`
	Backup  backupCmd  `cmd:"" help:"Save the list, its history and the records in a file."`
	Restore restoreCmd `cmd:"" help:"Let the service go on from a backup, as a new history."`
	Member  memberCmd  `cmd:"" help:"Let replicas join, or take them out."`
}

// asking is what all commands that ask the service have in common.
type asking struct {
	At   []string      `help:"Addresses of replicas, HOST:PORT." default:"127.0.0.1:8600" env:"COTTONRACK_DIRECTORY"`
	Wait time.Duration `help:"How long to wait for a replica that can serve." default:"5s"`
	Why  string        `help:"Why, for the history."`
}

func (c asking) operator() *directory.AdminClient {
	by := "unknown"
	if u, err := user.Current(); err == nil {
		by = u.Username
	}
	return &directory.AdminClient{Addresses: c.At, By: by, Reason: c.Why, RetryFor: c.Wait}
}

type serveCmd struct {
	Config string `help:"The replica's settings, a TOML file; without it one replica alone at 127.0.0.1:8600." type:"path"`
	Data   string `help:"Its folder, in place of the file's." type:"path"`
}

// Run serves until it is told to end.
func (c *serveCmd) Run(a *app) error {
	cfg := directory.Defaults()
	if c.Config != "" {
		var err error
		if cfg, err = directory.LoadConfig(c.Config); err != nil {
			return wrongUse{err}
		}
	}
	if c.Data != "" {
		cfg.Data = c.Data
	}
	r, err := directory.Open(cfg, a.log.With("replica", cfg.ID))
	if err != nil {
		return err
	}
	s, err := directory.Serve(r)
	if err != nil {
		return errors.Join(err, r.Close())
	}
	fmt.Fprintf(a.err, "replica %s serves at %s\n", cfg.ID, cfg.HTTP)
	select {
	case <-a.ctx.Done():
		err = nil
	case err = <-r.Failed():
	}
	return errors.Join(err, s.Close(), r.Close())
}

type statusCmd struct{ asking }

// Run asks each replica.
func (c *statusCmd) Run(a *app) error {
	type row struct {
		Address string            `json:"address"`
		Status  *directory.Status `json:"status,omitempty"`
		Error   string            `json:"error,omitempty"`
	}
	var rows []row
	bad := 0
	for _, at := range c.At {
		o := c.operator()
		o.Addresses, o.RetryFor = []string{at}, 0
		ctx, cancel := context.WithTimeout(a.ctx, 3*time.Second)
		st, err := o.Status(ctx)
		cancel()
		if err != nil {
			bad++
			rows = append(rows, row{Address: at, Error: err.Error()})
			continue
		}
		rows = append(rows, row{Address: at, Status: &st})
	}
	if a.asJSON {
		if err := printJSON(a.out, rows); err != nil {
			return err
		}
	} else {
		w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "ADDRESS\tREPLICA\tSTATE\tLEADER\tHISTORY\tREVISION\tENDPOINTS\tWATCHES\tAGE")
		for _, r := range rows {
			if r.Status == nil {
				fmt.Fprintf(w, "%s\t-\t%s\n", r.Address, r.Error)
				continue
			}
			s := r.Status
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%v\n", r.Address, s.ID, s.State, dash(s.Leader), s.History, s.Revision, s.Endpoints, s.Watches,
				time.Duration(s.AgeMS)*time.Millisecond)
		}
		w.Flush()
		for _, r := range rows {
			if r.Status == nil {
				continue
			}
			if h := r.Status.Held; h != nil {
				fmt.Fprintf(a.out, "held back: number %d, by %s, would take %d of %d serving endpoints away; cottonrack directory confirm %d\n",
					h.Number, dash(h.By), h.Removed, h.ServingTotal, h.Number)
			}
			if r.Status.SourceSilentSinceMS > 0 {
				fmt.Fprintf(a.out, "the list's source, %s, has said nothing since %s: the list can't be vouched for\n", r.Status.Follows, clock(r.Status.SourceSilentSinceMS))
			}
			for _, m := range r.Status.Members {
				if !m.Votes {
					fmt.Fprintf(a.out, "replica %s (%s) has no vote; it is invited, and has not joined or not caught up\n", m.ID, m.HTTP)
				}
			}
			break // they agree, or will
		}
	}
	if bad > 0 {
		return fmt.Errorf("%d of %d replicas did not answer", bad, len(rows))
	}
	return nil
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func clock(ms int64) string { return time.UnixMilli(ms).Format("2006-01-02 15:04:05") }

type listCmd struct {
	asking
	Fresh bool `help:"Hold every write that was acknowledged before; needs a leader. Without it, what some replica has."`
	Cell  int  `help:"Of this partner alone." default:"-1"`
}

// Run shows the list.
func (c *listCmd) Run(a *app) error {
	l, _, header, err := c.operator().List(a.ctx, c.Fresh)
	if err != nil {
		return err
	}
	if c.Cell >= 0 {
		var some []catalog.Endpoint
		for _, m := range l.Members {
			if m.Cell == c.Cell {
				some = append(some, m)
			}
		}
		l.Members, l.Complete = some, false
	}
	if a.asJSON {
		return printJSON(a.out, l)
	}
	fmt.Fprintf(a.out, "revision %d of history %s, %s ms since its replica heard of a leader\n", l.Revision, header.Get(directory.HeaderHistory), header.Get(directory.HeaderAge))
	if header.Get(directory.HeaderVouched) == "no" {
		fmt.Fprintln(a.out, "NOT VOUCHED FOR: the source of the list has gone silent")
	}
	return printEndpoints(a, l.Members)
}

func printEndpoints(a *app, all []catalog.Endpoint) error {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ID\tADDRESS\tPARTNER\tZONE\tKIND\tPHASE\tSIZE")
	for _, m := range all {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%g\n", m.ID, m.Addr, m.Cell, m.Locality, m.Flavor, m.Phase, m.Size)
	}
	return w.Flush()
}

type watchCmd struct{ asking }

// Run shows changes until it is told to end.
func (c *watchCmd) Run(a *app) error {
	if len(c.At) == 0 {
		return wrongUse{errors.New("--at names no replica")}
	}
	w := registry.Watcher{Addresses: c.At, FleetSize: 1, Client: http.DefaultClient, Log: a.log, Cursor: registry.NewCursor(registry.Position{})}
	w.Watch(a.ctx, func(n registry.Update) error {
		if a.asJSON {
			return json.NewEncoder(a.out).Encode(n.List)
		}
		what := "changes"
		if n.Complete {
			what = "the whole list"
		}
		fmt.Fprintf(a.out, "%s  revision %d of history %d, from %s: %s\n", time.Now().Format("15:04:05.000"), n.Revision, n.History, n.Server, what)
		return printEndpoints(a, n.Members)
	})
	return nil
}

type applyCmd struct {
	asking
	File    string `arg:"" help:"JSON with members, as list --json prints it."`
	Partial bool   `help:"The file holds changes; what it does not name stays. Phase DELETED takes one away."`
	RestsOn string `help:"Revision or HISTORY.REVISION that the file was made from, or * for any; by default the file's own revision, else the present one."`
	Confirm bool   `help:"Do it also if a large share of the endpoints goes."`
	DryRun  bool   `help:"Show what would change, and write nothing."`
}

// Run shows what changes, and writes it.
func (c *applyCmd) Run(a *app) error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return wrongUse{err}
	}
	var file struct {
		Revision int64               `json:"revision"`
		Complete bool                `json:"complete"`
		Members  *[]catalog.Endpoint `json:"members"`
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&file); err != nil {
		return wrongUse{fmt.Errorf("%s: line %d: %w", c.File, lineOf(err, raw, d.InputOffset()), err)}
	}
	if file.Members == nil {
		return wrongUse{fmt.Errorf(`%s: "members" is missing`, c.File)}
	}
	for i, m := range *file.Members {
		if err := m.Validate(); err != nil {
			return wrongUse{fmt.Errorf("%s: member %d: %w", c.File, i+1, err)}
		}
	}
	o := c.operator()
	now, match, _, err := o.List(a.ctx, true)
	var no *directory.ResponseError
	switch {
	case errors.As(err, &no) && strings.Contains(no.Message, "nothing has been written"):
		match = "*"
	case err != nil:
		return err
	}
	if file.Revision > 0 {
		match = fmt.Sprint(file.Revision)
	}
	if c.RestsOn != "" {
		match = c.RestsOn
	}
	changes := directory.Diff(now.Members, *file.Members, !c.Partial)
	if !a.asJSON {
		if err := printEndpoints(a, changes); err != nil {
			return err
		}
		fmt.Fprintf(a.out, "%d of %d endpoints change\n", len(changes), len(now.Members))
	}
	if c.DryRun {
		if a.asJSON {
			return printJSON(a.out, catalog.List{Revision: now.Revision, Members: changes})
		}
		return nil
	}
	w, err := o.Put(a.ctx, *file.Members, !c.Partial, c.Confirm, match)
	return a.written(w, err)
}

// lineOf is the line at which JSON could not be read; at is how far it was.
func lineOf(err error, raw []byte, at int64) int {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		at = syntax.Offset
	case errors.As(err, &kind):
		at = kind.Offset
	case errors.Is(err, io.ErrUnexpectedEOF):
		at = int64(len(bytes.TrimRight(raw, "\n")))
	}
	return 1 + bytes.Count(raw[:min(max(at, 0), int64(len(raw)))], []byte("\n"))
}

// written tells what came of a write.
func (a *app) written(w directory.WriteResult, err error) error {
	var no *directory.ResponseError
	switch {
	case errors.Is(err, catalog.ErrHeld) && errors.As(err, &no):
		return fmt.Errorf("%w; cottonrack directory confirm %d", err, no.Held)
	case errors.Is(err, catalog.ErrConflict):
		return fmt.Errorf("nothing was written: %w; read the list again", err)
	case errors.Is(err, directory.ErrAmbiguous):
		return fmt.Errorf("it may or may not have been written: %w; look at the list, and write again with the same --rests-on", err)
	case err != nil:
		return fmt.Errorf("nothing was written: %w", err)
	}
	if a.asJSON {
		return printJSON(a.out, w)
	}
	fmt.Fprintf(a.out, "revision %d\n", w.Revision)
	return nil
}

type drainCmd struct {
	asking
	ID string `arg:"" help:"The endpoint."`
}

// Run drains it.
func (c *drainCmd) Run(a *app) error { return a.written(c.operator().Drain(a.ctx, c.ID)) }

type confirmCmd struct {
	asking
	Number int64 `arg:"" help:"Its number, as status shows it."`
	Drop   bool  `help:"Drop it in place."`
}

// Run confirms it.
func (c *confirmCmd) Run(a *app) error { return c.operator().Confirm(a.ctx, c.Number, c.Drop) }

type historyCmd struct {
	asking
	After int64 `help:"Changes after this revision; without it the last ones." default:"-1"`
	Limit int   `help:"So many at most." default:"50"`
}

// Run shows the changes.
func (c *historyCmd) Run(a *app) error {
	h, err := c.operator().History(a.ctx, c.After, c.Limit)
	if err != nil {
		return err
	}
	if a.asJSON {
		return printJSON(a.out, h)
	}
	if !h.All {
		fmt.Fprintln(a.out, "older changes are no longer kept")
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REVISION\tWHEN\tBY\tWHAT\tWHY")
	for _, ch := range h.Changes {
		count := map[string]int{}
		var ids []string
		for _, m := range ch.Members {
			count[m.Phase]++
			ids = append(ids, m.ID)
		}
		what := fmt.Sprintf("%d serve, %d drain, %d go", count[catalog.Serving], count[catalog.Draining], count[catalog.Deleted])
		if len(ids) <= 3 {
			what = ""
			for _, m := range ch.Members {
				what += m.ID + " " + m.Phase + " "
			}
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", ch.Revision, clock(ch.At), dash(ch.By), strings.TrimSpace(what), ch.Reason)
	}
	return w.Flush()
}

type backupCmd struct {
	asking
	File string `arg:"" help:"The file, which must not exist."`
	Any  bool   `help:"Take what some replica has; for when there is no leader."`
}

// Run saves a backup.
func (c *backupCmd) Run(a *app) error {
	raw, image, err := c.operator().Backup(a.ctx, !c.Any)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(c.File, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return wrongUse{err}
	}
	_, err = f.Write(raw)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		os.Remove(c.File)
		return err
	}
	if a.asJSON {
		return printJSON(a.out, map[string]any{"file": c.File, "bytes": len(raw), "history": image.History, "revision": image.Revision, "endpoints": len(image.Entries)})
	}
	fmt.Fprintf(a.out, "%s: %d bytes, revision %d of history %d, %d endpoints, %d records\n", filepath.Base(c.File), len(raw), image.Revision, image.History,
		len(image.Entries), len(image.Records))
	return nil
}

type restoreCmd struct {
	asking
	File string `arg:"" help:"A backup." type:"existingfile"`
}

// Run restores it.
func (c *restoreCmd) Run(a *app) error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return wrongUse{err}
	}
	if _, err := directory.DecodeBackup(bytes.NewReader(raw)); err != nil {
		return wrongUse{fmt.Errorf("%s: %w", c.File, err)}
	}
	return a.written(c.operator().Restore(a.ctx, raw))
}

type memberCmd struct {
	Add    memberAddCmd    `cmd:"" help:"Invite a replica; it joins when it is started with the others as its peers."`
	Remove memberRemoveCmd `cmd:"" help:"Take a replica out, also one that is gone for good."`
}

type memberAddCmd struct {
	asking
	ID   string `arg:"" help:"Its id."`
	HTTP string `required:"" help:"Its address for nodes and operators."`
	Raft string `required:"" help:"Its address for other replicas."`
}

// Run invites it.
func (c *memberAddCmd) Run(a *app) error {
	return c.operator().AddReplica(a.ctx, catalog.Replica{ID: c.ID, HTTP: c.HTTP, Raft: c.Raft})
}

type memberRemoveCmd struct {
	asking
	ID string `arg:"" help:"Its id."`
}

// Run takes it out.
func (c *memberRemoveCmd) Run(a *app) error { return c.operator().RemoveReplica(a.ctx, c.ID) }
