// Package scale measures how the costs of a fleet grow along one axis: it plays each point of the axis
// several times, each play in a process of its own, and fits the readings. The fitted slopes are the input of
// the page of capacities. The axes themselves are in the packages hollow and burden; package play holds the
// types that they share with a run.
package scale

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"starlingusher/internal/lab/proc"
	"starlingusher/internal/lab/scale/play"
)

// Intervals of a run.
const (
	snapshotInterval = 250 * time.Millisecond // between snapshots of the machine while a play runs
	stopTimeout      = 5 * time.Second        // that a play gets to stop before it is killed
)

// Files beside PointsFile during a run.
const (
	playDir = "play"     // folder of the current play
	LogFile = "play.log" // standard error of all plays
)

// Options say how a run file is played.
type Options struct {
	Dir         string   // for the results; must exist, and be empty unless Resume is set
	Resume      bool     // continue the interrupted run in Dir
	Command     []string // starts a process that calls RunPlay
	Env         []string // its complete environment
	NodeProgram string   // path of coralyard
	LabProgram  string   // path of cottonrack
	Build       Build
	Machine     Machine // nil: Linux
	Progress    func(Progress)
	Log         *slog.Logger
}

// Progress is the state of a run.
type Progress struct {
	Done, Total    int     // number of plays
	X              float64 // point of the current play
	Play           int     // number of the current play
	Elapsed        time.Duration
	Remaining      time.Duration // of the whole run, estimated from the finished plays
	RemainingKnown bool          // whether there is an estimate
	RSS            int64         // of all processes together, in bytes
	Processes      int
}

// run is the state of one call of Run.
type run struct {
	file       RunFile
	opts       Options
	supervisor *proc.Supervisor
	store      *store
	log        *os.File
	header     runHeader
	records    []Record // the last one of each play
	pending    []Record // plays still to do, the current one first
}

// Run plays a run file and returns the results. When the context ends, the run stops all its processes and
// fails; the plays that are already in its points file can be used by a run with Options.Resume.
func Run(ctx context.Context, f RunFile, opts Options) (*Result, error) {
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	if opts.Machine == nil {
		opts.Machine = Linux{}
	}
	if opts.Progress == nil {
		opts.Progress = func(Progress) {}
	}
	r := &run{file: f, opts: opts, header: runHeader{Name: f.Name, Axis: f.Axis.Name, FileHash: f.Hash, Build: opts.Build, StartedAt: time.Now().UTC().Round(time.Second)}}
	if err := r.open(); err != nil {
		return nil, err
	}
	err := r.playAll(ctx)
	if err = errors.Join(err, r.close()); err != nil {
		return nil, err
	}
	return newResult(f, r.header, r.records), nil
}

func (r *run) open() (err error) {
	var kept []Record
	if r.opts.Resume {
		if r.store, r.header, kept, err = resumeStore(r.opts.Dir, r.header); err != nil {
			return err
		}
	} else if r.store, err = createStore(r.opts.Dir, r.header); err != nil {
		return err
	}
	for _, k := range kept {
		r.addRecord(k)
	}
	if r.log, err = os.OpenFile(filepath.Join(r.opts.Dir, LogFile), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o644); err != nil {
		return errors.Join(fmt.Errorf("log of the plays: %w", err), r.store.close())
	}
	r.supervisor = proc.NewSupervisor()
	return nil
}

func (r *run) close() error {
	r.supervisor.Close()
	return errors.Join(r.store.close(), r.log.Close(), os.RemoveAll(filepath.Join(r.opts.Dir, playDir)))
}

// addRecord adds a record or replaces the earlier one of the same play.
func (r *run) addRecord(k Record) {
	r.records = slices.DeleteFunc(r.records, func(o Record) bool { return o.X == k.X && o.Play == k.Play })
	r.records = append(r.records, k)
}

// playAll does the plays that are not done yet. It plays each point once before it plays any of them again,
// so that a change in the machine's speed affects all points alike.
func (r *run) playAll(ctx context.Context) error {
	for n := range r.file.Plays {
		for i, x := range r.file.Points {
			if !slices.ContainsFunc(r.records, func(k Record) bool { return k.X == x && k.Play == n && k.isDone() }) {
				r.pending = append(r.pending, Record{X: x, Play: n, Seed: r.file.Seed + uint64(n*len(r.file.Points)+i)})
			}
		}
	}
	for len(r.pending) > 0 {
		k, err := r.playOnce(ctx, r.pending[0])
		if err != nil {
			return err
		}
		if err := r.store.appendLine(k); err != nil {
			return err
		}
		r.addRecord(k)
		r.pending = r.pending[1:]
	}
	return nil
}

