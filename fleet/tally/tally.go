// Package tally computes from a history how well a fleet served its clients: the worth served by class, tenant,
// node and interval, what reached the partners, and the latencies of messages.
package tally

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"starlingusher/fleet/history"
)

// Interval is the length of the time intervals of Report.Intervals.
const Interval = 5 * time.Second

// Class tells what a delivered message of a class is worth: Worth until SoftDeadline after it was first due, then
// linearly less, down to the share WorthAtDeadline of Worth shortly before Deadline, and nothing from Deadline on.
type Class struct {
	Name                   string
	SoftDeadline, Deadline time.Duration
	Worth                  float64
	WorthAtDeadline        float64
}

// WorthAfter returns the worth of a message delivered at the given time after it was first due.
func (c Class) WorthAfter(latency time.Duration) float64 {
	switch {
	case latency <= c.SoftDeadline:
		return c.Worth
	case latency >= c.Deadline:
		return 0
	}
	lateShare := float64(latency-c.SoftDeadline) / float64(c.Deadline-c.SoftDeadline)
	return c.Worth * (1 - (1-c.WorthAtDeadline)*lateShare)
}

// Config describes the run whose history is counted. The events refer to classes, tenants and nodes by their
// index, and to partners by their number below Partners.
type Config struct {
	Classes  []Class
	Tenants  []string
	Nodes    []string
	Partners int
	// Weight returns the factor on the worth of the message with a number: 1 within its tenant's share, less
	// above it; nil: always 1.
	Weight func(messageNumber int) float64
}

// Line tells how a part of the messages ended. Each message counts as Delivered, Refused, Failed or Unknown.
type Line struct {
	Name        string  `json:"name"`
	Messages    int     `json:"messages"`
	Delivered   int     `json:"delivered"`
	Refused     int     `json:"refused"` // at the last submission, or returned in a notice and not submitted again
	Failed      int     `json:"failed"`
	Unknown     int     `json:"unheard"`      // no answer to the last submission, or accepted and no end seen
	WorthAsked  float64 `json:"worth_asked"`  // worth if all messages had been delivered in time
	WorthServed float64 `json:"worth_served"` // worth of the delivered messages
}

// Share returns the worth served divided by the worth asked for, or 1 if none was asked for.
func (l Line) Share() float64 {
	if l.WorthAsked == 0 {
		return 1
	}
	return l.WorthServed / l.WorthAsked
}

// PartnerLine counts what reached a partner.
type PartnerLine struct {
	Partner     int            `json:"partner"`
	Calls       int            `json:"calls"`
	Messages    int            `json:"messages"`
	Connections int            `json:"connections"` // newly opened
	CallEnds    map[string]int `json:"ends"`        // number of calls by the state of package history in which they ended
}

// Percentiles summarizes a set of recorded times. In JSON they are nanoseconds.
type Percentiles struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50"`
	P90   time.Duration `json:"p90"`
	P99   time.Duration `json:"p99"`
	Max   time.Duration `json:"max"`
	HDR   string        `json:"hdr,omitempty"` // all recorded times in microseconds, in the compressed format of HdrHistogram
}

// Recorder records times from a microsecond to an hour with a precision of three significant digits.
type Recorder struct{ h *hdrhistogram.Histogram }

// NewRecorder returns an empty Recorder.
func NewRecorder() Recorder { return Recorder{hdrhistogram.New(1, time.Hour.Microseconds(), 3)} }

// Record adds a time. A time out of range counts as the nearest one in range.
func (r Recorder) Record(d time.Duration) {
	_ = r.h.RecordValue(min(max(d.Microseconds(), 1), time.Hour.Microseconds())) // can't fail: the value is within range
}

