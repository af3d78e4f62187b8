// Package scale measures how the costs of a fleet grow along one axis: it plays each point of the axis
// several times, each play in a process of its own, and fits a slope to each figure that the plays read.
// Package capacity computes the costs of fleets of other sizes from the slopes.
//
// The terms axis, point and play are explained in package play, which holds the types that a run and its axes
// share. The axes themselves are in the packages hollow and burden.
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
	stopTimeout      = 5 * time.Second        // time that a play has to stop by itself before it is killed
)

// Names in the folder of a run, beside PointsFile.
const (
	playDir = "play"     // folder of the current play; removed when the run ends
	LogFile = "play.log" // standard error of all plays; kept
)

// Options say how Run plays a run file.
type Options struct {
	Dir         string   // for the points file and the log; must exist, and hold no points file unless Resume is set
	Resume      bool     // continue the interrupted run in Dir
	Command     []string // program and arguments of the process of a play, which must call RunPlay
	Env         []string // complete environment of that process
	NodeProgram string   // path of the node's program, coralyard
	LabProgram  string   // path of the lab's program, cottonrack
	Build       Build
	Machine     Machine        // nil: Linux{}
	Progress    func(Progress) // called during each play, every snapshotInterval; nil: none
	Log         *slog.Logger   // nil: none
}

// Progress is the state of a run while a play is under way.
type Progress struct {
	Done, Total    int           // number of finished plays, and of all plays
	X              float64       // point of the current play
	Play           int           // number of the current play among those of its point, from 0
	Elapsed        time.Duration // of the current play
	Remaining      time.Duration // of the whole run, estimated from the plays done before
	RemainingKnown bool          // whether there is an estimate
	RSS            int64         // peak during the current play, of all processes together, in bytes
	Processes      int           // peak number during the current play
}

// run is the state of one call of Run.
type run struct {
	file       RunFile
	opts       Options
	supervisor *proc.Supervisor
	store      *store
	log        *os.File
	header     runHeader
	records    []Record // of each play the last one only
	pending    []Record // plays still to do, the current one first; only X, Play and Seed are set
}

// Run plays a run file and returns the results. When the context ends, Run stops all processes that it has
// started and returns an error. The plays that are already in the points file are then kept, and a run with
// Options.Resume continues after them.
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
		return errors.Join(fmt.Errorf("open the log of the plays: %w", err), r.store.close())
	}
	r.supervisor = proc.NewSupervisor()
	return nil
}

func (r *run) close() error {
	r.supervisor.Close()
	return errors.Join(r.store.close(), r.log.Close(), os.RemoveAll(filepath.Join(r.opts.Dir, playDir)))
}

// addRecord adds a record; it replaces an earlier record of the same play.
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

