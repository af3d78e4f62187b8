package syscallfault

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	notificationReceive = 0xc0502100 // SECCOMP_IOCTL_NOTIF_RECV
	notificationSend    = 0xc0182101 // SECCOMP_IOCTL_NOTIF_SEND
	continueCall        = 1          // SECCOMP_USER_NOTIF_FLAG_CONTINUE
	maxPath             = 4096
	listenerPoll        = 200 // milliseconds between two looks whether the injector was closed
)

// notification is struct seccomp_notif.
type notification struct {
	ID     uint64
	PID    uint32
	Flags  uint32
	Number int32
	Arch   uint32
	IP     uint64
	Args   [6]uint64
}

// response is struct seccomp_notif_resp.
type response struct {
	ID    uint64
	Val   int64
	Error int32
	Flags uint32
}

// Injector decides what becomes of the calls of one process and its threads.
type Injector struct {
	plan   Plan
	socket *os.File // to the starter
	wg     sync.WaitGroup
	closed atomic.Bool
	counts sync.Map // by Call: *atomic.Int64 of the calls that failed
}

// Prepare changes a command so that a starter runs it, whose calls the returned injector decides on once it is
// started with Run. starter is a program that calls RunStarter first.
func Prepare(starter string, command, env []string, plan Plan) (newCommand, newEnv []string, socket *os.File, injector *Injector, err error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, nil, nil, fmt.Errorf("system call faults: %w", err)
	}
	ours, theirs := os.NewFile(uintptr(pair[0]), "injector"), os.NewFile(uintptr(pair[1]), "starter")
	newCommand = append([]string{starter}, command...)
	return newCommand, append(env, starterVariable+"=1"), theirs, &Injector{plan: plan, socket: ours}, nil
}

// Run decides on calls until the process ends or Close is called. It returns at once; the process must have been
// started, and this process's copy of its socket must be closed.
func (j *Injector) Run() {
	descriptor := int(j.socket.Fd())
	j.wg.Go(func() {
		listener, err := receiveListener(descriptor)
		if err != nil {
			return // the process has ended before it could be filtered; its exit tells
		}
		defer unix.Close(listener)
		j.serve(listener)
	})
}

// Close ends the injector. It must be called after the process has ended.
func (j *Injector) Close() {
	j.closed.Store(true)
	j.socket.Close()
	j.wg.Wait()
}

// Failed returns how many calls of a kind have failed or were cut short.
func (j *Injector) Failed(call Call) int64 {
	if n, ok := j.counts.Load(call); ok {
		return n.(*atomic.Int64).Load()
	}
	return 0
}

// receiveListener receives the descriptor at which the starter's filter reports calls.
func receiveListener(socket int) (int, error) {
	space := make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := unix.Recvmsg(socket, make([]byte, 1), space, 0)
	if err != nil {
		return 0, err
	}
	messages, err := unix.ParseSocketControlMessage(space[:n])
	if err != nil || len(messages) != 1 {
		return 0, errors.Join(errors.New("no descriptor received"), err)
	}
	descriptors, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(descriptors) != 1 {
		return 0, errors.Join(errors.New("no descriptor received"), err)
	}
	return descriptors[0], nil
}

// serve answers notifications until the process has ended.
func (j *Injector) serve(listener int) {
	for !j.closed.Load() {
		waiting := []unix.PollFd{{Fd: int32(listener), Events: unix.POLLIN}}
		if _, err := unix.Poll(waiting, listenerPoll); err != nil && !errors.Is(err, unix.EINTR) {
			return
		}
		switch events := waiting[0].Revents; {
		case events&unix.POLLIN != 0:
		case events&(unix.POLLHUP|unix.POLLERR) != 0:
			return
		default:
			continue
		}
		var n notification
		if errno := control(listener, notificationReceive, unsafe.Pointer(&n)); errno != 0 {
			continue // the thread has ended meanwhile
		}
		action := j.decide(n)
		if action.Delay > 0 { // other threads go on meanwhile
			j.wg.Go(func() {
				time.Sleep(action.Delay)
				j.answer(listener, n, action)
			})
			continue
		}
		j.answer(listener, n, action)
	}
}

func (j *Injector) decide(n notification) Action {
	call, path := callsByNumber[n.Number], ""
	if call == Open {
		path = readString(n.PID, n.Args[1])
	}
	action := j.plan(call, path)
	if action.Errno != 0 || action.Half {
		count, _ := j.counts.LoadOrStore(call, new(atomic.Int64))
		count.(*atomic.Int64).Add(1)
	}
	return action
}

// answer lets a call through or fails it. An error means that the thread has ended.
func (j *Injector) answer(listener int, n notification, action Action) {
	r := response{ID: n.ID, Flags: continueCall}
	if action.Half {
		if written, err := writeHalf(n); err == nil {
			r.Flags, r.Val = 0, int64(written)
		}
	}
	if action.Errno != 0 {
		r.Flags, r.Val, r.Error = 0, 0, -int32(action.Errno)
	}
	control(listener, notificationSend, unsafe.Pointer(&r))
}

// writeHalf writes the first half of what the process wants to write.
func writeHalf(n notification) (int, error) {
	buffer := make([]byte, n.Args[2]/2)
	memory, err := os.Open(fmt.Sprintf("/proc/%d/mem", n.PID))
	if err != nil {
		return 0, err
	}
	defer memory.Close()
	if _, err := memory.ReadAt(buffer, int64(n.Args[1])); err != nil {
		return 0, err
	}
	file, err := os.OpenFile(fmt.Sprintf("/proc/%d/fd/%d", n.PID, n.Args[0]), os.O_WRONLY, 0)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	return file.WriteAt(buffer, int64(n.Args[3]))
}

// readString reads a string of the process, "" if that can't be read.
func readString(pid uint32, address uint64) string {
	memory, err := os.Open(fmt.Sprintf("/proc/%d/mem", pid))
	if err != nil {
		return ""
	}
	defer memory.Close()
	buffer := make([]byte, maxPath)
	n, _ := memory.ReadAt(buffer, int64(address)) // less where the memory ends
	text, _, _ := bytes.Cut(buffer[:n], []byte{0})
	return string(text)
}

func control(descriptor int, request uintptr, argument unsafe.Pointer) syscall.Errno {
	_, _, errno := syscall.Syscall(syscall.SYS_IOCTL, uintptr(descriptor), request, uintptr(argument))
	return errno
}
