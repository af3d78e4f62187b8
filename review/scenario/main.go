//go:build review2

// Command scenario plays one case of the second review: a node, started by the deploy file's command, among small stand-ins.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

var (
	started []*node
	tempDir string
)

// endAll ends the processes that the case has started and removes its folder.
func endAll() {
	for _, n := range started {
		if n.cmd != nil && n.running() {
			n.cmd.Process.Kill()
			<-n.done
		}
	}
	if tempDir != "" && os.Getenv("KEEP") == "" {
		os.RemoveAll(tempDir)
	}
}

// world is what all cases share.
type world struct {
	rec     *record
	dir     string
	trouble bool
}

func (w *world) node(config map[string]any) *node {
	n := newNode(w.rec, filepath.Join(w.dir, fmt.Sprintf("node%d", len(started)+1)), config)
	started = append(started, n)
	return n
}

// scenarios are the cases by name. Each tells what broke the rule.
var scenarios = map[string]func(w *world) (broken []string){}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scenario NAME RECORD; run from the root of the repository")
		os.Exit(2)
	}
	out, err := os.Create(os.Args[2])
	must(err)
	tempDir, err = os.MkdirTemp("", "review")
	must(err)
	w := &world{rec: &record{w: out, start: time.Now()}, dir: tempDir, trouble: os.Getenv("TROUBLE") != "0"}
	w.rec.printf("scenario %s, trouble %v", os.Args[1], w.trouble)
	time.AfterFunc(110*time.Second, func() { fail("it takes too long") })
	broken := scenarios[os.Args[1]](w)
	endAll()
	if len(broken) > 0 {
		w.rec.printf("BROKEN: %s", strings.Join(broken, "; "))
		fmt.Println("broken:", strings.Join(broken, "; "))
		os.Exit(1)
	}
	w.rec.printf("the rule held")
	fmt.Println("the rule held")
}

type object = map[string]any

// settings are those of a small deployment, in the form of the simulator's first message.
func settings() object {
	class := func(name, effect string, aim, deadline, window float64) object {
		c := object{"name": name, "aim": aim, "deadline": deadline, "effect": effect, "lateWorth": 0.5, "worth": 1.0}
		if window > 0 {
			c["window"], c["group"] = window, "all"
		}
		return c
	}
	return object{
		"fleetSize": 2, "myNumber": 0, "overShareWorth": 0.05, "tick": 5.0, "weights": "silent", "zone": 0, "discovery": "pushed",
		"failureDomains": []string{"hall-a", "hall-b"}, "flavors": []string{"bulk-partner", "client-hook"},
		"callers": object{"marksRetry": true},
		"categories": []object{
			class("quota-order", "deduplicated", 2500, 24000, 10000), class("status-notice", "idempotent", 1500, 5000, 0),
			class("incentive-payout", "at_most_once", 2500, 28000, 0),
		},
		"customers": []object{
			{"name": "kanoresearch", "allowancePerS": 15.0, "share": 0.42}, {"name": "delta-insights", "allowancePerS": 8.0, "share": 0.24},
			{"name": "ogun-polls", "allowancePerS": 6.0, "share": 0.16}, {"name": "abuja-metrics", "allowancePerS": 4.0, "share": 0.11},
			{"name": "enugu-surveys", "allowancePerS": 3.0, "share": 0.07},
		},
		"domain": object{"decay": "line", "kindBatch": []int{10, 1}, "separateRoutes": []bool{false, false}, "workers": 8},
		"limits": object{
			"cancel": true, "connIdle": 10000.0, "dialTimeout": 1000.0, "maxAttempts": 6, "maxOpen": 60, "maxRetryAfter": 2000.0, "mayDuplicate": false,
			"probes": true, "retryAfter": true, "streamsPerConn": 1,
		},
		"contract": object{"graceToAnswer": 250.0, "coldFrom": 0.19, "warmWithin": 10000.0, "stopSendingWithin": 1000.0, "fallMultiple": 2.0, "fall": 2000.0},
	}
}

// config is the platform's configuration of a node.
func config(p *platform) object {
	return object{
		"name": "n1", "discovery": p.addr, "seed": "8c1f30d27a5be964", "known": p.list, "settings": settings(),
		"limits": object{"cores": 1.0, "memory_mb": 128, "sockets": 512, "disk_mb": 3},
	}
}

func serving(e *endpoint, cell int, flavor string) member {
	return member{ID: "s-" + e.name, Addr: e.addr, Locality: "hall-a", Flavor: flavor, Cell: cell, Phase: "SERVING", Size: 5}
}
