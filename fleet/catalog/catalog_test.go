package catalog

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

func endpoint(id string, cell int) Endpoint {
	return Endpoint{ID: id, Addr: "10.0.0.1:80", Locality: "a", Flavor: "k", Cell: cell, Phase: Serving, Size: 1}
}

func with(e Endpoint, phase string) Endpoint { e.Phase = phase; return e }

// bootstrapped returns a state with n endpoints of partner 0.
func bootstrapped(t testing.TB, n int) *State {
	s := New()
	apply(t, s, Command{At: 1000, Bootstrap: &Bootstrap{}})
	if n > 0 {
		var all []Endpoint
		for i := range n {
			all = append(all, endpoint(fmt.Sprint("e", i), 0))
		}
		apply(t, s, Command{Write: &Write{Base: Base{Any: true}, Members: all}})
	}
	return s
}

type failer interface{ Fatalf(string, ...any) }

func apply(t failer, s *State, c Command) Result {
	r := s.Apply(c)
	if r.Err != nil {
		t.Fatalf("%+v: %v", c, r.Err)
	}
	return r
}

func expectError(t *testing.T, s *State, c Command, want error) Result {
	t.Helper()
	before := s.Revision()
	r := s.Apply(c)
	if !errors.Is(r.Err, want) {
		t.Errorf("%+v: error %v, want %v", c, r.Err, want)
	}
	if s.Revision() != before {
		t.Errorf("%+v was refused but created revision %d", c, s.Revision())
	}
	return r
}

func TestConcurrentWritesConflict(t *testing.T) {
	s := bootstrapped(t, 3)
	base := Base{History: s.History(), Revision: s.Revision()}
	drain := func(id string, b Base) Command {
		return Command{Write: &Write{Base: b, Members: []Endpoint{with(endpoint(id, 0), Draining)}}}
	}
	apply(t, s, drain("e0", base))
	apply(t, s, drain("e1", base)) // no conflict: another endpoint
	expectError(t, s, Command{Write: &Write{Base: base, Members: []Endpoint{endpoint("e0", 0)}}}, ErrConflict)
	expectError(t, s, Command{Write: &Write{Base: base, Replace: true, Members: []Endpoint{endpoint("e9", 0)}}}, ErrConflict)
	expectError(t, s, drain("e2", Base{Revision: 99}), ErrConflict)
	expectError(t, s, drain("e2", Base{History: 5, Revision: s.Revision()}), ErrConflict)
	if r := apply(t, s, drain("e0", Base{Any: true})); r.Revision != 3 {
		t.Errorf("a write that changes nothing created revision %d", r.Revision)
	}
	expectError(t, s, Command{Write: &Write{Base: Base{Any: true}, Members: []Endpoint{endpoint("new", 0), {ID: "e2", Phase: "ODD"}}}}, ErrInvalid)
	if _, listed := s.image.Entries["new"]; listed {
		t.Error("a rejected write was partly applied")
	}
}

func TestGuardHoldsBack(t *testing.T) {
	s := bootstrapped(t, 4)
	shrinkList := Command{Write: &Write{Base: Base{Any: true}, Replace: true, GuardShare: 0.5, Members: []Endpoint{endpoint("e0", 0)}}}
	held := expectError(t, s, shrinkList, ErrHeld).Held
	if again := expectError(t, s, shrinkList, ErrHeld); again.Held != held {
		t.Errorf("the same list was held back again as number %d", again.Held)
	}
	k := NewLeaseManager(0.5, time.Second, time.Minute)
	if due, wait := k.DueCommands(s, 0); len(due) > 0 || wait != time.Minute {
		t.Errorf("due immediately: %v, wait %v", due, wait)
	}
	due, _ := k.DueCommands(s, time.Minute)
	if len(due) != 1 || due[0].Confirm == nil {
		t.Fatalf("due after a minute: %+v", due)
	}
	apply(t, s, due[0])
	if len(s.Entries()) != 1 || s.Held() != nil {
		t.Errorf("after the waiting time the list is %v, held %v", s.Entries(), s.Held())
	}
	expectError(t, s, Command{Confirm: &Confirm{Number: held}}, ErrNotFound)
	empty := Command{Write: &Write{Base: Base{Any: true}, Replace: true, GuardShare: 1}}
	expectError(t, s, empty, ErrHeld) // an empty list is held back at any share
	empty.Write.Confirmed = true
	apply(t, s, empty)
	if len(s.Entries()) != 0 || s.Held() != nil {
		t.Error("a confirmed list was not applied")
	}
}

