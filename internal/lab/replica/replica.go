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

// HTTP and Raft are the indexes of a replica's two addresses and of the links to them.
const (
	HTTP = iota
	Raft
	addressCount
)

const (
	firstPort    = 8600
	ownAddrByte  = 253 // third byte of the replicas' own addresses
	linkAddrByte = 254 // third byte of the addresses of the links
)

// Options configure replicas.
type Options struct {
	Command      []string // of one replica; `--config FILE` is appended
	Dir          string   // parent of the replicas' directories
	Block        *block.Block
	Supervisor   *proc.Supervisor
	Seed         uint64                   // of the links' random numbers
	Conditions   *relay.Conditions        // of the links; nil: without links
	Settings     string                   // TOML added to each replica's settings
	OutputFilter func(*os.File) io.Writer // wraps the log file of each replica; nil: everything is written to it
}

// Replica is one replica of a directory. Its creator closes it.
type Replica struct {
	ID    string
	Dir   string
	Links [addressCount]*relay.Link // nil without links

	opts     Options
	ownAddrs [addressCount]string
	logFile  *os.File

	mu      sync.Mutex
	process *proc.Process
}

// New creates replicas with their links and settings, and starts none. With an error it returns those created
// before.
func New(count int, o Options) ([]*Replica, error) {
	var all []*Replica
	for i := range count {
		r := &Replica{ID: fmt.Sprint("d", i), Dir: filepath.Join(o.Dir, fmt.Sprint("replica-", i)), opts: o}
		if err := os.MkdirAll(r.Dir, 0o700); err != nil {
			return all, fmt.Errorf("create directory of replica %s: %w", r.ID, err)
		}
		var err error
		if r.logFile, err = os.Create(filepath.Join(r.Dir, "log")); err != nil {
			return all, fmt.Errorf("create log of replica %s: %w", r.ID, err)
		}
		all = append(all, r)
		for n := range r.ownAddrs {
			r.ownAddrs[n] = fmt.Sprintf("%s:%d", o.Block.IP(ownAddrByte, i+1), firstPort+n)
			if o.Conditions == nil {
				continue
			}
			linkAddr := fmt.Sprintf("%s:%d", o.Block.IP(linkAddrByte, i+1), firstPort+n)
			if r.Links[n], err = relay.Listen(linkAddr, o.Seed+uint64(10*i+n), relay.DialTo(r.ownAddrs[n]), func(time.Duration) {}); err != nil {
				return all, err
			}
			r.Links[n].SetConditions(*o.Conditions)
		}
	}
	for _, r := range all {
		var b strings.Builder
		fmt.Fprintf(&b, "id = %q\nhttp = %q\nraft = %q\nbind_http = %q\nbind_raft = %q\ndata = %q\n%s", r.ID, r.AdvertisedAddr(HTTP), r.AdvertisedAddr(Raft),
			r.ownAddrs[HTTP], r.ownAddrs[Raft], r.DataDir(), o.Settings)
		for _, p := range all {
			if p != r {
				fmt.Fprintf(&b, "[[peer]]\nid = %q\nhttp = %q\nraft = %q\n", p.ID, p.AdvertisedAddr(HTTP), p.AdvertisedAddr(Raft))
			}
		}
		if err := os.WriteFile(r.configFile(), []byte(b.String()), 0o600); err != nil {
			return all, fmt.Errorf("write settings of replica %s: %w", r.ID, err)
		}
	}
	return all, nil
}

// OwnAddr returns one of the replica's own addresses, which bypass its links.
func (r *Replica) OwnAddr(n int) string { return r.ownAddrs[n] }

// AdvertisedAddr returns the address at which all others reach the replica.
func (r *Replica) AdvertisedAddr(n int) string {
	if r.Links[n] != nil {
		return r.Links[n].Addr()
	}
	return r.ownAddrs[n]
}

// DataDir returns the replica's data directory.
func (r *Replica) DataDir() string { return filepath.Join(r.Dir, "data") }

func (r *Replica) configFile() string { return filepath.Join(r.Dir, "directory.toml") }

// Start starts the replica's process unless it runs.
func (r *Replica) Start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process != nil {
		select {
		case <-r.process.Done():
		default:
			return nil
		}
	}
	var out io.Writer = r.logFile
	if r.opts.OutputFilter != nil {
		out = r.opts.OutputFilter(r.logFile)
	}
	p, err := r.opts.Supervisor.Start(proc.Spec{
		Name: "replica " + r.ID, Command: append(slices.Clone(r.opts.Command), "--config", r.configFile()),
		Env: []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + r.Dir}, Output: out,
	})
	if err == nil {
		r.process = p
	}
	return err
}

// Process returns the current process, or the last one.
func (r *Replica) Process() *proc.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.process
}

// Kill kills the replica's process and returns when it has ended.
func (r *Replica) Kill() error {
	p := r.Process()
	err := p.Signal(syscall.SIGKILL)
	<-p.Done()
	return err
}

// Close closes the links. The process must have ended with its supervisor.
func (r *Replica) Close() {
	for _, l := range r.Links {
		if l != nil {
			l.Close()
		}
	}
	r.logFile.Close()
}
