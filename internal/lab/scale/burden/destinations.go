package burden

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"starlingusher/choice"
)

// changes is how many single changes of the list are timed.
const changes = 20

// Module is the decision module alone with so many destinations of so many endpoints each in the mean (1.7: some have one and some
// two). It returns the bytes that the module holds for them, and for how many seconds the loop that owns it stands still for the
// first whole list and, in the mean, for a change of one endpoint. What a node keeps beside the module (the list as it was told, the
// way to each endpoint) is not in it.
func Module(destinations int, endpoints float64, seed uint64) (heapBytes, wholeStep, changeStep float64) {
	r := rand.New(rand.NewPCG(seed, 0xde57))
	before := liveHeap()
	entries := make([]choice.Entry, 0, int(float64(destinations)*endpoints)+destinations)
	for d := range destinations {
		n := int(endpoints)
		if r.Float64() < endpoints-float64(n) {
			n++
		}
		for e := range max(n, 1) {
			entries = append(entries, choice.Entry{Endpoint: fmt.Sprintf("d%06d-e%d", d, e), Dest: d, Zone: r.IntN(6), Weight: 2})
		}
	}
	sender := choice.New(settings(820, 64, 24*time.Hour), seed)
	now := clockStart
	began := time.Now()
	sender.Step(now, []choice.Event{choice.Listed{Whole: true, Entries: entries}})
	wholeStep = time.Since(began).Seconds()
	sample := make([]choice.Entry, changes)
	for i := range sample {
		sample[i] = entries[r.IntN(len(entries))]
		sample[i].Weight++
	}
	entries = nil
	heapBytes = liveHeap() - before
	began = time.Now()
	for _, e := range sample {
		now += time.Second
		sender.Step(now, []choice.Event{choice.Listed{Entries: []choice.Entry{e}}})
	}
	changeStep = time.Since(began).Seconds() / changes
	runtime.KeepAlive(sender)
	return heapBytes, wholeStep, changeStep
}
