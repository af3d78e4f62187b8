package trial

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
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

	"github.com/HdrHistogram/hdrhistogram-go"

	"starlingusher/fleet/catalog"
	"starlingusher/internal/directory"
	"starlingusher/internal/lab/observe"
	"starlingusher/internal/lab/proc"
	"starlingusher/internal/lab/replica"
	"starlingusher/internal/lab/standin"
	"starlingusher/internal/loopback"
	"starlingusher/internal/sysretry"
)

// SizeOptions configure the measurement. Program is the operators' program.
type SizeOptions struct {
	Program          string
	Dir              string
	Watchers         int
	ChangesPerSecond int
	Endpoints        int
	Duration         time.Duration
	PollInterval     time.Duration // of a node that polls
	LeaderKills      int
	Progress         func(string)
}

// Propagation tells how changes reached the watchers. All times count from the request of the change.
type Propagation struct {
	Method          string        `json:"way"`
	Changes         int           `json:"changes"`
	LastMedian      time.Duration `json:"last_median"` // until the last watcher has the change
	LastP99         time.Duration `json:"last_p99"`
	EachMedian      time.Duration `json:"each_median"` // until any one watcher has it
	EachP99         time.Duration `json:"each_p99"`
	Missed          int           `json:"missed"`    // changes that some watcher did not receive during the run
	BytesPerWatcher int64         `json:"per_watch"` // memory above that without watchers
	Cores           float64       `json:"cpu"`       // CPU cores in use
}

// Measurements are all results.
type Measurements struct {
	Watchers         int                `json:"watchers"`
	ChangesPerSecond int                `json:"rate"`
	Endpoints        int                `json:"endpoints"`
	Propagation      []Propagation      `json:"reach"`
	ReconnectTime    time.Duration      `json:"return"`  // until the last of all watchers, which reconnect within one second, has the list
	RefusedWatches   int                `json:"refused"` // watch requests refused meanwhile
	WritesPerSecond  map[string]float64 `json:"writes"`  // by number of replicas
	WriteP99Millis   map[string]float64 `json:"write_p99_ms"`
	FailoverTimes    []time.Duration    `json:"fail_over"`
}

// Measure measures the list service, and simpler designs for comparison.
func Measure(ctx context.Context, options SizeOptions) (*Measurements, error) {
	measurements := &Measurements{Watchers: options.Watchers, ChangesPerSecond: options.ChangesPerSecond,
		Endpoints: options.Endpoints, WritesPerSecond: map[string]float64{}, WriteP99Millis: map[string]float64{}}
	sup := proc.NewSupervisor()
	defer sup.Close()
	steps := []struct {
		name string
		do   func() error
	}{
		{"watches of one replica", func() error { return measurements.measurePropagation(ctx, options, sup, "directory") }},
		{"watches for which each change is encoded anew",
			func() error { return measurements.measurePropagation(ctx, options, sup, "encode for each") }},
		{"nodes that poll", func() error { return measurements.measurePropagation(ctx, options, sup, "poll") }},
		{"writes at one replica", func() error { return measurements.measureWrites(ctx, options, 1) }},
		{"writes at three replicas", func() error { return measurements.measureWrites(ctx, options, 3) }},
		{"fail-over", func() error { return measurements.measureFailover(ctx, options) }},
	}
	for _, step := range steps {
		options.Progress(step.name)
		if err := step.do(); err != nil {
			return measurements, fmt.Errorf("%s: %w", step.name, err)
		}
	}
	return measurements, nil
}

// stampedEndpoint returns the endpoint of a number. Its start time carries the time of the change's request
// in microseconds.
func stampedEndpoint(n int, stamp int64) catalog.Endpoint {
	return catalog.Endpoint{ID: fmt.Sprintf("s-%08x", n), Addr: fmt.Sprintf("10.1.%d.%d:6379", n/250, n%250), Locality: "a",
		Flavor: "m2", Cell: n / 4,
		Phase: catalog.Serving, Size: 1, UpSince: stamp}
}

// ServePlainDirectory serves a simple discovery service in which every watch encodes each change for itself.
// It changes endpoints at a rate until the context ends.
func ServePlainDirectory(ctx context.Context, addr string, endpoints, rate int) error {
	platform := standin.NewPlatform(1, 0, 0, 1, observe.NewLog(), func(int, string, string, time.Duration) {})
	defer platform.Close()
	addrOf := func(n int) func(int) string { return func(int) string { return stampedEndpoint(n, 0).Addr } }
	put := func(n int, stamp int64, first bool) {
		platform.PutMember(stampedEndpoint(n, stamp), addrOf(n), first)
	}
	for n := range endpoints {
		put(n, 0, true)
	}
	if err := platform.Agent(0).Listen(addr); err != nil {
		return err
	}
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
			put(n%endpoints, time.Now().UnixMicro(), false)
		case <-ctx.Done():
			return nil
		}
	}
}

