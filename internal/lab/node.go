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
	maxNodeLog   = 8 << 20
	readyPoll    = 5 * time.Millisecond
	termGrace    = 3700 * time.Millisecond
	restartPause = 600 * time.Millisecond
)

// node is one delivery node: its folders, and the process that is it now.
type node struct {
	r      *run
	number int
	dir    string
	out    *bounded
	wg     sync.WaitGroup

	mu     sync.Mutex
	p      *proc.Process
	asked  bool // its end was asked for
	ready  bool
	over   bool // the run is; nothing is started any more
	full   bool // its disk
	down   int  // faults that keep it down
	paused bool // by SIGSTOP
	use    ProcessUsage
}

// ProcessUse is what a node's processes have used.
type ProcessUsage struct {
	Node        string        `json:"node"`
	Starts      int           `json:"starts"`
	CPU         time.Duration `json:"cpu"`
	RSS         int64         `json:"rss_max"` // bytes
	Descriptors int           `json:"descriptors_max"`
	Disk        int64         `json:"disk_max"` // bytes
}

func newNode(r *run, number int) (*node, error) {
	n := &node{r: r, number: number, dir: filepath.Join(r.opts.Dir, r.plan.Nodes[number].Name), use: ProcessUsage{Node: r.plan.Nodes[number].Name}}
	for _, d := range []string{"state", "tmp"} {
		if err := os.MkdirAll(filepath.Join(n.dir, d), 0o700); err != nil {
			return nil, fmt.Errorf("folder of %s: %w", n.name(), err)
		}
	}
	f, err := os.Create(filepath.Join(n.dir, "log"))
	if err != nil {
		return nil, fmt.Errorf("log of %s: %w", n.name(), err)
	}
	n.out = &bounded{f: f, left: maxNodeLog}
	return n, nil
}

func (n *node) name() string { return n.r.plan.Nodes[n.number].Name }

func (n *node) event(k history.Kind, state, note string) {
	n.r.log.Add(history.Event{Kind: k, Node: n.number, Partner: -1, State: state, Note: note})
}

// config writes the platform's configuration file, whole or not at all.
func (n *node) config() error {
	p := n.r.plan.Nodes[n.number]
	settings, err := n.r.plan.Settings(n.number)
	if err != nil {
		return err
	}
	agent := n.r.platform.Agent(n.number)
	raw, err := json.Marshal(map[string]any{
		"name": p.Name, "listen": n.r.addr(n.number, clientPort), "discovery": agent.Addr(),
		"seed": fmt.Sprintf("%016x", p.Seed+uint64(n.use.Starts)), "known": agent.FullList(), "settings": settings,
		"limits": map[string]any{"cores": p.Cores, "memory_mb": p.MemoryMB, "sockets": p.Sockets, "disk_mb": p.DiskMB},
	})
	if err != nil {
		return fmt.Errorf("configuration of %s: %w", n.name(), err)
	}
	path := filepath.Join(n.dir, "config.json")
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return fmt.Errorf("configuration of %s: %w", n.name(), err)
	}
	return os.Rename(path+".new", path)
}

// start starts the node's process.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.over || n.down > 0 || n.running() {
		return nil // another fault keeps it down, or has started it
	}
	if err := n.config(); err != nil {
		return err
	}
	p := n.r.plan.Nodes[n.number]
	env := append([]string{
		"PATH=" + os.Getenv("PATH"), "ROUTER_NAME=" + p.Name, "ROUTER_LISTEN=" + n.r.addr(n.number, clientPort),
		"ROUTER_DISCOVERY=" + n.r.platform.Agent(n.number).Addr(), "ROUTER_STATE=" + filepath.Join(n.dir, "state"),
		"ROUTER_CONFIG=" + filepath.Join(n.dir, "config.json"), "TMPDIR=" + filepath.Join(n.dir, "tmp"),
	}, n.r.opts.Env...)
	if len(n.r.replicas) > 0 {
		env = append(env, "ROUTER_FLEET="+filepath.Join(n.dir, "fleet.toml"))
	}
	process, err := n.r.sup.Start(proc.Spec{
		Name: p.Name, Command: n.r.opts.Command, Env: env, Output: n.out, MaxDescriptors: p.Sockets, DiskFull: n.full,
	})
	if err != nil {
		return err
	}
	n.p, n.asked, n.ready = process, false, false
	n.use.Starts++
	n.event(history.Started, "", strconv.Itoa(process.PID()))
	n.wg.Go(func() { n.follow(process) })
	return nil
}

// running tells that its process has not ended; the lock is held.
func (n *node) running() bool {
	if n.p == nil {
		return false
	}
	select {
	case <-n.p.Done():
		return false
	default:
		return true
	}
}

// follow notes the end of a process.
func (n *node) follow(p *proc.Process) {
	exit := p.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.use.CPU += exit.CPU
	n.use.RSS = max(n.use.RSS, exit.MaxRSS)
	if n.p == p {
		n.ready = false
	}
	if n.over {
		return
	}
	state := history.ExitRequested
	if !n.asked {
		state = history.Crashed
	}
	n.event(history.Exited, state, exit.String())
}

