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

// group is the nodes of a play, hollow and real, on one service. Its maker owns it, until close.
type group struct {
	svc    *service
	log    *slog.Logger
	hollow []*Node
	real   []*realNode
	all    int // nodes in the whole play, for the pauses that go by it
	keepKB int64
	dir    string
	load   *load // nil: none
	number int   // of the next node
}

func newGroup(s play.Spec, svc *service, all, endpoints int, log *slog.Logger) *group {
	return &group{svc: svc, log: log, all: all, keepKB: keepFor(s, endpoints), dir: s.Dir}
}

const keptEntry = 170 // bytes of an endpoint in the kept list, at most

// keepFor is the room of the kept list: as the setting says, or what a list needs.
func keepFor(s play.Spec, endpoints int) int64 {
	if kb := s.Settings["keep_kb"]; kb >= 0 {
		return int64(kb)
	}
	return int64(endpoints)*keptEntry/1024 + 16
}

func (g *group) spec(kind string) Spec {
	n := g.number
	g.number++
	s := Spec{Name: fmt.Sprintf("%s%d", kind, n), Number: n, Nodes: g.all, KeepKB: g.keepKB}
	s.Dir = filepath.Join(g.dir, s.Name)
	s.Addresses = g.svc.addresses(s.zone())
	return s
}

// prepare makes so many further hollow nodes' files.
func (g *group) prepare(n int) ([]Spec, error) {
	var some []Spec
	for range n {
		s := g.spec("h")
		if err := s.Write(); err != nil {
			return nil, err
		}
		some = append(some, s)
	}
	return some, nil
}

// run makes nodes of their files, and lets all of them live at once. Those that were made before an error live as well, until close.
func (g *group) run(specs []Spec) (err error) {
	var some []*Node
	for _, s := range specs {
		var n *Node
		if n, err = New(s, g.log); err != nil {
			break
		}
		some = append(some, n)
	}
	for _, n := range some {
		n.Run()
	}
	g.hollow = append(g.hollow, some...)
	return err
}

// startReal starts so many real nodes.
func (g *group) startReal(program string, n int) error {
	for i := range n {
		s := g.spec("r")
		s.Listen, s.Admin = realAddress(g.svc, i, realPort), realAddress(g.svc, i, adminPort)
		if g.load != nil {
			var err error
			if s.Settings, err = g.load.settings(i); err != nil {
				return err
			}
		}
		r, err := newReal(s, program, g.svc.sup)
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

// told waits until a revision is in force at all hollow nodes, and returns when the last one had it, to a millisecond.
func (g *group) told(ctx context.Context, revision int64) (time.Time, error) {
	left := slices.Clone(g.hollow)
	err := await(ctx, fmt.Sprintf("revision %d at all hollow nodes", revision), func() bool {
		left = slices.DeleteFunc(left, func(n *Node) bool { at, _ := n.CurrentList(); return at >= revision })
		return len(left) == 0
	})
	if err != nil {
		err = fmt.Errorf("%w: %d of %d have not", err, len(left), len(g.hollow))
	}
	return time.Now(), err
}

// toldReal waits until all real nodes have so many endpoints, and returns when the last one was seen to.
func (g *group) toldReal(ctx context.Context, endpoints int) (time.Time, error) {
	left := slices.Clone(g.real)
	err := awaitEvery(ctx, lookWide, fmt.Sprintf("a list of %d endpoints at all real nodes", endpoints), func() bool {
		left = slices.DeleteFunc(left, func(r *realNode) bool {
			n, err := r.listed(ctx)
			return err == nil && n == endpoints
		})
		return len(left) == 0
	})
	if err != nil {
		err = fmt.Errorf("%w: %d of %d have not", err, len(left), len(g.real))
	}
	return time.Now(), err
}

// have waits until all nodes have a revision, with so many endpoints.
func (g *group) have(ctx context.Context, revision int64, endpoints int) error {
	if _, err := g.told(ctx, revision); err != nil {
		return err
	}
	for _, n := range g.hollow {
		if _, have := n.CurrentList(); have != endpoints {
			return fmt.Errorf("%s has %d endpoints at revision %d, the list has %d", n.Spec.Name, have, revision, endpoints)
		}
	}
	_, err := g.toldReal(ctx, endpoints)
	return err
}

// realUse is what the real nodes' processes have used, on the average.
func (g *group) realUse() (held, used float64, err error) {
	for _, r := range g.real {
		h, err := rss(r.p.PID())
		if err != nil {
			return 0, 0, err
		}
		u, err := cpu(r.p.PID())
		if err != nil {
			return 0, 0, err
		}
		held, used = held+h, used+u
	}
	n := max(float64(len(g.real)), 1)
	return held / n, used / n, nil
}

// close ends all hollow nodes; the real ones end with the service.
func (g *group) close() error {
	err := closeAll(g.hollow)
	g.hollow = nil
	return err
}

// end closes the group and its service, after which nothing of the play is left, and adds what that said to a play's error.
func (g *group) end(err *error) {
	if g.load != nil {
		g.load.close()
	}
	*err = errors.Join(*err, g.close())
	g.svc.close()
	for _, r := range g.real {
		r.close()
	}
}

// own is this process's number.
var own = os.Getpid()
