package node

import (
	"testing"
	"time"
)

// A node that has heard nothing for long, and looks for a map again and again, rests between its looks: the silence that made it look
// is no work that is due.
func TestFollowerRestsBetweenLooks(t *testing.T) {
	t.Parallel()
	now := time.Now()
	f := &follower{unheard: time.Minute}
	for _, c := range []struct {
		name          string
		heard         time.Time
		lookAt, keeps time.Time
		want          time.Time
	}{
		{name: "heard a moment ago", heard: now, want: now.Add(time.Minute)},
		{name: "silent, and a look to come", heard: now.Add(-time.Hour), lookAt: now.Add(8 * time.Second), want: now.Add(8 * time.Second)},
		{name: "silent, and a look and a map to keep to come", heard: now.Add(-time.Hour), lookAt: now.Add(8 * time.Second), keeps: now.Add(time.Second),
			want: now.Add(time.Second)},
		{name: "silent, and nothing looked for yet", heard: now.Add(-time.Hour), want: now.Add(time.Minute - time.Hour)},
	} {
		f.heard.Store(c.heard.UnixNano())
		f.lookAt, f.keepAt = c.lookAt, c.keeps
		if got := f.wake(now); !got.Equal(c.want) {
			t.Errorf("%s: wakes in %v, want %v", c.name, got.Sub(now), c.want.Sub(now))
		}
	}
}
