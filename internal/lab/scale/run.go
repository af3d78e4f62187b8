// Package scale plays one axis of the fleet's size point by point, each play in a process of its own, and fits what the plays read:
// the slopes of the page of capacities. What is played stands in its folders (hollow, burden); what they and the run agree on in play.
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

// Times of a run.
const (
	snapshotInterval = 250 * time.Millisecond // at the machine, while a play runs
	stopTimeout      = 5 * time.Second        // of a play that is to end early
)

// Files beside PointsFile while a run goes on.
const (
	playDir = "play"     // of the play that runs now
	LogFile = "play.log" // what the plays said on their standard error
)

// Options say how a file is played.
type Options struct {
	Dir         string   // of the results; it's there, and empty unless Resume
	Resume      bool     // go on with the run in Dir that was cut short
	Command     []string // a process that is PlayOne
	Env         []string // of it, all
	NodeProgram string   // path of the coralyard program
	LabProgram  string   // path of the cottonrack program
	Build       Build
	Machine     Machine // nil: this one
	Progress    func(Progress)
	Log         *slog.Logger
}

// Progress is how far a run has come.
type Progress struct {
	Done, Total    int     // plays
	X              float64 // point of the play that runs now
	Play           int     // its number
	Elapsed        time.Duration
	Remaining      time.Duration // of the whole run, guessed from the plays that are done
	RemainingKnown bool          // that Left is known
	RSS            int64         // of all processes
	Processes      int
}

// run is a file being played.
type run struct {
	file       RunFile
	opts       Options
	supervisor *proc.Supervisor
	store      *store
	log        *os.File
	header     runHeader
	records    []Record // those that were kept, the last one of each play
	pending    []Record // plays that are to come, the one that runs now first
}

// Run plays a file and returns its results. When the context ends, so does the run, with what it has kept in its points file, and with
// nothing left behind.
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
		return errors.Join(fmt.Errorf("log: %w", err), r.store.close())
	}
	r.supervisor = proc.NewSupervisor()
	return nil
}

func (r *run) close() error {
	r.supervisor.Close()
	return errors.Join(r.store.close(), r.log.Close(), os.RemoveAll(filepath.Join(r.opts.Dir, playDir)))
}

// keep takes in a record, in place of an earlier one of the same play.
func (r *run) addRecord(k Record) {
	r.records = slices.DeleteFunc(r.records, func(o Record) bool { return o.X == k.X && o.Play == k.Play })
	r.records = append(r.records, k)
}

// plays plays what is not done yet: each point once, then each again, so that a change of the machine's mood meets all points alike.
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

