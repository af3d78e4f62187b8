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
var errPast = errors.New("a change of an older build does not tell which endpoints left a partition")

// partitionLine is one change for watches of some partitions. Its effect on each partition is computed and
// encoded once, when a watch first needs it. It is safe for concurrent use.
type partLine struct {
	change catalog.Change // shares its members with the state, which never modifies them
	number int64          // of the partition map when the change was made

	split  sync.Once
	known  bool
	pieces []*piece
}

// linePiece is the effect of a change on one partition.
type piece struct {
	catalog.PartitionChange
	encode sync.Once
	body   []byte // encoded endpoints, separated by commas
	line   []byte // the complete line, if the change has only this piece
	err    error
}

func (p *piece) isFor(set *ownership.Set) bool {
	return set.Has(p.Partition) && (p.UnlessFollowing < 0 || !set.Has(p.UnlessFollowing))
}

// encodeFor returns the line for watches of some partitions, or nil if the change does not affect them. Its
// cost grows with the number of partitions that the change affects; no encoding is made for a single watch
// only.
func (l *partLine) of(set *ownership.Set) ([]byte, error) {
	l.split.Do(func() {
		var parts []catalog.PartitionChange
		parts, l.known = l.change.ByPartition()
		for _, p := range parts {
			l.pieces = append(l.pieces, &piece{PartitionChange: p})
		}
	})
	if !l.known {
		return nil, errPast
	}
	var out []byte
	for _, p := range l.pieces {
		if !p.isFor(set) {
			continue
		}
		p.encode.Do(func() {
			if p.body, p.err = json.Marshal(p.Members); p.err == nil {
				p.body = p.body[1 : len(p.body)-1]
			}
			if len(l.pieces) == 1 {
				p.line = l.end(append(l.begin(len(p.body)), p.body...))
			}
		})
		switch {
		case p.err != nil:
			return nil, fmt.Errorf("encoding revision %d: %w", l.change.Revision, p.err)
		case p.line != nil:
			return p.line, nil
		case out == nil:
			out = l.begin(len(p.body))
		default:
			out = append(out, ',')
		}
		out = append(out, p.body...)
	}
	if out == nil {
		return nil, nil
	}
	return l.end(out), nil
}

// newLine and finishLine build a line in the format in which encoding/json writes a catalog.List.
func (l *partLine) begin(size int) []byte {
	out := make([]byte, 0, size+100)
	out = append(out, `{"revision":`...)
	out = strconv.AppendInt(out, l.change.Revision, 10)
	return append(out, `,"complete":false,"members":[`...)
}

func (l *partLine) end(out []byte) []byte {
	out = append(out, ']')
	if l.number != 0 {
		out = append(out, `,"map":`...)
		out = strconv.AppendInt(out, l.number, 10)
	}
	return append(out, "}\n"...)
}

// emptyUpdate returns a line without members. It announces the revision and the map number.
func carryOn(revision, number int64) []byte {
	out := (&partLine{change: catalog.Change{Revision: revision}, number: number})
	return out.end(out.begin(0))
}

// encodePartitions encodes the list of some partitions: the changes after a revision, or the complete list if
// it is 0. It also returns the map number.
func (l *ledger) part(after int64, set *ownership.Set) (body []byte, at position, number int64, err error) {
	var list catalog.List
	l.mu.RLock()
	at = position{l.state.History(), l.state.Revision()}
	if after > 0 {
		list = l.state.PartitionListSince(after, *set)
	} else {
		list = l.state.PartitionList(*set)
	}
	list.Map = l.mapped.number
	l.mu.RUnlock()
	if body, err = json.Marshal(list); err != nil {
		return nil, at, 0, fmt.Errorf("encoding the list: %w", err)
	}
	return append(body, '\n'), at, list.Map, nil
}

// mapStatus is this replica's knowledge of the partition map. It depends on the record's values so far.
type mapState struct {
	history int64  // that the map belongs to
	number  int64  // of the newest valid map; 0: none
	wrong   string // why the record's current value is not in force; empty if it is, or if there is none
}

// updateMap reads the record of the partition map. It ignores a value that is invalid or has a smaller
// number, so the older map stays in force. The caller holds the lock.
func (l *ledger) readMap() {
	if h := l.state.History(); h != l.mapped.history {
		l.mapped = mapState{history: h}
	}
	r, ok := l.state.Record(ownership.RecordName)
	if !ok || len(r.Value) == 0 && l.mapped.number == 0 { // not written yet
		l.mapped.wrong = ""
		return
	}
	m, err := ownership.Decode(r.Value)
	switch {
	case err != nil:
		l.mapped.wrong = oneLine(err)
	case m.Number < l.mapped.number:
		l.mapped.wrong = fmt.Sprintf("map number %d after %d", m.Number, l.mapped.number)
	default:
		l.mapped.number, l.mapped.wrong = m.Number, ""
	}
}

// currentMap returns this replica's knowledge of the partition map.
func (l *ledger) theMap() mapState {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.mapped
}

// validateMap checks whether a value may be written to the record of the map: it must be a valid map with a
// new, larger number. Only the leader can tell, once it has applied everything committed before.
func (l *ledger) checkMap(value []byte) error {
	m, err := ownership.Decode(value)
	if err != nil {
		return fmt.Errorf("record %s: %w", ownership.RecordName, err)
	}
	if has := l.theMap().number; m.Number <= has {
		return fmt.Errorf("record %s: map number %d is not above the current %d", ownership.RecordName, m.Number, has)
	}
	return nil
}
