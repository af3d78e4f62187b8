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
	tick  = 500 * time.Millisecond
	doubt = 3 // ticks without contact to a member after which the detector suspects it
	lost  = 8 // ticks after which the detector gives up on it
)

func testTerms() Terms {
	return Terms{Grace: 6 * time.Second, Forget: time.Hour, Lease: 4 * time.Second}
}

// process is one process of a simulated fleet.
type process struct {
	view    *View
	saved   uint64
	wall    int64 // error of its clock, in ms
	up      bool
	unheard map[int]int // ticks since the other process was last reachable
}

// delivery is an event on its way to a process.
type letter struct {
	to int
	at int // tick
	ev Event
}

// fleet is a set of processes, the links between them and the directory's record, on virtual time.
type fleet struct {
	t       interface{ Fatalf(string, ...any) }
	lies    bool // each read of the record claims that it has long named the reader's own view
	rng     *rand.Rand
	tick    int
	all     []*process
	cut     [][]bool // from, to
	away    []bool   // cut off from the directory
	post    []letter
	names   []string // in the record
	rev     int64
	changed int
	highest map[[2]int]uint64 // largest incarnation of a member that a process has seen
	left    map[[2]int]uint64
}

func (f *fleet) now() time.Duration { return time.Hour + time.Duration(f.tick)*tick }

func (f *fleet) start(i int, lostFolder bool) {
	p := f.all[i]
	for j := range f.all { // a new process remembers nothing of the others
		delete(f.highest, [2]int{i, j})
		delete(f.left, [2]int{i, j})
	}
	if lostFolder {
		p.saved = 0
	}
	self := Statement{Name: fmt.Sprint("n", i), Life: f.rng.Uint64() | 1, Addr: fmt.Sprint("a", i)}
	p.view = New(testTerms(), self, p.saved, 1_700_000_000_000+int64(f.tick)*500+p.wall, f.now())
	p.saved, p.up, p.unheard = p.view.Self().Incarnation, true, map[int]int{}
	p.view.Advance(f.now(), Serving, 0)
}

func (f *fleet) give(i int, ev Event) {
	p := f.all[i]
	if !p.up {
		return
	}
	for _, a := range p.view.Step(f.now(), ev) {
		switch a := a.(type) {
		case Refused:
			f.t.Fatalf("tick %d: n%d reports %+v though each name has one process at a time", f.tick, i, a)
		case Remind:
			var j int
			if fmt.Sscanf(a.Name, "n%d", &j); !f.cut[i][j] {
				f.post = append(f.post, letter{j, f.tick + 1, Said{a.Statement}})
			}
		}
	}
	p.saved = p.view.Self().Incarnation
}

// step simulates one tick: failure detectors run, each process sends its statements to one other, and some
// read the record.
func (f *fleet) step(loss float64, late int) {
	f.tick++
	due := slices.Clone(f.post)
	f.post = slices.DeleteFunc(f.post, func(l letter) bool { return l.at <= f.tick })
	for _, l := range due {
		if l.at <= f.tick {
			f.give(l.to, l.ev)
		}
	}
	for i, p := range f.all {
		if !p.up {
			continue
		}
		for j, q := range f.all {
			if i == j {
				continue
			}
			if q.up && !f.cut[i][j] && !f.cut[j][i] {
				if p.unheard[j] >= doubt {
					f.give(i, Heard{fmt.Sprint("n", j)})
				}
				p.unheard[j] = 0
				continue
			}
			switch p.unheard[j]++; p.unheard[j] % lost { // the detector also looks for members that it hears of later
			case doubt:
				f.give(i, Doubted{fmt.Sprint("n", j)})
			case 0:
				f.give(i, Lost{fmt.Sprint("n", j)})
			}
		}
		f.give(i, Tick{})
		j := f.rng.IntN(len(f.all))
		if j != i && !f.cut[i][j] {
			f.tell(i, j, loss, late)
		}
		if !f.away[i] && f.rng.IntN(3) == 0 {
			w := Witnessed{Names: f.names, Revision: f.rev, Stood: time.Duration(f.tick-f.changed) * tick, Asked: f.now()}
			if f.lies {
				w.Names, w.Revision, w.Stood = p.view.Counted(), 1, time.Hour
			}
			f.post = append(f.post, letter{i, f.tick + f.rng.IntN(late+1), w})
			if names, on, ok := p.view.Proposal(); ok && on == f.rev {
				f.names, f.rev, f.changed = names, f.rev+1, f.tick
			}
		}
	}
	f.check()
}