// Confirming a held write must not undo writes that were made while it was held.
func TestConfirmationKeepsLaterWrites(t *testing.T) {
	for _, whole := range []bool{true, false} {
		s := bootstrapped(t, 4)
		w := Write{Base: Base{Any: true}, Replace: whole, GuardShare: 0.5, Members: []Endpoint{endpoint("e0", 0)}}
		if !whole {
			w.Members = []Endpoint{with(endpoint("e1", 0), Deleted), with(endpoint("e2", 0), Deleted), with(endpoint("e3", 0), Deleted)}
		}
		held := expectError(t, s, Command{Write: &w}, ErrHeld).Held
		apply(t, s, Command{Write: &Write{Base: Base{Any: true}, Members: []Endpoint{with(endpoint("e0", 0), Draining), with(endpoint("e3", 0), Draining), endpoint("new", 0)}}})
		apply(t, s, Command{Confirm: &Confirm{Number: held}})
		got := fmt.Sprint(s.FullList().Members)
		want := fmt.Sprint([]Endpoint{with(endpoint("e0", 0), Draining), with(endpoint("e3", 0), Draining), endpoint("new", 0)})
		if got != want {
			t.Errorf("complete list %v: the list is %s", whole, got)
		}
	}
}

// A snapshot must preserve a held write in full. Otherwise confirming it would change the list on replicas
// that have not restarted since, and not on the others.
func TestSnapshotKeepsHeldWrite(t *testing.T) {
	s := bootstrapped(t, 4)
	w := Write{Base: Base{Any: true}, Replace: true, GuardShare: 0.5, Members: []Endpoint{endpoint("e0", 0)}}
	held := expectError(t, s, Command{Write: &w}, ErrHeld).Held
	raw, err := cbor.Marshal(s.Image())
	if err != nil {
		t.Fatal(err)
	}
	var i Image
	if err := cbor.Unmarshal(raw, &i); err != nil {
		t.Fatal(err)
	}
	restarted, err := Load(i)
	if err != nil {
		t.Fatal(err)
	}
	for _, of := range []*State{s, restarted} {
		apply(t, of, Command{Confirm: &Confirm{Number: held}})
	}
	if !reflect.DeepEqual(s.FullList(), restarted.FullList()) || s.Size() != 1 {
		t.Errorf("after the confirmation the list is %+v, and %+v at a restarted replica", s.FullList(), restarted.FullList())
	}
}

