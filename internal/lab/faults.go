package lab

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"starlingusher/fleet/experiment"
	"starlingusher/fleet/history"
	"starlingusher/fleet/partner"
	"starlingusher/internal/lab/observe"
	"starlingusher/internal/lab/relay"
	"starlingusher/internal/lab/standin"
)

// onLinks are the faults that change the weather of links.
var onLinks = []string{"cut", "delay", "loss", "swallow", "rate"}

// step is one beginning or end of a fault.
type step struct {
	at    time.Duration
	fault *experiment.FaultPlan
	ends  bool
}

// timeline carries out the plan's faults until the context ends. What a fault sets going by itself is counted in r.wg.
func (r *run) timeline(ctx context.Context) {
	var steps []step
	for i := range r.plan.Faults {
		x := &r.plan.Faults[i]
		steps = append(steps, step{x.At, x, false})
		if x.Until > 0 {
			steps = append(steps, step{x.Until, x, true})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	for _, s := range steps {
		if !observe.SleepUntil(ctx, r.log.WallTime(s.at)) {
			return
		}
		r.log.RecordLateness(observe.Timeline, r.log.Now()-s.at)
		note := "begins: "
		if s.ends {
			note = "ends: "
		}
		r.log.Add(history.Event{Kind: history.Fault, Node: -1, Partner: -1, Note: note + s.fault.String()})
		r.opts.Log.Debug("fault", "at", s.at, "ends", s.ends, "what", s.fault.String())
		r.carryOut(ctx, s.fault, s.ends)
	}
}

// each does something to each node of a fault, all at once.
func (r *run) each(x *experiment.FaultPlan, what string, do func(*node) error) {
	for _, i := range x.Nodes {
		n := r.nodes[i]
		r.wg.Go(func() { r.fail(fmt.Sprintf("%s of %s", what, n.name()), do(n)) })
	}
}

func (r *run) carryOut(ctx context.Context, x *experiment.FaultPlan, ends bool) {
	if t, ok := partner.ParseFaultKind(x.Kind); ok {
		for _, p := range x.Partners {
			if !ends {
				r.partners[p].StartFault(t, x.Size, x.Until)
			}
		}
		return
	}
	if slices.Contains(onLinks, x.Kind) {
		r.linkFaults(x, ends)
		return
	}
	switch x.Kind {
	case "replica-kill", "replica-cut", "replica-stop":
		r.replicaFault(x, ends)
	case "limit":
		r.limit(x, ends)
	case "replace":
		if !ends {
			for _, p := range x.Partners {
				r.wg.Go(func() { r.fail("replacing endpoints", r.replace(ctx, p, x)) })
			}
		}
	case "late-list", "silent-list":
		for _, n := range x.Nodes {
			a := r.platform.Agent(n)
			switch {
			case x.Kind == "silent-list":
				a.SetSilent(!ends)
			case ends:
				a.SetExtraDelay(0)
			default:
				a.SetExtraDelay(time.Duration(x.Size * float64(time.Second)))
			}
		}
	case "move":
		if !ends {
			r.mu.Lock()
			r.moves++
			port := discoverPort + r.moves
			r.mu.Unlock()
			r.each(x, "move", func(n *node) error { return n.move(port) })
		}
	case "kill":
		if ends {
			r.each(x, "start", func(n *node) error { return n.revive(ctx) })
		} else {
			r.each(x, "kill", func(n *node) error { return n.kill(x.LoseState) })
		}
	case "restart":
		if !ends {
			r.each(x, "restart", func(n *node) error { return n.restart(ctx) })
		}
	case "stop":
		sig, kind := syscall.SIGSTOP, history.Stopped
		if ends {
			sig, kind = syscall.SIGCONT, history.Resumed
		}
		r.each(x, x.Kind, func(n *node) error {
			_, err := n.signal(sig, kind)
			return err
		})
	case "disk-full":
		r.each(x, x.Kind, func(n *node) error { return n.diskFull(!ends) })
	case "reset":
		for _, n := range x.Nodes {
			for _, p := range x.Partners {
				for _, e := range r.partners[p].Endpoints() {
					e.Link(n).ResetConnections()
				}
			}
		}
	}
}

// limit holds partners' limits to a share of what they were. Of several at once all count.
func (r *run) limit(x *experiment.FaultPlan, ends bool) {
	for _, p := range x.Partners {
		r.mu.Lock()
		if ends {
			if i := slices.Index(r.limits[p], x.Size); i >= 0 {
				r.limits[p] = slices.Delete(r.limits[p], i, i+1)
			}
		} else {
			r.limits[p] = append(r.limits[p], x.Size)
		}
		share := 1.0
		for _, s := range r.limits[p] {
			share *= s
		}
		r.mu.Unlock()
		r.partners[p].SetLimitShare(share)
	}
}

// replace replaces a partner's endpoints, one after the other: a new one comes, the old one drains, and is gone after
// the fault's size in seconds.
func (r *run) replace(ctx context.Context, number int, x *experiment.FaultPlan) error {
	drain := time.Duration(max(x.Size, 1.5) * float64(time.Second))
	for _, old := range r.partners[number].Endpoints() {
		if err := r.addEndpoint(number, old.Zone, false); err != nil {
			return err
		}
		member := standin.Member{
			ID: old.ID, Locality: r.plan.Zones[old.Zone], Flavor: r.plan.PartnerKinds[r.plan.Partners[number].Kind], Cell: number,
			Phase: history.Draining, Size: r.plan.Partners[number].TotalRate(),
		}
		r.platform.PutMember(member, nil, false)
		if !observe.SleepUntil(ctx, time.Now().Add(drain)) {
			return nil
		}
		member.Phase = history.Deleted
		r.platform.PutMember(member, old.Addr, false)
		if !observe.SleepUntil(ctx, time.Now().Add(drain)) {
			return nil
		}
		old.Retire()
	}
	return nil
}

// linkFaults begins or ends a fault on links.
func (r *run) linkFaults(x *experiment.FaultPlan, ends bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ends {
		r.linkFault = slices.DeleteFunc(r.linkFault, func(y *experiment.FaultPlan) bool { return y == x })
	} else {
		r.linkFault = append(r.linkFault, x)
	}
	// A path that was cut comes back with its connections broken, unless the fault says otherwise; what swallowed
	// answers has to break them.
	breaks := ends && (x.Kind == "swallow" || x.Kind == "cut" && !x.Resume)
	for _, p := range x.Partners {
		for _, e := range r.partners[p].Endpoints() {
			for _, n := range x.Nodes {
				if breaks {
					e.Link(n).ResetConnections()
				}
				e.Link(n).SetConditions(r.weather(n, p, e.Zone))
			}
		}
	}
}

// weather is what a link has to be like now; the lock is held.
func (r *run) weather(node, number, zone int) relay.Conditions {
	w := relay.Conditions{Delay: r.plan.Network.CrossZone, Jitter: r.plan.Network.Jitter}
	if r.plan.Nodes[node].Zone == zone {
		w.Delay = r.plan.Network.SameZone
	}
	for _, x := range r.linkFault {
		if !slices.Contains(x.Nodes, node) || !slices.Contains(x.Partners, number) {
			continue
		}
		switch x.Kind {
		case "cut":
			w.CutOutbound = w.CutOutbound || x.Direction != "back"
			w.CutReturn = w.CutReturn || x.Direction != "out"
		case "delay":
			w.Delay += time.Duration(x.Size * float64(time.Millisecond))
		case "loss":
			w.Loss = max(w.Loss, x.Size)
		case "swallow":
			w.CutReturnShare = max(w.CutReturnShare, x.Size)
		case "rate":
			if rate := x.Size * 1000; w.BytesPerSecond == 0 || rate < w.BytesPerSecond {
				w.BytesPerSecond = rate
			}
		}
	}
	return w
}
