// Package observe keeps what the lab's stand-ins see: events on one clock, and how late the lab itself was.
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

// Part is a part of the lab that has something to do at a time.
type Component string

// The parts.
const (
	Clients  Component = "clients"  // handing in
	Partners Component = "partners" // answering, by the model's time
	Links    Component = "links"    // passing on, by their delay
	Timeline Component = "timeline" // faults
)

// Log takes events from any goroutine.
type Log struct {
	start atomic.Pointer[time.Time]

	mu     sync.Mutex
	events [][]history.Event // in pieces: one slice that grows is copied whole, and all wait
	late   map[Component]tally.Recorder
	counts map[history.Kind]int
}

const pieceSize = 4096 // events

// notYet is how far off the start is while nobody knows when it will be.
const notYet = 24 * time.Hour

// NewLog makes a log whose clock is far under zero until Begin.
func NewLog() *Log {
	l := &Log{late: map[Component]tally.Recorder{}, counts: map[history.Kind]int{}}
	start := time.Now().Add(notYet)
	l.start.Store(&start)
	return l
}

// Begin lets the run's time begin now. What was seen before has times under zero.
func (l *Log) Start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	early := now.Sub(*l.start.Load())
	for _, piece := range l.events {
		for i := range piece {
			piece[i].At -= early
		}
	}
	l.start.Store(&now)
	clear(l.late)
}

// Now is the run's time.
func (l *Log) Now() time.Duration { return time.Since(*l.start.Load()) }

// At is the run's time at another one.
func (l *Log) RunTime(t time.Time) time.Duration { return t.Sub(*l.start.Load()) }

// Wall is the time at a run's time.
func (l *Log) WallTime(d time.Duration) time.Time { return l.start.Load().Add(d) }

// SleepUntil waits until a time, and tells whether the context is still alive then.
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

// Add keeps an event. One without a time has the present.
func (l *Log) Add(e history.Event) {
	if e.At == 0 {
		e.At = l.Now()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	last := len(l.events) - 1
	if last < 0 || len(l.events[last]) == cap(l.events[last]) {
		l.events = append(l.events, make([]history.Event, 0, pieceSize))
		last++
	}
	l.events[last] = append(l.events[last], e)
	l.counts[e.Kind]++
}

// Late notes by how much a part of the lab was behind with something.
func (l *Log) RecordLateness(part Component, by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.late[part]
	if !ok {
		r = tally.NewRecorder()
		l.late[part] = r
	}
	r.Record(by)
}

// Lateness is how late each part of the lab was so far.
func (l *Log) Lateness() map[Component]tally.Percentiles {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[Component]tally.Percentiles{}
	for part, r := range l.late {
		out[part] = r.Percentiles()
	}
	return out
}

// Latest is the lateness of the part that was latest, by the 99th percentile.
func WorstLateness(all map[Component]tally.Percentiles) tally.Percentiles {
	var worst tally.Percentiles
	for _, t := range all {
		if t.P99 > worst.P99 {
			worst = t
		}
	}
	return worst
}

// Count is how many events of a kind there are so far.
func (l *Log) CountKind(k history.Kind) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[k]
}

// Events are all events so far in the order of their times, up to the end of the run if that has come.
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
