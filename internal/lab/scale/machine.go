package scale

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strconv"
)

// Machine tells how much of this machine is used, and by whom.
type Machine interface {
	// Look reads the state of the machine and of a process with all that come from it.
	Snapshot(root int) (Snapshot, error)
}

// Look is the machine at one moment.
type Snapshot struct {
	CPU             CPUTicks  // of all cores, since the machine began
	AvailableMemory int64     // bytes that can be had without swapping
	Processes       []Process // the process, and what it started, and what that started
	OwnTicks        float64   // ticks that the tree has used, and those of it that have ended and were waited for
}

// Ticks are times in the kernel's unit, since some beginning.
type CPUTicks struct {
	Total, Idle, Interrupts, Steal float64
}

// Proc is one process.
type Process struct {
	PID        int
	StartTicks uint64 // ticks since the machine began: the same number may come again for another process
	RSS        int64  // bytes; what several share is counted for each
}

// RSS is the memory of the whole tree. Pages that several share are counted for each: it's an upper bound.
func (l Snapshot) RSS() (sum int64) {
	for _, p := range l.Processes {
		sum += p.RSS
	}
	return sum
}

// Linux is this machine, by its /proc.
type Linux struct{}

// Look reads /proc.
func (Linux) Snapshot(root int) (Snapshot, error) {
	var l Snapshot
	raw, err := os.ReadFile("/proc/stat")
	if err != nil {
		return l, fmt.Errorf("machine: %w", err)
	}
	if l.CPU, err = parseCPUTicks(raw); err != nil {
		return l, err
	}
	if raw, err = os.ReadFile("/proc/meminfo"); err != nil {
		return l, fmt.Errorf("machine: %w", err)
	}
	if l.AvailableMemory, err = parseAvailableMemory(raw); err != nil {
		return l, err
	}
	dir, err := os.Open("/proc")
	if err != nil {
		return l, fmt.Errorf("machine: %w", err)
	}
	names, err := dir.Readdirnames(-1)
	dir.Close()
	if err != nil {
		return l, fmt.Errorf("machine: %w", err)
	}
	all := map[int]procStat{}
	children := map[int][]int{}
	for _, name := range names {
		pid, err := strconv.Atoi(name)
		if err != nil {
			continue // not a process
		}
		raw, err := os.ReadFile("/proc/" + name + "/stat")
		if errors.Is(err, fs.ErrNotExist) || err != nil { // it has just ended
			continue
		}
		s, err := parseStat(raw)
		if err != nil {
			return l, fmt.Errorf("process %d: %w", pid, err)
		}
		all[pid] = s
		children[s.parent] = append(children[s.parent], pid)
	}
	if _, ok := all[root]; !ok {
		return l, fmt.Errorf("machine: there is no process %d", root)
	}
	for open := []int{root}; len(open) > 0; {
		pid := open[len(open)-1]
		open = append(open[:len(open)-1], children[pid]...)
		s := all[pid]
		l.OwnTicks += s.cpuTicks
		if !s.zombie {
			l.Processes = append(l.Processes, Process{PID: pid, StartTicks: s.startTicks, RSS: s.rssPages * int64(os.Getpagesize())})
		}
	}
	return l, nil
}

// stat is what /proc/PID/stat tells.
type procStat struct {
	parent     int
	cpuTicks   float64 // ticks, with the children's that were waited for
	startTicks uint64
	rssPages   int64
	zombie     bool // and not waited for
}

func parseStat(raw []byte) (procStat, error) {
	var s procStat
	i := bytes.LastIndexByte(raw, ')') // the name before it may hold anything
	if i < 0 {
		return s, errors.New("no name in its stat")
	}
	f := bytes.Fields(raw[i+1:]) // from the third field on, the state
	if len(f) < 22 {
		return s, fmt.Errorf("%d fields in its stat", len(f))
	}
	s.zombie = f[0][0] == 'Z' || f[0][0] == 'X'
	var err error
	num := func(i int) uint64 {
		n, e := strconv.ParseInt(string(f[i]), 10, 64)
		err = errors.Join(err, e)
		return uint64(n)
	}
	s.parent = int(num(1))
	s.cpuTicks = float64(num(11) + num(12) + num(13) + num(14)) // utime, stime, cutime, cstime
	s.startTicks, s.rssPages = num(19), int64(num(21))
	return s, err
}

func parseCPUTicks(raw []byte) (CPUTicks, error) {
	line, _, _ := bytes.Cut(raw, []byte("\n"))
	f := bytes.Fields(line)
	if len(f) < 9 || string(f[0]) != "cpu" {
		return CPUTicks{}, fmt.Errorf("machine: no cpu line in /proc/stat: %q", line)
	}
	var v [8]float64 // user, nice, system, idle, iowait, irq, softirq, steal; guests are within user
	var t CPUTicks
	for i := range v {
		var err error
		if v[i], err = strconv.ParseFloat(string(f[i+1]), 64); err != nil {
			return t, fmt.Errorf("machine: /proc/stat: %w", err)
		}
		t.Total += v[i]
	}
	t.Idle, t.Interrupts, t.Steal = v[3]+v[4], v[5]+v[6], v[7]
	return t, nil
}

func parseAvailableMemory(raw []byte) (int64, error) {
	for line := range bytes.Lines(raw) {
		if rest, ok := bytes.CutPrefix(line, []byte("MemAvailable:")); ok {
			f := bytes.Fields(rest)
			if len(f) == 0 {
				break
			}
			kb, err := strconv.ParseInt(string(f[0]), 10, 64)
			return kb << 10, err
		}
	}
	return 0, errors.New("machine: no MemAvailable in /proc/meminfo")
}

// Shares are parts of all cores over a time, from 0 to 1.
type CPUShares struct {
	Idle   float64 `json:"idle"`
	Own    float64 `json:"own"`    // of the run's processes
	Others float64 `json:"others"` // of other processes, and what the host took away
}

// shares compares two looks.
func cpuShares(a, b Snapshot) CPUShares {
	all := b.CPU.Total - a.CPU.Total
	if all <= 0 {
		return CPUShares{Idle: 1}
	}
	part := func(x float64) float64 { return min(1, max(0, x/all)) }
	s := CPUShares{Idle: part(b.CPU.Idle - a.CPU.Idle), Own: part(b.OwnTicks - a.OwnTicks)}
	// Time in interrupts is nobody's: the run's own packets make most of it.
	s.Others = part(all - (b.CPU.Idle - a.CPU.Idle) - (b.CPU.Interrupts - a.CPU.Interrupts) - (b.OwnTicks - a.OwnTicks))
	return s
}

// What a play is held to.
const (
	MaxMemory          = 12 << 30 // bytes of all the run's processes; past it a play is ended
	MaxProcesses       = 300      // the same
	minAvailableMemory = 1 << 30  // bytes; with less the machine is short of memory
	maxOthersShare     = 0.10     // of the cores; with more, others spoil the play
	othersTickError    = 5        // ticks by which the others' may be off, which counts in short plays
	minIdleShare       = 0.03     // of the cores; with less they were full
)
