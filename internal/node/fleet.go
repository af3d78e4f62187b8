package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"starlingusher/internal/registry"
	"starlingusher/internal/settings"
	"starlingusher/internal/sysretry"
)

const saveInterval = time.Second // shortest time between two writes of the cached list

// Fleet configures the optional fleet features, as in the file that ROUTER_FLEET names. Without the file all
// are off.
type Fleet struct {
	Registry struct {
		Addresses []string `toml:"addresses"` // of the directory's replicas, used in place of discovery; off if empty
		KeepKB    int64    `toml:"keep_kb"`   // of the state folder, for the last list; 0 saves no list
	} `toml:"registry"`
	Ownership *Ownership `toml:"ownership"` // nil if off
}

// LoadFleet reads the file. An empty path turns all features off. Unknown names and invalid values are
// errors.
func LoadFleet(path string) (Fleet, error) {
	var f Fleet
	if path == "" {
		return f, nil
	}
	if err := settings.Load(path, &f); err != nil {
		return f, fmt.Errorf("fleet: %w", err)
	}
	for _, a := range f.Registry.Addresses {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return f, fmt.Errorf("fleet: %s: registry.addresses: %w", path, err)
		}
	}
	if f.Registry.KeepKB < 0 {
		return f, fmt.Errorf("fleet: %s: registry.keep_kb is 0 or more", path)
	}
	if f.Ownership != nil {
		if err := f.Ownership.check(f.Registry.Addresses); err != nil {
			return f, fmt.Errorf("fleet: %s: %w", path, err)
		}
	}
	return f, nil
}

// DiscoveryAddresses returns the addresses that serve the list and take notices: the directory's, or else
// those of the platform's discovery.
func (c *Config) DiscoveryAddresses() []string {
	if len(c.Fleet.Registry.Addresses) > 0 {
		return c.Fleet.Registry.Addresses
	}
	return []string{c.Discovery}
}

// cachesList reports whether the last list is cached in the state folder.
func (c *Config) cachesList() bool {
	return len(c.Fleet.Registry.Addresses) > 0 && c.Fleet.Registry.KeepKB > 0
}

// journalMB is the journal's part of the state folder. The cached list counts twice, as there are two while
// it is replaced.
func (c *Config) journalMB() float64 {
	reservedKB := c.ownershipKB()
	if c.cachesList() {
		reservedKB += 2 * c.Fleet.Registry.KeepKB
	}
	if reservedKB == 0 {
		return c.Limits.DiskMB
	}
	mb := c.Limits.DiskMB
	if mb <= 0 {
		mb = defaultDiskMB
	}
	return mb - float64(reservedKB)/1024
}

// listCache holds the last list in the state folder, for a start while no server answers.
type listCache struct {
	log *slog.Logger

	mu     sync.Mutex
	cache  *registry.ListCache
	closed bool // the folder belongs to another process
}

// openListCache reads the cached list. It returns nil if no list is to be cached.
func openListCache(cfg Config, log *slog.Logger) *listCache {
	if !cfg.cachesList() {
		return nil
	}
	dir, err := cfg.listFolder()
	if err != nil {
		log.Warn("the list can't be cached", "err", err)
		return nil
	}
	cache, err := registry.OpenListCache(dir, cfg.Fleet.Registry.KeepKB<<10)
	if err != nil {
		log.Warn("the cached list is unreadable", "err", err)
	}
	return &listCache{log: log, cache: cache}
}

// adopt replaces the list by that of the predecessor, from whose position this process goes on. What the file holds may be
// older: it is written a while after a change.
func (k *listCache) adopt(list registry.Update) {
	if k == nil {
		return
	}
	list.Complete = true
	k.apply(list)
}

// close writes what is not written yet. From then on the file belongs to the successor.
func (k *listCache) close() {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.cache.Flush(); err != nil {
		k.log.Warn("the list can't be cached", "err", err)
	}
	k.closed = true
}

// flush writes the file, unless it belongs to another process.
func (k *listCache) flush() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return nil
	}
	return k.cache.Flush()
}

func (k *listCache) apply(n registry.Update) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cache.Apply(n, time.Now())
}

func (k *listCache) markConfirmed() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cache.MarkConfirmed(time.Now())
}

// run writes the file until the context ends. If the folder can't be written the cached list gets older, and
// nothing else fails.
func (k *listCache) run(ctx context.Context) {
	failing := false
	for running := true; running; {
		running = sysretry.Sleep(ctx, saveInterval)
		err := k.flush()
		if err != nil && !failing {
			k.log.Warn("the list can't be cached", "err", err)
		}
		failing = err != nil
	}
}
