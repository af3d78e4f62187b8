package directory

import (
	"errors"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"starlingusher/fleet/catalog"
)

// metrics are the Prometheus metrics of a replica.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	cuts     *prometheus.CounterVec
	writes   *prometheus.HistogramVec
}

func newMetrics(s *Server) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "directory_asks_total", Help: "Requests for the list and for watches, by result.",
		}, []string{"result"}),
		cuts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "directory_watch_cuts_total", Help: "Watches that the replica ended, by reason.",
		}, []string{"reason"}),
		writes: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "directory_write_seconds", Help: "Duration of writes at the leader, by result.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}, []string{"result"}),
	}
	gauge := func(name, help string, read func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read)
	}
	state := func(read func(*catalog.State) float64) func() float64 {
		return func() (v float64) {
			s.replica.fsm.view(func(st *catalog.State) { v = read(st) })
			return v
		}
	}
	m.registry.MustRegister(m.requests, m.cuts, m.writes,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		gauge("directory_watches", "Open watches.", func() float64 { return float64(s.watches.count()) }),
		gauge("directory_revision", "Revision of the list at this replica.", state(func(st *catalog.State) float64 { return float64(st.Revision()) })),
		gauge("directory_history", "Number of the current history.", state(func(st *catalog.State) float64 { return float64(st.History()) })),
		gauge("directory_held", "1 if a write awaits confirmation.", state(func(st *catalog.State) float64 {
			if st.Held() != nil {
				return 1
			}
			return 0
		})),
		gauge("directory_vouched", "0 if the source of the list is silent.", state(func(st *catalog.State) float64 {
			if st.SourceSilentSince() > 0 {
				return 0
			}
			return 1
		})),
		gauge("directory_map_number", "Number of the ownership map in force at this replica; 0: none.", func() float64 { return float64(s.replica.fsm.currentMap().number) }),
		gauge("directory_map_wrong", "1 if the record of the ownership map holds an invalid value.", func() float64 {
			if s.replica.fsm.currentMap().invalid != "" {
				return 1
			}
			return 0
		}),
		gauge("directory_leads", "1 at the leader.", func() float64 {
			if s.replica.isReadyLeader() {
				return 1
			}
			return 0
		}),
		gauge("directory_age_seconds", "Time since the last contact with the leader; 0 at the leader.", func() float64 { return s.replica.leaderContactAge().Seconds() }),
	)
	return m
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *metrics) countRequest(result string) { m.requests.WithLabelValues(result).Inc() }
func (m *metrics) countCut(reason string)     { m.cuts.WithLabelValues(reason).Inc() }

func (m *metrics) observeWrite(took time.Duration, err error) {
	result := "done"
	switch {
	case errors.Is(err, catalog.ErrHeld):
		result = "held"
	case errors.Is(err, ErrAmbiguous):
		result = "unknown"
	case err != nil:
		result = "refused"
	}
	m.writes.WithLabelValues(result).Observe(took.Seconds())
}
