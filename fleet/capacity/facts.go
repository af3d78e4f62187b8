package capacity

// Bound is a limit in the present program. Tests compare it with the code.
type Bound struct {
	Name        string  `json:"name"`  // identifier or setting, as written at Place
	Place       string  `json:"place"` // path from the root of the repository
	Value       float64 `json:"value"`
	Unit        Unit    `json:"unit"`
	Description string  `json:"what"`
	Setting     string  `json:"setting,omitempty"` // setting that changes it; without one it is a constant
}

var (
	boundList = Bound{"maxList", "internal/registry/registry.go", 16 << 20, Bytes, "a list, or what changed of it, as a node reads it", ""}
	boundKept = Bound{"keep_kb", "docs/directory.md", 256 << 10, Bytes, "the kept list in the lasting folder, as the page has it; without the setting none is kept",
		"registry.keep_kb"}
	boundKnown   = Bound{"maxKnown", "internal/node/journal.go", 2000, Count, "endpoints that the journal remembers", ""}
	boundDisk    = Bound{"defaultDiskMB", "internal/node/journal.go", 3 << 20, Bytes, "the journal, unless the platform says otherwise; twice what it holds must fit", "limits.disk_mb"}
	boundReserve = Bound{"messageReserve", "internal/node/journal.go", 700, Bytes, "room that the journal keeps for the small records of an event", ""}
	boundLoop    = Bound{"loop", "internal/node/node.go", 1, Cores, "one goroutine takes all events and decides", ""}
	boundMembers = Bound{"UsualMembers", "fleet/catalog/list.go", 50_000, Count, "endpoints of the list", "list.most"}
	boundChanges = Bound{"MaxChanges", "fleet/catalog/state.go", 10_000, Count, "changes that are kept for who comes back", ""}
	boundWrite   = Bound{"maxWrite", "internal/directory/server.go", 16 << 20, Bytes, "a body that a replica takes", ""}
	boundRead    = Bound{"maxBackup", "internal/directory/code.go", 1 << 30, Bytes, "a list or a backup that the operators' program reads", ""}
	boundWatches = Bound{"Watch.Most", "internal/directory/config.go", 20_000, Count, "watches of a replica", "watch.most"}
)

// Bounds returns the limits that rows are compared with.
func Bounds() []Bound {
	return []Bound{boundList, boundKept, boundKnown, boundDisk, boundReserve, boundLoop, boundMembers, boundChanges, boundWrite, boundRead, boundWatches}
}
