package choice

import "time"

// Effect tells what a repeat of a message may do at its destination.
type Effect uint8

// The effects of a class.
const (
	Idempotent   Effect = iota // a repeat is harmless
	Deduplicated               // the destination drops repeats within DedupWindow
	AtMostOnce                 // must never run twice
)

// Class describes one kind of message. A zero field was not given.
type Class struct {
	SoftDeadline, Deadline time.Duration // full worth until SoftDeadline, part of it until Deadline; both count from the first submission
	SoftDeadlineStretch    float64       // extra soft deadline, as a multiple of the message's hint
	Worth                  float64
	LateWorth              float64 // share of Worth left at the deadline
	Effect                 Effect
	DedupWindow            time.Duration // Deduplicated: how long repeats are dropped
	DedupEverywhere        bool          // Deduplicated: every endpoint of the destination drops repeats, not only those of one zone
	Ordered                bool          // messages with the same key are sent one after the other
}

// Kind describes one kind of destination.
type Kind struct {
	SeparateRoutes bool // every endpoint is a route with limits and outages of its own
	MaxBatch       int  // maximum number of messages in one call
}

// Tenant is a customer with an allowance.
type Tenant struct {
	PerSecond float64 // allowed requests a second, over all senders
}

// Settings configure a sender. A zero value means that the setting was not given.
type Settings struct {
	Classes           []Class
	Kinds             []Kind
	Tenants           []Tenant
	FleetSize         int // number of senders
	Slots             int // maximum number of calls out at once
	MaxOpen           int // maximum number of messages held, whether waiting or sent
	MaxAttempts       int
	MayDuplicate      bool
	MayProbe          bool
	MayCancel         bool
	WatchOnRequest    bool // list changes come only after a Watch
	WorthHalves       bool // worth halves with each further soft deadline; otherwise it falls linearly
	RoughWeights      bool // an endpoint's Weight may be half too high or too low
	FullTableRejects  bool // an endpoint with a full connection table answers Rejected, so a failed connect is no sign of one
	WeightIsRate      bool // an endpoint's Weight is a rate in calls a second
	OverShareWorth    float64
	ZoneFee           []float64
	Tick              time.Duration
	MaxRetryAfter     time.Duration
	DialTimeout       time.Duration
	IdleConnTimeout   time.Duration // idle connections are closed after this time
	DrainGrace        time.Duration
	AnswerGrace       time.Duration
	CollapseMultiple  float64 // a destination in slow start collapses above this multiple of its capacity within CollapseSpan
	CollapseSpan      time.Duration
	SlowStartShare    float64       // share of its capacity that a destination has when it returns from an outage
	SlowStartDuration time.Duration // from then until it has all of its capacity
	KeyPause          time.Duration // pause of an ordered key after an attempt without an answer
	WatchWithin       time.Duration
}

// Outcome is how an attempt or a probe ended.
type Outcome uint8

// The outcomes. Rejected, Unreachable and Stale prove that nothing ran. Rejected is the endpoint's refusal,
// Unreachable means that no complete request reached the endpoint, and Stale that the call was out of date
// before it ran: the message or the endpoint was gone, or there was no slot.
const (
	Success Outcome = iota
	ServerError
	Rejected
	TimedOut
	Unreachable
	ConnectionBroken
	Canceled
	Stale
)

var outcomeNames = [...]string{
	Success: "success", ServerError: "server error", Rejected: "rejected", TimedOut: "timed out", Unreachable: "unreachable",
	ConnectionBroken: "connection broken", Canceled: "canceled", Stale: "stale",
}

// String returns the name of the outcome.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// Report is what an endpoint reports about its limit. The flag of a missing value is false.
type Report struct {
	Left, Limit       float64 // remaining share of the limit; the limit in calls a second, 0 for none
	HasLeft, HasLimit bool
}

// Phase is the state of an endpoint in the list.
type Phase uint8

// The phases.
const (
	Ready Phase = iota
	Draining
	Gone
)

// Entry is one endpoint of a list.
type Entry struct {
	Endpoint   string
	Zone, Kind int
	Dest       int
	Phase      Phase
	Weight     float64
}

// Event is an input of a Sender: ListUpdate, EndpointDisabled, WaitTold, MessageArrived, MessageResumed, AttemptEnded,
// MessageAbandoned, ProbeEnded, WakeDue or Stopping.
type Event interface{ event() }

