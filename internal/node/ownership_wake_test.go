package node

import (
	"testing"
	"time"
)

// A node that has long heard nothing, and fetches the map again and again, pauses between the fetches: the
// silence that caused them must not count as work that is due.
func TestFollowerPausesBetweenFetches(t *testing.T) {
	t.Parallel()
	now := time.Now()
	f := &follower{maxSilence: time.Minute}
	for _, c := range []struct {
		name            string
		heard           time.Time
		fetchAt, saveAt time.Time
		want            time.Time
	}{
		{name: "heard a moment ago", heard: now, want: now.Add(time.Minute)},
		{name: "silent, with a fetch due later", heard: now.Add(-time.Hour), fetchAt: now.Add(8 * time.Second), want: now.Add(8 * time.Second)},
		{name: "silent, with a fetch and a map to save due later", heard: now.Add(-time.Hour), fetchAt: now.Add(8 * time.Second), saveAt: now.Add(time.Second),
			want: now.Add(time.Second)},
		{name: "silent, with no fetch scheduled", heard: now.Add(-time.Hour), want: now.Add(time.Minute - time.Hour)},
	} {
		f.heardAt.Store(c.heard)
		f.fetchAt, f.saveAt = c.fetchAt, c.saveAt
		if got := f.nextWake(now); !got.Equal(c.want) {
			t.Errorf("%s: wakes in %v, want %v", c.name, got.Sub(now), c.want.Sub(now))
		}
	}
}
