package choice

import (
	"testing"
	"time"
)

// A node that was held up before it read a request takes the deadline for later than it is. An answer that comes when
// the message may be over does not count: it says nothing certain of the other messages of its call.
func TestAnswersCountOnlyWhileTheMessageIsCertainlyOpen(t *testing.T) {
	const holdUp = 150 * time.Millisecond // that the operators allow for
	for _, effect := range []Effect{Idempotent, Deduplicated, AtMostOnce} {
		s := New(Settings{Slots: 1, MayCancel: true, Classes: []Class{{SoftDeadline: time.Second, Deadline: 10 * time.Second, Worth: 1, Effect: effect}}}, 1)
		now := time.Hour
		deadline := now + 10*time.Second
		actions := s.Step(now, []Event{
			ListUpdate{Complete: true, Entries: []Entry{{Endpoint: "e", Dest: 1}}},
			MessageArrived{ID: "a", Dest: 1, Deadline: deadline},
		})
		sends := 0
		for _, a := range actions {
			if send, ok := a.(Send); ok {
				sends++
				if send.ResultBy > deadline-holdUp {
					t.Errorf("effect %d: an answer counts until %v before the deadline", effect, deadline-send.ResultBy)
				}
			}
		}
		if sends != 1 {
			t.Errorf("effect %d: %d sends", effect, sends)
		}
	}
}
