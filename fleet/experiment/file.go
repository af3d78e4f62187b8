// Package experiment is the format of experiments: a fleet, a load, a timeline of faults, and what is expected of them.
// Parse reads and checks one, Draw makes a plan of it: with one seed it is always the same one. The package touches no
// files and no clock; the lab plays its plans on sockets, the model of the fleet on virtual time.
package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"starlingusher/fleet/partner"
)

// File is an experiment as it is written. A value left out has the default that Parse gives it.
type File struct {
	Name   string `toml:"name"`
	About  string `toml:"about"`
	Length Span   `toml:"length"` // in which messages come
	Settle Span   `toml:"settle"` // after it, for their ends; by default the longest deadline and a second

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

// Fleet is the nodes.
type Fleet struct {
	Nodes     Number   `toml:"nodes"`
	Zones     []string `toml:"zones"`
	Uneven    Number   `toml:"uneven"`     // exponent of the nodes' traffic by rank; 0: all alike
	SlotsRoom Number   `toml:"slots_room"` // slots over what a node's part of the load keeps busy
	LeastSlot Number   `toml:"least_slots"`
	Hold      Span     `toml:"hold"` // messages held: so long a part of the load
	LeastOpen Number   `toml:"least_open"`
	Cores     Number   `toml:"cores"`
	MemoryMB  Number   `toml:"memory_mb"`
	Sockets   Number   `toml:"sockets"`
	DiskMB    Number   `toml:"disk_mb"`
}

// Load is what clients do.
type Load struct {
	Rate      Number `toml:"rate"`       // messages a second, of all nodes together
	Clumps    Number `toml:"clumps"`     // share of the messages that come in clumps for one partner
	ClumpSize Span   `toml:"clump_size"` // a clump: what the partner takes in so long
	ClumpOver Span   `toml:"clump_over"` // and the time over which it comes
	Retries   Number `toml:"retries"`    // hand-ins after a refusal
	Backoff   Span   `toml:"backoff"`    // before each of them, unless the node says when
	Honour    Number `toml:"honour"`     // share of clients that heed what the node says
	Again     Span   `toml:"again"`      // before what a lost node held comes to another one
	Patience  Span   `toml:"patience"`   // for an answer
	Rude      Number `toml:"rude"`       // rude peers a second
	Body      Number `toml:"body"`       // bytes of a message
}

// Network is the way between nodes and partners.
type Network struct {
	Same   Span   `toml:"same"`   // one way, inside a zone
	Cross  Span   `toml:"cross"`  // between zones
	Jitter Number `toml:"jitter"` // spread of each piece's delay, as a share of it
}

// Discovery is how late the platform tells of changes.
type Discovery struct {
	Delay Span `toml:"delay"`
}

// Rules are the figures of the rules that the settings tell the nodes.
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

// Class is a class of message.
type Class struct {
	Name      string   `toml:"name"`
	Share     Number   `toml:"share"`
	Aim       Span     `toml:"aim"`
	Deadline  Span     `toml:"deadline"`
	Worth     Number   `toml:"worth"`
	LateWorth Number   `toml:"late_worth"`
	Effect    string   `toml:"effect"` // "safe", "keyed" or "unsafe"
	Window    Span     `toml:"window"`
	Kinds     []string `toml:"kinds"` // of partners that it goes to; none: all
}

// Member is one of those whose clients hand messages in.
type Member struct {
	Name      string `toml:"name"`
	Share     Number `toml:"share"`
	Allowance Number `toml:"allowance"` // messages a second; 0: its share of the load's rate
}

// Partner is a group of partners that are drawn alike.
type Partner struct {
	Kind      string `toml:"kind"`
	Count     Number `toml:"count"`
	Traffic   Number `toml:"traffic"` // of the group, as a weight against the other groups
	Uneven    Number `toml:"uneven"`  // exponent of the partners' traffic by rank
	Endpoints Number `toml:"endpoints"`
	Batch     Number `toml:"batch"`

	Pace     Span   `toml:"pace"`
	Spread   Number `toml:"spread"`
	ItemCost Number `toml:"item_cost"`
	Spare    Number `toml:"spare"`       // capacity over the limit
	Queue    Span   `toml:"queue"`       // a full queue, as time at its capacity
	Conns    Number `toml:"connections"` // over what is served at once, as a multiple; 0: any number

	Limit         string `toml:"limit"`    // "rate", "count" or "none"
	Headroom      Number `toml:"headroom"` // limit over the traffic
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

// Fault is one trouble of the timeline.
type Fault struct {
	Kind string `toml:"kind"`
	At   Span   `toml:"at"`
	For  Span   `toml:"for"`
	Size Number `toml:"size"` // what it means depends on the kind; see the page on experiments
	Step Span   `toml:"step"` // between one of its targets and the next

	Partners []int   `toml:"partners"` // numbers
	Part     *Number `toml:"part"`     // or partners with such a share of the traffic, at least one
	Nodes    []int   `toml:"nodes"`
	Share    *Number `toml:"share"` // or such a share of the nodes, at least one
	Zone     string  `toml:"zone"`  // or all nodes of a zone

	Way  string `toml:"way"`  // of cuts: "both", "out" (from the nodes) or "back"
	Then string `toml:"then"` // of cuts: what becomes of open connections, "reset" or "resume"
	Lose bool   `toml:"lose"` // of restarts: the lasting folder too
}

// Expect is what the run is held to, beside its rules.
type Expect struct {
	Broken    []string          `toml:"broken"`    // rules that have to be broken; none: all have to be kept
	Served    Number            `toml:"served"`    // share of the worth, at least
	Class     map[string]Number `toml:"class"`     // the same of a class
	Worst     Number            `toml:"worst"`     // the same of the worst five seconds
	AboveMost *Number           `toml:"above"`     // calls refused above a limit, a message, at most
	Lateness  Span              `toml:"lateness"`  // of the lab itself, 99th percentile, at most
	Delivered Number            `toml:"delivered"` // messages, at least
}

// What a fault is aimed at.
type target uint8

const (
	atPartners target = 1 << iota
	atNodes
)

// FaultKinds names the kinds of faults, and tells of each what it does.
var FaultKinds = map[string]string{
	"slow":        "partners serve size times slower",
	"lossy":       "partners lose the share size of their answers, after the messages ran",
	"failing":     "partners answer the share size with an error",
	"shut":        "partners turn everything away",
	"silent":      "partners take calls and answer none; the share size of the messages runs",
	"down":        "partners' connections are reset and new ones refused",
	"limit":       "partners' limits are the share size of what they were",
	"replace":     "partners' endpoints drain, one each step, go after size seconds, and new ones come",
	"late-list":   "what discovery tells the nodes comes size seconds later still",
	"silent-list": "discovery tells the nodes nothing",
	"move":        "the nodes are told by SIGHUP to go to another address of discovery",
	"burst":       "size times the traffic",
	"kill":        "nodes are killed, and start again at the fault's end",
	"restart":     "nodes get SIGTERM, are killed 3.7 s later if need be, and start again",
	"stop":        "nodes are stopped (SIGSTOP) until the fault's end",
	"cut":         "nothing passes between nodes and partners",
	"delay":       "what passes between nodes and partners takes size milliseconds longer each way",
	"loss":        "the share size of what passes between nodes and partners is lost and sent again 200 ms later",
	"reset":       "the connections between nodes and partners are reset once",
	"swallow":     "calls reach the partners, and the share size of the answers is swallowed until the fault's end, then reset",
	"rate":        "at most size kilobytes a second pass on each connection between nodes and partners",
	"disk-full":   "nodes can write nothing more to their lasting folders",
}

var targets = map[string]target{
	"slow": atPartners, "lossy": atPartners, "failing": atPartners, "shut": atPartners, "silent": atPartners, "down": atPartners,
	"limit": atPartners, "replace": atPartners, "late-list": atNodes, "silent-list": atNodes, "move": atNodes, "burst": 0,
	"kill": atNodes, "restart": atNodes, "stop": atNodes, "cut": atNodes | atPartners, "delay": atNodes | atPartners,
	"loss": atNodes | atPartners, "reset": atNodes | atPartners, "swallow": atNodes | atPartners, "rate": atNodes | atPartners,
	"disk-full": atNodes,
}

// Error is what is wrong with an experiment, and where.
type Error struct {
	Line int // 0: not known
	Text string
}

func (e *Error) Error() string {
	if e.Line == 0 {
		return e.Text
	}
	return fmt.Sprintf("line %d: %s", e.Line, e.Text)
}

// defaults are the brief's figures, or harmless ones.
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

// Parse reads and checks an experiment. Its errors are of type *Error, all that were found, joined.
func Parse(text []byte) (File, error) {
	f := defaults()
	dec := toml.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return f, decodeError(err)
	}
	where := lines(text)
	for i := range f.Partners { // what the group leaves out has the defaults
		d := partnerDefaults()
		mergePartner(&d, f.Partners[i], where, i)
		f.Partners[i] = d
	}
	return f, f.check(where)
}

func decodeError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var all []error
		for _, e := range strict.Errors {
			row, _ := e.Position()
			all = append(all, &Error{row, fmt.Sprintf("the name %q is not known here; see `cottonrack lab kinds` and the page on experiments",
				strings.Join(e.Key(), "."))})
		}
		return errors.Join(all...)
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		return &Error{row, strings.TrimPrefix(decode.Error(), "toml: ")}
	}
	return &Error{0, err.Error()}
}

