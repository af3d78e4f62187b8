//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// directory is one replica of the list service.
type directory struct {
	w    *world
	id   string
	addr string
	file string // settings
	data string // folder
	node *node  // the process
}

// newDirectory returns a replica with these settings besides its id and its folder.
func newDirectory(w *world, id, addr, settings string) *directory {
	d := &directory{w: w, id: id, addr: addr, file: filepath.Join(w.dir, id+".toml"), data: filepath.Join(w.dir, id)}
	must(os.WriteFile(d.file, fmt.Appendf(nil, "id = %q\nhttp = %q\ndata = %q\n%s", id, addr, d.data, settings), 0o600))
	log, err := os.Create(filepath.Join(w.dir, id+".log"))
	must(err)
	d.node = &node{name: "directory " + id, rec: w.rec, log: log}
	started = append(started, d.node)
	return d
}

// launch starts the replica.
func (d *directory) launch() {
	cmd := exec.Command("bin/cottonrack", "directory", "serve", "--config", d.file)
	cmd.Stdout, cmd.Stderr = d.node.log, d.node.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	d.w.rec.printf("directory %s: starts", d.id)
	done := make(chan struct{})
	d.node.cmd, d.node.done = cmd, done
	go func() { cmd.Wait(); close(done) }()
}

// loseMachine kills the replica and removes its folder.
func (d *directory) loseMachine() {
	d.w.rec.printf("directory %s: its machine is lost, with its folder", d.id)
	d.node.kill()
	must(os.RemoveAll(d.data))
}

// replicaStatus is what the replica tells of itself.
type replicaStatus struct {
	Fresh   bool  `json:"fresh"`
	History int64 `json:"history"`
	Watches int   `json:"watches"`
	Members []struct {
		Votes bool `json:"votes"`
	} `json:"members"`
}

// leads reports whether the replica leads a service that has begun.
func (d *directory) leads() bool {
	var s replicaStatus
	code, _ := d.request(http.MethodGet, "/directory/status?fresh=1", nil, &s)
	return code == http.StatusOK && s.Fresh && s.History > 0
}

// awaitLeader waits until one of the replicas leads, and returns it.
func awaitLeader(limit time.Duration, all ...*directory) *directory {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(10 * time.Millisecond) {
		for _, d := range all {
			if d.node.cmd != nil && d.node.running() && d.leads() {
				d.w.rec.printf("directory %s: leads", d.id)
				return d
			}
		}
	}
	return nil
}

// start starts a replica that is alone, and waits until it leads.
func (d *directory) start() {
	d.launch()
	if awaitLeader(20*time.Second, d) == nil {
		fail("the directory does not lead after 20 s")
	}
}

// request sends a request and returns the status code and body, 0 for no answer.
func (d *directory) request(method, path string, body, into any) (int, string) {
	raw, err := json.Marshal(body)
	must(err)
	req, err := http.NewRequest(method, "http://"+d.addr+path, bytes.NewReader(raw))
	must(err)
	if method == http.MethodPost && strings.HasPrefix(path, "/registry") {
		req.Header.Set("If-Match", "*")
	}
	client := http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	if into != nil {
		json.Unmarshal(answer, into)
	}
	return resp.StatusCode, string(bytes.TrimSpace(answer))
}

// command runs the operators' program against some replicas.
func (w *world) command(at []string, args ...string) string {
	out, err := exec.Command("bin/cottonrack", append(append([]string{"directory"}, args...), "--at", strings.Join(at, ","))...).CombinedOutput()
	text := strings.TrimSpace(string(out))
	w.rec.printf("operator: cottonrack directory %s: %s %s", strings.Join(args, " "), text, errText(err))
	if err != nil {
		fail("directory " + args[0] + ": " + text)
	}
	return text
}

// acquire asks for a record and returns its token, 0 if it is refused.
func (d *directory) acquire(name, holder string, ttl time.Duration) int64 {
	var granted struct{ Token int64 }
	code, answer := d.request(http.MethodPut, "/records/"+name, object{"holder": holder, "ttl_ms": ttl.Milliseconds()}, &granted)
	d.w.rec.printf("%s: asks for record %s for %v: %d %s", holder, name, ttl, code, answer)
	if code != http.StatusOK {
		return 0
	}
	return granted.Token
}

// launchThree starts the replicas of a new service of three.
func launchThree(w *world) (all []*directory) {
	ids := []string{"d1", "d2", "d3"}
	var https, rafts []string
	for range ids {
		https, rafts = append(https, freeAddress()), append(rafts, freeAddress())
	}
	for i, id := range ids {
		settings := fmt.Sprintf("raft = %q\n", rafts[i])
		for j, peer := range ids {
			if j != i {
				settings += fmt.Sprintf("[[peer]]\nid = %q\nhttp = %q\nraft = %q\n", peer, https[j], rafts[j])
			}
		}
		all = append(all, newDirectory(w, id, https[i], settings))
		all[i].launch()
	}
	return all
}
