// Package replica runs replicas of the directory as real processes behind links, for the labs.
package replica

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"starlingusher/internal/lab/block"
	"starlingusher/internal/lab/proc"
	"starlingusher/internal/lab/relay"
)

// HTTP and Raft are a replica's two addresses, and its links by them.
const (
	HTTP = iota
	Raft
	addressCount
)

const (
	firstPort = 8600
	ownHost   = 253 // third byte of the replicas' own addresses
	linkHost  = 254 // and of those at which all reach them
)

// Options say what replicas are made of.
type Options struct {
	Command      []string // of one; `--config FILE` is put behind it
	Dir          string   // each has a folder in it
	Block        *block.Block
	Supervisor   *proc.Supervisor
	Seed         uint64                   // of the links' chances
	Conditions   *relay.Conditions        // of the links; nil: they are reached without
	Settings     string                   // TOML that each one's file has beside its addresses
	OutputFilter func(*os.File) io.Writer // what their output goes through; nil: all is kept
}

// Replica is one of a service. Its maker owns it, until Close.
type Replica struct {
	ID    string
	Dir   string
	Links [addressCount]*relay.Link // nil without

	opts Options
	own  [addressCount]string
	file *os.File

	mu sync.Mutex
	p  *proc.Process
}

// New makes so many replicas, links and settings included, and starts none. What was made before an error is returned
// with it.
func New(count int, o Options) ([]*Replica, error) {
	var all []*Replica
	for i := range count {
		r := &Replica{ID: fmt.Sprint("d", i), Dir: filepath.Join(o.Dir, fmt.Sprint("replica-", i)), opts: o}
		if err := os.MkdirAll(r.Dir, 0o700); err != nil {
			return all, fmt.Errorf("folder of replica %s: %w", r.ID, err)
		}
		var err error
		if r.file, err = os.Create(filepath.Join(r.Dir, "log")); err != nil {
			return all, fmt.Errorf("log of replica %s: %w", r.ID, err)
		}
		all = append(all, r)
		for n := range r.own {
			r.own[n] = fmt.Sprintf("%s:%d", o.Block.IP(ownHost, i+1), firstPort+n)
			if o.Conditions == nil {
				continue
			}
			at := fmt.Sprintf("%s:%d", o.Block.IP(linkHost, i+1), firstPort+n)
			if r.Links[n], err = relay.Listen(at, o.Seed+uint64(10*i+n), relay.DialTo(r.own[n]), func(time.Duration) {}); err != nil {
				return all, err
			}
			r.Links[n].SetConditions(*o.Conditions)
		}
	}
	for _, r := range all {
		var b strings.Builder
		fmt.Fprintf(&b, "id = %q\nhttp = %q\nraft = %q\nbind_http = %q\nbind_raft = %q\ndata = %q\n%s", r.ID, r.AdvertisedAddr(HTTP), r.AdvertisedAddr(Raft),
			r.own[HTTP], r.own[Raft], r.DataDir(), o.Settings)
		for _, p := range all {
			if p != r {
				fmt.Fprintf(&b, "[[peer]]\nid = %q\nhttp = %q\nraft = %q\n", p.ID, p.AdvertisedAddr(HTTP), p.AdvertisedAddr(Raft))
			}
		}
		if err := os.WriteFile(r.config(), []byte(b.String()), 0o600); err != nil {
			return all, fmt.Errorf("settings of replica %s: %w", r.ID, err)
		}
	}
	return all, nil
}

// Own is one of its own addresses, past its links.
func (r *Replica) OwnAddr(n int) string { return r.own[n] }

// Reached is where all others reach it.
func (r *Replica) AdvertisedAddr(n int) string {
	if r.Links[n] != nil {
		return r.Links[n].Addr()
	}
	return r.own[n]
}

// Data is the folder that it keeps.
func (r *Replica) DataDir() string { return filepath.Join(r.Dir, "data") }

func (r *Replica) config() string { return filepath.Join(r.Dir, "directory.toml") }

// Start starts its process, unless it runs.
func (r *Replica) Start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.p != nil {
		select {
		case <-r.p.Done():
		default:
			return nil
		}
	}
	var out io.Writer = r.file
	if r.opts.OutputFilter != nil {
		out = r.opts.OutputFilter(r.file)
	}
	p, err := r.opts.Supervisor.Start(proc.Spec{
		Name: "replica " + r.ID, Command: append(slices.Clone(r.opts.Command), "--config", r.config()),
		Env: []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + r.Dir}, Output: out,
	})
	if err == nil {
		r.p = p
	}
	return err
}

// Process is the present one, or the last.
func (r *Replica) Process() *proc.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.p
}

// Kill ends its process, and returns when it has ended.
func (r *Replica) Kill() error {
	p := r.Process()
	err := p.Signal(syscall.SIGKILL)
	<-p.Done()
	return err
}

// Close ends its links. Its process must have ended with its supervisor.
func (r *Replica) Close() {
	for _, l := range r.Links {
		if l != nil {
			l.Close()
		}
	}
	r.file.Close()
}
