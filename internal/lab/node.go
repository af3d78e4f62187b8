package lab

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"starlingusher/fleet/history"
	"starlingusher/internal/lab/observe"
	"starlingusher/internal/lab/proc"
)

const (
	maxNodeLogBytes   = 8 << 20
	readyPollInterval = 5 * time.Millisecond
	termGrace         = 3700 * time.Millisecond
	restartPause      = 600 * time.Millisecond
)

// node is one delivery node: its directory and its current process.
type node struct {
	run     *run
	number  int
	dir     string
	log     *limitedWriter
	machine *machine
	wg      sync.WaitGroup

	mu               sync.Mutex
	process          *proc.Process
	exitRequested    bool // the lab has sent a signal that ends the process
	ready            bool
	runOver          bool // no process is started any more
	diskIsFull       bool // its disk is full
	activeDownFaults int  // faults that currently keep it down
	paused           bool // by SIGSTOP
	usage            ProcessUsage
}

// ProcessUsage holds the resources that a node's processes have used.
type ProcessUsage struct {
	Node        string        `json:"node"`
	Starts      int           `json:"starts"`
	CPU         time.Duration `json:"cpu"`
	RSS         int64         `json:"rss_max"` // bytes
	Descriptors int           `json:"descriptors_max"`
	Disk        int64         `json:"disk_max"` // bytes
}

func newNode(r *run, number int) (*node, error) {
	n := &node{run: r, number: number, dir: filepath.Join(r.opts.Dir, r.plan.Nodes[number].Name), usage: ProcessUsage{Node: r.plan.Nodes[number].Name}}
	for _, d := range []string{"state", "tmp"} {
		if err := os.MkdirAll(filepath.Join(n.dir, d), 0o700); err != nil {
			return nil, fmt.Errorf("create directory of %s: %w", n.name(), err)
		}
	}
	f, err := os.Create(filepath.Join(n.dir, "log"))
	if err != nil {
		return nil, fmt.Errorf("create log of %s: %w", n.name(), err)
	}
	n.log = &limitedWriter{file: f, remaining: maxNodeLogBytes}
	n.machine, err = r.newMachine(number, n.dir)
	return n, err
}

func (n *node) name() string { return n.run.plan.Nodes[n.number].Name }

func (n *node) recordEvent(kind history.Kind, state, note string) {
	n.run.log.Add(history.Event{Kind: kind, Node: n.number, Partner: -1, State: state, Note: note})
}

// writeConfig writes the platform's configuration file atomically.
func (n *node) writeConfig() error {
	p := n.run.plan.Nodes[n.number]
	settings, err := n.run.plan.Settings(n.number)
	if err != nil {
		return err
	}
	agent := n.run.platform.Agent(n.number)
	raw, err := json.Marshal(map[string]any{
		"name": p.Name, "listen": n.run.addr(n.number, clientPort), "discovery": agent.Addr(),
		"seed": fmt.Sprintf("%016x", p.Seed+uint64(n.usage.Starts)), "known": agent.FullList(), "settings": settings,
		"limits": map[string]any{"cores": p.Cores, "memory_mb": p.MemoryMB, "sockets": p.Sockets, "disk_mb": p.DiskMB},
	})
	if err != nil {
		return fmt.Errorf("write configuration of %s: %w", n.name(), err)
	}
	path := filepath.Join(n.dir, "config.json")
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return fmt.Errorf("write configuration of %s: %w", n.name(), err)
	}
	return os.Rename(path+".new", path)
}