// playOnce plays one point once. It returns an error if the run can't go on; a failure of the play alone goes
// into the record.
func (r *run) playOnce(ctx context.Context, k Record) (Record, error) {
	dir := filepath.Join(r.opts.Dir, playDir)
	if err := errors.Join(os.RemoveAll(dir), os.Mkdir(dir, 0o755)); err != nil { // an earlier run may have been killed and left it
		return k, fmt.Errorf("folder of a play: %w", err)
	}
	dir, err := filepath.Abs(dir)
	if err != nil {
		return k, fmt.Errorf("folder of a play: %w", err)
	}
	spec, err := json.Marshal(play.Spec{Axis: r.file.Axis.Name, X: k.X, Seed: k.Seed, Dir: dir, NodeProgram: r.opts.NodeProgram, LabProgram: r.opts.LabProgram, Settings: r.file.Settings})
	if err != nil {
		return k, fmt.Errorf("encode the spec of a play: %w", err)
	}
	before, err := r.opts.Machine.Snapshot(os.Getpid())
	if err != nil {
		return k, err
	}
	w := playMonitor{record: &k, before: before, seen: map[Process]bool{}}
	if w.observe(before); len(k.MachineReasons) > 0 { // short of memory before the play has started
		return k, nil
	}
	fmt.Fprintf(r.log, "--- %s at %v, play %d, seed %d\n", r.file.Axis.Name, formatNumber(k.X), k.Play, k.Seed)
	var out cappedBuffer
	tail := &tailWriter{out: r.log}
	began := time.Now()
	p, err := r.supervisor.Start(proc.Spec{Name: "play", Command: r.opts.Command, Env: r.opts.Env, Stdin: bytes.NewReader(spec), Stdout: &out, Output: tail})
	if err != nil {
		return k, err
	}
	limit := time.NewTimer(r.file.PlayTimeout)
	defer limit.Stop()
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	stop := "" // the reason to stop it early
	for running := true; running && stop == ""; {
		r.reportProgress(&k, time.Since(began))
		select {
		case <-p.Done():
			running = false
		case <-ctx.Done():
			stop = "the run was canceled"
		case <-limit.C:
			stop = fmt.Sprintf("the play did not end within its limit of %v", r.file.PlayTimeout)
			k.Failure = stop
		case <-ticker.C:
			now, err := r.opts.Machine.Snapshot(os.Getpid())
			if err != nil {
				stop = err.Error()
				k.Failure = stop
				break
			}
			if past := w.observe(now); past != "" {
				stop = past
			}
		}
	}
	if stop != "" {
		r.opts.Log.Info("play stopped early", "axis", r.file.Axis.Name, "x", k.X, "play", k.Play, "reason", stop)
		if err := p.Terminate(context.WithoutCancel(ctx), stopTimeout); err != nil {
			return k, err
		}
	}
	k.TookSeconds = time.Since(began).Seconds()
	if left := w.killLeftProcesses(); left > 0 && stop == "" {
		k.Failure = fmt.Sprintf("the play left %d processes running; they were killed", left)
	}
	if err := ctx.Err(); err != nil {
		return k, fmt.Errorf("the run was canceled in play %d at %v: %w", k.Play, formatNumber(k.X), context.Cause(ctx))
	}
	if stop != "" || k.Failure != "" {
		return k, nil
	}
	after, err := r.opts.Machine.Snapshot(os.Getpid())
	if err != nil {
		return k, err
	}
	w.judgeCPUShares(after)
	if e := p.Wait(); e.Code != 0 {
		k.Failure = strings.TrimSpace(fmt.Sprintf("the play's process ended %v: %s", e, tail))
		return k, nil
	}
	dec := json.NewDecoder(bytes.NewReader(out.Bytes()))
	dec.DisallowUnknownFields()
	err = dec.Decode(&k.Reading)
	if err == nil && out.truncated {
		err = errors.New("the output is too long")
	}
	if err == nil {
		err = checkReading(r.file.Axis, k.Reading)
	}
	if err != nil {
		k.Reading, k.Failure = play.Reading{}, fmt.Sprintf("reading: %v", err)
	}
	return k, nil
}

// reportProgress calls Options.Progress with the state of the run.
func (r *run) reportProgress(k *Record, since time.Duration) {
	all := len(r.file.Points) * r.file.Plays
	p := Progress{Done: all - len(r.pending), Total: all, X: k.X, Play: k.Play, Elapsed: since, RSS: k.PeakRSS, Processes: k.PeakProcesses}
	p.Remaining, p.RemainingKnown = r.remainingTime(since)
	r.opts.Progress(p)
}

