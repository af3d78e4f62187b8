package node

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"
)

// The journal is one append-only file of records. A record is the length and the CRC-32 of its payload, four
// bytes each, and the payload: the kind, the message's number and the fields of that kind. Written data
// outlives the process, so the file is never synced. A kill can truncate only the last record; replay
// describes how corrupt records are handled.

const (
	recAccepted   byte = iota + 1 // a message was accepted
	recAttempt                    // an attempt is about to be sent
	recNotRun                     // an attempt failed, as in an outage, and is proven not to have run
	recFailed                     // an attempt failed and may have run
	recEnded                      // the final answer, whose notice is still owed
	recOver                       // nothing is owed any more
	recTurnedAway                 // an attempt did not run, and its destination works

	// These records concern an endpoint and have number 0, which no message has. Older builds skip them.
	recListed // discovery has listed it
	recBarred // an operator disabled it
	recLifted // an operator enabled it again
)

const (
	journalName    = "journal"
	recordHead     = 8
	maxRecord      = maxBody + 4*maxWord + 64
	messageReserve = 700       // bytes for the small records that will follow: 12 attempts at 36 to 45 bytes, and the end
	minCompact     = 256 << 10 // bytes; a smaller file is not worth compacting
	defaultDiskMB  = 3
	compactPause   = 100 * time.Millisecond // after a failed compaction
	maxKnown       = 2000                   // endpoints that are remembered; the oldest that are not disabled are dropped first
)

var (
	errDiskBudget  = errors.New("the journal has used up its disk budget")
	errJournalDown = errors.New("journal: not retried yet after a failed write")
)

// pendingMessage is what the journal knows of a message until its delivery, or the acceptance of its notice,
// is recorded.
type past struct {
	seq      uint64
	id, key  string
	class    int
	tenant   int // -1 if unknown
	dest     int
	body     []byte
	deadline time.Time
	sends    []pastSend
	ended    *ending
}

// pastAttempt is one attempt of a pending message. One without a recorded failure was in flight when the
// journal ended, and may have run as well.
type pastSend struct {
	at             time.Time
	zone           int
	notRun, failed bool
}

// finalAnswer is the final answer of a message that was not delivered.
type ending struct {
	failed bool
	after  time.Duration
}

// choiceID is what package choice calls the message. Clients may reuse IDs; numbers are unique.
func (p *past) name() string { return strconv.FormatUint(p.seq, 10) }

// parseChoiceID returns the number in a choice ID, or 0, which no message has.
func seqOf(name string) uint64 {
	seq, err := strconv.ParseUint(name, 10, 64)
	if err != nil {
		return 0
	}
	return seq
}

// size is about the room that a message takes in the journal.
func (p *past) size() int64 {
	return int64(len(p.body)+len(p.id)+len(p.key)) + messageReserve
}

// journal appends records and keeps the live state, from which it can rewrite the file.
type journal struct {
	dir     string
	budget  int64
	f       *os.File
	written int64 // bytes of whole records in the file
	live    map[uint64]*past
	known   []string             // IDs of all endpoints that were ever listed, in the order of their first listing
	barred  map[string]bool      // by the ID of each known endpoint: true while an operator has disabled it
	lifted  map[string]time.Time // by endpoint ID: when an operator last enabled it again
	held    int64                // sum of the sizes of all live messages and known endpoints
	pending []byte               // records not yet in the file
	next    uint64
	broken  bool // the file lacks records of the live state; only a new file has them all
	retryAt time.Time
	spoilt  string // describes what replay could not read, if anything
}

// openJournal replays the journal in dir, as far as it can be read.
func openJournal(dir string, diskMB float64) (*journal, error) {
	if diskMB <= 0 {
		diskMB = defaultDiskMB
	}
	j := &journal{dir: dir, budget: int64(diskMB*(1<<20)) - 16<<10, live: map[uint64]*past{}, next: 1,
		barred: map[string]bool{}, lifted: map[string]time.Time{}}
	// An interrupted compaction leaves its file; the old one is still whole.
	if err := os.Remove(j.path() + ".new"); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("journal: %w", err)
	}
	f, err := os.OpenFile(j.path(), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	j.f = f
	raw, err := io.ReadAll(f)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("journal: %w", err), f.Close())
	}
	j.replay(raw)
	j.written = int64(len(raw))
	if j.spoilt != "" {
		j.compact() // if it fails, the journal is incomplete and every flush tries again
	}
	return j, nil
}