// play plays one point once. Its error ends the run; what went wrong with the play alone stands in the record.
func (r *run) playOnce(ctx context.Context, k Record) (Record, error) {
	dir := filepath.Join(r.opts.Dir, playDir)
	if err := errors.Join(os.RemoveAll(dir), os.Mkdir(dir, 0o755)); err != nil { // an earlier run may have been killed
		return k, fmt.Errorf("folder of a play: %w", err)
	}
	dir, err := filepath.Abs(dir)
	if err != nil {
		return k, fmt.Errorf("folder of a play: %w", err)
	}
	spec, err := json.Marshal(play.Spec{Axis: r.file.Axis.Name, X: k.X, Seed: k.Seed, Dir: dir, NodeProgram: r.opts.NodeProgram, LabProgram: r.opts.LabProgram, Settings: r.file.Settings})
	if err != nil {
		return k, fmt.Errorf("spec of a play: %w", err)
	}
	before, err := r.opts.Machine.Snapshot(os.Getpid())
	if err != nil {
		return k, err
	}
	w := playMonitor{record: &k, before: before, seen: map[Process]bool{}}
	if w.observe(before); len(k.MachineFaults) > 0 { // short before anything has begun
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
	stop := "" // why it is to end early
	for running := true; running && stop == ""; {
		r.reportProgress(&k, time.Since(began))
		select {
		case <-p.Done():
			running = false
		case <-ctx.Done():
			stop = "the run was ended"
		case <-limit.C:
			stop = fmt.Sprintf("it didn't end within its limit of %v", r.file.PlayTimeout)
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
		r.opts.Log.Info("play ended early", "axis", r.file.Axis.Name, "x", k.X, "play", k.Play, "why", stop)
		if err := p.Terminate(context.WithoutCancel(ctx), stopTimeout); err != nil {
			return k, err
		}
	}
	k.TookSeconds = time.Since(began).Seconds()
	if left := w.killLeftProcesses(); left > 0 && stop == "" {
		k.Failure = fmt.Sprintf("it left %d processes behind; they were ended", left)
	}
	if err := ctx.Err(); err != nil {
		return k, fmt.Errorf("the run was ended in play %d at %v: %w", k.Play, formatNumber(k.X), context.Cause(ctx))
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
		k.Failure = strings.TrimSpace(fmt.Sprintf("its process ended %v: %s", e, tail))
		return k, nil
	}
	dec := json.NewDecoder(bytes.NewReader(out.Bytes()))
	dec.DisallowUnknownFields()
	err = dec.Decode(&k.Reading)
	if err == nil && out.truncated {
		err = errors.New("it is too long")
	}
	if err == nil {
		err = checkReading(r.file.Axis, k.Reading)
	}
	if err != nil {
		k.Reading, k.Failure = play.Reading{}, fmt.Sprintf("its reading: %v", err)
	}
	return k, nil
}

// progress tells how far the run is.
func (r *run) reportProgress(k *Record, since time.Duration) {
	all := len(r.file.Points) * r.file.Plays
	p := Progress{Done: all - len(r.pending), Total: all, X: k.X, Play: k.Play, Elapsed: since, RSS: k.PeakRSS, Processes: k.PeakProcesses}
	p.Remaining, p.RemainingKnown = r.remainingTime(since)
	r.opts.Progress(p)
}

// left guesses the time that the rest takes: a point takes as long as it took before, a new one as long as the next smaller one and more
// by the root of x: much of a play hangs on no x.
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

// watch follows one play on the machine.
type playMonitor struct {
	record *Record
	before Snapshot
	seen   map[Process]bool // processes of the play, without their memory
}

// look takes in one look, and tells a bound that has been passed, if one has.
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
		past = fmt.Sprintf("its processes held more than %d GB together", MaxMemory>>30)
	case len(l.Processes) > MaxProcesses:
		past = fmt.Sprintf("there were more than %d processes", MaxProcesses)
	case l.AvailableMemory < minAvailableMemory:
		past = fmt.Sprintf("memory was short: %d MB left", l.AvailableMemory>>20)
	}
	if past != "" {
		k.MachineFaults = append(k.MachineFaults, past)
	}
	return past
}

// end judges the whole play by the look after it.
func (w *playMonitor) judgeCPUShares(after Snapshot) {
	k := w.record
	k.CPUShares = cpuShares(w.before, after)
	all := after.CPU.Total - w.before.CPU.Total
	if k.CPUShares.Others*all-othersTickError > maxOthersShare*all {
		k.MachineFaults = append(k.MachineFaults, fmt.Sprintf("others took %.0f%% of the cores (%.0f%% at most)", 100*k.CPUShares.Others, 100*maxOthersShare))
	}
	if k.CPUShares.Idle < minIdleShare {
		k.MachineFaults = append(k.MachineFaults, fmt.Sprintf("the cores were full: %.1f%% idle (%.0f%% at least)", 100*k.CPUShares.Idle, 100*minIdleShare))
	}
}

// endLeft ends those processes of the play that have outlived it, and tells how many there were.
func (w *playMonitor) killLeftProcesses() (n int) {
	for p := range w.seen {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID))
		if err != nil {
			continue // gone
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

// limited keeps what a play writes, up to a bound.
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

// tail hands on what is written, and remembers the end of it.
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

// sorted are the records by point and play.
func sortedRecords(records []Record) []Record {
	return slices.SortedFunc(slices.Values(records), func(a, b Record) int { return cmp.Or(cmp.Compare(a.X, b.X), cmp.Compare(a.Play, b.Play)) })
}
