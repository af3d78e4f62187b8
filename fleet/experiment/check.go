package experiment

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"starlingusher/fleet/partner"
	"starlingusher/fleet/tomlfile"
)

// Error is an error in an experiment and its place.
type Error = tomlfile.Error

func unknownName(name string) string {
	return fmt.Sprintf("unknown name %q; see `cottonrack lab kinds` and the page on experiments", name)
}

// check validates what the types alone do not.
func (f *File) check(lines map[string]int) error {
	var errs []error
	addError := func(key, text string, args ...any) {
		line := lines[key]
		for line == 0 && strings.Contains(key, ".") { // the table in which the key is missing
			key = key[:strings.LastIndex(key, ".")]
			line = lines[key]
		}
		errs = append(errs, &Error{Line: line, Message: fmt.Sprintf(text, args...)})
	}
	checkRange := func(key string, n NumberRange, low, high float64) {
		if !n.within(low, high) {
			addError(key, "%s must be from %v to %v", key[strings.LastIndex(key, ".")+1:], low, high)
		}
	}
	if f.Name == "" {
		addError("name", "the experiment has no name")
	}
	if f.Length.Low < time.Second || f.Length.High > time.Hour {
		addError("length", "length must be from 1s to 1h")
	}
	checkRange("fleet.nodes", f.Fleet.Nodes, 1, 5000)
	checkRange("fleet.uneven", f.Fleet.ZipfExponent, 0, 3)
	checkRange("fleet.slots_room", f.Fleet.SlotHeadroom, 0.1, 100)
	checkRange("fleet.least_slots", f.Fleet.MinSlots, 1, 10000)
	checkRange("fleet.least_open", f.Fleet.MinOpen, 1, 1e6)
	checkRange("fleet.cores", f.Fleet.Cores, 0.05, 64)
	checkRange("fleet.memory_mb", f.Fleet.MemoryMB, 16, 1<<20)
	checkRange("fleet.sockets", f.Fleet.Sockets, 64, 1<<20)
	checkRange("fleet.disk_mb", f.Fleet.DiskMB, 0.1, 1<<20)
	checkRange("load.rate", f.Load.Rate, 0.01, 1e6)
	checkRange("load.clumps", f.Load.ClumpShare, 0, 0.9)
	checkRange("load.retries", f.Load.MaxRetries, 0, 20)
	checkRange("discovery.replicas", f.Discovery.Replicas, 0, 5)
	if n := f.Discovery.Replicas; n.Low != n.High || n.Low > 0 && int(n.Low)%2 == 0 {
		addError("discovery.replicas", "a directory must have 1, 3 or 5 replicas")
	}
	checkRange("load.honour", f.Load.HonorRetryAfter, 0, 1)
	checkRange("load.rude", f.Load.RudePeerRate, 0, 100)
	checkRange("load.body", f.Load.BodyBytes, 0, 60000)
	checkRange("network.jitter", f.Network.Jitter, 0, 1)
	checkRange("rules.max_attempts", f.Rules.MaxAttempts, 1, 100)
	checkRange("rules.fall_multiple", f.Rules.CollapseMultiple, 1, 100)
	checkRange("rules.cold_from", f.Rules.SlowStartFrom, 0.01, 1)
	if len(f.Fleet.Zones) == 0 {
		addError("fleet.zones", "a fleet needs at least one zone")
	}
	kinds := map[string]bool{}
	if len(f.Partners) == 0 {
		addError("partner", "there is no [[partner]] to send messages to")
	}
	for i, p := range f.Partners {
		key := func(name string) string { return fmt.Sprintf("partner[%d].%s", i, name) }
		kinds[p.Kind] = true
		if p.Kind == "" {
			addError(key("kind"), "the partner has no kind")
		}
		checkRange(key("count"), p.Count, 1, 10000)
		checkRange(key("traffic"), p.TrafficWeight, 0, 1e6)
		checkRange(key("uneven"), p.ZipfExponent, 0, 3)
		checkRange(key("endpoints"), p.Endpoints, 1, 64)
		checkRange(key("batch"), p.MaxBatch, 1, 100)
		checkRange(key("spread"), p.ServiceTimeVariation, 0, 10)
		checkRange(key("item_cost"), p.ExtraItemCost, 0, 1)
		checkRange(key("spare"), p.CapacityOverLimit, 0.1, 100)
		checkRange(key("connections"), p.ConnsPerWorker, 0, 1000)
		checkRange(key("headroom"), p.Headroom, 0.01, 1000)
		checkRange(key("least_rate"), p.MinRate, 0, 1e6)
		for _, share := range []struct {
			name string
			v    NumberRange
		}{{"tells_wait", p.RetryAfterShare}, {"faults", p.ErrorShare}, {"defers", p.DeferShare}, {"lost", p.LostAnswerShare}, {"spoilt", p.UnreadableAnswerShare}} {
			checkRange(key(share.name), share.v, 0, 1)
		}
		if p.ServiceTime.Low < time.Millisecond {
			addError(key("pace"), "pace must be at least 1ms")
		}
		if !slices.Contains([]string{"rate", "count", "none"}, p.LimitKind) {
			addError(key("limit"), "limit must be \"rate\", \"count\" or \"none\", is %q", p.LimitKind)
		}
		if p.LimitKind == "count" && p.LimitWindow.Low < 10*time.Millisecond {
			addError(key("limit_span"), "limit_span must be at least 10ms")
		}
	}
	if len(f.Classes) == 0 {
		addError("class", "there is no [[class]]")
	}
	names := map[string]bool{}
	for i, c := range f.Classes {
		key := func(name string) string { return fmt.Sprintf("class[%d].%s", i, name) }
		if c.Name == "" || names[c.Name] {
			addError(key("name"), "the class has no name or a duplicate one")
		}
		names[c.Name] = true
		checkRange(key("share"), c.Share, 0, 1e6)
		checkRange(key("worth"), c.Worth, 0, 1e6)
		checkRange(key("late_worth"), c.WorthAtDeadline, 0, 1)
		if c.SoftDeadline.Low <= 0 || c.Deadline.Low < c.SoftDeadline.High {
			addError(key("deadline"), "the class needs an aim above 0s and a deadline that is not before it")
		}
		if !slices.Contains([]string{"safe", "keyed", "unsafe"}, c.Effect) {
			addError(key("effect"), "effect must be \"safe\", \"keyed\" or \"unsafe\", is %q", c.Effect)
		}
		if c.Effect == "keyed" && c.Window.Low <= 0 {
			addError(key("window"), "a keyed class needs a window above 0s")
		}
		for _, k := range c.PartnerKinds {
			if !kinds[k] {
				addError(key("kinds"), "there is no [[partner]] of kind %q", k)
			}
		}
	}
	if len(f.Tenants) == 0 {
		f.Tenants = []Tenant{{Name: "all", Share: fixedNumber(1)}}
	}
	for i, m := range f.Tenants {
		if m.Name == "" {
			addError(fmt.Sprintf("member[%d].name", i), "the member has no name")
		}
		checkRange(fmt.Sprintf("member[%d].share", i), m.Share, 0, 1e6)
	}
	for i, x := range f.Faults {
		f.checkFault(x, func(name, text string, args ...any) { addError(fmt.Sprintf("fault[%d].%s", i, name), text, args...) })
	}
	for c := range f.Expect.MinServedByClass {
		if !names[c] {
			addError("expect.class", "there is no [[class]] named %q", c)
		}
	}
	return errors.Join(errs...)
}

