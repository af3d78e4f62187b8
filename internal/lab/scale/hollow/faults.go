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
	"starlingusher/internal/registry"
)

// fault is one that a play may have. begin starts it, and returns what ends it.
type fault struct {
	name  string
	begin func(context.Context, *group) (end func() error, err error)
}

var everyFault = []fault{
	{"kill", beginKill}, {"stop", beginStop}, {"cut_zone", beginCutZone}, {"cut_region", beginCutRegion}, {"restart", beginRestart},
}

// faults has those of a play that its settings say, one after the other, each with a change in it and one after it. Its verdict is
// that all nodes, hollow and real, have the list again each time: else it is an error. The list has endpoints of ours, and more in all.
func faults(ctx context.Context, g *group, s play.Spec, r *play.Reading, endpoints, more int) error {
	lasts := time.Duration(s.Settings["fault_seconds"] * float64(time.Second))
	for _, f := range everyFault {
		if s.Settings[f.name] == 0 {
			continue
		}
		end, err := f.begin(ctx, g)
		if err != nil {
			return fmt.Errorf("fault %s: %w", f.name, err)
		}
		began := time.Now()
		_, err = g.svc.write(ctx, []catalog.Endpoint{endpoint(endpoints)}, false)
		endpoints, more = endpoints+1, more+1
		if err == nil && !registry.Sleep(ctx, lasts-time.Since(began)) {
			err = ctx.Err()
		}
		if err := errors.Join(err, end()); err != nil { // it ends in any case
			return fmt.Errorf("fault %s: %w", f.name, err)
		}
		over := time.Now()
		revision, err := g.svc.write(ctx, []catalog.Endpoint{endpoint(endpoints)}, false)
		endpoints, more = endpoints+1, more+1
		if err == nil {
			err = g.have(ctx, revision, more)
		}
		if err != nil {
			return fmt.Errorf("after fault %s: %w", f.name, err)
		}
		r.SetCount("fault."+f.name+".back", time.Since(over).Seconds())
		if err := awaitEvery(ctx, lookWide, "the replicas' votes", func() bool { return g.svc.voters(ctx) == len(g.svc.replicas) }); err != nil {
			return fmt.Errorf("after fault %s: %w", f.name, err)
		}
	}
	return nil
}

// leads is the number of the replica that leads, once one does.
func leads(ctx context.Context, g *group) (i int, err error) {
	err = awaitEvery(ctx, lookWide, "a leader", func() bool {
		i = g.svc.leader(ctx)
		return i >= 0
	})
	return i, err
}

func beginKill(ctx context.Context, g *group) (func() error, error) {
	i, err := leads(ctx, g)
	if err != nil {
		return nil, err
	}
	return g.svc.replicas[i].Start, g.svc.replicas[i].Kill()
}

func beginStop(ctx context.Context, g *group) (func() error, error) {
	i, err := leads(ctx, g)
	if err != nil {
		return nil, err
	}
	p := g.svc.replicas[(i+1)%len(g.svc.replicas)].Process()
	return func() error { return p.Signal(syscall.SIGCONT) }, p.Signal(syscall.SIGSTOP)
}

// beginCutZone cuts the first zone off.
func beginCutZone(_ context.Context, g *group) (func() error, error) {
	return cut(g.svc.links[0]...), nil
}

// beginCutRegion cuts a region off whose replica does not lead: its nodes reach that replica and no other, the others' don't reach
// it, and neither do the other replicas.
func beginCutRegion(ctx context.Context, g *group) (func() error, error) {
	i, err := leads(ctx, g)
	if err != nil {
		return nil, err
	}
	region := (i + 1) % regions
	var links []*relay.Link
	for z, row := range g.svc.links {
		for of, l := range row {
			if (regionOf(z) == region) != (of == region) {
				links = append(links, l)
			}
		}
	}
	return cut(append(links, g.svc.replicas[region].Links[replica.Raft])...), nil
}

// cut cuts links both ways, and returns what mends them; what hung on them is reset then.
func cut(links ...*relay.Link) func() error {
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

// beginRestart ends the nodes of the first zone, and has them start again.
func beginRestart(_ context.Context, g *group) (func() error, error) {
	var gone, stay []*Node
	for _, n := range g.hollow {
		if n.Spec.zone() == 0 {
			gone = append(gone, n)
		} else {
			stay = append(stay, n)
		}
	}
	var real []*realNode
	var errs []error
	for _, r := range g.real {
		if r.spec.zone() == 0 {
			real = append(real, r)
			errs = append(errs, r.kill())
		}
	}
	g.hollow = stay
	errs = append(errs, closeAll(gone))
	return func() error {
		var specs []Spec
		for _, n := range gone {
			specs = append(specs, n.Spec)
		}
		var errs []error
		for _, r := range real {
			errs = append(errs, r.start())
		}
		return errors.Join(append(errs, g.run(specs))...)
	}, errors.Join(errs...)
}
