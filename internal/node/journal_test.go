package node

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"
)

func openTestJournal(t *testing.T, dir string, mb float64) *journal {
	t.Helper()
	j, err := openJournal(dir, mb)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { j.file.Close() })
	return j
}

func mustFlush(t *testing.T, j *journal) {
	t.Helper()
	if err := j.flush(); err != nil {
		t.Fatal(err)
	}
}

func mustAccept(t *testing.T, j *journal, id string, body []byte) *pendingMessage {
	t.Helper()
	m, err := j.accept(&pendingMessage{
		id: id, key: "k" + id, class: 1, dest: 7, body: body, deadline: time.UnixMicro(time.Now().UnixMicro()),
	})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// writeHistory writes records of every kind, and returns the live messages afterwards.
func writeHistory(t *testing.T, j *journal) map[uint64]*pendingMessage {
	t.Helper()
	now := time.UnixMicro(time.Now().UnixMicro())
	a, b := mustAccept(t, j, "a", []byte("body of a")), mustAccept(t, j, "b", nil)
	c, d := mustAccept(t, j, "c", []byte{0, 255}), mustAccept(t, j, "d", []byte("d"))
	j.add(attemptRecord(a.seq, now, 0))
	j.add(attemptRecord(a.seq, now.Add(time.Second), 2))
	j.add(outcomeRecord(recordNotRun, a.seq, 0))
	j.add(outcomeRecord(recordFailed, a.seq, 1))
	j.add(finalRecord(b.seq, finalAnswer{retryAfter: 500 * time.Millisecond}))
	j.add(finalRecord(c.seq, finalAnswer{failed: true}))
	j.add(newRecord(recordDone, d.seq))
	mustFlush(t, j)
	return j.live
}

func checkLive(t *testing.T, got, want map[uint64]*pendingMessage) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("%d live messages, want %d", len(got), len(want))
	}
	for seq, w := range want {
		g := got[seq]
		if g == nil || !bytes.Equal(g.body, w.body) {
			t.Fatalf("got %+v, want %+v", g, w)
		}
		gc, wc := *g, *w
		gc.body, wc.body = nil, nil
		if !reflect.DeepEqual(gc, wc) {
			t.Errorf("got %+v, want %+v", gc, wc)
		}
	}
}

func TestJournalSurvivesRestart(t *testing.T) {
	dir := t.TempDir()
	j := openTestJournal(t, dir, 3)
	want := writeHistory(t, j)
	again := openTestJournal(t, dir, 3)
	checkLive(t, again.live, want)
	if again.nextSeq != j.nextSeq || again.liveSize != j.liveSize {
		t.Errorf("next number %d, live size %d; want %d, %d", again.nextSeq, again.liveSize, j.nextSeq, j.liveSize)
	}
	if err := again.compact(); err != nil {
		t.Fatal(err)
	}
	checkLive(t, openTestJournal(t, dir, 3).live, want)
}

// The number of a message that has ended is not given again by a later process: a call with the message may still be in
// flight at a predecessor. It guards against a compaction that forgets the numbers of the messages that it leaves out.
func TestNumbersOfEndedMessagesAreNotReused(t *testing.T) {
	dir := t.TempDir()
	j := openTestJournal(t, dir, 3)
	kept, ended := mustAccept(t, j, "kept", nil), mustAccept(t, j, "ended", nil)
	j.add(newRecord(recordDone, ended.seq))
	for process := range 3 { // a number is not forgotten by the second or third compaction either
		if err := j.compact(); err != nil {
			t.Fatal(err)
		}
		if j = openTestJournal(t, dir, 3); j.nextSeq != ended.seq+1 || j.live[kept.seq] == nil {
			t.Fatalf("process %d: the next number is %d, live messages %d; want %d and 1", process, j.nextSeq, len(j.live), ended.seq+1)
		}
	}
	newest := mustAccept(t, j, "newest", nil)
	if err := j.compact(); err != nil {
		t.Fatal(err)
	}
	if again := openTestJournal(t, dir, 3); again.live[newest.seq] == nil || again.nextSeq != newest.seq+1 {
		t.Errorf("the newest message is lost, or its number free: next number %d", again.nextSeq)
	}
}

