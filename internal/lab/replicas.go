package lab

import (
	"context"
	"fmt"
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
	"starlingusher/internal/directory"
	"starlingusher/internal/lab/proc"
	"starlingusher/internal/lab/relay"
	"starlingusher/internal/lab/standin"
)

const (
	replicaPort  = 8600 // and the next one for Raft; at each node, one for each replica
	replicaHost  = 253  // third byte of the replicas' own addresses
	linkHost     = 254  // and of those at which all reach them
	writeTimeout = 3 * time.Second
	writeAgain   = 50 * time.Millisecond
)

// replica is one of the directory that tells the nodes: its process, behind its links.
type replica struct {
	r      *run
	number int
	dir    string
	out    *bounded
	links  []*relay.Link // http, raft

	mu sync.Mutex
	p  *proc.Process
}

func (d *replica) own(port int) string {
	return net.JoinHostPort(d.r.block.IP(replicaHost, d.number+1), strconv.Itoa(port))
}

func (d *replica) reached(port int) string {
	return net.JoinHostPort(d.r.block.IP(linkHost, d.number+1), strconv.Itoa(port))
}

// openDirectory starts the replicas, the nodes' windows on them, and what keeps their list as the platform has it.
func (r *run) openDirectory(ctx context.Context) error {
	if r.plan.Replicas == 0 {
		return nil
	}
	for i := range r.plan.Replicas {
		d := &replica{r: r, number: i, dir: filepath.Join(r.opts.Dir, fmt.Sprint("replica-", i))}
		if err := os.MkdirAll(d.dir, 0o700); err != nil {
			return fmt.Errorf("folder of replica %d: %w", i, err)
		}
		f, err := os.Create(filepath.Join(d.dir, "log"))
		if err != nil {
			return fmt.Errorf("log of replica %d: %w", i, err)
		}
		d.out = &bounded{f: f, left: maxNodeLog}
		r.replicas = append(r.replicas, d)
		for _, port := range []int{replicaPort, replicaPort + 1} {
			l, err := relay.Listen(d.reached(port), r.plan.Seed+uint64(port+10*i), relay.To(d.own(port)), func(time.Duration) {})
			if err != nil {
				return err
			}
			d.links = append(d.links, l)
			l.Set(r.calm())
		}
	}
	for _, d := range r.replicas {
		var b strings.Builder
		fmt.Fprintf(&b, "id = \"d%d\"\nhttp = %q\nraft = %q\nbind_http = %q\nbind_raft = %q\ndata = %q\n", d.number, d.reached(replicaPort),
			d.reached(replicaPort+1), d.own(replicaPort), d.own(replicaPort+1), filepath.Join(d.dir, "data"))
		for _, o := range r.replicas {
			if o != d {
				fmt.Fprintf(&b, "[[peer]]\nid = \"d%d\"\nhttp = %q\nraft = %q\n", o.number, o.reached(replicaPort), o.reached(replicaPort+1))
			}
		}
		if err := os.WriteFile(d.config(), []byte(b.String()), 0o600); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
	}
	for n := range r.plan.Nodes {
		a := r.platform.Agent(n)
		a.Quiet()
		var addresses []string
		for i, d := range r.replicas {
			w, err := standin.OpenWindow(a, r.addr(n, replicaPort+i), d.reached(replicaPort))
			if err != nil {
				return err
			}
			r.windows = append(r.windows, w)
			addresses = append(addresses, fmt.Sprintf("%q", r.addr(n, replicaPort+i)))
		}
		text := "[registry]\naddresses = [" + strings.Join(addresses, ", ") + "]\nkeep_kb = 64\n"
		if err := os.WriteFile(filepath.Join(r.opts.Dir, r.plan.Nodes[n].Name, "fleet.toml"), []byte(text), 0o600); err != nil {
			return err
		}
	}
	first := make(chan struct{})
	writing, stop := context.WithCancel(context.Background())
	r.endWrites = stop
	r.wg.Go(func() { r.keepList(writing, first) })
	select {
	case <-first:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(readyWithin):
		return fmt.Errorf("the directory took no list within %v; its logs are in %s", readyWithin, r.opts.Dir)
	}
}

// calm is the weather between replicas, and between them and nodes.
func (r *run) calm() relay.Weather {
	return relay.Weather{Delay: r.plan.Network.Same, Jitter: r.plan.Network.Jitter}
}

func (d *replica) config() string { return filepath.Join(d.dir, "directory.toml") }

func (d *replica) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.r.sup == nil {
		return proc.ErrClosed
	}
	command := d.r.opts.Directory
	if len(command) == 0 {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		command = []string{self, "--log-level", "info", "directory", "serve"}
	}
	p, err := d.r.sup.Start(proc.Spec{Name: fmt.Sprint("replica ", d.number), Command: append(append([]string{}, command...), "--config", d.config()),
		Env: []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + d.dir}, Log: d.out})
	if err == nil {
		d.p = p
	}
	return err
}

// keepList writes the list as the platform has it to the directory, again and again until it is there.
func (r *run) keepList(ctx context.Context, first chan<- struct{}) {
	var addresses []string
	for _, d := range r.replicas {
		addresses = append(addresses, d.reached(replicaPort))
	}
	op := &directory.Operator{Addresses: addresses, By: "lab", Client: &http.Client{Timeout: writeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	for {
		members, news := r.platform.Members()
		var all []catalog.Endpoint
		for _, m := range members {
			all = append(all, catalog.Endpoint{ID: m.ID, Addr: m.Addr, Locality: m.Locality, Flavor: m.Flavor, Cell: m.Cell, Phase: m.Phase, Size: m.Size, UpSince: m.UpSince})
		}
		_, err := op.Put(ctx, all, true, true, "*")
		if err == nil && first != nil {
			close(first)
			first = nil
		}
		if err != nil && first == nil {
			r.opts.Log.Debug("the list is not written yet", "err", err)
		}
		var again <-chan time.Time
		if err != nil {
			again = time.After(writeAgain)
		}
		select {
		case <-ctx.Done():
			return
		case <-again:
		case <-news:
		}
	}
}

// replicaFault begins or ends a fault of replicas.
func (r *run) replicaFault(x *experiment.FaultPlan, ends bool) {
	for _, i := range x.Replicas {
		d := r.replicas[i]
		r.log.Add(history.Event{Kind: history.Fault, Node: -1, Partner: -1, Note: fmt.Sprintf("%s of replica %d, ends: %v", x.Kind, i, ends)})
		d.mu.Lock()
		p := d.p
		d.mu.Unlock()
		switch x.Kind {
		case "replica-kill":
			if !ends {
				r.fail("kill of a replica", p.Signal(syscall.SIGKILL))
				continue
			}
			<-p.Done()
			r.fail("start of a replica", d.start())
		case "replica-stop":
			sig := syscall.SIGSTOP
			if ends {
				sig = syscall.SIGCONT
			}
			r.fail("stop of a replica", p.Signal(sig))
		case "replica-cut":
			for _, l := range d.links {
				w := r.calm()
				w.CutOut, w.CutBack = !ends && x.Way != "back", !ends && x.Way != "out"
				l.Set(w)
				if ends {
					l.Reset()
				}
			}
		}
	}
}

// closeDirectory ends what openDirectory has made; the processes have ended.
func (r *run) closeDirectory() {
	for _, w := range r.windows {
		w.Close()
	}
	for _, d := range r.replicas {
		for _, l := range d.links {
			l.Close()
		}
		d.out.f.Close()
	}
}