// setCuts sets the links between processes; all reach the directory again.
func (f *fleet) part(cut func(from, to int) bool) {
	for a := range f.all {
		for b := range f.all {
			f.cut[a][b] = cut(a, b)
		}
	}
	clear(f.away)
}

func (f *fleet) tell(i, j int, loss float64, late int) {
	says := []Statement{f.all[i].view.Self()}
	for _, m := range f.all[i].view.Members() {
		if m.State.Counted() {
			says = append(says, m.Statement)
		}
	}
	for _, s := range says {
		for copies := 1 + f.rng.IntN(2); copies > 0; copies-- {
			if f.rng.Float64() >= loss {
				f.post = append(f.post, letter{j, f.tick + 1 + f.rng.IntN(late+1), Said{s}})
			}
		}
	}
}

// check verifies the invariants that hold at any time.
func (f *fleet) check() {
	var larger []string
	for i, p := range f.all {
		if !p.up {
			continue
		}
		for _, m := range p.view.Members() {
			var k int
			fmt.Sscanf(m.Name, "n%d", &k)
			at := [2]int{i, k}
			if m.Incarnation < f.highest[at] {
				f.t.Fatalf("tick %d: at n%d the incarnation of %s went back", f.tick, i, m.Name)
			}
			f.highest[at] = m.Incarnation
			if was, ok := f.left[at]; ok && m.State != Left && m.Incarnation <= was {
				f.t.Fatalf("tick %d: at n%d %s is %v again in the incarnation in which it left", f.tick, i, m.Name, m.State)
			}
			if m.State == Left {
				f.left[at] = m.Incarnation
			}
		}
		if p.view.Side() != Larger {
			continue
		}
		if names := p.view.Counted(); larger != nil && !slices.Equal(names, larger) {
			f.t.Fatalf("tick %d: %v and %v are both the larger side", f.tick, larger, names)
		} else {
			larger = names
		}
	}
}

func newFleet(t interface{ Fatalf(string, ...any) }, n int, seed uint64) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), highest: map[[2]int]uint64{}, left: map[[2]int]uint64{}}
	for i := range n {
		f.all, f.away, f.cut = append(f.all, &process{}), append(f.away, false), append(f.cut, make([]bool, n))
		f.start(i, false)
	}
	return f
}

// Under any schedule of cuts (also one-way), losses, delays, crashes, restarts with a lost folder or a wrong
// clock, departures and an unreachable directory: no incarnation goes back, a member that has left stays
// away, no two views are SideLarger, and some time after the last fault all agree.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "processes")
		f := newFleet(t, n, rapid.Uint64().Draw(t, "seed"))
		process := rapid.IntRange(0, n-1)
		for range rapid.IntRange(1, 15).Draw(t, "faults") {
			i := process.Draw(t, "process")
			p := f.all[i]
			switch rapid.SampledFrom([]string{"cut", "part", "heal", "kill", "start", "leave", "away", "clock"}).Draw(t, "fault") {
			case "cut":
				f.cut[i][process.Draw(t, "from")] = true
			case "part":
				side := rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "side")
				f.part(func(a, b int) bool { return side[a] != side[b] })
			case "heal":
				f.part(func(int, int) bool { return false })
			case "kill":
				p.up = false
			case "start":
				if !p.up {
					f.start(i, rapid.Bool().Draw(t, "its folder is lost"))
				}
			case "leave":
				if p.up {
					p.view.Advance(f.now(), Gone, 0)
					f.tell(i, (i+1)%n, 0, 1)
					p.up = false
				}
			case "away":
				f.away[i] = !f.away[i]
			case "clock":
				p.wall = int64(rapid.IntRange(-3_600_000, 3_600_000).Draw(t, "ms"))
			}
			for range rapid.IntRange(1, 20).Draw(t, "ticks") {
				f.step(0.2, 6)
			}
		}
		f.part(func(int, int) bool { return false })
		for range 80 {
			f.step(0, 1)
		}
		for i, p := range f.all {
			if share, _ := p.view.Agreement(); p.up && share < 1 {
				t.Fatalf("40 s after the last fault n%d agrees with only %.2f of the others: %v", i, share, p.view.Counted())
			}
		}
	})
}

