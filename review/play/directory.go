package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"starlingusher/review/standin"
)

const (
	directoryStart = 20 * time.Second      // for three replicas to form a directory
	betweenZones   = 22 * time.Millisecond // one way, as the brief has it between halls
	oldPort        = 20000                 // of the first endpoint; nothing listens at the endpoints' addresses
	newPort        = 30000
	listPatience   = 10 * time.Second
	endpointCount  = 15
)

// endpointsAt returns the endpoints at addresses with ports from a number on.
func endpointsAt(port int) []standin.Member {
	var all []standin.Member
	for i := range endpointCount {
		all = append(all, standin.Member{ID: fmt.Sprintf("e%02d", i), Addr: fmt.Sprintf("127.0.0.1:%d", port+i), Locality: "hall-a", Flavor: "client-hook", Cell: i, Phase: "SERVING", Size: 5})
	}
	return all
}

// writeEndpoints writes the endpoints at the leader in one write, and returns nil once that is acknowledged.
func writeEndpoints(s scene, leader *standin.Replica, port int) error {
	status, raw, err := standin.Request(http.MethodPost, leader.HTTP, "/registry/instances", "*", map[string]any{"members": endpointsAt(port)})
	s.record.Add("writer: endpoints at ports from %d: %d %s %v", port, status, raw, err)
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("write: %d %s %w", status, raw, err)
	}
	return nil
}

// freshList reads the list with all writes that were acknowledged before.
func freshList(s scene, d *standin.Directory) (list standin.List, err error) {
	for end := time.Now().Add(listPatience); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, r := range d.Replicas {
			if !r.Running() {
				continue
			}
			status, raw, err := standin.Request(http.MethodGet, r.HTTP, "/registry/instances?fresh=1", "", nil)
			if err == nil && status == http.StatusOK {
				s.record.Add("reader: fresh list at %s: %s", r.ID, raw)
				return list, json.Unmarshal(raw, &list)
			}
		}
	}
	return list, errors.New("no replica has a fresh list")
}
