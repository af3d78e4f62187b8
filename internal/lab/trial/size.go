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
	"starlingusher/internal/registry"
)

// SizeOptions say what is measured. Self is the operators' program.
type SizeOptions struct {
	Program          string
	Dir              string
	Watchers         int
	ChangesPerSecond int // changes a second
	Endpoints        int
	Duration         time.Duration
	PollInterval     time.Duration // of a node that polls
	LeaderKills      int
	Progress         func(string)
}

// Reach is how changes came to all watchers. All times are from when the change was asked for.
type Propagation struct {
	Method          string        `json:"way"`
	Changes         int           `json:"changes"`
	LastMedian      time.Duration `json:"last_median"` // to the last watcher
	LastP99         time.Duration `json:"last_p99"`
	EachMedian      time.Duration `json:"each_median"` // to any
	EachP99         time.Duration `json:"each_p99"`
	Missed          int           `json:"missed"`    // changes that some watcher was not told within the run
	BytesPerWatcher int64         `json:"per_watch"` // bytes of memory more than without watchers
	Cores           float64       `json:"cpu"`       // cores
}

// Size is all that was measured.
type Measurements struct {
	Watchers         int                `json:"watchers"`
	ChangesPerSecond int                `json:"rate"`
	Endpoints        int                `json:"endpoints"`
	Propagation      []Propagation      `json:"reach"`
	ReconnectTime    time.Duration      `json:"return"`  // until the last of all watchers that return in one second is told the list
	RefusedWatches   int                `json:"refused"` // asks meanwhile
	WritesPerSecond  map[string]float64 `json:"writes"`  // a second, by number of replicas
	WriteP99Millis   map[string]float64 `json:"write_p99_ms"`
	FailoverTimes    []time.Duration    `json:"fail_over"`
}

// Measure measures the service, and the plain ways beside it.
func Measure(ctx context.Context, o SizeOptions) (*Measurements, error) {
	s := &Measurements{Watchers: o.Watchers, ChangesPerSecond: o.ChangesPerSecond, Endpoints: o.Endpoints, WritesPerSecond: map[string]float64{}, WriteP99Millis: map[string]float64{}}
	sup := proc.NewSupervisor()
	defer sup.Close()
	steps := []struct {
		name string
		do   func() error
	}{
		{"watches of one replica", func() error { return s.measurePropagation(ctx, o, sup, "directory") }},
		{"watches that are each encoded for", func() error { return s.measurePropagation(ctx, o, sup, "encode for each") }},
		{"nodes that poll", func() error { return s.measurePropagation(ctx, o, sup, "poll") }},
		{"writes at one replica", func() error { return s.measureWrites(ctx, o, 1) }},
		{"writes at three", func() error { return s.measureWrites(ctx, o, 3) }},
		{"fail-over", func() error { return s.measureFailover(ctx, o) }},
	}
	for _, step := range steps {
		o.Progress(step.name)
		if err := step.do(); err != nil {
			return s, fmt.Errorf("%s: %w", step.name, err)
		}
	}
	return s, nil
}

func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// numbered is the endpoint of a number; its time of start carries when the change was asked for, in microseconds.
func stampedEndpoint(n int, stamp int64) catalog.Endpoint {
	return catalog.Endpoint{ID: fmt.Sprintf("s-%08x", n), Addr: fmt.Sprintf("10.1.%d.%d:6379", n/250, n%250), Locality: "a", Flavor: "m2", Cell: n / 4,
		Phase: catalog.Serving, Size: 1, UpSince: stamp}
}

