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
)

const keepEvery = time.Second // the kept list is written no more often

// Fleet says which parts of the fleet product are on, as the file that ROUTER_FLEET names has it. None are without.
type Fleet struct {
	Registry struct {
		Addresses []string `toml:"addresses"` // of a directory's replicas, in place of discovery; none: off
		KeepKB    int64    `toml:"keep_kb"`   // of the lasting folder for the last list; 0: it is not kept
	} `toml:"registry"`
	Ownership *Ownership `toml:"ownership"` // nil: off
}

// LoadFleet reads the file; an empty path turns nothing on. An unknown name, or a value that can't be, is an error.
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

// Sources are the addresses that tell the list and take notices: discovery's, unless the fleet has a directory.
func (c *Config) DiscoveryAddresses() []string {
	if len(c.Fleet.Registry.Addresses) > 0 {
		return c.Fleet.Registry.Addresses
	}
	return []string{c.Discovery}
}

// keepsList tells whether the last list is kept in the lasting folder.
func (c *Config) keepsList() bool {
	return len(c.Fleet.Registry.Addresses) > 0 && c.Fleet.Registry.KeepKB > 0
}

// journalMB is what of the lasting folder is the journal's: while the kept list is replaced there are two of it.
func (c *Config) journalMB() float64 {
	kept := c.shareKB()
	if c.keepsList() {
		kept += 2 * c.Fleet.Registry.KeepKB
	}
	if kept == 0 {
		return c.Limits.DiskMB
	}
	mb := c.Limits.DiskMB
	if mb <= 0 {
		mb = defaultDiskMB
	}
	return mb - float64(kept)/1024
}

// keptList is the last list in the lasting folder, for a start while nobody tells one.
type keptList struct {
	log *slog.Logger

	mu   sync.Mutex
	kept *registry.ListCache
}

// openKept reads what the folder keeps; nil if nothing is kept there.
func openKept(cfg Config, log *slog.Logger) *keptList {
	if !cfg.keepsList() {
		return nil
	}
	dir, err := cfg.listDir()
	if err != nil {
		log.Warn("the list can't be kept", "err", err)
		return nil
	}
	kept, err := registry.OpenListCache(dir, cfg.Fleet.Registry.KeepKB<<10)
	if err != nil {
		log.Warn("the kept list is lost", "err", err)
	}
	return &keptList{log: log, kept: kept}
}

func (k *keptList) take(n registry.Update) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.kept.Apply(n, time.Now())
}

func (k *keptList) heard() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.kept.MarkConfirmed(time.Now())
}

// run writes the file until the context ends. A folder that can't be written costs the list's age, and no more.
func (k *keptList) run(ctx context.Context) {
	failing := false
	for more := true; more; {
		more = registry.Sleep(ctx, keepEvery)
		k.mu.Lock()
		err := k.kept.Flush()
		k.mu.Unlock()
		if err != nil && !failing {
			k.log.Warn("the list can't be kept", "err", err)
		}
		failing = err != nil
	}
}
