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
	var records []Record
	if r.opts.Resume {
		if r.store, r.header, records, err = resumeStore(r.opts.Dir, r.header); err != nil {
			return err
		}
	} else if r.store, err = createStore(r.opts.Dir, r.header); err != nil {
		return err
	}
	for _, rec := range records {
		r.addRecord(rec)
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
func (r *run) addRecord(rec Record) {
	r.records = slices.DeleteFunc(r.records, func(other Record) bool { return other.X == rec.X && other.Play == rec.Play })
	r.records = append(r.records, rec)
}

// playAll does the plays that are not done yet. It plays each point once before it plays any of them again,
// so that a change in the machine's speed affects all points alike.
func (r *run) playAll(ctx context.Context) error {
	for number := range r.file.Plays {
		for i, x := range r.file.Points {
			if !slices.ContainsFunc(r.records, func(rec Record) bool { return rec.X == x && rec.Play == number && rec.isDone() }) {
				r.pending = append(r.pending, Record{X: x, Play: number, Seed: r.file.Seed + uint64(number*len(r.file.Points)+i)})
			}
		}
	}
	for len(r.pending) > 0 {
		rec, err := r.playOnce(ctx, r.pending[0])
		if err != nil {
			return err
		}
		if err := r.store.appendLine(rec); err != nil {
			return err
		}
		r.addRecord(rec)
		r.pending = r.pending[1:]
	}
	return nil
}

// playOnce plays one point once. It returns an error if the run can't go on; a failure of the play alone goes
// into the record.
func (r *run) playOnce(ctx context.Context, rec Record) (Record, error) {
	dir := filepath.Join(r.opts.Dir, playDir)
	if err := errors.Join(os.RemoveAll(dir), os.Mkdir(dir, 0o755)); err != nil { // an earlier run may have been killed and left it
		return rec, fmt.Errorf("folder of a play: %w", err)
	}
	dir, err := filepath.Abs(dir)
	if err != nil {
		return rec, fmt.Errorf("folder of a play: %w", err)
	}
	spec, err := json.Marshal(play.Spec{Axis: r.file.Axis.Name, X: rec.X, Seed: rec.Seed, Dir: dir, NodeProgram: r.opts.NodeProgram, LabProgram: r.opts.LabProgram, Settings: r.file.Settings})
	if err != nil {
		return rec, fmt.Errorf("encode the spec of a play: %w", err)
	}
	before, err := r.opts.Machine.Snapshot(os.Getpid())
	if err != nil {
		return rec, err
	}
	monitor := playMonitor{record: &rec, before: before, seen: map[Process]bool{}}
	if monitor.observe(before); len(rec.MachineReasons) > 0 { // short of memory before the play has started
		return rec, nil
	}
	fmt.Fprintf(r.log, "--- %s at %v, play %d, seed %d\n", r.file.Axis.Name, formatNumber(rec.X), rec.Play, rec.Seed)
	var out cappedBuffer
	stderr := &tailWriter{out: r.log}
	startedAt := time.Now()
	process, err := r.supervisor.Start(proc.Spec{Name: "play", Command: r.opts.Command, Env: r.opts.Env, Stdin: bytes.NewReader(spec), Stdout: &out, Output: stderr})
	if err != nil {
		return rec, err
	}
	timeout := time.NewTimer(r.file.PlayTimeout)
	defer timeout.Stop()
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	stopReason := "" // the reason to stop it early
	for running := true; running && stopReason == ""; {
		r.reportProgress(&rec, time.Since(startedAt))
		select {
		case <-process.Done():
			running = false
		case <-ctx.Done():
			stopReason = "the run was canceled"
		case <-timeout.C:
			stopReason = fmt.Sprintf("the play did not end within its limit of %v", r.file.PlayTimeout)
			rec.Failure = stopReason
		case <-ticker.C:
			snapshot, err := r.opts.Machine.Snapshot(os.Getpid())
			if err != nil {
				stopReason = err.Error()
				rec.Failure = stopReason
				break
			}
			if exceeded := monitor.observe(snapshot); exceeded != "" {
				stopReason = exceeded
			}
		}
	}
	if stopReason != "" {
		r.opts.Log.Info("play stopped early", "axis", r.file.Axis.Name, "x", rec.X, "play", rec.Play, "reason", stopReason)
		if err := process.Terminate(context.WithoutCancel(ctx), stopTimeout); err != nil {
			return rec, err
		}
	}
	rec.TookSeconds = time.Since(startedAt).Seconds()
	if killed := monitor.killLeftProcesses(); killed > 0 && stopReason == "" {
		rec.Failure = fmt.Sprintf("the play left %d processes running; they were killed", killed)
	}
	if err := ctx.Err(); err != nil {
		return rec, fmt.Errorf("the run was canceled in play %d at %v: %w", rec.Play, formatNumber(rec.X), context.Cause(ctx))
	}
	if stopReason != "" || rec.Failure != "" {
		return rec, nil
	}
	after, err := r.opts.Machine.Snapshot(os.Getpid())
	if err != nil {
		return rec, err
	}
	monitor.judgeCPUShares(after)
	if exit := process.Wait(); exit.Code != 0 {
		rec.Failure = strings.TrimSpace(fmt.Sprintf("the play's process ended %v: %s", exit, stderr))
		return rec, nil
	}
	dec := json.NewDecoder(bytes.NewReader(out.Bytes()))
	dec.DisallowUnknownFields()
	err = dec.Decode(&rec.Reading)
	if err == nil && out.truncated {
		err = errors.New("the output is too long")
	}
	if err == nil {
		err = checkReading(r.file.Axis, rec.Reading)
	}
	if err != nil {
		rec.Reading, rec.Failure = play.Reading{}, fmt.Sprintf("reading: %v", err)
	}
	return rec, nil
}

// reportProgress calls Options.Progress with the state of the run.
func (r *run) reportProgress(rec *Record, elapsed time.Duration) {
	total := len(r.file.Points) * r.file.Plays
	p := Progress{Done: total - len(r.pending), Total: total, X: rec.X, Play: rec.Play, Elapsed: elapsed, RSS: rec.PeakRSS, Processes: rec.PeakProcesses}
	p.Remaining, p.RemainingKnown = r.remainingTime(elapsed)
	r.opts.Progress(p)
}

// remainingTime estimates the time that the rest of the run takes. A point takes as long as its earlier
// plays; one without any takes as long as the next smaller point, scaled by the square root of x, because
// much of a play's time does not depend on x.
func (r *run) remainingTime(elapsed time.Duration) (time.Duration, bool) {
	secondsByPoint := map[float64][]float64{} // by point
	for _, rec := range r.records {
		secondsByPoint[rec.X] = append(secondsByPoint[rec.X], rec.TookSeconds)
	}
	remaining := 0.0
	for i, next := range r.pending {
		nearest := -1.0
		for x := range secondsByPoint {
			if x <= next.X {
				nearest = max(nearest, x)
			}
		}
		if nearest < 0 {
			return 0, false
		}
		estimate := mean(secondsByPoint[nearest])
		if nearest > 0 {
			estimate *= math.Sqrt(next.X / nearest)
		}
		if i == 0 {
			estimate = max(0, estimate-elapsed.Seconds())
		}
		remaining += estimate
	}
	return time.Duration(remaining * float64(time.Second)), true
}

// playMonitor watches the resources of one play.
type playMonitor struct {
	record *Record
	before Snapshot
	seen   map[Process]bool // processes of the play, with RSS left 0
}

// observe takes in a snapshot, and returns which bound it exceeds, if any.
func (m *playMonitor) observe(s Snapshot) (exceeded string) {
	rec := m.record
	rec.PeakRSS, rec.PeakProcesses = max(rec.PeakRSS, s.RSS()), max(rec.PeakProcesses, len(s.Processes))
	if rec.MinAvailableMemory == 0 || s.AvailableMemory < rec.MinAvailableMemory {
		rec.MinAvailableMemory = s.AvailableMemory
	}
	for _, p := range s.Processes {
		if p.PID != os.Getpid() {
			m.seen[Process{PID: p.PID, StartTicks: p.StartTicks}] = true
		}
	}
	switch {
	case s.RSS() > MaxMemory:
		exceeded = fmt.Sprintf("the processes of the run held more than %d GB", MaxMemory>>30)
	case len(s.Processes) > MaxProcesses:
		exceeded = fmt.Sprintf("the run had more than %d processes", MaxProcesses)
	case s.AvailableMemory < minAvailableMemory:
		exceeded = fmt.Sprintf("the machine had only %d MB of memory left", s.AvailableMemory>>20)
	}
	if exceeded != "" {
		rec.MachineReasons = append(rec.MachineReasons, exceeded)
	}
	return exceeded
}

// judgeCPUShares checks the use of the cores during the whole play, given the snapshot after it.
func (m *playMonitor) judgeCPUShares(after Snapshot) {
	rec := m.record
	rec.CPUShares = cpuShares(m.before, after)
	total := after.CPU.Total - m.before.CPU.Total
	if rec.CPUShares.Others*total-othersTickError > maxOthersShare*total {
		rec.MachineReasons = append(rec.MachineReasons, fmt.Sprintf("other processes took %.0f%% of the cores (at most %.0f%%)", 100*rec.CPUShares.Others, 100*maxOthersShare))
	}
	if rec.CPUShares.Idle < minIdleShare {
		rec.MachineReasons = append(rec.MachineReasons, fmt.Sprintf("the cores were only %.1f%% idle (at least %.0f%%)", 100*rec.CPUShares.Idle, 100*minIdleShare))
	}
}

// killLeftProcesses kills the processes that the play has left running, and returns their number.
func (m *playMonitor) killLeftProcesses() (killed int) {
	for p := range m.seen {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID))
		if err != nil {
			continue // the process has ended
		}
		if s, err := parseStat(raw); err != nil || s.zombie || s.startTicks != p.StartTicks {
			continue
		}
		if syscall.Kill(p.PID, syscall.SIGKILL) == nil {
			killed++
		}
	}
	return killed
}

// cappedBuffer keeps the first bytes that a play writes, up to a bound.
type cappedBuffer struct {
	bytes.Buffer
	truncated bool
}

func (b *cappedBuffer) Write(p []byte) (int, error) {
	const most = 4 << 20
	if b.Len()+len(p) > most {
		b.truncated = true
		return len(p), nil
	}
	return b.Buffer.Write(p)
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
