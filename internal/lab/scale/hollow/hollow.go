// Package hollow plays the axes of a scale run that need many nodes: hollow nodes on real sockets, beside real ones, on real
// replicas of the directory.
//
// A hollow node is a [node.Node] of this process, the same code by the same configuration files as the program coralyard, whose
// listener no client comes to. This is the whole list of what is hollow about it:
//
//	clients      no connection is ever accepted, so no request is read, taken on, refused or answered
//	events       none are held: the journal has records of endpoints alone, and the module's queues are empty
//	calls        none go out, so nothing is probed, no endpoint is ever down, and the pool of connections is empty
//	bodies       none
//	notices      none are owed, so nothing is posted to the list service
//	successor    no lock of the lasting folder and no door for another process to take over by
//	operators    no address of their own
//	process      one for all of them: the Go runtime, its processors, its heap and its collector are shared, and no memory
//	             limit is set (coralyard sets one, and has processors of its own)
//
// Nothing else is: the client of the list service with its track, its pauses and its connection, the kept list and its file, the
// loop, the module with its destinations, endpoints, routes and limits, and the journal are the node's own. So each hollow node
// takes beside them what a real one takes: two descriptors (the journal, the watch), a listener's place in memory, the module's
// and the loop's channels, and some goroutines (the plays count them).
//
// A view of the members (fleet/members) is part of neither: no node has one yet. A node that follows its own partitions alone is
// made by the lines of its fleet file, which go into Spec.Fleet.
package hollow

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"starlingusher/internal/node"
)

var (
	zones  = []string{"a1", "a2", "b1", "b2", "c1", "c2"} // two in each region
	flavor = "m2"
)

const (
	regions     = 3
	realSockets = 256
	realMemory  = 256 // MB
	journalMB   = 3
)

// regionOf is the region of a zone, by their places.
func regionOf(zone int) int { return zone * regions / len(zones) }

// Spec is a node of a play, hollow or real: it makes the files that the platform and the operators would give it.
type Spec struct {
	Name      string
	Number    int             // of all nodes
	Nodes     int             // in all
	Dir       string          // its folder; made by Write
	Addresses []string        // of the list service
	KeepKB    int64           // of the lasting folder for the last list
	Listen    string          // of clients; a hollow node has none
	Admin     string          // of operators; empty: none
	Fleet     string          // more lines of the fleet file
	Settings  json.RawMessage // the platform's; nil: usual ones
}

func (s Spec) zone() int      { return s.Number % len(zones) }
func (s Spec) state() string  { return filepath.Join(s.Dir, "state") }
func (s Spec) config() string { return filepath.Join(s.Dir, "config.json") }
func (s Spec) fleet() string  { return filepath.Join(s.Dir, "fleet.toml") }

type object = map[string]any

// Write makes the node's folders and files.
func (s Spec) Write() error {
	if err := os.MkdirAll(s.state(), 0o700); err != nil {
		return fmt.Errorf("folder of %s: %w", s.Name, err)
	}
	listen := s.Listen
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	var settings any = s.Settings
	if s.Settings == nil {
		settings = s.settings()
	}
	raw, err := json.Marshal(object{
		"name": s.Name, "listen": listen, "discovery": s.Addresses[0], "admin_addr": s.Admin, "seed": fmt.Sprintf("%016x", s.Number+1),
		"known":    object{"revision": 0, "complete": true, "members": []string{}},
		"limits":   object{"cores": 1, "memory_mb": realMemory, "sockets": realSockets, "disk_mb": float64(journalMB) + 2*float64(s.KeepKB)/1024},
		"settings": settings,
	})
	if err != nil {
		return fmt.Errorf("configuration of %s: %w", s.Name, err)
	}
	var quoted []string
	for _, a := range s.Addresses {
		quoted = append(quoted, fmt.Sprintf("%q", a))
	}
	fleet := fmt.Sprintf("[registry]\naddresses = [%s]\nkeep_kb = %d\n%s", strings.Join(quoted, ", "), s.KeepKB, s.Fleet)
	return errors.Join(os.WriteFile(s.config(), raw, 0o600), os.WriteFile(s.fleet(), []byte(fleet), 0o600))
}

