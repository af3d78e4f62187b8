// Package capacity computes what a fleet of a given size costs, and at which size the present program reaches
// its limits. It takes a target (the size of the fleet and its budgets) and slopes (results of scale runs),
// and contains the table of what is computed from them. It is arithmetic only: no files, no clock and no
// randomness.
//
// Bytes are counted in decimal units: a KB is 1,000 bytes, an MB 1,000,000.
package capacity

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"strings"

	"starlingusher/fleet/tomlfile"
)

const (
	secondsPerDay = 86_400
	kb, mb        = 1e3, 1e6

	// The slopes by destinations were measured with this many endpoints for each destination. A target with
	// another number is converted to the number of destinations with the same total of endpoints.
	measuredEndpointsEach = 1.7
)

// Target is the size of a fleet and its budgets.
type Target struct {
	// Guessed names settings of this file that nobody has provided, like "list.changes_per_s". Results that
	// depend on them say so.
	Guessed []string `toml:"guessed" json:"guessed"`

	Fleet struct {
		Nodes   float64 `toml:"nodes" json:"nodes"`
		Regions float64 `toml:"regions" json:"regions"`
		Zones   float64 `toml:"zones" json:"zones"` // in total
	} `toml:"fleet" json:"fleet"`
	Events struct {
		PerSecond float64 `toml:"per_s" json:"per_s"`           // of all nodes
		Backlog   float64 `toml:"held" json:"held"`             // the largest backlog, of all nodes
		BodyBytes float64 `toml:"body_bytes" json:"body_bytes"` // of an event
		NameBytes float64 `toml:"name_bytes" json:"name_bytes"` // of its id and key
	} `toml:"events" json:"events"`
	Destinations struct {
		Count                float64 `toml:"count" json:"count"`
		EndpointsEach        float64 `toml:"endpoints_each" json:"endpoints_each"`
		DownShare            float64 `toml:"down_share" json:"down_share"`       // at any time
		CallsPerSecond       float64 `toml:"calls_per_s" json:"calls_per_s"`     // that a small destination allows the whole fleet
		ProbeIntervalSeconds float64 `toml:"probe_every_s" json:"probe_every_s"` // while a destination is down
		Owners               float64 `toml:"owners" json:"owners"`               // of each destination, for the lines "with ownership"
	} `toml:"destinations" json:"destinations"`
	List struct {
		ChangesPerSecond float64 `toml:"changes_per_s" json:"changes_per_s"` // each of one endpoint
	} `toml:"list" json:"list"`
	Configuration struct {
		ChangesPerDay  float64 `toml:"changes_per_day" json:"changes_per_day"`
		InForceSeconds float64 `toml:"in_force_s" json:"in_force_s"` // until it is in force on all nodes
	} `toml:"configuration" json:"configuration"`
	ControlBudget struct { // budget of a node for control data
		CoreShare   float64 `toml:"core_share" json:"core_share"`
		MemoryMB    float64 `toml:"memory_mb" json:"memory_mb"`
		KBPerSecond float64 `toml:"kb_per_s" json:"kb_per_s"`
		Machines    float64 `toml:"machines" json:"machines"` // reserved for the whole fleet
		Replicas    float64 `toml:"replicas" json:"replicas"` // of the directory, on some of these machines
	} `toml:"control" json:"control"`
	EventBudget struct { // budget of a node for events
		AnswerSeconds      float64 `toml:"answer_s" json:"answer_s"`                   // how long clients wait for an answer
		BacklogMemoryBytes float64 `toml:"held_memory_bytes" json:"held_memory_bytes"` // for each event held
	} `toml:"own" json:"own"`
	Failures struct {
		MachinesPerDay        float64 `toml:"machines_per_day" json:"machines_per_day"`
		RestartsPerDay        float64 `toml:"restarts_per_day" json:"restarts_per_day"`
		ReadySeconds          float64 `toml:"ready_s" json:"ready_s"` // after a start, even with the whole backlog to read
		RegionIsolatedSeconds float64 `toml:"region_alone_s" json:"region_alone_s"`
	} `toml:"failures" json:"failures"`
}

// Endpoints returns the endpoints of all destinations.
func (t Target) Endpoints() float64 { return t.Destinations.Count * t.Destinations.EndpointsEach }

