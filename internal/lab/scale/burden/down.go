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

// downAxis is the axis of the destinations that are down.
func downAxis() play.Axis {
	return play.Axis{
		Name:  "down",
		XUnit: "destination down",
		Description: "Of the destinations that a node has traffic for, x are down: each call and probe there fails. The decision module alone, on a " +
			"simulated clock: the calls and probes it makes there once it knows, and the CPU time of its steps. Today the module makes no probes " +
			"unasked: what it sends are half-open calls with waiting messages. The cost of a step grows with the square of the destinations that " +
			"have messages waiting and whose endpoints have all failed last (choice.go: startCalls, nextMessage, unresponsiveCalls).",
		Measures: []play.Measure{
			{ID: "node.down.probes", Description: "probes and calls to destinations that are down, once that is known, all together", Unit: "count/s", Exact: true},
			{ID: "node.down.cpu", Description: "processor time of the decision module's steps, by the destinations that are down", Unit: "s/s"},
			{ID: "node.down.step", Description: "processor time of a step, in the mean, by the destinations that are down", Unit: "s"},
			{ID: "node.down.heap", Description: "heap of the module, by the destinations that are down", Unit: "B"},
		},
		Settings: map[string]play.Setting{
			"destinations": {Default: 2000, Min: 1, Max: 400000, Description: "destinations, which get the traffic evenly"},
			"rate":         {Default: 232, Min: 0.01, Max: 10000, Description: "messages per second"},
			"deadline":     {Default: 15, Min: 1, Max: 86400, Description: "deadline of a message in seconds"},
			"silent":       {Default: 0, Min: 0, Max: 1, Description: "share of the down destinations that do not answer; the others refuse connections"},
			"slots":        {Default: 64, Min: 1, Max: 10000, Description: "limit of calls in flight"},
			// 232 messages a second over 2,000 destinations are a quarter of the half message a second that a
			// destination gets from all nodes.
			"fleet":   {Default: 4, Min: 1, Max: 100000, Description: "size of the fleet as the module sees it; a destination's capacity is divided among the nodes"},
			"weight":  {Default: 2, Min: 0, Max: 10000, Description: "calls per second that a destination takes; 0: unknown"},
			"warm":    {Default: 20, Min: 0, Max: 3600, Description: "seconds before the measurement"},
			"seconds": {Default: 20, Min: 1, Max: 3600, Description: "seconds of the measurement"},
		},
		Play: playDown,
	}
}

