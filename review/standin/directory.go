package standin

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

// Directory is a directory of three replicas, each a process of its own.
type Directory struct {
	record   *Record
	dir      string
	Replicas []*Replica
	delays   []*Delay
}

// Replica is one replica of the directory.
type Replica struct {
	ID, HTTP, Raft string
	bindRaft       string
	record         *Record
	config, log    string
	cmd            *exec.Cmd
	exited         chan struct{}
}

// replicaCount is the size of a small directory.
const replicaCount = 3

// NewDirectory writes the settings of three replicas below dir and starts them. The settings are those of the directory's
// page, with its defaults. Each replica is in a zone of its own; what it sends to another one takes oneWay.
func NewDirectory(record *Record, dir string, oneWay time.Duration) (*Directory, error) {
	d := &Directory{record: record, dir: dir}
	for i := range replicaCount {
		r := &Replica{ID: fmt.Sprintf("d%d", i+1), record: record}
		var err error
		if r.HTTP, err = FreeAddr(); err != nil {
			return nil, err
		}
		if r.bindRaft, err = FreeAddr(); err != nil {
			return nil, err
		}
		r.Raft = r.bindRaft
		if oneWay > 0 {
			link, err := NewDelay(r.bindRaft, oneWay)
			if err != nil {
				return nil, err
			}
			d.delays, r.Raft = append(d.delays, link), link.Addr()
		}
		r.config, r.log = filepath.Join(dir, r.ID+".toml"), filepath.Join(dir, r.ID+".log")
		d.Replicas = append(d.Replicas, r)
	}
	for _, r := range d.Replicas {
		var b strings.Builder
		fmt.Fprintf(&b, "id = %q\nhttp = %q\nraft = %q\nbind_raft = %q\ndata = %q\n", r.ID, r.HTTP, r.Raft, r.bindRaft, filepath.Join(dir, r.ID))
		for _, peer := range d.Replicas {
			if peer != r {
				fmt.Fprintf(&b, "[[peer]]\nid = %q\nhttp = %q\nraft = %q\n", peer.ID, peer.HTTP, peer.Raft)
			}
		}
		if err := os.WriteFile(r.config, []byte(b.String()), 0o600); err != nil {
			return nil, err
		}
	}
	for _, r := range d.Replicas {
		if err := r.Start(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// Close ends all replicas.
func (d *Directory) Close() {
	for _, r := range d.Replicas {
		r.Kill()
	}
	for _, link := range d.delays {
		link.Close()
	}
}

// Start starts the replica's process.
func (r *Replica) Start() error {
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("bin/cottonrack", "directory", "serve", "--config", r.config)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.cmd, r.exited = cmd, exited
	r.record.Add("replica %s started at %s", r.ID, r.HTTP)
	go func() {
		err := cmd.Wait()
		r.record.Add("replica %s ended: %v", r.ID, err)
		close(exited)
	}()
	return nil
}

// Running reports whether the replica's process has not ended.
func (r *Replica) Running() bool {
	select {
	case <-r.exited:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the replica's process.
func (r *Replica) Signal(s syscall.Signal) {
	r.record.Add("signal %v to replica %s", s, r.ID)
	r.cmd.Process.Signal(s)
}

// Kill ends the replica's process if it still runs.
func (r *Replica) Kill() {
	if r.cmd != nil && r.Running() {
		r.cmd.Process.Kill()
		<-r.exited
	}
}

// Addresses returns the replicas' addresses, as the operators' program takes them.
func (d *Directory) Addresses() string {
	var all []string
	for _, r := range d.Replicas {
		all = append(all, r.HTTP)
	}
	return strings.Join(all, ",")
}

type replicaStatus struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	Fresh   bool   `json:"fresh"`
	Members []struct {
		ID    string `json:"id"`
		Votes bool   `json:"votes"`
	} `json:"members"`
}

// WaitLeader waits until a running replica leads and all replicas vote, and returns it; nil if none does in time.
func (d *Directory) WaitLeader(limit time.Duration) *Replica {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, r := range d.Replicas {
			var s replicaStatus
			if !r.Running() || d.get(r, "/directory/status?fresh=1", &s) != nil || !s.Fresh || len(s.Members) < replicaCount {
				continue
			}
			voters := 0
			for _, m := range s.Members {
				if m.Votes {
					voters++
				}
			}
			if voters == replicaCount {
				d.record.Add("replica %s leads", r.ID)
				return r
			}
		}
	}
	return nil
}

func (d *Directory) get(r *Replica, path string, into any) error {
	status, raw, err := Request(http.MethodGet, r.HTTP, path, "", nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("status %d: %s", status, raw)
	}
	return json.Unmarshal(raw, into)
}

// requestPatience is how long a caller of the directory waits for an answer; the directory's own limit is 5 s.
const requestPatience = 6 * time.Second

// Request sends one request to a replica and returns the status and the body of the answer.
func Request(method, addr, path, match string, body any) (int, []byte, error) {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(raw))
	if err != nil {
		return 0, nil, err
	}
	if match != "" {
		req.Header.Set("If-Match", match)
	}
	client := http.Client{Timeout: requestPatience, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, bytes.TrimSpace(answer), err
}

// Operator runs the operators' program for the directory, and returns what it printed.
func (d *Directory) Operator(args ...string) (string, error) {
	cmd := exec.Command("bin/cottonrack", append(append([]string{"directory"}, args...), "--at", d.Addresses())...)
	out, err := cmd.CombinedOutput()
	d.record.Add("operator: cottonrack directory %s: %v: %s", strings.Join(args, " "), err, bytes.ReplaceAll(bytes.TrimSpace(out), []byte("\n"), []byte(" | ")))
	return string(out), err
}
