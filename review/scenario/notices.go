//go:build review2

package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["notices"] = notices }

// notices: a node follows a directory that is alone and passes notices on to the platform. The directory is down for some
// seconds. Messages that can't be delivered meanwhile still need their notice in time; the platform answers all the time.
func notices(w *world) (broken []string) {
	const (
		ttl  = 2 * time.Second
		due  = ttl + 350*time.Millisecond // 300 ms after its time is up, and 50 ms
		down = 8 * time.Second
	)
	// A partner that is shut: it turns every call away.
	e := newEndpoint(w.rec, "e1", func(_ *call, conn net.Conn) bool { return status(conn, "503 Service Unavailable") })
	members := []member{serving(e, 1, "client-hook")}
	p := newPlatform(w.rec, members)
	var mu sync.Mutex
	ended := map[string]time.Time{}
	p.onNotice = func(id string) {
		mu.Lock()
		defer mu.Unlock()
		if _, known := ended[id]; !known {
			ended[id] = time.Now()
		}
	}
	d := newDirectory(w, "d1", freeAddress(), fmt.Sprintf("[reports]\nto = %q\n", p.addr))
	d.start()
	if code, text := d.request("POST", "/registry/instances", object{"members": members}, nil); code != 200 {
		fail("the list is not accepted: " + text)
	}
	n := w.node(config(p))
	fleet := filepath.Join(n.dir, "fleet.toml")
	must(os.WriteFile(fleet, fmt.Appendf(nil, "[registry]\naddresses = [%q]\nkeep_kb = 256\n", d.addr), 0o600))
	n.env = append(n.env, "ROUTER_FLEET="+fleet)
	n.start()
	time.Sleep(time.Second)
	c := &client{rec: w.rec, node: n}
	sent := map[string]time.Time{}
	began := time.Now()
	for i := 1; time.Since(began) < down; i++ {
		if i == 5 && w.trouble {
			d.node.kill()
		}
		id := fmt.Sprintf("%016x", i)
		at := time.Now()
		if strings.HasPrefix(c.submit(id, "status-notice", ttl, 1, "", []byte("notice")), "+") {
			sent[id] = at
		}
		time.Sleep(300 * time.Millisecond)
	}
	if w.trouble {
		d.start()
	}
	time.Sleep(due + 3*time.Second)
	mu.Lock()
	defer mu.Unlock()
	late, never := 0, 0
	worst := time.Duration(0)
	for id, at := range sent {
		end, known := ended[id]
		switch {
		case !known:
			never++
		case end.Sub(at) > due:
			late++
			worst = max(worst, end.Sub(at)-due)
		}
	}
	w.rec.printf("%d messages were taken on, none was delivered; %d notices came later than %v after the message, by %v at most; %d never", len(sent), late, due, worst, never)
	if len(sent) < 3 {
		fail("too few messages were taken on")
	}
	if late+never > 0 {
		broken = append(broken, fmt.Sprintf("of %d messages that were taken on and not delivered, %d had their notice too late, by %v at most, and %d never", len(sent), late, worst, never))
	}
	return broken
}
