package ownership_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"starlingusher/fleet/catalog"
	. "starlingusher/fleet/ownership"
)

// These tests are outside the package because they use the catalog, which imports it.

// writer is a Publisher or a faulty version of it.
type writer interface {
	Begin() Action
	Step(Answer) (Action, bool)
}

// request is an action on its way to the directory, or its answer on the way back.
type request struct {
	from, run int
	holder    string
	action    Action
	answer    Answer
}

// controller runs one Publisher after another; each is one run of an operator's command.
type controller struct {
	run     int
	holder  string
	writer  writer
	pending Action
	ended   bool
}

// simulation has two controllers and the directory's record, kept by the catalog's own state machine.
type simulation struct {
	rng          *rand.Rand
	newWriter    func(*simulation) writer
	state        *catalog.State
	controllers  [2]controller
	requests     []request
	answers      []request
	variants     []*Map // first maps made in advance, which saves the time of Make
	mapsByNumber map[int64][]byte
	lastNumber   int64
	wrote        map[[2]int]bool // runs whose writes took effect
	wroteNothing map[[2]int]bool // runs that ended certain that they wrote nothing
	counts       map[string]int
	violations   []string
}

func newSimulation(seed uint64, variants []*Map, newWriter func(*simulation) writer) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), newWriter: newWriter, state: catalog.New(), variants: variants, mapsByNumber: map[int64][]byte{}, wrote: map[[2]int]bool{},
		wroteNothing: map[[2]int]bool{}, counts: map[string]int{},
	}
	sim.state.Apply(catalog.Command{At: 1, Bootstrap: &catalog.Bootstrap{}})
	for i := range sim.controllers {
		sim.restart(i)
	}
	return sim
}

// variant returns a map with the given number; its members are chosen at random.
func (sim *simulation) variant(number int64) *Map {
	m := *sim.variants[sim.rng.IntN(len(sim.variants))]
	m.Number = number
	return &m
}

func (sim *simulation) restart(i int) {
	ctl := &sim.controllers[i]
	ctl.run++
	if sim.rng.IntN(2) == 0 || ctl.holder == "" { // otherwise under the same name, like an operator who runs the command again
		ctl.holder = fmt.Sprintf("c%d.%d", i, ctl.run)
	}
	if sim.rng.IntN(20) == 0 {
		ctl.holder = sim.controllers[1-i].holder + "" // or, by mistake, under the name of the other
		if ctl.holder == "" {
			ctl.holder = "c"
		}
	}
	ctl.writer, ctl.ended = sim.newWriter(sim), false
	sim.start(i, ctl.writer.Begin())
}

func (sim *simulation) start(i int, a Action) {
	ctl := &sim.controllers[i]
	ctl.pending = a
	if a.Operation != End {
		sim.requests = append(sim.requests, request{from: i, run: ctl.run, holder: ctl.holder, action: a})
		return
	}
	ctl.ended = true
	key := [2]int{i, ctl.run}
	switch {
	case a.Map != nil:
		sim.counts["ended with a map"]++
		raw, err := a.Map.Encode()
		if err != nil || !bytes.Equal(sim.mapsByNumber[a.Map.Number], raw) {
			sim.violations = append(sim.violations, fmt.Sprintf("controller %d reports that it wrote map %d, which was not written (%v)", i, a.Map.Number, err))
		}
	case errors.Is(a.Err, ErrAmbiguous):
		sim.counts["ended ambiguous"]++
	case a.Err != nil:
		sim.counts["ended without a map"]++
		sim.wroteNothing[key] = true
		if sim.wrote[key] {
			sim.violations = append(sim.violations, fmt.Sprintf("controller %d reports that it wrote nothing, but it did: %v", i, a.Err))
		}
	default:
		sim.violations = append(sim.violations, fmt.Sprintf("controller %d ended without a map or an error", i))
	}
}

// serve carries out a request at the directory.
func (sim *simulation) serve(s request) Answer {
	ans := Answer{Seq: s.action.Seq, Outcome: Done}
	var r catalog.Result
	switch s.action.Operation {
	case Acquire:
		r = sim.state.Apply(catalog.Command{Acquire: &catalog.RecordOp{Name: RecordName, Holder: s.holder, TTL: 10_000}})
		ans.Token = r.Token
	case Read:
		record, ok := sim.state.Record(RecordName)
		if !ok {
			r.Err = catalog.ErrNotFound
		}
		ans.Value = record.Value
	case Update:
		r = sim.state.Apply(catalog.Command{Update: &catalog.RecordOp{Name: RecordName, Token: s.action.Token, Value: s.action.Value}})
		if r.Err == nil {
			sim.checkWrite(s)
		}
	case Release:
		r = sim.state.Apply(catalog.Command{Release: &catalog.RecordOp{Name: RecordName, Token: s.action.Token}})
	}
	if r.Err != nil {
		ans.Outcome, ans.Err = Refused, r.Err
	}
	return ans
}

