package capacity

// Role is the program or situation that bears a cost.
type Role string

const (
	NodeControl Role = "delivery node: control"
	NodeOwn     Role = "delivery node: own work"
	Directory   Role = "directory replica"
	Follower    Role = "regional follower"
	Operators   Role = "operators' program"
	Failure     Role = "times of failure"
)

// Kind is the kind of a cost.
type Kind string

const (
	State     Kind = "state"
	Messages  Kind = "messages"
	Processor Kind = "processor"
	Memory    Kind = "memory"
	Time      Kind = "time"
)

// Cause is the kind of limit that ends a row.
type Cause string

const (
	ByCap       Cause = "a cap"
	ByMemory    Cause = "memory"
	ByProcessor Cause = "processor"
	ByBytes     Cause = "bytes"
	ByTime      Cause = "time"
)

// Mechanism is a part of the program that carries rows, or would carry them beyond their end.
type Mechanism struct {
	Name  string   `json:"name"`
	Place string   `json:"place"`           // package or file where it is, or would be
	Built bool     `json:"built"`           // and in use
	Needs []string `json:"needs,omitempty"` // names of the mechanisms that must be built first
}

const (
	ownership     = "ownership of destinations"
	passing       = "events passed to owners"
	limits        = "limits parted among owners"
	probing       = "owners probe what is down"
	backlog       = "backlog on disk"
	configuration = "configuration carried to all nodes"
	followers     = "regional followers"
	membership    = "members' views carried"
)

// mechanisms holds those that the target needs.
var mechanisms = []Mechanism{
	{Name: ownership, Place: "fleet/ownership", Built: true},
	{Name: passing, Place: "internal/node", Needs: []string{ownership}},
	{Name: limits, Place: "fleet/shares", Needs: []string{ownership, passing}}, // no fleet runs by ownership while its clients submit to any node
	{Name: probing, Place: "choice", Needs: []string{ownership, passing}},
	{Name: backlog, Place: "internal/node/journal.go"},
	{Name: configuration, Place: "internal/directory"},
	{Name: followers, Place: "internal/directory"},
	{Name: membership, Place: "internal/gossip"},
}

// calculation computes a figure of a target.
type calc func(t Target, s *reading) float64

// limit is a value that a figure must not exceed.
type limit struct {
	ending Cause
	what   string
	value  func(Target) float64
	amount calc // the amount that is compared with value; nil: the row's figure
	budget bool // shown beside the figure
}

// row is a row of the table. Its figure is that of the whole target. It ends where its first limit is
// exceeded when its axis grows and everything else stays as in the target.
type row struct {
	id      string
	role    Role
	kind    Kind
	what    string
	unit    Unit
	axis    Axis
	formula string
	figure  calc // nil: it has none
	guess   string
	limits  []limit
	place   string   // of the code that carries it today; empty: there is none
	waits   []string // mechanisms that would carry it further
	ownCost bool     // the cost of a mechanism that does not exist yet
	owned   *owned
}

// ownedVariant is a row in a fleet where each destination has few owners.
type owned struct {
	formula string
	figure  calc
	limits  []limit
}

func budgetOf(e Cause, what string, value func(Target) float64) limit {
	return limit{ending: e, what: what, value: value, budget: true}
}

// capLimit is a bound in the code as a limit; if amount is nil, the row's figure is compared with it.
func capOf(f Bound, amount calc) limit {
	what := f.Name + " in " + f.Place + ", " + Quantity{f.Value, f.Unit}.String()
	if f.Setting != "" {
		what += ", a setting"
	}
	return limit{ending: ByCap, what: what, value: func(Target) float64 { return f.Value }, amount: amount}
}

var (
	controlMemory = budgetOf(ByMemory, "control's budget", func(t Target) float64 { return t.Control.MemoryMB * mb })
	controlCore   = budgetOf(ByProcessor, "control's budget", func(t Target) float64 { return t.Control.CoreShare })
	controlBytes  = budgetOf(ByBytes, "control's budget", func(t Target) float64 { return t.Control.KBPerS * kb })
	answerTime    = budgetOf(ByTime, "clients wait no longer for an answer", func(t Target) float64 { return t.Own.AnswerS })
	heldMemory    = budgetOf(ByMemory, "the budget of an event held", func(t Target) float64 { return t.HeldNode() * t.Own.HeldMemoryBytes })
	inForce       = budgetOf(ByTime, "in force everywhere by then", func(t Target) float64 { return t.Configuration.InForceS })
	readyTime     = budgetOf(ByTime, "ready by then", func(t Target) float64 { return t.Failures.ReadyS })
	oneLoop       = limit{ending: ByProcessor, what: "loop in internal/node/node.go is one goroutine", value: func(Target) float64 { return boundLoop.Value }, budget: true}
)

