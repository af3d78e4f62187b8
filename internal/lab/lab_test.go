package lab

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"starlingusher/fleet/experiment"
	"starlingusher/fleet/history"
	"starlingusher/fleet/judge"
	"starlingusher/internal/lab/syscallfault"
)

// TestMain runs a sender when a test starts this binary as a node.
func TestMain(m *testing.M) {
	syscallfault.RunStarter()
	if fault, ok := os.LookupEnv("LAB_TEST_SENDER"); ok {
		if err := runSender(fault); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	goleak.VerifyTestMain(m)
}

const baseExperiment = `
name = "sender"
length = "2500ms"
settle = "2500ms"
[fleet]
nodes = 2
least_slots = 8
[load]
rate = 30
[network]
same = "1ms"
cross = "2ms"
[discovery]
delay = "50ms..100ms"
[[class]]
name = "notice"
share = 0.3
aim = "500ms"
deadline = "1500ms"
worth = 2
effect = "safe"
[[class]]
name = "order"
share = 0.3
aim = "500ms"
deadline = "1500ms"
worth = 1
effect = "keyed"
window = "400ms"
[[class]]
name = "payout"
share = 0.4
aim = "500ms"
deadline = "1500ms"
worth = 5
effect = "unsafe"
[[partner]]
kind = "hook"
count = 2
endpoints = 1
pace = "10ms"
spread = 0
limit = "none"
tells_wait = 1
`

func drawPlan(t *testing.T, text string) experiment.Plan {
	t.Helper()
	f, err := experiment.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return f.DrawPlan(1, 0)
}

func senderOptions(t *testing.T, fault string) Options {
	return Options{Command: []string{os.Args[0]}, Env: []string{"LAB_TEST_SENDER=" + fault}, Dir: t.TempDir()}
}

// Faults that the sender is run with.
const (
	lossyFault   = "[[fault]]\nkind = \"lossy\"\nat = \"500ms\"\nfor = \"1s\"\n"
	shutFault    = "[[fault]]\nkind = \"shut\"\nat = \"500ms\"\nfor = \"1500ms\"\n"
	downFault    = "[[fault]]\nkind = \"down\"\nat = \"300ms\"\nfor = \"500ms\"\n"
	replaceFault = "[[fault]]\nkind = \"replace\"\nat = \"100ms\"\nsize = 1.5\n"
	slowFault    = "[[fault]]\nkind = \"slow\"\nat = \"500ms\"\nfor = \"1s\"\nsize = 20\n"
)

// The judge finds the violation of each rule by a faulty sender, from outside and over sockets.
func TestJudgeFindsViolations(t *testing.T) {
	silentWait := strings.Replace(baseExperiment, "tells_wait = 1", "tells_wait = 0", 1)
	for _, test := range []struct {
		fault judge.Rule
		text  string
	}{
		{judge.OneFinalAnswer, baseExperiment},
		{judge.NothingAfterEnd, baseExperiment},
		{judge.OneAttemptAtATime, baseExperiment},
		{judge.AtMostOnce, baseExperiment + lossyFault},
		{judge.KeyWindow, baseExperiment + lossyFault},
		{judge.Drain, baseExperiment + replaceFault},
		{judge.RetryAfter, baseExperiment + shutFault},
		{judge.SlowStart, baseExperiment + downFault},
		{judge.MaxAttempts, silentWait + shutFault},
		{judge.Slots, baseExperiment + slowFault},
		{judge.WrongPartner, baseExperiment},
		{judge.AnswerGiven, baseExperiment},
		{judge.Alive, baseExperiment},
	} {
		t.Run("fault "+string(test.fault), func(t *testing.T) {
			t.Parallel()
			res, err := RunPlan(context.Background(), drawPlan(t, test.text), senderOptions(t, string(test.fault)))
			if err != nil {
				t.Fatal(err)
			}
			if res.EventCounts[string(history.Submitted)] < 30 {
				t.Fatalf("too few messages were submitted: %v", res.EventCounts)
			}
			found := slices.ContainsFunc(res.Violations, func(b judge.Violation) bool { return b.Rule == test.fault })
			if !found {
				t.Errorf("no violation of %s found among %v", test.fault, res.Violations)
			}
		})
	}
}

// The judge finds nothing in a sender without a fault. One run at a time: with several, the sender's own
// lateness causes violations.
func TestNoViolations(t *testing.T) {
	for name, faults := range map[string]string{"lossy, replaced": lossyFault + replaceFault, "shut": shutFault, "cold, slow": downFault + slowFault} {
		t.Run(name, func(t *testing.T) {
			res, err := RunPlan(context.Background(), drawPlan(t, baseExperiment+faults), senderOptions(t, ""))
			if err != nil {
				t.Fatal(err)
			}
			if len(res.InvalidReasons) > 0 {
				t.Skipf("this machine is too busy for a valid run: %v", res.InvalidReasons)
			}
			if len(res.Violations) > 0 {
				t.Errorf("violations found in a sender without a fault: %v", res.Violations)
			}
		})
	}
}

// A run that is canceled, and a node that does not start, leave nothing behind and report why. TestMain
// checks that no goroutine is left; RunPlan ends all processes.
func TestRunEndedEarly(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	opts := senderOptions(t, "")
	enough := errors.New("enough")
	opts.Progress = func(p Progress) {
		if p.Elapsed > 0 {
			cancel(enough)
		}
	}
	if _, err := RunPlan(ctx, drawPlan(t, baseExperiment), opts); !errors.Is(err, enough) {
		t.Errorf("got %v", err)
	}
	opts = senderOptions(t, "")
	opts.Command = []string{"/bin/false"}
	if _, err := RunPlan(context.Background(), drawPlan(t, baseExperiment), opts); err == nil || !strings.Contains(err.Error(), "exit code 1") {
		t.Errorf("got %v", err)
	}
}

// The results of a run can be written, read and reported.
func TestWriteReadAndReportResults(t *testing.T) {
	res, err := RunPlan(context.Background(), drawPlan(t, strings.Replace(baseExperiment, "2500ms", "1s", 1)), senderOptions(t, "one-end"))
	if err != nil {
		t.Fatal(err)
	}
	if res.Passed {
		t.Error("a run with violations passed")
	}
	dir := t.TempDir()
	if err := res.Write(dir); err != nil {
		t.Fatal(err)
	}
	got, err := ReadResult(dir)
	if err != nil {
		t.Fatal(err)
	}
	events, err := ReadEvents(dir)
	if err != nil {
		t.Fatal(err)
	}
	if len(events) != len(res.Events) || len(got.Violations) != len(res.Violations) || got.Tally.All != res.Tally.All {
		t.Errorf("read %d events of %d, %d violations of %d", len(events), len(res.Events), len(got.Violations), len(res.Violations))
	}
	path, err := WriteReport(dir, got)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"# sender, seed 1", "not met", "one-end", "service.svg", "calls.svg", "| payout |"} {
		if !strings.Contains(string(page), want) {
			t.Errorf("the report lacks %q", want)
		}
	}
	for _, svg := range []string{"service.svg", "calls.svg"} {
		if info, err := os.Stat(filepath.Join(dir, svg)); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", svg, err)
		}
	}
	if _, err := ReadResult(t.TempDir()); err == nil || !strings.Contains(err.Error(), "--out") {
		t.Errorf("reading a directory without results: %v", err)
	}
}

