package node

import (
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/internal/registry"
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

// readCachedList returns the list in a state folder.
func readCachedList(t *testing.T, dir string) catalog.List {
	t.Helper()
	cache, err := registry.OpenListCache(dir, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	list, _, _, _ := cache.List()
	return list
}

// After a handover the list in the folder is the successor's alone, and holds all that its position stands for. It guards
// against a change that the file misses for good: one that the predecessor had not written when the successor read the file.
func TestCachedListGoesOver(t *testing.T) {
	member := func(id string) catalog.Endpoint {
		return catalog.Endpoint{ID: id, Addr: "127.0.0.1:1", Locality: "z", Flavor: "m", Cell: 7, Phase: catalog.Serving, Size: 1}
	}
	update := func(revision int64, complete bool, members ...catalog.Endpoint) registry.Update {
		return registry.Update{List: catalog.List{Revision: revision, Complete: complete, Members: members}, Server: "s:1"}
	}
	dir := t.TempDir()
	cfg := Config{StateDir: dir}
	cfg.Fleet.Registry.Addresses, cfg.Fleet.Registry.KeepKB = []string{"s:1"}, 64
	log := slog.New(slog.DiscardHandler)
	predecessor := openListCache(cfg, log)
	predecessor.apply(update(1, true, member("a")))
	predecessor.close()
	successor := openListCache(cfg, log)
	successor.adopt(update(2, false, member("a"), member("b"))) // the predecessor's loop had one more change
	successor.apply(update(3, false, member("c")))
	if err := successor.flush(); err != nil {
		t.Fatal(err)
	}
	predecessor.apply(update(2, false, member("b"))) // its watch ends after the handover
	if err := predecessor.flush(); err != nil {
		t.Fatal(err)
	}
	if got := readCachedList(t, dir); got.Revision != 3 || len(got.Members) != 3 {
		t.Errorf("the folder has %d endpoints at revision %d, want 3 at 3", len(got.Members), got.Revision)
	}
}

// The process that takes over goes on from the predecessor's revision with the predecessor's list in its cache.
func TestSuccessorStoresListOfItsRevision(t *testing.T) {
	n := newConfiguredIdleNode(t, func(c *Config) { c.Fleet.Registry.Addresses, c.Fleet.Registry.KeepKB = []string{"s:1"}, 64 })
	member := catalog.Endpoint{ID: "a", Addr: "127.0.0.1:1", Locality: "z", Flavor: "m", Cell: 7, Phase: catalog.Serving, Size: 1}
	n.restore(nil, &handoverState{At: time.Now(), Revision: 5, ListSource: "s:1", Members: []catalog.Endpoint{member}}, n.sender)
	if err := n.listCache.flush(); err != nil {
		t.Fatal(err)
	}
	if got := readCachedList(t, n.cfg.StateDir); got.Revision != 5 || len(got.Members) != 1 {
		t.Errorf("the folder has %d endpoints at revision %d, want 1 at 5", len(got.Members), got.Revision)
	}
}