// fromSlope is a figure given by one slope.
func one(id string, x func(Target) float64) calc {
	return func(t Target, s *reading) float64 { return s.at(id, x(t)) }
}

// fromTarget is a figure given by the target alone.
func told(x func(Target) float64) calc {
	return func(t Target, _ *reading) float64 { return x(t) }
}

func nodesOf(t Target) float64   { return t.Fleet.Nodes }
func changesOf(t Target) float64 { return t.List.ChangesPerS }

// ownedChanges returns the changes a second that one node receives for the destinations that it owns.
func changesOwned(t Target) float64 { return t.List.ChangesPerS * t.owners() / t.Fleet.Nodes }
func downOwned(t Target) float64    { return t.DestinationsDown() * t.owners() / t.Fleet.Nodes }
func restartsPerS(t Target) float64 { return t.Failures.RestartsPerDay / secondsADay }

const (
	byDestinations = "(destinations)"
	byOwned        = "(destinations × owners / nodes)"
	byHeld         = "(backlog / nodes)"
)

// rows is the table.
var rows = []row{
	// What a node spends on control data.
	{id: "control.state.endpoints", role: NodeControl, kind: State, what: "endpoints that it knows", unit: Count, axis: ByDestinations,
		formula: "destinations × endpoints each", figure: told(Target.Endpoints), limits: []limit{capOf(boundMembers, nil)},
		place: "internal/registry", waits: []string{ownership},
		owned: &owned{"destinations × endpoints each × owners / nodes", told(func(t Target) float64 { return t.Endpoints() * t.owners() / t.Fleet.Nodes }), nil}},
	{id: "control.state.remembered", role: NodeControl, kind: State, what: "endpoints that its journal should remember", unit: Count, axis: ByDestinations,
		formula: "destinations × endpoints each", figure: told(Target.Endpoints), limits: []limit{capOf(boundKnown, nil)},
		place: "internal/node/journal.go", waits: []string{ownership},
		owned: &owned{"destinations × endpoints each × owners / nodes", told(func(t Target) float64 { return t.Endpoints() * t.owners() / t.Fleet.Nodes }),
			[]limit{capOf(boundKnown, nil)}}},
	{id: "control.state.kept", role: NodeControl, kind: State, what: "the kept list", unit: Bytes, axis: ByDestinations,
		formula: "node.list.bytes" + byDestinations, figure: one("node.list.bytes", Target.destinationsMeasured), limits: []limit{capOf(boundKept, nil)},
		guess: "that its file is as long as the list on its way", place: "internal/registry/kept.go", waits: []string{ownership},
		owned: &owned{"owned.list.bytes" + byOwned, one("owned.list.bytes", Target.destinationsOwned), []limit{capOf(boundKept, nil)}}},
	{id: "control.state.members", role: NodeControl, kind: State, what: "members whose views it compares", unit: Count, axis: ByNodes,
		formula: "nodes", figure: told(nodesOf), waits: []string{membership}},
	{id: "control.state.configuration", role: NodeControl, kind: State, what: "changes of its configuration a day, each in force everywhere within the target's seconds", unit: Count, axis: ByChanges,
		formula: "changes of the configuration a day", figure: told(func(t Target) float64 { return t.Configuration.ChangesPerDay }), waits: []string{configuration}},
	{id: "control.state.limits", role: NodeControl, kind: State, what: "calls a second that are a node's part of a small destination's limit", unit: CountPerS, axis: ByNodes,
		formula: "calls a second / nodes", figure: told(func(t Target) float64 { return t.Destinations.CallsPerS / t.Fleet.Nodes }), waits: []string{limits},
		owned: &owned{"calls a second / owners", told(func(t Target) float64 { return t.Destinations.CallsPerS / t.owners() }), nil}},
	{id: "control.messages.list", role: NodeControl, kind: Messages, what: "a first list, whole", unit: Bytes, axis: ByDestinations,
		formula: "node.list.bytes" + byDestinations, figure: one("node.list.bytes", Target.destinationsMeasured), limits: []limit{capOf(boundList, nil)},
		place: "internal/registry", waits: []string{ownership},
		owned: &owned{"owned.list.bytes" + byOwned, one("owned.list.bytes", Target.destinationsOwned), []limit{capOf(boundList, nil)}}},
	{id: "control.messages.idle", role: NodeControl, kind: Messages, what: "a watch on which nothing happens", unit: BytesPerS, axis: ByNodes,
		formula: "node.watch.bytes(nodes)", figure: one("node.watch.bytes", nodesOf), limits: []limit{controlBytes}, place: "internal/registry"},
	{id: "control.messages.all", role: NodeControl, kind: Messages, what: "all of it on a mean day: watch, changes, first lists", unit: BytesPerS, axis: ByDestinations,
		formula: "node.watch.bytes(nodes) + rise of node.change.bytes(changes a second) + restarts a second / nodes × node.list.bytes" + byDestinations,
		figure: func(t Target, s *reading) float64 {
			return s.at("node.watch.bytes", t.Fleet.Nodes) + s.rise("node.change.bytes", changesOf(t)) +
				restartsPerS(t)/t.Fleet.Nodes*s.at("node.list.bytes", t.destinationsMeasured())
		}, limits: []limit{controlBytes}, place: "internal/registry", waits: []string{ownership},
		owned: &owned{"node.watch.bytes(nodes) + changes a second × owners / nodes × owned.change.bytes" + byOwned + " + restarts a second / nodes × owned.list.bytes" + byOwned,
			func(t Target, s *reading) float64 {
				return s.at("node.watch.bytes", t.Fleet.Nodes) + changesOwned(t)*s.at("owned.change.bytes", t.destinationsOwned()) +
					restartsPerS(t)/t.Fleet.Nodes*s.at("owned.list.bytes", t.destinationsOwned())
			}, []limit{controlBytes}}},
	{id: "control.messages.changes", role: NodeControl, kind: Messages, what: "changes of the list", unit: BytesPerS, axis: ByChanges,
		formula: "rise of node.change.bytes(changes a second)",
		figure:  func(t Target, s *reading) float64 { return s.rise("node.change.bytes", changesOf(t)) }, limits: []limit{controlBytes},
		place: "internal/registry", waits: []string{ownership},
		owned: &owned{"changes a second × owners / nodes × owned.change.bytes" + byOwned, func(t Target, s *reading) float64 {
			return changesOwned(t) * s.at("owned.change.bytes", t.destinationsOwned())
		}, []limit{controlBytes}}},
	{id: "control.processor.idle", role: NodeControl, kind: Processor, what: "a node with nothing to do", unit: Cores, axis: ByNodes,
		formula: "node.idle.cpu(nodes)", figure: one("node.idle.cpu", nodesOf), limits: []limit{controlCore}, place: "internal/node"},
	{id: "control.processor.changes", role: NodeControl, kind: Processor, what: "changes of the list", unit: Cores, axis: ByDestinations,
		formula: "changes a second × node.change.step" + byDestinations,
		figure: func(t Target, s *reading) float64 {
			return changesOf(t) * s.at("node.change.step", t.destinationsMeasured())
		}, limits: []limit{controlCore}, place: "choice", waits: []string{ownership},
		owned: &owned{"changes a second × owners / nodes × owned.change.step" + byOwned, func(t Target, s *reading) float64 {
			return changesOwned(t) * s.at("owned.change.step", t.destinationsOwned())
		}, []limit{controlCore}}},
	{id: "control.processor.rate", role: NodeControl, kind: Processor, what: "changes of the list, by their rate, on the list that the run had", unit: Cores, axis: ByChanges,
		formula: "rise of node.change.cpu(changes a second)",
		figure:  func(t Target, s *reading) float64 { return s.rise("node.change.cpu", changesOf(t)) }, limits: []limit{controlCore}, place: "internal/node"},
	{id: "control.processor.down", role: NodeControl, kind: Processor, what: "destinations that are down", unit: Cores, axis: ByDestinations,
		formula: "rise of node.down.cpu(destinations down)",
		figure:  func(t Target, s *reading) float64 { return s.rise("node.down.cpu", t.DestinationsDown()) }, limits: []limit{controlCore},
		place: "choice", waits: []string{probing},
		owned: &owned{"rise of node.down.cpu(destinations down × owners / nodes)",
			func(t Target, s *reading) float64 { return s.rise("node.down.cpu", downOwned(t)) }, []limit{controlCore}}},
	{id: "control.processor.all", role: NodeControl, kind: Processor, what: "all of it on a mean day", unit: Cores, axis: ByDestinations,
		formula: "node.idle.cpu(nodes) + changes a second × node.change.step" + byDestinations + " + rise of node.down.cpu(destinations down)",
		figure: func(t Target, s *reading) float64 {
			return s.at("node.idle.cpu", t.Fleet.Nodes) + changesOf(t)*s.at("node.change.step", t.destinationsMeasured()) + s.rise("node.down.cpu", t.DestinationsDown())
		}, limits: []limit{controlCore}, place: "choice", waits: []string{ownership, probing},
		owned: &owned{"node.idle.cpu(nodes) + changes a second × owners / nodes × owned.change.step" + byOwned + " + rise of node.down.cpu(destinations down × owners / nodes)",
			func(t Target, s *reading) float64 {
				return s.at("node.idle.cpu", t.Fleet.Nodes) + changesOwned(t)*s.at("owned.change.step", t.destinationsOwned()) + s.rise("node.down.cpu", downOwned(t))
			}, []limit{controlCore}}},
	{id: "control.memory.heap", role: NodeControl, kind: Memory, what: "heap, by destinations", unit: Bytes, axis: ByDestinations,
		formula: "node.destinations.heap" + byDestinations, figure: one("node.destinations.heap", Target.destinationsMeasured), limits: []limit{controlMemory},
		place: "choice", waits: []string{ownership},
		owned: &owned{"owned.destinations.heap" + byOwned, one("owned.destinations.heap", Target.destinationsOwned), []limit{controlMemory}}},
	{id: "control.memory.resident", role: NodeControl, kind: Memory, what: "resident, by destinations", unit: Bytes, axis: ByDestinations,
		formula: "node.destinations.rss" + byDestinations, figure: one("node.destinations.rss", Target.destinationsMeasured), limits: []limit{controlMemory},
		place: "choice", waits: []string{ownership}},
	{id: "control.memory.nodes", role: NodeControl, kind: Memory, what: "heap, by nodes of the fleet", unit: Bytes, axis: ByNodes,
		formula: "node.idle.heap(nodes)", figure: one("node.idle.heap", nodesOf), limits: []limit{controlMemory}, place: "internal/node"},
	{id: "control.memory.down", role: NodeControl, kind: Memory, what: "heap, by destinations that are down", unit: Bytes, axis: ByDestinations,
		formula: "rise of node.down.heap(destinations down)",
		figure:  func(t Target, s *reading) float64 { return s.rise("node.down.heap", t.DestinationsDown()) }, limits: []limit{controlMemory},
		place: "choice", waits: []string{probing},
		owned: &owned{"rise of node.down.heap(destinations down × owners / nodes)",
			func(t Target, s *reading) float64 { return s.rise("node.down.heap", downOwned(t)) }, []limit{controlMemory}}},
	{id: "control.memory.all", role: NodeControl, kind: Memory, what: "heap, all of it", unit: Bytes, axis: ByDestinations,
		formula: "node.destinations.heap" + byDestinations + " + rise of node.idle.heap(nodes)",
		figure: func(t Target, s *reading) float64 {
			return s.at("node.destinations.heap", t.destinationsMeasured()) + s.rise("node.idle.heap", t.Fleet.Nodes)
		}, limits: []limit{controlMemory}, place: "choice", waits: []string{ownership},
		owned: &owned{"owned.destinations.heap" + byOwned + " + rise of node.idle.heap(nodes)",
			func(t Target, s *reading) float64 {
				return s.at("owned.destinations.heap", t.destinationsOwned()) + s.rise("node.idle.heap", t.Fleet.Nodes)
			}, []limit{controlMemory}}},
	{id: "control.time.list", role: NodeControl, kind: Time, what: "its loop stands still for a whole list", unit: Seconds, axis: ByDestinations,
		formula: "node.list.step" + byDestinations, figure: one("node.list.step", Target.destinationsMeasured), limits: []limit{answerTime},
		place: "choice", waits: []string{ownership},
		owned: &owned{"owned.list.step" + byOwned, one("owned.list.step", Target.destinationsOwned), []limit{answerTime}}},
	{id: "control.time.change", role: NodeControl, kind: Time, what: "its loop stands still for one change", unit: Seconds, axis: ByDestinations,
		formula: "node.change.step" + byDestinations, figure: one("node.change.step", Target.destinationsMeasured), limits: []limit{answerTime},
		place: "choice", waits: []string{ownership},
		owned: &owned{"owned.change.step" + byOwned, one("owned.change.step", Target.destinationsOwned), []limit{answerTime}}},

	// What a node spends on events.
	{id: "own.state.room", role: NodeOwn, kind: State, what: "room that the journal wants for the backlog", unit: Bytes, axis: ByBacklog,
		formula: "2 × backlog / nodes × (body + id and key + " + boundReserve.Name + ")",
		figure: func(t Target, _ *reading) float64 {
			return 2 * t.HeldNode() * (t.Events.BodyBytes + t.Events.NameBytes + boundReserve.Value)
		}, limits: []limit{capOf(boundDisk, nil)}, place: "internal/node/journal.go", waits: []string{backlog}},
	{id: "own.state.file", role: NodeOwn, kind: State, what: "file of the journal with the backlog in it", unit: Bytes, axis: ByBacklog,
		formula: "journal.held.file" + byHeld, figure: one("journal.held.file", Target.HeldNode), place: "internal/node/journal.go", waits: []string{backlog}},
	{id: "own.state.paged", role: NodeOwn, kind: State, what: "events that wait on disk and not in memory", unit: Count, axis: ByBacklog,
		formula: "backlog / nodes", figure: told(Target.HeldNode), waits: []string{backlog}},
	{id: "own.messages.passed", role: NodeOwn, kind: Messages, what: "events passed on to an owner", unit: CountPerS, axis: ByEvents,
		formula: "events a second / nodes × (1 - owners / nodes)",
		figure:  told(func(t Target) float64 { return t.EventsPerSNode() * (1 - t.owners()/t.Fleet.Nodes) }), guess: "that clients hand an event to any node",
		waits: []string{passing}},
	{id: "own.processor.events", role: NodeOwn, kind: Processor, what: "events taken with the whole backlog held", unit: Cores, axis: ByBacklog,
		formula: "events a second / nodes × module.held.step" + byHeld,
		figure:  func(t Target, s *reading) float64 { return t.EventsPerSNode() * s.at("module.held.step", t.HeldNode()) }, limits: []limit{oneLoop},
		place: "choice", waits: []string{backlog}},
	{id: "own.processor.destinations", role: NodeOwn, kind: Processor, what: "events taken while all destinations are known: a step each in which else nothing is new", unit: Cores, axis: ByDestinations,
		formula: "events a second / nodes × node.empty.step" + byDestinations,
		figure: func(t Target, s *reading) float64 {
			return t.EventsPerSNode() * s.at("node.empty.step", t.destinationsMeasured())
		}, limits: []limit{oneLoop},
		place: "internal/node", waits: []string{ownership},
		owned: &owned{"events a second / nodes × owned.empty.step" + byOwned,
			func(t Target, s *reading) float64 {
				return t.EventsPerSNode() * s.at("owned.empty.step", t.destinationsOwned())
			}, []limit{oneLoop}}},
	{id: "own.processor.down", role: NodeOwn, kind: Processor, what: "events taken while destinations are down", unit: Cores, axis: ByDestinations,
		formula: "events a second / nodes × node.down.step(destinations down)",
		figure: func(t Target, s *reading) float64 {
			return t.EventsPerSNode() * s.at("node.down.step", t.DestinationsDown())
		}, limits: []limit{oneLoop},
		place: "choice", waits: []string{probing},
		owned: &owned{"events a second / nodes × node.down.step(destinations down × owners / nodes)",
			func(t Target, s *reading) float64 { return t.EventsPerSNode() * s.at("node.down.step", downOwned(t)) }, []limit{oneLoop}}},
	{id: "own.memory.module", role: NodeOwn, kind: Memory, what: "heap of the module with the backlog held", unit: Bytes, axis: ByBacklog,
		formula: "module.held.heap" + byHeld, figure: one("module.held.heap", Target.HeldNode), limits: []limit{heldMemory}, place: "choice", waits: []string{backlog}},
	{id: "own.memory.node", role: NodeOwn, kind: Memory, what: "memory of the node with the backlog held, module included", unit: Bytes, axis: ByBacklog,
		formula: "journal.held.rss" + byHeld, figure: one("journal.held.rss", Target.HeldNode), limits: []limit{heldMemory},
		place: "internal/node/journal.go", waits: []string{backlog}},
	{id: "own.time.event", role: NodeOwn, kind: Time, what: "its loop stands still for one event with the backlog held", unit: Seconds, axis: ByBacklog,
		formula: "module.held.step" + byHeld, figure: one("module.held.step", Target.HeldNode), limits: []limit{answerTime}, place: "choice", waits: []string{backlog}},
	{id: "own.time.stall", role: NodeOwn, kind: Time, what: "an event's longest wait for its answer, while the journal is written anew", unit: Seconds, axis: ByBacklog,
		formula: "journal.stall" + byHeld, figure: one("journal.stall", Target.HeldNode), limits: []limit{answerTime},
		place: "internal/node/journal.go", waits: []string{backlog}},

	// A replica of the directory.
	{id: "directory.state.endpoints", role: Directory, kind: State, what: "endpoints of the list", unit: Count, axis: ByDestinations,
		formula: "destinations × endpoints each", figure: told(Target.Endpoints), limits: []limit{capOf(boundMembers, nil)},
		place: "fleet/catalog", waits: []string{ownership}},
	{id: "directory.messages.write", role: Directory, kind: Messages, what: "a whole list written at once", unit: Bytes, axis: ByDestinations,
		formula: "node.list.bytes" + byDestinations, figure: one("node.list.bytes", Target.destinationsMeasured), limits: []limit{capOf(boundWrite, nil)},
		place: "internal/directory"},
	{id: "directory.messages.watches", role: Directory, kind: Messages, what: "watches of one replica, all nodes at one of them", unit: Count, axis: ByNodes,
		formula: "nodes", figure: told(nodesOf), limits: []limit{capOf(boundWatches, nil)}, place: "internal/directory"},
	{id: "directory.messages.idle", role: Directory, kind: Messages, what: "all watches on which nothing happens", unit: BytesPerS, axis: ByNodes,
		formula: "nodes × node.watch.bytes(nodes)", figure: func(t Target, s *reading) float64 { return t.Fleet.Nodes * s.at("node.watch.bytes", t.Fleet.Nodes) },
		place: "internal/directory"},
	{id: "directory.processor.idle", role: Directory, kind: Processor, what: "watches on which nothing happens", unit: Cores, axis: ByNodes,
		formula: "directory.nodes.cpu(nodes)", figure: one("directory.nodes.cpu", nodesOf), place: "internal/directory"},
	{id: "directory.processor.changes", role: Directory, kind: Processor, what: "changes of the list", unit: Cores, axis: ByChanges,
		formula: "directory.change.cpu(changes a second)", figure: one("directory.change.cpu", changesOf), place: "internal/directory"},
	{id: "directory.memory.endpoints", role: Directory, kind: Memory, what: "resident, by destinations", unit: Bytes, axis: ByDestinations,
		formula: "directory.destinations.rss" + byDestinations, figure: one("directory.destinations.rss", Target.destinationsMeasured),
		place: "fleet/catalog", waits: []string{ownership},
		owned: &owned{"directory.owned.rss" + byDestinations, one("directory.owned.rss", Target.destinationsMeasured), nil}},
	{id: "directory.memory.nodes", role: Directory, kind: Memory, what: "resident, by nodes that watch", unit: Bytes, axis: ByNodes,
		formula: "directory.nodes.rss(nodes)", figure: one("directory.nodes.rss", nodesOf), place: "internal/directory"},
	{id: "directory.time.change", role: Directory, kind: Time, what: "until the last node knows of a change", unit: Seconds, axis: ByNodes,
		formula: "directory.change.last(nodes)", figure: one("directory.change.last", nodesOf), limits: []limit{inForce}, place: "internal/directory"},

	// A follower in each region; it does not exist yet.
	{id: "follower.state.endpoints", role: Follower, kind: State, what: "endpoints that it passes on", unit: Count, axis: ByDestinations,
		formula: "destinations × endpoints each", figure: told(Target.Endpoints), waits: []string{followers}, ownCost: true},
	{id: "follower.messages.link", role: Follower, kind: Messages, what: "watches of a region's nodes over its link, without one", unit: BytesPerS, axis: ByNodes,
		formula: "nodes / regions × node.watch.bytes(nodes)",
		figure:  func(t Target, s *reading) float64 { return t.NodesRegion() * s.at("node.watch.bytes", t.Fleet.Nodes) }, waits: []string{followers}},
	{id: "follower.processor", role: Follower, kind: Processor, what: "watches of a region's nodes", unit: Cores, axis: ByNodes,
		formula: "directory.follow.cpu(nodes / regions)", figure: one("directory.follow.cpu", Target.NodesRegion), waits: []string{followers}, ownCost: true},
	{id: "follower.memory", role: Follower, kind: Memory, what: "resident, by destinations", unit: Bytes, axis: ByDestinations,
		formula: "directory.follow.rss" + byDestinations, figure: one("directory.follow.rss", Target.destinationsMeasured), waits: []string{followers}, ownCost: true},
	{id: "follower.time", role: Follower, kind: Time, what: "until its last node knows of a change", unit: Seconds, axis: ByNodes,
		formula: "directory.follow.last(nodes / regions)", figure: one("directory.follow.last", Target.NodesRegion), limits: []limit{inForce}, waits: []string{followers}, ownCost: true},

	// The operators' program.
	{id: "operators.state", role: Operators, kind: State, what: "it keeps nothing between two calls", axis: ByDestinations, formula: "-", place: "cmd/cottonrack"},
	{id: "operators.messages.list", role: Operators, kind: Messages, what: "the list, read whole", unit: Bytes, axis: ByDestinations,
		formula: "node.list.bytes" + byDestinations, figure: one("node.list.bytes", Target.destinationsMeasured), limits: []limit{capOf(boundRead, nil)},
		place: "internal/directory/operator.go"},
	{id: "operators.processor.list", role: Operators, kind: Processor, what: "processor time of one `directory list`", unit: Seconds, axis: ByDestinations,
		formula: "operator.list.cpu" + byDestinations, figure: one("operator.list.cpu", Target.destinationsMeasured), place: "cmd/cottonrack/directory.go"},
	{id: "operators.memory.list", role: Operators, kind: Memory, what: "resident, of one `directory list`", unit: Bytes, axis: ByDestinations,
		formula: "operator.list.rss" + byDestinations, figure: one("operator.list.rss", Target.destinationsMeasured), place: "cmd/cottonrack/directory.go"},
	{id: "operators.time.list", role: Operators, kind: Time, what: "one `directory list`, from start to end", unit: Seconds, axis: ByDestinations,
		formula: "operator.list.time" + byDestinations, figure: one("operator.list.time", Target.destinationsMeasured), place: "cmd/cottonrack/directory.go"},

	// Failures.
	{id: "failure.start.backlog", role: Failure, kind: Time, what: "a node's start with the whole backlog behind it", unit: Seconds, axis: ByBacklog,
		formula: "journal.start" + byHeld, figure: one("journal.start", Target.HeldNode), limits: []limit{readyTime},
		place: "internal/node/journal.go", waits: []string{backlog}},
	{id: "failure.start.memory", role: Failure, kind: Memory, what: "a node's start with the whole backlog behind it: the most memory that it takes", unit: Bytes, axis: ByBacklog,
		formula: "journal.start.rss" + byHeld, figure: one("journal.start.rss", Target.HeldNode), limits: []limit{heldMemory},
		place: "internal/node/journal.go", waits: []string{backlog}},
	{id: "failure.start.list", role: Failure, kind: Time, what: "a node's first list at the bytes a second that it may spend", unit: Seconds, axis: ByDestinations,
		formula: "node.list.bytes" + byDestinations + " / bytes a second",
		figure: func(t Target, s *reading) float64 {
			return s.at("node.list.bytes", t.destinationsMeasured()) / (t.Control.KBPerS * kb)
		},
		place: "internal/registry", waits: []string{ownership},
		owned: &owned{"owned.list.bytes" + byOwned + " / bytes a second",
			func(t Target, s *reading) float64 {
				return s.at("owned.list.bytes", t.destinationsOwned()) / (t.Control.KBPerS * kb)
			}, nil}},
	{id: "failure.together.ready", role: Failure, kind: Time, what: "a zone's nodes start together: until the last one has its list", unit: Seconds, axis: ByNodes,
		formula: "together.ready(nodes / zones)", figure: one("together.ready", Target.NodesZone), limits: []limit{readyTime},
		place: "internal/registry, internal/directory/admit.go", waits: []string{ownership}},
	{id: "failure.together.refused", role: Failure, kind: Messages, what: "a zone's nodes start together: asks that are refused", unit: Count, axis: ByNodes,
		formula: "together.refused(nodes / zones)", figure: one("together.refused", Target.NodesZone), place: "internal/directory/admit.go"},
	{id: "failure.together.processor", role: Failure, kind: Processor, what: "a zone's nodes start together: the directory's processor time", unit: Seconds, axis: ByNodes,
		formula: "directory.together.cpu(nodes / zones)", figure: one("directory.together.cpu", Target.NodesZone), place: "internal/directory"},
	{id: "failure.together.bytes", role: Failure, kind: Messages, what: "a zone's nodes start together: first lists, all of them", unit: Bytes, axis: ByDestinations,
		formula: "nodes / zones × node.list.bytes" + byDestinations,
		figure: func(t Target, s *reading) float64 {
			return t.NodesZone() * s.at("node.list.bytes", t.destinationsMeasured())
		},
		place: "internal/directory", waits: []string{ownership},
		owned: &owned{"nodes / zones × owned.list.bytes" + byOwned,
			func(t Target, s *reading) float64 {
				return t.NodesZone() * s.at("owned.list.bytes", t.destinationsOwned())
			}, nil}},
	{id: "failure.alone.configuration", role: Failure, kind: State, what: "a region alone: changes of the configuration that it misses", unit: Count, axis: ByChanges,
		formula: "changes of the configuration a second × time alone",
		figure: told(func(t Target) float64 {
			return t.Configuration.ChangesPerDay / secondsADay * t.Failures.RegionAloneS
		}), waits: []string{configuration, followers}},
	{id: "failure.alone.limits", role: Failure, kind: State, what: "a region alone: limits kept by sides that don't hear each other", axis: ByTimeAlone, formula: "-",
		waits: []string{limits, membership}},
	{id: "failure.alone.events", role: Failure, kind: Processor, what: "a region alone: a node that holds all that came meanwhile", unit: Cores, axis: ByTimeAlone,
		formula: "events a second / nodes × module.held.step(events a second / nodes × time alone)",
		figure: func(t Target, s *reading) float64 {
			return t.EventsPerSNode() * s.at("module.held.step", t.EventsPerSNode()*t.Failures.RegionAloneS)
		}, guess: "that none of them can be sent meanwhile", limits: []limit{oneLoop}, place: "choice", waits: []string{backlog}},
	{id: "failure.alone.changes", role: Failure, kind: State, what: "a region's return: changes of the list that it has to be told", unit: Count, axis: ByTimeAlone,
		formula: "changes a second × time alone", figure: told(func(t Target) float64 { return changesOf(t) * t.Failures.RegionAloneS }),
		limits: []limit{capOf(boundChanges, nil)}, place: "fleet/catalog"},
	{id: "failure.return.ready", role: Failure, kind: Time, what: "a region's return: until its last node knows what it missed", unit: Seconds, axis: ByNodes,
		formula: "together.ready(nodes / regions)", figure: one("together.ready", Target.NodesRegion), guess: "that a return costs what a start together does",
		limits: []limit{inForce}, place: "internal/registry", waits: []string{followers}},
	{id: "failure.leader.writes", role: Failure, kind: Time, what: "the directory's leader is lost while all nodes watch: no write for", unit: Seconds, axis: ByNodes,
		formula: "directory.failover(nodes)", figure: one("directory.failover", nodesOf), limits: []limit{inForce}, place: "internal/directory"},
	{id: "failure.leader.watches", role: Failure, kind: Time, what: "the directory's leader is lost: until the last of its watches is back", unit: Seconds, axis: ByNodes,
		formula: "together.ready(nodes / replicas)", figure: one("together.ready", func(t Target) float64 { return t.Fleet.Nodes / t.Control.Replicas }),
		guess: "that a return costs what a start together does", limits: []limit{inForce}, place: "internal/registry"},
	{id: "failure.down.probes", role: Failure, kind: Messages, what: "destinations that are down, if every node probes each", unit: CountPerS, axis: ByDestinations,
		formula: "destinations down × nodes / seconds between probes",
		figure: told(func(t Target) float64 {
			return t.DestinationsDown() * t.Fleet.Nodes / t.Destinations.ProbeEveryS
		}), waits: []string{probing},
		owned: &owned{"destinations down × owners / seconds between probes",
			told(func(t Target) float64 { return t.DestinationsDown() * t.owners() / t.Destinations.ProbeEveryS }), nil}},
	{id: "failure.down.today", role: Failure, kind: Messages, what: "destinations that are down, probed as today", unit: CountPerS, axis: ByDestinations,
		formula: "nodes × node.down.probes(destinations down)",
		figure: func(t Target, s *reading) float64 {
			return t.Fleet.Nodes * s.at("node.down.probes", t.DestinationsDown())
		},
		place: "choice", waits: []string{probing}},
	{id: "failure.restarts.time", role: Failure, kind: Time, what: "a restart with the whole backlog, against the time until the next one", unit: Seconds, axis: ByBacklog,
		formula: "journal.start" + byHeld, figure: one("journal.start", Target.HeldNode),
		limits: []limit{budgetOf(ByTime, "the next restart comes", func(t Target) float64 { return secondsADay / t.Failures.RestartsPerDay })},
		place:  "internal/node/journal.go", waits: []string{backlog}},
	{id: "failure.restarts.bytes", role: Failure, kind: Messages, what: "first lists of a day's restarts", unit: BytesPerS, axis: ByDestinations,
		formula: "restarts a second × node.list.bytes" + byDestinations,
		figure: func(t Target, s *reading) float64 {
			return restartsPerS(t) * s.at("node.list.bytes", t.destinationsMeasured())
		},
		place: "internal/directory", waits: []string{ownership},
		owned: &owned{"restarts a second × owned.list.bytes" + byOwned,
			func(t Target, s *reading) float64 {
				return restartsPerS(t) * s.at("owned.list.bytes", t.destinationsOwned())
			}, nil}},
}
