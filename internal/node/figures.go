package node

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// metrics are the counts and gauges of this process that the operators' address shows. Any goroutine may read
// and update them.
type metrics struct {
	classes                                           []string
	ok, shed, errors, tries                           []atomic.Int64 // messages, by class
	activeMessages, listedEndpoints, avoidedEndpoints atomic.Int64
	ownership                                         atomic.Pointer[followedPartitions] // nil without [ownership]
	notOwned                                          atomic.Int64                       // requests for destinations of other nodes
}

func newMetrics(classes []string) *metrics {
	counts := func() []atomic.Int64 { return make([]atomic.Int64, len(classes)) }
	return &metrics{classes: classes, ok: counts(), shed: counts(), errors: counts(), tries: counts()}
}

// countClass adds a message to one of the counts. A class that is named in an older journal and no longer in
// the settings is not counted.
func countClass(of []atomic.Int64, class int) {
	if class >= 0 && class < len(of) {
		of[class].Add(1)
	}
}

// countUndelivered counts a message whose end without delivery a client or the platform is told.
func (f *metrics) countUndelivered(class int, failed bool) {
	if failed {
		countClass(f.errors, class)
		return
	}
	countClass(f.shed, class)
}

// write writes all metrics, one a line.
func (f *metrics) write(w io.Writer) {
	for i, class := range f.classes {
		fmt.Fprintf(w, "app.ok.%s:%d|c\n", class, f.ok[i].Load())
		fmt.Fprintf(w, "app.shed.%s:%d|c\n", class, f.shed[i].Load())
		fmt.Fprintf(w, "app.errors.%s:%d|c\n", class, f.errors[i].Load())
		fmt.Fprintf(w, "app.tries.%s:%d|c\n", class, f.tries[i].Load())
	}
	fmt.Fprintf(w, "app.active:%d|g\napp.pool_size:%d|g\napp.pool_ejected:%d|g\n",
		f.activeMessages.Load(), f.listedEndpoints.Load(), f.avoidedEndpoints.Load())
	if s := f.ownership.Load(); s != nil {
		followed, _ := s.setAt(time.Now())
		fmt.Fprintf(w, "app.map:%d|g\napp.partitions_owned:%d|g\napp.partitions_lingering:%d|g\napp.not_owned:%d|c\n",
			s.mapNumber, s.owned.Len(), followed.Without(s.owned).Len(), f.notOwned.Load())
	}
}