// awaitReady waits until the node answers PING.
func (n *node) awaitReady(ctx context.Context) error {
	n.mu.Lock()
	p := n.p
	n.mu.Unlock()
	if p == nil {
		return errors.New(n.name() + " was never started")
	}
	for {
		if n.ping() {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.p == p && !n.over {
				n.ready = true
				n.event(history.Ready, "", "")
			}
			return nil
		}
		t := time.NewTimer(readyPoll)
		select {
		case <-t.C:
		case <-p.Done():
			t.Stop()
			return fmt.Errorf("%s ended %v before it was ready; its log is %s", n.name(), p.Wait(), n.out.f.Name())
		case <-ctx.Done():
			t.Stop()
			return fmt.Errorf("%s: %w", n.name(), context.Cause(ctx))
		}
	}
}

func (n *node) ping() bool {
	nc, err := net.DialTimeout("tcp", n.r.addr(n.number, clientPort), 100*time.Millisecond)
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

func (n *node) up() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ready && !n.asked && !n.paused
}

// signal sends a signal to the present process, and notes it.
func (n *node) signal(sig syscall.Signal, kind history.Kind) (*proc.Process, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.p == nil || n.over {
		return nil, nil
	}
	if kind == history.TermSent || kind == history.Killed {
		n.asked = true
	}
	n.paused = kind == history.Stopped
	n.event(kind, "", "")
	return n.p, n.p.Signal(sig)
}

// revive ends what kill began.
func (n *node) revive(ctx context.Context) error {
	n.mu.Lock()
	n.down--
	n.mu.Unlock()
	return n.again(ctx)
}

// kill ends the process at once, loses its folder if it has to, and keeps the node down until revive.
func (n *node) kill(lose bool) error {
	n.mu.Lock()
	n.down++
	n.mu.Unlock()
	p, err := n.signal(syscall.SIGKILL, history.Killed)
	if err != nil || p == nil {
		return err
	}
	<-p.Done()
	if !lose {
		return nil
	}
	n.event(history.StateLost, "", "")
	state := filepath.Join(n.dir, "state")
	if err := os.RemoveAll(state); err != nil {
		return err
	}
	n.r.clients.HandleStateLoss(n.number)
	return os.Mkdir(state, 0o700)
}

// again starts the node and waits until it serves. One that does not is noted as such.
func (n *node) again(ctx context.Context) error {
	if err := n.start(); err != nil {
		return err
	}
	n.mu.Lock()
	waits := n.running() && !n.ready
	n.mu.Unlock()
	if !waits {
		return nil
	}
	wait, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	if err := n.awaitReady(wait); err != nil && ctx.Err() == nil {
		n.event(history.LimitExceeded, "", fmt.Sprintf("it was not ready within %v: %v", readyWithin, err))
	}
	return nil
}

// restart ends the process as the platform does in a planned restart, and starts it again.
func (n *node) restart(ctx context.Context) error {
	p, err := n.signal(syscall.SIGTERM, history.TermSent)
	if err != nil || p == nil {
		return err
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
	return n.again(ctx)
}

// move lets the agent go to another address and tells the node so.
func (n *node) move(port int) error {
	if err := n.r.platform.Agent(n.number).Listen(n.r.addr(n.number, port)); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.config(); err != nil {
		return err
	}
	if n.p == nil || !n.ready || n.asked {
		return nil // it reads the file when it starts
	}
	return n.p.Signal(syscall.SIGHUP)
}

// diskFull fills the node's disk, or makes room again.
func (n *node) diskFull(on bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.full = on
	if n.over || !n.running() {
		return nil // it has the limit from its next start on
	}
	return n.p.SetDiskFull(on)
}

// sample looks at what the process uses.
func (n *node) sample() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.p == nil || n.over {
		return
	}
	p := n.r.plan.Nodes[n.number]
	disk := folderSize(filepath.Join(n.dir, "state"))
	over := ""
	if n.use.Disk = max(n.use.Disk, disk); float64(disk) > p.DiskMB*(1<<20) {
		over = fmt.Sprintf("its lasting folder holds %d bytes, %v MB are allowed", disk, p.DiskMB)
	}
	if u, err := n.p.Usage(); err == nil {
		n.use.RSS, n.use.Descriptors = max(n.use.RSS, u.RSS), max(n.use.Descriptors, u.Descriptors)
		if u.RSS > int64(p.MemoryMB)<<20 {
			over = fmt.Sprintf("it holds %d bytes of memory, %d MB are allowed", u.RSS, p.MemoryMB)
		}
	}
	if over != "" && !n.asked {
		n.asked = true
		n.event(history.LimitExceeded, "", over)
		n.p.Signal(syscall.SIGKILL)
	}
}

// abandon says that the run is over: what ends now ends with it.
func (n *node) abandon() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.over = true
}

// wait returns when nothing of the node is left.
func (n *node) wait() {
	n.wg.Wait()
	n.out.f.Close()
}
