package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"starlingusher/internal/lab/syscallfault"
)

// startFaulty starts the program as startChild does, with system calls that fail as planned.
func startFaulty(t *testing.T, config, state, admin string, plan syscallfault.Plan) *exec.Cmd {
	t.Helper()
	env := append(os.Environ(), "CORALYARD_TEST_CHILD=1", "ROUTER_STATE="+state, "ROUTER_CONFIG="+config, "ROUTER_ADMIN_ADDR="+admin)
	command, env, socket, injector, err := syscallfault.Prepare(os.Args[0], []string{os.Args[0]}, env, plan)
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env, cmd.Stderr, cmd.ExtraFiles = env, os.Stderr, []*os.File{socket}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	socket.Close()
	injector.Run()
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
		injector.Close()
	})
	return cmd
}

// replies counts what clients were told.
type replies struct{ accepted, refused, unknown int }

// submitFor submits messages to a node from several clients for a while. A client that gets no reply in time, as the
// protocol has it, does not know what became of its message.
func submitFor(listen string, length time.Duration) replies {
	const clients, patience = 4, 400 * time.Millisecond
	var mu sync.Mutex
	var total replies
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	for client := range clients {
		wg.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("%d-%d", client, i)
				reply := submitOnce(listen, id, patience)
				mu.Lock()
				switch {
				case strings.HasPrefix(reply, "+OK"):
					total.accepted++
				case strings.HasPrefix(reply, "-BUSY"):
					total.refused++
				default:
					total.unknown++
				}
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return total
}

// submitOnce returns the reply to a message, "" if there was none.
func submitOnce(listen, id string, patience time.Duration) string {
	nc, err := net.DialTimeout("tcp", listen, patience)
	if err != nil {
		return ""
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(patience))
	const fields = "c=status,d=60000,dest=7"
	fmt.Fprintf(nc, "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$0\r\n\r\n", len(id), id, len(fields), fields)
	line, _ := bufio.NewReader(nc).ReadString('\n')
	return line
}

var activeMetric = regexp.MustCompile(`app\.active:(\d+)\|g`)

// activeMessages returns how many messages a node holds.
func activeMessages(t *testing.T, admin string) int {
	t.Helper()
	resp, err := http.Get("http://" + admin + "/-/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	match := activeMetric.FindSubmatch(body)
	if match == nil {
		t.Fatalf("no app.active in %s", body)
	}
	n, err := strconv.Atoi(string(match[1]))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// While the folder and the sockets fail now and then, clients get their replies. What was accepted outlives a kill,
// and what was refused does not come back with the next start.
func TestFailingFolderKeepsWhatWasAccepted(t *testing.T) {
	const roomForAll = 100_000
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			discovery := newFakeDiscovery(t, http.StatusNoContent)
			listen, admin, state := freeAddr(t), freeAddr(t), t.TempDir()
			config := filepath.Join(t.TempDir(), "config.json")
			writeConfig(t, config, listen, discovery.addr())
			raw, err := os.ReadFile(config)
			if err != nil {
				t.Fatal(err)
			}
			text := strings.Replace(string(raw), `"maxOpen":9`, fmt.Sprintf(`"maxOpen":%d`, roomForAll), 1)
			if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			random := rand.New(rand.NewPCG(seed, 0))
			var mu sync.Mutex
			var journalOpens atomic.Int64
			plan := func(call syscallfault.Call, path string) syscallfault.Action {
				mu.Lock()
				defer mu.Unlock()
				switch call {
				case syscallfault.Open:
					if !strings.HasPrefix(path, state) {
						return syscallfault.Action{}
					}
					if journalOpens.Add(1) <= 4 { // the start fails first
						return syscallfault.Action{Errno: syscallfault.FolderErrors[random.IntN(len(syscallfault.FolderErrors))]}
					}
					fallthrough
				case syscallfault.Write, syscallfault.Rename:
					if random.Float64() < 0.2 {
						return syscallfault.Action{Errno: syscallfault.FolderErrors[random.IntN(len(syscallfault.FolderErrors))], Half: call == syscallfault.Write && random.IntN(2) == 0}
					}
				case syscallfault.Accept:
					if random.Float64() < 0.1 {
						return syscallfault.Action{Errno: syscallfault.AcceptErrors[random.IntN(len(syscallfault.AcceptErrors))]}
					}
				}
				return syscallfault.Action{}
			}
			first := startFaulty(t, config, state, admin, plan)
			awaitReady(t, admin)
			told := submitFor(listen, 2*time.Second)
			if err := first.Process.Signal(syscall.SIGKILL); err != nil {
				t.Fatal(err)
			}
			first.Wait()
			admin = freeAddr(t)
			startChild(t, config, state, admin)
			awaitReady(t, admin)
			if active := activeMessages(t, admin); active < told.accepted || active > told.accepted+told.unknown {
				t.Errorf("%d messages are held after the kill, of clients %+v", active, told)
			}
			if told.accepted == 0 || told.refused == 0 || told.unknown*10 > told.accepted {
				t.Errorf("clients were told %+v", told)
			}
		})
	}
}