// PlainServe is a discovery that does the plain thing: every watch encodes each change for itself. It changes an
// endpoint at a rate, until the context ends.
func ServePlainDirectory(ctx context.Context, addr string, endpoints, rate int) error {
	p := standin.NewPlatform(1, 0, 0, 1, observe.NewLog(), func(int, string, string, time.Duration) {})
	defer p.Close()
	at := func(n int) func(int) string { return func(int) string { return stampedEndpoint(n, 0).Addr } }
	put := func(n int, stamp int64, first bool) {
		p.PutMember(stampedEndpoint(n, stamp), at(n), first)
	}
	for n := range endpoints {
		put(n, 0, true)
	}
	if err := p.Agent(0).Listen(addr); err != nil {
		return err
	}
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-tick.C:
			put(n%endpoints, time.Now().UnixMicro(), false)
		case <-ctx.Done():
			return nil
		}
	}
}

// arrivals notes when changes come to watchers.
type arrivals struct {
	mu            sync.Mutex
	delays        *hdrhistogram.Histogram // µs
	latestByStamp map[int64]int64         // by stamp, the latest arrival
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

// stamps finds the times of the changes in a line, each one after a given one.
func parseStamps(line []byte, after int64, found func(int64)) (latest int64) {
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
			found(v)
			latest = max(latest, v)
		}
	}
}

func (s *Measurements) measurePropagation(ctx context.Context, o SizeOptions, sup *proc.Supervisor, way string) error {
	addr, err := freeAddress()
	if err != nil {
		return err
	}
	dir := filepath.Join(o.Dir, strings.ReplaceAll(way, " ", "-"))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	command := []string{o.Program, "lab", "plain-directory", addr, "--endpoints", strconv.Itoa(o.Endpoints), "--rate", strconv.Itoa(o.ChangesPerSecond)}
	if way != "encode for each" {
		config := filepath.Join(dir, "directory.toml")
		text := fmt.Sprintf("id = \"d\"\nhttp = %q\ndata = %q\n", addr, filepath.Join(dir, "data"))
		if way == "poll" {
			text += "[asks]\nrate = 1e6\nburst = 1000000\n"
		}
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			return err
		}
		command = []string{o.Program, "directory", "serve", "--config", config}
	}
	p, err := sup.Start(proc.Spec{Name: way, Command: command, Env: []string{"PATH=" + os.Getenv("PATH")}, Output: io.Discard})
	if err != nil {
		return err
	}
	defer p.Terminate(ctx, 3*time.Second)
	op := &directory.AdminClient{Addresses: []string{addr}, RetryFor: settleTimeout, HTTPClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	if way != "encode for each" {
		var all []catalog.Endpoint
		for n := range o.Endpoints {
			all = append(all, stampedEndpoint(n, 0))
		}
		if _, err := op.Put(ctx, all, true, true, "*"); err != nil {
			return err
		}
	} else if err := await(ctx, "the plain discovery", func() bool { _, _, _, err := op.List(ctx, false); return err == nil }); err != nil {
		return err
	}
	before, err := p.Usage()
	if err != nil {
		return err
	}
	a := &arrivals{delays: hdrhistogram.New(1, 60e6, 3), latestByStamp: map[int64]int64{}, countByStamp: map[int64]int{}}
	running, stop := context.WithCancel(ctx)
	defer stop()
	var parts sync.WaitGroup
	defer parts.Wait()
	defer stop()
	var up, refused atomic.Int64
	began := time.Now()
	var lastUp atomic.Int64
	for n := range o.Watchers {
		parts.Go(func() {
			r := rand.New(rand.NewPCG(uint64(n), 7))
			if !registry.Sleep(running, time.Duration(r.Int64N(int64(time.Second)))) { // all within one second
				return
			}
			if way == "poll" {
				up.Add(1)
				pollAndRecord(running, addr, o.PollInterval, r, a)
				return
			}
			watchAndRecord(running, addr, a, &refused, r, func() {
				up.Add(1)
				lastUp.Store(int64(time.Since(began)))
			})
		})
	}
	if err := await(ctx, "all watchers", func() bool { return up.Load() == int64(o.Watchers) }); err != nil {
		return fmt.Errorf("%w: %d of %d", err, up.Load(), o.Watchers)
	}
	if way == "directory" {
		s.ReconnectTime, s.RefusedWatches = time.Duration(lastUp.Load()), int(refused.Load())
	}
	registry.Sleep(ctx, 2*time.Second)
	with, err := p.Usage()
	if err != nil {
		return err
	}
	cpu, begin := cpuTime(p.PID()), time.Now()
	from := begin.UnixMicro()
	if way == "encode for each" {
		registry.Sleep(ctx, o.Duration)
	} else {
		var writes sync.WaitGroup
		for n := 0; time.Since(begin) < o.Duration; n++ {
			if !observe.SleepUntil(ctx, begin.Add(time.Duration(n)*time.Second/time.Duration(o.ChangesPerSecond))) {
				break
			}
			writes.Go(func() {
				op := *op
				if _, err := op.Put(ctx, []catalog.Endpoint{stampedEndpoint(n%o.Endpoints, time.Now().UnixMicro())}, false, false, "*"); err != nil {
					slog.Warn("a change was not written", "err", err)
				}
			})
		}
		writes.Wait()
	}
	to := time.Now().UnixMicro()
	used := cpuTime(p.PID()) - cpu
	took := time.Since(begin)
	registry.Sleep(ctx, 2*time.Second)
	stop()
	parts.Wait()
	re := Propagation{Method: way, BytesPerWatcher: (with.RSS - before.RSS) / int64(o.Watchers), Cores: used.Seconds() / took.Seconds()}
	last := hdrhistogram.New(1, 60e6, 3)
	for stamp, at := range a.latestByStamp {
		if stamp < from || stamp > to {
			continue
		}
		re.Changes++
		if a.countByStamp[stamp] < o.Watchers {
			re.Missed++
		}
		last.RecordValue(max(at-stamp, 1))
	}
	us := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	re.LastMedian, re.LastP99, re.EachMedian, re.EachP99 = us(last, 50), us(last, 99), us(a.delays, 50), us(a.delays, 99)
	s.Propagation = append(s.Propagation, re)
	return nil
}

