package lab

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Comparison compares two sides, A and B, each an experiment or a program of the node, by pairs of runs with
// the same seed.
type Comparison struct {
	A, B  string // what was run on each side
	Pairs []SeedPair
}

// SeedPair holds the results of both sides for one seed.
type SeedPair struct {
	Seed uint64
	A, B *Result
}

// Difference is one metric compared between the sides.
type Difference struct {
	Name    string  `json:"name"`
	A       float64 `json:"a"` // mean over all runs of A
	B       float64 `json:"b"`
	Mean    float64 `json:"mean"` // mean over the pairs of B minus A
	Low     float64 `json:"low"`  // bounds of the 95% confidence interval of Mean; both are Mean if there are fewer than two pairs
	High    float64 `json:"high"`
	Verdict string  `json:"verdict"` // whether the interval shows a difference, in words
}

// Add adds a pair. Both sides must have run with the same seed.
func (c *Comparison) Add(a, b *Result) {
	c.Pairs = append(c.Pairs, SeedPair{Seed: a.Seed, A: a, B: b})
}

// FailedRuns returns the number of runs on both sides that did not pass.
func (c *Comparison) FailedRuns() int {
	n := 0
	for _, p := range c.Pairs {
		for _, r := range []*Result{p.A, p.B} {
			if !r.Passed {
				n++
			}
		}
	}
	return n
}

// Differences returns the difference of each metric, among them one for each class of the first run of A. It
// is NaN if another run lacks the class.
func (c *Comparison) Differences() []Difference {
	metrics := []struct {
		name string
		of   func(*Result) float64
	}{
		{"worth served", func(r *Result) float64 { return r.Tally.All.Share() }},
		{"worst five seconds", func(r *Result) float64 {
			l, _ := r.Tally.WorstInterval()
			return l.Share()
		}},
		{"refused per message", func(r *Result) float64 { return ratio(r.Tally.All.Refused, r.Tally.All.Messages) }},
		{"failed per message", func(r *Result) float64 { return ratio(r.Tally.All.Failed, r.Tally.All.Messages) }},
		{"attempts per message", func(r *Result) float64 { return ratio(r.Tally.Attempts, r.Tally.All.Messages) }},
		{"new connections per message", func(r *Result) float64 { return ratio(r.Tally.Connections, r.Tally.All.Messages) }},
		{"calls above limits per message", func(r *Result) float64 { return ratio(r.Tally.CallsAboveLimit, r.Tally.All.Messages) }},
		{"median time to delivery, s", func(r *Result) float64 { return r.Tally.TimeToDelivery.P50.Seconds() }},
		{"99th percentile of the time to delivery, s", func(r *Result) float64 { return r.Tally.TimeToDelivery.P99.Seconds() }},
		{"CPU time of the nodes, s", func(r *Result) float64 {
			sum := 0.0
			for _, u := range r.Processes {
				sum += u.CPU.Seconds()
			}
			return sum
		}},
		{"maximum memory of a node, MB", func(r *Result) float64 {
			most := 0.0
			for _, u := range r.Processes {
				most = max(most, float64(u.RSS)/(1<<20))
			}
			return most
		}},
		{"breaches", func(r *Result) float64 { return float64(len(r.Violations)) }},
	}
	if len(c.Pairs) > 0 {
		for i, l := range c.Pairs[0].A.Tally.Classes {
			metrics = append(metrics, struct {
				name string
				of   func(*Result) float64
			}{"class " + l.Name + " served", func(r *Result) float64 {
				if i >= len(r.Tally.Classes) {
					return math.NaN()
				}
				return r.Tally.Classes[i].Share()
			}})
		}
	}
	var out []Difference
	for _, metric := range metrics {
		var a, b, d []float64
		for _, p := range c.Pairs {
			x, y := metric.of(p.A), metric.of(p.B)
			a, b, d = append(a, x), append(b, y), append(d, y-x)
		}
		out = append(out, pairedDifference(metric.name, a, b, d))
	}
	return out
}

// ratio returns n divided by of, or n if of is 0.
func ratio(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

// pairedDifference returns the difference of one metric, given its values a and b on both sides and the
// differences d, B minus A, by pairs. The confidence interval is that of a paired Student's t-test.
func pairedDifference(name string, a, b, d []float64) Difference {
	out := Difference{Name: name, A: stat.Mean(a, nil), B: stat.Mean(b, nil), Verdict: "too few pairs"}
	mean, sd := stat.MeanStdDev(d, nil)
	out.Mean, out.Low, out.High = mean, mean, mean
	if n := float64(len(d)); n >= 2 {
		half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * sd / math.Sqrt(n)
		out.Low, out.High = mean-half, mean+half
		out.Verdict = "within the spread: no difference shown"
		switch {
		case sd == 0 && mean == 0:
			out.Verdict = "the same"
		case out.Low > 0:
			out.Verdict = "B is more"
		case out.High < 0:
			out.Verdict = "B is less"
		}
	}
	return out
}