// maxClockStep is the largest step of a wall clock, in seconds.
const maxClockStep = 86400

func (f *File) checkFault(x Fault, addError func(name, text string, args ...any)) {
	kind, known := FaultKinds[x.Kind]
	targets := kind.targets
	if !known {
		addError("kind", "unknown kind of fault %q; `cottonrack lab kinds` lists them", x.Kind)
		return
	}
	if x.At.High > f.Length.Low {
		addError("at", "the fault may start at %v, after the last message (%v)", x.At.High, f.Length.Low)
	}
	if targets&atReplicas != 0 && f.Discovery.Replicas.Low < 1 {
		addError("kind", "a fault of kind %q needs a directory: [discovery] replicas = 3", x.Kind)
	}
	if targets&atPartners == 0 && (x.Partners != nil || x.TrafficShare != nil) {
		addError("partners", "a fault of kind %q does not target partners", x.Kind)
	}
	if targets&atNodes == 0 && (x.Nodes != nil || x.NodeShare != nil || x.Zone != "") {
		addError("nodes", "a fault of kind %q does not target nodes", x.Kind)
	}
	if x.Zone != "" && !slices.Contains(f.Fleet.Zones, x.Zone) {
		addError("zone", "the fleet has no zone %q", x.Zone)
	}
	if x.TrafficShare != nil && !x.TrafficShare.within(0, 1) || x.NodeShare != nil && !x.NodeShare.within(0, 1) {
		addError("part", "part and share must be from 0 to 1")
	}
	minPartners := 0
	for _, p := range f.Partners {
		minPartners += int(p.Count.Low + 0.5)
	}
	for _, p := range x.Partners {
		if p < 0 || p >= minPartners {
			addError("partners", "there is no partner %d with every seed: they are numbered from 0, and there may be only %d", p, minPartners)
		}
	}
	for _, n := range x.Nodes {
		if n < 0 || n >= int(f.Fleet.Nodes.Low+0.5) {
			addError("nodes", "there is no node %d with every seed: they are numbered from 0", n)
		}
	}
	low, high := 0.0, 1e6
	switch x.Kind {
	case "lossy", "failing", "silent", "swallow", "loss", "limit", "folder-errors", "socket-errors":
		high = 1
	case "clock-step":
		low, high = -maxClockStep, maxClockStep
	case "slow", "burst":
		low = 1
	case "rate":
		low = 1
	}
	if x.Size != (NumberRange{}) && !x.Size.within(low, high) {
		addError("size", "size must be from %v to %v for a fault of kind %q", low, high, x.Kind)
	}
	if x.Size == (NumberRange{}) && slices.Contains([]string{"slow", "burst", "rate", "delay", "late-list", "loss", "limit", "clock-step", "hold-up", "crowd", "folder-errors", "socket-errors"}, x.Kind) {
		addError("size", "a fault of kind %q needs a size", x.Kind)
	}
	if !slices.Contains([]string{"", "both", "out", "back"}, x.Direction) {
		addError("way", "way must be \"both\", \"out\" or \"back\", is %q", x.Direction)
	}
	if !slices.Contains([]string{"", "reset", "resume"}, x.ConnsAfter) {
		addError("then", "then must be \"reset\" or \"resume\", is %q", x.ConnsAfter)
	}
	if _, isTrouble := partner.ParseFaultKind(x.Kind); x.Duration.Low == 0 && !isTrouble && !slices.Contains([]string{"reset", "move", "replace", "restart", "clock-step", "signals"}, x.Kind) {
		addError("for", "a fault of kind %q needs a duration: for", x.Kind)
	}
}
