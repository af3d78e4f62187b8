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
type calculation func(t Target, s *slopeReader) float64

// limit is a value that a figure must not exceed.
type limit struct {
	cause       Cause
	description string
	value       func(Target) float64
	amount      calculation // the amount that is compared with value; nil: the row's figure
	budget      bool        // shown beside the figure
}

// row is a row of the table. Its figure is that of the whole target. It ends where its first limit is
// exceeded when its axis grows and everything else stays as in the target.
type row struct {
	id          string
	role        Role
	kind        Kind
	description string
	unit        Unit
	axis        Axis
	formula     string
	figure      calculation // nil: it has none
	assumption  string
	limits      []limit
	place       string   // of the code that carries it today; empty: there is none
	waitsFor    []string // mechanisms that would carry it further
	ownCost     bool     // the cost of a mechanism that does not exist yet
	owned       *ownedVariant
}

// ownedVariant is a row in a fleet where each destination has few owners.
type ownedVariant struct {
	formula string
	figure  calculation
	limits  []limit
}

func budgetLimit(e Cause, what string, value func(Target) float64) limit {
	return limit{cause: e, description: what, value: value, budget: true}
}

// capLimit is a bound in the code as a limit; if amount is nil, the row's figure is compared with it.
func capLimit(f Bound, amount calculation) limit {
	what := f.Name + " in " + f.Place + ", " + Quantity{f.Value, f.Unit}.String()
	if f.Setting != "" {
		what += ", a setting"
	}
	return limit{cause: ByCap, description: what, value: func(Target) float64 { return f.Value }, amount: amount}
}

var (
	controlMemory = budgetLimit(ByMemory, "control's budget", func(t Target) float64 { return t.ControlBudget.MemoryMB * mb })
	controlCore   = budgetLimit(ByProcessor, "control's budget", func(t Target) float64 { return t.ControlBudget.CoreShare })
	controlBytes  = budgetLimit(ByBytes, "control's budget", func(t Target) float64 { return t.ControlBudget.KBPerSecond * kb })
	answerTime    = budgetLimit(ByTime, "clients wait no longer for an answer", func(t Target) float64 { return t.EventBudget.AnswerSeconds })
	heldMemory    = budgetLimit(ByMemory, "the budget of an event held", func(t Target) float64 { return t.BacklogPerNode() * t.EventBudget.BacklogMemoryBytes })
	inForce       = budgetLimit(ByTime, "in force everywhere by then", func(t Target) float64 { return t.Configuration.InForceSeconds })
	readyTime     = budgetLimit(ByTime, "ready by then", func(t Target) float64 { return t.Failures.ReadySeconds })
	oneLoop       = limit{cause: ByProcessor, description: "loop in internal/node/node.go is one goroutine", value: func(Target) float64 { return boundLoop.Value }, budget: true}
)

// fromSlope is a figure given by one slope.
func fromSlope(id string, x func(Target) float64) calculation {
	return func(t Target, s *slopeReader) float64 { return s.at(id, x(t)) }
}

// fromTarget is a figure given by the target alone.
func fromTarget(x func(Target) float64) calculation {
	return func(t Target, _ *slopeReader) float64 { return x(t) }
}

func nodesOf(t Target) float64   { return t.Fleet.Nodes }
func changesOf(t Target) float64 { return t.List.ChangesPerSecond }

// ownedChanges returns the changes a second that one node receives for the destinations that it owns.
func ownedChanges(t Target) float64 { return t.List.ChangesPerSecond * t.owners() / t.Fleet.Nodes }
func ownedDown(t Target) float64    { return t.DestinationsDown() * t.owners() / t.Fleet.Nodes }
func restartsPerS(t Target) float64 { return t.Failures.RestartsPerDay / secondsPerDay }

const (
	byDestinations = "(destinations)"
	byOwned        = "(destinations × owners / nodes)"
	byHeld         = "(backlog / nodes)"
)

