package node

import (
	"hash/crc32"
	"slices"
	"sync/atomic"
	"time"

	"starlingusher/choice"
	"starlingusher/fleet/catalog"
	"starlingusher/internal/wire"
)

var phases = map[string]choice.Phase{
	catalog.Serving: choice.Ready, catalog.Draining: choice.Draining, catalog.Deleted: choice.Gone,
}

// entries converts a list of endpoints for package choice. An endpoint with an unknown phase counts as
// draining.
func entries(members []catalog.Endpoint, names wire.Names) []choice.Entry {
	out := make([]choice.Entry, 0, len(members))
	for _, m := range members {
		phase, ok := phases[m.Phase]
		if !ok {
			phase = choice.Draining
		}
		zone := slices.Index(names.Zones, m.Locality)
		if zone < 0 { // not in the settings; two unknown zones may differ, and a repeat must not go from one to the other
			zone = -1 - int(crc32.ChecksumIEEE([]byte(m.Locality)))
		}
		out = append(out, choice.Entry{
			Endpoint: m.ID, Zone: zone, Kind: slices.Index(names.Kinds, m.Flavor),
			Dest: m.Cell, Phase: phase, Weight: m.Size,
		})
	}
	return out
}

// endpoint is what calls need to know of an endpoint. The node's event loop writes it, and calls in flight
// read it.
type endpoint struct {
	id, addr string
	zone     int
	maxBatch int         // maximum number of messages in one call
	closed   atomic.Bool // it drains, has left the list or is disabled by an operator
	wait     *callWait   // shared by all endpoints of the route
}

// closedAt reports whether no new call may be made to the endpoint at a given time.
func (e *endpoint) closedAt(now time.Time) bool {
	return e.closed.Load() || now.Before(e.wait.end())
}

// callWait is the time until which a route gets no calls, as an answer of it has asked. It is safe for
// concurrent use.
type callWait struct{ until atomicTime }

// end returns when the wait ends; the zero time if there never was one.
func (w *callWait) end() time.Time { return w.until.Load() }

// extend makes the wait last until a time with a monotonic reading, unless it lasts longer already.
func (w *callWait) extend(until time.Time) {
	for {
		current := w.until.value.Load()
		if current != nil && !until.After(*current) || w.until.value.CompareAndSwap(current, &until) {
			return
		}
	}
}