// Percentiles returns the percentiles of the recorded times.
func (r Recorder) Percentiles() Percentiles {
	quantile := func(q float64) time.Duration { return time.Duration(r.h.ValueAtQuantile(q)) * time.Microsecond }
	p := Percentiles{Count: r.h.TotalCount(), P50: quantile(50), P90: quantile(90), P99: quantile(99), Max: time.Duration(r.h.Max()) * time.Microsecond}
	if encoded, err := r.h.Encode(hdrhistogram.V2CompressedEncodingCookieBase); err == nil && p.Count > 0 {
		p.HDR = string(encoded)
	}
	return p
}

// Report is the result of Count.
type Report struct {
	All             Line          `json:"all"`
	Classes         []Line        `json:"classes"`
	Tenants         []Line        `json:"members"`
	Nodes           []Line        `json:"nodes"`
	Intervals       []Line        `json:"stretches"`
	Partners        []PartnerLine `json:"partners"`
	Submissions     int           `json:"handed_in"`         // of all messages, resubmissions included
	Attempts        int           `json:"tries"`             // messages in all calls
	Connections     int           `json:"connections"`       // opened to partners
	CallsAboveLimit int           `json:"calls_above_limit"` // calls that partners rejected because of their rate limits
	RanTwice        int           `json:"ran_twice"`         // messages that ran more than once, whatever their class
	TimeToAnswer    Percentiles   `json:"time_to_answer"`    // from each submission to its answer
	TimeToDelivery  Percentiles   `json:"time_to_delivery"`  // from when a message was first due until its delivery
}

type message struct {
	firstSubmission history.Event
	dueAt           time.Duration // when the message was first due
	state           string        // from the last submission on: the last answer or notice; empty: none
	latency         time.Duration // from dueAt to the delivery
	delivered       bool
}

