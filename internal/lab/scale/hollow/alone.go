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
	n := &soleNode{heapBefore: liveHeap()}
	var err error
	if n.rssBefore, err = rss(ownPID); err != nil {
		return nil, err
	}
	if n.Node, err = New(s, log); err != nil {
		return nil, err
	}
	n.probe = startLoopProbe(n.Node.Node)
	return n, nil
}

func (n *soleNode) start() {
	n.startedAt = time.Now()
	n.Run()
}

// readMemory sets the figures ID.rss and ID.heap: the memory that the node has added to the process.
func (n *soleNode) readMemory(r *play.Reading, id string) error {
	now, err := rss(ownPID)
	if err != nil {
		return err
	}
	r.SetValue(id+".rss", now-n.rssBefore)
	r.SetValue(id+".heap", liveHeap()-n.heapBefore)
	return nil
}

// close stops the node and joins its error to the given one.
func (n *soleNode) close(err error) error {
	n.probe.close()
	return errors.Join(err, n.Close())
}
