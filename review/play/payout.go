package main

import (
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"starlingusher/review/standin"
)

func init() { cases["payout"] = doublePayout }

const (
	usualPace   = 150 * time.Millisecond
	coldPercent = 19              // of its capacity that a partner has at its return
	queueAge    = 5 * time.Second // a partner that returns turns away the calls that have waited longer
	// An earlier call of the message that ends so soon after the later one has come may have ended before.
	overlapSlack = 50 * time.Millisecond
)

// hangingPartner takes calls and answers none while it hangs. When it returns it is cold: it turns away the calls that have
// waited too long, without running them, and serves the others more slowly.
type hangingPartner struct {
	mu       sync.Mutex
	until    chan struct{} // closed at its return; nil if it does not hang
	returned bool
}

func (p *hangingPartner) hang() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = make(chan struct{})
}

func (p *hangingPartner) comeBack() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.until != nil {
		close(p.until)
		p.until, p.returned = nil, true
	}
}

func (p *hangingPartner) serve(call standin.Call, gone <-chan struct{}) standin.Verdict {
	p.mu.Lock()
	until := p.until
	p.mu.Unlock()
	if until != nil {
		select {
		case <-until:
		case <-gone:
			return standin.Verdict{}
		}
	}
	if time.Since(call.At) > queueAge {
		return standin.Verdict{Status: http.StatusServiceUnavailable}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	pace := usualPace
	if p.returned {
		pace = usualPace * 100 / coldPercent
	}
	return standin.Verdict{Status: http.StatusOK, Runs: true, Pace: pace}
}

// doublePayout lets a partner hang while the node has a call with several messages out there, some of which have little
// time and end. The disruption is a new version: a second process takes over, and the first one gets SIGTERM. Then the
// partner returns and turns away the first process's call. No payout may take effect twice.
func doublePayout(s scene) (int, error) {
	partner := &hangingPartner{}
	hanging, err := standin.NewEndpoint(s.record, "s-hanging", partner.serve)
	if err != nil {
		return 0, err
	}
	defer hanging.Close()
	sound, err := standin.NewEndpoint(s.record, "s-sound", standin.Delivers(usualPace))
	if err != nil {
		return 0, err
	}
	defer sound.Close()
	platform, err := standin.NewPlatform(s.record, []standin.Member{hanging.Member("bulk-partner", 1, 5), sound.Member("client-hook", 2, 20)})
	if err != nil {
		return 0, err
	}
	defer platform.Close()
	node, err := standin.NewNode(s.record, s.dir, platform.List())
	if err != nil {
		return 0, err
	}
	if err := node.WriteConfig(platform.Addr()); err != nil {
		return 0, err
	}
	first, err := node.Start("first", platform.Addr())
	if err != nil {
		return 0, err
	}
	defer first.Kill()
	if !first.WaitReady(10 * time.Second) {
		return 0, errors.New("the first process is not ready")
	}
	client := standin.NewClient(s.record, node.Addr)
	var payouts []*standin.Message
	submit := func(class string, dest int, life time.Duration, size int) {
		m := &standin.Message{ID: standin.NewID(), Class: class, Dest: dest, Life: life, Body: make([]byte, size)}
		client.Submit(m)
		if class == "incentive-payout" {
			payouts = append(payouts, m)
		}
	}
	for i := range 8 { // ordinary traffic; with it the partner that hangs gets a quarter of all messages
		if i%2 == 0 {
			submit("status-notice", 1, 5*time.Second, 200)
		}
		for range 6 {
			submit("status-notice", 2, 5*time.Second, 200)
		}
		time.Sleep(400 * time.Millisecond)
	}

	partner.hang()
	began := time.Now()
	s.record.Say("the partner hangs")
	// A clump for it: the first message travels alone, the others together.
	submit("incentive-payout", 1, 28*time.Second, 60<<10)
	submit("incentive-payout", 1, 28*time.Second, 1000)
	for range 6 {
		submit("status-notice", 1, 5*time.Second, 1000)
	}
	time.Sleep(time.Until(began.Add(6 * time.Second))) // the status notices have had their time
	for range 3 {
		submit("status-notice", 2, 5*time.Second, 64000)
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)

	serving := first
	if s.trouble {
		second, err := node.Start("second", platform.Addr())
		if err != nil {
			return 0, err
		}
		defer second.Kill()
		if !second.WaitReady(6 * time.Second) {
			return 0, errors.New("the second process is not ready")
		}
		first.Signal(syscall.SIGTERM)
		serving = second
	}
	for range 5 {
		submit("incentive-payout", 1, 28*time.Second, 300)
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(time.Until(began.Add(10 * time.Second)))
	s.record.Say("the partner returns")
	partner.comeBack()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end) && serving.Running(); time.Sleep(50 * time.Millisecond) {
	}
	crashed := !serving.Running()
	time.Sleep(2 * time.Second)
	return judgePayouts(s, payouts, hanging, crashed), nil
}

// judgePayouts tells which payouts have run twice, or had a second call while an earlier one was out on an open connection.
func judgePayouts(s scene, payouts []*standin.Message, e *standin.Endpoint, crashed bool) int {
	twice, copies, ran := 0, 0, 0
	for _, m := range payouts {
		calls := e.Calls(m.ID)
		runs := 0
		for i, c := range calls {
			if !c.Ran.IsZero() {
				runs++
			}
			for _, earlier := range calls[:i] {
				if earlier.Left.IsZero() || earlier.Left.Sub(c.At) > overlapSlack {
					copies++
					s.record.Say("SECOND COPY: payout %s came again while an earlier call with it was out", m.ID)
				}
			}
		}
		if runs > 0 {
			ran++
		}
		if runs > 1 {
			twice++
			s.record.Say("TWICE: payout %s has run %d times in %d calls", m.ID, runs, len(calls))
		}
	}
	if crashed {
		s.record.Say("CRASH: the serving process has ended by itself")
	}
	s.record.Say("payouts handed in %d, run %d, run more than once %d, second copies %d, crashed %v", len(payouts), ran, twice, copies, crashed)
	if twice > 0 || copies > 0 {
		return broken
	}
	return held
}
