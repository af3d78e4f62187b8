// Package proc starts processes, limits their resources, signals them, and makes sure that none is left
// behind: they end with their Supervisor, and with this process however it ends.
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

// Spec describes a process to start.
type Spec struct {
	Name           string
	Command        []string
	Env            []string // the complete environment
	Dir            string
	Stdin          io.Reader  // nil: none
	Stdout         io.Writer  // nil: standard output goes to Output too
	Output         io.Writer  // for standard output and error; nil: discarded
	MaxDescriptors int        // 0: as in this process
	ExtraFiles     []*os.File // inherited as descriptors 3 and up; the caller closes its own
	DiskFull       bool       // all writes to files fail, as on a full disk, until SetDiskFull(false)
}

// Exit tells how a process ended.
type Exit struct {
	Code   int // -1 if it was ended by a signal
	Signal syscall.Signal
	At     time.Time
	CPU    time.Duration // total
	MaxRSS int64         // bytes
}

func (e Exit) String() string {
	if e.Code < 0 {
		return "by " + e.Signal.String()
	}
	return "with exit code " + strconv.Itoa(e.Code)
}

// Process is a process that was started.
type Process struct {
	spec Spec
	cmd  *exec.Cmd
	done chan struct{}
	exit Exit // valid once done is closed
}

// Supervisor owns processes. Close ends them all.
type Supervisor struct {
	startRequests chan startRequest
	closed        chan struct{}
	wg            sync.WaitGroup

	mu       sync.Mutex
	running  map[*Process]bool
	isClosed bool
}

type startRequest struct {
	cmd    *exec.Cmd
	result chan error
}

// ErrClosed is returned by Start after Close.
var ErrClosed = errors.New("supervisor is closed")

// NewSupervisor returns a supervisor. The kernel sends its processes SIGKILL if this process dies without
// Close.
func NewSupervisor() *Supervisor {
	s := &Supervisor{startRequests: make(chan startRequest), closed: make(chan struct{}), running: map[*Process]bool{}}
	go s.startLoop()
	return s
}

// startLoop starts processes from one thread that lives as long as the supervisor: the kernel sends the
// parent-death signal when the thread that started the child ends.
func (s *Supervisor) startLoop() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		select {
		case request := <-s.startRequests:
			request.result <- request.cmd.Start()
		case <-s.closed:
			return
		}
	}
}

// Start starts a process in a process group of its own.
func (s *Supervisor) Start(spec Spec) (*Process, error) {
	if len(spec.Command) == 0 {
		return nil, errors.New("no command")
	}
	args := spec.Command
	if spec.DiskFull { // applies from the first instruction on; a soft limit, so that SetDiskFull can lift it
		args = append([]string{"/bin/sh", "-c", `ulimit -S -f 0; exec "$0" "$@"`}, args...)
	}
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Env, cmd.Dir, cmd.Stdin, cmd.Stdout, cmd.Stderr = spec.Env, spec.Dir, spec.Stdin, spec.Output, spec.Output
	if spec.Stdout != nil {
		cmd.Stdout = spec.Stdout
	}
	cmd.ExtraFiles = spec.ExtraFiles
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	cmd.WaitDelay = 2 * time.Second // for its output, if something keeps that open
	p := &Process{spec: spec, cmd: cmd, done: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return nil, ErrClosed
	}
	request := startRequest{cmd, make(chan error, 1)}
	s.startRequests <- request
	if err := <-request.result; err != nil {
		return nil, fmt.Errorf("start %s: %w", spec.Name, err)
	}
	if spec.MaxDescriptors > 0 {
		n := uint64(spec.MaxDescriptors)
		if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}, nil); err != nil {
			cmd.Process.Kill()
			cmd.Wait()
			return nil, fmt.Errorf("limit descriptors of %s: %w", spec.Name, err)
		}
	}
	s.running[p] = true
	s.wg.Go(func() {
		cmd.Wait() // the process state tells more than the error
		p.exit = Exit{Code: cmd.ProcessState.ExitCode(), At: time.Now(), CPU: cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()}
		if ws, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok && ws.Signaled() {
			p.exit.Signal = ws.Signal()
		}
		if ru, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
			p.exit.MaxRSS = ru.Maxrss << 10
		}
		s.mu.Lock()
		delete(s.running, p)
		s.mu.Unlock()
		close(p.done)
	})
	return p, nil
}

// Close kills all processes that still run, and returns when they have ended.
func (s *Supervisor) Close() {
	s.mu.Lock()
	if s.isClosed {
		s.mu.Unlock()
		s.wg.Wait()
		return
	}
	s.isClosed = true
	for p := range s.running {
		p.Signal(syscall.SIGKILL)
	}
	s.mu.Unlock()
	s.wg.Wait()
	close(s.closed)
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Wait waits for the end of the process and returns how it ended.
func (p *Process) Wait() Exit {
	<-p.done
	return p.exit
}

// Signal sends a signal. A process that has already ended is no error.
func (p *Process) Signal(sig syscall.Signal) error {
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("send signal %v to %s: %w", sig, p.spec.Name, err)
	}
	return nil
}

// Terminate sends SIGTERM, and SIGKILL if the process has not ended after the grace time or when the context
// ends. It returns when the process has ended.
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

// SetDiskFull makes all the process's writes to files fail, or lets them succeed again.
func (p *Process) SetDiskFull(full bool) error {
	var old unix.Rlimit
	if err := unix.Prlimit(p.PID(), unix.RLIMIT_FSIZE, nil, &old); err != nil {
		return fmt.Errorf("limit disk of %s: %w", p.spec.Name, err)
	}
	limit := unix.Rlimit{Cur: old.Max, Max: old.Max}
	if full {
		limit.Cur = 0
	}
	if err := unix.Prlimit(p.PID(), unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		return fmt.Errorf("limit disk of %s: %w", p.spec.Name, err)
	}
	return nil
}

// Usage tells what a process currently uses.
type Usage struct {
	RSS         int64 // bytes
	Descriptors int
}

// Usage reads the current usage. It returns an error if the process has ended.
func (p *Process) Usage() (Usage, error) {
	var u Usage
	proc := "/proc/" + strconv.Itoa(p.PID())
	raw, err := os.ReadFile(proc + "/statm")
	if err != nil {
		return u, fmt.Errorf("read usage of %s: %w", p.spec.Name, err)
	}
	if f := bytes.Fields(raw); len(f) > 1 {
		pages, err := strconv.ParseInt(string(f[1]), 10, 64)
		if err != nil {
			return u, fmt.Errorf("read usage of %s: %w", p.spec.Name, err)
		}
		u.RSS = pages * int64(os.Getpagesize())
	}
	fds, err := os.ReadDir(proc + "/fd")
	if err != nil {
		return u, fmt.Errorf("read usage of %s: %w", p.spec.Name, err)
	}
	u.Descriptors = len(fds)
	return u, nil
}
