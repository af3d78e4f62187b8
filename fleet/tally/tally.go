// Package tally counts what a fleet has earned in a history: worth served by class, member, node and stretch of time,
// refusals at partners, and the times that messages took.
package tally

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"starlingusher/fleet/history"
)

// Stretch is the length of the stretches of time that service is told for.
const Stretch = 5 * time.Second

// Class is what a message earns: Worth until Aim after it was first due, then evenly less down to the share LateWorth of
// it at Deadline, then nothing.
type Class struct {
	Name          string
	Aim, Deadline time.Duration
	Worth         float64
	LateWorth     float64
}

// Earns is the worth of a message delivered so long after it was first due.
func (c Class) Earns(took time.Duration) float64 {
	switch {
	case took <= c.Aim:
		return c.Worth
	case took >= c.Deadline:
		return 0
	}
	past := float64(took-c.Aim) / float64(c.Deadline-c.Aim)
	return c.Worth * (1 - (1-c.LateWorth)*past)
}

// Terms say what is counted.
type Terms struct {
	Classes  []Class
	Members  []string
	Nodes    []string
	Partners int
	// Weight is what a case counts for its member's traffic over its share, 1 inside it; nil: always 1.
	Weight func(c int) float64
}

// Line is the service of a part of the traffic.
type Line struct {
	Name      string  `json:"name"`
	Messages  int     `json:"messages"`
	Delivered int     `json:"delivered"`
	Refused   int     `json:"refused"` // at the last try, or handed back and not tried again
	Failed    int     `json:"failed"`
	Unheard   int     `json:"unheard"` // no answer, or no end seen
	Asked     float64 `json:"worth_asked"`
	Served    float64 `json:"worth_served"`
}

// Share is the worth served over the worth asked for, 1 where nothing was asked for.
func (l Line) Share() float64 {
	if l.Asked == 0 {
		return 1
	}
	return l.Served / l.Asked
}

// PartnerLine is what reached a partner.
type PartnerLine struct {
	Partner  int            `json:"partner"`
	Calls    int            `json:"calls"`
	Messages int            `json:"messages"`
	Opened   int            `json:"connections"` // new ones
	Ends     map[string]int `json:"ends"`        // of calls, by history's states
}

// Times are the percentiles of a time that was measured often.
type Times struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50"`
	P90   time.Duration `json:"p90"`
	P99   time.Duration `json:"p99"`
	Max   time.Duration `json:"max"`
	HDR   string        `json:"hdr,omitempty"` // the whole histogram in microseconds, in HDR's compressed form
}

// Recorder records times from a microsecond to an hour, to three digits.
type Recorder struct{ h *hdrhistogram.Histogram }

// NewRecorder makes an empty one.
func NewRecorder() Recorder { return Recorder{hdrhistogram.New(1, time.Hour.Microseconds(), 3)} }

// Record adds a time; one out of range counts as the nearest in it.
func (r Recorder) Record(d time.Duration) {
	_ = r.h.RecordValue(min(max(d.Microseconds(), 1), time.Hour.Microseconds())) // within range
}

// Times reads it.
func (r Recorder) Times() Times {
	at := func(q float64) time.Duration { return time.Duration(r.h.ValueAtQuantile(q)) * time.Microsecond }
	t := Times{Count: r.h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), Max: time.Duration(r.h.Max()) * time.Microsecond}
	if whole, err := r.h.Encode(hdrhistogram.V2CompressedEncodingCookieBase); err == nil && t.Count > 0 {
		t.HDR = string(whole)
	}
	return t
}

// Report is what was counted.
type Report struct {
	All       Line          `json:"all"`
	Classes   []Line        `json:"classes"`
	Members   []Line        `json:"members"`
	Nodes     []Line        `json:"nodes"`
	Stretches []Line        `json:"stretches"`
	Partners  []PartnerLine `json:"partners"`
	Handed    int           `json:"handed_in"` // all tries of all messages
	Tries     int           `json:"tries"`     // messages in calls
	Opened    int           `json:"connections"`
	Above     int           `json:"calls_above_limit"`
	Doubled   int           `json:"ran_twice"` // messages that ran more than once, whatever their class
	Answers   Times         `json:"time_to_answer"`
	Delivery  Times         `json:"time_to_delivery"`
}

type message struct {
	in    history.Event
	due   time.Duration
	state string // the last one known
	took  time.Duration
	done  bool
}

