package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"

	"starlingusher/review/standin"
)

func init() { cases["moved"] = playMoved }

const (
	settleAfter  = 5 * time.Second        // a change of addresses counts as told after 4 s
	trialOfNew   = 2 * time.Second        // how long the operator watches the new process
	noticeSlack  = 550 * time.Millisecond // half a second after its time an end only earns nothing, and sockets have 50 ms
	messageLife  = 3 * time.Second
	rounds       = 10
	failingDest  = 1 // the one of the destinations whose endpoint fails
	destinations = 8
	afterReady   = 2 * time.Second // no notice is overdue until 1.5 s after the node is ready again
)

// playMoved moves discovery, lets the node follow, and starts a new version beside it, which dies before the old process has
// its SIGTERM. Then messages come for eight partners, one of which fails.
func playMoved(s scene) (int, error) {
	fails, err := standin.NewEndpoint(s.record, "fails", standin.Fails(50*time.Millisecond))
	if err != nil {
		return cantRun, err
	}
	defer fails.Close()
	members := []standin.Member{fails.Member("client-hook", failingDest, 10)}
	endpoints := []*standin.Endpoint{fails}
	for dest := failingDest + 1; dest <= destinations; dest++ {
		sound, err := standin.NewEndpoint(s.record, fmt.Sprintf("sound-%d", dest), standin.Delivers(150*time.Millisecond))
		if err != nil {
			return cantRun, err
		}
		defer sound.Close()
		members, endpoints = append(members, sound.Member("client-hook", dest, 10)), append(endpoints, sound)
	}
	platform, err := standin.NewPlatform(s.record, members)
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
	for range rounds {
		for dest := failingDest; dest <= destinations; dest++ {
			m := &standin.Message{ID: standin.NewID(), Class: "status-notice", Dest: dest, Life: messageLife, Body: []byte("notice")}
			client.Submit(m)
			messages = append(messages, m)
			time.Sleep(25 * time.Millisecond)
		}
	}
	time.Sleep(messageLife + 2*time.Second)
	code, accepted := held, 0
	for _, m := range messages {
		if !m.Accepted() {
			continue
		}
		accepted++
		if slices.ContainsFunc(endpoints[m.Dest-failingDest].Calls(m.ID), func(c standin.Call) bool { return c.Status == http.StatusOK }) {
			continue
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