// mergePartner takes over what the file gives, and leaves the defaults elsewhere.
func mergePartner(d *Partner, given Partner, where map[string]int, i int) {
	has := func(name string) bool { return where[fmt.Sprintf("partner[%d].%s", i, name)] > 0 }
	set := func(name string, to *Number, v Number) {
		if has(name) {
			*to = v
		}
	}
	span := func(name string, to *Span, v Span) {
		if has(name) {
			*to = v
		}
	}
	d.Kind, d.CountsRefused = given.Kind, given.CountsRefused
	if has("limit") {
		d.Limit = given.Limit
	}
	set("count", &d.Count, given.Count)
	set("traffic", &d.Traffic, given.Traffic)
	set("uneven", &d.Uneven, given.Uneven)
	set("endpoints", &d.Endpoints, given.Endpoints)
	set("batch", &d.Batch, given.Batch)
	set("spread", &d.Spread, given.Spread)
	set("item_cost", &d.ItemCost, given.ItemCost)
	set("spare", &d.Spare, given.Spare)
	set("connections", &d.Conns, given.Conns)
	set("headroom", &d.Headroom, given.Headroom)
	set("least_rate", &d.LeastRate, given.LeastRate)
	set("tells_wait", &d.TellsWait, given.TellsWait)
	set("faults", &d.Faults, given.Faults)
	set("defers", &d.Defers, given.Defers)
	set("lost", &d.Lost, given.Lost)
	set("spoilt", &d.Spoilt, given.Spoilt)
	span("pace", &d.Pace, given.Pace)
	span("queue", &d.Queue, given.Queue)
	span("limit_span", &d.LimitSpan, given.LimitSpan)
	span("wait", &d.Wait, given.Wait)
}

