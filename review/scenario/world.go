//go:build review2

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// member is one entry of discovery's list.
type member struct {
	ID       string  `json:"id"`
	Addr     string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

type list struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// record writes what happened to record.txt.
type record struct {
	mu    sync.Mutex
	w     io.Writer
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// platform is discovery's agent on the node's machine: the list, watches and notices.
type platform struct {
	rec  *record
	list list
	addr string

	onNotice func(id string) // unless nil, it is called for each notice
}

func newPlatform(rec *record, members []member) *platform {
	p := &platform{rec: rec, list: list{Revision: 1, Complete: true, Members: members}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", p.serveList)
	mux.HandleFunc("POST /reports", p.serveReports)
	p.addr = ln.Addr().String()
	go http.Serve(ln, mux)
	return p
}

// serveList answers with the list, or watches it. The list of these cases does not change.
func (p *platform) serveList(w http.ResponseWriter, req *http.Request) {
	json.NewEncoder(w).Encode(p.list)
	for req.URL.Query().Get("watch") == "1" {
		w.(http.Flusher).Flush()
		select {
		case <-time.After(2 * time.Second):
			io.WriteString(w, "\n")
		case <-req.Context().Done():
			return
		}
	}
}

func (p *platform) serveReports(w http.ResponseWriter, req *http.Request) {
	raw, _ := io.ReadAll(req.Body)
	for line := range bytes.Lines(raw) {
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		var n struct {
			ID    string `json:"id"`
			State string `json:"state"`
		}
		if json.Unmarshal(line, &n) != nil {
			http.Error(w, "unreadable", http.StatusBadRequest)
			return
		}
		p.rec.printf("platform: notice for %s: %s", n.ID, n.State)
		if p.onNotice != nil {
			p.onNotice(n.ID)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// call is one call as an endpoint saw it.
type call struct {
	ids   []string
	batch bool
}

// endpoint is a partner's endpoint.
type endpoint struct {
	name   string
	addr   string
	rec    *record
	answer func(c *call, conn net.Conn) bool // writes the answer; false ends the connection
}

func newEndpoint(rec *record, name string, answer func(c *call, conn net.Conn) bool) *endpoint {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	e := &endpoint{name: name, addr: ln.Addr().String(), rec: rec, answer: answer}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

// serve answers the calls of a connection until it ends.
func (e *endpoint) serve(conn net.Conn) {
	defer conn.Close()
	for r := bufio.NewReader(conn); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		c := &call{ids: []string{req.Header.Get("X-Trace-Id")}}
		switch {
		case req.Method != http.MethodPost:
			status(conn, "404 Not Found")
			continue
		case strings.HasSuffix(req.URL.Path, ":batch"):
			var items []struct{ ID string }
			if json.Unmarshal(body, &items) != nil || len(items) == 0 {
				status(conn, "400 Bad Request")
				continue
			}
			c.batch, c.ids = true, nil
			for _, i := range items {
				c.ids = append(c.ids, i.ID)
			}
		}
		e.rec.printf("endpoint %s: call with %s", e.name, strings.Join(c.ids, " "))
		if !e.answer(c, conn) {
			return
		}
	}
}

// ok answers a call with success.
func ok(c *call, conn net.Conn) bool {
	body := ""
	if c.batch {
		var states []map[string]string
		for _, id := range c.ids {
			states = append(states, map[string]string{"id": id, "state": "accepted"})
		}
		raw, _ := json.Marshal(states)
		body = string(raw)
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// status answers a call with a status alone.
func status(conn net.Conn, line string) bool {
	_, err := io.WriteString(conn, "HTTP/1.1 "+line+"\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// node is the delivery node, started by the deploy file's command.
type node struct {
	name   string
	rec    *record
	dir    string
	listen string
	env    []string
	config map[string]any
	cmd    *exec.Cmd
	done   chan struct{}
	log    *os.File
}

func newNode(rec *record, dir string, config map[string]any) *node {
	for _, d := range []string{"state", "tmp"} {
		must(os.MkdirAll(filepath.Join(dir, d), 0o700))
	}
	log, err := os.Create(filepath.Join(dir, "node.log"))
	must(err)
	return &node{name: "node", rec: rec, dir: dir, listen: freeAddress(), config: config, log: log}
}

// freeAddress returns a loopback address that nothing listens on. It is not in 127.0.0.1, where outgoing connections take ports.
func freeAddress() string {
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()>>14&63, os.Getpid()>>7&127, 1+os.Getpid()&127))
	must(err)
	defer ln.Close()
	return ln.Addr().String()
}

func (n *node) configPath() string { return filepath.Join(n.dir, "config.json") }

// writeConfig writes the platform's configuration file in one step.
func (n *node) writeConfig() {
	n.config["listen"] = n.listen
	raw, err := json.Marshal(n.config)
	must(err)
	must(os.WriteFile(n.configPath()+".new", raw, 0o600))
	must(os.Rename(n.configPath()+".new", n.configPath()))
}

// start starts the node as the deploy file does, and waits until it answers PING.
func (n *node) start() {
	n.writeConfig()
	n.launch()
	for began := time.Now(); ; {
		if ping(n.listen) {
			break
		}
		if time.Since(began) > 20*time.Second {
			fail("the node is not ready after 20 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
	n.rec.printf("%s: ready", n.name)
}

// launch starts a process of the node.
func (n *node) launch() {
	n.cmd = exec.Command("/bin/sh", "-c", "exec bin/coralyard")
	n.cmd.Env = append([]string{
		"PATH=" + os.Getenv("PATH"), "ROUTER_NAME=n1", "ROUTER_LISTEN=" + n.listen, "ROUTER_DISCOVERY=" + n.config["discovery"].(string),
		"ROUTER_STATE=" + filepath.Join(n.dir, "state"), "ROUTER_CONFIG=" + n.configPath(), "TMPDIR=" + filepath.Join(n.dir, "tmp"), "ROUTER_LOG=debug",
	}, n.env...)
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(n.cmd.Start())
	done := make(chan struct{})
	n.done = done
	cmd := n.cmd
	go func() { cmd.Wait(); close(done) }()
}

func ping(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.HasPrefix(line, "+PONG")
}

func (n *node) signal(s syscall.Signal) {
	n.rec.printf("%s: gets the signal: %v", n.name, s)
	n.cmd.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.done
}

// running reports whether the process runs.
func (n *node) running() bool {
	select {
	case <-n.done:
		return false
	default:
		return true
	}
}

// client hands messages in on connections of its own.
type client struct {
	rec  *record
	node *node
}

// request encodes a message as the protocol has it.
func request(id, class string, ttl time.Duration, dest int, key string, body []byte) []byte {
	fields := fmt.Sprintf("c=%s,t=kanoresearch,d=%d", class, ttl.Milliseconds())
	if key != "" {
		fields += ",k=" + key
	}
	fields += fmt.Sprintf(",dest=%d", dest)
	var b bytes.Buffer
	args := []string{"ENQUEUE", "0000000000000000", id, fields, string(body)}
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	return b.Bytes()
}

// submit hands a message in and returns the answer's line, "" for none within 400 ms.
func (c *client) submit(id, class string, ttl time.Duration, dest int, key string, body []byte) string {
	conn, err := net.DialTimeout("tcp", c.node.listen, time.Second)
	if err != nil {
		c.rec.printf("client: %s not handed in: %v", id, err)
		return ""
	}
	defer conn.Close()
	c.rec.printf("client: hands in %s, class %s, for destination %d, %v", id, class, dest, ttl)
	conn.SetDeadline(time.Now().Add(400 * time.Millisecond))
	conn.Write(request(id, class, ttl, dest, key, body))
	line, err := bufio.NewReader(conn).ReadString('\n')
	line = strings.TrimSpace(line)
	c.rec.printf("client: answer to %s: %q %v", id, line, errText(err))
	return line
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func must(err error) {
	if err != nil {
		fail(err.Error())
	}
}

// fail ends a case that couldn't run.
func fail(text string) {
	fmt.Fprintln(os.Stderr, "the case couldn't run:", text)
	endAll()
	os.Exit(2)
}
