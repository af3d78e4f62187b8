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
	proxyPort          = 8600 // of a node's proxy in front of the first replica; the next ports are for the other replicas
	writeTimeout       = 3 * time.Second
	writeRetryInterval = 50 * time.Millisecond
)

// startDirectory starts the replicas, the nodes' proxies in front of them, and the copying of the platform's
// list to the directory.
func (r *run) startDirectory(ctx context.Context) error {
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
	conditions := r.replicaConditions()
	var err error
	r.replicas, err = replica.New(r.plan.Replicas, replica.Options{
		Command: command, Dir: r.opts.Dir, Block: r.block, Supervisor: r.sup, Seed: r.plan.Seed, Conditions: &conditions,
		OutputFilter: func(f *os.File) io.Writer { return &limitedWriter{file: f, remaining: maxNodeLogBytes} },
	})
	if err != nil {
		return err
	}
	for _, target := range r.replicas {
		if err := target.Start(); err != nil {
			return err
		}
	}
	for n := range r.plan.Nodes {
		agent := r.platform.Agent(n)
		agent.DelegateToDirectory()
		var addresses []string
		for i, target := range r.replicas {
			proxy, err := standin.StartDirectoryProxy(agent, r.addr(n, proxyPort+i), target.AdvertisedAddr(replica.HTTP))
			if err != nil {
				return err
			}
			r.proxies = append(r.proxies, proxy)
			addresses = append(addresses, fmt.Sprintf("%q", r.addr(n, proxyPort+i)))
		}
		text := "[registry]\naddresses = [" + strings.Join(addresses, ", ") + "]\nkeep_kb = 64\n"
		if err := os.WriteFile(filepath.Join(r.opts.Dir, r.plan.Nodes[n].Name, "fleet.toml"), []byte(text), 0o600); err != nil {
			return err
		}
	}
	firstWritten := make(chan struct{})
	writing, stop := context.WithCancel(context.Background())
	r.stopWrites = stop
	r.wg.Go(func() { r.syncList(writing, firstWritten) })
	select {
	case <-firstWritten:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(readyTimeout):
		return fmt.Errorf("the directory accepted no list within %v; its logs are in %s", readyTimeout, r.opts.Dir)
	}
}

// replicaConditions returns the conditions between replicas, and between replicas and nodes, while no fault
// is active.
func (r *run) replicaConditions() relay.Conditions {
	return relay.Conditions{Delay: r.plan.Network.SameZone, Jitter: r.plan.Network.Jitter}
}

// syncList writes the platform's list to the directory after each change, and retries until it is written.
func (r *run) syncList(ctx context.Context, firstWritten chan<- struct{}) {
	var addresses []string
	for _, target := range r.replicas {
		addresses = append(addresses, target.AdvertisedAddr(replica.HTTP))
	}
	client := &directory.AdminClient{Addresses: addresses, By: "lab", HTTPClient: &http.Client{Timeout: writeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	for {
		members, changed := r.platform.Members()
		_, err := client.Put(ctx, members, true, true, "*")
		if err == nil && firstWritten != nil {
			close(firstWritten)
			firstWritten = nil
		}
		if err != nil && firstWritten == nil {
			r.opts.Log.Debug("writing the list to the directory failed; retrying", "err", err)
		}
		var retry <-chan time.Time
		if err != nil {
			retry = time.After(writeRetryInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-retry:
		case <-changed:
		}
	}
}

// applyReplicaFault starts or ends a fault of replicas.
func (r *run) applyReplicaFault(fault *experiment.FaultPlan, ends bool) {
	for _, i := range fault.Replicas {
		target := r.replicas[i]
		r.log.Add(history.Event{Kind: history.Fault, Node: -1, Partner: -1, Note: fmt.Sprintf("%s of replica %d, ends: %v", fault.Kind, i, ends)})
		process := target.Process()
		switch fault.Kind {
		case "replica-kill":
			if ends {
				r.recordFailure("start of a replica", target.Start())
			} else {
				r.recordFailure("kill of a replica", target.Kill())
			}
		case "replica-stop":
			sig := syscall.SIGSTOP
			if ends {
				sig = syscall.SIGCONT
			}
			r.recordFailure("stop of a replica", process.Signal(sig))
		case "replica-cut":
			for _, link := range target.Links {
				w := r.replicaConditions()
				w.CutOutbound, w.CutReturn = !ends && fault.Direction != "back", !ends && fault.Direction != "out"
				link.SetConditions(w)
				if ends {
					link.ResetConnections()
				}
			}
		}
	}
}

// closeDirectory closes what startDirectory has created. The processes must have exited.
func (r *run) closeDirectory() {
	for _, proxy := range r.proxies {
		proxy.Close()
	}
	for _, target := range r.replicas {
		target.Close()
	}
}
