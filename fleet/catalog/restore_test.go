package catalog

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// firstToken is the first fencing token of a state that bootstrapped returns: one more than its history.
const firstToken = 1001

// recordState returns a state after the commands.
func recordState(t *testing.T, commands ...Command) *State {
	t.Helper()
	s := bootstrapped(t, 0)
	for _, c := range commands {
		apply(t, s, c)
	}
	return s
}

func acquire(name, holder string, ttl int64) Command {
	return Command{Acquire: &RecordOp{Name: name, Holder: holder, TTL: ttl, Value: []byte("of " + holder), SetValue: true}}
}

// restored returns the state after a restore of a backup as a leader proposes it.
func restored(t *testing.T, s *State, backup Image) *State {
	t.Helper()
	image, err := s.RestoreImage(backup)
	if err != nil {
		t.Fatal(err)
	}
	apply(t, s, Command{At: 2000, Restore: &image})
	return s
}

// A lease that stands when a backup is restored goes on, by its token, and nobody else gets the record. It guards against two
// holders of one lease.
func TestRestoreKeepsStandingLeases(t *testing.T) {
	for name, before := range map[string][]Command{
		"free in the backup":             {acquire("r", "first", 1000), {Release: &RecordOp{Name: "r", Token: firstToken}}},
		"held by another in the backup":  {acquire("r", "first", 1000)},
		"not in the backup":              {},
		"held by the same in the backup": {acquire("r", "holder", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			s := recordState(t, before...)
			backup := s.Image()
			if r, held := s.Record("r"); held && r.Holder != "" {
				s.Apply(Command{Release: &RecordOp{Name: "r", Token: r.Token}})
			}
			granted := apply(t, s, acquire("r", "holder", 20_000))
			s = restored(t, s, backup)
			if r := s.Apply(acquire("r", "rival", 1000)); !errors.Is(r.Err, ErrNotHolder) {
				t.Errorf("a rival gets the record: %+v", r)
			}
			if r := s.Apply(Command{Update: &RecordOp{Name: "r", Token: granted.Token, Value: []byte("v")}}); r.Err != nil {
				t.Errorf("the holder has lost its record: %v", r.Err)
			}
			apply(t, s, Command{Release: &RecordOp{Name: "r", Token: granted.Token}})
			if next := s.Apply(acquire("r", "rival", 1000)); next.Err != nil || next.Token <= granted.Token {
				t.Errorf("the next holder's token is %d after %d, %v", next.Token, granted.Token, next.Err)
			}
		})
	}
}

// A record that is free now is free after the restore, whoever held it in the backup: that lease was let go.
func TestRestoreRevivesNoLease(t *testing.T) {
	s := recordState(t, acquire("r", "old", 0))
	backup := s.Image()
	old, _ := s.Record("r")
	s.Apply(Command{Release: &RecordOp{Name: "r", Token: old.Token}})
	s = restored(t, s, backup)
	if got, _ := s.Record("r"); got.Holder != "" || string(got.Value) != "of old" {
		t.Errorf("got %+v", got)
	}
}

// In a service that has lost its data, a record that nobody held in the backup may have been taken since. It is given out
// after the longest lease that the backup knows.
func TestRestoreIntoNewServiceWaits(t *testing.T) {
	s := recordState(t, acquire("long", "h", 9000), acquire("r", "first", 1000))
	r, _ := s.Record("r")
	s.Apply(Command{Release: &RecordOp{Name: "r", Token: r.Token}})
	fresh := restored(t, recordState(t), s.Image())
	if got := fresh.Apply(acquire("r", "rival", 1000)); !errors.Is(got.Err, ErrNotHolder) {
		t.Fatalf("the record is given out at once: %+v", got)
	}
	leases := NewLeaseManager(1, time.Second, 0)
	leases.DueCommands(fresh, 0)
	for _, c := range []struct {
		at   time.Duration
		free bool
	}{{8 * time.Second, false}, {9 * time.Second, true}} {
		due, _ := leases.DueCommands(fresh, c.at)
		for _, command := range due {
			fresh.Apply(command)
		}
		if got, _ := fresh.Record("r"); (got.Holder == "") != c.free {
			t.Errorf("after %v: held by %q", c.at, got.Holder)
		}
	}
	if got := fresh.Apply(acquire("r", "rival", 1000)); got.Err != nil || got.Token <= r.Token {
		t.Errorf("after the wait: %+v", got)
	}
}

// The number of a held write is not given again after a restore: an operator may be about to confirm the former one.
func TestRestoreReusesNoHeldNumber(t *testing.T) {
	s := bootstrapped(t, 4)
	backup := s.Image()
	hold := func(keep string) int64 {
		return expectError(t, s, Command{Write: &Write{Base: Base{Any: true}, Replace: true, GuardShare: 0.5, Members: []Endpoint{endpoint(keep, 0)}}}, ErrHeld).Held
	}
	former := hold("e0")
	s = restored(t, s, backup)
	if next := hold("e1"); next <= former {
		t.Errorf("held writes have the numbers %d and %d", former, next)
	}
}

// A held write that takes the place of another one says so.
func TestHeldWriteNamesTheOneItReplaces(t *testing.T) {
	s := bootstrapped(t, 4)
	for i, want := range []string{"", "in place of held write 1"} {
		r := expectError(t, s, Command{Write: &Write{Base: Base{Any: true}, Replace: true, GuardShare: 0.5, Members: []Endpoint{endpoint(fmt.Sprint("e", i), 0)}}}, ErrHeld)
		if !strings.Contains(r.Err.Error(), want) {
			t.Errorf("got %q, want %q in it", r.Err, want)
		}
	}
}
