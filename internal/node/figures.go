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
func countClass(counts []atomic.Int64, class int) {
	if class >= 0 && class < len(counts) {
		counts[class].Add(1)
	}
}

// countUndelivered counts a message whose end without delivery a client or the platform is told.
func (m *metrics) countUndelivered(class int, failed bool) {
	if failed {
		countClass(m.errors, class)
		return
	}
	countClass(m.shed, class)
}

// write writes all metrics, one a line.
func (m *metrics) write(w io.Writer) {
	for i, class := range m.classes {
		fmt.Fprintf(w, "app.ok.%s:%d|c\n", class, m.ok[i].Load())
		fmt.Fprintf(w, "app.shed.%s:%d|c\n", class, m.shed[i].Load())
		fmt.Fprintf(w, "app.errors.%s:%d|c\n", class, m.errors[i].Load())
		fmt.Fprintf(w, "app.tries.%s:%d|c\n", class, m.tries[i].Load())
	}
	fmt.Fprintf(w, "app.active:%d|g\napp.pool_size:%d|g\napp.pool_ejected:%d|g\n",
		m.activeMessages.Load(), m.listedEndpoints.Load(), m.avoidedEndpoints.Load())
	if s := m.ownership.Load(); s != nil {
		followed, _ := s.setAt(time.Now())
		fmt.Fprintf(w, "app.map:%d|g\napp.partitions_owned:%d|g\napp.partitions_lingering:%d|g\napp.not_owned:%d|c\n",
			s.mapNumber, s.owned.Len(), followed.Without(s.owned).Len(), m.notOwned.Load())
	}
}
