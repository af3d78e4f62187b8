package directory

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"

	"starlingusher/fleet/catalog"
	"starlingusher/fleet/ownership"
)

// errMovesUnknown reports a change from a snapshot of an older build, which does not record which endpoints
// left a partition.
var errMovesUnknown = errors.New("a change of an older build does not tell which endpoints left a partition")

// partitionLine is one change for watches of some partitions. Its effect on each partition is computed and
// encoded once, when a watch first needs it. It is safe for concurrent use.
type partitionLine struct {
	change    catalog.Change // shares its members with the state, which never modifies them
	mapNumber int64          // of the ownership map when the change was made

	split      sync.Once
	movesKnown bool
	pieces     []*linePiece
}

// linePiece is the effect of a change on one partition.
type linePiece struct {
	catalog.PartitionChange
	encode sync.Once
	body   []byte // encoded endpoints, separated by commas
	line   []byte // the complete line, if the change has only this piece
	err    error
}

func (p *linePiece) appliesTo(set *ownership.Set) bool {
	return set.Has(p.Partition) && (p.UnlessFollowing < 0 || !set.Has(p.UnlessFollowing))
}

// encodeFor returns the line for watches of some partitions, or nil if the change does not affect them. Its
// cost grows with the number of partitions that the change affects; no encoding is made for a single watch
// only.
func (l *partitionLine) encodeFor(set *ownership.Set) ([]byte, error) {
	l.split.Do(func() {
		var parts []catalog.PartitionChange
		parts, l.movesKnown = l.change.ByPartition()
		for _, p := range parts {
			l.pieces = append(l.pieces, &linePiece{PartitionChange: p})
		}
	})
	if !l.movesKnown {
		return nil, errMovesUnknown
	}
	var line []byte
	for _, p := range l.pieces {
		if !p.appliesTo(set) {
			continue
		}
		p.encode.Do(func() {
			if p.body, p.err = json.Marshal(p.Members); p.err == nil {
				p.body = p.body[1 : len(p.body)-1]
			}
			if len(l.pieces) == 1 {
				p.line = l.finishLine(append(l.newLine(len(p.body)), p.body...))
			}
		})
		switch {
		case p.err != nil:
			return nil, fmt.Errorf("encoding revision %d: %w", l.change.Revision, p.err)
		case p.line != nil:
			return p.line, nil
		case line == nil:
			line = l.newLine(len(p.body))
		default:
			line = append(line, ',')
		}
		line = append(line, p.body...)
	}
	if line == nil {
		return nil, nil
	}
	return l.finishLine(line), nil
}

// newLine and finishLine build a line in the format in which encoding/json writes a catalog.List.
func (l *partitionLine) newLine(size int) []byte {
	out := make([]byte, 0, size+100)
	out = append(out, `{"revision":`...)
	out = strconv.AppendInt(out, l.change.Revision, 10)
	return append(out, `,"complete":false,"members":[`...)
}

func (l *partitionLine) finishLine(out []byte) []byte {
	out = append(out, ']')
	if l.mapNumber != 0 {
		out = append(out, `,"map":`...)
		out = strconv.AppendInt(out, l.mapNumber, 10)
	}
	return append(out, "}\n"...)
}

// emptyUpdate returns a line without members. It announces the revision and the map number.
func emptyUpdate(revision, mapNumber int64) []byte {
	line := (&partitionLine{change: catalog.Change{Revision: revision}, mapNumber: mapNumber})
	return line.finishLine(line.newLine(0))
}

// encodePartitions encodes the list of some partitions: the changes after a revision, or the complete list if
// it is 0. It also returns the map number.
func (f *fsm) encodePartitions(after int64, set *ownership.Set) (body []byte, pos position, mapNumber int64, err error) {
	var list catalog.List
	f.mu.RLock()
	pos = position{f.state.History(), f.state.Revision()}
	if after > 0 {
		list = f.state.PartitionListSince(after, *set)
	} else {
		list = f.state.PartitionList(*set)
	}
	list.Map = f.mapStatus.number
	f.mu.RUnlock()
	if body, err = json.Marshal(list); err != nil {
		return nil, pos, 0, fmt.Errorf("encoding the list: %w", err)
	}
	return append(body, '\n'), pos, list.Map, nil
}

// mapStatus is this replica's knowledge of the ownership map. It depends on the record's values so far.
type mapStatus struct {
	history int64  // that the map belongs to
	number  int64  // of the newest valid map; 0: none
	invalid string // why the record's current value is not in force; empty if it is, or if there is none
}

// updateMap reads the record of the ownership map. It ignores a value that is invalid or has a smaller
// number, so the older map stays in force. The caller holds the lock.
func (f *fsm) updateMap() {
	if h := f.state.History(); h != f.mapStatus.history {
		f.mapStatus = mapStatus{history: h}
	}
	r, ok := f.state.Record(ownership.RecordName)
	if !ok || len(r.Value) == 0 && f.mapStatus.number == 0 { // not written yet
		f.mapStatus.invalid = ""
		return
	}
	m, err := ownership.Decode(r.Value)
	switch {
	case err != nil:
		f.mapStatus.invalid = singleLine(err)
	case m.Number < f.mapStatus.number:
		f.mapStatus.invalid = fmt.Sprintf("map number %d after %d", m.Number, f.mapStatus.number)
	default:
		f.mapStatus.number, f.mapStatus.invalid = m.Number, ""
	}
}

// currentMap returns this replica's knowledge of the ownership map.
func (f *fsm) currentMap() mapStatus {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.mapStatus
}

// validateMap checks whether a value may be written to the record of the map: it must be a valid map with a
// new, larger number. Only the leader can tell, once it has applied everything committed before.
func (f *fsm) validateMap(value []byte) error {
	m, err := ownership.Decode(value)
	if err != nil {
		return fmt.Errorf("record %s: %w", ownership.RecordName, err)
	}
	if current := f.currentMap().number; m.Number <= current {
		return fmt.Errorf("record %s: map number %d is not above the current %d", ownership.RecordName, m.Number, current)
	}
	return nil
}
