package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/fleet/ownership"
	"starlingusher/internal/directory"
)

// freeAddrs returns n free addresses.
func freeAddrs(t *testing.T, n int) (addrs []string) {
	t.Helper()
	for range n {
		addrs = append(addrs, freeAddr(t))
	}
	return addrs
}

// startReplicas starts three replicas of the directory, each with two of listenAddrs: for HTTP and for Raft.
// It returns their HTTP addresses and a function for each that stops it.
func startReplicas(t *testing.T, listenAddrs []string) (addrs []string, stop []func()) {
	t.Helper()
	var all []directory.Config
	for i := range 3 {
		c := directory.Defaults()
		c.ID, c.HTTP, c.Raft, c.Data = fmt.Sprint("d", i), listenAddrs[2*i], listenAddrs[2*i+1], t.TempDir()
		all = append(all, c)
		addrs = append(addrs, c.HTTP)
	}
	for i, c := range all {
		for j, p := range all {
			if i != j {
				c.Peers = append(c.Peers, directory.Peer{ID: p.ID, HTTP: p.HTTP, Raft: p.Raft})
			}
		}
		r, err := directory.Open(c, slog.New(slog.NewTextHandler(t.Output(), nil)).With("replica", c.ID))
		if err != nil {
			t.Fatal(err)
		}
		s, err := directory.Serve(r)
		if err != nil {
			t.Fatal(err)
		}
		stopReplica := sync.OnceFunc(func() {
			if err := errors.Join(s.Close(), r.Close()); err != nil {
				t.Error(err)
			}
		})
		stop = append(stop, stopReplica)
		t.Cleanup(stopReplica)
	}
	return addrs, stop
}

// writeMap writes a map of owners to the directory as a controller does: it acquires the record, writes with
// the token, and releases the record.
func writeMap(t *testing.T, op *directory.AdminClient, m *ownership.Map) {
	t.Helper()
	value, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	do := func(method string, fields map[string]any) (token int64) {
		t.Helper()
		body, err := json.Marshal(fields)
		if err != nil {
			t.Fatal(err)
		}
		raw, _, err := op.Do(t.Context(), method, "/records/"+ownership.RecordName, "", body)
		if err != nil {
			t.Fatal(err)
		}
		var response struct{ Token int64 }
		if err := json.Unmarshal(raw, &response); err != nil {
			t.Fatal(err)
		}
		return response.Token
	}
	token := do(http.MethodPut, map[string]any{"holder": "test", "ttl_ms": 5000})
	do(http.MethodPost, map[string]any{"token": token, "value": value})
	do(http.MethodDelete, map[string]any{"token": token})
}

// ownerProcess is a node process with an [ownership] section in its fleet file.
type ownerProcess struct {
	*exec.Cmd
	name, listenAddr, adminAddr, configFile, fleetFile, stateDir string
	nextAdminAddrs                                               []string // for the processes that are still to be started
}

func (o *ownerProcess) start(t *testing.T) {
	t.Helper()
	o.adminAddr, o.nextAdminAddrs = o.nextAdminAddrs[0], o.nextAdminAddrs[1:]
	o.Cmd = exec.Command(os.Args[0])
	o.Env = append(os.Environ(), "CORALYARD_TEST_CHILD=1", "ROUTER_STATE="+o.stateDir, "ROUTER_CONFIG="+o.configFile, "ROUTER_ADMIN_ADDR="+o.adminAddr, "ROUTER_FLEET="+o.fleetFile)
	o.Stderr = os.Stderr
	if err := o.Start(); err != nil {
		t.Fatal(err)
	}
	p := o.Process
	t.Cleanup(func() {
		p.Kill()
		p.Wait()
	})
}

// get returns the body of the answer at a path of the operators' address, or "" if there is no answer.
func (o *ownerProcess) get(path string) string {
	resp, err := http.Get("http://" + o.adminAddr + path)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	return string(raw)
}

func (o *ownerProcess) await(t *testing.T, path, want string) {
	t.Helper()
	eventually(t, o.name+" says "+want, func() bool { return strings.Contains(o.get(path), want) })
}

// submit hands the node a message and returns the first word of its reply.
func (o *ownerProcess) submit(t *testing.T, id string, dest int) string {
	t.Helper()
	nc, err := net.Dial("tcp", o.listenAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	fields := fmt.Sprintf("c=status,d=50000,dest=%d", dest)
	fmt.Fprintf(nc, "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$0\r\n\r\n", len(id), id, len(fields), fields)
	line, err := bufio.NewReader(nc).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return strings.Fields(line)[0]
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for: " + what)
		}
	}
}

