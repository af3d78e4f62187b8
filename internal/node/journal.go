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
// outlives the process, so the file is never synced. A kill can leave only the last write half done; replay
// describes how torn and corrupt records are handled.

const (
	recordAccepted byte = iota + 1 // a message was accepted
	recordAttempt                  // an attempt is about to be sent
	recordNotRun                   // an attempt failed, as in an outage, and is proven not to have run
	recordFailed                   // an attempt failed and may have run
	recordFinal                    // the final answer, whose notice is still owed
	recordDone                     // nothing is owed any more
	recordRejected                 // an attempt did not run, and its destination works

	// These records concern an endpoint and have number 0, which no message has. Older builds skip them.
	recordListed   // discovery has listed it
	recordDisabled // an operator disabled it
	recordEnabled  // an operator enabled it again

	// The base of all timestamps in the journal, of number 0. Older builds skip it, because they take its first
	// field, which is large, for the length of an endpoint's ID.
	recordClock
)

const (
	journalName       = "journal"
	recordHeaderSize  = 8
	maxRecordSize     = maxBody + 4*maxArgSize + 64
	messageReserve    = 700       // bytes for the records that follow: 12 attempts at 36 to 45 bytes, and the end
	minCompactSize    = 256 << 10 // bytes; a smaller file is not worth compacting
	defaultDiskMB     = 3
	compactRetryDelay = 100 * time.Millisecond // after a failed compaction
	maxKnown          = 2000                   // endpoints that are remembered; the oldest that are not disabled are dropped first
)

var (
	errDiskBudget         = errors.New("the journal has used up its disk budget")
	errJournalUnavailable = errors.New("journal: not retried yet after a failed write")
)

// pendingMessage is what the journal knows of a message until its delivery, or the acceptance of its notice,
// is recorded. Its times are timestamps; see timestampClock.
type pendingMessage struct {
	seq      uint64
	id, key  string
	class    int
	tenant   int // -1 if unknown
	dest     int
	body     []byte
	deadline time.Time // a timestamp
	attempts []pastAttempt
	final    *finalAnswer
}

// pastAttempt is one attempt of a pending message. One without a recorded failure was in flight when the
// journal ended, and may have run as well.
type pastAttempt struct {
	sentAt         time.Time // a timestamp
	zone           int
	notRun, failed bool
}

// finalAnswer is the final answer of a message that was not delivered.
type finalAnswer struct {
	failed     bool
	retryAfter time.Duration
}

// choiceID is what package choice calls the message. Clients may reuse IDs; numbers are unique.
func (m *pendingMessage) choiceID() string { return strconv.FormatUint(m.seq, 10) }

// parseChoiceID returns the number in a choice ID, or 0, which no message has.
func parseChoiceID(id string) uint64 {
	seq, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return 0
	}
	return seq
}

// size estimates the bytes that a message takes in the journal.
func (m *pendingMessage) size() int64 {
	return int64(len(m.body)+len(m.id)+len(m.key)) + messageReserve
}

// journal appends records and keeps the live state, from which it can rewrite the file.
type journal struct {
	dir              string
	budget           int64
	file             *os.File
	fileSize         int64 // bytes of whole records in the file
	live             map[uint64]*pendingMessage
	knownEndpoints   []string             // IDs of all endpoints that were ever listed, in the order of their first listing
	disabled         map[string]bool      // by the ID of each known endpoint: true while an operator has disabled it
	enabledAt        map[string]time.Time // by endpoint ID: when an operator last enabled it again, as a timestamp
	liveSize         int64                // sum of the sizes of all live messages and known endpoints
	unwritten        []byte               // records not yet in the file
	nextSeq          uint64               // above the number of every message of this node, also of those that are not in the file any more
	incomplete       bool                 // the file lacks records of the live state; only a new file has them all
	compactNotBefore time.Time
	corruption       string // describes what replay could not read, if anything
	clock            timestampClock
	storedClockBase  clockBase // what the file says of the clock
}

