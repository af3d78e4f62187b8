package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Node is a delivery node: its folders, its configuration and its processes.
type Node struct {
	record      *Record
	dir         string
	Addr        string // for clients
	MemoryMB    int
	DiskMB      float64
	Sockets     int
	MaxOpen     int
	Slots       int
	ExtraEnv    []string
	initialList List
}

// NewNode makes the folders of a node below dir. The initial list is what the configuration tells as known.
func NewNode(record *Record, dir string, initialList List) (*Node, error) {
	n := &Node{record: record, dir: dir, MemoryMB: 64, DiskMB: 3, Sockets: 384, MaxOpen: 60, Slots: 13, initialList: initialList}
	for _, name := range []string{"state", "tmp"} {
		if err := os.MkdirAll(filepath.Join(dir, name), 0o700); err != nil {
			return nil, err
		}
	}
	var err error
	n.Addr, err = FreeAddr()
	return n, err
}

// StateDir is the folder that lasts.
func (n *Node) StateDir() string { return filepath.Join(n.dir, "state") }

// FreeAddr returns a loopback address whose port is free.
func FreeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// WriteConfig writes the configuration file, which names discovery's address.
func (n *Node) WriteConfig(discovery string) error {
	raw, err := json.MarshalIndent(map[string]any{
		"name": "n1", "listen": n.Addr, "discovery": discovery, "seed": NewID(), "known": n.initialList,
		"limits":   map[string]any{"cores": 1.0, "memory_mb": n.MemoryMB, "sockets": n.Sockets, "disk_mb": n.DiskMB},
		"settings": json.RawMessage(fmt.Sprintf(settings, n.Slots, n.MaxOpen)),
	}, "", " ")
	if err != nil {
		return err
	}
	path := filepath.Join(n.dir, "config.json")
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// settings are those of the example of the wire page, with the slots and the room of a small node to fill in.
const settings = `{"callers": {"marksRetry": false},
 "categories": [
  {"aim": 2500.0, "deadline": 24000.0, "effect": "deduplicated", "group": "all", "lateWorth": 0.5, "name": "quota-order", "stream": false, "window": 10000.0, "worth": 1.0},
  {"aim": 1500.0, "deadline": 5000.0, "effect": "idempotent", "group": "all", "lateWorth": 0.0, "name": "status-notice", "stream": false, "window": 5000.0, "worth": 2.0},
  {"aim": 2500.0, "deadline": 28000.0, "effect": "at_most_once", "group": "all", "lateWorth": 0.4, "name": "incentive-payout", "stream": false, "window": 5000.0, "worth": 5.0}],
 "contract": {"coldFrom": 0.19, "fall": 2000.0, "fallMultiple": 2.0, "graceToAnswer": 20.0, "mustAskIn": 10000.0, "stopSendingWithin": 1000.0, "warmWithin": 10000.0},
 "customers": [{"allowancePerS": 27.0, "name": "kanoresearch", "share": 0.42}, {"allowancePerS": 15.0, "name": "delta-insights", "share": 0.24}, {"allowancePerS": 10.0, "name": "ogun-polls", "share": 0.16}, {"allowancePerS": 7.0, "name": "abuja-metrics", "share": 0.11}, {"allowancePerS": 4.0, "name": "enugu-surveys", "share": 0.07}],
 "discovery": "pushed",
 "domain": {"decay": "line", "feeByZone": [0.0, 0.0], "kindBatch": [10, 1], "notes": "full: milliseconds to wait, 0 if none is told; moot: 1 no slot was free", "refusedPrice": 0.05, "reportX0": "share of the allowance that is left", "reportX1": "calls a second that the limit allows; 0 where there is none", "separateRoutes": [false, false], "workers": %d},
 "failureDomains": ["hall-a", "hall-b"], "flavors": ["bulk-partner", "client-hook"], "fleetSize": 1,
 "goal": {"whole": 0.45, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.25}, "kindOfService": "deliver",
 "limits": {"cancel": true, "connIdle": 5000.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 110000, "dialTimeout": 1500.0, "maxAttempts": 6, "maxOpen": %d, "maxRetryAfter": 2000.0, "mayDuplicate": false, "mayTell": false, "probes": true, "retryAfter": true, "streamsPerConn": 8},
 "myNumber": 0, "overShareWorth": 0.05,
 "prices": {"connection": 0.0, "crossZone": 0.01, "discovery": 0.0, "handshake": 0.04, "lateFail": 0.02, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.03},
 "report": {"fields": [], "how": "silent"}, "tick": 5.0, "tier": 0, "tiers": ["partner-systems"], "weights": "nominal", "worthBy": "request", "zone": 0}`

// Process is one process of the node.
type Process struct {
	Name   string
	Admin  string // the operators' address
	record *Record
	cmd    *exec.Cmd
	exited chan struct{}
}

// Start starts a process of the node by the deploy file's run.
func (n *Node) Start(name, discovery string) (*Process, error) {
	admin, err := FreeAddr()
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(n.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", "exec bin/coralyard")
	cmd.Env = append([]string{
		"PATH=" + os.Getenv("PATH"), "ROUTER_NAME=n1", "ROUTER_LISTEN=" + n.Addr, "ROUTER_DISCOVERY=" + discovery, "ROUTER_STATE=" + n.StateDir(),
		"ROUTER_CONFIG=" + filepath.Join(n.dir, "config.json"), "TMPDIR=" + filepath.Join(n.dir, "tmp"), "ROUTER_ADMIN_ADDR=" + admin, "ROUTER_LOG=debug",
	}, n.ExtraEnv...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{Name: name, Admin: admin, record: n.record, cmd: cmd, exited: make(chan struct{})}
	n.record.Add("process %s started", name)
	go func() {
		err := cmd.Wait()
		n.record.Add("process %s ended: %v", name, err)
		close(p.exited)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.record.Add("signal %v to process %s", s, p.Name)
	p.cmd.Process.Signal(s)
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// WaitExit waits for the end of the process, and reports whether it came in time.
func (p *Process) WaitExit(limit time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// Kill ends the process if it still runs.
func (p *Process) Kill() {
	if p != nil && p.Running() {
		p.cmd.Process.Kill()
		<-p.exited
	}
}

// Ready reports whether the process says that it is ready.
func (p *Process) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.Admin + "/-/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until the process is ready, and reports whether it came in time.
func (p *Process) WaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end) && p.Running(); time.Sleep(20 * time.Millisecond) {
		if p.Ready() {
			p.record.Add("process %s is ready", p.Name)
			return true
		}
	}
	return false
}