func TestLeaseExpiryIsLimitedByShare(t *testing.T) {
	s := bootstrapped(t, 0)
	for i := range 6 {
		apply(t, s, Command{Write: &Write{Base: Base{Any: true}, TTL: 1000, Members: []Endpoint{endpoint(fmt.Sprint("e", i), i/4)}}})
	}
	k := NewLeaseManager(0.5, 5*time.Second, 0)
	k.DueCommands(s, 0)
	if err := k.Renew(s, "e0", 900*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	k2 := NewLeaseManager(0.5, 5*time.Second, 0)
	k2.DueCommands(s, 0)
	if due, _ := k2.DueCommands(s, time.Second); len(due) != 1 || len(due[0].Expire.Drain) != 3 {
		t.Errorf("due: %+v", due)
	} else if id := due[0].Expire.Drain[0]; !errors.Is(k2.Renew(s, id, time.Second), ErrNotFound) {
		t.Errorf("%s was renewed while its expiry was in flight", id)
	}
	step := func(now time.Duration) {
		due, _ := k.DueCommands(s, now)
		for _, c := range due {
			apply(t, s, c)
		}
	}
	step(999 * time.Millisecond)
	if s.Revision() != 6 {
		t.Fatal("a lease expired early")
	}
	step(time.Second) // e1 to e3 of partner 0 and both endpoints of partner 1 have not renewed; half of each partner's may expire
	if l := s.ListSince(6); len(l.Members) != 3 {
		t.Fatalf("expired: %+v", l.Members)
	}
	if err := k.Renew(s, "e1", time.Second); !errors.Is(err, ErrNotFound) {
		t.Errorf("an expired lease was renewed: %v", err)
	}
	for now := time.Second; now < 30*time.Second; now += 500 * time.Millisecond {
		if err := k.Renew(s, "e0", now); err != nil {
			t.Fatal(err)
		}
		step(now)
	}
	remaining := map[int]int{}
	for _, e := range s.Entries() {
		remaining[e.Cell]++
	}
	if remaining[0] != 1 || remaining[1] != 2 { // none of partner 1 renews, so a common cause is more likely
		t.Errorf("remaining endpoints by partner: %v", remaining)
	}
	// A new registration ends an expiry, but not an operator's drain.
	apply(t, s, Command{Write: &Write{Base: Base{Any: true}, TTL: 1000, Members: []Endpoint{endpoint("e4", 1)}}})
	apply(t, s, Command{Write: &Write{Base: Base{Any: true}, Members: []Endpoint{with(endpoint("e5", 1), Draining)}}})
	apply(t, s, Command{Write: &Write{Base: Base{Any: true}, TTL: 1000, Members: []Endpoint{endpoint("e5", 1)}}})
	if a, b := s.image.Entries["e4"], s.image.Entries["e5"]; a.Phase != Serving || a.Expired || b.Phase != Draining || b.TTL != 1000 {
		t.Errorf("after new registrations: %+v, %+v", a, b)
	}
}

func TestRecordsAreFencedByTokens(t *testing.T) {
	s := bootstrapped(t, 0)
	a := apply(t, s, Command{Acquire: &RecordOp{Name: "r", Holder: "a", TTL: 1000, Value: []byte("1"), SetValue: true}}).Token
	expectError(t, s, Command{Acquire: &RecordOp{Name: "r", Holder: "b", TTL: 1000}}, ErrNotHolder)
	k := NewLeaseManager(0.5, 0, 0)
	k.DueCommands(s, 0)
	due, _ := k.DueCommands(s, time.Second)
	if len(due) != 1 {
		t.Fatalf("due: %v", due)
	}
	if err := k.RenewRecord(s, "r", a, time.Second); !errors.Is(err, ErrNotHolder) {
		t.Errorf("renewed while its expiry is in flight: %v", err)
	}
	apply(t, s, due[0])
	b := apply(t, s, Command{Acquire: &RecordOp{Name: "r", Holder: "b"}}).Token
	if b <= a {
		t.Errorf("token %d after %d", b, a)
	}
	expectError(t, s, Command{Update: &RecordOp{Name: "r", Token: a, Value: []byte("late")}}, ErrNotHolder)
	image := s.Image()
	apply(t, s, Command{Update: &RecordOp{Name: "r", Token: b, Value: []byte("2")}})
	apply(t, s, Command{At: 1, Restore: &image})
	c := apply(t, s, Command{Release: &RecordOp{Name: "r", Token: b}})
	_ = c
	if d := apply(t, s, Command{Acquire: &RecordOp{Name: "r", Holder: "d"}}).Token; d <= b {
		t.Errorf("a token was reused after a restore: %d after %d", d, b)
	}
}

func TestRestoreStartsNewHistory(t *testing.T) {
	expectError(t, New(), Command{Write: &Write{Base: Base{Any: true}}}, ErrNotBootstrapped)
	s := bootstrapped(t, 2)
	image, history := s.Image(), s.History()
	apply(t, s, Command{Write: &Write{Base: Base{Any: true}, Members: []Endpoint{with(endpoint("e0", 0), Deleted)}}})
	apply(t, s, Command{At: 5, Restore: &image})
	if s.History() <= history || s.Revision() != 1 || len(s.Entries()) != 2 {
		t.Errorf("history %d after %d, revision %d", s.History(), history, s.Revision())
	}
	expectError(t, s, Command{Write: &Write{Base: Base{History: history, Revision: 1}, Members: []Endpoint{endpoint("e1", 0)}}}, ErrConflict)
	image.Revision = 7
	expectError(t, s, Command{Restore: &image}, ErrInvalid)
}

// Whatever is written, replicas must agree, also across a snapshot, and a follower must end up with the list,
// whether it applies every change or resumes at any revision.
func TestFollowersConvergeOnList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		follower := map[string]Endpoint{}
		follow := func(l List) {
			if l.Complete {
				clear(follower)
			}
			for _, m := range l.Members {
				if follower[m.ID] = m; m.Phase == Deleted {
					delete(follower, m.ID)
				}
			}
		}
		apply(t, a, Command{At: 1, Bootstrap: &Bootstrap{}})
		apply(t, b, Command{At: 1, Bootstrap: &Bootstrap{}})
		revision := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "writes") {
			w := Write{Base: Base{Revision: max(a.Revision()-rapid.Int64Range(0, 3).Draw(t, "behind"), 0)}, Replace: rapid.IntRange(0, 5).Draw(t, "whole") == 0}
			for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 7), 0, 4, rapid.ID[int]).Draw(t, "ids") {
				e := endpoint(fmt.Sprint("e", i), i%2)
				e.Phase = rapid.SampledFrom([]string{Serving, Draining, Deleted}).Draw(t, "phase")
				w.Members = append(w.Members, e)
			}
			w.GuardShare = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "guard")
			w.TTL = rapid.SampledFrom([]int64{0, 1000}).Draw(t, "ttl")
			before := a.Revision()
			ra, rb := a.Apply(Command{Write: &w}), b.Apply(Command{Write: &w})
			if ra.Revision != rb.Revision || !errors.Is(rb.Err, errors.Unwrap(ra.Err)) {
				t.Fatalf("replicas differ: %+v, %+v", ra, rb)
			}
			if a.Revision() > before+1 || ra.Err != nil && a.Revision() != before {
				t.Fatalf("revision %d after %d: %v", a.Revision(), before, ra.Err)
			}
			if rapid.Bool().Draw(t, "snapshot") {
				next, err := Load(b.Image())
				if err != nil {
					t.Fatal(err)
				}
				b = next
			}
			if rapid.Bool().Draw(t, "follows") {
				follow(a.ListSince(revision))
				revision = a.Revision()
			}
		}
		follow(a.ListSince(revision))
		whole := map[string]Endpoint{}
		for _, m := range a.FullList().Members {
			whole[m.ID] = m
		}
		if !reflect.DeepEqual(whole, follower) || !reflect.DeepEqual(a.Image(), b.Image()) {
			t.Fatalf("the list is %v, the follower has %v", whole, follower)
		}
	})
}

func TestHistoryIsBounded(t *testing.T) {
	s := bootstrapped(t, 1)
	for i := range MaxChanges + 10 {
		phase := Serving
		if i%2 == 0 {
			phase = Draining
		}
		apply(t, s, Command{Write: &Write{Base: Base{Any: true}, Members: []Endpoint{with(endpoint("e0", 0), phase)}}})
	}
	if changes, all := s.ChangesAfter(0); all || len(changes) != MaxChanges {
		t.Errorf("%d changes are kept, complete: %v", len(changes), all)
	}
	if l := s.ListSince(3); !l.Complete {
		t.Error("a revision before the kept changes got a partial list")
	}
	expectError(t, s, Command{Write: &Write{Base: Base{Revision: 3}, Members: []Endpoint{endpoint("x", 0)}}}, ErrConflict)
	if l := s.ListSince(s.Revision() - 3); l.Complete || len(l.Members) != 1 {
		t.Errorf("resumed: %+v", l)
	}
}
