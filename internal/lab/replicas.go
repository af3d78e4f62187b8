package lab

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"starlingusher/fleet/experiment"
	"starlingusher/fleet/history"
	"starlingusher/internal/directory"
	"starlingusher/internal/lab/relay"
	"starlingusher/internal/lab/replica"
	"starlingusher/internal/lab/standin"
)

const (
	windowPort   = 8600 // of a node's window on the first replica, and on
	writeTimeout = 3 * time.Second
	writeAgain   = 50 * time.Millisecond
)

// openDirectory starts the replicas, the nodes' windows on them, and what keeps their list as the platform has it.
func (r *run) openDirectory(ctx context.Context) error {
	if r.plan.Replicas == 0 {
		return nil
	}
	command := r.opts.DirectoryCommand
	if len(command) == 0 {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		command = []string{self, "--log-level", "info", "directory", "serve"}
	}
	calm := r.calm()
	var err error
	r.replicas, err = replica.New(r.plan.Replicas, replica.Options{
		Command: command, Dir: r.opts.Dir, Block: r.block, Supervisor: r.sup, Seed: r.plan.Seed, Conditions: &calm,
		OutputFilter: func(f *os.File) io.Writer { return &bounded{f: f, left: maxNodeLog} },
	})
	if err != nil {
		return err
	}
	for _, d := range r.replicas {
		if err := d.Start(); err != nil {
			return err
		}
	}
	for n := range r.plan.Nodes {
		a := r.platform.Agent(n)
		a.DelegateToDirectory()
		var addresses []string
		for i, d := range r.replicas {
			w, err := standin.StartDirectoryProxy(a, r.addr(n, windowPort+i), d.AdvertisedAddr(replica.HTTP))
			if err != nil {
				return err
			}
			r.windows = append(r.windows, w)
			addresses = append(addresses, fmt.Sprintf("%q", r.addr(n, windowPort+i)))
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
func (r *run) calm() relay.Conditions {
	return relay.Conditions{Delay: r.plan.Network.SameZone, Jitter: r.plan.Network.Jitter}
}

// keepList writes the list as the platform has it to the directory, again and again until it is there.
func (r *run) keepList(ctx context.Context, first chan<- struct{}) {
	var addresses []string
	for _, d := range r.replicas {
		addresses = append(addresses, d.AdvertisedAddr(replica.HTTP))
	}
	op := &directory.AdminClient{Addresses: addresses, By: "lab", HTTPClient: &http.Client{Timeout: writeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	for {
		members, news := r.platform.Members()
		_, err := op.Put(ctx, members, true, true, "*")
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
		p := d.Process()
		switch x.Kind {
		case "replica-kill":
			if ends {
				r.fail("start of a replica", d.Start())
			} else {
				r.fail("kill of a replica", d.Kill())
			}
		case "replica-stop":
			sig := syscall.SIGSTOP
			if ends {
				sig = syscall.SIGCONT
			}
			r.fail("stop of a replica", p.Signal(sig))
		case "replica-cut":
			for _, l := range d.Links {
				w := r.calm()
				w.CutOutbound, w.CutReturn = !ends && x.Direction != "back", !ends && x.Direction != "out"
				l.SetConditions(w)
				if ends {
					l.ResetConnections()
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
		d.Close()
	}
}
