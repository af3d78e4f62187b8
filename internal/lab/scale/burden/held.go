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

// held is the axis of the events that a node holds because nobody takes them.
func held() play.Axis {
	return play.Axis{
		Name:  "held",
		XUnit: "event",
		Description: "A node holds N events that no partner takes. The decision module alone: one event more in a step, a step in which nothing " +
			"happens, and its memory. A real node: memory and file with N events handed in by clients, then a kill and the time until it is ready " +
			"again. Each step walks all that is held twice (choice.go: expire and arm), and the destinations that something waits for by their " +
			"square where all their endpoints failed last (release, next, lameHeld).",
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
			"destinations": {Default: 100, Min: 1, Max: 10000, Description: "that the events are for, evenly"},
			"fleet":        {Default: 820, Min: 1, Max: 100000, Description: "nodes altogether, as the node is told"},
			"journal_most": {Default: 200000, Min: 0, Max: 1e7, Description: "events from which on the real node is left out; 0 leaves it out"},
			"body":         {Default: 200, Min: 0, Max: 60000, Description: "bytes of an event's body"},
			"clients":      {Default: 256, Min: 1, Max: 300, Description: "connections that hand events in"},
			"load_seconds": {Default: 120, Min: 1, Max: 3600, Description: "within which the real node must have taken all events"},
			"max_open":     {Default: 0, Min: 0, Max: 1e9, Description: "events that the real node may hold; 0: as many as it takes"},
			"disk_mb":      {Default: 0, Min: 0, Max: 1 << 20, Description: "of the real node's lasting folder; 0: as much as it takes"},
			"memory_mb":    {Default: 8192, Min: 16, Max: 1 << 20, Description: "of the real node"},
			"cores":        {Default: 1, Min: 0.1, Max: 64, Description: "of the real node from its second start on"},
			// With one a step takes one event, as the loop is run for each that comes, and the load takes time by the square of the events.
			"load_cores": {Default: 4, Min: 0.1, Max: 64, Description: "of the real node while it is filled"},
		},
		Play: playHeld,
	}
}

func playHeld(ctx context.Context, s play.Spec, log *slog.Logger) (play.Reading, error) {
	var r play.Reading
	n, dests := int(s.X), int(s.Settings["destinations"])
	if err := moduleHeld(ctx, &r, n, dests, int(s.Settings["fleet"]), s.Seed); err != nil {
		return r, err
	}
	if most := s.Settings["journal_most"]; s.X > most {
		if most > 0 {
			r.AddNote("the real node is left out above %.0f events", most)
		}
		return r, nil
	}
	return r, journalHeld(ctx, &r, s, log)
}

const (
	heldSteps   = 300             // that are timed,
	heldLeast   = 20              // fewer once they have taken
	heldTime    = 3 * time.Second // so long
	loadBatch   = 1 << 14         // events in one step while the module is filled
	never       = 1000 * time.Hour
	messageLife = 24 * time.Hour // the longest that clients may ask for
)

// moduleHeld fills the module with n events and times its steps. Each destination has told to wait, so nothing goes out: what a step
// takes is what it takes to hold.
//
// Where it goes, by processor profiles of this play with 40,000 events of 100 destinations: 46% to arm (its loop over s.open, which reads
// two fields of each message), 39% to expire (slices.DeleteFunc over s.open), in every step, also in one in which nothing happens. With
// 1,000 destinations, all of whose endpoints failed last, 77% goes to release: next asks lameHeld, which walks s.active, for each of
// s.active, so that the destinations that something waits for count by their square.
func moduleHeld(ctx context.Context, r *play.Reading, n, dests, fleet int, seed uint64) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	sender := choice.New(settings(fleet, 64, messageLife), seed)
	f := filler{of: sender, now: clockStart}
	f.step(oneEach(dests, 2))
	for id := range min(n, dests) { // of each destination the first one hears of the wait
		f.step(f.arrival(id, id%dests))
	}
	before := liveHeap()
	batch := make([]choice.Event, 0, loadBatch)
	for id := dests; id < n; id++ {
		if batch = append(batch, f.arrival(id, id%dests)); len(batch) == loadBatch || id == n-1 {
			f.step(batch...)
			batch = batch[:0]
			if ctx.Err() != nil {
				return context.Cause(ctx)
			}
		}
	}
	clear(batch[:cap(batch)])
	after := liveHeap()
	runtime.KeepAlive(batch)
	if f.refused > 0 {
		return fmt.Errorf("the module refused or ended %d of %d events", f.refused, n)
	}
	if n > dests { // those of the first round were there before
		r.SetValue("module.held.heap", (after-before)*float64(n)/float64(n-dests))
	}
	r.SetCount("module_calls", float64(f.calls))

	m := &meter{of: sender}
	f.of = m
	var used, wakes time.Duration
	var most time.Duration
	steps := 0
	for began := time.Now(); steps < heldSteps && (steps < heldLeast || time.Since(began) < heldTime); steps++ {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		id := n + steps
		m.reset()
		f.step(f.arrival(id, id%dests))
		used, most = used+m.used, max(most, m.most)
		m.reset()
		f.step(choice.WakeDue{Tag: "sweep"})
		wakes += m.used
		f.step(choice.MessageAbandoned{ID: strconv.Itoa(id)}) // so that it goes on holding n
	}
	if m.err != nil {
		return m.err
	}
	if f.refused > 0 {
		return fmt.Errorf("the module refused or ended %d of %d timed events", f.refused, steps)
	}
	r.SetValue("module.held.step", used.Seconds()/float64(steps))
	r.SetValue("module.held.wake", wakes.Seconds()/float64(steps))
	r.SetCount("module_step_longest_s", most.Seconds())
	r.SetCount("module_steps", float64(steps))
	return nil
}

// filler drives the module on a clock of its own. Whatever is called refuses and tells to wait.
type filler struct {
	of             stepper
	now            time.Duration
	calls, refused int
}

func (f *filler) arrival(id, dest int) choice.Event {
	return choice.MessageArrived{ID: strconv.Itoa(id), Tenant: -1, Dest: dest, Deadline: f.now + messageLife}
}

func (f *filler) step(events ...choice.Event) {
	for len(events) > 0 {
		f.now += time.Millisecond
		actions := f.of.Step(f.now, events)
		events = nil
		for _, a := range actions {
			switch a := a.(type) {
			case choice.Send:
				f.calls++
				events = append(events, choice.AttemptEnded{ID: a.ID, Endpoint: a.Endpoint, Outcome: choice.Rejected, Took: time.Millisecond, RetryAfter: never})
			case choice.Refuse, choice.Fail:
				f.refused++
			}
		}
	}
}