func (j *journal) path() string { return filepath.Join(j.dir, journalName) }

// replay applies the records of a file. A record that can't be read may have guarded anything that was done
// afterwards: an attempt, or an end. If it still identifies its message, that message is taken to have got so
// far; otherwise all live messages are. Such a message ends as failed, because sending it again could have a
// second effect or come after its final answer.
func (j *journal) replay(raw []byte) {
	for at := 0; at < len(raw); {
		payload := wholeRecord(raw[at:])
		if payload != nil {
			j.apply(bytes.Clone(payload)) // a copy, so that what is kept of it does not keep the whole file in memory
			at += recordHead + len(payload)
			continue
		}
		next := at + 1
		for next < len(raw) && wholeRecord(raw[next:]) == nil {
			next++
		}
		if j.spoilt == "" {
			j.spoilt = fmt.Sprintf("%d of %d bytes from offset %d", next-at, len(raw), at)
		}
		if next < len(raw) || !j.applyTorn(raw[at:]) {
			j.endLive()
		}
		at = next
	}
}

// recordPayload returns the payload of the record at the start of b, or nil if there is no valid record.
func wholeRecord(b []byte) []byte {
	if len(b) <= recordHead {
		return nil
	}
	n := binary.LittleEndian.Uint32(b)
	if n == 0 || n > maxRecord || int64(n) > int64(len(b)-recordHead) {
		return nil
	}
	payload := b[recordHead : recordHead+int(n)]
	if crc32.ChecksumIEEE(payload) != binary.LittleEndian.Uint32(b[4:]) {
		return nil
	}
	return payload
}

// applyTruncated applies what is left of a file's last record, and reports whether that identified the
// message.
func (j *journal) applyTorn(b []byte) bool {
	if len(b) <= recordHead || int64(binary.LittleEndian.Uint32(b)) <= int64(len(b)-recordHead) {
		return false // the record is corrupt, not truncated
	}
	payload := b[recordHead:]
	f := &fields{b: payload[1:]}
	seq := f.number()
	p := j.live[seq]
	switch {
	case f.bad:
		return false
	case payload[0] == recAccepted: // it precedes the records of attempts, so none was made
		if id := f.bytes(); !f.bad {
			p = &past{seq: seq, id: string(id), tenant: -1, deadline: time.UnixMicro(0), ended: &ending{}}
			j.next = max(j.next, seq+1)
			j.live[seq] = p
			j.held += p.size()
		}
	case p == nil: // of an endpoint, or of a message that nothing is owed for
	case payload[0] == recOver:
		j.apply(record(recOver, seq))
	case payload[0] == recAttempt && p.ended == nil: // it may have run, at any time in the past
		j.apply(attemptRecord(seq, time.UnixMicro(0), 0))
	case payload[0] == recEnded && p.ended == nil:
		j.apply(endedRecord(seq, ending{failed: true}))
	} // of the outcome of an attempt nothing is applied: without it the attempt may have run
	return true
}

// failAllLive ends all live messages as failed. A repeated notice of one that had ended does no harm.
func (j *journal) endLive() {
	for seq, p := range j.live {
		if p.ended == nil {
			j.apply(endedRecord(seq, ending{failed: true}))
		}
	}
}

// payloadReader reads the fields of a payload; bad is set when the payload is too short.
type fields struct {
	b   []byte
	bad bool
}

func (f *fields) number() uint64 {
	v, n := binary.Uvarint(f.b)
	if n <= 0 {
		f.bad, f.b = true, nil
		return 0
	}
	f.b = f.b[n:]
	return v
}

func (f *fields) bytes() []byte {
	n := f.number()
	if n > uint64(len(f.b)) {
		f.bad, f.b = true, nil
		return nil
	}
	v := f.b[:n]
	f.b = f.b[n:]
	return v
}

