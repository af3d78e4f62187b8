package registry

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"starlingusher/fleet/catalog"
)

const keptName = "list.json"

// Kept is the last list in a folder that lasts, for a process that starts while no service can be reached. It is
// not safe for use by several goroutines at once.
type Kept struct {
	path string
	most int64 // bytes of the file; while it is replaced there are two

	members map[string]catalog.Endpoint
	at      Position
	heard   time.Time
	due     bool
}

// keptFile is the file's form.
type keptFile struct {
	HeardAt  time.Time          `json:"heard_at"`
	History  int64              `json:"history"`
	Revision int64              `json:"revision"`
	From     string             `json:"from"`
	Members  []catalog.Endpoint `json:"members"`
}

// OpenKept reads what a folder keeps; nothing is no error, and neither is what can't be read: it is as if lost. The
// file will hold so many bytes at most.
func OpenKept(dir string, most int64) (*Kept, error) {
	k := &Kept{path: filepath.Join(dir, keptName), most: most, members: map[string]catalog.Endpoint{}}
	os.Remove(k.path + ".new") // of a process that ended while it wrote
	raw, err := os.ReadFile(k.path)
	if errors.Is(err, fs.ErrNotExist) {
		return k, nil
	}
	if err != nil {
		return k, fmt.Errorf("kept list: %w", err)
	}
	var f keptFile
	if err := json.Unmarshal(raw, &f); err != nil {
		return k, fmt.Errorf("kept list: %w", err)
	}
	for _, m := range f.Members {
		if m.Check() != nil || m.Phase == catalog.Deleted {
			return k, fmt.Errorf("kept list: endpoint %.40q is not well formed", m.ID)
		}
	}
	for _, m := range f.Members {
		k.members[m.ID] = m
	}
	k.at, k.heard = Position{f.History, f.Revision, f.From}, f.HeardAt
	return k, nil
}

// List is the kept list, whole, where it was told, and when; false if there is none.
func (k *Kept) List() (catalog.List, Position, time.Time, bool) {
	l := catalog.List{Revision: k.at.Revision, Complete: true, Members: []catalog.Endpoint{}}
	for _, m := range k.members {
		l.Members = append(l.Members, m)
	}
	slices.SortFunc(l.Members, func(a, b catalog.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return l, k.at, k.heard, !k.heard.IsZero()
}

// Take notes what was told. The file follows by Flush.
func (k *Kept) Take(n News, now time.Time) {
	if n.Complete {
		clear(k.members)
	}
	for _, m := range n.Members {
		if k.members[m.ID] = m; m.Phase == catalog.Deleted {
			delete(k.members, m.ID)
		}
	}
	k.at, k.heard, k.due = n.Position(), now, true
}

// Heard notes that the service still stands by the list.
func (k *Kept) Heard(now time.Time) {
	if !k.heard.IsZero() {
		k.heard = now
	}
}

// Flush writes the file if there is something new. The file is whole at any time. What can't be written stays due; what is
// too large does not.
func (k *Kept) Flush() error {
	if !k.due {
		return nil
	}
	l, at, heard, _ := k.List()
	raw, err := json.Marshal(keptFile{heard, at.History, at.Revision, at.From, l.Members})
	if err != nil {
		return fmt.Errorf("kept list: %w", err)
	}
	if int64(len(raw)) > k.most {
		k.due = false
		return fmt.Errorf("kept list: %d bytes, %d at most; the older one stays", len(raw), k.most)
	}
	next := k.path + ".new"
	if err = os.WriteFile(next, raw, 0o600); err == nil {
		err = os.Rename(next, k.path)
	}
	if err != nil {
		os.Remove(next)
		return fmt.Errorf("kept list: %w", err)
	}
	k.due = false
	return nil
}
