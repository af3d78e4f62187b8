package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
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

// freeAddrs returns n different free addresses, with ports that no outgoing connection is given meanwhile.
func freeAddrs(t *testing.T, n int) (addrs []string) {
	t.Helper()
	for tries := 0; len(addrs) < n; tries++ {
		ln, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", 20000+rand.IntN(12000)))
		if err == nil {
			defer ln.Close()
			addrs = append(addrs, ln.Addr().String())
		} else if tries > 1000 {
			t.Fatal(err)
		}
	}
	return addrs
}

// startReplicas starts three replicas of the directory.
func startReplicas(t *testing.T, at []string) (addrs []string, stop []func()) {
	t.Helper()
	var all []directory.Config
	for i := range 3 {
		c := directory.Defaults()
		c.ID, c.HTTP, c.Raft, c.Data = fmt.Sprint("d", i), at[2*i], at[2*i+1], t.TempDir()
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
		end := sync.OnceFunc(func() {
			if err := errors.Join(s.Close(), r.Close()); err != nil {
				t.Error(err)
			}
		})
		stop = append(stop, end)
		t.Cleanup(end)
	}
	return addrs, stop
}

// writeMap writes a map to the directory as its writer does: it acquires the record, writes with the token,
// and releases it.
func writeMap(t *testing.T, op *directory.AdminClient, m *ownership.Map) {
	t.Helper()
	value, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	do := func(method string, ask map[string]any) (token int64) {
		t.Helper()
		body, err := json.Marshal(ask)
		if err != nil {
			t.Fatal(err)
		}
		raw, _, err := op.Do(t.Context(), method, "/records/"+ownership.RecordName, "", body)
		if err != nil {
			t.Fatal(err)
		}
		var said struct{ Token int64 }
		if err := json.Unmarshal(raw, &said); err != nil {
			t.Fatal(err)
		}
		return said.Token
	}
	token := do(http.MethodPut, map[string]any{"holder": "test", "ttl_ms": 5000})
	do(http.MethodPost, map[string]any{"token": token, "value": value})
	do(http.MethodDelete, map[string]any{"token": token})
}

// ownerProcess is a process of a node with [ownership].
type ownerProcess struct {
	*exec.Cmd
	name, listen, admin, config, fleet, state string
	admins                                    []string // one for each process
}

func (o *ownerProcess) start(t *testing.T) {
	t.Helper()
	o.admin, o.admins = o.admins[0], o.admins[1:]
	o.Cmd = exec.Command(os.Args[0])
	o.Env = append(os.Environ(), "CORALYARD_TEST_CHILD=1", "ROUTER_STATE="+o.state, "ROUTER_CONFIG="+o.config, "ROUTER_ADMIN_ADDR="+o.admin, "ROUTER_FLEET="+o.fleet)
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

// get returns the answer of the operators' address, "" while there is none.
func (o *ownerProcess) get(path string) string {
	resp, err := http.Get("http://" + o.admin + path)
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

// submit submits a message and returns the first word of the answer.
func (o *ownerProcess) submit(t *testing.T, id string, dest int) string {
	t.Helper()
	nc, err := net.Dial("tcp", o.listen)
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

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !is(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// Two nodes and three replicas: each destination is accepted by its owner and refused by the other node,
// across new maps, a stopped replica, a kill, a handover and a signal.
func TestOwners(t *testing.T) {
	at := freeAddrs(t, 14)
	addrs, stop := startReplicas(t, at)
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
		var of []ownership.Member
		for i, n := range names {
			of = append(of, ownership.Member{Name: n, Zone: fmt.Sprint("z", i), Weight: 1})
		}
		m, err := ownership.Make(number, 1, of, before)
		if err != nil {
			t.Fatal(err)
		}
		writeMap(t, op, m)
		return m
	}
	var nodes []*ownerProcess
	for i, name := range []string{"n1", "n2"} {
		dir := t.TempDir()
		o := &ownerProcess{name: name, listen: at[6+i], admins: at[8+3*i:][:3], state: t.TempDir(), config: filepath.Join(dir, "config.json"), fleet: filepath.Join(dir, "fleet.toml")}
		writeConfig(t, o.config, o.listen, "127.0.0.1:9")
		text := fmt.Sprintf("[registry]\naddresses = [\"%s\"]\nkeep_kb = 64\n[ownership]\nname = %q\n", strings.Join(addrs, "\", \""), name)
		if err := os.WriteFile(o.fleet, []byte(text), 0o600); err != nil {
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
			mine := 0
			for d := range dests {
				if own.Has(ownership.PartitionOf(d)) {
					mine++
				}
			}
			o.await(t, "/-/ready", "ready")
			o.await(t, "/-/metrics", fmt.Sprintf("app.partitions_owned:%d|g", own.Len()))
			// Lists of gained partitions have come; lost partitions may linger.
			eventually(t, "its list", func() bool {
				var listed int
				for line := range strings.Lines(o.get("/-/metrics")) {
					fmt.Sscanf(line, "app.pool_size:%d|g", &listed)
				}
				return listed >= mine
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
	eventually(t, "three votes", func() bool { // replicas get their votes one after the other
		st, err := op.Status(t.Context())
		votes := 0
		for _, m := range st.Members {
			if m.Votes {
				votes++
			}
		}
		return err == nil && votes == 3
	})
	stop[0]()
	op.Addresses = addrs[1:]
	third := makeMap(3, second, "n1", "n2")
	check(third)

	one := nodes[0]
	if err := one.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	one.Wait()
	one.start(t)
	check(third)
	// A new process starts beside the old one, which stops.
	old := *one
	one.start(t)
	one.await(t, "/-/ready", "ready")
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := old.Wait(); err != nil {
		t.Error(err)
	}
	check(third)
	// A reload with another owner name, which is ignored.
	raw, err := os.ReadFile(one.fleet)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(one.fleet, []byte(strings.Replace(string(raw), "n1", "n3", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := one.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	check(makeMap(4, third, "n1", "n2"))
}
