package burden

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"strconv"
	"time"

	"starlingusher/choice"
	"starlingusher/internal/lab/scale/play"
)

// down is the axis of the destinations that are down.
func down() play.Axis {
	return play.Axis{
		Name:  "down",
		XUnit: "destination down",
		Description: "Of the destinations that a node has traffic for, D are down: each call and probe there fails. The decision module alone, on a " +
			"clock of its own: what it sends there once it knows, and the processor time of its steps. The module asks for no probe of its own " +
			"accord today: what it sends are trials, with events that wait. A step walks the destinations that something waits for by their square " +
			"where all their endpoints failed last (choice.go: release, next, lameHeld).",
		Measures: []play.Measure{
			{ID: "node.down.probes", Description: "probes and calls to destinations that are down, once that is known, all together", Unit: "count/s", Exact: true},
			{ID: "node.down.cpu", Description: "processor time of the decision module's steps, by the destinations that are down", Unit: "s/s"},
			{ID: "node.down.step", Description: "processor time of a step, in the mean, by the destinations that are down", Unit: "s"},
			{ID: "node.down.heap", Description: "heap of the module, by the destinations that are down", Unit: "B"},
		},
		Settings: map[string]play.Setting{
			"destinations": {Default: 2000, Min: 1, Max: 400000, Description: "that there is traffic for, evenly"},
			"rate":         {Default: 232, Min: 0.01, Max: 10000, Description: "events a second"},
			"deadline":     {Default: 15, Min: 1, Max: 86400, Description: "seconds that an event may take"},
			"silent":       {Default: 0, Min: 0, Max: 1, Description: "share of those down that don't answer; the others refuse connections"},
			"slots":        {Default: 64, Min: 1, Max: 10000, Description: "calls out at once"},
			// 232 events a second over 2,000 destinations are a quarter of the half event a second that each gets from all nodes.
			"fleet":   {Default: 4, Min: 1, Max: 100000, Description: "nodes altogether, as the module is told; what a destination takes is parted among them"},
			"weight":  {Default: 2, Min: 0, Max: 10000, Description: "calls a second that a destination takes; 0: not known"},
			"warm":    {Default: 20, Min: 0, Max: 3600, Description: "seconds before anything is counted"},
			"seconds": {Default: 20, Min: 1, Max: 3600, Description: "seconds that are counted"},
		},
		Play: playDown,
	}
}

