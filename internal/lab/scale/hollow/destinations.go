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
	"starlingusher/internal/registry"
)

const (
	mostChanges = 20                      // of one endpoint each, one after the other
	keptWait    = 1500 * time.Millisecond // until the kept list is written
	leastEntry  = 100                     // bytes of an endpoint in a list
	refusals    = 2                       // lists that a node has let go of, before it is taken to refuse them
)

func destinationsAxis() play.Axis {
	return play.Axis{
		Name: "destinations", XUnit: "destination",
		Description: "one hollow node follows the whole list of so many destinations, with 1.7 endpoints each: of a replica of the directory up to its cap, past that of a stand-in that tells a list of any length",
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
			"keep_kb":  keepSetting,
			"changes":  {Default: mostChanges, Min: 0, Max: 1000, Description: "changes of one endpoint each, one after the other; node.change.step is the median of them"},
			"stand_in": {Default: 0, Min: 0, Max: 1, Description: "1: the stand-in tells the list also where the directory could"},
		},
		Play: playDestinations,
	}
}

var keepSetting = play.Setting{Default: -1, Min: -1, Max: 1 << 20, Description: "room for the kept list in the lasting folder, in KB; -1: what the list needs, 0: it is not kept"}

// teller is what tells a node its list in this axis: a service or a source.
type teller struct {
	address string
	change  func(context.Context, catalog.Endpoint) (int64, error)
	close   func()
	svc     *service // nil: a stand-in
	src     *source
	first   int64  // revision of the list
	from    string // where the play's own asks come from; empty: there are none
}

func openTeller(ctx context.Context, s play.Spec, endpoints int, r *play.Reading) (*teller, error) {
	if endpoints <= catalog.DefaultMaxEndpoints && s.Settings["stand_in"] == 0 {
		svc, err := openService(ctx, s, 1, false, listOf(endpoints))
		if err != nil {
			return nil, err
		}
		st, err := svc.status(ctx, svc.replicas[0])
		if err != nil {
			svc.close()
			return nil, err
		}
		return &teller{address: svc.addresses(0)[0], svc: svc, close: svc.close, first: st.Revision, from: svc.from(),
			change: func(ctx context.Context, e catalog.Endpoint) (int64, error) {
				return svc.write(ctx, []catalog.Endpoint{e}, false)
			}}, nil
	}
	if endpoints > catalog.DefaultMaxEndpoints {
		if err := capped(ctx, s, endpoints); err != nil {
			return nil, err
		}
		r.AddNote("the directory ended before: it takes %d endpoints at most and refused %d (507); a stand-in tells the list", catalog.DefaultMaxEndpoints, endpoints)
	}
	src, err := openSource(endpoints)
	if err != nil {
		return nil, err
	}
	return &teller{address: src.address(), src: src, close: func() { src.close() }, first: firstRevision,
		change: func(_ context.Context, e catalog.Endpoint) (int64, error) { return src.change(e), nil }}, nil
}

// capped makes sure that a replica really refuses one endpoint more than it holds at most.
func capped(ctx context.Context, s play.Spec, endpoints int) error {
	s.Dir = filepath.Join(s.Dir, "cap")
	svc, err := openService(ctx, s, 1, false, listOf(1))
	if err != nil {
		return err
	}
	defer svc.close()
	op := svc.operator(svc.replicas...)
	op.RetryFor = 0
	_, err = op.Put(ctx, listOf(min(endpoints, catalog.DefaultMaxEndpoints+1)), true, true, "*")
	var no *directory.ResponseError
	if errors.As(err, &no) && no.StatusCode == http.StatusInsufficientStorage {
		return nil
	}
	return fmt.Errorf("a list of more than %d endpoints should have been refused for want of room: %w", catalog.DefaultMaxEndpoints, err)
}

