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
	Serve   serveCmd   `cmd:"" help:"Run a replica of the directory: a single one, or one of 3 or 5."`
	Status  statusCmd  `cmd:"" help:"Show the status of each replica."`
	List    listCmd    `cmd:"" help:"Show the endpoints."`
	Watch   watchCmd   `cmd:"" help:"Show the list and its changes, until Ctrl-C."`
	Apply   applyCmd   `cmd:"" help:"Write the endpoints of a file, atomically."`
	Drain   drainCmd   `cmd:"" help:"Drain an endpoint."`
	Confirm confirmCmd `cmd:"" help:"Confirm or drop a write that is held back."`
	History historyCmd `cmd:"" help:"Show who changed what, and when."`
	Backup  backupCmd  `cmd:"" help:"Save the list, its history and the records to a file."`
	Restore restoreCmd `cmd:"" help:"Restore a backup, as a new history."`
	Member  memberCmd  `cmd:"" help:"Add or remove replicas."`
}

// directoryClientFlags are the flags of all commands that send requests to the directory.
type directoryClientFlags struct {
	Addresses []string      `name:"at" help:"Addresses of replicas, HOST:PORT." default:"127.0.0.1:8600" env:"COTTONRACK_DIRECTORY"`
	RetryFor  time.Duration `name:"wait" help:"How long to wait for a replica that can serve." default:"5s"`
	Reason    string        `name:"why" help:"Reason, for the history."`
}

func (c directoryClientFlags) adminClient() *directory.AdminClient {
	by := "unknown"
	if u, err := user.Current(); err == nil {
		by = u.Username
	}
	return &directory.AdminClient{Addresses: c.Addresses, By: by, Reason: c.Reason, RetryFor: c.RetryFor}
}

type serveCmd struct {
	Config string `help:"TOML file with the replica's settings; the default is a single replica at 127.0.0.1:8600." type:"path"`
	Data   string `help:"The replica's data directory, instead of the one in the settings." type:"path"`
}

