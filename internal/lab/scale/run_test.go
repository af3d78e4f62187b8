package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"starlingusher/fleet/capacity"
	"starlingusher/internal/lab/proc"
	"starlingusher/internal/lab/scale/play"
)

const testTimeout = 30 * time.Second

// TestMain is also the process of a play, or of a whole run, when a test starts this binary as one.
func TestMain(m *testing.M) {
	switch os.Getenv("SCALE_TEST") {
	case "":
		goleak.VerifyTestMain(m)
	case "play":
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		if err := RunPlay(ctx, os.Stdin, os.Stdout, stubAxes, slog.New(slog.DiscardHandler)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	case "run":
		f, err := Parse([]byte(os.Getenv("SCALE_TEST_FILE")), stubAxes)
		if err == nil {
			_, err = Run(context.Background(), f, stubOptions(os.Getenv("SCALE_TEST_DIR"), &testMachine{}))
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(3) // the test should have killed it
	}
}

// Modes of the stub axis.
const (
	modePlain        = iota
	modeInvalid      // the play itself reports that the machine fell short
	modeLimit        // reaches a limit at 20
	modeFail         // fails at 4
	modeHang         // hangs at 4 until it is stopped; not if it has hung before
	modeLeaveProcess // leaves a process running at 4
	modeUndeclared   // reads a figure that the axis does not declare
	modeKilled       // killed by a signal at 4, the first time
)

// stubAxes is an axis for tests. Its plays report their state by files in the folder that SCALE_TEST_MARKS
// names.
var stubAxes = []play.Axis{{
	Name: "stub", Description: "nothing real", XUnit: "thing",
	Measures: []play.Measure{
		{ID: "stub.bytes", Description: "bytes of a thing", Unit: "B", Exact: true},
		{ID: "stub.step", Description: "time of a thing", Unit: "s"},
	},
	Settings: map[string]play.Setting{
		"mode": {Default: modePlain, Min: 0, Max: 9, Description: "what goes wrong"},
		"step": {Default: 10, Min: 0, Max: 1e9, Description: "bytes of a thing"},
	},
	Play: playStub,
}}

func markPath(name string) string { return filepath.Join(os.Getenv("SCALE_TEST_MARKS"), name) }

// mark creates a file atomically, and reports whether it existed before.
func mark(name, text string) (existed bool) {
	if _, err := os.Stat(markPath(name)); err == nil {
		return true
	}
	temporary := markPath(name + ".part")
	if err := errors.Join(os.WriteFile(temporary, []byte(text), 0o600), os.Rename(temporary, markPath(name))); err != nil {
		panic(err)
	}
	return false
}

func playStub(ctx context.Context, s play.Spec, log *slog.Logger) (play.Reading, error) {
	var r play.Reading
	if in, err := os.ReadDir(s.Dir); err != nil || len(in) > 0 {
		return r, fmt.Errorf("the play's folder is not empty: %v, %v", in, err)
	}
	if err := os.WriteFile(filepath.Join(s.Dir, "left"), nil, 0o600); err != nil { // the run has to remove it
		return r, err
	}
	r.SetValue("stub.bytes", 100+s.Settings["step"]*s.X)
	r.SetValue("stub.step", 1+0.001*float64(s.Seed%3))
	r.SetCount("seed", float64(s.Seed))
	switch mode := s.Settings["mode"]; {
	case mode == modeInvalid && s.Seed%2 == 0:
		r.MarkInvalid("test reason")
	case mode == modeLimit && s.X == 20:
		r.AddLimit("a cap of %d", 19)
	case mode == modeUndeclared && s.X == 4:
		r.SetValue("stub.odd", 1)
	case mode == modeFail && s.X == 4:
		return r, errors.New("test failure")
	case mode == modeKilled && s.X == 4:
		if !mark("died", "") {
			syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		}
	case mode == modeHang && s.X == 4:
		sup := proc.NewSupervisor()
		defer sup.Close()
		p, err := sup.Start(proc.Spec{Name: "sleeper", Command: []string{"/bin/sleep", "600"}})
		if err != nil {
			return r, err
		}
		if !mark("hung", fmt.Sprint(os.Getpid(), p.PID())) {
			<-ctx.Done()
			return r, ctx.Err()
		}
	case mode == modeLeaveProcess && s.X == 4:
		cmd := exec.Command("/bin/sleep", "600")
		cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
		if err := cmd.Start(); err != nil {
			return r, err
		}
		mark("left", strconv.Itoa(cmd.Process.Pid))
		for !exists(markPath("seen")) { // created once the run's monitor has seen the process
			select {
			case <-ctx.Done():
				return r, ctx.Err()
			case <-time.After(time.Millisecond):
			}
		}
	}
	return r, nil
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

// testMachine is this machine, but with the CPU times that a test asks for.
type testMachine struct {
	mu         sync.Mutex
	snapshots  int
	others     float64 // share of the cores that other processes take
	own        float64
	extra      []Process // added to the real processes; they do not exist
	available  int64     // 0: enough
	onSnapshot func(Snapshot)
}

func (m *testMachine) Snapshot(root int) (Snapshot, error) {
	s, err := Linux{}.Snapshot(root)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.snapshots++
	total := 1000 * float64(m.snapshots)
	s.CPU, s.OwnTicks = CPUTicks{Total: total, Idle: total * (1 - m.others - m.own)}, total*m.own
	s.AvailableMemory = 4 << 30
	if m.available != 0 && m.snapshots > 1 {
		s.AvailableMemory = m.available
	}
	if m.snapshots > 1 {
		s.Processes = append(s.Processes, m.extra...)
	}
	if m.onSnapshot != nil {
		m.onSnapshot(s)
	}
	return s, err
}

// childEnv returns the environment of this binary as a child. Without GORACE the race detector would delay
// its exit by a second.
func childEnv(more ...string) []string {
	return append(append(os.Environ(), "GORACE=atexit_sleep_ms=0"), more...)
}

func stubOptions(dir string, m Machine) Options {
	return Options{Dir: dir, Command: []string{os.Args[0]}, Env: childEnv("SCALE_TEST=play"), Build: Build{"c0ffee", map[string]string{"a": "1"}}, Machine: m}
}

// stubFile returns a run file of the stub axis in a mode.
func stubFile(t *testing.T, mode int, change ...string) RunFile {
	t.Helper()
	t.Setenv("SCALE_TEST_MARKS", t.TempDir())
	f, err := Parse([]byte(stubText(mode, change...)), stubAxes)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func stubText(mode int, change ...string) string {
	text := fmt.Sprintf("name = \"stub\"\naxis = \"stub\"\npoints = [1, 4, 20]\nplays = 3\nlimit = \"1m\"\n[set]\nmode = %d\n", mode)
	return strings.NewReplacer(change...).Replace(text)
}

func mustRun(t *testing.T, f RunFile, o Options) *Result {
	t.Helper()
	res, err := Run(t.Context(), f, o)
	if err != nil {
		t.Fatal(err)
	}
	if exists(filepath.Join(o.Dir, playDir)) {
		t.Error("the folder of a play was left")
	}
	return res
}

// waitGone waits for the end of processes.
func waitGone(t *testing.T, pids ...int) {
	t.Helper()
	for _, pid := range pids {
		for by := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
			raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
			if err != nil || strings.Contains(string(raw), ") Z ") {
				break // or a zombie that its new parent has not waited for
			}
			if time.Now().After(by) {
				t.Fatalf("process %d was left behind", pid)
			}
		}
	}
}

// waitMark waits for a mark and returns the numbers in it.
func waitMark(t *testing.T, name string) (numbers []int) {
	t.Helper()
	for by := time.Now().Add(testTimeout); !exists(markPath(name)); time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			t.Fatal("no mark: " + name)
		}
	}
	raw, err := os.ReadFile(markPath(name))
	if err != nil {
		t.Fatal(err)
	}
	for _, w := range strings.Fields(string(raw)) {
		n, err := strconv.Atoi(w)
		if err != nil {
			t.Fatal(err)
		}
		numbers = append(numbers, n)
	}
	return numbers
}

func slopeOf(t *testing.T, res *Result, id string) *capacity.Slope {
	t.Helper()
	i := slices.IndexFunc(res.Fits, func(f Fit) bool { return f.ID == id })
	if i < 0 {
		t.Fatal("no figure " + id)
	}
	return res.Fits[i].Slope
}

func TestRun(t *testing.T) {
	f := stubFile(t, modePlain)
	o := stubOptions(t.TempDir(), &testMachine{})
	var progress []Progress
	o.Progress = func(p Progress) { progress = append(progress, p) }
	res := mustRun(t, f, o)
	if !res.Passed || res.Failed+res.Invalid != 0 || len(res.Records) != 9 {
		t.Fatalf("%+v", res)
	}
	s := slopeOf(t, res, "stub.bytes")
	if s == nil || s.Form != Linear || s.LinearCoef < 9.999 || s.LinearCoef > 10.001 || s.From != 1 || s.To != 20 || s.Points != 3 || s.Repeats != 3 || s.Commit != "c0ffee" || s.XUnit != "thing" {
		t.Errorf("slope %+v", s)
	}
	if s = slopeOf(t, res, "stub.step"); s == nil || s.Form != Constant || s.LinearCoef != 0 {
		t.Errorf("slope %+v", s)
	}
	seeds := map[uint64]bool{}
	for _, rec := range res.Records {
		seeds[rec.Seed] = true
		if rec.PeakRSS <= 0 || rec.PeakProcesses < 1 || rec.TookSeconds <= 0 {
			t.Errorf("record %+v", rec)
		}
	}
	if len(seeds) != 9 {
		t.Errorf("the plays had %d seeds", len(seeds))
	}
	if last := progress[len(progress)-1]; last.Done != 8 || last.Total != 9 || !last.RemainingKnown || progress[0].Done != 0 || progress[0].RemainingKnown {
		t.Errorf("progress %+v first and %+v last", progress[0], last)
	}
	// A second run can't start in the same folder.
	if _, err := Run(t.Context(), f, o); !errors.Is(err, os.ErrExist) {
		t.Errorf("a second run in the same folder: %v", err)
	}
	// The result files are complete, and do not contain the path of the run's folder.
	if err := res.Write(o.Dir); err != nil {
		t.Fatal(err)
	}
	table, page, plots := res.Files()
	for name, has := range map[string]string{table: `"form": "linear"`, page: "| `stub.bytes` | B | 110 | 140 | 300 |", plots: "<svg"} {
		raw, err := os.ReadFile(filepath.Join(o.Dir, name))
		if err != nil || !bytes.Contains(raw, []byte(has)) {
			t.Errorf("%s, %v: no %q in\n%.2000s", name, err, has, raw)
		}
		if bytes.Contains(raw, []byte(o.Dir)) {
			t.Errorf("%s contains the path of the run's folder", name)
		}
	}
}

// Plays that the machine or the play itself reports as invalid are listed and not fitted, and a resumed run
// plays them again.
func TestInvalidPlaysAreNotFitted(t *testing.T) {
	t.Run("by the play", func(t *testing.T) {
		f := stubFile(t, modeInvalid)
		res := mustRun(t, f, stubOptions(t.TempDir(), &testMachine{}))
		if res.Invalid != 4 || slopeOf(t, res, "stub.bytes") != nil { // seeds 1 to 9, the even ones are invalid
			t.Errorf("%d invalid, slope %+v", res.Invalid, slopeOf(t, res, "stub.bytes"))
		}
	})
	for name, m := range map[string]*testMachine{
		"others":    {others: 0.3, own: 0.1},
		"full":      {own: 0.99},
		"memory":    {extra: []Process{{PID: -1, RSS: MaxMemory}}},
		"processes": {extra: make([]Process, MaxProcesses)},
		"short":     {available: minAvailableMemory / 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := stubFile(t, modeHang) // stopped when it exceeds a bound; otherwise it would hang
			if name == "others" || name == "full" {
				f = stubFile(t, modePlain)
			}
			o := stubOptions(t.TempDir(), m)
			res := mustRun(t, f, o)
			if res.Invalid == 0 || res.Failed != 0 || slopeOf(t, res, "stub.bytes") != nil {
				t.Errorf("%d invalid, %d failed, slope %+v", res.Invalid, res.Failed, slopeOf(t, res, "stub.bytes"))
			}
			if name == "memory" || name == "processes" || name == "short" {
				if exists(markPath("hung")) {
					waitGone(t, waitMark(t, "hung")...)
				}
			}
			page := res.markdown()
			if !strings.Contains(page, "## Not fitted") || !strings.Contains(page, "invalid: ") {
				t.Errorf("the page does not list invalid plays:\n%s", page)
			}
			// Once the machine is quiet, a resumed run plays it again.
			o.Resume, o.Machine = true, &testMachine{}
			mark("hung", "")
			if res = mustRun(t, f, o); res.Invalid != 0 || slopeOf(t, res, "stub.bytes") == nil {
				t.Errorf("resumed: %d invalid, slope %+v", res.Invalid, slopeOf(t, res, "stub.bytes"))
			}
		})
	}
}

