package hollow

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"path/filepath"
	"slices"
	"time"

	"starlingusher/choice"
	"starlingusher/fleet/catalog"
	"starlingusher/internal/directory"
	"starlingusher/internal/lab/scale/play"
	"starlingusher/internal/sysretry"
)

const (
	defaultChanges   = 20                      // of one endpoint each, one after the other
	cacheWriteWait   = 1500 * time.Millisecond // until the nodes have written their list caches
	minEndpointBytes = 100                     // lower bound of an endpoint's bytes in a list
	minDroppedLists  = 2                       // lists that a node has dropped after which it is taken to refuse the list
)

func destinationsAxis() play.Axis {
	return play.Axis{
		Name: "destinations", XUnit: "destination",
		Description: "one hollow node follows the complete list of x destinations with 1.7 endpoints each: from a replica of the directory up to its cap, beyond that from a stand-in that serves a list of any length",
		Measures: []play.Measure{
			{ID: "node.destinations.heap", Description: "heap of a node's control side, by the destinations it follows (1.7 endpoints each)", Unit: "B"},
			{ID: "node.destinations.rss", Description: "resident memory that a node's control side adds to its process, by the destinations it follows", Unit: "B"},
			{ID: "node.list.bytes", Description: "bytes that a node receives until it has its first list, by the destinations in it", Unit: "B", Exact: true},
			{ID: "node.list.step", Description: "time for which a node's loop stands still for a whole list, by the destinations in it", Unit: "s"},
			{ID: "node.change.step", Description: "time for which a node's loop stands still for a change of one endpoint, by the destinations it knows", Unit: "s"},
			{ID: "node.empty.step", Description: "time that a node's loop takes for a step in which nothing is new (its figures count all endpoints), by the destinations it knows", Unit: "s"},
			{ID: "directory.destinations.rss", Description: "resident memory of a replica of the directory, by the destinations in its list", Unit: "B"},
		},
		Settings: map[string]play.Setting{
			"keep_kb":  cacheSetting,
			"changes":  {Default: defaultChanges, Min: 0, Max: 1000, Description: "changes of one endpoint each, one after the other; node.change.step is the median of them"},
			"stand_in": {Default: 0, Min: 0, Max: 1, Description: "1: the stand-in serves the list even where the directory could"},
		},
		Play: playDestinations,
	}
}

var cacheSetting = play.Setting{Default: -1, Min: -1, Max: 1 << 20, Description: "size of the list cache in the state folder, in KB; -1: what the list needs, 0: no cache"}

// listServer serves the list to the node of this axis: a replica of the directory, or a stand-in.
type listServer struct {
	address  string
	change   func(context.Context, catalog.Endpoint) (int64, error)
	close    func()
	service  *service // nil: a stand-in serves the list
	standIn  *standIn
	revision int64  // of the first list
	ownAddr  string // source address of the play's own requests; empty: it makes none
}

func openListServer(ctx context.Context, s play.Spec, endpoints int, r *play.Reading) (*listServer, error) {
	if endpoints <= catalog.DefaultMaxEndpoints && s.Settings["stand_in"] == 0 {
		svc, err := openService(ctx, s, 1, false, endpointList(endpoints))
		if err != nil {
			return nil, err
		}
		st, err := svc.status(ctx, svc.replicas[0])
		if err != nil {
			svc.close()
			return nil, err
		}
		return &listServer{address: svc.addresses(0)[0], service: svc, close: svc.close, revision: st.Revision, ownAddr: svc.ownAddr(),
			change: func(ctx context.Context, e catalog.Endpoint) (int64, error) {
				return svc.write(ctx, []catalog.Endpoint{e}, false)
			}}, nil
	}
	if endpoints > catalog.DefaultMaxEndpoints {
		if err := checkListCap(ctx, s, endpoints); err != nil {
			return nil, err
		}
		r.AddNote("the directory reached its limit before: it takes %d endpoints at most and refused %d (507); a stand-in serves the list", catalog.DefaultMaxEndpoints, endpoints)
	}
	src, err := openStandIn(endpoints)
	if err != nil {
		return nil, err
	}
	return &listServer{address: src.address(), standIn: src, close: func() { src.close() }, revision: firstRevision,
		change: func(_ context.Context, e catalog.Endpoint) (int64, error) { return src.change(e), nil }}, nil
}

