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
	"starlingusher/internal/sysretry"
)

const (
	clientPort  = 6379
	adminPort   = 9100
	frontPort   = 8600
	partnerPort = 9000
	// Third bytes of the addresses in the trial's block.
	nodeHost      = 1
	frontHost     = 10 // the first of replicaCount
	frontLinkHost = 20 // the first of replicaCount; where nodes reach their fronts
	partnerHost   = 30

	readyTimeout      = 30 * time.Second
	stopTimeout       = 10 * time.Second
	messageLifetime   = 2 * time.Second // also the longest deadline of a class
	clientTimeout     = 3 * time.Second // for an answer to a submission
	maxAnswerDelay    = 900 * time.Millisecond
	minAnswerDelay    = 3 * time.Millisecond // of a partner
	classIdempotent   = 0
	classDeduplicated = 1
	classAtMostOnce   = 2
	maxOpenMessages   = 4096 // high enough that a node never refuses a message because it holds too many
)

var classNames = [...]string{classIdempotent: "notice", classDeduplicated: "order", classAtMostOnce: "payout"}

// nodeSettings returns the settings that a node gets from the platform.
func nodeSettings(node int, zones []string, nodes int) (json.RawMessage, error) {
	class := func(n int, effect judge.Effect) experiment.ClassPlan {
		return experiment.ClassPlan{Name: classNames[n], SoftDeadline: time.Second, Deadline: messageLifetime, Worth: 1,
			WorthAtDeadline: 0.5, Effect: effect, Window: time.Minute}
	}
	plan := experiment.Plan{
		Zones: zones, PartnerKinds: []string{"hook"}, Tenants: []experiment.TenantPlan{{Name: "m", Share: 1, Allowance: 1e6}},
		Classes: []experiment.ClassPlan{class(classIdempotent, judge.EffectIdempotent),
			class(classDeduplicated, judge.EffectDeduplicated), class(classAtMostOnce, judge.EffectAtMostOnce)},
		Rules: experiment.RulesPlan{
			MaxAttempts: 6, DrainGrace: time.Second, CollapseMultiple: 1.5, CollapseSpan: 2 * time.Second, SlowStartFrom: 0.3,
			SlowStartDuration: 2 * time.Second,
			DialTimeout:       time.Second, ConnIdleTimeout: 5 * time.Second, MaxRetryAfter: 3 * time.Second,
		},
	}
	for i := range nodes {
		plan.Nodes = append(plan.Nodes, experiment.NodePlan{Zone: i % len(zones), Slots: 64, MaxOpen: maxOpenMessages})
	}
	return plan.Settings(node)
}

// deliveryNode is one delivery node: its folder, its fronts, and its present process.
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
	for _, folder := range []string{"state", "tmp"} {
		if err := os.MkdirAll(filepath.Join(n.folder, folder), 0o700); err != nil {
			return nil, fmt.Errorf("create the folder of %s: %w", n.name, err)
		}
	}
	var err error
	if n.logFile, err = os.Create(filepath.Join(n.folder, "log")); err != nil {
		return nil, fmt.Errorf("create the log of %s: %w", n.name, err)
	}
	var addresses []string
	for i, replica := range t.replicas {
		linkAddr := fmt.Sprintf("%s:%d", t.block.IP(frontLinkHost+i, number+1), frontPort)
		front, err := openFront(t, number, i, fmt.Sprintf("%s:%d", t.block.IP(frontHost+i, number+1), frontPort), linkAddr,
			replica.AdvertisedAddr(0))
		if err != nil {
			return n, fmt.Errorf("open a front of %s: %w", n.name, err)
		}
		n.fronts = append(n.fronts, front)
		addresses = append(addresses, strconv.Quote(linkAddr))
	}
	fleetConfig := fmt.Sprintf("[registry]\naddresses = [%s]\nkeep_kb = 64\n[ownership]\nname = %q\nowners = %d\n",
		strings.Join(addresses, ", "), n.name, ownersPerPartition)
	if err := os.WriteFile(filepath.Join(n.folder, "fleet.toml"), []byte(fleetConfig), 0o600); err != nil {
		return n, err
	}
	settings, err := nodeSettings(number, t.zones, nodeCount)
	if err != nil {
		return n, err
	}
	raw, err := json.Marshal(map[string]any{
		"name": n.name, "listen": n.clientAddr(), "discovery": discoveryAddr(n),
		"seed": fmt.Sprintf("%016x", t.options.Seed+uint64(number)), "settings": settings,
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

// adminAddr returns the operators' address of the process that was started last; during a handover the one
// before has another.
func (n *deliveryNode) adminAddr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.adminAddrLocked()
}

// adminAddrLocked is adminAddr for callers that hold mu.
func (n *deliveryNode) adminAddrLocked() string {
	return fmt.Sprintf("%s:%d", n.trial.block.IP(nodeHost, n.number+1), adminPort+n.startCount)
}

// start starts the node's process unless it runs, and returns when it answers a ping.
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
	process := n.process()
	err := await(ctx, n.name+" to answer a ping", func() bool { return hasExited(process) || n.ping() })
	if err == nil && hasExited(process) {
		err = fmt.Errorf("%s exited (%v) before it answered a ping", n.name, process.Wait())
	}
	return err
}