// A kill can truncate the last record at any byte. All records before it must be read, and the journal must
// be readable after further records.
func TestTruncatedJournal(t *testing.T) {
	dir := t.TempDir()
	writeHistory(t, openTestJournal(t, dir, 3))
	whole, err := os.ReadFile(filepath.Join(dir, journalName))
	if err != nil {
		t.Fatal(err)
	}
	for cut := range whole {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, journalName), whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		j := openTestJournal(t, dir, 3)
		before := len(j.live)
		mustAccept(t, j, "new", []byte("after the truncation"))
		mustFlush(t, j)
		if again := openTestJournal(t, dir, 3); len(again.live) != before+1 {
			t.Fatalf("truncated at %d: %d live messages, want %d", cut, len(again.live), before+1)
		}
	}
}

// What a record guards is done only when all of its write has succeeded. So for any byte at which a kill may end the
// file the messages are as the whole records say: what was accepted is still owed, and no further.
func TestTornRecordsChangeNothing(t *testing.T) {
	dir := t.TempDir()
	writeHistory(t, openTestJournal(t, dir, 3))
	whole, err := os.ReadFile(filepath.Join(dir, journalName))
	if err != nil {
		t.Fatal(err)
	}
	begin := 0
	for begin < len(whole) {
		end := begin + recordHeaderSize + len(recordPayload(whole[begin:]))
		reference := &journal{live: map[uint64]*pendingMessage{}, disabled: map[string]bool{}, enabledAt: map[string]time.Time{}}
		reference.replay(whole[:begin])
		for cut := begin; cut < end; cut++ {
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, journalName), whole[:cut], 0o600); err != nil {
				t.Fatal(err)
			}
			got := openTestJournal(t, dir, 3)
			if checkLive(t, got.live, reference.live); got.corruption != "" {
				t.Errorf("torn at %d in a record from %d to %d: %s", cut, begin, end, got.corruption)
			}
			mustAccept(t, got, "new", []byte("afterwards"))
			mustFlush(t, got)
			checkLive(t, openTestJournal(t, dir, 3).live, got.live)
		}
		begin = end
	}
}

// Whatever a corrupt record guarded may have been done. So for any byte that is corrupt no message may look less
// advanced than it was; whole records count, also those that follow.
func TestCorruptRecords(t *testing.T) {
	dir := t.TempDir()
	j := openTestJournal(t, dir, 3)
	writeHistory(t, j)
	whole, err := os.ReadFile(filepath.Join(dir, journalName))
	if err != nil {
		t.Fatal(err)
	}
	progress := func(m *pendingMessage) (int, bool) { // attempts that may have run, and whether the message has ended
		n := 0
		for _, a := range m.attempts {
			if !a.notRun {
				n++
			}
		}
		return n, m.final != nil
	}
	check := func(what string, raw []byte, reference map[uint64]*pendingMessage) {
		t.Helper()
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, journalName), raw, 0o600); err != nil {
			t.Fatal(err)
		}
		got := openTestJournal(t, dir, 3)
		for seq, g := range got.live {
			tries, ended := progress(g)
			if w := reference[seq]; w == nil && !ended {
				t.Errorf("%s: message %d has ended, but is read as %+v", what, seq, g)
			} else if w != nil && !ended {
				if wantTries, wantEnded := progress(w); wantEnded || tries < wantTries {
					t.Errorf("%s: message %d is read as %+v, want %+v", what, seq, g, w)
				}
			}
		}
		mustAccept(t, got, "new", []byte("afterwards"))
		mustFlush(t, got)
		again := openTestJournal(t, dir, 3)
		if checkLive(t, again.live, got.live); again.corruption != "" {
			t.Errorf("%s: the compacted file is corrupt: %s", what, again.corruption)
		}
	}
	for i := range whole {
		bad := bytes.Clone(whole)
		bad[i] ^= 0x55
		check(fmt.Sprint("corrupt at ", i), bad, j.live)
	}
}

