package main

import (
	"errors"
	"net/http"
	"syscall"
	"time"

	"starlingusher/review/standin"
)

func init() { cases["twice"] = playTwice }

const (
	nodeStart    = 10 * time.Second
	hangFor      = 15 * time.Second // of a partner: it takes calls and answers none
	payoutLife   = 20 * time.Second
	noticeLife   = 3 * time.Second
	betweenNew   = 2 * time.Second  // from one new version to the next
	takeBackTime = 30 * time.Second // no node may take longer to be ready
	endTime      = noticeLife + 2*time.Second
)

// playTwice starts two new versions one after the other while a partner hangs. The second one dies before the process that it
// took the node from has its SIGTERM.
func playTwice(s scene) (int, error) {
	hangUntil := time.Now().Add(hangFor)
	hangs, err := standin.NewEndpoint(s.record, "hangs", func(standin.Call, <-chan struct{}) standin.Verdict {
		return standin.Verdict{Status: http.StatusOK, Runs: true, Pace: max(time.Until(hangUntil), 0) + 150*time.Millisecond}
	})
	if err != nil {
		return cantRun, err
	}
	defer hangs.Close()
	fails, err := standin.NewEndpoint(s.record, "fails", standin.Fails(50*time.Millisecond))
	if err != nil {
		return cantRun, err
	}
	defer fails.Close()
	platform, err := standin.NewPlatform(s.record, []standin.Member{hangs.Member("bulk-partner", 1, 10), fails.Member("client-hook", 2, 10)})
	if err != nil {
		return cantRun, err
	}
	defer platform.Close()
	n, err := standin.NewNode(s.record, s.dir, platform.List())
	if err != nil {
		return cantRun, err
	}
	if err := n.WriteConfig(platform.Addr()); err != nil {
		return cantRun, err
	}
	start := func(name string) (*standin.Process, error) {
		p, err := n.Start(name, platform.Addr())
		if err != nil {
			return nil, err
		}
		if !p.WaitReady(nodeStart) {
			return p, errors.New(name + " does not become ready")
		}
		return p, nil
	}
	first, err := start("first")
	defer func() { first.Kill() }()
	if err != nil {
		return cantRun, err
	}
	client := standin.NewClient(s.record, n.Addr)
	payout := &standin.Message{ID: standin.NewID(), Class: "incentive-payout", Dest: 1, Life: payoutLife, Body: []byte("payout")}
	client.Submit(payout)
	time.Sleep(500 * time.Millisecond)
	if !payout.Accepted() || len(hangs.Calls(payout.ID)) != 1 {
		return cantRun, errors.New("the payout is not out")
	}
	second, err := start("second")
	defer func() { second.Kill() }()
	if err != nil {
		return cantRun, err
	}
	first.Signal(syscall.SIGTERM)
	time.Sleep(betweenNew)
	third, err := start("third")
	defer func() { third.Kill() }()
	if err != nil {
		return cantRun, err
	}
	var messages []*standin.Message
	for range 5 {
		m := &standin.Message{ID: standin.NewID(), Class: "status-notice", Dest: 2, Life: noticeLife, Body: []byte("notice")}
		client.Submit(m)
		messages = append(messages, m)
		time.Sleep(100 * time.Millisecond)
	}
	code := held
	if s.trouble {
		third.Signal(syscall.SIGKILL)
		killed := time.Now()
		for !second.Ready() && time.Since(killed) < takeBackTime {
			time.Sleep(100 * time.Millisecond)
		}
		if !second.Ready() {
			s.record.Say("the rule is broken: the old process has not taken the node back %v after the new one's death: it runs: %v, a PING of a client is answered: %v",
				takeBackTime, second.Running(), client.Ping())
			code = broken
		}
	}
	time.Sleep(endTime)
	for _, m := range messages {
		if m.Accepted() && len(platform.Notices(m.ID)) == 0 {
			s.record.Say("the rule is broken: %s was taken on and has had no end %v after its time", m.ID, time.Since(m.Due()).Round(time.Millisecond))
			code = broken
		}
	}
	return code, nil
}
