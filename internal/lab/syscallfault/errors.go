package syscallfault

import "syscall"

// Errors with which calls of a kind fail for a moment.
var (
	FolderErrors  = []syscall.Errno{syscall.ENOSPC, syscall.EIO}
	AcceptErrors  = []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENETUNREACH}
	SocketErrors  = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}
	ConnectErrors = []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ECONNREFUSED, syscall.ETIMEDOUT}
)
