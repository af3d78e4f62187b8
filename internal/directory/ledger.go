package directory

import (
	"encoding/json"
	"errors"
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
type changeLine struct {
	revision    int64
	body        []byte
	endOffset   int64 // bytes of all lines up to the end of this one
	byPartition *partitionLine
}

// fsm is Raft's state machine in this process, with the state's encodings, each of which is made once. Only
// Raft writes to it.
type fsm struct {
	maxLineBytes int64 // limit on kept lines
	fail         func(error)
	skipped      func(error) // told of each command that can't be decoded

	mu         sync.RWMutex
	state      *catalog.State
	changed    chan struct{} // closed on the next change of the state
	lines      []changeLine  // only appended to, or cut at the front, so slices of it stay valid
	totalBytes int64         // bytes of all lines ever made
	fullList   []byte        // encoding of the complete list; nil: not made since the last change
	deltas     map[int64][]byte
	mapStatus  mapStatus
}

func newFSM(maxLineBytes int64, fail, skipped func(error)) *fsm {
	return &fsm{maxLineBytes: maxLineBytes, fail: fail, skipped: skipped, state: catalog.New(), changed: make(chan struct{}), deltas: map[int64][]byte{}}
}

// Apply applies a log entry. An entry that is intact and can't be decoded changes nothing, at this replica as at every other.
func (f *fsm) Apply(entry *raft.Log) any {
	var c catalog.Command
	if err := decodeWithChecksum(commandMark, entry.Data, &c); err != nil {
		err = fmt.Errorf("log entry %d: %w", entry.Index, err)
		if errors.Is(err, errUndecodable) {
			f.skipped(err)
			return catalog.Result{Err: fmt.Errorf("%w: %w", catalog.ErrInvalid, err)}
		}
		f.fail(err) // this replica can't continue; other replicas read their own logs
		return catalog.Result{Err: err}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	history, before := f.state.History(), f.state.Revision()
	r := f.state.Apply(c)
	if isMapRecord(c.Acquire) || isMapRecord(c.Update) || f.state.History() != history {
		f.updateMap()
	}
	switch {
	case f.state.History() != history:
		f.dropEncodings()
	case f.state.Revision() != before:
		f.encodeChanges(before)
	}
	f.notify()
	return r
}

// isMapRecord reports whether an operation may have changed the record of the ownership map.
func isMapRecord(h *catalog.RecordOp) bool { return h != nil && h.Name == ownership.RecordName }

// encodeChanges encodes the changes after a revision for the watches. The caller holds the lock.
func (f *fsm) encodeChanges(before int64) {
	f.fullList = nil
	clear(f.deltas)
	changes, _ := f.state.ChangesAfter(before)
	for _, c := range changes {
		body, err := json.Marshal(catalog.List{Revision: c.Revision, Members: c.Members})
		if err != nil {
			f.fail(fmt.Errorf("encoding revision %d: %w", c.Revision, err))
			return
		}
		body = append(body, '\n')
		f.totalBytes += int64(len(body))
		f.lines = append(f.lines, changeLine{c.Revision, body, f.totalBytes, &partitionLine{change: c, mapNumber: f.mapStatus.number}})
	}
	discarded := 0
	for discarded < len(f.lines)-1 && (len(f.lines)-discarded > maxLines || f.totalBytes-f.lines[discarded].endOffset > f.maxLineBytes) {
		discarded++
	}
	f.lines = f.lines[discarded:]
}

// dropEncodings discards all encodings, because the state was replaced. The caller holds the lock.
func (f *fsm) dropEncodings() {
	f.fullList, f.lines = nil, nil
	clear(f.deltas)
}

func (f *fsm) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Snapshot returns a snapshot of the state.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return snapshot(f.state.Image()), nil
}

// Restore replaces the state by that of a snapshot.
func (f *fsm) Restore(r io.ReadCloser) error {
	defer r.Close()
	image, err := DecodeBackup(r)
	if err != nil {
		return err
	}
	state, err := catalog.Load(image)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	history, before := f.state.History(), f.state.Revision()
	f.state = state
	f.updateMap()
	if _, complete := state.ChangesAfter(before); history == state.History() && complete && before <= state.Revision() && before > 0 {
		f.encodeChanges(before) // watches continue
	} else {
		f.dropEncodings()
	}
	f.notify()
	return nil
}

type snapshot catalog.Image

// Persist writes the snapshot.
func (i snapshot) Persist(sink raft.SnapshotSink) error {
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
func (snapshot) Release() {}

// position is a revision and the history that it belongs to.
type position struct{ history, revision int64 }

// position returns the current position, and a channel that is closed when the state changes.
func (f *fsm) position() (position, <-chan struct{}) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return position{f.state.History(), f.state.Revision()}, f.changed
}

// encodeList encodes the changes after a revision, or the complete list.
func (f *fsm) encodeList(after int64) (body []byte, pos position, complete bool, err error) {
	f.mu.RLock()
	pos = position{f.state.History(), f.state.Revision()}
	body, complete = f.cachedList(after)
	f.mu.RUnlock()
	if body != nil {
		return body, pos, complete, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	pos = position{f.state.History(), f.state.Revision()}
	if body, complete = f.cachedList(after); body != nil {
		return body, pos, complete, nil
	}
	list := f.state.FullList()
	if after > 0 {
		list = f.state.ListSince(after)
	}
	if body, err = json.Marshal(list); err != nil {
		return nil, pos, false, fmt.Errorf("encoding the list: %w", err)
	}
	body = append(body, '\n')
	if list.Complete {
		f.fullList = body
		if after > 0 && after <= pos.revision && len(f.deltas) < maxLines {
			f.deltas[after] = nil // this revision is known to need the complete list
		}
	} else if len(f.deltas) < maxLines {
		f.deltas[after] = body
	}
	return body, pos, list.Complete, nil
}

// cachedList returns a cached encoding. The caller holds the lock.
func (f *fsm) cachedList(after int64) ([]byte, bool) {
	if after <= 0 || after > f.state.Revision() {
		return f.fullList, true
	}
	if body, ok := f.deltas[after]; ok && body == nil {
		return f.fullList, true
	} else if ok {
		return body, false
	}
	return nil, false
}

// linesAfter returns the lines after a position, the number of the ownership map, and a channel that is
// closed when there are more. It returns false if the position belongs to another history, or its lines are
// no longer kept; such a watch is cut.
func (f *fsm) linesAfter(p position) ([]changeLine, int64, <-chan struct{}, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	switch behind := f.state.Revision() - p.revision; {
	case f.state.History() != p.history || behind < 0 || behind > int64(len(f.lines)):
		return nil, 0, nil, false
	default:
		return f.lines[int64(len(f.lines))-behind:], f.mapStatus.number, f.changed, true
	}
}

// view calls a function with the state, which it must not retain.
func (f *fsm) view(fn func(*catalog.State)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	fn(f.state)
}