// Count reads a history, in the order of its times.
func Count(terms Terms, events []history.Event) Report {
	r := Report{
		Classes: make([]Line, len(terms.Classes)), Members: make([]Line, len(terms.Members)), Nodes: make([]Line, len(terms.Nodes)),
		Partners: make([]PartnerLine, terms.Partners),
	}
	for i, c := range terms.Classes {
		r.Classes[i].Name = c.Name
	}
	for i, name := range terms.Members {
		r.Members[i].Name = name
	}
	for i, name := range terms.Nodes {
		r.Nodes[i].Name = name
	}
	for i := range r.Partners {
		r.Partners[i] = PartnerLine{Partner: i, Ends: map[string]int{}}
	}
	answers, delivery := NewRecorder(), NewRecorder()
	cases, order := map[int]*message{}, []int{}
	ids := map[string]int{}
	handed := map[string]time.Duration{}
	began := map[uint64][]string{}
	ran := map[int]int{}
	taken, early := map[string]bool{}, map[string]time.Duration{} // by id; delivered before its client had its answer
	deliver := func(id string, at time.Duration) {
		if !taken[id] { // what its client never heard of counts for nothing
			if _, before := early[id]; !before {
				early[id] = at
			}
			return
		}
		if m := cases[ids[id]]; m != nil && !m.done {
			m.done, m.state, m.took = true, history.Accepted, at-m.due
			delivery.Record(m.took)
		}
	}
	for _, e := range events {
		switch e.Kind {
		case history.HandedIn:
			r.Handed++
			ids[e.ID], handed[e.ID] = e.Case, e.At
			m := cases[e.Case]
			if m == nil {
				m = &message{in: e, due: e.First}
				cases[e.Case] = m
				order = append(order, e.Case)
			}
			if !m.done {
				m.state = ""
			}
		case history.Answered:
			if m := cases[ids[e.ID]]; m != nil && !m.done {
				m.state = e.State
			}
			if e.State == history.Taken {
				taken[e.ID] = true
				if at, ok := early[e.ID]; ok {
					deliver(e.ID, at)
				}
			}
			if e.State != history.Unheard && e.State != history.Broken {
				answers.Record(e.At - handed[e.ID])
			}
		case history.Noticed:
			if m := cases[ids[e.ID]]; m != nil && !m.done {
				m.state = e.State
			}
		case history.Opened:
			r.Opened++
			if e.Partner >= 0 && e.Partner < len(r.Partners) {
				r.Partners[e.Partner].Opened++
			}
		case history.CallBegan:
			began[e.Call] = e.IDs
			r.Tries += len(e.IDs)
			if e.Partner >= 0 && e.Partner < len(r.Partners) {
				r.Partners[e.Partner].Calls++
				r.Partners[e.Partner].Messages += len(e.IDs)
			}
		case history.CallEnded:
			if e.Partner >= 0 && e.Partner < len(r.Partners) {
				r.Partners[e.Partner].Ends[e.State]++
			}
			if e.State == history.Above {
				r.Above++
			}
			if e.State == history.Accepted {
				for i, id := range began[e.Call] {
					if i < len(e.Fates) && e.Fates[i] == history.FateAccepted {
						deliver(id, e.At)
					}
				}
			}
			delete(began, e.Call)
		case history.Ran:
			if c := ids[e.ID]; c != 0 {
				if ran[c]++; ran[c] == 2 {
					r.Doubled++
				}
			}
		}
	}
	r.All.Name = "all"
	for _, c := range order {
		m := cases[c]
		class := terms.Classes[m.in.Class]
		weight := 1.0
		if terms.Weight != nil {
			weight = terms.Weight(c)
		}
		lines := []*Line{&r.All, &r.Classes[m.in.Class], &r.Members[m.in.Member], r.stretch(m.due)}
		if n := m.in.Node; n >= 0 && n < len(r.Nodes) {
			lines = append(lines, &r.Nodes[n])
		}
		for _, l := range lines {
			l.Messages++
			l.Asked += class.Worth * weight
			switch {
			case m.done:
				l.Delivered++
				l.Served += class.Earns(m.took) * weight
			case m.state == history.Refused || m.state == history.Returned:
				l.Refused++
			case m.state == history.Failed:
				l.Failed++
			default:
				l.Unheard++
			}
		}
	}
	r.Answers, r.Delivery = answers.Times(), delivery.Times()
	return r
}

// stretch is the line of the stretch that a time falls into.
func (r *Report) stretch(at time.Duration) *Line {
	i := int(max(at, 0) / Stretch)
	for len(r.Stretches) <= i {
		r.Stretches = append(r.Stretches, Line{Name: (time.Duration(len(r.Stretches)) * Stretch).String()})
	}
	return &r.Stretches[i]
}

// Worst is the stretch that was served worst, of those with a fifth of the mean of messages at least.
func (r *Report) Worst() (Line, bool) {
	var worst Line
	found := false
	for _, l := range r.Stretches {
		if l.Messages*5*len(r.Stretches) >= r.All.Messages && (!found || l.Share() < worst.Share()) {
			worst, found = l, true
		}
	}
	return worst, found
}

// Find returns the line of a name.
func Find(lines []Line, name string) (Line, bool) {
	i := slices.IndexFunc(lines, func(l Line) bool { return l.Name == name })
	if i < 0 {
		return Line{}, false
	}
	return lines[i], true
}
