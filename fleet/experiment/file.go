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
	Name   string `toml:"name"`
	About  string `toml:"about"`
	Length Span   `toml:"length"` // period in which messages are submitted
	Settle Span   `toml:"settle"` // period after it, for their final answers; by default the longest deadline plus a second

	Fleet     Fleet     `toml:"fleet"`
	Load      Load      `toml:"load"`
	Network   Network   `toml:"network"`
	Discovery Discovery `toml:"discovery"`
	Rules     Rules     `toml:"rules"`
	Classes   []Class   `toml:"class"`
	Members   []Member  `toml:"member"`
	Partners  []Partner `toml:"partner"`
	Faults    []Fault   `toml:"fault"`
	Expect    Expect    `toml:"expect"`
}

// Fleet describes the nodes.
type Fleet struct {
	Nodes     Number   `toml:"nodes"`
	Zones     []string `toml:"zones"`
	Uneven    Number   `toml:"uneven"`     // of the nodes' traffic by rank; 0: all nodes alike
	SlotsRoom Number   `toml:"slots_room"` // slots relative to the mean number of calls in flight
	LeastSlot Number   `toml:"least_slots"`
	Hold      Span     `toml:"hold"` // limit of messages held by a node, as time at its share of the load
	LeastOpen Number   `toml:"least_open"`
	Cores     Number   `toml:"cores"`
	MemoryMB  Number   `toml:"memory_mb"`
	Sockets   Number   `toml:"sockets"`
	DiskMB    Number   `toml:"disk_mb"`
}

// Load describes the clients.
type Load struct {
	Rate      Number `toml:"rate"`       // messages a second, all nodes together
	Clumps    Number `toml:"clumps"`     // share of the messages that come in clumps for one partner
	ClumpSize Span   `toml:"clump_size"` // size of a clump, as time at the partner's rate limit
	ClumpOver Span   `toml:"clump_over"` // period over which a clump is submitted
	Retries   Number `toml:"retries"`    // submissions after a refusal
	Backoff   Span   `toml:"backoff"`    // before each of them, unless the node tells a retry-after
	Honour    Number `toml:"honour"`     // share of clients that wait as long as the node tells
	Again     Span   `toml:"again"`      // before messages held by a lost node are submitted to another
	Patience  Span   `toml:"patience"`   // time that clients wait for an answer
	Rude      Number `toml:"rude"`       // misbehaving peers a second
	Body      Number `toml:"body"`       // of a message
}

// Network describes the links between nodes and partners.
type Network struct {
	Same   Span   `toml:"same"`   // one-way delay within a zone
	Cross  Span   `toml:"cross"`  // one-way delay between zones
	Jitter Number `toml:"jitter"` // variation of each segment's delay, as a share of the delay
}

// Discovery tells how late nodes learn of changes.
type Discovery struct {
	Delay    Span   `toml:"delay"`
	Replicas Number `toml:"replicas"` // of a directory run by the lab, which then informs the nodes; 0: the platform does
}

// Rules holds the parameters of the rules that the settings tell the nodes.
type Rules struct {
	MaxAttempts  Number `toml:"max_attempts"`
	DrainGrace   Span   `toml:"drain_grace"`
	FallMultiple Number `toml:"fall_multiple"`
	Fall         Span   `toml:"fall"`
	ColdFrom     Number `toml:"cold_from"`
	WarmWithin   Span   `toml:"warm_within"`
	DialTimeout  Span   `toml:"dial_timeout"`
	ConnIdle     Span   `toml:"conn_idle"`
	MaxWait      Span   `toml:"max_retry_after"`
}

// Class is a message class.
type Class struct {
	Name      string   `toml:"name"`
	Share     Number   `toml:"share"`
	Aim       Span     `toml:"aim"`
	Deadline  Span     `toml:"deadline"`
	Worth     Number   `toml:"worth"`
	LateWorth Number   `toml:"late_worth"`
	Effect    string   `toml:"effect"` // "safe", "keyed" or "unsafe"
	Window    Span     `toml:"window"`
	Kinds     []string `toml:"kinds"` // kinds of partners that its messages go to; none: all
}

// Tenant is a group of clients with a share of the traffic.
type Member struct {
	Name      string `toml:"name"`
	Share     Number `toml:"share"`
	Allowance Number `toml:"allowance"` // messages a second; 0: its share of the load's rate
}

// PartnerGroup is a group of partners drawn from the same ranges.
type Partner struct {
	Kind      string `toml:"kind"`
	Count     Number `toml:"count"`
	Traffic   Number `toml:"traffic"` // of the group, relative to the other groups
	Uneven    Number `toml:"uneven"`  // of the partners' traffic by rank
	Endpoints Number `toml:"endpoints"`
	Batch     Number `toml:"batch"`

	Pace     Span   `toml:"pace"`
	Spread   Number `toml:"spread"`
	ItemCost Number `toml:"item_cost"`
	Spare    Number `toml:"spare"`       // capacity relative to the limit
	Queue    Span   `toml:"queue"`       // length of a full queue, as time at its capacity
	Conns    Number `toml:"connections"` // maximum number of connections, as a multiple of the workers; 0: unlimited

	Limit         string `toml:"limit"`    // "rate", "count" or "none"
	Headroom      Number `toml:"headroom"` // limit relative to the traffic
	LeastRate     Number `toml:"least_rate"`
	LimitSpan     Span   `toml:"limit_span"`
	CountsRefused bool   `toml:"counts_refused"`
	TellsWait     Number `toml:"tells_wait"`
	Wait          Span   `toml:"wait"`

	Faults Number `toml:"faults"`
	Defers Number `toml:"defers"`
	Lost   Number `toml:"lost"`
	Spoilt Number `toml:"spoilt"`
}

