package lab

import (
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"starlingusher/fleet/experiment"
	"starlingusher/internal/lab/proc"
	"starlingusher/internal/lab/syscallfault"
	"starlingusher/internal/lab/wallclock"
)

// Faults of the machine that a node runs on: its wall clock, its system calls, and the time that it gets.

const (
	minHoldUp        = 5 * time.Millisecond
	maxHoldUpPause   = 400 * time.Millisecond // between two of them
	crowdConnTime    = 3 * time.Second        // for which a client of a crowd stays
	signalInterval   = 300 * time.Millisecond
	signalsPerSeries = 6
)

// machine is what a node's processes run on.
type machine struct {
	clock *wallclock.Clock // nil if the plan has no steps of it

	mu          sync.Mutex
	random      *rand.Rand
	folder      string
	folderShare float64 // of the calls on the folder that fail
	socketShare float64 // of the calls on sockets that fail
	intercepted bool    // the plan has failing calls
}

// newMachine returns the machine of a node.
func (r *run) newMachine(number int, dir string) (*machine, error) {
	has := func(kinds ...string) bool {
		return slices.ContainsFunc(r.plan.Faults, func(f experiment.FaultPlan) bool {
			return slices.Contains(kinds, f.Kind) && slices.Contains(f.Nodes, number)
		})
	}
	m := &machine{
		random: rand.New(rand.NewPCG(r.plan.Seed, uint64(number))), folder: filepath.Join(dir, "state"), intercepted: has("folder-errors", "socket-errors"),
	}
	if !has("clock-step") {
		return m, nil
	}
	library, err := wallclock.Build(dir)
	if err != nil {
		return nil, err
	}
	m.clock, err = library.NewClock(filepath.Join(dir, "clock"))
	return m, err
}

// prepare returns the command and environment of a process on the machine. The injector is nil if no calls are
// intercepted; socket is to be passed to the process and closed after its start.
func (m *machine) prepare(command, env []string) (newCommand, newEnv []string, socket *os.File, injector *syscallfault.Injector, err error) {
	if m.clock != nil {
		env = append(env, m.clock.Env()...)
	}
	if !m.intercepted {
		return command, env, nil, nil, nil
	}
	starter, err := os.Executable()
	if err != nil {
		return nil, nil, nil, nil, err
	}
	return syscallfault.Prepare(starter, command, env, m.decide)
}

// decide is the plan of the machine's system calls.
func (m *machine) decide(call syscallfault.Call, path string) syscallfault.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	pick := func(share float64, errors []syscall.Errno) syscallfault.Action {
		if m.random.Float64() >= share {
			return syscallfault.Action{}
		}
		return syscallfault.Action{Errno: errors[m.random.IntN(len(errors))]}
	}
	switch call {
	case syscallfault.Open:
		if strings.HasPrefix(path, m.folder) {
			return pick(m.folderShare, syscallfault.FolderErrors)
		}
	case syscallfault.Write:
		action := pick(m.folderShare, syscallfault.FolderErrors)
		action.Half = action.Errno != 0 && m.random.IntN(2) == 0
		return action
	case syscallfault.Truncate, syscallfault.Rename, syscallfault.Remove:
		return pick(m.folderShare, syscallfault.FolderErrors)
	case syscallfault.Accept:
		return pick(m.socketShare, syscallfault.AcceptErrors)
	case syscallfault.Socket:
		return pick(m.socketShare, syscallfault.SocketErrors)
	case syscallfault.Connect:
		return pick(m.socketShare, syscallfault.ConnectErrors)
	}
	return syscallfault.Action{}
}

// setShare sets the share of calls that fail.
func (m *machine) setShare(kind string, share float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if kind == "folder-errors" {
		m.folderShare = share
	} else {
		m.socketShare = share
	}
}

// applyMachineFault starts or ends a fault of a node's machine.
func (r *run) applyMachineFault(fault *experiment.FaultPlan, ends bool) {
	for _, number := range fault.Nodes {
		n := r.nodes[number]
		switch fault.Kind {
		case "folder-errors", "socket-errors":
			share := fault.Size
			if ends {
				share = 0
			}
			n.machine.setShare(fault.Kind, share)
		case "clock-step":
			if !ends {
				r.recordFailure("clock step of "+n.name(), n.machine.clock.Step(time.Duration(fault.Size*float64(time.Second))))
			}
		case "hold-up":
			if !ends {
				r.wg.Go(func() {
					n.holdUp(time.Duration(fault.Size*float64(time.Millisecond)), r.log.WallTime(fault.Until), r.plan.Seed)
				})
			}
		case "crowd":
			if !ends {
				r.wg.Go(func() { r.crowd(number, fault.Size, r.log.WallTime(fault.Until)) })
			}
		}
	}
}

// holdUp stops the node's processes again and again for a short time, until a time.
func (n *node) holdUp(longest time.Duration, until time.Time, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(n.number)))
	for time.Now().Before(until) {
		time.Sleep(time.Duration(random.Int64N(int64(maxHoldUpPause))))
		n.mu.Lock()
		p := n.process
		n.mu.Unlock()
		if p == nil {
			continue
		}
		p.Signal(syscall.SIGSTOP) // a process that has ended is no error
		time.Sleep(minHoldUp + time.Duration(random.Int64N(int64(max(longest-minHoldUp, 1)))))
		p.Signal(syscall.SIGCONT)
	}
}

// crowd connects clients to a node that send nothing, or a part of a request, and stay.
func (r *run) crowd(number int, perSecond float64, until time.Time) {
	var conns sync.WaitGroup
	defer conns.Wait()
	for i := 0; time.Now().Before(until); i++ {
		conns.Go(func() {
			nc, err := net.DialTimeout("tcp", r.addr(number, clientPort), crowdConnTime)
			if err != nil {
				return
			}
			defer nc.Close()
			if i%2 == 0 {
				nc.Write([]byte("*5\r\n$7\r\nENQ"))
			}
			time.Sleep(min(crowdConnTime, max(time.Until(until), 0)))
		})
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
}

// sendSignals sends more signals to a process that has been told to end.
func (n *node) sendSignals(p *proc.Process) error {
	for i := range signalsPerSeries {
		time.Sleep(signalInterval)
		sig := syscall.SIGTERM
		if i%2 == 0 {
			sig = syscall.SIGHUP
		}
		if err := p.Signal(sig); err != nil {
			return err
		}
	}
	return nil
}
