package hollow

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"time"

	"starlingusher/internal/lab/scale/play"
)

// nodeGroup is the nodes of a play, hollow and real, and the directory that they follow. Its owner must call
// shutdown.
type nodeGroup struct {
	service    *service
	log        *slog.Logger
	hollow     []*Node
	real       []*realNode
	nodeCount  int // in the whole play; nodes scale some pauses by it
	cacheKB    int64
	dir        string
	load       *load // nil: none
	nextNumber int   // number of the next node
}

func newNodeGroup(s play.Spec, service *service, nodeCount, endpoints int, log *slog.Logger) *nodeGroup {
	return &nodeGroup{service: service, log: log, nodeCount: nodeCount, cacheKB: cacheSizeFor(s, endpoints), dir: s.Dir}
}

const maxCacheEntry = 170 // upper bound of an endpoint's bytes in a list cache

// cacheSizeFor returns the size of the list cache in KB: the setting keep_kb, or what the list needs.
func cacheSizeFor(s play.Spec, endpoints int) int64 {
	if kb := s.Settings["keep_kb"]; kb >= 0 {
		return int64(kb)
	}
	return int64(endpoints)*maxCacheEntry/1024 + 16
}

func (g *nodeGroup) nextSpec(kind string) Spec {
	n := g.nextNumber
	g.nextNumber++
	s := Spec{Name: fmt.Sprintf("%s%d", kind, n), Number: n, FleetSize: g.nodeCount, CacheKB: g.cacheKB}
	s.Dir = filepath.Join(g.dir, s.Name)
	s.Addresses = g.service.addresses(s.zone())
	return s
}

// prepare writes the files of n more hollow nodes.
func (g *nodeGroup) prepare(n int) ([]Spec, error) {
	var specs []Spec
	for range n {
		s := g.nextSpec("h")
		if err := s.Write(); err != nil {
			return nil, err
		}
		specs = append(specs, s)
	}
	return specs, nil
}

// start makes nodes from their files and runs them all at once. After an error those made before it run too,
// until closeHollow.
func (g *nodeGroup) start(specs []Spec) (err error) {
	var nodes []*Node
	for _, s := range specs {
		var n *Node
		if n, err = New(s, g.log); err != nil {
			break
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		n.Run()
	}
	g.hollow = append(g.hollow, nodes...)
	return err
}

// startReal starts n real nodes.
func (g *nodeGroup) startReal(program string, n int) error {
	for i := range n {
		s := g.nextSpec("r")
		s.Listen, s.Admin = realNodeAddr(g.service, i, clientPort), realNodeAddr(g.service, i, adminPort)
		if g.load != nil {
			var err error
			if s.Settings, err = g.load.settings(i); err != nil {
				return err
			}
		}
		r, err := newRealNode(s, program, g.service.supervisor)
		if err != nil {
			return err
		}
		g.real = append(g.real, r)
		if err := r.start(); err != nil {
			return err
		}
	}
	return nil
}

// awaitRevision waits until all hollow nodes have applied a revision, and returns that time, precise to
// pollInterval.
func (g *nodeGroup) awaitRevision(ctx context.Context, revision int64) (time.Time, error) {
	missing := slices.Clone(g.hollow)
	err := await(ctx, fmt.Sprintf("revision %d at all hollow nodes", revision), func() bool {
		missing = slices.DeleteFunc(missing, func(n *Node) bool { applied, _ := n.CurrentList(); return applied >= revision })
		return len(missing) == 0
	})
	if err != nil {
		err = fmt.Errorf("%w: missing at %d of %d nodes", err, len(missing), len(g.hollow))
	}
	return time.Now(), err
}

// awaitRealNodes waits until all real nodes have this many endpoints, and returns the time when the last one
// was seen to.
func (g *nodeGroup) awaitRealNodes(ctx context.Context, endpoints int) (time.Time, error) {
	missing := slices.Clone(g.real)
	err := awaitEvery(ctx, requestPollInterval, fmt.Sprintf("a list of %d endpoints at all real nodes", endpoints), func() bool {
		missing = slices.DeleteFunc(missing, func(r *realNode) bool {
			n, err := r.endpointCount(ctx)
			return err == nil && n == endpoints
		})
		return len(missing) == 0
	})
	if err != nil {
		err = fmt.Errorf("%w: missing at %d of %d nodes", err, len(missing), len(g.real))
	}
	return time.Now(), err
}

// awaitList waits until all nodes have applied a revision and have this many endpoints.
func (g *nodeGroup) awaitList(ctx context.Context, revision int64, endpoints int) error {
	if _, err := g.awaitRevision(ctx, revision); err != nil {
		return err
	}
	for _, n := range g.hollow {
		if _, count := n.CurrentList(); count != endpoints {
			return fmt.Errorf("%s has %d endpoints at revision %d, the list has %d", n.Spec.Name, count, revision, endpoints)
		}
	}
	_, err := g.awaitRealNodes(ctx, endpoints)
	return err
}

// meanRealUse returns the mean resident memory and CPU time of the real nodes' processes.
func (g *nodeGroup) meanRealUse() (resident, cpu float64, err error) {
	for _, node := range g.real {
		h, err := rss(node.process.PID())
		if err != nil {
			return 0, 0, err
		}
		u, err := cpuSeconds(node.process.PID())
		if err != nil {
			return 0, 0, err
		}
		resident, cpu = resident+h, cpu+u
	}
	n := max(float64(len(g.real)), 1)
	return resident / n, cpu / n, nil
}

// closeHollow stops all hollow nodes; the real ones are stopped with the service.
func (g *nodeGroup) closeHollow() error {
	err := closeAll(g.hollow)
	g.hollow = nil
	return err
}

// shutdown stops all that the play has started, and joins the errors to *err.
func (g *nodeGroup) shutdown(err *error) {
	if g.load != nil {
		g.load.close()
	}
	*err = errors.Join(*err, g.closeHollow())
	g.service.close()
	for _, node := range g.real {
		node.close()
	}
}

// ownPID is the process ID of this process.
var ownPID = os.Getpid()