// DestinationsDown returns how many destinations are down at any time.
func (t Target) DestinationsDown() float64 { return t.Destinations.Count * t.Destinations.DownShare }

// EventsPerSecondPerNode returns the events that one node receives in a second.
func (t Target) EventsPerSecondPerNode() float64 { return t.Events.PerSecond / t.Fleet.Nodes }

// BacklogPerNode returns the largest backlog of one node, in events.
func (t Target) BacklogPerNode() float64 { return t.Events.Backlog / t.Fleet.Nodes }

// NodesPerZone returns the nodes of a zone, which fail together with a rack, a switch or the zone.
func (t Target) NodesPerZone() float64 { return t.Fleet.Nodes / t.Fleet.Zones }

// NodesPerRegion returns the nodes of a region.
func (t Target) NodesPerRegion() float64 { return t.Fleet.Nodes / t.Fleet.Regions }

// measuredDestinations returns the destinations in the unit of the slopes.
func (t Target) measuredDestinations() float64 { return t.Endpoints() / measuredEndpointsEach }

// ownedDestinations returns the destinations of one node if each destination has few owners.
func (t Target) ownedDestinations() float64 {
	return t.measuredDestinations() * t.owners() / t.Fleet.Nodes
}

func (t Target) owners() float64 { return min(t.Destinations.Owners, t.Fleet.Nodes) }

// Axis is the property of a fleet that grows while all others stay as in the target.
type Axis string

const (
	ByDestinations Axis = "destinations"
	ByNodes        Axis = "nodes" // with their events and backlog, so that the work of a node stays the same
	ByEvents       Axis = "events a second"
	ByBacklog      Axis = "backlog"
	ByChanges      Axis = "changes"
	ByTimeAlone    Axis = "time alone"
)

// Scaled returns the target with one property multiplied.
func (t Target) Scaled(by Axis, times float64) Target {
	switch by {
	case ByDestinations:
		t.Destinations.Count *= times
	case ByNodes:
		t.Fleet.Nodes *= times
		t.Events.PerSecond *= times
		t.Events.Backlog *= times
	case ByEvents:
		t.Events.PerSecond *= times
	case ByBacklog:
		t.Events.Backlog *= times
	case ByChanges:
		t.List.ChangesPerSecond *= times
		t.Configuration.ChangesPerDay *= times
	case ByTimeAlone:
		t.Failures.RegionIsolatedSeconds *= times
	}
	return t
}

// Error is an error in a file and its place.
type Error = tomlfile.Error

// ParseTarget parses a target. Each setting must be present and above 0; a share is at most 1. Its errors are
// of type *Error, all of them joined.
func ParseTarget(text []byte) (Target, error) {
	var t Target
	if err := tomlfile.Decode(text, &t, unknownSetting); err != nil {
		return t, err
	}
	lines := tomlfile.KeyLines(text)
	var errs []error
	addError := func(name, format string, args ...any) {
		line := lines[name]
		if table, _, _ := strings.Cut(name, "."); line == 0 {
			line = lines[table] // the table in which it is missing, or that is written on one line
		}
		errs = append(errs, &Error{Line: line, Message: name + fmt.Sprintf(format, args...)})
	}
	names := map[string]bool{}
	tables := reflect.ValueOf(t)
	for i := range tables.NumField() {
		table := tables.Type().Field(i).Tag.Get("toml")
		if tables.Field(i).Kind() != reflect.Struct {
			continue
		}
		for k := range tables.Field(i).NumField() {
			name := table + "." + tables.Field(i).Type().Field(k).Tag.Get("toml")
			names[name] = true
			switch v := tables.Field(i).Field(k).Float(); {
			case lines[name] == 0 && v == 0:
				addError(name, " is missing")
			case !(v > 0) || math.IsInf(v, 0):
				addError(name, " is %v, must be more than 0", v)
			case strings.HasSuffix(name, "_share") && v > 1:
				addError(name, " is %v, a share is at most 1", v)
			}
		}
	}
	for _, name := range t.Guessed {
		if !names[name] {
			errs = append(errs, &Error{Line: lines["guessed"], Message: fmt.Sprintf("guessed: there is no setting %q", name)})
		}
	}
	return t, errors.Join(errs...)
}

func unknownSetting(name string) string { return fmt.Sprintf("there is no setting %q", name) }