// Run serves until the context ends.
func (c *serveCmd) Run(a *app) error {
	cfg := directory.Defaults()
	if c.Config != "" {
		var err error
		if cfg, err = directory.LoadConfig(c.Config); err != nil {
			return usageError{err}
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

type statusCmd struct{ directoryClientFlags }

// Run asks each replica for its status.
func (c *statusCmd) Run(a *app) error {
	type row struct {
		Address string            `json:"address"`
		Status  *directory.Status `json:"status,omitempty"`
		Error   string            `json:"error,omitempty"`
	}
	var rows []row
	failed := 0
	for _, address := range c.Addresses {
		o := c.adminClient()
		o.Addresses, o.RetryFor = []string{address}, 0
		ctx, cancel := context.WithTimeout(a.ctx, 3*time.Second)
		st, err := o.Status(ctx)
		cancel()
		if err != nil {
			failed++
			rows = append(rows, row{Address: address, Error: err.Error()})
			continue
		}
		rows = append(rows, row{Address: address, Status: &st})
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
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%v\n", r.Address, s.ID, s.State, dashIfEmpty(s.Leader), s.History, s.Revision, s.Endpoints, s.Watches,
				time.Duration(s.AgeMS)*time.Millisecond)
		}
		w.Flush()
		for _, r := range rows {
			if r.Status == nil {
				continue
			}
			if h := r.Status.Held; h != nil {
				fmt.Fprintf(a.out, "held back: number %d, by %s, would remove %d of %d serving endpoints; to confirm: cottonrack directory confirm %d\n",
					h.Number, dashIfEmpty(h.By), h.Removed, h.ServingTotal, h.Number)
			}
			if r.Status.SourceSilentSinceMS > 0 {
				fmt.Fprintf(a.out, "no heartbeat from the list's source, %s, since %s: the list is not vouched for\n", r.Status.Follows, formatTime(r.Status.SourceSilentSinceMS))
			}
			for _, m := range r.Status.Members {
				if !m.Votes {
					fmt.Fprintf(a.out, "replica %s (%s) has no vote: it was invited, and has not joined or not caught up\n", m.ID, m.HTTP)
				}
			}
			break // the replicas agree, or will
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d replicas did not answer", failed, len(rows))
	}
	return nil
}

func dashIfEmpty(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func formatTime(ms int64) string { return time.UnixMilli(ms).Format("2006-01-02 15:04:05") }

type listCmd struct {
	directoryClientFlags
	Fresh bool `help:"Include every write acknowledged so far; needs a leader. Without it, the list of any replica."`
	Cell  int  `help:"Only endpoints of this partner." default:"-1"`
}

// Run prints the list.
func (c *listCmd) Run(a *app) error {
	l, _, header, err := c.adminClient().List(a.ctx, c.Fresh)
	if err != nil {
		return err
	}
	if c.Cell >= 0 {
		var selected []catalog.Endpoint
		for _, m := range l.Members {
			if m.Cell == c.Cell {
				selected = append(selected, m)
			}
		}
		l.Members, l.Complete = selected, false
	}
	if a.asJSON {
		return printJSON(a.out, l)
	}
	fmt.Fprintf(a.out, "revision %d of history %s, %s ms since the replica last heard from a leader\n", l.Revision, header.Get(directory.HeaderHistory), header.Get(directory.HeaderAge))
	if header.Get(directory.HeaderVouched) == "no" {
		fmt.Fprintln(a.out, "NOT VOUCHED FOR: the source of the list is silent")
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

type watchCmd struct{ directoryClientFlags }

// Run prints changes until the context ends.
func (c *watchCmd) Run(a *app) error {
	if len(c.Addresses) == 0 {
		return usageError{errors.New("--at names no replica")}
	}
	w := registry.Watcher{Addresses: c.Addresses, FleetSize: 1, Client: http.DefaultClient, Log: a.log, Cursor: registry.NewCursor(registry.Position{})}
	w.Watch(a.ctx, func(n registry.Update) error {
		if a.asJSON {
			return json.NewEncoder(a.out).Encode(n.List)
		}
		content := "changes"
		if n.Complete {
			content = "the full list"
		}
		fmt.Fprintf(a.out, "%s  revision %d of history %d, from %s: %s\n", time.Now().Format("15:04:05.000"), n.Revision, n.History, n.Server, content)
		return printEndpoints(a, n.Members)
	})
	return nil
}

type applyCmd struct {
	directoryClientFlags
	File         string `arg:"" help:"JSON with members, in the format of list --json."`
	Partial      bool   `help:"The file holds changes only; other endpoints stay. Phase DELETED removes an endpoint."`
	BaseRevision string `name:"rests-on" help:"Revision or HISTORY.REVISION that the file is based on, or * for any; the default is the file's revision, or else the current one."`
	Confirm      bool   `help:"Write also if a large share of the endpoints is removed."`
	DryRun       bool   `help:"Show what would change, and write nothing."`
}

// Run prints what changes, and writes it.
func (c *applyCmd) Run(a *app) error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return usageError{err}
	}
	var file struct {
		Revision int64               `json:"revision"`
		Complete bool                `json:"complete"`
		Members  *[]catalog.Endpoint `json:"members"`
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&file); err != nil {
		return usageError{fmt.Errorf("%s: line %d: %w", c.File, errorLine(err, raw, d.InputOffset()), err)}
	}
	if file.Members == nil {
		return usageError{fmt.Errorf(`%s: "members" is missing`, c.File)}
	}
	for i, m := range *file.Members {
		if err := m.Validate(); err != nil {
			return usageError{fmt.Errorf("%s: member %d: %w", c.File, i+1, err)}
		}
	}
	o := c.adminClient()
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
	if c.BaseRevision != "" {
		match = c.BaseRevision
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
	return a.reportWrite(w, err)
}

// errorLine returns the line of a JSON decoding error; offset is how far the decoder had read.
func errorLine(err error, raw []byte, offset int64) int {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &wrongType):
		offset = wrongType.Offset
	case errors.Is(err, io.ErrUnexpectedEOF):
		offset = int64(len(bytes.TrimRight(raw, "\n")))
	}
	return 1 + bytes.Count(raw[:min(max(offset, 0), int64(len(raw)))], []byte("\n"))
}

// reportWrite reports the result of a write.
func (a *app) reportWrite(w directory.WriteResult, err error) error {
	var no *directory.ResponseError
	switch {
	case errors.Is(err, catalog.ErrHeld) && errors.As(err, &no):
		return fmt.Errorf("%w; to confirm: cottonrack directory confirm %d", err, no.Held)
	case errors.Is(err, catalog.ErrConflict):
		return fmt.Errorf("nothing was written: %w; read the list again", err)
	case errors.Is(err, directory.ErrAmbiguous):
		return fmt.Errorf("the write may or may not have happened: %w; check the list, and write again with the same --rests-on", err)
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
	directoryClientFlags
	ID string `arg:"" help:"The endpoint."`
}

// Run drains the endpoint.
func (c *drainCmd) Run(a *app) error { return a.reportWrite(c.adminClient().Drain(a.ctx, c.ID)) }

type confirmCmd struct {
	directoryClientFlags
	Number int64 `arg:"" help:"Number of the write, as shown by status."`
	Drop   bool  `help:"Drop the write instead."`
}

// Run confirms the write, or drops it.
func (c *confirmCmd) Run(a *app) error { return c.adminClient().Confirm(a.ctx, c.Number, c.Drop) }

type historyCmd struct {
	directoryClientFlags
	After int64 `help:"Show changes after this revision; the default is the last changes." default:"-1"`
	Limit int   `help:"Maximum number of changes." default:"50"`
}

// Run prints the changes.
func (c *historyCmd) Run(a *app) error {
	h, err := c.adminClient().History(a.ctx, c.After, c.Limit)
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
		summary := fmt.Sprintf("%d serving, %d draining, %d deleted", count[catalog.Serving], count[catalog.Draining], count[catalog.Deleted])
		if len(ids) <= 3 {
			summary = ""
			for _, m := range ch.Members {
				summary += m.ID + " " + m.Phase + " "
			}
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", ch.Revision, formatTime(ch.At), dashIfEmpty(ch.By), strings.TrimSpace(summary), ch.Reason)
	}
	return w.Flush()
}

type backupCmd struct {
	directoryClientFlags
	File           string `arg:"" help:"The file, which must not exist yet."`
	FromAnyReplica bool   `name:"any" help:"Save the state of any replica; for when there is no leader."`
}

// Run saves a backup.
func (c *backupCmd) Run(a *app) error {
	raw, image, err := c.adminClient().Backup(a.ctx, !c.FromAnyReplica)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(c.File, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return usageError{err}
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
	directoryClientFlags
	File string `arg:"" help:"The backup." type:"existingfile"`
}

// Run restores the backup.
func (c *restoreCmd) Run(a *app) error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return usageError{err}
	}
	if _, err := directory.DecodeBackup(bytes.NewReader(raw)); err != nil {
		return usageError{fmt.Errorf("%s: %w", c.File, err)}
	}
	return a.reportWrite(c.adminClient().Restore(a.ctx, raw))
}

type memberCmd struct {
	Add    memberAddCmd    `cmd:"" help:"Invite a replica; it joins when it is started with the others as its peers."`
	Remove memberRemoveCmd `cmd:"" help:"Remove a replica, also one that is gone for good."`
}

type memberAddCmd struct {
	directoryClientFlags
	ID   string `arg:"" help:"ID of the replica."`
	HTTP string `required:"" help:"The replica's address for nodes and operators."`
	Raft string `required:"" help:"The replica's address for other replicas."`
}

// Run invites the replica.
func (c *memberAddCmd) Run(a *app) error {
	return c.adminClient().AddReplica(a.ctx, catalog.Replica{ID: c.ID, HTTP: c.HTTP, Raft: c.Raft})
}

type memberRemoveCmd struct {
	directoryClientFlags
	ID string `arg:"" help:"ID of the replica."`
}

// Run removes the replica.
func (c *memberRemoveCmd) Run(a *app) error { return c.adminClient().RemoveReplica(a.ctx, c.ID) }
