package lab

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	"starlingusher/fleet/experiment"
	"starlingusher/fleet/history"
	"starlingusher/fleet/judge"
	"starlingusher/fleet/tally"
	"starlingusher/internal/lab/observe"
	"starlingusher/internal/lab/standin"
)

// Names of the files in a results' folder.
const (
	ResultFile = "result.json"
	EventsFile = "events.jsonl"
)

// Result is what came of a run.
type Result struct {
	Experiment string        `json:"experiment"`
	About      string        `json:"about,omitempty"`
	Seed       uint64        `json:"seed"`
	Command    []string      `json:"command"`
	StartedAt  time.Time     `json:"began"`
	Elapsed    time.Duration `json:"took"` // with starts and ends
	Length     time.Duration `json:"length"`
	Nodes      int           `json:"nodes"`
	Cores      int           `json:"cores"` // of the machine

	Passed       bool          `json:"kept"` // all expectations
	Expectations []Expectation `json:"expectations"`
	// Spoilt says that the lab itself was too late or failed: what the run shows of the nodes is not to be trusted.
	InvalidReasons      []string                                `json:"spoilt,omitempty"`
	Violations          []judge.Violation                       `json:"breaches"`
	Tally               tally.Report                            `json:"tally"`
	Lateness            tally.Percentiles                       `json:"lateness"` // of the lab: its part that was latest
	LatenessByComponent map[observe.Component]tally.Percentiles `json:"lateness_by"`
	Processes           []ProcessUsage                          `json:"processes"`
	RudePeers           standin.RudePeerCounts                  `json:"rude_peers"`
	Faults              []string                                `json:"faults"`
	EventCounts         map[string]int                          `json:"events"`
	PartnerLimits       map[string]float64                      `json:"limits"` // of partners, calls a second

	Events []history.Event `json:"-"`
}

// Expectation is one thing that was expected, and what came.
type Expectation struct {
	Condition string `json:"what"`
	Actual    string `json:"got"`
	Met       bool   `json:"kept"`
}

// result reads what was seen. All that wrote events must have ended.
func (r *run) result(began time.Time) *Result {
	events := r.log.Events()
	res := &Result{
		Experiment: r.plan.Name, About: r.plan.About, Seed: r.plan.Seed, Command: r.opts.Command, StartedAt: began, Elapsed: time.Since(began),
		Length: r.plan.EndTime(), Nodes: len(r.plan.Nodes), Cores: runtime.NumCPU(), Violations: judge.FindViolations(r.plan.JudgeConfig(), events),
		Tally: tally.Count(r.plan.TallyConfig(), events), LatenessByComponent: r.log.Lateness(), RudePeers: r.clients.RudePeerCounts(), InvalidReasons: r.failed, Events: events,
		EventCounts: map[string]int{}, PartnerLimits: map[string]float64{},
	}
	res.Lateness = observe.WorstLateness(res.LatenessByComponent)
	if res.Violations == nil {
		res.Violations = []judge.Violation{} // a list in JSON, too
	}
	for _, e := range events {
		res.EventCounts[string(e.Kind)]++
	}
	for _, n := range r.nodes {
		res.Processes = append(res.Processes, n.use)
	}
	for _, x := range r.plan.Faults {
		res.Faults = append(res.Faults, fmt.Sprintf("%v: %v", x.At.Round(time.Millisecond), x))
	}
	for i, p := range r.plan.Partners {
		res.PartnerLimits[fmt.Sprint(i)] = p.Config.Limit.PerSecond
	}
	res.judge(r.plan.Expect)
	return res
}

// judge holds a result to what was expected of it.
func (res *Result) judge(x experiment.Expect) {
	expect := func(kept bool, what, got string, args ...any) {
		res.Expectations = append(res.Expectations, Expectation{what, fmt.Sprintf(got, args...), kept})
	}
	broken := map[string]int{}
	for _, b := range res.Violations {
		broken[string(b.Rule)]++
	}
	others := 0
	for rule, n := range broken {
		if !slices.Contains(x.BrokenRules, rule) {
			others += n
		}
	}
	if len(x.BrokenRules) == 0 {
		expect(others == 0, "no rule broken", "%d breaches", others)
	} else {
		for _, rule := range x.BrokenRules {
			expect(broken[rule] > 0, fmt.Sprintf("rule %s broken", rule), "%d breaches", broken[rule])
		}
		expect(others == 0, "no other rule broken", "%d breaches", others)
	}
	least := func(what string, want float64, l tally.Line) {
		if want > 0 {
			expect(l.Share() >= want, fmt.Sprintf("%s served %.3g at least", what, want), "%.3f", l.Share())
		}
	}
	least("worth", x.MinServed.Low, res.Tally.All)
	for _, name := range sortedKeys(x.MinServedByClass) {
		if l, ok := tally.FindLine(res.Tally.Classes, name); ok {
			least("class "+name, x.MinServedByClass[name].Low, l)
		}
	}
	if l, ok := res.Tally.WorstInterval(); ok {
		least("worst five seconds", x.MinWorstInterval.Low, l)
	}
	if most := x.MaxAboveLimit; most != nil {
		got := float64(res.Tally.CallsAboveLimit) / float64(max(res.Tally.All.Messages, 1))
		expect(got <= most.High, fmt.Sprintf("calls above limits, a message, %.3g at most", most.High), "%.3f", got)
	}
	if want := int(x.MinDelivered.Low); want > 0 {
		expect(res.Tally.All.Delivered >= want, fmt.Sprintf("%d messages delivered at least", want), "%d", res.Tally.All.Delivered)
	}
	if res.RudePeers.Connected > 0 {
		bad := res.RudePeers.Unanswered + res.RudePeers.Accepted
		expect(bad == 0, "rude peers get an error or a close in time", "%d of %d did not", bad, res.RudePeers.Connected)
	}
	if most := x.MaxLateness.High; most > 0 {
		kept := res.Lateness.P99 <= most
		expect(kept, fmt.Sprintf("the lab itself at most %v late (99th percentile)", most), "%v", res.Lateness.P99)
		if !kept {
			res.InvalidReasons = append(res.InvalidReasons, fmt.Sprintf("the lab was %v late (99th percentile): its own lateness spoilt the run", res.Lateness.P99))
		}
	}
	res.Passed = len(res.InvalidReasons) == 0
	for _, e := range res.Expectations {
		res.Passed = res.Passed && e.Met
	}
}

// Write writes a result's files into a folder, which it makes if need be.
func (res *Result) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	f, err := os.Create(filepath.Join(dir, EventsFile))
	if err != nil {
		return fmt.Errorf("results: %w", err)
	}
	if err := errors.Join(history.Write(f, res.Events), f.Close()); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	raw, err := json.MarshalIndent(res, "", " ")
	if err != nil {
		return fmt.Errorf("results: %w", err)
	}
	return os.WriteFile(filepath.Join(dir, ResultFile), append(raw, '\n'), 0o644)
}

// ReadResult reads what Write wrote, without its events.
func ReadResult(dir string) (*Result, error) {
	path := filepath.Join(dir, ResultFile)
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("%s holds no %s: name the folder that `cottonrack lab run --out` wrote", dir, ResultFile)
	}
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	var res Result
	if err := json.Unmarshal(raw, &res); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &res, nil
}

// ReadEvents reads the events of a results' folder.
func ReadEvents(dir string) ([]history.Event, error) {
	path := filepath.Join(dir, EventsFile)
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("events: %w", err)
	}
	defer f.Close()
	events, err := history.Read(f)
	if err != nil {
		return events, fmt.Errorf("%s: %w", path, err)
	}
	return events, nil
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
