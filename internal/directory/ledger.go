package directory

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"starlingusher/fleet/catalog"
	"starlingusher/fleet/ownership"
)

// maxLines bounds the encoded changes kept for watches that lag, in addition to the bound in bytes.
const maxLines = 4096

// changeLine is one change as it is sent to watches of the whole list.
type line struct {
	revision int64
	body     []byte
	end      int64 // bytes of all lines up to the end of this one
	part     *partLine
}

// fsm is Raft's state machine in this process, with the state's encodings, each of which is made once. Only
// Raft writes to it.
type ledger struct {
	lag  int64 // limit on kept lines
	fail func(error)

	mu      sync.RWMutex
	state   *catalog.State
	news    chan struct{} // closed on the next change of the state
	lines   []line        // only appended to, or cut at the front, so slices of it stay valid
	total   int64         // bytes of all lines ever made
	whole   []byte        // encoding of the complete list; nil: not made since the last change
	resumes map[int64][]byte
	mapped  mapState
}

func newLedger(lag int64, fail func(error)) *ledger {
	return &ledger{lag: lag, fail: fail, state: catalog.New(), news: make(chan struct{}), resumes: map[int64][]byte{}}
}

// Apply applies a log entry.
func (l *ledger) Apply(entry *raft.Log) any {
	var c catalog.Command
	if err := unseal(commandMark, entry.Data, &c); err != nil {
		err = fmt.Errorf("log entry %d: %w", entry.Index, err)
		l.fail(err) // this replica can't continue; other replicas read their own logs
		return catalog.Result{Err: err}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	history, before := l.state.History(), l.state.Revision()
	r := l.state.Apply(c)
	if setsMap(c.Acquire) || setsMap(c.Update) || l.state.History() != history {
		l.readMap()
	}
	switch {
	case l.state.History() != history:
		l.begin()
	case l.state.Revision() != before:
		l.publish(before)
	}
	l.wake()
	return r
}

// isMapRecord reports whether an operation may have changed the record of the partition map.
func setsMap(h *catalog.RecordOp) bool { return h != nil && h.Name == ownership.RecordName }

// encodeChanges encodes the changes after a revision for the watches. The caller holds the lock.
func (l *ledger) publish(before int64) {
	l.whole = nil
	clear(l.resumes)
	changes, _ := l.state.ChangesAfter(before)
	for _, c := range changes {
		body, err := json.Marshal(catalog.List{Revision: c.Revision, Members: c.Members})
		if err != nil {
			l.fail(fmt.Errorf("encoding revision %d: %w", c.Revision, err))
			return
		}
		body = append(body, '\n')
		l.total += int64(len(body))
		l.lines = append(l.lines, line{c.Revision, body, l.total, &partLine{change: c, number: l.mapped.number}})
	}
	drop := 0
	for drop < len(l.lines)-1 && (len(l.lines)-drop > maxLines || l.total-l.lines[drop].end > l.lag) {
		drop++
	}
	l.lines = l.lines[drop:]
}

// dropEncodings discards all encodings, because the state was replaced. The caller holds the lock.
func (l *ledger) begin() {
	l.whole, l.lines = nil, nil
	clear(l.resumes)
}

func (l *ledger) wake() {
	close(l.news)
	l.news = make(chan struct{})
}

// Snapshot returns a snapshot of the state.
func (l *ledger) Snapshot() (raft.FSMSnapshot, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return image(l.state.Image()), nil
}

// Restore replaces the state by that of a snapshot.
func (l *ledger) Restore(r io.ReadCloser) error {
	defer r.Close()
	i, err := DecodeBackup(r)
	if err != nil {
		return err
	}
	state, err := catalog.Load(i)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	history, before := l.state.History(), l.state.Revision()
	l.state = state
	l.readMap()
	if _, all := state.ChangesAfter(before); history == state.History() && all && before <= state.Revision() && before > 0 {
		l.publish(before) // watches continue
	} else {
		l.begin()
	}
	l.wake()
	return nil
}

type image catalog.Image

// Persist writes the snapshot.
func (i image) Persist(sink raft.SnapshotSink) error {
	raw, err := EncodeBackup(catalog.Image(i))
	if err == nil {
		_, err = sink.Write(raw)
	}
	if err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release does nothing.
func (image) Release() {}

// position is a revision and the history that it belongs to.
type position struct{ history, revision int64 }

// position returns the current position, and a channel that is closed when the state changes.
func (l *ledger) at() (position, <-chan struct{}) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return position{l.state.History(), l.state.Revision()}, l.news
}

// encodeList encodes the changes after a revision, or the complete list.
func (l *ledger) list(after int64) (body []byte, at position, complete bool, err error) {
	l.mu.RLock()
	at = position{l.state.History(), l.state.Revision()}
	body, complete = l.cached(after)
	l.mu.RUnlock()
	if body != nil {
		return body, at, complete, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	at = position{l.state.History(), l.state.Revision()}
	if body, complete = l.cached(after); body != nil {
		return body, at, complete, nil
	}
	list := l.state.FullList()
	if after > 0 {
		list = l.state.ListSince(after)
	}
	if body, err = json.Marshal(list); err != nil {
		return nil, at, false, fmt.Errorf("encoding the list: %w", err)
	}
	body = append(body, '\n')
	if list.Complete {
		l.whole = body
		if after > 0 && after <= at.revision && len(l.resumes) < maxLines {
			l.resumes[after] = nil // this revision is known to need the complete list
		}
	} else if len(l.resumes) < maxLines {
		l.resumes[after] = body
	}
	return body, at, list.Complete, nil
}

// cachedList returns a cached encoding. The caller holds the lock.
func (l *ledger) cached(after int64) ([]byte, bool) {
	if after <= 0 || after > l.state.Revision() {
		return l.whole, true
	}
	if body, ok := l.resumes[after]; ok && body == nil {
		return l.whole, true
	} else if ok {
		return body, false
	}
	return nil, false
}

// linesAfter returns the lines after a position, the number of the partition map, and a channel that is
// closed when there are more. It returns false if the position belongs to another history, or its lines are
// no longer kept; such a watch is cut.
func (l *ledger) since(p position) ([]line, int64, <-chan struct{}, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	switch behind := l.state.Revision() - p.revision; {
	case l.state.History() != p.history || behind < 0 || behind > int64(len(l.lines)):
		return nil, 0, nil, false
	default:
		return l.lines[int64(len(l.lines))-behind:], l.mapped.number, l.news, true
	}
}

// view calls a function with the state, which it must not retain.
func (l *ledger) read(look func(*catalog.State)) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	look(l.state)
}
