// Package directory is the list service: replicas that agree by Raft on the state of package catalog, and serve it to
// nodes and operators. A replica owns its folder, its two addresses and all that it starts, from Open to Close.
package directory

import (
	"errors"
	"fmt"
	"net"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/internal/settings"
)

// Config is what a replica is told. Its zero values are replaced by Defaults'.
type Config struct {
	ID   string `toml:"id"`
	HTTP string `toml:"http"` // where nodes, operators and other replicas reach it
	Raft string `toml:"raft"` // where other replicas reach it; empty: it is alone
	Data string `toml:"data"` // its folder
	// Addresses to listen on, where they are not those by which others reach it.
	BindHTTP string `toml:"bind_http"`
	BindRaft string `toml:"bind_raft"`

	Peers []Peer `toml:"peer"` // the other replicas

	Watch struct {
		Lag  int `toml:"lag_kb"` // of changes that a watcher has not read, before it is cut
		Most int `toml:"most"`   // watches at once
	} `toml:"watch"`
	List struct {
		Most int `toml:"most"` // endpoints
	} `toml:"list"`
	Asks struct {
		Rate  float64 `toml:"rate"`  // whole lists and new watches a second
		Burst int     `toml:"burst"` // at once
	} `toml:"asks"`
	Guard struct {
		Share float64  `toml:"share"` // of the serving endpoints that may go at once unconfirmed
		Stand Duration `toml:"stand"` // after which it happens all the same; "0s": never
	} `toml:"guard"`
	Lease struct {
		Share float64  `toml:"share"` // of a partner's endpoints that may have lapsed at once
		Drain Duration `toml:"drain"` // from an endpoint's lapse until it goes
	} `toml:"lease"`
	Follow struct {
		Discovery string `toml:"discovery"` // the platform's; empty: the list is kept here
	} `toml:"follow"`
	Reports struct {
		To string `toml:"to"` // HOST:PORT that takes notices; empty: they are kept in the folder
	} `toml:"reports"`
	Snapshot struct {
		Every    int      `toml:"every"` // commands
		Trailing int      `toml:"trailing"`
		Interval Duration `toml:"interval"`
	} `toml:"snapshot"`
	Election Duration `toml:"election"` // without a leader for so long, another is sought
}

// Peer is another replica.
type Peer struct {
	ID   string `toml:"id"`
	HTTP string `toml:"http"`
	Raft string `toml:"raft"`
}

// Duration is a time span as TOML writes it, such as "2s".
type Duration struct{ time.Duration }

// UnmarshalText reads one.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	if v < 0 {
		return fmt.Errorf("%s is less than nothing", b)
	}
	d.Duration = v
	return nil
}

// Defaults are the settings of one replica alone.
func Defaults() Config {
	var c Config
	c.ID, c.HTTP, c.Data = "directory", "127.0.0.1:8600", "directory-data"
	c.Watch.Lag, c.Watch.Most = 1024, 20_000
	c.List.Most = catalog.UsualMembers
	c.Asks.Rate, c.Asks.Burst = 2000, 1000
	c.Guard.Share, c.Guard.Stand.Duration = 0.5, 10*time.Minute
	c.Lease.Share, c.Lease.Drain.Duration = 0.25, 30*time.Second
	c.Snapshot.Every, c.Snapshot.Trailing, c.Snapshot.Interval.Duration = 8192, 8192, 30*time.Second
	c.Election.Duration = 500 * time.Millisecond
	return c
}

// LoadConfig reads a file over the defaults. An unknown name or a value that can't be is an error with its line.
func LoadConfig(path string) (Config, error) {
	c := Defaults()
	if err := settings.Load(path, &c); err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	if err := c.Check(); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Check tells all that is wrong with a configuration.
func (c *Config) Check() error {
	var errs []error
	wrong := func(is bool, format string, args ...any) {
		if is {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	address := func(name, v string, needed bool) {
		if v == "" && !needed {
			return
		}
		_, _, err := net.SplitHostPort(v)
		wrong(err != nil, "%s %q is not HOST:PORT", name, v)
	}
	wrong(c.ID == "" || len(c.ID) > catalog.MaxName, "id is missing or too long")
	wrong(c.Data == "", "data, the folder, is missing")
	address("http", c.HTTP, true)
	address("raft", c.Raft, len(c.Peers) > 0)
	address("bind_http", c.BindHTTP, false)
	address("bind_raft", c.BindRaft, false)
	address("follow.discovery", c.Follow.Discovery, false)
	address("reports.to", c.Reports.To, false)
	seen := map[string]bool{c.ID: true}
	for _, p := range c.Peers {
		wrong(p.ID == "" || seen[p.ID], "peer %q: its id is missing or another's", p.ID)
		seen[p.ID] = true
		address("http of peer "+p.ID, p.HTTP, true)
		address("raft of peer "+p.ID, p.Raft, true)
	}
	wrong(len(c.Peers)%2 == 1, "there are %d replicas; an even number survives no more losses than one fewer", len(c.Peers)+1)
	wrong(c.Watch.Lag < 1 || c.Watch.Most < 1, "watch.lag_kb and watch.most are 1 or more")
	wrong(c.List.Most < 1 || c.List.Most > catalog.MaxMembers, "list.most is 1 to %d", catalog.MaxMembers)
	wrong(!(c.Asks.Rate > 0) || c.Asks.Burst < 1, "asks.rate and asks.burst are more than 0")
	wrong(!(c.Guard.Share > 0 && c.Guard.Share <= 1), "guard.share is more than 0 and at most 1")
	wrong(!(c.Lease.Share >= 0 && c.Lease.Share <= 1), "lease.share is 0 to 1")
	wrong(c.Snapshot.Every < 1 || c.Snapshot.Trailing < 0 || c.Snapshot.Interval.Duration <= 0, "snapshot.every and interval are more than 0, trailing 0 or more")
	wrong(c.Election.Duration < 50*time.Millisecond, "election is 50ms or more")
	return errors.Join(errs...)
}

func (c *Config) replicas() []catalog.Replica {
	out := []catalog.Replica{{ID: c.ID, HTTP: c.HTTP, Raft: c.Raft}}
	for _, p := range c.Peers {
		out = append(out, catalog.Replica{ID: p.ID, HTTP: p.HTTP, Raft: p.Raft})
	}
	return out
}