// rows is the table.
var rows = []row{
	// What a node spends on control data.
	{id: "control.state.endpoints", role: NodeControl, kind: State, description: "endpoints that it knows", unit: Count, axis: ByDestinations,
		formula: "destinations × endpoints each", figure: fromTarget(Target.Endpoints), limits: []limit{capLimit(boundEndpoints, nil)},
		place: "internal/registry", waitsFor: []string{ownership},
		owned: &ownedVariant{"destinations × endpoints each × owners / nodes", fromTarget(func(t Target) float64 { return t.Endpoints() * t.owners() / t.Fleet.Nodes }), nil}},
	{id: "control.state.remembered", role: NodeControl, kind: State, description: "endpoints that its journal should remember", unit: Count, axis: ByDestinations,
		formula: "destinations × endpoints each", figure: fromTarget(Target.Endpoints), limits: []limit{capLimit(boundKnownEndpoints, nil)},
		place: "internal/node/journal.go", waitsFor: []string{ownership},
		owned: &ownedVariant{"destinations × endpoints each × owners / nodes", fromTarget(func(t Target) float64 { return t.Endpoints() * t.owners() / t.Fleet.Nodes }),
			[]limit{capLimit(boundKnownEndpoints, nil)}}},
	{id: "control.state.kept", role: NodeControl, kind: State, description: "the stored copy of the list", unit: Bytes, axis: ByDestinations,
		formula: "node.list.bytes" + byDestinations, figure: fromSlope("node.list.bytes", Target.measuredDestinations), limits: []limit{capLimit(boundCache, nil)},
		assumption: "that its file is as large as the list in transit", place: "internal/registry/kept.go", waitsFor: []string{ownership},
		owned: &ownedVariant{"owned.list.bytes" + byOwned, fromSlope("owned.list.bytes", Target.ownedDestinations), []limit{capLimit(boundCache, nil)}}},
	{id: "control.state.members", role: NodeControl, kind: State, description: "members whose views it compares", unit: Count, axis: ByNodes,
		formula: "nodes", figure: fromTarget(nodesOf), waitsFor: []string{membership}},
	{id: "control.state.configuration", role: NodeControl, kind: State, description: "configuration changes a day, each in force everywhere within the target's seconds", unit: Count, axis: ByChanges,
		formula: "changes of the configuration a day", figure: fromTarget(func(t Target) float64 { return t.Configuration.ChangesPerDay }), waitsFor: []string{configuration}},
	{id: "control.state.limits", role: NodeControl, kind: State, description: "a node's share of a small destination's limit, in calls a second", unit: CountPerS, axis: ByNodes,
		formula: "calls a second / nodes", figure: fromTarget(func(t Target) float64 { return t.Destinations.CallsPerSecond / t.Fleet.Nodes }), waitsFor: []string{limits},
		owned: &ownedVariant{"calls a second / owners", fromTarget(func(t Target) float64 { return t.Destinations.CallsPerSecond / t.owners() }), nil}},
	{id: "control.messages.list", role: NodeControl, kind: Messages, description: "a complete first list", unit: Bytes, axis: ByDestinations,
		formula: "node.list.bytes" + byDestinations, figure: fromSlope("node.list.bytes", Target.measuredDestinations), limits: []limit{capLimit(boundList, nil)},
		place: "internal/registry", waitsFor: []string{ownership},
		owned: &ownedVariant{"owned.list.bytes" + byOwned, fromSlope("owned.list.bytes", Target.ownedDestinations), []limit{capLimit(boundList, nil)}}},
	{id: "control.messages.idle", role: NodeControl, kind: Messages, description: "an idle watch", unit: BytesPerS, axis: ByNodes,
		formula: "node.watch.bytes(nodes)", figure: fromSlope("node.watch.bytes", nodesOf), limits: []limit{controlBytes}, place: "internal/registry"},
	{id: "control.messages.all", role: NodeControl, kind: Messages, description: "total on an average day: watch, changes, first lists", unit: BytesPerS, axis: ByDestinations,
		formula: "node.watch.bytes(nodes) + rise of node.change.bytes(changes a second) + restarts a second / nodes × node.list.bytes" + byDestinations,
		figure: func(t Target, s *slopeReader) float64 {
			return s.at("node.watch.bytes", t.Fleet.Nodes) + s.rise("node.change.bytes", changesOf(t)) +
				restartsPerS(t)/t.Fleet.Nodes*s.at("node.list.bytes", t.measuredDestinations())
		}, limits: []limit{controlBytes}, place: "internal/registry", waitsFor: []string{ownership},
		owned: &ownedVariant{"node.watch.bytes(nodes) + changes a second × owners / nodes × owned.change.bytes" + byOwned + " + restarts a second / nodes × owned.list.bytes" + byOwned,
			func(t Target, s *slopeReader) float64 {
				return s.at("node.watch.bytes", t.Fleet.Nodes) + ownedChanges(t)*s.at("owned.change.bytes", t.ownedDestinations()) +
					restartsPerS(t)/t.Fleet.Nodes*s.at("owned.list.bytes", t.ownedDestinations())
			}, []limit{controlBytes}}},
	{id: "control.messages.changes", role: NodeControl, kind: Messages, description: "changes of the list", unit: BytesPerS, axis: ByChanges,
		formula: "rise of node.change.bytes(changes a second)",
		figure:  func(t Target, s *slopeReader) float64 { return s.rise("node.change.bytes", changesOf(t)) }, limits: []limit{controlBytes},
		place: "internal/registry", waitsFor: []string{ownership},
		owned: &ownedVariant{"changes a second × owners / nodes × owned.change.bytes" + byOwned, func(t Target, s *slopeReader) float64 {
			return ownedChanges(t) * s.at("owned.change.bytes", t.ownedDestinations())
		}, []limit{controlBytes}}},
	{id: "control.processor.idle", role: NodeControl, kind: Processor, description: "an idle node", unit: Cores, axis: ByNodes,
		formula: "node.idle.cpu(nodes)", figure: fromSlope("node.idle.cpu", nodesOf), limits: []limit{controlCore}, place: "internal/node"},
	{id: "control.processor.changes", role: NodeControl, kind: Processor, description: "changes of the list", unit: Cores, axis: ByDestinations,
		formula: "changes a second × node.change.step" + byDestinations,
		figure: func(t Target, s *slopeReader) float64 {
			return changesOf(t) * s.at("node.change.step", t.measuredDestinations())
		}, limits: []limit{controlCore}, place: "choice", waitsFor: []string{ownership},
		owned: &ownedVariant{"changes a second × owners / nodes × owned.change.step" + byOwned, func(t Target, s *slopeReader) float64 {
			return ownedChanges(t) * s.at("owned.change.step", t.ownedDestinations())
		}, []limit{controlCore}}},
	{id: "control.processor.rate", role: NodeControl, kind: Processor, description: "changes of the list, by their rate, with the list of the scale run", unit: Cores, axis: ByChanges,
		formula: "rise of node.change.cpu(changes a second)",
		figure:  func(t Target, s *slopeReader) float64 { return s.rise("node.change.cpu", changesOf(t)) }, limits: []limit{controlCore}, place: "internal/node"},
	{id: "control.processor.down", role: NodeControl, kind: Processor, description: "destinations that are down", unit: Cores, axis: ByDestinations,
		formula: "rise of node.down.cpu(destinations down)",
		figure:  func(t Target, s *slopeReader) float64 { return s.rise("node.down.cpu", t.DestinationsDown()) }, limits: []limit{controlCore},
		place: "choice", waitsFor: []string{probing},
		owned: &ownedVariant{"rise of node.down.cpu(destinations down × owners / nodes)",
			func(t Target, s *slopeReader) float64 { return s.rise("node.down.cpu", ownedDown(t)) }, []limit{controlCore}}},
	{id: "control.processor.all", role: NodeControl, kind: Processor, description: "total on an average day", unit: Cores, axis: ByDestinations,
		formula: "node.idle.cpu(nodes) + changes a second × node.change.step" + byDestinations + " + rise of node.down.cpu(destinations down)",
		figure: func(t Target, s *slopeReader) float64 {
			return s.at("node.idle.cpu", t.Fleet.Nodes) + changesOf(t)*s.at("node.change.step", t.measuredDestinations()) + s.rise("node.down.cpu", t.DestinationsDown())
		}, limits: []limit{controlCore}, place: "choice", waitsFor: []string{ownership, probing},
		owned: &ownedVariant{"node.idle.cpu(nodes) + changes a second × owners / nodes × owned.change.step" + byOwned + " + rise of node.down.cpu(destinations down × owners / nodes)",
			func(t Target, s *slopeReader) float64 {
				return s.at("node.idle.cpu", t.Fleet.Nodes) + ownedChanges(t)*s.at("owned.change.step", t.ownedDestinations()) + s.rise("node.down.cpu", ownedDown(t))
			}, []limit{controlCore}}},
	{id: "control.memory.heap", role: NodeControl, kind: Memory, description: "heap, by destinations", unit: Bytes, axis: ByDestinations,
		formula: "node.destinations.heap" + byDestinations, figure: fromSlope("node.destinations.heap", Target.measuredDestinations), limits: []limit{controlMemory},
		place: "choice", waitsFor: []string{ownership},
		owned: &ownedVariant{"owned.destinations.heap" + byOwned, fromSlope("owned.destinations.heap", Target.ownedDestinations), []limit{controlMemory}}},
	{id: "control.memory.resident", role: NodeControl, kind: Memory, description: "resident, by destinations", unit: Bytes, axis: ByDestinations,
		formula: "node.destinations.rss" + byDestinations, figure: fromSlope("node.destinations.rss", Target.measuredDestinations), limits: []limit{controlMemory},
		place: "choice", waitsFor: []string{ownership}},
	{id: "control.memory.nodes", role: NodeControl, kind: Memory, description: "heap, by nodes of the fleet", unit: Bytes, axis: ByNodes,
		formula: "node.idle.heap(nodes)", figure: fromSlope("node.idle.heap", nodesOf), limits: []limit{controlMemory}, place: "internal/node"},
	{id: "control.memory.down", role: NodeControl, kind: Memory, description: "heap, by destinations that are down", unit: Bytes, axis: ByDestinations,
		formula: "rise of node.down.heap(destinations down)",
		figure:  func(t Target, s *slopeReader) float64 { return s.rise("node.down.heap", t.DestinationsDown()) }, limits: []limit{controlMemory},
		place: "choice", waitsFor: []string{probing},
		owned: &ownedVariant{"rise of node.down.heap(destinations down × owners / nodes)",
			func(t Target, s *slopeReader) float64 { return s.rise("node.down.heap", ownedDown(t)) }, []limit{controlMemory}}},
	{id: "control.memory.all", role: NodeControl, kind: Memory, description: "heap, total", unit: Bytes, axis: ByDestinations,
		formula: "node.destinations.heap" + byDestinations + " + rise of node.idle.heap(nodes)",
		figure: func(t Target, s *slopeReader) float64 {
			return s.at("node.destinations.heap", t.measuredDestinations()) + s.rise("node.idle.heap", t.Fleet.Nodes)
		}, limits: []limit{controlMemory}, place: "choice", waitsFor: []string{ownership},
		owned: &ownedVariant{"owned.destinations.heap" + byOwned + " + rise of node.idle.heap(nodes)",
			func(t Target, s *slopeReader) float64 {
				return s.at("owned.destinations.heap", t.ownedDestinations()) + s.rise("node.idle.heap", t.Fleet.Nodes)
			}, []limit{controlMemory}}},
	{id: "control.time.list", role: NodeControl, kind: Time, description: "event loop blocked by a whole list", unit: Seconds, axis: ByDestinations,
		formula: "node.list.step" + byDestinations, figure: fromSlope("node.list.step", Target.measuredDestinations), limits: []limit{answerTime},
		place: "choice", waitsFor: []string{ownership},
		owned: &ownedVariant{"owned.list.step" + byOwned, fromSlope("owned.list.step", Target.ownedDestinations), []limit{answerTime}}},
	{id: "control.time.change", role: NodeControl, kind: Time, description: "event loop blocked by one change", unit: Seconds, axis: ByDestinations,
		formula: "node.change.step" + byDestinations, figure: fromSlope("node.change.step", Target.measuredDestinations), limits: []limit{answerTime},
		place: "choice", waitsFor: []string{ownership},
		owned: &ownedVariant{"owned.change.step" + byOwned, fromSlope("owned.change.step", Target.ownedDestinations), []limit{answerTime}}},

	// What a node spends on events.
	{id: "own.state.room", role: NodeOwn, kind: State, description: "space that the journal needs for the backlog", unit: Bytes, axis: ByBacklog,
		formula: "2 × backlog / nodes × (body + id and key + " + boundReserve.Name + ")",
		figure: func(t Target, _ *slopeReader) float64 {
			return 2 * t.BacklogPerNode() * (t.Events.BodyBytes + t.Events.NameBytes + boundReserve.Value)
		}, limits: []limit{capLimit(boundJournal, nil)}, place: "internal/node/journal.go", waitsFor: []string{backlog}},
	{id: "own.state.file", role: NodeOwn, kind: State, description: "file of the journal with the backlog in it", unit: Bytes, axis: ByBacklog,
		formula: "journal.held.file" + byHeld, figure: fromSlope("journal.held.file", Target.BacklogPerNode), place: "internal/node/journal.go", waitsFor: []string{backlog}},
	{id: "own.state.paged", role: NodeOwn, kind: State, description: "events that wait on disk and not in memory", unit: Count, axis: ByBacklog,
		formula: "backlog / nodes", figure: fromTarget(Target.BacklogPerNode), waitsFor: []string{backlog}},
	{id: "own.messages.passed", role: NodeOwn, kind: Messages, description: "events forwarded to an owner", unit: CountPerS, axis: ByEvents,
		formula: "events a second / nodes × (1 - owners / nodes)",
		figure:  fromTarget(func(t Target) float64 { return t.EventsPerSecondPerNode() * (1 - t.owners()/t.Fleet.Nodes) }), assumption: "that clients submit an event to any node",
		waitsFor: []string{passing}},
	{id: "own.processor.events", role: NodeOwn, kind: Processor, description: "events accepted with the whole backlog held", unit: Cores, axis: ByBacklog,
		formula: "events a second / nodes × module.held.step" + byHeld,
		figure: func(t Target, s *slopeReader) float64 {
			return t.EventsPerSecondPerNode() * s.at("module.held.step", t.BacklogPerNode())
		}, limits: []limit{oneLoop},
		place: "choice", waitsFor: []string{backlog}},
	{id: "own.processor.destinations", role: NodeOwn, kind: Processor, description: "events accepted while all destinations are known, each a step with nothing else new", unit: Cores, axis: ByDestinations,
		formula: "events a second / nodes × node.empty.step" + byDestinations,
		figure: func(t Target, s *slopeReader) float64 {
			return t.EventsPerSecondPerNode() * s.at("node.empty.step", t.measuredDestinations())
		}, limits: []limit{oneLoop},
		place: "internal/node", waitsFor: []string{ownership},
		owned: &ownedVariant{"events a second / nodes × owned.empty.step" + byOwned,
			func(t Target, s *slopeReader) float64 {
				return t.EventsPerSecondPerNode() * s.at("owned.empty.step", t.ownedDestinations())
			}, []limit{oneLoop}}},
	{id: "own.processor.down", role: NodeOwn, kind: Processor, description: "events accepted while destinations are down", unit: Cores, axis: ByDestinations,
		formula: "events a second / nodes × node.down.step(destinations down)",
		figure: func(t Target, s *slopeReader) float64 {
			return t.EventsPerSecondPerNode() * s.at("node.down.step", t.DestinationsDown())
		}, limits: []limit{oneLoop},
		place: "choice", waitsFor: []string{probing},
		owned: &ownedVariant{"events a second / nodes × node.down.step(destinations down × owners / nodes)",
			func(t Target, s *slopeReader) float64 {
				return t.EventsPerSecondPerNode() * s.at("node.down.step", ownedDown(t))
			}, []limit{oneLoop}}},
	{id: "own.memory.module", role: NodeOwn, kind: Memory, description: "heap of the module with the backlog held", unit: Bytes, axis: ByBacklog,
		formula: "module.held.heap" + byHeld, figure: fromSlope("module.held.heap", Target.BacklogPerNode), limits: []limit{heldMemory}, place: "choice", waitsFor: []string{backlog}},
	{id: "own.memory.node", role: NodeOwn, kind: Memory, description: "memory of the node with the backlog held, module included", unit: Bytes, axis: ByBacklog,
		formula: "journal.held.rss" + byHeld, figure: fromSlope("journal.held.rss", Target.BacklogPerNode), limits: []limit{heldMemory},
		place: "internal/node/journal.go", waitsFor: []string{backlog}},
	{id: "own.time.event", role: NodeOwn, kind: Time, description: "event loop blocked by one event with the backlog held", unit: Seconds, axis: ByBacklog,
		formula: "module.held.step" + byHeld, figure: fromSlope("module.held.step", Target.BacklogPerNode), limits: []limit{answerTime}, place: "choice", waitsFor: []string{backlog}},
	{id: "own.time.stall", role: NodeOwn, kind: Time, description: "longest wait of an event for its answer, while the journal is rewritten", unit: Seconds, axis: ByBacklog,
		formula: "journal.stall" + byHeld, figure: fromSlope("journal.stall", Target.BacklogPerNode), limits: []limit{answerTime},
		place: "internal/node/journal.go", waitsFor: []string{backlog}},

	// A replica of the directory.
	{id: "directory.state.endpoints", role: Directory, kind: State, description: "endpoints of the list", unit: Count, axis: ByDestinations,
		formula: "destinations × endpoints each", figure: fromTarget(Target.Endpoints), limits: []limit{capLimit(boundEndpoints, nil)},
		place: "fleet/catalog", waitsFor: []string{ownership}},
	{id: "directory.messages.write", role: Directory, kind: Messages, description: "a whole list in one write", unit: Bytes, axis: ByDestinations,
		formula: "node.list.bytes" + byDestinations, figure: fromSlope("node.list.bytes", Target.measuredDestinations), limits: []limit{capLimit(boundRequestBody, nil)},
		place: "internal/directory"},
	{id: "directory.messages.watches", role: Directory, kind: Messages, description: "watches of one replica, all nodes at one of them", unit: Count, axis: ByNodes,
		formula: "nodes", figure: fromTarget(nodesOf), limits: []limit{capLimit(boundWatches, nil)}, place: "internal/directory"},
	{id: "directory.messages.idle", role: Directory, kind: Messages, description: "all idle watches", unit: BytesPerS, axis: ByNodes,
		formula: "nodes × node.watch.bytes(nodes)", figure: func(t Target, s *slopeReader) float64 { return t.Fleet.Nodes * s.at("node.watch.bytes", t.Fleet.Nodes) },
		place: "internal/directory"},
	{id: "directory.processor.idle", role: Directory, kind: Processor, description: "idle watches", unit: Cores, axis: ByNodes,
		formula: "directory.nodes.cpu(nodes)", figure: fromSlope("directory.nodes.cpu", nodesOf), place: "internal/directory"},
	{id: "directory.processor.changes", role: Directory, kind: Processor, description: "changes of the list", unit: Cores, axis: ByChanges,
		formula: "directory.change.cpu(changes a second)", figure: fromSlope("directory.change.cpu", changesOf), place: "internal/directory"},
	{id: "directory.memory.endpoints", role: Directory, kind: Memory, description: "resident, by destinations", unit: Bytes, axis: ByDestinations,
		formula: "directory.destinations.rss" + byDestinations, figure: fromSlope("directory.destinations.rss", Target.measuredDestinations),
		place: "fleet/catalog", waitsFor: []string{ownership},
		owned: &ownedVariant{"directory.owned.rss" + byDestinations, fromSlope("directory.owned.rss", Target.measuredDestinations), nil}},
	{id: "directory.memory.nodes", role: Directory, kind: Memory, description: "resident, by nodes that watch", unit: Bytes, axis: ByNodes,
		formula: "directory.nodes.rss(nodes)", figure: fromSlope("directory.nodes.rss", nodesOf), place: "internal/directory"},
	{id: "directory.time.change", role: Directory, kind: Time, description: "until the last node knows of a change", unit: Seconds, axis: ByNodes,
		formula: "directory.change.last(nodes)", figure: fromSlope("directory.change.last", nodesOf), limits: []limit{inForce}, place: "internal/directory"},

	// A follower in each region; it does not exist yet.
	{id: "follower.state.endpoints", role: Follower, kind: State, description: "endpoints that it relays", unit: Count, axis: ByDestinations,
		formula: "destinations × endpoints each", figure: fromTarget(Target.Endpoints), waitsFor: []string{followers}, ownCost: true},
	{id: "follower.messages.link", role: Follower, kind: Messages, description: "watches of a region's nodes over its link, without a follower", unit: BytesPerS, axis: ByNodes,
		formula: "nodes / regions × node.watch.bytes(nodes)",
		figure: func(t Target, s *slopeReader) float64 {
			return t.NodesPerRegion() * s.at("node.watch.bytes", t.Fleet.Nodes)
		}, waitsFor: []string{followers}},
	{id: "follower.processor", role: Follower, kind: Processor, description: "watches of a region's nodes", unit: Cores, axis: ByNodes,
		formula: "directory.follow.cpu(nodes / regions)", figure: fromSlope("directory.follow.cpu", Target.NodesPerRegion), waitsFor: []string{followers}, ownCost: true},
	{id: "follower.memory", role: Follower, kind: Memory, description: "resident, by destinations", unit: Bytes, axis: ByDestinations,
		formula: "directory.follow.rss" + byDestinations, figure: fromSlope("directory.follow.rss", Target.measuredDestinations), waitsFor: []string{followers}, ownCost: true},
	{id: "follower.time", role: Follower, kind: Time, description: "until its last node knows of a change", unit: Seconds, axis: ByNodes,
		formula: "directory.follow.last(nodes / regions)", figure: fromSlope("directory.follow.last", Target.NodesPerRegion), limits: []limit{inForce}, waitsFor: []string{followers}, ownCost: true},

	// The operators' program.
	{id: "operators.state", role: Operators, kind: State, description: "no state between two calls", axis: ByDestinations, formula: "-", place: "cmd/cottonrack"},
	{id: "operators.messages.list", role: Operators, kind: Messages, description: "the complete list", unit: Bytes, axis: ByDestinations,
		formula: "node.list.bytes" + byDestinations, figure: fromSlope("node.list.bytes", Target.measuredDestinations), limits: []limit{capLimit(boundResponseBody, nil)},
		place: "internal/directory/operator.go"},
	{id: "operators.processor.list", role: Operators, kind: Processor, description: "processor time of one `directory list`", unit: Seconds, axis: ByDestinations,
		formula: "operator.list.cpu" + byDestinations, figure: fromSlope("operator.list.cpu", Target.measuredDestinations), place: "cmd/cottonrack/directory.go"},
	{id: "operators.memory.list", role: Operators, kind: Memory, description: "resident, of one `directory list`", unit: Bytes, axis: ByDestinations,
		formula: "operator.list.rss" + byDestinations, figure: fromSlope("operator.list.rss", Target.measuredDestinations), place: "cmd/cottonrack/directory.go"},
	{id: "operators.time.list", role: Operators, kind: Time, description: "one `directory list`, from start to end", unit: Seconds, axis: ByDestinations,
		formula: "operator.list.time" + byDestinations, figure: fromSlope("operator.list.time", Target.measuredDestinations), place: "cmd/cottonrack/directory.go"},

	// Failures.
	{id: "failure.start.backlog", role: Failure, kind: Time, description: "start of a node with its whole backlog", unit: Seconds, axis: ByBacklog,
		formula: "journal.start" + byHeld, figure: fromSlope("journal.start", Target.BacklogPerNode), limits: []limit{readyTime},
		place: "internal/node/journal.go", waitsFor: []string{backlog}},
	{id: "failure.start.memory", role: Failure, kind: Memory, description: "start of a node with its whole backlog: peak memory", unit: Bytes, axis: ByBacklog,
		formula: "journal.start.rss" + byHeld, figure: fromSlope("journal.start.rss", Target.BacklogPerNode), limits: []limit{heldMemory},
		place: "internal/node/journal.go", waitsFor: []string{backlog}},
	{id: "failure.start.list", role: Failure, kind: Time, description: "a node's first list at its budget of bytes a second", unit: Seconds, axis: ByDestinations,
		formula: "node.list.bytes" + byDestinations + " / bytes a second",
		figure: func(t Target, s *slopeReader) float64 {
			return s.at("node.list.bytes", t.measuredDestinations()) / (t.ControlBudget.KBPerSecond * kb)
		},
		place: "internal/registry", waitsFor: []string{ownership},
		owned: &ownedVariant{"owned.list.bytes" + byOwned + " / bytes a second",
			func(t Target, s *slopeReader) float64 {
				return s.at("owned.list.bytes", t.ownedDestinations()) / (t.ControlBudget.KBPerSecond * kb)
			}, nil}},
	{id: "failure.together.ready", role: Failure, kind: Time, description: "a zone's nodes start together: until the last one has its list", unit: Seconds, axis: ByNodes,
		formula: "together.ready(nodes / zones)", figure: fromSlope("together.ready", Target.NodesPerZone), limits: []limit{readyTime},
		place: "internal/registry, internal/directory/admit.go", waitsFor: []string{ownership}},
	{id: "failure.together.refused", role: Failure, kind: Messages, description: "a zone's nodes start together: requests that are refused", unit: Count, axis: ByNodes,
		formula: "together.refused(nodes / zones)", figure: fromSlope("together.refused", Target.NodesPerZone), place: "internal/directory/admit.go"},
	{id: "failure.together.processor", role: Failure, kind: Processor, description: "a zone's nodes start together: the directory's processor time", unit: Seconds, axis: ByNodes,
		formula: "directory.together.cpu(nodes / zones)", figure: fromSlope("directory.together.cpu", Target.NodesPerZone), place: "internal/directory"},
	{id: "failure.together.bytes", role: Failure, kind: Messages, description: "a zone's nodes start together: first lists, all of them", unit: Bytes, axis: ByDestinations,
		formula: "nodes / zones × node.list.bytes" + byDestinations,
		figure: func(t Target, s *slopeReader) float64 {
			return t.NodesPerZone() * s.at("node.list.bytes", t.measuredDestinations())
		},
		place: "internal/directory", waitsFor: []string{ownership},
		owned: &ownedVariant{"nodes / zones × owned.list.bytes" + byOwned,
			func(t Target, s *slopeReader) float64 {
				return t.NodesPerZone() * s.at("owned.list.bytes", t.ownedDestinations())
			}, nil}},
	{id: "failure.alone.configuration", role: Failure, kind: State, description: "an isolated region: changes of the configuration that it misses", unit: Count, axis: ByChanges,
		formula: "changes of the configuration a second × time alone",
		figure: fromTarget(func(t Target) float64 {
			return t.Configuration.ChangesPerDay / secondsPerDay * t.Failures.RegionIsolatedSeconds
		}), waitsFor: []string{configuration, followers}},
	{id: "failure.alone.limits", role: Failure, kind: State, description: "an isolated region: limits kept by sides that don't communicate", axis: ByTimeAlone, formula: "-",
		waitsFor: []string{limits, membership}},
	{id: "failure.alone.events", role: Failure, kind: Processor, description: "an isolated region: a node that holds all events received meanwhile", unit: Cores, axis: ByTimeAlone,
		formula: "events a second / nodes × module.held.step(events a second / nodes × time alone)",
		figure: func(t Target, s *slopeReader) float64 {
			return t.EventsPerSecondPerNode() * s.at("module.held.step", t.EventsPerSecondPerNode()*t.Failures.RegionIsolatedSeconds)
		}, assumption: "that none of them can be delivered meanwhile", limits: []limit{oneLoop}, place: "choice", waitsFor: []string{backlog}},
	{id: "failure.alone.changes", role: Failure, kind: State, description: "a region's return: changes of the list that it has to receive", unit: Count, axis: ByTimeAlone,
		formula: "changes a second × time alone", figure: fromTarget(func(t Target) float64 { return changesOf(t) * t.Failures.RegionIsolatedSeconds }),
		limits: []limit{capLimit(boundChanges, nil)}, place: "fleet/catalog"},
	{id: "failure.return.ready", role: Failure, kind: Time, description: "a region's return: until its last node has received what it missed", unit: Seconds, axis: ByNodes,
		formula: "together.ready(nodes / regions)", figure: fromSlope("together.ready", Target.NodesPerRegion), assumption: "that a return costs the same as a simultaneous start",
		limits: []limit{inForce}, place: "internal/registry", waitsFor: []string{followers}},
	{id: "failure.leader.writes", role: Failure, kind: Time, description: "the directory's leader is lost while all nodes watch: time without writes", unit: Seconds, axis: ByNodes,
		formula: "directory.failover(nodes)", figure: fromSlope("directory.failover", nodesOf), limits: []limit{inForce}, place: "internal/directory"},
	{id: "failure.leader.watches", role: Failure, kind: Time, description: "the directory's leader is lost: until the last of its watches is restored", unit: Seconds, axis: ByNodes,
		formula: "together.ready(nodes / replicas)", figure: fromSlope("together.ready", func(t Target) float64 { return t.Fleet.Nodes / t.ControlBudget.Replicas }),
		assumption: "that a return costs the same as a simultaneous start", limits: []limit{inForce}, place: "internal/registry"},
	{id: "failure.down.probes", role: Failure, kind: Messages, description: "destinations that are down, if every node probes each", unit: CountPerS, axis: ByDestinations,
		formula: "destinations down × nodes / seconds between probes",
		figure: fromTarget(func(t Target) float64 {
			return t.DestinationsDown() * t.Fleet.Nodes / t.Destinations.ProbeIntervalSeconds
		}), waitsFor: []string{probing},
		owned: &ownedVariant{"destinations down × owners / seconds between probes",
			fromTarget(func(t Target) float64 { return t.DestinationsDown() * t.owners() / t.Destinations.ProbeIntervalSeconds }), nil}},
	{id: "failure.down.today", role: Failure, kind: Messages, description: "destinations that are down, probed as at present", unit: CountPerS, axis: ByDestinations,
		formula: "nodes × node.down.probes(destinations down)",
		figure: func(t Target, s *slopeReader) float64 {
			return t.Fleet.Nodes * s.at("node.down.probes", t.DestinationsDown())
		},
		place: "choice", waitsFor: []string{probing}},
	{id: "failure.restarts.time", role: Failure, kind: Time, description: "a restart with the whole backlog, compared with the time until the next one", unit: Seconds, axis: ByBacklog,
		formula: "journal.start" + byHeld, figure: fromSlope("journal.start", Target.BacklogPerNode),
		limits: []limit{budgetLimit(ByTime, "the next restart comes", func(t Target) float64 { return secondsPerDay / t.Failures.RestartsPerDay })},
		place:  "internal/node/journal.go", waitsFor: []string{backlog}},
	{id: "failure.restarts.bytes", role: Failure, kind: Messages, description: "first lists of a day's restarts", unit: BytesPerS, axis: ByDestinations,
		formula: "restarts a second × node.list.bytes" + byDestinations,
		figure: func(t Target, s *slopeReader) float64 {
			return restartsPerS(t) * s.at("node.list.bytes", t.measuredDestinations())
		},
		place: "internal/directory", waitsFor: []string{ownership},
		owned: &ownedVariant{"restarts a second × owned.list.bytes" + byOwned,
			func(t Target, s *slopeReader) float64 {
				return restartsPerS(t) * s.at("owned.list.bytes", t.ownedDestinations())
			}, nil}},
}
