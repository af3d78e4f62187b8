// Package lab plays experiments with real processes of the node on this machine: stand-ins for all that a node meets,
// faults between them, and the judge over what was seen.
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
	clientPort   = 6379
	discoverPort = 8500 // and the next ones after moves
	linkPort     = 10000
	readyWithin  = 30 * time.Second
	sampleEvery  = 250 * time.Millisecond
	maxNodes     = 5000 // of one /16 of loopback addresses
)

// Options say how a plan is played.
type Options struct {
	Command []string // one node's process; its environment tells it what it is
	Env     []string // on top of what the protocol names
	// Directory is the command of a directory's replica, to which `--config FILE` is added; by default this program's own.
	DirectoryCommand []string
	Dir              string // an empty folder for the nodes' folders and logs; it stays
	Progress         func(Progress)
	Log              *slog.Logger
}

// Progress is how far a run has come.
type Progress struct {
	Elapsed, End time.Duration
	Submitted    int // messages, each try
	Calls        int
	Notices      int
	ReadyNodes   int           // nodes
	Lateness     time.Duration // 99th percentile so far
	Starting     bool
}

// run is one plan being played.
type run struct {
	plan  *experiment.Plan
	opts  Options
	log   *observe.Log
	sup   *proc.Supervisor
	block *block.Block // of all addresses

	platform *standin.Platform
	clients  *standin.Clients
	partners []*standin.Partner
	nodes    []*node
	replicas []*replica.Replica        // of the directory, if there is one
	windows  []*standin.DirectoryProxy // the nodes' on them
	wg       sync.WaitGroup            // what the timeline has set going

	mu        sync.Mutex
	endpoints int // so many were ever made
	linkFault []*experiment.FaultPlan
	limits    map[int][]float64
	failed    []string // what the lab itself could not do
	moves     int
	endWrites context.CancelFunc // to the directory
}

// Play plays a plan once. The context ends it early, with an error and nothing left behind.
func RunPlan(ctx context.Context, plan experiment.Plan, opts Options) (*Result, error) {
	if len(plan.Nodes) > maxNodes {
		return nil, fmt.Errorf("%d nodes, the lab has addresses for %d", len(plan.Nodes), maxNodes)
	}
	r := &run{plan: &plan, opts: opts, log: observe.NewLog(), limits: map[int][]float64{}}
	if r.opts.Log == nil {
		r.opts.Log = slog.New(slog.DiscardHandler)
	}
	began := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err := r.play(ctx)
	r.close()
	if err != nil {
		return nil, err
	}
	return r.result(began), nil
}

func (r *run) play(ctx context.Context) error {
	var err error
	if r.block, err = block.Reserve(); err != nil {
		return err
	}
	r.sup = proc.NewSupervisor()
	if err := r.build(); err != nil {
		return err
	}
	if err := r.openDirectory(ctx); err != nil {
		return err
	}
	if err := r.startAll(ctx); err != nil {
		return err
	}
	r.log.Start()
	for _, p := range r.partners {
		p.CatchUp()
	}
	r.opts.Log.Info("run begins", "experiment", r.plan.Name, "seed", r.plan.Seed, "nodes", len(r.plan.Nodes), "messages", len(r.plan.Arrivals),
		"partners", len(r.plan.Partners), "faults", len(r.plan.Faults))
	running, stop := context.WithCancel(ctx)
	defer stop()
	var parts sync.WaitGroup
	parts.Go(func() { r.clients.Run(running) })
	parts.Go(func() { r.timeline(running) })
	parts.Go(func() { r.sample(running) })
	parts.Go(func() { r.tell(running) })
	ended := observe.SleepUntil(ctx, r.log.WallTime(r.plan.EndTime()))
	if ended {
		r.log.Add(history.Event{Kind: history.RunEnded, Node: -1, Partner: -1})
	}
	stop()
	parts.Wait()
	if !ended {
		return fmt.Errorf("the run was ended after %v of %v: %w", r.log.Now().Round(time.Millisecond), r.plan.EndTime(), context.Cause(ctx))
	}
	return nil
}

// ip is a node's own address: whatever it meets, it reaches there.
func (r *run) ip(node int) string { return r.block.IP(node/200, node%200+1) }

func (r *run) addr(node, port int) string { return net.JoinHostPort(r.ip(node), strconv.Itoa(port)) }

