package node

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A node of a fleet follows whichever replica answers. When none does it continues with the last list, even
// after a restart without any known list.
func TestNodeOutlivesDirectory(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := ln.Addr().String()
	ln.Close()
	p, r, state := newFakeEndpoint(t, respondWith(okResponse)), newFakeRegistry(t), t.TempDir()
	r.publish(listJSON(4, true, memberJSON("e", p.addr(), 7, "SERVING")))
	with := func(addrs ...string) func(*Config) {
		return func(c *Config) {
			c.Discovery, c.Fleet.Registry.Addresses, c.Fleet.Registry.KeepKB = dead, addrs, 64
			c.InitialList.Members, c.InitialList.Revision = nil, 1000 // a revision of the platform, which does not compare with the directory's
		}
	}
	addr, stop := startConfiguredNode(t, r, state, with(dead, r.addr()))
	tries := 0
	eventually(t, "the first message", func() bool {
		tries++
		return roundTrip(t, addr, enqueueCommand("a"+itoa(tries), statusFields, "")) == "+OK"
	})
	p.nextRequest(t)
	stop()
	addr, _ = startConfiguredNode(t, r, state, with(dead))
	mustAnswer(t, addr, enqueueCommand("b", statusFields, ""), "+OK")
	p.nextRequest(t)
}

func TestFleetFileIsStrict(t *testing.T) {
	t.Parallel()
	for text, want := range map[string]string{
		"":                                  "",
		"[registry]\naddresses = [\"h:1\"]": "",
		"[registry]\naddress = \"h:1\"":     "line 2: there is no setting",
		"[registry]\naddresses = [\"h\"]":   "missing port",
		"[registry]\nkeep_kb = -1":          "0 or more",
		"[registry":                         "fleet",

		"[registry]\naddresses = [\"h:1\"]\n[ownership]\nname = \"n17\"":             "",
		"[registry]\naddresses = [\"h:1\"]\n[ownership]\nname = \"n17\"\nowner = 3":  "line 5: there is no setting",
		"[registry]\naddresses = [\"h:1\"]\n[ownership]\nname = \"n17\"\nowners = 6": "1 to 5",
		"[registry]\naddresses = [\"h:1\"]\n[ownership]\nowners = 3":                 "1 to 200 bytes",
		"[registry]\naddresses = [\"h:1\"]\n[ownership]\nname = \"n 17\"":            "1 to 200 bytes",
		"[registry]\naddresses = [\"h:1\"]\n[ownership]":                             "1 to 200 bytes",
		"[ownership]\nname = \"n17\"":                                                "needs registry.addresses",
	} {
		path := filepath.Join(t.TempDir(), "fleet.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadFleet(path)
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v", text, err)
		}
	}
	if f, err := LoadFleet(""); err != nil || len(f.Registry.Addresses) > 0 {
		t.Errorf("without a file: got %+v, %v", f, err)
	}
}

// The revision and the number of endpoints that a node reports are in force in its event loop.
func TestReportedListIsInForce(t *testing.T) {
	t.Parallel()
	p, r := newFakeEndpoint(t, respondWith(okResponse)), newFakeRegistry(t)
	r.publish(listJSON(4, true, memberJSON("e", p.addr(), 7, "SERVING"), memberJSON("f", p.addr(), 8, "SERVING")))
	var n *Node
	startNodeWith(t, r, t.TempDir(), nil, func(started *Node) { n = started })
	for _, want := range []struct {
		revision  int64
		endpoints int
		list      string
	}{
		{4, 2, ""},
		{5, 3, listJSON(5, false, memberJSON("g", p.addr(), 9, "SERVING"))},
		{7, 1, listJSON(7, true, memberJSON("g", p.addr(), 9, "SERVING"))},
	} {
		if want.list != "" {
			r.publish(want.list)
		}
		eventually(t, "revision "+itoa(int(want.revision)), func() bool { at, _ := n.CurrentList(); return at >= want.revision })
		if at, have := n.CurrentList(); at != want.revision || have != want.endpoints {
			t.Errorf("%d endpoints at revision %d, want %d at revision %d", have, at, want.endpoints, want.revision)
		}
	}
}
