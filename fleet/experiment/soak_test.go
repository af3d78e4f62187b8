package experiment

import (
	"reflect"
	"testing"
)

// Each seed of a soak gives a valid day, always the same one, and together they have every fault of the list.
func TestSoakFiles(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(200) {
		f, err := SoakFile(seed)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		again, err := SoakFile(seed)
		if err != nil || !reflect.DeepEqual(f, again) {
			t.Fatalf("seed %d gives another day the second time: %v", seed, err)
		}
		for _, x := range f.Faults {
			seen[x.Kind] = true
		}
	}
	for _, kind := range []string{"kill", "restart", "signals"} {
		if !seen[kind] {
			t.Errorf("no day has a fault of kind %q", kind)
		}
	}
	for _, f := range soakFaults {
		if !seen[f.kind] {
			t.Errorf("no day has a fault of kind %q", f.kind)
		}
	}
}