// cpuOf is the processor time that a process has used, all its threads together.
func cpuTime(pid int) time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond // of 100 ticks a second
}

// watchOnce reads one watch as cheaply as it can, so that what is measured is the service.
func watchAndRecord(ctx context.Context, addr string, a *arrivals, refused *atomic.Int64, r *rand.Rand, up func()) {
	for {
		nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return
		}
		stop := context.AfterFunc(ctx, func() { nc.Close() })
		fmt.Fprintf(nc, "GET /registry/instances?watch=1&after=0 HTTP/1.1\r\nHost: d\r\n\r\n")
		in := bufio.NewReaderSize(nc, 4096)
		status, err := in.ReadSlice('\n')
		if err == nil && !bytes.Contains(status, []byte(" 200 ")) { // told when to come back, within the second named
			refused.Add(1)
			stop()
			nc.Close()
			if !registry.Sleep(ctx, time.Second+time.Duration(r.Int64N(int64(time.Second)))) {
				return
			}
			continue
		}
		first, latest := true, int64(0)
		var line []byte
		for err == nil {
			var part []byte
			part, err = in.ReadSlice('\n')
			line = append(line[:0], part...)
			for errors.Is(err, bufio.ErrBufferFull) {
				part, err = in.ReadSlice('\n')
				line = append(line, part...)
			}
			if bytes.HasPrefix(line, []byte("{")) {
				now := time.Now().UnixMicro()
				if first {
					first = false
					up()
				}
				latest = parseStamps(line, latest, func(v int64) { a.record(v, now) })
			}
		}
		stop()
		nc.Close()
		return
	}
}

// poll asks for the whole list again and again.
func pollAndRecord(ctx context.Context, addr string, every time.Duration, r *rand.Rand, a *arrivals) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	defer client.CloseIdleConnections()
	latest := int64(0)
	registry.Sleep(ctx, time.Duration(r.Int64N(int64(every))))
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
				latest = parseStamps(raw, latest, func(v int64) { a.record(v, now) })
			}
		}
		registry.Sleep(ctx, every)
	}
}

