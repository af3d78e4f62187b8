package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"starlingusher/internal/lab/syscallfault"
	"starlingusher/internal/loopback"
)

const testTimeout = 30 * time.Second // for what must happen; no test asserts speed

// TestMain runs the program instead of the tests when a test starts this binary as a child.
func TestMain(m *testing.M) {
	syscallfault.RunStarter()
	if os.Getenv("CORALYARD_TEST_CHILD") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// fakeDiscovery is a discovery server that lists one draining endpoint and reports what it receives.
type fakeDiscovery struct {
	*httptest.Server
	watches chan string // the query of each watch that begins
	ended   chan struct{}
	posts   chan string // the first notice of each post
	answer  int         // the status for posts; 0 for no answer
}

func newFakeDiscovery(t *testing.T, answer int) *fakeDiscovery {
	t.Helper()
	r := &fakeDiscovery{
		watches: make(chan string, 100), ended: make(chan struct{}, 100), posts: make(chan string, 100), answer: answer,
	}
	stop, cancel := context.WithCancel(context.Background())
	r.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodPost {
			line, _ := bufio.NewReader(req.Body).ReadString('\n')
			r.posts <- line
			if r.answer == 0 {
				select {
				case <-req.Context().Done():
				case <-stop.Done():
				}
				return
			}
			w.WriteHeader(r.answer)
			return
		}
		r.watches <- req.URL.RawQuery
		fmt.Fprintln(w, `{"revision":9,"complete":true,"members":[{"id":"e","host_port":"127.0.0.1:9","cell":7,"phase":"DRAINING"}]}`)
		w.(http.Flusher).Flush()
		select {
		case <-req.Context().Done():
		case <-stop.Done():
		}
		r.ended <- struct{}{}
	}))
	t.Cleanup(func() {
		cancel()
		r.CloseClientConnections()
		r.Close()
	})
	return r
}

func (r *fakeDiscovery) addr() string { return r.Listener.Addr().String() }

func await[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatal("never: " + what)
		panic("unreachable")
	}
}

const settings = `{"fleetSize":1,"categories":[{"name":"status","effect":"idempotent","deadline":60000,"aim":4000,"worth":1}],
	"domain":{"workers":8},"limits":{"maxOpen":9,"retryAfter":true,"maxRetryAfter":3000},"tick":5}`

