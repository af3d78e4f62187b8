package node

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

const day = 24 * time.Hour

// Processes of one boot agree on timestamps even if the wall clock was stepped between their starts, and a time
// survives the way to a timestamp and back.
func TestTimestampsOutlastClockSteps(t *testing.T) {
	const closeTo = time.Second // of a busy machine; the steps are larger
	first := newTimestampClock(clockBase{})
	for _, step := range []time.Duration{-day, -time.Hour, time.Hour, day} {
		stored := first.base
		stored.offset += step // as if the wall clock had been stepped since
		second := newTimestampClock(stored)
		now := time.Now()
		if off := second.timestamp(now).Sub(first.timestamp(now)) - step; off.Abs() > closeTo {
			t.Errorf("step %v: timestamps are %v off", step, off)
		}
		later := now.Add(time.Minute)
		if got := second.time(second.timestamp(later)); got.Sub(later).Abs() > time.Microsecond {
			t.Errorf("step %v: %v came back as %v", step, later, got)
		}
	}
}

// After a reboot of the machine, or without a stored base, timestamps start from the wall clock.
func TestTimestampsStartFromTheWallClock(t *testing.T) {
	for _, stored := range []clockBase{{}, {bootID: "another boot", offset: time.Hour}, {offset: time.Hour}} {
		c := newTimestampClock(stored)
		if off := time.Until(c.timestamp(time.Now()).Add(0)); off.Abs() > time.Second {
			t.Errorf("stored %+v: timestamps are %v off the wall clock", stored, off)
		}
		if c.base.bootID == "" || c.base == stored {
			t.Errorf("stored %+v: got base %+v", stored, c.base)
		}
	}
}

// The base is in the journal with the first records, and a compaction keeps it.
func TestJournalKeepsTheClock(t *testing.T) {
	dir := t.TempDir()
	j := openTestJournal(t, dir, 3)
	base := j.clock.base
	mustAccept(t, j, "a", nil)
	mustFlush(t, j)
	if again := openTestJournal(t, dir, 3); again.storedClockBase != base {
		t.Errorf("got %+v, want %+v", again.storedClockBase, base)
	}
	if err := j.compact(); err != nil {
		t.Fatal(err)
	}
	if again := openTestJournal(t, dir, 3); again.clock.base != base || again.storedClockBase != base {
		t.Errorf("after a compaction got %+v, want %+v", again.storedClockBase, base)
	}
	if raw, err := os.ReadFile(filepath.Join(dir, journalName)); err != nil || len(raw) == 0 {
		t.Errorf("journal of %d bytes, %v", len(raw), err)
	}
}

// A wait lasts as long as it was told, by a clock that steps don't move, and a shorter one does not end it.
func TestCallWaitIsExtendedOnly(t *testing.T) {
	now := time.Now()
	e := &endpoint{wait: new(callWait)}
	if e.closedAt(now) {
		t.Error("closed without a wait")
	}
	e.wait.extend(now.Add(time.Second))
	e.wait.extend(now.Add(time.Millisecond))
	if !e.closedAt(now.Add(900*time.Millisecond)) || e.closedAt(now.Add(time.Second)) {
		t.Error("the wait does not end after a second")
	}
}
