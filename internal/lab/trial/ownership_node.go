package trial

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/fleet/experiment"
	"starlingusher/fleet/history"
	"starlingusher/fleet/judge"
	"starlingusher/internal/lab/proc"
	"starlingusher/internal/registry"
)

const (
	clientPort  = 6379
	adminPort   = 9100
	frontPort   = 8600
	partnerPort = 9000
	// Third bytes of addresses in the trial's block.
	nodeHost      = 1
	frontHost     = 10 // and so many more as there are replicas
	frontLinkHost = 20 // likewise: where nodes reach their fronts
	partnerHost   = 30

	readyWait         = 30 * time.Second
	stopTimeout       = 10 * time.Second
	messageLifetime   = 2 * time.Second // of a message, and the longest deadline of a class
	clientTimeout     = 3 * time.Second // for an answer
	maxAnswerDelay    = 900 * time.Millisecond
	minAnswerDelay    = 3 * time.Millisecond // of a partner
	classIdempotent   = 0
	classDeduplicated = 1
	classAtMostOnce   = 2
	maxOpenMessages   = 4096 // messages that a node holds at most
)

var classNames = [...]string{classIdempotent: "notice", classDeduplicated: "order", classAtMostOnce: "payout"}

// settingsOf is what the platform tells a node as its settings.
func nodeSettings(node int, zones []string, nodes int) (json.RawMessage, error) {
	class := func(n int, e judge.Effect) experiment.ClassPlan {
		return experiment.ClassPlan{Name: classNames[n], SoftDeadline: time.Second, Deadline: messageLifetime, Worth: 1, WorthAtDeadline: 0.5, Effect: e, Window: time.Minute}
	}
	p := experiment.Plan{
		Zones: zones, PartnerKinds: []string{"hook"}, Tenants: []experiment.TenantPlan{{Name: "m", Share: 1, Allowance: 1e6}},
		Classes: []experiment.ClassPlan{class(classIdempotent, judge.EffectIdempotent), class(classDeduplicated, judge.EffectDeduplicated), class(classAtMostOnce, judge.EffectAtMostOnce)},
		Rules: experiment.RulesPlan{
			MaxAttempts: 6, DrainGrace: time.Second, CollapseMultiple: 1.5, CollapseSpan: 2 * time.Second, SlowStartFrom: 0.3, SlowStartDuration: 2 * time.Second,
			DialTimeout: time.Second, ConnIdleTimeout: 5 * time.Second, MaxRetryAfter: 3 * time.Second,
		},
	}
	for i := range nodes {
		p.Nodes = append(p.Nodes, experiment.NodePlan{Zone: i % len(zones), Slots: 64, MaxOpen: maxOpenMessages})
	}
	return p.Settings(node)
}

// ownedNode is one delivery node: its folder, its fronts, and the process that is it now.
type deliveryNode struct {
	trial   *ownershipTrial
	number  int
	name    string
	folder  string
	logFile *os.File
	fronts  []*front

	mu         sync.Mutex
	running    *proc.Process
	startCount int
}

func (t *ownershipTrial) newNode(number int) (*deliveryNode, error) {
	n := &deliveryNode{trial: t, number: number, name: nodeName(number), folder: filepath.Join(t.options.Dir, nodeName(number))}
	for _, d := range []string{"state", "tmp"} {
		if err := os.MkdirAll(filepath.Join(n.folder, d), 0o700); err != nil {
			return nil, fmt.Errorf("folder of %s: %w", n.name, err)
		}
	}
	var err error
	if n.logFile, err = os.Create(filepath.Join(n.folder, "log")); err != nil {
		return nil, fmt.Errorf("log of %s: %w", n.name, err)
	}
	var addresses []string
	for i, r := range t.replicas {
		reached := fmt.Sprintf("%s:%d", t.block.IP(frontLinkHost+i, number+1), frontPort)
		f, err := openFront(t, number, i, fmt.Sprintf("%s:%d", t.block.IP(frontHost+i, number+1), frontPort), reached, r.AdvertisedAddr(0))
		if err != nil {
			return n, fmt.Errorf("front of %s: %w", n.name, err)
		}
		n.fronts = append(n.fronts, f)
		addresses = append(addresses, strconv.Quote(reached))
	}
	text := fmt.Sprintf("[registry]\naddresses = [%s]\nkeep_kb = 64\n[ownership]\nname = %q\nowners = %d\n", strings.Join(addresses, ", "), n.name, ownersPerPartition)
	if err := os.WriteFile(filepath.Join(n.folder, "fleet.toml"), []byte(text), 0o600); err != nil {
		return n, err
	}
	settings, err := nodeSettings(number, t.zones, nodeCount)
	if err != nil {
		return n, err
	}
	raw, err := json.Marshal(map[string]any{
		"name": n.name, "listen": n.clientAddr(), "discovery": discoveryAddr(n), "seed": fmt.Sprintf("%016x", t.options.Seed+uint64(number)), "settings": settings,
		"known":  catalog.List{Members: []catalog.Endpoint{}},
		"limits": map[string]any{"cores": 1, "memory_mb": 256, "sockets": 512, "disk_mb": 16},
	})
	if err != nil {
		return n, err
	}
	return n, os.WriteFile(filepath.Join(n.folder, "config.json"), raw, 0o600)
}

func nodeName(n int) string { return fmt.Sprint("n", n) }

func discoveryAddr(n *deliveryNode) string { return n.fronts[0].link.Addr() }

func (n *deliveryNode) clientAddr() string {
	return fmt.Sprintf("%s:%d", n.trial.block.IP(nodeHost, n.number+1), clientPort)
}

