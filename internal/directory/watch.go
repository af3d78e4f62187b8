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
	heartbeat  = 2 * time.Second // an empty line is sent if nothing changes for so long
	sweepEvery = 500 * time.Millisecond
	writeLimit = 10 * time.Second // for a single write
)

// watchConn is one open watch. The goroutine of its request writes to it; cutLagging may end it.
type watcher struct {
	at   atomic.Int64 // last revision written to it
	cut  atomic.Bool
	conn *http.ResponseController
}

// watchSet is the set of open watches.
type watches struct {
	wait sync.WaitGroup
	mu   sync.Mutex
	all  map[*watcher]bool
}

// add adds a watch if the limit allows it.
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

// cutLagging ends watches whose next lines are no longer kept. Their writes block because the client does not
// read.
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

// oldestResumable returns the revision that a watch must have reached, because only later lines are kept.
func (l *ledger) oldest() int64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.state.Revision() - int64(len(l.lines))
}

// serveWatch sends the changes in some partitions, or of the whole list if parts is nil, until either side
// ends the watch.
func (s *Server) watch(w http.ResponseWriter, req *http.Request, after int64, parts *ownership.Set) {
	one := &watcher{conn: http.NewResponseController(w)}
	var body []byte
	var at position
	var number int64 // of the partition map that was sent last
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
	if !s.watches.add(one, s.r.cfg.Watch.MaxOpen) {
		s.metrics.asked("refused")
		later(w, 5*time.Second, "the limit of open watches is reached")
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
						s.metrics.cut("position") // the client's next request gets the complete list of its partitions
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
			if told < at.revision { // by changes outside of its partitions
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

// WatchCount returns the number of open watches.
func (s *Server) WatchCount() int { return s.watches.count() }
