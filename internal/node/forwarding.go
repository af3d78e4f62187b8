package node

import (
	"context"
	"time"

	"starlingusher/choice"
)

// After a handover the predecessor only forwards: clients' requests, operators' commands and the outcomes of calls to the
// successor, and the successor's answers back.

// predecessorGrace is how long a process that ends waits for its own predecessor to report the calls that it was told to cancel.
const predecessorGrace = 500 * time.Millisecond

// forwarder is the state of a process that has handed its node over.
type forwarder struct {
	n             *Node
	pending       map[uint64]func(forwardedAnswer) // requests and commands at the successor, by number
	stopping      bool                             // it ends as soon as nothing is in flight
	err           error                            // ErrSuccessorGone once the successor is gone
	graceOver     <-chan time.Time                 // when the predecessor's calls are given up; nil while they are not
	disconnected  <-chan struct{}                  // closed when all clients are disconnected; nil once that no longer matters
	stopped       <-chan struct{}                  // closed when this process was told to stop and its time is up
	successorGone chan struct{}                    // closed when the connection to the successor has ended
}

// serveSuccessor passes requests, commands and outcomes on to the successor until this process may end: when
// it is told to stop, or when no client is left and no call is in flight.
func (n *Node) serveSuccessor(ctx context.Context, stopped, disconnected <-chan struct{}) error {
	f := &forwarder{n: n, pending: map[uint64]func(forwardedAnswer){}, stopped: stopped, disconnected: disconnected, successorGone: make(chan struct{})}
	go f.receive(ctx, f.successorGone)
	defer n.successor.conn.Close()
	for !f.mayEnd() {
		select {
		case e := <-n.events:
			f.handle(e)
		case o := <-n.commands:
			f.forwardCommand(o)
		case other := <-n.successors:
			other.conn.Close() // the other process tries again and will find the successor
		case <-f.disconnected:
			f.disconnected = nil
		case <-f.stopped:
			f.stopped = nil
			f.end()
		case <-f.successorGone:
			f.successorGone, f.err = nil, ErrSuccessorGone
			n.successor.conn.Close()
			f.end() // a repeatable message must not have two attempts in flight
		case <-f.graceOver:
			f.graceOver = nil
			f.endPredecessorCalls()
		}
	}
	return f.err
}

// mayEnd reports whether nothing is left to forward.
func (f *forwarder) mayEnd() bool {
	return f.stopping && f.disconnected == nil && len(f.n.outstanding)+len(f.pending) == 0
}

// receive passes the successor's messages to the loop until either side closes the connection.
func (f *forwarder) receive(ctx context.Context, gone chan<- struct{}) {
	defer close(gone)
	for {
		m, err := f.n.successor.receive()
		if err != nil {
			return
		}
		f.n.sendEvent(ctx, m)
	}
}

// end cancels the calls in flight and answers what waits for the successor: nobody can tell how that has ended.
func (f *forwarder) end() {
	f.stopping, f.disconnected = true, nil
	for _, c := range f.n.outstanding {
		c.cancel()
	}
	for number, deliver := range f.pending {
		delete(f.pending, number)
		deliver(forwardedAnswer{OutcomeUnknown: true})
	}
	if f.graceOver == nil {
		f.graceOver = time.After(predecessorGrace)
	}
}

// handle handles one event of the loop.
func (f *forwarder) handle(e any) {
	n := f.n
	switch e := e.(type) {
	case choice.Stopping:
		f.stopping = true
	case callEnd:
		e.applyWait()
		n.successor.send(handoverMessage{Outcome: n.takeOutcome(e)})
	case callOutcome:
		f.forwardOutcome(e)
	case predecessorGone:
		n.predecessor = nil
		f.endPredecessorCalls()
	case arrival:
		f.forwardRequest(e)
	case handoverMessage:
		f.handleMessage(e)
	}
}

// forwardOutcome passes on the outcome of a call that this process's own predecessor made.
func (f *forwarder) forwardOutcome(o callOutcome) {
	for _, a := range o.Attempts {
		key := attemptKey{a.Seq, a.Attempt}
		if f.n.outstanding[key].fromPredecessor {
			delete(f.n.outstanding, key)
		}
	}
	f.n.extendWait(o.Endpoint, o.RetryAfter)
	f.n.successor.send(handoverMessage{Outcome: &o})
}

