package hollow

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"starlingusher/internal/lab/scale/play"
	"starlingusher/internal/sysretry"
)

const settleTime = 2 * time.Second // before the start, so that the work of the other nodes' start is over

func togetherAxis() play.Axis {
	return play.Axis{
		Name: "together", XUnit: "node",
		Description: "x hollow nodes start at once, without list caches, on three replicas of the directory that other nodes may follow already",
		Measures: []play.Measure{
			{ID: "together.ready", Description: "time from the start until the last node has its list, by the nodes that start together", Unit: "s"},
			{ID: "together.refused", Description: "asks that the replicas refuse meanwhile, by the nodes that start together", Unit: "count", Exact: true},
			{ID: "directory.together.cpu", Description: "processor time that the three replicas use for it, by the nodes that start together", Unit: "s"},
		},
		Settings: map[string]play.Setting{
			"others":    {Default: 0, Min: 0, Max: 820, Description: "hollow nodes that already follow the list"},
			"endpoints": endpointsSetting,
			"keep_kb":   cacheSetting,
			"quick":     quickSetting,
		},
		Play: playTogether,
	}
}

func playTogether(ctx context.Context, s play.Spec, log *slog.Logger) (r play.Reading, err error) {
	nodes, others, endpoints := int(s.X), int(s.Settings["others"]), int(s.Settings["endpoints"])
	if nodes < 1 {
		return r, fmt.Errorf("need at least 1 node, not %d", nodes)
	}
	svc, err := openService(ctx, s, replicaCount, false, endpointList(endpoints))
	if err != nil {
		return r, err
	}
	group := newNodeGroup(s, svc, nodes+others, endpoints, log)
	defer group.shutdown(&err)
	st, err := svc.status(ctx, svc.replicas[0])
	if err != nil {
		return r, err
	}
	before, err := group.prepare(others)
	if err == nil {
		err = group.start(before)
	}
	if err == nil {
		_, err = group.awaitRevision(ctx, st.Revision)
	}
	if err != nil {
		return r, err
	}
	specs, err := group.prepare(nodes)
	if err != nil {
		return r, err
	}
	if s.Settings["quick"] == 0 {
		sysretry.Sleep(ctx, settleTime)
	}
	refusedBefore, err := svc.refusedRequests(ctx)
	if err != nil {
		return r, err
	}
	useBefore, err := svc.readUse()
	if err != nil {
		return r, err
	}
	startedAt := time.Now()
	if err := group.start(specs); err != nil {
		return r, err
	}
	allRunningAt := time.Now()
	last, err := group.awaitRevision(ctx, st.Revision)
	if err != nil {
		return r, err
	}
	use, err := svc.readUse()
	if err != nil {
		return r, err
	}
	refused, err := svc.refusedRequests(ctx)
	if err != nil {
		return r, err
	}
	total := 0.0
	for i, used := range use.cpuSince(useBefore) {
		total += used
		r.SetCount(fmt.Sprintf("directory.%d.cpu", i), used)
	}
	r.SetValue("together.ready", last.Sub(startedAt).Seconds())
	r.SetValue("together.refused", refused-refusedBefore)
	r.SetValue("directory.together.cpu", total)
	r.SetCount("together.made", allRunningAt.Sub(startedAt).Seconds()) // the time to make the nodes, which happens one after the other here
	return r, group.awaitList(ctx, st.Revision, endpoints)
}