// Fault is one fault of the timeline.
type Fault struct {
	Kind string `toml:"kind"`
	At   Span   `toml:"at"`
	For  Span   `toml:"for"`
	Size Number `toml:"size"` // its meaning depends on the kind; see the page on experiments
	Step Span   `toml:"step"` // time between one target and the next

	Partners []int   `toml:"partners"` // numbers of partners
	Part     *Number `toml:"part"`     // or random partners with this share of the traffic, at least one
	Nodes    []int   `toml:"nodes"`
	Share    *Number `toml:"share"` // or this share of the nodes, at least one
	Zone     string  `toml:"zone"`  // or all nodes of a zone

	Way  string `toml:"way"`  // of cuts: "both", "out" (from the nodes) or "back"
	Then string `toml:"then"` // of cuts: what happens to open connections, "reset" or "resume"
	Lose bool   `toml:"lose"` // of restarts: lose the state directory too
}

// Expect holds the expectations of a run, in addition to its rules.
type Expect struct {
	Broken    []string          `toml:"broken"`    // rules that must be broken; none: all must be kept
	Served    Number            `toml:"served"`    // share of the worth served
	Class     map[string]Number `toml:"class"`     // the same by class
	Worst     Number            `toml:"worst"`     // the same in the worst five seconds
	AboveMost *Number           `toml:"above"`     // calls refused above a limit, per message
	Lateness  Span              `toml:"lateness"`  // of the lab itself, 99th percentile
	Delivered Number            `toml:"delivered"` // messages
}

// defaults returns the values of the brief, or harmless ones.
func defaults() File {
	ms := func(low, high int) Span {
		return Span{time.Duration(low) * time.Millisecond, time.Duration(high) * time.Millisecond}
	}
	return File{
		Length: fixedSpan(20 * time.Second),
		Fleet: Fleet{
			Nodes: fixed(3), Zones: []string{"hall-a", "hall-b"}, SlotsRoom: Number{1.6, 1.9}, LeastSlot: fixed(2), Hold: ms(6000, 12000),
			LeastOpen: fixed(8), Cores: fixed(1), MemoryMB: fixed(128), Sockets: fixed(512), DiskMB: fixed(3),
		},
		Load: Load{
			Rate: fixed(60), ClumpSize: ms(1100, 2700), ClumpOver: ms(1000, 1000), Retries: fixed(3), Backoff: ms(570, 1400), Honour: fixed(0.8),
			Again: ms(320, 1700), Patience: ms(400, 400), Body: fixed(120),
		},
		Network:   Network{Same: ms(1, 3), Cross: ms(5, 22), Jitter: fixed(0.1)},
		Discovery: Discovery{Delay: ms(300, 1500)},
		Rules: Rules{
			MaxAttempts: fixed(6), DrainGrace: ms(1000, 1000), FallMultiple: fixed(2), Fall: ms(2000, 2000), ColdFrom: fixed(0.19),
			WarmWithin: ms(10000, 10000), DialTimeout: ms(1500, 1500), ConnIdle: ms(5000, 5000), MaxWait: ms(2000, 2000),
		},
		Expect: Expect{Lateness: ms(20, 20)},
	}
}

func partnerDefaults() Partner {
	return Partner{
		Count: fixed(1), Traffic: fixed(1), Endpoints: Number{1, 3}, Batch: fixed(1), Pace: Span{120 * time.Millisecond, 210 * time.Millisecond},
		Spread: fixed(0.7), Spare: Number{1.2, 1.5}, Queue: fixedSpan(600 * time.Millisecond), Limit: "rate", Headroom: Number{1.1, 2.1},
		LeastRate: fixed(2), LimitSpan: fixedSpan(2 * time.Second), TellsWait: fixed(0.5), Wait: Span{250 * time.Millisecond, 940 * time.Millisecond},
	}
}

// Parse reads and checks an experiment. Its errors are of type *Error, all of them joined.
func Parse(text []byte) (File, error) {
	f := defaults()
	if err := tomlfile.Decode(text, &f, unknown); err != nil {
		return f, err
	}
	where := tomlfile.Lines(text)
	for i := range f.Partners { // set the defaults of what a group leaves out
		f.Partners[i] = withDefaults(f.Partners[i], func(name string) bool { return where[fmt.Sprintf("partner[%d].%s", i, name)] > 0 })
	}
	return f, f.check(where)
}

// withDefaults returns a partner group with the defaults for what the file does not set.
func withDefaults(given Partner, named func(name string) bool) Partner {
	p := partnerDefaults()
	from, to := reflect.ValueOf(given), reflect.ValueOf(&p).Elem()
	for i := range from.NumField() {
		if named(from.Type().Field(i).Tag.Get("toml")) {
			to.Field(i).Set(from.Field(i))
		}
	}
	return p
}