// openJournal replays the journal in dir, as far as it can be read.
func openJournal(dir string, diskMB float64) (*journal, error) {
	if diskMB <= 0 {
		diskMB = defaultDiskMB
	}
	j := &journal{dir: dir, budget: int64(diskMB*(1<<20)) - 16<<10, live: map[uint64]*pendingMessage{}, nextSeq: 1,
		disabled: map[string]bool{}, enabledAt: map[string]time.Time{}}
	// An interrupted compaction leaves its file; the old one is still whole.
	if err := os.Remove(j.path() + ".new"); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("journal: %w", err)
	}
	f, err := os.OpenFile(j.path(), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	j.file = f
	raw, err := io.ReadAll(f)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("journal: %w", err), f.Close())
	}
	j.fileSize = int64(j.replay(raw))
	j.clock = newTimestampClock(j.storedClockBase)
	if j.clock.base != j.storedClockBase && j.clock.base.bootID != "" {
		j.add(clockRecord(j.clock.base)) // written with the first record that needs it
	}
	if j.corruption != "" || (j.fileSize < int64(len(raw)) && j.truncateTail() != nil) {
		j.compact() // if it fails, the journal is incomplete and every flush tries again
	}
	return j, nil
}

func (j *journal) path() string { return filepath.Join(j.dir, journalName) }

// replay applies the records of a file, and returns the size of what has been read. A torn end was being written
// when the process was killed: nothing that it guards was done, so it is left out. A record that can't be read
// elsewhere may have guarded anything that was done afterwards: an attempt, or an end. Then all live messages
// end as failed, because sending one again could have a second effect or come after its final answer.
func (j *journal) replay(data []byte) (size int) {
	for offset := 0; offset < len(data); {
		payload := recordPayload(data[offset:])
		if payload != nil {
			j.apply(bytes.Clone(payload)) // a copy, so that what is kept of it does not keep the whole file in memory
			offset += recordHeaderSize + len(payload)
			continue
		}
		next := offset + 1
		for next < len(data) && recordPayload(data[next:]) == nil {
			next++
		}
		if next == len(data) && isTornRecord(data[offset:]) {
			return offset
		}
		if j.corruption == "" {
			j.corruption = fmt.Sprintf("%d of %d bytes from offset %d", next-offset, len(data), offset)
		}
		j.failAllLive()
		offset = next
	}
	return len(data)
}

// isTornRecord reports whether the end of a file is the beginning of a record. A whole record whose length
// alone is corrupt is none.
func isTornRecord(b []byte) bool {
	if len(b) <= recordHeaderSize {
		return true
	}
	n, payload := binary.LittleEndian.Uint32(b), b[recordHeaderSize:]
	return n <= maxRecordSize && int64(n) > int64(len(payload)) && crc32.ChecksumIEEE(payload) != binary.LittleEndian.Uint32(b[4:])
}

// recordPayload returns the payload of the record at the start of b, or nil if there is no valid record.
func recordPayload(b []byte) []byte {
	if len(b) <= recordHeaderSize {
		return nil
	}
	n := binary.LittleEndian.Uint32(b)
	if n == 0 || n > maxRecordSize || int64(n) > int64(len(b)-recordHeaderSize) {
		return nil
	}
	payload := b[recordHeaderSize : recordHeaderSize+int(n)]
	if crc32.ChecksumIEEE(payload) != binary.LittleEndian.Uint32(b[4:]) {
		return nil
	}
	return payload
}

// failAllLive ends all live messages as failed. A repeated notice of one that had ended does no harm.
func (j *journal) failAllLive() {
	for seq, m := range j.live {
		if m.final == nil {
			j.apply(finalRecord(seq, finalAnswer{failed: true}))
		}
	}
}

// payloadReader reads the fields of a payload; bad is set when the payload is too short.
type payloadReader struct {
	rest []byte
	bad  bool
}

func (r *payloadReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.bad, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *payloadReader) bytes() []byte {
	n := r.uvarint()
	if n > uint64(len(r.rest)) {
		r.bad, r.rest = true, nil
		return nil
	}
	v := r.rest[:n]
	r.rest = r.rest[n:]
	return v
}

func (r *payloadReader) time() time.Time { return time.UnixMicro(int64(r.uvarint())) }

func appendBytes(b, v []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(v))), v...)
}

func appendTime(b []byte, t time.Time) []byte {
	return binary.AppendUvarint(b, uint64(t.UnixMicro()))
}

