// Package experiment defines the file format of experiments: a fleet, a load, a timeline of faults, and
// expectations. Parse reads and checks a file, DrawPlan makes a plan of it; the same seed always gives the
// same plan. The package uses no files and no clock; the lab runs its plans on sockets, the model of the
// fleet in virtual time.
package experiment

import (
	"fmt"
	"reflect"
	"time"

	"starlingusher/fleet/tomlfile"
)

// File is an experiment as written in its file. Parse sets the defaults of omitted values.
type File struct {
	Name   string        `toml:"name"`
	About  string        `toml:"about"`
	Length DurationRange `toml:"length"` // period in which messages are submitted
	Settle DurationRange `toml:"settle"` // period after it, for their final answers; by default the longest deadline plus a second

	Fleet     Fleet          `toml:"fleet"`
	Load      Load           `toml:"load"`
	Network   Network        `toml:"network"`
	Discovery Discovery      `toml:"discovery"`
	Rules     Rules          `toml:"rules"`
	Classes   []Class        `toml:"class"`
	Tenants   []Tenant       `toml:"member"`
	Partners  []PartnerGroup `toml:"partner"`
	Faults    []Fault        `toml:"fault"`
	Expect    Expect         `toml:"expect"`
}

// Fleet describes the nodes.
type Fleet struct {
	Nodes        NumberRange   `toml:"nodes"`
	Zones        []string      `toml:"zones"`
	ZipfExponent NumberRange   `toml:"uneven"`     // of the nodes' traffic by rank; 0: all nodes alike
	SlotHeadroom NumberRange   `toml:"slots_room"` // slots relative to the mean number of calls in flight
	MinSlots     NumberRange   `toml:"least_slots"`
	HoldTime     DurationRange `toml:"hold"` // limit of messages held by a node, as time at its share of the load
	MinOpen      NumberRange   `toml:"least_open"`
	Cores        NumberRange   `toml:"cores"`
	MemoryMB     NumberRange   `toml:"memory_mb"`
	Sockets      NumberRange   `toml:"sockets"`
	DiskMB       NumberRange   `toml:"disk_mb"`
}

// Load describes the clients.
type Load struct {
	Rate            NumberRange   `toml:"rate"`       // messages a second, all nodes together
	ClumpShare      NumberRange   `toml:"clumps"`     // share of the messages that come in clumps for one partner
	ClumpSize       DurationRange `toml:"clump_size"` // size of a clump, as time at the partner's rate limit
	ClumpDuration   DurationRange `toml:"clump_over"` // period over which a clump is submitted
	MaxRetries      NumberRange   `toml:"retries"`    // submissions after a refusal
	Backoff         DurationRange `toml:"backoff"`    // before each of them, unless the node tells a retry-after
	HonorRetryAfter NumberRange   `toml:"honour"`     // share of clients that wait as long as the node tells
	ResubmitDelay   DurationRange `toml:"again"`      // before messages held by a lost node are submitted to another
	AnswerTimeout   DurationRange `toml:"patience"`   // time that clients wait for an answer
	RudePeerRate    NumberRange   `toml:"rude"`       // misbehaving peers a second
	BodyBytes       NumberRange   `toml:"body"`       // of a message
}

// Network describes the links between nodes and partners.
type Network struct {
	SameZone  DurationRange `toml:"same"`   // one-way delay within a zone
	CrossZone DurationRange `toml:"cross"`  // one-way delay between zones
	Jitter    NumberRange   `toml:"jitter"` // variation of each segment's delay, as a share of the delay
}

// Discovery tells how late nodes learn of changes.
type Discovery struct {
	Delay    DurationRange `toml:"delay"`
	Replicas NumberRange   `toml:"replicas"` // of a directory run by the lab, which then informs the nodes; 0: the platform does
}

// Rules holds the parameters of the rules that the settings tell the nodes.
type Rules struct {
	MaxAttempts       NumberRange   `toml:"max_attempts"`
	DrainGrace        DurationRange `toml:"drain_grace"`
	CollapseMultiple  NumberRange   `toml:"fall_multiple"`
	CollapseSpan      DurationRange `toml:"fall"`
	SlowStartFrom     NumberRange   `toml:"cold_from"`
	SlowStartDuration DurationRange `toml:"warm_within"`
	DialTimeout       DurationRange `toml:"dial_timeout"`
	ConnIdleTimeout   DurationRange `toml:"conn_idle"`
	MaxRetryAfter     DurationRange `toml:"max_retry_after"`
}

