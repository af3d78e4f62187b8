//go:build !race

// A node drops a watch whose list has not come within 2.5 s. With the race detector lists of these sizes take
// longer.

package hollow

import (
	"strings"
	"testing"
)

// Beyond the directory's cap a stand-in serves the list. Beyond the longest list that a node takes, the play
// goes on with the module alone and reports the limit.
func TestDestinationsPastTheLimits(t *testing.T) {
	a := mustAxis(t, "destinations")
	set := map[string]float64{"changes": 2}
	r := mustPlay(t, a, 30_000, set, "directory.destinations.rss")
	if len(r.Limits()) > 0 || len(r.Notes) != 1 || !strings.Contains(r.Notes[0], "50000 endpoints at most") {
		t.Errorf("notes: %q", r.Notes)
	}
	var all []string
	for _, m := range a.Measures {
		all = append(all, m.ID)
	}
	r = mustPlay(t, a, 90_000, set, all...)
	if ends := r.Limits(); len(ends) != 1 || !strings.Contains(ends[0], "16 MB") || len(r.Values) > 0 {
		t.Errorf("limits: %q, values %v", ends, r.Values)
	}
	for _, m := range moduleMeasures {
		if r.Counts[m.ID] <= 0 {
			t.Errorf("%s is %v", m.ID, r.Counts[m.ID])
		}
	}
}
