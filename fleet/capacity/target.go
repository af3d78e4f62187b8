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
	"slices"
	"strings"

	"starlingusher/fleet/tomlfile"
)

const (
	secondsADay = 86_400
	kb, mb      = 1e3, 1e6

	// The slopes by destinations were measured with this many endpoints for each destination. A target with
	// another number is converted to the number of destinations with the same total of endpoints.
	endpointsMeasured = 1.7
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
		PerS      float64 `toml:"per_s" json:"per_s"`           // of all nodes
		Held      float64 `toml:"held" json:"held"`             // the largest backlog, of all nodes
		BodyBytes float64 `toml:"body_bytes" json:"body_bytes"` // of an event
		NameBytes float64 `toml:"name_bytes" json:"name_bytes"` // of its id and key
	} `toml:"events" json:"events"`
	Destinations struct {
		Count         float64 `toml:"count" json:"count"`
		EndpointsEach float64 `toml:"endpoints_each" json:"endpoints_each"`
		DownShare     float64 `toml:"down_share" json:"down_share"`       // at any time
		CallsPerS     float64 `toml:"calls_per_s" json:"calls_per_s"`     // that a small destination allows the whole fleet
		ProbeEveryS   float64 `toml:"probe_every_s" json:"probe_every_s"` // while a destination is down
		Owners        float64 `toml:"owners" json:"owners"`               // of each destination, for the lines "with ownership"
	} `toml:"destinations" json:"destinations"`
	List struct {
		ChangesPerS float64 `toml:"changes_per_s" json:"changes_per_s"` // each of one endpoint
	} `toml:"list" json:"list"`
	Configuration struct {
		ChangesPerDay float64 `toml:"changes_per_day" json:"changes_per_day"`
		InForceS      float64 `toml:"in_force_s" json:"in_force_s"` // until it is in force on all nodes
	} `toml:"configuration" json:"configuration"`
	Control struct { // budget of a node for control data
		CoreShare float64 `toml:"core_share" json:"core_share"`
		MemoryMB  float64 `toml:"memory_mb" json:"memory_mb"`
		KBPerS    float64 `toml:"kb_per_s" json:"kb_per_s"`
		Machines  float64 `toml:"machines" json:"machines"` // reserved for the whole fleet
		Replicas  float64 `toml:"replicas" json:"replicas"` // of the directory, on some of these machines
	} `toml:"control" json:"control"`
	Own struct { // budget of a node for events
		AnswerS         float64 `toml:"answer_s" json:"answer_s"`                   // how long clients wait for an answer
		HeldMemoryBytes float64 `toml:"held_memory_bytes" json:"held_memory_bytes"` // for each event held
	} `toml:"own" json:"own"`
	Failures struct {
		MachinesPerDay float64 `toml:"machines_per_day" json:"machines_per_day"`
		RestartsPerDay float64 `toml:"restarts_per_day" json:"restarts_per_day"`
		ReadyS         float64 `toml:"ready_s" json:"ready_s"` // after a start, even with the whole backlog to read
		RegionAloneS   float64 `toml:"region_alone_s" json:"region_alone_s"`
	} `toml:"failures" json:"failures"`
}

// Endpoints returns the endpoints of all destinations.
func (t Target) Endpoints() float64 { return t.Destinations.Count * t.Destinations.EndpointsEach }

// DestinationsDown returns how many destinations are down at any time.
func (t Target) DestinationsDown() float64 { return t.Destinations.Count * t.Destinations.DownShare }

// EventsPerSNode returns the events that one node receives in a second.
func (t Target) EventsPerSNode() float64 { return t.Events.PerS / t.Fleet.Nodes }

// HeldNode returns the largest backlog of one node, in events.
func (t Target) HeldNode() float64 { return t.Events.Held / t.Fleet.Nodes }

// NodesZone returns the nodes of a zone, which fail together with a rack, a switch or the zone.
func (t Target) NodesZone() float64 { return t.Fleet.Nodes / t.Fleet.Zones }

// NodesRegion returns the nodes of a region.
func (t Target) NodesRegion() float64 { return t.Fleet.Nodes / t.Fleet.Regions }

// destinationsMeasured returns the destinations in the unit of the slopes.
func (t Target) destinationsMeasured() float64 { return t.Endpoints() / endpointsMeasured }

// destinationsOwned returns the destinations of one node if each destination has few owners.
func (t Target) destinationsOwned() float64 {
	return t.destinationsMeasured() * t.owners() / t.Fleet.Nodes
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
		t.Events.PerS *= times
		t.Events.Held *= times
	case ByEvents:
		t.Events.PerS *= times
	case ByBacklog:
		t.Events.Held *= times
	case ByChanges:
		t.List.ChangesPerS *= times
		t.Configuration.ChangesPerDay *= times
	case ByTimeAlone:
		t.Failures.RegionAloneS *= times
	}
	return t
}

// Error is an error in a file and its place.
type Error = tomlfile.Error

// ParseTarget parses a target. Each setting must be present and above 0; a share is at most 1. Its errors are
// of type *Error, all of them joined.
func ParseTarget(text []byte) (Target, error) {
	var t Target
	if err := tomlfile.Decode(text, &t, unknown); err != nil {
		return t, err
	}
	where := tomlfile.KeyLines(text)
	var found []error
	bad := func(name, format string, args ...any) {
		line := where[name]
		if table, _, _ := strings.Cut(name, "."); line == 0 {
			line = where[table] // the table in which it is missing, or that is written on one line
		}
		found = append(found, &Error{Line: line, Message: name + fmt.Sprintf(format, args...)})
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
			case where[name] == 0 && v == 0:
				bad(name, " is missing")
			case !(v > 0) || math.IsInf(v, 0):
				bad(name, " is %v, must be more than 0", v)
			case strings.HasSuffix(name, "_share") && v > 1:
				bad(name, " is %v, a share is at most 1", v)
			}
		}
	}
	for _, name := range t.Guessed {
		if !names[name] {
			found = append(found, &Error{Line: where["guessed"], Message: fmt.Sprintf("guessed: there is no setting %q", name)})
		}
	}
	return t, errors.Join(found...)
}

func unknown(name string) string { return fmt.Sprintf("there is no setting %q", name) }

// guessedOf returns those of the names that the target calls guessed.
func (t Target) guesses(names []string) []string {
	var some []string
	for _, n := range names {
		if slices.Contains(t.Guessed, n) {
			some = append(some, n)
		}
	}
	return some
}