// checkWrite checks each value that is written.
func (sim *simulation) checkWrite(s request) {
	m, err := Decode(s.action.Value)
	if err != nil {
		sim.violations = append(sim.violations, fmt.Sprint("decode the written value: ", err))
		return
	}
	sim.counts["written"]++
	key := [2]int{s.from, s.run}
	sim.wrote[key] = true
	if sim.wroteNothing[key] {
		sim.violations = append(sim.violations, fmt.Sprintf("controller %d reported that it wrote nothing, but its map %d was written later", s.from, m.Number))
	}
	if old, ok := sim.mapsByNumber[m.Number]; ok && !bytes.Equal(old, s.action.Value) {
		sim.violations = append(sim.violations, fmt.Sprintf("number %d was used for two maps", m.Number))
	} else if !ok && m.Number <= sim.lastNumber {
		sim.violations = append(sim.violations, fmt.Sprintf("number %d was written after %d", m.Number, sim.lastNumber))
	}
	sim.mapsByNumber[m.Number], sim.lastNumber = s.action.Value, max(sim.lastNumber, m.Number)
}

func (sim *simulation) deliver(i int, ans Answer) {
	if next, ok := sim.controllers[i].writer.Step(ans); ok {
		sim.start(i, next)
	}
}

// step makes one thing happen; faults is the share of faults among them.
func (sim *simulation) step(faults float64) {
	pull := func(from *[]request) request {
		i := sim.rng.IntN(len(*from))
		s := (*from)[i]
		*from = slices.Delete(*from, i, i+1)
		return s
	}
	i := sim.rng.IntN(2)
	ctl := &sim.controllers[i]
	if sim.rng.Float64() < faults {
		stage := ctl.pending.Operation
		switch sim.rng.IntN(8) {
		case 0:
			sim.counts[fmt.Sprint("killed at ", stage)]++
			sim.restart(i)
		case 1: // the controller gives up waiting for the answer; the request may still be on its way
			sim.counts[fmt.Sprint("lost at ", stage)]++
			sim.deliver(i, Answer{Seq: ctl.pending.Seq, Outcome: Ambiguous})
		case 2:
			sim.deliver(i, Answer{Seq: ctl.pending.Seq, Outcome: LeaseLost})
		case 3:
			if sim.rng.IntN(4) == 0 {
				sim.deliver(i, Answer{Seq: ctl.pending.Seq, Outcome: TimedOut})
			}
		case 4:
			if len(sim.requests) > 0 {
				pull(&sim.requests)
			}
		case 5:
			if len(sim.answers) > 0 {
				pull(&sim.answers)
			}
		case 6:
			if len(sim.requests) > 0 { // answered by a replica that knows no leader
				s := pull(&sim.requests)
				sim.answers = append(sim.answers, request{from: s.from, run: s.run, answer: Answer{Seq: s.action.Seq, Outcome: Refused, Err: errors.New("no leader")}})
			}
		case 7:
			if r, ok := sim.state.Record(RecordName); ok && r.Holder != "" {
				sim.counts["lapsed"]++
				sim.state.Apply(catalog.Command{Expire: &catalog.Expiry{Records: []catalog.RecordOp{{Name: RecordName, Token: r.Token}}}})
			}
		}
		return
	}
	switch {
	case ctl.ended && sim.rng.IntN(4) == 0:
		sim.restart(i)
	case len(sim.answers) > 0 && sim.rng.IntN(2) == 0:
		if s := pull(&sim.answers); s.run == sim.controllers[s.from].run {
			sim.deliver(s.from, s.answer)
		}
	case len(sim.requests) > 0:
		s := pull(&sim.requests)
		sim.answers = append(sim.answers, request{from: s.from, run: s.run, answer: sim.serve(s)})
	}
}

// newPublisher returns a correct Publisher; now and then its plan changes nothing or is refused.
func newPublisher(sim *simulation) writer {
	pub := &Publisher{}
	pub.Plan = func(number int64, before *Map) (*Map, error) {
		switch k := sim.rng.IntN(12); {
		case k == 0 && before != nil:
			return before, nil
		case k == 1:
			return nil, ErrLargeChange
		}
		return sim.variant(number), nil
	}
	return pub
}

func variants(t *testing.T) []*Map {
	var all []*Map
	for n := 1; n <= 3; n++ {
		m, err := Make(1, 1, Fleet(n, 1), nil)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, m)
	}
	return all
}

// runSchedules runs random schedules until one breaks a rule, and returns its seed and what was broken.
func runSchedules(t *testing.T, from, schedules uint64, count map[string]int, newWriter func(*simulation) writer) (uint64, []string) {
	all := variants(t)
	for seed := from; seed < from+schedules; seed++ {
		sim := newSimulation(seed, all, newWriter)
		for range 150 {
			sim.step(0.3)
		}
		for k, n := range sim.counts {
			count[k] += n
		}
		if len(sim.violations) > 0 {
			return seed, sim.violations
		}
	}
	return 0, nil
}

