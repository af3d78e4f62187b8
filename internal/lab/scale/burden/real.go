package burden

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"starlingusher/fleet/catalog"
	"starlingusher/internal/lab/proc"
	"starlingusher/internal/lab/scale/play"
	"starlingusher/internal/loopback"
)

const (
	readyTimeout           = 2 * time.Minute
	readyPollInterval      = time.Millisecond
	answerTimeout          = 30 * time.Second
	settleTime             = 500 * time.Millisecond // before a node's memory is read
	singleMessages         = 100                    // submitted one by one
	singlePause            = 5 * time.Millisecond   // between these
	partnerRetryAfter      = 600                    // seconds of the partners' retry-after, the longest that a node honors
	journalBytesPerMessage = 1000 + 24              // bytes that the journal reserves for a message in addition to its body, ID included, with some spare
	nodeSockets            = 2048                   // half of these are for clients, and a third of that half may stay idle; the node closes idle connections beyond that
)

// measureNode has clients submit n messages to a real node whose partners reject all calls, kills the node
// and restarts it.
func measureNode(ctx context.Context, r *play.Reading, s play.Spec, log *slog.Logger) (err error) {
	n, dests := int(s.X), int(s.Settings["destinations"])
	env, err := newEnvironment(dests)
	if err != nil {
		return err
	}
	defer env.close()
	node, err := newRealNode(s, env, log)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, node.close()) }()
	if _, err := node.start(ctx, s.Settings["load_cores"]); err != nil {
		return err
	}
	clients := submitter{addr: node.addr, dests: dests, body: strings.Repeat("x", int(s.Settings["body"]))}
	loadCtx, cancel := context.WithTimeout(ctx, time.Duration(s.Settings["load_seconds"]*float64(time.Second)))
	defer cancel()
	startedAt := time.Now()
	longest, err := clients.submitAll(loadCtx, n, int(s.Settings["clients"]))
	seconds := time.Since(startedAt).Seconds()
	r.SetCount("journal_taken", float64(clients.accepted.Load()))
	r.SetCount("journal_load_s", seconds)
	r.SetCount("journal_load_answer_longest_s", longest.Seconds())
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	var refused refusedError
	switch {
	case errors.As(err, &refused):
		r.AddLimit("%d messages are held, and the next one is refused (%s): max_open %.0f, disk_mb %.0f (0: raised as needed)",
			clients.accepted.Load(), refused.answer, s.Settings["max_open"], s.Settings["disk_mb"])
		return nil
	case loadCtx.Err() != nil:
		r.AddLimit("%d of %d messages were accepted in %.0f s", clients.accepted.Load(), n, seconds)
		return nil
	case err != nil && node.hasEnded():
		r.AddLimit("the node ended %v at %d messages", node.process.Wait(), clients.accepted.Load())
		return nil
	case err != nil:
		return err
	}
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	use, err := node.process.Usage()
	if err != nil {
		return err
	}
	file, err := os.Stat(filepath.Join(s.Dir, "state", "journal"))
	if err != nil {
		return err
	}
	if err := node.kill(); err != nil {
		return err
	}
	ready, err := node.start(ctx, s.Settings["cores"])
	if err != nil {
		return err
	}
	r.SetValue("journal.held.rss", float64(use.RSS))
	r.SetValue("journal.held.file", float64(file.Size()))
	r.SetValue("journal.start", ready.Seconds())
	stall, mean, err := clients.submitSingly(ctx, singleMessages)
	if err != nil {
		return fmt.Errorf("after the restart: %w", err)
	}
	r.SetValue("journal.stall", stall.Seconds())
	r.SetCount("journal_answer_mean_s", mean.Seconds())
	if err := node.kill(); err != nil {
		return err
	}
	r.SetValue("journal.start.rss", float64(node.process.Wait().MaxRSS))
	r.SetCount("journal_start_cpu_s", node.process.Wait().CPU.Seconds())
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// environment is all that the node talks to except its clients, on one address: the list service, the
// receiver of notices, and every partner.
type environment struct {
	list  catalog.List
	addr  string
	srv   *http.Server
	done  chan struct{}
	calls atomic.Int64
}

func newEnvironment(dests int) (*environment, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("the node's environment: %w", err)
	}
	env := &environment{addr: ln.Addr().String(), done: make(chan struct{}), list: catalog.List{Revision: 1, Complete: true}}
	for i := range dests {
		env.list.Members = append(env.list.Members, catalog.Endpoint{
			ID: endpointID(i), Addr: env.addr, Locality: "z0", Flavor: "hook", Cell: i, Phase: catalog.Serving, Size: 2,
		})
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", env.serveList)
	mux.HandleFunc("POST /reports", func(_ http.ResponseWriter, req *http.Request) { io.Copy(io.Discard, req.Body) })
	mux.HandleFunc("/", env.rejectCall)
	env.srv = &http.Server{Handler: mux, ReadHeaderTimeout: 30 * time.Second}
	go func() { // runs until close
		defer close(env.done)
		env.srv.Serve(ln)
	}()
	return env, nil
}

func (e *environment) close() {
	e.srv.Close()
	<-e.done
}

