package directory

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/internal/registry"
	"starlingusher/internal/sysretry"
)

// sourceTimeout is the silence after which the source counts as lost: two of its heartbeats are missing.
const sourceTimeout = 6 * time.Second

// followSource copies the list of the platform's discovery while this replica leads, and proposes each
// change. While the source is silent the list stays as it is, and is marked.
func (r *Replica) followSource(ctx context.Context) {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	heard := newSourceClock()
	var marking sync.WaitGroup
	defer marking.Wait()
	marking.Go(func() { r.markSilence(ctx, heard) })
	for ctx.Err() == nil {
		r.followHistory(ctx, &http.Client{Transport: transport}, heard)
	}
}

// sourceClock remembers when the source was last heard.
type sourceClock struct {
	mu sync.Mutex
	at time.Time
}

func newSourceClock() *sourceClock { return &sourceClock{at: time.Now()} }

func (c *sourceClock) hear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = time.Now()
}

func (c *sourceClock) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.at) > sourceTimeout
}

// markSilence proposes the mark of a silent source, and its end.
func (r *Replica) markSilence(ctx context.Context, heard *sourceClock) {
	for sysretry.Sleep(ctx, pollInterval) {
		silent := heard.isSilent()
		var marked bool
		r.fsm.view(func(s *catalog.State) { marked = s.SourceSilentSince() > 0 })
		if silent == marked {
			continue
		}
		r.log.Warn("the source of the list became silent or active", "discovery", r.cfg.Source.Discovery, "silent", silent)
		if _, err := r.propose(catalog.Command{By: r.cfg.ID, SourceStatus: &catalog.SourceStatus{Silent: silent}}); err != nil {
			r.log.Warn("marking the list failed", "err", err)
			sysretry.Sleep(ctx, time.Second)
		}
	}
}

// followHistory watches the source until a restore begins another history, whose list is not the source's. It requests the
// complete list first.
func (r *Replica) followHistory(ctx context.Context, client *http.Client, heard *sourceClock) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var waiting sync.WaitGroup
	defer waiting.Wait()
	at, _ := r.fsm.position()
	waiting.Go(func() {
		r.awaitNewHistory(ctx, at.history)
		cancel()
	})
	w := registry.Watcher{
		Addresses: []string{r.cfg.Source.Discovery}, FleetSize: 1, Client: client, Log: r.log, Cursor: registry.NewCursor(registry.Position{}), OnLine: heard.hear,
	}
	w.Watch(ctx, r.copyUpdate)
	cancel()
}

// awaitNewHistory waits until the state belongs to another history.
func (r *Replica) awaitNewHistory(ctx context.Context, history int64) {
	for {
		at, changed := r.fsm.position()
		if at.history != history {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// copyUpdate proposes an update of the source's list. After an error the watch restarts with the complete list.
func (r *Replica) copyUpdate(n registry.Update) error {
	write := catalog.Write{Base: catalog.Base{Any: true}, Replace: n.Complete, Members: n.Members, GuardShare: r.cfg.Guard.MaxRemovedShare, MaxEndpoints: int64(r.cfg.List.MaxEndpoints), Reason: "told by " + n.Server}
	res, err := r.propose(catalog.Command{By: "follow", Write: &write})
	if errors.Is(res.Err, catalog.ErrHeld) {
		r.log.Warn("write held back until confirmed", "held", res.Held, "err", res.Err)
		return nil
	}
	return errors.Join(err, res.Err)
}