func (f *fields) time() time.Time { return time.UnixMicro(int64(f.number())) }

func appendBytes(b, v []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(v))), v...)
}

func appendTime(b []byte, t time.Time) []byte {
	return binary.AppendUvarint(b, uint64(t.UnixMicro()))
}

// apply updates the live state with one record.
func (j *journal) apply(payload []byte) {
	f := &fields{b: payload[1:]}
	seq := f.number()
	if payload[0] >= recListed {
		j.applyEndpoint(payload[0], f)
		return
	}
	j.next = max(j.next, seq+1)
	p := j.live[seq]
	if p == nil && payload[0] != recAccepted {
		return
	}
	switch payload[0] {
	case recAccepted:
		p = &past{seq: seq, id: string(f.bytes()), key: string(f.bytes()), class: int(f.number()), dest: int(f.number()),
			deadline: f.time(), body: f.bytes(), tenant: -1}
		if len(f.b) > 0 { // records of older builds end here
			p.tenant = int(f.number()) - 1
		}
		if !f.bad {
			j.live[seq] = p
			j.held += p.size()
		}
	case recAttempt:
		s := pastSend{at: f.time(), zone: int(f.number())}
		if !f.bad && p.ended == nil { // a message already has its final answer after a record that can't be read
			p.sends = append(p.sends, s)
		}
	case recNotRun:
		if n := f.number(); !f.bad && n < uint64(len(p.sends)) {
			p.sends[n].notRun, p.sends[n].failed = true, true
		}
	case recTurnedAway:
		if n := f.number(); !f.bad && n < uint64(len(p.sends)) {
			p.sends[n].notRun = true
		}
	case recFailed:
		if n := f.number(); !f.bad && n < uint64(len(p.sends)) {
			p.sends[n].failed = true
		}
	case recEnded:
		e := &ending{failed: f.number() == 1, after: time.Duration(f.number()) * time.Millisecond}
		if !f.bad {
			j.held -= p.size()
			p.ended, p.body, p.sends = e, nil, nil // only the notice is owed
			j.held += p.size()
		}
	case recOver:
		j.held -= p.size()
		delete(j.live, seq)
	}
}

// applyEndpoint is apply for the records of endpoints.
func (j *journal) applyEndpoint(kind byte, f *fields) {
	id, at := string(f.bytes()), f.time()
	if f.bad {
		return
	}
	if _, known := j.barred[id]; !known {
		j.known = append(j.known, id)
		j.held += endpointSize(id)
		if i := slices.IndexFunc(j.known, func(id string) bool { return !j.barred[id] }); len(j.known) > maxKnown && i >= 0 {
			j.held -= endpointSize(j.known[i])
			delete(j.barred, j.known[i])
			delete(j.lifted, j.known[i])
			j.known = slices.Delete(j.known, i, i+1)
		}
	}
	j.barred[id] = kind == recBarred || (kind == recListed && j.barred[id])
	if kind == recLifted {
		j.lifted[id] = at
	}
}

// endpointSize is the room that an endpoint takes in the journal, including its record as disabled.
func endpointSize(id string) int64 { return 2 * int64(recordHead+len(id)+16) }

func endpointRecord(kind byte, id string, at time.Time) []byte {
	return appendTime(appendBytes(record(kind, 0), []byte(id)), at)
}

// add queues a record for the next flush and updates the live state.
func (j *journal) add(payload []byte) {
	j.pending = appendRecord(j.pending, payload)
	j.apply(payload)
}

func appendRecord(b, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE(payload))
	return append(b, payload...)
}

func record(kind byte, seq uint64) []byte { return binary.AppendUvarint([]byte{kind}, seq) }

func acceptedRecord(p *past) []byte {
	b := record(recAccepted, p.seq)
	b = appendBytes(appendBytes(b, []byte(p.id)), []byte(p.key))
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(p.class)), uint64(p.dest))
	return binary.AppendUvarint(appendBytes(appendTime(b, p.deadline), p.body), uint64(p.tenant+1))
}

func attemptRecord(seq uint64, at time.Time, zone int) []byte {
	return binary.AppendUvarint(appendTime(record(recAttempt, seq), at), uint64(zone))
}

