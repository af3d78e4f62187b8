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

// linkFaultKinds are the faults that change the conditions of links.
var linkFaultKinds = []string{"cut", "delay", "loss", "swallow", "rate"}

// timelineStep is the start or the end of a fault.
type timelineStep struct {
	at    time.Duration
	fault *experiment.FaultPlan
	ends  bool
}

// runTimeline applies the plan's faults until the context ends. The goroutines that faults start are counted
// in r.wg.
func (r *run) runTimeline(ctx context.Context) {
	var steps []timelineStep
	for i := range r.plan.Faults {
		fault := &r.plan.Faults[i]
		steps = append(steps, timelineStep{fault.At, fault, false})
		if fault.Until > 0 {
			steps = append(steps, timelineStep{fault.Until, fault, true})
		}
	}
	slices.SortStableFunc(steps, func(a, b timelineStep) int { return cmp.Compare(a.at, b.at) })
	for _, next := range steps {
		if !observe.SleepUntil(ctx, r.log.WallTime(next.at)) {
			return
		}
		r.log.RecordLateness(observe.Timeline, r.log.Now()-next.at)
		note := "begins: "
		if next.ends {
			note = "ends: "
		}
		r.log.Add(history.Event{Kind: history.Fault, Node: -1, Partner: -1, Note: note + next.fault.String()})
		r.opts.Log.Debug("fault starts or ends", "at", next.at, "ends", next.ends, "fault", next.fault.String())
		r.applyFault(ctx, next.fault, next.ends)
	}
}

// forEachNode applies an action to all nodes of a fault at the same time.
func (r *run) forEachNode(fault *experiment.FaultPlan, action string, do func(*node) error) {
	for _, i := range fault.Nodes {
		n := r.nodes[i]
		r.wg.Go(func() { r.recordFailure(fmt.Sprintf("%s of %s", action, n.name()), do(n)) })
	}
}

func (r *run) applyFault(ctx context.Context, fault *experiment.FaultPlan, ends bool) {
	if kind, ok := partner.ParseFaultKind(fault.Kind); ok {
		for _, p := range fault.Partners {
			if !ends {
				r.partners[p].StartFault(kind, fault.Size, fault.Until)
			}
		}
		return
	}
	if slices.Contains(linkFaultKinds, fault.Kind) {
		r.applyLinkFault(fault, ends)
		return
	}
	switch fault.Kind {
	case "replica-kill", "replica-cut", "replica-stop":
		r.applyReplicaFault(fault, ends)
	case "limit":
		r.applyLimit(fault, ends)
	case "replace":
		if !ends {
			for _, p := range fault.Partners {
				r.wg.Go(func() { r.recordFailure("replacement of endpoints", r.replaceEndpoints(ctx, p, fault)) })
			}
		}
	case "late-list", "silent-list":
		for _, n := range fault.Nodes {
			agent := r.platform.Agent(n)
			switch {
			case fault.Kind == "silent-list":
				agent.SetSilent(!ends)
			case ends:
				agent.SetExtraDelay(0)
			default:
				agent.SetExtraDelay(time.Duration(fault.Size * float64(time.Second)))
			}
		}
	case "move":
		if !ends {
			r.mu.Lock()
			r.agentMoves++
			port := discoveryPort + r.agentMoves
			r.mu.Unlock()
			r.forEachNode(fault, "move", func(n *node) error { return n.moveAgent(port) })
		}
	case "kill":
		if ends {
			r.forEachNode(fault, "start", func(n *node) error { return n.startAfterKill(ctx) })
		} else {
			r.forEachNode(fault, "kill", func(n *node) error { return n.kill(fault.LoseState) })
		}
	case "restart", "signals":
		if !ends {
			r.forEachNode(fault, fault.Kind, func(n *node) error { return n.restart(ctx, fault.Kind == "signals") })
		}
	case "clock-step", "hold-up", "crowd", "folder-errors", "socket-errors":
		r.applyMachineFault(fault, ends)
	case "stop":
		sig, kind := syscall.SIGSTOP, history.Stopped
		if ends {
			sig, kind = syscall.SIGCONT, history.Resumed
		}
		r.forEachNode(fault, fault.Kind, func(n *node) error {
			_, err := n.signal(sig, kind)
			return err
		})
	case "disk-full":
		r.forEachNode(fault, fault.Kind, func(n *node) error { return n.setDiskFull(!ends) })
	case "reset":
		for _, n := range fault.Nodes {
			for _, p := range fault.Partners {
				for _, e := range r.partners[p].Endpoints() {
					e.Link(n).ResetConnections()
				}
			}
		}
	}
}