func playDown(ctx context.Context, s play.Spec, _ *slog.Logger) (play.Reading, error) {
	var r play.Reading
	n, d := int(s.Settings["destinations"]), int(s.X)
	if d > n {
		return r, fmt.Errorf("%d destinations can't be down of %d", d, n)
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	seconds := func(name string) time.Duration { return time.Duration(s.Settings[name] * float64(time.Second)) }
	before := liveHeap()
	sender := choice.New(settings(int(s.Settings["fleet"]), int(s.Settings["slots"]), seconds("deadline")), s.Seed)
	m := &meter{of: sender}
	w := newWorld(m, n, d, s.Settings["silent"], s.Seed)
	w.every, w.life = time.Duration(float64(time.Second)/s.Settings["rate"]), seconds("deadline")
	w.step(oneEach(n, s.Settings["weight"]))
	if err := w.run(ctx, seconds("warm")); err != nil {
		return r, err
	}
	listed, avoided := sender.EndpointCounts()
	m.reset()
	w.count = counts{}
	if err := w.run(ctx, seconds("seconds")); err != nil {
		return r, err
	}
	if m.err != nil {
		return r, m.err
	}
	span := s.Settings["seconds"]
	r.SetValue("node.down.probes", float64(w.count.probes+w.count.callsDown)/span)
	r.SetValue("node.down.cpu", m.used.Seconds()/span)
	r.SetValue("node.down.step", m.mean())
	r.SetCount("probes", float64(w.count.probes))
	r.SetCount("calls_down", float64(w.count.callsDown))
	r.SetCount("calls", float64(w.count.calls))
	r.SetCount("arrived", float64(w.count.arrived))
	r.SetCount("refused", float64(w.count.refused))
	r.SetCount("delivered", float64(w.count.delivered))
	r.SetCount("steps", float64(m.steps))
	r.SetCount("step_longest_s", m.most.Seconds())
	r.SetCount("listed", float64(listed))
	r.SetCount("avoided", float64(avoided)) // when the count began
	w.queue, w.attempts, w.over = nil, nil, nil
	r.SetValue("node.down.heap", liveHeap()-before)
	runtime.KeepAlive(sender)
	return r, nil
}

const (
	answerTime  = 40 * time.Millisecond   // of a destination that is up
	refusalTime = time.Millisecond        // of a connection that is refused
	probeTime   = 1500 * time.Millisecond // after which a probe that is not answered has failed
)

// counts are what a world saw.
type counts struct{ probes, calls, callsDown, arrived, refused, delivered int }

// world is all that a module meets, on a clock of its own: events that come evenly for destinations drawn at random, and
// destinations of which the first ones are down.
type world struct {
	module    stepper
	rand      *rand.Rand
	now       time.Duration
	dests     int
	down      map[string]bool // endpoints; true: it does not answer
	every     time.Duration   // between events
	life      time.Duration   // of an event
	next      time.Duration   // event
	wakeAt    time.Duration   // 0: none
	queue     queue
	ordered   int
	attempts  map[string]int             // by event: sends so far
	over      map[attempt]choice.Outcome // sends whose outcome is queued
	lastEvent int
	count     counts
}

// attempt names one Send.
type attempt struct {
	id string
	n  int
}

func newWorld(module stepper, dests, down int, silent float64, seed uint64) *world {
	w := &world{
		module: module, rand: rand.New(rand.NewPCG(seed, 0xd0)), now: clockStart, dests: dests, down: map[string]bool{},
		attempts: map[string]int{}, over: map[attempt]choice.Outcome{}, every: time.Second, life: time.Minute,
	}
	for i := range down {
		w.down[endpointID(i)] = float64(i) < silent*float64(down)
	}
	w.next = w.now
	return w
}

// run goes on for a time.
func (w *world) run(ctx context.Context, span time.Duration) error {
	for end := w.now + span; ; {
		at := w.next
		if len(w.queue) > 0 {
			at = min(at, w.queue[0].at)
		}
		if w.wakeAt > 0 {
			at = min(at, w.wakeAt)
		}
		if at >= end {
			w.now = end
			return nil
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		w.now = max(w.now, at)
		var events []choice.Event
		for len(w.queue) > 0 && w.queue[0].at <= w.now {
			events = append(events, w.take(heap.Pop(&w.queue).(due).event)...)
		}
		if w.next <= w.now {
			events = append(events, w.arrival())
			w.next += w.every
		}
		if w.wakeAt > 0 && w.wakeAt <= w.now {
			w.wakeAt = 0
			events = append(events, choice.WakeDue{Tag: "sweep"})
		}
		if len(events) > 0 {
			w.step(events...)
		}
	}
}

func (w *world) arrival() choice.Event {
	w.lastEvent++
	w.count.arrived++
	return choice.MessageArrived{ID: strconv.Itoa(w.lastEvent), Tenant: -1, Dest: w.rand.IntN(w.dests), Deadline: w.now + w.life}
}

// take is a queued event that has fallen due. A call that was called off has ended before.
func (w *world) take(e choice.Event) []choice.Event {
	if e, ok := e.(choice.AttemptEnded); ok {
		a := attempt{e.ID, e.Attempt}
		if is, out := w.over[a]; !out || is != e.Outcome {
			return nil
		}
		delete(w.over, a)
		if e.Outcome == choice.Success {
			w.count.delivered++
			delete(w.attempts, e.ID)
		}
	}
	return []choice.Event{e}
}

// step lets the module decide, and queues what becomes of it.
func (w *world) step(events ...choice.Event) {
	for _, a := range w.module.Step(w.now, events) {
		switch a := a.(type) {
		case choice.Send:
			w.send(a)
		case choice.Probe:
			w.probe(a)
		case choice.Cancel:
			if _, out := w.over[attempt{a.ID, a.Attempt}]; out {
				w.end(0, choice.AttemptEnded{ID: a.ID, Attempt: a.Attempt, Outcome: choice.Canceled})
			}
		case choice.Refuse:
			w.count.refused++
			delete(w.attempts, a.ID)
		case choice.Fail:
			delete(w.attempts, a.ID)
		case choice.Wake:
			if w.wakeAt == 0 || a.At < w.wakeAt {
				w.wakeAt = a.At
			}
		}
	}
}

func (w *world) send(a choice.Send) {
	n := w.attempts[a.ID]
	w.attempts[a.ID] = n + 1
	w.count.calls++
	e := choice.AttemptEnded{ID: a.ID, Attempt: n, Endpoint: a.Endpoint, Outcome: choice.Success}
	silent, isDown := w.down[a.Endpoint]
	took := answerTime
	switch {
	case silent:
		e.Outcome, took = choice.TimedOut, max(a.TimeoutAt-w.now, 0)
	case isDown:
		e.Outcome, took = choice.Unreachable, refusalTime
	}
	if isDown {
		w.count.callsDown++
	}
	e.Took = took
	w.end(took, e)
}

// end queues the one outcome of a Send.
func (w *world) end(after time.Duration, e choice.AttemptEnded) {
	w.over[attempt{e.ID, e.Attempt}] = e.Outcome
	w.after(after, e)
}

func (w *world) probe(a choice.Probe) {
	w.count.probes++
	silent, isDown := w.down[a.Endpoint]
	p := choice.ProbeEnded{Endpoint: a.Endpoint, Outcome: choice.Success, Took: answerTime}
	switch {
	case silent:
		p.Outcome, p.Took = choice.TimedOut, probeTime
	case isDown:
		p.Outcome, p.Took = choice.Unreachable, refusalTime
	}
	w.after(p.Took, p)
}

func (w *world) after(d time.Duration, e choice.Event) {
	w.ordered++
	heap.Push(&w.queue, due{w.now + d, w.ordered, e})
}

// due is an event to come, in order of time and then of making.
type due struct {
	at    time.Duration
	order int
	event choice.Event
}

type queue []due

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(due)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = due{}
	*q = old[:len(old)-1]
	return x
}
