package burden

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"starlingusher/choice"
	"starlingusher/internal/lab/scale/play"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newSpec returns the spec of a play with the axis' defaults and the given settings.
func newSpec(t *testing.T, a play.Axis, x float64, seed uint64, set map[string]float64) play.Spec {
	t.Helper()
	all, err := a.FillSettings(set)
	if err != nil {
		t.Fatal(err)
	}
	return play.Spec{Axis: a.Name, X: x, Seed: seed, Dir: t.TempDir(), Settings: all}
}

func mustPlay(t *testing.T, a play.Axis, s play.Spec) play.Reading {
	t.Helper()
	r, err := a.Play(t.Context(), s, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	for id := range r.Values {
		if _, ok := a.FindMeasure(id); !ok {
			t.Errorf("figure %s is not declared by the axis", id)
		}
	}
	if len(r.Invalid) > 0 {
		t.Errorf("invalid: %v", r.Invalid)
	}
	return r
}

func TestModuleHoldsUndeliverableMessages(t *testing.T) {
	a := heldAxis()
	for _, n := range []float64{7, 500, 4000} {
		r := mustPlay(t, a, newSpec(t, a, n, 1, map[string]float64{"journal_most": 0, "destinations": 20}))
		if want := min(n, 20); r.Counts["module_calls"] != want { // one to each destination, which answered with a retry-after
			t.Errorf("%v messages: %v calls, want %v", n, r.Counts["module_calls"], want)
		}
		ids := []string{"module.held.step", "module.held.wake"}
		if n > 20 {
			ids = append(ids, "module.held.heap")
		}
		if got := slices.Sorted(maps.Keys(r.Values)); !slices.Equal(got, slices.Sorted(slices.Values(ids))) {
			t.Errorf("%v messages: figures %v", n, got)
		}
		for id, v := range r.Values {
			if v <= 0 {
				t.Errorf("%v messages: %s is %v", n, id, v)
			}
		}
		if r.Counts["module_steps"] < minTimedSteps {
			t.Errorf("%v steps timed", r.Counts["module_steps"])
		}
	}
}

// fakeModule probes one endpoint every second, and at each message calls one endpoint that is down and one
// that is up.
type fakeModule struct {
	nextWake time.Duration
	outcomes map[string]int // number by kind
}

func (m *fakeModule) Step(now time.Duration, events []choice.Event) (actions []choice.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case choice.MessageArrived:
			actions = append(actions, choice.Send{ID: e.ID, Endpoint: endpointID(0), TimeoutAt: now + time.Second},
				choice.Send{ID: e.ID, Endpoint: endpointID(2), TimeoutAt: now + time.Second})
		case choice.ProbeEnded:
			if e.Outcome == choice.TimedOut {
				m.outcomes["probe failed"]++
			}
		case choice.AttemptEnded:
			switch e.Outcome {
			case choice.Unreachable:
				m.outcomes["refused"]++
			case choice.TimedOut:
				m.outcomes["silent"]++
				actions = append(actions, choice.Cancel{ID: e.ID, Attempt: e.Attempt}) // no effect: the call has ended
			case choice.Success:
				m.outcomes["passed"]++
			case choice.Canceled:
				m.outcomes["undone"]++
			}
		}
	}
	if now >= m.nextWake {
		m.nextWake = now + time.Second
		actions = append(actions, choice.Probe{Endpoint: endpointID(0)}, choice.Wake{At: m.nextWake})
	}
	return actions
}

// Of three destinations the first two are down: the first does not answer, the second refuses connections.
// The expected numbers: 20 messages arrive at 0, 0.5, ... 9.5 s, each with one call to the first destination
// and one to the third, and probes are sent at 0, 1, ... 9 s. The two calls of the last second to the first
// destination have not timed out at the end. A probe takes 1.5 s, so the one sent after 8.5 s has not failed
// yet.
func TestCallsToDownDestinationsAreCounted(t *testing.T) {
	module := &fakeModule{outcomes: map[string]int{}}
	sim := newSimulation(module, 3, 2, 0.5, 1)
	sim.interval, sim.messageTTL = 500*time.Millisecond, time.Minute
	module.nextWake = sim.now
	if err := sim.run(t.Context(), 10*time.Second); err != nil {
		t.Fatal(err)
	}
	if want := (counts{probes: 10, calls: 40, callsDown: 20, arrivals: 20, delivered: 20}); sim.count != want {
		t.Errorf("counted %+v, want %+v", sim.count, want)
	}
	// The third destination answers in 40 ms, so the answer to the message of 9.5 s has come.
	if want := map[string]int{"silent": 18, "passed": 20, "probe failed": 9}; !maps.Equal(module.outcomes, want) {
		t.Errorf("outcomes %v, want %v", module.outcomes, want)
	}
}