// applyLimit reduces partners' limits to a share of their value. Several shares at the same time are
// multiplied.
func (r *run) applyLimit(fault *experiment.FaultPlan, ends bool) {
	for _, p := range fault.Partners {
		r.mu.Lock()
		if ends {
			if i := slices.Index(r.limitShares[p], fault.Size); i >= 0 {
				r.limitShares[p] = slices.Delete(r.limitShares[p], i, i+1)
			}
		} else {
			r.limitShares[p] = append(r.limitShares[p], fault.Size)
		}
		total := 1.0
		for _, s := range r.limitShares[p] {
			total *= s
		}
		r.mu.Unlock()
		r.partners[p].SetLimitShare(total)
	}
}

// replaceEndpoints replaces a partner's endpoints one after the other: a new one is added, the old one
// drains, and is deleted and later retired, each after the fault's size in seconds.
func (r *run) replaceEndpoints(ctx context.Context, partnerNumber int, fault *experiment.FaultPlan) error {
	drain := time.Duration(max(fault.Size, 1.5) * float64(time.Second))
	for _, old := range r.partners[partnerNumber].Endpoints() {
		if err := r.addEndpoint(partnerNumber, old.Zone, false); err != nil {
			return err
		}
		member := standin.Member{
			ID: old.ID, Locality: r.plan.Zones[old.Zone], Flavor: r.plan.PartnerKinds[r.plan.Partners[partnerNumber].Kind], Cell: partnerNumber,
			Phase: history.Draining, Size: r.plan.Partners[partnerNumber].TotalRate(),
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

// applyLinkFault starts or ends a fault on links.
func (r *run) applyLinkFault(fault *experiment.FaultPlan, ends bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ends {
		r.activeLinkFaults = slices.DeleteFunc(r.activeLinkFaults, func(y *experiment.FaultPlan) bool { return y == fault })
	} else {
		r.activeLinkFaults = append(r.activeLinkFaults, fault)
	}
	// When a path that was cut is restored, its connections are reset unless the fault says otherwise.
	// Connections whose answers were swallowed must be reset.
	resetNeeded := ends && (fault.Kind == "swallow" || fault.Kind == "cut" && !fault.Resume)
	for _, p := range fault.Partners {
		for _, e := range r.partners[p].Endpoints() {
			for _, n := range fault.Nodes {
				if resetNeeded {
					e.Link(n).ResetConnections()
				}
				e.Link(n).SetConditions(r.linkConditions(n, p, e.Zone))
			}
		}
	}
}

// linkConditions returns the current conditions of a link. The caller holds the lock.
func (r *run) linkConditions(node, partnerNumber, zone int) relay.Conditions {
	conditions := relay.Conditions{Delay: r.plan.Network.CrossZone, Jitter: r.plan.Network.Jitter}
	if r.plan.Nodes[node].Zone == zone {
		conditions.Delay = r.plan.Network.SameZone
	}
	for _, fault := range r.activeLinkFaults {
		if !slices.Contains(fault.Nodes, node) || !slices.Contains(fault.Partners, partnerNumber) {
			continue
		}
		switch fault.Kind {
		case "cut":
			conditions.CutOutbound = conditions.CutOutbound || fault.Direction != "back"
			conditions.CutReturn = conditions.CutReturn || fault.Direction != "out"
		case "delay":
			conditions.Delay += time.Duration(fault.Size * float64(time.Millisecond))
		case "loss":
			conditions.Loss = max(conditions.Loss, fault.Size)
		case "swallow":
			conditions.CutReturnShare = max(conditions.CutReturnShare, fault.Size)
		case "rate":
			if rate := fault.Size * 1000; conditions.BytesPerSecond == 0 || rate < conditions.BytesPerSecond {
				conditions.BytesPerSecond = rate
			}
		}
	}
	return conditions
}
