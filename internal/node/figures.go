package node

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// figures are what the operators' address tells of this process. Whoever knows a fact counts it; anyone may read.
type figures struct {
	classes                 []string
	ok, shed, errors, tries []atomic.Int64 // messages, by class
	active, listed, avoided atomic.Int64
	share                   atomic.Pointer[followedPartitions] // nil: without [ownership]
	notOwned                atomic.Int64                       // requests that are other nodes'
}

func newFigures(classes []string) *figures {
	counts := func() []atomic.Int64 { return make([]atomic.Int64, len(classes)) }
	return &figures{classes: classes, ok: counts(), shed: counts(), errors: counts(), tries: counts()}
}

// count adds a message to one of the counts. A class that a journal of old names and the settings no longer do has
// no figure.
func count(of []atomic.Int64, class int) {
	if class >= 0 && class < len(of) {
		of[class].Add(1)
	}
}

// told counts what a client or the platform is told of a message's end.
func (f *figures) told(class int, failed bool) {
	if failed {
		count(f.errors, class)
		return
	}
	count(f.shed, class)
}

// write puts out all figures, one a line.
func (f *figures) write(w io.Writer) {
	for i, class := range f.classes {
		fmt.Fprintf(w, "app.ok.%s:%d|c\n", class, f.ok[i].Load())
		fmt.Fprintf(w, "app.shed.%s:%d|c\n", class, f.shed[i].Load())
		fmt.Fprintf(w, "app.errors.%s:%d|c\n", class, f.errors[i].Load())
		fmt.Fprintf(w, "app.tries.%s:%d|c\n", class, f.tries[i].Load())
	}
	fmt.Fprintf(w, "app.active:%d|g\napp.pool_size:%d|g\napp.pool_ejected:%d|g\n",
		f.active.Load(), f.listed.Load(), f.avoided.Load())
	if s := f.share.Load(); s != nil {
		followed, _ := s.setAt(time.Now())
		fmt.Fprintf(w, "app.map:%d|g\napp.partitions_owned:%d|g\napp.partitions_lingering:%d|g\napp.not_owned:%d|c\n",
			s.mapNumber, s.owned.Len(), followed.Without(s.owned).Len(), f.notOwned.Load())
	}
}