// endPredecessorCalls ends the calls of this process's own predecessor, which is gone or silent. They may have run.
func (f *forwarder) endPredecessorCalls() {
	for key, c := range f.n.outstanding {
		if !c.fromPredecessor {
			continue
		}
		delete(f.n.outstanding, key)
		f.n.successor.send(handoverMessage{Outcome: &callOutcome{
			Attempts: []outstandingAttempt{{key.seq, key.number, c.message.dest, c.message.class}}, Outcome: choice.ConnectionBroken, ReusedConn: true,
		}})
	}
}

// forwardRequest passes a client's request on.
func (f *forwarder) forwardRequest(a arrival) {
	if f.err != nil {
		a.reply <- answer{outcomeUnknown: true, countedElsewhere: true}
		return
	}
	number := f.await(func(r forwardedAnswer) { a.reply <- answer{r.Refused, r.RetryAfter, r.Failure, r.OutcomeUnknown, true} })
	f.n.successor.send(handoverMessage{Request: &forwardedRequest{number, a.id, a.key, a.class, a.dest, a.tenant, a.ttl, a.body, a.receivedAt}})
}

// forwardCommand passes an operator's command on.
func (f *forwarder) forwardCommand(o endpointCommand) {
	if f.err != nil {
		o.reply <- f.err
		return
	}
	number := f.await(func(r forwardedAnswer) {
		switch {
		case r.UnknownEndpoint:
			o.reply <- ErrUnknownEndpoint
		case r.OutcomeUnknown:
			o.reply <- ErrSuccessorGone
		default:
			o.reply <- nil
		}
	})
	f.n.successor.send(handoverMessage{Command: &forwardedCommand{number, o.id, o.enable}})
}

// await returns the number of a request or command whose answer goes to deliver.
func (f *forwarder) await(deliver func(forwardedAnswer)) uint64 {
	f.n.lastForwarded++
	f.pending[f.n.lastForwarded] = deliver
	return f.n.lastForwarded
}

// handleMessage handles a message of the successor.
func (f *forwarder) handleMessage(m handoverMessage) {
	n := f.n
	switch {
	case m.Answer != nil:
		if deliver := f.pending[m.Answer.Number]; deliver != nil {
			delete(f.pending, m.Answer.Number)
			deliver(*m.Answer)
		}
	case m.Cancel != nil:
		if c, out := n.outstanding[attemptKey{m.Cancel.Seq, m.Cancel.Attempt}]; out {
			c.cancel()
		}
	case m.ClosedEndpoint != "":
		n.closeEndpoint(n.endpoints[m.ClosedEndpoint])
	case m.Wait != nil:
		n.extendWait(m.Wait.Endpoint, m.Wait.RetryAfter)
		if n.predecessor != nil {
			n.predecessor.send(m)
		}
	}
}

// extendWait stops new calls to an endpoint that is known for the time that was told.
func (n *Node) extendWait(id string, retryAfter time.Duration) {
	if e := n.endpoints[id]; e != nil {
		callEnd{endpoint: e, callResult: callResult{retryAfter: retryAfter}}.applyWait()
	}
}

// takeOutcome removes a call from those in flight, and returns its outcome for the successor.
func (n *Node) takeOutcome(c callEnd) *callOutcome {
	o := &callOutcome{
		Endpoint: c.endpoint.id, Duration: c.took, Outcome: itemResult{c.outcome, c.final, c.ambiguous}.forSuccessor(),
		RetryAfter: c.retryAfter, NoSlot: c.noSlot, Final: c.final, Ambiguous: c.ambiguous, Report: c.report, ReusedConn: c.reusedConn, ConnClosed: c.connClosed,
	}
	for _, key := range c.attempts {
		m := n.outstanding[key].message
		o.Attempts = append(o.Attempts, outstandingAttempt{key.seq, key.number, m.dest, m.class})
		delete(n.outstanding, key)
	}
	for _, f := range c.perItem {
		o.PerItem = append(o.PerItem, itemOutcome{f.forSuccessor(), f.final, f.ambiguous})
	}
	return o
}

// forSuccessor returns the outcome for a successor of an older build, which knows no ambiguous results: it
// takes TimedOut for a call that may have run.
func (f itemResult) forSuccessor() choice.Outcome {
	if f.ambiguous {
		return choice.TimedOut
	}
	return f.outcome
}
