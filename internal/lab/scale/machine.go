package scale

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strconv"
)

// Machine reads how much of a machine's resources is used, and by whom.
type Machine interface {
	// Snapshot reads the state of the machine, and of a process with all its descendants.
	Snapshot(root int) (Snapshot, error)
}

// Snapshot is the state of the machine at one moment.
type Snapshot struct {
	CPU             CPUTicks  // of all cores, since boot
	AvailableMemory int64     // in bytes, without swapping
	Processes       []Process // the root process and its descendants
	OwnTicks        float64   // CPU time of the processes, and of their children that have ended and were waited for
}

// CPUTicks are CPU times since boot, in the kernel's clock ticks.
type CPUTicks struct {
	Total, Idle, Interrupts, Steal float64
}

// Process is one running process.
type Process struct {
	PID        int
	StartTicks uint64 // ticks from boot to its start; distinguishes it from a later process with the same PID
	RSS        int64  // in bytes
}

// RSS returns the resident memory of all processes. It is an upper bound, as it counts a page that several
// share for each of them.
func (s Snapshot) RSS() (sum int64) {
	for _, p := range s.Processes {
		sum += p.RSS
	}
	return sum
}

// Linux reads the /proc of this machine.
type Linux struct{}

// Snapshot implements Machine.
func (Linux) Snapshot(root int) (Snapshot, error) {
	var snapshot Snapshot
	raw, err := os.ReadFile("/proc/stat")
	if err != nil {
		return snapshot, fmt.Errorf("machine: %w", err)
	}
	if snapshot.CPU, err = parseCPUTicks(raw); err != nil {
		return snapshot, err
	}
	if raw, err = os.ReadFile("/proc/meminfo"); err != nil {
		return snapshot, fmt.Errorf("machine: %w", err)
	}
	if snapshot.AvailableMemory, err = parseAvailableMemory(raw); err != nil {
		return snapshot, err
	}
	dir, err := os.Open("/proc")
	if err != nil {
		return snapshot, fmt.Errorf("machine: %w", err)
	}
	names, err := dir.Readdirnames(-1)
	dir.Close()
	if err != nil {
		return snapshot, fmt.Errorf("machine: %w", err)
	}
	stats := map[int]procStat{}
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
			return snapshot, fmt.Errorf("process %d: %w", pid, err)
		}
		stats[pid] = s
		children[s.parent] = append(children[s.parent], pid)
	}
	if _, ok := stats[root]; !ok {
		return snapshot, fmt.Errorf("machine: no process %d", root)
	}
	for todo := []int{root}; len(todo) > 0; {
		pid := todo[len(todo)-1]
		todo = append(todo[:len(todo)-1], children[pid]...)
		s := stats[pid]
		snapshot.OwnTicks += s.cpuTicks
		if !s.zombie {
			snapshot.Processes = append(snapshot.Processes, Process{PID: pid, StartTicks: s.startTicks, RSS: s.rssPages * int64(os.Getpagesize())})
		}
	}
	return snapshot, nil
}

// procStat holds fields of /proc/PID/stat.
type procStat struct {
	parent     int
	cpuTicks   float64 // CPU time, with that of the children waited for
	startTicks uint64
	rssPages   int64
	zombie     bool // has ended and was not waited for
}

func parseStat(raw []byte) (procStat, error) {
	var s procStat
	i := bytes.LastIndexByte(raw, ')') // the name before it may hold any character
	if i < 0 {
		return s, errors.New("stat has no process name")
	}
	fields := bytes.Fields(raw[i+1:]) // from the third field on, the state
	if len(fields) < 22 {
		return s, fmt.Errorf("stat has only %d fields", len(fields))
	}
	s.zombie = fields[0][0] == 'Z' || fields[0][0] == 'X'
	var err error
	field := func(i int) uint64 {
		n, e := strconv.ParseInt(string(fields[i]), 10, 64)
		err = errors.Join(err, e)
		return uint64(n)
	}
	s.parent = int(field(1))
	s.cpuTicks = float64(field(11) + field(12) + field(13) + field(14)) // utime, stime, cutime, cstime
	s.startTicks, s.rssPages = field(19), int64(field(21))
	return s, err
}

func parseCPUTicks(raw []byte) (CPUTicks, error) {
	line, _, _ := bytes.Cut(raw, []byte("\n"))
	fields := bytes.Fields(line)
	if len(fields) < 9 || string(fields[0]) != "cpu" {
		return CPUTicks{}, fmt.Errorf("machine: no cpu line in /proc/stat: %q", line)
	}
	var v [8]float64 // user, nice, system, idle, iowait, irq, softirq, steal; user includes the time of guests
	var t CPUTicks
	for i := range v {
		var err error
		if v[i], err = strconv.ParseFloat(string(fields[i+1]), 64); err != nil {
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
			fields := bytes.Fields(rest)
			if len(fields) == 0 {
				break
			}
			kb, err := strconv.ParseInt(string(fields[0]), 10, 64)
			return kb << 10, err
		}
	}
	return 0, errors.New("machine: no MemAvailable in /proc/meminfo")
}

// CPUShares are shares of the time of all cores between two snapshots, from 0 to 1.
type CPUShares struct {
	Idle   float64 `json:"idle"`
	Own    float64 `json:"own"`    // of the run's processes
	Others float64 `json:"others"` // of other processes, and time that the host took away (steal)
}

// cpuShares returns the shares of the time between two snapshots.
func cpuShares(before, after Snapshot) CPUShares {
	total := after.CPU.Total - before.CPU.Total
	if total <= 0 {
		return CPUShares{Idle: 1}
	}
	share := func(x float64) float64 { return min(1, max(0, x/total)) }
	s := CPUShares{Idle: share(after.CPU.Idle - before.CPU.Idle), Own: share(after.OwnTicks - before.OwnTicks)}
	// Interrupts count for nobody: most of them are due to the run's own packets.
	s.Others = share(total - (after.CPU.Idle - before.CPU.Idle) - (after.CPU.Interrupts - before.CPU.Interrupts) - (after.OwnTicks - before.OwnTicks))
	return s
}

// Bounds of a play's use of the machine.
const (
	MaxMemory          = 12 << 30 // bytes of all processes of the run; above it a play is stopped
	MaxProcesses       = 300      // processes of the run; above it a play is stopped
	minAvailableMemory = 1 << 30  // bytes; with less the machine is short of memory
	maxOthersShare     = 0.10     // share of the cores; with more, other processes disturb the play
	othersTickError    = 5        // rounding error of the others' ticks; it matters in short plays
	minIdleShare       = 0.03     // share of the cores; with less the machine was saturated
)