func TestPairedDifference(t *testing.T) {
	same := pairedDifference("x", []float64{1, 2, 3}, []float64{1, 2, 3}, []float64{0, 0, 0})
	more := pairedDifference("x", []float64{1, 2, 3}, []float64{2, 3.1, 3.9}, []float64{1, 1.1, 0.9})
	noise := pairedDifference("x", []float64{1, 2, 3}, []float64{2, 1, 3}, []float64{1, -1, 0})
	if same.Verdict != "the same" || more.Verdict != "B is more" || !strings.Contains(noise.Verdict, "within the spread") {
		t.Errorf("got %+v, %+v, %+v", same, more, noise)
	}
	// Student's t for two degrees of freedom is 4.303; the standard deviation of the differences is 0.1.
	if want := 1 - 4.303*0.1/1.7321; more.Low < want-0.001 || more.Low > want+0.001 {
		t.Errorf("the interval begins at %v, want %v", more.Low, want)
	}
}

// A run in which the lab itself was too late is invalid, and fails.
func TestLateLabInvalidatesResult(t *testing.T) {
	res := &Result{}
	res.Lateness.P99 = 50 * time.Millisecond
	f, err := experiment.Parse([]byte(baseExperiment))
	if err != nil {
		t.Fatal(err)
	}
	res.checkExpectations(f.Expect)
	if res.Passed || len(res.InvalidReasons) != 1 || !strings.Contains(res.InvalidReasons[0], "its own lateness") {
		t.Errorf("got %+v", res)
	}
}