func playDown(ctx context.Context, s play.Spec, _ *slog.Logger) (play.Reading, error) {
	var r play.Reading
	total, downCount := int(s.Settings["destinations"]), int(s.X)
	if downCount > total {
		return r, fmt.Errorf("%d of %d destinations can't be down", downCount, total)
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	seconds := func(name string) time.Duration { return time.Duration(s.Settings[name] * float64(time.Second)) }
	heapBefore := liveHeap()
	sender := choice.New(moduleSettings(int(s.Settings["fleet"]), int(s.Settings["slots"]), seconds("deadline")), s.Seed)
	timer := &stepTimer{module: sender}
	sim := newSimulation(timer, total, downCount, s.Settings["silent"], s.Seed)
	sim.interval, sim.messageTTL = time.Duration(float64(time.Second)/s.Settings["rate"]), seconds("deadline")
	sim.step(listUpdate(total, s.Settings["weight"]))
	if err := sim.run(ctx, seconds("warm")); err != nil {
		return r, err
	}
	listed, avoided := sender.EndpointCounts()
	timer.reset()
	sim.count = counts{}
	if err := sim.run(ctx, seconds("seconds")); err != nil {
		return r, err
	}
	if timer.err != nil {
		return r, timer.err
	}
	measuredSeconds := s.Settings["seconds"]
	r.SetValue("node.down.probes", float64(sim.count.probes+sim.count.callsDown)/measuredSeconds)
	r.SetValue("node.down.cpu", timer.cpuTime.Seconds()/measuredSeconds)
	r.SetValue("node.down.step", timer.meanSeconds())
	r.SetCount("probes", float64(sim.count.probes))
	r.SetCount("calls_down", float64(sim.count.callsDown))
	r.SetCount("calls", float64(sim.count.calls))
	r.SetCount("arrived", float64(sim.count.arrivals))
	r.SetCount("refused", float64(sim.count.refused))
	r.SetCount("delivered", float64(sim.count.delivered))
	r.SetCount("steps", float64(timer.steps))
	r.SetCount("step_longest_s", timer.longest.Seconds())
	r.SetCount("listed", float64(listed))
	r.SetCount("avoided", float64(avoided)) // at the start of the measurement
	sim.queue, sim.attempts, sim.pendingOutcomes = nil, nil, nil
	r.SetValue("node.down.heap", liveHeap()-heapBefore)
	runtime.KeepAlive(sender)
	return r, nil
}

const (
	answerTime  = 40 * time.Millisecond   // of a destination that is up
	refusalTime = time.Millisecond        // of a connection that is refused
	probeTime   = 1500 * time.Millisecond // after which an unanswered probe fails
)

// counts are what a simulation has seen.
type counts struct{ probes, calls, callsDown, arrivals, refused, delivered int }

// simulation is the environment of a module, on a simulated clock: messages arrive at even intervals for
// destinations drawn at random, and the first of the destinations are down.
type simulation struct {
	module          stepper
	rand            *rand.Rand
	now             time.Duration
	dests           int
	down            map[string]bool // endpoints; true: does not answer, false: refuses connections
	interval        time.Duration   // between messages
	messageTTL      time.Duration   // from a message's arrival to its deadline
	nextArrival     time.Duration   // time of the next message
	wakeAt          time.Duration   // 0: none
	queue           eventQueue
	queued          int
	attempts        map[string]int                // number of sends so far, by message
	pendingOutcomes map[attemptKey]choice.Outcome // of sends whose end is queued
	lastMessage     int
	count           counts
}

// attemptKey identifies one Send.
type attemptKey struct {
	id     string
	number int
}

func newSimulation(module stepper, dests, down int, silent float64, seed uint64) *simulation {
	s := &simulation{
		module: module, rand: rand.New(rand.NewPCG(seed, 0xd0)), now: clockStart, dests: dests, down: map[string]bool{},
		attempts: map[string]int{}, pendingOutcomes: map[attemptKey]choice.Outcome{}, interval: time.Second, messageTTL: time.Minute,
	}
	for i := range down {
		s.down[endpointID(i)] = float64(i) < silent*float64(down)
	}
	s.nextArrival = s.now
	return s
}

// run advances the simulation by a time.
func (s *simulation) run(ctx context.Context, duration time.Duration) error {
	for end := s.now + duration; ; {
		at := s.nextArrival
		if len(s.queue) > 0 {
			at = min(at, s.queue[0].at)
		}
		if s.wakeAt > 0 {
			at = min(at, s.wakeAt)
		}
		if at >= end {
			s.now = end
			return nil
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		s.now = max(s.now, at)
		var events []choice.Event
		for len(s.queue) > 0 && s.queue[0].at <= s.now {
			events = append(events, s.handleDue(heap.Pop(&s.queue).(dueEvent).event)...)
		}
		if s.nextArrival <= s.now {
			events = append(events, s.newArrival())
			s.nextArrival += s.interval
		}
		if s.wakeAt > 0 && s.wakeAt <= s.now {
			s.wakeAt = 0
			events = append(events, choice.WakeDue{Tag: "sweep"})
		}
		if len(events) > 0 {
			s.step(events...)
		}
	}
}

func (s *simulation) newArrival() choice.Event {
	s.lastMessage++
	s.count.arrivals++
	return choice.MessageArrived{ID: strconv.Itoa(s.lastMessage), Tenant: -1, Dest: s.rand.IntN(s.dests), Deadline: s.now + s.messageTTL}
}

// handleDue returns the events of a queued event that is due: none for a call that was canceled, as it has
// ended already.
func (s *simulation) handleDue(e choice.Event) []choice.Event {
	if e, ok := e.(choice.AttemptEnded); ok {
		a := attemptKey{e.ID, e.Attempt}
		if outcome, pending := s.pendingOutcomes[a]; !pending || outcome != e.Outcome {
			return nil
		}
		delete(s.pendingOutcomes, a)
		if e.Outcome == choice.Success {
			s.count.delivered++
			delete(s.attempts, e.ID)
		}
	}
	return []choice.Event{e}
}

// step runs a step of the module, and queues the effects of its actions.
func (s *simulation) step(events ...choice.Event) {
	for _, a := range s.module.Step(s.now, events) {
		switch a := a.(type) {
		case choice.Send:
			s.send(a)
		case choice.Probe:
			s.probe(a)
		case choice.Cancel:
			if _, out := s.pendingOutcomes[attemptKey{a.ID, a.Attempt}]; out {
				s.queueOutcome(0, choice.AttemptEnded{ID: a.ID, Attempt: a.Attempt, Outcome: choice.Canceled})
			}
		case choice.Refuse:
			s.count.refused++
			delete(s.attempts, a.ID)
		case choice.Fail:
			delete(s.attempts, a.ID)
		case choice.Wake:
			if s.wakeAt == 0 || a.At < s.wakeAt {
				s.wakeAt = a.At
			}
		}
	}
}

func (s *simulation) send(a choice.Send) {
	number := s.attempts[a.ID]
	s.attempts[a.ID] = number + 1
	s.count.calls++
	e := choice.AttemptEnded{ID: a.ID, Attempt: number, Endpoint: a.Endpoint, Outcome: choice.Success}
	silent, isDown := s.down[a.Endpoint]
	took := answerTime
	switch {
	case silent:
		e.Outcome, took = choice.TimedOut, max(a.TimeoutAt-s.now, 0)
	case isDown:
		e.Outcome, took = choice.Unreachable, refusalTime
	}
	if isDown {
		s.count.callsDown++
	}
	e.Took = took
	s.queueOutcome(took, e)
}

// queueOutcome queues the end of a Send. If it is called again, only the last outcome counts.
func (s *simulation) queueOutcome(after time.Duration, e choice.AttemptEnded) {
	s.pendingOutcomes[attemptKey{e.ID, e.Attempt}] = e.Outcome
	s.queueEvent(after, e)
}

func (s *simulation) probe(a choice.Probe) {
	s.count.probes++
	silent, isDown := s.down[a.Endpoint]
	p := choice.ProbeEnded{Endpoint: a.Endpoint, Outcome: choice.Success, Took: answerTime}
	switch {
	case silent:
		p.Outcome, p.Took = choice.TimedOut, probeTime
	case isDown:
		p.Outcome, p.Took = choice.Unreachable, refusalTime
	}
	s.queueEvent(p.Took, p)
}

func (s *simulation) queueEvent(d time.Duration, e choice.Event) {
	s.queued++
	heap.Push(&s.queue, dueEvent{s.now + d, s.queued, e})
}

// dueEvent is a queued event; events are ordered by time, and then by their number.
type dueEvent struct {
	at    time.Duration
	order int
	event choice.Event
}

type eventQueue []dueEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(dueEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = dueEvent{}
	*q = old[:len(old)-1]
	return x
}
