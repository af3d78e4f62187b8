// Package hollow plays the axes of a scale run that need many nodes: it runs hollow nodes on real sockets,
// next to real nodes, against real replicas of the directory.
//
// A hollow node is the control side of a node without clients and calls: a [node.Node] in this process, with
// the code and the configuration files of the program coralyard, and a listener that accepts no connection.
// It differs from a real node in this, and nothing else:
//
//	clients      no connection is ever accepted, so no message is read, accepted, refused or answered
//	messages     none are held: the journal has records of endpoints only, and the queues of the decision module
//	             (package choice) are empty
//	calls        none are made, so nothing is probed, no endpoint is ever down, and the connection pool is empty
//	bodies       none
//	notices      none are due, so nothing is posted to the list service
//	successor    no lock on the state folder, and no handover socket for another process to take over by
//	operators    no operators' address
//	process      one for all of them: the Go runtime, its processors, its heap and its garbage collector are shared, and no
//	             memory limit of a node is set (coralyard sets one, and has its own processors); the axis nodes limits
//	             the whole process
//
// The rest is the node's own: the client of the list service with its cursor, its pauses and its connection,
// the list cache and its file, the loop, the decision module with its destinations, endpoints, routes and
// limits, and the journal. So a hollow node needs what a real node needs: two descriptors (the journal, the watch), the
// memory of a listener and of the decision module, the channels of the loop, and some goroutines (the plays
// count them).
//
// Neither hollow nor real nodes have a view of the members (package fleet/members): no node has one yet. A node follows only its own
// partitions if Spec.FleetTOML says so.
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
	regions       = 3
	nodeSockets   = 256
	nodeMemoryMB  = 256 // in MB
	nodeJournalMB = 3
)

// regionOf returns the region of a zone, both by index.
func regionOf(zone int) int { return zone * regions / len(zones) }

// Spec describes a node of a play, hollow or real. Write makes the files that the platform and the operators
// would provide.
type Spec struct {
	Name      string
	Number    int             // among all nodes, from 0
	FleetSize int             // number of nodes in all
	Dir       string          // made by Write
	Addresses []string        // of the list service
	CacheKB   int64           // size of the list cache
	Listen    string          // address for clients; empty for a hollow node
	Admin     string          // operators' address; empty: none
	FleetTOML string          // more lines of the fleet file
	Settings  json.RawMessage // the platform's; nil: platformSettings
}

func (s Spec) zone() int          { return s.Number % len(zones) }
func (s Spec) stateDir() string   { return filepath.Join(s.Dir, "state") }
func (s Spec) configFile() string { return filepath.Join(s.Dir, "config.json") }
func (s Spec) fleetFile() string  { return filepath.Join(s.Dir, "fleet.toml") }

type object = map[string]any

// Write makes the node's folders and files.
func (s Spec) Write() error {
	if err := os.MkdirAll(s.stateDir(), 0o700); err != nil {
		return fmt.Errorf("folder of %s: %w", s.Name, err)
	}
	listen := s.Listen
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	var settings any = s.Settings
	if s.Settings == nil {
		settings = s.platformSettings()
	}
	raw, err := json.Marshal(object{
		"name": s.Name, "listen": listen, "discovery": s.Addresses[0], "admin_addr": s.Admin, "seed": fmt.Sprintf("%016x", s.Number+1),
		"known":    object{"revision": 0, "complete": true, "members": []string{}},
		"limits":   object{"cores": 1, "memory_mb": nodeMemoryMB, "sockets": nodeSockets, "disk_mb": float64(nodeJournalMB) + 2*float64(s.CacheKB)/1024},
		"settings": settings,
	})
	if err != nil {
		return fmt.Errorf("configuration of %s: %w", s.Name, err)
	}
	var quoted []string
	for _, a := range s.Addresses {
		quoted = append(quoted, fmt.Sprintf("%q", a))
	}
	fleet := fmt.Sprintf("[registry]\naddresses = [%s]\nkeep_kb = %d\n%s", strings.Join(quoted, ", "), s.CacheKB, s.FleetTOML)
	return errors.Join(os.WriteFile(s.configFile(), raw, 0o600), os.WriteFile(s.fleetFile(), []byte(fleet), 0o600))
}

// platformSettings returns typical settings in the platform's format.
func (s Spec) platformSettings() object {
	return object{
		"fleetSize": s.FleetSize, "myNumber": s.Number, "zone": zones[s.zone()], "failureDomains": zones, "flavors": []string{flavor},
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
	cfg, err := node.LoadConfig(s.configFile(), s.stateDir())
	if err == nil {
		cfg.Fleet, err = node.LoadFleet(s.fleetFile())
	}
	return cfg, err
}

// Node is a hollow node. Once Run was called, its owner must call Close.
type Node struct {
	*node.Node
	Spec Spec

	listener *idleListener
	cancel   context.CancelFunc
	done     chan struct{}
	err      error // valid once done is closed
}

// New makes a hollow node from the files that Spec.Write has made. It does nothing before Run. Only errors
// are logged.
func New(s Spec, log *slog.Logger) (*Node, error) {
	cfg, err := s.Load()
	if err != nil {
		return nil, err
	}
	n, err := node.New(cfg, slog.New(errorHandler{log.Handler()}).With("node", s.Name))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	return &Node{Node: n, Spec: s, listener: &idleListener{closed: make(chan struct{})}, done: make(chan struct{})}, nil
}

// Run starts the node, which runs until Close.
func (n *Node) Run() {
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(n.done)
		n.err = n.Node.Run(ctx, n.listener)
	}()
}

// stop tells the node to stop and does not wait for it.
func (n *Node) stop() { n.cancel() }

// Close stops the node. It takes 3.2 s, the time that a node takes to shut down.
func (n *Node) Close() error {
	n.stop()
	<-n.done
	return n.err
}

// closeAll stops running nodes, all at once.
func closeAll(nodes []*Node) error {
	for _, n := range nodes {
		n.stop()
	}
	var errs []error
	for _, n := range nodes {
		errs = append(errs, n.Close())
	}
	return errors.Join(errs...)
}

// idleListener is a listener that nobody connects to.
type idleListener struct {
	once   sync.Once
	closed chan struct{}
}

func (l *idleListener) Accept() (net.Conn, error) {
	<-l.closed
	return nil, net.ErrClosed
}

func (l *idleListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *idleListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// errorHandler passes on records at error level and above.
type errorHandler struct{ slog.Handler }

func (h errorHandler) Enabled(ctx context.Context, l slog.Level) bool {
	return l >= slog.LevelError && h.Handler.Enabled(ctx, l)
}

func (h errorHandler) WithAttrs(a []slog.Attr) slog.Handler {
	return errorHandler{h.Handler.WithAttrs(a)}
}
func (h errorHandler) WithGroup(name string) slog.Handler {
	return errorHandler{h.Handler.WithGroup(name)}
}
