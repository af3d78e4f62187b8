package members

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	tick             = 500 * time.Millisecond
	suspectTicks     = 3 // ticks without contact to a member after which the detector suspects it
	unreachableTicks = 8 // ticks after which the detector gives up on it
)

func testTerms() Timeouts {
	return Timeouts{RestartGrace: 6 * time.Second, ForgetAfter: time.Hour, RecordLease: 4 * time.Second}
}

// simProcess is one process of a simulated fleet.
type simProcess struct {
	view             *View
	saved            uint64
	clockError       int64 // error of its clock, in ms
	running          bool
	ticksUnreachable map[int]int // ticks since the other process was last reachable
}

// delivery is an event on its way to a process.
type delivery struct {
	to    int
	tick  int // tick
	event Event
}

// simFleet is a set of processes, the links between them and the directory's record, on virtual time.
type simFleet struct {
	t                  interface{ Fatalf(string, ...any) }
	falseRecord        bool // each read of the record claims that it has long named the reader's own view
	rng                *rand.Rand
	tick               int
	processes          []*simProcess
	cut                [][]bool // from, to
	cutFromDirectory   []bool   // cut off from the directory
	inFlight           []delivery
	names              []string // in the record
	revision           int64
	changedAt          int
	highestIncarnation map[[2]int]uint64 // largest incarnation of a member that a process has seen
	leftIncarnation    map[[2]int]uint64
}

func (f *simFleet) now() time.Duration { return time.Hour + time.Duration(f.tick)*tick }

func (f *simFleet) start(i int, lostFolder bool) {
	p := f.processes[i]
	for j := range f.processes { // a new process remembers nothing of the others
		delete(f.highestIncarnation, [2]int{i, j})
		delete(f.leftIncarnation, [2]int{i, j})
	}
	if lostFolder {
		p.saved = 0
	}
	self := Statement{Name: fmt.Sprint("n", i), ProcessID: f.rng.Uint64() | 1, Addr: fmt.Sprint("a", i)}
	p.view = New(testTerms(), self, p.saved, 1_700_000_000_000+int64(f.tick)*500+p.clockError, f.now())
	p.saved, p.running, p.ticksUnreachable = p.view.Self().Incarnation, true, map[int]int{}
	p.view.Advance(f.now(), StageServing, 0)
}

func (f *simFleet) deliver(i int, ev Event) {
	p := f.processes[i]
	if !p.running {
		return
	}
	for _, a := range p.view.Step(f.now(), ev) {
		switch a := a.(type) {
		case NameConflict:
			f.t.Fatalf("tick %d: n%d reports %+v though each name has one process at a time", f.tick, i, a)
		case SendBack:
			var j int
			if fmt.Sscanf(a.Name, "n%d", &j); !f.cut[i][j] {
				f.inFlight = append(f.inFlight, delivery{j, f.tick + 1, StatementReceived(a)})
			}
		}
	}
	p.saved = p.view.Self().Incarnation
}

// step simulates one tick: failure detectors run, each process sends its statements to one other, and some
// read the record.
func (f *simFleet) step(loss float64, maxDelay int) {
	f.tick++
	due := slices.Clone(f.inFlight)
	f.inFlight = slices.DeleteFunc(f.inFlight, func(l delivery) bool { return l.tick <= f.tick })
	for _, l := range due {
		if l.tick <= f.tick {
			f.deliver(l.to, l.event)
		}
	}
	for i, p := range f.processes {
		if !p.running {
			continue
		}
		for j, q := range f.processes {
			if i == j {
				continue
			}
			if q.running && !f.cut[i][j] && !f.cut[j][i] {
				if p.ticksUnreachable[j] >= suspectTicks {
					f.deliver(i, Responded{fmt.Sprint("n", j)})
				}
				p.ticksUnreachable[j] = 0
				continue
			}
			switch p.ticksUnreachable[j]++; p.ticksUnreachable[j] % unreachableTicks { // the detector also looks for members that it hears of later
			case suspectTicks:
				f.deliver(i, Suspected{fmt.Sprint("n", j)})
			case 0:
				f.deliver(i, Unreachable{fmt.Sprint("n", j)})
			}
		}
		f.deliver(i, Tick{})
		j := f.rng.IntN(len(f.processes))
		if j != i && !f.cut[i][j] {
			f.gossip(i, j, loss, maxDelay)
		}
		if !f.cutFromDirectory[i] && f.rng.IntN(3) == 0 {
			read := RecordRead{Names: f.names, Revision: f.revision, UnchangedFor: time.Duration(f.tick-f.changedAt) * tick, RequestedAt: f.now()}
			if f.falseRecord {
				read.Names, read.Revision, read.UnchangedFor = p.view.Counted(), 1, time.Hour
			}
			f.inFlight = append(f.inFlight, delivery{i, f.tick + f.rng.IntN(maxDelay+1), read})
			if names, on, ok := p.view.Proposal(); ok && on == f.revision {
				f.names, f.revision, f.changedAt = names, f.revision+1, f.tick
			}
		}
	}
	f.check()
}

