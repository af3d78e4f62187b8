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

// ListCache keeps the latest list in a persistent folder, for a process that starts while no service is
// reachable. It is not safe for concurrent use.
type ListCache struct {
	path string
	most int64 // size limit of the file; while it is being replaced there are two

	members map[string]catalog.Endpoint
	at      Position
	heard   time.Time
	due     bool
}

// cacheFile is the format of the file.
type keptFile struct {
	HeardAt  time.Time          `json:"heard_at"`
	History  int64              `json:"history"`
	Revision int64              `json:"revision"`
	From     string             `json:"from"`
	Members  []catalog.Endpoint `json:"members"`
}

// OpenListCache reads the cache in a folder. A missing file is no error. If the file is unreadable, the cache
// is usable and empty, and the error says why. maxBytes limits the size of the file.
func OpenListCache(dir string, most int64) (*ListCache, error) {
	k := &ListCache{path: filepath.Join(dir, keptName), most: most, members: map[string]catalog.Endpoint{}}
	os.Remove(k.path + ".new") // left by a process that ended while writing
	raw, err := os.ReadFile(k.path)
	if errors.Is(err, fs.ErrNotExist) {
		return k, nil
	}
	if err != nil {
		return k, fmt.Errorf("list cache: %w", err)
	}
	var f keptFile
	if err := json.Unmarshal(raw, &f); err != nil {
		return k, fmt.Errorf("list cache: %w", err)
	}
	for _, m := range f.Members {
		if m.Validate() != nil || m.Phase == catalog.Deleted {
			return k, fmt.Errorf("list cache: invalid endpoint %.40q", m.ID)
		}
	}
	for _, m := range f.Members {
		k.members[m.ID] = m
	}
	k.at, k.heard = Position{f.History, f.Revision, f.From}, f.HeardAt
	return k, nil
}

// List returns the cached list, its position, and when the service last confirmed it; false if there is none.
func (k *ListCache) List() (catalog.List, Position, time.Time, bool) {
	l := catalog.List{Revision: k.at.Revision, Complete: true, Members: []catalog.Endpoint{}}
	for _, m := range k.members {
		l.Members = append(l.Members, m)
	}
	slices.SortFunc(l.Members, func(a, b catalog.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return l, k.at, k.heard, !k.heard.IsZero()
}

// Apply applies an update in memory. Flush writes it to the file.
func (k *ListCache) Apply(n Update, now time.Time) {
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

// MarkConfirmed notes that the service still confirms the list.
func (k *ListCache) MarkConfirmed(now time.Time) {
	if !k.heard.IsZero() {
		k.heard = now
	}
}

// Flush writes the file if the list has changed. It replaces the file atomically. After a write error it
// tries again at the next call, but not if the list is too large.
func (k *ListCache) Flush() error {
	if !k.due {
		return nil
	}
	l, at, heard, _ := k.List()
	raw, err := json.Marshal(keptFile{heard, at.History, at.Revision, at.Server, l.Members})
	if err != nil {
		return fmt.Errorf("list cache: %w", err)
	}
	if int64(len(raw)) > k.most {
		k.due = false
		return fmt.Errorf("list cache: the list has %d bytes, the limit is %d; keeping the older file", len(raw), k.most)
	}
	next := k.path + ".new"
	if err = os.WriteFile(next, raw, 0o600); err == nil {
		err = os.Rename(next, k.path)
	}
	if err != nil {
		os.Remove(next)
		return fmt.Errorf("list cache: %w", err)
	}
	k.due = false
	return nil
}