// Count computes the report of a history, which must be in order of time. Only a message whose client was told
// that it was accepted can count as delivered.
func Count(config Config, events []history.Event) Report {
	r := Report{
		Classes: make([]Line, len(config.Classes)), Tenants: make([]Line, len(config.Tenants)), Nodes: make([]Line, len(config.Nodes)),
		Partners: make([]PartnerLine, config.Partners),
	}
	for i, c := range config.Classes {
		r.Classes[i].Name = c.Name
	}
	for i, name := range config.Tenants {
		r.Tenants[i].Name = name
	}
	for i, name := range config.Nodes {
		r.Nodes[i].Name = name
	}
	for i := range r.Partners {
		r.Partners[i] = PartnerLine{Partner: i, CallEnds: map[string]int{}}
	}
	toAnswer, toDelivery := NewRecorder(), NewRecorder()
	messages, order := map[int]*message{}, []int{} // by number, and the numbers in order of their first submission
	numbers := map[string]int{}                    // number of the message, by id
	submittedAt := map[string]time.Duration{}
	callIDs := map[uint64][]string{}
	runs := map[int]int{}
	// The ids that the client was told were accepted; the time of the first delivery before that answer, by id.
	accepted, earlyDelivery := map[string]bool{}, map[string]time.Duration{}
	deliver := func(id string, at time.Duration) {
		if !accepted[id] { // counts only if the answer that it was accepted follows
			if _, before := earlyDelivery[id]; !before {
				earlyDelivery[id] = at
			}
			return
		}
		if m := messages[numbers[id]]; m != nil && !m.delivered {
			m.delivered, m.state, m.latency = true, history.Accepted, at-m.dueAt
			toDelivery.Record(m.latency)
		}
	}
	for _, e := range events {
		switch e.Kind {
		case history.Submitted:
			r.Submissions++
			numbers[e.ID], submittedAt[e.ID] = e.MessageNumber, e.At
			m := messages[e.MessageNumber]
			if m == nil {
				m = &message{firstSubmission: e, dueAt: e.FirstAt}
				messages[e.MessageNumber] = m
				order = append(order, e.MessageNumber)
			}
			if !m.delivered {
				m.state = ""
			}
		case history.Answered:
			if m := messages[numbers[e.ID]]; m != nil && !m.delivered {
				m.state = e.State
			}
			if e.State == history.Taken {
				accepted[e.ID] = true
				if at, ok := earlyDelivery[e.ID]; ok {
					deliver(e.ID, at)
				}
			}
			if e.State != history.ClientTimedOut && e.State != history.ConnectionLost {
				toAnswer.Record(e.At - submittedAt[e.ID])
			}
		case history.NoticeReceived:
			if m := messages[numbers[e.ID]]; m != nil && !m.delivered {
				m.state = e.State
			}
		case history.Connected:
			r.Connections++
			if e.Partner >= 0 && e.Partner < len(r.Partners) {
				r.Partners[e.Partner].Connections++
			}
		case history.CallStarted:
			callIDs[e.Call] = e.IDs
			r.Attempts += len(e.IDs)
			if e.Partner >= 0 && e.Partner < len(r.Partners) {
				r.Partners[e.Partner].Calls++
				r.Partners[e.Partner].Messages += len(e.IDs)
			}
		case history.CallEnded:
			if e.Partner >= 0 && e.Partner < len(r.Partners) {
				r.Partners[e.Partner].CallEnds[e.State]++
			}
			if e.State == history.AboveLimit {
				r.CallsAboveLimit++
			}
			if e.State == history.Accepted {
				for i, id := range callIDs[e.Call] {
					if i < len(e.Outcomes) && e.Outcomes[i] == history.OutcomeAccepted {
						deliver(id, e.At)
					}
				}
			}
			delete(callIDs, e.Call)
		case history.Executed:
			if number := numbers[e.ID]; number != 0 {
				if runs[number]++; runs[number] == 2 {
					r.RanTwice++
				}
			}
		}
	}
	r.All.Name = "all"
	for _, number := range order {
		m := messages[number]
		class := config.Classes[m.firstSubmission.Class]
		weight := 1.0
		if config.Weight != nil {
			weight = config.Weight(number)
		}
		lines := []*Line{&r.All, &r.Classes[m.firstSubmission.Class], &r.Tenants[m.firstSubmission.Tenant], r.interval(m.dueAt)}
		if n := m.firstSubmission.Node; n >= 0 && n < len(r.Nodes) {
			lines = append(lines, &r.Nodes[n])
		}
		for _, l := range lines {
			l.Messages++
			l.WorthAsked += class.Worth * weight
			switch {
			case m.delivered:
				l.Delivered++
				l.WorthServed += class.WorthAfter(m.latency) * weight
			case m.state == history.Refused || m.state == history.Returned:
				l.Refused++
			case m.state == history.Failed:
				l.Failed++
			default:
				l.Unknown++
			}
		}
	}
	r.TimeToAnswer, r.TimeToDelivery = toAnswer.Percentiles(), toDelivery.Percentiles()
	return r
}

// interval returns the line of the interval that contains a time, and adds missing lines.
func (r *Report) interval(at time.Duration) *Line {
	i := int(max(at, 0) / Interval)
	for len(r.Intervals) <= i {
		r.Intervals = append(r.Intervals, Line{Name: (time.Duration(len(r.Intervals)) * Interval).String()})
	}
	return &r.Intervals[i]
}

// WorstInterval returns the interval with the lowest share of worth served, among those with at least a fifth
// of the mean number of messages.
func (r *Report) WorstInterval() (Line, bool) {
	var worst Line
	found := false
	for _, l := range r.Intervals {
		if l.Messages*5*len(r.Intervals) >= r.All.Messages && (!found || l.Share() < worst.Share()) {
			worst, found = l, true
		}
	}
	return worst, found
}

// FindLine returns the line with the given name.
func FindLine(lines []Line, name string) (Line, bool) {
	i := slices.IndexFunc(lines, func(l Line) bool { return l.Name == name })
	if i < 0 {
		return Line{}, false
	}
	return lines[i], true
}
