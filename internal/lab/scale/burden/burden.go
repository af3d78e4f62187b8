// Package burden measures what a delivery node's own work costs: events that it holds, destinations that are down, destinations that
// it knows. The decision module is driven alone, on a clock of its own; the journal is that of a real coralyard process.
package burden

import (
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"starlingusher/choice"
	"starlingusher/internal/lab/scale/play"
)

// Axes are the axes of a node's own work.
func Axes() []play.Axis { return []play.Axis{held(), down()} }

// clockStart is where the module's clock starts, as on a node.
const clockStart = 48 * time.Hour

// settings are those of a module in a fleet, by the lab's defaults: one class that may be repeated, weights in calls a second.
func settings(fleet, slots int, deadline time.Duration) choice.Settings {
	return choice.Settings{
		Classes:   []choice.Class{{SoftDeadline: time.Second, Deadline: deadline, Worth: 1, Effect: choice.Idempotent}},
		Kinds:     []choice.Kind{{MaxBatch: 1}},
		FleetSize: fleet, Slots: slots, MaxAttempts: 6, MayProbe: true, MayCancel: true, WeightIsRate: true, FullTableRejects: true, OverShareWorth: 1,
		Tick: 5 * time.Millisecond, MaxRetryAfter: 2 * time.Second, DialTimeout: 1500 * time.Millisecond, IdleConnTimeout: 5 * time.Second,
		DrainGrace: time.Second, AnswerGrace: 20 * time.Millisecond, CollapseMultiple: 2, CollapseSpan: 2 * time.Second, SlowStartShare: 0.19,
		SlowStartDuration: 10 * time.Second, WatchWithin: 10 * time.Second,
	}
}

// endpointID is the name of a destination's only endpoint here.
func endpointID(dest int) string { return fmt.Sprintf("d%06d-e0", dest) }

// oneEach lists so many destinations with an endpoint each that takes perSecond calls.
func oneEach(destinations int, perSecond float64) choice.ListUpdate {
	entries := make([]choice.Entry, destinations)
	for i := range entries {
		entries[i] = choice.Entry{Endpoint: endpointID(i), Dest: i, Weight: perSecond}
	}
	return choice.ListUpdate{Complete: true, Entries: entries}
}

// liveHeap is what is live, in bytes.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC() // what the first one only marked as final
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cpuClock reads the processor time of the calling thread, which the goroutine must be locked to. The collector's own threads are not
// in it, its help by this one is.
func cpuClock() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		return 0, fmt.Errorf("processor time: %w", err)
	}
	return time.Duration(t.Nano()), nil
}

// stepper is the decision module, or a test's double of it.
type stepper interface {
	Step(now time.Duration, events []choice.Event) []choice.Action
}

// meter is a stepper whose steps' processor time adds up.
type meter struct {
	of    stepper
	used  time.Duration
	steps int
	most  time.Duration // of one step
	err   error
}

func (m *meter) Step(now time.Duration, events []choice.Event) []choice.Action {
	before, err := cpuClock()
	actions := m.of.Step(now, events)
	after, err2 := cpuClock()
	if m.err == nil && err != nil {
		m.err = err
	}
	if m.err == nil && err2 != nil {
		m.err = err2
	}
	m.used += after - before
	m.most = max(m.most, after-before)
	m.steps++
	return actions
}

func (m *meter) reset() { m.used, m.most, m.steps = 0, 0, 0 }

// mean is the processor time of a step, in seconds.
func (m *meter) mean() float64 { return m.used.Seconds() / float64(max(m.steps, 1)) }
