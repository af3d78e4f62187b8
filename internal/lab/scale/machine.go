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
	Look(root int) (Look, error)
}

// Look is the machine at one moment.
type Look struct {
	Cores Ticks   // of all cores, since the machine began
	Free  int64   // bytes that can be had without swapping
	Tree  []Proc  // the process, and what it started, and what that started
	Own   float64 // ticks that the tree has used, and those of it that have ended and were waited for
}

// Ticks are times in the kernel's unit, since some beginning.
type Ticks struct {
	All, Idle, Interrupts, Steal float64
}

// Proc is one process.
type Proc struct {
	PID   int
	Began uint64 // ticks since the machine began: the same number may come again for another process
	RSS   int64  // bytes; what several share is counted for each
}

// RSS is the memory of the whole tree. Pages that several share are counted for each: it's an upper bound.
func (l Look) RSS() (sum int64) {
	for _, p := range l.Tree {
		sum += p.RSS
	}
	return sum
}

// Linux is this machine, by its /proc.
type Linux struct{}

// Look reads /proc.
func (Linux) Look(root int) (Look, error) {
	var l Look
	raw, err := os.ReadFile("/proc/stat")
	if err != nil {
		return l, fmt.Errorf("machine: %w", err)
	}
	if l.Cores, err = parseCores(raw); err != nil {
		return l, err
	}
	if raw, err = os.ReadFile("/proc/meminfo"); err != nil {
		return l, fmt.Errorf("machine: %w", err)
	}
	if l.Free, err = parseFree(raw); err != nil {
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
	all := map[int]stat{}
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
		l.Own += s.used
		if !s.ended {
			l.Tree = append(l.Tree, Proc{PID: pid, Began: s.began, RSS: s.pages * int64(os.Getpagesize())})
		}
	}
	return l, nil
}

// stat is what /proc/PID/stat tells.
type stat struct {
	parent int
	used   float64 // ticks, with the children's that were waited for
	began  uint64
	pages  int64
	ended  bool // and not waited for
}

func parseStat(raw []byte) (stat, error) {
	var s stat
	i := bytes.LastIndexByte(raw, ')') // the name before it may hold anything
	if i < 0 {
		return s, errors.New("no name in its stat")
	}
	f := bytes.Fields(raw[i+1:]) // from the third field on, the state
	if len(f) < 22 {
		return s, fmt.Errorf("%d fields in its stat", len(f))
	}
	s.ended = f[0][0] == 'Z' || f[0][0] == 'X'
	var err error
	num := func(i int) uint64 {
		n, e := strconv.ParseInt(string(f[i]), 10, 64)
		err = errors.Join(err, e)
		return uint64(n)
	}
	s.parent = int(num(1))
	s.used = float64(num(11) + num(12) + num(13) + num(14)) // utime, stime, cutime, cstime
	s.began, s.pages = num(19), int64(num(21))
	return s, err
}

func parseCores(raw []byte) (Ticks, error) {
	line, _, _ := bytes.Cut(raw, []byte("\n"))
	f := bytes.Fields(line)
	if len(f) < 9 || string(f[0]) != "cpu" {
		return Ticks{}, fmt.Errorf("machine: no cpu line in /proc/stat: %q", line)
	}
	var v [8]float64 // user, nice, system, idle, iowait, irq, softirq, steal; guests are within user
	var t Ticks
	for i := range v {
		var err error
		if v[i], err = strconv.ParseFloat(string(f[i+1]), 64); err != nil {
			return t, fmt.Errorf("machine: /proc/stat: %w", err)
		}
		t.All += v[i]
	}
	t.Idle, t.Interrupts, t.Steal = v[3]+v[4], v[5]+v[6], v[7]
	return t, nil
}

func parseFree(raw []byte) (int64, error) {
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
type Shares struct {
	Idle   float64 `json:"idle"`
	Own    float64 `json:"own"`    // of the run's processes
	Others float64 `json:"others"` // of other processes, and what the host took away
}

// shares compares two looks.
func shares(a, b Look) Shares {
	all := b.Cores.All - a.Cores.All
	if all <= 0 {
		return Shares{Idle: 1}
	}
	part := func(x float64) float64 { return min(1, max(0, x/all)) }
	s := Shares{Idle: part(b.Cores.Idle - a.Cores.Idle), Own: part(b.Own - a.Own)}
	// Time in interrupts is nobody's: the run's own packets make most of it.
	s.Others = part(all - (b.Cores.Idle - a.Cores.Idle) - (b.Cores.Interrupts - a.Cores.Interrupts) - (b.Own - a.Own))
	return s
}

// What a play is held to.
const (
	MostMemory    = 12 << 30 // bytes of all the run's processes; past it a play is ended
	MostProcesses = 300      // the same
	leastFree     = 1 << 30  // bytes; with less the machine is short of memory
	mostOthers    = 0.10     // of the cores; with more, others spoil the play
	rounding      = 5        // ticks by which the others' may be off, which counts in short plays
	leastIdle     = 0.03     // of the cores; with less they were full
)
