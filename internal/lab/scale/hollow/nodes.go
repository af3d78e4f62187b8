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
	"starlingusher/internal/registry"
)

const (
	replicas   = 3
	idleWindow = 6 * time.Second // three heartbeats of each watch
	quickIdle  = 2 * time.Second // one
	lastOnes   = 10              // changes for directory.change.last
	burst      = 50              // changes by which hollow and real nodes are held against each other
	burstRate  = 50              // a second
	afterBurst = time.Second     // of work that a change leaves behind: the kept list is written each second
	memoryCap  = 9 << 30         // bytes of this process, so that its collector doesn't take the machine's last ones
)

func nodesAxis() play.Axis {
	flag := func(about string) play.Setting { return play.Setting{Default: 0, Min: 0, Max: 1, Description: about} }
	return play.Axis{
		Name: "nodes", XUnit: "node",
		Description: "so many hollow nodes, and eight real ones beside them, follow one list on three replicas of the directory",
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
			"keep_kb":       keepSetting,
			"real":          {Default: realNodes, Min: 0, Max: 200, Description: "coralyard processes beside the hollow nodes"},
			"load":          {Default: 0, Min: 0, Max: 500, Description: "events a second that the lab's clients hand in to the real nodes; none while hollow and real nodes are held against each other"},
			"quick":         quickSetting,
			"kill":          flag("1: the leader of the directory is killed, and started again after fault_seconds"),
			"stop":          flag("1: a follower of the directory is stopped (SIGSTOP) for fault_seconds"),
			"cut_zone":      flag("1: a zone is cut off from the directory for fault_seconds"),
			"cut_region":    flag("1: a region with its replica is cut off from the others for fault_seconds; its nodes reach that replica"),
			"restart":       flag("1: the nodes of a zone, a sixth of all, are ended and start again at once; the real ones by SIGKILL"),
			"fault_seconds": {Default: 4, Min: 0.5, Max: 60, Description: "for how long a fault lasts"},
		},
		Play: playNodes,
	}
}

func playNodes(ctx context.Context, s play.Spec, log *slog.Logger) (r play.Reading, err error) {
	if s.X < 1 {
		return r, fmt.Errorf("%v nodes can't be played", s.X)
	}
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(memoryCap))
	hollow, real, endpoints := int(s.X), int(s.Settings["real"]), int(s.Settings["endpoints"])
	quick := s.Settings["quick"] > 0
	linked := s.Settings["cut_zone"] > 0 || s.Settings["cut_region"] > 0
	svc, err := openService(ctx, s, replicas, linked, listOf(1)) // a short list first: what the long one adds is read apart
	if err != nil {
		return r, err
	}
	g := newGroup(s, svc, hollow+real, endpoints, log)
	defer g.end(&err)
	if s.Settings["load"] > 0 && real > 0 {
		if g.load, err = openLoad(s, svc, real); err != nil {
			return r, err
		}
	}
	specs, err := g.prepare(hollow)
	if err != nil {
		return r, err
	}
	settle()
	before, err := takeLook(g)
	if err != nil {
		return r, err
	}
	if err := g.startReal(s.NodeProgram, real); err != nil {
		return r, err
	}
	if err := g.run(specs); err != nil {
		return r, err
	}
	st, err := svc.status(ctx, svc.replicas[0])
	if err != nil {
		return r, err
	}
	if err := g.have(ctx, st.Revision, 1); err != nil {
		return r, err
	}
	short, err := takeLook(g)
	if err != nil {
		return r, err
	}
	nodes := float64(hollow)
	r.SetCount("node.goroutines", float64(short.goroutines-before.goroutines)/nodes)
	r.SetCount("node.descriptors", float64(short.descriptors-before.descriptors)/nodes)

	// The whole list.
	list := listOf(endpoints)
	if g.load != nil {
		list = append(list, g.load.list...)
	}
	more := len(list)
	raw, err := encode(list)
	if err != nil {
		return r, err
	}
	began := time.Now()
	revision, err := svc.send(ctx, raw, true)
	if err != nil {
		return r, err
	}
	raw, list = nil, nil
	last, err := g.told(ctx, revision)
	if err != nil {
		return r, err
	}
	r.SetCount("list.last", last.Sub(began).Seconds())
	if err := g.have(ctx, revision, more); err != nil {
		return r, err
	}
	if !quick {
		registry.Sleep(ctx, keptWait)
	}
	long, err := takeLook(g)
	if err != nil {
		return r, err
	}
	calibrate := func(what string, hollow, real float64) {
		r.SetCount("calibration.hollow."+what, hollow)
		if len(g.real) > 0 {
			r.SetCount("calibration.real."+what, real)
		}
	}
	calibrate("list.cpu", (long.cpu-short.cpu)/nodes, long.realCPU-short.realCPU)
	calibrate("list.rss", (long.rss-short.rss)/nodes, long.realRSS-short.realRSS)
	calibrate("rss", (long.rss-before.rss)/nodes, long.realRSS)
	r.SetCount("calibration.hollow.list.heap", (long.heap-short.heap)/nodes)
	r.SetValue("node.idle.heap", (long.heap-before.heap)/nodes)
	r.SetCount("process.rss", long.rss)

	if g.load != nil {
		g.load.begin()
		defer func() { g.load.read(&r) }()
	}
	if err := idle(ctx, g, &r, quick, calibrate); err != nil {
		return r, err
	}
	if err := lastTold(ctx, g, &r, quick, endpoints, more); err != nil {
		return r, err
	}
	if !quick && g.load == nil {
		if err := bursts(ctx, g, &r, calibrate); err != nil {
			return r, err
		}
	}
	return r, faults(ctx, g, s, &r, endpoints, more)
}

