//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

func init() { scenarios["removed-replica"] = removedReplica }

// removedReplica is no case: see REPORT-2.md. A node follows a directory of three. The operator removes the replica that the node watches from the
// service, and drains an endpoint. The two other replicas have the drain and can be reached.
func removedReplica(w *world) (broken []string) {
	const (
		toldAfter  = 6 * time.Second // at the latest, after the directory had the change and could be reached
		drainGrace = time.Second     // stopSendingWithin
		slack      = 50 * time.Millisecond
	)
	all := launchThree(w)
	if awaitLeader(20*time.Second, all...) == nil || !allVote(all) {
		fail("the directory does not begin")
	}
	var mu sync.Mutex
	var calls []time.Time // of the drained endpoint
	old := newEndpoint(w.rec, "e1", func(c *call, conn net.Conn) bool {
		mu.Lock()
		calls = append(calls, time.Now())
		mu.Unlock()
		time.Sleep(120 * time.Millisecond)
		return ok(c, conn)
	})
	other := newEndpoint(w.rec, "e2", func(c *call, conn net.Conn) bool {
		time.Sleep(120 * time.Millisecond)
		return ok(c, conn)
	})
	members := []member{serving(old, 1, "client-hook"), serving(other, 1, "client-hook")}
	if code, text := all[0].request(http.MethodPost, "/registry/instances", object{"members": members}, nil); code != http.StatusOK {
		fail("the list is not accepted: " + text)
	}
	var addresses []string
	for _, d := range all {
		addresses = append(addresses, d.addr)
	}
	n := w.node(config(newPlatform(w.rec, members)))
	fleet := filepath.Join(n.dir, "fleet.toml")
	raw, err := json.Marshal(addresses)
	must(err)
	must(os.WriteFile(fleet, fmt.Appendf(nil, "[registry]\naddresses = %s\n", raw), 0o600))
	n.env = append(n.env, "ROUTER_FLEET="+fleet)
	watched := startWatchingFollower(n, all)
	w.rec.printf("the node watches replica %s", watched.id)
	c := &client{rec: w.rec, node: n}
	stop := make(chan struct{})
	go func() {
		for i := 1; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond):
				c.submit(fmt.Sprintf("%016x", i), "status-notice", 5*time.Second, 1, "", []byte("notice"))
			}
		}
	}()
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.command(addresses, "member", "remove", watched.id)
	}
	var left []string
	for _, d := range all {
		if d != watched {
			left = append(left, d.addr)
		}
	}
	w.command(left, "drain", "s-e1")
	drained := time.Now()
	time.Sleep(toldAfter + drainGrace + 10*time.Second)
	close(stop)
	mu.Lock()
	defer mu.Unlock()
	late, total := 0, len(calls)
	for _, at := range calls {
		if at.After(drained.Add(toldAfter + drainGrace + slack)) {
			late++
		}
	}
	w.rec.printf("endpoint e1 got %d calls, %d of them later than %v after the drain", total, late, toldAfter+drainGrace+slack)
	if total == 0 {
		fail("endpoint e1 got no call")
	}
	if late > 0 {
		broken = append(broken, fmt.Sprintf("endpoint e1 got %d calls later than %v after its drain was answered", late, toldAfter+drainGrace+slack))
	}
	return broken
}

// allVote waits until all replicas have a vote.
func allVote(all []*directory) bool {
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
		var s replicaStatus
		all[0].request(http.MethodGet, "/directory/status", nil, &s)
		voters := 0
		for _, m := range s.Members {
			if m.Votes {
				voters++
			}
		}
		if voters == len(all) {
			return true
		}
	}
	return false
}

// startWatchingFollower starts the node, again if it happens to watch the leader, which can't be removed.
func startWatchingFollower(n *node, all []*directory) *directory {
	for range 20 {
		n.start()
		time.Sleep(time.Second)
		for _, d := range all {
			var s replicaStatus
			d.request(http.MethodGet, "/directory/status", nil, &s)
			if s.Watches > 0 && !d.leads() {
				return d
			}
		}
		n.kill()
	}
	fail("the node watches no follower")
	return nil
}
