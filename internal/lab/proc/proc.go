// Package proc starts processes, bounds them, signals them, and sees to it that none is left behind: they end with
// their Supervisor, and with this process however it ends.
package proc

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Spec says what to start.
type Spec struct {
	Name           string
	Command        []string
	Env            []string // all of it
	Dir            string
	Stdin          io.Reader // its standard input; nil: none
	Stdout         io.Writer // its standard output; nil: the Log has it too
	Output         io.Writer // its standard output and error; nil: none
	MaxDescriptors int       // descriptors at most; 0: as here
	DiskFull       bool      // it can write to no file, as on a full disk, until DiskFull(false)
}

// Exit is how a process ended.
type Exit struct {
	Code   int // -1 if by a signal
	Signal syscall.Signal
	At     time.Time
	CPU    time.Duration // used in all
	MaxRSS int64         // the most it held, in bytes
}

func (e Exit) String() string {
	if e.Code < 0 {
		return "by " + e.Signal.String()
	}
	return "with exit code " + strconv.Itoa(e.Code)
}

// Process is one that was started.
type Process struct {
	spec Spec
	cmd  *exec.Cmd
	done chan struct{}
	exit Exit // once done is closed
}

// Supervisor owns processes. Close ends them all.
type Supervisor struct {
	starts chan start
	ended  chan struct{}
	wg     sync.WaitGroup

	mu   sync.Mutex
	all  map[*Process]bool
	over bool
}

type start struct {
	cmd  *exec.Cmd
	done chan error
}

// ErrClosed is returned for a start after Close.
var ErrClosed = errors.New("the supervisor has been closed")

// NewSupervisor makes one. Its processes get SIGKILL from the kernel if this process dies without Close.
func NewSupervisor() *Supervisor {
	s := &Supervisor{starts: make(chan start), ended: make(chan struct{}), all: map[*Process]bool{}}
	go s.spawn()
	return s
}

// spawn starts processes from one thread that lives as long as the supervisor: the kernel sends the signal of a
// parent's death when the thread that started the child ends.
func (s *Supervisor) spawn() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		select {
		case x := <-s.starts:
			x.done <- x.cmd.Start()
		case <-s.ended:
			return
		}
	}
}

// Start starts a process in a group of its own.
func (s *Supervisor) Start(spec Spec) (*Process, error) {
	if len(spec.Command) == 0 {
		return nil, errors.New("no command")
	}
	args := spec.Command
	if spec.DiskFull { // from its first instruction on; the limit is a soft one, for DiskFull to lift
		args = append([]string{"/bin/sh", "-c", `ulimit -S -f 0; exec "$0" "$@"`}, args...)
	}
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Env, cmd.Dir, cmd.Stdin, cmd.Stdout, cmd.Stderr = spec.Env, spec.Dir, spec.Stdin, spec.Output, spec.Output
	if spec.Stdout != nil {
		cmd.Stdout = spec.Stdout
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	cmd.WaitDelay = 2 * time.Second // for its log, if something holds that open
	p := &Process{spec: spec, cmd: cmd, done: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return nil, ErrClosed
	}
	x := start{cmd, make(chan error, 1)}
	s.starts <- x
	if err := <-x.done; err != nil {
		return nil, fmt.Errorf("start of %s: %w", spec.Name, err)
	}
	if spec.MaxDescriptors > 0 {
		n := uint64(spec.MaxDescriptors)
		if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}, nil); err != nil {
			cmd.Process.Kill()
			cmd.Wait()
			return nil, fmt.Errorf("descriptors of %s: %w", spec.Name, err)
		}
	}
	s.all[p] = true
	s.wg.Go(func() {
		cmd.Wait() // its state tells more than the error
		p.exit = Exit{Code: cmd.ProcessState.ExitCode(), At: time.Now(), CPU: cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()}
		if ws, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok && ws.Signaled() {
			p.exit.Signal = ws.Signal()
		}
		if ru, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
			p.exit.MaxRSS = ru.Maxrss << 10
		}
		s.mu.Lock()
		delete(s.all, p)
		s.mu.Unlock()
		close(p.done)
	})
	return p, nil
}

// Close kills all that still runs, and returns when it has ended.
func (s *Supervisor) Close() {
	s.mu.Lock()
	if s.over {
		s.mu.Unlock()
		s.wg.Wait()
		return
	}
	s.over = true
	for p := range s.all {
		p.Signal(syscall.SIGKILL)
	}
	s.mu.Unlock()
	s.wg.Wait()
	close(s.ended)
}

// PID is the process's number.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Exit is how it ended, once Done is closed.
func (p *Process) Wait() Exit {
	<-p.done
	return p.exit
}

// Signal sends a signal. One to a process that has ended is no error.
func (p *Process) Signal(sig syscall.Signal) error {
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("%v to %s: %w", sig, p.spec.Name, err)
	}
	return nil
}

// End sends SIGTERM, and SIGKILL if the process has not ended after the grace or when the context ends. It returns
// when the process has ended.
func (p *Process) Terminate(ctx context.Context, grace time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	t := time.NewTimer(grace)
	defer t.Stop()
	select {
	case <-p.done:
		return nil
	case <-t.C:
	case <-ctx.Done():
	}
	err := p.Signal(syscall.SIGKILL)
	<-p.done
	return err
}

// DiskFull lets every write of the process to a file fail, or no longer.
func (p *Process) SetDiskFull(on bool) error {
	var old unix.Rlimit
	if err := unix.Prlimit(p.PID(), unix.RLIMIT_FSIZE, nil, &old); err != nil {
		return fmt.Errorf("disk of %s: %w", p.spec.Name, err)
	}
	limit := unix.Rlimit{Cur: old.Max, Max: old.Max}
	if on {
		limit.Cur = 0
	}
	if err := unix.Prlimit(p.PID(), unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		return fmt.Errorf("disk of %s: %w", p.spec.Name, err)
	}
	return nil
}

// Usage is what a process uses now.
type Usage struct {
	RSS         int64 // bytes
	Descriptors int
}

// Usage reads it; of a process that has ended it is an error.
func (p *Process) Usage() (Usage, error) {
	var u Usage
	proc := "/proc/" + strconv.Itoa(p.PID())
	raw, err := os.ReadFile(proc + "/statm")
	if err != nil {
		return u, fmt.Errorf("usage of %s: %w", p.spec.Name, err)
	}
	if f := bytes.Fields(raw); len(f) > 1 {
		pages, err := strconv.ParseInt(string(f[1]), 10, 64)
		if err != nil {
			return u, fmt.Errorf("usage of %s: %w", p.spec.Name, err)
		}
		u.RSS = pages * int64(os.Getpagesize())
	}
	fds, err := os.ReadDir(proc + "/fd")
	if err != nil {
		return u, fmt.Errorf("usage of %s: %w", p.spec.Name, err)
	}
	u.Descriptors = len(fds)
	return u, nil
}