// lines finds the line of each key, by names like "fault[1].kind"; a table has the line of its head.
func lines(text []byte) map[string]int {
	where := map[string]int{}
	count := map[string]int{}
	at := func(n *unstable.Node, p *unstable.Parser) (string, int) {
		var parts []string
		line := 0
		for it := n.Key(); it.Next(); {
			k := it.Node()
			parts = append(parts, string(k.Data))
			if line == 0 {
				line = p.Shape(k.Raw).Start.Line
			}
		}
		return strings.Join(parts, "."), line
	}
	var p unstable.Parser
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		name, line := at(e, &p)
		switch e.Kind {
		case unstable.Table:
			table = name
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", name, count[name])
			count[name]++
		case unstable.KeyValue:
			if table != "" {
				name = table + "." + name
			}
			where[name] = line
			continue
		}
		where[table] = line
	}
	return where
}

// check looks at what the form alone does not tell.
func (f *File) check(where map[string]int) error {
	var found []error
	bad := func(key, text string, args ...any) {
		line := where[key]
		for line == 0 && strings.Contains(key, ".") { // the table that it is missing from
			key = key[:strings.LastIndex(key, ".")]
			line = where[key]
		}
		found = append(found, &Error{line, fmt.Sprintf(text, args...)})
	}
	number := func(key string, n Number, low, high float64) {
		if !n.within(low, high) {
			bad(key, "%s is from %v to %v", key[strings.LastIndex(key, ".")+1:], low, high)
		}
	}
	if f.Name == "" {
		bad("name", "the experiment has no name: give it one")
	}
	if f.Length.Low < time.Second || f.Length.High > time.Hour {
		bad("length", "length is from 1s to 1h")
	}
	number("fleet.nodes", f.Fleet.Nodes, 1, 5000)
	number("fleet.uneven", f.Fleet.Uneven, 0, 3)
	number("fleet.slots_room", f.Fleet.SlotsRoom, 0.1, 100)
	number("fleet.least_slots", f.Fleet.LeastSlot, 1, 10000)
	number("fleet.least_open", f.Fleet.LeastOpen, 1, 1e6)
	number("fleet.cores", f.Fleet.Cores, 0.05, 64)
	number("fleet.memory_mb", f.Fleet.MemoryMB, 16, 1<<20)
	number("fleet.sockets", f.Fleet.Sockets, 64, 1<<20)
	number("fleet.disk_mb", f.Fleet.DiskMB, 0.1, 1<<20)
	number("load.rate", f.Load.Rate, 0.01, 1e6)
	number("load.clumps", f.Load.Clumps, 0, 0.9)
	number("load.retries", f.Load.Retries, 0, 20)
	number("load.honour", f.Load.Honour, 0, 1)
	number("load.rude", f.Load.Rude, 0, 100)
	number("load.body", f.Load.Body, 0, 60000)
	number("network.jitter", f.Network.Jitter, 0, 1)
	number("rules.max_attempts", f.Rules.MaxAttempts, 1, 100)
	number("rules.fall_multiple", f.Rules.FallMultiple, 1, 100)
	number("rules.cold_from", f.Rules.ColdFrom, 0.01, 1)
	if len(f.Fleet.Zones) == 0 {
		bad("fleet.zones", "a fleet has a zone at least")
	}
	kinds := map[string]bool{}
	if len(f.Partners) == 0 {
		bad("partner", "no [[partner]] is given: messages have nowhere to go")
	}
	for i, p := range f.Partners {
		key := func(name string) string { return fmt.Sprintf("partner[%d].%s", i, name) }
		kinds[p.Kind] = true
		if p.Kind == "" {
			bad(key("kind"), "the partner has no kind: give it a name")
		}
		number(key("count"), p.Count, 1, 10000)
		number(key("traffic"), p.Traffic, 0, 1e6)
		number(key("uneven"), p.Uneven, 0, 3)
		number(key("endpoints"), p.Endpoints, 1, 64)
		number(key("batch"), p.Batch, 1, 100)
		number(key("spread"), p.Spread, 0, 10)
		number(key("item_cost"), p.ItemCost, 0, 1)
		number(key("spare"), p.Spare, 0.1, 100)
		number(key("connections"), p.Conns, 0, 1000)
		number(key("headroom"), p.Headroom, 0.01, 1000)
		number(key("least_rate"), p.LeastRate, 0, 1e6)
		for _, share := range []struct {
			name string
			v    Number
		}{{"tells_wait", p.TellsWait}, {"faults", p.Faults}, {"defers", p.Defers}, {"lost", p.Lost}, {"spoilt", p.Spoilt}} {
			number(key(share.name), share.v, 0, 1)
		}
		if p.Pace.Low < time.Millisecond {
			bad(key("pace"), "pace is 1ms at least")
		}
		if !slices.Contains([]string{"rate", "count", "none"}, p.Limit) {
			bad(key("limit"), "limit is \"rate\", \"count\" or \"none\", not %q", p.Limit)
		}
		if p.Limit == "count" && p.LimitSpan.Low < 10*time.Millisecond {
			bad(key("limit_span"), "limit_span is 10ms at least")
		}
	}
	if len(f.Classes) == 0 {
		bad("class", "no [[class]] is given")
	}
	names := map[string]bool{}
	for i, c := range f.Classes {
		key := func(name string) string { return fmt.Sprintf("class[%d].%s", i, name) }
		if c.Name == "" || names[c.Name] {
			bad(key("name"), "the class has no name, or that of another one")
		}
		names[c.Name] = true
		number(key("share"), c.Share, 0, 1e6)
		number(key("worth"), c.Worth, 0, 1e6)
		number(key("late_worth"), c.LateWorth, 0, 1)
		if c.Aim.Low <= 0 || c.Deadline.Low < c.Aim.High {
			bad(key("deadline"), "the class needs an aim over 0s and a deadline that is not before it")
		}
		if !slices.Contains([]string{"safe", "keyed", "unsafe"}, c.Effect) {
			bad(key("effect"), "effect is \"safe\", \"keyed\" or \"unsafe\", not %q", c.Effect)
		}
		if c.Effect == "keyed" && c.Window.Low <= 0 {
			bad(key("window"), "a keyed class needs a window over 0s")
		}
		for _, k := range c.Kinds {
			if !kinds[k] {
				bad(key("kinds"), "no [[partner]] is of kind %q", k)
			}
		}
	}
	if len(f.Members) == 0 {
		f.Members = []Member{{Name: "all", Share: fixed(1)}}
	}
	for i, m := range f.Members {
		if m.Name == "" {
			bad(fmt.Sprintf("member[%d].name", i), "the member has no name")
		}
		number(fmt.Sprintf("member[%d].share", i), m.Share, 0, 1e6)
	}
	for i, x := range f.Faults {
		f.checkFault(x, func(name, text string, args ...any) { bad(fmt.Sprintf("fault[%d].%s", i, name), text, args...) })
	}
	for c := range f.Expect.Class {
		if !names[c] {
			bad("expect.class", "no [[class]] is named %q", c)
		}
	}
	return errors.Join(found...)
}