// A canceled call ends once, as canceled.
func TestCanceledCallEndsOnce(t *testing.T) {
	sim := newSimulation(nil, 1, 0, 0, 1)
	var got []choice.Outcome
	sim.module = stepFunc(func(now time.Duration, events []choice.Event) []choice.Action {
		for _, e := range events {
			switch e := e.(type) {
			case choice.MessageArrived:
				return []choice.Action{choice.Send{ID: e.ID, Endpoint: endpointID(0), TimeoutAt: now + time.Second}, choice.Cancel{ID: e.ID}}
			case choice.AttemptEnded:
				got = append(got, e.Outcome)
			}
		}
		return nil
	})
	sim.interval = time.Hour
	if err := sim.run(t.Context(), time.Minute); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(got, []choice.Outcome{choice.Canceled}) {
		t.Errorf("call ended as %v", got)
	}
}

type stepFunc func(time.Duration, []choice.Event) []choice.Action

func (f stepFunc) Step(now time.Duration, events []choice.Event) []choice.Action {
	return f(now, events)
}

func TestDownCountsDependOnSeedOnly(t *testing.T) {
	a := downAxis()
	set := map[string]float64{"destinations": 60, "rate": 30, "warm": 10, "seconds": 10, "silent": 0.3}
	counted := func(x float64, seed uint64) map[string]float64 {
		r := mustPlay(t, a, newSpec(t, a, x, seed, set))
		if r.Values["node.down.probes"] != (r.Counts["probes"]+r.Counts["calls_down"])/10 {
			t.Errorf("%v per second, but %v probes and %v calls in 10 s", r.Values["node.down.probes"], r.Counts["probes"], r.Counts["calls_down"])
		}
		delete(r.Counts, "step_longest_s") // depends on the machine
		return r.Counts
	}
	first := counted(20, 1)
	if again := counted(20, 1); !maps.Equal(first, again) {
		t.Errorf("the same seed gives %v and %v", first, again)
	}
	if other := counted(20, 2); maps.Equal(first, other) {
		t.Errorf("another seed gives the same counts %v", first)
	}
	if first["avoided"] == 0 || first["calls_down"] == 0 {
		t.Errorf("no destination is known to be down, or none is called: %v", first)
	}
	healthy := counted(0, 1)
	if healthy["calls_down"] != 0 || healthy["avoided"] != 0 || healthy["refused"] != 0 {
		t.Errorf("counts with no destination down: %v", healthy)
	}
	if _, err := a.Play(t.Context(), newSpec(t, a, 61, 1, set), nil); err == nil {
		t.Error("more destinations down than there are: no error")
	}
}

func TestPlayStopsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, a := range Axes() {
		if _, err := a.Play(ctx, newSpec(t, a, 1000, 1, nil), slog.New(slog.DiscardHandler)); err == nil {
			t.Errorf("%s: the play returned no error after its context ended", a.Name)
		}
	}
}

// buildNode builds coralyard.
func buildNode(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "coralyard")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", path, "starlingusher/cmd/coralyard").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// A real node keeps the messages that no partner takes, also over a kill, and leaves no process running.
func TestRealNodeHoldsUndeliverableMessages(t *testing.T) {
	a, node := heldAxis(), buildNode(t)
	sets := map[string]float64{"destinations": 5, "clients": 8}
	s := newSpec(t, a, 300, 1, sets)
	s.NodeProgram = node
	r := mustPlay(t, a, s)
	if len(r.Limits()) > 0 || len(r.Values) != len(a.Measures) {
		t.Fatalf("read %v, notes %v", r.Values, r.Notes)
	}
	// The body and what is stored with it: a header of 8 bytes, kind, number, ID, key, class, destination,
	// deadline, lengths, tenant.
	if b := r.Values["journal.held.file"] / 300; b < 200+8+20 || b > 200+8+20+100 {
		t.Errorf("%.0f bytes of the file per message", b)
	}
	if rss := r.Values["journal.held.rss"]; rss < 4<<20 || rss > 200<<20 {
		t.Errorf("%.0f bytes resident", rss)
	}
	checkNobodyListens(t, s.Dir)

	// Limits of today's program. If a node may hold 100 messages, a destination may have no more than the
	// room left for all: with five destinations that is reached from 84 messages on. A disk of 256 KB less 16
	// KB must have room for twice the messages held, 910 bytes each, and for the five endpoints.
	for name, limit := range map[string]struct{ v, least, most float64 }{"max_open": {100, 80, 90}, "disk_mb": {0.25, 120, 140}} {
		v := limit.v
		set := maps.Clone(sets)
		set[name] = v
		s := newSpec(t, a, 300, 1, set)
		s.NodeProgram = node
		r := mustPlay(t, a, s)
		if len(r.Limits()) != 1 {
			t.Errorf("%s %v: no limit reported: %v", name, v, r.Notes)
		}
		if accepted := r.Counts["journal_taken"]; accepted < limit.least || accepted > limit.most {
			t.Errorf("%s %v: %v messages were accepted, want %v to %v", name, v, accepted, limit.least, limit.most)
		}
		for id := range r.Values {
			if strings.HasPrefix(id, "journal.") {
				t.Errorf("%s %v: %s was read although the messages were refused", name, v, id)
			}
		}
		checkNobodyListens(t, s.Dir)
	}
}

// checkNobodyListens checks that the node of a folder has ended.
func checkNobodyListens(t *testing.T, dir string) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(dir, "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(raw), `"listen":"`)
	addr, _, _ := strings.Cut(rest, `"`)
	if nc, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
		nc.Close()
		t.Errorf("%s still listens", addr)
	}
}