// remainingTime estimates the time that the rest of the run takes. A point takes as long as its earlier
// plays; one without any takes as long as the next smaller point, scaled by the square root of x, because
// much of a play's time does not depend on x.
func (r *run) remainingTime(since time.Duration) (time.Duration, bool) {
	took := map[float64][]float64{} // by point
	for _, k := range r.records {
		took[k.X] = append(took[k.X], k.TookSeconds)
	}
	left := 0.0
	for i, t := range r.pending {
		near := -1.0
		for x := range took {
			if x <= t.X {
				near = max(near, x)
			}
		}
		if near < 0 {
			return 0, false
		}
		guess := mean(took[near])
		if near > 0 {
			guess *= math.Sqrt(t.X / near)
		}
		if i == 0 {
			guess = max(0, guess-since.Seconds())
		}
		left += guess
	}
	return time.Duration(left * float64(time.Second)), true
}

// playMonitor watches the resources of one play.
type playMonitor struct {
	record *Record
	before Snapshot
	seen   map[Process]bool // processes of the play, with RSS left 0
}

// observe takes in a snapshot, and returns which bound it exceeds, if any.
func (w *playMonitor) observe(l Snapshot) (past string) {
	k := w.record
	k.PeakRSS, k.PeakProcesses = max(k.PeakRSS, l.RSS()), max(k.PeakProcesses, len(l.Processes))
	if k.MinAvailableMemory == 0 || l.AvailableMemory < k.MinAvailableMemory {
		k.MinAvailableMemory = l.AvailableMemory
	}
	for _, p := range l.Processes {
		if p.PID != os.Getpid() {
			w.seen[Process{PID: p.PID, StartTicks: p.StartTicks}] = true
		}
	}
	switch {
	case l.RSS() > MaxMemory:
		past = fmt.Sprintf("the processes of the run held more than %d GB", MaxMemory>>30)
	case len(l.Processes) > MaxProcesses:
		past = fmt.Sprintf("the run had more than %d processes", MaxProcesses)
	case l.AvailableMemory < minAvailableMemory:
		past = fmt.Sprintf("the machine had only %d MB of memory left", l.AvailableMemory>>20)
	}
	if past != "" {
		k.MachineReasons = append(k.MachineReasons, past)
	}
	return past
}

// judgeCPUShares checks the use of the cores during the whole play, given the snapshot after it.
func (w *playMonitor) judgeCPUShares(after Snapshot) {
	k := w.record
	k.CPUShares = cpuShares(w.before, after)
	all := after.CPU.Total - w.before.CPU.Total
	if k.CPUShares.Others*all-othersTickError > maxOthersShare*all {
		k.MachineReasons = append(k.MachineReasons, fmt.Sprintf("other processes took %.0f%% of the cores (at most %.0f%%)", 100*k.CPUShares.Others, 100*maxOthersShare))
	}
	if k.CPUShares.Idle < minIdleShare {
		k.MachineReasons = append(k.MachineReasons, fmt.Sprintf("the cores were only %.1f%% idle (at least %.0f%%)", 100*k.CPUShares.Idle, 100*minIdleShare))
	}
}

// killLeftProcesses kills the processes that the play has left running, and returns their number.
func (w *playMonitor) killLeftProcesses() (n int) {
	for p := range w.seen {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID))
		if err != nil {
			continue // the process has ended
		}
		if s, err := parseStat(raw); err != nil || s.zombie || s.startTicks != p.StartTicks {
			continue
		}
		if syscall.Kill(p.PID, syscall.SIGKILL) == nil {
			n++
		}
	}
	return n
}

// cappedBuffer keeps the first bytes that a play writes, up to a bound.
type cappedBuffer struct {
	bytes.Buffer
	truncated bool
}

func (l *cappedBuffer) Write(p []byte) (int, error) {
	const most = 4 << 20
	if l.Len()+len(p) > most {
		l.truncated = true
		return len(p), nil
	}
	return l.Buffer.Write(p)
}

// tailWriter passes on what is written, and keeps the last bytes of it.
type tailWriter struct {
	out io.Writer

	mu   sync.Mutex
	last []byte
}

func (t *tailWriter) Write(p []byte) (int, error) {
	t.mu.Lock()
	const most = 1000
	t.last = append(t.last, p...)
	t.last = t.last[max(0, len(t.last)-most):]
	t.mu.Unlock()
	return t.out.Write(p)
}

func (t *tailWriter) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.ToValidUTF8(strings.TrimSpace(string(t.last)), "?")
}

// sortedRecords returns the records by point and play number.
func sortedRecords(records []Record) []Record {
	return slices.SortedFunc(slices.Values(records), func(a, b Record) int { return cmp.Or(cmp.Compare(a.X, b.X), cmp.Compare(a.Play, b.Play)) })
}