// build makes the stand-ins and the nodes' folders.
func (r *run) build() error {
	p := r.plan
	r.platform = standin.NewPlatform(len(p.Nodes), p.DiscoveryDelay.Low, p.DiscoveryDelay.High, p.Seed, r.log,
		func(node int, id, state string, after time.Duration) { r.clients.HandleNotice(node, id, state, after) })
	r.clients = standin.NewClients(p, func(n int) string { return r.addr(n, clientPort) }, func(n int) bool { return r.nodes[n].up() }, r.log)
	for i, q := range p.Partners {
		one := standin.NewPartner(i, q.Config, q.Seed, len(p.Nodes), p.Rules.ConnIdleTimeout, r.log, r.clients.RecordReached)
		r.partners = append(r.partners, one)
		for _, zone := range q.Zones {
			if err := r.addEndpoint(i, zone, true); err != nil {
				return err
			}
		}
	}
	for n := range p.Nodes {
		if err := r.platform.Agent(n).Listen(r.addr(n, discoverPort)); err != nil {
			return err
		}
		one, err := newNode(r, n)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, one)
	}
	return nil
}

// addEndpoint brings a new endpoint of a partner into service and into discovery's list.
func (r *run) addEndpoint(number, zone int, atOnce bool) error {
	r.mu.Lock()
	e := r.endpoints
	r.endpoints++
	r.mu.Unlock()
	id := fmt.Sprintf("s-%d-%d", number, e)
	one, err := r.partners[number].AddEndpoint(id, zone, func(n int) string { return r.addr(n, linkPort+e) })
	if err != nil {
		return err
	}
	r.mu.Lock()
	for n := range r.plan.Nodes {
		one.Link(n).SetConditions(r.weather(n, number, zone))
	}
	r.mu.Unlock()
	up := int64(0)
	if !atOnce {
		up = time.Now().UnixMilli()
	}
	q := r.plan.Partners[number]
	r.platform.PutMember(standin.Member{
		ID: id, Locality: r.plan.Zones[zone], Flavor: r.plan.PartnerKinds[q.Kind], Cell: number, Phase: history.Serving, Size: q.TotalRate(), UpSince: up,
	}, one.Addr, atOnce)
	return nil
}

// startAll starts the nodes, some at a time, and waits until they serve.
func (r *run) startAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeoutCause(ctx, readyWithin, fmt.Errorf("the nodes were not ready within %v", readyWithin))
	defer cancel()
	var wg sync.WaitGroup
	room := make(chan struct{}, 4*runtime.NumCPU())
	errs := make([]error, len(r.nodes))
	ready := 0
	var mu sync.Mutex
	for i, n := range r.nodes {
		wg.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
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
		return fmt.Errorf("the fleet did not start: %w", err)
	}
	return nil
}

func (r *run) progress(p Progress) {
	if r.opts.Progress != nil {
		r.opts.Progress(p)
	}
}

// tell reports progress each second.
func (r *run) tell(ctx context.Context) {
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
			if n.up() {
				up++
			}
		}
		r.progress(Progress{
			Elapsed: r.log.Now(), End: r.plan.EndTime(), Submitted: r.log.CountKind(history.Submitted), Calls: r.log.CountKind(history.CallStarted),
			Notices: r.log.CountKind(history.NoticeReceived), ReadyNodes: up, Lateness: observe.WorstLateness(r.log.Lateness()).P99,
		})
	}
}

// sample looks at what the nodes use, and ends those that use too much, as the platform does.
func (r *run) sample(ctx context.Context) {
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		for _, n := range r.nodes {
			n.sample()
		}
	}
}

func (r *run) fail(what string, err error) {
	if err == nil {
		return
	}
	r.opts.Log.Error("the lab failed", "at", r.log.Now(), "what", what, "err", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = append(r.failed, what+": "+err.Error())
}

// close ends all that the run has made, in an order in which nothing new appears.
func (r *run) close() {
	if r.sup != nil {
		for _, n := range r.nodes {
			n.abandon()
		}
		r.sup.Close()
	}
	if r.endWrites != nil {
		r.endWrites()
	}
	r.wg.Wait()
	r.closeDirectory()
	for _, n := range r.nodes {
		n.wait()
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

// folderSize is what a folder holds, each file in whole blocks of 512 bytes.
func folderSize(dir string) int64 {
	sum := int64(0)
	filepath.WalkDir(dir, func(_ string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return nil // it may go while we look
		}
		if info, err := d.Info(); err == nil {
			sum += (info.Size() + 511) / 512 * 512
		}
		return nil
	})
	return sum
}

// bounded keeps the first bytes that are written to it in a file, and no more than its bound.
type bounded struct {
	mu   sync.Mutex
	f    *os.File
	left int
}

func (b *bounded) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := min(len(p), b.left); n > 0 {
		b.left -= n
		if _, err := b.f.Write(p[:n]); err != nil {
			b.left = 0
		}
	}
	return len(p), nil
}

var _ io.Writer = (*bounded)(nil)
