package main

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"starlingusher/review/standin"
)

func init() { cases["drain"] = playDrain }

// drainedEndpoints is less than all, since a drain of the last one that serves would be held back.
const drainedEndpoints = 12

// playDrain moves endpoints to new addresses in one write, and ends the leader right behind the acknowledgement. Then an
// operator drains the endpoints with the operators' program, which waits for the next leader.
func playDrain(s scene) (int, error) {
	d, err := standin.NewDirectory(s.record, s.dir, betweenZones)
	if err != nil {
		return cantRun, err
	}
	defer d.Close()
	leader := d.WaitLeader(directoryStart)
	if leader == nil {
		return cantRun, errors.New("the directory does not form")
	}
	if err := writeEndpoints(s, leader, oldPort); err != nil {
		return cantRun, err
	}
	time.Sleep(time.Second)
	if err := writeEndpoints(s, leader, newPort); err != nil {
		return cantRun, err
	}
	if s.trouble {
		leader.Signal(syscall.SIGKILL)
	}
	var drains sync.WaitGroup
	failed := make([]error, drainedEndpoints)
	for i := range drainedEndpoints {
		drains.Go(func() { _, failed[i] = d.Operator("drain", fmt.Sprintf("e%02d", i)) })
	}
	drains.Wait()
	if err := errors.Join(failed...); err != nil {
		return cantRun, err
	}
	list, err := freshList(s, d)
	if err != nil {
		return cantRun, err
	}
	code := held
	for _, want := range endpointsAt(newPort) {
		i := slices.IndexFunc(list.Members, func(m standin.Member) bool { return m.ID == want.ID })
		switch {
		case i < 0:
			s.record.Say("the rule is broken: %s is not in a fresh list", want.ID)
			code = broken
		case list.Members[i].Addr != want.Addr:
			s.record.Say("the rule is broken: a fresh list has %s at %s, and an acknowledged write has it at %s", want.ID, list.Members[i].Addr, want.Addr)
			code = broken
		}
	}
	return code, nil
}
