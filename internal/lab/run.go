// Package lab runs experiments with real node processes on this machine. Stand-ins play everything that a
// node talks to, faults are injected between them and the nodes, and the judge checks what was observed.
package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"time"

	"starlingusher/fleet/experiment"
	"starlingusher/fleet/history"
	"starlingusher/internal/lab/block"
	"starlingusher/internal/lab/observe"
	"starlingusher/internal/lab/proc"
	"starlingusher/internal/lab/replica"
	"starlingusher/internal/lab/standin"
)

const (
	clientPort     = 6379
	discoveryPort  = 8500 // the agents' first port; each move of an agent takes the next one
	linkPort       = 10000
	readyTimeout   = 30 * time.Second
	sampleInterval = 250 * time.Millisecond
	maxNodes       = 5000 // a node's address is taken from one /16 of loopback addresses
)

// Options configure a run.
type Options struct {
	Command []string // the command of one node process, which is configured through its environment
	Env     []string // added to the environment variables of the protocol
	// DirectoryCommand is the command of a directory replica, to which `--config FILE` is added. The default
	// is this program's own.
	DirectoryCommand []string
	Dir              string // an empty directory for the nodes' directories and logs; it is not removed
	Progress         func(Progress)
	Log              *slog.Logger
}

// Progress is the state of a run.
type Progress struct {
	Elapsed, End time.Duration
	Submitted    int // submissions of messages
	Calls        int
	Notices      int
	ReadyNodes   int
	Lateness     time.Duration // 99th percentile so far, of the component of the lab where it is highest
	Starting     bool          // the nodes are being started; only ReadyNodes is set
}

// run is the execution of one plan.
type run struct {
	plan  *experiment.Plan
	opts  Options
	log   *observe.Log
	sup   *proc.Supervisor
	block *block.Block // all addresses of the run

	platform *standin.Platform
	clients  *standin.Clients
	partners []*standin.Partner
	nodes    []*node
	replicas []*replica.Replica        // of the directory; empty without one
	proxies  []*standin.DirectoryProxy // of the nodes, in front of the replicas
	wg       sync.WaitGroup            // goroutines that the timeline started

	mu               sync.Mutex
	endpointsMade    int // how many were ever created
	activeLinkFaults []*experiment.FaultPlan
	limitShares      map[int][]float64  // by partner: the sizes of its limit faults under way
	labFailures      []string           // what the lab itself failed to do
	agentMoves       int                // number of move faults so far; each takes another port
	stopWrites       context.CancelFunc // stops the writes to the directory
}

// RunPlan executes a plan once. Canceling the context ends the run early, with an error and without
// leftovers.
func RunPlan(ctx context.Context, plan experiment.Plan, opts Options) (*Result, error) {
	if len(plan.Nodes) > maxNodes {
		return nil, fmt.Errorf("%d nodes: the lab has addresses for %d only", len(plan.Nodes), maxNodes)
	}
	r := &run{plan: &plan, opts: opts, log: observe.NewLog(), limitShares: map[int][]float64{}}
	if r.opts.Log == nil {
		r.opts.Log = slog.New(slog.DiscardHandler)
	}
	startedAt := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err := r.execute(ctx)
	r.close()
	if err != nil {
		return nil, err
	}
	return r.buildResult(startedAt), nil
}

func (r *run) execute(ctx context.Context) error {
	var err error
	if r.block, err = block.Reserve(); err != nil {
		return err
	}
	r.sup = proc.NewSupervisor()
	if err := r.setUp(); err != nil {
		return err
	}
	if err := r.startDirectory(ctx); err != nil {
		return err
	}
	if err := r.startNodes(ctx); err != nil {
		return err
	}
	r.log.Start()
	for _, p := range r.partners {
		p.CatchUp()
	}
	r.opts.Log.Info("run started", "experiment", r.plan.Name, "seed", r.plan.Seed, "nodes", len(r.plan.Nodes), "messages", len(r.plan.Arrivals),
		"partners", len(r.plan.Partners), "faults", len(r.plan.Faults))
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	var components sync.WaitGroup
	components.Go(func() { r.clients.Run(runCtx) })
	components.Go(func() { r.runTimeline(runCtx) })
	components.Go(func() { r.sampleUsage(runCtx) })
	components.Go(func() { r.reportProgress(runCtx) })
	completed := observe.SleepUntil(ctx, r.log.WallTime(r.plan.EndTime()))
	if completed {
		r.log.Add(history.Event{Kind: history.RunEnded, Node: -1, Partner: -1})
	}
	stop()
	components.Wait()
	if !completed {
		return fmt.Errorf("run ended early after %v of %v: %w", r.log.Now().Round(time.Millisecond), r.plan.EndTime(), context.Cause(ctx))
	}
	return nil
}

// ip returns the node's own address, at which it reaches everything that it talks to.
func (r *run) ip(node int) string { return r.block.IP(node/200, node%200+1) }

func (r *run) addr(node, port int) string { return net.JoinHostPort(r.ip(node), strconv.Itoa(port)) }

