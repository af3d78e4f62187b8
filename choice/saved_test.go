package choice

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// handOver saves the sender and returns it as a successor restores it, through JSON.
func handOver(t testing.TB, s *Sender, cfg Settings) *Sender {
	t.Helper()
	saved, err := s.Save()
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(saved)
	if err != nil {
		t.Fatal(err)
	}
	var decoded Saved
	if err := json.Unmarshal(text, &decoded); err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(cfg, decoded)
	if err != nil {
		t.Fatal(err)
	}
	return restored
}

// A sender that is handed over every seven steps, with attempts out, acts like one that never is. Wakes are
// not compared.
func TestHandedOverSenderActsTheSame(t *testing.T) {
	actionsOf := func(w *scenario) []string {
		if len(w.sends) < 50 && w.cfg.MaxOpen > 10 {
			t.Errorf("only %d sends: the scenario tests little", len(w.sends))
		}
		return slices.DeleteFunc(w.log, func(line string) bool { return strings.Contains(line, "Wake") })
	}
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			attemptsOut := 0
			handedOver := interruptedScenario(t, seed, 1500, func(n int, w *scenario) {
				toggleDisabled(n, w)
				if n%7 == 3 {
					w.sender = handOver(t, w.sender, w.cfg)
					attemptsOut += len(w.sender.attemptsOut)
				}
			})
			want, got := actionsOf(interruptedScenario(t, seed, 1500, toggleDisabled)), actionsOf(handedOver)
			if len(got) == 0 || (attemptsOut == 0 && handedOver.cfg.MaxOpen > 10) {
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

// A route that was saved by a build which did not count rate shares in multiples of the traffic share must
// get a usable rate share.
func TestRouteOfAnOldBuildGetsARateShare(t *testing.T) {
	if r := (SavedRoute{RateShare: 0.01}).route(); r.rateShare != initialRateShare || r.maxRateShare != maxRateShare {
		t.Errorf("the rate share is %v, its upper bound %v", r.rateShare, r.maxRateShare)
	}
}
