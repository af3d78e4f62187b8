package directory

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"starlingusher/fleet/ownership"
	"starlingusher/internal/sysretry"
)

const (
	heartbeatInterval = 2 * time.Second // an empty line is sent if nothing changes for so long
	sweepInterval     = 500 * time.Millisecond
	writeTimeout      = 10 * time.Second // for a single write
)

// watchConn is one open watch. The goroutine of its request writes to it; cutLagging may end it.
type watchConn struct {
	revision   atomic.Int64 // last revision written to it
	cut        atomic.Bool
	controller *http.ResponseController
}

// watchSet is the set of open watches.
type watchSet struct {
	running sync.WaitGroup
	mu      sync.Mutex
	all     map[*watchConn]bool
	closed  bool
}

// closeAndWait lets no further watch in, and waits for the end of those that are open. Closing the HTTP server does
// not wait for its handlers.
func (w *watchSet) closeAndWait() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.running.Wait()
}

// add adds a watch if the limit allows it and the set is not closed.
func (w *watchSet) add(conn *watchConn, limit int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.all) >= limit {
		return false
	}
	w.all[conn] = true
	w.running.Add(1)
	return true
}

func (w *watchSet) remove(conn *watchConn) {
	w.mu.Lock()
	delete(w.all, conn)
	w.mu.Unlock()
	w.running.Done()
}

func (w *watchSet) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.all)
}

// cutLagging ends watches whose next lines are no longer kept. Their writes block because the client does not
// read.
func (w *watchSet) cutLagging(ctx context.Context, s *Server) {
	for sysretry.Sleep(ctx, sweepInterval) {
		oldest := s.replica.fsm.oldestResumable()
		w.mu.Lock()
		for conn := range w.all {
			if conn.revision.Load() < oldest && !conn.cut.Swap(true) {
				conn.controller.SetWriteDeadline(time.Now())
				s.metrics.countCut("lag")
			}
		}
		w.mu.Unlock()
	}
}

// oldestResumable returns the revision that a watch must have reached, because only later lines are kept.
func (f *fsm) oldestResumable() int64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.state.Revision() - int64(len(f.lines))
}

// serveWatch sends the changes in some partitions, or of the whole list if set is nil, until either side
// ends the watch.
func (s *Server) serveWatch(w http.ResponseWriter, req *http.Request, after int64, set *ownership.Set) {
	conn := &watchConn{controller: http.NewResponseController(w)}
	var body []byte
	var pos position
	var mapNumber int64 // of the ownership map that was sent last
	var err error
	if set != nil {
		body, pos, mapNumber, err = s.replica.fsm.encodePartitions(after, set)
	} else {
		body, pos, _, err = s.replica.fsm.encodeList(after)
	}
	if err != nil {
		writeError(w, http.StatusInternalServerError, err)
		return
	}
	conn.revision.Store(pos.revision)
	if !s.watches.add(conn, s.replica.cfg.Watch.MaxOpen) {
		s.metrics.countRequest("refused")
		writeRetryLater(w, 5*time.Second, "the limit of open watches is reached")
		return
	}
	defer s.watches.remove(conn)
	s.setPositionHeaders(w, pos)
	if set != nil {
		setPartitionHeaders(w, mapNumber)
	}
	write := func(lines ...[]byte) bool {
		if conn.cut.Load() || conn.controller.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil || conn.cut.Load() {
			return false
		}
		for _, l := range lines {
			if _, err := w.Write(l); err != nil {
				return false
			}
		}
		return conn.controller.Flush() == nil
	}
	if !write(body) {
		return
	}
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	announced := pos.revision
	for {
		lines, currentMapNumber, changed, ok := s.replica.fsm.linesAfter(pos)
		if !ok { // another history, or too far behind
			s.metrics.countCut("position")
			return
		}
		if len(lines) > 0 {
			for _, l := range lines {
				body := l.body
				if set != nil {
					if body, err = l.byPartition.encodeFor(set); err != nil {
						s.metrics.countCut("position") // the client's next request gets the complete list of its partitions
						return
					}
				}
				if body != nil {
					if !write(body) {
						return
					}
					announced, mapNumber = l.revision, max(mapNumber, l.byPartition.mapNumber)
					heartbeat.Reset(heartbeatInterval)
				}
				conn.revision.Store(l.revision)
			}
			pos.revision = lines[len(lines)-1].revision
			continue
		}
		if set != nil && currentMapNumber > mapNumber {
			if !write(emptyUpdate(pos.revision, currentMapNumber)) {
				return
			}
			announced, mapNumber = pos.revision, currentMapNumber
			heartbeat.Reset(heartbeatInterval)
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			line := []byte("\n")
			if announced < pos.revision { // by changes outside of its partitions
				line, announced = emptyUpdate(pos.revision, mapNumber), pos.revision
			}
			if !write(line) {
				return
			}
			heartbeat.Reset(heartbeatInterval)
		case <-req.Context().Done():
			return
		}
	}
}

// WatchCount returns the number of open watches.
func (s *Server) WatchCount() int { return s.watches.count() }