// outcomeRecord makes a record of the kind recordNotRun, recordRejected or recordFailed.
func outcomeRecord(kind byte, seq uint64, attempt int) []byte {
	return binary.AppendUvarint(record(kind, seq), uint64(attempt))
}

func endedRecord(seq uint64, e ending) []byte {
	failed := uint64(0)
	if e.failed {
		failed = 1
	}
	b := binary.AppendUvarint(record(recEnded, seq), failed)
	return binary.AppendUvarint(b, uint64(e.after/time.Millisecond))
}

// accept numbers a new message, queues its record and returns what is kept of it. It refuses a message that
// the disk may have no room for. Twice the live state must fit, because during a compaction the old and the
// new file both exist.
func (j *journal) accept(p *past) (*past, error) {
	if j.broken {
		return nil, errJournalDown
	}
	if 2*(j.held+p.size())+int64(len(j.pending)) > j.budget {
		return nil, errDiskBudget
	}
	p.seq = j.next
	j.add(acceptedRecord(p))
	return j.live[p.seq], nil
}

// flush writes the queued records. After an error nothing that they guard may be done. The live state stays
// correct all the same, and is written to a new file as soon as that is possible.
func (j *journal) flush() error {
	if len(j.pending) == 0 && !j.broken {
		return nil
	}
	after := j.written + int64(len(j.pending))
	if j.broken || after+j.held > j.budget || (after > minCompact && after > 4*j.held) {
		return j.compact()
	}
	if _, err := j.f.WriteAt(j.pending, j.written); err != nil {
		// The next start must not find whole records of actions that are not going to be taken.
		j.pending, j.broken = nil, true
		return fmt.Errorf("journal: %w", errors.Join(err, j.rewind()))
	}
	j.written = after
	j.pending = j.pending[:0]
	return nil
}

// truncateTail removes whatever follows the last whole record.
func (j *journal) rewind() error {
	return j.f.Truncate(j.written)
}

// compact writes the live state, which includes the queued records, to a new file and replaces the old one
// with it.
func (j *journal) compact() (err error) {
	if time.Now().Before(j.retryAt) {
		return errJournalDown
	}
	defer func() {
		if err != nil { // without a pause, all live state would be written to a full disk again and again
			j.pending, j.broken, j.retryAt = nil, true, time.Now().Add(compactPause)
		}
	}()
	f, err := os.OpenFile(j.path()+".new", os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("journal: compaction: %w", err)
	}
	defer func() {
		if err != nil {
			err = errors.Join(fmt.Errorf("journal: compaction: %w", err), f.Close(), os.Remove(f.Name()))
		}
	}()
	w := bufio.NewWriterSize(f, 64<<10)
	size := int64(0)
	put := func(payload []byte) {
		n, _ := w.Write(appendRecord(nil, payload)) // w keeps the error
		size += int64(n)
	}
	for _, id := range j.known {
		put(endpointRecord(recListed, id, time.Now()))
		if j.barred[id] {
			put(endpointRecord(recBarred, id, time.Now()))
		} else if at, ok := j.lifted[id]; ok {
			put(endpointRecord(recLifted, id, at))
		}
	}
	for _, p := range j.live {
		put(acceptedRecord(p))
		for i, s := range p.sends {
			put(attemptRecord(p.seq, s.at, s.zone))
			switch {
			case s.notRun && s.failed:
				put(outcomeRecord(recNotRun, p.seq, i))
			case s.notRun:
				put(outcomeRecord(recTurnedAway, p.seq, i))
			case s.failed:
				put(outcomeRecord(recFailed, p.seq, i))
			}
		}
		if p.ended != nil {
			put(endedRecord(p.seq, *p.ended))
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if err := os.Rename(f.Name(), j.path()); err != nil {
		return err
	}
	old := j.f
	j.f, j.written, j.pending, j.broken = f, size, nil, false // the buffer may be large, so it is not reused
	old.Close()                                               // an error is ignored: nothing of the old file is needed any more
	return nil
}

func (j *journal) close() error {
	return errors.Join(j.flush(), j.f.Close())
}
