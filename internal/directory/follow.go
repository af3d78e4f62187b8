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

// sourceSilence is after how much silence of its source the list can't be vouched for any more: two of its empty lines
// did not come.
const sourceSilence = 6 * time.Second

// takeOver follows the platform's discovery for as long as this replica leads, and has each change agreed on. While
// the source is silent the list stands as it is, marked.
func (r *Replica) takeOver(ctx context.Context) {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	var mu sync.Mutex
	heard := time.Now()
	w := registry.Watcher{
		Addresses: []string{r.cfg.Follow.Discovery}, Nodes: 1, Client: &http.Client{Transport: transport}, Log: r.log,
		Track: registry.NewTrack(registry.Position{}), // a new leader asks for all there is
		Heard: func() {
			mu.Lock()
			heard = time.Now()
			mu.Unlock()
		},
	}
	var marks sync.WaitGroup
	defer marks.Wait()
	marks.Go(func() {
		for registry.Sleep(ctx, tick) {
			mu.Lock()
			silent := time.Since(heard) > sourceSilence
			mu.Unlock()
			var marked bool
			r.ledger.read(func(s *catalog.State) { marked = s.Silent() > 0 })
			if silent != marked {
				r.log.Warn("the source of the list", "discovery", r.cfg.Follow.Discovery, "silent", silent)
				if _, err := r.propose(catalog.Command{By: r.cfg.ID, Vouch: &catalog.Vouch{Silent: silent}}); err != nil {
					r.log.Warn("the mark could not be agreed on", "err", err)
					registry.Sleep(ctx, time.Second)
				}
			}
		}
	})
	w.Watch(ctx, func(n registry.News) error {
		wr := catalog.Write{Base: catalog.Base{Any: true}, Whole: n.Complete, Members: n.Members, Guard: r.cfg.Guard.Share, Most: int64(r.cfg.List.Most), Why: "told by " + n.From}
		res, err := r.propose(catalog.Command{By: "follow", Write: &wr})
		if errors.Is(res.Err, catalog.ErrHeld) {
			r.log.Warn("held back until confirmed", "held", res.Held, "err", res.Err)
			return nil
		}
		return errors.Join(err, res.Err) // the watch begins again, with all there is
	})
}
