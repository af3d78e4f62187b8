package node

import (
	"testing"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/internal/wire"
)

// Zones that are not in the settings are told apart: where one zone's endpoints drop repeats, another's do
// not.
func TestUnknownZonesAreDistinct(t *testing.T) {
	names := wire.Names{Zones: []string{"a", "b"}}
	got := entries([]catalog.Endpoint{{ID: "1", Locality: "b"}, {ID: "2", Locality: "x"}, {ID: "3", Locality: "y"}, {ID: "4", Locality: "x"}}, names)
	if got[0].Zone != 1 || got[1].Zone >= 0 || got[2].Zone >= 0 || got[1].Zone == got[2].Zone || got[1].Zone != got[3].Zone {
		t.Errorf("got %+v", got)
	}
	s := pastAttempt{zone: got[1].Zone}
	j := &journal{live: map[uint64]*pendingMessage{1: {seq: 1}}}
	if j.apply(attemptRecord(1, time.Now(), s.zone)); j.live[1].attempts[0].zone != s.zone {
		t.Errorf("zone %d came back from the journal as %d", s.zone, j.live[1].attempts[0].zone)
	}
}