// start starts the node's process.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.runOver || n.activeDownFaults > 0 || n.isRunning() {
		return nil // another fault keeps it down, or has already started it
	}
	if err := n.writeConfig(); err != nil {
		return err
	}
	p := n.run.plan.Nodes[n.number]
	env := append([]string{
		"PATH=" + os.Getenv("PATH"), "ROUTER_NAME=" + p.Name, "ROUTER_LISTEN=" + n.run.addr(n.number, clientPort),
		"ROUTER_DISCOVERY=" + n.run.platform.Agent(n.number).Addr(), "ROUTER_STATE=" + filepath.Join(n.dir, "state"),
		"ROUTER_CONFIG=" + filepath.Join(n.dir, "config.json"), "TMPDIR=" + filepath.Join(n.dir, "tmp"),
	}, n.run.opts.Env...)
	if len(n.run.replicas) > 0 {
		env = append(env, "ROUTER_FLEET="+filepath.Join(n.dir, "fleet.toml"))
	}
	command, env, socket, injector, err := n.machine.prepare(n.run.opts.Command, env)
	if err != nil {
		return err
	}
	spec := proc.Spec{Name: p.Name, Command: command, Env: env, Output: n.log, MaxDescriptors: p.Sockets, DiskFull: n.diskIsFull}
	if injector != nil {
		defer socket.Close()
		spec.ExtraFiles = []*os.File{socket}
	}
	process, err := n.run.sup.Start(spec)
	if err != nil {
		return err
	}
	if injector != nil {
		injector.Run()
		n.wg.Go(func() {
			process.Wait()
			injector.Close()
		})
	}
	n.process, n.exitRequested, n.ready = process, false, false
	n.usage.Starts++
	n.recordEvent(history.Started, "", strconv.Itoa(process.PID()))
	n.wg.Go(func() { n.recordExit(process) })
	return nil
}

// isRunning reports whether the process has not exited. The caller holds the lock.
func (n *node) isRunning() bool {
	if n.process == nil {
		return false
	}
	select {
	case <-n.process.Done():
		return false
	default:
		return true
	}
}

// recordExit waits for the end of a process and records it.
func (n *node) recordExit(p *proc.Process) {
	exit := p.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.usage.CPU += exit.CPU
	n.usage.RSS = max(n.usage.RSS, exit.MaxRSS)
	if n.process == p {
		n.ready = false
	}
	if n.runOver {
		return
	}
	state := history.ExitRequested
	if !n.exitRequested {
		state = history.Crashed
	}
	n.recordEvent(history.Exited, state, exit.String())
}

// awaitReady waits until the node answers PING.
func (n *node) awaitReady(ctx context.Context) error {
	n.mu.Lock()
	p := n.process
	n.mu.Unlock()
	if p == nil {
		return errors.New(n.name() + " was never started")
	}
	for {
		if n.answersPing() {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.process == p && !n.runOver {
				n.ready = true
				n.recordEvent(history.Ready, "", "")
			}
			return nil
		}
		t := time.NewTimer(readyPollInterval)
		select {
		case <-t.C:
		case <-p.Done():
			t.Stop()
			return fmt.Errorf("%s ended %v before it was ready; see its log %s", n.name(), p.Wait(), n.log.file.Name())
		case <-ctx.Done():
			t.Stop()
			return fmt.Errorf("%s: %w", n.name(), context.Cause(ctx))
		}
	}
}

func (n *node) answersPing() bool {
	nc, err := net.DialTimeout("tcp", n.run.addr(n.number, clientPort), 100*time.Millisecond)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(nc, "*1\r\n$4\r\nPING\r\n"); err != nil {
		return false
	}
	line, err := bufio.NewReader(nc).ReadString('\n')
	return err == nil && line == "+PONG\r\n"
}

func (n *node) isUp() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ready && !n.exitRequested && !n.paused
}

// signal sends a signal to the current process and records it.
func (n *node) signal(sig syscall.Signal, kind history.Kind) (*proc.Process, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || n.runOver {
		return nil, nil
	}
	if kind == history.TermSent || kind == history.Killed {
		n.exitRequested = true
	}
	n.paused = kind == history.Stopped
	n.recordEvent(kind, "", "")
	return n.process, n.process.Signal(sig)
}

// startAfterKill ends the effect of kill.
func (n *node) startAfterKill(ctx context.Context) error {
	n.mu.Lock()
	n.activeDownFaults--
	n.mu.Unlock()
	return n.startAndAwaitReady(ctx)
}