func playDestinations(ctx context.Context, s play.Spec, log *slog.Logger) (r play.Reading, err error) {
	endpoints := endpointsOf(int(s.X))
	t, err := openTeller(ctx, s, endpoints, &r)
	if err != nil {
		return r, err
	}
	defer t.close()
	r.SetCount("endpoints", float64(endpoints))

	spec := Spec{Name: "h0", Nodes: 1, Dir: filepath.Join(s.Dir, "h0"), Addresses: []string{t.address}, KeepKB: keepFor(s, endpoints)}
	if err := spec.Write(); err != nil {
		return r, err
	}
	n, err := newAlone(spec, log)
	if err != nil {
		return r, err
	}
	loop := n.loop
	n.run()
	defer func() { err = n.close(err) }()
	took := false
	err = await(ctx, "the first list", func() bool {
		at, _ := n.CurrentList()
		took = at >= t.first
		return took || t.src != nil && t.src.asked() > refusals
	})
	if err != nil {
		return r, err
	}
	if !took {
		r.SetCount("list.bytes", float64(t.src.bytes()))
		r.AddLimit("a node takes no list of %d bytes (%d endpoints): 16 MB at most, and it asks for it again and again", t.src.bytes(), endpoints)
		r.AddNote("past this end the module alone is fed")
		of, err := module(ctx, spec, s)
		for id, v := range of {
			r.SetCount(id, v)
		}
		return r, err
	}
	r.SetCount("ready", time.Since(n.began).Seconds())
	bytes, err := carried(map[string]bool{t.address: true}, t.from)
	if err != nil {
		return r, err
	}
	if err := loop.after(ctx, 1); err != nil {
		return r, err
	}
	if worst, asks := loop.take(); asks > 1 {
		r.SetValue("node.list.step", worst.Seconds())
	} else {
		r.AddNote("the list was there before the loop could be watched, so node.list.step is missing")
	}
	if bytes.conns == 1 && bytes.in > float64(endpoints*leastEntry) { // else the list came over one that has ended since
		r.SetValue("node.list.bytes", bytes.in)
		r.SetCount("node.list.sent", bytes.out)
	} else {
		r.AddNote("%d connections have carried %v bytes, so the list came over another, and node.list.bytes is missing", bytes.conns, bytes.in)
	}
	var steps []float64
	for i := range int(s.Settings["changes"]) {
		loop.take()
		revision, err := t.change(ctx, turned(i%endpoints, int64(i+1)))
		if err == nil {
			err = await(ctx, "a change", func() bool { at, _ := n.CurrentList(); return at >= revision })
		}
		if err == nil {
			err = loop.after(ctx, 1)
		}
		if err != nil {
			return r, err
		}
		worst, _ := loop.take()
		steps = append(steps, worst.Seconds())
	}
	if len(steps) > 0 {
		r.SetValue("node.change.step", median(steps))
		r.SetCount("node.change.step.worst", slices.Max(steps))
		after, err := carried(map[string]bool{t.address: true}, t.from)
		if err != nil {
			return r, err
		}
		r.SetCount("change.bytes", after.sub(bytes).in/float64(len(steps)))
	}
	loop.close()
	empty, err := emptyStep(ctx, n.Node.Node)
	if err != nil {
		return r, err
	}
	r.SetValue("node.empty.step", empty)
	registry.Sleep(ctx, keptWait)
	if t.svc != nil {
		use, err := t.svc.use()
		if err != nil {
			return r, err
		}
		r.SetValue("directory.destinations.rss", use.rss[0])
	}
	if err := n.read(&r, "node.destinations"); err != nil {
		return r, err
	}
	if _, have := n.CurrentList(); have != endpoints {
		return r, fmt.Errorf("the node has %d endpoints, the list %d", have, endpoints)
	}
	return r, ctx.Err()
}

func median(of []float64) float64 {
	of = slices.Sorted(slices.Values(of))
	if n := len(of); n%2 == 0 {
		return (of[n/2-1] + of[n/2]) / 2
	}
	return of[len(of)/2]
}

func moduleAxis() play.Axis {
	return play.Axis{
		Name: "module", XUnit: "destination",
		Description: "the decision module alone is told the whole list of so many destinations, with 1.7 endpoints each: no sockets, no journal, so it goes on where a node ends",
		Measures:    moduleMeasures,
		Settings:    map[string]play.Setting{"changes": {Default: mostChanges, Min: 0, Max: 1000, Description: "changes of one endpoint each; module.change.step is the median of them"}},
		Play: func(ctx context.Context, s play.Spec, _ *slog.Logger) (r play.Reading, err error) {
			spec := Spec{Name: "m0", Nodes: 1, Dir: filepath.Join(s.Dir, "m0"), Addresses: []string{"127.0.0.1:1"}}
			if err := spec.Write(); err != nil {
				return r, err
			}
			r.Values, err = module(ctx, spec, s)
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

// module feeds the decision module alone, made as the node of a spec makes its own, and returns what moduleMeasures name. What the list
// itself takes isn't the module's.
func module(ctx context.Context, spec Spec, s play.Spec) (map[string]float64, error) {
	cfg, err := spec.Load()
	if err != nil {
		return nil, err
	}
	of := map[string]float64{}
	endpoints := endpointsOf(int(s.X))
	entry := func(i int, phase choice.Phase) choice.Entry {
		e := endpoint(i)
		return choice.Entry{Endpoint: e.ID, Zone: i % len(zones), Dest: e.Cell, Phase: phase, Weight: e.Size}
	}
	settle()
	before := heap()
	m := choice.New(cfg.Settings, s.Seed)
	now := time.Hour
	step := func(e choice.Event) float64 {
		began := time.Now()
		now += time.Millisecond
		m.Step(now, []choice.Event{e})
		return time.Since(began).Seconds()
	}
	list := make([]choice.Entry, endpoints)
	for i := range list {
		list[i] = entry(i, choice.Ready)
	}
	of["module.list.step"] = step(choice.ListUpdate{Complete: true, Entries: list})
	list = nil
	of["module.destinations.heap"] = heap() - before
	var steps []float64
	for i := range int(s.Settings["changes"]) {
		phase := choice.Draining
		if i%2 == 1 {
			phase = choice.Ready
		}
		steps = append(steps, step(choice.ListUpdate{Entries: []choice.Entry{entry(i/2%endpoints, phase)}}))
	}
	if len(steps) > 0 {
		of["module.change.step"] = median(steps)
	}
	steps = steps[:0]
	for range emptySteps {
		began := time.Now()
		now += time.Millisecond
		m.Step(now, nil)
		m.EndpointCounts()
		steps = append(steps, time.Since(began).Seconds())
	}
	of["module.empty.step"] = median(steps)
	if have, _ := m.EndpointCounts(); have != endpoints {
		return of, fmt.Errorf("the module knows %d endpoints, the list has %d", have, endpoints)
	}
	return of, ctx.Err()
}