// Class is a message class.
type Class struct {
	Name            string        `toml:"name"`
	Share           NumberRange   `toml:"share"`
	SoftDeadline    DurationRange `toml:"aim"`
	Deadline        DurationRange `toml:"deadline"`
	Worth           NumberRange   `toml:"worth"`
	WorthAtDeadline NumberRange   `toml:"late_worth"`
	Effect          string        `toml:"effect"` // "safe", "keyed" or "unsafe"
	Window          DurationRange `toml:"window"`
	PartnerKinds    []string      `toml:"kinds"` // kinds of partners that its messages go to; none: all
}

// Tenant is a group of clients with a share of the traffic.
type Tenant struct {
	Name      string      `toml:"name"`
	Share     NumberRange `toml:"share"`
	Allowance NumberRange `toml:"allowance"` // messages a second; 0: its share of the load's rate
}

// PartnerGroup is a group of partners drawn from the same ranges.
type PartnerGroup struct {
	Kind          string      `toml:"kind"`
	Count         NumberRange `toml:"count"`
	TrafficWeight NumberRange `toml:"traffic"` // of the group, relative to the other groups
	ZipfExponent  NumberRange `toml:"uneven"`  // of the partners' traffic by rank
	Endpoints     NumberRange `toml:"endpoints"`
	MaxBatch      NumberRange `toml:"batch"`

	ServiceTime          DurationRange `toml:"pace"`
	ServiceTimeVariation NumberRange   `toml:"spread"`
	ExtraItemCost        NumberRange   `toml:"item_cost"`
	CapacityOverLimit    NumberRange   `toml:"spare"`       // capacity relative to the limit
	QueueTime            DurationRange `toml:"queue"`       // length of a full queue, as time at its capacity
	ConnsPerWorker       NumberRange   `toml:"connections"` // maximum number of connections, as a multiple of the workers; 0: unlimited

	LimitKind       string        `toml:"limit"`    // "rate", "count" or "none"
	Headroom        NumberRange   `toml:"headroom"` // limit relative to the traffic
	MinRate         NumberRange   `toml:"least_rate"`
	LimitWindow     DurationRange `toml:"limit_span"`
	CountsRefused   bool          `toml:"counts_refused"`
	RetryAfterShare NumberRange   `toml:"tells_wait"`
	RetryAfterRange DurationRange `toml:"wait"`

	ErrorShare            NumberRange `toml:"faults"`
	DeferShare            NumberRange `toml:"defers"`
	LostAnswerShare       NumberRange `toml:"lost"`
	UnreadableAnswerShare NumberRange `toml:"spoilt"`
}

// Fault is one fault of the timeline.
type Fault struct {
	Kind         string        `toml:"kind"`
	At           DurationRange `toml:"at"`
	Duration     DurationRange `toml:"for"`
	Size         NumberRange   `toml:"size"` // its meaning depends on the kind; see the page on experiments
	StepInterval DurationRange `toml:"step"` // time between one target and the next

	Partners     []int        `toml:"partners"` // numbers of partners
	TrafficShare *NumberRange `toml:"part"`     // or random partners with this share of the traffic, at least one
	Nodes        []int        `toml:"nodes"`
	NodeShare    *NumberRange `toml:"share"` // or this share of the nodes, at least one
	Zone         string       `toml:"zone"`  // or all nodes of a zone

	Direction  string `toml:"way"`  // of cuts: "both", "out" (from the nodes) or "back"
	ConnsAfter string `toml:"then"` // of cuts: what happens to open connections, "reset" or "resume"
	LoseState  bool   `toml:"lose"` // of restarts: lose the state directory too
}