// arrivals records when changes reach watchers.
type arrivals struct {
	mu            sync.Mutex
	delays        *hdrhistogram.Histogram // in µs
	latestByStamp map[int64]int64         // by stamp: the latest arrival
	countByStamp  map[int64]int
}

func (a *arrivals) record(stamp, now int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delays.RecordValue(max(now-stamp, 1))
	a.latestByStamp[stamp] = max(a.latestByStamp[stamp], now)
	a.countByStamp[stamp]++
}

var stampField = []byte(`"up_since_ms":`)

// parseStamps passes on the stamps in a line that are later than a given one, and returns the latest.
func parseStamps(line []byte, after int64, record func(int64)) (latest int64) {
	latest = after
	for {
		i := bytes.Index(line, stampField)
		if i < 0 {
			return latest
		}
		line = line[i+len(stampField):]
		end := bytes.IndexAny(line, ",}")
		if end < 0 {
			return latest
		}
		if v, err := strconv.ParseInt(string(line[:end]), 10, 64); err == nil && v > after {
			record(v)
			latest = max(latest, v)
		}
	}
}

func (s *Measurements) measurePropagation(ctx context.Context, options SizeOptions, supervisor *proc.Supervisor, method string) error {
	addr, err := loopback.FreeAddr()
	if err != nil {
		return err
	}
	dir := filepath.Join(options.Dir, strings.ReplaceAll(method, " ", "-"))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	command := []string{options.Program, "lab", "plain-directory", addr, "--endpoints", strconv.Itoa(options.Endpoints),
		"--rate", strconv.Itoa(options.ChangesPerSecond)}
	if method != "encode for each" {
		config := filepath.Join(dir, "directory.toml")
		settings := fmt.Sprintf("id = \"d\"\nhttp = %q\ndata = %q\n", addr, filepath.Join(dir, "data"))
		if method == "poll" {
			settings += "[asks]\nrate = 1e6\nburst = 1000000\n"
		}
		if err := os.WriteFile(config, []byte(settings), 0o600); err != nil {
			return err
		}
		command = []string{options.Program, "directory", "serve", "--config", config}
	}
	process, err := supervisor.Start(proc.Spec{Name: method, Command: command, Env: []string{"PATH=" + os.Getenv("PATH")},
		Output: io.Discard})
	if err != nil {
		return err
	}
	defer process.Terminate(ctx, 3*time.Second)
	admin := &directory.AdminClient{Addresses: []string{addr}, RetryFor: settleTimeout,
		HTTPClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	if method != "encode for each" {
		var list []catalog.Endpoint
		for n := range options.Endpoints {
			list = append(list, stampedEndpoint(n, 0))
		}
		if _, err := admin.Put(ctx, list, true, true, "*"); err != nil {
			return err
		}
	} else if err := await(ctx, "the plain directory",
		func() bool { _, _, _, err := admin.List(ctx, false); return err == nil }); err != nil {
		return err
	}
	usageBefore, err := process.Usage()
	if err != nil {
		return err
	}
	recorded := &arrivals{delays: hdrhistogram.New(1, 60e6, 3), latestByStamp: map[int64]int64{}, countByStamp: map[int64]int{}}
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	var watchers sync.WaitGroup
	defer watchers.Wait()
	defer stop()
	var connected, refused atomic.Int64
	began := time.Now()
	var lastConnected atomic.Int64
	for n := range options.Watchers {
		watchers.Go(func() {
			random := rand.New(rand.NewPCG(uint64(n), 7))
			if !sysretry.Sleep(watchCtx, time.Duration(random.Int64N(int64(time.Second)))) { // all watchers start within one second
				return
			}
			if method == "poll" {
				connected.Add(1)
				pollAndRecord(watchCtx, addr, options.PollInterval, random, recorded)
				return
			}
			watchAndRecord(watchCtx, addr, recorded, &refused, random, func() {
				connected.Add(1)
				lastConnected.Store(int64(time.Since(began)))
			})
		})
	}
	if err := await(ctx, "all watchers to connect", func() bool { return connected.Load() == int64(options.Watchers) }); err != nil {
		return fmt.Errorf("%w: %d of %d", err, connected.Load(), options.Watchers)
	}
	if method == "directory" {
		s.ReconnectTime, s.RefusedWatches = time.Duration(lastConnected.Load()), int(refused.Load())
	}
	sysretry.Sleep(ctx, 2*time.Second)
	usageWith, err := process.Usage()
	if err != nil {
		return err
	}
	cpuBefore, measuredFrom := cpuTime(process.PID()), time.Now()
	firstStamp := measuredFrom.UnixMicro()
	if method == "encode for each" {
		sysretry.Sleep(ctx, options.Duration)
	} else {
		var writes sync.WaitGroup
		for sent := 0; time.Since(measuredFrom) < options.Duration; sent++ {
			if !observe.SleepUntil(ctx, measuredFrom.Add(time.Duration(sent)*time.Second/time.Duration(options.ChangesPerSecond))) {
				break
			}
			writes.Go(func() {
				op := *admin
				if _, err := op.Put(ctx, []catalog.Endpoint{stampedEndpoint(sent%options.Endpoints, time.Now().UnixMicro())},
					false, false, "*"); err != nil {
					slog.Warn("write of a change failed", "err", err)
				}
			})
		}
		writes.Wait()
	}
	lastStamp := time.Now().UnixMicro()
	cpuUsed := cpuTime(process.PID()) - cpuBefore
	elapsed := time.Since(measuredFrom)
	sysretry.Sleep(ctx, 2*time.Second)
	stop()
	watchers.Wait()
	propagation := Propagation{Method: method, BytesPerWatcher: (usageWith.RSS - usageBefore.RSS) / int64(options.Watchers),
		Cores: cpuUsed.Seconds() / elapsed.Seconds()}
	toLast := hdrhistogram.New(1, 60e6, 3)
	for stamp, latest := range recorded.latestByStamp {
		if stamp < firstStamp || stamp > lastStamp {
			continue
		}
		propagation.Changes++
		if recorded.countByStamp[stamp] < options.Watchers {
			propagation.Missed++
		}
		toLast.RecordValue(max(latest-stamp, 1))
	}
	quantile := func(delays *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(delays.ValueAtQuantile(q)) * time.Microsecond
	}
	propagation.LastMedian, propagation.LastP99, propagation.EachMedian, propagation.EachP99 =
		quantile(toLast, 50), quantile(toLast, 99), quantile(recorded.delays, 50), quantile(recorded.delays, 99)
	s.Propagation = append(s.Propagation, propagation)
	return nil
}

// cpuTime returns the processor time that a process has used in all its threads.
func cpuTime(pid int) time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond // the kernel counts 100 ticks per second
}

