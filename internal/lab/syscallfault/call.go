package syscallfault

import (
	"syscall"
	"time"
)

// Call is a kind of system call.
type Call string

// The kinds of calls that can fail.
const (
	Accept   Call = "accept"
	Socket   Call = "socket"
	Connect  Call = "connect"
	Shutdown Call = "shutdown"
	Open     Call = "open"
	Write    Call = "write" // to a file at an offset
	Truncate Call = "truncate"
	Rename   Call = "rename"
	Remove   Call = "remove"
)

// callsByNumber holds the calls that are reported.
var callsByNumber = map[int32]Call{
	syscall.SYS_ACCEPT4: Accept, syscall.SYS_SOCKET: Socket, syscall.SYS_CONNECT: Connect, syscall.SYS_SHUTDOWN: Shutdown,
	syscall.SYS_OPENAT: Open, syscall.SYS_PWRITE64: Write, syscall.SYS_FTRUNCATE: Truncate, syscall.SYS_RENAMEAT: Rename, syscall.SYS_UNLINKAT: Remove,
}

// Action is what becomes of a call. The zero value lets it through.
type Action struct {
	Errno syscall.Errno // the call fails with this error, unless it is 0
	Delay time.Duration // before it is let through or fails
	Half  bool          // of a Write: half of the bytes are written before it fails, as a short write if Errno is 0
}

// Plan decides what becomes of a call. The path is that of an Open, "" for other calls. It is called by one
// goroutine at a time for each process.
type Plan func(call Call, path string) Action