func TestPublisher(t *testing.T) {
	count := map[string]int{}
	if seed, bad := runSchedules(t, 1, 1500, count, newPublisher); bad != nil {
		t.Fatalf("seed %d: %v", seed, bad)
	}
	t.Log(count)
	for _, what := range []string{"written", "ended with a map", "ended without a map", "ended ambiguous", "lapsed"} {
		if count[what] < 20 {
			t.Errorf("%q happened only %d times", what, count[what])
		}
	}
	for _, stage := range []Operation{Acquire, Read, Update, Release, End} {
		if what := fmt.Sprint("killed at ", stage); count[what] < 20 {
			t.Errorf("%q happened only %d times", what, count[what])
		}
	}
}

func TestSimulationFindsFaultyPublishers(t *testing.T) {
	for name, newWriter := range map[string]func(*simulation) writer{
		"an ambiguous write repeated with another map": func(sim *simulation) writer {
			c := &ResendingPublisher{OtherMap: sim.variant}
			c.Plan = func(number int64, _ *Map) (*Map, error) { return sim.variant(number), nil }
			return c
		},
		"an ambiguous write taken for not done": func(sim *simulation) writer {
			h := &UnfencedPublisher{}
			h.Plan = func(number int64, _ *Map) (*Map, error) { return sim.variant(number), nil }
			return h
		},
	} {
		seed, bad := runSchedules(t, 1, 2000, map[string]int{}, newWriter)
		if bad == nil {
			t.Errorf("%s: not found in 2000 schedules", name)
			continue
		}
		t.Logf("%s: found in schedule %d: %s", name, seed, bad[0])
	}
}

// Once no message is lost, a controller writes its map in four actions, whatever happened before.
func TestPublisherEndsWithoutLosses(t *testing.T) {
	all := variants(t)
	for seed := range uint64(300) {
		sim := newSimulation(seed, all, newPublisher)
		for range 100 {
			sim.step(0.4)
		}
		for len(sim.requests) > 0 {
			sim.step(0)
		}
		if r, _ := sim.state.Record(RecordName); r.Holder != "" {
			sim.state.Apply(catalog.Command{Expire: &catalog.Expiry{Records: []catalog.RecordOp{{Name: RecordName, Token: r.Token}}}})
		}
		a := &Publisher{Plan: func(number int64, _ *Map) (*Map, error) { return sim.variant(number), nil }}
		next, operations := a.Begin(), ""
		for next.Operation != End {
			operations += fmt.Sprint(next.Operation)
			var ok bool
			if next, ok = a.Step(sim.serve(request{from: 0, run: -1, holder: "quiet", action: next})); !ok {
				t.Fatalf("seed %d: Step ignored an answer", seed)
			}
		}
		if next.Err != nil || next.Map == nil || next.Map.Number != sim.lastNumber || operations != "1234" || len(sim.violations) > 0 {
			t.Fatalf("seed %d: actions %s, last action %+v, last number %d, violations %v", seed, operations, next, sim.lastNumber, sim.violations)
		}
	}
}

func TestPublisherReadsRecord(t *testing.T) {
	m, err := Make(7, 2, Fleet(4, 2), nil)
	if err != nil {
		t.Fatal(err)
	}
	good, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		what  string
		value []byte
		above int64
		first bool // Plan is called without a previous map
		want  int64
	}{
		{"never written", nil, 0, true, 1},
		{"a map", good, 0, false, 8},
		{"a map and a larger number", good, 20, false, 21},
		{"a map and a smaller number", good, 3, false, 8},
		{"damaged", good[:40], 0, false, 0},
		{"empty", []byte{}, 0, false, 0},
		{"damaged and a number above", good[:40], 20, true, 21},
	} {
		var number int64
		var before *Map
		a := &Publisher{AboveNumber: c.above, Plan: func(n int64, b *Map) (*Map, error) {
			number, before = n, b
			return Make(n, 2, Fleet(5, 2), b)
		}}
		next := a.Begin()
		next, _ = a.Step(Answer{Seq: next.Seq, Outcome: Done, Token: 5})
		next, _ = a.Step(Answer{Seq: next.Seq, Outcome: Done, Value: c.value})
		if number != c.want || (c.want > 0 && (before == nil) != c.first) {
			t.Errorf("%s: number %d from %v", c.what, number, before)
		}
		if c.want == 0 && (next.Operation != Release || next.Token != 5) {
			t.Errorf("%s: %+v", c.what, next)
		}
		if c.want > 0 && (next.Operation != Update || next.Token != 5) {
			t.Errorf("%s: %+v", c.what, next)
		}
	}
}
