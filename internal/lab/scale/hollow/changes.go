package hollow

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/internal/lab/scale/play"
	"starlingusher/internal/registry"
)

const (
	writersTime = 2 * time.Second // in which the writes' own time is read
	lateWrites  = 0.95            // of those due, written in time; fewer spoil a play
)

func changesAxis() play.Axis {
	return play.Axis{
		Name: "changes", XUnit: "change/s",
		Description: "so many endpoints change each second, while hollow nodes follow the list on three replicas of the directory",
		Measures: []play.Measure{
			{ID: "node.change.bytes", Description: "bytes both ways of one node's watch, by the changes a second", Unit: "B/s", Exact: true},
			{ID: "node.change.cpu", Description: "processor time of one hollow node, by the changes a second", Unit: "s/s"},
			{ID: "directory.change.cpu", Description: "processor time of the busiest of three replicas, by the changes a second", Unit: "s/s"},
		},
		Settings: map[string]play.Setting{
			"nodes":     {Default: 100, Min: 1, Max: 820, Description: "hollow nodes"},
			"endpoints": endpointsSetting,
			"keep_kb":   keepSetting,
			"seconds":   {Default: 6, Min: 1, Max: 60, Description: "for how long endpoints change"},
			"quick":     quickSetting,
		},
		Play: playChanges,
	}
}

// pour writes changes at a rate, and returns how many were written and the last one's revision. They come one after the other from
// several writers, so that one that takes its time does not keep up the next.
func pour(ctx context.Context, svc *service, rate float64, lasts time.Duration, endpoints int) (written int, last int64, err error) {
	const writers = 32
	var mu sync.Mutex
	var parts sync.WaitGroup
	due := make(chan int)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	for range writers {
		parts.Go(func() {
			for i := range due {
				at, err := svc.write(ctx, []catalog.Endpoint{turned(i%endpoints, int64(i+1))}, false)
				if err != nil {
					cancel(err)
					continue
				}
				mu.Lock()
				written, last = written+1, max(last, at)
				mu.Unlock()
			}
		})
	}
	began := time.Now()
	for i := range int(rate * lasts.Seconds()) {
		if !registry.Sleep(ctx, time.Until(began.Add(time.Duration(float64(i)/rate*float64(time.Second))))) || time.Since(began) >= lasts {
			break
		}
		due <- i // a writer takes it, also once the context has ended
	}
	close(due)
	parts.Wait()
	registry.Sleep(ctx, time.Until(began.Add(lasts)))
	return written, last, context.Cause(ctx)
}

func playChanges(ctx context.Context, s play.Spec, log *slog.Logger) (r play.Reading, err error) {
	nodes, endpoints, rate := int(s.Settings["nodes"]), int(s.Settings["endpoints"]), s.X
	lasts := time.Duration(s.Settings["seconds"] * float64(time.Second))
	alone := writersTime
	if s.Settings["quick"] > 0 {
		lasts, alone = time.Second, 0
	}
	svc, err := openService(ctx, s, replicas, false, listOf(endpoints))
	if err != nil {
		return r, err
	}
	g := newGroup(s, svc, nodes, endpoints, log)
	defer g.end(&err)

	// What the writes take here, while nobody follows them.
	writer := 0.0
	if alone > 0 && rate > 0 {
		before, err := cpu(own)
		if err != nil {
			return r, err
		}
		if _, _, err := pour(ctx, svc, rate, alone, endpoints); err != nil {
			return r, err
		}
		after, err := cpu(own)
		if err != nil {
			return r, err
		}
		writer = (after - before) / alone.Seconds()
		r.SetCount("writer.cpu", writer)
	}
	specs, err := g.prepare(nodes)
	if err == nil {
		err = g.run(specs)
	}
	if err != nil {
		return r, err
	}
	st, err := svc.status(ctx, svc.replicas[0])
	if err == nil {
		err = g.have(ctx, st.Revision, endpoints)
	}
	if err != nil {
		return r, err
	}
	if s.Settings["quick"] == 0 {
		registry.Sleep(ctx, keptWait)
	}
	at := svc.places()
	var bytes [2]traffic
	var used [2]float64
	var dir [2]uses
	var written int
	var last int64
	var took, behind time.Duration
	for i := range 2 {
		if i == 1 {
			// The last one's bytes have arrived with it, so they belong to the same time.
			began := time.Now()
			if written, last, err = pour(ctx, svc, rate, lasts, endpoints); err != nil {
				return r, err
			}
			took = time.Since(began)
			if used[1], err = cpu(own); err != nil {
				return r, err
			}
			if dir[1], err = svc.use(); err != nil {
				return r, err
			}
			if _, err := g.told(ctx, last); err != nil {
				return r, err
			}
			behind = time.Since(began) - took
		}
		if bytes[i], err = carried(at, g.svc.from()); err != nil {
			return r, err
		}
		if i == 0 {
			if used[0], err = cpu(own); err != nil {
				return r, err
			}
			if dir[0], err = svc.use(); err != nil {
				return r, err
			}
		}
	}
	n, sec := float64(nodes), took.Seconds()
	r.SetCount("written", float64(written))
	r.SetCount("behind", behind.Seconds())
	if due := float64(int(rate * lasts.Seconds())); float64(written) < due*lateWrites {
		r.MarkInvalid("%d of %v changes were written in time", written, due)
	}
	if bytes[0].conns == nodes && bytes[1].conns == nodes {
		d := bytes[1].sub(bytes[0])
		r.SetValue("node.change.bytes", (d.in+d.out)/n/sec)
		r.SetCount("node.change.sent", d.out/n/sec)
		if written > 0 {
			r.SetCount("change.bytes", d.in/n/float64(written))
		}
	} else {
		r.AddNote("%d hollow nodes had %d and then %d watches, so node.change.bytes is missing", nodes, bytes[0].conns, bytes[1].conns)
	}
	r.SetValue("node.change.cpu", ((used[1]-used[0])/sec-writer)/n)
	busy := dir[1].since(dir[0])
	r.SetValue("directory.change.cpu", slices.Max(busy)/sec)
	for i := range busy {
		r.SetCount(fmt.Sprintf("directory.%d.cpu", i), busy[i]/sec)
	}
	return r, nil
}