func (f *File) checkFault(x Fault, bad func(name, text string, args ...any)) {
	aim, known := targets[x.Kind]
	if !known {
		bad("kind", "no fault is of kind %q: `cottonrack lab kinds` lists them", x.Kind)
		return
	}
	if x.At.High > f.Length.Low {
		bad("at", "the fault may begin at %v, after the last message (%v)", x.At.High, f.Length.Low)
	}
	if aim&atPartners == 0 && (x.Partners != nil || x.Part != nil) {
		bad("partners", "a fault of kind %q is not aimed at partners", x.Kind)
	}
	if aim&atNodes == 0 && (x.Nodes != nil || x.Share != nil || x.Zone != "") {
		bad("nodes", "a fault of kind %q is not aimed at nodes", x.Kind)
	}
	if x.Zone != "" && !slices.Contains(f.Fleet.Zones, x.Zone) {
		bad("zone", "the fleet has no zone %q", x.Zone)
	}
	if x.Part != nil && !x.Part.within(0, 1) || x.Share != nil && !x.Share.within(0, 1) {
		bad("part", "part and share are from 0 to 1")
	}
	least := 0
	for _, p := range f.Partners {
		least += int(p.Count.Low + 0.5)
	}
	for _, p := range x.Partners {
		if p < 0 || p >= least {
			bad("partners", "there is no partner %d on every seed: they are numbered from 0, and may be as few as %d", p, least)
		}
	}
	for _, n := range x.Nodes {
		if n < 0 || n >= int(f.Fleet.Nodes.Low+0.5) {
			bad("nodes", "there is no node %d on every seed: they are numbered from 0", n)
		}
	}
	low, high := 0.0, 1e6
	switch x.Kind {
	case "lossy", "failing", "silent", "swallow", "loss", "limit":
		high = 1
	case "slow", "burst":
		low = 1
	case "rate":
		low = 1
	}
	if x.Size != (Number{}) && !x.Size.within(low, high) {
		bad("size", "size is from %v to %v for a fault of kind %q", low, high, x.Kind)
	}
	if x.Size == (Number{}) && slices.Contains([]string{"slow", "burst", "rate", "delay", "late-list", "loss", "limit"}, x.Kind) {
		bad("size", "a fault of kind %q needs a size", x.Kind)
	}
	if !slices.Contains([]string{"", "both", "out", "back"}, x.Way) {
		bad("way", "way is \"both\", \"out\" or \"back\", not %q", x.Way)
	}
	if !slices.Contains([]string{"", "reset", "resume"}, x.Then) {
		bad("then", "then is \"reset\" or \"resume\", not %q", x.Then)
	}
	if _, isTrouble := partner.ParseTrouble(x.Kind); x.For.Low == 0 && !isTrouble && !slices.Contains([]string{"reset", "move", "replace", "restart"}, x.Kind) {
		bad("for", "a fault of kind %q needs to say how long it lasts", x.Kind)
	}
}