// admin is the operators' address of the process that was started last; the one before may still have its own.
func (n *deliveryNode) adminAddr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.adminAddrLocked()
}

// adminAt is that; the lock is held.
func (n *deliveryNode) adminAddrLocked() string {
	return fmt.Sprintf("%s:%d", n.trial.block.IP(nodeHost, n.number+1), adminPort+n.startCount)
}

// start starts its process, unless it runs, and returns when it answers.
func (n *deliveryNode) start(ctx context.Context) error {
	n.mu.Lock()
	if n.running == nil || hasExited(n.running) {
		if err := n.launchLocked(); err != nil {
			n.mu.Unlock()
			return err
		}
	}
	n.mu.Unlock()
	return n.awaitServing(ctx)
}

func (n *deliveryNode) awaitServing(ctx context.Context) error {
	p := n.process()
	err := await(ctx, n.name+" in service", func() bool { return hasExited(p) || n.ping() })
	if err == nil && hasExited(p) {
		err = fmt.Errorf("%s ended %v before it was in service", n.name, p.Wait())
	}
	return err
}

// launch starts a process; the lock is held.
func (n *deliveryNode) launchLocked() error {
	n.startCount++
	p, err := n.trial.supervisor.Start(proc.Spec{Name: n.name, Command: n.trial.ownershipOptions.Node, Output: n.logFile, MaxDescriptors: 512, Env: []string{
		"PATH=" + os.Getenv("PATH"), "ROUTER_NAME=" + n.name, "ROUTER_LISTEN=" + n.clientAddr(), "ROUTER_DISCOVERY=" + discoveryAddr(n),
		"ROUTER_STATE=" + filepath.Join(n.folder, "state"), "ROUTER_CONFIG=" + filepath.Join(n.folder, "config.json"), "TMPDIR=" + filepath.Join(n.folder, "tmp"),
		"ROUTER_FLEET=" + filepath.Join(n.folder, "fleet.toml"), "ROUTER_ADMIN_ADDR=" + n.adminAddrLocked(),
	}})
	if err == nil {
		n.running = p
	}
	return err
}

// handOver starts another process, which takes over, and ends the one that was there.
func (n *deliveryNode) handOver(ctx context.Context, after time.Duration) error {
	n.mu.Lock()
	old := n.running
	err := n.launchLocked()
	n.mu.Unlock()
	if err != nil {
		return err
	}
	registry.Sleep(ctx, after)
	if err := old.Terminate(ctx, stopTimeout); err != nil {
		return err
	}
	return n.awaitServing(ctx)
}

func hasExited(p *proc.Process) bool {
	select {
	case <-p.Done():
		return true
	default:
		return false
	}
}

func (n *deliveryNode) process() *proc.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.running
}

// kill ends its process at once.
func (n *deliveryNode) kill() error {
	p := n.process()
	err := p.Signal(syscall.SIGKILL)
	<-p.Done()
	return err
}

func (n *deliveryNode) ping() bool {
	nc, err := net.DialTimeout("tcp", n.clientAddr(), 200*time.Millisecond)
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

// ready asks the operators' address, and tells what it says otherwise.
func (n *deliveryNode) ready(ctx context.Context) (bool, string) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.adminAddr()+"/-/ready", nil)
	if err != nil {
		return false, err.Error()
	}
	resp, err := n.trial.pollClient.Do(req)
	if err != nil {
		return false, err.Error()
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	return err == nil && resp.StatusCode == http.StatusOK, strings.TrimSpace(string(raw))
}

// list is the list that the node keeps in its folder.
func (n *deliveryNode) savedList() (map[string]catalog.Endpoint, error) {
	raw, err := os.ReadFile(filepath.Join(n.folder, "state", "share", "list.json"))
	if err != nil {
		return nil, err
	}
	var l catalog.List
	if err := json.Unmarshal(raw, &l); err != nil {
		return nil, err
	}
	return endpointsByID(l), nil
}

func (n *deliveryNode) close() {
	for _, f := range n.fronts {
		f.close()
	}
	n.logFile.Close()
}

// handIn hands a message in, on a connection of its own, and waits for the answer.
func (n *deliveryNode) submit(id string, class, dest int, left time.Duration) (state string, wait time.Duration, why string) {
	words := fmt.Sprintf("c=%s,t=m,d=%d,dest=%d", classNames[class], left.Milliseconds(), dest)
	if class == classDeduplicated {
		words += ",k=" + id
	}
	nc, err := net.DialTimeout("tcp", n.clientAddr(), time.Second)
	if err != nil {
		return history.Unsent, 0, ""
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(clientTimeout))
	var b strings.Builder
	b.WriteString("*5\r\n")
	for _, w := range []string{"ENQUEUE", strings.Repeat("0", 16), id, words, "x"} {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	if _, err := io.WriteString(nc, b.String()); err != nil {
		return history.ConnectionLost, 0, ""
	}
	line, err := bufio.NewReader(nc).ReadString('\n')
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return history.ClientTimedOut, 0, ""
	case err != nil:
		return history.ConnectionLost, 0, ""
	}
	line = strings.TrimRight(line, "\r\n")
	switch {
	case strings.HasPrefix(line, "+"):
		return history.Taken, 0, ""
	case line == "-BUSY" || strings.HasPrefix(line, "-BUSY "):
		ms, _ := strconv.ParseInt(strings.TrimPrefix(strings.TrimPrefix(line, "-BUSY"), " "), 10, 64) // none told: 0
		return history.Refused, time.Duration(ms) * time.Millisecond, ""
	}
	return history.Failed, 0, strings.TrimPrefix(line, "-ERR ")
}
