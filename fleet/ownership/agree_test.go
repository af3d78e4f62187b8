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
type sent struct {
	who, life int
	holder    string
	action    Action
	answer    Answer
}

// controller runs one Publisher after another; each is one run of an operator's command.
type process struct {
	life    int
	holder  string
	w       writer
	waiting Action
	ended   bool
}

// simulation has two controllers and the directory's record, kept by the catalog's own state machine.
type world struct {
	rng      *rand.Rand
	make     func(*world) writer
	state    *catalog.State
	all      [2]process
	asks     []sent
	answers  []sent
	variants []*Map // first maps made in advance, which saves the time of Make
	given    map[int64][]byte
	last     int64
	wrote    map[[2]int]bool // runs whose writes took effect
	never    map[[2]int]bool // runs that ended certain that they wrote nothing
	count    map[string]int
	bad      []string
}

func newWorld(seed uint64, variants []*Map, make_ func(*world) writer) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 7)), make: make_, state: catalog.New(), variants: variants, given: map[int64][]byte{}, wrote: map[[2]int]bool{},
		never: map[[2]int]bool{}, count: map[string]int{},
	}
	w.state.Apply(catalog.Command{At: 1, Bootstrap: &catalog.Bootstrap{}})
	for i := range w.all {
		w.restart(i)
	}
	return w
}

// variant returns a map with the given number; its members are chosen at random.
func (w *world) variant(number int64) *Map {
	m := *w.variants[w.rng.IntN(len(w.variants))]
	m.Number = number
	return &m
}

func (w *world) restart(i int) {
	p := &w.all[i]
	p.life++
	if w.rng.IntN(2) == 0 || p.holder == "" { // otherwise under the same name, like an operator who runs the command again
		p.holder = fmt.Sprintf("c%d.%d", i, p.life)
	}
	if w.rng.IntN(20) == 0 {
		p.holder = w.all[1-i].holder + "" // or, by mistake, under the name of the other
		if p.holder == "" {
			p.holder = "c"
		}
	}
	p.w, p.ended = w.make(w), false
	w.do(i, p.w.Begin())
}

func (w *world) do(i int, a Action) {
	p := &w.all[i]
	p.waiting = a
	if a.Operation != End {
		w.asks = append(w.asks, sent{who: i, life: p.life, holder: p.holder, action: a})
		return
	}
	p.ended = true
	key := [2]int{i, p.life}
	switch {
	case a.Map != nil:
		w.count["ended with a map"]++
		raw, err := a.Map.Encode()
		if err != nil || !bytes.Equal(w.given[a.Map.Number], raw) {
			w.bad = append(w.bad, fmt.Sprintf("controller %d reports that it wrote map %d, which was not written (%v)", i, a.Map.Number, err))
		}
	case errors.Is(a.Err, ErrAmbiguous):
		w.count["ended ambiguous"]++
	case a.Err != nil:
		w.count["ended without a map"]++
		w.never[key] = true
		if w.wrote[key] {
			w.bad = append(w.bad, fmt.Sprintf("controller %d reports that it wrote nothing, but it did: %v", i, a.Err))
		}
	default:
		w.bad = append(w.bad, fmt.Sprintf("controller %d ended without a map or an error", i))
	}
}

// serve carries out a request at the directory.
func (w *world) serve(s sent) Answer {
	ans := Answer{Seq: s.action.Seq, Outcome: Done}
	var r catalog.Result
	switch s.action.Operation {
	case Acquire:
		r = w.state.Apply(catalog.Command{Acquire: &catalog.RecordOp{Name: RecordName, Holder: s.holder, TTL: 10_000}})
		ans.Token = r.Token
	case Read:
		record, ok := w.state.Record(RecordName)
		if !ok {
			r.Err = catalog.ErrNotFound
		}
		ans.Value = record.Value
	case Update:
		r = w.state.Apply(catalog.Command{Update: &catalog.RecordOp{Name: RecordName, Token: s.action.Token, Value: s.action.Value}})
		if r.Err == nil {
			w.written(s)
		}
	case Release:
		r = w.state.Apply(catalog.Command{Release: &catalog.RecordOp{Name: RecordName, Token: s.action.Token}})
	}
	if r.Err != nil {
		ans.Outcome, ans.Err = Refused, r.Err
	}
	return ans
}

// checkWrite checks each value that is written.
func (w *world) written(s sent) {
	m, err := Decode(s.action.Value)
	if err != nil {
		w.bad = append(w.bad, fmt.Sprint("decode the written value: ", err))
		return
	}
	w.count["written"]++
	key := [2]int{s.who, s.life}
	w.wrote[key] = true
	if w.never[key] {
		w.bad = append(w.bad, fmt.Sprintf("controller %d reported that it wrote nothing, but its map %d was written later", s.who, m.Number))
	}
	if old, ok := w.given[m.Number]; ok && !bytes.Equal(old, s.action.Value) {
		w.bad = append(w.bad, fmt.Sprintf("number %d was used for two maps", m.Number))
	} else if !ok && m.Number <= w.last {
		w.bad = append(w.bad, fmt.Sprintf("number %d was written after %d", m.Number, w.last))
	}
	w.given[m.Number], w.last = s.action.Value, max(w.last, m.Number)
}

func (w *world) tell(i int, ans Answer) {
	if next, ok := w.all[i].w.Step(ans); ok {
		w.do(i, next)
	}
}