// A node that exceeds its disk budget is treated as crashed. The budget covers the old and the new file of a
// compaction.
func TestDiskBudgetHoldsWithLargeBodies(t *testing.T) {
	dir := t.TempDir()
	const mb = 1
	j := openTestJournal(t, dir, mb)
	body := make([]byte, maxBody)
	var accepted []*pendingMessage
	maxOnDisk, refused := int64(0), 0
	for i := range 400 {
		m, err := j.accept(&pendingMessage{id: fmt.Sprint(i), body: body, deadline: time.Now()})
		switch {
		case errors.Is(err, errDiskBudget):
			refused++
			j.add(newRecord(recordDone, accepted[0].seq))
			accepted = accepted[1:]
		case err != nil:
			t.Fatal(err)
		default:
			accepted = append(accepted, m)
			j.add(attemptRecord(m.seq, time.Now(), 0))
		}
		live := int64(0) // what a compaction would write now, beside the existing file
		for _, m := range j.live {
			live += int64(len(acceptedRecord(m))) + recordHeaderSize + 64
		}
		maxOnDisk = max(maxOnDisk, j.fileSize+live)
		mustFlush(t, j)
		info, err := os.Stat(j.path())
		if err != nil {
			t.Fatal(err)
		}
		if info.Size() != j.fileSize {
			t.Fatalf("the file has %d bytes, but the journal counts %d", info.Size(), j.fileSize)
		}
	}
	if refused == 0 || maxOnDisk > mb<<20 {
		t.Errorf("%d messages were refused, at most %d bytes on disk", refused, maxOnDisk)
	}
	if again := openTestJournal(t, dir, mb); len(again.live) != len(accepted) {
		t.Errorf("%d live messages, want %d", len(again.live), len(accepted))
	}
}

func TestCompactionDropsFinishedMessages(t *testing.T) {
	j := openTestJournal(t, t.TempDir(), 3)
	body := make([]byte, 1000)
	for i := range 5000 {
		m := mustAccept(t, j, fmt.Sprint(i), body)
		j.add(newRecord(recordDone, m.seq))
		mustFlush(t, j)
	}
	if j.fileSize > 2*minCompactSize || len(j.live) != 0 || j.liveSize != 0 {
		t.Errorf("%d bytes in the file, %d live messages, live size %d", j.fileSize, len(j.live), j.liveSize)
	}
}