func TestReachedLimitsAreListed(t *testing.T) {
	f := stubFile(t, modeLimit, "[1, 4, 20]", "[1, 2, 4, 20]")
	res := mustRun(t, f, stubOptions(t.TempDir(), &testMachine{}))
	if len(res.Limits) != 1 || res.Limits[0].X != 20 || !slices.Equal(res.Limits[0].Reasons, []string{"a cap of 19"}) {
		t.Errorf("limits %+v", res.Limits)
	}
	if s := slopeOf(t, res, "stub.bytes"); s == nil || s.To != 4 {
		t.Errorf("slope %+v", s)
	}
	if !res.Passed {
		t.Error("a reached limit counts as a failure")
	}
}

// A failed play is recorded with its reason, and the run goes on.
func TestFailedPlays(t *testing.T) {
	for name, c := range map[string]struct {
		mode int
		want string
	}{
		"fault":  {modeFail, "test failure"},
		"figure": {modeUndeclared, "stub.odd"},
		"signal": {modeKilled, "killed"},
		"limit":  {modeHang, "limit of 2s"},
	} {
		t.Run(name, func(t *testing.T) {
			limit := "1m"
			if c.mode == modeHang {
				limit = "2s"
			}
			f := stubFile(t, c.mode, "1m", limit)
			o := stubOptions(t.TempDir(), &testMachine{})
			res := mustRun(t, f, o)
			if res.Passed || res.Failed == 0 || res.Failed > 3 || len(res.Records) != 9 {
				t.Fatalf("%d failed of %d", res.Failed, len(res.Records))
			}
			for _, rec := range res.Records {
				if rec.Failure != "" && (rec.X != 4 || !strings.Contains(rec.Failure, c.want) || len(rec.Reading.Values) > 0) {
					t.Errorf("record %+v", rec)
				}
			}
			if c.mode == modeHang {
				waitGone(t, waitMark(t, "hung")...)
			}
			if c.mode == modeKilled || c.mode == modeHang { // fails only the first time
				o.Resume = true
				if res = mustRun(t, f, o); !res.Passed || res.Failed != 0 || slopeOf(t, res, "stub.bytes") == nil {
					t.Errorf("resumed: %d failed", res.Failed)
				}
			}
		})
	}
}

