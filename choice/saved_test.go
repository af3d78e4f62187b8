package choice

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// handOver returns the sender as another process restores it.
func handedOver(t testing.TB, s *Sender, cfg Settings) *Sender {
	t.Helper()
	saved, err := s.Save()
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(saved)
	if err != nil {
		t.Fatal(err)
	}
	var come Saved
	if err := json.Unmarshal(text, &come); err != nil {
		t.Fatal(err)
	}
	heir, err := Restore(cfg, come)
	if err != nil {
		t.Fatal(err)
	}
	return heir
}

// A sender that is handed over every few steps, with calls out, acts like one that never was.
func TestHandedOverActsTheSame(t *testing.T) {
	acts := func(w *story) []string {
		if len(w.sends) < 50 && w.cfg.MaxOpen > 10 {
			t.Errorf("only %d sends: the scenario tests little", len(w.sends))
		}
		return slices.DeleteFunc(w.log, func(line string) bool { return strings.Contains(line, "Wake") })
	}
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			out := 0
			moved := interruptedStory(t, seed, 1500, func(n int, w *story) {
				barNow(n, w)
				if n%7 == 3 {
					w.s = handedOver(t, w.s, w.cfg)
					out += len(w.s.sent)
				}
			})
			want, got := acts(interruptedStory(t, seed, 1500, barNow)), acts(moved)
			if len(got) == 0 || (out == 0 && moved.cfg.MaxOpen > 10) {
				t.Fatal("the scenario tests nothing")
			}
			for i := range min(len(want), len(got)) {
				if want[i] != got[i] {
					t.Fatalf("action %d is %s, want %s", i, got[i], want[i])
				}
			}
			if len(want) != len(got) {
				t.Errorf("%d actions, want %d", len(got), len(want))
			}
		})
	}
}

// A route saved by a build that did not count rate shares in multiples of the traffic share must get a usable
// rate share.
func TestRouteFromBeforeSharesHasAPart(t *testing.T) {
	if r := (SavedRoute{Part: 0.01}).route(); r.part != partFirst || r.most != partMost {
		t.Errorf("the rate share is %v, its upper bound %v", r.part, r.most)
	}
}