// step makes one thing happen; faults is the share of faults among them.
func (w *world) step(faults float64) {
	pull := func(from *[]sent) sent {
		i := w.rng.IntN(len(*from))
		s := (*from)[i]
		*from = slices.Delete(*from, i, i+1)
		return s
	}
	i := w.rng.IntN(2)
	p := &w.all[i]
	if w.rng.Float64() < faults {
		stage := p.waiting.Operation
		switch w.rng.IntN(8) {
		case 0:
			w.count[fmt.Sprint("killed at ", stage)]++
			w.restart(i)
		case 1: // the controller gives up waiting for the answer; the request may still be on its way
			w.count[fmt.Sprint("lost at ", stage)]++
			w.tell(i, Answer{Seq: p.waiting.Seq, Outcome: Ambiguous})
		case 2:
			w.tell(i, Answer{Seq: p.waiting.Seq, Outcome: LeaseLost})
		case 3:
			if w.rng.IntN(4) == 0 {
				w.tell(i, Answer{Seq: p.waiting.Seq, Outcome: TimedOut})
			}
		case 4:
			if len(w.asks) > 0 {
				pull(&w.asks)
			}
		case 5:
			if len(w.answers) > 0 {
				pull(&w.answers)
			}
		case 6:
			if len(w.asks) > 0 { // answered by a replica that knows no leader
				s := pull(&w.asks)
				w.answers = append(w.answers, sent{who: s.who, life: s.life, answer: Answer{Seq: s.action.Seq, Outcome: Refused, Err: errors.New("no leader")}})
			}
		case 7:
			if r, ok := w.state.Record(RecordName); ok && r.Holder != "" {
				w.count["lapsed"]++
				w.state.Apply(catalog.Command{Expire: &catalog.Expiry{Records: []catalog.RecordOp{{Name: RecordName, Token: r.Token}}}})
			}
		}
		return
	}
	switch {
	case p.ended && w.rng.IntN(4) == 0:
		w.restart(i)
	case len(w.answers) > 0 && w.rng.IntN(2) == 0:
		if s := pull(&w.answers); s.life == w.all[s.who].life {
			w.tell(s.who, s.answer)
		}
	case len(w.asks) > 0:
		s := pull(&w.asks)
		w.answers = append(w.answers, sent{who: s.who, life: s.life, answer: w.serve(s)})
	}
}

// newPublisher returns a correct Publisher; now and then its plan changes nothing or is refused.
func careful(w *world) writer {
	a := &Publisher{}
	a.Plan = func(number int64, before *Map) (*Map, error) {
		switch k := w.rng.IntN(12); {
		case k == 0 && before != nil:
			return before, nil
		case k == 1:
			return nil, ErrLargeChange
		}
		return w.variant(number), nil
	}
	return a
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
func play(t *testing.T, from, schedules uint64, count map[string]int, make_ func(*world) writer) (uint64, []string) {
	all := variants(t)
	for seed := from; seed < from+schedules; seed++ {
		w := newWorld(seed, all, make_)
		for range 150 {
			w.step(0.3)
		}
		for k, n := range w.count {
			count[k] += n
		}
		if len(w.bad) > 0 {
			return seed, w.bad
		}
	}
	return 0, nil
}

func TestAgreement(t *testing.T) {
	count := map[string]int{}
	if seed, bad := play(t, 1, 1500, count, careful); bad != nil {
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

func TestAgreementCheckFindsBreaches(t *testing.T) {
	for name, double := range map[string]func(*world) writer{
		"an ambiguous write repeated with another map": func(w *world) writer {
			c := &Careless{Other: w.variant}
			c.Plan = func(number int64, _ *Map) (*Map, error) { return w.variant(number), nil }
			return c
		},
		"an ambiguous write taken for not done": func(w *world) writer {
			h := &Hasty{}
			h.Plan = func(number int64, _ *Map) (*Map, error) { return w.variant(number), nil }
			return h
		},
	} {
		seed, bad := play(t, 1, 2000, map[string]int{}, double)
		if bad == nil {
			t.Errorf("%s: not found in 2000 schedules", name)
			continue
		}
		t.Logf("%s: found in schedule %d: %s", name, seed, bad[0])
	}
}

// Once no message is lost, a controller writes its map in four actions, whatever happened before.
func TestAgreementEnds(t *testing.T) {
	all := variants(t)
	for seed := range uint64(300) {
		w := newWorld(seed, all, careful)
		for range 100 {
			w.step(0.4)
		}
		for len(w.asks) > 0 {
			w.step(0)
		}
		if r, _ := w.state.Record(RecordName); r.Holder != "" {
			w.state.Apply(catalog.Command{Expire: &catalog.Expiry{Records: []catalog.RecordOp{{Name: RecordName, Token: r.Token}}}})
		}
		a := &Publisher{Plan: func(number int64, _ *Map) (*Map, error) { return w.variant(number), nil }}
		next, did := a.Begin(), ""
		for next.Operation != End {
			did += fmt.Sprint(next.Operation)
			var ok bool
			if next, ok = a.Step(w.serve(sent{who: 0, life: -1, holder: "quiet", action: next})); !ok {
				t.Fatalf("seed %d: Step ignored an answer", seed)
			}
		}
		if next.Err != nil || next.Map == nil || next.Map.Number != w.last || did != "1234" || len(w.bad) > 0 {
			t.Fatalf("seed %d: actions %s, last action %+v, last number %d, violations %v", seed, did, next, w.last, w.bad)
		}
	}
}

func TestAgreementReads(t *testing.T) {
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