// setCuts sets the links between processes; all reach the directory again.
func (f *simFleet) setCuts(cut func(from, to int) bool) {
	for a := range f.processes {
		for b := range f.processes {
			f.cut[a][b] = cut(a, b)
		}
	}
	clear(f.cutFromDirectory)
}

func (f *simFleet) gossip(i, j int, loss float64, maxDelay int) {
	statements := []Statement{f.processes[i].view.Self()}
	for _, m := range f.processes[i].view.Members() {
		if m.State.Counted() {
			statements = append(statements, m.Statement)
		}
	}
	for _, s := range statements {
		for copies := 1 + f.rng.IntN(2); copies > 0; copies-- {
			if f.rng.Float64() >= loss {
				f.inFlight = append(f.inFlight, delivery{j, f.tick + 1 + f.rng.IntN(maxDelay+1), StatementReceived{s}})
			}
		}
	}
}

// check verifies the invariants that hold at any time.
func (f *simFleet) check() {
	var larger []string
	for i, p := range f.processes {
		if !p.running {
			continue
		}
		for _, m := range p.view.Members() {
			var k int
			fmt.Sscanf(m.Name, "n%d", &k)
			at := [2]int{i, k}
			if m.Incarnation < f.highestIncarnation[at] {
				f.t.Fatalf("tick %d: at n%d the incarnation of %s went back", f.tick, i, m.Name)
			}
			f.highestIncarnation[at] = m.Incarnation
			if was, ok := f.leftIncarnation[at]; ok && m.State != StateLeft && m.Incarnation <= was {
				f.t.Fatalf("tick %d: at n%d %s is %v again in the incarnation in which it left", f.tick, i, m.Name, m.State)
			}
			if m.State == StateLeft {
				f.leftIncarnation[at] = m.Incarnation
			}
		}
		if p.view.Side() != SideLarger {
			continue
		}
		if names := p.view.Counted(); larger != nil && !slices.Equal(names, larger) {
			f.t.Fatalf("tick %d: %v and %v are both the larger side", f.tick, larger, names)
		} else {
			larger = names
		}
	}
}

func newFleet(t interface{ Fatalf(string, ...any) }, n int, seed uint64) *simFleet {
	f := &simFleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), highestIncarnation: map[[2]int]uint64{}, leftIncarnation: map[[2]int]uint64{}}
	for i := range n {
		f.processes, f.cutFromDirectory, f.cut = append(f.processes, &simProcess{}), append(f.cutFromDirectory, false), append(f.cut, make([]bool, n))
		f.start(i, false)
	}
	return f
}

// Under any schedule of cuts (also one-way), losses, delays, crashes, restarts with a lost folder or a wrong
// clock, departures and an unreachable directory: no incarnation goes back, a member that has left stays
// away, no two views are SideLarger, and some time after the last fault all agree.
func TestViewsConvergeUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "processes")
		f := newFleet(t, n, rapid.Uint64().Draw(t, "seed"))
		process := rapid.IntRange(0, n-1)
		for range rapid.IntRange(1, 15).Draw(t, "faults") {
			i := process.Draw(t, "process")
			p := f.processes[i]
			switch rapid.SampledFrom([]string{"cut", "part", "heal", "kill", "start", "leave", "away", "clock"}).Draw(t, "fault") {
			case "cut":
				f.cut[i][process.Draw(t, "from")] = true
			case "part":
				side := rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "side")
				f.setCuts(func(a, b int) bool { return side[a] != side[b] })
			case "heal":
				f.setCuts(func(int, int) bool { return false })
			case "kill":
				p.running = false
			case "start":
				if !p.running {
					f.start(i, rapid.Bool().Draw(t, "its folder is lost"))
				}
			case "leave":
				if p.running {
					p.view.Advance(f.now(), StageExited, 0)
					f.gossip(i, (i+1)%n, 0, 1)
					p.running = false
				}
			case "away":
				f.cutFromDirectory[i] = !f.cutFromDirectory[i]
			case "clock":
				p.clockError = int64(rapid.IntRange(-3_600_000, 3_600_000).Draw(t, "ms"))
			}
			for range rapid.IntRange(1, 20).Draw(t, "ticks") {
				f.step(0.2, 6)
			}
		}
		f.setCuts(func(int, int) bool { return false })
		for range 80 {
			f.step(0, 1)
		}
		for i, p := range f.processes {
			if share, _ := p.view.Agreement(); p.running && share < 1 {
				t.Fatalf("40 s after the last fault n%d agrees with only %.2f of the others: %v", i, share, p.view.Counted())
			}
		}
	})
}

