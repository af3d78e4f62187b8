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

// errPast says that a change came in an older build's snapshot, which does not tell who left a partition by it.
var errPast = errors.New("it is not known who left a partition by an older build's change")

// partLine is one change as the watches of some partitions are told it. What it means for a partition is found out and encoded
// once, when the first watch needs it. It is safe for use by several goroutines at once.
type partLine struct {
	change catalog.Change // its members are shared with the state, which never writes to them
	number int64          // of the map of partitions, as of then

	split  sync.Once
	known  bool
	pieces []*piece
}

// piece is what a change means for one partition.
type piece struct {
	catalog.ChangePart
	encode sync.Once
	body   []byte // the endpoints, with commas between
	line   []byte // the change's whole line, if this is its only piece
	err    error
}

func (p *piece) isFor(set *ownership.Set) bool {
	return set.Has(p.Partition) && (p.Unless < 0 || !set.Has(p.Unless))
}

// of is the change's line for those who follow some partitions; nil if it does not touch them. Its work grows with the
// partitions that the change touches; nothing is encoded for one watch alone.
func (l *partLine) of(set *ownership.Set) ([]byte, error) {
	l.split.Do(func() {
		var parts []catalog.ChangePart
		parts, l.known = l.change.Parts()
		for _, p := range parts {
			l.pieces = append(l.pieces, &piece{ChangePart: p})
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
			return nil, fmt.Errorf("revision %d: %w", l.change.Revision, p.err)
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

// begin and end put a line together as encoding/json writes a catalog.List.
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

// carryOn is a line without members: it tells the revision and the map's number.
func carryOn(revision, number int64) []byte {
	out := (&partLine{change: catalog.Change{Revision: revision}, number: number})
	return out.end(out.begin(0))
}

// part encodes the list of some partitions as of now: what changed after a revision, or all of it. It also tells the map's number.
func (l *ledger) part(after int64, set *ownership.Set) (body []byte, at position, number int64, err error) {
	var list catalog.List
	l.mu.RLock()
	at = position{l.state.History(), l.state.Revision()}
	if after > 0 {
		list = l.state.PartSince(after, *set)
	} else {
		list = l.state.Part(*set)
	}
	list.Map = l.mapped.number
	l.mu.RUnlock()
	if body, err = json.Marshal(list); err != nil {
		return nil, at, 0, fmt.Errorf("list: %w", err)
	}
	return append(body, '\n'), at, list.Map, nil
}

// mapState is what this replica has of the map of partitions: it follows from the record, and from what stood there before.
type mapState struct {
	history int64  // that it belongs to
	number  int64  // of the newest one that could be read; 0: none
	wrong   string // why the record's present value is not in force; empty: it is, or there is none
}

// readMap takes what the record of the map holds now. What can't be read, or has a smaller number, is passed over: the older map
// stays in force. The lock is held.
func (l *ledger) readMap() {
	if h := l.state.History(); h != l.mapped.history {
		l.mapped = mapState{history: h}
	}
	r, ok := l.state.Record(ownership.RecordName)
	if !ok || len(r.Value) == 0 && l.mapped.number == 0 { // nothing was written yet
		l.mapped.wrong = ""
		return
	}
	m, err := ownership.Decode(r.Value)
	switch {
	case err != nil:
		l.mapped.wrong = oneLine(err)
	case m.Number < l.mapped.number:
		l.mapped.wrong = fmt.Sprintf("its number is %d after %d", m.Number, l.mapped.number)
	default:
		l.mapped.number, l.mapped.wrong = m.Number, ""
	}
}

// theMap is what this replica has of the map of partitions.
func (l *ledger) theMap() mapState {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.mapped
}

// checkMap tells whether a value may become the record of the map: it is a whole map whose number was not reached. Only the leader
// can tell, with all carried out that was agreed on before.
func (l *ledger) checkMap(value []byte) error {
	m, err := ownership.Decode(value)
	if err != nil {
		return fmt.Errorf("record %s: %w", ownership.RecordName, err)
	}
	if has := l.theMap().number; m.Number <= has {
		return fmt.Errorf("record %s: the map's number is %d, and %d was given", ownership.RecordName, m.Number, has)
	}
	return nil
}
