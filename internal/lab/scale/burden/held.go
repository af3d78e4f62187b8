package burden

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"strconv"
	"time"

	"starlingusher/choice"
	"starlingusher/internal/lab/scale/play"
)

// heldAxis is the axis of the messages that a node holds because no partner takes them.
func heldAxis() play.Axis {
	return play.Axis{
		Name:  "held",
		XUnit: "event",
		Description: "A node holds x messages that no partner takes. The decision module alone: a step with one more message, a step in which nothing " +
			"happens, and its memory. A real node: memory and file with x messages submitted by clients, then a kill and the time until it is " +
			"ready again. Each step walks all held messages twice (choice.go: expireMessages and scheduleWake), and its cost grows with the square " +
			"of the destinations that have messages waiting and whose endpoints have all failed last (startCalls, nextMessage, unresponsiveCalls).",
		Measures: []play.Measure{
			{ID: "module.held.step", Description: "processor time of a step that takes one event, by the events held", Unit: "s"},
			{ID: "module.held.wake", Description: "processor time of a step in which nothing happens, by the events held", Unit: "s"},
			{ID: "module.held.heap", Description: "heap of the module, by the events held", Unit: "B"},
			{ID: "journal.held.rss", Description: "resident memory of a real node, module included, by the events held", Unit: "B"},
			{ID: "journal.held.file", Description: "the journal's file, by the events held", Unit: "B"},
			{ID: "journal.start", Description: "from a real node's start after a kill until it answers, by the events held", Unit: "s"},
			{ID: "journal.start.rss", Description: "most memory that a real node held in a start after a kill, by the events held", Unit: "B"},
			{ID: "journal.stall", Description: "longest that one event handed in alone waited for its answer, by the events held", Unit: "s"},
		},
		Settings: map[string]play.Setting{
			"destinations": {Default: 100, Min: 1, Max: 10000, Description: "destinations, among which the messages are spread evenly"},
			"fleet":        {Default: 820, Min: 1, Max: 100000, Description: "size of the fleet as the node sees it"},
			"journal_most": {Default: 200000, Min: 0, Max: 1e7, Description: "most messages for which the real node is played; 0: it is left out"},
			"body":         {Default: 200, Min: 0, Max: 60000, Description: "bytes of a message's body"},
			"clients":      {Default: 256, Min: 1, Max: 300, Description: "connections that submit messages"},
			"load_seconds": {Default: 120, Min: 1, Max: 3600, Description: "seconds within which the real node must have accepted all messages"},
			"max_open":     {Default: 0, Min: 0, Max: 1e9, Description: "messages that the real node may hold; 0: as many as the play needs"},
			"disk_mb":      {Default: 0, Min: 0, Max: 1 << 20, Description: "size of the real node's state folder in MB; 0: as much as the play needs"},
			"memory_mb":    {Default: 8192, Min: 16, Max: 1 << 20, Description: "memory limit of the real node in MB"},
			"cores":        {Default: 1, Min: 0.1, Max: 64, Description: "cores of the real node from its second start on"},
			// With one core the loop runs a step for each message that comes, and the time to fill the node
			// grows with the square of the messages.
			"load_cores": {Default: 4, Min: 0.1, Max: 64, Description: "cores of the real node while it is filled"},
		},
		Play: playHeld,
	}
}

func playHeld(ctx context.Context, s play.Spec, log *slog.Logger) (play.Reading, error) {
	var r play.Reading
	n, dests := int(s.X), int(s.Settings["destinations"])
	if err := measureModule(ctx, &r, n, dests, int(s.Settings["fleet"]), s.Seed); err != nil {
		return r, err
	}
	if maxMessages := s.Settings["journal_most"]; s.X > maxMessages {
		if maxMessages > 0 {
			r.AddNote("the real node is left out above %.0f messages", maxMessages)
		}
		return r, nil
	}
	return r, measureNode(ctx, &r, s, log)
}

const (
	timedSteps     = 300             // steps that are timed
	minTimedSteps  = 20              // fewer, but at least this many, once they have taken timedStepsSpan
	timedStepsSpan = 3 * time.Second // so long
	fillBatch      = 1 << 14         // messages in one step while the module is filled
	longRetryAfter = 1000 * time.Hour
	messageTTL     = 24 * time.Hour // the longest that clients may ask for
)

