package syscallfault

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"go.uber.org/goleak"
)

const childVariable = "SYSCALLFAULT_TEST_CHILD"

func TestMain(m *testing.M) {
	RunStarter()
	if path := os.Getenv(childVariable); path != "" {
		writeTwice(path)
		return
	}
	goleak.VerifyTestMain(m)
}

// writeTwice prints how each call ends.
func writeTwice(path string) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	fmt.Println("open:", err)
	if err != nil {
		return
	}
	for range 2 {
		n, err := f.WriteAt([]byte("0123456789"), 0)
		fmt.Println("write:", n, err)
	}
	fmt.Println("truncate:", f.Truncate(3))
}

func runChild(t *testing.T, plan Plan) (output, written string, injector *Injector) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	command, env, socket, injector, err := Prepare(os.Args[0], []string{os.Args[0]}, append(os.Environ(), childVariable+"="+path), plan)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	child := exec.Command(command[0], command[1:]...)
	child.Env, child.Stdout, child.Stderr, child.ExtraFiles = env, &out, &out, []*os.File{socket}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	socket.Close()
	injector.Run()
	defer injector.Close()
	if err := child.Wait(); err != nil {
		t.Fatalf("%v: %s", err, &out)
	}
	raw, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	return out.String(), string(raw), injector
}

// Calls fail as planned, and all others succeed.
func TestCallsFailAsPlanned(t *testing.T) {
	var writes atomic.Int64
	output, written, injector := runChild(t, func(call Call, _ string) Action {
		if call == Write && writes.Add(1) == 1 {
			return Action{Half: true, Errno: syscall.ENOSPC}
		}
		if call == Truncate {
			return Action{Errno: syscall.EIO}
		}
		return Action{}
	})
	for _, want := range []string{"open: <nil>", "write: 0 ", "no space left on device", "write: 10 <nil>", "input/output error"} {
		if !strings.Contains(output, want) {
			t.Errorf("no %q in %s", want, output)
		}
	}
	if written != "0123456789" || injector.Failed(Write) != 1 || injector.Failed(Truncate) != 1 || injector.Failed(Open) != 0 {
		t.Errorf("%q was written, failed: %d writes, %d truncates, %d opens", written, injector.Failed(Write), injector.Failed(Truncate), injector.Failed(Open))
	}
}

// A call without an error whose half is written is a short one, and the program goes on with the rest.
func TestShortWrite(t *testing.T) {
	var writes atomic.Int64
	output, written, _ := runChild(t, func(call Call, _ string) Action { return Action{Half: call == Write && writes.Add(1) == 1} })
	if written != "012" || !strings.Contains(output, "write: 10 <nil>") || writes.Load() != 3 {
		t.Errorf("%q was written in %d calls: %s", written, writes.Load(), output)
	}
}

// An open is told by its path.
func TestOpenFailsByPath(t *testing.T) {
	output, _, _ := runChild(t, func(call Call, path string) Action {
		if call == Open && strings.HasSuffix(path, "/file") {
			return Action{Errno: syscall.EIO}
		}
		return Action{}
	})
	if !strings.Contains(output, "input/output error") {
		t.Errorf("got %s", output)
	}
}