// launchLocked starts a process; the caller holds mu.
func (n *deliveryNode) launchLocked() error {
	n.startCount++
	process, err := n.trial.supervisor.Start(proc.Spec{Name: n.name, Command: n.trial.ownershipOptions.Node, Output: n.logFile,
		MaxDescriptors: 512, Env: []string{
			"PATH=" + os.Getenv("PATH"), "ROUTER_NAME=" + n.name, "ROUTER_LISTEN=" + n.clientAddr(),
			"ROUTER_DISCOVERY=" + discoveryAddr(n),
			"ROUTER_STATE=" + filepath.Join(n.folder, "state"), "ROUTER_CONFIG=" + filepath.Join(n.folder, "config.json"),
			"TMPDIR=" + filepath.Join(n.folder, "tmp"),
			"ROUTER_FLEET=" + filepath.Join(n.folder, "fleet.toml"), "ROUTER_ADMIN_ADDR=" + n.adminAddrLocked(),
		}})
	if err == nil {
		n.running = process
	}
	return err
}

// handOver starts a second process, which takes over, and ends the first one after a delay.
func (n *deliveryNode) handOver(ctx context.Context, delay time.Duration) error {
	n.mu.Lock()
	old := n.running
	err := n.launchLocked()
	n.mu.Unlock()
	if err != nil {
		return err
	}
	sysretry.Sleep(ctx, delay)
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

// kill kills the node's process and waits until it has exited.
func (n *deliveryNode) kill() error {
	p := n.process()
	err := p.Signal(syscall.SIGKILL)
	<-p.Done()
	return err
}

func (n *deliveryNode) ping() bool {
	conn, err := net.DialTimeout("tcp", n.clientAddr(), 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(conn, "*1\r\n$4\r\nPING\r\n"); err != nil {
		return false
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && line == "+PONG\r\n"
}

// ready tells whether the operators' address reports the node as ready, and what it answers.
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

// savedList returns the list that the node stores in its folder.
func (n *deliveryNode) savedList() (map[string]catalog.Endpoint, error) {
	raw, err := os.ReadFile(filepath.Join(n.folder, "state", "share", "list.json"))
	if err != nil {
		return nil, err
	}
	var list catalog.List
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, err
	}
	return endpointsByID(list), nil
}

func (n *deliveryNode) close() {
	for _, f := range n.fronts {
		f.close()
	}
	n.logFile.Close()
}

// submit submits a message on a connection of its own and waits for the answer.
func (n *deliveryNode) submit(id string, class, destination int, timeLeft time.Duration) (state string, wait time.Duration, why string) {
	attributes := fmt.Sprintf("c=%s,t=m,d=%d,dest=%d", classNames[class], timeLeft.Milliseconds(), destination)
	if class == classDeduplicated {
		attributes += ",k=" + id
	}
	conn, err := net.DialTimeout("tcp", n.clientAddr(), time.Second)
	if err != nil {
		return history.Unsent, 0, ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(clientTimeout))
	var request strings.Builder
	request.WriteString("*5\r\n")
	for _, word := range []string{"ENQUEUE", strings.Repeat("0", 16), id, attributes, "x"} {
		fmt.Fprintf(&request, "$%d\r\n%s\r\n", len(word), word)
	}
	if _, err := io.WriteString(conn, request.String()); err != nil {
		return history.ConnectionLost, 0, ""
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
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
		ms, _ := strconv.ParseInt(strings.TrimPrefix(strings.TrimPrefix(line, "-BUSY"), " "), 10, 64) // 0 if the node tells no time
		return history.Refused, time.Duration(ms) * time.Millisecond, ""
	}
	return history.Failed, 0, strings.TrimPrefix(line, "-ERR ")
}