// kill kills the process, removes its state directory if required, and keeps the node down until
// startAfterKill.
func (n *node) kill(loseState bool) error {
	n.mu.Lock()
	n.activeDownFaults++
	n.mu.Unlock()
	p, err := n.signal(syscall.SIGKILL, history.Killed)
	if err != nil || p == nil {
		return err
	}
	<-p.Done()
	if !loseState {
		return nil
	}
	n.recordEvent(history.StateLost, "", "")
	state := filepath.Join(n.dir, "state")
	if err := os.RemoveAll(state); err != nil {
		return err
	}
	n.run.clients.HandleStateLoss(n.number)
	return os.Mkdir(state, 0o700)
}

// startAndAwaitReady starts the node and waits until it serves. A node that does not become ready is recorded
// as a limit exceeded.
func (n *node) startAndAwaitReady(ctx context.Context) error {
	if err := n.start(); err != nil {
		return err
	}
	n.mu.Lock()
	mustWait := n.isRunning() && !n.ready
	n.mu.Unlock()
	if !mustWait {
		return nil
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := n.awaitReady(readyCtx); err != nil && ctx.Err() == nil {
		n.recordEvent(history.LimitExceeded, "", fmt.Sprintf("it was not ready within %v: %v", readyTimeout, err))
	}
	return nil
}

// restart ends the process as the platform does in a planned restart, and starts it again. In a series more
// signals follow the first.
func (n *node) restart(ctx context.Context, series bool) error {
	p, err := n.signal(syscall.SIGTERM, history.TermSent)
	if err != nil || p == nil {
		return err
	}
	if series {
		n.run.wg.Go(func() { n.run.recordFailure("signals to "+n.name(), n.sendSignals(p)) })
	}
	t := time.NewTimer(termGrace)
	defer t.Stop()
	select {
	case <-p.Done():
	case <-t.C:
		if _, err := n.signal(syscall.SIGKILL, history.Killed); err != nil {
			return err
		}
		<-p.Done()
	case <-ctx.Done():
		return nil
	}
	if !observe.SleepUntil(ctx, time.Now().Add(restartPause)) {
		return nil
	}
	return n.startAndAwaitReady(ctx)
}

// moveAgent moves the node's agent to another address and tells the node by SIGHUP.
func (n *node) moveAgent(port int) error {
	if err := n.run.platform.Agent(n.number).Listen(n.run.addr(n.number, port)); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.writeConfig(); err != nil {
		return err
	}
	if n.process == nil || !n.ready || n.exitRequested {
		return nil // it reads the file when it starts
	}
	return n.process.Signal(syscall.SIGHUP)
}

// setDiskFull fills the node's disk, or makes room again.
func (n *node) setDiskFull(on bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.diskIsFull = on
	if n.runOver || !n.isRunning() {
		return nil // the limit applies from its next start on
	}
	return n.process.SetDiskFull(on)
}

// sampleUsage measures what the process uses, and kills it if it is over a limit.
func (n *node) sampleUsage() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || n.runOver {
		return
	}
	p := n.run.plan.Nodes[n.number]
	disk := directorySize(filepath.Join(n.dir, "state"))
	exceeded := ""
	if n.usage.Disk = max(n.usage.Disk, disk); float64(disk) > p.DiskMB*(1<<20) {
		exceeded = fmt.Sprintf("its state directory holds %d bytes, %v MB are allowed", disk, p.DiskMB)
	}
	if u, err := n.process.Usage(); err == nil {
		n.usage.RSS, n.usage.Descriptors = max(n.usage.RSS, u.RSS), max(n.usage.Descriptors, u.Descriptors)
		if u.RSS > int64(p.MemoryMB)<<20 {
			exceeded = fmt.Sprintf("it uses %d bytes of memory, %d MB are allowed", u.RSS, p.MemoryMB)
		}
	}
	if exceeded != "" && !n.exitRequested {
		n.exitRequested = true
		n.recordEvent(history.LimitExceeded, "", exceeded)
		n.process.Signal(syscall.SIGKILL)
	}
}

// markRunOver marks the run as over: exits are no longer recorded, and nothing is started any more.
func (n *node) markRunOver() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.runOver = true
}

// waitAndCloseLog returns when all goroutines of the node have ended.
func (n *node) waitAndCloseLog() {
	n.wg.Wait()
	n.log.file.Close()
}
