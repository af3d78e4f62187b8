package proc

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

const testTimeout = 30 * time.Second

// TestMain runs a child process when a test starts this binary as one.
func TestMain(m *testing.M) {
	switch os.Getenv("PROC_TEST_CHILD") {
	case "":
		goleak.VerifyTestMain(m)
	case "writer": // appends to a file and reports when that starts to fail and when it succeeds again
		f, err := os.OpenFile(os.Getenv("PROC_TEST_FILE"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			os.Exit(3)
		}
		could := true
		for {
			_, err := io.WriteString(f, "x")
			if can := err == nil; can != could {
				could = can
				fmt.Println("can write:", can)
			}
			time.Sleep(time.Millisecond)
		}
	case "parent": // starts a child process and waits to be killed
		s := NewSupervisor()
		p, err := s.Start(Spec{Name: "sleeper", Command: []string{"/bin/sleep", "600"}})
		if err != nil {
			os.Exit(3)
		}
		fmt.Println(p.PID())
		select {}
	}
}

// lineWriter passes on each line that is written to it.
type lineWriter struct {
	mu       sync.Mutex
	partial  bytes.Buffer
	received chan string
}

func (l *lineWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partial.Write(p)
	for {
		line, err := l.partial.ReadString('\n')
		if err != nil {
			l.partial.Reset()
			l.partial.WriteString(line)
			return len(p), nil
		}
		l.received <- strings.TrimSpace(line)
	}
}

func awaitDone(t *testing.T, event string, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("timeout: " + event)
	}
}

func TestTerminateAndSignal(t *testing.T) {
	s := NewSupervisor()
	defer s.Close()
	p, err := s.Start(Spec{Name: "sleeper", Command: []string{"/bin/sleep", "600"}, MaxDescriptors: 50})
	if err != nil {
		t.Fatal(err)
	}
	if u, err := p.Usage(); err != nil || u.RSS <= 0 || u.Descriptors <= 0 {
		t.Errorf("usage %+v, %v", u, err)
	}
	if err := p.Terminate(context.Background(), testTimeout); err != nil {
		t.Fatal(err)
	}
	if e := p.Wait(); e.Signal != syscall.SIGTERM {
		t.Errorf("ended %v", e)
	}
	if err := p.Signal(syscall.SIGKILL); err != nil {
		t.Errorf("signal to a process that has ended: %v", err)
	}
	// A process that ignores SIGTERM is killed.
	stubborn, err := s.Start(Spec{Name: "stubborn", Command: []string{"/bin/sh", "-c", "trap '' TERM; echo; while :; do sleep 600; done"}, Output: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := stubborn.Terminate(ctx, testTimeout); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Start(Spec{Name: "none", Command: []string{"/nonexistent"}}); err == nil {
		t.Error("a program that does not exist was started")
	}
	code, err := s.Start(Spec{Name: "three", Command: []string{"/bin/sh", "-c", "exit 3"}})
	if err != nil {
		t.Fatal(err)
	}
	if e := code.Wait(); e.Code != 3 || !strings.Contains(e.String(), "3") {
		t.Errorf("ended %v", e)
	}
}

func TestCloseEndsAllProcesses(t *testing.T) {
	s := NewSupervisor()
	var all []*Process
	for range 5 {
		p, err := s.Start(Spec{Name: "sleeper", Command: []string{"/bin/sleep", "600"}})
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, p)
	}
	s.Close()
	for _, p := range all {
		awaitDone(t, "the end of a process", p.Done())
	}
	if _, err := s.Start(Spec{Name: "late", Command: []string{"/bin/sleep", "1"}}); err != ErrClosed {
		t.Errorf("start after close: %v", err)
	}
	s.Close() // a second Close has no effect
}

// A lab that is killed leaves no process behind.
func TestProcessEndsWithParent(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "PROC_TEST_CHILD=parent")
	out := &lineWriter{received: make(chan string, 1)}
	cmd.Stdout = out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var pid int
	select {
	case line := <-out.received:
		fmt.Sscan(line, &pid)
	case <-time.After(testTimeout):
		t.Fatal("it did not start its child")
	}
	cmd.Process.Kill()
	cmd.Wait()
	for by := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil || strings.Contains(string(raw), ") Z ") {
			return // gone, or a zombie that its new parent has not reaped yet
		}
		if time.Now().After(by) {
			t.Fatalf("process %d outlived its parent", pid)
		}
	}
}

func TestDiskFull(t *testing.T) {
	for _, fromStart := range []bool{false, true} {
		t.Run(fmt.Sprint(fromStart), func(t *testing.T) {
			s := NewSupervisor()
			defer s.Close()
			out := &lineWriter{received: make(chan string, 10)}
			p, err := s.Start(Spec{
				Name: "writer", Command: []string{os.Args[0]}, Output: out, DiskFull: fromStart,
				Env: []string{"PROC_TEST_CHILD=writer", "PROC_TEST_FILE=" + filepath.Join(t.TempDir(), "f")},
			})
			if err != nil {
				t.Fatal(err)
			}
			next := func(want string) {
				t.Helper()
				select {
				case got := <-out.received:
					if got != want {
						t.Fatalf("got %q, want %q", got, want)
					}
				case <-time.After(testTimeout):
					t.Fatal("timeout: " + want)
				}
			}
			if !fromStart {
				if err := p.SetDiskFull(true); err != nil {
					t.Fatal(err)
				}
			}
			next("can write: false")
			if err := p.SetDiskFull(false); err != nil {
				t.Fatal(err)
			}
			next("can write: true")
		})
	}
}
