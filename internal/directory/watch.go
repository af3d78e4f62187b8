package directory

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"starlingusher/fleet/ownership"
	"starlingusher/internal/registry"
)

const (
	heartbeat  = 2 * time.Second // an empty line, as long as nothing changes
	sweepEvery = 500 * time.Millisecond
	writeLimit = 10 * time.Second // for one write to go on its way
)

// watcher is one open watch. Its request's goroutine writes to it; the sweep may cut it.
type watcher struct {
	at   atomic.Int64 // the revision that it has been written
	cut  atomic.Bool
	conn *http.ResponseController
}

// watches are all that are open.
type watches struct {
	wait sync.WaitGroup
	mu   sync.Mutex
	all  map[*watcher]bool
}

// add takes a watch in, if there is room.
func (w *watches) add(one *watcher, most int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.all) >= most {
		return false
	}
	w.all[one] = true
	w.wait.Add(1)
	return true
}

func (w *watches) remove(one *watcher) {
	w.mu.Lock()
	delete(w.all, one)
	w.mu.Unlock()
	w.wait.Done()
}

func (w *watches) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.all)
}

// sweep cuts the watches that are too far behind: their writes hang, and what they have not read is not kept for them.
func (w *watches) sweep(ctx context.Context, s *Server) {
	for registry.Sleep(ctx, sweepEvery) {
		oldest := s.r.ledger.oldest()
		w.mu.Lock()
		for one := range w.all {
			if one.at.Load() < oldest && !one.cut.Swap(true) {
				one.conn.SetWriteDeadline(time.Now())
				s.metrics.cut("lag")
			}
		}
		w.mu.Unlock()
	}
}

// oldest is the revision up to which a watch must have come: the lines after it are kept.
func (l *ledger) oldest() int64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.state.Revision() - int64(len(l.lines))
}

// watch tells a caller what changes, in some partitions or, if there are none, of the whole list, until one of the two ends it.
func (s *Server) watch(w http.ResponseWriter, req *http.Request, after int64, parts *ownership.Set) {
	one := &watcher{conn: http.NewResponseController(w)}
	var body []byte
	var at position
	var number int64 // of the map, as the watcher was told it
	var err error
	if parts != nil {
		body, at, number, err = s.r.ledger.part(after, parts)
	} else {
		body, at, _, err = s.r.ledger.list(after)
	}
	if err != nil {
		wrong(w, http.StatusInternalServerError, err)
		return
	}
	one.at.Store(at.revision)
	if !s.watches.add(one, s.r.cfg.Watch.Most) {
		s.metrics.asked("refused")
		later(w, 5*time.Second, "as many watches as this replica takes are open")
		return
	}
	defer s.watches.remove(one)
	s.mark(w, at)
	if parts != nil {
		markPart(w, number)
	}
	write := func(lines ...[]byte) bool {
		if one.cut.Load() || one.conn.SetWriteDeadline(time.Now().Add(writeLimit)) != nil || one.cut.Load() {
			return false
		}
		for _, l := range lines {
			if _, err := w.Write(l); err != nil {
				return false
			}
		}
		return one.conn.Flush() == nil
	}
	if !write(body) {
		return
	}
	beat := time.NewTimer(heartbeat)
	defer beat.Stop()
	told := at.revision
	for {
		lines, has, news, ok := s.r.ledger.since(at)
		if !ok { // another history, or too far behind
			s.metrics.cut("position")
			return
		}
		if len(lines) > 0 {
			for _, l := range lines {
				body := l.body
				if parts != nil {
					if body, err = l.part.of(parts); err != nil {
						s.metrics.cut("position") // the next ask gets the whole list of them
						return
					}
				}
				if body != nil {
					if !write(body) {
						return
					}
					told, number = l.revision, max(number, l.part.number)
					beat.Reset(heartbeat)
				}
				one.at.Store(l.revision)
			}
			at.revision = lines[len(lines)-1].revision
			continue
		}
		if parts != nil && has > number {
			if !write(carryOn(at.revision, has)) {
				return
			}
			told, number = at.revision, has
			beat.Reset(heartbeat)
		}
		select {
		case <-news:
		case <-beat.C:
			sign := []byte("\n")
			if told < at.revision { // by changes that touched none of its partitions
				sign, told = carryOn(at.revision, number), at.revision
			}
			if !write(sign) {
				return
			}
			beat.Reset(heartbeat)
		case <-req.Context().Done():
			return
		}
	}
}

// Watching is how many watches are open.
func (s *Server) Watching() int { return s.watches.count() }
