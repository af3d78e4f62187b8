package hollow

import (
	"errors"
	"log/slog"
	"time"

	"starlingusher/internal/lab/scale/play"
)

// alone is the one hollow node of a play: what the process held before it is known, so that what it adds can be read, and its loop is
// watched. Its maker owns it, until close; run begins its life.
type alone struct {
	*Node
	loop      *stall
	heap, rss float64 // of the process, before the node
	began     time.Time
}

// newAlone makes the node of a spec whose files are written.
func newAlone(s Spec, log *slog.Logger) (*alone, error) {
	settle()
	a := &alone{heap: heap()}
	var err error
	if a.rss, err = rss(own); err != nil {
		return nil, err
	}
	if a.Node, err = New(s, log); err != nil {
		return nil, err
	}
	a.loop = watchLoop(a.Node.Node)
	return a, nil
}

func (a *alone) run() {
	a.began = time.Now()
	a.Run()
}

// read puts down the memory that the node has added to the process, under an id's rss and heap.
func (a *alone) read(r *play.Reading, id string) error {
	now, err := rss(own)
	if err != nil {
		return err
	}
	r.SetValue(id+".rss", now-a.rss)
	r.SetValue(id+".heap", heap()-a.heap)
	return nil
}

// close ends the node, and joins what went wrong to an error.
func (a *alone) close(err error) error {
	a.loop.close()
	return errors.Join(err, a.Close())
}