// service starts so many replicas without links, as a trial does with them.
func (o SizeOptions) startService(ctx context.Context, n int, dir string) (*trial, error) {
	t := &trial{options: Options{Command: []string{o.Program, "directory", "serve"}, Dir: dir, Seed: 1, Log: slog.New(slog.DiscardHandler)},
		supervisor: proc.NewSupervisor(), random: rand.New(rand.NewPCG(1, 1))}
	if err := t.buildReplicas(n, true); err != nil {
		t.close()
		return nil, err
	}
	for _, r := range t.replicas {
		if err := r.Start(); err != nil {
			t.close()
			return nil, err
		}
	}
	if err := await(ctx, "the service", func() bool { return t.hasVoters(ctx, n) }); err != nil {
		t.close()
		return nil, err
	}
	t.startedAt = time.Now()
	return t, nil
}

func (s *Measurements) measureWrites(ctx context.Context, o SizeOptions, n int) error {
	dir := filepath.Join(o.Dir, fmt.Sprint("writes-", n))
	t, err := o.startService(ctx, n, dir)
	if err != nil {
		return err
	}
	defer t.close()
	lead := t.leader(ctx)
	const callers = 64
	var done atomic.Int64
	times := make([]*hdrhistogram.Histogram, callers)
	var parts sync.WaitGroup
	begin := time.Now()
	for w := range callers {
		times[w] = hdrhistogram.New(1, 60e6, 3)
		parts.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			op := &directory.AdminClient{Addresses: []string{lead.OwnAddr(replica.HTTP)}, HTTPClient: client}
			for i := int64(1); time.Since(begin) < o.Duration && ctx.Err() == nil; i++ {
				at := time.Now()
				if _, err := op.Put(ctx, []catalog.Endpoint{stampedEndpoint(w, i)}, false, false, "*"); err == nil {
					done.Add(1)
					times[w].RecordValue(max(time.Since(at).Microseconds(), 1))
				}
			}
		})
	}
	parts.Wait()
	all := hdrhistogram.New(1, 60e6, 3)
	for _, h := range times {
		all.Merge(h)
	}
	key := strconv.Itoa(n)
	s.WritesPerSecond[key] = float64(done.Load()) / time.Since(begin).Seconds()
	s.WriteP99Millis[key] = float64(all.ValueAtQuantile(99)) / 1000
	return nil
}

// failOver kills the leader again and again, and tells for how long no write was done.
func (s *Measurements) measureFailover(ctx context.Context, o SizeOptions) error {
	t, err := o.startService(ctx, replicaCount, filepath.Join(o.Dir, "fail-over"))
	if err != nil {
		return err
	}
	defer t.close()
	var addresses []string
	for _, r := range t.replicas {
		addresses = append(addresses, r.OwnAddr(replica.HTTP))
	}
	op := &directory.AdminClient{Addresses: addresses, HTTPClient: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	for i := range o.LeaderKills {
		lead := t.leader(ctx)
		lead.Process().Signal(syscall.SIGKILL)
		at := time.Now()
		for n := int64(1); ; n++ {
			if _, err := op.Put(ctx, []catalog.Endpoint{stampedEndpoint(i, time.Now().UnixMicro())}, false, false, "*"); err == nil {
				break
			}
			if time.Since(at) > settleTimeout || !registry.Sleep(ctx, 5*time.Millisecond) {
				return errors.New("no write was done any more")
			}
		}
		s.FailoverTimes = append(s.FailoverTimes, time.Since(at))
		<-lead.Process().Done()
		if err := lead.Start(); err != nil {
			return err
		}
		if err := await(ctx, "three votes", func() bool { return t.hasVoters(ctx, replicaCount) }); err != nil {
			return err
		}
	}
	return nil
}

// Write stores the figures in a folder.
func (s *Measurements) Save(dir string) error {
	raw, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "size.json"), raw, 0o600)
}
