package wallclock

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestMain prints the clocks at each line of its input when a test starts this binary as a child.
func TestMain(m *testing.M) {
	if os.Getenv("WALLCLOCK_TEST_CHILD") == "" {
		os.Exit(m.Run())
	}
	started := time.Now()
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		now := time.Now()
		fmt.Println(now.UnixNano(), now.Sub(started).Nanoseconds())
	}
}

// Steps move the wall clock of a running process by their size, and leave its monotonic clock alone.
func TestStepsMoveTheWallClockAlone(t *testing.T) {
	library, err := Build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	clock, err := library.NewClock(filepath.Join(t.TempDir(), "shift"))
	if err != nil {
		t.Fatal(err)
	}
	child := exec.Command(os.Args[0])
	child.Env = append(append(os.Environ(), "WALLCLOCK_TEST_CHILD=1"), clock.Env()...)
	in, err := child.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(out)
	read := func() (wall time.Time, elapsed time.Duration) {
		t.Helper()
		fmt.Fprintln(in)
		if !lines.Scan() {
			t.Fatal("the child has ended")
		}
		fields := strings.Fields(lines.Text())
		ns, err := strconv.ParseInt(fields[0], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		since, err := strconv.ParseInt(fields[1], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return time.Unix(0, ns), time.Duration(since)
	}
	started := time.Now()
	const tolerance = 10 * time.Second // of a busy machine; the steps are larger
	shift := time.Duration(0)
	for _, step := range []time.Duration{0, time.Hour, -2 * time.Hour, -1500 * time.Millisecond, 61 * time.Minute} {
		if err := clock.Step(step); err != nil {
			t.Fatal(err)
		}
		shift += step
		wall, elapsed := read()
		if off := time.Until(wall) - shift; off.Abs() > tolerance {
			t.Errorf("after steps of %v in all the wall clock is %v off", shift, off)
		}
		if elapsed < 0 || elapsed > time.Since(started)+tolerance {
			t.Errorf("after steps of %v in all the monotonic clock says %v since the start", shift, elapsed)
		}
	}
	in.Close()
	if err := child.Wait(); err != nil {
		t.Error(err)
	}
}
