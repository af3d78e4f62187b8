// Package directory implements the list service: replicas that agree on the state of package catalog by means
// of Raft, and serve it to nodes and operators. From Open to Close a replica owns its folder, its two
// addresses and everything that it starts.
package directory

import (
	"errors"
	"fmt"
	"net"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/internal/settings"
)

// Config is the configuration of a replica. Defaults provides the values that a file leaves out.
type Config struct {
	ID   string `toml:"id"`
	HTTP string `toml:"http"` // address for nodes, operators and other replicas
	Raft string `toml:"raft"` // address for other replicas; empty: this is the only replica
	Data string `toml:"data"` // its folder
	// Addresses to listen on, if they differ from those above.
	BindHTTP string `toml:"bind_http"`
	BindRaft string `toml:"bind_raft"`

	Peers []Peer `toml:"peer"` // the other replicas

	Watch struct {
		MaxLagKB int `toml:"lag_kb"` // changes that a watch may lag behind before it is cut
		MaxOpen  int `toml:"most"`   // open watches
	} `toml:"watch"`
	List struct {
		MaxEndpoints int `toml:"most"` // endpoints
	} `toml:"list"`
	Requests struct {
		Rate  float64 `toml:"rate"`  // complete lists and new watches per second
		Burst int     `toml:"burst"` // burst size of the rate limit
	} `toml:"asks"`
	Guard struct {
		MaxRemovedShare float64  `toml:"share"` // of the serving endpoints that may be removed at once without confirmation
		ConfirmAfter    Duration `toml:"stand"` // after which a held write is applied without confirmation; "0s": never
	} `toml:"guard"`
	Lease struct {
		MaxExpiredShare float64  `toml:"share"` // of a partner's endpoints that may be expired at once
		DrainTime       Duration `toml:"drain"` // from the expiry of an endpoint's lease until its removal
	} `toml:"lease"`
	Source struct {
		Discovery string `toml:"discovery"` // address of the platform's discovery; empty: the list is maintained here
	} `toml:"follow"`
	Reports struct {
		ForwardTo string `toml:"to"` // HOST:PORT that receives notices; empty: they are stored in the folder
	} `toml:"reports"`
	Snapshot struct {
		Every    int      `toml:"every"` // commands between snapshots
		Trailing int      `toml:"trailing"`
		Interval Duration `toml:"interval"`
	} `toml:"snapshot"`
	Election Duration `toml:"election"` // election timeout
}

// Peer is another replica.
type Peer struct {
	ID   string `toml:"id"`
	HTTP string `toml:"http"`
	Raft string `toml:"raft"`
}

// Duration is a time span in TOML, such as "2s".
type Duration struct{ time.Duration }

// UnmarshalText parses a duration that is not negative.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	if v < 0 {
		return fmt.Errorf("duration %s is negative", b)
	}
	d.Duration = v
	return nil
}

// Defaults returns the settings of a single replica.
func Defaults() Config {
	var c Config
	c.ID, c.HTTP, c.Data = "directory", "127.0.0.1:8600", "directory-data"
	c.Watch.MaxLagKB, c.Watch.MaxOpen = 1024, 20_000
	c.List.MaxEndpoints = catalog.DefaultMaxEndpoints
	c.Requests.Rate, c.Requests.Burst = 2000, 1000
	c.Guard.MaxRemovedShare, c.Guard.ConfirmAfter.Duration = 0.5, 10*time.Minute
	c.Lease.MaxExpiredShare, c.Lease.DrainTime.Duration = 0.25, 30*time.Second
	c.Snapshot.Every, c.Snapshot.Trailing, c.Snapshot.Interval.Duration = 8192, 8192, 30*time.Second
	c.Election.Duration = 500 * time.Millisecond
	return c
}

// LoadConfig reads a file on top of the defaults. The error for an unknown name or an invalid value contains
// its line.
func LoadConfig(path string) (Config, error) {
	c := Defaults()
	if err := settings.Load(path, &c); err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	if err := c.Validate(); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Validate returns all errors of a configuration.
func (c *Config) Validate() error {
	var errs []error
	failIf := func(failed bool, format string, args ...any) {
		if failed {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	checkAddress := func(name, v string, required bool) {
		if v == "" && !required {
			return
		}
		_, _, err := net.SplitHostPort(v)
		failIf(err != nil, "%s %q is not HOST:PORT", name, v)
	}
	failIf(c.ID == "" || len(c.ID) > catalog.MaxNameBytes, "id is missing or too long")
	failIf(c.Data == "", "data (the folder) is missing")
	checkAddress("http", c.HTTP, true)
	checkAddress("raft", c.Raft, len(c.Peers) > 0)
	checkAddress("bind_http", c.BindHTTP, false)
	checkAddress("bind_raft", c.BindRaft, false)
	checkAddress("follow.discovery", c.Source.Discovery, false)
	checkAddress("reports.to", c.Reports.ForwardTo, false)
	seen := map[string]bool{c.ID: true}
	for _, p := range c.Peers {
		failIf(p.ID == "" || seen[p.ID], "peer %q: its id is missing or used twice", p.ID)
		seen[p.ID] = true
		checkAddress("http of peer "+p.ID, p.HTTP, true)
		checkAddress("raft of peer "+p.ID, p.Raft, true)
	}
	failIf(len(c.Peers)%2 == 1, "there are %d replicas; an even number tolerates no more failures than one fewer", len(c.Peers)+1)
	failIf(c.Watch.MaxLagKB < 1 || c.Watch.MaxOpen < 1, "watch.lag_kb and watch.most must be at least 1")
	failIf(c.List.MaxEndpoints < 1 || c.List.MaxEndpoints > catalog.MaxEndpoints, "list.most must be 1 to %d", catalog.MaxEndpoints)
	failIf(!(c.Requests.Rate > 0) || c.Requests.Burst < 1, "asks.rate and asks.burst must be above 0")
	failIf(!(c.Guard.MaxRemovedShare > 0 && c.Guard.MaxRemovedShare <= 1), "guard.share must be above 0 and at most 1")
	failIf(!(c.Lease.MaxExpiredShare >= 0 && c.Lease.MaxExpiredShare <= 1), "lease.share must be 0 to 1")
	failIf(c.Snapshot.Every < 1 || c.Snapshot.Trailing < 0 || c.Snapshot.Interval.Duration <= 0, "snapshot.every and snapshot.interval must be above 0, snapshot.trailing must not be negative")
	failIf(c.Election.Duration < 50*time.Millisecond, "election must be at least 50ms")
	return errors.Join(errs...)
}

func (c *Config) replicas() []catalog.Replica {
	out := []catalog.Replica{{ID: c.ID, HTTP: c.HTTP, Raft: c.Raft}}
	for _, p := range c.Peers {
		out = append(out, catalog.Replica{ID: p.ID, HTTP: p.HTTP, Raft: p.Raft})
	}
	return out
}