// playOnce plays one point once and returns its completed record. It returns an error if the run can't go on;
// a failure of the play alone goes into the record.
func (r *run) playOnce(ctx context.Context, rec Record) (Record, error) {
	dir := filepath.Join(r.opts.Dir, playDir)
	if err := errors.Join(os.RemoveAll(dir), os.Mkdir(dir, 0o755)); err != nil { // a run that was killed may have left the folder
		return rec, fmt.Errorf("create the folder of a play: %w", err)
	}
	dir, err := filepath.Abs(dir)
	if err != nil {
		return rec, fmt.Errorf("absolute path of the folder of a play: %w", err)
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
	if monitor.observe(before); len(rec.MachineReasons) > 0 { // the machine is over a bound, for example short of memory, before the play has started
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
	stopReason := "" // why the play is stopped early; empty: it is not
	for running := true; running && stopReason == ""; {
		r.reportProgress(&rec, time.Since(startedAt))
		select {
		case <-process.Done():
			running = false
		case <-ctx.Done():
			stopReason = "the run was canceled"
		case <-timeout.C:
			stopReason = fmt.Sprintf("the play did not end within the run file's limit of %v", r.file.PlayTimeout)
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
	monitor.checkCPUShares(after)
	if exit := process.Wait(); exit.Code != 0 {
		rec.Failure = strings.TrimSpace(fmt.Sprintf("the play's process ended %v: %s", exit, stderr))
		return rec, nil
	}
	dec := json.NewDecoder(bytes.NewReader(out.Bytes()))
	dec.DisallowUnknownFields()
	err = dec.Decode(&rec.Reading)
	if err == nil && out.truncated {
		err = errors.New("the play wrote too much to standard output")
	}
	if err == nil {
		err = checkReading(r.file.Axis, rec.Reading)
	}
	if err != nil {
		rec.Reading, rec.Failure = play.Reading{}, fmt.Sprintf("read the play's reading: %v", err)
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

// remainingTime estimates the time that the rest of the run takes, and reports whether it can. A play is
// expected to take as long as the mean of the finished plays of its point. If there are none, those of the
// next smaller point are taken, scaled by the square root of the ratio of the two x, because much of a play's
// time does not depend on x. There is no estimate while no play of this or a smaller point is finished.
func (r *run) remainingTime(elapsed time.Duration) (time.Duration, bool) {
	secondsByPoint := map[float64][]float64{} // durations of finished plays
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

// playMonitor watches the resources that one play uses, and notes in its record where they exceed a bound.
type playMonitor struct {
	record *Record
	before Snapshot         // before the play
	seen   map[Process]bool // all processes that the play was seen to have; RSS stays 0, so that each process is one key
}

// observe updates the record's peaks from a snapshot. If the snapshot exceeds a bound, it adds the reason to
// the record's MachineReasons and returns it.
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
		exceeded = fmt.Sprintf("the processes of the run used more than %d GB of memory", MaxMemory>>30)
	case len(s.Processes) > MaxProcesses:
		exceeded = fmt.Sprintf("the run had more than %d processes", MaxProcesses)
	case s.AvailableMemory < minAvailableMemory:
		exceeded = fmt.Sprintf("the machine had only %d MB of memory available", s.AvailableMemory>>20)
	}
	if exceeded != "" {
		rec.MachineReasons = append(rec.MachineReasons, exceeded)
	}
	return exceeded
}

// checkCPUShares computes how the CPU time of the whole play was shared, given the snapshot after it, and
// adds a reason to the record's MachineReasons if other processes took too much or the cores were saturated.
func (m *playMonitor) checkCPUShares(after Snapshot) {
	rec := m.record
	rec.CPUShares = cpuShares(m.before, after)
	total := after.CPU.Total - m.before.CPU.Total
	if rec.CPUShares.Others*total-othersTickError > maxOthersShare*total {
		rec.MachineReasons = append(rec.MachineReasons, fmt.Sprintf("other processes took %.0f%% of the CPU time (allowed: at most %.0f%%)", 100*rec.CPUShares.Others, 100*maxOthersShare))
	}
	if rec.CPUShares.Idle < minIdleShare {
		rec.MachineReasons = append(rec.MachineReasons, fmt.Sprintf("the cores were idle for only %.1f%% of the time (required: at least %.0f%%)", 100*rec.CPUShares.Idle, 100*minIdleShare))
	}
}

// killLeftProcesses kills the processes that the play was seen to have and that still run, and returns their
// number.
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

// cappedBuffer is a buffer for what a play writes. A write that would make it longer than maxBytes is
// dropped, and sets truncated.
type cappedBuffer struct {
	bytes.Buffer
	truncated bool
}

func (b *cappedBuffer) Write(p []byte) (int, error) {
	const maxBytes = 4 << 20
	if b.Len()+len(p) > maxBytes {
		b.truncated = true
		return len(p), nil
	}
	return b.Buffer.Write(p)
}

// tailWriter passes on what is written, and keeps the last maxBytes of it for an error message.
type tailWriter struct {
	out io.Writer

	mu   sync.Mutex
	last []byte
}

func (t *tailWriter) Write(p []byte) (int, error) {
	t.mu.Lock()
	const maxBytes = 1000
	t.last = append(t.last, p...)
	t.last = t.last[max(0, len(t.last)-maxBytes):]
	t.mu.Unlock()
	return t.out.Write(p)
}

func (t *tailWriter) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.ToValidUTF8(strings.TrimSpace(string(t.last)), "?")
}

// sortedRecords returns the records in the order of their points and play numbers.
func sortedRecords(records []Record) []Record {
	return slices.SortedFunc(slices.Values(records), func(a, b Record) int { return cmp.Or(cmp.Compare(a.X, b.X), cmp.Compare(a.Play, b.Play)) })
}
