// Package node is a delivery node on real sockets: it accepts messages from clients, journals them, asks
// package choice what to do, calls endpoints, and reports how messages end. It makes no decisions about
// messages itself.
package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"starlingusher/choice"
	"starlingusher/fleet/catalog"
	"starlingusher/internal/wire"
)

// Config is the configuration of a delivery node.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	AdminAddr string `json:"admin_addr"` // for operators; empty: none
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
		DiskMB   float64 `json:"disk_mb"`
	} `json:"limits"`
	InitialList catalog.List    `json:"known"`
	RawSettings json.RawMessage `json:"settings"`

	Fleet    Fleet           `json:"-"`
	StateDir string          `json:"-"` // the persistent folder
	Settings choice.Settings `json:"-"`
	Names    wire.Names      `json:"-"`

	initialWaits map[string]time.Time // by endpoint ID: until when it gets no calls; see TakeBackConfig
}

// LoadConfig reads the configuration file of a node whose persistent folder is stateDir.
func LoadConfig(path, stateDir string) (Config, error) {
	var c Config
	if path == "" || stateDir == "" {
		return c, errors.New("configuration: ROUTER_CONFIG must name the file and ROUTER_STATE the persistent folder")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	if err := json.Unmarshal(raw, &c); err != nil {
		return c, fmt.Errorf("configuration %s: %w", path, err)
	}
	c.StateDir = stateDir
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return c, fmt.Errorf("configuration %s: discovery: %w", path, err)
	}
	if c.Settings, err = wire.ParseSettings(c.RawSettings); err != nil {
		return c, fmt.Errorf("configuration %s: %w", path, err)
	}
	c.Settings.FullTableRejects = true // a full connection table answers 503
	if c.Limits.Sockets <= 0 {
		c.Limits.Sockets = defaultSockets
	}
	c.Settings.Slots, _ = splitDescriptors(c.Limits.Sockets, c.Settings.Slots)
	if c.Names, err = wire.ParseNames(c.RawSettings); err != nil {
		return c, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}