// watchAndRecord reads one watch with as little processing as it can, so that the service is measured and not
// the watcher.
func watchAndRecord(ctx context.Context, addr string, recorded *arrivals, refused *atomic.Int64, random *rand.Rand, connected func()) {
	for {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return
		}
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		fmt.Fprintf(conn, "GET /registry/instances?watch=1&after=0 HTTP/1.1\r\nHost: d\r\n\r\n")
		reader := bufio.NewReaderSize(conn, 4096)
		status, err := reader.ReadSlice('\n')
		if err == nil && !bytes.Contains(status, []byte(" 200 ")) { // refused and told when to return: it does so after 1 to 2 s
			refused.Add(1)
			stop()
			conn.Close()
			if !sysretry.Sleep(ctx, time.Second+time.Duration(random.Int64N(int64(time.Second)))) {
				return
			}
			continue
		}
		first, latest := true, int64(0)
		var line []byte
		for err == nil {
			var part []byte
			part, err = reader.ReadSlice('\n')
			line = append(line[:0], part...)
			for errors.Is(err, bufio.ErrBufferFull) {
				part, err = reader.ReadSlice('\n')
				line = append(line, part...)
			}
			if bytes.HasPrefix(line, []byte("{")) {
				now := time.Now().UnixMicro()
				if first {
					first = false
					connected()
				}
				latest = parseStamps(line, latest, func(v int64) { recorded.record(v, now) })
			}
		}
		stop()
		conn.Close()
		return
	}
}

