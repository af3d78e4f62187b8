package hollow

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"runtime/debug"
	"slices"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/internal/lab/scale/play"
	"starlingusher/internal/sysretry"
)

const (
	replicaCount    = 3               // of the directory
	idleWindow      = 6 * time.Second // three heartbeats of each watch
	quickIdleWindow = 2 * time.Second // one heartbeat
	timedChanges    = 10              // number of changes timed for directory.change.last
	burstChanges    = 50              // number of changes on which hollow and real nodes are compared
	burstRate       = 50              // changes per second
	burstTail       = time.Second     // wait after the last change, since some of its work comes later: the list cache is written once a second
	memoryLimit     = 9 << 30         // soft memory limit of this process in bytes; keeps its garbage from using up the machine's memory
)

// nodesAxis is the axis that grows the number of hollow nodes, and measures what they cost the directory and
// themselves.
func nodesAxis() play.Axis {
	flag := func(about string) play.Setting { return play.Setting{Default: 0, Min: 0, Max: 1, Description: about} }
	return play.Axis{
		Name: "nodes", XUnit: "node",
		Description: "x hollow nodes and eight real ones follow one list on three replicas of the directory",
		Measures: []play.Measure{
			{ID: "directory.nodes.rss", Description: "resident memory of the largest of three replicas, by the nodes that watch the three", Unit: "B"},
			{ID: "directory.nodes.cpu", Description: "processor time of the busiest of three replicas while nothing changes, by the nodes that watch the three", Unit: "s/s"},
			{ID: "node.watch.bytes", Description: "bytes both ways of one node's watch while nothing changes, by the nodes in all", Unit: "B/s", Exact: true},
			{ID: "directory.change.last", Description: "time from the ask for a change until it is in force at the last hollow node, by the nodes in all", Unit: "s"},
			{ID: "node.idle.cpu", Description: "processor time of one hollow node while nothing changes, by the nodes in all", Unit: "s/s"},
			{ID: "node.idle.heap", Description: "heap of one hollow node, by the nodes in all", Unit: "B"},
		},
		Settings: map[string]play.Setting{
			"endpoints":     endpointsSetting,
			"keep_kb":       cacheSetting,
			"real":          {Default: defaultRealNodes, Min: 0, Max: 200, Description: "number of coralyard processes in addition to the hollow nodes"},
			"load":          {Default: 0, Min: 0, Max: 500, Description: "messages per second that the lab's clients submit to the real nodes; above 0, the CPU time that hollow and real nodes need for the same changes is not compared"},
			"quick":         quickSetting,
			"kill":          flag("1: the leader of the directory is killed, and restarted after fault_seconds"),
			"stop":          flag("1: a follower of the directory is stopped (SIGSTOP) for fault_seconds"),
			"cut_zone":      flag("1: a zone is cut off from the directory for fault_seconds"),
			"cut_region":    flag("1: a region with its replica is cut off from the others for fault_seconds; its nodes still reach that replica"),
			"restart":       flag("1: the nodes of a zone, a sixth of all, are stopped and all start again at once; the real ones are stopped by SIGKILL"),
			"fault_seconds": {Default: 4, Min: 0.5, Max: 60, Description: "duration of a fault in seconds"},
		},
		Play: playNodes,
	}
}

