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

const cacheFileName = "list.json"

// ListCache keeps the latest list in a file, for a node that starts while no discovery service is reachable. It is not safe for concurrent use.
type ListCache struct {
	path     string
	maxBytes int64 // of the file; the folder holds two such files while one replaces the other

	members     map[string]catalog.Endpoint
	position    Position
	confirmedAt time.Time
	dirty       bool // the list differs from the one in the file
}

// cacheFile is the format of the file. HeardAt is when the service had last confirmed the list at the time of
// writing, and From is the address of the server that sent it.
type cacheFile struct {
	HeardAt  time.Time          `json:"heard_at"`
	History  int64              `json:"history"`
	Revision int64              `json:"revision"`
	From     string             `json:"from"`
	Members  []catalog.Endpoint `json:"members"`
}

// OpenListCache reads the cache in a folder. A missing file is not an error. If the file is unreadable, it
// returns the reason and an empty cache that can be used. maxBytes limits the size of the file.
func OpenListCache(dir string, maxBytes int64) (*ListCache, error) {
	c := &ListCache{path: filepath.Join(dir, cacheFileName), maxBytes: maxBytes, members: map[string]catalog.Endpoint{}}
	os.Remove(c.path + ".new") // left by a process that ended while writing
	raw, err := os.ReadFile(c.path)
	if errors.Is(err, fs.ErrNotExist) {
		return c, nil
	}
	if err != nil {
		return c, fmt.Errorf("list cache: %w", err)
	}
	var file cacheFile
	if err := json.Unmarshal(raw, &file); err != nil {
		return c, fmt.Errorf("list cache: %w", err)
	}
	for _, m := range file.Members {
		if m.Validate() != nil || m.Phase == catalog.Deleted {
			return c, fmt.Errorf("list cache: invalid endpoint %.40q", m.ID)
		}
	}
	for _, m := range file.Members {
		c.members[m.ID] = m
	}
	c.position, c.confirmedAt = Position{file.History, file.Revision, file.From}, file.HeardAt
	return c, nil
}

// List returns the cached list sorted by ID, its position, and when the service last confirmed it, or false if
// there is no list.
func (c *ListCache) List() (catalog.List, Position, time.Time, bool) {
	list := catalog.List{Revision: c.position.Revision, Complete: true, Members: []catalog.Endpoint{}}
	for _, m := range c.members {
		list.Members = append(list.Members, m)
	}
	slices.SortFunc(list.Members, func(a, b catalog.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return list, c.position, c.confirmedAt, !c.confirmedAt.IsZero()
}

// Apply applies an update in memory; Flush writes the result to the file.
func (c *ListCache) Apply(update Update, now time.Time) {
	if update.Complete {
		clear(c.members)
	}
	for _, m := range update.Members {
		if c.members[m.ID] = m; m.Phase == catalog.Deleted {
			delete(c.members, m.ID)
		}
	}
	c.position, c.confirmedAt, c.dirty = update.Position(), now, true
}

// MarkConfirmed records that the service has confirmed the list. The time reaches the file with the next change
// of the list only.
func (c *ListCache) MarkConfirmed(now time.Time) {
	if !c.confirmedAt.IsZero() {
		c.confirmedAt = now
	}
}

// Flush replaces the file atomically if there was an update since the last write. After a write error the next
// call tries again. A list that is too large is not written, and the file keeps the older one; only the next
// update causes another attempt.
func (c *ListCache) Flush() error {
	if !c.dirty {
		return nil
	}
	list, position, confirmedAt, _ := c.List()
	raw, err := json.Marshal(cacheFile{confirmedAt, position.History, position.Revision, position.Server, list.Members})
	if err != nil {
		return fmt.Errorf("list cache: %w", err)
	}
	if int64(len(raw)) > c.maxBytes {
		c.dirty = false
		return fmt.Errorf("list cache: the list takes %d bytes, the limit is %d; keeping the older file", len(raw), c.maxBytes)
	}
	newPath := c.path + ".new"
	if err = os.WriteFile(newPath, raw, 0o600); err == nil {
		err = os.Rename(newPath, c.path)
	}
	if err != nil {
		os.Remove(newPath)
		return fmt.Errorf("list cache: %w", err)
	}
	c.dirty = false
	return nil
}
