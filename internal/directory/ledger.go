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

// maxLines is how many encoded changes are kept for watches that are behind, beside the bound in bytes.
const maxLines = 4096

// line is one change as every watch is told it.
type line struct {
	revision int64
	body     []byte
	end      int64 // bytes of all lines up to this one
	part     *partLine
}

// ledger is the replicated state in this process, and its encodings, each made once. Raft alone writes to it; everyone
// reads it.
type ledger struct {
	lag  int64 // bytes of lines that are kept
	fail func(error)

	mu      sync.RWMutex
	state   *catalog.State
	news    chan struct{} // closed when the state changes
	lines   []line        // appended to, and cut at the front; what a slice of it shows never changes
	total   int64         // bytes of all lines ever
	whole   []byte        // the whole list's encoding; nil: not made since the last change
	resumes map[int64][]byte
	mapped  mapState
}

func newLedger(lag int64, fail func(error)) *ledger {
	return &ledger{lag: lag, fail: fail, state: catalog.New(), news: make(chan struct{}), resumes: map[int64][]byte{}}
}

// Apply carries out a command of the log.
func (l *ledger) Apply(entry *raft.Log) any {
	var c catalog.Command
	if err := unseal(commandMark, entry.Data, &c); err != nil {
		err = fmt.Errorf("entry %d of the log: %w", entry.Index, err)
		l.fail(err) // this replica can't go on; the others' logs are their own
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

// setsMap tells whether a command may have written the record of the map of partitions.
func setsMap(h *catalog.Hold) bool { return h != nil && h.Name == ownership.RecordName }

// publish encodes what changed for all watches; the lock is held.
func (l *ledger) publish(before int64) {
	l.whole = nil
	clear(l.resumes)
	changes, _ := l.state.Changes(before)
	for _, c := range changes {
		body, err := json.Marshal(catalog.List{Revision: c.Revision, Members: c.Members})
		if err != nil {
			l.fail(fmt.Errorf("revision %d: %w", c.Revision, err))
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

// begin forgets all encodings: the state is another one. The lock is held.
func (l *ledger) begin() {
	l.whole, l.lines = nil, nil
	clear(l.resumes)
}

func (l *ledger) wake() {
	close(l.news)
	l.news = make(chan struct{})
}

// Snapshot takes the state as it is.
func (l *ledger) Snapshot() (raft.FSMSnapshot, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return image(l.state.Image()), nil
}

// Restore takes the state of a snapshot.
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
	if _, all := state.Changes(before); history == state.History() && all && before <= state.Revision() && before > 0 {
		l.publish(before) // watches go on
	} else {
		l.begin()
	}
	l.wake()
	return nil
}

type image catalog.Image

// Persist writes a snapshot.
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

// Release has nothing to let go of.
func (image) Release() {}

// position is how far a caller is.
type position struct{ history, revision int64 }

// at is how far the ledger is, and what is closed when that changes.
func (l *ledger) at() (position, <-chan struct{}) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return position{l.state.History(), l.state.Revision()}, l.news
}

// list encodes the list as of now: what changed after a revision, or the whole list.
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
	list := l.state.Whole()
	if after > 0 {
		list = l.state.Since(after)
	}
	if body, err = json.Marshal(list); err != nil {
		return nil, at, false, fmt.Errorf("list: %w", err)
	}
	body = append(body, '\n')
	if list.Complete {
		l.whole = body
		if after > 0 && after <= at.revision && len(l.resumes) < maxLines {
			l.resumes[after] = nil // known to need the whole list
		}
	} else if len(l.resumes) < maxLines {
		l.resumes[after] = body
	}
	return body, at, list.Complete, nil
}

// cached finds an encoding; the lock is held.
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

// since are the lines after a position, the number of the map of partitions, and what is closed when there are more. It is false for a position of another
// history, or one so far back that its lines are not kept: such a watch is cut.
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

// read lets a function look at the state, which it must not keep.
func (l *ledger) read(look func(*catalog.State)) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	look(l.state)
}