// playNodes plays a point of the axis nodes: it starts the nodes on a list of one endpoint, gives them the
// long list, measures them while nothing changes and during changes, and plays the faults of the settings.
func playNodes(ctx context.Context, spec play.Spec, log *slog.Logger) (r play.Reading, err error) {
	if spec.X < 1 {
		return r, fmt.Errorf("axis nodes: a point needs at least 1 node, not %v", spec.X)
	}
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(memoryLimit))
	hollow, real, endpoints := int(spec.X), int(spec.Settings["real"]), int(spec.Settings["endpoints"])
	quick := spec.Settings["quick"] > 0
	// linked: the nodes reach the replicas through links, which two of the faults cut.
	linked := spec.Settings["cut_zone"] > 0 || spec.Settings["cut_region"] > 0
	svc, err := openService(ctx, spec, replicaCount, linked, endpointList(1)) // a list of one endpoint first, so that the costs of the long list can be measured separately
	if err != nil {
		return r, err
	}
	group := newNodeGroup(spec, svc, hollow+real, endpoints, log)
	defer group.shutdown(&err)
	if spec.Settings["load"] > 0 && real > 0 {
		if group.load, err = openLoad(spec, svc, real); err != nil {
			return r, err
		}
	}
	nodeSpecs, err := group.prepare(hollow)
	if err != nil {
		return r, err
	}
	freeMemory()
	before, err := readUsage(group)
	if err != nil {
		return r, err
	}
	if err := group.startReal(spec.NodeProgram, real); err != nil {
		return r, err
	}
	if err := group.start(nodeSpecs); err != nil {
		return r, err
	}
	st, err := svc.status(ctx, svc.replicas[0])
	if err != nil {
		return r, err
	}
	if err := group.awaitList(ctx, st.Revision, 1); err != nil {
		return r, err
	}
	afterShortList, err := readUsage(group)
	if err != nil {
		return r, err
	}
	nodes := float64(hollow)
	r.SetCount("node.goroutines", float64(afterShortList.goroutines-before.goroutines)/nodes)
	r.SetCount("node.descriptors", float64(afterShortList.descriptors-before.descriptors)/nodes)

	// The long list. Its costs are the differences from afterShortList.
	list := endpointList(endpoints)
	if group.load != nil {
		list = append(list, group.load.list...)
	}
	total := len(list)
	raw, err := encodeMembers(list)
	if err != nil {
		return r, err
	}
	startedAt := time.Now()
	revision, err := svc.send(ctx, raw, true)
	if err != nil {
		return r, err
	}
	raw, list = nil, nil
	last, err := group.awaitRevision(ctx, revision)
	if err != nil {
		return r, err
	}
	r.SetCount("list.last", last.Sub(startedAt).Seconds())
	if err := group.awaitList(ctx, revision, total); err != nil {
		return r, err
	}
	if !quick {
		sysretry.Sleep(ctx, cacheWriteWait)
	}
	afterLongList, err := readUsage(group)
	if err != nil {
		return r, err
	}
	// calibrate reports one cost of a hollow and of a real node next to each other, which shows how well hollow
	// nodes represent real ones.
	calibrate := func(name string, hollow, real float64) {
		r.SetCount("calibration.hollow."+name, hollow)
		if len(group.real) > 0 {
			r.SetCount("calibration.real."+name, real)
		}
	}
	calibrate("list.cpu", (afterLongList.cpu-afterShortList.cpu)/nodes, afterLongList.realCPU-afterShortList.realCPU)
	calibrate("list.rss", (afterLongList.rss-afterShortList.rss)/nodes, afterLongList.realRSS-afterShortList.realRSS)
	calibrate("rss", (afterLongList.rss-before.rss)/nodes, afterLongList.realRSS)
	r.SetCount("calibration.hollow.list.heap", (afterLongList.heap-afterShortList.heap)/nodes)
	r.SetValue("node.idle.heap", (afterLongList.heap-before.heap)/nodes)
	r.SetCount("process.rss", afterLongList.rss)

	if group.load != nil {
		group.load.start()
		defer func() { group.load.readCounts(&r) }()
	}
	if err := measureIdle(ctx, group, &r, quick, calibrate); err != nil {
		return r, err
	}
	if err := measurePropagation(ctx, group, &r, quick, endpoints, total); err != nil {
		return r, err
	}
	if !quick && group.load == nil {
		if err := compareBursts(ctx, group, &r, calibrate); err != nil {
			return r, err
		}
	}
	return r, playFaults(ctx, group, spec, &r, endpoints, total)
}

// usage is the resources used by this process, in which the hollow nodes run, and by the mean real node:
// memory in bytes, CPU time in seconds since the start of the process.
type usage struct {
	heap, rss, cpu          float64
	realRSS, realCPU        float64
	goroutines, descriptors int
}

// readUsage reads the usage. The live heap is read last, because the garbage collection that this takes
// changes the resident memory.
func readUsage(g *nodeGroup) (u usage, err error) {
	if u.rss, err = rss(ownPID); err != nil {
		return u, err
	}
	if u.cpu, err = cpuSeconds(ownPID); err != nil {
		return u, err
	}
	if u.realRSS, u.realCPU, err = g.meanRealUse(); err != nil {
		return u, err
	}
	u.goroutines, u.descriptors = runtime.NumGoroutine(), countDescriptors()
	u.heap = liveHeap()
	return u, nil
}