// looked is what this process and the real nodes use.
type looked struct {
	heap, rss, cpu          float64
	realRSS, realCPU        float64
	goroutines, descriptors int
}

// takeLook looks at memory and time. The resident memory comes first: a collection would change it.
func takeLook(g *group) (l looked, err error) {
	if l.rss, err = rss(own); err != nil {
		return l, err
	}
	if l.cpu, err = cpu(own); err != nil {
		return l, err
	}
	if l.realRSS, l.realCPU, err = g.realUse(); err != nil {
		return l, err
	}
	l.goroutines, l.descriptors = runtime.NumGoroutine(), descriptors()
	l.heap = heap()
	return l, nil
}

// idle reads what all use while nothing changes.
func idle(ctx context.Context, g *group, r *play.Reading, quick bool, calibrate func(string, float64, float64)) error {
	window := idleWindow
	if quick {
		window = quickIdle
	}
	var carriedBefore, carriedAfter traffic
	var used [2]float64
	var real [2]float64
	var dir [2]uses
	at := g.svc.places()
	// The whole list may have taken a full machine longer than a watch waits; those that it was cut for ask anew.
	if err := awaitEvery(ctx, lookRare, "one watch of each node", func() bool {
		t, err := carried(at, g.svc.from())
		return err == nil && t.conns == len(g.hollow)
	}); err != nil {
		return err
	}
	for i := range 2 {
		var err error
		var t traffic
		if t, err = carried(at, g.svc.from()); err != nil {
			return err
		}
		if i == 0 {
			carriedBefore = t
		} else {
			carriedAfter = t
		}
		if used[i], err = cpu(own); err != nil {
			return err
		}
		if _, real[i], err = g.realUse(); err != nil {
			return err
		}
		if dir[i], err = g.svc.use(); err != nil {
			return err
		}
		if i == 0 && !registry.Sleep(ctx, window) {
			return ctx.Err()
		}
	}
	nodes, sec := float64(len(g.hollow)), window.Seconds()
	if carriedBefore.conns == carriedAfter.conns && carriedAfter.conns == len(g.hollow) {
		d := carriedAfter.sub(carriedBefore)
		r.SetValue("node.watch.bytes", (d.in+d.out)/nodes/sec)
		r.SetCount("node.watch.received", d.in/nodes/sec)
		r.SetCount("node.watch.sent", d.out/nodes/sec)
	} else {
		r.AddNote("%d hollow nodes had %d and then %d watches, so node.watch.bytes is missing", len(g.hollow), carriedBefore.conns, carriedAfter.conns)
	}
	r.SetValue("node.idle.cpu", (used[1]-used[0])/nodes/sec)
	calibrate("idle.cpu", (used[1]-used[0])/nodes/sec, (real[1]-real[0])/sec)
	busy := dir[1].since(dir[0])
	r.SetValue("directory.nodes.cpu", slices.Max(busy)/sec)
	r.SetValue("directory.nodes.rss", slices.Max(dir[1].rss))
	for i := range busy {
		r.SetCount(fmt.Sprintf("directory.%d.cpu", i), busy[i]/sec)
		r.SetCount(fmt.Sprintf("directory.%d.rss", i), dir[1].rss[i])
	}
	return nil
}

// lastTold reads how long changes take to all nodes: an endpoint comes and goes again.
func lastTold(ctx context.Context, g *group, r *play.Reading, quick bool, endpoints, more int) error {
	n := lastOnes
	if quick {
		n = 2
	}
	var took, tookReal []float64
	for i := range n {
		e, want := endpoint(endpoints), more+1
		if i%2 == 1 {
			e.Phase, want = catalog.Deleted, more
		}
		began := time.Now()
		revision, err := g.svc.write(ctx, []catalog.Endpoint{e}, false)
		if err != nil {
			return err
		}
		last, err := g.told(ctx, revision)
		if err != nil {
			return err
		}
		took = append(took, last.Sub(began).Seconds())
		if len(g.real) > 0 {
			if last, err = g.toldReal(ctx, want); err != nil {
				return err
			}
			tookReal = append(tookReal, last.Sub(began).Seconds())
		}
	}
	r.SetValue("directory.change.last", median(took))
	r.SetCount("change.last.worst", slices.Max(took))
	if len(tookReal) > 0 {
		r.SetCount("change.last.real", median(tookReal)) // as the operators' address was seen to tell, after the hollow ones
	}
	return nil
}

// bursts holds hollow and real nodes against each other by the same changes. The writes' own time is in the hollow ones', some
// 0.1 ms each, which counts where there are few.
func bursts(ctx context.Context, g *group, r *play.Reading, calibrate func(string, float64, float64)) error {
	var used, real [2]float64
	for i := range 2 {
		var err error
		if used[i], err = cpu(own); err != nil {
			return err
		}
		if _, real[i], err = g.realUse(); err != nil {
			return err
		}
		if i == 1 {
			break
		}
		began := time.Now()
		for c := range burst {
			if _, err := g.svc.write(ctx, []catalog.Endpoint{turned(0, int64(c+1))}, false); err != nil {
				return err
			}
			if !registry.Sleep(ctx, time.Until(began.Add(time.Duration(c+1)*time.Second/burstRate))) {
				return ctx.Err()
			}
		}
		registry.Sleep(ctx, afterBurst)
	}
	calibrate("change.cpu", (used[1]-used[0])/float64(len(g.hollow))/burst, (real[1]-real[0])/burst)
	return nil
}