// failureRecorder records the last failure that check reports.
type found struct{ what string }

func (f *found) Fatalf(format string, args ...any) { f.what = fmt.Sprintf(format, args...) }

// The check must find two larger sides if the record tells each process what suits it.
func TestCheckFindsALyingWitness(t *testing.T) {
	for seed := range uint64(20) {
		got := &found{}
		f := newFleet(got, 5, seed)
		f.lies = true
		for range 5 {
			f.part(func(a, b int) bool { return a != b && f.rng.IntN(3) == 0 })
			for range 20 {
				f.step(0, 2)
			}
		}
		if strings.Contains(got.what, "larger") {
			return
		}
	}
	t.Error("no two larger sides were found with 20 seeds")
}

// Two processes under one name at the same time must be detected by both and by the others, and all must
// choose the same one to end.
func TestTwoProcessesOfOneName(t *testing.T) {
	at := time.Hour
	one := New(testTerms(), Statement{Name: "n", Life: 7, Addr: "here"}, 10, 0, at)
	one.Advance(at, Serving, 0)
	two := New(testTerms(), Statement{Name: "n", Life: 9, Addr: "there"}, 10, 0, at)
	other := New(testTerms(), Statement{Name: "o", Life: 1}, 0, 0, at)
	ends := map[string]int{}
	note := func(who string, acts []Action) {
		for _, a := range acts {
			if r, ok := a.(Refused); ok {
				if r.Ends.Addr != "there" {
					t.Errorf("%s would end the process that serves", who)
				}
				ends[who]++
			}
		}
	}
	for range 4 {
		note("other", other.Step(at, Said{one.Self()}))
		note("two", two.Step(at, Said{one.Self()}))
		note("other", other.Step(at, Said{two.Self()}))
		note("one", one.Step(at, Said{two.Self()}))
	}
	if len(ends) != 3 {
		t.Errorf("the conflict was reported by %v", ends)
	}
}

// A restart within the grace must not count as a failure, and must not change the view.
func TestRestartWithinTheGrace(t *testing.T) {
	at := time.Hour
	v := New(testTerms(), Statement{Name: "me", Life: 1}, 0, 0, at)
	v.Advance(at, Serving, 0)
	says := Statement{Name: "n", Life: 2, Incarnation: 5, Count: 1, Stage: Serving}
	v.Step(at, Said{says})
	digest := v.digest
	says.Count, says.Stage = 2, Gone
	v.Step(at+time.Second, Said{says})
	v.Step(at+2*time.Second, Lost{"n"})
	v.Step(at+5*time.Second, Said{Statement{Name: "n", Life: 3, Incarnation: 6, Count: 1, Stage: Serving}})
	v.Step(at+time.Minute, Tick{})
	if m := v.Members()[0]; m.State != Present || v.digest != digest {
		t.Errorf("after a restart the member is %v", m.State)
	}
	v.Step(at+2*time.Minute, Lost{"n"})
	v.Step(at+3*time.Minute, Tick{})
	if m := v.Members()[0]; m.State != Failed || v.Size() != 2 || v.Side() != CantTell {
		t.Errorf("after the grace the member is %v, the size %d, the side %v", m.State, v.Size(), v.Side())
	}
}
