package main

import (
	"errors"
	"net/http"
	"time"

	"starlingusher/review/standin"
)

func init() { cases["name"] = playName }

const (
	recordInLatin1 = "/records/caf%E9"    // the name in Latin-1, as a terminal with that encoding sends it
	recordInUTF8   = "/records/caf%C3%A9" // the same name in UTF-8
	restartPause   = 2 * time.Second      // of what keeps the replicas running
	restarts       = 5
)

// playName writes a list to a directory, and then takes a record whose name is not UTF-8. Replicas that end are started again.
func playName(s scene) (int, error) {
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
	if _, err := freshList(s, d); err != nil {
		return cantRun, err
	}
	path := recordInUTF8
	if s.trouble {
		path = recordInLatin1
	}
	status, raw, err := standin.Request(http.MethodPut, d.Replicas[0].HTTP, path, "", map[string]any{"holder": "report", "ttl_ms": 10_000})
	s.record.Say("caller: PUT %s: %d %s %v", path, status, raw, err)
	code := held
	for range restarts {
		time.Sleep(restartPause)
		for _, r := range d.Replicas {
			if r.Running() {
				continue
			}
			s.record.Say("the rule is broken: the process of replica %s has ended; it is started again", r.ID)
			code = broken
			if err := r.Start(); err != nil {
				return cantRun, err
			}
		}
	}
	list, err := freshList(s, d)
	if err != nil || len(list.Members) != len(endpointsAt(oldPort)) {
		s.record.Say("the rule is broken: an acknowledged write is in no fresh read: %d endpoints, %v", len(list.Members), err)
		code = broken
	}
	return code, nil
}