// pollAndRecord requests the whole list again and again.
func pollAndRecord(ctx context.Context, addr string, interval time.Duration, random *rand.Rand, recorded *arrivals) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	defer client.CloseIdleConnections()
	latest := int64(0)
	sysretry.Sleep(ctx, time.Duration(random.Int64N(int64(interval))))
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/registry/instances", nil)
		if err != nil {
			return
		}
		resp, err := client.Do(req)
		if err == nil {
			raw, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if now := time.Now().UnixMicro(); err == nil && resp.StatusCode == http.StatusOK {
				latest = parseStamps(raw, latest, func(v int64) { recorded.record(v, now) })
			}
		}
		sysretry.Sleep(ctx, interval)
	}
}

// startService starts count replicas without links, as part of a trial that runs no clients.
func (o SizeOptions) startService(ctx context.Context, count int, dir string) (*trial, error) {
	t := &trial{options: Options{Command: []string{o.Program, "directory", "serve"}, Dir: dir, Seed: 1,
		Log: slog.New(slog.DiscardHandler)},
		supervisor: proc.NewSupervisor(), random: rand.New(rand.NewPCG(1, 1))}
	if err := t.buildReplicas(count, true); err != nil {
		t.close()
		return nil, err
	}
	for _, replica := range t.replicas {
		if err := replica.Start(); err != nil {
			t.close()
			return nil, err
		}
	}
	if err := await(ctx, "the service", func() bool { return t.hasVoters(ctx, count) }); err != nil {
		t.close()
		return nil, err
	}
	t.startedAt = time.Now()
	return t, nil
}

func (s *Measurements) measureWrites(ctx context.Context, options SizeOptions, count int) error {
	dir := filepath.Join(options.Dir, fmt.Sprint("writes-", count))
	t, err := options.startService(ctx, count, dir)
	if err != nil {
		return err
	}
	defer t.close()
	leader := t.leader(ctx)
	const callers = 64
	var written atomic.Int64
	delays := make([]*hdrhistogram.Histogram, callers)
	var callersDone sync.WaitGroup
	began := time.Now()
	for caller := range callers {
		delays[caller] = hdrhistogram.New(1, 60e6, 3)
		callersDone.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			admin := &directory.AdminClient{Addresses: []string{leader.OwnAddr(replica.HTTP)}, HTTPClient: client}
			for i := int64(1); time.Since(began) < options.Duration && ctx.Err() == nil; i++ {
				sentAt := time.Now()
				if _, err := admin.Put(ctx, []catalog.Endpoint{stampedEndpoint(caller, i)}, false, false, "*"); err == nil {
					written.Add(1)
					delays[caller].RecordValue(max(time.Since(sentAt).Microseconds(), 1))
				}
			}
		})
	}
	callersDone.Wait()
	merged := hdrhistogram.New(1, 60e6, 3)
	for _, histogram := range delays {
		merged.Merge(histogram)
	}
	key := strconv.Itoa(count)
	s.WritesPerSecond[key] = float64(written.Load()) / time.Since(began).Seconds()
	s.WriteP99Millis[key] = float64(merged.ValueAtQuantile(99)) / 1000
	return nil
}

// measureFailover kills the leader again and again, and records for how long no write succeeded.
func (s *Measurements) measureFailover(ctx context.Context, options SizeOptions) error {
	t, err := options.startService(ctx, replicaCount, filepath.Join(options.Dir, "fail-over"))
	if err != nil {
		return err
	}
	defer t.close()
	var addresses []string
	for _, r := range t.replicas {
		addresses = append(addresses, r.OwnAddr(replica.HTTP))
	}
	admin := &directory.AdminClient{Addresses: addresses,
		HTTPClient: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	for i := range options.LeaderKills {
		leader := t.leader(ctx)
		leader.Process().Signal(syscall.SIGKILL)
		killedAt := time.Now()
		for n := int64(1); ; n++ {
			if _, err := admin.Put(ctx, []catalog.Endpoint{stampedEndpoint(i, time.Now().UnixMicro())},
				false, false, "*"); err == nil {
				break
			}
			if time.Since(killedAt) > settleTimeout || !sysretry.Sleep(ctx, 5*time.Millisecond) {
				return errors.New("no write succeeded after the leader was killed")
			}
		}
		s.FailoverTimes = append(s.FailoverTimes, time.Since(killedAt))
		<-leader.Process().Done()
		if err := leader.Start(); err != nil {
			return err
		}
		if err := await(ctx, "three voters", func() bool { return t.hasVoters(ctx, replicaCount) }); err != nil {
			return err
		}
	}
	return nil
}

// Save writes the measurements to size.json in a folder.
func (s *Measurements) Save(dir string) error {
	raw, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "size.json"), raw, 0o600)
}