// A journal that can't be written must not lose what it has, and must not accept more.
func TestUnwritableJournal(t *testing.T) {
	dir := t.TempDir()
	j := openTestJournal(t, dir, 3)
	want := writeHistory(t, j)
	full, err := os.OpenFile("/dev/full", os.O_RDWR, 0)
	if err != nil {
		t.Skip("no /dev/full here")
	}
	good := j.file
	defer good.Close()
	j.file = full
	if err := os.Mkdir(j.path()+".new", 0o700); err != nil { // makes compaction fail too
		t.Fatal(err)
	}
	m := mustAccept(t, j, "lost", []byte("x"))
	if err := j.flush(); err == nil {
		t.Fatal("a flush to a full disk succeeded")
	}
	j.add(newRecord(recordDone, m.seq)) // its client is refused
	if _, err := j.accept(&pendingMessage{id: "more"}); err == nil {
		t.Error("a message was accepted while the journal could not be written")
	}
	if err := j.flush(); err == nil {
		t.Error("a compaction on a full disk succeeded")
	}
	if err := os.Remove(j.path() + ".new"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the journal is written again", func() bool { return j.flush() == nil })
	checkLive(t, openTestJournal(t, dir, 3).live, want)
}

// The reserve of a message must hold all records that may follow it, or its end could find the disk full.
func TestMessageReserveHoldsLaterRecords(t *testing.T) {
	const attempts, seq = 12, 1 << 40
	var all []byte
	for i := range attempts {
		all = appendRecord(all, attemptRecord(seq, time.Now(), -1)) // of a zone that has no number
		all = appendRecord(all, outcomeRecord(recordFailed, seq, i))
	}
	all = appendRecord(all, finalRecord(seq, finalAnswer{retryAfter: maxTTL}))
	all = appendRecord(all, newRecord(recordDone, seq))
	accepted := appendRecord(nil, acceptedRecord(&pendingMessage{seq: seq, deadline: time.Now(), class: 9, dest: 1e6}))
	if got := len(all) + len(accepted); got > messageReserve {
		t.Errorf("the records take %d bytes, the reserve is %d", got, messageReserve)
	}
}

// Endpoints are remembered over restarts and compactions. The oldest are dropped first, but none that an
// operator has disabled.
func TestEndpointsAreRemembered(t *testing.T) {
	dir := t.TempDir()
	j := openTestJournal(t, dir, 3)
	for i := range maxKnown + 9 {
		j.add(endpointRecord(recordListed, "e"+itoa(i), time.Now()))
		if i == 3 || i == 4 {
			j.add(endpointRecord(recordDisabled, "e"+itoa(i), time.Now()))
			j.add(endpointRecord(recordListed, "e"+itoa(i), time.Now()))
		}
	}
	j.add(endpointRecord(recordEnabled, "e4", time.Now()))
	for round := range 3 {
		if round == 1 {
			if err := j.compact(); err != nil {
				t.Fatal(err)
			}
		}
		if len(j.knownEndpoints) != maxKnown || len(j.disabled) != maxKnown || !j.disabled["e3"] || j.disabled["e4"] || j.enabledAt["e4"].IsZero() {
			t.Errorf("round %d: %d known endpoints, e3 disabled: %v, e4 disabled: %v", round, len(j.knownEndpoints), j.disabled["e3"], j.disabled["e4"])
		}
		if _, known := j.disabled["e0"]; known {
			t.Error("the oldest endpoint is still known")
		}
		sizeBefore := j.liveSize
		if err := j.close(); err != nil {
			t.Fatal(err)
		}
		if j = openTestJournal(t, dir, 3); j.liveSize != sizeBefore || len(j.live) != 0 {
			t.Errorf("live size %d after a restart, want %d", j.liveSize, sizeBefore)
		}
	}
}

// The folder keeps its budget also while a compaction has both files, whatever clumps of messages come at once. It guards
// against a limit on disk that a compaction passes.
func TestCompactionKeepsTheBudget(t *testing.T) {
	const diskMB, clumps, clump = 3, 400, 10
	random := rand.New(rand.NewPCG(1, 2))
	j := openTestJournal(t, t.TempDir(), diskMB)
	var live []*pendingMessage
	peak, compactions, refused := int64(0), 0, 0
	step := func(change func()) { // a compaction replaces the file
		before, file := j.fileSize, j.file
		change()
		size := j.fileSize
		if j.file != file {
			compactions++
			size += before
		}
		peak = max(peak, size)
	}
	for number := range clumps {
		for i := range random.IntN(clump) + 1 {
			step(func() {
				m, err := j.accept(&pendingMessage{id: itoa(number*clump + i), class: 1, dest: 7, body: make([]byte, random.IntN(maxBody)), deadline: time.UnixMicro(1)})
				if errors.Is(err, errDiskBudget) {
					refused++
					return
				}
				if err != nil {
					t.Fatal(err)
				}
				live = append(live, m)
			})
		}
		step(func() { mustFlush(t, j) })
		for len(live) > 0 && random.IntN(5) > 0 {
			i := random.IntN(len(live))
			j.add(newRecord(recordDone, live[i].seq))
			live = slices.Delete(live, i, i+1)
		}
		step(func() { mustFlush(t, j) })
	}
	if peak > diskMB<<20 {
		t.Errorf("the files had %d bytes at most, %d are allowed", peak, diskMB<<20)
	}
	if compactions == 0 || refused == 0 {
		t.Errorf("%d compactions, %d messages refused: the test has not come to the limit", compactions, refused)
	}
}