func writeConfig(t *testing.T, path, listen, discovery string) {
	t.Helper()
	text := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"limits":{"cores":1,"memory_mb":64,"sockets":256,"disk_mb":3},
		"known":{"revision":41,"complete":true,"members":[{"id":"e","host_port":"127.0.0.1:9","cell":7,"phase":"DRAINING"}]},
		"settings":%s}`, listen, discovery, settings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// SIGHUP moves the watch and the reports at once, owed notices go to the new address, and an invalid
// configuration changes nothing. The program runs through all of it until SIGTERM ends it.
func TestSIGHUP(t *testing.T) {
	first, second := newFakeDiscovery(t, 0), newFakeDiscovery(t, http.StatusNoContent) // the first never answers a notice
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := ln.Addr().String()
	ln.Close()
	config := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, config, listen, first.addr())
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "CORALYARD_TEST_CHILD=1", "ROUTER_STATE="+t.TempDir(), "ROUTER_CONFIG="+config)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	signal := func(s os.Signal) {
		t.Helper()
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	if got := await(t, "the watch", first.watches); got != "watch=1&after=41" {
		t.Errorf("got %q", got)
	}
	nc, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	fmt.Fprint(nc, "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$1\r\na\r\n$23\r\nc=status,d=100,dest=007\r\n$0\r\n\r\n")
	if line, err := bufio.NewReader(nc).ReadString('\n'); line != "+OK\r\n" {
		t.Fatalf("got %q, %v", line, err)
	}
	notice := await(t, "a notice", first.posts)

	if err := os.WriteFile(config, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	signal(syscall.SIGHUP)
	writeConfig(t, config, listen, second.addr())
	for range 20 {
		signal(syscall.SIGHUP)
	}
	await(t, "the end of the old watch", first.ended)
	if got := await(t, "the watch at the new address", second.watches); got != "watch=1&after=0" {
		t.Errorf("another server's revision was asked for: %q", got)
	}
	if got := await(t, "the notice at the new address", second.posts); got != notice {
		t.Errorf("got %q, want %q", got, notice)
	}
	signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	for {
		select {
		case err := <-ended:
			if err != nil {
				t.Error(err)
			}
			return
		case <-time.After(50 * time.Millisecond):
			cmd.Process.Signal(syscall.SIGHUP) // also while it stops, when the process may be gone already
		}
	}
}

// When the new process of an upgrade dies, the old one takes the node back with the configuration that is in force, not with
// the one from its start. It guards against notices that go to discovery's old address.
func TestTakeBackFollowsDiscovery(t *testing.T) {
	former, moved := newFakeDiscovery(t, http.StatusNoContent), newFakeDiscovery(t, http.StatusNoContent)
	listen, config, state := freeAddr(t), filepath.Join(t.TempDir(), "config.json"), t.TempDir()
	writeConfig(t, config, listen, former.addr())
	firstAdmin, secondAdmin := freeAddr(t), freeAddr(t)
	first := startChild(t, config, state, firstAdmin)
	awaitReady(t, firstAdmin)
	writeConfig(t, config, listen, moved.addr())
	if err := first.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	await(t, "the watch at the new address", moved.watches)
	second := startChild(t, config, state, secondAdmin)
	awaitReady(t, secondAdmin)
	second.Process.Kill()
	second.Wait()
	awaitReady(t, firstAdmin)
	enqueue(t, listen, "a", 100*time.Millisecond)
	select {
	case <-moved.posts:
	case notice := <-former.posts:
		t.Errorf("the notice went to the former address: %q", notice)
	case <-time.After(testTimeout):
		t.Error("no notice has come")
	}
}

// startChild starts the program as a process of a node, with further environment variables.
func startChild(t *testing.T, config, state, admin string, env ...string) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "CORALYARD_TEST_CHILD=1", "ROUTER_STATE="+state, "ROUTER_CONFIG="+config, "ROUTER_ADMIN_ADDR="+admin)
	cmd.Env = append(cmd.Env, env...)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	return cmd
}

// freeAddr returns an address for a process that opens its own listener.
func freeAddr(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func awaitReady(t *testing.T, admin string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + admin + "/-/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatalf("never ready: %v", err)
		}
	}
}

// A new version takes over from a process that works, and from one that hangs, which it has to kill. When the
// new process is killed, the old one takes the node back. No accepted message is lost on the way.
func TestUpgrade(t *testing.T) {
	r := newFakeDiscovery(t, http.StatusNoContent)
	listen, config, state := freeAddr(t), filepath.Join(t.TempDir(), "config.json"), t.TempDir()
	writeConfig(t, config, listen, r.addr())
	start := func() (*exec.Cmd, string) {
		admin := freeAddr(t)
		cmd := startChild(t, config, state, admin)
		awaitReady(t, admin)
		return cmd, admin
	}
	enqueue := func() {
		t.Helper()
		nc, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		fmt.Fprint(nc, "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$1\r\na\r\n$26\r\nc=status,d=59999,dest=0007\r\n$0\r\n\r\n")
		if line, err := bufio.NewReader(nc).ReadString('\n'); line != "+OK\r\n" {
			t.Fatalf("got %q, %v", line, err)
		}
	}
	first, firstAdmin := start()
	enqueue()
	second, _ := start()
	enqueue()
	second.Process.Kill()
	second.Wait()
	awaitReady(t, firstAdmin)
	enqueue()
	third, _ := start()
	if err := first.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := first.Wait(); err != nil {
		t.Error(err)
	}
	enqueue()
	if err := third.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	_, admin := start()
	third.Wait() // the new process has killed it
	enqueue()
	resp, err := http.Get("http://" + admin + "/-/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || !strings.Contains(string(body), "app.active:1|g\n") {
		t.Errorf("one message was taken on: %s, %v", body, err)
	}
}