// setUp creates the stand-ins and the nodes' directories.
func (r *run) setUp() error {
	plan := r.plan
	r.platform = standin.NewPlatform(len(plan.Nodes), plan.DiscoveryDelay.Low, plan.DiscoveryDelay.High, plan.Seed, r.log,
		func(node int, id, state string, after time.Duration) { r.clients.HandleNotice(node, id, state, after) })
	r.clients = standin.NewClients(plan, func(n int) string { return r.addr(n, clientPort) }, func(n int) bool { return r.nodes[n].isUp() }, r.log)
	for i, partnerPlan := range plan.Partners {
		standIn := standin.NewPartner(i, partnerPlan.Config, partnerPlan.Seed, len(plan.Nodes), plan.Rules.ConnIdleTimeout, r.log, r.clients.RecordReached)
		r.partners = append(r.partners, standIn)
		for _, zone := range partnerPlan.Zones {
			if err := r.addEndpoint(i, zone, true); err != nil {
				return err
			}
		}
	}
	for n := range plan.Nodes {
		if err := r.platform.Agent(n).Listen(r.addr(n, discoveryPort)); err != nil {
			return err
		}
		created, err := newNode(r, n)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, created)
	}
	return nil
}

// addEndpoint puts a new endpoint of a partner into service and adds it to the discovery list. With atOnce all
// nodes learn of it without delay, and it counts as up for long, as at the start of a run.
func (r *run) addEndpoint(partnerNumber, zone int, atOnce bool) error {
	r.mu.Lock()
	endpointNumber := r.endpointsMade
	r.endpointsMade++
	r.mu.Unlock()
	id := fmt.Sprintf("s-%d-%d", partnerNumber, endpointNumber)
	endpoint, err := r.partners[partnerNumber].AddEndpoint(id, zone, func(n int) string { return r.addr(n, linkPort+endpointNumber) })
	if err != nil {
		return err
	}
	r.mu.Lock()
	for n := range r.plan.Nodes {
		endpoint.Link(n).SetConditions(r.linkConditions(n, partnerNumber, zone))
	}
	r.mu.Unlock()
	upSinceMS := int64(0)
	if !atOnce {
		upSinceMS = time.Now().UnixMilli()
	}
	partnerPlan := r.plan.Partners[partnerNumber]
	r.platform.PutMember(standin.Member{
		ID: id, Locality: r.plan.Zones[zone], Flavor: r.plan.PartnerKinds[partnerPlan.Kind], Cell: partnerNumber, Phase: history.Serving, Size: partnerPlan.TotalRate(), UpSince: upSinceMS,
	}, endpoint.Addr, atOnce)
	return nil
}

// startNodes starts the nodes, a limited number at a time, and waits until all of them serve.
func (r *run) startNodes(ctx context.Context) error {
	ctx, cancel := context.WithTimeoutCause(ctx, readyTimeout, fmt.Errorf("nodes not ready within %v", readyTimeout))
	defer cancel()
	var wg sync.WaitGroup
	slots := make(chan struct{}, 4*runtime.NumCPU())
	errs := make([]error, len(r.nodes))
	ready := 0
	var mu sync.Mutex
	for i, n := range r.nodes {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if errs[i] = n.start(); errs[i] == nil {
				errs[i] = n.awaitReady(ctx)
			}
			mu.Lock()
			defer mu.Unlock()
			ready++
			r.progress(Progress{Starting: true, ReadyNodes: ready})
		})
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("start the nodes: %w", err)
	}
	return nil
}

func (r *run) progress(p Progress) {
	if r.opts.Progress != nil {
		r.opts.Progress(p)
	}
}

// reportProgress reports progress every second.
func (r *run) reportProgress(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		up := 0
		for _, n := range r.nodes {
			if n.isUp() {
				up++
			}
		}
		r.progress(Progress{
			Elapsed: r.log.Now(), End: r.plan.EndTime(), Submitted: r.log.CountKind(history.Submitted), Calls: r.log.CountKind(history.CallStarted),
			Notices: r.log.CountKind(history.NoticeReceived), ReadyNodes: up, Lateness: observe.WorstLateness(r.log.Lateness()).P99,
		})
	}
}

// sampleUsage measures what the nodes use, and kills those over their limits, as the platform does.
func (r *run) sampleUsage(ctx context.Context) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		for _, n := range r.nodes {
			n.sampleUsage()
		}
	}
}

func (r *run) recordFailure(action string, err error) {
	if err == nil {
		return
	}
	r.opts.Log.Error("action of the lab failed", "at", r.log.Now(), "action", action, "err", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.labFailures = append(r.labFailures, action+": "+err.Error())
}

// close ends everything that the run has created, in an order in which nothing new can appear.
func (r *run) close() {
	if r.sup != nil {
		for _, n := range r.nodes {
			n.markRunOver()
		}
		r.sup.Close()
	}
	if r.stopWrites != nil {
		r.stopWrites()
	}
	r.wg.Wait()
	r.closeDirectory()
	for _, n := range r.nodes {
		n.waitAndCloseLog()
	}
	for _, p := range r.partners {
		p.Close()
	}
	if r.platform != nil {
		r.platform.Close()
	}
	if r.block != nil {
		r.block.Close()
	}
}

// directorySize returns the size in bytes of the files in a directory, each rounded up to whole blocks of 512
// bytes.
func directorySize(dir string) int64 {
	sum := int64(0)
	filepath.WalkDir(dir, func(_ string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return nil // files may vanish during the walk
		}
		if info, err := d.Info(); err == nil {
			sum += (info.Size() + 511) / 512 * 512
		}
		return nil
	})
	return sum
}

// limitedWriter writes the first bytes to a file and drops everything beyond its limit.
type limitedWriter struct {
	mu        sync.Mutex
	file      *os.File
	remaining int
}

func (b *limitedWriter) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := min(len(p), b.remaining); n > 0 {
		b.remaining -= n
		if _, err := b.file.Write(p[:n]); err != nil {
			b.remaining = 0
		}
	}
	return len(p), nil
}

var _ io.Writer = (*limitedWriter)(nil)
