package capacity

// Bound is a limit in the present program. Tests compare it with the code.
type Fact struct {
	Name    string  `json:"name"`  // identifier or setting, as written at Place
	Place   string  `json:"place"` // path from the root of the repository
	Value   float64 `json:"value"`
	Unit    Unit    `json:"unit"`
	What    string  `json:"what"`
	Setting string  `json:"setting,omitempty"` // setting that changes it; without one it is a constant
}

var (
	factList = Fact{"maxList", "internal/registry/registry.go", 16 << 20, Bytes, "a list, or what changed of it, as a node reads it", ""}
	factKept = Fact{"keep_kb", "docs/directory.md", 256 << 10, Bytes, "the kept list in the lasting folder, as the page has it; without the setting none is kept",
		"registry.keep_kb"}
	factKnown   = Fact{"maxKnown", "internal/node/journal.go", 2000, Count, "endpoints that the journal remembers", ""}
	factDisk    = Fact{"defaultDiskMB", "internal/node/journal.go", 3 << 20, Bytes, "the journal, unless the platform says otherwise; twice what it holds must fit", "limits.disk_mb"}
	factReserve = Fact{"messageReserve", "internal/node/journal.go", 700, Bytes, "room that the journal keeps for the small records of an event", ""}
	factLoop    = Fact{"loop", "internal/node/node.go", 1, Cores, "one goroutine takes all events and decides", ""}
	factMembers = Fact{"UsualMembers", "fleet/catalog/list.go", 50_000, Count, "endpoints of the list", "list.most"}
	factChanges = Fact{"MaxChanges", "fleet/catalog/state.go", 10_000, Count, "changes that are kept for who comes back", ""}
	factWrite   = Fact{"maxWrite", "internal/directory/server.go", 16 << 20, Bytes, "a body that a replica takes", ""}
	factRead    = Fact{"maxBackup", "internal/directory/code.go", 1 << 30, Bytes, "a list or a backup that the operators' program reads", ""}
	factWatches = Fact{"Watch.Most", "internal/directory/config.go", 20_000, Count, "watches of a replica", "watch.most"}
)

// Bounds returns the limits that rows are compared with.
func Facts() []Fact {
	return []Fact{factList, factKept, factKnown, factDisk, factReserve, factLoop, factMembers, factChanges, factWrite, factRead, factWatches}
}
