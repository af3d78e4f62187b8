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

// Names of the files in a results directory.
const (
	ResultFile = "result.json"
	EventsFile = "events.jsonl"
)

// Result is the result of a run.
type Result struct {
	Experiment string        `json:"experiment"`
	About      string        `json:"about,omitempty"`
	Seed       uint64        `json:"seed"`
	Command    []string      `json:"command"`
	StartedAt  time.Time     `json:"began"`
	Elapsed    time.Duration `json:"took"` // including the start and the end of the processes
	Length     time.Duration `json:"length"`
	Nodes      int           `json:"nodes"`
	Cores      int           `json:"cores"` // of the machine

	Passed       bool          `json:"kept"` // the run is valid and all expectations were met
	Expectations []Expectation `json:"expectations"`
	// InvalidReasons tells why the run proves nothing about the nodes: the lab itself was too late or has
	// failed.
	InvalidReasons      []string                                `json:"spoilt,omitempty"`
	Violations          []judge.Violation                       `json:"breaches"`
	Tally               tally.Report                            `json:"tally"`
	Lateness            tally.Percentiles                       `json:"lateness"` // of the component of the lab that was latest
	LatenessByComponent map[observe.Component]tally.Percentiles `json:"lateness_by"`
	Processes           []ProcessUsage                          `json:"processes"`
	RudePeers           standin.RudePeerCounts                  `json:"rude_peers"`
	Faults              []string                                `json:"faults"`
	EventCounts         map[string]int                          `json:"events"`
	PartnerLimits       map[string]float64                      `json:"limits"` // of partners, in calls per second

	Events []history.Event `json:"-"`
}

// Expectation is one condition of the experiment and what was measured.
type Expectation struct {
	Condition string `json:"what"`
	Actual    string `json:"got"`
	Met       bool   `json:"kept"`
}

// buildResult evaluates the recorded events. Everything that records events must have ended.
func (r *run) buildResult(startedAt time.Time) *Result {
	events := r.log.Events()
	res := &Result{
		Experiment: r.plan.Name, About: r.plan.About, Seed: r.plan.Seed, Command: r.opts.Command, StartedAt: startedAt, Elapsed: time.Since(startedAt),
		Length: r.plan.EndTime(), Nodes: len(r.plan.Nodes), Cores: runtime.NumCPU(), Violations: judge.FindViolations(r.plan.JudgeConfig(), events),
		Tally: tally.Count(r.plan.TallyConfig(), events), LatenessByComponent: r.log.Lateness(), RudePeers: r.clients.RudePeerCounts(), InvalidReasons: r.labFailures, Events: events,
		EventCounts: map[string]int{}, PartnerLimits: map[string]float64{},
	}
	res.Lateness = observe.WorstLateness(res.LatenessByComponent)
	if res.Violations == nil {
		res.Violations = []judge.Violation{} // encodes as a list instead of null
	}
	for _, e := range events {
		res.EventCounts[string(e.Kind)]++
	}
	for _, n := range r.nodes {
		res.Processes = append(res.Processes, n.usage)
	}
	for _, x := range r.plan.Faults {
		res.Faults = append(res.Faults, fmt.Sprintf("%v: %v", x.At.Round(time.Millisecond), x))
	}
	for i, partnerPlan := range r.plan.Partners {
		res.PartnerLimits[fmt.Sprint(i)] = partnerPlan.Config.Limit.PerSecond
	}
	res.checkExpectations(r.plan.Expect)
	return res
}

