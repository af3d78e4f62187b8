package hollow

import (
	"errors"
	"log/slog"
	"time"

	"starlingusher/internal/lab/scale/play"
)

// soleNode is the only hollow node of a play. The memory of the process before it was made is known, so that
// its own memory can be read, and a probe measures its loop. Its owner must call close.
type soleNode struct {
	*Node
	probe                 *loopProbe
	heapBefore, rssBefore float64 // of the process, before the node was made
	startedAt             time.Time
}

// newSoleNode makes the node of a spec whose files have been written. It does not run until start.
func newSoleNode(s Spec, log *slog.Logger) (*soleNode, error) {
	freeMemory()
	a := &soleNode{heapBefore: liveHeap()}
	var err error
	if a.rssBefore, err = rss(ownPID); err != nil {
		return nil, err
	}
	if a.Node, err = New(s, log); err != nil {
		return nil, err
	}
	a.probe = startLoopProbe(a.Node.Node)
	return a, nil
}

func (a *soleNode) start() {
	a.startedAt = time.Now()
	a.Run()
}

// readMemory sets the figures ID.rss and ID.heap: the memory that the node has added to the process.
func (a *soleNode) readMemory(r *play.Reading, id string) error {
	now, err := rss(ownPID)
	if err != nil {
		return err
	}
	r.SetValue(id+".rss", now-a.rssBefore)
	r.SetValue(id+".heap", liveHeap()-a.heapBefore)
	return nil
}

// close stops the node and joins its error to the given one.
func (a *soleNode) close(err error) error {
	a.probe.close()
	return errors.Join(err, a.Close())
}
