package scale

import (
	"math"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
)

func TestParseStat(t *testing.T) {
	// The name of a process may contain any character.
	raw := "77 (a) S 1 (b)) S 42 77 77 0 -1 4194560 100 0 0 0 11 22 33 44 20 0 5 0 9001 1000000 250 18446744073709551615\n"
	s, err := parseStat([]byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	if want := (procStat{parent: 42, cpuTicks: 110, startTicks: 9001, rssPages: 250}); s != want {
		t.Errorf("got %+v, want %+v", s, want)
	}
	if s, err = parseStat([]byte(strings.Replace(raw, "S 42", "Z 42", 1))); err != nil || !s.zombie {
		t.Errorf("got %+v, %v", s, err)
	}
	for _, bad := range []string{"", "77 (x", "77 (x) S 1 2", strings.Replace(raw, " 9001 ", " x ", 1)} {
		if _, err := parseStat([]byte(bad)); err == nil {
			t.Errorf("%q was parsed without an error", bad)
		}
	}
}

func TestCPUShares(t *testing.T) {
	a := Snapshot{CPU: CPUTicks{Total: 1000, Idle: 500, Interrupts: 10, Steal: 5}, OwnTicks: 100}
	b := Snapshot{CPU: CPUTicks{Total: 2000, Idle: 1000, Interrupts: 60, Steal: 55}, OwnTicks: 350}
	got := cpuShares(a, b) // 1000 ticks: 500 idle, 50 in interrupts, 250 own, and 200 of others, 50 of which are steal
	for name, v := range map[string][2]float64{"idle": {got.Idle, 0.5}, "own": {got.Own, 0.25}, "others": {got.Others, 0.2}} {
		if math.Abs(v[0]-v[1]) > 1e-9 {
			t.Errorf("%s %v, want %v", name, v[0], v[1])
		}
	}
	if got := cpuShares(a, a); got.Idle != 1 || got.Others != 0 {
		t.Errorf("shares of no time %+v", got)
	}
}

func TestParseProcFiles(t *testing.T) {
	c, err := parseCPUTicks([]byte("cpu  10 20 30 400 50 6 7 8 9 0\ncpu0 1 2 3\n"))
	if want := (CPUTicks{Total: 531, Idle: 450, Interrupts: 13, Steal: 8}); err != nil || c != want {
		t.Errorf("got %+v, %v, want %+v", c, err, want)
	}
	if _, err := parseCPUTicks([]byte("intr 1\n")); err == nil {
		t.Error("a file without CPU times was parsed without an error")
	}
	if free, err := parseAvailableMemory([]byte("MemTotal: 9 kB\nMemAvailable:   2048 kB\n")); err != nil || free != 2<<20 {
		t.Errorf("%d available, %v", free, err)
	}
	if _, err := parseAvailableMemory([]byte("MemTotal: 9 kB\n")); err == nil {
		t.Error("a file without available memory was parsed without an error")
	}
}

func TestSnapshotHasDescendants(t *testing.T) {
	cmd := exec.Command("/bin/sleep", "600")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	pid := cmd.Process.Pid
	l, err := Linux{}.Snapshot(os.Getpid())
	cmd.Process.Kill()
	cmd.Wait()
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []int{os.Getpid(), pid} {
		if !slices.ContainsFunc(l.Processes, func(p Process) bool { return p.PID == want && p.StartTicks > 0 }) {
			t.Errorf("process %d is not among %v", want, l.Processes)
		}
	}
	if l.RSS() < 1<<20 || l.AvailableMemory <= 0 || l.CPU.Total <= l.CPU.Idle {
		t.Errorf("snapshot %+v", l)
	}
	if _, err := (Linux{}).Snapshot(1 << 30); err == nil {
		t.Error("a snapshot of a missing process succeeded")
	}
}
