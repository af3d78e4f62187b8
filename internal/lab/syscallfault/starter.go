// Package syscallfault makes system calls of unmodified programs fail, from outside. A starter process installs a
// seccomp filter and then becomes the program; the filter reports chosen calls to an Injector, which lets them
// through, delays them, or answers them with an error. It needs no rights and touches no other process.
package syscallfault

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// starterVariable marks a process as a starter.
const starterVariable = "SYSCALLFAULT_STARTER"

const (
	starterSocket     = 3 // descriptor of the socket to the injector
	filterNewListener = 1 << 3
	setModeFilter     = 1
	dataOffsetNumber  = 0 // of the call's number in struct seccomp_data
)

// ErrUnsupported reports a machine whose calls can't be reported.
var ErrUnsupported = errors.New("system calls can't be intercepted on this machine")

// RunStarter becomes the program of a starter process. Programs that start others with Prepare call it first; it
// returns at once in any other process.
func RunStarter() {
	if os.Getenv(starterVariable) == "" {
		return
	}
	fmt.Fprintln(os.Stderr, runStarter(os.Args[1:]))
	os.Exit(126)
}

// runStarter installs the filter on this thread and executes the command, which inherits it.
func runStarter(command []string) error {
	if len(command) == 0 {
		return errors.New("system call faults: no command")
	}
	path, err := exec.LookPath(command[0])
	if err != nil {
		return err
	}
	os.Unsetenv(starterVariable)
	runtime.LockOSThread()
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("%w: %w", ErrUnsupported, err)
	}
	filter := filterProgram()
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	listener, _, errno := syscall.Syscall(unix.SYS_SECCOMP, setModeFilter, filterNewListener, uintptr(unsafe.Pointer(&program)))
	if errno != 0 {
		return fmt.Errorf("%w: %w", ErrUnsupported, errno)
	}
	if err := unix.Sendmsg(starterSocket, []byte{0}, unix.UnixRights(int(listener)), nil, 0); err != nil {
		return fmt.Errorf("system call faults: %w", err)
	}
	unix.CloseOnExec(int(listener))
	unix.CloseOnExec(starterSocket)
	return syscall.Exec(path, command, os.Environ())
}

// filterProgram returns a filter that reports the calls of callsByNumber and allows all others.
func filterProgram() []unix.SockFilter {
	const load, jumpIfEqual, ret = unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, unix.BPF_RET | unix.BPF_K
	program := []unix.SockFilter{{Code: load, K: dataOffsetNumber}}
	remaining := len(callsByNumber)
	for number := range callsByNumber {
		program = append(program, unix.SockFilter{Code: jumpIfEqual, Jt: uint8(remaining), K: uint32(number)})
		remaining--
	}
	return append(program, unix.SockFilter{Code: ret, K: unix.SECCOMP_RET_ALLOW}, unix.SockFilter{Code: ret, K: unix.SECCOMP_RET_USER_NOTIF})
}