func TestLeftProcessesAreKilled(t *testing.T) {
	f := stubFile(t, modeLeaveProcess, "plays = 3", "plays = 1")
	m := &testMachine{onSnapshot: func(s Snapshot) {
		if !exists(markPath("left")) || exists(markPath("seen")) {
			return
		}
		pid := waitMark(t, "left")[0]
		if slices.ContainsFunc(s.Processes, func(p Process) bool { return p.PID == pid }) {
			mark("seen", "")
		}
	}}
	res := mustRun(t, f, stubOptions(t.TempDir(), m))
	if res.Failed != 1 || !strings.Contains(res.Records[1].Failure, "left 1 processes running") {
		t.Errorf("%+v", res.Records)
	}
	waitGone(t, waitMark(t, "left")...)
}

// A canceled run leaves no process running, and can be resumed.
func TestCanceledRunIsResumed(t *testing.T) {
	f := stubFile(t, modeHang)
	o := stubOptions(t.TempDir(), &testMachine{})
	ctx, cancel := context.WithCancel(t.Context())
	o.Progress = func(p Progress) {
		if p.X == 4 && exists(markPath("hung")) {
			cancel()
		}
	}
	if _, err := Run(ctx, f, o); !errors.Is(err, context.Canceled) {
		t.Fatalf("Run returned %v", err)
	}
	waitGone(t, waitMark(t, "hung")...)
	if exists(filepath.Join(o.Dir, playDir)) {
		t.Error("the folder of a play was left")
	}
	checkResumed(t, f, o)
}

