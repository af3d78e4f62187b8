// Package burden has the axes of a scale run that measure the costs of a node's own work: messages that it
// holds, and destinations that are down. The decision module is driven alone, on a simulated clock; the
// journal is that of a real coralyard process.
package burden

import (
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"starlingusher/choice"
	"starlingusher/internal/lab/scale/play"
)

// Axes returns the axes of a node's own work.
func Axes() []play.Axis { return []play.Axis{heldAxis(), downAxis()} }

// clockStart is the module's clock at the start, as on a node.
const clockStart = 48 * time.Hour

// moduleSettings returns the settings of a module in a fleet, with the lab's defaults: one class of
// idempotent messages, and weights in calls a second.
func moduleSettings(fleet, slots int, deadline time.Duration) choice.Settings {
	return choice.Settings{
		Classes:   []choice.Class{{SoftDeadline: time.Second, Deadline: deadline, Worth: 1, Effect: choice.Idempotent}},
		Kinds:     []choice.Kind{{MaxBatch: 1}},
		FleetSize: fleet, Slots: slots, MaxAttempts: 6, MayProbe: true, MayCancel: true, WeightIsRate: true, FullTableRejects: true, OverShareWorth: 1,
		Tick: 5 * time.Millisecond, MaxRetryAfter: 2 * time.Second, DialTimeout: 1500 * time.Millisecond, IdleConnTimeout: 5 * time.Second,
		DrainGrace: time.Second, AnswerGrace: 20 * time.Millisecond, CollapseMultiple: 2, CollapseSpan: 2 * time.Second, SlowStartShare: 0.19,
		SlowStartDuration: 10 * time.Second, WatchWithin: 10 * time.Second,
	}
}

// endpointID returns the ID of a destination's only endpoint.
func endpointID(dest int) string { return fmt.Sprintf("d%06d-e0", dest) }

// listUpdate lists this many destinations with one endpoint each, which takes perSecond calls a second.
func listUpdate(destinations int, perSecond float64) choice.ListUpdate {
	entries := make([]choice.Entry, destinations)
	for i := range entries {
		entries[i] = choice.Entry{Endpoint: endpointID(i), Dest: i, Weight: perSecond}
	}
	return choice.ListUpdate{Complete: true, Entries: entries}
}

// liveHeap returns the live heap in bytes.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC() // frees what the first one only marked, such as objects with finalizers
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// threadCPUTime returns the CPU time of the calling thread, to which the goroutine must be locked. It
// includes the thread's assists for the garbage collector, but not the collector's own threads.
func threadCPUTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		return 0, fmt.Errorf("CPU time of a thread: %w", err)
	}
	return time.Duration(t.Nano()), nil
}

// stepper is the decision module, or a test's fake.
type stepper interface {
	Step(now time.Duration, events []choice.Event) []choice.Action
}

// stepTimer is a stepper that adds up the CPU time of its steps.
type stepTimer struct {
	module  stepper
	cpuTime time.Duration
	steps   int
	longest time.Duration // of one step
	err     error
}

func (t *stepTimer) Step(now time.Duration, events []choice.Event) []choice.Action {
	before, err := threadCPUTime()
	actions := t.module.Step(now, events)
	after, errAfter := threadCPUTime()
	if t.err == nil && err != nil {
		t.err = err
	}
	if t.err == nil && errAfter != nil {
		t.err = errAfter
	}
	t.cpuTime += after - before
	t.longest = max(t.longest, after-before)
	t.steps++
	return actions
}

func (t *stepTimer) reset() { t.cpuTime, t.longest, t.steps = 0, 0, 0 }

// meanSeconds returns the mean CPU time of a step in seconds.
func (t *stepTimer) meanSeconds() float64 { return t.cpuTime.Seconds() / float64(max(t.steps, 1)) }