// ListUpdate brings the list of endpoints, complete or as changes. Failed means that the list could not be
// had.
type ListUpdate struct {
	Complete, Failed bool
	Entries          []Entry
}

// EndpointDisabled says that an operator has disabled an endpoint, whatever the list says, or, with Lifted,
// that it is enabled again.
type EndpointDisabled struct {
	Endpoint string
	Lifted   bool
}

// WaitTold says that an endpoint has asked for a wait before this sender began.
type WaitTold struct {
	Endpoint string
	Until    time.Duration
}

// MessageArrived is a new message.
type MessageArrived struct {
	ID                  string
	Class, Tenant, Dest int
	Key                 string
	Deadline            time.Duration // clock time after which it cannot be delivered
	Hint                time.Duration
}

// MessageResumed is a message that the node accepted before its process ended, and whose end it still has to
// report.
type MessageResumed struct {
	MessageArrived
	Attempts        int           // attempts used so far
	Failed          bool          // one of them is known to have failed
	MayHaveRun      bool          // one of them may have run,
	MayHaveRunSince time.Duration // the first of these was sent then,
	Zone            int           // to an endpoint of this zone
}

// AttemptEnded is the one outcome of a Send.
type AttemptEnded struct {
	ID         string
	Attempt    int
	Endpoint   string
	Outcome    Outcome
	Took       time.Duration
	Final      bool          // the message has ended
	Ambiguous  bool          // the answer said Final when another message of its call had ended already: the message may be delivered or not
	ReusedConn bool          // the attempt used a connection that had been used before
	ConnClosed bool          // the endpoint closed the connection after its answer
	RetryAfter time.Duration // Rejected: the wait that the endpoint asked for
	NoSlot     bool          // Stale: all slots were taken
	Report     Report
}

// MessageAbandoned says that nobody wants the message any more.
type MessageAbandoned struct{ ID string }

// ProbeEnded is the result of a Probe.
type ProbeEnded struct {
	Endpoint string
	Outcome  Outcome
	Took     time.Duration
	Report   Report
}

// WakeDue says that the time of a Wake has come.
type WakeDue struct{ Tag string }

// Stopping says that the process ends at By: calls still out then are cut off.
type Stopping struct{ By time.Duration }

func (Stopping) event()         {}
func (ListUpdate) event()       {}
func (EndpointDisabled) event() {}
func (WaitTold) event()         {}
func (MessageArrived) event()   {}
func (MessageResumed) event()   {}
func (AttemptEnded) event()     {}
func (MessageAbandoned) event() {}
func (ProbeEnded) event()       {}
func (WakeDue) event()          {}

// Action is a decision of a Sender: Send, Refuse, Fail, Cancel, Probe, CloseIdle, Wake, Watch or LogLine.
type Action interface{ action() }

// Send calls an endpoint with a message. The call is abandoned at TimeoutAt, and not begun after StartBy
// unless that is 0, because connecting may take long. NewConn asks for a new connection. Sends of one Step
// with the same Call are one call. An answer about the message counts until ResultBy.
type Send struct {
	ID, Endpoint string
	Call         uint64
	TimeoutAt    time.Duration
	StartBy      time.Duration
	ResultBy     time.Duration
	NewConn      bool
}

// Refuse ends a message undelivered; the client may safely submit it again after RetryAfter.
type Refuse struct {
	ID         string
	RetryAfter time.Duration
}

// Fail ends a message without telling whether it ran.
type Fail struct{ ID string }

// Cancel cancels an attempt that is out.
type Cancel struct {
	ID      string
	Attempt int
}

// Probe checks an endpoint without a message.
type Probe struct{ Endpoint string }

// CloseIdle closes idle connections to an endpoint, all but Keep of them.
type CloseIdle struct {
	Endpoint string
	Keep     int
}

// Wake asks for a WakeDue at a clock time.
type Wake struct {
	At  time.Duration
	Tag string
}

// Watch asks for changes of the list.
type Watch struct{}

// LogLine is a line for the log.
type LogLine struct{ Text string }

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Cancel) action()    {}
func (Probe) action()     {}
func (CloseIdle) action() {}
func (Wake) action()      {}
func (Watch) action()     {}
func (LogLine) action()   {}