// Two nodes and three replicas of the directory: each destination's messages are accepted by its owner and
// refused by the other node. That holds across new maps, a stopped replica, a killed node, a handover and a
// reload.
func TestOwners(t *testing.T) {
	listenAddrs := freeAddrs(t, 14)
	addrs, stop := startReplicas(t, listenAddrs)
	op := &directory.AdminClient{Addresses: addrs, RetryFor: testTimeout}
	delivered := make(chan string, 100)
	partner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		delivered <- req.Header.Get("X-Trace-Id")
	}))
	t.Cleanup(partner.Close)
	const dests = 24
	var members []catalog.Endpoint
	for d := range dests {
		members = append(members, catalog.Endpoint{ID: fmt.Sprint("e", d), Addr: partner.Listener.Addr().String(), Locality: "z", Flavor: "m", Cell: d, Phase: catalog.Serving, Size: 1000})
	}
	eventually(t, "the list is written", func() bool {
		_, err := op.Put(t.Context(), members, true, true, "*")
		return err == nil
	})
	makeMap := func(number int64, before *ownership.Map, names ...string) *ownership.Map {
		t.Helper()
		var mapMembers []ownership.Member
		for i, n := range names {
			mapMembers = append(mapMembers, ownership.Member{Name: n, Zone: fmt.Sprint("z", i), Weight: 1})
		}
		m, err := ownership.Make(number, 1, mapMembers, before)
		if err != nil {
			t.Fatal(err)
		}
		writeMap(t, op, m)
		return m
	}
	var nodes []*ownerProcess
	for i, name := range []string{"n1", "n2"} {
		dir := t.TempDir()
		o := &ownerProcess{name: name, listenAddr: listenAddrs[6+i], nextAdminAddrs: listenAddrs[8+3*i:][:3], stateDir: t.TempDir(), configFile: filepath.Join(dir, "config.json"), fleetFile: filepath.Join(dir, "fleet.toml")}
		writeConfig(t, o.configFile, o.listenAddr, "127.0.0.1:9")
		text := fmt.Sprintf("[registry]\naddresses = [\"%s\"]\nkeep_kb = 64\n[ownership]\nname = %q\n", strings.Join(addrs, "\", \""), name)
		if err := os.WriteFile(o.fleetFile, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		o.start(t)
		nodes = append(nodes, o)
	}
	for _, o := range nodes {
		o.await(t, "/-/ready", "no map of owners is known")
	}
	sent := 0
	check := func(m *ownership.Map) {
		t.Helper()
		for _, o := range nodes {
			o.await(t, "/-/metrics", fmt.Sprintf("app.map:%d|g", m.Number))
			own, member := m.PartitionsOf(o.name)
			if !member {
				o.await(t, "/-/ready", "not in the map of owners")
				continue
			}
			ownDests := 0
			for d := range dests {
				if own.Has(ownership.PartitionOf(d)) {
					ownDests++
				}
			}
			o.await(t, "/-/ready", "ready")
			o.await(t, "/-/metrics", fmt.Sprintf("app.partitions_owned:%d|g", own.Len()))
			// The lists of gained partitions must have arrived. Lists of lost partitions may still be
			// followed.
			eventually(t, "its list", func() bool {
				var listed int
				for line := range strings.Lines(o.get("/-/metrics")) {
					fmt.Sscanf(line, "app.pool_size:%d|g", &listed)
				}
				return listed >= ownDests
			})
		}
		for d := range dests {
			for _, o := range nodes {
				sent++
				id := fmt.Sprint("m", sent)
				want := "-BUSY"
				if m.Owners(ownership.PartitionOf(d))[0] == o.name {
					want = "+OK"
				}
				if got := o.submit(t, id, d); got != want {
					t.Fatalf("map %d, destination %d at %s: %s, want %s", m.Number, d, o.name, got, want)
				}
				if want == "+OK" {
					if got := await(t, "its delivery", delivered); got != id {
						t.Fatalf("%s came, not %s", got, id)
					}
				}
			}
		}
	}
	first := makeMap(1, nil, "n1", "n2")
	check(first)
	second := makeMap(2, first, "n1")
	check(second)
	eventually(t, "three votes", func() bool { // replicas become voters one after the other, and each has to know all
		for _, addr := range addrs {
			one := &directory.AdminClient{Addresses: []string{addr}}
			status, err := one.Status(t.Context())
			votes := 0
			for _, m := range status.Members {
				if m.Votes {
					votes++
				}
			}
			if err != nil || votes != len(addrs) {
				return false
			}
		}
		return true
	})
	stop[0]()
	op.Addresses = addrs[1:]
	third := makeMap(3, second, "n1", "n2")
	check(third)

	restarted := nodes[0]
	if err := restarted.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	restarted.Wait()
	restarted.start(t)
	check(third)
	// A handover: a new process starts beside the old one, which is then stopped.
	old := *restarted
	restarted.start(t)
	restarted.await(t, "/-/ready", "ready")
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := old.Wait(); err != nil {
		t.Error(err)
	}
	check(third)
	// A reload with another owner name, which must be ignored.
	raw, err := os.ReadFile(restarted.fleetFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(restarted.fleetFile, []byte(strings.Replace(string(raw), "n1", "n3", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := restarted.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	check(makeMap(4, third, "n1", "n2"))
}
