// Package observe keeps what the lab's stand-ins see: events on one clock, and how late the lab itself was.
package observe

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"starlingusher/fleet/history"
	"starlingusher/fleet/tally"
)

// Log takes events from any goroutine.
type Log struct {
	start atomic.Pointer[time.Time]

	mu     sync.Mutex
	events []history.Event
	late   tally.Recorder
	counts map[history.Kind]int
}

// notYet is how far off the start is while nobody knows when it will be.
const notYet = 24 * time.Hour

// NewLog makes a log whose clock is far under zero until Begin.
func NewLog() *Log {
	l := &Log{late: tally.NewRecorder(), counts: map[history.Kind]int{}}
	start := time.Now().Add(notYet)
	l.start.Store(&start)
	return l
}

// Begin lets the run's time begin now. What was seen before has times under zero.
func (l *Log) Begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	early := now.Sub(*l.start.Load())
	for i := range l.events {
		l.events[i].At -= early
	}
	l.start.Store(&now)
	l.late = tally.NewRecorder()
}

// Now is the run's time.
func (l *Log) Now() time.Duration { return time.Since(*l.start.Load()) }

// At is the run's time at another one.
func (l *Log) At(t time.Time) time.Duration { return t.Sub(*l.start.Load()) }

// Wall is the time at a run's time.
func (l *Log) Wall(d time.Duration) time.Time { return l.start.Load().Add(d) }

// Add keeps an event. One without a time has the present.
func (l *Log) Add(e history.Event) {
	if e.At == 0 {
		e.At = l.Now()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, e)
	l.counts[e.Kind]++
}

// Late notes by how much the lab was behind with something.
func (l *Log) Late(by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late.Record(by)
}

// Lateness is how late the lab was so far.
func (l *Log) Lateness() tally.Times {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.late.Times()
}

// Count is how many events of a kind there are so far.
func (l *Log) Count(k history.Kind) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[k]
}

// Events are all events so far in the order of their times, up to the end of the run if that has come.
func (l *Log) Events() []history.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := slices.Clone(l.events)
	history.Sort(out)
	if i := slices.IndexFunc(out, func(e history.Event) bool { return e.Kind == history.End }); i >= 0 {
		out = out[:i+1]
	}
	return out
}
