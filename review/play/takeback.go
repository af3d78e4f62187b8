package main

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"starlingusher/review/standin"
)

func init() { cases["takeback"] = takeBack }

const (
	lostAfter = 350 * time.Millisecond // 300 ms after its time, and 50 ms longer on sockets
	lateAfter = 550 * time.Millisecond // until half a second after its time, and 50 ms, an end only earns nothing
)

// takeBack moves discovery by a new configuration and SIGHUP, and then starts a second process beside the first, which
// takes over. The disruption is a SIGKILL of the second process. The first one takes the node back. Messages that end
// undelivered must still have their notice.
func takeBack(s scene) (int, error) {
	sound, err := standin.NewEndpoint(s.record, "s-sound", standin.Delivers(150*time.Millisecond))
	if err != nil {
		return 0, err
	}
	defer sound.Close()
	failing, err := standin.NewEndpoint(s.record, "s-failing", standin.Fails(150*time.Millisecond))
	if err != nil {
		return 0, err
	}
	defer failing.Close()
	platform, err := standin.NewPlatform(s.record, []standin.Member{sound.Member("client-hook", 1, 40), failing.Member("client-hook", 2, 40)})
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
	client := standin.NewClient(s.record, node.Addr)
	if !first.WaitReady(10*time.Second) || !client.Ping() {
		return 0, errors.New("the first process is not ready")
	}
	time.Sleep(1500 * time.Millisecond)
	hand := func(stage string, count int) (int, error) {
		return handIn(s, stage, client, platform, sound, failing, count)
	}
	if lost, err := hand("before anything", 3); err != nil || lost > 0 {
		return 0, errors.Join(errors.New("messages were lost before any change"), err)
	}

	old := platform.Addr()
	if err := platform.Move(); err != nil {
		return 0, err
	}
	if err := node.WriteConfig(platform.Addr()); err != nil {
		return 0, err
	}
	s.record.Add("discovery moves from %s to %s", old, platform.Addr())
	first.Signal(syscall.SIGHUP)
	time.Sleep(4500 * time.Millisecond)
	if lost, err := hand("after the move of discovery", 3); err != nil || lost > 0 {
		return 0, errors.Join(errors.New("messages were lost after the move alone"), err)
	}

	second, err := node.Start("second", platform.Addr())
	if err != nil {
		return 0, err
	}
	defer second.Kill()
	if !second.WaitReady(6 * time.Second) {
		return 0, errors.New("the second process is not ready within 6 s")
	}
	serving := second
	if s.trouble {
		second.Signal(syscall.SIGKILL)
		if !second.WaitExit(time.Second) || !first.WaitReady(30*time.Second) {
			return 0, errors.New("the first process does not take the node back")
		}
		serving = first
	} else {
		first.Signal(syscall.SIGTERM)
		if !first.WaitExit(3700 * time.Millisecond) {
			first.Kill()
		}
	}
	for end := time.Now().Add(10 * time.Second); !client.Ping(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return 0, errors.New("the node does not answer PING")
		}
	}
	time.Sleep(1500 * time.Millisecond) // until then no notice is overdue after a kill
	lost, err := hand("after the second process", 10)
	if err != nil {
		return 0, err
	}
	if !serving.Running() {
		return 0, fmt.Errorf("process %s has ended", serving.Name)
	}
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}

// handIn hands in messages of each class, to a partner that delivers and to one that fails, waits until the time of all is
// up, and returns how many of those that were taken on have neither been delivered nor ended by a notice.
func handIn(s scene, stage string, client *standin.Client, platform *standin.Platform, sound, failing *standin.Endpoint, count int) (lost int, err error) {
	var all []*standin.Message
	for range count {
		for _, class := range []string{"status-notice", "incentive-payout"} {
			for dest := 1; dest <= 2; dest++ {
				m := &standin.Message{ID: standin.NewID(), Class: class, Dest: dest, Life: 3 * time.Second, Body: []byte("survey")}
				client.Submit(m)
				all = append(all, m)
				time.Sleep(30 * time.Millisecond)
			}
		}
	}
	last := all[len(all)-1].Due()
	time.Sleep(time.Until(last) + lateAfter + 500*time.Millisecond)
	accepted, delivered, noticed, late := 0, 0, 0, 0
	for _, m := range all {
		if !m.Accepted() {
			continue
		}
		accepted++
		calls := append(sound.Calls(m.ID), failing.Calls(m.ID)...)
		wasDelivered := false
		for _, c := range calls {
			wasDelivered = wasDelivered || c.Status == http.StatusOK
		}
		notices := platform.Notices(m.ID)
		switch {
		case wasDelivered:
			delivered++
		case len(notices) > 0 && notices[0].At.Before(m.Due().Add(lostAfter)):
			noticed++
		case len(notices) > 0 && notices[0].At.Before(m.Due().Add(lateAfter)):
			late++
		default:
			lost++
			s.record.Say("LOST: %s (%s to %d) was taken on; %.2f s after its time it has neither been delivered nor ended by a notice",
				m.ID, m.Class, m.Dest, time.Since(m.Due()).Seconds())
		}
	}
	s.record.Say("%s: handed in %d, taken on %d, delivered %d, ended by a notice %d, by a late one %d, lost %d", stage, len(all), accepted, delivered, noticed, late, lost)
	if accepted == 0 {
		return lost, errors.New("no message was taken on")
	}
	return lost, nil
}