// serveList sends the list once, and then heartbeats.
func (e *environment) serveList(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	flush := http.NewResponseController(w)
	if json.NewEncoder(w).Encode(e.list) != nil || flush.Flush() != nil {
		return
	}
	heartbeat := time.NewTicker(2 * time.Second)
	defer heartbeat.Stop()
	for {
		select {
		case <-heartbeat.C:
			if _, err := io.WriteString(w, "\n"); err != nil || flush.Flush() != nil {
				return
			}
		case <-req.Context().Done():
			return
		}
	}
}

// rejectCall answers as every partner: with a retry-after.
func (e *environment) rejectCall(w http.ResponseWriter, req *http.Request) {
	e.calls.Add(1)
	io.Copy(io.Discard, req.Body)
	w.Header().Set("Retry-After", strconv.Itoa(partnerRetryAfter))
	w.WriteHeader(http.StatusTooManyRequests)
}

// realNode is a coralyard process and its folder.
type realNode struct {
	spec        play.Spec
	addr        string
	env         []string
	log         *os.File
	environment *environment
	supervisor  *proc.Supervisor
	process     *proc.Process // the current or last one
}

// newRealNode makes the folder of a node. It does not start the process.
func newRealNode(s play.Spec, env *environment, log *slog.Logger) (*realNode, error) {
	addr, err := loopback.FreeAddr()
	if err != nil {
		return nil, fmt.Errorf("the node's address: %w", err)
	}
	for _, d := range []string{"state", "tmp"} {
		if err := os.MkdirAll(filepath.Join(s.Dir, d), 0o700); err != nil {
			return nil, fmt.Errorf("the node's folder: %w", err)
		}
	}
	logFile, err := os.Create(filepath.Join(s.Dir, "log"))
	if err != nil {
		return nil, fmt.Errorf("the node's log: %w", err)
	}
	log.Debug("real node", "addr", addr, "folder", s.Dir)
	return &realNode{
		spec: s, addr: addr, log: logFile, environment: env, supervisor: proc.NewSupervisor(),
		env: []string{"PATH=" + os.Getenv("PATH"), "ROUTER_NAME=held", "ROUTER_LISTEN=" + addr, "ROUTER_DISCOVERY=" + env.addr,
			"ROUTER_STATE=" + filepath.Join(s.Dir, "state"), "ROUTER_CONFIG=" + filepath.Join(s.Dir, "config.json"),
			"TMPDIR=" + filepath.Join(s.Dir, "tmp")},
	}, nil
}

// configure writes the configuration as the lab does, but with one class with a long deadline and with the
// play's limits.
func (n *realNode) configure(cores float64) error {
	s := n.spec
	maxOpen, diskMB := s.Settings["max_open"], s.Settings["disk_mb"]
	if maxOpen == 0 { // the module lets one destination hold no more messages than there is room left for all (Sender.admit)
		maxOpen = 2*s.X + 10000
	}
	if diskMB == 0 { // the journal must have room for twice what is held
		diskMB = 64 + 2*(s.X+10000)*(s.Settings["body"]+journalBytesPerMessage)/(1<<20)
	}
	type object = map[string]any
	settings := object{
		"fleetSize": int(s.Settings["fleet"]), "myNumber": 0, "zone": "z0", "failureDomains": []string{"z0"}, "flavors": []string{"hook"},
		"discovery": "pushed", "weights": "nominal", "worthBy": "request", "overShareWorth": 1, "tick": 5.0,
		"categories": []object{{"name": "c", "aim": 1000.0, "deadline": float64(messageTTL / time.Millisecond), "effect": "idempotent",
			"group": "all", "lateWorth": 0.1, "window": 0.0, "worth": 1.0}},
		"customers": []object{},
		"domain":    object{"decay": "line", "kindBatch": []int{1}, "separateRoutes": []bool{false}, "workers": 64, "feeByZone": []float64{0}},
		"limits": object{"cancel": true, "connIdle": 5000.0, "dialTimeout": 1500.0, "maxAttempts": 6, "maxOpen": int(maxOpen),
			"maxRetryAfter": 2000.0, "probes": true, "retryAfter": true},
		"contract": object{"coldFrom": 0.19, "fall": 2000.0, "fallMultiple": 2.0, "graceToAnswer": 20.0, "mustAskIn": 10000.0,
			"stopSendingWithin": 1000.0, "warmWithin": 10000.0},
	}
	raw, err := json.Marshal(object{
		"name": "held", "listen": n.addr, "discovery": n.environment.addr, "seed": fmt.Sprintf("%016x", s.Seed), "known": n.environment.list,
		"limits":   object{"cores": cores, "memory_mb": int64(s.Settings["memory_mb"]), "sockets": nodeSockets, "disk_mb": diskMB},
		"settings": settings,
	})
	if err != nil {
		return fmt.Errorf("the node's configuration: %w", err)
	}
	if err := os.WriteFile(filepath.Join(s.Dir, "config.json"), raw, 0o600); err != nil {
		return fmt.Errorf("the node's configuration: %w", err)
	}
	return nil
}

