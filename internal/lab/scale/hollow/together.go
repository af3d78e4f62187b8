package hollow

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"starlingusher/internal/lab/scale/play"
	"starlingusher/internal/registry"
)

const calm = 2 * time.Second // before the start, so that what the others began is over

func togetherAxis() play.Axis {
	return play.Axis{
		Name: "together", XUnit: "node",
		Description: "so many hollow nodes start at once, with nothing kept, on three replicas of the directory that others may follow",
		Measures: []play.Measure{
			{ID: "together.ready", Description: "time from the start until the last node has its list, by the nodes that start together", Unit: "s"},
			{ID: "together.refused", Description: "asks that the replicas refuse meanwhile, by the nodes that start together", Unit: "count", Exact: true},
			{ID: "directory.together.cpu", Description: "processor time that the three replicas use for it, by the nodes that start together", Unit: "s"},
		},
		Settings: map[string]play.Setting{
			"others":    {Default: 0, Min: 0, Max: 820, Description: "hollow nodes that follow the list before"},
			"endpoints": endpointsSetting,
			"keep_kb":   keepSetting,
			"quick":     quickSetting,
		},
		Play: playTogether,
	}
}

func playTogether(ctx context.Context, s play.Spec, log *slog.Logger) (r play.Reading, err error) {
	nodes, others, endpoints := int(s.X), int(s.Settings["others"]), int(s.Settings["endpoints"])
	if nodes < 1 {
		return r, fmt.Errorf("%d nodes can't start", nodes)
	}
	svc, err := openService(ctx, s, replicas, false, listOf(endpoints))
	if err != nil {
		return r, err
	}
	g := newGroup(s, svc, nodes+others, endpoints, log)
	defer g.end(&err)
	st, err := svc.status(ctx, svc.replicas[0])
	if err != nil {
		return r, err
	}
	before, err := g.prepare(others)
	if err == nil {
		err = g.run(before)
	}
	if err == nil {
		_, err = g.told(ctx, st.Revision)
	}
	if err != nil {
		return r, err
	}
	specs, err := g.prepare(nodes)
	if err != nil {
		return r, err
	}
	if s.Settings["quick"] == 0 {
		registry.Sleep(ctx, calm)
	}
	refusedBefore, err := svc.refused(ctx)
	if err != nil {
		return r, err
	}
	useBefore, err := svc.use()
	if err != nil {
		return r, err
	}
	began := time.Now()
	if err := g.run(specs); err != nil {
		return r, err
	}
	running := time.Now()
	last, err := g.told(ctx, st.Revision)
	if err != nil {
		return r, err
	}
	use, err := svc.use()
	if err != nil {
		return r, err
	}
	refused, err := svc.refused(ctx)
	if err != nil {
		return r, err
	}
	total := 0.0
	for i, used := range use.since(useBefore) {
		total += used
		r.SetCount(fmt.Sprintf("directory.%d.cpu", i), used)
	}
	r.SetValue("together.ready", last.Sub(began).Seconds())
	r.SetValue("together.refused", refused-refusedBefore)
	r.SetValue("directory.together.cpu", total)
	r.SetCount("together.made", running.Sub(began).Seconds()) // the nodes' own making, one after the other here
	return r, g.have(ctx, st.Revision, endpoints)
}