// apply updates the live state with one record.
func (j *journal) apply(payload []byte) {
	r := &payloadReader{rest: payload[1:]}
	seq := r.uvarint()
	switch {
	case payload[0] == recordClock:
		j.applyClock(r)
		return
	case payload[0] >= recordListed:
		j.applyEndpoint(payload[0], r)
		return
	}
	j.nextSeq = max(j.nextSeq, seq+1)
	m := j.live[seq]
	if m == nil && payload[0] != recordAccepted {
		return
	}
	switch payload[0] {
	case recordAccepted:
		m = &pendingMessage{seq: seq, id: string(r.bytes()), key: string(r.bytes()), class: int(r.uvarint()), dest: int(r.uvarint()),
			deadline: r.time(), body: r.bytes(), tenant: -1}
		if len(r.rest) > 0 { // records of older builds end here
			m.tenant = int(r.uvarint()) - 1
		}
		if !r.bad {
			j.live[seq] = m
			j.liveSize += m.size()
		}
	case recordAttempt:
		a := pastAttempt{sentAt: r.time(), zone: int(r.uvarint())}
		if !r.bad && m.final == nil { // a message already has its final answer after a record that can't be read
			m.attempts = append(m.attempts, a)
		}
	case recordNotRun:
		if n := r.uvarint(); !r.bad && n < uint64(len(m.attempts)) {
			m.attempts[n].notRun, m.attempts[n].failed = true, true
		}
	case recordRejected:
		if n := r.uvarint(); !r.bad && n < uint64(len(m.attempts)) {
			m.attempts[n].notRun = true
		}
	case recordFailed:
		if n := r.uvarint(); !r.bad && n < uint64(len(m.attempts)) {
			m.attempts[n].failed = true
		}
	case recordFinal:
		final := &finalAnswer{failed: r.uvarint() == 1, retryAfter: time.Duration(r.uvarint()) * time.Millisecond}
		if !r.bad {
			j.liveSize -= m.size()
			m.final, m.body, m.attempts = final, nil, nil // only the notice is owed
			j.liveSize += m.size()
		}
	case recordDone:
		j.liveSize -= m.size()
		delete(j.live, seq)
	}
}

// applyClock is apply for the record of the clock.
func (j *journal) applyClock(r *payloadReader) {
	base := clockBase{offset: time.Duration(r.uvarint()) * time.Microsecond, bootID: string(r.bytes())}
	if !r.bad {
		j.storedClockBase = base
	}
}

// applyEndpoint is apply for the records of endpoints.
func (j *journal) applyEndpoint(kind byte, r *payloadReader) {
	id, at := string(r.bytes()), r.time()
	if r.bad {
		return
	}
	if _, known := j.disabled[id]; !known {
		j.knownEndpoints = append(j.knownEndpoints, id)
		j.liveSize += endpointSize(id)
		if i := slices.IndexFunc(j.knownEndpoints, func(id string) bool { return !j.disabled[id] }); len(j.knownEndpoints) > maxKnown && i >= 0 {
			j.liveSize -= endpointSize(j.knownEndpoints[i])
			delete(j.disabled, j.knownEndpoints[i])
			delete(j.enabledAt, j.knownEndpoints[i])
			j.knownEndpoints = slices.Delete(j.knownEndpoints, i, i+1)
		}
	}
	j.disabled[id] = kind == recordDisabled || (kind == recordListed && j.disabled[id])
	if kind == recordEnabled {
		j.enabledAt[id] = at
	}
}

// endpointSize estimates the bytes that an endpoint takes in the journal, including the record that disables
// it.
func endpointSize(id string) int64 { return 2 * int64(recordHeaderSize+len(id)+16) }

func endpointRecord(kind byte, id string, at time.Time) []byte {
	return appendTime(appendBytes(newRecord(kind, 0), []byte(id)), at)
}

// add queues a record for the next flush and updates the live state.
func (j *journal) add(payload []byte) {
	j.unwritten = appendRecord(j.unwritten, payload)
	j.apply(payload)
}

func appendRecord(b, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE(payload))
	return append(b, payload...)
}

func newRecord(kind byte, seq uint64) []byte { return binary.AppendUvarint([]byte{kind}, seq) }

func acceptedRecord(m *pendingMessage) []byte {
	b := newRecord(recordAccepted, m.seq)
	b = appendBytes(appendBytes(b, []byte(m.id)), []byte(m.key))
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(m.class)), uint64(m.dest))
	return binary.AppendUvarint(appendBytes(appendTime(b, m.deadline), m.body), uint64(m.tenant+1))
}

func clockRecord(base clockBase) []byte {
	b := binary.AppendUvarint(newRecord(recordClock, 0), uint64(base.offset/time.Microsecond))
	return appendBytes(b, []byte(base.bootID))
}

func attemptRecord(seq uint64, at time.Time, zone int) []byte {
	return binary.AppendUvarint(appendTime(newRecord(recordAttempt, seq), at), uint64(zone))
}

// outcomeRecord makes a record of the kind recordNotRun, recordRejected or recordFailed.
func outcomeRecord(kind byte, seq uint64, attempt int) []byte {
	return binary.AppendUvarint(newRecord(kind, seq), uint64(attempt))
}