// measureIdle reads the costs of the nodes and of the replicas over a window in which nothing changes.
func measureIdle(ctx context.Context, g *nodeGroup, r *play.Reading, quick bool, calibrate func(string, float64, float64)) error {
	window := idleWindow
	if quick {
		window = quickIdleWindow
	}
	var trafficBefore, trafficAfter traffic
	var cpuUsed [2]float64
	var realCPU [2]float64
	var replicasUsed [2]replicaUse
	replicaAddrs := g.service.allAddresses()
	// On a saturated machine the transfer of the complete list may take longer than a watch waits for it. A
	// node whose watch was cut off opens another one, so the window starts once each node has exactly one.
	if err := awaitEvery(ctx, descriptorPollInterval, "one watch of each node", func() bool {
		t, err := readTraffic(replicaAddrs, g.service.ownAddr())
		return err == nil && t.conns == len(g.hollow)
	}); err != nil {
		return err
	}
	for i := range 2 {
		var err error
		var t traffic
		if t, err = readTraffic(replicaAddrs, g.service.ownAddr()); err != nil {
			return err
		}
		if i == 0 {
			trafficBefore = t
		} else {
			trafficAfter = t
		}
		if cpuUsed[i], err = cpuSeconds(ownPID); err != nil {
			return err
		}
		if _, realCPU[i], err = g.meanRealUse(); err != nil {
			return err
		}
		if replicasUsed[i], err = g.service.readUse(); err != nil {
			return err
		}
		if i == 0 && !sysretry.Sleep(ctx, window) {
			return ctx.Err()
		}
	}
	nodes, seconds := float64(len(g.hollow)), window.Seconds()
	if trafficBefore.conns == trafficAfter.conns && trafficAfter.conns == len(g.hollow) {
		delta := trafficAfter.sub(trafficBefore)
		r.SetValue("node.watch.bytes", (delta.in+delta.out)/nodes/seconds)
		r.SetCount("node.watch.received", delta.in/nodes/seconds)
		r.SetCount("node.watch.sent", delta.out/nodes/seconds)
	} else {
		r.AddNote("%d hollow nodes had %d watches before the idle window and %d after it, so node.watch.bytes is missing", len(g.hollow), trafficBefore.conns, trafficAfter.conns)
	}
	r.SetValue("node.idle.cpu", (cpuUsed[1]-cpuUsed[0])/nodes/seconds)
	calibrate("idle.cpu", (cpuUsed[1]-cpuUsed[0])/nodes/seconds, (realCPU[1]-realCPU[0])/seconds)
	replicaCPU := replicasUsed[1].cpuSince(replicasUsed[0])
	r.SetValue("directory.nodes.cpu", slices.Max(replicaCPU)/seconds)
	r.SetValue("directory.nodes.rss", slices.Max(replicasUsed[1].rss))
	for i := range replicaCPU {
		r.SetCount(fmt.Sprintf("directory.%d.cpu", i), replicaCPU[i]/seconds)
		r.SetCount(fmt.Sprintf("directory.%d.rss", i), replicasUsed[1].rss[i])
	}
	return nil
}

// measurePropagation times changes, each from the request until all nodes have applied it: an endpoint is
// added and removed in turn. At the start the list has total endpoints: the first ones of endpointAt, as many
// as the parameter endpoints says, and those of the load's partners.
func measurePropagation(ctx context.Context, g *nodeGroup, r *play.Reading, quick bool, endpoints, total int) error {
	changes := timedChanges
	if quick {
		changes = 2
	}
	var took, tookReal []float64
	for i := range changes {
		e, want := endpointAt(endpoints), total+1
		if i%2 == 1 {
			e.Phase, want = catalog.Deleted, total
		}
		startedAt := time.Now()
		revision, err := g.service.write(ctx, []catalog.Endpoint{e}, false)
		if err != nil {
			return err
		}
		last, err := g.awaitRevision(ctx, revision)
		if err != nil {
			return err
		}
		took = append(took, last.Sub(startedAt).Seconds())
		if len(g.real) > 0 {
			if last, err = g.awaitRealNodes(ctx, want); err != nil {
				return err
			}
			tookReal = append(tookReal, last.Sub(startedAt).Seconds())
		}
	}
	r.SetValue("directory.change.last", median(took))
	r.SetCount("change.last.worst", slices.Max(took))
	if len(tookReal) > 0 {
		r.SetCount("change.last.real", median(tookReal)) // an upper bound: polled over HTTP at the operators' addresses, and only after all hollow nodes have the change
	}
	return nil
}

// compareBursts compares the CPU time that hollow and real nodes use for the same changes. The time of the
// hollow nodes is that of this process, so it includes the requests for the changes, some 0.1 ms each, which
// matters where there are few nodes.
func compareBursts(ctx context.Context, g *nodeGroup, r *play.Reading, calibrate func(string, float64, float64)) error {
	var cpuUsed, realCPU [2]float64
	for i := range 2 {
		var err error
		if cpuUsed[i], err = cpuSeconds(ownPID); err != nil {
			return err
		}
		if _, realCPU[i], err = g.meanRealUse(); err != nil {
			return err
		}
		if i == 1 {
			break
		}
		startedAt := time.Now()
		for i := range burstChanges {
			if _, err := g.service.write(ctx, []catalog.Endpoint{changedEndpoint(0, int64(i+1))}, false); err != nil {
				return err
			}
			if !sysretry.Sleep(ctx, time.Until(startedAt.Add(time.Duration(i+1)*time.Second/burstRate))) {
				return ctx.Err()
			}
		}
		sysretry.Sleep(ctx, burstTail)
	}
	calibrate("change.cpu", (cpuUsed[1]-cpuUsed[0])/float64(len(g.hollow))/burstChanges, (realCPU[1]-realCPU[0])/burstChanges)
	return nil
}