func (n *realNode) close() error {
	n.supervisor.Close()
	return n.log.Close()
}

// start starts a process with this many cores, and returns the time until it answered.
func (n *realNode) start(ctx context.Context, cores float64) (time.Duration, error) {
	if err := n.configure(cores); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	startedAt := time.Now()
	p, err := n.supervisor.Start(proc.Spec{Name: "held", Command: []string{n.spec.NodeProgram}, Env: n.env, Output: n.log, MaxDescriptors: nodeSockets})
	if err != nil {
		return 0, err
	}
	n.process = p
	for !n.answersPing() {
		if n.hasEnded() {
			return 0, fmt.Errorf("the node ended %v before it was ready%s", p.Wait(), n.logTail())
		}
		if err := sleep(ctx, readyPollInterval); err != nil {
			return 0, fmt.Errorf("the node is not ready: %w", err)
		}
	}
	return time.Since(startedAt), nil
}

// logTail returns the end of the node's log.
func (n *realNode) logTail() string {
	raw, err := os.ReadFile(n.log.Name())
	if err != nil || len(raw) == 0 {
		return ""
	}
	return ": " + strings.TrimSpace(string(raw[max(len(raw)-400, 0):]))
}

func (n *realNode) hasEnded() bool {
	select {
	case <-n.process.Done():
		return true
	default:
		return false
	}
}

func (n *realNode) kill() error {
	if err := n.process.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-n.process.Done()
	return nil
}

func (n *realNode) answersPing() bool {
	nc, err := net.DialTimeout("tcp", n.addr, 100*time.Millisecond)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(nc, "*1\r\n$4\r\nPING\r\n"); err != nil {
		return false
	}
	line, err := bufio.NewReader(nc).ReadString('\n')
	return err == nil && line == "+PONG\r\n"
}

// refusedError is a node's answer that it does not accept a message.
type refusedError struct{ answer string }

func (e refusedError) Error() string { return "a message was not accepted: " + e.answer }

// submitter submits messages, each under its own ID.
type submitter struct {
	addr       string
	dests      int
	body       string
	lastNumber atomic.Int64 // number of the last message
	accepted   atomic.Int64
}

// submitAll submits n messages over several connections, and returns the longest wait for an answer. It stops
// at the first refusal.
func (s *submitter) submitAll(ctx context.Context, n, conns int) (longest time.Duration, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	end := s.lastNumber.Load() + int64(n)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range min(conns, n) {
		wg.Go(func() {
			longestHere, err := s.submitOnConn(ctx, func() (int64, bool) {
				i := s.lastNumber.Add(1)
				return i, i <= end
			})
			mu.Lock()
			longest = max(longest, longestHere)
			mu.Unlock()
			if err != nil {
				cancel(err)
			}
		})
	}
	wg.Wait()
	s.lastNumber.Store(end)
	if ctx.Err() != nil {
		return longest, context.Cause(ctx)
	}
	return longest, nil
}

// submitOnConn submits messages with the numbers from next on one connection, each once the one before is
// answered.
func (s *submitter) submitOnConn(ctx context.Context, next func() (int64, bool)) (longest time.Duration, err error) {
	d := net.Dialer{Timeout: answerTimeout}
	nc, err := d.DialContext(ctx, "tcp", s.addr)
	if err != nil {
		return 0, err
	}
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	br := bufio.NewReader(nc)
	for i, ok := next(); ok && ctx.Err() == nil; i, ok = next() {
		startedAt := time.Now()
		if err := s.submitOne(nc, br, i); err != nil {
			return longest, err
		}
		longest = max(longest, time.Since(startedAt))
	}
	return longest, nil
}

// submitOne submits the message with a number and waits for the answer.
func (s *submitter) submitOne(nc net.Conn, br *bufio.Reader, i int64) error {
	id := "e" + strconv.FormatInt(1_000_000_000+i, 10)
	args := fmt.Sprintf("c=c,d=%d,dest=%d", messageTTL/time.Millisecond, i%int64(s.dests))
	var b strings.Builder
	b.WriteString("*5\r\n")
	for _, w := range []string{"ENQUEUE", strings.Repeat("0", 16), id, args, s.body} {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	if err := nc.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(nc, b.String()); err != nil {
		return err
	}
	line, err := br.ReadString('\n')
	if err != nil {
		return err
	}
	if line != "+OK\r\n" {
		return refusedError{strings.TrimSpace(line)}
	}
	s.accepted.Add(1)
	return nil
}

// submitSingly submits n messages one after the other, and returns the longest and the mean wait for an
// answer.
func (s *submitter) submitSingly(ctx context.Context, n int) (longest, mean time.Duration, err error) {
	startedAt, done := time.Now(), 0
	longest, err = s.submitOnConn(ctx, func() (int64, bool) {
		if done == n || (done > 0 && sleep(ctx, singlePause) != nil) {
			return 0, false
		}
		done++
		return s.lastNumber.Add(1), true
	})
	if err == nil && ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return longest, (time.Since(startedAt) - time.Duration(max(done-1, 0))*singlePause) / time.Duration(max(done, 1)), err
}
