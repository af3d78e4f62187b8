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
	boundList  = Bound{"maxListBytes", "internal/registry/registry.go", 16 << 20, Bytes, "a list, or the changes of one, that a node reads", ""}
	boundCache = Bound{"keep_kb", "docs/directory.md", 256 << 10, Bytes, "the cached list in a node's state folder, by the example in the documentation; without the setting there is no cache",
		"registry.keep_kb"}
	boundKnownEndpoints = Bound{"maxKnown", "internal/node/journal.go", 2000, Count, "known endpoints in the journal", ""}
	boundJournal        = Bound{"defaultDiskMB", "internal/node/journal.go", 3 << 20, Bytes, "the journal, unless the platform sets another limit; it must have room for twice its contents", "limits.disk_mb"}
	boundReserve        = Bound{"messageReserve", "internal/node/journal.go", 700, Bytes, "space in the journal that each event reserves for its later records", ""}
	boundLoop           = Bound{"loop", "internal/node/node.go", 1, Cores, "one goroutine processes all input and makes all decisions", ""}
	boundEndpoints      = Bound{"DefaultMaxEndpoints", "fleet/catalog/list.go", 50_000, Count, "endpoints in the list", "list.most"}
	boundChanges        = Bound{"MaxChanges", "fleet/catalog/state.go", 10_000, Count, "recent changes kept for nodes that reconnect", ""}
	boundRequestBody    = Bound{"maxBodyBytes", "internal/directory/server.go", 16 << 20, Bytes, "a request body that a replica accepts", ""}
	boundResponseBody   = Bound{"maxBackupBytes", "internal/directory/code.go", 1 << 30, Bytes, "a list or a backup that the operators' program reads", ""}
	boundWatches        = Bound{"Watch.MaxOpen", "internal/directory/config.go", 20_000, Count, "open watches of a replica", "watch.most"}
)

// Bounds returns the limits that rows are compared with.
func Bounds() []Bound {
	return []Bound{boundList, boundCache, boundKnownEndpoints, boundJournal, boundReserve, boundLoop, boundEndpoints, boundChanges, boundRequestBody, boundResponseBody, boundWatches}
}