// checkExpectations compares the result with the experiment's expectations.
func (res *Result) checkExpectations(expected experiment.Expect) {
	addExpectation := func(met bool, condition, format string, args ...any) {
		res.Expectations = append(res.Expectations, Expectation{condition, fmt.Sprintf(format, args...), met})
	}
	violationsByRule := map[string]int{}
	for _, b := range res.Violations {
		violationsByRule[string(b.Rule)]++
	}
	unexpected := 0
	for rule, n := range violationsByRule {
		if !slices.Contains(expected.BrokenRules, rule) {
			unexpected += n
		}
	}
	if len(expected.BrokenRules) == 0 {
		addExpectation(unexpected == 0, "no rule broken", "%d violations", unexpected)
	} else {
		for _, rule := range expected.BrokenRules {
			addExpectation(violationsByRule[rule] > 0, fmt.Sprintf("rule %s broken", rule), "%d violations", violationsByRule[rule])
		}
		addExpectation(unexpected == 0, "no other rule broken", "%d violations", unexpected)
	}
	expectShare := func(name string, want float64, l tally.Line) {
		if want > 0 {
			addExpectation(l.Share() >= want, fmt.Sprintf("%s served: at least %.3g", name, want), "%.3f", l.Share())
		}
	}
	expectShare("worth", expected.MinServed.Low, res.Tally.All)
	for _, name := range sortedKeys(expected.MinServedByClass) {
		if l, ok := tally.FindLine(res.Tally.Classes, name); ok {
			expectShare("class "+name, expected.MinServedByClass[name].Low, l)
		}
	}
	if l, ok := res.Tally.WorstInterval(); ok {
		expectShare("worst five seconds", expected.MinWorstInterval.Low, l)
	}
	if most := expected.MaxAboveLimit; most != nil {
		got := float64(res.Tally.CallsAboveLimit) / float64(max(res.Tally.All.Messages, 1))
		addExpectation(got <= most.High, fmt.Sprintf("calls above limits per message: at most %.3g", most.High), "%.3f", got)
	}
	if want := int(expected.MinDelivered.Low); want > 0 {
		addExpectation(res.Tally.All.Delivered >= want, fmt.Sprintf("at least %d messages delivered", want), "%d", res.Tally.All.Delivered)
	}
	if res.RudePeers.Connected > 0 {
		mistreated := res.RudePeers.Unanswered + res.RudePeers.Accepted
		addExpectation(mistreated == 0, "rude peers get an error or a close in time", "%d of %d did not", mistreated, res.RudePeers.Connected)
	}
	if limit := expected.MaxLateness.High; limit > 0 {
		onTime := res.Lateness.P99 <= limit
		addExpectation(onTime, fmt.Sprintf("lateness of the lab: at most %v (99th percentile)", limit), "%v", res.Lateness.P99)
		if !onTime {
			res.InvalidReasons = append(res.InvalidReasons, fmt.Sprintf("the lab was %v late (99th percentile): its own lateness makes the run invalid", res.Lateness.P99))
		}
	}
	res.Passed = len(res.InvalidReasons) == 0
	for _, e := range res.Expectations {
		res.Passed = res.Passed && e.Met
	}
}

// Write writes the result files into a directory, which it creates if needed.
func (res *Result) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	f, err := os.Create(filepath.Join(dir, EventsFile))
	if err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	if err := errors.Join(history.Write(f, res.Events), f.Close()); err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	raw, err := json.MarshalIndent(res, "", " ")
	if err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	return os.WriteFile(filepath.Join(dir, ResultFile), append(raw, '\n'), 0o644)
}

// ReadResult reads what Write wrote, without the events.
func ReadResult(dir string) (*Result, error) {
	path := filepath.Join(dir, ResultFile)
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("%s has no %s: name the directory that `cottonrack lab run --out` wrote", dir, ResultFile)
	}
	if err != nil {
		return nil, fmt.Errorf("read results: %w", err)
	}
	var res Result
	if err := json.Unmarshal(raw, &res); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &res, nil
}

// ReadEvents reads the events from a results directory.
func ReadEvents(dir string) ([]history.Event, error) {
	path := filepath.Join(dir, EventsFile)
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read events: %w", err)
	}
	defer f.Close()
	events, err := history.Read(f)
	if err != nil {
		return events, fmt.Errorf("%s: %w", path, err)
	}
	return events, nil
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
