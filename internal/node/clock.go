package node

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

const (
	clockMonotonic = 1 // CLOCK_MONOTONIC of clock_gettime(2)
	bootIDFile     = "/proc/sys/kernel/random/boot_id"
	clockReadTries = 5 // for two readings that are close together
)

// clockBase is the number that is added to the machine's monotonic clock to get timestamps, and the boot of the
// machine for which it holds. The journal keeps it.
type clockBase struct {
	bootID string
	offset time.Duration // Unix time at which the monotonic clock would have been zero
}

// timestampClock converts times of this process to timestamps and back. Timestamps are stored, and sent to
// other processes. They look like wall clock times, but they follow the monotonic clock: a step of the wall
// clock moves neither them nor the spans between them. Only over a reboot of the machine the wall clock is all
// that is left.
type timestampClock struct {
	base           clockBase
	start          time.Time // of this process's use of the clock, with a monotonic reading
	startTimestamp time.Time // without one
}

// newTimestampClock returns a clock that goes on with the timestamps of a stored base, if that is of the same
// boot, and otherwise starts from the wall clock.
func newTimestampClock(stored clockBase) timestampClock {
	start, monotonic, err := readClocks()
	if err != nil { // each process then starts from the wall clock
		return timestampClock{start: start, startTimestamp: start.Round(0)}
	}
	base := clockBase{bootID: readBootID(), offset: time.Duration(start.UnixNano()) - monotonic}.rounded()
	if base.bootID == "" { // it can't be read for the moment, and reboots are rare
		base.bootID = stored.bootID
	}
	if stored.bootID != "" && stored.bootID == base.bootID {
		base.offset = stored.offset
	}
	return timestampClock{base: base, start: start, startTimestamp: time.Unix(0, int64(base.offset+monotonic))}
}

// rounded returns the base as the journal can keep it.
func (b clockBase) rounded() clockBase {
	return clockBase{b.bootID, b.offset.Truncate(time.Microsecond)}
}

// timestamp converts a time with a monotonic reading.
func (c timestampClock) timestamp(t time.Time) time.Time { return c.startTimestamp.Add(t.Sub(c.start)) }

// time converts a timestamp to a time with a monotonic reading.
func (c timestampClock) time(timestamp time.Time) time.Time {
	return c.start.Add(timestamp.Sub(c.startTimestamp))
}

// atomicTime is a time that goroutines share. It keeps the monotonic reading.
type atomicTime struct{ value atomic.Pointer[time.Time] }

// Load returns the zero time before the first Store.
func (a *atomicTime) Load() time.Time {
	if t := a.value.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Store sets the time.
func (a *atomicTime) Store(t time.Time) { a.value.Store(&t) }

// readClocks reads the wall clock and the machine's monotonic clock at nearly the same moment.
func readClocks() (wall time.Time, monotonic time.Duration, err error) {
	closest := time.Duration(1<<63 - 1)
	for range clockReadTries {
		before, err := readMonotonic()
		if err != nil {
			return time.Now(), 0, err
		}
		now := time.Now()
		after, err := readMonotonic()
		if err != nil {
			return now, 0, err
		}
		if gap := after - before; gap < closest {
			closest, wall, monotonic = gap, now, before+gap/2
		}
	}
	return wall, monotonic, nil
}

// readMonotonic reads the monotonic clock that all processes of the machine share. Package time has only spans
// of it.
func readMonotonic() (time.Duration, error) {
	var now syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockMonotonic, uintptr(unsafe.Pointer(&now)), 0); errno != 0 {
		return 0, fmt.Errorf("monotonic clock: %w", errno)
	}
	return time.Duration(now.Nano()), nil
}

// readBootID returns what identifies the boot of the machine, or "" if that can't be read.
func readBootID() string {
	raw, err := os.ReadFile(bootIDFile)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(raw))
}
