package hollow

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/internal/lab/relay"
	"starlingusher/internal/lab/replica"
	"starlingusher/internal/lab/scale/play"
	"starlingusher/internal/sysretry"
)

// fault is a kind of fault. begin starts it and returns a function that ends it.
type fault struct {
	name  string
	begin func(context.Context, *nodeGroup) (end func() error, err error)
}

var faultKinds = []fault{
	{"kill", beginKill}, {"stop", beginStop}, {"cut_zone", beginCutZone}, {"cut_region", beginCutRegion}, {"restart", beginRestart},
}

// playFaults plays the faults that the settings ask for, one after the other, with a change during and one
// after each. It returns an error unless all nodes, hollow and real, then have the complete list. The list
// has total endpoints: those of endpointAt, numbered up to endpoints, and those of the load's partners.
func playFaults(ctx context.Context, g *nodeGroup, s play.Spec, r *play.Reading, endpoints, total int) error {
	duration := time.Duration(s.Settings["fault_seconds"] * float64(time.Second))
	for _, f := range faultKinds {
		if s.Settings[f.name] == 0 {
			continue
		}
		end, err := f.begin(ctx, g)
		if err != nil {
			return fmt.Errorf("fault %s: %w", f.name, err)
		}
		startedAt := time.Now()
		_, err = g.service.write(ctx, []catalog.Endpoint{endpointAt(endpoints)}, false)
		endpoints, total = endpoints+1, total+1
		if err == nil && !sysretry.Sleep(ctx, duration-time.Since(startedAt)) {
			err = ctx.Err()
		}
		if err := errors.Join(err, end()); err != nil { // end the fault even after an error
			return fmt.Errorf("fault %s: %w", f.name, err)
		}
		endedAt := time.Now()
		revision, err := g.service.write(ctx, []catalog.Endpoint{endpointAt(endpoints)}, false)
		endpoints, total = endpoints+1, total+1
		if err == nil {
			err = g.awaitList(ctx, revision, total)
		}
		if err != nil {
			return fmt.Errorf("after fault %s: %w", f.name, err)
		}
		r.SetCount("fault."+f.name+".back", time.Since(endedAt).Seconds())
		if err := awaitEvery(ctx, requestPollInterval, "votes of all replicas", func() bool { return g.service.voterCount(ctx) == len(g.service.replicas) }); err != nil {
			return fmt.Errorf("after fault %s: %w", f.name, err)
		}
	}
	return nil
}

// awaitLeader waits for a leader and returns its number.
func awaitLeader(ctx context.Context, g *nodeGroup) (i int, err error) {
	err = awaitEvery(ctx, requestPollInterval, "a leader", func() bool {
		i = g.service.leaderIndex(ctx)
		return i >= 0
	})
	return i, err
}

func beginKill(ctx context.Context, g *nodeGroup) (func() error, error) {
	i, err := awaitLeader(ctx, g)
	if err != nil {
		return nil, err
	}
	return g.service.replicas[i].Start, g.service.replicas[i].Kill()
}

func beginStop(ctx context.Context, g *nodeGroup) (func() error, error) {
	i, err := awaitLeader(ctx, g)
	if err != nil {
		return nil, err
	}
	process := g.service.replicas[(i+1)%len(g.service.replicas)].Process()
	return func() error { return process.Signal(syscall.SIGCONT) }, process.Signal(syscall.SIGSTOP)
}

// beginCutZone cuts the first zone off from the directory.
func beginCutZone(_ context.Context, g *nodeGroup) (func() error, error) {
	return cutLinks(g.service.links[0]...), nil
}

// beginCutRegion cuts off a region whose replica is not the leader. Its nodes reach that replica only;
// neither the nodes of the other regions nor the other replicas reach it.
func beginCutRegion(ctx context.Context, g *nodeGroup) (func() error, error) {
	i, err := awaitLeader(ctx, g)
	if err != nil {
		return nil, err
	}
	region := (i + 1) % regions
	var links []*relay.Link
	for zone, row := range g.service.links {
		for replicaOf, l := range row {
			if (regionOf(zone) == region) != (replicaOf == region) {
				links = append(links, l)
			}
		}
	}
	return cutLinks(append(links, g.service.replicas[region].Links[replica.Raft])...), nil
}

// cutLinks cuts links in both directions, and returns a function that restores them and resets their
// connections.
func cutLinks(links ...*relay.Link) func() error {
	for _, l := range links {
		l.SetConditions(relay.Conditions{CutOutbound: true, CutReturn: true})
	}
	return func() error {
		for _, l := range links {
			l.SetConditions(relay.Conditions{})
			l.ResetConnections()
		}
		return nil
	}
}

// beginRestart stops the nodes of the first zone; the returned function starts them again.
func beginRestart(_ context.Context, g *nodeGroup) (func() error, error) {
	var stopped, running []*Node
	for _, n := range g.hollow {
		if n.Spec.zone() == 0 {
			stopped = append(stopped, n)
		} else {
			running = append(running, n)
		}
	}
	var stoppedReal []*realNode
	var errs []error
	for _, node := range g.real {
		if node.spec.zone() == 0 {
			stoppedReal = append(stoppedReal, node)
			errs = append(errs, node.kill())
		}
	}
	g.hollow = running
	errs = append(errs, closeAll(stopped))
	return func() error {
		var specs []Spec
		for _, n := range stopped {
			specs = append(specs, n.Spec)
		}
		var errs []error
		for _, node := range stoppedReal {
			errs = append(errs, node.start())
		}
		return errors.Join(append(errs, g.start(specs))...)
	}, errors.Join(errs...)
}
