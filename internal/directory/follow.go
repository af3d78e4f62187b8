package directory

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/internal/registry"
)

// sourceTimeout is the silence after which the source counts as lost: two of its heartbeats are missing.
const sourceTimeout = 6 * time.Second

// followSource copies the list of the platform's discovery while this replica leads, and proposes each
// change. While the source is silent the list stays as it is, and is marked.
func (r *Replica) followSource(ctx context.Context) {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	var mu sync.Mutex
	lastHeard := time.Now()
	w := registry.Watcher{
		Addresses: []string{r.cfg.Source.Discovery}, FleetSize: 1, Client: &http.Client{Transport: transport}, Log: r.log,
		Cursor: registry.NewCursor(registry.Position{}), // a new leader requests the complete list
		OnLine: func() {
			mu.Lock()
			lastHeard = time.Now()
			mu.Unlock()
		},
	}
	var marking sync.WaitGroup
	defer marking.Wait()
	marking.Go(func() {
		for registry.Sleep(ctx, pollInterval) {
			mu.Lock()
			silent := time.Since(lastHeard) > sourceTimeout
			mu.Unlock()
			var marked bool
			r.fsm.view(func(s *catalog.State) { marked = s.SourceSilentSince() > 0 })
			if silent != marked {
				r.log.Warn("the source of the list became silent or active", "discovery", r.cfg.Source.Discovery, "silent", silent)
				if _, err := r.propose(catalog.Command{By: r.cfg.ID, SourceStatus: &catalog.SourceStatus{Silent: silent}}); err != nil {
					r.log.Warn("marking the list failed", "err", err)
					registry.Sleep(ctx, time.Second)
				}
			}
		}
	})
	w.Watch(ctx, func(n registry.Update) error {
		write := catalog.Write{Base: catalog.Base{Any: true}, Replace: n.Complete, Members: n.Members, GuardShare: r.cfg.Guard.MaxRemovedShare, MaxEndpoints: int64(r.cfg.List.MaxEndpoints), Reason: "told by " + n.Server}
		res, err := r.propose(catalog.Command{By: "follow", Write: &write})
		if errors.Is(res.Err, catalog.ErrHeld) {
			r.log.Warn("write held back until confirmed", "held", res.Held, "err", res.Err)
			return nil
		}
		return errors.Join(err, res.Err) // the watch restarts with the complete list
	})
}
