package node

import (
	"maps"
	"slices"
	"time"

	"starlingusher/choice"
	"starlingusher/fleet/catalog"
)

// TakeBackConfig returns the configuration with which this process takes back the node that it has handed over, after Run has
// returned ErrSuccessorGone. What this life of the node was told goes on to the next one: the list, without the endpoints that
// the successor has closed since, and the waits. The journal has the rest. The list's revision is not kept, so that the
// complete list is asked for.
func (n *Node) TakeBackConfig(latest Config) Config {
	members := slices.Collect(maps.Values(n.members))
	for i, m := range members {
		if n.endpoints[m.ID] == nil {
			members[i].Phase = catalog.Draining
		}
	}
	latest.InitialList = catalog.List{Complete: true, Members: members}
	latest.initialWaits = map[string]time.Time{}
	for id, e := range n.endpoints {
		if until := e.wait.end(); time.Now().Before(until) {
			latest.initialWaits[id] = until
		}
	}
	return latest
}

// restoreWaits applies the waits of the node's last life in this process, and returns the events that tell the module.
func (n *Node) restoreWaits() []choice.Event {
	var events []choice.Event
	for _, id := range slices.Sorted(maps.Keys(n.cfg.initialWaits)) {
		if e := n.endpoints[id]; e != nil {
			until := n.cfg.initialWaits[id]
			e.wait.extend(until)
			events = append(events, choice.WaitTold{Endpoint: id, Until: n.moduleTime(until)})
		}
	}
	return events
}
