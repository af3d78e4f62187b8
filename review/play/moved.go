package main

import (
	"errors"
	"net/http"
	"syscall"
	"time"

	"starlingusher/review/standin"
)

func init() { cases["moved"] = playMoved }

const (
	settleAfter  = 5 * time.Second        // a change of addresses counts as told after 4 s
	trialOfNew   = 2 * time.Second        // how long the operator watches the new process
	noticeSlack  = 550 * time.Millisecond // half a second after its time an end only earns nothing, and sockets have 50 ms
	failingLife  = 3 * time.Second
	failingCount = 10
	afterReady   = 2 * time.Second // no notice is overdue until 1.5 s after the node is ready again
)

// playMoved moves discovery, lets the node follow, and starts a new version beside it, which dies before the old process has
// its SIGTERM. Then messages come that their partner can't deliver.
func playMoved(s scene) (int, error) {
	fails, err := standin.NewEndpoint(s.record, "fails", standin.Fails(50*time.Millisecond))
	if err != nil {
		return cantRun, err
	}
	defer fails.Close()
	platform, err := standin.NewPlatform(s.record, []standin.Member{fails.Member("client-hook", 1, 10)})
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
	old, err := n.Start("old", platform.Addr())
	if err != nil {
		return cantRun, err
	}
	defer old.Kill()
	if !old.WaitReady(nodeStart) {
		return cantRun, errors.New("the node does not become ready")
	}
	time.Sleep(time.Second) // no new configuration comes in the program's first second
	if err := platform.Move(); err != nil {
		return cantRun, err
	}
	if err := n.WriteConfig(platform.Addr()); err != nil {
		return cantRun, err
	}
	old.Signal(syscall.SIGHUP)
	time.Sleep(settleAfter)
	next, err := n.Start("new", platform.Addr())
	if err != nil {
		return cantRun, err
	}
	defer next.Kill()
	if !next.WaitReady(nodeStart) {
		return cantRun, errors.New("the new process does not become ready")
	}
	time.Sleep(trialOfNew)
	if s.trouble {
		next.Signal(syscall.SIGKILL)
		if !next.WaitExit(time.Second) || !old.WaitReady(nodeStart) {
			return cantRun, errors.New("the old process does not take the node back")
		}
	}
	time.Sleep(afterReady)
	client := standin.NewClient(s.record, n.Addr)
	var messages []*standin.Message
	for range failingCount {
		m := &standin.Message{ID: standin.NewID(), Class: "status-notice", Dest: 1, Life: failingLife, Body: []byte("notice")}
		client.Submit(m)
		messages = append(messages, m)
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(failingLife + 2*time.Second)
	code, accepted := held, 0
	for _, m := range messages {
		if !m.Accepted() {
			continue
		}
		accepted++
		for _, c := range fails.Calls(m.ID) {
			if c.Status == http.StatusOK {
				return cantRun, errors.New("an endpoint that fails has delivered")
			}
		}
		notices := platform.Notices(m.ID)
		if len(notices) == 0 {
			s.record.Say("the rule is broken: %s was taken on and has had no end %v after its time", m.ID, time.Since(m.Due()).Round(time.Millisecond))
			code = broken
		} else if late := notices[0].At.Sub(m.Due()); late > noticeSlack {
			s.record.Say("the rule is broken: %s had its end %v after its time", m.ID, late)
			code = broken
		}
	}
	if accepted == 0 {
		return cantRun, errors.New("no message was taken on")
	}
	return code, nil
}