// failureRecorder records the last failure that check reports.
type failureRecorder struct{ message string }

func (f *failureRecorder) Fatalf(format string, args ...any) {
	f.message = fmt.Sprintf(format, args...)
}

// The check must find two larger sides if the record tells each process what suits it.
func TestCheckFindsFalseRecord(t *testing.T) {
	for seed := range uint64(20) {
		recorder := &failureRecorder{}
		f := newFleet(recorder, 5, seed)
		f.falseRecord = true
		for range 5 {
			f.setCuts(func(a, b int) bool { return a != b && f.rng.IntN(3) == 0 })
			for range 20 {
				f.step(0, 2)
			}
		}
		if strings.Contains(recorder.message, "larger") {
			return
		}
	}
	t.Error("no two larger sides were found with 20 seeds")
}

// Two processes under one name at the same time must be detected by both and by the others, and all must
// choose the same one to end.
func TestNameConflictIsDetected(t *testing.T) {
	at := time.Hour
	one := New(testTerms(), Statement{Name: "n", ProcessID: 7, Addr: "here"}, 10, 0, at)
	one.Advance(at, StageServing, 0)
	two := New(testTerms(), Statement{Name: "n", ProcessID: 9, Addr: "there"}, 10, 0, at)
	other := New(testTerms(), Statement{Name: "o", ProcessID: 1}, 0, 0, at)
	conflicts := map[string]int{}
	count := func(who string, actions []Action) {
		for _, a := range actions {
			if r, ok := a.(NameConflict); ok {
				if r.End.Addr != "there" {
					t.Errorf("%s would end the process that serves", who)
				}
				conflicts[who]++
			}
		}
	}
	for range 4 {
		count("other", other.Step(at, StatementReceived{one.Self()}))
		count("two", two.Step(at, StatementReceived{one.Self()}))
		count("other", other.Step(at, StatementReceived{two.Self()}))
		count("one", one.Step(at, StatementReceived{two.Self()}))
	}
	if len(conflicts) != 3 {
		t.Errorf("the conflict was reported by %v", conflicts)
	}
}

// A restart within the grace must not count as a failure, and must not change the view.
func TestRestartWithinGraceChangesNoView(t *testing.T) {
	at := time.Hour
	v := New(testTerms(), Statement{Name: "me", ProcessID: 1}, 0, 0, at)
	v.Advance(at, StageServing, 0)
	statement := Statement{Name: "n", ProcessID: 2, Incarnation: 5, Sequence: 1, Stage: StageServing}
	v.Step(at, StatementReceived{statement})
	digest := v.digest
	statement.Sequence, statement.Stage = 2, StageExited
	v.Step(at+time.Second, StatementReceived{statement})
	v.Step(at+2*time.Second, Unreachable{"n"})
	v.Step(at+5*time.Second, StatementReceived{Statement{Name: "n", ProcessID: 3, Incarnation: 6, Sequence: 1, Stage: StageServing}})
	v.Step(at+time.Minute, Tick{})
	if m := v.Members()[0]; m.State != StatePresent || v.digest != digest {
		t.Errorf("after a restart the member is %v", m.State)
	}
	v.Step(at+2*time.Minute, Unreachable{"n"})
	v.Step(at+3*time.Minute, Tick{})
	if m := v.Members()[0]; m.State != StateFailed || v.EffectiveSize() != 2 || v.Side() != SideUnknown {
		t.Errorf("after the grace the member is %v, the size %d, the side %v", m.State, v.EffectiveSize(), v.Side())
	}
}