// When a run is killed, its play and the play's processes end too, and it can be resumed.
func TestKilledRunIsResumed(t *testing.T) {
	f := stubFile(t, modeHang)
	o := stubOptions(t.TempDir(), &testMachine{})
	cmd := exec.Command(os.Args[0])
	cmd.Env = childEnv("SCALE_TEST=run", "SCALE_TEST_FILE="+stubText(modeHang), "SCALE_TEST_DIR="+o.Dir)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	pids := waitMark(t, "hung")
	cmd.Process.Kill()
	cmd.Wait()
	waitGone(t, pids...)
	// It may also have been killed during a write.
	file, err := os.OpenFile(filepath.Join(o.Dir, PointsFile), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	_, err = io.WriteString(file, `{"x":4,"play":0,"read`)
	if err := errors.Join(err, file.Close()); err != nil {
		t.Fatal(err)
	}
	checkResumed(t, f, o)
}

// checkResumed resumes a run that has recorded one play.
func checkResumed(t *testing.T, f RunFile, o Options) {
	t.Helper()
	before, err := os.ReadFile(filepath.Join(o.Dir, PointsFile))
	if err != nil {
		t.Fatal(err)
	}
	complete := before[:bytes.LastIndexByte(before, '\n')+1]
	if n := bytes.Count(complete, []byte("\n")); n != 2 {
		t.Fatalf("%d lines were kept:\n%s", n, before)
	}
	o.Resume = true
	var first *Progress
	o.Progress = func(p Progress) {
		if first == nil {
			first = &p
		}
	}
	res := mustRun(t, f, o)
	if first == nil || first.Done != 1 || first.X != 4 {
		t.Errorf("went on at %+v", first)
	}
	if !res.Passed || len(res.Records) != 9 || slopeOf(t, res, "stub.bytes") == nil {
		t.Errorf("%+v", res)
	}
	after, err := os.ReadFile(filepath.Join(o.Dir, PointsFile))
	if err != nil || !bytes.HasPrefix(after, complete) || bytes.Count(after, []byte("\n")) != 10 {
		t.Errorf("%v, the points are now\n%s", err, after)
	}
}

func TestResumeErrors(t *testing.T) {
	f := stubFile(t, modePlain, "plays = 3", "plays = 1")
	o := stubOptions(t.TempDir(), &testMachine{})
	mustRun(t, f, o)
	path := filepath.Join(o.Dir, PointsFile)
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	o.Resume = true
	mustRefuse := func(name, want string, f RunFile, o Options) {
		t.Helper()
		var r *ResumeError
		if _, err := Run(t.Context(), f, o); !errors.As(err, &r) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	other := o
	other.Build = Build{"c0ffee", map[string]string{"a": "2"}}
	mustRefuse("another build", "another build", f, other)
	mustRefuse("another file", "another text", stubFile(t, modeLimit, "plays = 3", "plays = 1"), o)
	other = o
	other.Dir = t.TempDir()
	mustRefuse("nothing there", "holds no "+PointsFile, f, other)
	corrupt := bytes.Replace(complete, []byte(`"x":4`), []byte(`"x":?`), 1)
	if err := os.WriteFile(path, corrupt, 0o600); err != nil {
		t.Fatal(err)
	}
	mustRefuse("a line in the middle", "line 3 of "+PointsFile+" is invalid", f, o)
	// A run that was killed within its first line starts anew.
	if err := os.WriteFile(path, complete[:20], 0o600); err != nil {
		t.Fatal(err)
	}
	if res := mustRun(t, f, o); len(res.Records) != 3 {
		t.Errorf("%+v", res.Records)
	}
}

func TestExpectations(t *testing.T) {
	const bound = "\n[[expect]]\nid = \"stub.bytes\"\nleast = 100\nmost = 200\n[[expect]]\nid = \"stub.bytes\"\nat = 20\nmost = 300\n"
	f := stubFile(t, modePlain, "plays = 3", "plays = 1", "mode = 0", "mode = 0"+bound)
	// Bounds of bytes are checked on a busy machine too.
	res := mustRun(t, f, stubOptions(t.TempDir(), &testMachine{others: 0.9}))
	var got []bool
	for _, e := range res.Expectations {
		got = append(got, e.Met)
	}
	if res.Passed || !slices.Equal(got, []bool{true, true, false, true}) || res.Invalid != 3 {
		t.Errorf("%+v", res.Expectations)
	}
	// A figure that was not read fails its bound.
	f = stubFile(t, modeFail, "plays = 3", "plays = 1", "mode = 3", "mode = 3"+bound)
	res = mustRun(t, f, stubOptions(t.TempDir(), &testMachine{}))
	if e := res.Expectations[1]; e.Met || !strings.Contains(e.Got, "0 of 1") {
		t.Errorf("%+v", res.Expectations)
	}
}

func TestRunPlayErrors(t *testing.T) {
	spec := func(s play.Spec) string {
		raw, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		return string(raw)
	}
	for name, c := range map[string]struct{ in, want string }{
		"nothing":  {"", "EOF"},
		"unknown":  {`{"axes":"stub"}`, "axes"},
		"axis":     {spec(play.Spec{Axis: "stab"}), `unknown axis "stab"`},
		"settings": {spec(play.Spec{Axis: "stub", Settings: map[string]float64{"mode": 99}}), "mode"},
	} {
		var out bytes.Buffer
		err := RunPlay(t.Context(), strings.NewReader(c.in), &out, stubAxes, slog.New(slog.DiscardHandler))
		if err == nil || !strings.Contains(err.Error(), c.want) || out.Len() > 0 {
			t.Errorf("%s: %v, %q", name, err, out.String())
		}
	}
}

func TestRemainingTime(t *testing.T) {
	r := run{
		records: []Record{{X: 0, TookSeconds: 1}, {X: 10, TookSeconds: 2}, {X: 10, Play: 1, TookSeconds: 4}},
		pending: []Record{{X: 40}, {X: 0, Play: 1}, {X: 10, Play: 2}},
	}
	// The first takes 3 s at 10, doubled for four times the x, less the 2 s that have passed; then 1 s and 3
	// s.
	if got, ok := r.remainingTime(2 * time.Second); !ok || got != 8*time.Second {
		t.Errorf("%v remaining, known: %v", got, ok)
	}
	r.records = nil
	if _, ok := r.remainingTime(0); ok {
		t.Error("an estimate without any record")
	}
}