// measureModule fills the module with n messages and times its steps. Each destination has sent a
// retry-after, so there are no calls: the steps cost what it costs to hold messages.
//
// In CPU profiles of this play with 40,000 messages of 100 destinations, scheduleWake takes 46% (its loop
// over Sender.open reads two fields of each message) and expireMessages 39% (slices.DeleteFunc over
// Sender.open), in every step, even if nothing happens. With 1,000 destinations whose endpoints have all
// failed last, startCalls takes 77%: nextMessage calls unresponsiveCalls, which walks Sender.activeDests, for
// each of Sender.activeDests, so the cost grows with the square of the destinations that have messages
// waiting.
func measureModule(ctx context.Context, r *play.Reading, n, dests, fleet int, seed uint64) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	sender := choice.New(moduleSettings(fleet, 64, messageTTL), seed)
	f := filler{module: sender, now: clockStart}
	f.step(listUpdate(dests, 2))
	for id := range min(n, dests) { // the first message of each destination gets the retry-after
		f.step(f.arrival(id, id%dests))
	}
	heapBefore := liveHeap()
	batch := make([]choice.Event, 0, fillBatch)
	for id := dests; id < n; id++ {
		if batch = append(batch, f.arrival(id, id%dests)); len(batch) == fillBatch || id == n-1 {
			f.step(batch...)
			batch = batch[:0]
			if ctx.Err() != nil {
				return context.Cause(ctx)
			}
		}
	}
	clear(batch[:cap(batch)])
	heapAfter := liveHeap()
	runtime.KeepAlive(batch)
	if f.refused > 0 {
		return fmt.Errorf("the module refused or ended %d of %d messages", f.refused, n)
	}
	if n > dests { // the first message of each destination came before the first reading
		r.SetValue("module.held.heap", (heapAfter-heapBefore)*float64(n)/float64(n-dests))
	}
	r.SetCount("module_calls", float64(f.calls))

	timer := &stepTimer{module: sender}
	f.module = timer
	var stepTime, wakeTime time.Duration
	var longest time.Duration
	steps := 0
	for startedAt := time.Now(); steps < timedSteps && (steps < minTimedSteps || time.Since(startedAt) < timedStepsSpan); steps++ {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		id := n + steps
		timer.reset()
		f.step(f.arrival(id, id%dests))
		stepTime, longest = stepTime+timer.cpuTime, max(longest, timer.longest)
		timer.reset()
		f.step(choice.WakeDue{Tag: "sweep"})
		wakeTime += timer.cpuTime
		f.step(choice.MessageAbandoned{ID: strconv.Itoa(id)}) // so that the module goes on holding n messages
	}
	if timer.err != nil {
		return timer.err
	}
	if f.refused > 0 {
		return fmt.Errorf("the module refused or ended %d of %d timed messages", f.refused, steps)
	}
	r.SetValue("module.held.step", stepTime.Seconds()/float64(steps))
	r.SetValue("module.held.wake", wakeTime.Seconds()/float64(steps))
	r.SetCount("module_step_longest_s", longest.Seconds())
	r.SetCount("module_steps", float64(steps))
	return nil
}

// filler drives the module on a simulated clock. Every call is rejected with a retry-after.
type filler struct {
	module         stepper
	now            time.Duration
	calls, refused int
}

func (f *filler) arrival(id, dest int) choice.Event {
	return choice.MessageArrived{ID: strconv.Itoa(id), Tenant: -1, Dest: dest, Deadline: f.now + messageTTL}
}

func (f *filler) step(events ...choice.Event) {
	for len(events) > 0 {
		f.now += time.Millisecond
		actions := f.module.Step(f.now, events)
		events = nil
		for _, a := range actions {
			switch a := a.(type) {
			case choice.Send:
				f.calls++
				events = append(events, choice.AttemptEnded{ID: a.ID, Endpoint: a.Endpoint, Outcome: choice.Rejected, Took: time.Millisecond, RetryAfter: longRetryAfter})
			case choice.Refuse, choice.Fail:
				f.refused++
			}
		}
	}
}