// settings are the platform's, in its form and of usual sizes.
func (s Spec) settings() object {
	return object{
		"fleetSize": s.Nodes, "myNumber": s.Number, "zone": zones[s.zone()], "failureDomains": zones, "flavors": []string{flavor},
		"categories": []object{{
			"name": "status", "aim": 1000.0, "deadline": 8000.0, "effect": "idempotent", "group": "all", "lateWorth": 0.2, "stream": false,
			"window": 0.0, "worth": 1.0,
		}},
		"customers": []object{{"name": "m0", "share": 1.0, "allowancePerS": 1000.0}},
		"discovery": "pushed", "weights": "nominal", "worthBy": "request", "overShareWorth": 0.5, "tick": 5.0, "kindOfService": "deliver",
		"report": object{"how": "silent", "fields": []string{}},
		"domain": object{
			"decay": "line", "kindBatch": []int{1}, "separateRoutes": []bool{false}, "workers": 64, "feeByZone": make([]float64, len(zones)),
			"refusedPrice": 0.05,
		},
		"limits": object{
			"cancel": true, "connIdle": 10000.0, "dialTimeout": 500.0, "maxAttempts": 4, "maxOpen": 1000, "maxRetryAfter": 4000.0,
			"mayDuplicate": false, "probes": true, "retryAfter": true, "streamsPerConn": 1,
		},
		"contract": object{
			"coldFrom": 0.3, "fall": 2000.0, "fallMultiple": 1.5, "graceToAnswer": 20.0, "mustAskIn": 10000.0, "stopSendingWithin": 500.0,
			"warmWithin": 20000.0,
		},
	}
}

// Load reads the files as coralyard does.
func (s Spec) Load() (node.Config, error) {
	cfg, err := node.LoadConfig(s.config(), s.state())
	if err == nil {
		cfg.Fleet, err = node.LoadFleet(s.fleet())
	}
	return cfg, err
}

// Node is a hollow node. Its maker owns it: once Run was called, until Close.
type Node struct {
	*node.Node
	Spec Spec

	ln     *silent
	cancel context.CancelFunc
	done   chan struct{}
	err    error // once done is closed
}

// New makes a hollow node of the files that Spec.Write has made. It does nothing yet; errors alone are logged.
func New(s Spec, log *slog.Logger) (*Node, error) {
	cfg, err := s.Load()
	if err != nil {
		return nil, err
	}
	n, err := node.New(cfg, slog.New(errorsOf{log.Handler()}).With("node", s.Name))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	return &Node{Node: n, Spec: s, ln: &silent{closed: make(chan struct{})}, done: make(chan struct{})}, nil
}

// Run lets it live, until Close.
func (n *Node) Run() {
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(n.done)
		n.err = n.Node.Run(ctx, n.ln)
	}()
}

// leave asks it to end.
func (n *Node) leave() { n.cancel() }

// Close ends it, which takes the 3.2 s that a node takes to leave.
func (n *Node) Close() error {
	n.leave()
	<-n.done
	return n.err
}

// closeAll ends nodes that run, all at once.
func closeAll(nodes []*Node) error {
	for _, n := range nodes {
		n.leave()
	}
	var errs []error
	for _, n := range nodes {
		errs = append(errs, n.Close())
	}
	return errors.Join(errs...)
}

// silent is a listener that nobody comes to.
type silent struct {
	once   sync.Once
	closed chan struct{}
}

func (l *silent) Accept() (net.Conn, error) {
	<-l.closed
	return nil, net.ErrClosed
}

func (l *silent) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *silent) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// errorsOf passes on what is logged as an error.
type errorsOf struct{ slog.Handler }

func (h errorsOf) Enabled(ctx context.Context, l slog.Level) bool {
	return l >= slog.LevelError && h.Handler.Enabled(ctx, l)
}

func (h errorsOf) WithAttrs(a []slog.Attr) slog.Handler { return errorsOf{h.Handler.WithAttrs(a)} }
func (h errorsOf) WithGroup(name string) slog.Handler   { return errorsOf{h.Handler.WithGroup(name)} }
