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

const patience = 30 * time.Second

// TestMain is the child itself when a test starts this binary as one.
func TestMain(m *testing.M) {
	switch os.Getenv("PROC_TEST_CHILD") {
	case "":
		goleak.VerifyTestMain(m)
	case "writer": // appends to a file until it can't, then says so, and goes on once it can
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
	case "parent": // starts a sleeper and is killed
		s := NewSupervisor()
		p, err := s.Start(Spec{Name: "sleeper", Command: []string{"/bin/sleep", "600"}})
		if err != nil {
			os.Exit(3)
		}
		fmt.Println(p.PID())
		select {}
	}
}

// lines hands on each line that is written.
type lines struct {
	mu   sync.Mutex
	part bytes.Buffer
	c    chan string
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.part.Write(p)
	for {
		line, err := l.part.ReadString('\n')
		if err != nil {
			l.part.Reset()
			l.part.WriteString(line)
			return len(p), nil
		}
		l.c <- strings.TrimSpace(line)
	}
}

func await(t *testing.T, what string, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(patience):
		t.Fatal("never: " + what)
	}
}

func TestEndsAndSignals(t *testing.T) {
	s := NewSupervisor()
	defer s.Close()
	p, err := s.Start(Spec{Name: "sleeper", Command: []string{"/bin/sleep", "600"}, MaxDescriptors: 50})
	if err != nil {
		t.Fatal(err)
	}
	if u, err := p.Usage(); err != nil || u.RSS <= 0 || u.Descriptors <= 0 {
		t.Errorf("usage %+v, %v", u, err)
	}
	if err := p.Terminate(context.Background(), patience); err != nil {
		t.Fatal(err)
	}
	if e := p.Wait(); e.Signal != syscall.SIGTERM {
		t.Errorf("ended %v", e)
	}
	if err := p.Signal(syscall.SIGKILL); err != nil {
		t.Errorf("a signal to a process that has ended: %v", err)
	}
	// One that heeds no SIGTERM is killed.
	deaf, err := s.Start(Spec{Name: "deaf", Command: []string{"/bin/sh", "-c", "trap '' TERM; echo; while :; do sleep 600; done"}, Output: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := deaf.Terminate(ctx, patience); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Start(Spec{Name: "none", Command: []string{"/nonexistent"}}); err == nil {
		t.Error("what does not exist was started")
	}
	code, err := s.Start(Spec{Name: "three", Command: []string{"/bin/sh", "-c", "exit 3"}})
	if err != nil {
		t.Fatal(err)
	}
	if e := code.Wait(); e.Code != 3 || !strings.Contains(e.String(), "3") {
		t.Errorf("ended %v", e)
	}
}

func TestCloseEndsAll(t *testing.T) {
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
		await(t, "the end of a process", p.Done())
	}
	if _, err := s.Start(Spec{Name: "late", Command: []string{"/bin/sleep", "1"}}); err != ErrClosed {
		t.Errorf("a start after the close: %v", err)
	}
	s.Close() // again does nothing
}

// A lab that is killed leaves nothing behind.
func TestEndsWithItsParent(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "PROC_TEST_CHILD=parent")
	out := &lines{c: make(chan string, 1)}
	cmd.Stdout = out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var pid int
	select {
	case line := <-out.c:
		fmt.Sscan(line, &pid)
	case <-time.After(patience):
		t.Fatal("it never started its child")
	}
	cmd.Process.Kill()
	cmd.Wait()
	for by := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil || strings.Contains(string(raw), ") Z ") {
			return // gone, or waiting for its new parent to notice
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
			out := &lines{c: make(chan string, 10)}
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
				case got := <-out.c:
					if got != want {
						t.Fatalf("got %q, want %q", got, want)
					}
				case <-time.After(patience):
					t.Fatal("never: " + want)
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
