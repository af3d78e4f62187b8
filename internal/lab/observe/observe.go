// Package observe records what the lab's stand-ins observe: events on a common clock, and the lateness of the
// lab itself.
package observe

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"starlingusher/fleet/history"
	"starlingusher/fleet/tally"
)

// Component is a part of the lab that has to act at given times.
type Component string

// The components.
const (
	Clients  Component = "clients"  // submissions
	Partners Component = "partners" // answers, by the time of the model
	Links    Component = "links"    // forwarding of data after its delay
	Timeline Component = "timeline" // faults
)

// Log records events. Its methods may be called from any goroutine.
type Log struct {
	start atomic.Pointer[time.Time]

	mu                  sync.Mutex
	events              [][]history.Event // in blocks: a single growing slice would be copied as a whole while all callers wait
	latenessByComponent map[Component]tally.Recorder
	counts              map[history.Kind]int
}

const blockSize = 4096 // events

// beforeStart is how far in the future the start is while its time is unknown.
const beforeStart = 24 * time.Hour

// NewLog returns a log whose clock is far below zero until Start.
func NewLog() *Log {
	l := &Log{latenessByComponent: map[Component]tally.Recorder{}, counts: map[history.Kind]int{}}
	start := time.Now().Add(beforeStart)
	l.start.Store(&start)
	return l
}

// Start sets the run's time to zero. Events recorded before get negative times.
func (l *Log) Start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	shift := now.Sub(*l.start.Load())
	for _, piece := range l.events {
		for i := range piece {
			piece[i].At -= shift
		}
	}
	l.start.Store(&now)
	clear(l.latenessByComponent)
}

// Now returns the run's time.
func (l *Log) Now() time.Duration { return time.Since(*l.start.Load()) }

// RunTime returns the run's time at a wall time.
func (l *Log) RunTime(t time.Time) time.Duration { return t.Sub(*l.start.Load()) }

// WallTime returns the wall time at a time of the run.
func (l *Log) WallTime(d time.Duration) time.Time { return l.start.Load().Add(d) }

// SleepUntil sleeps until a wall time. It returns false if the context has ended.
func SleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// Add records an event. An event without a time gets the current time.
func (l *Log) Add(e history.Event) {
	if e.At == 0 {
		e.At = l.Now()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	last := len(l.events) - 1
	if last < 0 || len(l.events[last]) == cap(l.events[last]) {
		l.events = append(l.events, make([]history.Event, 0, blockSize))
		last++
	}
	l.events[last] = append(l.events[last], e)
	l.counts[e.Kind]++
}

// RecordLateness records how late a component of the lab was with an action.
func (l *Log) RecordLateness(component Component, by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.latenessByComponent[component]
	if !ok {
		r = tally.NewRecorder()
		l.latenessByComponent[component] = r
	}
	r.Record(by)
}

// Lateness returns how late each component of the lab was so far.
func (l *Log) Lateness() map[Component]tally.Percentiles {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[Component]tally.Percentiles{}
	for component, r := range l.latenessByComponent {
		out[component] = r.Percentiles()
	}
	return out
}

// WorstLateness returns the lateness of the component with the highest 99th percentile.
func WorstLateness(all map[Component]tally.Percentiles) tally.Percentiles {
	var worst tally.Percentiles
	for _, t := range all {
		if t.P99 > worst.P99 {
			worst = t
		}
	}
	return worst
}

// CountKind returns the number of events of a kind so far.
func (l *Log) CountKind(k history.Kind) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[k]
}

// Events returns all events so far in order of time, up to the end of the run if that was recorded.
func (l *Log) Events() []history.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := slices.Concat(l.events...)
	history.Sort(out)
	if i := slices.IndexFunc(out, func(e history.Event) bool { return e.Kind == history.RunEnded }); i >= 0 {
		out = out[:i+1]
	}
	return out
}
