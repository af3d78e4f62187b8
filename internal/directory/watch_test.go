package directory

import "testing"

// No watch is added once the set is closed, so that none outlives its server.
func TestClosedWatchSetAddsNothing(t *testing.T) {
	w := watchSet{all: map[*watchConn]bool{}}
	open := &watchConn{}
	if !w.add(open, 2) {
		t.Fatal("an open set refuses a watch")
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		w.closeAndWait()
	}()
	for done := false; !done; {
		w.mu.Lock()
		done = w.closed
		w.mu.Unlock()
	}
	if w.add(&watchConn{}, 2) {
		t.Error("a closed set adds a watch")
	}
	w.remove(open)
	<-closed
}