// Expect holds the expectations of a run, in addition to its rules.
type Expect struct {
	BrokenRules      []string               `toml:"broken" json:"Broken"`       // rules that must be broken; none: all must be kept
	MinServed        NumberRange            `toml:"served" json:"Served"`       // share of the worth served
	MinServedByClass map[string]NumberRange `toml:"class" json:"Class"`         // the same by class
	MinWorstInterval NumberRange            `toml:"worst" json:"Worst"`         // the same in the worst five seconds
	MaxAboveLimit    *NumberRange           `toml:"above" json:"AboveMost"`     // calls refused above a limit, per message
	MaxLateness      DurationRange          `toml:"lateness" json:"Lateness"`   // of the lab itself, 99th percentile
	MinDelivered     NumberRange            `toml:"delivered" json:"Delivered"` // messages
}

// defaults returns the values of the brief, or harmless ones.
func defaults() File {
	ms := func(low, high int) DurationRange {
		return DurationRange{time.Duration(low) * time.Millisecond, time.Duration(high) * time.Millisecond}
	}
	return File{
		Length: fixedDuration(20 * time.Second),
		Fleet: Fleet{
			Nodes: fixedNumber(3), Zones: []string{"hall-a", "hall-b"}, SlotHeadroom: NumberRange{1.6, 1.9}, MinSlots: fixedNumber(2), HoldTime: ms(6000, 12000),
			MinOpen: fixedNumber(8), Cores: fixedNumber(1), MemoryMB: fixedNumber(128), Sockets: fixedNumber(512), DiskMB: fixedNumber(3),
		},
		Load: Load{
			Rate: fixedNumber(60), ClumpSize: ms(1100, 2700), ClumpDuration: ms(1000, 1000), MaxRetries: fixedNumber(3), Backoff: ms(570, 1400), HonorRetryAfter: fixedNumber(0.8),
			ResubmitDelay: ms(320, 1700), AnswerTimeout: ms(400, 400), BodyBytes: fixedNumber(120),
		},
		Network:   Network{SameZone: ms(1, 3), CrossZone: ms(5, 22), Jitter: fixedNumber(0.1)},
		Discovery: Discovery{Delay: ms(300, 1500)},
		Rules: Rules{
			MaxAttempts: fixedNumber(6), DrainGrace: ms(1000, 1000), CollapseMultiple: fixedNumber(2), CollapseSpan: ms(2000, 2000), SlowStartFrom: fixedNumber(0.19),
			SlowStartDuration: ms(10000, 10000), DialTimeout: ms(1500, 1500), ConnIdleTimeout: ms(5000, 5000), MaxRetryAfter: ms(2000, 2000),
		},
		Expect: Expect{MaxLateness: ms(20, 20)},
	}
}

func partnerDefaults() PartnerGroup {
	return PartnerGroup{
		Count: fixedNumber(1), TrafficWeight: fixedNumber(1), Endpoints: NumberRange{1, 3}, MaxBatch: fixedNumber(1), ServiceTime: DurationRange{120 * time.Millisecond, 210 * time.Millisecond},
		ServiceTimeVariation: fixedNumber(0.7), CapacityOverLimit: NumberRange{1.2, 1.5}, QueueTime: fixedDuration(600 * time.Millisecond), LimitKind: "rate", Headroom: NumberRange{1.1, 2.1},
		MinRate: fixedNumber(2), LimitWindow: fixedDuration(2 * time.Second), RetryAfterShare: fixedNumber(0.5), RetryAfterRange: DurationRange{250 * time.Millisecond, 940 * time.Millisecond},
	}
}

// Parse reads and checks an experiment. Its errors are of type *Error, all of them joined.
func Parse(text []byte) (File, error) {
	f := defaults()
	if err := tomlfile.Decode(text, &f, unknownName); err != nil {
		return f, err
	}
	lines := tomlfile.KeyLines(text)
	for i := range f.Partners { // set the defaults of what a group leaves out
		f.Partners[i] = withDefaults(f.Partners[i], func(name string) bool { return lines[fmt.Sprintf("partner[%d].%s", i, name)] > 0 })
	}
	return f, f.check(lines)
}

// withDefaults returns a partner group with the defaults for what the file does not set.
func withDefaults(given PartnerGroup, named func(name string) bool) PartnerGroup {
	p := partnerDefaults()
	from, to := reflect.ValueOf(given), reflect.ValueOf(&p).Elem()
	for i := range from.NumField() {
		if named(from.Type().Field(i).Tag.Get("toml")) {
			to.Field(i).Set(from.Field(i))
		}
	}
	return p
}