// checkListCap checks that a replica refuses a list that is longer than its cap.
func checkListCap(ctx context.Context, s play.Spec, endpoints int) error {
	s.Dir = filepath.Join(s.Dir, "cap")
	svc, err := openService(ctx, s, 1, false, endpointList(1))
	if err != nil {
		return err
	}
	defer svc.close()
	op := svc.operator(svc.replicas...)
	op.RetryFor = 0
	_, err = op.Put(ctx, endpointList(min(endpoints, catalog.DefaultMaxEndpoints+1)), true, true, "*")
	var response *directory.ResponseError
	if errors.As(err, &response) && response.StatusCode == http.StatusInsufficientStorage {
		return nil
	}
	return fmt.Errorf("a list of more than %d endpoints was not refused with 507: %w", catalog.DefaultMaxEndpoints, err)
}

func playDestinations(ctx context.Context, s play.Spec, log *slog.Logger) (r play.Reading, err error) {
	endpoints := endpointCountOf(int(s.X))
	server, err := openListServer(ctx, s, endpoints, &r)
	if err != nil {
		return r, err
	}
	defer server.close()
	r.SetCount("endpoints", float64(endpoints))

	spec := Spec{Name: "h0", FleetSize: 1, Dir: filepath.Join(s.Dir, "h0"), Addresses: []string{server.address}, CacheKB: cacheSizeFor(s, endpoints)}
	if err := spec.Write(); err != nil {
		return r, err
	}
	node, err := newSoleNode(spec, log)
	if err != nil {
		return r, err
	}
	probe := node.probe
	node.start()
	defer func() { err = node.close(err) }()
	hasList := false
	err = await(ctx, "the first list", func() bool {
		applied, _ := node.CurrentList()
		hasList = applied >= server.revision
		return hasList || server.standIn != nil && server.standIn.watchCount() > minDroppedLists
	})
	if err != nil {
		return r, err
	}
	if !hasList {
		r.SetCount("list.bytes", float64(server.standIn.listSize()))
		r.AddLimit("a node does not accept a list of %d bytes (%d endpoints): it takes 16 MB at most, and requests the list again and again", server.standIn.listSize(), endpoints)
		r.AddNote("beyond this limit only the module is measured")
		values, err := measureModule(ctx, spec, s)
		for id, v := range values {
			r.SetCount(id, v)
		}
		return r, err
	}
	r.SetCount("ready", time.Since(node.startedAt).Seconds())
	listTraffic, err := readTraffic(map[string]bool{server.address: true}, server.ownAddr)
	if err != nil {
		return r, err
	}
	if err := probe.awaitAnswers(ctx, 1); err != nil {
		return r, err
	}
	if worst, answers := probe.takeWorst(); answers > 1 {
		r.SetValue("node.list.step", worst.Seconds())
	} else {
		r.AddNote("the list came before the loop could be probed, so node.list.step is missing")
	}
	if listTraffic.conns == 1 && listTraffic.in > float64(endpoints*minEndpointBytes) { // otherwise the list came over a connection that has ended since
		r.SetValue("node.list.bytes", listTraffic.in)
		r.SetCount("node.list.sent", listTraffic.out)
	} else {
		r.AddNote("%d connections have received %v bytes, so the list came over another one, and node.list.bytes is missing", listTraffic.conns, listTraffic.in)
	}
	var steps []float64
	for i := range int(s.Settings["changes"]) {
		probe.takeWorst()
		revision, err := server.change(ctx, changedEndpoint(i%endpoints, int64(i+1)))
		if err == nil {
			err = await(ctx, "a change", func() bool { applied, _ := node.CurrentList(); return applied >= revision })
		}
		if err == nil {
			err = probe.awaitAnswers(ctx, 1)
		}
		if err != nil {
			return r, err
		}
		worst, _ := probe.takeWorst()
		steps = append(steps, worst.Seconds())
	}
	if len(steps) > 0 {
		r.SetValue("node.change.step", median(steps))
		r.SetCount("node.change.step.worst", slices.Max(steps))
		after, err := readTraffic(map[string]bool{server.address: true}, server.ownAddr)
		if err != nil {
			return r, err
		}
		r.SetCount("change.bytes", after.sub(listTraffic).in/float64(len(steps)))
	}
	probe.close()
	empty, err := measureEmptyStep(ctx, node.Node.Node)
	if err != nil {
		return r, err
	}
	r.SetValue("node.empty.step", empty)
	sysretry.Sleep(ctx, cacheWriteWait)
	if server.service != nil {
		use, err := server.service.readUse()
		if err != nil {
			return r, err
		}
		r.SetValue("directory.destinations.rss", use.rss[0])
	}
	if err := node.readMemory(&r, "node.destinations"); err != nil {
		return r, err
	}
	if _, count := node.CurrentList(); count != endpoints {
		return r, fmt.Errorf("the node has %d endpoints, the list has %d", count, endpoints)
	}
	return r, ctx.Err()
}