// numbersUsedRecord tells that all numbers below next are in use. It is the end of a message that is not live, which
// every build skips but for its number.
func numbersUsedRecord(next uint64) []byte { return newRecord(recordDone, next-1) }

func finalRecord(seq uint64, final finalAnswer) []byte {
	failed := uint64(0)
	if final.failed {
		failed = 1
	}
	b := binary.AppendUvarint(newRecord(recordFinal, seq), failed)
	return binary.AppendUvarint(b, uint64(final.retryAfter/time.Millisecond))
}

// accept numbers a new message, queues its record and returns what is kept of it. It refuses a message that
// the disk may have no room for.
func (j *journal) accept(m *pendingMessage) (*pendingMessage, error) {
	if j.incomplete {
		return nil, errJournalUnavailable
	}
	if err := j.makeRoom(m.size()); err != nil {
		return nil, err
	}
	m.seq = j.nextSeq
	j.add(acceptedRecord(m))
	return j.live[m.seq], nil
}

// makeRoom makes sure that the disk has room for a new message of that size. The old file and the live state must fit at any
// time, because both exist during a compaction, and a compaction must help: so twice the live state must fit.
func (j *journal) makeRoom(size int64) error {
	live := j.liveSize + size
	if 2*live+int64(len(j.unwritten)) > j.budget {
		return errDiskBudget
	}
	if j.fileSize+live <= j.budget {
		return nil
	}
	return j.compact()
}

// flush writes the queued records. After an error nothing that they guard may be done. The live state stays
// correct all the same, and is written to a new file as soon as that is possible.
func (j *journal) flush() error {
	if len(j.unwritten) == 0 && !j.incomplete {
		return nil
	}
	after := j.fileSize + int64(len(j.unwritten))
	if j.incomplete || after+j.liveSize > j.budget || (after > minCompactSize && after > 4*j.liveSize) {
		return j.compact()
	}
	if _, err := j.file.WriteAt(j.unwritten, j.fileSize); err != nil {
		// The next start must not find whole records of actions that are not going to be taken.
		j.unwritten, j.incomplete = nil, true
		return fmt.Errorf("journal: %w", errors.Join(err, j.truncateTail()))
	}
	j.fileSize = after
	j.unwritten = j.unwritten[:0]
	return nil
}

// truncateTail removes whatever follows the last whole record.
func (j *journal) truncateTail() error {
	return j.file.Truncate(j.fileSize)
}

// compact writes the live state, which includes the queued records, to a new file and replaces the old one
// with it.
func (j *journal) compact() (err error) {
	if time.Now().Before(j.compactNotBefore) {
		return errJournalUnavailable
	}
	defer func() {
		if err != nil { // without a pause, all live state would be written to a full disk again and again
			j.unwritten, j.incomplete, j.compactNotBefore = nil, true, time.Now().Add(compactRetryDelay)
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
	writeRecord := func(payload []byte) {
		n, _ := w.Write(appendRecord(nil, payload)) // w keeps the error
		size += int64(n)
	}
	if j.storedClockBase.bootID != "" {
		writeRecord(clockRecord(j.storedClockBase))
	}
	writeRecord(numbersUsedRecord(j.nextSeq)) // before the live messages, of which one may have the last number
	now := j.clock.timestamp(time.Now())
	for _, id := range j.knownEndpoints {
		writeRecord(endpointRecord(recordListed, id, now))
		if j.disabled[id] {
			writeRecord(endpointRecord(recordDisabled, id, now))
		} else if at, ok := j.enabledAt[id]; ok {
			writeRecord(endpointRecord(recordEnabled, id, at))
		}
	}
	for _, m := range j.live {
		writeRecord(acceptedRecord(m))
		for i, a := range m.attempts {
			writeRecord(attemptRecord(m.seq, a.sentAt, a.zone))
			switch {
			case a.notRun && a.failed:
				writeRecord(outcomeRecord(recordNotRun, m.seq, i))
			case a.notRun:
				writeRecord(outcomeRecord(recordRejected, m.seq, i))
			case a.failed:
				writeRecord(outcomeRecord(recordFailed, m.seq, i))
			}
		}
		if m.final != nil {
			writeRecord(finalRecord(m.seq, *m.final))
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if err := os.Rename(f.Name(), j.path()); err != nil {
		return err
	}
	old := j.file
	j.file, j.fileSize, j.unwritten, j.incomplete = f, size, nil, false // the buffer may be large, so it is not reused
	old.Close()                                                         // nothing of the old file is needed any more
	return nil
}

func (j *journal) close() error {
	return errors.Join(j.flush(), j.file.Close())
}
