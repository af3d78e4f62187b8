//go:build review2

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { scenarios["first-start"] = firstStart }

// firstStart: a new directory of three. Two replicas are killed as soon as the first one says that the service has begun. Then
// either writes are refused, or they are on the disks of two replicas and outlive the loss of one machine.
func firstStart(w *world) (broken []string) {
	all := launchThree(w)
	leader := awaitLeader(20*time.Second, all...)
	if leader == nil {
		fail("no replica leads")
	}
	if w.trouble {
		for _, d := range all {
			if d != leader {
				d.node.kill()
			}
		}
	}
	time.Sleep(5 * time.Second)
	var members []member
	for i := range 3 {
		members = append(members, member{ID: fmt.Sprintf("s-%d", i), Addr: fmt.Sprintf("127.0.0.1:%d", 7000+i), Locality: "hall-a", Flavor: "client-hook", Cell: i, Phase: "SERVING", Size: 1})
	}
	code, answer := leader.request(http.MethodPost, "/registry/instances", object{"members": members}, nil)
	w.rec.printf("operator: writes three endpoints through %s: %d %s", leader.id, code, answer)
	switch {
	case code != http.StatusOK && w.trouble:
		return nil
	case code != http.StatusOK:
		fail("the write is not accepted")
	}
	if w.trouble {
		leader.loseMachine()
		time.Sleep(600 * time.Millisecond)
		for _, d := range all {
			d.launch()
		}
	}
	if leader = awaitLeader(15*time.Second, all...); leader == nil {
		return append(broken, "a write was answered 200; after the loss of one machine of three no fresh read is possible")
	}
	code, answer = leader.request(http.MethodGet, "/registry/instances?fresh=1", nil, nil)
	w.rec.printf("operator: fresh read through %s: %d %s", leader.id, code, answer)
	for _, m := range members {
		if !strings.Contains(answer, `"`+m.ID+`"`) {
			broken = append(broken, "endpoint "+m.ID+", whose write was answered 200, is lost")
		}
	}
	return broken
}