func median(values []float64) float64 {
	values = slices.Sorted(slices.Values(values))
	if n := len(values); n%2 == 0 {
		return (values[n/2-1] + values[n/2]) / 2
	}
	return values[len(values)/2]
}

func moduleAxis() play.Axis {
	return play.Axis{
		Name: "module", XUnit: "destination",
		Description: "the decision module alone gets the complete list of x destinations with 1.7 endpoints each: no sockets and no journal, so it works beyond the longest list that a node takes",
		Measures:    moduleMeasures,
		Settings:    map[string]play.Setting{"changes": {Default: defaultChanges, Min: 0, Max: 1000, Description: "changes of one endpoint each; module.change.step is the median of them"}},
		Play: func(ctx context.Context, s play.Spec, _ *slog.Logger) (r play.Reading, err error) {
			spec := Spec{Name: "m0", FleetSize: 1, Dir: filepath.Join(s.Dir, "m0"), Addresses: []string{"127.0.0.1:1"}}
			if err := spec.Write(); err != nil {
				return r, err
			}
			r.Values, err = measureModule(ctx, spec, s)
			return r, err
		},
	}
}

var moduleMeasures = []play.Measure{
	{ID: "module.destinations.heap", Description: "heap of the decision module, by the destinations it knows (1.7 endpoints each)", Unit: "B"},
	{ID: "module.list.step", Description: "one step of the module for a whole list, by the destinations in it", Unit: "s"},
	{ID: "module.empty.step", Description: "one step of the module in which nothing is new, and the count of its endpoints that a node asks for after each, by the destinations it knows", Unit: "s"},
	{ID: "module.change.step", Description: "one step of the module for a change of one endpoint, by the destinations it knows", Unit: "s"},
}

// measureModule feeds lists to the decision module alone, made with the configuration of a node's spec, and
// returns the figures of moduleMeasures. The heap of the input list is not counted.
func measureModule(ctx context.Context, spec Spec, s play.Spec) (map[string]float64, error) {
	cfg, err := spec.Load()
	if err != nil {
		return nil, err
	}
	values := map[string]float64{}
	endpoints := endpointCountOf(int(s.X))
	entry := func(i int, phase choice.Phase) choice.Entry {
		e := endpointAt(i)
		return choice.Entry{Endpoint: e.ID, Zone: i % len(zones), Dest: e.Cell, Phase: phase, Weight: e.Size}
	}
	freeMemory()
	before := liveHeap()
	module := choice.New(cfg.Settings, s.Seed)
	now := time.Hour
	step := func(e choice.Event) float64 {
		startedAt := time.Now()
		now += time.Millisecond
		module.Step(now, []choice.Event{e})
		return time.Since(startedAt).Seconds()
	}
	list := make([]choice.Entry, endpoints)
	for i := range list {
		list[i] = entry(i, choice.Ready)
	}
	values["module.list.step"] = step(choice.ListUpdate{Complete: true, Entries: list})
	list = nil
	values["module.destinations.heap"] = liveHeap() - before
	var steps []float64
	for i := range int(s.Settings["changes"]) {
		phase := choice.Draining
		if i%2 == 1 {
			phase = choice.Ready
		}
		steps = append(steps, step(choice.ListUpdate{Entries: []choice.Entry{entry(i/2%endpoints, phase)}}))
	}
	if len(steps) > 0 {
		values["module.change.step"] = median(steps)
	}
	steps = steps[:0]
	for range emptyStepCount {
		startedAt := time.Now()
		now += time.Millisecond
		module.Step(now, nil)
		module.EndpointCounts()
		steps = append(steps, time.Since(startedAt).Seconds())
	}
	values["module.empty.step"] = median(steps)
	if count, _ := module.EndpointCounts(); count != endpoints {
		return values, fmt.Errorf("the module knows %d endpoints, the list has %d", count, endpoints)
	}
	return values, ctx.Err()
}
