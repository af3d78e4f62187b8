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
	"starlingusher/internal/sysretry"
)

const (
	writeCostTime   = 2 * time.Second // for reading the CPU time of the writes alone
	minWrittenShare = 0.95            // of the changes due; with fewer the play is invalid
)

func changesAxis() play.Axis {
	return play.Axis{
		Name: "changes", XUnit: "change/s",
		Description: "x endpoints change per second while hollow nodes follow the list on three replicas of the directory",
		Measures: []play.Measure{
			{ID: "node.change.bytes", Description: "bytes both ways of one node's watch, by the changes a second", Unit: "B/s", Exact: true},
			{ID: "node.change.cpu", Description: "processor time of one hollow node, by the changes a second", Unit: "s/s"},
			{ID: "directory.change.cpu", Description: "processor time of the busiest of three replicas, by the changes a second", Unit: "s/s"},
		},
		Settings: map[string]play.Setting{
			"nodes":     {Default: 100, Min: 1, Max: 820, Description: "hollow nodes"},
			"endpoints": endpointsSetting,
			"keep_kb":   cacheSetting,
			"seconds":   {Default: 6, Min: 1, Max: 60, Description: "seconds for which endpoints change"},
			"quick":     quickSetting,
		},
		Play: playChanges,
	}
}

// writeAtRate writes changes at a rate for a time, and returns their number and the last one's revision. It
// has several writers, so that one slow write does not delay the next.
func writeAtRate(ctx context.Context, svc *service, rate float64, duration time.Duration, endpoints int) (written int, lastRevision int64, err error) {
	const writers = 32
	var mu sync.Mutex
	var writersDone sync.WaitGroup
	due := make(chan int)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	for range writers {
		writersDone.Go(func() {
			for i := range due {
				revision, err := svc.write(ctx, []catalog.Endpoint{changedEndpoint(i%endpoints, int64(i+1))}, false)
				if err != nil {
					cancel(err)
					continue
				}
				mu.Lock()
				written, lastRevision = written+1, max(lastRevision, revision)
				mu.Unlock()
			}
		})
	}
	startedAt := time.Now()
	for i := range int(rate * duration.Seconds()) {
		if !sysretry.Sleep(ctx, time.Until(startedAt.Add(time.Duration(float64(i)/rate*float64(time.Second))))) || time.Since(startedAt) >= duration {
			break
		}
		due <- i // some writer always receives it, even once the context has ended
	}
	close(due)
	writersDone.Wait()
	sysretry.Sleep(ctx, time.Until(startedAt.Add(duration)))
	return written, lastRevision, context.Cause(ctx)
}

func playChanges(ctx context.Context, s play.Spec, log *slog.Logger) (r play.Reading, err error) {
	nodes, endpoints, rate := int(s.Settings["nodes"]), int(s.Settings["endpoints"]), s.X
	duration := time.Duration(s.Settings["seconds"] * float64(time.Second))
	writeCost := writeCostTime
	if s.Settings["quick"] > 0 {
		duration, writeCost = time.Second, 0
	}
	svc, err := openService(ctx, s, replicaCount, false, endpointList(endpoints))
	if err != nil {
		return r, err
	}
	g := newNodeGroup(s, svc, nodes, endpoints, log)
	defer g.shutdown(&err)

	// The CPU time of the writes alone, while no node follows the list.
	writerCPU := 0.0
	if writeCost > 0 && rate > 0 {
		before, err := cpuSeconds(ownPID)
		if err != nil {
			return r, err
		}
		if _, _, err := writeAtRate(ctx, svc, rate, writeCost, endpoints); err != nil {
			return r, err
		}
		after, err := cpuSeconds(ownPID)
		if err != nil {
			return r, err
		}
		writerCPU = (after - before) / writeCost.Seconds()
		r.SetCount("writer.cpu", writerCPU)
	}
	specs, err := g.prepare(nodes)
	if err == nil {
		err = g.start(specs)
	}
	if err != nil {
		return r, err
	}
	st, err := svc.status(ctx, svc.replicas[0])
	if err == nil {
		err = g.awaitList(ctx, st.Revision, endpoints)
	}
	if err != nil {
		return r, err
	}
	if s.Settings["quick"] == 0 {
		sysretry.Sleep(ctx, cacheWriteWait)
	}
	replicaAddrs := svc.allAddresses()
	var watchTraffic [2]traffic
	var cpuUsed [2]float64
	var replicasUsed [2]replicaUse
	var written int
	var lastRevision int64
	var took, lag time.Duration
	for i := range 2 {
		if i == 1 {
			// The traffic is read once the last change has reached all nodes, and so covers the same changes
			// as the CPU time.
			startedAt := time.Now()
			if written, lastRevision, err = writeAtRate(ctx, svc, rate, duration, endpoints); err != nil {
				return r, err
			}
			took = time.Since(startedAt)
			if cpuUsed[1], err = cpuSeconds(ownPID); err != nil {
				return r, err
			}
			if replicasUsed[1], err = svc.readUse(); err != nil {
				return r, err
			}
			if _, err := g.awaitRevision(ctx, lastRevision); err != nil {
				return r, err
			}
			lag = time.Since(startedAt) - took
		}
		if watchTraffic[i], err = readTraffic(replicaAddrs, g.service.ownAddr()); err != nil {
			return r, err
		}
		if i == 0 {
			if cpuUsed[0], err = cpuSeconds(ownPID); err != nil {
				return r, err
			}
			if replicasUsed[0], err = svc.readUse(); err != nil {
				return r, err
			}
		}
	}
	nodeCount, seconds := float64(nodes), took.Seconds()
	r.SetCount("written", float64(written))
	r.SetCount("behind", lag.Seconds())
	if due := float64(int(rate * duration.Seconds())); float64(written) < due*minWrittenShare {
		r.MarkInvalid("%d of %v changes were written in time", written, due)
	}
	if watchTraffic[0].conns == nodes && watchTraffic[1].conns == nodes {
		delta := watchTraffic[1].sub(watchTraffic[0])
		r.SetValue("node.change.bytes", (delta.in+delta.out)/nodeCount/seconds)
		r.SetCount("node.change.sent", delta.out/nodeCount/seconds)
		if written > 0 {
			r.SetCount("change.bytes", delta.in/nodeCount/float64(written))
		}
	} else {
		r.AddNote("%d hollow nodes had %d and then %d watches, so node.change.bytes is missing", nodes, watchTraffic[0].conns, watchTraffic[1].conns)
	}
	r.SetValue("node.change.cpu", ((cpuUsed[1]-cpuUsed[0])/seconds-writerCPU)/nodeCount)
	replicaCPU := replicasUsed[1].cpuSince(replicasUsed[0])
	r.SetValue("directory.change.cpu", slices.Max(replicaCPU)/seconds)
	for i := range replicaCPU {
		r.SetCount(fmt.Sprintf("directory.%d.cpu", i), replicaCPU[i]/seconds)
	}
	return r, nil
}
